//! What old knowledge is worth, free of I/O: an ordered list of short rules, each a condition and an effect;
//! for each server of the roster the first that says something decides. Called once, when a controller
//! begins, with what was kept, the roster as it is now, and the moment.
//!
//! What comes out is the roster as this controller "last held it": the planner is told that first and the
//! true roster right after, so what was remembered enters by the same calls as any day's events. A server
//! remembered as draining that is ready now returns through the ramp; one that the planner had trimmed
//! begins as if it had warmed up to that share. All times are ratios to the time until a server is warm.

use crate::facts::{Facts, ServerFact, Stamp};
use dahliapoint_control::{AdminState, RosterEntry};

/// A verdict loses half of its worth in so many times the warming time without being renewed.
const HALF: f64 = 5.0;
/// A verdict that leaves a line this much is as good as none.
const NO_VERDICT: f64 = 0.95;
/// What a server is taken to be able to do when it was withdrawn and nobody knows since when it is back.
const RETURNED: f64 = 0.1;
/// Of the ready weight no more than this begins below its full share on the word of memory alone.
const MOST: f64 = 0.35;

/// A server of the roster, and what is remembered of it.
struct Case<'a> {
    entry: &'a RosterEntry,
    fact: Option<&'a ServerFact>,
    /// For how long nobody looked; nothing: it cannot be told.
    gap_ms: Option<f64>,
    now: &'a Stamp,
    warm_ms: f64,
}

/// How a server is told to the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Recall {
    /// As the roster has it.
    AsListed,
    /// As draining: it returns now.
    Returns,
    /// Not at all: it is new, and enters as one that was started.
    New,
    /// As if so much of its warming were over.
    Share(f64),
}

type Rule = fn(&Case) -> Option<Recall>;

const RULES: [Rule; 6] = [
    the_roster_knows_who_is_not_ready,
    a_start_that_is_told_holds,
    a_name_at_another_address_is_another_server,
    who_was_not_known_is_new,
    a_drain_stays_one_until_the_roster_says_otherwise,
    a_verdict_fades,
];

/// Stored facts never bring a server back: gone and draining are the roster's to say.
fn the_roster_knows_who_is_not_ready(c: &Case) -> Option<Recall> {
    (c.entry.state != AdminState::Ready).then_some(Recall::AsListed)
}

/// A start time does not age: who started lately is cold, whatever is remembered of its life before.
fn a_start_that_is_told_holds(c: &Case) -> Option<Recall> {
    let fresh = c.entry.started.is_some_and(|(ago, _)| ago < c.warm_ms);
    fresh.then_some(Recall::AsListed)
}

/// Guards against a machine that took over a name while we were down being sent a warm one's visits.
fn a_name_at_another_address_is_another_server(c: &Case) -> Option<Recall> {
    let other = c.fact.is_some_and(|f| f.address != c.entry.address);
    other.then(|| unknown(c))
}

fn who_was_not_known_is_new(c: &Case) -> Option<Recall> {
    c.fact.is_none().then(|| unknown(c))
}

/// Nobody has seen it. Within a warming time it cannot be warm; after a longer gap it is taken as a
/// controller's start takes it: at full weight. May harm when the gap cannot be told: then it is full too,
/// as without any memory.
fn unknown(c: &Case) -> Recall {
    match c.gap_ms {
        Some(gap) if gap < c.warm_ms => Recall::New,
        _ => Recall::AsListed,
    }
}

/// Guards against a server that came back under the same name while we were down: it has just started, or
/// it has been warm for long. Until a warming time has passed it returns as it would have before our eyes;
/// from then on the doubt fades. May harm by a ramp that was not needed.
fn a_drain_stays_one_until_the_roster_says_otherwise(c: &Case) -> Option<Recall> {
    let fact = c.fact.filter(|f| f.state != AdminState::Ready || f.shut)?;
    Some(match c.gap_ms {
        Some(gap) if gap >= c.warm_ms => faded(RETURNED, Some(gap - c.warm_ms), c.warm_ms),
        Some(_) => Recall::Returns,
        None => faded(RETURNED, c.now.since(&fact.since), c.warm_ms),
    })
}

