//! The one owner of the controller: a thread that is fed by a queue. All that waits in it is one moment.
//!
//! Load reports do not go through the queue: they go into the intake's mouth, which merges and never
//! waits, and are read once a round as background work, in slices. Between two slices the queue comes
//! first, so a drain waits behind one slice of reports at the most.

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

/// What an overview is told as.
pub type Json = serde_json::Value;

/// Inputs that wait at most; beyond that whoever brings one waits.
const MOST: usize = 16 * 1024;
/// Servers that one reporter may name.
const MOST_SERVERS: usize = 20_000;
/// Where the clock starts: late enough that all that is told of the past lies after 0.
const ORIGIN_MS: f64 = 1e9;

/// Background work, the highest first: reading reports, then answering people. Decisions and withdrawals
/// are no background work: they are done before any of it.
const READING: usize = 0;
const TELLING: usize = 1;
/// The budgets' period, shares of it, and how much may wait.
const PERIOD_MS: f64 = 100.0;
const READING_SHARE: f64 = 0.5;
const TELLING_SHARE: f64 = 0.1;
const WAITING: usize = 1024;
/// Reporters' stretches that one slice reads.
const SLICE: usize = 64;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A clock that never goes back.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now_ms(&self) -> f64 {
        ORIGIN_MS + self.0.elapsed().as_secs_f64() * 1e3
    }

    fn at(&self, ms: f64) -> Option<Instant> {
        let after = (ms - ORIGIN_MS) / 1e3;
        // A year ahead is as good as never: the queue wakes it before.
        let after = after.clamp(0.0, 86_400.0 * 365.0);
        self.0.checked_add(Duration::from_secs_f64(after))
    }
}

enum Item {
    Input(Input),
    Ask(Arc<Asked>),
}

/// A question for the present state.
#[derive(Default)]
struct Asked {
    answer: Mutex<Option<serde_json::Value>>,
    bell: Notify,
}

/// Carries out an output; gives it back if it is for another.
pub type OutputHandler = Box<dyn Fn(Output) -> Option<Output> + Send>;

/// A reporter: the proxy's name, and the number of its stream.
type Reporter = (Arc<str>, Session);

/// What a line is of: a server's address and a class; or, for what came, a class's name alone.
type Place = (Arc<str>, usize);

/// The way to the owner; clones are the same.
#[derive(Clone)]
pub struct ControllerThread {
    clock: Clock,
    queue: Queue<Item>,
    mouth: Arc<Mutex<ReportQueue<Reporter, Place>>>,
    /// The reporting interval that proxies are told, as the bits of a number.
    every_ms: Arc<AtomicU64>,
    roster_fault: Arc<Mutex<Option<String>>>,
    figures: Arc<Mutex<LoopStats>>,
    views: Arc<Mutex<Vec<(&'static str, StatusView)>>>,
    hooking: Arc<Mutex<Option<Arc<HookRunner>>>>,
    known: Arc<Mutex<Option<(SharedFacts, ChangeTracker)>>>,
    /// A hand that spoils orders, for tests of the guard.
    spoiled: Arc<Mutex<Option<FaultInjector>>>,
}

/// A part's own words for an overview.
pub type StatusView = Box<dyn Fn() -> Json + Send>;

/// What the owner has used so far, for measurements.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopStats {
    pub moments: u64,
    pub inputs: u64,
    /// Time within decisions, and the longest of one moment.
    pub deciding_ms: f64,
    pub longest_ms: f64,
    /// Rounds of reports, the longest time that reading one took, and periods in which work was put off.
    pub rounds: u64,
    pub longest_round_ms: f64,
    pub put_off: u64,
}

