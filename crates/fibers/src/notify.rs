//! A wake-up signal from many notifiers to one waiter.

use crate::monitor::Monitor;
use std::time::Instant;

/// Wakes one waiter. A notification is stored until the next wait; several before it count as one.
pub struct Notify(Monitor<bool>);

impl Default for Notify {
    fn default() -> Notify {
        crate::configure();
        Notify(Monitor::new(false))
    }
}

impl Notify {
    /// Wakes the waiter, or lets its next wait return at once.
    pub fn notify(&self) {
        self.0.update(|notified| *notified = true);
    }

    /// Waits for a notification until a deadline; returns whether one came.
    pub fn wait(&self, deadline: Option<Instant>) -> bool {
        let notified = |notified: &mut bool| std::mem::take(notified).then_some(());
        self.0.wait_until(deadline, notified).is_some()
    }
}
