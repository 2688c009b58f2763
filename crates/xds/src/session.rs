//! One discovery stream, free of I/O: what the client asked for, what it holds, what is under way, and
//! the next response. Messages of the controller are merged as they come, so a client that is slow to
//! answer is told the newest state once, and costs no more memory than its table.
//!
//! How it is called: [`Session::asked_delta`] or [`Session::asked_full`] for each request,
//! [`Session::deliver`] for each message, then [`Session::next_delta`] or [`Session::next_full`] until
//! there is none, and [`Session::answers`] for what the controller is to be told.

use crate::names::{self, CDS, EDS, LEDS, RDS};
use crate::pb::discovery::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use crate::resources::{self, ServiceConfig, Versioned};
use dahliapoint_control::{ClassPolicy, Line, LineState, Message, RetryPolicy, Scope};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Responses without an answer, beyond which the rest is merged and waits.
const UNDER_WAY: usize = 8;
/// Names that one client may ask for, by type.
const MOST_NAMES: usize = 4096;

/// How a stream takes its resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flavour {
    /// Delta, lines by LEDS.
    DeltaLeds,
    /// Delta, lines within the assignments.
    DeltaInline,
    /// State of the world, lines within the assignments.
    Full,
}

/// What the controller is to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It asks for lines: it has joined.
    Joined,
    Applied(u64),
    Refused(u64, String),
}

/// In the order in which responses go out: what a later one refers to goes first.
const KINDS: [&str; 4] = [CDS, RDS, EDS, LEDS];
const K_CDS: usize = 0;
const K_RDS: usize = 1;
const K_EDS: usize = 2;
const K_LEDS: usize = 3;

/// What a client asked for of one type, and what it holds of it.
#[derive(Default)]
struct Kind {
    asked: bool,
    wildcard: bool,
    names: BTreeSet<String>,
    /// Versions that it holds once what is under way is applied, and those that it has answered for.
    sent: BTreeMap<String, String>,
    acked: BTreeMap<String, String>,
    dirty: BTreeSet<String>,
    /// Removals that are told even if it never held the resource.
    always: BTreeSet<String>,
    /// An answer is owed though nothing may have changed.
    owed: bool,
    nonce: String,
    refusal: Option<String>,
}

impl Kind {
    fn covers(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name) || {
            let stem = name.rfind('/').map(|at| format!("{}/*", &name[..at]));
            stem.is_some_and(|s| self.names.contains(&s))
        }
    }
}

/// A response without an answer.
struct Flight {
    nonce: String,
    kind: usize,
    /// Everything up to this serial is told with it.
    serial: Option<u64>,
    /// What it told: versions now and before; none for a resource that is not there.
    told: Vec<(String, Option<String>, Option<String>)>,
}

/// Whether a resource is there for this client.
enum Found {
    There(Versioned),
    Absent,
    /// It is not told yet: the client keeps what it holds.
    Withheld,
}

/// A row for people: a resource that the client holds or was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub type_url: &'static str,
    pub name: String,
    pub version: String,
    pub acked: bool,
    pub refusal: Option<String>,
}

pub struct Session {
    config: Arc<ServiceConfig>,
    flavour: Flavour,
    kinds: [Kind; 4],
    joined: bool,
    bound: Option<usize>,
    raw: BTreeMap<Arc<str>, Line>,
    lines: BTreeMap<String, Versioned>,
    withdrawn: BTreeMap<String, Versioned>,
    ways: Vec<ClassPolicy>,
    /// The newest serial merged, and the newest that a response carries.
    newest: u64,
    told: u64,
    flights: VecDeque<Flight>,
    /// Why something since the last answered serial was refused.
    refusal: Option<String>,
    odd: VecDeque<(String, Vec<String>)>,
    answers: Vec<Answer>,
    nonces: u64,
}

