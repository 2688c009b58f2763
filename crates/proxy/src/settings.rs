//! The settings of a proxy, and the roster that it reads once, at its start.

use crate::load_balancing::BalancingPolicy;
use crate::retry::Idempotency;
use dahliapoint_yaml::{At, Faults, read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A class of visits: those whose path begins with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    pub hard_limit_ms: f64,
    pub idempotency: Idempotency,
}

/// All that a proxy is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub visits_per_s: f64,
    /// Empty where it is steered by files.
    pub controllers: Vec<SocketAddr>,
    pub files: Option<FileSettings>,
    pub listen: SocketAddr,
    pub roster: PathBuf,
    pub classes: Vec<Class>,
    pub balancing: BalancingPolicy,
    pub initial_servers: usize,
    pub ejection_failures: u32,
    pub ejection_ms: f64,
    pub reconnect_delay_ms: (f64, f64),
    /// After so long with another controller the first is dialed again; 0: never.
    pub failback_after_ms: f64,
    pub idle_timeout_ms: f64,
    pub connect_timeout_ms: f64,
    /// It stands still for so long for each line of a table that it is sent: what other proxies do.
    pub stall_per_line_us: f64,
    /// Further tries, as a share of visits.
    pub retry_budget_share: f64,
    /// A 503 with this header proves that nothing ran.
    pub proof_header: String,
    pub max_clients: usize,
    pub seed: u64,
    pub log_level: String,
}

/// Where tables are read as files, and said back.
#[derive(Clone, Debug, PartialEq)]
pub struct FileSettings {
    pub dir: PathBuf,
    pub keys: Option<PathBuf>,
    pub poll_interval_ms: f64,
    pub heartbeat_interval_ms: f64,
}

/// Reads the settings; paths are taken from the folder of the file.
///
/// # Errors
/// All that is wrong, with lines.
pub fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let folder = Path::new(file)
        .parent()
        .unwrap_or(Path::new(""))
        .to_path_buf();
    read(file, text, |at| settings(at, &folder))
}

