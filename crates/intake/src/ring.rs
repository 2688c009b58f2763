//! A ring of fixed-width time buckets; a slot is reused once its bucket has expired.

/// Number of buckets in a ring.
pub const BUCKETS: usize = 32;

/// A value that can be summed.
pub trait Accumulate: Clone + Default {
    /// Adds `other` to this value.
    fn add(&mut self, other: &Self);
}

/// Values by time bucket.
#[derive(Clone, Debug)]
pub struct Ring<T> {
    bucket_ms: f64,
    /// The bucket number held by each slot, and its value.
    slots: Vec<(u64, T)>,
}

impl<T: Accumulate> Ring<T> {
    /// Creates an empty ring with buckets of `bucket_ms`.
    pub fn new(bucket_ms: f64) -> Ring<T> {
        Ring {
            bucket_ms,
            slots: vec![(u64::MAX, T::default()); BUCKETS],
        }
    }

    /// The number of the bucket that a time falls into.
    pub fn bucket(&self, at: f64) -> u64 {
        (at.max(0.0) / self.bucket_ms) as u64
    }

    /// Whether a time is further back than the ring reaches.
    pub fn is_expired(&self, now: f64, at: f64) -> bool {
        self.bucket(at) + BUCKETS as u64 <= self.bucket(now)
    }

    /// Adds a value to the bucket of a time. Returns `false` if that time has expired or is after
    /// `now`.
    pub fn add(&mut self, now: f64, at: f64, value: &T) -> bool {
        let bucket = self.bucket(at);
        if self.is_expired(now, at) || bucket > self.bucket(now) {
            return false;
        }
        let slot = &mut self.slots[bucket as usize % BUCKETS];
        if slot.0 != bucket {
            *slot = (bucket, T::default());
        }
        slot.1.add(value);
        true
    }

    /// Sums the whole buckets of a span that ends `back` buckets before the current one.
    pub fn sum(&self, now: f64, span_ms: f64, back: u64) -> T {
        let count = (span_ms / self.bucket_ms).round().max(1.0) as u64;
        let end = self.bucket(now).saturating_sub(back);
        let wanted = end.saturating_sub(count)..end;
        let mut sum = T::default();
        let slots_within = self.slots.iter().filter(|(n, _)| wanted.contains(n));
        slots_within.for_each(|(_, value)| sum.add(value));
        sum
    }

    /// The end of the newest bucket that holds a value.
    pub fn newest(&self, now: f64) -> Option<f64> {
        let newest = self.bucket(now);
        let numbers = self.slots.iter().map(|(n, _)| *n);
        let last = numbers.filter(|n| *n <= newest).max()?;
        Some(((last + 1) as f64 * self.bucket_ms).min(now))
    }
}
