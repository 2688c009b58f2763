//! How often proxies are asked to report: raised before anything has to be left unread, lowered once there
//! is room again. Rules in order; the first whose condition holds decides, at most once in a settling time.

/// The share of what can be read beyond which the interval grows, and below which it shrinks again. They
/// lie further apart than one step moves the load, so that the two rules never dance.
const HIGH: f64 = 0.8;
const LOW: f64 = 0.4;
const STEP: f64 = 1.5;
/// Intervals that must pass before the effect of a step can be seen.
const SETTLE: f64 = 4.0;
/// The longest interval, as a multiple of the usual one: beyond it, verdicts would come too late.
const LONGEST: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
pub struct ReportInterval {
    usual_ms: f64,
    now_ms: f64,
    /// Lines a millisecond that can be read.
    room: f64,
    moved: f64,
}

impl ReportInterval {
    pub fn new(now: f64, usual_ms: f64, lines_per_s: f64) -> ReportInterval {
        ReportInterval {
            usual_ms,
            now_ms: usual_ms,
            room: lines_per_s / 1e3,
            moved: now,
        }
    }

    pub fn ms(&self) -> f64 {
        self.now_ms
    }

    /// So many lines came in the last stretch of time. Tells the new interval if it moves.
    pub fn observe(&mut self, now: f64, lines: f64, over_ms: f64) -> Option<f64> {
        if now - self.moved < SETTLE * self.now_ms || over_ms <= 0.0 {
            return None;
        }
        let load = lines / over_ms / self.room.max(f64::MIN_POSITIVE);
        let wanted = match load {
            // Guards against reports that outrun their reader.
            l if l > HIGH => (self.now_ms * STEP).min(self.usual_ms * LONGEST),
            // Guards against news that comes later than it must.
            l if l < LOW => (self.now_ms / STEP).max(self.usual_ms),
            _ => self.now_ms,
        };
        if wanted == self.now_ms {
            return None;
        }
        (self.now_ms, self.moved) = (wanted, now);
        Some(wanted)
    }
}
