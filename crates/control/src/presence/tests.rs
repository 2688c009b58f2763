use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Copy, Debug)]
enum Event {
    Heartbeat,
    Deregister,
    StreamChanged(bool),
    SessionClosed,
    /// This many intervals pass.
    Wait(f64),
}
use Event::*;

/// Plays events of one proxy with an interval of 100 ms. Returns its joins (+), leaves (-), reports
/// of a shared name (2) and the end of its state (.).
fn play(events: &[Event]) -> String {
    let (mut presence, mut now, mut on_stream) = (Presence::new(100.0), 1e6, false);
    let mut out = String::new();
    let mut session = 7;
    for event in events {
        match event {
            Heartbeat => {
                now += 100.0;
                let superseded = presence.heartbeat(now, session, "p", "z", None, on_stream);
                assert_eq!(superseded, None);
            }
            Deregister => presence.deregister(session),
            StreamChanged(begins) => {
                on_stream = *begins;
                presence.stream_changed(now, "p", *begins);
            }
            SessionClosed => {
                presence.session_closed(now, session);
                session += 1;
            }
            Wait(beats) => now += beats * 100.0,
        }
        let mut actions = 0;
        while let Some(action) = presence.next_action(now) {
            actions += 1;
            assert!(actions < 9, "the rules stop firing");
            out.push(match action {
                Action::Join { .. } => '+',
                Action::Leave(..) => '-',
                Action::DuplicateName(_) => '2',
                Action::Forget(_) => '.',
            });
        }
        assert!(presence.wake_at() > now);
    }
    out
}

#[test]
fn each_rule_fires_on_its_condition_only() {
    let cases: [(&str, &[Event], &str); 11] = [
        ("the first heartbeat joins", &[Heartbeat, Heartbeat], "+"),
        (
            "a late heartbeat is no silence",
            &[Heartbeat, Wait(3.4)],
            "+",
        ),
        (
            "a silent proxy leaves once",
            &[Heartbeat, Wait(3.5), Wait(9.0)],
            "+-",
        ),
        (
            "after a silence one heartbeat is not enough",
            &[Heartbeat, Wait(4.0), Heartbeat],
            "+-",
        ),
        (
            "two heartbeats are enough",
            &[Heartbeat, Wait(4.0), Heartbeat, Heartbeat],
            "+-+",
        ),
        (
            "a flapping proxy needs four",
            &[
                Heartbeat,
                Wait(4.0),
                Heartbeat,
                Heartbeat,
                Wait(4.0),
                Heartbeat,
                Heartbeat,
                Heartbeat,
            ],
            "+-+-",
        ),
        ("deregistration", &[Heartbeat, Deregister, Wait(9.0)], "+-"),
        (
            "a stream takes over at once",
            &[Heartbeat, StreamChanged(true), Heartbeat],
            "+-",
        ),
        (
            "after the stream ends, sustained heartbeats join again",
            &[
                Heartbeat,
                StreamChanged(true),
                Heartbeat,
                StreamChanged(false),
                Heartbeat,
                Wait(0.1),
                Heartbeat,
            ],
            "+-+",
        ),
        (
            "two processes of one name",
            &[
                StreamChanged(true),
                Heartbeat,
                Heartbeat,
                Heartbeat,
                Heartbeat,
                Heartbeat,
                Heartbeat,
                Heartbeat,
                Heartbeat,
                Heartbeat,
            ],
            "2",
        ),
        (
            "forgotten after a long time",
            &[Heartbeat, Wait(4.0), Wait(200.0)],
            "+-.",
        ),
    ];
    for (name, events, wanted) in cases {
        assert_eq!(play(events), wanted, "{name}");
    }
    assert_eq!(
        play(&[Heartbeat, SessionClosed, Heartbeat, Heartbeat]),
        "++",
        "after the controller closed the session it joins again"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]
    /// For any sequence of events, joins and leaves alternate and a join comes first.
    #[test]
    fn joins_and_leaves_alternate(codes in proptest::collection::vec(0_u8..9, 1..60)) {
        let events: Vec<Event> = codes.iter().map(|c| match c {
            0..=3 => Heartbeat,
            4 => Deregister,
            5 => StreamChanged(true),
            6 => StreamChanged(false),
            7 => Wait(3.6),
            _ => Wait(1.0),
        }).collect();
        let history = play(&events);
        let moves: String = history.chars().filter(|c| "+-".contains(*c)).collect();
        prop_assert!(!moves.contains("++") && !moves.contains("--") && !moves.starts_with('-'), "{}", history);
    }
}
