//! The planner's state and the statistics computed from it. Nothing here decides anything.

use crate::message_pacing::{MessageLimit, MessageUsage};
use crate::{AdminState, TryStats};
use std::collections::{BTreeMap, VecDeque};

/// Time buckets kept of the reports; the oldest is reused.
const BUCKETS_KEPT: usize = 16;

/// Number of different marks; they are used in turn.
const MARKS: u64 = 65_536;

/// Totals of the tries in one time bucket, or in several.
#[derive(Clone, Copy, Default)]
pub struct Bucket {
    /// Number of the bucket: its time divided by the length of a bucket.
    pub number: u64,
    pub tries: f64,
    pub failed: f64,
    /// Total duration of the tries that did not fail.
    pub success_ms: f64,
}

impl Bucket {
    /// The sum of two totals.
    pub fn plus(mut self, other: &Bucket) -> Bucket {
        self.tries += other.tries;
        self.failed += other.failed;
        self.success_ms += other.success_ms;
        self
    }

    /// Tries that did not fail.
    pub fn successes(&self) -> f64 {
        (self.tries - self.failed).max(0.0)
    }

    /// Share of the tries that failed.
    pub fn failure_share(&self) -> f64 {
        self.failed / self.tries.max(1.0)
    }

    /// Mean duration of the tries that did not fail; 0 without any.
    pub fn mean_ms(&self) -> f64 {
        self.success_ms / self.successes().max(1.0)
    }
}

/// Tries that the proxies of one zone made at one server, in time buckets.
#[derive(Clone, Copy, Default)]
pub struct ZoneStats {
    /// Reports that reach back before this time are ignored.
    ignored_before: f64,
    /// Time of the last report.
    pub last_report_at: f64,
    /// Number of the newest bucket that sums include: the newest that reports can have covered.
    newest_bucket: u64,
    buckets: [Bucket; BUCKETS_KEPT],
}

impl ZoneStats {
    /// Empty statistics that ignore reports of the time before `now`.
    pub fn since(now: f64) -> ZoneStats {
        ZoneStats {
            ignored_before: now,
            last_report_at: now,
            ..ZoneStats::default()
        }
    }

    /// Records a report line, spread evenly over the time that it covers. Of a line that reaches back
    /// before `ignored_before`, only the time of its arrival is kept.
    pub fn record(&mut self, now: f64, bucket_ms: f64, stats: &TryStats) {
        self.last_report_at = now;
        if now - stats.window_ms < self.ignored_before {
            return;
        }
        let newest = (now / bucket_ms) as u64;
        let count = (stats.window_ms / bucket_ms).round().max(1.0);
        for back in 0..(count as u64).min(BUCKETS_KEPT as u64).min(newest + 1) {
            let number = newest - back;
            let bucket = &mut self.buckets[number as usize % BUCKETS_KEPT];
            if bucket.number != number {
                *bucket = Bucket::default();
            }
            bucket.number = number;
            bucket.tries += stats.tries / count;
            bucket.failed += stats.failed / count;
            bucket.success_ms += stats.mean_ms * (stats.tries - stats.failed).max(0.0) / count;
        }
    }

    /// The totals of `count` buckets, the newest `skipped` ones left out.
    pub fn total(&self, skipped: u64, count: u64) -> Bucket {
        let newest = self.newest_bucket.saturating_sub(skipped);
        let is_included = |b: &&Bucket| b.number <= newest && newest - b.number < count;
        let buckets = self.buckets.iter().filter(is_included);
        buckets.fold(Bucket::default(), Bucket::plus)
    }
}

/// Whether a server is shut out of all tables.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Withdrawal {
    /// It is not.
    Absent,
    /// It is, by the last order.
    Ordered,
    /// Its name may have been withdrawn before it got its index.
    Unknown,
}

