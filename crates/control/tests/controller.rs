//! The controller against a model of the proxies that applies what it is sent: single cases and
//! randomized days.

use dahliapoint_control::record::{End, Header, Recorder, encode_outputs, replay};
use dahliapoint_control::{
    AdminState, ClassSettings, Controller, ControllerSettings, Input, LineState, LoadReport,
    Output, ReportLine, RetryPolicy, RosterEntry, Scope, Session,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> ControllerSettings {
    let class = |name: &str, earnings| ClassSettings {
        name: name.into(),
        soft_limit_ms: 1000.0,
        earnings,
        idempotent: false,
    };
    ControllerSettings {
        service: "portal".into(),
        zones: vec!["east".into(), "west".into()],
        classes: vec![class("view", 1.0), class("set", 2.0)],
        admission_control: true,
        max_queued_lines: 5_000.0,
        lines_per_s: 10_000.0,
        message_latency_ms: 20.0,
        message_overhead_lines: 3.0,
        max_messages: 40.0,
        message_window_ms: 10_000.0,
        writes_per_message: 2.0,
        writes_per_join: 4.0,
        idle_timeout_ms: 15_000.0,
        initial_servers: 12.0,
        default_visits_per_s: 20.0,
        report_interval_ms: 500.0,
        report_lines_per_s: 300.0,
        cold_capacity_share: 0.15,
        warm_up_ms: 16_000.0,
        overload_multiple: 3.0,
        drain_grace_ms: 3_000.0,
        keep_unlisted_servers: false,
        default_retry_policy: RetryPolicy::OnProof,
        may_probe: true,
        heartbeat_interval_ms: 1_000.0,
        guard_mode: dahliapoint_control::rollout::GuardMode::Enforce,
    }
}

fn entry(name: &str, state: AdminState) -> RosterEntry {
    RosterEntry {
        name: name.into(),
        address: format!("127.0.0.1:{}", 1000 + name.len()),
        zone: if name.len().is_multiple_of(2) {
            "west"
        } else {
            "east"
        }
        .into(),
        state,
        weight: 1.0,
        started: None,
    }
}

/// What a proxy holds after applying all messages.
#[derive(Clone, Debug, Default, PartialEq)]
struct Held {
    part: Option<usize>,
    lines: BTreeMap<String, (String, LineState)>,
    withdrawn: BTreeSet<String>,
    last: u64,
    answered: u64,
}

struct Day {
    controller: Controller,
    now: f64,
    held: BTreeMap<Session, Held>,
    closed: Vec<Session>,
    probed: Vec<String>,
    notes: Vec<String>,
    answering: bool,
}

impl Day {
    fn new(settings: ControllerSettings) -> Day {
        Day {
            controller: Controller::new(1e6, 7, settings),
            now: 1e6,
            held: BTreeMap::new(),
            closed: Vec::new(),
            probed: Vec::new(),
            notes: Vec::new(),
            answering: true,
        }
    }

    fn send(&mut self, inputs: Vec<Input>) -> Vec<Output> {
        for input in &inputs {
            if let Input::Joined { session, .. } = input {
                self.held.insert(*session, Held::default());
            }
            if let Input::Left(session) = input {
                self.held.remove(session);
            }
        }
        let out = self.controller.handle(self.now, inputs);
        for o in &out {
            match o {
                Output::Write(sessions, m) => {
                    for s in sessions {
                        let held = self
                            .held
                            .get_mut(s)
                            .expect("messages go to joined proxies only");
                        assert!(m.serial > held.last, "serials grow");
                        held.last = m.serial;
                        if let Scope::Snapshot(part) = m.scope {
                            held.lines.clear();
                            held.part = Some(part);
                        }
                        if let Scope::Changes(part) = m.scope {
                            assert_eq!(
                                held.part,
                                Some(part),
                                "changes are of the part that the proxy is bound to"
                            );
                        }
                        for l in &m.lines {
                            let name = l.server.to_string();
                            match (m.scope, l.state) {
                                (Scope::Unbound, LineState::Withdrawn) => {
                                    held.withdrawn.insert(name);
                                }
                                (Scope::Unbound, _) => {
                                    held.withdrawn.remove(&name);
                                }
                                (_, LineState::Removed) => {
                                    held.lines.remove(&name);
                                }
                                (_, state) => {
                                    assert!(l.weight > 0.0);
                                    let line = (format!("{:.6}", l.weight), state);
                                    held.lines.insert(name, line);
                                }
                            }
                        }
                    }
                }
                Output::Close(session, _) => {
                    self.held.remove(session);
                    self.closed.push(*session);
                }
                Output::Probe { server, .. } => self.probed.push(server.clone()),
                Output::Log(note) => self.notes.push(note.clone()),
            }
        }
        out
    }

    /// Lets time pass in steps; proxies answer a message one step later.
    fn run(&mut self, ms: f64, step: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += step;
            let mut inputs = Vec::new();
            for (s, h) in &mut self.held {
                if self.answering && h.answered < h.last {
                    h.answered = h.last;
                    inputs.push(Input::Applied(*s, h.last));
                }
            }
            for server in std::mem::take(&mut self.probed) {
                inputs.push(Input::Probed {
                    server,
                    healthy: true,
                    took_ms: 1.0,
                });
            }
            self.send(inputs);
        }
    }

    fn join(&mut self, session: Session, proxy: &str) {
        let input = Input::Joined {
            session,
            proxy: proxy.into(),
            zone: "east".into(),
            visits_per_s: Some(50.0),
        };
        self.send(vec![input]);
    }

    fn roster(&mut self, servers: &[(&str, AdminState)]) {
        let entries = servers.iter().map(|(n, s)| entry(n, *s)).collect();
        self.send(vec![Input::Roster(entries)]);
    }

    /// Asserts that every bound proxy holds the table of its part.
    fn assert_tables_agree(&self) {
        let view = self.controller.overview();
        for p in &view.proxies {
            let held = &self.held[&p.session];
            assert_eq!(held.part, p.part, "{}", p.name);
            let there = view
                .servers
                .iter()
                .filter(|s| s.part == p.part && s.weight > 0.0);
            let wanted: BTreeMap<_, _> = there
                .map(|s| {
                    let state = match s.withdrawn {
                        true => LineState::Withdrawn,
                        false => LineState::Open,
                    };
                    (s.name.to_string(), (format!("{:.6}", s.weight), state))
                })
                .collect();
            if p.part.is_some() {
                assert_eq!(held.lines, wanted, "{}", p.name);
            }
        }
    }
}

