//! Coroutine layer on `may`: spawning, timed waits, bounded queues, timers and sockets. All
//! coroutines of the workspace are spawned here.
//!
//! Invariants: the stack size is configured once; every wait parks the calling coroutine (or the
//! calling thread, outside coroutines), so no worker thread is blocked; no lock is held across a
//! wait. The crate holds no application logic.

mod async_stream;
mod monitor;
mod notify;
mod queue;
mod socket;
mod timer;
mod turns;

pub use async_stream::{AsyncStream, async_stream};
pub use notify::Notify;
pub use queue::{Closed, Queue, Received};
pub use socket::{Socket, accept};
pub use timer::{Timer, shutdown_at};
pub use turns::InputTurns;

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

/// Stack size of a coroutine in machine words. Pages are committed only once touched; the deepest
/// path (HTTP/2 frames, protobuf, a log line) needs under 40 KiB.
const STACK_WORDS: usize = 16 * 1024;

static CONFIGURE: Once = Once::new();

/// Configures `may`. Must run before any other use of `may`, because its scheduler reads the
/// configuration when it starts.
fn configure() {
    CONFIGURE.call_once(|| {
        let config = may::config();
        config.set_stack_size(STACK_WORDS);
        // A single worker. With several, `may` (0.3.51) publishes a coroutine so that another worker
        // can resume it while the first still reads from its stack; under load this caused dangling
        // pointers in connect and in timed park. CPU-heavy work runs on threads of its own.
        config.set_workers(1);
        // Several of these processes share a machine: pinned workers would contend for the same core.
        config.set_worker_pin(false);
    });
}

/// Spawns a coroutine.
pub fn spawn<F, T>(f: F) -> JoinHandle<T>
where
    F: FnOnce() -> T + Send + 'static,
    T: Send + 'static,
{
    configure();
    // SAFETY: `may` requires that a coroutine keeps no borrow of a thread-local across a yield and
    // does not overflow its stack. Nothing in this workspace holds a thread-local guard, an entered
    // span or a lock across a wait, and the stack size covers the deepest path (`STACK_WORDS`).
    unsafe { may::coroutine::spawn(f) }
}

/// Binds a listener to an address; with port 0 the system picks the port.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    configure();
    TcpListener::bind(at)
}

/// Connects to an address, waiting at most `timeout`.
///
/// # Errors
/// The error of the connection attempt, or `TimedOut`.
pub fn dial(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    configure();
    // The attempt runs in a coroutine of its own, which is abandoned on a timeout.
    let results = Queue::bounded(1);
    let sender = results.clone();
    spawn(move || {
        let _ = sender.put(TcpStream::connect(to));
    });
    let taken = results.take_all(Some(Instant::now() + timeout));
    results.close();
    match taken {
        Received::Items(mut connected) => match connected.pop_front() {
            Some(connected) => connected,
            None => Err(io::ErrorKind::TimedOut.into()),
        },
        Received::TimedOut | Received::Closed => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Yields to the other coroutines that are ready to run. Those that wait for a socket or a timer are not served
/// while any coroutine is ready: see [`InputTurns`].
pub fn yield_now() {
    may::coroutine::yield_now();
}

/// Parks the coroutine for a duration.
pub fn sleep(duration: Duration) {
    let deadline = Some(Instant::now() + duration);
    let _ = block_on_until(std::future::pending::<()>(), deadline);
}

/// Wakes a task by unparking the coroutine or thread that polls it.
struct UnparkWaker(Arc<Blocker>);

impl Wake for UnparkWaker {
    fn wake(self: Arc<Self>) {
        self.0.unpark();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.unpark();
    }
}

/// The deadline passed before the future was ready; the future was dropped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Elapsed;

/// Runs a future to completion, parked between polls.
pub fn block_on<F: Future>(future: F) -> F::Output {
    match block_on_until(future, None) {
        Ok(out) => out,
        Err(Elapsed) => unreachable!("no deadline, so it cannot elapse"),
    }
}

/// Like [`block_on`], but gives up at a deadline.
///
/// # Errors
/// [`Elapsed`] if the future was not ready by then.
pub fn block_on_until<F: Future>(
    future: F,
    deadline: Option<Instant>,
) -> Result<F::Output, Elapsed> {
    configure();
    let mut future = pin!(future);
    let blocker = Blocker::current();
    let waker = Waker::from(Arc::new(UnparkWaker(blocker.clone())));
    let mut context = Context::from_waker(&waker);
    let mut timer: Option<Timer> = None;
    loop {
        if let Poll::Ready(out) = future.as_mut().poll(&mut context) {
            return Ok(out);
        }
        if let Some(at) = deadline {
            if Instant::now() >= at {
                return Err(Elapsed);
            }
            if timer.as_ref().is_none_or(Timer::has_fired) {
                timer = Some(timer::unpark_at(at, &blocker));
            }
        }
        // Woken by the future, by the timer or spuriously: the next iteration checks which.
        let _ = blocker.park(None);
    }
}

#[cfg(test)]
mod tests;
