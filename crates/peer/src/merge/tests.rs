use super::*;
use dahliapoint_control::AdminState::{self, Draining, Ready};
use proptest::prelude::*;

const HOUR: f64 = 3.6e6;

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

fn told(fact: ServerFact) -> PeerFacts {
    PeerFacts {
        facts: vec![fact],
        complete: true,
        runs_ms: HOUR,
        took_ms: 10.0,
    }
}

#[test]
fn the_fresher_word_counts() {
    // Own: time since last alive; then state, share, time since confirmed and address, own and
    // the peer's; then the expected result.
    type Said = (AdminState, f64, f64, &'static str);
    type Case = (
        &'static str,
        f64,
        Said,
        Said,
        (AdminState, f64, &'static str),
    );
    let cases: [Case; 7] = [
        (
            "the peer looked last and judged last",
            5e3,
            (Ready, 1.0, 5e3, "a"),
            (Draining, 0.3, 1e3, "a"),
            (Draining, 0.3, "a"),
        ),
        (
            "the peer runs, but has had no visits for hours",
            5e3,
            (Ready, 0.4, 6e3, "a"),
            (Draining, 1.0, 3.0 * HOUR, "a"),
            (Draining, 0.4, "a"),
        ),
        (
            "our own memory is of a moment ago",
            5.0,
            (Ready, 0.4, 100.0, "a"),
            (Draining, 1.0, 1e3, "a"),
            (Ready, 0.4, "a"),
        ),
        (
            "of the same age: our own",
            5e3,
            (Ready, 0.4, 1010.0, "a"),
            (Ready, 0.9, 1e3, "a"),
            (Ready, 0.4, "a"),
        ),
        (
            "an unknown age is older than any",
            5e3,
            (Ready, 0.4, HOUR, "a"),
            (Ready, 0.9, -1.0, "a"),
            (Ready, 0.4, "a"),
        ),
        (
            "and ours too",
            5e3,
            (Ready, 0.4, -1.0, "a"),
            (Ready, 0.9, 9.0 * HOUR, "a"),
            (Ready, 0.9, "a"),
        ),
        (
            "a machine that took over the name",
            5e3,
            (Ready, 0.2, 10.0, "a"),
            (Ready, 1.0, 2e3, "b"),
            (Ready, 1.0, "b"),
        ),
    ];
    for (name, alive, own, peers, wanted) in cases {
        let one = |s: Said| fact(s.0, s.1, s.2, s.3);
        let (out, _) = merge_facts(
            &now(),
            &stored(alive, Some(one(own))),
            &told(one(peers)),
            1e4,
        );
        let f = &out.servers["s"];
        assert_eq!((f.state, f.share, f.address.as_str()), wanted, "{name}");
    }
}

#[test]
fn who_is_missing_is_new_only_to_who_was_there() {
    let complete = told(fact(Ready, 1.0, 0.0, "a"));
    let cases = [
        ("whole, of one who has lived", complete.clone(), Some(10.0)),
        (
            "cut off",
            PeerFacts {
                complete: false,
                ..complete.clone()
            },
            Some(HOUR),
        ),
        (
            "of a newcomer",
            PeerFacts {
                runs_ms: 5e3,
                ..complete.clone()
            },
            Some(HOUR),
        ),
        (
            "of one who knows nobody",
            PeerFacts {
                facts: vec![],
                ..complete
            },
            Some(HOUR),
        ),
    ];
    for (name, answer, alive) in cases {
        let (out, _) = merge_facts(&now(), &stored(HOUR, None), &answer, 1e4);
        let age = now().since(&out.alive).map(f64::round);
        assert_eq!(age, alive, "{name}");
    }
}

proptest! {
    /// Whatever the ages, the result has the share that was confirmed last, with its age.
    #[test]
    fn stale_never_counts_more_than_fresh(own in 0.0..1e8, peers in 0.0..1e8, took in 0.0..1e4, alive in 0.0..1e8) {
        let answer = PeerFacts { took_ms: took, ..told(fact(Ready, 0.2, peers, "a")) };
        let (out, _) = merge_facts(&now(), &stored(alive, Some(fact(Ready, 0.9, own, "a"))), &answer, 1e4);
        let f = &out.servers["s"];
        let age = now().since(&f.judged).unwrap();
        let least = own.min(peers + took);
        prop_assert!((age - least).abs() < 1e-3, "{age} {own} {peers}");
        prop_assert_eq!(f.share, if own <= peers + took { 0.9 } else { 0.2 });
    }
}
