//! A limit on the bytes of unfinished messages that all calls of a server hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A message with fewer bytes may be completed even beyond the limit, so that large ones block no others.
const ALWAYS_ALLOWED_BYTES: usize = 16 << 10;

/// The bytes that all calls hold, and their limit.
pub(crate) struct UnfinishedBytes {
    held: AtomicUsize,
    max: usize,
}

impl UnfinishedBytes {
    /// Nothing held yet.
    pub(crate) fn new(max: usize) -> Arc<UnfinishedBytes> {
        let held = AtomicUsize::new(0);
        Arc::new(UnfinishedBytes { held, max })
    }
}

/// The share of one call; released when it is dropped.
pub(crate) struct HeldBytes {
    total: Arc<UnfinishedBytes>,
    bytes: usize,
}

impl HeldBytes {
    /// A call that holds nothing yet.
    pub(crate) fn new(total: Arc<UnfinishedBytes>) -> HeldBytes {
        HeldBytes { total, bytes: 0 }
    }

    /// Records how much the call holds now. Returns whether it may.
    pub(crate) fn set(&mut self, bytes: usize) -> bool {
        self.total.held.fetch_add(bytes, Ordering::AcqRel);
        let before = std::mem::replace(&mut self.bytes, bytes);
        let total = self.total.held.fetch_sub(before, Ordering::AcqRel) - before;
        bytes <= ALWAYS_ALLOWED_BYTES || total <= self.total.max
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
