//! The planner's state and the statistics computed from it. Nothing here decides anything.

use crate::{AdminState, TryStats};
use std::collections::{BTreeMap, VecDeque};

/// Time buckets kept of the reports; the oldest is reused.
const RING: usize = 16;

/// Totals of the tries in one time bucket, or in several.
#[derive(Clone, Copy, Default)]
pub struct Bucket {
    /// Number of the bucket: its time divided by the length of a bucket.
    pub stamp: u64,
    pub tries: f64,
    pub failed: f64,
    /// Total duration of the tries that did not fail.
    pub good_ms: f64,
}

impl Bucket {
    /// The totals of both.
    pub fn and(mut self, other: &Bucket) -> Bucket {
        self.tries += other.tries;
        self.failed += other.failed;
        self.good_ms += other.good_ms;
        self
    }

    /// Tries that did not fail.
    pub fn good(&self) -> f64 {
        (self.tries - self.failed).max(0.0)
    }

    /// Share of the tries that failed.
    pub fn share_failed(&self) -> f64 {
        self.failed / self.tries.max(1.0)
    }

    /// Mean duration of the tries that did not fail; 0 without any.
    pub fn mean_ms(&self) -> f64 {
        self.good_ms / self.good().max(1.0)
    }
}

/// Tries that the proxies of one zone made at one server, in time buckets.
#[derive(Clone, Copy, Default)]
pub struct View {
    /// Reports that reach back before this time are ignored.
    since: f64,
    /// Time of the last report.
    pub heard: f64,
    /// Number of the newest bucket that sums include: the newest that reports can have covered.
    last: u64,
    ring: [Bucket; RING],
}

impl View {
    /// Empty statistics that ignore reports of the time before `now`.
    pub fn since(now: f64) -> View {
        let (since, heard) = (now, now);
        View {
            since,
            heard,
            ..View::default()
        }
    }

    /// Records a report line, spread evenly over the time that it covers. Of a line that reaches back
    /// before `since`, only the time of its arrival is kept.
    pub fn note(&mut self, now: f64, bucket_ms: f64, met: &TryStats) {
        self.heard = now;
        if now - met.window_ms < self.since {
            return;
        }
        let newest = (now / bucket_ms) as u64;
        let many = (met.window_ms / bucket_ms).round().max(1.0);
        for back in 0..(many as u64).min(RING as u64).min(newest + 1) {
            let stamp = newest - back;
            let bucket = &mut self.ring[stamp as usize % RING];
            if bucket.stamp != stamp {
                *bucket = Bucket::default();
            }
            bucket.stamp = stamp;
            bucket.tries += met.tries / many;
            bucket.failed += met.failed / many;
            bucket.good_ms += met.mean_ms * (met.tries - met.failed).max(0.0) / many;
        }
    }

    /// The totals of `many` buckets, the newest `back` ones left out.
    pub fn sum(&self, back: u64, many: u64) -> Bucket {
        let last = self.last.saturating_sub(back);
        let within = |b: &&Bucket| b.stamp <= last && last - b.stamp < many;
        let buckets = self.ring.iter().filter(within);
        buckets.fold(Bucket::default(), Bucket::and)
    }
}

/// A server: its admin state, health, published weight and statistics.
pub struct Server {
    /// It has been in a roster.
    pub known: bool,
    pub zone: usize,
    pub admin_state: AdminState,
    pub weight: f64,
    /// Time of its last start, if known.
    pub started: Option<f64>,
    /// Time at which its ramp began; minus infinity if it was listed when the controller started.
    pub entered: f64,
    /// The part of the shared table that it is in.
    pub part: Option<usize>,
    /// It is shut out of all tables.
    pub withdrawn: bool,
    /// It may not have warmed up since its last start.
    pub cold: bool,
    /// Factor on its weight: 1 if it works well, less if it was slow, 0 if it is ejected.
    pub health: f64,
    /// Time at which its health was last changed.
    pub judged: f64,
    /// How often its health has returned; each time doubles the wait for the next return.
    pub relapses: u32,
    /// Time of the last probe.
    pub asked: f64,
    /// Time of the last successful probe.
    pub answered: f64,
    /// Time of the last probe that failed or was slow.
    pub refused: f64,
    /// Weight that was last published for it.
    pub line: f64,
    /// Weight before the last change; visits in flight may still follow it.
    pub line_before: f64,
    /// Statistics by zone of the proxies.
    pub views: Vec<View>,
    /// Totals of all zones over the recent time, updated once per input.
    pub lately: Bucket,
}