impl Session {
    pub fn new(config: Arc<ServiceConfig>, flavour: Flavour) -> Session {
        let way = ClassPolicy {
            admitted_share: 1.0,
            retry: RetryPolicy::OnProof,
        };
        let ways = vec![way; config.classes.len()];
        Session {
            config,
            flavour,
            kinds: Default::default(),
            joined: false,
            bound: None,
            raw: BTreeMap::new(),
            lines: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            ways,
            newest: 0,
            told: 0,
            flights: VecDeque::new(),
            refusal: None,
            odd: VecDeque::new(),
            answers: Vec::new(),
            nonces: 0,
        }
    }

    /// What has come to be told to the controller.
    pub fn answers(&mut self) -> Vec<Answer> {
        std::mem::take(&mut self.answers)
    }

    // ---- what the client says ----

    /// Takes a request of the delta protocol.
    ///
    /// # Errors
    /// A sentence about a request that no client should send.
    pub fn asked_delta(&mut self, r: &DeltaDiscoveryRequest) -> Result<(), String> {
        let Some(kind) = KINDS.iter().position(|k| *k == r.type_url) else {
            self.ask_unknown(&r.type_url, &r.resource_names_subscribe);
            return Ok(());
        };
        if !r.response_nonce.is_empty() {
            let error = r.error_detail.as_ref().map(|e| e.message.clone());
            self.answered(kind, &r.response_nonce, error);
        }
        let k = &mut self.kinds[kind];
        let first = !std::mem::replace(&mut k.asked, true);
        if first {
            let held = r.initial_resource_versions.iter();
            k.sent = held.map(|(n, v)| (n.clone(), v.clone())).collect();
            k.acked = k.sent.clone();
            // The older way to ask for everything, which the specification keeps for clusters.
            k.wildcard = kind == K_CDS && r.resource_names_subscribe.is_empty();
            k.owed = k.wildcard;
        }
        for name in &r.resource_names_unsubscribe {
            if name == "*" {
                k.wildcard = false;
            }
            k.names.remove(name);
        }
        if k.names.len() + r.resource_names_subscribe.len() > MOST_NAMES {
            return Err(format!("more than {MOST_NAMES} names of {}", r.type_url));
        }
        let mut again = Vec::new();
        for name in &r.resource_names_subscribe {
            if name == "*" {
                k.wildcard = true;
                k.owed = true;
            } else if !k.names.insert(name.clone()) {
                // Asked for again: it has lost it, and is told even what it should hold.
                again.push(name.clone());
            }
        }
        if !r.resource_names_unsubscribe.is_empty() {
            let sent = std::mem::take(&mut k.sent).into_iter();
            let sent: BTreeMap<_, _> = sent.filter(|(n, _)| k.covers(n)).collect();
            k.sent = sent;
            let acked = std::mem::take(&mut k.acked).into_iter();
            k.acked = acked.filter(|(n, _)| k.sent.contains_key(n)).collect();
        }
        for name in &again {
            let stem = name.strip_suffix('*').unwrap_or(name).to_string();
            let glob = name.ends_with('*');
            k.sent
                .retain(|n, _| !(n == name || glob && n.starts_with(&stem)));
        }
        if !r.resource_names_subscribe.is_empty() || first {
            self.mark_asked(kind, &r.resource_names_subscribe);
        }
        self.join_if_asked();
        Ok(())
    }

    /// Takes a request of the state-of-the-world protocol.
    ///
    /// # Errors
    /// A sentence about a request that no client should send.
    pub fn asked_full(&mut self, r: &DiscoveryRequest) -> Result<(), String> {
        let known = KINDS.iter().position(|k| *k == r.type_url);
        let Some(kind) = known.filter(|k| *k != K_LEDS) else {
            self.ask_unknown(&r.type_url, &[]);
            return Ok(());
        };
        if r.resource_names.len() > MOST_NAMES {
            return Err(format!("more than {MOST_NAMES} names of {}", r.type_url));
        }
        let k = &self.kinds[kind];
        if !r.response_nonce.is_empty() {
            if r.response_nonce != k.nonce {
                // Of an older response: a newer request is on its way.
                return Ok(());
            }
            let error = r.error_detail.as_ref().map(|e| e.message.clone());
            self.answered(kind, &r.response_nonce, error);
        }
        let k = &mut self.kinds[kind];
        let first = !std::mem::replace(&mut k.asked, true);
        let names: BTreeSet<String> = r.resource_names.iter().cloned().collect();
        let wildcard = kind == K_CDS && (names.is_empty() || names.contains("*"));
        if first || names != k.names || wildcard != k.wildcard {
            k.sent.retain(|n, _| names.contains(n) || wildcard);
            (k.names, k.wildcard) = (names, wildcard);
            let names: Vec<String> = r.resource_names.clone();
            self.mark_asked(kind, &names);
            self.kinds[kind].owed = true;
        }
        self.join_if_asked();
        Ok(())
    }

