//! Detects reports that cannot be trusted. A server's self-reported load is checked against the
//! times proxies measure there, and a proxy's reports against those of all other proxies about the
//! same servers.
//!
//! Suspicion grows with evidence and shrinks without it. A flag is raised at one level and cleared
//! at a lower one, so that it does not flap. Flags are shown to operators and lower the weight of a
//! proxy's reports; they never withdraw a server.

use std::collections::BTreeMap;

/// Suspicion, in periods of full evidence, at which a flag is raised, and the lower level at which
/// it is cleared.
const RAISED: f64 = 3.0;
const LOWERED: f64 = 0.5;
/// Weight of the reports of a proxy that contradicts all others.
const DOUBTED: f64 = 0.25;
/// Suspicion removed by a period without evidence.
const FORGIVEN: f64 = 0.5;
/// Maximum suspicion, so that a flag clears in bounded time.
const MOST: f64 = 6.0;
/// Tries per period that a comparison needs.
const ENOUGH: f64 = 5.0;
/// A server is suspect if proxies measure more than this many times the time it reports.
const APART: f64 = 3.0;
/// A server is suspect if it repeats exactly the same load while the measured time changes by this
/// share.
const MOVED: f64 = 0.5;
/// If more than this share of the servers is suspect, the network or the proxies are slow, and no
/// server is blamed.
const MANY: f64 = 0.3;
/// A proxy contradicts the others at a server if its failure rate differs by this much from theirs.
const CONTRARY: f64 = 0.4;
/// A proxy is suspect if it contradicts the others at this share of the servers it shares with
/// them, given at least `SHARED` such servers.
const MOSTLY: f64 = 0.7;
const SHARED: usize = 3;

/// Suspicion level, and whether it has raised a flag.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Suspicion {
    level: f64,
    /// Whether a flag is raised.
    pub flagged: bool,
}

impl Suspicion {
    /// Adds a period's evidence, from 0 to 1. Returns whether the flag has changed.
    fn weigh(&mut self, evidence: f64) -> bool {
        self.level = match evidence > 0.0 {
            true => (self.level + evidence).min(MOST),
            false => (self.level - FORGIVEN).max(0.0),
        };
        let before = self.flagged;
        if self.level >= RAISED {
            self.flagged = true;
        }
        if self.level <= LOWERED {
            self.flagged = false;
        }
        before != self.flagged
    }
}

/// One server in one period: its self-reported load and what proxies measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSample {
    /// Means over the answers that carried a self-report; `None` if none did.
    pub own_ms: Option<f64>,
    pub own_queue: Option<f64>,
    /// Mean time that proxies measured.
    pub measured_ms: f64,
    /// Number of tries.
    pub tries: f64,
}

/// What is remembered of a server between periods.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    suspicion: Suspicion,
    last: Option<ServerSample>,
    /// Measured time when the self-report last changed.
    met_then: f64,
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
    servers: BTreeMap<usize, Told>,
    proxies: BTreeMap<usize, Suspicion>,
}

impl TrustTracker {
    /// Whether a server's self-reported load is flagged as stale.
    pub fn is_stale(&self, server: usize) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|t| t.suspicion.flagged)
    }

    /// Whether a proxy is flagged as contradicting all others.
    pub fn is_contrary(&self, proxy: usize) -> bool {
        self.proxies.get(&proxy).is_some_and(|s| s.flagged)
    }

    /// Weight of a proxy's reports: reduced while they contradict all others, but never zero, since
    /// this proxy may be the one that is right.
    pub fn trust(&self, proxy: usize) -> f64 {
        if self.is_contrary(proxy) {
            DOUBTED
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
    pub fn observe_servers(&mut self, words: &BTreeMap<usize, ServerSample>) -> Vec<TrustChange> {
        let mut changes = Vec::new();
        let evidence: Vec<f64> = words
            .iter()
            .map(|(server, word)| {
                against_the_server(self.servers.entry(*server).or_default(), word)
            })
            .collect();
        // A single suspect is judged however few servers there are.
        let suspected = evidence.iter().filter(|e| **e > 0.0).count();
        let many = suspected > 1 && suspected as f64 > MANY * words.len() as f64;
        for ((server, word), evidence) in words.iter().zip(evidence) {
            let evidence = if many { 0.0 } else { evidence };
            let told = self.servers.entry(*server).or_default();
            if told.suspicion.weigh(evidence) {
                changes.push(TrustChange::StaleServer(*server, told.suspicion.flagged));
            }
            let same = told
                .last
                .is_some_and(|l| (l.own_ms, l.own_queue) == (word.own_ms, word.own_queue));
            // When many servers changed at once, measure further changes from the new times.
            if !same || many {
                told.met_then = word.measured_ms;
            }
            told.last = Some(*word);
        }
        changes
    }

    /// Takes a period's tries and failures by proxy, compares each proxy with all others at the
    /// same servers, and returns the flags that changed.
    pub fn observe_proxies(&mut self, views: &ProxyViews) -> Vec<TrustChange> {
        let mut all: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for (server, met) in views.values().flatten() {
            let sum = all.entry(*server).or_default();
            (sum.0, sum.1) = (sum.0 + met.0, sum.1 + met.1);
        }
        let mut changes = Vec::new();
        for (proxy, met) in views {
            let evidence = against_the_proxy(met, &all);
            let suspicion = self.proxies.entry(*proxy).or_default();
            if suspicion.weigh(evidence) {
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
fn against_the_server(told: &Told, word: &ServerSample) -> f64 {
    if word.tries < ENOUGH || word.own_ms.is_none() && word.own_queue.is_none() {
        return 0.0;
    }
    // A server reports the time of the work alone; visits in its queue explain the rest.
    let waits = word.own_queue.unwrap_or(0.0).max(0.0);
    let own = word.own_ms.map(|ms| ms * (1.0 + waits));
    let apart = own.is_some_and(|own| own > 0.0 && word.measured_ms > APART * own);
    let same = told
        .last
        .is_some_and(|l| (l.own_ms, l.own_queue) == (word.own_ms, word.own_queue));
    let moved =
        (word.measured_ms - told.met_then).abs() > MOVED * told.met_then.max(word.measured_ms);
    match (apart, same && moved && told.met_then > 0.0) {
        (true, true) => 1.0,
        (true, false) | (false, true) => 0.75,
        (false, false) => 0.0,
    }
}

/// Detects a proxy whose own fault, or whose own network link, looks like a fault of the servers:
/// it fails where all others succeed, or succeeds where all others fail. A proxy that shares too
/// few servers with others is not judged.
fn against_the_proxy(met: &BTreeMap<usize, (f64, f64)>, all: &BTreeMap<usize, (f64, f64)>) -> f64 {
    let (mut shared, mut contrary) = (0, 0);
    for (server, (tries, failed)) in met {
        let (all_tries, all_failed) = all.get(server).copied().unwrap_or_default();
        let others = (all_tries - tries, all_failed - failed);
        if *tries < ENOUGH || others.0 < ENOUGH {
            continue;
        }
        shared += 1;
        if (failed / tries - others.1 / others.0).abs() > CONTRARY {
            contrary += 1;
        }
    }
    match shared >= SHARED && f64::from(contrary) >= MOSTLY * shared as f64 {
        true => 1.0,
        false => 0.0,
    }
}
