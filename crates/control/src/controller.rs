//! The controller: the planner, the servers and proxies by name, and what each proxy was sent.

use crate::delivery::{self, DeliveryLimits, DeliveryState};
use crate::outstanding::{Counters, Outstanding, SentMessage};
use crate::presence::{self, Presence};
use crate::reports::{ClassView, EstimateView, Reports, report_error};
use crate::rollout::{ChannelLoad, GuardView, Rollout, ServerRate};
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

/// The index of a gone server is released after this many warm-up times, if nothing refers to it.
const FORGET_WARM_UPS: f64 = 10.0;

/// A joined proxy.
struct Proxy {
    name: Arc<str>,
    zone: usize,
    session: Session,
    part: Option<usize>,
    /// It joined in this moment: while it is not bound it is sent everything that is withdrawn.
    just_joined: bool,
    outstanding: Outstanding,
    delivery: DeliveryState,
    /// Why it last refused a message; none once it applied one again.
    refusal: Option<String>,
}

/// See the crate documentation for how it is called.
pub struct Controller {
    settings: ControllerSettings,
    delivery_limits: DeliveryLimits,
    presence: Presence,
    planner: Planner,
    servers: Servers,
    /// Servers whose address changed while their line is in a table.
    readdressed: Vec<usize>,
    proxies: BTreeMap<usize, Proxy>,
    by_session: HashMap<Session, usize>,
    by_name: HashMap<Arc<str>, usize>,
    /// Indices of proxies that are free for reuse.
    free: BTreeSet<usize>,
    zones: HashMap<String, usize>,
    classes: HashMap<String, usize>,
    policies: Vec<ClassPolicy>,
    reports: Reports,
    now: f64,
    /// When the planner wants its next call.
    planner_wakeup: f64,
    /// A whole roster has arrived.
    has_roster: bool,
    /// Serial of the last message.
    serial: u64,
    counters: Counters,
    rollout: Rollout,
    /// Something that the planner ordered was held back in this moment.
    orders_held: bool,
    fault_injector: Option<FaultInjector>,
    /// Parts whose tables are pinned, and until when.
    pins: BTreeMap<usize, f64>,
    /// Tries a second by server, in the newest round of reports.
    latest_tries_per_s: BTreeMap<usize, f64>,
}

/// A line that is about to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingLine {
    pub server: Arc<str>,
    pub weight: f64,
    pub open: bool,
    /// Its weight in the table as last sent.
    pub current_weight: f64,
}

/// Called before lines of a part are sent; returns true to keep the present table instead.
/// Withdrawals, and what the guard does for cold servers that are overloaded, are sent all the
/// same.
pub type Gate<'a> = &'a mut dyn FnMut(usize, &[PendingLine]) -> bool;

/// Changes the planner's orders before the guard sees them, for tests of the guard.
pub type FaultInjector = Box<dyn FnMut(f64, &mut Orders) + Send>;

/// A server on the status page.
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
    /// Time since its last start, if the roster gives it.
    pub started_ago_ms: Option<f64>,
    /// Time since reports last showed tries there; none: not since this controller started.
    #[serde(rename = "met_ago_ms")]
    pub last_try_ago_ms: Option<f64>,
    pub estimate: Option<EstimateView>,
    pub by_class: Vec<ClassView>,
}

/// A proxy on the status page.
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
    /// Its reports contradict those of all others.
    pub contrary: bool,
    /// It has reported before and reports no more.
    pub silent: bool,
}

/// The state of the controller for the status page.
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

/// Settings of the planner. A front makes up to `writes_per_message` writes of one message, so the
/// planner may send only as many messages as fit into `max_messages` after a join.
fn planner_settings(settings: &ControllerSettings) -> PlannerSettings {
    let max_messages =
        (settings.max_messages - settings.writes_per_join) / settings.writes_per_message;
    PlannerSettings {
        zones: settings.zones.len(),
        classes: settings
            .classes
            .iter()
            .map(|c| Class {
                soft_limit_ms: c.soft_limit_ms,
                earnings: c.earnings,
            })
            .collect(),
        admission: match settings.admission_control {
            true => Admission::Share,
            false => Admission::Unused,
        },
        max_queued_lines: settings.max_queued_lines,
        lines_per_ms: settings.lines_per_s / 1000.0,
        message_latency_ms: settings.message_latency_ms,
        message_overhead_lines: settings.message_overhead_lines,
        idle_timeout_ms: settings.idle_timeout_ms,
        initial_servers: settings.initial_servers,
        max_messages: if settings.max_messages > 0.0 {
            max_messages
        } else {
            0.0
        },
        message_window_ms: settings.message_window_ms,
        drain_grace_ms: settings.drain_grace_ms,
        report_interval_ms: settings.report_interval_ms,
        report_lines_per_ms: settings.report_lines_per_s / 1000.0,
        cold_capacity_share: settings.cold_capacity_share,
        warm_up_ms: settings.warm_up_ms,
        overload_multiple: settings.overload_multiple,
        failures_until_avoided: 0,
        keep_unlisted_servers: settings.keep_unlisted_servers,
        default_retry_policy: match settings.default_retry_policy {
            RetryPolicy::Never => planner::RetryPolicy::Never,
            RetryPolicy::OnProof => planner::RetryPolicy::OnProof,
            RetryPolicy::OnFailure => planner::RetryPolicy::OnFailure,
        },
        may_probe: settings.may_probe,
        must_request_roster: false,
        sharded: false,
    }
}

