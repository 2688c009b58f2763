//! A timer wheel: keys that expire at some time, in slots of a fixed width. Scheduling and expiring
//! take constant time per key. A key that is rescheduled for later stays in its old slot until that
//! comes up and is moved then, so a reporter that reports a thousand times costs one move.

use std::collections::HashMap;
use std::hash::Hash;

/// Number of slots; later expiry times wrap around.
const SLOTS: usize = 256;

/// Scheduled keys by expiry time.
#[derive(Clone, Debug)]
pub struct TimerWheel<T> {
    slot_ms: f64,
    slots: Vec<Vec<T>>,
    /// Expiry time of each scheduled key, and its slot number. Keys left in a slot but not in this
    /// map were cancelled.
    due: HashMap<T, (f64, u64)>,
    /// The last slot that has been processed.
    processed: u64,
}

impl<T: Copy + Eq + Hash + Ord> TimerWheel<T> {
    /// Creates an empty wheel with slots of `slot_ms`.
    pub fn new(now: f64, slot_ms: f64) -> TimerWheel<T> {
        TimerWheel {
            slot_ms,
            slots: vec![Vec::new(); SLOTS],
            due: HashMap::new(),
            processed: (now / slot_ms) as u64,
        }
    }

    /// The slot number of an expiry time, at least the next one to be processed.
    fn slot(&self, at: f64) -> u64 {
        ((at / self.slot_ms).ceil() as u64).max(self.processed + 1)
    }

    /// Schedules a key, replacing an earlier expiry time.
    pub fn schedule(&mut self, key: T, at: f64) {
        let slot = self.slot(at);
        match self.due.get_mut(&key) {
            // Later than before: moved when its old slot comes up.
            Some((due, in_slot)) if *in_slot <= slot => *due = at,
            _ => {
                self.due.insert(key, (at, slot));
                self.slots[slot as usize % SLOTS].push(key);
            }
        }
    }

    /// Cancels a key's expiry. Returns whether it was scheduled.
    pub fn cancel(&mut self, key: &T) -> bool {
        self.due.remove(key).is_some()
    }

    /// Removes and returns the keys that have expired by now, sorted.
    pub fn pop_expired(&mut self, now: f64) -> Vec<T> {
        let newest = (now / self.slot_ms) as u64;
        let mut out = Vec::new();
        let slots_passed = (newest.saturating_sub(self.processed)).min(SLOTS as u64);
        let from = newest - slots_passed;
        self.processed = self.processed.max(newest);
        for n in from + 1..=newest {
            let slot = std::mem::take(&mut self.slots[n as usize % SLOTS]);
            for key in slot {
                match self.due.get(&key).copied() {
                    // Left over from before the key was cancelled or scheduled for an earlier time.
                    None => {}
                    Some((_, in_slot)) if in_slot as usize % SLOTS != n as usize % SLOTS => {}
                    Some((at, _)) if at <= now => {
                        self.due.remove(&key);
                        out.push(key);
                    }
                    Some((at, _)) => {
                        let slot = self.slot(at);
                        self.due.insert(key, (at, slot));
                        self.slots[slot as usize % SLOTS].push(key);
                    }
                }
            }
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    /// Number of scheduled keys.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no key is scheduled.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}

#[cfg(test)]
mod tests;
