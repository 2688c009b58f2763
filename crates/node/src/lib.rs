//! The controller process of the platform (`dahliapoint node`): sockets from `dahliapoint_fibers`,
//! decisions from `dahliapoint_platform`.
//!
//! Every input goes into one bounded queue. The main thread takes all inputs of a tick as one batch
//! and lets the core decide once per batch. Nothing is written to disk.

mod beside;
mod configuration;
mod connections;
mod life;
mod owner;
mod probes;
mod reach;
mod relay;
mod shutdown;
mod tell;
mod watch;

pub use life::run;
pub use shutdown::Shutdown;
