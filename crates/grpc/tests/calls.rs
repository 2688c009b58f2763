//! Calls between the client and the server of this package: unary and streaming, flow control, deadlines,
//! shutdown, and peers that break the protocol.

use dahliapoint_fibers::spawn;
use dahliapoint_grpc::{Call, Code, Connection, Handler, Limits, Server, Status};
use prost::Message;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone, PartialEq, Message)]
struct Text {
    #[prost(string, tag = "1")]
    text: String,
}

fn text(s: impl Into<String>) -> Text {
    Text { text: s.into() }
}

#[derive(Default)]
struct Echo {
    ended: Arc<AtomicUsize>,
    sent: Arc<AtomicUsize>,
}

impl Handler for Echo {
    fn call(&self, mut call: Call) {
        let status = match call.path.as_str() {
            "/t.T/Echo" => loop {
                match call.inbound.receive::<Text>() {
                    Ok(Some(m)) => {
                        if let Err(e) = call.outbound.send(&m) {
                            break e;
                        }
                    }
                    Ok(None) => break Status::new(Code::Ok, ""),
                    Err(e) => break e,
                }
            },
            // Sends without end, so that flow control has to stop it.
            "/t.T/Flood" => loop {
                if let Err(e) = call.outbound.send(&text("x".repeat(10_000))) {
                    break e;
                }
                self.sent.fetch_add(1, Ordering::SeqCst);
            },
            // Sends without end, and cancels the call when the peer reads nothing for 100 ms.
            "/t.T/Patience" => loop {
                let soon = Instant::now() + Duration::from_millis(100);
                call.outbound.set_deadline(Some(soon));
                if let Err(e) = call.outbound.send(&text("x".repeat(10_000))) {
                    self.ended.fetch_add(1, Ordering::SeqCst);
                    assert_eq!(e.code, Code::DeadlineExceeded);
                    return call.outbound.cancel();
                }
            },
            "/t.T/Refuse" => Status::new(Code::FailedPrecondition, "nicht heute: größe"),
            _ => Status::new(Code::Unimplemented, format!("no {}", call.path)),
        };
        self.ended.fetch_add(1, Ordering::SeqCst);
        call.outbound.finish(&status);
    }
}

fn limits() -> Limits {
    Limits {
        max_message_bytes: 100_000,
        keepalive_interval: Duration::from_millis(50),
        peer_timeout: Duration::from_secs(2),
        ..Limits::default()
    }
}

fn start_server() -> (Server, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let echo = Echo::default();
    let (ended, sent) = (echo.ended.clone(), echo.sent.clone());
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(any, limits(), Arc::new(echo)).unwrap();
    (server, ended, sent)
}

/// Waits for a condition; the time limit only turns a hang into a failure.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A timeout that no call here should reach.
const LONG: Duration = Duration::from_secs(20);

#[test]
fn unary_calls_return_a_message_or_a_status() {
    let (server, _, _) = start_server();
    let connection = Connection::connect(server.address(), limits()).unwrap();
    let reply: Text = connection
        .unary_call("/t.T/Echo", &text("hello"), LONG)
        .unwrap();
    assert_eq!(reply.text, "hello");
    let refused = connection.unary_call::<_, Text>("/t.T/Refuse", &text(""), LONG);
    let expected = Status::new(Code::FailedPrecondition, "nicht heute: größe");
    assert_eq!(refused.unwrap_err(), expected);
    let unknown = connection.unary_call::<_, Text>("/t.T/Other", &text(""), LONG);
    assert_eq!(unknown.unwrap_err().code, Code::Unimplemented);
    let large = connection.unary_call::<_, Text>("/t.T/Echo", &text("x".repeat(100_001)), LONG);
    assert_eq!(large.unwrap_err().code, Code::ResourceExhausted);
}

#[test]
fn streams_in_both_directions_keep_order_and_reopen_their_windows() {
    let (server, ended, _) = start_server();
    let connection = Connection::connect(server.address(), limits()).unwrap();
    let mut call = connection.start_call("/t.T/Echo", None).unwrap();
    call.outbound.send(&text("0".repeat(90_000))).unwrap();
    let (mut outbound, mut inbound) = call.wait_for_response().unwrap();
    // Far more than both windows hold: it arrives only if each side opens its window as it reads.
    let writer = spawn(move || {
        for i in 1..40 {
            outbound.send(&text(i.to_string().repeat(40_000))).unwrap();
        }
        outbound.half_close();
        outbound
    });
    for i in 0..40_u32 {
        let m: Text = inbound.receive().unwrap().unwrap();
        assert!(m.text.starts_with(&i.to_string()), "{i}");
    }
    assert_eq!(inbound.receive::<Text>(), Ok(None));
    writer.join().unwrap();
    wait_until("the call ended", || ended.load(Ordering::SeqCst) == 1);
}

