use super::*;
use dahliapoint_control::AdminState::{self, Draining, Ready};
use proptest::prelude::*;

const HOUR_MS: f64 = 3.6e6;

fn now() -> Timestamp {
    Timestamp {
        wall_ms: 1e12,
        boot: "b".into(),
        up_ms: 1e9,
    }
}

fn fact(state: AdminState, share: f64, judged_ms: f64, address: &str) -> ServerFact {
    ServerFact {
        name: "s".into(),
        address: address.into(),
        zone: "z".into(),
        state,
        since: timestamp_ago(&now(), 1e5),
        weight: 1.0,
        share,
        judged: timestamp_ago(&now(), judged_ms),
        withdrawn: false,
    }
}

fn stored(alive_ms: f64, fact: Option<ServerFact>) -> Facts {
    Facts {
        servers: fact.into_iter().map(|f| (f.name.clone(), f)).collect(),
        alive: timestamp_ago(&now(), alive_ms),
        ..Facts::default()
    }
}

fn answer_with(fact: ServerFact) -> PeerFacts {
    PeerFacts {
        facts: vec![fact],
        complete: true,
        runs_ms: HOUR_MS,
        took_ms: 10.0,
    }
}

#[test]
fn newer_fact_wins() {
    // Own: time since last alive; then state, share, time since confirmed and address, own and
    // the peer's; then the expected result.
    type Fact = (AdminState, f64, f64, &'static str);
    type Case = (
        &'static str,
        f64,
        Fact,
        Fact,
        (AdminState, f64, &'static str),
    );
    let cases: [Case; 7] = [
        (
            "the peer looked last and confirmed last",
            5e3,
            (Ready, 1.0, 5e3, "a"),
            (Draining, 0.3, 1e3, "a"),
            (Draining, 0.3, "a"),
        ),
        (
            "the peer is running but has had no visits for hours",
            5e3,
            (Ready, 0.4, 6e3, "a"),
            (Draining, 1.0, 3.0 * HOUR_MS, "a"),
            (Draining, 0.4, "a"),
        ),
        (
            "our own facts were just written",
            5.0,
            (Ready, 0.4, 100.0, "a"),
            (Draining, 1.0, 1e3, "a"),
            (Ready, 0.4, "a"),
        ),
        (
            "same age: our own share",
            5e3,
            (Ready, 0.4, 1010.0, "a"),
            (Ready, 0.9, 1e3, "a"),
            (Ready, 0.4, "a"),
        ),
        (
            "unknown age of the peer's share",
            5e3,
            (Ready, 0.4, HOUR_MS, "a"),
            (Ready, 0.9, -1.0, "a"),
            (Ready, 0.4, "a"),
        ),
        (
            "unknown age of our own share",
            5e3,
            (Ready, 0.4, -1.0, "a"),
            (Ready, 0.9, 9.0 * HOUR_MS, "a"),
            (Ready, 0.9, "a"),
        ),
        (
            "another machine took over the name",
            5e3,
            (Ready, 0.2, 10.0, "a"),
            (Ready, 1.0, 2e3, "b"),
            (Ready, 1.0, "b"),
        ),
    ];
    for (name, alive, own, peers, expected) in cases {
        let build = |s: Fact| fact(s.0, s.1, s.2, s.3);
        let (out, _) = merge_facts(
            &now(),
            &stored(alive, Some(build(own))),
            &answer_with(build(peers)),
            1e4,
        );
        let f = &out.servers["s"];
        assert_eq!((f.state, f.share, f.address.as_str()), expected, "{name}");
    }
}

#[test]
fn missing_server_is_new_only_if_the_peer_ran_long_enough() {
    let complete = answer_with(fact(Ready, 1.0, 0.0, "a"));
    let cases = [
        (
            "complete, from a peer that ran long enough",
            complete.clone(),
            Some(10.0),
        ),
        (
            "incomplete",
            PeerFacts {
                complete: false,
                ..complete.clone()
            },
            Some(HOUR_MS),
        ),
        (
            "from a peer that has just started",
            PeerFacts {
                runs_ms: 5e3,
                ..complete.clone()
            },
            Some(HOUR_MS),
        ),
        (
            "from a peer without facts",
            PeerFacts {
                facts: vec![],
                ..complete
            },
            Some(HOUR_MS),
        ),
    ];
    for (name, answer, alive) in cases {
        let (out, _) = merge_facts(&now(), &stored(HOUR_MS, None), &answer, 1e4);
        let age = now().since(&out.alive).map(f64::round);
        assert_eq!(age, alive, "{name}");
    }
}

proptest! {
    /// Whatever the ages, the result has the share that was confirmed last, with its age.
    #[test]
    fn older_share_never_replaces_newer(own in 0.0..1e8, peers in 0.0..1e8, took in 0.0..1e4, alive in 0.0..1e8) {
        let answer = PeerFacts { took_ms: took, ..answer_with(fact(Ready, 0.2, peers, "a")) };
        let (out, _) = merge_facts(&now(), &stored(alive, Some(fact(Ready, 0.9, own, "a"))), &answer, 1e4);
        let f = &out.servers["s"];
        let age = now().since(&f.judged).unwrap();
        let expected_age = own.min(peers + took);
        prop_assert!((age - expected_age).abs() < 1e-3, "{age} {own} {peers}");
        prop_assert_eq!(f.share, if own <= peers + took { 0.9 } else { 0.2 });
    }
}
