//! Tests of the planner: events and reports go in, the orders that come out are checked.

use dahliapoint::rules::Planner;
use dahliapoint::{
    AdminState, Admission, Class, Orders, PlannerSettings, RetryPolicy, RosterEntry, RosterUpdate,
    TryStats,
};
use std::collections::BTreeMap;

/// The settings of most tests.
fn settings() -> PlannerSettings {
    let class = |earnings| Class {
        soft_limit_ms: 1000.0,
        earnings,
    };
    PlannerSettings {
        zones: 2,
        classes: vec![class(1.0), class(2.0)],
        admission: Admission::Unused,
        max_queued_lines: 10_000.0,
        lines_per_ms: 10.0,
        message_latency_ms: 0.0,
        idle_timeout_ms: 15_000.0,
        initial_servers: 5.0,
        message_overhead_lines: 4.0,
        max_messages: 0.0,
        message_window_ms: 10_000.0,
        drain_grace_ms: 3000.0,
        report_interval_ms: 1000.0,
        report_lines_per_ms: 0.1,
        cold_capacity_share: 0.2,
        warm_up_ms: 16_000.0,
        overload_multiple: 3.0,
        failures_until_avoided: 0,
        keep_unlisted_servers: false,
        default_retry_policy: RetryPolicy::Never,
        may_probe: true,
        must_request_roster: false,
        sharded: false,
    }
}

/// The settings of most tests with a change.
fn settings_with(change: impl FnOnce(&mut PlannerSettings)) -> PlannerSettings {
    let mut settings = settings();
    change(&mut settings);
    settings
}

/// Reported at a server within a second: tries, failed tries and mean time; none without a report.
type Report = Option<(f64, f64, f64)>;

/// Reports of one server, and of the others of the first eight, for both zones.
fn one_differs(server: usize, report: Report, others: Report) -> impl Fn(usize, usize) -> Report {
    move |s, _| {
        if s == server {
            report
        } else {
            others.filter(|_| s < 8)
        }
    }
}

/// Roster entries of this number of ready servers.
fn ready_servers(servers: usize) -> Vec<RosterEntry> {
    let servers = 0..servers;
    servers.map(|s| entry(s, AdminState::Ready, None)).collect()
}

/// A planner, and the state of four proxies that receive and acknowledge every order.
struct Fleet {
    planner: Planner,
    now: f64,
    /// Published weights by server.
    weights: BTreeMap<usize, f64>,
    /// Whether a server is withdrawn.
    withdrawn: BTreeMap<usize, bool>,
    /// Proxies in the order in which they were bound.
    bound: Vec<usize>,
    /// Admission level and retry policy by class.
    levels: BTreeMap<usize, (f64, RetryPolicy)>,
    /// Servers in the order in which they were probed.
    probed: Vec<usize>,
    /// Number of messages that were sent.
    messages: usize,
    notes: Vec<String>,
}

/// A roster entry; even servers are in zone 0, odd ones in zone 1.
fn entry(server: usize, admin_state: AdminState, started_ms: Option<f64>) -> RosterEntry {
    RosterEntry {
        server,
        zone: server % 2,
        admin_state,
        weight: 1.0,
        started_ms,
    }
}

impl Fleet {
    /// A fleet with this number of ready servers, in alternating zones, and two proxies in each zone.
    fn new(servers: usize, settings: &PlannerSettings) -> Fleet {
        let mut fleet = Fleet::empty(settings);
        fleet.update_roster(RosterUpdate::Restored, &ready_servers(servers));
        for proxy in 0..4 {
            fleet.input(|p, _| p.proxy_joined(proxy, proxy % 2, VISITS_PER_MS));
        }
        fleet
    }

    /// Eight servers that have worked well for some time.
    fn healthy() -> Fleet {
        let mut fleet = Fleet::new(8, &settings());
        fleet.run(4, |s, _| HEALTHY.filter(|_| s < 8));
        fleet
    }

    /// A fleet without servers and proxies.
    fn empty(settings: &PlannerSettings) -> Fleet {
        Fleet {
            planner: Planner::new(1e6, 7, settings),
            now: 1e6,
            weights: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            bound: Vec::new(),
            levels: BTreeMap::new(),
            probed: Vec::new(),
            messages: 0,
            notes: Vec::new(),
        }
    }

    /// Passes events to the planner, carries out the resulting orders and acknowledges them.
    fn input(&mut self, call: impl FnOnce(&mut Planner, f64)) {
        call(&mut self.planner, self.now);
        let orders = self.planner.decide(self.now);
        self.messages += usize::from(orders.mark.is_some());
        self.weights.extend(orders.lines.iter().map(|l| (l.1, l.2)));
        let levels = orders.levels.iter().map(|l| (l.1, (l.2, l.3)));
        self.levels.extend(levels);
        self.withdrawn.extend(orders.withdrawals);
        self.bound.extend(orders.bindings.iter().map(|b| b.0));
        self.probed.extend(orders.probes);
        self.notes.extend(orders.notes);
        for proxy in 0..4 {
            if let Some(mark) = orders.mark {
                self.planner.orders_applied(proxy, mark);
                let more = self.planner.decide(self.now);
                assert_eq!(more.lines, vec![], "an acknowledgement changes no weight");
            }
        }
    }

    fn update_roster(&mut self, update: RosterUpdate, roster: &[RosterEntry]) {
        self.input(|p, now| p.roster_changed(now, update, roster));
    }

    /// Starts to drain servers, all at once.
    fn drain(&mut self, servers: std::ops::Range<usize>) {
        let drains: Vec<_> = servers
            .map(|s| entry(s, AdminState::Draining, None))
            .collect();
        self.update_roster(RosterUpdate::Changes, &drains);
    }

