//! The guard beside a running controller: every change of a table is judged as it leaves, and what is
//! dangerous is told. It does not refuse yet.

use dahliapoint_control::{
    AdminState, Controller, LineState, Message, Output, Scope, ServerView, Terms,
};
use dahliapoint_guard::{Danger, Guard, Line, Server, Standing};
use dahliapoint_yaml::{At, read};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;

/// See the module's head.
#[derive(Default)]
pub struct Guarding {
    guard: Guard,
    index: BTreeMap<String, usize>,
    judged: u64,
    dangerous: BTreeMap<&'static str, u64>,
    last: Option<String>,
}

fn standing(state: AdminState) -> Standing {
    match state {
        AdminState::Ready => Standing::Ready,
        AdminState::Draining => Standing::Draining,
        AdminState::Gone => Standing::Gone,
    }
}

/// What a danger is, in words.
fn told(d: &Danger, name: impl Fn(usize) -> String) -> String {
    let whom = d.server.map_or(String::new(), |s| format!(" {}", name(s)));
    let code = d.reason.code();
    format!("{code}{whom}: {:.3}, borne {:.3}", d.found, d.most)
}

impl Guarding {
    fn place(&mut self, name: &str) -> usize {
        let next = self.index.len();
        *self.index.entry(name.to_string()).or_insert(next)
    }

    /// Judges what leaves at one moment; what is dangerous, in words.
    pub fn look(&mut self, controller: &Controller, outputs: &[Output]) -> Vec<String> {
        let tables: Vec<&Message> = outputs
            .iter()
            .filter_map(|o| match o {
                Output::Write(_, m) if m.scope != Scope::Standing && !m.lines.is_empty() => {
                    Some(&**m)
                }
                _ => None,
            })
            .collect();
        if tables.is_empty() {
            return Vec::new();
        }
        let overview = controller.overview();
        self.learn(&overview.servers, controller.terms());
        let mut out = Vec::new();
        let mut settled = std::collections::BTreeSet::new();
        for message in tables {
            let (part, whole) = match message.scope {
                Scope::Part(part) => (part, false),
                Scope::Whole(part) => (part, true),
                Scope::Standing => continue,
            };
            // Lines that wait are those of this moment alone: whatever was before is in force everywhere.
            let lines = message.lines.len() as f64;
            let many = overview
                .proxies
                .iter()
                .filter(|p| p.part == Some(part))
                .count() as f64;
            if settled.insert(part) && overview.accounts.waiting <= 2.0 * lines * many {
                self.guard.settled(part);
            }
            if whole && self.guard.has_table(part) {
                // A binding: the table that is in force.
                continue;
            }
            let lines: Vec<Line> = message
                .lines
                .iter()
                .map(|l| Line {
                    server: self.place(&l.server),
                    weight: if l.state == LineState::Away {
                        0.0
                    } else {
                        l.weight
                    },
                    open: l.state == LineState::Open,
                })
                .collect();
            self.judged += 1;
            for danger in self.guard.wants(part, &lines, whole) {
                *self.dangerous.entry(danger.reason.code()).or_default() += 1;
                let name = |s| {
                    let found = self.index.iter().find(|(_, i)| **i == s);
                    found.map_or(String::new(), |(name, _)| name.clone())
                };
                let text = format!("part {part}: {}", told(&danger, name));
                self.last = Some(text.clone());
                out.push(text);
            }
            self.guard.sent(part, &lines, whole);
        }
        out
    }

    /// What the fleet is now: a cold server is taken to bear its part of what the best warm one of its part
    /// carries, times what pushes it over.
    fn learn(&mut self, servers: &[ServerView], terms: &Terms) {
        let rate = |s: &ServerView| s.estimate.as_ref().map_or(0.0, |e| e.tries_per_s);
        let is_cold = |s: &ServerView| {
            s.started_ago_ms
                .is_some_and(|ago| ago < terms.warm_after_ms)
        };
        let mut loads: BTreeMap<usize, f64> = BTreeMap::new();
        let mut best: BTreeMap<usize, f64> = BTreeMap::new();
        for s in servers {
            let Some(part) = s.part else { continue };
            *loads.entry(part).or_default() += rate(s);
            if !is_cold(s) && s.listed_weight > 0.0 {
                let best = best.entry(part).or_default();
                *best = best.max(rate(s) / s.listed_weight);
            }
        }
        for s in servers {
            let index = self.place(&s.name);
            let best = s.part.and_then(|p| best.get(&p)).copied().unwrap_or(0.0);
            let age = s.started_ago_ms.unwrap_or(f64::INFINITY) / terms.warm_after_ms.max(1.0);
            let able = terms.cold_share + (1.0 - terms.cold_share) * age.min(1.0);
            // Where nothing is known of the load, nothing is said of the cold.
            let falls_at = match is_cold(s) && best > 0.0 {
                true => terms.fall_multiple * able * best * s.listed_weight,
                false => f64::INFINITY,
            };
            let now = Server {
                standing: standing(s.state),
                listed: s.listed_weight,
                falls_at,
            };
            self.guard.server(index, s.part, now);
        }
        loads
            .into_iter()
            .for_each(|(part, load)| self.guard.proxies(part, load));
    }

    /// For people.
    pub fn view(&self) -> Value {
        json!({"judged": self.judged, "dangerous": self.dangerous, "last": self.last})
    }
}

/// Judges a table from a file: a fleet, what is in force, and what is wanted.
///
/// # Errors
/// All that is wrong with the file, with lines.
pub fn explain(file: &str, text: &str) -> Result<(String, bool), String> {
    read(file, text, judged).map_err(|f| f.to_string())
}

fn judged(at: &At) -> (String, bool) {
    let mut guard = Guard::default();
    let mut names: Vec<String> = Vec::new();
    let states = [
        ("ready", Standing::Ready),
        ("draining", Standing::Draining),
        ("gone", Standing::Gone),
    ];
    for s in at.field("servers").list() {
        names.push(s.field("name").text(None));
        let falls = s.field("falls_at");
        let now = Server {
            standing: s.field("state").choice(&states, Some(Standing::Ready)),
            listed: s.field("weight").number(0.0..=1e6, Some(1.0)),
            falls_at: match falls.is_there() {
                true => falls.number(0.0..=1e9, None),
                false => f64::INFINITY,
            },
        };
        s.close();
        guard.server(names.len() - 1, Some(0), now);
    }
    guard.proxies(0, at.field("load").number(0.0..=1e9, Some(0.0)));
    let mut lines = |field: &str| -> Vec<Line> {
        let table = at.field(field);
        let list = table.list();
        let lines = list.iter().map(|l| {
            let name = l.field("server").text(None);
            let server = names.iter().position(|n| *n == name).unwrap_or_else(|| {
                names.push(name);
                names.len() - 1
            });
            let line = Line {
                server,
                weight: l.field("weight").number(0.0..=1e6, Some(1.0)),
                open: l.field("open").flag(Some(true)),
            };
            l.close();
            line
        });
        lines.collect()
    };
    let before = lines("before");
    let next = lines("next");
    at.close();
    if !before.is_empty() {
        guard.sent(0, &before, true);
        guard.settled(0);
    }
    let found = guard.wants(0, &next, true);
    let mut out = String::new();
    for danger in &found {
        let _ = writeln!(out, "{}", told(danger, |s| names[s].clone()));
    }
    if found.is_empty() {
        out.push_str("nothing is dangerous about it\n");
    }
    (out, found.is_empty())
}
