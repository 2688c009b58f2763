//! The watch of the discovery list. After missed heartbeats or an address change a second watch is
//! opened, and the first ends once the second has received data. While discovery is down, the last
//! list stays in use. A watch that receives versions below the newest known one for longer than
//! discovery may lag asks again, so that the core can tell a lagging discovery from one whose
//! versions have restarted.

use crate::beside::{Beside, Due, Serves};
use crate::reach::{Addresses, Shared};
use dahliapoint_fibers::{Socket, sleep, spawn, yield_now};
use dahliapoint_platform::chunked::ChunkedDecoder;
use dahliapoint_platform::core::{Input, MAX_DISCOVERY_LAG_MS};
use dahliapoint_platform::discovery;
use dahliapoint_platform::line_buffer::LineBuffer;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The timeout of a connect.
const DIAL: Duration = Duration::from_millis(700);
/// The timeout of a write.
const WRITTEN_WITHIN: Duration = Duration::from_millis(300);
/// How long without data a watch counts as silent. Discovery sends an empty line every 2 s while
/// nothing changes (PROTOCOL, "Discovery").
const SILENT: Duration = Duration::from_millis(2600);
/// How often a waiting watch checks for a new address and for silence.
const LOOK: Duration = Duration::from_millis(200);
/// How long versions may stay below the newest known one before the watch asks again.
const TOLD_WITHIN: Duration = Duration::from_millis(MAX_DISCOVERY_LAG_MS as u64);
/// The largest response head, in bytes.
const MOST_HEAD: usize = 8192;
/// The longest line of the list, in bytes.
const MOST_LINE: usize = 1 << 20;

/// Starts the watch, which runs until the process ends.
pub fn begin(reach: &Shared) {
    let reach = reach.clone();
    spawn(move || watcher(reach, Serves::default()));
}

/// Runs one watch and reconnects it until a successor replaces it. `brought` is set once it has
/// received data.
fn watcher(reach: Shared, brought: Serves) {
    let mut attempt = 0;
    loop {
        let at = reach.addresses();
        let ended = match Socket::dial(at.discovery, DIAL) {
            Ok(socket) => {
                let ended = watch(&reach, &socket, at, &brought);
                socket.shutdown();
                ended
            }
            Err(e) => Ended::Broken(e.to_string()),
        };
        match ended {
            Ended::Replaced => return,
            Ended::Broken(why) => {
                if brought.swap(false, Ordering::AcqRel) {
                    attempt = 0;
                }
                reach
                    .teller
                    .fault("discovery", || format!("{}: {why}", at.discovery));
                sleep(reach.wait(attempt));
                attempt += 1;
            }
        }
    }
}

/// Why a watch's connection ended.
enum Ended {
    /// A successor has taken over.
    Replaced,
    /// It failed, for this reason, and is retried.
    Broken(String),
}

/// Parses a response head: its length and whether the body is chunked; `None` while incomplete.
fn head(bytes: &[u8]) -> Result<Option<(usize, bool)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut answer = httparse::Response::new(&mut headers);
    match answer.parse(bytes).map_err(|e| e.to_string())? {
        httparse::Status::Partial if bytes.len() > MOST_HEAD => Err("a head without end".into()),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(length) => {
            let code = answer.code.unwrap_or(0);
            if code != 200 {
                return Err(format!("answer {code}"));
            }
            let chunked = answer.headers.iter().any(|h| {
                h.name.eq_ignore_ascii_case("transfer-encoding")
                    && h.value.to_ascii_lowercase().ends_with(b"chunked")
            });
            Ok(Some((length, chunked)))
        }
    }
}

/// Requests the list and reads it and its changes until the connection ends.
fn watch(reach: &Shared, socket: &Socket, at: Addresses, brought: &Serves) -> Ended {
    let after = reach.index.load(Ordering::Acquire);
    let number = reach.next_watch();
    let ask = format!(
        "GET /api/targets?watch=1&after={after} HTTP/1.1\r\nHost: {}\r\n\r\n",
        at.discovery
    );
    if socket
        .write_all(ask.as_bytes(), Instant::now() + WRITTEN_WITHIN)
        .is_err()
    {
        return Ended::Broken("the watch could not be asked for".into());
    }
    let mut beside = Beside::of(at, SILENT, Duration::ZERO);
    let mut below: Option<Instant> = None;
    let mut buffer = [0; 8192];
    let mut held: Vec<u8> = Vec::new();
    let mut body: Option<(Option<ChunkedDecoder>, LineBuffer)> = None;
    loop {
        let read = socket.read(&mut buffer, Some(Instant::now() + LOOK));
        if beside.is_over() {
            return Ended::Replaced;
        }
        match beside.due(reach, brought.load(Ordering::Acquire)) {
            Due::Nothing => {}
            Due::End(why) => return Ended::Broken(format!("{why}, and nothing came yet")),
            Due::Successor(why, serves) => {
                let text = format!(
                    "discovery: {}: {why}: a second watch beside it",
                    at.discovery
                );
                reach.teller.note(&text);
                let reach = reach.clone();
                spawn(move || watcher(reach, serves));
            }
        }
        if below.is_some_and(|since| since.elapsed() > TOLD_WITHIN) {
            return Ended::Broken("its versions lie below ours: asked again".into());
        }
        let n = match read {
            Ok(n) if n > 0 => n,
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => continue,
            Ok(_) | Err(_) if beside.has_successor() => return Ended::Replaced,
            Ok(_) => return Ended::Broken("the watch ended".into()),
            Err(e) => return Ended::Broken(e.to_string()),
        };
        beside.heard();
        held.extend_from_slice(&buffer[..n]);
        if body.is_none() {
            match head(&held) {
                Ok(None) => continue,
                Ok(Some((length, chunked))) => {
                    held.drain(..length);
                    body = Some((
                        chunked.then(ChunkedDecoder::default),
                        LineBuffer::new(MOST_LINE),
                    ));
                }
                Err(why) => return Ended::Broken(why),
            }
        }
        let Some((chunks, lines)) = &mut body else {
            continue;
        };
        let goes_on = match chunks {
            None => {
                lines.push(&held);
                true
            }
            Some(chunks) => {
                let mut plain = Vec::new();
                let goes_on = chunks.push(&held, &mut plain);
                lines.push(&plain);
                match goes_on {
                    Ok(goes_on) => goes_on,
                    Err(_) => return Ended::Broken("what comes is not chunked".into()),
                }
            }
        };
        held.clear();
        let mut inputs = Vec::new();
        while let Some(line) = lines.next_line() {
            let Ok(line) = line else {
                return Ended::Broken("a line without end".into());
            };
            if line.is_empty() {
                brought.store(true, Ordering::Release);
                continue;
            }
            match discovery::parse(line, &reach.deployment.zones) {
                Ok(list) => {
                    brought.store(true, Ordering::Release);
                    let since = below.unwrap_or_else(Instant::now);
                    below = (list.index < after).then_some(since);
                    let watch = number;
                    inputs.push(Input::EndpointList { watch, list });
                }
                // The next watch asks for everything after the current version, which includes the
                // content of this line.
                Err(why) => {
                    reach.put(inputs);
                    return Ended::Broken(format!("a line that is no list: {why}"));
                }
            }
        }
        reach.put(inputs);
        if !goes_on {
            return Ended::Broken("the watch ended".into());
        }
        yield_now();
    }
}
