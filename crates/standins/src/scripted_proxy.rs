//! A scripted proxy: it gets tables by xDS, sends visits by weight, ejects failing servers, retries as the
//! controller orders, and sends load reports. It is simple on purpose; the real proxy has everything else.
//! Also here: what both kinds of proxies share.

use crate::faulty_link::FaultyLink;
use crate::rule_checker::RuleChecker;
use crate::run_state::{RunState, lock};
use crate::test_server::TestServer;
use dahliapoint_daemon::deployment::Idempotency;
use dahliapoint_fibers::{Queue, Received, TcpStream, dial, shutdown_at, sleep, spawn};
use dahliapoint_grpc::{Connection, Inbound, Limits, Outbound, Status};
use dahliapoint_proxy::load_balancing::BalancingPolicy;
use dahliapoint_xds::Message as _;
use dahliapoint_xds::names::LEDS;
use dahliapoint_xds::pb::discovery::DeltaDiscoveryResponse;
use dahliapoint_xds::pb::load_stats::LoadStatsResponse;
use dahliapoint_xds::{ClientState, ClusterLoad, EndpointLoad, load_stats_request, names};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A class of visits and its workload.
#[derive(Clone, Debug)]
pub struct ClassWorkload {
    pub name: String,
    /// The share of the visits, relative to the other classes.
    pub share: f64,
    /// The mean work of a visit on a server of speed 1.
    pub work_ms: f64,
    pub soft_ms: f64,
    pub hard_ms: f64,
    pub earnings: f64,
    pub non_idempotent: bool,
}

/// A fault of a proxy that a scenario switches on and off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFault {
    /// Rejects every message with lines.
    RejectsMessages,
    /// Reads nothing from its stream.
    StopsReading,
    /// Sends a load report every 5 ms.
    FloodsReports,
}

/// A proxy of either kind as the runner drives it.
pub trait TestProxy: Send + Sync {
    /// Starts the proxy and its clients.
    fn start(self: Arc<Self>);
    /// Stops, and starts again after a while with its initial table only.
    fn restart(self: Arc<Self>, down_ms: f64);
    /// Checks rule 1; called periodically.
    fn check_no_server(&self, now: f64, warm_ready: bool);
    /// Whether it has got a table on a stream that began after that time.
    fn is_bound_after(&self, after: f64) -> bool;
    /// Whether it runs and reads its stream.
    fn is_reachable(&self) -> bool;
    /// Switches a fault on or off.
    fn set_fault(&self, fault: ProxyFault, on: bool);
}

/// Since when a proxy has had no server to choose.
#[derive(Default)]
pub struct NoServerTimer(Option<f64>);

impl NoServerTimer {
    /// Notes whether the proxy has a server now, and checks rule 1 if it is joined. After a violation the
    /// time starts again.
    pub fn update(
        &mut self,
        checker: &RuleChecker,
        now: f64,
        proxy: &str,
        joined: bool,
        no_server: bool,
    ) {
        self.0 = no_server.then(|| self.0.unwrap_or(now));
        if joined && checker.check_no_server(now, proxy, self.0) {
            self.0 = Some(now);
        }
    }
}

/// Draws a class by share; `draw` is between 0 and 1.
pub fn draw_class(classes: &[ClassWorkload], draw: f64) -> usize {
    let all: f64 = classes.iter().map(|c| c.share).sum();
    let mut left = draw * all;
    for (i, class) in classes.iter().enumerate() {
        left -= class.share;
        if left < 0.0 {
            return i;
        }
    }
    classes.len() - 1
}

/// What all proxies of a run share.
pub struct ProxyContext {
    pub run_state: Arc<RunState>,
    pub service: String,
    pub classes: Vec<ClassWorkload>,
    pub repeat_policies: Vec<Idempotency>,
    pub balancing: BalancingPolicy,
    pub servers: Vec<Arc<TestServer>>,
    /// Indices of servers.
    pub by_address: HashMap<String, usize>,
    /// The links to the controller, by zone.
    pub links: Vec<Arc<FaultyLink>>,
    pub channel: ControllerChannel,
    pub ejection_failures: u32,
    pub ejection_ms: f64,
    pub apply_us_per_line: f64,
    pub initial_server_count: usize,
    pub connect_ms: f64,
    pub idle_ms: f64,
    /// Lines that each message counts for in addition to its own.
    pub message_lines: f64,
    /// How long after the roster lists a start the controller may still send orders that ignore it.
    pub roster_lag_ms: f64,
    pub seed: u64,
    /// Visits sent so far, for their identifiers.
    pub visits: AtomicU64,
}

