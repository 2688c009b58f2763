//! The thread that writes the journal and the snapshots. Decisions never wait for it: changes go to
//! a bounded queue, which reports when it is full. Commits go before snapshots, which are written
//! in slices within a CPU budget. After a write error the state is still in memory, and a new
//! generation written from it repairs the directory.

use crate::directory::Directory;
use crate::facts::{Change, Facts};
use crate::store::{Found, Store};
use dahliapoint_scheduler::{Budget, Scheduler, Task};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Maximum number of queued groups of changes.
const WAITING: usize = 256;
/// The journal is compacted once it is `COMPACT` times as large as a snapshot of the state would
/// be, estimated at `RECORD` bytes per server, but not below `SMALLEST` bytes.
const COMPACT: u64 = 4;
const SMALLEST: u64 = 256 * 1024;
const RECORD: u64 = 200;
/// Snapshot records written per slice, the scheduler's period, and the share of it that all slices
/// may use.
const SLICE: usize = 256;
const PERIOD_MS: f64 = 100.0;
const SNAPSHOT_SHARE: f64 = 0.2;
/// The scheduler class of snapshots. Commits need none: the thread does them first in each
/// iteration.
const SNAPSHOT: usize = 0;
/// Delay before a failed directory is tried again; it doubles with each failure, up to `DOUBLINGS`
/// times.
const AGAIN_MS: f64 = 500.0;
const DOUBLINGS: u32 = 6;

/// Queued groups of changes, and whether to stop.
#[derive(Default)]
struct Waiting {
    groups: VecDeque<Vec<Change>>,
    over: bool,
}

/// Counters for the status page.
#[derive(Clone, Debug, Default)]
struct Tally {
    groups: u64,
    changes: u64,
    bytes: u64,
    snapshots: u64,
    longest_commit_ms: f64,
    refused: u64,
    fault: Option<String>,
}

/// Handle to the writer thread; see the module documentation.
pub struct JournalWriter {
    waiting: Mutex<Waiting>,
    bell: Condvar,
    tally: Mutex<Tally>,
    found: Found,
}

/// Locks a mutex, ignoring poisoning.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// State owned by the writer thread.
struct Hand<L: Directory> {
    store: Store<L>,
    facts: Facts,
    scheduler: Scheduler,
    snapshot_waits: bool,
    failures: u32,
    /// Set while the journal is unreliable: when to try a new generation.
    mend_at: Option<f64>,
    begun: Instant,
}

