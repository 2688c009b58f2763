//! Tests of the planner: events and reports go in, the orders that come out are checked.

use dahliapoint::rules::Planner;
use dahliapoint::{
    AdminState, Admission, Class, Orders, PlannerSettings, RetryPolicy, RosterEntry, RosterUpdate,
    TryStats,
};
use std::collections::BTreeMap;

fn opening() -> PlannerSettings {
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
        report_interval_ms: 1000.0,
        report_lines_per_ms: 0.1,
        cold_capacity_share: 0.2,
        warm_up_ms: 16_000.0,
        overload_multiple: 3.0,
        keep_unlisted_servers: false,
        default_retry_policy: RetryPolicy::Never,
        may_probe: true,
        must_request_roster: false,
        sharded: false,
    }
}

fn but(change: impl FnOnce(&mut PlannerSettings)) -> PlannerSettings {
    let mut told = opening();
    change(&mut told);
    told
}

/// Reported at a server within a second: tries, failed tries and mean time; none without a report.
type Seen = Option<(f64, f64, f64)>;

/// Reports of one server, and of the others of the first eight, for both zones.
fn one(odd: usize, seen: Seen, others: Seen) -> impl Fn(usize, usize) -> Seen {
    move |s, _| {
        if s == odd {
            seen
        } else {
            others.filter(|_| s < 8)
        }
    }
}

fn ready(servers: usize) -> Vec<RosterEntry> {
    let servers = 0..servers;
    servers
        .map(|s| listed(s, AdminState::Ready, None))
        .collect()
}

/// A planner, and the state of four proxies that receive and acknowledge every order.
struct Fleet {
    planner: Planner,
    now: f64,
    table: BTreeMap<usize, f64>,
    out: BTreeMap<usize, bool>,
    bound: Vec<usize>,
    levels: BTreeMap<usize, (f64, RetryPolicy)>,
    probed: Vec<usize>,
    messages: usize,
    notes: Vec<String>,
}

fn listed(server: usize, admin_state: AdminState, started_ms: Option<f64>) -> RosterEntry {
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
    fn of(servers: usize, told: &PlannerSettings) -> Fleet {
        let mut fleet = Fleet::bare(told);
        fleet.list(RosterUpdate::Restored, &ready(servers));
        for proxy in 0..4 {
            fleet.tell(|p, _| p.proxy_joined(proxy, proxy % 2, PACE));
        }
        fleet
    }

    /// Eight servers that have worked well for some time.
    fn warm() -> Fleet {
        let mut fleet = Fleet::of(8, &opening());
        fleet.pass(4, |s, _| WELL.filter(|_| s < 8));
        fleet
    }

    /// A fleet without servers and proxies.
    fn bare(told: &PlannerSettings) -> Fleet {
        Fleet {
            planner: Planner::new(1e6, 7, told),
            now: 1e6,
            table: BTreeMap::new(),
            out: BTreeMap::new(),
            bound: Vec::new(),
            levels: BTreeMap::new(),
            probed: Vec::new(),
            messages: 0,
            notes: Vec::new(),
        }
    }

    /// Passes events to the planner, carries out the resulting orders and acknowledges them.
    fn tell(&mut self, call: impl FnOnce(&mut Planner, f64)) {
        call(&mut self.planner, self.now);
        let orders = self.planner.decide(self.now);
        self.messages += usize::from(orders.mark.is_some());
        self.table.extend(orders.lines.iter().map(|l| (l.1, l.2)));
        let levels = orders.levels.iter().map(|l| (l.1, (l.2, l.3)));
        self.levels.extend(levels);
        self.out.extend(orders.withdrawals);
        self.bound.extend(orders.bindings.iter().map(|b| b.0));
        self.probed.extend(orders.probes);
        self.notes.extend(orders.notes);
        for proxy in 0..4 {
            if let Some(mark) = orders.mark {
                self.planner.orders_applied(proxy, mark);
                let more = self.planner.decide(self.now);
                assert_eq!(more.lines, vec![], "an answer alone changes no line");
            }
        }
    }

    fn list(&mut self, extent: RosterUpdate, roster: &[RosterEntry]) {
        self.tell(|p, now| p.roster_changed(now, extent, roster));
    }

    /// Lets seconds pass. Each second, reports arrive as `seen` gives them for a server and a zone.
    fn pass(&mut self, seconds: usize, seen: impl Fn(usize, usize) -> Option<(f64, f64, f64)>) {
        for _ in 0..seconds {
            self.now += 1000.0;
            for server in 0..12 {
                for zone in 0..2 {
                    if let Some((tries, failed, mean_ms)) = seen(server, zone) {
                        let met = TryStats {
                            zone,
                            server,
                            tries,
                            failed,
                            mean_ms,
                            window_ms: 1000.0,
                        };
                        self.planner.tries_reported(self.now, &met);
                    }
                }
            }
            self.tell(|_, _| ());
        }
    }

    fn line(&self, server: usize) -> f64 {
        let out = self.out.get(&server).copied().unwrap_or(false);
        let line = self.table.get(&server).copied().unwrap_or(0.0);
        if out { 0.0 } else { line }
    }
}

