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
enum Action {
    /// Unpark a coroutine or thread.
    Unpark(Arc<Blocker>),
    /// Shut a socket down in both directions.
    Shutdown(std::net::TcpStream),
    /// Wake the coroutine that waits on a socket.
    Wake(WaitIoWaker),
}

/// The action of a timer; none once it fired or was cancelled.
type PendingAction = Arc<Mutex<Option<Action>>>;

/// A timer in a slot.
struct Entry {
    due_tick: u64,
    pending: PendingAction,
}

/// The entries by the tick at which they are due, modulo the number of slots.
struct Wheel {
    slots: Vec<Vec<Entry>>,
    /// Every entry due at this tick or before has been removed.
    processed_tick: u64,
    /// Entries in all slots.
    entry_count: usize,
    /// The tick at which the thread wakes by itself; `u64::MAX` without entries.
    wake_tick: u64,
}

/// The wheel and the thread that runs it.
struct Timers {
    /// Tick 0.
    start: Instant,
    wheel: Mutex<Wheel>,
    /// Signalled when an entry is due before the thread would wake.
    earlier_entry: Condvar,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The timers of this process; starts their thread on the first call.
fn timers() -> &'static Timers {
    static TIMERS: OnceLock<Timers> = OnceLock::new();
    static THREAD: OnceLock<()> = OnceLock::new();
    let timers = TIMERS.get_or_init(|| Timers {
        start: Instant::now(),
        wheel: Mutex::new(Wheel {
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            processed_tick: 0,
            entry_count: 0,
            wake_tick: u64::MAX,
        }),
        earlier_entry: Condvar::new(),
    });
    THREAD.get_or_init(|| {
        let thread = std::thread::Builder::new().name("timers".into());
        // Without timers no deadline holds, so a failure to start the thread is fatal.
        thread
            .spawn(|| timers.run())
            .expect("cannot start the timer thread");
    });
    timers
}

impl Timers {
    /// The first tick that is not before an instant.
    fn tick(&self, at: Instant) -> u64 {
        let us = at.saturating_duration_since(self.start).as_micros();
        us.div_ceil(1000) as u64
    }

    /// Adds an entry, and wakes the thread if it is due before the thread would wake.
    fn schedule(&self, at: Instant, action: Action) -> Timer {
        let pending: PendingAction = Arc::new(Mutex::new(Some(action)));
        let mut wheel = lock(&self.wheel);
        let due_tick = self.tick(at).max(wheel.processed_tick + 1);
        wheel.slots[due_tick as usize % SLOTS].push(Entry {
            due_tick,
            pending: pending.clone(),
        });
        wheel.entry_count += 1;
        if due_tick < wheel.wake_tick {
            wheel.wake_tick = due_tick;
            self.earlier_entry.notify_one();
        }
        Timer(pending)
    }

    /// The thread's loop: fires the entries that are due, then sleeps until the next used slot.
    fn run(&self) {
        let mut wheel = lock(&self.wheel);
        loop {
            let now = self.start.elapsed().as_millis() as u64;
            let mut due = Vec::new();
            let ticks = (now - wheel.processed_tick.min(now)).min(SLOTS as u64);
            for tick in now - ticks..now {
                let slot = &mut wheel.slots[(tick + 1) as usize % SLOTS];
                let mut index = 0;
                while index < slot.len() {
                    match slot[index].due_tick <= now {
                        true => due.push(slot.swap_remove(index).pending),
                        false => index += 1,
                    }
                }
            }
            wheel.processed_tick = wheel.processed_tick.max(now);
            wheel.entry_count -= due.len();
            let ahead = (1..=SLOTS as u64).find(|ahead| {
                wheel.entry_count > 0 && !wheel.slots[(now + ahead) as usize % SLOTS].is_empty()
            });
            wheel.wake_tick = ahead.map_or(u64::MAX, |ahead| now + ahead);
            if !due.is_empty() {
                drop(wheel);
                due.iter().for_each(fire);
                wheel = lock(&self.wheel);
                continue;
            }
            let timeout = match wheel.wake_tick {
                u64::MAX => Duration::from_secs(3600),
                wake_tick => {
                    let at = self.start + Duration::from_millis(wake_tick);
                    at.saturating_duration_since(Instant::now())
                }
            };
            let waited = self.earlier_entry.wait_timeout(wheel, timeout);
            wheel = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

/// Runs a timer's action unless it was cancelled.
fn fire(pending: &PendingAction) {
    let action = lock(pending).take();
    match action {
        Some(Action::Unpark(blocker)) => blocker.unpark(),
        Some(Action::Shutdown(socket)) => drop(socket.shutdown(Shutdown::Both)),
        Some(Action::Wake(waker)) => waker.wakeup(),
        None => {}
    }
}

/// A pending timer; dropping it cancels it.
pub struct Timer(PendingAction);

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
pub(crate) fn unpark_at(at: Instant, blocker: &Arc<Blocker>) -> Timer {
    timers().schedule(at, Action::Unpark(blocker.clone()))
}

/// Wakes the coroutine that waits on a socket at an instant, leaving the socket unchanged.
pub(crate) fn wake_at(at: Instant, waker: WaitIoWaker) -> Timer {
    timers().schedule(at, Action::Wake(waker))
}

/// Shuts a socket down at an instant, unless the timer is dropped before. Reads and writes that are
/// waiting on the socket then return.
///
/// # Errors
/// If the socket cannot be cloned, for instance at the descriptor limit.
pub fn shutdown_at(socket: &TcpStream, at: Instant) -> io::Result<Timer> {
    let clone = socket.inner().try_clone()?;
    Ok(timers().schedule(at, Action::Shutdown(clone)))
}
