//! What holds when DNS and the roster disagree: an ordered list of short rules for each host that either names. Free of
//! I/O and clock. **The roster has the last word: DNS alone adds a host that the roster never knew, and nothing else.**
//!
//! How it is called: [`Agree::roster`] with each roster, [`Agree::merged`] for the list that holds, given what DNS is
//! taken to say. Hosts are told by address; names of DNS are names of hosts only where the roster has none.

use crate::Target;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Weights of hosts that only DNS names lie within these, around a usual listed weight of 1.
const WEIGHTS: (f64, f64) = (0.1, 10.0);

/// Why a host that somebody names is not taken as that one says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disagreement {
    /// DNS names a host that the roster has said is gone, or has dropped.
    GoneByRoster,
    /// DNS names a host that the roster drains.
    DrainsByRoster,
    /// The roster has a ready host that a fresh DNS does not name.
    OnlyInRoster,
    /// DNS names a host that the roster never knew, and may not add any.
    OnlyInDns,
    /// DNS gives a name of the roster's to another address.
    AnotherAddress,
}

impl Disagreement {
    pub fn told(self) -> &'static str {
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

/// What the roster says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// A host that DNS adds.
#[derive(Clone, Debug, PartialEq)]
pub struct Added {
    pub name: String,
    pub address: SocketAddr,
    pub weight: f64,
}

/// What is made of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Deed {
    /// The roster's word stands, in agreement or not.
    Roster(Option<Disagreement>),
    Add,
}

/// A target and what the roster knows of its address and its name.
struct Case {
    by_address: Option<Listed>,
    /// The roster has this name at another address.
    name_elsewhere: bool,
    known: bool,
    adds: bool,
}

type Rule = fn(&Case) -> Option<Deed>;

const RULES: [Rule; 5] = [
    the_roster_knows_it,
    a_name_is_at_one_address,
    who_was_dropped_stays_away,
    nobody_is_added_unless_that_is_wanted,
    who_was_never_known_is_added,
];

fn the_roster_knows_it(c: &Case) -> Option<Deed> {
    Some(Deed::Roster(match c.by_address? {
        Listed::Ready => None,
        Listed::Draining => Some(Disagreement::DrainsByRoster),
        Listed::Gone => Some(Disagreement::GoneByRoster),
    }))
}

/// Guards against a record that moves a known host: visits would go to whoever has that address now.
fn a_name_is_at_one_address(c: &Case) -> Option<Deed> {
    c.name_elsewhere
        .then_some(Deed::Roster(Some(Disagreement::AnotherAddress)))
}

/// Guards against a host that is gone returning through a record that nobody took out. It is known for as long as
/// this controller runs, and by what memory has of the time before. Only the roster brings it back.
fn who_was_dropped_stays_away(c: &Case) -> Option<Deed> {
    c.known
        .then_some(Deed::Roster(Some(Disagreement::GoneByRoster)))
}

fn nobody_is_added_unless_that_is_wanted(c: &Case) -> Option<Deed> {
    (!c.adds).then_some(Deed::Roster(Some(Disagreement::OnlyInDns)))
}

fn who_was_never_known_is_added(_: &Case) -> Option<Deed> {
    Some(Deed::Add)
}

/// See the module's head.
#[derive(Clone, Debug, Default)]
pub struct Agree {
    pub adds: bool,
    roster: BTreeMap<SocketAddr, (String, Listed)>,
    names: BTreeMap<String, SocketAddr>,
    /// Addresses and names that the roster has ever had.
    known: BTreeSet<SocketAddr>,
    known_names: BTreeSet<String>,
}

impl Agree {
    pub fn new(adds: bool) -> Agree {
        Agree {
            adds,
            ..Agree::default()
        }
    }

    /// Names and addresses that were known before this controller began.
    pub fn remembers(
        &mut self,
        names: impl IntoIterator<Item = String>,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        self.known_names.extend(names);
        self.known.extend(addresses);
    }

