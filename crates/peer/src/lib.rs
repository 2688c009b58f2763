//! What a new controller learns from a running one. Controllers share nothing while they run; this is one question at
//! a start, and whatever comes of it goes through the same ageing as a controller's own memory.
//!
//! - [`merge`]: which word about a server counts, by its age; free of I/O, clock and chance;
//! - [`service`]: what a running controller says, the most useful first;
//! - [`client`]: the question, bounded in time; what came whole before a peer died is kept;
//! - [`messages`]: the messages. Ages cross the wire, never clocks.

pub mod client;
pub mod merge;
pub mod messages;
pub mod service;
