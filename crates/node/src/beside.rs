//! One stream beside another: a stream that falls silent, or whose address is replaced, gets a
//! successor, and ends only once that one serves. Nothing is missed between the two.

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
    heard: Instant,
    successor: Option<Serves>,
}

impl Beside {
    /// For a stream that began now, at these addresses.
    pub fn of(at: Addresses, silent_after: Duration) -> Beside {
        Beside {
            at,
            silent_after,
            heard: Instant::now(),
            successor: None,
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

    /// The successor serves, or is no better and this one was silent for too long.
    pub fn is_over(&self) -> bool {
        let serves = |s: &Serves| s.load(Ordering::Acquire);
        let over = |s| serves(s) || self.heard.elapsed() > GIVEN_UP;
        self.successor.as_ref().is_some_and(over)
    }

    /// A successor is due, once: why, and what it sets when it serves.
    pub fn due(&mut self, reach: &Reach) -> Option<(&'static str, Serves)> {
        let why = match (self.is_moved(reach), self.is_silent()) {
            (true, _) => "other address",
            (false, true) => "silent",
            (false, false) => return None,
        };
        if self.successor.is_some() {
            return None;
        }
        let serves = Serves::default();
        self.successor = Some(serves.clone());
        Some((why, serves))
    }
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
        let told = dahliapoint_opening::deployment(&settings).unwrap();
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
            let mut beside = Beside::of(reach.addresses(), silent_after);
            beside.heard = Instant::now() - Duration::from_millis(1);
            if moves {
                // Also while the old stream is never quiet: nothing here waits for a pause in it.
                let other = format!("127.0.0.1:{}", 2 + case).parse().unwrap();
                assert!(reach.moved(other, other));
            }
            let due = beside.due(&reach);
            assert_eq!(due.as_ref().map(|d| d.0), wanted);
            assert!(beside.due(&reach).is_none() && !beside.is_over());
            if let Some((_, serves)) = due {
                serves.store(true, Ordering::Release);
                assert!(beside.is_over() && beside.has_successor());
            }
        }
    }
}
