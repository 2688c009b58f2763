//! Parses the platform's settings object, which an instance gets at its start, into the settings of
//! the planner. Used by the adapter to the simulator and by the controller on sockets.

use dahliapoint::{Admission, Class, PlannerSettings, RetryPolicy};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// Most classes that the platform's bit masks of classes can represent.
const MAX_CLASSES: usize = 32;

/// The settings object. The platform's own names are given as `rename`; fields that no decision uses
/// are ignored.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct SettingsObject {
    #[serde(rename = "lanes")]
    classes: Vec<ClassObject>,
    zones: Vec<String>,
    #[serde(rename = "rules")]
    servers: ServersObject,
    #[serde(rename = "specifics")]
    deployment: DeploymentObject,
    limits: LimitsObject,
    #[serde(default, rename = "registryMode")]
    registry_mode: String,
    #[serde(default, rename = "tickNs", deserialize_with = "ms_from_ns")]
    batch_window_ms: f64,
}

/// A class of visits.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct ClassObject {
    #[serde(default)]
    name: String,
    #[serde(rename = "aimNs", deserialize_with = "ms_from_ns")]
    soft_limit_ms: f64,
    #[serde(rename = "credit", deserialize_with = "non_negative")]
    earnings: f64,
}

/// How servers start, break down and leave.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct ServersObject {
    #[serde(rename = "coldFrom", deserialize_with = "non_negative")]
    cold_capacity_share: f64,
    #[serde(rename = "fallMultiple", deserialize_with = "non_negative")]
    overload_multiple: f64,
    #[serde(rename = "rampTimeNs", deserialize_with = "ms_from_ns")]
    warm_up_ms: f64,
    #[serde(
        default,
        rename = "stopSendingWithinNs",
        deserialize_with = "ms_from_ns"
    )]
    drain_grace_ms: f64,
    #[serde(default, rename = "softRemoval")]
    keep_unlisted_servers: bool,
}

/// Proxies, channel and reports of the deployment.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct DeploymentObject {
    #[serde(default, rename = "admit")]
    admission: String,
    #[serde(default, rename = "baseMode")]
    retry_mode: u64,
    #[serde(rename = "mostWaiting", deserialize_with = "non_negative")]
    max_queued_lines: f64,
    #[serde(rename = "egressPerS", deserialize_with = "non_negative")]
    lines_per_s: f64,
    #[serde(rename = "pushDelayNs", deserialize_with = "ms_from_ns")]
    message_latency_ms: f64,
    #[serde(rename = "overhead", deserialize_with = "non_negative")]
    message_overhead_lines: f64,
    #[serde(default, rename = "standing", deserialize_with = "non_negative")]
    initial_servers: f64,
    #[serde(default, rename = "messagesMost", deserialize_with = "non_negative")]
    max_messages: f64,
    #[serde(default, rename = "reloadSpanNs", deserialize_with = "ms_from_ns")]
    message_window_ms: f64,
    #[serde(rename = "reportEveryNs", deserialize_with = "ms_from_ns")]
    report_interval_ms: f64,
    #[serde(rename = "ingestRate", deserialize_with = "non_negative")]
    report_lines_per_s: f64,
    #[serde(default)]
    shards: u64,
    #[serde(default, rename = "strikes")]
    failures_until_avoided: u32,
    #[serde(default)]
    proxies: usize,
}

/// What the planner may do, and what proxies do with their connections.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct LimitsObject {
    #[serde(default, rename = "probing")]
    may_probe: bool,
    #[serde(rename = "connIdleNs", deserialize_with = "ms_from_ns")]
    idle_timeout_ms: f64,
}

/// Reads a whole number of nanoseconds as milliseconds.
fn ms_from_ns<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    u64::deserialize(from).map(|ns| ns as f64 / 1e6)
}

/// Reads a number that is not negative.
fn non_negative<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    if value < 0.0 {
        return Err(D::Error::custom(format!(
            "{value} is negative, expected a number from 0 up"
        )));
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
    /// Events that arrive within this time are handled as one input.
    pub batch_window_ms: f64,
}

/// Parses the platform's settings object.
///
/// # Errors
/// Names the field that is missing or invalid, and what is expected of it.
pub fn parse_deployment(settings: &Value) -> Result<Deployment, String> {
    let settings: SettingsObject = serde_path_to_error::deserialize(settings)
        .map_err(|e| format!("field \"settings.{}\": {}", e.path(), e.inner()))?;
    if settings.classes.len() > MAX_CLASSES {
        return Err(format!(
            "field \"settings.lanes\" has {} classes, at most {MAX_CLASSES} are supported",
            settings.classes.len()
        ));
    }
    let class = |class: &ClassObject| Class {
        soft_limit_ms: class.soft_limit_ms,
        earnings: class.earnings,
    };
    let (deployment, servers) = (&settings.deployment, &settings.servers);
    let planner_settings = PlannerSettings {
        zones: settings.zones.len(),
        classes: settings.classes.iter().map(class).collect(),
        admission: match deployment.admission.as_str() {
            "fraction" => Admission::Share,
            _ => Admission::Unused,
        },
        max_queued_lines: deployment.max_queued_lines,
        lines_per_ms: deployment.lines_per_s / 1000.0,
        message_latency_ms: deployment.message_latency_ms,
        message_overhead_lines: deployment.message_overhead_lines,
        idle_timeout_ms: settings.limits.idle_timeout_ms,
        initial_servers: deployment.initial_servers,
        max_messages: deployment.max_messages,
        message_window_ms: deployment.message_window_ms,
        drain_grace_ms: servers.drain_grace_ms,
        report_interval_ms: deployment.report_interval_ms,
        report_lines_per_ms: deployment.report_lines_per_s / 1000.0,
        cold_capacity_share: servers.cold_capacity_share,
        warm_up_ms: servers.warm_up_ms,
        overload_multiple: servers.overload_multiple,
        failures_until_avoided: deployment.failures_until_avoided,
        keep_unlisted_servers: servers.keep_unlisted_servers,
        default_retry_policy: match deployment.retry_mode {
            0 => RetryPolicy::Never,
            1 => RetryPolicy::OnProof,
            _ => RetryPolicy::OnFailure,
        },
        may_probe: settings.limits.may_probe,
        must_request_roster: settings.registry_mode == "ask",
        sharded: deployment.shards > 0,
    };
    Ok(Deployment {
        planner_settings,
        classes: settings.classes.into_iter().map(|c| c.name).collect(),
        proxy_count: deployment.proxies,
        batch_window_ms: settings.batch_window_ms,
        zones: settings.zones,
    })
}
