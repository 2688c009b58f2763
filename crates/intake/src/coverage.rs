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
mod tests;
