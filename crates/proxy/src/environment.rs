//! The environment of a proxy: how it connects to servers, and hooks that observe the controller's messages.
//! [`PlainSockets`] is the real one; stand-ins simulate network cuts and a slow channel, and record messages.

use dahliapoint_fibers::{TcpStream, dial};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A message from the controller, received by a stream or as a file.
#[derive(Clone, Copy, Debug)]
pub struct TableMessage<'a> {
    /// The controller's serial number of the message.
    pub serial: &'a str,
    /// Number of table lines that it changes.
    pub lines: usize,
    /// Whether it is of the type that carries table lines.
    pub carries_lines: bool,
    /// Encoded size; 0 for a file.
    pub bytes: u64,
}

/// Callbacks of the proxy. Each may block the coroutine that calls it.
pub trait Environment: Send + Sync {
    /// Connects to a server.
    ///
    /// # Errors
    /// Why it cannot be reached. An error proves that the visit did not run there.
    fn dial(&self, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        dial(to, timeout)
    }

    /// Returns whether the proxy can use a table line that names this server. A line that it cannot use makes
    /// the proxy refuse the message.
    fn knows_server(&self, server: &str) -> bool {
        !server.is_empty()
    }

    /// The connection to a controller was established or lost.
    fn connection_changed(&self, _is_up: bool) {}

    /// The proxy is about to read from the controller.
    fn before_read(&self) {}

    /// A message was read. Returns when the proxy may apply it.
    fn message_received(&self, _message: &TableMessage<'_>) -> Instant {
        Instant::now()
    }

    /// A message was applied and its table is in use; if it was refused, the old table still is.
    fn message_processed(
        &self,
        _message: &TableMessage<'_>,
        _received: Instant,
        _is_refused: bool,
    ) {
    }

    /// A message was read but will not be applied, because its stream ended first.
    fn message_dropped(&self, _message: &TableMessage<'_>) {}
}

/// Plain sockets, and no observer.
pub struct PlainSockets;

impl Environment for PlainSockets {}
