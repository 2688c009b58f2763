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

use crate::state::{self, Bounds, Bucket, Chance, Channel, Heard, Norms, Part};
use crate::state::{Proxy, Server, View};
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
const RAMP_FLOOR: f64 = 0.1;
/// A weight is published again when it is off by more than this share.
const LINE_SLACK: f64 = 0.02;
/// Time buckets that count as recent. A server is slow if it was slow in each of as many.
const LATELY: u64 = 3;
/// Recent tries that it takes to judge a server.
const ENOUGH: f64 = 8.0;
/// Other report lines are still queued if at least this share of the lines that can come in one
/// interval came.
const FULL: f64 = 0.9;
/// A server fails if at least this share of its tries does, and more than the fleet's median by
/// the outlier factor.
const FAILING: f64 = 0.3;
/// A server is an outlier at this multiple of the fleet's value.
const SLOW: f64 = 2.0;
/// A server can only be slow above this share of the lowest soft limit.
const LAG: f64 = 0.5;
/// If the median server is slower than the best quarter by this factor, the fleet has spare capacity
/// and weights are reduced sooner.
const APART: f64 = 3.0;
/// The fleet is strained if the value at the given quantile exceeds this share of the lowest soft
/// limit ...
const STRAIN: f64 = 0.4;
/// ... or if this share of the tries fails there.
const STRAIN_FAILING: f64 = 0.1;
/// The fleet is overloaded if its median time exceeds this share of the lowest soft limit.
const OVERLOAD: f64 = 0.9;
/// Below this share of the sustained rate of tries, slow answers come from a backlog that drains:
/// admission is not lowered further.
const DRAINS: f64 = 0.5;
/// Factor on the health of a slow server at each step.
const TRIM: f64 = 0.6;
/// Slow servers whose health is at or below this are not reduced further.
const TRIM_LEAST: f64 = 0.1;
/// Share of the listed weight of ready servers that may be lost to bad health.
const MOST_EJECTED: f64 = 0.35;
/// A cold server is sent at most this share of the load that it breaks down at.
const COLD_PART: f64 = 0.4;
/// Factor on that limit until the load of the fleet is known.
const UNKNOWN_ROOM: f64 = 0.25;
/// Divisor of that limit while the fleet is overloaded.
const COLD_CAUTION: f64 = 3.0;
/// Growth of a cold server's weight per publication while it answers fast and gets few tries.
const COLD_GROWTH: f64 = 1.5;
/// Time that a server stays ejected; a quarter of it in a strained fleet. A cold server whose probe
/// failed gets no weight for as long.
const HOLD_TICKS: f64 = 2.5;
/// How often that time can double for a server that fails again and again.
const RELAPSES: u32 = 3;

/// A part of the table is so small that a proxy's visits to one server are this share of the idle
/// timeout apart on average.
const KEPT: f64 = 0.15;
/// A part has at least this share of the number of servers that a proxy picks by itself at its start.
const DRAWN: f64 = 0.5;
/// A weight that falls below this share of its published value is published before the next tick.
const LOW: f64 = 0.7;
/// Share of the channel's queue that ordinary lines may fill.
const HALF: f64 = 0.5;
/// Share of the channel's queue that large drops in weight and servers allowed again may fill.
const URGENT: f64 = 0.7;
/// Proxies are moved to another part if their own has this many times the load.
const UNEVEN: f64 = 1.2;
/// At this many times the load, moving them is urgent.
const JAMMED: f64 = 2.0;
/// Share of a proxy's message limit that ordinary messages may use.
const USUAL: f64 = 0.7;
/// Share of a proxy's message limit that urgent messages may use.
const PRESSING: f64 = 0.85;
/// Factor on the load of parts in other zones, so that the proxy's own zone is preferred.
const AWAY: f64 = 1.1;

/// Decides on weights, admission levels, bindings and probes from roster updates and load reports.
pub struct Planner {
    now: f64,
    told: Bounds,
    servers: Vec<Server>,
    proxies: BTreeMap<usize, Proxy>,
    /// Proxies that left recently, with the time.
    gone: BTreeMap<usize, (f64, Proxy)>,
    /// The parts of the shared table and the messages to their proxies.
    channel: Channel,
    /// By zone: no joined proxy reaches it.
    cut: Vec<bool>,
    /// By zone: it is used out of need although nothing shows that it is reachable again.
    abroad: Vec<bool>,
    /// Share of the visits with the highest earnings that is admitted.
    level: f64,
    /// When it was last adjusted.
    level_since: f64,
    /// By class: the share admitted and the retry policy as last ordered.
    ways: Vec<(f64, RetryPolicy)>,
    /// Highest rate of tries, per millisecond and unit of weight, that the fleet has served without
    /// overload.
    carried: f64,
    norms: Norms,
    /// Totals of the reports since the last decision.
    heard: Heard,
    tick: f64,
    alarm: f64,
    ask_at: f64,
    chance: Chance,
    out: Orders,
}

