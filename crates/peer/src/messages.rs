//! The messages of `dahliapoint.peer.v1.Peer/Tell`: one question, a stream of words. Every word about a server stands
//! by itself; the end says how many there were.

use dahliapoint_control::AdminState;
use dahliapoint_memory::facts::{ServerFact, Timestamp};

/// The method's path, and the service's.
pub const TELL_METHOD: &str = "/dahliapoint.peer.v1.Peer/Tell";
pub const SERVICE_PREFIX: &str = "/dahliapoint.peer.v1.Peer/";

#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// The service that the asker is to control; another's knowledge is of no use to it.
    #[prost(string, tag = "1")]
    pub service: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Word {
    #[prost(oneof = "Said", tags = "1, 2, 3")]
    pub said: Option<Said>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Said {
    #[prost(message, tag = "1")]
    Head(Head),
    #[prost(message, tag = "2")]
    Servers(Servers),
    #[prost(message, tag = "3")]
    End(End),
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Head {
    #[prost(string, tag = "1")]
    pub service: String,
    /// How long the teller has run, in milliseconds.
    #[prost(double, tag = "2")]
    pub runs_ms: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct Servers {
    #[prost(message, repeated, tag = "1")]
    pub servers: Vec<ServerWord>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerWord {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub address: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// 0 ready, 1 draining, 2 gone.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// How long ago that began, in milliseconds; negative: nobody knows.
    #[prost(double, tag = "5")]
    pub since_ms: f64,
    #[prost(double, tag = "6")]
    pub weight: f64,
    #[prost(double, tag = "7")]
    pub share: f64,
    /// How long ago the share was last backed by visits.
    #[prost(double, tag = "8")]
    pub judged_ms: f64,
    #[prost(bool, tag = "9")]
    pub shut: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    #[prost(uint64, tag = "1")]
    pub servers: u64,
}

/// Longer texts are of nobody's list.
const LONGEST: usize = 4_096;

impl ServerWord {
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

    /// As a fact of ours; what cannot be meant is none. Ages that nobody knows stay so: a moment ahead of now.
    pub fn fact(&self, now: &Timestamp) -> Option<ServerFact> {
        let texts = [&self.name, &self.address, &self.zone];
        let sound = |n: f64| n.is_finite() && n.abs() <= 1e15;
        let fits = texts.iter().all(|t| t.len() <= LONGEST)
            && !self.name.is_empty()
            && [self.since_ms, self.judged_ms, self.weight, self.share]
                .into_iter()
                .all(sound)
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

/// A moment so long ago; a negative time is one of which nobody knows the age.
pub fn timestamp_ago(now: &Timestamp, ms: f64) -> Timestamp {
    now.before(if ms < 0.0 { -1.0 } else { ms })
}
