use super::*;
use dahliapoint_control::Line;

fn line(server: &str, state: LineState) -> Line {
    Line {
        server: server.into(),
        address: "127.0.0.1:1".into(),
        zone: 0,
        weight: 1.0,
        state,
    }
}

fn message(serial: u64, scope: Scope, lines: &[(&str, LineState)]) -> Message {
    Message {
        serial,
        scope,
        lines: lines.iter().map(|(s, state)| line(s, *state)).collect(),
        policies: vec![],
    }
}

use LineState::{Open, Removed, Withdrawn};

#[test]
fn messages_become_a_table_and_acks_become_marks() {
    let mut session = ProxySession::new(1, "p", 7, "s", None);
    assert_eq!(session.due(0.0, 1e3), None, "no message yet");
    let steps = [
        (
            message(1, Scope::Unbound, &[("x", Withdrawn)]),
            Urgency::Withdrawal,
            "/x",
        ),
        (
            message(2, Scope::Snapshot(0), &[("a", Open), ("b", Withdrawn)]),
            Urgency::Withdrawal,
            "a,(b)/",
        ),
        (
            message(3, Scope::Changes(0), &[("c", Open)]),
            Urgency::Update,
            "a,(b),c/",
        ),
        (
            message(4, Scope::Changes(1), &[("d", Open)]),
            Urgency::Update,
            "a,(b),c/",
        ),
        (
            message(5, Scope::Changes(0), &[("a", Removed), ("b", Open)]),
            Urgency::Withdrawal,
            "b,c/",
        ),
    ];
    for (i, (message, urgency, lines)) in steps.iter().enumerate() {
        session.apply(message, &[]);
        assert_eq!(session.due(0.0, 1e3), Some(*urgency), "{lines}");
        let table = session.table(500.0);
        let shown = table.lines.values().map(|l| match l.open {
            true => l.server.clone(),
            false => format!("({})", l.server),
        });
        let shown: Vec<String> = shown.collect();
        let withdrawn: Vec<String> = table.withdrawn.iter().cloned().collect();
        assert_eq!(
            format!("{}/{}", shown.join(","), withdrawn.join(",")),
            *lines
        );
        session.published(0.0, 100 + i as u64);
    }
    assert_eq!(
        session.acknowledge(99, None),
        None,
        "of another incarnation"
    );
    assert_eq!(session.acknowledge(102, None), Some(Input::Applied(1, 3)));
    assert_eq!(session.acknowledge(101, None), None, "acknowledged before");
    let no = || Some("no".to_string());
    assert_eq!(
        session.acknowledge(104, no()),
        Some(Input::Refused(1, 5, "no".into()))
    );
}

#[test]
fn retries_back_off_and_old_tables_are_refreshed() {
    let mut session = ProxySession::new(1, "p", 7, "s", None);
    session.apply(&message(1, Scope::Snapshot(0), &[("a", Open)]), &[]);
    let delays: Vec<f64> = (0..8)
        .map(|_| {
            session.publication_failed(1_000.0, 100.0);
            session.wake_at(1e9) - 1_000.0
        })
        .collect();
    assert_eq!(
        delays,
        [100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0, 3200.0, 3200.0]
    );
    assert_eq!(session.due(4_199.0, 1e9), None);
    assert_eq!(session.due(4_200.0, 1e9), Some(Urgency::Update));
    session.published(5_000.0, 2);
    assert_eq!(session.due(5_499.0, 1_000.0), None);
    assert_eq!(session.due(5_500.0, 1_000.0), Some(Urgency::Refresh));
}