/// Changes the state and adds to the orders if its condition holds; returns whether it did.
type Rule = fn(&mut Planner) -> bool;
/// Whether the reports speak against a server.
type Verdict = fn(&Planner, &Server) -> bool;

/// All rules, in the order of evaluation.
const RULES: [Rule; 14] = [
    Planner::ask_for_the_list,
    Planner::part_the_table,
    Planner::deal_a_server,
    Planner::withdraw_what_is_not_ready,
    Planner::allow_what_is_ready_again,
    Planner::see_a_cut_link,
    Planner::see_a_link_mended,
    Planner::put_out_the_failing,
    Planner::trim_the_slow,
    Planner::let_health_return,
    Planner::set_levels_and_tries,
    Planner::publish,
    Planner::bind_a_proxy,
    Planner::probe_the_doubtful,
];

/// Whether there are enough tries to judge a server; in a clear case half as many do.
fn enough(met: &Bucket, clear: bool) -> bool {
    met.tries >= if clear { ENOUGH / 2.0 } else { ENOUGH }
}

impl Planner {
    /// Creates a planner at the time `now`, without servers or proxies.
    pub fn new(now: f64, seed: u64, told: &PlannerSettings) -> Planner {
        let limits = told.classes.iter().map(|c| c.soft_limit_ms);
        let earnings = told.classes.iter().map(|c| c.earnings);
        let dear = earnings.clone().fold(0.0, f64::max);
        let capped = Some(told.max_messages).filter(|m| *m > 0.0);
        Planner {
            now,
            told: Bounds {
                report_ms: told.report_interval_ms,
                most_heard: told.report_lines_per_ms * told.report_interval_ms,
                bucket_ms: told.report_interval_ms.max(TICK_MS / 2.0),
                tight_ms: limits.fold(f64::INFINITY, f64::min),
                cheapness: earnings.map(|e| dear / e.max(dear / 8.0)).collect(),
                most_waiting: told.max_queued_lines,
                under_way: told.lines_per_ms * told.message_latency_ms,
                message_lines: told.message_overhead_lines + 1.0,
                most_messages: capped.unwrap_or(f64::INFINITY),
                standing_lines: told.initial_servers,
                kept_ms: told.idle_timeout_ms * KEPT,
                cold_share: told.cold_capacity_share,
                warm_after_ms: told.warm_up_ms,
                cold_excess: told.overload_multiple * COLD_PART,
                dropped_may_stay: told.keep_unlisted_servers,
                may_probe: told.may_probe,
                may_refuse: told.admission == Admission::Share,
                has_tables: !told.sharded,
            },
            channel: Channel::of(told.message_overhead_lines + 1.0, told.message_window_ms),
            servers: Vec::new(),
            proxies: BTreeMap::new(),
            gone: BTreeMap::new(),
            cut: vec![false; told.zones],
            abroad: vec![false; told.zones],
            level: 1.0,
            level_since: now,
            ways: vec![(1.0, told.default_retry_policy); told.classes.len()],
            carried: 0.0,
            norms: Norms::default(),
            heard: Heard::default(),
            tick: now + TICK_MS,
            alarm: now,
            ask_at: if told.must_request_roster {
                now
            } else {
                f64::INFINITY
            },
            chance: Chance::from(seed),
            out: Orders::default(),
        }
    }

    // ---- events ----

    /// A list of roster entries arrived.
    pub fn roster_changed(&mut self, now: f64, extent: RosterUpdate, roster: &[RosterEntry]) {
        self.now = now;
        let named = |s| extent == RosterUpdate::Changes || roster.iter().any(|l| l.server == s);
        for s in (0..self.servers.len()).filter(|s| !named(*s)) {
            self.note_gone(s);
        }
        for l in roster {
            self.note_listed(l, extent == RosterUpdate::Restored);
        }
    }

    /// Marks a server as gone. Where unlisted servers may stay, one that is ready and has some health
    /// does, so that a wrong roster doesn't withdraw working servers.
    fn note_gone(&mut self, s: usize) {
        let may_stay = self.told.dropped_may_stay;
        let server = self.servers.get_mut(s);
        if let Some(s) = server.filter(|s| !(may_stay && s.ready() && s.health > 0.0)) {
            s.admin_state = AdminState::Gone;
        }
    }

    /// Applies one roster entry.
    fn note_listed(&mut self, l: &RosterEntry, at_start: bool) {
        if l.admin_state == AdminState::Gone {
            return self.note_gone(l.server);
        }
        let (now, zones) = (self.now, self.cut.len());
        while self.servers.len() <= l.server {
            self.servers.push(Server::unknown(zones));
        }
        let server = &mut self.servers[l.server];
        let fresh = l.started_ms.filter(|at| now - at < self.told.warm_after_ms);
        let returned = !server.ready() && l.admin_state == AdminState::Ready;
        let restarted = fresh.is_some() && l.started_ms != server.started;
        server.zone = l.zone;
        server.weight = if l.weight > 0.0 { l.weight } else { 1.0 };
        server.started = l.started_ms;
        server.admin_state = l.admin_state;
        if at_start && !server.known {
            // Listed when the controller started: no ramp, unless the server itself started recently.
            server.entered = fresh.unwrap_or(f64::NEG_INFINITY);
        } else if restarted || returned {
            (server.entered, server.health, server.judged) = (now, 1.0, now);
            server.views = vec![View::since(now); zones];
        }
        server.known = true;
    }