    /// A type that nobody here serves: its names do not exist, which is an answer, not a fault.
    fn ask_unknown(&mut self, type_url: &str, names: &[String]) {
        if !names.is_empty() && self.odd.len() < UNDER_WAY && self.flavour != Flavour::Full {
            let names = names.iter().filter(|n| *n != "*").cloned().collect();
            self.odd.push_back((type_url.to_string(), names));
        }
    }

    fn mark_asked(&mut self, kind: usize, names: &[String]) {
        let there = self.there(kind);
        let bound = self
            .bound
            .map(|p| names::part_collection(&self.config.service, p));
        let withdrawn = names::withdrawn_collection(&self.config.service);
        let k = &mut self.kinds[kind];
        let there: Vec<_> = there.into_iter().filter(|n| k.covers(n)).collect();
        k.dirty.extend(there);
        let held: Vec<_> = k.sent.keys().filter(|n| k.covers(n)).cloned().collect();
        k.dirty.extend(held);
        for name in names {
            match name.ends_with("/*") {
                // A collection: its first answer is owed even if it is empty.
                true if kind == K_LEDS => {
                    let given = Some(name) == bound.as_ref() || *name == withdrawn;
                    k.owed |= given;
                    k.always
                        .extend((!given && !is_part(name)).then(|| name.clone()));
                }
                _ => {
                    k.dirty.insert(name.clone());
                    k.always.insert(name.clone());
                }
            }
        }
        k.dirty.remove("*");
        k.always.remove("*");
        let always = k.always.clone();
        k.dirty.extend(always);
    }

    fn join_if_asked(&mut self) {
        let asks = self.kinds[K_EDS].asked || self.kinds[K_LEDS].asked;
        if asks && !self.joined {
            self.joined = true;
            self.answers.push(Answer::Joined);
        }
    }

    /// An answer to a response. One to a response that is not under way says nothing new.
    fn answered(&mut self, kind: usize, nonce: &str, error: Option<String>) {
        let same = |f: &Flight| f.nonce == nonce && f.kind == kind;
        let Some(at) = self.flights.iter().position(same) else {
            return;
        };
        let Some(flight) = self.flights.remove(at) else {
            return;
        };
        let k = &mut self.kinds[kind];
        for (name, now, before) in flight.told {
            let wanted = if error.is_none() { now } else { before };
            let newer = self.flights.iter().any(|f| {
                let mut told = f.told.iter();
                f.kind == kind && told.any(|(n, ..)| *n == name)
            });
            match (&error, wanted) {
                (None, Some(version)) => {
                    k.acked.insert(name, version);
                }
                (None, None) => {
                    k.acked.remove(&name);
                }
                // It keeps what it held; a newer response on its way tells the rest.
                (Some(_), _) if newer => {}
                (Some(_), Some(version)) => {
                    k.sent.insert(name, version);
                }
                (Some(_), None) => {
                    k.sent.remove(&name);
                }
            }
        }
        k.refusal = error.clone();
        if let Some(why) = error {
            self.refusal.get_or_insert(why);
        }
        if let Some(serial) = flight.serial {
            self.answers.push(match self.refusal.take() {
                Some(why) => Answer::Refused(serial, why),
                None => Answer::Applied(serial),
            });
        }
    }

