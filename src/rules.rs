//! The planner: all decisions of dahliapoint.
//!
//! Usage: `Planner::new` when a controller starts, then one method per event (`roster_changed`,
//! `proxy_joined`, `tries_reported`, ...). These methods only record the event. All events of one
//! moment form one input: after them, `Planner::decide` evaluates `RULES` from the top, again and
//! again, until no rule fires, and returns the `Orders` to carry out. The types of the interface are
//! in `src/lib.rs`, the state and its statistics in `src/state.rs`. Nothing here reads a clock, a
//! file or a socket.
//!
//! Order of the rules: roster requests and admin states; health from the reports, zones before
//! servers; recovery; admission levels and retries; weights and bindings; probes last, as they cost
//! work.

mod budget;

use crate::overload::OverloadForecast;
use crate::state::{
    self, Bucket, Channel, DerivedSettings, FleetQuantile, FleetStats, Part, Proxy, ReportTotals,
    Rng, Server, Withdrawal, ZoneStats,
};
use crate::{
    AdminState, Admission, Orders, PlannerSettings, RetryPolicy, RosterEntry, RosterUpdate,
    ServerStatus, TryStats,
};
use budget::WITHDRAWAL_QUEUE_SHARE;
use std::collections::BTreeMap;

/// Interval at which changed weights are published. Other delays are multiples of it.
const TICK_MS: f64 = 2000.0;
/// Time in which a returning server's weight rises linearly to its full value.
const RAMP_TICKS: f64 = 5.0;
/// Share of the full weight at which that rise starts.
const RAMP_START_SHARE: f64 = 0.1;
/// A weight is published again when it is off by more than this share.
const WEIGHT_TOLERANCE: f64 = 0.02;
/// Number of time buckets that count as recent, if reports are not delayed. A server is slow if it was
/// slow in each of this many buckets.
const RECENT_BUCKETS: u64 = 3;
/// Recent tries that it takes to judge a server.
const MIN_TRIES: f64 = 8.0;
/// Other report lines are still queued if at least this share of the lines that can come in one
/// interval came.
const REPORTS_FULL_SHARE: f64 = 0.9;
/// A server fails if at least this share of its tries does, and `OUTLIER_FACTOR` times the fleet's
/// median.
const FAILING_SHARE: f64 = 0.3;
/// A server is an outlier at this multiple of the fleet's value.
const OUTLIER_FACTOR: f64 = 2.0;
/// Answers are slow above this share of the lowest soft limit, and fast below it.
const SLOW_LIMIT_SHARE: f64 = 0.5;
/// If the median server is slower than the best quarter by this factor, the fleet has spare capacity
/// and weights are reduced sooner.
const SPREAD_FACTOR: f64 = 3.0;
/// The fleet is strained if the time at the given quantile exceeds this share of the lowest soft limit
/// (a probe is slow above it, too) ...
const STRAIN_LIMIT_SHARE: f64 = 0.4;
/// ... or if more than this share of the tries fails there. A zone is unreachable if less than this share
/// of the expected tries succeed.
const STRAIN_FAILURE_SHARE: f64 = 0.1;
/// The fleet is overloaded if its median time exceeds this share of the lowest soft limit.
const OVERLOAD_LIMIT_SHARE: f64 = 0.9;
/// Below this share of the sustained rate of tries, slow answers come from a backlog that drains:
/// admission is not lowered further.
const BACKLOG_RATE_SHARE: f64 = 0.5;
/// Factor on the health of a slow server at each step.
const HEALTH_STEP: f64 = 0.6;
/// Slow servers whose health is at or below this are not reduced further.
const MIN_REDUCED_HEALTH: f64 = 0.1;
/// Share of the listed weight of ready servers that may be lost to bad health.
const MAX_EJECTED_SHARE: f64 = 0.35;
/// A cold server is sent at most this share of the load that it breaks down at.
const COLD_LOAD_SHARE: f64 = 0.4;
/// Factor on that limit until the load of the fleet is known.
const COLD_UNKNOWN_LOAD_FACTOR: f64 = 0.25;
/// Divisor of that limit while the fleet is overloaded.
const COLD_OVERLOAD_DIVISOR: f64 = 3.0;
/// Growth of a cold server's weight per publication while it answers fast and gets few tries.
const COLD_GROWTH_FACTOR: f64 = 1.5;
/// Time that a server stays ejected; a quarter of it in a strained fleet. A cold server whose probe
/// failed gets no weight for as long.
const EJECTION_TICKS: f64 = 2.5;
/// How often that time can double for a server that fails again and again.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// A part of the table is so small that a proxy's visits to one server are this share of the idle
/// timeout apart on average: connections then stay open.
const IDLE_TIMEOUT_SHARE: f64 = 0.15;
/// A part has at least this share of the number of servers that a proxy picks by itself at its start.
const INITIAL_SERVERS_SHARE: f64 = 0.5;
/// A weight that falls below this share of its published value is published before the next tick.
const URGENT_DROP_SHARE: f64 = 0.7;
/// Share of the channel's queue that ordinary lines may fill.
const QUEUE_SHARE: f64 = 0.5;
/// Share of the channel's queue that large drops in weight and servers allowed again may fill.
const URGENT_QUEUE_SHARE: f64 = 0.7;
/// Proxies are moved to another part if their own has this many times the load.
const REBALANCE_FACTOR: f64 = 1.2;
/// At this many times the load, moving them is urgent.
const URGENT_REBALANCE_FACTOR: f64 = 2.0;
/// Share of a proxy's message limit that ordinary messages may use.
const MESSAGE_SHARE: f64 = 0.7;
/// Share of a proxy's message limit that urgent messages may use.
const URGENT_MESSAGE_SHARE: f64 = 0.85;
/// Factor on the load of parts in other zones, so that the proxy's own zone is preferred.
const OTHER_ZONE_FACTOR: f64 = 1.1;

/// Decides on weights, admission levels, bindings and probes from roster updates and load reports.
pub struct Planner {
    now: f64,
    settings: DerivedSettings,
    /// Servers by index; an index that no roster has named yet has a placeholder.
    servers: Vec<Server>,
    /// Joined proxies, by index.
    proxies: BTreeMap<usize, Proxy>,
    /// Proxies that left recently, with the time.
    departed: BTreeMap<usize, (f64, Proxy)>,
    /// The parts of the shared table and the messages to their proxies.
    channel: Channel,
    /// By zone: no joined proxy reaches it.
    unreachable: Vec<bool>,
    /// By zone: it is used out of need although nothing shows that it is reachable again.
    on_trial: Vec<bool>,
    /// Share of the visits with the highest earnings that is admitted.
    admission_level: f64,
    /// When the level was last adjusted.
    level_changed_at: f64,
    /// Levels as last ordered, by class.
    ordered_levels: Vec<Level>,
    /// Highest rate of tries, per millisecond and unit of weight, that the fleet has served without
    /// overload.
    sustained_rate: f64,
    /// Which parts of the shared table are overloaded, or soon will be.
    forecast: OverloadForecast,
    fleet: FleetStats,
    /// Totals of the reports since the last decision.
    reports: ReportTotals,
    /// Time of the next regular publication of weights.
    next_tick: f64,
    /// Time at which withdrawals that are being gathered are sent; infinite if there are none.
    next_withdrawal_at: f64,
    /// Time of the next decision as last ordered.
    wake_at: f64,
    /// When to request the roster; infinite if it needn't be.
    request_roster_at: f64,
    rng: Rng,
    /// The orders of the current decision.
    orders: Orders,
}

