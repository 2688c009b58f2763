//! The limits of the channel to the proxies, with a simulated relay whose calls fail for a while. Time is
//! simulated: every call ends, and every message arrives, at a fixed time after it was sent.

use dahliapoint::AdminState;
use dahliapoint_opening::{Deployment, parse_deployment};
use dahliapoint_platform::core::{Core, Effects, Input};
use dahliapoint_platform::delivery::CallOutcome;
use dahliapoint_platform::discovery::{Endpoint, EndpointList};
use dahliapoint_platform::relay::{RelayEvent, Reply};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

const START: f64 = 1.7e12;
/// Time from a call to the relay's reply.
const REPLY_MS: f64 = 5.0;

/// The figures of a deployment that a test sets.
#[derive(Clone, Copy)]
struct Figures {
    proxies: usize,
    servers: usize,
    /// Visits a second that come to each proxy.
    visits_per_s: f64,
    lines_per_s: f64,
    max_queued_lines: f64,
    message_overhead_lines: f64,
    latency_ms: f64,
    drain_grace_ms: f64,
    /// Messages to one proxy within [`MESSAGE_WINDOW_MS`]; 0 means no limit.
    max_messages: usize,
}

/// The window in which messages to a proxy are counted.
const MESSAGE_WINDOW_MS: f64 = 10_000.0;

