//! A bounded multi-producer queue for coroutines and plain threads alike.

use crate::monitor::Monitor;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

/// The queue is closed: it accepts no further items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Closed;

/// The result of [`Queue::take_all`] and [`Queue::take_one`].
#[derive(Debug, PartialEq)]
pub enum Received<T> {
    /// The items taken, oldest first.
    Items(VecDeque<T>),
    /// No item arrived before the deadline.
    TimedOut,
    /// The queue is closed and empty.
    Closed,
}

struct State<T> {
    items: VecDeque<T>,
    closed: bool,
}

struct Shared<T> {
    capacity: usize,
    state: Monitor<State<T>>,
}

/// A handle to a bounded queue; clones share the queue.
pub struct Queue<T>(Arc<Shared<T>>);

impl<T> Clone for Queue<T> {
    fn clone(&self) -> Self {
        Queue(self.0.clone())
    }
}

impl<T> Queue<T> {
    /// Creates a queue that holds at most `capacity` items (at least one).
    pub fn bounded(capacity: usize) -> Queue<T> {
        crate::configure();
        Queue(Arc::new(Shared {
            capacity: capacity.max(1),
            state: Monitor::new(State {
                items: VecDeque::new(),
                closed: false,
            }),
        }))
    }

    /// Appends an item, waiting while the queue is full.
    ///
    /// # Errors
    /// [`Closed`] if the queue is closed.
    pub fn put(&self, item: T) -> Result<(), Closed> {
        let mut item = Some(item);
        let put = self.0.state.wait_until(None, |state| {
            if state.closed {
                return Some(Err(Closed));
            }
            if state.items.len() >= self.0.capacity {
                return None;
            }
            state.items.extend(item.take());
            Some(Ok(()))
        });
        put.unwrap_or(Err(Closed))
    }

    /// Appends an item without waiting.
    ///
    /// # Errors
    /// The item itself, if the queue is full or closed.
    pub fn try_put(&self, item: T) -> Result<(), T> {
        self.0.state.update(|state| {
            if state.closed || state.items.len() >= self.0.capacity {
                return Err(item);
            }
            state.items.push_back(item);
            Ok(())
        })
    }

    /// Takes all queued items; if there are none, waits for one until a deadline.
    pub fn take_all(&self, deadline: Option<Instant>) -> Received<T> {
        let taken = self.0.state.wait_until(deadline, |state| {
            if !state.items.is_empty() {
                return Some(Received::Items(std::mem::take(&mut state.items)));
            }
            state.closed.then_some(Received::Closed)
        });
        taken.unwrap_or(Received::TimedOut)
    }

    /// Takes the oldest item, waiting for one until a deadline. For several consumers that share the
    /// work.
    pub fn take_one(&self, deadline: Option<Instant>) -> Received<T> {
        let taken = self.0.state.wait_until(deadline, |state| {
            if let Some(item) = state.items.pop_front() {
                return Some(Received::Items([item].into()));
            }
            state.closed.then_some(Received::Closed)
        });
        taken.unwrap_or(Received::TimedOut)
    }

    /// Closes the queue: queued items can still be taken, and no further ones are accepted.
    pub fn close(&self) {
        self.0.state.update(|state| state.closed = true);
    }

    /// Whether the queue is closed.
    pub fn is_closed(&self) -> bool {
        self.0.state.read(|state| state.closed)
    }

    /// The number of queued items.
    pub fn len(&self) -> usize {
        self.0.state.read(|state| state.items.len())
    }

    /// Whether no items are queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