/// What was slow or failing may be so still: it begins with what its line had come to, the less so the
/// longer that was not renewed. A moment that lies ahead of now is no fresh one: nobody knows its age.
fn a_verdict_fades(c: &Case) -> Option<Recall> {
    let fact = c.fact.filter(|f| f.share < NO_VERDICT)?;
    Some(faded(fact.share, c.now.since(&fact.judged), c.warm_ms))
}

fn faded(share: f64, age: Option<f64>, warm_ms: f64) -> Recall {
    let worth = age.map_or(0.0, |age| 0.5_f64.powf(age / (HALF * warm_ms)));
    let left = 1.0 - (1.0 - share.clamp(0.0, 1.0)) * worth;
    match left < NO_VERDICT {
        true => Recall::Share(left),
        false => Recall::AsListed,
    }
}

/// How doubtful a recall is: the higher, the sooner it is let go when there is too much of it.
fn doubt(recall: Recall) -> f64 {
    match recall {
        Recall::AsListed | Recall::Returns => 0.0,
        Recall::Share(share) => 1.0 + share,
        Recall::New => 3.0,
    }
}

/// The roster as the planner is to be told first, and how each server of it was recalled.
pub fn recall(
    now: &Stamp,
    facts: &Facts,
    roster: &[RosterEntry],
    warm_ms: f64,
) -> (Vec<RosterEntry>, Vec<Recall>) {
    let gap_ms = now.since(&facts.alive);
    let case = |entry| Case {
        entry,
        fact: facts.servers.get(&entry.name),
        gap_ms,
        now,
        warm_ms,
    };
    let decide = |entry| {
        let case = case(entry);
        let said = RULES.iter().find_map(|rule| rule(&case));
        said.unwrap_or(Recall::AsListed)
    };
    let mut recalled: Vec<Recall> = roster.iter().map(decide).collect();
    not_too_much_at_once(roster, &mut recalled);
    let told = roster.iter().zip(&recalled).filter_map(|(entry, recall)| {
        let mut entry = entry.clone();
        match recall {
            Recall::AsListed => {}
            Recall::Returns => entry.state = AdminState::Draining,
            Recall::New => return None,
            Recall::Share(share) => {
                // A stamp of its own: the roster's next word replaces it.
                entry.started = Some((warm_ms * share, u64::MAX));
            }
        }
        Some(entry)
    });
    (told.collect(), recalled)
}

