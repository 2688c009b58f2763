//! Tracks which proxies report on which server, and which proxies have gone silent. Per server it
//! keeps the load each proxy last reported, to tell which share of a sum is missing.

use crate::timer_wheel::TimerWheel;
use std::collections::BTreeMap;

/// A proxy is silent after this many report intervals without a report.
const SILENT_INTERVALS: f64 = 6.0;
/// Smoothing factor of a proxy's reported tries, per round.
const SMOOTHING: f64 = 0.5;
/// Average tries below which a proxy is dropped from a server: its table has changed.
const MIN_TRIES: f64 = 0.01;

/// Reporters by server, and the proxies that are silent.
#[derive(Clone, Debug)]
pub struct Coverage {
    round_ms: f64,
    wheel: TimerWheel<usize>,
    /// By server: its proxies in index order, with the smoothed tries per round of each.
    servers: Vec<Vec<(usize, f64)>>,
    silent: BTreeMap<usize, f64>,
}

/// A proxy stopped reporting or started again, by index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReporterChange {
    /// The proxy has stopped reporting.
    Silent(usize),
    /// A silent proxy reports again.
    Resumed(usize),
}

impl Coverage {
    /// Creates an empty index for rounds of `round_ms`.
    pub fn new(now: f64, round_ms: f64) -> Coverage {
        Coverage {
            round_ms,
            wheel: TimerWheel::new(now, round_ms),
            servers: Vec::new(),
            silent: BTreeMap::new(),
        }
    }

    /// Records that a proxy reported, with the report interval it was told to use. Returns a change
    /// if the proxy was silent.
    pub fn report_received(
        &mut self,
        now: f64,
        proxy: usize,
        interval_ms: f64,
    ) -> Option<ReporterChange> {
        let after = SILENT_INTERVALS * interval_ms.max(self.round_ms);
        self.wheel.schedule(proxy, now + after);
        self.silent
            .remove(&proxy)
            .map(|_| ReporterChange::Resumed(proxy))
    }

    /// Records the tries that a proxy reported for a server in this round.
    pub fn record_tries(&mut self, proxy: usize, server: usize, tries: f64) {
        while self.servers.len() <= server {
            self.servers.push(Vec::new());
        }
        let reporters = &mut self.servers[server];
        match reporters.binary_search_by_key(&proxy, |(p, _)| *p) {
            Ok(at) => reporters[at].1 += SMOOTHING * (tries - reporters[at].1),
            Err(at) => reporters.insert(at, (proxy, tries)),
        }
    }

    /// Returns the proxies that have gone silent since the last call; called once a round.
    pub fn expire_silent(&mut self, now: f64) -> Vec<ReporterChange> {
        let expired = self.wheel.pop_expired(now);
        self.silent.extend(expired.iter().map(|p| (*p, now)));
        expired.into_iter().map(ReporterChange::Silent).collect()
    }

    /// Ends a round for a server: lowers the average of proxies that `reported` in the round, but
    /// not on this server (`reported_server`).
    pub fn decay(
        &mut self,
        server: usize,
        reported: impl Fn(usize) -> bool,
        reported_server: impl Fn(usize) -> bool,
    ) {
        if let Some(reporters) = self.servers.get_mut(server) {
            for (proxy, tries) in reporters.iter_mut() {
                if reported(*proxy) && !reported_server(*proxy) {
                    *tries *= 1.0 - SMOOTHING;
                }
            }
            reporters.retain(|(_, tries)| *tries >= MIN_TRIES);
        }
    }

    /// The share of a server's recent load whose reporters are still reporting; 1 if it has no
    /// reporters.
    pub fn reporting_share(&self, server: usize) -> f64 {
        let reporters = self
            .servers
            .get(server)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let all: f64 = reporters.iter().map(|(_, t)| t).sum();
        let silent = reporters
            .iter()
            .filter(|(p, _)| self.silent.contains_key(p));
        let missing: f64 = silent.map(|(_, t)| t).sum();
        if all > 0.0 { 1.0 - missing / all } else { 1.0 }
    }

