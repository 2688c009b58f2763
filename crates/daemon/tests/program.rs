//! The program as operators meet it: exit codes, errors, a record that plays again after a kill.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn program(line: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
    command.args(line);
    command
}

fn said(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).to_string() + &String::from_utf8_lossy(&out.stdout)
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("dahliapoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn put(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn at(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn until(what: &str, mut met: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !met() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

const GOOD: &str = "service: s\nzones: [a]\nclasses: [{name: c, soft_limit: 1s}]\n\
    roster: {file: roster.yaml, every: 20ms}\nlisten: {xds: '127.0.0.1:0'}\nlog: {form: json}\n";
const ROSTER: &str = "servers:\n- {name: x, address: '127.0.0.1:1', zone: a}\n";

#[test]
fn bad_files_are_told_whole_with_exit_code_2() {
    let folder = Folder::new("bad");
    let good = folder.put("good.yaml", GOOD);
    let cases = [
        (
            folder.put("d1.yaml", "service: s\nzones: [a, a]\nfoo: 1\n"),
            vec!["d1.yaml:2: zones[1]", "d1.yaml:3: foo"],
        ),
        (folder.put("d2.yaml", "service: ["), vec!["d2.yaml:"]),
        (folder.at("none.yaml"), vec!["none.yaml"]),
        (good.clone(), vec!["roster.yaml"]),
    ];
    for (file, wanted) in cases {
        for verb in ["check", "run"] {
            let out = program(&[verb, &file]).output().unwrap();
            assert_eq!(out.status.code(), Some(2), "{file}: {}", said(&out));
            for w in &wanted {
                assert!(said(&out).contains(w), "{w} in {}", said(&out));
            }
        }
    }
    folder.put("roster.yaml", ROSTER);
    let out = program(&["check", &good]).output().unwrap();
    assert_eq!(out.status.code(), Some(0), "{}", said(&out));
    let out = program(&["status", "--at", "127.0.0.1:1"])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(1), "{}", said(&out));
}

fn start(folder: &Folder, more: &[&str]) -> (Running, String) {
    let address = folder.at("address");
    let _ = std::fs::remove_file(&address);
    let file = folder.at("d.yaml");
    let child = program(&["run", &file, "--address-file", &address])
        .args(more)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let running = Running(child);
    until("it listens", || Path::new(&address).exists());
    let at = std::fs::read_to_string(&address).unwrap();
    (running, at)
}

fn status(at: &str) -> serde_json::Value {
    let out = program(&["status", "--at", at, "--json"]).output().unwrap();
    assert_eq!(out.status.code(), Some(0), "{}", said(&out));
    serde_json::from_slice(&out.stdout).unwrap()
}

#[test]
fn a_broken_roster_changes_nothing_and_is_told() {
    let folder = Folder::new("roster");
    folder.put("d.yaml", GOOD);
    let roster = folder.put("roster.yaml", ROSTER);
    let (_running, at) = start(&folder, &[]);
    let swap = |text: &str| {
        let aside = folder.put("aside", text);
        std::fs::rename(aside, &roster).unwrap();
    };
    let servers = |view: &serde_json::Value| view["controller"]["servers"].as_array().map(Vec::len);
    until("the first roster", || servers(&status(&at)) == Some(1));
    swap("servers:\n- {name: x}\n- {");
    until("told as refused", || {
        let view = status(&at);
        assert_eq!(servers(&view), Some(1));
        view["controller"]["roster_fault"]
            .as_str()
            .is_some_and(|f| f.contains("roster.yaml:"))
    });
    swap(&(ROSTER.to_string() + "- {name: y, address: '127.0.0.1:2', zone: a}\n"));
    until("the mended roster", || {
        let view = status(&at);
        servers(&view) == Some(2) && view["controller"]["roster_fault"].is_null()
    });
}

#[test]
fn a_record_of_a_killed_controller_plays_again_the_same_each_time() {
    let folder = Folder::new("record");
    folder.put("d.yaml", GOOD);
    let roster = folder.put("roster.yaml", ROSTER);
    let record = folder.at("day.rec");
    let (running, at) = start(&folder, &["--record", &record]);
    for i in 0..20 {
        let state = if i % 2 == 0 { "draining" } else { "ready" };
        let text = ROSTER.replace(
            "zone: a",
            &format!("zone: a, state: {state}, weight: {}", 1 + i),
        );
        let aside = folder.put("aside", &text);
        std::fs::rename(aside, &roster).unwrap();
        let wanted = f64::from(1 + i);
        until("the roster is taken", || {
            status(&at)["controller"]["servers"][0]["listed_weight"].as_f64() == Some(wanted)
        });
    }
    drop(running);
    let play = || {
        let out = program(&["replay", &record, "--quiet"]).output().unwrap();
        assert_eq!(out.status.code(), Some(0), "{}", said(&out));
        said(&out)
    };
    let first = play();
    let moments: u64 = first.split(' ').next().unwrap().parse().unwrap();
    assert!(moments >= 20, "{first}");
    assert_eq!(first, play());
    // Cut off within the last moment, as by a kill in mid-write: the rest still plays.
    let bytes = std::fs::read(&record).unwrap();
    std::fs::write(&record, &bytes[..bytes.len() - 3]).unwrap();
    assert!(play().contains("cut off"));
    std::fs::write(&record, b"something else").unwrap();
    let out = program(&["replay", &record]).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
}

#[test]
fn it_ends_orderly_when_told() {
    let folder = Folder::new("end");
    folder.put("d.yaml", GOOD);
    folder.put("roster.yaml", ROSTER);
    let (mut running, at) = start(&folder, &[]);
    status(&at);
    let id = running.0.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap()
            .success()
    );
    let mut code = None;
    until("it has ended", || {
        code = running.0.try_wait().unwrap().map(|s| s.code());
        code.is_some()
    });
    assert_eq!(code, Some(Some(0)));
}
