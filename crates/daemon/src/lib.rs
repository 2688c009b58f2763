//! The controller as a program. [`deployment`] and [`roster`] read the operators' files, [`controller_thread`] owns the
//! controller, [`daemon`] connects it to its fronts and ends it. Decisions are made in other crates.

pub mod cli;
pub mod controller_thread;
pub mod daemon;
pub mod deployment;
pub mod dns;
pub mod guard_explain;
pub mod hook_commands;
pub mod hook_runner;
pub mod import;
pub mod memory;
pub mod probe;
pub mod roster;
pub mod sample;
pub mod status;
