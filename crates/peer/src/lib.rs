//! What a new controller learns from a running one. Controllers share nothing while they run; this is one question at
//! a start, and whatever comes of it goes through the same ageing as a controller's own memory.
//!
//! - [`weighing`]: which word about a server counts, by its age; free of I/O, clock and chance;
//! - [`telling`]: what a running controller says, the most useful first;
//! - [`asking`]: the question, bounded in time; what came whole before a peer died is kept;
//! - [`words`]: the messages. Ages cross the wire, never clocks.

pub mod asking;
pub mod telling;
pub mod weighing;
pub mod words;