fn address(at: &At) -> SocketAddr {
    let wanted = "an address such as 127.0.0.1:8080";
    let read = at.parsed(wanted, None, |t| t.parse().ok());
    read.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn settings(at: &At, folder: &Path) -> Settings {
    let controllers = at.field("controllers");
    let addresses: Vec<SocketAddr> = controllers.list().iter().map(address).collect();
    let files = at.field("files");
    let files = files.is_there().then(|| {
        let keys = files.field("keys");
        let spooled = FileSettings {
            dir: folder.join(files.field("dir").text(None)),
            keys: keys.is_there().then(|| folder.join(keys.text(None))),
            poll_interval_ms: files.field("every").time(10.0..=600_000.0, Some(500.0)),
            heartbeat_interval_ms: files.field("beat").time(50.0..=600_000.0, Some(1_000.0)),
        };
        files.close();
        spooled
    });
    match (addresses.is_empty(), &files) {
        (true, None) => controllers.wrong("at least one controller is wanted, or files"),
        (false, Some(_)) => controllers.wrong("controllers or files are wanted, not both"),
        _ => {}
    }
    let list = at.field("classes");
    let classes: Vec<Class> = list
        .list()
        .iter()
        .map(|c| {
            let effects = [
                ("safe", Idempotency::Safe),
                ("keyed", Idempotency::Keyed),
                ("never", Idempotency::Never),
            ];
            let class = Class {
                name: c.field("name").text(None),
                hard_limit_ms: c.field("hard_limit").time(1.0..=3.6e6, None),
                idempotency: c.field("repeat").choice(&effects, Some(Idempotency::Never)),
            };
            c.close();
            class
        })
        .collect();
    if classes.is_empty() {
        list.wrong("at least one class is wanted");
    }
    let ways = [
        ("rotate", BalancingPolicy::WeightedRoundRobin),
        ("random", BalancingPolicy::WeightedRandom),
        ("two", BalancingPolicy::TwoChoices),
    ];
    let shun = at.field("shun");
    let ejection_failures = shun.field("after").number(0.0..=1e6, Some(0.0)) as u32;
    let ejection_ms = shun.field("for").time(0.0..=3.6e6, Some(3_000.0));
    shun.close();
    let redial = at.field("redial");
    let from = redial.field("from").time(1.0..=3.6e6, Some(200.0));
    let to = redial.field("to").time(1.0..=3.6e6, Some(1_000.0));
    if to < from {
        redial
            .field("to")
            .wrong("a time no shorter than from is wanted");
    }
    redial.close();
    let levels = ["error", "warn", "info", "debug", "trace"].map(|level| (level, level));
    let out = Settings {
        name: at.field("name").text(None),
        service: at.field("service").text(None),
        zone: at.field("zone").text(None),
        visits_per_s: at.field("pace").number(0.0..=1e6, Some(0.0)),
        controllers: addresses,
        files,
        listen: address(&at.field("listen")),
        roster: folder.join(at.field("roster").text(None)),
        classes,
        balancing: at
            .field("picks")
            .choice(&ways, Some(BalancingPolicy::WeightedRoundRobin)),
        initial_servers: at.field("standing").number(1.0..=10_000.0, Some(10.0)) as usize,
        ejection_failures,
        ejection_ms,
        reconnect_delay_ms: (from, to),
        failback_after_ms: at.field("home_after").time(0.0..=3.6e6, Some(0.0)),
        idle_timeout_ms: at.field("idle").time(1.0..=3.6e6, Some(15_000.0)),
        connect_timeout_ms: at.field("connect").time(1.0..=60_000.0, Some(250.0)),
        stall_per_line_us: at.field("stall_by_line").time(0.0..=100.0, Some(0.0)) * 1e3,
        retry_budget_share: at.field("further_tries").number(0.0..=1.0, Some(0.1)),
        proof_header: at.field("proof_header").text(Some("x-unseen")),
        max_clients: at.field("most_clients").number(1.0..=1e6, Some(4096.0)) as usize,
        seed: at.field("seed").number(0.0..=9e15, Some(1.0)) as u64,
        log_level: at.field("log").choice(&levels, Some("info")).to_string(),
    };
    at.close();
    out
}

/// A server as the roster lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterServer {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub ready: bool,
}

/// Reads a roster: the same file as the controller's.
///
/// # Errors
/// All that is wrong, with lines.
pub fn roster(file: &str, text: &str) -> Result<Vec<RosterServer>, Faults> {
    read(file, text, |at| {
        let servers = at.field("servers").list();
        let roster_servers = servers.iter().map(|s| {
            for passed_over in ["weight", "started"] {
                s.field(passed_over);
            }
            let states = [("ready", true), ("draining", false), ("gone", false)];
            let server = RosterServer {
                name: s.field("name").text(None),
                address: address(&s.field("address")),
                zone: s.field("zone").text(None),
                ready: s.field("state").choice(&states, Some(true)),
            };
            s.close();
            server
        });
        let roster_servers = roster_servers.collect();
        at.close();
        roster_servers
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "name: p\nservice: s\nzone: a\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\n\
        roster: r.yaml\nclasses: [{name: view, hard_limit: 2s}]\n";

    #[test]
    fn settings_have_defaults_and_faults_have_lines() {
        let d = parse("conf/p.yaml", SMALL).unwrap();
        assert_eq!(
            (d.balancing, d.classes[0].idempotency),
            (BalancingPolicy::WeightedRoundRobin, Idempotency::Never)
        );
        assert_eq!(d.roster, PathBuf::from("conf/r.yaml"));
        let cases = [
            ("controllers: ['127.0.0.1:1']", "controllers: []", 4),
            ("127.0.0.1:0", "here", 5),
            ("hard_limit: 2s", "hard_limit: 2", 7),
            ("name: p", "name: p\npicks: best", 2),
            ("name: p", "redial: {from: 2s, to: 1s}\nname: p", 1),
        ];
        for (from, to, line) in cases {
            let faults = parse("p.yaml", &SMALL.replace(from, to)).unwrap_err();
            assert!(faults.0.iter().any(|f| f.line == line), "{to}: {faults}");
        }
    }
}
