//! Rolls out the planner's orders under the guard, between the planner and the fronts. The planner's orders are the target;
//! the slots hold what was sent. The rollout brings the second to the first in steps that the guard finds safe, and logs
//! what it holds back.
//!
//! Call, once a moment: [`Rollout::learn`] after each round of reports or change of the roster, [`Rollout::settle`] with
//! what is answered, [`Rollout::shutting`] for withdrawals, then [`Rollout::lines`] for each part; [`Rollout::wake_at`]
//! gives the time of the next call that it needs. Its own rules, in order: withdrawals are sent at once; a withdrawal that
//! the planner owes for too long is made; a line for a server that is not ready is not opened; what can wait waits while
//! the channel is full; the rest is sent in the guard's steps, no faster than their interval.

use crate::servers::Slot;
use crate::{AdminState, ControllerSettings, RetryPolicy};
use dahliapoint_guard::capacity::{CapacityEstimate, ServerLoad};
use dahliapoint_guard::steps::Step;
use dahliapoint_guard::{self as guard, Guard, Line, Reason, Server, Violation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A withdrawal that is owed for longer than this share of the drain grace period is made without the planner, which
/// normally withdraws well within it.
const LATE: f64 = 0.25;
/// Lines that can wait do so while more than this share is used of the lines that may wait or of the messages that a
/// proxy may be sent. The planner's own pacing stays below it.
const ROOM: f64 = 0.9;
/// Steps without a new order of the planner follow each other no faster than this share of the warm-up time.
const PACE: f64 = 0.1;

/// Buckets of a part's load history; together they cover one warm-up time.
const LOADS: usize = 8;
/// Rounds over which the rise of a load is taken; the next rise is expected to be as large.
const RISES: usize = 5;

/// What the guard does about dangerous tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardMode {
    /// Nothing: tables are not checked.
    Off,
    /// They are sent, and the danger is logged.
    ReportOnly,
    /// They are not sent; the guard's steps are sent instead.
    #[default]
    Enforce,
}

/// Load of a server by the reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Visits a second over some rounds, and the error of that figure.
    pub per_s: f64,
    pub error: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
    /// Visits a second in the newest round alone.
    pub newest: f64,
}

/// The guard on the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GuardView {
    pub mode: String,
    /// Ordered tables that were checked.
    pub judged: u64,
    /// Violations found, by the code of the reason.
    pub dangerous: BTreeMap<&'static str, u64>,
    /// Ordered tables that were not sent as wanted.
    pub held: u64,
    /// Steps that the guard sent later on its own.
    pub steps: u64,
    /// Withdrawals made because the planner owed them for too long.
    pub withdrawn: u64,
    /// By part, why the wanted table has not been sent yet.
    pub waits: BTreeMap<usize, Vec<String>>,
    /// The last violation that was logged.
    pub last: Option<String>,
    /// The highest known load of a warm server, in visits a second for a listed weight of 1.
    pub best: f64,
}

/// How full the channel to a part's proxies is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Channel {
    /// Lines that are sent and unanswered, over all proxies.
    pub waiting: f64,
    /// Proxies that receive the lines of the part.
    pub readers: f64,
    /// Share of the message limit that is used by the proxy with the most messages in the window.
    pub written: f64,
}

/// The load of a part: its peak over one warm-up time, since visits that hang at slow servers are not counted as tries
/// and come back all at once. A rising load is extrapolated to when the next table has reached all proxies, since reports
/// lag by a round and messages by their latency.
#[derive(Clone, Debug, Default)]
struct Load {
    ring: [(u64, f64); LOADS],
    rounds: VecDeque<f64>,
}

