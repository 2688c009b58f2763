//! Places reports in time. A report says how long its window is, not when it ended, and reporters'
//! clocks are trusted only for differences.
//!
//! The windows of one stream are contiguous, so their sum is the reporter's own clock. The smallest
//! lag of that clock behind ours is its offset, since a report can be late but never early. A burst
//! of reports after a stall is thus spread backwards over the stall, because the sum of its windows
//! is ahead of their arrival times.
//!
//! A reporter whose windows add up to less time than has passed (it skipped a report or rounds
//! values) would fall behind forever. Delayed reports arrive at once, while reports that arrive at
//! their own pace were not delayed. So when reports arrive one by one and all of them late, the
//! offset is raised by the smallest of their delays.

/// Clock drift, as a share, that is not taken for lateness.
const MAX_DRIFT: f64 = 0.001;
/// Reports arrive one by one if they are at least this share of their window apart.
const MIN_SPACING: f64 = 0.5;
/// Number of reports in a row arriving one by one that shows that none is delayed.
const STEADY_REPORTS: u32 = 4;

/// A window of time on our clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Start of the window in milliseconds.
    pub begin: f64,
    /// End of the window in milliseconds.
    pub end: f64,
}

/// The clock of one reporter's stream.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// Sum of the windows so far: the reporter's own clock.
    clock: f64,
    /// Smallest lag of that clock behind ours.
    offset: f64,
    /// When the offset was last updated.
    updated: f64,
    /// Number of reports in a row that arrived one by one.
    steady_reports: u32,
    /// Smallest delay among them.
    min_delay: f64,
}

impl Timeline {
    /// Starts a stream now: its first window cannot have ended earlier.
    pub fn new(now: f64) -> Timeline {
        Timeline {
            clock: 0.0,
            offset: now,
            updated: now,
            steady_reports: 0,
            min_delay: f64::INFINITY,
        }
    }

    /// Places the window of a report that arrived now. Windows of one stream neither overlap nor
    /// leave gaps. The window of a late report ends in the past.
    pub fn place(&mut self, now: f64, window_ms: f64) -> Window {
        // Let the offset grow by the clock drift, so that a slow clock does not stay late forever.
        let elapsed = (now - self.updated).max(0.0);
        self.offset += elapsed * MAX_DRIFT;
        self.updated = now;
        self.clock += window_ms;
        // A report is never early, so a negative delay means that the offset was too large.
        self.offset = self.offset.min(now - self.clock);
        let delay = now - self.clock - self.offset;
        match elapsed >= window_ms * MIN_SPACING {
            true => {
                self.steady_reports += 1;
                self.min_delay = self.min_delay.min(delay);
            }
            false => (self.steady_reports, self.min_delay) = (0, f64::INFINITY),
        }
        if self.steady_reports >= STEADY_REPORTS {
            self.offset += self.min_delay;
            (self.steady_reports, self.min_delay) = (0, f64::INFINITY);
        }
        let end = self.clock + self.offset;
        Window {
            begin: end - window_ms,
            end,
        }
    }
}

#[cfg(test)]
mod tests;
