//! What is kept: of each server what the roster said and what its line had come to. Times are wall clock
//! milliseconds, with the machine's own uptime beside them: that one neither leaps nor goes back.

use dahliapoint_control::{AdminState, RosterEntry, ServerView};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A verdict that moves by less is not written down; one that stands is renewed so often.
const SLACK: f64 = 0.02;
const RENEW_MS: f64 = 10_000.0;
/// Longer names are none of ours.
const LONGEST: usize = 4_096;
const LARGEST_KEPT: usize = 512 * 1024;

/// A moment, told so that another process can say how long ago it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stamp {
    pub wall_ms: f64,
    /// The machine's boot, and the time since then; empty where it cannot be told.
    pub boot: String,
    pub up_ms: f64,
}

impl Stamp {
    /// How long before this one another was. Within a boot by the uptime, whatever the wall clock did;
    /// else by the wall clock. Nothing if that went back: then nobody knows.
    pub fn since(&self, before: &Stamp) -> Option<f64> {
        let same = !self.boot.is_empty() && self.boot == before.boot;
        let gap = match same {
            true => self.up_ms - before.up_ms,
            false => self.wall_ms - before.wall_ms,
        };
        (gap >= 0.0 && gap.is_finite()).then_some(gap)
    }
}

impl Stamp {
    /// The moment so long before this one.
    pub fn before(&self, ms: f64) -> Stamp {
        Stamp {
            wall_ms: self.wall_ms - ms,
            boot: self.boot.clone(),
            up_ms: self.up_ms - ms,
        }
    }
}

/// What is known of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerFact {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub state: AdminState,
    /// Since when the roster says so.
    pub since: Stamp,
    pub weight: f64,
    /// What its line has come to, as a share of the listed weight: below 1 it is trimmed, held or warming.
    pub share: f64,
    /// When that was last so.
    pub judged: Stamp,
    pub shut: bool,
}

/// A change of what is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    Server(ServerFact),
    Forgotten(String),
    /// What is let in of a class.
    Level(String, f64, Stamp),
    /// The controller lives at this moment.
    Alive(Stamp),
    /// What a hook keeps: its file and name, and the value as text. Since schema 2.
    Kept(String, String, String),
}

/// All that is known.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    pub servers: BTreeMap<String, ServerFact>,
    pub levels: BTreeMap<String, (f64, Stamp)>,
    /// When the controller was last known to live.
    pub alive: Stamp,
    /// By file and name.
    pub kept: BTreeMap<(String, String), String>,
}

impl Facts {
    /// Takes a change; one that nobody can have meant is an error.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn apply(&mut self, change: Change) -> Result<(), String> {
        match change {
            Change::Server(fact) => {
                if fact.name.len() > LONGEST || !(fact.share >= 0.0 && fact.weight >= 0.0) {
                    return Err("a server that nobody can have listed".into());
                }
                self.servers.insert(fact.name.clone(), fact);
            }
            Change::Forgotten(name) => {
                self.servers.remove(&name);
            }
            Change::Level(class, share, at) => {
                if class.len() > LONGEST || !(0.0..=1.0).contains(&share) {
                    return Err("a level that nobody can have set".into());
                }
                self.levels.insert(class, (share, at));
            }
            Change::Alive(at) => self.alive = at,
            Change::Kept(file, name, value) => {
                if file.len() > LONGEST || name.len() > LONGEST || value.len() > LARGEST_KEPT {
                    return Err("more than any hook keeps".into());
                }
                match value.is_empty() {
                    true => self.kept.remove(&(file, name)),
                    false => self.kept.insert((file, name), value),
                };
            }
        }
        Ok(())
    }

    /// The roster as it was last known.
    pub fn entries(&self) -> Vec<RosterEntry> {
        let entry = |f: &ServerFact| RosterEntry {
            name: f.name.clone(),
            address: f.address.clone(),
            zone: f.zone.clone(),
            state: f.state,
            weight: f.weight,
            started: None,
        };
        self.servers.values().map(entry).collect()
    }
}

/// Finds what has changed since it was last asked.
#[derive(Clone, Debug, Default)]
pub struct Differ {
    told: BTreeMap<String, ServerFact>,
    levels: BTreeMap<String, f64>,
}

impl Differ {
    /// Begins with what was kept: until lines are ordered that is still what is known of them.
    pub fn since(facts: &Facts) -> Differ {
        Differ {
            told: facts.servers.clone(),
            levels: BTreeMap::new(),
        }
    }

    /// The changes from what was told before to what a controller knows now.
    pub fn changes(
        &mut self,
        now: &Stamp,
        servers: &[ServerView],
        levels: &[(String, f64)],
    ) -> Vec<Change> {
        let mut out = Vec::new();
        let mut seen = BTreeMap::new();
        // Before any line is ordered nothing is known of any.
        let ordered = servers.iter().any(|s| s.weight > 0.0);
        for s in servers {
            let before = self.told.get(&*s.name);
            // A share that no visit has backed since we began is what we were told, as old as it was then: a verdict
            // does not grow young by being handed on.
            let judged = match (s.last_try_ago_ms, before) {
                (Some(ago), _) => now.before(ago),
                (None, Some(before)) => before.judged.clone(),
                (None, None) => now.clone(),
            };
            let line = (ordered && s.part.is_some() && s.listed_weight > 0.0)
                .then(|| (s.weight / s.listed_weight, judged));
            let held = || before.map_or((1.0, now.clone()), |b| (b.share, b.judged.clone()));
            let (share, judged) = line.unwrap_or_else(held);
            let mut fact = ServerFact {
                name: s.name.to_string(),
                address: s.address.to_string(),
                zone: s.zone.clone(),
                state: s.state,
                since: now.clone(),
                weight: s.listed_weight,
                share: if s.state == AdminState::Ready {
                    share.min(1.0)
                } else {
                    1.0
                },
                judged,
                shut: s.withdrawn,
            };
            if let Some(before) = before.filter(|b| b.state == fact.state) {
                fact.since = before.since.clone();
            }
            let same = before.is_some_and(|b| {
                let moved = (b.share - fact.share).abs() > SLACK;
                let old = fact.share < 1.0 - SLACK
                    && fact.judged != b.judged
                    && now.since(&b.judged).is_none_or(|gap| gap >= RENEW_MS);
                let like = |f: &ServerFact| ServerFact {
                    share: 0.0,
                    judged: Stamp::default(),
                    ..f.clone()
                };
                !moved && !old && like(b) == like(&fact)
            });
            match (same, before) {
                (true, Some(before)) => fact = before.clone(),
                _ => out.push(Change::Server(fact.clone())),
            }
            seen.insert(fact.name.clone(), fact);
        }
        let gone = self.told.keys().filter(|n| !seen.contains_key(*n));
        out.extend(gone.cloned().map(Change::Forgotten));
        self.told = seen;
        for (class, share) in levels {
            if self.levels.get(class) != Some(share) {
                self.levels.insert(class.clone(), *share);
                out.push(Change::Level(class.clone(), *share, now.clone()));
            }
        }
        out
    }
}
