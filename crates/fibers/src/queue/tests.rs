use super::*;
use crate::spawn;
use std::time::Duration;

#[test]
fn items_of_many_producers_arrive_once_and_within_capacity() {
    let queue = Queue::bounded(4);
    let senders: Vec<_> = (0..8)
        .map(|i| {
            let queue = queue.clone();
            spawn(move || (0..100).for_each(|n| queue.put(i * 100 + n).unwrap()))
        })
        .collect();
    let mut seen = Vec::new();
    while seen.len() < 800 {
        match queue.take_all(None) {
            Received::Items(items) => {
                assert!(items.len() <= 4);
                seen.extend(items);
            }
            other => panic!("{other:?}"),
        }
    }
    senders.into_iter().for_each(|s| s.join().unwrap());
    seen.sort_unstable();
    assert_eq!(seen, (0..800).collect::<Vec<_>>());
}

#[test]
fn closed_queue_drains_and_accepts_nothing() {
    let queue = Queue::bounded(1);
    assert_eq!(queue.try_put(1), Ok(()));
    assert_eq!(queue.try_put(2), Err(2));
    let past = Instant::now() - Duration::from_millis(1);
    queue.close();
    assert_eq!(queue.put(3), Err(Closed));
    assert_eq!(queue.take_all(Some(past)), Received::Items([1].into()));
    assert_eq!(queue.take_all(Some(past)), Received::Closed);
    let open = Queue::<u8>::bounded(1);
    assert_eq!(open.take_all(Some(past)), Received::TimedOut);
}