impl Controller {
    /// Creates a controller without roster or proxies. All times are milliseconds on one monotonic
    /// clock; `seed` is the only source of randomness.
    pub fn new(now: f64, seed: u64, settings: ControllerSettings) -> Controller {
        let zones = settings.zones.iter().cloned().zip(0..).collect();
        let classes = settings.classes.iter().map(|c| c.name.clone()).zip(0..);
        let default_policy = ClassPolicy {
            admitted_share: 1.0,
            retry: settings.default_retry_policy,
        };
        Controller {
            planner: Planner::new(now, seed, &planner_settings(&settings)),
            delivery_limits: DeliveryLimits::new(&settings),
            presence: Presence::new(settings.heartbeat_interval_ms),
            servers: Servers::default(),
            readdressed: Vec::new(),
            proxies: BTreeMap::new(),
            by_session: HashMap::new(),
            by_name: HashMap::new(),
            free: BTreeSet::new(),
            zones,
            classes: classes.collect(),
            policies: vec![default_policy; settings.classes.len()],
            reports: Reports::new(
                now,
                settings.report_interval_ms,
                settings.zones.len(),
                settings.classes.len(),
            ),
            now,
            planner_wakeup: now,
            has_roster: false,
            serial: 0,
            counters: Counters::default(),
            rollout: Rollout::new(&settings),
            orders_held: false,
            fault_injector: None,
            pins: BTreeMap::new(),
            latest_tries_per_s: BTreeMap::new(),
            settings,
        }
    }

    /// Sets a function that changes the planner's orders.
    pub fn inject_faults(&mut self, fault_injector: FaultInjector) {
        self.fault_injector = Some(fault_injector);
    }

    /// The settings that the controller was created with.
    pub fn settings(&self) -> &ControllerSettings {
        &self.settings
    }

    /// The latest time of the next call if no input arrives before.
    pub fn wake_at(&self) -> f64 {
        let proxies = self.proxies.values();
        let deliveries = proxies.filter_map(|p| p.delivery.next_deadline(&self.delivery_limits));
        let wakeup = self.planner_wakeup.min(self.presence.wake_at());
        deliveries.fold(wakeup.min(self.rollout.wake_at()), f64::min)
    }

    /// Handles all inputs of one moment and returns the actions to take.
    pub fn handle(&mut self, now: f64, inputs: Vec<Input>) -> Vec<Output> {
        self.handle_gated(now, inputs, &mut |_, _| false)
    }

    /// Like [`Controller::handle`], with a gate that is asked before lines are sent. For a replay,
    /// the parts that it held back are to be recorded after the moment ([`Input::Gated`]).
    pub fn handle_gated(&mut self, now: f64, inputs: Vec<Input>, gate: Gate) -> Vec<Output> {
        let mut out = Vec::new();
        self.now = now;
        let updates_guard = |i: &Input| {
            matches!(
                i,
                Input::RoundEnded | Input::Roster(_) | Input::RosterChanges(_)
            )
        };
        let guard_inputs = inputs.iter().any(updates_guard);
        for input in inputs {
            self.handle_input(now, input, &mut out);
        }
        self.apply_presence_rules(now, &mut out);
        if self.planner_wakeup <= now {
            self.planner_wakeup = f64::INFINITY;
        }
        let mut orders = self.planner.decide(now);
        if let Some(fault_injector) = &mut self.fault_injector {
            fault_injector(now, &mut orders);
        }
        self.update_guard(now, guard_inputs);
        self.execute(now, orders, gate, &mut out);
        self.apply_delivery_rules(now, &mut out);
        let unacknowledged = self
            .proxies
            .values()
            .filter_map(|p| p.outstanding.oldest_serial());
        let oldest_serial = unacknowledged.min().unwrap_or(u64::MAX);
        let after_ms = self.settings.warm_up_ms * FORGET_WARM_UPS;
        for s in self.servers.release_unused(now, after_ms, oldest_serial) {
            self.reports.forget_server(s);
        }
        self.counters.waiting = self.proxies.values().map(|p| p.outstanding.lines()).sum();
        self.counters.max_waiting = self.counters.max_waiting.max(self.counters.waiting);
        out
    }

