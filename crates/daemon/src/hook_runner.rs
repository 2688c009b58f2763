//! The thread that runs hooks in a daemon. It loads the hook files, derives events from what happens, runs the
//! hooks of due events as background work within CPU budgets, and sends the wishes in force to the controller's
//! thread as a roster.
//!
//! Only changes of the roster wait for this thread, since hooks see them first, and for a bounded time. The
//! controller's thread never waits for it: it leaves a snapshot of the service now and then, and runs the hooks
//! before publications itself, within a bounded time for all of them.

use crate::controller_thread::ControllerThread;
use dahliapoint_control::{
    AdminState, ControllerHandle, Input, Overview, PendingLine, RosterEntry,
};
use dahliapoint_hooks::book::{Book, InForce, Listed, Told};
use dahliapoint_hooks::discipline::{Deed, End};
use dahliapoint_hooks::host::{
    Bounds, Event, Gate, Host, Id, Loaded, Turns, Verdict, events_between,
};
use dahliapoint_hooks::points::{Point, WishKind};
use dahliapoint_hooks::value::{LineSeen, ProxySeen, ServerSeen, State, Value, World};
use dahliapoint_memory::facts::Change;
use dahliapoint_memory::writer::JournalWriter;
use dahliapoint_scheduler::{Budget, Scheduler, Task};
use hdrhistogram::Histogram;
use serde_json::json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Minimum time between two snapshots of the service.
const WORLD_INTERVAL_MS: f64 = 250.0;
/// Limit of publications that wait for the hooks after them, and of verdicts that wait to be entered.
const MAX_PENDING: usize = 64;
/// Period of the CPU budgets, share of each hook point, and limit of each point's queue.
const BUDGET_PERIOD_MS: f64 = 1_000.0;
const CPU_SHARE: f64 = 0.1;
const MAX_QUEUED_EVENTS: usize = 256;
/// An event that has waited longer than this is dropped: its snapshot of the service is out of date.
const EVENT_TIMEOUT_MS: f64 = 10_000.0;
/// Hook files that one directory may have.
const MAX_FILES: usize = 256;
/// A refused roster is decided on again after this long at the latest.
const MAX_REFUSAL_MS: f64 = 600_000.0;
/// Extension of hook files.
const EXTENSION: &str = "hook";

/// Settings of hooks in a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct HooksSettings {
    pub dir: PathBuf,
    pub bounds: Bounds,
    /// Time limit of one run.
    pub run_timeout_ms: f64,
    /// Time limit of all hooks before the publications of one step of the controller.
    pub publication_timeout_ms: f64,
    /// Time limit of all hooks that see a new roster.
    pub roster_timeout_ms: f64,
    /// Interval at which the directory is checked for changes.
    pub poll_interval_ms: f64,
}

/// What other threads have left for the runner.
#[derive(Default)]
struct Inbox {
    /// Latest snapshot of the service.
    latest_world: Option<Arc<World>>,
    /// Why the guard holds a part back, by part.
    guard_reasons: BTreeMap<usize, Vec<String>>,
    lines_published: VecDeque<(usize, Vec<LineSeen>)>,
    /// Publications and verdicts that found no room.
    dropped: u64,
    verdicts: VecDeque<Verdict>,
    roster: Option<Vec<RosterEntry>>,
    ended: bool,
}

