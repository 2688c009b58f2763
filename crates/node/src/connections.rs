//! Connections to the controller's address: probes and collectors, and when each is closed.
//!
//! A connection joins as a collector with an `agent` line. The rules, in order:
//! 1. `probe` is answered `alive` at once, for any client and under any load.
//! 2. A connection that has neither joined nor sent a `probe` is closed [`JOIN_TIMEOUT`] after it was
//!    accepted; one that has sent a `probe`, [`PROBE_KEEP_ALIVE`] after the last one. Lines received
//!    by then are answered.
//! 3. After unreadable input, a report before joining or an overlong line, the client gets `error` and
//!    the connection is closed. A collector gets no `error`: nothing is written to it except `alive`.
//! 4. An invalid line of a collector is skipped and counted; the lines around it are used.
//! 5. When the connection limit is reached, the oldest connection that has not joined is closed. Bytes
//!    it sent before are read first; if they make it join, it stays.
//! 6. A zone has at most [`MAX_COLLECTORS_PER_ZONE`] collectors; a further one replaces the one silent
//!    for longest. So a silent collector blocks no new one, and a newcomer does not at once replace one
//!    that reports.
//! 7. A client that got an answer can read it and then the end of the stream: the sending side is shut
//!    down first, and further input is discarded for a while ([`ANSWER_TIMEOUT`],
//!    [`MAX_DISCARDED_BYTES`]). Closing with unread bytes would send a reset, which can discard the
//!    answer. At most [`MAX_CLOSING`] connections at a time end this way; others are closed at once.
//! 8. Unfinished lines of all connections together hold at most [`MAX_UNFINISHED_BYTES`]; beyond that the
//!    connection with the longest one is closed. A line within [`MAX_LINE_BYTES_BEFORE_JOINING`] closes none.

use crate::shared::Shared;
use dahliapoint_fibers::{Socket, TcpListener, accept, sleep, spawn, yield_now};
use dahliapoint_platform::core::Input;
use dahliapoint_platform::fields::LineError;
use dahliapoint_platform::inbound::{self, Message};
use dahliapoint_platform::line_buffer::LineBuffer;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The protocol allows closing a connection that has not joined within 1 s (DAYS, "Bad clients").
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection that has not joined stays open after a `probe`.
const PROBE_KEEP_ALIVE: Duration = Duration::from_secs(10);
/// A collector silent for this long counts as gone; collectors report each second.
const COLLECTOR_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The limit on collectors per zone.
const MAX_COLLECTORS_PER_ZONE: usize = 4;
/// The longest line accepted before joining, in bytes.
const MAX_LINE_BYTES_BEFORE_JOINING: usize = 4096;
/// The limit on the unfinished lines of all connections together, in bytes: two of the longest.
const MAX_UNFINISHED_BYTES: usize = 2 * inbound::MAX_LINE_BYTES;
/// The timeout for writing an answer, and for reading what follows before the connection is closed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Descriptors reserved for relay, discovery, probes, the runtime and connections that are closing.
const RESERVED_DESCRIPTORS: usize = 72;
/// Connections that may be closing gracefully at a time.
const MAX_CLOSING: usize = 24;
/// Bytes discarded at most from a connection that is closing gracefully.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// An open connection.
struct Connection {
    socket: Socket,
    /// The zone of a collector; `None` before joining.
    zone: Option<usize>,
    /// When a collector last sent something.
    last_received: Instant,
    /// Bytes of the line that it has not finished.
    unfinished_bytes: usize,
}

/// The open connections.
pub struct Connections {
    shared: Shared,
    /// By number in order of acceptance, so the first is the oldest.
    open: Mutex<BTreeMap<u64, Connection>>,
    /// The limit on open connections.
    max_open: usize,
    /// How many are closing gracefully.
    closing: AtomicUsize,
}

