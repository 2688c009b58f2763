//! The data plane: takes visits from clients and carries each to a server by the table in use.

use crate::Chance;
use crate::around::{Around, Plain};
use crate::described::{Described, Listed};
use crate::http::{Body, Found, Head, Source, Wrong, write_head, write_piece};
use crate::picking::{Line, Picker};
use crate::shunning::Shunning;
use crate::trying::{self, Budget, Failed, Failure, Level, Ordered};
use dahliapoint_fibers::{Notify, TcpStream, Timer, dial, listen, shutdown_at, sleep, spawn};
use dahliapoint_xds::{ClusterLoad, EndpointLoad, ReceivedTable, names};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// A body up to this size is held, so that its visit can be tried again.
const HELD: u64 = 64 * 1024;
/// How often clients of waiting visits are looked at.
const LOOK: Duration = Duration::from_millis(20);
/// Connections kept to one server.
const KEPT: usize = 64;
/// How soon a refused client is to come again, in seconds.
const COME_AGAIN_S: u32 = 1;

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
    fn place(&mut self, address: &str) -> usize {
        let next = self.addresses.len();
        let place = *self.by_address.entry(address.to_string()).or_insert(next);
        if place == next {
            self.addresses.push(address.parse().ok());
        }
        place
    }
}

/// What is decided by together: swapped and asked under one lock, held for moments.
struct Table {
    picker: Picker,
    shunning: Shunning,
    levels: Vec<Level>,
    ordered: Vec<Ordered>,
    budget: Budget,
    stalled_until: Instant,
}

#[derive(Default)]
struct Counts {
    endpoints: BTreeMap<(usize, usize), EndpointLoad>,
    dropped: BTreeMap<usize, u64>,
    under_way: BTreeMap<(usize, usize), u64>,
}

/// The data plane of one proxy.
pub struct Plane {
    pub described: Described,
    begun: Instant,
    servers: Mutex<Servers>,
    standing: Vec<Listed>,
    table: Mutex<Table>,
    pools: Mutex<HashMap<usize, Vec<(Source, Instant)>>>,
    counts: Mutex<Counts>,
    clients: AtomicUsize,
    /// Connections of clients, to be ended with the plane.
    met: Mutex<HashMap<u64, std::net::TcpStream>>,
    waiting: Mutex<HashMap<u64, Arc<Waiting>>>,
    /// Rung when a visit waits where none did: nobody is looked for while there is nobody.
    waits: Notify,
    visits: AtomicU64,
    over: AtomicBool,
    around: Arc<dyn Around>,
}

/// How a try ended.
enum Tried {
    Answered(Box<Answer>),
    Failed(Failure),
    /// The client went away; the server was told by its connection's end.
    Cancelled,
}

/// A visit that waits for its answer: both ends, as they are looked at from aside.
struct Waiting {
    client: std::net::TcpStream,
    server: std::net::TcpStream,
    cancelled: AtomicBool,
}

struct Answer {
    head: Head,
    body: Body,
    source: Source,
    /// Ends the answer at the hard limit.
    limit: Timer,
}

/// A visit's body: held, or still with the client.
enum Brought {
    Held(Vec<u8>),
    Streams(Body),
}

impl Plane {
    /// A plane with its standing table: so many servers of the roster, of its own zone if three are there.
    pub fn new(described: Described, roster: &[Listed]) -> Arc<Plane> {
        Plane::within(described, roster, Arc::new(Plain))
    }

