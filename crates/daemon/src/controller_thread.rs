//! The thread that owns the controller. Others put inputs into its queue; everything that is queued
//! when the thread looks is handled as one step.
//!
//! Load reports do not go through that queue. They go into the intake's report queue, which merges
//! them without blocking, and are read once per reporting interval (a round) as background work, in
//! slices. Inputs are handled between two slices, so a drain waits for one slice of reports at most.

use crate::hook_runner::HookRunner;
use dahliapoint_control::record::{Header, Recorder};
use dahliapoint_control::{
    Controller, ControllerSettings, FaultInjector, Input, LineState, LoadReport, Output,
    ReportLine, Scope, Session,
};
use dahliapoint_fibers::{Notify, Queue, Received};
use dahliapoint_hooks::value::{LineSeen, World};
use dahliapoint_intake::interval::ReportInterval;
use dahliapoint_intake::report_queue::{Line, MergedReport, ReportQueue};
use dahliapoint_memory::clock;
use dahliapoint_memory::facts::{Change, ChangeTracker, Facts};
use dahliapoint_memory::writer::JournalWriter;
use dahliapoint_peer::service::SharedFacts;
use dahliapoint_scheduler::{Budget, Event, Scheduler, Task, TaskId};
use dahliapoint_xds::ControllerHandle;

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufWriter};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tracing::{debug, error, info, warn};

/// Status as JSON.
pub type Json = serde_json::Value;

/// Limit of the input queue; while it is full, senders block.
const MAX_QUEUED_ITEMS: usize = 16 * 1024;
/// Servers that one reporter may report on.
const MAX_SERVERS_PER_REPORTER: usize = 20_000;
/// Reading of the clock at its start; large enough that times in the past stay positive.
const CLOCK_ORIGIN_MS: f64 = 1e9;

/// Classes of background work, in order of priority: reading reports, then answering status requests.
/// Inputs are not background work: they are handled before any of it.
const REPORTS_CLASS: usize = 0;
const STATUS_CLASS: usize = 1;
/// Period of the CPU budgets, share of each class, and limit of each class's queue.
const BUDGET_PERIOD_MS: f64 = 100.0;
const REPORTS_CPU_SHARE: f64 = 0.5;
const STATUS_CPU_SHARE: f64 = 0.1;
const MAX_QUEUED_TASKS: usize = 1024;
/// Merged reports that one slice reads.
const REPORTERS_PER_SLICE: usize = 64;

/// Locks a mutex, also after a panic of another holder.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Present time, from a start at [`CLOCK_ORIGIN_MS`].
    pub fn now_ms(&self) -> f64 {
        CLOCK_ORIGIN_MS + self.0.elapsed().as_secs_f64() * 1e3
    }

    fn at(&self, ms: f64) -> Option<Instant> {
        let after = (ms - CLOCK_ORIGIN_MS) / 1e3;
        // A time that is further ahead, or infinite, is cut to a year, so that it fits an `Instant`.
        let after = after.clamp(0.0, 86_400.0 * 365.0);
        self.0.checked_add(Duration::from_secs_f64(after))
    }
}

/// Entry of the thread's queue.
enum Item {
    Input(Input),
    StatusRequest(Arc<StatusRequest>),
}

/// A request for the controller's status, with its answer.
#[derive(Default)]
struct StatusRequest {
    answer: Mutex<Option<serde_json::Value>>,
    done: Notify,
}

/// Carries out an output, or returns it if it cannot.
pub type OutputHandler = Box<dyn Fn(Output) -> Option<Output> + Send>;

/// The proxy's name and the number of its report stream.
type Reporter = (Arc<str>, Session);

/// Key of a report line: a server and a class; for arrivals, the name of the class and 0.
type LineKey = (Arc<str>, usize);

