//! Tests of the intake on fixed cases and on random input: sampled sums are unbiased, merging does
//! not depend on order, and no flag is raised without a cause.

use dahliapoint_intake::estimates::{Estimates, Observation};
use dahliapoint_intake::interval::ReportInterval;
use dahliapoint_intake::report_queue::{Line, Refusal, ReportQueue};
use dahliapoint_intake::sampling::{Rng, keep_probability, quota, sample, threshold};
use dahliapoint_intake::sketch::{QuantileSketch, RELATIVE_ERROR};
use dahliapoint_intake::trust::{ProxyViews, ServerSample, TrustChange, TrustTracker};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn line(tries: f64, failed: f64, good_ms: f64) -> Line {
    Line {
        tries,
        failed,
        good_ms,
        ..Line::default()
    }
}

#[test]
fn quota_serves_small_claims_in_full_and_splits_the_rest() {
    let cases: [(&[usize], usize, usize); 6] = [
        (&[10, 10, 10], 30, usize::MAX),
        (&[10, 10, 1000], 100, 80),
        (&[100, 100, 1000], 90, 30),
        (&[0, 5, 50, 500], 65, 30),
        (&[], 10, usize::MAX),
        (&[7], 3, 3),
    ];
    for (wanted, max_lines, each) in cases {
        assert_eq!(quota(wanted, max_lines), each, "{wanted:?} in {max_lines}");
    }
}

#[test]
fn sampled_sums_are_unbiased() {
    let sizes: Vec<f64> = (0..400).map(|i| f64::from(i % 40) + 1.0).collect();
    let truth: f64 = sizes.iter().sum();
    let size_threshold = threshold(&sizes, 100);
    let mut rng = Rng::from_seed(11);
    let (mut sums, mut kept, mut within) = (0.0, 0, 0);
    for _ in 0..500 {
        let (mut sum, mut variance) = (0.0, 0.0);
        for size in &sizes {
            if let Some((factor, v)) =
                sample(*size, keep_probability(*size, size_threshold), &mut rng)
            {
                sum += size * factor;
                variance += v;
                kept += 1;
            }
        }
        sums += sum;
        within += usize::from((sum - truth).abs() <= 2.0 * f64::sqrt(variance));
    }
    assert!(
        (sums / 500.0 / truth - 1.0).abs() < 0.01,
        "{}",
        sums / 500.0 / truth
    );
    assert!((f64::from(kept) / 500.0 - 100.0).abs() < 2.0);
    assert!(
        within >= 460,
        "the bound holds in 19 of 20: {within} of 500"
    );
    assert_eq!(threshold(&sizes, 400), 0.0);
}

#[test]
fn queue_is_bounded_for_a_fast_reporter() {
    let mut queue: ReportQueue<u64, usize> = ReportQueue::new(500.0, 50, 1);
    queue.stream_started(0.0, 1);
    queue.stream_started(0.0, 2);
    for i in 0..100_000 {
        let now = f64::from(i) / 10.0;
        let lines = (0..10).map(|s| (s, line(1.0, 0.0, 5.0)));
        queue.push(now, &1, 0.1, lines, std::iter::empty()).unwrap();
    }
    let quiet = [(3, line(7.0, 7.0, 0.0))];
    queue
        .push(
            10_000.0,
            &2,
            500.0,
            quiet.into_iter(),
            [(0, 7.0)].into_iter(),
        )
        .unwrap();
    assert!(
        queue.pending_lines() <= 8 * 10 + 1,
        "{}",
        queue.pending_lines()
    );
    let read = queue.read(10_000.0, 1_000);
    let tries: f64 = read.iter().flat_map(|r| &r.lines).map(|l| l.1.tries).sum();
    assert_eq!(tries, 1_000_007.0, "no tries are lost");
    let quiet = read.iter().find(|r| r.reporter == 2).unwrap();
    assert_eq!(quiet.lines, [(3, line(7.0, 7.0, 0.0), 0.0)]);
    assert_eq!(queue.pending_lines(), 0);
    // Rejected reports leave everything else unchanged.
    let many = (0..51).map(|s| (s, Line::default()));
    let many = queue.push(0.0, &1, 1.0, many, std::iter::empty());
    assert_eq!(many, Err(Refusal::TooManyServers));
    let none = || std::iter::empty::<(usize, Line)>();
    let empty = none().collect::<Vec<_>>();
    let put = |m: &mut ReportQueue<u64, usize>, who: u64, window: f64| {
        m.push(
            0.0,
            &who,
            window,
            empty.clone().into_iter(),
            std::iter::empty(),
        )
    };
    assert_eq!(put(&mut queue, 9, 1.0), Err(Refusal::UnknownStream));
    for window in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e9] {
        assert_eq!(put(&mut queue, 1, window), Err(Refusal::InvalidWindow));
    }
    queue.stream_ended(&1);
    assert_eq!(put(&mut queue, 1, 1.0), Err(Refusal::UnknownStream));
}

