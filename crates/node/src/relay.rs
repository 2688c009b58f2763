//! Connections to the relay: two followers that read its news, and one caller that sends calls.
//!
//! No news is missed while one follower stays connected (see `platform::membership`), so there are two
//! slots for followers. When a follower falls silent or its address is replaced, a successor is
//! started next to it; the old one ends once the successor has received the current state and news
//! still in transit has had time to arrive.

use crate::failover::{Action, Failover, ReadyFlag};
use crate::shared::{Addresses, Shared};
use dahliapoint_fibers::{Queue, Received, Socket, sleep, spawn, yield_now};
use dahliapoint_platform::core::Input;
use dahliapoint_platform::delivery::{Call, CallOutcome};
use dahliapoint_platform::line_buffer::LineBuffer;
use dahliapoint_platform::membership::MAX_FOLLOWER_LAG_MS;
use dahliapoint_platform::relay::{self, RelayEvent};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Followers kept connected.
const FOLLOWERS: usize = 2;
/// The timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long without data a follower counts as silent: two missed heartbeats, which the relay sends each
/// second (PROTOCOL, "The relay").
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2300);
/// How long a follower goes on once its successor is ready, for news still in transit.
const FOLLOWER_OVERLAP: Duration = Duration::from_millis(MAX_FOLLOWER_LAG_MS as u64);
/// How often a waiting follower checks for a new address and for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The longest line accepted from the relay, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// The timeout of an answer. The relay answers within 50 ms or never (PROTOCOL, "The relay"); the rest
/// allows for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// The timeout of a write.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest pause after which a call reuses the connection; the relay closes idle connections after
/// about 10 s or less.
const REUSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Starts the followers, which run until the process ends.
pub fn start_followers(shared: &Shared) {
    for index in 0..FOLLOWERS {
        let shared = shared.clone();
        spawn(move || {
            // Staggered, so that the followers do not start at the same time.
            sleep(Duration::from_millis(150 * index as u64));
            run_follower(shared, ReadyFlag::default());
        });
    }
}

/// Runs one follower and reconnects it until a successor replaces it. `ready` is set once it has
/// received the current state.
fn run_follower(shared: Shared, ready: ReadyFlag) {
    let mut attempt = 0;
    loop {
        let addresses = shared.addresses();
        let id = shared.next_follower_id();
        let outcome = match Socket::dial(addresses.relay, CONNECT_TIMEOUT) {
            Ok(socket) => {
                let outcome = read_news(&shared, &socket, addresses, id, &ready);
                socket.shutdown();
                shared.send_inputs(vec![Input::FollowerEnded { follower: id }]);
                outcome
            }
            Err(e) => Outcome::Failed(format!("{}: {e}", addresses.relay)),
        };
        match outcome {
            Outcome::Replaced => return,
            Outcome::Failed(reason) => {
                if ready.swap(false, Ordering::AcqRel) {
                    attempt = 0;
                }
                shared.log.fault("news", || reason);
                sleep(shared.retry_delay(attempt));
                attempt += 1;
            }
        }
    }
}

/// How a follower's connection ended.
enum Outcome {
    /// A successor has taken over its slot.
    Replaced,
    /// It failed, for this reason, and is retried.
    Failed(String),
}

/// Reads the news of one connection until it ends.
fn read_news(
    shared: &Shared,
    socket: &Socket,
    addresses: Addresses,
    id: u32,
    ready: &ReadyFlag,
) -> Outcome {
    let failed = |reason: &str| Outcome::Failed(format!("{}: {reason}", addresses.relay));
    if socket
        .write_all(b"follow\r\n", Instant::now() + WRITE_TIMEOUT)
        .is_err()
    {
        return failed("cannot write `follow`");
    }
    let mut lines = LineBuffer::new(MAX_LINE_BYTES);
    let mut failover = Failover::new(addresses, SILENCE_TIMEOUT, FOLLOWER_OVERLAP);
    let mut buffer = [0; 8192];
    let (mut started, mut silence_reported) = (false, false);
    loop {
        // Checked before the read, so that everything read was passed on.
        if failover.should_end() {
            return Outcome::Replaced;
        }
        let read = socket.read(&mut buffer, Some(Instant::now() + CHECK_INTERVAL));
        match failover.next_action(shared, ready.load(Ordering::Acquire)) {
            Action::Continue => {}
            Action::Retry(reason) => return failed(&format!("{reason}, and nothing came yet")),
            Action::StartSuccessor(reason, successor_ready) => {
                let text = format!(
                    "news: {}: {reason}: another follower beside it",
                    addresses.relay
                );
                shared.log.info(&text);
                let shared = shared.clone();
                spawn(move || run_follower(shared, successor_ready));
            }
        }
        let n = match read {
            Ok(n) if n > 0 => n,
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                if failover.is_silent() && !silence_reported {
                    silence_reported = true;
                    shared.send_inputs(vec![Input::FollowerSilent { follower: id }]);
                }
                continue;
            }
            Ok(_) | Err(_) if failover.has_successor() => return Outcome::Replaced,
            Ok(_) => return failed("ended"),
            Err(e) => return failed(&e.to_string()),
        };
        failover.data_received();
        silence_reported = false;
        lines.push(&buffer[..n]);
        let mut inputs = Vec::new();
        while let Some(line) = lines.next_line() {
            let Ok(line) = line else {
                return failed("line too long");
            };
            let deployment = &shared.deployment;
            match relay::parse_event(line, &deployment.zones, deployment.proxy_count) {
                Some(RelayEvent::Started) if started => {}
                Some(event) => {
                    started |= event == RelayEvent::Started;
                    if !matches!(event, RelayEvent::Started | RelayEvent::Hello { .. }) {
                        ready.store(true, Ordering::Release);
                    }
                    inputs.push(Input::RelayEvent {
                        follower: id,
                        event,
                    });
                }
                None if !started => return failed("`follow` was rejected"),
                None => {
                    let text = String::from_utf8_lossy(line).into_owned();
                    shared
                        .log
                        .fault("news line", || format!("ignored: {text:?}"));
                }
            }
        }
        shared.send_inputs(inputs);
        yield_now();
    }
}

