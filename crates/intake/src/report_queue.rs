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
use std::fmt;

/// Pending lines are read, in whole or sampled, before their window's begin is older than this many
/// buckets. Until then the window's end is still recent.
const MAX_PENDING_BUCKETS: f64 = 3.0;
/// Under pressure, windows that ended within this many buckets are merged into one, older ones into
/// another.
const RECENT_BUCKETS: f64 = 4.0;
/// Maximum number of pending buckets per reporter; beyond it the oldest two are merged.
const MAX_BUCKETS: usize = 8;

/// One line of a report: what a proxy saw of one server in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Number of tries.
    pub tries: f64,
    /// Tries that failed.
    pub failed: f64,
    /// Total time of the tries that did not fail.
    pub good_ms: f64,
    /// Number of answers that carried the server's self-reported load.
    pub self_reports: f64,
    /// Sum of the self-reported queue lengths.
    pub own_queue: f64,
    /// Sum of the self-reported times.
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
    fn scaled(&self, factor: f64) -> Line {
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
    /// Begin of the window, on our clock.
    pub begin: f64,
    /// End of the window, on our clock.
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

/// The reason as reporters receive it in the status of their stream.
impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Refusal::UnknownStream => "Unknown",
            Refusal::TooManyServers => "TooMany",
            Refusal::InvalidWindow => "NoStretch",
        })
    }
}

/// Merged reports of one reporter, pending in one bucket.
#[derive(Clone, Debug)]
struct PendingWindow<K> {
    begin: f64,
    end: f64,
    lines: BTreeMap<K, Line>,
    visits: BTreeMap<K, f64>,
}

/// A reporter's clock and pending reports, by bucket.
#[derive(Clone, Debug)]
struct Reporter<K> {
    timeline: Timeline,
    pending: BTreeMap<u64, PendingWindow<K>>,
    /// The stream has ended; its pending lines are read once more, then the reporter is dropped.
    ended: bool,
}

/// A reporter with pending lines: the begin of its oldest window, and the number of lines.
struct PendingReporter<R> {
    begin: f64,
    reporter: R,
    lines: usize,
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
    max_servers: usize,
    reporters: BTreeMap<R, Reporter<K>>,
    rng: Rng,
    /// Counters since the start.
    pub stats: QueueStats,
}

impl<R: Ord + Clone, K: Ord + Clone> ReportQueue<R, K> {
    /// Creates a queue that merges windows into buckets of `bucket_ms`, accepts `max_servers`
    /// servers per reporter and window, and samples with a generator seeded by `seed`.
    pub fn new(bucket_ms: f64, max_servers: usize, seed: u64) -> ReportQueue<R, K> {
        ReportQueue {
            bucket_ms,
            max_servers,
            reporters: BTreeMap::new(),
            rng: Rng::from_seed(seed),
            stats: QueueStats::default(),
        }
    }

    /// Starts a reporter's stream, and its clock. Lines still pending from an older stream of the
    /// same reporter are kept.
    pub fn stream_started(&mut self, now: f64, reporter: R) {
        let timeline = Timeline::new(now);
        let pending = self.reporters.remove(&reporter).map(|r| r.pending);
        let pending = pending.unwrap_or_default();
        self.reporters.insert(
            reporter,
            Reporter {
                timeline,
                pending,
                ended: false,
            },
        );
    }