#[test]
fn excess_lines_are_merged_before_sampling() {
    // A hundred reporters with ten lines each; a round can read 400 of the 1,000 lines.
    let mut queue: ReportQueue<u64, usize> = ReportQueue::new(500.0, 50, 1);
    (0..100).for_each(|r| queue.stream_started(0.0, r));
    let mut sent_tries = 0.0;
    let mut read_tries = 0.0;
    for round in 1..41 {
        let now = f64::from(round) * 500.0;
        for r in 0..100 {
            let lines = (0..10).map(|s| (s, line(2.0, 0.0, 9.0)));
            queue
                .push(now, &r, 500.0, lines, std::iter::empty())
                .unwrap();
            sent_tries += 20.0;
        }
        let read = queue.read(now, 400);
        let reporters: std::collections::BTreeSet<u64> = read.iter().map(|r| r.reporter).collect();
        assert!(reporters.len() >= 13, "{}", reporters.len());
        let lines = read.iter().flat_map(|r| &r.lines);
        read_tries += lines.map(|l| l.1.tries).sum::<f64>();
    }
    // No load is lost: what has not been read is still pending.
    assert!(
        (read_tries / sent_tries - 1.0).abs() < 0.15,
        "{read_tries} of {sent_tries}"
    );
}

#[test]
fn burst_after_a_stall_is_not_current_load() {
    let mut queue: ReportQueue<u64, usize> = ReportQueue::new(500.0, 50, 1);
    queue.stream_started(0.0, 1);
    let mut estimates = Estimates::new(500.0, 1);
    // Ten tries every half second; the stream stalls for thirty seconds and everything arrives at
    // once.
    for i in 0..60 {
        let tries = line(10.0, 0.0, 100.0);
        let put = queue.push(
            30_000.0,
            &1,
            500.0,
            [(0, tries)].into_iter(),
            std::iter::empty(),
        );
        assert_eq!(put, Ok(()), "{i}");
    }
    for r in queue.read(30_000.0, 1000) {
        for (server, l, variance) in r.lines {
            estimates.record(
                30_000.0,
                &Observation {
                    server,
                    zone: 0,
                    begin: r.begin,
                    end: r.end,
                    tries: l.tries,
                    failed: l.failed,
                    good_ms: l.good_ms,
                    variance,
                },
            );
        }
    }
    let now = estimates.estimate(30_000.0, 0, 1_000.0).unwrap();
    assert!(
        (10.0..=40.0).contains(&now.tries),
        "load of two or three half seconds: {}",
        now.tries
    );
    assert!(now.age_ms <= 500.0);
    let later = estimates.estimate(31_500.0, 0, 10_000.0).unwrap();
    assert!((150.0..=200.0).contains(&later.tries), "{later:?}");
    assert!(later.age_ms >= 1_000.0, "{later:?}");
}

#[test]
fn interval_adapts_without_oscillating() {
    let mut interval = ReportInterval::new(0.0, 500.0, 1_000.0);
    let mut moves = Vec::new();
    // Reporters send 1,500 lines per second at the usual interval, fewer at longer ones.
    for i in 1..400 {
        let now = f64::from(i) * 500.0;
        let lines = 1_500.0 * 500.0 / interval.ms() / 2.0;
        moves.extend(interval.observe(now, lines, 500.0));
    }
    assert!(moves.len() <= 3, "must settle: {moves:?}");
    assert!(interval.ms() > 500.0);
    // At low load the interval returns to the usual one and no lower.
    for i in 400..800 {
        interval.observe(f64::from(i) * 500.0, 10.0, 500.0);
    }
    assert_eq!(interval.ms(), 500.0);
}

fn samples(own_ms: f64, queue: f64, measured_ms: f64) -> BTreeMap<usize, ServerSample> {
    let sample = ServerSample {
        own_ms: Some(own_ms),
        own_queue: Some(queue),
        measured_ms,
        tries: 50.0,
    };
    [(0, sample)].into()
}

