//! What the controller orders, as resources of the specification, each with a version that says what is
//! in it: the same content has the same version in every run, so a proxy that returns with what it holds
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
use crate::pb::kinds::{FractionalPercent, fractional_percent::DenominatorType};
use crate::pb::protobuf::{Any, Duration, UInt32Value};
use crate::pb::route::{
    RetryPolicy, Route, RouteAction, RouteConfiguration, RouteMatch, VirtualHost, route,
    route_action, route_match::PathSpecifier,
};
use dahliapoint_control::{self as control, ClassPolicy, ControllerSettings, Line, LineState};
use prost::{Message, Name};
use sha2::{Digest, Sha256};

/// Whole weights on the wire for a weight of 1. Rounding is to the nearest, to no less than 1 while a
/// line is in the table: a weight of 0.01 is off by half a hundredth at most.
pub const WEIGHT_SCALE: f64 = 10_000.0;
/// The heaviest line: forty of them stay below the specification's limit on a locality's sum.
const MAX_SCALED_WEIGHT: f64 = 1e8;

/// What of the service is seen on the wire.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    pub service: String,
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    /// How long proxies wait for a connection.
    pub connect_timeout_ms: f64,
    pub admission_control: bool,
}

impl ServiceConfig {
    pub fn from_settings(settings: &ControllerSettings, connect_timeout_ms: f64) -> ServiceConfig {
        ServiceConfig {
            service: settings.service.clone(),
            classes: settings.classes.iter().map(|c| c.name.clone()).collect(),
            zones: settings.zones.clone(),
            connect_timeout_ms,
            admission_control: settings.admission_control,
        }
    }

    pub fn cluster_name(&self, class: usize) -> String {
        names::cluster(&self.service, &self.classes[class])
    }

    pub fn class_of(&self, cluster: &str) -> Option<usize> {
        let class = names::class_of(&self.service, cluster)?;
        self.classes.iter().position(|c| *c == class)
    }
}

/// A resource with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedResource {
    pub version: String,
    pub any: Any,
}

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

/// A weight as it goes over the wire.
pub fn scaled_weight(weight: f64) -> u32 {
    (weight * WEIGHT_SCALE)
        .round()
        .clamp(1.0, MAX_SCALED_WEIGHT) as u32
}

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

/// An address back as text; none if it is not one of a socket.
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

/// A line as a resource of its own. Its version is its content, for people to read.
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

/// The assignment of a class whose lines are a collection.
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

/// The assignment of a class with its lines in it, for clients without LEDS: a locality a zone.
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

pub fn is_healthy(endpoint: &LbEndpoint) -> bool {
    endpoint.health_status == i32::from(HealthStatus::Healthy)
        || endpoint.health_status == i32::from(HealthStatus::Unknown)
}

/// The weight of an endpoint; 1 where none is said.
pub fn endpoint_weight(endpoint: &LbEndpoint) -> u32 {
    let weight = endpoint.load_balancing_weight.as_ref();
    weight.map_or(1, |w| w.value)
}

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

/// A route a class, by the first segment of the path, with when its visits may be tried again.
pub fn routes(config: &ServiceConfig, policies: &[ClassPolicy]) -> VersionedResource {
    let route = |(class, policy): (usize, &ClassPolicy)| {
        let retry = |on: &str| RetryPolicy {
            retry_on: on.to_string(),
            num_retries: Some(UInt32Value { value: 1 }),
            ..RetryPolicy::default()
        };
        let retry_policy = match policy.retry {
            control::RetryPolicy::Never => None,
            // Proof that the first try never ran.
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
mod tests {
    use super::*;

    #[test]
    fn weights_are_whole_on_the_wire_and_never_nothing() {
        let cases = [
            (1.0, 10_000),
            (0.1, 1_000),
            (0.000_001, 1),
            (0.000_06, 1),
            (2.000_04, 20_000),
            (1e9, 100_000_000),
        ];
        for (weight, wanted) in cases {
            assert_eq!(scaled_weight(weight), wanted, "{weight}");
        }
    }

    #[test]
    fn addresses_survive_the_wire() {
        for text in ["127.0.0.1:80", "[::1]:9000", "host.example:1"] {
            assert_eq!(
                format_address(Some(&parse_address(text))).as_deref(),
                Some(text)
            );
        }
        assert_eq!(format_address(None), None);
    }
}