/// What proxies do with the visits of a class.
#[derive(Clone, Copy, PartialEq)]
struct Level {
    /// Share of the visits that is admitted.
    share: f64,
    retry_policy: RetryPolicy,
}

/// The weight that a server should have in the shared table.
struct TargetWeight {
    server: usize,
    part: usize,
    weight: f64,
}

/// Totals of a part of the shared table that its servers' target weights depend on.
#[derive(Clone, Default)]
struct PartTotals {
    /// A server of it has health and is in a reachable zone.
    has_healthy: bool,
    /// A server of it is warm and has a weight.
    has_warm: bool,
    /// Weight of its warm servers.
    warm_weight: f64,
    /// The same, less the share of their tries that fails.
    answering_weight: f64,
    /// Weight of its cold servers, each times the share of its capacity that it has.
    cold_weight: f64,
    /// Recent tries at its servers.
    tries: f64,
}

impl PartTotals {
    /// Weight of its servers, of which cold ones count with the capacity that they have.
    fn weight(&self) -> f64 {
        self.warm_weight + self.cold_weight
    }

    /// Share of that weight whose tries don't fail.
    fn answering_share(&self) -> f64 {
        (self.answering_weight + self.cold_weight) / self.weight().max(f64::MIN_POSITIVE)
    }
}

/// Changes the state and adds to the orders if its condition holds; returns whether it did.
type Rule = fn(&mut Planner) -> bool;
/// Whether the reports speak against a server.
type Verdict = fn(&Planner, &Server) -> bool;

/// All rules, in the order of evaluation.
const RULES: [Rule; 14] = [
    Planner::request_roster,
    Planner::split_table,
    Planner::assign_server_to_part,
    Planner::withdraw_unready_server,
    Planner::allow_ready_server,
    Planner::detect_unreachable_zone,
    Planner::reopen_zone,
    Planner::eject_failing_server,
    Planner::reduce_slow_server,
    Planner::restore_health,
    Planner::set_admission_and_retries,
    Planner::publish_weights,
    Planner::bind_proxy,
    Planner::probe_uncertain_server,
];

/// Whether there are enough tries to judge a server; in a clear case half as many do.
fn has_enough_tries(total: &Bucket, clear: bool) -> bool {
    total.tries >= if clear { MIN_TRIES / 2.0 } else { MIN_TRIES }
}

impl Planner {
    /// Creates a planner at the time `now`, without servers or proxies.
    pub fn new(now: f64, seed: u64, settings: &PlannerSettings) -> Planner {
        let soft_limits = settings.classes.iter().map(|c| c.soft_limit_ms);
        let earnings = settings.classes.iter().map(|c| c.earnings);
        let highest = earnings.clone().fold(0.0, f64::max);
        let message_limit = budget::message_limit(settings);
        let message_overhead_lines = settings.message_overhead_lines + 1.0;
        let level = Level {
            share: 1.0,
            retry_policy: settings.default_retry_policy,
        };
        Planner {
            now,
            settings: DerivedSettings {
                report_interval_ms: settings.report_interval_ms,
                max_report_lines: settings.report_lines_per_ms * settings.report_interval_ms,
                bucket_ms: settings.report_interval_ms.max(TICK_MS / 2.0),
                min_soft_limit_ms: soft_limits.fold(f64::INFINITY, f64::min),
                level_exponents: earnings.map(|e| highest / e.max(highest / 8.0)).collect(),
                max_queued_lines: settings.max_queued_lines,
                max_in_flight_lines: settings.lines_per_ms * settings.message_latency_ms,
                message_overhead_lines,
                max_withdrawal_interval_ms: budget::max_withdrawal_interval_ms(
                    settings.drain_grace_ms,
                    message_limit,
                ),
                initial_servers: settings.initial_servers,
                max_visit_gap_ms: settings.idle_timeout_ms * IDLE_TIMEOUT_SHARE,
                cold_capacity_share: settings.cold_capacity_share,
                warm_up_ms: settings.warm_up_ms,
                proxies_avoid_failing_servers: settings.failures_until_avoided > 0,
                max_cold_load: settings.overload_multiple * COLD_LOAD_SHARE,
                keep_unlisted_servers: settings.keep_unlisted_servers,
                may_probe: settings.may_probe,
                may_limit_admission: settings.admission == Admission::Share,
                has_shared_table: !settings.sharded,
            },
            channel: Channel::new(message_overhead_lines, message_limit),
            servers: Vec::new(),
            proxies: BTreeMap::new(),
            departed: BTreeMap::new(),
            unreachable: vec![false; settings.zones],
            on_trial: vec![false; settings.zones],
            admission_level: 1.0,
            level_changed_at: now,
            ordered_levels: vec![level; settings.classes.len()],
            sustained_rate: 0.0,
            forecast: OverloadForecast::default(),
            fleet: FleetStats::default(),
            reports: ReportTotals::default(),
            next_tick: now + TICK_MS,
            next_withdrawal_at: f64::INFINITY,
            wake_at: now,
            request_roster_at: if settings.must_request_roster {
                now
            } else {
                f64::INFINITY
            },
            rng: Rng::new(seed),
            orders: Orders::default(),
        }
    }

    // ---- events ----

    /// A list of roster entries arrived.
    pub fn roster_changed(&mut self, now: f64, update: RosterUpdate, roster: &[RosterEntry]) {
        self.now = now;
        let is_listed =
            |s| update == RosterUpdate::Changes || roster.iter().any(|entry| entry.server == s);
        for s in (0..self.servers.len()).filter(|s| !is_listed(*s)) {
            self.mark_gone(s);
        }
        for entry in roster {
            self.apply_entry(entry, update == RosterUpdate::Restored);
        }
    }

    /// Marks a server as gone. Where unlisted servers may stay, one that is ready and has some health
    /// does, so that a wrong roster doesn't withdraw working servers.
    fn mark_gone(&mut self, s: usize) {
        let keep_unlisted = self.settings.keep_unlisted_servers;
        let Some(server) = self.servers.get_mut(s) else {
            return;
        };
        if !(keep_unlisted && server.is_ready() && server.health > 0.0) {
            server.admin_state = AdminState::Gone;
        }
    }

