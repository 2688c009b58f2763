//! A rate-limited log: a repeated fault is logged once, then again with its count after an interval.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The target of these log events, by which operators filter the log; independent of the module name.
const LOG_TARGET: &str = "dahliapoint_node::tell";
/// The interval in which a fault of one kind is logged at most once.
const INTERVAL: Duration = Duration::from_secs(10);
/// Lines of all kinds in one interval.
const LINES_PER_INTERVAL: u32 = 200;

/// The counts of one interval and the faults logged.
#[derive(Default)]
struct State {
    /// By kind of fault: when it was last logged, and how often it happened since.
    faults: BTreeMap<&'static str, (Instant, u64)>,
    /// The start of the current interval.
    interval_start: Option<Instant>,
    /// Lines in the current interval, including dropped ones.
    lines: u32,
    /// Lines dropped in the current interval.
    dropped_lines: u64,
}

/// A log with a limit on lines per interval.
#[derive(Default)]
pub struct RateLimitedLog(Mutex<State>);

impl RateLimitedLog {
    /// Counts a line and returns whether it may be written.
    fn allow_line(state: &mut State) -> bool {
        let now = Instant::now();
        if state.interval_start.is_none_or(|at| now - at >= INTERVAL) {
            if state.dropped_lines > 0 {
                tracing::warn!(
                    target: LOG_TARGET,
                    lines = state.dropped_lines,
                    "log limit reached, lines dropped"
                );
            }
            (state.interval_start, state.lines, state.dropped_lines) = (Some(now), 0, 0);
        }
        state.lines += 1;
        let allowed = state.lines <= LINES_PER_INTERVAL;
        state.dropped_lines += u64::from(!allowed);
        allowed
    }

    /// Logs a message for operators.
    pub fn info(&self, text: &str) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if RateLimitedLog::allow_line(&mut state) {
            tracing::info!(target: LOG_TARGET, "{text}");
        }
    }

    /// Logs a fault. The first of its kind is logged at once; those in the interval after it are
    /// counted, and the count appears in the next line of that kind.
    pub fn fault(&self, kind: &'static str, detail: impl FnOnce() -> String) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let last = state.faults.get(kind).copied();
        match last {
            Some((at, count)) if now - at < INTERVAL => {
                state.faults.insert(kind, (at, count + 1));
            }
            _ => {
                state.faults.insert(kind, (now, 0));
                let more = last.map_or(0, |(_, count)| count);
                if RateLimitedLog::allow_line(&mut state) {
                    tracing::warn!(target: LOG_TARGET, more, "{kind}: {}", detail());
                }
            }
        }
    }
}
