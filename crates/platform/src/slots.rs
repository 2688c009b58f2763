//! Maps the names of servers to the small indices that the planner uses.
//!
//! An index is reused for another server once nothing refers to it: the old server has been gone and
//! without weight for [`INDEX_REUSE_DELAY_MS`], no probe of it is pending, and no queued command names
//! it. It is reused only in the same zone, because the planner assigned it to a part of that zone.

use crate::discovery::Endpoint;
use dahliapoint::AdminState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Longer than any call, report or probe can take.
pub const INDEX_REUSE_DELAY_MS: f64 = 20_000.0;

/// The server at one index.
#[derive(Clone, Debug)]
pub struct ServerSlot {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub zone: usize,
    pub admin_state: AdminState,
    /// The last ordered weight; 0 if it has no line in a table.
    pub weight: f64,
    /// The table that holds its line, once one was ordered. Kept when the index is reused.
    pub table: Option<usize>,
    /// Since when it has been gone and without weight.
    pub idle_since: Option<f64>,
    /// Number of earlier servers at this index; tells late probe results of these apart.
    pub generation: u32,
    /// Whether a probe was sent and has not ended.
    pub probe_pending: bool,
    /// Its last start by the local clock (ms); `None` means long ago.
    pub started_at_ms: Option<f64>,
    /// Its last start as listed (ms).
    since_ms: f64,
}

/// All servers by index, and their indices by name.
#[derive(Default)]
pub struct ServerSlots {
    /// Every slot ever used, by index.
    pub all: Vec<ServerSlot>,
    by_name: HashMap<String, usize>,
    /// Indices free for reuse, by zone.
    free: BTreeMap<usize, Vec<usize>>,
}

impl ServerSlots {
    /// Returns the index of a server.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Stores the listed state of a server, under a new index if it has none, and returns the index.
    pub fn upsert(&mut self, entry: &Endpoint, now: f64) -> usize {
        let index = match self.by_name.get(&entry.name) {
            Some(index) => *index,
            None => self.fresh(entry),
        };
        let place = &mut self.all[index];
        place.address = entry.address.or(place.address);
        place.zone = entry.zone;
        place.admin_state = entry.admin_state;
        if entry.started_at_ms != place.since_ms {
            place.since_ms = entry.started_at_ms;
            // A start in the future counts as now: the clocks differ or one was set. Computed once per
            // listed value, so that the same list received again reports no new start.
            place.started_at_ms = (entry.started_at_ms > 0.0).then(|| entry.started_at_ms.min(now));
        }
        place.settle(now);
        index
    }

    fn fresh(&mut self, entry: &Endpoint) -> usize {
        let used = self.free.get_mut(&entry.zone).and_then(Vec::pop);
        let index = used.unwrap_or(self.all.len());
        self.by_name.insert(entry.name.clone(), index);
        let generation = self.all.get(index).map_or(0, |p| p.generation + 1);
        let place = ServerSlot {
            name: entry.name.clone(),
            address: entry.address,
            zone: entry.zone,
            admin_state: entry.admin_state,
            weight: 0.0,
            table: self.all.get(index).and_then(|p| p.table),
            idle_since: None,
            generation,
            probe_pending: false,
            started_at_ms: None,
            since_ms: 0.0,
        };
        match self.all.get_mut(index) {
            Some(slot) => *slot = place,
            None => self.all.push(place),
        }
        index
    }

    /// Marks every server that a full list does not contain as gone.
    pub fn mark_unlisted_gone(&mut self, listed: &[usize], now: f64) {
        let mut there = vec![false; self.all.len()];
        listed.iter().for_each(|i| there[*i] = true);
        for (place, _) in self.all.iter_mut().zip(&there).filter(|(_, t)| !**t) {
            place.admin_state = AdminState::Gone;
            place.settle(now);
        }
    }

    /// Records the weight that was ordered for a server and the table that it is in.
    pub fn record_weight(&mut self, index: usize, table: usize, weight: f64, now: f64) {
        self.all[index].table = Some(table);
        self.all[index].weight = weight;
        self.all[index].settle(now);
    }

    /// Frees the indices that nothing refers to any more and returns their number. `ordered` are the
    /// servers named by queued commands.
    pub fn release_idle(&mut self, now: f64, ordered: &BTreeSet<usize>) -> usize {
        let mut gone = 0;
        for (index, place) in self.all.iter().enumerate() {
            let quiet = place
                .idle_since
                .is_some_and(|at| now - at >= INDEX_REUSE_DELAY_MS);
            if quiet
                && !place.probe_pending
                && !ordered.contains(&index)
                && self.by_name.get(&place.name) == Some(&index)
            {
                self.by_name.remove(&place.name);
                self.free.entry(place.zone).or_default().push(index);
                gone += 1;
            }
        }
        gone
    }
}

impl ServerSlot {
    fn settle(&mut self, now: f64) {
        let idle = self.admin_state == AdminState::Gone && self.weight == 0.0;
        self.idle_since = match idle {
            true => self.idle_since.or(Some(now)),
            false => None,
        };
    }
}
