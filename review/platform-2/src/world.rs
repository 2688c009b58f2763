//! A small platform round one real controller: discovery, the relay with its channel, proxies that
//! follow their tables, servers that answer health requests, and the collectors.
//!
//! The relay and the proxies follow PROTOCOL and the pages that it refers to. What the controller
//! ordered becomes one message for each proxy concerned; messages leave the channel one after another at
//! `lines_per_s`, take the latency, and reach a proxy in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The figures of a deployment, as far as the stand-ins and the settings need them.
#[derive(Clone, Debug)]
pub struct Figures {
    pub proxies: usize,
    pub zones: Vec<String>,
    /// Class names, soft limit in ms, worth.
    pub classes: Vec<(String, u64, f64)>,
    pub lines_per_s: f64,
    pub most_waiting: f64,
    pub overhead: f64,
    pub latency_ms: f64,
    pub standing: usize,
    pub messages_most: usize,
    pub reload_span_ms: f64,
    pub bare_ms: f64,
    pub grace_ms: f64,
    pub ramp_ms: f64,
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub fall_ms: f64,
    pub report_every_ms: f64,
    pub ingest_rate: f64,
    pub strikes: u32,
    pub probing: bool,
    pub visits_per_s: f64,
    /// What a warm server can do.
    pub server_visits_per_s: f64,
    /// Whether visits of the first class may go to servers of the proxy's zone only.
    pub first_class_stays_local: bool,
}

/// What the relay does with calls while a fault lasts: whether it breaks the connection or stays silent, and
/// whether the call is carried out.
#[allow(clippy::enum_variant_names)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFault {
    /// Carries the call out, and closes the connection without an answer.
    BreakDone,
    /// Carries nothing out, and closes the connection without an answer.
    BreakNotDone,
    /// Carries the call out, and never answers.
    SilentDone,
    /// Carries nothing out, and never answers.
    SilentNotDone,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub name: String,
    pub zone: usize,
    pub status: &'static str,
    pub weight: f64,
    pub since_ms: u64,
    pub address: SocketAddr,
    /// Version of the list that told its last change.
    pub changed: u64,
    /// Since when the controller has been told that it drains or is gone (ms).
    pub told_out: Option<f64>,
    /// Since when the controller's list has shown it as up (ms).
    pub told_up: Option<f64>,
    /// Tries of the current report period, by zone.
    pub tries: Vec<u64>,
    /// All tries.
    pub total: u64,
    /// Times of the visits of late, and since when the controller knows of its last start (ms).
    pub recent: VecDeque<f64>,
    pub start_told: f64,
    pub start_told_of: u64,
}

/// A change of what a proxy holds.
#[derive(Clone, Debug)]
enum Update {
    Line(String, f64),
    Withdraw(String, bool),
    Full(BTreeMap<String, f64>, BTreeSet<String>),
    Clear,
}

struct Message {
    arrives: f64,
    proxy: usize,
    stream: u64,
    updates: Vec<Update>,
    mark: Option<u32>,
    sent: f64,
}

#[derive(Clone, Default)]
pub struct Proxy {
    pub zone: usize,
    pub joined: bool,
    pub joined_at: f64,
    pub stream: u64,
    /// The table that the relay has bound it to.
    pub bound: Option<usize>,
    /// What it holds: lines and withdrawn servers.
    pub lines: BTreeMap<String, f64>,
    pub withdrawn: BTreeSet<String>,
    /// Whether a table that was ordered has reached it.
    pub has_ordered: bool,
    /// Times of the messages written to it on this stream (ms).
    pub messages: VecDeque<f64>,
    last_arrival: f64,
    /// Smooth weighted rotation.
    credit: BTreeMap<String, f64>,
    /// Visits owed.
    owed: f64,
    /// Visits of the current report period.
    pub visits: u64,
    /// Since when it has had no line to pick while the rule wants one (ms).
    pub bare_since: Option<f64>,
    /// The same for the class that stays local.
    pub local_bare_since: Option<f64>,
    /// Visits sent so far, to take classes in turn, and those refused for want of a server.
    sent: u64,
    pub refused: u64,
}

