//! Failure detection by heartbeats for proxies without a stream, without I/O: an ordered list of
//! rules, each a condition and an effect, applied to each proxy until none fires.
//!
//! Call [`Presence::heartbeat`] for each heartbeat, [`Presence::deregister`] when a proxy says that
//! it leaves, [`Presence::stream_changed`] when a stream of a proxy begins or ends, and
//! [`Presence::session_closed`] when the controller closed a session. [`Presence::next_action`]
//! then returns one action after the other. A proxy with a stream needs no heartbeats: it is
//! present as long as the stream is open.
//!
//! All times are multiples of the heartbeat interval.

use crate::Session;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Intervals without a heartbeat after which a proxy counts as silent: one may be late because of a
/// slow disk, the next one because of a slow reader.
const SILENT_INTERVALS: f64 = 3.5;
/// Consecutive heartbeats after which a proxy counts as present: the first one for a new proxy,
/// since a joining proxy is bound at once; more after it was silent or had a stream.
const JOIN_HEARTBEATS: u32 = 1;
const REJOIN_HEARTBEATS: u32 = 2;
/// Each time it falls silent within this many intervals of the last time doubles the heartbeats
/// that it needs, at most `MAX_DOUBLINGS` times.
const FLAP_WINDOW_INTERVALS: f64 = 60.0;
const MAX_DOUBLINGS: u32 = 4;
/// Heartbeats while a stream of the same name is open, from which on two processes are reported to
/// share a name.
const DUPLICATE_HEARTBEATS: u32 = 8;
/// A proxy is forgotten this many intervals after its last heartbeat.
const FORGET_INTERVALS: f64 = 200.0;

/// State of a proxy that sends heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatState {
    session: Session,
    zone: String,
    visits_per_s: Option<f64>,
    /// Time of the last heartbeat.
    last_heartbeat: f64,
    /// Consecutive heartbeats.
    consecutive: u32,
    joined: bool,
    /// Doublings of the heartbeats that it needs.
    doublings: u32,
    /// When it last fell silent.
    silent_at: f64,
    /// A stream of this name is open.
    has_stream: bool,
    /// It was reported that two processes share the name.
    duplicate_reported: bool,
    /// It said that it leaves, and is still to be removed.
    leaving: bool,
}

/// An action on a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Add the proxy with this session.
    Join {
        session: Session,
        proxy: Arc<str>,
        zone: String,
        visits_per_s: Option<f64>,
    },
    /// Remove the session, for this reason.
    Leave(Session, &'static str),
    /// Log that two processes share this name.
    DuplicateName(Arc<str>),
    /// The state of this proxy is dropped.
    Forget(Arc<str>),
}

/// The proxies that send heartbeats, by name. See the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    interval_ms: f64,
    by_name: BTreeMap<Arc<str>, HeartbeatState>,
}

/// Takes the state and the name of a proxy, the time, and the heartbeat interval.
type Rule = fn(&mut HeartbeatState, &Arc<str>, f64, f64) -> Option<Action>;

const RULES: [Rule; 6] = [
    remove_deregistered,
    stream_replaces_heartbeats,
    report_duplicate_name,
    remove_silent,
    join_after_heartbeats,
    forget_gone,
];

/// A proxy that deregisters is removed at once, without waiting until it counts as silent.
fn remove_deregistered(state: &mut HeartbeatState, _: &Arc<str>, _: f64, _: f64) -> Option<Action> {
    let leaves = std::mem::take(&mut state.leaving);
    (state.consecutive, state.joined) = if leaves {
        (0, false)
    } else {
        (state.consecutive, state.joined)
    };
    leaves.then_some(Action::Leave(state.session, "it says goodbye"))
}

/// Guards against one proxy being sent messages on two paths: a stream is more reliable than
/// heartbeats, so a proxy that opens a stream is present by it at once, and its heartbeats are
/// ignored while the stream is open. Also catches a second process of the same name. May harm when
/// the stream is a stray one: when it ends, sustained heartbeats bring the proxy back.
fn stream_replaces_heartbeats(
    state: &mut HeartbeatState,
    _: &Arc<str>,
    _: f64,
    _: f64,
) -> Option<Action> {
    let replaced = state.has_stream && state.joined;
    if replaced {
        (state.consecutive, state.joined) = (0, false);
    }
    replaced.then_some(Action::Leave(state.session, "it has a stream now"))
}

/// Guards against two processes that share a name unnoticed, one with a stream and one with
/// heartbeats.
fn report_duplicate_name(
    state: &mut HeartbeatState,
    name: &Arc<str>,
    _: f64,
    _: f64,
) -> Option<Action> {
    let duplicate =
        state.has_stream && state.consecutive >= DUPLICATE_HEARTBEATS && !state.duplicate_reported;
    state.duplicate_reported |= duplicate;
    duplicate.then(|| Action::DuplicateName(name.clone()))
}

/// Guards against tables written for a proxy that is dead or unreachable, whose lines would wait
/// forever. Also catches a proxy whose directory was replaced. May harm when a disk stalls for all
/// proxies: they leave together and join again with sustained heartbeats afterwards.
fn remove_silent(
    state: &mut HeartbeatState,
    _: &Arc<str>,
    now: f64,
    interval_ms: f64,
) -> Option<Action> {
    let silent =
        state.consecutive > 0 && now - state.last_heartbeat >= SILENT_INTERVALS * interval_ms;
    if !silent {
        return None;
    }
    state.doublings = match now - state.silent_at < FLAP_WINDOW_INTERVALS * interval_ms {
        true => (state.doublings + 1).min(MAX_DOUBLINGS),
        false => 0,
    };
    state.silent_at = now;
    state.consecutive = 0;
    let was_joined = std::mem::take(&mut state.joined);
    was_joined.then_some(Action::Leave(state.session, "it has fallen silent"))
}

