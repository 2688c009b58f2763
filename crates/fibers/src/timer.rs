//! Timers: a hashed timer wheel with slots of one millisecond, run by one thread.
//!
//! `may` can wake a parked coroutine or a socket after a timeout, but its timer lists are changed by
//! several workers at once; under load a run of the stand-ins ended in a dangling pointer there. So
//! nothing here uses its timeouts: a timed wait is an untimed wait and a timer that ends it.

use crate::TcpStream;
use may::io::WaitIoWaker;
use may::sync::Blocker;
use std::io;
use std::net::Shutdown;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// Slots of the wheel. A timer further ahead stays in its slot for several rounds.
const SLOTS: usize = 4096;

/// What a timer does when it fires.
enum What {
    Unpark(Arc<Blocker>),
    Shut(std::net::TcpStream),
    Wake(WaitIoWaker),
}

/// The action of a timer; none once it fired or was cancelled.
type Task = Arc<Mutex<Option<What>>>;

struct Entry {
    due: u64,
    task: Task,
}

struct Wheel {
    slots: Vec<Vec<Entry>>,
    /// Every entry due at this tick or before has been removed.
    done: u64,
    /// Entries in all slots.
    count: usize,
    /// The tick at which the thread wakes; `u64::MAX` without entries.
    wakes: u64,
}

/// The wheel and the thread that runs it.
struct Timers {
    /// Tick 0.
    begun: Instant,
    wheel: Mutex<Wheel>,
    /// Signalled when an entry is due before the thread would wake.
    sooner: Condvar,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The timers of this process; starts their thread on the first call.
fn timers() -> &'static Timers {
    static TIMERS: OnceLock<Timers> = OnceLock::new();
    static THREAD: OnceLock<()> = OnceLock::new();
    let timers = TIMERS.get_or_init(|| Timers {
        begun: Instant::now(),
        wheel: Mutex::new(Wheel {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            done: 0,
            count: 0,
            wakes: u64::MAX,
        }),
        sooner: Condvar::new(),
    });
    THREAD.get_or_init(|| {
        let thread = std::thread::Builder::new().name("timers".into());
        // Without timers no deadline holds, so a failure to start the thread is fatal.
        thread
            .spawn(|| timers.turn())
            .expect("a thread for the timers");
    });
    timers
}

impl Timers {
    /// The first tick that is not before an instant.
    fn tick(&self, at: Instant) -> u64 {
        let us = at.saturating_duration_since(self.begun).as_micros();
        us.div_ceil(1000) as u64
    }

    /// Adds an entry, and wakes the thread if it is due before the thread would wake.
    fn set(&self, at: Instant, what: What) -> Timer {
        let task: Task = Arc::new(Mutex::new(Some(what)));
        let mut wheel = lock(&self.wheel);
        let due = self.tick(at).max(wheel.done + 1);
        wheel.slots[due as usize % SLOTS].push(Entry {
            due,
            task: task.clone(),
        });
        wheel.count += 1;
        if due < wheel.wakes {
            wheel.wakes = due;
            self.sooner.notify_one();
        }
        Timer(task)
    }

    /// The thread's loop: fires the entries that are due, then sleeps until the next used slot.
    fn turn(&self) {
        let mut wheel = lock(&self.wheel);
        loop {
            let now = self.begun.elapsed().as_millis() as u64;
            let mut due = Vec::new();
            let rounds = (now - wheel.done.min(now)).min(SLOTS as u64);
            for tick in now - rounds..now {
                let slot = &mut wheel.slots[(tick + 1) as usize % SLOTS];
                let mut at = 0;
                while at < slot.len() {
                    match slot[at].due <= now {
                        true => due.push(slot.swap_remove(at).task),
                        false => at += 1,
                    }
                }
            }
            wheel.done = wheel.done.max(now);
            wheel.count -= due.len();
            let ahead = (1..=SLOTS as u64).find(|ahead| {
                wheel.count > 0 && !wheel.slots[(now + ahead) as usize % SLOTS].is_empty()
            });
            wheel.wakes = ahead.map_or(u64::MAX, |ahead| now + ahead);
            if !due.is_empty() {
                drop(wheel);
                due.iter().for_each(fire);
                wheel = lock(&self.wheel);
                continue;
            }
            let left = match wheel.wakes {
                u64::MAX => Duration::from_secs(3600),
                wakes => {
                    let at = self.begun + Duration::from_millis(wakes);
                    at.saturating_duration_since(Instant::now())
                }
            };
            let waited = self.sooner.wait_timeout(wheel, left);
            wheel = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

/// Runs a timer's action unless it was cancelled.
fn fire(task: &Task) {
    let what = lock(task).take();
    match what {
        Some(What::Unpark(blocker)) => blocker.unpark(),
        Some(What::Shut(socket)) => drop(socket.shutdown(Shutdown::Both)),
        Some(What::Wake(waker)) => waker.wakeup(),
        None => {}
    }
}

/// A pending timer; dropping it cancels it.
pub struct Timer(Task);

impl Drop for Timer {
    fn drop(&mut self) {
        lock(&self.0).take();
    }
}

impl Timer {
    /// Whether the timer has fired.
    pub fn has_fired(&self) -> bool {
        lock(&self.0).is_none()
    }
}

/// Unparks a coroutine or thread at an instant.
pub(crate) fn unpark(at: Instant, blocker: &Arc<Blocker>) -> Timer {
    timers().set(at, What::Unpark(blocker.clone()))
}

/// Wakes the coroutine that waits on a socket at an instant, leaving the socket unchanged.
pub(crate) fn wake(at: Instant, waker: WaitIoWaker) -> Timer {
    timers().set(at, What::Wake(waker))
}

/// Shuts a socket down at an instant, unless the timer is dropped before. Reads and writes that are
/// waiting on the socket then return.
///
/// # Errors
/// If the socket cannot be cloned, for instance at the descriptor limit.
pub fn shutdown_at(socket: &TcpStream, at: Instant) -> io::Result<Timer> {
    let hand = socket.inner().try_clone()?;
    Ok(timers().set(at, What::Shut(hand)))
}