impl Load {
    /// Adds the load of a round and returns the load to plan for.
    fn seen(&mut self, stretch: u64, per_s: f64) -> f64 {
        let bucket = &mut self.ring[stretch as usize % LOADS];
        if bucket.0 != stretch {
            *bucket = (stretch, 0.0);
        }
        bucket.1 = bucket.1.max(per_s);
        let lately = |b: &&(u64, f64)| stretch - b.0.min(stretch) < LOADS as u64;
        let peak = self
            .ring
            .iter()
            .filter(lately)
            .map(|b| b.1)
            .fold(0.0, f64::max);
        self.rounds.push_back(per_s);
        if self.rounds.len() > RISES {
            self.rounds.pop_front();
        }
        // With a single round no rise is known.
        let low = self.rounds.iter().copied().fold(f64::INFINITY, f64::min);
        peak.max(per_s + (per_s - low))
    }
}

/// The rollout of all parts. See the module documentation.
pub struct Rollout {
    mode: GuardMode,
    guard: Guard,
    bearing: CapacityEstimate,
    loads: BTreeMap<usize, Load>,
    cold_share: f64,
    warm_after_ms: f64,
    fall_multiple: f64,
    late_ms: f64,
    pace_ms: f64,
    tight_ms: f64,
    most_waiting: f64,
    dropped_may_stay: bool,
    /// Since when a line has been open for a server that is not ready.
    owed: BTreeMap<usize, f64>,
    /// Parts whose wanted table has not been sent, and when the next step may follow.
    unfinished: BTreeMap<usize, f64>,
    /// Parts with lines of cold servers: checked after each round.
    cold: BTreeSet<usize>,
    /// By part, the violations that were last logged.
    told: BTreeMap<usize, Vec<String>>,
    view: GuardView,
}

/// What may be sent of a part now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Leaves {
    /// New weights by server; 0 removes the line.
    pub lines: Vec<(usize, f64)>,
    /// Something that is wanted is not sent now.
    pub held: bool,
    /// A cold server is overloaded by the present table: pins and gates do not hold this back.
    pub urgent: bool,
    /// Lines for the operators' log.
    pub notes: Vec<String>,
}

impl Rollout {
    pub fn of(terms: &ControllerSettings) -> Rollout {
        let limits = terms.classes.iter().map(|c| c.soft_limit_ms);
        Rollout {
            mode: terms.guard_mode,
            guard: Guard::default(),
            bearing: CapacityEstimate::new(terms.warm_up_ms),
            loads: BTreeMap::new(),
            cold_share: terms.cold_capacity_share,
            warm_after_ms: terms.warm_up_ms,
            fall_multiple: terms.overload_multiple,
            late_ms: terms.drain_grace_ms * LATE,
            pace_ms: (terms.warm_up_ms * PACE).max(terms.report_interval_ms),
            tight_ms: limits.fold(f64::INFINITY, f64::min),
            most_waiting: terms.max_queued_lines,
            dropped_may_stay: terms.keep_unlisted_servers,
            owed: BTreeMap::new(),
            unfinished: BTreeMap::new(),
            cold: BTreeSet::new(),
            told: BTreeMap::new(),
            view: GuardView {
                mode: match terms.guard_mode {
                    GuardMode::Off => "off",
                    GuardMode::ReportOnly => "tell",
                    GuardMode::Enforce => "hold",
                }
                .into(),
                ..GuardView::default()
            },
        }
    }

    pub fn is_off(&self) -> bool {
        self.mode == GuardMode::Off
    }

    fn holds(&self) -> bool {
        self.mode == GuardMode::Enforce
    }

    /// The time of the next call that it needs.
    pub fn wake_at(&self) -> f64 {
        let owed = self.owed.values().map(|since| since + self.late_ms);
        let steps = self.unfinished.values().copied();
        owed.chain(steps).fold(f64::INFINITY, f64::min)
    }

    /// The state of a server as the guard is to see it: one that is merely dropped from the roster may stay, where the
    /// settings allow it.
    fn standing(&self, slot: &Slot) -> guard::AdminState {
        match slot.state {
            AdminState::Ready => guard::AdminState::Ready,
            AdminState::Draining => guard::AdminState::Draining,
            AdminState::Gone if self.dropped_may_stay && !slot.wants_shut => {
                guard::AdminState::Ready
            }
            AdminState::Gone => guard::AdminState::Gone,
        }
    }