/// Runs hooks; see the [module](self).
pub struct HookRunner {
    settings: HooksSettings,
    started: Instant,
    inbox: Mutex<Inbox>,
    wakeup: Condvar,
    gate: Mutex<Arc<Gate>>,
    /// Whether any hook waits for a point, by point.
    has_hooks: [AtomicBool; 9],
    status: Mutex<serde_json::Value>,
    /// Durations of runs, and of all hooks before one publication.
    run_times_us: Mutex<Histogram<u64>>,
    gate_times_us: Mutex<Histogram<u64>>,
    held_publications: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn histogram() -> Histogram<u64> {
    // Three significant figures, up to a minute in microseconds.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

fn record_time(histogram: &Mutex<Histogram<u64>>, since: Instant) {
    let us = since.elapsed().as_micros() as u64;
    lock(histogram).saturating_record(us.max(1));
}

fn histogram_json(histogram: &Mutex<Histogram<u64>>) -> serde_json::Value {
    let t = lock(histogram);
    let at = |q| t.value_at_quantile(q) as f64 / 1e3;
    json!({"count": t.len(), "median_ms": at(0.5), "p99_ms": at(0.99), "worst_ms": t.max() as f64 / 1e3})
}

fn hook_state(state: AdminState) -> State {
    match state {
        AdminState::Ready => State::Ready,
        AdminState::Draining => State::Draining,
        AdminState::Gone => State::Gone,
    }
}

fn admin_state(state: State) -> AdminState {
    match state {
        State::Ready => AdminState::Ready,
        State::Draining => AdminState::Draining,
        State::Gone => AdminState::Gone,
    }
}

fn wall_ms() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs_f64() * 1e3
}

/// The service's state as hooks see it.
fn world_of(overview: &Overview, zones: &[String]) -> World {
    let servers = overview.servers.iter().map(|s| {
        let e = s.estimate.as_ref();
        ServerSeen {
            name: s.name.clone(),
            zone: s.zone.as_str().into(),
            state: hook_state(s.state),
            listed: s.listed_weight,
            weight: s.weight,
            shut: s.withdrawn,
            part: s.part.map_or(-1.0, |p| p as f64),
            // About a year if it is not known when it started.
            age_ms: s.started_ago_ms.unwrap_or(3.2e10),
            tries_per_s: e.map_or(0.0, |e| e.tries_per_s),
            failed_share: e.map_or(0.0, |e| e.failed_share),
            mean_ms: e.map_or(0.0, |e| e.mean_ms),
            in_flight: e.map_or(0.0, |e| e.in_flight),
            stale: e.is_some_and(|e| e.stale),
        }
    });
    let proxies = overview.proxies.iter().map(|p| ProxySeen {
        name: p.name.clone(),
        zone: p.zone.as_str().into(),
        part: p.part.map_or(-1.0, |p| p as f64),
        unanswered: p.unacknowledged as f64,
        silent: p.silent,
        contrary: p.contrary,
    });
    World {
        now_ms: wall_ms(),
        zones: zones.iter().map(|z| z.as_str().into()).collect(),
        servers: servers.collect(),
        proxies: proxies.collect(),
        ..World::default()
    }
    .indexed()
}

/// A kept value as JSON; [`from_json`] reads it back.
fn to_json(value: &Value) -> serde_json::Value {
    match value {
        Value::Bool(b) => json!(b),
        Value::Number(n) => json!(n),
        Value::Text(t) => json!(t),
        Value::State(s) => json!({"state": s.word()}),
        Value::List(l) => json!(l.iter().map(to_json).collect::<Vec<_>>()),
        Value::Map(m) => {
            let inner: serde_json::Map<_, _> =
                m.iter().map(|(k, v)| (k.to_string(), to_json(v))).collect();
            json!({"map": inner})
        }
        // These hold for one run only and are never kept.
        Value::Nothing | Value::Server(_) | Value::Proxy(_) | Value::Line(_) => json!(null),
    }
}

fn from_json(value: &serde_json::Value) -> Option<Value> {
    use serde_json::Value as J;
    Some(match value {
        J::Bool(b) => Value::Bool(*b),
        J::Number(n) => Value::Number(n.as_f64()?),
        J::String(t) => Value::text(t.as_str()),
        J::Array(l) => Value::list(l.iter().map(from_json).collect::<Option<_>>()?),
        J::Object(o) => match (o.get("state"), o.get("map")) {
            (Some(word), _) => {
                let states = [State::Ready, State::Draining, State::Gone];
                Value::State(states.into_iter().find(|s| word == s.word())?)
            }
            (_, Some(J::Object(m))) => {
                let entry = |(k, v): (&String, &J)| Some((Arc::from(k.as_str()), from_json(v)?));
                Value::Map(Arc::new(m.iter().map(entry).collect::<Option<_>>()?))
            }
            _ => return None,
        },
        J::Null => return None,
    })
}

/// Loads and checks all hook files of a directory.
///
/// # Errors
/// Returns all faults of all files; then none is loaded.
pub fn load(dir: &Path) -> Result<Vec<Loaded>, String> {
    let io_error = |e: std::io::Error| format!("{}: {e}\n", dir.display());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(io_error)? {
        let path = entry.map_err(io_error)?.path();
        if path.extension().is_some_and(|e| e == EXTENSION) {
            files.push(path);
        }
    }
    files.sort();
    if files.len() > MAX_FILES {
        return Err(format!(
            "{}: more than {MAX_FILES} hook files\n",
            dir.display()
        ));
    }
    let (mut set, mut faults) = (Vec::new(), String::new());
    for path in files {
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .to_string();
        match read(&path) {
            Ok(source) => match Loaded::new(&name, &source) {
                Ok(loaded) => set.push(loaded),
                Err(why) => faults.push_str(&why),
            },
            Err(why) => faults.push_str(&why),
        }
    }
    match faults.is_empty() {
        true => Ok(set),
        false => Err(faults),
    }
}

/// Reads a hook's source, up to one byte more than a source may have.
///
/// # Errors
/// Fails if the file cannot be read or is not UTF-8.
pub fn read(path: &Path) -> Result<String, String> {
    use std::io::Read;
    let max_bytes = dahliapoint_hooks::lex::MOST_SOURCE as u64 + 1;
    let io_error = |e: std::io::Error| format!("{}: {e}\n", path.display());
    let file = std::fs::File::open(path).map_err(io_error)?;
    let mut bytes = Vec::new();
    file.take(max_bytes)
        .read_to_end(&mut bytes)
        .map_err(io_error)?;
    String::from_utf8(bytes).map_err(|_| format!("{}: not UTF-8\n", path.display()))
}

/// State of the thread.
struct RunnerState {
    controller: ControllerThread,
    host: Host,
    book: Book,
    scheduler: Scheduler,
    /// Queued runs by the number of their task: the hook, its event, and the snapshot it sees.
    queued: HashMap<u64, (Id, Event, Arc<World>)>,
    world: Arc<World>,
    guard_reasons: BTreeMap<usize, Vec<String>>,
    /// Roster without the hooks' wishes.
    listed_roster: Vec<RosterEntry>,
    /// Roster as last sent to the controller.
    sent_roster: Vec<RosterEntry>,
    /// Pins as last sent: part, and the time at which the pin ends.
    pins: BTreeMap<usize, f64>,
    overruled: Vec<Told>,
    /// A refused roster, and the time at which it is decided on again.
    refused: Option<(Vec<RosterEntry>, f64)>,
    /// Path, length and modification time of each hook file.
    stamp: Option<Vec<(PathBuf, u64, Option<SystemTime>)>>,
    /// Why the files on disk were not loaded.
    fault: Option<String>,
    next_poll_ms: f64,
    memory: Option<Arc<JournalWriter>>,
    /// Kept values as memory has them, by file and name.
    kept: BTreeMap<(String, String), String>,
}

impl HookRunner {
    /// Creates a runner; [`HookRunner::start`] starts its thread.
    pub fn new(settings: HooksSettings) -> Arc<HookRunner> {
        Arc::new(HookRunner {
            settings,
            started: Instant::now(),
            inbox: Mutex::default(),
            wakeup: Condvar::new(),
            gate: Mutex::default(),
            has_hooks: Default::default(),
            status: Mutex::default(),
            run_times_us: Mutex::new(histogram()),
            gate_times_us: Mutex::new(histogram()),
            held_publications: AtomicU64::new(0),
        })
    }

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    // ---- called by the controller's thread; never blocks ----