/// Handle of the controller's thread; clones refer to the same thread.
#[derive(Clone)]
pub struct ControllerThread {
    clock: Clock,
    queue: Queue<Item>,
    report_queue: Arc<Mutex<ReportQueue<Reporter, LineKey>>>,
    /// Reporting interval that proxies are to use, as the bits of an `f64`.
    report_interval_ms: Arc<AtomicU64>,
    roster_fault: Arc<Mutex<Option<String>>>,
    stats: Arc<Mutex<LoopStats>>,
    status_views: Arc<Mutex<Vec<(&'static str, StatusView)>>>,
    hook_runner: Arc<Mutex<Option<Arc<HookRunner>>>>,
    peer_facts: Arc<Mutex<Option<(SharedFacts, ChangeTracker)>>>,
    /// Falsifies the planner's orders, for tests of the guard.
    fault_injector: Arc<Mutex<Option<FaultInjector>>>,
}

/// Status of one component, as part of the overview.
pub type StatusView = Box<dyn Fn() -> Json + Send>;

/// Counters of the thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopStats {
    /// Batches of inputs that were handled.
    pub steps: u64,
    pub inputs: u64,
    /// Time spent in [`Controller::handle`] and with its inputs.
    pub total_step_ms: f64,
    pub longest_step_ms: f64,
    /// Rounds of load reports that were read.
    pub rounds: u64,
    /// Longest time from the start of a round to its last slice.
    pub longest_round_ms: f64,
    /// How often a class had background work left but no budget in its period.
    pub deferred_tasks: u64,
}

/// State of the thread.
struct LoopState {
    controller: Controller,
    record: Option<Recorder<BufWriter<File>>>,
    output_handler: OutputHandler,
    scheduler: Scheduler,
    interval: ReportInterval,
    report_interval_ms: f64,
    next_round_ms: f64,
    /// Reports of the present round that are not read yet.
    unread: VecDeque<MergedReport<Reporter, LineKey>>,
    /// Task that reads them, and the time at which the round began.
    reading_task: Option<(TaskId, f64)>,
    /// Lines that the report queue had counted at the last round.
    lines_seen: u64,
    status_requests: Vec<(TaskId, Arc<StatusRequest>)>,
    memory: Option<(Arc<JournalWriter>, ChangeTracker)>,
    /// Facts for peers, updated after each round and each change of the roster.
    peer_facts: Option<(SharedFacts, ChangeTracker)>,
    hook_runner: Option<Arc<HookRunner>>,
    /// Last state of the service that hooks were given, and its time.
    world: Arc<World>,
    world_updated_ms: f64,
}

impl ControllerThread {
    /// Creates the queue; the thread starts with [`ControllerThread::run`]. `report_interval_ms` is
    /// the configured reporting interval.
    pub fn new(clock: Clock, seed: u64, report_interval_ms: f64) -> ControllerThread {
        ControllerThread {
            clock,
            queue: Queue::bounded(MAX_QUEUED_ITEMS),
            report_queue: Arc::new(Mutex::new(ReportQueue::new(
                report_interval_ms,
                MAX_SERVERS_PER_REPORTER,
                seed,
            ))),
            report_interval_ms: Arc::new(AtomicU64::new(report_interval_ms.to_bits())),
            roster_fault: Arc::default(),
            stats: Arc::default(),
            status_views: Arc::default(),
            hook_runner: Arc::default(),
            peer_facts: Arc::default(),
            fault_injector: Arc::default(),
        }
    }

    /// Keeps `peer_facts` up to date, beginning with `first`. To be called before `run`.
    pub fn share_facts(&self, peer_facts: SharedFacts, first: &Facts) {
        *peer_facts.lock() = first.clone();
        *lock(&self.peer_facts) = Some((peer_facts, ChangeTracker::from_facts(first)));
    }

    /// Connects the hooks. To be called before `run`.
    pub fn set_hooks(&self, hook_runner: Arc<HookRunner>) {
        *lock(&self.hook_runner) = Some(hook_runner);
    }

    /// Puts a fault injector between planner and guard. To be called before `run`.
    pub fn inject_faults(&self, injector: FaultInjector) {
        *lock(&self.fault_injector) = Some(injector);
    }

