//! Aggregation of load reports over one round, by server and zone of the proxies. The planner
//! receives one round at a time, so that it never decides on half of one. `dahliapoint-intake`
//! decides which reports are recent enough, which sums are too uncertain, and which reporters to
//! trust.

use crate::{LoadReport, ReportLine};
use dahliapoint::TryStats;
use dahliapoint_intake::coverage::{Coverage, ReporterChange};
use dahliapoint_intake::estimates::{self, Estimates, Observation};
use dahliapoint_intake::trust::{ProxyViews, ServerSample, TrustChange, TrustTracker};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Most visits or tries in one report line; more is a fault of the reporter.
const MAX_COUNT: f64 = 1e9;
/// Longest window of one report: an hour.
const MAX_WINDOW_MS: f64 = 3.6e6;

/// Returns why a report is invalid, if it is.
pub fn report_error(report: &LoadReport) -> Option<String> {
    let count = |n: f64| n.is_finite() && (0.0..=MAX_COUNT).contains(&n);
    if !(report.window_ms > 0.0 && report.window_ms <= MAX_WINDOW_MS) {
        return Some(format!(
            "a report over {} ms; wanted above 0, up to an hour",
            report.window_ms
        ));
    }
    if !(report.ended_ago_ms >= 0.0 && report.ended_ago_ms.is_finite()) {
        return Some("a report that ends in the future".into());
    }
    for line in &report.lines {
        if ![
            line.variance,
            line.load_samples,
            line.queue_sum,
            line.service_ms_sum,
            line.in_flight,
        ]
        .iter()
        .all(|x| x.is_finite() && *x >= 0.0)
        {
            return Some(format!(
                "{}: words and variances from 0 up are wanted",
                line.server
            ));
        }
        if !count(line.tries) || !count(line.failed) {
            return Some(format!("{}: counts from 0 to 1e9 are wanted", line.server));
        }
        if line.failed > line.tries {
            return Some(format!("{}: more failed than were tried", line.server));
        }
        if !(line.success_ms >= 0.0
            && line.success_ms <= (line.tries - line.failed) * MAX_WINDOW_MS)
        {
            return Some(format!("{}: time without tries, or below 0", line.server));
        }
    }
    let invalid = report.arrivals.iter().find(|(_, n)| !count(*n));
    invalid.map(|(class, _)| format!("{class}: visits from 0 to 1e9 are wanted"))
}

/// Estimates of a server for the status page.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct EstimateView {
    pub tries_per_s: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
    pub tail_ms: f64,
    /// Half the width of the 95 % confidence interval of `tries_per_s`.
    pub error_per_s: f64,
    pub age_ms: f64,
    /// The load that the server reports of itself does not explain what proxies measure.
    pub stale: bool,
    /// Share of its reporters that still report.
    #[serde(rename = "heard_share")]
    pub reporting_share: f64,
    /// Visits in flight there, by the newest report of each proxy.
    pub in_flight: f64,
}

/// Estimates of one class at a server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassView {
    pub class: usize,
    pub tries_per_s: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
}

/// Rounds that the estimates of the status page cover.
const SHOWN_ROUNDS: f64 = 10.0;

/// Sums of one round for a server and a zone, weighted by the trust in each reporter.
#[derive(Clone, Copy, Default)]
struct ZoneSums {
    tries: f64,
    failed: f64,
    success_ms: f64,
    variance: f64,
    /// Tries times the age of the start of their window.
    tries_age_ms: f64,
}

/// Visits of a class that arrived at a proxy.
pub struct Arrivals {
    pub proxy: usize,
    pub class: usize,
    pub visits: f64,
    pub window_ms: f64,
}

/// Result of a round.
pub struct Round {
    /// Sums for the planner, by server and zone.
    pub stats: Vec<TryStats>,
    pub arrivals: Vec<Arrivals>,
    /// Sums that were left out because they are too uncertain.
    pub imprecise: u64,
    pub trust_changes: Vec<TrustChange>,
    pub reporter_changes: Vec<ReporterChange>,
}

/// The current round, and the state that is kept over rounds.
pub struct Reports {
    interval_ms: f64,
    classes: usize,
    /// By server and class: place `server * classes + class`.
    estimates: Estimates,
    trust: TrustTracker,
    coverage: Coverage,
    /// Proxies that reported in this round.
    reported: BTreeSet<usize>,
    /// Proxies that report again after a silence.
    reporter_changes: Vec<ReporterChange>,
    /// By server and zone.
    sums: BTreeMap<(usize, usize), ZoneSums>,
    /// By proxy and class: visits, and the time they cover.
    arrivals: BTreeMap<(usize, usize), (f64, f64)>,
    /// By server: sums of the report lines.
    server_sums: BTreeMap<usize, ReportLine>,
    views: ProxyViews,
    /// By proxy: visits in flight at each server, as last reported.
    in_flight: BTreeMap<usize, BTreeMap<usize, f64>>,
}

