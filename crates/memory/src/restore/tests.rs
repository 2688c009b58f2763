use super::*;
use AdminState::{Draining, Gone, Ready};

const WARM_UP_MS: f64 = 10_000.0;

fn at(ms: f64) -> Timestamp {
    Timestamp {
        wall_ms: 1e12 + ms,
        boot: "b".into(),
        up_ms: 1e6 + ms,
    }
}

fn entry(name: &str, state: AdminState, ago: Option<f64>) -> RosterEntry {
    RosterEntry {
        name: name.into(),
        address: "1:1".into(),
        zone: "z".into(),
        state,
        weight: 1.0,
        started: ago.map(|ago| (ago, 7)),
    }
}

fn fact(name: &str, state: AdminState, share: f64) -> ServerFact {
    ServerFact {
        name: name.into(),
        address: "1:1".into(),
        zone: "z".into(),
        state,
        since: at(0.0),
        weight: 1.0,
        share,
        judged: at(0.0),
        withdrawn: false,
    }
}

/// Restores one server among twenty healthy ones, after a downtime that began at time 0.
fn restore_one(fact: Option<ServerFact>, entry: RosterEntry, now: Timestamp) -> Restored {
    let mut facts = Facts {
        alive: at(0.0),
        ..Facts::default()
    };
    let mut roster = vec![entry];
    for i in 0..20 {
        let name = format!("w{i}");
        facts
            .servers
            .insert(name.clone(), self::fact(&name, Ready, 1.0));
        roster.push(self::entry(&name, Ready, None));
    }
    if let Some(fact) = fact {
        facts.servers.insert(fact.name.clone(), fact);
    }
    let (_, restored_all) = restore_roster(&now, &facts, &roster, WARM_UP_MS);
    assert!(restored_all[1..].iter().all(|r| *r == Restored::AsListed));
    restored_all[0]
}

#[test]
fn each_rule_decides_its_case() {
    use Restored::{AsListed, New, Returning, Share};
    let s = |state| entry("s", state, None);
    let moved = ServerFact {
        address: "2:2".into(),
        ..fact("s", Ready, 1.0)
    };
    let other_boot = Timestamp {
        boot: "other".into(),
        ..at(-5_000.0)
    };
    let clock_jumped = Timestamp {
        wall_ms: 0.0,
        ..at(1_000.0)
    };
    let cases = [
        (
            "healthy before and now",
            Some(fact("s", Ready, 1.0)),
            s(Ready),
            at(1e3),
            AsListed,
        ),
        (
            "gone in the roster",
            Some(fact("s", Ready, 0.3)),
            s(Gone),
            at(1e3),
            AsListed,
        ),
        (
            "draining in the roster",
            None,
            s(Draining),
            at(1e3),
            AsListed,
        ),
        (
            "recent start in the roster",
            Some(fact("s", Ready, 0.3)),
            entry("s", Ready, Some(2e3)),
            at(1e3),
            AsListed,
        ),
        (
            "drained before, ready now",
            Some(fact("s", Draining, 1.0)),
            s(Ready),
            at(1e3),
            Returning,
        ),
        (
            "gone before, ready now",
            Some(fact("s", Gone, 1.0)),
            s(Ready),
            at(9_999.0),
            Returning,
        ),
        (
            "gone before, perhaps back for long",
            Some(fact("s", Gone, 1.0)),
            s(Ready),
            at(60_000.0),
            Share(0.55),
        ),
        (
            "gone before, hours ago",
            Some(fact("s", Gone, 1.0)),
            s(Ready),
            at(4.0 * 3.6e6),
            AsListed,
        ),
        (
            "slow just now",
            Some(fact("s", Ready, 0.2)),
            s(Ready),
            at(0.0),
            Share(0.2),
        ),
        (
            "slow one half-life ago",
            Some(fact("s", Ready, 0.2)),
            s(Ready),
            at(50_000.0),
            Share(0.6),
        ),
        (
            "slow an hour ago",
            Some(fact("s", Ready, 0.2)),
            s(Ready),
            at(3.6e6),
            AsListed,
        ),
        (
            "unknown after a short downtime",
            None,
            s(Ready),
            at(5e3),
            New,
        ),
        (
            "unknown after a long downtime",
            None,
            s(Ready),
            at(10_000.0),
            AsListed,
        ),
        ("another address", Some(moved), s(Ready), at(5e3), New),
        (
            "wall clock jumped within the same boot",
            Some(fact("s", Ready, 0.2)),
            s(Ready),
            clock_jumped.clone(),
            Share(1.0 - 0.8 * 0.5_f64.powf(0.02)),
        ),
        (
            "another boot, wall clock went backwards",
            Some(fact("s", Ready, 0.2)),
            s(Ready),
            other_boot.clone(),
            AsListed,
        ),
        (
            "gone before, another boot, wall clock went backwards",
            Some(fact("s", Gone, 1.0)),
            s(Ready),
            other_boot,
            AsListed,
        ),
    ];
    for (name, fact, entry, now, expected) in cases {
        let actual = restore_one(fact, entry, now);
        let alike = match (actual, expected) {
            (Share(a), Share(b)) => (a - b).abs() < 1e-9,
            (a, b) => a == b,
        };
        assert!(alike, "{name}: {actual:?}, expected {expected:?}");
    }
}

#[test]
fn stored_facts_never_withhold_too_much() {
    let mut facts = Facts {
        alive: at(0.0),
        ..Facts::default()
    };
    let mut roster = Vec::new();
    for i in 0..30 {
        let name = format!("s{i}");
        // Ten healthy, ten slow, ten unknown.
        if i < 20 {
            let share = if i < 10 { 1.0 } else { 0.2 };
            facts
                .servers
                .insert(name.clone(), fact(&name, Ready, share));
        }
        roster.push(entry(&name, Ready, None));
    }
    let (presented, restored_all) = restore_roster(&at(1.0), &facts, &roster, WARM_UP_MS);
    let new = restored_all.iter().filter(|r| **r == Restored::New).count();
    let slow = restored_all
        .iter()
        .filter(|r| matches!(r, Restored::Share(_)))
        .count();
    assert_eq!((new, slow), (2, 10), "unknown servers are dropped first");
    assert_eq!(presented.len(), 28);
}
