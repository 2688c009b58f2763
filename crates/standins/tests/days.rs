//! Plays the small scenarios against the real controller, and tests the checkers with controllers that have
//! an injected fault. Each scenario runs in a process of its own, in parallel with others.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;

fn scenario_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("days")
        .join(format!("{name}.yaml"))
}

/// Plays a scenario; returns its exit code and its report.
fn play(name: &str, fault: Option<&str>) -> (i32, Value) {
    play_with(name, fault, &[])
}

fn play_with(name: &str, fault: Option<&str>, arguments: &[&str]) -> (i32, Value) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint-standins"));
    command
        .arg("bad-day")
        .arg(scenario_file(name))
        .arg("--json");
    if let Some(fault) = fault {
        command.args(["--wrong", fault]);
    }
    command.args(arguments);
    let out = command.output().unwrap();
    let code = out.status.code().unwrap_or(-1);
    let errors = String::from_utf8_lossy(&out.stderr).to_string();
    let report = serde_json::from_slice(&out.stdout);
    (
        code,
        report.unwrap_or_else(|e| panic!("{name}: exit {code}, {e}: {errors}")),
    )
}

fn count(report: &Value, rule: usize, field: &str) -> u64 {
    report["rules"][rule][field].as_u64().unwrap()
}

/// Asserts that all rules are kept, and that those in `checked` were checked at least once.
fn assert_kept(name: &str, checked: &[usize]) -> Value {
    assert_kept_with(name, checked, &[])
}

fn assert_kept_with(name: &str, checked: &[usize], arguments: &[&str]) -> Value {
    let (code, report) = play_with(name, None, arguments);
    assert_eq!(code, 0, "{report:#}");
    for rule in checked {
        assert!(
            count(&report, *rule, "checked") > 0,
            "rule {} was not checked",
            rule + 1
        );
    }
    assert_eq!(report["controller"]["ended_orderly"], true);
    report
}

const ALL_RULES: [usize; 5] = [0, 1, 2, 3, 4];
const ALL_BUT_COLD: [usize; 4] = [0, 1, 2, 4];

#[test]
fn a_server_restarts_during_a_drain() {
    assert_kept("restart-during-drain", &ALL_RULES);
}

#[test]
fn the_controller_is_killed_within_a_tick_with_a_stale_roster() {
    let report = assert_kept("killed-mid-tick", &ALL_RULES);
    assert_eq!(report["controller"]["starts"], 3);
}

#[test]
fn the_channel_is_slow_while_servers_fail_fast() {
    assert_kept("slow-channel-fast-failures", &ALL_BUT_COLD);
}

#[test]
fn a_zone_is_cut_off() {
    assert_kept("zone-cut", &ALL_BUT_COLD);
}

#[test]
fn many_servers_fail_one_class() {
    assert_kept("class-fails", &ALL_BUT_COLD);
}

#[test]
fn proxies_refuse_stop_reading_and_flood() {
    assert_kept("odd-proxies", &ALL_BUT_COLD);
}

/// A scenario that the random search found.
#[test]
fn proxies_read_nothing_while_servers_are_gone() {
    assert_kept("deaf-while-gone", &ALL_BUT_COLD);
}

/// Under a flood of reports drains are still applied, and estimates stay close to the tries counted.
#[test]
fn a_storm_of_reports() {
    let report = assert_kept("report-storm", &ALL_BUT_COLD);
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
    assert_kept("everything", &ALL_RULES);
}

/// Scenarios with tables from files.
#[test]
fn tables_come_as_files() {
    let files = ["--front", "files"];
    let report = assert_kept_with("restart-during-drain", &ALL_RULES, &files);
    assert!(
        report["controller"]["files"]["published"].as_u64() > Some(8),
        "{report:#}"
    );
    let report = assert_kept_with("killed-mid-tick", &ALL_RULES, &files);
    assert_eq!(report["controller"]["starts"], 3);
}

#[test]
fn tables_come_by_both_fronts() {
    assert_kept_with("everything", &ALL_RULES, &["--front", "both"]);
}