    /// Starts the thread with a new controller, which handles the inputs of `first` before those of
    /// the queue. Inputs are recorded in the file `record`, if one is given.
    ///
    /// # Errors
    /// Fails if the record cannot be written or the thread cannot be started.
    pub fn run(
        &self,
        seed: u64,
        settings: ControllerSettings,
        record: Option<&Path>,
        first: Vec<Input>,
        output_handler: OutputHandler,
        memory: Option<(Arc<JournalWriter>, ChangeTracker)>,
    ) -> io::Result<JoinHandle<()>> {
        let now = self.clock.now_ms();
        let mut recorder = None;
        if let Some(path) = record {
            let begin = Header {
                now,
                seed,
                settings: settings.clone(),
            };
            recorder = Some(Recorder::create(
                BufWriter::new(File::create(path)?),
                &begin,
            )?);
        }
        let budget = |share| Budget {
            cpu_ms: BUDGET_PERIOD_MS * share,
            max_queued: MAX_QUEUED_TASKS,
        };
        let budgets = [budget(REPORTS_CPU_SHARE), budget(STATUS_CPU_SHARE)];
        let report_interval_ms = settings.report_interval_ms;
        let mut state = LoopState {
            interval: ReportInterval::new(now, report_interval_ms, settings.report_lines_per_s),
            controller: Controller::new(now, seed, settings),
            record: recorder,
            output_handler,
            scheduler: Scheduler::new(now, BUDGET_PERIOD_MS, &budgets),
            report_interval_ms,
            next_round_ms: now + report_interval_ms,
            unread: VecDeque::new(),
            reading_task: None,
            lines_seen: 0,
            status_requests: Vec::new(),
            memory,
            peer_facts: lock(&self.peer_facts).take(),
            hook_runner: lock(&self.hook_runner).take(),
            world: Arc::default(),
            world_updated_ms: f64::NEG_INFINITY,
        };
        if let Some(injector) = lock(&self.fault_injector).take() {
            state.controller.inject_faults(injector);
        }
        let controller = self.clone();
        std::thread::Builder::new()
            .name("controller".into())
            .spawn(move || controller.run_loop(state, first))
    }

    fn run_loop(&self, mut state: LoopState, first: Vec<Input>) {
        self.run_step(&mut state, first);
        loop {
            let now = self.clock.now_ms();
            if now >= state.next_round_ms && state.reading_task.is_none() {
                self.begin_round(&mut state, now);
            }
            let next = state.scheduler.next(now);
            self.handle_scheduler_events(&mut state);
            // With background work at hand the queue is only polled.
            let until = match next {
                Some(_) => now,
                None => {
                    let wake_at = state.controller.wake_at().min(state.next_round_ms);
                    state
                        .scheduler
                        .wake_at()
                        .map_or(wake_at, |at| wake_at.min(at))
                }
            };
            let taken = self.queue.take_all(self.clock.at(until));
            let closed = matches!(taken, Received::Closed);
            let mut inputs = Vec::new();
            if let Received::Items(items) = taken {
                for item in items {
                    match item {
                        Item::Input(input) => inputs.push(input),
                        Item::StatusRequest(request) => {
                            self.submit_status_request(&mut state, request)
                        }
                    }
                }
            }
            if closed {
                break;
            }
            let due = state.controller.wake_at() <= self.clock.now_ms();
            if !inputs.is_empty() || due {
                self.run_step(&mut state, inputs);
            }
            if let Some((id, task)) = next {
                let started = self.clock.now_ms();
                let more = match task.class {
                    REPORTS_CLASS => self.read_slice(&mut state),
                    _ => self.answer_status_request(&mut state, id),
                };
                let now = self.clock.now_ms();
                state.scheduler.task_ran(now, id, now - started, more);
            }
        }
        state
            .status_requests
            .drain(..)
            .for_each(|(_, request)| request.done.notify());
    }

