//! The relay's text (PROTOCOL, "The relay"): orders out, answers and news in.

use dahliapoint::Tries;
use std::fmt::Write;

/// A call carries up to this many bytes of orders.
pub const MAX_CALL_BYTES: usize = 60_000;

/// One order, by indices; names are put in as it is written.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Share {
        table: usize,
        server: usize,
        weight: f64,
    },
    Admit {
        table: usize,
        class: usize,
        share: f64,
        tries: Tries,
    },
    Withdraw {
        server: usize,
        withdrawn: bool,
    },
    Bind {
        proxy: usize,
        table: usize,
    },
    Mark(u32),
}

/// What names an order's server and class.
pub trait NameLookup {
    fn server(&self, index: usize) -> &str;
    fn class(&self, index: usize) -> &str;
}

impl Command {
    /// Adds the order to a call's text.
    pub fn write(&self, names: &dyn NameLookup, to: &mut String) {
        // Writing to a string cannot fail.
        let _ = match self {
            Command::Share {
                table,
                server,
                weight,
            } => write!(to, "share,{table},{},{weight}", names.server(*server)),
            Command::Admit {
                table,
                class,
                share,
                tries,
            } => {
                let way = match tries {
                    Tries::Never => 0,
                    Tries::OnProof => 1,
                    Tries::OnFailure => 2,
                };
                write!(to, "admit,{table},{},{share},{way}", names.class(*class))
            }
            Command::Withdraw {
                server,
                withdrawn: true,
            } => write!(to, "withdraw,{}", names.server(*server)),
            Command::Withdraw {
                server,
                withdrawn: false,
            } => write!(to, "restore,{}", names.server(*server)),
            Command::Bind { proxy, table } => write!(to, "bind,{proxy},{table},*"),
            Command::Mark(mark) => write!(to, "mark,{mark},0"),
        };
    }
}

/// What the relay answers to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// So many orders were taken, from the first.
    Accepted(usize),
    /// The run has not begun.
    TooManyCalls,
    /// It is no call.
    BadRequest,
    Unreadable,
}

/// Reads an answer.
pub fn parse_reply(line: &[u8]) -> Reply {
    let Ok(text) = std::str::from_utf8(line) else {
        return Reply::Unreadable;
    };
    let mut words = text.split(' ');
    match (words.next(), words.next(), words.next()) {
        (Some("OK"), Some(n), None) => n.parse().map_or(Reply::Unreadable, Reply::Accepted),
        _ if text.split([' ', '=', ':']).any(|w| w == "too_many_calls") => Reply::TooManyCalls,
        _ if text.split([' ', '=', ':']).any(|w| w == "bad_request") => Reply::BadRequest,
        _ => Reply::Unreadable,
    }
}

/// One line of the news.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// The answer to `follow`: what stands comes next.
    Started,
    Hello {
        proxy: usize,
        zone: usize,
        /// Visits a second, roughly.
        visits_per_s: f64,
        fresh: bool,
    },
    Bye {
        proxy: usize,
    },
    Ack {
        proxy: usize,
        mark: u32,
    },
    Heartbeat,
}

/// Reads a line of the news; none if it cannot be read, or names what does not exist.
pub fn parse_event(line: &[u8], zones: &[String], proxies: usize) -> Option<RelayEvent> {
    let text = std::str::from_utf8(line).ok()?;
    let mut words = text.split(' ');
    match words.next()? {
        "OK" => return Some(RelayEvent::Started),
        "*" => {}
        _ => return None,
    }
    let Some(kind) = words.next() else {
        return Some(RelayEvent::Heartbeat);
    };
    let proxy: usize = words.next()?.parse().ok()?;
    if proxy >= proxies {
        return None;
    }
    match kind {
        "hello" => {
            let zone = words.next()?;
            let zone = zones.iter().position(|z| z == zone)?;
            let visits_per_s: f64 = words.next()?.parse().ok()?;
            let fresh = match words.next()? {
                "1" => true,
                "0" => false,
                _ => return None,
            };
            (visits_per_s.is_finite() && visits_per_s >= 0.0).then_some(RelayEvent::Hello {
                proxy,
                zone,
                visits_per_s,
                fresh,
            })
        }
        "bye" => Some(RelayEvent::Bye { proxy }),
        "ack" => {
            let mark: u32 = words.next()?.parse().ok()?;
            (mark < 65536).then_some(RelayEvent::Ack { proxy, mark })
        }
        _ => None,
    }
}