    // ---- what the controller says ----

    /// Merges a message into what the client is to hold.
    pub fn deliver(&mut self, message: &Message) {
        self.newest = self.newest.max(message.serial);
        let leds = self.flavour == Flavour::DeltaLeds;
        let tries = |ways: &[ClassPolicy]| ways.iter().map(|w| w.retry).collect::<Vec<_>>();
        let before = tries(&self.ways);
        for (class, way) in &message.policies {
            if let Some(there) = self.ways.get_mut(*class) {
                *there = *way;
            }
        }
        if tries(&self.ways) != before {
            let name = names::routes(&self.config.service);
            self.kinds[K_RDS].dirty.insert(name);
        }
        let mut assignments = !message.policies.is_empty();
        match message.scope {
            Scope::Unbound => {
                let collection = names::withdrawn_collection(&self.config.service);
                for line in &message.lines {
                    let name = names::line(&collection, &line.server);
                    match line.state {
                        LineState::Removed => self.withdrawn.remove(&name),
                        _ => self.withdrawn.insert(name.clone(), resources::line(line)),
                    };
                    self.touch_line(name);
                }
            }
            Scope::Snapshot(part) => {
                self.bound = Some(part);
                self.raw.clear();
                self.lines.clear();
                let collection = names::part_collection(&self.config.service, part);
                for line in &message.lines {
                    self.put(&collection, line);
                }
                let stem = collection.strip_suffix('*').unwrap_or_default().to_string();
                // The table now says itself what is withdrawn.
                self.withdrawn.clear();
                let out = names::withdrawn_collection(&self.config.service);
                let out = out.strip_suffix('*').unwrap_or_default().to_string();
                let k = &mut self.kinds[K_LEDS];
                let ours = |n: &&String| n.starts_with(&stem) || n.starts_with(&out);
                let held: Vec<_> = k.sent.keys().filter(ours).cloned().collect();
                k.dirty.extend(held);
                k.dirty.extend(self.lines.keys().cloned());
                k.owed |= k.names.contains(&collection);
                assignments = true;
            }
            Scope::Changes(part) if self.bound == Some(part) => {
                let collection = names::part_collection(&self.config.service, part);
                for line in &message.lines {
                    self.put(&collection, line);
                    self.touch_line(names::line(&collection, &line.server));
                }
                assignments |= !leds;
            }
            Scope::Changes(_) => {}
        }
        if assignments {
            let names = self.there(K_EDS);
            self.kinds[K_EDS].dirty.extend(names);
        }
    }

    fn put(&mut self, collection: &str, line: &Line) {
        let leds = self.flavour == Flavour::DeltaLeds;
        let name = names::line(collection, &line.server);
        if line.state == LineState::Removed {
            self.raw.remove(&line.server);
            self.lines.remove(&name);
        } else {
            self.raw.insert(line.server.clone(), line.clone());
            if leds {
                self.lines.insert(name, resources::line(line));
            }
        }
    }

    fn touch_line(&mut self, name: String) {
        let k = &mut self.kinds[K_LEDS];
        k.always.insert(name.clone());
        k.dirty.insert(name);
    }

    // ---- what goes out ----

    /// All names of a type that there are for this client now.
    fn there(&self, kind: usize) -> Vec<String> {
        let classes = 0..self.config.classes.len();
        match kind {
            K_CDS | K_EDS => classes.map(|c| self.config.cluster_name(c)).collect(),
            K_RDS => vec![names::routes(&self.config.service)],
            _ => {
                let all = self.lines.keys().chain(self.withdrawn.keys());
                all.cloned().collect()
            }
        }
    }

