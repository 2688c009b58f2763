//! The guard inside the controller, in a closed loop: proxies apply messages at different times,
//! their visits load the servers, reports tell of it, servers restart, drain and go, and the
//! planner's orders are altered at random. Checked is what crosses the sockets: which table each
//! proxy holds, and which server is overloaded.

use dahliapoint as planner;
use dahliapoint_control::rollout::GuardMode;
use dahliapoint_control::{
    AdminState, ClassSettings, Controller, ControllerSettings, Input, LineState, LoadReport,
    Output, ReportLine, RetryPolicy, RosterEntry, Scope,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SERVERS: usize = 8;
const PROXIES: usize = 5;
const CAPACITY: f64 = 100.0;
const WARM_MS: f64 = 16_000.0;
const GRACE_MS: f64 = 3_000.0;
const STEP_MS: f64 = 50.0;
const ROUND_MS: f64 = 500.0;

fn settings(guard: GuardMode) -> ControllerSettings {
    ControllerSettings {
        service: "portal".into(),
        zones: vec!["east".into()],
        classes: vec![ClassSettings {
            name: "view".into(),
            soft_limit_ms: 1000.0,
            earnings: 1.0,
            idempotent: false,
        }],
        admission_control: false,
        max_queued_lines: 5_000.0,
        lines_per_s: 10_000.0,
        message_latency_ms: 20.0,
        message_overhead_lines: 3.0,
        max_messages: 0.0,
        message_window_ms: 10_000.0,
        writes_per_message: 2.0,
        writes_per_join: 4.0,
        idle_timeout_ms: 15_000.0,
        initial_servers: 4.0,
        default_visits_per_s: 20.0,
        report_interval_ms: ROUND_MS,
        report_lines_per_s: 10_000.0,
        cold_capacity_share: 0.15,
        warm_up_ms: WARM_MS,
        overload_multiple: 3.0,
        drain_grace_ms: GRACE_MS,
        keep_unlisted_servers: false,
        default_retry_policy: RetryPolicy::OnProof,
        may_probe: true,
        heartbeat_interval_ms: 0.0,
        guard_mode: guard,
    }
}

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: usize) -> usize {
        (self.next() % n as u64) as usize
    }

    fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

/// A fault in the orders of the planner that lasts for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    EqualWeights,
    Flood(usize),
    Empty,
    Random,
    KeepsDraining,
    UnsafeRetries,
}

/// The simulated state of a server.
#[derive(Clone, Debug, PartialEq)]
struct ServerTruth {
    state: AdminState,
    started: f64,
    stamp: u64,
    /// Time of the last change of its state.
    since: f64,
}

type Table = BTreeMap<usize, f64>;
type Changes = Vec<(usize, f64)>;

/// A simulated proxy.
struct Proxy {
    bound: bool,
    table: Table,
    /// Messages in transit: when each is applied, its serial, whether it is a snapshot, its
    /// changes.
    in_transit: VecDeque<(f64, u64, bool, Changes)>,
    rate_share: f64,
    empty_since: Option<f64>,
}

/// Violations by rule.
#[derive(Clone, Debug, Default, PartialEq)]
struct Violations {
    empty: usize,
    drains: usize,
    overloads: usize,
    unsafe_retries: usize,
}

/// A controller with simulated servers and proxies.
struct Day {
    controller: Controller,
    rng: Rng,
    now: f64,
    servers: Vec<ServerTruth>,
    proxies: Vec<Proxy>,
    fault: std::sync::Arc<std::sync::Mutex<Fault>>,
    load: f64,
    violations: Violations,
    /// Tries by proxy and server in this round, and how many of them an overloaded server delayed.
    round_tries: BTreeMap<(usize, usize), (f64, f64)>,
    probes: Vec<usize>,
    checked_lines: u64,
}

