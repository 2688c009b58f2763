//! The core as `(now, inputs) -> effects`: unconfirmed calls, gaps in event streams, outdated lists.

use dahliapoint::AdminState;
use dahliapoint_opening::{Deployment, parse_deployment};
use dahliapoint_platform::core::{Core, Effects, Input, MAX_DISCOVERY_LAG_MS};
use dahliapoint_platform::delivery::CallOutcome;
use dahliapoint_platform::discovery::{Endpoint, EndpointList};
use dahliapoint_platform::inbound::Report;
use dahliapoint_platform::relay::{RelayEvent, Reply};
use dahliapoint_platform::slots::INDEX_REUSE_DELAY_MS;
use serde_json::json;

const START: f64 = 1.7e12;

fn deployment(max_queued_lines: u32) -> Deployment {
    let settings = json!({
        "lanes": [{"name": "lookup", "aimNs": 800_000_000, "credit": 1.0}],
        "zones": ["a", "b"],
        "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "rampTimeNs": 16_000_000_000_u64},
        "specifics": {"mostWaiting": max_queued_lines, "egressPerS": 8000.0, "pushDelayNs": 200_000_000,
            "overhead": 4.0, "reportEveryNs": 1_000_000_000, "ingestRate": 800.0, "proxies": 20,
            "standing": 10.0},
        "limits": {"connIdleNs": 15_000_000_000_u64, "probing": true},
        "tickNs": 2_000_000,
    });
    parse_deployment(&settings).unwrap()
}

fn endpoint(name: &str, admin_state: AdminState, started_at_ms: f64) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: Some("127.0.0.1:9".parse().unwrap()),
        zone: 0,
        admin_state,
        weight: 1.0,
        started_at_ms,
    }
}

fn list(index: u64, is_snapshot: bool, endpoints: Vec<Endpoint>) -> EndpointList {
    EndpointList {
        index,
        is_snapshot,
        endpoints,
        rejected: Vec::new(),
    }
}

fn list_input(index: u64, is_snapshot: bool, endpoints: Vec<Endpoint>) -> Input {
    let list = list(index, is_snapshot, endpoints);
    Input::EndpointList { watch: 0, list }
}

/// A core, a relay that accepts every call, and all commands that it got.
struct Harness {
    core: Core,
    now: f64,
    commands: Vec<String>,
    wake_at: Option<f64>,
    probes: Vec<String>,
}

impl Harness {
    /// Starts with three servers, listed long ago, and one follower.
    fn new() -> Harness {
        Harness::with_channel(8000)
    }

    /// Like `new`, with this many lines that may wait in the channel.
    fn with_channel(max_queued_lines: u32) -> Harness {
        let up = |n| endpoint(n, AdminState::Ready, 0.0);
        let known = list(5, true, vec![up("s-1"), up("s-2"), up("s-3")]);
        let mut harness = Harness {
            core: Core::new(START, 7, deployment(max_queued_lines), &known),
            now: START,
            commands: Vec::new(),
            wake_at: None,
            probes: Vec::new(),
        };
        harness.start_follower(0, &[]);
        harness
    }

    fn step(&mut self, inputs: Vec<Input>) -> Effects {
        let effects = self.core.step(self.now, inputs);
        self.wake_at = effects.wake_at;
        let probes = effects.probes.iter();
        self.probes
            .extend(probes.map(|(target, _)| target.server.to_string()));
        effects
    }

    /// Steps with these inputs and lets the relay accept the calls.
    fn run(&mut self, inputs: Vec<Input>) {
        let mut effects = self.step(inputs);
        while let Some(call) = effects.call {
            let text = call.text.trim_start_matches("txn ").trim_end();
            let accepted: Vec<String> = text.split(';').map(str::to_string).collect();
            let outcome = CallOutcome::Replied(Reply::Accepted(accepted.len()));
            self.commands.extend(accepted);
            let number = call.number;
            effects = self.step(vec![Input::CallEnded { number, outcome }]);
        }
    }

    fn events(&mut self, follower: u32, events: Vec<RelayEvent>) {
        let events = events.into_iter();
        let inputs = events.map(|event| Input::RelayEvent { follower, event });
        self.run(inputs.collect());
    }

    /// Starts a follower with a snapshot of these proxies.
    fn start_follower(&mut self, follower: u32, joined: &[usize]) {
        let mut events = vec![RelayEvent::Started];
        events.extend(joined.iter().map(|p| hello(*p)));
        events.push(RelayEvent::Heartbeat);
        self.events(follower, events);
    }