impl Server {
    /// A server that no roster has named yet.
    pub fn unknown(zones: usize) -> Server {
        Server {
            known: false,
            zone: 0,
            admin_state: AdminState::Gone,
            weight: 1.0,
            started: None,
            entered: f64::NEG_INFINITY,
            part: None,
            withdrawn: false,
            cold: false,
            health: 1.0,
            judged: f64::NEG_INFINITY,
            relapses: 0,
            asked: f64::NEG_INFINITY,
            answered: f64::NEG_INFINITY,
            refused: f64::NEG_INFINITY,
            line: 0.0,
            line_before: 0.0,
            views: vec![View::default(); zones],
            lately: Bucket::default(),
        }
    }

    /// Whether its admin state is ready.
    pub fn ready(&self) -> bool {
        self.admin_state == AdminState::Ready
    }

    /// Updates the recent totals. They end at the newest bucket that a delayed report can have covered.
    pub fn reckon(&mut self, now: f64, told: &Bounds, norms: &Norms) {
        for v in &mut self.views {
            v.last = ((now - (now - v.heard).min(norms.wait)) / told.bucket_ms) as u64;
        }
        self.lately = self.sum(0, norms.lately);
        let began = |at| now - at < told.warm_after_ms;
        self.cold = self.started.is_some_and(began);
    }

    /// The totals of all zones over `many` buckets, the newest `back` ones left out.
    pub fn sum(&self, back: u64, many: u64) -> Bucket {
        let sums = self.views.iter().map(|v| v.sum(back, many));
        sums.fold(Bucket::default(), |a, b| a.and(&b))
    }

    /// The totals of all zones but one.
    pub fn seen_from_outside(&self, zone: usize, many: u64) -> Bucket {
        let views = self.views.iter().enumerate().filter(|(z, _)| *z != zone);
        views.fold(Bucket::default(), |a, (_, v)| a.and(&v.sum(0, many)))
    }

    /// Records a newly published weight.
    pub fn write(&mut self, line: f64) {
        self.line_before = self.line;
        self.line = line;
    }
}

/// Successful tries by the proxies of other zones than `zone`, and the weights that these tries
/// followed: at the servers of that zone if `there` holds, otherwise at all other servers.
pub fn good_across(servers: &[Server], zone: usize, there: bool, many: u64) -> (f64, f64) {
    let asked = servers
        .iter()
        .filter(|s| s.ready() && (s.zone == zone) == there);
    asked.fold((0.0, 0.0), |sum, s| {
        let met = s.seen_from_outside(zone, many);
        (sum.0 + met.good(), sum.1 + s.line.max(s.line_before))
    })
}

/// A joined proxy and the messages sent to it.
#[derive(Default)]
pub struct Proxy {
    pub zone: usize,
    /// Visits per millisecond that come to it.
    pub pace: f64,
    /// The same by class.
    paces: Vec<f64>,
    /// The part of the shared table that it is bound to.
    pub part: Option<usize>,
    /// Lines that the current message contains for its binding.
    pub sent: f64,
    /// Messages that it has not acknowledged, as number and lines.
    unanswered: VecDeque<(u64, f64)>,
    /// Times of the messages sent to it recently.
    written: VecDeque<f64>,
}

