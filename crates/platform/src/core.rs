//! The core: a deterministic state machine that takes the inputs of one moment and returns effects.
//!
//! It feeds the planner and passes its decisions on. It decides nothing itself beyond the rules of
//! [`crate::delivery`] and [`crate::membership`].

use crate::commands::into_commands;
use crate::delivery::{Call, CallOutcome, Delivery, Feedback, ProxyEpoch};
use crate::discovery::EndpointList;
use crate::inbound::Report;
use crate::membership::{Membership, MembershipChange};
use crate::relay::{NameLookup, RelayEvent};
use crate::slots::ServerSlots;
use dahliapoint::rules::Planner;
use dahliapoint::{AdminState, RosterEntry, RosterUpdate, TryStats};
use dahliapoint_opening::Deployment;
use std::net::SocketAddr;

/// Bound on how far discovery's lists lag behind (PROTOCOL, "Figures").
pub const MAX_DISCOVERY_LAG_MS: f64 = 6000.0;

/// An event that the core handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A list from a discovery watch. Watches are numbered in the order of their requests.
    EndpointList { watch: u32, list: EndpointList },
    /// An event from a follower's stream.
    RelayEvent { follower: u32, event: RelayEvent },
    /// A follower's heartbeat is overdue.
    FollowerSilent { follower: u32 },
    /// A follower's connection ended.
    FollowerEnded { follower: u32 },
    /// A report from a collector.
    Report(Report),
    /// The result of a probe.
    ProbeAnswered {
        probe: ProbeTarget,
        healthy: bool,
        took_ms: f64,
    },
    /// A probe was dropped unsent, so it says nothing about the server.
    ProbeNotSent(ProbeTarget),
    /// A call to the relay ended.
    CallEnded { number: u64, outcome: CallOutcome },
}

/// The server that a probe is sent to: its index, and the index's generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeTarget {
    pub server: usize,
    pub generation: u32,
}

/// What the caller must do after a step.
#[derive(Debug, Default)]
pub struct Effects {
    /// The call to make to the relay.
    pub call: Option<Call>,
    /// The probes to send.
    pub probes: Vec<(ProbeTarget, SocketAddr)>,
    /// When to call [`Core::step`] again at the latest (ms).
    pub wake_at: Option<f64>,
    /// Lines for the operators' log.
    pub notes: Vec<String>,
}

/// Counts of reports and of ignored inputs, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Reports received.
    pub reports: u64,
    /// Reports of an unknown server or proxy.
    pub unknown_subjects: u64,
    /// Lists ignored because they are not newer than the known one.
    pub stale_lists: u64,
}

/// Names of servers by slot and of classes by the deployment's settings.
struct Names<'a> {
    slots: &'a ServerSlots,
    deployment: &'a Deployment,
}

impl NameLookup for Names<'_> {
    fn server(&self, index: usize) -> &str {
        &self.slots.all[index].name
    }

    fn class(&self, index: usize) -> &str {
        &self.deployment.classes[index]
    }
}

/// Full lists below the current version, a sign that discovery may have restarted its versions.
#[derive(Clone, Copy)]
struct LowerLists {
    /// When the first one arrived (ms).
    since: f64,
    /// The watch that sent the first one.
    first_watch: u32,
}

/// The state behind all decisions: planner, servers, membership and delivery.
pub struct Core {
    planner: Planner,
    deployment: Deployment,
    slots: ServerSlots,
    membership: Membership,
    delivery: Delivery,
    /// Version of the newest list.
    index: u64,
    /// Lists of watches before this one are ignored, because discovery has restarted its versions since.
    first_watch: u32,
    /// Set while full lists arrive that are below the current version.
    lower_lists: Option<LowerLists>,
    /// When the planner wants to decide again (ms).
    planner_wake_at: Option<f64>,
    /// Counts since the start.
    pub counters: Counters,
}

impl Core {
    /// Creates a core at time `now` (ms) with the last known list of servers.
    pub fn new(now: f64, seed: u64, deployment: Deployment, known: &EndpointList) -> Core {
        let settings = &deployment.planner_settings;
        let mut core = Core {
            planner: Planner::new(now, seed, settings),
            slots: ServerSlots::default(),
            membership: Membership::default(),
            delivery: Delivery::new(
                settings.message_latency_ms,
                settings.max_queued_lines,
                settings.lines_per_ms,
            ),
            index: known.index,
            first_watch: 0,
            lower_lists: None,
            planner_wake_at: Some(now),
            counters: Counters::default(),
            deployment,
        };
        core.apply_list(now, known, RosterUpdate::Restored);
        core
    }

