//! Health probes of servers, with a limit on concurrent probes and a timeout on each.

use crate::shared::Shared;
use dahliapoint_fibers::{Queue, Received, Socket, spawn};
use dahliapoint_platform::core::{Input, ProbeTarget};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Concurrent probes.
const CONCURRENCY: usize = 12;
/// Probes that may be queued.
const QUEUE_CAPACITY: usize = 64;
/// The timeout of a probe, from the connect to the status line of the answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A probe: the core's key for the result, and the server's address.
pub type Probe = (ProbeTarget, SocketAddr);

/// Starts the workers, which run until the process ends, and returns their queue. Every queued probe
/// leads to one `Input::ProbeAnswered`, however it ends.
pub fn start(shared: &Shared) -> Queue<Probe> {
    let probes: Queue<Probe> = Queue::bounded(QUEUE_CAPACITY);
    for _ in 0..CONCURRENCY {
        let (shared, probes) = (shared.clone(), probes.clone());
        spawn(move || {
            while let Some((probe, address)) = next_probe(&probes) {
                let started = Instant::now();
                let healthy = is_healthy(address, started + PROBE_TIMEOUT).unwrap_or(false);
                let took_ms = started.elapsed().as_secs_f64() * 1000.0;
                shared.send_inputs(vec![Input::ProbeAnswered {
                    probe,
                    healthy,
                    took_ms,
                }]);
            }
        });
    }
    probes
}

/// The next queued probe.
fn next_probe(probes: &Queue<Probe>) -> Option<Probe> {
    match probes.take_one(None) {
        Received::Items(mut probe) => probe.pop_front(),
        Received::TimedOut | Received::Closed => None,
    }
}

/// Sends the health request; returns whether the answer's status is 200.
fn is_healthy(address: SocketAddr, deadline: Instant) -> std::io::Result<bool> {
    let socket = Socket::dial(address, PROBE_TIMEOUT)?;
    let request =
        format!("GET /-/healthy HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if socket.write_all(request.as_bytes(), deadline).is_err() {
        return Ok(false);
    }
    let (mut received, mut buffer) = (Vec::new(), [0; 512]);
    while received.len() < 4096 {
        let n = socket.read(&mut buffer, Some(deadline))?;
        if n == 0 {
            return Ok(false);
        }
        received.extend_from_slice(&buffer[..n]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        if response.parse(&received).is_err() {
            return Ok(false);
        }
        if let Some(code) = response.code {
            return Ok(code == 200);
        }
    }
    Ok(false)
}