/// A model of the controller's channel with the figures of the deployment: lines leave one after the other
/// at a fixed rate, and each message arrives after a latency. All proxies share it, as there is one controller.
pub struct ControllerChannel {
    pub lines_per_s: Mutex<f64>,
    pub latency_ms: f64,
    /// When the lines written so far have left.
    free_at_ms: Mutex<f64>,
}

impl ControllerChannel {
    /// An empty channel.
    pub fn new(lines_per_s: f64, latency_ms: f64) -> ControllerChannel {
        ControllerChannel {
            lines_per_s: Mutex::new(lines_per_s),
            latency_ms,
            free_at_ms: Mutex::new(0.0),
        }
    }

    /// When a message of so many lines that is written now has left the channel.
    pub fn send_time(&self, now: f64, lines: f64) -> f64 {
        let lines_per_s = *lock(&self.lines_per_s);
        let mut free = lock(&self.free_at_ms);
        *free = free.max(now) + lines / lines_per_s * 1e3;
        *free
    }
}

/// A server in the table.
#[derive(Clone, Debug, PartialEq)]
struct Target {
    server: usize,
    weight: f64,
}

/// The table in use, which is replaced as a whole.
#[derive(Default)]
struct Table {
    targets: Vec<Target>,
    /// The admitted share, by class.
    shares: Vec<f64>,
    /// By class: retried after failures.
    on_failure: Vec<bool>,
    /// It came from the controller; otherwise it holds the initial servers.
    received: bool,
}

impl Table {
    fn has(&self, server: usize) -> bool {
        self.targets.iter().any(|p| p.server == server)
    }
}

/// A message that was read from a stream and is still in the model of the channel.
struct QueuedMessage {
    response: DeltaDiscoveryResponse,
    received_ms: f64,
    /// When it leaves the channel.
    send_time_ms: f64,
    lines: f64,
}

/// What the next load report counts.
#[derive(Default)]
struct LoadCounts {
    /// By class and server.
    endpoints: BTreeMap<(usize, usize), EndpointLoad>,
    /// Visits that were not admitted, by class.
    dropped: BTreeMap<usize, u64>,
    since_ms: f64,
}

/// A scripted proxy and its clients.
pub struct ScriptedProxy {
    pub name: String,
    pub zone: usize,
    pub visits_per_s: f64,
    context: Arc<ProxyContext>,
    table: Mutex<Arc<Table>>,
    initial_servers: Mutex<Vec<usize>>,
    holder: Mutex<ClientState>,
    /// When the current stream began.
    joined: Mutex<Option<f64>>,
    no_server_since: Mutex<NoServerTimer>,
    last_message_ms: Mutex<f64>,
    /// When it last resumed reading its stream; it cannot know of anything before.
    reading_since: Mutex<f64>,
    /// When it last applied a message with lines.
    last_update_ms: Mutex<f64>,
    /// Until when it is busy applying a message; visits wait.
    busy_until_ms: Mutex<f64>,
    /// Idle connections by server, with the time of their last use.
    pools: Mutex<HashMap<usize, Vec<(TcpStream, f64)>>>,
    /// By server: consecutive failures, and until when it is ejected.
    ejected: Mutex<HashMap<usize, (u32, f64)>>,
    counts: Mutex<LoadCounts>,
    /// Tries in flight, by class and server.
    in_flight: Mutex<BTreeMap<(usize, usize), u64>>,
    pub rejects_messages: AtomicBool,
    pub stops_reading: AtomicBool,
    pub floods_reports: AtomicBool,
    /// The process is stopped.
    pub is_down: AtomicBool,
    dial_count: AtomicU64,
}

