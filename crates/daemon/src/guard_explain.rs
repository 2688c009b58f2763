//! The guard offline: a table from a file is judged, and what would leave in its place is told.

use dahliapoint_guard::{AdminState, Guard, Line, Server, Violation};
use dahliapoint_yaml::{At, read};
use std::fmt::Write;

/// What a danger is, in words.
fn told(d: &Violation, name: impl Fn(usize) -> String) -> String {
    let whom = d.server.map_or(String::new(), |s| format!(" {}", name(s)));
    let code = d.reason.code();
    format!("{code}{whom}: {:.3}, borne {:.3}", d.found, d.limit)
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
        ("ready", AdminState::Ready),
        ("draining", AdminState::Draining),
        ("gone", AdminState::Gone),
    ];
    for s in at.field("servers").list() {
        names.push(s.field("name").text(None));
        let falls = s.field("falls_at");
        let now = Server {
            admin_state: s.field("state").choice(&states, Some(AdminState::Ready)),
            listed_weight: s.field("weight").number(0.0..=1e6, Some(1.0)),
            overload_per_s: match falls.is_there() {
                true => falls.number(0.0..=1e9, None),
                false => f64::INFINITY,
            },
        };
        s.close();
        guard.set_server(names.len() - 1, Some(0), now);
    }
    guard.set_load(0, at.field("load").number(0.0..=1e9, Some(0.0)));
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
        guard.record_sent(0, &before, true, 1);
        guard.record_applied(0, 1);
    }
    let found = guard.check(0, &next, true);
    let mut out = String::new();
    for danger in &found {
        let _ = writeln!(out, "{}", told(danger, |s| names[s].clone()));
    }
    if found.is_empty() {
        out.push_str("nothing is dangerous about it\n");
        return (out, true);
    }
    out.push_str("in its place leaves:\n");
    let step = guard.next_step(0, &next);
    for (server, weight) in &step.weights {
        let _ = writeln!(out, "  {}: {weight:.4}", names[*server]);
    }
    for danger in &step.remaining {
        let _ = writeln!(
            out,
            "nothing better is to be had: {}",
            told(danger, |s| names[s].clone())
        );
    }
    (out, found.is_empty())
}