    /// Records inputs, has the controller handle them, and carries out its outputs.
    fn run_step(&self, state: &mut LoopState, inputs: Vec<Input>) {
        let now = self.clock.now_ms();
        if let Some(recorder) = &mut state.record
            && let Err(e) = recorder
                .append(now, &inputs)
                .and_then(|()| recorder.flush())
        {
            // The controller runs on without its record.
            error!(error = %e, "cannot write the record; recording stops");
            state.record = None;
        }
        let count = inputs.len();
        // Changes of the roster are saved at once, other facts once a round.
        let is_roster = |i: &Input| matches!(i, Input::Roster(_) | Input::RosterChanges(_));
        let has_roster = inputs.iter().any(is_roster);
        let outputs = self.handle_inputs(state, now, inputs);
        let took = self.clock.now_ms() - now;
        {
            let mut stats = lock(&self.stats);
            stats.steps += 1;
            stats.inputs += count as u64;
            stats.total_step_ms += took;
            stats.longest_step_ms = stats.longest_step_ms.max(took);
        }
        for output in outputs {
            if let Some(Output::Log(note)) = (state.output_handler)(output) {
                match note.starts_with("guard:") {
                    true => warn!(target: "guard", "{note}"),
                    false => info!(target: "decisions", "{note}"),
                }
            }
        }
        if has_roster {
            self.save_facts(state);
        }
    }

    /// Has the controller handle inputs; hooks may hold publications, and see what was published.
    fn handle_inputs(&self, state: &mut LoopState, now: f64, inputs: Vec<Input>) -> Vec<Output> {
        let Some(hook_runner) = state.hook_runner.clone() else {
            return state.controller.handle(now, inputs);
        };
        let mut held = Vec::new();
        let outputs = match hook_runner.gate() {
            None => state.controller.handle(now, inputs),
            Some(gate) => {
                let world = state.world.clone();
                let mut deadline = None;
                state
                    .controller
                    .handle_gated(now, inputs, &mut |part, lines| {
                        // All publications of a step share one deadline.
                        let timeout_s = hook_runner.publication_timeout_ms() / 1e3;
                        let deadline = *deadline.get_or_insert_with(|| {
                            Instant::now() + Duration::from_secs_f64(timeout_s)
                        });
                        let hold =
                            hook_runner.check_publication(&gate, &world, part, lines, deadline);
                        held.extend(hold.then_some(part));
                        hold
                    })
            }
        };
        if !held.is_empty()
            && let Some(recorder) = &mut state.record
            && let Err(e) = recorder
                .append(now, &[Input::Gated(held)])
                .and_then(|()| recorder.flush())
        {
            error!(error = %e, "cannot write the record; recording stops");
            state.record = None;
        }
        for output in &outputs {
            if let Output::Write(_, message) = output
                && let Scope::Changes(part) = message.scope
                && !message.lines.is_empty()
            {
                let seen = |l: &dahliapoint_control::Line| LineSeen {
                    server: l.server.clone(),
                    weight: if l.state == LineState::Removed {
                        0.0
                    } else {
                        l.weight
                    },
                    open: l.state == LineState::Open,
                    before: 0.0,
                };
                hook_runner.lines_published(part, message.lines.iter().map(seen).collect());
            }
        }
        let controller = &state.controller;
        let zones = &controller.settings().zones;
        if let Some(world) =
            hook_runner.update_world(&mut state.world_updated_ms, || controller.overview(), zones)
        {
            state.world = world;
        }
        outputs
    }

    /// Passes changed facts on to peers and to memory, without blocking.
    fn save_facts(&self, state: &mut LoopState) {
        if let Some((peer_facts, tracker)) = &mut state.peer_facts {
            let now = clock::now();
            let (servers, levels) = (
                state.controller.servers(),
                state.controller.admission_levels(),
            );
            let changes = tracker.changes(&now, &servers, &levels);
            let mut facts = peer_facts.lock();
            for change in changes.into_iter().chain([Change::Alive(now)]) {
                // Cannot fail: the tracker makes valid changes only.
                let _ = facts.apply(change);
            }
        }
        let Some((journal, tracker)) = &mut state.memory else {
            return;
        };
        let now = clock::now();
        let (servers, levels) = (
            state.controller.servers(),
            state.controller.admission_levels(),
        );
        let mut changes = tracker.changes(&now, &servers, &levels);
        changes.push(Change::Alive(now));
        if !journal.offer(changes) {
            // The journal's queue is full: an empty tracker finds all facts again in the next round.
            *tracker = ChangeTracker::default();
        }
    }

