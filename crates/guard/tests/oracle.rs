//! The guard against a slow and exact oracle that was written separately: it keeps no sums and goes
//! through every mixture of the tables that proxies may hold.

use dahliapoint_guard::{AdminState, Guard, Line, Reason, Server};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const SERVERS: usize = 9;
const PARTS: usize = 2;

/// An event in a fleet of a few servers and two parts.
#[derive(Clone, Debug)]
enum Event {
    Server(usize, Server),
    Load(usize, f64),
    Send(usize, Vec<Line>, bool),
    Apply(usize),
}

type Table = BTreeMap<usize, f64>;

#[derive(Default)]
struct Oracle {
    servers: BTreeMap<usize, Server>,
    loads: [f64; PARTS],
    held: [Vec<Table>; PARTS],
}

fn share(t: &Table, s: usize) -> f64 {
    let sum: f64 = t.values().sum();
    if sum > 0.0 {
        t.get(&s).copied().unwrap_or(0.0) / sum
    } else {
        0.0
    }
}

impl Oracle {
    fn server(&self, s: usize) -> Server {
        self.servers.get(&s).copied().unwrap_or_default()
    }

    fn next(&self, part: usize, lines: &[Line], whole: bool) -> Table {
        let mut next = match whole {
            true => Table::new(),
            false => self.held[part].last().cloned().unwrap_or_default(),
        };
        for l in lines {
            next.remove(&l.server);
            if l.open && l.weight > 0.0 {
                next.insert(l.server, l.weight);
            }
        }
        next
    }

    /// The highest load of a server over every choice of a table for each part.
    fn max_load(&self, server: usize, tables: &[Vec<Table>]) -> f64 {
        let choices = |p: usize| tables[p].len().max(1);
        let mut max_load: f64 = 0.0;
        for combination in 0..choices(0) * choices(1) {
            let at = [combination % choices(0), combination / choices(0)];
            let load = (0..PARTS).map(|p| {
                let table = tables[p].get(at[p]);
                self.loads[p] * table.map_or(0.0, |t| share(t, server))
            });
            max_load = max_load.max(load.sum());
        }
        max_load
    }

    fn check(&self, part: usize, lines: &[Line], whole: bool) -> BTreeSet<Reason> {
        let next = self.next(part, lines, whole);
        let before = self.held[part].last().cloned().unwrap_or_default();
        let is_ready = |s: &usize| self.server(*s).admin_state == AdminState::Ready;
        let is_warm = |s: &usize| self.server(*s).overload_per_s == f64::INFINITY;
        let members = (0..SERVERS).filter(|s| s % PARTS == part && self.servers.contains_key(s));
        let ready: Vec<usize> = members.filter(is_ready).collect();
        let mut out = BTreeSet::new();
        if next.is_empty() && !ready.is_empty() {
            out.insert(Reason::Empty);
        }
        if lines
            .iter()
            .any(|l| l.open && l.weight > 0.0 && !is_ready(&l.server))
        {
            out.insert(Reason::NotReady);
        }
        if !next.is_empty() && !next.keys().any(is_warm) && ready.iter().any(is_warm) {
            out.insert(Reason::OnlyCold);
        }
        let mut tables = self.held.to_vec();
        tables[part].push(next.clone());
        for s in next.keys().filter(|s| !is_warm(s) && is_ready(s)) {
            let grows = self.loads[part] * share(&next, *s)
                > self.loads[part] * share(&before, *s) * (1.0 + 1e-9);
            if grows && self.max_load(*s, &tables) > 0.8 * self.server(*s).overload_per_s {
                out.insert(Reason::Cold);
            }
        }
        let listed: f64 = ready.iter().map(|s| self.server(*s).listed_weight).sum();
        for s in next.keys() {
            let limit = (6.0 * self.server(*s).listed_weight / listed.max(1e-9)).max(0.4);
            if share(&next, *s) > limit + 1e-9 && share(&next, *s) > share(&before, *s) + 1e-9 {
                out.insert(Reason::Overweight);
            }
        }
        let of_ready = |t: &Table| -> Table {
            t.iter()
                .filter(|(s, _)| is_ready(s))
                .map(|(s, w)| (*s, *w))
                .collect()
        };
        let (before_ready, next_ready) = (of_ready(&before), of_ready(&next));
        if !before_ready.is_empty() && !next.is_empty() {
            let moved: f64 = before_ready
                .keys()
                .map(|s| (share(&before_ready, *s) - share(&next_ready, *s)).max(0.0))
                .sum();
            if moved > 0.6 + 1e-9 {
                out.insert(Reason::LargeStep);
            }
        }
        out
    }
}

