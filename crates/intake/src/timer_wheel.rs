//! A timing wheel: things that expire at some time, in slots of a fixed width. Setting and expiring cost
//! the same however many there are; one that is set anew stays in its old slot until that comes round, and
//! is then moved (so that a reporter heard a thousand times costs one move, not a thousand).

use std::collections::HashMap;
use std::hash::Hash;

/// Slots: what expires further ahead goes round.
const SLOTS: usize = 256;

#[derive(Clone, Debug)]
pub struct TimerWheel<T> {
    slot_ms: f64,
    slots: Vec<Vec<T>>,
    /// When each thing expires, and the slot that it lies in; those not in here were taken out.
    due: HashMap<T, (f64, u64)>,
    /// The slot up to which all was looked at.
    done: u64,
}

impl<T: Copy + Eq + Hash + Ord> TimerWheel<T> {
    pub fn new(now: f64, slot_ms: f64) -> TimerWheel<T> {
        TimerWheel {
            slot_ms,
            slots: vec![Vec::new(); SLOTS],
            due: HashMap::new(),
            done: (now / slot_ms) as u64,
        }
    }

    fn slot(&self, at: f64) -> u64 {
        ((at / self.slot_ms).ceil() as u64).max(self.done + 1)
    }

    /// Sets when a thing expires, anew if it was set before.
    pub fn schedule(&mut self, what: T, at: f64) {
        let slot = self.slot(at);
        match self.due.get_mut(&what) {
            // Later than before: it is moved when its old slot comes round.
            Some((due, lies)) if *lies <= slot => *due = at,
            _ => {
                self.due.insert(what, (at, slot));
                self.slots[slot as usize % SLOTS].push(what);
            }
        }
    }

    /// Takes a thing out: it does not expire.
    pub fn cancel(&mut self, what: &T) -> bool {
        self.due.remove(what).is_some()
    }

    /// What has expired by now, in its order; it is not in the wheel any more.
    pub fn pop_expired(&mut self, now: f64) -> Vec<T> {
        let newest = (now / self.slot_ms) as u64;
        let mut out = Vec::new();
        let rounds = (newest.saturating_sub(self.done)).min(SLOTS as u64);
        let from = newest - rounds;
        self.done = self.done.max(newest);
        for n in from + 1..=newest {
            let slot = std::mem::take(&mut self.slots[n as usize % SLOTS]);
            for what in slot {
                match self.due.get(&what).copied() {
                    // Left over from before it was taken out or set to an earlier time.
                    None => {}
                    Some((_, lies)) if lies as usize % SLOTS != n as usize % SLOTS => {}
                    Some((at, _)) if at <= now => {
                        self.due.remove(&what);
                        out.push(what);
                    }
                    Some((at, _)) => {
                        let slot = self.slot(at);
                        self.due.insert(what, (at, slot));
                        self.slots[slot as usize % SLOTS].push(what);
                    }
                }
            }
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    pub fn len(&self) -> usize {
        self.due.len()
    }

    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
