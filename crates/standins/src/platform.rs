//! Stand-ins for the platform around a controller: a relay and a discovery service that record what
//! they receive, with checks on these records. They use plain threads, can listen on several
//! addresses, and inject faults when a test asks for them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Polls a condition for up to 20 s and returns whether it became true.
pub fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    condition()
}

/// A fault that the relay injects into one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayFault {
    /// Closes the connection after the last byte of the call, executed or not, without an answer.
    Disconnect { executed: bool },
    /// Never answers the call, executed or not.
    NoAnswer { executed: bool },
    /// Executes only this many orders, and answers with their number.
    ExecuteFirst(usize),
    /// Executes the call and sends an answer that cannot be parsed.
    UnreadableAnswer,
    /// Executes nothing and answers `too_many_calls`.
    TooManyCalls,
    /// Executes the call, then closes the connection without an answer once `release_delayed` is set.
    DelayAnswer,
    /// Executes the call and sends these bytes after the answer, in the same write.
    TrailingBytes(&'static str),
}

/// Counts of connections of one kind: open now, opened in total, and the peak of open ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionCounts {
    pub open: usize,
    pub total: usize,
    pub peak: usize,
}

impl ConnectionCounts {
    /// Counts a new connection.
    fn opened(&mut self) {
        self.open += 1;
        self.total += 1;
        self.peak = self.peak.max(self.open);
    }
}

/// The state of the relay: the joined proxies, the effect of the executed orders, and the faults to
/// inject.
#[derive(Default)]
pub struct RelayState {
    /// The proxies that are joined now.
    pub joined: BTreeSet<usize>,
    /// How often each proxy was bound since it joined.
    pub bind_counts: BTreeMap<usize, usize>,
    /// Servers that are withdrawn now.
    pub withdrawn: BTreeSet<String>,
    /// The weight last set for each server.
    pub weights: BTreeMap<String, f64>,
    /// The text of every call received, without its `txn ` prefix.
    pub calls: Vec<String>,
    /// The number of the connection that each call came on.
    pub call_connections: Vec<usize>,
    /// The faults of the next calls, one each.
    pub faults: VecDeque<RelayFault>,
    /// Calls that wait in [`RelayFault::DelayAnswer`] now.
    pub delayed_calls: usize,
    /// Lets the calls in [`RelayFault::DelayAnswer`] end.
    pub release_delayed: bool,
    /// Followers receive the joined proxies when they connect, and nothing after.
    pub silent: bool,
    /// Counts of connections that sent `follow`.
    pub follower_connections: ConnectionCounts,
    /// Connections accepted so far.
    connection_count: usize,
    /// Connections that follow the news.
    followers: Vec<TcpStream>,
    /// All connections.
    connections: Vec<TcpStream>,
}

impl RelayState {
    /// A proxy joins: it is not bound, and followers are notified.
    pub fn join(&mut self, proxy: usize) {
        self.joined.insert(proxy);
        self.bind_counts.remove(&proxy);
        self.broadcast(&format!("* hello {proxy} a 2.5 1\r\n"));
    }

    /// A proxy leaves: followers are notified.
    pub fn leave(&mut self, proxy: usize) {
        self.joined.remove(&proxy);
        self.bind_counts.remove(&proxy);
        self.broadcast(&format!("* bye {proxy}\r\n"));
    }

    /// Sends a line to all followers, and drops those that fail.
    fn broadcast(&mut self, line: &str) {
        if self.silent {
            return;
        }
        self.followers
            .retain_mut(|f| f.write_all(line.as_bytes()).is_ok());
    }

    /// Closes the connections of all followers, or of the oldest only.
    pub fn disconnect_followers(&mut self, all: bool) {
        let count = if all { self.followers.len() } else { 1 };
        for f in self.followers.drain(..count) {
            let _ = f.shutdown(Shutdown::Both);
        }
    }

    /// The number of connected followers.
    pub fn follower_count(&self) -> usize {
        self.followers.len()
    }

