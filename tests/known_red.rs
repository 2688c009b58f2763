//! Tests of the CI script `.ci/tests`, which lets only tests named in `KNOWN-RED.txt` fail. The script is
//! the real one; a fake `cargo` lists and runs a few tests, some of which fail. Commands in the file are
//! checked and printed, and let no test fail.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The fake `cargo`. It lists `a::one`, `a::two`, `b::three`, `b::four`, and `c::twin` twice. It runs the
/// tests that are named, or all that are not skipped, and appends their names to the file `ran`. The tests
/// named in the file `failing` fail.
const CARGO: &str = r#"#!/usr/bin/env bash
all="a::one a::two b::three b::four"
shift
skipped="" named="" last=""
for word in "$@"; do
    case "$word" in
    --list)
        for t in $all c::twin c::twin; do echo "$t: test"; done
        exit 0 ;;
    -*) ;;
    *) if [ "$last" = --skip ]; then skipped="$skipped $word "; else named="$named $word "; fi ;;
    esac
    last="$word"
done
code=0
for t in $all; do
    case "$skipped" in *" $t "*) continue ;; esac
    if [ -n "$named" ]; then case "$named" in *" $t "*) ;; *) continue ;; esac; fi
    echo "$t" >>ran
    if grep -qFx "$t" failing; then code=101; fi
done
exit $code
"#;

/// A temporary folder with the fake `cargo`; removed when dropped.
struct TestRepo(PathBuf);

impl Drop for TestRepo {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl TestRepo {
    /// Creates the folder, with `KNOWN-RED.txt` if `known_red` has its text, and the names of failing tests.
    fn new(case: usize, known_red: Option<&str>, failing: &str) -> TestRepo {
        let name = format!("dahliapoint-known-red-{}-{case}", std::process::id());
        let repo = TestRepo(std::env::temp_dir().join(name));
        fs::create_dir_all(repo.0.join("bin")).unwrap();
        let cargo = repo.0.join("bin/cargo");
        fs::write(&cargo, CARGO).unwrap();
        fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).unwrap();
        fs::write(repo.0.join("failing"), failing).unwrap();
        repo.add_file("review/3/run.sh", "touch command-ran\n");
        repo.add_file("review/standin/src/cases.rs", "    \"return\" => Case {\n");
        repo.add_file("deploy/sites/depot.toml", "");
        if let Some(known_red) = known_red {
            fs::write(repo.0.join("KNOWN-RED.txt"), known_red).unwrap();
        }
        repo
    }

