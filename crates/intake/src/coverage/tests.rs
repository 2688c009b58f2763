use super::*;

#[test]
fn half_of_the_reporters_stop_and_the_sums_say_so() {
    let mut c = Coverage::new(0.0, 500.0);
    let mut changes = Vec::new();
    for round in 1..60 {
        let now = f64::from(round) * 500.0;
        for proxy in 0..10_usize {
            // Half stop after ten seconds and resume after twenty.
            if proxy.is_multiple_of(2) || !(10_000.0..20_000.0).contains(&now) {
                changes.extend(c.report_received(now, proxy, 500.0).map(|h| (now, h)));
                c.record_tries(proxy, 0, 10.0);
            }
        }
        let reports = |p: usize| p.is_multiple_of(2) || !(10_000.0..20_000.0).contains(&now);
        c.decay(0, reports, reports);
        changes.extend(c.expire_silent(now).into_iter().map(|h| (now, h)));
        if (14_500.0..19_000.0).contains(&now) {
            assert!(
                (c.reporting_share(0) - 0.5).abs() < 0.1,
                "{} at {now}",
                c.reporting_share(0)
            );
        }
    }
    assert_eq!(c.reporting_share(0), 1.0);
    let silent = changes
        .iter()
        .filter(|(_, h)| matches!(h, ReporterChange::Silent(_)));
    let times: Vec<f64> = silent.map(|(at, _)| *at).collect();
    assert_eq!(times.len(), 5);
    assert!(
        times.iter().all(|at| (12_500.0..14_000.0).contains(at)),
        "{times:?}"
    );
    let again = changes
        .iter()
        .filter(|(_, h)| matches!(h, ReporterChange::Resumed(_)))
        .count();
    assert_eq!(again, 5);
}