    fn find(&self, kind: usize, name: &str) -> Found {
        let class =
            || (0..self.config.classes.len()).find(|c| self.config.cluster_name(*c) == name);
        let or_absent = |v: Option<Versioned>| v.map_or(Found::Absent, Found::There);
        match kind {
            K_CDS => or_absent(class().map(|c| resources::cluster(&self.config, c))),
            K_RDS if name == names::routes(&self.config.service) => {
                Found::There(resources::routes(&self.config, &self.ways))
            }
            K_RDS => Found::Absent,
            K_EDS => match (class(), self.bound) {
                (None, _) => Found::Absent,
                // Not bound yet: it keeps the table that it holds.
                (Some(_), None) => Found::Withheld,
                (Some(c), Some(part)) if self.flavour == Flavour::DeltaLeds => {
                    let way = self.ways[c];
                    Found::There(resources::by_collection(&self.config, c, part, way))
                }
                (Some(c), Some(_)) => {
                    let lines = self.raw.values();
                    Found::There(resources::inline(&self.config, c, lines, self.ways[c]))
                }
            },
            _ => {
                let found = self.lines.get(name).or_else(|| self.withdrawn.get(name));
                if let Some(found) = found {
                    return Found::There(found.clone());
                }
                let collection = names::parse_line(name).map(|(c, _)| c);
                let service = &self.config.service;
                let bound = self.bound.map(|p| names::part_collection(service, p));
                let given = collection.is_some() && collection == bound
                    || collection == Some(names::withdrawn_collection(service));
                match collection {
                    Some(c) if !given && is_part(&c) => Found::Withheld,
                    // Lifted only with the lines that take its place, never before them.
                    Some(_) if !self.complete() => Found::Withheld,
                    _ => Found::Absent,
                }
            }
        }
    }

    /// Everything that a serial means to this client can be told with what it has asked for.
    fn complete(&self) -> bool {
        match (self.flavour, self.bound) {
            (Flavour::DeltaLeds, Some(part)) => {
                let name = names::part_collection(&self.config.service, part);
                self.kinds[K_LEDS].names.contains(&name)
            }
            _ => self.joined,
        }
    }

    fn busy(&self, kind: usize) -> bool {
        let k = &self.kinds[kind];
        k.asked && (k.owed || k.dirty.iter().any(|n| k.covers(n)))
    }

    /// The type whose response is next, if one may go out.
    fn next_kind(&mut self) -> Option<usize> {
        if self.flights.len() >= UNDER_WAY {
            return None;
        }
        loop {
            if let Some(kind) = (0..KINDS.len()).find(|k| self.busy(*k)) {
                return Some(kind);
            }
            if self.newest <= self.told || !self.complete() {
                return None;
            }
            // All is told, but nothing carries the serial. An empty response does, so that its answer
            // shows that all before it left the channel; a client that was told nothing needs none.
            let marker = match (self.flavour, self.bound) {
                (Flavour::DeltaLeds, _) if self.kinds[K_LEDS].asked => K_LEDS,
                (Flavour::Full | Flavour::DeltaInline, None) => {
                    self.told = self.newest;
                    self.answers.push(Answer::Applied(self.newest));
                    return None;
                }
                _ => K_EDS,
            };
            if !self.kinds[marker].asked {
                return None;
            }
            self.kinds[marker].owed = true;
        }
    }

    /// Takes what is to be told of a type: resources, and names that are no more.
    fn take(&mut self, kind: usize, all: bool) -> (Vec<(String, Versioned)>, Vec<String>, Flight) {
        let dirty = std::mem::take(&mut self.kinds[kind].dirty);
        let names: BTreeSet<String> = match all {
            true => self.there(kind).into_iter().collect(),
            false => dirty,
        };
        let (mut told, mut there, mut gone) = (Vec::new(), Vec::new(), Vec::new());
        for name in names {
            if !self.kinds[kind].covers(&name) {
                self.kinds[kind].always.remove(&name);
                continue;
            }
            let found = self.find(kind, &name);
            let k = &mut self.kinds[kind];
            let always = k.always.remove(&name);
            let before = k.sent.get(&name).cloned();
            match found {
                Found::There(v) => {
                    if all || before.as_ref() != Some(&v.version) {
                        k.sent.insert(name.clone(), v.version.clone());
                        told.push((name.clone(), Some(v.version.clone()), before));
                        there.push((name, v));
                    }
                }
                Found::Absent if before.is_some() || always => {
                    k.sent.remove(&name);
                    told.push((name.clone(), None, before));
                    gone.push(name);
                }
                Found::Absent | Found::Withheld => {}
            }
        }
        self.kinds[kind].owed = false;
        self.nonces += 1;
        let rest = (0..KINDS.len()).any(|k| self.busy(k));
        let serial = (!rest && self.newest > self.told && self.complete()).then_some(self.newest);
        self.told = serial.unwrap_or(self.told);
        let flight = Flight {
            nonce: self.nonces.to_string(),
            kind,
            serial,
            told,
        };
        (there, gone, flight)
    }