#[test]
fn stale_server_is_flagged_and_idle_one_is_not() {
    // Name; self-reported time and queue and measured time by period; whether the server must be
    // flagged within ten periods of half a second.
    type Case = (&'static str, fn(usize) -> (f64, f64, f64), bool);
    let cases: [Case; 6] = [
        ("idle", |i| (20.0 + (i % 3) as f64, 0.0, 22.0), false),
        (
            "busy and reports it",
            |i| (40.0 + i as f64, 6.0, 290.0 + i as f64),
            false,
        ),
        ("stale and slow", |_| (20.0, 0.0, 300.0), true),
        (
            "stale while it slows",
            |i| (20.0, 5.0, 25.0 + 30.0 * i as f64),
            true,
        ),
        (
            "slow and reports it",
            |i| (25.0 + 30.0 * i as f64, 1.0, 60.0 + 40.0 * i as f64),
            false,
        ),
        (
            "exactly constant, as measured",
            |_| (20.0, 1.0, 30.0),
            false,
        ),
    ];
    for (name, at, wanted) in cases {
        let mut tracker = TrustTracker::default();
        // A calm phase, followed by the case.
        for i in 0..20 {
            tracker.observe_servers(&samples(20.0 + f64::from(i % 2), 0.0, 22.0));
        }
        assert!(!tracker.is_stale(0), "{name}: flagged in the calm phase");
        let raised = (0..10).position(|i| {
            let (own, queue, measured) = at(i);
            tracker.observe_servers(&samples(own, queue, measured));
            tracker.is_stale(0)
        });
        assert_eq!(raised.is_some(), wanted, "{name}: {raised:?}");
        // The flag is cleared by sustained evidence, not by one period.
        if wanted {
            tracker.observe_servers(&samples(21.0, 0.0, 22.0));
            assert!(tracker.is_stale(0), "{name}: one period is not enough");
            for i in 0..14 {
                tracker.observe_servers(&samples(20.0 + f64::from(i % 2), 0.0, 22.0));
            }
            assert!(!tracker.is_stale(0), "{name}: must clear");
        }
    }
}

#[test]
fn slow_network_flags_no_server_but_one_stale_server_is_flagged() {
    let round = |slow: &dyn Fn(usize) -> bool| {
        let sample = |server| ServerSample {
            own_ms: Some(20.0),
            own_queue: Some(0.0),
            measured_ms: if slow(server) { 300.0 } else { 22.0 },
            tries: 50.0,
        };
        (0..10)
            .map(|server| (server, sample(server)))
            .collect::<BTreeMap<_, _>>()
    };
    let mut tracker = TrustTracker::default();
    assert!((0..40).all(|_| tracker.observe_servers(&round(&|_| true)).is_empty()));
    assert!((0..40).all(|_| tracker.observe_servers(&round(&|s| s < 4)).is_empty()));
    let changes: Vec<_> = (0..6)
        .flat_map(|_| tracker.observe_servers(&round(&|s| s == 3)))
        .collect();
    assert_eq!(changes, [TrustChange::StaleServer(3, true)]);
}

#[test]
fn no_flag_in_an_hour_of_normal_load() {
    let mut rng = Rng::from_seed(5);
    let mut tracker = TrustTracker::default();
    for _ in 0..7_200 {
        let mut samples = BTreeMap::new();
        let mut views = ProxyViews::new();
        for server in 0..20 {
            let busy = rng.next_f64() * 0.8;
            let own = 20.0 * (0.9 + 0.2 * rng.next_f64());
            samples.insert(
                server,
                ServerSample {
                    own_ms: Some(own),
                    own_queue: Some((busy * 3.0).floor()),
                    measured_ms: own * (1.0 + busy * 2.0 * rng.next_f64()),
                    tries: 5.0 + 40.0 * rng.next_f64(),
                },
            );
            for proxy in 0..8 {
                let failed = if rng.next_f64() < 0.02 { 2.0 } else { 0.0 };
                views
                    .entry(proxy)
                    .or_default()
                    .insert(server, (10.0, failed));
            }
        }
        let changes = (
            tracker.observe_servers(&samples),
            tracker.observe_proxies(&views),
        );
        assert_eq!(changes, (vec![], vec![]));
    }
}

#[test]
fn contrary_proxy_is_flagged_and_failing_server_flags_no_proxy() {
    let views = |fails: &dyn Fn(usize, usize) -> bool| {
        let mut views = ProxyViews::new();
        for proxy in 0..5 {
            for server in 0..6 {
                let failed = if fails(proxy, server) { 9.0 } else { 0.0 };
                views
                    .entry(proxy)
                    .or_default()
                    .insert(server, (10.0, failed));
            }
        }
        views
    };
    let mut tracker = TrustTracker::default();
    let one = views(&|proxy, _| proxy == 3);
    let changes: Vec<_> = (0..4).flat_map(|_| tracker.observe_proxies(&one)).collect();
    assert_eq!(changes, [TrustChange::ContraryProxy(3, true)]);
    let mut tracker = TrustTracker::default();
    let server = views(&|_, server| server == 2);
    assert!((0..20).all(|_| tracker.observe_proxies(&server).is_empty()));
    // A proxy that succeeds where all others fail.
    let mut tracker = TrustTracker::default();
    let blind = views(&|proxy, _| proxy != 1);
    (0..4).for_each(|_| drop(tracker.observe_proxies(&blind)));
    assert!(tracker.is_contrary(1) && (0..5).filter(|p| tracker.is_contrary(*p)).count() == 1);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Merging is commutative and associative, and quantiles stay within the stated error.
    #[test]
    fn sketches_merge_in_any_order(values in prop::collection::vec(0.02..50_000.0_f64, 1..300), at in 0.0..1.0_f64) {
        let of = |values: &[f64]| {
            let mut s = QuantileSketch::default();
            values.iter().for_each(|v| s.add(*v, 1.0));
            s
        };
        let cut = (values.len() as f64 * at) as usize;
        let (a, b) = (of(&values[..cut]), of(&values[cut..]));
        let whole = of(&values);
        let (mut ab, mut ba) = (a.clone(), b.clone());
        ab.merge(&b);
        ba.merge(&a);
        prop_assert_eq!(&ab, &ba);
        prop_assert_eq!(&ab, &whole);
        let mut sorted = values.clone();
        sorted.sort_by(f64::total_cmp);
        for share in [0.5, 0.95] {
            let rank = (sorted.len() as f64 * share).ceil().max(1.0) as usize;
            let truth = sorted[rank - 1];
            let quantile = whole.quantile(share).unwrap();
            prop_assert!((quantile / truth - 1.0).abs() <= 2.1 * RELATIVE_ERROR, "{} for {}", quantile, truth);
        }
    }

    /// Whatever is reported, in whatever order and however late: no estimate is negative, infinite
    /// or too old, and all pending lines are read in the end.
    #[test]
    fn estimates_stay_valid_for_any_reports(
        script in prop::collection::vec((0_u64..4, 0_usize..5, 0.0..20_000.0_f64, 0.0..1e6_f64, 0.0..1.0_f64, 0.0..3000.0_f64), 1..120),
        max_lines in 1_usize..60,
    ) {
        let mut queue: ReportQueue<u64, usize> = ReportQueue::new(500.0, 16, 3);
        let mut estimates = Estimates::new(500.0, 2);
        let mut now = 0.0;
        (0..4).for_each(|r| queue.stream_started(0.0, r));
        for (reporter, server, window, tries, part, wait) in script {
            now += wait;
            if wait < 30.0 {
                queue.stream_started(now, reporter);
            }
            let l = line(tries, tries * part, tries * (1.0 - part) * 12.0);
            let _ = queue.push(now, &reporter, window, [(server, l)].into_iter(), [(0, tries)].into_iter());
            for r in queue.read(now, max_lines) {
                prop_assert!(r.begin <= r.end && r.end <= now + 1e-6);
                for (server, l, variance) in r.lines {
                    let zone = reporter as usize % 2;
                    estimates.record(now, &Observation {
                        server, zone, begin: r.begin, end: r.end,
                        tries: l.tries, failed: l.failed, good_ms: l.good_ms, variance,
                    });
                }
            }
            for server in 0..5 {
                if let Some(e) = estimates.estimate(now, server, 5_000.0) {
                    let all = [e.tries, e.failed, e.mean_ms, e.tail_ms, e.error, e.age_ms];
                    prop_assert!(all.iter().all(|x| x.is_finite() && *x >= 0.0), "{:?}", e);
                    prop_assert!(e.failed <= e.tries * (1.0 + 1e-9));
                    prop_assert!(e.age_ms <= 16_000.0 + 500.0);
                }
            }
        }
        // Pending lines have to be read, whole or sampled, after a bounded time.
        for later in 1..50 {
            queue.read(now + 2_000.0 * f64::from(later), max_lines);
        }
        prop_assert_eq!(queue.pending_lines(), 0);
        let t = queue.stats;
        prop_assert!(t.read + t.sampled_out + t.merged <= t.lines);
    }
}

#[test]
fn reporters_receive_these_reasons_for_a_rejected_report() {
    let reasons = [
        (Refusal::UnknownStream, "Unknown"),
        (Refusal::TooManyServers, "TooMany"),
        (Refusal::InvalidWindow, "NoStretch"),
    ];
    for (refusal, text) in reasons {
        assert_eq!(refusal.to_string(), text);
    }
}
