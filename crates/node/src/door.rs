//! The controller's address: whoever connects, and for how long.
//!
//! The rules, in their order:
//! 1. `probe` is answered `alive` at once, whoever asks and whatever else goes on.
//! 2. Who has not joined and has asked nothing is closed [`JOIN_WITHIN`] after connecting; who has
//!    asked for a sign of life, [`KEPT`] after the last time. What has come by then is answered.
//! 3. Who sends what cannot be read, reports before joining, or a line without end is told `error`
//!    and closed; a collector is only closed (nothing is ever written to it).
//! 4. A spoilt line of a collector is left out and counted; its neighbours count.
//! 5. When the budget of connections is full, the oldest that has not joined goes. What it had sent is
//!    read first: one that joins just then is a collector like any other, and stays.
//! 6. A zone holds at most [`MOST_OF_A_ZONE`] collectors: the one that was silent longest goes. So one
//!    whose stream went silent keeps nobody out, and a stranger takes no good one's place at once.
//! 7. Who was answered reads the answer, and then the end: our side is closed first, and what still comes
//!    is read for a while ([`TAKEN_WITHIN`], [`LEAST_UNREAD`]). A close with bytes unread would be a
//!    reset, which takes the answer with it. At most [`LEAVING`] at a time; others are closed at once.

use crate::reach::Shared;
use dahliapoint_fibers::{Socket, TcpListener, accept, give_way, sleep, spawn};
use dahliapoint_platform::arriving::{self, Said};
use dahliapoint_platform::core::Input;
use dahliapoint_platform::lines::Lines;
use dahliapoint_platform::words::Fault;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// PROTOCOL (DAYS, "Bad clients") lets one that has not joined within 1 s be closed.
const JOIN_WITHIN: Duration = Duration::from_secs(1);
const KEPT: Duration = Duration::from_secs(10);
/// A collector that has said nothing for so long has gone; they report each second.
const SILENT: Duration = Duration::from_secs(60);
const MOST_OF_A_ZONE: usize = 4;
/// What somebody who has not joined may say in one line.
const MOST_BEFORE_JOINING: usize = 4096;
/// A reader that does not take a short answer for so long is none.
const TAKEN_WITHIN: Duration = Duration::from_millis(500);
/// What is kept of the limit on descriptors for relay, discovery, probes, the runtime and those whose
/// end is under way; and how many of the last may be.
const KEPT_BACK: usize = 72;
const LEAVING: usize = 24;
/// What is read at least of what comes behind an answer that ends a connection, in bytes.
const LEAST_UNREAD: usize = 64 * 1024;

struct Guest {
    socket: Socket,
    zone: Option<usize>,
    heard: Instant,
}

pub struct Door {
    reach: Shared,
    /// By number, so that the oldest is the first.
    guests: Mutex<BTreeMap<u64, Guest>>,
    most: usize,
    leaving: AtomicUsize,
}