impl ScriptedProxy {
    /// A proxy that is not started.
    pub fn new(
        context: &Arc<ProxyContext>,
        index: usize,
        zone: usize,
        visits_per_s: f64,
    ) -> Arc<ScriptedProxy> {
        let name = format!("proxy-{index}");
        let zone_name = &context.run_state.zones[zone];
        Arc::new(ScriptedProxy {
            holder: Mutex::new(ClientState::new(
                &context.service,
                &name,
                zone_name,
                visits_per_s,
            )),
            name,
            zone,
            visits_per_s,
            context: context.clone(),
            table: Mutex::default(),
            initial_servers: Mutex::default(),
            joined: Mutex::default(),
            no_server_since: Mutex::default(),
            last_message_ms: Mutex::new(0.0),
            reading_since: Mutex::new(0.0),
            last_update_ms: Mutex::new(f64::NEG_INFINITY),
            busy_until_ms: Mutex::new(0.0),
            pools: Mutex::default(),
            ejected: Mutex::default(),
            counts: Mutex::default(),
            in_flight: Mutex::default(),
            rejects_messages: AtomicBool::new(false),
            stops_reading: AtomicBool::new(false),
            floods_reports: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            dial_count: AtomicU64::new(0),
        })
    }

    /// A generator for one purpose, seeded from the scenario and the name.
    fn rng(&self, purpose: u64) -> StdRng {
        let name = self
            .name
            .bytes()
            .fold(purpose, |a, b| a.wrapping_mul(31).wrapping_add(b.into()));
        StdRng::seed_from_u64(self.context.seed ^ name)
    }

    /// Draws the initial servers from the ready ones, of its own zone if that has at least three.
    fn draw_initial_servers(&self) {
        let listed = lock(&self.context.run_state.listed).clone();
        let ready = |s: &&Arc<TestServer>| listed[s.index].state == "ready";
        let candidates: Vec<usize> = {
            let all = self.context.servers.iter().filter(ready);
            let near = all.clone().filter(|s| s.zone == self.zone);
            let near: Vec<usize> = near.map(|s| s.index).collect();
            match near.len() >= 3 {
                true => near,
                false => all.map(|s| s.index).collect(),
            }
        };
        let mut left = candidates;
        let mut rng = self.rng(1);
        let mut drawn = Vec::new();
        while drawn.len() < self.context.initial_server_count && !left.is_empty() {
            drawn.push(left.swap_remove(rng.random_range(0..left.len())));
        }
        *lock(&self.initial_servers) = drawn;
        self.swap_table();
    }

    /// Builds the table from what was received and replaces the current one.
    fn swap_table(&self) {
        let context = &self.context;
        let holder = lock(&self.holder);
        let received = holder.table();
        let mut table = Table {
            shares: vec![1.0; context.classes.len()],
            on_failure: vec![false; context.classes.len()],
            received: received.is_some(),
            ..Table::default()
        };
        match received {
            Some(held) => {
                let open = held.lines.iter().filter(|l| l.open);
                table.targets = open
                    .filter_map(|l| {
                        Some(Target {
                            server: *context.by_address.get(&l.address)?,
                            weight: f64::from(l.weight),
                        })
                    })
                    .collect();
                for (i, class) in context.classes.iter().enumerate() {
                    table.shares[i] = held
                        .admitted_shares
                        .get(&class.name)
                        .copied()
                        .unwrap_or(1.0);
                    let on = held.retry_on.get(&class.name);
                    table.on_failure[i] = on.is_some_and(|on| on.contains("5xx"));
                }
            }
            None => {
                let initial_servers = lock(&self.initial_servers);
                let open = initial_servers
                    .iter()
                    .filter(|s| !holder.is_withdrawn(&context.servers[**s].name));
                table.targets = open
                    .map(|s| Target {
                        server: *s,
                        weight: 1.0,
                    })
                    .collect();
            }
        }
        drop(holder);
        let table = Arc::new(table);
        let before = std::mem::replace(&mut *lock(&self.table), table.clone());
        let now = context.run_state.now_ms();
        // Connections to servers that have left the table are closed.
        let has_left = |s: &usize| !table.has(*s);
        let closed: Vec<_> = {
            let mut pools = lock(&self.pools);
            let out: Vec<usize> = pools.keys().copied().filter(has_left).collect();
            out.iter().filter_map(|s| pools.remove(s)).collect()
        };
        drop(closed);
        for removed in before.targets.iter().filter(|p| !table.has(p.server)) {
            let listed = lock(&context.run_state.listed)[removed.server].clone();
            if listed.state != "ready" {
                context
                    .run_state
                    .checker
                    .record_drain_applied(now - listed.since_ms);
            }
        }
    }

    /// The number of open lines in the table from the controller, if there is one.
    fn received_lines(&self) -> Option<usize> {
        let table = lock(&self.table).clone();
        table.received.then_some(table.targets.len())
    }