fn lines() -> impl Strategy<Value = Vec<Line>> {
    let weight = prop_oneof![Just(0.0), Just(0.1), Just(1.0), Just(3.0), Just(10_000.0)];
    let line = (0..SERVERS, weight, proptest::bool::weighted(0.85));
    let line = line.prop_map(|(server, weight, open)| Line {
        server,
        weight,
        open,
    });
    proptest::collection::btree_map(0..SERVERS, line, 0..6).prop_map(|all| {
        let one = |(server, l): (usize, Line)| Line { server, ..l };
        all.into_iter().map(one).collect()
    })
}

fn event() -> impl Strategy<Value = Event> {
    let admin_state = prop_oneof![
        4 => Just(AdminState::Ready),
        1 => Just(AdminState::Draining),
        1 => Just(AdminState::Gone)
    ];
    let overload_limits = prop_oneof![2 => Just(f64::INFINITY), 1 => Just(20.0), 1 => Just(500.0)];
    let server = (0..SERVERS, admin_state, 1_u8..4, overload_limits);
    prop_oneof![
        4 => server.prop_map(|(s, admin_state, listed, overload_per_s)| {
            Event::Server(s, Server { admin_state, listed_weight: f64::from(listed), overload_per_s })
        }),
        1 => (0..PARTS, 0.0..200.0).prop_map(|(p, load)| Event::Load(p, load)),
        3 => (0..PARTS, lines(), any::<bool>()).prop_map(|(p, l, w)| Event::Send(p, l, w)),
        1 => (0..PARTS).prop_map(Event::Apply),
    ]
}

/// Plays events; guard and oracle check each table before it is sent.
fn play(events: &[Event], mut compare: impl FnMut(BTreeSet<Reason>, BTreeSet<Reason>)) {
    let (mut guard, mut oracle, mut serial) = (Guard::default(), Oracle::default(), 0);
    for e in events {
        match e {
            Event::Server(s, now) => {
                guard.set_server(*s, Some(s % PARTS), *now);
                oracle.servers.insert(*s, *now);
            }
            Event::Load(p, load) => {
                guard.set_load(*p, *load);
                oracle.loads[*p] = *load;
            }
            Event::Send(p, lines, whole) => {
                let found = guard.check(*p, lines, *whole);
                let found = found.into_iter().map(|d| d.reason).collect();
                compare(found, oracle.check(*p, lines, *whole));
                let next = oracle.next(*p, lines, *whole);
                serial += 1;
                guard.record_sent(*p, lines, *whole, serial);
                oracle.held[*p].push(next);
            }
            Event::Apply(p) => {
                guard.record_applied(*p, serial);
                let newest = oracle.held[*p].pop();
                oracle.held[*p] = newest.into_iter().collect();
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]
    #[test]
    fn every_violation_is_found_and_nothing_safe_is_refused(events in proptest::collection::vec(event(), 1..30)) {
        let mut differ = None;
        play(&events, |found, expected| {
            if found != expected {
                differ = Some((found, expected));
            }
        });
        prop_assert!(differ.is_none(), "guard and oracle: {:?}", differ);
    }
}

/// Each rule catches something on random days that no other rule does; the confusion matrix is
/// printed.
#[test]
fn every_rule_is_needed() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let days = proptest::collection::vec(event(), 1..30);
    let (mut by_one_rule, mut table) = (BTreeMap::<Reason, u64>::new(), [[0_u64; 2]; 2]);
    for _ in 0..4_000 {
        let day = days.new_tree(&mut runner).unwrap().current();
        play(&day, |found, expected| {
            table[usize::from(!expected.is_empty())][usize::from(!found.is_empty())] += 1;
            if let (1, Some(reason)) = (found.len(), found.first()) {
                *by_one_rule.entry(*reason).or_default() += 1;
            }
        });
    }
    println!(
        "safe and passed {}, safe and refused {}, dangerous and passed {}, dangerous and refused {}",
        table[0][0], table[0][1], table[1][0], table[1][1]
    );
    println!("caught by one rule only: {by_one_rule:?}");
    assert_eq!((table[0][1], table[1][0]), (0, 0));
    assert!(table[0][0] > 1_000 && table[1][1] > 1_000, "{table:?}");
    use Reason::{Cold, Empty, LargeStep, NotReady, OnlyCold, Overweight};
    for reason in [Empty, NotReady, Cold, OnlyCold, Overweight, LargeStep] {
        assert!(
            by_one_rule.contains_key(&reason),
            "{reason:?} catches nothing by itself: {by_one_rule:?}"
        );
    }
}
