//! The data plane: accepts visits from clients and forwards each to a server of the table in use.

use crate::Rng;
use crate::admission::Admission;
use crate::environment::{Environment, PlainSockets};
use crate::http::{
    BadMessage, BodyFraming, Connection, Head, ReadOutcome, write_body_piece, write_head,
};
use crate::load_balancing::{Picker, WeightedServer};
use crate::outlier_ejection::OutlierEjector;
use crate::retry::{self, FailedTry, Failure, RetryBudget, RetryPolicy};
use crate::settings::{RosterServer, Settings};
use dahliapoint_fibers::{Notify, TcpStream, Timer, dial, listen, shutdown_at, sleep, spawn};
use dahliapoint_xds::{ClusterLoad, EndpointLoad, ReceivedTable, names};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// The body of a request up to this size is buffered, so that its visit can be tried again.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;
/// How often the proxy checks whether clients of waiting visits have disconnected.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time beyond the hard limit of a visit in which its client can still be told that it failed. Then the
/// connection is closed, whether the client sends, reads or does neither.
const CLIENT_GRACE: Duration = Duration::from_millis(500);
/// Idle connections that are kept to one server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// `Retry-After` of a 503 answer.
const RETRY_AFTER_S: u32 = 1;

/// Locks a mutex, also one that a panic has poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn duration_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

/// Assigns an index to the address of each server. An index is never reused.
#[derive(Default)]
struct Servers {
    by_address: HashMap<String, usize>,
    /// By index; `None` for an address that cannot be parsed.
    addresses: Vec<Option<SocketAddr>>,
}

impl Servers {
    fn index_of(&mut self, address: &str) -> usize {
        let next = self.addresses.len();
        let index = *self.by_address.entry(address.to_string()).or_insert(next);
        if index == next {
            self.addresses.push(address.parse().ok());
        }
        index
    }
}

/// The state of all decisions. It is replaced and used under one lock, which is held only briefly, so that no
/// visit sees parts of two tables.
struct Table {
    picker: Picker,
    ejector: OutlierEjector,
    /// By class, as `retry_policies`.
    admissions: Vec<Admission>,
    retry_policies: Vec<RetryPolicy>,
    budget: RetryBudget,
    /// New visits wait until then; see [`Settings::stall_per_line_us`].
    stalled_until: Instant,
}

/// Counts for load reports, by class or by class and server.
#[derive(Default)]
struct Counts {
    endpoints: BTreeMap<(usize, usize), EndpointLoad>,
    /// Visits that were not admitted.
    dropped: BTreeMap<usize, u64>,
    /// Tries in flight.
    in_progress: BTreeMap<(usize, usize), u64>,
}

/// The data plane of one proxy.
pub struct DataPlane {
    pub settings: Settings,
    started: Instant,
    servers: Mutex<Servers>,
    /// The servers that are used until the controller sends a table.
    initial_servers: Vec<RosterServer>,
    table: Mutex<Table>,
    /// Idle connections by server, with the time of last use.
    pools: Mutex<HashMap<usize, Vec<(Connection, Instant)>>>,
    counts: Mutex<Counts>,
    client_count: AtomicUsize,
    /// Connections of clients, which are closed when the data plane shuts down.
    client_sockets: Mutex<HashMap<u64, std::net::TcpStream>>,
    waiting_visits: Mutex<HashMap<u64, Arc<WaitingVisit>>>,
    /// Notified when the first visit starts to wait for its answer; without waiting visits nothing is polled.
    visit_waiting: Notify,
    /// Next key of `client_sockets` and `waiting_visits`.
    next_id: AtomicU64,
    stopping: AtomicBool,
    environment: Arc<dyn Environment>,
}

/// How a try ended.
enum TryOutcome {
    Answered(Box<Answer>),
    Failed(Failure),
    /// The client disconnected, and the connection to the server was closed.
    Cancelled,
}

/// The sockets of a visit that waits for its answer, for the coroutine that checks for disconnected clients.
struct WaitingVisit {
    client: std::net::TcpStream,
    server: std::net::TcpStream,
    cancelled: AtomicBool,
}

/// The answer of a server, of which the head was read.
struct Answer {
    head: Head,
    body: BodyFraming,
    connection: Connection,
    /// Closes the connection at the hard limit.
    limit: Timer,
}

/// A try that a server answered.
struct AnsweredTry {
    answer: Box<Answer>,
    class: usize,
    server: usize,
    started: Instant,
}