use AdminState::{Draining, Gone, Ready};

fn five_servers() -> Day {
    let mut day = Day::new(settings());
    let names = ["a", "bb", "ccc", "dddd", "eeeee"];
    day.roster(&names.map(|n| (n, Ready)));
    day.join(1, "p1");
    day.join(2, "p2");
    day.run(3000.0, 100.0);
    day
}

#[test]
fn a_proxy_is_bound_and_holds_every_ready_server() {
    let day = five_servers();
    day.assert_tables_agree();
    assert_eq!(day.held[&1].lines.len(), 5);
    assert_eq!(day.held[&1].lines, day.held[&2].lines);
    assert!(day.closed.is_empty());
}

#[test]
fn a_drain_is_sent_at_once_to_bound_and_to_unbound_proxies() {
    let mut day = five_servers();
    day.roster(&[
        ("a", Draining),
        ("bb", Ready),
        ("ccc", Ready),
        ("dddd", Ready),
    ]);
    for s in [1, 2] {
        let open = day.held[&s]
            .lines
            .iter()
            .filter(|l| l.1.1 == LineState::Open);
        let open: Vec<_> = open.map(|(n, _)| n.as_str()).collect();
        assert_eq!(open, ["bb", "ccc", "dddd"], "draining and dropped alike");
    }
    // The channel is full of unanswered messages: a new proxy is not bound, but learns of
    // withdrawals.
    let mut day = Day::new(ControllerSettings {
        max_queued_lines: 150.0,
        ..settings()
    });
    day.answering = false;
    day.roster(&["a", "bb", "ccc", "dddd", "eeeee"].map(|n| (n, Ready)));
    (1..=9).for_each(|s| day.join(s, &format!("p{s}")));
    day.roster(&[("a", Draining), ("bb", Ready), ("ccc", Ready)]);
    day.join(10, "late");
    assert_eq!(day.held[&10].part, None);
    assert!(day.held[&10].withdrawn.contains("a"), "{:?}", day.held[&10]);
}

