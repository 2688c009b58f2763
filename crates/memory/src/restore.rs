//! Decides how far stored facts about servers are still valid after a restart, without I/O. An
//! ordered list of rules is applied to each server of the roster; the first that applies decides.
//! Called once at the start with the stored state, the current roster and the current time.
//!
//! The result is the roster as the controller last knew it. The planner receives it first and the
//! true roster right after, so that stored facts enter by the same calls as any other event: a
//! server stored as draining that is ready now returns through the ramp, and one with a reduced
//! weight starts as if it had warmed up to that share. All times are relative to the warm-up time
//! of a server.

use crate::facts::{Facts, ServerFact, Timestamp};
use dahliapoint_control::{AdminState, RosterEntry};

/// Half-life of a stored share that is not renewed, in multiples of the warm-up time.
const SHARE_HALF_LIFE: f64 = 5.0;
/// A share above this is treated as full weight.
const FULL_SHARE: f64 = 0.95;
/// Assumed share of a server that was withdrawn and may have returned at an unknown time.
const UNCERTAIN_RETURN_SHARE: f64 = 0.1;
/// Maximum share of the ready servers' weight that stored facts may withhold at the start.
const MAX_WITHHELD_SHARE: f64 = 0.35;

/// A server of the roster with its stored fact.
struct Case<'a> {
    entry: &'a RosterEntry,
    fact: Option<&'a ServerFact>,
    /// Time since the controller was last running; `None` if unknown.
    downtime_ms: Option<f64>,
    now: &'a Timestamp,
    warm_ms: f64,
}

/// How a server is presented to the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restored {
    /// As in the roster.
    AsListed,
    /// As draining, so that it returns now.
    Returning,
    /// Left out, so that it enters as newly started.
    New,
    /// As if this share of its warm-up were over.
    Share(f64),
}

/// Decides how a server is restored; `None` if the rule does not apply.
type Rule = fn(&Case) -> Option<Restored>;

/// The rules in order; the first that applies decides.
const RULES: [Rule; 6] = [
    roster_decides_unready,
    recent_start_is_cold,
    other_address_is_unknown,
    no_fact_is_unknown,
    returned_server_ramps,
    stored_share_decays,
];

/// Stored facts never make a server ready: only the roster says which servers are gone or draining.
fn roster_decides_unready(c: &Case) -> Option<Restored> {
    (c.entry.state != AdminState::Ready).then_some(Restored::AsListed)
}

/// A start time in the roster counts as it is: a server that started recently is cold, whatever is
/// stored about it.
fn recent_start_is_cold(c: &Case) -> Option<Restored> {
    let recent = c.entry.started.is_some_and(|(ago, _)| ago < c.warm_ms);
    recent.then_some(Restored::AsListed)
}

/// Prevents another machine that took over the name during the downtime from receiving a warm
/// server's visits.
fn other_address_is_unknown(c: &Case) -> Option<Restored> {
    let other = c.fact.is_some_and(|f| f.address != c.entry.address);
    other.then(|| unknown(c))
}

/// A server without a stored fact.
fn no_fact_is_unknown(c: &Case) -> Option<Restored> {
    c.fact.is_none().then(|| unknown(c))
}

/// A server without a valid fact. Within a warm-up time it cannot be warm; after a longer downtime
/// it gets full weight, as at a start without stored facts. It also gets full weight if the length
/// of the downtime is unknown, although it may be cold.
fn unknown(c: &Case) -> Restored {
    match c.downtime_ms {
        Some(downtime) if downtime < c.warm_ms => Restored::New,
        _ => Restored::AsListed,
    }
}

/// A server that was draining, gone or withdrawn and is ready now may have just started, or may
/// have been warm for long. Until a warm-up time has passed it returns through the ramp, as while
/// the controller runs; from then on the doubt decays. The cost is a ramp that may not be needed.
fn returned_server_ramps(c: &Case) -> Option<Restored> {
    let fact = c
        .fact
        .filter(|f| f.state != AdminState::Ready || f.withdrawn)?;
    Some(match c.downtime_ms {
        Some(downtime) if downtime >= c.warm_ms => decayed(
            UNCERTAIN_RETURN_SHARE,
            Some(downtime - c.warm_ms),
            c.warm_ms,
        ),
        Some(_) => Restored::Returning,
        None => decayed(UNCERTAIN_RETURN_SHARE, c.now.since(&fact.since), c.warm_ms),
    })
}

