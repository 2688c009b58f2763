//! Where reports come in. Nobody waits here: what has not been read yet is merged with what comes after,
//! by reporter and by the stretch of time that it covers, so that a reporter costs no more than its
//! servers times the buckets of the ring, however fast it talks.
//!
//! How it is called: [`ReportQueue::stream_started`] and [`ReportQueue::stream_ended`] for each stream, [`ReportQueue::push`] for each report,
//! [`ReportQueue::read`] by the owner once a period, with the lines that it has room for.

use crate::sampling::{Rng, keep_probability, quota, sample, threshold};
use crate::timeline::Timeline;
use std::collections::BTreeMap;

/// What waits is read, in whole or sampled, before its beginning is older than so many buckets: its end is
/// news until then.
const PATIENCE: f64 = 3.0;
/// Under pressure, stretches that ended within so many buckets are merged into one, older ones into another.
const NEWS: f64 = 4.0;
/// Buckets of stretches that may wait for one reporter; the oldest are merged into one.
const BUCKETS: usize = 8;

/// One line of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    pub tries: f64,
    pub failed: f64,
    /// Summed time of the tries that did not fail.
    pub good_ms: f64,
    /// The server's own words: how many answers carried one, and the sums.
    pub self_reports: f64,
    pub own_queue: f64,
    pub own_ms: f64,
    /// Visits under way at the end of the stretch: the newest word counts, words do not add up.
    pub in_flight: f64,
}

impl Line {
    fn add(&mut self, other: &Line) {
        self.tries += other.tries;
        self.failed += other.failed;
        self.good_ms += other.good_ms;
        self.self_reports += other.self_reports;
        self.own_queue += other.own_queue;
        self.own_ms += other.own_ms;
        self.in_flight = other.in_flight;
    }

    fn times(&self, factor: f64) -> Line {
        Line {
            tries: self.tries * factor,
            failed: self.failed * factor,
            good_ms: self.good_ms * factor,
            self_reports: self.self_reports * factor,
            own_queue: self.own_queue * factor,
            own_ms: self.own_ms * factor,
            in_flight: self.in_flight * factor,
        }
    }
}

/// What is read of one reporter for one stretch.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedReport<R, K> {
    pub reporter: R,
    /// When the stretch began and ended, on our clock.
    pub begin: f64,
    pub end: f64,
    /// Lines with the variance of their tries.
    pub lines: Vec<(K, Line, f64)>,
    /// Visits that came, by class.
    pub visits: Vec<(K, f64)>,
}

/// Why a report was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its stream is not known: ended, or of another life.
    UnknownStream,
    /// It names more servers than one reporter may.
    TooManyServers,
    /// It covers no time, or more than an hour.
    InvalidWindow,
}

#[derive(Clone, Debug)]
struct Waiting<K> {
    begin: f64,
    end: f64,
    lines: BTreeMap<K, Line>,
    visits: BTreeMap<K, f64>,
}

#[derive(Clone, Debug)]
struct Reporter<K> {
    timeline: Timeline,
    waiting: BTreeMap<u64, Waiting<K>>,
    /// Its stream has ended: what it told is read once more, then it is forgotten.
    over: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueStats {
    pub reports: u64,
    pub lines: u64,
    /// Lines that went into others before they were read.
    pub merged: u64,
    pub read: u64,
    /// Lines that were not read, others standing for them.
    pub sampled_out: u64,
    pub refused: u64,
}

/// See the module's head.
#[derive(Clone, Debug)]
pub struct ReportQueue<R, K> {
    bucket_ms: f64,
    most_servers: usize,
    reporters: BTreeMap<R, Reporter<K>>,
    chance: Rng,
    pub stats: QueueStats,
}

impl<R: Ord + Clone, K: Ord + Clone> ReportQueue<R, K> {
    pub fn new(bucket_ms: f64, most_servers: usize, seed: u64) -> ReportQueue<R, K> {
        ReportQueue {
            bucket_ms,
            most_servers,
            reporters: BTreeMap::new(),
            chance: Rng::from_seed(seed),
            stats: QueueStats::default(),
        }
    }

    /// A stream of a reporter begins: its clock begins with it, and what an older one left unread of the
    /// same reporter stays.
    pub fn stream_started(&mut self, now: f64, reporter: R) {
        let timeline = Timeline::new(now);
        let waiting = self.reporters.remove(&reporter).map(|r| r.waiting);
        let waiting = waiting.unwrap_or_default();
        self.reporters.insert(
            reporter,
            Reporter {
                timeline,
                waiting,
                over: false,
            },
        );
    }