    fn has_any_hooks(&self) -> bool {
        self.has_hooks.iter().any(|w| w.load(Ordering::Relaxed))
    }

    /// Makes a new snapshot of the service, if one is due and there are hooks. `last` is the time of the last one.
    pub fn update_world(
        &self,
        last: &mut f64,
        overview: impl FnOnce() -> Overview,
        zones: &[String],
    ) -> Option<Arc<World>> {
        let now = self.now_ms();
        if now - *last < WORLD_INTERVAL_MS || !self.has_any_hooks() {
            return None;
        }
        *last = now;
        let overview = overview();
        let world = Arc::new(world_of(&overview, zones));
        let mut inbox = lock(&self.inbox);
        inbox.latest_world = Some(world.clone());
        inbox.guard_reasons = overview.guard.waits;
        drop(inbox);
        self.wakeup.notify_one();
        Some(world)
    }

    /// Lines of a part were published.
    pub fn lines_published(&self, part: usize, lines: Vec<LineSeen>) {
        if !self.has_hooks[Point::AfterPublication as usize].load(Ordering::Relaxed) {
            return;
        }
        let mut inbox = lock(&self.inbox);
        if inbox.lines_published.len() >= MAX_PENDING {
            inbox.lines_published.pop_front();
            inbox.dropped += 1;
        }
        inbox.lines_published.push_back((part, lines));
        drop(inbox);
        self.wakeup.notify_one();
    }

    /// The hooks before publications, if there are any.
    pub fn gate(&self) -> Option<Arc<Gate>> {
        let gate = lock(&self.gate).clone();
        (!gate.is_empty()).then_some(gate)
    }

