//! One discovery stream, free of I/O: what the client asked for, what it holds, what is under way, and
//! the next response. Messages of the controller are merged as they come, so a client that is slow to
//! answer is told the newest state once, and costs no more memory than its table.
//!
//! How it is called: [`Session::handle_delta_request`] or [`Session::handle_sotw_request`] for each request,
//! [`Session::deliver`] for each message, then [`Session::next_delta_response`] or [`Session::next_sotw_response`] until
//! there is none, and [`Session::events`] for what the controller is to be told.

use crate::names::{self, CDS, EDS, LEDS, RDS};
use crate::pb::discovery::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use crate::resources::{self, ServiceConfig, VersionedResource};
use dahliapoint_control::{ClassPolicy, Line, LineState, Message, RetryPolicy, Scope};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Responses without an answer, beyond which the rest is merged and waits.
const MAX_PENDING_RESPONSES: usize = 8;
/// Names that one client may ask for, by type.
const MAX_NAMES_PER_TYPE: usize = 4096;

/// How a stream takes its resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolVariant {
    /// Delta, lines by LEDS.
    DeltaLeds,
    /// Delta, lines within the assignments.
    DeltaInline,
    /// State of the world, lines within the assignments.
    Full,
}

/// What the controller is to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// It asks for lines: it has joined.
    Joined,
    Acked(u64),
    Nacked(u64, String),
}

/// In the order in which responses go out: what a later one refers to goes first.
const RESOURCE_TYPES: [&str; 4] = [CDS, RDS, EDS, LEDS];
const CDS_INDEX: usize = 0;
const RDS_INDEX: usize = 1;
const EDS_INDEX: usize = 2;
const LEDS_INDEX: usize = 3;

/// What a client asked for of one type, and what it holds of it.
#[derive(Default)]
struct Subscription {
    requested: bool,
    wildcard: bool,
    names: BTreeSet<String>,
    /// Versions that it holds once what is under way is applied, and those that it has answered for.
    sent_versions: BTreeMap<String, String>,
    acked_versions: BTreeMap<String, String>,
    changed: BTreeSet<String>,
    /// Removals that are told even if it never held the resource.
    report_absent: BTreeSet<String>,
    /// An answer is owed though nothing may have changed.
    response_due: bool,
    nonce: String,
    nack_message: Option<String>,
}

impl Subscription {
    fn covers(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name) || {
            let prefix = name.rfind('/').map(|at| format!("{}/*", &name[..at]));
            prefix.is_some_and(|s| self.names.contains(&s))
        }
    }
}

/// A response without an answer.
struct PendingResponse {
    nonce: String,
    type_index: usize,
    /// Everything up to this serial is told with it.
    serial: Option<u64>,
    /// What it told: versions now and before; none for a resource that is not there.
    changes: Vec<SentChange>,
}

/// A change of one resource within a response; a version is none where the resource does not exist.
struct SentChange {
    name: String,
    version: Option<String>,
    previous_version: Option<String>,
}

/// Whether a resource is there for this client.
enum Found {
    Present(VersionedResource),
    Absent,
    /// It is not told yet: the client keeps what it holds.
    Withheld,
}

/// A row for people: a resource that the client holds or was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SentResource {
    pub type_url: &'static str,
    pub name: String,
    pub version: String,
    pub acked: bool,
    pub nack_message: Option<String>,
}

pub struct Session {
    config: Arc<ServiceConfig>,
    variant: ProtocolVariant,
    subscriptions: [Subscription; 4],
    joined: bool,
    part: Option<usize>,
    lines_by_server: BTreeMap<Arc<str>, Line>,
    line_resources: BTreeMap<String, VersionedResource>,
    withdrawn_resources: BTreeMap<String, VersionedResource>,
    policies: Vec<ClassPolicy>,
    /// The newest serial merged, and the newest that a response carries.
    latest_serial: u64,
    sent_serial: u64,
    pending: VecDeque<PendingResponse>,
    /// Why something since the last answered serial was refused.
    nack_message: Option<String>,
    unknown_types: VecDeque<(String, Vec<String>)>,
    events: Vec<SessionEvent>,
    last_nonce: u64,
}

