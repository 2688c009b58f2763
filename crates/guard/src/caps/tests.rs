use super::*;
use proptest::prelude::*;

fn share(weight: f64, cap: f64) -> WantedWeight {
    WantedWeight { weight, cap }
}

#[test]
fn small_cases() {
    type Case = (&'static str, Vec<WantedWeight>, Option<Vec<f64>>);
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
            "capping one caps the next",
            vec![share(1.0, 1.0), share(8.0, 0.3), share(1.0, 0.2)],
            Some(vec![1.0, 0.6, 0.4]),
        ),
        (
            "a cap of 0",
            vec![share(1.0, 1.0), share(1.0, 0.0)],
            Some(vec![1.0, 0.0]),
        ),
        (
            "no weights keep the caps",
            vec![share(1.0, 0.4), share(1.0, 0.4)],
            None,
        ),
        (
            "no other server wants weight",
            vec![share(0.0, 1.0), share(1.0, 0.4)],
            None,
        ),
        (
            "weights of 10,000 and 1",
            vec![share(1.0, 1.0), share(10_000.0, 0.5)],
            Some(vec![1.0, 1.0]),
        ),
    ];
    for (name, wanted, expected) in cases {
        let found = apply_caps(&wanted);
        let near = |a: &Vec<f64>, b: &Vec<f64>| a.iter().zip(b).all(|(a, b)| (a - b).abs() < 1e-9);
        let same = match (&found, &expected) {
            (Some(a), Some(b)) => near(a, b),
            (a, b) => a == b,
        };
        assert!(same, "{name}: {found:?}");
    }
}

/// A slow reference implementation: finds the sum by bisection.
fn bisected(wanted: &[WantedWeight]) -> Vec<f64> {
    let capped_sum = |sum: f64| {
        wanted
            .iter()
            .map(|w| w.weight.min(w.cap * sum))
            .sum::<f64>()
    };
    let (mut low, mut high) = (0.0, wanted.iter().map(|w| w.weight).sum::<f64>());
    for _ in 0..200 {
        let mid = (low + high) / 2.0;
        if capped_sum(mid) >= mid {
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
    fn agrees_with_bisection(drawn in proptest::collection::vec((0_u32..50, 0_u32..12), 1..12)) {
        let wanted: Vec<WantedWeight> = drawn.iter()
            .map(|(w, c)| share(f64::from(*w), if *c > 9 { 1.0 } else { f64::from(*c) / 10.0 }))
            .collect();
        let slow = bisected(&wanted);
        let total: f64 = slow.iter().sum();
        match apply_caps(&wanted) {
            Some(fast) => {
                let all: f64 = fast.iter().sum();
                for (f, w) in fast.iter().zip(&wanted) {
                    prop_assert!(*f <= w.weight + 1e-9 && *f <= w.cap * all + 1e-9, "{:?} {:?}", wanted, fast);
                }
                // If the caps sum up to exactly 1, many sums solve it, and bisection finds the
                // smallest.
                let caps: f64 = wanted.iter().filter(|w| w.weight > 0.0).map(|w| w.cap).sum();
                let off = caps > 1.0 + 1e-9 && fast.iter().zip(&slow).any(|(a, b)| (a - b).abs() > 1e-6 * all.max(1.0));
                prop_assert!(!off, "{:?}: {:?} {:?}", wanted, fast, slow);
            }
            None => prop_assert!(total < 1e-6 || wanted.iter().map(|w| w.cap).sum::<f64>() <= 1.0 + 1e-6, "{:?}: {:?}", wanted, slow),
        }
    }
}