#[test]
fn a_reader_that_stops_blocks_only_its_own_sender() {
    let (server, ended, sent) = start_server();
    let connection = Connection::connect(server.address(), limits()).unwrap();
    let mut blocked_call = connection.start_call("/t.T/Flood", None).unwrap();
    blocked_call.outbound.send(&text("")).unwrap();
    let max_sent = limits().connection_window_bytes as usize / 10_000 + 1;
    wait_until("the flood began", || sent.load(Ordering::SeqCst) > 0);
    // Other calls on the same connection still work meanwhile.
    for _ in 0..200 {
        let reply: Text = connection
            .unary_call("/t.T/Echo", &text("on"), LONG)
            .unwrap();
        assert_eq!(reply.text, "on");
    }
    assert!(
        sent.load(Ordering::SeqCst) <= max_sent,
        "the window bounds it"
    );
    let before = ended.load(Ordering::SeqCst);
    blocked_call.outbound.cancel();
    wait_until("the call was cancelled", || {
        ended.load(Ordering::SeqCst) > before
    });
}

#[test]
fn a_sender_with_a_deadline_cancels_the_call_of_a_stopped_reader() {
    let (server, ended, _) = start_server();
    let connection = Connection::connect(server.address(), limits()).unwrap();
    let mut blocked_call = connection.start_call("/t.T/Patience", None).unwrap();
    blocked_call.outbound.send(&text("")).unwrap();
    wait_until("the server cancelled the call", || {
        ended.load(Ordering::SeqCst) == 1
    });
    let (_outbound, mut inbound) = blocked_call.wait_for_response().unwrap();
    let end = loop {
        match inbound.receive::<Text>() {
            Ok(Some(_)) => {}
            other => break other,
        }
    };
    assert!(
        end.is_err(),
        "the call is reset, not ended as if complete: {end:?}"
    );
}

#[test]
fn a_deadline_ends_the_call_on_both_sides() {
    let (server, ended, _) = start_server();
    let connection = Connection::connect(server.address(), limits()).unwrap();
    let limit = Duration::from_millis(100);
    let mut call = connection.start_call("/t.T/Echo", Some(limit)).unwrap();
    call.outbound.send(&text("a")).unwrap();
    let (_outbound, mut inbound) = call.wait_for_response().unwrap();
    assert_eq!(inbound.receive(), Ok(Some(text("a"))));
    let late = inbound.receive::<Text>().unwrap_err();
    assert_eq!(late.code, Code::DeadlineExceeded);
    wait_until("the server's side ended", || {
        ended.load(Ordering::SeqCst) == 1
    });
}

#[test]
fn shutdown_lets_open_calls_finish_and_accepts_no_new_ones() {
    let (server, _, _) = start_server();
    let connection = Connection::connect(server.address(), limits()).unwrap();
    let mut call = connection.start_call("/t.T/Echo", None).unwrap();
    call.outbound.send(&text("a")).unwrap();
    let (mut outbound, mut inbound) = call.wait_for_response().unwrap();
    assert_eq!(inbound.receive(), Ok(Some(text("a"))));
    let shutdown = std::thread::spawn(move || server.shut_down(Instant::now() + LONG));
    wait_until("GOAWAY was received", || {
        connection.start_call("/t.T/Echo", Some(LONG)).is_err()
    });
    outbound.send(&text("still")).unwrap();
    assert_eq!(inbound.receive(), Ok(Some(text("still"))));
    outbound.half_close();
    assert_eq!(inbound.receive::<Text>(), Ok(None));
    drop((outbound, inbound, connection));
    assert!(shutdown.join().unwrap());
}

#[test]
fn silent_peers_and_other_protocols_cost_one_connection_each() {
    let (server, _, _) = start_server();
    // Sends the HTTP/2 preface and SETTINGS, then neither reads nor answers a ping.
    let mut silent = std::net::TcpStream::connect(server.address()).unwrap();
    silent
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")
        .unwrap();
    // Speaks HTTP/1.1.
    let mut http1 = std::net::TcpStream::connect(server.address()).unwrap();
    http1.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut rest = Vec::new();
    let _ = http1.read_to_end(&mut rest);
    wait_until("both connections are closed", || server.connections() == 0);
    let connection = Connection::connect(server.address(), limits()).unwrap();
    let reply: Text = connection
        .unary_call("/t.T/Echo", &text("still here"), LONG)
        .unwrap();
    assert_eq!(reply.text, "still here");
}

