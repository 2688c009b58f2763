//! What is read when more came than can be. A line is kept with a chance that grows with what it says,
//! and what is kept stands for what is not: sums over lines stay true on average, and their variance is
//! carried along.
//!
//! The rule, read aloud: half of the room is shared by reporters alike, the other half by servers alike;
//! what one does not use goes to the others. In each share a line of at least the threshold is kept, a
//! smaller one with the chance of its size over the threshold; the better of its two chances counts, and it
//! then stands for so many. So no server and no reporter goes unheard, and a loud one takes nothing from
//! the quiet.

/// Multiply with carry: numbers from 0 to 1, from a seed.
#[derive(Clone, Debug)]
pub struct Rng(u32, u32);

impl Rng {
    pub fn from_seed(seed: u64) -> Rng {
        Rng(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    pub fn next_f64(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / (f64::from(u32::MAX) + 1.0)
    }
}

/// The quota of lines that all who want more get, so that no more than `room` are read: the level that
/// fills the room, by what each wants.
pub fn quota(wanted: &[usize], room: usize) -> usize {
    let mut sorted: Vec<usize> = wanted.to_vec();
    sorted.sort_unstable();
    let (mut left, mut many) = (room, sorted.len());
    for want in sorted {
        if want * many > left {
            return left / many;
        }
        left -= want;
        many -= 1;
    }
    usize::MAX
}

/// The threshold that leaves, on average, so many lines of these sizes; 0: all are kept.
pub fn threshold(sizes: &[f64], keep: usize) -> f64 {
    if sizes.len() <= keep {
        return 0.0;
    }
    let mut sorted: Vec<f64> = sizes.iter().map(|s| s.max(0.0)).collect();
    sorted.sort_unstable_by(|a, b| b.total_cmp(a));
    let mut rest: f64 = sorted.iter().sum();
    // The largest are kept surely; the threshold makes the chances of the rest add up to what is left.
    for (sure, size) in sorted.iter().enumerate() {
        let left = keep.saturating_sub(sure);
        if left == 0 {
            return f64::INFINITY;
        }
        let level = rest / left as f64;
        if *size <= level {
            return level;
        }
        rest -= size;
    }
    0.0
}

/// The chance with which a line of that size is kept, by a threshold.
pub fn keep_probability(size: f64, threshold: f64) -> f64 {
    match size >= threshold {
        true => 1.0,
        false if threshold.is_finite() => (size / threshold).max(0.0),
        false => 0.0,
    }
}

/// A line's fate with a chance: the factor that its counts are taken with, and the variance that this
/// brings to its size; none if it is not read.
pub fn sample(size: f64, odds: f64, chance: &mut Rng) -> Option<(f64, f64)> {
    if odds >= 1.0 {
        return Some((1.0, 0.0));
    }
    // Unbiased for the variance of the sum: what was kept stands for what was not there too.
    let kept = size > 0.0 && chance.next_f64() < odds;
    kept.then(|| (1.0 / odds, size * size * (1.0 - odds) / (odds * odds)))
}
