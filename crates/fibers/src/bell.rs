//! A wake-up signal from many notifiers to one waiter.

use crate::waiting::Watched;
use std::time::Instant;

/// Wakes one waiter. A notification is stored until the next wait; several before it count as one.
pub struct Notify(Watched<bool>);

impl Default for Notify {
    fn default() -> Notify {
        crate::set_up();
        Notify(Watched::new(false))
    }
}

impl Notify {
    /// Wakes the waiter, or lets its next wait return at once.
    pub fn notify(&self) {
        self.0.change(|rung| *rung = true);
    }

    /// Waits for a notification until a deadline; returns whether one came.
    pub fn wait(&self, until: Option<Instant>) -> bool {
        let rung = |rung: &mut bool| std::mem::take(rung).then_some(());
        self.0.until(until, rung).is_some()
    }
}
