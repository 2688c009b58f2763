//! Maps the names of servers to the small indices that the planner uses.
//!
//! An index is reused for another server once nothing refers to it: the old server has been gone and
//! without weight for [`INDEX_REUSE_DELAY_MS`], no probe of it is pending, and no queued command names
//! it. It is reused only in the same zone, because the planner assigned it to a part of that zone.
//!
//! Once an index was released, its former name is forgotten here, but the relay still knows that it is
//! withdrawn. Any name that gets an index from then on may be such a name.

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
    /// Since when it has been gone and without weight (ms).
    pub idle_since: Option<f64>,
    /// Number of earlier servers at this index; tells late probe results of these apart.
    pub generation: u32,
    /// Whether a probe was sent and has not ended.
    pub probe_pending: bool,
    /// Its last start by the local clock (ms); `None` means long ago.
    pub started_at_ms: Option<f64>,
    /// Its last start as listed (ms).
    listed_started_at_ms: f64,
}

/// All servers by index and by name.
#[derive(Default)]
pub struct ServerSlots {
    /// Every slot ever used, by index.
    pub all: Vec<ServerSlot>,
    /// The indices by server name.
    by_name: HashMap<String, usize>,
    /// Indices free for reuse, by zone.
    free: BTreeMap<usize, Vec<usize>>,
    /// Whether a name was ever forgotten.
    has_forgotten_names: bool,
}

/// The index of a listed server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    pub index: usize,
    /// The server has just got its index, and may have had another one before.
    pub may_have_returned: bool,
}

impl ServerSlots {
    /// Returns the index of the server with this name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Stores the listed state of a server, under a new index if it has none.
    pub fn upsert(&mut self, endpoint: &Endpoint, now: f64) -> ListedServer {
        let known = self.find(&endpoint.name);
        let index = known.unwrap_or_else(|| self.allocate(endpoint));
        let slot = &mut self.all[index];
        slot.address = endpoint.address.or(slot.address);
        slot.zone = endpoint.zone;
        slot.admin_state = endpoint.admin_state;
        if endpoint.started_at_ms != slot.listed_started_at_ms {
            slot.listed_started_at_ms = endpoint.started_at_ms;
            // A start in the future counts as now: the clocks differ or one was set. Computed once per
            // listed value, so that the same list received again reports no new start.
            slot.started_at_ms =
                (endpoint.started_at_ms > 0.0).then(|| endpoint.started_at_ms.min(now));
        }
        slot.update_idle(now);
        ListedServer {
            index,
            may_have_returned: known.is_none() && self.has_forgotten_names,
        }
    }

    /// Assigns an index to a new server, a free one of its zone if there is one.
    fn allocate(&mut self, endpoint: &Endpoint) -> usize {
        let reused = self.free.get_mut(&endpoint.zone).and_then(Vec::pop);
        let index = reused.unwrap_or(self.all.len());
        self.by_name.insert(endpoint.name.clone(), index);
        let generation = self.all.get(index).map_or(0, |slot| slot.generation + 1);
        let new = ServerSlot {
            name: endpoint.name.clone(),
            address: endpoint.address,
            zone: endpoint.zone,
            admin_state: endpoint.admin_state,
            weight: 0.0,
            table: self.all.get(index).and_then(|slot| slot.table),
            idle_since: None,
            generation,
            probe_pending: false,
            started_at_ms: None,
            listed_started_at_ms: 0.0,
        };
        match self.all.get_mut(index) {
            Some(slot) => *slot = new,
            None => self.all.push(new),
        }
        index
    }

    /// Marks every server that a full list does not contain as gone.
    pub fn mark_unlisted_gone(&mut self, listed: &[usize], now: f64) {
        let mut is_listed = vec![false; self.all.len()];
        listed.iter().for_each(|index| is_listed[*index] = true);
        let slots = self.all.iter_mut().zip(&is_listed);
        for (slot, _) in slots.filter(|(_, listed)| !**listed) {
            slot.admin_state = AdminState::Gone;
            slot.update_idle(now);
        }
    }

    /// Records the weight that was ordered for a server and the table that it is in.
    pub fn record_weight(&mut self, index: usize, table: usize, weight: f64, now: f64) {
        self.all[index].table = Some(table);
        self.all[index].weight = weight;
        self.all[index].update_idle(now);
    }

    /// Frees the indices that nothing refers to any more and returns their number. `pending` are the
    /// servers named by queued commands.
    pub fn release_idle(&mut self, now: f64, pending: &BTreeSet<usize>) -> usize {
        let mut released = 0;
        for (index, slot) in self.all.iter().enumerate() {
            let idle_long_enough = slot
                .idle_since
                .is_some_and(|at| now - at >= INDEX_REUSE_DELAY_MS);
            if idle_long_enough
                && !slot.probe_pending
                && !pending.contains(&index)
                && self.by_name.get(&slot.name) == Some(&index)
            {
                self.by_name.remove(&slot.name);
                self.free.entry(slot.zone).or_default().push(index);
                released += 1;
            }
        }
        self.has_forgotten_names |= released > 0;
        released
    }
}

impl ServerSlot {
    /// Updates `idle_since` after a change of the state or the weight.
    fn update_idle(&mut self, now: f64) {
        let idle = self.admin_state == AdminState::Gone && self.weight == 0.0;
        self.idle_since = match idle {
            true => self.idle_since.or(Some(now)),
            false => None,
        };
    }
}
