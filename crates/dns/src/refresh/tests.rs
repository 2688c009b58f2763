use super::*;

fn target(i: u8) -> Target {
    Target {
        name: format!("h{i}"),
        address: ([10, 0, 0, i], 80).into(),
        priority: 0,
        weight: 1,
    }
}

fn all(n: u8) -> Answer {
    Answer::Targets((0..n).map(target).collect(), 10_000.0)
}

fn failed() -> Answer {
    Answer::Failed("no answer".into())
}

/// Each step: the time and the answer; then the expected number of targets, their freshness and the next lookup.
#[test]
fn targets_hold_while_lookups_fail() {
    use Freshness::{Fresh, NeverAnswered, Stale};
    type Step = (f64, Option<Answer>, usize, Freshness, f64);
    let cases: [(&str, Vec<Step>); 6] = [
        (
            "never answered",
            vec![
                (0.0, Some(failed()), 0, NeverAnswered, 500.0),
                (500.0, Some(failed()), 0, NeverAnswered, 1_500.0),
            ],
        ),
        (
            "a minute of failures",
            vec![
                (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                (8e3, Some(failed()), 4, Fresh, 8_500.0),
                (10e3, Some(failed()), 4, Stale, 11_000.0),
                (68e3, Some(failed()), 4, Stale, 70_000.0),
                (70e3, Some(all(4)), 4, Fresh, 78_000.0),
            ],
        ),
        (
            "no answer any more",
            vec![
                (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                (9e9, None, 4, Stale, 8_000.0),
            ],
        ),
        (
            "one host fewer",
            vec![
                (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                (8e3, Some(all(3)), 3, Fresh, 16_000.0),
            ],
        ),
        (
            "a much smaller answer that is not confirmed",
            vec![
                (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                (8e3, Some(all(1)), 4, Fresh, 9_000.0),
                (9e3, Some(all(4)), 4, Fresh, 17_000.0),
            ],
        ),
        (
            "a much smaller answer that is confirmed",
            vec![
                (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                (8e3, Some(Answer::NoRecords(5e3)), 4, Fresh, 9_000.0),
                (9e3, Some(failed()), 4, Fresh, 9_500.0),
                (9.5e3, Some(Answer::NoRecords(5e3)), 0, Fresh, 13_500.0),
            ],
        ),
    ];
    for (name, steps) in cases {
        let mut r = Refresh::default();
        for (now, answer, count, freshness, next) in steps {
            if let Some(answer) = answer {
                r.handle_answer(now, &answer);
            }
            let (targets, found) = r.targets(now);
            assert_eq!(
                (targets.len(), found, r.next_lookup_at()),
                (count, freshness, next),
                "{name} at {now}"
            );
        }
    }
}

#[test]
fn ttls_and_retry_delays_are_bounded() {
    for (ttl_ms, next) in [
        (0.0, 800.0),
        (f64::NAN, 800.0),
        (1e12, 240_000.0),
        (5e3, 4_000.0),
    ] {
        let mut r = Refresh::default();
        r.handle_answer(0.0, &Answer::Targets(vec![target(1)], ttl_ms));
        assert_eq!(r.next_lookup_at(), next, "{ttl_ms}");
    }
    let mut r = Refresh::default();
    (0..100).for_each(|_| {
        r.handle_answer(0.0, &failed());
    });
    assert_eq!(r.next_lookup_at(), 30_000.0);
}