pub struct State {
    pub figures: Figures,
    pub start: Instant,
    pub servers: Vec<Server>,
    pub version: u64,
    pub proxies: Vec<Proxy>,
    pub tables: BTreeMap<usize, BTreeMap<String, f64>>,
    pub withdrawn: BTreeSet<String>,
    messages: Vec<Message>,
    /// When the channel has sent all that waits.
    free_at: f64,
    /// What waits in the channel: when it leaves, and its lines.
    waiting: VecDeque<(f64, f64)>,
    pub most_seen_waiting: f64,
    pub most_seen_messages: usize,
    followers: Vec<Sender<String>>,
    pub fault: Option<CallFault>,
    /// Calls that the fault still hits; the fault ends with the last.
    pub fault_calls: usize,
    /// Until when it lasts (ms).
    pub fault_until: f64,
    pub calls: usize,
    pub faulty_calls: usize,
    /// Time that the limits wait because the relay broke calls: until then nothing is judged (ms).
    pub excused_until: f64,
    /// Until then the relay is out of reach: no news, no answers (ms).
    pub relay_silent_until: f64,
    /// Until then discovery is down (ms).
    pub discovery_silent_until: f64,
    pub record: String,
    /// The rule that the case is about; 0 for all.
    pub rule: u8,
    pub broken: Vec<String>,
    pub other_broken: usize,
    pub rng: u64,
    /// No proxy is judged before this time (ms).
    pub judged_from: f64,
    pub alive_at: Option<f64>,
}

pub type Shared = Arc<Mutex<State>>;

pub fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as u64
}