#[test]
fn connecting_to_a_stopped_server_is_unavailable() {
    let (server, _, _) = start_server();
    let address = server.address();
    assert!(server.shut_down(Instant::now() + LONG));
    drop(server);
    wait_until(
        "the port is free",
        || matches!(Connection::connect(address, limits()), Err(e) if e.code == Code::Unavailable),
    );
}

/// Guards against a peer whose input never pauses: no other connection was served while it lasted.
#[test]
fn a_flood_of_pings_keeps_no_other_connection_waiting() {
    let (server, _, _) = start_server();
    let mut flood = std::net::TcpStream::connect(server.address()).unwrap();
    flood
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")
        .unwrap();
    let mut answers = flood.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        while matches!(answers.read(&mut buffer), Ok(1..)) {}
    });
    let is_over = Arc::new(AtomicUsize::new(0));
    let (stop, (began, has_begun)) = (is_over.clone(), std::sync::mpsc::channel());
    let flooding = std::thread::spawn(move || {
        let pings = b"\0\0\x08\x06\0\0\0\0\0whatever".repeat(4000);
        while stop.load(Ordering::SeqCst) == 0 && flood.write_all(&pings).is_ok() {
            let _ = began.send(());
        }
    });
    // Enough that the server has read from it.
    (0..50).for_each(|_| has_begun.recv().unwrap());
    for _ in 0..20 {
        let connection = Connection::connect(server.address(), limits()).unwrap();
        let reply: Text = connection
            .unary_call("/t.T/Echo", &text("on"), LONG)
            .unwrap();
        assert_eq!(reply.text, "on");
    }
    is_over.store(1, Ordering::SeqCst);
    flooding.join().unwrap();
}

/// Sends the head of a message of 90,000 bytes and most of it, and keeps the call open.
fn hold_unfinished_message(address: SocketAddr) -> std::net::TcpStream {
    let mut socket = std::net::TcpStream::connect(address).unwrap();
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0".to_vec();
    let mut headers = Vec::new();
    for (name, value) in [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/t.T/Echo"),
        (":authority", "h"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
    ] {
        // A literal field without indexing.
        headers.extend([&[0, name.len() as u8], name.as_bytes()].concat());
        headers.extend([&[value.len() as u8], value.as_bytes()].concat());
    }
    bytes.extend([0, 0, headers.len() as u8, 1, 4, 0, 0, 0, 1]);
    bytes.extend(headers);
    let message = [&[0], &90_000_u32.to_be_bytes()[..], &[b'x'; 59_995]].concat();
    for part in message.chunks(10_000) {
        bytes.extend([
            0,
            (part.len() >> 8) as u8,
            part.len() as u8,
            0,
            0,
            0,
            0,
            0,
            1,
        ]);
        bytes.extend(part);
    }
    socket.write_all(&bytes).unwrap();
    socket
}

/// Guards against clients that each stop half way through a large message on many calls: every one of them was
/// held up to its largest size, without a limit on all together.
#[test]
fn unfinished_messages_of_all_calls_are_bounded_together() {
    let echo = Echo::default();
    let ended = echo.ended.clone();
    let limits = Limits {
        max_unfinished_bytes: 200_000,
        ..limits()
    };
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(any, limits, Arc::new(echo)).unwrap();
    // Three of 60,000 bytes fit.
    let _held: Vec<_> = (0..10)
        .map(|_| hold_unfinished_message(server.address()))
        .collect();
    wait_until("seven calls are refused", || {
        ended.load(Ordering::SeqCst) == 7
    });
    let connection = Connection::connect(server.address(), limits).unwrap();
    let reply: Text = connection
        .unary_call("/t.T/Echo", &text("short ones pass"), LONG)
        .unwrap();
    assert_eq!(reply.text, "short ones pass");
}

#[test]
fn a_call_beyond_the_limit_of_the_server_is_unavailable() {
    let limits = Limits {
        max_calls: 1,
        ..limits()
    };
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(any, limits, Arc::new(Echo::default())).unwrap();
    let connection = Connection::connect(server.address(), limits).unwrap();
    let mut open = connection.start_call("/t.T/Echo", None).unwrap();
    open.outbound.send(&text("")).unwrap();
    let (outbound, inbound) = open.wait_for_response().unwrap();
    let refused = connection.unary_call::<_, Text>("/t.T/Echo", &text(""), LONG);
    assert_eq!(refused.unwrap_err().code, Code::Unavailable);
    drop((outbound, inbound));
    wait_until("the next call is served", || {
        connection
            .unary_call::<_, Text>("/t.T/Echo", &text(""), LONG)
            .is_ok()
    });
}
