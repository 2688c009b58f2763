//! What the planner remembers, and the sums it is asked for. Nothing here decides anything.

use crate::{Met, Standing};
use std::collections::VecDeque;

/// Time buckets kept of what was met; the oldest is used again.
const RING: usize = 8;

/// What was met in a stretch of time.
#[derive(Clone, Copy, Default)]
pub struct Bucket {
    pub stamp: u64,
    pub tries: f64,
    pub failed: f64,
    pub good_ms: f64,
}

impl Bucket {
    pub fn and(mut self, other: &Bucket) -> Bucket {
        self.tries += other.tries;
        self.failed += other.failed;
        self.good_ms += other.good_ms;
        self
    }

    pub fn good(&self) -> f64 {
        (self.tries - self.failed).max(0.0)
    }

    pub fn share_failed(&self) -> f64 {
        self.failed / self.tries.max(1.0)
    }

    /// Mean time of the tries that did not fail; 0 without any.
    pub fn mean_ms(&self) -> f64 {
        self.good_ms / self.good().max(1.0)
    }
}

/// What the proxies of one zone met at a server.
#[derive(Clone, Copy, Default)]
pub struct View {
    pub heard: f64,
    ring: [Bucket; RING],
}

impl View {
    pub fn since(now: f64) -> View {
        View {
            heard: now,
            ..View::default()
        }
    }

    pub fn note(&mut self, now: f64, stamp: u64, met: &Met) {
        self.heard = now;
        let bucket = &mut self.ring[stamp as usize % RING];
        if bucket.stamp != stamp {
            *bucket = Bucket::default();
        }
        bucket.stamp = stamp;
        bucket.tries += met.tries;
        bucket.failed += met.failed;
        bucket.good_ms += met.mean_ms * (met.tries - met.failed).max(0.0);
    }

    /// The sum of so many buckets, the last of them being `last`.
    pub fn sum(&self, last: u64, many: u64) -> Bucket {
        let within = |b: &&Bucket| b.stamp <= last && last - b.stamp < many;
        let buckets = self.ring.iter().filter(within);
        buckets.fold(Bucket::default(), Bucket::and)
    }
}

/// One server: its admin state, its health, its line, and what was met there.
pub struct Server {
    pub zone: usize,
    pub standing: Standing,
    pub weight: f64,
    pub started: Option<f64>,
    /// When its ramp began; long ago for servers listed at the controller's start.
    pub entered: f64,
    pub withdrawn: bool,
    /// The part of the line that the evidence leaves: 1, less after trims, 0 when put out.
    pub health: f64,
    pub judged: f64,
    pub relapses: u32,
    /// When it was last probed, and when a probe was last answered well.
    pub asked: f64,
    pub answered: f64,
    pub line: f64,
    /// The line before the last change, and when that was: visits under way still follow it.
    pub line_before: f64,
    pub line_since: f64,
    pub views: Vec<View>,
}

impl Server {
    pub fn unknown(zones: usize) -> Server {
        Server {
            zone: 0,
            standing: Standing::Gone,
            weight: 1.0,
            started: None,
            entered: f64::NEG_INFINITY,
            withdrawn: false,
            health: 1.0,
            judged: f64::NEG_INFINITY,
            relapses: 0,
            asked: f64::NEG_INFINITY,
            answered: f64::NEG_INFINITY,
            line: 0.0,
            line_before: 0.0,
            line_since: f64::NEG_INFINITY,
            views: vec![View::default(); zones],
        }
    }

    pub fn ready(&self) -> bool {
        self.standing == Standing::Ready
    }

    pub fn heard(&self) -> f64 {
        let heard = self.views.iter().map(|v| v.heard);
        heard.fold(self.line_since, f64::max)
    }

    pub fn sum(&self, last: u64, many: u64) -> Bucket {
        let sums = self.views.iter().map(|v| v.sum(last, many));
        sums.fold(Bucket::default(), |a, b| a.and(&b))
    }

    /// What the proxies of all zones but one met.
    pub fn seen_from_outside(&self, zone: usize, last: u64, many: u64) -> Bucket {
        let views = self.views.iter().enumerate().filter(|(z, _)| *z != zone);
        views.fold(Bucket::default(), |a, (_, v)| a.and(&v.sum(last, many)))
    }

    pub fn write(&mut self, now: f64, line: f64) {
        (self.line_before, self.line_since) = (self.line, now);
        self.line = line;
    }
}

/// A joined proxy, and what was written to it.
#[derive(Default)]
pub struct Proxy {
    pub zone: usize,
    pub bound: bool,
    /// Messages not yet answered, as mark and lines.
    unanswered: VecDeque<(u32, f64)>,
    written: VecDeque<f64>,
}

impl Proxy {
    pub fn of(zone: usize) -> Proxy {
        let fresh = Proxy::default();
        Proxy { zone, ..fresh }
    }

    pub fn wrote(&mut self, now: f64, span_ms: f64, mark: u32, lines: f64) {
        self.unanswered.push_back((mark, lines));
        self.written.retain(|at| now - at < span_ms && *at < now);
        self.written.push_back(now);
    }

    /// An answer to one message is an answer to all before it.
    pub fn answered(&mut self, mark: u32) {
        let at = self.unanswered.iter().position(|(m, _)| *m == mark);
        if let Some(at) = at {
            self.unanswered.drain(..=at);
        }
    }

    pub fn waiting(&self) -> f64 {
        self.unanswered.iter().map(|(_, lines)| lines).sum()
    }

    pub fn messages(&self, now: f64, span_ms: f64) -> f64 {
        let lately = self.written.iter().filter(|at| now - **at < span_ms);
        lately.count() as f64
    }
}

/// Multiply with carry: numbers from 0 to 1.
pub struct Chance(u32, u32);

impl Chance {
    pub fn from(seed: u64) -> Chance {
        Chance(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    pub fn draw(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / f64::from(u32::MAX)
    }
}

pub fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

/// The value that a part of the sorted others lie below; 0 without any.
pub fn ranked(values: &[f64], part: f64) -> f64 {
    let at = (values.len() as f64 * part) as usize;
    values.get(at).copied().unwrap_or(0.0)
}
