//! The controller's address: whoever connects, and for how long.
//!
//! The rules, in their order:
//! 1. `probe` is answered `alive` at once, whoever asks and whatever else goes on.
//! 2. Who has not joined and has asked nothing is closed [`JOIN_WITHIN`] after connecting; who has
//!    asked for a sign of life, [`KEEP_ALIVE`] after the last time. What has come by then is answered.
//! 3. Who sends what cannot be read, reports before joining, or a line without end is told `error`
//!    and closed; a collector is only closed (nothing is ever written to it).
//! 4. A spoilt line of a collector is left out and counted; its neighbours count.
//! 5. When the budget of connections is full, the oldest that has not joined goes. What it had sent is
//!    read first: one that joins just then is a collector like any other, and stays.
//! 6. A zone holds at most [`MOST_OF_A_ZONE`] collectors: the one that was silent longest goes. So one
//!    whose stream went silent keeps nobody out, and a stranger takes no good one's place at once.
//! 7. Who was answered reads the answer, and then the end: our side is closed first, and what still comes
//!    is read for a while ([`TAKEN_WITHIN`], [`DISCARDED`]). A close with bytes unread would be a
//!    reset, which takes the answer with it. At most [`MOST_CLOSING`] at a time; others are closed at once.

use crate::reach::Shared;
use dahliapoint_fibers::{Socket, TcpListener, accept, give_way, sleep, spawn};
use dahliapoint_platform::core::Input;
use dahliapoint_platform::fields::LineError;
use dahliapoint_platform::inbound::{self, Message};
use dahliapoint_platform::line_buffer::LineBuffer;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// PROTOCOL (DAYS, "Bad clients") lets one that has not joined within 1 s be closed.
const JOIN_WITHIN: Duration = Duration::from_secs(1);
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// A collector that has said nothing for so long has gone; they report each second.
const SILENT: Duration = Duration::from_secs(60);
const MOST_OF_A_ZONE: usize = 4;
/// What somebody who has not joined may say in one line.
const MOST_BEFORE_JOINING: usize = 4096;
/// A reader that does not take a short answer for so long is none.
const TAKEN_WITHIN: Duration = Duration::from_millis(500);
/// What is kept of the limit on descriptors for relay, discovery, probes, the runtime and those whose
/// end is under way; and how many of the last may be.
const RESERVED: usize = 72;
const MOST_CLOSING: usize = 24;
/// What is read at the most of what comes behind an answer that ends a connection, in bytes.
const DISCARDED: usize = 64 * 1024;

struct Connection {
    socket: Socket,
    zone: Option<usize>,
    heard: Instant,
}

pub struct Connections {
    reach: Shared,
    /// By number, so that the oldest is the first.
    open: Mutex<BTreeMap<u64, Connection>>,
    most: usize,
    closing: AtomicUsize,
}

/// Accepts connections for good.
pub fn listen(reach: Shared, listener: TcpListener, sockets: usize) {
    let connections = Arc::new(Connections {
        reach,
        open: Mutex::new(BTreeMap::new()),
        most: sockets.saturating_sub(RESERVED).max(16),
        closing: AtomicUsize::new(0),
    });
    spawn(move || {
        let mut number = 0;
        loop {
            match accept(&listener) {
                Ok((socket, _)) => {
                    number += 1;
                    connections.accepted(number, socket);
                    // Those who are to go do so before the next one comes.
                    give_way();
                }
                Err(e) => {
                    // Out of descriptors, most likely: room is made, and others get their turn.
                    connections
                        .reach
                        .teller
                        .fault("accepting", || e.to_string());
                    connections.evict_oldest();
                    sleep(Duration::from_millis(20));
                }
            }
        }
    });
}

/// The beginning of a line, for the log.
fn start_of(line: &[u8]) -> String {
    String::from_utf8_lossy(&line[..line.len().min(120)]).into_owned()
}

impl Connections {
    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rule 5.
    fn evict_oldest(&self) {
        let mut open = self.open();
        let oldest = open.iter().find(|(_, c)| c.zone.is_none());
        if let Some(number) = oldest.map(|(n, _)| *n)
            && let Some(connection) = open.remove(&number)
        {
            connection.socket.interrupt();
            drop(open);
            self.reach.teller.fault("connections", || {
                "the budget is full: the oldest stranger goes".into()
            });
        }
    }

    fn accepted(self: &Arc<Self>, number: u64, socket: Socket) {
        if self.open().len() >= self.most {
            self.evict_oldest();
        }
        let connection = Connection {
            socket: socket.clone(),
            zone: None,
            heard: Instant::now(),
        };
        self.open().insert(number, connection);
        let connections = self.clone();
        spawn(move || {
            let answered = connections.serve(number, &socket);
            connections.open().remove(&number);
            if answered {
                connections.close_gracefully(&socket);
            }
            // The other handle may be held a moment longer.
            socket.shut();
        });
    }