impl JournalWriter {
    /// Starts the thread; `facts` is the state that the store was opened with.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start<L: Directory + 'static>(
        store: Store<L>,
        facts: Facts,
        found: Found,
    ) -> std::io::Result<(Arc<JournalWriter>, JoinHandle<()>)> {
        let keeper = Arc::new(JournalWriter {
            waiting: Mutex::default(),
            bell: Condvar::new(),
            tally: Mutex::default(),
            found,
        });
        let budget = |ms| Budget {
            cpu_ms: ms,
            max_queued: 8,
        };
        let budgets = [budget(PERIOD_MS * SNAPSHOT_SHARE)];
        let hand = Hand {
            store,
            facts,
            scheduler: Scheduler::new(0.0, PERIOD_MS, &budgets),
            snapshot_waits: false,
            failures: 0,
            mend_at: None,
            begun: Instant::now(),
        };
        let own = keeper.clone();
        let thread = std::thread::Builder::new().name("memory".into());
        let thread = thread.spawn(move || own.live(hand))?;
        Ok((keeper, thread))
    }

    /// Queues a group of changes without blocking. Returns `false` if the queue is full; the caller
    /// then has to queue the whole state again.
    pub fn offer(&self, changes: Vec<Change>) -> bool {
        if changes.is_empty() {
            return true;
        }
        let mut waiting = lock(&self.waiting);
        if waiting.groups.len() >= WAITING {
            drop(waiting);
            lock(&self.tally).refused += 1;
            return false;
        }
        waiting.groups.push_back(changes);
        self.bell.notify_all();
        true
    }

    /// Stops the thread once all queued changes are written.
    pub fn stop(&self) {
        lock(&self.waiting).over = true;
        self.bell.notify_all();
    }

    /// Counters and the last error, for the status page.
    pub fn status(&self) -> Value {
        let waiting = lock(&self.waiting).groups.len();
        let tally = lock(&self.tally).clone();
        json!({
            "found": self.found, "waiting": waiting, "groups": tally.groups,
            "changes": tally.changes, "bytes": tally.bytes, "snapshots": tally.snapshots,
            "longest_commit_ms": tally.longest_commit_ms, "not_taken": tally.refused,
            "fault": tally.fault,
        })
    }

    /// The thread's main loop.
    fn live<L: Directory>(&self, mut hand: Hand<L>) {
        loop {
            let now = hand.now_ms();
            let mend = hand.mend_at.is_some_and(|at| now >= at);
            if mend {
                self.mend(&mut hand);
            }
            hand.plan_snapshot(now);
            let next = hand.scheduler.next(now);
            let until = match (next, hand.mend_at, hand.scheduler.wake_at()) {
                (Some(_), ..) => now,
                (None, Some(at), _) => at,
                (None, None, Some(at)) => at,
                (None, None, None) => f64::INFINITY,
            };
            let Some(groups) = self.take(until - now) else {
                if hand.mend_at.is_some() {
                    self.mend(&mut hand);
                }
                return;
            };
            if !groups.is_empty() {
                self.commit(&mut hand, groups);
            }
            if let Some((id, piece)) = next {
                let begun = hand.now_ms();
                let more = piece.class == SNAPSHOT && self.slice(&mut hand);
                hand.snapshot_waits = more;
                let now = hand.now_ms();
                hand.scheduler.task_ran(now, id, now - begun, more);
            }
            hand.scheduler.take_events();
        }
    }

    /// Takes all queued changes, waiting for some for `wait_ms` at most. `None` once the thread is
    /// to stop and the queue is empty.
    fn take(&self, wait_ms: f64) -> Option<Vec<Change>> {
        let mut waiting = lock(&self.waiting);
        if waiting.groups.is_empty() && !waiting.over && wait_ms > 0.0 {
            let time = Duration::from_secs_f64(wait_ms.min(3.6e6) / 1e3);
            let waited = self.bell.wait_timeout(waiting, time);
            waiting = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        if waiting.groups.is_empty() && waiting.over {
            return None;
        }
        Some(waiting.groups.drain(..).flatten().collect())
    }

    /// Writes all queued changes as one group, with one sync.
    fn commit<L: Directory>(&self, hand: &mut Hand<L>, changes: Vec<Change>) {
        for change in &changes {
            if let Err(why) = hand.facts.apply(change.clone()) {
                warn!("memory: a change is passed over: {why}");
            }
        }
        if hand.mend_at.is_some() {
            // The changes are in `facts`; the generation that repairs the directory will contain
            // them.
            return;
        }
        let begun = hand.now_ms();
        match hand.store.commit(&changes) {
            Ok(bytes) => {
                let took = hand.now_ms() - begun;
                let mut tally = lock(&self.tally);
                tally.groups += 1;
                tally.changes += changes.len() as u64;
                tally.bytes += bytes;
                tally.longest_commit_ms = tally.longest_commit_ms.max(took);
            }
            Err(e) => self.failed(hand, &e),
        }
    }

    /// Records a write error and schedules the repair. Only the first of a row of errors is logged.
    fn failed<L: Directory>(&self, hand: &mut Hand<L>, e: &std::io::Error) {
        let doubled = f64::from(1_u32 << hand.failures.min(DOUBLINGS));
        hand.mend_at = Some(hand.now_ms() + AGAIN_MS * doubled);
        if hand.failures == 0 {
            warn!(error = %e, "memory: it cannot be written; decisions go on, and it is tried again");
        }
        hand.failures += 1;
        lock(&self.tally).fault = Some(e.to_string());
    }

    /// Repairs the directory by writing a new generation from the state in memory.
    fn mend<L: Directory>(&self, hand: &mut Hand<L>) {
        match hand.store.begin_generation(&hand.facts) {
            Ok(()) => match hand.store.write_snapshot_records(usize::MAX) {
                Ok(_) => {
                    (hand.mend_at, hand.failures) = (None, 0);
                    lock(&self.tally).fault = None;
                    info!("memory: it is written again");
                }
                Err(e) => self.failed(hand, &e),
            },
            Err(e) => self.failed(hand, &e),
        }
    }

    /// Writes a slice of a snapshot. Returns whether more is left.
    fn slice<L: Directory>(&self, hand: &mut Hand<L>) -> bool {
        if hand.mend_at.is_some() {
            return false;
        }
        let begun = match hand.store.is_writing_snapshot() {
            true => Ok(()),
            false => hand.store.begin_generation(&hand.facts),
        };
        match begun.and_then(|()| hand.store.write_snapshot_records(SLICE)) {
            Ok(more) => {
                lock(&self.tally).snapshots = hand.store.snapshots;
                more
            }
            Err(e) => {
                self.failed(hand, &e);
                false
            }
        }
    }
}

impl<L: Directory> Hand<L> {
    /// Milliseconds since the thread was started.
    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    /// Submits a snapshot task if the journal has grown too large.
    fn plan_snapshot(&mut self, now: f64) {
        let size = RECORD * self.facts.servers.len() as u64;
        let due = self.store.journal_bytes > (COMPACT * size).max(SMALLEST);
        if due && !self.snapshot_waits && self.mend_at.is_none() {
            let piece = Task {
                class: SNAPSHOT,
                owner: 0,
                deadline: None,
            };
            self.snapshot_waits = self.scheduler.submit(now, piece).is_some();
        }
    }
}
