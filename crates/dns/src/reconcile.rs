//! Reconciles the targets in DNS with the roster, by an ordered list of rules for each target. Free of I/O and clock.
//! **The roster takes precedence: all that DNS can do is to add a host that the roster has never had.**
//!
//! The caller passes each roster to [`Reconciler::set_roster`] and gets the hosts to add from
//! [`Reconciler::reconcile`]. Hosts are identified by address; the name in DNS is used only for hosts that are not in the
//! roster.

use crate::Target;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The range of weights of added hosts; the usual weight in a roster is 1.
const WEIGHT_RANGE: (f64, f64) = (0.1, 10.0);

/// How DNS and the roster disagree on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disagreement {
    /// DNS has a host that is gone in the roster, or was removed from it.
    GoneByRoster,
    /// DNS has a host that is draining in the roster.
    DrainsByRoster,
    /// A ready host of the roster is missing in a fresh answer of DNS.
    OnlyInRoster,
    /// DNS has a host that the roster has never had, and DNS may not add hosts.
    OnlyInDns,
    /// DNS has a name of the roster at another address.
    AnotherAddress,
}

impl Disagreement {
    /// What is logged and shown in the status for it.
    pub fn message(self) -> &'static str {
        match self {
            Disagreement::GoneByRoster => "DNS names it, the roster says it is gone: it stays so",
            Disagreement::DrainsByRoster => "DNS names it, the roster drains it: it drains",
            Disagreement::OnlyInRoster => "the roster has it, DNS does not: it stays",
            Disagreement::OnlyInDns => "DNS names it, the roster does not know it: it is not added",
            Disagreement::AnotherAddress => {
                "DNS has this name at another address than the roster: the roster's holds"
            }
        }
    }
}

/// The state of a host in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterState {
    Ready,
    Draining,
    Gone,
}

/// A host that DNS adds.
#[derive(Clone, Debug, PartialEq)]
pub struct AddedHost {
    pub name: String,
    pub address: SocketAddr,
    pub weight: f64,
}

/// The decision on a target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Decision {
    /// The roster holds, whether DNS agrees or not.
    KeepRoster(Option<Disagreement>),
    Add,
}

/// A target, as the rules see it.
struct Case {
    /// The state of its address in the roster.
    state: Option<RosterState>,
    /// The roster has its name at another address.
    name_elsewhere: bool,
    /// The roster once had its address or its name.
    ever_listed: bool,
    may_add: bool,
}

type Rule = fn(&Case) -> Option<Decision>;

const RULES: [Rule; 5] = [
    keep_roster_state,
    refuse_moved_name,
    refuse_removed_host,
    refuse_unless_dns_may_add,
    add_unknown_host,
];

fn keep_roster_state(c: &Case) -> Option<Decision> {
    Some(Decision::KeepRoster(match c.state? {
        RosterState::Ready => None,
        RosterState::Draining => Some(Disagreement::DrainsByRoster),
        RosterState::Gone => Some(Disagreement::GoneByRoster),
    }))
}

/// Guards against a record that moves a known host: visits would reach whatever has that address now.
fn refuse_moved_name(c: &Case) -> Option<Decision> {
    c.name_elsewhere
        .then_some(Decision::KeepRoster(Some(Disagreement::AnotherAddress)))
}

/// Guards against a removed host that returns through a record that nobody deleted. Only the roster can bring it back.
/// Removed hosts are known from this run of the controller and from what it has stored of earlier ones.
fn refuse_removed_host(c: &Case) -> Option<Decision> {
    c.ever_listed
        .then_some(Decision::KeepRoster(Some(Disagreement::GoneByRoster)))
}

fn refuse_unless_dns_may_add(c: &Case) -> Option<Decision> {
    (!c.may_add).then_some(Decision::KeepRoster(Some(Disagreement::OnlyInDns)))
}

fn add_unknown_host(_: &Case) -> Option<Decision> {
    Some(Decision::Add)
}

