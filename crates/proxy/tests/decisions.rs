//! The decisions of the proxy: tables of cases, and properties with random tables and weights.

use dahliapoint_proxy::admission::Admission;
use dahliapoint_proxy::load_balancing::{BalancingPolicy, FenwickTree, Picker, WeightedServer};
use dahliapoint_proxy::outlier_ejection::OutlierEjector;
use dahliapoint_proxy::retry::{
    FailedTry, Failure, Idempotency, RetryBudget, RetryPolicy, RetryRefusal, check_retry,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn table(weights: &[f64]) -> Vec<WeightedServer> {
    let entry = |(server, weight): (usize, &f64)| WeightedServer {
        server,
        weight: *weight,
    };
    weights.iter().enumerate().map(entry).collect()
}

/// How often each server was picked.
fn count_picks(
    picker: &mut Picker,
    picks: usize,
    is_allowed: impl Fn(usize) -> bool,
) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..picks {
        if let Some(server) = picker.pick(&is_allowed) {
            *counts.entry(server).or_default() += 1;
        }
    }
    counts
}

/// The requirement: within 2 percent of the weights over 100,000 visits.
#[test]
fn distribution_matches_the_weights() {
    let weights = [
        1.0, 0.1, 2.5, 0.36, 1.0, 10.0, 0.6, 1.0, 1.0, 3.0, 0.9, 0.2, 0.8, 1.1,
    ];
    let total: f64 = weights.iter().sum();
    for policy in [
        BalancingPolicy::WeightedRoundRobin,
        BalancingPolicy::WeightedRandom,
    ] {
        let mut picker = Picker::new(policy, 5);
        picker.swap_table(&table(&weights));
        let counts = count_picks(&mut picker, 100_000, |_| true);
        for (server, weight) in weights.iter().enumerate() {
            let share = counts[&server] as f64 / 100_000.0;
            assert!(
                (share - weight / total).abs() < 0.02 * (weight / total).max(0.1),
                "{policy:?}: {server}"
            );
        }
    }
}

/// Weighted round robin is even over any stretch of visits: no server is more than two visits off its share.
#[test]
fn round_robin_is_even_over_short_stretches() {
    let weights = [1.0, 2.0, 3.0, 0.5];
    let total: f64 = weights.iter().sum();
    let mut picker = Picker::new(BalancingPolicy::WeightedRoundRobin, 5);
    picker.swap_table(&table(&weights));
    let picks: Vec<usize> = (0..2_000).filter_map(|_| picker.pick(|_| true)).collect();
    for stretch in [7, 13, 65, 400] {
        for window in picks.windows(stretch) {
            for (server, weight) in weights.iter().enumerate() {
                let count = window.iter().filter(|s| **s == server).count() as f64;
                let expected = stretch as f64 * weight / total;
                assert!(
                    (count - expected).abs() <= 2.0,
                    "server {server}: {count} instead of {expected} of {stretch}"
                );
            }
        }
    }
}

#[test]
fn weight_changes_at_each_tick_do_not_skew_the_distribution() {
    // A ramp: the weight of the last server grows by about a tenth at each of ten ticks, with fifty visits per tick.
    for policy in [
        BalancingPolicy::WeightedRoundRobin,
        BalancingPolicy::WeightedRandom,
    ] {
        let mut picker = Picker::new(policy, 9);
        let (mut expected, mut count) = (0.0, 0);
        for round in 0..200 {
            let ramp = 0.1 + 0.9 * f64::from(round % 10) / 10.0;
            picker.swap_table(&table(&[1.0, 1.0, 1.0, ramp]));
            count += count_picks(&mut picker, 50, |_| true)
                .get(&3)
                .copied()
                .unwrap_or(0);
            expected += 50.0 * ramp / (3.0 + ramp);
        }
        assert!(
            (count as f64 / expected - 1.0).abs() < 0.06,
            "{policy:?}: {count} instead of {expected}"
        );
    }
}

#[test]
fn two_choices_prefer_the_idle_server_and_follow_the_weights_when_all_are_idle() {
    let mut picker = Picker::new(BalancingPolicy::TwoChoices, 3);
    picker.swap_table(&table(&[1.0, 1.0, 1.0, 1.0]));
    (0..20).for_each(|_| picker.try_started(0));
    let counts = count_picks(&mut picker, 40_000, |_| true);
    assert_eq!(
        counts.get(&0),
        None,
        "busy: loses against every other server"
    );
    (0..20).for_each(|_| picker.try_ended(0));
    let counts = count_picks(&mut picker, 40_000, |_| true);
    assert!(
        counts.values().all(|n| (n * 4).abs_diff(40_000) < 2_000),
        "{counts:?}"
    );
    assert_eq!(picker.in_flight(0), 0);
    // The only server is picked however busy it is.
    picker.swap_table(&table(&[1.0]));
    picker.try_started(0);
    assert_eq!(picker.pick(|_| true), Some(0));
}

