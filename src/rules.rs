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

use crate::state::{self, Bucket, Channel, DerivedSettings, FleetStats, Part, ReportTotals, Rng};
use crate::state::{Proxy, Server, ZoneStats};
use crate::{
    AdminState, Admission, Orders, PlannerSettings, RetryPolicy, RosterEntry, RosterUpdate,
    ServerStatus, TryStats,
};
use std::collections::BTreeMap;

/// Interval at which changed weights are published. Other delays are multiples of it.
const TICK_MS: f64 = 2000.0;
/// Time in which a returning server's weight rises linearly to its full value.
const RAMP_TICKS: f64 = 5.0;
/// Share of the full weight at which that rise starts.
const RAMP_START_SHARE: f64 = 0.1;
/// A weight is published again when it is off by more than this share.
const WEIGHT_TOLERANCE: f64 = 0.02;
/// Time buckets that count as recent. A server is slow if it was slow in each of as many.
const RECENT_BUCKETS: u64 = 3;
/// Recent tries that it takes to judge a server.
const MIN_TRIES: f64 = 8.0;
/// Other report lines are still queued if at least this share of the lines that can come in one
/// interval came.
const REPORTS_FULL_SHARE: f64 = 0.9;
/// A server fails if at least this share of its tries does, and more than the fleet's median by
/// the outlier factor.
const FAILING_SHARE: f64 = 0.3;
/// A server is an outlier at this multiple of the fleet's value.
const OUTLIER_FACTOR: f64 = 2.0;
/// A server can only be slow above this share of the lowest soft limit.
const SLOW_LIMIT_SHARE: f64 = 0.5;
/// If the median server is slower than the best quarter by this factor, the fleet has spare capacity
/// and weights are reduced sooner.
const SPREAD_FACTOR: f64 = 3.0;
/// The fleet is strained if the value at the given quantile exceeds this share of the lowest soft
/// limit ...
const STRAIN_LIMIT_SHARE: f64 = 0.4;
/// ... or if this share of the tries fails there.
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
const COLD_LOAD_UNKNOWN_FACTOR: f64 = 0.25;
/// Divisor of that limit while the fleet is overloaded.
const COLD_LOAD_OVERLOAD_DIVISOR: f64 = 3.0;
/// Growth of a cold server's weight per publication while it answers fast and gets few tries.
const COLD_GROWTH_FACTOR: f64 = 1.5;
/// Time that a server stays ejected; a quarter of it in a strained fleet. A cold server whose probe
/// failed gets no weight for as long.
const EJECTION_TICKS: f64 = 2.5;
/// How often that time can double for a server that fails again and again.
const MAX_EJECTION_DOUBLINGS: u32 = 3;

/// A part of the table is so small that a proxy's visits to one server are this share of the idle
/// timeout apart on average.
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
    servers: Vec<Server>,
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
    /// When it was last adjusted.
    level_changed_at: f64,
    /// By class: the share admitted and the retry policy as last ordered.
    ordered_levels: Vec<(f64, RetryPolicy)>,
    /// Highest rate of tries, per millisecond and unit of weight, that the fleet has served without
    /// overload.
    sustained_rate: f64,
    fleet: FleetStats,
    /// Totals of the reports since the last decision.
    reports: ReportTotals,
    next_tick: f64,
    wake_at: f64,
    request_roster_at: f64,
    rng: Rng,
    orders: Orders,
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
fn has_enough_tries(met: &Bucket, clear: bool) -> bool {
    met.tries >= if clear { MIN_TRIES / 2.0 } else { MIN_TRIES }
}

