//! Failover of a stream. When a ready stream falls silent or its address is replaced, a successor is
//! started next to it, and the old stream ends only once the successor is ready, so that nothing is
//! missed in between. A stream that is not ready yet gets no successor: it ends and is retried, so
//! that there are at most two streams however long a silence lasts.

use crate::shared::{Addresses, SharedState};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a silent stream is kept while its successor is not ready either: its delayed data may
/// still arrive.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// The ready flag that a stream sets once it delivers data.
pub type ReadyFlag = Arc<AtomicBool>;

/// Decides for one stream when it needs a successor and when it ends.
pub struct Failover {
    /// The addresses when the stream was started.
    addresses: Addresses,
    /// How long without data the stream counts as silent.
    silent_after: Duration,
    /// How long the stream goes on once its successor is ready.
    overlap: Duration,
    /// When data last arrived.
    last_data: Instant,
    /// The successor's ready flag.
    successor: Option<ReadyFlag>,
    /// When the successor was first seen ready.
    successor_ready_at: Option<Instant>,
}

impl Failover {
    /// Creates the state of a stream that starts now at these addresses.
    pub fn new(addresses: Addresses, silent_after: Duration, overlap: Duration) -> Failover {
        Failover {
            addresses,
            silent_after,
            overlap,
            last_data: Instant::now(),
            successor: None,
            successor_ready_at: None,
        }
    }

    /// Records that data arrived.
    pub fn data_received(&mut self) {
        self.last_data = Instant::now();
    }

    /// Whether no data arrived for `silent_after`.
    pub fn is_silent(&self) -> bool {
        self.last_data.elapsed() > self.silent_after
    }

    /// Whether the configuration changed the addresses since the stream started.
    pub fn address_changed(&self, shared: &SharedState) -> bool {
        shared.addresses().version != self.addresses.version
    }

    /// Whether a successor was started.
    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether the stream should end: its successor has been ready for `overlap`, or it has a successor
    /// and was silent for `GIVE_UP_AFTER`.
    pub fn should_end(&mut self) -> bool {
        let Some(successor) = &self.successor else {
            return false;
        };
        if successor.load(Ordering::Acquire) {
            self.successor_ready_at.get_or_insert_with(Instant::now);
        }
        let replaced = self
            .successor_ready_at
            .is_some_and(|at| at.elapsed() >= self.overlap);
        replaced || self.last_data.elapsed() > GIVE_UP_AFTER
    }

    /// Decides what to do with the stream now; `ready` is its own ready flag.
    pub fn next_action(&mut self, shared: &SharedState, ready: bool) -> Action {
        let reason = match (self.address_changed(shared), self.is_silent()) {
            (true, _) => "other address",
            (false, true) => "silent",
            (false, false) => return Action::Continue,
        };
        match (ready, self.has_successor()) {
            (_, true) => Action::Continue,
            (false, false) => Action::Retry(reason),
            (true, false) => {
                let successor_ready = ReadyFlag::default();
                self.successor = Some(successor_ready.clone());
                Action::StartSuccessor(reason, successor_ready)
            }
        }
    }
}

/// What to do with a stream, and why.
#[derive(Debug)]
pub enum Action {
    /// Go on.
    Continue,
    /// Start a successor with this ready flag; returned once per stream.
    StartSuccessor(&'static str, ReadyFlag),
    /// End and retry the stream, which never became ready.
    Retry(&'static str),
}

#[cfg(test)]
mod tests;
