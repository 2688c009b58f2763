//! A rate-limited log: a repeated fault is logged once, then again with its count after an interval.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The interval in which a fault of one kind is logged at most once.
const AGAIN: Duration = Duration::from_secs(10);
/// Lines of all kinds in one interval.
const MOST_LINES: u32 = 200;

#[derive(Default)]
struct State {
    /// By kind of fault: when it was last logged, and how often it happened since.
    kinds: BTreeMap<&'static str, (Instant, u64)>,
    /// The start of the current interval.
    since: Option<Instant>,
    /// Lines in the current interval, including dropped ones.
    lines: u32,
    /// Lines dropped in the current interval.
    left_out: u64,
}

/// A log with a limit on lines per interval.
#[derive(Default)]
pub struct Teller(Mutex<State>);

impl Teller {
    /// Counts a line and returns whether it may be written.
    fn room(state: &mut State) -> bool {
        let now = Instant::now();
        if state.since.is_none_or(|at| now - at >= AGAIN) {
            if state.left_out > 0 {
                tracing::warn!(lines = state.left_out, "the log was full: lines left out");
            }
            (state.since, state.lines, state.left_out) = (Some(now), 0, 0);
        }
        state.lines += 1;
        let room = state.lines <= MOST_LINES;
        state.left_out += u64::from(!room);
        room
    }

    /// Logs a message for operators.
    pub fn note(&self, text: &str) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if Teller::room(&mut state) {
            tracing::info!("{text}");
        }
    }

    /// Logs a fault. The first of its kind is logged at once; those in the interval after it are
    /// counted, and the count appears in the next line of that kind.
    pub fn fault(&self, kind: &'static str, detail: impl FnOnce() -> String) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let told = state.kinds.get(kind).copied();
        match told {
            Some((at, count)) if now - at < AGAIN => {
                state.kinds.insert(kind, (at, count + 1));
            }
            _ => {
                state.kinds.insert(kind, (now, 0));
                let more = told.map_or(0, |(_, count)| count);
                if Teller::room(&mut state) {
                    tracing::warn!(more, "{kind}: {}", detail());
                }
            }
        }
    }
}