/// What the owner's thread works with.
struct Work {
    controller: Controller,
    record: Option<Recorder<BufWriter<File>>>,
    hand: OutputHandler,
    scheduler: Scheduler,
    interval: ReportInterval,
    every_ms: f64,
    next_round: f64,
    /// The round being read, what it began with, and its piece of work.
    unread: VecDeque<MergedReport<Reporter, Place>>,
    reading: Option<(TaskId, f64)>,
    lines_before: u64,
    asked: Vec<(TaskId, Arc<Asked>)>,
    memory: Option<(Arc<JournalWriter>, ChangeTracker)>,
    /// What peers are told, brought up to date once a round.
    known: Option<(SharedFacts, ChangeTracker)>,
    hooking: Option<Arc<HookRunner>>,
    /// The world as hooks last saw it, and when that was.
    world: Arc<World>,
    seen_at: f64,
}

impl ControllerThread {
    /// An engine with its queue; it is fed before it runs. `every_ms` is the usual reporting interval.
    pub fn new(clock: Clock, seed: u64, every_ms: f64) -> ControllerThread {
        ControllerThread {
            clock,
            queue: Queue::bounded(MOST),
            mouth: Arc::new(Mutex::new(ReportQueue::new(every_ms, MOST_SERVERS, seed))),
            every_ms: Arc::new(AtomicU64::new(every_ms.to_bits())),
            roster_fault: Arc::default(),
            figures: Arc::default(),
            views: Arc::default(),
            hooking: Arc::default(),
            known: Arc::default(),
            spoiled: Arc::default(),
        }
    }

    /// Keeps what peers are told, beginning with what was known at the start.
    pub fn share_facts(&self, known: SharedFacts, first: &Facts) {
        *known.lock() = first.clone();
        *lock(&self.known) = Some((known, ChangeTracker::from_facts(first)));
    }

    /// Hooks see what happens, from when the engine runs.
    pub fn set_hooks(&self, hooking: Arc<HookRunner>) {
        *lock(&self.hooking) = Some(hooking);
    }

    /// Puts a hand between planner and guard, before the engine runs.
    pub fn inject_faults(&self, between: FaultInjector) {
        *lock(&self.spoiled) = Some(between);
    }

    /// Begins to own a controller: first the inputs given, then what is put in.
    ///
    /// # Errors
    /// When the record cannot be written or the thread cannot be started.
    pub fn run(
        &self,
        seed: u64,
        terms: ControllerSettings,
        record: Option<&Path>,
        first: Vec<Input>,
        hand: OutputHandler,
        memory: Option<(Arc<JournalWriter>, ChangeTracker)>,
    ) -> io::Result<JoinHandle<()>> {
        let now = self.clock.now_ms();
        let mut recorder = None;
        if let Some(path) = record {
            let begin = Header {
                now,
                seed,
                settings: terms.clone(),
            };
            recorder = Some(Recorder::create(
                BufWriter::new(File::create(path)?),
                &begin,
            )?);
        }
        let budget = |share| Budget {
            cpu_ms: PERIOD_MS * share,
            max_queued: WAITING,
        };
        let budgets = [budget(READING_SHARE), budget(TELLING_SHARE)];
        let every_ms = terms.report_interval_ms;
        let work = Work {
            interval: ReportInterval::new(now, every_ms, terms.report_lines_per_s),
            controller: Controller::new(now, seed, terms),
            record: recorder,
            hand,
            scheduler: Scheduler::new(now, PERIOD_MS, &budgets),
            every_ms,
            next_round: now + every_ms,
            unread: VecDeque::new(),
            reading: None,
            lines_before: 0,
            asked: Vec::new(),
            memory,
            known: lock(&self.known).take(),
            hooking: lock(&self.hooking).take(),
            world: Arc::default(),
            seen_at: f64::NEG_INFINITY,
        };
        let mut work = work;
        if let Some(between) = lock(&self.spoiled).take() {
            work.controller.inject_faults(between);
        }
        let controller = self.clone();
        std::thread::Builder::new()
            .name("controller".into())
            .spawn(move || controller.own(work, first))
    }

