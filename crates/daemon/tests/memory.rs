//! Restarts of a controller with and without its stored state.

use dahliapoint_control::{ControllerHandle, Input};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_daemon::memory;
use dahliapoint_memory::clock;
use dahliapoint_memory::facts::{Change, Facts};
use serde_json::Value;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(20);

struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str) -> TestDir {
        let path =
            std::env::temp_dir().join(format!("dahliapoint-mem-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TestDir(path)
    }

    fn roster(&self, states: &[&str]) {
        let mut text = "servers:\n".to_string();
        for (i, state) in states.iter().enumerate() {
            text += &format!(
                "- {{name: s{i}, address: '127.0.0.1:{}', zone: east, state: {state}}}\n",
                i + 1
            );
        }
        std::fs::write(self.0.join("aside"), text).unwrap();
        std::fs::rename(self.0.join("aside"), self.0.join("roster.yaml")).unwrap();
    }

    fn start(&self, memory: &str) -> Result<Daemon, String> {
        let text = format!(
            "service: portal\nzones: [east]\nclasses: [{{name: view, soft_limit: 1s}}]\nseed: 3\n\
             roster: {{file: roster.yaml, every: 10ms}}\nlisten: {{xds: '127.0.0.1:0'}}\n\
             reports: {{every: 50ms}}\ncold: {{warm_after: 60s}}\n{memory}\n"
        );
        let file = self.0.join("d.yaml").display().to_string();
        let deployment = deployment::parse(&file, &text).unwrap();
        Daemon::start(&deployment, RosterSource::File, None)
    }

    fn known(&self) -> Facts {
        memory::read(&self.0.join("memory"), None).map_or_else(|_| Facts::default(), |(f, _)| f)
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until weights are ordered; returns them as shares of the listed weights.
fn weight_shares(daemon: &Daemon) -> Vec<f64> {
    // Weights are ordered once there is a proxy.
    daemon.controller().send(Input::Joined {
        session: 7,
        proxy: "p".into(),
        zone: "east".into(),
        visits_per_s: Some(1.0),
    });
    let mut found = Vec::new();
    wait_for("lines are ordered", || {
        let overview = daemon.controller().overview();
        let servers = overview["servers"].as_array().cloned().unwrap_or_default();
        let share =
            |s: &Value| s["weight"].as_f64().unwrap() / s["listed_weight"].as_f64().unwrap();
        found = servers.iter().map(share).collect();
        found.iter().any(|w| *w > 0.0)
    });
    found
}

const MEMORY: &str = "memory: {dir: memory}";

#[test]
fn a_server_that_came_back_while_the_controller_was_down_returns_through_the_ramp() {
    let dir = TestDir::new("returns");
    dir.roster(&["ready", "ready", "ready", "draining"]);
    for (memory, full) in [(MEMORY, false), ("", true)] {
        dir.roster(&["ready", "ready", "ready", "draining"]);
        let daemon = dir.start(memory).unwrap();
        if !full {
            wait_for("it is written", || dir.known().servers.len() == 4);
        }
        weight_shares(&daemon);
        daemon.end(Duration::from_secs(1));
        dir.roster(&["ready"; 4]);
        let daemon = dir.start(memory).unwrap();
        let found = weight_shares(&daemon);
        assert!(found[..3].iter().all(|w| *w == 1.0), "{found:?}");
        assert_eq!(found[3] == 1.0, full, "{memory:?}: {found:?}");
        daemon.end(Duration::from_secs(1));
    }
}

#[test]
fn a_slow_server_starts_with_its_stored_share() {
    let dir = TestDir::new("slow");
    dir.roster(&["ready"; 6]);
    let daemon = dir.start(MEMORY).unwrap();
    wait_for("it is written", || dir.known().servers.len() == 6);
    daemon.end(Duration::from_secs(1));
    // Store a low share, in the way the controller does after load reports.
    let (mut store, facts, _) = memory::open(&dir.0.join("memory"), None).unwrap();
    let mut fact = facts.servers["s2"].clone();
    (fact.share, fact.judged) = (0.1, clock::now());
    store.commit(&[Change::Server(fact)]).unwrap();
    drop(store);
    let daemon = dir.start(MEMORY).unwrap();
    let found = weight_shares(&daemon);
    assert!(found[2] < 0.9 && found[2] > 0.0, "{found:?}");
    assert!(
        [0, 1, 3, 4, 5].iter().all(|i| found[*i] == 1.0),
        "{found:?}"
    );
    daemon.end(Duration::from_secs(1));
}

#[test]
fn if_the_roster_cannot_be_read_the_stored_one_is_used() {
    let dir = TestDir::new("roster");
    dir.roster(&["ready", "draining"]);
    let daemon = dir.start(MEMORY).unwrap();
    wait_for("it is written", || dir.known().servers.len() == 2);
    daemon.end(Duration::from_secs(1));
    std::fs::write(dir.0.join("roster.yaml"), "servers:\n- {name: half a li").unwrap();
    assert!(
        dir.start("").is_err(),
        "without memory nothing can be started"
    );
    let daemon = dir.start(MEMORY).unwrap();
    let found = weight_shares(&daemon);
    assert_eq!(found.len(), 2);
    assert_eq!(
        daemon.controller().overview()["servers"][1]["state"],
        "Draining"
    );
    dir.roster(&["ready", "gone"]);
    wait_for("the roster is back", || {
        daemon.controller().overview()["servers"][1]["state"] == "Gone"
    });
    daemon.end(Duration::from_secs(1));
}

#[test]
fn an_unusable_directory_is_reported_before_anything_starts() {
    let dir = TestDir::new("held");
    dir.roster(&["ready"]);
    let daemon = dir.start(MEMORY).unwrap();
    let why = dir.start(MEMORY).err().unwrap();
    assert!(why.contains("held by another process"), "{why}");
    wait_for("it is written", || dir.known().servers.len() == 1);
    let memory_dir = dir.0.join("memory");
    let state = |what: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
        command.args(["state", what]).arg(&memory_dir);
        let out = command.output().unwrap();
        (
            out.status.code(),
            String::from_utf8_lossy(&out.stdout).to_string(),
        )
    };
    assert_eq!(state("compact").0, Some(2), "it is held");
    let (code, text) = state("show");
    assert!(
        code == Some(0) && text.contains("s0") && text.contains("ready"),
        "{text}"
    );
    daemon.end(Duration::from_secs(1));
    assert_eq!(state("verify").0, Some(0));
    assert_eq!(state("compact").0, Some(0));
    // A corrupt byte in the snapshot is found.
    let snapshot = std::fs::read_dir(&memory_dir).unwrap().flatten();
    let mut names = snapshot.map(|e| e.path());
    let snapshot = names
        .find(|p| p.to_string_lossy().contains("snapshot-"))
        .unwrap();
    let mut bytes = std::fs::read(&snapshot).unwrap();
    let at = bytes.len() / 2;
    bytes[at] ^= 1;
    std::fs::write(&snapshot, bytes).unwrap();
    assert_eq!(state("verify").0, Some(1));
    std::fs::write(dir.0.join("keys"), "a = 0001").unwrap();
    let why = dir.start("memory: {dir: memory, key: keys}").err().unwrap();
    assert!(why.contains("keys:1:"), "{why}");
}
