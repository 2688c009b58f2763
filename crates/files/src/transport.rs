//! The file transport: one thread that publishes the controller's tables and reads the proxies' spools. The scheduler
//! picks the next task: withdrawals first, then new tables, then spools, then refreshes of old tables, so that many
//! directories (361 at one site) on a slow disk don't delay a drain.

use crate::disk::{Disk, SystemDisk};
use crate::formats::Format;
use crate::integrity::Keys;
use crate::messages::Heartbeat;
use crate::proxy_session::{ProxySession, Urgency};
use crate::publish::Publisher;
use crate::reader::{ReadResult, Reader};
use crate::spool::{Spool, SpoolMessage};
use dahliapoint_control::{ControllerHandle, ControllerSettings, Input, Message, Output, Session};
use dahliapoint_scheduler::{Budget, Event, Scheduler, Task, TaskId};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// The file with the controller's heartbeat.
pub const ALIVE_FILE: &str = "alive";

/// Priority classes of tasks, the highest first.
const WITHDRAW: usize = 0;
const PUBLISH: usize = 1;
const READ_SPOOL: usize = 2;
const REFRESH: usize = 3;
/// The share of a round that each priority class may use.
const CLASS_SHARES: [f64; 4] = [f64::INFINITY, 0.5, 0.4, 0.1];
/// Tasks that may wait in each priority class.
const MAX_QUEUED_TASKS: usize = 32 * 1024;
/// Commands that may wait for the thread, since no decision of the controller waits for a disk. Beyond that, the
/// session of the proxy is closed; its next heartbeat opens another one, which receives everything anew.
const MAX_QUEUED_COMMANDS: usize = 64 * 1024;

/// Settings of the file transport.
#[derive(Clone, Debug)]
pub struct FileSettings {
    pub dir: PathBuf,
    /// Formats written in addition to our own.
    pub formats: Vec<Format>,
    pub keys: Keys,
    /// How often spools are read and tables written.
    pub interval_ms: f64,
    /// How long a published table is valid.
    pub valid_ms: f64,
}

/// What the controller asks the thread to do.
enum Command {
    Write(Session, Arc<Message>),
    Close(Session, String),
}

#[derive(Default)]
struct CommandQueue {
    commands: Vec<Command>,
    /// Sessions for which a command was dropped.
    overflowed: BTreeSet<Session>,
    stopped: bool,
}

impl CommandQueue {
    fn push(&mut self, command: Command) {
        if self.commands.len() < MAX_QUEUED_COMMANDS {
            self.commands.push(command);
            return;
        }
        let (Command::Write(session, _) | Command::Close(session, _)) = command;
        self.overflowed.insert(session);
    }
}

