//! A controller of the platform: sockets by `dahliapoint_fibers`, decisions by `dahliapoint_platform`.
//!
//! Whatever comes is put into one bounded queue; the owner, the main thread, takes all that came within
//! a tick as one moment and has the core decide once. Nothing is written to disk.

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