fn server_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl Day {
    fn new(guard: GuardMode, seed: u64) -> Day {
        let now = 1e6;
        let server = ServerTruth {
            state: AdminState::Ready,
            started: now - 1e5,
            stamp: 0,
            since: now,
        };
        let fault = std::sync::Arc::new(std::sync::Mutex::new(Fault::Nothing));
        let mut controller = Controller::new(now, seed, settings(guard));
        let shared_fault = fault.clone();
        let (mut known_lines, mut fault_rng, mut calls) = (BTreeSet::new(), Rng(seed), 0);
        // What the planner ordered itself: once the fault is over, all of that is ordered again.
        let (mut own_lines, mut own_withdrawals, mut was_faulty) =
            (BTreeMap::new(), BTreeMap::new(), false);
        controller.inject_faults(Box::new(move |_, orders| {
            own_lines.extend(orders.lines.iter().map(|l| ((l.0, l.1), l.2)));
            own_withdrawals.extend(orders.withdrawals.iter().copied());
            let fault = *shared_fault.lock().unwrap();
            if was_faulty && fault == Fault::Nothing {
                orders.lines = own_lines.iter().map(|((p, s), w)| (*p, *s, *w)).collect();
                orders.withdrawals = own_withdrawals
                    .iter()
                    .map(|(s, withdrawn)| (*s, *withdrawn))
                    .collect();
            }
            was_faulty = fault != Fault::Nothing;
            known_lines.extend(orders.lines.iter().map(|l| (l.0, l.1)));
            calls += 1;
            let all = |weight: &mut dyn FnMut(usize) -> f64| {
                known_lines
                    .iter()
                    .map(|(p, s)| (*p, *s, weight(*s)))
                    .collect()
            };
            match fault {
                Fault::Nothing => {}
                Fault::EqualWeights => orders.lines = all(&mut |_| 1.0),
                Fault::Flood(s) => orders.lines = all(&mut |x| if x == s { 10_000.0 } else { 0.0 }),
                Fault::Empty => orders.lines = all(&mut |_| 0.0),
                Fault::Random => {
                    // Only every seventh time, so that other states occur in between.
                    if calls % 7 == 0 {
                        orders.lines =
                            all(&mut |_| [0.0, 0.01, 1.0, 3.0, 10_000.0][fault_rng.below(5)]);
                    }
                }
                Fault::KeepsDraining => {
                    orders.withdrawals.retain(|(_, withdrawn)| !withdrawn);
                    orders.lines.retain(|l| l.2 > 0.0);
                }
                Fault::UnsafeRetries => {
                    orders.levels = known_lines
                        .iter()
                        .map(|(p, _)| (*p, 0, 1.0, planner::RetryPolicy::OnFailure))
                        .collect();
                }
            }
        }));
        let proxy = |i: usize| Proxy {
            bound: false,
            table: Table::new(),
            in_transit: VecDeque::new(),
            rate_share: 1.0 + i as f64 / 2.0,
            empty_since: None,
        };
        Day {
            controller,
            rng: Rng(seed ^ 0x5eed),
            now,
            servers: vec![server; SERVERS],
            proxies: (0..PROXIES).map(proxy).collect(),
            fault,
            load: 300.0,
            violations: Violations::default(),
            round_tries: BTreeMap::new(),
            probes: Vec::new(),
            checked_lines: 0,
        }
    }

    fn roster(&self) -> Vec<RosterEntry> {
        let entry = |(i, t): (usize, &ServerTruth)| RosterEntry {
            name: format!("s{i}"),
            address: format!("127.0.0.1:{}", i + 1),
            zone: "east".into(),
            state: t.state,
            weight: 1.0,
            started: Some((self.now - t.started, t.stamp)),
        };
        self.servers.iter().enumerate().map(entry).collect()
    }

    fn set(&mut self, s: usize, state: AdminState, restarts: bool) {
        let t = &mut self.servers[s];
        if t.state != state {
            t.since = self.now;
        }
        t.state = state;
        if restarts {
            (t.started, t.stamp) = (self.now, t.stamp + 1);
        }
    }

    fn send(&mut self, inputs: Vec<Input>) {
        for output in self.controller.handle(self.now, inputs) {
            match output {
                Output::Write(sessions, m) => {
                    let lines: Vec<(usize, f64)> = m
                        .lines
                        .iter()
                        .map(|l| {
                            (
                                server_index(&l.server),
                                if l.state == LineState::Open {
                                    l.weight
                                } else {
                                    0.0
                                },
                            )
                        })
                        .collect();
                    let unsafe_retries = m
                        .policies
                        .iter()
                        .any(|w| w.1.retry == RetryPolicy::OnFailure);
                    self.violations.unsafe_retries += usize::from(unsafe_retries);
                    for session in sessions {
                        // Each proxy applies it at its own time, in order.
                        let after = 20.0 + self.rng.below(1_500) as f64;
                        let p = &mut self.proxies[session as usize];
                        let at = p
                            .in_transit
                            .back()
                            .map_or(0.0, |w| w.0)
                            .max(self.now + after);
                        let is_snapshot = matches!(m.scope, Scope::Snapshot(_));
                        let lines = if m.scope == Scope::Unbound {
                            Vec::new()
                        } else {
                            lines.clone()
                        };
                        p.in_transit.push_back((at, m.serial, is_snapshot, lines));
                    }
                }
                Output::Probe { server, .. } => self.probes.push(server_index(&server)),
                Output::Close(session, why) => panic!("{session} is closed: {why}"),
                Output::Log(_) => {}
            }
        }
    }

    /// The share of its capacity that a server has now.
    fn capacity_share(&self, s: usize) -> f64 {
        let age = (self.now - self.servers[s].started) / WARM_MS;
        0.15 + 0.85 * age.min(1.0)
    }

    /// One step: proxies apply what is due, visits run, the rules are checked, reports are sent.
    fn step(&mut self) {
        self.now += STEP_MS;
        let mut inputs = Vec::new();
        for (i, p) in self.proxies.iter_mut().enumerate() {
            while p.in_transit.front().is_some_and(|w| w.0 <= self.now) {
                let (_, serial, is_snapshot, lines) = p.in_transit.pop_front().unwrap();
                if is_snapshot {
                    (p.bound, p.table) = (true, Table::new());
                }
                for (s, weight) in lines {
                    match weight > 0.0 {
                        true => p.table.insert(s, weight),
                        false => p.table.remove(&s),
                    };
                }
                inputs.push(Input::Applied(i as u64, serial));
            }
        }
        for s in std::mem::take(&mut self.probes) {
            inputs.push(Input::Probed {
                server: format!("s{s}"),
                healthy: self.servers[s].state != AdminState::Gone,
                took_ms: 1.0,
            });
        }
        self.check_rules();
        if self.now % ROUND_MS < STEP_MS {
            for i in 0..PROXIES {
                let mine = self.round_tries.iter().filter(|((p, _), _)| *p == i);
                let lines = mine.map(|((_, s), (tries, late))| ReportLine {
                    server: format!("s{s}"),
                    tries: *tries,
                    success_ms: (tries - late) * 30.0 + late * 3_000.0,
                    ..ReportLine::default()
                });
                let report = LoadReport {
                    window_ms: ROUND_MS,
                    ended_ago_ms: 0.0,
                    lines: lines.collect(),
                    arrivals: Vec::new(),
                };
                inputs.push(Input::Reported(format!("p{i}"), report));
            }
            inputs.push(Input::RoundEnded);
            self.round_tries.clear();
        }
        self.send(inputs);
    }

    /// Lets visits run for one step and counts violations.
    fn check_rules(&mut self) {
        let rate_total: f64 = self.proxies.iter().map(|p| p.rate_share).sum();
        let (mut loads, mut tries_by_line) = ([0.0; SERVERS], Vec::new());
        // A warm server has been ready for longer than any message is in transit.
        let warm = (0..SERVERS).any(|s| {
            let t = &self.servers[s];
            t.state == AdminState::Ready
                && self.capacity_share(s) >= 1.0
                && self.now - t.since > 5_000.0
        });
        for (i, p) in self.proxies.iter_mut().enumerate().filter(|(_, p)| p.bound) {
            let sum: f64 = p.table.values().sum();
            let begin = *p.empty_since.get_or_insert(self.now);
            if sum > 0.0 {
                p.empty_since = None;
            } else if warm && self.now - begin > 2_000.0 {
                self.violations.empty += 1;
            }
            for (s, w) in &p.table {
                let load = self.load * p.rate_share / rate_total * w / sum;
                loads[*s] += load;
                tries_by_line.push(((i, *s), load * STEP_MS / 1e3));
                self.checked_lines += 1;
                let t = &self.servers[*s];
                // A withdrawal is applied within the grace period plus 1.5 s: what is sent at once
                // is applied after at most 1.5 s, together with what queues behind it.
                let late = self.now - t.since > GRACE_MS + 1_500.0;
                self.violations.drains += usize::from(t.state != AdminState::Ready && late);
            }
        }
        for ((i, s), tries) in tries_by_line {
            let over = loads[s] > self.capacity_share(s) * CAPACITY;
            let sums = self.round_tries.entry((i, s)).or_default();
            sums.0 += tries;
            sums.1 += if over { tries } else { 0.0 };
        }
        for (s, load) in loads.iter().enumerate() {
            let capacity_share = self.capacity_share(s);
            let checked =
                capacity_share < 1.0 && self.servers[s].state == AdminState::Ready && warm;
            self.violations.overloads +=
                usize::from(checked && *load > 3.0 * capacity_share * CAPACITY);
        }
    }

    fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn send_roster(&mut self) {
        let roster = self.roster();
        self.send(vec![Input::Roster(roster)]);
    }

    /// A day: three times the fleet changes, the orders are faulty for a while, and then all is
    /// calm.
    fn random_day(guard: GuardMode, seed: u64) -> Day {
        let mut day = Day::new(guard, seed);
        day.send_roster();
        for i in 0..PROXIES {
            let joined = Input::Joined {
                session: i as u64,
                proxy: format!("p{i}"),
                zone: "east".into(),
                visits_per_s: Some(60.0),
            };
            day.send(vec![joined]);
        }
        day.run(8_000.0);
        for _ in 0..3 {
            let count = [1, 2, 4, 6, 7][day.rng.below(5)];
            let affected: BTreeSet<usize> = (0..count).map(|_| day.rng.below(SERVERS)).collect();
            match day.rng.below(4) {
                // A group of servers, or nearly all, restarts.
                0 | 1 => {
                    affected
                        .iter()
                        .for_each(|s| day.set(*s, AdminState::Gone, false));
                    day.send_roster();
                    day.run(3_000.0);
                    affected
                        .iter()
                        .for_each(|s| day.set(*s, AdminState::Ready, true));
                }
                2 => affected
                    .iter()
                    .for_each(|s| day.set(*s, AdminState::Draining, false)),
                _ => affected
                    .iter()
                    .for_each(|s| day.set(*s, AdminState::Gone, false)),
            }
            let fault = match day.rng.below(7) {
                0 => Fault::EqualWeights,
                1 => Fault::Flood(day.rng.below(SERVERS)),
                2 => Fault::Empty,
                3 => Fault::Random,
                4 => Fault::KeepsDraining,
                5 => Fault::UnsafeRetries,
                _ => Fault::Nothing,
            };
            *day.fault.lock().unwrap() = fault;
            day.send_roster();
            // The load changes slowly, as between night and morning.
            let to = [30.0, 150.0, 400.0][day.rng.below(3)];
            for _ in 0..12 {
                day.run(1_000.0);
                day.load += (to - day.load) * 0.15;
                if day.rng.one_in(6) {
                    day.send_roster();
                }
            }
            *day.fault.lock().unwrap() = Fault::Nothing;
            day.run(4_000.0);
            (0..SERVERS).for_each(|s| {
                let restarted = day.servers[s].state == AdminState::Gone;
                day.set(s, AdminState::Ready, restarted);
            });
            day.send_roster();
            day.run(6_000.0);
        }
        day
    }
}

