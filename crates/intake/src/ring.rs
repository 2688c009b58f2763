//! Fixed buckets of time in a ring: what was met in each, used again when the time has come round.

/// Buckets of a ring.
pub const BUCKETS: usize = 32;

/// Something that can be added up.
pub trait Accumulate: Clone + Default {
    fn add(&mut self, other: &Self);
}

#[derive(Clone, Debug)]
pub struct Ring<T> {
    bucket_ms: f64,
    /// The number of the bucket that each slot holds, and what is in it.
    slots: Vec<(u64, T)>,
}

impl<T: Accumulate> Ring<T> {
    pub fn new(bucket_ms: f64) -> Ring<T> {
        Ring {
            bucket_ms,
            slots: vec![(u64::MAX, T::default()); BUCKETS],
        }
    }

    /// The bucket that a time falls into.
    pub fn bucket(&self, at: f64) -> u64 {
        (at.max(0.0) / self.bucket_ms) as u64
    }

    /// What lies longer ago than the ring reaches.
    pub fn is_expired(&self, now: f64, at: f64) -> bool {
        self.bucket(at) + BUCKETS as u64 <= self.bucket(now)
    }

    /// Adds to the bucket of a time; false if that is past, or ahead of now.
    pub fn add(&mut self, now: f64, at: f64, what: &T) -> bool {
        let bucket = self.bucket(at);
        if self.is_expired(now, at) || bucket > self.bucket(now) {
            return false;
        }
        let slot = &mut self.slots[bucket as usize % BUCKETS];
        if slot.0 != bucket {
            *slot = (bucket, T::default());
        }
        slot.1.add(what);
        true
    }

    /// The sum over a span of whole buckets that ends so many buckets before the one that is filling.
    pub fn sum(&self, now: f64, span_ms: f64, back: u64) -> T {
        let many = (span_ms / self.bucket_ms).round().max(1.0) as u64;
        let end = self.bucket(now).saturating_sub(back);
        let within = end.saturating_sub(many)..end;
        let mut sum = T::default();
        let there = self.slots.iter().filter(|(n, _)| within.contains(n));
        there.for_each(|(_, what)| sum.add(what));
        sum
    }

    /// The end of the newest bucket that holds anything.
    pub fn newest(&self, now: f64) -> Option<f64> {
        let newest = self.bucket(now);
        let numbers = self.slots.iter().map(|(n, _)| *n);
        let last = numbers.filter(|n| *n <= newest).max()?;
        Some(((last + 1) as f64 * self.bucket_ms).min(now))
    }
}