    /// Marks a stream as ended; its pending lines are still read.
    pub fn stream_ended(&mut self, reporter: &R) {
        if let Some(r) = self.reporters.get_mut(reporter) {
            r.ended = true;
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
        let reject = |stats: &mut QueueStats, why| {
            stats.refused += 1;
            Err(why)
        };
        if !(window_ms > 0.0 && window_ms <= 3.6e6) {
            return reject(&mut self.stats, Refusal::InvalidWindow);
        }
        if lines.len() > self.max_servers {
            return reject(&mut self.stats, Refusal::TooManyServers);
        }
        let Some(r) = self.reporters.get_mut(reporter).filter(|r| !r.ended) else {
            return reject(&mut self.stats, Refusal::UnknownStream);
        };
        let window = r.timeline.place(now, window_ms);
        self.stats.reports += 1;
        self.stats.lines += lines.len() as u64;
        let bucket = (window.end.max(0.0) / self.bucket_ms) as u64;
        let pending = r.pending.entry(bucket).or_insert_with(|| PendingWindow {
            begin: window.begin,
            end: window.end,
            lines: BTreeMap::new(),
            visits: BTreeMap::new(),
        });
        pending.begin = pending.begin.min(window.begin);
        pending.end = pending.end.max(window.end);
        for (server, line) in lines {
            let full = pending.lines.len() >= self.max_servers;
            match pending.lines.get_mut(&server) {
                Some(existing) => {
                    existing.add(&line);
                    self.stats.merged += 1;
                }
                None if full => self.stats.refused += 1,
                None => drop(pending.lines.insert(server, line)),
            }
        }
        for (class, count) in visits {
            *pending.visits.entry(class).or_default() += count;
        }
        if r.pending.len() > MAX_BUCKETS {
            Self::merge_oldest(r, &mut self.stats, self.max_servers);
        }
        Ok(())
    }

    /// Merges the oldest bucket into the next, keeping the next one's in-flight counts.
    fn merge_oldest(r: &mut Reporter<K>, stats: &mut QueueStats, max_servers: usize) {
        let Some((_, old)) = r.pending.pop_first() else {
            return;
        };
        let Some(mut next) = r.pending.first_entry() else {
            return;
        };
        let next = next.get_mut();
        next.begin = next.begin.min(old.begin);
        for (server, line) in old.lines {
            if next.lines.contains_key(&server) {
                stats.merged += 1;
            }
            let full = next.lines.len() >= max_servers;
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
        self.reporters.values().map(Reporter::line_count).sum()
    }

    /// Reads about `max_lines` pending lines at most. The reporters that have waited longest are
    /// read first, and whole. What does not fit stays pending and merges with later reports while
    /// it is recent. Lines are sampled only if more than `max_lines` of them have waited too long.
    pub fn read(&mut self, now: f64, max_lines: usize) -> Vec<MergedReport<R, K>> {
        if self.pending_lines() > max_lines {
            // Merge neighbouring windows of the same reporter before sampling any line out.
            let recent_bucket =
                ((now - RECENT_BUCKETS * self.bucket_ms).max(0.0) / self.bucket_ms) as u64;
            for r in self.reporters.values_mut() {
                r.merge_windows(recent_bucket, &mut self.stats);
            }
        }
        let mut oldest_first: Vec<PendingReporter<R>> = self
            .reporters
            .iter()
            .filter_map(|(reporter, r)| {
                Some(PendingReporter {
                    begin: r.oldest_begin()?,
                    reporter: reporter.clone(),
                    lines: r.line_count(),
                })
            })
            .collect();
        oldest_first.sort_by(|a, b| {
            let by_begin = a.begin.total_cmp(&b.begin);
            by_begin.then_with(|| a.reporter.cmp(&b.reporter))
        });
        let overdue_before = now - MAX_PENDING_BUCKETS * self.bucket_ms;
        let overdue = oldest_first
            .iter()
            .filter(|p| p.begin <= overdue_before)
            .count();
        let overdue = &oldest_first[..overdue];
        let mut out = Vec::new();
        if overdue.iter().map(|p| p.lines).sum::<usize>() > max_lines {
            self.sample(overdue, max_lines, &mut out);
        } else {
            let mut remaining = max_lines;
            for pending in &oldest_first {
                // A reporter with more lines than `max_lines` is read by itself.
                if pending.lines > remaining && remaining < max_lines {
                    break;
                }
                remaining = remaining.saturating_sub(pending.lines);
                self.read_whole(&pending.reporter, &mut out);
            }
        }
        self.reporters
            .retain(|_, r| !(r.ended && r.pending.is_empty()));
        out
    }

    /// Moves all pending lines of a reporter to `out`.
    fn read_whole(&mut self, reporter: &R, out: &mut Vec<MergedReport<R, K>>) {
        let Some(r) = self.reporters.get_mut(reporter) else {
            return;
        };
        for (_, pending) in std::mem::take(&mut r.pending) {
            self.stats.read += pending.lines.len() as u64;
            let lines = pending.lines.into_iter().map(|(s, l)| (s, l, 0.0));
            out.push(MergedReport {
                reporter: reporter.clone(),
                begin: pending.begin,
                end: pending.end,
                lines: lines.collect(),
                visits: pending.visits.into_iter().collect(),
            });
        }
    }

    /// Samples the pending lines of the overdue reporters down to about `max_lines` lines: half of
    /// `max_lines` is shared between reporters, the other half between servers.
    fn sample(
        &mut self,
        overdue: &[PendingReporter<R>],
        max_lines: usize,
        out: &mut Vec<MergedReport<R, K>>,
    ) {
        let line_counts: Vec<usize> = overdue.iter().map(|p| p.lines).collect();
        let reporter_quota = quota(&line_counts, max_lines / 2);
        let sizes = |r: &Reporter<K>| -> Vec<f64> {
            let lines = r.pending.values().flat_map(|w| w.lines.values());
            lines.map(|l| l.tries).collect()
        };
        let mut sizes_by_server: BTreeMap<K, Vec<f64>> = BTreeMap::new();
        for r in overdue
            .iter()
            .filter_map(|p| self.reporters.get(&p.reporter))
        {
            for (server, line) in r.pending.values().flat_map(|w| &w.lines) {
                sizes_by_server
                    .entry(server.clone())
                    .or_default()
                    .push(line.tries);
            }
        }
        let line_counts: Vec<usize> = sizes_by_server.values().map(Vec::len).collect();
        let server_quota = quota(&line_counts, max_lines / 2);
        let thresholds: BTreeMap<K, f64> = sizes_by_server
            .into_iter()
            .map(|(server, sizes)| (server, threshold(&sizes, server_quota)))
            .collect();
        for PendingReporter { reporter, .. } in overdue {
            let Some(r) = self.reporters.get_mut(reporter) else {
                continue;
            };
            let reporter_threshold = threshold(&sizes(r), reporter_quota);
            for (_, pending) in std::mem::take(&mut r.pending) {
                let mut lines = Vec::with_capacity(pending.lines.len());
                for (server, line) in pending.lines {
                    let server_threshold = thresholds.get(&server).copied().unwrap_or(0.0);
                    let probability = keep_probability(line.tries, reporter_threshold)
                        .max(keep_probability(line.tries, server_threshold));
                    match sample(line.tries, probability, &mut self.rng) {
                        Some((factor, variance)) => {
                            self.stats.read += 1;
                            lines.push((server, line.scaled(factor), variance));
                        }
                        None => self.stats.sampled_out += 1,
                    }
                }
                out.push(MergedReport {
                    reporter: reporter.clone(),
                    begin: pending.begin,
                    end: pending.end,
                    lines,
                    visits: pending.visits.into_iter().collect(),
                });
            }
        }
    }
}

impl<K> Reporter<K> {
    /// Merges all windows from bucket `recent_bucket` on into the newest of them, and all earlier
    /// ones into the newest of those.
    fn merge_windows(&mut self, recent_bucket: u64, stats: &mut QueueStats)
    where
        K: Ord,
    {
        let recent = self.pending.split_off(&recent_bucket);
        let old = std::mem::take(&mut self.pending);
        for group in [old, recent] {
            let mut windows = group.into_iter().rev();
            let Some((bucket, mut sum)) = windows.next() else {
                continue;
            };
            for (_, w) in windows {
                sum.begin = sum.begin.min(w.begin);
                sum.end = sum.end.max(w.end);
                for (server, line) in w.lines {
                    match sum.lines.get_mut(&server) {
                        // `sum` holds the newer lines: keep its in-flight count.
                        Some(newer) => {
                            let in_flight = newer.in_flight;
                            newer.add(&line);
                            newer.in_flight = in_flight;
                            stats.merged += 1;
                        }
                        None => drop(sum.lines.insert(server, line)),
                    }
                }
                for (class, visits) in w.visits {
                    *sum.visits.entry(class).or_default() += visits;
                }
            }
            self.pending.insert(bucket, sum);
        }
    }

    /// Begin of the oldest pending window.
    fn oldest_begin(&self) -> Option<f64> {
        self.pending.values().next().map(|w| w.begin)
    }

    /// Number of pending lines.
    fn line_count(&self) -> usize {
        self.pending.values().map(|w| w.lines.len()).sum()
    }
}
