//! The data plane: takes visits from clients and carries each to a server by the table in use.

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
use dahliapoint_xds::{ClusterTally, EndpointTally, Held, names};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// A body up to this size is held, so that its visit can be tried again.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;
/// How often clients of waiting visits are looked at.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Connections kept to one server.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// How soon a refused client is to come again, in seconds.
const RETRY_AFTER_S: u32 = 1;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn ms(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1e3)
}

/// Servers by name and address, and the index that each has for good.
#[derive(Default)]
struct Servers {
    by_address: HashMap<String, usize>,
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

/// What is decided by together: swapped and asked under one lock, held for moments.
struct Table {
    picker: Picker,
    ejector: OutlierEjector,
    admissions: Vec<Admission>,
    retry_policies: Vec<RetryPolicy>,
    budget: RetryBudget,
    stalled_until: Instant,
}

#[derive(Default)]
struct Counts {
    endpoints: BTreeMap<(usize, usize), EndpointTally>,
    dropped: BTreeMap<usize, u64>,
    in_progress: BTreeMap<(usize, usize), u64>,
}

/// The data plane of one proxy.
pub struct DataPlane {
    pub settings: Settings,
    started: Instant,
    servers: Mutex<Servers>,
    initial_servers: Vec<RosterServer>,
    table: Mutex<Table>,
    pools: Mutex<HashMap<usize, Vec<(Connection, Instant)>>>,
    counts: Mutex<Counts>,
    client_count: AtomicUsize,
    /// Connections of clients, to be ended with the plane.
    client_sockets: Mutex<HashMap<u64, std::net::TcpStream>>,
    waiting_visits: Mutex<HashMap<u64, Arc<WaitingVisit>>>,
    /// Rung when a visit waits where none did: nobody is looked for while there is nobody.
    visit_waiting: Notify,
    next_id: AtomicU64,
    stopping: AtomicBool,
    environment: Arc<dyn Environment>,
}

/// How a try ended.
enum TryOutcome {
    Answered(Box<Answer>),
    Failed(Failure),
    /// The client went away; the server was told by its connection's end.
    Cancelled,
}

/// A visit that waits for its answer: both ends, as they are looked at from aside.
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
    /// Ends the answer at the hard limit.
    limit: Timer,
}

/// A try that a server answered.
struct AnsweredTry {
    answer: Box<Answer>,
    class: usize,
    server: usize,
    started: Instant,
}

/// A visit's body: held, or still with the client.
enum RequestBody {
    Buffered(Vec<u8>),
    Streamed(BodyFraming),
}

impl DataPlane {
    /// A plane with its initial_servers table: so many servers of the roster, of its own zone if three are there.
    pub fn new(settings: Settings, roster: &[RosterServer]) -> Arc<DataPlane> {
        DataPlane::with_environment(settings, roster, Arc::new(PlainSockets))
    }