    /// Runs the hooks before a publication, until the deadline at the latest; returns whether one holds it
    /// back. A panic in a hook's interpreter is caught and lets the publication pass.
    pub fn check_publication(
        &self,
        gate: &Gate,
        world: &World,
        part: usize,
        lines: &[PendingLine],
        deadline: Instant,
    ) -> bool {
        let started = Instant::now();
        let seen = |l: &PendingLine| LineSeen {
            server: l.server.clone(),
            weight: l.weight,
            open: l.open,
            before: l.current_weight,
        };
        let world = World {
            lines: lines.iter().map(seen).collect(),
            ..world.clone()
        };
        let judged = catch_unwind(AssertUnwindSafe(|| {
            gate.judge(part, &world, &mut SharedDeadline::new(deadline))
        }));
        let verdict = judged.unwrap_or_else(|_| Verdict {
            said: vec![
                "the interpreter panicked in a hook before a publication; the table is published"
                    .into(),
            ],
            ..Verdict::default()
        });
        record_time(&self.gate_times_us, started);
        let hold = verdict.hold;
        self.held_publications
            .fetch_add(u64::from(hold), Ordering::Relaxed);
        let mut inbox = lock(&self.inbox);
        if inbox.verdicts.len() < MAX_PENDING {
            inbox.verdicts.push_back(verdict);
        } else {
            inbox.dropped += 1;
        }
        drop(inbox);
        self.wakeup.notify_one();
        hold
    }

    /// Time limit of all hooks before the publications of one step.
    pub fn publication_timeout_ms(&self) -> f64 {
        self.settings.publication_timeout_ms
    }

    // ---- called by other threads ----

    /// Takes a new roster; it goes to the controller once hooks have seen it, after a bounded time.
    pub fn roster(&self, entries: Vec<RosterEntry>) {
        lock(&self.inbox).roster = Some(entries);
        self.wakeup.notify_one();
    }

    /// Status for overviews.
    pub fn status(&self) -> serde_json::Value {
        let mut status = lock(&self.status).clone();
        status["run_times"] = histogram_json(&self.run_times_us);
        status["publication_times"] = histogram_json(&self.gate_times_us);
        status["publications_held"] = json!(self.held_publications.load(Ordering::Relaxed));
        status
    }

    /// Ends the thread.
    pub fn end(&self) {
        lock(&self.inbox).ended = true;
        self.wakeup.notify_one();
    }

    /// Loads the files and starts the thread. `first` is the roster that the controller starts with.
    ///
    /// # Errors
    /// Returns all faults of the files, or why the thread cannot be started.
    pub fn start(
        self: &Arc<Self>,
        controller: ControllerThread,
        first: Vec<RosterEntry>,
        memory: Option<Arc<JournalWriter>>,
        kept: BTreeMap<(String, String), String>,
    ) -> Result<JoinHandle<()>, String> {
        let set = load(&self.settings.dir)?;
        let budgets: Vec<Budget> = Point::ALL
            .iter()
            .map(|point| Budget {
                cpu_ms: match point {
                    // Not limited here: publications and rosters must not wait for a budget.
                    Point::BeforePublication | Point::RosterChanged => f64::INFINITY,
                    _ => BUDGET_PERIOD_MS * CPU_SHARE,
                },
                max_queued: MAX_QUEUED_EVENTS,
            })
            .collect();
        let mut state = RunnerState {
            controller,
            host: Host::default(),
            book: Book::default(),
            scheduler: Scheduler::new(0.0, BUDGET_PERIOD_MS, &budgets),
            queued: HashMap::new(),
            world: Arc::default(),
            guard_reasons: BTreeMap::new(),
            sent_roster: first.clone(),
            listed_roster: first,
            pins: BTreeMap::new(),
            overruled: Vec::new(),
            refused: None,
            stamp: self.stamp(),
            fault: None,
            next_poll_ms: 0.0,
            memory,
            kept,
        };
        state.host.bounds = self.settings.bounds;
        self.install(&mut state, set);
        let kept: Vec<(Arc<str>, Arc<str>, Value)> = state
            .kept
            .iter()
            .filter_map(|((f, n), v)| {
                let value = from_json(&serde_json::from_str(v).ok()?)?;
                Some((f.as_str().into(), n.as_str().into(), value))
            })
            .collect();
        state.host.put_back(&kept);
        self.update_status(&state);
        let runner = self.clone();
        let thread = std::thread::Builder::new().name("hooks".into());
        thread
            .spawn(move || runner.run_loop(state))
            .map_err(|e| e.to_string())
    }

