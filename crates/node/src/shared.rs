//! State shared by all parts of a running controller: the addresses of relay and discovery, the input
//! queue, the log, the clock and the random jitter of retries.

use crate::log::RateLimitedLog;
use crate::shutdown::Shutdown;
use dahliapoint_fibers::Queue;
use dahliapoint_opening::Deployment;
use dahliapoint_platform::core::Input;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The addresses of relay and discovery. `version` increases with each change, so that a stream
/// notices a change even if an earlier address returns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Addresses {
    pub relay: SocketAddr,
    pub discovery: SocketAddr,
    pub version: u64,
}

/// State shared by all parts of a running controller.
pub struct SharedState {
    addresses: Mutex<Addresses>,
    /// Inputs for the core, in batches, so that a burst of lines takes one entry.
    pub inputs: Queue<Vec<Input>>,
    pub deployment: Deployment,
    /// The version of the newest list, sent with the next watch request.
    pub list_index: AtomicU64,
    /// The number of the next follower.
    next_follower: AtomicU32,
    /// The number of the next watch.
    next_watch: AtomicU32,
    pub shutdown: Shutdown,
    /// The state of the random number generator for retry jitter.
    jitter_state: AtomicU64,
    pub log: RateLimitedLog,
    pub clock: Clock,
}

/// A handle to the shared state.
pub type Shared = Arc<SharedState>;

impl SharedState {
    /// Creates the state at the start of the process.
    pub fn new(
        relay: SocketAddr,
        discovery: SocketAddr,
        deployment: Deployment,
        list_index: u64,
        seed: u64,
    ) -> Shared {
        Arc::new(SharedState {
            addresses: Mutex::new(Addresses {
                relay,
                discovery,
                version: 0,
            }),
            inputs: Queue::bounded(256),
            deployment,
            list_index: AtomicU64::new(list_index),
            next_follower: AtomicU32::new(0),
            next_watch: AtomicU32::new(0),
            shutdown: Shutdown::default(),
            jitter_state: AtomicU64::new(seed | 1),
            log: RateLimitedLog::default(),
            clock: Clock::new(),
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
    pub fn set_addresses(&self, relay: SocketAddr, discovery: SocketAddr) -> bool {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let changed = (addresses.relay, addresses.discovery) != (relay, discovery);
        if changed {
            *addresses = Addresses {
                relay,
                discovery,
                version: addresses.version + 1,
            };
        }
        changed
    }

    /// Numbers a connection to the relay's news.
    pub fn next_follower_id(&self) -> u32 {
        self.next_follower.fetch_add(1, Ordering::Relaxed)
    }

    /// Numbers a watch of the discovery list.
    pub fn next_watch_id(&self) -> u32 {
        self.next_watch.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues inputs for the core, waiting while the queue is full.
    pub fn send_inputs(&self, inputs: Vec<Input>) {
        if !inputs.is_empty() {
            // An error means a closed queue, which only happens as the process ends.
            let _ = self.inputs.put(inputs);
        }
    }

    /// The delay before the next connection attempt: exponential backoff up to a limit, with random
    /// jitter.
    pub fn retry_delay(&self, attempt: u32) -> Duration {
        let max_ms = (30.0 * f64::from(1 << attempt.min(5))).min(500.0);
        let step = self
            .jitter_state
            .fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        let random = (step ^ (step >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 40;
        let factor = 0.5 + random as f64 / f64::from(1 << 24) / 2.0;
        Duration::from_secs_f64(max_ms * factor / 1000.0)
    }
}

/// Unix time at the start plus the monotonic time since then, in milliseconds. It is comparable to
/// `since_ms` in the discovery list and never goes back.
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            start: Instant::now(),
            unix_ms: unix.unwrap_or_default().as_secs_f64() * 1000.0,
        }
    }

    /// The current time in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// The instant of a time in milliseconds, not before the start of the clock.
    pub fn at(&self, ms: f64) -> Instant {
        let after = (ms - self.unix_ms).max(0.0);
        // Capped at about a year ahead, which is as good as never and does not overflow an `Instant`.
        self.start + Duration::from_secs_f64(after.min(3.2e10) / 1000.0)
    }
}
