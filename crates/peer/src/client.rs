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
const MAX_FACTS: usize = 100_000;

/// Queries one peer. Returns the facts received, whatever ended the stream, and the error if there
/// was one.
pub fn query(
    peer: SocketAddr,
    service: &str,
    clock: fn() -> Timestamp,
    until: Instant,
) -> (PeerFacts, Option<Status>) {
    let started = Instant::now();
    let mut answer = PeerFacts::default();
    let error = collect(peer, service, clock, until, &mut answer).err();
    answer.took_ms = started.elapsed().as_secs_f64() * 1e3;
    (answer, error)
}

/// Opens the stream and collects facts until it ends.
fn collect(
    peer: SocketAddr,
    service: &str,
    clock: fn() -> Timestamp,
    until: Instant,
    answer: &mut PeerFacts,
) -> Result<(), Status> {
    let remaining = || until.saturating_duration_since(Instant::now());
    let limits = Limits {
        patience: remaining().max(Duration::from_millis(1)),
        ..Limits::default()
    };
    let link = Link::dial(peer, limits)?;
    let mut call = link.open(TELL_METHOD, Some(remaining()))?;
    let request = Ask {
        service: service.into(),
    };
    let _ = call.outbound.send(&request);
    call.outbound.half_close();
    let (_outbound, mut inbound) = call.answered()?;
    while let Some(message) = inbound.message::<Word>()? {
        let now = clock();
        match message.said {
            Some(Said::Head(head)) if head.service == service => {
                answer.runs_ms = if head.runs_ms.is_finite() {
                    head.runs_ms.max(0.0)
                } else {
                    0.0
                };
            }
            Some(Said::Servers(batch)) => {
                let capacity = MAX_FACTS.saturating_sub(answer.facts.len());
                let valid = batch.servers.iter().filter_map(|w| w.fact(&now));
                answer.facts.extend(valid.take(capacity));
            }
            Some(Said::End(end)) => answer.complete = end.servers == answer.facts.len() as u64,
            Some(Said::Head(head)) => {
                answer.facts.clear();
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
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            break;
        }
        // Divide the remaining time, so that a peer that hangs leaves the others their share.
        let deadline = Instant::now() + remaining / (peers.len() - i) as u32;
        let (answer, error) = query(*peer, service, clock, deadline);
        match &error {
            None if answer.complete => {
                info!(%peer, servers = answer.facts.len(), took_ms = answer.took_ms, "learned from a peer")
            }
            None => warn!(%peer, servers = answer.facts.len(), "a peer's word does not add up"),
            Some(status) => {
                warn!(%peer, servers = answer.facts.len(), %status, "a peer did not tell all")
            }
        }
        let complete = answer.complete;
        if complete
            || best
                .as_ref()
                .is_none_or(|b| b.facts.len() < answer.facts.len())
        {
            best = Some(answer);
        }
        if complete {
            break;
        }
    }
    best.filter(|b| !b.facts.is_empty())
}
