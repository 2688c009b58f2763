//! What was met at each server, from what was read: sums by bucket of time and zone of the proxies, the
//! spread of times, and how far the sums can be trusted.

use crate::ring::{Accumulate, Ring};
use crate::sketch::QuantileSketch;
use std::ops::Range;

/// An error bound is so many standard deviations: it holds in 19 of 20 cases.
const BOUND: f64 = 2.0;
/// An estimate whose bound is wider than this share of itself is not told to decisions ...
const VAGUE: f64 = 0.5;
/// ... unless so few tries were met that nothing will be decided on them anyway.
const FEW: f64 = 8.0;
/// What ended longer ago than so many reporting periods is no news.
const NEWS: f64 = 4.0;
/// Buckets before the one that is filling whose reports are still on their way.
const ON_THE_WAY: u64 = 1;

/// What was met in a bucket.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketTotals {
    pub tries: f64,
    pub failed: f64,
    pub good_ms: f64,
    /// Variance of the tries, from what was left unread.
    pub variance: f64,
    pub times: QuantileSketch,
}

impl Accumulate for BucketTotals {
    fn add(&mut self, other: &BucketTotals) {
        self.tries += other.tries;
        self.failed += other.failed;
        self.good_ms += other.good_ms;
        self.variance += other.variance;
        self.times.merge(&other.times);
    }
}

/// An estimate over a span that ends where reports are complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub tries: f64,
    pub failed: f64,
    /// Mean time of the tries that did not fail, and the time that 95 in 100 stay under.
    pub mean_ms: f64,
    pub tail_ms: f64,
    /// The true number of tries lies within this of the estimate, 19 times in 20.
    pub error: f64,
    /// How long ago the newest of it ended.
    pub age_ms: f64,
}

/// Too uncertain to be told: what it says could be chance alone. Guards against verdicts on lines that
/// stand for many unread ones. May harm by silence: then the next round, with less unread, tells.
pub fn is_imprecise(tries: f64, variance: f64) -> bool {
    tries > FEW && BOUND * variance.max(0.0).sqrt() > VAGUE * tries
}

/// Whether what ended so long ago is still news. Guards against a burst after a stall, which would tell of
/// a moment long gone as if it were this one. May harm where all reports come late: verdicts then wait.
pub fn is_recent(ended_ago_ms: f64, every_ms: f64) -> bool {
    ended_ago_ms <= NEWS * every_ms
}

/// One server, as the proxies of each zone met it.
#[derive(Clone, Debug)]
pub struct Server {
    zones: Vec<Ring<BucketTotals>>,
}

/// All servers.
#[derive(Clone, Debug)]
pub struct Estimates {
    bucket_ms: f64,
    zones: usize,
    servers: Vec<Server>,
    /// Lines whose stretch lies further back than the rings.
    pub expired_lines: u64,
}

/// A stretch of what was read about a server.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    pub server: usize,
    pub zone: usize,
    pub begin: f64,
    pub end: f64,
    pub tries: f64,
    pub failed: f64,
    pub good_ms: f64,
    pub variance: f64,
}

impl Estimates {
    pub fn new(bucket_ms: f64, zones: usize) -> Estimates {
        Estimates {
            bucket_ms,
            zones,
            servers: Vec::new(),
            expired_lines: 0,
        }
    }

    fn server(&mut self, server: usize) -> &mut Server {
        while self.servers.len() <= server {
            let zones = vec![Ring::new(self.bucket_ms); self.zones];
            self.servers.push(Server { zones });
        }
        &mut self.servers[server]
    }

    /// Notes what was met over a stretch, evenly over its buckets. What lies before the rings is counted
    /// and forgotten: it is neither news nor load of this moment.
    pub fn record(&mut self, now: f64, n: &Observation) {
        if n.zone >= self.zones || n.tries <= 0.0 {
            return;
        }
        let bucket_ms = self.bucket_ms;
        let span = (n.end - n.begin).max(1.0);
        let many = ((span / bucket_ms).round() as usize).clamp(1, crate::ring::BUCKETS);
        let part = 1.0 / many as f64;
        let good = (n.tries - n.failed).max(0.0);
        let mut times = QuantileSketch::default();
        if good > 0.0 {
            times.add(n.good_ms / good, good * part);
        }
        let met = BucketTotals {
            tries: n.tries * part,
            failed: n.failed * part,
            good_ms: n.good_ms * part,
            variance: n.variance * part,
            times,
        };
        let mut past = 0;
        let ring = &mut self.server(n.server).zones[n.zone];
        for i in 0..many {
            // The middle of each part of the stretch, so that an end on a bound is not the next bucket's.
            let at = n.end - (i as f64 + 0.5) * span * part;
            if !ring.add(now, at.min(now), &met) {
                past = 1;
            }
        }
        self.expired_lines += past;
    }

    /// The index stands for another server from now on.
    pub fn forget(&mut self, server: usize) {
        let (bucket_ms, zones) = (self.bucket_ms, self.zones);
        if let Some(s) = self.servers.get_mut(server) {
            s.zones = vec![Ring::new(bucket_ms); zones];
        }
    }

    /// What was met at a server over a span of whole buckets, by all zones; none if nothing was. The span
    /// ends where reports are complete.
    pub fn estimate(&self, now: f64, server: usize, span_ms: f64) -> Option<Estimate> {
        self.estimate_range(now, server..server + 1, span_ms)
    }

    /// The same over several places together, as the classes of one server.
    pub fn estimate_range(&self, now: f64, places: Range<usize>, span_ms: f64) -> Option<Estimate> {
        let end = places.end.min(self.servers.len());
        let there = self.servers.get(places.start..end)?;
        let rings = || there.iter().flat_map(|s| &s.zones);
        let mut sum = BucketTotals::default();
        rings().for_each(|r| sum.add(&r.sum(now, span_ms, ON_THE_WAY)));
        let newest = rings().filter_map(|r| r.newest(now)).reduce(f64::max)?;
        let good = (sum.tries - sum.failed).max(0.0);
        (sum.tries > 0.0).then(|| Estimate {
            tries: sum.tries,
            failed: sum.failed,
            mean_ms: sum.good_ms / good.max(f64::MIN_POSITIVE) * f64::from(good > 0.0),
            tail_ms: sum.times.quantile(0.95).unwrap_or(0.0),
            error: BOUND * sum.variance.max(0.0).sqrt(),
            age_ms: (now - newest).max(0.0),
        })
    }
}
