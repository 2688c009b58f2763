//! Who is joined, by what followers of the news tell.
//!
//! Each follower tells every joining and leaving once, in order, but begins with a snapshot: what stood
//! when it came. While one follower is unbroken nothing is missed, so another that breaks and comes back
//! changes nothing: each proxy's joinings and leavings are counted, by follower and in all, and only
//! what is ahead of the count in all is news. The rules, in their order:
//!
//! 1. **Alone**: with nobody beside it that was heard lately, a follower is the measure: a proxy may have
//!    left and come back unseen, and its binding with it, so everyone who is in its snapshot joins anew.
//! 2. **Linked**: one that began beside a sound follower is sound itself once that one is heard again: no
//!    gap lies between what the two have told. Sound is who is alone or linked.
//! 3. **Promoted**: where the last sound follower ends or falls silent, the oldest that is left is alone
//!    from then on, also for what it has told already.
//! 4. **Guessed**: a snapshot tells states, not counts, and may lie before or behind what another has
//!    told. For as long as followers lag behind each other the least count that fits is taken, so that
//!    whoever is ahead tells the news; once all is quiet, counts of the same state are the same count.
//! 5. **Sole**: whoever is left as the only sound one has the last word at once: what differs is news.

use std::collections::BTreeMap;

/// Followers lag behind each other by less than this (ms); a difference from a snapshot that is
/// younger is the lag of one of them, an older one is news.
pub const MAX_FOLLOWER_LAG_MS: f64 = 1500.0;

/// A change of who is joined.
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

#[derive(Clone, Copy, Default)]
struct Count {
    /// Joinings and leavings, odd while it is joined.
    turns: u64,
    /// The same as of the last time that it was quiet.
    before: u64,
    changed: f64,
    zone: usize,
    visits_per_ms: f64,
}

impl Count {
    fn is_joined(&self) -> bool {
        self.turns % 2 == 1
    }

    /// All followers have told the last change.
    fn is_quiet(&self, now: f64) -> bool {
        now - self.changed >= MAX_FOLLOWER_LAG_MS
    }

    fn becomes(&mut self, turns: u64, now: f64) {
        if self.is_quiet(now) {
            self.before = self.turns;
        }
        (self.turns, self.changed) = (turns, now);
    }

    /// Rule 4: the least count of a state that fits what was told lately.
    fn least(&self, joined: bool) -> u64 {
        self.before + u64::from((self.before % 2 == 1) != joined)
    }
}

#[derive(Clone, Copy)]
struct Told {
    turns: u64,
    /// By its snapshot, which does not tell the count.
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

    /// Rule 4, its end.
    fn settled(self, all: &Count, now: f64) -> Told {
        let same = self.is_joined() == all.is_joined();
        match self.guessed && same && all.is_quiet(now) {
            true => Told::exact(all.turns),
            false => self,
        }
    }
}

struct Follower {
    /// Counted up with each that begins.
    order: u64,
    /// Its snapshot has been told.
    settled: bool,
    alone: bool,
    linked: bool,
    /// Its sign of life stays away: it vouches for nothing until it is heard again.
    silent: bool,
    told: BTreeMap<usize, Told>,
}

impl Follower {
    fn vouches(&self) -> bool {
        (self.alone || self.linked) && !self.silent
    }

    /// What it has told of a proxy so far; none while its snapshot may still tell of it. Of one that
    /// nobody knew by then, the snapshot told that it is not joined.
    fn has_told(&self, proxy: usize) -> Option<Told> {
        let unknown = self.settled.then_some(Told::guess(0));
        self.told.get(&proxy).copied().or(unknown)
    }
}

#[derive(Default)]
pub struct Membership {
    all: BTreeMap<usize, Count>,
    followers: BTreeMap<u32, Follower>,
    begun: u64,
}

impl Membership {
    pub fn is_joined(&self, proxy: usize) -> bool {
        self.all.get(&proxy).is_some_and(Count::is_joined)
    }

    /// Counts the joinings of a proxy: another number, another binding.
    pub fn epoch(&self, proxy: usize) -> u64 {
        self.all.get(&proxy).map_or(0, |c| c.turns)
    }

    pub fn count(&self) -> usize {
        self.all.values().filter(|c| c.is_joined()).count()
    }

    /// Another one vouches beside this one.
    fn is_accompanied(&self, follower: u32) -> bool {
        let mut others = self.followers.iter().filter(|(id, _)| **id != follower);
        others.any(|(_, f)| f.vouches())
    }

    /// A follower begins: its snapshot comes next.
    pub fn follower_started(&mut self, follower: u32) {
        self.followers.remove(&follower);
        let alone = self.followers.values().all(|f| f.silent);
        if alone {
            // Their counts are of a time before this one; what they may still tell is of no use.
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

    /// A follower's sign of life has stayed away.
    pub fn follower_silent(&mut self, follower: u32, now: f64, out: &mut Vec<MembershipChange>) {
        if let Some(f) = self.followers.get_mut(&follower) {
            f.silent = true;
            self.succeed(now, out);
        }
    }

    /// Anything came from a follower: its stream has been whole all along.
    pub fn follower_active(&mut self, follower: u32) {
        let Some(f) = self.followers.get_mut(&follower) else {
            return;
        };
        // What ends a silence may be old: it shows nothing of those who began since.
        let late = std::mem::replace(&mut f.silent, false);
        if f.vouches() && !late {
            let order = f.order;
            let younger = self.followers.values_mut().filter(|g| g.order > order);
            younger.for_each(|g| g.linked = true);
        }
    }

    pub fn follower_ended(&mut self, follower: u32, now: f64, out: &mut Vec<MembershipChange>) {
        if self.followers.remove(&follower).is_some() {
            self.succeed(now, out);
        }
    }

    /// Rules 3 and 5, after one that vouched may vouch no more.
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
        // Its word may have moved the count: what the others have told fits by its state only.
        for (_, g) in self.followers.iter_mut().filter(|(id, _)| **id != sole) {
            g.told.values_mut().for_each(|told| told.guessed = true);
        }
    }

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
            // Rule 1: it may have left and come back unseen.
            None if f.alone && joined => Told::exact(all.turns + 2),
            None if accompanied && !quiet => Told::guess(all.least(true)),
            None if joined => Told::exact(all.turns),
            None => Told::exact(all.turns + 1),
            // An unbroken stream that tells of a joining twice: the leaving between was implied.
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

    /// Anything but a joining ends a follower's snapshot: who is not in it has left.
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

    /// A proxy that is joined, as if it had joined anew: what was ordered to it may be lost.
    pub fn renew_epoch(&mut self, proxy: usize) {
        // The followers' counts move with it, so that their next news is news.
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
