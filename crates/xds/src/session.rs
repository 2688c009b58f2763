//! State of one discovery stream, without I/O: the client's subscriptions, the versions it holds, the responses that
//! it has not answered yet, and the next response. Messages of the controller are merged as they arrive, so a client
//! that is slow to answer is sent only the newest state, and needs no more memory than its table.
//!
//! Usage: [`Session::handle_delta_request`] or [`Session::handle_sotw_request`] for each request,
//! [`Session::deliver`] for each message; then [`Session::next_delta_response`] or [`Session::next_sotw_response`]
//! until there is none, and [`Session::take_events`] for the events to report to the controller.

use crate::names::{self, CDS, EDS, LEDS, RDS};
use crate::pb::discovery::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use crate::resources::{self, ServiceConfig, VersionedResource};
use dahliapoint_control::{ClassPolicy, Line, LineState, Message, RetryPolicy, Scope};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Responses that may wait for ACK or NACK at a time; beyond them, changes are merged and wait.
const MAX_PENDING_RESPONSES: usize = 8;
/// Names that one client may subscribe to, for each type.
const MAX_NAMES_PER_TYPE: usize = 4096;

/// Variant of the xDS protocol on a stream. The names of the variants appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolVariant {
    /// Delta; lines are resources of their own (LEDS).
    DeltaLeds,
    /// Delta; lines are within the assignments.
    DeltaInline,
    /// State of the world; lines are within the assignments.
    Full,
}

/// An event to report to the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// The client subscribed to assignments or lines for the first time: the proxy has joined.
    Joined,
    /// The client acknowledged everything up to this serial.
    Acked(u64),
    /// The client rejected something up to this serial, with its error message.
    Nacked(u64, String),
}

/// The types in the order in which their responses are sent: a resource goes before those that depend on it.
const RESOURCE_TYPES: [&str; 4] = [CDS, RDS, EDS, LEDS];
const CDS_INDEX: usize = 0;
const RDS_INDEX: usize = 1;
const EDS_INDEX: usize = 2;
const LEDS_INDEX: usize = 3;

/// A client's subscription to one type, and the versions that it holds.
#[derive(Default)]
struct Subscription {
    /// Whether the client has sent a request of this type.
    requested: bool,
    /// Whether it subscribes to all resources.
    wildcard: bool,
    /// Names and collections (ending in `/*`) that it subscribes to.
    names: BTreeSet<String>,
    /// Versions that the client holds once it has applied all responses sent to it.
    sent_versions: BTreeMap<String, String>,
    /// Versions that it has acknowledged.
    acked_versions: BTreeMap<String, String>,
    /// Names to compare with `sent_versions` for the next response.
    changed: BTreeSet<String>,
    /// Names that are reported as removed if they do not exist, even if the client never held them.
    report_absent: BTreeSet<String>,
    /// Whether a response is due even if it is empty.
    response_due: bool,
    /// Nonce of the last response (state of the world).
    nonce: String,
    /// Error message of the last NACK; none after an ACK.
    nack_message: Option<String>,
}

impl Subscription {
    /// Whether the name is subscribed to, by itself, by its collection or by the wildcard.
    fn covers(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name) || {
            let prefix = name.rfind('/').map(|at| format!("{}/*", &name[..at]));
            prefix.is_some_and(|s| self.names.contains(&s))
        }
    }
}

/// A response that was not answered with ACK or NACK yet.
struct PendingResponse {
    nonce: String,
    type_index: usize,
    /// The serial up to which the client has everything with this response; none if more responses are needed.
    serial: Option<u64>,
    /// The changes that it contains.
    changes: Vec<SentChange>,
}

/// A change of one resource within a response; no version means that the resource does not exist.
struct SentChange {
    name: String,
    version: Option<String>,
    previous_version: Option<String>,
}

/// Result of looking up a resource for this client.
enum Found {
    Present(VersionedResource),
    Absent,
    /// Not to be sent yet: the client keeps what it holds.
    Withheld,
}

/// A resource that the client holds or was sent, for client status.
#[derive(Clone, Debug, PartialEq)]
pub struct SentResource {
    /// Its type URL.
    pub type_url: &'static str,
    /// Its name.
    pub name: String,
    /// The version that was sent last.
    pub version: String,
    /// Whether the client has acknowledged this version.
    pub acked: bool,
    /// Error message of the last NACK of this type.
    pub nack_message: Option<String>,
}

/// State of one discovery stream; see the documentation of the module.
pub struct Session {
    config: Arc<ServiceConfig>,
    variant: ProtocolVariant,
    /// By the index of the type in `RESOURCE_TYPES`.
    subscriptions: [Subscription; 4],
    joined: bool,
    /// The part that the proxy is bound to.
    part: Option<usize>,
    /// Lines of the part.
    lines_by_server: BTreeMap<Arc<str>, Line>,
    /// The same lines as resources by name, with LEDS only.
    line_resources: BTreeMap<String, VersionedResource>,
    /// Withdrawn servers as resources by name, while the proxy is not bound.
    withdrawn_resources: BTreeMap<String, VersionedResource>,
    /// Policies by class.
    policies: Vec<ClassPolicy>,
    /// The newest serial merged.
    latest_serial: u64,
    /// The newest serial that a response carries.
    sent_serial: u64,
    /// Responses without ACK or NACK, oldest first.
    pending: VecDeque<PendingResponse>,
    /// Error message of the first NACK since the last event with a serial.
    nack_message: Option<String>,
    /// Subscriptions to types that are not served: type URL and names.
    unknown_types: VecDeque<(String, Vec<String>)>,
    events: Vec<SessionEvent>,
    last_nonce: u64,
}

