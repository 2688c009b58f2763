//! The obedient proxy: HTTP/1.1 in and out, by the tables that it is given.
//!
//! Free of I/O, clock and chance from outside:
//! - [`picking`]: which line of its table a visit goes to, in each of the ways that deployments name;
//! - [`shunning`]: which servers it keeps away from for a while, after its own failures alone;
//! - [`trying`]: whether a visit that failed is tried again, and whether it is let in at all.
//!
//! Around them: [`around`] is the way to servers and the place to look on from, [`http`] reads and writes messages, [`plane`] carries visits, [`steering`] holds tables by
//! xDS and reports, [`filed`] does so by files, [`described`] reads the settings.
//!
//! Servers are small indices; times in decisions are milliseconds on one clock that never goes back.

pub mod around;
pub mod described;
pub mod filed;
pub mod http;
pub mod picking;
pub mod plane;
pub mod shunning;
pub mod steering;
pub mod trying;

/// Multiply with carry: numbers from 0 to 1, from a seed.
#[derive(Clone, Debug)]
pub struct Chance(u32, u32);

impl Chance {
    pub fn from(seed: u64) -> Chance {
        Chance(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    pub fn draw(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / (f64::from(u32::MAX) + 1.0)
    }
}
