//! Resources of the specification, built from the controller's tables and policies. Versions are derived from the
//! content: equal content has the same version in every run, so a proxy that reconnects with the versions it holds
//! is sent only what differs.

use crate::names;
use crate::pb::cluster::Cluster;
use crate::pb::cluster::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig, LbPolicy,
};
use crate::pb::core::{
    Address, AggregatedConfigSource, ApiVersion, ConfigSource, HealthStatus, Locality,
    SelfConfigSource, SocketAddress, address, config_source::ConfigSourceSpecifier, socket_address,
};
use crate::pb::endpoint::cluster_load_assignment::{Policy, policy::DropOverload};
use crate::pb::endpoint::locality_lb_endpoints::LbConfig;
use crate::pb::endpoint::{
    ClusterLoadAssignment, Endpoint, LbEndpoint, LedsClusterLocalityConfig, LocalityLbEndpoints,
    lb_endpoint::HostIdentifier,
};
use crate::pb::protobuf::{Any, Duration, UInt32Value};
use crate::pb::route::{
    RetryPolicy, Route, RouteAction, RouteConfiguration, RouteMatch, VirtualHost, route,
    route_action, route_match::PathSpecifier,
};
use crate::pb::types::{FractionalPercent, fractional_percent::DenominatorType};
use dahliapoint_control::{self as control, ClassPolicy, ControllerSettings, Line, LineState};
use prost::{Message, Name};
use sha2::{Digest, Sha256};

/// Integer weight on the wire for a weight of 1. Weights are rounded to the nearest integer, and a line of a table
/// has at least 1: a weight of 0.01 is off by half a hundredth of itself at most.
pub const WEIGHT_SCALE: f64 = 10_000.0;
/// Largest weight of a line on the wire; 40 of them stay below the specification's limit for the sum of a locality.
const MAX_SCALED_WEIGHT: f64 = 1e8;

/// Settings of the service that determine its resources.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Name of the service.
    pub service: String,
    /// Names of the classes; the controller refers to them by index.
    pub classes: Vec<String>,
    /// Names of the zones; the controller refers to them by index.
    pub zones: Vec<String>,
    /// Time limit of proxies for connecting to a server.
    pub connect_timeout_ms: f64,
    /// Whether the controller limits the admitted share of classes.
    pub admission_control: bool,
}

impl ServiceConfig {
    /// Takes the settings from those of the controller.
    pub fn from_settings(settings: &ControllerSettings, connect_timeout_ms: f64) -> ServiceConfig {
        ServiceConfig {
            service: settings.service.clone(),
            classes: settings.classes.iter().map(|c| c.name.clone()).collect(),
            zones: settings.zones.clone(),
            connect_timeout_ms,
            admission_control: settings.admission_control,
        }
    }

    /// Name of the cluster of a class.
    pub fn cluster_name(&self, class: usize) -> String {
        names::cluster(&self.service, &self.classes[class])
    }

    /// Index of the class whose cluster has this name.
    pub fn class_of(&self, cluster: &str) -> Option<usize> {
        let class = names::class_of(&self.service, cluster)?;
        self.classes.iter().position(|c| *c == class)
    }
}

/// An encoded resource with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedResource {
    /// The version that clients acknowledge.
    pub version: String,
    /// The encoded message with its type URL.
    pub any: Any,
}

/// Encodes a message; without a version given, a digest of the encoding is the version.
fn pack<M: Message + Name>(message: &M, version: Option<String>) -> VersionedResource {
    let value = message.encode_to_vec();
    let digest = || {
        let sum = Sha256::digest(&value);
        sum.iter().take(8).map(|b| format!("{b:02x}")).collect()
    };
    VersionedResource {
        version: version.unwrap_or_else(digest),
        any: Any {
            type_url: M::type_url(),
            value,
        },
    }
}

/// A weight as an integer for the wire; see [`WEIGHT_SCALE`].
pub fn scaled_weight(weight: f64) -> u32 {
    (weight * WEIGHT_SCALE)
        .round()
        .clamp(1.0, MAX_SCALED_WEIGHT) as u32
}