    /// The same, with something else than plain sockets around it.
    pub fn within(described: Described, roster: &[Listed], around: Arc<dyn Around>) -> Arc<Plane> {
        let mut chance = Chance::from(described.seed);
        let ready = || roster.iter().filter(|l| l.ready);
        let near: Vec<&Listed> = ready().filter(|l| l.zone == described.zone).collect();
        let mut left: Vec<&Listed> = if near.len() >= 3 {
            near
        } else {
            ready().collect()
        };
        let mut standing = Vec::new();
        while standing.len() < described.standing && !left.is_empty() {
            let at = (chance.draw() * left.len() as f64) as usize;
            standing.push(left.swap_remove(at.min(left.len() - 1)).clone());
        }
        let classes = described.classes.len();
        let plane = Plane {
            begun: Instant::now(),
            servers: Mutex::default(),
            standing,
            table: Mutex::new(Table {
                picker: Picker::new(described.way, described.seed),
                shunning: Shunning::new(described.strikes, described.shun_ms),
                levels: vec![Level::new(); classes],
                ordered: vec![Ordered::OnProof; classes],
                budget: Budget::new(described.further_share),
                stalled_until: Instant::now(),
            }),
            pools: Mutex::default(),
            counts: Mutex::default(),
            clients: AtomicUsize::new(0),
            met: Mutex::default(),
            waiting: Mutex::default(),
            waits: Notify::default(),
            visits: AtomicU64::new(0),
            over: AtomicBool::new(false),
            around,
            described,
        };
        plane.swap(None, &|_| false, 0);
        Arc::new(plane)
    }

    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    /// Puts a table into use, whole, between two visits: the one given, or the standing one without what
    /// is withdrawn. `lines` were sent for it, each of which holds the proxy up.
    pub fn swap(&self, held: Option<&ReceivedTable>, is_shut: &dyn Fn(&str) -> bool, lines: usize) {
        let mut servers = lock(&self.servers);
        let picks: Vec<Line> = match held {
            Some(held) => {
                let open = held.lines.iter().filter(|l| l.open);
                open.map(|l| Line {
                    server: servers.place(&l.address),
                    weight: f64::from(l.weight),
                })
                .collect()
            }
            None => {
                let open = self.standing.iter().filter(|l| !is_shut(&l.name));
                open.map(|l| Line {
                    server: servers.place(&l.address.to_string()),
                    weight: 1.0,
                })
                .collect()
            }
        };
        drop(servers);
        let there: Vec<usize> = picks.iter().map(|l| l.server).collect();
        let mut table = lock(&self.table);
        table.picker.swap(&picks);
        table.shunning.keep(|s| there.contains(&s));
        for (i, class) in self.described.classes.iter().enumerate() {
            let given = held.map(|h| {
                let share = h.admitted_shares.get(&class.name).copied().unwrap_or(1.0);
                let on = h.retry_on.get(&class.name).map_or("", String::as_str);
                let ordered = match on {
                    "" => Ordered::Never,
                    on if on.contains("5xx") => Ordered::OnFailure,
                    _ => Ordered::OnProof,
                };
                (share, ordered)
            });
            let (share, ordered) = given.unwrap_or((1.0, Ordered::OnProof));
            table.levels[i].set(share);
            table.ordered[i] = ordered;
        }
        let stall = Duration::from_secs_f64(self.described.stall_us * lines as f64 / 1e6);
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
    pub fn lines(&self) -> usize {
        lock(&self.table).picker.lines().len()
    }

    /// The servers of the table in use.
    pub fn servers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let picked: Vec<usize> = table.picker.lines().iter().map(|l| l.server).collect();
        drop(table);
        picked.into_iter().filter_map(|s| self.address(s)).collect()
    }

