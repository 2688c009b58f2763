//! Runs settings of different customers through `opening`, the core and the planner: nothing may depend
//! on names or counts of zones, classes, servers or proxies.

use dahliapoint_opening::{Deployment, parse_deployment};
use dahliapoint_platform::core::{Core, Effects, Input};
use dahliapoint_platform::delivery::CallOutcome;
use dahliapoint_platform::discovery::{self, EndpointList};
use dahliapoint_platform::inbound::{self, Message};
use dahliapoint_platform::relay::{self, Reply};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

const START: f64 = 1.7e12;

struct Shape {
    name: &'static str,
    zones: Vec<&'static str>,
    /// Name, soft limit (ms) and earnings.
    classes: Vec<(&'static str, u64, f64)>,
    admit: &'static str,
    retries: u64,
    probing: bool,
    /// Lines per second, lines that may wait, overhead of a message in lines.
    channel: (f64, f64, f64),
    messages_most: u64,
    report_ms: u64,
    servers: usize,
    proxies: usize,
}

fn shapes() -> Vec<Shape> {
    vec![
        Shape {
            name: "two zones, three classes, levels, probes, a wide channel",
            zones: vec!["outer-mole", "inner-quay"],
            classes: vec![
                ("berth-status", 600, 1.0),
                ("tide-table", 1500, 1.0),
                ("issue-permit", 900, 4.0),
            ],
            admit: "fraction",
            retries: 0,
            probing: true,
            channel: (10_000.0, 10_000.0, 3.0),
            messages_most: 25,
            report_ms: 1000,
            servers: 20,
            proxies: 40,
        },
        Shape {
            name: "five zones, four classes, retries, no probes, a tight channel",
            zones: vec!["yard-1", "yard-2", "yard-3", "yard-4", "yard-5"],
            classes: vec![
                ("live-position", 500, 1.0),
                ("route-search", 1600, 2.0),
                ("parcel-note", 800, 1.0),
                ("book-slot", 1000, 5.0),
            ],
            admit: "none",
            retries: 1,
            probing: false,
            channel: (4000.0, 2800.0, 6.0),
            messages_most: 14,
            report_ms: 2000,
            servers: 45,
            proxies: 60,
        },
        Shape {
            name: "one zone, one class, no limit on messages",
            zones: vec!["z"],
            classes: vec![("x", 1000, 1.0)],
            admit: "none",
            retries: 2,
            probing: false,
            channel: (2000.0, 2000.0, 1.0),
            messages_most: 0,
            report_ms: 500,
            servers: 3,
            proxies: 5,
        },
        Shape {
            name: "seven zones of few servers, names that look like words of the protocol",
            zones: vec!["a", "b", "up", "draining", "all", "0", "zone"],
            classes: vec![("share", 700, 1.0), ("bind", 700, 0.5), ("0", 2000, 3.0)],
            admit: "fraction",
            retries: 1,
            probing: true,
            channel: (9000.0, 9000.0, 4.0),
            messages_most: 20,
            report_ms: 1000,
            servers: 14,
            proxies: 28,
        },
    ]
}

impl Shape {
    fn settings(&self) -> Value {
        let lanes: Vec<Value> = self
            .classes
            .iter()
            .map(|(name, ms, credit)| json!({"name": name, "aimNs": ms * 1_000_000, "credit": credit, "effect": "pure",
                "deadlineNs": ms * 3_000_000, "lateWorth": 0.2, "dedupScope": "all", "keyTtlNs": 5_000_000_000_u64}))
            .collect();
        json!({
            "lanes": lanes, "zones": self.zones, "kinds": ["k"], "family": "control", "registryMode": "push",
            "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "fallNs": 1_500_000_000, "rampTimeNs": 12_000_000_000_u64,
                "stopSendingWithinNs": 2_000_000_000},
            "specifics": {"admit": self.admit, "baseMode": self.retries, "bareNs": 4_000_000_000_u64, "choice": "p2c",
                "egressPerS": self.channel.0, "mostWaiting": self.channel.1, "overhead": self.channel.2,
                "pushDelayNs": 150_000_000, "messagesMost": self.messages_most, "reloadSpanNs": 10_000_000_000_u64,
                "reportEveryNs": self.report_ms * 1_000_000, "ingestRate": 500.0, "proxies": self.proxies,
                "shards": 0, "standing": 10, "strikes": 3, "tryAims": 0.8},
            "limits": {"connIdleNs": 15_000_000_000_u64, "probing": self.probing, "mayTell": false},
            "prices": {"crossZone": 0.1}, "goal": {"whole": 0.5}, "weightSource": "rough", "valueBy": "request",
            "rank": 0, "balancers": 3, "tickNs": 2_000_000,
        })
    }