    /// Applies one roster entry.
    fn apply_entry(&mut self, entry: &RosterEntry, restored: bool) {
        if entry.admin_state == AdminState::Gone {
            return self.mark_gone(entry.server);
        }
        let (now, zones) = (self.now, self.unreachable.len());
        while self.servers.len() <= entry.server {
            self.servers.push(Server::unknown(zones));
        }
        let warm_up_ms = self.settings.warm_up_ms;
        let server = &mut self.servers[entry.server];
        let recent_start = entry.started_ms.filter(|at| now - at < warm_up_ms);
        let returned = !server.is_ready() && entry.admin_state == AdminState::Ready;
        let restarted = recent_start.is_some() && entry.started_ms != server.started_at;
        server.zone = entry.zone;
        server.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        server.started_at = entry.started_ms;
        server.admin_state = entry.admin_state;
        if restored && !server.listed {
            // Listed when the controller started: no ramp, unless the server itself started recently.
            server.ramp_started_at = recent_start.unwrap_or(f64::NEG_INFINITY);
        } else if restarted || returned {
            server.ramp_started_at = now;
            server.health = 1.0;
            server.health_changed_at = now;
            server.zone_stats = vec![ZoneStats::since(now); zones];
        }
        server.listed = true;
    }

    /// An index stands for another server from now on. An earlier server of its name may have been withdrawn.
    pub fn index_reassigned(&mut self, server: usize) {
        let zones = self.unreachable.len();
        while self.servers.len() <= server {
            self.servers.push(Server::unknown(zones));
        }
        let part = self.servers[server].part;
        self.servers[server] = Server::reassigned(zones, part);
    }

    /// The source of the roster was lost; the roster is requested again after a tick.
    pub fn roster_lost(&mut self, now: f64) {
        self.request_roster_at = now + TICK_MS;
    }

    /// A proxy joined; `visit_rate` is the number of visits per millisecond that come to it. Messages
    /// sent to it before it left still count, as message limits apply to a proxy and not to one of its
    /// streams.
    pub fn proxy_joined(&mut self, proxy: usize, zone: usize, visit_rate: f64) {
        let mut joined = Proxy::new(zone, visit_rate, self.ordered_levels.len());
        if let Some((_, before)) = self.departed.remove(&proxy) {
            joined.restore_messages(before);
        }
        self.proxies.insert(proxy, joined);
    }

    /// A proxy left.
    pub fn proxy_left(&mut self, proxy: usize) {
        let left = self.proxies.remove(&proxy);
        self.departed.extend(left.map(|p| (proxy, (self.now, p))));
    }

    /// The message that binds a proxy was not delivered; the proxy will be bound again.
    pub fn binding_lost(&mut self, proxy: usize) {
        if let Some(p) = self.proxies.get_mut(&proxy) {
            p.part = None;
        }
    }

    /// A proxy acknowledged the message with this mark and all before it.
    pub fn orders_applied(&mut self, proxy: usize, mark: u32) {
        let proxy = self.proxies.get_mut(&proxy);
        let message = proxy.and_then(|p| p.acknowledge(mark));
        self.channel.acknowledge(message);
    }

    /// A report of tries at a server arrived.
    pub fn tries_reported(&mut self, now: f64, stats: &TryStats) {
        let server = self.servers.get_mut(stats.server);
        if let Some(server) = server.filter(|_| stats.tries > 0.0) {
            server.zone_stats[stats.zone].record(now, self.settings.bucket_ms, stats);
            self.reports.record(stats, self.settings.report_interval_ms);
        }
    }

    /// A report of the visits that came to a proxy arrived.
    pub fn visits_reported(&mut self, proxy: usize, class: usize, visits: f64, window_ms: f64) {
        self.reports.lines += 1.0;
        if let Some(p) = self.proxies.get_mut(&proxy) {
            let window_ms = window_ms.max(self.settings.report_interval_ms);
            p.visits_reported(class, visits / window_ms);
        }
    }

    /// A probe of a server ended after `took_ms`.
    pub fn probe_answered(&mut self, now: f64, server: usize, healthy: bool, took_ms: f64) {
        let slow = took_ms > self.settings.min_soft_limit_ms * STRAIN_LIMIT_SHARE;
        if let Some(s) = self.servers.get_mut(server) {
            if healthy {
                s.probe_succeeded_at = now;
            }
            if !healthy || slow {
                s.probe_failed_at = now;
            }
        }
    }

    // ---- rules: each has a condition, and an effect that makes the condition false ----

    /// Requests the roster when that is due.
    fn request_roster(&mut self) -> bool {
        let due = self.now >= self.request_roster_at;
        if due {
            self.request_roster_at = f64::INFINITY;
            self.orders.request_roster = true;
        }
        due
    }

    /// Splits the shared table into parts, once, if there are more servers than a proxy's visits can
    /// keep connections open to. Prevents a new connection for every visit, costly handshakes, servers
    /// with too many connections, and tables too large for the channel. Does harm if the load differs
    /// between parts.
    fn split_table(&mut self) -> bool {
        let proxies = self.proxies.len() as f64;
        let servers = self.ready_servers().count() as f64;
        let done = !self.channel.parts.is_empty() || !self.settings.has_shared_table;
        if done || proxies * servers == 0.0 {
            return false;
        }
        let visit_rate = self.proxies.values().map(|p| p.visit_rate).sum::<f64>() / proxies;
        let connected = visit_rate * self.settings.max_visit_gap_ms;
        let part_size = connected.max(self.settings.initial_servers * INITIAL_SERVERS_SHARE);
        let part_count = if visit_rate > 0.0 {
            servers / part_size
        } else {
            1.0
        };
        for zone in 0..self.unreachable.len() {
            let in_zone = self.ready_servers().filter(|s| s.zone == zone).count() as f64;
            let zone_parts = (part_count * in_zone / servers).ceil() as usize;
            let zone_parts = vec![Part::new(Some(zone)); zone_parts];
            self.channel.parts.extend(zone_parts);
        }
        if part_count < 1.5 {
            self.channel.parts = vec![Part::new(None)];
        }
        true
    }

    /// Assigns a new server to the part with the fewest servers, in its own zone if that has a part.
    fn assign_server_to_part(&mut self) -> bool {
        let Some(s) = self.find_server(|s| s.is_ready() && s.part.is_none()) else {
            return false;
        };
        let (zone, parts) = (self.servers[s].zone, &self.channel.parts);
        let preference = |part: &usize| {
            let assigned = self.ready_servers().filter(|o| o.part == Some(*part));
            (parts[*part].is_in_other_zone(zone), assigned.count())
        };
        self.servers[s].part = (0..parts.len()).min_by_key(preference);
        !self.channel.parts.is_empty()
    }