const DAYS: u64 = 40;

/// Whatever the faulty orders are and whatever the fleet does meanwhile, no table is empty, no drain
/// is broken, no cold server is overloaded and no unsafe retry is ordered; and each of these happens
/// on some of the same days without the guard.
#[test]
fn random_days_with_faulty_orders_keep_the_rules() {
    let (mut without_guard, mut checked_lines) = (Violations::default(), 0);
    for seed in 0..DAYS {
        let day = Day::random_day(GuardMode::Enforce, seed);
        assert_eq!(day.violations, Violations::default(), "day {seed}");
        checked_lines += day.checked_lines;
        let b = Day::random_day(GuardMode::Off, seed).violations;
        without_guard.empty += usize::from(b.empty > 0);
        without_guard.drains += usize::from(b.drains > 0);
        without_guard.overloads += usize::from(b.overloads > 0);
        without_guard.unsafe_retries += usize::from(b.unsafe_retries > 0);
    }
    println!(
        "{DAYS} days, {checked_lines} lines checked; without the guard, days that broke: {without_guard:?}"
    );
    assert!(
        without_guard.empty > 2
            && without_guard.drains > 2
            && without_guard.overloads > 2
            && without_guard.unsafe_retries > 2,
        "{without_guard:?}"
    );
}

/// Once the orders are right again, the planner's own table is reached: nothing stays held back, on
/// any day.
#[test]
fn held_tables_are_released() {
    for seed in 0..DAYS {
        let mut day = Day::random_day(GuardMode::Enforce, seed);
        day.run(40_000.0);
        // A message of the planner may be in transit.
        for _ in 0..200 {
            if day.proxies.iter().any(|p| !p.in_transit.is_empty()) {
                day.step();
            }
        }
        let view = day.controller.overview();
        assert!(view.guard.waits.is_empty(), "day {seed}: {:?}", view.guard);
        for p in &day.proxies {
            assert!(p.in_transit.is_empty(), "day {seed}");
            let expected: Table = view
                .servers
                .iter()
                .filter(|s| !s.withdrawn && s.weight > 0.0)
                .map(|s| (server_index(&s.name), s.weight))
                .collect();
            assert_eq!(p.table, expected, "day {seed}");
            assert_eq!(p.table.len(), SERVERS, "day {seed}: all are ready and warm");
        }
    }
}

/// The guard's own steps are limited: a wanted table that cannot be sent costs one message per step
/// interval, not one per moment.
#[test]
fn a_held_table_costs_few_messages() {
    let mut day = Day::new(GuardMode::Enforce, 5);
    day.send_roster();
    (0..PROXIES).for_each(|i| {
        let joined = Input::Joined {
            session: i as u64,
            proxy: format!("p{i}"),
            zone: "east".into(),
            visits_per_s: None,
        };
        day.send(vec![joined]);
    });
    day.run(8_000.0);
    day.set(0, AdminState::Gone, false);
    day.send_roster();
    day.run(3_000.0);
    day.set(0, AdminState::Ready, true);
    day.send_roster();
    *day.fault.lock().unwrap() = Fault::Flood(0);
    let before = day.controller.overview().counters.messages;
    day.run(10_000.0);
    let view = day.controller.overview();
    let messages = view.counters.messages - before;
    // Step intervals of 1.6 s, to five proxies, and the planner's own ticks.
    assert!(
        messages <= 100,
        "{messages} messages in 10 s: {:?}",
        view.guard
    );
    assert!(view.guard.held > 0, "{:?}", view.guard);
    assert_eq!(day.violations.overloads, 0);
}
