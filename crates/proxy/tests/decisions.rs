//! The obedient proxy's decisions: tables of cases, and tables and weights drawn by rng.

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
    let line = |(server, weight): (usize, &f64)| WeightedServer {
        server,
        weight: *weight,
    };
    weights.iter().enumerate().map(line).collect()
}

fn spread(
    picker: &mut Picker,
    picks: usize,
    may: impl Fn(usize) -> bool,
) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..picks {
        if let Some(server) = picker.pick(&may) {
            *counts.entry(server).or_default() += 1;
        }
    }
    counts
}

/// The users' measure: within 2 percent of the weights over 100,000 visits.
#[test]
fn the_spread_matches_the_weights() {
    let weights = [
        1.0, 0.1, 2.5, 0.36, 1.0, 10.0, 0.6, 1.0, 1.0, 3.0, 0.9, 0.2, 0.8, 1.1,
    ];
    let all: f64 = weights.iter().sum();
    for way in [
        BalancingPolicy::WeightedRoundRobin,
        BalancingPolicy::WeightedRandom,
    ] {
        let mut picker = Picker::new(way, 5);
        picker.swap_table(&table(&weights));
        let counts = spread(&mut picker, 100_000, |_| true);
        for (server, weight) in weights.iter().enumerate() {
            let part = counts[&server] as f64 / 100_000.0;
            assert!(
                (part - weight / all).abs() < 0.02 * (weight / all).max(0.1),
                "{way:?}: {server}"
            );
        }
    }
}

/// In a rotation no line is ever more than a visit or two from its part, over any stretch.
#[test]
fn a_rotation_is_even_over_short_stretches_too() {
    let weights = [1.0, 2.0, 3.0, 0.5];
    let all: f64 = weights.iter().sum();
    let mut picker = Picker::new(BalancingPolicy::WeightedRoundRobin, 5);
    picker.swap_table(&table(&weights));
    let picks: Vec<usize> = (0..2_000).filter_map(|_| picker.pick(|_| true)).collect();
    for stretch in [7, 13, 65, 400] {
        for window in picks.windows(stretch) {
            for (server, weight) in weights.iter().enumerate() {
                let had = window.iter().filter(|s| **s == server).count() as f64;
                let part = stretch as f64 * weight / all;
                assert!(
                    (had - part).abs() <= 2.0,
                    "{server} had {had} of {part} in {stretch}"
                );
            }
        }
    }
}

#[test]
fn changes_at_each_tick_do_not_bend_the_spread() {
    // A ramp: the last server's weight grows by a tenth at each of ten ticks, fifty visits a tick.
    for way in [
        BalancingPolicy::WeightedRoundRobin,
        BalancingPolicy::WeightedRandom,
    ] {
        let mut picker = Picker::new(way, 9);
        let (mut wanted, mut had) = (0.0, 0);
        for round in 0..200 {
            let ramp = 0.1 + 0.9 * f64::from(round % 10) / 10.0;
            picker.swap_table(&table(&[1.0, 1.0, 1.0, ramp]));
            had += spread(&mut picker, 50, |_| true)
                .get(&3)
                .copied()
                .unwrap_or(0);
            wanted += 50.0 * ramp / (3.0 + ramp);
        }
        assert!(
            (had as f64 / wanted - 1.0).abs() < 0.06,
            "{way:?}: {had} of {wanted}"
        );
    }
}

#[test]
fn two_draws_prefer_the_idle_and_keep_to_the_weights_when_all_are() {
    let mut picker = Picker::new(BalancingPolicy::TwoChoices, 3);
    picker.swap_table(&table(&[1.0, 1.0, 1.0, 1.0]));
    (0..20).for_each(|_| picker.try_started(0));
    let counts = spread(&mut picker, 40_000, |_| true);
    assert_eq!(counts.get(&0), None, "busy: beaten by every other");
    (0..20).for_each(|_| picker.try_ended(0));
    let counts = spread(&mut picker, 40_000, |_| true);
    assert!(
        counts.values().all(|n| (n * 4).abs_diff(40_000) < 2_000),
        "{counts:?}"
    );
    assert_eq!(picker.in_flight(0), 0);
    // One line alone is picked, however busy.
    picker.swap_table(&table(&[1.0]));
    picker.try_started(0);
    assert_eq!(picker.pick(|_| true), Some(0));
}

#[test]
fn what_may_not_be_picked_is_not_and_the_rest_keeps_its_proportions() {
    for way in [
        BalancingPolicy::WeightedRoundRobin,
        BalancingPolicy::WeightedRandom,
        BalancingPolicy::TwoChoices,
    ] {
        let mut picker = Picker::new(way, 1);
        picker.swap_table(&table(&[1.0, 100.0, 2.0, 0.0, -1.0, f64::NAN]));
        let counts = spread(&mut picker, 3_000, |s| s != 1);
        assert_eq!(
            counts.keys().copied().collect::<Vec<_>>(),
            [0, 2],
            "{way:?}"
        );
        if way != BalancingPolicy::TwoChoices {
            assert!(counts[&2].abs_diff(2_000) < 120, "{way:?}: {counts:?}");
        }
        assert_eq!(picker.pick(|_| false), None);
        // Back in: no flood to make up for what it missed.
        let counts = spread(&mut picker, 1_030, |_| true);
        assert!(counts[&1] <= 1_020, "{way:?}: {counts:?}");
        picker.swap_table(&[]);
        assert_eq!(picker.pick(|_| true), None);
    }
}

