//! A bell: rung by many, waited for by one; a ring while nobody waits is kept.

use crate::waiting::Watched;
use std::time::Instant;

pub struct Bell(Watched<bool>);

impl Default for Bell {
    fn default() -> Bell {
        crate::set_up();
        Bell(Watched::new(false))
    }
}

impl Bell {
    pub fn ring(&self) {
        self.0.change(|rung| *rung = true);
    }

    /// Waits until it is rung, or until that time; tells whether it was.
    pub fn wait(&self, until: Option<Instant>) -> bool {
        let rung = |rung: &mut bool| std::mem::take(rung).then_some(());
        self.0.until(until, rung).is_some()
    }
}