    /// Lets time pass and steps whenever the core asked to be woken.
    fn advance(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(at) = self.wake_at.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.run(vec![]);
        }
        self.now = end;
    }

    /// Counts how often this command was sent.
    fn count(&self, command: &str) -> usize {
        self.commands.iter().filter(|c| *c == command).count()
    }

    fn commands_starting_with(&self, prefix: &str) -> Vec<&String> {
        self.commands
            .iter()
            .filter(|command| command.starts_with(prefix))
            .collect()
    }
}

fn hello(proxy: usize) -> RelayEvent {
    RelayEvent::Hello {
        proxy,
        zone: 0,
        visits_per_s: 1.0,
        fresh: true,
    }
}

#[test]
fn a_joining_proxy_is_bound_and_a_drain_is_withdrawn_at_once() {
    let mut harness = Harness::new();
    harness.events(0, vec![hello(3)]);
    assert_eq!(harness.count("bind,3,0,*"), 1);
    let drains = list_input(6, false, vec![endpoint("s-2", AdminState::Draining, 0.0)]);
    harness.run(vec![drains]);
    assert_eq!(harness.count("withdraw,s-2"), 1);
}

#[test]
fn versions_never_go_back_and_a_change_is_sent_once() {
    let gone = || endpoint("s-1", AdminState::Gone, 0.0);
    for (index, is_snapshot, endpoints, withdrawn) in [
        (4, true, vec![], false),
        (4, false, vec![gone()], false),
        (5, false, vec![gone()], false),
        (6, false, vec![gone()], true),
        (6, true, vec![], true),
    ] {
        let mut harness = Harness::new();
        harness.events(0, vec![hello(3)]);
        harness.run(vec![list_input(index, is_snapshot, endpoints)]);
        assert_eq!(
            harness.count("withdraw,s-1") == 1,
            withdrawn,
            "{index} {is_snapshot}"
        );
    }
}

#[test]
fn unknown_servers_and_proxies_change_nothing() {
    let mut harness = Harness::new();
    harness.events(0, vec![hello(3)]);
    let before = harness.commands.len();
    harness.events(
        0,
        vec![
            RelayEvent::Ack { proxy: 9, mark: 1 },
            RelayEvent::Ack {
                proxy: 3,
                mark: 999,
            },
            RelayEvent::Bye { proxy: 11 },
        ],
    );
    let outcomes = Report::Outcomes {
        zone: 0,
        server: "s-9".into(),
        tries: 50.0,
        failed: 50.0,
        mean_ms: 0.0,
        span_ms: 1000.0,
    };
    let demand = Report::Demand {
        proxy: 9,
        class: 0,
        visits: 50.0,
        span_ms: 1000.0,
    };
    harness.run(vec![Input::Report(outcomes), Input::Report(demand)]);
    harness.run(vec![list_input(
        6,
        false,
        vec![endpoint("s-8", AdminState::Gone, 0.0)],
    )]);
    assert_eq!(harness.commands.len(), before);
    assert_eq!(harness.core.counters.unknown_subjects, 2);
}

#[test]
fn a_second_and_a_reconnected_follower_cause_no_new_bindings() {
    let mut harness = Harness::new();
    harness.events(0, vec![hello(3), hello(4)]);
    harness.start_follower(1, &[3, 4]);
    // The first sends an event while the second is there, so there is no gap between them; likewise
    // for the second and third.
    harness.events(0, vec![RelayEvent::Heartbeat]);
    harness.run(vec![Input::FollowerEnded { follower: 0 }]);
    harness.start_follower(2, &[3, 4]);
    harness.events(1, vec![RelayEvent::Heartbeat]);
    assert_eq!(
        (harness.count("bind,3,0,*"), harness.count("bind,4,0,*")),
        (1, 1)
    );
    // None is left: a proxy in the next snapshot is bound again, a proxy missing from it has left.
    harness.run(vec![
        Input::FollowerEnded { follower: 1 },
        Input::FollowerEnded { follower: 2 },
    ]);
    harness.start_follower(3, &[4]);
    assert_eq!(
        (harness.count("bind,3,0,*"), harness.count("bind,4,0,*")),
        (1, 2)
    );
    // The last one ends without an event since another started: there may be a gap between the two, so
    // the proxies that the other reported are bound again; likewise when it falls silent.
    harness.start_follower(4, &[4]);
    harness.run(vec![Input::FollowerEnded { follower: 3 }]);
    assert_eq!(harness.count("bind,4,0,*"), 3);
    harness.start_follower(5, &[4]);
    harness.run(vec![Input::FollowerSilent { follower: 4 }]);
    assert_eq!(harness.count("bind,4,0,*"), 4);
}

