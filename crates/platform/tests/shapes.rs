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

/// Settings of one customer.
struct Shape {
    name: &'static str,
    zones: Vec<&'static str>,
    /// Name, soft limit (ms) and earnings.
    classes: Vec<(&'static str, u64, f64)>,
    admit: &'static str,
    retries: u64,
    probing: bool,
    /// Rate of the channel to the proxies.
    lines_per_s: f64,
    /// Lines that may wait in the channel.
    max_queued_lines: f64,
    /// Fixed cost of a message, in lines.
    overhead_lines: f64,
    /// Messages to a proxy in 10 s; 0 for no limit.
    max_messages: u64,
    report_interval_ms: u64,
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
            lines_per_s: 10_000.0,
            max_queued_lines: 10_000.0,
            overhead_lines: 3.0,
            max_messages: 25,
            report_interval_ms: 1000,
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
            lines_per_s: 4000.0,
            max_queued_lines: 2800.0,
            overhead_lines: 6.0,
            max_messages: 14,
            report_interval_ms: 2000,
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
            lines_per_s: 2000.0,
            max_queued_lines: 2000.0,
            overhead_lines: 1.0,
            max_messages: 0,
            report_interval_ms: 500,
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
            lines_per_s: 9000.0,
            max_queued_lines: 9000.0,
            overhead_lines: 4.0,
            max_messages: 20,
            report_interval_ms: 1000,
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
                "egressPerS": self.lines_per_s, "mostWaiting": self.max_queued_lines, "overhead": self.overhead_lines,
                "pushDelayNs": 150_000_000, "messagesMost": self.max_messages, "reloadSpanNs": 10_000_000_000_u64,
                "reportEveryNs": self.report_interval_ms * 1_000_000, "ingestRate": 500.0, "proxies": self.proxies,
                "shards": 0, "standing": 10, "strikes": 3, "tryAims": 0.8},
            "limits": {"connIdleNs": 15_000_000_000_u64, "probing": self.probing, "mayTell": false},
            "prices": {"crossZone": 0.1}, "goal": {"whole": 0.5}, "weightSource": "rough", "valueBy": "request",
            "rank": 0, "balancers": 3, "tickNs": 2_000_000,
        })
    }

    fn list(
        &self,
        index: u64,
        is_snapshot: bool,
        servers: impl Iterator<Item = (usize, &'static str)>,
    ) -> EndpointList {
        let endpoint = |(s, status): (usize, &str)| {
            json!({"name": format!("s-{s}"), "address": format!("127.0.0.1:{}", 9000 + s), "type": "k", "group": s / 4,
                "zone": self.zones[s % self.zones.len()], "status": status, "weight": 1.5, "since_ms": 0})
        };
        let endpoints: Vec<Value> = servers.map(endpoint).collect();
        let text =
            json!({"index": index, "snapshot": is_snapshot, "endpoints": endpoints}).to_string();
        let zones: Vec<String> = self.zones.iter().map(ToString::to_string).collect();
        let list = discovery::parse(text.as_bytes(), &zones).unwrap();
        assert_eq!(list.rejected, Vec::<String>::new());
        list
    }
}

/// What the relay was told to do.
#[derive(Default)]
struct RelayLog {
    tables: BTreeMap<usize, usize>,
    weights: BTreeMap<String, f64>,
    /// The table that holds each server's line.
    table_of_server: BTreeMap<String, usize>,
    withdrawn: BTreeSet<String>,
    classes: BTreeSet<String>,
    probes: usize,
    /// Times of the messages to each proxy (ms).
    messages: BTreeMap<usize, Vec<f64>>,
}

struct Harness {
    core: Core,
    deployment: Deployment,
    now: f64,
    wake_at: Option<f64>,
    relay: RelayLog,
}

impl Harness {
    fn new(shape: &Shape) -> Harness {
        let deployment = parse_deployment(&shape.settings()).unwrap();
        let known = shape.list(1, true, (0..shape.servers).map(|s| (s, "up")));
        Harness {
            core: Core::new(START, 7, deployment.clone(), &known),
            deployment,
            now: START,
            wake_at: Some(START),
            relay: RelayLog::default(),
        }
    }

