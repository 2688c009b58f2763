//! The obedient proxy: HTTP/1.1 in and out, by the tables that it is given.
//!
//! Free of I/O, clock and rng from outside:
//! - [`load_balancing`]: which line of its table a visit goes to, in each of the ways that deployments name;
//! - [`outlier_ejection`]: which servers it keeps away from for a while, after its own failures alone;
//! - [`retry`]: whether a visit that failed is tried again, and whether it is let in at all.
//!
//! Around them: [`environment`] is the way to servers and the place to look on from, [`http`] reads and writes messages, [`data_plane`] carries visits, [`xds_client`] holds tables by
//! xDS and reports, [`file_client`] does so by files, [`settings`] reads the settings.
//!
//! Servers are small indices; times in decisions are milliseconds on one clock that never goes back.

pub mod data_plane;
pub mod environment;
pub mod file_client;
pub mod http;
pub mod load_balancing;
pub mod outlier_ejection;
pub mod retry;
pub mod settings;
pub mod xds_client;

/// Multiply with carry: numbers from 0 to 1, from a seed.
#[derive(Clone, Debug)]
pub struct Rng(u32, u32);

impl Rng {
    pub fn from_seed(seed: u64) -> Rng {
        Rng(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    pub fn next_f64(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / (f64::from(u32::MAX) + 1.0)
    }
}
