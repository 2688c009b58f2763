//! Failure detection by heartbeats for proxies without a stream, without I/O: an ordered list of rules, each a condition
//! and an effect, applied to each proxy until none fires.
//!
//! Call [`Presence::beat`] for each heartbeat, [`Presence::says_goodbye`] when a proxy says that it leaves,
//! [`Presence::streamed`] when a stream of a proxy begins or ends, and [`Presence::closed`] when the controller closed a
//! session. [`Presence::next`] then returns one action after the other. A proxy with a stream needs no heartbeats: it is
//! present as long as the stream is open.
//!
//! All times are multiples of the heartbeat interval.

use crate::Session;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Intervals without a heartbeat after which a proxy counts as silent: one may be late because of a slow disk, the next
/// one because of a slow reader.
const SILENT: f64 = 3.5;
/// Consecutive heartbeats after which a proxy counts as present: the first one for a new proxy, since a joining proxy is
/// bound at once; more after it was silent or had a stream.
const FIRST: u32 = 1;
const AGAIN: u32 = 2;
/// Each time it falls silent within this many intervals of the last time doubles the heartbeats that it needs, at most
/// `DOUBLINGS` times.
const LATELY: f64 = 60.0;
const DOUBLINGS: u32 = 4;
/// Heartbeats while a stream of the same name is open, from which on two processes are reported to share a name.
const DOUBLED: u32 = 8;
/// A proxy is forgotten this many intervals after its last heartbeat.
const FORGET: f64 = 200.0;

/// State of a proxy that sends heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct Beating {
    session: Session,
    zone: String,
    pace: Option<f64>,
    /// Time of the last heartbeat.
    last: f64,
    /// Consecutive heartbeats.
    row: u32,
    joined: bool,
    /// Doublings of the heartbeats that it needs.
    fell: u32,
    /// When it last fell silent.
    fell_at: f64,
    /// A stream of this name is open.
    streams: bool,
    /// It was reported that two processes share the name.
    said: bool,
    /// It said that it leaves, and is still to be removed.
    goodbye: bool,
}

/// An action on a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    Join {
        session: Session,
        proxy: Arc<str>,
        zone: String,
        pace: Option<f64>,
    },
    /// Remove the session, for this reason.
    Leave(Session, &'static str),
    /// Log that two processes share this name.
    Doubled(Arc<str>),
    /// All state of this proxy is dropped.
    Forget(Arc<str>),
}

/// The proxies that send heartbeats, by name. See the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    every_ms: f64,
    by_name: BTreeMap<Arc<str>, Beating>,
}

type Rule = fn(&mut Beating, &Arc<str>, f64, f64) -> Option<Deed>;

const RULES: [Rule; 6] = [
    who_says_goodbye_leaves,
    a_stream_goes_before_beats,
    two_of_one_name_are_told,
    the_silent_leave,
    the_sustained_join,
    the_long_gone_are_forgotten,
];

/// A proxy that says goodbye is removed at once, without waiting until it counts as silent.
fn who_says_goodbye_leaves(b: &mut Beating, _: &Arc<str>, _: f64, _: f64) -> Option<Deed> {
    let leaves = std::mem::take(&mut b.goodbye);
    (b.row, b.joined) = if leaves {
        (0, false)
    } else {
        (b.row, b.joined)
    };
    leaves.then_some(Deed::Leave(b.session, "it says goodbye"))
}

/// Guards against one proxy being sent messages on two paths: a stream is more reliable than heartbeats, so a proxy that
/// opens a stream is present by it at once, and its heartbeats are ignored while the stream is open. Also catches a second
/// process of the same name. May harm when the stream is a stray one: when it ends, sustained heartbeats bring the proxy
/// back.
fn a_stream_goes_before_beats(b: &mut Beating, _: &Arc<str>, _: f64, _: f64) -> Option<Deed> {
    let moves = b.streams && b.joined;
    if moves {
        (b.row, b.joined) = (0, false);
    }
    moves.then_some(Deed::Leave(b.session, "it has a stream now"))
}

/// Guards against two processes that share a name unnoticed, one with a stream and one with heartbeats.
fn two_of_one_name_are_told(b: &mut Beating, name: &Arc<str>, _: f64, _: f64) -> Option<Deed> {
    let doubled = b.streams && b.row >= DOUBLED && !b.said;
    b.said |= doubled;
    doubled.then(|| Deed::Doubled(name.clone()))
}

