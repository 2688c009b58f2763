//! gRPC over HTTP/2 on coroutines, after the public description "gRPC over HTTP2" (content type,
//! length-prefixed messages, trailers, status codes, time-outs) and RFC 9113 as `h2` keeps it.
//!
//! [`Server`] gives each call a coroutine of its own; [`Connection`] is the client's side of one connection.
//! Messages go through [`Inbound`] and [`Outbound`], which park until the peer's window has room: a
//! slow reader slows the sender and costs no memory. The crate knows no service and decides nothing.

mod client;
mod codec;
mod server;
mod status;

pub use client::{Connection, PendingCall};
pub use codec::{Inbound, Outbound};
pub use server::{Call, Handler, Server};
pub use status::{Code, Status};

use std::time::Duration;

/// The bounds of a connection. Everything that a peer could make large is in here.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of one message, both ways.
    pub max_message_bytes: usize,
    /// Bytes of all headers of a call.
    pub max_header_bytes: u32,
    /// Calls open at one time on one connection.
    pub max_concurrent_calls: u32,
    /// Connections that a server holds at one time.
    pub max_connections: usize,
    /// Bytes that a peer may send ahead of being read: by call, and by connection.
    pub call_window_bytes: u32,
    pub connection_window_bytes: u32,
    /// A ping goes out after this long; without its answer in `peer_timeout` the connection ends.
    pub keepalive_interval: Duration,
    pub peer_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_message_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            max_concurrent_calls: 64,
            max_connections: 8192,
            call_window_bytes: 128 << 10,
            connection_window_bytes: 512 << 10,
            keepalive_interval: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(4),
        }
    }
}
