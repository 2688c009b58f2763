//! Weights nearest to the wanted ones under which no server's share is beyond its cap.
//!
//! Who is not capped keeps the wanted weight, so that only capped lines change; a capped one gets exactly its
//! cap's share of the sum. The sum S solves S = U + C * S, where U is what uncapped servers want and C the caps
//! of the others; a server is capped when its weight over its cap is more than S. Sorted by that ratio, the
//! capped ones are a prefix, and S falls with each server that is capped until the next ratio is no more than it.

/// A server's wanted weight, and the most that its share may be (1 or more: no cap).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub weight: f64,
    pub cap: f64,
}

/// The weights, in the same order; nothing if no weights keep all caps (they sum up to less than 1 and nobody
/// is left without one). Weights are not negative, at least one is positive.
pub fn apply_caps(wanted: &[Share]) -> Option<Vec<f64>> {
    let ratio = |s: &Share| s.weight / s.cap.max(f64::MIN_POSITIVE);
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    // The same ratios keep their order: the same inputs give the same weights.
    order.sort_by(|a, b| {
        let by = ratio(&wanted[*b]).total_cmp(&ratio(&wanted[*a]));
        by.then(a.cmp(b))
    });
    // What is free once so many are capped, summed from the small end: no difference of nearly equal sums.
    let mut free = vec![0.0; order.len() + 1];
    for (i, at) in order.iter().enumerate().rev() {
        free[i] = free[i + 1] + wanted[*at].weight;
    }
    let (mut caps, mut sum, mut many) = (0.0, free[0], 0);
    for at in &order {
        let s = &wanted[*at];
        if s.weight <= s.cap * sum * (1.0 + 1e-12) {
            break;
        }
        caps += s.cap;
        many += 1;
        if free[many] <= 0.0 || caps >= 1.0 - 1e-9 {
            return None;
        }
        sum = free[many] / (1.0 - caps);
    }
    let mut out: Vec<f64> = wanted.iter().map(|s| s.weight).collect();
    for at in &order[..many] {
        out[*at] = wanted[*at].cap * sum;
    }
    (sum > 0.0).then_some(out)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn share(weight: f64, cap: f64) -> Share {
        Share { weight, cap }
    }

    #[test]
    fn small_cases() {
        type Case = (&'static str, Vec<Share>, Option<Vec<f64>>);
        let cases: [Case; 7] = [
            (
                "no cap binds",
                vec![share(1.0, 1.0), share(1.0, 0.5)],
                Some(vec![1.0, 1.0]),
            ),
            (
                "one is capped",
                vec![share(1.0, 1.0), share(1.0, 0.2)],
                Some(vec![1.0, 0.25]),
            ),
            (
                "one pulls the next",
                vec![share(1.0, 1.0), share(8.0, 0.3), share(1.0, 0.2)],
                Some(vec![1.0, 0.6, 0.4]),
            ),
            (
                "a cap of nothing",
                vec![share(1.0, 1.0), share(1.0, 0.0)],
                Some(vec![1.0, 0.0]),
            ),
            (
                "nothing keeps them",
                vec![share(1.0, 0.4), share(1.0, 0.4)],
                None,
            ),
            (
                "nobody else wants",
                vec![share(0.0, 1.0), share(1.0, 0.4)],
                None,
            ),
            (
                "10,000 beside 1",
                vec![share(1.0, 1.0), share(10_000.0, 0.5)],
                Some(vec![1.0, 1.0]),
            ),
        ];
        for (name, wanted, out) in cases {
            let found = apply_caps(&wanted);
            let near =
                |a: &Vec<f64>, b: &Vec<f64>| a.iter().zip(b).all(|(a, b)| (a - b).abs() < 1e-9);
            let same = match (&found, &out) {
                (Some(a), Some(b)) => near(a, b),
                (a, b) => a == b,
            };
            assert!(same, "{name}: {found:?}");
        }
    }

    /// Plain and slow: the sum is found by halving.
    fn halved(wanted: &[Share]) -> Vec<f64> {
        let sum = |s: f64| wanted.iter().map(|w| w.weight.min(w.cap * s)).sum::<f64>();
        let (mut low, mut high) = (0.0, wanted.iter().map(|w| w.weight).sum::<f64>());
        for _ in 0..200 {
            let mid = (low + high) / 2.0;
            if sum(mid) >= mid {
                low = mid
            } else {
                high = mid
            }
        }
        wanted.iter().map(|w| w.weight.min(w.cap * high)).collect()
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn it_finds_what_halving_finds(drawn in proptest::collection::vec((0_u32..50, 0_u32..12), 1..12)) {
            let wanted: Vec<Share> = drawn.iter()
                .map(|(w, c)| share(f64::from(*w), if *c > 9 { 1.0 } else { f64::from(*c) / 10.0 }))
                .collect();
            let slow = halved(&wanted);
            let sum: f64 = slow.iter().sum();
            match apply_caps(&wanted) {
                Some(fast) => {
                    let all: f64 = fast.iter().sum();
                    for (f, w) in fast.iter().zip(&wanted) {
                        prop_assert!(*f <= w.weight + 1e-9 && *f <= w.cap * all + 1e-9, "{:?} {:?}", wanted, fast);
                    }
                    // Where the caps sum up to exactly 1 many sums solve it, and halving finds the least.
                    let caps: f64 = wanted.iter().filter(|w| w.weight > 0.0).map(|w| w.cap).sum();
                    let off = caps > 1.0 + 1e-9 && fast.iter().zip(&slow).any(|(a, b)| (a - b).abs() > 1e-6 * all.max(1.0));
                    prop_assert!(!off, "{:?}: {:?} {:?}", wanted, fast, slow);
                }
                None => prop_assert!(sum < 1e-6 || wanted.iter().map(|w| w.cap).sum::<f64>() <= 1.0 + 1e-6, "{:?}: {:?}", wanted, slow),
            }
        }
    }
}