    /// Paths, lengths and modification times of the hook files.
    fn stamp(&self) -> Option<Vec<(PathBuf, u64, Option<SystemTime>)>> {
        let entries = std::fs::read_dir(&self.settings.dir).ok()?;
        let mut out = Vec::new();
        for path in entries.filter_map(|e| Some(e.ok()?.path())) {
            if path.extension().is_some_and(|e| e == EXTENSION) {
                let meta = std::fs::metadata(&path).ok();
                let length = meta.as_ref().map_or(0, std::fs::Metadata::len);
                out.push((path, length, meta.and_then(|m| m.modified().ok())));
            }
        }
        out.sort();
        Some(out)
    }

    /// Puts a set of files in force, in place of the old one.
    fn install(&self, state: &mut RunnerState, set: Vec<Loaded>) {
        let now = self.now_ms();
        // Queued runs refer to hooks by their place in the old set.
        let queued: Vec<u64> = state.queued.drain().map(|(id, _)| id).collect();
        queued.into_iter().for_each(|id| {
            state.scheduler.cancel(id);
        });
        let file_count = set.len();
        state.host.swap(now, set);
        state.book.forget_but(&state.host.names());
        for point in Point::ALL {
            let has_hooks = state.host.waiting_for(point).next().is_some();
            self.has_hooks[point as usize].store(has_hooks, Ordering::Relaxed);
        }
        info!(
            files = file_count,
            version = state.host.version,
            "hooks are in force"
        );
    }

    /// Runs until the runner is ended.
    fn run_loop(&self, mut state: RunnerState) {
        loop {
            let Some(inbox) = self.wait_for_inbox(&state) else {
                return;
            };
            self.reload(&mut state);
            self.process_inbox(&mut state, inbox);
            let now = self.now_ms();
            for event in state.host.timers(now) {
                self.submit(&mut state, event);
            }
            let ended = state.book.expire(now);
            let is_retry_due = state.refused.as_ref().is_some_and(|(_, at)| now >= *at);
            if is_retry_due && let Some((entries, _)) = state.refused.take() {
                self.decide_roster(&mut state, entries);
            }
            log_notes(&ended);
            let mut changed = !ended.is_empty();
            // One run at a time: a roster that arrives meanwhile waits for one run at most.
            if let Some((id, _)) = state.scheduler.next(now) {
                changed |= self.run_task(&mut state, id);
            }
            state.scheduler.take_events();
            if changed {
                self.send_roster(&mut state);
            }
            self.save_kept(&mut state);
            let gate = Arc::new(state.host.gate(now));
            *lock(&self.gate) = gate;
            self.update_status(&state);
        }
    }

    /// Waits until something arrives or is due, and takes the inbox; `None` once the runner is ended.
    fn wait_for_inbox(&self, state: &RunnerState) -> Option<Inbox> {
        let now = self.now_ms();
        let refused = state.refused.as_ref().map_or(f64::INFINITY, |(_, at)| *at);
        let mut wake_at = state
            .host
            .wake_at()
            .min(state.book.wake_at())
            .min(state.next_poll_ms)
            .min(refused);
        if !state.queued.is_empty() {
            wake_at = state.scheduler.wake_at().map_or(now, |at| wake_at.min(at));
        }
        let mut inbox = lock(&self.inbox);
        let is_empty = |m: &Inbox| {
            m.latest_world.is_none()
                && m.lines_published.is_empty()
                && m.verdicts.is_empty()
                && m.roster.is_none()
                && !m.ended
        };
        let end = Instant::now() + Duration::from_secs_f64((wake_at - now).clamp(0.0, 3.6e6) / 1e3);
        while is_empty(&inbox) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.wakeup.wait_timeout(inbox, left);
            inbox = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        match inbox.ended {
            true => None,
            false => Some(std::mem::take(&mut *inbox)),
        }
    }

    /// Checks the directory, if that is due. If a file has a fault, the set in force stays.
    fn reload(&self, state: &mut RunnerState) {
        let now = self.now_ms();
        if now < state.next_poll_ms {
            return;
        }
        state.next_poll_ms = now + self.settings.poll_interval_ms;
        let stamp = self.stamp();
        if stamp == state.stamp {
            return;
        }
        state.stamp = stamp;
        match load(&self.settings.dir) {
            Ok(set) => {
                state.fault = None;
                self.install(state, set);
                self.send_roster(state);
            }
            Err(why) => {
                warn!(target: "hooks", "refused, version {} stays in force:\n{why}", state.host.version);
                state.fault = Some(why);
            }
        }
    }