    /// Withdraws a server that is draining or gone from all tables, unless no ready server has a weight yet:
    /// at once, or gathered with others while the limit on messages runs low.
    fn withdraw_unready_server(&mut self) -> bool {
        self.next_withdrawal_at = f64::INFINITY;
        let expects_weight = self.ready_servers().next().is_some() && !self.proxies.is_empty();
        let no_weight = !self.ready_servers().any(|s| s.published_weight > 0.0);
        if expects_weight && no_weight {
            return false;
        }
        let is_due = |s: &&Server| s.listed && !s.is_ready() && !s.is_withdrawn();
        let mut earliest = (f64::INFINITY, None);
        for (index, server) in self.servers.iter().enumerate().filter(|(_, s)| is_due(s)) {
            let at = self.next_withdrawal_of(server);
            if at < earliest.0 {
                earliest = (at, Some(index));
            }
        }
        match earliest {
            (at, Some(s)) if at <= self.now => self.set_withdrawn(s, true, WITHDRAWAL_QUEUE_SHARE),
            (at, _) => {
                self.next_withdrawal_at = at;
                false
            }
        }
    }

    /// Allows a server that is ready again and is withdrawn, or may be.
    fn allow_ready_server(&mut self) -> bool {
        // A cold server must have a low weight first.
        let is_low = |s: &Server| s.published_weight <= s.weight * self.capacity_share(s);
        let due = |s: &Server| s.is_ready() && s.may_be_withdrawn() && (!s.cold || is_low(s));
        let found =
            self.find_server(|s| due(s) && self.may_send(MESSAGE_SHARE, self.messages_of_part(s)));
        found.is_some_and(|s| self.set_withdrawn(s, false, URGENT_QUEUE_SHARE))
    }

    /// Detects a network partition: no proxy of a zone is joined, and its servers answer almost nothing
    /// to the other zones, or in a split table get no visits from them. The link is taken to be at
    /// fault: the servers leave the table together, keep their health and return together. Also covers
    /// a zone without power. Does harm if a zone without proxies has few servers and all of them fail.
    fn detect_unreachable_zone(&mut self) -> bool {
        let is_cut_off = |zone: &usize| {
            if self.unreachable[*zone] || self.zone_has_proxies(*zone) {
                return false;
            }
            let buckets = self.fleet.recent_buckets - 1;
            let inside = state::remote_successes(&self.servers, *zone, true, buckets);
            let outside = state::remote_successes(&self.servers, *zone, false, buckets);
            let expected =
                outside.successes * inside.weight / outside.weight.max(f64::MIN_POSITIVE);
            let unanswered =
                expected >= MIN_TRIES && inside.successes < expected * STRAIN_FAILURE_SHARE;
            if self.on_trial[*zone] {
                unanswered && self.zone_has_tries(*zone)
            } else {
                unanswered || self.channel.parts.len() > 1
            }
        };
        let Some(zone) = (0..self.unreachable.len()).find(is_cut_off) else {
            return false;
        };
        self.reset_zone(zone, true, "is cut off");
        true
    }

    /// Uses an unreachable zone again, without a ramp, when one of its proxies has joined, or in a table
    /// without parts when one of its servers has answered a probe. A split table has no proxies for such
    /// a zone. There it is tried with the visits of other zones when these need it: at once if no
    /// reachable zone has a warm server, or after the time of a ramp if these are strained. Where probes
    /// are allowed, one must have been answered. Prevents overload of one zone next to idle ones, and
    /// all proxies of a lost zone falling on its first servers to return. Does harm while the partition
    /// lasts.
    fn reopen_zone(&mut self) -> bool {
        let answers = |s: &Server| s.is_ready() && s.probe_succeeded_at > s.health_changed_at;
        let has_answer = |zone| self.find_server(|s| s.zone == zone && answers(s)).is_some();
        // The condition under which `detect_unreachable_zone` doesn't close the zone again.
        let is_split = self.channel.parts.len() > 1;
        let is_reached = |zone| self.zone_has_proxies(zone) || !is_split && has_answer(zone);
        let is_usable = |s: &Server| s.is_ready() && !s.cold && !self.unreachable[s.zone];
        let none_usable = self.find_server(is_usable).is_none();
        let strained = self.is_strained(self.fleet.median, STRAIN_LIMIT_SHARE);
        let changed = |s: &Server| self.now - s.health_changed_at < RAMP_TICKS * TICK_MS;
        let waited = |zone| self.find_server(|s| s.zone == zone && changed(s)).is_none();
        let is_needed = |zone: usize| {
            // At once only if the zone wasn't tried this way before.
            let first_trial = none_usable && !self.on_trial[zone];
            let later_trial = (none_usable || strained) && waited(zone);
            first_trial || later_trial
        };
        let may_be_tried = |zone| !self.settings.may_probe || has_answer(zone);
        let reopens = |zone: &usize| {
            let is_tried = is_needed(*zone) && may_be_tried(*zone);
            self.unreachable[*zone] && (is_reached(*zone) || is_tried)
        };
        let Some(zone) = (0..self.unreachable.len()).find(reopens) else {
            return false;
        };
        self.on_trial[zone] = !is_reached(zone);
        self.next_tick = self.now;
        self.reset_zone(zone, false, "is reached again");
        true
    }

    /// Ejects a server that fails much more often than the fleet, by errors or by timeouts. Covers
    /// servers that accept visits and never answer, and machines that disappeared but are still in the
    /// roster. Does harm if one class of visits always fails and goes to few servers.
    fn eject_failing_server(&mut self) -> bool {
        self.penalize(Planner::is_failing, 0.0, self.fleet.median, "failing")
    }

    /// Reduces the weight of a server that is slower than the fleet, or listed with too high a weight,
    /// by one step at a time. Does harm if costly visits hit one server by chance.
    fn reduce_slow_server(&mut self) -> bool {
        let is_slow: Verdict = |p, s| s.health > MIN_REDUCED_HEALTH && p.is_slow(s, OUTLIER_FACTOR);
        self.penalize(is_slow, HEALTH_STEP, self.fleet.best_quarter, "slow")
    }