const PACE: f64 = 0.02;
const WELL: Option<(f64, f64, f64)> = Some((10.0, 0.0, 200.0));

#[test]
fn admin_state_follows_the_list() {
    let now = 1e6;
    let cases = [
        ("draining", AdminState::Draining, None, 0.0, true),
        ("gone", AdminState::Gone, None, 0.0, true),
        ("ready as before", AdminState::Ready, None, 1.0, false),
        ("started anew", AdminState::Ready, Some(now), 0.06, false),
    ];
    for (case, admin_state, started, line, out) in cases {
        let mut fleet = Fleet::of(6, &opening());
        fleet.list(RosterUpdate::Changes, &[listed(2, admin_state, started)]);
        assert!((fleet.line(2) - line).abs() < 0.001, "{case}");
        assert_eq!(fleet.out.get(&2).copied().unwrap_or(false), out, "{case}");
        assert_eq!(fleet.line(3), 1.0, "{case}: the others stay");
    }
}

#[test]
fn a_server_dropped_from_a_whole_list_is_withdrawn_unless_it_may_stay() {
    for may_stay in [false, true] {
        let told = but(|o| o.keep_unlisted_servers = may_stay);
        let mut fleet = Fleet::of(3, &told);
        fleet.list(RosterUpdate::Snapshot, &ready(2));
        assert_eq!(fleet.line(2) == 1.0, may_stay);
        fleet.list(
            RosterUpdate::Changes,
            &[listed(0, AdminState::Draining, None)],
        );
        assert_eq!(fleet.line(0), 0.0, "a drain binds in either case");
    }
}

#[test]
fn a_return_ramps_from_a_tenth_and_flapping_regains_nothing() {
    let mut fleet = Fleet::of(6, &opening());
    fleet.pass(4, |s, _| WELL.filter(|_| s < 6));
    let mut before = 0.0;
    for _ in 0..3 {
        fleet.list(RosterUpdate::Changes, &[listed(0, AdminState::Gone, None)]);
        let back = listed(0, AdminState::Ready, Some(fleet.now));
        fleet.list(RosterUpdate::Changes, &[back]);
        fleet.pass(2, |s, _| WELL.filter(|_| s < 6));
        assert!(fleet.line(0) > 0.0 && fleet.line(0) < 0.35);
        before = fleet.line(0);
    }
    fleet.pass(16, |s, _| WELL.filter(|_| s < 6));
    assert!(before < fleet.line(0) && fleet.line(0) == 1.0);
}

#[test]
fn a_restarted_controller_takes_a_recent_start_for_cold_and_sends_drains_again() {
    let mut fleet = Fleet::bare(&opening());
    let cold = listed(0, AdminState::Ready, Some(fleet.now - 10_000.0));
    let old = [1, 2, 3].map(|s| listed(s, AdminState::Ready, Some(1000.0)));
    let drains = listed(4, AdminState::Draining, None);
    fleet.list(
        RosterUpdate::Restored,
        &[cold, old[0], old[1], old[2], drains],
    );
    fleet.tell(|p, _| p.proxy_joined(0, 0, PACE));
    assert!(fleet.line(0) < 0.3 && fleet.line(1) == 1.0);
    assert_eq!(fleet.out.get(&4), Some(&true));
    assert_eq!(fleet.bound, vec![0]);
}

