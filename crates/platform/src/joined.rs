//! Who is joined, by what followers of the news tell.
//!
//! Each follower tells every joining and leaving once, in order, but begins with what stood when it
//! came. While one follower is unbroken nothing is missed, so another that breaks and comes back
//! changes nothing: each proxy's joinings and leavings are counted, by follower and in all, and only
//! what is ahead of the count in all is news. When none is left that was unbroken and has been heard
//! lately, a proxy may have left and come back unseen, and its binding with it: everyone who is told
//! anew joins anew.

use std::collections::BTreeMap;

/// Followers lag behind each other by less than this (ms); a difference from a snapshot that is
/// younger is the lag of one of them, an older one is news.
const LAG_MS: f64 = 1500.0;

/// A change of who is joined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    Joined {
        proxy: usize,
        zone: usize,
        pace: f64,
    },
    Left {
        proxy: usize,
    },
}

#[derive(Clone, Copy, Default)]
struct Count {
    /// Joinings and leavings, odd while it is joined.
    turns: u64,
    changed: f64,
}

struct Follower {
    /// What stands has been told.
    settled: bool,
    /// Nobody was there to vouch when it began: it is the measure.
    alone: bool,
    /// Its sign of life stays away: it vouches for nothing until it is heard again.
    silent: bool,
    told: BTreeMap<usize, u64>,
}

#[derive(Default)]
pub struct Joined {
    all: BTreeMap<usize, Count>,
    followers: BTreeMap<u32, Follower>,
}

impl Joined {
    pub fn is_joined(&self, proxy: usize) -> bool {
        self.all.get(&proxy).is_some_and(|c| c.turns % 2 == 1)
    }

    /// Counts the joinings of a proxy: another number, another binding.
    pub fn turn(&self, proxy: usize) -> u64 {
        self.all.get(&proxy).map_or(0, |c| c.turns)
    }

    pub fn count(&self) -> usize {
        self.all.values().filter(|c| c.turns % 2 == 1).count()
    }

    /// A follower begins: what stands comes next.
    pub fn begun(&mut self, follower: u32) {
        self.followers.remove(&follower);
        let alone = self.followers.values().all(|f| f.silent);
        if alone {
            // Their counts are of a time before this one; what they may still tell is of no use.
            self.followers.clear();
        }
        let fresh = Follower {
            settled: false,
            alone,
            silent: false,
            told: BTreeMap::new(),
        };
        self.followers.insert(follower, fresh);
    }

    /// A follower's sign of life has stayed away.
    pub fn silent(&mut self, follower: u32) {
        if let Some(f) = self.followers.get_mut(&follower) {
            f.silent = true;
        }
    }

    /// Anything came from a follower: its stream has been whole all along.
    pub fn heard(&mut self, follower: u32) {
        if let Some(f) = self.followers.get_mut(&follower) {
            f.silent = false;
        }
    }

    pub fn ended(&mut self, follower: u32) {
        self.followers.remove(&follower);
        // Whoever began beside it and has not been told all yet is the measure now.
        if !self.followers.values().any(|f| f.settled) {
            self.followers.values_mut().for_each(|f| f.alone = true);
        }
    }

    pub fn hello(
        &mut self,
        follower: u32,
        (proxy, zone, pace): (usize, usize, f64),
        now: f64,
        out: &mut Vec<Change>,
    ) {
        let Some(f) = self.followers.get_mut(&follower) else {
            return;
        };
        let all = self.all.entry(proxy).or_default();
        let joined = all.turns % 2 == 1;
        // Nobody knew it when this one was told what stands.
        let before = f.settled.then_some(&0);
        let next = match f.told.get(&proxy).or(before) {
            // The first that it tells of this proxy, while what stands is told.
            None if !f.settled && f.alone => {
                // Left unseen and came back, perhaps: it joins anew, whatever stood before.
                all.turns += if joined { 2 } else { 1 };
                all.changed = now;
                f.told.insert(proxy, all.turns);
                if joined {
                    out.push(Change::Left { proxy });
                }
                out.push(Change::Joined { proxy, zone, pace });
                return;
            }
            None if !f.settled && joined => {
                f.told.insert(proxy, all.turns);
                return;
            }
            None if !f.settled && now - all.changed < LAG_MS && all.turns > 0 => {
                // It has left since; this follower will tell so.
                f.told.insert(proxy, all.turns - 1);
                return;
            }
            None => all.turns + 1,
            // An unbroken stream that tells of a joining twice: the leaving between was implied.
            Some(told) if told % 2 == 1 => told + 2,
            Some(told) => told + 1,
        };
        f.told.insert(proxy, next);
        if next > all.turns {
            (all.turns, all.changed) = (next, now);
            if joined {
                out.push(Change::Left { proxy });
            }
            out.push(Change::Joined { proxy, zone, pace });
        }
    }

    pub fn bye(&mut self, follower: u32, proxy: usize, now: f64, out: &mut Vec<Change>) {
        self.settle(follower, now, out);
        let Some(f) = self.followers.get_mut(&follower) else {
            return;
        };
        let all = self.all.entry(proxy).or_default();
        let told = f.told.get(&proxy).copied().unwrap_or(0);
        if told % 2 == 0 {
            return;
        }
        f.told.insert(proxy, told + 1);
        if told + 1 > all.turns {
            (all.turns, all.changed) = (told + 1, now);
            out.push(Change::Left { proxy });
        }
    }

    /// Anything but a joining ends what a follower tells of what stands: who is not in it has left.
    pub fn settle(&mut self, follower: u32, now: f64, out: &mut Vec<Change>) {
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
            if all.turns % 2 == 0 {
                f.told.insert(*proxy, all.turns);
            } else if !f.alone && now - all.changed < LAG_MS {
                // It has joined since; this follower will tell so.
                f.told.insert(*proxy, all.turns - 1);
            } else {
                (all.turns, all.changed) = (all.turns + 1, now);
                f.told.insert(*proxy, all.turns);
                out.push(Change::Left { proxy: *proxy });
            }
        }
    }

    /// Who is joined now, as if all had joined anew: what was ordered to them may be lost.
    pub fn turn_over(&mut self, proxy: usize) {
        // The followers' counts move with it, so that their next news is news.
        if let Some(all) = self.all.get_mut(&proxy) {
            all.turns += 2;
            for f in self.followers.values_mut() {
                if let Some(told) = f.told.get_mut(&proxy) {
                    *told += 2;
                }
            }
        }
    }
}
