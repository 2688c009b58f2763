//! Quantiles that can be merged: buckets whose bounds grow by a fixed factor, so that any quantile is off
//! by at most [`RELATIVE_ERROR`] of itself, whatever the order of what came and of what was merged.

/// A quantile lies within this share of the true one.
pub const RELATIVE_ERROR: f64 = 0.02;
/// Times below this are one bucket.
const LEAST: f64 = 0.01;
/// Buckets that one sketch may have: from 10 microseconds to over three hours.
const MOST: i32 = 520;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuantileSketch {
    /// Bucket and weight, in the order of buckets.
    counts: Vec<(i32, f64)>,
}

fn growth() -> f64 {
    (1.0 + RELATIVE_ERROR) / (1.0 - RELATIVE_ERROR)
}

fn bucket(value: f64) -> i32 {
    let at = (value.max(LEAST) / LEAST).ln() / growth().ln();
    (at.ceil() as i32).clamp(0, MOST)
}

impl QuantileSketch {
    /// Adds a value that stands for so many.
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

    pub fn weight(&self) -> f64 {
        self.counts.iter().map(|(_, w)| w).sum()
    }

    /// The value that this share of the weight lies at or below; none if it is empty.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let wanted = self.weight() * share.clamp(0.0, 1.0);
        let mut seen = 0.0;
        for (bucket, weight) in &self.counts {
            seen += weight;
            if seen >= wanted {
                let upper = LEAST * growth().powi(*bucket);
                return Some(upper * (1.0 - RELATIVE_ERROR));
            }
        }
        let last = self.counts.last()?;
        Some(LEAST * growth().powi(last.0) * (1.0 - RELATIVE_ERROR))
    }

    /// Buckets in use.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