    /// Time since the last start, in warm-up times; infinite if no start is known.
    fn age(&self, now: f64, slot: &Slot) -> f64 {
        let ago = slot.started.map_or(f64::INFINITY, |(_, at)| now - at);
        ago / self.warm_after_ms.max(1.0)
    }

    /// Updates the guard from the roster and a round of reports; `rate` returns the load of a server.
    pub fn learn(&mut self, now: f64, slots: &[Slot], rate: impl Fn(usize) -> Option<Rate>) {
        if self.is_off() {
            return;
        }
        let mut loads: BTreeMap<usize, f64> = BTreeMap::new();
        let rates: Vec<Rate> = (0..slots.len())
            .map(|s| {
                let sound =
                    |r: &Rate| r.per_s.is_finite() && r.error.is_finite() && r.newest.is_finite();
                rate(s).filter(sound).unwrap_or_default()
            })
            .collect();
        let carried = |r: &Rate| ServerLoad {
            per_s: r.per_s,
            error: r.error,
            failed_share: r.failed_share,
            in_time: r.mean_ms <= self.tight_ms,
        };
        let carried: Vec<ServerLoad> = rates.iter().map(carried).collect();
        for ((slot, carried), rate) in slots.iter().zip(&carried).zip(&rates) {
            if let Some(part) = slot.part {
                *loads.entry(part).or_default() += rate.per_s.max(rate.newest);
            }
            if self.age(now, slot) >= 1.0 && slot.state == AdminState::Ready {
                self.bearing.record(now, slot.listed_weight, carried);
            }
        }
        for (s, slot) in slots.iter().enumerate() {
            let age = self.age(now, slot);
            let able = self.cold_share + (1.0 - self.cold_share) * age.clamp(0.0, 1.0);
            let listed = slot.listed_weight;
            let falls_at = match age < 1.0 {
                true => {
                    self.bearing
                        .overload_per_s(now, listed, able, self.fall_multiple, &carried[s])
                }
                false => f64::INFINITY,
            };
            if let Some(part) = slot
                .part
                .filter(|_| falls_at.is_finite() && slot.weight > 0.0)
            {
                self.cold.insert(part);
            }
            let known = Server {
                admin_state: self.standing(slot),
                listed_weight: listed,
                overload_per_s: falls_at,
            };
            self.guard.set_server(s, slot.part, known);
        }
        let stretch = (now / (self.warm_after_ms / LOADS as f64).max(1.0)) as u64;
        for (part, load) in loads {
            let most = self.loads.entry(part).or_default().seen(stretch, load);
            self.guard.set_load(part, most);
        }
        self.view.best = self.bearing.best_per_weight(now);
    }

    /// Tells the guard the serial up to which all proxies of a part have answered, for parts in which they may hold
    /// different tables.
    pub fn settle(&mut self, answered: impl Fn(usize) -> u64, parts: impl Iterator<Item = usize>) {
        for part in parts {
            if self.guard.is_mixed(part) {
                self.guard.record_applied(part, answered(part));
            }
        }
    }

    /// Withdraws at once what the planner withdraws and what it owes for too long; does not open a server again that is not
    /// ready. Returns the servers that changed.
    pub fn shutting(&mut self, now: f64, slots: &mut [Slot]) -> Vec<usize> {
        let mut changed = Vec::new();
        for (s, slot) in slots.iter_mut().enumerate() {
            let ready = !self.holds() || self.standing(slot) == guard::AdminState::Ready;
            let owes = !ready && !slot.wants_shut && !slot.shut && slot.weight > 0.0;
            let late = match owes {
                true => now - *self.owed.entry(s).or_insert(now) >= self.late_ms,
                false => {
                    self.owed.remove(&s);
                    false
                }
            };
            let shut = slot.wants_shut || late || (slot.shut && !ready);
            if late {
                self.owed.remove(&s);
                self.view.withdrawn += 1;
            }
            if shut != slot.shut {
                slot.shut = shut;
                changed.push(s);
            }
        }
        changed
    }

