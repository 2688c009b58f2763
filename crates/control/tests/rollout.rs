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

fn terms(guard: GuardMode) -> ControllerSettings {
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
        reports_per_s: 10_000.0,
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

struct Chance(u64);

impl Chance {
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

    fn is(&mut self, of: usize) -> bool {
        self.below(of) == 0
    }
}

/// A fault in the orders of the planner that lasts for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Spoil {
    Nothing,
    AllEqual,
    Flood(usize),
    Empty,
    Wild,
    KeepsDrained,
    Repeats,
}

#[derive(Clone, Debug, PartialEq)]
struct Truth {
    state: AdminState,
    started: f64,
    stamp: u64,
    /// Time of the last change of its state.
    since: f64,
}

type Table = BTreeMap<usize, f64>;
type Changes = Vec<(usize, f64)>;

struct Proxy {
    bound: bool,
    table: Table,
    /// Messages in transit: when each is applied, its serial, whether it is a snapshot, its
    /// changes.
    way: VecDeque<(f64, u64, bool, Changes)>,
    pace: f64,
    empty_since: Option<f64>,
}

/// Violations by rule.
#[derive(Clone, Debug, Default, PartialEq)]
struct Broken {
    empty: usize,
    drains: usize,
    falls: usize,
    repeats: usize,
}

struct Day {
    controller: Controller,
    chance: Chance,
    now: f64,
    truth: Vec<Truth>,
    proxies: Vec<Proxy>,
    spoil: std::sync::Arc<std::sync::Mutex<Spoil>>,
    load: f64,
    broken: Broken,
    /// Tries by proxy and server in this round, and how many of them an overloaded server delayed.
    met: BTreeMap<(usize, usize), (f64, f64)>,
    probes: Vec<usize>,
    looked: u64,
}

