//! The messages of `dahliapoint.peer.v1.Peer/Tell`: one request, answered by a stream of messages.
//! Each fact about a server is self-contained; the last message has their number.

use dahliapoint_control::AdminState;
use dahliapoint_memory::facts::{ServerFact, Timestamp};

/// Path of the method.
pub const TELL_METHOD: &str = "/dahliapoint.peer.v1.Peer/Tell";
/// Prefix of the paths of all methods of the service.
pub const SERVICE_PREFIX: &str = "/dahliapoint.peer.v1.Peer/";

/// The request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// The service that the new controller is to control; facts about another one are of no use to
    /// it.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// One message of the answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Word {
    /// The contents; `None` if a newer peer sent an unknown kind.
    #[prost(oneof = "Said", tags = "1, 2, 3")]
    pub said: Option<Said>,
}

/// The contents of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    /// Sent first.
    #[prost(message, tag = "1")]
    Head(Head),
    /// A batch of facts.
    #[prost(message, tag = "2")]
    Servers(Servers),
    /// Sent last.
    #[prost(message, tag = "3")]
    End(End),
}

/// The beginning of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Head {
    /// The service that the peer controls.
    #[prost(string, tag = "1")]
    pub service: String,
    /// How long the peer has been running, in milliseconds.
    #[prost(double, tag = "2")]
    pub runs_ms: f64,
}

/// A batch of facts about servers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Servers {
    /// The facts.
    #[prost(message, repeated, tag = "1")]
    pub servers: Vec<ServerWord>,
}

/// A fact about one server; see [`ServerFact`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerWord {
    /// The server's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The server's address.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The server's zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// 0 ready, 1 draining, 2 gone.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Time since the state began, in milliseconds; negative if unknown.
    #[prost(double, tag = "5")]
    pub since_ms: f64,
    /// The listed weight.
    #[prost(double, tag = "6")]
    pub weight: f64,
    /// The published weight as a share of the listed weight.
    #[prost(double, tag = "7")]
    pub share: f64,
    /// Time since the share was last confirmed by visits, in milliseconds; negative if unknown.
    #[prost(double, tag = "8")]
    pub judged_ms: f64,
    /// Whether the server receives no visits.
    #[prost(bool, tag = "9")]
    pub shut: bool,
}

/// The end of an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Number of facts sent.
    #[prost(uint64, tag = "1")]
    pub servers: u64,
}

/// Longer names and addresses are rejected.
const MAX_TEXT_BYTES: usize = 4_096;

impl ServerWord {
    /// Converts a fact, with ages relative to `now`.
    pub fn of(now: &Timestamp, fact: &ServerFact) -> ServerWord {
        let age = |at: &Timestamp| now.since(at).unwrap_or(-1.0);
        ServerWord {
            name: fact.name.clone(),
            address: fact.address.clone(),
            zone: fact.zone.clone(),
            state: match fact.state {
                AdminState::Ready => 0,
                AdminState::Draining => 1,
                AdminState::Gone => 2,
            },
            since_ms: age(&fact.since),
            weight: fact.weight,
            share: fact.share,
            judged_ms: age(&fact.judged),
            shut: fact.withdrawn,
        }
    }

    /// Converts to a fact on our clock; `None` if a value is out of range. An unknown age becomes a
    /// time in the future.
    pub fn fact(&self, now: &Timestamp) -> Option<ServerFact> {
        let texts = [&self.name, &self.address, &self.zone];
        let in_range = |n: f64| n.is_finite() && n.abs() <= 1e15;
        let fits = texts.iter().all(|t| t.len() <= MAX_TEXT_BYTES)
            && !self.name.is_empty()
            && [self.since_ms, self.judged_ms, self.weight, self.share]
                .into_iter()
                .all(in_range)
            && self.weight >= 0.0
            && (0.0..=1.0).contains(&self.share);
        let state = match self.state {
            0 => AdminState::Ready,
            1 => AdminState::Draining,
            2 => AdminState::Gone,
            _ => return None,
        };
        fits.then(|| ServerFact {
            name: self.name.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            state,
            since: timestamp_ago(now, self.since_ms),
            weight: self.weight,
            share: self.share,
            judged: timestamp_ago(now, self.judged_ms),
            withdrawn: self.shut,
        })
    }
}

/// The time `ms` milliseconds ago; a negative value means an unknown age and gives a time in the
/// future.
pub fn timestamp_ago(now: &Timestamp, ms: f64) -> Timestamp {
    now.before(if ms < 0.0 { -1.0 } else { ms })
}
