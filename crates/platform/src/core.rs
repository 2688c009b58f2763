//! The core: a deterministic state machine that takes the inputs of one moment and returns effects.
//!
//! It feeds the planner and passes its decisions on. It decides nothing itself beyond the rules of
//! [`crate::delivery`] and [`crate::membership`].

use crate::delivery::{Call, CallOutcome, Delivery, Feedback};
use crate::discovery::EndpointList;
use crate::inbound::Report;
use crate::membership::{Membership, MembershipChange};
use crate::relay::{Command, NameLookup, RelayEvent};
use crate::slots::ServerSlots;
use dahliapoint::rules::Planner;
use dahliapoint::{AdminState, Orders, RosterEntry, RosterUpdate, TryStats};
use dahliapoint_opening::Deployment;
use std::collections::BTreeMap;
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
    /// Lists ignored because their version is too old.
    pub stale_lists: u64,
}

/// Looks up names in the slots and in the settings.
struct NamesOf<'a>(&'a ServerSlots, &'a Deployment);

impl NameLookup for NamesOf<'_> {
    fn server(&self, index: usize) -> &str {
        &self.0.all[index].name
    }

    fn class(&self, index: usize) -> &str {
        &self.1.classes[index]
    }
}

/// The state behind all decisions: planner, servers, membership and delivery.
pub struct Core {
    planner: Planner,
    told: Deployment,
    places: ServerSlots,
    joined: Membership,
    delivery: Delivery,
    /// The table that each joined proxy is bound to.
    tables: BTreeMap<usize, usize>,
    /// Version of the newest list.
    index: u64,
    /// Lists of watches before this one are ignored, because discovery has restarted its versions since.
    first_watch: u32,
    /// Since when, and first from which watch, full lists have been below the current version.
    below: Option<(f64, u32)>,
    /// When the planner wants to decide again (ms).
    alarm: Option<f64>,
    pub counters: Counters,
}

impl Core {
    /// Creates a core at time `now` (ms) with the last known list of servers.
    pub fn new(now: f64, seed: u64, told: Deployment, known: &EndpointList) -> Core {
        let opening = &told.planner_settings;
        let mut core = Core {
            planner: Planner::new(now, seed, opening),
            places: ServerSlots::default(),
            joined: Membership::default(),
            delivery: Delivery::new(
                opening.message_latency_ms,
                opening.max_queued_lines,
                opening.lines_per_ms,
            ),
            tables: BTreeMap::new(),
            index: known.index,
            first_watch: 0,
            below: None,
            alarm: Some(now),
            counters: Counters::default(),
            told,
        };
        core.listed(now, known, RosterUpdate::Restored);
        core
    }

    /// Returns the version after which to ask discovery for changes.
    pub fn discovery_index(&self) -> u64 {
        self.index
    }

    /// Describes the state in one line of counts and one line for each listed server (see
    /// [`dahliapoint::ServerStatus`]), for the operators' debug log.
    pub fn state_lines(&self) -> Vec<String> {
        let (queued, doubted) = self.delivery.pending_counts();
        let mut out = vec![format!(
            "joined {} queued {queued} doubted {doubted} reports {} of strangers {} old lists {}",
            self.joined.count(),
            self.counters.reports,
            self.counters.unknown_subjects,
            self.counters.stale_lists
        )];
        for (place, b) in self.places.all.iter().zip(self.planner.server_statuses()) {
            if place.admin_state == AdminState::Gone {
                continue;
            }
            out.push(format!(
                "server {} {:?} line {:.3} health {:.2} out {} cold {} tries {:.1} failed {:.1} mean_ms {:.1}",
                place.name, place.admin_state, b.published_weight, b.health, b.withdrawn, b.cold, b.tries, b.failed, b.mean_ms
            ));
        }
        out
    }

    /// Handles all inputs of one moment, decides, and returns what to do.
    pub fn step(&mut self, now: f64, inputs: impl IntoIterator<Item = Input>) -> Effects {
        let (mut effects, mut returned) = (Effects::default(), Feedback::default());
        let mut told = false;
        for input in inputs {
            told |= self.take(now, input, &mut returned);
        }
        if self.alarm.is_some_and(|at| at <= now) {
            (self.alarm, told) = (None, true);
        }
        if told {
            self.decide(now, &mut effects);
        }
        // Lost bindings are new information for the planner: it decides once more, and only once.
        effects.call = self.next_call(now, &mut returned);
        if !returned.lost_bindings.is_empty() {
            self.give_back(std::mem::take(&mut returned.lost_bindings));
            self.decide(now, &mut effects);
            if effects.call.is_none() {
                effects.call = self.next_call(now, &mut returned);
            }
        }
        effects.notes.append(&mut returned.notes);
        let wakes = self.alarm.into_iter().chain(self.delivery.wake_at());
        effects.wake_at = wakes.min_by(f64::total_cmp);
        effects
    }

