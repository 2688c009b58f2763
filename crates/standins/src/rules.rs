//! The five rules, checked by what crossed the sockets: what servers were sent and did, and what proxies
//! were written. Nothing here asks the controller.

use crate::world::lock;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Mutex;

/// Violations of one rule that are kept with their particulars.
const KEPT: usize = 20;

pub const RULES: [&str; 5] = [
    "nobody left without a server",
    "no effect twice",
    "drains kept",
    "no cold server pushed over",
    "a short queue",
];

/// The figures of the rules, of one day.
#[derive(Clone, Debug)]
pub struct Figures {
    pub bare_ms: f64,
    pub grace_ms: f64,
    pub most_waiting: f64,
    pub most_messages: usize,
    pub span_ms: f64,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub at_ms: f64,
    pub proxy: String,
    pub server: String,
    pub what: String,
}

#[derive(Clone, Debug, Default)]
struct Rule {
    checked: u64,
    broken: u64,
    kept: Vec<Violation>,
}

/// A visit that was carried out.
struct Effect {
    server: usize,
    try_number: u32,
}

/// What the visits of one class came to.
#[derive(Clone, Debug, Default)]
pub struct Earned {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub failed: u64,
    pub refused: u64,
}

/// All that is noted in a day. Each part has a lock of its own, held for a moment only.
pub struct Ledger {
    pub figures: Figures,
    rules: Mutex<[Rule; 5]>,
    effects: Mutex<HashMap<u64, Effect>>,
    messages: Mutex<BTreeMap<String, VecDeque<f64>>>,
    waiting: Mutex<(f64, f64)>,
    pub earned: Mutex<Vec<Earned>>,
    spread: Mutex<Histogram<u64>>,
    pub drained: Mutex<Histogram<u64>>,
    /// From a drain in the roster to its being applied by a proxy.
    pub withdrawn: Mutex<Histogram<u64>>,
    /// By the controller's serial: when it first came anywhere, when it was last applied, by how many.
    serials: Mutex<BTreeMap<String, (f64, f64, u64)>>,
    /// From a kill of the controller until every proxy was bound again.
    pub rebound_ms: Mutex<Vec<f64>>,
    /// Cold servers that fell over: when, and the share of their load from proxies that could know.
    falls: Mutex<Vec<(String, f64, f64)>>,
    pub bytes: Mutex<(u64, u64)>,
}

impl Ledger {
    pub fn new(figures: Figures, classes: usize) -> Ledger {
        // Three figures of up to an hour in microseconds: always a valid histogram.
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds");
        Ledger {
            figures,
            rules: Mutex::default(),
            effects: Mutex::default(),
            messages: Mutex::default(),
            waiting: Mutex::default(),
            earned: Mutex::new(vec![Earned::default(); classes]),
            spread: Mutex::new(histogram()),
            drained: Mutex::new(histogram()),
            withdrawn: Mutex::new(histogram()),
            serials: Mutex::default(),
            rebound_ms: Mutex::default(),
            falls: Mutex::default(),
            bytes: Mutex::default(),
        }
    }

    fn checked(&self, rule: usize) {
        lock(&self.rules)[rule].checked += 1;
    }

    pub fn broken(&self, rule: usize, at_ms: f64, proxy: &str, server: &str, what: String) {
        let mut rules = lock(&self.rules);
        rules[rule].broken += 1;
        if rules[rule].kept.len() < KEPT {
            rules[rule].kept.push(Violation {
                at_ms,
                proxy: proxy.into(),
                server: server.into(),
                what,
            });
        }
    }

    /// Rule 1: how long a joined proxy has had no line to pick, while a warm server was told as ready.
    pub fn bare(&self, now: f64, proxy: &str, since: Option<f64>) -> bool {
        self.checked(0);
        let broken = since.is_some_and(|at| now - at > self.figures.bare_ms);
        if broken {
            let ms = now - since.unwrap_or(now);
            self.broken(0, now, proxy, "", format!("no line to pick for {ms:.0} ms"));
        }
        broken
    }

    /// Rule 2: a visit that must not run twice was carried out.
    pub fn effect(
        &self,
        now: f64,
        visit: u64,
        try_number: u32,
        proxy: &str,
        server: (usize, &str),
    ) {
        self.checked(1);
        let effect = Effect {
            server: server.0,
            try_number,
        };
        let before = lock(&self.effects).insert(visit, effect);
        if let Some(before) = before {
            let what = format!(
                "visit {visit} took effect at server {} by try {}, and again by try {try_number}",
                before.server, before.try_number
            );
            self.broken(1, now, proxy, server.1, what);
        }
    }