/// Guards against tables written for a proxy that is dead or unreachable, whose lines would wait forever. Also catches a
/// proxy whose directory was replaced. May harm when a disk stalls for all proxies: they leave together and join again
/// with sustained heartbeats afterwards.
fn the_silent_leave(b: &mut Beating, _: &Arc<str>, now: f64, every: f64) -> Option<Deed> {
    let silent = b.row > 0 && now - b.last >= SILENT * every;
    if !silent {
        return None;
    }
    b.fell = match now - b.fell_at < LATELY * every {
        true => (b.fell + 1).min(DOUBLINGS),
        false => 0,
    };
    b.fell_at = now;
    b.row = 0;
    let was = std::mem::take(&mut b.joined);
    was.then_some(Deed::Leave(b.session, "it has fallen silent"))
}

/// A proxy joins after enough consecutive heartbeats. Guards against flapping: each silence soon after the last one
/// doubles the heartbeats that are needed.
fn the_sustained_join(b: &mut Beating, name: &Arc<str>, _: f64, _: f64) -> Option<Deed> {
    let fresh = b.fell_at == f64::NEG_INFINITY;
    let enough = if fresh { FIRST } else { AGAIN << b.fell };
    let joins = !b.joined && !b.streams && b.row >= enough;
    b.joined |= joins;
    joins.then(|| Deed::Join {
        session: b.session,
        proxy: name.clone(),
        zone: b.zone.clone(),
        pace: b.pace,
    })
}

/// Guards against state that grows with every name ever seen.
fn the_long_gone_are_forgotten(
    b: &mut Beating,
    name: &Arc<str>,
    now: f64,
    every: f64,
) -> Option<Deed> {
    let gone = b.row == 0 && !b.streams && now - b.last >= FORGET * every;
    gone.then(|| Deed::Forget(name.clone()))
}