#[test]
fn an_unconfirmed_binding_is_repeated_unless_its_mark_is_acknowledged() {
    for acknowledged in [false, true] {
        // A small channel, so that a binding is too costly to be resent at once.
        let mut harness = Harness::with_channel(40);
        let joins = Input::RelayEvent {
            follower: 0,
            event: hello(3),
        };
        let call = harness.step(vec![joins]).call.unwrap();
        assert!(call.text.contains("bind,3,0,*"), "{}", call.text);
        let mark = call
            .text
            .trim_end()
            .rsplit(',')
            .nth(1)
            .unwrap()
            .parse()
            .unwrap();
        let outcome = CallOutcome::Unknown;
        let number = call.number;
        harness.run(vec![Input::CallEnded { number, outcome }]);
        if acknowledged {
            harness.events(0, vec![RelayEvent::Ack { proxy: 3, mark }]);
        }
        harness.advance(5000.0);
        assert_eq!(harness.count("bind,3,0,*"), usize::from(!acknowledged));
    }
}

#[test]
fn notes_name_the_server() {
    let mut harness = Harness::new();
    harness.events(0, vec![hello(3)]);
    let mut notes = Vec::new();
    for second in 1..=8 {
        harness.now = START + f64::from(second) * 1000.0;
        let report = |(i, name): (usize, &str)| {
            Input::Report(Report::Outcomes {
                zone: 0,
                server: name.into(),
                tries: 40.0,
                failed: if i == 2 { 40.0 } else { 0.0 },
                mean_ms: 90.0,
                span_ms: 1000.0,
            })
        };
        let names = ["s-1", "s-2", "s-3"];
        notes.extend(
            harness
                .step(names.into_iter().enumerate().map(report).collect())
                .notes,
        );
    }
    assert!(
        notes.iter().any(|n| n.starts_with("server s-3 is failing")),
        "{notes:?}"
    );
}

#[test]
fn a_start_in_the_future_counts_as_now() {
    for ahead in [0.0, 3_600_000.0] {
        let mut harness = Harness::new();
        harness.events(0, vec![hello(3)]);
        let fresh = endpoint("s-4", AdminState::Ready, START + ahead);
        harness.run(vec![list_input(6, false, vec![fresh])]);
        harness.advance(4000.0);
        // It is cold, so it is probed and its weight is below the listed one, but not zero.
        assert!(!harness.probes.is_empty());
        let lines = harness.commands_starting_with("share,0,s-4,");
        let weight: f64 = lines[0].rsplit(',').next().unwrap().parse().unwrap();
        assert!(weight > 0.0 && weight < 1.0, "{lines:?}");
    }
}

#[test]
fn an_index_named_by_a_queued_command_is_not_reused() {
    let mut harness = Harness::new();
    harness.events(0, vec![hello(3)]);
    // The relay is out of reach from here on, so the withdrawal of s-2 stays queued.
    let gone = list_input(6, false, vec![endpoint("s-2", AdminState::Gone, 0.0)]);
    let mut call = harness.step(vec![gone]).call;
    let mut index = 7;
    for second in 1..=60 {
        harness.now = START + f64::from(second) * 1000.0;
        let mut inputs = Vec::new();
        inputs.extend(call.take().map(|c| Input::CallEnded {
            number: c.number,
            outcome: CallOutcome::NotSent,
        }));
        if second == 40 {
            let fresh = endpoint("s-9", AdminState::Ready, harness.now);
            inputs.push(list_input(index, false, vec![fresh]));
            index += 1;
        }
        call = harness.step(inputs).call;
        if let Some(call) = &call {
            assert!(!call.text.contains("withdraw,s-9"), "{}", call.text);
        }
    }
    // The relay is back: the server that left is withdrawn, the new one is not.
    harness.run(
        call.into_iter()
            .map(|c| Input::CallEnded {
                number: c.number,
                outcome: CallOutcome::NotSent,
            })
            .collect(),
    );
    harness.advance(5000.0);
    assert_eq!(
        (harness.count("withdraw,s-2"), harness.count("withdraw,s-9")),
        (1, 0)
    );
}

