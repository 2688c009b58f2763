//! The watch of the discovery list. After missed heartbeats or an address change a second watch is
//! opened, and the first ends once the second has received data. While discovery is down, the last
//! list stays in use. A watch that receives versions below the newest known one for longer than
//! discovery may lag reconnects, so that the core can tell a lagging discovery from one whose
//! versions have restarted.

use crate::failover::{Action, Failover, ReadyFlag};
use crate::shared::{Addresses, Shared};
use dahliapoint_fibers::{Socket, sleep, spawn, yield_now};
use dahliapoint_platform::chunked::ChunkedDecoder;
use dahliapoint_platform::core::{Input, MAX_DISCOVERY_LAG_MS};
use dahliapoint_platform::discovery;
use dahliapoint_platform::line_buffer::LineBuffer;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long without data a watch counts as silent. Discovery sends an empty line every 2 s while
/// nothing changes (PROTOCOL, "Discovery").
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// How often a waiting watch checks for a new address and for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long received versions may stay below the newest known one before the watch reconnects.
const MAX_LAG: Duration = Duration::from_millis(MAX_DISCOVERY_LAG_MS as u64);
/// The largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 8192;
/// The longest line of the list, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Starts the watch, which runs until the process ends.
pub fn start(shared: &Shared) {
    let shared = shared.clone();
    spawn(move || run_watch(shared, ReadyFlag::default()));
}

/// Runs one watch and reconnects it until a successor replaces it. `ready` is set once it has
/// received data.
fn run_watch(shared: Shared, ready: ReadyFlag) {
    let mut attempt = 0;
    loop {
        let addresses = shared.addresses();
        let outcome = match Socket::dial(addresses.discovery, CONNECT_TIMEOUT) {
            Ok(socket) => {
                let outcome = read_list(&shared, &socket, addresses, &ready);
                socket.shutdown();
                outcome
            }
            Err(e) => Outcome::Failed(e.to_string()),
        };
        match outcome {
            Outcome::Replaced => return,
            Outcome::Failed(reason) => {
                if ready.swap(false, Ordering::AcqRel) {
                    attempt = 0;
                }
                shared
                    .log
                    .fault("discovery", || format!("{}: {reason}", addresses.discovery));
                sleep(shared.retry_delay(attempt));
                attempt += 1;
            }
        }
    }
}

/// How a watch's connection ended.
enum Outcome {
    /// A successor has taken over.
    Replaced,
    /// It failed, for this reason, and is retried.
    Failed(String),
}

/// A parsed response head.
struct Head {
    length: usize,
    chunked: bool,
}

/// The decoders of a response body.
struct Body {
    /// None if the body is not chunked.
    decoder: Option<ChunkedDecoder>,
    lines: LineBuffer,
}

/// Parses a response head; `None` while it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(bytes).map_err(|e| e.to_string())? {
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            Err("response head too long".into())
        }
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let code = response.code.unwrap_or(0);
            if code != 200 {
                return Err(format!("status {code}"));
            }
            let chunked = response.headers.iter().any(|h| {
                h.name.eq_ignore_ascii_case("transfer-encoding")
                    && h.value.to_ascii_lowercase().ends_with(b"chunked")
            });
            Ok(Some(Head { length, chunked }))
        }
    }
}

/// Requests the list and reads it and its changes until the connection ends.
fn read_list(shared: &Shared, socket: &Socket, addresses: Addresses, ready: &ReadyFlag) -> Outcome {
    let after = shared.list_index.load(Ordering::Acquire);
    let watch = shared.next_watch_id();
    let request = format!(
        "GET /api/targets?watch=1&after={after} HTTP/1.1\r\nHost: {}\r\n\r\n",
        addresses.discovery
    );
    if socket
        .write_all(request.as_bytes(), Instant::now() + WRITE_TIMEOUT)
        .is_err()
    {
        return Outcome::Failed("cannot write the watch request".into());
    }
    let mut failover = Failover::new(addresses, SILENCE_TIMEOUT, Duration::ZERO);
    let mut older_since: Option<Instant> = None;
    let mut buffer = [0; 8192];
    let mut received: Vec<u8> = Vec::new();
    let mut body: Option<Body> = None;
    loop {
        let read = socket.read(&mut buffer, Some(Instant::now() + CHECK_INTERVAL));
        if failover.should_end() {
            return Outcome::Replaced;
        }
        match failover.next_action(shared, ready.load(Ordering::Acquire)) {
            Action::Continue => {}
            Action::Retry(reason) => {
                return Outcome::Failed(format!("{reason}, and nothing came yet"));
            }
            Action::StartSuccessor(reason, successor_ready) => {
                let text = format!(
                    "discovery: {}: {reason}: a second watch beside it",
                    addresses.discovery
                );
                shared.log.info(&text);
                let shared = shared.clone();
                spawn(move || run_watch(shared, successor_ready));
            }
        }
        if older_since.is_some_and(|since| since.elapsed() > MAX_LAG) {
            return Outcome::Failed("its versions lie below ours: asked again".into());
        }
        let n = match read {
            Ok(n) if n > 0 => n,
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => continue,
            Ok(_) | Err(_) if failover.has_successor() => return Outcome::Replaced,
            Ok(_) => return Outcome::Failed("the watch ended".into()),
            Err(e) => return Outcome::Failed(e.to_string()),
        };
        failover.data_received();
        received.extend_from_slice(&buffer[..n]);
        if body.is_none() {
            match parse_head(&received) {
                Ok(None) => continue,
                Ok(Some(head)) => {
                    received.drain(..head.length);
                    body = Some(Body {
                        decoder: head.chunked.then(ChunkedDecoder::default),
                        lines: LineBuffer::new(MAX_LINE_BYTES),
                    });
                }
                Err(reason) => return Outcome::Failed(reason),
            }
        }
        let Some(Body { decoder, lines }) = &mut body else {
            continue;
        };
        let more_follows = match decoder {
            None => {
                lines.push(&received);
                true
            }
            Some(decoder) => {
                let mut decoded = Vec::new();
                let more_follows = decoder.push(&received, &mut decoded);
                lines.push(&decoded);
                match more_follows {
                    Ok(more_follows) => more_follows,
                    Err(_) => return Outcome::Failed("invalid chunked encoding".into()),
                }
            }
        };
        received.clear();
        let mut inputs = Vec::new();
        while let Some(line) = lines.next_line() {
            let Ok(line) = line else {
                return Outcome::Failed("line too long".into());
            };
            if line.is_empty() {
                ready.store(true, Ordering::Release);
                continue;
            }
            match discovery::parse(line, &shared.deployment.zones) {
                Ok(list) => {
                    ready.store(true, Ordering::Release);
                    let since = older_since.unwrap_or_else(Instant::now);
                    older_since = (list.index < after).then_some(since);
                    inputs.push(Input::EndpointList { watch, list });
                }
                // The next watch asks for everything after the current version, which includes the
                // content of this line.
                Err(reason) => {
                    shared.send_inputs(inputs);
                    return Outcome::Failed(format!("invalid list: {reason}"));
                }
            }
        }
        shared.send_inputs(inputs);
        if !more_follows {
            return Outcome::Failed("the watch ended".into());
        }
        yield_now();
    }
}
