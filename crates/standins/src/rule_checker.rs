//! The checker of the five rules. It uses only what is seen at the sockets of servers and proxies, and never
//! asks the controller.

use crate::run_state::lock;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Mutex;

/// Violations of one rule that are kept in detail.
const MAX_VIOLATIONS_KEPT: usize = 20;

/// The names of the rules in reports, in order.
pub const RULES: [&str; 5] = [
    "nobody left without a server",
    "no effect twice",
    "drains kept",
    "no cold server pushed over",
    "a short queue",
];

/// The limits of the rules in one scenario.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Rule 1: how long a proxy may have no server.
    pub max_no_server_ms: f64,
    /// Rule 3: how long after a drain visits may still come.
    pub drain_grace_ms: f64,
    /// Rule 5: lines that may wait in the controller's channel.
    pub max_queued_lines: f64,
    /// Rule 5: messages that a proxy may get within `message_window_ms`; 0: no limit.
    pub max_messages: usize,
    pub message_window_ms: f64,
}

/// One violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    pub at_ms: f64,
    pub proxy: String,
    pub server: String,
    pub description: String,
}

/// The checks and violations of one rule.
#[derive(Clone, Debug, Default)]
struct RuleRecord {
    checked: u64,
    broken: u64,
    violations: Vec<Violation>,
}

/// A visit that a server executed.
struct Effect {
    server: usize,
    try_number: u32,
}

/// Lines that wait in the channel.
#[derive(Default)]
struct QueuedLines {
    now: f64,
    peak: f64,
}

/// How a message reached the proxies.
struct Rollout {
    first_received_ms: f64,
    last_applied_ms: f64,
    /// How many proxies applied it.
    proxies: u64,
}

/// The visits of one class, by result.
#[derive(Clone, Debug, Default)]
pub struct VisitCounts {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub failed: u64,
    pub refused: u64,
}

/// Records what happens in a run and checks the rules. Each field has its own lock, held only briefly.
pub struct RuleChecker {
    pub limits: RuleLimits,
    rules: Mutex<[RuleRecord; 5]>,
    effects: Mutex<HashMap<u64, Effect>>,
    messages: Mutex<BTreeMap<String, VecDeque<f64>>>,
    queued_lines: Mutex<QueuedLines>,
    pub visit_counts: Mutex<Vec<VisitCounts>>,
    message_delays: Mutex<Histogram<u64>>,
    /// Times from a drain in the roster until a visit that still came.
    pub drained_visit_delays: Mutex<Histogram<u64>>,
    /// Times from a drain in the roster until a proxy applied it.
    pub drain_apply_delays: Mutex<Histogram<u64>>,
    /// By the controller's serial.
    rollouts: Mutex<BTreeMap<String, Rollout>>,
    /// Times from a kill of the controller until every proxy was bound again.
    pub rebind_ms: Mutex<Vec<f64>>,
    /// Cold servers that failed: the name, the time, and the share of load from proxies that must have known.
    overloads: Mutex<Vec<(String, f64, f64)>>,
    /// Bytes of table messages, and of the whole tables that they replaced.
    pub bytes: Mutex<(u64, u64)>,
}

impl RuleChecker {
    /// A checker for so many classes.
    pub fn new(limits: RuleLimits, classes: usize) -> RuleChecker {
        // Microseconds up to an hour with three significant digits: always valid.
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds");
        RuleChecker {
            limits,
            rules: Mutex::default(),
            effects: Mutex::default(),
            messages: Mutex::default(),
            queued_lines: Mutex::default(),
            visit_counts: Mutex::new(vec![VisitCounts::default(); classes]),
            message_delays: Mutex::new(histogram()),
            drained_visit_delays: Mutex::new(histogram()),
            drain_apply_delays: Mutex::new(histogram()),
            rollouts: Mutex::default(),
            rebind_ms: Mutex::default(),
            overloads: Mutex::default(),
            bytes: Mutex::default(),
        }
    }

    fn count_check(&self, rule: usize) {
        lock(&self.rules)[rule].checked += 1;
    }

