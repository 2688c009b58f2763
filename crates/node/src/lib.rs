//! The controller process of the platform (`dahliapoint node`): sockets from `dahliapoint_fibers`,
//! decisions from `dahliapoint_platform`.
//!
//! Every input goes into one bounded queue. The main thread takes all inputs of a batch window together
//! and lets the core decide once per batch. Nothing is written to disk.

mod configuration;
mod connections;
mod event_loop;
mod failover;
mod lifecycle;
mod log;
mod probes;
mod relay;
mod shared;
mod shutdown;
mod watch;

pub use lifecycle::run;
pub use shutdown::Shutdown;
