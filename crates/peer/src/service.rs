//! The answer of a running controller to a new one. Facts that change what the new controller does
//! are sent first, so that they have arrived if this controller dies midway.

use crate::messages::{Ask, End, Head, Said, ServerWord, Servers, TELL_METHOD, Word};
use dahliapoint_control::AdminState;
use dahliapoint_grpc::{Call, Code, Handler, Status};
use dahliapoint_memory::facts::{Facts, ServerFact, Timestamp};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tracing::{debug, info};

/// Facts per message.
const FACTS_PER_MESSAGE: usize = 64;
/// Maximum number of concurrent answers; further callers are rejected.
const MAX_CONCURRENT_CALLS: usize = 4;
/// A share below this is a reduced weight.
const REDUCED_SHARE: f64 = 0.95;

/// The current facts; the owner updates them once a round, and the service reads them.
#[derive(Clone, Default)]
pub struct SharedFacts(Arc<Mutex<Facts>>);

impl SharedFacts {
    /// Locks the facts.
    pub fn lock(&self) -> MutexGuard<'_, Facts> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Sort key of a fact: withdrawn and draining servers first, then reduced weights, lowest first,
/// then the rest.
fn rank(f: &ServerFact) -> (u8, u64) {
    let unavailable = f.withdrawn || f.state != AdminState::Ready;
    let class = match (unavailable, f.share < REDUCED_SHARE) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    };
    // Shares are non-negative, so their bit patterns sort like the shares.
    (class, f.share.max(0.0).to_bits())
}

/// All facts to send, most useful first, in a deterministic order.
pub fn prioritized(facts: &Facts, now: &Timestamp) -> Vec<ServerWord> {
    let mut all: Vec<&ServerFact> = facts.servers.values().collect();
    all.sort_by(|a, b| rank(a).cmp(&rank(b)).then_with(|| a.name.cmp(&b.name)));
    all.into_iter().map(|f| ServerWord::of(now, f)).collect()
}

/// Answers queries of new controllers.
pub struct PeerService {
    service: String,
    facts: SharedFacts,
    started: Instant,
    clock: fn() -> Timestamp,
    active_calls: AtomicUsize,
}

impl PeerService {
    /// Creates the service for the controller of `service`; `clock` gives the current time.
    pub fn new(service: &str, facts: SharedFacts, clock: fn() -> Timestamp) -> Arc<PeerService> {
        Arc::new(PeerService {
            service: service.into(),
            facts,
            started: Instant::now(),
            clock,
            active_calls: AtomicUsize::new(0),
        })
    }

    /// Reads the query and sends all facts. Returns their number.
    fn answer(&self, call: &mut Call) -> Result<usize, Status> {
        let request: Ask = match call.inbound.message()? {
            Some(request) => request,
            None => {
                return Err(Status::new(Code::InvalidArgument, "a question is wanted"));
            }
        };
        if request.service != self.service {
            let why = format!(
                "this controls {:?}, not {:?}",
                self.service, request.service
            );
            return Err(Status::new(Code::FailedPrecondition, why));
        }
        // Send a copy, so that a slow reader does not hold the lock.
        let now = (self.clock)();
        let facts = prioritized(&self.facts.lock(), &now);
        let head = Head {
            service: self.service.clone(),
            runs_ms: self.started.elapsed().as_secs_f64() * 1e3,
        };
        let message = |said| Word { said: Some(said) };
        call.outbound.send(&message(Said::Head(head)))?;
        let count = facts.len();
        for batch in facts.chunks(FACTS_PER_MESSAGE) {
            let servers = batch.to_vec();
            call.outbound
                .send(&message(Said::Servers(Servers { servers })))?;
        }
        call.outbound.send(&message(Said::End(End {
            servers: count as u64,
        })))?;
        Ok(count)
    }
}

impl Handler for PeerService {
    fn call(&self, mut call: Call) {
        if call.path != TELL_METHOD {
            let status = Status::new(Code::Unimplemented, format!("no method {}", call.path));
            return call.outbound.finish(&status);
        }
        if self.active_calls.fetch_add(1, Ordering::SeqCst) >= MAX_CONCURRENT_CALLS {
            self.active_calls.fetch_sub(1, Ordering::SeqCst);
            let status = Status::new(Code::ResourceExhausted, "others are asking");
            return call.outbound.finish(&status);
        }
        let peer = call.peer;
        let result = self.answer(&mut call);
        self.active_calls.fetch_sub(1, Ordering::SeqCst);
        match result {
            Ok(servers) => {
                info!(%peer, servers, "answered a new controller");
                call.outbound.finish(&Status::new(Code::Ok, ""));
            }
            Err(status) => {
                debug!(%peer, %status, "could not answer a new controller");
                call.outbound.finish(&status);
            }
        }
    }
}
