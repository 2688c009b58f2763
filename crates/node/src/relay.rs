//! Connections to the relay: two followers that read its news, and one caller that sends calls.
//!
//! No news is missed while one follower stays connected (see `platform::membership`), so there are two
//! slots. When a follower falls silent or its address is replaced, a successor is started next to it;
//! the old one ends once the successor has received the current state and news still in transit has
//! had time to arrive.

use crate::beside::{Beside, Due, Serves};
use crate::reach::{Addresses, Shared};
use dahliapoint_fibers::{Queue, Received, Socket, sleep, spawn, yield_now};
use dahliapoint_platform::core::Input;
use dahliapoint_platform::delivery::{Call, CallOutcome};
use dahliapoint_platform::line_buffer::LineBuffer;
use dahliapoint_platform::membership::MAX_FOLLOWER_LAG_MS;
use dahliapoint_platform::relay::{self, RelayEvent};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Followers kept connected.
const SEATS: usize = 2;
/// The timeout of a connect.
const DIAL: Duration = Duration::from_millis(700);
/// The relay sends a heartbeat each second (PROTOCOL, "The relay"); after two missed ones it counts as
/// unreachable.
const SILENT: Duration = Duration::from_millis(2300);
/// How long a follower goes on once its successor is ready, for news still in transit.
const LAG: Duration = Duration::from_millis(MAX_FOLLOWER_LAG_MS as u64);
/// How often a waiting follower checks for a new address and for silence.
const LOOK: Duration = Duration::from_millis(200);
/// The longest line accepted from the relay, in bytes.
const MOST_LINE: usize = 4096;
/// The relay answers within 50 ms or never (PROTOCOL, "The relay"); the rest allows for a busy machine.
const ANSWERED_WITHIN: Duration = Duration::from_millis(200);
/// The timeout of a write.
pub const WRITTEN_WITHIN: Duration = Duration::from_millis(300);
/// The longest pause after which a call reuses the connection; the relay closes idle connections after
/// about 10 s or less.
const IDLE: Duration = Duration::from_millis(1000);

/// Starts the followers, which run until the process ends.
pub fn follow(reach: &Shared) {
    for seat in 0..SEATS {
        let reach = reach.clone();
        spawn(move || {
            // Staggered, so that the followers do not start at the same time.
            sleep(Duration::from_millis(150 * seat as u64));
            follower(reach, Serves::default());
        });
    }
}

/// Runs one follower and reconnects it until a successor replaces it. `settled` is set once it has
/// received the current state.
fn follower(reach: Shared, settled: Serves) {
    let mut attempt = 0;
    loop {
        let at = reach.addresses();
        let id = reach.next_follower();
        let ended = match Socket::dial(at.relay, DIAL) {
            Ok(socket) => {
                let ended = listen(&reach, &socket, at, id, &settled);
                socket.shutdown();
                reach.put(vec![Input::FollowerEnded { follower: id }]);
                ended
            }
            Err(e) => Ended::Broken(format!("{}: {e}", at.relay)),
        };
        match ended {
            Ended::Replaced => return,
            Ended::Broken(why) => {
                if settled.swap(false, Ordering::AcqRel) {
                    attempt = 0;
                }
                reach.teller.fault("news", || why);
                sleep(reach.wait(attempt));
                attempt += 1;
            }
        }
    }
}

/// Why a follower's connection ended.
enum Ended {
    /// A successor has taken over its slot.
    Replaced,
    /// It failed, for this reason, and is retried.
    Broken(String),
}

/// Reads the news of one connection until it ends.
fn listen(reach: &Shared, socket: &Socket, at: Addresses, id: u32, settled: &Serves) -> Ended {
    let broken = |why: &str| Ended::Broken(format!("{}: {why}", at.relay));
    if socket
        .write_all(b"follow\r\n", Instant::now() + WRITTEN_WITHIN)
        .is_err()
    {
        return broken("`follow` could not be written");
    }
    let mut lines = LineBuffer::new(MOST_LINE);
    let mut beside = Beside::of(at, SILENT, LAG);
    let mut buffer = [0; 8192];
    let (mut begun, mut told_silent) = (false, false);
    loop {
        // Checked before the read, so that everything read was passed on.
        if beside.is_over() {
            return Ended::Replaced;
        }
        let read = socket.read(&mut buffer, Some(Instant::now() + LOOK));
        match beside.due(reach, settled.load(Ordering::Acquire)) {
            Due::Nothing => {}
            Due::End(why) => return broken(&format!("{why}, and nothing came yet")),
            Due::Successor(why, serves) => {
                let text = format!("news: {}: {why}: another follower beside it", at.relay);
                reach.teller.note(&text);
                let reach = reach.clone();
                spawn(move || follower(reach, serves));
            }
        }
        let n = match read {
            Ok(n) if n > 0 => n,
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                if beside.is_silent() && !told_silent {
                    told_silent = true;
                    reach.put(vec![Input::FollowerSilent { follower: id }]);
                }
                continue;
            }
            Ok(_) | Err(_) if beside.has_successor() => return Ended::Replaced,
            Ok(_) => return broken("ended"),
            Err(e) => return broken(&e.to_string()),
        };
        beside.heard();
        told_silent = false;
        lines.push(&buffer[..n]);
        let mut inputs = Vec::new();
        while let Some(line) = lines.next_line() {
            let Ok(line) = line else {
                return broken("a line without end");
            };
            let told = &reach.deployment;
            match relay::parse_event(line, &told.zones, told.proxy_count) {
                Some(RelayEvent::Started) if begun => {}
                Some(news) => {
                    begun |= news == RelayEvent::Started;
                    if !matches!(news, RelayEvent::Started | RelayEvent::Hello { .. }) {
                        settled.store(true, Ordering::Release);
                    }
                    inputs.push(Input::RelayEvent {
                        follower: id,
                        event: news,
                    });
                }
                None if !begun => return broken("`follow` was not taken"),
                None => {
                    let text = String::from_utf8_lossy(line).into_owned();
                    reach
                        .teller
                        .fault("news line", || format!("left out: {text:?}"));
                }
            }
        }
        reach.put(inputs);
        yield_now();
    }
}

