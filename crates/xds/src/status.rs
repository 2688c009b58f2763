//! Client status (CSDS): the resources that each proxy was sent and has acknowledged, and the state of the controller
//! as a resource of a separate node. The server builds the response, `dahliapoint status` parses it.

use crate::pb::admin::{ClientResourceStatus, UpdateFailureState};
use crate::pb::core::Node;
use crate::pb::protobuf::{Any, ListValue, Struct, Value, value::Kind};
use crate::pb::status::client_config::GenericXdsConfig;
use crate::pb::status::{ClientConfig, ClientStatusRequest, ClientStatusResponse, ConfigStatus};
use crate::service::XdsService;
use dahliapoint_grpc::{Call, Code, Status};
use prost::Message;
use serde::Serialize;

/// Node that carries the state of the controller.
const CONTROLLER_NODE: &str = "dahliapoint/controller";
/// Name of the resource with the state of the controller.
const OVERVIEW_RESOURCE: &str = "overview";
const STRUCT_TYPE_URL: &str = "type.googleapis.com/google.protobuf.Struct";

/// Serves a call of client status: one response to each request, and only one if `unary`.
pub(crate) fn serve_client_status(service: &XdsService, call: Call, unary: bool) {
    let Call {
        mut inbound,
        mut outbound,
        ..
    } = call;
    let status = loop {
        match inbound.receive::<ClientStatusRequest>() {
            Ok(Some(request)) => {
                if !request.node_matchers.is_empty() {
                    let why = "all nodes are told; matchers are not served";
                    break Status::new(Code::Unimplemented, why);
                }
                if let Err(status) = outbound.send(&client_status_response(service)) {
                    break status;
                }
            }
            Ok(None) => break Status::new(Code::Ok, ""),
            Err(status) => break status,
        }
        if unary {
            break Status::new(Code::Ok, "");
        }
    };
    outbound.finish(&status);
}

/// The response with the controller's node first and then one node for each open stream.
fn client_status_response(service: &XdsService) -> ClientStatusResponse {
    let controller = ClientConfig {
        node: Some(Node {
            id: CONTROLLER_NODE.into(),
            ..Node::default()
        }),
        generic_xds_configs: vec![GenericXdsConfig {
            type_url: STRUCT_TYPE_URL.into(),
            name: OVERVIEW_RESOURCE.into(),
            xds_config: Some(Any {
                type_url: STRUCT_TYPE_URL.into(),
                value: to_struct(&service.overview()).encode_to_vec(),
            }),
            ..GenericXdsConfig::default()
        }],
        ..ClientConfig::default()
    };
    let client = |stream: std::sync::Arc<crate::service::DiscoveryStream>| {
        let rows = stream.session().sent_resources();
        let configs = rows.into_iter().map(|row| {
            let (status, config_status) = match (&row.nack_message, row.acked) {
                (_, true) => (ClientResourceStatus::Acked, ConfigStatus::Synced),
                (Some(_), _) => (ClientResourceStatus::Nacked, ConfigStatus::Error),
                (None, _) => (ClientResourceStatus::Requested, ConfigStatus::Stale),
            };
            GenericXdsConfig {
                type_url: row.type_url.into(),
                name: row.name,
                version_info: row.version,
                config_status: config_status.into(),
                client_status: status.into(),
                error_state: row.nack_message.map(|details| UpdateFailureState {
                    details,
                    ..UpdateFailureState::default()
                }),
                ..GenericXdsConfig::default()
            }
        });
        ClientConfig {
            node: Some(stream.node.clone()),
            generic_xds_configs: configs.collect(),
            client_scope: stream.id.to_string(),
            ..ClientConfig::default()
        }
    };
    let clients = service.streams().into_iter().map(client);
    ClientStatusResponse {
        config: std::iter::once(controller).chain(clients).collect(),
    }
}