    /// The source of the roster was lost; the roster is requested again after a tick.
    pub fn roster_lost(&mut self, now: f64) {
        self.ask_at = now + TICK_MS;
    }

    /// A proxy joined; `pace` is its rate of visits per millisecond. Messages sent to it before it left
    /// still count, as message limits apply to a proxy and not to one of its streams.
    pub fn proxy_joined(&mut self, proxy: usize, zone: usize, pace: f64) {
        let mut fresh = Proxy::of(zone, pace, self.ways.len());
        if let Some((_, before)) = self.gone.remove(&proxy) {
            fresh.remembers(before);
        }
        self.proxies.insert(proxy, fresh);
    }

    /// A proxy left.
    pub fn proxy_left(&mut self, proxy: usize) {
        let left = self.proxies.remove(&proxy);
        self.gone.extend(left.map(|p| (proxy, (self.now, p))));
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
        self.channel.answered(proxy.and_then(|p| p.answered(mark)));
    }

    /// A report of tries at a server arrived.
    pub fn tries_reported(&mut self, now: f64, met: &TryStats) {
        let server = self.servers.get_mut(met.server);
        if let Some(server) = server.filter(|_| met.tries > 0.0) {
            server.views[met.zone].note(now, self.told.bucket_ms, met);
            self.heard.note(met, self.told.report_ms);
        }
    }

    /// A report of the visits that came to a proxy arrived.
    pub fn visits_reported(&mut self, proxy: usize, class: usize, visits: f64, window_ms: f64) {
        self.heard.lines += 1.0;
        if let Some(p) = self.proxies.get_mut(&proxy) {
            p.came(class, visits / window_ms.max(self.told.report_ms));
        }
    }

    /// A probe of a server ended after `took_ms`.
    pub fn probe_answered(&mut self, now: f64, server: usize, fine: bool, took_ms: f64) {
        let slow = !fine || took_ms > self.told.tight_ms * STRAIN;
        if let Some(s) = self.servers.get_mut(server) {
            s.answered = if fine { now } else { s.answered };
            s.refused = if slow { now } else { s.refused };
        }
    }

    // ---- rules: each has a condition, and an effect that makes the condition false ----

    /// Requests the roster when that is due.
    fn ask_for_the_list(&mut self) -> bool {
        let due = self.now >= self.ask_at;
        if due {
            self.ask_at = f64::INFINITY;
            self.out.request_roster = true;
        }
        due
    }

    /// Splits the shared table into parts, once, if there are more servers than a proxy's visits can
    /// keep connections open to. Prevents a new connection for every visit, costly handshakes, servers
    /// with too many connections, and tables too large for the channel. Does harm if the load differs
    /// between parts.
    fn part_the_table(&mut self) -> bool {
        let proxies = self.proxies.len() as f64;
        let servers = self.ready().count() as f64;
        let parted = !self.channel.parts.is_empty() || !self.told.has_tables;
        if parted || proxies * servers == 0.0 {
            return false;
        }
        let pace = self.proxies.values().map(|p| p.pace).sum::<f64>() / proxies;
        let kept = (pace * self.told.kept_ms).max(self.told.standing_lines * DRAWN);
        let many = if pace > 0.0 { servers / kept } else { 1.0 };
        for zone in 0..self.cut.len() {
            let near = self.ready().filter(|s| s.zone == zone).count() as f64;
            let parts = (many * near / servers).ceil() as usize;
            self.channel.parts.extend(vec![Part::of(Some(zone)); parts]);
        }
        if many < 1.5 {
            self.channel.parts = vec![Part::of(None)];
        }
        true
    }

    /// Assigns a new server to the part with the fewest servers, in its own zone if that has a part.
    fn deal_a_server(&mut self) -> bool {
        let Some(s) = self.first(|s| s.ready() && s.part.is_none()) else {
            return false;
        };
        let (zone, parts) = (self.servers[s].zone, &self.channel.parts);
        let there = |part: &usize| {
            let dealt = self.ready().filter(|o| o.part == Some(*part)).count();
            (parts[*part].away(zone), dealt)
        };
        self.servers[s].part = (0..parts.len()).min_by_key(there);
        !self.channel.parts.is_empty()
    }

    /// Withdraws a server that is draining or gone, at once and from all tables, unless no ready
    /// server has a weight yet.
    fn withdraw_what_is_not_ready(&mut self) -> bool {
        let ready = self.ready().next().is_some() && !self.proxies.is_empty();
        let bare = ready && !self.ready().any(|s| s.line > 0.0);
        let due = |s: &Server| s.known && !s.ready() && !s.withdrawn && !bare;
        let found = self.first(|s| due(s) && self.may_write(1.0, self.written(s)));
        found.is_some_and(|s| self.shut_or_allow(s, true, 1.0))
    }

