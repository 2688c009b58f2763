//! A bounded queue of incoming load reports. Adding a report never blocks: pending reports are
//! merged by reporter and time bucket, so a reporter's memory is bounded by its servers times its
//! buckets, however often it reports.
//!
//! Call [`ReportQueue::stream_started`] and [`ReportQueue::stream_ended`] for each stream and
//! [`ReportQueue::push`] for each report. The owner calls [`ReportQueue::read`] once a period with
//! the number of lines it can process.

use crate::sampling::{Rng, keep_probability, quota, sample, threshold};
use crate::timeline::Timeline;
use std::collections::BTreeMap;

/// Pending lines are read, in whole or sampled, before their window's begin is older than this many
/// buckets. Until then the window's end is still recent.
const PATIENCE: f64 = 3.0;
/// Under pressure, windows that ended within this many buckets are merged into one, older ones into
/// another.
const NEWS: f64 = 4.0;
/// Maximum number of pending buckets per reporter; beyond it the oldest two are merged.
const BUCKETS: usize = 8;

/// One line of a report: what a proxy saw of one server in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Number of tries.
    pub tries: f64,
    /// Tries that failed.
    pub failed: f64,
    /// Total time of the tries that did not fail.
    pub good_ms: f64,
    /// Number of answers that carried the server's self-reported load; `own_queue` and `own_ms` are
    /// sums over them.
    pub self_reports: f64,
    pub own_queue: f64,
    pub own_ms: f64,
    /// Visits in flight at the end of the window. When lines are merged, the newest value replaces
    /// the others, since it is not a sum.
    pub in_flight: f64,
}

impl Line {
    /// Adds a newer line of the same server.
    fn add(&mut self, other: &Line) {
        self.tries += other.tries;
        self.failed += other.failed;
        self.good_ms += other.good_ms;
        self.self_reports += other.self_reports;
        self.own_queue += other.own_queue;
        self.own_ms += other.own_ms;
        self.in_flight = other.in_flight;
    }

    /// Scales all counts by `factor`.
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

/// What was read of one reporter for one window.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedReport<R, K> {
    /// The reporter's key.
    pub reporter: R,
    /// Begin and end of the window, on our clock.
    pub begin: f64,
    pub end: f64,
    /// Lines by server, each with the sampling variance of its tries.
    pub lines: Vec<(K, Line, f64)>,
    /// Number of visits received, by class.
    pub visits: Vec<(K, f64)>,
}

/// Why a report was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The stream is unknown: it has ended, or belongs to an earlier run.
    UnknownStream,
    /// The report names more servers than one reporter may.
    TooManyServers,
    /// The window is not positive, or longer than an hour.
    InvalidWindow,
}

/// Merged reports of one reporter, pending in one bucket.
#[derive(Clone, Debug)]
struct Waiting<K> {
    begin: f64,
    end: f64,
    lines: BTreeMap<K, Line>,
    visits: BTreeMap<K, f64>,
}

/// A reporter's clock and pending reports, by bucket.
#[derive(Clone, Debug)]
struct Reporter<K> {
    timeline: Timeline,
    waiting: BTreeMap<u64, Waiting<K>>,
    /// The stream has ended; its pending lines are read once more, then the reporter is dropped.
    over: bool,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueStats {
    /// Reports accepted.
    pub reports: u64,
    /// Lines of all accepted reports.
    pub lines: u64,
    /// Lines merged into others before they were read.
    pub merged: u64,
    /// Lines read.
    pub read: u64,
    /// Lines left out by sampling; sampled lines were scaled up to represent them.
    pub sampled_out: u64,
    /// Reports rejected, and lines dropped because the window already had too many servers.
    pub refused: u64,
}

/// Bounded queue of load reports by reporter `R` and line key `K`; see the module documentation.
#[derive(Clone, Debug)]
pub struct ReportQueue<R, K> {
    bucket_ms: f64,
    most_servers: usize,
    reporters: BTreeMap<R, Reporter<K>>,
    chance: Rng,
    /// Counters since the start.
    pub stats: QueueStats,
}

impl<R: Ord + Clone, K: Ord + Clone> ReportQueue<R, K> {
    /// Creates a queue that merges windows into buckets of `bucket_ms`, accepts `most_servers`
    /// servers per reporter and window, and samples with a generator seeded by `seed`.
    pub fn new(bucket_ms: f64, most_servers: usize, seed: u64) -> ReportQueue<R, K> {
        ReportQueue {
            bucket_ms,
            most_servers,
            reporters: BTreeMap::new(),
            chance: Rng::from_seed(seed),
            stats: QueueStats::default(),
        }
    }

    /// Starts a reporter's stream, and its clock. Lines still pending from an older stream of the
    /// same reporter are kept.
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

    /// Marks a stream as ended; its pending lines are still read.
    pub fn stream_ended(&mut self, reporter: &R) {
        if let Some(r) = self.reporters.get_mut(reporter) {
            r.over = true;
        }
    }

    /// Adds a report, without blocking, however much is pending.
    ///
    /// # Errors
    /// Returns why the report was rejected.
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

    /// Merges the oldest bucket into the next, keeping the next one's in-flight counts.
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

    /// Number of pending lines.
    pub fn pending_lines(&self) -> usize {
        self.reporters.values().map(Reporter::lines).sum()
    }

    /// Reads about `room` pending lines at most. The reporters that have waited longest are read
    /// first, and whole. What does not fit stays pending and merges with later reports while it is
    /// recent. Lines are sampled only if more than `room` of them have waited too long.
    pub fn read(&mut self, now: f64, room: usize) -> Vec<MergedReport<R, K>> {
        if self.pending_lines() > room {
            // Merge neighbouring windows of the same reporter before sampling any line out.
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
                // A reporter with more lines than `room` is read when it is the only one.
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

    /// Moves all pending lines of a reporter to `out`.
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

    /// Samples the pending lines of the reporters in `order` down to about `room` lines: half of
    /// `room` is shared between reporters, the other half between servers.
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
    /// Merges all windows from bucket `news` on into the newest of them, and all earlier ones into
    /// the newest of those.
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
                        // `sum` holds the newer lines: keep its in-flight count.
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

    /// Begin of the oldest pending window.
    fn oldest(&self) -> Option<f64> {
        self.waiting.values().next().map(|w| w.begin)
    }

    fn lines(&self) -> usize {
        self.waiting.values().map(|w| w.lines.len()).sum()
    }
}
