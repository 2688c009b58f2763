//! Load reports added up over one round, by server and zone of the proxies: the planner is told a round
//! at a time, so that nothing is judged on half of one. What is news, what is too vague and whom to believe
//! is decided in `dahliapoint-intake`.

use crate::{LoadReport, ReportLine};
use dahliapoint::TryStats;
use dahliapoint_intake::coverage::{Coverage, ReporterChange};
use dahliapoint_intake::estimates::{self, Estimates, Observation};
use dahliapoint_intake::trust::{ProxyViews, ServerSample, TrustChange, TrustTracker};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Visits or tries that one line can honestly name; more is a fault of the reporter.
const MOST: f64 = 1e9;
/// Time that one report can honestly cover: an hour.
const LONGEST_MS: f64 = 3.6e6;

/// What is impossible about a report, if anything is.
pub fn report_error(report: &LoadReport) -> Option<String> {
    let count = |n: f64| n.is_finite() && (0.0..=MOST).contains(&n);
    if !(report.window_ms > 0.0 && report.window_ms <= LONGEST_MS) {
        return Some(format!(
            "a report over {} ms; wanted above 0, up to an hour",
            report.window_ms
        ));
    }
    if !(report.ended_ago_ms >= 0.0 && report.ended_ago_ms.is_finite()) {
        return Some("a report that ends in the future".into());
    }
    for m in &report.lines {
        if ![
            m.variance,
            m.load_samples,
            m.queue_sum,
            m.service_ms_sum,
            m.in_flight,
        ]
        .iter()
        .all(|x| x.is_finite() && *x >= 0.0)
        {
            return Some(format!(
                "{}: words and variances from 0 up are wanted",
                m.server
            ));
        }
        if !count(m.tries) || !count(m.failed) {
            return Some(format!("{}: counts from 0 to 1e9 are wanted", m.server));
        }
        if m.failed > m.tries {
            return Some(format!("{}: more failed than were tried", m.server));
        }
        if !(m.success_ms >= 0.0 && m.success_ms <= (m.tries - m.failed) * LONGEST_MS) {
            return Some(format!("{}: time without tries, or below 0", m.server));
        }
    }
    let came = report.arrivals.iter().find(|(_, n)| !count(*n));
    came.map(|(class, _)| format!("{class}: visits from 0 to 1e9 are wanted"))
}

/// What is estimated of a server, for people.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct EstimateView {
    pub tries_per_s: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
    pub tail_ms: f64,
    /// The true tries a second lie within this, 19 times in 20.
    pub error_per_s: f64,
    pub age_ms: f64,
    /// Its own word does not explain what is met there.
    pub stale: bool,
    /// Which share of those who tell of it is still heard.
    #[serde(rename = "heard_share")]
    pub reporting_share: f64,
    /// Visits under way there, by the newest word of each proxy.
    pub in_flight: f64,
}

/// What is estimated of one class at a server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassView {
    pub class: usize,
    pub tries_per_s: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
}

/// Estimates for people cover so many rounds.
const SHOWN: f64 = 10.0;

#[derive(Clone, Copy, Default)]
struct Sum {
    tries: f64,
    failed: f64,
    good_ms: f64,
    variance: f64,
    tries_back: f64,
}

/// Visits of a class that came to a proxy.
pub struct Came {
    pub proxy: usize,
    pub class: usize,
    pub visits: f64,
    pub window_ms: f64,
}

/// What a round comes to.
pub struct Round {
    pub met: Vec<TryStats>,
    pub came: Vec<Came>,
    /// Sums that were too uncertain to be told.
    pub vague: u64,
    pub changes: Vec<TrustChange>,
    pub heard: Vec<ReporterChange>,
}