    /// Lets health return: an ejected server starts a ramp once it has answered a probe (which alone
    /// proves little), a reduced one gains one step. Each needs a time that doubles with every earlier
    /// return, so that a flapping server doesn't regain its weight.
    fn restore_health(&mut self) -> bool {
        let now = self.now;
        let needs_probe = self.settings.may_probe;
        let strained = self.is_strained(self.fleet.median, STRAIN_LIMIT_SHARE);
        let ticks = if strained {
            EJECTION_TICKS / 4.0
        } else {
            EJECTION_TICKS
        };
        let ejection_ms = TICK_MS * ticks * (1.0 + 0.1 * self.rng.next_unit());
        let backoff = |s: &Server| f64::from(1 << s.recoveries.min(MAX_EJECTION_DOUBLINGS));
        let is_due = |s: &Server| {
            let unchanged_ms = now - s.health_changed_at;
            if s.health == 0.0 {
                let answered = s.probe_succeeded_at > s.health_changed_at;
                unchanged_ms > ejection_ms * backoff(s) && (!needs_probe || answered)
            } else {
                let step_ms = RAMP_TICKS * TICK_MS * backoff(s);
                unchanged_ms > step_ms && !self.is_slow(s, OUTLIER_FACTOR / 2.0)
            }
        };
        let found = self.find_server(|s| s.is_ready() && s.health < 1.0 && is_due(s));
        let Some(server) = found.map(|s| &mut self.servers[s]) else {
            return false;
        };
        if server.health == 0.0 {
            server.health = 1.0;
            server.ramp_started_at = now;
        }
        server.health = (server.health / HEALTH_STEP).min(1.0);
        server.health_changed_at = now;
        server.recoveries += 1;
        true
    }

    /// Orders retries for all classes where the first try provably never ran, as these can't repeat an
    /// effect. Where proxies support admission levels, also lowers them in overload, and most for the
    /// classes with the lowest earnings.
    fn set_admission_and_retries(&mut self) -> bool {
        if self.settings.may_limit_admission && self.now - self.level_changed_at >= TICK_MS {
            let try_rate = self.fleet.try_rate(self.recent_window_ms());
            let is_loaded = try_rate >= BACKLOG_RATE_SHARE * self.sustained_rate;
            let overloaded = is_loaded && self.is_strained(self.fleet.median, OVERLOAD_LIMIT_SHARE);
            let level = if overloaded {
                self.admission_level * 0.8
            } else {
                self.admission_level + 0.1
            };
            self.admission_level = level.clamp(0.1, 1.0);
            self.level_changed_at = self.now;
        }
        let class_level = |exponent: &f64| Level {
            share: self.admission_level.powf(*exponent),
            retry_policy: RetryPolicy::OnProof,
        };
        let exponents = self.settings.level_exponents.iter();
        let levels: Vec<_> = exponents.map(class_level).collect();
        let parts = self.channel.parts.len();
        let part_cost = |part| self.channel.cost(Some(part), levels.len() as f64);
        if levels == self.ordered_levels
            || parts == 0
            || !self.fits_queue(QUEUE_SHARE, (0..parts).map(part_cost).sum())
            || !self.may_send(MESSAGE_SHARE, self.channel.message_usage(None))
        {
            return false;
        }
        for (class, level) in levels.iter().enumerate() {
            for part in (0..parts).filter(|_| self.ordered_levels[class] != *level) {
                self.channel.add(Some(part), 1.0, 0.0);
                let order = (part, class, level.share, level.retry_policy);
                self.orders.levels.push(order);
            }
        }
        self.ordered_levels = levels;
        true
    }

    /// Publishes changed weights of the shared table, on the tick. Large drops, as of restarted or
    /// failing servers, and lines of an empty part are published at once. Lines are written as far as
    /// the limits of the channel allow, the largest drops first; the others wait.
    fn publish_weights(&mut self) -> bool {
        let on_tick = self.now >= self.next_tick;
        if on_tick {
            self.next_tick = self.now + TICK_MS;
        }
        let parts = self.part_totals();
        self.forecast_overload(&parts);
        let targets = self.target_weights(&parts);
        let published = |t: &TargetWeight| self.servers[t.server].published_weight;
        // Parts in which a server has a weight and keeps one.
        let mut keeps_weight = vec![false; self.channel.parts.len()];
        for t in &targets {
            keeps_weight[t.part] |= t.weight > 0.0 && published(t) > 0.0;
        }
        let parts = 0..self.channel.parts.len();
        let is_empty: Vec<_> = parts.map(|part| self.part_is_empty(part)).collect();
        let is_due = |t: &TargetWeight| {
            let server = &self.servers[t.server];
            let shut_out = server.is_withdrawn() && !server.is_ready();
            let drops = t.weight < published(t) * URGENT_DROP_SHARE && !shut_out;
            let urgent = is_empty[t.part] || keeps_weight[t.part] && drops;
            let differs = (t.weight - published(t)).abs() > WEIGHT_TOLERANCE * published(t);
            let changed = differs || (t.weight == 0.0) != (published(t) == 0.0);
            changed && (on_tick || urgent)
        };
        let mut due: Vec<_> = targets.into_iter().filter(is_due).collect();
        // Drops sort below 1, the largest first; rises sort above it.
        let rank = |t: &TargetWeight| {
            if t.weight < published(t) {
                t.weight / published(t)
            } else {
                1.0 + published(t) / t.weight
            }
        };
        due.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
        let mut wrote = false;
        for t in due {
            let urgent = t.weight < self.servers[t.server].published_weight * URGENT_DROP_SHARE;
            let (queue_share, message_share) = if urgent {
                (URGENT_QUEUE_SHARE, URGENT_MESSAGE_SHARE)
            } else {
                (QUEUE_SHARE, MESSAGE_SHARE)
            };
            if !self.fits_queue(queue_share, self.channel.cost(Some(t.part), 1.0)) {
                break;
            }
            if !self.may_send(message_share, self.channel.message_usage(Some(t.part))) {
                continue;
            }
            wrote = true;
            self.channel.add(Some(t.part), 1.0, 0.0);
            self.servers[t.server].set_published_weight(t.weight);
            self.orders
                .lines
                .retain(|(_, server, _)| *server != t.server);
            self.orders.lines.push((t.part, t.server, t.weight));
        }
        wrote || on_tick
    }