#[test]
fn no_proxy_is_left_bare() {
    let mut fleet = Fleet::of(2, &opening());
    fleet.list(
        RosterUpdate::Changes,
        &[listed(0, AdminState::Draining, None)],
    );
    fleet.pass(8, |s, _| (s == 1).then_some((10.0, 10.0, 0.0)));
    assert!(fleet.line(1) > 0.0);
    let fresh = listed(5, AdminState::Ready, Some(fleet.now));
    fleet.list(
        RosterUpdate::Changes,
        &[fresh, listed(1, AdminState::Gone, None)],
    );
    assert!(fleet.line(5) > 0.0);
    let empty = Fleet::of(0, &opening());
    assert!(empty.bound.is_empty());
}

#[test]
fn evidence_moves_the_line_of_the_guilty_only() {
    type Case = (&'static str, (f64, f64, f64), std::ops::RangeInclusive<f64>);
    let cases: [Case; 5] = [
        ("fails fast", (10.0, 7.0, 50.0), 0.0..=0.0),
        ("all time out", (10.0, 10.0, 0.0), 0.0..=0.0),
        ("slow", (10.0, 0.0, 1500.0), 0.05..=0.7),
        ("slow and failing", (10.0, 6.0, 1500.0), 0.05..=0.7),
        ("a failure now and then", (10.0, 1.0, 220.0), 1.0..=1.0),
    ];
    for (case, seen, right) in cases {
        let mut fleet = Fleet::warm();
        fleet.pass(6, one(3, Some(seen), WELL));
        assert!(right.contains(&fleet.line(3)), "{case}: {:?}", fleet.notes);
        assert!((0..8).filter(|s| *s != 3).all(|s| fleet.line(s) == 1.0));
    }
}

#[test]
fn evidence_against_most_of_the_fleet_is_not_a_fault_of_each() {
    let cases = [
        ("all slow", (10.0, 0.0, 1500.0)),
        ("all failing", (10.0, 9.0, 300.0)),
        ("none answers", (10.0, 10.0, 0.0)),
    ];
    for (case, seen) in cases {
        let mut fleet = Fleet::warm();
        fleet.pass(8, |s, _| Some(seen).filter(|_| s < 8));
        let lost = 8.0 - (0..8).map(|s| fleet.line(s)).sum::<f64>();
        assert!(lost <= 0.35 * 8.0, "{case}: {lost} of 8 taken away");
    }
}

#[test]
fn an_overloaded_server_that_no_longer_answers_is_trimmed_on() {
    let mut fleet = Fleet::warm();
    for seen in [(10.0, 6.0, 1500.0), (10.0, 10.0, 0.0)] {
        fleet.pass(7, one(3, Some(seen), WELL));
    }
    assert!(fleet.line(3) < 0.3, "{:?}", fleet.notes);
}

#[test]
fn in_a_strained_fleet_only_what_answers_nothing_is_put_out() {
    for (seen, out) in [((10.0, 10.0, 0.0), true), ((10.0, 6.0, 100.0), false)] {
        let mut fleet = Fleet::warm();
        let slump = Some((10.0, 0.0, 600.0));
        fleet.pass(4, |s, _| slump.filter(|_| s < 8));
        fleet.pass(4, one(3, Some(seen), slump));
        assert_eq!(fleet.line(3) == 0.0, out, "{:?}", fleet.notes);
    }
}

#[test]
fn failures_seen_from_one_zone_only_point_to_a_link() {
    let mut fleet = Fleet::warm();
    // Server 3 fails for zone 0 and does well for zone 1.
    let link = |s, zone| {
        one(
            3,
            Some((10.0, 10.0, 0.0)).filter(|_| zone == 0).or(WELL),
            WELL,
        )(s, zone)
    };
    fleet.pass(4, link);
    assert_eq!(fleet.line(3), 1.0);
}

#[test]
fn a_cut_zone_leaves_and_comes_back_as_one() {
    let mut fleet = Fleet::warm();
    for proxy in [1, 3] {
        fleet.tell(|p, _| p.proxy_left(proxy));
    }
    let near = |s: usize, zone: usize| WELL.filter(|_| s < 8 && s.is_multiple_of(2) && zone == 0);
    fleet.pass(4, near);
    assert!([1, 3, 5, 7].iter().all(|s| fleet.line(*s) == 0.0));
    assert!([0, 2, 4, 6].iter().all(|s| fleet.line(*s) == 1.0));
    assert!(fleet.probed.contains(&1), "the far servers are asked");
    fleet.tell(|p, _| p.proxy_joined(1, 1, PACE));
    assert!((0..8).all(|s| fleet.line(s) == 1.0));
}

#[test]
fn silence_is_not_health_and_an_answer_leads_to_the_ramp() {
    for answers in [false, true] {
        let mut fleet = Fleet::warm();
        fleet.pass(3, one(3, Some((10.0, 10.0, 0.0)), WELL));
        assert_eq!(fleet.line(3), 0.0);
        assert!(fleet.probed.contains(&3));
        fleet.tell(|p, now| p.probe_answered(now, 3, answers, 9.0));
        fleet.pass(5, one(3, None, WELL));
        assert_eq!(fleet.line(3) > 0.0, answers);
        assert!(fleet.line(3) < 0.5, "through the ramp");
    }
}

#[test]
fn a_cold_server_in_a_jam_is_kept_within_a_budget() {
    // A server returned while most tries in the fleet failed and clients retried.
    let mut fleet = Fleet::of(8, &opening());
    fleet.pass(6, |s, _| WELL.filter(|_| s < 8));
    fleet.list(RosterUpdate::Changes, &[listed(0, AdminState::Gone, None)]);
    let jam = |s, z| one(0, None, Some((30.0, 27.0, 1800.0)))(s, z);
    fleet.pass(4, jam);
    let back = listed(0, AdminState::Ready, Some(fleet.now));
    fleet.list(RosterUpdate::Changes, &[back]);
    for _ in 0..6 {
        fleet.pass(2, jam);
        let sum: f64 = (0..8).map(|s| fleet.line(s)).sum();
        assert!(fleet.line(0) / sum < 0.02, "{} of {sum}", fleet.line(0));
    }
    fleet.pass(8, jam);
    assert!(fleet.line(0) > 0.5, "warm by then");
}

#[test]
fn a_cold_server_that_is_sent_little_grows_in_overload() {
    // Case behind it: four servers restarted at once; the others were overloaded and answered late, but
    // answered.
    let mut fleet = Fleet::of(8, &opening());
    fleet.pass(6, |s, _| WELL.filter(|_| s < 8));
    let back = listed(0, AdminState::Ready, Some(fleet.now));
    fleet.list(RosterUpdate::Changes, &[back]);
    fleet.pass(4, one(0, Some((1.0, 0.0, 300.0)), Some((30.0, 2.0, 950.0))));
    assert!(fleet.line(0) > 0.25, "{}", fleet.line(0));
}

#[test]
fn further_tries_follow_proof_only_and_levels_spare_the_dear() {
    for admission in [Admission::Unused, Admission::Share] {
        let told = but(|o| o.admission = admission);
        let mut fleet = Fleet::of(8, &told);
        fleet.pass(10, |s, _| Some((10.0, 4.0, 1500.0)).filter(|_| s < 8));
        assert!(fleet.levels.values().all(|l| l.1 == RetryPolicy::OnProof));
        let (cheap, dear) = (fleet.levels[&0].0, fleet.levels[&1].0);
        if admission == Admission::Share {
            assert!(cheap < dear && dear < 1.0, "{cheap} {dear}");
            fleet.pass(30, |s, _| WELL.filter(|_| s < 8));
            assert_eq!((fleet.levels[&0].0, fleet.levels[&1].0), (1.0, 1.0));
        } else {
            assert_eq!((cheap, dear), (1.0, 1.0));
        }
    }
}

#[test]
fn pacing_keeps_the_queue_and_the_messages_short() {
    // No proxy acknowledges anything: only half of the queue is used.
    let told = but(|o| o.max_queued_lines = 300.0);
    let mut planner = Planner::new(0.0, 1, &told);
    planner.roster_changed(0.0, RosterUpdate::Restored, &ready(10));
    let mut binds = Vec::new();
    for proxy in 0..20 {
        planner.proxy_joined(proxy, 0, PACE);
        binds.extend(planner.decide(1.0).bindings);
    }
    assert!(!binds.is_empty() && binds.len() * 17 <= 150, "{binds:?}");
    // With a limit of messages per proxy, a flapping server does not use them all up.
    let told = but(|o| o.max_messages = 10.0);
    let mut fleet = Fleet::of(6, &told);
    fleet.messages = 0;
    for round in 0..40 {
        fleet.now += 200.0;
        let admin_state = [AdminState::Gone, AdminState::Ready][round % 2];
        let flaps = listed(round % 5, admin_state, Some(fleet.now));
        fleet.list(RosterUpdate::Changes, &[flaps]);
    }
    assert!(fleet.messages <= 10);
}

#[test]
fn odd_input_is_taken_calmly() {
    let mut fleet = Fleet::bare(&but(|o| o.classes = vec![]));
    fleet.tell(|p, _| p.proxy_left(9));
    fleet.tell(|p, _| p.orders_applied(9, 3));
    fleet.pass(3, |s, _| WELL.filter(|_| s == 11));
    assert!(fleet.table.is_empty(), "no list named that server");
    let mut weightless = listed(0, AdminState::Ready, None);
    weightless.weight = 0.0;
    fleet.list(RosterUpdate::Snapshot, &[weightless]);
    fleet.tell(|p, _| p.proxy_joined(1, 0, PACE));
    assert!(fleet.line(0) > 0.0, "a weight of 0 is no weight listed");
    fleet.tell(|p, _| p.proxy_joined(1, 0, PACE));
    assert_eq!(fleet.bound, vec![1, 1], "joined twice, bound anew");
}

#[test]
fn the_list_is_asked_for_where_it_must_be_and_again_when_lost() {
    let mut fleet = Fleet::bare(&but(|o| o.must_request_roster = true));
    assert!(fleet.planner.decide(fleet.now).request_roster);
    assert!(!fleet.planner.decide(fleet.now + 1.0).request_roster);
    fleet.planner.roster_lost(fleet.now + 2.0);
    assert!(fleet.planner.decide(fleet.now + 4000.0).request_roster);
}

/// A planner with this number of servers and proxies, in alternating zones, and few visits per proxy;
/// the part of each server; and the first orders.
fn large(servers: usize, proxies: usize, told: &PlannerSettings) -> (Planner, Vec<usize>, Orders) {
    let mut planner = Planner::new(0.0, 7, told);
    planner.roster_changed(0.0, RosterUpdate::Restored, &ready(servers));
    (0..proxies).for_each(|p| planner.proxy_joined(p, p % 2, 0.002));
    let orders = planner.decide(0.0);
    let mut parts = vec![usize::MAX; servers];
    orders.lines.iter().for_each(|l| parts[l.1] = l.0);
    (planner, parts, orders)
}

fn roomy() -> PlannerSettings {
    but(|o| o.max_queued_lines = 1e6)
}

#[test]
fn at_size_the_table_is_in_parts_of_one_zone_and_an_empty_one_is_left() {
    let (mut planner, parts, orders) = large(120, 60, &roomy());
    let many = 1 + parts.iter().max().unwrap();
    assert!(many > 3 && parts.iter().all(|p| *p < many), "{parts:?}");
    for (proxy, part) in &orders.bindings {
        let servers = (0..120).filter(|s| parts[*s] == *part);
        assert!(servers.clone().all(|s| s % 2 == proxy % 2), "at home");
        assert_eq!(orders.bindings.iter().filter(|b| b.0 == *proxy).count(), 1);
        assert!(servers.count() >= 4);
    }
    assert_eq!(orders.bindings.len(), 60);
    // All servers of one part are gone: its proxies are bound to other parts at once.
    let gone = (0..120).filter(|s| parts[*s] == 0);
    let gone: Vec<_> = gone.map(|s| listed(s, AdminState::Gone, None)).collect();
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
fn parts_hold_half_of_what_a_proxy_draws_for_itself() {
    // With few visits per proxy and an unsplit table, nearly every visit opened a connection.
    for (initial, least, most) in [(10.0, 4, 6), (24.0, 7, 8)] {
        let told = but(|o| (o.initial_servers, o.max_queued_lines) = (initial, 1e6));
        let (_, parts, _) = large(30, 60, &told);
        for part in &parts {
            let many = parts.iter().filter(|p| *p == part).count();
            assert!((least..=most).contains(&many), "{initial}: {parts:?}");
        }
    }
}

#[test]
fn few_visits_are_enough_where_the_verdict_is_clear() {
    type Case = (&'static str, (f64, f64, f64), std::ops::RangeInclusive<f64>);
    // A controller that sees only a part of few visits: 5 tries in the recent time.
    let cases: [Case; 5] = [
        ("answers nothing", (1.7, 1.7, 0.0), 0.0..=0.0),
        ("far too slow", (1.7, 0.0, 2500.0), 0.05..=0.7),
        ("slow, but less clearly", (1.7, 0.0, 700.0), 1.0..=1.0),
        ("fails now and then", (1.7, 0.6, 200.0), 1.0..=1.0),
        ("next to nothing met", (0.6, 0.6, 0.0), 1.0..=1.0),
    ];
    for (case, seen, right) in cases {
        let mut fleet = Fleet::warm();
        let here = |seen: Seen| move |s, z| seen.filter(|_| z == 0).filter(|_| s < 8);
        let others = here(Some((5.0, 0.0, 200.0)));
        fleet.pass(6, |s, z| {
            if s == 3 {
                here(Some(seen))(s, z)
            } else {
                others(s, z)
            }
        });
        assert!(
            right.contains(&fleet.line(3)),
            "{case}: {} {:?}",
            fleet.line(3),
            fleet.notes
        );
    }
}

#[test]
fn proxies_that_left_just_now_leave_no_idle_part_to_move_to() {
    // A zone is being cut off: its proxies leave one by one before anything else is reported.
    let moved = |later: f64| {
        let (mut planner, _, orders) = large(120, 60, &roomy());
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
fn bindings_are_paid_singly_and_drains_keep_a_reserve() {
    // In a large fleet no proxy was ever bound, and withdrawals found the queue full of other lines.
    let most_waiting = 500.0;
    let told = but(|o| o.max_queued_lines = most_waiting);
    let (mut planner, _, first) = large(120, 60, &told);
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
        .map(|s| listed(s, AdminState::Ready, Some(7e3)))
        .collect();
    planner.roster_changed(7e3, RosterUpdate::Changes, &back);
    planner.decide(7e3);
    planner.roster_changed(
        7001.0,
        RosterUpdate::Changes,
        &[listed(90, AdminState::Draining, None)],
    );
    assert_eq!(planner.decide(7001.0).withdrawals, vec![(90, true)]);
}

#[test]
fn a_line_that_waited_its_turn_counts_over_the_stretch_it_covers() {
    // The limit of report lines lets each server be reported only every four seconds.
    let told = but(|o| o.report_lines_per_ms = 0.002);
    let mut fleet = Fleet::of(8, &told);
    for second in 0..24 {
        fleet.now += 1000.0;
        for server in (0..8).filter(|s| s % 4 == second % 4) {
            let mean_ms = if server == 3 { 1500.0 } else { 200.0 };
            let met = TryStats {
                server,
                tries: 20.0,
                mean_ms,
                window_ms: 4000.0,
                ..TryStats::default()
            };
            fleet.planner.tries_reported(fleet.now, &met);
        }
        fleet.tell(|_, _| ());
    }
    assert!(fleet.line(3) < 0.7, "{:?}", fleet.notes);
    assert!((0..8).filter(|s| *s != 3).all(|s| fleet.line(s) == 1.0));
}

#[test]
fn a_whole_cold_zone_is_left_but_for_what_it_can_take() {
    // All servers of a zone restarted: their parts have no warm server to compare with.
    let (mut planner, parts, orders) = large(120, 60, &roomy());
    let back = (0..120).filter(|s| s % 2 == 1);
    let back: Vec<_> = back
        .map(|s| listed(s, AdminState::Ready, Some(900.0)))
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
fn trims_share_the_work_out_beyond_the_cap_but_not_under_strain() {
    let mut fleet = Fleet::warm();
    let slow = |s: usize| Some((10.0, 0.0, if s < 5 { 900.0 } else { 200.0 }));
    fleet.pass(12, |s, _| slow(s).filter(|_| s < 8));
    let lost = 8.0 - (0..8).map(|s| fleet.line(s)).sum::<f64>();
    assert!(lost > 0.35 * 8.0, "{lost}");
}

#[test]
fn no_more_is_refused_while_a_backlog_drains() {
    let told = but(|o| o.admission = Admission::Share);
    let mut fleet = Fleet::of(8, &told);
    fleet.pass(6, |s, _| WELL.filter(|_| s < 8));
    fleet.pass(30, |s, _| Some((1.0, 0.0, 3000.0)).filter(|_| s < 8));
    assert_eq!(fleet.levels.get(&1).map(|l| l.0), Some(1.0));
}

#[test]
fn a_cold_server_that_a_probe_finds_full_has_no_line_for_a_while() {
    let mut fleet = Fleet::warm();
    fleet.list(
        RosterUpdate::Changes,
        &[listed(3, AdminState::Ready, Some(1e6))],
    );
    assert!(fleet.line(3) > 0.0 && fleet.probed.contains(&3));
    fleet.tell(|p, now| p.probe_answered(now, 3, false, 250.0));
    assert_eq!(fleet.line(3), 0.0);
    fleet.pass(8, one(3, None, WELL));
    assert!(fleet.line(3) > 0.0);
}

#[test]
fn messages_written_before_a_proxy_left_and_came_back_still_count() {
    let told = but(|o| o.max_messages = 10.0);
    let mut fleet = Fleet::of(6, &told);
    fleet.messages = 0;
    for round in 0..40 {
        fleet.now += 200.0;
        // Half-way all proxies leave and join again, as when their streams break.
        if round == 20 {
            let (before, now) = (fleet.messages, fleet.now);
            fleet.tell(|p, _| (0..4).for_each(|proxy| p.proxy_left(proxy)));
            fleet.tell(|p, _| (0..4).for_each(|i| p.proxy_joined(i, i % 2, PACE)));
            assert!(before > 2 && now < 1e6 + 10_000.0);
        }
        let admin_state = [AdminState::Gone, AdminState::Ready][round % 2];
        let flaps = listed(round % 5, admin_state, Some(fleet.now));
        fleet.list(RosterUpdate::Changes, &[flaps]);
    }
    assert!(fleet.messages <= 10, "{}", fleet.messages);
}

/// A controller of zone 0: all its proxies are in that zone, and it may not probe. Proxies of zone 1
/// belong to other controllers. Both zones have parts of the table.
struct Homely {
    planner: Planner,
    parts: Vec<usize>,
    now: f64,
    bound: BTreeMap<usize, usize>,
    notes: Vec<String>,
}

impl Homely {
    fn new() -> Homely {
        let told = but(|o| (o.may_probe, o.max_queued_lines) = (false, 1e6));
        let mut planner = Planner::new(0.0, 7, &told);
        planner.roster_changed(0.0, RosterUpdate::Restored, &ready(120));
        (0..60).for_each(|p| planner.proxy_joined(p, 0, 0.002));
        let mut homely = Homely {
            planner,
            parts: vec![usize::MAX; 120],
            now: 0.0,
            bound: BTreeMap::new(),
            notes: Vec::new(),
        };
        homely.decide();
        homely
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

    /// Lets seconds pass. Each second, servers that proxies are bound to are reported as `seen` gives it
    /// for their zone.
    fn pass(&mut self, seconds: usize, seen: impl Fn(usize) -> Seen) {
        for _ in 0..seconds {
            self.now += 1000.0;
            for server in 0..120 {
                let used = self.bound.values().any(|part| *part == self.parts[server]);
                if let Some((tries, failed, mean_ms)) = seen(server % 2).filter(|_| used) {
                    let met = TryStats {
                        zone: 0,
                        server,
                        tries,
                        failed,
                        mean_ms,
                        window_ms: 1000.0,
                    };
                    self.planner.tries_reported(self.now, &met);
                }
            }
            self.decide();
        }
    }

    /// Proxies that are bound to servers of zone 1.
    fn abroad(&self) -> usize {
        let away = |part: &&usize| (1..120).step_by(2).any(|s| self.parts[s] == **part);
        self.bound.values().filter(away).count()
    }
}

#[test]
fn a_zone_that_nobody_may_ask_is_asked_by_visits_in_need() {
    const JAMMED: Seen = Some((10.0, 0.0, 900.0));
    const DEAD: Seen = Some((10.0, 10.0, 0.0));
    type Case = (&'static str, Seen, Seen, std::ops::RangeInclusive<usize>);
    let cases: [Case; 3] = [
        ("home does well", WELL, WELL, 0..=0),
        (
            "home is jammed, the other zone is not",
            JAMMED,
            WELL,
            20..=50,
        ),
        (
            "home is jammed, the other zone is cut off",
            JAMMED,
            DEAD,
            0..=0,
        ),
    ];
    for (case, home, away, wanted) in cases {
        let mut homely = Homely::new();
        homely.pass(9, |zone| [home, away][zone]);
        assert_eq!(homely.abroad(), 0, "{case}: no sooner than a ramp");
        homely.pass(8, |zone| [home, away][zone]);
        let notes = homely.notes.iter().filter(|n| n.starts_with("zone"));
        let (abroad, notes) = (homely.abroad(), notes.collect::<Vec<_>>());
        assert!(wanted.contains(&abroad), "{case}: {abroad} {notes:?}");
        assert!(notes.len() <= 3, "{case}: no verdict flaps: {notes:?}");
    }
}

#[test]
fn proxies_of_a_lost_zone_do_not_wait_for_its_first_servers_to_return() {
    let mut homely = Homely::new();
    homely.pass(4, |_| WELL);
    let home = |admin_state, started| move |s: usize| listed(2 * s, admin_state, started);
    let gone: Vec<RosterEntry> = (0..60).map(home(AdminState::Gone, None)).collect();
    homely
        .planner
        .roster_changed(homely.now, RosterUpdate::Changes, &gone);
    homely.decide();
    assert_eq!(homely.abroad(), 60, "{:?}", homely.notes);
    // Four of them return, cold: they can't take the visits of all proxies.
    let first: Vec<RosterEntry> = (0..4)
        .map(home(AdminState::Ready, Some(homely.now)))
        .collect();
    homely
        .planner
        .roster_changed(homely.now, RosterUpdate::Changes, &first);
    homely.decide();
    assert!(
        homely.abroad() > 50,
        "{} {:?}",
        homely.abroad(),
        homely.notes
    );
}

#[test]
fn a_part_that_was_written_much_holds_up_no_other_and_can_be_left_in_a_jam() {
    let told = but(|o| (o.max_messages, o.max_queued_lines) = (14.0, 1e6));
    let (mut planner, parts, orders) = large(120, 60, &told);
    let mut bound: BTreeMap<usize, usize> = orders.bindings.iter().copied().collect();
    let of = |part: usize| (0..120).filter(move |s| s % 2 == part % 2);
    let mine: Vec<usize> = of(0).filter(|s| parts[*s] == parts[0]).collect();
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
            &[listed(mine[0], admin_state, Some(now))],
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
        &[listed(other, AdminState::Ready, Some(3100.0))],
    );
    assert!(
        orders.lines.iter().any(|l| l.1 == other && l.2 < 0.5),
        "{:?}",
        orders.lines
    );
    bound.extend(orders.bindings);
    // Most of the part drains: its proxies are moved although they were sent many messages.
    let drains: Vec<RosterEntry> = mine[1..]
        .iter()
        .map(|s| listed(*s, AdminState::Draining, None))
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
