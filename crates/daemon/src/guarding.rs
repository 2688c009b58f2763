//! The guard offline: a table from a file is judged, and what would leave in its place is told.

use dahliapoint_guard::{Danger, Guard, Line, Server, Standing};
use dahliapoint_yaml::{At, read};
use std::fmt::Write;

/// What a danger is, in words.
fn told(d: &Danger, name: impl Fn(usize) -> String) -> String {
    let whom = d.server.map_or(String::new(), |s| format!(" {}", name(s)));
    let code = d.reason.code();
    format!("{code}{whom}: {:.3}, borne {:.3}", d.found, d.most)
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
        guard.sent(0, &before, true, 1);
        guard.settled(0, 1);
    }
    let found = guard.wants(0, &next, true);
    let mut out = String::new();
    for danger in &found {
        let _ = writeln!(out, "{}", told(danger, |s| names[s].clone()));
    }
    if found.is_empty() {
        out.push_str("nothing is dangerous about it\n");
        return (out, true);
    }
    out.push_str("in its place leaves:\n");
    let step = guard.step(0, &next);
    for (server, weight) in &step.open {
        let _ = writeln!(out, "  {}: {weight:.4}", names[*server]);
    }
    for danger in &step.borne {
        let _ = writeln!(
            out,
            "nothing better is to be had: {}",
            told(danger, |s| names[s].clone())
        );
    }
    (out, found.is_empty())
}
