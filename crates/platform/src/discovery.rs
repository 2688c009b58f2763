//! Discovery's lists (PROTOCOL, "Discovery").

use dahliapoint::Standing;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// A list, or what has changed of it; names are still names.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    pub index: u64,
    /// All there is; otherwise changes.
    pub is_snapshot: bool,
    pub endpoints: Vec<Endpoint>,
    /// Entries left out, as name (if it had one) and what is wrong.
    pub rejected: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub name: String,
    /// None where it cannot be read: it serves proxies all the same, but cannot be probed.
    pub address: Option<SocketAddr>,
    pub zone: usize,
    pub admin_state: Standing,
    pub weight: f64,
    /// Unix time of its last start (ms); 0 for long ago.
    pub started_at_ms: f64,
}

#[derive(Deserialize)]
struct Told {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Value>,
}

/// Reads a list; an entry that cannot be read is left out alone.
///
/// # Errors
/// When it is no list at all.
pub fn parse(line: &[u8], zones: &[String]) -> Result<EndpointList, String> {
    let told: Told = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    Ok(list(told, zones))
}

/// Like [`parse`], of what is a value already.
///
/// # Errors
/// When it is no list at all.
pub fn parse_value(value: Value, zones: &[String]) -> Result<EndpointList, String> {
    let told: Told = serde_json::from_value(value).map_err(|e| e.to_string())?;
    Ok(list(told, zones))
}

fn list(told: Told, zones: &[String]) -> EndpointList {
    let mut out = EndpointList {
        index: told.index,
        is_snapshot: told.snapshot,
        endpoints: Vec::with_capacity(told.endpoints.len()),
        rejected: Vec::new(),
    };
    for value in &told.endpoints {
        match entry(value, zones) {
            Ok(entry) => out.endpoints.push(entry),
            Err(field) => {
                let name = value["name"].as_str().unwrap_or("an entry without a name");
                out.rejected.push(format!("{name}: {field}"));
            }
        }
    }
    out
}

fn entry(value: &Value, zones: &[String]) -> Result<Endpoint, &'static str> {
    let text = |field: &'static str| value[field].as_str().ok_or(field);
    let name = text("name")?;
    // A name goes into orders, whose separators it must not hold.
    if name.is_empty() || name.bytes().any(|b| b" ,;+*\r\n".contains(&b)) {
        return Err("name");
    }
    let admin_state = match text("status")? {
        "up" => Standing::Ready,
        "draining" => Standing::Draining,
        "removed" => Standing::Gone,
        _ => return Err("status"),
    };
    let zone = text("zone")?;
    let zone = zones.iter().position(|z| z == zone).ok_or("zone")?;
    let number = |field: &'static str| {
        let value = value[field].as_f64().ok_or(field)?;
        let fits = value.is_finite() && value >= 0.0;
        fits.then_some(value).ok_or(field)
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
