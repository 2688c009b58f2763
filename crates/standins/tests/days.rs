//! The small bad days against the real controller, and the checkers against controllers that break a
//! rule on purpose. Each day is a process of its own; days play side by side.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

fn day(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("days")
        .join(format!("{name}.yaml"))
}

/// Plays a day; its exit code and its report.
fn play(name: &str, wrong: Option<&str>) -> (i32, Value) {
    play_with(name, wrong, &[])
}

fn play_with(name: &str, wrong: Option<&str>, more: &[&str]) -> (i32, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint-standins"));
    command.arg("bad-day").arg(day(name)).arg("--json");
    if let Some(wrong) = wrong {
        command.args(["--wrong", wrong]);
    }
    command.args(more);
    let out = command.output().unwrap();
    let code = out.status.code().unwrap_or(-1);
    let said = String::from_utf8_lossy(&out.stderr).to_string();
    let report = serde_json::from_slice(&out.stdout);
    (
        code,
        report.unwrap_or_else(|e| panic!("{name}: exit {code}, {e}: {said}")),
    )
}

fn count(report: &Value, rule: usize, what: &str) -> u64 {
    report["rules"][rule][what].as_u64().unwrap()
}

/// All rules are kept, and none of them because nothing was looked at.
fn keeps(name: &str, checked: &[usize]) -> Value {
    keeps_with(name, checked, &[])
}

fn keeps_with(name: &str, checked: &[usize], more: &[&str]) -> Value {
    let (code, report) = play_with(name, None, more);
    assert_eq!(code, 0, "{report:#}");
    for rule in checked {
        assert!(
            count(&report, *rule, "checked") > 0,
            "rule {} was not looked at",
            rule + 1
        );
    }
    assert_eq!(report["controller"]["ended_orderly"], true);
    report
}

const ALL: [usize; 5] = [0, 1, 2, 3, 4];
const NO_COLD: [usize; 4] = [0, 1, 2, 4];

#[test]
fn a_pod_restarts_during_a_drain() {
    keeps("restart-during-drain", &ALL);
}

#[test]
fn the_controller_is_killed_within_a_tick_with_a_stale_roster() {
    let report = keeps("killed-mid-tick", &ALL);
    assert_eq!(report["controller"]["starts"], 3);
}

#[test]
fn the_channel_is_slow_while_servers_fail_fast() {
    keeps("slow-channel-fast-failures", &NO_COLD);
}

#[test]
fn a_zone_is_cut_off() {
    keeps("zone-cut", &NO_COLD);
}

#[test]
fn many_servers_fail_one_class() {
    keeps("class-fails", &NO_COLD);
}

#[test]
fn proxies_refuse_stop_reading_and_flood() {
    keeps("odd-proxies", &NO_COLD);
}

/// Found by hunt.
#[test]
fn proxies_read_nothing_while_servers_are_gone() {
    keeps("deaf-while-gone", &NO_COLD);
}

/// Whatever the storm, drains are heard, and estimates stay near what was tried.
#[test]
fn a_storm_of_reports() {
    let report = keeps("report-storm", &NO_COLD);
    let estimates = &report["estimates"];
    assert!(estimates["checked"].as_u64().unwrap() > 0, "{estimates}");
    assert!(
        estimates["median_error"].as_f64().unwrap() < 0.2,
        "{estimates}"
    );
    assert_eq!(estimates["false_flags"], 0, "{estimates}");
}

#[test]
fn everything_in_one_day() {
    keeps("everything", &ALL);
}

/// The same days over files, and over both fronts at once.
#[test]
fn tables_come_as_files() {
    let files = ["--front", "files"];
    let report = keeps_with("restart-during-drain", &ALL, &files);
    assert!(
        report["controller"]["files"]["published"].as_u64() > Some(8),
        "{report:#}"
    );
    let report = keeps_with("killed-mid-tick", &ALL, &files);
    assert_eq!(report["controller"]["starts"], 3);
}

#[test]
fn tables_come_by_both_fronts() {
    keeps_with("everything", &ALL, &["--front", "both"]);
}

/// Killed twice, without and with what it knew.
#[test]
fn a_controller_that_remembers_is_killed_again_and_again() {
    let report = keeps("killed-mid-tick", &ALL);
    let (code, remembered) = play_with("killed-mid-tick", None, &["--memory"]);
    assert_eq!(code, 0, "{remembered:#}");
    let starts = |r: &Value| r["controller"]["starts"].clone();
    assert_eq!(starts(&remembered), starts(&report));
    let found = &remembered["controller"]["memory"]["found"];
    assert!(
        found["snapshot"].is_u64() && found["passed_over"] == serde_json::json!([]),
        "{found}"
    );
}