/// A connection kept for the next call.
struct IdleConnection {
    socket: Socket,
    /// The version of the addresses when it was opened.
    address_version: u64,
    last_used: Instant,
}

/// Starts the caller, which sends the queued calls one after the other until the process ends.
pub fn start_caller(shared: &Shared) -> Queue<Call> {
    let calls: Queue<Call> = Queue::bounded(4);
    let (shared, queue) = (shared.clone(), calls.clone());
    spawn(move || {
        let mut idle: Option<IdleConnection> = None;
        while let Received::Items(batch) = queue.take_all(None) {
            for call in batch {
                let addresses = shared.addresses();
                let reusable = idle.take().filter(|connection| {
                    connection.address_version == addresses.version
                        && connection.last_used.elapsed() < REUSE_TIMEOUT
                        && is_usable(&connection.socket)
                });
                let (outcome, socket) =
                    send_call(&shared, addresses, reusable.map(|c| c.socket), &call);
                idle = socket.map(|socket| IdleConnection {
                    socket,
                    address_version: addresses.version,
                    last_used: Instant::now(),
                });
                let number = call.number;
                shared.send_inputs(vec![Input::CallEnded { number, outcome }]);
            }
        }
    });
    calls
}

/// Whether an idle connection is still usable: it was not closed and no unexpected bytes arrived.
fn is_usable(socket: &Socket) -> bool {
    let read = socket.read(&mut [0; 1], Some(Instant::now()));
    read.is_err_and(|e| e.kind() == std::io::ErrorKind::TimedOut)
}

/// Sends one call on `idle` or on a new connection and reads the answer. Returns the connection if it
/// can be used again.
fn send_call(
    shared: &Shared,
    addresses: Addresses,
    idle: Option<Socket>,
    call: &Call,
) -> (CallOutcome, Option<Socket>) {
    let log_fault = |reason: String| {
        shared
            .log
            .fault("call", || format!("{}: {reason}", addresses.relay))
    };
    let socket = match idle.map_or_else(|| Socket::dial(addresses.relay, CONNECT_TIMEOUT), Ok) {
        Ok(socket) => socket,
        Err(e) => {
            log_fault(e.to_string());
            return (CallOutcome::NotSent, None);
        }
    };
    let bytes = call.text.as_bytes();
    if !shared.shutdown.try_begin_write() {
        return (CallOutcome::NotSent, None);
    }
    let result = socket.write_all(bytes, Instant::now() + WRITE_TIMEOUT);
    shared.shutdown.end_write();
    if let Err(written) = result {
        log_fault(format!(
            "write failed after {written} of {} bytes",
            bytes.len()
        ));
        socket.shutdown();
        return (CallOutcome::NotSent, None);
    }
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut lines = LineBuffer::new(MAX_LINE_BYTES);
    let mut buffer = [0; 1024];
    loop {
        match socket.read(&mut buffer, Some(deadline)) {
            Ok(n) if n > 0 => lines.push(&buffer[..n]),
            end => {
                let reason = match end {
                    Ok(_) => "connection closed without an answer".to_string(),
                    Err(e) => e.to_string(),
                };
                log_fault(reason);
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
                    let reusable = lines.pending_len() == 0;
                    return (CallOutcome::Replied(answer), reusable.then_some(socket));
                }
                let text = String::from_utf8_lossy(line).into_owned();
                log_fault(format!("answer {text:?}"));
                socket.shutdown();
                return (CallOutcome::Unknown, None);
            }
            Some(Err(_)) => {
                log_fault("answer too long".into());
                socket.shutdown();
                return (CallOutcome::Unknown, None);
            }
        }
    }
}
