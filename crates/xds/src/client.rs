//! Client side of a delta stream with LEDS, without I/O: the resources that a proxy received, and the requests that
//! follow from a response. A response is applied completely (ACK) or not at all (NACK). The resources are kept when
//! the stream breaks, and their versions are sent on the next one.

use crate::LEDS_FEATURE;
use crate::names::{self, CDS, EDS, LEDS, RDS};
use crate::pb::cluster::Cluster;
use crate::pb::core::{Locality, Node};
use crate::pb::discovery::{DeltaDiscoveryRequest, DeltaDiscoveryResponse, Resource};
use crate::pb::endpoint::locality_lb_endpoints::LbConfig;
use crate::pb::endpoint::{ClusterLoadAssignment, LbEndpoint, lb_endpoint::HostIdentifier};
use crate::pb::protobuf::{Struct, Value, value::Kind};
use crate::pb::route::{RouteConfiguration, route};
use crate::pb::rpc::Status;
use crate::resources::{endpoint_weight, format_address, is_healthy};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// A line of a received table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedLine {
    /// Name of the server.
    pub server: String,
    /// Its address as `host:port`.
    pub address: String,
    /// Its weight in units of 1 / [`crate::WEIGHT_SCALE`].
    pub weight: u32,
    /// Whether it may receive visits; false if it is withdrawn.
    pub open: bool,
}

/// A received table with the policies of the classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedTable {
    /// One line for each server.
    pub lines: Vec<ReceivedLine>,
    /// Admitted share of visits by class.
    pub admitted_shares: BTreeMap<String, f64>,
    /// Conditions for a retry by class, as in `RetryPolicy.retry_on`; empty for none.
    pub retry_on: BTreeMap<String, String>,
}

/// The assignment of a class.
#[derive(Clone, Debug)]
struct Assignment {
    /// The collection with its lines.
    collection: Option<String>,
    admitted_share: f64,
}

/// State of the client side of a delta stream; see the documentation of the module.
#[derive(Debug)]
pub struct ClientState {
    node: Node,
    service: String,
    /// Versions of the applied resources, by type and name.
    versions: BTreeMap<&'static str, BTreeMap<String, String>>,
    /// Assignments by name of the cluster.
    assignments: BTreeMap<String, Assignment>,
    /// Conditions for a retry by class.
    retry_on: BTreeMap<String, String>,
    /// Lines by name of the resource.
    lines: BTreeMap<String, ReceivedLine>,
    /// Collections that the current stream is subscribed to.
    subscribed: BTreeSet<String>,
    /// The collection whose lines make up the table in use.
    active_collection: Option<String>,
    /// Servers that are withdrawn in any table. The controller sends them while the proxy is not bound to a part.
    withdrawn: BTreeSet<String>,
    /// Number of responses applied.
    pub acked: u64,
    /// Number of responses rejected.
    pub nacked: u64,
}

impl ClientState {
    /// A client for the proxy `id` in a zone, which usually receives `visits_per_s` visits a second.
    pub fn new(service: &str, id: &str, zone: &str, visits_per_s: f64) -> ClientState {
        let visits_per_s = Value {
            kind: Some(Kind::NumberValue(visits_per_s)),
        };
        ClientState {
            node: Node {
                id: id.into(),
                cluster: service.into(),
                locality: Some(Locality {
                    zone: zone.into(),
                    ..Locality::default()
                }),
                metadata: Some(Struct {
                    fields: [("pace_per_s".to_string(), visits_per_s)].into(),
                }),
                user_agent_name: "dahliapoint".into(),
                client_features: vec![LEDS_FEATURE.into()],
                ..Node::default()
            },
            service: service.into(),
            versions: [CDS, RDS, EDS, LEDS].map(|t| (t, BTreeMap::new())).into(),
            assignments: BTreeMap::new(),
            retry_on: BTreeMap::new(),
            lines: BTreeMap::new(),
            subscribed: BTreeSet::new(),
            active_collection: None,
            withdrawn: BTreeSet::new(),
            acked: 0,
            nacked: 0,
        }
    }

