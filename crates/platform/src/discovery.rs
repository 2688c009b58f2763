//! Discovery's lists (PROTOCOL, "Discovery").

use dahliapoint::AdminState;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// A list, or what has changed of it; names are still names.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub index: u64,
    /// All there is; otherwise changes.
    pub whole: bool,
    pub entries: Vec<Entry>,
    /// Entries left out, as name (if it had one) and what is wrong.
    pub left_out: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    /// None where it cannot be read: it serves proxies all the same, but cannot be probed.
    pub address: Option<SocketAddr>,
    pub zone: usize,
    pub standing: AdminState,
    pub weight: f64,
    /// Unix time of its last start (ms); 0 for long ago.
    pub since_ms: f64,
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
pub fn read(line: &[u8], zones: &[String]) -> Result<List, String> {
    let told: Told = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    Ok(list(told, zones))
}

/// Like [`read`], of what is a value already.
///
/// # Errors
/// When it is no list at all.
pub fn read_value(value: Value, zones: &[String]) -> Result<List, String> {
    let told: Told = serde_json::from_value(value).map_err(|e| e.to_string())?;
    Ok(list(told, zones))
}

fn list(told: Told, zones: &[String]) -> List {
    let mut out = List {
        index: told.index,
        whole: told.snapshot,
        entries: Vec::with_capacity(told.endpoints.len()),
        left_out: Vec::new(),
    };
    for value in &told.endpoints {
        match entry(value, zones) {
            Ok(entry) => out.entries.push(entry),
            Err(field) => {
                let name = value["name"].as_str().unwrap_or("an entry without a name");
                out.left_out.push(format!("{name}: {field}"));
            }
        }
    }
    out
}

fn entry(value: &Value, zones: &[String]) -> Result<Entry, &'static str> {
    let text = |field: &'static str| value[field].as_str().ok_or(field);
    let name = text("name")?;
    // A name goes into orders, whose separators it must not hold.
    if name.is_empty() || name.bytes().any(|b| b" ,;+*\r\n".contains(&b)) {
        return Err("name");
    }
    let standing = match text("status")? {
        "up" => AdminState::Ready,
        "draining" => AdminState::Draining,
        "removed" => AdminState::Gone,
        _ => return Err("status"),
    };
    let zone = text("zone")?;
    let zone = zones.iter().position(|z| z == zone).ok_or("zone")?;
    let number = |field: &'static str| {
        let value = value[field].as_f64().ok_or(field)?;
        let fits = value.is_finite() && value >= 0.0;
        fits.then_some(value).ok_or(field)
    };
    Ok(Entry {
        name: name.to_string(),
        address: value["address"].as_str().and_then(|a| a.parse().ok()),
        zone,
        standing,
        weight: number("weight")?,
        since_ms: match &value["since_ms"] {
            Value::Null => 0.0,
            _ => number("since_ms")?,
        },
    })
}