impl Session {
    /// A stream without requests yet. All classes are fully admitted until the controller's first message.
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

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<SessionEvent> {
        std::mem::take(&mut self.events)
    }

    // ---- requests of the client ----

    /// Handles a request of the delta protocol.
    ///
    /// # Errors
    /// Returns why the request is invalid; the stream has to end then.
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
            // Legacy wildcard: a first request without names, which the specification keeps for clusters.
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
                // Subscribed to again: the client has lost the resource, so it is sent even if unchanged.
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

    /// Handles a request of the state-of-the-world protocol.
    ///
    /// # Errors
    /// Returns why the request is invalid; the stream has to end then.
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
                // The nonce of an older response is stale: the client has yet to answer the newer one.
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

    /// Handles a subscription to a type that is not served: its names are reported as removed, the stream goes on.
    fn handle_unknown_type(&mut self, type_url: &str, names: &[String]) {
        if !names.is_empty()
            && self.unknown_types.len() < MAX_PENDING_RESPONSES
            && self.variant != ProtocolVariant::Full
        {
            let names = names.iter().filter(|n| *n != "*").cloned().collect();
            self.unknown_types.push_back((type_url.to_string(), names));
        }
    }

    /// Marks what a request needs in the next response: covered resources, and the requested names that may not exist.
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
                // The first response for a collection is due even if the collection is empty.
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

    /// Reports the proxy as joined with its first request for assignments or lines.
    fn join_if_requested(&mut self) {
        let requested =
            self.subscriptions[EDS_INDEX].requested || self.subscriptions[LEDS_INDEX].requested;
        if requested && !self.joined {
            self.joined = true;
            self.events.push(SessionEvent::Joined);
        }
    }

    /// Handles ACK (no error) or NACK of a response; ignored if no such response is pending.
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
                // After a NACK the client keeps what it held. A newer pending response with this resource
                // decides what it holds in the end.
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

    // ---- messages of the controller ----

    /// Merges a message into the state that the client is to hold.
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
                // From now on the lines of the table say which servers are withdrawn.
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

    /// Stores a line of the part, or removes it.
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

    /// Marks a line for the next response, as removed if it no longer exists.
    fn mark_line_changed(&mut self, name: String) {
        let subscription = &mut self.subscriptions[LEDS_INDEX];
        subscription.report_absent.insert(name.clone());
        subscription.changed.insert(name);
    }

    // ---- responses ----

    /// Names of all resources of a type that exist for this client now.
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

    /// Looks up a resource by name.
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
                // Not bound to a part yet: the client keeps the table that it holds.
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
                    // A withdrawal is lifted only together with the lines of the new table, never before them.
                    Some(_) if !self.covers_serial() => Found::Withheld,
                    _ => Found::Absent,
                }
            }
        }
    }

    /// Whether the client's subscriptions cover everything that the controller's messages contain for it.
    fn covers_serial(&self) -> bool {
        match (self.variant, self.part) {
            (ProtocolVariant::DeltaLeds, Some(part)) => {
                let name = names::part_collection(&self.config.service, part);
                self.subscriptions[LEDS_INDEX].names.contains(&name)
            }
            _ => self.joined,
        }
    }

    /// Whether a response of this type is due.
    fn has_changes(&self, type_index: usize) -> bool {
        let subscription = &self.subscriptions[type_index];
        subscription.requested
            && (subscription.response_due
                || subscription.changed.iter().any(|n| subscription.covers(n)))
    }

    /// The type of the next response; none if nothing is due or too many responses are pending.
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
            // Everything is sent, but no response carries the latest serial. An empty response carries it, so that
            // its ACK shows that the client has received everything before it. A client that is not sent any table
            // needs none: the serial counts as acknowledged.
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

    /// Takes the changes of a type for a response: resources, names that are removed, and the record of the response.
    /// With `full_state`, all resources of the type are included, changed or not.
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

    /// The next response of the delta protocol; none if nothing is due or too many responses are pending.
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
                // The client already holds everything that was marked.
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

    /// The next response of the state-of-the-world protocol; none if nothing is due or too many are pending.
    pub fn next_sotw_response(&mut self) -> Option<DiscoveryResponse> {
        loop {
            let type_index = self.next_type()?;
            if type_index == EDS_INDEX && self.part.is_none() {
                // Not bound to a part yet: the client keeps the table that it holds.
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

    /// The resources that the client holds or was sent.
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

    /// Number of responses without ACK or NACK.
    pub fn pending_responses(&self) -> usize {
        self.pending.len()
    }
}

/// Whether the collection is that of a part, by its name.
fn is_part_collection(collection: &str) -> bool {
    let prefix = collection.strip_suffix("/*").unwrap_or(collection);
    let last = prefix.rsplit('/').next().unwrap_or_default();
    last.strip_prefix("part-")
        .is_some_and(|n| n.parse::<usize>().is_ok())
}