    fn own(&self, mut work: Work, first: Vec<Input>) {
        self.decide(&mut work, first);
        loop {
            let now = self.clock.now_ms();
            if now >= work.next_round && work.reading.is_none() {
                self.begin_round(&mut work, now);
            }
            let next = work.scheduler.next(now);
            self.say_what_waits(&mut work);
            // With work at hand the queue is only looked into; without, it is waited for.
            let until = match next {
                Some(_) => now,
                None => {
                    let alarm = work.controller.wake_at().min(work.next_round);
                    work.scheduler.wake_at().map_or(alarm, |at| alarm.min(at))
                }
            };
            let taken = self.queue.take_all(self.clock.at(until));
            let closed = matches!(taken, Received::Closed);
            let mut inputs = Vec::new();
            if let Received::Items(items) = taken {
                for item in items {
                    match item {
                        Item::Input(input) => inputs.push(input),
                        Item::Ask(asked) => self.submit_answer(&mut work, asked),
                    }
                }
            }
            if closed {
                break;
            }
            let due = work.controller.wake_at() <= self.clock.now_ms();
            if !inputs.is_empty() || due {
                self.decide(&mut work, inputs);
            }
            if let Some((id, piece)) = next {
                let begun = self.clock.now_ms();
                let more = match piece.class {
                    READING => self.read_slice(&mut work),
                    _ => self.answer(&mut work, id),
                };
                let now = self.clock.now_ms();
                work.scheduler.task_ran(now, id, now - begun, more);
            }
        }
        work.asked
            .drain(..)
            .for_each(|(_, asked)| asked.bell.notify());
    }

    /// One moment: written down, decided, carried out.
    fn decide(&self, work: &mut Work, inputs: Vec<Input>) {
        let now = self.clock.now_ms();
        if let Some(recorder) = &mut work.record
            && let Err(e) = recorder
                .append(now, &inputs)
                .and_then(|()| recorder.flush())
        {
            // The day goes on without its record.
            error!(error = %e, "the record cannot be written; it ends here");
            work.record = None;
        }
        let count = inputs.len();
        // What the roster says is remembered at once, the rest once a round.
        let listed = |i: &Input| matches!(i, Input::Roster(_) | Input::RosterChanges(_));
        let roster = inputs.iter().any(listed);
        let outputs = self.take(work, now, inputs);
        let took = self.clock.now_ms() - now;
        {
            let mut figures = lock(&self.figures);
            figures.moments += 1;
            figures.inputs += count as u64;
            figures.deciding_ms += took;
            figures.longest_ms = figures.longest_ms.max(took);
        }
        for output in outputs {
            if let Some(Output::Log(note)) = (work.hand)(output) {
                match note.starts_with("guard:") {
                    true => warn!(target: "guard", "{note}"),
                    false => info!(target: "decisions", "{note}"),
                }
            }
        }
        if roster {
            self.remember(work);
        }
    }

