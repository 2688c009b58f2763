//! Every decision of dahliapoint, to be read aloud.
//!
//! How it is called: `Planner::new` when a controller starts, then one method for each thing that
//! happens (`roster_changed`, `proxy_joined`, `tries_reported`, ...), which only notes it. What comes at
//! one moment is one input: after it, `Planner::decide` goes through `RULES` from the top until none
//! fires, and returns the `Orders` to carry out. Their interface is in `src/lib.rs`, plain memory and
//! sums in `src/state.rs`. No call reads a clock, a file or a wire.
//!
//! The order of the rules: what the list demands; what the evidence says, links before servers; the
//! way back; levels and tries; the table and who is bound to it; last the probes, which cost work.

use crate::state::{self, Bounds, Bucket, Chance, Channel, Heard, Norms, Part};
use crate::state::{Proxy, Server, View};
use crate::{
    AdminState, Admission, Orders, PlannerSettings, RetryPolicy, RosterEntry, RosterUpdate,
    ServerStatus, TryStats,
};
use std::collections::BTreeMap;

/// First settings of the design: the tick, the ramp in ticks, and its floor.
const TICK_MS: f64 = 2000.0;
const RAMP_TICKS: f64 = 5.0;
const RAMP_FLOOR: f64 = 0.1;
/// A line is written anew when it is off by more than this share.
const LINE_SLACK: f64 = 0.02;
/// Time buckets that count as lately, and that must all be slow.
const LATELY: u64 = 3;
/// Visits met that a verdict needs.
const ENOUGH: f64 = 8.0;
/// Of the lines of reports that can come at one time, those that show that others wait.
const FULL: f64 = 0.9;
/// Failing: at least this share, and so many times the fleet's norm.
const FAILING: f64 = 0.3;
/// Slow: so many times the fleet's norm, and over this share of the tightest soft limit.
const SLOW: f64 = 2.0;
const LAG: f64 = 0.5;
/// The best quarter is so many times as fast as the median: there is room, trims follow sooner.
const APART: f64 = 3.0;
/// The fleet is strained: over this share of the limit at the rank asked, or failing so much there.
const STRAIN: f64 = 0.4;
const STRAIN_FAILING: f64 = 0.1;
/// Overload: the fleet's median time over this share of the tightest soft limit.
const OVERLOAD: f64 = 0.9;
/// No more is refused when so little of what was carried is tried: a backlog drains.
const DRAINS: f64 = 0.5;
/// A step of trimming, and the least health that it leaves.
const TRIM: f64 = 0.6;
const TRIM_LEAST: f64 = 0.1;
/// Servers are put out until so much of the listed weight of ready servers has no health.
const MOST_EJECTED: f64 = 0.35;
/// The part of what pushes a cold server over that its line may bring; what of it is left until the
/// pace is known; its divisor in overload; and how far a line grows on the server's good showing.
const COLD_PART: f64 = 0.4;
const UNKNOWN_ROOM: f64 = 0.25;
const COLD_CAUTION: f64 = 3.0;
const COLD_GROWTH: f64 = 1.5;
/// Ticks that a server is put out for, and how often a relapse doubles that.
const HOLD_TICKS: f64 = 2.5;
const RELAPSES: u32 = 3;

/// Of the servers that a proxy's visits keep connections to, those in its part of the table; and of
/// those that it draws for itself at its start, those that a part has at the least.
const KEPT: f64 = 0.15;
const DRAWN: f64 = 0.5;
/// A line that falls below this share of what it was does not wait for the tick.
const LOW: f64 = 0.7;
/// Shares of the backlog that lines may fill: tables that can wait, and falls and returns.
const HALF: f64 = 0.5;
const URGENT: f64 = 0.7;
/// A part is this much busier than the least busy one before proxies are moved; and before that presses.
const UNEVEN: f64 = 1.2;
const JAMMED: f64 = 2.0;
/// Of the messages that a proxy may be written: what can wait, and what presses.
const USUAL: f64 = 0.7;
const PRESSING: f64 = 0.85;
/// What a part of another zone must be less busy by.
const AWAY: f64 = 1.1;

pub struct Planner {
    now: f64,
    told: Bounds,
    servers: Vec<Server>,
    proxies: BTreeMap<usize, Proxy>,
    /// Proxies that left lately, and when.
    gone: BTreeMap<usize, (f64, Proxy)>,
    /// What is written to the proxies of each part of the shared table.
    channel: Channel,
    /// Zones that no joined proxy reaches, and those that are asked all the same, for need.
    cut: Vec<bool>,
    abroad: Vec<bool>,
    /// The share of the dearest visits let in, when that last moved, and what was ordered by class.
    level: f64,
    level_since: f64,
    ways: Vec<(f64, RetryPolicy)>,
    /// The most tries by millisecond and weight that the fleet has carried short of overload.
    carried: f64,
    norms: Norms,
    /// What came with the newest reports; times of the next tick, of the alarm set, and of
    /// the next asking for the list.
    heard: Heard,
    tick: f64,
    alarm: f64,
    ask_at: f64,
    chance: Chance,
    out: Orders,
}

