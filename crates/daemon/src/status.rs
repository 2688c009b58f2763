//! `dahliapoint status`: asks a controller for its status by CSDS and shows it as a table or as JSON.

use dahliapoint_files::formats::{TABLE_FORMAT_VERSION, Table, TableLine};
use dahliapoint_grpc::{Connection, Limits, Status};
use dahliapoint_xds::pb::status::{ClientStatusRequest, ClientStatusResponse};
use dahliapoint_xds::{ResourceState, StatusRow, parse_client_status};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Path of the CSDS call.
const FETCH: &str = "/envoy.service.status.v3.ClientStatusDiscoveryService/FetchClientStatus";

/// Asks a controller for its overview and its resources.
///
/// # Errors
/// Returns the status of the call.
pub fn fetch(at: SocketAddr) -> Result<(Value, Vec<StatusRow>), Status> {
    let limits = Limits {
        max_message_bytes: 256 << 20,
        ..Limits::default()
    };
    let link = Connection::connect(at, limits)?;
    let request = ClientStatusRequest::default();
    let response: ClientStatusResponse =
        link.unary_call(FETCH, &request, Duration::from_secs(10))?;
    Ok(parse_client_status(&response))
}

/// The whole status as JSON.
pub fn as_json(overview: &Value, rows: &[StatusRow]) -> Value {
    json!({"controller": overview, "resources": rows})
}

/// The present table of a part.
pub fn table(overview: &Value, part: usize) -> Table {
    let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
    let servers = overview["servers"].as_array().into_iter().flatten();
    let servers_of_part = servers.filter(|s| s["part"] == json!(part));
    let lines = servers_of_part.filter_map(|s| {
        let line = TableLine {
            server: text(&s["name"]),
            address: text(&s["address"]),
            weight: s["weight"].as_f64().filter(|w| *w > 0.0)?,
            open: s["shut"] != json!(true),
        };
        Some((line.server.clone(), line))
    });
    Table {
        format_version: TABLE_FORMAT_VERSION,
        service: text(&overview["service"]),
        bound: true,
        lines: lines.collect(),
        ..Table::default()
    }
}

/// The status as tables for people, in extracts.
pub fn as_table(overview: &Value, rows: &[StatusRow]) -> String {
    let mut out = String::new();
    let text = |v: &Value| match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        Value::Number(n) => n
            .as_f64()
            .map_or_else(|| n.to_string(), |f| format!("{}", (f * 1e4).round() / 1e4)),
        other => other.to_string(),
    };
    let _ = writeln!(out, "service {}", text(&overview["service"]));
    if let Some(fault) = overview["roster_fault"].as_str() {
        let _ = writeln!(out, "ROSTER REFUSED, the last good one stands: {fault}");
    }
    let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
    let _ = writeln!(
        out,
        "\n{:<24} {:<22} {:<10} {:<9} {:>7} {:>5} {:>9} {:>9} {:>8}  note",
        "server", "address", "zone", "state", "listed", "part", "line", "tries/s", "mean ms"
    );
    for s in list(&overview["servers"]) {
        let estimate = &s["estimate"];
        let mut notes = Vec::new();
        if s["shut"] == json!(true) {
            notes.push("withdrawn");
        }
        if estimate["stale"] == json!(true) {
            notes.push("its own word is doubtful");
        }
        let note = notes.join(", ");
        let _ = writeln!(
            out,
            "{:<24} {:<22} {:<10} {:<9} {:>7} {:>5} {:>9} {:>9} {:>8}  {note}",
            text(&s["name"]),
            text(&s["address"]),
            text(&s["zone"]),
            text(&s["state"]).to_lowercase(),
            text(&s["listed_weight"]),
            text(&s["part"]),
            text(&s["weight"]),
            text(&estimate["tries_per_s"]),
            text(&estimate["mean_ms"]),
        );
    }
    let mut resources: BTreeMap<&str, [usize; 3]> = BTreeMap::new();
    for row in rows {
        let column = match row.state {
            ResourceState::Acknowledged => 0,
            ResourceState::Sent => 1,
            ResourceState::Refused => 2,
        };
        resources.entry(&row.proxy).or_default()[column] += 1;
    }
    let _ = writeln!(
        out,
        "\n{:<24} {:<10} {:>5} {:>10} {:>6} {:>8} {:>10}  note",
        "proxy", "zone", "part", "holds", "sent", "refused", "unanswered"
    );
    for p in list(&overview["proxies"]) {
        let name = text(&p["name"]);
        let [acked, sent, refused] = resources.get(name.as_str()).copied().unwrap_or_default();
        let _ = writeln!(
            out,
            "{name:<24} {:<10} {:>5} {acked:>10} {sent:>6} {refused:>8} {:>10}  {}",
            text(&p["zone"]),
            text(&p["part"]),
            text(&p["unanswered"]),
            match (&p["contrary"], &p["silent"]) {
                (Value::Bool(true), _) => "its reports contradict all others".to_string(),
                (_, Value::Bool(true)) => "reports no more".to_string(),
                _ => text(&p["refusal"]),
            },
        );
    }
    let _ = writeln!(out, "\nclass ways: {}", overview["ways"]);
    let _ = writeln!(out, "channel: {}", overview["accounts"]);
    let _ = writeln!(out, "decisions: {}", overview["deciding"]);
    let _ = writeln!(out, "intake: {}", overview["intake"]);
    for part in ["files", "memory", "guard", "hooks", "dns"] {
        if overview[part].is_object() {
            let _ = writeln!(out, "{part}: {}", overview[part]);
        }
    }
    out
}
