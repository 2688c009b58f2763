//! Servers by name and by index. An index is used again only once nothing refers to it.

use crate::{AdminState, Line, LineState, RosterEntry};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// What is kept of a server beside the planner's own state.
#[derive(Clone, Debug)]
pub struct Slot {
    pub name: Arc<str>,
    pub address: Arc<str>,
    pub zone: usize,
    pub state: AdminState,
    pub listed_weight: f64,
    /// Stamp of its last start, and when that was on our clock.
    pub started: Option<(u64, f64)>,
    /// Its line, as it has left: the part and the weight there.
    pub part: Option<usize>,
    pub weight: f64,
    pub shut: bool,
    /// What is ordered; what has left follows by steps that the guard finds safe.
    pub wanted: f64,
    pub wants_shut: bool,
    /// When a report last told of tries there.
    pub met_at: Option<f64>,
    /// A probe is out.
    pub asked: bool,
    /// Since when it is gone, and the last serial whose message may name it.
    pub gone_since: Option<f64>,
    pub named_in: u64,
}

impl Slot {
    /// The line that stands in its part's table.
    pub fn line(&self) -> Line {
        let state = match (self.weight > 0.0, self.shut) {
            (false, _) => LineState::Removed,
            (true, true) => LineState::Withdrawn,
            (true, false) => LineState::Open,
        };
        self.line_as(state)
    }

    pub fn line_as(&self, state: LineState) -> Line {
        Line {
            server: self.name.clone(),
            address: self.address.clone(),
            zone: self.zone,
            weight: self.weight,
            state,
        }
    }
}

#[derive(Default)]
pub struct Servers {
    pub slots: Vec<Slot>,
    by_name: HashMap<Arc<str>, usize>,
    by_address: HashMap<Arc<str>, usize>,
    /// Indices to be used again, by zone: the planner has dealt them to parts of that zone.
    free: BTreeMap<usize, Vec<usize>>,
}

impl Servers {
    /// The index of a name or an address.
    pub fn find(&self, name: &str) -> Option<usize> {
        let found = self.by_name.get(name).or_else(|| self.by_address.get(name));
        found.copied()
    }

    /// The index for an entry, an old one if there is one, and what it now says. Tells whether the
    /// address has changed under a line that stands.
    pub fn place(&mut self, entry: &RosterEntry, zone: usize, now: f64) -> (usize, bool) {
        let index = match self.by_name.get(entry.name.as_str()) {
            Some(index) => *index,
            None => self.fresh(entry, zone),
        };
        let slot = &mut self.slots[index];
        let moved = *slot.address != *entry.address;
        if moved {
            self.by_address.remove(&slot.address);
            slot.address = entry.address.as_str().into();
        }
        self.by_address.insert(slot.address.clone(), index);
        slot.zone = zone;
        slot.state = entry.state;
        slot.listed_weight = entry.weight;
        slot.gone_since = (entry.state == AdminState::Gone).then_some(now);
        if let Some((ago, stamp)) = entry.started
            && slot.started.is_none_or(|(known, _)| known != stamp)
        {
            slot.started = Some((stamp, now - ago.max(0.0)));
        }
        (index, moved && slot.weight > 0.0)
    }

    fn fresh(&mut self, entry: &RosterEntry, zone: usize) -> usize {
        let name: Arc<str> = entry.name.as_str().into();
        let used = self.free.get_mut(&zone).and_then(Vec::pop);
        let index = used.unwrap_or(self.slots.len());
        self.by_name.insert(name.clone(), index);
        let address: Arc<str> = entry.address.as_str().into();
        match self.slots.get_mut(index) {
            // The planner keeps its part, its line of 0 and its withdrawal with the index.
            Some(slot) => {
                (slot.name, slot.address) = (name, address);
                (slot.started, slot.asked, slot.met_at) = (None, false, None);
            }
            None => self.slots.push(Slot {
                name,
                address,
                zone,
                state: entry.state,
                listed_weight: entry.weight,
                started: None,
                part: None,
                weight: 0.0,
                shut: false,
                wanted: 0.0,
                wants_shut: false,
                met_at: None,
                asked: false,
                gone_since: None,
                named_in: 0,
            }),
        }
        index
    }

    /// Names that are not in the roster any more are gone; tells which were not before.
    pub fn gone_but(&mut self, listed: &[usize], now: f64) {
        let mut there = vec![false; self.slots.len()];
        listed.iter().for_each(|i| there[*i] = true);
        for (slot, _) in self.slots.iter_mut().zip(&there).filter(|(_, t)| !**t) {
            slot.state = AdminState::Gone;
            slot.gone_since.get_or_insert(now);
        }
    }

    /// Forgets gone servers whose index nothing refers to: no line, withdrawn everywhere, long enough
    /// gone, no probe out, and every message that named them answered. Tells which.
    pub fn forget(&mut self, now: f64, after_ms: f64, oldest_unanswered: u64) -> Vec<usize> {
        let mut forgotten = Vec::new();
        for index in 0..self.slots.len() {
            let slot = &self.slots[index];
            let known = self.by_name.get(&slot.name) == Some(&index);
            let quiet = slot.gone_since.is_some_and(|at| now - at >= after_ms);
            let unused = slot.weight == 0.0 && slot.wanted == 0.0 && slot.shut && !slot.asked;
            if known && quiet && unused && slot.named_in < oldest_unanswered {
                let (name, address) = (slot.name.clone(), slot.address.clone());
                self.by_name.remove(&name);
                if self.by_address.get(&address) == Some(&index) {
                    self.by_address.remove(&address);
                }
                self.free.entry(slot.zone).or_default().push(index);
                forgotten.push(index);
            }
        }
        forgotten
    }

    /// Indices that stand for a name.
    pub fn known(&self) -> impl Iterator<Item = (usize, &Slot)> {
        let named = |(i, s): &(usize, &Slot)| self.by_name.get(&s.name) == Some(i);
        self.slots.iter().enumerate().filter(named)
    }
}