#[test]
fn indices_of_replaced_servers_are_reused() {
    let mut harness = Harness::new();
    harness.events(0, vec![hello(3)]);
    let mut names: Vec<String> = (1..=3).map(|i| format!("s-{i}")).collect();
    for round in 0..60 {
        let fresh = format!("s-{}", 10 + round);
        let old = names.remove(0);
        let endpoints = vec![
            endpoint(&fresh, AdminState::Ready, harness.now),
            endpoint(&old, AdminState::Gone, 0.0),
        ];
        names.push(fresh);
        harness.run(vec![list_input(6 + round, false, endpoints)]);
        harness.advance(INDEX_REUSE_DELAY_MS);
    }
    // One line of counts and one for each of the three listed servers.
    assert!(
        harness.core.state_lines().len() <= 1 + 3,
        "{:?}",
        harness.core.state_lines()
    );
    for name in &names {
        let lines = harness.commands_starting_with(&format!("share,0,{name},"));
        assert!(!lines.is_empty(), "{name} has a line");
        assert!(
            harness.count(&format!("withdraw,{name}")) <= harness.count(&format!("restore,{name}"))
        );
    }
}

/// Guards against a server that returns under its name after its index went to another one, and stays shut
/// out by the withdrawal that the relay still knows.
#[test]
fn a_server_that_returns_after_its_index_was_reused_is_allowed_again() {
    for (returns_as, command) in [
        (AdminState::Ready, "restore,s-1"),
        // First seen while it drains, it is shut out as any other.
        (AdminState::Draining, "withdraw,s-1"),
    ] {
        for successors in [0, 1, 2] {
            let mut harness = Harness::new();
            harness.events(0, vec![hello(3)]);
            let gone = vec![endpoint("s-1", AdminState::Gone, 0.0)];
            harness.run(vec![list_input(6, false, gone)]);
            harness.advance(INDEX_REUSE_DELAY_MS + 3000.0);
            let names = (0..successors).map(|i| format!("t-{i}"));
            let fresh = names.map(|n| endpoint(&n, AdminState::Ready, harness.now));
            let fresh: Vec<Endpoint> = fresh.collect();
            harness.run(vec![list_input(7, false, fresh)]);
            harness.advance(5000.0);
            let before = harness.count(command);
            let returned = endpoint("s-1", returns_as, harness.now);
            harness.run(vec![list_input(8, false, vec![returned])]);
            harness.advance(20_000.0);
            let case = format!("{returns_as:?}, {successors} others came");
            assert_eq!(harness.count(command), before + 1, "{case}");
            let lines = harness.commands_starting_with("share,0,s-1,");
            let has_line = lines.last().is_some_and(|line| !line.ends_with(",0"));
            assert_eq!(has_line, returns_as == AdminState::Ready, "{case}");
        }
    }
}

#[test]
fn a_repeated_list_restarts_no_ramp() {
    let up = |n, since| endpoint(n, AdminState::Ready, since);
    // Returns the weight of a new server after 9 s. Its entry is received once, or again each second:
    // in a full list of the same version, as each new watch gets it, or as an unchanged entry.
    let line = |since: f64, again: &str| {
        let all = || {
            let old = ["s-1", "s-2", "s-3"].map(|n| up(n, 0.0));
            old.into_iter().chain([up("s-4", since)]).collect()
        };
        let mut harness = Harness::new();
        harness.events(0, vec![hello(3)]);
        harness.run(vec![list_input(6, true, all())]);
        for second in 0..9 {
            harness.advance(1000.0);
            match again {
                "whole" => harness.run(vec![list_input(6, true, all())]),
                "entry" => harness.run(vec![list_input(7 + second, false, vec![up("s-4", since)])]),
                _ => {}
            }
        }
        let lines = harness.commands_starting_with("share,0,s-4,");
        lines
            .last()
            .map_or("", |l| l.rsplit(',').next().unwrap())
            .to_string()
    };
    // Its listed start is an hour ahead of the local clock, now, or long ago.
    for since in [START + 3_600_000.0, START, 0.0] {
        let once = line(since, "");
        assert!(once.parse::<f64>().unwrap() > 0.0);
        for again in ["whole", "entry"] {
            assert_eq!(line(since, again), once, "{since} {again}");
        }
    }
}