/// A server: its admin state, health, published weight and statistics.
pub struct Server {
    /// It has been in a roster.
    pub listed: bool,
    pub zone: usize,
    pub admin_state: AdminState,
    pub weight: f64,
    /// Time of its last start, if known.
    pub started_at: Option<f64>,
    /// Time at which its ramp began; minus infinity if it was listed when the controller started.
    pub ramp_started_at: f64,
    /// The part of the shared table that it is in.
    pub part: Option<usize>,
    /// Whether it is shut out of all tables.
    pub withdrawal: Withdrawal,
    /// It may not have warmed up since its last start.
    pub cold: bool,
    /// Factor on its weight: 1 if it works well, less if it was slow, 0 if it is ejected.
    pub health: f64,
    /// Time at which its health was last changed.
    pub health_changed_at: f64,
    /// How often its health has returned; each time doubles the wait for the next return, up to a limit.
    pub recoveries: u32,
    /// Time of the last probe.
    pub probed_at: f64,
    /// Time of the last successful probe.
    pub probe_succeeded_at: f64,
    /// Time of the last probe that failed or was slow.
    pub probe_failed_at: f64,
    /// Weight that was last published for it.
    pub published_weight: f64,
    /// Weight before the last change; visits in flight may still follow it.
    pub previous_weight: f64,
    /// Statistics by zone of the proxies.
    pub zone_stats: Vec<ZoneStats>,
    /// Totals of all zones over the recent time, updated once per input.
    pub recent: Bucket,
}

impl Server {
    /// A server that no roster has named yet.
    pub fn unknown(zones: usize) -> Server {
        Server {
            listed: false,
            zone: 0,
            admin_state: AdminState::Gone,
            weight: 1.0,
            started_at: None,
            ramp_started_at: f64::NEG_INFINITY,
            part: None,
            withdrawal: Withdrawal::Absent,
            cold: false,
            health: 1.0,
            health_changed_at: f64::NEG_INFINITY,
            recoveries: 0,
            probed_at: f64::NEG_INFINITY,
            probe_succeeded_at: f64::NEG_INFINITY,
            probe_failed_at: f64::NEG_INFINITY,
            published_weight: 0.0,
            previous_weight: 0.0,
            zone_stats: vec![ZoneStats::default(); zones],
            recent: Bucket::default(),
        }
    }

    /// A server that takes over an index and the part of an earlier one. Whether its name is withdrawn since
    /// an earlier time is not known.
    pub fn reassigned(zones: usize, part: Option<usize>) -> Server {
        Server {
            part,
            withdrawal: Withdrawal::Unknown,
            ..Server::unknown(zones)
        }
    }

    /// Whether it may be shut out of all tables.
    pub fn may_be_withdrawn(&self) -> bool {
        self.withdrawal != Withdrawal::Absent
    }

    /// Whether it is certainly shut out of all tables.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawal == Withdrawal::Ordered
    }

    /// Whether its admin state is ready.
    pub fn is_ready(&self) -> bool {
        self.admin_state == AdminState::Ready
    }

    /// Updates the recent totals. They end at the newest bucket that a delayed report can have covered.
    pub fn update_recent(&mut self, now: f64, settings: &DerivedSettings, fleet: &FleetStats) {
        for zone in &mut self.zone_stats {
            let delay_ms = (now - zone.last_report_at).min(fleet.report_delay_ms);
            zone.newest_bucket = ((now - delay_ms) / settings.bucket_ms) as u64;
        }
        self.recent = self.total(0, fleet.recent_buckets);
        let is_cold = |started_at| now - started_at < settings.warm_up_ms;
        self.cold = self.started_at.is_some_and(is_cold);
    }

    /// The totals of all zones over `count` buckets, the newest `skipped` ones left out.
    pub fn total(&self, skipped: u64, count: u64) -> Bucket {
        let zones = self.zone_stats.iter();
        let totals = zones.map(|zone| zone.total(skipped, count));
        totals.fold(Bucket::default(), |sum, total| sum.plus(&total))
    }

    /// The totals of all zones but one over the newest `count` buckets.
    fn total_without_zone(&self, zone: usize, count: u64) -> Bucket {
        let zones = self.zone_stats.iter().enumerate();
        let others = zones.filter(|(z, _)| *z != zone);
        let totals = others.map(|(_, other)| other.total(0, count));
        totals.fold(Bucket::default(), |sum, total| sum.plus(&total))
    }

    /// Records a newly published weight.
    pub fn set_published_weight(&mut self, weight: f64) {
        self.previous_weight = self.published_weight;
        self.published_weight = weight;
    }
}

