//! One controller: its planner, its servers and proxies by name, and what each proxy was sent.

use crate::accounts::{Counters, Outstanding, Sent};
use crate::delivery::{self, Deed, Member, Patience};
use crate::presence::{self, Presence};
use crate::reports::{ClassView, EstimateView, Reports, report_error};
use crate::rollout::{Channel, GuardView, Rate, Rollout};
use crate::servers::{Servers, Slot};
use crate::{
    AdminState, Input, Line, LineState, LoadReport, Message, Output, RetryPolicy, RosterEntry,
};
use crate::{ClassPolicy, ControllerSettings, Scope, Session};
use dahliapoint::rules::Planner;
use dahliapoint::{self as planner, Admission, Class, Orders, PlannerSettings, RosterUpdate};
use dahliapoint_intake::coverage::ReporterChange;
use dahliapoint_intake::trust::TrustChange;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A gone server is forgotten after so many times the warming time, if nothing refers to it.
const FORGET: f64 = 10.0;

/// A joined proxy.
struct Proxy {
    name: Arc<str>,
    zone: usize,
    session: Session,
    part: Option<usize>,
    /// Joined in this very input: an unbound one is told all that is withdrawn.
    fresh: bool,
    outstanding: Outstanding,
    member: Member,
    refusal: Option<String>,
}

/// See the crate's head for how it is called.
pub struct Controller {
    terms: ControllerSettings,
    patience: Patience,
    presence: Presence,
    planner: Planner,
    servers: Servers,
    /// Servers whose address changed under a line that stands.
    moved: Vec<usize>,
    proxies: BTreeMap<usize, Proxy>,
    by_session: HashMap<Session, usize>,
    by_name: HashMap<Arc<str>, usize>,
    free: BTreeSet<usize>,
    zones: HashMap<String, usize>,
    classes: HashMap<String, usize>,
    ways: Vec<ClassPolicy>,
    reports: Reports,
    now: f64,
    planner_alarm: f64,
    listed: bool,
    serial: u64,
    accounts: Counters,
    ward: Rollout,
    /// Something that was ordered did not leave in this moment.
    held: bool,
    between: Option<FaultInjector>,
    /// Parts whose tables stay, and until when.
    pins: BTreeMap<usize, f64>,
    /// Tries a second by server, in the newest round of reports alone.
    lately: BTreeMap<usize, f64>,
}

/// A line that is about to leave.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingLine {
    pub server: Arc<str>,
    pub weight: f64,
    pub open: bool,
    /// Its weight in the table that stands.
    pub current_weight: f64,
}

/// Asked before lines of a part leave; true: the table that stands is to stay. Withdrawals, and what the guard
/// does for servers that fall, pass all the same.
pub type Gate<'a> = &'a mut dyn FnMut(usize, &[PendingLine]) -> bool;

/// A hand between the planner and the guard. For tests that spoil orders on purpose: the guard's worth is what it
/// keeps then.
pub type FaultInjector = Box<dyn FnMut(f64, &mut Orders) + Send>;

/// A server as an operator wants to see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerView {
    pub name: Arc<str>,
    pub address: Arc<str>,
    pub zone: String,
    pub state: AdminState,
    pub listed_weight: f64,
    pub part: Option<usize>,
    pub weight: f64,
    #[serde(rename = "shut")]
    pub withdrawn: bool,
    /// How long ago it started, if the roster says.
    pub started_ago_ms: Option<f64>,
    /// How long ago a report last told of tries there; nothing: none has since this controller began.
    #[serde(rename = "met_ago_ms")]
    pub last_try_ago_ms: Option<f64>,
    pub estimate: Option<EstimateView>,
    pub by_class: Vec<ClassView>,
}

/// A proxy as an operator wants to see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProxyView {
    pub name: Arc<str>,
    pub zone: String,
    pub session: Session,
    pub part: Option<usize>,
    #[serde(rename = "unanswered")]
    pub unacknowledged: usize,
    #[serde(rename = "unanswered_lines")]
    pub unacknowledged_lines: f64,
    pub refusal: Option<String>,
    /// Its reports contradict those of all others; it reported once and does no more.
    pub contrary: bool,
    pub silent: bool,
}

/// All of it at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Overview {
    pub servers: Vec<ServerView>,
    pub proxies: Vec<ProxyView>,
    #[serde(rename = "ways")]
    pub policies: Vec<(String, ClassPolicy)>,
    #[serde(rename = "accounts")]
    pub counters: Counters,
    pub guard: GuardView,
}

