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
const MAX_QUEUED_GROUPS: usize = 256;
/// The journal is compacted once it is this many times as large as a snapshot would be.
const COMPACTION_FACTOR: u64 = 4;
/// A smaller journal is not compacted.
const MIN_COMPACTION_BYTES: u64 = 256 * 1024;
/// Estimated size of a server's record in a snapshot.
const RECORD_BYTES: u64 = 200;
/// Snapshot records written per slice.
const SLICE_RECORDS: usize = 256;
/// The scheduler's period.
const PERIOD_MS: f64 = 100.0;
/// Share of a period that all slices of a snapshot may use.
const SNAPSHOT_SHARE: f64 = 0.2;
/// The scheduler class of snapshots. Commits need none: the thread does them first in each
/// iteration.
const SNAPSHOT_CLASS: usize = 0;
/// Delay before a failed directory is tried again; it doubles with each failure.
const RETRY_DELAY_MS: f64 = 500.0;
/// Maximum number of times the delay doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Queued groups of changes, and whether to stop.
#[derive(Default)]
struct Queue {
    groups: VecDeque<Vec<Change>>,
    stopping: bool,
}

/// Counters for the status page.
#[derive(Clone, Debug, Default)]
struct Counters {
    groups: u64,
    changes: u64,
    bytes: u64,
    snapshots: u64,
    longest_commit_ms: f64,
    rejected: u64,
    fault: Option<String>,
}

/// Handle to the writer thread; see the module documentation.
pub struct JournalWriter {
    queue: Mutex<Queue>,
    wakeup: Condvar,
    counters: Mutex<Counters>,
    found: Found,
}

