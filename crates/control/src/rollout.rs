//! The guard's place in the controller: after the planner and before any front. What the planner orders is what
//! is wanted; what stands in the slots is what has left. The ward brings the second to the first by steps that
//! the guard finds safe, and says what it holds back.
//!
//! How it is called, once a moment: [`Rollout::learn`] after each round of reports or roster, [`Rollout::settle`] with
//! what is answered, [`Rollout::shutting`] for withdrawals, then [`Rollout::lines`] for each part; [`Rollout::wake_at`]
//! says when it wants another moment. Its own rules, in their order: withdrawals pass at once; a withdrawal that
//! the planner owes for too long is made; a line for who is not ready is not opened; what can wait waits while
//! the channel is full; the rest leaves by the guard's steps, no sooner after each other than its pace.

use crate::servers::Slot;
use crate::{AdminState, ControllerSettings, RetryPolicy};
use dahliapoint_guard::capacity::{CapacityEstimate, ServerLoad};
use dahliapoint_guard::steps::Step;
use dahliapoint_guard::{self as guard, Guard, Line, Reason, Server, Violation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The planner withdraws by itself well within this share of the grace.
const LATE: f64 = 0.25;
/// Lines that can wait do so while more than this share is taken of what may wait, or of the messages that a
/// proxy may be written: the planner's own pacing ends below.
const ROOM: f64 = 0.9;
/// Steps that no order of the planner's asks for follow each other no sooner than this share of the warming.
const PACE: f64 = 0.1;

/// Buckets of a part's load, together one warming time.
const LOADS: usize = 8;
/// What a load has risen by over so many rounds, it rises by again.
const RISES: usize = 5;

/// What is done about dangerous tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardMode {
    Off,
    /// They leave, and it is told.
    ReportOnly,
    /// They do not leave.
    #[default]
    Enforce,
}

/// What reports say of a server, visits a second: over some rounds with its error, and in the newest one alone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    pub per_s: f64,
    pub error: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
    pub newest: f64,
}

/// For people.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GuardView {
    pub mode: String,
    pub judged: u64,
    /// Tables with a danger, by the reason's code.
    pub dangerous: BTreeMap<&'static str, u64>,
    /// Tables that left otherwise than wanted, and steps of the guard's own after them.
    pub held: u64,
    pub steps: u64,
    /// Withdrawals that the planner owed.
    pub withdrawn: u64,
    /// By part, why the wanted table does not stand yet.
    pub waits: BTreeMap<usize, Vec<String>>,
    pub last: Option<String>,
    /// The most that a warm server is known to have carried, visits a second for a listed weight of 1.
    pub best: f64,
}

/// How full the way to a part's proxies is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Channel {
    /// Lines under way to anybody.
    pub waiting: f64,
    /// Proxies that a line of the part goes to.
    pub readers: f64,
    /// Of the messages that a proxy may be written within the span, the share that the busiest was.
    pub written: f64,
}

/// The load of a part, kept for as long as a server takes to warm: visits that hang at slow servers are no
/// longer counted as tries, and come back all at once. One that rises is taken as it will be when the next table is
/// everywhere: reports are as old as their rounds, and messages are on their way.
#[derive(Clone, Debug, Default)]
struct Load {
    ring: [(u64, f64); LOADS],
    rounds: VecDeque<f64>,
}

impl Load {
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
        // Of a first round nothing is known to rise.
        let low = self.rounds.iter().copied().fold(f64::INFINITY, f64::min);
        peak.max(per_s + (per_s - low))
    }
}

/// See the module's head.
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
    /// Since when a server stands open that is not ready.
    owed: BTreeMap<usize, f64>,
    /// Parts whose wanted table has not left, and when the next own step may.
    unfinished: BTreeMap<usize, f64>,
    /// Parts with servers that have just started: looked at after each round.
    cold: BTreeSet<usize>,
    told: BTreeMap<usize, Vec<String>>,
    view: GuardView,
}

/// What may be done about a part now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Leaves {
    /// New weights by server: 0 takes the line away.
    pub lines: Vec<(usize, f64)>,
    /// Something that is wanted does not leave now.
    pub held: bool,
    /// A cold server falls by what stands: no pin holds this back.
    pub urgent: bool,
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

    /// When it wants another moment.
    pub fn wake_at(&self) -> f64 {
        let owed = self.owed.values().map(|since| since + self.late_ms);
        let steps = self.unfinished.values().copied();
        owed.chain(steps).fold(f64::INFINITY, f64::min)
    }

    /// A server that is merely dropped from the list may stay, where the service says so.
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

    fn age(&self, now: f64, slot: &Slot) -> f64 {
        let ago = slot.started.map_or(f64::INFINITY, |(_, at)| now - at);
        ago / self.warm_after_ms.max(1.0)
    }

    /// Takes in what the roster and a round of reports say of the servers; `rate` gives a server's visits a
    /// second, their error, failed share and mean time.
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

    /// All that proxies of a part were sent up to this serial is answered, if there is any doubt about it.
    pub fn settle(&mut self, answered: impl Fn(usize) -> u64, parts: impl Iterator<Item = usize>) {
        for part in parts {
            if self.guard.is_mixed(part) {
                self.guard.record_applied(part, answered(part));
            }
        }
    }

    /// Brings what stands shut to what is wanted: withdrawals at once, those that are owed for too long too;
    /// nobody who is not ready is opened again. Tells which servers changed.
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

    /// Tries that may repeat an effect are not ordered for a class that must not repeat.
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

    /// Parts to look at beside those that the planner has touched.
    pub fn due(&mut self) -> BTreeSet<usize> {
        let mut due = std::mem::take(&mut self.cold);
        due.extend(self.unfinished.keys());
        due
    }

    /// What may leave of a part now. `asked`: the planner changed it at this moment.
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
        // A shut line is picked by nobody: it has the weight that is wanted of it.
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
        // What the part's table has that this step has not goes now; what comes or grows may have to wait.
        let changes = self.guard.changes(part, &step);
        let (down, up): (Vec<_>, Vec<_>) = changes.into_iter().partition(|(_, w)| *w == 0.0);
        let cost = channel.readers * up.len() as f64;
        let full = channel.waiting + cost > self.most_waiting * ROOM || channel.written > ROOM;
        // A first table is not held back: nobody has one yet.
        let waits = !up.is_empty() || shut().next().is_some();
        let full = full && channel.readers > 0.0 && self.guard.has_table(part) && waits;
        let early = !asked && self.unfinished.get(&part).is_some_and(|at| now < *at);
        let urgent = step
            .violations
            .iter()
            .any(|d| d.reason < Reason::Overweight);
        // Without anything of its own to say, the guard adds nothing to what the planner wants.
        let quiet = full || (early && !(urgent && step.remaining.is_empty()));
        // Where nothing stands yet of what would be left, going down alone would empty it.
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

    /// The table that stands is to stay: of what may leave only what concerns servers that are not ready does.
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

    /// Whatever waits is looked at again now.
    pub fn look_again(&mut self, now: f64) {
        self.unfinished.values_mut().for_each(|at| *at = now);
    }

    /// What leaves of a part, with the lines as they stand then; `readers` are those who will hold it.
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

    /// Says what is dangerous once, and again when it is something else.
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

    pub fn view(&self) -> GuardView {
        self.view.clone()
    }
}
