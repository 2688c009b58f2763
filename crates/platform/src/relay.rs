//! The relay's text protocol (PROTOCOL, "The relay"): commands out, replies and events in.

use dahliapoint::RetryPolicy;
use std::fmt::Write;

/// Limit of the commands of one call, in bytes.
pub const MAX_CALL_BYTES: usize = 60_000;

/// One command of a call. It refers to servers and classes by index; names are looked up on writing.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sets a server's weight in a table.
    Share {
        table: usize,
        server: usize,
        weight: f64,
    },
    /// Sets a class's admitted share of visits and its retry policy in a table.
    Admit {
        table: usize,
        class: usize,
        share: f64,
        retry_policy: RetryPolicy,
    },
    /// Withdraws a server at every proxy, or restores it.
    Withdraw { server: usize, withdrawn: bool },
    /// Binds a proxy to a table.
    Bind { proxy: usize, table: usize },
    /// Asks each proxy concerned to acknowledge the preceding commands by this number.
    Mark(u32),
}

/// Looks up the names of servers and classes.
pub trait NameLookup {
    /// Returns the name of the server at `index`.
    fn server(&self, index: usize) -> &str;
    /// Returns the name of the class at `index`.
    fn class(&self, index: usize) -> &str;
}

impl Command {
    /// Appends the command to a call's text.
    pub fn write(&self, names: &dyn NameLookup, out: &mut String) {
        // Writing to a `String` cannot fail.
        let _ = match self {
            Command::Share {
                table,
                server,
                weight,
            } => write!(out, "share,{table},{},{weight}", names.server(*server)),
            Command::Admit {
                table,
                class,
                share,
                retry_policy,
            } => {
                let retry_code = match retry_policy {
                    RetryPolicy::Never => 0,
                    RetryPolicy::OnProof => 1,
                    RetryPolicy::OnFailure => 2,
                };
                write!(
                    out,
                    "admit,{table},{},{share},{retry_code}",
                    names.class(*class)
                )
            }
            Command::Withdraw {
                server,
                withdrawn: true,
            } => write!(out, "withdraw,{}", names.server(*server)),
            Command::Withdraw {
                server,
                withdrawn: false,
            } => write!(out, "restore,{}", names.server(*server)),
            Command::Bind { proxy, table } => write!(out, "bind,{proxy},{table},*"),
            Command::Mark(mark) => write!(out, "mark,{mark},0"),
        };
    }
}

/// The relay's reply to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// The first so many commands were accepted.
    Accepted(usize),
    /// The call was not started: too many calls are under way.
    TooManyCalls,
    /// The relay could not parse the call.
    BadRequest,
    /// The reply is not valid.
    Unreadable,
}

/// Parses the reply to a call.
pub fn parse_reply(line: &[u8]) -> Reply {
    let Ok(text) = std::str::from_utf8(line) else {
        return Reply::Unreadable;
    };
    let mut parts = text.split(' ');
    match (parts.next(), parts.next(), parts.next()) {
        (Some("OK"), Some(count), None) => count.parse().map_or(Reply::Unreadable, Reply::Accepted),
        _ if text.split([' ', '=', ':']).any(|w| w == "too_many_calls") => Reply::TooManyCalls,
        _ if text.split([' ', '=', ':']).any(|w| w == "bad_request") => Reply::BadRequest,
        _ => Reply::Unreadable,
    }
}

/// One line of the relay's event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayEvent {
    /// `follow` was accepted; a snapshot of the joined proxies comes next.
    Started,
    /// A proxy is joined.
    Hello {
        proxy: usize,
        zone: usize,
        /// Approximate rate of visits.
        visits_per_s: f64,
        /// Whether it has just joined, rather than being part of the snapshot.
        fresh: bool,
    },
    /// A proxy left.
    Bye { proxy: usize },
    /// A proxy acknowledged a mark.
    Ack { proxy: usize, mark: u32 },
    /// Sent periodically while the stream is open.
    Heartbeat,
}

/// Parses a line of the event stream. Returns `None` when it is malformed or names an unknown zone or proxy.
pub fn parse_event(line: &[u8], zones: &[String], proxy_count: usize) -> Option<RelayEvent> {
    let text = std::str::from_utf8(line).ok()?;
    let mut parts = text.split(' ');
    match parts.next()? {
        "OK" => return Some(RelayEvent::Started),
        "*" => {}
        _ => return None,
    }
    let Some(kind) = parts.next() else {
        return Some(RelayEvent::Heartbeat);
    };
    let proxy: usize = parts.next()?.parse().ok()?;
    if proxy >= proxy_count {
        return None;
    }
    match kind {
        "hello" => {
            let zone = parts.next()?;
            let zone = zones.iter().position(|z| z == zone)?;
            let visits_per_s: f64 = parts.next()?.parse().ok()?;
            let fresh = match parts.next()? {
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
            let mark: u32 = parts.next()?.parse().ok()?;
            (mark < 65536).then_some(RelayEvent::Ack { proxy, mark })
        }
        _ => None,
    }
}