    fn is_open(&self, number: u64) -> bool {
        self.open().contains_key(&number)
    }

    /// Rule 7.
    fn close_gracefully(&self, socket: &Socket) {
        if self.closing.fetch_add(1, Ordering::AcqRel) < MOST_CLOSING {
            socket.end_writing();
            let until = Instant::now() + TAKEN_WITHIN;
            let (mut buffer, mut unread) = ([0; 4096], 0);
            while unread < DISCARDED {
                match socket.read(&mut buffer, Some(until)) {
                    Ok(n @ 1..) => unread += n,
                    // An interruption that came before ends no wait here.
                    Err(e) if e.kind() == ErrorKind::TimedOut && Instant::now() < until => {}
                    Ok(_) | Err(_) => break,
                }
            }
        }
        self.closing.fetch_sub(1, Ordering::AcqRel);
    }

    /// Rule 6; also for one that was to go.
    fn joins(&self, number: u64, zone: usize, socket: &Socket) {
        let mut open = self.open();
        let there = open
            .iter()
            .filter(|(n, c)| c.zone == Some(zone) && **n != number);
        if there.clone().count() >= MOST_OF_A_ZONE {
            let silent = there.min_by_key(|(_, c)| c.heard).map(|(n, _)| *n);
            if let Some(gone) = silent.and_then(|n| open.remove(&n)) {
                gone.socket.interrupt();
            }
        }
        let connection = Connection {
            socket: socket.clone(),
            zone: Some(zone),
            heard: Instant::now(),
        };
        open.insert(number, connection);
    }

    fn heard(&self, number: u64) {
        if let Some(connection) = self.open().get_mut(&number) {
            connection.heard = Instant::now();
        }
    }

    /// Until it is over; tells whether anything was answered.
    fn serve(&self, number: u64, socket: &Socket) -> bool {
        let mut lines = LineBuffer::new(MOST_BEFORE_JOINING);
        let (mut zone, mut answered) = (None, false);
        let mut until = Instant::now() + JOIN_WITHIN;
        let mut buffer = [0; 4096];
        loop {
            // Who is to go is read once more, without a wait.
            let is_open = self.is_open(number);
            let end = if is_open { until } else { Instant::now() };
            let n = match socket.read(&mut buffer, Some(end)) {
                Ok(n @ 1..) => n,
                Err(e) if e.kind() == ErrorKind::TimedOut && is_open && Instant::now() < until => {
                    continue;
                }
                Ok(_) | Err(_) => return answered,
            };
            lines.push(&buffer[..n]);
            let mut inputs = Vec::new();
            while let Some(line) = lines.next_line() {
                let line = line.map_err(|_| LineError::Malformed);
                let said = line.and_then(|line| inbound::parse(line, &self.reach.deployment));
                match said {
                    Ok(Message::Probe) => {
                        if socket
                            .write_all(b"alive\r\n", Instant::now() + TAKEN_WITHIN)
                            .is_err()
                        {
                            return false;
                        }
                        answered = true;
                        if zone.is_none() {
                            until = Instant::now() + KEEP_ALIVE;
                        }
                    }
                    Ok(Message::Agent { zone: named }) => {
                        zone = Some(named);
                        self.joins(number, named, socket);
                    }
                    Ok(Message::Report(report)) if zone.is_some() => {
                        inputs.push(Input::Report(report))
                    }
                    Err(LineError::InvalidField(field)) if zone.is_some() => {
                        let text = line.map_or(String::new(), start_of);
                        let told = || format!("field {field:?} is no good, left out: {text:?}");
                        self.reach.teller.fault("report", told);
                    }
                    Ok(Message::Report(_)) | Err(_) => {
                        self.reach.put(inputs);
                        let text = line.map_or("a line without end".into(), start_of);
                        let told =
                            || format!("what cannot be read, or no joining before: {text:?}");
                        self.reach.teller.fault("closed", told);
                        if zone.is_none() {
                            let told =
                                socket.write_all(b"error\r\n", Instant::now() + TAKEN_WITHIN);
                            answered |= told.is_ok();
                        }
                        return answered;
                    }
                }
            }
            if zone.is_some() {
                lines.set_max_len(inbound::MAX_LINE_BYTES);
                until = Instant::now() + SILENT;
                self.heard(number);
            }
            self.reach.put(inputs);
            if !is_open && !self.is_open(number) {
                return answered;
            }
            give_way();
        }
    }
}