    /// Executes an order; returns false if it is invalid.
    fn execute(&mut self, order: &str) -> bool {
        let parts: Vec<&str> = order.split(',').collect();
        match parts[..] {
            ["share", _, server, weight] => match weight.parse() {
                Ok(weight) => drop(self.weights.insert(server.into(), weight)),
                Err(_) => return false,
            },
            ["bind", proxy, _, "*"] => match proxy.parse() {
                Ok(p) if self.joined.contains(&p) => *self.bind_counts.entry(p).or_default() += 1,
                _ => return false,
            },
            ["withdraw", server] => drop(self.withdrawn.insert(server.into())),
            ["restore", server] => drop(self.withdrawn.remove(server)),
            ["admit", _, _, _, _] => {}
            ["mark", mark, "0"] => {
                for p in self.joined.clone() {
                    self.broadcast(&format!("* ack {p} {mark} 1.0\r\n"));
                }
            }
            _ => return false,
        }
        true
    }

    /// Joined proxies that were not bound since they joined.
    pub fn unbound(&self) -> Vec<usize> {
        let unbound = self
            .joined
            .iter()
            .filter(|p| !self.bind_counts.contains_key(p));
        unbound.copied().collect()
    }

    /// The number of calls above the size limit.
    pub fn oversized_calls(&self) -> usize {
        self.calls.iter().filter(|c| c.len() > 60_000).count()
    }
}

/// A running stand-in: its state, shared by all its listeners, and the address of one of them.
pub struct StandIn<T> {
    state: Arc<Mutex<T>>,
    pub address: SocketAddr,
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<T: Send + 'static> StandIn<T> {
    /// Listens on a free port and serves each connection on a thread of its own.
    fn listen(state: Arc<Mutex<T>>, serve: fn(&Arc<Mutex<T>>, TcpStream)) -> StandIn<T> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port on loopback");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let shared = state.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let state = shared.clone();
                let _ = socket.set_nodelay(true);
                std::thread::spawn(move || serve(&state, socket));
            }
        });
        StandIn { state, address }
    }

    /// Runs a closure on the locked state.
    pub fn with_state<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut lock(&self.state))
    }
}

/// A stand-in of the relay.
pub type Relay = StandIn<RelayState>;

impl Relay {
    /// Starts a relay that sends its followers a heartbeat each second.
    pub fn start() -> Relay {
        let state = Arc::new(Mutex::new(RelayState::default()));
        let heartbeat_state = Arc::downgrade(&state);
        std::thread::spawn(move || {
            while let Some(state) = heartbeat_state.upgrade() {
                lock(&state).broadcast("*\r\n");
                drop(state);
                std::thread::sleep(Duration::from_secs(1));
            }
        });
        StandIn::listen(state, serve_relay)
    }

    /// Opens another listener on the same state.
    pub fn at_another_address(&self) -> Relay {
        StandIn::listen(self.state.clone(), serve_relay)
    }

    /// Closes every connection, like an address that goes out of service.
    pub fn close_all(&self) {
        self.with_state(|relay| {
            relay.disconnect_followers(true);
            for c in relay.connections.drain(..) {
                let _ = c.shutdown(Shutdown::Both);
            }
        });
    }
}

/// Serves a connection and keeps the connection counts.
fn serve_relay(state: &Arc<Mutex<RelayState>>, socket: TcpStream) {
    let Ok(mut out) = socket.try_clone() else {
        return;
    };
    let mut relay = lock(state);
    relay.connection_count += 1;
    let number = relay.connection_count;
    relay.connections.extend(socket.try_clone());
    drop(relay);
    let mut is_follower = false;
    serve_relay_lines(state, &mut out, socket, number, &mut is_follower);
    lock(state).follower_connections.open -= usize::from(is_follower);
}

