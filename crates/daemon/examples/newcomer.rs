//! Measures how soon a starting controller decides well, without and with a peer. Load reports show that one server in
//! ten answers late; the time is taken until each of these has half of the others' weight or less. Also prints how long
//! asking the peer takes.

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
        let lines = (0..servers).map(|i| ReportLine {
            server: format!("s{i}"),
            tries: 5.0,
            success_ms: 5.0 * if i % 10 == 1 { 1_500.0 } else { 20.0 },
            ..ReportLine::default()
        });
        let report = LoadReport {
            window_ms: 500.0,
            ended_ago_ms: 0.0,
            lines: lines.collect(),
            arrivals: Vec::new(),
        };
        let _ = daemon.controller().report(&format!("p{n}"), 7 + n, report);
    }
}

/// Starts a controller; returns it, how long its start took, and how long it took until the weights of the slow servers
/// were at half.
fn time_to_decide(servers: usize, peers: &[SocketAddr]) -> (Daemon, Duration, Duration) {
    let start_time = Instant::now();
    let daemon = start(servers, peers);
    let started = start_time.elapsed();
    let mut last_report = start_time;
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
            return (daemon, started, start_time.elapsed());
        }
        if start_time.elapsed() > Duration::from_secs(90) {
            panic!("it does not decide: {other} {}", weight(1));
        }
        if last_report.elapsed() >= Duration::from_millis(500) {
            last_report = Instant::now();
            report(&daemon, servers);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn main() {
    for servers in [20, 115, 384] {
        let (running, _, cold) = time_to_decide(servers, &[]);
        // Peers see its decisions after the next rounds.
        for _ in 0..6 {
            report(&running, servers);
            std::thread::sleep(Duration::from_millis(500));
        }
        let (learned, _) = client::query(
            running.address(),
            "portal",
            clock::now,
            Instant::now() + Duration::from_secs(5),
        );
        let (starting, started, warm_start) = time_to_decide(servers, &[running.address()]);
        println!(
            "{servers} servers: cold {cold:.2?}, with a peer {warm_start:.2?} (started after {started:.2?}, asking took {:.1} ms, {} words)",
            learned.took_ms,
            learned.facts.len()
        );
        for daemon in [running, starting] {
            daemon.end(Duration::from_secs(1));
        }
    }
}