/// Guards against a memory that is wrong about many at once (a fleet that was changed while we were down, a
/// site that was all slow): a fleet that begins on a tenth of its weight is worse than one that begins as
/// listed. The most doubtful are let go first. May harm when a third of the fleet really is cold: then the
/// planner's own rule for cold servers is what is left.
fn not_too_much_at_once(roster: &[RosterEntry], recalled: &mut [Recall]) {
    let ready = |e: &RosterEntry| e.state == AdminState::Ready;
    let all: f64 = roster.iter().filter(|e| ready(e)).map(|e| e.weight).sum();
    let lost = |recall: &Recall, weight: f64| match recall {
        Recall::AsListed => 0.0,
        Recall::Share(share) => weight * (1.0 - share),
        Recall::Returns | Recall::New => weight,
    };
    let mut sum: f64 = roster
        .iter()
        .zip(recalled.iter())
        .filter(|(e, _)| ready(e))
        .map(|(e, r)| lost(r, e.weight))
        .sum();
    let mut order: Vec<usize> = (0..roster.len())
        .filter(|i| doubt(recalled[*i]) > 0.0)
        .collect();
    order.sort_by(|a, b| doubt(recalled[*b]).total_cmp(&doubt(recalled[*a])));
    for i in order {
        if sum <= MOST * all {
            return;
        }
        sum -= lost(&recalled[i], roster[i].weight);
        recalled[i] = Recall::AsListed;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use AdminState::{Draining, Gone, Ready};

    const WARM: f64 = 10_000.0;

    fn at(ms: f64) -> Stamp {
        Stamp {
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
            shut: false,
        }
    }

    /// One server among twenty that are well; down from 0 until then.
    fn one(fact: Option<ServerFact>, entry: RosterEntry, now: Stamp) -> Recall {
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
        let (_, recalled) = recall(&now, &facts, &roster, WARM);
        assert!(recalled[1..].iter().all(|r| *r == Recall::AsListed));
        recalled[0]
    }

    #[test]
    fn each_fact_ages_by_its_own_rule() {
        use Recall::{AsListed, New, Returns, Share};
        let s = |state| entry("s", state, None);
        let moved = ServerFact {
            address: "2:2".into(),
            ..fact("s", Ready, 1.0)
        };
        let elsewhere = Stamp {
            boot: "other".into(),
            ..at(-5_000.0)
        };
        let leapt = Stamp {
            wall_ms: 0.0,
            ..at(1_000.0)
        };
        let cases = [
            (
                "well before and now",
                Some(fact("s", Ready, 1.0)),
                s(Ready),
                at(1e3),
                AsListed,
            ),
            (
                "gone is the roster's word",
                Some(fact("s", Ready, 0.3)),
                s(Gone),
                at(1e3),
                AsListed,
            ),
            ("so is draining", None, s(Draining), at(1e3), AsListed),
            (
                "a start that is told",
                Some(fact("s", Ready, 0.3)),
                entry("s", Ready, Some(2e3)),
                at(1e3),
                AsListed,
            ),
            (
                "a drain that is over",
                Some(fact("s", Draining, 1.0)),
                s(Ready),
                at(1e3),
                Returns,
            ),
            (
                "gone, and back",
                Some(fact("s", Gone, 1.0)),
                s(Ready),
                at(9_999.0),
                Returns,
            ),
            (
                "back perhaps for long",
                Some(fact("s", Gone, 1.0)),
                s(Ready),
                at(60_000.0),
                Share(0.55),
            ),
            (
                "back for hours",
                Some(fact("s", Gone, 1.0)),
                s(Ready),
                at(4.0 * 3.6e6),
                AsListed,
            ),
            (
                "slow a second ago",
                Some(fact("s", Ready, 0.2)),
                s(Ready),
                at(0.0),
                Share(0.2),
            ),
            (
                "slow a while ago",
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
            ("new since then", None, s(Ready), at(5e3), New),
            ("unknown after long", None, s(Ready), at(10_000.0), AsListed),
            ("another machine", Some(moved), s(Ready), at(5e3), New),
            (
                "the wall clock leapt, the boot is the same",
                Some(fact("s", Ready, 0.2)),
                s(Ready),
                leapt.clone(),
                Share(1.0 - 0.8 * 0.5_f64.powf(0.02)),
            ),
            (
                "another boot, and a clock that went back",
                Some(fact("s", Ready, 0.2)),
                s(Ready),
                elsewhere.clone(),
                AsListed,
            ),
            (
                "so is a drain's age",
                Some(fact("s", Gone, 1.0)),
                s(Ready),
                elsewhere,
                AsListed,
            ),
        ];
        for (name, fact, entry, now, wanted) in cases {
            let found = one(fact, entry, now);
            let alike = match (found, wanted) {
                (Share(a), Share(b)) => (a - b).abs() < 1e-9,
                (a, b) => a == b,
            };
            assert!(alike, "{name}: {found:?}, wanted {wanted:?}");
        }
    }

    #[test]
    fn memory_never_starves_a_fleet() {
        let mut facts = Facts {
            alive: at(0.0),
            ..Facts::default()
        };
        let mut roster = Vec::new();
        for i in 0..30 {
            let name = format!("s{i}");
            // Ten well, ten slow, ten that nobody knows.
            if i < 20 {
                let share = if i < 10 { 1.0 } else { 0.2 };
                facts
                    .servers
                    .insert(name.clone(), fact(&name, Ready, share));
            }
            roster.push(entry(&name, Ready, None));
        }
        let (told, recalled) = recall(&at(1.0), &facts, &roster, WARM);
        let new = recalled.iter().filter(|r| **r == Recall::New).count();
        let slow = recalled
            .iter()
            .filter(|r| matches!(r, Recall::Share(_)))
            .count();
        assert_eq!((new, slow), (2, 10), "the unknown are let go first");
        assert_eq!(told.len(), 28);
    }
}