impl Proxy {
    /// A proxy without messages; its visits are taken to be spread evenly over the classes.
    pub fn of(zone: usize, pace: f64, classes: usize) -> Proxy {
        Proxy {
            zone,
            pace,
            paces: vec![pace / classes.max(1) as f64; classes],
            ..Proxy::default()
        }
    }

    /// Takes over the messages of an earlier session of the same proxy: they still count.
    pub fn remembers(&mut self, before: Proxy) {
        self.written = before.written;
    }

    /// Updates the rate of a class as the mean of the old and the reported one.
    pub fn came(&mut self, class: usize, pace: f64) {
        self.paces[class] = (self.paces[class] + pace) / 2.0;
        self.pace = self.paces.iter().sum();
    }

    /// Records a message with this number of lines, and forgets the times before `span_ms`.
    pub fn wrote(&mut self, now: f64, span_ms: f64, number: u64, lines: f64) {
        self.unanswered.push_back((number, lines));
        self.written.retain(|at| now - at < span_ms);
        self.written.push_back(now);
    }

    /// Drops the message with this mark and all before it from the unacknowledged ones. Returns the
    /// full number of the message.
    pub fn answered(&mut self, mark: u32) -> Option<u64> {
        let mut sent = self.unanswered.iter();
        let at = sent.position(|(n, _)| *n as u32 % 65536 == mark)?;
        self.unanswered.drain(..=at).next_back().map(|(n, _)| n)
    }

    /// Lines that may still be queued for it. As the channel sends in order, messages older than
    /// `past`, which some proxy has acknowledged, have left the queue.
    pub fn waiting(&self, past: u64) -> f64 {
        let left = self.unanswered.iter().filter(|(n, _)| *n >= past);
        left.map(|(_, lines)| lines).sum()
    }

    /// Number of messages sent to it within `span_ms`.
    pub fn messages(&self, now: f64, span_ms: f64) -> f64 {
        let lately = self.written.iter().filter(|at| now - **at < span_ms);
        lately.count() as f64
    }
}

/// A part of the shared table and its share of the current message.
#[derive(Clone)]
pub struct Part {
    /// The zone of its servers; none if it has servers of all zones.
    zone: Option<usize>,
    /// Number of proxies that are bound to it.
    pub proxies: f64,
    /// Most messages that any of these proxies was sent recently.
    messages: f64,
    /// Lines that the current message adds for each of these proxies.
    adds: f64,
}

impl Part {
    /// An empty part for servers of a zone, or of all zones.
    pub fn of(zone: Option<usize>) -> Part {
        Part {
            zone,
            proxies: 0.0,
            messages: 0.0,
            adds: 0.0,
        }
    }

    /// Whether its servers are in another zone than this one.
    pub fn away(&self, zone: usize) -> bool {
        self.zone.is_some_and(|z| z != zone)
    }
}

/// The channel to the proxies: the lines queued in it and the message that is being built. Each proxy
/// concerned gets its own lines of a message, at the same cost as a message of its own.
#[derive(Default)]
pub struct Channel {
    /// The parts of the shared table.
    pub parts: Vec<Part>,
    /// Lines that may still be queued.
    pub waiting: f64,
    /// Lines that the current message adds, its fixed costs included.
    pub adds: f64,
    /// Those of them that are not for all proxies of a part.
    strays: f64,
    /// Fixed cost of a message to one proxy, in lines.
    message_lines: f64,
    /// The window in which messages to a proxy are counted.
    pub span_ms: f64,
    /// Number of the last message.
    number: u64,
    /// Number of the newest message that any proxy has acknowledged.
    past: u64,
}

impl Channel {
    /// A channel without parts and messages.
    pub fn of(message_lines: f64, span_ms: f64) -> Channel {
        Channel {
            message_lines,
            span_ms,
            ..Channel::default()
        }
    }

    /// A proxy has acknowledged the message with this number.
    pub fn answered(&mut self, number: Option<u64>) {
        self.past = self.past.max(number.unwrap_or(0));
    }

