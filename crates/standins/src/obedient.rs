//! The obedient proxy on a day: its plane and steering as they are, clients that bring visits over HTTP,
//! and what a day puts around it: the channel's time, cuts, refusals, and notes of what crossed its sockets.

use crate::proxy::{Layer, Look, Player, Trouble, class_of};
use crate::world::lock;
use dahliapoint_daemon::deployment;
use dahliapoint_fibers::{TcpStream, dial, shutdown_at, sleep, spawn};
use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::environment::{Environment, TableMessage};
use dahliapoint_proxy::file_client::{FileClient, ShutdownMode};
use dahliapoint_proxy::retry::Idempotency;
use dahliapoint_proxy::settings::{Class, FileSettings, RosterServer, Settings};
use dahliapoint_proxy::xds_client::XdsClient;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections that clients of one proxy keep.
const KEPT: usize = 64;

/// One life of a proxy's process.
struct Life {
    plane: Arc<DataPlane>,
    steered: Steered,
    address: SocketAddr,
}

enum Steered {
    Stream(Arc<XdsClient>),
    Files(Arc<FileClient>),
}

impl Life {
    /// As when the process is killed.
    fn end(&self) {
        match &self.steered {
            Steered::Stream(xds_client) => xds_client.stop(),
            Steered::Files(file_client) => file_client.stop(ShutdownMode::Silent),
        }
        self.plane.shut_down(self.address, Instant::now());
    }
}

pub struct Obedient {
    name: String,
    index: usize,
    zone: usize,
    layer: Arc<Layer>,
    settings: Settings,
    life: Mutex<Option<Arc<Life>>>,
    /// The table before the last message, to see what left it.
    before: Mutex<Vec<SocketAddr>>,
    look: Mutex<Look>,
    last_lines: Mutex<f64>,
    refuses: AtomicBool,
    deaf: AtomicBool,
    kept: Mutex<Vec<TcpStream>>,
}