    fn run(&mut self, inputs: Vec<Input>) {
        let mut effects = self.core.step(self.now, inputs);
        while let Some(call) = self.execute_call(&effects) {
            effects = self.core.step(self.now, call);
        }
        self.wake_at = effects.wake_at;
    }

    /// The relay accepts the whole call, and every proxy concerned acknowledges its mark at once.
    fn execute_call(&mut self, effects: &Effects) -> Option<Vec<Input>> {
        self.relay.probes += effects.probes.len();
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
        let bound_to = |relay: &RelayLog, table: usize| -> Vec<usize> {
            let bound = relay.tables.iter().filter(|(_, t)| **t == table);
            bound.map(|(proxy, _)| *proxy).collect()
        };
        for command in text.split(';') {
            let parts: Vec<&str> = command.split(',').collect();
            match parts[..] {
                ["share", table, server, weight] => {
                    let table = table.parse().unwrap();
                    self.relay
                        .weights
                        .insert(server.into(), weight.parse().unwrap());
                    self.relay.table_of_server.insert(server.into(), table);
                    concerned.extend(bound_to(&self.relay, table));
                }
                ["admit", table, class, share, retry_code] => {
                    assert!(
                        (0.0..=1.0).contains(&share.parse::<f64>().unwrap()),
                        "{command}"
                    );
                    assert!(["0", "1", "2"].contains(&retry_code), "{command}");
                    self.relay.classes.insert(class.into());
                    concerned.extend(bound_to(&self.relay, table.parse().unwrap()));
                }
                ["bind", proxy, table, "*"] => {
                    let proxy = proxy.parse().unwrap();
                    self.relay.tables.insert(proxy, table.parse().unwrap());
                    concerned.insert(proxy);
                }
                ["withdraw" | "restore", server] => {
                    match parts[0] {
                        "withdraw" => drop(self.relay.withdrawn.insert(server.into())),
                        _ => drop(self.relay.withdrawn.remove(server)),
                    }
                    // Each proxy bound to a table with that server gets a line.
                    let table = self.relay.table_of_server.get(server);
                    concerned.extend(
                        table
                            .map(|table| bound_to(&self.relay, *table))
                            .unwrap_or_default(),
                    );
                }
                ["mark", number, "0"] => mark = number.parse().ok(),
                _ => panic!("{command}"),
            }
        }
        let outcome = CallOutcome::Replied(Reply::Accepted(text.split(';').count()));
        let number = call.number;
        let mut inputs = vec![Input::CallEnded { number, outcome }];
        for proxy in concerned {
            self.relay.messages.entry(proxy).or_default().push(self.now);
            inputs.extend(mark.map(|mark| Input::RelayEvent {
                follower: 0,
                event: relay::RelayEvent::Ack { proxy, mark },
            }));
        }
        Some(inputs)
    }

    fn send_events(&mut self, lines: &[String]) {
        let (zones, proxy_count) = (&self.deployment.zones, self.deployment.proxy_count);
        let parse_event = |line: &String| {
            let event = relay::parse_event(line.as_bytes(), zones, proxy_count);
            let event = event.unwrap_or_else(|| panic!("{line}"));
            Input::RelayEvent { follower: 0, event }
        };
        let inputs = lines.iter().map(parse_event).collect();
        self.run(inputs);
    }

    fn send_reports(&mut self, lines: &[String]) {
        let parse_report = |line: &String| match inbound::parse(line.as_bytes(), &self.deployment) {
            Ok(Message::Report(report)) => Input::Report(report),
            other => panic!("{line}: {other:?}"),
        };
        let inputs = lines.iter().map(parse_report).collect();
        self.run(inputs);
    }

    fn advance(&mut self, ms: f64) {
        let end = self.now + ms;
        while let Some(at) = self.wake_at.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.run(vec![]);
        }
        self.now = end;
    }
}