fn opening(terms: &ControllerSettings) -> PlannerSettings {
    let limit = (terms.max_messages - terms.writes_per_join) / terms.writes_per_message;
    PlannerSettings {
        zones: terms.zones.len(),
        classes: terms
            .classes
            .iter()
            .map(|c| Class {
                soft_limit_ms: c.soft_limit_ms,
                earnings: c.earnings,
            })
            .collect(),
        admission: match terms.admission_control {
            true => Admission::Share,
            false => Admission::Unused,
        },
        max_queued_lines: terms.max_queued_lines,
        lines_per_ms: terms.lines_per_s / 1000.0,
        message_latency_ms: terms.message_latency_ms,
        message_overhead_lines: terms.message_overhead_lines,
        idle_timeout_ms: terms.idle_timeout_ms,
        initial_servers: terms.initial_servers,
        max_messages: if terms.max_messages > 0.0 { limit } else { 0.0 },
        message_window_ms: terms.message_window_ms,
        report_interval_ms: terms.report_interval_ms,
        report_lines_per_ms: terms.reports_per_s / 1000.0,
        cold_capacity_share: terms.cold_capacity_share,
        warm_up_ms: terms.warm_up_ms,
        overload_multiple: terms.overload_multiple,
        keep_unlisted_servers: terms.keep_unlisted_servers,
        default_retry_policy: match terms.default_retry_policy {
            RetryPolicy::Never => planner::RetryPolicy::Never,
            RetryPolicy::OnProof => planner::RetryPolicy::OnProof,
            RetryPolicy::OnFailure => planner::RetryPolicy::OnFailure,
        },
        may_probe: terms.may_probe,
        must_request_roster: false,
        sharded: false,
    }
}

impl Controller {
    /// A controller that has been told nothing yet. Times are milliseconds on a clock that never goes
    /// back; `seed` is where all chance comes from.
    pub fn new(now: f64, seed: u64, terms: ControllerSettings) -> Controller {
        let zones = terms.zones.iter().cloned().zip(0..).collect();
        let classes = terms.classes.iter().map(|c| c.name.clone()).zip(0..);
        let usual = ClassPolicy {
            admitted_share: 1.0,
            retry: terms.default_retry_policy,
        };
        Controller {
            planner: Planner::new(now, seed, &opening(&terms)),
            patience: Patience::of(&terms),
            presence: Presence::new(terms.heartbeat_interval_ms),
            servers: Servers::default(),
            moved: Vec::new(),
            proxies: BTreeMap::new(),
            by_session: HashMap::new(),
            by_name: HashMap::new(),
            free: BTreeSet::new(),
            zones,
            classes: classes.collect(),
            ways: vec![usual; terms.classes.len()],
            reports: Reports::new(
                now,
                terms.report_interval_ms,
                terms.zones.len(),
                terms.classes.len(),
            ),
            now,
            planner_alarm: now,
            listed: false,
            serial: 0,
            accounts: Counters::default(),
            ward: Rollout::of(&terms),
            held: false,
            between: None,
            pins: BTreeMap::new(),
            lately: BTreeMap::new(),
            terms,
        }
    }

    /// Puts a hand between planner and guard.
    pub fn inject_faults(&mut self, between: FaultInjector) {
        self.between = Some(between);
    }

    pub fn settings(&self) -> &ControllerSettings {
        &self.terms
    }

    /// When it is to be called again at the latest, if nothing comes in before.
    pub fn wake_at(&self) -> f64 {
        let members = self.proxies.values();
        let owed = members.filter_map(|p| p.member.alarm(&self.patience));
        let alarm = self.planner_alarm.min(self.presence.wake_at());
        owed.fold(alarm.min(self.ward.wake_at()), f64::min)
    }

    /// All that came at one moment, and what is to be done about it.
    pub fn handle(&mut self, now: f64, inputs: Vec<Input>) -> Vec<Output> {
        self.handle_gated(now, inputs, &mut |_, _| false)
    }

    /// The same, with a gate that is asked before lines leave. To be played again the same way, what it held is
    /// written down behind the moment ([`Input::Gated`]).
    pub fn handle_gated(&mut self, now: f64, inputs: Vec<Input>, gate: Gate) -> Vec<Output> {
        let mut out = Vec::new();
        self.now = now;
        let news = |i: &Input| {
            matches!(
                i,
                Input::RoundEnded | Input::Roster(_) | Input::RosterChanges(_)
            )
        };
        let learns = inputs.iter().any(news);
        for input in inputs {
            self.note(now, input, &mut out);
        }
        self.tend_presence(now, &mut out);
        if self.planner_alarm <= now {
            self.planner_alarm = f64::INFINITY;
        }
        let mut orders = self.planner.decide(now);
        if let Some(between) = &mut self.between {
            between(now, &mut orders);
        }
        self.guard_learns(now, learns);
        self.carry_out(now, orders, gate, &mut out);
        self.tend_members(now, &mut out);
        let unanswered = self
            .proxies
            .values()
            .filter_map(|p| p.outstanding.oldest_serial());
        let oldest = unanswered.min().unwrap_or(u64::MAX);
        let after = self.terms.warm_up_ms * FORGET;
        for s in self.servers.forget(now, after, oldest) {
            self.reports.forget_server(s);
        }
        self.accounts.waiting = self.proxies.values().map(|p| p.outstanding.lines()).sum();
        self.accounts.most_waiting = self.accounts.most_waiting.max(self.accounts.waiting);
        out
    }

