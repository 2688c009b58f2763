//! Messages at the sustained interval keep the limit whatever was written before, and no shorter interval does.

use super::{MessageLimit, MessageUsage};

const LIMIT: MessageLimit = MessageLimit {
    messages: 13.0,
    window_ms: 10_000.0,
};

/// Most messages within a window that ends at one of them.
fn most_messages(times: &[f64]) -> usize {
    let within = |end: f64| {
        let in_window = times
            .iter()
            .filter(|at| **at <= end && end - **at < LIMIT.window_ms - 1e-6);
        in_window.count()
    };
    times.iter().map(|end| within(*end)).max().unwrap_or(0)
}

/// Messages that were sent, with others at even intervals after `now`.
fn with_messages_every(interval_ms: f64, sent: &[f64], now: f64) -> Vec<f64> {
    let more = (1..=60).map(|n| now + f64::from(n) * interval_ms);
    sent.iter().copied().chain(more).collect()
}

#[test]
fn the_sustained_interval_is_the_shortest_that_keeps_the_limit() {
    let now = 20_000.0;
    let evenly = |count: usize, step: f64| (0..count).map(move |i| now - step * i as f64);
    for (count, step) in [
        (0, 1.0),
        (1, 1.0),
        (8, 0.0),
        (13, 0.0),
        (13, 700.0),
        (6, 1600.0),
    ] {
        let mut sent: Vec<f64> = evenly(count, step).collect();
        sent.reverse();
        let interval_ms = LIMIT.sustained_interval_ms(&sent, now);
        let kept = most_messages(&with_messages_every(interval_ms, &sent, now));
        assert!(kept <= 13, "{count} {step}: {kept} every {interval_ms} ms");
        let shorter = with_messages_every(interval_ms * 0.9, &sent, now);
        assert!(most_messages(&shorter) > 13, "{count} {step}");
    }
}

#[test]
fn without_a_limit_there_is_no_interval() {
    let limit = MessageLimit {
        messages: f64::INFINITY,
        ..LIMIT
    };
    assert_eq!(limit.sustained_interval_ms(&[1.0, 2.0], 3.0), 0.0);
    let usage = MessageUsage::of(&[1.0], 3.0, limit);
    assert_eq!((usage.messages, usage.interval_after_next_ms), (1.0, 0.0));
}