impl Reports {
    /// Creates the state for reports at this interval.
    pub fn new(now: f64, interval_ms: f64, zones: usize, classes: usize) -> Reports {
        Reports {
            classes,
            coverage: Coverage::new(now, interval_ms),
            reported: BTreeSet::new(),
            reporter_changes: Vec::new(),
            interval_ms,
            estimates: Estimates::new(interval_ms, zones),
            trust: TrustTracker::default(),
            sums: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            server_sums: BTreeMap::new(),
            views: ProxyViews::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// A report of a proxy arrived, with a window of this length.
    pub fn report_received(&mut self, now: f64, proxy: usize, window_ms: f64) {
        let again = self.coverage.report_received(now, proxy, window_ms);
        self.reporter_changes.extend(again);
        self.reported.insert(proxy);
        self.in_flight.remove(&proxy);
    }

    /// Adds a line of a proxy's report; `reporter` is the proxy and its zone. Returns false if its
    /// window ended too long ago for decisions: then it counts only for the estimates of that time.
    pub fn add_line(
        &mut self,
        now: f64,
        reporter: (usize, usize),
        server: usize,
        report: &LoadReport,
        line: &ReportLine,
    ) -> bool {
        let (proxy, zone) = reporter;
        let end = now - report.ended_ago_ms;
        let begin = end - report.window_ms;
        let trust = self.trust.trust(proxy);
        if line.in_flight > 0.0 {
            let at_servers = self.in_flight.entry(proxy).or_default();
            *at_servers.entry(server).or_default() += line.in_flight;
        }
        self.estimates.record(
            now,
            &Observation {
                server: server * self.classes + line.class,
                zone,
                begin,
                end,
                tries: line.tries,
                failed: line.failed,
                good_ms: line.success_ms,
                variance: line.variance,
            },
        );
        if !estimates::is_recent(report.ended_ago_ms, self.interval_ms) {
            return false;
        }
        let sum = self.sums.entry((server, zone)).or_default();
        sum.tries += line.tries * trust;
        sum.failed += line.failed * trust;
        sum.success_ms += line.success_ms * trust;
        sum.variance += line.variance * trust * trust;
        sum.tries_age_ms += line.tries * trust * (now - begin);
        let server_sums = self.server_sums.entry(server).or_default();
        server_sums.tries += line.tries;
        server_sums.failed += line.failed;
        server_sums.success_ms += line.success_ms;
        server_sums.load_samples += line.load_samples;
        server_sums.queue_sum += line.queue_sum;
        server_sums.service_ms_sum += line.service_ms_sum;
        let view = self
            .views
            .entry(proxy)
            .or_default()
            .entry(server)
            .or_default();
        (view.0, view.1) = (view.0 + line.tries, view.1 + line.failed);
        true
    }

    /// Adds visits of a class that arrived at a proxy.
    pub fn add_arrivals(&mut self, proxy: usize, class: usize, visits: f64, window_ms: f64) {
        let sum = self.arrivals.entry((proxy, class)).or_default();
        sum.0 += visits;
        sum.1 += window_ms;
    }

    /// The index of this proxy may be reused.
    pub fn forget_proxy(&mut self, proxy: usize) {
        self.arrivals.retain(|(p, _), _| *p != proxy);
        self.views.remove(&proxy);
        self.trust.forget_proxy(proxy);
        self.coverage.forget_proxy(proxy);
        self.reported.remove(&proxy);
        self.in_flight.remove(&proxy);
    }

    /// The index of this server may be reused.
    pub fn forget_server(&mut self, server: usize) {
        self.sums.retain(|(s, _), _| *s != server);
        self.server_sums.remove(&server);
        for at_servers in self.in_flight.values_mut() {
            at_servers.remove(&server);
        }
        let places = self.places(server);
        places.for_each(|place| self.estimates.forget(place));
        self.trust.forget_server(server);
        self.coverage.forget_server(server);
    }

    /// Ends the round: returns the sums for decisions, and the reporters and servers whose trust
    /// changed.
    pub fn end_round(&mut self, now: f64) -> Round {
        let mut imprecise = 0;
        let mut stats = Vec::with_capacity(self.sums.len());
        for ((server, zone), sum) in std::mem::take(&mut self.sums) {
            if sum.tries <= 0.0 {
                continue;
            }
            if estimates::is_imprecise(sum.tries, sum.variance) {
                imprecise += 1;
                continue;
            }
            stats.push(TryStats {
                zone,
                server,
                tries: sum.tries,
                failed: sum.failed,
                window_ms: sum.tries_age_ms / sum.tries,
                mean_ms: sum.success_ms / (sum.tries - sum.failed).max(1.0),
            });
        }
        let arrivals = std::mem::take(&mut self.arrivals).into_iter();
        let arrivals = arrivals.map(|((proxy, class), (visits, window_ms))| Arrivals {
            proxy,
            class,
            visits,
            window_ms,
        });
        let server_sums = std::mem::take(&mut self.server_sums).into_iter();
        let samples: BTreeMap<usize, ServerSample> = server_sums
            .map(|(server, line)| {
                let sampled = line.load_samples > 0.0;
                let succeeded = line.tries - line.failed;
                let sample = ServerSample {
                    own_ms: sampled.then(|| line.service_ms_sum / line.load_samples),
                    own_queue: sampled.then(|| line.queue_sum / line.load_samples),
                    measured_ms: if succeeded > 0.0 {
                        line.success_ms / succeeded
                    } else {
                        0.0
                    },
                    tries: if succeeded > 0.0 { line.tries } else { 0.0 },
                };
                (server, sample)
            })
            .collect();
        let mut trust_changes = self.trust.observe_servers(&samples);
        let views = std::mem::take(&mut self.views);
        let reported = std::mem::take(&mut self.reported);
        for (proxy, servers) in &views {
            for (server, (tries, _)) in servers {
                self.coverage.record_tries(*proxy, *server, *tries);
            }
        }
        for server in 0..self.coverage.server_count() {
            let has_tries =
                |proxy: usize| views.get(&proxy).is_some_and(|v| v.contains_key(&server));
            self.coverage
                .decay(server, |p| reported.contains(&p), has_tries);
        }
        let mut reporter_changes = std::mem::take(&mut self.reporter_changes);
        reporter_changes.extend(self.coverage.expire_silent(now));
        trust_changes.extend(self.trust.observe_proxies(&views));
        Round {
            stats,
            arrivals: arrivals.collect(),
            imprecise,
            trust_changes,
            reporter_changes,
        }
    }

    /// Whether the proxy has stopped reporting.
    pub fn is_silent(&self, proxy: usize) -> bool {
        self.coverage.is_silent(proxy)
    }

    /// Whether the reports of the proxy contradict those of all others.
    pub fn is_contrary(&self, proxy: usize) -> bool {
        self.trust.is_contrary(proxy)
    }

    /// The places of a server in `estimates`, one for each class.
    fn places(&self, server: usize) -> std::ops::Range<usize> {
        server * self.classes..(server + 1) * self.classes
    }

    /// Estimates by class, for the classes that have any.
    pub fn class_views(&self, now: f64, server: usize) -> Vec<ClassView> {
        let span_ms = SHOWN_ROUNDS * self.interval_ms;
        let places = self.places(server).enumerate();
        let views = places.filter_map(|(class, place)| {
            let estimate = self.estimates.estimate(now, place, span_ms)?;
            Some(ClassView {
                class,
                tries_per_s: estimate.tries * 1e3 / span_ms,
                failed_share: estimate.failed / estimate.tries,
                mean_ms: estimate.mean_ms,
            })
        });
        views.collect()
    }

    /// Estimates over all classes, if there are any.
    pub fn view(&self, now: f64, server: usize) -> Option<EstimateView> {
        let span_ms = SHOWN_ROUNDS * self.interval_ms;
        let estimate = self
            .estimates
            .estimate_range(now, self.places(server), span_ms)?;
        let per_s = 1e3 / span_ms;
        Some(EstimateView {
            tries_per_s: estimate.tries * per_s,
            failed_share: estimate.failed / estimate.tries,
            mean_ms: estimate.mean_ms,
            tail_ms: estimate.tail_ms,
            error_per_s: estimate.error * per_s,
            age_ms: estimate.age_ms,
            stale: self.trust.is_stale(server),
            reporting_share: self.coverage.reporting_share(server),
            in_flight: self.in_flight.values().filter_map(|t| t.get(&server)).sum(),
        })
    }
}
