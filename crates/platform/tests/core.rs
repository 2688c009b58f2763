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

fn told(most_waiting: u32) -> Deployment {
    let settings = json!({
        "lanes": [{"name": "lookup", "aimNs": 800_000_000, "credit": 1.0}],
        "zones": ["a", "b"],
        "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "rampTimeNs": 16_000_000_000_u64},
        "specifics": {"mostWaiting": most_waiting, "egressPerS": 8000.0, "pushDelayNs": 200_000_000,
            "overhead": 4.0, "reportEveryNs": 1_000_000_000, "ingestRate": 800.0, "proxies": 20,
            "standing": 10.0},
        "limits": {"connIdleNs": 15_000_000_000_u64, "probing": true},
        "tickNs": 2_000_000,
    });
    parse_deployment(&settings).unwrap()
}

fn entry(name: &str, standing: AdminState, since_ms: f64) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: Some("127.0.0.1:9".parse().unwrap()),
        zone: 0,
        admin_state: standing,
        weight: 1.0,
        started_at_ms: since_ms,
    }
}

fn list(index: u64, whole: bool, entries: Vec<Endpoint>) -> EndpointList {
    EndpointList {
        index,
        is_snapshot: whole,
        endpoints: entries,
        rejected: Vec::new(),
    }
}

fn lists(index: u64, whole: bool, entries: Vec<Endpoint>) -> Input {
    let list = list(index, whole, entries);
    Input::EndpointList { watch: 0, list }
}

/// A core, a relay that accepts every call, and all commands that it got.
struct World {
    core: Core,
    now: f64,
    ordered: Vec<String>,
    wake: Option<f64>,
    probes: Vec<String>,
}

impl World {
    /// Starts with three servers, listed long ago, and one follower.
    fn new() -> World {
        World::of(8000)
    }

    /// Like `new`, with this many lines that may wait in the channel.
    fn of(most_waiting: u32) -> World {
        let up = |n| entry(n, AdminState::Ready, 0.0);
        let known = list(5, true, vec![up("s-1"), up("s-2"), up("s-3")]);
        let mut world = World {
            core: Core::new(START, 7, told(most_waiting), &known),
            now: START,
            ordered: Vec::new(),
            wake: None,
            probes: Vec::new(),
        };
        world.follow(0, &[]);
        world
    }

    fn step(&mut self, inputs: Vec<Input>) -> Effects {
        let effects = self.core.step(self.now, inputs);
        self.wake = effects.wake_at;
        self.probes.extend(
            effects
                .probes
                .iter()
                .map(|(asked, _)| asked.server.to_string()),
        );
        effects
    }

    /// Steps with these inputs and lets the relay accept the calls.
    fn tell(&mut self, inputs: Vec<Input>) {
        let mut effects = self.step(inputs);
        while let Some(call) = effects.call {
            let text = call.text.trim_start_matches("txn ").trim_end();
            let orders: Vec<String> = text.split(';').map(str::to_string).collect();
            let outcome = CallOutcome::Replied(Reply::Accepted(orders.len()));
            self.ordered.extend(orders);
            let number = call.number;
            effects = self.step(vec![Input::CallEnded { number, outcome }]);
        }
    }

    fn news(&mut self, follower: u32, news: Vec<RelayEvent>) {
        self.tell(
            news.into_iter()
                .map(|news| Input::RelayEvent {
                    follower,
                    event: news,
                })
                .collect(),
        );
    }

    fn follow(&mut self, follower: u32, stands: &[usize]) {
        let mut news = vec![RelayEvent::Started];
        news.extend(stands.iter().map(|p| hello(*p)));
        news.push(RelayEvent::Heartbeat);
        self.news(follower, news);
    }

    /// Lets time pass and steps whenever the core asked to be woken.
    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(at) = self.wake.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.tell(vec![]);
        }
        self.now = end;
    }

    fn count(&self, order: &str) -> usize {
        self.ordered.iter().filter(|o| *o == order).count()
    }

    fn began(&self, with: &str) -> Vec<&String> {
        self.ordered
            .iter()
            .filter(|o| o.starts_with(with))
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
    let mut world = World::new();
    world.news(0, vec![hello(3)]);
    assert_eq!(world.count("bind,3,0,*"), 1);
    let drains = lists(6, false, vec![entry("s-2", AdminState::Draining, 0.0)]);
    world.tell(vec![drains]);
    assert_eq!(world.count("withdraw,s-2"), 1);
}

