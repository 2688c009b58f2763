//! The file client of a proxy: a thread that polls for new tables, acknowledges them, and writes heartbeats and load
//! reports. As with a stream, the proxy keeps its table when the controller is lost.

use crate::data_plane::DataPlane;
use crate::environment::TableMessage;
use crate::settings::FileSettings;
use dahliapoint_control::RetryPolicy;
use dahliapoint_files::forms::Table;
use dahliapoint_files::front::{ALIVE, keys};
use dahliapoint_files::read::{Look, Reader};
use dahliapoint_files::seal::Keys;
use dahliapoint_files::spool::Mouth;
use dahliapoint_files::words::{Ack, Beat, ClassMet, Met, Told};
use dahliapoint_xds::{ClusterTally, Held, HeldLine, SCALE, names};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};
use tracing::{info, warn};

/// The controller counts as lost when its heartbeat has not changed for this many of the proxy's heartbeat intervals.
const MAX_MISSED_HEARTBEATS: f64 = 3.5;
/// Interval of load reports until a table sets one.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Names of the load metrics that servers report about themselves (ORCA).
const QUEUE_METRIC: &str = "queue";
const LATENCY_METRIC: &str = "latency_ms";

/// How the client stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownMode {
    /// With a last heartbeat that says so, so that the controller writes no more tables for the proxy.
    Goodbye,
    /// Without one, as when the process is killed.
    Silent,
}

/// Applies tables from files to a data plane, and reports its load, until it is stopped.
pub struct FileClient {
    plane: Arc<DataPlane>,
    stop_mode: Mutex<Option<ShutdownMode>>,
    stop_notify: Condvar,
    connected: AtomicBool,
    /// Tables applied so far.
    pub applied: AtomicU64,
    /// Tables refused so far.
    pub refused: AtomicU64,
}

/// The state of the client's thread.
struct Worker {
    client: Arc<FileClient>,
    files: FileSettings,
    /// Path of the controller's heartbeat file.
    alive: PathBuf,
    keys: Keys,
    spool: Mouth,
    reader: Reader,
    /// The table in use.
    table: Option<Table>,
    /// Start time in nanoseconds, which tells starts of the proxy apart.
    life: u64,
    /// Heartbeats, acknowledgements and reports written so far.
    heartbeats: u64,
    acks: u64,
    reports: u64,
    /// The controller's last heartbeat, and when it was first read.
    seen: Option<(String, Instant)>,
}

impl FileClient {
    /// Starts the client in a thread of its own.
    ///
    /// # Errors
    /// When the keys cannot be read or the spool cannot be created.
    pub fn start(
        plane: Arc<DataPlane>,
        files: FileSettings,
    ) -> Result<(Arc<FileClient>, JoinHandle<()>), String> {
        let keys = files.keys.as_deref().map(keys).transpose()?;
        let keys = keys.unwrap_or_default();
        let name = &plane.settings.name;
        let spool = Mouth::open(&files.dir, name, keys.clone());
        let spool = spool.map_err(|e| format!("{}: {e}", files.dir.display()))?;
        let tables = files.dir.join("tables").join(name);
        let client = Arc::new(FileClient {
            stop_mode: Mutex::default(),
            stop_notify: Condvar::new(),
            connected: AtomicBool::new(false),
            applied: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            plane: plane.clone(),
        });
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let worker = Worker {
            client: client.clone(),
            alive: files.dir.join(ALIVE),
            spool,
            reader: Reader::new(tables, name, keys.clone()),
            keys,
            table: None,
            life: since.map_or(1, |d| d.as_nanos() as u64),
            heartbeats: 0,
            acks: 0,
            reports: 0,
            seen: None,
            files,
        };
        let thread = std::thread::Builder::new().name("filed".into());
        let thread = thread
            .spawn(move || worker.run())
            .map_err(|e| e.to_string())?;
        Ok((client, thread))
    }

    /// Stops the client. The data plane keeps its table.
    pub fn stop(&self, mode: ShutdownMode) {
        *self.stop_mode.lock().unwrap_or_else(|e| e.into_inner()) = Some(mode);
        self.stop_notify.notify_all();
    }

    /// Returns whether the controller's heartbeat is fresh.
    pub fn is_connected(&self) -> bool {
        self.connected.load(Ordering::SeqCst)
    }