/// Starts to accept connections, until the process ends.
pub fn start(shared: Shared, listener: TcpListener, sockets: usize) {
    let connections = Arc::new(Connections {
        shared,
        open: Mutex::new(BTreeMap::new()),
        max_open: sockets.saturating_sub(RESERVED_DESCRIPTORS).max(16),
        closing: AtomicUsize::new(0),
    });
    spawn(move || {
        let mut number = 0;
        loop {
            match accept(&listener) {
                Ok((socket, _)) => {
                    number += 1;
                    connections.register(number, socket);
                    // An evicted connection closes before the next one is accepted.
                    yield_now();
                }
                Err(e) => {
                    // Most likely out of descriptors: frees one, and yields to others.
                    connections.shared.log.fault("accepting", || e.to_string());
                    connections.evict_oldest();
                    sleep(Duration::from_millis(20));
                }
            }
        }
    });
}

/// The start of a line, for the log.
fn preview(line: &[u8]) -> String {
    String::from_utf8_lossy(&line[..line.len().min(120)]).into_owned()
}

impl Connections {
    fn lock_open(&self) -> MutexGuard<'_, BTreeMap<u64, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the oldest connection that has not joined (rule 5).
    fn evict_oldest(&self) {
        let mut open = self.lock_open();
        let oldest = open.iter().find(|(_, c)| c.zone.is_none());
        if let Some(number) = oldest.map(|(n, _)| *n)
            && let Some(connection) = open.remove(&number)
        {
            connection.socket.interrupt();
            drop(open);
            self.shared.log.fault("connections", || {
                "the budget is full: the oldest stranger goes".into()
            });
        }
    }

    /// Registers a connection and serves it in a coroutine of its own.
    fn register(self: &Arc<Self>, number: u64, socket: Socket) {
        if self.lock_open().len() >= self.max_open {
            self.evict_oldest();
        }
        let connection = Connection {
            socket: socket.clone(),
            zone: None,
            last_received: Instant::now(),
            unfinished_bytes: 0,
        };
        self.lock_open().insert(number, connection);
        let connections = self.clone();
        spawn(move || {
            let answered = connections.serve(number, &socket);
            connections.lock_open().remove(&number);
            if answered {
                connections.close_gracefully(&socket);
            }
            // Another handle may still keep the descriptor open for a moment.
            socket.shutdown();
        });
    }

    /// Whether the connection has not been evicted.
    fn is_open(&self, number: u64) -> bool {
        self.lock_open().contains_key(&number)
    }

    /// Shuts down the sending side and discards input for a while (rule 7).
    fn close_gracefully(&self, socket: &Socket) {
        if self.closing.fetch_add(1, Ordering::AcqRel) < MAX_CLOSING {
            socket.shutdown_write();
            let deadline = Instant::now() + ANSWER_TIMEOUT;
            let (mut buffer, mut discarded) = ([0; 4096], 0);
            while discarded < MAX_DISCARDED_BYTES {
                match socket.read(&mut buffer, Some(deadline)) {
                    Ok(n @ 1..) => discarded += n,
                    // An earlier interruption must not end the wait.
                    Err(e) if e.kind() == ErrorKind::TimedOut && Instant::now() < deadline => {}
                    Ok(_) | Err(_) => break,
                }
            }
        }
        self.closing.fetch_sub(1, Ordering::AcqRel);
    }

    /// Registers a collector, evicting another if its zone is full (rule 6). A connection that was
    /// evicted before it joined is registered again (rule 5).
    fn join(&self, number: u64, zone: usize, socket: &Socket) {
        let mut open = self.lock_open();
        let others = open
            .iter()
            .filter(|(n, c)| c.zone == Some(zone) && **n != number);
        if others.clone().count() >= MAX_COLLECTORS_PER_ZONE {
            let most_silent = others.min_by_key(|(_, c)| c.last_received).map(|(n, _)| *n);
            if let Some(evicted) = most_silent.and_then(|n| open.remove(&n)) {
                evicted.socket.interrupt();
            }
        }
        let connection = Connection {
            socket: socket.clone(),
            zone: Some(zone),
            last_received: Instant::now(),
            unfinished_bytes: 0,
        };
        open.insert(number, connection);
    }

