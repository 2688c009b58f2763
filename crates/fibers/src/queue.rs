//! A bounded multi-producer queue for coroutines and plain threads alike.

use crate::waiting::Watched;
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
    most: usize,
    state: Watched<State<T>>,
}

/// A handle to a bounded queue; clones share the queue.
pub struct Queue<T>(Arc<Shared<T>>);

impl<T> Clone for Queue<T> {
    fn clone(&self) -> Self {
        Queue(self.0.clone())
    }
}

impl<T> Queue<T> {
    /// Creates a queue that holds at most `most` items (at least one).
    pub fn bounded(most: usize) -> Queue<T> {
        crate::set_up();
        Queue(Arc::new(Shared {
            most: most.max(1),
            state: Watched::new(State {
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
        let put = self.0.state.until(None, |state| {
            if state.closed {
                return Some(Err(Closed));
            }
            if state.items.len() >= self.0.most {
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
        self.0.state.change(|state| {
            if state.closed || state.items.len() >= self.0.most {
                return Err(item);
            }
            state.items.push_back(item);
            Ok(())
        })
    }

    /// Takes all queued items; if there are none, waits for one until a deadline.
    pub fn take_all(&self, until: Option<Instant>) -> Received<T> {
        let taken = self.0.state.until(until, |state| {
            if !state.items.is_empty() {
                return Some(Received::Items(std::mem::take(&mut state.items)));
            }
            state.closed.then_some(Received::Closed)
        });
        taken.unwrap_or(Received::TimedOut)
    }

    /// Takes the oldest item, waiting for one until a deadline. For several consumers that share the
    /// work.
    pub fn take_one(&self, until: Option<Instant>) -> Received<T> {
        let taken = self.0.state.until(until, |state| {
            if let Some(item) = state.items.pop_front() {
                return Some(Received::Items([item].into()));
            }
            state.closed.then_some(Received::Closed)
        });
        taken.unwrap_or(Received::TimedOut)
    }

    /// Closes the queue: queued items can still be taken, and no further ones are accepted.
    pub fn close(&self) {
        self.0.state.change(|state| state.closed = true);
    }

    /// Whether the queue is closed.
    pub fn is_closed(&self) -> bool {
        self.0.state.look(|state| state.closed)
    }

    /// The number of queued items.
    pub fn len(&self) -> usize {
        self.0.state.look(|state| state.items.len())
    }

    /// Whether no items are queued.
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
                Received::Items(items) => {
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
        assert_eq!(queue.try_put(1), Ok(()));
        assert_eq!(queue.try_put(2), Err(2));
        let past = Instant::now() - Duration::from_millis(1);
        queue.close();
        assert_eq!(queue.put(3), Err(Closed));
        assert_eq!(queue.take_all(Some(past)), Received::Items([1].into()));
        assert_eq!(queue.take_all(Some(past)), Received::Closed);
        let open = Queue::<u8>::bounded(1);
        assert_eq!(open.take_all(Some(past)), Received::TimedOut);
    }
}
