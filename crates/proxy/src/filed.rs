//! The proxy steered by files: a thread of its own that looks for new tables, answers for them, gives signs
//! of life and reports. What it holds stays when the controller is lost, as with a stream.

use crate::around::Crossed;
use crate::described::Spooled;
use crate::plane::Plane;
use dahliapoint_control::RetryPolicy;
use dahliapoint_files::forms::Table;
use dahliapoint_files::front::{ALIVE, keys};
use dahliapoint_files::read::{Look, Reader};
use dahliapoint_files::seal::Keys;
use dahliapoint_files::spool::Mouth;
use dahliapoint_files::words::{Ack, Beat, ClassMet, Met, Told};
use dahliapoint_xds::{ClusterLoad, ReceivedLine, ReceivedTable, WEIGHT_SCALE, names};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};
use tracing::{info, warn};

/// The controller counts as lost when its sign of life has stood still for so many of our own beats.
const LOST: f64 = 3.5;
/// How often reports are written before a table says.
const FIRST_EVERY: Duration = Duration::from_secs(1);
/// The words that servers have for themselves (ORCA).
const OWN_QUEUE: &str = "queue";
const OWN_MS: &str = "latency_ms";

/// How it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// With a last word, so that nothing is written for it any more.
    Goodbye,
    /// As when it is killed.
    Silent,
}

/// Steers a plane by files until it is ended.
pub struct Filed {
    plane: Arc<Plane>,
    over: Mutex<Option<Over>>,
    bell: Condvar,
    joined: AtomicBool,
    pub applied: AtomicU64,
    pub refused: AtomicU64,
}

struct Hand {
    own: Arc<Filed>,
    spooled: Spooled,
    alive: PathBuf,
    keys: Keys,
    mouth: Mouth,
    reader: Reader,
    table: Option<Table>,
    life: u64,
    beats: u64,
    acks: u64,
    reports: u64,
    /// The controller's last sign of life, and when it was new.
    seen: Option<(String, Instant)>,
}

impl Filed {
    /// # Errors
    /// When the keys cannot be read or the spool cannot be made.
    pub fn start(
        plane: Arc<Plane>,
        spooled: Spooled,
    ) -> Result<(Arc<Filed>, JoinHandle<()>), String> {
        let keys = spooled.keys.as_deref().map(keys).transpose()?;
        let keys = keys.unwrap_or_default();
        let name = &plane.described.name;
        let mouth = Mouth::open(&spooled.dir, name, keys.clone());
        let mouth = mouth.map_err(|e| format!("{}: {e}", spooled.dir.display()))?;
        let tables = spooled.dir.join("tables").join(name);
        let own = Arc::new(Filed {
            over: Mutex::default(),
            bell: Condvar::new(),
            joined: AtomicBool::new(false),
            applied: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            plane: plane.clone(),
        });
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let hand = Hand {
            own: own.clone(),
            alive: spooled.dir.join(ALIVE),
            mouth,
            reader: Reader::new(tables, name, keys.clone()),
            keys,
            table: None,
            life: since.map_or(1, |d| d.as_nanos() as u64),
            beats: 0,
            acks: 0,
            reports: 0,
            seen: None,
            spooled,
        };
        let thread = std::thread::Builder::new().name("filed".into());
        let thread = thread
            .spawn(move || hand.live())
            .map_err(|e| e.to_string())?;
        Ok((own, thread))
    }

    /// Reads no more; the plane goes on with what it holds.
    pub fn end(&self, how: Over) {
        *self.over.lock().unwrap_or_else(|e| e.into_inner()) = Some(how);
        self.bell.notify_all();
    }

    pub fn is_joined(&self) -> bool {
        self.joined.load(Ordering::SeqCst)
    }

    /// Waits until then; tells whether it is over.
    fn wait(&self, until: Instant) -> Option<Over> {
        let mut over = self.over.lock().unwrap_or_else(|e| e.into_inner());
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if over.is_some() || left.is_zero() {
                return *over;
            }
            let waited = self.bell.wait_timeout(over, left);
            over = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }
}

fn ms(time: f64) -> Duration {
    Duration::from_secs_f64(time / 1e3)
}

impl Hand {
    fn live(mut self) {
        let mut beat_at = Instant::now();
        let (mut reported, mut controller_at) = (Instant::now(), beat_at);
        loop {
            let begun = Instant::now();
            if begun >= beat_at {
                self.beat(false);
                beat_at = begun + ms(self.spooled.beat_ms);
            }
            if begun >= controller_at {
                self.look_for_the_controller();
                controller_at = begun + ms(self.spooled.beat_ms / 2.0);
            }
            self.look_for_a_table();
            let every = self.table.as_ref().map(|t| t.report_every_ms);
            let every = every.filter(|e| (10.0..=3.6e6).contains(e));
            if reported.elapsed() >= every.map_or(FIRST_EVERY, ms) && self.own.is_joined() {
                self.report(reported.elapsed());
                reported = Instant::now();
                // A report is a sign of life as well.
                beat_at = beat_at.max(reported + ms(self.spooled.beat_ms));
            }
            if let Some(how) = self.own.wait(begun + ms(self.spooled.every_ms)) {
                if how == Over::Goodbye {
                    self.beat(true);
                }
                self.joined(false);
                return;
            }
        }
    }

    fn joined(&self, is_up: bool) {
        if self.own.joined.swap(is_up, Ordering::SeqCst) != is_up {
            self.own.plane.around().joined(is_up);
            match is_up {
                true => {
                    info!(dir = %self.spooled.dir.display(), "the controller gives signs of life")
                }
                false => warn!("the controller's sign of life stands still; the table is kept"),
            }
        }
    }

