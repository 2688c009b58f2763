//! A bounded queue from many to one, for coroutines and plain threads alike.

use may::sync::{Condvar, Mutex};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

/// The other side is gone: nothing more is taken in, or nothing more will come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Closed;

/// What [`Queue::take_all`] found.
#[derive(Debug, PartialEq)]
pub enum Received<T> {
    /// All that was there, oldest first.
    Some(VecDeque<T>),
    /// Nothing came by the time given.
    Nothing,
    Closed,
}

struct State<T> {
    items: VecDeque<T>,
    closed: bool,
}

struct Shared<T> {
    most: usize,
    state: Mutex<State<T>>,
    came: Condvar,
    room: Condvar,
}

/// A handle; clones are the same queue.
pub struct Queue<T>(Arc<Shared<T>>);

impl<T> Clone for Queue<T> {
    fn clone(&self) -> Self {
        Queue(self.0.clone())
    }
}

impl<T> Queue<T> {
    /// At most so many items wait in it.
    pub fn bounded(most: usize) -> Queue<T> {
        crate::set_up();
        Queue(Arc::new(Shared {
            most: most.max(1),
            state: Mutex::new(State {
                items: VecDeque::new(),
                closed: false,
            }),
            came: Condvar::new(),
            room: Condvar::new(),
        }))
    }

    fn lock(&self) -> may::sync::MutexGuard<'_, State<T>> {
        // The state is whole after each statement below, so a poisoned lock is still sound.
        self.0.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Puts an item in, waiting for room: back-pressure on whoever brings it.
    ///
    /// # Errors
    /// [`Closed`] once the queue was closed.
    pub fn put(&self, item: T) -> Result<(), Closed> {
        let mut state = self.lock();
        while state.items.len() >= self.0.most && !state.closed {
            state = self.0.room.wait(state).unwrap_or_else(|e| e.into_inner());
        }
        if state.closed {
            return Err(Closed);
        }
        state.items.push_back(item);
        drop(state);
        self.0.came.notify_one();
        Ok(())
    }

    /// Puts an item in if there is room; gives it back if not, or if the queue was closed.
    pub fn offer(&self, item: T) -> Result<(), T> {
        let mut state = self.lock();
        if state.closed || state.items.len() >= self.0.most {
            return Err(item);
        }
        state.items.push_back(item);
        drop(state);
        self.0.came.notify_one();
        Ok(())
    }

    /// Takes all that waits, or waits for something until that time.
    pub fn take_all(&self, until: Option<Instant>) -> Received<T> {
        let mut state = self.lock();
        loop {
            if !state.items.is_empty() {
                let items = std::mem::take(&mut state.items);
                drop(state);
                self.0.room.notify_all();
                return Received::Some(items);
            }
            if state.closed {
                return Received::Closed;
            }
            let Some(until) = until else {
                state = self.0.came.wait(state).unwrap_or_else(|e| e.into_inner());
                continue;
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Received::Nothing;
            }
            let waited = self.0.came.wait_timeout(state, left.max(crate::LEAST_WAIT));
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    /// Ends it: what waits can still be taken, nothing more comes in.
    pub fn close(&self) {
        self.lock().closed = true;
        self.0.came.notify_all();
        self.0.room.notify_all();
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.lock().items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::spawn;
    use std::time::Duration;

    #[test]
    fn what_is_put_in_by_many_comes_out_once_and_never_more_than_fits() {
        let queue = Queue::bounded(4);
        let senders: Vec<_> = (0..8)
            .map(|i| {
                let queue = queue.clone();
                spawn(move || (0..100).for_each(|n| queue.put(i * 100 + n).unwrap()))
            })
            .collect();
        let mut seen = Vec::new();
        while seen.len() < 800 {
            match queue.take_all(None) {
                Received::Some(items) => {
                    assert!(items.len() <= 4);
                    seen.extend(items);
                }
                other => panic!("{other:?}"),
            }
        }
        senders.into_iter().for_each(|s| s.join().unwrap());
        seen.sort_unstable();
        assert_eq!(seen, (0..800).collect::<Vec<_>>());
    }

    #[test]
    fn a_closed_queue_gives_what_it_has_and_takes_no_more() {
        let queue = Queue::bounded(1);
        assert_eq!(queue.offer(1), Ok(()));
        assert_eq!(queue.offer(2), Err(2));
        let past = Instant::now() - Duration::from_millis(1);
        queue.close();
        assert_eq!(queue.put(3), Err(Closed));
        assert_eq!(queue.take_all(Some(past)), Received::Some([1].into()));
        assert_eq!(queue.take_all(Some(past)), Received::Closed);
        let open = Queue::<u8>::bounded(1);
        assert_eq!(open.take_all(Some(past)), Received::Nothing);
    }
}
