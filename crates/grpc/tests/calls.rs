//! Calls between our client and our server, and what broken peers do to them.

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
            // Sends without end, to see where it is held up.
            "/t.T/Flood" => loop {
                if let Err(e) = call.outbound.send(&text("x".repeat(10_000))) {
                    break e;
                }
                self.sent.fetch_add(1, Ordering::SeqCst);
            },
            // The same, but it gives a peer up that takes nothing.
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

fn started() -> (Server, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let echo = Echo::default();
    let (ended, sent) = (echo.ended.clone(), echo.sent.clone());
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = Server::start(any, limits(), Arc::new(echo)).unwrap();
    (server, ended, sent)
}

/// Waits for a condition; the bound only turns a hang into a failure.
fn until(what: &str, mut met: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !met() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

const LONG: Duration = Duration::from_secs(20);

#[test]
fn unary_calls_and_their_statuses() {
    let (server, _, _) = started();
    let link = Connection::connect(server.address(), limits()).unwrap();
    let said: Text = link.unary_call("/t.T/Echo", &text("hello"), LONG).unwrap();
    assert_eq!(said.text, "hello");
    let refused = link.unary_call::<_, Text>("/t.T/Refuse", &text(""), LONG);
    let wanted = Status::new(Code::FailedPrecondition, "nicht heute: größe");
    assert_eq!(refused.unwrap_err(), wanted);
    let unknown = link.unary_call::<_, Text>("/t.T/Other", &text(""), LONG);
    assert_eq!(unknown.unwrap_err().code, Code::Unimplemented);
    let large = link.unary_call::<_, Text>("/t.T/Echo", &text("x".repeat(100_001)), LONG);
    assert_eq!(large.unwrap_err().code, Code::ResourceExhausted);
}

#[test]
fn streams_both_ways_keep_their_order_and_their_windows() {
    let (server, ended, _) = started();
    let link = Connection::connect(server.address(), limits()).unwrap();
    let mut dialed = link.start_call("/t.T/Echo", None).unwrap();
    dialed.outbound.send(&text("0".repeat(90_000))).unwrap();
    let (mut outbound, mut inbound) = dialed.wait_for_response().unwrap();
    // Far more than both windows hold: goes through only if each side gives room as it reads.
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
    until("the call ended", || ended.load(Ordering::SeqCst) == 1);
}

#[test]
fn a_reader_that_stops_holds_up_its_sender_and_nobody_else() {
    let (server, ended, sent) = started();
    let link = Connection::connect(server.address(), limits()).unwrap();
    let mut stuck = link.start_call("/t.T/Flood", None).unwrap();
    stuck.outbound.send(&text("")).unwrap();
    let most = limits().connection_window_bytes as usize / 10_000 + 1;
    until("the flood began", || sent.load(Ordering::SeqCst) > 0);
    // Another call on the same connection goes on meanwhile, again and again.
    for _ in 0..200 {
        let said: Text = link.unary_call("/t.T/Echo", &text("on"), LONG).unwrap();
        assert_eq!(said.text, "on");
    }
    assert!(sent.load(Ordering::SeqCst) <= most, "window bounds it");
    let before = ended.load(Ordering::SeqCst);
    stuck.outbound.cancel();
    until("the cancel came", || ended.load(Ordering::SeqCst) > before);
}

#[test]
fn a_sender_with_a_limit_gives_up_a_reader_that_stopped() {
    let (server, ended, _) = started();
    let link = Connection::connect(server.address(), limits()).unwrap();
    let mut stuck = link.start_call("/t.T/Patience", None).unwrap();
    stuck.outbound.send(&text("")).unwrap();
    until("given up", || ended.load(Ordering::SeqCst) == 1);
    let (_outbound, mut inbound) = stuck.wait_for_response().unwrap();
    let end = loop {
        match inbound.receive::<Text>() {
            Ok(Some(_)) => {}
            other => break other,
        }
    };
    assert!(
        end.is_err(),
        "the call is broken off, not ended as if complete: {end:?}"
    );
}

#[test]
fn a_deadline_ends_the_call_on_both_sides() {
    let (server, ended, _) = started();
    let link = Connection::connect(server.address(), limits()).unwrap();
    let limit = Duration::from_millis(100);
    let mut dialed = link.start_call("/t.T/Echo", Some(limit)).unwrap();
    dialed.outbound.send(&text("a")).unwrap();
    let (_outbound, mut inbound) = dialed.wait_for_response().unwrap();
    assert_eq!(inbound.receive(), Ok(Some(text("a"))));
    let late = inbound.receive::<Text>().unwrap_err();
    assert_eq!(late.code, Code::DeadlineExceeded);
    until("the server's side ended", || {
        ended.load(Ordering::SeqCst) == 1
    });
}

#[test]
fn an_orderly_end_lets_calls_finish_and_takes_no_more() {
    let (server, _, _) = started();
    let link = Connection::connect(server.address(), limits()).unwrap();
    let mut dialed = link.start_call("/t.T/Echo", None).unwrap();
    dialed.outbound.send(&text("a")).unwrap();
    let (mut outbound, mut inbound) = dialed.wait_for_response().unwrap();
    assert_eq!(inbound.receive(), Ok(Some(text("a"))));
    let ending = std::thread::spawn(move || server.shut_down(Instant::now() + LONG));
    until("told to go away", || {
        link.start_call("/t.T/Echo", Some(LONG)).is_err()
    });
    outbound.send(&text("still")).unwrap();
    assert_eq!(inbound.receive(), Ok(Some(text("still"))));
    outbound.half_close();
    assert_eq!(inbound.receive::<Text>(), Ok(None));
    drop((outbound, inbound, link));
    assert!(ending.join().unwrap());
}

#[test]
fn peers_that_are_not_there_or_talk_nonsense_cost_one_connection() {
    let (server, _, _) = started();
    // Says hello in HTTP/2, then never reads nor answers a ping.
    let mut mute = std::net::TcpStream::connect(server.address()).unwrap();
    mute.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0")
        .unwrap();
    // Talks HTTP/1.1.
    let mut odd = std::net::TcpStream::connect(server.address()).unwrap();
    odd.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut rest = Vec::new();
    let _ = odd.read_to_end(&mut rest);
    until("both were given up", || server.connections() == 0);
    let link = Connection::connect(server.address(), limits()).unwrap();
    let said: Text = link
        .unary_call("/t.T/Echo", &text("still here"), LONG)
        .unwrap();
    assert_eq!(said.text, "still here");
}

#[test]
fn a_server_that_is_gone_is_unavailable() {
    let (server, _, _) = started();
    let address = server.address();
    assert!(server.shut_down(Instant::now() + LONG));
    drop(server);
    until(
        "the port is free",
        || matches!(Connection::connect(address, limits()), Err(e) if e.code == Code::Unavailable),
    );
}