impl Session {
    pub fn new(config: Arc<ServiceConfig>, variant: ProtocolVariant) -> Session {
        let policy = ClassPolicy {
            admitted_share: 1.0,
            retry: RetryPolicy::OnProof,
        };
        let policies = vec![policy; config.classes.len()];
        Session {
            config,
            variant,
            subscriptions: Default::default(),
            joined: false,
            part: None,
            lines_by_server: BTreeMap::new(),
            line_resources: BTreeMap::new(),
            withdrawn_resources: BTreeMap::new(),
            policies,
            latest_serial: 0,
            sent_serial: 0,
            pending: VecDeque::new(),
            nack_message: None,
            unknown_types: VecDeque::new(),
            events: Vec::new(),
            last_nonce: 0,
        }
    }

    /// What has come to be told to the controller.
    pub fn take_events(&mut self) -> Vec<SessionEvent> {
        std::mem::take(&mut self.events)
    }

    // ---- what the client says ----

    /// Takes a request of the delta protocol.
    ///
    /// # Errors
    /// A sentence about a request that no client should send.
    pub fn handle_delta_request(&mut self, r: &DeltaDiscoveryRequest) -> Result<(), String> {
        let Some(type_index) = RESOURCE_TYPES.iter().position(|t| *t == r.type_url) else {
            self.handle_unknown_type(&r.type_url, &r.resource_names_subscribe);
            return Ok(());
        };
        if !r.response_nonce.is_empty() {
            let error = r.error_detail.as_ref().map(|e| e.message.clone());
            self.handle_ack(type_index, &r.response_nonce, error);
        }
        let subscription = &mut self.subscriptions[type_index];
        let first = !std::mem::replace(&mut subscription.requested, true);
        if first {
            let held = r.initial_resource_versions.iter();
            subscription.sent_versions = held.map(|(n, v)| (n.clone(), v.clone())).collect();
            subscription.acked_versions = subscription.sent_versions.clone();
            // The older way to ask for everything, which the specification keeps for clusters.
            subscription.wildcard =
                type_index == CDS_INDEX && r.resource_names_subscribe.is_empty();
            subscription.response_due = subscription.wildcard;
        }
        for name in &r.resource_names_unsubscribe {
            if name == "*" {
                subscription.wildcard = false;
            }
            subscription.names.remove(name);
        }
        if subscription.names.len() + r.resource_names_subscribe.len() > MAX_NAMES_PER_TYPE {
            return Err(format!(
                "more than {MAX_NAMES_PER_TYPE} names of {}",
                r.type_url
            ));
        }
        let mut resubscribed = Vec::new();
        for name in &r.resource_names_subscribe {
            if name == "*" {
                subscription.wildcard = true;
                subscription.response_due = true;
            } else if !subscription.names.insert(name.clone()) {
                // Asked for again: it has lost it, and is told even what it should hold.
                resubscribed.push(name.clone());
            }
        }
        if !r.resource_names_unsubscribe.is_empty() {
            let sent_versions = std::mem::take(&mut subscription.sent_versions).into_iter();
            let sent_versions: BTreeMap<_, _> = sent_versions
                .filter(|(n, _)| subscription.covers(n))
                .collect();
            subscription.sent_versions = sent_versions;
            let acked = std::mem::take(&mut subscription.acked_versions).into_iter();
            subscription.acked_versions = acked
                .filter(|(n, _)| subscription.sent_versions.contains_key(n))
                .collect();
        }
        for name in &resubscribed {
            let prefix = name.strip_suffix('*').unwrap_or(name).to_string();
            let glob = name.ends_with('*');
            subscription
                .sent_versions
                .retain(|n, _| !(n == name || glob && n.starts_with(&prefix)));
        }
        if !r.resource_names_subscribe.is_empty() || first {
            self.mark_requested(type_index, &r.resource_names_subscribe);
        }
        self.join_if_requested();
        Ok(())
    }