#[test]
fn versions_never_go_back_and_nothing_is_told_twice() {
    let gone = || entry("s-1", AdminState::Gone, 0.0);
    for (index, whole, entries, withdrawn) in [
        (4, true, vec![], false),
        (4, false, vec![gone()], false),
        (5, false, vec![gone()], false),
        (6, false, vec![gone()], true),
        (6, true, vec![], true),
    ] {
        let mut world = World::new();
        world.news(0, vec![hello(3)]);
        world.tell(vec![lists(index, whole, entries)]);
        assert_eq!(
            world.count("withdraw,s-1") == 1,
            withdrawn,
            "{index} {whole}"
        );
    }
}

#[test]
fn what_nobody_knows_changes_nothing() {
    let mut world = World::new();
    world.news(0, vec![hello(3)]);
    let before = world.ordered.len();
    world.news(
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
    let stranger = Report::Outcomes {
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
    world.tell(vec![Input::Report(stranger), Input::Report(demand)]);
    world.tell(vec![lists(
        6,
        false,
        vec![entry("s-8", AdminState::Gone, 0.0)],
    )]);
    assert_eq!(world.ordered.len(), before);
    assert_eq!(world.core.counters.unknown_subjects, 2);
}

#[test]
fn a_second_follower_and_one_that_comes_back_bind_nobody_anew() {
    let mut world = World::new();
    world.news(0, vec![hello(3), hello(4)]);
    world.follow(1, &[3, 4]);
    // The first sends an event while the second is there, so there is no gap between them; likewise
    // for the second and third.
    world.news(0, vec![RelayEvent::Heartbeat]);
    world.tell(vec![Input::FollowerEnded { follower: 0 }]);
    world.follow(2, &[3, 4]);
    world.news(1, vec![RelayEvent::Heartbeat]);
    assert_eq!(
        (world.count("bind,3,0,*"), world.count("bind,4,0,*")),
        (1, 1)
    );
    // None is left: a proxy in the next snapshot is bound again, a proxy missing from it has left.
    world.tell(vec![
        Input::FollowerEnded { follower: 1 },
        Input::FollowerEnded { follower: 2 },
    ]);
    world.follow(3, &[4]);
    assert_eq!(
        (world.count("bind,3,0,*"), world.count("bind,4,0,*")),
        (1, 2)
    );
    // The last one ends without an event since another started: there may be a gap between the two, so
    // the proxies that the other reported are bound again; likewise when it falls silent.
    world.follow(4, &[4]);
    world.tell(vec![Input::FollowerEnded { follower: 3 }]);
    assert_eq!(world.count("bind,4,0,*"), 3);
    world.follow(5, &[4]);
    world.tell(vec![Input::FollowerSilent { follower: 4 }]);
    assert_eq!(world.count("bind,4,0,*"), 4);
}

#[test]
fn a_binding_of_unknown_outcome_is_made_again_unless_its_mark_is_answered() {
    for answered in [false, true] {
        // A small channel, so that a binding is too costly to be resent at once.
        let mut world = World::of(40);
        let joins = Input::RelayEvent {
            follower: 0,
            event: hello(3),
        };
        let call = world.step(vec![joins]).call.unwrap();
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
        world.tell(vec![Input::CallEnded { number, outcome }]);
        if answered {
            world.news(0, vec![RelayEvent::Ack { proxy: 3, mark }]);
        }
        world.pass(5000.0);
        assert_eq!(world.count("bind,3,0,*"), usize::from(!answered));
    }
}

#[test]
fn verdicts_are_told_by_name() {
    let mut world = World::new();
    world.news(0, vec![hello(3)]);
    let mut notes = Vec::new();
    for second in 1..=8 {
        world.now = START + f64::from(second) * 1000.0;
        let met = |(i, name): (usize, &str)| {
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
            world
                .step(names.into_iter().enumerate().map(met).collect())
                .notes,
        );
    }
    assert!(
        notes.iter().any(|n| n.starts_with("server s-3 is failing")),
        "{notes:?}"
    );
}

#[test]
fn a_start_in_the_future_is_one_of_now() {
    for ahead in [0.0, 3_600_000.0] {
        let mut world = World::new();
        world.news(0, vec![hello(3)]);
        let fresh = entry("s-4", AdminState::Ready, START + ahead);
        world.tell(vec![lists(6, false, vec![fresh])]);
        world.pass(4000.0);
        // It is cold, so it is probed and its weight is below the listed one, but not zero.
        assert!(!world.probes.is_empty());
        let lines = world.began("share,0,s-4,");
        let weight: f64 = lines[0].rsplit(',').next().unwrap().parse().unwrap();
        assert!(weight > 0.0 && weight < 1.0, "{lines:?}");
    }
}

#[test]
fn an_index_that_a_waiting_order_names_is_not_given_to_another_server() {
    let mut world = World::new();
    world.news(0, vec![hello(3)]);
    // The relay is out of reach from here on, so the withdrawal of s-2 stays queued.
    let gone = lists(6, false, vec![entry("s-2", AdminState::Gone, 0.0)]);
    let mut call = world.step(vec![gone]).call;
    let mut index = 7;
    for second in 1..=60 {
        world.now = START + f64::from(second) * 1000.0;
        let mut inputs = Vec::new();
        inputs.extend(call.take().map(|c| Input::CallEnded {
            number: c.number,
            outcome: CallOutcome::NotSent,
        }));
        if second == 40 {
            let fresh = entry("s-9", AdminState::Ready, world.now);
            inputs.push(lists(index, false, vec![fresh]));
            index += 1;
        }
        call = world.step(inputs).call;
        if let Some(call) = &call {
            assert!(!call.text.contains("withdraw,s-9"), "{}", call.text);
        }
    }
    // The relay is back: the server that left is withdrawn, the new one is not.
    world.tell(
        call.into_iter()
            .map(|c| Input::CallEnded {
                number: c.number,
                outcome: CallOutcome::NotSent,
            })
            .collect(),
    );
    world.pass(5000.0);
    assert_eq!(
        (world.count("withdraw,s-2"), world.count("withdraw,s-9")),
        (1, 0)
    );
}

#[test]
fn indices_are_used_again_and_the_fleet_that_is_replaced_all_day_stays_small() {
    let mut world = World::new();
    world.news(0, vec![hello(3)]);
    let mut names: Vec<String> = (1..=3).map(|i| format!("s-{i}")).collect();
    for round in 0..60 {
        let fresh = format!("s-{}", 10 + round);
        let old = names.remove(0);
        let entries = vec![
            entry(&fresh, AdminState::Ready, world.now),
            entry(&old, AdminState::Gone, 0.0),
        ];
        names.push(fresh);
        world.tell(vec![lists(6 + round, false, entries)]);
        world.pass(INDEX_REUSE_DELAY_MS);
    }
    // One line of counts and one for each of the three listed servers.
    assert!(
        world.core.state_lines().len() <= 1 + 3,
        "{:?}",
        world.core.state_lines()
    );
    for name in &names {
        let lines = world.began(&format!("share,0,{name},"));
        assert!(!lines.is_empty(), "{name} has a line");
        assert!(
            world.count(&format!("withdraw,{name}")) <= world.count(&format!("restore,{name}"))
        );
    }
}

#[test]
fn a_list_that_is_told_again_begins_no_ramp_anew() {
    let up = |n, since| entry(n, AdminState::Ready, since);
    // Returns the weight of a new server after 9 s. Its entry is received once, or again each second:
    // in a full list of the same version, as each new watch gets it, or as an unchanged entry.
    let line = |since: f64, again: &str| {
        let all = || {
            let old = ["s-1", "s-2", "s-3"].map(|n| up(n, 0.0));
            old.into_iter().chain([up("s-4", since)]).collect()
        };
        let mut world = World::new();
        world.news(0, vec![hello(3)]);
        world.tell(vec![lists(6, true, all())]);
        for second in 0..9 {
            world.pass(1000.0);
            match again {
                "whole" => world.tell(vec![lists(6, true, all())]),
                "entry" => world.tell(vec![lists(7 + second, false, vec![up("s-4", since)])]),
                _ => {}
            }
        }
        let lines = world.began("share,0,s-4,");
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
fn lists_of_two_watches_end_the_same_in_any_order() {
    // s-1 drains at version 6, s-4 is added at 7, s-1 is removed at 8. One watch sends these changes.
    // Another starts at some version with the full list, then sends the changes after it. All
    // interleavings of the two are tested.
    let up = |n| entry(n, AdminState::Ready, 0.0);
    let changes = || {
        vec![
            (6, vec![entry("s-1", AdminState::Draining, 0.0)]),
            (7, vec![up("s-4")]),
            (8, vec![entry("s-1", AdminState::Gone, 0.0)]),
        ]
    };
    let whole = |at: u64| {
        let mut all = vec![up("s-2"), up("s-3")];
        match at {
            5 => all.push(up("s-1")),
            6 | 7 => all.push(entry("s-1", AdminState::Draining, 0.0)),
            _ => {}
        }
        all.extend((at >= 7).then(|| up("s-4")));
        list(at, true, all)
    };
    let from = |at: u64| changes().into_iter().filter(move |(index, _)| *index > at);
    for began in 5..=8 {
        let one: Vec<EndpointList> = from(5).map(|(i, e)| list(i, false, e)).collect();
        let mut other = vec![whole(began)];
        other.extend(from(began).map(|(i, e)| list(i, false, e)));
        let many = one.len() + other.len();
        for order in 0..1_u32 << many {
            if order.count_ones() as usize != one.len() {
                continue;
            }
            let mut world = World::new();
            world.news(0, vec![hello(3)]);
            let (mut one, mut other) = (one.iter(), other.iter());
            for place in 0..many {
                let (watch, next) = match order >> place & 1 {
                    1 => (0, one.next()),
                    _ => (1, other.next()),
                };
                let list = next.unwrap().clone();
                world.tell(vec![Input::EndpointList { watch, list }]);
            }
            let case = format!("began at {began}, order {order:b}");
            assert_eq!(world.core.discovery_index(), 8, "{case}");
            assert_eq!(world.count("withdraw,s-1"), 1, "{case}");
            assert_eq!(world.count("restore,s-1"), 0, "{case}");
            world.pass(4000.0);
            assert!(!world.began("share,0,s-4,").is_empty(), "{case}");
        }
    }
}

#[test]
fn a_drain_inside_a_whole_list_after_silence_is_withdrawn_at_once() {
    for standing in [AdminState::Draining, AdminState::Gone] {
        let mut world = World::new();
        world.news(0, vec![hello(3)]);
        world.pass(60_000.0);
        let mut all = vec![entry("s-2", AdminState::Ready, 0.0)];
        all.extend((standing == AdminState::Draining).then(|| entry("s-1", standing, 0.0)));
        let list = list(40, true, all);
        world.tell(vec![Input::EndpointList { watch: 7, list }]);
        // The other two are missing from the list or drain.
        assert_eq!(
            (world.count("withdraw,s-1"), world.count("withdraw,s-3")),
            (1, 1)
        );
    }
}

#[test]
fn versions_that_begin_anew_are_believed_once_no_discovery_can_be_so_far_behind() {
    let drains = |n| entry(n, AdminState::Draining, 0.0);
    let below = |watch| Input::EndpointList {
        watch,
        list: list(
            2,
            true,
            vec![drains("s-1"), entry("s-2", AdminState::Ready, 0.0)],
        ),
    };
    let change = |watch, index, name| Input::EndpointList {
        watch,
        list: list(index, false, vec![drains(name)]),
    };
    let mut world = World::new();
    world.news(0, vec![hello(3)]);
    // A list from a lagging discovery is ignored, and a change above the current version ends the wait.
    world.tell(vec![below(1)]);
    world.pass(MAX_DISCOVERY_LAG_MS);
    world.tell(vec![change(1, 6, "s-3")]);
    world.tell(vec![below(2)]);
    assert_eq!(world.count("withdraw,s-1"), 0);
    assert_eq!(world.count("withdraw,s-3"), 1);
    // The same watch repeats the list, or another watch sends it too soon: still ignored.
    world.pass(MAX_DISCOVERY_LAG_MS - 1.0);
    world.tell(vec![below(3)]);
    assert_eq!(world.count("withdraw,s-1"), 0);
    world.pass(1.0);
    world.tell(vec![below(2)]);
    assert_eq!(world.count("withdraw,s-1"), 0);
    // Changes below the current version prove nothing; a full list from another watch does.
    world.tell(vec![change(4, 3, "s-2")]);
    assert_eq!(world.count("withdraw,s-2"), 0);
    world.tell(vec![below(4)]);
    assert_eq!(
        (world.count("withdraw,s-1"), world.core.discovery_index()),
        (1, 2)
    );
    // An older watch still uses the old versions, so its changes are ignored however high they are.
    world.tell(vec![change(3, 60, "s-2")]);
    assert_eq!(
        (world.count("withdraw,s-2"), world.core.discovery_index()),
        (0, 2)
    );
    world.tell(vec![change(4, 3, "s-2")]);
    assert_eq!(
        (world.count("withdraw,s-2"), world.core.discovery_index()),
        (1, 3)
    );
}