    /// Handles one input.
    fn handle_input(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Roster(entries) => self.update_roster(now, &entries, true, out),
            Input::RosterChanges(entries) => self.update_roster(now, &entries, false, out),
            Input::Joined {
                session,
                proxy,
                zone,
                visits_per_s,
            } => {
                self.add_proxy(session, &proxy, &zone, visits_per_s, out);
                self.presence.stream_changed(now, &proxy, true);
            }
            Input::Left(session) => self.stream_ended(now, session),
            Input::Heartbeat {
                session,
                proxy,
                zone,
                visits_per_s,
            } => {
                let joined = self.by_name.get(proxy.as_str());
                let joined = joined.map(|i| self.proxies[i].session);
                let on_stream = joined.is_some_and(|s| !self.presence.contains(s));
                let presence = &mut self.presence;
                let superseded =
                    presence.heartbeat(now, session, &proxy, &zone, visits_per_s, on_stream);
                if let Some(action) = superseded {
                    self.apply_presence_action(action, out);
                }
            }
            Input::Deregistered(session) => self.presence.deregister(session),
            Input::Applied(session, serial) => self.applied(now, session, serial),
            Input::Refused(session, serial, reason) => {
                self.refused(now, session, serial, reason, out);
            }
            Input::Reported(proxy, report) => self.reported(now, &proxy, &report),
            Input::RoundEnded => self.end_round(now, out),
            Input::Pinned(parts) => {
                self.pins = parts.into_iter().map(|(p, ms)| (p, now + ms)).collect();
                self.rollout.retry_now(now);
            }
            Input::Gated(_) => {}
            Input::Probed {
                server,
                healthy,
                took_ms,
            } => {
                if let Some(s) = self.servers.find(&server) {
                    self.servers.slots[s].probing = false;
                    self.planner.probe_answered(now, s, healthy, took_ms);
                }
            }
        }
    }

    /// Takes over a roster, or only its changed entries, and passes it to the planner.
    fn update_roster(
        &mut self,
        now: f64,
        entries: &[RosterEntry],
        whole: bool,
        out: &mut Vec<Output>,
    ) {
        let mut listed = Vec::with_capacity(entries.len());
        let mut listed_servers = Vec::with_capacity(entries.len());
        for entry in entries {
            let Some(zone) = self.zones.get(&entry.zone).copied() else {
                let line = format!("roster: {}: no zone {:?}", entry.name, entry.zone);
                out.push(Output::Log(line));
                continue;
            };
            let (server, address_changed) = self.servers.upsert(entry, zone, now);
            listed_servers.push(server);
            if address_changed {
                // The next message repeats the line with the new address and the same weight.
                self.readdressed.push(server);
            }
            listed.push(planner::RosterEntry {
                server,
                zone,
                admin_state: match entry.state {
                    AdminState::Ready => planner::AdminState::Ready,
                    AdminState::Draining => planner::AdminState::Draining,
                    AdminState::Gone => planner::AdminState::Gone,
                },
                weight: entry.weight,
                started_ms: self.servers.slots[server].started.map(|(_, at)| at),
            });
        }
        if whole {
            self.servers.mark_unlisted_gone(&listed_servers, now);
        }
        let update = match (whole, self.has_roster) {
            (true, false) => RosterUpdate::Restored,
            (true, true) => RosterUpdate::Snapshot,
            (false, _) => RosterUpdate::Changes,
        };
        self.has_roster |= whole;
        self.planner.roster_changed(now, update, &listed);
    }

    /// Adds a proxy that has joined; an older session of the same name is closed.
    fn add_proxy(
        &mut self,
        session: Session,
        proxy: &str,
        zone: &str,
        visits_per_s: Option<f64>,
        out: &mut Vec<Output>,
    ) {
        let Some(zone) = self.zones.get(zone).copied() else {
            let reason = format!(
                "no zone {zone:?}; the service has {:?}",
                self.settings.zones
            );
            self.close(session, reason, out);
            return;
        };
        if let Some(older) = self.by_name.get(proxy).copied() {
            let older_session = self.proxies[&older].session;
            self.by_session.remove(&older_session);
            self.remove_proxy(older);
            let reason = "another stream of the same node holds now".to_string();
            self.close(older_session, reason, out);
        }
        let new_index = self.proxies.len() + self.free.len();
        let index = self.free.pop_first().unwrap_or(new_index);
        let name: Arc<str> = proxy.into();
        self.by_session.insert(session, index);
        self.by_name.insert(name.clone(), index);
        let declared = visits_per_s.filter(|v| v.is_finite() && *v >= 0.0);
        let visits_per_ms = declared.unwrap_or(self.settings.default_visits_per_s) / 1000.0;
        self.planner.proxy_joined(index, zone, visits_per_ms);
        self.proxies.insert(
            index,
            Proxy {
                name,
                zone,
                session,
                part: None,
                just_joined: true,
                outstanding: Outstanding::default(),
                delivery: DeliveryState::default(),
                refusal: None,
            },
        );
    }

    /// Removes the proxy of a session that ended.
    fn stream_ended(&mut self, now: f64, session: Session) {
        if let Some(p) = self.by_session.remove(&session) {
            let name = self.proxies.get(&p).map(|p| p.name.clone());
            self.remove_proxy(p);
            if let Some(name) = name.filter(|_| !self.presence.contains(session)) {
                self.presence.stream_changed(now, &name, false);
            }
        }
    }

    /// Applies the presence rules until none fires.
    fn apply_presence_rules(&mut self, now: f64, out: &mut Vec<Output>) {
        while let Some(action) = self.presence.next_action(now) {
            self.apply_presence_action(action, out);
        }
    }

    /// Carries out one action of the presence rules.
    fn apply_presence_action(&mut self, action: presence::Action, out: &mut Vec<Output>) {
        match action {
            presence::Action::Join {
                session,
                proxy,
                zone,
                visits_per_s,
            } => self.add_proxy(session, &proxy, &zone, visits_per_s, out),
            presence::Action::Leave(session, reason) => {
                // A stream may have taken over the name already.
                if let Some(index) = self.by_session.get(&session).copied() {
                    let line = format!("proxy {}: leaves, {reason}", self.proxies[&index].name);
                    out.push(Output::Log(line));
                    self.by_session.remove(&session);
                    self.remove_proxy(index);
                    self.close(session, reason.into(), out);
                }
            }
            presence::Action::DuplicateName(name) => {
                let problem = "has a stream and beats beside it: two processes have one name";
                out.push(Output::Log(format!("proxy {name}: {problem}")));
            }
            presence::Action::Forget(_) => {}
        }
    }

    /// Closes a stream.
    fn close(&mut self, session: Session, reason: String, out: &mut Vec<Output>) {
        self.counters.closed += 1;
        out.push(Output::Close(session, reason));
    }

    /// Forgets a proxy and frees its index.
    fn remove_proxy(&mut self, index: usize) {
        if let Some(proxy) = self.proxies.remove(&index) {
            self.by_name.remove(&proxy.name);
            self.planner.proxy_left(index);
            self.reports.forget_proxy(index);
            self.free.insert(index);
        }
    }

    /// Matches an answer with the messages it answers and tells the planner. Returns the proxy and
    /// these messages; none if the answer matches nothing.
    fn match_answer(
        &mut self,
        now: f64,
        session: Session,
        serial: u64,
    ) -> Option<(usize, Vec<SentMessage>)> {
        let index = self.by_session.get(&session).copied();
        let Some((index, proxy)) = index.and_then(|i| Some((i, self.proxies.get_mut(&i)?))) else {
            self.counters.unexpected_answers += 1;
            return None;
        };
        let sent = proxy.outstanding.acknowledge(serial);
        if sent.is_empty() {
            self.counters.unexpected_answers += 1;
            return None;
        }
        // The remaining messages were sent earlier, but their answers queue behind this one: the
        // timeout restarts.
        let oldest = proxy.outstanding.oldest_sent_at();
        proxy.delivery.unacknowledged_since = oldest.map(|_| now);
        for mark in sent.iter().filter_map(|m| m.mark) {
            self.planner.orders_applied(index, mark);
        }
        Some((index, sent))
    }

    /// A proxy applied a message and all before it.
    fn applied(&mut self, now: f64, session: Session, serial: u64) {
        if let Some((index, sent)) = self.match_answer(now, session, serial)
            && let Some(proxy) = self.proxies.get_mut(&index)
        {
            proxy.delivery.applied(sent.iter().any(|m| m.is_snapshot));
            proxy.refusal = None;
        }
    }

    /// A proxy refused a message.
    fn refused(
        &mut self,
        now: f64,
        session: Session,
        serial: u64,
        reason: String,
        out: &mut Vec<Output>,
    ) {
        self.counters.refused += 1;
        if let Some((index, sent)) = self.match_answer(now, session, serial)
            && let Some(proxy) = self.proxies.get_mut(&index)
        {
            let line = format!("proxy {}: refused its table: {reason}", proxy.name);
            proxy
                .delivery
                .refused(now, sent.iter().any(|m| m.withdraws));
            proxy.refusal = Some(reason);
            out.push(Output::Log(line));
        }
    }

    /// Takes in a load report.
    fn reported(&mut self, now: f64, proxy: &str, report: &LoadReport) {
        let Some(index) = self.by_name.get(proxy).copied() else {
            self.counters.unknown_lines += report.lines.len() as u64;
            return;
        };
        if report_error(report).is_some() {
            self.counters.refused_reports += 1;
            return;
        }
        let reporter = (index, self.proxies[&index].zone);
        self.reports.report_received(now, index, report.window_ms);
        for line in &report.lines {
            let class_known = line.class < self.settings.classes.len();
            match self.servers.find(&line.server).filter(|_| class_known) {
                Some(s) => {
                    self.counters.report_lines += 1;
                    if line.tries > 0.0 {
                        self.servers.slots[s].last_try_at = Some(now - report.ended_ago_ms);
                    }
                    let recent = self.reports.add_line(now, reporter, s, report, line);
                    self.counters.late_lines += u64::from(!recent);
                }
                None => self.counters.unknown_lines += 1,
            }
        }
        for (class, visits) in &report.arrivals {
            match self.classes.get(class) {
                Some(class) => self
                    .reports
                    .add_arrivals(index, *class, *visits, report.window_ms),
                None => self.counters.unknown_lines += 1,
            }
        }
    }

    /// Ends a round of reports: passes its sums to the planner and logs changes of trust.
    fn end_round(&mut self, now: f64, out: &mut Vec<Output>) {
        let round = self.reports.end_round(now);
        self.counters.imprecise += round.imprecise;
        self.latest_tries_per_s.clear();
        for stats in &round.stats {
            *self.latest_tries_per_s.entry(stats.server).or_default() +=
                stats.tries * 1e3 / stats.window_ms.max(1.0);
            self.planner.tries_reported(now, stats);
        }
        for a in round.arrivals {
            self.planner
                .visits_reported(a.proxy, a.class, a.visits, a.window_ms);
        }
        for change in round.reporter_changes {
            let (p, text) = match change {
                ReporterChange::Silent(p) => (p, "reports no more"),
                ReporterChange::Resumed(p) => (p, "reports again"),
            };
            if let Some(proxy) = self.proxies.get(&p) {
                out.push(Output::Log(format!("proxy {}: {text}", proxy.name)));
            }
        }
        for change in round.trust_changes {
            let line = match change {
                TrustChange::StaleServer(s, stale) => {
                    let name = &self.servers.slots[s].name;
                    let verb = if stale {
                        "does not explain"
                    } else {
                        "explains again"
                    };
                    format!("server {name}: its own word of its load {verb} what proxies meet")
                }
                TrustChange::ContraryProxy(p, contrary) => {
                    let name = self.proxies.get(&p).map(|p| p.name.to_string());
                    let verb = if contrary {
                        "contradicts"
                    } else {
                        "agrees again with"
                    };
                    format!("proxy {}: {verb} all others", name.unwrap_or_default())
                }
            };
            out.push(Output::Log(line));
        }
    }

    /// Carries out the orders of the planner as far as guard and gate allow.
    fn execute(&mut self, now: f64, orders: Orders, gate: Gate, out: &mut Vec<Output>) {
        let mut changes = Changes::default();
        for s in std::mem::take(&mut self.readdressed) {
            changes.add_line(self.servers.slots[s].part, s);
        }
        let mut ordered_parts: BTreeSet<usize> = BTreeSet::new();
        for (part, s, weight) in &orders.lines {
            let slot = &mut self.servers.slots[*s];
            (slot.part, slot.target_weight) = (Some(*part), *weight);
            ordered_parts.insert(*part);
        }
        for (part, class, admitted_share, retry) in orders.levels {
            let retry = match retry {
                planner::RetryPolicy::Never => RetryPolicy::Never,
                planner::RetryPolicy::OnProof => RetryPolicy::OnProof,
                planner::RetryPolicy::OnFailure => RetryPolicy::OnFailure,
            };
            let retry = self
                .rollout
                .safe_retry(retry, self.settings.classes[class].idempotent);
            self.policies[class] = ClassPolicy {
                admitted_share,
                retry,
            };
            changes.policies.entry(part).or_default().push(class);
        }
        for (s, withdrawn) in orders.withdrawals {
            self.servers.slots[s].target_withdrawn = withdrawn;
        }
        let toggled = self
            .rollout
            .update_withdrawals(now, &mut self.servers.slots);
        ordered_parts.extend(toggled.iter().filter_map(|s| self.servers.slots[*s].part));
        self.release_parts(
            now,
            &ordered_parts,
            &orders.lines,
            (&mut changes, gate),
            out,
        );
        for s in toggled {
            changes.add_line(self.servers.slots[s].part, s);
            changes.withdrawals.push(s);
        }
        let mut bound = Vec::new();
        for (proxy, part) in orders.bindings {
            if let Some(p) = self.proxies.get_mut(&proxy) {
                p.part = Some(part);
                bound.push(proxy);
            }
        }
        changes.bound = bound;
        let serial = self.serial + 1;
        for (part, servers) in &changes.servers {
            let has_receivers = self.proxies.values().any(|p| p.part == Some(*part));
            self.rollout
                .record_sent(*part, &self.servers.slots, servers, serial, has_receivers);
        }
        self.write_messages(now, changes, orders.mark, out);
        for s in orders.probes {
            let slot = &mut self.servers.slots[s];
            slot.probing = true;
            out.push(Output::Probe {
                server: slot.name.to_string(),
                address: slot.address.to_string(),
            });
        }
        if let Some(at) = orders.wake_at {
            self.planner_wakeup = self.planner_wakeup.min(at);
        }
        let notes = orders.notes.into_iter().map(|n| self.with_names(&n));
        out.extend(notes.map(Output::Log));
    }

    /// Updates the guard: with reports and roster if they changed in this moment (`guard_inputs`),
    /// and with what the proxies have answered.
    fn update_guard(&mut self, now: f64, guard_inputs: bool) {
        if self.rollout.is_off() {
            return;
        }
        if guard_inputs {
            let rate = |s| {
                let estimate = self.reports.view(now, s)?;
                Some(ServerRate {
                    visits_per_s: estimate.tries_per_s,
                    error: estimate.error_per_s,
                    failed_share: estimate.failed_share,
                    mean_ms: estimate.mean_ms,
                    newest_per_s: self.latest_tries_per_s.get(&s).copied().unwrap_or(0.0),
                })
            };
            self.rollout.update(now, &self.servers.slots, rate);
        }
        let mut answered: BTreeMap<usize, u64> = BTreeMap::new();
        for p in self.proxies.values() {
            if let Some(part) = p.part {
                // A proxy that refused a message holds an older table, and it is not known which.
                let answered_up_to = match p.delivery.owed_table {
                    true => 0,
                    false => p.outstanding.oldest_serial().map_or(u64::MAX, |s| s - 1),
                };
                let by_all = answered.entry(part).or_insert(u64::MAX);
                *by_all = answered_up_to.min(*by_all);
            }
        }
        let parts: Vec<usize> = answered.keys().copied().collect();
        self.rollout
            .record_applied(|part| answered[&part], parts.into_iter());
    }

    /// Selects the lines of each part that may be sent now and adds them to `changes`.
    /// `ordered_parts` are the parts that the planner changed, `ordered_lines` its lines.
    fn release_parts(
        &mut self,
        now: f64,
        ordered_parts: &BTreeSet<usize>,
        ordered_lines: &[(usize, usize, f64)],
        (changes, gate): (&mut Changes, Gate),
        out: &mut Vec<Output>,
    ) {
        let mut parts = self.rollout.parts_due();
        parts.extend(ordered_parts);
        let window_ms = self.settings.message_window_ms;
        let writes_per_message = self.settings.writes_per_message;
        let max_messages =
            (self.settings.max_messages - self.settings.writes_per_join) / writes_per_message;
        let mut channels: BTreeMap<usize, ChannelLoad> = BTreeMap::new();
        let mut waiting_lines = 0.0;
        for p in self.proxies.values().filter(|_| !parts.is_empty()) {
            waiting_lines += p.outstanding.lines();
            if let Some(part) = p.part {
                let channel = channels.entry(part).or_default();
                channel.receivers += 1.0;
                let sent = p.outstanding.sent_within(now, window_ms) as f64;
                let limited = self.settings.max_messages > 0.0;
                let message_share = if limited {
                    sent / max_messages.max(1.0)
                } else {
                    0.0
                };
                channel.message_share = channel.message_share.max(message_share);
            }
        }
        self.orders_held = false;
        for part in parts {
            let mut channel = channels.get(&part).copied().unwrap_or_default();
            channel.waiting_lines = waiting_lines;
            let slots = &mut self.servers.slots;
            let ordered = ordered_parts.contains(&part);
            let mut release = self.rollout.release(now, part, slots, ordered, &channel);
            let pinned = self.pins.get(&part).is_some_and(|until| now < *until);
            let has_table = slots.iter().any(|s| s.part == Some(part) && s.weight > 0.0);
            if has_table && !release.urgent && !release.lines.is_empty() {
                let pending_line = |(s, weight): &(usize, f64)| PendingLine {
                    server: slots[*s].name.clone(),
                    weight: *weight,
                    open: !slots[*s].withdrawn && *weight > 0.0,
                    current_weight: slots[*s].weight,
                };
                let pending: Vec<PendingLine> = release.lines.iter().map(pending_line).collect();
                if pinned || gate(part, &pending) {
                    self.rollout.hold(now, part, slots, &mut release);
                }
            }
            for (s, weight) in &release.lines {
                slots[*s].weight = *weight;
            }
            // Ordered lines go first, in the planner's order; lines without a change are not sent.
            let is_released = |s: &usize| release.lines.iter().any(|(l, _)| l == s);
            for (_, s, _) in ordered_lines
                .iter()
                .filter(|(p, s, _)| *p == part && is_released(s))
            {
                changes.add_line(Some(part), *s);
            }
            release
                .lines
                .iter()
                .for_each(|(s, _)| changes.add_line(Some(part), *s));
            self.orders_held |= release.held;
            out.extend(release.log.into_iter().map(Output::Log));
        }
    }

    /// Replaces the index in a note of the planner by the name: `server 3 ...`, `zone 1 ...`.
    fn with_names(&self, note: &str) -> String {
        let mut words = note.splitn(3, ' ');
        let (kind, index, rest) = (words.next(), words.next(), words.next());
        let index = index.and_then(|i| i.parse::<usize>().ok());
        let name = match (kind, index) {
            (Some("server"), Some(i)) => self.servers.slots.get(i).map(|s| s.name.to_string()),
            (Some("zone"), Some(i)) => self.settings.zones.get(i).cloned(),
            _ => None,
        };
        match (kind, name, rest) {
            (Some(kind), Some(name), Some(rest)) => format!("{kind} {name} {rest}"),
            _ => note.to_string(),
        }
    }

    /// Writes one message to each proxy concerned; proxies of a part share one.
    fn write_messages(
        &mut self,
        now: f64,
        changes: Changes,
        mark: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let mut by_part: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let (mut unbound, mut just_joined) = (Vec::new(), Vec::new());
        for (i, p) in &mut self.proxies {
            let is_new = std::mem::take(&mut p.just_joined);
            match p.part {
                Some(_) if changes.bound.contains(i) => {}
                Some(part) => by_part.entry(part).or_default().push(*i),
                None if is_new => just_joined.push(*i),
                None => unbound.push(*i),
            }
        }
        let serial = self.serial + 1;
        let mut writes: Vec<(Vec<usize>, Message)> = Vec::new();
        for (part, proxies) in by_part {
            let lines: Vec<Line> = changes.lines(part, &self.servers);
            let policies = changes.policies.get(&part).into_iter().flatten();
            let policies: Vec<_> = policies.map(|c| (*c, self.policies[*c])).collect();
            let scope = Scope::Changes(part);
            let message = Message {
                serial,
                scope,
                lines,
                policies,
            };
            writes.push((proxies, message));
        }
        let mut newly_bound: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for proxy in &changes.bound {
            if let Some(part) = self.proxies[proxy].part {
                newly_bound.entry(part).or_default().push(*proxy);
            }
        }
        for (part, proxies) in newly_bound {
            writes.push((proxies, self.snapshot(serial, part)));
        }
        let withdrawals = |servers: &[usize]| {
            let lines = servers.iter().map(|s| {
                let slot = &self.servers.slots[*s];
                slot.line_with(match slot.withdrawn {
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
        writes.push((unbound, withdrawals(&changes.withdrawals)));
        writes.push((just_joined, self.all_withdrawals(serial)));
        for (proxies, message) in writes {
            self.write(now, &proxies, message, mark, out);
        }
    }

    /// The whole table of a part.
    fn snapshot(&self, serial: u64, part: usize) -> Message {
        let servers = self.servers.known().filter(|(_, s)| s.part == Some(part));
        let lines = servers
            .filter(|(_, s)| s.weight > 0.0)
            .map(|(_, s)| s.line());
        let policies = self.policies.iter().copied().enumerate();
        Message {
            serial,
            scope: Scope::Snapshot(part),
            lines: lines.collect(),
            policies: policies.collect(),
        }
    }

    /// Everything that is withdrawn, for a proxy that is not bound.
    fn all_withdrawals(&self, serial: u64) -> Message {
        let withdrawn = self.servers.known().filter(|(_, s)| s.withdrawn);
        Message {
            serial,
            scope: Scope::Unbound,
            lines: withdrawn
                .map(|(_, s)| s.line_with(LineState::Withdrawn))
                .collect(),
            policies: Vec::new(),
        }
    }

    /// Writes one message to the given proxies, unless it would hold nothing.
    fn write(
        &mut self,
        now: f64,
        proxies: &[usize],
        message: Message,
        mark: Option<u32>,
        out: &mut Vec<Output>,
    ) {
        let is_empty = message.lines.is_empty() && message.policies.is_empty();
        if proxies.is_empty() || is_empty && !matches!(message.scope, Scope::Snapshot(_)) {
            // The planner waits for an answer to orders that were held back, so it is answered
            // here.
            if let Some(mark) = mark.filter(|_| self.orders_held) {
                proxies
                    .iter()
                    .for_each(|p| self.planner.orders_applied(*p, mark));
            }
            return;
        }
        self.serial = self.serial.max(message.serial);
        for line in &message.lines {
            if let Some(s) = self.servers.find(&line.server) {
                let last_named_serial = &mut self.servers.slots[s].last_named_serial;
                *last_named_serial = (*last_named_serial).max(message.serial);
            }
        }
        let lines = (message.lines.len() + message.policies.len()) as f64;
        let sent = SentMessage {
            serial: message.serial,
            mark,
            lines: lines + self.settings.message_overhead_lines,
            sent_at: now,
            is_snapshot: matches!(message.scope, Scope::Snapshot(_)),
            withdraws: message.lines.iter().any(|l| l.state != LineState::Open),
        };
        let mut sessions = Vec::with_capacity(proxies.len());
        for i in proxies {
            let Some(proxy) = self.proxies.get_mut(i) else {
                continue;
            };
            proxy
                .outstanding
                .record_sent(sent, self.settings.message_window_ms);
            proxy.delivery.unacknowledged_since.get_or_insert(now);
            sessions.push(proxy.session);
            self.counters.messages += 1;
            self.counters.lines += sent.lines as u64;
            let sent_in_window = proxy
                .outstanding
                .sent_within(now, self.settings.message_window_ms);
            self.counters.max_messages = self.counters.max_messages.max(sent_in_window);
        }
        out.push(Output::Write(sessions, Arc::new(message)));
    }

    /// Applies the delivery rules to each proxy until none fires.
    fn apply_delivery_rules(&mut self, now: f64, out: &mut Vec<Output>) {
        let has_state = |p: &Proxy| p.delivery != DeliveryState::default();
        let concerned: Vec<usize> = self
            .proxies
            .iter()
            .filter(|(_, p)| has_state(p))
            .map(|(i, _)| *i)
            .collect();
        if concerned.is_empty() {
            return;
        }
        let mut waiting_lines: f64 = self.proxies.values().map(|p| p.outstanding.lines()).sum();
        for i in concerned {
            while let Some(proxy) = self.proxies.get_mut(&i) {
                let Some(action) = delivery::next_action(
                    &mut proxy.delivery,
                    now,
                    waiting_lines,
                    &self.delivery_limits,
                ) else {
                    break;
                };
                let (part, session) = (proxy.part, proxy.session);
                let serial = self.serial + 1;
                match (action, part) {
                    (delivery::Action::Evict, _) => {
                        let name = proxy.name.clone();
                        self.by_session.remove(&session);
                        self.remove_proxy(i);
                        self.presence.session_closed(now, session);
                        out.push(Output::Log(format!("proxy {name}: answers nothing")));
                        self.close(session, "no answer to what was sent".into(), out);
                    }
                    (delivery::Action::ResendWithdrawals, Some(part)) => {
                        let mut message = self.snapshot(serial, part);
                        message.scope = Scope::Changes(part);
                        message.policies.clear();
                        let servers = self.servers.known();
                        let withdrawn =
                            servers.filter(|(_, s)| s.part == Some(part) && s.withdrawn);
                        message.lines = withdrawn.map(|(_, s)| s.line()).collect();
                        self.write(now, &[i], message, None, out);
                    }
                    (delivery::Action::ResendTable, Some(part)) => {
                        let message = self.snapshot(serial, part);
                        waiting_lines += message.lines.len() as f64;
                        self.write(now, &[i], message, None, out);
                    }
                    (delivery::Action::ResendWithdrawals | delivery::Action::ResendTable, None) => {
                        let message = self.all_withdrawals(serial);
                        self.write(now, &[i], message, None, out);
                    }
                }
            }
        }
    }

    /// The servers, without estimates.
    pub fn servers(&self) -> Vec<ServerView> {
        let servers = self.servers.known();
        servers.map(|(_, s)| self.server_view(s)).collect()
    }

    /// A server on the status page, without estimates.
    fn server_view(&self, s: &Slot) -> ServerView {
        ServerView {
            name: s.name.clone(),
            address: s.address.clone(),
            zone: self.settings.zones[s.zone].clone(),
            state: s.state,
            listed_weight: s.listed_weight,
            part: s.part,
            weight: s.weight,
            withdrawn: s.withdrawn,
            started_ago_ms: s.started.map(|(_, at)| self.now - at),
            last_try_ago_ms: s.last_try_at.map(|at| (self.now - at).max(0.0)),
            estimate: None,
            by_class: Vec::new(),
        }
    }

    /// The admitted share of each class, by name.
    pub fn admission_levels(&self) -> Vec<(String, f64)> {
        let names = self.settings.classes.iter().map(|c| c.name.clone());
        names
            .zip(self.policies.iter().map(|p| p.admitted_share))
            .collect()
    }

    /// The present state, for the status page.
    pub fn overview(&self) -> Overview {
        let servers = self.servers.known().map(|(i, s)| ServerView {
            estimate: self.reports.view(self.now, i),
            by_class: self.reports.class_views(self.now, i),
            ..self.server_view(s)
        });
        let proxies = self.proxies.iter().map(|(i, p)| ProxyView {
            contrary: self.reports.is_contrary(*i),
            silent: self.reports.is_silent(*i),
            name: p.name.clone(),
            zone: self.settings.zones[p.zone].clone(),
            session: p.session,
            part: p.part,
            unacknowledged: p.outstanding.count(),
            unacknowledged_lines: p.outstanding.lines(),
            refusal: p.refusal.clone(),
        });
        let names = self.settings.classes.iter().map(|c| c.name.clone());
        Overview {
            servers: servers.collect(),
            proxies: proxies.collect(),
            policies: names.zip(self.policies.iter().copied()).collect(),
            counters: self.counters,
            guard: self.rollout.view(),
        }
    }
}

/// What the messages of one moment are to contain.
#[derive(Default)]
struct Changes {
    /// Changed lines by part.
    servers: BTreeMap<usize, Vec<usize>>,
    /// Changed classes by part.
    policies: BTreeMap<usize, Vec<usize>>,
    /// Servers that were withdrawn or allowed again.
    withdrawals: Vec<usize>,
    /// Proxies that were bound to a part.
    bound: Vec<usize>,
}

impl Changes {
    /// Marks the line of a server as changed.
    fn add_line(&mut self, part: Option<usize>, server: usize) {
        if let Some(part) = part {
            let servers = self.servers.entry(part).or_default();
            if !servers.contains(&server) {
                servers.push(server);
            }
        }
    }

    /// The changed lines of a part.
    fn lines(&self, part: usize, servers: &Servers) -> Vec<Line> {
        let changed = self.servers.get(&part).into_iter().flatten();
        changed.map(|s| servers.slots[*s].line()).collect()
    }
}