#[test]
fn a_refused_message_is_sent_again_withdrawals_first() {
    let mut day = five_servers();
    day.answering = false;
    day.roster(&[
        ("a", Draining),
        ("bb", Ready),
        ("ccc", Ready),
        ("dddd", Ready),
    ]);
    let serial = day.held[&1].last;
    let out = day.send(vec![Input::Refused(1, serial, "unknown server".into())]);
    let resent = out.iter().find_map(|o| match o {
        Output::Write(to, m) if to == &vec![1] => Some(m.clone()),
        _ => None,
    });
    let resent = resent.expect("withdrawals are sent again at once");
    assert!(resent.lines.iter().all(|l| l.state != LineState::Open));
    assert!(resent.lines.iter().any(|l| &*l.server == "a"));
    // The rest follows after the grace period.
    day.answering = true;
    day.run(3_500.0, 100.0);
    let view = day.controller.overview();
    assert!(view.proxies.iter().all(|p| p.refusal.is_none()), "{view:?}");
    assert_eq!(view.counters.refused, 1);
    day.assert_tables_agree();
}

#[test]
fn unexpected_answers_and_second_streams_do_no_harm() {
    let mut day = five_servers();
    let unexpected = [
        Input::Applied(1, 0),
        Input::Applied(1, 9999),
        Input::Applied(77, 1),
        Input::Refused(77, 1, "who".into()),
        Input::Left(77),
        Input::Reported("nobody".into(), LoadReport::default()),
    ];
    day.send(unexpected.to_vec());
    assert_eq!(day.controller.overview().counters.unexpected_answers, 4);
    // The same proxy again: the newer stream replaces the older one, whose late messages are
    // ignored.
    day.join(3, "p1");
    assert_eq!(day.closed, [1]);
    day.controller.handle(day.now, vec![Input::Left(1)]);
    day.run(3000.0, 100.0);
    day.assert_tables_agree();
    assert_eq!(day.controller.overview().proxies.len(), 2);
    // An unknown zone.
    let input = Input::Joined {
        session: 9,
        proxy: "p9".into(),
        zone: "mars".into(),
        visits_per_s: None,
    };
    day.send(vec![input]);
    assert_eq!(day.closed, [1, 9]);
}

#[test]
fn a_proxy_that_does_not_answer_is_evicted_and_the_others_go_on() {
    let mut day = five_servers();
    let unresponsive = 2;
    let mut last = 0;
    for i in 0..40 {
        let state = if i % 2 == 0 { Draining } else { Ready };
        day.roster(&[("a", state), ("bb", Ready), ("ccc", Ready), ("dddd", Ready)]);
        day.now += 500.0;
        if let Some(h) = day.held.get_mut(&1) {
            last = h.last;
        }
        day.send(vec![Input::Applied(1, last)]);
        if day.closed.contains(&unresponsive) {
            break;
        }
    }
    assert_eq!(day.closed, [unresponsive]);
    assert!(day.notes.iter().any(|n| n.contains("p2: answers nothing")));
    day.run(15_000.0, 100.0);
    day.assert_tables_agree();
}

#[test]
fn an_index_is_reused_only_when_nothing_refers_to_it() {
    let mut day = five_servers();
    for round in 0..40 {
        // Each round one server is replaced by one with a new name in the same zone.
        let name = format!(
            "{}{}",
            "n".repeat(2 + 2 * (round % 3)),
            "x".repeat(round / 3 * 2)
        );
        let names = [(name.as_str(), Ready), ("bb", Ready), ("dddd", Ready)];
        day.roster(&names);
        day.run(170_000.0, 1000.0);
        day.assert_tables_agree();
    }
    let view = day.controller.overview();
    let known: Vec<_> = view.servers.iter().map(|s| s.name.to_string()).collect();
    assert!(known.len() <= 4, "old names are forgotten: {known:?}");
    assert_eq!(view.servers.iter().filter(|s| s.state == Ready).count(), 3);
}