/// Each checker catches its saboteur; the same parts without sabotage pass.
#[test]
fn the_checkers_catch_who_breaks_their_rule() {
    let cases = [
        ("empties-tables", 0),
        ("retries-all", 1),
        ("ignores-drains", 2),
        ("floods-the-cold", 3),
        ("floods-the-channel", 4),
    ];
    let playing: Vec<_> = cases
        .into_iter()
        .map(|(wrong, rule)| {
            std::thread::spawn(move || (wrong, rule, play("sabotage", Some(wrong))))
        })
        .collect();
    let (code, honest) = play("sabotage", Some("nothing"));
    assert_eq!(code, 0, "{honest:#}");
    for thread in playing {
        let (wrong, rule, (code, report)) = thread.join().unwrap();
        assert_eq!(code, 1, "{wrong} was not caught: {report:#}");
        assert!(count(&report, rule, "broken") > 0, "{wrong}: {report:#}");
    }
}

/// With a module that is wrong itself, the guard keeps the rules at the sockets; without it the same orders break
/// them.
#[test]
fn the_guard_keeps_the_rules_when_the_module_breaks_them() {
    let cases = [
        ("empties-tables", 0, "empty"),
        ("retries-all", 1, "repeats"),
        ("ignores-drains", 2, ""),
        ("floods-the-cold", 3, "cold"),
        ("floods-the-channel", 4, "channel"),
    ];
    let playing: Vec<_> = cases
        .into_iter()
        .map(|(wrong, rule, reason)| {
            std::thread::spawn(move || {
                let bare = ["--in-module", "--guard", "off"];
                let bare = play_with("sabotage", Some(wrong), &bare);
                let held = play_with("sabotage", Some(wrong), &["--in-module"]);
                (wrong, rule, reason, bare, held)
            })
        })
        .collect();
    for thread in playing {
        let (wrong, rule, reason, (code, bare), (held, report)) = thread.join().unwrap();
        assert_eq!(code, 1, "{wrong} does nothing: {bare:#}");
        assert!(count(&bare, rule, "broken") > 0, "{wrong}: {bare:#}");
        assert_eq!(held, 0, "{wrong} was not held: {report:#}");
        let guard = &report["controller"]["guard"];
        match reason {
            "" => assert!(guard["withdrawn"].as_u64() > Some(0), "{wrong}: {guard}"),
            code => assert!(
                guard["dangerous"][code].as_u64() > Some(0),
                "{wrong}: {guard}"
            ),
        }
    }
}

/// Hooks that loop, throw or eat memory at every hook point at once, over both fronts: all rules are kept, each is
/// cut off, and nothing that they wished is in force.
#[test]
fn runaway_hooks_break_no_rule() {
    let hooks = Path::new(env!("CARGO_MANIFEST_DIR")).join("hooks/runaway");
    let hooks = hooks.to_str().unwrap();
    for more in [
        ["--hooks", hooks, "--front", "streams"],
        ["--hooks", hooks, "--front", "files"],
    ] {
        let report = keeps_with("restart-during-drain", &ALL, &more);
        let told = &report["controller"]["hooks"];
        let all = told["hooks"].as_array().unwrap();
        let sum = |what: &str| -> u64 { all.iter().filter_map(|h| h[what].as_u64()).sum() };
        assert!(sum("cut_off") > 3 && sum("failed") > 2, "{told:#}");
        assert_eq!(told["wishes"], serde_json::json!([]));
        assert_eq!(told["publications_held"], 0);
    }
}

/// An order that would run an effect twice is not obeyed by the obedient proxy; orders that its rules do
/// not concern are, and the checkers at the servers' sockets see them.
#[test]
fn the_obedient_proxy_keeps_effects_from_running_twice_whatever_it_is_told() {
    let cases = [
        ("retries-all", 0),
        ("ignores-drains", 1),
        ("floods-the-cold", 1),
    ];
    let playing: Vec<_> = cases
        .into_iter()
        .map(|(wrong, wanted)| {
            std::thread::spawn(move || {
                (
                    wrong,
                    wanted,
                    play_with("sabotage", Some(wrong), &["--proxies", "obedient"]),
                )
            })
        })
        .collect();
    for thread in playing {
        let (wrong, wanted, (code, report)) = thread.join().unwrap();
        assert_eq!(code, wanted, "{wrong}: {report:#}");
        assert!(
            count(&report, 1, "checked") > 0,
            "{wrong}: no effect was seen"
        );
    }
}

#[test]
fn a_day_that_cannot_be_played_is_no_day_that_was_kept() {
    let out = Command::new(env!("CARGO_BIN_EXE_dahliapoint-standins"))
        .args(["bad-day", "no-such-day.yaml"])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(3));
}