    fn next_call(&mut self, now: f64, returned: &mut Feedback) -> Option<Call> {
        let names = NamesOf(&self.places, &self.told);
        let joined = &self.joined;
        let stands = |(proxy, turn)| joined.is_joined(proxy) && joined.epoch(proxy) == turn;
        self.delivery.next_call(now, &names, &stands, returned)
    }

    /// Handles one input. Returns whether the planner has anything new.
    fn take(&mut self, now: f64, input: Input, returned: &mut Feedback) -> bool {
        match input {
            Input::EndpointList { watch, list } => {
                let extent = match list.is_snapshot {
                    true => RosterUpdate::Snapshot,
                    false => RosterUpdate::Changes,
                };
                if !self.counts(now, watch, &list, returned) {
                    self.counters.stale_lists += 1;
                    return false;
                }
                for fault in &list.rejected {
                    returned
                        .notes
                        .push(format!("list {}: left out: {fault}", list.index));
                }
                self.index = list.index;
                self.listed(now, &list, extent);
                true
            }
            Input::RelayEvent { follower, event } => self.news(now, follower, event),
            Input::FollowerSilent { follower } => {
                let mut changes = Vec::new();
                self.joined.follower_silent(follower, now, &mut changes);
                self.tell_joined(&changes)
            }
            Input::FollowerEnded { follower } => {
                let mut changes = Vec::new();
                self.joined.follower_ended(follower, now, &mut changes);
                self.tell_joined(&changes)
            }
            Input::Report(report) => self.report(now, &report),
            Input::ProbeAnswered {
                probe,
                healthy,
                took_ms,
            } => {
                let Some(place) = self.places.all.get_mut(probe.server) else {
                    return false;
                };
                if place.generation != probe.generation {
                    return false;
                }
                place.probe_pending = false;
                self.planner
                    .probe_answered(now, probe.server, healthy, took_ms);
                true
            }
            Input::ProbeNotSent(probe) => {
                let place = self.places.all.get_mut(probe.server);
                if let Some(place) = place.filter(|p| p.generation == probe.generation) {
                    place.probe_pending = false;
                }
                false
            }
            Input::CallEnded { number, outcome } => {
                self.delivery.call_ended(now, number, outcome, returned);
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
    fn counts(
        &mut self,
        now: f64,
        watch: u32,
        list: &EndpointList,
        returned: &mut Feedback,
    ) -> bool {
        if watch < self.first_watch {
            return false;
        }
        if list.index > self.index || list.index == self.index && list.is_snapshot {
            self.below = None;
            return true;
        }
        if !list.is_snapshot {
            return false;
        }
        let (since, first) = *self.below.get_or_insert((now, watch));
        let anew = list.index < self.index && watch > first && now - since >= MAX_DISCOVERY_LAG_MS;
        if anew {
            (self.first_watch, self.below) = (watch, None);
            let (old, new) = (self.index, list.index);
            returned.notes.push(format!(
                "discovery's versions begin anew: {new} after {old}"
            ));
        }
        anew
    }

    /// Applies a list to the slots and to the planner.
    fn listed(&mut self, now: f64, list: &EndpointList, extent: RosterUpdate) {
        self.places
            .release_idle(now, &self.delivery.referenced_servers());
        let mut roster = Vec::with_capacity(list.endpoints.len());
        for entry in &list.endpoints {
            // A server that was never known cannot leave.
            if entry.admin_state == AdminState::Gone && self.places.find(&entry.name).is_none() {
                continue;
            }
            let server = self.places.upsert(entry, now);
            roster.push(RosterEntry {
                server,
                zone: entry.zone,
                admin_state: entry.admin_state,
                weight: entry.weight,
                started_ms: self.places.all[server].started_at_ms,
            });
        }
        if extent != RosterUpdate::Changes {
            let listed: Vec<usize> = roster.iter().map(|l| l.server).collect();
            self.places.mark_unlisted_gone(&listed, now);
        }
        self.planner.roster_changed(now, extent, &roster);
    }

    /// Handles an event of a follower. Returns whether the planner has anything new.
    fn news(&mut self, now: f64, follower: u32, news: RelayEvent) -> bool {
        let mut changes = Vec::new();
        let mut told = false;
        self.joined.follower_active(follower);
        match news {
            RelayEvent::Started => self.joined.follower_started(follower),
            RelayEvent::Hello {
                proxy,
                zone,
                visits_per_s,
                ..
            } => self.joined.hello(
                follower,
                (proxy, zone, visits_per_s / 1000.0),
                now,
                &mut changes,
            ),
            RelayEvent::Bye { proxy } => self.joined.bye(follower, proxy, now, &mut changes),
            RelayEvent::Heartbeat => self.joined.end_snapshot(follower, now, &mut changes),
            RelayEvent::Ack { proxy, mark } => {
                self.joined.end_snapshot(follower, now, &mut changes);
                if self.joined.is_joined(proxy) {
                    self.planner.orders_applied(proxy, mark);
                    self.delivery.mark_acknowledged(mark);
                    told = true;
                }
            }
        }
        self.tell_joined(&changes) || told
    }

    /// Passes joins and leaves to the planner. Returns whether there were any.
    fn tell_joined(&mut self, changes: &[MembershipChange]) -> bool {
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
                    self.tables.remove(proxy);
                }
            }
        }
        !changes.is_empty()
    }