#[test]
fn impossible_reports_are_refused_and_unknown_lines_counted() {
    let mut day = five_servers();
    let line = |server: &str, tries, failed, good_ms| ReportLine {
        server: server.into(),
        tries,
        failed,
        success_ms: good_ms,
        ..ReportLine::default()
    };
    let report = |line| LoadReport {
        window_ms: 500.0,
        ended_ago_ms: 0.0,
        lines: vec![line],
        arrivals: vec![("view".into(), 3.0)],
    };
    let cases = [
        (line("a", 10.0, 1.0, 90.0), true),
        (line("nobody", 10.0, 1.0, 90.0), true),
        (line("a", -1.0, 0.0, 0.0), false),
        (line("a", 1.0, 2.0, 0.0), false),
        (line("a", f64::NAN, 0.0, 0.0), false),
        (line("a", 1e10, 0.0, 1.0), false),
        (line("a", 5.0, 5.0, 1.0), false),
        (line("a", 5.0, 0.0, f64::INFINITY), false),
    ];
    for (line, valid) in &cases {
        let report = report(line.clone());
        assert_eq!(
            dahliapoint_control::report_error(&report).is_none(),
            *valid,
            "{line:?}"
        );
        day.send(vec![Input::Reported("p1".into(), report)]);
    }
    let counters = day.controller.overview().counters;
    assert_eq!((counters.report_lines, counters.unknown_lines), (1, 1));
    assert_eq!(counters.refused_reports, 6);
    // A class that the settings do not have: the line counts as unknown.
    let unexpected = ReportLine {
        class: 9,
        ..line("a", 1.0, 0.0, 1.0)
    };
    day.send(vec![Input::Reported("p1".into(), report(unexpected))]);
    assert_eq!(day.controller.overview().counters.unknown_lines, 2);
    // Visits in flight are those of the newest report of each proxy.
    let in_flight_line = |n: f64| ReportLine {
        in_flight: n,
        ..line("a", 1.0, 0.0, 1.0)
    };
    for (proxy, in_flight) in [("p1", 5.0), ("p2", 2.0), ("p1", 3.0)] {
        day.send(vec![Input::Reported(
            proxy.into(),
            report(in_flight_line(in_flight)),
        )]);
    }
    // Estimates by class appear once the round has ended and its window is complete.
    day.now += 1500.0;
    day.send(vec![Input::RoundEnded]);
    let view = day.controller.overview();
    let a = view.servers.iter().find(|s| &*s.name == "a").unwrap();
    assert_eq!((a.by_class.len(), a.by_class[0].class), (1, 0));
    assert!(
        (a.by_class[0].failed_share - 1.0 / 13.0).abs() < 1e-9,
        "{:?}",
        a.by_class
    );
    assert_eq!(a.estimate.unwrap().in_flight, 5.0);
    let long = LoadReport {
        window_ms: 1e9,
        ..report(line("a", 1.0, 0.0, 1.0))
    };
    assert!(dahliapoint_control::report_error(&long).is_some());
}

/// The status page, hooks and scripts read the overview by these keys, whatever the fields are called
/// in the code.
#[test]
fn the_overview_keeps_its_json_keys() {
    let mut day = five_servers();
    let report = LoadReport {
        window_ms: 500.0,
        ended_ago_ms: 0.0,
        lines: vec![ReportLine {
            server: "a".into(),
            tries: 10.0,
            success_ms: 90.0,
            ..ReportLine::default()
        }],
        arrivals: Vec::new(),
    };
    day.send(vec![Input::Reported("p1".into(), report)]);
    day.now += 1500.0;
    day.send(vec![Input::RoundEnded]);
    let view = serde_json::to_value(day.controller.overview()).unwrap();
    let keys = |pointer: &str| {
        let object = view.pointer(pointer).and_then(|v| v.as_object());
        let object = object.unwrap_or_else(|| panic!("{pointer} is an object"));
        let mut keys: Vec<&str> = object.keys().map(String::as_str).collect();
        keys.sort_unstable();
        keys.join(" ")
    };
    assert_eq!(keys(""), "accounts guard proxies servers ways");
    assert_eq!(
        keys("/accounts"),
        "closed late_lines lines messages most_messages most_waiting odd_answers refused \
         refused_reports report_lines unknown_lines vague waiting"
    );
    assert_eq!(
        keys("/guard"),
        "best dangerous held judged last mode steps waits withdrawn"
    );
    assert_eq!(view["guard"]["mode"], "hold");
    assert_eq!(
        keys("/servers/0"),
        "address by_class estimate listed_weight met_ago_ms name part shut started_ago_ms state \
         weight zone"
    );
    assert_eq!(
        keys("/servers/0/estimate"),
        "age_ms error_per_s failed_share heard_share in_flight mean_ms stale tail_ms tries_per_s"
    );
    assert_eq!(
        keys("/servers/0/by_class/0"),
        "class failed_share mean_ms tries_per_s"
    );
    assert_eq!(view["servers"][0]["state"], "Ready");
    assert_eq!(
        keys("/proxies/0"),
        "contrary name part refusal session silent unanswered unanswered_lines zone"
    );
    assert_eq!(view["ways"][0][0], "view");
    assert_eq!(keys("/ways/0/1"), "share tries");
    assert_eq!(view["ways"][0][1]["tries"], "OnProof");
}

