//! Estimate of what servers can carry, from what warm servers were seen to carry. The overload
//! limit of a cold server is derived from it.
//!
//! Call [`CapacityEstimate::record`] for each warm server of a round of reports;
//! [`CapacityEstimate::best_per_weight`] returns the highest load that one carried well, for a
//! listed weight of 1. A server can carry what it has carried well; how much more it could is
//! unknown. So the maximum over a long time counts: at night, when load is low, the maximum of the
//! day still applies. A ring of fixed buckets holds the maximum of each period.

/// Buckets of the ring.
const BUCKETS: usize = 32;
/// Length of a bucket, in warm-up times.
const BUCKET_WARM_UPS: f64 = 4.0;
/// A server that fails more than this share of its visits does not carry them well.
const MAX_FAILED_SHARE: f64 = 0.1;
/// A cold server that carries its visits well can carry this multiple of them.
const OWN_LOAD_MULTIPLE: f64 = 1.5;

/// Load of one server in a round of reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Visits a second.
    pub per_s: f64,
    /// Error of `per_s`.
    pub error: f64,
    pub failed_share: f64,
    /// Its visits are answered within the time that is wanted.
    pub in_time: bool,
}

impl ServerLoad {
    /// Whether the server carries this load well.
    fn is_good(&self) -> bool {
        self.failed_share <= MAX_FAILED_SHARE && self.in_time
    }

    /// Lower end of the error interval.
    fn lower_bound(&self) -> f64 {
        (self.per_s - self.error).max(0.0)
    }
}

/// The highest loads that warm servers carried well. See the module documentation.
#[derive(Clone, Debug)]
pub struct CapacityEstimate {
    bucket_ms: f64,
    /// By bucket: the number of the period that it holds, and the highest load in that period for a
    /// listed weight of 1.
    ring: [(u64, f64); BUCKETS],
}

impl CapacityEstimate {
    /// An empty estimate.
    pub fn new(warm_up_ms: f64) -> CapacityEstimate {
        CapacityEstimate {
            bucket_ms: (warm_up_ms * BUCKET_WARM_UPS).max(1.0),
            ring: [(0, 0.0); BUCKETS],
        }
    }

    /// The number of the period at that time.
    fn bucket_number(&self, now: f64) -> u64 {
        (now / self.bucket_ms) as u64
    }

    /// Records the load of a warm server of that listed weight.
    pub fn record(&mut self, now: f64, listed_weight: f64, load: &ServerLoad) {
        if !load.is_good() || listed_weight <= 0.0 {
            return;
        }
        let bucket_number = self.bucket_number(now);
        let bucket = &mut self.ring[bucket_number as usize % BUCKETS];
        if bucket.0 != bucket_number {
            *bucket = (bucket_number, 0.0);
        }
        bucket.1 = bucket.1.max(load.lower_bound() / listed_weight);
    }

    /// The highest load in the ring, for a listed weight of 1; 0: nothing is known.
    pub fn best_per_weight(&self, now: f64) -> f64 {
        let now = self.bucket_number(now);
        let recent = |(at, _): &&(u64, f64)| now - at.min(&now) < BUCKETS as u64;
        let recent = self.ring.iter().filter(recent);
        recent.map(|(_, best)| *best).fold(0.0, f64::max)
    }

    /// Visits a second that overload a cold server: `capacity_share` is its present share of its
    /// capacity, `multiple` the multiple of that which overloads it, `own_load` its load. The limit
    /// is higher if it carries more than that itself. Infinite while nothing is known: then only
    /// the planner's own ramp applies.
    pub fn overload_per_s(
        &self,
        now: f64,
        listed_weight: f64,
        capacity_share: f64,
        multiple: f64,
        own_load: &ServerLoad,
    ) -> f64 {
        let best = self.best_per_weight(now);
        if best <= 0.0 {
            return f64::INFINITY;
        }
        let carried_limit = if own_load.is_good() {
            OWN_LOAD_MULTIPLE * own_load.lower_bound()
        } else {
            0.0
        };
        (multiple * capacity_share * best * listed_weight).max(carried_limit)
    }
}

#[cfg(test)]
mod tests;
