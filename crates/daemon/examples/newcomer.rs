//! How soon a newcomer decides well, cold and with a peer: reports tell of one server in ten that answers late; how long
//! until every such line is at half or less of the others', and how long the learning takes.

use dahliapoint_control::{
    AdminState, ControllerHandle, Input, LoadReport, ReportLine, RosterEntry,
};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_memory::clock;
use dahliapoint_peer::client;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PROXIES: u64 = 8;

fn start(servers: usize, peers: &[SocketAddr]) -> Daemon {
    let text = format!(
        "service: portal\nzones: [east]\nclasses: [{{name: view, soft_limit: 1s}}]\nseed: 3\nroster: {{file: none}}\n\
         listen: {{xds: '127.0.0.1:0'}}\nreports: {{every: 500ms}}\npeers: {{ask: {peers:?}, within: 2s}}\nlog: {{level: error}}\n"
    );
    let deployment = deployment::parse("d.yaml", &text).expect("a good deployment");
    let entry = |i: usize| RosterEntry {
        name: format!("s{i}"),
        address: format!("127.0.{}.{}:80", i / 250, i % 250 + 1),
        zone: "east".into(),
        state: AdminState::Ready,
        weight: 1.0,
        started: None,
    };
    let roster = (0..servers).map(entry).collect();
    let daemon = Daemon::start(&deployment, RosterSource::Fixed(roster), None).expect("it starts");
    for n in 0..PROXIES {
        let proxy = format!("p{n}");
        daemon.controller().report_stream(&proxy, 7 + n, true);
        daemon.controller().send(Input::Joined {
            session: 7 + n,
            proxy,
            zone: "east".into(),
            visits_per_s: Some(50.0),
        });
    }
    daemon
}

fn report(daemon: &Daemon, servers: usize) {
    for n in 0..PROXIES {
        let met = (0..servers).map(|i| ReportLine {
            server: format!("s{i}"),
            tries: 5.0,
            success_ms: 5.0 * if i % 10 == 1 { 1_500.0 } else { 20.0 },
            ..ReportLine::default()
        });
        let report = LoadReport {
            window_ms: 500.0,
            ended_ago_ms: 0.0,
            lines: met.collect(),
            arrivals: Vec::new(),
        };
        let _ = daemon.controller().report(&format!("p{n}"), 7 + n, report);
    }
}

/// How long until the slow ones are at half, from when the newcomer was started.
fn decides(servers: usize, peers: &[SocketAddr]) -> (Daemon, Duration, Duration) {
    let begun = Instant::now();
    let daemon = start(servers, peers);
    let started = begun.elapsed();
    let mut told = begun;
    loop {
        let view: Value = daemon.controller().overview();
        let weight = |i: usize| {
            let all = view["servers"].as_array().expect("a list");
            let name = format!("s{i}");
            all.iter()
                .find(|s| s["name"] == name.as_str())
                .and_then(|s| s["weight"].as_f64())
                .unwrap_or(0.0)
        };
        let other = weight(0);
        if other > 0.0
            && (0..servers)
                .filter(|i| i % 10 == 1)
                .all(|i| weight(i) <= 0.5 * other)
        {
            return (daemon, started, begun.elapsed());
        }
        if begun.elapsed() > Duration::from_secs(90) {
            panic!("it does not decide: {other} {}", weight(1));
        }
        if told.elapsed() >= Duration::from_millis(500) {
            told = Instant::now();
            report(&daemon, servers);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn main() {
    for servers in [20, 115, 384] {
        let (old, _, cold) = decides(servers, &[]);
        // What it has come to is told with its next rounds.
        for _ in 0..6 {
            report(&old, servers);
            std::thread::sleep(Duration::from_millis(500));
        }
        let (learned, _) = client::query(
            old.address(),
            "portal",
            clock::now,
            Instant::now() + Duration::from_secs(5),
        );
        let (newcomer, started, decided) = decides(servers, &[old.address()]);
        println!(
            "{servers} servers: cold {cold:.2?}, with a peer {decided:.2?} (started after {started:.2?}, asking took {:.1} ms, {} words)",
            learned.took_ms,
            learned.facts.len()
        );
        for daemon in [old, newcomer] {
            daemon.end(Duration::from_secs(1));
        }
    }
}