    /// Takes a request of the state-of-the-world protocol.
    ///
    /// # Errors
    /// A sentence about a request that no client should send.
    pub fn handle_sotw_request(&mut self, r: &DiscoveryRequest) -> Result<(), String> {
        let known = RESOURCE_TYPES.iter().position(|t| *t == r.type_url);
        let Some(type_index) = known.filter(|t| *t != LEDS_INDEX) else {
            self.handle_unknown_type(&r.type_url, &[]);
            return Ok(());
        };
        if r.resource_names.len() > MAX_NAMES_PER_TYPE {
            return Err(format!(
                "more than {MAX_NAMES_PER_TYPE} names of {}",
                r.type_url
            ));
        }
        let subscription = &self.subscriptions[type_index];
        if !r.response_nonce.is_empty() {
            if r.response_nonce != subscription.nonce {
                // Of an older response: a newer request is on its way.
                return Ok(());
            }
            let error = r.error_detail.as_ref().map(|e| e.message.clone());
            self.handle_ack(type_index, &r.response_nonce, error);
        }
        let subscription = &mut self.subscriptions[type_index];
        let first = !std::mem::replace(&mut subscription.requested, true);
        let names: BTreeSet<String> = r.resource_names.iter().cloned().collect();
        let wildcard = type_index == CDS_INDEX && (names.is_empty() || names.contains("*"));
        if first || names != subscription.names || wildcard != subscription.wildcard {
            subscription
                .sent_versions
                .retain(|n, _| names.contains(n) || wildcard);
            (subscription.names, subscription.wildcard) = (names, wildcard);
            let names: Vec<String> = r.resource_names.clone();
            self.mark_requested(type_index, &names);
            self.subscriptions[type_index].response_due = true;
        }
        self.join_if_requested();
        Ok(())
    }

    /// A type that nobody here serves: its names do not exist, which is an answer, not a fault.
    fn handle_unknown_type(&mut self, type_url: &str, names: &[String]) {
        if !names.is_empty()
            && self.unknown_types.len() < MAX_PENDING_RESPONSES
            && self.variant != ProtocolVariant::Full
        {
            let names = names.iter().filter(|n| *n != "*").cloned().collect();
            self.unknown_types.push_back((type_url.to_string(), names));
        }
    }

    fn mark_requested(&mut self, type_index: usize, names: &[String]) {
        let existing = self.existing_names(type_index);
        let assigned = self
            .part
            .map(|p| names::part_collection(&self.config.service, p));
        let withdrawn = names::withdrawn_collection(&self.config.service);
        let subscription = &mut self.subscriptions[type_index];
        let existing: Vec<_> = existing
            .into_iter()
            .filter(|n| subscription.covers(n))
            .collect();
        subscription.changed.extend(existing);
        let held: Vec<_> = subscription
            .sent_versions
            .keys()
            .filter(|n| subscription.covers(n))
            .cloned()
            .collect();
        subscription.changed.extend(held);
        for name in names {
            match name.ends_with("/*") {
                // A collection: its first answer is owed even if it is empty.
                true if type_index == LEDS_INDEX => {
                    let served = Some(name) == assigned.as_ref() || *name == withdrawn;
                    subscription.response_due |= served;
                    subscription
                        .report_absent
                        .extend((!served && !is_part_collection(name)).then(|| name.clone()));
                }
                _ => {
                    subscription.changed.insert(name.clone());
                    subscription.report_absent.insert(name.clone());
                }
            }
        }
        subscription.changed.remove("*");
        subscription.report_absent.remove("*");
        let report_absent = subscription.report_absent.clone();
        subscription.changed.extend(report_absent);
    }