/// Builds a socket address from `host:port`, with an IPv6 host in brackets. A missing or invalid port becomes 0.
pub fn parse_address(text: &str) -> Address {
    let (host, port) = text.rsplit_once(':').unwrap_or((text, "0"));
    let host = host.trim_start_matches('[').trim_end_matches(']');
    Address {
        address: Some(address::Address::SocketAddress(SocketAddress {
            address: host.to_string(),
            port_specifier: Some(socket_address::PortSpecifier::PortValue(
                port.parse().unwrap_or(0),
            )),
            ..SocketAddress::default()
        })),
    }
}

/// Formats an address as `host:port`; none if it is not a socket address with a port number.
pub fn format_address(address: Option<&Address>) -> Option<String> {
    let Some(address::Address::SocketAddress(socket)) = &address?.address else {
        return None;
    };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else {
        return None;
    };
    Some(match socket.address.contains(':') {
        true => format!("[{}]:{port}", socket.address),
        false => format!("{}:{port}", socket.address),
    })
}

/// A line as an endpoint. The server's name is the hostname; withdrawn lines are draining.
fn endpoint(line: &Line) -> LbEndpoint {
    let health = match line.state {
        LineState::Open => HealthStatus::Healthy,
        LineState::Withdrawn | LineState::Removed => HealthStatus::Draining,
    };
    LbEndpoint {
        health_status: health.into(),
        load_balancing_weight: Some(UInt32Value {
            value: scaled_weight(line.weight),
        }),
        host_identifier: Some(HostIdentifier::Endpoint(Endpoint {
            address: Some(parse_address(&line.address)),
            hostname: line.server.to_string(),
            ..Endpoint::default()
        })),
        ..LbEndpoint::default()
    }
}

/// A line as a resource of its own (LEDS). The version is its content in readable form.
pub fn line_resource(line: &Line) -> VersionedResource {
    let state = match line.state {
        LineState::Open => 'o',
        LineState::Withdrawn | LineState::Removed => 'd',
    };
    let version = format!("{}{state}@{}", scaled_weight(line.weight), line.address);
    pack(&endpoint(line), Some(version))
}

fn locality(name: &str) -> Locality {
    Locality {
        zone: name.to_string(),
        ..Locality::default()
    }
}

fn config_source(specifier: ConfigSourceSpecifier) -> ConfigSource {
    ConfigSource {
        resource_api_version: ApiVersion::V3.into(),
        config_source_specifier: Some(specifier),
        ..ConfigSource::default()
    }
}

fn duration(ms: f64) -> Duration {
    let ms = ms.max(0.0) as i64;
    Duration {
        seconds: ms / 1000,
        nanos: (ms % 1000) as i32 * 1_000_000,
    }
}

/// The policy of an assignment: drops the share of visits that the class does not admit.
fn assignment_policy(config: &ServiceConfig, class: usize, policy: ClassPolicy) -> Policy {
    let refused = (1.0 - policy.admitted_share.clamp(0.0, 1.0)) * 1e6;
    let drop = DropOverload {
        category: config.classes[class].clone(),
        drop_percentage: Some(FractionalPercent {
            numerator: refused.round() as u32,
            denominator: DenominatorType::Million.into(),
        }),
    };
    Policy {
        drop_overloads: if policy.admitted_share < 1.0 {
            vec![drop]
        } else {
            vec![]
        },
        ..Policy::default()
    }
}

/// The assignment of a class that refers to the collection of a part's lines (LEDS).
pub fn collection_assignment(
    config: &ServiceConfig,
    class: usize,
    part: usize,
    policy: ClassPolicy,
) -> VersionedResource {
    let policy = assignment_policy(config, class, policy);
    let refused = policy
        .drop_overloads
        .first()
        .and_then(|d| d.drop_percentage);
    let refused = refused.map_or(0, |p| p.numerator);
    let message = ClusterLoadAssignment {
        cluster_name: config.cluster_name(class),
        endpoints: vec![LocalityLbEndpoints {
            lb_config: Some(LbConfig::LedsClusterLocalityConfig(
                LedsClusterLocalityConfig {
                    leds_config: Some(config_source(ConfigSourceSpecifier::Ads(
                        AggregatedConfigSource::default(),
                    ))),
                    leds_collection_name: names::part_collection(&config.service, part),
                },
            )),
            ..LocalityLbEndpoints::default()
        }],
        policy: Some(policy),
        ..ClusterLoadAssignment::default()
    };
    pack(&message, Some(format!("part-{part} refused-{refused}")))
}

