//! Probes: a call of a server's own, HTTP/1.1, one connection each. Fine is a status of 200 in time.

use dahliapoint_control::Input;
use dahliapoint_fibers::{dial, shutdown_at, spawn};
use dahliapoint_xds::ControllerHandle;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Probes out at one time.
const MOST: usize = 512;
/// Bytes of an answer that are read.
const LONGEST: usize = 8 * 1024;

/// Sends probes.
pub struct Prober {
    path: String,
    within: Duration,
    owner: Arc<dyn ControllerHandle>,
    out: Arc<AtomicUsize>,
}

impl Prober {
    pub fn new(path: &str, within_ms: f64, owner: Arc<dyn ControllerHandle>) -> Prober {
        Prober {
            path: path.to_string(),
            within: Duration::from_secs_f64(within_ms / 1e3),
            owner,
            out: Arc::default(),
        }
    }

    /// Probes a server, in a coroutine of its own. One too many counts as not answered.
    pub fn send(&self, server: String, address: &str) {
        let to = address.parse::<SocketAddr>();
        let (owner, out) = (self.owner.clone(), self.out.clone());
        let (path, within) = (self.path.clone(), self.within);
        let room = out.fetch_add(1, Ordering::SeqCst) < MOST;
        spawn(move || {
            let begun = Instant::now();
            let fine = room && to.is_ok_and(|to| ask(to, &path, within).unwrap_or(false));
            out.fetch_sub(1, Ordering::SeqCst);
            owner.send(Input::Probed {
                server,
                healthy: fine,
                took_ms: begun.elapsed().as_secs_f64() * 1e3,
            });
        });
    }
}

fn ask(to: SocketAddr, path: &str, within: Duration) -> std::io::Result<bool> {
    let until = Instant::now() + within;
    let mut socket = dial(to, within)?;
    let _end = shutdown_at(&socket, until)?;
    write!(
        socket,
        "GET {path} HTTP/1.1\r\nHost: {to}\r\nUser-Agent: dahliapoint-probe\r\nConnection: close\r\n\r\n"
    )?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 1024];
    while bytes.len() < LONGEST && Instant::now() < until {
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