    /// Takes from the report queue as many lines as the rate limit allows in a round, and submits
    /// the task that reads them in slices.
    fn begin_round(&self, state: &mut LoopState, now: f64) {
        let per_ms = state.controller.settings().report_lines_per_s / 1e3;
        let max_lines = (per_ms * state.report_interval_ms).max(1.0) as usize;
        let (read, queue_stats) = {
            let mut report_queue = lock(&self.report_queue);
            (report_queue.read(now, max_lines), report_queue.stats)
        };
        let new_lines = (queue_stats.lines - state.lines_seen) as f64;
        state.lines_seen = queue_stats.lines;
        let elapsed = now - (state.next_round_ms - state.report_interval_ms);
        if let Some(every) = state.interval.observe(now, new_lines, elapsed) {
            warn!(
                every_ms = every,
                lines = new_lines,
                "proxies are told to report at another interval"
            );
            self.report_interval_ms
                .store(every.to_bits(), Ordering::SeqCst);
        }
        state.next_round_ms = (state.next_round_ms + state.report_interval_ms).max(now);
        self.save_facts(state);
        state.unread = read.into();
        let task = Task {
            class: REPORTS_CLASS,
            owner: 0,
            deadline: None,
        };
        state.reading_task = state.scheduler.submit(now, task).map(|id| (id, now));
    }

    /// Reads a slice of reports; returns whether the round has more.
    fn read_slice(&self, state: &mut LoopState) -> bool {
        let now = self.clock.now_ms();
        let count = state.unread.len().min(REPORTERS_PER_SLICE);
        let slice = state.unread.drain(..count);
        let mut inputs: Vec<Input> = slice.map(|r| report_input(now, r)).collect();
        let more = !state.unread.is_empty();
        if !more {
            inputs.push(Input::RoundEnded);
        }
        self.run_step(state, inputs);
        if let Some((_, round_began)) = state.reading_task.filter(|_| !more) {
            state.reading_task = None;
            let mut stats = lock(&self.stats);
            stats.rounds += 1;
            stats.longest_round_ms = stats.longest_round_ms.max(now - round_began);
        }
        more
    }

    fn submit_status_request(&self, state: &mut LoopState, request: Arc<StatusRequest>) {
        let task = Task {
            class: STATUS_CLASS,
            owner: 0,
            deadline: None,
        };
        if let Some(id) = state.scheduler.submit(self.clock.now_ms(), task) {
            state.status_requests.push((id, request));
        }
    }

    fn handle_scheduler_events(&self, state: &mut LoopState) {
        for event in state.scheduler.take_events() {
            match event {
                Event::Deferred(class) => {
                    lock(&self.stats).deferred_tasks += 1;
                    debug!(class, "background work waits for its next period");
                }
                Event::Evicted(id) | Event::Expired(id) => {
                    let position = state.status_requests.iter().position(|(i, _)| *i == id);
                    if let Some(at) = position {
                        state.status_requests.swap_remove(at).1.done.notify();
                    }
                    warn!(
                        id,
                        "background work is dropped: its queue is full or its deadline has passed"
                    );
                }
            }
        }
    }

    /// Answers a status request. Returns false: the task has no further slice.
    fn answer_status_request(&self, state: &mut LoopState, id: TaskId) -> bool {
        let Some(at) = state.status_requests.iter().position(|(i, _)| *i == id) else {
            return false;
        };
        let (_, request) = state.status_requests.swap_remove(at);
        let controller = &state.controller;
        let mut view = serde_json::to_value(controller.overview()).unwrap_or_default();
        view["roster_fault"] = serde_json::json!(*lock(&self.roster_fault));
        let stats = *lock(&self.stats);
        view["service"] = serde_json::json!(controller.settings().service);
        view["deciding"] = serde_json::json!({
            "moments": stats.steps,
            "inputs": stats.inputs,
            "total_ms": stats.total_step_ms,
            "longest_ms": stats.longest_step_ms,
            "waiting": self.queue.len(),
        });
        let (queue_stats, waiting) = {
            let report_queue = lock(&self.report_queue);
            (report_queue.stats, report_queue.pending_lines())
        };
        view["intake"] = serde_json::json!({
            "reports": queue_stats.reports,
            "lines": queue_stats.lines,
            "merged": queue_stats.merged,
            "read": queue_stats.read,
            "left_unread": queue_stats.sampled_out,
            "refused": queue_stats.refused,
            "waiting": waiting,
            "every_ms": self.report_interval_ms(),
            "rounds": stats.rounds,
            "longest_round_ms": stats.longest_round_ms,
            "put_off": stats.deferred_tasks,
        });
        for (name, part) in lock(&self.status_views).iter() {
            view[*name] = part();
        }
        *lock(&request.answer) = Some(view);
        request.done.notify();
        false
    }