/// The assignment of a class with all lines in it, for clients without LEDS. Each zone is a locality.
pub fn inline_assignment<'a>(
    config: &ServiceConfig,
    class: usize,
    lines: impl Iterator<Item = &'a Line> + Clone,
    policy: ClassPolicy,
) -> VersionedResource {
    let zone_endpoints = |(index, name): (usize, &String)| {
        let zone_lines = lines.clone().filter(|l| l.zone == index);
        let lb_endpoints: Vec<_> = zone_lines.map(endpoint).collect();
        let weight = lb_endpoints
            .iter()
            .filter(|e| is_healthy(e))
            .map(endpoint_weight);
        let weight: u64 = weight.map(u64::from).sum();
        (!lb_endpoints.is_empty()).then(|| LocalityLbEndpoints {
            locality: Some(locality(name)),
            lb_endpoints,
            load_balancing_weight: Some(UInt32Value {
                value: u32::try_from(weight.max(1)).unwrap_or(u32::MAX),
            }),
            ..LocalityLbEndpoints::default()
        })
    };
    let message = ClusterLoadAssignment {
        cluster_name: config.cluster_name(class),
        endpoints: config
            .zones
            .iter()
            .enumerate()
            .filter_map(zone_endpoints)
            .collect(),
        policy: Some(assignment_policy(config, class, policy)),
        ..ClusterLoadAssignment::default()
    };
    pack(&message, None)
}

/// Whether clients may send visits to the endpoint; an unknown health status counts as healthy.
pub fn is_healthy(endpoint: &LbEndpoint) -> bool {
    endpoint.health_status == i32::from(HealthStatus::Healthy)
        || endpoint.health_status == i32::from(HealthStatus::Unknown)
}

/// The weight of an endpoint; 1 if it has none.
pub fn endpoint_weight(endpoint: &LbEndpoint) -> u32 {
    let weight = endpoint.load_balancing_weight.as_ref();
    weight.map_or(1, |w| w.value)
}

/// The cluster of a class.
pub fn cluster(config: &ServiceConfig, class: usize) -> VersionedResource {
    let name = config.cluster_name(class);
    let message = Cluster {
        name: name.clone(),
        eds_cluster_config: Some(EdsClusterConfig {
            eds_config: Some(config_source(ConfigSourceSpecifier::Ads(
                AggregatedConfigSource::default(),
            ))),
            service_name: name,
        }),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds.into())),
        lb_policy: LbPolicy::RoundRobin.into(),
        connect_timeout: Some(duration(config.connect_timeout_ms)),
        lrs_server: Some(config_source(ConfigSourceSpecifier::Self_(
            SelfConfigSource::default(),
        ))),
        ..Cluster::default()
    };
    pack(&message, None)
}

/// The routes of the service: one for each class, matched by the first segment of the path, with its retry policy.
pub fn routes(config: &ServiceConfig, policies: &[ClassPolicy]) -> VersionedResource {
    let route = |(class, policy): (usize, &ClassPolicy)| {
        let retry = |on: &str| RetryPolicy {
            retry_on: on.to_string(),
            num_retries: Some(UInt32Value { value: 1 }),
            ..RetryPolicy::default()
        };
        let retry_policy = match policy.retry {
            control::RetryPolicy::Never => None,
            // Only failures that prove that the server did not run the first try.
            control::RetryPolicy::OnProof => Some(retry("connect-failure,refused-stream")),
            control::RetryPolicy::OnFailure => Some(retry(
                "connect-failure,refused-stream,reset,gateway-error,5xx",
            )),
        };
        Route {
            name: config.classes[class].clone(),
            r#match: Some(RouteMatch {
                path_specifier: Some(PathSpecifier::Prefix(format!(
                    "/{}",
                    names::escape(&config.classes[class])
                ))),
                ..RouteMatch::default()
            }),
            action: Some(route::Action::Route(RouteAction {
                cluster_specifier: Some(route_action::ClusterSpecifier::Cluster(
                    config.cluster_name(class),
                )),
                retry_policy,
                ..RouteAction::default()
            })),
            ..Route::default()
        }
    };
    let message = RouteConfiguration {
        name: names::routes(&config.service),
        virtual_hosts: vec![VirtualHost {
            name: names::routes(&config.service),
            domains: vec!["*".into()],
            routes: policies.iter().enumerate().map(route).collect(),
            ..VirtualHost::default()
        }],
        ..RouteConfiguration::default()
    };
    pack(&message, None)
}

#[cfg(test)]
mod tests;
