//! Merges the controller's own stored facts with a peer's, by their age. Does no I/O, reads no
//! clock and uses no randomness.
//!
//! Call [`merge_facts`] once at the start. The result is treated as stored facts: the same rules of
//! age apply. All rules are applied to each server; each decides one aspect.

use crate::messages::timestamp_ago;
use dahliapoint_memory::facts::{Facts, ServerFact, Timestamp};

/// Running time, in multiples of the warm-up time, below which a peer cannot tell which servers are
/// new: to it all are.
const MIN_WARM_UPS_RUN: f64 = 1.0;

/// A peer's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerFacts {
    /// Facts by server.
    pub facts: Vec<ServerFact>,
    /// Whether the answer arrived to its end, with as many facts as announced.
    pub complete: bool,
    /// How long the peer had been running.
    pub runs_ms: f64,
    /// Duration of the query: the facts may be older than stated by up to this.
    pub took_ms: f64,
}

/// How many servers' facts were taken from which side; logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    /// All from our own facts.
    pub own: usize,
    /// All from the peer.
    pub peers: usize,
    /// State from one side, share from the other.
    pub mixed: usize,
}

/// The two facts about one server, with the time at which each side last looked.
struct Case<'a> {
    now: &'a Timestamp,
    own: &'a ServerFact,
    peers: &'a ServerFact,
    /// When our own facts were last written.
    own_alive: &'a Timestamp,
    /// Maximum age of the peer's view.
    took_ms: f64,
}

/// What is taken from the peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FromPeer {
    state: bool,
    share: bool,
}

/// Decides one aspect of what is taken from the peer.
type Rule = fn(&Case, &mut FromPeer);

/// The rules, applied in order; the last may override the one before.
const RULES: [Rule; 3] = [
    state_from_last_observer,
    share_from_last_confirmation,
    share_follows_address,
];

/// State and address come from the side that looked last: a running peer looks now, our own facts
/// ended with our last run. Prevents use of facts about a machine that was replaced during the
/// downtime. If the peer's roster is behind ours the state is wrong, but the true roster follows at
/// once.
fn state_from_last_observer(c: &Case, from_peer: &mut FromPeer) {
    from_peer.state = match c.now.since(c.own_alive) {
        Some(age) => age > c.took_ms,
        None => true,
    };
}

/// The share comes from the side that confirmed it last; at the same age from our own. An unknown
/// age counts as older than any. Prevents hours-old shares of a peer that has had no visits since
/// from replacing ours: a peer may be running and still know less.
fn share_from_last_confirmation(c: &Case, from_peer: &mut FromPeer) {
    let age = |f: &ServerFact| c.now.since(&f.judged);
    from_peer.share = match (age(c.own), age(c.peers)) {
        (Some(own), Some(peers)) => peers < own,
        (None, Some(_)) => true,
        (_, None) => false,
    };
}

/// A share belongs to a machine, not to a name: if the addresses differ, the share comes from the
/// side whose address was taken.
fn share_follows_address(c: &Case, from_peer: &mut FromPeer) {
    if c.own.address != c.peers.address {
        from_peer.share = from_peer.state;
    }
}

/// Merges both sides' facts. The peer's are first aged by the duration of the query.
pub fn merge_facts(
    now: &Timestamp,
    own: &Facts,
    answer: &PeerFacts,
    warm_ms: f64,
) -> (Facts, Counted) {
    let mut out = own.clone();
    let mut counted = Counted::default();
    for fact in &answer.facts {
        let peers = aged(now, fact, answer.took_ms);
        let Some(stored) = own.servers.get(&peers.name) else {
            counted.peers += 1;
            out.servers.insert(peers.name.clone(), peers);
            continue;
        };
        let case = Case {
            now,
            own: stored,
            peers: &peers,
            own_alive: &own.alive,
            took_ms: answer.took_ms,
        };
        let mut from_peer = FromPeer::default();
        RULES.iter().for_each(|rule| rule(&case, &mut from_peer));
        let state_source = if from_peer.state { &peers } else { stored };
        let share_source = if from_peer.share { &peers } else { stored };
        match (from_peer.state, from_peer.share) {
            (true, true) => counted.peers += 1,
            (false, false) => counted.own += 1,
            _ => counted.mixed += 1,
        }
        let fact = ServerFact {
            share: share_source.share,
            judged: share_source.judged.clone(),
            ..state_source.clone()
        };
        out.servers.insert(fact.name.clone(), fact);
    }
    // A server missing from the answer is new only if the peer had been running long enough and its
    // answer is complete. Otherwise the time of our own facts is kept, and without any it is
    // unknown.
    if answer.complete && answer.runs_ms >= MIN_WARM_UPS_RUN * warm_ms && !answer.facts.is_empty() {
        out.alive = timestamp_ago(now, answer.took_ms);
    }
    (out, counted)
}

/// Ages a fact by the duration of the query. An unknown age stays unknown.
fn aged(now: &Timestamp, fact: &ServerFact, took_ms: f64) -> ServerFact {
    let older = |at: &Timestamp| match now.since(at) {
        Some(age) => timestamp_ago(now, age + took_ms.max(0.0)),
        None => at.clone(),
    };
    ServerFact {
        since: older(&fact.since),
        judged: older(&fact.judged),
        ..fact.clone()
    }
}

#[cfg(test)]
mod tests;