/// The round that is filling, and what is known from those before.
pub struct Reports {
    every_ms: f64,
    classes: usize,
    /// By server and class.
    estimates: Estimates,
    belief: TrustTracker,
    coverage: Coverage,
    /// Proxies that reported in this round, and those that are heard again.
    reported: BTreeSet<usize>,
    heard: Vec<ReporterChange>,
    met: BTreeMap<(usize, usize), Sum>,
    came: BTreeMap<(usize, usize), (f64, f64)>,
    words: BTreeMap<usize, (ReportLine, f64)>,
    views: ProxyViews,
    /// By proxy: visits under way at each server, as last told.
    in_flight: BTreeMap<usize, BTreeMap<usize, f64>>,
}

impl Reports {
    pub fn new(now: f64, every_ms: f64, zones: usize, classes: usize) -> Reports {
        Reports {
            classes,
            coverage: Coverage::new(now, every_ms),
            reported: BTreeSet::new(),
            heard: Vec::new(),
            every_ms,
            estimates: Estimates::new(every_ms, zones),
            belief: TrustTracker::default(),
            met: BTreeMap::new(),
            came: BTreeMap::new(),
            words: BTreeMap::new(),
            views: ProxyViews::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// A proxy reported, with a stretch of so long.
    pub fn heard(&mut self, now: f64, proxy: usize, window_ms: f64) {
        let again = self.coverage.report_received(now, proxy, window_ms);
        self.heard.extend(again);
        self.reported.insert(proxy);
        self.in_flight.remove(&proxy);
    }

    /// A line of a proxy's report. False if its stretch ended too long ago to be news: then it counts for
    /// the estimates of that time alone.
    pub fn met(
        &mut self,
        now: f64,
        who: (usize, usize),
        server: usize,
        report: &LoadReport,
        m: &ReportLine,
    ) -> bool {
        let (proxy, zone) = who;
        let end = now - report.ended_ago_ms;
        let begin = end - report.window_ms;
        let trust = self.belief.trust(proxy);
        if m.in_flight > 0.0 {
            let there = self.in_flight.entry(proxy).or_default();
            *there.entry(server).or_default() += m.in_flight;
        }
        self.estimates.record(
            now,
            &Observation {
                server: server * self.classes + m.class,
                zone,
                begin,
                end,
                tries: m.tries,
                failed: m.failed,
                good_ms: m.success_ms,
                variance: m.variance,
            },
        );
        if !estimates::is_recent(report.ended_ago_ms, self.every_ms) {
            return false;
        }
        let sum = self.met.entry((server, zone)).or_default();
        sum.tries += m.tries * trust;
        sum.failed += m.failed * trust;
        sum.good_ms += m.success_ms * trust;
        sum.variance += m.variance * trust * trust;
        sum.tries_back += m.tries * trust * (now - begin);
        let word = self.words.entry(server).or_default();
        word.0.tries += m.tries;
        word.0.failed += m.failed;
        word.0.success_ms += m.success_ms;
        word.0.load_samples += m.load_samples;
        word.0.queue_sum += m.queue_sum;
        word.0.service_ms_sum += m.service_ms_sum;
        let view = self
            .views
            .entry(proxy)
            .or_default()
            .entry(server)
            .or_default();
        (view.0, view.1) = (view.0 + m.tries, view.1 + m.failed);
        true
    }

    pub fn came(&mut self, proxy: usize, class: usize, visits: f64, window: f64) {
        let sum = self.came.entry((proxy, class)).or_default();
        sum.0 += visits;
        sum.1 += window;
    }

    pub fn forget_proxy(&mut self, proxy: usize) {
        self.came.retain(|(p, _), _| *p != proxy);
        self.views.remove(&proxy);
        self.belief.forget_proxy(proxy);
        self.coverage.forget_proxy(proxy);
        self.reported.remove(&proxy);
        self.in_flight.remove(&proxy);
    }

    /// The index stands for another server from now on.
    pub fn forget_server(&mut self, server: usize) {
        self.met.retain(|(s, _), _| *s != server);
        self.words.remove(&server);
        for there in self.in_flight.values_mut() {
            there.remove(&server);
        }
        let places = self.places(server);
        places.for_each(|place| self.estimates.forget(place));
        self.belief.forget_server(server);
        self.coverage.forget_server(server);
    }

    /// Ends the round: what is told to decisions, and whose word has become doubtful or good again.
    pub fn end(&mut self, now: f64) -> Round {
        let mut vague = 0;
        let mut met = Vec::with_capacity(self.met.len());
        for ((server, zone), sum) in std::mem::take(&mut self.met) {
            if sum.tries <= 0.0 {
                continue;
            }
            if estimates::is_imprecise(sum.tries, sum.variance) {
                vague += 1;
                continue;
            }
            met.push(TryStats {
                zone,
                server,
                tries: sum.tries,
                failed: sum.failed,
                window_ms: sum.tries_back / sum.tries,
                mean_ms: sum.good_ms / (sum.tries - sum.failed).max(1.0),
            });
        }
        let came = std::mem::take(&mut self.came).into_iter();
        let came = came.map(|((proxy, class), (visits, window_ms))| Came {
            proxy,
            class,
            visits,
            window_ms,
        });
        let words = std::mem::take(&mut self.words).into_iter();
        let words: BTreeMap<usize, ServerSample> = words
            .map(|(server, (m, _))| {
                let said = m.load_samples > 0.0;
                let good = m.tries - m.failed;
                let word = ServerSample {
                    own_ms: said.then(|| m.service_ms_sum / m.load_samples),
                    own_queue: said.then(|| m.queue_sum / m.load_samples),
                    measured_ms: if good > 0.0 { m.success_ms / good } else { 0.0 },
                    tries: if good > 0.0 { m.tries } else { 0.0 },
                };
                (server, word)
            })
            .collect();
        let mut changes = self.belief.observe_servers(&words);
        let views = std::mem::take(&mut self.views);
        let reported = std::mem::take(&mut self.reported);
        for (proxy, servers) in &views {
            for (server, (tries, _)) in servers {
                self.coverage.record_tries(*proxy, *server, *tries);
            }
        }
        for server in 0..self.coverage.server_count() {
            let told = |proxy: usize| views.get(&proxy).is_some_and(|v| v.contains_key(&server));
            self.coverage.decay(server, |p| reported.contains(&p), told);
        }
        let mut heard = std::mem::take(&mut self.heard);
        heard.extend(self.coverage.expire_silent(now));
        changes.extend(self.belief.observe_proxies(&views));
        Round {
            met,
            came: came.collect(),
            vague,
            changes,
            heard,
        }
    }

    pub fn is_silent(&self, proxy: usize) -> bool {
        self.coverage.is_silent(proxy)
    }

    pub fn is_contrary(&self, proxy: usize) -> bool {
        self.belief.is_contrary(proxy)
    }

    fn places(&self, server: usize) -> std::ops::Range<usize> {
        server * self.classes..(server + 1) * self.classes
    }

    /// By class, those that were met.
    pub fn class_views(&self, now: f64, server: usize) -> Vec<ClassView> {
        let span = SHOWN * self.every_ms;
        let places = self.places(server).enumerate();
        let views = places.filter_map(|(class, place)| {
            let e = self.estimates.estimate(now, place, span)?;
            Some(ClassView {
                class,
                tries_per_s: e.tries * 1e3 / span,
                failed_share: e.failed / e.tries,
                mean_ms: e.mean_ms,
            })
        });
        views.collect()
    }

    pub fn view(&self, now: f64, server: usize) -> Option<EstimateView> {
        let span = SHOWN * self.every_ms;
        let e = self
            .estimates
            .estimate_range(now, self.places(server), span)?;
        let per_s = 1e3 / span;
        Some(EstimateView {
            tries_per_s: e.tries * per_s,
            failed_share: e.failed / e.tries,
            mean_ms: e.mean_ms,
            tail_ms: e.tail_ms,
            error_per_s: e.error * per_s,
            age_ms: e.age_ms,
            stale: self.belief.is_stale(server),
            reporting_share: self.coverage.reporting_share(server),
            in_flight: self.in_flight.values().filter_map(|t| t.get(&server)).sum(),
        })
    }
}
