//! Timers of our own: a hashed wheel of milliseconds, turned by one thread.
//!
//! `may` can wake a parked coroutine or a socket after a time, but its lists of timers are changed from
//! several workers at once: under load a day of the stand-ins ended in a dangling pointer there. So
//! nothing here uses its time-outs; a wait with an end is a wait without one, and a timer that ends it.

use crate::TcpStream;
use may::io::WaitIoWaker;
use may::sync::Blocker;
use std::io;
use std::net::Shutdown;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

/// Slots of the wheel: a timer further ahead goes round.
const SLOTS: usize = 4096;

enum What {
    Unpark(Arc<Blocker>),
    Shut(std::net::TcpStream),
    Wake(WaitIoWaker),
}

type Task = Arc<Mutex<Option<What>>>;

struct Entry {
    due: u64,
    task: Task,
}

struct Wheel {
    slots: Vec<Vec<Entry>>,
    /// The tick up to which all was done, and how many entries there are.
    done: u64,
    count: usize,
    /// When the thread wakes by itself.
    wakes: u64,
}

struct Timers {
    begun: Instant,
    wheel: Mutex<Wheel>,
    sooner: Condvar,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

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
        // Without its timers the program cannot keep a single promise: it does not start.
        thread
            .spawn(|| timers.turn())
            .expect("a thread for the timers");
    });
    timers
}

impl Timers {
    /// The first tick that is not before a point in time.
    fn tick(&self, at: Instant) -> u64 {
        let us = at.saturating_duration_since(self.begun).as_micros();
        us.div_ceil(1000) as u64
    }

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

    /// The thread: does what is due, then sleeps until the next slot that holds anything.
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

fn fire(task: &Task) {
    let what = lock(task).take();
    match what {
        Some(What::Unpark(blocker)) => blocker.unpark(),
        Some(What::Shut(socket)) => drop(socket.shutdown(Shutdown::Both)),
        Some(What::Wake(waker)) => waker.wakeup(),
        None => {}
    }
}

/// A timer that is set; dropping it takes it back.
pub struct Timer(Task);

impl Drop for Timer {
    fn drop(&mut self) {
        lock(&self.0).take();
    }
}

impl Timer {
    /// It has fired.
    pub fn has_fired(&self) -> bool {
        lock(&self.0).is_none()
    }
}

/// Unparks at a point in time.
pub(crate) fn unpark(at: Instant, blocker: &Arc<Blocker>) -> Timer {
    timers().set(at, What::Unpark(blocker.clone()))
}

/// Wakes who waits on a socket at a point in time; the socket stays as it is.
pub(crate) fn wake(at: Instant, waker: WaitIoWaker) -> Timer {
    timers().set(at, What::Wake(waker))
}

/// Shuts a socket down at a point in time, unless the timer is dropped before: reads and writes that
/// wait on it then end.
///
/// # Errors
/// When no further descriptor can be had.
pub fn shutdown_at(socket: &TcpStream, at: Instant) -> io::Result<Timer> {
    let hand = socket.inner().try_clone()?;
    Ok(timers().set(at, What::Shut(hand)))
}
