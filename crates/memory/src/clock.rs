//! Reads the machine's clocks.

use crate::facts::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};

/// The current time by the wall clock and the machine's uptime.
pub fn now() -> Timestamp {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let read = |name: &str| std::fs::read_to_string(name).unwrap_or_default();
    let boot = read("/proc/sys/kernel/random/boot_id").trim().to_string();
    let up = read("/proc/uptime");
    let up = up.split(' ').next().and_then(|s| s.parse::<f64>().ok());
    Timestamp {
        wall_ms: wall.map_or(0.0, |d| d.as_secs_f64() * 1e3),
        boot: up.map_or(String::new(), |_| boot),
        up_ms: up.unwrap_or(0.0) * 1e3,
    }
}
