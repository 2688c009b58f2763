//! Load reports added up over one period, by server and zone of the proxies: the planner is told a
//! period at a time, so that nothing is judged on half a round.

use crate::Report;
use dahliapoint::Met;
use std::collections::BTreeMap;

/// Visits or tries that one line can honestly name; more is a fault of the reporter.
const MOST: f64 = 1e9;
/// Time that one report can honestly cover: an hour.
const LONGEST_MS: f64 = 3.6e6;

/// What is impossible about a report, if anything is.
pub fn fault_of(report: &Report) -> Option<String> {
    let count = |n: f64| n.is_finite() && (0.0..=MOST).contains(&n);
    if !(report.window_ms > 0.0 && report.window_ms <= LONGEST_MS) {
        return Some(format!(
            "a report over {} ms; wanted above 0, up to an hour",
            report.window_ms
        ));
    }
    for m in &report.met {
        if !count(m.tries) || !count(m.failed) {
            return Some(format!("{}: counts from 0 to 1e9 are wanted", m.server));
        }
        if m.failed > m.tries {
            return Some(format!("{}: more failed than were tried", m.server));
        }
        if !(m.good_ms >= 0.0 && m.good_ms <= (m.tries - m.failed) * LONGEST_MS) {
            return Some(format!("{}: time without tries, or below 0", m.server));
        }
    }
    let came = report.came.iter().find(|(_, n)| !count(*n));
    came.map(|(class, _)| format!("{class}: visits from 0 to 1e9 are wanted"))
}

#[derive(Clone, Copy, Default)]
struct Sum {
    tries: f64,
    failed: f64,
    good_ms: f64,
    tries_window: f64,
}

/// Visits of a class that came to a proxy.
pub struct Came {
    pub proxy: usize,
    pub class: usize,
    pub visits: f64,
    pub window_ms: f64,
}

/// The period that is filling.
#[derive(Default)]
pub struct Period {
    met: BTreeMap<(usize, usize), Sum>,
    came: BTreeMap<(usize, usize), (f64, f64)>,
}

impl Period {
    pub fn is_empty(&self) -> bool {
        self.met.is_empty() && self.came.is_empty()
    }

    pub fn met(
        &mut self,
        server: usize,
        zone: usize,
        tries: (f64, f64),
        good_ms: f64,
        window: f64,
    ) {
        let sum = self.met.entry((server, zone)).or_default();
        sum.tries += tries.0;
        sum.failed += tries.1;
        sum.good_ms += good_ms;
        sum.tries_window += tries.0 * window;
    }

    pub fn came(&mut self, proxy: usize, class: usize, visits: f64, window: f64) {
        let sum = self.came.entry((proxy, class)).or_default();
        sum.0 += visits;
        sum.1 += window;
    }

    pub fn forget_proxy(&mut self, proxy: usize) {
        self.came.retain(|(p, _), _| *p != proxy);
    }

    /// Ends the period: what was met at servers, and what came to proxies.
    pub fn end(&mut self) -> (Vec<Met>, Vec<Came>) {
        let met = std::mem::take(&mut self.met).into_iter();
        let met = met.filter(|(_, sum)| sum.tries > 0.0);
        let met = met.map(|((server, zone), sum)| Met {
            zone,
            server,
            tries: sum.tries,
            failed: sum.failed,
            window_ms: sum.tries_window / sum.tries,
            mean_ms: sum.good_ms / (sum.tries - sum.failed).max(1.0),
        });
        let came = std::mem::take(&mut self.came).into_iter();
        let came = came.map(|((proxy, class), (visits, window_ms))| Came {
            proxy,
            class,
            visits,
            window_ms,
        });
        (met.collect(), came.collect())
    }
}
