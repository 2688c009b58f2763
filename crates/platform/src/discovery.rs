//! Parses the endpoint lists that discovery sends (PROTOCOL, "Discovery").

use dahliapoint::AdminState;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// A full list of endpoints, or the changes since another version.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the full list; otherwise it holds changes only.
    pub is_snapshot: bool,
    pub endpoints: Vec<Endpoint>,
    /// Entries that could not be parsed: name, if there is one, and the invalid field.
    pub rejected: Vec<String>,
}

/// One server of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    /// `None` if it cannot be parsed: the server still gets traffic, but cannot be probed.
    pub address: Option<SocketAddr>,
    pub zone: usize,
    pub admin_state: AdminState,
    pub weight: f64,
    /// Unix time of its last start (ms); 0 means long ago.
    pub started_at_ms: f64,
}

/// A list as it is sent; its entries are parsed one by one.
#[derive(Deserialize)]
struct RawEndpointList {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Value>,
}

/// Parses a list. An invalid entry is skipped and named in [`EndpointList::rejected`].
///
/// # Errors
/// Returns the reason when the input is not a list.
pub fn parse(line: &[u8], zones: &[String]) -> Result<EndpointList, String> {
    let raw: RawEndpointList = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    Ok(parse_entries(raw, zones))
}

/// Like [`parse`], from a JSON value.
///
/// # Errors
/// Returns the reason when the value is not a list.
pub fn parse_value(value: Value, zones: &[String]) -> Result<EndpointList, String> {
    let raw: RawEndpointList = serde_json::from_value(value).map_err(|e| e.to_string())?;
    Ok(parse_entries(raw, zones))
}

fn parse_entries(raw: RawEndpointList, zones: &[String]) -> EndpointList {
    let mut out = EndpointList {
        index: raw.index,
        is_snapshot: raw.snapshot,
        endpoints: Vec::with_capacity(raw.endpoints.len()),
        rejected: Vec::new(),
    };
    for value in &raw.endpoints {
        match parse_entry(value, zones) {
            Ok(endpoint) => out.endpoints.push(endpoint),
            Err(field) => {
                let name = value["name"].as_str().unwrap_or("an entry without a name");
                out.rejected.push(format!("{name}: {field}"));
            }
        }
    }
    out
}

/// Parses one entry, or returns the name of its invalid field.
fn parse_entry(value: &Value, zones: &[String]) -> Result<Endpoint, &'static str> {
    let text = |field: &'static str| value[field].as_str().ok_or(field);
    let name = text("name")?;
    // Names are written into relay commands, so they must not contain separators.
    if name.is_empty() || name.bytes().any(|b| b" ,;+*\r\n".contains(&b)) {
        return Err("name");
    }
    let admin_state = match text("status")? {
        "up" => AdminState::Ready,
        "draining" => AdminState::Draining,
        "removed" => AdminState::Gone,
        _ => return Err("status"),
    };
    let zone = text("zone")?;
    let zone = zones.iter().position(|z| z == zone).ok_or("zone")?;
    let number = |field: &'static str| {
        let value = value[field].as_f64().ok_or(field)?;
        let is_valid = value.is_finite() && value >= 0.0;
        is_valid.then_some(value).ok_or(field)
    };
    Ok(Endpoint {
        name: name.to_string(),
        address: value["address"].as_str().and_then(|a| a.parse().ok()),
        zone,
        admin_state,
        weight: number("weight")?,
        started_at_ms: match &value["since_ms"] {
            Value::Null => 0.0,
            _ => number("since_ms")?,
        },
    })
}
