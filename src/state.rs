//! What the planner remembers, and the sums it is asked for. Nothing here decides anything.

use crate::{AdminState, TryStats};
use std::collections::{BTreeMap, VecDeque};

/// Time buckets kept of what was met; the oldest is used again.
const RING: usize = 16;

/// What was met in a stretch of time.
#[derive(Clone, Copy, Default)]
pub struct Bucket {
    pub stamp: u64,
    pub tries: f64,
    pub failed: f64,
    pub good_ms: f64,
}

impl Bucket {
    pub fn and(mut self, other: &Bucket) -> Bucket {
        self.tries += other.tries;
        self.failed += other.failed;
        self.good_ms += other.good_ms;
        self
    }

    pub fn good(&self) -> f64 {
        (self.tries - self.failed).max(0.0)
    }

    pub fn share_failed(&self) -> f64 {
        self.failed / self.tries.max(1.0)
    }

    /// Mean time of the tries that did not fail; 0 without any.
    pub fn mean_ms(&self) -> f64 {
        self.good_ms / self.good().max(1.0)
    }
}

/// What the proxies of one zone met at a server.
#[derive(Clone, Copy, Default)]
pub struct View {
    since: f64,
    pub heard: f64,
    /// The bucket that sums end with: the newest that anything can have been told of.
    last: u64,
    ring: [Bucket; RING],
}

impl View {
    pub fn since(now: f64) -> View {
        let (since, heard) = (now, now);
        View {
            since,
            heard,
            ..View::default()
        }
    }

    /// Spreads a line evenly over the stretch that it covers. One that reaches back past `since` is
    /// of another time, and only shows that something came.
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

    /// The sum of so many buckets, from so many back.
    pub fn sum(&self, back: u64, many: u64) -> Bucket {
        let last = self.last.saturating_sub(back);
        let within = |b: &&Bucket| b.stamp <= last && last - b.stamp < many;
        let buckets = self.ring.iter().filter(within);
        buckets.fold(Bucket::default(), Bucket::and)
    }
}

/// One server: its admin state, its health, its line, and what was met there.
pub struct Server {
    /// A list has named it.
    pub known: bool,
    pub zone: usize,
    pub admin_state: AdminState,
    pub weight: f64,
    pub started: Option<f64>,
    /// When its ramp began; long ago for servers listed at the controller's start.
    pub entered: f64,
    /// The part of the table that its line is in.
    pub part: Option<usize>,
    pub withdrawn: bool,
    /// It started so lately that it may not be warm.
    pub cold: bool,
    /// The part of the line that the evidence leaves: 1, less after trims, 0 when put out.
    pub health: f64,
    pub judged: f64,
    pub relapses: u32,
    /// When it was last probed, and when a probe was last answered well.
    pub asked: f64,
    pub answered: f64,
    /// When a probe was last answered badly or late.
    pub refused: f64,
    pub line: f64,
    /// The line before the last change: visits under way still follow it.
    pub line_before: f64,
    pub views: Vec<View>,
    /// The sum of all views lately, reckoned once an input.
    pub lately: Bucket,
}

impl Server {
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

    pub fn ready(&self) -> bool {
        self.admin_state == AdminState::Ready
    }

    /// Lets the sums end where a line that waits its turn can reach, and adds them up.
    pub fn reckon(&mut self, now: f64, told: &Bounds, norms: &Norms) {
        for v in &mut self.views {
            v.last = ((now - (now - v.heard).min(norms.wait)) / told.bucket_ms) as u64;
        }
        self.lately = self.sum(0, norms.lately);
        let began = |at| now - at < told.warm_after_ms;
        self.cold = self.started.is_some_and(began);
    }

    pub fn sum(&self, back: u64, many: u64) -> Bucket {
        let sums = self.views.iter().map(|v| v.sum(back, many));
        sums.fold(Bucket::default(), |a, b| a.and(&b))
    }

    /// What the proxies of all zones but one met.
    pub fn seen_from_outside(&self, zone: usize, many: u64) -> Bucket {
        let views = self.views.iter().enumerate().filter(|(z, _)| *z != zone);
        views.fold(Bucket::default(), |a, (_, v)| a.and(&v.sum(0, many)))
    }