    /// The cost of more lines for a part, over all of its proxies: the first ones also cost each proxy
    /// the overhead of a message.
    pub fn price(&self, part: Option<usize>, lines: f64) -> f64 {
        let Some(part) = part.map(|p| &self.parts[p]) else {
            return 0.0;
        };
        let fresh = part.adds == 0.0;
        part.proxies * (lines + if fresh { self.message_lines } else { 0.0 })
    }

    /// Adds lines for all proxies of a part, and `others` for single proxies.
    pub fn add(&mut self, part: Option<usize>, lines: f64, others: f64) {
        self.adds += others + self.price(part, lines);
        self.strays += others;
        if let Some(part) = part {
            self.parts[part].adds += lines;
        }
    }

    /// Most messages that any proxy of a part, or of all parts, was sent recently.
    pub fn busiest(&self, part: Option<usize>) -> f64 {
        let parts = self.parts.iter().enumerate();
        let named = parts.filter(|(i, _)| part.is_none_or(|p| p == *i));
        named.map(|(_, p)| p.messages).fold(0.0, f64::max)
    }

    /// For each part, the visits per millisecond that come to its proxies and the weight of its servers
    /// in reachable zones.
    pub fn loads<'a>(
        &self,
        servers: &[Server],
        proxies: impl Iterator<Item = &'a Proxy>,
        cut: &[bool],
    ) -> Vec<(f64, f64)> {
        let mut loads = vec![(0.0, 0.0); self.parts.len()];
        for p in proxies {
            if let Some(part) = p.part {
                loads[part].0 += p.pace;
            }
        }
        let open = |s: &&Server| s.ready() && !s.withdrawn && !cut[s.zone];
        for s in servers.iter().filter(open) {
            if let Some(part) = s.part {
                loads[part].1 += s.line;
            }
        }
        loads
    }

    /// Begins a message: counts what is queued, and what each part's proxies were sent.
    pub fn open(&mut self, now: f64, proxies: &BTreeMap<usize, Proxy>) {
        (self.waiting, self.adds, self.strays) = (0.0, 0.0, 0.0);
        for part in &mut self.parts {
            *part = Part::of(part.zone);
        }
        for p in proxies.values() {
            self.waiting += p.waiting(self.past);
            if let Some(part) = p.part.map(|part| &mut self.parts[part]) {
                part.proxies += 1.0;
                part.messages = part.messages.max(p.messages(now, self.span_ms));
            }
        }
    }

    /// Ends the message and records it for each proxy that gets lines. Returns its mark, unless it is
    /// empty.
    pub fn close(&mut self, now: f64, proxies: &mut BTreeMap<usize, Proxy>) -> Option<u32> {
        if self.adds == 0.0 {
            return None;
        }
        self.number += 1;
        let unbound = proxies.values().filter(|p| p.part.is_none()).count();
        let bound: f64 = proxies.values().map(|p| p.sent).sum();
        let stray = (self.strays - bound).max(0.0) / unbound.max(1) as f64;
        for p in proxies.values_mut() {
            let lines = match p.part.map(|part| self.parts[part].adds) {
                Some(adds) if adds > 0.0 => adds + self.message_lines + p.sent,
                Some(_) => p.sent,
                None => stray,
            };
            if lines > 0.0 {
                p.wrote(now, self.span_ms, self.number, lines);
            }
            p.sent = 0.0;
        }
        Some((self.number % 65536) as u32)
    }
}

/// Totals of the reports since the last decision.
#[derive(Default)]
pub struct Heard {
    /// Report lines.
    pub lines: f64,
    pub tries: f64,
    /// Sum of the tries of each line times its delay in milliseconds.
    pub late: f64,
}

impl Heard {
    /// Adds a line. Its delay is the time that it covers beyond one report interval.
    pub fn note(&mut self, met: &TryStats, report_ms: f64) {
        self.lines += 1.0;
        self.tries += met.tries;
        self.late += met.tries * (met.window_ms - report_ms).max(0.0);
    }
}