/// The transport that serves proxies by files; see the module's documentation.
pub struct FileTransport {
    queue: Mutex<CommandQueue>,
    /// Signals that the queue has changed.
    queue_changed: Condvar,
    /// The lowest session number of this transport.
    first_session: Session,
    status: Mutex<Value>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A task of the thread.
#[derive(Clone, Debug, PartialEq)]
enum Job {
    Write(Session),
    ReadSpool(String),
    /// Syncs the current generation of a proxy.
    Sync(String),
}

/// The state of the transport's thread.
struct Worker<D: Disk> {
    settings: FileSettings,
    disk: D,
    controller: Arc<dyn ControllerHandle>,
    classes: Vec<String>,
    service: String,
    started_at: Instant,
    spool: Spool,
    scheduler: Scheduler,
    jobs: BTreeMap<TaskId, Job>,
    sessions: BTreeMap<Session, ProxySession>,
    by_proxy: HashMap<String, Session>,
    publishers: HashMap<String, Publisher>,
    /// Proxies whose spool is queued to be read.
    queued_spools: BTreeSet<String>,
    next_session: Session,
    next_round: f64,
    /// New generations are above this number.
    min_generation: u64,
    /// Identifies this run of the controller in its heartbeat.
    incarnation: u64,
    /// The time of this round by the disk's clock.
    disk_now: SystemTime,
    rounds: u64,
    published: u64,
    failed: u64,
    longest_job_ms: f64,
    longest_withdrawal_ms: f64,
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}

impl FileTransport {
    /// Starts the thread. Sessions of this transport are numbered from `first_session`.
    ///
    /// # Errors
    /// When its directories cannot be created or are links.
    pub fn start(
        settings: FileSettings,
        controller: Arc<dyn ControllerHandle>,
        first_session: Session,
        controller_settings: &ControllerSettings,
    ) -> io::Result<(Arc<FileTransport>, JoinHandle<()>)> {
        std::fs::create_dir_all(&settings.dir)?;
        let report_interval_ms = controller_settings.report_interval_ms;
        let spool = Spool::open(&settings.dir, settings.keys.clone(), report_interval_ms)?;
        let now = unix_ms();
        let budgets = CLASS_SHARES.map(|share| Budget {
            cpu_ms: share * settings.interval_ms,
            max_queued: MAX_QUEUED_TASKS,
        });
        let classes = controller_settings.classes.iter();
        let worker = Worker {
            scheduler: Scheduler::new(0.0, settings.interval_ms, &budgets),
            settings,
            disk: SystemDisk::default(),
            controller,
            classes: classes.map(|c| c.name.clone()).collect(),
            service: controller_settings.service.clone(),
            started_at: Instant::now(),
            spool,
            jobs: BTreeMap::new(),
            sessions: BTreeMap::new(),
            by_proxy: HashMap::new(),
            publishers: HashMap::new(),
            queued_spools: BTreeSet::new(),
            next_session: first_session,
            next_round: 0.0,
            min_generation: now / 1000,
            incarnation: now,
            disk_now: SystemTime::now(),
            rounds: 0,
            published: 0,
            failed: 0,
            longest_job_ms: 0.0,
            longest_withdrawal_ms: 0.0,
        };
        let transport = Arc::new(FileTransport {
            queue: Mutex::default(),
            queue_changed: Condvar::new(),
            first_session,
            status: Mutex::default(),
        });
        let own = transport.clone();
        let thread = std::thread::Builder::new().name("files".into());
        let thread = thread.spawn(move || own.run(worker))?;
        Ok((transport, thread))
    }

    /// Queues the part of an output that concerns proxies of this transport and returns the rest.
    pub fn handle_output(&self, output: Output) -> Option<Output> {
        let mut queue = lock(&self.queue);
        let rest = match output {
            Output::Write(sessions, message) => {
                let (ours, others): (Vec<_>, Vec<_>) =
                    sessions.into_iter().partition(|s| *s >= self.first_session);
                let ours = ours.into_iter().map(|s| Command::Write(s, message.clone()));
                ours.for_each(|command| queue.push(command));
                (!others.is_empty()).then_some(Output::Write(others, message))
            }
            Output::Close(session, why) if session >= self.first_session => {
                queue.push(Command::Close(session, why));
                None
            }
            other => Some(other),
        };
        self.queue_changed.notify_all();
        rest
    }

    /// Counters for the status page.
    pub fn status(&self) -> Value {
        lock(&self.status).clone()
    }

    /// Stops the thread; published files stay.
    pub fn stop(&self) {
        lock(&self.queue).stopped = true;
        self.queue_changed.notify_all();
    }