    /// Rule 3: a joined proxy sent a visit to a server told to be draining or gone since `told`.
    pub fn sent(&self, at: f64, proxy: &str, joined: f64, server: &str, told: Option<f64>) {
        self.checked(2);
        if let Some(told) = told {
            let late = at - told.max(joined);
            let us = (late.max(0.0) * 1e3) as u64;
            let _ = lock(&self.drained).record(us.max(1));
            if late > self.figures.grace_ms {
                let what = format!("sent a visit {late:.0} ms after the drain was told");
                self.broken(2, at, proxy, server, what);
            }
        }
    }

    pub fn cold_visit(&self) {
        self.checked(3);
    }

    /// Rule 4: a cold server fell over, with that share of its load from proxies that could know.
    pub fn fell(&self, now: f64, server: &str, knowing: f64) {
        lock(&self.falls).push((server.to_string(), now, knowing));
        if knowing >= 2.0 / 3.0 {
            let what = format!(
                "pushed over while cold, {:.0}% by knowing proxies",
                knowing * 100.0
            );
            self.broken(3, now, "", server, what);
        }
    }

    /// Rule 5: a message came out of the controller's channel for a proxy, of so many lines.
    pub fn message(&self, now: f64, proxy: &str, lines: f64) {
        self.checked(4);
        let figures = &self.figures;
        let waiting = {
            let mut waiting = lock(&self.waiting);
            waiting.0 += lines;
            waiting.1 = waiting.1.max(waiting.0);
            waiting.0
        };
        if waiting > figures.most_waiting {
            let what = format!("{waiting:.0} lines wait; {} may", figures.most_waiting);
            self.broken(4, now, proxy, "", what);
        }
        let mut messages = lock(&self.messages);
        let lately = messages.entry(proxy.to_string()).or_default();
        lately.push_back(now);
        while lately.front().is_some_and(|at| now - at >= figures.span_ms) {
            lately.pop_front();
        }
        let count = lately.len();
        drop(messages);
        if figures.most_messages > 0 && count > figures.most_messages {
            let what = format!("{count} messages; {} may", figures.most_messages);
            self.broken(4, now, proxy, "", what);
        }
    }

    pub fn message_done(&self, lines: f64, took_ms: f64) {
        lock(&self.waiting).0 -= lines;
        let _ = lock(&self.spread).record(((took_ms * 1e3) as u64).max(1));
    }

    /// A proxy's count of messages begins anew with its stream.
    pub fn rejoined(&self, proxy: &str) {
        lock(&self.messages).remove(proxy);
    }

    /// Bytes of a message that came, and of the whole table that it could have been.
    pub fn wire(&self, came: u64, whole: u64) {
        let mut bytes = lock(&self.bytes);
        bytes.0 += came;
        bytes.1 += whole;
    }

    /// A message of that serial was applied.
    pub fn applied(&self, serial: &str, came: f64, now: f64) {
        let mut serials = lock(&self.serials);
        let seen = serials.entry(serial.to_string()).or_insert((came, now, 0));
        seen.0 = seen.0.min(came);
        seen.1 = seen.1.max(now);
        seen.2 += 1;
    }

    pub fn withdrawn(&self, after_ms: f64) {
        let us = (after_ms.max(0.0) * 1e3) as u64;
        let _ = lock(&self.withdrawn).record(us.max(1));
    }

    pub fn is_broken(&self) -> bool {
        lock(&self.rules).iter().any(|r| r.broken > 0)
    }

    /// Everything, for a program.
    pub fn report(&self, classes: &[(String, f64)]) -> Value {
        let rules = lock(&self.rules).clone();
        let rules: Vec<Value> = rules
            .iter()
            .zip(RULES)
            .map(|(r, name)| {
                let kept = r.kept.iter().map(|v| {
                    json!({"at_ms": v.at_ms.round(), "proxy": v.proxy, "server": v.server, "what": v.what})
                });
                json!({"rule": name, "checked": r.checked, "broken": r.broken,
                       "violations": kept.collect::<Vec<_>>()})
            })
            .collect();
        let earned = lock(&self.earned).clone();
        let (mut asked, mut served) = (0.0, 0.0);
        let visits: Vec<Value> = earned
            .iter()
            .zip(classes)
            .map(|(e, (name, worth))| {
                asked += e.asked as f64 * worth;
                served += e.in_time as f64 * worth;
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
            let serials = lock(&self.serials);
            // Those that concerned more than one proxy: a tick's lines, a withdrawal.
            let many = serials.values().filter(|s| s.2 > 1);
            many.map(|s| s.1 - s.0).collect()
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
            "channel": {"most_waiting": lock(&self.waiting).1, "way": times(&lock(&self.spread)),
                        "bytes": bytes.0, "bytes_if_whole": bytes.1},
            "first_to_last_applied": rounds,
            "drain_to_applied": times(&lock(&self.withdrawn)),
            "visits_after_a_drain": times(&lock(&self.drained)),
            "cold_falls": *lock(&self.falls),
            "kill_to_all_bound_ms": *lock(&self.rebound_ms),
        })
    }
}
