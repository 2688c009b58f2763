//! What all parts of a running controller share: where the others are, the queue to the owner, chance.

use crate::shutdown::Shutdown;
use crate::tell::Teller;
use dahliapoint_fibers::Queue;
use dahliapoint_opening::Deployment;
use dahliapoint_platform::core::Input;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where relay and discovery are; a new configuration counts the turn up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Addresses {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub turn: u64,
}

pub struct Reach {
    addresses: Mutex<Addresses>,
    /// Batches, so that a burst of lines is one entry.
    pub inbox: Queue<Vec<Input>>,
    pub deployment: Deployment,
    /// The newest list's version, for the next watch.
    pub index: AtomicU64,
    followers: AtomicU32,
    watches: AtomicU32,
    pub shutdown: Shutdown,
    chance: AtomicU64,
    pub teller: Teller,
    pub clock: Clock,
}

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

    pub fn addresses(&self) -> Addresses {
        *self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether anything changed.
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

    pub fn next_follower(&self) -> u32 {
        self.followers.fetch_add(1, Ordering::Relaxed)
    }

    pub fn next_watch(&self) -> u32 {
        self.watches.fetch_add(1, Ordering::Relaxed)
    }

    /// Puts inputs before the owner, waiting for room.
    pub fn put(&self, inputs: Vec<Input>) {
        if !inputs.is_empty() {
            // The queue is closed only as the process ends.
            let _ = self.inbox.put(inputs);
        }
    }

    /// A wait before the next attempt: doubled with each, up to a bound, and spread by chance.
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

/// Unix time at the start plus monotonic time since: it fits `since_ms` and never goes back.
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

    pub fn now_ms(&self) -> f64 {
        self.unix_ms + self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time; none in the past.
    pub fn at(&self, ms: f64) -> Instant {
        let after = (ms - self.unix_ms).max(0.0);
        // A year ahead is as good as never, and fits an instant.
        self.begun + Duration::from_secs_f64(after.min(3.2e10) / 1000.0)
    }
}
