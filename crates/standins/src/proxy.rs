//! A scripted proxy: holds tables by xDS, sends visits by weight, shuns, tries again as it is told, and
//! reports what it met. Plain on purpose; what it lacks is the obedient proxy's to have.

use crate::backend::Backend;
use crate::relay::Relay;
use crate::rules::Ledger;
use crate::world::{World, lock};
use dahliapoint_daemon::deployment::Idempotency;
use dahliapoint_fibers::{Queue, Received, TcpStream, dial, shutdown_at, sleep, spawn};
use dahliapoint_grpc::{Inbound, Limits, Link, Outbound, Status};
use dahliapoint_proxy::load_balancing::BalancingPolicy;
use dahliapoint_xds::Message as _;
use dahliapoint_xds::names::LEDS;
use dahliapoint_xds::pb::discovery::DeltaDiscoveryResponse;
use dahliapoint_xds::pb::load_stats::LoadStatsResponse;
use dahliapoint_xds::{ClusterTally, EndpointTally, Holder, load_request, names};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A class of visits as clients bring it.
#[derive(Clone, Debug)]
pub struct ClassPlay {
    pub name: String,
    pub share: f64,
    pub work_ms: f64,
    pub soft_ms: f64,
    pub hard_ms: f64,
    pub earnings: f64,
    pub never_twice: bool,
}

/// What can be wrong with a proxy for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Refuses,
    Deaf,
    Floods,
}

/// A proxy as the day sees it, scripted or obedient.
pub trait Player: Send + Sync {
    fn start(self: Arc<Self>);
    /// Dies, and after a while comes back with nothing but a standing table.
    fn restart(self: Arc<Self>, down_ms: f64);
    /// Rule 1's look at it, from time to time.
    fn look(&self, now: f64, warm_ready: bool);
    /// Bound on a stream that began after that time.
    fn is_bound_since(&self, after: f64) -> bool;
    fn can_be_told(&self) -> bool;
    fn trouble(&self, what: Trouble, on: bool);
}

/// Since when a joined proxy has had no line to pick.
#[derive(Default)]
pub struct Look(Option<f64>);

impl Look {
    pub fn see(&mut self, ledger: &Ledger, now: f64, proxy: &str, joined: bool, bare: bool) {
        self.0 = bare.then(|| self.0.unwrap_or(now));
        if joined && ledger.bare(now, proxy, self.0) {
            self.0 = Some(now);
        }
    }
}

