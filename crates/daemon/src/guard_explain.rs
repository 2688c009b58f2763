//! `dahliapoint guard explain`: checks a table from a file by the guard's rules, without a controller, and says what
//! would be published in its place.

use dahliapoint_guard::{AdminState, Guard, Line, Server, Violation};
use dahliapoint_yaml::{FieldReader, read};
use std::fmt::Write;

/// A violation in words.
fn describe(v: &Violation, name: impl Fn(usize) -> String) -> String {
    let server = v.server.map_or(String::new(), |s| format!(" {}", name(s)));
    let code = v.reason.code();
    format!("{code}{server}: {:.3}, borne {:.3}", v.found, v.limit)
}

/// Checks the table of a file, which also lists the servers, the load and the table in force. Returns the text to
/// print, and whether the table is safe.
///
/// # Errors
/// Returns all faults of the file, with their lines.
pub fn explain(file: &str, text: &str) -> Result<(String, bool), String> {
    read(file, text, check).map_err(|f| f.to_string())
}

fn check(at: &FieldReader) -> (String, bool) {
    let mut guard = Guard::default();
    let mut names: Vec<String> = Vec::new();
    let states = [
        ("ready", AdminState::Ready),
        ("draining", AdminState::Draining),
        ("gone", AdminState::Gone),
    ];
    for s in at.field("servers").list() {
        names.push(s.field("name").string(None));
        let overload = s.field("falls_at");
        let server = Server {
            admin_state: s.field("state").choice(&states, Some(AdminState::Ready)),
            listed_weight: s.field("weight").number(0.0..=1e6, Some(1.0)),
            overload_per_s: match overload.is_present() {
                true => overload.number(0.0..=1e9, None),
                false => f64::INFINITY,
            },
        };
        s.deny_unknown_fields();
        guard.set_server(names.len() - 1, Some(0), server);
    }
    guard.set_load(0, at.field("load").number(0.0..=1e9, Some(0.0)));
    let mut lines = |field: &str| -> Vec<Line> {
        let table = at.field(field);
        let list = table.list();
        let lines = list.iter().map(|l| {
            let name = l.field("server").string(None);
            let server = names.iter().position(|n| *n == name).unwrap_or_else(|| {
                names.push(name);
                names.len() - 1
            });
            let line = Line {
                server,
                weight: l.field("weight").number(0.0..=1e6, Some(1.0)),
                open: l.field("open").boolean(Some(true)),
            };
            l.deny_unknown_fields();
            line
        });
        lines.collect()
    };
    let before = lines("before");
    let next = lines("next");
    at.deny_unknown_fields();
    if !before.is_empty() {
        guard.record_sent(0, &before, true, 1);
        guard.record_applied(0, 1);
    }
    let found = guard.check(0, &next, true);
    let mut out = String::new();
    for violation in &found {
        let _ = writeln!(out, "{}", describe(violation, |s| names[s].clone()));
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
    for violation in &step.remaining {
        let _ = writeln!(
            out,
            "nothing better is to be had: {}",
            describe(violation, |s| names[s].clone())
        );
    }
    (out, found.is_empty())
}