    /// Records that a collector sent something, and how much of an unfinished line it has sent (rule 8).
    fn record_received(&self, number: u64, unfinished_bytes: usize) {
        let mut open = self.lock_open();
        if let Some(connection) = open.get_mut(&number) {
            connection.last_received = Instant::now();
            connection.unfinished_bytes = unfinished_bytes;
        }
        if unfinished_bytes <= MAX_LINE_BYTES_BEFORE_JOINING {
            return;
        }
        let total: usize = open.values().map(|c| c.unfinished_bytes).sum();
        if total <= MAX_UNFINISHED_BYTES {
            return;
        }
        let longest = open.iter().max_by_key(|(_, c)| c.unfinished_bytes);
        let Some(longest) = longest.map(|(number, _)| *number) else {
            return;
        };
        if let Some(closed) = open.remove(&longest) {
            closed.socket.interrupt();
            drop(open);
            let detail = || "unfinished lines take too much memory: the longest one goes".into();
            self.shared.log.fault("unfinished lines", detail);
        }
    }

    /// Serves a connection until it ends; returns whether an answer was written.
    fn serve(&self, number: u64, socket: &Socket) -> bool {
        let mut lines = LineBuffer::new(MAX_LINE_BYTES_BEFORE_JOINING);
        let (mut zone, mut answered) = (None, false);
        let mut deadline = Instant::now() + JOIN_TIMEOUT;
        let mut buffer = [0; 4096];
        loop {
            // An evicted connection is read one last time, without waiting.
            let is_open = self.is_open(number);
            let read_deadline = if is_open { deadline } else { Instant::now() };
            let n = match socket.read(&mut buffer, Some(read_deadline)) {
                Ok(n @ 1..) => n,
                Err(e)
                    if e.kind() == ErrorKind::TimedOut && is_open && Instant::now() < deadline =>
                {
                    continue;
                }
                Ok(_) | Err(_) => return answered,
            };
            lines.push(&buffer[..n]);
            let mut inputs = Vec::new();
            while let Some(line) = lines.next_line() {
                let line = line.map_err(|_| LineError::Malformed);
                let message = line.and_then(|line| inbound::parse(line, &self.shared.deployment));
                match message {
                    Ok(Message::Probe) => {
                        if socket
                            .write_all(b"alive\r\n", Instant::now() + ANSWER_TIMEOUT)
                            .is_err()
                        {
                            return false;
                        }
                        answered = true;
                        if zone.is_none() {
                            deadline = Instant::now() + PROBE_KEEP_ALIVE;
                        }
                    }
                    Ok(Message::Agent { zone: named }) => {
                        zone = Some(named);
                        self.join(number, named, socket);
                    }
                    Ok(Message::Report(report)) if zone.is_some() => {
                        inputs.push(Input::Report(report))
                    }
                    Err(LineError::InvalidField(field)) if zone.is_some() => {
                        let text = line.map_or(String::new(), preview);
                        let detail = || format!("field {field:?} is no good, left out: {text:?}");
                        self.shared.log.fault("report", detail);
                    }
                    Ok(Message::Report(_)) | Err(_) => {
                        self.shared.send_inputs(inputs);
                        let text = line.map_or("line too long".into(), preview);
                        let detail =
                            || format!("what cannot be read, or no joining before: {text:?}");
                        self.shared.log.fault("closed", detail);
                        if zone.is_none() {
                            let written =
                                socket.write_all(b"error\r\n", Instant::now() + ANSWER_TIMEOUT);
                            answered |= written.is_ok();
                        }
                        return answered;
                    }
                }
            }
            if zone.is_some() {
                lines.set_max_len(inbound::MAX_LINE_BYTES);
                deadline = Instant::now() + COLLECTOR_IDLE_TIMEOUT;
                self.record_received(number, lines.pending_len());
            }
            self.shared.send_inputs(inputs);
            if !is_open && !self.is_open(number) {
                return answered;
            }
            yield_now();
        }
    }
}