    /// All that the roster has ever had: who is dropped is kept away for good, so this outlasts a controller.
    pub fn known(&self) -> (&BTreeSet<String>, &BTreeSet<SocketAddr>) {
        (&self.known_names, &self.known)
    }

    /// A roster: name, address, what it says.
    pub fn roster(&mut self, hosts: &[(String, SocketAddr, Listed)]) {
        self.roster.clear();
        self.names.clear();
        for (name, address, listed) in hosts {
            self.roster.insert(*address, (name.clone(), *listed));
            self.names.insert(name.clone(), *address);
            self.known.insert(*address);
            self.known_names.insert(name.clone());
        }
    }

    /// Hosts that DNS adds, and what both disagree in, by name. `fresh`: who is missing is missing now.
    pub fn merged(
        &self,
        targets: &[Target],
        fresh: bool,
    ) -> (Vec<Added>, BTreeMap<String, Disagreement>) {
        let mut added: Vec<(&Target, String)> = Vec::new();
        let mut disagree = BTreeMap::new();
        // The lowest priority that anybody has (RFC 2782); others are spares.
        let first = targets.iter().map(|t| t.priority).min().unwrap_or(0);
        for t in targets.iter().filter(|t| t.priority == first) {
            let elsewhere = self.names.get(&t.name).is_some_and(|at| *at != t.address);
            let case = Case {
                by_address: self.roster.get(&t.address).map(|(_, l)| *l),
                name_elsewhere: elsewhere,
                known: self.known.contains(&t.address) || self.known_names.contains(&t.name),
                adds: self.adds,
            };
            match RULES.iter().find_map(|rule| rule(&case)) {
                Some(Deed::Add) => added.push((t, t.name.clone())),
                Some(Deed::Roster(Some(why))) => {
                    let name = self.roster.get(&t.address).map_or(&t.name, |(n, _)| n);
                    disagree.insert(name.clone(), why);
                }
                Some(Deed::Roster(None)) | None => {}
            }
        }
        if fresh && !targets.is_empty() {
            let ready = self.roster.iter().filter(|(_, (_, l))| *l == Listed::Ready);
            for (address, (name, _)) in ready {
                if !targets.iter().any(|t| t.address == *address) {
                    disagree
                        .entry(name.clone())
                        .or_insert(Disagreement::OnlyInRoster);
                }
            }
        }
        (weighed(added), disagree)
    }
}

