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

fn host(i: u8, state: RosterState) -> (String, SocketAddr, RosterState) {
    (format!("h{i}"), at(i), state)
}

#[test]
fn the_roster_takes_precedence() {
    use RosterState::{Draining, Gone, Ready};
    type Case = (
        &'static str,
        Vec<(String, SocketAddr, RosterState)>,
        Vec<Target>,
        Vec<&'static str>,
        Vec<(&'static str, Disagreement)>,
    );
    let moved = Target {
        address: at(9),
        ..target(1)
    };
    let backup = Target {
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
            "gone in the roster",
            vec![host(1, Gone)],
            vec![target(1)],
            vec![],
            vec![("h1", GoneByRoster)],
        ),
        (
            "draining in the roster",
            vec![host(1, Draining)],
            vec![target(1)],
            vec![],
            vec![("h1", DrainsByRoster)],
        ),
        (
            "never in the roster",
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
            "moved in DNS",
            vec![host(1, Ready)],
            vec![moved],
            vec![],
            vec![("h1", AnotherAddress)],
        ),
        (
            "a backup is not added",
            vec![],
            vec![target(1), backup],
            vec!["h1"],
            vec![],
        ),
        (
            "no targets in DNS",
            vec![host(1, Ready)],
            vec![],
            vec![],
            vec![],
        ),
    ];
    for (name, roster, targets, adds, disagree) in cases {
        let mut r = Reconciler::new(true);
        r.set_roster(&roster);
        let (added, found) = r.reconcile(&targets, true);
        assert_eq!(
            added.iter().map(|a| a.name.as_str()).collect::<Vec<_>>(),
            adds,
            "{name}"
        );
        let found: Vec<(&str, Disagreement)> =
            found.iter().map(|(n, d)| (n.as_str(), *d)).collect();
        let missing = found
            .iter()
            .filter(|(_, d)| name != "moved in DNS" || *d != OnlyInRoster);
        assert_eq!(missing.copied().collect::<Vec<_>>(), disagree, "{name}");
    }
    let (added, found) = Reconciler::new(false).reconcile(&[target(1)], true);
    assert!(added.is_empty() && found["h1"] == OnlyInDns);
}

proptest! {
    /// DNS never adds a host that any earlier roster had, by name or by address.
    #[test]
    fn hosts_once_listed_return_only_by_the_roster(
        rosters in proptest::collection::vec(proptest::collection::vec((0_u8..12, 0_u8..3), 0..8), 1..6),
        remembered in proptest::collection::vec(0_u8..12, 0..3),
        named in proptest::collection::vec((0_u8..12, 0_u8..12), 0..14),
    ) {
        let mut r = Reconciler::new(true);
        r.add_known(remembered.iter().map(|i| format!("h{i}")), remembered.iter().map(|i| at(*i)));
        let mut ever: BTreeSet<u8> = remembered.iter().copied().collect();
        for roster in &rosters {
            let hosts: Vec<_> = roster.iter().map(|(i, l)| host(*i, [RosterState::Ready, RosterState::Draining, RosterState::Gone][usize::from(*l)])).collect();
            ever.extend(roster.iter().map(|(i, _)| i));
            r.set_roster(&hosts);
        }
        let targets: Vec<Target> = named.iter().map(|(n, i)| Target { name: format!("h{n}"), ..target(*i) }).collect();
        for added in r.reconcile(&targets, true).0 {
            let by_name = ever.iter().any(|i| added.name == format!("h{i}"));
            let by_address = ever.iter().any(|i| added.address == at(*i));
            prop_assert!(!by_name && !by_address, "{added:?}");
        }
    }
}
