//! The relay's text (PROTOCOL, "The relay"): orders out, answers and news in.

use dahliapoint::RetryPolicy;
use std::fmt::Write;

/// A call carries up to this many bytes of orders.
pub const MOST_BYTES: usize = 60_000;

/// One order, by indices; names are put in as it is written.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Share {
        table: usize,
        server: usize,
        weight: f64,
    },
    Admit {
        table: usize,
        class: usize,
        share: f64,
        tries: RetryPolicy,
    },
    Shut {
        server: usize,
        out: bool,
    },
    Bind {
        proxy: usize,
        table: usize,
    },
    Mark(u32),
}

/// What names an order's server and class.
pub trait Names {
    fn server(&self, index: usize) -> &str;
    fn class(&self, index: usize) -> &str;
}

impl Order {
    /// Adds the order to a call's text.
    pub fn write(&self, names: &dyn Names, to: &mut String) {
        // Writing to a string cannot fail.
        let _ = match self {
            Order::Share {
                table,
                server,
                weight,
            } => write!(to, "share,{table},{},{weight}", names.server(*server)),
            Order::Admit {
                table,
                class,
                share,
                tries,
            } => {
                let way = match tries {
                    RetryPolicy::Never => 0,
                    RetryPolicy::OnProof => 1,
                    RetryPolicy::OnFailure => 2,
                };
                write!(to, "admit,{table},{},{share},{way}", names.class(*class))
            }
            Order::Shut { server, out: true } => write!(to, "withdraw,{}", names.server(*server)),
            Order::Shut { server, out: false } => write!(to, "restore,{}", names.server(*server)),
            Order::Bind { proxy, table } => write!(to, "bind,{proxy},{table},*"),
            Order::Mark(mark) => write!(to, "mark,{mark},0"),
        };
    }
}

/// What the relay answers to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// So many orders were taken, from the first.
    Taken(usize),
    /// The run has not begun.
    TooMany,
    /// It is no call.
    Bad,
    Unreadable,
}

/// Reads an answer.
pub fn answer(line: &[u8]) -> Answer {
    let Ok(text) = std::str::from_utf8(line) else {
        return Answer::Unreadable;
    };
    let mut words = text.split(' ');
    match (words.next(), words.next(), words.next()) {
        (Some("OK"), Some(n), None) => n.parse().map_or(Answer::Unreadable, Answer::Taken),
        _ if text.split([' ', '=', ':']).any(|w| w == "too_many_calls") => Answer::TooMany,
        _ if text.split([' ', '=', ':']).any(|w| w == "bad_request") => Answer::Bad,
        _ => Answer::Unreadable,
    }
}

/// One line of the news.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The answer to `follow`: what stands comes next.
    Begun,
    Hello {
        proxy: usize,
        zone: usize,
        /// Visits a second, roughly.
        pace: f64,
        fresh: bool,
    },
    Bye {
        proxy: usize,
    },
    Ack {
        proxy: usize,
        mark: u32,
    },
    Alive,
}

/// Reads a line of the news; none if it cannot be read, or names what does not exist.
pub fn news(line: &[u8], zones: &[String], proxies: usize) -> Option<News> {
    let text = std::str::from_utf8(line).ok()?;
    let mut words = text.split(' ');
    match words.next()? {
        "OK" => return Some(News::Begun),
        "*" => {}
        _ => return None,
    }
    let Some(kind) = words.next() else {
        return Some(News::Alive);
    };
    let proxy: usize = words.next()?.parse().ok()?;
    if proxy >= proxies {
        return None;
    }
    match kind {
        "hello" => {
            let zone = words.next()?;
            let zone = zones.iter().position(|z| z == zone)?;
            let pace: f64 = words.next()?.parse().ok()?;
            let fresh = match words.next()? {
                "1" => true,
                "0" => false,
                _ => return None,
            };
            (pace.is_finite() && pace >= 0.0).then_some(News::Hello {
                proxy,
                zone,
                pace,
                fresh,
            })
        }
        "bye" => Some(News::Bye { proxy }),
        "ack" => {
            let mark: u32 = words.next()?.parse().ok()?;
            (mark < 65536).then_some(News::Ack { proxy, mark })
        }
        _ => None,
    }
}
