//! The life of hooks in a daemon: a thread of their own that loads files, sees what happens, runs what is due as
//! background work within budgets, and puts what is in force of their wishes into the owner's queue as a roster.
//!
//! Nobody waits for this thread but a change of the roster that hooks want to see first, and that for a bounded
//! time. The owner leaves a picture of the world now and then, never waits, and runs by itself only the hooks
//! before publications, within a bounded time for all of them.

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

/// A picture of the world is made no more often than this.
const PICTURE_MS: f64 = 250.0;
/// Publications that wait to be told, and verdicts of gates.
const WAITING: usize = 64;
/// The budgets' period, a class's share of it, and how many events may wait in one.
const PERIOD_MS: f64 = 1_000.0;
const SHARE: f64 = 0.1;
const EVENTS: usize = 256;
/// Work that waited longer than this is of a world that is gone.
const TOO_OLD_MS: f64 = 10_000.0;
/// Files of hooks that one directory may have, and what a refused roster waits before it is looked at again.
const MOST_FILES: usize = 256;
const REFUSED_MS: f64 = 600_000.0;
/// The ending of a hook's file.
const ENDING: &str = "hook";

/// What a deployment says of hooks.
#[derive(Clone, Debug, PartialEq)]
pub struct HooksSettings {
    pub dir: PathBuf,
    pub bounds: Bounds,
    /// One run's time; that of all hooks before the publications of a moment, and of all that see a roster.
    pub run_ms: f64,
    pub publication_ms: f64,
    pub roster_ms: f64,
    /// How often the directory is looked at.
    pub every_ms: f64,
}

#[derive(Default)]
struct Mail {
    worlds: Option<Arc<World>>,
    waits: BTreeMap<usize, Vec<String>>,
    published: VecDeque<(usize, Vec<LineSeen>)>,
    dropped: u64,
    verdicts: VecDeque<Verdict>,
    roster: Option<Vec<RosterEntry>>,
    over: bool,
}