/// The class that a draw from 0 to 1 falls on.
pub fn class_of(classes: &[ClassPlay], draw: f64) -> usize {
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

/// What all proxies of a day share.
pub struct Layer {
    pub world: Arc<World>,
    pub service: String,
    pub classes: Vec<ClassPlay>,
    pub repeats: Vec<Idempotency>,
    pub way: BalancingPolicy,
    pub backends: Vec<Arc<Backend>>,
    pub by_address: HashMap<String, usize>,
    /// The relays to the controller, by zone.
    pub relays: Vec<Arc<Relay>>,
    pub channel: Channel,
    pub strikes: u32,
    pub shun_ms: f64,
    pub apply_us: f64,
    pub standing: usize,
    pub connect_ms: f64,
    pub idle_ms: f64,
    pub message_lines: f64,
    /// How late an order that was sent when a start was told can still be without knowing it.
    pub knows_after_ms: f64,
    pub seed: u64,
    pub visits: AtomicU64,
}

/// The controller's channel as the deployment describes it: lines leave one after the other at a pace,
/// and a message then takes its way. One for all proxies, as there is one controller.
pub struct Channel {
    pub lines_per_s: Mutex<f64>,
    pub way_ms: f64,
    free_ms: Mutex<f64>,
}

impl Channel {
    pub fn new(lines_per_s: f64, way_ms: f64) -> Channel {
        Channel {
            lines_per_s: Mutex::new(lines_per_s),
            way_ms,
            free_ms: Mutex::new(0.0),
        }
    }

    /// When a message of so many lines, written now, has left the channel.
    pub fn leaves(&self, now: f64, lines: f64) -> f64 {
        let pace = *lock(&self.lines_per_s);
        let mut free = lock(&self.free_ms);
        *free = free.max(now) + lines / pace * 1e3;
        *free
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Pick {
    server: usize,
    weight: f64,
}

/// The table in use, swapped whole.
#[derive(Default)]
struct Table {
    picks: Vec<Pick>,
    shares: Vec<f64>,
    on_failure: Vec<bool>,
    given: bool,
}

impl Table {
    fn has(&self, server: usize) -> bool {
        self.picks.iter().any(|p| p.server == server)
    }
}

#[derive(Default)]
struct Counts {
    endpoints: BTreeMap<(usize, usize), EndpointTally>,
    dropped: BTreeMap<usize, u64>,
    since_ms: f64,
}

pub struct Proxy {
    pub name: String,
    pub zone: usize,
    pub pace: f64,
    layer: Arc<Layer>,
    table: Mutex<Arc<Table>>,
    standing: Mutex<Vec<usize>>,
    holder: Mutex<Holder>,
    joined: Mutex<Option<f64>>,
    bare_since: Mutex<Look>,
    last_message: Mutex<f64>,
    /// Since when it reads its stream (again): nobody can tell it anything before.
    reads_since: Mutex<f64>,
    last_lines: Mutex<f64>,
    stalled_until: Mutex<f64>,
    /// Connections kept, with when they were last used.
    pools: Mutex<HashMap<usize, Vec<(TcpStream, f64)>>>,
    shunned: Mutex<HashMap<usize, (u32, f64)>>,
    counts: Mutex<Counts>,
    /// Visits under way, by class and server.
    under_way: Mutex<BTreeMap<(usize, usize), u64>>,
    /// Faults: refuses every message; reads nothing; floods reports; is dead.
    pub refuses: AtomicBool,
    pub deaf: AtomicBool,
    pub floods: AtomicBool,
    pub dead: AtomicBool,
    dials: AtomicU64,
}

impl Proxy {
    pub fn new(layer: &Arc<Layer>, index: usize, zone: usize, pace: f64) -> Arc<Proxy> {
        let name = format!("proxy-{index}");
        let zone_name = &layer.world.zones[zone];
        Arc::new(Proxy {
            holder: Mutex::new(Holder::new(&layer.service, &name, zone_name, pace)),
            name,
            zone,
            pace,
            layer: layer.clone(),
            table: Mutex::default(),
            standing: Mutex::default(),
            joined: Mutex::default(),
            bare_since: Mutex::default(),
            last_message: Mutex::new(0.0),
            reads_since: Mutex::new(0.0),
            last_lines: Mutex::new(f64::NEG_INFINITY),
            stalled_until: Mutex::new(0.0),
            pools: Mutex::default(),
            shunned: Mutex::default(),
            counts: Mutex::default(),
            under_way: Mutex::default(),
            refuses: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
            floods: AtomicBool::new(false),
            dead: AtomicBool::new(false),
            dials: AtomicU64::new(0),
        })
    }

    fn seeded(&self, what: u64) -> StdRng {
        let name = self
            .name
            .bytes()
            .fold(what, |a, b| a.wrapping_mul(31).wrapping_add(b.into()));
        StdRng::seed_from_u64(self.layer.seed ^ name)
    }

    fn draw_standing(&self) {
        let told = lock(&self.layer.world.told).clone();
        let ready = |s: &&Arc<Backend>| told[s.index].state == "ready";
        let near: Vec<usize> = {
            let there = self.layer.backends.iter().filter(ready);
            let near = there.clone().filter(|s| s.zone == self.zone);
            let near: Vec<usize> = near.map(|s| s.index).collect();
            match near.len() >= 3 {
                true => near,
                false => there.map(|s| s.index).collect(),
            }
        };
        let mut left = near;
        let mut rng = self.seeded(1);
        let mut drawn = Vec::new();
        while drawn.len() < self.layer.standing && !left.is_empty() {
            drawn.push(left.swap_remove(rng.random_range(0..left.len())));
        }
        *lock(&self.standing) = drawn;
        self.swap_table();
    }

    /// Builds the table from what is held and swaps it whole.
    fn swap_table(&self) {
        let layer = &self.layer;
        let holder = lock(&self.holder);
        let given = holder.table();
        let mut table = Table {
            shares: vec![1.0; layer.classes.len()],
            on_failure: vec![false; layer.classes.len()],
            given: given.is_some(),
            ..Table::default()
        };
        match given {
            Some(held) => {
                let open = held.lines.iter().filter(|l| l.open);
                table.picks = open
                    .filter_map(|l| {
                        Some(Pick {
                            server: *layer.by_address.get(&l.address)?,
                            weight: f64::from(l.weight),
                        })
                    })
                    .collect();
                for (i, class) in layer.classes.iter().enumerate() {
                    table.shares[i] = held.shares.get(&class.name).copied().unwrap_or(1.0);
                    let on = held.retry_on.get(&class.name);
                    table.on_failure[i] = on.is_some_and(|on| on.contains("5xx"));
                }
            }
            None => {
                let standing = lock(&self.standing);
                let open = standing
                    .iter()
                    .filter(|s| !holder.is_shut(&layer.backends[**s].name));
                table.picks = open
                    .map(|s| Pick {
                        server: *s,
                        weight: 1.0,
                    })
                    .collect();
            }
        }
        drop(holder);
        let table = Arc::new(table);
        let before = std::mem::replace(&mut *lock(&self.table), table.clone());
        let now = layer.world.now_ms();
        // Connections to servers that have left the table are closed.
        let gone = |s: &usize| !table.has(*s);
        let closed: Vec<_> = {
            let mut pools = lock(&self.pools);
            let out: Vec<usize> = pools.keys().copied().filter(gone).collect();
            out.iter().filter_map(|s| pools.remove(s)).collect()
        };
        drop(closed);
        for left in before.picks.iter().filter(|p| !table.has(p.server)) {
            let told = lock(&layer.world.told)[left.server].clone();
            if told.state != "ready" {
                layer.world.ledger.withdrawn(now - told.since_ms);
            }
        }
    }

    /// Given a table on some stream, and in how many lines.
    fn holds(&self) -> Option<usize> {
        let table = lock(&self.table).clone();
        table.given.then_some(table.picks.len())
    }

    // ---- tables ----

    fn hold_tables(self: &Arc<Self>) {
        let mut rng = self.seeded(2);
        while !self.layer.world.is_over() {
            if !self.dead.load(Ordering::SeqCst) {
                let _ = self.one_stream();
                *lock(&self.joined) = None;
            }
            let jitter = rng.random_range(0.1..0.6);
            sleep(Duration::from_secs_f64(jitter));
        }
    }

    fn one_stream(self: &Arc<Self>) -> Result<(), Status> {
        let layer = &self.layer;
        self.dials.fetch_add(1, Ordering::SeqCst);
        let limits = Limits {
            keepalive: Duration::from_secs(1),
            patience: Duration::from_secs(2),
            ..Limits::default()
        };
        let link = Link::dial(layer.relays[self.zone].address, limits)?;
        const ADS: &str =
            "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
        let mut dialed = link.open(ADS, None)?;
        let begin = lock(&self.holder).begin();
        for request in &begin {
            dialed.outbound.send(request)?;
        }
        let (outbound, inbound) = dialed.answered()?;
        layer.world.ledger.rejoined(&self.name);
        *lock(&self.joined) = Some(layer.world.now_ms());
        let queue = Queue::bounded(256);
        let reading = {
            let (proxy, queue) = (self.clone(), queue.clone());
            spawn(move || proxy.read_stream(inbound, &queue))
        };
        let reporting = {
            let (proxy, link, queue) = (self.clone(), link.clone(), queue.clone());
            spawn(move || {
                let _ = proxy.report(&link, &queue);
            })
        };
        let ended = self.apply_stream(outbound, &queue);
        queue.close();
        drop(link);
        let _ = reading.join();
        let _ = reporting.join();
        ended
    }

    fn gone(&self) -> bool {
        self.layer.world.is_over() || self.dead.load(Ordering::SeqCst)
    }

    /// Notes each message as it comes out of the socket; the channel then lets it through in its turn.
    fn read_stream(
        &self,
        mut inbound: Inbound,
        queue: &Queue<(DeltaDiscoveryResponse, f64, f64, f64)>,
    ) {
        let layer = &self.layer;
        loop {
            while self.deaf.load(Ordering::SeqCst) && !self.gone() {
                sleep(Duration::from_millis(100));
                *lock(&self.reads_since) = layer.world.now_ms();
            }
            let soon = layer.world.at(layer.world.now_ms() + 500.0);
            match inbound.message_until::<DeltaDiscoveryResponse>(Some(soon)) {
                Ok(Some(response)) => {
                    let now = layer.world.now_ms();
                    let lines = response.resources.len() + response.removed_resources.len();
                    let lines = lines as f64 + layer.message_lines;
                    layer.world.ledger.message(now, &self.name, lines);
                    let leaves = layer.channel.leaves(now, lines);
                    if queue.put((response, now, leaves, lines)).is_err() {
                        layer.world.ledger.message_done(lines, 0.0);
                        break;
                    }
                }
                Ok(None) => break,
                Err(e) if e.code == dahliapoint_grpc::Code::DeadlineExceeded && !self.gone() => {
                    // Nothing came; the applying side may have ended meanwhile.
                    if queue.is_closed() {
                        break;
                    }
                }
                Err(_) => break,
            }
        }
        queue.close();
    }

    fn apply_stream(
        &self,
        mut outbound: Outbound,
        queue: &Queue<(DeltaDiscoveryResponse, f64, f64, f64)>,
    ) -> Result<(), Status> {
        let layer = &self.layer;
        let world = &layer.world;
        loop {
            let soon = world.at(world.now_ms() + 300.0);
            let items = match queue.take_all(Some(soon)) {
                Received::Items(items) => items,
                Received::TimedOut if self.gone() => return Ok(()),
                Received::TimedOut => continue,
                Received::Closed => return Ok(()),
            };
            let mut broken = None;
            for (response, came, leaves, lines) in items {
                if broken.is_none() {
                    world.wait_until(leaves);
                }
                world.ledger.message_done(lines, world.now_ms() - came);
                if broken.is_some() {
                    continue;
                }
                world.wait_until(leaves + layer.channel.way_ms);
                broken = self.apply(&response, came, &mut outbound).err();
            }
            if let Some(status) = broken {
                return Err(status);
            }
        }
    }

    fn apply(
        &self,
        response: &DeltaDiscoveryResponse,
        came: f64,
        outbound: &mut Outbound,
    ) -> Result<(), Status> {
        let layer = &self.layer;
        let refuses = self.refuses.load(Ordering::SeqCst) && response.type_url == LEDS;
        let requests = {
            let mut holder = lock(&self.holder);
            holder.apply(response, |s| {
                !refuses && layer.backends.iter().any(|b| b.name == *s)
            })
        };
        let lines = response.resources.len() + response.removed_resources.len();
        let now = layer.world.now_ms();
        *lock(&self.stalled_until) = now + lines as f64 * layer.apply_us / 1e3;
        *lock(&self.last_message) = came;
        if response.type_url == LEDS {
            *lock(&self.last_lines) = now;
        }
        self.swap_table();
        let ledger = &layer.world.ledger;
        let era = layer.world.era.load(Ordering::SeqCst);
        let serial = format!("{era}/{}", response.system_version_info);
        ledger.applied(&serial, came, now);
        if response.type_url == LEDS && lines > 0 {
            let bytes = response.encoded_len() as u64;
            let whole = bytes / lines as u64 * lock(&self.table).picks.len().max(lines) as u64;
            ledger.wire(bytes, whole);
        }
        for request in &requests {
            outbound.send(request)?;
        }
        Ok(())
    }

    // ---- reports ----

    fn report<T>(&self, link: &Link, alive: &Queue<T>) -> Result<(), Status> {
        const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
        let world = &self.layer.world;
        let mut dialed = link.open(LRS, None)?;
        let node = lock(&self.holder).node().clone();
        dialed.outbound.send(&load_request(Some(node), 0.0, &[]))?;
        let (mut outbound, mut inbound) = dialed.answered()?;
        let first = inbound.message::<LoadStatsResponse>()?;
        let every = first.and_then(|r| r.load_reporting_interval);
        let every = every.map_or(1.0, |d| d.seconds as f64 + f64::from(d.nanos) / 1e9);
        lock(&self.counts).since_ms = world.now_ms();
        while !alive.is_closed() && !self.gone() {
            let floods = self.floods.load(Ordering::SeqCst);
            let wait = if floods { 0.005 } else { every };
            sleep(Duration::from_secs_f64(wait));
            let now = world.now_ms();
            let counts = {
                let mut counts = lock(&self.counts);
                let fresh = Counts {
                    since_ms: now,
                    ..Counts::default()
                };
                std::mem::replace(&mut *counts, fresh)
            };
            let tallies = self.tallies(&counts);
            let window = (now - counts.since_ms).max(1.0);
            outbound.send(&load_request(None, window, &tallies))?;
        }
        Ok(())
    }

    fn tallies(&self, counts: &Counts) -> Vec<ClusterTally> {
        let classes = self.layer.classes.iter().enumerate();
        classes
            .map(|(i, class)| {
                let met = counts.endpoints.iter().filter(|((c, _), _)| *c == i);
                let under_way = lock(&self.under_way);
                let now = |place, e: &EndpointTally| EndpointTally {
                    in_progress: under_way.get(place).copied().unwrap_or(0),
                    ..e.clone()
                };
                let dropped = counts.dropped.get(&i).map(|n| (class.name.clone(), *n));
                ClusterTally {
                    cluster: names::cluster(&self.layer.service, &class.name),
                    endpoints: met.map(|(place, e)| now(place, e)).collect(),
                    dropped: dropped.into_iter().collect(),
                }
            })
            .collect()
    }

    fn count(&self, class: usize, server: usize, note: impl FnOnce(&mut EndpointTally)) {
        let mut counts = lock(&self.counts);
        let tally = counts.endpoints.entry((class, server)).or_default();
        if tally.address.is_empty() {
            tally.address = self.layer.backends[server].address.to_string();
        }
        note(tally);
    }

    // ---- visits ----

    fn bring_visits(self: &Arc<Self>) {
        let mut rng = self.seeded(3);
        let world = self.layer.world.clone();
        let mut next = world.now_ms();
        let mut pruned = next;
        while !world.is_over() && self.pace > 0.0 {
            next += -f64::ln(1.0 - rng.random::<f64>()) / self.pace * 1e3;
            world.wait_until(next);
            if self.gone() {
                next = world.now_ms() + 50.0;
                continue;
            }
            let now = world.now_ms();
            if now - pruned > 2_000.0 {
                pruned = now;
                let idle = self.layer.idle_ms;
                let mut pools = lock(&self.pools);
                pools
                    .values_mut()
                    .for_each(|kept| kept.retain(|(_, used)| now - used < idle));
            }
            let (class, luck) = (rng.random::<f64>(), rng.random::<u64>());
            let proxy = self.clone();
            spawn(move || proxy.visit(class, luck));
        }
    }

    /// One visit, to its end.
    fn visit(&self, draw: f64, luck: u64) {
        let layer = &self.layer;
        let world = &layer.world;
        let mut rng = StdRng::seed_from_u64(luck);
        let class = class_of(&layer.classes, draw);
        let play = &layer.classes[class];
        let id = layer.visits.fetch_add(1, Ordering::SeqCst) + 1;
        let begun = world.now_ms();
        lock(&world.ledger.earned)[class].asked += 1;
        let stalled = *lock(&self.stalled_until);
        world.wait_until(stalled);
        let table = lock(&self.table).clone();
        if rng.random::<f64>() >= table.shares[class] {
            *lock(&self.counts).dropped.entry(class).or_default() += 1;
            lock(&world.ledger.earned)[class].refused += 1;
            return;
        }
        let work = play.work_ms * (0.5 + rng.random::<f64>());
        let mut tried = Vec::new();
        let mut good = false;
        for number in 1..=2 {
            let Some(server) = self.pick(&tried, &mut rng) else {
                break;
            };
            let left = begun + play.hard_ms - world.now_ms();
            if left <= 0.0 {
                break;
            }
            // A try that may be followed by another waits for the soft limit only.
            let followed = number == 1 && table.on_failure[class];
            let left = if followed {
                left.min(play.soft_ms)
            } else {
                left
            };
            let outcome = self.attempt(class, server, id, number, work, left);
            tried.push(server);
            match outcome {
                Outcome::Good => {
                    good = true;
                    break;
                }
                Outcome::NeverRan => {}
                Outcome::Failed if table.on_failure[class] => {}
                Outcome::Failed => break,
            }
        }
        let took = world.now_ms() - begun;
        let mut earned = lock(&world.ledger.earned);
        let earned = &mut earned[class];
        match (good, took <= play.soft_ms) {
            (true, true) => earned.in_time += 1,
            (true, false) => earned.late += 1,
            (false, _) => earned.failed += 1,
        }
    }

    /// Evenly by weight; not one that is shunned, unless nothing else is left.
    fn pick(&self, tried: &[usize], rng: &mut StdRng) -> Option<usize> {
        let table = lock(&self.table).clone();
        let now = self.layer.world.now_ms();
        let shunned: Vec<usize> = {
            let shunned = lock(&self.shunned);
            let still = shunned.iter().filter(|(_, (_, until))| *until > now);
            still.map(|(s, _)| *s).collect()
        };
        let fresh = table.picks.iter().filter(|p| !tried.contains(&p.server));
        let mut open: Vec<&Pick> = fresh
            .clone()
            .filter(|p| !shunned.contains(&p.server))
            .collect();
        if open.is_empty() {
            open = fresh.collect();
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

    fn attempt(
        &self,
        class: usize,
        server: usize,
        id: u64,
        number: u32,
        work: f64,
        left: f64,
    ) -> Outcome {
        let layer = &self.layer;
        let world = &layer.world;
        let backend = &layer.backends[server];
        let sent = world.now_ms();
        self.count(class, server, |t| t.issued += 1);
        *lock(&self.under_way).entry((class, server)).or_default() += 1;
        let told = {
            let told = lock(&world.told);
            (told[server].clone(), *lock(&self.last_message))
        };
        if let Some(joined) = *lock(&self.joined) {
            // A proxy that takes nothing out of its stream cannot be told; its time runs from when it reads.
            let deaf = self.deaf.load(Ordering::SeqCst);
            let drained = (told.0.state != "ready" && !deaf).then_some(told.0.since_ms);
            let since = joined.max(*lock(&self.reads_since));
            world
                .ledger
                .sent(sent, &self.name, since, &backend.name, drained);
        }
        let start = told.0.started_ms.map(|_| told.0.since_ms);
        let figures = &world.ledger.figures;
        let knows = start
            .is_some_and(|at| told.1 > at + layer.knows_after_ms || sent > at + figures.grace_ms);
        let outcome = match world.is_cut(self.zone, backend.zone) {
            true => {
                sleep(Duration::from_secs_f64(left.min(layer.connect_ms) / 1e3));
                Outcome::NeverRan
            }
            false => self.call(server, class, id, number, work, left, knows),
        };
        let took = world.now_ms() - sent;
        let good = outcome == Outcome::Good;
        world.tried(server);
        if let Some(many) = lock(&self.under_way).get_mut(&(class, server)) {
            *many -= 1;
        }
        self.count(class, server, |t| {
            if good {
                t.good += 1;
                t.good_ms += took;
            } else {
                t.failed += 1;
            }
        });
        let mut shunned = lock(&self.shunned);
        let strikes = shunned.entry(server).or_insert((0, 0.0));
        strikes.0 = if good { 0 } else { strikes.0 + 1 };
        if layer.strikes > 0 && strikes.0 >= layer.strikes {
            *strikes = (0, world.now_ms() + layer.shun_ms);
        }
        outcome
    }

    #[allow(clippy::too_many_arguments)]
    fn call(
        &self,
        server: usize,
        class: usize,
        id: u64,
        number: u32,
        work: f64,
        left: f64,
        knows: bool,
    ) -> Outcome {
        let layer = &self.layer;
        let until = layer.world.now_ms() + left;
        let pooled = loop {
            match lock(&self.pools).get_mut(&server).and_then(Vec::pop) {
                Some((socket, _)) if is_closed(&socket) => {}
                other => break other.map(|(socket, _)| socket),
            }
        };
        let fresh = pooled.is_none();
        let mut socket = match pooled {
            Some(socket) => socket,
            None => {
                let to: SocketAddr = layer.backends[server].address;
                let patience = Duration::from_secs_f64(left.min(layer.connect_ms).max(1.0) / 1e3);
                match dial(to, patience) {
                    Ok(socket) => socket,
                    Err(_) => return Outcome::NeverRan,
                }
            }
        };
        let _ = socket.set_nodelay(true);
        let Ok(end) = shutdown_at(&socket, layer.world.at(until)) else {
            return Outcome::NeverRan;
        };
        let head = format!(
            "GET /{class} HTTP/1.1\r\nHost: s\r\nX-Visit: {id}\r\nX-Try: {number}\r\nX-Class: {class}\r\n\
             X-Work-Ms: {work:.3}\r\nX-Knows: {}\r\n\r\n",
            u8::from(knows)
        );
        if socket.write_all(head.as_bytes()).is_err() {
            // On a connection that was kept it may have been closed before; on a fresh one it broke.
            return if fresh {
                Outcome::Failed
            } else {
                Outcome::NeverRan
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
                        Some(200) => Outcome::Good,
                        Some(503) if unseen => Outcome::NeverRan,
                        _ => Outcome::Failed,
                    };
                    self.words(server, class, response.headers);
                    let kept = !end.has_fired();
                    drop(end);
                    if kept {
                        let now = layer.world.now_ms();
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

    /// The server's own words, as ORCA has them in an answer's header.
    fn words(&self, server: usize, class: usize, headers: &[httparse::Header<'_>]) {
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
                    let word = t.words.entry(name.to_string()).or_default();
                    word.0 += 1;
                    word.1 += value;
                }
            }
        });
    }
}

impl Player for Proxy {
    /// Starts afresh: draws its standing table, then lives: a stream, reports, visits.
    fn start(self: Arc<Self>) {
        self.draw_standing();
        for life in [Proxy::hold_tables, Proxy::bring_visits] {
            let proxy = self.clone();
            spawn(move || life(&proxy));
        }
    }

    fn restart(self: Arc<Self>, down_ms: f64) {
        self.dead.store(true, Ordering::SeqCst);
        spawn(move || {
            sleep(Duration::from_secs_f64(down_ms / 1e3));
            let zone = &self.layer.world.zones[self.zone];
            *lock(&self.holder) = Holder::new(&self.layer.service, &self.name, zone, self.pace);
            self.draw_standing();
            self.dead.store(false, Ordering::SeqCst);
        });
    }

    fn look(&self, now: f64, warm_ready: bool) {
        let table = lock(&self.table).clone();
        let joined = lock(&self.joined).is_some() && !self.dead.load(Ordering::SeqCst);
        let bare = joined && warm_ready && table.picks.is_empty();
        let ledger = &self.layer.world.ledger;
        lock(&self.bare_since).see(ledger, now, &self.name, joined, bare);
    }

    fn is_bound_since(&self, after: f64) -> bool {
        let joined = (*lock(&self.joined)).filter(|at| *at > after);
        joined.is_some_and(|at| self.holds().is_some() && *lock(&self.last_lines) >= at)
    }

    fn can_be_told(&self) -> bool {
        !self.dead.load(Ordering::SeqCst) && !self.deaf.load(Ordering::SeqCst)
    }

    fn trouble(&self, what: Trouble, on: bool) {
        let flag = match what {
            Trouble::Refuses => &self.refuses,
            Trouble::Deaf => &self.deaf,
            Trouble::Floods => &self.floods,
        };
        flag.store(on, Ordering::SeqCst);
    }
}

/// The other side has closed a connection that was kept: seen without waiting.
fn is_closed(socket: &TcpStream) -> bool {
    let peeked = socket.inner().peek(&mut [0; 1]);
    !matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Good,
    /// Proof that nothing ran.
    NeverRan,
    Failed,
}
