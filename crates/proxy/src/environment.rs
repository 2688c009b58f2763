//! What is around a proxy: its way to servers, and whoever looks on. Plain sockets by themselves; stand-ins
//! put cuts and a slow channel in between, and note what came out of the sockets.

use dahliapoint_fibers::{TcpStream, dial};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A message that came, by a stream or as a file.
#[derive(Clone, Copy, Debug)]
pub struct TableMessage<'a> {
    /// The controller's own mark of it.
    pub serial: &'a str,
    /// Lines that it changes, and whether it is about lines at all.
    pub lines: usize,
    pub carries_lines: bool,
    /// Its size on the wire; 0 if it was none.
    pub bytes: u64,
}

/// Called by the proxy at the moments that are named here; all that is called may park its coroutine.
pub trait Environment: Send + Sync {
    /// Connects to a server.
    ///
    /// # Errors
    /// Why it cannot be reached: proof that nothing ran there.
    fn dial(&self, to: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
        dial(to, patience)
    }

    /// Whether a line that names this server can be carried out.
    fn knows_server(&self, server: &str) -> bool {
        !server.is_empty()
    }

    /// The stream to a controller is up, or over.
    fn connection_changed(&self, _is_up: bool) {}

    /// Before anything is read from the stream.
    fn before_read(&self) {}

    /// A message came out of its socket; when it may be taken.
    fn message_received(&self, _message: &TableMessage<'_>) -> Instant {
        Instant::now()
    }

    /// A message was taken, or refused; what it says is in force (or the old table is).
    fn message_processed(&self, _message: &TableMessage<'_>, _came: Instant, _is_refused: bool) {}

    /// A message that came will not be taken: its stream ended first.
    fn message_dropped(&self, _message: &TableMessage<'_>) {}
}

/// Plain sockets, nobody looking on.
pub struct PlainSockets;

impl Environment for PlainSockets {}