/// Lets people in for good.
pub fn open(reach: Shared, listener: TcpListener, sockets: usize) {
    let door = Arc::new(Door {
        reach,
        guests: Mutex::new(BTreeMap::new()),
        most: sockets.saturating_sub(KEPT_BACK).max(16),
        leaving: AtomicUsize::new(0),
    });
    spawn(move || {
        let mut number = 0;
        loop {
            match accept(&listener) {
                Ok((socket, _)) => {
                    number += 1;
                    door.let_in(number, socket);
                    // Those who are to go do so before the next one comes.
                    give_way();
                }
                Err(e) => {
                    // Out of descriptors, most likely: room is made, and others get their turn.
                    door.reach.teller.fault("accepting", || e.to_string());
                    door.make_room();
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

impl Door {
    fn guests(&self) -> MutexGuard<'_, BTreeMap<u64, Guest>> {
        self.guests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rule 5.
    fn make_room(&self) {
        let mut guests = self.guests();
        let oldest = guests.iter().find(|(_, g)| g.zone.is_none());
        if let Some(number) = oldest.map(|(n, _)| *n)
            && let Some(guest) = guests.remove(&number)
        {
            guest.socket.interrupt();
            drop(guests);
            self.reach.teller.fault("connections", || {
                "the budget is full: the oldest stranger goes".into()
            });
        }
    }

    fn let_in(self: &Arc<Self>, number: u64, socket: Socket) {
        if self.guests().len() >= self.most {
            self.make_room();
        }
        let guest = Guest {
            socket: socket.clone(),
            zone: None,
            heard: Instant::now(),
        };
        self.guests().insert(number, guest);
        let door = self.clone();
        spawn(move || {
            let answered = door.attend(number, &socket);
            door.guests().remove(&number);
            if answered {
                door.see_off(&socket);
            }
            // The other handle may be held a moment longer.
            socket.shut();
        });
    }

    fn stays(&self, number: u64) -> bool {
        self.guests().contains_key(&number)
    }

    /// Rule 7.
    fn see_off(&self, socket: &Socket) {
        if self.leaving.fetch_add(1, Ordering::AcqRel) < LEAVING {
            socket.end_writing();
            let until = Instant::now() + TAKEN_WITHIN;
            let (mut buffer, mut unread) = ([0; 4096], 0);
            while unread < LEAST_UNREAD
                && let Ok(n @ 1..) = socket.read(&mut buffer, Some(until))
            {
                unread += n;
            }
        }
        self.leaving.fetch_sub(1, Ordering::AcqRel);
    }

    /// Rule 6; also for one that was to go.
    fn joins(&self, number: u64, zone: usize, socket: &Socket) {
        let mut guests = self.guests();
        let there = guests
            .iter()
            .filter(|(n, g)| g.zone == Some(zone) && **n != number);
        if there.clone().count() >= MOST_OF_A_ZONE {
            let silent = there.min_by_key(|(_, g)| g.heard).map(|(n, _)| *n);
            if let Some(gone) = silent.and_then(|n| guests.remove(&n)) {
                gone.socket.interrupt();
            }
        }
        let guest = Guest {
            socket: socket.clone(),
            zone: Some(zone),
            heard: Instant::now(),
        };
        guests.insert(number, guest);
    }

    fn heard(&self, number: u64) {
        if let Some(guest) = self.guests().get_mut(&number) {
            guest.heard = Instant::now();
        }
    }

    /// Until it is over; tells whether anything was answered.
    fn attend(&self, number: u64, socket: &Socket) -> bool {
        let mut lines = Lines::of(MOST_BEFORE_JOINING);
        let (mut zone, mut answered) = (None, false);
        let mut until = Instant::now() + JOIN_WITHIN;
        let mut buffer = [0; 4096];
        loop {
            // Who is to go is read once more, without a wait.
            let stays = self.stays(number);
            let end = if stays { until } else { Instant::now() };
            let n = match socket.read(&mut buffer, Some(end)) {
                Ok(n @ 1..) => n,
                Err(e) if e.kind() == ErrorKind::TimedOut && stays && Instant::now() < until => {
                    continue;
                }
                Ok(_) | Err(_) => return answered,
            };
            lines.push(&buffer[..n]);
            let mut inputs = Vec::new();
            while let Some(line) = lines.next_line() {
                let line = line.map_err(|_| Fault::Unreadable);
                let said = line.and_then(|line| arriving::read(line, &self.reach.deployment));
                match said {
                    Ok(Said::Probe) => {
                        if socket
                            .write_all(b"alive\r\n", Instant::now() + TAKEN_WITHIN)
                            .is_err()
                        {
                            return false;
                        }
                        answered = true;
                        if zone.is_none() {
                            until = Instant::now() + KEPT;
                        }
                    }
                    Ok(Said::Agent { zone: named }) => {
                        zone = Some(named);
                        self.joins(number, named, socket);
                    }
                    Ok(Said::Report(report)) if zone.is_some() => {
                        inputs.push(Input::Report(report))
                    }
                    Err(Fault::Spoilt(field)) if zone.is_some() => {
                        let text = line.map_or(String::new(), start_of);
                        let told = || format!("field {field:?} is no good, left out: {text:?}");
                        self.reach.teller.fault("report", told);
                    }
                    Ok(Said::Report(_)) | Err(_) => {
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
                lines.allow(arriving::MOST_BYTES);
                until = Instant::now() + SILENT;
                self.heard(number);
            }
            self.reach.put(inputs);
            if !stays && !self.stays(number) {
                return answered;
            }
            give_way();
        }
    }
}