    /// Takes all queued commands, waiting for some up to `max_wait`; `None` once stopped.
    fn take_commands(&self, max_wait: Option<Duration>) -> Option<Vec<Command>> {
        let mut queue = lock(&self.queue);
        if let Some(time) = max_wait.filter(|_| queue.commands.is_empty() && !queue.stopped) {
            let waited = self.queue_changed.wait_timeout(queue, time);
            queue = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
        if queue.stopped {
            return None;
        }
        let mut commands = std::mem::take(&mut queue.commands);
        let why = "too many commands are queued for the disk";
        let overflowed = std::mem::take(&mut queue.overflowed).into_iter();
        commands.extend(overflowed.map(|s| Command::Close(s, why.into())));
        drop(queue);
        self.queue_changed.notify_all();
        Some(commands)
    }

    /// The thread's main loop.
    fn run<D: Disk>(&self, mut worker: Worker<D>) {
        loop {
            let now = worker.now_ms();
            if now >= worker.next_round {
                worker.begin_round(now);
                *lock(&self.status) = worker.status();
            }
            let next = worker.scheduler.next(now);
            let wait = match next {
                Some(_) => None,
                None => {
                    let wake_at = worker.scheduler.wake_at().unwrap_or(f64::INFINITY);
                    let until = worker.next_round.min(wake_at).max(now);
                    Some(Duration::from_secs_f64((until - now) / 1e3))
                }
            };
            let Some(commands) = self.take_commands(wait) else {
                return;
            };
            worker.handle_commands(commands);
            if let Some((id, _)) = next {
                let started = worker.now_ms();
                worker.run_job(id);
                let now = worker.now_ms();
                worker.longest_job_ms = worker.longest_job_ms.max(now - started);
                worker.scheduler.task_ran(now, id, now - started, false);
            }
            for event in worker.scheduler.take_events() {
                if let Event::Evicted(id) | Event::Expired(id) = event {
                    warn!("files: a task was dropped: too many are queued");
                    worker.forget_job(id);
                }
            }
        }
    }
}

impl<D: Disk> Worker<D> {
    fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// Starts a round: writes the heartbeat and queues all spools and all tables that are due.
    fn begin_round(&mut self, now: f64) {
        self.next_round = (self.next_round + self.settings.interval_ms).max(now);
        self.rounds += 1;
        if let Err(e) = self.write_heartbeat() {
            warn!(error = %e, "files: the controller's heartbeat cannot be written");
        }
        for proxy in self.spool.proxies() {
            if self.queued_spools.insert(proxy.clone()) {
                self.submit(now, READ_SPOOL, Job::ReadSpool(proxy));
            }
        }
        let valid = self.settings.valid_ms;
        let due = self.sessions.values();
        let due = due.filter_map(|s| Some((s.session, s.due(now, valid)?)));
        for (session, urgency) in due.collect::<Vec<_>>() {
            self.submit_write(now, session, urgency);
        }
        for warning in std::mem::take(&mut self.spool.warnings) {
            warn!("files: {warning}");
        }
    }

    /// Writes the controller's heartbeat; its modification time is the disk's clock.
    fn write_heartbeat(&mut self) -> io::Result<()> {
        let text = json!({"count": self.rounds, "life": self.incarnation}).to_string();
        let temporary = self.settings.dir.join(".alive");
        std::fs::write(&temporary, self.settings.keys.add_tag(&text))?;
        self.disk_now = std::fs::metadata(&temporary)?.modified()?;
        std::fs::rename(&temporary, self.settings.dir.join(ALIVE_FILE))
    }

    fn submit(&mut self, now: f64, class: usize, job: Job) {
        // Budgets are shared fairly between owners: a session, or a hash (after FNV-1a) of the proxy's name.
        let owner = match &job {
            Job::Write(session) => *session,
            Job::ReadSpool(proxy) | Job::Sync(proxy) => proxy
                .bytes()
                .fold(7, |a, b| (a ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)),
        };
        let task = Task {
            class,
            owner,
            deadline: None,
        };
        match self.scheduler.submit(now, task) {
            Some(id) => {
                self.jobs.insert(id, job);
            }
            None => {
                if let Job::ReadSpool(proxy) = job {
                    self.queued_spools.remove(&proxy);
                }
            }
        }
    }

    fn submit_write(&mut self, now: f64, session: Session, urgency: Urgency) {
        let class = match urgency {
            Urgency::Withdrawal => WITHDRAW,
            Urgency::Update => PUBLISH,
            Urgency::Refresh => REFRESH,
        };
        self.submit(now, class, Job::Write(session));
    }

    fn forget_job(&mut self, id: TaskId) {
        if let Some(Job::ReadSpool(proxy)) = self.jobs.remove(&id) {
            self.queued_spools.remove(&proxy);
        }
    }

