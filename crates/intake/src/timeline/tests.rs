use super::*;

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 0.001 * 60_000.0 * MAX_DRIFT + 1.0
}

#[test]
fn punctual_reports_end_on_arrival() {
    let mut timeline = Timeline::new(0.0);
    for i in 1..100 {
        let now = f64::from(i) * 500.0;
        let s = timeline.place(now, 500.0);
        assert!(close(s.end, now) && s.end <= now, "{s:?} at {now}");
        assert_eq!(s.end - s.begin, 500.0);
    }
}

#[test]
fn burst_after_a_stall_is_spread_over_the_stall() {
    let mut timeline = Timeline::new(0.0);
    timeline.place(500.0, 500.0);
    // Sixty reports are delayed for thirty seconds and arrive at once.
    let ends: Vec<f64> = (0..60)
        .map(|_| timeline.place(30_500.0, 500.0).end)
        .collect();
    assert!(close(ends[0], 1_000.0 + 30.0), "{}", ends[0]);
    assert!(close(ends[59], 30_500.0), "{}", ends[59]);
    assert!(ends.windows(2).all(|w| (w[1] - w[0] - 500.0).abs() <= 31.0));
}

#[test]
fn varying_delay_is_removed_after_a_quick_report() {
    let mut timeline = Timeline::new(0.0);
    let delays = [400.0, 300.0, 20.0, 900.0, 700.0, 50.0];
    let mut last_delay = 0.0;
    for (i, delay) in delays.iter().enumerate() {
        let true_end = (i + 1) as f64 * 500.0;
        last_delay = timeline.place(true_end + delay, 500.0).end - true_end;
    }
    assert!((0.0..=40.0).contains(&last_delay), "{last_delay}");
}

#[test]
fn reporter_with_short_windows_does_not_fall_behind() {
    let mut timeline = Timeline::new(0.0);
    let mut lag: f64 = 0.0;
    for i in 1..2_000 {
        let now = f64::from(i) * 520.0;
        lag = lag.max(now - timeline.place(now, 500.0).end);
    }
    assert!(lag < 200.0, "{lag}");
}

#[test]
fn slow_clock_stays_close() {
    // The reporter counts 499.8 ms for each 500 ms of ours.
    let mut timeline = Timeline::new(0.0);
    let mut lag: f64 = 0.0;
    for i in 1..20_000 {
        let now = f64::from(i) * 500.0;
        lag = now - timeline.place(now, 499.8).end;
    }
    assert!((0.0..100.0).contains(&lag), "{lag}");
}
