use super::*;
use std::collections::BTreeMap;

#[test]
fn wheel_expires_the_same_keys_as_a_map() {
    let mut wheel = TimerWheel::new(0.0, 10.0);
    let mut map: BTreeMap<u32, f64> = BTreeMap::new();
    let mut state = 7_u64;
    let mut draw = move |n: u64| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 33) % n
    };
    let mut now = 0.0;
    for _ in 0..20_000 {
        now += draw(40) as f64 / 4.0;
        let key = draw(50) as u32;
        match draw(5) {
            0 => {
                assert_eq!(wheel.cancel(&key), map.remove(&key).is_some());
            }
            // Both within and beyond one turn of the wheel.
            1..=3 => {
                let at = now + draw(9_000) as f64;
                wheel.schedule(key, at);
                map.insert(key, at);
            }
            _ => {
                // Entries due in the slot that is still open expire with that slot.
                let mut expired = wheel.pop_expired(now);
                let slot = (now / 10.0).floor() * 10.0;
                let due = |(w, at): (&u32, &f64)| (*at <= slot).then_some(*w);
                let certain: Vec<u32> = map.iter().filter_map(due).collect();
                assert!(
                    certain.iter().all(|w| expired.contains(w)),
                    "{certain:?} {expired:?}"
                );
                assert!(expired.iter().all(|w| map[w] <= now));
                for w in expired.drain(..) {
                    map.remove(&w);
                }
            }
        }
        assert_eq!(wheel.len(), map.len());
    }
}
