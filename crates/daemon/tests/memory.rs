//! A controller that ends and begins again, with and without what it knew.

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

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("dahliapoint-mem-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
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

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn until(what: &str, mut met: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !met() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The shares of the listed weight that lines have, once they are ordered.
fn lines(daemon: &Daemon) -> Vec<f64> {
    // Lines are ordered once somebody is there to have them.
    daemon.controller().send(Input::Joined {
        session: 7,
        proxy: "p".into(),
        zone: "east".into(),
        visits_per_s: Some(1.0),
    });
    let mut found = Vec::new();
    until("lines are ordered", || {
        let overview = daemon.controller().overview();
        let servers = overview["servers"].as_array().cloned().unwrap_or_default();
        let share =
            |s: &Value| s["weight"].as_f64().unwrap() / s["listed_weight"].as_f64().unwrap();
        found = servers.iter().map(share).collect();
        found.iter().any(|w| *w > 0.0)
    });
    found
}

const ON: &str = "memory: {dir: memory}";

#[test]
fn a_server_that_came_back_while_we_were_down_returns_through_the_ramp() {
    let folder = Folder::new("returns");
    folder.roster(&["ready", "ready", "ready", "draining"]);
    for (memory, full) in [(ON, false), ("", true)] {
        folder.roster(&["ready", "ready", "ready", "draining"]);
        let daemon = folder.start(memory).unwrap();
        if !full {
            until("it is written", || folder.known().servers.len() == 4);
        }
        lines(&daemon);
        daemon.end(Duration::from_secs(1));
        folder.roster(&["ready"; 4]);
        let daemon = folder.start(memory).unwrap();
        let found = lines(&daemon);
        assert!(found[..3].iter().all(|w| *w == 1.0), "{found:?}");
        assert_eq!(found[3] == 1.0, full, "{memory:?}: {found:?}");
        daemon.end(Duration::from_secs(1));
    }
}

#[test]
fn a_slow_server_begins_with_what_its_line_had_come_to() {
    let folder = Folder::new("slow");
    folder.roster(&["ready"; 6]);
    let daemon = folder.start(ON).unwrap();
    until("it is written", || folder.known().servers.len() == 6);
    daemon.end(Duration::from_secs(1));
    // The verdict of a busy day, put there as the controller writes it.
    let (mut store, facts, _) = memory::open(&folder.0.join("memory"), None).unwrap();
    let mut fact = facts.servers["s2"].clone();
    (fact.share, fact.judged) = (0.1, clock::now());
    store.commit(&[Change::Server(fact)]).unwrap();
    drop(store);
    let daemon = folder.start(ON).unwrap();
    let found = lines(&daemon);
    assert!(found[2] < 0.9 && found[2] > 0.0, "{found:?}");
    assert!(
        [0, 1, 3, 4, 5].iter().all(|i| found[*i] == 1.0),
        "{found:?}"
    );
    daemon.end(Duration::from_secs(1));
}

#[test]
fn a_roster_that_cannot_be_read_is_remembered() {
    let folder = Folder::new("roster");
    folder.roster(&["ready", "draining"]);
    let daemon = folder.start(ON).unwrap();
    until("it is written", || folder.known().servers.len() == 2);
    daemon.end(Duration::from_secs(1));
    std::fs::write(folder.0.join("roster.yaml"), "servers:\n- {name: half a li").unwrap();
    assert!(
        folder.start("").is_err(),
        "without memory nothing can be started"
    );
    let daemon = folder.start(ON).unwrap();
    let found = lines(&daemon);
    assert_eq!(found.len(), 2);
    assert_eq!(
        daemon.controller().overview()["servers"][1]["state"],
        "Draining"
    );
    folder.roster(&["ready", "gone"]);
    until("the roster is back", || {
        daemon.controller().overview()["servers"][1]["state"] == "Gone"
    });
    daemon.end(Duration::from_secs(1));
}

#[test]
fn a_directory_that_cannot_be_used_is_told_before_anything_starts() {
    let folder = Folder::new("held");
    folder.roster(&["ready"]);
    let daemon = folder.start(ON).unwrap();
    let why = folder.start(ON).err().unwrap();
    assert!(why.contains("held by another process"), "{why}");
    until("it is written", || folder.known().servers.len() == 1);
    let dir = folder.0.join("memory");
    let state = |what: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
        command.args(["state", what]).arg(&dir);
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
    // A bent byte in the snapshot is seen.
    let snapshot = std::fs::read_dir(&dir).unwrap().flatten();
    let mut names = snapshot.map(|e| e.path());
    let snapshot = names
        .find(|p| p.to_string_lossy().contains("snapshot-"))
        .unwrap();
    let mut bytes = std::fs::read(&snapshot).unwrap();
    let at = bytes.len() / 2;
    bytes[at] ^= 1;
    std::fs::write(&snapshot, bytes).unwrap();
    assert_eq!(state("verify").0, Some(1));
    std::fs::write(folder.0.join("keys"), "a = 0001").unwrap();
    let why = folder
        .start("memory: {dir: memory, key: keys}")
        .err()
        .unwrap();
    assert!(why.contains("keys:1:"), "{why}");
}