    /// Opens one stream after the other until the run ends.
    fn run_streams(self: &Arc<Self>) {
        let mut rng = self.rng(2);
        while !self.context.run_state.has_ended() {
            if !self.is_down.load(Ordering::SeqCst) {
                let _ = self.run_stream();
                *lock(&self.joined) = None;
            }
            let jitter = rng.random_range(0.1..0.6);
            sleep(Duration::from_secs_f64(jitter));
        }
    }

    /// Runs one stream with its reports until it ends.
    fn run_stream(self: &Arc<Self>) -> Result<(), Status> {
        let context = &self.context;
        self.dial_count.fetch_add(1, Ordering::SeqCst);
        let limits = Limits {
            keepalive_interval: Duration::from_secs(1),
            peer_timeout: Duration::from_secs(2),
            ..Limits::default()
        };
        let link = Connection::connect(context.links[self.zone].address, limits)?;
        const ADS: &str =
            "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
        let mut dialed = link.start_call(ADS, None)?;
        let begin = lock(&self.holder).initial_requests();
        for request in &begin {
            dialed.outbound.send(request)?;
        }
        let (outbound, inbound) = dialed.wait_for_response()?;
        context.run_state.checker.reset_messages(&self.name);
        *lock(&self.joined) = Some(context.run_state.now_ms());
        let queue = Queue::bounded(256);
        let reading = {
            let (proxy, queue) = (self.clone(), queue.clone());
            spawn(move || proxy.read_stream(inbound, &queue))
        };
        let reporting = {
            let (proxy, link, queue) = (self.clone(), link.clone(), queue.clone());
            spawn(move || {
                let _ = proxy.send_reports(&link, &queue);
            })
        };
        let ended = self.apply_messages(outbound, &queue);
        queue.close();
        drop(link);
        let _ = reading.join();
        let _ = reporting.join();
        ended
    }

    /// Whether the run has ended or the process is stopped.
    fn is_stopped(&self) -> bool {
        self.context.run_state.has_ended() || self.is_down.load(Ordering::SeqCst)
    }

    /// Reads messages and records each as it comes out of the socket. The model of the channel sets when it
    /// leaves.
    fn read_stream(&self, mut inbound: Inbound, queue: &Queue<QueuedMessage>) {
        let context = &self.context;
        loop {
            while self.stops_reading.load(Ordering::SeqCst) && !self.is_stopped() {
                sleep(Duration::from_millis(100));
                *lock(&self.reading_since) = context.run_state.now_ms();
            }
            let soon = context
                .run_state
                .instant(context.run_state.now_ms() + 500.0);
            match inbound.receive_until::<DeltaDiscoveryResponse>(Some(soon)) {
                Ok(Some(response)) => {
                    let now = context.run_state.now_ms();
                    let lines = response.resources.len() + response.removed_resources.len();
                    let lines = lines as f64 + context.message_lines;
                    context
                        .run_state
                        .checker
                        .check_message(now, &self.name, lines);
                    let send_time_ms = context.channel.send_time(now, lines);
                    if queue
                        .put(QueuedMessage {
                            response,
                            received_ms: now,
                            send_time_ms,
                            lines,
                        })
                        .is_err()
                    {
                        context.run_state.checker.message_delivered(lines, 0.0);
                        break;
                    }
                }
                Ok(None) => break,
                Err(e)
                    if e.code == dahliapoint_grpc::Code::DeadlineExceeded && !self.is_stopped() =>
                {
                    // Nothing came; the coroutine that applies messages may have ended.
                    if queue.is_closed() {
                        break;
                    }
                }
                Err(_) => break,
            }
        }
        queue.close();
    }

    /// Applies each message once the model of the channel delivers it.
    fn apply_messages(
        &self,
        mut outbound: Outbound,
        queue: &Queue<QueuedMessage>,
    ) -> Result<(), Status> {
        let context = &self.context;
        let run_state = &context.run_state;
        loop {
            let soon = run_state.instant(run_state.now_ms() + 300.0);
            let items = match queue.take_all(Some(soon)) {
                Received::Items(items) => items,
                Received::TimedOut if self.is_stopped() => return Ok(()),
                Received::TimedOut => continue,
                Received::Closed => return Ok(()),
            };
            let mut failure = None;
            for message in items {
                if failure.is_none() {
                    run_state.wait_until(message.send_time_ms);
                }
                run_state
                    .checker
                    .message_delivered(message.lines, run_state.now_ms() - message.received_ms);
                if failure.is_some() {
                    continue;
                }
                run_state.wait_until(message.send_time_ms + context.channel.latency_ms);
                failure = self
                    .apply(&message.response, message.received_ms, &mut outbound)
                    .err();
            }
            if let Some(status) = failure {
                return Err(status);
            }
        }
    }

