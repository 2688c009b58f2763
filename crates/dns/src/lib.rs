//! Servers from DNS SRV records (RFC 2782), beside a roster that has the last word.
//!
//! - [`refresh`]: when to look, what an answer is worth, how long the last good one stands; free of I/O and clock;
//! - [`agree`]: what holds when DNS and the roster disagree; free of I/O and clock;
//! - [`lookup`]: one lookup over UDP, and TCP where an answer is cut off; the messages are a library's.

pub mod agree;
pub mod lookup;
pub mod refresh;

/// What a lookup found of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The target's name without the last dot, and its port.
    pub name: String,
    pub address: std::net::SocketAddr,
    pub priority: u16,
    pub weight: u16,
}

/// What a lookup came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// All targets, and how long they may be used.
    Targets(Vec<Target>, f64),
    /// There is no such name, or no such record; how long that holds.
    Nothing(f64),
    /// No answer, or none that says anything.
    Failed(String),
}
