//! A value with waiters: a mutex and condition variable for coroutines and threads alike. Its timed
//! waits use the crate's timers and no timeout of `may`.

use crate::timer;
use may::sync::Blocker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A value behind a lock and the waiters for its next change. The lock is never held across a wait.
pub(crate) struct Monitor<T> {
    state: Mutex<State<T>>,
}

/// The value and the parked waiters.
pub(crate) struct State<T> {
    pub value: T,
    waiters: VecDeque<Arc<Blocker>>,
}

impl<T> Monitor<T> {
    pub fn new(value: T) -> Monitor<T> {
        Monitor {
            state: Mutex::new(State {
                value,
                waiters: VecDeque::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        // The value is consistent after each change, so a poisoned lock can be used.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Reads the value.
    pub fn read<R>(&self, read: impl FnOnce(&T) -> R) -> R {
        read(&self.lock().value)
    }

    /// Changes the value and wakes all waiters.
    pub fn update<R>(&self, update: impl FnOnce(&mut T) -> R) -> R {
        let mut state = self.lock();
        let out = update(&mut state.value);
        let waiters = std::mem::take(&mut state.waiters);
        drop(state);
        waiters.iter().for_each(|b| b.unpark());
        out
    }

    /// Calls `attempt` until it returns `Some`, waiting for a change between calls; `None` at the
    /// deadline. A successful attempt counts as a change, so it wakes the other waiters.
    pub fn wait_until<R>(
        &self,
        deadline: Option<Instant>,
        mut attempt: impl FnMut(&mut T) -> Option<R>,
    ) -> Option<R> {
        let mut own: Option<Arc<Blocker>> = None;
        let mut timer = None;
        loop {
            let mut state = self.lock();
            if let Some(done) = attempt(&mut state.value) {
                if let Some(own) = &own {
                    state.waiters.retain(|b| !Arc::ptr_eq(b, own));
                }
                let waiters = std::mem::take(&mut state.waiters);
                drop(state);
                waiters.iter().for_each(|b| b.unpark());
                return Some(done);
            }
            let blocker = own.get_or_insert_with(Blocker::current).clone();
            if deadline.is_some_and(|at| Instant::now() >= at) {
                state.waiters.retain(|b| !Arc::ptr_eq(b, &blocker));
                return None;
            }
            if !state.waiters.iter().any(|b| Arc::ptr_eq(b, &blocker)) {
                state.waiters.push_back(blocker.clone());
            }
            drop(state);
            if let Some(at) = deadline
                && timer.as_ref().is_none_or(timer::Timer::has_fired)
            {
                timer = Some(timer::unpark_at(at, &blocker));
            }
            let _ = blocker.park(None);
        }
    }
}
