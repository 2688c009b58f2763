//! A test server on loopback. It speaks HTTP/1.1 and models cores and a queue by computed finish times. After
//! a start it is cold, and it fails if it is overloaded while cold. It reports effects to the checker, sends
//! its load as ORCA headers, and has faults that a scenario can switch on.

use crate::run_state::{RunState, lock};
use dahliapoint_fibers::{TcpListener, TcpStream, dial, listen, sleep, spawn};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a server behaves while cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdModel {
    /// The share of its capacity right after a start; it grows linearly while it warms up.
    pub capacity_share: f64,
    pub warm_up_ms: f64,
    /// Work of more than this many times the capacity over the window makes the server fail.
    pub overload_multiple: f64,
    pub overload_window_ms: f64,
}

/// The faults that are active in a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// The share of visits that it answers at once with an error.
    pub fail_share: f64,
    /// Accepts visits and probes but answers none; also stands for a server that died silently.
    pub hangs: bool,
    /// The factor by which it is slower.
    pub slowdown: f64,
    /// Does no work until then.
    pub paused_until_ms: f64,
    /// Answers all visits of this class with an error.
    pub failing_class: Option<usize>,
    /// Keeps reporting the load from when the fault began.
    pub stale_load: bool,
}

/// The state that changes while a server runs.
struct ServerState {
    faults: Faults,
    /// When each core becomes free.
    cores: Vec<f64>,
    started_ms: Option<f64>,
    /// It failed from overload while cold, and answers nothing until a restart.
    overloaded: bool,
    /// The visits of the overload window.
    cold_work: VecDeque<ColdWork>,
    reported_load: f64,
    reported_latency_ms: f64,
    latency_ms: f64,
}

/// A visit that came while the server was cold.
struct ColdWork {
    at_ms: f64,
    work_ms: f64,
    /// The proxy must have known of the start.
    knows_start: bool,
}

/// A test server.
pub struct TestServer {
    pub index: usize,
    pub name: String,
    pub zone: usize,
    pub address: SocketAddr,
    speed: f64,
    queue: usize,
    cold: ColdModel,
    run_state: Arc<RunState>,
    state: Mutex<ServerState>,
    running: AtomicBool,
    /// Counts stops, so that connections of a stopped process end.
    process_number: AtomicU64,
    /// By class: a visit must not run twice.
    non_idempotent: Vec<bool>,
}

/// A visit as its headers describe it.
#[derive(Clone, Copy, Debug, Default)]
struct Visit {
    id: u64,
    try_number: u32,
    class: usize,
    work_ms: f64,
    /// The proxy must have known of the server's start.
    knows_start: bool,
    /// The index of the real proxy that sent it.
    proxy: Option<usize>,
}

/// How a server reacts to a request.
enum ServeResult {
    /// A status, and when it is sent.
    Response(u16, f64),
    /// The connection stays open without an answer.
    NoResponse,
}