impl State {
    pub fn new(rule: u8, figures: Figures) -> State {
        State {
            proxies: (0..figures.proxies)
                .map(|i| Proxy {
                    zone: i % figures.zones.len(),
                    ..Proxy::default()
                })
                .collect(),
            figures,
            start: Instant::now(),
            servers: Vec::new(),
            version: 40,
            tables: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            messages: Vec::new(),
            free_at: 0.0,
            waiting: VecDeque::new(),
            most_seen_waiting: 0.0,
            most_seen_messages: 0,
            followers: Vec::new(),
            fault: None,
            fault_calls: usize::MAX,
            fault_until: 0.0,
            calls: 0,
            faulty_calls: 0,
            excused_until: 0.0,
            relay_silent_until: 0.0,
            discovery_silent_until: 0.0,
            record: String::new(),
            rule,
            broken: Vec::new(),
            other_broken: 0,
            rng: 0x9E37_79B9_7F4A_7C15,
            judged_from: f64::INFINITY,
            alive_at: None,
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn note(&mut self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.record, "{now:10.1} {text}");
    }

    /// A rule was broken: counted if it is the one that the case is about, else only told.
    pub fn break_rule(&mut self, rule: u8, text: &str) {
        let counts = rule == self.rule || rule == 0 || self.rule == 0;
        if counts && self.broken.len() < 40 {
            self.note(&format!("RULE {rule} BROKEN: {text}"));
        }
        if counts {
            self.broken.push(format!("rule {rule}: {text}"));
        } else {
            self.other_broken += 1;
            if self.other_broken < 10 {
                self.note(&format!("another rule, {rule}: {text}"));
            }
        }
    }

    pub fn random(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn server(&mut self, name: &str) -> &mut Server {
        let found = self.servers.iter().position(|s| s.name == name);
        &mut self.servers[found.expect("a server of this name")]
    }

    /// Adds a server and the socket that answers its health requests. It is told with the next `tell`.
    pub fn add_server(&mut self, name: &str, zone: usize, since_ms: u64) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let _ = answer_health(socket);
            }
        });
        let zones = self.figures.zones.len();
        self.servers.push(Server {
            name: name.into(),
            zone,
            status: "up",
            weight: 1.0,
            since_ms,
            address,
            changed: self.version,
            told_out: None,
            told_up: None,
            tries: vec![0; zones],
            total: 0,
            recent: VecDeque::new(),
            start_told: f64::INFINITY,
            start_told_of: u64::MAX,
        });
    }

    /// Changes the status of servers in one version of the list.
    pub fn tell(&mut self, names: &[&str], status: &'static str, since_ms: Option<u64>) {
        self.version += 1;
        let version = self.version;
        for name in names {
            let server = self.server(name);
            server.status = status;
            server.changed = version;
            server.since_ms = since_ms.unwrap_or(server.since_ms);
        }
        self.note(&format!("list {version}: {} {status}", names.join(" ")));
    }

    fn entry(server: &Server, zones: &[String]) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"m1","group":1,"status":"{}","weight":{:.1},"since_ms":{}}}"#,
            server.name,
            server.address,
            zones[server.zone],
            server.status,
            server.weight,
            server.since_ms
        )
    }

    /// The list after a version: the changes, or the whole list.
    pub fn list(&self, after: Option<u64>) -> String {
        let wanted = |s: &&Server| match after {
            Some(after) => s.changed > after,
            None => s.status != "removed",
        };
        let entries = self.servers.iter().filter(wanted);
        let entries: Vec<String> = entries
            .map(|s| State::entry(s, &self.figures.zones))
            .collect();
        format!(
            r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
            self.version,
            after.is_none(),
            entries.join(",")
        )
    }

    /// The controller has been sent the list up to the present version.
    fn told(&mut self) {
        let now = self.now();
        for server in &mut self.servers {
            if server.start_told_of != server.since_ms {
                (server.start_told_of, server.start_told) = (server.since_ms, now);
            }
            match server.status {
                "up" => {
                    server.told_up.get_or_insert(now);
                    server.told_out = None;
                }
                _ => {
                    server.told_out.get_or_insert(now);
                    server.told_up = None;
                }
            }
        }
    }

    /// The object `settings` of the configuration.
    pub fn settings(&self) -> String {
        let f = &self.figures;
        let ns = |ms: f64| (ms * 1e6) as u64;
        let lanes: Vec<String> = f
            .classes
            .iter()
            .map(|(name, aim, worth)| {
                format!(
                    r#"{{"name":"{name}","aimNs":{},"deadlineNs":{},"credit":{worth:.1},"dedupScope":"all","effect":"pure","keyTtlNs":5000000000,"lateWorth":0.1}}"#,
                    aim * 1_000_000,
                    aim * 2_500_000
                )
            })
            .collect();
        let zones: Vec<String> = f.zones.iter().map(|z| format!("\"{z}\"")).collect();
        let local = (0..f.classes.len()).map(|class| f.first_class_stays_local && class == 0);
        let local: Vec<String> = local.map(|l| l.to_string()).collect();
        format!(
            r#"{{"balancers":1,"family":"control","kinds":["m1"],"lanes":[{}],"limits":{{"connIdleNs":15000000000,"cpuUsPerS":900000,"dialTimeoutNs":250000000,"mayTell":false,"probing":{},"streamsPerConn":32}},"rank":0,"registryMode":"push","report":{{"fields":[],"how":"none"}},"rules":{{"askWithinNs":10000000000,"coldFrom":{},"fallMultiple":{},"fallNs":{},"rampTimeNs":{},"stopSendingWithinNs":{}}},"specifics":{{"admit":"none","bareNs":{},"baseMode":1,"choice":"rotate","costPerLine":0.04,"egressPerS":{:.1},"ingestRate":{:.1},"messagesMost":{},"mostWaiting":{:.1},"overhead":{:.1},"proxies":{},"pushDelayNs":{},"reloadSpanNs":{},"reportEveryNs":{},"shards":0,"soleOwner":false,"standing":{},"staysLocal":[{}],"strikes":{}}},"tickNs":2000000,"weightSource":"rough","zone":0,"zones":[{}]}}"#,
            lanes.join(","),
            f.probing,
            f.cold_from,
            f.fall_multiple,
            ns(f.fall_ms),
            ns(f.ramp_ms),
            ns(f.grace_ms),
            ns(f.bare_ms),
            f.lines_per_s,
            f.ingest_rate,
            f.messages_most,
            f.most_waiting,
            f.overhead,
            f.proxies,
            ns(f.latency_ms),
            ns(f.reload_span_ms),
            ns(f.report_every_ms),
            f.standing,
            local.join(","),
            f.strikes,
            zones.join(",")
        )
    }

    // ---- proxies ----

    /// A proxy starts: it draws its standing table from the list, in its zone if three are there.
    pub fn start_proxy(&mut self, proxy: usize) {
        let zone = self.proxies[proxy].zone;
        let up = |s: &&Server| s.status == "up";
        let mut names: Vec<String> = self
            .servers
            .iter()
            .filter(up)
            .filter(|s| s.zone == zone)
            .map(|s| s.name.clone())
            .collect();
        if names.len() < 3 {
            names = self
                .servers
                .iter()
                .filter(up)
                .map(|s| s.name.clone())
                .collect();
        }
        let mut lines = BTreeMap::new();
        while lines.len() < self.figures.standing && !names.is_empty() {
            let at = (self.random() * names.len() as f64) as usize;
            lines.insert(names.swap_remove(at.min(names.len() - 1)), 1.0);
        }
        let owed = self.random();
        let p = &mut self.proxies[proxy];
        // Proxies do not send in step.
        (p.lines, p.owed) = (lines, owed);
    }

    /// A proxy's stream to the controller comes up at the relay.
    pub fn join(&mut self, proxy: usize) {
        let now = self.now();
        let rate = self.figures.visits_per_s / self.figures.proxies as f64;
        let p = &mut self.proxies[proxy];
        p.joined = true;
        p.joined_at = now;
        p.stream += 1;
        p.bound = None;
        p.messages.clear();
        p.bare_since = None;
        let line = format!(
            "* hello {proxy} {} {rate:.1} {}\r\n",
            self.figures.zones[p.zone],
            u8::from(!p.has_ordered)
        );
        self.note(line.trim_end());
        self.broadcast(&line);
    }

    /// A proxy's stream breaks; it keeps what it holds.
    pub fn leave(&mut self, proxy: usize) {
        self.proxies[proxy].joined = false;
        self.proxies[proxy].bound = None;
        let line = format!("* bye {proxy}\r\n");
        self.note(line.trim_end());
        self.broadcast(&line);
    }

    fn broadcast(&mut self, line: &str) {
        self.followers.retain(|f| f.send(line.into()).is_ok());
    }

    /// The controller is started anew: at the relay nothing of the former one is left.
    pub fn forget_controller(&mut self) {
        self.followers.clear();
        self.tables.clear();
        self.withdrawn.clear();
        self.messages.clear();
        self.waiting.clear();
        self.free_at = 0.0;
        for p in &mut self.proxies {
            p.joined = false;
            p.bound = None;
        }
    }

    // ---- the relay ----

    /// Carries a call out; returns how many orders were taken.
    fn execute(&mut self, text: &str) -> usize {
        let now = self.now();
        let mut per_proxy: BTreeMap<usize, (f64, Vec<Update>)> = BTreeMap::new();
        let (mut taken, mut mark) = (0, None);
        for order in text.split(';') {
            let words: Vec<&str> = order.split(',').collect();
            let joined: Vec<usize> = (0..self.proxies.len())
                .filter(|p| self.proxies[*p].joined)
                .collect();
            let is_listed = |name: &str| self.servers.iter().any(|s| s.name == name);
            match words[..] {
                ["share", table, server, weight] if is_listed(server) => {
                    let (Ok(table), Ok(weight)) = (table.parse::<usize>(), weight.parse::<f64>())
                    else {
                        break;
                    };
                    if weight.is_nan() || weight < 0.0 {
                        break;
                    }
                    let lines = self.tables.entry(table).or_default();
                    if weight > 0.0 {
                        lines.insert(server.into(), weight);
                    } else {
                        lines.remove(server);
                    }
                    for p in joined
                        .into_iter()
                        .filter(|p| self.proxies[*p].bound == Some(table))
                    {
                        let entry = per_proxy.entry(p).or_default();
                        entry.0 += 1.0;
                        entry.1.push(Update::Line(server.into(), weight));
                    }
                }
                ["clear", table] => {
                    let Ok(table) = table.parse::<usize>() else {
                        break;
                    };
                    self.tables.remove(&table);
                    for p in joined
                        .into_iter()
                        .filter(|p| self.proxies[*p].bound == Some(table))
                    {
                        let entry = per_proxy.entry(p).or_default();
                        entry.0 += 1.0;
                        entry.1.push(Update::Clear);
                    }
                }
                ["admit", table, _, level, _] => {
                    let Ok(level) = level.parse::<f64>() else {
                        break;
                    };
                    if level.is_nan() || level < 0.0 {
                        break;
                    }
                    let table = table.parse::<usize>().ok();
                    for p in joined
                        .into_iter()
                        .filter(|p| table.is_none() || self.proxies[*p].bound == table)
                    {
                        per_proxy.entry(p).or_default().0 += 1.0;
                    }
                }
                ["withdraw" | "restore", server] if is_listed(server) => {
                    let out = words[0] == "withdraw";
                    if out {
                        self.withdrawn.insert(server.into());
                    } else {
                        self.withdrawn.remove(server);
                    }
                    for p in joined {
                        let holds = match self.proxies[p].bound {
                            Some(table) => self
                                .tables
                                .get(&table)
                                .is_some_and(|t| t.contains_key(server)),
                            None => self.proxies[p].lines.contains_key(server),
                        };
                        let update = Update::Withdraw(server.into(), out);
                        if holds {
                            let entry = per_proxy.entry(p).or_default();
                            entry.0 += 1.0;
                            entry.1.push(update);
                        } else {
                            // It costs nothing where the proxy does not hold the server, and is in order.
                            let q = &self.proxies[p];
                            let (arrives, stream) = (q.last_arrival.max(now), q.stream);
                            let updates = vec![update];
                            self.messages.push(Message {
                                arrives,
                                proxy: p,
                                stream,
                                updates,
                                mark: None,
                                sent: now,
                            });
                        }
                    }
                }
                ["bind", proxy, table, _] => {
                    let (Ok(proxy), Ok(table)) = (proxy.parse::<usize>(), table.parse::<usize>())
                    else {
                        break;
                    };
                    if !self.proxies.get(proxy).is_some_and(|p| p.joined) {
                        break;
                    }
                    self.proxies[proxy].bound = Some(table);
                    let lines = self.tables.get(&table).cloned().unwrap_or_default();
                    let entry = per_proxy.entry(proxy).or_default();
                    let levels = self.figures.classes.len();
                    let out = lines.keys().filter(|s| self.withdrawn.contains(*s)).count();
                    entry.0 += (1 + lines.len() + levels + out) as f64;
                    entry.1.push(Update::Full(lines, self.withdrawn.clone()));
                }
                ["mark", number, _] => {
                    let Ok(number) = number.parse::<u32>() else {
                        break;
                    };
                    mark = Some(number);
                }
                _ => break,
            }
            taken += 1;
        }
        for (proxy, (lines, updates)) in per_proxy {
            let lines = lines + self.figures.overhead + f64::from(u8::from(mark.is_some()));
            self.free_at = self.free_at.max(now) + lines / self.figures.lines_per_s * 1000.0;
            self.waiting.push_back((self.free_at, lines));
            let spread = 0.7 + 0.6 * self.random();
            let p = &mut self.proxies[proxy];
            let arrives = (self.free_at + self.figures.latency_ms * spread).max(p.last_arrival);
            p.last_arrival = arrives;
            p.messages.push_back(now);
            let stream = p.stream;
            self.messages.push(Message {
                arrives,
                proxy,
                stream,
                updates,
                mark,
                sent: now,
            });
        }
        self.check_channel(now);
        taken
    }

    /// Rule 5.
    fn check_channel(&mut self, now: f64) {
        while self
            .waiting
            .front()
            .is_some_and(|(leaves, _)| *leaves <= now)
        {
            self.waiting.pop_front();
        }
        let waiting: f64 = self.waiting.iter().map(|w| w.1).sum();
        self.most_seen_waiting = self.most_seen_waiting.max(waiting);
        if waiting > self.figures.most_waiting {
            self.break_rule(5, &format!("{waiting:.0} lines wait in the channel"));
        }
        let (most, span) = (self.figures.messages_most, self.figures.reload_span_ms);
        for proxy in 0..self.proxies.len() {
            let messages = &mut self.proxies[proxy].messages;
            while messages.front().is_some_and(|at| now - at >= span) {
                messages.pop_front();
            }
            let count = messages.len();
            self.most_seen_messages = self.most_seen_messages.max(count);
            if most > 0 && count > most {
                self.break_rule(
                    5,
                    &format!("{count} messages to proxy {proxy} within {span} ms"),
                );
            }
        }
    }

    /// Lets messages arrive, sends visits, and checks the rules on proxies.
    fn tick(&mut self, elapsed_ms: f64) {
        let now = self.now();
        self.check_channel(now);
        let mut due: Vec<Message> = Vec::new();
        let mut at = 0;
        while at < self.messages.len() {
            if self.messages[at].arrives <= now {
                due.push(self.messages.remove(at));
            } else {
                at += 1;
            }
        }
        for message in due {
            let p = &mut self.proxies[message.proxy];
            if !p.joined || p.stream != message.stream {
                continue;
            }
            for update in message.updates {
                match update {
                    Update::Line(server, weight) if weight > 0.0 => {
                        p.lines.insert(server, weight);
                    }
                    Update::Line(server, _) => drop(p.lines.remove(&server)),
                    Update::Clear => p.lines.clear(),
                    Update::Withdraw(server, true) => drop(p.withdrawn.insert(server)),
                    Update::Withdraw(server, false) => drop(p.withdrawn.remove(&server)),
                    Update::Full(lines, withdrawn) => {
                        (p.lines, p.withdrawn, p.has_ordered) = (lines, withdrawn, true);
                    }
                }
            }
            if let Some(mark) = message.mark {
                let line = format!(
                    "* ack {} {mark} {:.1}\r\n",
                    message.proxy,
                    now - message.sent
                );
                self.broadcast(&line);
            }
        }
        let judged = now >= self.judged_from && now >= self.excused_until;
        let rate = self.figures.visits_per_s / self.figures.proxies as f64;
        for proxy in 0..self.proxies.len() {
            let p = &mut self.proxies[proxy];
            p.owed += rate * elapsed_ms / 1000.0;
            let count = p.owed as u64;
            p.owed -= count as f64;
            p.visits += count;
            for _ in 0..count {
                self.visit(proxy, now, judged);
            }
            self.check_bare(proxy, now, judged, false);
            if self.figures.first_class_stays_local {
                self.check_bare(proxy, now, judged, true);
            }
        }
    }

    /// Rule 1, for all classes or for the one that stays local.
    fn check_bare(&mut self, proxy: usize, now: f64, judged: bool, local: bool) {
        let warm_up = unix_ms().saturating_sub(self.figures.ramp_ms as u64);
        let limit = self.figures.bare_ms + 300.0;
        let p = &self.proxies[proxy];
        let is_open = |s: &Server| !local || s.zone == p.zone;
        let has_warm = self
            .servers
            .iter()
            .any(|s| is_open(s) && s.told_up.is_some() && s.since_ms <= warm_up);
        let open = p.lines.keys().filter(|s| !p.withdrawn.contains(*s));
        let mut open =
            open.filter(|name| self.servers.iter().any(|s| s.name == **name && is_open(s)));
        let bare = p.joined && open.next().is_none();
        let p = &mut self.proxies[proxy];
        let zone = p.zone;
        let since = if local {
            &mut p.local_bare_since
        } else {
            &mut p.bare_since
        };
        if !(bare && has_warm && judged) {
            *since = None;
            return;
        }
        let since_ms = *since.get_or_insert(now);
        if now - since_ms <= limit {
            return;
        }
        // Told once.
        *since = Some(f64::INFINITY);
        let lines: Vec<String> = p.lines.iter().map(|(s, w)| format!("{s}={w:.2}")).collect();
        let shut: Vec<&str> = p.withdrawn.iter().map(String::as_str).collect();
        let class = if local {
            " for the class that stays in its zone"
        } else {
            ""
        };
        let text = format!(
            "proxy {proxy} of zone {zone} has had no server to pick{class} for {:.0} ms; its lines: {}; withdrawn: {}",
            now - since_ms,
            lines.join(" "),
            shut.join(" ")
        );
        self.break_rule(1, &text);
    }

    /// Rule 4: a cold server gets more than the multiple of what it can do now. Judged once the controller has
    /// known of the start for the grace.
    fn check_cold(&mut self, name: &str, now: f64, judged: bool) {
        let f = &self.figures;
        let (fall_ms, ramp_ms, multiple, cold_from) =
            (f.fall_ms, f.ramp_ms, f.fall_multiple, f.cold_from);
        let (grace, capacity) = (f.grace_ms + 300.0, f.server_visits_per_s);
        let server = self.server(name);
        while server.recent.front().is_some_and(|at| now - at > fall_ms) {
            server.recent.pop_front();
        }
        let age = unix_ms().saturating_sub(server.since_ms) as f64;
        if age >= ramp_ms
            || age < fall_ms
            || server.start_told_of != server.since_ms
            || now - server.start_told < grace + fall_ms
            || !judged
        {
            return;
        }
        let share = cold_from + (1.0 - cold_from) * age / ramp_ms;
        let limit = multiple * share * capacity * fall_ms / 1000.0 + 4.0;
        let count = server.recent.len();
        if count as f64 > limit {
            self.break_rule(4, &format!("cold server {name}, {age:.0} ms old, got {count} visits within {fall_ms} ms, {limit:.1} are its limit"));
        }
    }

    /// A proxy sends one visit, evenly by weight.
    fn visit(&mut self, proxy: usize, now: f64, judged: bool) {
        let p = &mut self.proxies[proxy];
        p.sent += 1;
        let local = self.figures.first_class_stays_local && p.sent.is_multiple_of(2);
        let zone_of = |name: &str| self.servers.iter().find(|s| s.name == name).map(|s| s.zone);
        let open = p.lines.iter().filter(|(s, _)| !p.withdrawn.contains(*s));
        let open = open.filter(|(s, _)| !local || zone_of(s) == Some(p.zone));
        let open: Vec<(String, f64)> = open.map(|(s, w)| (s.clone(), *w)).collect();
        let total: f64 = open.iter().map(|o| o.1).sum();
        let mut best: Option<(String, f64)> = None;
        for (server, weight) in &open {
            let credit = p.credit.entry(server.clone()).or_default();
            *credit += weight;
            if best.as_ref().is_none_or(|b| *credit > b.1) {
                best = Some((server.clone(), *credit));
            }
        }
        let Some((name, _)) = best else {
            p.refused += 1;
            return;
        };
        *p.credit.entry(name.clone()).or_default() -= total;
        let (zone, joined, joined_at) = (p.zone, p.joined, p.joined_at);
        let limit = self.figures.grace_ms + 300.0;
        let server = self.server(&name);
        server.tries[zone] += 1;
        server.total += 1;
        let (status, told) = (server.status, server.told_out);
        server.recent.push_back(now);
        self.check_cold(&name, now, judged);
        // Rule 3.
        if let Some(told) = told {
            let late = now - told.max(joined_at);
            if joined && judged && late > limit {
                self.break_rule(3, &format!("proxy {proxy} sent a visit to {name} ({status}) {:.0} ms after the controller was told, {late:.0} ms after the later of that and its joining",
                    now - told
                ));
            }
        }
    }
}