    /// Writes a file into the folder.
    fn add_file(&self, path: &str, text: &str) {
        let path = self.0.join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    /// Runs the script: whether it passed, its output, and the tests that ran.
    fn run(&self) -> (bool, String, String) {
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/tests");
        let path = std::env::var("PATH").unwrap();
        let out = Command::new(script)
            .arg(&self.0)
            .env("PATH", format!("{}:{path}", self.0.join("bin").display()))
            .output()
            .unwrap();
        let output = [out.stdout, out.stderr].concat();
        let ran = fs::read_to_string(self.0.join("ran")).unwrap_or_default();
        let output = String::from_utf8_lossy(&output).into_owned();
        (out.status.success(), output, ran.replace('\n', " "))
    }
}

#[test]
fn only_named_tests_may_fail_and_they_are_printed() {
    const ONE: &str = "a::one | the clock goes back | issue 7\n";
    const TWO: &str = "a::two | the clock stands | issue 8\n";
    const THREE: &str = "b::three | no clock | issue 9";
    type Case<'a> = (&'a str, Option<String>, &'a str, bool, &'a str, &'a str);
    let all = "a::one a::two b::three b::four ";
    let cases: Vec<Case> = vec![
        ("no file, none fails", None, "", true, "", all),
        ("no file, one fails", None, "a::one\n", false, "", all),
        (
            "an empty file is none",
            Some(String::new()),
            "a::one\n",
            false,
            "",
            all,
        ),
        (
            "the one that is named fails",
            Some(ONE.into()),
            "a::one\n",
            true,
            "known red, fails: a::one: the clock goes back (issue 7)",
            "a::one a::two b::three b::four ",
        ),
        (
            "it passes: said",
            Some(ONE.into()),
            "",
            true,
            "known red, PASSES NOW, take its line out: a::one",
            "a::one a::two b::three b::four ",
        ),
        (
            "another one fails",
            Some(ONE.into()),
            "a::one\na::two\n",
            false,
            "known red, fails: a::one",
            "a::one a::two b::three b::four ",
        ),
        (
            "three may",
            Some([ONE, TWO, THREE].concat()),
            "a::one\na::two\nb::three\n",
            true,
            "known red, fails: b::three: no clock (issue 9)",
            "a::one a::two b::three b::four ",
        ),
        (
            "four may not",
            Some([ONE, TWO, THREE, "\nb::four | x | issue 1"].concat()),
            "",
            false,
            "4 lines, 3 are allowed",
            "",
        ),
        (
            "no test has the name",
            Some("a::on | x | issue 7".into()),
            "",
            false,
            "0 tests have the name a::on",
            "",
        ),
        (
            "two tests have it",
            Some("c::twin | x | issue 7".into()),
            "",
            false,
            "2 tests have the name c::twin",
            "",
        ),
        (
            "no issue",
            Some("a::one | the clock goes back".into()),
            "",
            false,
            "not of the form",
            "",
        ),
        (
            "no cause",
            Some("a::one |  | issue 7".into()),
            "",
            false,
            "not of the form",
            "",
        ),
        (
            "a pattern",
            Some("a::* | x | issue 7".into()),
            "",
            false,
            "not of the form",
            "",
        ),
        (
            "an empty line",
            Some([ONE, "\n"].concat()),
            "",
            false,
            "not of the form",
            "",
        ),
    ];
    for (i, (case, known_red, failing, passes, text, ran)) in cases.into_iter().enumerate() {
        let out = TestRepo::new(i, known_red.as_deref(), failing).run();
        assert_eq!(out.0, passes, "{case}: {out:?}");
        assert!(out.1.contains(text), "{case}: {out:?}");
        assert_eq!(out.2, ran, "{case}: {out:?}");
    }
}

#[test]
fn commands_are_checked_and_printed_but_not_run_and_let_no_test_fail() {
    const SCRIPT: &str = "by hand: sh review/3/run.sh | rule 3 is broken | issue 38\n";
    const MODE: &str = "by hand: review-standin return | rule 1 is broken | issue 38\n";
    const DAY: &str =
        "by hand: lbreal ../other.toml --rough roll+mass --nodes 30 --seed 2 | rule 4 | issue 24\n";
    const OWN_SITE: &str =
        "by hand: lbreal deploy/sites/depot.toml --rough join --seed 3 | rule 4 | issue 24\n";
    const TEST: &str = "a::one | the clock goes back | issue 7\n";
    let all = "a::one a::two b::three b::four ";
    let known = [SCRIPT, MODE, DAY, OWN_SITE, TEST].concat();
    let printed = [
        "known red, not run here: sh review/3/run.sh: rule 3 is broken (issue 38)",
        "known red, not run here: review-standin return: rule 1 is broken (issue 38)",
        "known red, not run here: lbreal ../other.toml --rough roll+mass --nodes 30 --seed 2: rule 4 (issue 24)",
        "known red, not run here: lbreal deploy/sites/depot.toml --rough join --seed 3: rule 4 (issue 24)",
        "known red, fails: a::one: the clock goes back (issue 7)",
    ];
    for (i, (failing, passes)) in [("a::one\n", true), ("a::one\na::two\n", false)]
        .into_iter()
        .enumerate()
    {
        let repo = TestRepo::new(100 + i, Some(&known), failing);
        let (passed, output, ran) = repo.run();
        assert_eq!(passed, passes, "{output}");
        assert_eq!(ran, all, "{output}");
        let lines: Vec<&str> = output.lines().collect();
        assert!(printed.iter().all(|line| lines.contains(line)), "{output}");
        assert!(!repo.0.join("command-ran").exists());
    }

    let seven = SCRIPT.repeat(7);
    let refused = [
        (seven.as_str(), "7 commands, 6 are allowed"),
        (
            "by hand: sh review/4/run.sh | x | issue 38",
            "no such script",
        ),
        (
            "by hand: review-standin gone | x | issue 38",
            "no such mode",
        ),
        (
            "by hand: lbreal deploy/sites/gone.toml --rough join --seed 3 | x | issue 38",
            "no such site",
        ),
        (
            "by hand: lbreal ../other.toml --rough join | x | issue 38",
            "a command is not of the form",
        ),
        (
            "by hand: cargo test a::one | x | issue 38",
            "a command is not of the form",
        ),
        (
            "by hand: sh review/3/run.sh; true | x | issue 38",
            "a command is not of the form",
        ),
        (
            "by hand: sh review/3/run.sh | x",
            "a line is not of the form",
        ),
        (
            "by hand: sh review/3/run.sh |  | issue 38",
            "a line is not of the form",
        ),
    ];
    for (i, (known, text)) in refused.into_iter().enumerate() {
        let (passed, output, ran) = TestRepo::new(200 + i, Some(known), "").run();
        assert!(!passed && output.contains(text), "{known}: {output}");
        assert_eq!(ran, "", "{known}");
    }
}
