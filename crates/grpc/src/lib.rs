//! gRPC over HTTP/2 on coroutines, after the public description "gRPC over HTTP2" (content type,
//! length-prefixed messages, trailers, status codes, time-outs) and RFC 9113 as `h2` keeps it.
//!
//! [`Server`] gives each call a coroutine of its own; [`Link`] is the client's side of one connection.
//! Messages go through [`Inbound`] and [`Outbound`], which park until the peer's window has room: a
//! slow reader slows the sender and costs no memory. The crate knows no service and decides nothing.

mod client;
mod codec;
mod server;
mod status;

pub use client::{Dialed, Link};
pub use codec::{Inbound, Outbound};
pub use server::{Call, Handler, Server};
pub use status::{Code, Status};

use std::time::Duration;

/// The bounds of a connection. Everything that a peer could make large is in here.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of one message, both ways.
    pub message: usize,
    /// Bytes of all headers of a call.
    pub headers: u32,
    /// Calls open at one time on one connection.
    pub calls: u32,
    /// Connections that a server holds at one time.
    pub links: usize,
    /// Bytes that a peer may send ahead of being read: by call, and by connection.
    pub call_window: u32,
    pub link_window: u32,
    /// A ping goes out after this long; without its answer in `patience` the connection ends.
    pub keepalive: Duration,
    pub patience: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            message: 4 << 20,
            headers: 16 << 10,
            calls: 64,
            links: 8192,
            call_window: 128 << 10,
            link_window: 512 << 10,
            keepalive: Duration::from_secs(2),
            patience: Duration::from_secs(4),
        }
    }
}