    fn join_if_requested(&mut self) {
        let requested =
            self.subscriptions[EDS_INDEX].requested || self.subscriptions[LEDS_INDEX].requested;
        if requested && !self.joined {
            self.joined = true;
            self.events.push(SessionEvent::Joined);
        }
    }

    /// An answer to a response. One to a response that is not under way says nothing new.
    fn handle_ack(&mut self, type_index: usize, nonce: &str, error: Option<String>) {
        let same = |f: &PendingResponse| f.nonce == nonce && f.type_index == type_index;
        let Some(at) = self.pending.iter().position(same) else {
            return;
        };
        let Some(response) = self.pending.remove(at) else {
            return;
        };
        let subscription = &mut self.subscriptions[type_index];
        for change in response.changes {
            let name = change.name;
            let held_version = if error.is_none() {
                change.version
            } else {
                change.previous_version
            };
            let newer = self.pending.iter().any(|f| {
                let mut changes = f.changes.iter();
                f.type_index == type_index && changes.any(|c| c.name == name)
            });
            match (&error, held_version) {
                (None, Some(version)) => {
                    subscription.acked_versions.insert(name, version);
                }
                (None, None) => {
                    subscription.acked_versions.remove(&name);
                }
                // It keeps what it held; a newer response on its way tells the rest.
                (Some(_), _) if newer => {}
                (Some(_), Some(version)) => {
                    subscription.sent_versions.insert(name, version);
                }
                (Some(_), None) => {
                    subscription.sent_versions.remove(&name);
                }
            }
        }
        subscription.nack_message = error.clone();
        if let Some(why) = error {
            self.nack_message.get_or_insert(why);
        }
        if let Some(serial) = response.serial {
            self.events.push(match self.nack_message.take() {
                Some(why) => SessionEvent::Nacked(serial, why),
                None => SessionEvent::Acked(serial),
            });
        }
    }

    // ---- what the controller says ----

    /// Merges a message into what the client is to hold.
    pub fn deliver(&mut self, message: &Message) {
        self.latest_serial = self.latest_serial.max(message.serial);
        let leds = self.variant == ProtocolVariant::DeltaLeds;
        let retries =
            |policies: &[ClassPolicy]| policies.iter().map(|p| p.retry).collect::<Vec<_>>();
        let before = retries(&self.policies);
        for (class, policy) in &message.policies {
            if let Some(current) = self.policies.get_mut(*class) {
                *current = *policy;
            }
        }
        if retries(&self.policies) != before {
            let name = names::routes(&self.config.service);
            self.subscriptions[RDS_INDEX].changed.insert(name);
        }
        let mut assignments = !message.policies.is_empty();
        match message.scope {
            Scope::Unbound => {
                let collection = names::withdrawn_collection(&self.config.service);
                for line in &message.lines {
                    let name = names::line(&collection, &line.server);
                    match line.state {
                        LineState::Removed => self.withdrawn_resources.remove(&name),
                        _ => self
                            .withdrawn_resources
                            .insert(name.clone(), resources::line_resource(line)),
                    };
                    self.mark_line_changed(name);
                }
            }
            Scope::Snapshot(part) => {
                self.part = Some(part);
                self.lines_by_server.clear();
                self.line_resources.clear();
                let collection = names::part_collection(&self.config.service, part);
                for line in &message.lines {
                    self.put_line(&collection, line);
                }
                let prefix = collection.strip_suffix('*').unwrap_or_default().to_string();
                // The table now says itself what is withdrawn.
                self.withdrawn_resources.clear();
                let withdrawn = names::withdrawn_collection(&self.config.service);
                let withdrawn_prefix = withdrawn.strip_suffix('*').unwrap_or_default().to_string();
                let subscription = &mut self.subscriptions[LEDS_INDEX];
                let affected =
                    |n: &&String| n.starts_with(&prefix) || n.starts_with(&withdrawn_prefix);
                let held: Vec<_> = subscription
                    .sent_versions
                    .keys()
                    .filter(affected)
                    .cloned()
                    .collect();
                subscription.changed.extend(held);
                subscription
                    .changed
                    .extend(self.line_resources.keys().cloned());
                subscription.response_due |= subscription.names.contains(&collection);
                assignments = true;
            }
            Scope::Changes(part) if self.part == Some(part) => {
                let collection = names::part_collection(&self.config.service, part);
                for line in &message.lines {
                    self.put_line(&collection, line);
                    self.mark_line_changed(names::line(&collection, &line.server));
                }
                assignments |= !leds;
            }
            Scope::Changes(_) => {}
        }
        if assignments {
            let names = self.existing_names(EDS_INDEX);
            self.subscriptions[EDS_INDEX].changed.extend(names);
        }
    }