/// All proxies of a large site reconnect within a second: the lines in the channel stay within
/// their limit, and all proxies are bound in the end.
#[test]
fn many_proxies_that_reconnect_at_once_are_paced() {
    let max_queued_lines = 4_000.0;
    let mut day = Day::new(ControllerSettings {
        max_queued_lines,
        max_messages: 0.0,
        default_visits_per_s: 0.1,
        ..settings()
    });
    let names: Vec<String> = (0..115)
        .map(|i| format!("server{}", "x".repeat(i)))
        .collect();
    let roster: Vec<(&str, AdminState)> = names.iter().map(|n| (n.as_str(), Ready)).collect();
    day.roster(&roster);
    for round in 0..2 {
        for p in 0..361 {
            day.now += 2.0;
            let input = Input::Joined {
                session: round * 1_000 + p,
                proxy: format!("p{p}"),
                zone: if p % 2 == 0 { "east" } else { "west" }.into(),
                visits_per_s: Some(2.0),
            };
            day.send(vec![input]);
            let view = day.controller.overview();
            assert!(
                view.counters.waiting <= max_queued_lines,
                "{:?}",
                view.counters
            );
        }
        day.run(30_000.0, 100.0);
        let view = day.controller.overview();
        assert_eq!(
            view.proxies.iter().filter(|p| p.part.is_some()).count(),
            361
        );
        day.assert_tables_agree();
    }
    assert!(day.controller.overview().counters.max_waiting <= max_queued_lines);
}

/// The roster's clock jumps: the same start with another age must not count as a new start.
#[test]
fn a_clock_jump_is_no_new_start() {
    let mut day = five_servers();
    let started = |ago, stamp| RosterEntry {
        started: Some((ago, stamp)),
        ..entry("a", Ready)
    };
    let rest = || ["bb", "ccc", "dddd", "eeeee"].map(|n| entry(n, Ready));
    let weight_after = |day: &mut Day, first: RosterEntry| {
        let mut entries = vec![first];
        entries.extend(rest());
        day.send(vec![Input::Roster(entries)]);
        day.run(3_000.0, 100.0);
        let view = day.controller.overview();
        let a = view.servers.iter().find(|s| &*s.name == "a").unwrap();
        a.weight
    };
    assert!(
        weight_after(&mut day, started(50.0, 1)) < 0.5,
        "a server that has just started is cold"
    );
    day.run(30_000.0, 500.0);
    for ago in [0.0, 5.0, 1e7, 0.0] {
        assert_eq!(
            weight_after(&mut day, started(ago, 1)),
            1.0,
            "the same start, {ago}"
        );
    }
    assert!(
        weight_after(&mut day, started(0.0, 2)) < 0.5,
        "another start"
    );
}

