//! The proxy of the package `dahliapoint-proxy` in a run: its real data plane and table client, with clients
//! that send visits over HTTP. Its environment adds what the scenario needs: the model of the channel, cut
//! zones, faults, and records of the messages for the checker.

use crate::run_state::lock;
use crate::scripted_proxy::{NoServerTimer, ProxyContext, ProxyFault, TestProxy, draw_class};
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

/// Idle connections that the clients of one proxy keep.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A running proxy.
struct ProxyProcess {
    plane: Arc<DataPlane>,
    client: TableClient,
    address: SocketAddr,
}

/// Where the proxy gets its tables from.
enum TableClient {
    Stream(Arc<XdsClient>),
    Files(Arc<FileClient>),
}

impl ProxyProcess {
    /// Stops without telling the controller, as a killed process does.
    fn end(&self) {
        match &self.client {
            TableClient::Stream(xds_client) => xds_client.stop(),
            TableClient::Files(file_client) => file_client.stop(ShutdownMode::Silent),
        }
        self.plane.shut_down(self.address, Instant::now());
    }
}

/// A real proxy and its clients.
pub struct RealProxy {
    name: String,
    index: usize,
    zone: usize,
    context: Arc<ProxyContext>,
    settings: Settings,
    /// None while it is stopped.
    process: Mutex<Option<Arc<ProxyProcess>>>,
    /// The servers before the last message, to find those that it removed.
    previous_servers: Mutex<Vec<SocketAddr>>,
    no_server_since: Mutex<NoServerTimer>,
    /// When it last applied a message with lines.
    last_update_ms: Mutex<f64>,
    rejects_messages: AtomicBool,
    stops_reading: AtomicBool,
    idle_connections: Mutex<Vec<TcpStream>>,
}

