//! Tracks which proxies are joined, from several followers of the relay's event stream.
//!
//! A follower is one subscription. It begins with a snapshot of the joined proxies and then reports
//! every join and leave once, in order. As long as one follower is uninterrupted nothing is missed, so
//! another one that reconnects must not change anything. Therefore the joins and leaves of each proxy
//! are counted, per follower and overall (the proxy's epoch, odd while it is joined), and an event is a
//! change only if it is ahead of the overall count. The rules, in order:
//!
//! 1. **Authoritative**: a follower that starts while no other is active is authoritative. A proxy may
//!    have left and rejoined unseen and lost its binding, so every proxy in its snapshot joins anew.
//! 2. **Linked**: a follower that starts while another is trusted becomes trusted itself at the next
//!    event of that one, since there is no gap between the two streams. Trusted followers are those
//!    that are authoritative or linked, and not silent.
//! 3. **Promoted**: when the last trusted follower ends or falls silent, the oldest remaining one
//!    becomes authoritative, also for what it has already reported.
//! 4. **Estimated**: a snapshot has states, not counts, and may be older or newer than what other
//!    followers have reported. While followers may lag behind each other, the smallest count that fits
//!    the state is assumed, so that the follower that is ahead reports the change. After that time,
//!    equal states mean equal counts.
//! 5. **Last trusted**: when one trusted follower remains, its state decides at once, and each
//!    difference is a change.

use std::collections::BTreeMap;

/// Followers lag behind each other by less than this. A younger difference between a snapshot and the
/// known state may be lag; an older one is a change.
pub const MAX_FOLLOWER_LAG_MS: f64 = 1500.0;

/// A join or leave of a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MembershipChange {
    Joined {
        proxy: usize,
        zone: usize,
        visits_per_ms: f64,
    },
    Left {
        proxy: usize,
    },
}

/// What is known of a proxy from all followers.
#[derive(Clone, Copy, Default)]
struct Count {
    /// Number of joins and leaves; odd while the proxy is joined.
    turns: u64,
    /// The number before the latest changes that followers may not all have reported yet.
    before: u64,
    /// Time of the last change (ms).
    changed: f64,
    zone: usize,
    visits_per_ms: f64,
}

impl Count {
    fn is_joined(&self) -> bool {
        self.turns % 2 == 1
    }

    /// Whether all followers have reported the last change by now.
    fn is_quiet(&self, now: f64) -> bool {
        now - self.changed >= MAX_FOLLOWER_LAG_MS
    }

    fn becomes(&mut self, turns: u64, now: f64) {
        if self.is_quiet(now) {
            self.before = self.turns;
        }
        (self.turns, self.changed) = (turns, now);
    }

    /// Rule 4: the smallest count since `before` that fits the given state.
    fn least(&self, joined: bool) -> u64 {
        self.before + u64::from((self.before % 2 == 1) != joined)
    }
}

/// The number of joins and leaves of a proxy that a follower has reported.
#[derive(Clone, Copy)]
struct Told {
    turns: u64,
    /// Whether it is estimated from a snapshot, which has no counts.
    guessed: bool,
}

impl Told {
    fn exact(turns: u64) -> Told {
        let guessed = false;
        Told { turns, guessed }
    }

    fn guess(turns: u64) -> Told {
        let guessed = true;
        Told { turns, guessed }
    }

    fn is_joined(self) -> bool {
        self.turns % 2 == 1
    }

    /// Rule 4: an estimate of the same state becomes exact once no follower lags behind.
    fn settled(self, all: &Count, now: f64) -> Told {
        let same = self.is_joined() == all.is_joined();
        match self.guessed && same && all.is_quiet(now) {
            true => Told::exact(all.turns),
            false => self,
        }
    }
}

/// One subscription to the event stream.
struct Follower {
    /// Position in the order in which followers started.
    order: u64,
    /// Whether its snapshot is complete.
    settled: bool,
    /// Rules 1 and 3.
    alone: bool,
    /// Rule 2.
    linked: bool,
    /// Whether its heartbeat is overdue; it is not trusted until its next event.
    silent: bool,
    /// What it has reported, by proxy.
    told: BTreeMap<usize, Told>,
}

impl Follower {
    fn vouches(&self) -> bool {
        (self.alone || self.linked) && !self.silent
    }

