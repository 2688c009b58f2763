use crate::{ClassPolicy, Line, LineState, Message, Output, RetryPolicy, Scope};
use std::sync::Arc;

#[test]
fn replay_prints_the_outer_names() {
    let line = |state| Line {
        server: "a".into(),
        address: "h:1".into(),
        zone: 0,
        weight: 0.5,
        state,
    };
    let message = |scope| Message {
        serial: 7,
        scope,
        lines: vec![
            line(LineState::Open),
            line(LineState::Withdrawn),
            line(LineState::Removed),
        ],
        policies: vec![(
            1,
            ClassPolicy {
                admitted_share: 1.0,
                retry: RetryPolicy::OnProof,
            },
        )],
    };
    let lines = "lines: [\
        Line { server: \"a\", address: \"h:1\", zone: 0, weight: 0.5, state: Open }, \
        Line { server: \"a\", address: \"h:1\", zone: 0, weight: 0.5, state: Shut }, \
        Line { server: \"a\", address: \"h:1\", zone: 0, weight: 0.5, state: Away }], \
        ways: [(1, Way { share: 1.0, tries: OnProof })]";
    let scopes = [
        (Scope::Changes(2), "Part(2)"),
        (Scope::Snapshot(2), "Whole(2)"),
        (Scope::Unbound, "Standing"),
    ];
    for (scope, name) in scopes {
        assert_eq!(
            format!("{:?}", Output::Write(vec![3, 4], Arc::new(message(scope)))),
            format!("Write([3, 4], Message {{ serial: 7, scope: {name}, {lines} }})")
        );
    }
    let others = [
        (Output::Close(3, "late".into()), "Close(3, \"late\")"),
        (
            Output::Probe {
                server: "a".into(),
                address: "h:1".into(),
            },
            "Probe { server: \"a\", address: \"h:1\" }",
        ),
        (Output::Log("x".into()), "Note(\"x\")"),
    ];
    for (output, text) in others {
        assert_eq!(format!("{output:?}"), text);
    }
}
