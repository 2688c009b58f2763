//! A mergeable quantile sketch with geometrically growing buckets. Any quantile is within
//! [`RELATIVE_ERROR`] of the true one, whatever the order in which values are added and sketches
//! merged.

/// Maximum relative error of a quantile.
pub const RELATIVE_ERROR: f64 = 0.02;
/// Upper bound of the first bucket; smaller values go there too.
const MIN_VALUE: f64 = 0.01;
/// Highest bucket number; the buckets cover 10 microseconds to over three hours.
const MAX_BUCKET: i32 = 520;

/// Weights by bucket of values.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuantileSketch {
    /// Bucket number and weight, sorted by bucket.
    counts: Vec<(i32, f64)>,
}

/// Ratio of neighbouring bucket bounds.
fn growth() -> f64 {
    (1.0 + RELATIVE_ERROR) / (1.0 - RELATIVE_ERROR)
}

/// The number of the bucket that holds a value.
fn bucket(value: f64) -> i32 {
    let at = (value.max(MIN_VALUE) / MIN_VALUE).ln() / growth().ln();
    (at.ceil() as i32).clamp(0, MAX_BUCKET)
}

impl QuantileSketch {
    /// Adds a value with a weight. Values and weights that are not finite, and weights that are not
    /// positive, are ignored.
    pub fn add(&mut self, value: f64, weight: f64) {
        if !(value.is_finite() && weight.is_finite() && weight > 0.0) {
            return;
        }
        let bucket = bucket(value);
        match self.counts.binary_search_by_key(&bucket, |(b, _)| *b) {
            Ok(at) => self.counts[at].1 += weight,
            Err(at) => self.counts.insert(at, (bucket, weight)),
        }
    }

    /// Adds all values of another sketch.
    pub fn merge(&mut self, other: &QuantileSketch) {
        let mut merged = Vec::with_capacity(self.counts.len().max(other.counts.len()));
        let (mut a, mut b) = (
            self.counts.iter().peekable(),
            other.counts.iter().peekable(),
        );
        loop {
            match (a.peek(), b.peek()) {
                (Some(x), Some(y)) if x.0 == y.0 => {
                    merged.push((x.0, x.1 + y.1));
                    a.next();
                    b.next();
                }
                (Some(x), Some(y)) if x.0 > y.0 => merged.extend(b.next()),
                (Some(_), _) => merged.extend(a.next()),
                (None, Some(_)) => merged.extend(b.next()),
                (None, None) => break,
            }
        }
        self.counts = merged;
    }

    /// Total weight.
    pub fn weight(&self) -> f64 {
        self.counts.iter().map(|(_, w)| w).sum()
    }

    /// The value at or below which this share of the weight lies; `None` if the sketch is empty.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let wanted = self.weight() * share.clamp(0.0, 1.0);
        let mut seen = 0.0;
        for (bucket, weight) in &self.counts {
            seen += weight;
            if seen >= wanted {
                let upper = MIN_VALUE * growth().powi(*bucket);
                return Some(upper * (1.0 - RELATIVE_ERROR));
            }
        }
        let last = self.counts.last()?;
        Some(MIN_VALUE * growth().powi(last.0) * (1.0 - RELATIVE_ERROR))
    }

    /// Number of buckets in use.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no value was added.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