/// Locks a mutex, ignoring poisoning.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// State owned by the writer thread.
struct WriterState<L: Directory> {
    store: Store<L>,
    facts: Facts,
    scheduler: Scheduler,
    snapshot_queued: bool,
    failures: u32,
    /// Set while the journal is unreliable: when to try a new generation.
    repair_at: Option<f64>,
    started: Instant,
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
        let writer = Arc::new(JournalWriter {
            queue: Mutex::default(),
            wakeup: Condvar::new(),
            counters: Mutex::default(),
            found,
        });
        let budget = |ms| Budget {
            cpu_ms: ms,
            max_queued: 8,
        };
        let budgets = [budget(PERIOD_MS * SNAPSHOT_SHARE)];
        let state = WriterState {
            store,
            facts,
            scheduler: Scheduler::new(0.0, PERIOD_MS, &budgets),
            snapshot_queued: false,
            failures: 0,
            repair_at: None,
            started: Instant::now(),
        };
        let handle = writer.clone();
        let thread = std::thread::Builder::new().name("memory".into());
        let thread = thread.spawn(move || handle.run(state))?;
        Ok((writer, thread))
    }

    /// Queues a group of changes without blocking. Returns `false` if the queue is full; the caller
    /// then has to queue the whole state again.
    pub fn offer(&self, changes: Vec<Change>) -> bool {
        if changes.is_empty() {
            return true;
        }
        let mut queue = lock(&self.queue);
        if queue.groups.len() >= MAX_QUEUED_GROUPS {
            drop(queue);
            lock(&self.counters).rejected += 1;
            return false;
        }
        queue.groups.push_back(changes);
        self.wakeup.notify_all();
        true
    }

    /// Stops the thread once all queued changes are written.
    pub fn stop(&self) {
        lock(&self.queue).stopping = true;
        self.wakeup.notify_all();
    }

    /// Counters and the last error, for the status page.
    pub fn status(&self) -> Value {
        let waiting = lock(&self.queue).groups.len();
        let counters = lock(&self.counters).clone();
        json!({
            "found": self.found, "waiting": waiting, "groups": counters.groups,
            "changes": counters.changes, "bytes": counters.bytes, "snapshots": counters.snapshots,
            "longest_commit_ms": counters.longest_commit_ms, "not_taken": counters.rejected,
            "fault": counters.fault,
        })
    }

    /// The thread's main loop.
    fn run<L: Directory>(&self, mut state: WriterState<L>) {
        loop {
            let now = state.now_ms();
            let repair_due = state.repair_at.is_some_and(|at| now >= at);
            if repair_due {
                self.repair(&mut state);
            }
            state.plan_snapshot(now);
            let next = state.scheduler.next(now);
            let until = match (next, state.repair_at, state.scheduler.wake_at()) {
                (Some(_), ..) => now,
                (None, Some(at), _) => at,
                (None, None, Some(at)) => at,
                (None, None, None) => f64::INFINITY,
            };
            let Some(changes) = self.take(until - now) else {
                if state.repair_at.is_some() {
                    self.repair(&mut state);
                }
                return;
            };
            if !changes.is_empty() {
                self.commit(&mut state, changes);
            }
            if let Some((id, task)) = next {
                let started = state.now_ms();
                let more = task.class == SNAPSHOT_CLASS && self.write_slice(&mut state);
                state.snapshot_queued = more;
                let now = state.now_ms();
                state.scheduler.task_ran(now, id, now - started, more);
            }
            state.scheduler.take_events();
        }
    }

    /// Takes all queued changes, waiting for some for `wait_ms` at most. `None` once the thread is
    /// to stop and the queue is empty.
    fn take(&self, wait_ms: f64) -> Option<Vec<Change>> {
        let mut queue = lock(&self.queue);
        if queue.groups.is_empty() && !queue.stopping && wait_ms > 0.0 {
            let timeout = Duration::from_secs_f64(wait_ms.min(3.6e6) / 1e3);
            let waited = self.wakeup.wait_timeout(queue, timeout);
            queue = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        if queue.groups.is_empty() && queue.stopping {
            return None;
        }
        Some(queue.groups.drain(..).flatten().collect())
    }

    /// Writes all queued changes as one group, with one sync.
    fn commit<L: Directory>(&self, state: &mut WriterState<L>, changes: Vec<Change>) {
        for change in &changes {
            if let Err(why) = state.facts.apply(change.clone()) {
                warn!("memory: skipped an invalid change: {why}");
            }
        }
        if state.repair_at.is_some() {
            // The changes are in `facts`; the generation that repairs the directory will contain
            // them.
            return;
        }
        let started = state.now_ms();
        match state.store.commit(&changes) {
            Ok(bytes) => {
                let took = state.now_ms() - started;
                let mut counters = lock(&self.counters);
                counters.groups += 1;
                counters.changes += changes.len() as u64;
                counters.bytes += bytes;
                counters.longest_commit_ms = counters.longest_commit_ms.max(took);
            }
            Err(e) => self.failed(state, &e),
        }
    }

    /// Records a write error and schedules the repair. Only the first of a row of errors is logged.
    fn failed<L: Directory>(&self, state: &mut WriterState<L>, e: &std::io::Error) {
        let factor = f64::from(1_u32 << state.failures.min(MAX_DOUBLINGS));
        state.repair_at = Some(state.now_ms() + RETRY_DELAY_MS * factor);
        if state.failures == 0 {
            warn!(error = %e, "memory: cannot write; decisions continue, and writing is retried");
        }
        state.failures += 1;
        lock(&self.counters).fault = Some(e.to_string());
    }

    /// Repairs the directory by writing a new generation from the state in memory.
    fn repair<L: Directory>(&self, state: &mut WriterState<L>) {
        match state.store.begin_generation(&state.facts) {
            Ok(()) => match state.store.write_snapshot_records(usize::MAX) {
                Ok(_) => {
                    (state.repair_at, state.failures) = (None, 0);
                    lock(&self.counters).fault = None;
                    info!("memory: writing works again");
                }
                Err(e) => self.failed(state, &e),
            },
            Err(e) => self.failed(state, &e),
        }
    }

    /// Writes a slice of a snapshot. Returns whether more is left.
    fn write_slice<L: Directory>(&self, state: &mut WriterState<L>) -> bool {
        if state.repair_at.is_some() {
            return false;
        }
        let ready = match state.store.is_writing_snapshot() {
            true => Ok(()),
            false => state.store.begin_generation(&state.facts),
        };
        match ready.and_then(|()| state.store.write_snapshot_records(SLICE_RECORDS)) {
            Ok(more) => {
                lock(&self.counters).snapshots = state.store.snapshots;
                more
            }
            Err(e) => {
                self.failed(state, &e);
                false
            }
        }
    }
}

impl<L: Directory> WriterState<L> {
    /// Milliseconds since the thread was started.
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Submits a snapshot task if the journal has grown too large.
    fn plan_snapshot(&mut self, now: f64) {
        let snapshot_bytes = RECORD_BYTES * self.facts.servers.len() as u64;
        let due = self.store.journal_bytes
            > (COMPACTION_FACTOR * snapshot_bytes).max(MIN_COMPACTION_BYTES);
        if due && !self.snapshot_queued && self.repair_at.is_none() {
            let task = Task {
                class: SNAPSHOT_CLASS,
                owner: 0,
                deadline: None,
            };
            self.snapshot_queued = self.scheduler.submit(now, task).is_some();
        }
    }
}