    /// Returns the version after which to ask discovery for changes.
    pub fn discovery_index(&self) -> u64 {
        self.index
    }

    /// Describes the state in one line of counts and one line for each listed server (see
    /// [`dahliapoint::ServerStatus`]), for the operators' debug log.
    pub fn state_lines(&self) -> Vec<String> {
        let (queued, unconfirmed) = self.delivery.pending_counts();
        let mut out = vec![format!(
            "joined {} queued {queued} doubted {unconfirmed} reports {} of strangers {} old lists {}",
            self.membership.count(),
            self.counters.reports,
            self.counters.unknown_subjects,
            self.counters.stale_lists
        )];
        for (slot, status) in self.slots.all.iter().zip(self.planner.server_statuses()) {
            if slot.admin_state == AdminState::Gone {
                continue;
            }
            out.push(format!(
                "server {} {:?} line {:.3} health {:.2} out {} cold {} tries {:.1} failed {:.1} mean_ms {:.1}",
                slot.name,
                slot.admin_state,
                status.published_weight,
                status.health,
                status.withdrawn,
                status.cold,
                status.tries,
                status.failed,
                status.mean_ms
            ));
        }
        out
    }

    /// Handles all inputs of one moment, decides, and returns what to do.
    pub fn step(&mut self, now: f64, inputs: impl IntoIterator<Item = Input>) -> Effects {
        let (mut effects, mut feedback) = (Effects::default(), Feedback::default());
        let mut must_decide = false;
        for input in inputs {
            must_decide |= self.handle_input(now, input, &mut feedback);
        }
        if self.planner_wake_at.is_some_and(|at| at <= now) {
            (self.planner_wake_at, must_decide) = (None, true);
        }
        if must_decide {
            self.decide(now, &mut effects);
        }
        // Lost bindings are new information for the planner: it decides once more, and only once.
        effects.call = self.next_call(now, &mut feedback);
        if !feedback.lost_bindings.is_empty() {
            self.return_bindings(std::mem::take(&mut feedback.lost_bindings));
            self.decide(now, &mut effects);
            if effects.call.is_none() {
                effects.call = self.next_call(now, &mut feedback);
            }
        }
        effects.notes.append(&mut feedback.notes);
        let planner_wake_at = self.planner_wake_at.into_iter();
        let wake_times = planner_wake_at.chain(self.delivery.wake_at());
        effects.wake_at = wake_times.min_by(f64::total_cmp);
        effects
    }

    /// Returns the call to make now, if there is one.
    fn next_call(&mut self, now: f64, feedback: &mut Feedback) -> Option<Call> {
        let names = Names {
            slots: &self.slots,
            deployment: &self.deployment,
        };
        let membership = &self.membership;
        let is_current =
            |(proxy, epoch)| membership.is_joined(proxy) && membership.epoch(proxy) == epoch;
        self.delivery
            .next_call(now, &names, &is_current, &mut self.planner, feedback)
    }

