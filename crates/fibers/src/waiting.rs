//! Those who wait for a change of some state: a condition variable for coroutines and threads alike,
//! without any time-out of the runtime's.

use crate::timer;
use may::sync::Blocker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A state, and who waits for it to change. The lock is held for moments only, never across a wait.
pub(crate) struct Watched<T> {
    state: Mutex<State<T>>,
}

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
        // The value is whole after each change, so a poisoned lock is still sound.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Looks at the state.
    pub fn look<R>(&self, look: impl FnOnce(&T) -> R) -> R {
        look(&self.lock().value)
    }

    /// Changes the state and wakes all who wait.
    pub fn change<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let mut state = self.lock();
        let out = change(&mut state.value);
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        waiting.iter().for_each(|b| b.unpark());
        out
    }

    /// Tries a change until it is made (`Some`), waiting in between; none when the time is up. Whoever
    /// waits is woken by every change, so a change that was made is told to the others too.
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