/// The controller is killed twice, without and with a memory on disk.
#[test]
fn a_controller_with_a_memory_is_killed_repeatedly() {
    let report = assert_kept("killed-mid-tick", &ALL_RULES);
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

/// Each checker detects the controller that breaks its rule; the same setup without a fault passes.
#[test]
fn each_checker_detects_the_controller_that_breaks_its_rule() {
    let cases = [
        ("empties-tables", 0),
        ("retries-all", 1),
        ("ignores-drains", 2),
        ("floods-the-cold", 3),
        ("floods-the-channel", 4),
    ];
    let playing: Vec<_> = cases
        .into_iter()
        .map(|(fault, rule)| {
            std::thread::spawn(move || (fault, rule, play("sabotage", Some(fault))))
        })
        .collect();
    let (code, faultless) = play("sabotage", Some("nothing"));
    assert_eq!(code, 0, "{faultless:#}");
    for thread in playing {
        let (fault, rule, (code, report)) = thread.join().unwrap();
        assert_eq!(code, 1, "{fault} was not detected: {report:#}");
        assert!(count(&report, rule, "broken") > 0, "{fault}: {report:#}");
    }
}

/// If the planner itself is faulty, the guard keeps the rules as seen at the sockets; without the guard the same
/// orders break them.
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
        .map(|(fault, rule, reason)| {
            std::thread::spawn(move || {
                let unguarded = ["--in-module", "--guard", "off"];
                let unguarded = play_with("sabotage", Some(fault), &unguarded);
                let guarded = play_with("sabotage", Some(fault), &["--in-module"]);
                (fault, rule, reason, unguarded, guarded)
            })
        })
        .collect();
    for thread in playing {
        let (fault, rule, reason, (code, unguarded), (guarded_code, report)) =
            thread.join().unwrap();
        assert_eq!(code, 1, "{fault} has no effect: {unguarded:#}");
        assert!(
            count(&unguarded, rule, "broken") > 0,
            "{fault}: {unguarded:#}"
        );
        assert_eq!(guarded_code, 0, "{fault} got past the guard: {report:#}");
        let guard = &report["controller"]["guard"];
        match reason {
            "" => assert!(guard["withdrawn"].as_u64() > Some(0), "{fault}: {guard}"),
            code => assert!(
                guard["dangerous"][code].as_u64() > Some(0),
                "{fault}: {guard}"
            ),
        }
    }
}

/// Hooks that loop, fail or use up memory at every hook point, with tables from streams and from files: all rules
/// are kept, the hooks are cut off, and none of their wishes is in force.
#[test]
fn runaway_hooks_break_no_rule() {
    let hooks = Path::new(env!("CARGO_MANIFEST_DIR")).join("hooks/runaway");
    let hooks = hooks.to_str().unwrap();
    for arguments in [
        ["--hooks", hooks, "--front", "streams"],
        ["--hooks", hooks, "--front", "files"],
    ] {
        let report = assert_kept_with("restart-during-drain", &ALL_RULES, &arguments);
        let hooks = &report["controller"]["hooks"];
        let all = hooks["hooks"].as_array().unwrap();
        let sum = |what: &str| -> u64 { all.iter().filter_map(|h| h[what].as_u64()).sum() };
        assert!(sum("cut_off") > 3 && sum("failed") > 2, "{hooks:#}");
        assert_eq!(hooks["wishes"], serde_json::json!([]));
        assert_eq!(hooks["publications_held"], 0);
    }
}

/// The real proxy refuses an order that would run an effect twice. It follows other wrong orders, which the
/// checkers at the servers' sockets detect.
#[test]
fn the_real_proxy_never_runs_an_effect_twice_whatever_the_controller_orders() {
    let cases = [
        ("retries-all", 0),
        ("ignores-drains", 1),
        ("floods-the-cold", 1),
    ];
    let playing: Vec<_> = cases
        .into_iter()
        .map(|(fault, expected)| {
            std::thread::spawn(move || {
                (
                    fault,
                    expected,
                    play_with("sabotage", Some(fault), &["--proxies", "obedient"]),
                )
            })
        })
        .collect();
    for thread in playing {
        let (fault, expected, (code, report)) = thread.join().unwrap();
        assert_eq!(code, expected, "{fault}: {report:#}");
        assert!(
            count(&report, 1, "checked") > 0,
            "{fault}: no effect was checked"
        );
    }
}

#[test]
fn a_scenario_that_cannot_be_played_does_not_pass() {
    let out = Command::new(env!("CARGO_BIN_EXE_dahliapoint-standins"))
        .args(["bad-day", "no-such-day.yaml"])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(3));
}
