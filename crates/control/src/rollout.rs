//! Rolls out the planner's orders under the guard, between the planner and the fronts. The
//! planner's orders are the target; the slots hold what was sent. The rollout brings the second to
//! the first in steps that the guard finds safe, and logs what it holds back.
//!
//! Call, once a moment: [`Rollout::update`] after each round of reports or change of the roster,
//! [`Rollout::record_applied`] with what is answered, [`Rollout::update_withdrawals`] for
//! withdrawals, then [`Rollout::release`] for each part; [`Rollout::wake_at`] gives the time of the
//! next call that it needs. Its own rules, in order: withdrawals are sent at once; a withdrawal
//! that the planner owes for too long is made; a line for a server that is not ready is not opened;
//! what can wait waits while the channel is full; the rest is sent in the guard's steps, no faster
//! than their interval.

use crate::servers::Slot;
use crate::{AdminState, ControllerSettings, RetryPolicy};
use dahliapoint_guard::capacity::{CapacityEstimate, ServerLoad};
use dahliapoint_guard::steps::Step;
use dahliapoint_guard::{self as guard, Guard, Line, Reason, Server, Violation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A withdrawal that is owed for longer than this share of the drain grace period is made without
/// the planner, which normally withdraws well within it.
const LATE_GRACE_SHARE: f64 = 0.25;
/// Lines that can wait do so while more than this share is used of the lines that may wait or of
/// the messages that a proxy may be sent. The planner's own pacing stays below it.
const MAX_CHANNEL_SHARE: f64 = 0.9;
/// Steps without a new order of the planner follow each other no faster than this share of the
/// warm-up time.
const STEP_WARM_UP_SHARE: f64 = 0.1;

/// Buckets of a part's load history; together they cover one warm-up time.
const LOAD_BUCKETS: usize = 8;
/// Rounds over which the rise of a load is taken; the next rise is expected to be as large.
const RISE_ROUNDS: usize = 5;

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
pub struct ServerRate {
    /// Visits a second over some rounds, and the error of that figure.
    pub visits_per_s: f64,
    pub error: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
    /// Visits a second in the newest round alone.
    pub newest_per_s: f64,
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
pub struct ChannelLoad {
    /// Lines that are sent and unacknowledged, over all proxies.
    pub waiting_lines: f64,
    /// Proxies that receive the lines of the part.
    pub receivers: f64,
    /// Share of the message limit that is used by the proxy with the most messages in the window.
    pub message_share: f64,
}

/// The load of a part: its peak over one warm-up time, since visits that hang at slow servers are
/// not counted as tries and come back all at once. A rising load is extrapolated to when the next
/// table has reached all proxies, since reports lag by a round and messages by their latency.
#[derive(Clone, Debug, Default)]
struct LoadHistory {
    /// By bucket: the number of the period that it holds, and the highest load in that period.
    ring: [(u64, f64); LOAD_BUCKETS],
    /// The loads of the last rounds.
    rounds: VecDeque<f64>,
}

impl LoadHistory {
    /// Adds the load of a round and returns the load to plan for.
    fn record(&mut self, bucket_number: u64, per_s: f64) -> f64 {
        let bucket = &mut self.ring[bucket_number as usize % LOAD_BUCKETS];
        if bucket.0 != bucket_number {
            *bucket = (bucket_number, 0.0);
        }
        bucket.1 = bucket.1.max(per_s);
        let is_recent =
            |b: &&(u64, f64)| bucket_number - b.0.min(bucket_number) < LOAD_BUCKETS as u64;
        let peak = self
            .ring
            .iter()
            .filter(is_recent)
            .map(|b| b.1)
            .fold(0.0, f64::max);
        self.rounds.push_back(per_s);
        if self.rounds.len() > RISE_ROUNDS {
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
    capacity: CapacityEstimate,
    loads: BTreeMap<usize, LoadHistory>,
    cold_capacity_share: f64,
    warm_up_ms: f64,
    overload_multiple: f64,
    withdraw_late_ms: f64,
    step_interval_ms: f64,
    shortest_soft_limit_ms: f64,
    max_queued_lines: f64,
    keep_unlisted_servers: bool,
    /// Since when a line has been open for a server that is not ready.
    owed_since: BTreeMap<usize, f64>,
    /// Parts whose wanted table has not been sent, and when the next step may follow.
    next_step_at: BTreeMap<usize, f64>,
    /// Parts with lines of cold servers: checked after each round.
    cold_parts: BTreeSet<usize>,
    /// By part, the violations that were last logged.
    logged: BTreeMap<usize, Vec<String>>,
    view: GuardView,
}

/// What may be sent of a part now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Release {
    /// New weights by server; 0 removes the line.
    pub lines: Vec<(usize, f64)>,
    /// Something that is wanted is not sent now.
    pub held: bool,
    /// A cold server is overloaded by the present table: pins and gates do not hold this back.
    pub urgent: bool,
    /// Lines for the operators' log.
    pub log: Vec<String>,
}

impl Rollout {
    /// Creates the rollout for a service; nothing has been sent yet.
    pub fn new(settings: &ControllerSettings) -> Rollout {
        let limits = settings.classes.iter().map(|c| c.soft_limit_ms);
        Rollout {
            mode: settings.guard_mode,
            guard: Guard::default(),
            capacity: CapacityEstimate::new(settings.warm_up_ms),
            loads: BTreeMap::new(),
            cold_capacity_share: settings.cold_capacity_share,
            warm_up_ms: settings.warm_up_ms,
            overload_multiple: settings.overload_multiple,
            withdraw_late_ms: settings.drain_grace_ms * LATE_GRACE_SHARE,
            step_interval_ms: (settings.warm_up_ms * STEP_WARM_UP_SHARE)
                .max(settings.report_interval_ms),
            shortest_soft_limit_ms: limits.fold(f64::INFINITY, f64::min),
            max_queued_lines: settings.max_queued_lines,
            keep_unlisted_servers: settings.keep_unlisted_servers,
            owed_since: BTreeMap::new(),
            next_step_at: BTreeMap::new(),
            cold_parts: BTreeSet::new(),
            logged: BTreeMap::new(),
            view: GuardView {
                mode: match settings.guard_mode {
                    GuardMode::Off => "off",
                    GuardMode::ReportOnly => "tell",
                    GuardMode::Enforce => "hold",
                }
                .into(),
                ..GuardView::default()
            },
        }
    }

    /// Whether the guard is off.
    pub fn is_off(&self) -> bool {
        self.mode == GuardMode::Off
    }

    /// Whether dangerous tables are held back.
    fn enforces(&self) -> bool {
        self.mode == GuardMode::Enforce
    }

    /// The time of the next call that it needs.
    pub fn wake_at(&self) -> f64 {
        let owed_since = self
            .owed_since
            .values()
            .map(|since| since + self.withdraw_late_ms);
        let steps = self.next_step_at.values().copied();
        owed_since.chain(steps).fold(f64::INFINITY, f64::min)
    }

    /// The state of a server as the guard is to see it: one that is merely dropped from the roster
    /// may stay, where the settings allow it.
    fn guard_state(&self, slot: &Slot) -> guard::AdminState {
        match slot.state {
            AdminState::Ready => guard::AdminState::Ready,
            AdminState::Draining => guard::AdminState::Draining,
            AdminState::Gone if self.keep_unlisted_servers && !slot.target_withdrawn => {
                guard::AdminState::Ready
            }
            AdminState::Gone => guard::AdminState::Gone,
        }
    }

    /// Time since the last start, in warm-up times; infinite if no start is known.
    fn age(&self, now: f64, slot: &Slot) -> f64 {
        let ago = slot.started.map_or(f64::INFINITY, |(_, at)| now - at);
        ago / self.warm_up_ms.max(1.0)
    }

    /// Updates the guard from the roster and a round of reports; `rate` returns the load of a
    /// server.
    pub fn update(&mut self, now: f64, slots: &[Slot], rate: impl Fn(usize) -> Option<ServerRate>) {
        if self.is_off() {
            return;
        }
        let mut loads: BTreeMap<usize, f64> = BTreeMap::new();
        let rates: Vec<ServerRate> = (0..slots.len())
            .map(|s| {
                let is_finite = |r: &ServerRate| {
                    r.visits_per_s.is_finite() && r.error.is_finite() && r.newest_per_s.is_finite()
                };
                rate(s).filter(is_finite).unwrap_or_default()
            })
            .collect();
        let server_load = |r: &ServerRate| ServerLoad {
            per_s: r.visits_per_s,
            error: r.error,
            failed_share: r.failed_share,
            in_time: r.mean_ms <= self.shortest_soft_limit_ms,
        };
        let server_loads: Vec<ServerLoad> = rates.iter().map(server_load).collect();
        for ((slot, server_load), rate) in slots.iter().zip(&server_loads).zip(&rates) {
            if let Some(part) = slot.part {
                *loads.entry(part).or_default() += rate.visits_per_s.max(rate.newest_per_s);
            }
            if self.age(now, slot) >= 1.0 && slot.state == AdminState::Ready {
                self.capacity.record(now, slot.listed_weight, server_load);
            }
        }
        for (s, slot) in slots.iter().enumerate() {
            let age = self.age(now, slot);
            let capacity_share =
                self.cold_capacity_share + (1.0 - self.cold_capacity_share) * age.clamp(0.0, 1.0);
            let listed_weight = slot.listed_weight;
            let overload_per_s = match age < 1.0 {
                true => self.capacity.overload_per_s(
                    now,
                    listed_weight,
                    capacity_share,
                    self.overload_multiple,
                    &server_loads[s],
                ),
                false => f64::INFINITY,
            };
            if let Some(part) = slot
                .part
                .filter(|_| overload_per_s.is_finite() && slot.weight > 0.0)
            {
                self.cold_parts.insert(part);
            }
            let server = Server {
                admin_state: self.guard_state(slot),
                listed_weight,
                overload_per_s,
            };
            self.guard.set_server(s, slot.part, server);
        }
        let bucket_number = (now / (self.warm_up_ms / LOAD_BUCKETS as f64).max(1.0)) as u64;
        for (part, load) in loads {
            let planned = self
                .loads
                .entry(part)
                .or_default()
                .record(bucket_number, load);
            self.guard.set_load(part, planned);
        }
        self.view.best = self.capacity.best_per_weight(now);
    }

    /// Tells the guard the serial up to which all proxies of a part have answered, for parts in
    /// which they may hold different tables.
    pub fn record_applied(
        &mut self,
        answered: impl Fn(usize) -> u64,
        parts: impl Iterator<Item = usize>,
    ) {
        for part in parts {
            if self.guard.is_mixed(part) {
                self.guard.record_applied(part, answered(part));
            }
        }
    }

    /// Withdraws at once what the planner withdraws and what it owes for too long; does not open a
    /// server again that is not ready. Returns the servers that changed.
    pub fn update_withdrawals(&mut self, now: f64, slots: &mut [Slot]) -> Vec<usize> {
        let mut changed = Vec::new();
        for (s, slot) in slots.iter_mut().enumerate() {
            let ready = !self.enforces() || self.guard_state(slot) == guard::AdminState::Ready;
            let owes = !ready && !slot.target_withdrawn && !slot.withdrawn && slot.weight > 0.0;
            let late = match owes {
                true => now - *self.owed_since.entry(s).or_insert(now) >= self.withdraw_late_ms,
                false => {
                    self.owed_since.remove(&s);
                    false
                }
            };
            let withdrawn = slot.target_withdrawn || late || (slot.withdrawn && !ready);
            if late {
                self.owed_since.remove(&s);
                self.view.withdrawn += 1;
            }
            if withdrawn != slot.withdrawn {
                slot.withdrawn = withdrawn;
                changed.push(s);
            }
        }
        changed
    }

    /// Lowers a retry policy that could execute visits twice, for a class that is not idempotent.
    pub fn safe_retry(&mut self, retry: RetryPolicy, idempotent: bool) -> RetryPolicy {
        if self.is_off() || retry != RetryPolicy::OnFailure || idempotent {
            return retry;
        }
        self.count(Reason::UnsafeRetry);
        match self.enforces() {
            true => RetryPolicy::OnProof,
            false => retry,
        }
    }

    /// Counts a violation for the status page.
    fn count(&mut self, reason: Reason) {
        *self.view.dangerous.entry(reason.code()).or_default() += 1;
    }

    /// Parts to check besides those that the planner changed.
    pub fn parts_due(&mut self) -> BTreeSet<usize> {
        let mut parts = std::mem::take(&mut self.cold_parts);
        parts.extend(self.next_step_at.keys());
        parts
    }

    /// What may be sent of a part now. `ordered`: the planner changed it in this moment.
    pub fn release(
        &mut self,
        now: f64,
        part: usize,
        slots: &[Slot],
        ordered: bool,
        channel: &ChannelLoad,
    ) -> Release {
        let assigned = || {
            slots
                .iter()
                .enumerate()
                .filter(|(_, s)| s.part == Some(part))
        };
        let wanted: Vec<Line> = assigned()
            .map(|(server, s)| Line {
                server,
                weight: s.target_weight,
                open: !s.withdrawn && s.target_weight > 0.0,
            })
            .collect();
        let mut release = Release::default();
        // Nobody picks a withdrawn line, so it takes its wanted weight at once.
        let withdrawn_slots =
            || assigned().filter(|(_, s)| s.withdrawn && s.weight != s.target_weight);
        let withdrawn_lines = || withdrawn_slots().map(|(i, s)| (i, s.target_weight));
        let release_all = |release: &mut Release| {
            let open = assigned().filter(|(_, s)| !s.withdrawn && s.weight != s.target_weight);
            release
                .lines
                .extend(withdrawn_lines().chain(open.map(|(i, s)| (i, s.target_weight))));
        };
        if self.is_off() {
            release_all(&mut release);
            return release;
        }
        let step = self.guard.next_step(part, &wanted);
        if ordered {
            self.view.judged += 1;
            let reasons: BTreeSet<Reason> = step.violations.iter().map(|d| d.reason).collect();
            reasons.into_iter().for_each(|r| self.count(r));
        }
        if !self.enforces() {
            self.log_violations(part, &step, slots, &mut release.log);
            release_all(&mut release);
            return release;
        }
        // Lines that go away are sent now; lines that are new or change may have to wait.
        let changes = self.guard.changes(part, &step);
        let (removed, changed): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(|(_, w)| *w == 0.0);
        let new_lines = channel.receivers * changed.len() as f64;
        let full = channel.waiting_lines + new_lines > self.max_queued_lines * MAX_CHANNEL_SHARE
            || channel.message_share > MAX_CHANNEL_SHARE;
        let has_changes = !changed.is_empty() || withdrawn_slots().next().is_some();
        // The first table of a part is not held back: no proxy has one yet.
        let full = full && channel.receivers > 0.0 && self.guard.has_table(part) && has_changes;
        let too_early = !ordered && self.next_step_at.get(&part).is_some_and(|at| now < *at);
        let urgent = step
            .violations
            .iter()
            .any(|d| d.reason < Reason::Overweight);
        // New and changed lines wait while the channel is full, or until the step interval has
        // passed, unless a server is in danger and the step is safe.
        let deferred = full || (too_early && !(urgent && step.remaining.is_empty()));
        // If no open line would remain, removing lines alone would empty the table.
        let open = |s: &Slot| !s.withdrawn && s.weight > 0.0;
        let remaining_open = assigned()
            .filter(|(i, s)| open(s) && !removed.iter().any(|(d, _)| d == i))
            .count();
        if !deferred || remaining_open > 0 {
            let removed = removed
                .into_iter()
                .filter(|(s, _)| !slots[*s].withdrawn && slots[*s].weight > 0.0);
            release.lines.extend(removed.map(|(s, _)| (s, 0.0)));
        }
        if !deferred {
            release
                .lines
                .extend(withdrawn_lines().chain(changed.iter().copied()));
            self.view.steps += u64::from(!ordered && !changed.is_empty());
        }
        if full {
            self.count(Reason::ChannelFull);
        }
        release.urgent = step.violations.iter().any(|d| d.reason == Reason::Cold) && !ordered;
        release.held = step.partial || (deferred && has_changes);
        match release.held {
            true => {
                let next_at = match deferred && too_early && !full {
                    true => self
                        .next_step_at
                        .get(&part)
                        .copied()
                        .unwrap_or(now + self.step_interval_ms),
                    false => now + self.step_interval_ms,
                };
                self.next_step_at.insert(part, next_at);
                self.view.held += u64::from(ordered);
            }
            false => {
                self.next_step_at.remove(&part);
            }
        }
        self.log_violations(part, &step, slots, &mut release.log);
        release
    }

    /// Keeps the present table: of the given lines only those of withdrawn servers and of servers
    /// that are not ready stay.
    pub fn hold(&mut self, now: f64, part: usize, slots: &[Slot], release: &mut Release) {
        let before = release.lines.len();
        release
            .lines
            .retain(|(s, _)| slots[*s].withdrawn || slots[*s].state != AdminState::Ready);
        if release.lines.len() < before {
            release.held = true;
            self.next_step_at.insert(part, now + self.step_interval_ms);
        }
    }

    /// Lets the next step of all unfinished parts follow now.
    pub fn retry_now(&mut self, now: f64) {
        self.next_step_at.values_mut().for_each(|at| *at = now);
    }

    /// Tells the guard which lines of a part are sent with a serial; `has_receivers`: proxies are
    /// bound to the part.
    pub fn record_sent(
        &mut self,
        part: usize,
        slots: &[Slot],
        servers: &[usize],
        serial: u64,
        has_receivers: bool,
    ) {
        if self.is_off() {
            return;
        }
        let line = |s: &usize| Line {
            server: *s,
            weight: slots[*s].weight,
            open: !slots[*s].withdrawn && slots[*s].weight > 0.0,
        };
        let lines: Vec<Line> = servers.iter().map(line).collect();
        self.guard.record_sent(part, &lines, false, serial);
        if !has_receivers {
            self.guard.record_applied(part, serial);
        }
    }

    /// Logs the violations of a step, unless they are the same as last time.
    fn log_violations(&mut self, part: usize, step: &Step, slots: &[Slot], log: &mut Vec<String>) {
        let describe = |v: &Violation, suffix: &str| {
            let server = v
                .server
                .map_or(String::new(), |s| format!(" {}", slots[s].name));
            format!("{}{server}{suffix}", v.reason.code())
        };
        let violations = step.violations.iter().map(|v| (describe(v, ""), v));
        // Hooks and the status page receive this text.
        let suffix = " (nothing better is to be had)";
        let remaining = step.remaining.iter().map(|v| (describe(v, suffix), v));
        let all: Vec<(String, &Violation)> = violations.chain(remaining).collect();
        let texts: Vec<String> = all.iter().map(|(text, _)| text.clone()).collect();
        if texts.is_empty() {
            self.logged.remove(&part);
            self.view.waits.remove(&part);
            return;
        }
        if self.logged.get(&part) != Some(&texts) {
            let action = if self.enforces() { "held" } else { "told only" };
            for (text, v) in &all {
                let note = format!(
                    "guard: part {part}: {text}: {:.3}, borne {:.3}; {action}",
                    v.found, v.limit
                );
                self.view.last = Some(note.clone());
                log.push(note);
            }
        }
        self.view.waits.insert(part, texts.clone());
        self.logged.insert(part, texts);
    }

    /// The state of the guard for the status page.
    pub fn view(&self) -> GuardView {
        self.view.clone()
    }
}
