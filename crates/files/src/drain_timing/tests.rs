use super::*;

#[test]
fn a_grace_shorter_than_the_read_interval_is_refused() {
    let check = |read, grace| {
        let timing = DrainTiming {
            write_interval_ms: 200.0,
            read_interval_ms: read,
            drain_grace_ms: grace,
        };
        timing.check()
    };
    assert_eq!(check(500.0, 3_000.0), DrainCheck::Ok);
    assert!(matches!(check(1_500.0, 3_000.0), DrainCheck::Tight(_)));
    assert!(matches!(check(2_950.0, 3_000.0), DrainCheck::TooSlow(_)));
}