impl Obedient {
    pub fn new(
        layer: &Arc<Layer>,
        index: usize,
        zone: usize,
        pace: f64,
        files: Option<FileSettings>,
    ) -> Arc<Obedient> {
        let name = format!("proxy-{index}");
        let classes = layer.classes.iter().zip(&layer.repeats);
        let classes = classes.map(|(c, repeat)| Class {
            name: c.name.clone(),
            hard_limit_ms: c.hard_ms,
            idempotency: match repeat {
                deployment::Idempotency::Safe => Idempotency::Safe,
                deployment::Idempotency::Keyed => Idempotency::Keyed,
                deployment::Idempotency::Never => Idempotency::Never,
            },
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: name.clone(),
            service: layer.service.clone(),
            zone: layer.world.zones[zone].clone(),
            visits_per_s: pace,
            controllers: vec![layer.relays[zone].address],
            files,
            listen: any,
            roster: PathBuf::new(),
            classes: classes.collect(),
            balancing: layer.way,
            initial_servers: layer.standing,
            ejection_failures: layer.strikes,
            ejection_ms: layer.shun_ms,
            reconnect_delay_ms: (100.0, 600.0),
            failback_after_ms: 0.0,
            idle_timeout_ms: layer.idle_ms,
            connect_timeout_ms: layer.connect_ms,
            stall_per_line_us: layer.apply_us,
            retry_budget_share: 1.0,
            proof_header: "x-unseen".into(),
            max_clients: 4096,
            seed: layer.seed ^ (index as u64 + 1).wrapping_mul(0x9E37_79B9),
            log_level: "error".into(),
        };
        Arc::new(Obedient {
            name,
            index,
            zone,
            layer: layer.clone(),
            settings,
            life: Mutex::default(),
            before: Mutex::default(),
            look: Mutex::default(),
            last_lines: Mutex::new(f64::NEG_INFINITY),
            refuses: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
            kept: Mutex::default(),
        })
    }

    /// A fresh process: a standing table of what the roster lists now.
    fn rise(self: &Arc<Self>) {
        let told = lock(&self.layer.world.told).clone();
        let roster = self.layer.backends.iter().map(|b| RosterServer {
            name: b.name.clone(),
            address: b.address,
            zone: self.layer.world.zones[b.zone].clone(),
            ready: told[b.index].state == "ready",
        });
        let roster: Vec<RosterServer> = roster.collect();
        let plane = DataPlane::with_environment(self.settings.clone(), &roster, self.clone());
        let address = match plane.serve() {
            Ok(address) => address,
            Err(e) => {
                eprintln!("{}: no port: {e}; it stays down", self.name);
                return;
            }
        };
        *lock(&self.before) = plane.servers();
        let steered = match self.settings.files.clone() {
            None => Steered::Stream(XdsClient::start(plane.clone())),
            Some(files) => match FileClient::start(plane.clone(), files) {
                Ok((file_client, _)) => Steered::Files(file_client),
                Err(e) => {
                    eprintln!("{}: {e}; it stays down", self.name);
                    return;
                }
            },
        };
        let life = Life {
            steered,
            plane,
            address,
        };
        *lock(&self.life) = Some(Arc::new(life));
    }

    fn bring_visits(self: &Arc<Self>) {
        let seed = self.layer.seed ^ (self.index as u64).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        let mut rng = StdRng::seed_from_u64(seed);
        let world = self.layer.world.clone();
        let mut next = world.now_ms();
        while !world.is_over() && self.settings.visits_per_s > 0.0 {
            next += -f64::ln(1.0 - rng.random::<f64>()) / self.settings.visits_per_s * 1e3;
            world.wait_until(next);
            let Some(life) = lock(&self.life).clone() else {
                next = world.now_ms() + 50.0;
                continue;
            };
            let class = class_of(&self.layer.classes, rng.random::<f64>());
            let work = self.layer.classes[class].work_ms * (0.5 + rng.random::<f64>());
            let proxy = self.clone();
            spawn(move || proxy.visit(&life, class, work));
        }
    }

    /// One visit, as its client sees it.
    fn visit(&self, life: &Life, class: usize, work: f64) {
        let world = &self.layer.world;
        let id = self.layer.visits.fetch_add(1, Ordering::SeqCst) + 1;
        let begun = world.now_ms();
        lock(&world.ledger.earned)[class].asked += 1;
        let answered = self.ask(life, class, id, work);
        let took = world.now_ms() - begun;
        let play = &self.layer.classes[class];
        let mut earned = lock(&world.ledger.earned);
        let earned = &mut earned[class];
        match answered {
            Ok(200) if took <= play.soft_ms => earned.in_time += 1,
            Ok(200) => earned.late += 1,
            Ok(503) => earned.refused += 1,
            _ => earned.failed += 1,
        }
    }

    /// Asks the proxy; the status, 503 only for a visit that was not let in.
    fn ask(&self, life: &Life, class: usize, id: u64, work: f64) -> io::Result<u16> {
        let play = &self.layer.classes[class];
        // A little more than the proxy has: it answers first.
        let patience = Duration::from_secs_f64((play.hard_ms + 500.0) / 1e3);
        let kept = lock(&self.kept).pop();
        let mut socket = match kept.filter(|s| !is_closed(s)) {
            Some(socket) => socket,
            None => dial(life.address, patience)?,
        };
        let _ = socket.set_nodelay(true);
        let end = shutdown_at(&socket, Instant::now() + patience)?;
        let head = format!(
            "GET /{} HTTP/1.1\r\nHost: s\r\nX-Visit: {id}\r\nX-Try: 1\r\nX-Class: {class}\r\n\
             X-Work-Ms: {work:.3}\r\nX-Proxy: {}\r\n\r\n",
            dahliapoint_xds::names::escape(&play.name),
            self.index
        );
        socket.write_all(head.as_bytes())?;
        let mut bytes = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            let n = socket.read(&mut chunk)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.extend_from_slice(&chunk[..n]);
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            let parsed = response.parse(&bytes).map_err(io::Error::other)?;
            let httparse::Status::Complete(begins) = parsed else {
                continue;
            };
            let header = |name: &str| {
                let found = response.headers.iter();
                let mut found = found.filter(|h| h.name.eq_ignore_ascii_case(name));
                found.next().and_then(|h| std::str::from_utf8(h.value).ok())
            };
            let length = header("content-length").and_then(|v| v.parse::<usize>().ok());
            if bytes.len() < begins + length.unwrap_or(0) {
                continue;
            }
            let status = response.code.unwrap_or(0);
            let closes = header("connection") == Some("close");
            let let_in = !bytes[begins..].starts_with(b"not let in");
            if !closes && !end.has_fired() {
                let mut kept = lock(&self.kept);
                if kept.len() < KEPT {
                    kept.push(socket);
                }
            }
            return Ok(match status {
                503 if let_in => 502,
                status => status,
            });
        }
    }
}

impl Player for Obedient {
    fn start(self: Arc<Self>) {
        self.rise();
        spawn(move || self.bring_visits());
    }

    fn restart(self: Arc<Self>, down_ms: f64) {
        let life = lock(&self.life).take();
        spawn(move || {
            if let Some(life) = life {
                life.end();
                lock(&self.kept).clear();
                self.connection_changed(false);
            }
            sleep(Duration::from_secs_f64(down_ms / 1e3));
            if !self.layer.world.is_over() {
                self.rise();
            }
        });
    }