    /// Lowers a retry policy that could execute visits twice, for a class that is not idempotent.
    pub fn tries(&mut self, tries: RetryPolicy, repeatable: bool) -> RetryPolicy {
        if self.is_off() || tries != RetryPolicy::OnFailure || repeatable {
            return tries;
        }
        self.count(Reason::UnsafeRetry);
        match self.holds() {
            true => RetryPolicy::OnProof,
            false => tries,
        }
    }

    fn count(&mut self, reason: Reason) {
        *self.view.dangerous.entry(reason.code()).or_default() += 1;
    }

    /// Parts to check besides those that the planner changed.
    pub fn due(&mut self) -> BTreeSet<usize> {
        let mut due = std::mem::take(&mut self.cold);
        due.extend(self.unfinished.keys());
        due
    }

    /// What may be sent of a part now. `asked`: the planner changed it in this moment.
    pub fn lines(
        &mut self,
        now: f64,
        part: usize,
        slots: &[Slot],
        asked: bool,
        channel: &Channel,
    ) -> Leaves {
        let dealt = || {
            slots
                .iter()
                .enumerate()
                .filter(|(_, s)| s.part == Some(part))
        };
        let wanted: Vec<Line> = dealt()
            .map(|(server, s)| Line {
                server,
                weight: s.wanted,
                open: !s.shut && s.wanted > 0.0,
            })
            .collect();
        let mut out = Leaves::default();
        // Nobody picks a withdrawn line, so it takes its wanted weight at once.
        let shut = || dealt().filter(|(_, s)| s.shut && s.weight != s.wanted);
        let shut_lines = || shut().map(|(i, s)| (i, s.wanted));
        let plain = |out: &mut Leaves| {
            let open = dealt().filter(|(_, s)| !s.shut && s.weight != s.wanted);
            out.lines
                .extend(shut_lines().chain(open.map(|(i, s)| (i, s.wanted))));
        };
        if self.is_off() {
            plain(&mut out);
            return out;
        }
        let step = self.guard.next_step(part, &wanted);
        if asked {
            self.view.judged += 1;
            let reasons: BTreeSet<Reason> = step.violations.iter().map(|d| d.reason).collect();
            reasons.into_iter().for_each(|r| self.count(r));
        }
        if !self.holds() {
            self.tell(part, &step, slots, &mut out.notes);
            plain(&mut out);
            return out;
        }
        // Lines that go away are sent now; lines that are new or change may have to wait.
        let changes = self.guard.changes(part, &step);
        let (down, up): (Vec<_>, Vec<_>) = changes.into_iter().partition(|(_, w)| *w == 0.0);
        let cost = channel.readers * up.len() as f64;
        let full = channel.waiting + cost > self.most_waiting * ROOM || channel.written > ROOM;
        // The first table of a part is not held back: no proxy has one yet.
        let waits = !up.is_empty() || shut().next().is_some();
        let full = full && channel.readers > 0.0 && self.guard.has_table(part) && waits;
        let early = !asked && self.unfinished.get(&part).is_some_and(|at| now < *at);
        let urgent = step
            .violations
            .iter()
            .any(|d| d.reason < Reason::Overweight);
        // New and changed lines wait while the channel is full, or until the step interval has passed, unless a server is
        // in danger and the step is safe.
        let quiet = full || (early && !(urgent && step.remaining.is_empty()));
        // If no line would be left, removing lines alone would empty the table.
        let open = |s: &Slot| !s.shut && s.weight > 0.0;
        let left = dealt()
            .filter(|(i, s)| open(s) && !down.iter().any(|(d, _)| d == i))
            .count();
        if !quiet || left > 0 {
            let gone = down
                .into_iter()
                .filter(|(s, _)| !slots[*s].shut && slots[*s].weight > 0.0);
            out.lines.extend(gone.map(|(s, _)| (s, 0.0)));
        }
        if !quiet {
            out.lines.extend(shut_lines().chain(up.iter().copied()));
            self.view.steps += u64::from(!asked && !up.is_empty());
        }
        if full {
            self.count(Reason::ChannelFull);
        }
        out.urgent = step.violations.iter().any(|d| d.reason == Reason::Cold) && !asked;
        out.held = step.partial || (quiet && waits);
        match out.held {
            true => {
                let next = match quiet && early && !full {
                    true => self
                        .unfinished
                        .get(&part)
                        .copied()
                        .unwrap_or(now + self.pace_ms),
                    false => now + self.pace_ms,
                };
                self.unfinished.insert(part, next);
                self.view.held += u64::from(asked);
            }
            false => {
                self.unfinished.remove(&part);
            }
        }
        self.tell(part, &step, slots, &mut out.notes);
        out
    }