#[test]
fn lists_of_two_watches_give_the_same_result_in_any_order() {
    // s-1 drains at version 6, s-4 is added at 7, s-1 is removed at 8. One watch sends these changes.
    // Another starts at some version with the full list, then sends the changes after it. All
    // interleavings of the two are tested.
    let up = |n| endpoint(n, AdminState::Ready, 0.0);
    let changes = || {
        vec![
            (6, vec![endpoint("s-1", AdminState::Draining, 0.0)]),
            (7, vec![up("s-4")]),
            (8, vec![endpoint("s-1", AdminState::Gone, 0.0)]),
        ]
    };
    let whole = |at: u64| {
        let mut all = vec![up("s-2"), up("s-3")];
        match at {
            5 => all.push(up("s-1")),
            6 | 7 => all.push(endpoint("s-1", AdminState::Draining, 0.0)),
            _ => {}
        }
        all.extend((at >= 7).then(|| up("s-4")));
        list(at, true, all)
    };
    let from = |at: u64| changes().into_iter().filter(move |(index, _)| *index > at);
    for start in 5..=8 {
        let one: Vec<EndpointList> = from(5).map(|(i, e)| list(i, false, e)).collect();
        let mut other = vec![whole(start)];
        other.extend(from(start).map(|(i, e)| list(i, false, e)));
        let many = one.len() + other.len();
        for order in 0..1_u32 << many {
            if order.count_ones() as usize != one.len() {
                continue;
            }
            let mut harness = Harness::new();
            harness.events(0, vec![hello(3)]);
            let (mut one, mut other) = (one.iter(), other.iter());
            for place in 0..many {
                let (watch, next) = match order >> place & 1 {
                    1 => (0, one.next()),
                    _ => (1, other.next()),
                };
                let list = next.unwrap().clone();
                harness.run(vec![Input::EndpointList { watch, list }]);
            }
            let case = format!("started at {start}, order {order:b}");
            assert_eq!(harness.core.discovery_index(), 8, "{case}");
            assert_eq!(harness.count("withdraw,s-1"), 1, "{case}");
            assert_eq!(harness.count("restore,s-1"), 0, "{case}");
            harness.advance(4000.0);
            assert!(
                !harness.commands_starting_with("share,0,s-4,").is_empty(),
                "{case}"
            );
        }
    }
}

#[test]
fn a_drain_in_a_full_list_after_silence_is_withdrawn_at_once() {
    for admin_state in [AdminState::Draining, AdminState::Gone] {
        let mut harness = Harness::new();
        harness.events(0, vec![hello(3)]);
        harness.advance(60_000.0);
        let mut all = vec![endpoint("s-2", AdminState::Ready, 0.0)];
        all.extend(
            (admin_state == AdminState::Draining).then(|| endpoint("s-1", admin_state, 0.0)),
        );
        let list = list(40, true, all);
        harness.run(vec![Input::EndpointList { watch: 7, list }]);
        // The other two are missing from the list or drain.
        assert_eq!(
            (harness.count("withdraw,s-1"), harness.count("withdraw,s-3")),
            (1, 1)
        );
    }
}

#[test]
fn restarted_versions_are_accepted_after_the_maximum_discovery_lag() {
    let drains = |n| endpoint(n, AdminState::Draining, 0.0);
    let list_below = |watch| Input::EndpointList {
        watch,
        list: list(
            2,
            true,
            vec![drains("s-1"), endpoint("s-2", AdminState::Ready, 0.0)],
        ),
    };
    let change = |watch, index, name| Input::EndpointList {
        watch,
        list: list(index, false, vec![drains(name)]),
    };
    let mut harness = Harness::new();
    harness.events(0, vec![hello(3)]);
    // A list from a lagging discovery is ignored, and a change above the current version ends the wait.
    harness.run(vec![list_below(1)]);
    harness.advance(MAX_DISCOVERY_LAG_MS);
    harness.run(vec![change(1, 6, "s-3")]);
    harness.run(vec![list_below(2)]);
    assert_eq!(harness.count("withdraw,s-1"), 0);
    assert_eq!(harness.count("withdraw,s-3"), 1);
    // The same watch repeats the list, or another watch sends it too soon: still ignored.
    harness.advance(MAX_DISCOVERY_LAG_MS - 1.0);
    harness.run(vec![list_below(3)]);
    assert_eq!(harness.count("withdraw,s-1"), 0);
    harness.advance(1.0);
    harness.run(vec![list_below(2)]);
    assert_eq!(harness.count("withdraw,s-1"), 0);
    // Changes below the current version prove nothing; a full list from another watch does.
    harness.run(vec![change(4, 3, "s-2")]);
    assert_eq!(harness.count("withdraw,s-2"), 0);
    harness.run(vec![list_below(4)]);
    assert_eq!(
        (
            harness.count("withdraw,s-1"),
            harness.core.discovery_index()
        ),
        (1, 2)
    );
    // An older watch still uses the old versions, so its changes are ignored however high they are.
    harness.run(vec![change(3, 60, "s-2")]);
    assert_eq!(
        (
            harness.count("withdraw,s-2"),
            harness.core.discovery_index()
        ),
        (0, 2)
    );
    harness.run(vec![change(4, 3, "s-2")]);
    assert_eq!(
        (
            harness.count("withdraw,s-2"),
            harness.core.discovery_index()
        ),
        (1, 3)
    );
}