    /// Allows a withdrawn server that is ready again.
    fn allow_what_is_ready_again(&mut self) -> bool {
        // A cold server must have a low weight first.
        let low = |s: &Server| !s.cold || s.line <= s.weight * self.able(s);
        let due = |s: &Server| s.ready() && s.withdrawn && low(s);
        let found = self.first(|s| due(s) && self.may_write(USUAL, self.written(s)));
        found.is_some_and(|s| self.shut_or_allow(s, false, URGENT))
    }

    /// Detects a network partition: no proxy of a zone is joined, and its servers answer almost nothing
    /// to the other zones, or in a split table get no visits from them. The link is taken to be at
    /// fault: the servers leave the table together, keep their health and return together. Also covers
    /// a zone without power. Does harm if a zone without proxies has few servers and all of them fail.
    fn see_a_cut_link(&mut self) -> bool {
        let off = |zone: &usize| {
            let good =
                |there| state::good_across(&self.servers, *zone, there, self.norms.lately - 1);
            let (there, here) = (good(true), good(false));
            let expected = here.0 * there.1 / here.1.max(f64::MIN_POSITIVE);
            let missed = expected >= ENOUGH && there.0 < expected * STRAIN_FAILING;
            let apart = !self.cut[*zone] && !self.joined(*zone);
            let (far, parted) = (self.abroad[*zone], self.channel.parts.len() > 1);
            apart
                && if far {
                    missed && self.asked(*zone)
                } else {
                    missed || parted
                }
        };
        let Some(zone) = (0..self.cut.len()).find(off) else {
            return false;
        };
        self.forgive(zone, true, "is cut off");
        true
    }

    /// Uses an unreachable zone again, without a ramp, when one of its proxies has joined or one of its
    /// servers has answered a probe. Neither ever happens where probes are not allowed and proxies join
    /// the controller of their own zone. There the zone is tried with visits: at once if no other zone
    /// has a warm server, or after the time of a ramp if the others are strained. Prevents overload of
    /// one zone next to idle ones, and all proxies of a lost zone falling on its first servers to
    /// return. Does harm while the partition lasts.
    fn see_a_link_mended(&mut self) -> bool {
        let answer = |s: &Server| s.ready() && s.answered > s.judged;
        let answers = |zone| self.first(|s| s.zone == zone && answer(s)).is_some();
        let warm = |s: &Server| s.ready() && !s.cold && !self.cut[s.zone];
        let (none, strained) = (
            self.first(warm).is_none(),
            self.strained(self.norms.half, STRAIN),
        );
        let lately = |s: &Server| self.now - s.judged < RAMP_TICKS * TICK_MS;
        let long = |zone| self.first(|s| s.zone == zone && lately(s)).is_none();
        let needed = |zone: usize| {
            // At once only if the zone wasn't tried this way before.
            let unasked = none && !self.abroad[zone];
            !self.told.may_probe && (unasked || (none || strained) && long(zone))
        };
        let told = |zone| self.joined(zone) || answers(zone);
        let mended = |zone: &usize| self.cut[*zone] && (told(*zone) || needed(*zone));
        let Some(zone) = (0..self.cut.len()).find(mended) else {
            return false;
        };
        self.abroad[zone] = !told(zone);
        self.tick = self.now;
        self.forgive(zone, false, "is reached again");
        true
    }

    /// Ejects a server that fails much more often than the fleet, by errors or by timeouts. Covers
    /// servers that accept visits and never answer, and machines that disappeared but are still in the
    /// roster. Does harm if one class of visits always fails and goes to few servers.
    fn put_out_the_failing(&mut self) -> bool {
        self.judge(Planner::failing, 0.0, self.norms.half, "failing")
    }

    /// Reduces the weight of a server that is slower than the fleet, or listed with too high a weight,
    /// by one step at a time. Does harm if costly visits hit one server by chance.
    fn trim_the_slow(&mut self) -> bool {
        let slow: Verdict = |p, s| s.health > TRIM_LEAST && p.slow(s, SLOW);
        self.judge(slow, TRIM, self.norms.quarter, "slow")
    }

    /// Lets health return: an ejected server starts a ramp once it has answered a probe (which alone
    /// proves little), a reduced one gains one step. Each needs a time that doubles with every earlier
    /// return, so that a flapping server doesn't regain its weight.
    fn let_health_return(&mut self) -> bool {
        let (now, ask) = (self.now, self.told.may_probe);
        let hurry = self.strained(self.norms.half, STRAIN);
        let ticks = if hurry { HOLD_TICKS / 4.0 } else { HOLD_TICKS };
        let out = TICK_MS * ticks * (1.0 + 0.1 * self.chance.draw());
        let longer = |s: &Server| f64::from(1 << s.relapses.min(RELAPSES));
        let fit = |s: &Server| match s.health == 0.0 {
            true => now - s.judged > out * longer(s) && (!ask || s.answered > s.judged),
            _ => now - s.judged > RAMP_TICKS * TICK_MS * longer(s) && !self.slow(s, SLOW / 2.0),
        };
        let Some(s) = self.first(|s| s.ready() && s.health < 1.0 && fit(s)) else {
            return false;
        };
        let server = &mut self.servers[s];
        if server.health == 0.0 {
            (server.health, server.entered) = (1.0, now);
        }
        (server.health, server.judged) = ((server.health / TRIM).min(1.0), now);
        server.relapses += 1;
        true
    }

