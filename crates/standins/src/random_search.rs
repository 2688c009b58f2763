//! A random search for broken rules: draws scenarios from seeds and plays them in parallel against the real
//! controller. The file of a scenario that breaks a rule is kept, so that it can be played again.

use crate::scenario::ACTIONS;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The deployment of drawn scenarios.
const BASE_DEPLOYMENT: &str = include_str!("../days/base.yaml");

/// Draws a scenario from a seed; the text of its file.
pub fn draw_scenario(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let servers = rng.random_range(6..=14);
    let proxies = rng.random_range(4..=12);
    let visits_per_s = rng.random_range(8..=20);
    let mut text = format!(
        "name: drawn from {seed}\ndeployment: base.yaml\nlasts: 20s\nseed: {seed}\n\
         servers: {{count: {servers}, cores: 2, slowest: {:.2}, fastest: 1.3}}\n\
         proxies: {{count: {proxies}, pace: {visits_per_s}}}\n\
         work: {{plan-view: 20ms, date-set: 20ms, make-payment: 30ms}}\n\
         shares: {{plan-view: 0.5, date-set: 0.3, make-payment: 0.2}}\n\
         roster: {{late: {}ms}}\nevents:\n",
        rng.random_range(0.4..1.0),
        rng.random_range(50..800),
    );
    for _ in 0..rng.random_range(3..=9) {
        let (action, _) = ACTIONS[rng.random_range(0..ACTIONS.len())];
        let at_ms = rng.random_range(500..15_000);
        let duration_ms = rng.random_range(300..5_000);
        let target_limit = match action {
            "refuse" | "deaf" | "flood" | "crash_proxy" => proxies,
            _ => servers,
        };
        // At most a third at a time: the rules apply only while some server is warm.
        let target_count = rng.random_range(1..=target_limit / 3);
        let first = rng.random_range(0..target_limit);
        let targets: Vec<String> = (0..target_count)
            .map(|i| ((first + i * 2) % target_limit).to_string())
            .collect();
        let size = match action {
            "fail" => rng.random_range(0.3..1.0),
            "slow" | "stale_load" => rng.random_range(2.0..10.0),
            "slow_channel" => rng.random_range(2.0..6.0),
            "restart" | "crash_proxy" => rng.random_range(0.2..3.0),
            "cut_zone" | "stall_zone" => f64::from(rng.random_range(0..2)),
            "fail_class" => f64::from(rng.random_range(0..3)),
            _ => 1.0,
        };
        let size = if size.fract() == 0.0 {
            format!("{size}")
        } else {
            format!("{size:.2}")
        };
        let _ = writeln!(
            text,
            "- {{at: {at_ms}ms, do: {action}, whom: [{}], for: {duration_ms}ms, size: {size}}}",
            targets.join(", ")
        );
    }
    text
}

/// The result of a drawn scenario.
struct PlayedScenario {
    seed: u64,
    exit_code: i32,
    report: Value,
}

/// Plays `count` scenarios, `at_once` in parallel; returns the files of those that did not pass.
///
/// # Errors
/// If a file cannot be written or a process cannot be started.
pub fn search(first: u64, count: u64, at_once: usize, keep: &Path) -> Result<Vec<PathBuf>, String> {
    std::fs::create_dir_all(keep).map_err(|e| format!("{}: {e}", keep.display()))?;
    let write_file = |name: &str, text: &str| {
        let path = keep.join(name);
        let written = std::fs::write(&path, text);
        written
            .map(|()| path)
            .map_err(|e| format!("{}: {e}", keep.display()))
    };
    write_file("base.yaml", BASE_DEPLOYMENT)?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut failed = Vec::new();
    let seeds: Vec<u64> = (first..first + count).collect();
    for batch in seeds.chunks(at_once.max(1)) {
        let mut children = Vec::new();
        for seed in batch {
            let file = write_file(&format!("drawn-{seed}.yaml"), &draw_scenario(*seed))?;
            let child = Command::new(&program)
                .arg("bad-day")
                .arg(&file)
                .arg("--json")
                .stdout(Stdio::piped())
                .stderr(Stdio::null())
                .spawn();
            children.push((*seed, file, child.map_err(|e| e.to_string())?));
        }
        for (seed, file, child) in children {
            let out = child.wait_with_output().map_err(|e| e.to_string())?;
            let played = PlayedScenario {
                seed,
                exit_code: out.status.code().unwrap_or(-1),
                report: serde_json::from_slice(&out.stdout).unwrap_or_default(),
            };
            print_result(&played);
            match played.exit_code {
                0 => drop(std::fs::remove_file(&file)),
                _ => failed.push(file),
            }
        }
    }
    Ok(failed)
}

/// Prints one line for a result.
fn print_result(result: &PlayedScenario) {
    let share = result.report["earnings"]["share"].as_f64().unwrap_or(0.0);
    let rules = result.report["rules"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let broken_rules: Vec<String> = rules
        .iter()
        .filter(|r| r["broken"] != 0)
        .map(|r| {
            format!(
                "{} ({})",
                r["rule"].as_str().unwrap_or_default(),
                r["broken"]
            )
        })
        .collect();
    let verdict = match (result.exit_code, broken_rules.is_empty()) {
        (0, _) => "kept".to_string(),
        (_, false) => format!("BROKEN: {}", broken_rules.join(", ")),
        (code, true) => format!("not played: exit code {code}"),
    };
    println!(
        "day {}: {verdict}; earnings {:.1}%",
        result.seed,
        share * 100.0
    );
}

#[cfg(test)]
mod tests;