    /// A stream has ended; what it told is still read.
    pub fn stream_ended(&mut self, reporter: &R) {
        if let Some(r) = self.reporters.get_mut(reporter) {
            r.over = true;
        }
    }

    /// Takes a report in, at once and whatever else waits.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn push(
        &mut self,
        now: f64,
        reporter: &R,
        window_ms: f64,
        lines: impl ExactSizeIterator<Item = (K, Line)>,
        visits: impl Iterator<Item = (K, f64)>,
    ) -> Result<(), Refusal> {
        let refused = |tally: &mut QueueStats, why| {
            tally.refused += 1;
            Err(why)
        };
        if !(window_ms > 0.0 && window_ms <= 3.6e6) {
            return refused(&mut self.stats, Refusal::InvalidWindow);
        }
        if lines.len() > self.most_servers {
            return refused(&mut self.stats, Refusal::TooManyServers);
        }
        let Some(r) = self.reporters.get_mut(reporter).filter(|r| !r.over) else {
            return refused(&mut self.stats, Refusal::UnknownStream);
        };
        let stretch = r.timeline.place(now, window_ms);
        self.stats.reports += 1;
        self.stats.lines += lines.len() as u64;
        let bucket = (stretch.end.max(0.0) / self.bucket_ms) as u64;
        let waiting = r.waiting.entry(bucket).or_insert_with(|| Waiting {
            begin: stretch.begin,
            end: stretch.end,
            lines: BTreeMap::new(),
            visits: BTreeMap::new(),
        });
        waiting.begin = waiting.begin.min(stretch.begin);
        waiting.end = waiting.end.max(stretch.end);
        for (server, line) in lines {
            let full = waiting.lines.len() >= self.most_servers;
            match waiting.lines.get_mut(&server) {
                Some(there) => {
                    there.add(&line);
                    self.stats.merged += 1;
                }
                None if full => self.stats.refused += 1,
                None => drop(waiting.lines.insert(server, line)),
            }
        }
        for (class, count) in visits {
            *waiting.visits.entry(class).or_default() += count;
        }
        if r.waiting.len() > BUCKETS {
            Self::merge_oldest(r, &mut self.stats, self.most_servers);
        }
        Ok(())
    }

    fn merge_oldest(r: &mut Reporter<K>, tally: &mut QueueStats, most: usize) {
        let Some((_, old)) = r.waiting.pop_first() else {
            return;
        };
        let Some(mut next) = r.waiting.first_entry() else {
            return;
        };
        let next = next.get_mut();
        next.begin = next.begin.min(old.begin);
        for (server, line) in old.lines {
            if next.lines.contains_key(&server) {
                tally.merged += 1;
            }
            let full = next.lines.len() >= most;
            match next.lines.get_mut(&server) {
                Some(newer) => {
                    let in_flight = newer.in_flight;
                    newer.add(&line);
                    newer.in_flight = in_flight;
                }
                None if full => {}
                None => drop(next.lines.insert(server, line)),
            }
        }
        for (class, visits) in old.visits {
            *next.visits.entry(class).or_default() += visits;
        }
    }

    /// Lines that wait.
    pub fn pending_lines(&self) -> usize {
        self.reporters.values().map(Reporter::lines).sum()
    }

    /// Reads what waits, about so many lines at the most. First the rules of waiting, then of sampling: what
    /// has waited longest is read first and whole; what does not fit waits, merging with what comes, while
    /// it is news; only when more than fits has waited that long is it sampled.
    pub fn read(&mut self, now: f64, room: usize) -> Vec<MergedReport<R, K>> {
        if self.pending_lines() > room {
            // What is told of one time and the next is told once: lines are saved before any is left.
            let news = ((now - NEWS * self.bucket_ms).max(0.0) / self.bucket_ms) as u64;
            for r in self.reporters.values_mut() {
                r.collapse(news, &mut self.stats);
            }
        }
        let mut order: Vec<(f64, R, usize)> = self
            .reporters
            .iter()
            .filter_map(|(name, r)| Some((r.oldest()?, name.clone(), r.lines())))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let late = now - PATIENCE * self.bucket_ms;
        let must: Vec<usize> = order.iter().filter(|o| o.0 <= late).map(|o| o.2).collect();
        let mut out = Vec::new();
        if must.iter().sum::<usize>() > room {
            self.sample(&order[..must.len()], &must, room, &mut out);
        } else {
            let mut left = room;
            for (_, name, lines) in order {
                // One that is larger than the room by itself is read when it is alone.
                if lines > left && left < room {
                    break;
                }
                left = left.saturating_sub(lines);
                self.read_whole(&name, &mut out);
            }
        }
        self.reporters
            .retain(|_, r| !(r.over && r.waiting.is_empty()));
        out
    }

