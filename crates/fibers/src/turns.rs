//! Keeps connections whose input never pauses from occupying the worker.
//!
//! The worker looks for ready sockets and timers only when no coroutine is ready to run. A coroutine whose
//! reads succeed at once, again and again, never waits, and yielding does not help: it is ready again at
//! once. So such coroutines pause, and take turns, with time between the turns that belongs to all others.

use crate::{TcpStream, sleep};
use std::io::{self, Read};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a coroutine may read without waiting before it pauses.
const TURN: Duration = Duration::from_millis(5);
/// Time between two turns in which none of these coroutines runs.
const PAUSE: Duration = Duration::from_millis(2);

/// The earliest begin of the next turn.
static NEXT_TURN: Mutex<Option<Instant>> = Mutex::new(None);

/// Reads of one connection that did not have to wait.
#[derive(Default)]
pub struct InputTurns {
    /// Since when every read has succeeded at once.
    busy_since: Option<Instant>,
}

impl InputTurns {
    /// Reads like [`Read::read`], and pauses if the input has not paused for too long.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn read(&mut self, socket: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
        match socket.inner().read(buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.waited();
                socket.read(buffer)
            }
            read => {
                if self.did_not_wait() {
                    pause();
                }
                read
            }
        }
    }

    /// Records that a read had to wait.
    pub(crate) fn waited(&mut self) {
        self.busy_since = None;
    }

    /// Records that a read did not have to wait. Returns whether the caller has to [`pause`].
    pub(crate) fn did_not_wait(&mut self) -> bool {
        let now = Instant::now();
        let is_over = now.duration_since(*self.busy_since.get_or_insert(now)) >= TURN;
        if is_over {
            self.busy_since = None;
        }
        is_over
    }
}

/// Waits for the caller's next turn.
pub(crate) fn pause() {
    let now = Instant::now();
    let turn = {
        let mut next = NEXT_TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let turn = next.map_or(now, |at| at.max(now)) + PAUSE;
        *next = Some(turn + TURN);
        turn
    };
    sleep(turn - now);
}
