//! Servers from DNS in addition to the roster: the state of the lookups, and the list that both sources make together.
//! The roster takes precedence.

use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_dns::lookup::lookup_srv;
use dahliapoint_dns::reconcile::{Disagreement, Reconciler, RosterState};
use dahliapoint_dns::refresh::{Freshness, Refresh};
use dahliapoint_dns::{Answer, Target};
use dahliapoint_memory::facts::Change;
use dahliapoint_memory::writer::JournalWriter;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// File and name under which memory keeps the last answer.
const STORED_KEY: (&str, &str) = ("dns", "targets");

/// Settings of DNS in a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct DnsSettings {
    /// Name of the SRV records.
    pub name: String,
    /// DNS server to ask.
    pub server: SocketAddr,
    /// Zone of servers that only DNS names.
    pub zone: String,
    /// Whether DNS may add servers that are not in the roster.
    pub adds_servers: bool,
    pub timeout_ms: f64,
}

/// State that lookups and rosters share.
struct State {
    agree: Reconciler,
    refresh: Refresh,
    roster: Vec<RosterEntry>,
    /// Servers on which DNS and the roster disagree, by name.
    disagreements: BTreeMap<String, Disagreement>,
    /// Number of servers that DNS adds.
    added: usize,
    /// The [`StoredAnswer`] that memory has.
    stored: String,
}

/// Looks up DNS and merges its servers with the roster.
pub struct DnsResolver {
    settings: DnsSettings,
    started: Instant,
    state: Mutex<State>,
    memory: Option<Arc<JournalWriter>>,
}

fn dns_listed(state: AdminState) -> RosterState {
    match state {
        AdminState::Ready => RosterState::Ready,
        AdminState::Draining => RosterState::Draining,
        AdminState::Gone => RosterState::Gone,
    }
}

/// What memory keeps over restarts.
#[derive(Default)]
struct StoredAnswer {
    targets: Vec<Target>,
    /// Servers that only DNS names.
    dns_only: Vec<SocketAddr>,
    /// Names and addresses of all servers that the roster has ever had.
    names: Vec<String>,
    addresses: Vec<SocketAddr>,
}

impl StoredAnswer {
    /// The stored form: JSON.
    fn to_text(targets: &[Target], dns_only: &[SocketAddr], agree: &Reconciler) -> String {
        let to_json = |t: &Target| json!([t.name, t.address, t.priority, t.weight]);
        let targets: Vec<Value> = targets.iter().map(to_json).collect();
        let (names, addresses) = agree.known_hosts();
        json!([targets, dns_only, names, addresses]).to_string()
    }

    /// Reads the stored form; `None` if it is not valid.
    fn parse(text: &str) -> Option<StoredAnswer> {
        type Form = (
            Vec<(String, SocketAddr, u16, u16)>,
            Vec<SocketAddr>,
            Vec<String>,
            Vec<SocketAddr>,
        );
        let (all, dns_only, names, addresses): Form = serde_json::from_str(text).ok()?;
        let to_target = |(name, address, priority, weight)| Target {
            name,
            address,
            priority,
            weight,
        };
        Some(StoredAnswer {
            targets: all.into_iter().map(to_target).collect(),
            dns_only,
            names,
            addresses,
        })
    }
}

