//! The guard in a running controller, and `dahliapoint guard explain`.

use dahliapoint_control::{AdminState, ControllerHandle, Input, RosterEntry};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

fn explain(file: &Path, text: &str) -> (Option<i32>, String) {
    std::fs::write(file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
    let out = command
        .args(["guard", "explain"])
        .arg(file)
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    (out.status.code(), said.to_string())
}

#[test]
fn a_table_in_a_file_is_checked_and_the_reasons_are_given() {
    let file = std::env::temp_dir().join(format!("dahliapoint-guard-{}.yaml", std::process::id()));
    let fleet = "load: 100\nservers:\n- {name: a}\n- {name: b}\n- {name: c, falls_at: 10}\n- {name: d, state: gone}\n\
                 before: [{server: a}, {server: b}]\n";
    let cases = [
        (
            "next: [{server: a}, {server: b}]\n",
            0,
            "nothing is dangerous",
        ),
        ("next: []\n", 1, "empty"),
        (
            "next: [{server: a}, {server: b}, {server: c}]\n",
            1,
            "cold c: 33.333, borne 8.000",
        ),
        ("next: [{server: a}, {server: d}]\n", 1, "not-ready d"),
        (
            "next: [{server: a}, {server: nobody}]\n",
            1,
            "not-ready nobody",
        ),
        ("next: [{server: a, weight: much}]\n", 2, ":8"),
    ];
    for (next, code, wanted) in cases {
        let (found, said) = explain(&file, &format!("{fleet}{next}"));
        assert!(
            found == Some(code) && said.contains(wanted),
            "{next}: {found:?} {said}"
        );
    }
    std::fs::remove_file(file).unwrap();
}

#[test]
fn tables_of_a_running_controller_are_checked() {
    let text = "service: portal\nzones: [east]\nclasses: [{name: view, soft_limit: 1s}]\nseed: 3\n\
                roster: {file: none}\nlisten: {xds: '127.0.0.1:0'}\nreports: {every: 50ms}\n";
    let entry = |i: usize, state| RosterEntry {
        name: format!("s{i}"),
        address: format!("127.0.0.1:{}", i + 1),
        zone: "east".into(),
        state,
        weight: 1.0,
        started: None,
    };
    let servers = (0..5).map(|i| entry(i, AdminState::Ready)).collect();
    let deployment = deployment::parse("d.yaml", text).unwrap();
    let daemon = Daemon::start(&deployment, RosterSource::Fixed(servers), None).unwrap();
    let joined = |n: u64| Input::Joined {
        session: n,
        proxy: format!("p{n}"),
        zone: "east".into(),
        visits_per_s: Some(10.0),
    };
    assert!((7..10).all(|n| daemon.controller().send(joined(n))));
    let view = || daemon.controller().overview()["guard"].clone();
    let judged = || view()["judged"].as_u64().unwrap_or(0);
    let end = Instant::now() + Duration::from_secs(20);
    let wait_for = |what: &str, condition: &dyn Fn() -> bool| {
        while !condition() {
            assert!(Instant::now() < end, "{what}: {}", view());
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    wait_for("the first table is checked", &|| judged() >= 1);
    let before = judged();
    daemon
        .controller()
        .send(Input::RosterChanges(vec![entry(2, AdminState::Draining)]));
    wait_for("a drain is checked", &|| judged() > before);
    assert_eq!(view()["dangerous"], serde_json::json!({}), "{}", view());
    daemon.end(Duration::from_secs(1));
}