    /// Handles what other threads have left.
    fn process_inbox(&self, state: &mut RunnerState, inbox: Inbox) {
        if let Some(entries) = inbox.roster {
            state.refused = None;
            self.decide_roster(state, entries);
        }
        for verdict in inbox.verdicts {
            let now = self.now_ms();
            for message in &verdict.said {
                warn!(target: "hooks", "{message}");
            }
            for (id, end) in verdict.ran {
                if let Deed::Rests(ms) = state.host.gate_ran(now, id, end) {
                    warn!(target: "hooks", "{} rests for {} s", state.host.name(id), ms / 1e3);
                }
            }
            for (hook, text) in verdict.alerts {
                let alert = alert(text);
                if let Ok(notes) = state.book.takes(now, &hook, &[alert]) {
                    log_notes(&notes);
                }
            }
        }
        if let Some(world) = inbox.latest_world {
            let before = std::mem::replace(&mut state.world, world);
            // The first snapshot has nothing to compare with.
            if !before.servers.is_empty() || !before.proxies.is_empty() {
                for event in events_between(&before, &state.world.clone()) {
                    self.submit(state, event);
                }
            }
            for (part, reasons) in inbox.guard_reasons.clone() {
                if state.guard_reasons.get(&part) != Some(&reasons) {
                    let reasons = reasons.iter().map(|r| r.as_str().into()).collect();
                    self.submit(state, Event::GuardHeld(part, reasons));
                }
            }
            state.guard_reasons = inbox.guard_reasons;
        }
        for (part, lines) in inbox.lines_published {
            self.submit(state, Event::AfterPublication(part, lines));
        }
    }

    /// Queues a run of each hook that is due for an event.
    fn submit(&self, state: &mut RunnerState, event: Event) {
        let now = self.now_ms();
        for id in state.host.due(now, &event) {
            let task = Task {
                class: event.point() as usize,
                owner: id.file as u64,
                deadline: Some(now + EVENT_TIMEOUT_MS),
            };
            if let Some(number) = state.scheduler.submit(now, task) {
                state
                    .queued
                    .insert(number, (id, event.clone(), state.world.clone()));
            }
        }
        // Runs that were evicted or have expired are dropped.
        for event in state.scheduler.take_events() {
            if let dahliapoint_scheduler::Event::Evicted(id)
            | dahliapoint_scheduler::Event::Expired(id) = event
            {
                state.queued.remove(&id);
            }
        }
    }

    /// Runs one queued task; returns whether it made wishes.
    fn run_task(&self, state: &mut RunnerState, number: u64) -> bool {
        let started = self.now_ms();
        let mut has_wishes = false;
        if let Some((id, event, world)) = state.queued.remove(&number) {
            let world = match &event {
                Event::AfterPublication(_, lines) => Arc::new(World {
                    lines: lines.clone(),
                    ..(*world).clone()
                }),
                _ => world,
            };
            let deadline =
                Instant::now() + Duration::from_secs_f64(self.settings.run_timeout_ms / 1e3);
            has_wishes = self
                .run(state, id, &event, &world, deadline)
                .is_some_and(|wishes| wishes > 0);
        }
        let now = self.now_ms();
        state.scheduler.task_ran(now, number, now - started, false);
        has_wishes
    }

    /// Runs a hook and enters its wishes in the book. Returns their number, or `None` if the run did not end well
    /// or its wishes were not accepted. A wish to refuse the roster sets `state.refused`, whose roster the caller
    /// fills in.
    fn run(
        &self,
        state: &mut RunnerState,
        id: Id,
        event: &Event,
        world: &World,
        deadline: Instant,
    ) -> Option<usize> {
        let (now, started) = (self.now_ms(), Instant::now());
        let host = &mut state.host;
        let ran = catch_unwind(AssertUnwindSafe(|| {
            host.run(now, id, event, world, &mut || Instant::now() >= deadline)
        }));
        record_time(&self.run_times_us, started);
        let ran = match ran {
            Ok(ran) => ran?,
            Err(_) => {
                state.host.gate_ran(now, id, End::CutOff);
                warn!(target: "hooks", "the interpreter panicked in {}; the hook pauses", state.host.name(id));
                return None;
            }
        };
        if let Some(message) = &ran.said {
            warn!(target: "hooks", "{message}");
        }
        if ran.end != End::Well {
            return None;
        }
        let refuses = ran.wishes.iter().find(|w| w.kind == WishKind::RefuseRoster);
        if let Some(refusal) = refuses {
            let duration_ms = refusal
                .lasts_ms
                .unwrap_or(MAX_REFUSAL_MS)
                .min(MAX_REFUSAL_MS);
            let retry_at = now + duration_ms;
            warn!(target: "hooks", "{} refuses the roster: {}", ran.hook, refusal.reason);
            let before = state.refused.take().map_or(0.0, |(_, at)| at);
            state.refused = Some((Vec::new(), retry_at.max(before)));
        }
        match state.book.takes(now, &ran.hook, &ran.wishes) {
            Ok(notes) => {
                log_notes(&notes);
                Some(ran.wishes.len())
            }
            Err(why) => {
                warn!(target: "hooks", "{}: the wishes of this run are refused: {why}", ran.hook);
                None
            }
        }
    }