impl DnsResolver {
    /// `kept` are the values that memory keeps, `before` the servers that it knows, with their addresses.
    pub fn new(
        settings: DnsSettings,
        memory: Option<Arc<JournalWriter>>,
        kept: &BTreeMap<(String, String), String>,
        before: impl Iterator<Item = (String, String)>,
    ) -> Arc<DnsResolver> {
        let text = kept.get(&(STORED_KEY.0.to_string(), STORED_KEY.1.to_string()));
        let known = text.and_then(|t| StoredAnswer::parse(t));
        let mut agree = Reconciler::new(settings.adds_servers);
        // Servers that only DNS named do not count as known to the roster.
        let empty = StoredAnswer::default();
        let previous = known.as_ref().unwrap_or(&empty);
        let hosts =
            before.filter_map(|(name, address)| Some((name, address.parse::<SocketAddr>().ok()?)));
        let hosts: Vec<(String, SocketAddr)> = hosts
            .filter(|(_, at)| !previous.dns_only.contains(at))
            .collect();
        agree.add_known(previous.names.clone(), previous.addresses.clone());
        agree.add_known(hosts.iter().map(|h| h.0.clone()), hosts.iter().map(|h| h.1));
        let known = known.map(|k| k.targets);
        Arc::new(DnsResolver {
            settings,
            started: Instant::now(),
            state: Mutex::new(State {
                agree,
                refresh: known.map_or_else(Refresh::default, Refresh::restored),
                roster: Vec::new(),
                disagreements: BTreeMap::new(),
                added: 0,
                stored: String::new(),
            }),
            memory,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Takes a new roster; returns it merged with the servers of DNS.
    pub fn roster(&self, entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        let mut state = self.lock();
        let hosts: Vec<(String, SocketAddr, RosterState)> = entries
            .iter()
            .filter_map(|e| Some((e.name.clone(), e.address.parse().ok()?, dns_listed(e.state))))
            .collect();
        state.agree.set_roster(&hosts);
        state.roster = entries;
        self.merge(&mut state)
    }

    /// Merges the roster and the last answer, and stores what has changed.
    fn merge(&self, state: &mut State) -> Vec<RosterEntry> {
        let (targets, worth) = state.refresh.targets(self.now_ms());
        let (added, disagreements) = state.agree.reconcile(targets, worth == Freshness::Fresh);
        for (name, why) in disagreements
            .iter()
            .filter(|(n, w)| state.disagreements.get(*n) != Some(w))
        {
            warn!(target: "dns", "{name}: {}", why.message());
        }
        let mut out = state.roster.clone();
        state.added = added.len();
        let dns_only: Vec<SocketAddr> = added.iter().map(|a| a.address).collect();
        let text = StoredAnswer::to_text(targets, &dns_only, &state.agree);
        if let Some(memory) = &self.memory
            && text != state.stored
            && memory.offer(vec![Change::Kept(
                STORED_KEY.0.into(),
                STORED_KEY.1.into(),
                text.clone(),
            )])
        {
            state.stored = text;
        }
        out.extend(added.into_iter().map(|a| RosterEntry {
            name: a.name,
            address: a.address.to_string(),
            zone: self.settings.zone.clone(),
            state: AdminState::Ready,
            weight: a.weight,
            started: None,
        }));
        state.disagreements = disagreements;
        out
    }

    /// The roster merged with the servers of DNS.
    pub fn merged_roster(&self) -> Vec<RosterEntry> {
        self.merge(&mut self.lock())
    }

    /// Looks up DNS if that is due; returns whether the merged roster may have changed.
    pub fn refresh(&self) -> bool {
        if self.now_ms() < self.lock().refresh.next_lookup_at() {
            return false;
        }
        // The lock is not held during the lookup, which blocks until the server answers.
        let timeout = Duration::from_secs_f64(self.settings.timeout_ms / 1e3);
        let answer = lookup_srv(self.settings.server, &self.settings.name, timeout);
        let mut state = self.lock();
        if let Answer::Failed(why) = &answer
            && state.refresh.last_error.as_ref() != Some(why)
        {
            warn!(target: "dns", "{}: {why}; what stood stands", self.settings.name);
        }
        let now = self.now_ms();
        if !state.refresh.handle_answer(now, &answer) {
            return false;
        }
        let (targets, _) = state.refresh.targets(now);
        info!(target: "dns", targets = targets.len(), "the answer for {} has changed", self.settings.name);
        true
    }

    /// Status for overviews.
    pub fn status(&self) -> Value {
        let state = self.lock();
        let (targets, worth) = state.refresh.targets(self.now_ms());
        let disagreements: BTreeMap<&String, &str> = state
            .disagreements
            .iter()
            .map(|(n, d)| (n, d.message()))
            .collect();
        json!({
            "name": self.settings.name,
            "targets": targets.len(),
            "worth": match worth {
                Freshness::Fresh => "fresh",
                Freshness::Stale => "stale: lookups fail, what stood stands",
                Freshness::NeverAnswered => "it has never answered",
            },
            "added": state.added,
            "disagreements": disagreements,
            "looked": state.refresh.lookups,
            "failed": state.refresh.failed_lookups,
            "doubted": state.refresh.unconfirmed_answers,
            "fault": state.refresh.last_error,
        })
    }
}