    /// One moment through the controller, with hooks before what leaves and behind it.
    fn take(&self, work: &mut Work, now: f64, inputs: Vec<Input>) -> Vec<Output> {
        let Some(hooking) = work.hooking.clone() else {
            return work.controller.handle(now, inputs);
        };
        let mut held = Vec::new();
        let outputs = match hooking.gate() {
            None => work.controller.handle(now, inputs),
            Some(gate) => {
                let world = work.world.clone();
                let mut until = None;
                work.controller
                    .handle_gated(now, inputs, &mut |part, lines| {
                        // One time for all publications of a moment.
                        let ms = hooking.publication_ms() / 1e3;
                        let until = *until
                            .get_or_insert_with(|| Instant::now() + Duration::from_secs_f64(ms));
                        let hold = hooking.judges(&gate, &world, part, lines, until);
                        held.extend(hold.then_some(part));
                        hold
                    })
            }
        };
        if !held.is_empty()
            && let Some(recorder) = &mut work.record
            && let Err(e) = recorder
                .append(now, &[Input::Gated(held)])
                .and_then(|()| recorder.flush())
        {
            error!(error = %e, "the record cannot be written; it ends here");
            work.record = None;
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
                hooking.published(part, message.lines.iter().map(seen).collect());
            }
        }
        let controller = &work.controller;
        let zones = &controller.settings().zones;
        if let Some(world) = hooking.sees(&mut work.seen_at, || controller.overview(), zones) {
            work.world = world;
        }
        outputs
    }

    /// Offers what has changed to memory and to peers, without waiting.
    fn remember(&self, work: &mut Work) {
        if let Some((known, differ)) = &mut work.known {
            let now = clock::now();
            let (servers, levels) = (
                work.controller.servers(),
                work.controller.admission_levels(),
            );
            let changes = differ.changes(&now, &servers, &levels);
            let mut facts = known.lock();
            for change in changes.into_iter().chain([Change::Alive(now)]) {
                // Made by our own differ: always sound.
                let _ = facts.apply(change);
            }
        }
        let Some((keeper, differ)) = &mut work.memory else {
            return;
        };
        let now = clock::now();
        let (servers, levels) = (
            work.controller.servers(),
            work.controller.admission_levels(),
        );
        let mut changes = differ.changes(&now, &servers, &levels);
        changes.push(Change::Alive(now));
        if !keeper.offer(changes) {
            // What was not taken is found again, all of it.
            *differ = ChangeTracker::default();
        }
    }

    /// Takes what the mouth holds, as much as may be read in a round, and has it read in slices.
    fn begin_round(&self, work: &mut Work, now: f64) {
        let per_ms = work.controller.settings().report_lines_per_s / 1e3;
        let room = (per_ms * work.every_ms).max(1.0) as usize;
        let (read, tally) = {
            let mut mouth = lock(&self.mouth);
            (mouth.read(now, room), mouth.stats)
        };
        let came = (tally.lines - work.lines_before) as f64;
        work.lines_before = tally.lines;
        let over = now - (work.next_round - work.every_ms);
        if let Some(every) = work.interval.observe(now, came, over) {
            warn!(
                every_ms = every,
                lines = came,
                "proxies are told to report at another interval"
            );
            self.every_ms.store(every.to_bits(), Ordering::SeqCst);
        }
        work.next_round = (work.next_round + work.every_ms).max(now);
        self.remember(work);
        work.unread = read.into();
        let piece = Task {
            class: READING,
            owner: 0,
            deadline: None,
        };
        work.reading = work.scheduler.submit(now, piece).map(|id| (id, now));
    }

    /// Reads a slice; tells whether more of the round is left.
    fn read_slice(&self, work: &mut Work) -> bool {
        let now = self.clock.now_ms();
        let many = work.unread.len().min(SLICE);
        let slice = work.unread.drain(..many);
        let mut inputs: Vec<Input> = slice.map(|r| reported(now, r)).collect();
        let more = !work.unread.is_empty();
        if !more {
            inputs.push(Input::RoundEnded);
        }
        self.decide(work, inputs);
        if let Some((_, begun)) = work.reading.filter(|_| !more) {
            work.reading = None;
            let mut figures = lock(&self.figures);
            figures.rounds += 1;
            figures.longest_round_ms = figures.longest_round_ms.max(now - begun);
        }
        more
    }

    fn submit_answer(&self, work: &mut Work, asked: Arc<Asked>) {
        let piece = Task {
            class: TELLING,
            owner: 0,
            deadline: None,
        };
        if let Some(id) = work.scheduler.submit(self.clock.now_ms(), piece) {
            work.asked.push((id, asked));
        }
    }

    fn say_what_waits(&self, work: &mut Work) {
        for told in work.scheduler.take_events() {
            match told {
                Event::Deferred(class) => {
                    lock(&self.figures).put_off += 1;
                    debug!(class, "background work waits for its next period");
                }
                Event::Evicted(id) | Event::Expired(id) => {
                    let gone = work.asked.iter().position(|(i, _)| *i == id);
                    if let Some(at) = gone {
                        work.asked.swap_remove(at).1.bell.notify();
                    }
                    warn!(id, "background work was given up: there is too much");
                }
            }
        }
    }

    /// Answers a question; there is never more of it.
    fn answer(&self, work: &mut Work, id: TaskId) -> bool {
        let Some(at) = work.asked.iter().position(|(i, _)| *i == id) else {
            return false;
        };
        let (_, asked) = work.asked.swap_remove(at);
        let controller = &work.controller;
        let mut view = serde_json::to_value(controller.overview()).unwrap_or_default();
        view["roster_fault"] = serde_json::json!(*lock(&self.roster_fault));
        let figures = *lock(&self.figures);
        view["service"] = serde_json::json!(controller.settings().service);
        view["deciding"] = serde_json::json!({
            "moments": figures.moments,
            "inputs": figures.inputs,
            "total_ms": figures.deciding_ms,
            "longest_ms": figures.longest_ms,
            "waiting": self.queue.len(),
        });
        let (tally, waiting) = {
            let mouth = lock(&self.mouth);
            (mouth.stats, mouth.pending_lines())
        };
        view["intake"] = serde_json::json!({
            "reports": tally.reports,
            "lines": tally.lines,
            "merged": tally.merged,
            "read": tally.read,
            "left_unread": tally.sampled_out,
            "refused": tally.refused,
            "waiting": waiting,
            "every_ms": self.report_interval_ms(),
            "rounds": figures.rounds,
            "longest_round_ms": figures.longest_round_ms,
            "put_off": figures.put_off,
        });
        for (name, part) in lock(&self.views).iter() {
            view[*name] = part();
        }
        *lock(&asked.answer) = Some(view);
        asked.bell.notify();
        false
    }

    /// A part whose words belong into overviews.
    pub fn add_status_view(&self, name: &'static str, view: StatusView) {
        lock(&self.views).push((name, view));
    }

    /// What is wrong with the roster's file, if anything is.
    pub fn set_roster_fault(&self, fault: Option<String>) {
        *lock(&self.roster_fault) = fault;
    }

    /// Ends the owner once what waits was taken.
    pub fn close(&self) {
        self.queue.close();
    }
}

