//! The xDS v3 front of the controller. It translates requests and reports of proxies into inputs of
//! `dahliapoint-control`, and the controller's messages into discovery responses; tables are decided there.
//! It also has the client side of a delta stream, for proxies.
//!
//! Served are aggregated discovery (state of the world and delta), endpoint discovery (both), locality endpoint
//! discovery (delta), load reporting and client status. docs/design/controller.md describes the mapping, and what
//! a client without LEDS receives.

mod client;
mod lrs;
pub mod names;
mod resources;
mod service;
mod session;
mod status;

pub use client::{ClientState, ReceivedLine, ReceivedTable};
pub use dahliapoint_control::ControllerHandle;
pub use lrs::{ClusterLoad, EndpointLoad, load_stats_request, parse_load_stats};
pub use resources::{ServiceConfig, WEIGHT_SCALE};
pub use service::{DiscoveryStream, XdsService};
pub use session::{ProtocolVariant, Session, SessionEvent};
pub use status::{ResourceState, StatusRow, parse_client_status};

pub use prost::Message;

/// Messages of the xDS specification, by package.
pub mod pb {
    pub use envoy_types::pb::envoy::admin::v3 as admin;
    pub use envoy_types::pb::envoy::config::cluster::v3 as cluster;
    pub use envoy_types::pb::envoy::config::core::v3 as core;
    pub use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
    pub use envoy_types::pb::envoy::config::route::v3 as route;
    pub use envoy_types::pb::envoy::service::discovery::v3 as discovery;
    pub use envoy_types::pb::envoy::service::load_stats::v3 as load_stats;
    pub use envoy_types::pb::envoy::service::status::v3 as status;
    pub use envoy_types::pb::envoy::r#type::v3 as types;
    pub use envoy_types::pb::google::protobuf;
    pub use envoy_types::pb::google::rpc;
}

/// The feature that a client lists in `Node.client_features` if it takes lines by LEDS.
pub const LEDS_FEATURE: &str = "xds.config.leds";

/// Most responses that one message of the controller results in.
pub const MAX_RESPONSES_PER_MESSAGE: f64 = 3.0;
/// Most responses that a joining proxy receives: clusters, routes, assignments, lines, withdrawals.
pub const MAX_RESPONSES_PER_JOIN: f64 = 6.0;
