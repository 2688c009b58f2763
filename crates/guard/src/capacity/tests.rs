use super::*;

fn load(per_s: f64) -> ServerLoad {
    ServerLoad {
        per_s,
        error: 0.0,
        failed_share: 0.0,
        in_time: true,
    }
}

#[test]
fn loads_carried_well_count_for_a_while() {
    let mut estimate = CapacityEstimate::new(1_000.0);
    assert_eq!(
        estimate.overload_per_s(0.0, 1.0, 0.1, 3.0, &load(5.0)),
        f64::INFINITY,
        "nothing is known"
    );
    let uncertain = ServerLoad {
        error: 60.0,
        ..load(100.0)
    };
    let failing = ServerLoad {
        failed_share: 0.5,
        ..load(900.0)
    };
    let slow = ServerLoad {
        in_time: false,
        ..load(900.0)
    };
    estimate.record(0.0, 1.0, &uncertain);
    assert_eq!(
        estimate.best_per_weight(0.0),
        40.0,
        "an uncertain load counts by its lower bound"
    );
    estimate.record(0.0, 1.0, &failing);
    estimate.record(0.0, 1.0, &slow);
    assert_eq!(
        estimate.best_per_weight(0.0),
        40.0,
        "loads that were not carried well do not count"
    );
    estimate.record(4_000.0, 2.0, &load(100.0));
    let cases = [
        (
            "its share of the capacity, three times",
            8_000.0,
            1.0,
            load(0.0),
            15.0,
        ),
        (
            "in proportion to its listed weight",
            8_000.0,
            2.0,
            load(0.0),
            30.0,
        ),
        ("what it carries itself", 8_000.0, 1.0, load(20.0), 30.0),
        ("but not while it fails visits", 8_000.0, 1.0, failing, 15.0),
        (
            "the maximum of the day counts at night",
            120_000.0,
            1.0,
            load(0.0),
            15.0,
        ),
        ("but not forever", 140_000.0, 1.0, load(0.0), f64::INFINITY),
    ];
    for (name, now, listed_weight, own_load, wanted) in cases {
        let found = estimate.overload_per_s(now, listed_weight, 0.1, 3.0, &own_load);
        assert!(
            found == wanted || (found - wanted).abs() < 1e-9,
            "{name}: {found}"
        );
    }
}
