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
    /// Sum of the windows so far; the smallest lag of that behind our clock; when that was last
    /// updated.
    clock: f64,
    offset: f64,
    updated: f64,
    /// Number of reports in a row that arrived one by one, and the smallest delay among them.
    steady_reports: u32,
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
mod tests {
    use super::*;

    fn close(a: f64, b: f64) -> bool {
        (a - b).abs() <= 0.001 * 60_000.0 * MAX_DRIFT + 1.0
    }

    #[test]
    fn reports_in_time_end_when_they_come() {
        let mut t = Timeline::new(0.0);
        for i in 1..100 {
            let now = f64::from(i) * 500.0;
            let s = t.place(now, 500.0);
            assert!(close(s.end, now) && s.end <= now, "{s:?} at {now}");
            assert_eq!(s.end - s.begin, 500.0);
        }
    }

    #[test]
    fn a_burst_after_a_stall_is_laid_over_the_stall() {
        let mut t = Timeline::new(0.0);
        t.place(500.0, 500.0);
        // Sixty reports are delayed for thirty seconds and arrive at once.
        let ends: Vec<f64> = (0..60).map(|_| t.place(30_500.0, 500.0).end).collect();
        assert!(close(ends[0], 1_000.0 + 30.0), "{}", ends[0]);
        assert!(close(ends[59], 30_500.0), "{}", ends[59]);
        assert!(ends.windows(2).all(|w| (w[1] - w[0] - 500.0).abs() <= 31.0));
    }

    #[test]
    fn lateness_that_varies_is_taken_off_once_a_report_was_quick() {
        let mut t = Timeline::new(0.0);
        let delay = [400.0, 300.0, 20.0, 900.0, 700.0, 50.0];
        let mut last = 0.0;
        for (i, delay) in delay.iter().enumerate() {
            let truly = (i + 1) as f64 * 500.0;
            last = t.place(truly + delay, 500.0).end - truly;
        }
        assert!((0.0..=40.0).contains(&last), "{last}");
    }

    #[test]
    fn a_reporter_that_tells_less_time_than_passes_does_not_fall_behind() {
        let mut t = Timeline::new(0.0);
        let mut behind: f64 = 0.0;
        for i in 1..2_000 {
            let now = f64::from(i) * 520.0;
            behind = behind.max(now - t.place(now, 500.0).end);
        }
        assert!(behind < 200.0, "{behind}");
    }

    #[test]
    fn a_clock_that_runs_slow_stays_near() {
        // The reporter counts 499.8 ms for each 500 ms of ours.
        let mut t = Timeline::new(0.0);
        let mut behind: f64 = 0.0;
        for i in 1..20_000 {
            let now = f64::from(i) * 500.0;
            behind = now - t.place(now, 499.8).end;
        }
        assert!((0.0..100.0).contains(&behind), "{behind}");
    }
}