    /// Adds the status of a component to overviews, under `name`.
    pub fn add_status_view(&self, name: &'static str, view: StatusView) {
        lock(&self.status_views).push((name, view));
    }

    /// Sets what overviews say is wrong with the roster.
    pub fn set_roster_fault(&self, fault: Option<String>) {
        *lock(&self.roster_fault) = fault;
    }

    /// Closes the queue; the thread ends once it has taken what is queued.
    pub fn close(&self) {
        self.queue.close();
    }
}

/// A merged report as an input of the controller.
fn report_input(now: f64, read: MergedReport<Reporter, LineKey>) -> Input {
    let lines = read
        .lines
        .into_iter()
        .map(|((server, class), l, variance)| ReportLine {
            server: server.to_string(),
            class,
            tries: l.tries,
            failed: l.failed,
            success_ms: l.good_ms,
            variance,
            load_samples: l.self_reports,
            queue_sum: l.own_queue,
            service_ms_sum: l.own_ms,
            in_flight: l.in_flight,
        });
    let arrivals = read
        .visits
        .into_iter()
        .map(|((class, _), n)| (class.to_string(), n));
    let report = LoadReport {
        window_ms: read.end - read.begin,
        ended_ago_ms: (now - read.end).max(0.0),
        lines: lines.collect(),
        arrivals: arrivals.collect(),
    };
    Input::Reported(read.reporter.0.to_string(), report)
}

impl ControllerHandle for ControllerThread {
    fn send(&self, input: Input) -> bool {
        self.queue.put(Item::Input(input)).is_ok()
    }

    fn report_stream(&self, proxy: &str, stream: Session, begins: bool) {
        let reporter = (Arc::from(proxy), stream);
        let mut report_queue = lock(&self.report_queue);
        match begins {
            true => report_queue.stream_started(self.clock.now_ms(), reporter),
            false => report_queue.stream_ended(&reporter),
        }
    }

    fn report(&self, proxy: &str, stream: Session, report: LoadReport) -> Result<(), String> {
        let lines = report.lines.into_iter().map(|m| {
            let line = Line {
                tries: m.tries,
                failed: m.failed,
                good_ms: m.success_ms,
                self_reports: m.load_samples,
                own_queue: m.queue_sum,
                own_ms: m.service_ms_sum,
                in_flight: m.in_flight,
            };
            ((Arc::from(m.server), m.class), line)
        });
        let arrivals = report
            .arrivals
            .into_iter()
            .map(|(class, n)| ((Arc::from(class), 0), n));
        let reporter = (Arc::from(proxy), stream);
        let now = self.clock.now_ms();
        lock(&self.report_queue)
            .push(now, &reporter, report.window_ms, lines, arrivals)
            .map_err(|why| format!("a report that is not taken: {why}"))
    }

    fn report_interval_ms(&self) -> f64 {
        f64::from_bits(self.report_interval_ms.load(Ordering::SeqCst))
    }

    fn overview(&self) -> serde_json::Value {
        let request = Arc::new(StatusRequest::default());
        if self
            .queue
            .put(Item::StatusRequest(request.clone()))
            .is_err()
        {
            return serde_json::Value::Null;
        }
        request
            .done
            .wait(Some(Instant::now() + Duration::from_secs(5)));
        lock(&request.answer).take().unwrap_or_default()
    }
}
