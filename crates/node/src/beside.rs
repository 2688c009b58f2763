//! One stream beside another: a stream that serves and falls silent, or whose address is replaced, gets a
//! successor, and ends only once that one serves. Nothing is missed between the two. One that does not
//! serve yet gets none: it ends by itself and is begun anew, so that however long a silence lasts there
//! are two.

use crate::reach::{Addresses, Reach};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A silent stream whose successor does no better is kept for so long: what it missed may still come.
const GIVEN_UP: Duration = Duration::from_secs(20);

/// Set by a stream once it serves.
pub type Serves = Arc<AtomicBool>;

pub struct Beside {
    at: Addresses,
    silent_after: Duration,
    /// For how long it goes on once its successor serves.
    lag: Duration,
    heard: Instant,
    successor: Option<Serves>,
    succeeded: Option<Instant>,
}

impl Beside {
    /// For a stream that began now, at these addresses.
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

    pub fn heard(&mut self) {
        self.heard = Instant::now();
    }

    pub fn is_silent(&self) -> bool {
        self.heard.elapsed() > self.silent_after
    }

    /// The configuration names other addresses than this stream's.
    pub fn is_moved(&self, reach: &Reach) -> bool {
        reach.addresses().turn != self.at.turn
    }

    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// The successor serves for as long as this one may lag behind it, or is no better and this one
    /// was silent for too long.
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

    /// What is due now for a stream that serves or does not yet.
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

/// What is due for a stream, and why.
#[derive(Debug)]
pub enum Due {
    Nothing,
    /// A successor, once, and what it sets when it serves.
    Successor(&'static str, Serves),
    /// It never served: it ends, and is begun anew.
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
                // Also while the old stream is never quiet: nothing here waits for a pause in it.
                let other = format!("127.0.0.1:{}", 2 + case).parse().unwrap();
                assert!(reach.moved(other, other));
            }
            // One that does not serve yet ends, and begins no other.
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
        // The successor broke since: it served all the same, and its own seat is seen to by itself.
        serves.store(false, Ordering::Release);
        assert!(beside.is_over());
    }
}
