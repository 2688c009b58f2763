//! Imported host lists of Apache and mod_jk in a running daemon and on the command line, with sample files written for
//! these tests.

use dahliapoint_control::ControllerHandle;
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_files::formats::{Format, TABLE_FORMAT_VERSION, Table, TableLine};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str) -> TestDir {
        let dir =
            std::env::temp_dir().join(format!("dahliapoint-import-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(dir.join("sites")).unwrap();
        TestDir(dir)
    }

    fn put(&self, name: &str, text: &str) {
        std::fs::write(self.0.join("aside"), text).unwrap();
        std::fs::rename(self.0.join("aside"), self.0.join(name)).unwrap();
    }

    fn get(&self, name: &str) -> String {
        std::fs::read_to_string(self.0.join(name)).unwrap()
    }

    fn start(&self, roster: &str) -> Result<Daemon, String> {
        let text = format!(
            "service: portal\nzones: [east, west]\nclasses: [{{name: view, soft_limit: 1s}}]\nseed: 3\n\
             roster: {{every: 20ms, {roster}}}\nlisten: {{xds: '127.0.0.1:0'}}\n"
        );
        let name = self.0.join("d.yaml").display().to_string();
        let deployment = deployment::parse(&name, &text).map_err(|f| f.to_string())?;
        Daemon::start(&deployment, RosterSource::File, None)
    }

    fn run(&self, line: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
        let out = command.current_dir(&self.0).args(line).output().unwrap();
        let said = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
        (out.status.code(), said.to_string())
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn wait_for(daemon: &Daemon, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let view = daemon.controller().overview();
        if condition(&view) {
            return view;
        }
        assert!(Instant::now() < end, "{what}: {view:#}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn server<'a>(view: &'a Value, name: &str) -> &'a Value {
    let all = view["servers"].as_array().unwrap();
    all.iter()
        .find(|s| s["name"] == name)
        .unwrap_or(&Value::Null)
}

const HTTPD: &str = "<Proxy balancer://portal>\nInclude sites/*.conf\n</Proxy>\n";

#[test]
fn a_daemon_follows_apache_files_and_keeps_the_last_valid_roster_if_they_are_broken() {
    let dir = TestDir::new("apache");
    dir.put("httpd.conf", HTTPD);
    dir.put(
        "sites/a.conf",
        "BalancerMember http://127.0.0.1:81 route=a loadfactor=2\n",
    );
    let daemon = dir
        .start("file: httpd.conf, form: apache, zone: east")
        .unwrap();
    let view = daemon.controller().overview();
    assert_eq!(
        (
            &server(&view, "a")["listed_weight"],
            &server(&view, "a")["zone"]
        ),
        (&2.0.into(), &"east".into())
    );
    // A new file in an included folder.
    dir.put(
        "sites/b.conf",
        "BalancerMember http://127.0.0.1:82 route=b\n",
    );
    wait_for(&daemon, "a new file is found", |v| {
        server(v, "b")["state"] == "Ready"
    });
    dir.put(
        "sites/b.conf",
        "BalancerMember http://127.0.0.1:82 route=b status=+N\n",
    );
    wait_for(&daemon, "b drains", |v| {
        server(v, "b")["state"] == "Draining"
    });
    dir.put("sites/a.conf", "BalancerMember http://127.0.0.1:81 route=a\nBalancerMember http://127.0.0.1:81 route=a loadfactor=3\n");
    let view = wait_for(&daemon, "a fault is reported", |v| {
        !v["roster_fault"].is_null()
    });
    let output = view["roster_fault"].as_str().unwrap();
    assert!(
        output.contains("sites/a.conf:2: \"a\" weighs 3 here and 1 at"),
        "{output}"
    );
    assert_eq!(server(&view, "a")["listed_weight"], 2.0);
    dir.put("httpd.conf", "Include sites/none.conf\n");
    wait_for(&daemon, "a missing file is reported", |v| {
        v["roster_fault"]
            .as_str()
            .is_some_and(|t| t.contains("httpd.conf:1: ") && t.contains("none.conf"))
    });
    dir.put(
        "sites/a.conf",
        "BalancerMember http://127.0.0.1:81 route=a loadfactor=4\n",
    );
    dir.put("httpd.conf", HTTPD);
    let view = wait_for(&daemon, "the files are valid again", |v| {
        server(v, "a")["listed_weight"] == 4.0
    });
    assert_eq!(server(&view, "b")["state"], "Draining");
    assert!(view["roster_fault"].is_null());
    std::fs::remove_file(dir.0.join("sites/b.conf")).unwrap();
    wait_for(&daemon, "b is gone", |v| server(v, "b")["state"] == "Gone");
    daemon.end(Duration::from_secs(1));
}

const WORKERS: &str = "worker.list=portal\nworker.portal.type=lb\nworker.portal.balance_workers=a,b\n\
    worker.a.host=127.0.0.1\nworker.a.port=81\nworker.a.domain=west\nworker.b.host=127.0.0.1\nworker.b.port=82\nworker.b.lbfactor=2\n";

#[test]
fn a_daemon_follows_worker_files() {
    let dir = TestDir::new("jk");
    dir.put("workers.properties", WORKERS);
    let daemon = dir
        .start("file: workers.properties, form: mod_jk, zone: east")
        .unwrap();
    let view = daemon.controller().overview();
    assert_eq!(
        (&server(&view, "a")["zone"], &server(&view, "b")["zone"]),
        (&"west".into(), &"east".into())
    );
    dir.put(
        "workers.properties",
        &format!("{WORKERS}worker.a.activation=S\n"),
    );
    wait_for(&daemon, "a is gone", |v| server(v, "a")["state"] == "Gone");
    daemon.end(Duration::from_secs(1));
    let why = dir
        .start("file: workers.properties, form: mod_jk")
        .err()
        .unwrap();
    assert!(
        why.contains("workers.properties:7: \"b\": its zone is not known"),
        "{why}"
    );
    let why = dir
        .start("file: workers.properties, form: mod_jk, zone: north")
        .err()
        .unwrap();
    assert!(
        why.contains("roster.zone: one of the zones east, west"),
        "{why}"
    );
    dir.put("workers.properties", "worker.p.type=lb\n");
    let why = dir
        .start("file: workers.properties, form: mod_jk, zone: east")
        .err()
        .unwrap();
    assert!(why.contains("balances nobody"), "{why}");
}

#[test]
fn files_are_imported_and_written_back() {
    let dir = TestDir::new("cli");
    dir.put("httpd.conf", HTTPD);
    dir.put("sites/a.conf", "# one\nBalancerMember \"http://127.0.0.1:81\"\troute=a ping=5\nBalancerMember http://127.0.0.1:82 route=b status=+D\n");
    let (code, yaml) = dir.run(&["import", "httpd.conf", "--form", "apache", "--zone", "east"]);
    let wanted = "servers:\n- {name: \"a\", address: \"127.0.0.1:81\", zone: \"east\", state: ready, weight: 1}\n\
                  - {name: \"b\", address: \"127.0.0.1:82\", zone: \"east\", state: gone, weight: 1}\n";
    assert_eq!((code, yaml.as_str()), (Some(0), wanted));
    dir.put(
        "roster.yaml",
        &yaml.replace("ready, weight: 1", "draining, weight: 7"),
    );
    let back = [
        "import",
        "httpd.conf",
        "--form",
        "apache",
        "--zone",
        "east",
        "--write-back",
        "roster.yaml",
    ];
    let before = dir.get("sites/a.conf");
    let (code, output) = dir.run(&back);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("sites/a.conf:2: BalancerMember \"http://127.0.0.1:81\"\troute=a ping=5 loadfactor=7 status=+N"), "{output}");
    assert_eq!(
        dir.get("sites/a.conf"),
        before,
        "without --in-place nothing is written"
    );
    let mut in_place = back.to_vec();
    in_place.push("--in-place");
    assert_eq!(dir.run(&in_place).0, Some(0));
    assert_eq!(
        dir.get("sites/a.conf"),
        before.replace("ping=5", "ping=5 loadfactor=7 status=+N")
    );
    assert_eq!(dir.get("httpd.conf"), HTTPD);
    assert_eq!(dir.run(&back).1, "", "nothing is left to do");
    dir.put("roster.yaml", &yaml.replace("127.0.0.1:81", "127.0.0.1:99"));
    let (code, output) = dir.run(&back);
    assert!(
        code == Some(2) && output.contains("is 127.0.0.1:99 here and 127.0.0.1:81 at"),
        "{output}"
    );
    let (code, output) = dir.run(&["import", "none.conf", "--form", "apache"]);
    assert!(
        code == Some(2) && output.contains("none.conf:1: "),
        "{output}"
    );
}

/// Imports what a controller exports: names, addresses, proportions of weights, and withdrawn servers are the same.
#[test]
fn exported_tables_can_be_imported() {
    let dir = TestDir::new("export");
    let line = |i: usize| TableLine {
        server: format!("host-{i}"),
        address: format!("127.0.0.1:{}", 80 + i),
        weight: [1.0, 0.5, 0.1, 2.0][i],
        open: i != 1,
    };
    let table = Table {
        format_version: TABLE_FORMAT_VERSION,
        service: "portal".into(),
        lines: (0..4).map(line).map(|l| (l.server.clone(), l)).collect(),
        ..Table::default()
    };
    for (form, name) in [(Format::Balancer, "apache"), (Format::Workers, "mod_jk")] {
        dir.put("exported", &form.render(&table));
        let (code, yaml) = dir.run(&["import", "exported", "--form", name, "--zone", "east"]);
        assert_eq!(code, Some(0), "{yaml}");
        let rows: Vec<&str> = yaml.lines().skip(1).collect();
        assert_eq!(rows.len(), 4, "{yaml}");
        let weight = |i: usize| -> f64 {
            rows[i]
                .rsplit("weight: ")
                .next()
                .unwrap()
                .trim_end_matches('}')
                .parse()
                .unwrap()
        };
        for (i, row) in rows.iter().enumerate() {
            let state = if i == 1 {
                "state: gone"
            } else {
                "state: ready"
            };
            assert!(
                row.contains(&format!("host-{i}"))
                    && row.contains(&format!(":{}\"", 80 + i))
                    && row.contains(state),
                "{row}"
            );
            let share = line(i).weight / line(0).weight;
            assert!((weight(i) / weight(0) - share).abs() < 0.01, "{row}");
        }
    }
    assert!(Path::new(&dir.0).exists());
}