/// Successful tries by proxies of other zones than a given one.
#[derive(Default)]
pub struct RemoteSuccesses {
    pub successes: f64,
    /// Weight of the servers that the tries were made at.
    pub weight: f64,
}

/// Successful tries by the proxies of all zones but `zone` over the newest `count` buckets, at the ready
/// servers of that zone (`inside`) or at all others.
pub fn remote_successes(
    servers: &[Server],
    zone: usize,
    inside: bool,
    count: u64,
) -> RemoteSuccesses {
    let mut sum = RemoteSuccesses::default();
    for s in servers {
        if s.is_ready() && (s.zone == zone) == inside {
            sum.successes += s.total_without_zone(zone, count).successes();
            sum.weight += s.published_weight.max(s.previous_weight);
        }
    }
    sum
}

/// A joined proxy and the messages sent to it.
#[derive(Default)]
pub struct Proxy {
    pub zone: usize,
    /// Visits per millisecond that come to it.
    pub visit_rate: f64,
    /// The same by class.
    class_rates: Vec<f64>,
    /// The part of the shared table that it is bound to.
    pub part: Option<usize>,
    /// Lines that the current message contains for its binding.
    pub binding_lines: f64,
    /// Messages that it has not acknowledged, in the order of sending.
    unacknowledged: VecDeque<SentMessage>,
    /// Times of the messages sent to it recently.
    message_times: VecDeque<f64>,
}

/// A message to one proxy.
struct SentMessage {
    number: u64,
    lines: f64,
}

impl SentMessage {
    /// The mark that the proxy acknowledges it by.
    fn mark(&self) -> u32 {
        mark_of(self.number)
    }
}

/// The mark of the message with a number.
fn mark_of(number: u64) -> u32 {
    (number % MARKS) as u32
}

impl Proxy {
    /// A proxy without messages; its visits are taken to be spread evenly over the classes.
    pub fn new(zone: usize, visit_rate: f64, classes: usize) -> Proxy {
        Proxy {
            zone,
            visit_rate,
            class_rates: vec![visit_rate / classes.max(1) as f64; classes],
            ..Proxy::default()
        }
    }

    /// Takes over the messages of an earlier session of the same proxy: they still count.
    pub fn restore_messages(&mut self, before: Proxy) {
        self.message_times = before.message_times;
    }

    /// Updates the rate of a class as the mean of the old and the reported one.
    pub fn visits_reported(&mut self, class: usize, visit_rate: f64) {
        self.class_rates[class] = (self.class_rates[class] + visit_rate) / 2.0;
        self.visit_rate = self.class_rates.iter().sum();
    }

    /// Records a message, and forgets the times of those that were sent before the message window.
    pub fn message_sent(&mut self, now: f64, message_window_ms: f64, number: u64, lines: f64) {
        self.unacknowledged.push_back(SentMessage { number, lines });
        self.message_times.retain(|at| now - at < message_window_ms);
        self.message_times.push_back(now);
    }

    /// Drops the message with this mark from the unacknowledged ones.
    pub fn forget_message(&mut self, mark: u32) {
        self.unacknowledged.retain(|m| m.mark() != mark);
    }

    /// Drops the message with this mark and all before it from the unacknowledged ones. Returns the
    /// full number of the message.
    pub fn acknowledge(&mut self, mark: u32) -> Option<u64> {
        let mut messages = self.unacknowledged.iter();
        let at = messages.position(|m| m.mark() == mark)?;
        self.unacknowledged
            .drain(..=at)
            .next_back()
            .map(|m| m.number)
    }

    /// Lines that may still be queued for it. As the channel sends in order, messages older than the
    /// newest that any proxy has acknowledged have left the queue.
    pub fn queued_lines(&self, acknowledged: u64) -> f64 {
        let messages = self.unacknowledged.iter();
        let queued = messages.filter(|m| m.number >= acknowledged);
        queued.map(|m| m.lines).sum()
    }

    /// Times of the messages that it was sent within the window of the limit, the oldest first.
    pub fn recent_message_times(&self, now: f64, limit: MessageLimit) -> Vec<f64> {
        let times = self.message_times.iter().copied();
        times.filter(|at| now - at < limit.window_ms).collect()
    }