    fn handle_commands(&mut self, commands: Vec<Command>) {
        let now = self.now_ms();
        let mut changed = BTreeSet::new();
        for command in commands {
            match command {
                Command::Write(session, message) => {
                    if let Some(proxy) = self.sessions.get_mut(&session) {
                        proxy.apply(&message, &self.classes);
                        changed.insert(session);
                    }
                }
                Command::Close(session, why) => {
                    if let Some(closed) = self.sessions.remove(&session) {
                        info!(proxy = %closed.proxy, session, "files: session closed: {why}");
                        if self.by_proxy.get(&closed.proxy) == Some(&session) {
                            self.by_proxy.remove(&closed.proxy);
                        }
                        self.controller.report_stream(&closed.proxy, session, false);
                    }
                }
            }
        }
        let valid = self.settings.valid_ms;
        for session in changed {
            let proxy = self.sessions.get(&session);
            if let Some(urgency) = proxy.and_then(|p| p.due(now, valid)) {
                self.submit_write(now, session, urgency);
            }
        }
    }

    fn run_job(&mut self, id: TaskId) {
        match self.jobs.remove(&id) {
            Some(Job::Write(session)) => self.publish(session),
            Some(Job::ReadSpool(proxy)) => {
                self.queued_spools.remove(&proxy);
                for message in self.spool.poll(&proxy, self.disk_now) {
                    self.handle_message(&proxy, message);
                }
            }
            Some(Job::Sync(proxy)) => {
                if let Some(publisher) = self.publishers.get_mut(&proxy) {
                    // An error is ignored: the generation may have been replaced, and the next one is synced.
                    let _ = publisher.sync(&mut self.disk);
                }
            }
            None => {}
        }
    }

    /// Publishes the table of a session if it is still due.
    fn publish(&mut self, session: Session) {
        let now = self.now_ms();
        let report_every_ms = self.controller.report_interval_ms();
        let Some(proxy) = self.sessions.get_mut(&session) else {
            return;
        };
        let Some(urgency) = proxy.due(now, self.settings.valid_ms) else {
            return;
        };
        let table = proxy.table(report_every_ms);
        let Some(publisher) = self.publishers.get_mut(&proxy.proxy) else {
            return;
        };
        let valid_ms = self.settings.valid_ms as u64;
        let synced = urgency != Urgency::Withdrawal;
        match publisher.publish(&mut self.disk, table, unix_ms(), valid_ms, synced) {
            Ok(generation) => {
                self.published += 1;
                proxy.published(now, generation);
                if urgency == Urgency::Withdrawal {
                    // A drain doesn't wait for the disk: it is published now and synced with the lowest priority.
                    let sync = Job::Sync(proxy.proxy.clone());
                    let took = self.started_at.elapsed().as_secs_f64() * 1e3 - now;
                    self.longest_withdrawal_ms = self.longest_withdrawal_ms.max(took);
                    self.submit(now, REFRESH, sync);
                }
            }
            Err(e) => {
                self.failed += 1;
                if proxy.publication_failed(now, self.settings.interval_ms) {
                    warn!(proxy = %proxy.proxy, error = %e, "files: a table cannot be published; the previous one stays");
                }
            }
        }
    }