/// See the module's head.
pub struct HookRunner {
    place: HooksSettings,
    begun: Instant,
    mail: Mutex<Mail>,
    bell: Condvar,
    gate: Mutex<Arc<Gate>>,
    waits_for: [AtomicBool; 9],
    view: Mutex<serde_json::Value>,
    /// How long runs, and the hooks of publications, took, in microseconds.
    runs_us: Mutex<Histogram<u64>>,
    gates_us: Mutex<Histogram<u64>>,
    gated: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn times() -> Histogram<u64> {
    // Three figures of up to a minute in microseconds: always a valid histogram.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

fn took(times: &Mutex<Histogram<u64>>, since: Instant) {
    let us = since.elapsed().as_micros() as u64;
    lock(times).saturating_record(us.max(1));
}

fn told_times(times: &Mutex<Histogram<u64>>) -> serde_json::Value {
    let t = lock(times);
    let at = |q| t.value_at_quantile(q) as f64 / 1e3;
    json!({"count": t.len(), "median_ms": at(0.5), "p99_ms": at(0.99), "worst_ms": t.max() as f64 / 1e3})
}

fn state_of(state: AdminState) -> State {
    match state {
        AdminState::Ready => State::Ready,
        AdminState::Draining => State::Draining,
        AdminState::Gone => State::Gone,
    }
}

fn admin(state: State) -> AdminState {
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

/// The world as hooks see it.
fn picture(overview: &Overview, zones: &[String]) -> World {
    let servers = overview.servers.iter().map(|s| {
        let e = s.estimate.as_ref();
        ServerSeen {
            name: s.name.clone(),
            zone: s.zone.as_str().into(),
            state: state_of(s.state),
            listed: s.listed_weight,
            weight: s.weight,
            shut: s.withdrawn,
            part: s.part.map_or(-1.0, |p| p as f64),
            // A year: it is not known when it started.
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

/// A kept value as text, and back.
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
        // Of one moment: never kept.
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
                let all = [State::Ready, State::Draining, State::Gone];
                Value::State(all.into_iter().find(|s| word == s.word())?)
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

/// All hooks of a directory, checked whole.
///
/// # Errors
/// All that is wrong with any of them: then none is taken.
pub fn load(dir: &Path) -> Result<Vec<Loaded>, String> {
    let told = |e: std::io::Error| format!("{}: {e}\n", dir.display());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).map_err(told)? {
        let path = entry.map_err(told)?.path();
        if path.extension().is_some_and(|e| e == ENDING) {
            files.push(path);
        }
    }
    files.sort();
    if files.len() > MOST_FILES {
        return Err(format!("{}: over {MOST_FILES} hooks\n", dir.display()));
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

/// A source from a file that is no larger than one may be.
///
/// # Errors
/// Why it is not read.
pub fn read(path: &Path) -> Result<String, String> {
    use std::io::Read;
    let most = dahliapoint_hooks::lex::MOST_SOURCE as u64 + 1;
    let told = |e: std::io::Error| format!("{}: {e}\n", path.display());
    let file = std::fs::File::open(path).map_err(told)?;
    let mut bytes = Vec::new();
    file.take(most).read_to_end(&mut bytes).map_err(told)?;
    String::from_utf8(bytes).map_err(|_| format!("{}: not UTF-8\n", path.display()))
}

/// What the thread works with.
struct Work {
    controller: ControllerThread,
    host: Host,
    book: Book,
    scheduler: Scheduler,
    waiting: HashMap<u64, (Id, Event, Arc<World>)>,
    world: Arc<World>,
    waits: BTreeMap<usize, Vec<String>>,
    /// The roster as it is said, and as it was last put.
    said: Vec<RosterEntry>,
    put: Vec<RosterEntry>,
    pins: BTreeMap<usize, f64>,
    overruled: Vec<Told>,
    refused: Option<(Vec<RosterEntry>, f64)>,
    stamp: Option<Vec<(PathBuf, u64, Option<SystemTime>)>>,
    fault: Option<String>,
    look_at: f64,
    memory: Option<Arc<JournalWriter>>,
    kept: BTreeMap<(String, String), String>,
}

impl HookRunner {
    pub fn new(place: HooksSettings) -> Arc<HookRunner> {
        Arc::new(HookRunner {
            place,
            begun: Instant::now(),
            mail: Mutex::default(),
            bell: Condvar::new(),
            gate: Mutex::default(),
            waits_for: Default::default(),
            view: Mutex::default(),
            runs_us: Mutex::new(times()),
            gates_us: Mutex::new(times()),
            gated: AtomicU64::new(0),
        })
    }

    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    // ---- the owner's side: nothing here waits ----

    fn anybody_waits(&self) -> bool {
        self.waits_for.iter().any(|w| w.load(Ordering::Relaxed))
    }

    /// A new picture of the world, if one is due and anybody looks at it.
    pub fn sees(
        &self,
        last: &mut f64,
        overview: impl FnOnce() -> Overview,
        zones: &[String],
    ) -> Option<Arc<World>> {
        let now = self.now_ms();
        if now - *last < PICTURE_MS || !self.anybody_waits() {
            return None;
        }
        *last = now;
        let overview = overview();
        let world = Arc::new(picture(&overview, zones));
        let mut mail = lock(&self.mail);
        mail.worlds = Some(world.clone());
        mail.waits = overview.guard.waits;
        drop(mail);
        self.bell.notify_one();
        Some(world)
    }

    /// Lines of a part have left.
    pub fn published(&self, part: usize, lines: Vec<LineSeen>) {
        if !self.waits_for[Point::AfterPublication as usize].load(Ordering::Relaxed) {
            return;
        }
        let mut mail = lock(&self.mail);
        if mail.published.len() >= WAITING {
            mail.published.pop_front();
            mail.dropped += 1;
        }
        mail.published.push_back((part, lines));
        drop(mail);
        self.bell.notify_one();
    }

    pub fn gate(&self) -> Option<Arc<Gate>> {
        let gate = lock(&self.gate).clone();
        (!gate.is_empty()).then_some(gate)
    }

    /// Asks the hooks before a publication; `until` bounds all of a moment. Whatever they do, this returns.
    pub fn judges(
        &self,
        gate: &Gate,
        world: &World,
        part: usize,
        lines: &[PendingLine],
        until: Instant,
    ) -> bool {
        let begun = Instant::now();
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
            gate.judge(part, &world, &mut Until::new(until))
        }));
        let verdict = judged.unwrap_or_else(|_| Verdict {
            said: vec!["a hook before a publication broke its machine; the table leaves".into()],
            ..Verdict::default()
        });
        took(&self.gates_us, begun);
        let hold = verdict.hold;
        self.gated.fetch_add(u64::from(hold), Ordering::Relaxed);
        let mut mail = lock(&self.mail);
        if mail.verdicts.len() < WAITING {
            mail.verdicts.push_back(verdict);
        } else {
            mail.dropped += 1;
        }
        drop(mail);
        self.bell.notify_one();
        hold
    }

    pub fn publication_ms(&self) -> f64 {
        self.place.publication_ms
    }

    // ---- others' side ----

    /// The roster says something new: hooks see it first, for a bounded time.
    pub fn roster(&self, entries: Vec<RosterEntry>) {
        lock(&self.mail).roster = Some(entries);
        self.bell.notify_one();
    }

    pub fn view(&self) -> serde_json::Value {
        let mut view = lock(&self.view).clone();
        view["run_times"] = told_times(&self.runs_us);
        view["publication_times"] = told_times(&self.gates_us);
        view["publications_held"] = json!(self.gated.load(Ordering::Relaxed));
        view
    }

    pub fn end(&self) {
        lock(&self.mail).over = true;
        self.bell.notify_one();
    }

    /// Starts the thread; the files must be good at the start. `first` is the roster that the owner begins with.
    ///
    /// # Errors
    /// All that is wrong with the files, or why there is no thread.
    pub fn start(
        self: &Arc<Self>,
        controller: ControllerThread,
        first: Vec<RosterEntry>,
        memory: Option<Arc<JournalWriter>>,
        kept: BTreeMap<(String, String), String>,
    ) -> Result<JoinHandle<()>, String> {
        let set = load(&self.place.dir)?;
        let budgets: Vec<Budget> = Point::ALL
            .iter()
            .map(|point| Budget {
                cpu_ms: match point {
                    // The roster waits for nobody.
                    Point::BeforePublication | Point::RosterChanged => f64::INFINITY,
                    _ => PERIOD_MS * SHARE,
                },
                max_queued: EVENTS,
            })
            .collect();
        let mut work = Work {
            controller,
            host: Host::default(),
            book: Book::default(),
            scheduler: Scheduler::new(0.0, PERIOD_MS, &budgets),
            waiting: HashMap::new(),
            world: Arc::default(),
            waits: BTreeMap::new(),
            put: first.clone(),
            said: first,
            pins: BTreeMap::new(),
            overruled: Vec::new(),
            refused: None,
            stamp: self.stamp(),
            fault: None,
            look_at: 0.0,
            memory,
            kept,
        };
        work.host.bounds = self.place.bounds;
        self.put_in_force(&mut work, set);
        let back: Vec<(Arc<str>, Arc<str>, Value)> = work
            .kept
            .iter()
            .filter_map(|((f, n), v)| {
                let value = from_json(&serde_json::from_str(v).ok()?)?;
                Some((f.as_str().into(), n.as_str().into(), value))
            })
            .collect();
        work.host.put_back(&back);
        self.show(&work);
        let own = self.clone();
        let thread = std::thread::Builder::new().name("hooks".into());
        thread
            .spawn(move || own.live(work))
            .map_err(|e| e.to_string())
    }

    fn stamp(&self) -> Option<Vec<(PathBuf, u64, Option<SystemTime>)>> {
        let entries = std::fs::read_dir(&self.place.dir).ok()?;
        let mut out = Vec::new();
        for path in entries.filter_map(|e| Some(e.ok()?.path())) {
            if path.extension().is_some_and(|e| e == ENDING) {
                let meta = std::fs::metadata(&path).ok();
                let length = meta.as_ref().map_or(0, std::fs::Metadata::len);
                out.push((path, length, meta.and_then(|m| m.modified().ok())));
            }
        }
        out.sort();
        Some(out)
    }

    fn put_in_force(&self, work: &mut Work, set: Vec<Loaded>) {
        let now = self.now_ms();
        // Work of the old set names places in it.
        let waiting: Vec<u64> = work.waiting.drain().map(|(id, _)| id).collect();
        waiting.into_iter().for_each(|id| {
            work.scheduler.cancel(id);
        });
        let many = set.len();
        work.host.swap(now, set);
        work.book.forget_but(&work.host.names());
        for point in Point::ALL {
            let waits = work.host.waiting_for(point).next().is_some();
            self.waits_for[point as usize].store(waits, Ordering::Relaxed);
        }
        // Events between worlds are seen only by who looks.
        info!(
            files = many,
            version = work.host.version,
            "hooks are in force"
        );
    }

    fn live(&self, mut work: Work) {
        loop {
            let Some(mail) = self.wait(&work) else {
                return;
            };
            self.reload(&mut work);
            self.take(&mut work, mail);
            let now = self.now_ms();
            for event in work.host.timers(now) {
                self.submit(&mut work, event);
            }
            let ended = work.book.expire(now);
            let again = work.refused.as_ref().is_some_and(|(_, at)| now >= *at);
            if again && let Some((entries, _)) = work.refused.take() {
                self.decide_roster(&mut work, entries);
            }
            say(&ended);
            let mut changed = !ended.is_empty();
            // One piece a turn: a roster that comes meanwhile waits for one run at the longest.
            if let Some((id, _)) = work.scheduler.next(now) {
                changed |= self.piece(&mut work, id);
            }
            work.scheduler.take_events();
            if changed {
                self.put(&mut work);
            }
            self.keep(&mut work);
            let gate = Arc::new(work.host.gate(now));
            *lock(&self.gate) = gate;
            self.show(&work);
        }
    }

    /// What has come; waits for it until something is due.
    fn wait(&self, work: &Work) -> Option<Mail> {
        let now = self.now_ms();
        let refused = work.refused.as_ref().map_or(f64::INFINITY, |(_, at)| *at);
        let mut until = work
            .host
            .wake_at()
            .min(work.book.wake_at())
            .min(work.look_at)
            .min(refused);
        if !work.waiting.is_empty() {
            until = work.scheduler.wake_at().map_or(now, |at| until.min(at));
        }
        let mut mail = lock(&self.mail);
        let nothing = |m: &Mail| {
            m.worlds.is_none()
                && m.published.is_empty()
                && m.verdicts.is_empty()
                && m.roster.is_none()
                && !m.over
        };
        let end = Instant::now() + Duration::from_secs_f64((until - now).clamp(0.0, 3.6e6) / 1e3);
        while nothing(&mail) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.bell.wait_timeout(mail, left);
            mail = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        match mail.over {
            true => None,
            false => Some(std::mem::take(&mut *mail)),
        }
    }

    /// Looks at the directory. A set with a fault changes nothing.
    fn reload(&self, work: &mut Work) {
        let now = self.now_ms();
        if now < work.look_at {
            return;
        }
        work.look_at = now + self.place.every_ms;
        let stamp = self.stamp();
        if stamp == work.stamp {
            return;
        }
        work.stamp = stamp;
        match load(&self.place.dir) {
            Ok(set) => {
                work.fault = None;
                self.put_in_force(work, set);
                self.put(work);
            }
            Err(why) => {
                warn!(target: "hooks", "refused, version {} stays in force:\n{why}", work.host.version);
                work.fault = Some(why);
            }
        }
    }

    fn take(&self, work: &mut Work, mail: Mail) {
        if let Some(entries) = mail.roster {
            work.refused = None;
            self.decide_roster(work, entries);
        }
        for verdict in mail.verdicts {
            let now = self.now_ms();
            for said in &verdict.said {
                warn!(target: "hooks", "{said}");
            }
            for (id, end) in verdict.ran {
                if let Deed::Rests(ms) = work.host.gate_ran(now, id, end) {
                    warn!(target: "hooks", "{} rests for {} s", work.host.name(id), ms / 1e3);
                }
            }
            for (hook, text) in verdict.alerts {
                let alert = alert_of(text);
                if let Ok(told) = work.book.takes(now, &hook, &[alert]) {
                    say(&told);
                }
            }
        }
        if let Some(world) = mail.worlds {
            let before = std::mem::replace(&mut work.world, world);
            // The first picture is no change.
            if !before.servers.is_empty() || !before.proxies.is_empty() {
                for event in events_between(&before, &work.world.clone()) {
                    self.submit(work, event);
                }
            }
            for (part, reasons) in mail.waits.clone() {
                if work.waits.get(&part) != Some(&reasons) {
                    let reasons = reasons.iter().map(|r| r.as_str().into()).collect();
                    self.submit(work, Event::GuardHeld(part, reasons));
                }
            }
            work.waits = mail.waits;
        }
        for (part, lines) in mail.published {
            self.submit(work, Event::AfterPublication(part, lines));
        }
    }

    fn submit(&self, work: &mut Work, event: Event) {
        let now = self.now_ms();
        for id in work.host.due(now, &event) {
            let piece = Task {
                class: event.point() as usize,
                owner: id.file as u64,
                deadline: Some(now + TOO_OLD_MS),
            };
            if let Some(number) = work.scheduler.submit(now, piece) {
                work.waiting
                    .insert(number, (id, event.clone(), work.world.clone()));
            }
        }
        // What was pushed out or too late is no longer waited for.
        for told in work.scheduler.take_events() {
            if let dahliapoint_scheduler::Event::Evicted(id)
            | dahliapoint_scheduler::Event::Expired(id) = told
            {
                work.waiting.remove(&id);
            }
        }
    }

    /// Runs one piece of work; tells whether wishes came of it.
    fn piece(&self, work: &mut Work, number: u64) -> bool {
        let begun = self.now_ms();
        let mut wished = false;
        if let Some((id, event, world)) = work.waiting.remove(&number) {
            let world = match &event {
                Event::AfterPublication(_, lines) => Arc::new(World {
                    lines: lines.clone(),
                    ..(*world).clone()
                }),
                _ => world,
            };
            let until = Instant::now() + Duration::from_secs_f64(self.place.run_ms / 1e3);
            wished = self
                .run(work, id, &event, &world, until)
                .is_some_and(|wishes| wishes > 0);
        }
        let now = self.now_ms();
        work.scheduler.task_ran(now, number, now - begun, false);
        wished
    }

    /// Runs a hook and enters its wishes; how many there were, if it ended well. A roster's refusal is counted in
    /// `work.refusals` by the caller, who looks at the wishes.
    fn run(
        &self,
        work: &mut Work,
        id: Id,
        event: &Event,
        world: &World,
        until: Instant,
    ) -> Option<usize> {
        let (now, begun) = (self.now_ms(), Instant::now());
        let host = &mut work.host;
        let ran = catch_unwind(AssertUnwindSafe(|| {
            host.run(now, id, event, world, &mut || Instant::now() >= until)
        }));
        took(&self.runs_us, begun);
        let ran = match ran {
            Ok(ran) => ran?,
            Err(_) => {
                work.host.gate_ran(now, id, End::CutOff);
                warn!(target: "hooks", "{} broke its machine; it rests", work.host.name(id));
                return None;
            }
        };
        if let Some(said) = &ran.said {
            warn!(target: "hooks", "{said}");
        }
        if ran.end != End::Well {
            return None;
        }
        let refuses = ran.wishes.iter().find(|w| w.kind == WishKind::RefuseRoster);
        if let Some(refusal) = refuses {
            let lasts = refusal.lasts_ms.unwrap_or(REFUSED_MS).min(REFUSED_MS);
            let at = now + lasts;
            warn!(target: "hooks", "{} refuses the roster: {}", ran.hook, refusal.reason);
            let before = work.refused.take().map_or(0.0, |(_, at)| at);
            work.refused = Some((Vec::new(), at.max(before)));
        }
        match work.book.takes(now, &ran.hook, &ran.wishes) {
            Ok(told) => {
                say(&told);
                Some(ran.wishes.len())
            }
            Err(why) => {
                warn!(target: "hooks", "{}: nothing of this run is heard: {why}", ran.hook);
                None
            }
        }
    }

    /// A new roster: hooks that wait for one see it, together no longer than their time; then it holds, unless one
    /// refused it.
    fn decide_roster(&self, work: &mut Work, entries: Vec<RosterEntry>) {
        let before: BTreeMap<&str, &RosterEntry> =
            work.said.iter().map(|e| (e.name.as_str(), e)).collect();
        let is_new = |e: &&RosterEntry| {
            before
                .get(e.name.as_str())
                .is_none_or(|b| b.state != e.state || b.weight != e.weight)
        };
        let mut changed: Vec<Arc<str>> = entries
            .iter()
            .filter(is_new)
            .map(|e| e.name.as_str().into())
            .collect();
        let there: std::collections::BTreeSet<&str> =
            entries.iter().map(|e| e.name.as_str()).collect();
        let dropped: Vec<RosterEntry> = work
            .said
            .iter()
            .filter(|e| !there.contains(e.name.as_str()))
            .map(|e| RosterEntry {
                state: AdminState::Gone,
                ..e.clone()
            })
            .collect();
        changed.extend(dropped.iter().map(|e| Arc::from(e.name.as_str())));
        if !changed.is_empty() {
            let world = with_roster(&work.world, entries.iter().chain(&dropped));
            let event = Event::RosterChanged(changed);
            let all = Instant::now() + Duration::from_secs_f64(self.place.roster_ms / 1e3);
            let mut turns = Until::new(all);
            let asked = work.host.due(self.now_ms(), &event);
            for (i, id) in asked.iter().enumerate() {
                if turns.are_over() {
                    let name = work.host.name(*id);
                    warn!(target: "hooks", "{name} was not asked about the roster: the time for all was over");
                    continue;
                }
                turns.begins(asked.len() - i);
                let own = Instant::now() + Duration::from_secs_f64(self.place.run_ms / 1e3);
                self.run(work, *id, &event, &world, turns.own.min(own));
            }
        }
        if let Some((refused, _)) = &mut work.refused {
            *refused = entries;
        } else {
            work.said = entries;
        }
        self.put(work);
    }

    /// What is in force goes into the owner's queue, if it is something else than before.
    fn put(&self, work: &mut Work) {
        let listed = |e: &RosterEntry| Listed {
            name: e.name.as_str().into(),
            zone: e.zone.as_str().into(),
            state: state_of(e.state),
            weight: e.weight,
        };
        let roster: Vec<Listed> = work.said.iter().map(listed).collect();
        let InForce {
            servers,
            pins,
            overruled,
        } = work.book.in_force(&roster);
        let entries: Vec<RosterEntry> = work
            .said
            .iter()
            .map(|e| match servers.get(e.name.as_str()) {
                Some((state, weight)) => RosterEntry {
                    state: admin(*state),
                    weight: *weight,
                    ..e.clone()
                },
                None => e.clone(),
            })
            .collect();
        if overruled != work.overruled {
            say(&overruled);
            work.overruled = overruled;
        }
        if entries != work.put {
            work.controller.send(Input::Roster(entries.clone()));
            work.put = entries;
        }
        if pins != work.pins {
            let now = self.now_ms();
            let ahead = pins
                .iter()
                .map(|(part, until)| (*part, (until - now).max(0.0)));
            work.controller.send(Input::Pinned(ahead.collect()));
            work.pins = pins;
        }
    }

    /// What hooks keep goes to memory, as far as it changed.
    fn keep(&self, work: &mut Work) {
        let Some(memory) = &work.memory else {
            return;
        };
        let mut changes = Vec::new();
        for (file, name, value) in work.host.kept() {
            let text = to_json(&value).to_string();
            let key = (file.to_string(), name.to_string());
            if work.kept.get(&key) != Some(&text) {
                changes.push(Change::Kept(key.0.clone(), key.1.clone(), text.clone()));
                work.kept.insert(key, text);
            }
        }
        if !changes.is_empty() && !memory.offer(changes) {
            // Offered again with the next turn.
            work.kept.clear();
        }
    }

    fn show(&self, work: &Work) {
        let now = self.now_ms();
        let hooks = work.host.told(now).into_iter().map(|(name, r, rests)| {
            json!({"hook": name, "runs": r.runs, "failed": r.failed, "cut_off": r.cut_off, "not_heard": r.unheard,
                   "rests_ms": rests.map(|until| until - now)})
        });
        let wishes = work.book.told().map(|(kind, whom, hook, number, until, why)| {
            json!({"wish": kind, "whom": whom, "hook": &**hook, "number": number, "ends_in_ms": until - now, "because": &**why})
        });
        let notes = work
            .book
            .notes()
            .map(|(key, hook, text)| json!({"key": &**key, "hook": &**hook, "text": &**text}));
        let alerts = work
            .book
            .alerts()
            .map(|(at, hook, text)| json!({"ago_ms": now - at, "hook": &**hook, "text": &**text}));
        let overruled = work
            .overruled
            .iter()
            .map(|t| json!({"hook": &*t.hook, "what": t.what}));
        let view = json!({
            "version": work.host.version,
            "fault": work.fault,
            "hooks": hooks.collect::<Vec<_>>(),
            "wishes": wishes.collect::<Vec<_>>(),
            "overruled": overruled.collect::<Vec<_>>(),
            "notes": notes.collect::<Vec<_>>(),
            "alerts": alerts.collect::<Vec<_>>(),
            "roster_refused": work.refused.is_some(),
            "events_waiting": work.waiting.len(),
            "events_dropped": lock(&self.mail).dropped,
        });
        *lock(&self.view) = view;
    }
}

/// Runs that share a time.
struct Until {
    all: Instant,
    own: Instant,
}

impl Until {
    fn new(all: Instant) -> Until {
        Until { all, own: all }
    }
}

impl Turns for Until {
    fn begins(&mut self, left: usize) {
        let now = Instant::now();
        self.own = now + self.all.saturating_duration_since(now) / left.max(1) as u32;
    }

    fn is_up(&mut self) -> bool {
        Instant::now() >= self.own
    }

    fn are_over(&mut self) -> bool {
        Instant::now() >= self.all
    }
}

fn alert_of(text: Arc<str>) -> dahliapoint_hooks::ops::Wished {
    dahliapoint_hooks::ops::Wished {
        kind: WishKind::Alert,
        whom: "".into(),
        number: 0.0,
        text,
        lasts_ms: None,
        reason: "".into(),
    }
}

fn say(told: &[Told]) {
    for t in told {
        info!(target: "hooks", "{}: {}", t.hook, t.what);
    }
}

/// The world as it would be with another roster.
fn with_roster<'a>(world: &World, entries: impl Iterator<Item = &'a RosterEntry>) -> World {
    let mut world = world.clone();
    for e in entries {
        let name: Arc<str> = e.name.as_str().into();
        match world
            .by_name
            .get(&name)
            .and_then(|i| world.servers.get_mut(*i as usize))
        {
            Some(s) => (s.state, s.listed) = (state_of(e.state), e.weight),
            None => world.servers.push(ServerSeen {
                name,
                zone: e.zone.as_str().into(),
                state: state_of(e.state),
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