    /// How much of the limit on messages is used.
    pub fn message_usage(&self, now: f64, limit: MessageLimit) -> MessageUsage {
        if limit.is_absent() {
            return MessageUsage::default();
        }
        MessageUsage::of(&self.recent_message_times(now, limit), now, limit)
    }
}

/// A part of the shared table and its share of the current message.
#[derive(Clone)]
pub struct Part {
    /// The zone of its servers; none if it has servers of all zones.
    zone: Option<usize>,
    /// Number of proxies that are bound to it.
    pub bound_proxies: f64,
    /// The most that any of these proxies was sent recently.
    message_usage: MessageUsage,
    /// Lines that the current message adds for each of these proxies.
    pub added_lines: f64,
}

impl Part {
    /// An empty part for servers of a zone, or of all zones.
    pub fn new(zone: Option<usize>) -> Part {
        Part {
            zone,
            bound_proxies: 0.0,
            message_usage: MessageUsage::default(),
            added_lines: 0.0,
        }
    }

    /// Whether its servers are in another zone than this one.
    pub fn is_in_other_zone(&self, zone: usize) -> bool {
        self.zone.is_some_and(|z| z != zone)
    }
}

/// The visits that come to a part of the shared table, and the weight that serves them.
#[derive(Clone, Default)]
pub struct PartLoad {
    /// Visits per millisecond that come to the proxies bound to it.
    pub visit_rate: f64,
    /// Weight of its servers.
    pub weight: f64,
}

/// The channel to the proxies: the lines queued in it and the message that is being built. Each proxy
/// concerned gets its own lines of a message, at the same cost as a message of its own.
#[derive(Default)]
pub struct Channel {
    /// The parts of the shared table.
    pub parts: Vec<Part>,
    /// Lines that may still be queued.
    pub queued_lines: f64,
    /// Lines that the current message adds, its fixed costs included.
    pub added_lines: f64,
    /// Those of them that are not for all proxies of a part.
    added_singly: f64,
    /// Fixed cost of a message to one proxy, in lines.
    message_overhead_lines: f64,
    /// The limit on messages to one proxy.
    pub message_limit: MessageLimit,
    /// Number of the last message.
    last_message: u64,
    /// Number of the newest message that any proxy has acknowledged.
    acknowledged: u64,
}

impl Channel {
    /// A channel without parts and messages.
    pub fn new(message_overhead_lines: f64, message_limit: MessageLimit) -> Channel {
        Channel {
            message_overhead_lines,
            message_limit,
            ..Channel::default()
        }
    }

    /// A proxy has acknowledged the message with this number.
    pub fn acknowledge(&mut self, number: Option<u64>) {
        self.acknowledged = self.acknowledged.max(number.unwrap_or(0));
    }

    /// The cost of more lines for a part, over all of its proxies: the first ones also cost each proxy
    /// the overhead of a message.
    pub fn cost(&self, part: Option<usize>, lines: f64) -> f64 {
        let Some(part) = part.map(|p| &self.parts[p]) else {
            return 0.0;
        };
        let overhead_lines = if part.added_lines == 0.0 {
            self.message_overhead_lines
        } else {
            0.0
        };
        part.bound_proxies * (lines + overhead_lines)
    }

    /// Adds lines for all proxies of a part, and `single_lines` for single proxies.
    pub fn add(&mut self, part: Option<usize>, lines: f64, single_lines: f64) {
        self.added_lines += single_lines + self.cost(part, lines);
        self.added_singly += single_lines;
        if let Some(part) = part {
            self.parts[part].added_lines += lines;
        }
    }

    /// The most that any proxy of a part, or of all parts, was sent recently.
    pub fn message_usage(&self, part: Option<usize>) -> MessageUsage {
        let parts = self.parts.iter().enumerate();
        let selected = parts.filter(|(i, _)| part.is_none_or(|part| part == *i));
        let usages = selected.map(|(_, p)| p.message_usage);
        usages.fold(MessageUsage::default(), MessageUsage::max)
    }