    /// Whether a proxy is silent.
    pub fn is_silent(&self, proxy: usize) -> bool {
        self.silent.contains_key(&proxy)
    }

    /// Number of server indices in use.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Drops a proxy; its index may then be reused.
    pub fn forget_proxy(&mut self, proxy: usize) {
        self.wheel.cancel(&proxy);
        self.silent.remove(&proxy);
        for reporters in &mut self.servers {
            if let Ok(at) = reporters.binary_search_by_key(&proxy, |(p, _)| *p) {
                reporters.remove(at);
            }
        }
    }

    /// Drops a server's reporters; its index may then be reused.
    pub fn forget_server(&mut self, server: usize) {
        if let Some(reporters) = self.servers.get_mut(server) {
            reporters.clear();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn half_of_the_reporters_stop_and_the_sums_say_so() {
        let mut c = Coverage::new(0.0, 500.0);
        let mut changes = Vec::new();
        for round in 1..60 {
            let now = f64::from(round) * 500.0;
            for proxy in 0..10_usize {
                // Half stop after ten seconds and resume after twenty.
                if proxy.is_multiple_of(2) || !(10_000.0..20_000.0).contains(&now) {
                    changes.extend(c.report_received(now, proxy, 500.0).map(|h| (now, h)));
                    c.record_tries(proxy, 0, 10.0);
                }
            }
            let reports = |p: usize| p.is_multiple_of(2) || !(10_000.0..20_000.0).contains(&now);
            c.decay(0, reports, reports);
            changes.extend(c.expire_silent(now).into_iter().map(|h| (now, h)));
            if (14_500.0..19_000.0).contains(&now) {
                assert!(
                    (c.reporting_share(0) - 0.5).abs() < 0.1,
                    "{} at {now}",
                    c.reporting_share(0)
                );
            }
        }
        assert_eq!(c.reporting_share(0), 1.0);
        let silent = changes
            .iter()
            .filter(|(_, h)| matches!(h, ReporterChange::Silent(_)));
        let times: Vec<f64> = silent.map(|(at, _)| *at).collect();
        assert_eq!(times.len(), 5);
        assert!(
            times.iter().all(|at| (12_500.0..14_000.0).contains(at)),
            "{times:?}"
        );
        let again = changes
            .iter()
            .filter(|(_, h)| matches!(h, ReporterChange::Resumed(_)))
            .count();
        assert_eq!(again, 5);
    }

    #[test]
    fn a_wheel_expires_what_a_plain_map_would() {
        let mut wheel = TimerWheel::new(0.0, 10.0);
        let mut plain: BTreeMap<u32, f64> = BTreeMap::new();
        let mut state = 7_u64;
        let mut draw = move |n: u64| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (state >> 33) % n
        };
        let mut now = 0.0;
        for _ in 0..20_000 {
            now += draw(40) as f64 / 4.0;
            let what = draw(50) as u32;
            match draw(5) {
                0 => {
                    assert_eq!(wheel.cancel(&what), plain.remove(&what).is_some());
                }
                // Both within and beyond one turn of the wheel.
                1..=3 => {
                    let at = now + draw(9_000) as f64;
                    wheel.schedule(what, at);
                    plain.insert(what, at);
                }
                _ => {
                    // Entries due in the slot that is still open expire with that slot.
                    let mut gone = wheel.pop_expired(now);
                    let slot = (now / 10.0).floor() * 10.0;
                    let due = |(w, at): (&u32, &f64)| (*at <= slot).then_some(*w);
                    let surely: Vec<u32> = plain.iter().filter_map(due).collect();
                    assert!(
                        surely.iter().all(|w| gone.contains(w)),
                        "{surely:?} {gone:?}"
                    );
                    assert!(gone.iter().all(|w| plain[w] <= now));
                    for w in gone.drain(..) {
                        plain.remove(&w);
                    }
                }
            }
            assert_eq!(wheel.len(), plain.len());
        }
    }
}