    /// Binds a new proxy to the part with the least load, preferably of its own zone; until then the
    /// proxy keeps the table that it has. Moves proxies from a part with much more load per weight than
    /// another, as after servers left, and at once from a part without weight. Proxies that left count
    /// for the time of a ramp, since they keep their tables and their visits return. Without that, the
    /// parts of a zone that is being cut off would seem idle while its proxies leave.
    fn bind_proxy(&mut self) -> bool {
        let (now, ramp_ms) = (self.now, RAMP_TICKS * TICK_MS);
        let kept_ms = ramp_ms.max(self.channel.message_limit.window_ms);
        self.departed
            .retain(|_, (left_at, _)| now - *left_at < kept_ms);
        let departed = self.departed.values();
        let departed = departed.filter(|(left_at, _)| now - left_at < ramp_ms);
        let proxies = self.proxies.values().chain(departed.map(|(_, p)| p));
        let excluded_zones = self.excluded_zones();
        let loads = self.channel.loads(&self.servers, proxies, &excluded_zones);
        // Visits per weight of a part to which `more` visits are added, as the proxy rates it.
        let load = |p: &Proxy, part: usize, more: f64| {
            let is_remote = self.channel.parts[part].is_in_other_zone(p.zone);
            let factor = if is_remote { OTHER_ZONE_FACTOR } else { 1.0 };
            (loads[part].visit_rate + more) / loads[part].weight * factor
        };
        let least_loaded = |p: &Proxy| {
            let parts = (0..loads.len()).filter(|part| loads[*part].weight > 0.0);
            parts.min_by(|a, b| load(p, *a, p.visit_rate).total_cmp(&load(p, *b, p.visit_rate)))
        };
        let is_overloaded = |p: &Proxy, part: usize, factor: f64| {
            let is_better = |to| load(p, part, 0.0) > factor * load(p, to, p.visit_rate);
            let can_improve = || p.visit_rate > 0.0 && least_loaded(p).is_some_and(is_better);
            loads[part].weight == 0.0 || can_improve()
        };
        // The limit counts the proxy's own messages; urgent moves may use more of it.
        let moves = |p: &Proxy| {
            let overloaded = p
                .part
                .filter(|part| is_overloaded(p, *part, REBALANCE_FACTOR));
            overloaded.is_some_and(|part| {
                let share = if is_overloaded(p, part, URGENT_REBALANCE_FACTOR) {
                    URGENT_MESSAGE_SHARE
                } else {
                    MESSAGE_SHARE
                };
                let sent = p.message_usage(now, self.channel.message_limit);
                self.may_move(share, sent)
            })
        };
        let unbound = self.proxies.iter().find(|(_, p)| p.part.is_none());
        let found = unbound.or_else(|| self.proxies.iter().find(|(_, p)| moves(p)));
        let Some((i, part)) = found.and_then(|(i, p)| Some((*i, least_loaded(p)?))) else {
            return false;
        };
        let lines = self.binding_lines(part);
        let is_bound = self.orders.bindings.iter().any(|(proxy, _)| *proxy == i);
        if is_bound || !self.fits_queue(QUEUE_SHARE, lines) {
            return false;
        }
        self.channel.add(None, 0.0, lines);
        self.orders.bindings.push((i, part));
        if let Some(proxy) = self.proxies.get_mut(&i) {
            proxy.part = Some(part);
            proxy.binding_lines = lines;
        }
        true
    }

    /// Probes a server that is ejected, cold or in an unreachable zone: it gets few visits or none, and
    /// the absence of failures doesn't show that it works.
    fn probe_uncertain_server(&mut self) -> bool {
        let is_uncertain = |s: &Server| s.health == 0.0 || s.cold || self.unreachable[s.zone];
        let is_due = |s: &Server| self.now - s.probed_at >= TICK_MS / 2.0;
        let may_probe = self.settings.may_probe;
        let found = self.find_server(|s| may_probe && s.is_ready() && is_uncertain(s) && is_due(s));
        let Some(s) = found else {
            return false;
        };
        self.servers[s].probed_at = self.now;
        self.orders.probes.push(s);
        true
    }

    // ---- conditions and values that the rules use ----

    /// Index of the first server that passes the test.
    fn find_server(&self, test: impl Fn(&Server) -> bool) -> Option<usize> {
        self.servers.iter().position(test)
    }

    /// All servers whose admin state is ready.
    fn ready_servers(&self) -> impl Iterator<Item = &Server> + Clone {
        self.servers.iter().filter(|s| s.is_ready())
    }

    /// All servers that are in a part of the table, with its index.
    fn assigned_servers(&self) -> impl Iterator<Item = (&Server, usize)> {
        self.servers
            .iter()
            .filter_map(|s| s.part.map(|part| (s, part)))
    }

    /// Whether servers of a zone have been tried recently.
    fn zone_has_tries(&self, zone: usize) -> bool {
        let servers = self.ready_servers().filter(|s| s.zone == zone);
        servers.map(|s| s.recent.tries).sum::<f64>() >= MIN_TRIES
    }

    /// Whether a proxy of a zone is joined.
    fn zone_has_proxies(&self, zone: usize) -> bool {
        self.proxies.values().any(|p| p.zone == zone)
    }

    /// By zone: proxies are not bound to its servers. These are the unreachable zones, unless no other zone
    /// has a server with a published weight: a server that may not answer is better than none.
    fn excluded_zones(&self) -> Vec<bool> {
        let is_open =
            |s: &Server| s.is_ready() && !s.may_be_withdrawn() && s.published_weight > 0.0;
        let is_reachable = |s: &Server| is_open(s) && !self.unreachable[s.zone];
        if self.find_server(is_reachable).is_some() {
            self.unreachable.clone()
        } else {
            vec![false; self.unreachable.len()]
        }
    }

    /// Whether a part has ready servers, but none with a published weight.
    fn part_is_empty(&self, part: usize) -> bool {
        let servers = self.ready_servers().filter(|s| s.part == Some(part));
        let mut servers = servers.peekable();
        servers.peek().is_some() && !servers.any(|s| s.published_weight > 0.0)
    }

    /// Withdraws a server or allows it again, if its lines fit into a share of the queue.
    fn set_withdrawn(&mut self, s: usize, withdrawn: bool, queue_share: f64) -> bool {
        let part = self.servers[s].part;
        let unbound_lines = self.unbound_withdrawal_lines();
        if !self.fits_queue(queue_share, unbound_lines + self.channel.cost(part, 1.0)) {
            return false;
        }
        self.channel.add(part, 1.0, unbound_lines);
        self.servers[s].withdrawal = if withdrawn {
            Withdrawal::Ordered
        } else {
            Withdrawal::Absent
        };
        self.orders.withdrawals.push((s, withdrawn));
        true
    }

    /// Updates the statistics of the fleet, once per input. In a large fleet, report lines are queued
    /// before they arrive: then the recent time is extended to reach back to the newest of them.
    fn update_fleet_stats(&mut self) {
        let reports = std::mem::take(&mut self.reports);
        if reports.tries > 0.0 {
            let others_queued =
                reports.lines >= self.settings.max_report_lines * REPORTS_FULL_SHARE;
            self.fleet.report_delay_ms = if others_queued {
                reports.delayed_tries_ms / reports.tries
            } else {
                0.0
            };
        }
        let delay_buckets = (self.fleet.report_delay_ms / self.settings.bucket_ms).ceil();
        self.fleet.recent_buckets = RECENT_BUCKETS.max(delay_buckets as u64 + 1);
        for s in &mut self.servers {
            s.update_recent(self.now, &self.settings, &self.fleet);
        }
        self.fleet.update(&self.servers);
        let overloaded = self.is_strained(self.fleet.median, OVERLOAD_LIMIT_SHARE);
        if self.fleet.used_weight > 0.0 && !overloaded {
            let try_rate = self.fleet.try_rate(self.recent_window_ms());
            self.sustained_rate = self.sustained_rate.max(try_rate);
            self.record_served_load();
        }
    }

