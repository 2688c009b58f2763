//! A bounded queue from many to one, for coroutines and plain threads alike.

use crate::waiting::Watched;
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
    Items(VecDeque<T>),
    /// Nothing came by the time given.
    TimedOut,
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
            state: Watched::new(State {
                items: VecDeque::new(),
                closed: false,
            }),
        }))
    }

    /// Puts an item in, waiting for room: back-pressure on whoever brings it.
    ///
    /// # Errors
    /// [`Closed`] once the queue was closed.
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

    /// Puts an item in if there is room; gives it back if not, or if the queue was closed.
    ///
    /// # Errors
    /// The item.
    pub fn try_put(&self, item: T) -> Result<(), T> {
        self.0.state.change(|state| {
            if state.closed || state.items.len() >= self.0.most {
                return Err(item);
            }
            state.items.push_back(item);
            Ok(())
        })
    }

    /// Takes all that waits, or waits for something until that time.
    pub fn take_all(&self, until: Option<Instant>) -> Received<T> {
        let taken = self.0.state.until(until, |state| {
            if !state.items.is_empty() {
                return Some(Received::Items(std::mem::take(&mut state.items)));
            }
            state.closed.then_some(Received::Closed)
        });
        taken.unwrap_or(Received::TimedOut)
    }

    /// Takes the oldest that waits, or waits for one until that time: for several who share the work.
    pub fn take_one(&self, until: Option<Instant>) -> Received<T> {
        let taken = self.0.state.until(until, |state| {
            if let Some(item) = state.items.pop_front() {
                return Some(Received::Items([item].into()));
            }
            state.closed.then_some(Received::Closed)
        });
        taken.unwrap_or(Received::TimedOut)
    }

    /// Ends it: what waits can still be taken, nothing more comes in.
    pub fn close(&self) {
        self.0.state.change(|state| state.closed = true);
    }

    /// Nothing more comes in.
    pub fn is_closed(&self) -> bool {
        self.0.state.look(|state| state.closed)
    }

    /// How many items wait.
    pub fn len(&self) -> usize {
        self.0.state.look(|state| state.items.len())
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
