//! The query at the start: peers are asked one after another within a total time. The first
//! complete answer is used; if there is none, the one with the most facts.

use crate::merge::PeerFacts;
use crate::messages::{Ask, Said, TELL_METHOD, Word};
use dahliapoint_grpc::{Code, Limits, Link, Status};
use dahliapoint_memory::facts::Timestamp;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Maximum number of facts taken from one peer.
const MOST: usize = 100_000;

/// Queries one peer. Returns the facts received, whatever ended the stream, and the error if there
/// was one.
pub fn query(
    peer: SocketAddr,
    service: &str,
    clock: fn() -> Timestamp,
    until: Instant,
) -> (PeerFacts, Option<Status>) {
    let begun = Instant::now();
    let mut learned = PeerFacts::default();
    let ended = listen(peer, service, clock, until, &mut learned).err();
    learned.took_ms = begun.elapsed().as_secs_f64() * 1e3;
    (learned, ended)
}

/// Opens the stream and collects facts until it ends.
fn listen(
    peer: SocketAddr,
    service: &str,
    clock: fn() -> Timestamp,
    until: Instant,
    learned: &mut PeerFacts,
) -> Result<(), Status> {
    let left = || until.saturating_duration_since(Instant::now());
    let limits = Limits {
        patience: left().max(Duration::from_millis(1)),
        ..Limits::default()
    };
    let link = Link::dial(peer, limits)?;
    let mut dialed = link.open(TELL_METHOD, Some(left()))?;
    let question = Ask {
        service: service.into(),
    };
    let _ = dialed.outbound.send(&question);
    dialed.outbound.half_close();
    let (_outbound, mut inbound) = dialed.answered()?;
    while let Some(word) = inbound.message::<Word>()? {
        let now = clock();
        match word.said {
            Some(Said::Head(head)) if head.service == service => {
                learned.runs_ms = if head.runs_ms.is_finite() {
                    head.runs_ms.max(0.0)
                } else {
                    0.0
                };
            }
            Some(Said::Servers(all)) => {
                let room = MOST.saturating_sub(learned.facts.len());
                let sound = all.servers.iter().filter_map(|w| w.fact(&now));
                learned.facts.extend(sound.take(room));
            }
            Some(Said::End(end)) => learned.complete = end.servers == learned.facts.len() as u64,
            Some(Said::Head(head)) => {
                learned.facts.clear();
                let why = format!("it controls {:?}", head.service);
                return Err(Status::new(Code::FailedPrecondition, why));
            }
            // Sent by a newer peer: unknown, and ignored.
            None => {}
        }
    }
    Ok(())
}

/// Queries peers one after another until one answers completely or `within` has passed.
pub fn query_all(
    peers: &[SocketAddr],
    service: &str,
    clock: fn() -> Timestamp,
    within: Duration,
) -> Option<PeerFacts> {
    let until = Instant::now() + within;
    let mut best: Option<PeerFacts> = None;
    for (i, peer) in peers.iter().enumerate() {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        // Divide the remaining time, so that a peer that hangs leaves the others their share.
        let own = Instant::now() + left / (peers.len() - i) as u32;
        let (learned, ended) = query(*peer, service, clock, own);
        match &ended {
            None if learned.complete => {
                info!(%peer, servers = learned.facts.len(), took_ms = learned.took_ms, "learned from a peer")
            }
            None => warn!(%peer, servers = learned.facts.len(), "a peer's word does not add up"),
            Some(status) => {
                warn!(%peer, servers = learned.facts.len(), %status, "a peer did not tell all")
            }
        }
        let whole = learned.complete;
        if whole
            || best
                .as_ref()
                .is_none_or(|b| b.facts.len() < learned.facts.len())
        {
            best = Some(learned);
        }
        if whole {
            break;
        }
    }
    best.filter(|b| !b.facts.is_empty())
}
