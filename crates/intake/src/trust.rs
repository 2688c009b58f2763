//! Detects reports that cannot be trusted. A server's self-reported load is checked against the
//! times proxies measure there, and a proxy's reports against those of all other proxies about the
//! same servers.
//!
//! Suspicion grows with evidence and shrinks without it. A flag is raised at one level and cleared
//! at a lower one, so that it does not flap. Flags are shown to operators and lower the weight of a
//! proxy's reports; they never withdraw a server.

use std::collections::BTreeMap;

/// Suspicion, in periods of full evidence, at which a flag is raised.
const RAISE_LEVEL: f64 = 3.0;
/// Suspicion at which a flag is cleared.
const CLEAR_LEVEL: f64 = 0.5;
/// Weight of the reports of a proxy that contradicts all others.
const CONTRARY_WEIGHT: f64 = 0.25;
/// Suspicion removed by a period without evidence.
const DECAY_PER_PERIOD: f64 = 0.5;
/// Maximum suspicion, so that a flag clears in bounded time.
const MAX_LEVEL: f64 = 6.0;
/// Tries per period that a comparison needs.
const MIN_TRIES: f64 = 5.0;
/// A server is suspect if proxies measure more than this many times the time it reports.
const MAX_TIME_RATIO: f64 = 3.0;
/// A server is suspect if it repeats exactly the same load while the measured time changes by this
/// share.
const MIN_TIME_CHANGE: f64 = 0.5;
/// If more than this share of the servers is suspect, the network or the proxies are slow, and no
/// server is blamed.
const MAX_SUSPECT_SHARE: f64 = 0.3;
/// A proxy contradicts the others at a server if its failure rate differs by this much from theirs.
const MIN_FAILURE_DIFFERENCE: f64 = 0.4;
/// A proxy is suspect if it contradicts the others at this share of the servers it shares with
/// them.
const MIN_CONTRARY_SHARE: f64 = 0.7;
/// A proxy that shares fewer servers with others is not judged.
const MIN_SHARED_SERVERS: usize = 3;

/// Suspicion level, and whether it has raised a flag.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Suspicion {
    level: f64,
    /// Whether a flag is raised.
    pub flagged: bool,
}

impl Suspicion {
    /// Adds a period's evidence, from 0 to 1. Returns whether the flag has changed.
    fn update(&mut self, evidence: f64) -> bool {
        self.level = match evidence > 0.0 {
            true => (self.level + evidence).min(MAX_LEVEL),
            false => (self.level - DECAY_PER_PERIOD).max(0.0),
        };
        let before = self.flagged;
        if self.level >= RAISE_LEVEL {
            self.flagged = true;
        }
        if self.level <= CLEAR_LEVEL {
            self.flagged = false;
        }
        before != self.flagged
    }
}

/// One server in one period: its self-reported load and what proxies measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSample {
    /// Mean self-reported time; `None` if no answer carried a self-report.
    pub own_ms: Option<f64>,
    /// Mean self-reported queue length; `None` if no answer carried a self-report.
    pub own_queue: Option<f64>,
    /// Mean time that proxies measured.
    pub measured_ms: f64,
    /// Number of tries.
    pub tries: f64,
}

/// What is remembered of a server between periods.
#[derive(Clone, Copy, Debug, Default)]
struct ServerHistory {
    suspicion: Suspicion,
    last_sample: Option<ServerSample>,
    /// Measured time when the self-report last changed.
    baseline_ms: f64,
}

/// A flag that was raised (`true`) or cleared (`false`), by server or proxy index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrustChange {
    /// A server's self-reported load is stale.
    StaleServer(usize, bool),
    /// A proxy's reports contradict those of all others.
    ContraryProxy(usize, bool),
}

/// A period's tries and failures, by proxy and server.
pub type ProxyViews = BTreeMap<usize, BTreeMap<usize, (f64, f64)>>;

/// Suspicion of servers and proxies, by index.
#[derive(Clone, Debug, Default)]
pub struct TrustTracker {
    servers: BTreeMap<usize, ServerHistory>,
    proxies: BTreeMap<usize, Suspicion>,
}