/// Statistics of the whole fleet, updated once per input.
#[derive(Default)]
pub struct Norms {
    /// Median over the servers: share of failed tries and mean time of successful ones.
    pub half: (f64, f64),
    /// The same at the best quarter of the servers.
    pub quarter: (f64, f64),
    /// Recent tries.
    pub tries: f64,
    /// Weight of the servers that had any.
    pub used: f64,
    /// Mean delay of report lines beyond one report interval.
    pub wait: f64,
    /// Number of buckets that count as recent.
    pub lately: u64,
}

impl Norms {
    /// Tries per millisecond and unit of weight.
    pub fn pace(&self, window_ms: f64) -> f64 {
        self.tries / self.used.max(f64::MIN_POSITIVE) / window_ms
    }

    /// Updates the statistics from the servers' recent totals.
    pub fn weigh(&mut self, servers: &[Server]) {
        let used = servers.iter().filter(|s| s.ready() && s.line > 0.0);
        let tried = used.filter(|s| s.lately.tries > 0.0);
        let good = tried.clone().filter(|s| s.lately.good() > 0.0);
        let failing = sorted(tried.map(|s| s.lately.share_failed()).collect());
        let times = sorted(good.map(|s| s.lately.mean_ms()).collect());
        let norm = |part| (ranked(&failing, part), ranked(&times, part));
        (self.half, self.quarter) = (norm(0.5), norm(0.25));
        let met = servers.iter().filter(|s| s.lately.tries > 0.0);
        self.tries = met.clone().map(|s| s.lately.tries).sum();
        self.used = met.map(|s| s.weight).sum();
    }
}

/// The settings in the form that decisions use.
pub struct Bounds {
    /// Interval at which proxies report.
    pub report_ms: f64,
    /// Report lines that can arrive in one report interval.
    pub most_heard: f64,
    /// Length of a time bucket.
    pub bucket_ms: f64,
    /// The lowest soft limit of all classes.
    pub tight_ms: f64,
    /// By class, the exponent applied to the admission level: it is higher for lower earnings, so these
    /// classes are limited most.
    pub cheapness: Vec<f64>,
    /// Lines that may be queued in the channel.
    pub most_waiting: f64,
    /// Lines that can be in flight in the channel.
    pub under_way: f64,
    /// Fixed cost of a message, in lines: the deployment's overhead and one line more.
    pub message_lines: f64,
    /// Messages that one proxy may be sent within the channel's window; infinite without a limit.
    pub most_messages: f64,
    /// Servers that a proxy picks by itself at its start.
    pub standing_lines: f64,
    /// How far apart a proxy's visits to one server may be on average.
    pub kept_ms: f64,
    /// Share of its capacity that a server has at least when it has just started.
    pub cold_share: f64,
    /// Time from a server's start to its full capacity.
    pub warm_after_ms: f64,
    /// Load that a cold server may be sent, as a multiple of its current capacity.
    pub cold_excess: f64,
    /// A server that is merely missing from a snapshot may stay in the tables.
    pub dropped_may_stay: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Admission levels limit the share of visits that is admitted.
    pub may_refuse: bool,
    /// The deployment has a shared table.
    pub has_tables: bool,
}

/// Multiply-with-carry random number generator: value and carry.
pub struct Chance(u32, u32);

impl Chance {
    /// A generator whose numbers depend only on the seed.
    pub fn from(seed: u64) -> Chance {
        Chance(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

    /// The next number, from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        let next = u64::from(self.0) * 4_294_957_665 + u64::from(self.1);
        (self.0, self.1) = (next as u32, (next >> 32) as u32);
        f64::from(self.0) / f64::from(u32::MAX)
    }
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

/// The quantile `part` of sorted values; 0 without any.
fn ranked(values: &[f64], part: f64) -> f64 {
    let at = (values.len() as f64 * part) as usize;
    values.get(at).copied().unwrap_or(0.0)
}