/// Answers one health request with 200.
fn answer_health(mut socket: TcpStream) -> std::io::Result<()> {
    socket.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut buffer = [0; 1024];
    let _ = socket.read(&mut buffer)?;
    socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

/// Reads one line ended by LF; `None` at the end of the stream.
fn read_line(socket: &mut TcpStream, pending: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(at) = pending.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = pending.drain(..=at).collect();
            return Some(String::from_utf8_lossy(&line).trim_end().to_string());
        }
        let mut buffer = [0; 16384];
        match socket.read(&mut buffer) {
            Ok(n) if n > 0 => pending.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}

fn serve_relay(shared: &Shared, mut socket: TcpStream) {
    let mut pending = Vec::new();
    while let Some(line) = read_line(&mut socket, &mut pending) {
        if line == "follow" {
            let (sender, receiver) = channel();
            {
                let mut state = lock(shared);
                let mut first = String::from("OK\r\n");
                let rate = state.figures.visits_per_s / state.figures.proxies as f64;
                for (i, p) in state.proxies.iter().enumerate().filter(|(_, p)| p.joined) {
                    let zone = &state.figures.zones[p.zone];
                    let _ = write!(
                        first,
                        "* hello {i} {zone} {rate:.1} {}\r\n",
                        u8::from(!p.has_ordered)
                    );
                }
                let _ = sender.send(first);
                state.followers.push(sender);
                state.note("a follower");
            }
            follow(shared, &mut socket, &receiver);
            return;
        }
        let Some(orders) = line.strip_prefix("txn ") else {
            let _ = socket.write_all(b"bad_request\r\n");
            continue;
        };
        let answer = {
            let mut state = lock(shared);
            state.calls += 1;
            let (now, count) = (state.now(), orders.split(';').count());
            let silent = now < state.relay_silent_until;
            let fault = state
                .fault
                .filter(|_| state.fault_calls > 0 && now < state.fault_until);
            let fault = if silent {
                Some(CallFault::SilentNotDone)
            } else {
                fault
            };
            if fault.is_some() {
                state.fault_calls = state.fault_calls.saturating_sub(1);
                state.faulty_calls += 1;
                let wait = match fault {
                    Some(CallFault::BreakDone | CallFault::BreakNotDone) => 500.0,
                    _ => 1500.0,
                };
                state.excused_until = state.excused_until.max(now + wait);
            }
            let done = !matches!(
                fault,
                Some(CallFault::BreakNotDone | CallFault::SilentNotDone)
            );
            let taken = if done { state.execute(orders) } else { 0 };
            let what = match fault {
                None => format!("OK {taken}"),
                Some(fault) => format!("{fault:?}"),
            };
            let shown: String = orders.chars().take(400).collect();
            state.note(&format!("call of {count} orders: {shown} -> {what}"));
            match fault {
                None => Ok(format!("OK {taken}\r\n")),
                Some(fault) => Err(fault),
            }
        };
        match answer {
            Ok(text) => {
                if socket.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Err(CallFault::BreakDone | CallFault::BreakNotDone) => {
                let _ = socket.shutdown(Shutdown::Both);
                return;
            }
            Err(_) => {}
        }
    }
}

/// Sends news, and a sign of life each second.
fn follow(shared: &Shared, socket: &mut TcpStream, news: &Receiver<String>) {
    let mut beat = Instant::now() + Duration::from_secs(1);
    loop {
        let silent = {
            let state = lock(shared);
            state.relay_silent_until - state.now()
        };
        if silent > 0.0 {
            thread::sleep(Duration::from_secs_f64(silent / 1000.0));
            beat = Instant::now();
            continue;
        }
        let left = beat.saturating_duration_since(Instant::now());
        let line = match news.recv_timeout(left) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => {
                beat += Duration::from_secs(1);
                "*\r\n".into()
            }
            Err(RecvTimeoutError::Disconnected) => {
                let _ = socket.shutdown(Shutdown::Both);
                return;
            }
        };
        if socket.write_all(line.as_bytes()).is_err() {
            return;
        }
    }
}

fn serve_discovery(shared: &Shared, mut socket: TcpStream) {
    let mut pending = Vec::new();
    let Some(request) = read_line(&mut socket, &mut pending) else {
        return;
    };
    while read_line(&mut socket, &mut pending).is_some_and(|line| !line.is_empty()) {}
    let after = request.split("after=").nth(1);
    let after = after
        .and_then(|a| a.split([' ', '&']).next())
        .and_then(|a| a.parse::<u64>().ok());
    let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    if socket.write_all(head.as_bytes()).is_err() {
        return;
    }
    let mut sent: Option<u64> = None;
    let mut beat = Instant::now() + Duration::from_secs(2);
    loop {
        let text = {
            let mut state = lock(shared);
            let silent = state.now() < state.discovery_silent_until;
            match sent {
                _ if silent => None,
                Some(sent) if sent == state.version => None,
                _ => {
                    let from = sent.or(after.filter(|a| *a > 0 && *a <= state.version));
                    let text = state.list(from);
                    sent = Some(state.version);
                    state.told();
                    state.note(&format!("discovery sends {text}"));
                    Some(text)
                }
            }
        };
        let text = match text {
            Some(text) => text,
            None if Instant::now() >= beat && !is_silent(shared) => String::new(),
            None => {
                thread::sleep(Duration::from_millis(3));
                continue;
            }
        };
        beat = Instant::now() + Duration::from_secs(2);
        if socket.write_all(chunk(&text).as_bytes()).is_err() {
            return;
        }
    }
}

/// Whether discovery is down.
fn is_silent(shared: &Shared) -> bool {
    let state = lock(shared);
    state.now() < state.discovery_silent_until
}

/// A listener of a stand-in, with its open connections.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    shut: Arc<AtomicBool>,
}

