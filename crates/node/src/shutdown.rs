//! The end of the process: what is being written to the relay leaves whole or not at all.

use dahliapoint_fibers::Notify;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

const WRITING: u8 = 1;
const ENDING: u8 = 2;

/// One writer, and one who ends the process.
#[derive(Default)]
pub struct Shutdown {
    state: AtomicU8,
    written: Notify,
}

impl Shutdown {
    /// A write may begin; not once the process is ending.
    pub fn try_begin_write(&self) -> bool {
        let begun = self
            .state
            .compare_exchange(0, WRITING, Ordering::AcqRel, Ordering::Acquire);
        begun.is_ok()
    }

    pub fn end_write(&self) {
        if self.state.fetch_and(!WRITING, Ordering::AcqRel) & ENDING != 0 {
            self.written.notify();
        }
    }

    /// No further write begins; waits for the one under way, up to that time.
    pub fn begin(&self, until: Instant) {
        if self.state.fetch_or(ENDING, Ordering::AcqRel) & WRITING != 0 {
            self.written.wait(Some(until));
        }
    }
}