    /// Applies a message, replaces the table and sends the answer.
    fn apply(
        &self,
        response: &DeltaDiscoveryResponse,
        received_ms: f64,
        outbound: &mut Outbound,
    ) -> Result<(), Status> {
        let context = &self.context;
        let rejects_messages =
            self.rejects_messages.load(Ordering::SeqCst) && response.type_url == LEDS;
        let requests = {
            let mut holder = lock(&self.holder);
            holder.apply(response, |s| {
                !rejects_messages && context.servers.iter().any(|b| b.name == *s)
            })
        };
        let lines = response.resources.len() + response.removed_resources.len();
        let now = context.run_state.now_ms();
        *lock(&self.busy_until_ms) = now + lines as f64 * context.apply_us_per_line / 1e3;
        *lock(&self.last_message_ms) = received_ms;
        if response.type_url == LEDS {
            *lock(&self.last_update_ms) = now;
        }
        self.swap_table();
        let checker = &context.run_state.checker;
        let controller_run = context.run_state.controller_run.load(Ordering::SeqCst);
        let serial = format!("{controller_run}/{}", response.system_version_info);
        checker.record_applied(&serial, received_ms, now);
        if response.type_url == LEDS && lines > 0 {
            let bytes = response.encoded_len() as u64;
            let whole_table_bytes =
                bytes / lines as u64 * lock(&self.table).targets.len().max(lines) as u64;
            checker.record_bytes(bytes, whole_table_bytes);
        }
        for request in &requests {
            outbound.send(request)?;
        }
        Ok(())
    }

    /// Sends load reports at the interval that the controller asks for, until the stream has ended.
    fn send_reports<T>(&self, link: &Connection, alive: &Queue<T>) -> Result<(), Status> {
        const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
        let run_state = &self.context.run_state;
        let mut dialed = link.start_call(LRS, None)?;
        let node = lock(&self.holder).node().clone();
        dialed
            .outbound
            .send(&load_stats_request(Some(node), 0.0, &[]))?;
        let (mut outbound, mut inbound) = dialed.wait_for_response()?;
        let first = inbound.receive::<LoadStatsResponse>()?;
        let interval_s = first.and_then(|r| r.load_reporting_interval);
        let interval_s = interval_s.map_or(1.0, |d| d.seconds as f64 + f64::from(d.nanos) / 1e9);
        lock(&self.counts).since_ms = run_state.now_ms();
        while !alive.is_closed() && !self.is_stopped() {
            let floods_reports = self.floods_reports.load(Ordering::SeqCst);
            let wait = if floods_reports { 0.005 } else { interval_s };
            sleep(Duration::from_secs_f64(wait));
            let now = run_state.now_ms();
            let counts = {
                let mut counts = lock(&self.counts);
                let fresh = LoadCounts {
                    since_ms: now,
                    ..LoadCounts::default()
                };
                std::mem::replace(&mut *counts, fresh)
            };
            let tallies = self.cluster_tallies(&counts);
            let window = (now - counts.since_ms).max(1.0);
            outbound.send(&load_stats_request(None, window, &tallies))?;
        }
        Ok(())
    }

    /// The counts as tallies of a load report, a cluster for each class.
    fn cluster_tallies(&self, counts: &LoadCounts) -> Vec<ClusterLoad> {
        let classes = self.context.classes.iter().enumerate();
        classes
            .map(|(i, class)| {
                let endpoints = counts.endpoints.iter().filter(|((c, _), _)| *c == i);
                let in_flight = lock(&self.in_flight);
                let now = |place, e: &EndpointLoad| EndpointLoad {
                    in_progress: in_flight.get(place).copied().unwrap_or(0),
                    ..e.clone()
                };
                let dropped = counts.dropped.get(&i).map(|n| (class.name.clone(), *n));
                ClusterLoad {
                    cluster: names::cluster(&self.context.service, &class.name),
                    endpoints: endpoints.map(|(place, e)| now(place, e)).collect(),
                    dropped: dropped.into_iter().collect(),
                }
            })
            .collect()
    }