    fn handle_message(&mut self, proxy: &str, message: SpoolMessage) {
        let incarnation = match &message {
            SpoolMessage::Heartbeat(_) => None,
            SpoolMessage::Ack(ack) => Some(ack.incarnation),
            SpoolMessage::Report(report) => Some(report.incarnation),
        };
        // Acks and reports count as heartbeats too.
        let session = self.by_proxy.get(proxy);
        let session = session.and_then(|s| self.sessions.get(s));
        if let Some(session) = session.filter(|s| Some(s.incarnation) == incarnation) {
            self.controller.send(session.heartbeat());
        }
        match message {
            SpoolMessage::Heartbeat(heartbeat) => self.handle_heartbeat(proxy, &heartbeat),
            SpoolMessage::Ack(ack) => {
                if let (Some(_), Some(p)) = (&ack.refused, self.publishers.get_mut(proxy)) {
                    p.discard_base();
                }
                let session = self.by_proxy.get(proxy);
                let session = session.and_then(|s| self.sessions.get_mut(s));
                let session = session.filter(|s| s.incarnation == ack.incarnation);
                let input = session.and_then(|s| s.acknowledge(ack.generation, ack.refused));
                if let Some(input) = input {
                    self.controller.send(input);
                }
            }
            SpoolMessage::Report(report) => {
                let Some(session) = self.by_proxy.get(proxy).copied() else {
                    return;
                };
                let accepted = report.to_load_report(&self.classes);
                let accepted = accepted.and_then(|r| self.controller.report(proxy, session, r));
                if let Err(why) = accepted {
                    warn!(proxy, "files: a report is refused: {why}");
                }
            }
        }
    }

    fn handle_heartbeat(&mut self, proxy: &str, heartbeat: &Heartbeat) {
        let session = self.session_of(proxy, heartbeat.incarnation);
        if let Some(state) = self.sessions.get_mut(&session) {
            state.zone.clone_from(&heartbeat.zone);
            state.visits_per_s = heartbeat.visits_per_s;
        }
        let publisher = self.publishers.get_mut(proxy);
        if let (Some(applied), Some(p)) = (heartbeat.applied_generation, publisher) {
            p.raise_generation(applied);
        }
        self.controller.send(match heartbeat.leaving {
            true => Input::Deregistered(session),
            false => match self.sessions.get(&session) {
                Some(state) => state.heartbeat(),
                None => return,
            },
        });
    }

    /// The session of a proxy's incarnation; opens a new one if it is not known.
    fn session_of(&mut self, proxy: &str, incarnation: u64) -> Session {
        if let Some(session) = self.by_proxy.get(proxy)
            && let Some(state) = self.sessions.get(session)
            && state.incarnation == incarnation
        {
            return *session;
        }
        let session = self.next_session;
        self.next_session += 1;
        let dir = self.settings.dir.join("tables").join(proxy);
        let keys = self.settings.keys.clone();
        let previous = match Reader::new(dir.clone(), proxy, keys.clone()).poll(None) {
            ReadResult::Updated(table) => Some(*table),
            ReadResult::Unchanged | ReadResult::Invalid(..) => None,
        };
        let (formats, min_generation) = (&self.settings.formats, self.min_generation);
        let publisher = self.publishers.entry(proxy.into());
        publisher.or_insert_with(|| Publisher::new(dir, proxy, keys, formats, min_generation));
        if let Some(old) = self.by_proxy.insert(proxy.into(), session) {
            self.sessions.remove(&old);
            self.controller.report_stream(proxy, old, false);
        }
        let state = ProxySession::new(session, proxy, incarnation, &self.service, previous);
        self.sessions.insert(session, state);
        self.controller.report_stream(proxy, session, true);
        info!(proxy, session, "files: session opened");
        session
    }

    /// Counters for the status page; its keys are read by operators' tools.
    fn status(&self) -> Value {
        let publishers = self.publishers.values();
        let (snapshots, patches) =
            publishers.fold((0, 0), |(s, p), x| (s + x.snapshots, p + x.patches));
        let sessions = self.sessions.values();
        json!({
            "proxies": self.sessions.len(),
            "unanswered": sessions.map(ProxySession::unacknowledged).sum::<usize>(),
            "published": self.published, "whole": snapshots, "patched": patches, "failed": self.failed,
            "spool": &self.spool.counters, "rounds": self.rounds,
            "longest_piece_ms": self.longest_job_ms, "longest_withdrawal_ms": self.longest_withdrawal_ms,
        })
    }
}

/// Reads a key file.
///
/// # Errors
/// The file, the line and what is expected there.
pub fn read_keys(file: &Path) -> Result<Keys, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Keys::parse(&name, &text)
}

#[cfg(test)]
mod tests;