    /// Lets seconds pass. Each second, reports arrive as `report` gives them for a server and a zone.
    fn run(&mut self, seconds: usize, report: impl Fn(usize, usize) -> Report) {
        for _ in 0..seconds {
            self.now += 1000.0;
            for server in 0..12 {
                for zone in 0..2 {
                    if let Some((tries, failed, mean_ms)) = report(server, zone) {
                        let stats = TryStats {
                            zone,
                            server,
                            tries,
                            failed,
                            mean_ms,
                            window_ms: 1000.0,
                        };
                        self.planner.tries_reported(self.now, &stats);
                    }
                }
            }
            self.input(|_, _| ());
        }
    }

    /// Weight at which proxies use a server.
    fn weight(&self, server: usize) -> f64 {
        let withdrawn = self.withdrawn.get(&server).copied().unwrap_or(false);
        let weight = self.weights.get(&server).copied().unwrap_or(0.0);
        if withdrawn { 0.0 } else { weight }
    }
}

const VISITS_PER_MS: f64 = 0.02;
const HEALTHY: Report = Some((10.0, 0.0, 200.0));

#[test]
fn weights_follow_the_admin_state() {
    let now = 1e6;
    let cases = [
        ("draining", AdminState::Draining, None, 0.0, true),
        ("gone", AdminState::Gone, None, 0.0, true),
        ("ready as before", AdminState::Ready, None, 1.0, false),
        ("started anew", AdminState::Ready, Some(now), 0.06, false),
    ];
    for (case, admin_state, started, weight, withdrawn) in cases {
        let mut fleet = Fleet::new(6, &settings());
        fleet.update_roster(RosterUpdate::Changes, &[entry(2, admin_state, started)]);
        assert!((fleet.weight(2) - weight).abs() < 0.001, "{case}");
        assert_eq!(
            fleet.withdrawn.get(&2).copied().unwrap_or(false),
            withdrawn,
            "{case}"
        );
        assert_eq!(fleet.weight(3), 1.0, "{case}: other servers are unaffected");
    }
}

#[test]
fn a_server_missing_from_a_snapshot_is_withdrawn_unless_unlisted_servers_stay() {
    for may_stay in [false, true] {
        let settings = settings_with(|o| o.keep_unlisted_servers = may_stay);
        let mut fleet = Fleet::new(3, &settings);
        fleet.update_roster(RosterUpdate::Snapshot, &ready_servers(2));
        assert_eq!(fleet.weight(2) == 1.0, may_stay);
        fleet.update_roster(
            RosterUpdate::Changes,
            &[entry(0, AdminState::Draining, None)],
        );
        assert_eq!(fleet.weight(0), 0.0, "a drain applies in either case");
    }
}

#[test]
fn a_returning_server_ramps_up_and_a_flapping_one_stays_low() {
    let mut fleet = Fleet::new(6, &settings());
    fleet.run(4, |s, _| HEALTHY.filter(|_| s < 6));
    let mut before = 0.0;
    for _ in 0..3 {
        fleet.update_roster(RosterUpdate::Changes, &[entry(0, AdminState::Gone, None)]);
        let back = entry(0, AdminState::Ready, Some(fleet.now));
        fleet.update_roster(RosterUpdate::Changes, &[back]);
        fleet.run(2, |s, _| HEALTHY.filter(|_| s < 6));
        assert!(fleet.weight(0) > 0.0 && fleet.weight(0) < 0.35);
        before = fleet.weight(0);
    }
    fleet.run(16, |s, _| HEALTHY.filter(|_| s < 6));
    assert!(before < fleet.weight(0) && fleet.weight(0) == 1.0);
}

#[test]
fn after_a_restart_recently_started_servers_are_cold_and_drains_are_sent_again() {
    let mut fleet = Fleet::empty(&settings());
    let cold = entry(0, AdminState::Ready, Some(fleet.now - 10_000.0));
    let old = [1, 2, 3].map(|s| entry(s, AdminState::Ready, Some(1000.0)));
    let drains = entry(4, AdminState::Draining, None);
    fleet.update_roster(
        RosterUpdate::Restored,
        &[cold, old[0], old[1], old[2], drains],
    );
    fleet.input(|p, _| p.proxy_joined(0, 0, VISITS_PER_MS));
    assert!(fleet.weight(0) < 0.3 && fleet.weight(1) == 1.0);
    assert_eq!(fleet.withdrawn.get(&4), Some(&true));
    assert_eq!(fleet.bound, vec![0]);
}

#[test]
fn the_table_never_becomes_empty() {
    let mut fleet = Fleet::new(2, &settings());
    fleet.update_roster(
        RosterUpdate::Changes,
        &[entry(0, AdminState::Draining, None)],
    );
    fleet.run(8, |s, _| (s == 1).then_some((10.0, 10.0, 0.0)));
    assert!(fleet.weight(1) > 0.0);
    let fresh = entry(5, AdminState::Ready, Some(fleet.now));
    fleet.update_roster(
        RosterUpdate::Changes,
        &[fresh, entry(1, AdminState::Gone, None)],
    );
    assert!(fleet.weight(5) > 0.0);
    let empty = Fleet::new(0, &settings());
    assert!(empty.bound.is_empty());
}