    /// Returns what it has reported of a proxy, or `None` while its snapshot is incomplete. A proxy
    /// missing from a complete snapshot counts as not joined.
    fn has_told(&self, proxy: usize) -> Option<Told> {
        let unknown = self.settled.then_some(Told::guess(0));
        self.told.get(&proxy).copied().or(unknown)
    }
}

/// Merges the event streams of several followers into one sequence of joins and leaves.
#[derive(Default)]
pub struct Membership {
    all: BTreeMap<usize, Count>,
    followers: BTreeMap<u32, Follower>,
    /// Number of followers started so far.
    begun: u64,
}

impl Membership {
    /// Whether a proxy is joined.
    pub fn is_joined(&self, proxy: usize) -> bool {
        self.all.get(&proxy).is_some_and(Count::is_joined)
    }

    /// Returns a proxy's epoch. A binding is valid only in the epoch for which it was made.
    pub fn epoch(&self, proxy: usize) -> u64 {
        self.all.get(&proxy).map_or(0, |c| c.turns)
    }

    /// Returns the number of joined proxies.
    pub fn count(&self) -> usize {
        self.all.values().filter(|c| c.is_joined()).count()
    }

    /// Whether another follower than this one is trusted.
    fn is_accompanied(&self, follower: u32) -> bool {
        let mut others = self.followers.iter().filter(|(id, _)| **id != follower);
        others.any(|(_, f)| f.vouches())
    }

    /// A follower's stream starts; its snapshot comes next.
    pub fn follower_started(&mut self, follower: u32) {
        self.followers.remove(&follower);
        let alone = self.followers.values().all(|f| f.silent);
        if alone {
            // The silent followers' counts predate this one, so later events of theirs are ignored.
            self.followers.clear();
        }
        self.begun += 1;
        let fresh = Follower {
            order: self.begun,
            settled: false,
            alone,
            linked: false,
            silent: false,
            told: BTreeMap::new(),
        };
        self.followers.insert(follower, fresh);
    }

    /// A follower's heartbeat is overdue.
    pub fn follower_silent(&mut self, follower: u32, now: f64, out: &mut Vec<MembershipChange>) {
        if let Some(f) = self.followers.get_mut(&follower) {
            f.silent = true;
            self.succeed(now, out);
        }
    }

    /// Anything arrived from a follower, so its stream has had no gap so far.
    pub fn follower_active(&mut self, follower: u32) {
        let Some(f) = self.followers.get_mut(&follower) else {
            return;
        };
        // The first event after a silence may be old: it links no follower that started meanwhile.
        let late = std::mem::replace(&mut f.silent, false);
        if f.vouches() && !late {
            let order = f.order;
            let younger = self.followers.values_mut().filter(|g| g.order > order);
            younger.for_each(|g| g.linked = true);
        }
    }

    /// A follower's stream ended.
    pub fn follower_ended(&mut self, follower: u32, now: f64, out: &mut Vec<MembershipChange>) {
        if self.followers.remove(&follower).is_some() {
            self.succeed(now, out);
        }
    }

    /// Applies rules 3 and 5 after a follower ended or fell silent.
    fn succeed(&mut self, now: f64, out: &mut Vec<MembershipChange>) {
        let heard = self.followers.iter().filter(|(_, f)| !f.silent);
        let sound: Vec<u32> = heard
            .clone()
            .filter(|(_, f)| f.vouches())
            .map(|(id, _)| *id)
            .collect();
        let oldest = heard.min_by_key(|(_, f)| f.order).map(|(id, _)| *id);
        let (sole, promoted) = match (&sound[..], oldest) {
            ([], Some(oldest)) => (oldest, true),
            ([sole], _) => (*sole, false),
            _ => return,
        };
        if promoted {
            self.followers.retain(|_, f| !f.silent);
        }
        let Some(f) = self.followers.get_mut(&sole) else {
            return;
        };
        f.alone |= promoted;
        for (proxy, all) in &mut self.all {
            let Some(told) = f.has_told(*proxy).filter(|told| told.guessed || promoted) else {
                continue;
            };
            let (proxy, zone, visits_per_ms) = (*proxy, all.zone, all.visits_per_ms);
            match (told.is_joined(), all.is_joined()) {
                (true, true) if promoted => {
                    all.becomes(all.turns + 2, now);
                    out.push(MembershipChange::Left { proxy });
                    out.push(MembershipChange::Joined {
                        proxy,
                        zone,
                        visits_per_ms,
                    });
                }
                (true, true) | (false, false) => {}
                (true, false) => {
                    all.becomes(all.turns + 1, now);
                    out.push(MembershipChange::Joined {
                        proxy,
                        zone,
                        visits_per_ms,
                    });
                }
                (false, true) => {
                    all.becomes(all.turns + 1, now);
                    out.push(MembershipChange::Left { proxy });
                }
            }
            f.told.insert(proxy, Told::exact(all.turns));
        }
        // The overall counts may have changed: the other followers' counts are estimates now.
        for (_, g) in self.followers.iter_mut().filter(|(id, _)| **id != sole) {
            g.told.values_mut().for_each(|told| told.guessed = true);
        }
    }