    fn note(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Roster(entries) => self.roster(now, &entries, true, out),
            Input::RosterChanges(entries) => self.roster(now, &entries, false, out),
            Input::Joined {
                session,
                proxy,
                zone,
                visits_per_s: pace,
            } => {
                self.joined(session, &proxy, &zone, pace, out);
                self.presence.streamed(now, &proxy, true);
            }
            Input::Left(session) => self.leaves(now, session),
            Input::Heartbeat {
                session,
                proxy,
                zone,
                visits_per_s: pace,
            } => {
                let held = self.by_name.get(proxy.as_str());
                let held = held.map(|i| self.proxies[i].session);
                let on_stream = held.is_some_and(|s| !self.presence.has(s));
                let p = &mut self.presence;
                let over = p.beat(now, session, &proxy, &zone, pace, on_stream);
                if let Some(deed) = over {
                    self.present(deed, out);
                }
            }
            Input::Deregistered(session) => self.presence.says_goodbye(session),
            Input::Applied(session, serial) => self.applied(now, session, serial),
            Input::Refused(session, serial, why) => self.refused(now, session, serial, why, out),
            Input::Reported(proxy, report) => self.reported(now, &proxy, &report),
            Input::RoundEnded => self.end_round(now, out),
            Input::Pinned(parts) => {
                self.pins = parts.into_iter().map(|(p, ms)| (p, now + ms)).collect();
                self.ward.look_again(now);
            }
            Input::Gated(_) => {}
            Input::Probed {
                server,
                healthy: fine,
                took_ms,
            } => {
                if let Some(s) = self.servers.find(&server) {
                    self.servers.slots[s].asked = false;
                    self.planner.probe_answered(now, s, fine, took_ms);
                }
            }
        }
    }

    fn roster(&mut self, now: f64, entries: &[RosterEntry], whole: bool, out: &mut Vec<Output>) {
        let mut listed = Vec::with_capacity(entries.len());
        let mut placed = Vec::with_capacity(entries.len());
        for entry in entries {
            let Some(zone) = self.zones.get(&entry.zone).copied() else {
                let note = format!("roster: {}: no zone {:?}", entry.name, entry.zone);
                out.push(Output::Log(note));
                continue;
            };
            let (server, moves) = self.servers.place(entry, zone, now);
            placed.push(server);
            if moves {
                // The line is told anew with the next message, with the same weight.
                self.moved.push(server);
            }
            listed.push(planner::RosterEntry {
                server,
                zone,
                admin_state: match entry.state {
                    AdminState::Ready => dahliapoint::AdminState::Ready,
                    AdminState::Draining => dahliapoint::AdminState::Draining,
                    AdminState::Gone => dahliapoint::AdminState::Gone,
                },
                weight: entry.weight,
                started_ms: self.servers.slots[server].started.map(|(_, at)| at),
            });
        }
        if whole {
            self.servers.gone_but(&placed, now);
        }
        let extent = match (whole, self.listed) {
            (true, false) => RosterUpdate::Restored,
            (true, true) => RosterUpdate::Snapshot,
            (false, _) => RosterUpdate::Changes,
        };
        self.listed |= whole;
        self.planner.roster_changed(now, extent, &listed);
    }

    fn joined(
        &mut self,
        session: Session,
        proxy: &str,
        zone: &str,
        pace: Option<f64>,
        out: &mut Vec<Output>,
    ) {
        let Some(zone) = self.zones.get(zone).copied() else {
            let why = format!("no zone {zone:?}; the service has {:?}", self.terms.zones);
            self.close(session, why, out);
            return;
        };
        if let Some(older) = self.by_name.get(proxy).copied() {
            let older_session = self.proxies[&older].session;
            self.by_session.remove(&older_session);
            self.left(older);
            let why = "another stream of the same node holds now".to_string();
            self.close(older_session, why, out);
        }
        let next = self.proxies.len() + self.free.len();
        let index = self.free.pop_first().unwrap_or(next);
        let name: Arc<str> = proxy.into();
        self.by_session.insert(session, index);
        self.by_name.insert(name.clone(), index);
        let known = pace.filter(|p| p.is_finite() && *p >= 0.0);
        let pace = known.unwrap_or(self.terms.default_visits_per_s) / 1000.0;
        self.planner.proxy_joined(index, zone, pace);
        self.proxies.insert(
            index,
            Proxy {
                name,
                zone,
                session,
                part: None,
                fresh: true,
                outstanding: Outstanding::default(),
                member: Member::default(),
                refusal: None,
            },
        );
    }

    fn leaves(&mut self, now: f64, session: Session) {
        if let Some(p) = self.by_session.remove(&session) {
            let name = self.proxies.get(&p).map(|p| p.name.clone());
            self.left(p);
            if let Some(name) = name.filter(|_| !self.presence.has(session)) {
                self.presence.streamed(now, &name, false);
            }
        }
    }

    /// Goes through the rules of presence until none fires.
    fn tend_presence(&mut self, now: f64, out: &mut Vec<Output>) {
        while let Some(deed) = self.presence.next(now) {
            self.present(deed, out);
        }
    }

    fn present(&mut self, deed: presence::Deed, out: &mut Vec<Output>) {
        match deed {
            presence::Deed::Join {
                session,
                proxy,
                zone,
                pace,
            } => self.joined(session, &proxy, &zone, pace, out),
            presence::Deed::Leave(session, why) => {
                // Its stream may have taken the name over already.
                if let Some(index) = self.by_session.get(&session).copied() {
                    let note = format!("proxy {}: leaves, {why}", self.proxies[&index].name);
                    out.push(Output::Log(note));
                    self.by_session.remove(&session);
                    self.left(index);
                    self.close(session, why.into(), out);
                }
            }
            presence::Deed::Doubled(name) => {
                let why = "has a stream and beats beside it: two processes have one name";
                out.push(Output::Log(format!("proxy {name}: {why}")));
            }
            presence::Deed::Forget(_) => {}
        }
    }

    fn close(&mut self, session: Session, why: String, out: &mut Vec<Output>) {
        self.accounts.closed += 1;
        out.push(Output::Close(session, why));
    }

    fn left(&mut self, index: usize) {
        if let Some(proxy) = self.proxies.remove(&index) {
            self.by_name.remove(&proxy.name);
            self.planner.proxy_left(index);
            self.reports.forget_proxy(index);
            self.free.insert(index);
        }
    }

    /// Takes an answer: what it answers for, with the planner told; nothing if it is odd.
    fn answered(&mut self, now: f64, session: Session, serial: u64) -> Option<(usize, Vec<Sent>)> {
        let index = self.by_session.get(&session).copied();
        let Some((index, proxy)) = index.and_then(|i| Some((i, self.proxies.get_mut(&i)?))) else {
            self.accounts.unexpected_answers += 1;
            return None;
        };
        let sent = proxy.outstanding.answered(serial);
        if sent.is_empty() {
            self.accounts.unexpected_answers += 1;
            return None;
        }
        // The rest is as old as the oldest left; but its answers queue behind this one.
        let oldest = proxy.outstanding.oldest();
        proxy.member.unanswered_since = oldest.map(|_| now);
        for mark in sent.iter().filter_map(|m| m.mark) {
            self.planner.orders_applied(index, mark);
        }
        Some((index, sent))
    }

    fn applied(&mut self, now: f64, session: Session, serial: u64) {
        if let Some((index, sent)) = self.answered(now, session, serial)
            && let Some(proxy) = self.proxies.get_mut(&index)
        {
            proxy.member.applied(sent.iter().any(|m| m.whole));
            proxy.refusal = None;
        }
    }

    fn refused(
        &mut self,
        now: f64,
        session: Session,
        serial: u64,
        why: String,
        out: &mut Vec<Output>,
    ) {
        self.accounts.refused += 1;
        if let Some((index, sent)) = self.answered(now, session, serial)
            && let Some(proxy) = self.proxies.get_mut(&index)
        {
            let note = format!("proxy {}: refused its table: {why}", proxy.name);
            proxy.member.refused(now, sent.iter().any(|m| m.withdraws));
            proxy.refusal = Some(why);
            out.push(Output::Log(note));
        }
    }

    fn reported(&mut self, now: f64, proxy: &str, report: &LoadReport) {
        let Some(index) = self.by_name.get(proxy).copied() else {
            self.accounts.unknown_lines += report.lines.len() as u64;
            return;
        };
        if report_error(report).is_some() {
            self.accounts.refused_reports += 1;
            return;
        }
        let who = (index, self.proxies[&index].zone);
        self.reports.heard(now, index, report.window_ms);
        for m in &report.lines {
            let known = m.class < self.terms.classes.len();
            match self.servers.find(&m.server).filter(|_| known) {
                Some(s) => {
                    self.accounts.report_lines += 1;
                    if m.tries > 0.0 {
                        self.servers.slots[s].met_at = Some(now - report.ended_ago_ms);
                    }
                    let news = self.reports.met(now, who, s, report, m);
                    self.accounts.late_lines += u64::from(!news);
                }
                None => self.accounts.unknown_lines += 1,
            }
        }
        for (class, visits) in &report.arrivals {
            match self.classes.get(class) {
                Some(class) => self.reports.came(index, *class, *visits, report.window_ms),
                None => self.accounts.unknown_lines += 1,
            }
        }
    }

    fn end_round(&mut self, now: f64, out: &mut Vec<Output>) {
        let round = self.reports.end(now);
        self.accounts.vague += round.vague;
        self.lately.clear();
        for m in &round.met {
            *self.lately.entry(m.server).or_default() += m.tries * 1e3 / m.window_ms.max(1.0);
            self.planner.tries_reported(now, m);
        }
        for c in round.came {
            self.planner
                .visits_reported(c.proxy, c.class, c.visits, c.window_ms);
        }
        for heard in round.heard {
            let (p, word) = match heard {
                ReporterChange::Silent(p) => (p, "reports no more"),
                ReporterChange::Resumed(p) => (p, "reports again"),
            };
            if let Some(proxy) = self.proxies.get(&p) {
                out.push(Output::Log(format!("proxy {}: {word}", proxy.name)));
            }
        }
        for change in round.changes {
            let note = match change {
                TrustChange::StaleServer(s, stale) => {
                    let name = &self.servers.slots[s].name;
                    let word = if stale {
                        "does not explain"
                    } else {
                        "explains again"
                    };
                    format!("server {name}: its own word of its load {word} what proxies meet")
                }
                TrustChange::ContraryProxy(p, contrary) => {
                    let name = self.proxies.get(&p).map(|p| p.name.to_string());
                    let word = if contrary {
                        "contradicts"
                    } else {
                        "agrees again with"
                    };
                    format!("proxy {}: {word} all others", name.unwrap_or_default())
                }
            };
            out.push(Output::Log(note));
        }
    }

    fn carry_out(&mut self, now: f64, orders: Orders, gate: Gate, out: &mut Vec<Output>) {
        let mut touched = Touched::default();
        for s in std::mem::take(&mut self.moved) {
            touched.server(self.servers.slots[s].part, s);
        }
        let mut asked: BTreeSet<usize> = BTreeSet::new();
        for (part, s, weight) in &orders.lines {
            let slot = &mut self.servers.slots[*s];
            (slot.part, slot.wanted) = (Some(*part), *weight);
            asked.insert(*part);
        }
        for (part, class, share, tries) in orders.levels {
            let tries = match tries {
                planner::RetryPolicy::Never => RetryPolicy::Never,
                planner::RetryPolicy::OnProof => RetryPolicy::OnProof,
                planner::RetryPolicy::OnFailure => RetryPolicy::OnFailure,
            };
            let tries = self.ward.tries(tries, self.terms.classes[class].idempotent);
            self.ways[class] = ClassPolicy {
                admitted_share: share,
                retry: tries,
            };
            touched.ways.entry(part).or_default().push(class);
        }
        for (s, shut) in orders.withdrawals {
            self.servers.slots[s].wants_shut = shut;
        }
        let shut = self.ward.shutting(now, &mut self.servers.slots);
        asked.extend(shut.iter().filter_map(|s| self.servers.slots[*s].part));
        self.leave(now, &asked, &orders.lines, (&mut touched, gate), out);
        for s in shut {
            touched.server(self.servers.slots[s].part, s);
            touched.standing.push(s);
        }
        let mut bound = Vec::new();
        for (proxy, part) in orders.bindings {
            if let Some(p) = self.proxies.get_mut(&proxy) {
                p.part = Some(part);
                bound.push(proxy);
            }
        }
        touched.bound = bound;
        let serial = self.serial + 1;
        for (part, servers) in &touched.servers {
            let readers = self.proxies.values().any(|p| p.part == Some(*part));
            self.ward
                .sent(*part, &self.servers.slots, servers, serial, readers);
        }
        self.write_touched(now, touched, orders.mark, out);
        for s in orders.probes {
            let slot = &mut self.servers.slots[s];
            slot.asked = true;
            out.push(Output::Probe {
                server: slot.name.to_string(),
                address: slot.address.to_string(),
            });
        }
        if let Some(at) = orders.wake_at {
            self.planner_alarm = self.planner_alarm.min(at);
        }
        let named = orders.notes.into_iter().map(|n| self.named(&n));
        out.extend(named.map(Output::Log));
    }

    /// What the guard knows is brought up to date.
    fn guard_learns(&mut self, now: f64, learns: bool) {
        if self.ward.is_off() {
            return;
        }
        if learns {
            let rate = |s| {
                let e = self.reports.view(now, s)?;
                Some(Rate {
                    per_s: e.tries_per_s,
                    error: e.error_per_s,
                    failed_share: e.failed_share,
                    mean_ms: e.mean_ms,
                    newest: self.lately.get(&s).copied().unwrap_or(0.0),
                })
            };
            self.ward.learn(now, &self.servers.slots, rate);
        }
        let mut answered: BTreeMap<usize, u64> = BTreeMap::new();
        for p in self.proxies.values() {
            if let Some(part) = p.part {
                // Who refused holds something older, nobody knows what.
                let upto = match p.member.owed_table {
                    true => 0,
                    false => p.outstanding.oldest_serial().map_or(u64::MAX, |s| s - 1),
                };
                let all = answered.entry(part).or_insert(u64::MAX);
                *all = upto.min(*all);
            }
        }
        let parts: Vec<usize> = answered.keys().copied().collect();
        self.ward.settle(|part| answered[&part], parts.into_iter());
    }

    /// Lets leave of each part what may, and marks it as touched.
    fn leave(
        &mut self,
        now: f64,
        asked: &BTreeSet<usize>,
        ordered: &[(usize, usize, f64)],
        (touched, gate): (&mut Touched, Gate),
        out: &mut Vec<Output>,
    ) {
        let mut parts = self.ward.due();
        parts.extend(asked);
        let span = self.terms.message_window_ms;
        let by_message = self.terms.writes_per_message;
        let most = (self.terms.max_messages - self.terms.writes_per_join) / by_message;
        let mut channels: BTreeMap<usize, Channel> = BTreeMap::new();
        let mut waiting = 0.0;
        for p in self.proxies.values().filter(|_| !parts.is_empty()) {
            waiting += p.outstanding.lines();
            if let Some(part) = p.part {
                let c = channels.entry(part).or_default();
                c.readers += 1.0;
                let lately = p.outstanding.lately(now, span) as f64;
                let limited = self.terms.max_messages > 0.0;
                let written = if limited { lately / most.max(1.0) } else { 0.0 };
                c.written = c.written.max(written);
            }
        }
        self.held = false;
        for part in parts {
            let mut channel = channels.get(&part).copied().unwrap_or_default();
            channel.waiting = waiting;
            let slots = &mut self.servers.slots;
            let was_asked = asked.contains(&part);
            let mut leaves = self.ward.lines(now, part, slots, was_asked, &channel);
            let pinned = self.pins.get(&part).is_some_and(|until| now < *until);
            let stands = slots.iter().any(|s| s.part == Some(part) && s.weight > 0.0);
            if stands && !leaves.urgent && !leaves.lines.is_empty() {
                let leaving = |(s, weight): &(usize, f64)| PendingLine {
                    server: slots[*s].name.clone(),
                    weight: *weight,
                    open: !slots[*s].shut && *weight > 0.0,
                    current_weight: slots[*s].weight,
                };
                let asked: Vec<PendingLine> = leaves.lines.iter().map(leaving).collect();
                if pinned || gate(part, &asked) {
                    self.ward.stays(now, part, slots, &mut leaves);
                }
            }
            for (s, weight) in &leaves.lines {
                slots[*s].weight = *weight;
            }
            // What was ordered goes first, in the planner's order; what is no change is no line.
            let leaving = |s: &usize| leaves.lines.iter().any(|(l, _)| l == s);
            for (_, s, _) in ordered.iter().filter(|(p, s, _)| *p == part && leaving(s)) {
                touched.server(Some(part), *s);
            }
            leaves
                .lines
                .iter()
                .for_each(|(s, _)| touched.server(Some(part), *s));
            self.held |= leaves.held;
            out.extend(leaves.notes.into_iter().map(Output::Log));
        }
    }

    /// Puts names for the indices in the planner's notes: `server 3 ...`, `zone 1 ...`.
    fn named(&self, note: &str) -> String {
        let mut words = note.splitn(3, ' ');
        let (kind, index, rest) = (words.next(), words.next(), words.next());
        let index = index.and_then(|i| i.parse::<usize>().ok());
        let name = match (kind, index) {
            (Some("server"), Some(i)) => self.servers.slots.get(i).map(|s| s.name.to_string()),
            (Some("zone"), Some(i)) => self.terms.zones.get(i).cloned(),
            _ => None,
        };
        match (kind, name, rest) {
            (Some(kind), Some(name), Some(rest)) => format!("{kind} {name} {rest}"),
            _ => note.to_string(),
        }
    }

    /// One message for each proxy concerned; proxies of a part share theirs.
    fn write_touched(
        &mut self,
        now: f64,
        touched: Touched,
        mark: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let mut by_part: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let (mut standing, mut fresh) = (Vec::new(), Vec::new());
        for (i, p) in &mut self.proxies {
            let new = std::mem::take(&mut p.fresh);
            match p.part {
                Some(_) if touched.bound.contains(i) => {}
                Some(part) => by_part.entry(part).or_default().push(*i),
                None if new => fresh.push(*i),
                None => standing.push(*i),
            }
        }
        let serial = self.serial + 1;
        let mut writes: Vec<(Vec<usize>, Message)> = Vec::new();
        for (part, proxies) in by_part {
            let lines: Vec<Line> = touched.lines(part, &self.servers);
            let ways = touched.ways.get(&part).into_iter().flatten();
            let ways: Vec<_> = ways.map(|c| (*c, self.ways[*c])).collect();
            let scope = Scope::Changes(part);
            let message = Message {
                serial,
                scope,
                lines,
                policies: ways,
            };
            writes.push((proxies, message));
        }
        let mut wholes: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for proxy in &touched.bound {
            if let Some(part) = self.proxies[proxy].part {
                wholes.entry(part).or_default().push(*proxy);
            }
        }
        for (part, proxies) in wholes {
            writes.push((proxies, self.whole(serial, part)));
        }
        let shut = |servers: &[usize]| {
            let lines = servers.iter().map(|s| {
                let slot = &self.servers.slots[*s];
                slot.line_as(match slot.shut {
                    true => LineState::Withdrawn,
                    false => LineState::Removed,
                })
            });
            Message {
                serial,
                scope: Scope::Unbound,
                lines: lines.collect(),
                policies: Vec::new(),
            }
        };
        writes.push((standing, shut(&touched.standing)));
        writes.push((fresh, self.all_shut(serial)));
        for (proxies, message) in writes {
            self.write(now, &proxies, message, mark, out);
        }
    }

    fn whole(&self, serial: u64, part: usize) -> Message {
        let there = self.servers.known().filter(|(_, s)| s.part == Some(part));
        let lines = there.filter(|(_, s)| s.weight > 0.0).map(|(_, s)| s.line());
        let ways = self.ways.iter().copied().enumerate();
        Message {
            serial,
            scope: Scope::Snapshot(part),
            lines: lines.collect(),
            policies: ways.collect(),
        }
    }

    /// All that is withdrawn, for a proxy on tables of its own.
    fn all_shut(&self, serial: u64) -> Message {
        let shut = self.servers.known().filter(|(_, s)| s.shut);
        Message {
            serial,
            scope: Scope::Unbound,
            lines: shut.map(|(_, s)| s.line_as(LineState::Withdrawn)).collect(),
            policies: Vec::new(),
        }
    }

    fn write(
        &mut self,
        now: f64,
        proxies: &[usize],
        message: Message,
        mark: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let nothing = message.lines.is_empty() && message.policies.is_empty();
        if proxies.is_empty() || nothing && !matches!(message.scope, Scope::Snapshot(_)) {
            // The planner waits for an answer to what was held back: it is answered here.
            if let Some(mark) = mark.filter(|_| self.held) {
                proxies
                    .iter()
                    .for_each(|p| self.planner.orders_applied(*p, mark));
            }
            return;
        }
        self.serial = self.serial.max(message.serial);
        for line in &message.lines {
            if let Some(s) = self.servers.find(&line.server) {
                let named_in = &mut self.servers.slots[s].named_in;
                *named_in = (*named_in).max(message.serial);
            }
        }
        let lines = (message.lines.len() + message.policies.len()) as f64;
        let sent = Sent {
            serial: message.serial,
            mark,
            lines: lines + self.terms.message_overhead_lines,
            at: now,
            whole: matches!(message.scope, Scope::Snapshot(_)),
            withdraws: message.lines.iter().any(|l| l.state != LineState::Open),
        };
        let mut sessions = Vec::with_capacity(proxies.len());
        for i in proxies {
            let Some(proxy) = self.proxies.get_mut(i) else {
                continue;
            };
            proxy.outstanding.wrote(sent, self.terms.message_window_ms);
            proxy.member.unanswered_since.get_or_insert(now);
            sessions.push(proxy.session);
            self.accounts.messages += 1;
            self.accounts.lines += sent.lines as u64;
            let lately = proxy.outstanding.lately(now, self.terms.message_window_ms);
            self.accounts.most_messages = self.accounts.most_messages.max(lately);
        }
        out.push(Output::Write(sessions, Arc::new(message)));
    }

    /// Goes through the membership rules for each proxy until none fires.
    fn tend_members(&mut self, now: f64, out: &mut Vec<Output>) {
        let due = |p: &Proxy| p.member != Member::default();
        let concerned: Vec<usize> = self
            .proxies
            .iter()
            .filter(|(_, p)| due(p))
            .map(|(i, _)| *i)
            .collect();
        if concerned.is_empty() {
            return;
        }
        let mut waiting: f64 = self.proxies.values().map(|p| p.outstanding.lines()).sum();
        for i in concerned {
            while let Some(proxy) = self.proxies.get_mut(&i) {
                let Some(deed) = delivery::next(&mut proxy.member, now, waiting, &self.patience)
                else {
                    break;
                };
                let (part, session) = (proxy.part, proxy.session);
                let serial = self.serial + 1;
                match (deed, part) {
                    (Deed::GiveUp, _) => {
                        let name = proxy.name.clone();
                        self.by_session.remove(&session);
                        self.left(i);
                        self.presence.closed(now, session);
                        out.push(Output::Log(format!("proxy {name}: answers nothing")));
                        self.close(session, "no answer to what was sent".into(), out);
                    }
                    (Deed::WithdrawAgain, Some(part)) => {
                        let mut message = self.whole(serial, part);
                        message.scope = Scope::Changes(part);
                        message.policies.clear();
                        let shut = self.servers.known();
                        let shut = shut.filter(|(_, s)| s.part == Some(part) && s.shut);
                        message.lines = shut.map(|(_, s)| s.line()).collect();
                        self.write(now, &[i], message, None, out);
                    }
                    (Deed::OfferAgain, Some(part)) => {
                        let message = self.whole(serial, part);
                        waiting += message.lines.len() as f64;
                        self.write(now, &[i], message, None, out);
                    }
                    (Deed::WithdrawAgain | Deed::OfferAgain, None) => {
                        let message = self.all_shut(serial);
                        self.write(now, &[i], message, None, out);
                    }
                }
            }
        }
    }

    /// The servers as they stand, without what reports say of them.
    pub fn servers(&self) -> Vec<ServerView> {
        let servers = self.servers.known();
        servers.map(|(_, s)| self.view_of(s)).collect()
    }

    fn view_of(&self, s: &Slot) -> ServerView {
        ServerView {
            name: s.name.clone(),
            address: s.address.clone(),
            zone: self.terms.zones[s.zone].clone(),
            state: s.state,
            listed_weight: s.listed_weight,
            part: s.part,
            weight: s.weight,
            withdrawn: s.shut,
            started_ago_ms: s.started.map(|(_, at)| self.now - at),
            last_try_ago_ms: s.met_at.map(|at| (self.now - at).max(0.0)),
            estimate: None,
            by_class: Vec::new(),
        }
    }

    /// What is let in of each class.
    pub fn admission_levels(&self) -> Vec<(String, f64)> {
        let names = self.terms.classes.iter().map(|c| c.name.clone());
        names
            .zip(self.ways.iter().map(|w| w.admitted_share))
            .collect()
    }

    /// The present state, for people.
    pub fn overview(&self) -> Overview {
        let servers = self.servers.known().map(|(i, s)| ServerView {
            estimate: self.reports.view(self.now, i),
            by_class: self.reports.class_views(self.now, i),
            ..self.view_of(s)
        });
        let proxies = self.proxies.iter().map(|(i, p)| ProxyView {
            contrary: self.reports.is_contrary(*i),
            silent: self.reports.is_silent(*i),
            name: p.name.clone(),
            zone: self.terms.zones[p.zone].clone(),
            session: p.session,
            part: p.part,
            unacknowledged: p.outstanding.count(),
            unacknowledged_lines: p.outstanding.lines(),
            refusal: p.refusal.clone(),
        });
        let names = self.terms.classes.iter().map(|c| c.name.clone());
        Overview {
            servers: servers.collect(),
            proxies: proxies.collect(),
            policies: names.zip(self.ways.iter().copied()).collect(),
            counters: self.accounts,
            guard: self.ward.view(),
        }
    }
}

/// What one set of orders changes.
#[derive(Default)]
struct Touched {
    servers: BTreeMap<usize, Vec<usize>>,
    ways: BTreeMap<usize, Vec<usize>>,
    standing: Vec<usize>,
    bound: Vec<usize>,
}

impl Touched {
    fn server(&mut self, part: Option<usize>, server: usize) {
        if let Some(part) = part {
            let there = self.servers.entry(part).or_default();
            if !there.contains(&server) {
                there.push(server);
            }
        }
    }

    fn lines(&self, part: usize, servers: &Servers) -> Vec<Line> {
        let there = self.servers.get(&part).into_iter().flatten();
        there.map(|s| servers.slots[*s].line()).collect()
    }
}
