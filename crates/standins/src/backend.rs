//! A server on loopback: HTTP/1.1, cores and a queue in reckoned time, cold after a start, falls over
//! when pushed while cold, counts effects, tells its load as ORCA does, and has faults to be switched on.

use crate::world::{World, lock};
use dahliapoint_fibers::{TcpListener, TcpStream, dial, listen, sleep, spawn};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The cold rule's figures.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub share: f64,
    pub warm_after_ms: f64,
    pub falls_at: f64,
    pub falls_in_ms: f64,
}

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Answers at once with an error, this share of the visits.
    pub fail: f64,
    /// Takes visits and answers none; so also when it is silently dead.
    pub hang: bool,
    /// So many times slower.
    pub slow: f64,
    /// Stands still until then.
    pub paused_until_ms: f64,
    /// Fails all visits of this class.
    pub class: Option<usize>,
    /// Reports the load that it had when the fault began.
    pub stale_load: bool,
}

struct State {
    faults: Faults,
    /// When each core is free.
    cores: Vec<f64>,
    started_ms: Option<f64>,
    fallen: bool,
    /// Work that came while cold: when, how much, whether by a proxy that could know.
    cold: VecDeque<(f64, f64, bool)>,
    told_load: f64,
    told_ms: f64,
    latency_ms: f64,
}

pub struct Backend {
    pub index: usize,
    pub name: String,
    pub zone: usize,
    pub address: SocketAddr,
    speed: f64,
    queue: usize,
    cold: Cold,
    world: Arc<World>,
    state: Mutex<State>,
    up: AtomicBool,
    /// Connections of an earlier life end.
    life: AtomicU64,
    never_twice: Vec<bool>,
}

/// What a visit says of itself.
#[derive(Clone, Copy, Debug, Default)]
struct Visit {
    id: u64,
    try_number: u32,
    class: usize,
    work_ms: f64,
    knows: bool,
    /// The obedient proxy that it came by.
    proxy: Option<usize>,
}

enum Fate {
    Done(u16, f64),
    Never,
}

