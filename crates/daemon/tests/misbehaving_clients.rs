//! Clients of `dahliapoint node` that flood or hold much: each is bounded, and nobody else notices it.

mod common;

use common::{Node, line, serving, withdrawn};
use dahliapoint_standins::platform::wait_until;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;

/// Sends a text again and again on one connection, as fast as it is taken, and reads all answers. Returns once
/// the flood runs; it ends with the flag.
fn flood(node: &Node, first: &[u8], text: Vec<u8>, is_over: &Arc<AtomicBool>) {
    let mut socket = node.connect();
    socket.write_all(first).unwrap();
    let mut answers = socket.try_clone().unwrap();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        while matches!(answers.read(&mut buffer), Ok(1..)) {}
    });
    let ((began, has_begun), is_over) = (mpsc::channel(), is_over.clone());
    std::thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) && socket.write_all(&text).is_ok() {
            let _ = began.send(());
        }
    });
    // Enough that the controller has read from it.
    for _ in 0..50 {
        has_begun.recv().unwrap();
    }
}

/// Guards against a client whose input never pauses: its coroutine was always ready to run, so that nobody who
/// waited for a socket was served, and drains were not told.
#[test]
fn a_flood_on_one_connection_keeps_no_other_client_and_no_drain_waiting() {
    let unknown = |n: usize| {
        format!(
            "outcomes zone=a server=new-{n} tries=1 failed=0 mean_ms=1 span_ms=1000\r\noutcomes zone=a tries=x\r\n"
        )
    };
    let reports: String = (0..400).map(unknown).collect();
    let probes = b"probe\r\n".repeat(4000);
    for (first, text) in [
        (&b""[..], probes),
        (&b"agent zone=a\r\n"[..], reports.into_bytes()),
    ] {
        let (relay, discovery, node) = serving();
        let is_over = Arc::new(AtomicBool::new(false));
        flood(&node, first, text, &is_over);
        for _ in 0..20 {
            let mut other = node.connect();
            other.write_all(b"probe\r\n").unwrap();
            assert_eq!(line(&other), "alive");
        }
        discovery.with_state(|list| list.set_status("s-1", "draining"));
        assert!(wait_until(
            || relay.with_state(|held| withdrawn(held, "s-1"))
        ));
        is_over.store(true, Ordering::SeqCst);
    }
}

/// Whether the controller has closed a connection, on which nothing is to be read otherwise.
fn has_ended(mut socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).unwrap();
    let read = socket.read(&mut [0; 16]);
    socket.set_nonblocking(false).unwrap();
    !matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Guards against collectors that each hold a line of nearly the longest length and never finish it: together
/// they took more memory than the limit of a controller.
#[test]
fn unfinished_lines_together_are_bounded_and_short_ones_cost_no_connection() {
    let (_relay, _discovery, node) = serving();
    let mut reporting = node.connect();
    reporting
        .write_all(b"agent zone=a\r\noutcomes zone=a ser")
        .unwrap();
    let hold = |zone: &str| {
        let mut socket = node.connect();
        let line = format!("agent zone={zone}\r\noutcomes zone={zone} server=");
        socket.write_all(line.as_bytes()).unwrap();
        // It fails where the connection is closed before all is taken.
        let _ = socket.write_all(&vec![b'x'; 1_000_000]);
        socket
    };
    let zones = ["a", "b", "a", "b", "a", "b", "b"];
    let holding: Vec<TcpStream> = zones.into_iter().map(hold).collect();
    let open = || holding.iter().filter(|s| !has_ended(s)).count();
    // Two of the longest lines, by the limit.
    assert!(wait_until(|| open() <= 2), "{} are open", open());
    reporting
        .write_all(b"ver=s-1 tries=1 failed=0 mean_ms=1 span_ms=1000\r\nprobe\r\n")
        .unwrap();
    assert_eq!(line(&reporting), "alive");
}