    /// Counts a violation and keeps its details, up to the limit.
    pub fn record_violation(
        &self,
        rule: usize,
        at_ms: f64,
        proxy: &str,
        server: &str,
        description: String,
    ) {
        let mut rules = lock(&self.rules);
        rules[rule].broken += 1;
        if rules[rule].violations.len() < MAX_VIOLATIONS_KEPT {
            rules[rule].violations.push(Violation {
                at_ms,
                proxy: proxy.into(),
                server: server.into(),
                description,
            });
        }
    }

    /// Rule 1: a joined proxy must not be without a server for long while a warm one is listed as ready.
    /// Returns whether the rule is broken.
    pub fn check_no_server(&self, now: f64, proxy: &str, since: Option<f64>) -> bool {
        self.count_check(0);
        let broken = since.is_some_and(|at| now - at > self.limits.max_no_server_ms);
        if broken {
            let ms = now - since.unwrap_or(now);
            self.record_violation(0, now, proxy, "", format!("no line to pick for {ms:.0} ms"));
        }
        broken
    }

    /// Rule 2: a server executed a visit that must not run twice.
    pub fn check_effect(
        &self,
        now: f64,
        visit: u64,
        try_number: u32,
        proxy: &str,
        server: (usize, &str),
    ) {
        self.count_check(1);
        let effect = Effect {
            server: server.0,
            try_number,
        };
        let before = lock(&self.effects).insert(visit, effect);
        if let Some(before) = before {
            let description = format!(
                "visit {visit} took effect at server {} by try {}, and again by try {try_number}",
                before.server, before.try_number
            );
            self.record_violation(1, now, proxy, server.1, description);
        }
    }

    /// Rule 3: a joined proxy sent a visit to a server; `listed` is since when the roster lists the server as
    /// draining or gone.
    pub fn check_drain(
        &self,
        at: f64,
        proxy: &str,
        joined_ms: f64,
        server: &str,
        listed: Option<f64>,
    ) {
        self.count_check(2);
        if let Some(listed) = listed {
            let late = at - listed.max(joined_ms);
            let us = (late.max(0.0) * 1e3) as u64;
            let _ = lock(&self.drained_visit_delays).record(us.max(1));
            if late > self.limits.drain_grace_ms {
                let description = format!("sent a visit {late:.0} ms after the drain was told");
                self.record_violation(2, at, proxy, server, description);
            }
        }
    }

    /// Rule 4: counts a visit to a cold server.
    pub fn count_cold_visit(&self) {
        self.count_check(3);
    }

    /// Rule 4: a cold server failed from overload. Broken if at least two thirds of the load came from proxies
    /// that must have known of its start.
    pub fn check_overload(&self, now: f64, server: &str, informed_share: f64) {
        lock(&self.overloads).push((server.to_string(), now, informed_share));
        if informed_share >= 2.0 / 3.0 {
            let description = format!(
                "pushed over while cold, {:.0}% by knowing proxies",
                informed_share * 100.0
            );
            self.record_violation(3, now, "", server, description);
        }
    }

    /// Rule 5: a proxy received a message of so many lines. The lines count as queued until
    /// [`Self::message_delivered`].
    pub fn check_message(&self, now: f64, proxy: &str, lines: f64) {
        self.count_check(4);
        let limits = &self.limits;
        let queued_lines = {
            let mut queued_lines = lock(&self.queued_lines);
            queued_lines.now += lines;
            queued_lines.peak = queued_lines.peak.max(queued_lines.now);
            queued_lines.now
        };
        if queued_lines > limits.max_queued_lines {
            let description = format!(
                "{queued_lines:.0} lines wait; {} may",
                limits.max_queued_lines
            );
            self.record_violation(4, now, proxy, "", description);
        }
        let mut messages = lock(&self.messages);
        let recent = messages.entry(proxy.to_string()).or_default();
        recent.push_back(now);
        while recent
            .front()
            .is_some_and(|at| now - at >= limits.message_window_ms)
        {
            recent.pop_front();
        }
        let count = recent.len();
        drop(messages);
        if limits.max_messages > 0 && count > limits.max_messages {
            let description = format!("{count} messages; {} may", limits.max_messages);
            self.record_violation(4, now, proxy, "", description);
        }
    }

    /// A message has left the channel.
    pub fn message_delivered(&self, lines: f64, took_ms: f64) {
        lock(&self.queued_lines).now -= lines;
        let _ = lock(&self.message_delays).record(((took_ms * 1e3) as u64).max(1));
    }