/// Answers `follow` and `txn` lines until the connection ends.
fn serve_relay_lines(
    state: &Arc<Mutex<RelayState>>,
    out: &mut TcpStream,
    socket: TcpStream,
    number: usize,
    is_follower: &mut bool,
) {
    for line in BufReader::new(socket).lines() {
        let Ok(line) = line else {
            return;
        };
        if line == "follow" {
            let mut relay = lock(state);
            if !std::mem::replace(is_follower, true) {
                relay.follower_connections.opened();
            }
            let mut snapshot = String::from("OK\r\n");
            for p in &relay.joined {
                snapshot.push_str(&format!("* hello {p} a 2.5 0\r\n"));
            }
            if out.write_all(snapshot.as_bytes()).is_ok()
                && let Ok(follower) = out.try_clone()
            {
                relay.followers.push(follower);
            }
            continue;
        }
        let Some(orders) = line.strip_prefix("txn ") else {
            let _ = out.write_all(b"bad_request\r\n");
            continue;
        };
        let mut relay = lock(state);
        let fault = relay.faults.pop_front();
        let max_orders = match fault {
            Some(RelayFault::TooManyCalls) => 0,
            Some(RelayFault::ExecuteFirst(n)) => n,
            Some(RelayFault::Disconnect { executed } | RelayFault::NoAnswer { executed })
                if !executed =>
            {
                0
            }
            _ => usize::MAX,
        };
        relay.calls.push(orders.to_string());
        relay.call_connections.push(number);
        relay.delayed_calls += usize::from(fault == Some(RelayFault::DelayAnswer));
        let executed_count = orders
            .split(';')
            .take(max_orders)
            .take_while(|o| relay.execute(o))
            .count();
        drop(relay);
        let answer = match fault {
            Some(RelayFault::Disconnect { .. }) => {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            Some(RelayFault::NoAnswer { .. }) => continue,
            Some(RelayFault::DelayAnswer) => {
                while !lock(state).release_delayed {
                    std::thread::sleep(Duration::from_millis(1));
                }
                lock(state).delayed_calls -= 1;
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            Some(RelayFault::TrailingBytes(trailing)) => {
                format!("OK {executed_count}\r\n{trailing}")
            }
            Some(RelayFault::UnreadableAnswer) => "OK many\r\n".into(),
            Some(RelayFault::TooManyCalls) => "too_many_calls\r\n".into(),
            Some(RelayFault::ExecuteFirst(_)) | None => format!("OK {executed_count}\r\n"),
        };
        let _ = out.write_all(answer.as_bytes());
    }
}

/// The state of discovery: the list of servers and the watches on it.
#[derive(Default)]
pub struct DiscoveryState {
    /// The version of the list.
    pub index: u64,
    /// Status by name.
    pub servers: BTreeMap<String, &'static str>,
    /// Watches that receive changes.
    watches: Vec<TcpStream>,
    /// Watches that receive nothing more, kept open.
    silenced_watches: Vec<TcpStream>,
    /// Watch requests received.
    pub requests: usize,
    /// New watch requests get no answer.
    pub silent: bool,
    /// Each byte is sent as a chunk and a write of its own.
    pub bytewise: bool,
    /// Counts of connections that sent a watch request.
    pub watch_connections: ConnectionCounts,
}

impl DiscoveryState {
    /// The JSON object of a server.
    fn entry(name: &str, status: &str) -> String {
        format!(
            "{{\"name\":\"{name}\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,\
             \"status\":\"{status}\",\"weight\":1.0,\"since_ms\":0}}"
        )
    }

    /// The whole list as one JSON object.
    pub fn snapshot_json(&self) -> String {
        let all: Vec<String> = self
            .servers
            .iter()
            .map(|(n, s)| DiscoveryState::entry(n, s))
            .collect();
        format!(
            "{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}",
            self.index,
            all.join(",")
        )
    }

    /// Sets a server's status and sends the change to all watches.
    pub fn set_status(&mut self, name: &str, status: &'static str) {
        self.index += 1;
        self.servers.insert(name.into(), status);
        let change = DiscoveryState::entry(name, status);
        let line = format!(
            "{{\"index\":{},\"snapshot\":false,\"endpoints\":[{change}]}}\n",
            self.index
        );
        self.broadcast(&line);
    }

    /// Sends a line to all watches, and drops those that fail.
    fn broadcast(&mut self, line: &str) {
        let bytewise = self.bytewise;
        self.watches.retain_mut(|w| send_chunked(w, line, bytewise));
    }

    /// Like [`DiscoveryState::set_status`], but without the final newline; then ends the body and the
    /// connection of every watch.
    pub fn set_status_unterminated(&mut self, name: &str, status: &'static str) {
        self.index += 1;
        self.servers.insert(name.into(), status);
        let change = DiscoveryState::entry(name, status);
        let line = format!(
            "{{\"index\":{},\"snapshot\":false,\"endpoints\":[{change}]}}",
            self.index
        );
        self.broadcast(&line);
        for mut w in self.watches.drain(..) {
            let _ = w.write_all(b"0\r\n\r\n");
            let _ = w.shutdown(Shutdown::Both);
        }
    }

    /// Simulates a restart: versions continue from `index`, and all watches are disconnected.
    pub fn restart(&mut self, index: u64) {
        self.index = index;
        for w in self.watches.drain(..) {
            let _ = w.shutdown(Shutdown::Both);
        }
    }

    /// Sends nothing more to the current watches, and keeps their connections open.
    pub fn silence_watches(&mut self) {
        self.silenced_watches.append(&mut self.watches);
    }

    /// The number of watches that receive changes.
    pub fn watch_count(&self) -> usize {
        self.watches.len()
    }
}

/// Sends a text as two chunks, cut in the middle of the line, or with `bytewise` one byte per chunk and
/// per write. Returns whether the writes succeeded.
fn send_chunked(stream: &mut TcpStream, text: &str, bytewise: bool) -> bool {
    if bytewise {
        let mut bytes = text
            .bytes()
            .flat_map(|b| [b'1', b'\r', b'\n', b, b'\r', b'\n']);
        return bytes.all(|b| stream.write_all(&[b]).is_ok());
    }
    let (first, second) = text.split_at(text.len() / 2);
    [first, second]
        .iter()
        .filter(|t| !t.is_empty())
        .all(|t| write!(stream, "{:x}\r\n{t}\r\n", t.len()).is_ok())
}

/// A stand-in of discovery.
pub type Discovery = StandIn<DiscoveryState>;

impl Discovery {
    /// Starts a discovery with these servers in status `up`; it sends a heartbeat every 2 s.
    pub fn start(servers: &[&str]) -> Discovery {
        let servers = servers.iter().map(|s| (s.to_string(), "up"));
        let discovery = DiscoveryState {
            index: 10,
            servers: servers.collect(),
            ..DiscoveryState::default()
        };
        let state = Arc::new(Mutex::new(discovery));
        let heartbeat_state = Arc::downgrade(&state);
        std::thread::spawn(move || {
            while let Some(state) = heartbeat_state.upgrade() {
                lock(&state).broadcast("\n");
                drop(state);
                std::thread::sleep(Duration::from_secs(2));
            }
        });
        StandIn::listen(state, serve_discovery)
    }

    /// Opens another listener on the same state.
    pub fn at_another_address(&self) -> Discovery {
        StandIn::listen(self.state.clone(), serve_discovery)
    }
}

/// Answers a watch request and keeps the connection open until the client closes it.
fn serve_discovery(state: &Arc<Mutex<DiscoveryState>>, socket: TcpStream) {
    let Ok(mut out) = socket.try_clone() else {
        return;
    };
    let mut lines = BufReader::new(socket).lines();
    let Some(Ok(request_line)) = lines.next() else {
        return;
    };
    while let Some(Ok(line)) = lines.next() {
        if line.is_empty() {
            break;
        }
    }
    let after = request_line
        .split_once("after=")
        .and_then(|(_, a)| a.split(' ').next()?.parse::<u64>().ok());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut discovery = lock(state);
    discovery.requests += 1;
    discovery.watch_connections.opened();
    if !discovery.silent {
        let mut sent = out.write_all(head.as_bytes()).is_ok();
        if after != Some(discovery.index) {
            let snapshot = discovery.snapshot_json() + "\n";
            sent &= send_chunked(&mut out, &snapshot, discovery.bytewise);
        }
        if sent {
            discovery.watches.push(out);
        }
    }
    drop(discovery);
    // No further request is expected: this waits for the end of the connection.
    while let Some(Ok(_)) = lines.next() {}
    lock(state).watch_connections.open -= 1;
}

#[cfg(test)]
mod tests;