    /// Orders retries for all classes where the first try provably never ran, as these can't repeat an
    /// effect. Where proxies support admission levels, also lowers them in overload, and most for the
    /// classes with the lowest earnings.
    fn set_levels_and_tries(&mut self) -> bool {
        if self.told.may_refuse && self.now - self.level_since >= TICK_MS {
            let tried = self.norms.pace(self.window_ms()) >= DRAINS * self.carried;
            let heavy = tried && self.strained(self.norms.half, OVERLOAD);
            let (down, up) = (self.level * 0.8, self.level + 0.1);
            let level = if heavy { down } else { up };
            (self.level, self.level_since) = (level.clamp(0.1, 1.0), self.now);
        }
        let share = |cheap: &f64| (self.level.powf(*cheap), RetryPolicy::OnProof);
        let ways: Vec<_> = self.told.cheapness.iter().map(share).collect();
        let parts = self.channel.parts.len();
        let price = |part| self.channel.price(Some(part), ways.len() as f64);
        let room = self.fits(HALF, (0..parts).map(price).sum());
        if ways == self.ways
            || parts == 0
            || !room
            || !self.may_write(USUAL, self.channel.busiest(None))
        {
            return false;
        }
        for (class, way) in ways.iter().enumerate() {
            for part in (0..parts).filter(|_| self.ways[class] != *way) {
                self.channel.add(Some(part), 1.0, 0.0);
                self.out.levels.push((part, class, way.0, way.1));
            }
        }
        self.ways = ways;
        true
    }

    /// Publishes changed weights of the shared table, on the tick. Large drops, as of restarted or
    /// failing servers, and lines of an empty part are published at once. Lines are written as far as
    /// the limits of the channel allow, the largest drops first; the others wait.
    fn publish(&mut self) -> bool {
        let due = self.now >= self.tick;
        if due {
            self.tick = self.now + TICK_MS;
        }
        let targets = self.targets();
        let held = |s: usize| self.servers[s].line;
        let mut stay = vec![false; self.channel.parts.len()];
        for (s, part, t) in &targets {
            stay[*part] |= *t > 0.0 && held(*s) > 0.0;
        }
        let bare: Vec<_> = (0..stay.len()).map(|p| self.bare(Some(p))).collect();
        let off = |(s, part, t): &(usize, usize, f64)| {
            let changed = (t - held(*s)).abs() > LINE_SLACK * held(*s);
            let shut = self.servers[*s].withdrawn && !self.servers[*s].ready();
            let urgent = bare[*part] || stay[*part] && *t < held(*s) * LOW && !shut;
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
            let low = t < self.servers[s].line * LOW;
            let (share, messages) = if low {
                (URGENT, PRESSING)
            } else {
                (HALF, USUAL)
            };
            if !self.fits(share, self.channel.price(Some(part), 1.0)) {
                break;
            }
            if !self.may_write(messages, self.channel.busiest(Some(part))) {
                continue;
            }
            wrote = true;
            self.channel.add(Some(part), 1.0, 0.0);
            self.servers[s].write(t);
            self.out.lines.retain(|(_, other, _)| *other != s);
            self.out.lines.push((part, s, t));
        }
        wrote || due
    }

    /// Binds a new proxy to the part with the least load, preferably of its own zone; until then the
    /// proxy keeps the table that it has. Moves proxies from a part with much more load per weight than
    /// another, as after servers left, and at once from a part without weight. Proxies that left count
    /// for the time of a ramp, since they keep their tables and their visits return. Without that, the
    /// parts of a zone that is being cut off would seem idle while its proxies leave.
    fn bind_a_proxy(&mut self) -> bool {
        let (now, ramp) = (self.now, RAMP_TICKS * TICK_MS);
        let kept = ramp.max(self.channel.span_ms);
        self.gone.retain(|_, (at, _)| now - *at < kept);
        let lately = self.gone.values().filter(|(at, _)| now - at < ramp);
        let all = self.proxies.values().chain(lately.map(|(_, p)| p));
        let loads = self.channel.loads(&self.servers, all, &self.cut);
        let cost = |p: &Proxy, part: usize, more: f64| {
            let away = self.channel.parts[part].away(p.zone);
            (loads[part].0 + more) / loads[part].1 * if away { AWAY } else { 1.0 }
        };
        let least = |p: &Proxy| {
            let open = (0..loads.len()).filter(|part| loads[*part].1 > 0.0);
            open.min_by(|a, b| cost(p, *a, p.pace).total_cmp(&cost(p, *b, p.pace)))
        };
        let uneven = |p: &Proxy, from: usize, times: f64| {
            let better = |to| cost(p, from, 0.0) > times * cost(p, to, p.pace);
            loads[from].1 == 0.0 || p.pace > 0.0 && least(p).is_some_and(better)
        };
        let waiting = self.proxies.iter().find(|(_, p)| p.part.is_none());
        // The limit counts the proxy's own messages; urgent moves may use more of it.
        let moves = |p: &Proxy| {
            let from = p.part.filter(|from| uneven(p, *from, UNEVEN));
            from.is_some_and(|from| {
                let share = if uneven(p, from, JAMMED) {
                    PRESSING
                } else {
                    USUAL
                };
                self.may_write(share, p.messages(now, self.channel.span_ms))
            })
        };
        let found = waiting.or_else(|| self.proxies.iter().find(|(_, p)| moves(p)));
        let Some((i, to)) = found.and_then(|(i, p)| Some((*i, least(p)?))) else {
            return false;
        };
        let price = self.table_lines(to) + self.told.message_lines;
        if self.out.bindings.iter().any(|b| b.0 == i) || !self.fits(HALF, price) {
            return false;
        }
        self.channel.add(None, 0.0, price);
        self.out.bindings.push((i, to));
        if let Some(proxy) = self.proxies.get_mut(&i) {
            (proxy.part, proxy.sent) = (Some(to), price);
        }
        true
    }