    /// The next response of the delta protocol, if one may go out now.
    pub fn next_delta(&mut self) -> Option<DeltaDiscoveryResponse> {
        if let Some((type_url, removed_resources)) = self.odd.pop_front() {
            self.nonces += 1;
            return Some(DeltaDiscoveryResponse {
                type_url,
                removed_resources,
                nonce: self.nonces.to_string(),
                ..DeltaDiscoveryResponse::default()
            });
        }
        loop {
            let kind = self.next_kind()?;
            let owed = self.kinds[kind].owed;
            let (there, removed_resources, flight) = self.take(kind, false);
            if there.is_empty() && removed_resources.is_empty() && !owed && flight.serial.is_none()
            {
                // All that was touched is as the client holds it.
                continue;
            }
            let response = DeltaDiscoveryResponse {
                system_version_info: self.newest.to_string(),
                type_url: KINDS[kind].to_string(),
                resources: there
                    .into_iter()
                    .map(|(name, v)| Resource {
                        name,
                        version: v.version,
                        resource: Some(v.any),
                        ..Resource::default()
                    })
                    .collect(),
                removed_resources,
                nonce: flight.nonce.clone(),
                ..DeltaDiscoveryResponse::default()
            };
            self.flights.push_back(flight);
            return Some(response);
        }
    }

    /// The next response of the state-of-the-world protocol, if one may go out now.
    pub fn next_full(&mut self) -> Option<DiscoveryResponse> {
        loop {
            let kind = self.next_kind()?;
            if kind == K_EDS && self.bound.is_none() {
                // Withheld until it is bound: it keeps the table that it holds.
                let k = &mut self.kinds[kind];
                k.dirty.clear();
                k.owed = false;
                continue;
            }
            let (there, _, flight) = self.take(kind, true);
            let mut sum = Sha256::new();
            there.iter().for_each(|(name, v)| {
                sum.update(name);
                sum.update(&v.version);
            });
            let sum = sum.finalize();
            let version = sum.iter().take(8).map(|b| format!("{b:02x}")).collect();
            self.kinds[kind].nonce.clone_from(&flight.nonce);
            let response = DiscoveryResponse {
                version_info: version,
                type_url: KINDS[kind].to_string(),
                resources: there.into_iter().map(|(_, v)| v.any).collect(),
                nonce: flight.nonce.clone(),
                ..DiscoveryResponse::default()
            };
            self.flights.push_back(flight);
            return Some(response);
        }
    }

    /// What the client holds or was sent, for people.
    pub fn rows(&self) -> Vec<Row> {
        let kinds = self.kinds.iter().zip(KINDS);
        let rows = kinds.flat_map(|(k, type_url)| {
            k.sent.iter().map(move |(name, version)| Row {
                type_url,
                name: name.clone(),
                version: version.clone(),
                acked: k.acked.get(name) == Some(version),
                refusal: k.refusal.clone(),
            })
        });
        rows.collect()
    }

    /// Responses without an answer.
    pub fn under_way(&self) -> usize {
        self.flights.len()
    }
}

fn is_part(collection: &str) -> bool {
    let stem = collection.strip_suffix("/*").unwrap_or(collection);
    let last = stem.rsplit('/').next().unwrap_or_default();
    last.strip_prefix("part-")
        .is_some_and(|n| n.parse::<usize>().is_ok())
}