    fn look_for_the_controller(&mut self) {
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
                // Another controller, or another life of it.
                self.joined(false);
            }
            self.seen = Some((text.to_string(), Instant::now()));
        }
        let patience = ms(LOST * self.spooled.beat_ms);
        let is_up = self
            .seen
            .as_ref()
            .is_some_and(|(_, at)| at.elapsed() < patience);
        self.joined(is_up);
    }

    fn beat(&mut self, leaves: bool) -> Option<SystemTime> {
        let d = &self.own.plane.described;
        self.beats += 1;
        let beat = Beat {
            proxy: d.name.clone(),
            zone: d.zone.clone(),
            pace: Some(d.pace),
            life: self.life,
            count: self.beats,
            holds: self.reader.held(),
            leaves,
        };
        let said = self.mouth.say("beat", &beat);
        said.map_err(|e| warn!(error = %e, "the sign of life cannot be written"))
            .ok()
    }

    fn look_for_a_table(&mut self) {
        self.own.plane.around().reads();
        // Only the first table can be out of date: one in use stays.
        let fresh = match self.reader.held() {
            Some(_) => None,
            None => std::fs::metadata(&self.alive)
                .and_then(|m| m.modified())
                .ok(),
        };
        let (generation, refused) = match self.reader.look(fresh) {
            Look::Same => return,
            Look::New(table) => (table.generation, self.take(*table).err()),
            Look::Bad(generation, why) => (generation, Some(why)),
        };
        if let Some(why) = &refused {
            self.own.refused.fetch_add(1, Ordering::SeqCst);
            warn!(generation, why, "a table is refused; the old one stands");
        }
        if generation > 0 {
            self.acks += 1;
            let ack = Ack {
                life: self.life,
                generation,
                refused,
            };
            if let Err(e) = self.mouth.say(&format!("ack-{}", self.acks), &ack) {
                warn!(error = %e, "the answer for a table cannot be written");
            }
        }
    }

    /// Takes a table whole, or refuses it whole.
    fn take(&mut self, table: Table) -> Result<(), String> {
        let own = self.own.clone();
        let around = own.plane.around();
        let before = self.table.take().unwrap_or_default();
        let changed = table.lines.values();
        let changed = changed.filter(|l| before.lines.get(&l.server) != Some(l));
        let gone = before
            .lines
            .keys()
            .filter(|s| !table.lines.contains_key(*s));
        let shut = before.shut.symmetric_difference(&table.shut);
        let lines = changed.count() + gone.count() + shut.count();
        let serial = table.serial.to_string();
        let crossed = Crossed {
            serial: &serial,
            lines,
            carries_lines: true,
            bytes: 0,
        };
        let came = Instant::now();
        let wait = around.came(&crossed).saturating_duration_since(came);
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        let unknown = table.lines.keys().find(|s| !around.knows(s)).cloned();
        if let Some(server) = unknown {
            self.table = Some(before);
            around.took(&crossed, came, true);
            return Err(format!("no server {server:?} is known"));
        }
        let held = (table.bound || !table.lines.is_empty()).then(|| held(&table));
        own.plane
            .swap(held.as_ref(), &|s| table.shut.contains(s), lines);
        own.applied.fetch_add(1, Ordering::SeqCst);
        self.table = Some(table);
        around.took(&crossed, came, false);
        Ok(())
    }

    /// What could not be written is told with the next report.
    fn report(&mut self, window: Duration) {
        let tallies = self.own.plane.tallies();
        self.reports += 1;
        let told = Told {
            life: self.life,
            window_ms: (window.as_secs_f64() * 1e3).max(1.0),
            classes: tallies.iter().map(|t| self.class_met(t)).collect(),
        };
        if let Err(e) = self.mouth.say(&format!("report-{}", self.reports), &told) {
            warn!(error = %e, "a report cannot be written; it is added to the next");
            self.own.plane.untold(tallies);
        }
    }

    fn class_met(&self, tally: &ClusterLoad) -> ClassMet {
        let service = &self.own.plane.described.service;
        let issued: u64 = tally.endpoints.iter().map(|e| e.issued).sum();
        let dropped: u64 = tally.dropped.values().sum();
        let met = tally.endpoints.iter().map(|e| {
            let word = |name: &str| e.metrics.get(name).copied().unwrap_or_default();
            Met {
                server: e.address.clone(),
                good: e.succeeded,
                failed: e.failed,
                good_ms: e.success_ms,
                in_flight: e.in_progress,
                words: word(OWN_MS).0,
                own_queue: word(OWN_QUEUE).1,
                own_ms: word(OWN_MS).1,
            }
        });
        ClassMet {
            class: names::class_of(service, &tally.cluster).unwrap_or_default(),
            came: issued + dropped,
            met: met.collect(),
        }
    }
}

/// As the plane takes tables.
fn held(table: &Table) -> ReceivedTable {
    let lines = table.lines.values().map(|l| ReceivedLine {
        server: l.server.clone(),
        address: l.address.clone(),
        weight: (l.weight * WEIGHT_SCALE).round().max(1.0) as u32,
        open: table.is_open(l),
    });
    let classes = table.classes.iter();
    let retry_on = classes.clone().map(|(class, way)| {
        let on = match way.tries {
            RetryPolicy::Never => "",
            RetryPolicy::OnProof => "connect-failure,refused-stream",
            RetryPolicy::OnFailure => "5xx",
        };
        (class.clone(), on.to_string())
    });
    ReceivedTable {
        lines: lines.collect(),
        admitted_shares: classes
            .map(|(class, way)| (class.clone(), way.share))
            .collect(),
        retry_on: retry_on.collect(),
    }
}
