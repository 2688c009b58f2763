//! A shutdown waits for the write in progress.

use dahliapoint_node::Shutdown;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn an_end_waits_for_the_write_under_way_and_lets_none_begin() {
    let hour = Instant::now() + Duration::from_secs(3600);
    let idle = Shutdown::default();
    idle.begin(hour);
    assert!(!idle.try_begin_write());

    let shutdown = Arc::new(Shutdown::default());
    assert!(shutdown.try_begin_write());
    // The write is not ended, so the deadline passes.
    shutdown.begin(Instant::now());
    assert!(!shutdown.try_begin_write(), "one is under way");
    let ends = shutdown.clone();
    let ending = std::thread::spawn(move || ends.begin(hour));
    shutdown.end_write();
    ending.join().unwrap();
    assert!(!shutdown.try_begin_write(), "it is ending");
}