    /// Probes a server that is ejected, cold or in an unreachable zone: it gets few visits or none, and
    /// the absence of failures doesn't show that it works.
    fn probe_the_doubtful(&mut self) -> bool {
        let doubtful = |s: &Server| s.ready() && (s.health == 0.0 || s.cold || self.cut[s.zone]);
        let due = |s: &Server| doubtful(s) && self.now - s.asked >= TICK_MS / 2.0;
        let Some(s) = self.first(|s| self.told.may_probe && due(s)) else {
            return false;
        };
        self.servers[s].asked = self.now;
        self.out.probes.push(s);
        true
    }

    // ---- conditions and values that the rules use ----

    /// Index of the first server that passes the test.
    fn first(&self, test: impl Fn(&Server) -> bool) -> Option<usize> {
        self.servers.iter().position(test)
    }

    /// All servers whose admin state is ready.
    fn ready(&self) -> impl Iterator<Item = &Server> + Clone {
        self.servers.iter().filter(|s| s.ready())
    }

    /// Whether servers of a zone have been tried recently.
    fn asked(&self, zone: usize) -> bool {
        let there = self.ready().filter(|s| s.zone == zone);
        there.map(|s| s.lately.tries).sum::<f64>() >= ENOUGH
    }

    /// Whether a proxy of a zone is joined.
    fn joined(&self, zone: usize) -> bool {
        self.proxies.values().any(|p| p.zone == zone)
    }

    /// Whether a part has ready servers, but none with a published weight.
    fn bare(&self, part: Option<usize>) -> bool {
        let mut there = self.ready().filter(|s| s.part == part).peekable();
        part.is_some() && there.peek().is_some() && !there.any(|s| s.line > 0.0)
    }

    /// Withdraws a server (`out`) or allows it again, if the channel has room. Proxies that are not
    /// bound yet hold a few lines of their own, this server's perhaps, and get a share of the messages.
    fn shut_or_allow(&mut self, s: usize, out: bool, share: f64) -> bool {
        let part = self.servers[s].part;
        let strays = self.proxies.values().filter(|p| p.part.is_none()).count() as f64;
        let drawn = self.told.standing_lines / self.servers.len() as f64;
        let others = strays * drawn.min(1.0) * (1.0 + self.told.message_lines);
        if !self.fits(share, others + self.channel.price(part, 1.0)) {
            return false;
        }
        self.channel.add(part, 1.0, others);
        self.servers[s].withdrawn = out;
        self.out.withdrawals.push((s, out));
        true
    }

    /// Updates the statistics of the fleet, once per input. In a large fleet, report lines are queued
    /// before they arrive: then the recent time is extended to reach back to the newest of them.
    fn weigh_the_fleet(&mut self) {
        let heard = std::mem::take(&mut self.heard);
        if heard.tries > 0.0 {
            let full = heard.lines >= self.told.most_heard * FULL;
            self.norms.wait = if full { heard.late / heard.tries } else { 0.0 };
        }
        let waits = (self.norms.wait / self.told.bucket_ms).ceil();
        self.norms.lately = LATELY.max(waits as u64 + 1);
        for s in &mut self.servers {
            s.reckon(self.now, &self.told, &self.norms);
        }
        self.norms.weigh(&self.servers);
        if self.norms.used > 0.0 && !self.strained(self.norms.half, OVERLOAD) {
            self.carried = self.carried.max(self.norms.pace(self.window_ms()));
        }
    }

    /// Whether the fleet as a whole is slow or failing, so that others can't take over the load of one
    /// server. `norm` is the fleet's share of failures and mean time.
    fn strained(&self, norm: (f64, f64), limit: f64) -> bool {
        norm.0 > STRAIN_FAILING || norm.1 > self.told.tight_ms * limit
    }

