//! Proxies with the file client, against the real controller: tables, acknowledgements and reports by files, and moves
//! between files and streams.

use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::file_client::{FileClient, ShutdownMode};
use dahliapoint_proxy::settings;
use dahliapoint_proxy::xds_client::XdsClient;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Turns a hang into a failure.
const TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &str = "a = 000102030405060708090a0b0c0d0e0f";

/// A temporary folder with a file of keys, deleted on drop.
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

/// Waits for a condition, and fails after the timeout.
fn until(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Writes a roster of servers in these states.
fn roster(folder: &Path, states: &[&str]) {
    let mut text = "servers:\n".to_string();
    for (i, state) in states.iter().enumerate() {
        text += &format!(
            "- {{name: s{i}, address: '127.0.0.1:{}', zone: east, state: {state}}}\n",
            i + 1
        );
    }
    let temporary = folder.join("aside");
    std::fs::write(&temporary, text).unwrap();
    std::fs::rename(&temporary, folder.join("roster.yaml")).unwrap();
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

/// A data plane with these settings of its control client.
fn plane(folder: &Path, name: &str, control: &str) -> Arc<DataPlane> {
    let text = format!(
        "name: {name}\nservice: portal\nzone: east\npace: 20\nlisten: 127.0.0.1:0\nroster: none\n\
         redial: {{from: 10ms, to: 30ms}}\nclasses: [{{name: view, hard_limit: 1s, repeat: safe}}]\n{control}\n"
    );
    let file = folder.join("p.yaml").display().to_string();
    DataPlane::new(settings::parse(&file, &text).unwrap(), &[])
}

fn file_client(folder: &Path, name: &str) -> (Arc<DataPlane>, Arc<FileClient>) {
    let plane = plane(
        folder,
        name,
        "files: {dir: files, every: 20ms, beat: 100ms, keys: keys}",
    );
    let files = plane.settings.files.clone().unwrap();
    let (file_client, _) = FileClient::start(plane.clone(), files).unwrap();
    (plane, file_client)
}

fn overview(daemon: &Daemon) -> Value {
    use dahliapoint_control::ControllerHandle;
    daemon.controller().overview()
}

/// The proxies that the controller knows, and whether they are bound to a part.
fn proxies(daemon: &Daemon) -> Vec<(String, bool)> {
    let overview = overview(daemon);
    let list = overview["proxies"].as_array().cloned().unwrap_or_default();
    let one = |p: &Value| (p["name"].as_str().unwrap().to_string(), p["part"].is_u64());
    list.iter().map(one).collect()
}

/// Whether the server on this port is in the table.
fn has(plane: &DataPlane, port: u16) -> bool {
    plane
        .servers()
        .contains(&SocketAddr::from(([127, 0, 0, 1], port)))
}

#[test]
fn tables_drains_acknowledgements_and_reports_work_by_files() {
    let folder = Folder::new("by-files");
    roster(&folder.0, &["ready"; 4]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let (plane, file_client) = file_client(&folder.0, "p1");
    until("a table is applied", || {
        plane.server_count() == 4 && file_client.is_connected()
    });
    until("the proxy is bound", || {
        proxies(&daemon) == [("p1".to_string(), true)]
    });
    roster(&folder.0, &["ready", "draining", "ready", "ready"]);
    until("the drain is applied", || {
        plane.server_count() == 3 && !has(&plane, 2)
    });
    let current = folder.0.join("files/tables/p1/current");
    let text = |name: &str| std::fs::read_to_string(current.join(name)).unwrap_or_default();
    assert!(text("balancer.conf").contains("route=s1") && text("balancer.conf").contains("+D"));
    assert!(text("workers.properties").contains("worker.s1.activation=S"));
    until("all tables are acknowledged and reports are read", || {
        let view = overview(&daemon);
        view["files"]["unanswered"] == 0 && view["intake"]["reports"].as_u64() > Some(3)
    });
    assert_eq!(overview(&daemon)["files"]["spool"]["quarantined"], 0);

    // The published tables are deleted: the proxy keeps its table and gets the next change.
    std::fs::remove_dir_all(folder.0.join("files/tables/p1")).unwrap();
    roster(&folder.0, &["ready", "gone", "ready", "draining"]);
    until("the next drain is applied", || {
        plane.server_count() == 2 && !has(&plane, 4)
    });

    // A goodbye removes a proxy at once, a missing heartbeat after some intervals.
    let (other, silent) = self::file_client(&folder.0, "p2");
    until("a second proxy is connected", || {
        proxies(&daemon).len() == 2 && other.server_count() == 2
    });
    silent.stop(ShutdownMode::Silent);
    file_client.stop(ShutdownMode::Goodbye);
    until("both proxies are gone", || proxies(&daemon).is_empty());
    assert_eq!(plane.server_count(), 2, "the table is kept");
    daemon.end(Duration::from_secs(2));
}

#[test]
fn a_proxy_moves_from_files_to_a_stream_during_a_drain_and_back() {
    let folder = Folder::new("moves");
    roster(&folder.0, &["ready"; 3]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let (first, file_client) = file_client(&folder.0, "p1");
    until("a table is applied", || first.server_count() == 3);
    roster(&folder.0, &["draining", "ready", "ready"]);
    let stream = format!("controllers: ['{}']", daemon.address());
    let second = plane(&folder.0, "p1", &stream);
    let xds_client = XdsClient::start(second.clone());
    until("the stream has the table", || {
        second.server_count() == 2 && xds_client.is_connected()
    });
    until("one proxy of that name is known", || {
        proxies(&daemon) == [("p1".to_string(), true)]
    });
    let session = |d: &Daemon| overview(d)["proxies"][0]["session"].as_u64();
    let on_stream = session(&daemon).unwrap();
    // Its file client still writes heartbeats: the stream stays in charge, and the heartbeats do not change that.
    let heartbeats = || {
        overview(&daemon)["files"]["spool"]["taken"]
            .as_u64()
            .unwrap()
    };
    let before = heartbeats();
    until("heartbeats are read", || heartbeats() > before + 10);
    assert_eq!(session(&daemon), Some(on_stream));
    xds_client.stop();
    until("the file client is in charge again", || {
        session(&daemon).is_some_and(|s| s > on_stream)
    });
    roster(&folder.0, &["draining", "draining", "ready"]);
    until("a drain is applied by files again", || {
        first.server_count() == 1
    });
    file_client.stop(ShutdownMode::Goodbye);
    daemon.end(Duration::from_secs(2));
}

#[test]
fn a_restarted_controller_publishes_above_the_generation_in_use() {
    let folder = Folder::new("back");
    roster(&folder.0, &["ready"; 3]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let address = daemon.address().to_string();
    let (plane, file_client) = file_client(&folder.0, "p1");
    until("a table is applied", || plane.server_count() == 3);
    daemon.end(Duration::from_secs(2));
    until("the loss of the controller is noticed", || {
        !file_client.is_connected()
    });
    assert_eq!(plane.server_count(), 3);
    roster(&folder.0, &["gone", "ready", "ready"]);
    let applied = file_client.applied.load(Ordering::SeqCst);
    let daemon = controller(&folder.0, &address);
    until("a table of the restarted controller is applied", || {
        file_client.is_connected()
            && plane.server_count() == 2
            && file_client.applied.load(Ordering::SeqCst) > applied
    });
    assert_eq!(file_client.refused.load(Ordering::SeqCst), 0);
    file_client.stop(ShutdownMode::Silent);
    daemon.end(Duration::from_secs(2));
}

#[test]
fn a_grace_period_that_files_cannot_meet_is_refused_at_the_start() {
    let text = "service: s\nzones: [a]\nclasses: [{name: c, soft_limit: 1s}]\nroster: {file: r}\n\
                listen: {xds: '127.0.0.1:0'}\ndrains: {grace: 1s}\nfiles: {dir: f, read_every: 1s}\n";
    let faults = deployment::parse("d.yaml", text).unwrap_err();
    let found = faults
        .0
        .iter()
        .any(|f| f.line == 7 && f.field == "files.read_every");
    assert!(found, "{faults}");
}

/// A change of the roster reaches a proxy with a file client and one with a stream.
#[test]
fn a_roster_change_reaches_files_and_streams() {
    let folder = Folder::new("both");
    roster(&folder.0, &["ready"; 2]);
    let daemon = controller(&folder.0, "127.0.0.1:0");
    let (by_files, file_client) = file_client(&folder.0, "p1");
    let stream = format!("controllers: ['{}']", daemon.address());
    let by_stream = plane(&folder.0, "p2", &stream);
    let xds_client = XdsClient::start(by_stream.clone());
    until("both have the table", || {
        by_files.server_count() == 2 && by_stream.server_count() == 2
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
    until("both apply the drain", || {
        by_files.server_count() == 1 && by_stream.server_count() == 1
    });
    xds_client.stop();
    file_client.stop(ShutdownMode::Silent);
    daemon.end(Duration::from_secs(2));
}