    /// Handles one input. Returns whether the planner has anything new.
    fn handle_input(&mut self, now: f64, input: Input, feedback: &mut Feedback) -> bool {
        match input {
            Input::EndpointList { watch, list } => {
                let update = match list.is_snapshot {
                    true => RosterUpdate::Snapshot,
                    false => RosterUpdate::Changes,
                };
                if !self.accepts_list(now, watch, &list, feedback) {
                    self.counters.stale_lists += 1;
                    return false;
                }
                let rejected = list.rejected.iter();
                let notes = rejected.map(|entry| format!("list {}: left out: {entry}", list.index));
                feedback.notes.extend(notes);
                self.index = list.index;
                self.apply_list(now, &list, update);
                true
            }
            Input::RelayEvent { follower, event } => self.handle_event(now, follower, event),
            Input::FollowerSilent { follower } => {
                let mut changes = Vec::new();
                self.membership.follower_silent(follower, now, &mut changes);
                self.apply_changes(&changes)
            }
            Input::FollowerEnded { follower } => {
                let mut changes = Vec::new();
                self.membership.follower_ended(follower, now, &mut changes);
                self.apply_changes(&changes)
            }
            Input::Report(report) => self.handle_report(now, &report),
            Input::ProbeAnswered {
                probe,
                healthy,
                took_ms,
            } => {
                let Some(slot) = self.slots.all.get_mut(probe.server) else {
                    return false;
                };
                if slot.generation != probe.generation {
                    return false;
                }
                slot.probe_pending = false;
                self.planner
                    .probe_answered(now, probe.server, healthy, took_ms);
                true
            }
            Input::ProbeNotSent(probe) => {
                let slot = self.slots.all.get_mut(probe.server);
                if let Some(slot) = slot.filter(|slot| slot.generation == probe.generation) {
                    slot.probe_pending = false;
                }
                false
            }
            Input::CallEnded { number, outcome } => {
                self.delivery
                    .call_ended(now, number, outcome, &mut self.planner, feedback);
                false
            }
        }
    }

    /// Whether a list is newer than what is known, or a repeated full list.
    ///
    /// Versions never go back: a second watch or delayed bytes may bring old lists. But discovery itself
    /// may restart its versions. Then a watch that asks for the changes after the current version gets
    /// a full list below it, and so does a later watch once [`MAX_DISCOVERY_LAG_MS`] have passed. From
    /// then on lists of older watches are ignored.
    fn accepts_list(
        &mut self,
        now: f64,
        watch: u32,
        list: &EndpointList,
        feedback: &mut Feedback,
    ) -> bool {
        if watch < self.first_watch {
            return false;
        }
        if list.index > self.index || list.index == self.index && list.is_snapshot {
            self.lower_lists = None;
            return true;
        }
        if !list.is_snapshot {
            return false;
        }
        let lower = *self.lower_lists.get_or_insert(LowerLists {
            since: now,
            first_watch: watch,
        });
        let restarted = list.index < self.index
            && watch > lower.first_watch
            && now - lower.since >= MAX_DISCOVERY_LAG_MS;
        if restarted {
            (self.first_watch, self.lower_lists) = (watch, None);
            let (old, new) = (self.index, list.index);
            feedback.notes.push(format!(
                "discovery's versions begin anew: {new} after {old}"
            ));
        }
        restarted
    }

    /// Applies a list to the slots and to the planner.
    fn apply_list(&mut self, now: f64, list: &EndpointList, update: RosterUpdate) {
        let referenced = self.delivery.referenced_servers();
        self.slots.release_idle(now, &referenced);
        let mut roster = Vec::with_capacity(list.endpoints.len());
        for endpoint in &list.endpoints {
            let is_gone = endpoint.admin_state == AdminState::Gone;
            // A server that was never known cannot leave.
            if is_gone && self.slots.find(&endpoint.name).is_none() {
                continue;
            }
            let listed = self.slots.upsert(endpoint, now);
            let server = listed.index;
            if listed.may_have_returned {
                self.planner.index_reassigned(server);
            }
            roster.push(RosterEntry {
                server,
                zone: endpoint.zone,
                admin_state: endpoint.admin_state,
                weight: endpoint.weight,
                started_ms: self.slots.all[server].started_at_ms,
            });
        }
        if update != RosterUpdate::Changes {
            let listed: Vec<usize> = roster.iter().map(|entry| entry.server).collect();
            self.slots.mark_unlisted_gone(&listed, now);
        }
        self.planner.roster_changed(now, update, &roster);
    }

    /// Handles an event of a follower. Returns whether the planner has anything new.
    fn handle_event(&mut self, now: f64, follower: u32, event: RelayEvent) -> bool {
        let mut changes = Vec::new();
        let mut acknowledged = false;
        self.membership.follower_active(follower);
        match event {
            RelayEvent::Started => self.membership.follower_started(follower),
            RelayEvent::Hello {
                proxy,
                zone,
                visits_per_s,
                ..
            } => self.membership.hello(
                follower,
                proxy,
                zone,
                visits_per_s / 1000.0,
                now,
                &mut changes,
            ),
            RelayEvent::Bye { proxy } => self.membership.bye(follower, proxy, now, &mut changes),
            RelayEvent::Heartbeat => self.membership.end_snapshot(follower, now, &mut changes),
            RelayEvent::Ack { proxy, mark } => {
                self.membership.end_snapshot(follower, now, &mut changes);
                if self.membership.is_joined(proxy) {
                    self.planner.orders_applied(proxy, mark);
                    self.delivery.mark_acknowledged(mark);
                    acknowledged = true;
                }
            }
        }
        self.apply_changes(&changes) || acknowledged
    }