    pub(crate) fn around(&self) -> &Arc<dyn Around> {
        &self.around
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Takes no more clients. Those that are there have until then for their visits; what is left is cut.
    /// `at` is where it serves.
    pub fn end(&self, at: SocketAddr, until: Instant) {
        self.over.store(true, Ordering::SeqCst);
        // Wakes the accepting coroutine, which then sees the end.
        let _ = dial(at, Duration::from_secs(1));
        while !lock(&self.waiting).is_empty() && Instant::now() < until {
            sleep(LOOK);
        }
        for client in lock(&self.met).values() {
            let _ = client.shutdown(Shutdown::Both);
        }
        for visit in lock(&self.waiting).values() {
            let _ = visit.server.shutdown(Shutdown::Both);
        }
        lock(&self.pools).clear();
        self.waits.notify();
    }

    /// Serves clients, until it is ended.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn serve(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = listen(self.described.listen)?;
        let address = listener.local_addr()?;
        let watching = self.clone();
        spawn(move || {
            while !watching.is_over() {
                watching.waits.wait(None);
                while watching.look_for_the_gone() > 0 {
                    sleep(LOOK);
                }
            }
        });
        let plane = self.clone();
        spawn(move || {
            for socket in listener.incoming() {
                if plane.is_over() {
                    return;
                }
                let Ok(socket) = socket else {
                    sleep(Duration::from_millis(20));
                    continue;
                };
                if plane.clients.fetch_add(1, Ordering::SeqCst) >= plane.described.most_clients {
                    plane.clients.fetch_sub(1, Ordering::SeqCst);
                    warn!(
                        most = plane.described.most_clients,
                        "a client too many is refused"
                    );
                    continue;
                }
                let plane = plane.clone();
                spawn(move || {
                    let id = plane.visits.fetch_add(1, Ordering::SeqCst);
                    if let Ok(hand) = socket.inner().try_clone() {
                        lock(&plane.met).insert(id, hand);
                    }
                    plane.converse(socket);
                    lock(&plane.met).remove(&id);
                    plane.clients.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(address)
    }

    /// Visits whose client has gone away need no answer: their connections to servers are ended, so that
    /// servers which can stop do.
    fn look_for_the_gone(&self) -> usize {
        let waiting: Vec<Arc<Waiting>> = lock(&self.waiting).values().cloned().collect();
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
    fn converse(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut client = Source::of(socket);
        loop {
            // A client that says nothing for long is let go.
            let Ok(idle) = shutdown_at(&client.socket, Instant::now() + ms(self.described.idle_ms))
            else {
                return;
            };
            let head = match client.request() {
                Found::There(head) => head,
                Found::Closed => return,
                Found::Wrong(Wrong(status, why)) => {
                    debug!(status, why, "a request is refused");
                    let _ = answer(&mut client.socket, status, why, true);
                    return;
                }
            };
            drop(idle);
            let goes_on = self.visit(&mut client, &head).unwrap_or(false);
            if !goes_on || head.closes() || self.is_over() {
                return;
            }
        }
    }

    fn class_of(&self, target: &str) -> Option<usize> {
        let path = target.split('?').next().unwrap_or_default();
        let first = path.trim_start_matches('/').split('/').next()?;
        let name = names::unescape(first)?;
        self.described.classes.iter().position(|c| c.name == name)
    }

    /// One visit, to its end. Tells whether the connection can go on.
    fn visit(&self, client: &mut Source, head: &Head) -> io::Result<bool> {
        let body = match head.request_body() {
            Ok(body) => body,
            Err(Wrong(status, why)) => {
                answer(&mut client.socket, status, why, true)?;
                return Ok(false);
            }
        };
        let Some(class) = self.class_of(&head.target) else {
            // What is left of its body is not waited for.
            answer(&mut client.socket, 404, "no such class of visits", true)?;
            return Ok(false);
        };
        let stalled = {
            let mut table = lock(&self.table);
            table.budget.visit();
            if !table.levels[class].lets_in() {
                drop(table);
                *lock(&self.counts).dropped.entry(class).or_default() += 1;
                answer(&mut client.socket, 503, "not let in now", true)?;
                return Ok(false);
            }
            table.stalled_until
        };
        let wait = stalled.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait);
        }
        let until = Instant::now() + ms(self.described.classes[class].hard_limit_ms);
        if head
            .get("expect")
            .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
        {
            client.socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let brought = match body {
            Body::Length(length) if length <= HELD => {
                let slow = shutdown_at(&client.socket, until)?;
                let mut held = Vec::new();
                client.pass(body, |piece| {
                    held.extend_from_slice(piece);
                    Ok(())
                })?;
                drop(slow);
                Brought::Held(held)
            }
            other => Brought::Streams(other),
        };
        match self.carry(client, head, class, &brought, until) {
            Ok(mut found) => self.hand_back(client, head, &mut found),
            Err(status) => {
                let kept = matches!(brought, Brought::Held(_));
                let why = if status == 504 {
                    "no answer in time"
                } else {
                    "no server answers"
                };
                answer(&mut client.socket, status, why, !kept)?;
                Ok(kept)
            }
        }
    }

    /// Tries a server, and another if that is ordered and may be. The status to answer with if none did.
    fn carry(
        &self,
        client: &mut Source,
        head: &Head,
        class: usize,
        brought: &Brought,
        until: Instant,
    ) -> Result<(Box<Answer>, usize, Instant, usize), u16> {
        let mut tried: Vec<usize> = Vec::new();
        loop {
            let picked = {
                let mut table = lock(&self.table);
                let Table {
                    picker, shunning, ..
                } = &mut *table;
                let now = self.now_ms();
                let picked =
                    shunning.pick(now, |may| picker.pick(|s| !tried.contains(&s) && may(s)));
                if let Some(server) = picked {
                    picker.began(server);
                }
                picked
            };
            let Some(server) = picked else {
                return Err(503);
            };
            tried.push(server);
            let begun = Instant::now();
            self.count(class, server, |t| t.issued += 1);
            *lock(&self.counts)
                .under_way
                .entry((class, server))
                .or_default() += 1;
            match self.attempt(client, head, server, brought, until) {
                Tried::Answered(found) => return Ok((found, server, begun, class)),
                Tried::Cancelled => {
                    // Neither good nor failed: it says nothing of the server.
                    self.left(class, server);
                    return Err(499);
                }
                Tried::Failed(failure) => {
                    self.ended(class, server, begun, false);
                    let left = until.saturating_duration_since(Instant::now());
                    let failed = Failed {
                        effect: self.described.classes[class].effect,
                        ordered: lock(&self.table).ordered[class],
                        failure,
                        tries: tried.len() as u32,
                        left_ms: left.as_secs_f64() * 1e3,
                    };
                    let streamed = matches!(brought, Brought::Streams(_));
                    let again = trying::again(&failed, &mut lock(&self.table).budget);
                    if streamed || again.is_err() {
                        return Err(if left.is_zero() { 504 } else { 502 });
                    }
                }
            }
        }
    }

    fn ended(&self, class: usize, server: usize, begun: Instant, good: bool) {
        let took = begun.elapsed().as_secs_f64() * 1e3;
        self.count(class, server, |t| match good {
            true => {
                t.succeeded += 1;
                t.success_ms += took;
            }
            false => t.failed += 1,
        });
        self.left(class, server);
        let now = self.now_ms();
        let mut table = lock(&self.table);
        if table.shunning.met(now, server, good) {
            drop(table);
            warn!(server = ?self.address(server), "kept away from after a run of failures");
        }
    }

    /// A try is not under way any more.
    fn left(&self, class: usize, server: usize) {
        if let Some(many) = lock(&self.counts).under_way.get_mut(&(class, server)) {
            *many -= 1;
        }
        lock(&self.table).picker.ended(server);
    }

    fn address(&self, server: usize) -> Option<SocketAddr> {
        lock(&self.servers).addresses.get(server).copied().flatten()
    }

    fn connection(&self, server: usize, until: Instant) -> Result<(Source, bool), Failure> {
        let idle = ms(self.described.idle_ms);
        loop {
            let kept = lock(&self.pools).get_mut(&server).and_then(Vec::pop);
            match kept {
                Some((source, used)) if used.elapsed() < idle && !is_closed(&source.socket) => {
                    return Ok((source, false));
                }
                Some(_) => {}
                None => break,
            }
        }
        let to = self.address(server).ok_or(Failure::NeverRan)?;
        let left = until.saturating_duration_since(Instant::now());
        let patience = left.min(ms(self.described.connect_ms));
        let socket = self.around.dial(to, patience);
        let socket = socket.map_err(|_| Failure::NeverRan)?;
        let _ = socket.set_nodelay(true);
        Ok((Source::of(socket), true))
    }

    /// Sends the visit to a server and reads the head of its answer, while the client is watched.
    fn attempt(
        &self,
        client: &mut Source,
        head: &Head,
        server: usize,
        brought: &Brought,
        until: Instant,
    ) -> Tried {
        let (source, _) = match self.connection(server, until) {
            Ok(found) => found,
            Err(failure) => return Tried::Failed(failure),
        };
        let hands = (
            client.socket.inner().try_clone(),
            source.socket.inner().try_clone(),
        );
        let (Ok(near), Ok(far)) = hands else {
            return Tried::Failed(Failure::NeverRan);
        };
        let waiting = Arc::new(Waiting {
            client: near,
            server: far,
            cancelled: AtomicBool::new(false),
        });
        let id = self.visits.fetch_add(1, Ordering::SeqCst);
        let first = {
            let mut all = lock(&self.waiting);
            all.insert(id, waiting.clone());
            all.len() == 1
        };
        if first {
            self.waits.notify();
        }
        let tried = self.call(client, source, head, brought, until);
        lock(&self.waiting).remove(&id);
        match waiting.cancelled.load(Ordering::SeqCst) {
            true => Tried::Cancelled,
            false => tried,
        }
    }

    fn call(
        &self,
        client: &mut Source,
        mut source: Source,
        head: &Head,
        brought: &Brought,
        until: Instant,
    ) -> Tried {
        let Ok(limit) = shutdown_at(&source.socket, until) else {
            return Tried::Failed(Failure::NeverRan);
        };
        let framing = match brought {
            Brought::Held(bytes) => Body::Length(bytes.len() as u64),
            Brought::Streams(body) => *body,
        };
        let first = format!("{} {} HTTP/1.1", head.method, head.target);
        let mut out = write_head(&first, head, framing, false);
        if let Brought::Held(bytes) = brought {
            out.extend_from_slice(bytes);
        }
        let sent = source.socket.write_all(&out).and_then(|()| match brought {
            Brought::Held(_) => Ok(()),
            Brought::Streams(body) => {
                client.pass(*body, |piece| write_piece(&mut source.socket, *body, piece))?;
                match body {
                    Body::Chunked => source.socket.write_all(b"0\r\n\r\n"),
                    _ => Ok(()),
                }
            }
        });
        if sent.is_err() {
            return Tried::Failed(Failure::MayHaveRun);
        }
        loop {
            match source.response() {
                // Said ahead of the answer.
                Found::There(answer) if answer.status < 200 => {}
                Found::There(answer) => {
                    let unseen =
                        answer.status == 503 && answer.get(&self.described.proof_header).is_some();
                    if answer.status >= 500 {
                        // Its connection is not used again: what is left of the answer is not read.
                        return Tried::Failed(match unseen {
                            true => Failure::NeverRan,
                            false => Failure::MayHaveRun,
                        });
                    }
                    let Ok(body) = answer.response_body(&head.method) else {
                        return Tried::Failed(Failure::MayHaveRun);
                    };
                    return Tried::Answered(Box::new(Answer {
                        head: answer,
                        body,
                        source,
                        limit,
                    }));
                }
                Found::Closed | Found::Wrong(_) => return Tried::Failed(Failure::MayHaveRun),
            }
        }
    }

    /// Passes an answer on to the client; the connection to the server is kept if it can be.
    fn hand_back(
        &self,
        client: &mut Source,
        head: &Head,
        found: &mut (Box<Answer>, usize, Instant, usize),
    ) -> io::Result<bool> {
        let (found, server, begun, class) = (&mut found.0, found.1, found.2, found.3);
        self.words(class, server, &found.head);
        let first = format!("HTTP/1.1 {} X", found.head.status);
        let whole = write_head(&first, &found.head, found.body, head.closes());
        let body = found.body;
        let bodiless = head.method == "HEAD" || matches!(found.head.status, 204 | 304);
        // A head goes out with the first of its body, in one packet, where the body's length is known.
        let mut ahead = whole;
        let begins = match body {
            Body::Length(_) => Ok(()),
            Body::Chunked | Body::UntilClose => {
                client.socket.write_all(&std::mem::take(&mut ahead))
            }
        };
        let passed = begins.and_then(|()| {
            found.source.pass(body, |piece| {
                if ahead.is_empty() {
                    return write_piece(&mut client.socket, body, piece);
                }
                ahead.extend_from_slice(piece);
                client.socket.write_all(&std::mem::take(&mut ahead))
            })?;
            match body {
                Body::Length(_) => client.socket.write_all(&ahead),
                Body::Chunked | Body::UntilClose if bodiless => Ok(()),
                Body::Chunked | Body::UntilClose => client.socket.write_all(b"0\r\n\r\n"),
            }
        });
        self.ended(
            class,
            server,
            begun,
            passed.is_ok() || !found.limit.has_fired(),
        );
        passed?;
        let reusable = !found.limit.has_fired()
            && !found.head.closes()
            && body != Body::UntilClose
            && found.source.is_clean();
        if reusable && let Ok(socket) = found.source.socket.try_clone() {
            let mut pools = lock(&self.pools);
            let kept = pools.entry(server).or_default();
            if kept.len() < KEPT {
                kept.push((Source::of(socket), Instant::now()));
            }
        }
        Ok(true)
    }

    // ---- reports ----

    fn count(&self, class: usize, server: usize, note: impl FnOnce(&mut EndpointLoad)) {
        let address = self.address(server);
        let mut counts = lock(&self.counts);
        let tally = counts.endpoints.entry((class, server)).or_default();
        if tally.address.is_empty() {
            tally.address = address.map(|a| a.to_string()).unwrap_or_default();
        }
        note(tally);
    }

    /// The server's own words, as ORCA has them in an answer's header.
    fn words(&self, class: usize, server: usize, head: &Head) {
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
                    let word = t.metrics.entry(name.to_string()).or_default();
                    (word.0, word.1) = (word.0 + 1, word.1 + value);
                }
            }
        });
    }

    /// What was counted since the last call. Given back by [`Plane::untold`] if it could not be sent.
    pub fn tallies(&self) -> Vec<ClusterLoad> {
        let mut counts = lock(&self.counts);
        let endpoints = std::mem::take(&mut counts.endpoints);
        let dropped = std::mem::take(&mut counts.dropped);
        let classes = self.described.classes.iter().enumerate();
        classes
            .map(|(i, class)| {
                let met = endpoints.iter().filter(|((c, _), _)| *c == i);
                let met = met.map(|(place, e)| EndpointLoad {
                    in_progress: counts.under_way.get(place).copied().unwrap_or(0),
                    ..e.clone()
                });
                let dropped = dropped.get(&i).map(|n| (class.name.clone(), *n));
                ClusterLoad {
                    cluster: names::cluster(&self.described.service, &class.name),
                    endpoints: met.collect(),
                    dropped: dropped.into_iter().collect(),
                }
            })
            .collect()
    }

    /// A report that could not be sent is added to the next: told once, never twice.
    pub fn untold(&self, tallies: Vec<ClusterLoad>) {
        for (class, tally) in tallies.into_iter().enumerate() {
            let dropped: u64 = tally.dropped.values().sum();
            if dropped > 0 {
                *lock(&self.counts).dropped.entry(class).or_default() += dropped;
            }
            for e in tally.endpoints {
                let server = lock(&self.servers).place(&e.address);
                self.count(class, server, |t| {
                    t.issued += e.issued;
                    t.succeeded += e.succeeded;
                    t.failed += e.failed;
                    t.success_ms += e.success_ms;
                    for (name, (n, sum)) in &e.metrics {
                        let word = t.metrics.entry(name.clone()).or_default();
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
fn answer(to: &mut TcpStream, status: u16, why: &str, closes: bool) -> io::Result<()> {
    let close = if closes { "Connection: close\r\n" } else { "" };
    let again = match status {
        503 => format!("Retry-After: {COME_AGAIN_S}\r\n"),
        _ => String::new(),
    };
    let length = why.len() + 1;
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{again}{close}\r\n{why}\n"
    );
    to.write_all(text.as_bytes())
}