impl Backend {
    /// Starts a server that has been warm for long.
    ///
    /// # Errors
    /// When no port can be had.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        world: &Arc<World>,
        index: usize,
        zone: usize,
        cores: usize,
        speed: f64,
        queue: usize,
        cold: Cold,
        never_twice: Vec<bool>,
    ) -> io::Result<Arc<Backend>> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let backend = Arc::new(Backend {
            index,
            name: format!("server-{index}"),
            zone,
            address: listener.local_addr()?,
            speed,
            queue,
            cold,
            world: world.clone(),
            state: Mutex::new(State {
                faults: Faults {
                    slow: 1.0,
                    ..Faults::default()
                },
                cores: vec![0.0; cores],
                started_ms: None,
                fallen: false,
                cold: VecDeque::new(),
                told_load: 0.0,
                told_ms: 0.0,
                latency_ms: 0.0,
            }),
            up: AtomicBool::new(true),
            life: AtomicU64::new(0),
            never_twice,
        });
        backend.clone().accept(listener);
        Ok(backend)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let life = self.life.load(Ordering::SeqCst);
        spawn(move || {
            for socket in listener.incoming() {
                if self.life.load(Ordering::SeqCst) != life || self.world.is_over() {
                    return;
                }
                match socket {
                    Ok(socket) => {
                        let backend = self.clone();
                        spawn(move || backend.converse(socket, life));
                    }
                    Err(_) => sleep(Duration::from_millis(20)),
                }
            }
        });
    }

    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// The process dies: connections break, the port is closed.
    pub fn die(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
        // Wakes the accepting coroutine, which then lets the port go.
        let _ = dial(self.address, Duration::from_millis(500));
    }

    /// A fresh process at the same port: cold, without faults.
    pub fn rise(self: &Arc<Self>) {
        let mut bound = listen(self.address);
        for _ in 0..100 {
            if bound.is_ok() {
                break;
            }
            sleep(Duration::from_millis(20));
            bound = listen(self.address);
        }
        let Ok(listener) = bound else {
            eprintln!("{}: its port was taken; it stays down", self.name);
            return;
        };
        let now = self.world.now_ms();
        {
            let mut state = lock(&self.state);
            let cores = state.cores.len();
            state.faults = Faults {
                slow: 1.0,
                ..Faults::default()
            };
            state.cores = vec![now; cores];
            (state.started_ms, state.fallen) = (Some(now), false);
            state.cold.clear();
        }
        self.up.store(true, Ordering::SeqCst);
        self.clone().accept(listener);
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst) && !lock(&self.state).fallen
    }

    pub fn started_ms(&self) -> Option<f64> {
        lock(&self.state).started_ms
    }

    fn converse(&self, mut socket: TcpStream, life: u64) {
        let _ = socket.set_nodelay(true);
        let mut bytes: Vec<u8> = Vec::new();
        let mut chunk = [0; 2048];
        loop {
            let Some((length, probe, visit)) = parse(&bytes) else {
                match socket.read(&mut chunk) {
                    Ok(n) if n > 0 && bytes.len() < 16_384 => bytes.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
                continue;
            };
            bytes.drain(..length);
            let fate = match probe {
                true => self.probed(),
                false => match self.came_by(visit) {
                    Some(visit) => self.serve(visit),
                    None => Fate::Never,
                },
            };
            let (status, finish) = match fate {
                Fate::Done(status, finish) => (status, finish),
                Fate::Never => {
                    // Silence: the connection stays open and says nothing.
                    while !self.world.is_over() && self.life.load(Ordering::SeqCst) == life {
                        sleep(Duration::from_millis(200));
                    }
                    return;
                }
            };
            self.world.wait_until(finish);
            if visit.proxy.is_some() && !probe {
                self.world.tried(self.index);
            }
            if self.life.load(Ordering::SeqCst) != life || self.world.is_over() {
                return;
            }
            if status == 200 && !probe && self.never_twice[visit.class] {
                let at = self.world.now_ms();
                let ledger = &self.world.ledger;
                ledger.effect(at, visit.id, visit.try_number, "", (self.index, &self.name));
            }
            let (queue, latency) = self.load();
            let reason = if status == 503 { "X-Unseen: 1\r\n" } else { "" };
            let said = format!(
                "HTTP/1.1 {status} X\r\n{reason}endpoint-load-metrics: TEXT named_metrics.queue={queue},\
                 named_metrics.latency_ms={latency:.3}\r\nContent-Length: 0\r\n\r\n"
            );
            if socket.write_all(said.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// A visit came by an obedient proxy: rule 3 is looked at here, and whether the proxy could know of a
    /// start. Nothing comes through a cut.
    fn came_by(&self, mut visit: Visit) -> Option<Visit> {
        let Some(proxy) = visit.proxy else {
            return Some(visit);
        };
        let (world, now) = (&self.world, self.world.now_ms());
        let heard = lock(&world.heard).get(proxy).copied().unwrap_or_default();
        if world.is_cut(heard.zone, self.zone) {
            return None;
        }
        let told = lock(&world.told)[self.index].clone();
        if let Some(joined) = heard.joined {
            let drained = (told.state != "ready" && !heard.deaf).then_some(told.since_ms);
            let since = joined.max(heard.reads_since);
            let name = format!("proxy-{proxy}");
            world.ledger.sent(now, &name, since, &self.name, drained);
        }
        let start = told.started_ms.map(|_| told.since_ms);
        let grace = world.ledger.figures.grace_ms;
        visit.knows = start
            .is_some_and(|at| heard.last_message > at + world.knows_after_ms || now > at + grace);
        Some(visit)
    }

    fn load(&self) -> (f64, f64) {
        let mut state = lock(&self.state);
        let now = self.world.now_ms();
        if !state.faults.stale_load {
            let waiting = state
                .cores
                .iter()
                .map(|at| (at - now).max(0.0))
                .sum::<f64>();
            state.told_load = waiting / state.latency_ms.max(1.0);
            state.told_ms = state.latency_ms;
        }
        (state.told_load.round(), state.told_ms)
    }

    fn probed(&self) -> Fate {
        let now = self.world.now_ms();
        let state = lock(&self.state);
        if state.faults.hang || state.fallen {
            return Fate::Never;
        }
        let free = state.cores.iter().copied().fold(f64::INFINITY, f64::min);
        let at = free.max(now).max(state.faults.paused_until_ms);
        Fate::Done(200, at + 1.0 * state.faults.slow)
    }

    /// What it can do of a core's work now.
    fn able(&self, state: &State, now: f64) -> f64 {
        let age = state.started_ms.map_or(f64::INFINITY, |at| now - at);
        let warm = (age / self.cold.warm_after_ms).min(1.0);
        self.cold.share + (1.0 - self.cold.share) * warm
    }

    fn serve(&self, visit: Visit) -> Fate {
        let now = self.world.now_ms();
        let mut state = lock(&self.state);
        if state.fallen || state.faults.hang {
            return Fate::Never;
        }
        let able = self.able(&state, now);
        if able < 1.0 {
            self.world.ledger.cold_visit();
            self.feel_cold(&mut state, now, able, visit);
            if state.fallen {
                return Fate::Never;
            }
        }
        let faults = state.faults;
        let fails =
            (visit.id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / f64::from(1 << 24);
        if fails < faults.fail || faults.class == Some(visit.class) {
            return Fate::Done(500, now);
        }
        let took = visit.work_ms / self.speed / able * faults.slow;
        let cores = state.cores.len();
        let backlog: f64 = state.cores.iter().map(|at| (at - now).max(0.0)).sum();
        if backlog / took.max(1.0) > (self.queue + cores) as f64 {
            // Turned away before anything ran: proof for whoever wants to try again.
            return Fate::Done(503, now);
        }
        let core = (0..cores).min_by(|a, b| state.cores[*a].total_cmp(&state.cores[*b]));
        let Some(core) = core else {
            return Fate::Done(500, now);
        };
        let begin = state.cores[core].max(now).max(faults.paused_until_ms);
        state.cores[core] = begin + took;
        state.latency_ms = 0.8 * state.latency_ms + 0.2 * took;
        Fate::Done(200, begin + took)
    }

    /// The cold rule: more than so many times what it can do, over the stated time, pushes it over.
    fn feel_cold(&self, state: &mut State, now: f64, able: f64, visit: Visit) {
        let work = visit.work_ms / self.speed;
        state.cold.push_back((now, work, visit.knows));
        let span = self.cold.falls_in_ms;
        while state.cold.front().is_some_and(|(at, ..)| now - at > span) {
            state.cold.pop_front();
        }
        let sum: f64 = state.cold.iter().map(|c| c.1).sum();
        let most = self.cold.falls_at * able * state.cores.len() as f64 * span;
        if sum > most + 4.0 * work {
            let knowing: f64 = state.cold.iter().filter(|c| c.2).map(|c| c.1).sum();
            state.fallen = true;
            self.world.ledger.fell(now, &self.name, knowing / sum);
        }
    }
}

/// Reads a request's head: its length, whether it is a probe, and the visit.
fn parse(bytes: &[u8]) -> Option<(usize, bool, Visit)> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes).ok()? else {
        return None;
    };
    let path = request.path.unwrap_or("/").to_string();
    let mut visit = Visit::default();
    for h in request.headers.iter() {
        let text = std::str::from_utf8(h.value).unwrap_or_default();
        match h.name.to_ascii_lowercase().as_str() {
            "x-visit" => visit.id = text.parse().unwrap_or(0),
            "x-try" => visit.try_number = text.parse().unwrap_or(0),
            "x-class" => visit.class = text.parse().unwrap_or(0),
            "x-work-ms" => visit.work_ms = text.parse().unwrap_or(0.0),
            "x-proxy" => visit.proxy = text.parse().ok(),
            "x-knows" => visit.knows = text == "1",
            _ => {}
        }
    }
    Some((length, path == "/ready", visit))
}
