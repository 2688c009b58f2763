//! State shared by all stand-ins of one run: the clock, what the roster lists, cut zones, and the checker of
//! the rules.

use crate::rule_checker::RuleChecker;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The length of the slots in which tries are counted.
const TRY_SLOT_MS: f64 = 250.0;

/// Locks a mutex, also after a panic of another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// What the roster lists for a server, and since when.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedState {
    pub state: &'static str,
    pub since_ms: f64,
    /// The start time in the roster; none if the server started long ago.
    pub started_ms: Option<f64>,
}

/// The connection of a real proxy to its controller, which servers need for their checks of its visits.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProxyConnection {
    /// When it joined; none while it is not joined.
    pub joined: Option<f64>,
    /// A fault stops it from reading its stream.
    pub stops_reading: bool,
    /// When it last resumed reading.
    pub reading_since: f64,
    /// When its last message came.
    pub last_message_ms: f64,
    pub zone: usize,
}

/// The shared state of one run.
pub struct RunState {
    started_at: Instant,
    pub zones: Vec<String>,
    pub checker: RuleChecker,
    /// Tries that ended, by server and slot of [`TRY_SLOT_MS`].
    tries_by_slot: Mutex<HashMap<(usize, u64), f64>>,
    /// When each server with the `stale_load` fault got it.
    pub stale_since: Mutex<HashMap<usize, f64>>,
    /// What the roster lists, by server.
    pub listed: Mutex<Vec<ListedState>>,
    /// The connections of the real proxies, by proxy.
    pub connections: Mutex<Vec<ProxyConnection>>,
    /// How long after the roster lists a start the controller may still send orders that ignore it.
    pub roster_lag_ms: f64,
    cut_zones: Mutex<BTreeSet<usize>>,
    ended: AtomicBool,
    /// How often the controller was killed; its serials start again with each run.
    pub controller_run: AtomicU32,
}

impl RunState {
    /// A run that starts now, with every server listed as ready.
    pub fn new(
        zones: Vec<String>,
        servers: usize,
        checker: RuleChecker,
        roster_lag_ms: f64,
    ) -> RunState {
        let listed = ListedState {
            state: "ready",
            since_ms: 0.0,
            started_ms: None,
        };
        RunState {
            started_at: Instant::now(),
            zones,
            checker,
            tries_by_slot: Mutex::default(),
            stale_since: Mutex::default(),
            listed: Mutex::new(vec![listed; servers]),
            connections: Mutex::default(),
            roster_lag_ms,
            cut_zones: Mutex::default(),
            ended: AtomicBool::new(false),
            controller_run: AtomicU32::new(0),
        }
    }

    /// Time since the start of the run, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// The instant at a time of the run.
    pub fn instant(&self, ms: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }

    /// Parks the coroutine until that time of the run.
    pub fn wait_until(&self, ms: f64) {
        let left = ms - self.now_ms();
        if left > 0.0 {
            dahliapoint_fibers::sleep(Duration::from_secs_f64(left / 1e3));
        }
    }

    /// Cuts a zone off from the others, or reconnects it.
    pub fn set_zone_cut(&self, zone: usize, is_cut: bool) {
        let mut cut_zones = lock(&self.cut_zones);
        match is_cut {
            true => cut_zones.insert(zone),
            false => cut_zones.remove(&zone),
        };
    }

    /// Whether the link between two zones is cut.
    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && {
            let cut_zones = lock(&self.cut_zones);
            cut_zones.contains(&a) || cut_zones.contains(&b)
        }
    }

    /// Counts a try at a server that has ended.
    pub fn record_try(&self, server: usize) {
        let slot = (self.now_ms() / TRY_SLOT_MS) as u64;
        *lock(&self.tries_by_slot).entry((server, slot)).or_default() += 1.0;
    }

    /// The tries at a server that ended in a period.
    pub fn tries_between(&self, server: usize, from: f64, to: f64) -> f64 {
        let tries_by_slot = lock(&self.tries_by_slot);
        let slots = (from / TRY_SLOT_MS) as u64..(to / TRY_SLOT_MS) as u64;
        slots
            .filter_map(|slot| tries_by_slot.get(&(server, slot)))
            .sum()
    }

    /// Ends the run: all stand-ins stop.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}