#[test]
fn excluded_servers_are_not_picked_and_the_rest_keep_their_proportions() {
    for policy in [
        BalancingPolicy::WeightedRoundRobin,
        BalancingPolicy::WeightedRandom,
        BalancingPolicy::TwoChoices,
    ] {
        let mut picker = Picker::new(policy, 1);
        picker.swap_table(&table(&[1.0, 100.0, 2.0, 0.0, -1.0, f64::NAN]));
        let counts = count_picks(&mut picker, 3_000, |s| s != 1);
        assert_eq!(
            counts.keys().copied().collect::<Vec<_>>(),
            [0, 2],
            "{policy:?}"
        );
        if policy != BalancingPolicy::TwoChoices {
            assert!(counts[&2].abs_diff(2_000) < 120, "{policy:?}: {counts:?}");
        }
        assert_eq!(picker.pick(|_| false), None);
        // Allowed again: it does not get a burst of visits that makes up for those that it missed.
        let counts = count_picks(&mut picker, 1_030, |_| true);
        assert!(counts[&1] <= 1_020, "{policy:?}: {counts:?}");
        picker.swap_table(&[]);
        assert_eq!(picker.pick(|_| true), None);
    }
}

#[test]
fn consecutive_failures_eject_a_server_for_a_time_but_never_the_last_one() {
    let mut ejector = OutlierEjector::new(3, 1_000.0);
    let run = [
        (0.0, false),
        (1.0, false),
        (2.0, true),
        (3.0, false),
        (4.0, false),
    ];
    assert!(
        run.iter()
            .all(|(at, is_success)| !ejector.record_try(*at, 7, *is_success)),
        "a success ends the run of failures"
    );
    assert!(ejector.record_try(5.0, 7, false));
    assert!(ejector.is_ejected(1_004.0, 7) && !ejector.is_ejected(1_005.0, 7));
    // A late success does not end the ejection, further failures do not prolong it.
    assert!(!ejector.record_try(10.0, 7, true) && !ejector.record_try(11.0, 7, false));
    assert!(ejector.is_ejected(1_004.0, 7) && !ejector.is_ejected(1_005.0, 7));
    let mut picker = Picker::new(BalancingPolicy::WeightedRoundRobin, 1);
    picker.swap_table(&[WeightedServer {
        server: 7,
        weight: 1.0,
    }]);
    assert_eq!(
        ejector.pick(500.0, |is_allowed| picker.pick(is_allowed)),
        Some(7),
        "no other server is left"
    );
    picker.swap_table(&[
        WeightedServer {
            server: 7,
            weight: 1.0,
        },
        WeightedServer {
            server: 8,
            weight: 1.0,
        },
    ]);
    assert!((0..9).all(|_| ejector.pick(500.0, |is_allowed| picker.pick(is_allowed)) == Some(8)));
    ejector.retain(|server| server != 7);
    assert!(!ejector.is_ejected(500.0, 7));
    let mut never = OutlierEjector::new(0, 1_000.0);
    assert!((0..99).all(|_| !never.record_try(0.0, 1, false)));
}

#[test]
fn a_visit_is_retried_only_within_the_policy_and_if_it_cannot_run_twice() {
    use Failure::{MayHaveRun, NeverRan};
    use Idempotency::{Keyed, Safe};
    use RetryPolicy::{Never, OnFailure, OnProof};
    let cases = [
        (
            Safe,
            Never,
            NeverRan,
            1,
            9.0,
            Err(RetryRefusal::NotInPolicy),
        ),
        (Safe, OnProof, NeverRan, 1, 9.0, Ok(())),
        (
            Safe,
            OnProof,
            MayHaveRun,
            1,
            9.0,
            Err(RetryRefusal::NotInPolicy),
        ),
        (Safe, OnFailure, MayHaveRun, 1, 9.0, Ok(())),
        (
            Keyed,
            OnFailure,
            MayHaveRun,
            1,
            9.0,
            Err(RetryRefusal::MayRunTwice),
        ),
        (
            Idempotency::Never,
            OnFailure,
            MayHaveRun,
            1,
            9.0,
            Err(RetryRefusal::MayRunTwice),
        ),
        (Idempotency::Never, OnProof, NeverRan, 1, 9.0, Ok(())),
        (Idempotency::Never, OnFailure, NeverRan, 1, 9.0, Ok(())),
        (
            Safe,
            OnFailure,
            NeverRan,
            2,
            9.0,
            Err(RetryRefusal::AlreadyRetried),
        ),
        (
            Safe,
            OnFailure,
            NeverRan,
            1,
            0.0,
            Err(RetryRefusal::NoTimeLeft),
        ),
    ];
    for (idempotency, policy, failure, tries, left_ms, expected) in cases {
        let failed = FailedTry {
            idempotency,
            policy,
            failure,
            tries,
            left_ms,
        };
        assert_eq!(
            check_retry(&failed, &mut RetryBudget::new(0.1)),
            expected,
            "{failed:?}"
        );
    }
}

