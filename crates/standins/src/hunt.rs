//! Days that nobody wrote: events drawn by chance from all kinds, played side by side through the real
//! controller. A day on which a rule breaks is kept as a file, to be played again.

use crate::day::WORDS;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The deployment that drawn days are of.
const BASE: &str = include_str!("../days/base.yaml");

/// A day from a seed, as the text of its file.
pub fn drawn(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let servers = rng.random_range(6..=14);
    let proxies = rng.random_range(4..=12);
    let pace = rng.random_range(8..=20);
    let mut text = format!(
        "name: drawn from {seed}\ndeployment: base.yaml\nlasts: 20s\nseed: {seed}\n\
         servers: {{count: {servers}, cores: 2, slowest: {:.2}, fastest: 1.3}}\n\
         proxies: {{count: {proxies}, pace: {pace}}}\n\
         work: {{plan-view: 20ms, date-set: 20ms, make-payment: 30ms}}\n\
         shares: {{plan-view: 0.5, date-set: 0.3, make-payment: 0.2}}\n\
         roster: {{late: {}ms}}\nevents:\n",
        rng.random_range(0.4..1.0),
        rng.random_range(50..800),
    );
    for _ in 0..rng.random_range(3..=9) {
        let (word, _) = WORDS[rng.random_range(0..WORDS.len())];
        let at = rng.random_range(500..15_000);
        let lasts = rng.random_range(300..5_000);
        let many = match word {
            "refuse" | "deaf" | "flood" | "crash_proxy" => proxies,
            _ => servers,
        };
        // At most a third are struck at one time: the rules hold while a warm server is there.
        let struck = rng.random_range(1..=many / 3);
        let first = rng.random_range(0..many);
        let whom: Vec<String> = (0..struck)
            .map(|i| ((first + i * 2) % many).to_string())
            .collect();
        let size = match word {
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
            "- {{at: {at}ms, do: {word}, whom: [{}], for: {lasts}ms, size: {size}}}",
            whom.join(", ")
        );
    }
    text
}

/// What a drawn day came to.
struct Played {
    seed: u64,
    code: i32,
    report: Value,
}

/// Plays so many days, some at one time; tells the files of those on which a rule broke.
///
/// # Errors
/// When nothing can be written or started.
pub fn hunt(first: u64, days: u64, at_once: usize, keep: &Path) -> Result<Vec<PathBuf>, String> {
    std::fs::create_dir_all(keep).map_err(|e| format!("{}: {e}", keep.display()))?;
    let put = |name: &str, text: &str| {
        let path = keep.join(name);
        let put = std::fs::write(&path, text);
        put.map(|()| path)
            .map_err(|e| format!("{}: {e}", keep.display()))
    };
    put("base.yaml", BASE)?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut broken = Vec::new();
    let seeds: Vec<u64> = (first..first + days).collect();
    for together in seeds.chunks(at_once.max(1)) {
        let mut children = Vec::new();
        for seed in together {
            let file = put(&format!("drawn-{seed}.yaml"), &drawn(*seed))?;
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
            let played = Played {
                seed,
                code: out.status.code().unwrap_or(-1),
                report: serde_json::from_slice(&out.stdout).unwrap_or_default(),
            };
            tell(&played);
            match played.code {
                0 => drop(std::fs::remove_file(&file)),
                _ => broken.push(file),
            }
        }
    }
    Ok(broken)
}

fn tell(day: &Played) {
    let share = day.report["earnings"]["share"].as_f64().unwrap_or(0.0);
    let rules = day.report["rules"].as_array().cloned().unwrap_or_default();
    let broke: Vec<String> = rules
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
    let word = match (day.code, broke.is_empty()) {
        (0, _) => "kept".to_string(),
        (_, false) => format!("BROKEN: {}", broke.join(", ")),
        (code, true) => format!("not played: exit code {code}"),
    };
    println!("day {}: {word}; earnings {:.1}%", day.seed, share * 100.0);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_drawn_day_can_be_read_and_is_the_same_each_time() {
        let folder = std::env::temp_dir().join(format!("dahliapoint-hunt-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("base.yaml"), BASE).unwrap();
        let file = folder.join("day.yaml");
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let text = drawn(seed);
            assert_eq!(text, drawn(seed));
            std::fs::write(&file, &text).unwrap();
            let day = crate::day::load(&file).unwrap_or_else(|why| panic!("{why}\n{text}"));
            let struck = day.events.iter().map(|e| e.whom.len()).max().unwrap_or(0);
            assert!(struck * 3 <= day.servers.max(day.proxies), "{text}");
            kinds.extend(day.events.iter().map(|e| format!("{:?}", e.what)));
        }
        assert_eq!(kinds.len(), WORDS.len(), "all kinds are drawn: {kinds:?}");
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