/// What was read of a reporter, as an input.
fn reported(now: f64, read: MergedReport<Reporter, Place>) -> Input {
    let met = read
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
    let came = read
        .visits
        .into_iter()
        .map(|((class, _), n)| (class.to_string(), n));
    let report = LoadReport {
        window_ms: read.end - read.begin,
        ended_ago_ms: (now - read.end).max(0.0),
        lines: met.collect(),
        arrivals: came.collect(),
    };
    Input::Reported(read.reporter.0.to_string(), report)
}

impl ControllerHandle for ControllerThread {
    fn send(&self, input: Input) -> bool {
        self.queue.put(Item::Input(input)).is_ok()
    }

    fn report_stream(&self, proxy: &str, stream: Session, begins: bool) {
        let reporter = (Arc::from(proxy), stream);
        let mut mouth = lock(&self.mouth);
        match begins {
            true => mouth.stream_started(self.clock.now_ms(), reporter),
            false => mouth.stream_ended(&reporter),
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
        let came = report
            .arrivals
            .into_iter()
            .map(|(class, n)| ((Arc::from(class), 0), n));
        let reporter = (Arc::from(proxy), stream);
        let now = self.clock.now_ms();
        lock(&self.mouth)
            .push(now, &reporter, report.window_ms, lines, came)
            .map_err(|why| format!("a report that is not taken: {why:?}"))
    }

    fn report_interval_ms(&self) -> f64 {
        f64::from_bits(self.every_ms.load(Ordering::SeqCst))
    }

    fn overview(&self) -> serde_json::Value {
        let asked = Arc::new(Asked::default());
        if self.queue.put(Item::Ask(asked.clone())).is_err() {
            return serde_json::Value::Null;
        }
        asked
            .bell
            .wait(Some(Instant::now() + Duration::from_secs(5)));
        lock(&asked.answer).take().unwrap_or_default()
    }
}