fn inputs() -> impl Strategy<Value = Input> {
    let name = prop::sample::select(vec!["a", "bb", "ccc", "dddd", "é ü/\"\n", "f%2F\u{0}"]);
    let state = prop::sample::select(vec![Ready, Draining, Gone]);
    let started = prop::option::of((0.0..20_000.0, 0_u64..4));
    let one =
        (name, state, 0.1..4.0_f64, started).prop_map(|(n, state, weight, started)| RosterEntry {
            weight,
            started,
            ..entry(n, state)
        });
    let roster = prop::collection::vec(one, 0..7);
    let session = 1_u64..6;
    let line = ("[a-d]{1,4}", 0.0..50.0, 0.0..1.0, 0.0..3000.0).prop_map(
        |(server, tries, part, mean): (String, f64, f64, f64)| ReportLine {
            server,
            tries,
            failed: tries * part,
            success_ms: tries * (1.0 - part) * mean,
            ..ReportLine::default()
        },
    );
    let report = prop::collection::vec(line, 0..5).prop_map(|lines| LoadReport {
        window_ms: 500.0,
        ended_ago_ms: 20.0,
        lines,
        arrivals: vec![("view".into(), 9.0), ("none".into(), 1.0)],
    });
    prop_oneof![
        roster.clone().prop_map(Input::Roster),
        roster.prop_map(Input::RosterChanges),
        (session.clone(), 0.0..90.0).prop_map(|(s, pace)| Input::Joined {
            session: s,
            proxy: format!("p{}", s % 4),
            zone: if s % 2 == 0 { "east" } else { "west" }.into(),
            visits_per_s: Some(pace),
        }),
        session.clone().prop_map(Input::Left),
        (session.clone(), 0_u64..60).prop_map(|(s, n)| Input::Applied(s, n)),
        (session.clone(), 0_u64..60).prop_map(|(s, n)| Input::Refused(s, n, "no".into())),
        (session, report).prop_map(|(s, r)| Input::Reported(format!("p{}", s % 4), r)),
        Just(Input::RoundEnded),
        ("[a-d]{1,4}", any::<bool>()).prop_map(|(server, healthy)| Input::Probed {
            server,
            healthy,
            took_ms: 3.0
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// For any inputs in any order: no panic, proxies hold the ordered tables, and a replay of the
    /// record gives the same bytes; truncated or corrupt records end where they must.
    #[test]
    fn any_day_is_applied_and_replays(
        moments in prop::collection::vec((prop::collection::vec(inputs(), 0..4), 1.0..4000.0_f64), 1..60),
        cut in 0.0..1.0_f64,
    ) {
        let mut day = Day::new(settings());
        let header = Header { now: day.now, seed: 7, settings: settings() };
        let mut record = Recorder::create(Vec::new(), &header).unwrap();
        let mut bytes = Vec::new();
        let mut streams = 0;
        let mut live: BTreeMap<Session, Session> = BTreeMap::new();
        for (inputs, step) in moments {
            day.now += step;
            // Each stream gets a new number; later inputs with a drawn number mean its newest
            // stream.
            let inputs: Vec<_> = inputs.into_iter().map(|input| {
                let of = |s: &Session| live.get(s).copied().unwrap_or(*s + 1000);
                match input {
                    Input::Joined { session, proxy, zone, visits_per_s: pace } => {
                        streams += 1;
                        live.insert(session, streams);
                        Input::Joined { session: streams, proxy, zone, visits_per_s: pace }
                    }
                    Input::Left(s) => Input::Left(of(&s)),
                    Input::Applied(s, n) => Input::Applied(of(&s), n),
                    Input::Refused(s, n, why) => Input::Refused(of(&s), n, why),
                    other => other,
                }
            }).collect();
            record.append(day.now, &inputs).unwrap();
            let out = day.send(inputs);
            bytes.extend(encode_outputs(&out));
        }
        day.assert_tables_agree();
        let written = record.into_inner();
        let mut replayed = Vec::new();
        let (controller, end) = replay(&written[..], |_, out| replayed.extend(encode_outputs(out))).unwrap();
        prop_assert_eq!(end, End::Complete);
        prop_assert!(bytes == replayed);
        prop_assert_eq!(controller.overview(), day.controller.overview());
        let cut = 8 + ((written.len() - 8) as f64 * cut) as usize;
        let mut part = Vec::new();
        if let Ok((_, end)) = replay(&written[..cut], |_, out| part.extend(encode_outputs(out))) {
            prop_assert!(end == End::Truncated || end == End::Complete);
            prop_assert!(replayed.starts_with(&part));
        }
        let mut corrupt = written.clone();
        corrupt[cut.min(written.len() - 1)] ^= 0x40;
        if let Ok((_, end)) = replay(&corrupt[..], |_, _| ()) {
            prop_assert!(end != End::Complete, "corruption is detected");
        }
    }
}