    /// The node that the first request of a stream names.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The first requests of a new stream, with the versions that the client holds.
    pub fn initial_requests(&mut self) -> Vec<DeltaDiscoveryRequest> {
        let held = |t: &'static str| self.versions[t].clone().into_iter().collect();
        let classes: Vec<String> = self.versions[CDS].keys().cloned().collect();
        let mut collections = vec![names::withdrawn_collection(&self.service)];
        let collections_in_use = [self.active_collection.clone(), self.assigned_collection()];
        collections.extend(collections_in_use.into_iter().flatten());
        collections.dedup();
        let request = |t: &'static str, subscribe: Vec<String>| DeltaDiscoveryRequest {
            type_url: t.into(),
            resource_names_subscribe: subscribe,
            initial_resource_versions: held(t),
            ..DeltaDiscoveryRequest::default()
        };
        let mut requests = vec![
            request(CDS, vec![]),
            request(RDS, vec![names::routes(&self.service)]),
        ];
        if !classes.is_empty() {
            requests.push(request(EDS, classes));
        }
        requests.push(request(LEDS, collections.clone()));
        requests[0].node = Some(self.node.clone());
        self.subscribed = collections.into_iter().collect();
        requests
    }

    /// Applies a response, or rejects all of it if a resource is invalid or `server_exists` is false for a server.
    /// Returns the requests to send: ACK or NACK first, then new subscriptions.
    pub fn apply(
        &mut self,
        response: &DeltaDiscoveryResponse,
        server_exists: impl Fn(&str) -> bool,
    ) -> Vec<DeltaDiscoveryRequest> {
        let type_url = [CDS, RDS, EDS, LEDS];
        let type_url = type_url.into_iter().find(|k| *k == response.type_url);
        let mut reply = DeltaDiscoveryRequest {
            type_url: response.type_url.clone(),
            response_nonce: response.nonce.clone(),
            ..DeltaDiscoveryRequest::default()
        };
        let result = match type_url {
            None => Err(format!("type {} was not asked for", response.type_url)),
            Some(type_url) => self
                .validate(type_url, response, server_exists)
                .map(|()| type_url),
        };
        let type_url = match result {
            Ok(type_url) => type_url,
            Err(why) => {
                self.nacked += 1;
                reply.error_detail = Some(Status {
                    code: 3,
                    message: why,
                    ..Status::default()
                });
                return vec![reply];
            }
        };
        self.acked += 1;
        let versions = self.versions.entry(type_url).or_default();
        for r in &response.resources {
            versions.insert(r.name.clone(), r.version.clone());
        }
        for name in &response.removed_resources {
            versions.remove(name);
        }
        let mut requests = vec![reply];
        match type_url {
            CDS => requests.extend(self.apply_clusters(response)),
            RDS => self.apply_routes(response),
            EDS => requests.extend(self.apply_assignments(response)),
            _ => requests.extend(self.apply_lines(response)),
        }
        requests
    }

    /// Checks that all resources can be decoded and that all servers exist.
    fn validate(
        &self,
        type_url: &str,
        response: &DeltaDiscoveryResponse,
        server_exists: impl Fn(&str) -> bool,
    ) -> Result<(), String> {
        for r in &response.resources {
            let bytes = r.resource.as_ref().map(|any| any.value.as_slice());
            let bytes = bytes.ok_or_else(|| format!("{}: no resource", r.name))?;
            let decode_error = |e| format!("{}: {e}", r.name);
            match type_url {
                CDS => drop(Cluster::decode(bytes).map_err(decode_error)?),
                RDS => drop(RouteConfiguration::decode(bytes).map_err(decode_error)?),
                EDS => drop(ClusterLoadAssignment::decode(bytes).map_err(decode_error)?),
                _ => {
                    let line =
                        parse_endpoint(r).ok_or_else(|| format!("{}: not a line", r.name))?;
                    if !server_exists(&line.server) {
                        return Err(format!("no server {:?} is known", line.server));
                    }
                }
            }
        }
        Ok(())
    }

    /// Subscribes to the assignments of new clusters.
    fn apply_clusters(&self, response: &DeltaDiscoveryResponse) -> Option<DeltaDiscoveryRequest> {
        let known = &self.assignments;
        let names = response.resources.iter().map(|r| r.name.clone());
        let names: Vec<_> = names.filter(|n| !known.contains_key(n)).collect();
        (!names.is_empty()).then(|| DeltaDiscoveryRequest {
            type_url: EDS.into(),
            resource_names_subscribe: names,
            ..DeltaDiscoveryRequest::default()
        })
    }

    /// Stores the retry conditions of the classes.
    fn apply_routes(&mut self, response: &DeltaDiscoveryResponse) {
        for r in &response.resources {
            let Some(routes) = decode::<RouteConfiguration>(r) else {
                continue;
            };
            for route in routes.virtual_hosts.into_iter().flat_map(|v| v.routes) {
                let Some(route::Action::Route(action)) = route.action else {
                    continue;
                };
                let on = action.retry_policy.map(|p| p.retry_on);
                self.retry_on.insert(route.name, on.unwrap_or_default());
            }
        }
    }

    /// Stores assignments; subscribes to their collection of lines if it is a new one.
    fn apply_assignments(
        &mut self,
        response: &DeltaDiscoveryResponse,
    ) -> Option<DeltaDiscoveryRequest> {
        for r in &response.resources {
            let Some(assignment) = decode::<ClusterLoadAssignment>(r) else {
                continue;
            };
            let collection = assignment
                .endpoints
                .iter()
                .find_map(|l| match &l.lb_config {
                    Some(LbConfig::LedsClusterLocalityConfig(c)) => {
                        Some(c.leds_collection_name.clone())
                    }
                    _ => None,
                });
            let drops = assignment
                .policy
                .map(|p| p.drop_overloads)
                .unwrap_or_default();
            let dropped = drops.iter().filter_map(|d| d.drop_percentage);
            let dropped: f64 = dropped.map(|p| f64::from(p.numerator) / 1e6).sum();
            let admitted_share = (1.0 - dropped).max(0.0);
            self.assignments.insert(
                r.name.clone(),
                Assignment {
                    collection,
                    admitted_share,
                },
            );
        }
        let assigned = self.assigned_collection()?;
        self.subscribed
            .insert(assigned.clone())
            .then(|| DeltaDiscoveryRequest {
                type_url: LEDS.into(),
                resource_names_subscribe: vec![assigned],
                ..DeltaDiscoveryRequest::default()
            })
    }

    /// The collection of lines that the assignments refer to.
    fn assigned_collection(&self) -> Option<String> {
        let mut named = self.assignments.values();
        named.find_map(|a| a.collection.clone())
    }

    /// Stores lines and withdrawals; unsubscribes from the previous collection once the new one is in use.
    fn apply_lines(&mut self, response: &DeltaDiscoveryResponse) -> Option<DeltaDiscoveryRequest> {
        let withdrawn = names::withdrawn_collection(&self.service);
        let mut new_lines_arrived = false;
        let assigned = self.assigned_collection();
        for r in &response.resources {
            let Some((line, (collection, _))) = parse_endpoint(r).zip(names::parse_line(&r.name))
            else {
                continue;
            };
            new_lines_arrived |= Some(&collection) == assigned.as_ref();
            if collection == withdrawn {
                self.withdrawn.insert(line.server);
            } else {
                self.lines.insert(r.name.clone(), line);
            }
        }
        for name in &response.removed_resources {
            match names::parse_line(name) {
                Some((collection, server)) if collection == withdrawn => {
                    self.withdrawn.remove(&server);
                }
                _ => drop(self.lines.remove(name)),
            }
        }
        // The previous table stays in use until the first lines of the new one arrive.
        if !new_lines_arrived || self.active_collection == assigned {
            return None;
        }
        let previous = std::mem::replace(&mut self.active_collection, assigned)?;
        let prefix = previous.strip_suffix('*').unwrap_or(&previous).to_string();
        self.lines.retain(|name, _| !name.starts_with(&prefix));
        if let Some(versions) = self.versions.get_mut(LEDS) {
            versions.retain(|name, _| !name.starts_with(&prefix));
        }
        self.subscribed.remove(&previous);
        Some(DeltaDiscoveryRequest {
            type_url: LEDS.into(),
            resource_names_unsubscribe: vec![previous],
            ..DeltaDiscoveryRequest::default()
        })
    }

    /// The received table; none before the first one, while the proxy uses a table of its own.
    pub fn table(&self) -> Option<ReceivedTable> {
        let active_collection = self.active_collection.as_ref()?;
        let prefix = active_collection
            .strip_suffix('*')
            .unwrap_or(active_collection);
        let active_lines = self.lines.iter().filter(|(n, _)| n.starts_with(prefix));
        let lines = active_lines.map(|(_, l)| ReceivedLine {
            open: l.open && !self.is_withdrawn(&l.server),
            ..l.clone()
        });
        let class = |name: &String| names::class_of(&self.service, name).unwrap_or_default();
        let admitted_shares = self
            .assignments
            .iter()
            .map(|(n, a)| (class(n), a.admitted_share));
        Some(ReceivedTable {
            lines: lines.collect(),
            admitted_shares: admitted_shares.collect(),
            retry_on: self.retry_on.clone(),
        })
    }

    /// Whether the server is withdrawn in any table.
    pub fn is_withdrawn(&self, server: &str) -> bool {
        self.withdrawn.contains(server)
    }
}

/// Decodes the message of a resource.
fn decode<M: Message + Default>(resource: &Resource) -> Option<M> {
    let any = resource.resource.as_ref()?;
    M::decode(any.value.as_slice()).ok()
}

/// Decodes an endpoint as a line; none if it has no socket address.
fn parse_endpoint(resource: &Resource) -> Option<ReceivedLine> {
    let line: LbEndpoint = decode(resource)?;
    let Some(HostIdentifier::Endpoint(endpoint)) = &line.host_identifier else {
        return None;
    };
    Some(ReceivedLine {
        server: endpoint.hostname.clone(),
        address: format_address(endpoint.address.as_ref())?,
        weight: endpoint_weight(&line),
        open: is_healthy(&line),
    })
}
