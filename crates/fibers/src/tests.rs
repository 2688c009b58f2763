use super::*;

#[test]
fn timed_wait_ends_in_threads_and_coroutines() {
    let wait = || {
        let deadline = Instant::now() + Duration::from_millis(20);
        block_on_until(std::future::pending::<()>(), Some(deadline))
    };
    assert_eq!(wait(), Err(Elapsed));
    assert_eq!(spawn(wait).join().unwrap(), Err(Elapsed));
}