    fn put_line(&mut self, collection: &str, line: &Line) {
        let leds = self.variant == ProtocolVariant::DeltaLeds;
        let name = names::line(collection, &line.server);
        if line.state == LineState::Removed {
            self.lines_by_server.remove(&line.server);
            self.line_resources.remove(&name);
        } else {
            self.lines_by_server
                .insert(line.server.clone(), line.clone());
            if leds {
                self.line_resources
                    .insert(name, resources::line_resource(line));
            }
        }
    }

    fn mark_line_changed(&mut self, name: String) {
        let subscription = &mut self.subscriptions[LEDS_INDEX];
        subscription.report_absent.insert(name.clone());
        subscription.changed.insert(name);
    }

    // ---- what goes out ----

    /// All names of a type that there are for this client now.
    fn existing_names(&self, type_index: usize) -> Vec<String> {
        let classes = 0..self.config.classes.len();
        match type_index {
            CDS_INDEX | EDS_INDEX => classes.map(|c| self.config.cluster_name(c)).collect(),
            RDS_INDEX => vec![names::routes(&self.config.service)],
            _ => {
                let all = self
                    .line_resources
                    .keys()
                    .chain(self.withdrawn_resources.keys());
                all.cloned().collect()
            }
        }
    }

    fn find_resource(&self, type_index: usize, name: &str) -> Found {
        let class =
            || (0..self.config.classes.len()).find(|c| self.config.cluster_name(*c) == name);
        let or_absent = |v: Option<VersionedResource>| v.map_or(Found::Absent, Found::Present);
        match type_index {
            CDS_INDEX => or_absent(class().map(|c| resources::cluster(&self.config, c))),
            RDS_INDEX if name == names::routes(&self.config.service) => {
                Found::Present(resources::routes(&self.config, &self.policies))
            }
            RDS_INDEX => Found::Absent,
            EDS_INDEX => match (class(), self.part) {
                (None, _) => Found::Absent,
                // Not bound yet: it keeps the table that it holds.
                (Some(_), None) => Found::Withheld,
                (Some(c), Some(part)) if self.variant == ProtocolVariant::DeltaLeds => {
                    let policy = self.policies[c];
                    Found::Present(resources::collection_assignment(
                        &self.config,
                        c,
                        part,
                        policy,
                    ))
                }
                (Some(c), Some(_)) => {
                    let lines = self.lines_by_server.values();
                    Found::Present(resources::inline_assignment(
                        &self.config,
                        c,
                        lines,
                        self.policies[c],
                    ))
                }
            },
            _ => {
                let found = self
                    .line_resources
                    .get(name)
                    .or_else(|| self.withdrawn_resources.get(name));
                if let Some(found) = found {
                    return Found::Present(found.clone());
                }
                let collection = names::parse_line(name).map(|(c, _)| c);
                let service = &self.config.service;
                let assigned = self.part.map(|p| names::part_collection(service, p));
                let served = collection.is_some() && collection == assigned
                    || collection == Some(names::withdrawn_collection(service));
                match collection {
                    Some(c) if !served && is_part_collection(&c) => Found::Withheld,
                    // Lifted only with the lines that take its place, never before them.
                    Some(_) if !self.covers_serial() => Found::Withheld,
                    _ => Found::Absent,
                }
            }
        }
    }

