//! Proxies steered by files, against the controller: the way there and back, moves between the fronts.

use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_proxy::described;
use dahliapoint_proxy::filed::{Filed, Over};
use dahliapoint_proxy::plane::Plane;
use dahliapoint_proxy::steering::Steering;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(20);
const KEY: &str = "a = 000102030405060708090a0b0c0d0e0f";

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("dahliapoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join("keys"), KEY).unwrap();
        Folder(path)
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

fn roster(folder: &Path, states: &[&str]) {
    let mut text = "servers:\n".to_string();
    for (i, state) in states.iter().enumerate() {
        text += &format!(
            "- {{name: s{i}, address: '127.0.0.1:{}', zone: east, state: {state}}}\n",
            i + 1
        );
    }
    std::fs::write(folder.join("aside"), text).unwrap();
    std::fs::rename(folder.join("aside"), folder.join("roster.yaml")).unwrap();
}

fn controller(folder: &Path, listen: &str) -> Daemon {
    let text = format!(
        "service: portal\nzones: [east]\nclasses: [{{name: view, soft_limit: 1s}}]\n\
         roster: {{file: roster.yaml, every: 10ms}}\nlisten: {{xds: '{listen}'}}\nseed: 3\n\
         reports: {{every: 100ms}}\n\
         files: {{dir: files, every: 20ms, read_every: 20ms, beat: 100ms, keys: keys, forms: [balancer, workers, state]}}\n"
    );
    let file = folder.join("d.yaml").display().to_string();
    let deployment = deployment::parse(&file, &text).unwrap();
    Daemon::start(&deployment, RosterSource::File, None).unwrap()
}

fn plane(folder: &Path, name: &str, steered: &str) -> Arc<Plane> {
    let text = format!(
        "name: {name}\nservice: portal\nzone: east\npace: 20\nlisten: 127.0.0.1:0\nroster: none\n\
         redial: {{from: 10ms, to: 30ms}}\nclasses: [{{name: view, hard_limit: 1s, repeat: safe}}]\n{steered}\n"
    );
    let file = folder.join("p.yaml").display().to_string();
    Plane::new(described::parse(&file, &text).unwrap(), &[])
}

fn filed(folder: &Path, name: &str) -> (Arc<Plane>, Arc<Filed>) {
    let plane = plane(
        folder,
        name,
        "files: {dir: files, every: 20ms, beat: 100ms, keys: keys}",
    );
    let files = plane.described.files.clone().unwrap();
    let (filed, _) = Filed::start(plane.clone(), files).unwrap();
    (plane, filed)
}

fn overview(daemon: &Daemon) -> Value {
    use dahliapoint_control::ControllerHandle;
    daemon.controller().overview()
}

/// The proxies that the controller knows, and whether they have a part.
fn proxies(daemon: &Daemon) -> Vec<(String, bool)> {
    let overview = overview(daemon);
    let list = overview["proxies"].as_array().cloned().unwrap_or_default();
    let one = |p: &Value| (p["name"].as_str().unwrap().to_string(), p["part"].is_u64());
    list.iter().map(one).collect()
}

fn has(plane: &Plane, server: u16) -> bool {
    plane
        .servers()
        .contains(&SocketAddr::from(([127, 0, 0, 1], server)))
}

#[test]
fn tables_drains_answers_and_reports_go_by_files() {
    let folder = Folder::new("by-files");
    roster(&folder.0, &["ready"; 4]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let (plane, filed) = filed(&folder.0, "p1");
    until("a table comes", || plane.lines() == 4 && filed.is_joined());
    until("it is bound", || {
        proxies(&daemon) == [("p1".to_string(), true)]
    });
    roster(&folder.0, &["ready", "draining", "ready", "ready"]);
    until("the drain is obeyed", || {
        plane.lines() == 3 && !has(&plane, 2)
    });
    let current = folder.0.join("files/tables/p1/current");
    let text = |name: &str| std::fs::read_to_string(current.join(name)).unwrap_or_default();
    assert!(text("balancer.conf").contains("route=s1") && text("balancer.conf").contains("+D"));
    assert!(text("workers.properties").contains("worker.s1.activation=S"));
    until("all is answered, reports come", || {
        let view = overview(&daemon);
        view["files"]["unanswered"] == 0 && view["intake"]["reports"].as_u64() > Some(3)
    });
    assert_eq!(overview(&daemon)["files"]["spool"]["quarantined"], 0);

    // Removed by hand: the proxy keeps its table, and the next change comes.
    std::fs::remove_dir_all(folder.0.join("files/tables/p1")).unwrap();
    roster(&folder.0, &["ready", "gone", "ready", "draining"]);
    until("the next drain is obeyed", || {
        plane.lines() == 2 && !has(&plane, 4)
    });

    // A goodbye is heard at once, a silence after some beats.
    let (other, silent) = self::filed(&folder.0, "p2");
    until("another one comes", || {
        proxies(&daemon).len() == 2 && other.lines() == 2
    });
    silent.end(Over::Silent);
    filed.end(Over::Goodbye);
    until("both are gone", || proxies(&daemon).is_empty());
    assert_eq!(plane.lines(), 2, "what it holds stays");
    daemon.end(Duration::from_secs(2));
}

#[test]
fn a_proxy_moves_from_files_to_a_stream_during_a_drain_and_back() {
    let folder = Folder::new("moves");
    roster(&folder.0, &["ready"; 3]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let (first, filed) = filed(&folder.0, "p1");
    until("a table comes", || first.lines() == 3);
    roster(&folder.0, &["draining", "ready", "ready"]);
    let stream = format!("controllers: ['{}']", daemon.address());
    let second = plane(&folder.0, "p1", &stream);
    let steering = Steering::start(second.clone());
    until("the stream has the table", || {
        second.lines() == 2 && steering.is_joined()
    });
    until("one of that name is there", || {
        proxies(&daemon) == [("p1".to_string(), true)]
    });
    let session = |d: &Daemon| overview(d)["proxies"][0]["session"].as_u64();
    let on_stream = session(&daemon).unwrap();
    // It goes on beating beside its stream: the stream stays, and the beats earn nothing.
    let beats = || {
        overview(&daemon)["files"]["spool"]["taken"]
            .as_u64()
            .unwrap()
    };
    let before = beats();
    until("beats come", || beats() > before + 10);
    assert_eq!(session(&daemon), Some(on_stream));
    steering.end();
    until("the files have it back", || {
        session(&daemon).is_some_and(|s| s > on_stream)
    });
    roster(&folder.0, &["draining", "draining", "ready"]);
    until("a drain comes by files again", || first.lines() == 1);
    filed.end(Over::Goodbye);
    daemon.end(Duration::from_secs(2));
}

#[test]
fn the_controller_comes_back_and_goes_on_above_what_is_held() {
    let folder = Folder::new("back");
    roster(&folder.0, &["ready"; 3]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let address = daemon.address().to_string();
    let (plane, filed) = filed(&folder.0, "p1");
    until("a table comes", || plane.lines() == 3);
    daemon.end(Duration::from_secs(2));
    until("its loss is seen", || !filed.is_joined());
    assert_eq!(plane.lines(), 3);
    roster(&folder.0, &["gone", "ready", "ready"]);
    let applied = filed.applied.load(Ordering::SeqCst);
    let daemon = controller(&folder.0, &address);
    until("the next life's table comes", || {
        filed.is_joined() && plane.lines() == 2 && filed.applied.load(Ordering::SeqCst) > applied
    });
    assert_eq!(filed.refused.load(Ordering::SeqCst), 0);
    filed.end(Over::Silent);
    daemon.end(Duration::from_secs(2));
}

#[test]
fn what_files_cannot_keep_is_refused_before_anything_starts() {
    let text = "service: s\nzones: [a]\nclasses: [{name: c, soft_limit: 1s}]\nroster: {file: r}\n\
                listen: {xds: '127.0.0.1:0'}\ndrains: {grace: 1s}\nfiles: {dir: f, read_every: 1s}\n";
    let faults = deployment::parse("d.yaml", text).unwrap_err();
    let found = faults
        .0
        .iter()
        .any(|f| f.line == 7 && f.field == "files.read_every");
    assert!(found, "{faults}");
}

/// The same names as another one's.
#[test]
fn entries_of_a_fixed_roster_serve_both_fronts() {
    let folder = Folder::new("both");
    roster(&folder.0, &["ready"; 2]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let (by_files, filed) = filed(&folder.0, "p1");
    let stream = format!("controllers: ['{}']", daemon.address());
    let by_stream = plane(&folder.0, "p2", &stream);
    let steering = Steering::start(by_stream.clone());
    until("both have it", || {
        by_files.lines() == 2 && by_stream.lines() == 2
    });
    let entry = RosterEntry {
        name: "s0".into(),
        address: "127.0.0.1:1".into(),
        zone: "east".into(),
        state: AdminState::Draining,
        weight: 1.0,
        started: None,
    };
    use dahliapoint_control::{ControllerHandle, Input};
    daemon.controller().send(Input::RosterChanges(vec![entry]));
    until("both drain", || {
        by_files.lines() == 1 && by_stream.lines() == 1
    });
    steering.end();
    filed.end(Over::Silent);
    daemon.end(Duration::from_secs(2));
}