impl Planner {
    /// Creates a planner at the time `now`, without servers or proxies.
    pub fn new(now: f64, seed: u64, settings: &PlannerSettings) -> Planner {
        let limits = settings.classes.iter().map(|c| c.soft_limit_ms);
        let earnings = settings.classes.iter().map(|c| c.earnings);
        let dear = earnings.clone().fold(0.0, f64::max);
        let capped = Some(settings.max_messages).filter(|m| *m > 0.0);
        Planner {
            now,
            settings: DerivedSettings {
                report_interval_ms: settings.report_interval_ms,
                max_report_lines: settings.report_lines_per_ms * settings.report_interval_ms,
                bucket_ms: settings.report_interval_ms.max(TICK_MS / 2.0),
                min_soft_limit_ms: limits.fold(f64::INFINITY, f64::min),
                level_exponents: earnings.map(|e| dear / e.max(dear / 8.0)).collect(),
                max_queued_lines: settings.max_queued_lines,
                max_in_flight_lines: settings.lines_per_ms * settings.message_latency_ms,
                message_overhead_lines: settings.message_overhead_lines + 1.0,
                max_messages: capped.unwrap_or(f64::INFINITY),
                initial_servers: settings.initial_servers,
                max_visit_gap_ms: settings.idle_timeout_ms * IDLE_TIMEOUT_SHARE,
                cold_capacity_share: settings.cold_capacity_share,
                warm_up_ms: settings.warm_up_ms,
                max_cold_load: settings.overload_multiple * COLD_LOAD_SHARE,
                keep_unlisted_servers: settings.keep_unlisted_servers,
                may_probe: settings.may_probe,
                may_limit_admission: settings.admission == Admission::Share,
                has_shared_table: !settings.sharded,
            },
            channel: Channel::new(
                settings.message_overhead_lines + 1.0,
                settings.message_window_ms,
            ),
            servers: Vec::new(),
            proxies: BTreeMap::new(),
            departed: BTreeMap::new(),
            unreachable: vec![false; settings.zones],
            on_trial: vec![false; settings.zones],
            admission_level: 1.0,
            level_changed_at: now,
            ordered_levels: vec![(1.0, settings.default_retry_policy); settings.classes.len()],
            sustained_rate: 0.0,
            fleet: FleetStats::default(),
            reports: ReportTotals::default(),
            next_tick: now + TICK_MS,
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
    pub fn roster_changed(&mut self, now: f64, extent: RosterUpdate, roster: &[RosterEntry]) {
        self.now = now;
        let named = |s| extent == RosterUpdate::Changes || roster.iter().any(|l| l.server == s);
        for s in (0..self.servers.len()).filter(|s| !named(*s)) {
            self.mark_gone(s);
        }
        for l in roster {
            self.apply_entry(l, extent == RosterUpdate::Restored);
        }
    }

    /// Marks a server as gone. Where unlisted servers may stay, one that is ready and has some health
    /// does, so that a wrong roster doesn't withdraw working servers.
    fn mark_gone(&mut self, s: usize) {
        let may_stay = self.settings.keep_unlisted_servers;
        let server = self.servers.get_mut(s);
        if let Some(s) = server.filter(|s| !(may_stay && s.is_ready() && s.health > 0.0)) {
            s.admin_state = AdminState::Gone;
        }
    }

    /// Applies one roster entry.
    fn apply_entry(&mut self, l: &RosterEntry, at_start: bool) {
        if l.admin_state == AdminState::Gone {
            return self.mark_gone(l.server);
        }
        let (now, zones) = (self.now, self.unreachable.len());
        while self.servers.len() <= l.server {
            self.servers.push(Server::unknown(zones));
        }
        let server = &mut self.servers[l.server];
        let fresh = l
            .started_ms
            .filter(|at| now - at < self.settings.warm_up_ms);
        let returned = !server.is_ready() && l.admin_state == AdminState::Ready;
        let restarted = fresh.is_some() && l.started_ms != server.started_at;
        server.zone = l.zone;
        server.weight = if l.weight > 0.0 { l.weight } else { 1.0 };
        server.started_at = l.started_ms;
        server.admin_state = l.admin_state;
        if at_start && !server.listed {
            // Listed when the controller started: no ramp, unless the server itself started recently.
            server.ramp_started_at = fresh.unwrap_or(f64::NEG_INFINITY);
        } else if restarted || returned {
            (
                server.ramp_started_at,
                server.health,
                server.health_changed_at,
            ) = (now, 1.0, now);
            server.zone_stats = vec![ZoneStats::since(now); zones];
        }
        server.listed = true;
    }

    /// The source of the roster was lost; the roster is requested again after a tick.
    pub fn roster_lost(&mut self, now: f64) {
        self.request_roster_at = now + TICK_MS;
    }

    /// A proxy joined; `visit_rate` is its rate of visits per millisecond. Messages sent to it before it left
    /// still count, as message limits apply to a proxy and not to one of its streams.
    pub fn proxy_joined(&mut self, proxy: usize, zone: usize, visit_rate: f64) {
        let mut fresh = Proxy::new(zone, visit_rate, self.ordered_levels.len());
        if let Some((_, before)) = self.departed.remove(&proxy) {
            fresh.restore_messages(before);
        }
        self.proxies.insert(proxy, fresh);
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
        self.channel
            .acknowledge(proxy.and_then(|p| p.acknowledge(mark)));
    }

    /// A report of tries at a server arrived.
    pub fn tries_reported(&mut self, now: f64, met: &TryStats) {
        let server = self.servers.get_mut(met.server);
        if let Some(server) = server.filter(|_| met.tries > 0.0) {
            server.zone_stats[met.zone].record(now, self.settings.bucket_ms, met);
            self.reports.record(met, self.settings.report_interval_ms);
        }
    }

    /// A report of the visits that came to a proxy arrived.
    pub fn visits_reported(&mut self, proxy: usize, class: usize, visits: f64, window_ms: f64) {
        self.reports.lines += 1.0;
        if let Some(p) = self.proxies.get_mut(&proxy) {
            p.visits_reported(
                class,
                visits / window_ms.max(self.settings.report_interval_ms),
            );
        }
    }

    /// A probe of a server ended after `took_ms`.
    pub fn probe_answered(&mut self, now: f64, server: usize, fine: bool, took_ms: f64) {
        let slow = !fine || took_ms > self.settings.min_soft_limit_ms * STRAIN_LIMIT_SHARE;
        if let Some(s) = self.servers.get_mut(server) {
            s.probe_succeeded_at = if fine { now } else { s.probe_succeeded_at };
            s.probe_failed_at = if slow { now } else { s.probe_failed_at };
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
        let parted = !self.channel.parts.is_empty() || !self.settings.has_shared_table;
        if parted || proxies * servers == 0.0 {
            return false;
        }
        let pace = self.proxies.values().map(|p| p.visit_rate).sum::<f64>() / proxies;
        let kept = (pace * self.settings.max_visit_gap_ms)
            .max(self.settings.initial_servers * INITIAL_SERVERS_SHARE);
        let many = if pace > 0.0 { servers / kept } else { 1.0 };
        for zone in 0..self.unreachable.len() {
            let near = self.ready_servers().filter(|s| s.zone == zone).count() as f64;
            let parts = (many * near / servers).ceil() as usize;
            self.channel
                .parts
                .extend(vec![Part::new(Some(zone)); parts]);
        }
        if many < 1.5 {
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
        let there = |part: &usize| {
            let dealt = self
                .ready_servers()
                .filter(|o| o.part == Some(*part))
                .count();
            (parts[*part].is_in_other_zone(zone), dealt)
        };
        self.servers[s].part = (0..parts.len()).min_by_key(there);
        !self.channel.parts.is_empty()
    }

    /// Withdraws a server that is draining or gone, at once and from all tables, unless no ready
    /// server has a weight yet.
    fn withdraw_unready_server(&mut self) -> bool {
        let ready = self.ready_servers().next().is_some() && !self.proxies.is_empty();
        let bare = ready && !self.ready_servers().any(|s| s.published_weight > 0.0);
        let due = |s: &Server| s.listed && !s.is_ready() && !s.withdrawn && !bare;
        let found = self.find_server(|s| due(s) && self.may_send(1.0, self.messages_of_part(s)));
        found.is_some_and(|s| self.set_withdrawn(s, true, 1.0))
    }

    /// Allows a withdrawn server that is ready again.
    fn allow_ready_server(&mut self) -> bool {
        // A cold server must have a low weight first.
        let low = |s: &Server| !s.cold || s.published_weight <= s.weight * self.capacity_share(s);
        let due = |s: &Server| s.is_ready() && s.withdrawn && low(s);
        let found =
            self.find_server(|s| due(s) && self.may_send(MESSAGE_SHARE, self.messages_of_part(s)));
        found.is_some_and(|s| self.set_withdrawn(s, false, URGENT_QUEUE_SHARE))
    }

    /// Detects a network partition: no proxy of a zone is joined, and its servers answer almost nothing
    /// to the other zones, or in a split table get no visits from them. The link is taken to be at
    /// fault: the servers leave the table together, keep their health and return together. Also covers
    /// a zone without power. Does harm if a zone without proxies has few servers and all of them fail.
    fn detect_unreachable_zone(&mut self) -> bool {
        let off = |zone: &usize| {
            let good = |there| {
                state::successes_from_other_zones(
                    &self.servers,
                    *zone,
                    there,
                    self.fleet.recent_buckets - 1,
                )
            };
            let (there, here) = (good(true), good(false));
            let expected = here.0 * there.1 / here.1.max(f64::MIN_POSITIVE);
            let missed = expected >= MIN_TRIES && there.0 < expected * STRAIN_FAILURE_SHARE;
            let apart = !self.unreachable[*zone] && !self.zone_has_proxies(*zone);
            let (far, parted) = (self.on_trial[*zone], self.channel.parts.len() > 1);
            apart
                && if far {
                    missed && self.zone_has_tries(*zone)
                } else {
                    missed || parted
                }
        };
        let Some(zone) = (0..self.unreachable.len()).find(off) else {
            return false;
        };
        self.reset_zone(zone, true, "is cut off");
        true
    }

    /// Uses an unreachable zone again, without a ramp, when one of its proxies has joined or one of its
    /// servers has answered a probe. Neither ever happens where probes are not allowed and proxies join
    /// the controller of their own zone. There the zone is tried with visits: at once if no other zone
    /// has a warm server, or after the time of a ramp if the others are strained. Prevents overload of
    /// one zone next to idle ones, and all proxies of a lost zone falling on its first servers to
    /// return. Does harm while the partition lasts.
    fn reopen_zone(&mut self) -> bool {
        let answer = |s: &Server| s.is_ready() && s.probe_succeeded_at > s.health_changed_at;
        let answers = |zone| self.find_server(|s| s.zone == zone && answer(s)).is_some();
        let warm = |s: &Server| s.is_ready() && !s.cold && !self.unreachable[s.zone];
        let (none, strained) = (
            self.find_server(warm).is_none(),
            self.strained(self.fleet.median, STRAIN_LIMIT_SHARE),
        );
        let lately = |s: &Server| self.now - s.health_changed_at < RAMP_TICKS * TICK_MS;
        let long = |zone| self.find_server(|s| s.zone == zone && lately(s)).is_none();
        let needed = |zone: usize| {
            // At once only if the zone wasn't tried this way before.
            let unasked = none && !self.on_trial[zone];
            !self.settings.may_probe && (unasked || (none || strained) && long(zone))
        };
        let known = |zone| self.zone_has_proxies(zone) || answers(zone);
        let mended = |zone: &usize| self.unreachable[*zone] && (known(*zone) || needed(*zone));
        let Some(zone) = (0..self.unreachable.len()).find(mended) else {
            return false;
        };
        self.on_trial[zone] = !known(zone);
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
        let slow: Verdict = |p, s| s.health > MIN_REDUCED_HEALTH && p.is_slow(s, OUTLIER_FACTOR);
        self.penalize(slow, HEALTH_STEP, self.fleet.best_quarter, "slow")
    }

    /// Lets health return: an ejected server starts a ramp once it has answered a probe (which alone
    /// proves little), a reduced one gains one step. Each needs a time that doubles with every earlier
    /// return, so that a flapping server doesn't regain its weight.
    fn restore_health(&mut self) -> bool {
        let (now, ask) = (self.now, self.settings.may_probe);
        let hurry = self.strained(self.fleet.median, STRAIN_LIMIT_SHARE);
        let ticks = if hurry {
            EJECTION_TICKS / 4.0
        } else {
            EJECTION_TICKS
        };
        let out = TICK_MS * ticks * (1.0 + 0.1 * self.rng.next_unit());
        let longer = |s: &Server| f64::from(1 << s.recoveries.min(MAX_EJECTION_DOUBLINGS));
        let fit = |s: &Server| match s.health == 0.0 {
            true => {
                now - s.health_changed_at > out * longer(s)
                    && (!ask || s.probe_succeeded_at > s.health_changed_at)
            }
            _ => {
                now - s.health_changed_at > RAMP_TICKS * TICK_MS * longer(s)
                    && !self.is_slow(s, OUTLIER_FACTOR / 2.0)
            }
        };
        let Some(s) = self.find_server(|s| s.is_ready() && s.health < 1.0 && fit(s)) else {
            return false;
        };
        let server = &mut self.servers[s];
        if server.health == 0.0 {
            (server.health, server.ramp_started_at) = (1.0, now);
        }
        (server.health, server.health_changed_at) = ((server.health / HEALTH_STEP).min(1.0), now);
        server.recoveries += 1;
        true
    }

    /// Orders retries for all classes where the first try provably never ran, as these can't repeat an
    /// effect. Where proxies support admission levels, also lowers them in overload, and most for the
    /// classes with the lowest earnings.
    fn set_admission_and_retries(&mut self) -> bool {
        if self.settings.may_limit_admission && self.now - self.level_changed_at >= TICK_MS {
            let tried = self.fleet.try_rate(self.recent_window_ms())
                >= BACKLOG_RATE_SHARE * self.sustained_rate;
            let heavy = tried && self.strained(self.fleet.median, OVERLOAD_LIMIT_SHARE);
            let (down, up) = (self.admission_level * 0.8, self.admission_level + 0.1);
            let level = if heavy { down } else { up };
            (self.admission_level, self.level_changed_at) = (level.clamp(0.1, 1.0), self.now);
        }
        let share = |cheap: &f64| (self.admission_level.powf(*cheap), RetryPolicy::OnProof);
        let ways: Vec<_> = self.settings.level_exponents.iter().map(share).collect();
        let parts = self.channel.parts.len();
        let price = |part| self.channel.cost(Some(part), ways.len() as f64);
        let room = self.fits_queue(QUEUE_SHARE, (0..parts).map(price).sum());
        if ways == self.ordered_levels
            || parts == 0
            || !room
            || !self.may_send(MESSAGE_SHARE, self.channel.max_messages(None))
        {
            return false;
        }
        for (class, way) in ways.iter().enumerate() {
            for part in (0..parts).filter(|_| self.ordered_levels[class] != *way) {
                self.channel.add(Some(part), 1.0, 0.0);
                self.orders.levels.push((part, class, way.0, way.1));
            }
        }
        self.ordered_levels = ways;
        true
    }

    /// Publishes changed weights of the shared table, on the tick. Large drops, as of restarted or
    /// failing servers, and lines of an empty part are published at once. Lines are written as far as
    /// the limits of the channel allow, the largest drops first; the others wait.
    fn publish_weights(&mut self) -> bool {
        let due = self.now >= self.next_tick;
        if due {
            self.next_tick = self.now + TICK_MS;
        }
        let targets = self.target_weights();
        let held = |s: usize| self.servers[s].published_weight;
        let mut stay = vec![false; self.channel.parts.len()];
        for (s, part, t) in &targets {
            stay[*part] |= *t > 0.0 && held(*s) > 0.0;
        }
        let bare: Vec<_> = (0..stay.len())
            .map(|p| self.has_no_weight(Some(p)))
            .collect();
        let off = |(s, part, t): &(usize, usize, f64)| {
            let changed = (t - held(*s)).abs() > WEIGHT_TOLERANCE * held(*s);
            let shut = self.servers[*s].withdrawn && !self.servers[*s].is_ready();
            let urgent = bare[*part] || stay[*part] && *t < held(*s) * URGENT_DROP_SHARE && !shut;
            (changed || (*t == 0.0) != (held(*s) == 0.0)) && (due || urgent)
        };
        let mut lines: Vec<_> = targets.into_iter().filter(off).collect();
        let rise = |(s, _, t): &(usize, usize, f64)| {
            let fall = *t < held(*s);
            if fall {
                t / held(*s)
            } else {
                1.0 + held(*s) / t
            }
        };
        lines.sort_by(|a, b| rise(a).total_cmp(&rise(b)));
        let mut wrote = false;
        for (s, part, t) in lines {
            let low = t < self.servers[s].published_weight * URGENT_DROP_SHARE;
            let (share, messages) = if low {
                (URGENT_QUEUE_SHARE, URGENT_MESSAGE_SHARE)
            } else {
                (QUEUE_SHARE, MESSAGE_SHARE)
            };
            if !self.fits_queue(share, self.channel.cost(Some(part), 1.0)) {
                break;
            }
            if !self.may_send(messages, self.channel.max_messages(Some(part))) {
                continue;
            }
            wrote = true;
            self.channel.add(Some(part), 1.0, 0.0);
            self.servers[s].set_published_weight(t);
            self.orders.lines.retain(|(_, other, _)| *other != s);
            self.orders.lines.push((part, s, t));
        }
        wrote || due
    }

    /// Binds a new proxy to the part with the least load, preferably of its own zone; until then the
    /// proxy keeps the table that it has. Moves proxies from a part with much more load per weight than
    /// another, as after servers left, and at once from a part without weight. Proxies that left count
    /// for the time of a ramp, since they keep their tables and their visits return. Without that, the
    /// parts of a zone that is being cut off would seem idle while its proxies leave.
    fn bind_proxy(&mut self) -> bool {
        let (now, ramp) = (self.now, RAMP_TICKS * TICK_MS);
        let kept = ramp.max(self.channel.message_window_ms);
        self.departed.retain(|_, (at, _)| now - *at < kept);
        let lately = self.departed.values().filter(|(at, _)| now - at < ramp);
        let all = self.proxies.values().chain(lately.map(|(_, p)| p));
        let loads = self.channel.loads(&self.servers, all, &self.unreachable);
        let cost = |p: &Proxy, part: usize, more: f64| {
            let is_in_other_zone = self.channel.parts[part].is_in_other_zone(p.zone);
            (loads[part].0 + more) / loads[part].1
                * if is_in_other_zone {
                    OTHER_ZONE_FACTOR
                } else {
                    1.0
                }
        };
        let least = |p: &Proxy| {
            let open = (0..loads.len()).filter(|part| loads[*part].1 > 0.0);
            open.min_by(|a, b| cost(p, *a, p.visit_rate).total_cmp(&cost(p, *b, p.visit_rate)))
        };
        let uneven = |p: &Proxy, from: usize, times: f64| {
            let better = |to| cost(p, from, 0.0) > times * cost(p, to, p.visit_rate);
            loads[from].1 == 0.0 || p.visit_rate > 0.0 && least(p).is_some_and(better)
        };
        let waiting = self.proxies.iter().find(|(_, p)| p.part.is_none());
        // The limit counts the proxy's own messages; urgent moves may use more of it.
        let moves = |p: &Proxy| {
            let from = p.part.filter(|from| uneven(p, *from, REBALANCE_FACTOR));
            from.is_some_and(|from| {
                let share = if uneven(p, from, URGENT_REBALANCE_FACTOR) {
                    URGENT_MESSAGE_SHARE
                } else {
                    MESSAGE_SHARE
                };
                self.may_send(
                    share,
                    p.recent_messages(now, self.channel.message_window_ms),
                )
            })
        };
        let found = waiting.or_else(|| self.proxies.iter().find(|(_, p)| moves(p)));
        let Some((i, to)) = found.and_then(|(i, p)| Some((*i, least(p)?))) else {
            return false;
        };
        let price = self.part_lines(to) + self.settings.message_overhead_lines;
        if self.orders.bindings.iter().any(|b| b.0 == i) || !self.fits_queue(QUEUE_SHARE, price) {
            return false;
        }
        self.channel.add(None, 0.0, price);
        self.orders.bindings.push((i, to));
        if let Some(proxy) = self.proxies.get_mut(&i) {
            (proxy.part, proxy.binding_lines) = (Some(to), price);
        }
        true
    }

    /// Probes a server that is ejected, cold or in an unreachable zone: it gets few visits or none, and
    /// the absence of failures doesn't show that it works.
    fn probe_uncertain_server(&mut self) -> bool {
        let doubtful =
            |s: &Server| s.is_ready() && (s.health == 0.0 || s.cold || self.unreachable[s.zone]);
        let due = |s: &Server| doubtful(s) && self.now - s.probed_at >= TICK_MS / 2.0;
        let Some(s) = self.find_server(|s| self.settings.may_probe && due(s)) else {
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

    /// Whether servers of a zone have been tried recently.
    fn zone_has_tries(&self, zone: usize) -> bool {
        let there = self.ready_servers().filter(|s| s.zone == zone);
        there.map(|s| s.recent.tries).sum::<f64>() >= MIN_TRIES
    }

    /// Whether a proxy of a zone is joined.
    fn zone_has_proxies(&self, zone: usize) -> bool {
        self.proxies.values().any(|p| p.zone == zone)
    }

    /// Whether a part has ready servers, but none with a published weight.
    fn has_no_weight(&self, part: Option<usize>) -> bool {
        let mut there = self.ready_servers().filter(|s| s.part == part).peekable();
        part.is_some() && there.peek().is_some() && !there.any(|s| s.published_weight > 0.0)
    }

    /// Withdraws a server (`out`) or allows it again, if the channel has room. Proxies that are not
    /// bound yet hold a few lines of their own, this server's perhaps, and get a share of the messages.
    fn set_withdrawn(&mut self, s: usize, out: bool, share: f64) -> bool {
        let part = self.servers[s].part;
        let strays = self.proxies.values().filter(|p| p.part.is_none()).count() as f64;
        let drawn = self.settings.initial_servers / self.servers.len() as f64;
        let others = strays * drawn.min(1.0) * (1.0 + self.settings.message_overhead_lines);
        if !self.fits_queue(share, others + self.channel.cost(part, 1.0)) {
            return false;
        }
        self.channel.add(part, 1.0, others);
        self.servers[s].withdrawn = out;
        self.orders.withdrawals.push((s, out));
        true
    }

    /// Updates the statistics of the fleet, once per input. In a large fleet, report lines are queued
    /// before they arrive: then the recent time is extended to reach back to the newest of them.
    fn update_fleet_stats(&mut self) {
        let reports = std::mem::take(&mut self.reports);
        if reports.tries > 0.0 {
            let full = reports.lines >= self.settings.max_report_lines * REPORTS_FULL_SHARE;
            self.fleet.report_delay_ms = if full {
                reports.delayed_tries_ms / reports.tries
            } else {
                0.0
            };
        }
        let waits = (self.fleet.report_delay_ms / self.settings.bucket_ms).ceil();
        self.fleet.recent_buckets = RECENT_BUCKETS.max(waits as u64 + 1);
        for s in &mut self.servers {
            s.update_recent(self.now, &self.settings, &self.fleet);
        }
        self.fleet.update(&self.servers);
        if self.fleet.used_weight > 0.0 && !self.strained(self.fleet.median, OVERLOAD_LIMIT_SHARE) {
            self.sustained_rate = self
                .sustained_rate
                .max(self.fleet.try_rate(self.recent_window_ms()));
        }
    }

    /// Whether the fleet as a whole is slow or failing, so that others can't take over the load of one
    /// server. `norm` is the fleet's share of failures and mean time.
    fn strained(&self, norm: (f64, f64), limit: f64) -> bool {
        norm.0 > STRAIN_FAILURE_SHARE || norm.1 > self.settings.min_soft_limit_ms * limit
    }

    /// Whether a server fails for every zone that has tried it often enough; failures in one zone only
    /// point to a link. A server whose successful tries were slow is overloaded rather than broken:
    /// without it, the others would be overloaded next.
    fn is_failing(&self, s: &Server) -> bool {
        let least = FAILING_SHARE.max(self.fleet.median.0 * OUTLIER_FACTOR);
        let bad = |b: &Bucket| b.failure_share() >= least;
        let zone_stats = s
            .zone_stats
            .iter()
            .map(|v| v.total(0, self.fleet.recent_buckets));
        let mut tried = zone_stats.filter(|b| b.tries >= MIN_TRIES / 2.0);
        let (all, long) = (
            s.recent,
            s.total(0, RECENT_BUCKETS * self.fleet.recent_buckets),
        );
        let broken =
            long.mean_ms().max(all.mean_ms()) <= self.settings.min_soft_limit_ms * SLOW_LIMIT_SHARE;
        let silent = all.successes() == 0.0 && self.fleet.median.0 <= STRAIN_FAILURE_SHARE;
        broken && has_enough_tries(&all, silent) && bad(&all) && tried.all(|b| bad(&b))
    }

    /// Whether a server was slow or didn't answer in each of the last buckets, so that one costly visit
    /// doesn't count. `times` is the multiple of the best quarter's time that counts as slow.
    fn is_slow(&self, s: &Server, times: f64) -> bool {
        let bar = (times * self.fleet.best_quarter.1)
            .max(self.settings.min_soft_limit_ms * SLOW_LIMIT_SHARE);
        let mut each = (1..=RECENT_BUCKETS).map(|back| s.total(back, 1));
        let late = |b: Bucket| b.mean_ms() > bar || b.successes() == 0.0 && b.tries > 0.0;
        let clear = s.recent.mean_ms() > bar * OUTLIER_FACTOR;
        has_enough_tries(&s.recent, clear) && each.all(late)
    }

    /// Multiplies the health of the first server that `bad` holds for by `keep`. The total loss is
    /// limited, as failures of most of the fleet are not the fault of each server; the limit doesn't
    /// apply to reductions in a fleet without strain, which only redistribute the load. In a strained
    /// fleet, only servers without any successful try are affected.
    fn penalize(&mut self, bad: Verdict, keep: f64, norm: (f64, f64), word: &str) -> bool {
        let strained = self.strained(norm, STRAIN_LIMIT_SHARE);
        let apart = self.fleet.median.1 > SPREAD_FACTOR * self.fleet.best_quarter.1;
        let wait = if apart {
            0.0
        } else {
            self.fleet.report_delay_ms
        };
        let window = self.settings.bucket_ms * self.fleet.recent_buckets as f64 + wait;
        let left = |s: &Server| s.weight * (MAX_EJECTED_SHARE - 1.0 + s.health);
        let room: f64 = self.ready_servers().map(left).sum();
        let guilty = |s: &Server| {
            let shares = keep > 0.0 && !strained;
            let fits = shares || s.weight * s.health * (1.0 - keep) <= room;
            let settled = self.now - s.health_changed_at > window || s.health == 1.0;
            let asked = s
                .part
                .is_some_and(|p| self.channel.parts[p].bound_proxies > 0.0);
            let used = asked
                && s.is_ready()
                && s.published_weight > 0.0
                && s.health > 0.0
                && !self.unreachable[s.zone];
            let needed = strained && s.recent.successes() > 0.0;
            used && fits && settled && !needed && bad(self, s)
        };
        let Some(s) = self.find_server(guilty) else {
            return false;
        };
        let health = self.servers[s].health * keep;
        (self.servers[s].health, self.servers[s].health_changed_at) = (health, self.now);
        let note = format!("server {s} is {word}: health {health:.2}");
        self.orders.notes.push(note);
        true
    }

    /// Marks a zone as unreachable or reachable and resets the health and statistics of its servers,
    /// since what was reported of them was due to the link.
    fn reset_zone(&mut self, zone: usize, cut: bool, word: &str) {
        self.unreachable[zone] = cut;
        for s in self.servers.iter_mut().filter(|s| s.zone == zone) {
            (s.health, s.health_changed_at) = (1.0, self.now);
            s.zone_stats.fill(ZoneStats::since(self.now));
        }
        self.orders.notes.push(format!("zone {zone} {word}"));
    }

    /// The weight that each server should have, as (server, part, weight): listed weight times ramp
    /// times health, limited for cold servers. In a part where no weight would remain, health and
    /// unreachable zones are ignored.
    fn target_weights(&self) -> Vec<(usize, usize, f64)> {
        let ramp = |s: &Server| {
            let gone = (self.now - s.ramp_started_at) / (RAMP_TICKS * TICK_MS);
            (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * gone).min(1.0)
        };
        let whole = |s: &Server| {
            if s.is_ready() {
                s.weight * ramp(s)
            } else {
                0.0
            }
        };
        let cut = |s: &Server| self.unreachable[s.zone];
        let judged = |s: &Server| if cut(s) { 0.0 } else { whole(s) * s.health };
        let mut some = vec![false; self.channel.parts.len()];
        let dealt = || self.servers.iter().filter_map(|s| s.part.map(|p| (s, p)));
        dealt().for_each(|(s, p)| some[p] |= judged(s) > 0.0);
        let line = |s: &Server, p: usize| if some[p] { judged(s) } else { whole(s) };
        // Proxies avoid servers that fail, so only the share that warm servers answer counts.
        let (mut warm, mut tries) = (vec![0.0; some.len()], vec![0.0; some.len()]);
        let mut any = vec![false; some.len()];
        for (s, p) in dealt() {
            tries[p] += s.recent.tries;
            if !s.cold {
                warm[p] += line(s, p) * (1.0 - s.recent.failure_share());
                any[p] |= line(s, p) > 0.0;
            }
        }
        let over = self.strained(self.fleet.median, OVERLOAD_LIMIT_SHARE);
        let caution = if over {
            COLD_LOAD_OVERLOAD_DIVISOR
        } else {
            1.0
        };
        let room = |p: usize| {
            // Without a known load, the fleet is assumed to be far above its capacity.
            let known = self.sustained_rate > 0.0 && tries[p] > 0.0;
            // Without warm servers, the load of the part depends only on the proxies bound to it.
            let some = warm[p] * self.sustained_rate / (tries[p] / self.recent_window_ms());
            let room = if any[p] { some } else { 1.0 };
            if known {
                room / caution
            } else {
                COLD_LOAD_UNKNOWN_FACTOR / caution
            }
        };
        let capped = |s: &Server, p: usize| {
            let part = room(p) * self.capacity_share(s) * self.settings.max_cold_load;
            // If hardly any other server answers, any weight at all would attract all visits.
            let part = if part < RAMP_START_SHARE / 2.0 {
                0.0
            } else {
                part
            };
            // While the server gets few tries and answers fast, its weight may grow.
            let able = self.sustained_rate
                * s.weight
                * self.capacity_share(s)
                * self.settings.max_cold_load;
            let little = s.recent.tries / self.recent_window_ms() < able / 3.0;
            let fast = s.recent.successes() > 0.0
                && s.recent.mean_ms() < self.settings.min_soft_limit_ms * SLOW_LIMIT_SHARE;
            let grown = if little && fast {
                COLD_GROWTH_FACTOR
            } else {
                0.0
            };
            let most = (grown * s.published_weight).max(part * s.weight);
            // Reports are delayed, but a slow probe shows at once that the server is sent too much.
            let full = self.now - s.probe_failed_at < EJECTION_TICKS * TICK_MS;
            let most = if full { 0.0 } else { most };
            let budget = s.cold && any.contains(&true);
            line(s, p).min(if budget { most } else { f64::INFINITY })
        };
        let dealt = self.servers.iter().enumerate();
        let line = |(i, s): (usize, &Server)| s.part.map(|p| (i, p, capped(s, p)));
        dealt.filter_map(line).collect()
    }

    /// Minimum share of its capacity that a server has at this time after its start.
    fn capacity_share(&self, s: &Server) -> f64 {
        let age = s.started_at.map_or(f64::INFINITY, |at| self.now - at);
        let warm = (age / self.settings.warm_up_ms).min(1.0);
        self.settings.cold_capacity_share + (1.0 - self.settings.cold_capacity_share) * warm
    }

    /// Length of the recent time. Its newest bucket is still filling, unless reports are delayed.
    fn recent_window_ms(&self) -> f64 {
        let filled = (self.fleet.report_delay_ms / self.settings.bucket_ms).min(1.0);
        self.settings.bucket_ms * ((self.fleet.recent_buckets - 1) as f64 + filled)
    }

    /// Number of lines that a binding to a part sends: weights, withdrawals and levels.
    fn part_lines(&self, part: usize) -> f64 {
        let kept = self.servers.iter().filter(|s| s.part == Some(part));
        let lines = kept
            .filter(|s| s.published_weight > 0.0 || s.withdrawn)
            .count();
        (lines + self.ordered_levels.len()) as f64
    }

    /// Whether lines that cost `price` fit into a share of the channel's queue. All lines that no proxy
    /// has acknowledged may still be queued, except those that can be in flight. Ordinary lines leave
    /// room for urgent ones, even in case nothing is in flight.
    fn fits_queue(&self, share: f64, price: f64) -> bool {
        let lines = self.channel.queued_lines + self.channel.added_lines + price;
        let queued = lines
            - self
                .settings
                .max_in_flight_lines
                .min(self.channel.queued_lines);
        queued.max(lines * share / share.max(URGENT_QUEUE_SHARE))
            <= self.settings.max_queued_lines * share
    }

    /// Most messages that any proxy of a server's part was sent recently.
    fn messages_of_part(&self, s: &Server) -> f64 {
        s.part
            .map_or(0.0, |part| self.channel.max_messages(Some(part)))
    }

    /// Whether a proxy that was sent `written` messages recently may be sent another one, within a share
    /// of its limit. For a part, `written` is that of its proxy with the most; other parts don't wait.
    fn may_send(&self, share: f64, written: f64) -> bool {
        written < (self.settings.max_messages - 1.0) * share
    }

    /// The status of each server, by index, for logs.
    pub fn server_statuses(&self) -> impl Iterator<Item = ServerStatus> + '_ {
        self.servers.iter().map(|s| ServerStatus {
            published_weight: s.published_weight,
            health: s.health,
            withdrawn: s.withdrawn,
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
        self.channel.begin_message(now, &self.proxies);
        while RULES.iter().any(|rule| rule(self)) {}
        self.orders.mark = self.channel.finish_message(now, &mut self.proxies);
        if self.wake_at <= now || self.next_tick < self.wake_at {
            self.wake_at = self.next_tick;
            self.orders.wake_at = Some(self.next_tick);
        }
        std::mem::take(&mut self.orders)
    }
}