/// A proxy joins after enough consecutive heartbeats. Guards against flapping: each silence soon
/// after the last one doubles the heartbeats that are needed.
fn join_after_heartbeats(
    state: &mut HeartbeatState,
    name: &Arc<str>,
    _: f64,
    _: f64,
) -> Option<Action> {
    let is_new = state.silent_at == f64::NEG_INFINITY;
    let needed = if is_new {
        JOIN_HEARTBEATS
    } else {
        REJOIN_HEARTBEATS << state.doublings
    };
    let joins = !state.joined && !state.has_stream && state.consecutive >= needed;
    state.joined |= joins;
    joins.then(|| Action::Join {
        session: state.session,
        proxy: name.clone(),
        zone: state.zone.clone(),
        visits_per_s: state.visits_per_s,
    })
}

/// Guards against state that grows with every name ever seen.
fn forget_gone(
    state: &mut HeartbeatState,
    name: &Arc<str>,
    now: f64,
    interval_ms: f64,
) -> Option<Action> {
    let forgotten = state.consecutive == 0
        && !state.has_stream
        && now - state.last_heartbeat >= FORGET_INTERVALS * interval_ms;
    forgotten.then(|| Action::Forget(name.clone()))
}

impl Presence {
    /// Creates an empty state, for proxies that send heartbeats at this interval.
    pub fn new(interval_ms: f64) -> Presence {
        Presence {
            interval_ms,
            by_name: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat; `on_stream`: a stream of that name is open. A session other than the last
    /// one means that the proxy was restarted: the old session is removed at once, by the action
    /// that is returned.
    pub fn heartbeat(
        &mut self,
        now: f64,
        session: Session,
        proxy: &str,
        zone: &str,
        visits_per_s: Option<f64>,
        on_stream: bool,
    ) -> Option<Action> {
        let initial = HeartbeatState {
            session,
            zone: zone.into(),
            visits_per_s,
            last_heartbeat: now,
            consecutive: 0,
            joined: false,
            doublings: 0,
            // A stream of that name is open: its heartbeats must be sustained.
            silent_at: if on_stream { now } else { f64::NEG_INFINITY },
            has_stream: on_stream,
            duplicate_reported: false,
            leaving: false,
        };
        let state = self.by_name.entry(proxy.into()).or_insert(initial);
        let mut superseded = None;
        if state.session != session {
            let was_joined = std::mem::take(&mut state.joined);
            superseded =
                was_joined.then_some(Action::Leave(state.session, "another life of it beats"));
            (state.session, state.leaving) = (session, false);
        }
        (state.zone, state.visits_per_s, state.last_heartbeat) = (zone.into(), visits_per_s, now);
        state.consecutive = state.consecutive.saturating_add(1);
        superseded
    }

    /// The proxy says that it leaves.
    pub fn deregister(&mut self, session: Session) {
        let mut all = self.by_name.values_mut();
        if let Some(state) = all.find(|state| state.session == session) {
            state.leaving = state.joined;
            state.consecutive = 0;
        }
    }

    /// A stream of that name begins or ends.
    pub fn stream_changed(&mut self, now: f64, proxy: &str, begins: bool) {
        if let Some(state) = self.by_name.get_mut(proxy) {
            (state.has_stream, state.duplicate_reported) = (begins, false);
            if !begins {
                // From now on its heartbeats must be sustained again.
                state.consecutive = 0;
                state.silent_at = state
                    .silent_at
                    .max(now - FLAP_WINDOW_INTERVALS * self.interval_ms);
            }
        }
    }

    /// The controller closed a session; the proxy may come back with a new one.
    pub fn session_closed(&mut self, now: f64, session: Session) {
        let mut all = self.by_name.values_mut();
        if let Some(state) = all.find(|state| state.session == session) {
            (state.joined, state.consecutive, state.silent_at) = (false, 0, now);
        }
    }

    /// Whether a session is present by heartbeats.
    pub fn contains(&self, session: Session) -> bool {
        self.by_name
            .values()
            .any(|state| state.session == session && state.joined)
    }

    /// The next action; none once all are done.
    pub fn next_action(&mut self, now: f64) -> Option<Action> {
        let interval_ms = self.interval_ms;
        let action = self.by_name.iter_mut().find_map(|(name, state)| {
            RULES
                .iter()
                .find_map(|rule| rule(state, name, now, interval_ms))
        });
        if let Some(Action::Forget(name)) = &action {
            self.by_name.remove(name);
        }
        action
    }

    /// The next time at which a rule can fire if nothing else happens.
    pub fn wake_at(&self) -> f64 {
        let deadline = |state: &HeartbeatState| match state.consecutive {
            0 => state.last_heartbeat + FORGET_INTERVALS * self.interval_ms,
            _ => state.last_heartbeat + SILENT_INTERVALS * self.interval_ms,
        };
        let waiting = self
            .by_name
            .values()
            .filter(|state| !(state.consecutive == 0 && state.has_stream));
        waiting.map(deadline).fold(f64::INFINITY, f64::min)
    }
}

#[cfg(test)]
mod tests;
