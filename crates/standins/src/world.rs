//! What the stand-ins of one day share: the clock, what the roster has told, cuts, and the rules' ledger.

use crate::rules::Ledger;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// What the roster last said of a server, and since when.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub state: &'static str,
    pub since_ms: f64,
    /// Start, as told; none: long ago.
    pub started_ms: Option<f64>,
}

/// What an obedient proxy has heard from its controller, as servers see its visits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heard {
    /// Since when it is joined.
    pub joined: Option<f64>,
    /// It takes nothing out of its stream; since when it did (again).
    pub deaf: bool,
    pub reads_since: f64,
    pub last_message: f64,
    pub zone: usize,
}

pub struct World {
    begun: Instant,
    pub zones: Vec<String>,
    pub ledger: Ledger,
    /// Tries that ended, by server and stretch of 250 ms.
    tried: Mutex<HashMap<(usize, u64), f64>>,
    /// Servers whose own word is stale, since when; first seen as flagged, after how long.
    pub stale: Mutex<HashMap<usize, f64>>,
    /// By server.
    pub told: Mutex<Vec<Told>>,
    /// By obedient proxy.
    pub heard: Mutex<Vec<Heard>>,
    /// How late an order that was sent when a start was told can still be without knowing it.
    pub knows_after_ms: f64,
    cuts: Mutex<BTreeSet<usize>>,
    over: AtomicBool,
    /// Lives of the controller so far: its serials begin anew with each.
    pub era: AtomicU32,
}

impl World {
    pub fn new(zones: Vec<String>, servers: usize, ledger: Ledger, knows_after_ms: f64) -> World {
        let told = Told {
            state: "ready",
            since_ms: 0.0,
            started_ms: None,
        };
        World {
            begun: Instant::now(),
            zones,
            ledger,
            tried: Mutex::default(),
            stale: Mutex::default(),
            told: Mutex::new(vec![told; servers]),
            heard: Mutex::default(),
            knows_after_ms,
            cuts: Mutex::default(),
            over: AtomicBool::new(false),
            era: AtomicU32::new(0),
        }
    }

    pub fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    pub fn at(&self, ms: f64) -> Instant {
        self.begun + Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }

    /// Parks until that time of the day.
    pub fn wait_until(&self, ms: f64) {
        let left = ms - self.now_ms();
        if left > 0.0 {
            dahliapoint_fibers::sleep(Duration::from_secs_f64(left / 1e3));
        }
    }

    pub fn cut(&self, zone: usize, off: bool) {
        let mut cuts = lock(&self.cuts);
        match off {
            true => cuts.insert(zone),
            false => cuts.remove(&zone),
        };
    }

    /// Nothing passes between these zones.
    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && {
            let cuts = lock(&self.cuts);
            cuts.contains(&a) || cuts.contains(&b)
        }
    }

    /// A try at a server has ended.
    pub fn tried(&self, server: usize) {
        let at = (self.now_ms() / 250.0) as u64;
        *lock(&self.tried).entry((server, at)).or_default() += 1.0;
    }

    /// Tries at a server that ended in a stretch.
    pub fn tried_between(&self, server: usize, from: f64, to: f64) -> f64 {
        let tried = lock(&self.tried);
        let stretch = (from / 250.0) as u64..(to / 250.0) as u64;
        stretch.filter_map(|at| tried.get(&(server, at))).sum()
    }

    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }
}
