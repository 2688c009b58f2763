//! Coordinates process exit with writes to the relay, so that a call is written whole or not at all.

use dahliapoint_fibers::Notify;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

const WRITING: u8 = 1;
const ENDING: u8 = 2;

/// Shared by one writer and the thread that ends the process.
#[derive(Default)]
pub struct Shutdown {
    state: AtomicU8,
    written: Notify,
}

impl Shutdown {
    /// Starts a write. Returns false if the process is ending or another write is in progress.
    pub fn try_begin_write(&self) -> bool {
        let begun = self
            .state
            .compare_exchange(0, WRITING, Ordering::AcqRel, Ordering::Acquire);
        begun.is_ok()
    }

    /// Ends a write and wakes the thread that waits for it.
    pub fn end_write(&self) {
        if self.state.fetch_and(!WRITING, Ordering::AcqRel) & ENDING != 0 {
            self.written.notify();
        }
    }

    /// Prevents further writes and waits for the one in progress, until a deadline.
    pub fn begin(&self, until: Instant) {
        if self.state.fetch_or(ENDING, Ordering::AcqRel) & WRITING != 0 {
            self.written.wait(Some(until));
        }
    }
}
