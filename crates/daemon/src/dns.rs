//! DNS beside the roster: a thread that looks up, and the one list that both make. The roster has the last word.

use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_dns::agree::{Agree, Disagreement, Listed};
use dahliapoint_dns::lookup::look;
use dahliapoint_dns::refresh::{Refresh, Worth};
use dahliapoint_dns::{Answer, Target};
use dahliapoint_memory::facts::Change;
use dahliapoint_memory::writer::JournalWriter;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Where memory keeps what DNS said last.
const KEPT: (&str, &str) = ("dns", "targets");

/// What a deployment says of DNS.
#[derive(Clone, Debug, PartialEq)]
pub struct DnsSettings {
    pub name: String,
    pub server: SocketAddr,
    /// The zone of hosts that only DNS names, and whether there are any.
    pub zone: String,
    pub adds_servers: bool,
    pub timeout_ms: f64,
}

struct State {
    agree: Agree,
    refresh: Refresh,
    roster: Vec<RosterEntry>,
    disagree: BTreeMap<String, Disagreement>,
    added: usize,
    /// As memory has it.
    kept: String,
}

/// See the module's head.
pub struct DnsResolver {
    settings: DnsSettings,
    started: Instant,
    state: Mutex<State>,
    memory: Option<Arc<JournalWriter>>,
}

fn listed(state: AdminState) -> Listed {
    match state {
        AdminState::Ready => Listed::Ready,
        AdminState::Draining => Listed::Draining,
        AdminState::Gone => Listed::Gone,
    }
}

/// What memory keeps: the targets, the hosts that are there by DNS alone, and all that the roster has ever had.
#[derive(Default)]
struct Kept {
    targets: Vec<Target>,
    alone: Vec<SocketAddr>,
    names: Vec<String>,
    addresses: Vec<SocketAddr>,
}

impl Kept {
    fn text(targets: &[Target], alone: &[SocketAddr], agree: &Agree) -> String {
        let one = |t: &Target| json!([t.name, t.address, t.priority, t.weight]);
        let targets: Vec<Value> = targets.iter().map(one).collect();
        let (names, addresses) = agree.known();
        json!([targets, alone, names, addresses]).to_string()
    }

    fn of(text: &str) -> Option<Kept> {
        type Form = (
            Vec<(String, SocketAddr, u16, u16)>,
            Vec<SocketAddr>,
            Vec<String>,
            Vec<SocketAddr>,
        );
        let (all, alone, names, addresses): Form = serde_json::from_str(text).ok()?;
        let one = |(name, address, priority, weight)| Target {
            name,
            address,
            priority,
            weight,
        };
        Some(Kept {
            targets: all.into_iter().map(one).collect(),
            alone,
            names,
            addresses,
        })
    }
}

impl DnsResolver {
    /// `kept`: what memory kept of hooks and others; `before`: hosts that it knew, with their addresses.
    pub fn new(
        settings: DnsSettings,
        memory: Option<Arc<JournalWriter>>,
        kept: &BTreeMap<(String, String), String>,
        before: impl Iterator<Item = (String, String)>,
    ) -> Arc<DnsResolver> {
        let text = kept.get(&(KEPT.0.to_string(), KEPT.1.to_string()));
        let known = text.and_then(|t| Kept::of(t));
        let mut agree = Agree::new(settings.adds_servers);
        // Hosts that were there by DNS alone are not the roster's.
        let empty = Kept::default();
        let of = known.as_ref().unwrap_or(&empty);
        let hosts =
            before.filter_map(|(name, address)| Some((name, address.parse::<SocketAddr>().ok()?)));
        let hosts: Vec<(String, SocketAddr)> =
            hosts.filter(|(_, at)| !of.alone.contains(at)).collect();
        agree.remembers(of.names.clone(), of.addresses.clone());
        agree.remembers(hosts.iter().map(|h| h.0.clone()), hosts.iter().map(|h| h.1));
        let known = known.map(|k| k.targets);
        Arc::new(DnsResolver {
            settings,
            started: Instant::now(),
            state: Mutex::new(State {
                agree,
                refresh: known.map_or_else(Refresh::default, Refresh::since),
                roster: Vec::new(),
                disagree: BTreeMap::new(),
                added: 0,
                kept: String::new(),
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

    /// A roster came: the list that holds.
    pub fn roster(&self, entries: Vec<RosterEntry>) -> Vec<RosterEntry> {
        let mut state = self.lock();
        let hosts: Vec<(String, SocketAddr, Listed)> = entries
            .iter()
            .filter_map(|e| Some((e.name.clone(), e.address.parse().ok()?, listed(e.state))))
            .collect();
        state.agree.roster(&hosts);
        state.roster = entries;
        self.merge(&mut state)
    }

    fn merge(&self, state: &mut State) -> Vec<RosterEntry> {
        let (targets, worth) = state.refresh.listed(self.now_ms());
        let (added, disagree) = state.agree.merged(targets, worth == Worth::Fresh);
        for (name, why) in disagree
            .iter()
            .filter(|(n, w)| state.disagree.get(*n) != Some(w))
        {
            warn!(target: "dns", "{name}: {}", why.told());
        }
        let mut out = state.roster.clone();
        state.added = added.len();
        let alone: Vec<SocketAddr> = added.iter().map(|a| a.address).collect();
        let text = Kept::text(targets, &alone, &state.agree);
        if let Some(memory) = &self.memory
            && text != state.kept
            && memory.offer(vec![Change::Kept(
                KEPT.0.into(),
                KEPT.1.into(),
                text.clone(),
            )])
        {
            state.kept = text;
        }
        out.extend(added.into_iter().map(|a| RosterEntry {
            name: a.name,
            address: a.address.to_string(),
            zone: self.settings.zone.clone(),
            state: AdminState::Ready,
            weight: a.weight,
            started: None,
        }));
        state.disagree = disagree;
        out
    }

    /// The list that holds now.
    pub fn merged_roster(&self) -> Vec<RosterEntry> {
        self.merge(&mut self.lock())
    }

    /// Looks up if that is due; tells whether the list that holds may be another.
    pub fn refresh(&self) -> bool {
        if self.now_ms() < self.lock().refresh.due() {
            return false;
        }
        // Nobody waits for the lock while a server does not answer.
        let within = Duration::from_secs_f64(self.settings.timeout_ms / 1e3);
        let answer = look(self.settings.server, &self.settings.name, within);
        let mut state = self.lock();
        if let Answer::Failed(why) = &answer
            && state.refresh.last_fault.as_ref() != Some(why)
        {
            warn!(target: "dns", "{}: {why}; what stood stands", self.settings.name);
        }
        let now = self.now_ms();
        if !state.refresh.answered(now, &answer) {
            return false;
        }
        let (targets, _) = state.refresh.listed(now);
        info!(target: "dns", targets = targets.len(), "{} says something new", self.settings.name);
        true
    }

    pub fn status(&self) -> Value {
        let state = self.lock();
        let (targets, worth) = state.refresh.listed(self.now_ms());
        let disagree: BTreeMap<&String, &str> =
            state.disagree.iter().map(|(n, d)| (n, d.told())).collect();
        json!({
            "name": self.settings.name,
            "targets": targets.len(),
            "worth": match worth {
                Worth::Fresh => "fresh",
                Worth::Stale => "stale: lookups fail, what stood stands",
                Worth::Nothing => "it has never answered",
            },
            "added": state.added,
            "disagreements": disagree,
            "looked": state.refresh.looked,
            "failed": state.refresh.failed,
            "doubted": state.refresh.doubts,
            "fault": state.refresh.last_fault,
        })
    }
}