fn to_struct(value: &serde_json::Value) -> Struct {
    match to_value(value).kind {
        Some(Kind::StructValue(s)) => s,
        _ => Struct::default(),
    }
}

fn to_value(value: &serde_json::Value) -> Value {
    use serde_json::Value as V;
    let kind = match value {
        V::Null => Kind::NullValue(0),
        V::Bool(b) => Kind::BoolValue(*b),
        V::Number(n) => Kind::NumberValue(n.as_f64().unwrap_or(0.0)),
        V::String(s) => Kind::StringValue(s.clone()),
        V::Array(a) => Kind::ListValue(ListValue {
            values: a.iter().map(to_value).collect(),
        }),
        V::Object(o) => Kind::StructValue(Struct {
            fields: o.iter().map(|(k, v)| (k.clone(), to_value(v))).collect(),
        }),
    };
    Value { kind: Some(kind) }
}

fn from_value(value: &Value) -> serde_json::Value {
    use serde_json::Value as V;
    match &value.kind {
        None | Some(Kind::NullValue(_)) => V::Null,
        Some(Kind::BoolValue(b)) => V::Bool(*b),
        // All numbers are doubles on the wire; integers become integers again, up to the size that a double
        // holds exactly.
        Some(Kind::NumberValue(n)) if n.fract() == 0.0 && n.abs() < 9e15 => {
            serde_json::json!(*n as i64)
        }
        Some(Kind::NumberValue(n)) => serde_json::json!(n),
        Some(Kind::StringValue(s)) => V::String(s.clone()),
        Some(Kind::ListValue(l)) => V::Array(l.values.iter().map(from_value).collect()),
        Some(Kind::StructValue(s)) => {
            let mut fields: Vec<_> = s.fields.iter().collect();
            fields.sort_by_key(|(name, _)| name.as_str());
            let fields = fields.into_iter();
            V::Object(fields.map(|(k, v)| (k.clone(), from_value(v))).collect())
        }
    }
}

/// State of a resource at a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ResourceState {
    /// The proxy has acknowledged this version.
    Acknowledged,
    /// The proxy has rejected the last response of this type (NACK).
    Refused,
    /// Sent, without an answer yet.
    Sent,
}

/// A resource at a proxy, for the status page.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StatusRow {
    /// Name of the proxy.
    pub proxy: String,
    /// Name of the resource.
    pub resource: String,
    /// Version that was sent last.
    pub version: String,
    /// State of this version at the proxy.
    pub state: ResourceState,
    /// Why the proxy rejected the last response of this type.
    pub refusal: Option<String>,
}

/// Parses a response into the state of the controller and the resources of each proxy.
pub fn parse_client_status(response: &ClientStatusResponse) -> (serde_json::Value, Vec<StatusRow>) {
    let mut overview = serde_json::Value::Null;
    let mut rows = Vec::new();
    for client in &response.config {
        let proxy = client
            .node
            .as_ref()
            .map(|n| n.id.clone())
            .unwrap_or_default();
        for c in &client.generic_xds_configs {
            if proxy == CONTROLLER_NODE && c.name == OVERVIEW_RESOURCE {
                let bytes = c.xds_config.as_ref().map(|any| any.value.as_slice());
                let read = Struct::decode(bytes.unwrap_or_default()).unwrap_or_default();
                overview = from_value(&Value {
                    kind: Some(Kind::StructValue(read)),
                });
                continue;
            }
            let state = match ClientResourceStatus::try_from(c.client_status) {
                Ok(ClientResourceStatus::Acked) => ResourceState::Acknowledged,
                Ok(ClientResourceStatus::Nacked) => ResourceState::Refused,
                _ => ResourceState::Sent,
            };
            rows.push(StatusRow {
                proxy: proxy.clone(),
                resource: c.name.clone(),
                version: c.version_info.clone(),
                state,
                refusal: c.error_state.as_ref().map(|e| e.details.clone()),
            });
        }
    }
    (overview, rows)
}