/// A server that was slow or failing may still be so: it starts with its stored share, which
/// approaches 1 with its age. A time in the future gives no age, so the share is ignored.
fn stored_share_decays(c: &Case) -> Option<Restored> {
    let fact = c.fact.filter(|f| f.share < FULL_SHARE)?;
    Some(decayed(fact.share, c.now.since(&fact.judged), c.warm_ms))
}

/// A stored share, brought closer to 1 the older it is.
fn decayed(share: f64, age: Option<f64>, warm_ms: f64) -> Restored {
    let confidence = age.map_or(0.0, |age| 0.5_f64.powf(age / (SHARE_HALF_LIFE * warm_ms)));
    let share = 1.0 - (1.0 - share.clamp(0.0, 1.0)) * confidence;
    match share < FULL_SHARE {
        true => Restored::Share(share),
        false => Restored::AsListed,
    }
}

/// How doubtful a restored fact is; the most doubtful are dropped first if there are too many.
fn doubt(restored: Restored) -> f64 {
    match restored {
        Restored::AsListed | Restored::Returning => 0.0,
        Restored::Share(share) => 1.0 + share,
        Restored::New => 3.0,
    }
}

/// Returns the roster to present to the planner first, and how each server of the given roster was
/// restored.
pub fn restore_roster(
    now: &Timestamp,
    facts: &Facts,
    roster: &[RosterEntry],
    warm_ms: f64,
) -> (Vec<RosterEntry>, Vec<Restored>) {
    let downtime_ms = now.since(&facts.alive);
    let case = |entry| Case {
        entry,
        fact: facts.servers.get(&entry.name),
        downtime_ms,
        now,
        warm_ms,
    };
    let decide = |entry| {
        let case = case(entry);
        let decision = RULES.iter().find_map(|rule| rule(&case));
        decision.unwrap_or(Restored::AsListed)
    };
    let mut restored_all: Vec<Restored> = roster.iter().map(decide).collect();
    limit_withheld_weight(roster, &mut restored_all);
    let presented = roster
        .iter()
        .zip(&restored_all)
        .filter_map(|(entry, restored)| {
            let mut entry = entry.clone();
            match restored {
                Restored::AsListed => {}
                Restored::Returning => entry.state = AdminState::Draining,
                Restored::New => return None,
                Restored::Share(share) => {
                    // A marker of its own, so that the roster's next start time replaces it.
                    entry.started = Some((warm_ms * share, u64::MAX));
                }
            }
            Some(entry)
        });
    (presented.collect(), restored_all)
}

/// Limits the damage if the stored facts are wrong about many servers at once (the fleet was
/// replaced during the downtime, or a whole site was slow): starting with a tenth of the weight is
/// worse than starting as listed. The most doubtful facts are dropped first. If a third of the
/// fleet is really cold, only the planner's own rule for cold servers remains.
fn limit_withheld_weight(roster: &[RosterEntry], restored_all: &mut [Restored]) {
    let ready = |e: &RosterEntry| e.state == AdminState::Ready;
    let ready_weight: f64 = roster.iter().filter(|e| ready(e)).map(|e| e.weight).sum();
    let withheld = |restored: &Restored, weight: f64| match restored {
        Restored::AsListed => 0.0,
        Restored::Share(share) => weight * (1.0 - share),
        Restored::Returning | Restored::New => weight,
    };
    let mut withheld_weight: f64 = roster
        .iter()
        .zip(restored_all.iter())
        .filter(|(e, _)| ready(e))
        .map(|(e, r)| withheld(r, e.weight))
        .sum();
    let mut doubtful: Vec<usize> = (0..roster.len())
        .filter(|i| doubt(restored_all[*i]) > 0.0)
        .collect();
    doubtful.sort_by(|a, b| doubt(restored_all[*b]).total_cmp(&doubt(restored_all[*a])));
    for i in doubtful {
        if withheld_weight <= MAX_WITHHELD_SHARE * ready_weight {
            return;
        }
        withheld_weight -= withheld(&restored_all[i], roster[i].weight);
        restored_all[i] = Restored::AsListed;
    }
}

#[cfg(test)]
mod tests;
