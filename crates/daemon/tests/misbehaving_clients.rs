//! Clients of `dahliapoint node` that flood or hold much: each is bounded, and nobody else notices it.

mod common;

use common::{Node, line, serving};
use std::io::{Read, Write};
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
        assert!(dahliapoint_standins::platform::wait_until(
            || relay.with_state(|held| common::withdrawn(held, "s-1"))
        ));
        is_over.store(true, Ordering::SeqCst);
    }
}