    /// Waits until `deadline` or until the client is stopped. Returns how it was stopped, if it was.
    fn wait(&self, deadline: Instant) -> Option<ShutdownMode> {
        let mut stop_mode = self.stop_mode.lock().unwrap_or_else(|e| e.into_inner());
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if stop_mode.is_some() || left.is_zero() {
                return *stop_mode;
            }
            let waited = self.stop_notify.wait_timeout(stop_mode, left);
            stop_mode = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

fn duration_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

impl Worker {
    fn run(mut self) {
        let mut heartbeat_at = Instant::now();
        let (mut last_report, mut controller_check_at) = (Instant::now(), heartbeat_at);
        loop {
            let round_start = Instant::now();
            if round_start >= heartbeat_at {
                self.write_heartbeat(false);
                heartbeat_at = round_start + duration_ms(self.files.heartbeat_interval_ms);
            }
            if round_start >= controller_check_at {
                self.check_controller();
                controller_check_at =
                    round_start + duration_ms(self.files.heartbeat_interval_ms / 2.0);
            }
            self.check_table();
            let interval_ms = self.table.as_ref().map(|t| t.report_every_ms);
            let interval_ms = interval_ms.filter(|ms| (10.0..=3.6e6).contains(ms));
            if last_report.elapsed() >= interval_ms.map_or(DEFAULT_REPORT_INTERVAL, duration_ms)
                && self.client.is_connected()
            {
                self.report(last_report.elapsed());
                last_report = Instant::now();
                // A report counts as a heartbeat.
                heartbeat_at =
                    heartbeat_at.max(last_report + duration_ms(self.files.heartbeat_interval_ms));
            }
            if let Some(mode) = self
                .client
                .wait(round_start + duration_ms(self.files.poll_interval_ms))
            {
                if mode == ShutdownMode::Goodbye {
                    self.write_heartbeat(true);
                }
                self.set_connected(false);
                return;
            }
        }
    }

    fn set_connected(&self, is_up: bool) {
        if self.client.connected.swap(is_up, Ordering::SeqCst) != is_up {
            self.client.plane.environment().connection_changed(is_up);
            match is_up {
                true => {
                    info!(dir = %self.files.dir.display(), "heartbeat of the controller found")
                }
                false => warn!("heartbeat of the controller missing; the table is kept"),
            }
        }
    }

    /// Reads the controller's heartbeat and decides whether it is connected.
    fn check_controller(&mut self) {
        let bytes = std::fs::read(&self.alive).unwrap_or_default();
        if let Ok(text) = self.keys.opened(&bytes)
            && self.seen.as_ref().is_none_or(|(last, _)| last != text)
        {
            let life = |t: &str| t.split("\"life\":").nth(1).map(str::to_string);
            if self
                .seen
                .as_ref()
                .is_some_and(|(last, _)| life(last) != life(text))
            {
                // Another controller, or the same one after a restart.
                self.set_connected(false);
            }
            self.seen = Some((text.to_string(), Instant::now()));
        }
        let timeout = duration_ms(MAX_MISSED_HEARTBEATS * self.files.heartbeat_interval_ms);
        let is_up = self
            .seen
            .as_ref()
            .is_some_and(|(_, at)| at.elapsed() < timeout);
        self.set_connected(is_up);
    }

    /// Writes a heartbeat. Returns the time stamp of its file.
    fn write_heartbeat(&mut self, leaves: bool) -> Option<SystemTime> {
        let settings = &self.client.plane.settings;
        self.heartbeats += 1;
        let beat = Beat {
            proxy: settings.name.clone(),
            zone: settings.zone.clone(),
            pace: Some(settings.visits_per_s),
            life: self.life,
            count: self.heartbeats,
            holds: self.reader.held(),
            leaves,
        };
        let written = self.spool.say("beat", &beat);
        written
            .map_err(|e| warn!(error = %e, "cannot write the heartbeat"))
            .ok()
    }

    /// Reads the published table if there is a new one, applies it and writes an acknowledgement.
    fn check_table(&mut self) {
        self.client.plane.environment().before_read();
        // Only the first table can be too old to use; a table in use stays in use.
        let fresh = match self.reader.held() {
            Some(_) => None,
            None => std::fs::metadata(&self.alive)
                .and_then(|m| m.modified())
                .ok(),
        };
        let (generation, refused) = match self.reader.look(fresh) {
            Look::Same => return,
            Look::New(table) => (table.generation, self.apply(*table).err()),
            Look::Bad(generation, why) => (generation, Some(why)),
        };
        if let Some(why) = &refused {
            self.client.refused.fetch_add(1, Ordering::SeqCst);
            warn!(generation, why, "table refused; the old one stays in use");
        }
        if generation > 0 {
            self.acks += 1;
            let ack = Ack {
                life: self.life,
                generation,
                refused,
            };
            if let Err(e) = self.spool.say(&format!("ack-{}", self.acks), &ack) {
                warn!(error = %e, "cannot write the acknowledgement of a table");
            }
        }
    }

    /// Applies a table as a whole, or refuses it as a whole.
    fn apply(&mut self, table: Table) -> Result<(), String> {
        let client = self.client.clone();
        let environment = client.plane.environment();
        let old = self.table.take().unwrap_or_default();
        let changed = table.lines.values();
        let changed = changed.filter(|l| old.lines.get(&l.server) != Some(l));
        let removed = old.lines.keys().filter(|s| !table.lines.contains_key(*s));
        let withdrawn = old.shut.symmetric_difference(&table.shut);
        let lines = changed.count() + removed.count() + withdrawn.count();
        let serial = table.serial.to_string();
        let table_message = TableMessage {
            serial: &serial,
            lines,
            carries_lines: true,
            bytes: 0,
        };
        let received = Instant::now();
        let wait = environment
            .message_received(&table_message)
            .saturating_duration_since(received);
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        let unknown = table
            .lines
            .keys()
            .find(|s| !environment.knows_server(s))
            .cloned();
        if let Some(server) = unknown {
            self.table = Some(old);
            environment.message_processed(&table_message, received, true);
            return Err(format!("no server {server:?} is known"));
        }
        let held = (table.bound || !table.lines.is_empty()).then(|| to_held(&table));
        client
            .plane
            .swap_table(held.as_ref(), &|s| table.shut.contains(s), lines);
        client.applied.fetch_add(1, Ordering::SeqCst);
        self.table = Some(table);
        environment.message_processed(&table_message, received, false);
        Ok(())
    }

    /// Writes a load report. Counts that could not be written go into the next one.
    fn report(&mut self, window: Duration) {
        let tallies = self.client.plane.take_tallies();
        self.reports += 1;
        let report = Told {
            life: self.life,
            window_ms: (window.as_secs_f64() * 1e3).max(1.0),
            classes: tallies.iter().map(|t| self.class_report(t)).collect(),
        };
        if let Err(e) = self.spool.say(&format!("report-{}", self.reports), &report) {
            warn!(error = %e, "cannot write a report; its counts go into the next");
            self.client.plane.restore_tallies(tallies);
        }
    }

    /// The part of a load report about one class.
    fn class_report(&self, tally: &ClusterTally) -> ClassMet {
        let service = &self.client.plane.settings.service;
        let issued: u64 = tally.endpoints.iter().map(|e| e.issued).sum();
        let dropped: u64 = tally.dropped.values().sum();
        let servers = tally.endpoints.iter().map(|e| {
            let metric = |name: &str| e.words.get(name).copied().unwrap_or_default();
            Met {
                server: e.address.clone(),
                good: e.good,
                failed: e.failed,
                good_ms: e.good_ms,
                in_flight: e.in_progress,
                words: metric(LATENCY_METRIC).0,
                own_queue: metric(QUEUE_METRIC).1,
                own_ms: metric(LATENCY_METRIC).1,
            }
        });
        ClassMet {
            class: names::class_of(service, &tally.cluster).unwrap_or_default(),
            came: issued + dropped,
            met: servers.collect(),
        }
    }
}

/// Converts a table to the form that the data plane takes.
fn to_held(table: &Table) -> Held {
    let lines = table.lines.values().map(|l| HeldLine {
        server: l.server.clone(),
        address: l.address.clone(),
        weight: (l.weight * SCALE).round().max(1.0) as u32,
        open: table.is_open(l),
    });
    let classes = table.classes.iter();
    let retry_on = classes.clone().map(|(class, policy)| {
        let retry_on = match policy.tries {
            RetryPolicy::Never => "",
            RetryPolicy::OnProof => "connect-failure,refused-stream",
            RetryPolicy::OnFailure => "5xx",
        };
        (class.clone(), retry_on.to_string())
    });
    Held {
        lines: lines.collect(),
        shares: classes
            .map(|(class, policy)| (class.clone(), policy.share))
            .collect(),
        retry_on: retry_on.collect(),
    }
}