    fn look(&self, now: f64, warm_ready: bool) {
        let lines = lock(&self.life)
            .as_ref()
            .map(|life| life.plane.server_count());
        let joined = lock(&self.layer.world.heard)[self.index].joined.is_some();
        let bare = joined && lines == Some(0) && warm_ready;
        lock(&self.look).see(&self.layer.world.ledger, now, &self.name, joined, bare);
    }

    fn is_bound_since(&self, after: f64) -> bool {
        let joined = lock(&self.layer.world.heard)[self.index].joined;
        joined.is_some_and(|at| at > after && *lock(&self.last_lines) >= at)
    }

    fn can_be_told(&self) -> bool {
        lock(&self.life).is_some() && !self.deaf.load(Ordering::SeqCst)
    }

    fn trouble(&self, what: Trouble, on: bool) {
        match what {
            Trouble::Refuses => self.refuses.store(on, Ordering::SeqCst),
            Trouble::Deaf => {
                self.deaf.store(on, Ordering::SeqCst);
                lock(&self.layer.world.heard)[self.index].deaf = on;
            }
            // It reports as often as it is told: a day with floods is for scripted proxies.
            Trouble::Floods => {}
        }
    }
}

impl Environment for Obedient {
    fn dial(&self, to: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
        let server = self.layer.by_address.get(&to.to_string());
        let cut = |s: &usize| {
            let zone = self.layer.backends[*s].zone;
            self.layer.world.is_cut(self.zone, zone)
        };
        if server.is_some_and(cut) {
            sleep(patience);
            return Err(io::ErrorKind::TimedOut.into());
        }
        dial(to, patience)
    }

    fn knows_server(&self, server: &str) -> bool {
        let refuses = self.refuses.load(Ordering::SeqCst);
        !refuses && self.layer.backends.iter().any(|b| b.name == server)
    }

    fn connection_changed(&self, is_up: bool) {
        let world = &self.layer.world;
        if is_up {
            world.ledger.rejoined(&self.name);
        }
        lock(&world.heard)[self.index].joined = is_up.then(|| world.now_ms());
    }

    fn before_read(&self) {
        let world = &self.layer.world;
        let dead = || lock(&self.life).is_none();
        while self.deaf.load(Ordering::SeqCst) && !world.is_over() && !dead() {
            sleep(Duration::from_millis(100));
            lock(&world.heard)[self.index].reads_since = world.now_ms();
        }
    }

    fn message_received(&self, message: &TableMessage<'_>) -> Instant {
        let (world, channel) = (&self.layer.world, &self.layer.channel);
        let now = world.now_ms();
        let lines = self.lines(message);
        world.ledger.message(now, &self.name, lines);
        world.at(channel.leaves(now, lines) + channel.way_ms)
    }

    fn message_processed(&self, message: &TableMessage<'_>, came: Instant, is_refused: bool) {
        let (world, ledger) = (&self.layer.world, &self.layer.world.ledger);
        let now = world.now_ms();
        let came = now - came.elapsed().as_secs_f64() * 1e3;
        let way = now - came - self.layer.channel.way_ms;
        ledger.message_done(self.lines(message), way.max(0.0));
        lock(&world.heard)[self.index].last_message = came;
        if is_refused {
            return;
        }
        let Some(life) = lock(&self.life).clone() else {
            return;
        };
        let servers = life.plane.servers();
        if message.carries_lines {
            *lock(&self.last_lines) = now;
            let lines = message.lines as u64;
            if lines > 0 && message.bytes > 0 {
                let whole = message.bytes / lines * (servers.len() as u64).max(lines);
                ledger.wire(message.bytes, whole);
            }
        }
        let era = world.era.load(Ordering::SeqCst);
        let serial = format!("{era}/{}", message.serial);
        ledger.applied(&serial, came, now);
        let before = std::mem::replace(&mut *lock(&self.before), servers.clone());
        for left in before.iter().filter(|s| !servers.contains(s)) {
            if let Some(server) = self.layer.by_address.get(&left.to_string()) {
                let told = lock(&world.told)[*server].clone();
                if told.state != "ready" {
                    ledger.withdrawn(now - told.since_ms);
                }
            }
        }
    }

    fn message_dropped(&self, message: &TableMessage<'_>) {
        let ledger = &self.layer.world.ledger;
        ledger.message_done(self.lines(message), 0.0);
    }
}

impl Obedient {
    fn lines(&self, message: &TableMessage<'_>) -> f64 {
        message.lines as f64 + self.layer.message_lines
    }
}

fn is_closed(socket: &TcpStream) -> bool {
    let peeked = socket.inner().peek(&mut [0; 1]);
    !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
