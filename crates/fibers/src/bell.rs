//! A bell: rung by many, waited for by one; a ring while nobody waits is kept.

use may::sync::{Condvar, Mutex};
use std::time::Instant;

pub struct Bell {
    rung: Mutex<bool>,
    came: Condvar,
}

impl Default for Bell {
    fn default() -> Bell {
        crate::set_up();
        Bell {
            rung: Mutex::new(false),
            came: Condvar::new(),
        }
    }
}

impl Bell {
    pub fn ring(&self) {
        *self.rung.lock().unwrap_or_else(|e| e.into_inner()) = true;
        self.came.notify_one();
    }

    /// Waits until it is rung, or until that time; tells whether it was.
    pub fn wait(&self, until: Option<Instant>) -> bool {
        let mut rung = self.rung.lock().unwrap_or_else(|e| e.into_inner());
        while !*rung {
            match until {
                None => rung = self.came.wait(rung).unwrap_or_else(|e| e.into_inner()),
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return false;
                    }
                    let waited = self.came.wait_timeout(rung, left.max(crate::LEAST_WAIT));
                    rung = waited.unwrap_or_else(|e| e.into_inner()).0;
                }
            }
        }
        *rung = false;
        true
    }
}
