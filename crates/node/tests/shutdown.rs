//! A shutdown waits for the write in progress.

use dahliapoint_node::Shutdown;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn shutdown_waits_for_the_write_in_progress_and_prevents_others() {
    let in_an_hour = Instant::now() + Duration::from_secs(3600);
    let idle = Shutdown::default();
    idle.begin(in_an_hour);
    assert!(!idle.try_begin_write());

    let shutdown = Arc::new(Shutdown::default());
    assert!(shutdown.try_begin_write());
    // The write is not ended, so the deadline passes.
    shutdown.begin(Instant::now());
    assert!(!shutdown.try_begin_write(), "a write is in progress");
    let ending_shutdown = shutdown.clone();
    let ending = std::thread::spawn(move || ending_shutdown.begin(in_an_hour));
    shutdown.end_write();
    ending.join().unwrap();
    assert!(!shutdown.try_begin_write(), "the process is ending");
}
