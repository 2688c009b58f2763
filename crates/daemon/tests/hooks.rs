//! Hooks in a running daemon: it keeps serving whatever they do, and their wishes take effect and end. Also the
//! command line for hook files.

use dahliapoint_control::record::{End, encode_outputs, replay};
use dahliapoint_control::{ControllerHandle, Input};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use serde_json::Value;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str) -> TestDir {
        let dir =
            std::env::temp_dir().join(format!("dahliapoint-hooks-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(dir.join("hooks")).unwrap();
        TestDir(dir)
    }

    fn hook(&self, name: &str, source: &str) {
        let path = self.0.join("hooks").join(name);
        std::fs::write(path.with_extension("aside"), source).unwrap();
        std::fs::rename(path.with_extension("aside"), path).unwrap();
    }

    /// Servers by number: state and weight.
    fn roster(&self, servers: &[(&str, f64)]) {
        let mut text = "servers:\n".to_string();
        for (i, (state, weight)) in servers.iter().enumerate() {
            let _ = writeln!(
                text,
                "- {{name: s{i}, address: '127.0.0.1:{}', zone: east, state: {state}, weight: {weight}}}",
                i + 1
            );
        }
        std::fs::write(self.0.join("aside"), text).unwrap();
        std::fs::rename(self.0.join("aside"), self.0.join("roster.yaml")).unwrap();
    }

    fn start(&self, more: &str, record: bool) -> Daemon {
        let text = format!(
            "service: portal\nzones: [east]\nclasses: [{{name: view, soft_limit: 1s}}]\nseed: 3\n\
             roster: {{file: roster.yaml, every: 20ms}}\nlisten: {{xds: '127.0.0.1:0'}}\nreports: {{every: 100ms}}\n\
             guard: tell\nhooks: {{dir: hooks, every: 20ms{more}}}\n"
        );
        let name = self.0.join("d.yaml").display().to_string();
        let deployment = deployment::parse(&name, &text).unwrap();
        let daemon = Daemon::start(
            &deployment,
            RosterSource::File,
            record.then(|| self.0.join("record")),
        )
        .unwrap();
        let joined = |n: u64| Input::Joined {
            session: n,
            proxy: format!("p{n}"),
            zone: "east".into(),
            visits_per_s: Some(10.0),
        };
        assert!((7..10).all(|n| daemon.controller().send(joined(n))));
        daemon
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

fn hook<'a>(view: &'a Value, name: &str) -> &'a Value {
    let all = view["hooks"]["hooks"].as_array().map_or(&[][..], |a| a);
    all.iter()
        .find(|h| h["hook"] == name)
        .unwrap_or(&Value::Null)
}

fn alerts(view: &Value) -> Vec<String> {
    let all = view["hooks"]["alerts"].as_array().into_iter().flatten();
    all.map(|a| a["text"].as_str().unwrap_or("").to_string())
        .collect()
}

const FIVE: [(&str, f64); 5] = [("ready", 1.0); 5];

#[test]
fn a_wish_drains_a_server_and_ends_when_its_hook_is_removed() {
    let dir = TestDir::new("drain");
    dir.roster(&FIVE);
    dir.hook(
        "a.hook",
        "on timer every 100ms { wish drain(server(\"s1\")) for 1h because \"pod\" }\n",
    );
    let daemon = dir.start("", false);
    let drained =
        |v: &Value| server(v, "s1")["state"] == "Draining" && server(v, "s1")["shut"] == true;
    let view = wait_for(&daemon, "s1 is drained", drained);
    assert_eq!(view["hooks"]["wishes"][0]["because"], "pod");
    std::fs::remove_file(dir.0.join("hooks/a.hook")).unwrap();
    wait_for(&daemon, "s1 is back", |v| {
        server(v, "s1")["state"] == "Ready" && server(v, "s1")["shut"] == false
    });
    daemon.end(Duration::from_secs(1));
}

/// At every hook point one hook loops, one fails, one exhausts its memory and one makes a wish and then loops; one more
/// hook is well-behaved. Rosters still take effect, the well-behaved hook runs, and no wish of a run that was cut off is
/// in force.
#[test]
fn runaway_hooks_at_every_point_block_nothing() {
    let dir = TestDir::new("runaway");
    dir.roster(&FIVE);
    let points = [
        ("before_publication(part, lines)", "p1"),
        ("after_publication(part, lines)", "p2"),
        ("roster_changed(changed)", "p3"),
        ("server_changed(s, before)", "p4"),
        ("proxy_joined(p)", "p5"),
        ("proxy_left(name)", "p6"),
        ("flagged(name, what)", "p7"),
        ("guard_held(part, reasons)", "p8"),
        ("timer every 100ms", "p9"),
    ];
    for (point, name) in points {
        dir.hook(
            &format!("{name}-loops.hook"),
            &format!("on {point} {{\nwhile true {{ }}\n}}\n"),
        );
        dir.hook(
            &format!("{name}-throws.hook"),
            &format!("on {point} {{\nfail \"no\"\n}}\n"),
        );
        let eats = "var t = \"x\"\nwhile true { t = t + t }";
        dir.hook(
            &format!("{name}-eats.hook"),
            &format!("on {point} {{\n{eats}\n}}\n"),
        );
        // Wishes of a run that is cut off do not take effect.
        let wish = if name == "p1" {
            "wish hold()"
        } else {
            "wish drain(server(\"s4\")) for 1h"
        };
        dir.hook(
            &format!("{name}-wishes.hook"),
            &format!("on {point} {{\n{wish}\nwhile true {{ }}\n}}\n"),
        );
    }
    dir.hook("good.hook", "keep turns: number\non timer every 100ms {\nturns = turns + 1\nif turns > 5 { wish annotate(\"turns\", \"many\") }\n}\n");
    let daemon = dir.start(
        ", steps: 1000000000, run: 5ms, publication: 1ms, roster: 20ms",
        false,
    );
    wait_for(&daemon, "a table is published", |v| {
        server(v, "s0")["weight"].as_f64() > Some(0.0)
    });
    for round in 0..3 {
        let mut servers = FIVE;
        servers[1].0 = if round == 1 { "ready" } else { "draining" };
        dir.roster(&servers);
        wait_for(&daemon, "the roster is in force", |v| {
            let wanted = if round == 1 { "Ready" } else { "Draining" };
            server(v, "s1")["state"] == wanted
        });
        daemon.controller().send(Input::Left(7 + round));
    }
    // The points that had an event: their hooks were cut off or failed, and the well-behaved hook ran.
    let points = [
        ("before_publication", "p1"),
        ("roster_changed", "p3"),
        ("server_changed", "p4"),
        ("timer", "p9"),
    ];
    let view = wait_for(&daemon, "all have run", |v| {
        let of = |kind: &str, point: &str, name: &str, what: &str| {
            hook(v, &format!("{name}-{kind}.hook on {point}"))[what].as_u64() > Some(0)
        };
        let ran = |(point, name): &(&str, &str)| {
            of("loops", point, name, "cut_off") && of("throws", point, name, "failed")
        };
        points.iter().all(ran) && v["hooks"]["notes"][0]["text"] == "many"
    });
    assert_eq!(server(&view, "s4")["state"], "Ready");
    assert_eq!(view["hooks"]["publications_held"], 0);
    assert!(
        view["hooks"]["wishes"].as_array().unwrap().is_empty(),
        "{}",
        view["hooks"]["wishes"]
    );
    daemon.end(Duration::from_secs(1));
}

/// While a hook holds publications, the published table stays, except that drains pass. A replay of the record ends in
/// the same state.
#[test]
fn a_publication_is_held_and_drains_pass() {
    let dir = TestDir::new("gate");
    dir.roster(&FIVE);
    dir.hook(
        "gate.hook",
        "on before_publication(part, lines) {\nfor l in lines {\nif l.weight > 1.5 {\nwish hold()\nwish alert(\"held \" + l.server)\n}\n}\n}\n",
    );
    let daemon = dir.start("", true);
    wait_for(&daemon, "a table is published", |v| {
        server(v, "s0")["weight"] == 1.0
    });
    dir.roster(&[
        ("ready", 1.0),
        ("ready", 1.0),
        ("ready", 1.0),
        ("ready", 1.0),
        ("ready", 3.0),
    ]);
    wait_for(&daemon, "the heavier line is held", |v| {
        v["hooks"]["publications_held"].as_u64() > Some(0)
            && alerts(v).contains(&"held s4".to_string())
    });
    dir.roster(&[
        ("ready", 1.0),
        ("draining", 1.0),
        ("ready", 1.0),
        ("ready", 1.0),
        ("ready", 3.0),
    ]);
    let view = wait_for(&daemon, "a drain passes", |v| {
        server(v, "s1")["shut"] == true
    });
    assert_eq!(server(&view, "s4")["weight"], 1.0);
    std::fs::remove_file(dir.0.join("hooks/gate.hook")).unwrap();
    wait_for(&daemon, "the held table is published", |v| {
        server(v, "s4")["weight"] == 3.0
    });
    daemon.end(Duration::from_secs(1));
    let file = std::fs::File::open(dir.0.join("record")).unwrap();
    let mut bytes = 0;
    let (controller, end) = replay(std::io::BufReader::new(file), |_, out| {
        bytes += encode_outputs(out).len()
    })
    .unwrap();
    assert_eq!(end, End::Complete);
    let again = controller.overview();
    let s4 = again.servers.iter().find(|s| &*s.name == "s4").unwrap();
    assert!(bytes > 0 && s4.weight == 3.0, "{again:?}");
}

#[test]
fn a_pinned_part_stays_and_is_released() {
    let dir = TestDir::new("pin");
    dir.roster(&FIVE);
    dir.hook("a.hook", "on timer every 100ms { wish pin(0) for 1h }\n");
    let daemon = dir.start("", false);
    wait_for(&daemon, "pinned, with a table", |v| {
        v["hooks"]["wishes"][0]["wish"] == "pin" && server(v, "s0")["weight"] == 1.0
    });
    dir.roster(&[
        ("ready", 1.0),
        ("ready", 1.0),
        ("ready", 1.0),
        ("gone", 1.0),
        ("ready", 3.0),
    ]);
    let view = wait_for(&daemon, "the server that is gone is withdrawn", |v| {
        server(v, "s3")["shut"] == true
    });
    assert_eq!(server(&view, "s4")["weight"], 1.0);
    dir.hook("a.hook", "on timer every 100ms { wish release(0) }\n");
    wait_for(&daemon, "released", |v| server(v, "s4")["weight"] == 3.0);
    daemon.end(Duration::from_secs(1));
}

#[test]
fn a_half_empty_roster_is_refused_until_a_valid_one_comes() {
    let dir = TestDir::new("roster");
    dir.roster(&FIVE);
    dir.hook(
        "a.hook",
        "on roster_changed(changed) {\nvar gone_ones = 0\nfor s in changed {\nif s.state == gone { gone_ones = gone_ones + 1 }\n}\n\
         if gone_ones > 2 { wish refuse_roster() for 10m because \"half of it is gone\" }\n}\n",
    );
    let daemon = dir.start("", false);
    wait_for(&daemon, "a table is published", |v| {
        server(v, "s0")["weight"] == 1.0
    });
    dir.roster(&[
        ("ready", 1.0),
        ("ready", 1.0),
        ("gone", 1.0),
        ("gone", 1.0),
        ("gone", 1.0),
    ]);
    let view = wait_for(&daemon, "it is refused", |v| {
        v["hooks"]["roster_refused"] == true
    });
    assert_eq!(server(&view, "s4")["state"], "Ready");
    dir.roster(&[
        ("ready", 1.0),
        ("ready", 1.0),
        ("ready", 1.0),
        ("ready", 1.0),
        ("draining", 1.0),
    ]);
    let view = wait_for(&daemon, "a valid one takes effect", |v| {
        server(v, "s4")["state"] == "Draining"
    });
    assert_eq!(view["hooks"]["roster_refused"], false);
    daemon.end(Duration::from_secs(1));
}

/// A set of hook files with a fault is refused as a whole, and a valid one replaces the old set as a whole. Kept values
/// survive both that and a restart.
#[test]
fn hook_sets_are_replaced_as_a_whole_and_kept_values_survive_a_restart() {
    let dir = TestDir::new("swap");
    dir.roster(&FIVE);
    let counts = |word: &str| {
        format!(
            "keep turns: number\non timer every 100ms {{\nturns = turns + 1\nwish annotate(\"{word}\", text(turns))\n}}\n"
        )
    };
    dir.hook("a.hook", &counts("one"));
    let more = "}\nmemory: {dir: memory";
    let daemon = dir.start(more, false);
    let turns = |v: &Value, key: &str| -> f64 {
        let notes = v["hooks"]["notes"].as_array().into_iter().flatten();
        let found = notes
            .filter(|n| n["key"] == key)
            .filter_map(|n| n["text"].as_str()?.parse().ok());
        found.fold(0.0, f64::max)
    };
    wait_for(&daemon, "it counts", |v| turns(v, "one") >= 3.0);
    dir.hook("b.hook", "on timer every 100ms { wish drain(5) }\n");
    let view = wait_for(&daemon, "the fault is in the status", |v| {
        !v["hooks"]["fault"].is_null()
    });
    let fault = view["hooks"]["fault"].as_str().unwrap();
    assert!(fault.contains("b.hook:1:35: a server is wanted"), "{fault}");
    let (version, so_far) = (view["hooks"]["version"].clone(), turns(&view, "one"));
    wait_for(&daemon, "the old set goes on", |v| {
        turns(v, "one") > so_far && v["hooks"]["version"] == version
    });
    std::fs::remove_file(dir.0.join("hooks/b.hook")).unwrap();
    dir.hook("a.hook", &counts("two"));
    let view = wait_for(&daemon, "the new set counts on", |v| {
        turns(v, "two") > so_far
    });
    assert!(view["hooks"]["fault"].is_null());
    daemon.end(Duration::from_secs(1));
    let daemon = dir.start(more, false);
    let view = wait_for(&daemon, "it counts on", |v| turns(v, "two") > 0.0);
    assert!(turns(&view, "two") > so_far, "{}", view["hooks"]);
    daemon.end(Duration::from_secs(1));
}

#[test]
fn a_daemon_does_not_start_with_a_broken_hook() {
    let dir = TestDir::new("broken");
    dir.roster(&FIVE);
    dir.hook("a.hook", "on timer every 10s { wish drian() }\n");
    let text = "service: portal\nzones: [east]\nclasses: [{name: view, soft_limit: 1s}]\nroster: {file: roster.yaml}\n\
                listen: {xds: '127.0.0.1:0'}\nhooks: {dir: hooks}\n";
    std::fs::write(dir.0.join("d.yaml"), text).unwrap();
    let out = program(&["run".as_ref(), dir.0.join("d.yaml").as_ref()]);
    assert_eq!(out.0, Some(2), "{}", out.1);
    assert!(
        out.1.contains("a.hook:1:27: nobody can wish for \"drian\"")
            && out.1.contains("did you mean drain?"),
        "{}",
        out.1
    );
}

fn program(line: &[&Path]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_dahliapoint"))
        .args(line)
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    (out.status.code(), said.to_string())
}

#[test]
fn the_examples_are_checked_formatted_and_tested() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/hooks");
    let hooks: Vec<PathBuf> = std::fs::read_dir(dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .filter(|p| p.extension().is_some_and(|e| e == "hook"))
        .collect();
    assert!(hooks.len() >= 3);
    for file in &hooks {
        for line in [vec!["check"], vec!["fmt", "--check"], vec!["test"]] {
            let mut words: Vec<&Path> = vec!["hook".as_ref()];
            words.extend(line.iter().map(|w| Path::new(*w)));
            words.push(file);
            let (code, said) = program(&words);
            assert_eq!(code, Some(0), "{line:?} {said}");
        }
    }
    let dir = TestDir::new("cli");
    let (file, night) = (dir.0.join("x.hook"), dir.0.join("x.test.yaml"));
    std::fs::write(&file, "on timer every 1s{wish alert(\"a\")}\n").unwrap();
    let nights = [
        (
            "steps: [{on: timer, wishes: ['alert: a']}]\n",
            Some(0),
            "as wanted",
        ),
        (
            "steps: [{on: timer, wishes: ['alert: b']}]\n",
            Some(1),
            "wanted [\"alert: b\"]",
        ),
        (
            "steps: [{on: timer, fails: 'oh'}]\n",
            Some(1),
            "wanted a fault",
        ),
        ("steps: [{on: tiemr}]\n", Some(2), ":1: steps[0].on"),
    ];
    for (text, code, wanted) in nights {
        std::fs::write(&night, text).unwrap();
        let (found, said) = program(&["hook".as_ref(), "test".as_ref(), &file]);
        assert!(
            found == code && said.contains(wanted),
            "{text}: {found:?} {said}"
        );
    }
    let (code, said) = program(&["hook".as_ref(), "fmt".as_ref(), "--check".as_ref(), &file]);
    assert_eq!(code, Some(1), "{said}");
    assert_eq!(
        program(&["hook".as_ref(), "fmt".as_ref(), &file]).0,
        Some(0)
    );
    assert_eq!(
        std::fs::read_to_string(&file).unwrap(),
        "on timer every 1s {\n    wish alert(\"a\")\n}\n"
    );
}

/// A hook wishes to drain all servers; the last ready one of a zone stays ready.
#[test]
fn the_last_ready_server_is_not_drained() {
    let dir = TestDir::new("last");
    dir.roster(&[("ready", 1.0), ("draining", 1.0), ("gone", 1.0)]);
    dir.hook(
        "a.hook",
        "on timer every 100ms {\nfor s in servers() { wish drain(s) for 1h }\n}\n",
    );
    let daemon = dir.start("", false);
    let view = wait_for(&daemon, "it is overruled", |v| {
        v["hooks"]["overruled"]
            .as_array()
            .is_some_and(|a| !a.is_empty())
    });
    assert_eq!(server(&view, "s0")["state"], "Ready");
    daemon.end(Duration::from_secs(1));
}