    /// Everything that a serial means to this client can be told with what it has asked for.
    fn covers_serial(&self) -> bool {
        match (self.variant, self.part) {
            (ProtocolVariant::DeltaLeds, Some(part)) => {
                let name = names::part_collection(&self.config.service, part);
                self.subscriptions[LEDS_INDEX].names.contains(&name)
            }
            _ => self.joined,
        }
    }

    fn has_changes(&self, type_index: usize) -> bool {
        let subscription = &self.subscriptions[type_index];
        subscription.requested
            && (subscription.response_due
                || subscription.changed.iter().any(|n| subscription.covers(n)))
    }

    /// The type whose response is next, if one may go out.
    fn next_type(&mut self) -> Option<usize> {
        if self.pending.len() >= MAX_PENDING_RESPONSES {
            return None;
        }
        loop {
            if let Some(type_index) = (0..RESOURCE_TYPES.len()).find(|t| self.has_changes(*t)) {
                return Some(type_index);
            }
            if self.latest_serial <= self.sent_serial || !self.covers_serial() {
                return None;
            }
            // All is told, but nothing carries the serial. An empty response does, so that its answer
            // shows that all before it left the channel; a client that was told nothing needs none.
            let carrier = match (self.variant, self.part) {
                (ProtocolVariant::DeltaLeds, _) if self.subscriptions[LEDS_INDEX].requested => {
                    LEDS_INDEX
                }
                (ProtocolVariant::Full | ProtocolVariant::DeltaInline, None) => {
                    self.sent_serial = self.latest_serial;
                    self.events.push(SessionEvent::Acked(self.latest_serial));
                    return None;
                }
                _ => EDS_INDEX,
            };
            if !self.subscriptions[carrier].requested {
                return None;
            }
            self.subscriptions[carrier].response_due = true;
        }
    }

    /// Takes what is to be told of a type: resources, and names that are no more.
    fn take_changes(
        &mut self,
        type_index: usize,
        full_state: bool,
    ) -> (
        Vec<(String, VersionedResource)>,
        Vec<String>,
        PendingResponse,
    ) {
        let changed = std::mem::take(&mut self.subscriptions[type_index].changed);
        let names: BTreeSet<String> = match full_state {
            true => self.existing_names(type_index).into_iter().collect(),
            false => changed,
        };
        let (mut changes, mut resources, mut removed) = (Vec::new(), Vec::new(), Vec::new());
        for name in names {
            if !self.subscriptions[type_index].covers(&name) {
                self.subscriptions[type_index].report_absent.remove(&name);
                continue;
            }
            let found = self.find_resource(type_index, &name);
            let subscription = &mut self.subscriptions[type_index];
            let report_absent = subscription.report_absent.remove(&name);
            let before = subscription.sent_versions.get(&name).cloned();
            match found {
                Found::Present(v) => {
                    if full_state || before.as_ref() != Some(&v.version) {
                        subscription
                            .sent_versions
                            .insert(name.clone(), v.version.clone());
                        changes.push(SentChange {
                            name: name.clone(),
                            version: Some(v.version.clone()),
                            previous_version: before,
                        });
                        resources.push((name, v));
                    }
                }
                Found::Absent if before.is_some() || report_absent => {
                    subscription.sent_versions.remove(&name);
                    changes.push(SentChange {
                        name: name.clone(),
                        version: None,
                        previous_version: before,
                    });
                    removed.push(name);
                }
                Found::Absent | Found::Withheld => {}
            }
        }
        self.subscriptions[type_index].response_due = false;
        self.last_nonce += 1;
        let more = (0..RESOURCE_TYPES.len()).any(|t| self.has_changes(t));
        let serial = (!more && self.latest_serial > self.sent_serial && self.covers_serial())
            .then_some(self.latest_serial);
        self.sent_serial = serial.unwrap_or(self.sent_serial);
        let response = PendingResponse {
            nonce: self.last_nonce.to_string(),
            type_index,
            serial,
            changes,
        };
        (resources, removed, response)
    }