    /// Whether a server fails for every zone that has tried it often enough; failures in one zone only
    /// point to a link. A server whose successful tries were slow is overloaded rather than broken:
    /// without it, the others would be overloaded next.
    fn failing(&self, s: &Server) -> bool {
        let least = FAILING.max(self.norms.half.0 * SLOW);
        let bad = |b: &Bucket| b.share_failed() >= least;
        let views = s.views.iter().map(|v| v.sum(0, self.norms.lately));
        let mut tried = views.filter(|b| b.tries >= ENOUGH / 2.0);
        let (all, long) = (s.lately, s.sum(0, LATELY * self.norms.lately));
        let broken = long.mean_ms().max(all.mean_ms()) <= self.told.tight_ms * LAG;
        let silent = all.good() == 0.0 && self.norms.half.0 <= STRAIN_FAILING;
        broken && enough(&all, silent) && bad(&all) && tried.all(|b| bad(&b))
    }

    /// Whether a server was slow or didn't answer in each of the last buckets, so that one costly visit
    /// doesn't count. `times` is the multiple of the best quarter's time that counts as slow.
    fn slow(&self, s: &Server, times: f64) -> bool {
        let bar = (times * self.norms.quarter.1).max(self.told.tight_ms * LAG);
        let mut each = (1..=LATELY).map(|back| s.sum(back, 1));
        let late = |b: Bucket| b.mean_ms() > bar || b.good() == 0.0 && b.tries > 0.0;
        let clear = s.lately.mean_ms() > bar * SLOW;
        enough(&s.lately, clear) && each.all(late)
    }

    /// Multiplies the health of the first server that `bad` holds for by `keep`. The total loss is
    /// limited, as failures of most of the fleet are not the fault of each server; the limit doesn't
    /// apply to reductions in a fleet without strain, which only redistribute the load. In a strained
    /// fleet, only servers without any successful try are affected.
    fn judge(&mut self, bad: Verdict, keep: f64, norm: (f64, f64), word: &str) -> bool {
        let strained = self.strained(norm, STRAIN);
        let apart = self.norms.half.1 > APART * self.norms.quarter.1;
        let wait = if apart { 0.0 } else { self.norms.wait };
        let window = self.told.bucket_ms * self.norms.lately as f64 + wait;
        let left = |s: &Server| s.weight * (MOST_EJECTED - 1.0 + s.health);
        let room: f64 = self.ready().map(left).sum();
        let guilty = |s: &Server| {
            let shares = keep > 0.0 && !strained;
            let fits = shares || s.weight * s.health * (1.0 - keep) <= room;
            let settled = self.now - s.judged > window || s.health == 1.0;
            let asked = s.part.is_some_and(|p| self.channel.parts[p].proxies > 0.0);
            let used = asked && s.ready() && s.line > 0.0 && s.health > 0.0 && !self.cut[s.zone];
            let needed = strained && s.lately.good() > 0.0;
            used && fits && settled && !needed && bad(self, s)
        };
        let Some(s) = self.first(guilty) else {
            return false;
        };
        let health = self.servers[s].health * keep;
        (self.servers[s].health, self.servers[s].judged) = (health, self.now);
        let note = format!("server {s} is {word}: health {health:.2}");
        self.out.notes.push(note);
        true
    }

    /// Marks a zone as unreachable or reachable and resets the health and statistics of its servers,
    /// since what was reported of them was due to the link.
    fn forgive(&mut self, zone: usize, cut: bool, word: &str) {
        self.cut[zone] = cut;
        for s in self.servers.iter_mut().filter(|s| s.zone == zone) {
            (s.health, s.judged) = (1.0, self.now);
            s.views.fill(View::since(self.now));
        }
        self.out.notes.push(format!("zone {zone} {word}"));
    }