    /// The same, with something else than plain sockets around it.
    pub fn with_environment(
        settings: Settings,
        roster: &[RosterServer],
        environment: Arc<dyn Environment>,
    ) -> Arc<DataPlane> {
        let mut rng = Rng::from_seed(settings.seed);
        let ready = || roster.iter().filter(|l| l.ready);
        let near: Vec<&RosterServer> = ready().filter(|l| l.zone == settings.zone).collect();
        let mut left: Vec<&RosterServer> = if near.len() >= 3 {
            near
        } else {
            ready().collect()
        };
        let mut initial_servers = Vec::new();
        while initial_servers.len() < settings.initial_servers && !left.is_empty() {
            let at = (rng.next_f64() * left.len() as f64) as usize;
            initial_servers.push(left.swap_remove(at.min(left.len() - 1)).clone());
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

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Puts a table into use, whole, between two visits: the one given, or the initial_servers one without what
    /// is withdrawn. `lines` were sent for it, each of which holds the proxy up.
    pub fn swap_table(&self, held: Option<&Held>, is_shut: &dyn Fn(&str) -> bool, lines: usize) {
        let mut servers = lock(&self.servers);
        let picks: Vec<WeightedServer> = match held {
            Some(held) => {
                let open = held.lines.iter().filter(|l| l.open);
                open.map(|l| WeightedServer {
                    server: servers.index_of(&l.address),
                    weight: f64::from(l.weight),
                })
                .collect()
            }
            None => {
                let open = self.initial_servers.iter().filter(|l| !is_shut(&l.name));
                open.map(|l| WeightedServer {
                    server: servers.index_of(&l.address.to_string()),
                    weight: 1.0,
                })
                .collect()
            }
        };
        drop(servers);
        let there: Vec<usize> = picks.iter().map(|l| l.server).collect();
        let mut table = lock(&self.table);
        table.picker.swap_table(&picks);
        table.ejector.retain(|s| there.contains(&s));
        for (i, class) in self.settings.classes.iter().enumerate() {
            let given = held.map(|h| {
                let share = h.shares.get(&class.name).copied().unwrap_or(1.0);
                let on = h.retry_on.get(&class.name).map_or("", String::as_str);
                let policy = match on {
                    "" => RetryPolicy::Never,
                    on if on.contains("5xx") => RetryPolicy::OnFailure,
                    _ => RetryPolicy::OnProof,
                };
                (share, policy)
            });
            let (share, policy) = given.unwrap_or((1.0, RetryPolicy::OnProof));
            table.admissions[i].set_share(share);
            table.retry_policies[i] = policy;
        }
        let stall = Duration::from_secs_f64(self.settings.stall_per_line_us * lines as f64 / 1e6);
        table.stalled_until = Instant::now() + stall;
        drop(table);
        // Connections to servers that are not in the table are closed.
        let closed: Vec<_> = {
            let mut pools = lock(&self.pools);
            let out: Vec<usize> = pools
                .keys()
                .copied()
                .filter(|s| !there.contains(s))
                .collect();
            out.iter().filter_map(|s| pools.remove(s)).collect()
        };
        drop(closed);
    }

    /// Servers that can be picked now.
    pub fn server_count(&self) -> usize {
        lock(&self.table).picker.servers().len()
    }

    /// The servers of the table in use.
    pub fn servers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let picked: Vec<usize> = table.picker.servers().iter().map(|l| l.server).collect();
        drop(table);
        picked.into_iter().filter_map(|s| self.address(s)).collect()
    }

    pub(crate) fn environment(&self) -> &Arc<dyn Environment> {
        &self.environment
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Takes no more clients. Those that are there have until then for their visits; what is left is cut.
    /// `at` is where it serves.
    pub fn shut_down(&self, at: SocketAddr, until: Instant) {
        self.stopping.store(true, Ordering::SeqCst);
        // Wakes the accepting coroutine, which then sees the end.
        let _ = dial(at, Duration::from_secs(1));
        while !lock(&self.waiting_visits).is_empty() && Instant::now() < until {
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

    /// Serves clients, until it is ended.
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
                        "a client too many is refused"
                    );
                    continue;
                }
                let plane = plane.clone();
                spawn(move || {
                    let id = plane.next_id.fetch_add(1, Ordering::SeqCst);
                    if let Ok(hand) = socket.inner().try_clone() {
                        lock(&plane.client_sockets).insert(id, hand);
                    }
                    plane.serve_client(socket);
                    lock(&plane.client_sockets).remove(&id);
                    plane.client_count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(address)
    }

    /// Visits whose client has gone away need no answer: their connections to servers are ended, so that
    /// servers which can stop do.
    fn cancel_abandoned_visits(&self) -> usize {
        let waiting: Vec<Arc<WaitingVisit>> =
            lock(&self.waiting_visits).values().cloned().collect();
        for visit in &waiting {
            let gone = match visit.client.peek(&mut [0; 1]) {
                Ok(0) => true,
                // Said ahead of the answer: the next request, and still there.
                Ok(_) => false,
                Err(e) => e.kind() != io::ErrorKind::WouldBlock,
            };
            if gone && !visit.cancelled.swap(true, Ordering::SeqCst) {
                let _ = visit.server.shutdown(Shutdown::Both);
            }
        }
        waiting.len()
    }

    /// A client's connection: one visit after the other.
    fn serve_client(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut client = Connection::new(socket);
        loop {
            // A client that says nothing for long is let go.
            let Ok(idle) = shutdown_at(
                &client.socket,
                Instant::now() + ms(self.settings.idle_timeout_ms),
            ) else {
                return;
            };
            let head = match client.request() {
                ReadOutcome::Message(head) => head,
                ReadOutcome::Closed => return,
                ReadOutcome::Invalid(BadMessage(status, why)) => {
                    debug!(status, why, "a request is refused");
                    let _ = write_own_answer(&mut client.socket, status, why, true);
                    return;
                }
            };
            drop(idle);
            let goes_on = self.visit(&mut client, &head).unwrap_or(false);
            if !goes_on || head.closes() || self.is_stopping() {
                return;
            }
        }
    }

    fn class_of(&self, target: &str) -> Option<usize> {
        let path = target.split('?').next().unwrap_or_default();
        let first = path.trim_start_matches('/').split('/').next()?;
        let name = names::unescape(first)?;
        self.settings.classes.iter().position(|c| c.name == name)
    }

    /// One visit, to its end. Tells whether the connection can go on.
    fn visit(&self, client: &mut Connection, head: &Head) -> io::Result<bool> {
        let body = match head.request_body() {
            Ok(body) => body,
            Err(BadMessage(status, why)) => {
                write_own_answer(&mut client.socket, status, why, true)?;
                return Ok(false);
            }
        };
        let Some(class) = self.class_of(&head.target) else {
            // What is left of its body is not waited for.
            write_own_answer(&mut client.socket, 404, "no such class of visits", true)?;
            return Ok(false);
        };
        let stalled = {
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
        let wait = stalled.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait);
        }
        let until = Instant::now() + ms(self.settings.classes[class].hard_limit_ms);
        if head
            .get("expect")
            .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
        {
            client.socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let request_body = match body {
            BodyFraming::Length(length) if length <= MAX_BUFFERED_BODY_BYTES => {
                let slow = shutdown_at(&client.socket, until)?;
                let mut held = Vec::new();
                client.copy_body(body, |piece| {
                    held.extend_from_slice(piece);
                    Ok(())
                })?;
                drop(slow);
                RequestBody::Buffered(held)
            }
            other => RequestBody::Streamed(other),
        };
        match self.forward(client, head, class, &request_body, until) {
            Ok(mut answered) => self.send_answer(client, head, &mut answered),
            Err(status) => {
                let kept = matches!(request_body, RequestBody::Buffered(_));
                let why = if status == 504 {
                    "no answer in time"
                } else {
                    "no server answers"
                };
                write_own_answer(&mut client.socket, status, why, !kept)?;
                Ok(kept)
            }
        }
    }

    /// Tries a server, and another if that is ordered and may be. The status to answer with if none did.
    fn forward(
        &self,
        client: &mut Connection,
        head: &Head,
        class: usize,
        request_body: &RequestBody,
        until: Instant,
    ) -> Result<AnsweredTry, u16> {
        let mut tried: Vec<usize> = Vec::new();
        loop {
            let picked = {
                let mut table = lock(&self.table);
                let Table {
                    picker, ejector, ..
                } = &mut *table;
                let now = self.now_ms();
                let picked =
                    ejector.pick(now, |may| picker.pick(|s| !tried.contains(&s) && may(s)));
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
            match self.attempt(client, head, server, request_body, until) {
                TryOutcome::Answered(answer) => {
                    return Ok(AnsweredTry {
                        answer,
                        class,
                        server,
                        started,
                    });
                }
                TryOutcome::Cancelled => {
                    // Neither good nor failed: it says nothing of the server.
                    self.try_left(class, server);
                    return Err(499);
                }
                TryOutcome::Failed(failure) => {
                    self.try_ended(class, server, started, false);
                    let left = until.saturating_duration_since(Instant::now());
                    let failed = FailedTry {
                        idempotency: self.settings.classes[class].idempotency,
                        policy: lock(&self.table).retry_policies[class],
                        failure,
                        tries: tried.len() as u32,
                        left_ms: left.as_secs_f64() * 1e3,
                    };
                    let streamed = matches!(request_body, RequestBody::Streamed(_));
                    let again = retry::check_retry(&failed, &mut lock(&self.table).budget);
                    if streamed || again.is_err() {
                        return Err(if left.is_zero() { 504 } else { 502 });
                    }
                }
            }
        }
    }

    fn try_ended(&self, class: usize, server: usize, started: Instant, good: bool) {
        let took = started.elapsed().as_secs_f64() * 1e3;
        self.count(class, server, |t| match good {
            true => {
                t.good += 1;
                t.good_ms += took;
            }
            false => t.failed += 1,
        });
        self.try_left(class, server);
        let now = self.now_ms();
        let mut table = lock(&self.table);
        if table.ejector.record_try(now, server, good) {
            drop(table);
            warn!(server = ?self.address(server), "kept away from after a run of failures");
        }
    }

    /// A try is not under way any more.
    fn try_left(&self, class: usize, server: usize) {
        if let Some(many) = lock(&self.counts).in_progress.get_mut(&(class, server)) {
            *many -= 1;
        }
        lock(&self.table).picker.try_ended(server);
    }

    fn address(&self, server: usize) -> Option<SocketAddr> {
        lock(&self.servers).addresses.get(server).copied().flatten()
    }

    fn connection(&self, server: usize, until: Instant) -> Result<(Connection, bool), Failure> {
        let idle = ms(self.settings.idle_timeout_ms);
        loop {
            let kept = lock(&self.pools).get_mut(&server).and_then(Vec::pop);
            match kept {
                Some((connection, used))
                    if used.elapsed() < idle && !is_closed(&connection.socket) =>
                {
                    return Ok((connection, false));
                }
                Some(_) => {}
                None => break,
            }
        }
        let to = self.address(server).ok_or(Failure::NeverRan)?;
        let left = until.saturating_duration_since(Instant::now());
        let patience = left.min(ms(self.settings.connect_timeout_ms));
        let socket = self.environment.dial(to, patience);
        let socket = socket.map_err(|_| Failure::NeverRan)?;
        let _ = socket.set_nodelay(true);
        Ok((Connection::new(socket), true))
    }

    /// Sends the visit to a server and reads the head of its answer, while the client is watched.
    fn attempt(
        &self,
        client: &mut Connection,
        head: &Head,
        server: usize,
        request_body: &RequestBody,
        until: Instant,
    ) -> TryOutcome {
        let (connection, _) = match self.connection(server, until) {
            Ok(found) => found,
            Err(failure) => return TryOutcome::Failed(failure),
        };
        let hands = (
            client.socket.inner().try_clone(),
            connection.socket.inner().try_clone(),
        );
        let (Ok(near), Ok(far)) = hands else {
            return TryOutcome::Failed(Failure::NeverRan);
        };
        let waiting = Arc::new(WaitingVisit {
            client: near,
            server: far,
            cancelled: AtomicBool::new(false),
        });
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let first = {
            let mut all = lock(&self.waiting_visits);
            all.insert(id, waiting.clone());
            all.len() == 1
        };
        if first {
            self.visit_waiting.notify();
        }
        let tried = self.exchange(client, connection, head, request_body, until);
        lock(&self.waiting_visits).remove(&id);
        match waiting.cancelled.load(Ordering::SeqCst) {
            true => TryOutcome::Cancelled,
            false => tried,
        }
    }

    fn exchange(
        &self,
        client: &mut Connection,
        mut connection: Connection,
        head: &Head,
        request_body: &RequestBody,
        until: Instant,
    ) -> TryOutcome {
        let Ok(limit) = shutdown_at(&connection.socket, until) else {
            return TryOutcome::Failed(Failure::NeverRan);
        };
        let framing = match request_body {
            RequestBody::Buffered(bytes) => BodyFraming::Length(bytes.len() as u64),
            RequestBody::Streamed(body) => *body,
        };
        let first = format!("{} {} HTTP/1.1", head.method, head.target);
        let mut out = write_head(&first, head, framing, false);
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
                // Said ahead of the answer.
                ReadOutcome::Message(answer) if answer.status < 200 => {}
                ReadOutcome::Message(answer) => {
                    let unseen =
                        answer.status == 503 && answer.get(&self.settings.proof_header).is_some();
                    if answer.status >= 500 {
                        // Its connection is not used again: what is left of the answer is not read.
                        return TryOutcome::Failed(match unseen {
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

    /// Passes an answer on to the client; the connection to the server is kept if it can be.
    fn send_answer(
        &self,
        client: &mut Connection,
        head: &Head,
        answered: &mut AnsweredTry,
    ) -> io::Result<bool> {
        let (class, server, started) = (answered.class, answered.server, answered.started);
        let answer = &mut answered.answer;
        self.record_server_load(class, server, &answer.head);
        let first = format!("HTTP/1.1 {} X", answer.head.status);
        let whole = write_head(&first, &answer.head, answer.body, head.closes());
        let body = answer.body;
        let bodiless = head.method == "HEAD" || matches!(answer.head.status, 204 | 304);
        // A head goes out with the first of its body, in one packet, where the body's length is known.
        let mut ahead = whole;
        let begins = match body {
            BodyFraming::Length(_) => Ok(()),
            BodyFraming::Chunked | BodyFraming::UntilClose => {
                client.socket.write_all(&std::mem::take(&mut ahead))
            }
        };
        let passed = begins.and_then(|()| {
            answer.connection.copy_body(body, |piece| {
                if ahead.is_empty() {
                    return write_body_piece(&mut client.socket, body, piece);
                }
                ahead.extend_from_slice(piece);
                client.socket.write_all(&std::mem::take(&mut ahead))
            })?;
            match body {
                BodyFraming::Length(_) => client.socket.write_all(&ahead),
                BodyFraming::Chunked | BodyFraming::UntilClose if bodiless => Ok(()),
                BodyFraming::Chunked | BodyFraming::UntilClose => {
                    client.socket.write_all(b"0\r\n\r\n")
                }
            }
        });
        self.try_ended(
            class,
            server,
            started,
            passed.is_ok() || !answer.limit.has_fired(),
        );
        passed?;
        let reusable = !answer.limit.has_fired()
            && !answer.head.closes()
            && body != BodyFraming::UntilClose
            && answer.connection.is_buffer_empty();
        if reusable && let Ok(socket) = answer.connection.socket.try_clone() {
            let mut pools = lock(&self.pools);
            let kept = pools.entry(server).or_default();
            if kept.len() < MAX_IDLE_CONNECTIONS {
                kept.push((Connection::new(socket), Instant::now()));
            }
        }
        Ok(true)
    }

    // ---- reports ----

    fn count(&self, class: usize, server: usize, note: impl FnOnce(&mut EndpointTally)) {
        let address = self.address(server);
        let mut counts = lock(&self.counts);
        let tally = counts.endpoints.entry((class, server)).or_default();
        if tally.address.is_empty() {
            tally.address = address.map(|a| a.to_string()).unwrap_or_default();
        }
        note(tally);
    }

    /// The server's own words, as ORCA has them in an answer's header.
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
                    let word = t.words.entry(name.to_string()).or_default();
                    (word.0, word.1) = (word.0 + 1, word.1 + value);
                }
            }
        });
    }

    /// What was counted since the last call. Given back by [`DataPlane::restore_tallies`] if it could not be sent.
    pub fn take_tallies(&self) -> Vec<ClusterTally> {
        let mut counts = lock(&self.counts);
        let endpoints = std::mem::take(&mut counts.endpoints);
        let dropped = std::mem::take(&mut counts.dropped);
        let classes = self.settings.classes.iter().enumerate();
        classes
            .map(|(i, class)| {
                let met = endpoints.iter().filter(|((c, _), _)| *c == i);
                let met = met.map(|(place, e)| EndpointTally {
                    in_progress: counts.in_progress.get(place).copied().unwrap_or(0),
                    ..e.clone()
                });
                let dropped = dropped.get(&i).map(|n| (class.name.clone(), *n));
                ClusterTally {
                    cluster: names::cluster(&self.settings.service, &class.name),
                    endpoints: met.collect(),
                    dropped: dropped.into_iter().collect(),
                }
            })
            .collect()
    }

    /// A report that could not be sent is added to the next: told once, never twice.
    pub fn restore_tallies(&self, tallies: Vec<ClusterTally>) {
        for (class, tally) in tallies.into_iter().enumerate() {
            let dropped: u64 = tally.dropped.values().sum();
            if dropped > 0 {
                *lock(&self.counts).dropped.entry(class).or_default() += dropped;
            }
            for e in tally.endpoints {
                let server = lock(&self.servers).index_of(&e.address);
                self.count(class, server, |t| {
                    t.issued += e.issued;
                    t.good += e.good;
                    t.failed += e.failed;
                    t.good_ms += e.good_ms;
                    for (name, (n, sum)) in &e.words {
                        let word = t.words.entry(name.clone()).or_default();
                        (word.0, word.1) = (word.0 + n, word.1 + sum);
                    }
                });
            }
        }
    }
}

/// The other side has closed a connection that was kept, or said something unasked.
fn is_closed(socket: &TcpStream) -> bool {
    let peeked = socket.inner().peek(&mut [0; 1]);
    !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// An answer of the proxy's own.
fn write_own_answer(to: &mut TcpStream, status: u16, why: &str, closes: bool) -> io::Result<()> {
    let close = if closes { "Connection: close\r\n" } else { "" };
    let again = match status {
        503 => format!("Retry-After: {RETRY_AFTER_S}\r\n"),
        _ => String::new(),
    };
    let length = why.len() + 1;
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{again}{close}\r\n{why}\n"
    );
    to.write_all(text.as_bytes())
}