    /// Runs the hooks that see a new roster, together no longer than their time limit; then it takes effect, unless
    /// one refused it.
    fn decide_roster(&self, state: &mut RunnerState, entries: Vec<RosterEntry>) {
        let before: BTreeMap<&str, &RosterEntry> = state
            .listed_roster
            .iter()
            .map(|e| (e.name.as_str(), e))
            .collect();
        let is_changed = |e: &&RosterEntry| {
            before
                .get(e.name.as_str())
                .is_none_or(|b| b.state != e.state || b.weight != e.weight)
        };
        let mut changed: Vec<Arc<str>> = entries
            .iter()
            .filter(is_changed)
            .map(|e| e.name.as_str().into())
            .collect();
        let present: std::collections::BTreeSet<&str> =
            entries.iter().map(|e| e.name.as_str()).collect();
        let dropped: Vec<RosterEntry> = state
            .listed_roster
            .iter()
            .filter(|e| !present.contains(e.name.as_str()))
            .map(|e| RosterEntry {
                state: AdminState::Gone,
                ..e.clone()
            })
            .collect();
        changed.extend(dropped.iter().map(|e| Arc::from(e.name.as_str())));
        if !changed.is_empty() {
            let world = with_roster(&state.world, entries.iter().chain(&dropped));
            let event = Event::RosterChanged(changed);
            let deadline =
                Instant::now() + Duration::from_secs_f64(self.settings.roster_timeout_ms / 1e3);
            let mut limits = SharedDeadline::new(deadline);
            let hooks = state.host.due(self.now_ms(), &event);
            for (i, id) in hooks.iter().enumerate() {
                if limits.are_over() {
                    let name = state.host.name(*id);
                    warn!(target: "hooks", "{name} did not see the roster: the time limit of all hooks had passed");
                    continue;
                }
                limits.begins(hooks.len() - i);
                let run_deadline =
                    Instant::now() + Duration::from_secs_f64(self.settings.run_timeout_ms / 1e3);
                self.run(
                    state,
                    *id,
                    &event,
                    &world,
                    limits.run_deadline.min(run_deadline),
                );
            }
        }
        if let Some((refused, _)) = &mut state.refused {
            *refused = entries;
        } else {
            state.listed_roster = entries;
        }
        self.send_roster(state);
    }

    /// Sends the roster with the wishes in force, and the pins, to the controller, if they have changed.
    fn send_roster(&self, state: &mut RunnerState) {
        let listed = |e: &RosterEntry| Listed {
            name: e.name.as_str().into(),
            zone: e.zone.as_str().into(),
            state: hook_state(e.state),
            weight: e.weight,
        };
        let roster: Vec<Listed> = state.listed_roster.iter().map(listed).collect();
        let InForce {
            servers,
            pins,
            overruled,
        } = state.book.in_force(&roster);
        let entries: Vec<RosterEntry> = state
            .listed_roster
            .iter()
            .map(|e| match servers.get(e.name.as_str()) {
                Some((state, weight)) => RosterEntry {
                    state: admin_state(*state),
                    weight: *weight,
                    ..e.clone()
                },
                None => e.clone(),
            })
            .collect();
        if overruled != state.overruled {
            log_notes(&overruled);
            state.overruled = overruled;
        }
        if entries != state.sent_roster {
            state.controller.send(Input::Roster(entries.clone()));
            state.sent_roster = entries;
        }
        if pins != state.pins {
            let now = self.now_ms();
            let durations = pins
                .iter()
                .map(|(part, deadline)| (*part, (deadline - now).max(0.0)));
            state.controller.send(Input::Pinned(durations.collect()));
            state.pins = pins;
        }
    }

