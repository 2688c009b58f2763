//! Reads the settings file of a proxy, and the roster, which the proxy reads once at its start.

use crate::load_balancing::BalancingPolicy;
use crate::retry::Idempotency;
use dahliapoint_yaml::{At, Faults, read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A class of visits: those whose path starts with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// A visit that has no answer after this time fails.
    pub hard_limit_ms: f64,
    pub idempotency: Idempotency,
}

/// The settings of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub name: String,
    pub service: String,
    pub zone: String,
    /// Expected visit rate, sent to the controller.
    pub visits_per_s: f64,
    /// Controllers to connect to, the preferred one first; empty if tables come by files.
    pub controllers: Vec<SocketAddr>,
    /// Set if tables come by files instead of streams.
    pub files: Option<FileSettings>,
    pub listen: SocketAddr,
    /// Path of the roster file.
    pub roster: PathBuf,
    pub classes: Vec<Class>,
    pub balancing: BalancingPolicy,
    /// Servers of the roster that the proxy uses until the controller sends it a table.
    pub initial_servers: usize,
    /// Failures in a row after which a server is ejected; 0 turns ejection off.
    pub ejection_failures: u32,
    pub ejection_ms: f64,
    /// Shortest and longest delay before the next connection to a controller.
    pub reconnect_delay_ms: (f64, f64),
    /// Time after which a connection to another controller is given up for the first one; 0: never.
    pub failback_after_ms: f64,
    /// Time after which an idle connection of a client or to a server is closed.
    pub idle_timeout_ms: f64,
    pub connect_timeout_ms: f64,
    /// How long new visits wait for each line of a new table; imitates proxies that stall while they reload.
    pub stall_per_line_us: f64,
    /// Retries that the budget gains with each visit.
    pub retry_budget_share: f64,
    /// A 503 answer with this header proves that the visit did not run.
    pub proof_header: String,
    pub max_clients: usize,
    pub seed: u64,
    pub log_level: String,
}

/// Settings of the exchange with the controller by files.
#[derive(Clone, Debug, PartialEq)]
pub struct FileSettings {
    pub dir: PathBuf,
    /// File of the keys that sign the files; none if they are not signed.
    pub keys: Option<PathBuf>,
    /// How often the proxy looks for a new table.
    pub poll_interval_ms: f64,
    pub heartbeat_interval_ms: f64,
}

/// Reads the settings. Relative paths start at the folder of the file.
///
/// # Errors
/// All faults of the file, with their lines.
pub fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let folder = Path::new(file)
        .parent()
        .unwrap_or(Path::new(""))
        .to_path_buf();
    read(file, text, |at| read_settings(at, &folder))
}

fn parse_address(at: &At) -> SocketAddr {
    let expected = "an address such as 127.0.0.1:8080";
    let address = at.parsed(expected, None, |t| t.parse().ok());
    address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn read_settings(at: &At, folder: &Path) -> Settings {
    let controllers = at.field("controllers");
    let addresses: Vec<SocketAddr> = controllers.list().iter().map(parse_address).collect();
    let files = at.field("files");
    let files = files.is_there().then(|| {
        let keys = files.field("keys");
        let file_settings = FileSettings {
            dir: folder.join(files.field("dir").text(None)),
            keys: keys.is_there().then(|| folder.join(keys.text(None))),
            poll_interval_ms: files.field("every").time(10.0..=600_000.0, Some(500.0)),
            heartbeat_interval_ms: files.field("beat").time(50.0..=600_000.0, Some(1_000.0)),
        };
        files.close();
        file_settings
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
            let idempotencies = [
                ("safe", Idempotency::Safe),
                ("keyed", Idempotency::Keyed),
                ("never", Idempotency::Never),
            ];
            let class = Class {
                name: c.field("name").text(None),
                hard_limit_ms: c.field("hard_limit").time(1.0..=3.6e6, None),
                idempotency: c
                    .field("repeat")
                    .choice(&idempotencies, Some(Idempotency::Never)),
            };
            c.close();
            class
        })
        .collect();
    if classes.is_empty() {
        list.wrong("at least one class is wanted");
    }
    let policies = [
        ("rotate", BalancingPolicy::WeightedRoundRobin),
        ("random", BalancingPolicy::WeightedRandom),
        ("two", BalancingPolicy::TwoChoices),
    ];
    let ejection = at.field("shun");
    let ejection_failures = ejection.field("after").number(0.0..=1e6, Some(0.0)) as u32;
    let ejection_ms = ejection.field("for").time(0.0..=3.6e6, Some(3_000.0));
    ejection.close();
    let reconnect = at.field("redial");
    let min_delay = reconnect.field("from").time(1.0..=3.6e6, Some(200.0));
    let max_delay = reconnect.field("to").time(1.0..=3.6e6, Some(1_000.0));
    if max_delay < min_delay {
        reconnect
            .field("to")
            .wrong("a time no shorter than from is wanted");
    }
    reconnect.close();
    let levels = ["error", "warn", "info", "debug", "trace"].map(|level| (level, level));
    let settings = Settings {
        name: at.field("name").text(None),
        service: at.field("service").text(None),
        zone: at.field("zone").text(None),
        visits_per_s: at.field("pace").number(0.0..=1e6, Some(0.0)),
        controllers: addresses,
        files,
        listen: parse_address(&at.field("listen")),
        roster: folder.join(at.field("roster").text(None)),
        classes,
        balancing: at
            .field("picks")
            .choice(&policies, Some(BalancingPolicy::WeightedRoundRobin)),
        initial_servers: at.field("standing").number(1.0..=10_000.0, Some(10.0)) as usize,
        ejection_failures,
        ejection_ms,
        reconnect_delay_ms: (min_delay, max_delay),
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
    settings
}

/// A server of the roster.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterServer {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Whether its state is `ready`; only such servers can be initial servers.
    pub ready: bool,
}

/// Reads a roster. The format is that of the controller's roster file.
///
/// # Errors
/// All faults of the file, with their lines.
pub fn roster(file: &str, text: &str) -> Result<Vec<RosterServer>, Faults> {
    read(file, text, |at| {
        let servers = at.field("servers").list();
        let roster_servers = servers.iter().map(|server| {
            // Fields that only the controller uses; reading them marks them as known.
            for ignored in ["weight", "started"] {
                server.field(ignored);
            }
            let states = [("ready", true), ("draining", false), ("gone", false)];
            let roster_server = RosterServer {
                name: server.field("name").text(None),
                address: parse_address(&server.field("address")),
                zone: server.field("zone").text(None),
                ready: server.field("state").choice(&states, Some(true)),
            };
            server.close();
            roster_server
        });
        let roster_servers = roster_servers.collect();
        at.close();
        roster_servers
    })
}

#[cfg(test)]
mod tests;
