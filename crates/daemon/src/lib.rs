//! The controller as a program. [`deployment`] and [`roster`] read what operators write, [`engine`] owns
//! the controller, [`life`] wires it to its fronts and ends it; nothing here decides.

pub mod cli;
pub mod deployment;
pub mod engine;
pub mod guarding;
pub mod hooking;
pub mod hooks;
pub mod importing;
pub mod life;
pub mod memory;
pub mod probe;
pub mod resolving;
pub mod roster;
pub mod sample;
pub mod status;