/// Weights of what is added: by the records', around 1. A name with several ports or addresses is several hosts.
fn weighed(added: Vec<(&Target, String)>) -> Vec<Added> {
    let sum: f64 = added.iter().map(|(t, _)| f64::from(t.weight)).sum();
    let mean = sum / (added.len() as f64).max(1.0);
    let mut seen: BTreeMap<String, u32> = BTreeMap::new();
    let mut out = Vec::new();
    for (t, name) in added {
        let many = seen.entry(name.clone()).or_default();
        *many += 1;
        let name = if *many == 1 {
            name
        } else {
            format!("{name}@{}", t.address)
        };
        let weight = if mean > 0.0 {
            f64::from(t.weight) / mean
        } else {
            1.0
        };
        out.push(Added {
            name,
            address: t.address,
            weight: weight.clamp(WEIGHTS.0, WEIGHTS.1),
        });
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use Disagreement::{AnotherAddress, DrainsByRoster, GoneByRoster, OnlyInDns, OnlyInRoster};
    use proptest::prelude::*;

    fn at(i: u8) -> SocketAddr {
        ([10, 0, 0, i], 80).into()
    }

    fn target(i: u8) -> Target {
        Target {
            name: format!("h{i}"),
            address: at(i),
            priority: 10,
            weight: 5,
        }
    }

    fn host(i: u8, listed: Listed) -> (String, SocketAddr, Listed) {
        (format!("h{i}"), at(i), listed)
    }

    #[test]
    fn the_roster_has_the_last_word() {
        use Listed::{Draining, Gone, Ready};
        type Case = (
            &'static str,
            Vec<(String, SocketAddr, Listed)>,
            Vec<Target>,
            Vec<&'static str>,
            Vec<(&'static str, Disagreement)>,
        );
        let moved = Target {
            address: at(9),
            ..target(1)
        };
        let spare = Target {
            priority: 20,
            ..target(3)
        };
        let cases: [Case; 8] = [
            (
                "they agree",
                vec![host(1, Ready)],
                vec![target(1)],
                vec![],
                vec![],
            ),
            (
                "gone by the roster",
                vec![host(1, Gone)],
                vec![target(1)],
                vec![],
                vec![("h1", GoneByRoster)],
            ),
            (
                "drains by the roster",
                vec![host(1, Draining)],
                vec![target(1)],
                vec![],
                vec![("h1", DrainsByRoster)],
            ),
            (
                "never known",
                vec![host(1, Ready)],
                vec![target(1), target(2)],
                vec!["h2"],
                vec![],
            ),
            (
                "missing in DNS",
                vec![host(1, Ready), host(2, Ready)],
                vec![target(1)],
                vec![],
                vec![("h2", OnlyInRoster)],
            ),
            (
                "moved by DNS",
                vec![host(1, Ready)],
                vec![moved],
                vec![],
                vec![("h1", AnotherAddress)],
            ),
            (
                "a spare is none",
                vec![],
                vec![target(1), spare],
                vec!["h1"],
                vec![],
            ),
            (
                "DNS says nothing",
                vec![host(1, Ready)],
                vec![],
                vec![],
                vec![],
            ),
        ];
        for (name, roster, targets, adds, disagree) in cases {
            let mut a = Agree::new(true);
            a.roster(&roster);
            let (added, found) = a.merged(&targets, true);
            assert_eq!(
                added.iter().map(|a| a.name.as_str()).collect::<Vec<_>>(),
                adds,
                "{name}"
            );
            let found: Vec<(&str, Disagreement)> =
                found.iter().map(|(n, d)| (n.as_str(), *d)).collect();
            let missing = found
                .iter()
                .filter(|(_, d)| name != "moved by DNS" || *d != OnlyInRoster);
            assert_eq!(missing.copied().collect::<Vec<_>>(), disagree, "{name}");
        }
        let (added, found) = Agree::new(false).merged(&[target(1)], true);
        assert!(added.is_empty() && found["h1"] == OnlyInDns);
    }

    proptest! {
        /// Whatever rosters came in whatever order: nobody whom one ever named is added by DNS, by name or address.
        #[test]
        fn who_was_ever_listed_returns_by_the_roster_alone(
            rosters in proptest::collection::vec(proptest::collection::vec((0_u8..12, 0_u8..3), 0..8), 1..6),
            remembered in proptest::collection::vec(0_u8..12, 0..3),
            named in proptest::collection::vec((0_u8..12, 0_u8..12), 0..14),
        ) {
            let mut a = Agree::new(true);
            a.remembers(remembered.iter().map(|i| format!("h{i}")), remembered.iter().map(|i| at(*i)));
            let mut ever: BTreeSet<u8> = remembered.iter().copied().collect();
            for roster in &rosters {
                let hosts: Vec<_> = roster.iter().map(|(i, l)| host(*i, [Listed::Ready, Listed::Draining, Listed::Gone][usize::from(*l)])).collect();
                ever.extend(roster.iter().map(|(i, _)| i));
                a.roster(&hosts);
            }
            let targets: Vec<Target> = named.iter().map(|(n, i)| Target { name: format!("h{n}"), ..target(*i) }).collect();
            for added in a.merged(&targets, true).0 {
                let by_name = ever.iter().any(|i| added.name == format!("h{i}"));
                let by_address = ever.iter().any(|i| added.address == at(*i));
                prop_assert!(!by_name && !by_address, "{added:?}");
            }
        }
    }
}