    /// Changes the tally of a class at a server.
    fn count(&self, class: usize, server: usize, change: impl FnOnce(&mut EndpointLoad)) {
        let mut counts = lock(&self.counts);
        let tally = counts.endpoints.entry((class, server)).or_default();
        if tally.address.is_empty() {
            tally.address = self.context.servers[server].address.to_string();
        }
        change(tally);
    }

    /// Sends visits with exponentially distributed gaps, and drops idle connections every 2 s.
    fn generate_visits(self: &Arc<Self>) {
        let mut rng = self.rng(3);
        let run_state = self.context.run_state.clone();
        let mut next = run_state.now_ms();
        let mut last_pruned = next;
        while !run_state.has_ended() && self.visits_per_s > 0.0 {
            next += -f64::ln(1.0 - rng.random::<f64>()) / self.visits_per_s * 1e3;
            run_state.wait_until(next);
            if self.is_stopped() {
                next = run_state.now_ms() + 50.0;
                continue;
            }
            let now = run_state.now_ms();
            if now - last_pruned > 2_000.0 {
                last_pruned = now;
                let idle_ms = self.context.idle_ms;
                let mut pools = lock(&self.pools);
                pools
                    .values_mut()
                    .for_each(|idle| idle.retain(|(_, used)| now - used < idle_ms));
            }
            let (class_draw, visit_seed) = (rng.random::<f64>(), rng.random::<u64>());
            let proxy = self.clone();
            spawn(move || proxy.visit(class_draw, visit_seed));
        }
    }

    /// Runs one visit to its end.
    fn visit(&self, draw: f64, visit_seed: u64) {
        let context = &self.context;
        let run_state = &context.run_state;
        let mut rng = StdRng::seed_from_u64(visit_seed);
        let class = draw_class(&context.classes, draw);
        let workload = &context.classes[class];
        let id = context.visits.fetch_add(1, Ordering::SeqCst) + 1;
        let start_ms = run_state.now_ms();
        lock(&run_state.checker.visit_counts)[class].asked += 1;
        let busy_until_ms = *lock(&self.busy_until_ms);
        run_state.wait_until(busy_until_ms);
        let table = lock(&self.table).clone();
        if rng.random::<f64>() >= table.shares[class] {
            *lock(&self.counts).dropped.entry(class).or_default() += 1;
            lock(&run_state.checker.visit_counts)[class].refused += 1;
            return;
        }
        let work = workload.work_ms * (0.5 + rng.random::<f64>());
        let mut tried = Vec::new();
        let mut succeeded = false;
        for number in 1..=2 {
            let Some(server) = self.choose_server(&tried, &mut rng) else {
                break;
            };
            let left = start_ms + workload.hard_ms - run_state.now_ms();
            if left <= 0.0 {
                break;
            }
            // A try that may be retried waits only until the soft limit.
            let may_retry = number == 1 && table.on_failure[class];
            let left = if may_retry {
                left.min(workload.soft_ms)
            } else {
                left
            };
            let outcome = self.attempt(class, server, id, number, work, left);
            tried.push(server);
            match outcome {
                Outcome::Succeeded => {
                    succeeded = true;
                    break;
                }
                Outcome::NotExecuted => {}
                Outcome::Failed if table.on_failure[class] => {}
                Outcome::Failed => break,
            }
        }
        let took = run_state.now_ms() - start_ms;
        let mut visit_counts = lock(&run_state.checker.visit_counts);
        let visit_counts = &mut visit_counts[class];
        match (succeeded, took <= workload.soft_ms) {
            (true, true) => visit_counts.in_time += 1,
            (true, false) => visit_counts.late += 1,
            (false, _) => visit_counts.failed += 1,
        }
    }

    /// Draws an untried server by weight; an ejected one only if no other is left.
    fn choose_server(&self, tried: &[usize], rng: &mut StdRng) -> Option<usize> {
        let table = lock(&self.table).clone();
        let now = self.context.run_state.now_ms();
        let ejected: Vec<usize> = {
            let ejected = lock(&self.ejected);
            let still = ejected.iter().filter(|(_, (_, until))| *until > now);
            still.map(|(s, _)| *s).collect()
        };
        let untried = table.targets.iter().filter(|p| !tried.contains(&p.server));
        let mut open: Vec<&Target> = untried
            .clone()
            .filter(|p| !ejected.contains(&p.server))
            .collect();
        if open.is_empty() {
            open = untried.collect();
        }
        let sum: f64 = open.iter().map(|p| p.weight).sum();
        let mut left = rng.random::<f64>() * sum;
        for p in &open {
            left -= p.weight;
            if left < 0.0 {
                return Some(p.server);
            }
        }
        open.last().map(|p| p.server)
    }

