//! The stored state: for each server its roster entry and the weight it had. Times are wall-clock
//! milliseconds together with the machine's uptime, which is monotonic.

use dahliapoint_control::{AdminState, RosterEntry, ServerView};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A share that changes by no more than this is not written again.
const MIN_SHARE_CHANGE: f64 = 0.02;
/// A share below 1 that visits keep confirming is written again after this time.
const RENEW_MS: f64 = 10_000.0;
/// Longer names are rejected.
const MAX_NAME_BYTES: usize = 4_096;
/// Longer values kept by hooks are rejected.
const MAX_KEPT_BYTES: usize = 512 * 1024;

/// A point in time that another process can compare with its own clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Timestamp {
    /// Wall-clock milliseconds since the Unix epoch.
    pub wall_ms: f64,
    /// The boot ID of the machine; empty if it is unknown.
    pub boot: String,
    /// Uptime since that boot in milliseconds.
    pub up_ms: f64,
}

impl Timestamp {
    /// The time from `before` until this one: by uptime within one boot, whatever the wall clock
    /// did, else by the wall clock. `None` if that went backwards, so that the time is unknown.
    pub fn since(&self, before: &Timestamp) -> Option<f64> {
        let same_boot = !self.boot.is_empty() && self.boot == before.boot;
        let elapsed = match same_boot {
            true => self.up_ms - before.up_ms,
            false => self.wall_ms - before.wall_ms,
        };
        (elapsed >= 0.0 && elapsed.is_finite()).then_some(elapsed)
    }

    /// The point in time `ms` milliseconds earlier.
    pub fn before(&self, ms: f64) -> Timestamp {
        Timestamp {
            wall_ms: self.wall_ms - ms,
            boot: self.boot.clone(),
            up_ms: self.up_ms - ms,
        }
    }
}

/// What is known of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerFact {
    /// The server's name.
    pub name: String,
    /// The server's address.
    pub address: String,
    /// The server's zone.
    pub zone: String,
    /// The state in the roster.
    pub state: AdminState,
    /// Since when the server has been in this state.
    pub since: Timestamp,
    /// The listed weight.
    pub weight: f64,
    /// The server's published weight as a share of its listed weight; below 1 it is reduced, held
    /// or warming up.
    pub share: f64,
    /// When the share was last confirmed.
    pub judged: Timestamp,
    /// Whether the server receives no visits.
    pub withdrawn: bool,
}

/// A change of the stored state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A server was added or changed.
    Server(ServerFact),
    /// A server was removed, by name.
    Forgotten(String),
    /// The admitted share of a class.
    Level(String, f64, Timestamp),
    /// The controller was running at this time.
    Alive(Timestamp),
    /// A value kept by a hook: the hook's file, the name, and the value as text. Since schema 2.
    Kept(String, String, String),
}

/// The stored state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Servers by name.
    pub servers: BTreeMap<String, ServerFact>,
    /// Admitted shares by class, and when each was set.
    pub levels: BTreeMap<String, (f64, Timestamp)>,
    /// When the controller was last known to be running.
    pub alive: Timestamp,
    /// Values kept by hooks, by file and name.
    pub kept: BTreeMap<(String, String), String>,
}

impl Facts {
    /// Applies a change.
    ///
    /// # Errors
    /// Returns what is wrong with the change if its values are out of range.
    pub fn apply(&mut self, change: Change) -> Result<(), String> {
        match change {
            Change::Server(fact) => {
                if fact.name.len() > MAX_NAME_BYTES || !(fact.share >= 0.0 && fact.weight >= 0.0) {
                    return Err(
                        "server with an overlong name, or a negative share or weight".into(),
                    );
                }
                self.servers.insert(fact.name.clone(), fact);
            }
            Change::Forgotten(name) => {
                self.servers.remove(&name);
            }
            Change::Level(class, share, at) => {
                if class.len() > MAX_NAME_BYTES || !(0.0..=1.0).contains(&share) {
                    return Err(
                        "class with an overlong name, or an admitted share outside 0 to 1".into(),
                    );
                }
                self.levels.insert(class, (share, at));
            }
            Change::Alive(at) => self.alive = at,
            Change::Kept(file, name, value) => {
                if file.len() > MAX_NAME_BYTES
                    || name.len() > MAX_NAME_BYTES
                    || value.len() > MAX_KEPT_BYTES
                {
                    return Err(
                        "hook value that is too long, or has an overlong file or name".into(),
                    );
                }
                match value.is_empty() {
                    true => self.kept.remove(&(file, name)),
                    false => self.kept.insert((file, name), value),
                };
            }
        }
        Ok(())
    }

    /// The last known roster.
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

/// Finds the changes between the stored state and the controller's current one.
#[derive(Clone, Debug, Default)]
pub struct ChangeTracker {
    last: BTreeMap<String, ServerFact>,
    levels: BTreeMap<String, f64>,
}

impl ChangeTracker {
    /// Starts from the stored state, which remains what is known of the servers until the first
    /// weights are published.
    pub fn from_facts(facts: &Facts) -> ChangeTracker {
        ChangeTracker {
            last: facts.servers.clone(),
            levels: BTreeMap::new(),
        }
    }

    /// The changes since the last call.
    pub fn changes(
        &mut self,
        now: &Timestamp,
        servers: &[ServerView],
        levels: &[(String, f64)],
    ) -> Vec<Change> {
        let mut out = Vec::new();
        let mut current = BTreeMap::new();
        // No share is known before the first weights are published.
        let published = servers.iter().any(|s| s.weight > 0.0);
        for s in servers {
            let before = self.last.get(&*s.name);
            // A share that no visit has confirmed since the start keeps the age it was stored with:
            // passing a share on does not renew it.
            let judged = match (s.last_try_ago_ms, before) {
                (Some(ago), _) => now.before(ago),
                (None, Some(before)) => before.judged.clone(),
                (None, None) => now.clone(),
            };
            let published_share = (published && s.part.is_some() && s.listed_weight > 0.0)
                .then(|| (s.weight / s.listed_weight, judged));
            let previous = || before.map_or((1.0, now.clone()), |b| (b.share, b.judged.clone()));
            let (share, judged) = published_share.unwrap_or_else(previous);
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
                withdrawn: s.withdrawn,
            };
            if let Some(before) = before.filter(|b| b.state == fact.state) {
                fact.since = before.since.clone();
            }
            let unchanged = before.is_some_and(|b| {
                let moved = (b.share - fact.share).abs() > MIN_SHARE_CHANGE;
                let stale = fact.share < 1.0 - MIN_SHARE_CHANGE
                    && fact.judged != b.judged
                    && now
                        .since(&b.judged)
                        .is_none_or(|elapsed| elapsed >= RENEW_MS);
                let without_share = |f: &ServerFact| ServerFact {
                    share: 0.0,
                    judged: Timestamp::default(),
                    ..f.clone()
                };
                !moved && !stale && without_share(b) == without_share(&fact)
            });
            match (unchanged, before) {
                (true, Some(before)) => fact = before.clone(),
                _ => out.push(Change::Server(fact.clone())),
            }
            current.insert(fact.name.clone(), fact);
        }
        let removed = self.last.keys().filter(|n| !current.contains_key(*n));
        out.extend(removed.cloned().map(Change::Forgotten));
        self.last = current;
        for (class, share) in levels {
            if self.levels.get(class) != Some(share) {
                self.levels.insert(class.clone(), *share);
                out.push(Change::Level(class.clone(), *share, now.clone()));
            }
        }
        out
    }
}