    pub fn write(&mut self, line: f64) {
        self.line_before = self.line;
        self.line = line;
    }
}

/// What the proxies of other zones got out of the servers of a zone, or of all others: good tries,
/// and the lines that these came by.
pub fn good_across(servers: &[Server], zone: usize, there: bool, many: u64) -> (f64, f64) {
    let asked = servers
        .iter()
        .filter(|s| s.ready() && (s.zone == zone) == there);
    asked.fold((0.0, 0.0), |sum, s| {
        let met = s.seen_from_outside(zone, many);
        (sum.0 + met.good(), sum.1 + s.line.max(s.line_before))
    })
}

/// A joined proxy, and what was written to it.
#[derive(Default)]
pub struct Proxy {
    pub zone: usize,
    /// Visits that come to it by millisecond, in all and by class.
    pub pace: f64,
    paces: Vec<f64>,
    /// The part of the table that it is bound to.
    pub part: Option<usize>,
    /// Lines that this reply sends it for its binding.
    pub sent: f64,
    /// Messages not yet answered, as number and lines.
    unanswered: VecDeque<(u64, f64)>,
    written: VecDeque<f64>,
}

impl Proxy {
    pub fn of(zone: usize, pace: f64, classes: usize) -> Proxy {
        Proxy {
            zone,
            pace,
            paces: vec![pace / classes.max(1) as f64; classes],
            ..Proxy::default()
        }
    }

    /// It has come back: what it was written lately still counts.
    pub fn remembers(&mut self, before: Proxy) {
        self.written = before.written;
    }

    /// What came of a class moves its pace half the way.
    pub fn came(&mut self, class: usize, pace: f64) {
        self.paces[class] = (self.paces[class] + pace) / 2.0;
        self.pace = self.paces.iter().sum();
    }

    pub fn wrote(&mut self, now: f64, span_ms: f64, number: u64, lines: f64) {
        self.unanswered.push_back((number, lines));
        self.written.retain(|at| now - at < span_ms);
        self.written.push_back(now);
    }

    /// An answer to one message is an answer to all before it. Tells the message's full number.
    pub fn answered(&mut self, mark: u32) -> Option<u64> {
        let mut sent = self.unanswered.iter();
        let at = sent.position(|(n, _)| *n as u32 % 65536 == mark)?;
        self.unanswered.drain(..=at).next_back().map(|(n, _)| n)
    }

    /// Lines that may still wait, once any proxy has answered for a message of that number: the
    /// channel sends in order.
    pub fn waiting(&self, past: u64) -> f64 {
        let left = self.unanswered.iter().filter(|(n, _)| *n >= past);
        left.map(|(_, lines)| lines).sum()
    }

    pub fn messages(&self, now: f64, span_ms: f64) -> f64 {
        let lately = self.written.iter().filter(|at| now - **at < span_ms);
        lately.count() as f64
    }
}

/// A part of the shared table: proxies bound to it, the most messages that any of them was written
/// lately, and lines that this reply adds.
#[derive(Clone)]
pub struct Part {
    /// The zone of its servers; none if they are of any.
    zone: Option<usize>,
    pub proxies: f64,
    messages: f64,
    adds: f64,
}

impl Part {
    pub fn of(zone: Option<usize>) -> Part {
        Part {
            zone,
            proxies: 0.0,
            messages: 0.0,
            adds: 0.0,
        }
    }

    pub fn away(&self, zone: usize) -> bool {
        self.zone.is_some_and(|z| z != zone)
    }
}

/// The channel: what waits in it, and what this reply adds, as one message a proxy.
#[derive(Default)]
pub struct Channel {
    pub parts: Vec<Part>,
    /// Lines that may still wait, and lines that this reply adds.
    pub waiting: f64,
    pub adds: f64,
    /// Lines that this reply adds for proxies that no part counts.
    strays: f64,
    message_lines: f64,
    /// Messages to a proxy are counted over this long (ms).
    pub span_ms: f64,
    /// The last message's number, and the newest that a proxy has answered for.
    number: u64,
    past: u64,
}

