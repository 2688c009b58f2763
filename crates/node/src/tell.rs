//! The log, bounded: a repeated fault is told once, and again with its count after a while.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A fault that goes on is told this often.
const AGAIN: Duration = Duration::from_secs(10);
/// Lines of any kind in that time.
const MOST_LINES: u32 = 200;

#[derive(Default)]
struct State {
    kinds: BTreeMap<&'static str, (Instant, u64)>,
    since: Option<Instant>,
    lines: u32,
    left_out: u64,
}

#[derive(Default)]
pub struct Teller(Mutex<State>);

impl Teller {
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

    /// What an operator may want to know of the course of things.
    pub fn note(&self, text: &str) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if Teller::room(&mut state) {
            tracing::info!("{text}");
        }
    }

    /// A fault of some kind: the first is told at once, the next ones as a count.
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
