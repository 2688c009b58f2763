//! gRPC over HTTP/2 on coroutines, by the public description "gRPC over HTTP2" (content type, length-prefixed
//! messages, trailers, status codes, timeouts) and RFC 9113 as implemented by `h2`.
//!
//! [`Server`] runs each call in a coroutine of its own; [`Connection`] is the client side of one connection.
//! Messages pass through [`Inbound`] and [`Outbound`], which block their coroutine until the peer's window has
//! room: a slow reader slows its sender and costs no memory. The crate contains no services.

mod client;
mod codec;
mod server;
mod status;
mod unfinished;

pub use client::{Connection, PendingCall};
pub use codec::{Inbound, Outbound};
pub use server::{Call, Handler, Server};
pub use status::{Code, Status};

use std::time::Duration;

/// Limits of a connection, among them one for each thing that a peer could make large.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Size of one received message.
    pub max_message_bytes: usize,
    /// Size of all headers of a call.
    pub max_header_bytes: u32,
    /// Concurrent calls on one connection.
    pub max_concurrent_calls: u32,
    /// Concurrent connections of a server.
    pub max_connections: usize,
    /// Concurrent calls of a server.
    pub max_calls: usize,
    /// Bytes of unfinished messages that all calls of a server hold together.
    pub max_unfinished_bytes: usize,
    /// Flow-control window of a call: bytes that a peer may send before they are read.
    pub call_window_bytes: u32,
    /// Flow-control window of a connection.
    pub connection_window_bytes: u32,
    /// Time between pings. A connection is closed if the answer to one takes longer than `peer_timeout`.
    pub keepalive_interval: Duration,
    /// Time limit for connecting, for the handshake, for the answer to a ping and, without a deadline, for a stream
    /// to become available.
    pub peer_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_message_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            max_concurrent_calls: 64,
            max_connections: 8192,
            max_calls: 16 << 10,
            max_unfinished_bytes: 64 << 20,
            call_window_bytes: 128 << 10,
            connection_window_bytes: 512 << 10,
            keepalive_interval: Duration::from_secs(2),
            peer_timeout: Duration::from_secs(4),
        }
    }
}