    /// Forgets the messages of a proxy, whose count starts again with each stream.
    pub fn reset_messages(&self, proxy: &str) {
        lock(&self.messages).remove(proxy);
    }

    /// Records the bytes of a message, and of the whole table that it replaced.
    pub fn record_bytes(&self, received: u64, whole_table: u64) {
        let mut bytes = lock(&self.bytes);
        bytes.0 += received;
        bytes.1 += whole_table;
    }

    /// Records that a proxy applied the message of a serial.
    pub fn record_applied(&self, serial: &str, received_ms: f64, now: f64) {
        let mut rollouts = lock(&self.rollouts);
        let rollout = rollouts.entry(serial.to_string()).or_insert(Rollout {
            first_received_ms: received_ms,
            last_applied_ms: now,
            proxies: 0,
        });
        rollout.first_received_ms = rollout.first_received_ms.min(received_ms);
        rollout.last_applied_ms = rollout.last_applied_ms.max(now);
        rollout.proxies += 1;
    }

    /// Records how long after its listing a drain was applied.
    pub fn record_drain_applied(&self, after_ms: f64) {
        let us = (after_ms.max(0.0) * 1e3) as u64;
        let _ = lock(&self.drain_apply_delays).record(us.max(1));
    }

    /// Whether any rule is broken.
    pub fn is_broken(&self) -> bool {
        lock(&self.rules).iter().any(|r| r.broken > 0)
    }

    /// The report as JSON; `classes` are names and earnings.
    pub fn report(&self, classes: &[(String, f64)]) -> Value {
        let rules = lock(&self.rules).clone();
        let rules: Vec<Value> = rules
            .iter()
            .zip(RULES)
            .map(|(r, name)| {
                let violations = r.violations.iter().map(|v| {
                    json!({"at_ms": v.at_ms.round(), "proxy": v.proxy, "server": v.server, "what": v.description})
                });
                json!({"rule": name, "checked": r.checked, "broken": r.broken,
                       "violations": violations.collect::<Vec<_>>()})
            })
            .collect();
        let visit_counts = lock(&self.visit_counts).clone();
        let (mut asked, mut served) = (0.0, 0.0);
        let visits: Vec<Value> = visit_counts
            .iter()
            .zip(classes)
            .map(|(e, (name, earnings))| {
                asked += e.asked as f64 * earnings;
                served += e.in_time as f64 * earnings;
                json!({"class": name, "asked": e.asked, "fulfilled_in_soft_limit": e.in_time,
                       "late": e.late, "failed": e.failed, "refused": e.refused})
            })
            .collect();
        let times = |h: &Histogram<u64>| {
            let at = |q| h.value_at_quantile(q) as f64 / 1e3;
            json!({"count": h.len(), "median_ms": at(0.5), "p99_ms": at(0.99), "worst_ms": h.max() as f64 / 1e3})
        };
        let bytes = *lock(&self.bytes);
        let mut rounds: Vec<f64> = {
            let rollouts = lock(&self.rollouts);
            // Only serials that went to more than one proxy: the lines of a tick, a withdrawal.
            let many = rollouts.values().filter(|r| r.proxies > 1);
            many.map(|r| r.last_applied_ms - r.first_received_ms)
                .collect()
        };
        rounds.sort_by(f64::total_cmp);
        let round = |q: f64| {
            let at = (rounds.len() as f64 * q) as usize;
            rounds.get(at.min(rounds.len().saturating_sub(1))).copied()
        };
        let rounds = json!({"count": rounds.len(), "median_ms": round(0.5), "p99_ms": round(0.99),
                            "worst_ms": round(1.0)});
        json!({
            "rules": rules,
            "earnings": {"asked": asked, "fulfilled": served, "share": served / f64::max(asked, 1e-9)},
            "visits": visits,
            "channel": {"most_waiting": lock(&self.queued_lines).peak, "way": times(&lock(&self.message_delays)),
                        "bytes": bytes.0, "bytes_if_whole": bytes.1},
            "first_to_last_applied": rounds,
            "drain_to_applied": times(&lock(&self.drain_apply_delays)),
            "visits_after_a_drain": times(&lock(&self.drained_visit_delays)),
            "cold_falls": *lock(&self.overloads),
            "kill_to_all_bound_ms": *lock(&self.rebind_ms),
        })
    }
}