    /// Passes joins and leaves to the planner. Returns whether there were any.
    fn apply_changes(&mut self, changes: &[MembershipChange]) -> bool {
        for change in changes {
            match change {
                MembershipChange::Joined {
                    proxy,
                    zone,
                    visits_per_ms,
                } => {
                    self.planner.proxy_joined(*proxy, *zone, *visits_per_ms);
                }
                MembershipChange::Left { proxy } => {
                    self.planner.proxy_left(*proxy);
                }
            }
        }
        !changes.is_empty()
    }

    /// Returns bindings that were not carried out to the planner, which binds again at its own pace.
    fn return_bindings(&mut self, lost_bindings: Vec<ProxyEpoch>) {
        for (proxy, epoch) in lost_bindings {
            if self.membership.is_joined(proxy) && self.membership.epoch(proxy) == epoch {
                self.membership.renew_epoch(proxy);
                self.planner.binding_lost(proxy);
            }
        }
    }

    /// Passes a report to the planner. Returns whether its subject is known.
    fn handle_report(&mut self, now: f64, report: &Report) -> bool {
        self.counters.reports += 1;
        match report {
            Report::Outcomes {
                zone,
                server,
                tries,
                failed,
                mean_ms,
                span_ms,
            } => {
                let Some(server) = self.slots.find(server) else {
                    self.counters.unknown_subjects += 1;
                    return false;
                };
                let stats = TryStats {
                    zone: *zone,
                    server,
                    tries: *tries,
                    failed: *failed,
                    window_ms: *span_ms,
                    mean_ms: *mean_ms,
                };
                self.planner.tries_reported(now, &stats);
            }
            Report::Demand {
                proxy,
                class,
                visits,
                span_ms,
            } => {
                if !self.membership.is_joined(*proxy) {
                    self.counters.unknown_subjects += 1;
                    return false;
                }
                self.planner
                    .visits_reported(*proxy, *class, *visits, *span_ms);
            }
        }
        true
    }

    /// Lets the planner decide, queues its commands and adds its probes and notes to the effects.
    fn decide(&mut self, now: f64, effects: &mut Effects) {
        let orders = self.planner.decide(now);
        if let Some(at) = orders.wake_at {
            self.planner_wake_at = Some(at);
        }
        for server in &orders.probes {
            let slot = &mut self.slots.all[*server];
            if let Some(address) = slot.address {
                slot.probe_pending = true;
                let target = ProbeTarget {
                    server: *server,
                    generation: slot.generation,
                };
                effects.probes.push((target, address));
            }
        }
        for (table, server, weight) in &orders.lines {
            self.slots.record_weight(*server, *table, *weight, now);
        }
        let notes = orders.notes.iter().map(|note| self.with_names(note));
        effects.notes.extend(notes);
        let bound = orders.bindings.iter().map(|(proxy, _)| *proxy);
        let epochs = bound.map(|proxy| (proxy, self.membership.epoch(proxy)));
        let epochs = epochs.collect();
        let mark = orders.mark;
        let commands = into_commands(orders);
        self.delivery.enqueue(commands, epochs, mark);
    }

    /// Replaces the index in a planner's note (`server 3 ...`, `zone 0 ...`) by the name.
    fn with_names(&self, note: &str) -> String {
        let mut words = note.splitn(3, ' ');
        let (Some(kind), Some(index), Some(rest)) = (words.next(), words.next(), words.next())
        else {
            return note.to_string();
        };
        let name = index.parse().ok().and_then(|index: usize| match kind {
            "server" => self.slots.all.get(index).map(|slot| slot.name.as_str()),
            "zone" => self.deployment.zones.get(index).map(String::as_str),
            _ => None,
        });
        name.map_or_else(|| note.to_string(), |name| format!("{kind} {name} {rest}"))
    }
}