    /// The load of each part. Servers that are withdrawn or in excluded zones don't count.
    pub fn loads<'a>(
        &self,
        servers: &[Server],
        proxies: impl Iterator<Item = &'a Proxy>,
        excluded_zones: &[bool],
    ) -> Vec<PartLoad> {
        let mut loads = vec![PartLoad::default(); self.parts.len()];
        for p in proxies {
            if let Some(part) = p.part {
                loads[part].visit_rate += p.visit_rate;
            }
        }
        let is_open =
            |s: &&Server| s.is_ready() && !s.may_be_withdrawn() && !excluded_zones[s.zone];
        for s in servers.iter().filter(is_open) {
            if let Some(part) = s.part {
                loads[part].weight += s.published_weight;
            }
        }
        loads
    }

    /// Begins a message: counts what is queued, and what each part's proxies were sent.
    pub fn begin_message(&mut self, now: f64, proxies: &mut BTreeMap<usize, Proxy>) {
        self.queued_lines = 0.0;
        self.added_lines = 0.0;
        self.added_singly = 0.0;
        for part in &mut self.parts {
            *part = Part::new(part.zone);
        }
        for p in proxies.values_mut() {
            p.binding_lines = 0.0;
            self.queued_lines += p.queued_lines(self.acknowledged);
            if let Some(part) = p.part.map(|part| &mut self.parts[part]) {
                part.bound_proxies += 1.0;
                let usage = p.message_usage(now, self.message_limit);
                part.message_usage = part.message_usage.max(usage);
            }
        }
    }

    /// Lines of the current message for one proxy, the fixed cost included; 0 if it gets no message.
    fn lines_of(&self, proxy: &Proxy, unbound_lines: f64) -> f64 {
        match proxy.part.map(|part| self.parts[part].added_lines) {
            Some(part_lines) if part_lines > 0.0 => {
                part_lines + self.message_overhead_lines + proxy.binding_lines
            }
            Some(_) => proxy.binding_lines,
            None => unbound_lines,
        }
    }

    /// Lines of the current message for each proxy that is not bound.
    fn lines_of_unbound(&self, proxies: &BTreeMap<usize, Proxy>) -> f64 {
        let unbound = proxies.values().filter(|p| p.part.is_none()).count();
        let binding_lines: f64 = proxies.values().map(|p| p.binding_lines).sum();
        (self.added_singly - binding_lines).max(0.0) / unbound.max(1) as f64
    }

    /// The proxies that get the current message.
    pub fn concerned<'a>(
        &'a self,
        proxies: &'a BTreeMap<usize, Proxy>,
    ) -> impl Iterator<Item = &'a Proxy> {
        let unbound_lines = self.lines_of_unbound(proxies);
        let is_concerned = move |p: &&Proxy| self.lines_of(p, unbound_lines) > 0.0;
        proxies.values().filter(is_concerned)
    }

    /// Ends the message and records it for each proxy that gets lines. Returns its mark, unless it is
    /// empty.
    pub fn finish_message(
        &mut self,
        now: f64,
        proxies: &mut BTreeMap<usize, Proxy>,
    ) -> Option<u32> {
        if self.added_lines == 0.0 {
            return None;
        }
        self.last_message += 1;
        let unbound_lines = self.lines_of_unbound(proxies);
        for p in proxies.values_mut() {
            let lines = self.lines_of(p, unbound_lines);
            if lines > 0.0 {
                p.message_sent(now, self.message_limit.window_ms, self.last_message, lines);
            }
        }
        Some(mark_of(self.last_message))
    }
}

/// Totals of the reports since the last decision.
#[derive(Default)]
pub struct ReportTotals {
    /// Report lines.
    pub lines: f64,
    pub tries: f64,
    /// Sum of the tries of each line times its delay in milliseconds.
    pub delayed_tries_ms: f64,
}

impl ReportTotals {
    /// Adds a line. Its delay is the time that it covers beyond one report interval.
    pub fn record(&mut self, stats: &TryStats, report_interval_ms: f64) {
        self.lines += 1.0;
        self.tries += stats.tries;
        self.delayed_tries_ms += stats.tries * (stats.window_ms - report_interval_ms).max(0.0);
    }
}

/// Values at one quantile of the servers, each sorted by itself.
#[derive(Clone, Copy, Default)]
pub struct FleetQuantile {
    /// Share of a server's tries that failed.
    pub failure_share: f64,
    /// Mean duration of a server's successful tries.
    pub mean_ms: f64,
}