impl Door {
    /// Takes no new connection from now on: each is reset as it comes.
    pub fn shut(&self) {
        self.shut.store(true, Ordering::SeqCst);
    }

    /// Closes all open connections.
    pub fn close(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for socket in open.drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Closes one open connection.
    pub fn close_one(&self, which: usize) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if !open.is_empty() {
            let at = which % open.len();
            let _ = open.swap_remove(at).shutdown(Shutdown::Both);
        }
    }
}

/// Listens on a free loopback port and serves each connection on a thread of its own.
fn listen(shared: &Shared, serve: fn(&Shared, TcpStream)) -> Door {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let door = Door {
        address: listener.local_addr().expect("an address"),
        open: Arc::default(),
        shut: Arc::default(),
    };
    let (shared, inside) = (shared.clone(), door.clone());
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            if inside.shut.load(Ordering::SeqCst) {
                continue;
            }
            let _ = socket.set_nodelay(true);
            if let Ok(handle) = socket.try_clone() {
                let mut open = inside.open.lock().unwrap_or_else(PoisonError::into_inner);
                open.retain(|s| s.peer_addr().is_ok());
                open.push(handle);
            }
            let shared = shared.clone();
            thread::spawn(move || serve(&shared, socket));
        }
    });
    door
}

pub fn start_relay(shared: &Shared) -> Door {
    listen(shared, serve_relay)
}

