//! The thread that writes what is known. Decisions never wait for it: changes are offered to a bounded
//! queue, and one that is full says so. Commits go before snapshots, which are written in slices within a
//! budget. Whatever fails, the facts are in memory: a new generation from them mends the directory.

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

/// Groups of changes that may wait.
const WAITING: usize = 256;
/// A journal this many times as large as a snapshot of what it leads to is compacted; no sooner than at
/// this size.
const COMPACT: u64 = 4;
const SMALLEST: u64 = 256 * 1024;
const RECORD: u64 = 200;
/// Records of a snapshot that one slice writes, and the budget of all slices in a period.
const SLICE: usize = 256;
const PERIOD_MS: f64 = 100.0;
const SNAPSHOT_SHARE: f64 = 0.2;
/// Commits have no class: they are what the thread does first in each turn.
const SNAPSHOT: usize = 0;
/// A directory that fails is tried again after this long, doubling so often.
const AGAIN_MS: f64 = 500.0;
const DOUBLINGS: u32 = 6;

#[derive(Default)]
struct Waiting {
    groups: VecDeque<Vec<Change>>,
    over: bool,
}

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

/// See the module's head.
pub struct JournalWriter {
    waiting: Mutex<Waiting>,
    bell: Condvar,
    tally: Mutex<Tally>,
    found: Found,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

struct Hand<L: Directory> {
    store: Store<L>,
    facts: Facts,
    scheduler: Scheduler,
    snapshot_waits: bool,
    failures: u32,
    /// The journal cannot be relied on: a new generation is due at that time.
    mend_at: Option<f64>,
    begun: Instant,
}

impl JournalWriter {
    /// Starts to write; `facts` are what the store was opened with.
    ///
    /// # Errors
    /// When the thread cannot be started.
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

    /// Offers a group of changes, without waiting. False: there is no room, and all is to be offered anew.
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

    /// Ends it once what waits was written.
    pub fn stop(&self) {
        lock(&self.waiting).over = true;
        self.bell.notify_all();
    }

    /// For people.
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

    /// All that waits; waits for it so long. Nothing once it is over and all was taken.
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

    /// One group for all that waits: one sync.
    fn commit<L: Directory>(&self, hand: &mut Hand<L>, changes: Vec<Change>) {
        for change in &changes {
            if let Err(why) = hand.facts.apply(change.clone()) {
                warn!("memory: a change is passed over: {why}");
            }
        }
        if hand.mend_at.is_some() {
            // The facts have it; the generation that mends the directory will too.
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

    fn failed<L: Directory>(&self, hand: &mut Hand<L>, e: &std::io::Error) {
        let doubled = f64::from(1_u32 << hand.failures.min(DOUBLINGS));
        hand.mend_at = Some(hand.now_ms() + AGAIN_MS * doubled);
        if hand.failures == 0 {
            warn!(error = %e, "memory: it cannot be written; decisions go on, and it is tried again");
        }
        hand.failures += 1;
        lock(&self.tally).fault = Some(e.to_string());
    }

    /// Begins anew from the facts: whatever was half written is behind us.
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

    /// A slice of a snapshot; tells whether more is to do.
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
    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

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
