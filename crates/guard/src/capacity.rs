//! What servers have been seen to bear: the word that a cold server's limit is reckoned from.
//!
//! How it is called: [`CapacityEstimate::carried`] for each warm server of a round of reports, with what it carried for
//! its listed weight; [`CapacityEstimate::best`] for what the best one has carried lately. What one has carried well it
//! can carry; how much more it could is not known, so the best of a long time stands for it: at night, when
//! nobody carries much, the day's best still counts. A ring of fixed buckets holds the best of each stretch.

/// Stretches that are remembered, each as long as so many warming times.
const STRETCHES: usize = 32;
const STRETCH: f64 = 4.0;
/// A server that fails more than this share of its visits does not carry them.
const FAILS: f64 = 0.1;
/// A cold server that carries its visits well can bear so many times that: it did not fall by it.
const SHOWN: f64 = 1.5;

/// What a round of reports says of one server, visits a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    pub per_s: f64,
    /// The truth lies within so many a second of it.
    pub error: f64,
    pub failed_share: f64,
    /// In time: no slower than visits are wanted.
    pub in_time: bool,
}

impl ServerLoad {
    fn well(&self) -> bool {
        self.failed_share <= FAILS && self.in_time
    }

    /// No less than this was carried; a vague word says little.
    fn surely(&self) -> f64 {
        (self.per_s - self.error).max(0.0)
    }
}

/// See the module's head.
#[derive(Clone, Debug)]
pub struct CapacityEstimate {
    stretch_ms: f64,
    /// The stretch that each bucket is of, and the best for a listed weight of 1 in it.
    ring: [(u64, f64); STRETCHES],
}

impl CapacityEstimate {
    pub fn new(warm_after_ms: f64) -> CapacityEstimate {
        CapacityEstimate {
            stretch_ms: (warm_after_ms * STRETCH).max(1.0),
            ring: [(0, 0.0); STRETCHES],
        }
    }

    fn stretch(&self, now: f64) -> u64 {
        (now / self.stretch_ms) as u64
    }

    /// What a warm server of that listed weight carried.
    pub fn record(&mut self, now: f64, listed: f64, carried: &ServerLoad) {
        if !carried.well() || listed <= 0.0 {
            return;
        }
        let stretch = self.stretch(now);
        let bucket = &mut self.ring[stretch as usize % STRETCHES];
        if bucket.0 != stretch {
            *bucket = (stretch, 0.0);
        }
        bucket.1 = bucket.1.max(carried.surely() / listed);
    }

    /// The most that a warm server carried lately, for a listed weight of 1; 0: nothing is known.
    pub fn best_per_weight(&self, now: f64) -> f64 {
        let now = self.stretch(now);
        let lately = |(at, _): &&(u64, f64)| now - at.min(&now) < STRETCHES as u64;
        let lately = self.ring.iter().filter(lately);
        lately.map(|(_, best)| *best).fold(0.0, f64::max)
    }

    /// Visits a second that push a cold server over: its part of what the best warm one has carried, or more
    /// where it shows more itself. Infinite while nothing is known: the planner's own caution stands then.
    pub fn overload_per_s(
        &self,
        now: f64,
        listed: f64,
        able: f64,
        multiple: f64,
        own: &ServerLoad,
    ) -> f64 {
        let best = self.best_per_weight(now);
        if best <= 0.0 {
            return f64::INFINITY;
        }
        let shown = if own.well() {
            SHOWN * own.surely()
        } else {
            0.0
        };
        (multiple * able * best * listed).max(shown)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn carried(per_s: f64) -> ServerLoad {
        ServerLoad {
            per_s,
            error: 0.0,
            failed_share: 0.0,
            in_time: true,
        }
    }

    #[test]
    fn what_was_carried_well_counts_for_a_while() {
        let mut b = CapacityEstimate::new(1_000.0);
        assert_eq!(
            b.overload_per_s(0.0, 1.0, 0.1, 3.0, &carried(5.0)),
            f64::INFINITY,
            "nothing is known"
        );
        let vague = ServerLoad {
            error: 60.0,
            ..carried(100.0)
        };
        let failing = ServerLoad {
            failed_share: 0.5,
            ..carried(900.0)
        };
        let late = ServerLoad {
            in_time: false,
            ..carried(900.0)
        };
        b.record(0.0, 1.0, &vague);
        assert_eq!(
            b.best_per_weight(0.0),
            40.0,
            "a vague word counts by its lower end"
        );
        b.record(0.0, 1.0, &failing);
        b.record(0.0, 1.0, &late);
        assert_eq!(
            b.best_per_weight(0.0),
            40.0,
            "what was not carried well says nothing"
        );
        b.record(4_000.0, 2.0, &carried(100.0));
        let cases = [
            ("its part, three times", 8_000.0, 1.0, carried(0.0), 15.0),
            ("by its listed weight", 8_000.0, 2.0, carried(0.0), 30.0),
            ("what it shows itself", 8_000.0, 1.0, carried(20.0), 30.0),
            ("but not while it fails", 8_000.0, 1.0, failing, 15.0),
            (
                "the day's best counts at night",
                120_000.0,
                1.0,
                carried(0.0),
                15.0,
            ),
            ("not for ever", 140_000.0, 1.0, carried(0.0), f64::INFINITY),
        ];
        for (name, now, listed, own, wanted) in cases {
            let found = b.overload_per_s(now, listed, 0.1, 3.0, &own);
            assert!(
                found == wanted || (found - wanted).abs() < 1e-9,
                "{name}: {found}"
            );
        }
    }
}
