//! Load estimates by server: totals by time bucket and proxy zone, the distribution of times, and
//! an error bound.

use crate::ring::{Accumulate, Ring};
use crate::sketch::QuantileSketch;
use std::ops::Range;

/// Standard deviations of an error bound: it holds in 19 of 20 cases.
const ERROR_DEVIATIONS: f64 = 2.0;
/// An estimate is imprecise if its error bound exceeds this share of it.
const MAX_RELATIVE_ERROR: f64 = 0.5;
/// An estimate of at most this many tries is never imprecise: no decision depends on so few.
const FEW_TRIES: f64 = 8.0;
/// Report periods for which a window counts as recent after its end.
const RECENT_PERIODS: f64 = 4.0;
/// Buckets before the current one whose reports may still be on their way.
const INCOMPLETE_BUCKETS: u64 = 1;

/// Totals of one time bucket.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BucketTotals {
    /// Number of tries.
    pub tries: f64,
    /// Tries that failed.
    pub failed: f64,
    /// Total time of the tries that did not fail.
    pub good_ms: f64,
    /// Sampling variance of the tries.
    pub variance: f64,
    /// Distribution of the times of tries that did not fail.
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
    /// Number of tries.
    pub tries: f64,
    /// Tries that failed.
    pub failed: f64,
    /// Mean time of the tries that did not fail.
    pub mean_ms: f64,
    /// 95th percentile of the times of tries that did not fail.
    pub tail_ms: f64,
    /// Error bound: the true number of tries lies within it of the estimate in 19 of 20 cases.
    pub error: f64,
    /// Time since the newest data ended.
    pub age_ms: f64,
}

/// Whether sampling left an estimate too uncertain to use. Prevents decisions based on a few lines
/// that represent many unread ones. The cost is a missing estimate until the next round, which
/// samples less.
pub fn is_imprecise(tries: f64, variance: f64) -> bool {
    tries > FEW_TRIES && ERROR_DEVIATIONS * variance.max(0.0).sqrt() > MAX_RELATIVE_ERROR * tries
}

/// Whether a window that ended `ended_ago_ms` ago is still recent. Prevents a burst of reports
/// after a stall from being taken for current load. If all reports are late, decisions wait.
pub fn is_recent(ended_ago_ms: f64, every_ms: f64) -> bool {
    ended_ago_ms <= RECENT_PERIODS * every_ms
}

/// One server's totals, by zone of the proxies.
#[derive(Clone, Debug)]
pub struct ServerRings {
    zones: Vec<Ring<BucketTotals>>,
}

/// Estimates of all servers.
#[derive(Clone, Debug)]
pub struct Estimates {
    bucket_ms: f64,
    zones: usize,
    servers: Vec<ServerRings>,
    /// Observations with a window older than the rings.
    pub expired_lines: u64,
}

/// Totals of one server over one window, as read from a report.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Index of the server.
    pub server: usize,
    /// Index of the proxy's zone.
    pub zone: usize,
    /// Begin of the window.
    pub begin: f64,
    /// End of the window.
    pub end: f64,
    /// Number of tries.
    pub tries: f64,
    /// Tries that failed.
    pub failed: f64,
    /// Total time of the tries that did not fail.
    pub good_ms: f64,
    /// Sampling variance of the tries.
    pub variance: f64,
}

impl Estimates {
    /// Creates empty estimates with buckets of `bucket_ms` and `zones` proxy zones.
    pub fn new(bucket_ms: f64, zones: usize) -> Estimates {
        Estimates {
            bucket_ms,
            zones,
            servers: Vec::new(),
            expired_lines: 0,
        }
    }

    /// A server's rings, created when first used.
    fn server(&mut self, server: usize) -> &mut ServerRings {
        while self.servers.len() <= server {
            let zones = vec![Ring::new(self.bucket_ms); self.zones];
            self.servers.push(ServerRings { zones });
        }
        &mut self.servers[server]
    }

    /// Records an observation, spread evenly over the buckets of its window. Parts older than the
    /// rings are dropped, and the observation is counted in `expired_lines`.
    pub fn record(&mut self, now: f64, observation: &Observation) {
        if observation.zone >= self.zones || observation.tries <= 0.0 {
            return;
        }
        let bucket_ms = self.bucket_ms;
        let span = (observation.end - observation.begin).max(1.0);
        let buckets = ((span / bucket_ms).round() as usize).clamp(1, crate::ring::BUCKETS);
        let share = 1.0 / buckets as f64;
        let good = (observation.tries - observation.failed).max(0.0);
        let mut times = QuantileSketch::default();
        if good > 0.0 {
            times.add(observation.good_ms / good, good * share);
        }
        let totals = BucketTotals {
            tries: observation.tries * share,
            failed: observation.failed * share,
            good_ms: observation.good_ms * share,
            variance: observation.variance * share,
            times,
        };
        let mut expired = 0;
        let ring = &mut self.server(observation.server).zones[observation.zone];
        for i in 0..buckets {
            // Use the middle of each part, so that a window ending on a bucket boundary does not
            // count for the next bucket.
            let at = observation.end - (i as f64 + 0.5) * span * share;
            if !ring.add(now, at.min(now), &totals) {
                expired = 1;
            }
        }
        self.expired_lines += expired;
    }

    /// Drops a server's data; its index may then be reused.
    pub fn forget(&mut self, server: usize) {
        let (bucket_ms, zones) = (self.bucket_ms, self.zones);
        if let Some(s) = self.servers.get_mut(server) {
            s.zones = vec![Ring::new(bucket_ms); zones];
        }
    }

    /// Estimates a server's load over all zones and a span of whole buckets that ends where reports
    /// are complete; `None` if there were no tries.
    pub fn estimate(&self, now: f64, server: usize, span_ms: f64) -> Option<Estimate> {
        self.estimate_range(now, server..server + 1, span_ms)
    }

    /// Like [`Estimates::estimate`], over several indices together, such as all classes of one
    /// server.
    pub fn estimate_range(&self, now: f64, places: Range<usize>, span_ms: f64) -> Option<Estimate> {
        let end = places.end.min(self.servers.len());
        let servers = self.servers.get(places.start..end)?;
        let rings = || servers.iter().flat_map(|s| &s.zones);
        let mut sum = BucketTotals::default();
        rings().for_each(|r| sum.add(&r.sum(now, span_ms, INCOMPLETE_BUCKETS)));
        let newest = rings().filter_map(|r| r.newest(now)).reduce(f64::max)?;
        let good = (sum.tries - sum.failed).max(0.0);
        (sum.tries > 0.0).then(|| Estimate {
            tries: sum.tries,
            failed: sum.failed,
            mean_ms: sum.good_ms / good.max(f64::MIN_POSITIVE) * f64::from(good > 0.0),
            tail_ms: sum.times.quantile(0.95).unwrap_or(0.0),
            error: ERROR_DEVIATIONS * sum.variance.max(0.0).sqrt(),
            age_ms: (now - newest).max(0.0),
        })
    }
}
