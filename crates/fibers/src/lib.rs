//! Coroutines on `may`: the one place that spawns them, and the few ways in which they wait.
//!
//! Rules kept here: the stack size is set once; no worker thread is ever blocked, since every wait
//! below parks the coroutine (or the thread, where a plain thread calls); no lock is held across a
//! wait. The crate decides nothing.

mod bell;
mod pipe;
mod queue;
mod socket;
mod timer;
mod waiting;

pub use bell::Notify;
pub use pipe::{AsyncStream, async_stream};
pub use queue::{Closed, Queue, Received};
pub use socket::{Socket, accept};
pub use timer::{Timer, shutdown_at};

pub use may::coroutine::JoinHandle;
pub use may::net::{TcpListener, TcpStream};

use may::sync::Blocker;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Once};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Stack of a coroutine in machine words. Pages are only used once touched; the deepest path (HTTP/2
/// frames, protobuf, a log line) was seen to need under 40 KiB.
const STACK_WORDS: usize = 16 * 1024;

static ONCE: Once = Once::new();

/// Before anything of `may` is touched: its scheduler takes the sizes that it finds at its start.
fn set_up() {
    ONCE.call_once(|| {
        let config = may::config();
        config.set_stack_size(STACK_WORDS);
        // One worker. With several, `may` (0.3.51) puts a coroutine where another worker may resume it
        // while the first still reads what lies on its stack: under load that ended in a dangling
        // pointer, in a connect and in a timed park. Heavy work has threads of its own.
        config.set_workers(1);
        // Several processes of ours share a machine: pinned workers would queue on the same core.
        config.set_worker_pin(false);
    });
}

/// Starts a coroutine.
pub fn spawn<F, T>(f: F) -> JoinHandle<T>
where
    F: FnOnce() -> T + Send + 'static,
    T: Send + 'static,
{
    set_up();
    // SAFETY: `may` asks that a coroutine keeps no borrow of a thread-local across a yield and does
    // not overflow its stack. Nothing in this workspace holds a thread-local guard, an entered span
    // or a lock across a wait, and stacks are sized for the deepest path.
    unsafe { may::coroutine::spawn(f) }
}

/// Listens on an address; port 0: one that the system picks.
///
/// # Errors
/// When the address cannot be bound.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    set_up();
    TcpListener::bind(at)
}

/// Connects, for at most that long.
///
/// # Errors
/// When nobody listens there, or none answers in time.
pub fn dial(to: SocketAddr, patience: Duration) -> io::Result<TcpStream> {
    set_up();
    // The attempt has a coroutine of its own, which is left to itself when the time is up.
    let done = Queue::bounded(1);
    let attempt = done.clone();
    spawn(move || {
        let _ = attempt.put(TcpStream::connect(to));
    });
    let taken = done.take_all(Some(Instant::now() + patience));
    done.close();
    match taken {
        Received::Items(mut connected) => match connected.pop_front() {
            Some(connected) => connected,
            None => Err(io::ErrorKind::TimedOut.into()),
        },
        Received::TimedOut | Received::Closed => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Lets the other coroutines run first: for one whose input never ends.
pub fn yield_now() {
    may::coroutine::yield_now();
}

/// Waits for that long, parking the coroutine.
pub fn sleep(time: Duration) {
    let until = Some(Instant::now() + time);
    let _ = block_on_until(std::future::pending::<()>(), until);
}

struct Unpark(Arc<Blocker>);

impl Wake for Unpark {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.unpark();
    }
}

/// The time was up before the future was ready; the future is dropped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Elapsed;

/// Polls a future to its end, parked in between.
pub fn block_on<F: Future>(future: F) -> F::Output {
    match block_on_until(future, None) {
        Ok(out) => out,
        Err(Elapsed) => unreachable!("without a time there is none to elapse"),
    }
}

/// Like [`block_on`], up to a point in time.
///
/// # Errors
/// [`Elapsed`] if the future was not ready by then.
pub fn block_on_until<F: Future>(future: F, until: Option<Instant>) -> Result<F::Output, Elapsed> {
    set_up();
    let mut future = pin!(future);
    let blocker = Blocker::current();
    let waker = Waker::from(Arc::new(Unpark(blocker.clone())));
    let mut context = Context::from_waker(&waker);
    let mut timer: Option<Timer> = None;
    loop {
        if let Poll::Ready(out) = future.as_mut().poll(&mut context) {
            return Ok(out);
        }
        if let Some(at) = until {
            if Instant::now() >= at {
                return Err(Elapsed);
            }
            if timer.as_ref().is_none_or(Timer::has_fired) {
                timer = Some(timer::unpark(at, &blocker));
            }
        }
        // Woken by the future, by the timer, or for nothing: the next turn sees which.
        let _ = blocker.park(None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wait_with_an_end_has_one_in_threads_and_coroutines() {
        let wait = || {
            let until = Instant::now() + Duration::from_millis(20);
            block_on_until(std::future::pending::<()>(), Some(until))
        };
        assert_eq!(wait(), Err(Elapsed));
        assert_eq!(spawn(wait).join().unwrap(), Err(Elapsed));
    }
}
