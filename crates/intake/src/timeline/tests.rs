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
