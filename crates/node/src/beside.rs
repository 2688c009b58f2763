//! Failover of a stream. When a ready stream falls silent or its address is replaced, a successor is
//! started next to it, and the old stream ends only once the successor is ready, so that nothing is
//! missed in between. A stream that is not ready yet gets no successor: it ends and is retried, so
//! that there are at most two streams however long a silence lasts.

use crate::reach::{Addresses, Reach};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a silent stream is kept while its successor is not ready either: its delayed data may
/// still arrive.
const GIVEN_UP: Duration = Duration::from_secs(20);

/// The ready flag that a stream sets once it delivers data.
pub type Serves = Arc<AtomicBool>;

/// Decides for one stream when it needs a successor and when it ends.
pub struct Beside {
    /// The addresses when the stream was started.
    at: Addresses,
    silent_after: Duration,
    /// How long the stream goes on once its successor is ready.
    lag: Duration,
    /// When data last arrived.
    heard: Instant,
    /// The successor's ready flag.
    successor: Option<Serves>,
    /// When the successor was first seen ready.
    succeeded: Option<Instant>,
}

impl Beside {
    /// For a stream that starts now at these addresses.
    pub fn of(at: Addresses, silent_after: Duration, lag: Duration) -> Beside {
        Beside {
            at,
            silent_after,
            lag,
            heard: Instant::now(),
            successor: None,
            succeeded: None,
        }
    }

    /// Records that data arrived.
    pub fn heard(&mut self) {
        self.heard = Instant::now();
    }

    /// Whether no data arrived for `silent_after`.
    pub fn is_silent(&self) -> bool {
        self.heard.elapsed() > self.silent_after
    }

    /// Whether the configuration changed the addresses since the stream started.
    pub fn is_moved(&self, reach: &Reach) -> bool {
        reach.addresses().turn != self.at.turn
    }

    /// Whether a successor was started.
    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether the stream should end: its successor has been ready for `lag`, or it has a successor
    /// and was silent for `GIVEN_UP`.
    pub fn is_over(&mut self) -> bool {
        let Some(successor) = &self.successor else {
            return false;
        };
        if successor.load(Ordering::Acquire) {
            self.succeeded.get_or_insert_with(Instant::now);
        }
        let succeeded = self.succeeded.is_some_and(|at| at.elapsed() >= self.lag);
        succeeded || self.heard.elapsed() > GIVEN_UP
    }

    /// Decides what to do with the stream now; `serves` is its own ready flag.
    pub fn due(&mut self, reach: &Reach, serves: bool) -> Due {
        let why = match (self.is_moved(reach), self.is_silent()) {
            (true, _) => "other address",
            (false, true) => "silent",
            (false, false) => return Due::Nothing,
        };
        match (serves, self.has_successor()) {
            (_, true) => Due::Nothing,
            (false, false) => Due::End(why),
            (true, false) => {
                let serves = Serves::default();
                self.successor = Some(serves.clone());
                Due::Successor(why, serves)
            }
        }
    }
}

/// What to do with a stream, and why.
#[derive(Debug)]
pub enum Due {
    Nothing,
    /// Start a successor with this ready flag; returned once per stream.
    Successor(&'static str, Serves),
    /// End and retry the stream, which never became ready.
    End(&'static str),
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn reach() -> crate::reach::Shared {
        let settings = json!({
            "lanes": [], "zones": ["a"],
            "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "rampTimeNs": 1},
            "specifics": {"mostWaiting": 1, "egressPerS": 1.0, "pushDelayNs": 1, "overhead": 1.0,
                "reportEveryNs": 1, "ingestRate": 1.0},
            "limits": {"connIdleNs": 1}});
        let told = dahliapoint_opening::parse_deployment(&settings).unwrap();
        let at = "127.0.0.1:1".parse().unwrap();
        Reach::new(at, at, told, 0, 1)
    }

    #[test]
    fn a_successor_is_due_once_and_ends_the_other_when_it_serves() {
        let (hour, reach) = (Duration::from_secs(3600), reach());
        let cases = [
            (hour, false, None),
            (hour, true, Some("other address")),
            (Duration::ZERO, false, Some("silent")),
            (Duration::ZERO, true, Some("other address")),
        ];
        for (case, (silent_after, moves, wanted)) in cases.into_iter().enumerate() {
            let mut beside = Beside::of(reach.addresses(), silent_after, Duration::ZERO);
            let mut fresh = Beside::of(reach.addresses(), silent_after, Duration::ZERO);
            for b in [&mut beside, &mut fresh] {
                b.heard = Instant::now() - Duration::from_millis(1);
            }
            if moves {
                // A changed address counts even while the stream keeps receiving data.
                let other = format!("127.0.0.1:{}", 2 + case).parse().unwrap();
                assert!(reach.moved(other, other));
            }
            // A stream that is not ready ends without a successor.
            match (wanted, fresh.due(&reach, false)) {
                (None, Due::Nothing) => {}
                (Some(wanted), Due::End(why)) => assert_eq!(why, wanted),
                other => panic!("{other:?}"),
            }
            assert!(!fresh.has_successor());
            let due = beside.due(&reach, true);
            assert!(matches!(beside.due(&reach, true), Due::Nothing) && !beside.is_over());
            match (wanted, due) {
                (None, Due::Nothing) => {}
                (Some(wanted), Due::Successor(why, serves)) => {
                    assert_eq!(why, wanted);
                    serves.store(true, Ordering::Release);
                    assert!(beside.is_over() && beside.has_successor());
                }
                other => panic!("{other:?}"),
            }
        }
    }

    #[test]
    fn a_stream_goes_on_for_as_long_as_it_may_lag_behind_its_successor() {
        let reach = reach();
        let hour = Duration::from_secs(3600);
        let mut beside = Beside::of(reach.addresses(), Duration::ZERO, hour);
        beside.heard = Instant::now() - Duration::from_millis(1);
        let Due::Successor(_, serves) = beside.due(&reach, true) else {
            panic!("a silent one gets a successor");
        };
        serves.store(true, Ordering::Release);
        assert!(!beside.is_over());
        beside.lag = Duration::ZERO;
        assert!(beside.is_over());
        // The successor has failed since: it was ready once, and retries on its own.
        serves.store(false, Ordering::Release);
        assert!(beside.is_over());
    }
}
