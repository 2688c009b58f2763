//! The relay: two followers of its news, and the one who calls.
//!
//! While one follower is unbroken nothing of the news is missed (see `platform::joined`), so there are
//! two seats. A follower that falls silent, or whose address is replaced, gets a successor beside it
//! and ends only when that one has been told what stands, and what was on its way has come.

use crate::beside::{Beside, Due, Serves};
use crate::reach::{Addresses, Shared};
use dahliapoint_fibers::{Queue, Received, Socket, give_way, sleep, spawn};
use dahliapoint_platform::core::Input;
use dahliapoint_platform::delivery::{Call, Outcome};
use dahliapoint_platform::joined::LAG_MS;
use dahliapoint_platform::lines::Lines;
use dahliapoint_platform::relay::{self, News};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const SEATS: usize = 2;
const DIAL: Duration = Duration::from_millis(700);
/// The sign of life comes each second (PROTOCOL, "The relay"); without two of them it is out of reach.
const SILENT: Duration = Duration::from_millis(2300);
const LAG: Duration = Duration::from_millis(LAG_MS as u64);
/// How often a new address is looked for.
const LOOK: Duration = Duration::from_millis(200);
const MOST_LINE: usize = 4096;
/// An answer arrives within 50 ms or never (PROTOCOL, "The relay"); the rest is for a busy machine.
const ANSWERED_WITHIN: Duration = Duration::from_millis(200);
pub const WRITTEN_WITHIN: Duration = Duration::from_millis(300);
/// The relay closes what stood idle for about 10 s or less: after this a call takes a new connection.
const IDLE: Duration = Duration::from_millis(1000);

/// Follows the news for good.
pub fn follow(reach: &Shared) {
    for seat in 0..SEATS {
        let reach = reach.clone();
        spawn(move || {
            // The second seat never begins at the same moment as the first.
            sleep(Duration::from_millis(150 * seat as u64));
            follower(reach, Serves::default());
        });
    }
}

/// One follower, from its first dial to its end; `settled` is set once it was told what stands.
fn follower(reach: Shared, settled: Serves) {
    let mut attempt = 0;
    loop {
        let at = reach.addresses();
        let id = reach.next_follower();
        let ended = match Socket::dial(at.relay, DIAL) {
            Ok(socket) => {
                let ended = listen(&reach, &socket, at, id, &settled);
                socket.shut();
                reach.put(vec![Input::Unfollowed { follower: id }]);
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

enum Ended {
    /// A successor has its seat.
    Replaced,
    Broken(String),
}

fn listen(reach: &Shared, socket: &Socket, at: Addresses, id: u32, settled: &Serves) -> Ended {
    let broken = |why: &str| Ended::Broken(format!("{}: {why}", at.relay));
    if socket
        .write_all(b"follow\r\n", Instant::now() + WRITTEN_WITHIN)
        .is_err()
    {
        return broken("`follow` could not be written");
    }
    let mut lines = Lines::of(MOST_LINE);
    let mut beside = Beside::of(at, SILENT, LAG);
    let mut buffer = [0; 8192];
    let (mut begun, mut told_silent) = (false, false);
    loop {
        // Before the read: what has been read is told.
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
                    reach.put(vec![Input::Silent { follower: id }]);
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
            match relay::news(line, &told.zones, told.proxy_count) {
                Some(News::Begun) if begun => {}
                Some(news) => {
                    begun |= news == News::Begun;
                    if !matches!(news, News::Begun | News::Hello { .. }) {
                        settled.store(true, Ordering::Release);
                    }
                    inputs.push(Input::News { follower: id, news });
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
        give_way();
    }
}

/// Makes the calls, one after the other, for good.
pub fn call(reach: &Shared) -> Queue<Call> {
    let calls: Queue<Call> = Queue::bounded(4);
    let (reach, taken) = (reach.clone(), calls.clone());
    spawn(move || {
        let mut held: Option<(Socket, u64, Instant)> = None;
        while let Received::Some(some) = taken.take_all(None) {
            for call in some {
                let at = reach.addresses();
                let fresh = held.take().filter(|(socket, turn, used)| {
                    *turn == at.turn && used.elapsed() < IDLE && stands(socket)
                });
                let (outcome, socket) = make(&reach, at, fresh.map(|(s, ..)| s), &call);
                held = socket.map(|s| (s, at.turn, Instant::now()));
                let number = call.number;
                reach.put(vec![Input::Called { number, outcome }]);
            }
        }
    });
    calls
}

/// Nothing has come of a connection that nothing was asked on, neither an end nor a word.
fn stands(socket: &Socket) -> bool {
    let read = socket.read(&mut [0; 1], Some(Instant::now()));
    read.is_err_and(|e| e.kind() == std::io::ErrorKind::TimedOut)
}

fn make(
    reach: &Shared,
    at: Addresses,
    held: Option<Socket>,
    call: &Call,
) -> (Outcome, Option<Socket>) {
    let fault = |why: String| {
        reach
            .teller
            .fault("call", || format!("{}: {why}", at.relay))
    };
    let socket = match held.map_or_else(|| Socket::dial(at.relay, DIAL), Ok) {
        Ok(socket) => socket,
        Err(e) => {
            fault(e.to_string());
            return (Outcome::NotSent, None);
        }
    };
    let bytes = call.text.as_bytes();
    if !reach.shutdown.begin_write() {
        return (Outcome::NotSent, None);
    }
    let written = socket.write_all(bytes, Instant::now() + WRITTEN_WITHIN);
    reach.shutdown.end_write();
    if let Err(done) = written {
        fault(format!("broken after {done} of {} bytes", bytes.len()));
        socket.shut();
        return (Outcome::NotSent, None);
    }
    let until = Instant::now() + ANSWERED_WITHIN;
    let mut lines = Lines::of(MOST_LINE);
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
                socket.shut();
                return (Outcome::Unknown, None);
            }
        }
        match lines.next_line() {
            None => {}
            Some(Ok(line)) => {
                let answer = relay::answer(line);
                if answer != relay::Answer::Unreadable {
                    // What came behind it would be read as the next call's answer.
                    let clean = lines.open() == 0;
                    return (Outcome::Answered(answer), clean.then_some(socket));
                }
                let text = String::from_utf8_lossy(line).into_owned();
                fault(format!("answer {text:?}"));
                socket.shut();
                return (Outcome::Unknown, None);
            }
            Some(Err(_)) => {
                fault("an answer without end".into());
                socket.shut();
                return (Outcome::Unknown, None);
            }
        }
    }
}
