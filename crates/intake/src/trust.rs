//! Whom to believe. A server's own word about its load is set against what proxies met at it, and a
//! proxy's reports against those of all others about the same servers. Suspicion grows with evidence and
//! shrinks without it; a flag is raised at one bound and taken down at a lower one, so that it does not
//! flicker. Flags are for people and for weighing reports; they withdraw nobody.

use std::collections::BTreeMap;

/// Evidence that raises a flag, in periods' worth, and the rest of it at which the flag comes down.
const RAISED: f64 = 3.0;
const LOWERED: f64 = 0.5;
/// What the reports of a proxy count that contradicts all others.
const DOUBTED: f64 = 0.25;
/// What a period without evidence takes off.
const FORGIVEN: f64 = 0.5;
/// More evidence than this is not kept: a flag comes down in bounded time.
const MOST: f64 = 6.0;
/// Tries met in a period that a comparison needs.
const ENOUGH: f64 = 5.0;
/// Proxies meet a server at so many times the time that it tells: its word is not of now.
const APART: f64 = 3.0;
/// A word that is repeated to the digit while what is met moves by this share is not of now either.
const MOVED: f64 = 0.5;
/// More than this share of the servers cannot all be telling stale words: then it is the way to them, or
/// the proxies, that is slow.
const MANY: f64 = 0.3;
/// A proxy's failing share is this far from what all others met at the same servers ...
const CONTRARY: f64 = 0.4;
/// ... at this share of the servers that it shares with others, of at least so many.
const MOSTLY: f64 = 0.7;
const SHARED: usize = 3;

/// Suspicion, and whether it has become a flag.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Suspicion {
    level: f64,
    pub flagged: bool,
}

impl Suspicion {
    /// A period's evidence, from 0 to 1. Tells whether the flag has changed.
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

/// A period of one server: what it said of itself, and what proxies met there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSample {
    /// Means over the answers that carried one; none if none did.
    pub own_ms: Option<f64>,
    pub own_queue: Option<f64>,
    pub measured_ms: f64,
    pub tries: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Told {
    suspicion: Suspicion,
    last: Option<ServerSample>,
    /// What was met when the word was last another one.
    met_then: f64,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrustChange {
    StaleServer(usize, bool),
    ContraryProxy(usize, bool),
}

/// What the proxies of a period met, by reporter and server: tries and failures.
pub type ProxyViews = BTreeMap<usize, BTreeMap<usize, (f64, f64)>>;

#[derive(Clone, Debug, Default)]
pub struct TrustTracker {
    servers: BTreeMap<usize, Told>,
    proxies: BTreeMap<usize, Suspicion>,
}

impl TrustTracker {
    pub fn is_stale(&self, server: usize) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|t| t.suspicion.flagged)
    }

    pub fn is_contrary(&self, proxy: usize) -> bool {
        self.proxies.get(&proxy).is_some_and(|s| s.flagged)
    }

    /// What a proxy's reports count: less while they contradict all others, never nothing, since it may
    /// be the one that is right.
    pub fn trust(&self, proxy: usize) -> f64 {
        if self.is_contrary(proxy) {
            DOUBTED
        } else {
            1.0
        }
    }

    pub fn forget_server(&mut self, server: usize) {
        self.servers.remove(&server);
    }

    pub fn forget_proxy(&mut self, proxy: usize) {
        self.proxies.remove(&proxy);
    }

    /// A period of what servers said and proxies met there.
    pub fn observe_servers(&mut self, words: &BTreeMap<usize, ServerSample>) -> Vec<TrustChange> {
        let mut changes = Vec::new();
        let evidence: Vec<f64> = words
            .iter()
            .map(|(server, word)| {
                against_the_server(self.servers.entry(*server).or_default(), word)
            })
            .collect();
        // One server among few is judged all the same: there are no others to tell it from.
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
            // Where much has moved at once, what is met from now on is the new ground to judge from.
            if !same || many {
                told.met_then = word.measured_ms;
            }
            told.last = Some(*word);
        }
        changes
    }

    /// A period of what each proxy met, set against what all others met at the same servers.
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

/// Guards against a server that tells a low load while it slows: its own time lies far below what proxies
/// meet there, or its word is the same to the digit while what they meet has moved. A server that is idle
/// tells low times and is met at low times: no evidence. May harm where the way to a server is slow and
/// not the server: the flag says only that its word does not explain what is met.
fn against_the_server(told: &Told, word: &ServerSample) -> f64 {
    if word.tries < ENOUGH || word.own_ms.is_none() && word.own_queue.is_none() {
        return 0.0;
    }
    // Its time is that of the work alone; with visits waiting, those explain the rest.
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

/// Guards against a proxy whose own fault looks like the servers': it fails where all others do not, or
/// says that all is well where all others fail. Should also catch a link of its own. May harm when few
/// share its servers: then it is not judged.
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