impl RealProxy {
    /// A stopped proxy with settings from the context; `files` if it gets its tables from files.
    pub fn new(
        context: &Arc<ProxyContext>,
        index: usize,
        zone: usize,
        visits_per_s: f64,
        files: Option<FileSettings>,
    ) -> Arc<RealProxy> {
        let name = format!("proxy-{index}");
        let classes = context.classes.iter().zip(&context.repeat_policies);
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
            service: context.service.clone(),
            zone: context.run_state.zones[zone].clone(),
            visits_per_s,
            controllers: vec![context.links[zone].address],
            files,
            listen: any,
            roster: PathBuf::new(),
            classes: classes.collect(),
            balancing: context.balancing,
            initial_servers: context.initial_server_count,
            ejection_failures: context.ejection_failures,
            ejection_ms: context.ejection_ms,
            reconnect_delay_ms: (100.0, 600.0),
            failback_after_ms: 0.0,
            idle_timeout_ms: context.idle_ms,
            connect_timeout_ms: context.connect_ms,
            stall_per_line_us: context.apply_us_per_line,
            retry_budget_share: 1.0,
            proof_header: "x-unseen".into(),
            max_clients: 4096,
            seed: context.seed ^ (index as u64 + 1).wrapping_mul(0x9E37_79B9),
            log_level: "error".into(),
        };
        Arc::new(RealProxy {
            name,
            index,
            zone,
            context: context.clone(),
            settings,
            process: Mutex::default(),
            previous_servers: Mutex::default(),
            no_server_since: Mutex::default(),
            last_update_ms: Mutex::new(f64::NEG_INFINITY),
            rejects_messages: AtomicBool::new(false),
            stops_reading: AtomicBool::new(false),
            idle_connections: Mutex::default(),
        })
    }

    /// Starts a proxy whose initial table is from the current roster.
    fn start_process(self: &Arc<Self>) {
        let listed = lock(&self.context.run_state.listed).clone();
        let roster = self.context.servers.iter().map(|b| RosterServer {
            name: b.name.clone(),
            address: b.address,
            zone: self.context.run_state.zones[b.zone].clone(),
            ready: listed[b.index].state == "ready",
        });
        let roster: Vec<RosterServer> = roster.collect();
        let plane = DataPlane::with_environment(self.settings.clone(), &roster, self.clone());
        let address = match plane.serve() {
            Ok(address) => address,
            Err(e) => {
                eprintln!("{}: cannot listen: {e}; the proxy stays down", self.name);
                return;
            }
        };
        *lock(&self.previous_servers) = plane.servers();
        let client = match self.settings.files.clone() {
            None => TableClient::Stream(XdsClient::start(plane.clone())),
            Some(files) => match FileClient::start(plane.clone(), files) {
                Ok((file_client, _)) => TableClient::Files(file_client),
                Err(e) => {
                    eprintln!("{}: {e}; the proxy stays down", self.name);
                    return;
                }
            },
        };
        let process = ProxyProcess {
            client,
            plane,
            address,
        };
        *lock(&self.process) = Some(Arc::new(process));
    }

    /// Sends visits with exponentially distributed gaps until the run ends.
    fn generate_visits(self: &Arc<Self>) {
        let seed = self.context.seed ^ (self.index as u64).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        let mut rng = StdRng::seed_from_u64(seed);
        let run_state = self.context.run_state.clone();
        let mut next = run_state.now_ms();
        while !run_state.has_ended() && self.settings.visits_per_s > 0.0 {
            next += -f64::ln(1.0 - rng.random::<f64>()) / self.settings.visits_per_s * 1e3;
            run_state.wait_until(next);
            let Some(process) = lock(&self.process).clone() else {
                next = run_state.now_ms() + 50.0;
                continue;
            };
            let class = draw_class(&self.context.classes, rng.random::<f64>());
            let work = self.context.classes[class].work_ms * (0.5 + rng.random::<f64>());
            let proxy = self.clone();
            spawn(move || proxy.visit(&process, class, work));
        }
    }

    /// Runs one visit and counts its result as the client sees it.
    fn visit(&self, process: &ProxyProcess, class: usize, work: f64) {
        let run_state = &self.context.run_state;
        let id = self.context.visits.fetch_add(1, Ordering::SeqCst) + 1;
        let start_ms = run_state.now_ms();
        lock(&run_state.checker.visit_counts)[class].asked += 1;
        let answered = self.send_visit(process, class, id, work);
        let took = run_state.now_ms() - start_ms;
        let workload = &self.context.classes[class];
        let mut visit_counts = lock(&run_state.checker.visit_counts);
        let visit_counts = &mut visit_counts[class];
        match answered {
            Ok(200) if took <= workload.soft_ms => visit_counts.in_time += 1,
            Ok(200) => visit_counts.late += 1,
            Ok(503) => visit_counts.refused += 1,
            _ => visit_counts.failed += 1,
        }
    }

    /// Sends a visit to the proxy and returns the status. 503 stands only for a visit that the proxy did not
    /// admit; any other 503 becomes 502.
    fn send_visit(
        &self,
        process: &ProxyProcess,
        class: usize,
        id: u64,
        work: f64,
    ) -> io::Result<u16> {
        let workload = &self.context.classes[class];
        // Longer than the proxy's own limit, so that the proxy answers first.
        let timeout = Duration::from_secs_f64((workload.hard_ms + 500.0) / 1e3);
        let kept = lock(&self.idle_connections).pop();
        let mut socket = match kept.filter(|s| !is_closed(s)) {
            Some(socket) => socket,
            None => dial(process.address, timeout)?,
        };
        let _ = socket.set_nodelay(true);
        let end = shutdown_at(&socket, Instant::now() + timeout)?;
        let head = format!(
            "GET /{} HTTP/1.1\r\nHost: s\r\nX-Visit: {id}\r\nX-Try: 1\r\nX-Class: {class}\r\n\
             X-Work-Ms: {work:.3}\r\nX-Proxy: {}\r\n\r\n",
            dahliapoint_xds::names::escape(&workload.name),
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
            let httparse::Status::Complete(head_length) = parsed else {
                continue;
            };
            let header = |name: &str| {
                let found = response.headers.iter();
                let mut found = found.filter(|h| h.name.eq_ignore_ascii_case(name));
                found.next().and_then(|h| std::str::from_utf8(h.value).ok())
            };
            let length = header("content-length").and_then(|v| v.parse::<usize>().ok());
            if bytes.len() < head_length + length.unwrap_or(0) {
                continue;
            }
            let status = response.code.unwrap_or(0);
            let is_closing = header("connection") == Some("close");
            let is_admitted = !bytes[head_length..].starts_with(b"not let in");
            if !is_closing && !end.has_fired() {
                let mut kept = lock(&self.idle_connections);
                if kept.len() < MAX_IDLE_CONNECTIONS {
                    kept.push(socket);
                }
            }
            return Ok(match status {
                503 if is_admitted => 502,
                status => status,
            });
        }
    }
}

impl TestProxy for RealProxy {
    fn start(self: Arc<Self>) {
        self.start_process();
        spawn(move || self.generate_visits());
    }

    fn restart(self: Arc<Self>, down_ms: f64) {
        let process = lock(&self.process).take();
        spawn(move || {
            if let Some(process) = process {
                process.end();
                lock(&self.idle_connections).clear();
                self.connection_changed(false);
            }
            sleep(Duration::from_secs_f64(down_ms / 1e3));
            if !self.context.run_state.has_ended() {
                self.start_process();
            }
        });
    }

    fn check_no_server(&self, now: f64, warm_ready: bool) {
        let lines = lock(&self.process)
            .as_ref()
            .map(|process| process.plane.server_count());
        let joined = lock(&self.context.run_state.connections)[self.index]
            .joined
            .is_some();
        let no_server = joined && lines == Some(0) && warm_ready;
        lock(&self.no_server_since).update(
            &self.context.run_state.checker,
            now,
            &self.name,
            joined,
            no_server,
        );
    }