    fn list(
        &self,
        index: u64,
        whole: bool,
        of: impl Iterator<Item = (usize, &'static str)>,
    ) -> EndpointList {
        let entry = |(s, status): (usize, &str)| {
            json!({"name": format!("s-{s}"), "address": format!("127.0.0.1:{}", 9000 + s), "type": "k", "group": s / 4,
                "zone": self.zones[s % self.zones.len()], "status": status, "weight": 1.5, "since_ms": 0})
        };
        let entries: Vec<Value> = of.map(entry).collect();
        let text = json!({"index": index, "snapshot": whole, "endpoints": entries}).to_string();
        let zones: Vec<String> = self.zones.iter().map(ToString::to_string).collect();
        let list = discovery::parse(text.as_bytes(), &zones).unwrap();
        assert_eq!(list.rejected, Vec::<String>::new());
        list
    }
}

/// What the relay was told to do.
#[derive(Default)]
struct Ordered {
    tables: BTreeMap<usize, usize>,
    lines: BTreeMap<String, f64>,
    /// The table that holds each server's line.
    line_in: BTreeMap<String, usize>,
    withdrawn: BTreeSet<String>,
    classes: BTreeSet<String>,
    probes: usize,
    /// Times of the messages to each proxy (ms).
    messages: BTreeMap<usize, Vec<f64>>,
}

struct World {
    core: Core,
    told: Deployment,
    now: f64,
    wake: Option<f64>,
    ordered: Ordered,
}

impl World {
    fn new(shape: &Shape) -> World {
        let told = parse_deployment(&shape.settings()).unwrap();
        let known = shape.list(1, true, (0..shape.servers).map(|s| (s, "up")));
        World {
            core: Core::new(START, 7, told.clone(), &known),
            told,
            now: START,
            wake: Some(START),
            ordered: Ordered::default(),
        }
    }

    fn tell(&mut self, inputs: Vec<Input>) {
        let mut effects = self.core.step(self.now, inputs);
        while let Some(call) = self.note(&effects) {
            effects = self.core.step(self.now, call);
        }
        self.wake = effects.wake_at;
    }

    /// The relay accepts the whole call, and every proxy concerned acknowledges its mark at once.
    fn note(&mut self, effects: &Effects) -> Option<Vec<Input>> {
        self.ordered.probes += effects.probes.len();
        let call = effects.call.as_ref()?;
        assert!(
            call.text.len() <= relay::MAX_CALL_BYTES + 8,
            "{}",
            call.text.len()
        );
        let text = call
            .text
            .strip_prefix("txn ")
            .unwrap()
            .strip_suffix("\r\n")
            .unwrap();
        let (mut concerned, mut mark) = (BTreeSet::new(), None);
        let of = |o: &Ordered, table: usize| -> Vec<usize> {
            let bound = o.tables.iter().filter(|(_, t)| **t == table);
            bound.map(|(proxy, _)| *proxy).collect()
        };
        for order in text.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            match words[..] {
                ["share", table, server, weight] => {
                    let table = table.parse().unwrap();
                    self.ordered
                        .lines
                        .insert(server.into(), weight.parse().unwrap());
                    self.ordered.line_in.insert(server.into(), table);
                    concerned.extend(of(&self.ordered, table));
                }
                ["admit", table, class, share, way] => {
                    assert!(
                        (0.0..=1.0).contains(&share.parse::<f64>().unwrap()),
                        "{order}"
                    );
                    assert!(["0", "1", "2"].contains(&way), "{order}");
                    self.ordered.classes.insert(class.into());
                    concerned.extend(of(&self.ordered, table.parse().unwrap()));
                }
                ["bind", proxy, table, "*"] => {
                    let proxy = proxy.parse().unwrap();
                    self.ordered.tables.insert(proxy, table.parse().unwrap());
                    concerned.insert(proxy);
                }
                ["withdraw" | "restore", server] => {
                    match words[0] {
                        "withdraw" => drop(self.ordered.withdrawn.insert(server.into())),
                        _ => drop(self.ordered.withdrawn.remove(server)),
                    }
                    // Each proxy bound to a table with that server gets a line.
                    let table = self.ordered.line_in.get(server);
                    concerned.extend(table.map(|t| of(&self.ordered, *t)).unwrap_or_default());
                }
                ["mark", number, "0"] => mark = number.parse().ok(),
                _ => panic!("{order}"),
            }
        }
        let outcome = CallOutcome::Replied(Reply::Accepted(text.split(';').count()));
        let number = call.number;
        let mut inputs = vec![Input::CallEnded { number, outcome }];
        for proxy in concerned {
            self.ordered
                .messages
                .entry(proxy)
                .or_default()
                .push(self.now);
            inputs.extend(mark.map(|mark| Input::RelayEvent {
                follower: 0,
                event: relay::RelayEvent::Ack { proxy, mark },
            }));
        }
        Some(inputs)
    }