/// Starts the caller, which sends the queued calls one after the other until the process ends.
pub fn call(reach: &Shared) -> Queue<Call> {
    let calls: Queue<Call> = Queue::bounded(4);
    let (reach, taken) = (reach.clone(), calls.clone());
    spawn(move || {
        let mut held: Option<(Socket, u64, Instant)> = None;
        while let Received::Items(some) = taken.take_all(None) {
            for call in some {
                let at = reach.addresses();
                let fresh = held.take().filter(|(socket, turn, used)| {
                    *turn == at.turn && used.elapsed() < IDLE && stands(socket)
                });
                let (outcome, socket) = make(&reach, at, fresh.map(|(s, ..)| s), &call);
                held = socket.map(|s| (s, at.turn, Instant::now()));
                let number = call.number;
                reach.put(vec![Input::CallEnded { number, outcome }]);
            }
        }
    });
    calls
}

/// Whether an idle connection is still usable: it was not closed and no unexpected bytes arrived.
fn stands(socket: &Socket) -> bool {
    let read = socket.read(&mut [0; 1], Some(Instant::now()));
    read.is_err_and(|e| e.kind() == std::io::ErrorKind::TimedOut)
}

/// Sends one call on `held` or on a new connection and reads the answer. Returns the connection if it
/// can be used again.
fn make(
    reach: &Shared,
    at: Addresses,
    held: Option<Socket>,
    call: &Call,
) -> (CallOutcome, Option<Socket>) {
    let fault = |why: String| {
        reach
            .teller
            .fault("call", || format!("{}: {why}", at.relay))
    };
    let socket = match held.map_or_else(|| Socket::dial(at.relay, DIAL), Ok) {
        Ok(socket) => socket,
        Err(e) => {
            fault(e.to_string());
            return (CallOutcome::NotSent, None);
        }
    };
    let bytes = call.text.as_bytes();
    if !reach.shutdown.try_begin_write() {
        return (CallOutcome::NotSent, None);
    }
    let written = socket.write_all(bytes, Instant::now() + WRITTEN_WITHIN);
    reach.shutdown.end_write();
    if let Err(done) = written {
        fault(format!("broken after {done} of {} bytes", bytes.len()));
        socket.shutdown();
        return (CallOutcome::NotSent, None);
    }
    let until = Instant::now() + ANSWERED_WITHIN;
    let mut lines = LineBuffer::new(MOST_LINE);
    let mut buffer = [0; 1024];
    loop {
        match socket.read(&mut buffer, Some(until)) {
            Ok(n) if n > 0 => lines.push(&buffer[..n]),
            other => {
                let why = match other {
                    Ok(_) => "ended without an answer".to_string(),
                    Err(e) => e.to_string(),
                };
                fault(why);
                socket.shutdown();
                return (CallOutcome::Unknown, None);
            }
        }
        match lines.next_line() {
            None => {}
            Some(Ok(line)) => {
                let answer = relay::parse_reply(line);
                if answer != relay::Reply::Unreadable {
                    // Bytes after the answer would be read as the next call's answer, so the
                    // connection is not used again.
                    let clean = lines.pending_len() == 0;
                    return (CallOutcome::Replied(answer), clean.then_some(socket));
                }
                let text = String::from_utf8_lossy(line).into_owned();
                fault(format!("answer {text:?}"));
                socket.shutdown();
                return (CallOutcome::Unknown, None);
            }
            Some(Err(_)) => {
                fault("an answer without end".into());
                socket.shutdown();
                return (CallOutcome::Unknown, None);
            }
        }
    }
}