impl TestServer {
    /// Starts a server that is warm.
    ///
    /// # Errors
    /// If no port can be bound.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        run_state: &Arc<RunState>,
        index: usize,
        zone: usize,
        cores: usize,
        speed: f64,
        queue: usize,
        cold: ColdModel,
        non_idempotent: Vec<bool>,
    ) -> io::Result<Arc<TestServer>> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let server = Arc::new(TestServer {
            index,
            name: format!("server-{index}"),
            zone,
            address: listener.local_addr()?,
            speed,
            queue,
            cold,
            run_state: run_state.clone(),
            state: Mutex::new(ServerState {
                faults: Faults {
                    slowdown: 1.0,
                    ..Faults::default()
                },
                cores: vec![0.0; cores],
                started_ms: None,
                overloaded: false,
                cold_work: VecDeque::new(),
                reported_load: 0.0,
                reported_latency_ms: 0.0,
                latency_ms: 0.0,
            }),
            running: AtomicBool::new(true),
            process_number: AtomicU64::new(0),
            non_idempotent,
        });
        server.clone().accept(listener);
        Ok(server)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let process_number = self.process_number.load(Ordering::SeqCst);
        spawn(move || {
            for socket in listener.incoming() {
                if self.process_number.load(Ordering::SeqCst) != process_number
                    || self.run_state.has_ended()
                {
                    return;
                }
                match socket {
                    Ok(socket) => {
                        let server = self.clone();
                        spawn(move || server.serve_connection(socket, process_number));
                    }
                    Err(_) => sleep(Duration::from_millis(20)),
                }
            }
        });
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Stops the process: its connections end and the port is closed.
    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
        self.process_number.fetch_add(1, Ordering::SeqCst);
        // Wakes the accepting coroutine, which then closes the port.
        let _ = dial(self.address, Duration::from_millis(500));
    }

    /// Starts a new process at the same port, cold and without faults.
    pub fn restart(self: &Arc<Self>) {
        let mut listener_result = listen(self.address);
        for _ in 0..100 {
            if listener_result.is_ok() {
                break;
            }
            sleep(Duration::from_millis(20));
            listener_result = listen(self.address);
        }
        let Ok(listener) = listener_result else {
            eprintln!("{}: its port is in use; the server stays down", self.name);
            return;
        };
        let now = self.run_state.now_ms();
        {
            let mut state = lock(&self.state);
            let cores = state.cores.len();
            state.faults = Faults {
                slowdown: 1.0,
                ..Faults::default()
            };
            state.cores = vec![now; cores];
            (state.started_ms, state.overloaded) = (Some(now), false);
            state.cold_work.clear();
        }
        self.running.store(true, Ordering::SeqCst);
        self.clone().accept(listener);
    }

    /// Whether it runs and has not failed from overload.
    pub fn is_up(&self) -> bool {
        self.running.load(Ordering::SeqCst) && !lock(&self.state).overloaded
    }

    /// When its process started; none if it has run from the beginning.
    pub fn started_ms(&self) -> Option<f64> {
        lock(&self.state).started_ms
    }

    /// Answers requests on one connection until either side ends.
    fn serve_connection(&self, mut socket: TcpStream, process_number: u64) {
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
            let result = match probe {
                true => self.answer_probe(),
                false => match self.check_arrival(visit) {
                    Some(visit) => self.serve(visit),
                    None => ServeResult::NoResponse,
                },
            };
            let (status, finish) = match result {
                ServeResult::Response(status, finish) => (status, finish),
                ServeResult::NoResponse => {
                    // Keeps the connection open without an answer.
                    while !self.run_state.has_ended()
                        && self.process_number.load(Ordering::SeqCst) == process_number
                    {
                        sleep(Duration::from_millis(200));
                    }
                    return;
                }
            };
            self.run_state.wait_until(finish);
            if visit.proxy.is_some() && !probe {
                self.run_state.record_try(self.index);
            }
            if self.process_number.load(Ordering::SeqCst) != process_number
                || self.run_state.has_ended()
            {
                return;
            }
            if status == 200 && !probe && self.non_idempotent[visit.class] {
                let at = self.run_state.now_ms();
                let checker = &self.run_state.checker;
                checker.check_effect(at, visit.id, visit.try_number, "", (self.index, &self.name));
            }
            let (queue, latency) = self.load_report();
            let reason = if status == 503 { "X-Unseen: 1\r\n" } else { "" };
            let response = format!(
                "HTTP/1.1 {status} X\r\n{reason}endpoint-load-metrics: TEXT named_metrics.queue={queue},\
                 named_metrics.latency_ms={latency:.3}\r\nContent-Length: 0\r\n\r\n"
            );
            if socket.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Checks rule 3 for a visit of a real proxy, and whether the proxy must have known of the server's start.
    /// None if the zones are cut off from each other.
    fn check_arrival(&self, mut visit: Visit) -> Option<Visit> {
        let Some(proxy) = visit.proxy else {
            return Some(visit);
        };
        let (run_state, now) = (&self.run_state, self.run_state.now_ms());
        let connection = lock(&run_state.connections)
            .get(proxy)
            .copied()
            .unwrap_or_default();
        if run_state.is_cut(connection.zone, self.zone) {
            return None;
        }
        let listed = lock(&run_state.listed)[self.index].clone();
        if let Some(joined) = connection.joined {
            let drained =
                (listed.state != "ready" && !connection.stops_reading).then_some(listed.since_ms);
            let since = joined.max(connection.reading_since);
            let name = format!("proxy-{proxy}");
            run_state
                .checker
                .check_drain(now, &name, since, &self.name, drained);
        }
        let start = listed.started_ms.map(|_| listed.since_ms);
        let grace = run_state.checker.limits.drain_grace_ms;
        visit.knows_start = start.is_some_and(|at| {
            connection.last_message_ms > at + run_state.roster_lag_ms || now > at + grace
        });
        Some(visit)
    }

    /// The queue length and the latency that it reports.
    fn load_report(&self) -> (f64, f64) {
        let mut state = lock(&self.state);
        let now = self.run_state.now_ms();
        if !state.faults.stale_load {
            let waiting = state
                .cores
                .iter()
                .map(|at| (at - now).max(0.0))
                .sum::<f64>();
            state.reported_load = waiting / state.latency_ms.max(1.0);
            state.reported_latency_ms = state.latency_ms;
        }
        (state.reported_load.round(), state.reported_latency_ms)
    }

    /// A probe waits for a free core.
    fn answer_probe(&self) -> ServeResult {
        let now = self.run_state.now_ms();
        let state = lock(&self.state);
        if state.faults.hangs || state.overloaded {
            return ServeResult::NoResponse;
        }
        let free = state.cores.iter().copied().fold(f64::INFINITY, f64::min);
        let at = free.max(now).max(state.faults.paused_until_ms);
        ServeResult::Response(200, at + 1.0 * state.faults.slowdown)
    }

    /// The share of its full capacity that it has now.
    fn capacity(&self, state: &ServerState, now: f64) -> f64 {
        let age = state.started_ms.map_or(f64::INFINITY, |at| now - at);
        let warm = (age / self.cold.warm_up_ms).min(1.0);
        self.cold.capacity_share + (1.0 - self.cold.capacity_share) * warm
    }

    /// Schedules a visit on the first free core, unless a fault or the queue prevents it.
    fn serve(&self, visit: Visit) -> ServeResult {
        let now = self.run_state.now_ms();
        let mut state = lock(&self.state);
        if state.overloaded || state.faults.hangs {
            return ServeResult::NoResponse;
        }
        let capacity = self.capacity(&state, now);
        if capacity < 1.0 {
            self.run_state.checker.count_cold_visit();
            self.record_cold_work(&mut state, now, capacity, visit);
            if state.overloaded {
                return ServeResult::NoResponse;
            }
        }
        let faults = state.faults;
        let draw = (visit.id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / f64::from(1 << 24);
        if draw < faults.fail_share || faults.failing_class == Some(visit.class) {
            return ServeResult::Response(500, now);
        }
        let took = visit.work_ms / self.speed / capacity * faults.slowdown;
        let cores = state.cores.len();
        let backlog: f64 = state.cores.iter().map(|at| (at - now).max(0.0)).sum();
        if backlog / took.max(1.0) > (self.queue + cores) as f64 {
            // Rejected before anything ran, which proves that another try is safe.
            return ServeResult::Response(503, now);
        }
        let core = (0..cores).min_by(|a, b| state.cores[*a].total_cmp(&state.cores[*b]));
        let Some(core) = core else {
            return ServeResult::Response(500, now);
        };
        let begin = state.cores[core].max(now).max(faults.paused_until_ms);
        state.cores[core] = begin + took;
        state.latency_ms = 0.8 * state.latency_ms + 0.2 * took;
        ServeResult::Response(200, begin + took)
    }

    /// Records work received while cold. The server fails if the work of the window exceeds the overload
    /// multiple of its capacity by more than four times the work of this visit.
    fn record_cold_work(&self, state: &mut ServerState, now: f64, capacity: f64, visit: Visit) {
        let work_ms = visit.work_ms / self.speed;
        state.cold_work.push_back(ColdWork {
            at_ms: now,
            work_ms,
            knows_start: visit.knows_start,
        });
        let window_ms = self.cold.overload_window_ms;
        while state
            .cold_work
            .front()
            .is_some_and(|c| now - c.at_ms > window_ms)
        {
            state.cold_work.pop_front();
        }
        let total_work: f64 = state.cold_work.iter().map(|c| c.work_ms).sum();
        let max_work =
            self.cold.overload_multiple * capacity * state.cores.len() as f64 * window_ms;
        if total_work > max_work + 4.0 * work_ms {
            let informed_work: f64 = state
                .cold_work
                .iter()
                .filter(|c| c.knows_start)
                .map(|c| c.work_ms)
                .sum();
            state.overloaded = true;
            self.run_state
                .checker
                .check_overload(now, &self.name, informed_work / total_work);
        }
    }
}

/// Parses a request head: its length, whether it is a probe, and the visit.
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
            "x-knows" => visit.knows_start = text == "1",
            _ => {}
        }
    }
    Some((length, path == "/ready", visit))
}
