//! What a new controller learns from a running one. Controllers share no state while they run; this
//! is a single query at the start, and its answer is treated like the controller's own stored
//! facts.
//!
//! - [`messages`]: the protobuf messages; they carry ages instead of clock times;
//! - [`service`]: the answer of a running controller, most useful facts first;
//! - [`client`]: the query, bounded in time; facts received before a peer fails are kept;
//! - [`merge`]: merges the peer's facts with the controller's own by their age; does no I/O, reads
//!   no clock and uses no randomness.

pub mod client;
pub mod merge;
pub mod messages;
pub mod service;