    /// Records the load that the fleet serves without overload.
    fn record_served_load(&mut self) {
        let weight = self.part_totals().iter().map(PartTotals::weight).sum();
        let (lag_ms, visit_rate) = (self.report_lag_ms(), self.mean_visit_rate());
        self.forecast
            .record_served(self.now, lag_ms, visit_rate, weight);
    }

    /// Forecasts for each part whether its servers will be overloaded: by the fleet's load, and by
    /// the share of the part's servers that answers.
    fn forecast_overload(&mut self, parts: &[PartTotals]) {
        let fleet_weight: f64 = parts.iter().map(PartTotals::weight).sum();
        let (lag_ms, visit_rate) = (self.report_lag_ms(), self.mean_visit_rate());
        for (i, part) in parts.iter().enumerate() {
            let weight = fleet_weight * part.answering_share();
            let load = self
                .forecast
                .update_part(i, self.now, lag_ms, visit_rate, weight);
            if let Some(load) = load.filter(|_| part.cold_weight > 0.0) {
                let note = format!("part {i} will have {load:.1} times the load served so far");
                self.orders.notes.push(note);
            }
        }
    }

    /// Visits per millisecond that come to an average proxy.
    fn mean_visit_rate(&self) -> f64 {
        let visit_rate: f64 = self.proxies.values().map(|p| p.visit_rate).sum();
        visit_rate / (self.proxies.len() as f64).max(1.0)
    }

    /// Time until the effect of a change has been reported: reports cover one bucket, and may arrive
    /// another one later.
    fn report_lag_ms(&self) -> f64 {
        self.settings.bucket_ms * 2.0 + self.fleet.report_delay_ms
    }

    /// Whether the fleet as a whole is slow or failing at a quantile, so that others can't take over
    /// the load of one server.
    fn is_strained(&self, quantile: FleetQuantile, limit_share: f64) -> bool {
        quantile.failure_share > STRAIN_FAILURE_SHARE
            || quantile.mean_ms > self.settings.min_soft_limit_ms * limit_share
    }

    /// Whether a server fails for every zone that has tried it often enough; failures in one zone only
    /// point to a link. A server whose successful tries were slow is overloaded rather than broken:
    /// without it, the others would be overloaded next.
    fn is_failing(&self, s: &Server) -> bool {
        let buckets = self.fleet.recent_buckets;
        let min_share = FAILING_SHARE.max(self.fleet.median.failure_share * OUTLIER_FACTOR);
        let fails = |total: &Bucket| total.failure_share() >= min_share;
        let zones = s.zone_stats.iter().map(|zone| zone.total(0, buckets));
        let mut tried = zones.filter(|total| total.tries >= MIN_TRIES / 2.0);
        let longer = s.total(0, RECENT_BUCKETS * buckets);
        let fast_ms = self.settings.min_soft_limit_ms * SLOW_LIMIT_SHARE;
        let was_fast = longer.mean_ms().max(s.recent.mean_ms()) <= fast_ms;
        let clear =
            s.recent.successes() == 0.0 && self.fleet.median.failure_share <= STRAIN_FAILURE_SHARE;
        was_fast
            && has_enough_tries(&s.recent, clear)
            && fails(&s.recent)
            && tried.all(|total| fails(&total))
    }

    /// Whether a server was slow or didn't answer in each of the last buckets, so that one costly visit
    /// doesn't count. `factor` is the multiple of the best quarter's time that counts as slow.
    fn is_slow(&self, s: &Server, factor: f64) -> bool {
        let fast_ms = self.settings.min_soft_limit_ms * SLOW_LIMIT_SHARE;
        let limit_ms = (factor * self.fleet.best_quarter.mean_ms).max(fast_ms);
        let is_late = |total: Bucket| {
            total.mean_ms() > limit_ms || total.successes() == 0.0 && total.tries > 0.0
        };
        let clear = s.recent.mean_ms() > limit_ms * OUTLIER_FACTOR;
        let mut buckets = (1..=RECENT_BUCKETS).map(|back| s.total(back, 1));
        has_enough_tries(&s.recent, clear) && buckets.all(is_late)
    }

    /// Multiplies the health of the first server that `is_bad` holds for by `keep`. The total loss is
    /// limited, as failures of most of the fleet are not the fault of each server; the limit doesn't
    /// apply to reductions in a fleet without strain, which only redistribute the load. In a strained
    /// fleet, only servers without any successful try are affected.
    fn penalize(
        &mut self,
        is_bad: Verdict,
        keep: f64,
        quantile: FleetQuantile,
        word: &str,
    ) -> bool {
        let strained = self.is_strained(quantile, STRAIN_LIMIT_SHARE);
        let has_spare = self.fleet.median.mean_ms > SPREAD_FACTOR * self.fleet.best_quarter.mean_ms;
        let delay_ms = if has_spare {
            0.0
        } else {
            self.fleet.report_delay_ms
        };
        let settling_ms = self.settings.bucket_ms * self.fleet.recent_buckets as f64 + delay_ms;
        let allowed = |s: &Server| s.weight * (MAX_EJECTED_SHARE - 1.0 + s.health);
        let allowed_loss: f64 = self.ready_servers().map(allowed).sum();
        let is_affected = |s: &Server| {
            let redistributes = keep > 0.0 && !strained;
            let fits = redistributes || s.weight * s.health * (1.0 - keep) <= allowed_loss;
            let settled = self.now - s.health_changed_at > settling_ms || s.health == 1.0;
            let has_proxies = |part: usize| self.channel.parts[part].bound_proxies > 0.0;
            let is_used = s.part.is_some_and(has_proxies)
                && s.is_ready()
                && s.published_weight > 0.0
                && s.health > 0.0
                && !self.unreachable[s.zone];
            let is_needed = strained && s.recent.successes() > 0.0;
            is_used && fits && settled && !is_needed && is_bad(self, s)
        };
        let Some(s) = self.find_server(is_affected) else {
            return false;
        };
        let server = &mut self.servers[s];
        server.health *= keep;
        server.health_changed_at = self.now;
        let note = format!("server {s} is {word}: health {:.2}", server.health);
        self.orders.notes.push(note);
        true
    }

    /// Marks a zone as unreachable or reachable and resets the health and statistics of its servers,
    /// since what was reported of them was due to the link.
    fn reset_zone(&mut self, zone: usize, unreachable: bool, words: &str) {
        self.unreachable[zone] = unreachable;
        for s in self.servers.iter_mut().filter(|s| s.zone == zone) {
            s.health = 1.0;
            s.health_changed_at = self.now;
            s.zone_stats.fill(ZoneStats::since(self.now));
        }
        self.orders.notes.push(format!("zone {zone} {words}"));
    }