fn number(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl Day {
    fn new(guard: GuardMode, seed: u64) -> Day {
        let now = 1e6;
        let truth = Truth {
            state: AdminState::Ready,
            started: now - 1e5,
            stamp: 0,
            since: now,
        };
        let spoil = std::sync::Arc::new(std::sync::Mutex::new(Spoil::Nothing));
        let mut controller = Controller::new(now, seed, terms(guard));
        let told = spoil.clone();
        let (mut seen, mut wild, mut turn) = (BTreeSet::new(), Chance(seed), 0);
        // What the planner ordered itself: once the fault is over, all of that is ordered again.
        let (mut own, mut own_shut, mut was_wrong) = (BTreeMap::new(), BTreeMap::new(), false);
        controller.inject_faults(Box::new(move |_, orders| {
            own.extend(orders.lines.iter().map(|l| ((l.0, l.1), l.2)));
            own_shut.extend(orders.withdrawals.iter().copied());
            let spoil = *told.lock().unwrap();
            if was_wrong && spoil == Spoil::Nothing {
                orders.lines = own.iter().map(|((p, s), w)| (*p, *s, *w)).collect();
                orders.withdrawals = own_shut.iter().map(|(s, shut)| (*s, *shut)).collect();
            }
            was_wrong = spoil != Spoil::Nothing;
            seen.extend(orders.lines.iter().map(|l| (l.0, l.1)));
            turn += 1;
            let all = |weight: &mut dyn FnMut(usize) -> f64| {
                seen.iter().map(|(p, s)| (*p, *s, weight(*s))).collect()
            };
            match spoil {
                Spoil::Nothing => {}
                Spoil::AllEqual => orders.lines = all(&mut |_| 1.0),
                Spoil::Flood(s) => orders.lines = all(&mut |x| if x == s { 10_000.0 } else { 0.0 }),
                Spoil::Empty => orders.lines = all(&mut |_| 0.0),
                Spoil::Wild => {
                    // Only every seventh time, so that other states occur in between.
                    if turn % 7 == 0 {
                        orders.lines = all(&mut |_| [0.0, 0.01, 1.0, 3.0, 10_000.0][wild.below(5)]);
                    }
                }
                Spoil::KeepsDrained => {
                    orders.withdrawals.retain(|(_, shut)| !shut);
                    orders.lines.retain(|l| l.2 > 0.0);
                }
                Spoil::Repeats => {
                    orders.levels = seen
                        .iter()
                        .map(|(p, _)| (*p, 0, 1.0, planner::RetryPolicy::OnFailure))
                        .collect();
                }
            }
        }));
        let proxy = |i: usize| Proxy {
            bound: false,
            table: Table::new(),
            way: VecDeque::new(),
            pace: 1.0 + i as f64 / 2.0,
            empty_since: None,
        };
        Day {
            controller,
            chance: Chance(seed ^ 0x5eed),
            now,
            truth: vec![truth; SERVERS],
            proxies: (0..PROXIES).map(proxy).collect(),
            spoil,
            load: 300.0,
            broken: Broken::default(),
            met: BTreeMap::new(),
            probes: Vec::new(),
            looked: 0,
        }
    }

    fn roster(&self) -> Vec<RosterEntry> {
        let entry = |(i, t): (usize, &Truth)| RosterEntry {
            name: format!("s{i}"),
            address: format!("127.0.0.1:{}", i + 1),
            zone: "east".into(),
            state: t.state,
            weight: 1.0,
            started: Some((self.now - t.started, t.stamp)),
        };
        self.truth.iter().enumerate().map(entry).collect()
    }

    fn set(&mut self, s: usize, state: AdminState, restarts: bool) {
        let t = &mut self.truth[s];
        if t.state != state {
            t.since = self.now;
        }
        t.state = state;
        if restarts {
            (t.started, t.stamp) = (self.now, t.stamp + 1);
        }
    }

    fn tell(&mut self, inputs: Vec<Input>) {
        for output in self.controller.handle(self.now, inputs) {
            match output {
                Output::Write(sessions, m) => {
                    let lines: Vec<(usize, f64)> = m
                        .lines
                        .iter()
                        .map(|l| {
                            (
                                number(&l.server),
                                if l.state == LineState::Open {
                                    l.weight
                                } else {
                                    0.0
                                },
                            )
                        })
                        .collect();
                    let repeats = m
                        .policies
                        .iter()
                        .any(|w| w.1.retry == RetryPolicy::OnFailure);
                    self.broken.repeats += usize::from(repeats);
                    for session in sessions {
                        // Each proxy applies it at its own time, in order.
                        let after = 20.0 + self.chance.below(1_500) as f64;
                        let p = &mut self.proxies[session as usize];
                        let at = p.way.back().map_or(0.0, |w| w.0).max(self.now + after);
                        let whole = matches!(m.scope, Scope::Snapshot(_));
                        let lines = if m.scope == Scope::Unbound {
                            Vec::new()
                        } else {
                            lines.clone()
                        };
                        p.way.push_back((at, m.serial, whole, lines));
                    }
                }
                Output::Probe { server, .. } => self.probes.push(number(&server)),
                Output::Close(session, why) => panic!("{session} is closed: {why}"),
                Output::Log(_) => {}
            }
        }
    }

    fn able(&self, s: usize) -> f64 {
        let age = (self.now - self.truth[s].started) / WARM_MS;
        0.15 + 0.85 * age.min(1.0)
    }

    /// One step: proxies apply what is due, visits run, the rules are checked, reports are sent.
    fn step(&mut self) {
        self.now += STEP_MS;
        let mut inputs = Vec::new();
        for (i, p) in self.proxies.iter_mut().enumerate() {
            while p.way.front().is_some_and(|w| w.0 <= self.now) {
                let (_, serial, whole, lines) = p.way.pop_front().unwrap();
                if whole {
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
                healthy: self.truth[s].state != AdminState::Gone,
                took_ms: 1.0,
            });
        }
        self.look();
        if self.now % ROUND_MS < STEP_MS {
            for i in 0..PROXIES {
                let mine = self.met.iter().filter(|((p, _), _)| *p == i);
                let met = mine.map(|((_, s), (tries, late))| ReportLine {
                    server: format!("s{s}"),
                    tries: *tries,
                    success_ms: (tries - late) * 30.0 + late * 3_000.0,
                    ..ReportLine::default()
                });
                let report = LoadReport {
                    window_ms: ROUND_MS,
                    ended_ago_ms: 0.0,
                    lines: met.collect(),
                    arrivals: Vec::new(),
                };
                inputs.push(Input::Reported(format!("p{i}"), report));
            }
            inputs.push(Input::RoundEnded);
            self.met.clear();
        }
        self.tell(inputs);
    }

    fn look(&mut self) {
        let paces: f64 = self.proxies.iter().map(|p| p.pace).sum();
        let (mut loads, mut mets) = ([0.0; SERVERS], Vec::new());
        // A warm server has been ready for longer than any message is in transit.
        let warm = (0..SERVERS).any(|s| {
            let t = &self.truth[s];
            t.state == AdminState::Ready && self.able(s) >= 1.0 && self.now - t.since > 5_000.0
        });
        for (i, p) in self.proxies.iter_mut().enumerate().filter(|(_, p)| p.bound) {
            let sum: f64 = p.table.values().sum();
            let begin = *p.empty_since.get_or_insert(self.now);
            if sum > 0.0 {
                p.empty_since = None;
            } else if warm && self.now - begin > 2_000.0 {
                self.broken.empty += 1;
            }
            for (s, w) in &p.table {
                let load = self.load * p.pace / paces * w / sum;
                loads[*s] += load;
                mets.push(((i, *s), load * STEP_MS / 1e3));
                self.looked += 1;
                let t = &self.truth[*s];
                // A withdrawal is applied within the grace period plus 1.5 s: what is sent at once
                // is applied after at most 1.5 s, together with what queues behind it.
                let late = self.now - t.since > GRACE_MS + 1_500.0;
                self.broken.drains += usize::from(t.state != AdminState::Ready && late);
            }
        }
        for ((i, s), tries) in mets {
            let over = loads[s] > self.able(s) * CAPACITY;
            let met = self.met.entry((i, s)).or_default();
            met.0 += tries;
            met.1 += if over { tries } else { 0.0 };
        }
        for (s, load) in loads.iter().enumerate() {
            let able = self.able(s);
            let falls = able < 1.0 && self.truth[s].state == AdminState::Ready && warm;
            self.broken.falls += usize::from(falls && *load > 3.0 * able * CAPACITY);
        }
    }

    fn play(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn news(&mut self) {
        let roster = self.roster();
        self.tell(vec![Input::Roster(roster)]);
    }

    /// A day: three times the fleet changes, the orders are faulty for a while, and then all is
    /// calm.
    fn whole(guard: GuardMode, seed: u64) -> Day {
        let mut day = Day::new(guard, seed);
        day.news();
        for i in 0..PROXIES {
            let joined = Input::Joined {
                session: i as u64,
                proxy: format!("p{i}"),
                zone: "east".into(),
                visits_per_s: Some(60.0),
            };
            day.tell(vec![joined]);
        }
        day.play(8_000.0);
        for _ in 0..3 {
            let many = [1, 2, 4, 6, 7][day.chance.below(5)];
            let whom: BTreeSet<usize> = (0..many).map(|_| day.chance.below(SERVERS)).collect();
            match day.chance.below(4) {
                // A group of servers, or nearly all, restarts.
                0 | 1 => {
                    whom.iter()
                        .for_each(|s| day.set(*s, AdminState::Gone, false));
                    day.news();
                    day.play(3_000.0);
                    whom.iter()
                        .for_each(|s| day.set(*s, AdminState::Ready, true));
                }
                2 => whom
                    .iter()
                    .for_each(|s| day.set(*s, AdminState::Draining, false)),
                _ => whom
                    .iter()
                    .for_each(|s| day.set(*s, AdminState::Gone, false)),
            }
            let spoil = match day.chance.below(7) {
                0 => Spoil::AllEqual,
                1 => Spoil::Flood(day.chance.below(SERVERS)),
                2 => Spoil::Empty,
                3 => Spoil::Wild,
                4 => Spoil::KeepsDrained,
                5 => Spoil::Repeats,
                _ => Spoil::Nothing,
            };
            *day.spoil.lock().unwrap() = spoil;
            day.news();
            // The load changes slowly, as between night and morning.
            let to = [30.0, 150.0, 400.0][day.chance.below(3)];
            for _ in 0..12 {
                day.play(1_000.0);
                day.load += (to - day.load) * 0.15;
                if day.chance.is(6) {
                    day.news();
                }
            }
            *day.spoil.lock().unwrap() = Spoil::Nothing;
            day.play(4_000.0);
            (0..SERVERS).for_each(|s| {
                let back = day.truth[s].state == AdminState::Gone;
                day.set(s, AdminState::Ready, back);
            });
            day.news();
            day.play(6_000.0);
        }
        day
    }
}

const DAYS: u64 = 40;

/// Whatever the faulty orders are and whatever the fleet does meanwhile, rules 1 to 4 hold; and
/// each of them is broken on some of the same days without the guard.
#[test]
fn random_days_with_faulty_orders_keep_the_rules() {
    let (mut bare, mut looked) = (Broken::default(), 0);
    for seed in 0..DAYS {
        let day = Day::whole(GuardMode::Enforce, seed);
        assert_eq!(day.broken, Broken::default(), "day {seed}");
        looked += day.looked;
        let b = Day::whole(GuardMode::Off, seed).broken;
        bare.empty += usize::from(b.empty > 0);
        bare.drains += usize::from(b.drains > 0);
        bare.falls += usize::from(b.falls > 0);
        bare.repeats += usize::from(b.repeats > 0);
    }
    println!("{DAYS} days, {looked} lines checked; without the guard, days that broke: {bare:?}");
    assert!(
        bare.empty > 2 && bare.drains > 2 && bare.falls > 2 && bare.repeats > 2,
        "{bare:?}"
    );
}

/// Once the orders are right again, the planner's own table is reached: nothing stays held back, on
/// any day.
#[test]
fn held_tables_are_released() {
    for seed in 0..DAYS {
        let mut day = Day::whole(GuardMode::Enforce, seed);
        day.play(40_000.0);
        // A message of the planner may be in transit.
        for _ in 0..200 {
            if day.proxies.iter().any(|p| !p.way.is_empty()) {
                day.step();
            }
        }
        let view = day.controller.overview();
        assert!(view.guard.waits.is_empty(), "day {seed}: {:?}", view.guard);
        for p in &day.proxies {
            assert!(p.way.is_empty(), "day {seed}");
            let stands: Table = view
                .servers
                .iter()
                .filter(|s| !s.withdrawn && s.weight > 0.0)
                .map(|s| (number(&s.name), s.weight))
                .collect();
            assert_eq!(p.table, stands, "day {seed}");
            assert_eq!(p.table.len(), SERVERS, "day {seed}: all are ready and warm");
        }
    }
}

/// The guard's own steps are limited: a wanted table that cannot be sent costs one message per step
/// interval, not one per moment.
#[test]
fn a_held_table_costs_few_messages() {
    let mut day = Day::new(GuardMode::Enforce, 5);
    day.news();
    (0..PROXIES).for_each(|i| {
        let joined = Input::Joined {
            session: i as u64,
            proxy: format!("p{i}"),
            zone: "east".into(),
            visits_per_s: None,
        };
        day.tell(vec![joined]);
    });
    day.play(8_000.0);
    day.set(0, AdminState::Gone, false);
    day.news();
    day.play(3_000.0);
    day.set(0, AdminState::Ready, true);
    day.news();
    *day.spoil.lock().unwrap() = Spoil::Flood(0);
    let before = day.controller.overview().counters.messages;
    day.play(10_000.0);
    let view = day.controller.overview();
    let messages = view.counters.messages - before;
    // Step intervals of 1.6 s, to five proxies, and the planner's own ticks.
    assert!(
        messages <= 100,
        "{messages} messages in 10 s: {:?}",
        view.guard
    );
    assert!(view.guard.held > 0, "{:?}", view.guard);
    assert_eq!(day.broken.falls, 0);
}