/// Statistics of the whole fleet, updated once per input.
#[derive(Default)]
pub struct FleetStats {
    /// The median of the servers.
    pub median: FleetQuantile,
    /// The best quarter of the servers is better than this.
    pub best_quarter: FleetQuantile,
    /// Recent tries.
    pub tries: f64,
    /// Weight of the servers that had any.
    pub used_weight: f64,
    /// Mean delay of report lines beyond one report interval.
    pub report_delay_ms: f64,
    /// Number of buckets that count as recent.
    pub recent_buckets: u64,
}

impl FleetStats {
    /// Tries per millisecond and unit of weight.
    pub fn try_rate(&self, window_ms: f64) -> f64 {
        self.tries / self.used_weight.max(f64::MIN_POSITIVE) / window_ms
    }

    /// Updates the statistics from the servers' recent totals.
    pub fn update(&mut self, servers: &[Server]) {
        let used = servers
            .iter()
            .filter(|s| s.is_ready() && s.published_weight > 0.0);
        let tried = used.filter(|s| s.recent.tries > 0.0);
        let answering = tried.clone().filter(|s| s.recent.successes() > 0.0);
        let failure_shares = sorted(tried.map(|s| s.recent.failure_share()).collect());
        let times_ms = sorted(answering.map(|s| s.recent.mean_ms()).collect());
        let at = |share| FleetQuantile {
            failure_share: quantile(&failure_shares, share),
            mean_ms: quantile(&times_ms, share),
        };
        self.median = at(0.5);
        self.best_quarter = at(0.25);
        let tried = servers.iter().filter(|s| s.recent.tries > 0.0);
        self.tries = tried.clone().map(|s| s.recent.tries).sum();
        self.used_weight = tried.map(|s| s.weight).sum();
    }
}

/// The settings in the form that decisions use.
pub struct DerivedSettings {
    /// Interval at which proxies report.
    pub report_interval_ms: f64,
    /// Report lines that can arrive in one report interval.
    pub max_report_lines: f64,
    /// Length of a time bucket.
    pub bucket_ms: f64,
    /// The lowest soft limit of all classes.
    pub min_soft_limit_ms: f64,
    /// By class, the exponent applied to the admission level: it is higher for lower earnings, so these
    /// classes are limited most.
    pub level_exponents: Vec<f64>,
    /// Lines that may be queued in the channel.
    pub max_queued_lines: f64,
    /// Lines that can be in flight in the channel.
    pub max_in_flight_lines: f64,
    /// Fixed cost of a message, in lines: the deployment's overhead and one line more.
    pub message_overhead_lines: f64,
    /// Other messages leave so many that withdrawals can be sent at this interval.
    pub max_withdrawal_interval_ms: f64,
    /// Servers that a proxy picks by itself at its start.
    pub initial_servers: f64,
    /// How far apart a proxy's visits to one server may be on average.
    pub max_visit_gap_ms: f64,
    /// Share of its capacity that a server has at least when it has just started.
    pub cold_capacity_share: f64,
    /// Time from a server's start to its full capacity.
    pub warm_up_ms: f64,
    /// Load that a cold server may be sent, as a multiple of its current capacity.
    pub max_cold_load: f64,
    /// A proxy avoids a server for some seconds after some failures.
    pub proxies_avoid_failing_servers: bool,
    /// A server that is merely missing from a snapshot may stay in the tables.
    pub keep_unlisted_servers: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Admission levels limit the share of visits that is admitted.
    pub may_limit_admission: bool,
    /// The deployment has a shared table.
    pub has_shared_table: bool,
}

/// Multiply-with-carry random number generator: value and carry.
pub struct Rng(u32, u32);

impl Rng {
    /// A generator whose numbers depend only on the seed.
    pub fn new(seed: u64) -> Rng {
        Rng(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    /// The next number, from 0 to 1.
    pub fn next_unit(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / f64::from(u32::MAX)
    }
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

/// The value that this share of the sorted values lie below; 0 without any.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len() as f64 * share) as usize;
    sorted.get(at).copied().unwrap_or(0.0)
}
