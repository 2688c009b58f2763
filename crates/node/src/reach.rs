//! State shared by all parts of a running controller: the addresses of relay and discovery, the input
//! queue, the log, the clock and the random jitter of retries.

use crate::shutdown::Shutdown;
use crate::tell::Teller;
use dahliapoint_fibers::Queue;
use dahliapoint_opening::Deployment;
use dahliapoint_platform::core::Input;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The addresses of relay and discovery. `turn` increases with each change, so a stream can tell that
/// its address was replaced even if an earlier address returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Addresses {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub turn: u64,
}

/// State shared by all parts of a running controller.
pub struct Reach {
    addresses: Mutex<Addresses>,
    /// Inputs for the core, in batches, so that a burst of lines takes one entry.
    pub inbox: Queue<Vec<Input>>,
    pub deployment: Deployment,
    /// The version of the newest list, sent with the next watch request.
    pub index: AtomicU64,
    /// The number of the next follower.
    followers: AtomicU32,
    /// The number of the next watch.
    watches: AtomicU32,
    pub shutdown: Shutdown,
    /// State of the random generator for retry jitter.
    chance: AtomicU64,
    pub teller: Teller,
    pub clock: Clock,
}

/// A handle to the shared state.
pub type Shared = Arc<Reach>;

impl Reach {
    pub fn new(
        relay: SocketAddr,
        discovery: SocketAddr,
        deployment: Deployment,
        index: u64,
        seed: u64,
    ) -> Shared {
        Arc::new(Reach {
            addresses: Mutex::new(Addresses {
                relay,
                discovery,
                turn: 0,
            }),
            inbox: Queue::bounded(256),
            deployment,
            index: AtomicU64::new(index),
            followers: AtomicU32::new(0),
            watches: AtomicU32::new(0),
            shutdown: Shutdown::default(),
            chance: AtomicU64::new(seed | 1),
            teller: Teller::default(),
            clock: Clock::start(),
        })
    }

    /// The current addresses.
    pub fn addresses(&self) -> Addresses {
        *self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the addresses; returns whether either changed.
    pub fn moved(&self, relay: SocketAddr, discovery: SocketAddr) -> bool {
        let mut now = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let changed = (now.relay, now.discovery) != (relay, discovery);
        if changed {
            *now = Addresses {
                relay,
                discovery,
                turn: now.turn + 1,
            };
        }
        changed
    }

    /// Numbers a connection to the relay's news.
    pub fn next_follower(&self) -> u32 {
        self.followers.fetch_add(1, Ordering::Relaxed)
    }

    /// Numbers a watch of the discovery list.
    pub fn next_watch(&self) -> u32 {
        self.watches.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues inputs for the core, waiting while the queue is full.
    pub fn put(&self, inputs: Vec<Input>) {
        if !inputs.is_empty() {
            // An error means a closed queue, which only happens as the process ends.
            let _ = self.inbox.put(inputs);
        }
    }

    /// The delay before the next connection attempt: exponential backoff up to a limit, with random
    /// jitter.
    pub fn wait(&self, attempt: u32) -> Duration {
        let most = (30.0 * f64::from(1 << attempt.min(5))).min(500.0);
        let draw = self
            .chance
            .fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        let spread = (draw ^ (draw >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 40;
        let share = 0.5 + spread as f64 / f64::from(1 << 24) / 2.0;
        Duration::from_secs_f64(most * share / 1000.0)
    }
}

/// Unix time at the start plus the monotonic time since then, in milliseconds. It is comparable to
/// `since_ms` in the discovery list and never goes back.
pub struct Clock {
    begun: Instant,
    unix_ms: f64,
}

impl Clock {
    fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            begun: Instant::now(),
            unix_ms: unix.unwrap_or_default().as_secs_f64() * 1000.0,
        }
    }

    /// The current time in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.unix_ms + self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time in milliseconds, not before the start of the clock.
    pub fn at(&self, ms: f64) -> Instant {
        let after = (ms - self.unix_ms).max(0.0);
        // Capped at about a year ahead, so that the sum does not overflow an `Instant`.
        self.begun + Duration::from_secs_f64(after.min(3.2e10) / 1000.0)
    }
}
