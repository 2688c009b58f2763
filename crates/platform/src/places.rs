//! Names of servers and the small indices that the planner knows them by.
//!
//! An index is used again for another name once nothing refers to it: its server is gone and its line
//! taken away, both have been so for [`QUIET_MS`], by when no answer or probe names it any more, and no
//! order that names it waits to be sent. Only within its zone: the planner has dealt it to a part of that zone.

use crate::discovery::Entry;
use dahliapoint::AdminState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// Calls, reports and probes all end well within this.
pub const QUIET_MS: f64 = 20_000.0;

#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub zone: usize,
    pub standing: AdminState,
    /// The line that was last ordered; 0: none.
    pub line: f64,
    /// The table that its line is in, from the first on.
    pub table: Option<usize>,
    /// Since when it is gone and without a line.
    pub idle_since: Option<f64>,
    /// Counted up with each name: an answer to what was asked of another name is known by it.
    pub turn: u32,
    /// When a probe was sent that is not answered yet.
    pub asked: bool,
    /// When it last started, by our clock (ms); none: long ago.
    pub started: Option<f64>,
    /// The same as the list has it.
    since_ms: f64,
}

#[derive(Default)]
pub struct Places {
    pub all: Vec<Place>,
    by_name: HashMap<String, usize>,
    free: BTreeMap<usize, Vec<usize>>,
}

impl Places {
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The index for an entry, and what it now says.
    pub fn place(&mut self, entry: &Entry, now: f64) -> usize {
        let index = match self.by_name.get(&entry.name) {
            Some(index) => *index,
            None => self.fresh(entry),
        };
        let place = &mut self.all[index];
        place.address = entry.address.or(place.address);
        place.zone = entry.zone;
        place.standing = entry.standing;
        if entry.since_ms != place.since_ms {
            place.since_ms = entry.since_ms;
            // A start in the future is one of now: two clocks, or one that was set. Reckoned once, so that
            // a list that is told again tells of no new start.
            place.started = (entry.since_ms > 0.0).then(|| entry.since_ms.min(now));
        }
        place.settle(now);
        index
    }

    fn fresh(&mut self, entry: &Entry) -> usize {
        let used = self.free.get_mut(&entry.zone).and_then(Vec::pop);
        let index = used.unwrap_or(self.all.len());
        self.by_name.insert(entry.name.clone(), index);
        let turn = self.all.get(index).map_or(0, |p| p.turn + 1);
        let place = Place {
            name: entry.name.clone(),
            address: entry.address,
            zone: entry.zone,
            standing: entry.standing,
            line: 0.0,
            table: self.all.get(index).and_then(|p| p.table),
            idle_since: None,
            turn,
            asked: false,
            started: None,
            since_ms: 0.0,
        };
        match self.all.get_mut(index) {
            Some(slot) => *slot = place,
            None => self.all.push(place),
        }
        index
    }

    /// Those that a whole list does not name are gone.
    pub fn gone_but(&mut self, listed: &[usize], now: f64) {
        let mut there = vec![false; self.all.len()];
        listed.iter().for_each(|i| there[*i] = true);
        for (place, _) in self.all.iter_mut().zip(&there).filter(|(_, t)| !**t) {
            place.standing = AdminState::Gone;
            place.settle(now);
        }
    }

    pub fn wrote(&mut self, index: usize, table: usize, line: f64, now: f64) {
        self.all[index].table = Some(table);
        self.all[index].line = line;
        self.all[index].settle(now);
    }

    /// Lets names go whose index nothing refers to, orders that wait included; tells how many.
    pub fn forget(&mut self, now: f64, ordered: &BTreeSet<usize>) -> usize {
        let mut gone = 0;
        for (index, place) in self.all.iter().enumerate() {
            let quiet = place.idle_since.is_some_and(|at| now - at >= QUIET_MS);
            if quiet
                && !place.asked
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

impl Place {
    fn settle(&mut self, now: f64) {
        let idle = self.standing == AdminState::Gone && self.line == 0.0;
        self.idle_since = match idle {
            true => self.idle_since.or(Some(now)),
            false => None,
        };
    }
}
