use super::*;
use serde_json::json;

fn shared() -> crate::shared::Shared {
    let settings = json!({
        "lanes": [], "zones": ["a"],
        "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "rampTimeNs": 1},
        "specifics": {"mostWaiting": 1, "egressPerS": 1.0, "pushDelayNs": 1, "overhead": 1.0,
            "reportEveryNs": 1, "ingestRate": 1.0},
        "limits": {"connIdleNs": 1}});
    let deployment = dahliapoint_opening::parse_deployment(&settings).unwrap();
    let at = "127.0.0.1:1".parse().unwrap();
    SharedState::new(at, at, deployment, 0, 1)
}

#[test]
fn successor_starts_once_and_replaces_the_stream_when_ready() {
    let (hour, shared) = (Duration::from_secs(3600), shared());
    let cases = [
        (hour, false, None),
        (hour, true, Some("other address")),
        (Duration::ZERO, false, Some("silent")),
        (Duration::ZERO, true, Some("other address")),
    ];
    for (case, (silent_after, address_changes, expected)) in cases.into_iter().enumerate() {
        let mut failover = Failover::new(shared.addresses(), silent_after, Duration::ZERO);
        let mut not_ready = Failover::new(shared.addresses(), silent_after, Duration::ZERO);
        for f in [&mut failover, &mut not_ready] {
            f.last_data = Instant::now() - Duration::from_millis(1);
        }
        if address_changes {
            // A changed address counts even while the stream keeps receiving data.
            let other = format!("127.0.0.1:{}", 2 + case).parse().unwrap();
            assert!(shared.set_addresses(other, other));
        }
        // A stream that is not ready ends without a successor.
        match (expected, not_ready.next_action(&shared, false)) {
            (None, Action::Continue) => {}
            (Some(expected), Action::Retry(reason)) => assert_eq!(reason, expected),
            other => panic!("{other:?}"),
        }
        assert!(!not_ready.has_successor());
        let action = failover.next_action(&shared, true);
        assert!(
            matches!(failover.next_action(&shared, true), Action::Continue)
                && !failover.should_end()
        );
        match (expected, action) {
            (None, Action::Continue) => {}
            (Some(expected), Action::StartSuccessor(reason, ready)) => {
                assert_eq!(reason, expected);
                ready.store(true, Ordering::Release);
                assert!(failover.should_end() && failover.has_successor());
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn stream_goes_on_for_the_overlap_after_its_successor_is_ready() {
    let shared = shared();
    let hour = Duration::from_secs(3600);
    let mut failover = Failover::new(shared.addresses(), Duration::ZERO, hour);
    failover.last_data = Instant::now() - Duration::from_millis(1);
    let Action::StartSuccessor(_, ready) = failover.next_action(&shared, true) else {
        panic!("a silent stream gets a successor");
    };
    ready.store(true, Ordering::Release);
    assert!(!failover.should_end());
    failover.overlap = Duration::ZERO;
    assert!(failover.should_end());
    // The successor has failed since: it was ready once, and retries on its own.
    ready.store(false, Ordering::Release);
    assert!(failover.should_end());
}