    /// The weight that each server should have: listed weight times ramp times health, limited for cold
    /// servers. In a part where no weight would remain, health and unreachable zones are ignored.
    fn target_weights(&self, parts: &[PartTotals]) -> Vec<TargetWeight> {
        let has_warm = parts.iter().any(|part| part.has_warm);
        let target = |(server, s): (usize, &Server)| {
            let part = s.part?;
            let weight = self.uncapped_weight(s, &parts[part]);
            let weight = if s.cold && has_warm {
                weight.min(self.max_cold_weight(s, &parts[part]))
            } else {
                weight
            };
            Some(TargetWeight {
                server,
                part,
                weight,
            })
        };
        self.servers.iter().enumerate().filter_map(target).collect()
    }

    /// Totals of each part of the shared table.
    fn part_totals(&self) -> Vec<PartTotals> {
        let mut parts = vec![PartTotals::default(); self.channel.parts.len()];
        for (s, part) in self.assigned_servers() {
            parts[part].has_healthy |= self.healthy_weight(s) > 0.0;
        }
        for (s, part) in self.assigned_servers() {
            let part = &mut parts[part];
            part.tries += s.recent.tries;
            if !s.cold {
                let weight = self.uncapped_weight(s, part);
                part.warm_weight += weight;
                part.answering_weight += weight * (1.0 - s.recent.failure_share());
                part.has_warm |= weight > 0.0;
            } else if s.is_ready() && !self.unreachable[s.zone] {
                part.cold_weight += s.weight * s.health * self.capacity_share(s);
            }
        }
        parts
    }

    /// Listed weight times ramp; 0 unless the server is ready.
    fn ramped_weight(&self, s: &Server) -> f64 {
        let ramp_done = (self.now - s.ramp_started_at) / (RAMP_TICKS * TICK_MS);
        let ramp = (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * ramp_done).min(1.0);
        if s.is_ready() { s.weight * ramp } else { 0.0 }
    }

    /// Listed weight times ramp times health; 0 in an unreachable zone.
    fn healthy_weight(&self, s: &Server) -> f64 {
        if self.unreachable[s.zone] {
            0.0
        } else {
            self.ramped_weight(s) * s.health
        }
    }

    /// The weight of a server without the limit for cold ones.
    fn uncapped_weight(&self, s: &Server, part: &PartTotals) -> f64 {
        if part.has_healthy {
            self.healthy_weight(s)
        } else {
            self.ramped_weight(s)
        }
    }

    /// The highest weight that a cold server may have, so that its load stays within its capacity.
    fn max_cold_weight(&self, s: &Server, part: &PartTotals) -> f64 {
        // Reports are delayed, but a slow probe shows at once that the server is sent too much.
        if self.now - s.probe_failed_at < EJECTION_TICKS * TICK_MS {
            return 0.0;
        }
        if part.has_warm && self.is_avoided_part(s) {
            return 0.0;
        }
        let max_share =
            self.cold_load_factor(part) * self.capacity_share(s) * self.settings.max_cold_load;
        // If hardly any other server answers, any weight at all would attract all visits.
        let max_share = if max_share < RAMP_START_SHARE / 2.0 {
            0.0
        } else {
            max_share
        };
        // While the server gets few tries and answers fast, its weight may grow.
        let max_rate =
            self.sustained_rate * s.weight * self.capacity_share(s) * self.settings.max_cold_load;
        let has_few_tries = s.recent.tries / self.recent_window_ms() < max_rate / 3.0;
        let fast_ms = self.settings.min_soft_limit_ms * SLOW_LIMIT_SHARE;
        let is_fast = s.recent.successes() > 0.0 && s.recent.mean_ms() < fast_ms;
        let growth = if has_few_tries && is_fast {
            COLD_GROWTH_FACTOR
        } else {
            0.0
        };
        (growth * s.published_weight).max(max_share * s.weight)
    }

    /// Whether proxies avoid the warm servers of a server's part, or soon will, since these are
    /// overloaded: then any weight at all would attract nearly all visits.
    fn is_avoided_part(&self, s: &Server) -> bool {
        let is_overloaded = |part| self.forecast.is_overloaded(part, self.now);
        self.settings.proxies_avoid_failing_servers && s.part.is_some_and(is_overloaded)
    }

    /// Factor on the load that a cold server of a part may get: how many times its current load the
    /// part's warm servers could take.
    fn cold_load_factor(&self, part: &PartTotals) -> f64 {
        // Without a known load, the fleet is assumed to be far above its capacity.
        let is_known = self.sustained_rate > 0.0 && part.tries > 0.0;
        let factor = if !is_known {
            COLD_UNKNOWN_LOAD_FACTOR
        } else if part.has_warm {
            // Proxies avoid servers that fail, so only the share that warm servers answer counts.
            part.answering_weight * self.sustained_rate / (part.tries / self.recent_window_ms())
        } else {
            // Without warm servers, the load of the part depends only on the proxies bound to it.
            1.0
        };
        if self.is_strained(self.fleet.median, OVERLOAD_LIMIT_SHARE) {
            factor / COLD_OVERLOAD_DIVISOR
        } else {
            factor
        }
    }

    /// Minimum share of its capacity that a server has at this time after its start.
    fn capacity_share(&self, s: &Server) -> f64 {
        let age_ms = s.started_at.map_or(f64::INFINITY, |at| self.now - at);
        let warm_share = (age_ms / self.settings.warm_up_ms).min(1.0);
        let cold_share = self.settings.cold_capacity_share;
        cold_share + (1.0 - cold_share) * warm_share
    }

    /// Length of the recent time. Its newest bucket is still filling, unless reports are delayed.
    fn recent_window_ms(&self) -> f64 {
        let filled = (self.fleet.report_delay_ms / self.settings.bucket_ms).min(1.0);
        self.settings.bucket_ms * ((self.fleet.recent_buckets - 1) as f64 + filled)
    }

    /// The status of each server, by index, for logs.
    pub fn server_statuses(&self) -> impl Iterator<Item = ServerStatus> + '_ {
        self.servers.iter().map(|s| ServerStatus {
            published_weight: s.published_weight,
            health: s.health,
            withdrawn: s.may_be_withdrawn(),
            cold: s.cold,
            tries: s.recent.tries,
            failed: s.recent.failed,
            mean_ms: s.recent.mean_ms(),
        })
    }

    /// Evaluates the rules until none fires, and returns the orders with the mark of the message and
    /// the time of the next call.
    pub fn decide(&mut self, now: f64) -> Orders {
        self.now = now;
        self.update_fleet_stats();
        self.channel.begin_message(now, &mut self.proxies);
        while RULES.iter().any(|rule| rule(self)) {}
        self.orders.mark = self.channel.finish_message(now, &mut self.proxies);
        let next_decision = self.next_tick.min(self.next_withdrawal_at);
        if self.wake_at <= now || next_decision < self.wake_at {
            self.wake_at = next_decision;
            self.orders.wake_at = Some(next_decision);
        }
        std::mem::take(&mut self.orders)
    }
}