#[test]
fn settings_of_any_shape_are_served_by_the_same_rules() {
    for shape in shapes() {
        let case = shape.name;
        let mut harness = Harness::new(&shape);
        assert_eq!(
            harness.deployment.classes.len(),
            shape.classes.len(),
            "{case}"
        );
        let zone = |p: usize| shape.zones[p % shape.zones.len()];
        let mut joining = vec!["OK".to_string()];
        joining.extend((0..shape.proxies).map(|p| format!("* hello {p} {} 2.5 1", zone(p))));
        joining.push("*".into());
        harness.send_events(&joining);
        harness.advance(3000.0);
        assert_eq!(
            harness.relay.tables.len(),
            shape.proxies,
            "{case}: all are bound"
        );
        assert_eq!(harness.relay.weights.len(), shape.servers, "{case}");
        // Every class and zone reports; the last server fails all tries.
        for round in 0..8 {
            let mut lines = Vec::new();
            for s in 0..shape.servers {
                let failed = if s + 1 == shape.servers { 30 } else { 0 };
                let mean = shape.classes.iter().map(|c| c.1).min().unwrap_or(1) / 8;
                lines.extend(shape.zones.iter().map(|zone| {
                    format!(
                        "outcomes zone={zone} server=s-{s} tries=30 failed={failed} mean_ms={mean}.5 span_ms={}.0 load=x:{round}",
                        shape.report_interval_ms
                    )
                }));
            }
            for (class, ..) in &shape.classes {
                lines.extend((0..shape.proxies).map(|p| {
                    format!(
                        "demand proxy={p} class={class} tries=3 failed=0 span_ms={}.0",
                        shape.report_interval_ms
                    )
                }));
            }
            harness.send_reports(&lines);
            harness.advance(shape.report_interval_ms as f64);
        }
        let worst = format!("s-{}", shape.servers - 1);
        assert_eq!(
            harness.relay.weights[&worst], 0.0,
            "{case}: the failing one is out"
        );
        assert_eq!(
            harness.relay.weights["s-0"], 1.5,
            "{case}: the listed weight"
        );
        // A draining server is withdrawn at once.
        let list = shape.list(2, false, [(0, "draining")].into_iter());
        harness.run(vec![Input::EndpointList { watch: 0, list }]);
        assert!(harness.relay.withdrawn.contains("s-0"), "{case}");
        // Half the servers are replaced one by one: the new ones get weight, the old ones lose theirs.
        let half = shape.servers.div_ceil(2);
        for s in 0..half {
            let changes = [(s, "removed"), (shape.servers + s, "up")];
            let list = shape.list(3 + s as u64, false, changes.into_iter());
            harness.run(vec![Input::EndpointList { watch: 0, list }]);
            harness.advance(700.0);
        }
        harness.advance(15_000.0);
        for s in 0..half {
            let (old, new) = (format!("s-{s}"), format!("s-{}", shape.servers + s));
            assert!(harness.relay.withdrawn.contains(&old), "{case}: {old}");
            assert!(harness.relay.weights[&new] > 0.0, "{case}: {new}");
            assert!(!harness.relay.withdrawn.contains(&new), "{case}: {new}");
        }
        let known: BTreeSet<String> = shape.classes.iter().map(|c| c.0.to_string()).collect();
        assert!(harness.relay.classes.is_subset(&known), "{case}");
        assert!(
            shape.probing || harness.relay.probes == 0,
            "{case}: nothing may be probed"
        );
        for (proxy, at) in harness
            .relay
            .messages
            .iter()
            .filter(|_| shape.max_messages > 0)
        {
            let within = |from: &f64| {
                at.iter()
                    .filter(|t| **t >= *from && **t - from < 10_000.0)
                    .count()
            };
            let max = at.iter().map(within).max().unwrap_or(0);
            assert!(
                max as u64 <= shape.max_messages,
                "{case}: {max} messages to {proxy} in 10 s"
            );
        }
    }
}