/// The body of a request: read already, or still to be read from the client.
enum RequestBody {
    Buffered(Vec<u8>),
    Streamed(BodyFraming),
}

impl DataPlane {
    /// Creates a data plane whose first table are random ready servers of the roster, as many as the settings say;
    /// of its own zone, if at least three are ready there.
    pub fn new(settings: Settings, roster: &[RosterServer]) -> Arc<DataPlane> {
        DataPlane::with_environment(settings, roster, Arc::new(PlainSockets))
    }

    /// As [`DataPlane::new`], with an environment other than plain sockets.
    pub fn with_environment(
        settings: Settings,
        roster: &[RosterServer],
        environment: Arc<dyn Environment>,
    ) -> Arc<DataPlane> {
        let mut rng = Rng::from_seed(settings.seed);
        let ready = || roster.iter().filter(|s| s.ready);
        let in_zone: Vec<&RosterServer> = ready().filter(|s| s.zone == settings.zone).collect();
        let mut candidates: Vec<&RosterServer> = if in_zone.len() >= 3 {
            in_zone
        } else {
            ready().collect()
        };
        let mut initial_servers = Vec::new();
        while initial_servers.len() < settings.initial_servers && !candidates.is_empty() {
            let index = (rng.next_f64() * candidates.len() as f64) as usize;
            initial_servers.push(
                candidates
                    .swap_remove(index.min(candidates.len() - 1))
                    .clone(),
            );
        }
        let classes = settings.classes.len();
        let plane = DataPlane {
            started: Instant::now(),
            servers: Mutex::default(),
            initial_servers,
            table: Mutex::new(Table {
                picker: Picker::new(settings.balancing, settings.seed),
                ejector: OutlierEjector::new(settings.ejection_failures, settings.ejection_ms),
                admissions: vec![Admission::new(); classes],
                retry_policies: vec![RetryPolicy::OnProof; classes],
                budget: RetryBudget::new(settings.retry_budget_share),
                stalled_until: Instant::now(),
            }),
            pools: Mutex::default(),
            counts: Mutex::default(),
            client_count: AtomicUsize::new(0),
            client_sockets: Mutex::default(),
            waiting_visits: Mutex::default(),
            visit_waiting: Notify::default(),
            next_id: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            environment,
            settings,
        };
        plane.swap_table(None, &|_| false, 0);
        Arc::new(plane)
    }

    /// Time since the start, the clock of all decisions.
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Replaces the table between two visits, so that none sees parts of both: by the table `held`, or without one
    /// by the initial servers without those that are withdrawn. `lines` is the number of changed lines; new visits
    /// stall for each of them as the settings say.
    pub fn swap_table(
        &self,
        held: Option<&ReceivedTable>,
        is_withdrawn: &dyn Fn(&str) -> bool,
        lines: usize,
    ) {
        let mut servers = lock(&self.servers);
        let entries: Vec<WeightedServer> = match held {
            Some(held) => {
                let open = held.lines.iter().filter(|l| l.open);
                open.map(|l| WeightedServer {
                    server: servers.index_of(&l.address),
                    weight: f64::from(l.weight),
                })
                .collect()
            }
            None => {
                let open = self
                    .initial_servers
                    .iter()
                    .filter(|s| !is_withdrawn(&s.name));
                open.map(|s| WeightedServer {
                    server: servers.index_of(&s.address.to_string()),
                    weight: 1.0,
                })
                .collect()
            }
        };
        drop(servers);
        let in_table: Vec<usize> = entries.iter().map(|e| e.server).collect();
        let mut table = lock(&self.table);
        table.picker.swap_table(&entries);
        table.ejector.retain(|s| in_table.contains(&s));
        for (i, class) in self.settings.classes.iter().enumerate() {
            let from_table = held.map(|h| {
                let share = h.admitted_shares.get(&class.name).copied().unwrap_or(1.0);
                let retry_on = h.retry_on.get(&class.name).map_or("", String::as_str);
                let policy = match retry_on {
                    "" => RetryPolicy::Never,
                    on if on.contains("5xx") => RetryPolicy::OnFailure,
                    _ => RetryPolicy::OnProof,
                };
                (share, policy)
            });
            let (share, policy) = from_table.unwrap_or((1.0, RetryPolicy::OnProof));
            table.admissions[i].set_share(share);
            table.retry_policies[i] = policy;
        }
        let stall = Duration::from_secs_f64(self.settings.stall_per_line_us * lines as f64 / 1e6);
        table.stalled_until = Instant::now() + stall;
        drop(table);
        // Idle connections to servers that are not in the table are closed, outside the lock.
        let closed: Vec<_> = {
            let mut pools = lock(&self.pools);
            let removed: Vec<usize> = pools
                .keys()
                .copied()
                .filter(|s| !in_table.contains(s))
                .collect();
            removed.iter().filter_map(|s| pools.remove(s)).collect()
        };
        drop(closed);
    }