    /// Keeps the present table: of the given lines only those of withdrawn servers and of servers that are not ready stay.
    pub fn stays(&mut self, now: f64, part: usize, slots: &[Slot], leaves: &mut Leaves) {
        let before = leaves.lines.len();
        leaves
            .lines
            .retain(|(s, _)| slots[*s].shut || slots[*s].state != AdminState::Ready);
        if leaves.lines.len() < before {
            leaves.held = true;
            self.unfinished.insert(part, now + self.pace_ms);
        }
    }

    /// Lets the next step of all unfinished parts follow now.
    pub fn look_again(&mut self, now: f64) {
        self.unfinished.values_mut().for_each(|at| *at = now);
    }

    /// Tells the guard which lines of a part are sent with a serial; `readers`: proxies are bound to the part.
    pub fn sent(
        &mut self,
        part: usize,
        slots: &[Slot],
        touched: &[usize],
        serial: u64,
        readers: bool,
    ) {
        if self.is_off() {
            return;
        }
        let line = |s: &usize| Line {
            server: *s,
            weight: slots[*s].weight,
            open: !slots[*s].shut && slots[*s].weight > 0.0,
        };
        let lines: Vec<Line> = touched.iter().map(line).collect();
        self.guard.record_sent(part, &lines, false, serial);
        if !readers {
            self.guard.record_applied(part, serial);
        }
    }

    /// Logs the violations of a step, unless they are the same as last time.
    fn tell(&mut self, part: usize, step: &Step, slots: &[Slot], notes: &mut Vec<String>) {
        let words = |d: &Violation, more: &str| {
            let whom = d
                .server
                .map_or(String::new(), |s| format!(" {}", slots[s].name));
            format!("{}{whom}{more}", d.reason.code())
        };
        let held = step.violations.iter().map(|d| (words(d, ""), d));
        let more = " (nothing better is to be had)";
        let borne = step.remaining.iter().map(|d| (words(d, more), d));
        let all: Vec<(String, &Violation)> = held.chain(borne).collect();
        let codes: Vec<String> = all.iter().map(|(word, _)| word.clone()).collect();
        if codes.is_empty() {
            self.told.remove(&part);
            self.view.waits.remove(&part);
            return;
        }
        if self.told.get(&part) != Some(&codes) {
            let word = if self.holds() { "held" } else { "told only" };
            for (text, d) in &all {
                let note = format!(
                    "guard: part {part}: {text}: {:.3}, borne {:.3}; {word}",
                    d.found, d.limit
                );
                self.view.last = Some(note.clone());
                notes.push(note);
            }
        }
        self.view.waits.insert(part, codes.clone());
        self.told.insert(part, codes);
    }

    /// The state of the guard for the status page.
    pub fn view(&self) -> GuardView {
        self.view.clone()
    }
}