    /// Sends one try, checks rule 3, and records the result for reports and ejection.
    fn attempt(
        &self,
        class: usize,
        server: usize,
        id: u64,
        number: u32,
        work: f64,
        left: f64,
    ) -> Outcome {
        let context = &self.context;
        let run_state = &context.run_state;
        let target = &context.servers[server];
        let sent = run_state.now_ms();
        self.count(class, server, |t| t.issued += 1);
        *lock(&self.in_flight).entry((class, server)).or_default() += 1;
        let (listed, last_message_ms) = {
            let listed = lock(&run_state.listed);
            (listed[server].clone(), *lock(&self.last_message_ms))
        };
        if let Some(joined) = *lock(&self.joined) {
            // A proxy that does not read cannot know of a drain; its grace starts when it reads again.
            let stops_reading = self.stops_reading.load(Ordering::SeqCst);
            let drained = (listed.state != "ready" && !stops_reading).then_some(listed.since_ms);
            let since = joined.max(*lock(&self.reading_since));
            run_state
                .checker
                .check_drain(sent, &self.name, since, &target.name, drained);
        }
        let start = listed.started_ms.map(|_| listed.since_ms);
        let limits = &run_state.checker.limits;
        let knows_start = start.is_some_and(|at| {
            last_message_ms > at + context.roster_lag_ms || sent > at + limits.drain_grace_ms
        });
        let outcome = match run_state.is_cut(self.zone, target.zone) {
            true => {
                sleep(Duration::from_secs_f64(left.min(context.connect_ms) / 1e3));
                Outcome::NotExecuted
            }
            false => self.send_request(server, class, id, number, work, left, knows_start),
        };
        let took = run_state.now_ms() - sent;
        let succeeded = outcome == Outcome::Succeeded;
        run_state.record_try(server);
        if let Some(count) = lock(&self.in_flight).get_mut(&(class, server)) {
            *count -= 1;
        }
        self.count(class, server, |t| {
            if succeeded {
                t.succeeded += 1;
                t.success_ms += took;
            } else {
                t.failed += 1;
            }
        });
        let mut ejected = lock(&self.ejected);
        let failures = ejected.entry(server).or_insert((0, 0.0));
        failures.0 = if succeeded { 0 } else { failures.0 + 1 };
        if context.ejection_failures > 0 && failures.0 >= context.ejection_failures {
            *failures = (0, run_state.now_ms() + context.ejection_ms);
        }
        outcome
    }