#[test]
fn reports_change_only_the_weight_of_the_failing_server() {
    type Case = (&'static str, (f64, f64, f64), std::ops::RangeInclusive<f64>);
    let cases: [Case; 5] = [
        ("fails fast", (10.0, 7.0, 50.0), 0.0..=0.0),
        ("all time out", (10.0, 10.0, 0.0), 0.0..=0.0),
        ("slow", (10.0, 0.0, 1500.0), 0.05..=0.7),
        ("slow and failing", (10.0, 6.0, 1500.0), 0.05..=0.7),
        ("a failure now and then", (10.0, 1.0, 220.0), 1.0..=1.0),
    ];
    for (case, report, expected) in cases {
        let mut fleet = Fleet::healthy();
        fleet.run(6, one_differs(3, Some(report), HEALTHY));
        assert!(
            expected.contains(&fleet.weight(3)),
            "{case}: {:?}",
            fleet.notes
        );
        assert!((0..8).filter(|s| *s != 3).all(|s| fleet.weight(s) == 1.0));
    }
}

#[test]
fn failures_of_most_servers_take_little_weight_away() {
    let cases = [
        ("all slow", (10.0, 0.0, 1500.0)),
        ("all failing", (10.0, 9.0, 300.0)),
        ("none answers", (10.0, 10.0, 0.0)),
    ];
    for (case, report) in cases {
        let mut fleet = Fleet::healthy();
        fleet.run(8, |s, _| Some(report).filter(|_| s < 8));
        let lost = 8.0 - (0..8).map(|s| fleet.weight(s)).sum::<f64>();
        assert!(lost <= 0.35 * 8.0, "{case}: {lost} of 8 taken away");
    }
}

#[test]
fn an_overloaded_server_that_stops_answering_is_reduced_further() {
    let mut fleet = Fleet::healthy();
    for report in [(10.0, 6.0, 1500.0), (10.0, 10.0, 0.0)] {
        fleet.run(7, one_differs(3, Some(report), HEALTHY));
    }
    assert!(fleet.weight(3) < 0.3, "{:?}", fleet.notes);
}

#[test]
fn a_strained_fleet_ejects_only_servers_that_never_answer() {
    for (report, out) in [((10.0, 10.0, 0.0), true), ((10.0, 6.0, 100.0), false)] {
        let mut fleet = Fleet::healthy();
        let slow = Some((10.0, 0.0, 600.0));
        fleet.run(4, |s, _| slow.filter(|_| s < 8));
        fleet.run(4, one_differs(3, Some(report), slow));
        assert_eq!(fleet.weight(3) == 0.0, out, "{:?}", fleet.notes);
    }
}

#[test]
fn failures_seen_by_one_zone_do_not_eject_a_server() {
    let mut fleet = Fleet::healthy();
    // Server 3 fails for zone 0 and does well for zone 1.
    let reports = |s, zone| {
        one_differs(
            3,
            Some((10.0, 10.0, 0.0)).filter(|_| zone == 0).or(HEALTHY),
            HEALTHY,
        )(s, zone)
    };
    fleet.run(4, reports);
    assert_eq!(fleet.weight(3), 1.0);
}

#[test]
fn an_unreachable_zone_leaves_and_returns_as_a_whole() {
    let mut fleet = Fleet::healthy();
    for proxy in [1, 3] {
        fleet.input(|p, _| p.proxy_left(proxy));
    }
    let reports =
        |s: usize, zone: usize| HEALTHY.filter(|_| s < 8 && s.is_multiple_of(2) && zone == 0);
    fleet.run(4, reports);
    assert!([1, 3, 5, 7].iter().all(|s| fleet.weight(*s) == 0.0));
    assert!([0, 2, 4, 6].iter().all(|s| fleet.weight(*s) == 1.0));
    assert!(
        fleet.probed.contains(&1),
        "servers of the unreachable zone are probed"
    );
    fleet.input(|p, _| p.proxy_joined(1, 1, VISITS_PER_MS));
    assert!((0..8).all(|s| fleet.weight(s) == 1.0));
}

#[test]
fn an_ejected_server_returns_through_a_ramp_after_a_successful_probe() {
    for answers in [false, true] {
        let mut fleet = Fleet::healthy();
        fleet.run(3, one_differs(3, Some((10.0, 10.0, 0.0)), HEALTHY));
        assert_eq!(fleet.weight(3), 0.0);
        assert!(fleet.probed.contains(&3));
        fleet.input(|p, now| p.probe_answered(now, 3, answers, 9.0));
        fleet.run(5, one_differs(3, None, HEALTHY));
        assert_eq!(fleet.weight(3) > 0.0, answers);
        assert!(fleet.weight(3) < 0.5, "through the ramp");
    }
}

#[test]
fn a_cold_server_gets_little_weight_in_an_overloaded_fleet() {
    // A server returned while most tries in the fleet failed and clients retried.
    let mut fleet = Fleet::new(8, &settings());
    fleet.run(6, |s, _| HEALTHY.filter(|_| s < 8));
    fleet.update_roster(RosterUpdate::Changes, &[entry(0, AdminState::Gone, None)]);
    let overload = |s, z| one_differs(0, None, Some((30.0, 27.0, 1800.0)))(s, z);
    fleet.run(4, overload);
    let back = entry(0, AdminState::Ready, Some(fleet.now));
    fleet.update_roster(RosterUpdate::Changes, &[back]);
    for _ in 0..6 {
        fleet.run(2, overload);
        let sum: f64 = (0..8).map(|s| fleet.weight(s)).sum();
        assert!(fleet.weight(0) / sum < 0.02, "{} of {sum}", fleet.weight(0));
    }
    fleet.run(8, overload);
    assert!(fleet.weight(0) > 0.5, "warm by then");
}

#[test]
fn a_cold_server_with_few_tries_gains_weight_in_overload() {
    // Case behind it: four servers restarted at once; the others were overloaded and answered late, but
    // answered.
    let mut fleet = Fleet::new(8, &settings());
    fleet.run(6, |s, _| HEALTHY.filter(|_| s < 8));
    let back = entry(0, AdminState::Ready, Some(fleet.now));
    fleet.update_roster(RosterUpdate::Changes, &[back]);
    fleet.run(
        4,
        one_differs(0, Some((1.0, 0.0, 300.0)), Some((30.0, 2.0, 950.0))),
    );
    assert!(fleet.weight(0) > 0.25, "{}", fleet.weight(0));
}

/// Eight servers of which two were replaced by cold ones (8 and 9) four seconds ago, with proxies that
/// avoid a server after this many failures.
fn fleet_with_cold_servers(failures_until_avoided: u32) -> Fleet {
    let settings = settings_with(|o| {
        (o.failures_until_avoided, o.may_probe) = (failures_until_avoided, false);
    });
    let mut fleet = Fleet::new(8, &settings);
    fleet.run(10, |s, _| HEALTHY.filter(|_| s < 8));
    fleet.drain(0..2);
    let cold = [8, 9].map(|s| entry(s, AdminState::Ready, Some(fleet.now)));
    fleet.update_roster(RosterUpdate::Changes, &cold);
    fleet.run(4, |s, _| HEALTHY.filter(|_| (2..8).contains(&s)));
    assert!(fleet.weight(8) > 0.0 && fleet.weight(9) > 0.0);
    fleet
}

/// Guards against cold servers that are pushed over when proxies avoid overloaded warm ones: these were
/// left in the table until reports showed the overload, several seconds after most servers had left.
#[test]
fn cold_servers_leave_the_table_at_once_when_too_few_warm_ones_remain() {
    for (failures_until_avoided, stays) in [(5, false), (0, true)] {
        let mut fleet = fleet_with_cold_servers(failures_until_avoided);
        fleet.drain(2..5);
        for cold in [8, 9] {
            assert_eq!(fleet.weight(cold) > 0.0, stays, "{:?}", fleet.notes);
        }
        assert!((5..8).all(|s| fleet.weight(s) == 1.0));
        let is_told = |note: &String| note.contains("times the load served so far");
        assert!(fleet.notes.iter().any(is_told), "{:?}", fleet.notes);
    }
}

#[test]
fn cold_servers_stay_out_of_the_table_while_the_warm_ones_fail() {
    let mut fleet = fleet_with_cold_servers(5);
    fleet.drain(2..5);
    let failing = |s, _| Some((20.0, 18.0, 800.0)).filter(|_| (5..8).contains(&s));
    for _ in 0..10 {
        fleet.run(1, failing);
        assert_eq!(fleet.weight(8), 0.0, "{:?}", fleet.notes);
    }
    fleet.run(4, failing);
    assert!(fleet.weight(8) > 0.5, "warm by then: {:?}", fleet.notes);
}

#[test]
fn cold_servers_return_to_the_table_once_the_others_have_served_the_load() {
    let mut fleet = fleet_with_cold_servers(5);
    fleet.drain(2..5);
    assert_eq!(fleet.weight(8), 0.0);
    fleet.run(9, |s, _| {
        Some((26.0, 0.0, 300.0)).filter(|_| (5..8).contains(&s))
    });
    assert!(fleet.weight(8) > 0.0, "{:?}", fleet.notes);
}

#[test]
fn cold_servers_leave_the_table_of_a_part_whose_warm_servers_fail() {
    let mut fleet = fleet_with_cold_servers(5);
    fleet.run(3, |s, _| {
        Some((10.0, 5.0, 300.0)).filter(|_| (2..8).contains(&s))
    });
    assert_eq!(fleet.weight(8), 0.0, "{:?}", fleet.notes);
    assert!((2..8).all(|s| fleet.weight(s) > 0.5), "{:?}", fleet.notes);
}

#[test]
fn retries_need_proof_and_low_earnings_are_limited_first() {
    for admission in [Admission::Unused, Admission::Share] {
        let settings = settings_with(|o| o.admission = admission);
        let mut fleet = Fleet::new(8, &settings);
        fleet.run(10, |s, _| Some((10.0, 4.0, 1500.0)).filter(|_| s < 8));
        assert!(fleet.levels.values().all(|l| l.1 == RetryPolicy::OnProof));
        let (low, high) = (fleet.levels[&0].0, fleet.levels[&1].0);
        if admission == Admission::Share {
            assert!(low < high && high < 1.0, "{low} {high}");
            fleet.run(30, |s, _| HEALTHY.filter(|_| s < 8));
            assert_eq!((fleet.levels[&0].0, fleet.levels[&1].0), (1.0, 1.0));
        } else {
            assert_eq!((low, high), (1.0, 1.0));
        }
    }
}

#[test]
fn limits_of_the_queue_and_of_messages_are_kept() {
    // No proxy acknowledges anything: only half of the queue is used.
    let settings = settings_with(|o| o.max_queued_lines = 300.0);
    let mut planner = Planner::new(0.0, 1, &settings);
    planner.roster_changed(0.0, RosterUpdate::Restored, &ready_servers(10));
    let mut bindings = Vec::new();
    for proxy in 0..20 {
        planner.proxy_joined(proxy, 0, VISITS_PER_MS);
        bindings.extend(planner.decide(1.0).bindings);
    }
    assert!(
        !bindings.is_empty() && bindings.len() * 17 <= 150,
        "{bindings:?}"
    );
    // With a limit of messages per proxy, a flapping server does not use them all up.
    let settings = settings_with(|o| o.max_messages = 10.0);
    let mut fleet = Fleet::new(6, &settings);
    fleet.messages = 0;
    for round in 0..40 {
        fleet.now += 200.0;
        let admin_state = [AdminState::Gone, AdminState::Ready][round % 2];
        let flaps = entry(round % 5, admin_state, Some(fleet.now));
        fleet.update_roster(RosterUpdate::Changes, &[flaps]);
    }
    assert!(fleet.messages <= 10);
}

#[test]
fn unusual_input_is_accepted() {
    let mut fleet = Fleet::empty(&settings_with(|o| o.classes = vec![]));
    fleet.input(|p, _| p.proxy_left(9));
    fleet.input(|p, _| p.orders_applied(9, 3));
    fleet.run(3, |s, _| HEALTHY.filter(|_| s == 11));
    assert!(fleet.weights.is_empty(), "no roster has that server");
    let mut weightless = entry(0, AdminState::Ready, None);
    weightless.weight = 0.0;
    fleet.update_roster(RosterUpdate::Snapshot, &[weightless]);
    fleet.input(|p, _| p.proxy_joined(1, 0, VISITS_PER_MS));
    assert!(fleet.weight(0) > 0.0, "a weight of 0 counts as not given");
    fleet.input(|p, _| p.proxy_joined(1, 0, VISITS_PER_MS));
    assert_eq!(fleet.bound, vec![1, 1], "joined twice, bound twice");
}

#[test]
fn the_roster_is_requested_at_start_and_after_its_loss() {
    let mut fleet = Fleet::empty(&settings_with(|o| o.must_request_roster = true));
    assert!(fleet.planner.decide(fleet.now).request_roster);
    assert!(!fleet.planner.decide(fleet.now + 1.0).request_roster);
    fleet.planner.roster_lost(fleet.now + 2.0);
    assert!(fleet.planner.decide(fleet.now + 4000.0).request_roster);
}

/// A planner with this number of servers and proxies, in alternating zones, and few visits per proxy;
/// the part of each server; and the first orders.
fn large(
    servers: usize,
    proxies: usize,
    settings: &PlannerSettings,
) -> (Planner, Vec<usize>, Orders) {
    let mut planner = Planner::new(0.0, 7, settings);
    planner.roster_changed(0.0, RosterUpdate::Restored, &ready_servers(servers));
    (0..proxies).for_each(|p| planner.proxy_joined(p, p % 2, 0.002));
    let orders = planner.decide(0.0);
    let mut parts = vec![usize::MAX; servers];
    orders.lines.iter().for_each(|l| parts[l.1] = l.0);
    (planner, parts, orders)
}

/// Settings with a queue that is never full.
fn settings_with_long_queue() -> PlannerSettings {
    settings_with(|o| o.max_queued_lines = 1e6)
}

#[test]
fn a_large_table_is_split_by_zone_and_proxies_leave_an_empty_part() {
    let (mut planner, parts, orders) = large(120, 60, &settings_with_long_queue());
    let part_count = 1 + parts.iter().max().unwrap();
    assert!(
        part_count > 3 && parts.iter().all(|p| *p < part_count),
        "{parts:?}"
    );
    for (proxy, part) in &orders.bindings {
        let servers = (0..120).filter(|s| parts[*s] == *part);
        assert!(
            servers.clone().all(|s| s % 2 == proxy % 2),
            "in its own zone"
        );
        assert_eq!(orders.bindings.iter().filter(|b| b.0 == *proxy).count(), 1);
        assert!(servers.count() >= 4);
    }
    assert_eq!(orders.bindings.len(), 60);
    // All servers of one part are gone: its proxies are bound to other parts at once.
    let gone = (0..120).filter(|s| parts[*s] == 0);
    let gone: Vec<_> = gone.map(|s| entry(s, AdminState::Gone, None)).collect();
    planner.roster_changed(500.0, RosterUpdate::Changes, &gone);
    let more = planner.decide(500.0);
    assert_eq!(more.withdrawals.len(), gone.len());
    let there = orders.bindings.iter().filter(|b| b.1 == 0).map(|b| b.0);
    assert!(
        there
            .into_iter()
            .all(|p| more.bindings.iter().any(|b| b.0 == p && b.1 != 0))
    );
}

#[test]
fn parts_have_at_least_half_of_the_initial_servers() {
    // With few visits per proxy and an unsplit table, nearly every visit opened a connection.
    for (initial, least, most) in [(10.0, 4, 6), (24.0, 7, 8)] {
        let settings = settings_with(|o| (o.initial_servers, o.max_queued_lines) = (initial, 1e6));
        let (_, parts, _) = large(30, 60, &settings);
        for part in &parts {
            let size = parts.iter().filter(|p| *p == part).count();
            assert!((least..=most).contains(&size), "{initial}: {parts:?}");
        }
    }
}

#[test]
fn few_tries_suffice_in_clear_cases() {
    type Case = (&'static str, (f64, f64, f64), std::ops::RangeInclusive<f64>);
    // A controller that sees only a part of few visits: 5 tries in the recent time.
    let cases: [Case; 5] = [
        ("answers nothing", (1.7, 1.7, 0.0), 0.0..=0.0),
        ("far too slow", (1.7, 0.0, 2500.0), 0.05..=0.7),
        ("slow, but less clearly", (1.7, 0.0, 700.0), 1.0..=1.0),
        ("fails now and then", (1.7, 0.6, 200.0), 1.0..=1.0),
        ("too few tries", (0.6, 0.6, 0.0), 1.0..=1.0),
    ];
    for (case, report, expected) in cases {
        let mut fleet = Fleet::healthy();
        let here = |report: Report| move |s, z| report.filter(|_| z == 0).filter(|_| s < 8);
        let others = here(Some((5.0, 0.0, 200.0)));
        fleet.run(6, |s, z| {
            if s == 3 {
                here(Some(report))(s, z)
            } else {
                others(s, z)
            }
        });
        assert!(
            expected.contains(&fleet.weight(3)),
            "{case}: {} {:?}",
            fleet.weight(3),
            fleet.notes
        );
    }
}

#[test]
fn parts_of_recently_departed_proxies_do_not_count_as_idle() {
    // A zone is being cut off: its proxies leave one by one before anything else is reported.
    let moved = |later: f64| {
        let (mut planner, _, orders) = large(120, 60, &settings_with_long_queue());
        (0..60).for_each(|p| planner.orders_applied(p, orders.mark.unwrap_or(0)));
        let away = (1..50).step_by(2);
        away.for_each(|p| planner.proxy_left(p));
        planner.decide(later).bindings.len()
    };
    assert_eq!(moved(500.0), 0);
    // They stayed away for the time of a ramp: the remaining proxies are rebalanced.
    assert!(moved(10_500.0) > 0);
}

#[test]
fn all_proxies_get_bound_and_drains_have_room_in_the_queue() {
    // In a large fleet no proxy was ever bound, and withdrawals found the queue full of other lines.
    let settings = settings_with(|o| o.max_queued_lines = 500.0);
    let (mut planner, _, first) = large(120, 60, &settings);
    let mut bound = first.bindings.len();
    let mut mark = first.mark;
    assert!(bound > 0 && bound < 60, "{bound}");
    for step in 1..60 {
        let now = f64::from(step) * 100.0;
        (0..60).for_each(|p| planner.orders_applied(p, mark.unwrap_or(0)));
        let orders = planner.decide(now);
        bound += orders.bindings.len();
        mark = orders.mark.or(mark);
    }
    assert_eq!(bound, 60);
    // Half the fleet restarts and no message is acknowledged any more: a drain is still sent.
    let back: Vec<_> = (0..60)
        .map(|s| entry(s, AdminState::Ready, Some(7e3)))
        .collect();
    planner.roster_changed(7e3, RosterUpdate::Changes, &back);
    planner.decide(7e3);
    planner.roster_changed(
        7001.0,
        RosterUpdate::Changes,
        &[entry(90, AdminState::Draining, None)],
    );
    assert_eq!(planner.decide(7001.0).withdrawals, vec![(90, true)]);
}

#[test]
fn a_delayed_report_counts_for_the_time_that_it_covers() {
    // The limit of report lines lets each server be reported only every four seconds.
    let settings = settings_with(|o| o.report_lines_per_ms = 0.002);
    let mut fleet = Fleet::new(8, &settings);
    for second in 0..24 {
        fleet.now += 1000.0;
        for server in (0..8).filter(|s| s % 4 == second % 4) {
            let mean_ms = if server == 3 { 1500.0 } else { 200.0 };
            let stats = TryStats {
                server,
                tries: 20.0,
                mean_ms,
                window_ms: 4000.0,
                ..TryStats::default()
            };
            fleet.planner.tries_reported(fleet.now, &stats);
        }
        fleet.input(|_, _| ());
    }
    assert!(fleet.weight(3) < 0.7, "{:?}", fleet.notes);
    assert!((0..8).filter(|s| *s != 3).all(|s| fleet.weight(s) == 1.0));
}

#[test]
fn a_zone_of_cold_servers_keeps_only_the_load_that_it_can_take() {
    // All servers of a zone restarted: their parts have no warm server to compare with.
    let (mut planner, parts, orders) = large(120, 60, &settings_with_long_queue());
    let back = (0..120).filter(|s| s % 2 == 1);
    let back: Vec<_> = back
        .map(|s| entry(s, AdminState::Ready, Some(900.0)))
        .collect();
    planner.roster_changed(1000.0, RosterUpdate::Changes, &back);
    let more = planner.decide(1000.0);
    assert!(more.lines.iter().all(|l| l.2 <= 0.25), "{:?}", more.lines);
    let away =
        |b: &&(usize, usize)| b.0 % 2 == 1 && parts[0..].iter().step_by(2).any(|p| *p == b.1);
    let left = more.bindings.iter().filter(away).count();
    assert!(left * 3 > orders.bindings.len());
}

#[test]
fn reductions_may_exceed_the_ejection_limit_without_strain() {
    let mut fleet = Fleet::healthy();
    let slow = |s: usize| Some((10.0, 0.0, if s < 5 { 900.0 } else { 200.0 }));
    fleet.run(12, |s, _| slow(s).filter(|_| s < 8));
    let lost = 8.0 - (0..8).map(|s| fleet.weight(s)).sum::<f64>();
    assert!(lost > 0.35 * 8.0, "{lost}");
}

#[test]
fn admission_is_not_lowered_while_a_backlog_drains() {
    let settings = settings_with(|o| o.admission = Admission::Share);
    let mut fleet = Fleet::new(8, &settings);
    fleet.run(6, |s, _| HEALTHY.filter(|_| s < 8));
    fleet.run(30, |s, _| Some((1.0, 0.0, 3000.0)).filter(|_| s < 8));
    assert_eq!(fleet.levels.get(&1).map(|l| l.0), Some(1.0));
}

#[test]
fn a_cold_server_with_a_slow_probe_has_no_weight_for_a_while() {
    let mut fleet = Fleet::healthy();
    fleet.update_roster(
        RosterUpdate::Changes,
        &[entry(3, AdminState::Ready, Some(1e6))],
    );
    assert!(fleet.weight(3) > 0.0 && fleet.probed.contains(&3));
    fleet.input(|p, now| p.probe_answered(now, 3, false, 250.0));
    assert_eq!(fleet.weight(3), 0.0);
    fleet.run(8, one_differs(3, None, HEALTHY));
    assert!(fleet.weight(3) > 0.0);
}

#[test]
fn messages_count_across_a_reconnect_of_the_proxy() {
    let settings = settings_with(|o| o.max_messages = 10.0);
    let mut fleet = Fleet::new(6, &settings);
    fleet.messages = 0;
    for round in 0..40 {
        fleet.now += 200.0;
        // Half-way all proxies leave and join again, as when their streams break.
        if round == 20 {
            let (before, now) = (fleet.messages, fleet.now);
            fleet.input(|p, _| (0..4).for_each(|proxy| p.proxy_left(proxy)));
            fleet.input(|p, _| (0..4).for_each(|i| p.proxy_joined(i, i % 2, VISITS_PER_MS)));
            assert!(before > 2 && now < 1e6 + 10_000.0);
        }
        let admin_state = [AdminState::Gone, AdminState::Ready][round % 2];
        let flaps = entry(round % 5, admin_state, Some(fleet.now));
        fleet.update_roster(RosterUpdate::Changes, &[flaps]);
    }
    assert!(fleet.messages <= 10, "{}", fleet.messages);
}

/// A controller of zone 0: all its proxies are in that zone, and it may not probe. Proxies of zone 1
/// belong to other controllers. Both zones have parts of the table.
struct ZoneController {
    planner: Planner,
    parts: Vec<usize>,
    now: f64,
    bound: BTreeMap<usize, usize>,
    notes: Vec<String>,
}

impl ZoneController {
    fn new() -> ZoneController {
        ZoneController::with_probes(false)
    }

    /// A controller that may probe servers, or may not.
    fn with_probes(may_probe: bool) -> ZoneController {
        let settings = settings_with(|o| (o.may_probe, o.max_queued_lines) = (may_probe, 1e6));
        let mut planner = Planner::new(0.0, 7, &settings);
        planner.roster_changed(0.0, RosterUpdate::Restored, &ready_servers(120));
        (0..60).for_each(|p| planner.proxy_joined(p, 0, 0.002));
        let mut controller = ZoneController {
            planner,
            parts: vec![usize::MAX; 120],
            now: 0.0,
            bound: BTreeMap::new(),
            notes: Vec::new(),
        };
        controller.decide();
        controller
    }

    fn decide(&mut self) {
        let orders = self.planner.decide(self.now);
        orders.lines.iter().for_each(|l| self.parts[l.1] = l.0);
        self.bound.extend(orders.bindings);
        self.notes.extend(orders.notes);
        (0..60).for_each(|p| {
            self.planner
                .orders_applied(p, orders.mark.unwrap_or_default())
        });
    }

    /// Lets seconds pass. Each second, servers that proxies are bound to are reported as `report` gives it
    /// for their zone.
    fn run(&mut self, seconds: usize, report: impl Fn(usize) -> Report) {
        for _ in 0..seconds {
            self.now += 1000.0;
            for server in 0..120 {
                let used = self.bound.values().any(|part| *part == self.parts[server]);
                if let Some((tries, failed, mean_ms)) = report(server % 2).filter(|_| used) {
                    let stats = TryStats {
                        zone: 0,
                        server,
                        tries,
                        failed,
                        mean_ms,
                        window_ms: 1000.0,
                    };
                    self.planner.tries_reported(self.now, &stats);
                }
            }
            self.decide();
        }
    }

    /// Ends a probe of each server of zone 1.
    fn answer_probes(&mut self, healthy: bool) {
        for server in (1..120).step_by(2) {
            self.planner.probe_answered(self.now, server, healthy, 1.0);
        }
        self.decide();
    }

    /// Proxies that are bound to servers of zone 1.
    fn bound_elsewhere(&self) -> usize {
        let away = |part: &&usize| (1..120).step_by(2).any(|s| self.parts[s] == **part);
        self.bound.values().filter(away).count()
    }
}

#[test]
fn an_unreachable_zone_is_tried_with_visits_where_probes_are_not_allowed() {
    const OVERLOADED: Report = Some((10.0, 0.0, 900.0));
    const FAILING: Report = Some((10.0, 10.0, 0.0));
    type Case = (
        &'static str,
        Report,
        Report,
        std::ops::RangeInclusive<usize>,
    );
    let cases: [Case; 3] = [
        ("own zone is healthy", HEALTHY, HEALTHY, 0..=0),
        (
            "own zone is overloaded, the other zone is not",
            OVERLOADED,
            HEALTHY,
            20..=50,
        ),
        (
            "own zone is overloaded, the other zone is cut off",
            OVERLOADED,
            FAILING,
            0..=0,
        ),
    ];
    for (case, own, other, expected) in cases {
        let mut controller = ZoneController::new();
        controller.run(9, |zone| [own, other][zone]);
        assert_eq!(
            controller.bound_elsewhere(),
            0,
            "{case}: not before the time of a ramp"
        );
        controller.run(8, |zone| [own, other][zone]);
        let notes = controller.notes.iter().filter(|n| n.starts_with("zone"));
        let (elsewhere, notes) = (controller.bound_elsewhere(), notes.collect::<Vec<_>>());
        assert!(
            expected.contains(&elsewhere),
            "{case}: {elsewhere} {notes:?}"
        );
        assert!(notes.len() <= 3, "{case}: zones do not flap: {notes:?}");
    }
}

/// Guards against proxies that are left without a server while another zone has warm ones: where probes
/// are allowed, the zone was reopened and closed again in each decision.
#[test]
fn a_zone_without_proxies_is_used_once_all_servers_of_the_own_zone_have_left() {
    for (may_probe, answers, elsewhere) in [(true, true, 60), (false, false, 60)] {
        let case = format!("may probe {may_probe}, answers {answers}");
        let mut controller = ZoneController::with_probes(may_probe);
        for _ in 0..6 {
            controller.run(1, |_| HEALTHY);
            controller.answer_probes(answers);
        }
        let notes = &controller.notes;
        assert_eq!(notes.len(), 1, "{case}: zones do not flap: {notes:?}");
        assert_eq!(controller.bound_elsewhere(), 0, "{case}: not needed yet");
        let drains = (0..60).map(|s| entry(2 * s, AdminState::Draining, None));
        let drains: Vec<_> = drains.collect();
        let (planner, now) = (&mut controller.planner, controller.now);
        planner.roster_changed(now, RosterUpdate::Changes, &drains);
        controller.decide();
        assert_eq!(controller.bound_elsewhere(), elsewhere, "{case}: at once");
        for _ in 0..6 {
            controller.run(1, |_| HEALTHY);
            controller.answer_probes(answers);
        }
        let (now_elsewhere, notes) = (controller.bound_elsewhere(), &controller.notes);
        assert_eq!(now_elsewhere, elsewhere, "{case}: {notes:?}");
        assert!(notes.len() <= 2, "{case}: zones do not flap: {notes:?}");
    }
}

/// Guards against proxies that are left without a server while the roster has warm ones: those of a zone
/// that counts as unreachable were left out even if there were no others.
#[test]
fn proxies_are_bound_to_an_unreachable_zone_rather_than_to_no_server() {
    let mut controller = ZoneController::with_probes(true);
    controller.run(4, |_| HEALTHY);
    let states = [
        (AdminState::Draining, 60, "no other server is left"),
        (AdminState::Ready, 0, "there are others again"),
    ];
    for (admin_state, elsewhere, case) in states {
        let own_zone = (0..60).map(|s| entry(2 * s, admin_state, None));
        let own_zone: Vec<_> = own_zone.collect();
        let (planner, now) = (&mut controller.planner, controller.now);
        planner.roster_changed(now, RosterUpdate::Changes, &own_zone);
        for _ in 0..6 {
            controller.run(1, |zone| HEALTHY.filter(|_| zone == 0));
            controller.answer_probes(false);
        }
        let bound = controller.bound_elsewhere();
        assert_eq!(bound, elsewhere, "{case}: {:?}", controller.notes);
    }
}

#[test]
fn proxies_of_a_lost_zone_stay_elsewhere_while_few_servers_return() {
    let mut controller = ZoneController::new();
    controller.run(4, |_| HEALTHY);
    let zone_entry = |admin_state, started| move |s: usize| entry(2 * s, admin_state, started);
    let gone: Vec<RosterEntry> = (0..60).map(zone_entry(AdminState::Gone, None)).collect();
    controller
        .planner
        .roster_changed(controller.now, RosterUpdate::Changes, &gone);
    controller.decide();
    assert_eq!(controller.bound_elsewhere(), 60, "{:?}", controller.notes);
    // Four of them return, cold: they can't take the visits of all proxies.
    let first: Vec<RosterEntry> = (0..4)
        .map(zone_entry(AdminState::Ready, Some(controller.now)))
        .collect();
    controller
        .planner
        .roster_changed(controller.now, RosterUpdate::Changes, &first);
    controller.decide();
    assert!(
        controller.bound_elsewhere() > 50,
        "{} {:?}",
        controller.bound_elsewhere(),
        controller.notes
    );
}

#[test]
fn a_part_at_its_message_limit_delays_no_other_and_can_still_be_left() {
    let settings = settings_with(|o| (o.max_messages, o.max_queued_lines) = (14.0, 1e6));
    let (mut planner, parts, orders) = large(120, 60, &settings);
    let mut bound: BTreeMap<usize, usize> = orders.bindings.iter().copied().collect();
    let in_zone = (0..120).filter(|s| s % 2 == 0);
    let in_part: Vec<usize> = in_zone.filter(|s| parts[*s] == parts[0]).collect();
    let mut mark = orders.mark;
    let mut step = |planner: &mut Planner, now: f64, roster: &[RosterEntry]| {
        (0..60).for_each(|p| planner.orders_applied(p, mark.unwrap_or(0)));
        planner.roster_changed(now, RosterUpdate::Changes, roster);
        let orders = planner.decide(now);
        mark = orders.mark.or(mark);
        orders
    };
    // One server of a part flaps: the part's proxies get ordinary messages up to their limit.
    let mut written = 0;
    for round in 0..30 {
        let admin_state = [AdminState::Gone, AdminState::Ready][round % 2];
        let now = 100.0 * (1 + round) as f64;
        let orders = step(
            &mut planner,
            now,
            &[entry(in_part[0], admin_state, Some(now))],
        );
        written += usize::from(!orders.withdrawals.is_empty() || !orders.lines.is_empty());
        bound.extend(orders.bindings);
    }
    assert!((7..=13).contains(&written), "{written}");
    // A server of another part restarts: its weight drops at once.
    let other = (0..120).find(|s| parts[*s] != parts[0]).unwrap();
    let orders = step(
        &mut planner,
        3100.0,
        &[entry(other, AdminState::Ready, Some(3100.0))],
    );
    assert!(
        orders.lines.iter().any(|l| l.1 == other && l.2 < 0.5),
        "{:?}",
        orders.lines
    );
    bound.extend(orders.bindings);
    // Most of the part drains: its proxies are moved although they were sent many messages.
    let drains: Vec<RosterEntry> = in_part[1..]
        .iter()
        .map(|s| entry(*s, AdminState::Draining, None))
        .collect();
    let before = bound.values().filter(|part| **part == parts[0]).count();
    let orders = step(&mut planner, 3200.0, &drains);
    assert_eq!(orders.withdrawals.len(), drains.len());
    bound.extend(orders.bindings);
    let orders = step(&mut planner, 3400.0, &[]);
    bound.extend(orders.bindings);
    let left = bound.values().filter(|part| **part == parts[0]).count();
    assert!(before > 1 && left <= 1, "{before} {left}");
}