    /// Returns the number of servers in the table in use.
    pub fn server_count(&self) -> usize {
        lock(&self.table).picker.servers().len()
    }

    /// Returns the addresses of the servers in the table in use.
    pub fn servers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let indices: Vec<usize> = table.picker.servers().iter().map(|e| e.server).collect();
        drop(table);
        indices
            .into_iter()
            .filter_map(|s| self.address(s))
            .collect()
    }

    pub(crate) fn environment(&self) -> &Arc<dyn Environment> {
        &self.environment
    }

    /// Returns whether [`DataPlane::shut_down`] was called.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Accepts no more clients. Visits that wait for an answer have until `deadline`; then all connections are
    /// closed. `listen` is the address that it serves.
    pub fn shut_down(&self, listen: SocketAddr, deadline: Instant) {
        self.stopping.store(true, Ordering::SeqCst);
        // Wakes the coroutine that accepts connections, which then stops.
        let _ = dial(listen, Duration::from_secs(1));
        while !lock(&self.waiting_visits).is_empty() && Instant::now() < deadline {
            sleep(CLIENT_CHECK_INTERVAL);
        }
        for client in lock(&self.client_sockets).values() {
            let _ = client.shutdown(Shutdown::Both);
        }
        for visit in lock(&self.waiting_visits).values() {
            let _ = visit.server.shutdown(Shutdown::Both);
        }
        lock(&self.pools).clear();
        self.visit_waiting.notify();
    }

    /// Listens and serves clients until [`DataPlane::shut_down`] is called. Returns the address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn serve(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = listen(self.settings.listen)?;
        let address = listener.local_addr()?;
        let watching = self.clone();
        spawn(move || {
            while !watching.is_stopping() {
                watching.visit_waiting.wait(None);
                while watching.cancel_abandoned_visits() > 0 {
                    sleep(CLIENT_CHECK_INTERVAL);
                }
            }
        });
        let plane = self.clone();
        spawn(move || {
            for socket in listener.incoming() {
                if plane.is_stopping() {
                    return;
                }
                let Ok(socket) = socket else {
                    sleep(Duration::from_millis(20));
                    continue;
                };
                if plane.client_count.fetch_add(1, Ordering::SeqCst) >= plane.settings.max_clients {
                    plane.client_count.fetch_sub(1, Ordering::SeqCst);
                    warn!(
                        most = plane.settings.max_clients,
                        "connection refused: too many clients"
                    );
                    continue;
                }
                let plane = plane.clone();
                spawn(move || {
                    let id = plane.next_id.fetch_add(1, Ordering::SeqCst);
                    if let Ok(handle) = socket.inner().try_clone() {
                        lock(&plane.client_sockets).insert(id, handle);
                    }
                    plane.serve_client(socket);
                    lock(&plane.client_sockets).remove(&id);
                    plane.client_count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(address)
    }

    /// Cancels waiting visits whose client has disconnected: closes their connections to servers, so that servers
    /// can stop working on them. Returns the number of waiting visits.
    fn cancel_abandoned_visits(&self) -> usize {
        let waiting: Vec<Arc<WaitingVisit>> =
            lock(&self.waiting_visits).values().cloned().collect();
        for visit in &waiting {
            if has_closed(&visit.client) && !visit.cancelled.swap(true, Ordering::SeqCst) {
                let _ = visit.server.shutdown(Shutdown::Both);
            }
        }
        waiting.len()
    }

    /// Serves the connection of a client: one visit after the other.
    fn serve_client(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut client = Connection::new(socket);
        loop {
            // Closes the connection if no request comes in time.
            let Ok(idle_timer) = shutdown_at(
                &client.socket,
                Instant::now() + duration_ms(self.settings.idle_timeout_ms),
            ) else {
                return;
            };
            let head = match client.request() {
                ReadOutcome::Message(head) => head,
                ReadOutcome::Closed => return,
                ReadOutcome::Invalid(BadMessage(status, why)) => {
                    debug!(status, why, "request refused");
                    let _ = write_own_answer(&mut client.socket, status, why, true);
                    return;
                }
            };
            drop(idle_timer);
            // Requests that the client sent ahead are not forwarded once it is gone.
            if has_closed(client.socket.inner()) {
                return;
            }
            let can_continue = self.visit(&mut client, &head).unwrap_or(false);
            if !can_continue || head.closes() || self.is_stopping() {
                return;
            }
        }
    }

    /// The class whose name is the first segment of the path.
    fn class_of(&self, target: &str) -> Option<usize> {
        let path = target.split('?').next().unwrap_or_default();
        let first = path.trim_start_matches('/').split('/').next()?;
        let name = names::unescape(first)?;
        self.settings.classes.iter().position(|c| c.name == name)
    }

    /// Serves one visit. Returns whether the connection can be used for the next.
    fn visit(&self, client: &mut Connection, head: &Head) -> io::Result<bool> {
        let refusal_limit = shutdown_at(&client.socket, Instant::now() + CLIENT_GRACE)?;
        let body = match head.request_body() {
            Ok(body) => body,
            Err(BadMessage(status, why)) => {
                write_own_answer(&mut client.socket, status, why, true)?;
                return Ok(false);
            }
        };
        let Some(class) = self.class_of(&head.target) else {
            // The rest of the body is not read.
            write_own_answer(&mut client.socket, 404, "no such class of visits", true)?;
            return Ok(false);
        };
        let stalled_until = {
            let mut table = lock(&self.table);
            table.budget.visit();
            if !table.admissions[class].admits() {
                drop(table);
                *lock(&self.counts).dropped.entry(class).or_default() += 1;
                write_own_answer(&mut client.socket, 503, "not let in now", true)?;
                return Ok(false);
            }
            table.stalled_until
        };
        drop(refusal_limit);
        let wait = stalled_until.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait);
        }
        let deadline = Instant::now() + duration_ms(self.settings.classes[class].hard_limit_ms);
        let _visit_limit = shutdown_at(&client.socket, deadline + CLIENT_GRACE)?;
        if head
            .get("expect")
            .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
        {
            client.socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let request_body = match body {
            BodyFraming::Length(length) if length <= MAX_BUFFERED_BODY_BYTES => {
                let body_timer = shutdown_at(&client.socket, deadline)?;
                let mut buffered = Vec::new();
                client.copy_body(body, |piece| {
                    buffered.extend_from_slice(piece);
                    Ok(())
                })?;
                drop(body_timer);
                RequestBody::Buffered(buffered)
            }
            other => RequestBody::Streamed(other),
        };
        match self.forward(client, head, class, &request_body, deadline) {
            Ok(mut answered) => self.send_answer(client, head, &mut answered),
            Err(status) => {
                let is_body_read = matches!(request_body, RequestBody::Buffered(_));
                let why = if status == 504 {
                    "no answer in time"
                } else {
                    "no server answers"
                };
                write_own_answer(&mut client.socket, status, why, !is_body_read)?;
                Ok(is_body_read)
            }
        }
    }

    /// Tries a server, and another one if a retry is allowed. Without an answer, returns the status for the client.
    fn forward(
        &self,
        client: &mut Connection,
        head: &Head,
        class: usize,
        request_body: &RequestBody,
        deadline: Instant,
    ) -> Result<AnsweredTry, u16> {
        let mut tried: Vec<usize> = Vec::new();
        loop {
            let picked = {
                let mut table = lock(&self.table);
                let Table {
                    picker, ejector, ..
                } = &mut *table;
                let now = self.now_ms();
                let picked = ejector.pick(now, |is_allowed| {
                    picker.pick(|s| !tried.contains(&s) && is_allowed(s))
                });
                if let Some(server) = picked {
                    picker.try_started(server);
                }
                picked
            };
            let Some(server) = picked else {
                return Err(503);
            };
            tried.push(server);
            let started = Instant::now();
            self.count(class, server, |t| t.issued += 1);
            *lock(&self.counts)
                .in_progress
                .entry((class, server))
                .or_default() += 1;
            match self.attempt(client, head, server, request_body, deadline) {
                TryOutcome::Answered(answer) => {
                    return Ok(AnsweredTry {
                        answer,
                        class,
                        server,
                        started,
                    });
                }
                TryOutcome::Cancelled => {
                    // Neither a success nor a failure: the server is not to blame.
                    self.release_try(class, server);
                    return Err(499);
                }
                TryOutcome::Failed(failure) => {
                    self.record_try(class, server, started, false);
                    let left = deadline.saturating_duration_since(Instant::now());
                    let failed = FailedTry {
                        idempotency: self.settings.classes[class].idempotency,
                        policy: lock(&self.table).retry_policies[class],
                        failure,
                        tries: tried.len() as u32,
                        left_ms: left.as_secs_f64() * 1e3,
                    };
                    let is_streamed = matches!(request_body, RequestBody::Streamed(_));
                    let retry = retry::check_retry(&failed, &mut lock(&self.table).budget);
                    if is_streamed || retry.is_err() {
                        return Err(if left.is_zero() { 504 } else { 502 });
                    }
                }
            }
        }
    }

    /// Records the end of a try in the counts and for outlier ejection.
    fn record_try(&self, class: usize, server: usize, started: Instant, is_success: bool) {
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        self.count(class, server, |t| match is_success {
            true => {
                t.succeeded += 1;
                t.success_ms += elapsed_ms;
            }
            false => t.failed += 1,
        });
        self.release_try(class, server);
        let now = self.now_ms();
        let mut table = lock(&self.table);
        if table.ejector.record_try(now, server, is_success) {
            drop(table);
            warn!(server = ?self.address(server), "kept away from after a run of failures");
        }
    }

    /// Counts a try as no longer in flight.
    fn release_try(&self, class: usize, server: usize) {
        if let Some(count) = lock(&self.counts).in_progress.get_mut(&(class, server)) {
            *count -= 1;
        }
        lock(&self.table).picker.try_ended(server);
    }

    fn address(&self, server: usize) -> Option<SocketAddr> {
        lock(&self.servers).addresses.get(server).copied().flatten()
    }

    /// Takes an idle connection to a server, or opens one.
    fn connection(&self, server: usize, deadline: Instant) -> Result<(Connection, bool), Failure> {
        let idle_timeout = duration_ms(self.settings.idle_timeout_ms);
        loop {
            let pooled = lock(&self.pools).get_mut(&server).and_then(Vec::pop);
            match pooled {
                Some((connection, last_used))
                    if last_used.elapsed() < idle_timeout && !is_unusable(&connection.socket) =>
                {
                    return Ok((connection, false));
                }
                Some(_) => {}
                None => break,
            }
        }
        let to = self.address(server).ok_or(Failure::NeverRan)?;
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = left.min(duration_ms(self.settings.connect_timeout_ms));
        let socket = self.environment.dial(to, timeout);
        let socket = socket.map_err(|_| Failure::NeverRan)?;
        let _ = socket.set_nodelay(true);
        Ok((Connection::new(socket), true))
    }

    /// Makes one try at a server. It is cancelled if the client disconnects meanwhile.
    fn attempt(
        &self,
        client: &mut Connection,
        head: &Head,
        server: usize,
        request_body: &RequestBody,
        deadline: Instant,
    ) -> TryOutcome {
        let (connection, _) = match self.connection(server, deadline) {
            Ok(found) => found,
            Err(failure) => return TryOutcome::Failed(failure),
        };
        let handles = (
            client.socket.inner().try_clone(),
            connection.socket.inner().try_clone(),
        );
        let (Ok(client_handle), Ok(server_handle)) = handles else {
            return TryOutcome::Failed(Failure::NeverRan);
        };
        let waiting = Arc::new(WaitingVisit {
            client: client_handle,
            server: server_handle,
            cancelled: AtomicBool::new(false),
        });
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let is_first = {
            let mut all = lock(&self.waiting_visits);
            all.insert(id, waiting.clone());
            all.len() == 1
        };
        if is_first {
            self.visit_waiting.notify();
        }
        let outcome = self.exchange(client, connection, head, request_body, deadline);
        lock(&self.waiting_visits).remove(&id);
        match waiting.cancelled.load(Ordering::SeqCst) {
            true => TryOutcome::Cancelled,
            false => outcome,
        }
    }

    /// Sends the visit to a server and reads the head of its answer.
    fn exchange(
        &self,
        client: &mut Connection,
        mut connection: Connection,
        head: &Head,
        request_body: &RequestBody,
        deadline: Instant,
    ) -> TryOutcome {
        let Ok(limit) = shutdown_at(&connection.socket, deadline) else {
            return TryOutcome::Failed(Failure::NeverRan);
        };
        let framing = match request_body {
            RequestBody::Buffered(bytes) => BodyFraming::Length(bytes.len() as u64),
            RequestBody::Streamed(body) => *body,
        };
        let start_line = format!("{} {} HTTP/1.1", head.method, head.target);
        let mut out = write_head(&start_line, head, framing, false);
        if let RequestBody::Buffered(bytes) = request_body {
            out.extend_from_slice(bytes);
        }
        let sent = connection
            .socket
            .write_all(&out)
            .and_then(|()| match request_body {
                RequestBody::Buffered(_) => Ok(()),
                RequestBody::Streamed(body) => {
                    client.copy_body(*body, |piece| {
                        write_body_piece(&mut connection.socket, *body, piece)
                    })?;
                    match body {
                        BodyFraming::Chunked => connection.socket.write_all(b"0\r\n\r\n"),
                        _ => Ok(()),
                    }
                }
            });
        if sent.is_err() {
            return TryOutcome::Failed(Failure::MayHaveRun);
        }
        loop {
            match connection.response() {
                // An interim response (1xx).
                ReadOutcome::Message(answer) if answer.status < 200 => {}
                ReadOutcome::Message(answer) => {
                    let is_proof =
                        answer.status == 503 && answer.get(&self.settings.proof_header).is_some();
                    if answer.status >= 500 {
                        // The connection is not reused, as the rest of the answer is not read.
                        return TryOutcome::Failed(match is_proof {
                            true => Failure::NeverRan,
                            false => Failure::MayHaveRun,
                        });
                    }
                    let Ok(body) = answer.response_body(&head.method) else {
                        return TryOutcome::Failed(Failure::MayHaveRun);
                    };
                    return TryOutcome::Answered(Box::new(Answer {
                        head: answer,
                        body,
                        connection,
                        limit,
                    }));
                }
                ReadOutcome::Closed | ReadOutcome::Invalid(_) => {
                    return TryOutcome::Failed(Failure::MayHaveRun);
                }
            }
        }
    }

    /// Passes an answer on to the client, and keeps the connection to the server if it can be reused.
    fn send_answer(
        &self,
        client: &mut Connection,
        head: &Head,
        answered: &mut AnsweredTry,
    ) -> io::Result<bool> {
        let (class, server, started) = (answered.class, answered.server, answered.started);
        let answer = &mut answered.answer;
        self.record_server_load(class, server, &answer.head);
        let start_line = format!("HTTP/1.1 {} X", answer.head.status);
        let answer_head = write_head(&start_line, &answer.head, answer.body, head.closes());
        let body = answer.body;
        let has_no_body = head.method == "HEAD" || matches!(answer.head.status, 204 | 304);
        // If the length of the body is known, the head is sent together with the first piece, in one packet.
        let mut unsent = answer_head;
        let sent_head = match body {
            BodyFraming::Length(_) => Ok(()),
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                client.socket.write_all(&std::mem::take(&mut unsent))
            }
        };
        let sent = sent_head.and_then(|()| {
            answer.connection.copy_body(body, |piece| {
                if unsent.is_empty() {
                    return write_body_piece(&mut client.socket, body, piece);
                }
                unsent.extend_from_slice(piece);
                client.socket.write_all(&std::mem::take(&mut unsent))
            })?;
            match body {
                BodyFraming::Length(_) => client.socket.write_all(&unsent),
                BodyFraming::Chunked | BodyFraming::UntilClose if has_no_body => Ok(()),
                BodyFraming::Chunked | BodyFraming::UntilClose => {
                    client.socket.write_all(b"0\r\n\r\n")
                }
            }
        });
        self.record_try(
            class,
            server,
            started,
            sent.is_ok() || !answer.limit.has_fired(),
        );
        sent?;
        let is_reusable = !answer.limit.has_fired()
            && !answer.head.closes()
            && body != BodyFraming::UntilClose
            && answer.connection.is_buffer_empty();
        if is_reusable && let Ok(socket) = answer.connection.socket.try_clone() {
            let mut pools = lock(&self.pools);
            let idle = pools.entry(server).or_default();
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push((Connection::new(socket), Instant::now()));
            }
        }
        Ok(true)
    }

    /// Updates the counts of a class at a server.
    fn count(&self, class: usize, server: usize, update: impl FnOnce(&mut EndpointLoad)) {
        let address = self.address(server);
        let mut counts = lock(&self.counts);
        let tally = counts.endpoints.entry((class, server)).or_default();
        if tally.address.is_empty() {
            tally.address = address.map(|a| a.to_string()).unwrap_or_default();
        }
        update(tally);
    }

    /// Records the load that a server reports about itself in a header of its answer (ORCA).
    fn record_server_load(&self, class: usize, server: usize, head: &Head) {
        let load = head
            .get("endpoint-load-metrics")
            .and_then(|t| t.strip_prefix("TEXT "));
        let Some(load) = load else {
            return;
        };
        self.count(class, server, |t| {
            for (name, value) in load.split(',').filter_map(|pair| pair.split_once('=')) {
                let name = name.trim().strip_prefix("named_metrics.");
                let value = value
                    .trim()
                    .parse::<f64>()
                    .ok()
                    .filter(|v| v.is_finite() && *v >= 0.0);
                if let (Some(name), Some(value)) = (name, value) {
                    let sample = t.metrics.entry(name.to_string()).or_default();
                    (sample.0, sample.1) = (sample.0 + 1, sample.1 + value);
                }
            }
        });
    }

    /// Returns the counts since the last call and resets them. If they could not be sent, give them back by
    /// [`DataPlane::restore_tallies`].
    pub fn take_tallies(&self) -> Vec<ClusterLoad> {
        let mut counts = lock(&self.counts);
        let endpoints = std::mem::take(&mut counts.endpoints);
        let dropped = std::mem::take(&mut counts.dropped);
        let classes = self.settings.classes.iter().enumerate();
        classes
            .map(|(i, class)| {
                let of_class = endpoints.iter().filter(|((c, _), _)| *c == i);
                let of_class = of_class.map(|(key, e)| EndpointLoad {
                    in_progress: counts.in_progress.get(key).copied().unwrap_or(0),
                    ..e.clone()
                });
                let dropped = dropped.get(&i).map(|n| (class.name.clone(), *n));
                ClusterLoad {
                    cluster: names::cluster(&self.settings.service, &class.name),
                    endpoints: of_class.collect(),
                    dropped: dropped.into_iter().collect(),
                }
            })
            .collect()
    }

    /// Adds counts that could not be sent to those of the next report, so that they are reported exactly once.
    pub fn restore_tallies(&self, tallies: Vec<ClusterLoad>) {
        for (class, tally) in tallies.into_iter().enumerate() {
            let dropped: u64 = tally.dropped.values().sum();
            if dropped > 0 {
                *lock(&self.counts).dropped.entry(class).or_default() += dropped;
            }
            for e in tally.endpoints {
                let server = lock(&self.servers).index_of(&e.address);
                self.count(class, server, |t| {
                    t.issued += e.issued;
                    t.succeeded += e.succeeded;
                    t.failed += e.failed;
                    t.success_ms += e.success_ms;
                    for (name, (n, sum)) in &e.metrics {
                        let sample = t.metrics.entry(name.clone()).or_default();
                        (sample.0, sample.1) = (sample.0 + n, sample.1 + sum);
                    }
                });
            }
        }
    }
}

/// Returns whether the peer has closed an idle connection or sent something unexpected.
fn is_unusable(socket: &TcpStream) -> bool {
    let peeked = socket.inner().peek(&mut [0; 1]);
    !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether a client has closed its connection, or its sending side, even if bytes that it sent before
/// are still unread.
fn has_closed(client: &std::net::TcpStream) -> bool {
    let mut events = [PollFd::new(client, PollFlags::RDHUP)];
    let without_waiting = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    matches!(poll(&mut events, Some(&without_waiting)), Ok(1..))
}

/// Writes an answer that the proxy itself gives.
fn write_own_answer(to: &mut TcpStream, status: u16, why: &str, closes: bool) -> io::Result<()> {
    let close = if closes { "Connection: close\r\n" } else { "" };
    let retry_after = match status {
        503 => format!("Retry-After: {RETRY_AFTER_S}\r\n"),
        _ => String::new(),
    };
    let length = why.len() + 1;
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{retry_after}{close}\r\n{why}\n"
    );
    to.write_all(text.as_bytes())
}
