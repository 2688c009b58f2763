//! Adapts the interval at which proxies report: lengthens it before lines have to be sampled out,
//! and shortens it once there is capacity again. The first rule that applies decides, at most once
//! per settling time.

/// Load, as a share of the reading capacity, above which the interval grows.
const HIGH_LOAD: f64 = 0.8;
/// Load below which the interval shrinks. The two are further apart than one step changes the load,
/// so that the interval does not oscillate.
const LOW_LOAD: f64 = 0.4;
/// Factor by which one step changes the interval.
const STEP_FACTOR: f64 = 1.5;
/// Intervals to wait before a step's effect shows.
const SETTLE_INTERVALS: f64 = 4.0;
/// Longest interval as a multiple of the usual one; beyond it, decisions would come too late.
const MAX_INTERVAL_FACTOR: f64 = 4.0;

/// The current report interval and when it last changed.
#[derive(Clone, Copy, Debug)]
pub struct ReportInterval {
    usual_ms: f64,
    current_ms: f64,
    /// Capacity, in lines per millisecond.
    lines_per_ms: f64,
    changed_at: f64,
}

impl ReportInterval {
    /// Starts with the usual interval, for a reader that can process `lines_per_s` lines.
    pub fn new(now: f64, usual_ms: f64, lines_per_s: f64) -> ReportInterval {
        ReportInterval {
            usual_ms,
            current_ms: usual_ms,
            lines_per_ms: lines_per_s / 1e3,
            changed_at: now,
        }
    }

    /// The current interval in milliseconds.
    pub fn ms(&self) -> f64 {
        self.current_ms
    }

    /// Takes the number of lines received in the last `over_ms`. Returns the new interval if it
    /// changes.
    pub fn observe(&mut self, now: f64, lines: f64, over_ms: f64) -> Option<f64> {
        if now - self.changed_at < SETTLE_INTERVALS * self.current_ms || over_ms <= 0.0 {
            return None;
        }
        let load = lines / over_ms / self.lines_per_ms.max(f64::MIN_POSITIVE);
        let new_ms = match load {
            // Reports arrive faster than they can be read.
            l if l > HIGH_LOAD => {
                (self.current_ms * STEP_FACTOR).min(self.usual_ms * MAX_INTERVAL_FACTOR)
            }
            // Shorten the interval, so that load changes are seen sooner.
            l if l < LOW_LOAD => (self.current_ms / STEP_FACTOR).max(self.usual_ms),
            _ => self.current_ms,
        };
        if new_ms == self.current_ms {
            return None;
        }
        (self.current_ms, self.changed_at) = (new_ms, now);
        Some(new_ms)
    }
}