#[test]
fn a_run_of_own_failures_is_shunned_for_its_time_and_never_the_last() {
    let mut s = OutlierEjector::new(3, 1_000.0);
    let run = [
        (0.0, false),
        (1.0, false),
        (2.0, true),
        (3.0, false),
        (4.0, false),
    ];
    assert!(
        run.iter().all(|(at, good)| !s.record_try(*at, 7, *good)),
        "a good answer ends the run"
    );
    assert!(s.record_try(5.0, 7, false));
    assert!(s.is_ejected(1_004.0, 7) && !s.is_ejected(1_005.0, 7));
    // Late answers do not end it, further failures do not prolong it.
    assert!(!s.record_try(10.0, 7, true) && !s.record_try(11.0, 7, false));
    assert!(s.is_ejected(1_004.0, 7) && !s.is_ejected(1_005.0, 7));
    let mut picker = Picker::new(BalancingPolicy::WeightedRoundRobin, 1);
    picker.swap_table(&[WeightedServer {
        server: 7,
        weight: 1.0,
    }]);
    assert_eq!(
        s.pick(500.0, |may| picker.pick(may)),
        Some(7),
        "nothing else is left"
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
    assert!((0..9).all(|_| s.pick(500.0, |may| picker.pick(may)) == Some(8)));
    s.retain(|server| server != 7);
    assert!(!s.is_ejected(500.0, 7));
    let mut never = OutlierEjector::new(0, 1_000.0);
    assert!((0..99).all(|_| !never.record_try(0.0, 1, false)));
}

#[test]
fn nothing_is_tried_again_but_as_ordered_and_where_it_cannot_run_twice() {
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
    for (idempotency, policy, failure, tries, left_ms, wanted) in cases {
        let failed = FailedTry {
            idempotency,
            policy,
            failure,
            tries,
            left_ms,
        };
        assert_eq!(
            check_retry(&failed, &mut RetryBudget::new(0.1)),
            wanted,
            "{failed:?}"
        );
    }
}

#[test]
fn further_tries_do_not_amplify_an_outage() {
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
        "a tenth, and what was saved: {tries}"
    );
}

#[test]
fn levels_let_their_share_in_evenly() {
    for share in [0.0, 0.1, 0.5, 0.73, 1.0, 2.0, -1.0] {
        let mut admission = Admission::new();
        admission.set_share(share);
        let lets: Vec<bool> = (0..1_000).map(|_| admission.admits()).collect();
        for stretch in [10, 100, 1_000] {
            for window in lets.windows(stretch) {
                let had = window.iter().filter(|l| **l).count() as f64;
                let part = share.clamp(0.0, 1.0) * stretch as f64;
                assert!((had - part).abs() <= 1.0 + 1e-6, "{share}: {had} of {part}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// The tree of sums finds what a plain scan finds, after any changes.
    #[test]
    fn sums_find_what_a_scan_finds(
        weights in prop::collection::vec(0.0..10.0_f64, 1..60),
        changes in prop::collection::vec((0_usize..60, 0.0..10.0_f64), 0..30),
        shares in prop::collection::vec(0.0..1.0_f64, 20),
    ) {
        let mut plain = weights.clone();
        let mut sums = FenwickTree::of(&weights);
        for (index, weight) in changes {
            let index = index % plain.len();
            plain[index] = weight;
            sums.set(index, weight);
        }
        let total: f64 = plain.iter().sum();
        prop_assert!((sums.total() - total).abs() < 1e-9);
        for share in shares {
            let found = sums.at(share);
            prop_assert_eq!(found.is_some(), total > 0.0);
            if let Some(found) = found {
                let before: f64 = plain[..found].iter().sum();
                let at = share * total;
                prop_assert!(plain[found] > 0.0);
                prop_assert!(before <= at + 1e-9 && at <= before + plain[found] + 1e-9);
            }
        }
    }

    /// Whatever tables come and whatever is out: only lines of the present table that may be picked are.
    #[test]
    fn only_what_is_there_and_may_be_is_picked(
        tables in prop::collection::vec(prop::collection::vec((0_usize..12, -1.0..5.0_f64), 0..14), 1..12),
        way in prop::sample::select(vec![BalancingPolicy::WeightedRoundRobin, BalancingPolicy::WeightedRandom, BalancingPolicy::TwoChoices]),
        seed in 0_u64..99,
    ) {
        let mut picker = Picker::new(way, seed);
        for (i, table) in tables.iter().enumerate() {
            let lines: Vec<WeightedServer> = table.iter().map(|(server, weight)| WeightedServer { server: *server, weight: *weight }).collect();
            picker.swap_table(&lines);
            let mut there: BTreeMap<usize, f64> = BTreeMap::new();
            for l in lines.iter().filter(|l| l.weight > 0.0) {
                there.insert(l.server, l.weight);
            }
            let may = |server: usize| server % 5 != i % 5;
            for _ in 0..30 {
                let picked = picker.pick(may);
                let any = there.keys().any(|s| may(*s));
                prop_assert_eq!(picked.is_some(), any);
                if let Some(server) = picked {
                    prop_assert!(there.contains_key(&server) && may(server));
                    picker.try_started(server);
                }
            }
        }
    }
}
