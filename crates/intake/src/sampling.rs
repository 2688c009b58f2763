//! Samples report lines when more are pending than can be read. A line is kept with a probability
//! that grows with its size, and is scaled up to represent the lines left out: sums stay unbiased,
//! and their variance is carried along.
//!
//! Half of the capacity is divided evenly between reporters, the other half between servers; what
//! one does not use goes to the others. In each half, a line of at least the threshold is always
//! kept, a smaller one with probability size / threshold. The larger of a line's two probabilities
//! counts. Thus every server and every reporter is represented, and a busy one takes no capacity
//! from the others.

/// Seeded multiply-with-carry generator.
#[derive(Clone, Debug)]
pub struct Rng(u32, u32);

impl Rng {
    /// Creates a generator from a seed.
    pub fn from_seed(seed: u64) -> Rng {
        Rng(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    /// The next number, at least 0 and below 1.
    pub fn next_f64(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / (f64::from(u32::MAX) + 1.0)
    }
}

/// The maximum number of lines per claimant so that at most `capacity` lines are read in total,
/// given how many each wants (max-min fairness). `usize::MAX` if all fit.
pub fn quota(wanted: &[usize], capacity: usize) -> usize {
    let mut sorted: Vec<usize> = wanted.to_vec();
    sorted.sort_unstable();
    let (mut remaining, mut claimants) = (capacity, sorted.len());
    for want in sorted {
        if want * claimants > remaining {
            return remaining / claimants;
        }
        remaining -= want;
        claimants -= 1;
    }
    usize::MAX
}

/// The threshold that keeps `keep` lines of these sizes on average; 0 if all are kept.
pub fn threshold(sizes: &[f64], keep: usize) -> f64 {
    if sizes.len() <= keep {
        return 0.0;
    }
    let mut sorted: Vec<f64> = sizes.iter().map(|s| s.max(0.0)).collect();
    sorted.sort_unstable_by(|a, b| b.total_cmp(a));
    let mut rest: f64 = sorted.iter().sum();
    // The largest lines are always kept; the threshold makes the probabilities of the rest add up
    // to the remaining number.
    for (kept, size) in sorted.iter().enumerate() {
        let remaining = keep.saturating_sub(kept);
        if remaining == 0 {
            return f64::INFINITY;
        }
        let candidate = rest / remaining as f64;
        if *size <= candidate {
            return candidate;
        }
        rest -= size;
    }
    0.0
}

/// The probability with which a line of a size is kept.
pub fn keep_probability(size: f64, threshold: f64) -> f64 {
    match size >= threshold {
        true => 1.0,
        false if threshold.is_finite() => (size / threshold).max(0.0),
        false => 0.0,
    }
}

/// Keeps or drops a line at random: returns the factor to scale its counts with and the variance
/// that adds to its size, or `None` if it is dropped.
pub fn sample(size: f64, probability: f64, rng: &mut Rng) -> Option<(f64, f64)> {
    if probability >= 1.0 {
        return Some((1.0, 0.0));
    }
    // This variance estimate is unbiased: kept lines also represent the variance of dropped ones.
    let kept = size > 0.0 && rng.next_f64() < probability;
    kept.then(|| {
        (
            1.0 / probability,
            size * size * (1.0 - probability) / (probability * probability),
        )
    })
}