    /// The weight that each server should have, as (server, part, weight): listed weight times ramp
    /// times health, limited for cold servers. In a part where no weight would remain, health and
    /// unreachable zones are ignored.
    fn targets(&self) -> Vec<(usize, usize, f64)> {
        let ramp = |s: &Server| {
            let gone = (self.now - s.entered) / (RAMP_TICKS * TICK_MS);
            (RAMP_FLOOR + (1.0 - RAMP_FLOOR) * gone).min(1.0)
        };
        let whole = |s: &Server| if s.ready() { s.weight * ramp(s) } else { 0.0 };
        let cut = |s: &Server| self.cut[s.zone];
        let judged = |s: &Server| if cut(s) { 0.0 } else { whole(s) * s.health };
        let mut some = vec![false; self.channel.parts.len()];
        let dealt = || self.servers.iter().filter_map(|s| s.part.map(|p| (s, p)));
        dealt().for_each(|(s, p)| some[p] |= judged(s) > 0.0);
        let line = |s: &Server, p: usize| if some[p] { judged(s) } else { whole(s) };
        // Proxies avoid servers that fail, so only the share that warm servers answer counts.
        let (mut warm, mut tries) = (vec![0.0; some.len()], vec![0.0; some.len()]);
        let mut any = vec![false; some.len()];
        for (s, p) in dealt() {
            tries[p] += s.lately.tries;
            if !s.cold {
                warm[p] += line(s, p) * (1.0 - s.lately.share_failed());
                any[p] |= line(s, p) > 0.0;
            }
        }
        let over = self.strained(self.norms.half, OVERLOAD);
        let caution = if over { COLD_CAUTION } else { 1.0 };
        let room = |p: usize| {
            // Without a known load, the fleet is assumed to be far above its capacity.
            let known = self.carried > 0.0 && tries[p] > 0.0;
            // Without warm servers, the load of the part depends only on the proxies bound to it.
            let some = warm[p] * self.carried / (tries[p] / self.window_ms());
            let room = if any[p] { some } else { 1.0 };
            if known {
                room / caution
            } else {
                UNKNOWN_ROOM / caution
            }
        };
        let capped = |s: &Server, p: usize| {
            let part = room(p) * self.able(s) * self.told.cold_excess;
            // If hardly any other server answers, any weight at all would attract all visits.
            let part = if part < RAMP_FLOOR / 2.0 { 0.0 } else { part };
            // While the server gets few tries and answers fast, its weight may grow.
            let able = self.carried * s.weight * self.able(s) * self.told.cold_excess;
            let little = s.lately.tries / self.window_ms() < able / 3.0;
            let fast = s.lately.good() > 0.0 && s.lately.mean_ms() < self.told.tight_ms * LAG;
            let grown = if little && fast { COLD_GROWTH } else { 0.0 };
            let most = (grown * s.line).max(part * s.weight);
            // Reports are delayed, but a slow probe shows at once that the server is sent too much.
            let full = self.now - s.refused < HOLD_TICKS * TICK_MS;
            let most = if full { 0.0 } else { most };
            let budget = s.cold && any.contains(&true);
            line(s, p).min(if budget { most } else { f64::INFINITY })
        };
        let dealt = self.servers.iter().enumerate();
        let line = |(i, s): (usize, &Server)| s.part.map(|p| (i, p, capped(s, p)));
        dealt.filter_map(line).collect()
    }

    /// Minimum share of its capacity that a server has at this time after its start.
    fn able(&self, s: &Server) -> f64 {
        let age = s.started.map_or(f64::INFINITY, |at| self.now - at);
        let warm = (age / self.told.warm_after_ms).min(1.0);
        self.told.cold_share + (1.0 - self.told.cold_share) * warm
    }

    /// Length of the recent time. Its newest bucket is still filling, unless reports are delayed.
    fn window_ms(&self) -> f64 {
        let filled = (self.norms.wait / self.told.bucket_ms).min(1.0);
        self.told.bucket_ms * ((self.norms.lately - 1) as f64 + filled)
    }

    /// Number of lines that a binding to a part sends: weights, withdrawals and levels.
    fn table_lines(&self, part: usize) -> f64 {
        let kept = self.servers.iter().filter(|s| s.part == Some(part));
        let lines = kept.filter(|s| s.line > 0.0 || s.withdrawn).count();
        (lines + self.ways.len()) as f64
    }

    /// Whether lines that cost `price` fit into a share of the channel's queue. All lines that no proxy
    /// has acknowledged may still be queued, except those that can be in flight. Ordinary lines leave
    /// room for urgent ones, even in case nothing is in flight.
    fn fits(&self, share: f64, price: f64) -> bool {
        let lines = self.channel.waiting + self.channel.adds + price;
        let queued = lines - self.told.under_way.min(self.channel.waiting);
        queued.max(lines * share / share.max(URGENT)) <= self.told.most_waiting * share
    }

    /// Most messages that any proxy of a server's part was sent recently.
    fn written(&self, s: &Server) -> f64 {
        s.part.map_or(0.0, |part| self.channel.busiest(Some(part)))
    }

    /// Whether a proxy that was sent `written` messages recently may be sent another one, within a share
    /// of its limit. For a part, `written` is that of its proxy with the most; other parts don't wait.
    fn may_write(&self, share: f64, written: f64) -> bool {
        written < (self.told.most_messages - 1.0) * share
    }

    /// The status of each server, by index, for logs.
    pub fn server_statuses(&self) -> impl Iterator<Item = ServerStatus> + '_ {
        self.servers.iter().map(|s| ServerStatus {
            published_weight: s.line,
            health: s.health,
            withdrawn: s.withdrawn,
            cold: s.cold,
            tries: s.lately.tries,
            failed: s.lately.failed,
            mean_ms: s.lately.mean_ms(),
        })
    }

    /// Evaluates the rules until none fires, and returns the orders with the mark of the message and
    /// the time of the next call.
    pub fn decide(&mut self, now: f64) -> Orders {
        self.now = now;
        self.weigh_the_fleet();
        self.channel.open(now, &self.proxies);
        while RULES.iter().any(|rule| rule(self)) {}
        self.out.mark = self.channel.close(now, &mut self.proxies);
        if self.alarm <= now || self.tick < self.alarm {
            self.alarm = self.tick;
            self.out.wake_at = Some(self.tick);
        }
        std::mem::take(&mut self.out)
    }
}