#[test]
fn the_retry_budget_limits_retries_during_an_outage() {
    let mut budget = RetryBudget::new(0.1);
    let failed = FailedTry {
        idempotency: Idempotency::Safe,
        policy: RetryPolicy::OnFailure,
        failure: Failure::MayHaveRun,
        tries: 1,
        left_ms: 9.0,
    };
    let mut tries = 0;
    for _ in 0..10_000 {
        budget.visit();
        tries += usize::from(check_retry(&failed, &mut budget).is_ok());
    }
    assert!(
        (990..=1_011).contains(&tries),
        "a tenth of the visits, and the initial budget: {tries}"
    );
}

#[test]
fn admission_admits_its_share_evenly() {
    for share in [0.0, 0.1, 0.5, 0.73, 1.0, 2.0, -1.0] {
        let mut admission = Admission::new();
        admission.set_share(share);
        let admitted: Vec<bool> = (0..1_000).map(|_| admission.admits()).collect();
        for stretch in [10, 100, 1_000] {
            for window in admitted.windows(stretch) {
                let count = window.iter().filter(|a| **a).count() as f64;
                let expected = share.clamp(0.0, 1.0) * stretch as f64;
                assert!(
                    (count - expected).abs() <= 1.0 + 1e-6,
                    "{share}: {count} instead of {expected}"
                );
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// The tree finds the same index as a linear scan, after any changes of weights.
    #[test]
    fn tree_draws_as_a_linear_scan(
        weights in prop::collection::vec(0.0..10.0_f64, 1..60),
        changes in prop::collection::vec((0_usize..60, 0.0..10.0_f64), 0..30),
        shares in prop::collection::vec(0.0..1.0_f64, 20),
    ) {
        let mut expected_weights = weights.clone();
        let mut tree = FenwickTree::of(&weights);
        for (index, weight) in changes {
            let index = index % expected_weights.len();
            expected_weights[index] = weight;
            tree.set(index, weight);
        }
        let total: f64 = expected_weights.iter().sum();
        prop_assert!((tree.total() - total).abs() < 1e-9);
        for share in shares {
            let found = tree.at(share);
            prop_assert_eq!(found.is_some(), total > 0.0);
            if let Some(found) = found {
                let before: f64 = expected_weights[..found].iter().sum();
                let at = share * total;
                prop_assert!(expected_weights[found] > 0.0);
                prop_assert!(before <= at + 1e-9 && at <= before + expected_weights[found] + 1e-9);
            }
        }
    }

    /// After any sequence of tables, with tries in flight, only allowed servers of the present table are picked.
    #[test]
    fn only_allowed_servers_of_the_table_are_picked(
        tables in prop::collection::vec(prop::collection::vec((0_usize..12, -1.0..5.0_f64), 0..14), 1..12),
        policy in prop::sample::select(vec![BalancingPolicy::WeightedRoundRobin, BalancingPolicy::WeightedRandom, BalancingPolicy::TwoChoices]),
        seed in 0_u64..99,
    ) {
        let mut picker = Picker::new(policy, seed);
        for (i, table) in tables.iter().enumerate() {
            let entries: Vec<WeightedServer> = table.iter().map(|(server, weight)| WeightedServer { server: *server, weight: *weight }).collect();
            picker.swap_table(&entries);
            let mut in_table: BTreeMap<usize, f64> = BTreeMap::new();
            for entry in entries.iter().filter(|e| e.weight > 0.0) {
                in_table.insert(entry.server, entry.weight);
            }
            let is_allowed = |server: usize| server % 5 != i % 5;
            for _ in 0..30 {
                let picked = picker.pick(is_allowed);
                let any_allowed = in_table.keys().any(|s| is_allowed(*s));
                prop_assert_eq!(picked.is_some(), any_allowed);
                if let Some(server) = picked {
                    prop_assert!(in_table.contains_key(&server) && is_allowed(server));
                    picker.try_started(server);
                }
            }
        }
    }
}
