//! Servers from DNS SRV records (RFC 2782), in addition to a roster that takes precedence.
//!
//! - [`refresh`]: when to look up, and how long the last good answer is used; free of I/O and clock;
//! - [`reconcile`]: what holds when DNS and the roster disagree; free of I/O and clock;
//! - [`lookup`]: one lookup over UDP, or TCP where the answer is truncated; a library encodes the messages.

pub mod lookup;
pub mod reconcile;
pub mod refresh;

/// One address of an SRV target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The target's name without the trailing dot.
    pub name: String,
    /// Its address and the port of the record.
    pub address: std::net::SocketAddr,
    pub priority: u16,
    pub weight: u16,
}

/// The result of a lookup.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// All targets, and their TTL in milliseconds.
    Targets(Vec<Target>, f64),
    /// The name or the record does not exist; how long that may be cached, in milliseconds.
    NoRecords(f64),
    /// No answer, or none that can be used; why.
    Failed(String),
}
