//! The servers by name, address and index. An index is reused only once nothing refers to it.

use crate::{AdminState, Line, LineState, RosterEntry};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The controller's state of one server; the planner keeps its own.
#[derive(Clone, Debug)]
pub struct Slot {
    pub name: Arc<str>,
    pub address: Arc<str>,
    pub zone: usize,
    pub state: AdminState,
    pub listed_weight: f64,
    /// Stamp of its last start, and the time of that start on the local clock.
    pub started: Option<(u64, f64)>,
    /// Its line as last sent: the part, the weight, and whether it is withdrawn.
    pub part: Option<usize>,
    pub weight: f64,
    pub withdrawn: bool,
    /// The weight and the withdrawal that the planner wants. The line that is sent follows in steps
    /// that the guard finds safe.
    pub target_weight: f64,
    pub target_withdrawn: bool,
    /// When reports last showed tries at this server.
    pub last_try_at: Option<f64>,
    /// A probe was sent and has not returned.
    pub probing: bool,
    /// Since when the roster lists it as gone.
    pub gone_since: Option<f64>,
    /// Serial of the last message that names it.
    pub last_named_serial: u64,
}

impl Slot {
    /// Its line in the table of its part.
    pub fn line(&self) -> Line {
        let state = match (self.weight > 0.0, self.withdrawn) {
            (false, _) => LineState::Removed,
            (true, true) => LineState::Withdrawn,
            (true, false) => LineState::Open,
        };
        self.line_with(state)
    }

    /// Its line, with the given state.
    pub fn line_with(&self, state: LineState) -> Line {
        Line {
            server: self.name.clone(),
            address: self.address.clone(),
            zone: self.zone,
            weight: self.weight,
            state,
        }
    }
}

/// All servers that have an index.
#[derive(Default)]
pub struct Servers {
    pub slots: Vec<Slot>,
    by_name: HashMap<Arc<str>, usize>,
    by_address: HashMap<Arc<str>, usize>,
    /// Indices for reuse, by zone: the planner has assigned them to parts of that zone.
    free_indices: BTreeMap<usize, Vec<usize>>,
}

impl Servers {
    /// Finds the index of a name or an address.
    pub fn find(&self, name: &str) -> Option<usize> {
        let found = self.by_name.get(name).or_else(|| self.by_address.get(name));
        found.copied()
    }

    /// Takes over an entry of the roster. Returns the index of the server, an existing one if its
    /// name is known, and whether the address of a line in a table has changed.
    pub fn upsert(&mut self, entry: &RosterEntry, zone: usize, now: f64) -> (usize, bool) {
        let index = match self.by_name.get(entry.name.as_str()) {
            Some(index) => *index,
            None => self.allocate(entry, zone),
        };
        let slot = &mut self.slots[index];
        let address_changed = *slot.address != *entry.address;
        if address_changed {
            self.by_address.remove(&slot.address);
            slot.address = entry.address.as_str().into();
        }
        self.by_address.insert(slot.address.clone(), index);
        slot.zone = zone;
        slot.state = entry.state;
        slot.listed_weight = entry.weight;
        slot.gone_since = (entry.state == AdminState::Gone).then_some(now);
        if let Some((ago_ms, stamp)) = entry.started
            && slot.started.is_none_or(|(known, _)| known != stamp)
        {
            slot.started = Some((stamp, now - ago_ms.max(0.0)));
        }
        (index, address_changed && slot.weight > 0.0)
    }

    /// Assigns an index to a new name.
    fn allocate(&mut self, entry: &RosterEntry, zone: usize) -> usize {
        let name: Arc<str> = entry.name.as_str().into();
        let reused = self.free_indices.get_mut(&zone).and_then(Vec::pop);
        let index = reused.unwrap_or(self.slots.len());
        self.by_name.insert(name.clone(), index);
        let address: Arc<str> = entry.address.as_str().into();
        match self.slots.get_mut(index) {
            // The part, the weight of 0 and the withdrawal stay: the planner keeps them with the
            // index.
            Some(slot) => {
                (slot.name, slot.address) = (name, address);
                (slot.started, slot.probing, slot.last_try_at) = (None, false, None);
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
                withdrawn: false,
                target_weight: 0.0,
                target_withdrawn: false,
                last_try_at: None,
                probing: false,
                gone_since: None,
                last_named_serial: 0,
            }),
        }
        index
    }

    /// Marks all servers as gone that are not listed any more.
    pub fn mark_unlisted_gone(&mut self, listed: &[usize], now: f64) {
        let mut is_listed = vec![false; self.slots.len()];
        listed.iter().for_each(|i| is_listed[*i] = true);
        for (slot, _) in self.slots.iter_mut().zip(&is_listed).filter(|(_, t)| !**t) {
            slot.state = AdminState::Gone;
            slot.gone_since.get_or_insert(now);
        }
    }

    /// Releases the indices that nothing refers to and returns them: the server has been gone for
    /// `after_ms`, has no line, is withdrawn everywhere, is not being probed, and every message
    /// that named it is answered.
    pub fn release_unused(
        &mut self,
        now: f64,
        after_ms: f64,
        oldest_unacknowledged: u64,
    ) -> Vec<usize> {
        let mut forgotten = Vec::new();
        for index in 0..self.slots.len() {
            let slot = &self.slots[index];
            let known = self.by_name.get(&slot.name) == Some(&index);
            let long_gone = slot.gone_since.is_some_and(|at| now - at >= after_ms);
            let unused =
                slot.weight == 0.0 && slot.target_weight == 0.0 && slot.withdrawn && !slot.probing;
            if known && long_gone && unused && slot.last_named_serial < oldest_unacknowledged {
                let (name, address) = (slot.name.clone(), slot.address.clone());
                self.by_name.remove(&name);
                if self.by_address.get(&address) == Some(&index) {
                    self.by_address.remove(&address);
                }
                self.free_indices.entry(slot.zone).or_default().push(index);
                forgotten.push(index);
            }
        }
        forgotten
    }

    /// The servers whose index currently belongs to their name.
    pub fn known(&self) -> impl Iterator<Item = (usize, &Slot)> {
        let named = |(i, s): &(usize, &Slot)| self.by_name.get(&s.name) == Some(i);
        self.slots.iter().enumerate().filter(named)
    }
}