    /// The next response of the delta protocol, if one may go out now.
    pub fn next_delta_response(&mut self) -> Option<DeltaDiscoveryResponse> {
        if let Some((type_url, removed_resources)) = self.unknown_types.pop_front() {
            self.last_nonce += 1;
            return Some(DeltaDiscoveryResponse {
                type_url,
                removed_resources,
                nonce: self.last_nonce.to_string(),
                ..DeltaDiscoveryResponse::default()
            });
        }
        loop {
            let type_index = self.next_type()?;
            let response_due = self.subscriptions[type_index].response_due;
            let (resources, removed_resources, pending) = self.take_changes(type_index, false);
            if resources.is_empty()
                && removed_resources.is_empty()
                && !response_due
                && pending.serial.is_none()
            {
                // All that was touched is as the client holds it.
                continue;
            }
            let response = DeltaDiscoveryResponse {
                system_version_info: self.latest_serial.to_string(),
                type_url: RESOURCE_TYPES[type_index].to_string(),
                resources: resources
                    .into_iter()
                    .map(|(name, v)| Resource {
                        name,
                        version: v.version,
                        resource: Some(v.any),
                        ..Resource::default()
                    })
                    .collect(),
                removed_resources,
                nonce: pending.nonce.clone(),
                ..DeltaDiscoveryResponse::default()
            };
            self.pending.push_back(pending);
            return Some(response);
        }
    }

    /// The next response of the state-of-the-world protocol, if one may go out now.
    pub fn next_sotw_response(&mut self) -> Option<DiscoveryResponse> {
        loop {
            let type_index = self.next_type()?;
            if type_index == EDS_INDEX && self.part.is_none() {
                // Withheld until it is bound: it keeps the table that it holds.
                let subscription = &mut self.subscriptions[type_index];
                subscription.changed.clear();
                subscription.response_due = false;
                continue;
            }
            let (resources, _, pending) = self.take_changes(type_index, true);
            let mut hasher = Sha256::new();
            resources.iter().for_each(|(name, v)| {
                hasher.update(name);
                hasher.update(&v.version);
            });
            let digest = hasher.finalize();
            let version = digest.iter().take(8).map(|b| format!("{b:02x}")).collect();
            self.subscriptions[type_index]
                .nonce
                .clone_from(&pending.nonce);
            let response = DiscoveryResponse {
                version_info: version,
                type_url: RESOURCE_TYPES[type_index].to_string(),
                resources: resources.into_iter().map(|(_, v)| v.any).collect(),
                nonce: pending.nonce.clone(),
                ..DiscoveryResponse::default()
            };
            self.pending.push_back(pending);
            return Some(response);
        }
    }

    /// What the client holds or was sent, for people.
    pub fn sent_resources(&self) -> Vec<SentResource> {
        let subscriptions = self.subscriptions.iter().zip(RESOURCE_TYPES);
        let resources = subscriptions.flat_map(|(subscription, type_url)| {
            subscription
                .sent_versions
                .iter()
                .map(move |(name, version)| SentResource {
                    type_url,
                    name: name.clone(),
                    version: version.clone(),
                    acked: subscription.acked_versions.get(name) == Some(version),
                    nack_message: subscription.nack_message.clone(),
                })
        });
        resources.collect()
    }

    /// Responses without an answer.
    pub fn pending_responses(&self) -> usize {
        self.pending.len()
    }
}

fn is_part_collection(collection: &str) -> bool {
    let prefix = collection.strip_suffix("/*").unwrap_or(collection);
    let last = prefix.rsplit('/').next().unwrap_or_default();
    last.strip_prefix("part-")
        .is_some_and(|n| n.parse::<usize>().is_ok())
}
