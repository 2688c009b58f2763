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
    /// For a stream that starts now at these addresses.
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
        shared.addresses().generation != self.addresses.generation
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
        let why = match (self.address_changed(shared), self.is_silent()) {
            (true, _) => "address changed",
            (false, true) => "silent",
            (false, false) => return Action::Continue,
        };
        match (ready, self.has_successor()) {
            (_, true) => Action::Continue,
            (false, false) => Action::Retry(why),
            (true, false) => {
                let successor_ready = ReadyFlag::default();
                self.successor = Some(successor_ready.clone());
                Action::StartSuccessor(why, successor_ready)
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
mod tests {
    use super::*;
    use serde_json::json;

    fn shared() -> crate::shared::Shared {
        let settings = json!({
            "lanes": [], "zones": ["a"],
            "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "rampTimeNs": 1},
            "specifics": {"mostWaiting": 1, "egressPerS": 1.0, "pushDelayNs": 1, "overhead": 1.0,
                "reportEveryNs": 1, "ingestRate": 1.0},
            "limits": {"connIdleNs": 1}});
        let deployment = dahliapoint_opening::parse_deployment(&settings).unwrap();
        let at = "127.0.0.1:1".parse().unwrap();
        SharedState::new(at, at, deployment, 0, 1)
    }

    #[test]
    fn successor_starts_once_and_replaces_the_stream_when_ready() {
        let (hour, shared) = (Duration::from_secs(3600), shared());
        let cases = [
            (hour, false, None),
            (hour, true, Some("address changed")),
            (Duration::ZERO, false, Some("silent")),
            (Duration::ZERO, true, Some("address changed")),
        ];
        for (case, (silent_after, address_changes, expected)) in cases.into_iter().enumerate() {
            let mut failover = Failover::new(shared.addresses(), silent_after, Duration::ZERO);
            let mut not_ready = Failover::new(shared.addresses(), silent_after, Duration::ZERO);
            for f in [&mut failover, &mut not_ready] {
                f.last_data = Instant::now() - Duration::from_millis(1);
            }
            if address_changes {
                // A changed address counts even while the stream keeps receiving data.
                let other = format!("127.0.0.1:{}", 2 + case).parse().unwrap();
                assert!(shared.set_addresses(other, other));
            }
            // A stream that is not ready ends without a successor.
            match (expected, not_ready.next_action(&shared, false)) {
                (None, Action::Continue) => {}
                (Some(expected), Action::Retry(why)) => assert_eq!(why, expected),
                other => panic!("{other:?}"),
            }
            assert!(!not_ready.has_successor());
            let action = failover.next_action(&shared, true);
            assert!(
                matches!(failover.next_action(&shared, true), Action::Continue)
                    && !failover.should_end()
            );
            match (expected, action) {
                (None, Action::Continue) => {}
                (Some(expected), Action::StartSuccessor(why, ready)) => {
                    assert_eq!(why, expected);
                    ready.store(true, Ordering::Release);
                    assert!(failover.should_end() && failover.has_successor());
                }
                other => panic!("{other:?}"),
            }
        }
    }

    #[test]
    fn stream_goes_on_for_the_overlap_after_its_successor_is_ready() {
        let shared = shared();
        let hour = Duration::from_secs(3600);
        let mut failover = Failover::new(shared.addresses(), Duration::ZERO, hour);
        failover.last_data = Instant::now() - Duration::from_millis(1);
        let Action::StartSuccessor(_, ready) = failover.next_action(&shared, true) else {
            panic!("a silent stream gets a successor");
        };
        ready.store(true, Ordering::Release);
        assert!(!failover.should_end());
        failover.overlap = Duration::ZERO;
        assert!(failover.should_end());
        // The successor has failed since: it was ready once, and retries on its own.
        ready.store(false, Ordering::Release);
        assert!(failover.should_end());
    }
}
