use super::*;

#[test]
fn reporting_share_drops_while_half_the_reporters_are_silent() {
    let mut coverage = Coverage::new(0.0, 500.0);
    let mut changes = Vec::new();
    for round in 1..60 {
        let now = f64::from(round) * 500.0;
        for proxy in 0..10_usize {
            // Half stop after ten seconds and resume after twenty.
            if proxy.is_multiple_of(2) || !(10_000.0..20_000.0).contains(&now) {
                changes.extend(
                    coverage
                        .report_received(now, proxy, 500.0)
                        .map(|h| (now, h)),
                );
                coverage.record_tries(proxy, 0, 10.0);
            }
        }
        let reports = |p: usize| p.is_multiple_of(2) || !(10_000.0..20_000.0).contains(&now);
        coverage.decay(0, reports, reports);
        changes.extend(coverage.expire_silent(now).into_iter().map(|h| (now, h)));
        if (14_500.0..19_000.0).contains(&now) {
            assert!(
                (coverage.reporting_share(0) - 0.5).abs() < 0.1,
                "{} at {now}",
                coverage.reporting_share(0)
            );
        }
    }
    assert_eq!(coverage.reporting_share(0), 1.0);
    let silent = changes
        .iter()
        .filter(|(_, h)| matches!(h, ReporterChange::Silent(_)));
    let times: Vec<f64> = silent.map(|(at, _)| *at).collect();
    assert_eq!(times.len(), 5);
    assert!(
        times.iter().all(|at| (12_500.0..14_000.0).contains(at)),
        "{times:?}"
    );
    let resumed = changes
        .iter()
        .filter(|(_, h)| matches!(h, ReporterChange::Resumed(_)))
        .count();
    assert_eq!(resumed, 5);
}