    fn news(&mut self, lines: &[String]) {
        let news = |line: &String| {
            let news = relay::parse_event(line.as_bytes(), &self.told.zones, self.told.proxy_count);
            let news = news.unwrap_or_else(|| panic!("{line}"));
            Input::RelayEvent {
                follower: 0,
                event: news,
            }
        };
        let inputs = lines.iter().map(news).collect();
        self.tell(inputs);
    }

    fn report(&mut self, lines: &[String]) {
        let said = |line: &String| match inbound::parse(line.as_bytes(), &self.told) {
            Ok(Message::Report(report)) => Input::Report(report),
            other => panic!("{line}: {other:?}"),
        };
        let inputs = lines.iter().map(said).collect();
        self.tell(inputs);
    }

    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(at) = self.wake.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.tell(vec![]);
        }
        self.now = end;
    }
}

#[test]
fn settings_of_any_shape_are_served_by_the_same_rules() {
    for shape in shapes() {
        let case = shape.name;
        let mut world = World::new(&shape);
        assert_eq!(world.told.classes.len(), shape.classes.len(), "{case}");
        let zone = |p: usize| shape.zones[p % shape.zones.len()];
        let mut joining = vec!["OK".to_string()];
        joining.extend((0..shape.proxies).map(|p| format!("* hello {p} {} 2.5 1", zone(p))));
        joining.push("*".into());
        world.news(&joining);
        world.pass(3000.0);
        assert_eq!(
            world.ordered.tables.len(),
            shape.proxies,
            "{case}: all are bound"
        );
        assert_eq!(world.ordered.lines.len(), shape.servers, "{case}");
        // Every class and zone reports; the last server fails all tries.
        for round in 0..8 {
            let mut lines = Vec::new();
            for s in 0..shape.servers {
                let failed = if s + 1 == shape.servers { 30 } else { 0 };
                let mean = shape.classes.iter().map(|c| c.1).min().unwrap_or(1) / 8;
                lines.extend(shape.zones.iter().map(|zone| {
                    format!(
                        "outcomes zone={zone} server=s-{s} tries=30 failed={failed} mean_ms={mean}.5 span_ms={}.0 load=x:{round}",
                        shape.report_ms
                    )
                }));
            }
            for (class, ..) in &shape.classes {
                lines.extend((0..shape.proxies).map(|p| {
                    format!(
                        "demand proxy={p} class={class} tries=3 failed=0 span_ms={}.0",
                        shape.report_ms
                    )
                }));
            }
            world.report(&lines);
            world.pass(shape.report_ms as f64);
        }
        let worst = format!("s-{}", shape.servers - 1);
        assert_eq!(
            world.ordered.lines[&worst], 0.0,
            "{case}: the failing one is out"
        );
        assert_eq!(world.ordered.lines["s-0"], 1.5, "{case}: the listed weight");
        // A draining server is withdrawn at once.
        let list = shape.list(2, false, [(0, "draining")].into_iter());
        world.tell(vec![Input::EndpointList { watch: 0, list }]);
        assert!(world.ordered.withdrawn.contains("s-0"), "{case}");
        // Half the servers are replaced one by one: the new ones get weight, the old ones lose theirs.
        let half = shape.servers.div_ceil(2);
        for s in 0..half {
            let changes = [(s, "removed"), (shape.servers + s, "up")];
            let list = shape.list(3 + s as u64, false, changes.into_iter());
            world.tell(vec![Input::EndpointList { watch: 0, list }]);
            world.pass(700.0);
        }
        world.pass(15_000.0);
        for s in 0..half {
            let (old, new) = (format!("s-{s}"), format!("s-{}", shape.servers + s));
            assert!(world.ordered.withdrawn.contains(&old), "{case}: {old}");
            assert!(world.ordered.lines[&new] > 0.0, "{case}: {new}");
            assert!(!world.ordered.withdrawn.contains(&new), "{case}: {new}");
        }
        let known: BTreeSet<String> = shape.classes.iter().map(|c| c.0.to_string()).collect();
        assert!(world.ordered.classes.is_subset(&known), "{case}");
        assert!(
            shape.probing || world.ordered.probes == 0,
            "{case}: nothing may be probed"
        );
        for (proxy, at) in world
            .ordered
            .messages
            .iter()
            .filter(|_| shape.messages_most > 0)
        {
            let within = |from: &f64| {
                at.iter()
                    .filter(|t| **t >= *from && **t - from < 10_000.0)
                    .count()
            };
            let most = at.iter().map(within).max().unwrap_or(0);
            assert!(
                most as u64 <= shape.messages_most,
                "{case}: {most} messages to {proxy} in 10 s"
            );
        }
    }
}
