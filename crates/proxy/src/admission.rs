//! Admits a share of the visits of a class.

/// Admits a share of visits evenly: seven of any ten at a share of 0.7, whatever their order. A client that
/// retries after a refusal counts as a new visit.
#[derive(Clone, Debug)]
pub struct Admission {
    share: f64,
    /// Grows by the share with each visit; a visit is admitted when it reaches 1, which it then costs.
    credit: f64,
}

impl Admission {
    /// Admits all visits until a share is set.
    pub fn new() -> Admission {
        Admission {
            share: 1.0,
            credit: 0.0,
        }
    }

    /// Sets the share of visits to admit, clamped to 0..=1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Decides on the next visit.
    pub fn admits(&mut self) -> bool {
        if self.share >= 1.0 {
            return true;
        }
        self.credit += self.share;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}

impl Default for Admission {
    fn default() -> Admission {
        Admission::new()
    }
}
