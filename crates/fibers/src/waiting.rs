//! A value with waiters: a mutex and condition variable for coroutines and threads alike. Its timed
//! waits use the crate's timers and no timeout of `may`.

use crate::timer;
use may::sync::Blocker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A value behind a lock and the waiters for its next change. The lock is never held across a wait.
pub(crate) struct Watched<T> {
    state: Mutex<State<T>>,
}

/// The value and the parked waiters.
pub(crate) struct State<T> {
    pub value: T,
    waiting: VecDeque<Arc<Blocker>>,
}

impl<T> Watched<T> {
    pub fn new(value: T) -> Watched<T> {
        Watched {
            state: Mutex::new(State {
                value,
                waiting: VecDeque::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        // The value is consistent after each change, so a poisoned lock can be used.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Reads the value.
    pub fn look<R>(&self, look: impl FnOnce(&T) -> R) -> R {
        look(&self.lock().value)
    }

    /// Changes the value and wakes all waiters.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut state = self.lock();
        let out = change(&mut state.value);
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        waiting.iter().for_each(|b| b.unpark());
        out
    }

    /// Calls `attempt` until it returns `Some`, waiting for a change between calls; `None` at the
    /// deadline. A successful attempt counts as a change, so it wakes the other waiters.
    pub fn until<R>(
        &self,
        until: Option<Instant>,
        mut attempt: impl FnMut(&mut T) -> Option<R>,
    ) -> Option<R> {
        let mut own: Option<Arc<Blocker>> = None;
        let mut timer = None;
        loop {
            let mut state = self.lock();
            if let Some(done) = attempt(&mut state.value) {
                if let Some(own) = &own {
                    state.waiting.retain(|b| !Arc::ptr_eq(b, own));
                }
                let waiting = std::mem::take(&mut state.waiting);
                drop(state);
                waiting.iter().for_each(|b| b.unpark());
                return Some(done);
            }
            let blocker = own.get_or_insert_with(Blocker::current).clone();
            if until.is_some_and(|at| Instant::now() >= at) {
                state.waiting.retain(|b| !Arc::ptr_eq(b, &blocker));
                return None;
            }
            if !state.waiting.iter().any(|b| Arc::ptr_eq(b, &blocker)) {
                state.waiting.push_back(blocker.clone());
            }
            drop(state);
            if let Some(at) = until
                && timer.as_ref().is_none_or(timer::Timer::has_fired)
            {
                timer = Some(timer::unpark(at, &blocker));
            }
            let _ = blocker.park(None);
        }
    }
}
