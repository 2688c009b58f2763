//! Coordinates process exit with writes to the relay, so that a call is written whole or not at all.

use dahliapoint_fibers::Notify;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

/// Bit of the state: a write is in progress.
const WRITING: u8 = 1;
/// Bit of the state: the process is ending.
const ENDING: u8 = 2;

/// The state of a process exit, shared by one writer and the thread that ends the process.
#[derive(Default)]
pub struct Shutdown {
    state: AtomicU8,
    write_ended: Notify,
}

impl Shutdown {
    /// Starts a write. Returns false if the process is ending or another write is in progress.
    pub fn try_begin_write(&self) -> bool {
        let swapped = self
            .state
            .compare_exchange(0, WRITING, Ordering::AcqRel, Ordering::Acquire);
        swapped.is_ok()
    }

    /// Ends a write and wakes the thread that waits for it.
    pub fn end_write(&self) {
        if self.state.fetch_and(!WRITING, Ordering::AcqRel) & ENDING != 0 {
            self.write_ended.notify();
        }
    }

    /// Prevents further writes and waits for the one in progress, until a deadline.
    pub fn begin(&self, deadline: Instant) {
        if self.state.fetch_or(ENDING, Ordering::AcqRel) & WRITING != 0 {
            self.write_ended.wait(Some(deadline));
        }
    }
}
