//! Parses the platform's settings object, which an instance gets at its start, into the settings of
//! the planner. Used by the adapter to the simulator and by the controller on sockets.

use dahliapoint::{Admission, Class, PlannerSettings, RetryPolicy};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

fn ms(ns: u64) -> f64 {
    ns as f64 / 1e6
}

/// The settings object with the field names of the platform. Fields that no decision uses are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Told {
    lanes: Vec<Lane>,
    zones: Vec<String>,
    rules: Bounds,
    specifics: Facts,
    limits: Allowed,
    #[serde(default)]
    registry_mode: String,
    #[serde(default, deserialize_with = "time")]
    tick_ns: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Lane {
    #[serde(default)]
    name: String,
    #[serde(deserialize_with = "time")]
    aim_ns: f64,
    #[serde(deserialize_with = "positive")]
    credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    #[serde(deserialize_with = "positive")]
    cold_from: f64,
    #[serde(deserialize_with = "positive")]
    fall_multiple: f64,
    #[serde(deserialize_with = "time")]
    ramp_time_ns: f64,
    #[serde(default)]
    soft_removal: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    #[serde(default)]
    admit: String,
    #[serde(default)]
    base_mode: u64,
    #[serde(deserialize_with = "positive")]
    most_waiting: f64,
    #[serde(deserialize_with = "positive")]
    egress_per_s: f64,
    #[serde(deserialize_with = "time")]
    push_delay_ns: f64,
    #[serde(deserialize_with = "positive")]
    overhead: f64,
    #[serde(default, deserialize_with = "positive")]
    standing: f64,
    #[serde(default, deserialize_with = "positive")]
    messages_most: f64,
    #[serde(default, deserialize_with = "time")]
    reload_span_ns: f64,
    #[serde(deserialize_with = "time")]
    report_every_ns: f64,
    #[serde(deserialize_with = "positive")]
    ingest_rate: f64,
    #[serde(default)]
    shards: u64,
    #[serde(default)]
    proxies: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Allowed {
    #[serde(default)]
    probing: bool,
    #[serde(deserialize_with = "time")]
    conn_idle_ns: f64,
}

fn time<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    u64::deserialize(from).map(ms)
}

fn positive<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    if value < 0.0 {
        return Err(D::Error::custom("a number from 0 up is wanted"));
    }
    Ok(value)
}

/// A deployment as described by the platform: the planner's settings and the names that messages use.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Settings of the planner.
    pub planner_settings: PlannerSettings,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Number of proxies; their indices start at 0.
    pub proxy_count: usize,
    /// Events that arrive within this time are handled as one input (ms).
    pub batch_window_ms: f64,
}

/// Parses the platform's settings object.
///
/// # Errors
/// Names the field that is missing or invalid, and what is expected of it.
pub fn parse_deployment(settings: &Value) -> Result<Deployment, String> {
    let told: Told = serde_path_to_error::deserialize(settings)
        .map_err(|e| format!("field \"settings.{}\": {}", e.path(), e.inner()))?;
    if told.lanes.len() > 32 {
        return Err("field \"settings.lanes\" has more classes than a mask can name".into());
    }
    let class = |lane: &Lane| Class {
        soft_limit_ms: lane.aim_ns,
        earnings: lane.credit,
    };
    let (facts, bounds) = (&told.specifics, &told.rules);
    let planner_settings = PlannerSettings {
        zones: told.zones.len(),
        classes: told.lanes.iter().map(class).collect(),
        admission: match facts.admit.as_str() {
            "fraction" => Admission::Share,
            _ => Admission::Unused,
        },
        max_queued_lines: facts.most_waiting,
        lines_per_ms: facts.egress_per_s / 1000.0,
        message_latency_ms: facts.push_delay_ns,
        message_overhead_lines: facts.overhead,
        idle_timeout_ms: told.limits.conn_idle_ns,
        initial_servers: facts.standing,
        max_messages: facts.messages_most,
        message_window_ms: facts.reload_span_ns,
        report_interval_ms: facts.report_every_ns,
        report_lines_per_ms: facts.ingest_rate / 1000.0,
        cold_capacity_share: bounds.cold_from,
        warm_up_ms: bounds.ramp_time_ns,
        overload_multiple: bounds.fall_multiple,
        keep_unlisted_servers: bounds.soft_removal,
        default_retry_policy: match facts.base_mode {
            0 => RetryPolicy::Never,
            1 => RetryPolicy::OnProof,
            _ => RetryPolicy::OnFailure,
        },
        may_probe: told.limits.probing,
        must_request_roster: told.registry_mode == "ask",
        sharded: facts.shards > 0,
    };
    Ok(Deployment {
        planner_settings,
        classes: told.lanes.iter().map(|lane| lane.name.clone()).collect(),
        proxy_count: facts.proxies,
        batch_window_ms: told.tick_ns,
        zones: told.zones,
    })
}