    /// Sends the request on an idle or new connection and reads the response until `left` ms have passed.
    #[allow(clippy::too_many_arguments)]
    fn send_request(
        &self,
        server: usize,
        class: usize,
        id: u64,
        number: u32,
        work: f64,
        left: f64,
        knows_start: bool,
    ) -> Outcome {
        let context = &self.context;
        let until = context.run_state.now_ms() + left;
        let pooled = loop {
            match lock(&self.pools).get_mut(&server).and_then(Vec::pop) {
                Some((socket, _)) if is_closed(&socket) => {}
                other => break other.map(|(socket, _)| socket),
            }
        };
        let is_new = pooled.is_none();
        let mut socket = match pooled {
            Some(socket) => socket,
            None => {
                let to: SocketAddr = context.servers[server].address;
                let patience = Duration::from_secs_f64(left.min(context.connect_ms).max(1.0) / 1e3);
                match dial(to, patience) {
                    Ok(socket) => socket,
                    Err(_) => return Outcome::NotExecuted,
                }
            }
        };
        let _ = socket.set_nodelay(true);
        let Ok(end) = shutdown_at(&socket, context.run_state.instant(until)) else {
            return Outcome::NotExecuted;
        };
        let head = format!(
            "GET /{class} HTTP/1.1\r\nHost: s\r\nX-Visit: {id}\r\nX-Try: {number}\r\nX-Class: {class}\r\n\
             X-Work-Ms: {work:.3}\r\nX-Knows: {}\r\n\r\n",
            u8::from(knows_start)
        );
        if socket.write_all(head.as_bytes()).is_err() {
            // The server may have closed an idle connection before the request; a new one broke.
            return if is_new {
                Outcome::Failed
            } else {
                Outcome::NotExecuted
            };
        }
        let mut bytes = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            match socket.read(&mut chunk) {
                Ok(n) if n > 0 => bytes.extend_from_slice(&chunk[..n]),
                _ => return Outcome::Failed,
            }
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&bytes) {
                Ok(httparse::Status::Complete(_)) => {
                    let unseen = response
                        .headers
                        .iter()
                        .any(|h| h.name.eq_ignore_ascii_case("x-unseen"));
                    let outcome = match response.code {
                        Some(200) => Outcome::Succeeded,
                        Some(503) if unseen => Outcome::NotExecuted,
                        _ => Outcome::Failed,
                    };
                    self.record_load_report(server, class, response.headers);
                    let is_reusable = !end.has_fired();
                    drop(end);
                    if is_reusable {
                        let now = context.run_state.now_ms();
                        let mut pools = lock(&self.pools);
                        pools.entry(server).or_default().push((socket, now));
                    }
                    return outcome;
                }
                Ok(httparse::Status::Partial) => {}
                Err(_) => return Outcome::Failed,
            }
        }
    }

    /// Adds the metrics of the ORCA header of a response to the load counts.
    fn record_load_report(&self, server: usize, class: usize, headers: &[httparse::Header<'_>]) {
        let load = headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case("endpoint-load-metrics"));
        let text = load.and_then(|h| std::str::from_utf8(h.value).ok());
        let Some(text) = text.and_then(|t| t.strip_prefix("TEXT ")) else {
            return;
        };
        self.count(class, server, |t| {
            for pair in text.split(',') {
                let Some((name, value)) = pair.split_once('=') else {
                    continue;
                };
                let name = name.trim().strip_prefix("named_metrics.");
                if let (Some(name), Ok(value)) = (name, value.parse::<f64>()) {
                    let metric = t.metrics.entry(name.to_string()).or_default();
                    metric.0 += 1;
                    metric.1 += value;
                }
            }
        });
    }
}

impl TestProxy for ScriptedProxy {
    /// Draws the initial servers, then starts the streams with their reports, and the visits.
    fn start(self: Arc<Self>) {
        self.draw_initial_servers();
        for task in [ScriptedProxy::run_streams, ScriptedProxy::generate_visits] {
            let proxy = self.clone();
            spawn(move || task(&proxy));
        }
    }

    fn restart(self: Arc<Self>, down_ms: f64) {
        self.is_down.store(true, Ordering::SeqCst);
        spawn(move || {
            sleep(Duration::from_secs_f64(down_ms / 1e3));
            let zone = &self.context.run_state.zones[self.zone];
            *lock(&self.holder) =
                ClientState::new(&self.context.service, &self.name, zone, self.visits_per_s);
            self.draw_initial_servers();
            self.is_down.store(false, Ordering::SeqCst);
        });
    }

    fn check_no_server(&self, now: f64, warm_ready: bool) {
        let table = lock(&self.table).clone();
        let joined = lock(&self.joined).is_some() && !self.is_down.load(Ordering::SeqCst);
        let no_server = joined && warm_ready && table.targets.is_empty();
        let checker = &self.context.run_state.checker;
        lock(&self.no_server_since).update(checker, now, &self.name, joined, no_server);
    }

    fn is_bound_after(&self, after: f64) -> bool {
        let joined = (*lock(&self.joined)).filter(|at| *at > after);
        joined
            .is_some_and(|at| self.received_lines().is_some() && *lock(&self.last_update_ms) >= at)
    }

    fn is_reachable(&self) -> bool {
        !self.is_down.load(Ordering::SeqCst) && !self.stops_reading.load(Ordering::SeqCst)
    }

    fn set_fault(&self, fault: ProxyFault, on: bool) {
        let flag = match fault {
            ProxyFault::RejectsMessages => &self.rejects_messages,
            ProxyFault::StopsReading => &self.stops_reading,
            ProxyFault::FloodsReports => &self.floods_reports,
        };
        flag.store(on, Ordering::SeqCst);
    }
}

/// Whether the other side has closed an idle connection; does not wait.
fn is_closed(socket: &TcpStream) -> bool {
    let peeked = socket.inner().peek(&mut [0; 1]);
    !matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// The result of one try.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Succeeded,
    /// It is certain that the server executed nothing.
    NotExecuted,
    Failed,
}