    fn read_whole(&mut self, name: &R, out: &mut Vec<MergedReport<R, K>>) {
        let Some(r) = self.reporters.get_mut(name) else {
            return;
        };
        for (_, waiting) in std::mem::take(&mut r.waiting) {
            self.stats.read += waiting.lines.len() as u64;
            let lines = waiting.lines.into_iter().map(|(s, l)| (s, l, 0.0));
            out.push(MergedReport {
                reporter: name.clone(),
                begin: waiting.begin,
                end: waiting.end,
                lines: lines.collect(),
                visits: waiting.visits.into_iter().collect(),
            });
        }
    }

    fn sample(
        &mut self,
        order: &[(f64, R, usize)],
        wanted: &[usize],
        room: usize,
        out: &mut Vec<MergedReport<R, K>>,
    ) {
        let each = quota(wanted, room / 2);
        let sizes = |r: &Reporter<K>| -> Vec<f64> {
            let lines = r.waiting.values().flat_map(|w| w.lines.values());
            lines.map(|l| l.tries).collect()
        };
        let mut by_server: BTreeMap<K, Vec<f64>> = BTreeMap::new();
        for r in order.iter().filter_map(|o| self.reporters.get(&o.1)) {
            for (server, line) in r.waiting.values().flat_map(|w| &w.lines) {
                by_server
                    .entry(server.clone())
                    .or_default()
                    .push(line.tries);
            }
        }
        let many: Vec<usize> = by_server.values().map(Vec::len).collect();
        let of_each = quota(&many, room / 2);
        let by_server: BTreeMap<K, f64> = by_server
            .into_iter()
            .map(|(server, sizes)| (server, threshold(&sizes, of_each)))
            .collect();
        for (_, name, _) in order {
            let Some(r) = self.reporters.get_mut(name) else {
                continue;
            };
            let own = threshold(&sizes(r), each);
            for (_, waiting) in std::mem::take(&mut r.waiting) {
                let mut lines = Vec::with_capacity(waiting.lines.len());
                for (server, line) in waiting.lines {
                    let level = by_server.get(&server).copied().unwrap_or(0.0);
                    let odds =
                        keep_probability(line.tries, own).max(keep_probability(line.tries, level));
                    match sample(line.tries, odds, &mut self.chance) {
                        Some((factor, variance)) => {
                            self.stats.read += 1;
                            lines.push((server, line.times(factor), variance));
                        }
                        None => self.stats.sampled_out += 1,
                    }
                }
                out.push(MergedReport {
                    reporter: name.clone(),
                    begin: waiting.begin,
                    end: waiting.end,
                    lines,
                    visits: waiting.visits.into_iter().collect(),
                });
            }
        }
    }
}

impl<K> Reporter<K> {
    /// Merges all stretches from a bucket on into the newest, and all before into the newest of those.
    fn collapse(&mut self, news: u64, tally: &mut QueueStats)
    where
        K: Ord,
    {
        let fresh = self.waiting.split_off(&news);
        let old = std::mem::take(&mut self.waiting);
        for part in [old, fresh] {
            let mut stretches = part.into_iter().rev();
            let Some((bucket, mut sum)) = stretches.next() else {
                continue;
            };
            for (_, w) in stretches {
                sum.begin = sum.begin.min(w.begin);
                sum.end = sum.end.max(w.end);
                for (server, line) in w.lines {
                    match sum.lines.get_mut(&server) {
                        // What was summed so far is newer.
                        Some(newer) => {
                            let in_flight = newer.in_flight;
                            newer.add(&line);
                            newer.in_flight = in_flight;
                            tally.merged += 1;
                        }
                        None => drop(sum.lines.insert(server, line)),
                    }
                }
                for (class, visits) in w.visits {
                    *sum.visits.entry(class).or_default() += visits;
                }
            }
            self.waiting.insert(bucket, sum);
        }
    }

    /// When the oldest stretch that waits began.
    fn oldest(&self) -> Option<f64> {
        self.waiting.values().next().map(|w| w.begin)
    }

    fn lines(&self) -> usize {
        self.waiting.values().map(|w| w.lines.len()).sum()
    }
}