fn deployment(figures: &Figures) -> Deployment {
    let settings = json!({
        "lanes": [{"name": "view", "aimNs": 1_000_000_000, "credit": 1.0}],
        "zones": ["a"],
        "rules": {"coldFrom": 0.15, "fallMultiple": 2.5, "rampTimeNs": 16_000_000_000_u64,
            "stopSendingWithinNs": (figures.drain_grace_ms * 1e6) as u64},
        "specifics": {"mostWaiting": figures.max_queued_lines, "egressPerS": figures.lines_per_s,
            "pushDelayNs": (figures.latency_ms * 1e6) as u64, "overhead": figures.message_overhead_lines,
            "reportEveryNs": 500_000_000, "ingestRate": 300.0, "proxies": figures.proxies, "standing": 12.0,
            "messagesMost": figures.max_messages, "reloadSpanNs": (MESSAGE_WINDOW_MS * 1e6) as u64},
        "limits": {"connIdleNs": 15_000_000_000_u64, "probing": false},
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

/// A message on its way to a proxy.
struct Message {
    proxy: usize,
    /// When it has left the channel.
    leaves_at: f64,
    arrives_at: f64,
    lines: f64,
    mark: Option<u32>,
    /// Servers that it withdraws, or removes from the table.
    withdrawn: Vec<String>,
}

/// A controller, and a relay with its channel and proxies.
struct World {
    figures: Figures,
    core: Core,
    now: f64,
    wake_at: Option<f64>,
    index: u64,
    /// The call under way: when it ends, its number and outcome.
    call: Option<(f64, u64, CallOutcome)>,
    /// Replies to calls are lost until this time.
    replies_lost_until: f64,
    /// Whether a call whose reply is lost is carried out.
    carries_lost_calls_out: bool,
    tables: BTreeMap<String, BTreeSet<String>>,
    bound: BTreeMap<usize, String>,
    messages: Vec<Message>,
    /// When the channel has sent all that waits in it.
    channel_free_at: f64,
    /// Times of the messages to each proxy.
    sent_at: BTreeMap<usize, Vec<f64>>,
    /// When each proxy was first told to stop sending to a server.
    withdrawn_at: BTreeMap<(usize, String), f64>,
    most_messages: usize,
    most_queued_lines: f64,
}

impl World {
    /// Servers `s-0`, `s-1`, ... that started long ago, and proxies that are all bound.
    fn new(figures: Figures) -> World {
        let names = (0..figures.servers).map(|i| format!("s-{i}"));
        let known = EndpointList {
            index: 1,
            is_snapshot: true,
            endpoints: names
                .map(|n| endpoint(&n, AdminState::Ready, 0.0))
                .collect(),
            rejected: Vec::new(),
        };
        let mut world = World {
            figures,
            core: Core::new(START, 7, deployment(&figures), &known),
            now: START,
            wake_at: Some(START),
            index: 1,
            call: None,
            replies_lost_until: START,
            carries_lost_calls_out: true,
            tables: BTreeMap::new(),
            bound: BTreeMap::new(),
            messages: Vec::new(),
            channel_free_at: START,
            sent_at: BTreeMap::new(),
            withdrawn_at: BTreeMap::new(),
            most_messages: 0,
            most_queued_lines: 0.0,
        };
        world.event(RelayEvent::Started);
        world.event(RelayEvent::Heartbeat);
        for proxy in 0..figures.proxies {
            world.event(RelayEvent::Hello {
                proxy,
                zone: 0,
                visits_per_s: figures.visits_per_s,
                fresh: true,
            });
            world.advance(20.0);
        }
        world.advance(12_000.0);
        assert_eq!(world.bound.len(), figures.proxies, "all are bound");
        world
    }

    fn event(&mut self, event: RelayEvent) {
        self.step(vec![Input::RelayEvent { follower: 0, event }]);
    }

    /// Lists a change of some servers.
    fn list(&mut self, names: &[String], admin_state: AdminState, started_at_ms: f64) {
        self.index += 1;
        let endpoints = names.iter();
        let list = EndpointList {
            index: self.index,
            is_snapshot: false,
            endpoints: endpoints
                .map(|name| endpoint(name, admin_state, started_at_ms))
                .collect(),
            rejected: Vec::new(),
        };
        self.step(vec![Input::EndpointList { watch: 0, list }]);
    }

    fn step(&mut self, inputs: Vec<Input>) {
        let Effects { call, wake_at, .. } = self.core.step(self.now, inputs);
        self.wake_at = wake_at;
        let Some(call) = call else { return };
        assert!(self.call.is_none(), "one call at a time");
        let is_lost = self.now < self.replies_lost_until;
        if !is_lost || self.carries_lost_calls_out {
            self.execute(call.text.trim_start_matches("txn ").trim_end());
        }
        let outcome = if is_lost {
            CallOutcome::Unknown
        } else {
            CallOutcome::Replied(Reply::Accepted(call.text.split(';').count()))
        };
        self.call = Some((self.now + REPLY_MS, call.number, outcome));
    }

    /// Lets time pass: calls end, messages arrive and are acknowledged, and the core is woken.
    fn advance(&mut self, ms: f64) {
        let end = self.now + ms;
        loop {
            let arrivals = self.messages.iter().map(|m| m.arrives_at);
            let call_end = self.call.map(|(at, _, _)| at);
            let times = arrivals.chain(call_end).chain(self.wake_at);
            let next = times.fold(f64::INFINITY, f64::min);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            let mut inputs = Vec::new();
            if let Some((_, number, outcome)) = self.call.take_if(|(at, _, _)| *at <= next) {
                inputs.push(Input::CallEnded { number, outcome });
            }
            inputs.extend(self.arrived(next));
            self.step(inputs);
        }
        self.now = end;
    }

    /// Takes the messages that have arrived, and returns their acknowledgements.
    fn arrived(&mut self, now: f64) -> Vec<Input> {
        let (arrived, under_way) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|m| m.arrives_at <= now);
        self.messages = under_way;
        let arrived: Vec<Message> = arrived;
        let mut inputs = Vec::new();
        for message in arrived {
            for server in message.withdrawn {
                self.withdrawn_at
                    .entry((message.proxy, server))
                    .or_insert(now);
            }
            inputs.extend(message.mark.map(|mark| Input::RelayEvent {
                follower: 0,
                event: RelayEvent::Ack {
                    proxy: message.proxy,
                    mark,
                },
            }));
        }
        inputs
    }

    /// Carries out a call: one message for each proxy concerned.
    fn execute(&mut self, text: &str) {
        let mut lines: BTreeMap<usize, f64> = BTreeMap::new();
        let mut withdrawn: BTreeMap<usize, Vec<String>> = BTreeMap::new();
        let mut mark = None;
        for command in text.split(';') {
            match command.split(',').collect::<Vec<_>>()[..] {
                ["share", table, server, weight] => {
                    if weight == "0" {
                        self.add_withdrawn(&mut withdrawn, server);
                    }
                    let servers = self.tables.entry(table.into()).or_default();
                    if weight == "0" {
                        servers.remove(server);
                    } else {
                        servers.insert(server.into());
                    }
                    self.add_lines(&mut lines, |t| t == table);
                }
                ["admit", table, ..] => self.add_lines(&mut lines, |t| t == table),
                [order @ ("withdraw" | "restore"), server] => {
                    self.add_lines(&mut lines, |table| self.holds(table, server));
                    if order == "withdraw" {
                        self.add_withdrawn(&mut withdrawn, server);
                    }
                }
                ["bind", proxy, table, _] => {
                    let proxy = proxy.parse().unwrap();
                    self.bound.insert(proxy, table.into());
                    let table_lines = self.tables.get(table).map_or(0, BTreeSet::len);
                    *lines.entry(proxy).or_default() += 2.0 + table_lines as f64;
                }
                ["mark", number, _] => mark = Some(number.parse().unwrap()),
                _ => panic!("no such command: {command}"),
            }
        }
        for (proxy, lines) in lines {
            let withdrawn = withdrawn.remove(&proxy).unwrap_or_default();
            self.send(proxy, lines, mark, withdrawn);
        }
        self.check_limits();
    }

    /// Adds a line for each proxy whose table passes.
    fn add_lines(&self, lines: &mut BTreeMap<usize, f64>, passes: impl Fn(&str) -> bool) {
        for (proxy, _) in self.bound.iter().filter(|(_, table)| passes(table)) {
            *lines.entry(*proxy).or_default() += 1.0;
        }
    }

    fn holds(&self, table: &str, server: &str) -> bool {
        let servers = self.tables.get(table);
        servers.is_some_and(|servers| servers.contains(server))
    }

    /// Adds a withdrawn server for each proxy whose table holds it.
    fn add_withdrawn(&self, withdrawn: &mut BTreeMap<usize, Vec<String>>, server: &str) {
        let holders = self.bound.iter().filter(|(_, t)| self.holds(t, server));
        for (proxy, _) in holders {
            withdrawn.entry(*proxy).or_default().push(server.into());
        }
    }

    fn send(&mut self, proxy: usize, lines: f64, mark: Option<u32>, withdrawn: Vec<String>) {
        let lines = lines + self.figures.message_overhead_lines + f64::from(mark.is_some());
        let begins_at = self.channel_free_at.max(self.now);
        self.channel_free_at = begins_at + lines / self.figures.lines_per_s * 1000.0;
        self.sent_at.entry(proxy).or_default().push(self.now);
        self.messages.push(Message {
            proxy,
            leaves_at: self.channel_free_at,
            arrives_at: self.channel_free_at + self.figures.latency_ms,
            lines,
            mark,
            withdrawn,
        });
    }

    /// When the last proxy was told to stop sending to a server; none if a proxy that holds it was not.
    fn all_withdrawn_at(&self, server: &str) -> Option<f64> {
        let is_told = |proxy: &usize| self.withdrawn_at.contains_key(&(*proxy, server.into()));
        let mut holders = (0..self.figures.proxies).filter(|p| self.holds(&self.bound[p], server));
        if !holders.all(|proxy| is_told(&proxy)) {
            return None;
        }
        let told = self.withdrawn_at.iter().filter(|((_, s), _)| s == server);
        told.map(|(_, at)| *at).reduce(f64::max)
    }

    fn check_limits(&mut self) {
        let queued = self.messages.iter().filter(|m| m.leaves_at > self.now);
        let queued_lines: f64 = queued.map(|m| m.lines).sum();
        self.most_queued_lines = self.most_queued_lines.max(queued_lines);
        let recent = |at: &&f64| self.now - **at < MESSAGE_WINDOW_MS;
        let counts = self.sent_at.values();
        let most = counts.map(|sent| sent.iter().filter(recent).count()).max();
        self.most_messages = self.most_messages.max(most.unwrap_or(0));
    }
}

/// A small deployment with a limit on messages.
const WITH_MESSAGE_LIMIT: Figures = Figures {
    proxies: 6,
    servers: 12,
    visits_per_s: 15.0,
    lines_per_s: 15_000.0,
    max_queued_lines: 22_500.0,
    message_overhead_lines: 3.0,
    latency_ms: 200.0,
    drain_grace_ms: 3000.0,
    max_messages: 30,
};

/// Guards against calls of unknown outcome that are sent again until their mark is acknowledged, uncounted:
/// each of them is a message to every proxy, and the limit on messages was exceeded.
#[test]
fn calls_sent_again_stay_within_the_limit_on_messages() {
    let mut world = World::new(WITH_MESSAGE_LIMIT);
    world.replies_lost_until = world.now + 8000.0;
    for server in 0..7 {
        world.list(&[format!("s-{server}")], AdminState::Draining, 0.0);
        world.advance(1200.0);
    }
    world.advance(8000.0);
    for server in 0..7 {
        let arrived = world.all_withdrawn_at(&format!("s-{server}"));
        assert!(
            arrived.is_some(),
            "the drain of server {server} has arrived"
        );
    }
    assert!(world.most_messages <= 30, "{}", world.most_messages);
}

/// Many proxies behind a slow channel that may queue what it sends in a second. No limit on messages.
const WITH_MANY_PROXIES: Figures = Figures {
    proxies: 400,
    servers: 30,
    visits_per_s: 1.0,
    lines_per_s: 7000.0,
    max_queued_lines: 7000.0,
    message_overhead_lines: 4.0,
    latency_ms: 200.0,
    drain_grace_ms: 1500.0,
    max_messages: 0,
};

/// Guards against withdrawals of unknown outcome that are sent again and again until one is answered,
/// uncounted and without a mark: all copies waited in the channel, and its limit was exceeded.
#[test]
fn withdrawals_sent_again_stay_within_the_queue_of_the_channel() {
    for carries_lost_calls_out in [true, false] {
        let mut world = World::new(WITH_MANY_PROXIES);
        world.carries_lost_calls_out = carries_lost_calls_out;
        world.replies_lost_until = world.now + 1000.0;
        let (told_at, names) = (world.now, (0..9).map(|i| format!("s-{i}")));
        let names: Vec<String> = names.collect();
        world.list(&names, AdminState::Gone, 0.0);
        world.advance(10_000.0);
        let case = format!("carried out: {carries_lost_calls_out}");
        assert!(
            world.most_queued_lines <= 7000.0,
            "{case}: {}",
            world.most_queued_lines
        );
        let late = |name: &String| world.all_withdrawn_at(name).map(|at| at - told_at);
        let late: Vec<Option<f64>> = names.iter().map(late).collect();
        // The shortest grace of a deployment, and the time that limits wait when the relay breaks a call.
        let in_time = late
            .iter()
            .all(|ms| ms.is_some_and(|ms| ms <= 1500.0 + 500.0));
        assert!(in_time, "{case}: {late:?}");
    }
}

/// Guards against withdrawals that use up the limit on messages one by one, so that the last ones are told
/// only when the first messages leave the window, long after the grace of their drains.
#[test]
fn withdrawals_are_gathered_before_they_use_up_the_limit_on_messages() {
    let at_once = Figures {
        proxies: 8,
        servers: 60,
        visits_per_s: 50.0,
        ..WITH_MESSAGE_LIMIT
    };
    // The same with few messages and a short grace.
    let tight = Figures {
        drain_grace_ms: 2500.0,
        max_messages: 14,
        ..at_once
    };
    for figures in [at_once, tight] {
        for interval_ms in [20.0, 190.0, 400.0, 900.0] {
            let case = format!("{} messages, every {interval_ms} ms", figures.max_messages);
            let mut world = World::new(figures);
            let mut told_at = BTreeMap::new();
            for server in 0..36 {
                let started_at = world.now;
                world.list(&[format!("t-{server}")], AdminState::Ready, started_at);
                let name = format!("s-{server}");
                told_at.insert(name.clone(), world.now);
                world.list(&[name], AdminState::Draining, 0.0);
                world.advance(interval_ms);
            }
            world.advance(15_000.0);
            let arrived = |name: &String| world.all_withdrawn_at(name);
            let latest = told_at
                .iter()
                .map(|(name, told)| arrived(name).map(|at| at - told));
            let latest: Option<Vec<f64>> = latest.collect();
            let latest = latest.expect(&case).into_iter().fold(0.0, f64::max);
            assert!(latest <= figures.drain_grace_ms, "{case}: {latest} ms");
            assert!(world.most_messages <= figures.max_messages, "{case}");
        }
    }
}
