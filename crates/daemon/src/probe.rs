//! Health probes of servers: an HTTP/1.1 request on a connection of its own. A server is healthy if it answers with
//! status 200 in time.

use dahliapoint_control::Input;
use dahliapoint_fibers::{dial, shutdown_at, spawn};
use dahliapoint_xds::ControllerHandle;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Probes in flight at one time.
const MAX_PROBES: usize = 512;
/// Bytes of a response that are read at most.
const MAX_RESPONSE_BYTES: usize = 8 * 1024;

/// Sends probes.
pub struct Prober {
    path: String,
    timeout: Duration,
    controller: Arc<dyn ControllerHandle>,
    in_flight: Arc<AtomicUsize>,
}

impl Prober {
    /// Creates a prober that requests `path` and waits for an answer for `timeout_ms`.
    pub fn new(path: &str, timeout_ms: f64, controller: Arc<dyn ControllerHandle>) -> Prober {
        Prober {
            path: path.to_string(),
            timeout: Duration::from_secs_f64(timeout_ms / 1e3),
            controller,
            in_flight: Arc::default(),
        }
    }

    /// Probes a server in a coroutine of its own and sends the result to the controller. Beyond [`MAX_PROBES`] a probe
    /// counts as failed.
    pub fn send(&self, server: String, address: &str) {
        let to = address.parse::<SocketAddr>();
        let (controller, in_flight) = (self.controller.clone(), self.in_flight.clone());
        let (path, timeout) = (self.path.clone(), self.timeout);
        let has_room = in_flight.fetch_add(1, Ordering::SeqCst) < MAX_PROBES;
        spawn(move || {
            let started = Instant::now();
            let healthy = has_room && to.is_ok_and(|to| probe(to, &path, timeout).unwrap_or(false));
            in_flight.fetch_sub(1, Ordering::SeqCst);
            controller.send(Input::Probed {
                server,
                healthy,
                took_ms: started.elapsed().as_secs_f64() * 1e3,
            });
        });
    }
}

/// Sends one probe; returns whether the server is healthy.
fn probe(to: SocketAddr, path: &str, timeout: Duration) -> std::io::Result<bool> {
    let deadline = Instant::now() + timeout;
    let mut socket = dial(to, timeout)?;
    let _shutdown = shutdown_at(&socket, deadline)?;
    write!(
        socket,
        "GET {path} HTTP/1.1\r\nHost: {to}\r\nUser-Agent: dahliapoint-probe\r\nConnection: close\r\n\r\n"
    )?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 1024];
    while bytes.len() < MAX_RESPONSE_BYTES && Instant::now() < deadline {
        let n = socket.read(&mut chunk)?;
        bytes.extend_from_slice(&chunk[..n]);
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&bytes) {
            Ok(httparse::Status::Complete(_)) => return Ok(response.code == Some(200)),
            Ok(httparse::Status::Partial) if n > 0 => {}
            _ => return Ok(false),
        }
    }
    Ok(false)
}
