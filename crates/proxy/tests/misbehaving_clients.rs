//! Clients that stop half way, flood, or leave: each is bounded, and no other client notices it.

mod common;

use common::{Client, echo_server, ok, proxy, server, until, unused_address};
use std::io::Write;
use std::sync::atomic::Ordering;

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