impl TrustTracker {
    /// Whether a server's self-reported load is flagged as stale.
    pub fn is_stale(&self, server: usize) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|history| history.suspicion.flagged)
    }

    /// Whether a proxy is flagged as contradicting all others.
    pub fn is_contrary(&self, proxy: usize) -> bool {
        self.proxies.get(&proxy).is_some_and(|s| s.flagged)
    }

    /// Weight of a proxy's reports: reduced while they contradict all others, but never zero, since
    /// this proxy may be the one that is right.
    pub fn trust(&self, proxy: usize) -> f64 {
        if self.is_contrary(proxy) {
            CONTRARY_WEIGHT
        } else {
            1.0
        }
    }

    /// Drops a server; its index may then be reused.
    pub fn forget_server(&mut self, server: usize) {
        self.servers.remove(&server);
    }

    /// Drops a proxy; its index may then be reused.
    pub fn forget_proxy(&mut self, proxy: usize) {
        self.proxies.remove(&proxy);
    }

    /// Takes a period's samples by server, and returns the flags that changed.
    pub fn observe_servers(&mut self, samples: &BTreeMap<usize, ServerSample>) -> Vec<TrustChange> {
        let mut changes = Vec::new();
        let evidence: Vec<f64> = samples
            .iter()
            .map(|(server, sample)| {
                stale_evidence(self.servers.entry(*server).or_default(), sample)
            })
            .collect();
        // A single suspect counts however few servers there are: with few there are no others to
        // compare it with.
        let suspected = evidence.iter().filter(|e| **e > 0.0).count();
        let too_many = suspected > 1 && suspected as f64 > MAX_SUSPECT_SHARE * samples.len() as f64;
        for ((server, sample), evidence) in samples.iter().zip(evidence) {
            let evidence = if too_many { 0.0 } else { evidence };
            let history = self.servers.entry(*server).or_default();
            if history.suspicion.update(evidence) {
                changes.push(TrustChange::StaleServer(*server, history.suspicion.flagged));
            }
            let repeated = history
                .last_sample
                .is_some_and(|l| (l.own_ms, l.own_queue) == (sample.own_ms, sample.own_queue));
            // When many servers changed at once, measure further changes from the new times.
            if !repeated || too_many {
                history.baseline_ms = sample.measured_ms;
            }
            history.last_sample = Some(*sample);
        }
        changes
    }

    /// Takes a period's tries and failures by proxy, compares each proxy with all others at the
    /// same servers, and returns the flags that changed.
    pub fn observe_proxies(&mut self, views: &ProxyViews) -> Vec<TrustChange> {
        let mut all: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for (server, (tries, failed)) in views.values().flatten() {
            let sum = all.entry(*server).or_default();
            (sum.0, sum.1) = (sum.0 + tries, sum.1 + failed);
        }
        let mut changes = Vec::new();
        for (proxy, tries_by_server) in views {
            let evidence = contrary_evidence(tries_by_server, &all);
            let suspicion = self.proxies.entry(*proxy).or_default();
            if suspicion.update(evidence) {
                changes.push(TrustChange::ContraryProxy(*proxy, suspicion.flagged));
            }
        }
        changes
    }
}

/// Detects a server that reports a low load while it slows down: its own time is far below what
/// proxies measure, or its report stays exactly the same while the measured time changes. An idle
/// server reports and shows low times, which is no evidence. A slow network path to the server
/// causes a false positive: the flag only says that the server's report does not explain the
/// measurements.
fn stale_evidence(history: &ServerHistory, sample: &ServerSample) -> f64 {
    if sample.tries < MIN_TRIES || sample.own_ms.is_none() && sample.own_queue.is_none() {
        return 0.0;
    }
    // A server reports the time of the work alone; visits in its queue explain the rest.
    let queue = sample.own_queue.unwrap_or(0.0).max(0.0);
    let own = sample.own_ms.map(|ms| ms * (1.0 + queue));
    let too_slow = own.is_some_and(|own| own > 0.0 && sample.measured_ms > MAX_TIME_RATIO * own);
    let repeated = history
        .last_sample
        .is_some_and(|l| (l.own_ms, l.own_queue) == (sample.own_ms, sample.own_queue));
    let changed = (sample.measured_ms - history.baseline_ms).abs()
        > MIN_TIME_CHANGE * history.baseline_ms.max(sample.measured_ms);
    match (too_slow, repeated && changed && history.baseline_ms > 0.0) {
        (true, true) => 1.0,
        (true, false) | (false, true) => 0.75,
        (false, false) => 0.0,
    }
}

/// Detects a proxy whose own fault, or whose own network link, looks like a fault of the servers:
/// it fails where all others succeed, or succeeds where all others fail. A proxy that shares too
/// few servers with others is not judged.
fn contrary_evidence(
    tries_by_server: &BTreeMap<usize, (f64, f64)>,
    all: &BTreeMap<usize, (f64, f64)>,
) -> f64 {
    let (mut shared, mut contrary) = (0, 0);
    for (server, (tries, failed)) in tries_by_server {
        let (all_tries, all_failed) = all.get(server).copied().unwrap_or_default();
        let others = (all_tries - tries, all_failed - failed);
        if *tries < MIN_TRIES || others.0 < MIN_TRIES {
            continue;
        }
        shared += 1;
        if (failed / tries - others.1 / others.0).abs() > MIN_FAILURE_DIFFERENCE {
            contrary += 1;
        }
    }
    match shared >= MIN_SHARED_SERVERS && f64::from(contrary) >= MIN_CONTRARY_SHARE * shared as f64
    {
        true => 1.0,
        false => 0.0,
    }
}