pub fn start_discovery(shared: &Shared) -> Door {
    listen(shared, serve_discovery)
}

/// Runs proxies and the channel.
pub fn start_clock(shared: &Shared) {
    let shared = shared.clone();
    thread::spawn(move || {
        let mut last = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(4));
            let elapsed = last.elapsed();
            last = Instant::now();
            lock(&shared).tick(elapsed.as_secs_f64() * 1000.0);
        }
    });
}

/// One collector a zone: each report interval it connects if it must and forwards what was met.
pub fn start_collectors(shared: &Shared, controller: &Arc<Mutex<SocketAddr>>) {
    let zones = lock(shared).figures.zones.len();
    for zone in 0..zones {
        let (shared, controller) = (shared.clone(), controller.clone());
        thread::spawn(move || {
            let mut socket: Option<TcpStream> = None;
            loop {
                let every = lock(&shared).figures.report_every_ms;
                thread::sleep(Duration::from_secs_f64(every / 1000.0));
                let text = {
                    let mut state = lock(&shared);
                    let name = state.figures.zones[zone].clone();
                    let class = state.figures.classes[0].0.clone();
                    let mut text = String::new();
                    for server in &mut state.servers {
                        let tries = std::mem::take(&mut server.tries[zone]);
                        if tries > 0 {
                            let _ = write!(
                                text,
                                "outcomes zone={name} server={} tries={tries} failed=0 mean_ms=180.0 span_ms={every:.1}\r\n",
                                server.name
                            );
                        }
                    }
                    for (i, p) in state
                        .proxies
                        .iter_mut()
                        .enumerate()
                        .filter(|(_, p)| p.zone == zone)
                    {
                        let visits = std::mem::take(&mut p.visits);
                        if visits > 0 && p.joined {
                            let _ = write!(
                                text,
                                "demand proxy={i} class={class} tries={visits} failed=0 span_ms={every:.1}\r\n"
                            );
                        }
                    }
                    text
                };
                if socket.is_none() {
                    let to = *controller.lock().unwrap_or_else(PoisonError::into_inner);
                    socket = TcpStream::connect(to).ok().filter(|s| {
                        let mut s = s;
                        s.write_all(
                            format!("agent zone={}\r\n", lock(&shared).figures.zones[zone])
                                .as_bytes(),
                        )
                        .is_ok()
                    });
                }
                if let Some(open) = &mut socket
                    && open.write_all(text.as_bytes()).is_err()
                {
                    socket = None;
                }
            }
        });
    }
}