    /// Passes changed values that hooks keep on to memory.
    fn save_kept(&self, state: &mut RunnerState) {
        let Some(memory) = &state.memory else {
            return;
        };
        let mut changes = Vec::new();
        for (file, name, value) in state.host.kept() {
            let text = to_json(&value).to_string();
            let key = (file.to_string(), name.to_string());
            if state.kept.get(&key) != Some(&text) {
                changes.push(Change::Kept(key.0.clone(), key.1.clone(), text.clone()));
                state.kept.insert(key, text);
            }
        }
        if !changes.is_empty() && !memory.offer(changes) {
            // The journal's queue is full: all are offered again the next time.
            state.kept.clear();
        }
    }

    fn update_status(&self, state: &RunnerState) {
        let now = self.now_ms();
        let hooks = state.host.told(now).into_iter().map(|(name, r, rests)| {
            json!({"hook": name, "runs": r.runs, "failed": r.failed, "cut_off": r.cut_off, "not_heard": r.unheard,
                   "rests_ms": rests.map(|deadline| deadline - now)})
        });
        let wishes = state.book.told().map(|(kind, whom, hook, number, deadline, why)| {
            json!({"wish": kind, "whom": whom, "hook": &**hook, "number": number, "ends_in_ms": deadline - now, "because": &**why})
        });
        let notes = state
            .book
            .notes()
            .map(|(key, hook, text)| json!({"key": &**key, "hook": &**hook, "text": &**text}));
        let alerts = state
            .book
            .alerts()
            .map(|(at, hook, text)| json!({"ago_ms": now - at, "hook": &**hook, "text": &**text}));
        let overruled = state
            .overruled
            .iter()
            .map(|t| json!({"hook": &*t.hook, "what": t.what}));
        let status = json!({
            "version": state.host.version,
            "fault": state.fault,
            "hooks": hooks.collect::<Vec<_>>(),
            "wishes": wishes.collect::<Vec<_>>(),
            "overruled": overruled.collect::<Vec<_>>(),
            "notes": notes.collect::<Vec<_>>(),
            "alerts": alerts.collect::<Vec<_>>(),
            "roster_refused": state.refused.is_some(),
            "events_waiting": state.queued.len(),
            "events_dropped": lock(&self.inbox).dropped,
        });
        *lock(&self.status) = status;
    }
}

/// A deadline that several runs share: each gets an equal part of the time that is left when it begins.
struct SharedDeadline {
    shared_deadline: Instant,
    /// Deadline of the present run.
    run_deadline: Instant,
}

impl SharedDeadline {
    fn new(shared_deadline: Instant) -> SharedDeadline {
        SharedDeadline {
            shared_deadline,
            run_deadline: shared_deadline,
        }
    }
}

impl Turns for SharedDeadline {
    fn begins(&mut self, left: usize) {
        let now = Instant::now();
        self.run_deadline =
            now + self.shared_deadline.saturating_duration_since(now) / left.max(1) as u32;
    }

    fn is_up(&mut self) -> bool {
        Instant::now() >= self.run_deadline
    }

    fn are_over(&mut self) -> bool {
        Instant::now() >= self.shared_deadline
    }
}

fn alert(text: Arc<str>) -> dahliapoint_hooks::ops::Wished {
    dahliapoint_hooks::ops::Wished {
        kind: WishKind::Alert,
        whom: "".into(),
        number: 0.0,
        text,
        lasts_ms: None,
        reason: "".into(),
    }
}

fn log_notes(notes: &[Told]) {
    for t in notes {
        info!(target: "hooks", "{}: {}", t.hook, t.what);
    }
}

/// The service's state as it would be with another roster.
fn with_roster<'a>(world: &World, entries: impl Iterator<Item = &'a RosterEntry>) -> World {
    let mut world = world.clone();
    for e in entries {
        let name: Arc<str> = e.name.as_str().into();
        match world
            .by_name
            .get(&name)
            .and_then(|i| world.servers.get_mut(*i as usize))
        {
            Some(s) => (s.state, s.listed) = (hook_state(e.state), e.weight),
            None => world.servers.push(ServerSeen {
                name,
                zone: e.zone.as_str().into(),
                state: hook_state(e.state),
                listed: e.weight,
                weight: 0.0,
                shut: false,
                part: -1.0,
                age_ms: e.started.map_or(3.2e10, |(ago, _)| ago),
                tries_per_s: 0.0,
                failed_share: 0.0,
                mean_ms: 0.0,
                in_flight: 0.0,
                stale: false,
            }),
        }
    }
    world.now_ms = wall_ms();
    world.indexed()
}
