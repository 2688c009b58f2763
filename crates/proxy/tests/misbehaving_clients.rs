//! Clients that stop half way, flood, or leave: each is bounded, and no other client notices it.

mod common;

use common::{
    Client, echo_server, ok, proxy, proxy_with, read_message, server, until, unused_address,
};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};

/// Settings for one client at a time, so that the next is served only once the last is let go.
const ONE_CLIENT: &str = "most_clients: 1\n";

/// Guards against a client that stops half way through a large body and keeps its connection for good.
#[test]
fn a_client_that_stops_within_a_large_body_is_let_go() {
    let echo = echo_server();
    for head in ["Content-Length: 10000000", "Transfer-Encoding: chunked"] {
        let p = proxy(unused_address(), &[echo.address], ONE_CLIENT);
        let mut stopped = Client::of(&p);
        let request = format!("POST /view HTTP/1.1\r\nHost: h\r\n{head}\r\n\r\n5\r\nabcde\r\n");
        stopped.socket.write_all(request.as_bytes()).unwrap();
        until(&format!("the next client is served: {head}"), || {
            Client::of(&p).visit("view") == 200
        });
    }
}

/// Guards against a client that reads nothing of a large answer and keeps its connection for good.
#[test]
fn a_client_that_does_not_read_its_answer_is_let_go() {
    let large = server(|message| match message.head.contains("/large") {
        true => ok(&vec![b'x'; 32 << 20]),
        false => ok(b"small"),
    });
    let p = proxy(unused_address(), &[large.address], ONE_CLIENT);
    let mut stopped = Client::of(&p);
    let request = b"GET /view/large HTTP/1.1\r\nHost: h\r\n\r\n";
    stopped.socket.write_all(request).unwrap();
    until("the visit begins", || {
        large.visits.load(Ordering::SeqCst) == 1
    });
    until("the next client is served", || {
        Client::of(&p).visit("view") == 200
    });
    drop(stopped);
}

/// Guards against requests of a client that has closed its connection: those that it sent ahead were forwarded
/// afterwards. With few of them the proxy can see the close behind them; with many it learns of it only by
/// answering the first.
#[test]
fn requests_sent_ahead_are_not_forwarded_once_the_client_has_closed() {
    for requests_ahead in [1, 20, 2000] {
        let (answer_now, may_answer) = mpsc::channel::<()>();
        let may_answer = Mutex::new(may_answer);
        let ahead = Arc::new(AtomicUsize::new(0));
        let count = ahead.clone();
        let slow = server(move |message| {
            if message.head.contains("/first") {
                // An error means that the test has ended.
                let _ = may_answer.lock().unwrap().recv();
            }
            count.fetch_add(
                usize::from(message.head.contains("/ahead")),
                Ordering::SeqCst,
            );
            ok(b"")
        });
        let p = proxy(unused_address(), &[slow.address], ONE_CLIENT);
        let mut client = Client::of(&p);
        let post = |path: &str| {
            format!("POST /pay/{path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
        };
        let requests = post("first") + &post("ahead").repeat(requests_ahead);
        client.socket.write_all(requests.as_bytes()).unwrap();
        until("the first visit begins", || {
            slow.visits.load(Ordering::SeqCst) == 1
        });
        drop(client);
        answer_now.send(()).unwrap();
        until("the next client is served", || {
            Client::of(&p).visit("view") == 200
        });
        assert_eq!(ahead.load(Ordering::SeqCst), 0, "{requests_ahead}");
    }
}

/// Guards against a client whose body comes in tiny chunks without a pause: its coroutine never waited, so that
/// nobody else was served.
#[test]
fn a_flood_of_tiny_chunks_keeps_no_other_client_waiting() {
    // Reads all that comes, and answers requests for anything but the flood.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let mut unread = Vec::new();
                let mut buffer = vec![0; 1 << 16];
                while let Ok(n @ 1..) = socket.peek(&mut buffer) {
                    if String::from_utf8_lossy(&buffer[..n]).contains("POST /pay/flood") {
                        while matches!(socket.read(&mut buffer), Ok(1..)) {}
                        return;
                    }
                    if read_message(&mut socket, &mut unread).is_none()
                        || socket.write_all(&ok(b"")).is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    // The flood has no end of its own.
    let p = proxy_with(unused_address(), &[address], |settings| {
        settings.replace("{name: pay, hard_limit: 1s}", "{name: pay, hard_limit: 5m}")
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let (stop, (began, has_begun)) = (is_over.clone(), mpsc::channel());
    let mut flood = Client::of(&p);
    let flooding = std::thread::spawn(move || {
        let head = b"POST /pay/flood HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        flood.socket.write_all(head).unwrap();
        let chunks = b"1\r\nx\r\n".repeat(10_000);
        while !stop.load(Ordering::SeqCst) && flood.socket.write_all(&chunks).is_ok() {
            let _ = began.send(());
        }
    });
    has_begun.recv().unwrap();
    let mut other = Client::of(&p);
    for _ in 0..50 {
        assert_eq!(other.visit("view"), 200);
    }
    is_over.store(true, Ordering::SeqCst);
    flooding.join().unwrap();
}