    /// A follower reports that a proxy is joined, in its snapshot or as a join.
    pub fn hello(
        &mut self,
        follower: u32,
        (proxy, zone, visits_per_ms): (usize, usize, f64),
        now: f64,
        out: &mut Vec<MembershipChange>,
    ) {
        let accompanied = self.is_accompanied(follower);
        let Some(f) = self.followers.get_mut(&follower) else {
            return;
        };
        let all = self.all.entry(proxy).or_default();
        (all.zone, all.visits_per_ms) = (zone, visits_per_ms);
        let (joined, quiet) = (all.is_joined(), all.is_quiet(now));
        let next = match f.has_told(proxy).map(|told| told.settled(all, now)) {
            // Rule 1: it may have left and rejoined unseen.
            None if f.alone && joined => Told::exact(all.turns + 2),
            None if accompanied && !quiet => Told::guess(all.least(true)),
            None if joined => Told::exact(all.turns),
            None => Told::exact(all.turns + 1),
            // A second join in one stream implies a leave in between.
            Some(Told { turns, guessed }) => {
                let turns = turns + if turns % 2 == 1 { 2 } else { 1 };
                Told { turns, guessed }
            }
        };
        f.told.insert(proxy, next);
        if next.turns > all.turns {
            all.becomes(next.turns, now);
            if joined {
                out.push(MembershipChange::Left { proxy });
            }
            out.push(MembershipChange::Joined {
                proxy,
                zone,
                visits_per_ms,
            });
        }
    }

    /// A follower reports that a proxy left.
    pub fn bye(&mut self, follower: u32, proxy: usize, now: f64, out: &mut Vec<MembershipChange>) {
        self.end_snapshot(follower, now, out);
        let Some(f) = self.followers.get_mut(&follower) else {
            return;
        };
        let all = self.all.entry(proxy).or_default();
        let told = f.has_told(proxy).map(|told| told.settled(all, now));
        let Some(Told { turns, guessed }) = told.filter(|told| told.is_joined()) else {
            return;
        };
        let turns = turns + 1;
        f.told.insert(proxy, Told { turns, guessed });
        if turns > all.turns {
            all.becomes(turns, now);
            out.push(MembershipChange::Left { proxy });
        }
    }

    /// Ends a follower's snapshot, as any event but a join does: a proxy missing from it has left.
    pub fn end_snapshot(&mut self, follower: u32, now: f64, out: &mut Vec<MembershipChange>) {
        let accompanied = self.is_accompanied(follower);
        let Some(f) = self.followers.get_mut(&follower) else {
            return;
        };
        if std::mem::replace(&mut f.settled, true) {
            return;
        }
        for (proxy, all) in &mut self.all {
            if f.told.contains_key(proxy) {
                continue;
            }
            let told = match (accompanied && !all.is_quiet(now), all.is_joined()) {
                (true, _) => Told::guess(all.least(false)),
                (false, false) => Told::exact(all.turns),
                (false, true) => {
                    all.becomes(all.turns + 1, now);
                    out.push(MembershipChange::Left { proxy: *proxy });
                    Told::exact(all.turns)
                }
            };
            f.told.insert(*proxy, told);
        }
    }

    /// Starts a new epoch of a joined proxy, because commands sent to it may be lost.
    pub fn renew_epoch(&mut self, proxy: usize) {
        // The followers' counts move along, so that their next events still count as changes.
        if let Some(all) = self.all.get_mut(&proxy) {
            (all.turns, all.before) = (all.turns + 2, all.before + 2);
            for f in self.followers.values_mut() {
                if let Some(told) = f.told.get_mut(&proxy) {
                    told.turns += 2;
                }
            }
        }
    }
}