    /// Returns bindings that were not carried out to the planner, which binds again at its own pace.
    fn give_back(&mut self, unbound: Vec<(usize, u64)>) {
        for (proxy, turn) in unbound {
            if self.joined.is_joined(proxy) && self.joined.epoch(proxy) == turn {
                self.joined.renew_epoch(proxy);
                self.planner.binding_lost(proxy);
                self.tables.remove(&proxy);
            }
        }
    }

    /// Passes a report to the planner. Returns whether its subject is known.
    fn report(&mut self, now: f64, report: &Report) -> bool {
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
                let Some(server) = self.places.find(server) else {
                    self.counters.unknown_subjects += 1;
                    return false;
                };
                let met = TryStats {
                    zone: *zone,
                    server,
                    tries: *tries,
                    failed: *failed,
                    window_ms: *span_ms,
                    mean_ms: *mean_ms,
                };
                self.planner.tries_reported(now, &met);
            }
            Report::Demand {
                proxy,
                class,
                visits,
                span_ms,
            } => {
                if !self.joined.is_joined(*proxy) {
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
            self.alarm = Some(at);
        }
        for server in &orders.probes {
            let place = &mut self.places.all[*server];
            if let Some(address) = place.address {
                place.probe_pending = true;
                let asked = ProbeTarget {
                    server: *server,
                    generation: place.generation,
                };
                effects.probes.push((asked, address));
            }
        }
        for (table, server, weight) in &orders.lines {
            self.places.record_weight(*server, *table, *weight, now);
        }
        let named = orders.notes.iter().map(|note| self.named(note));
        effects.notes.extend(named);
        let joined = &self.joined;
        let turns = orders.bindings.iter().map(|b| (b.0, joined.epoch(b.0)));
        let turns = turns.collect();
        let mark = orders.mark;
        let lines = self.cost(&orders);
        self.tables.extend(orders.bindings.iter().copied());
        self.delivery.enqueue(in_order(orders), turns, mark, lines);
    }

    /// Replaces the index in a planner's note (`server 3 ...`, `zone 0 ...`) by the name.
    fn named(&self, note: &str) -> String {
        let mut words = note.splitn(3, ' ');
        let (Some(kind), Some(index), Some(rest)) = (words.next(), words.next(), words.next())
        else {
            return note.to_string();
        };
        let name = index.parse().ok().and_then(|index: usize| match kind {
            "server" => self.places.all.get(index).map(|p| p.name.as_str()),
            "zone" => self.told.zones.get(index).map(String::as_str),
            _ => None,
        });
        name.map_or_else(|| note.to_string(), |name| format!("{kind} {name} {rest}"))
    }

    /// Returns the lines that a decision costs in the channel: each proxy concerned gets one message,
    /// which consists of a fixed overhead and its lines.
    fn cost(&self, orders: &Orders) -> f64 {
        let head = self.told.planner_settings.message_overhead_lines + 1.0;
        let mut changes: BTreeMap<usize, f64> = BTreeMap::new();
        let lines = orders.lines.iter().map(|l| l.0);
        for table in lines.chain(orders.levels.iter().map(|l| l.0)) {
            *changes.entry(table).or_default() += 1.0;
        }
        let mut everywhere = 0.0;
        for (server, _) in &orders.withdrawals {
            match self.places.all[*server].table {
                Some(table) => *changes.entry(table).or_default() += 1.0,
                None => everywhere += 1.0,
            }
        }
        let told = self.tables.values().map(|table| {
            let lines = changes.get(table).unwrap_or(&0.0) + everywhere;
            if lines > 0.0 { lines + head } else { 0.0 }
        });
        let whole = |table: usize| {
            let of = self.places.all.iter().filter(|p| p.table == Some(table));
            of.count() as f64 + self.told.classes.len() as f64 + head
        };
        let bound = orders.bindings.iter().map(|(_, table)| whole(*table));
        told.chain(bound).sum()
    }
}

/// Converts a decision to commands, in the order of the fields of [`Orders`].
fn in_order(orders: Orders) -> Vec<Command> {
    let lines = orders.lines.into_iter();
    let lines = lines.map(|(table, server, weight)| Command::Share {
        table,
        server,
        weight,
    });
    let levels = orders.levels.into_iter();
    let levels = levels.map(|(table, class, share, tries)| Command::Admit {
        table,
        class,
        share,
        tries,
    });
    let shuts = orders.withdrawals.into_iter();
    let shuts = shuts.map(|(server, withdrawn)| Command::Withdraw { server, withdrawn });
    let binds = orders.bindings.into_iter();
    let binds = binds.map(|(proxy, table)| Command::Bind { proxy, table });
    lines.chain(levels).chain(shuts).chain(binds).collect()
}
