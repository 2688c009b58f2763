//! A bell: rung by many, waited for by one; a ring while nobody waits is kept.

use crate::waiting::Watched;
use std::time::Instant;

pub struct Notify(Watched<bool>);

impl Default for Notify {
    fn default() -> Notify {
        crate::set_up();
        Notify(Watched::new(false))
    }
}

impl Notify {
    pub fn notify(&self) {
        self.0.change(|rung| *rung = true);
    }

    /// Waits until it is rung, or until that time; tells whether it was.
    pub fn wait(&self, until: Option<Instant>) -> bool {
        let rung = |rung: &mut bool| std::mem::take(rung).then_some(());
        self.0.until(until, rung).is_some()
    }
}