impl Channel {
    pub fn of(message_lines: f64, span_ms: f64) -> Channel {
        Channel {
            message_lines,
            span_ms,
            ..Channel::default()
        }
    }

    pub fn answered(&mut self, number: Option<u64>) {
        self.past = self.past.max(number.unwrap_or(0));
    }

    /// What more lines of a part would add: each of its proxies gets a message.
    pub fn price(&self, part: Option<usize>, lines: f64) -> f64 {
        let Some(part) = part.map(|p| &self.parts[p]) else {
            return 0.0;
        };
        let fresh = part.adds == 0.0;
        part.proxies * (lines + if fresh { self.message_lines } else { 0.0 })
    }

    /// Adds lines for all proxies of a part, and lines for proxies that no part counts.
    pub fn add(&mut self, part: Option<usize>, lines: f64, others: f64) {
        self.adds += others + self.price(part, lines);
        self.strays += others;
        if let Some(part) = part {
            self.parts[part].adds += lines;
        }
    }

    /// The most messages that any proxy of a part was written lately; of all parts where none is named.
    pub fn busiest(&self, part: Option<usize>) -> f64 {
        let parts = self.parts.iter().enumerate();
        let named = parts.filter(|(i, _)| part.is_none_or(|p| p == *i));
        named.map(|(_, p)| p.messages).fold(0.0, f64::max)
    }

    /// For each part, visits that come to its proxies, and weight of its lines; none across a cut.
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

    /// Begins a reply.
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

    /// Ends a reply: each message is noted. Tells the number to be answered, if there is any.
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

/// What came with the newest reports: lines, tries met, and tries times their lines' wait.
#[derive(Default)]
pub struct Heard {
    pub lines: f64,
    pub tries: f64,
    pub late: f64,
}

impl Heard {
    pub fn note(&mut self, met: &TryStats, report_ms: f64) {
        self.lines += 1.0;
        self.tries += met.tries;
        self.late += met.tries * (met.window_ms - report_ms).max(0.0);
    }
}

/// The fleet's figures, reckoned once an input. A norm is what a part of the servers stay under.
#[derive(Default)]
pub struct Norms {
    /// At the median and at the best quarter: failing share and time of good tries.
    pub half: (f64, f64),
    pub quarter: (f64, f64),
    /// Tries lately, and the weight of the servers that had any.
    pub tries: f64,
    pub used: f64,
    /// How long a line of reports waits its turn beyond one period, and the buckets that are lately.
    pub wait: f64,
    pub lately: u64,
}

impl Norms {
    /// Tries by millisecond and weight.
    pub fn pace(&self, window_ms: f64) -> f64 {
        self.tries / self.used.max(f64::MIN_POSITIVE) / window_ms
    }

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

/// The figures derived at start that decisions use.
pub struct Bounds {
    pub report_ms: f64,
    /// Lines of reports that can come at one time.
    pub most_heard: f64,
    pub bucket_ms: f64,
    pub tight_ms: f64,
    /// By class, how often the level is taken times itself: the least earnings go first.
    pub cheapness: Vec<f64>,
    pub most_waiting: f64,
    pub under_way: f64,
    pub message_lines: f64,
    pub most_messages: f64,
    pub standing_lines: f64,
    /// How far apart a proxy's visits to a server may be on average.
    pub kept_ms: f64,
    pub cold_share: f64,
    pub warm_after_ms: f64,
    pub cold_excess: f64,
    pub dropped_may_stay: bool,
    pub may_probe: bool,
    pub may_refuse: bool,
    pub has_tables: bool,
}

/// Multiply with carry: numbers from 0 to 1.
pub struct Chance(u32, u32);

impl Chance {
    pub fn from(seed: u64) -> Chance {
        Chance(seed as u32 | 1, (seed >> 32) as u32 | 1)
    }

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

/// The value that a part of the sorted others lie below; 0 without any.
fn ranked(values: &[f64], part: f64) -> f64 {
    let at = (values.len() as f64 * part) as usize;
    values.get(at).copied().unwrap_or(0.0)
}
