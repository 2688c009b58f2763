//! The program from the outside: exit codes, errors, and a record that can be replayed after the process was killed.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn program(line: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
    command.args(line);
    command
}

fn output(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).to_string() + &String::from_utf8_lossy(&out.stdout)
}

struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str) -> TestDir {
        let path = std::env::temp_dir().join(format!("dahliapoint-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TestDir(path)
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

impl Drop for TestDir {
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

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

const GOOD: &str = "service: s\nzones: [a]\nclasses: [{name: c, soft_limit: 1s}]\n\
    roster: {file: roster.yaml, every: 20ms}\nlisten: {xds: '127.0.0.1:0'}\nlog: {form: json}\n";
const ROSTER: &str = "servers:\n- {name: x, address: '127.0.0.1:1', zone: a}\n";

#[test]
fn all_faults_of_bad_files_are_reported_with_exit_code_2() {
    let dir = TestDir::new("bad");
    let good = dir.put("good.yaml", GOOD);
    let cases = [
        (
            dir.put("d1.yaml", "service: s\nzones: [a, a]\nfoo: 1\n"),
            vec!["d1.yaml:2: zones[1]", "d1.yaml:3: foo"],
        ),
        (dir.put("d2.yaml", "service: ["), vec!["d2.yaml:"]),
        (dir.at("none.yaml"), vec!["none.yaml"]),
        (good.clone(), vec!["roster.yaml"]),
    ];
    for (file, wanted) in cases {
        for verb in ["check", "run"] {
            let out = program(&[verb, &file]).output().unwrap();
            assert_eq!(out.status.code(), Some(2), "{file}: {}", output(&out));
            for w in &wanted {
                assert!(output(&out).contains(w), "{w} in {}", output(&out));
            }
        }
    }
    dir.put("roster.yaml", ROSTER);
    let out = program(&["check", &good]).output().unwrap();
    assert_eq!(out.status.code(), Some(0), "{}", output(&out));
    let out = program(&["status", "--at", "127.0.0.1:1"])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(1), "{}", output(&out));
}

fn start(dir: &TestDir, more: &[&str]) -> (Running, String) {
    let address = dir.at("address");
    let _ = std::fs::remove_file(&address);
    let file = dir.at("d.yaml");
    let child = program(&["run", &file, "--address-file", &address])
        .args(more)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let running = Running(child);
    wait_for("it listens", || Path::new(&address).exists());
    let at = std::fs::read_to_string(&address).unwrap();
    (running, at)
}

fn status(at: &str) -> serde_json::Value {
    let out = program(&["status", "--at", at, "--json"]).output().unwrap();
    assert_eq!(out.status.code(), Some(0), "{}", output(&out));
    serde_json::from_slice(&out.stdout).unwrap()
}

#[test]
fn a_broken_roster_changes_nothing_and_is_reported() {
    let dir = TestDir::new("roster");
    dir.put("d.yaml", GOOD);
    let roster = dir.put("roster.yaml", ROSTER);
    let (_running, at) = start(&dir, &[]);
    let swap = |text: &str| {
        let aside = dir.put("aside", text);
        std::fs::rename(aside, &roster).unwrap();
    };
    let servers = |view: &serde_json::Value| view["controller"]["servers"].as_array().map(Vec::len);
    wait_for("the first roster", || servers(&status(&at)) == Some(1));
    swap("servers:\n- {name: x}\n- {");
    wait_for("the status shows the refusal", || {
        let view = status(&at);
        assert_eq!(servers(&view), Some(1));
        view["controller"]["roster_fault"]
            .as_str()
            .is_some_and(|f| f.contains("roster.yaml:"))
    });
    swap(&(ROSTER.to_string() + "- {name: y, address: '127.0.0.1:2', zone: a}\n"));
    wait_for("the repaired roster", || {
        let view = status(&at);
        servers(&view) == Some(2) && view["controller"]["roster_fault"].is_null()
    });
}

#[test]
fn the_record_of_a_killed_controller_replays_identically() {
    let dir = TestDir::new("record");
    dir.put("d.yaml", GOOD);
    let roster = dir.put("roster.yaml", ROSTER);
    let record = dir.at("day.rec");
    let (running, at) = start(&dir, &["--record", &record]);
    for i in 0..20 {
        let state = if i % 2 == 0 { "draining" } else { "ready" };
        let text = ROSTER.replace(
            "zone: a",
            &format!("zone: a, state: {state}, weight: {}", 1 + i),
        );
        let aside = dir.put("aside", &text);
        std::fs::rename(aside, &roster).unwrap();
        let wanted = f64::from(1 + i);
        wait_for("the roster is taken", || {
            status(&at)["controller"]["servers"][0]["listed_weight"].as_f64() == Some(wanted)
        });
    }
    drop(running);
    let play = || {
        let out = program(&["replay", &record, "--quiet"]).output().unwrap();
        assert_eq!(out.status.code(), Some(0), "{}", output(&out));
        output(&out)
    };
    let first = play();
    let moments: u64 = first.split(' ').next().unwrap().parse().unwrap();
    assert!(moments >= 20, "{first}");
    assert_eq!(first, play());
    // A record that ends within its last step, as after a kill during a write, replays up to there.
    let bytes = std::fs::read(&record).unwrap();
    std::fs::write(&record, &bytes[..bytes.len() - 3]).unwrap();
    assert!(play().contains("cut off"));
    std::fs::write(&record, b"something else").unwrap();
    let out = program(&["replay", &record]).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
}

#[test]
fn it_shuts_down_on_sigterm() {
    let dir = TestDir::new("end");
    dir.put("d.yaml", GOOD);
    dir.put("roster.yaml", ROSTER);
    let (mut running, at) = start(&dir, &[]);
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
    wait_for("it has ended", || {
        code = running.0.try_wait().unwrap().map(|s| s.code());
        code.is_some()
    });
    assert_eq!(code, Some(Some(0)));
}
