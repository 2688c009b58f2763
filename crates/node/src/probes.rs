//! Health probes of servers, with a limit on concurrent probes and a timeout on each.

use crate::reach::Shared;
use dahliapoint_fibers::{Queue, Received, Socket, spawn};
use dahliapoint_platform::core::{Input, ProbeTarget};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Concurrent probes.
const AT_ONCE: usize = 12;
/// Probes that may be queued.
const WAITING: usize = 64;
/// The timeout of a probe, from the connect to the status line of the answer.
const PATIENCE: Duration = Duration::from_millis(500);

/// A probe: the core's key for the result, and the server's address.
pub type Probe = (ProbeTarget, SocketAddr);

/// Starts the workers, which run until the process ends, and returns their queue. Every queued probe
/// leads to one `Input::Probed`, however it ends.
pub fn begin(reach: &Shared) -> Queue<Probe> {
    let probes: Queue<Probe> = Queue::bounded(WAITING);
    for _ in 0..AT_ONCE {
        let (reach, probes) = (reach.clone(), probes.clone());
        spawn(move || {
            while let Some((probe, to)) = one(&probes) {
                let began = Instant::now();
                let healthy = ask(to, began + PATIENCE).unwrap_or(false);
                let took_ms = began.elapsed().as_secs_f64() * 1000.0;
                reach.put(vec![Input::ProbeAnswered {
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
fn one(probes: &Queue<Probe>) -> Option<Probe> {
    match probes.take_one(None) {
        Received::Items(mut one) => one.pop_front(),
        Received::TimedOut | Received::Closed => None,
    }
}

/// Sends the health request; returns whether the answer's status is 200.
fn ask(to: SocketAddr, until: Instant) -> std::io::Result<bool> {
    let socket = Socket::dial(to, PATIENCE)?;
    let question = format!("GET /-/healthy HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\r\n");
    if socket.write_all(question.as_bytes(), until).is_err() {
        return Ok(false);
    }
    let (mut held, mut buffer) = (Vec::new(), [0; 512]);
    while held.len() < 4096 {
        let n = socket.read(&mut buffer, Some(until))?;
        if n == 0 {
            return Ok(false);
        }
        held.extend_from_slice(&buffer[..n]);
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut answer = httparse::Response::new(&mut headers);
        if answer.parse(&held).is_err() {
            return Ok(false);
        }
        if let Some(code) = answer.code {
            return Ok(code == 200);
        }
    }
    Ok(false)
}