impl Presence {
    /// For proxies that send heartbeats at this interval.
    pub fn new(every_ms: f64) -> Presence {
        Presence {
            every_ms,
            by_name: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat. A session other than the last one means that the proxy was restarted: the old session is
    /// removed at once, by the action that is returned.
    pub fn beat(
        &mut self,
        now: f64,
        session: Session,
        proxy: &str,
        zone: &str,
        pace: Option<f64>,
        on_stream: bool,
    ) -> Option<Deed> {
        let fresh = Beating {
            session,
            zone: zone.into(),
            pace,
            last: now,
            row: 0,
            joined: false,
            fell: 0,
            // A stream of that name is open: its heartbeats must be sustained.
            fell_at: if on_stream { now } else { f64::NEG_INFINITY },
            streams: on_stream,
            said: false,
            goodbye: false,
        };
        let b = self.by_name.entry(proxy.into()).or_insert(fresh);
        let mut over = None;
        if b.session != session {
            let was = std::mem::take(&mut b.joined);
            over = was.then_some(Deed::Leave(b.session, "another life of it beats"));
            (b.session, b.goodbye) = (session, false);
        }
        (b.zone, b.pace, b.last) = (zone.into(), pace, now);
        b.row = b.row.saturating_add(1);
        over
    }

    /// The proxy says that it leaves.
    pub fn says_goodbye(&mut self, session: Session) {
        let mut all = self.by_name.values_mut();
        if let Some(b) = all.find(|b| b.session == session) {
            b.goodbye = b.joined;
            b.row = 0;
        }
    }

    /// A stream of that name begins or ends.
    pub fn streamed(&mut self, now: f64, proxy: &str, begins: bool) {
        if let Some(b) = self.by_name.get_mut(proxy) {
            (b.streams, b.said) = (begins, false);
            if !begins {
                // From now on its heartbeats must be sustained again.
                b.row = 0;
                b.fell_at = b.fell_at.max(now - LATELY * self.every_ms);
            }
        }
    }

    /// The controller closed a session; the proxy may come back with a new one.
    pub fn closed(&mut self, now: f64, session: Session) {
        let mut all = self.by_name.values_mut();
        if let Some(b) = all.find(|b| b.session == session) {
            (b.joined, b.row, b.fell_at) = (false, 0, now);
        }
    }

    /// Whether a session is present by heartbeats.
    pub fn has(&self, session: Session) -> bool {
        self.by_name
            .values()
            .any(|b| b.session == session && b.joined)
    }

    /// The next action; none once all are done.
    pub fn next(&mut self, now: f64) -> Option<Deed> {
        let every = self.every_ms;
        let deed = self
            .by_name
            .iter_mut()
            .find_map(|(name, b)| RULES.iter().find_map(|rule| rule(b, name, now, every)));
        if let Some(Deed::Forget(name)) = &deed {
            self.by_name.remove(name);
        }
        deed
    }

    /// The next time at which a rule can fire if nothing else happens.
    pub fn wake_at(&self) -> f64 {
        let at = |b: &Beating| match b.row {
            0 => b.last + FORGET * self.every_ms,
            _ => b.last + SILENT * self.every_ms,
        };
        let there = self.by_name.values().filter(|b| !(b.row == 0 && b.streams));
        there.map(at).fold(f64::INFINITY, f64::min)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[derive(Clone, Copy, Debug)]
    enum E {
        Beat,
        Bye,
        Stream(bool),
        Close,
        /// This many intervals pass.
        Wait(f64),
    }
    use E::*;

    /// Plays events of one proxy with an interval of 100 ms. Returns its joins (+), leaves (-), reports of a shared name
    /// (2) and the end of its state (.).
    fn play(events: &[E]) -> String {
        let (mut p, mut now, mut on_stream) = (Presence::new(100.0), 1e6, false);
        let mut out = String::new();
        let mut session = 7;
        for e in events {
            match e {
                Beat => {
                    now += 100.0;
                    let over = p.beat(now, session, "p", "z", None, on_stream);
                    assert_eq!(over, None);
                }
                Bye => p.says_goodbye(session),
                Stream(begins) => {
                    on_stream = *begins;
                    p.streamed(now, "p", *begins);
                }
                Close => {
                    p.closed(now, session);
                    session += 1;
                }
                Wait(beats) => now += beats * 100.0,
            }
            let mut many = 0;
            while let Some(deed) = p.next(now) {
                many += 1;
                assert!(many < 9, "the rules come to rest");
                out.push(match deed {
                    Deed::Join { .. } => '+',
                    Deed::Leave(..) => '-',
                    Deed::Doubled(_) => '2',
                    Deed::Forget(_) => '.',
                });
            }
            assert!(p.wake_at() > now);
        }
        out
    }

    #[test]
    fn each_rule_fires_on_its_symptom_and_only_then() {
        let cases: [(&str, &[E], &str); 11] = [
            ("the first beat joins", &[Beat, Beat], "+"),
            ("a late beat is no silence", &[Beat, Wait(3.4)], "+"),
            ("silence leaves, once", &[Beat, Wait(3.5), Wait(9.0)], "+-"),
            (
                "after it one beat is not enough",
                &[Beat, Wait(4.0), Beat],
                "+-",
            ),
            ("two are", &[Beat, Wait(4.0), Beat, Beat], "+-+"),
            (
                "a flapping one needs four",
                &[Beat, Wait(4.0), Beat, Beat, Wait(4.0), Beat, Beat, Beat],
                "+-+-",
            ),
            ("goodbye", &[Beat, Bye, Wait(9.0)], "+-"),
            (
                "a stream takes over at once",
                &[Beat, Stream(true), Beat],
                "+-",
            ),
            (
                "its end gives the name back, sustained",
                &[
                    Beat,
                    Stream(true),
                    Beat,
                    Stream(false),
                    Beat,
                    Wait(0.1),
                    Beat,
                ],
                "+-+",
            ),
            (
                "two of one name",
                &[
                    Stream(true),
                    Beat,
                    Beat,
                    Beat,
                    Beat,
                    Beat,
                    Beat,
                    Beat,
                    Beat,
                    Beat,
                ],
                "2",
            ),
            ("long gone", &[Beat, Wait(4.0), Wait(200.0)], "+-."),
        ];
        for (name, events, wanted) in cases {
            assert_eq!(play(events), wanted, "{name}");
        }
        assert_eq!(
            play(&[Beat, Close, Beat, Beat]),
            "++",
            "closed from here: it comes again"
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]
        /// For any events, joins and leaves alternate.
        #[test]
        fn joins_and_leaves_alternate(codes in proptest::collection::vec(0_u8..9, 1..60)) {
            let events: Vec<E> = codes.iter().map(|c| match c {
                0..=3 => Beat,
                4 => Bye,
                5 => Stream(true),
                6 => Stream(false),
                7 => Wait(3.6),
                _ => Wait(1.0),
            }).collect();
            let told = play(&events);
            let moves: String = told.chars().filter(|c| "+-".contains(*c)).collect();
            prop_assert!(!moves.contains("++") && !moves.contains("--") && !moves.starts_with('-'), "{}", told);
        }
    }
}