/// The roster, and every host that it has ever had.
#[derive(Clone, Debug, Default)]
pub struct Reconciler {
    /// Whether DNS may add hosts.
    pub may_add: bool,
    roster: BTreeMap<SocketAddr, (String, RosterState)>,
    names: BTreeMap<String, SocketAddr>,
    /// Addresses that the roster has ever had.
    known_addresses: BTreeSet<SocketAddr>,
    /// Names that the roster has ever had.
    known_names: BTreeSet<String>,
}

impl Reconciler {
    /// Without a roster yet; `may_add` allows DNS to add hosts.
    pub fn new(may_add: bool) -> Reconciler {
        Reconciler {
            may_add,
            ..Reconciler::default()
        }
    }

    /// Adds names and addresses known from earlier runs of the controller.
    pub fn add_known(
        &mut self,
        names: impl IntoIterator<Item = String>,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        self.known_names.extend(names);
        self.known_addresses.extend(addresses);
    }

    /// All names and addresses that the roster has ever had. Removed hosts stay away for good, so the caller stores these.
    pub fn known_hosts(&self) -> (&BTreeSet<String>, &BTreeSet<SocketAddr>) {
        (&self.known_names, &self.known_addresses)
    }

    /// Replaces the roster: name, address and state of each host.
    pub fn set_roster(&mut self, hosts: &[(String, SocketAddr, RosterState)]) {
        self.roster.clear();
        self.names.clear();
        for (name, address, state) in hosts {
            self.roster.insert(*address, (name.clone(), *state));
            self.names.insert(name.clone(), *address);
            self.known_addresses.insert(*address);
            self.known_names.insert(name.clone());
        }
    }

    /// The hosts that DNS adds, and the disagreements by name of the host. Hosts missing in DNS are reported only if the
    /// targets are `fresh`.
    pub fn reconcile(
        &self,
        targets: &[Target],
        fresh: bool,
    ) -> (Vec<AddedHost>, BTreeMap<String, Disagreement>) {
        let mut added: Vec<(&Target, String)> = Vec::new();
        let mut disagreements = BTreeMap::new();
        // Only the lowest priority number is used (RFC 2782); the others are backups.
        let priority = targets.iter().map(|t| t.priority).min().unwrap_or(0);
        for t in targets.iter().filter(|t| t.priority == priority) {
            let name_elsewhere = self.names.get(&t.name).is_some_and(|at| *at != t.address);
            let case = Case {
                state: self.roster.get(&t.address).map(|(_, l)| *l),
                name_elsewhere,
                ever_listed: self.known_addresses.contains(&t.address)
                    || self.known_names.contains(&t.name),
                may_add: self.may_add,
            };
            match RULES.iter().find_map(|rule| rule(&case)) {
                Some(Decision::Add) => added.push((t, t.name.clone())),
                Some(Decision::KeepRoster(Some(why))) => {
                    let name = self.roster.get(&t.address).map_or(&t.name, |(n, _)| n);
                    disagreements.insert(name.clone(), why);
                }
                Some(Decision::KeepRoster(None)) | None => {}
            }
        }
        if fresh && !targets.is_empty() {
            let ready = self
                .roster
                .iter()
                .filter(|(_, (_, l))| *l == RosterState::Ready);
            for (address, (name, _)) in ready {
                if !targets.iter().any(|t| t.address == *address) {
                    disagreements
                        .entry(name.clone())
                        .or_insert(Disagreement::OnlyInRoster);
                }
            }
        }
        (with_weights(added), disagreements)
    }
}

/// The added hosts with weights in proportion to those of the records, 1 on average. A name with several ports or
/// addresses becomes several hosts.
fn with_weights(added: Vec<(&Target, String)>) -> Vec<AddedHost> {
    let sum: f64 = added.iter().map(|(t, _)| f64::from(t.weight)).sum();
    let mean = sum / (added.len() as f64).max(1.0);
    let mut name_counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut out = Vec::new();
    for (t, name) in added {
        let count = name_counts.entry(name.clone()).or_default();
        *count += 1;
        let name = if *count == 1 {
            name
        } else {
            format!("{name}@{}", t.address)
        };
        let weight = if mean > 0.0 {
            f64::from(t.weight) / mean
        } else {
            1.0
        };
        out.push(AddedHost {
            name,
            address: t.address,
            weight: weight.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1),
        });
    }
    out
}

#[cfg(test)]
mod tests;
