//! Where a report belongs in time. A report says how long a stretch it covers, not when that ended, and
//! clocks of reporters are trusted for their own differences only.
//!
//! The stretches of one stream follow each other, so their sum is the reporter's own clock. What that
//! clock lies behind ours at the least is its offset: a report can come late, never early. A burst after a
//! stall is then laid out backwards over the stall, since its sum runs ahead of what arrival times say.
//!
//! A reporter that tells less time than has passed (it skipped a report, or rounds) would fall behind for
//! ever. What waited comes at once; what comes at its own pace did not wait: reports that come one by one
//! and all of them late are taken for having ended when the quickest of them came.

/// A clock of a reporter may run slow or fast by this share before it is taken for late.
const DRIFT: f64 = 0.001;
/// Reports come one by one if they are at least this share of their stretch apart; so many in a row show
/// that nothing waits.
const APART: f64 = 0.5;
const STEADY: u32 = 4;

/// A stretch of time on our clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    pub begin: f64,
    pub end: f64,
}

/// The clock of one reporter's stream.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// Sum of the stretches so far; our clock less that, at the least; when that was last reckoned.
    clock: f64,
    offset: f64,
    reckoned: f64,
    /// Reports in a row that came one by one, and how late the quickest of them was.
    steady: u32,
    least_late: f64,
}

impl Timeline {
    /// A stream that begins now: nothing that it tells can have ended before.
    pub fn new(now: f64) -> Timeline {
        Timeline {
            clock: 0.0,
            offset: now,
            reckoned: now,
            steady: 0,
            least_late: f64::INFINITY,
        }
    }

    /// The stretch that a report covers which came now. Between reports of one stream no time is lost and
    /// none is told twice. One that ended long ago is told so by its end.
    pub fn place(&mut self, now: f64, window_ms: f64) -> Window {
        // The offset may grow by the drift of clocks, so that a slow one is not late for ever.
        let since = (now - self.reckoned).max(0.0);
        self.offset += since * DRIFT;
        self.reckoned = now;
        self.clock += window_ms;
        // Not early: then the offset was too great.
        self.offset = self.offset.min(now - self.clock);
        let late = now - self.clock - self.offset;
        match since >= window_ms * APART {
            true => {
                self.steady += 1;
                self.least_late = self.least_late.min(late);
            }
            false => (self.steady, self.least_late) = (0, f64::INFINITY),
        }
        if self.steady >= STEADY {
            self.offset += self.least_late;
            (self.steady, self.least_late) = (0, f64::INFINITY);
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
        (a - b).abs() <= 0.001 * 60_000.0 * DRIFT + 1.0
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
        // Sixty reports wait for thirty seconds and come at once.
        let ends: Vec<f64> = (0..60).map(|_| t.place(30_500.0, 500.0).end).collect();
        assert!(close(ends[0], 1_000.0 + 30.0), "{}", ends[0]);
        assert!(close(ends[59], 30_500.0), "{}", ends[59]);
        assert!(ends.windows(2).all(|w| (w[1] - w[0] - 500.0).abs() <= 31.0));
    }

    #[test]
    fn lateness_that_varies_is_taken_off_once_a_report_was_quick() {
        let mut t = Timeline::new(0.0);
        let late = [400.0, 300.0, 20.0, 900.0, 700.0, 50.0];
        let mut last = 0.0;
        for (i, late) in late.iter().enumerate() {
            let truly = (i + 1) as f64 * 500.0;
            last = t.place(truly + late, 500.0).end - truly;
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
        // It says 499.8 ms for each 500 ms of ours.
        let mut t = Timeline::new(0.0);
        let mut behind: f64 = 0.0;
        for i in 1..20_000 {
            let now = f64::from(i) * 500.0;
            behind = now - t.place(now, 499.8).end;
        }
        assert!((0.0..100.0).contains(&behind), "{behind}");
    }
}