    fn is_bound_after(&self, after: f64) -> bool {
        let joined = lock(&self.context.run_state.connections)[self.index].joined;
        joined.is_some_and(|at| at > after && *lock(&self.last_update_ms) >= at)
    }

    fn is_reachable(&self) -> bool {
        lock(&self.process).is_some() && !self.stops_reading.load(Ordering::SeqCst)
    }

    fn set_fault(&self, fault: ProxyFault, on: bool) {
        match fault {
            ProxyFault::RejectsMessages => self.rejects_messages.store(on, Ordering::SeqCst),
            ProxyFault::StopsReading => {
                self.stops_reading.store(on, Ordering::SeqCst);
                lock(&self.context.run_state.connections)[self.index].stops_reading = on;
            }
            // A real proxy always reports at the interval ordered; only scripted proxies can flood.
            ProxyFault::FloodsReports => {}
        }
    }
}

impl Environment for RealProxy {
    fn dial(&self, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
        let server = self.context.by_address.get(&to.to_string());
        let is_cut = |s: &usize| {
            let zone = self.context.servers[*s].zone;
            self.context.run_state.is_cut(self.zone, zone)
        };
        if server.is_some_and(is_cut) {
            sleep(timeout);
            return Err(io::ErrorKind::TimedOut.into());
        }
        dial(to, timeout)
    }

    fn knows_server(&self, server: &str) -> bool {
        let rejects_messages = self.rejects_messages.load(Ordering::SeqCst);
        !rejects_messages && self.context.servers.iter().any(|b| b.name == server)
    }

    fn connection_changed(&self, is_up: bool) {
        let run_state = &self.context.run_state;
        if is_up {
            run_state.checker.reset_messages(&self.name);
        }
        lock(&run_state.connections)[self.index].joined = is_up.then(|| run_state.now_ms());
    }

    fn before_read(&self) {
        let run_state = &self.context.run_state;
        let is_down = || lock(&self.process).is_none();
        while self.stops_reading.load(Ordering::SeqCst) && !run_state.has_ended() && !is_down() {
            sleep(Duration::from_millis(100));
            lock(&run_state.connections)[self.index].reading_since = run_state.now_ms();
        }
    }

    fn message_received(&self, message: &TableMessage<'_>) -> Instant {
        let (run_state, channel) = (&self.context.run_state, &self.context.channel);
        let now = run_state.now_ms();
        let lines = self.lines(message);
        run_state.checker.check_message(now, &self.name, lines);
        run_state.instant(channel.send_time(now, lines) + channel.latency_ms)
    }

    fn message_processed(
        &self,
        message: &TableMessage<'_>,
        received_at: Instant,
        is_refused: bool,
    ) {
        let (run_state, checker) = (&self.context.run_state, &self.context.run_state.checker);
        let now = run_state.now_ms();
        let received_ms = now - received_at.elapsed().as_secs_f64() * 1e3;
        let delay_ms = now - received_ms - self.context.channel.latency_ms;
        checker.message_delivered(self.lines(message), delay_ms.max(0.0));
        lock(&run_state.connections)[self.index].last_message_ms = received_ms;
        if is_refused {
            return;
        }
        let Some(process) = lock(&self.process).clone() else {
            return;
        };
        let servers = process.plane.servers();
        if message.carries_lines {
            *lock(&self.last_update_ms) = now;
            let lines = message.lines as u64;
            if lines > 0 && message.bytes > 0 {
                let whole_table_bytes = message.bytes / lines * (servers.len() as u64).max(lines);
                checker.record_bytes(message.bytes, whole_table_bytes);
            }
        }
        let controller_run = run_state.controller_run.load(Ordering::SeqCst);
        let serial = format!("{controller_run}/{}", message.serial);
        checker.record_applied(&serial, received_ms, now);
        let before = std::mem::replace(&mut *lock(&self.previous_servers), servers.clone());
        for removed in before.iter().filter(|s| !servers.contains(s)) {
            if let Some(server) = self.context.by_address.get(&removed.to_string()) {
                let listed = lock(&run_state.listed)[*server].clone();
                if listed.state != "ready" {
                    checker.record_drain_applied(now - listed.since_ms);
                }
            }
        }
    }

    fn message_dropped(&self, message: &TableMessage<'_>) {
        let checker = &self.context.run_state.checker;
        checker.message_delivered(self.lines(message), 0.0);
    }
}

impl RealProxy {
    /// The lines that a message counts for in the channel.
    fn lines(&self, message: &TableMessage<'_>) -> f64 {
        message.lines as f64 + self.context.message_lines
    }
}

/// Whether the other side has closed an idle connection; does not wait.
fn is_closed(socket: &TcpStream) -> bool {
    let peeked = socket.inner().peek(&mut [0; 1]);
    !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