type Rule = fn(&mut Planner) -> bool;
type Verdict = fn(&Planner, &Server) -> bool;

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

/// Whether so much was met that a verdict may rest on it: half as much will do where it is clear.
fn enough(met: &Bucket, clear: bool) -> bool {
    met.tries >= if clear { ENOUGH / 2.0 } else { ENOUGH }
}

impl Planner {
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

    // ---- what is told ----

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

    /// Where a server that is merely dropped may stay, it does while it answers well: a list that
    /// is wrong then withdraws nobody.
    fn note_gone(&mut self, s: usize) {
        let may_stay = self.told.dropped_may_stay;
        let server = self.servers.get_mut(s);
        if let Some(s) = server.filter(|s| !(may_stay && s.ready() && s.health > 0.0)) {
            s.admin_state = AdminState::Gone;
        }
    }

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
            // Listed at our start: full weight, but the list may say that it began lately.
            server.entered = fresh.unwrap_or(f64::NEG_INFINITY);
        } else if restarted || returned {
            (server.entered, server.health, server.judged) = (now, 1.0, now);
            server.views = vec![View::since(now); zones];
        }
        server.known = true;
    }

    pub fn roster_lost(&mut self, now: f64) {
        self.ask_at = now + TICK_MS;
    }

    /// A proxy joins, to which so many visits come by millisecond. What it was written before it left
    /// counts: whoever limits messages counts them by proxy, not by stream.
    pub fn proxy_joined(&mut self, proxy: usize, zone: usize, pace: f64) {
        let mut fresh = Proxy::of(zone, pace, self.ways.len());
        if let Some((_, before)) = self.gone.remove(&proxy) {
            fresh.remembers(before);
        }
        self.proxies.insert(proxy, fresh);
    }

    pub fn proxy_left(&mut self, proxy: usize) {
        let left = self.proxies.remove(&proxy);
        self.gone.extend(left.map(|p| (proxy, (self.now, p))));
    }

    /// What would have bound a proxy did not reach it: it is bound again, by the same rule.
    pub fn binding_lost(&mut self, proxy: usize) {
        if let Some(p) = self.proxies.get_mut(&proxy) {
            p.part = None;
        }
    }

    pub fn orders_applied(&mut self, proxy: usize, mark: u32) {
        let proxy = self.proxies.get_mut(&proxy);
        self.channel.answered(proxy.and_then(|p| p.answered(mark)));
    }

    pub fn tries_reported(&mut self, now: f64, met: &TryStats) {
        let server = self.servers.get_mut(met.server);
        if let Some(server) = server.filter(|_| met.tries > 0.0) {
            server.views[met.zone].note(now, self.told.bucket_ms, met);
            self.heard.note(met, self.told.report_ms);
        }
    }

    pub fn visits_reported(&mut self, proxy: usize, class: usize, visits: f64, window_ms: f64) {
        self.heard.lines += 1.0;
        if let Some(p) = self.proxies.get_mut(&proxy) {
            p.came(class, visits / window_ms.max(self.told.report_ms));
        }
    }

    pub fn probe_answered(&mut self, now: f64, server: usize, fine: bool, took_ms: f64) {
        let slow = !fine || took_ms > self.told.tight_ms * STRAIN;
        if let Some(s) = self.servers.get_mut(server) {
            s.answered = if fine { now } else { s.answered };
            s.refused = if slow { now } else { s.refused };
        }
    }

    // ---- the rules: each is a condition and an effect that ends it ----

    fn ask_for_the_list(&mut self) -> bool {
        let due = self.now >= self.ask_at;
        if due {
            self.ask_at = f64::INFINITY;
            self.out.request_roster = true;
        }
        due
    }

    /// The shared table has one part, unless there are more servers than a proxy's visits can keep
    /// connections to. Guards against a connection for every visit, dear handshakes, servers full of
    /// connections, and tables that the channel cannot carry. May harm when parts differ in visits.
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

    /// Each server is in one part: the one with the fewest, of its own zone if there is any.
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

    /// Draining or gone: withdrawn at once, from whatever tables the proxies hold; but never bare.
    fn withdraw_what_is_not_ready(&mut self) -> bool {
        let ready = self.ready().next().is_some() && !self.proxies.is_empty();
        let bare = ready && !self.ready().any(|s| s.line > 0.0);
        let due = |s: &Server| s.known && !s.ready() && !s.withdrawn && !bare;
        let found = self.first(|s| due(s) && self.may_write(1.0, self.written(s)));
        found.is_some_and(|s| self.shut_or_allow(s, true, 1.0))
    }

    fn allow_what_is_ready_again(&mut self) -> bool {
        // A cold one only once its line is low.
        let low = |s: &Server| !s.cold || s.line <= s.weight * self.able(s);
        let due = |s: &Server| s.ready() && s.withdrawn && low(s);
        let found = self.first(|s| due(s) && self.may_write(USUAL, self.written(s)));
        found.is_some_and(|s| self.shut_or_allow(s, false, URGENT))
    }

    /// Guards against a cut between zones: no proxy of a zone is joined, and next to nothing comes
    /// back from its servers to the others, or none ask them. The link is at fault: the servers leave
    /// the table together, keep their health, and come back together. Also meets a whole zone without
    /// power. May harm when a zone without proxies has few servers and all are truly sick.
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

    /// Back from a cut, without a ramp: a proxy of that zone has joined, or a server there answers. Where
    /// nothing may be probed and proxies join their own zone's controller, neither ever comes: then the
    /// zone is asked by visits: at once where no warm server is at hand, or, a ramp after it was cut,
    /// while those at hand are strained. Guards against a zone's jam beside idle ones, and against a
    /// lost zone's proxies that all fall on its first servers to return. May harm while a cut lasts.
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
            // At once only where nothing but its absence spoke against it.
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

    /// Guards against servers that fail much more than the fleet does, fast or by time-outs: also those
    /// that take visits and answer none, and machines that vanished while the list still has them.
    /// May harm when one class fails by itself and comes to few servers.
    fn put_out_the_failing(&mut self) -> bool {
        self.judge(Planner::failing, 0.0, self.norms.half, "failing")
    }

    /// Guards against servers slower than the fleet, or listed too heavy: a step down at a time. May
    /// harm when costly visits fall on one by chance.
    fn trim_the_slow(&mut self) -> bool {
        let slow: Verdict = |p, s| s.health > TRIM_LEAST && p.slow(s, SLOW);
        self.judge(slow, TRIM, self.norms.quarter, "slow")
    }

    /// Back from out through the ramp, when a probe is answered (it alone proves little); a trimmed line
    /// by a step. Either after a time that doubles with each relapse: flapping regains nothing.
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

    /// Further tries after proof that the first never ran, everywhere: they repeat no effect. And
    /// where a deployment can refuse, a guard against overload: the least earnings go first.
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

    /// The shared table: listed weight times ramp times health, changed lines only, on the tick.
    /// What must fall far falls at once: restarted or judged servers do not wait for it; nor does a
    /// part that is empty. What fits is written, the farthest falls first; the rest waits its turn.
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

    /// A joining proxy is bound to the least busy part, at home if it can be; one that still waits
    /// keeps the table it holds. When a part is much busier than another for what its
    /// servers take, as after a shrink or a shift, proxies are moved; from an empty one, at once.
    /// Proxies that left keep their tables, and their visits come back: for as long as a ramp they count
    /// as there. Guards against a zone that is being cut off, whose parts seem idle just before.
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
        // Its own messages count; what presses may use more of them.
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

    /// Silence is not health: a server that is out, cold, or beyond a cut, is asked.
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

    // ---- what the rules go by ----

    fn first(&self, test: impl Fn(&Server) -> bool) -> Option<usize> {
        self.servers.iter().position(test)
    }

    fn ready(&self) -> impl Iterator<Item = &Server> + Clone {
        self.servers.iter().filter(|s| s.ready())
    }

    /// Visits have come to servers of a zone lately.
    fn asked(&self, zone: usize) -> bool {
        let there = self.ready().filter(|s| s.zone == zone);
        there.map(|s| s.lately.tries).sum::<f64>() >= ENOUGH
    }

    fn joined(&self, zone: usize) -> bool {
        self.proxies.values().any(|p| p.zone == zone)
    }

    /// No line of that part is left to pick, though a server is ready.
    fn bare(&self, part: Option<usize>) -> bool {
        let mut there = self.ready().filter(|s| s.part == part).peekable();
        part.is_some() && there.peek().is_some() && !there.any(|s| s.line > 0.0)
    }

    /// Proxies not bound yet hold a few lines, this one perhaps.
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

    /// Reckoned once an input: the norms, and what the fleet carries short of overload. At size a
    /// line of reports waits its turn: then lately reaches as far back as the newest line does.
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

    /// The fleet as a whole is slow or failing: what one server loses the others could not carry.
    fn strained(&self, norm: (f64, f64), limit: f64) -> bool {
        norm.0 > STRAIN_FAILING || norm.1 > self.told.tight_ms * limit
    }

    /// Failing for every zone that has sent it enough: failures seen from one zone only point to a
    /// link. One whose good answers have been slow is overloaded, not broken: others would be next.
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

    /// Slow, or past answering, in each of the last buckets, so that one costly visit does not count.
    fn slow(&self, s: &Server, times: f64) -> bool {
        let bar = (times * self.norms.quarter.1).max(self.told.tight_ms * LAG);
        let mut each = (1..=LATELY).map(|back| s.sum(back, 1));
        let late = |b: Bucket| b.mean_ms() > bar || b.good() == 0.0 && b.tries > 0.0;
        let clear = s.lately.mean_ms() > bar * SLOW;
        enough(&s.lately, clear) && each.all(late)
    }

    /// Takes health from the first server that the verdict is on; all of it only within what may be
    /// ejected: evidence against most of the fleet is not a fault of each server, but a trim short of
    /// strain only shares the work out. In a strained fleet only where no good answer comes at all.
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

    /// Clears the record of a zone's servers: what was seen there was the link.
    fn forgive(&mut self, zone: usize, cut: bool, word: &str) {
        self.cut[zone] = cut;
        for s in self.servers.iter_mut().filter(|s| s.zone == zone) {
            (s.health, s.judged) = (1.0, self.now);
            s.views.fill(View::since(self.now));
        }
        self.out.notes.push(format!("zone {zone} {word}"));
    }

    /// What each line ought to be, by server and part: listed weight times ramp times health; no cold
    /// server's beyond its budget. If nothing is left in a part, health and cuts are set aside there.
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
        // Proxies avoid what fails, so only what the warm servers answer counts as their part.
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
            // A controller that has seen nothing carried yet reckons with a fleet far over its load.
            let known = self.carried > 0.0 && tries[p] > 0.0;
            // Where none is warm, what the part as a whole is sent is up to who is bound to it.
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
            // Where next to nothing else is answered, any line at all would draw everything.
            let part = if part < RAMP_FLOOR / 2.0 { 0.0 } else { part };
            // While it is really sent little and answers that fast, the line may grow.
            let able = self.carried * s.weight * self.able(s) * self.told.cold_excess;
            let little = s.lately.tries / self.window_ms() < able / 3.0;
            let fast = s.lately.good() > 0.0 && s.lately.mean_ms() < self.told.tight_ms * LAG;
            let grown = if little && fast { COLD_GROWTH } else { 0.0 };
            let most = (grown * s.line).max(part * s.weight);
            // Reports are late: a probe that waits tells at once that it is sent too much.
            let full = self.now - s.refused < HOLD_TICKS * TICK_MS;
            let most = if full { 0.0 } else { most };
            let budget = s.cold && any.contains(&true);
            line(s, p).min(if budget { most } else { f64::INFINITY })
        };
        let dealt = self.servers.iter().enumerate();
        let line = |(i, s): (usize, &Server)| s.part.map(|p| (i, p, capped(s, p)));
        dealt.filter_map(line).collect()
    }

    /// What part of its work a server that started lately can do at the least.
    fn able(&self, s: &Server) -> f64 {
        let age = s.started.map_or(f64::INFINITY, |at| self.now - at);
        let warm = (age / self.told.warm_after_ms).min(1.0);
        self.told.cold_share + (1.0 - self.told.cold_share) * warm
    }

    /// The time that lately stands for: its newest bucket is still filling, unless lines are late.
    fn window_ms(&self) -> f64 {
        let filled = (self.norms.wait / self.told.bucket_ms).min(1.0);
        self.told.bucket_ms * ((self.norms.lately - 1) as f64 + filled)
    }

    /// Lines of a part of the table, its levels and its withdrawals.
    fn table_lines(&self, part: usize) -> f64 {
        let kept = self.servers.iter().filter(|s| s.part == Some(part));
        let lines = kept.filter(|s| s.line > 0.0 || s.withdrawn).count();
        (lines + self.ways.len()) as f64
    }

    /// Pacing: all lines that no proxy has answered for may still wait in the channel, but for those
    /// on their way. What can wait leaves a share free, and a reserve even if nothing is on its way.
    fn fits(&self, share: f64, price: f64) -> bool {
        let lines = self.channel.waiting + self.channel.adds + price;
        let queued = lines - self.told.under_way.min(self.channel.waiting);
        queued.max(lines * share / share.max(URGENT)) <= self.told.most_waiting * share
    }

    /// Messages that a server's line would add to.
    fn written(&self, s: &Server) -> f64 {
        s.part.map_or(0.0, |part| self.channel.busiest(Some(part)))
    }

    /// A proxy that was written so many messages lately may be written one more; a part's, where the
    /// busiest of its proxies may. Others are not held up by it.
    fn may_write(&self, share: f64, written: f64) -> bool {
        written < (self.told.most_messages - 1.0) * share
    }

    /// What is believed of each server, by index: for the operators' log.
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

    /// Goes through the rules until none fires, then closes the message and sets the alarm.
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
