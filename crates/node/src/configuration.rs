//! Parses the configuration file (DEPLOY, "What a controller is told").

use dahliapoint_opening::Deployment;
use dahliapoint_platform::discovery::{self, EndpointList};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// The checked configuration, read at the start and after each SIGHUP.
#[derive(Debug)]
pub struct Assignment {
    pub name: String,
    /// The address on which it accepts probes and collectors.
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub seed: u64,
    /// The limit on open descriptors.
    pub sockets: usize,
    pub deployment: Deployment,
    /// The list of servers as known before the start.
    pub known: EndpointList,
}

/// The file as written; its other fields are ignored.
#[derive(Deserialize)]
struct Told {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    distributor: Relay,
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

#[derive(Deserialize)]
struct Relay {
    address: SocketAddr,
}

/// Reads and checks a configuration file.
///
/// # Errors
/// One line with the file, the field and the problem.
pub fn read(path: &Path) -> Result<Assignment, String> {
    let name = path.display();
    let bytes = std::fs::read(path).map_err(|e| format!("{name}: {e}"))?;
    parse(&bytes).map_err(|e| format!("{name}: {e}"))
}

fn parse(bytes: &[u8]) -> Result<Assignment, String> {
    let mut from = serde_json::Deserializer::from_slice(bytes);
    let told: Told = serde_path_to_error::deserialize(&mut from).map_err(|e| {
        let path = e.path().to_string();
        match path.as_str() {
            "." => e.inner().to_string(),
            _ => format!("field {path:?}: {}", e.inner()),
        }
    })?;
    from.end().map_err(|e| e.to_string())?;
    let deployment = dahliapoint_opening::parse_deployment(&told.settings)?;
    let known = match told.known {
        None | Some(Value::Null) => EndpointList {
            index: 0,
            is_snapshot: true,
            endpoints: Vec::new(),
            rejected: Vec::new(),
        },
        Some(value) => discovery::parse_value(value, &deployment.zones)
            .map_err(|e| format!("field \"known\": {e}"))?,
    };
    // The seed only feeds random jitter, so other characters are skipped rather than rejected.
    let digits = told.seed.bytes().filter(u8::is_ascii_hexdigit);
    let digits = digits.filter_map(|b| char::from(b).to_digit(16));
    let seed = digits.fold(0_u64, |seed, d| (seed << 4) | u64::from(d));
    Ok(Assignment {
        name: told.name,
        listen: told.listen,
        discovery: told.discovery,
        relay: told.distributor.address,
        seed,
        sockets: told.limits.sockets,
        deployment,
        known,
    })
}
