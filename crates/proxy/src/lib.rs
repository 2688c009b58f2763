//! A proxy that follows the tables of its controller exactly: HTTP/1.1 in and out.
//!
//! The decisions are free of I/O and take time and randomness as arguments or from a seed:
//! - [`load_balancing`]: which server a visit goes to, by each balancing policy;
//! - [`outlier_ejection`]: which servers are left out for a while after the proxy's own failures;
//! - [`retry`]: whether a failed visit is tried again;
//! - [`admission`]: whether a visit is admitted at all.
//!
//! The I/O around them:
//! - [`http`] reads and writes messages, [`data_plane`] carries visits;
//! - [`xds_client`] receives tables from the controller by xDS and reports load, [`file_client`] does both by files;
//! - [`settings`] reads the settings file; [`environment`] opens connections to servers and lets a test observe messages.
//!
//! Servers are small indices. Times in decisions are milliseconds of one monotonic clock.

pub mod admission;
pub mod data_plane;
pub mod environment;
pub mod file_client;
pub mod http;
pub mod load_balancing;
pub mod outlier_ejection;
pub mod retry;
pub mod settings;
pub mod xds_client;

/// A multiply-with-carry random number generator. The same seed gives the same numbers.
#[derive(Clone, Debug)]
pub struct Rng(u32, u32);

impl Rng {
    /// Creates a generator from a seed.
    pub fn from_seed(seed: u64) -> Rng {
        Rng(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    /// Returns a number from 0 up to but not including 1.
    pub fn next_f64(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / (f64::from(u32::MAX) + 1.0)
    }
}
