//! Both formats: which files are read and which refused, with the line; and that writing back changes nothing but the
//! given weights and states.

use dahliapoint_import::{ConfigFormat, FileSource, HostState, Import, ImportOptions, read};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// A file source in memory.
#[derive(Clone, Default)]
struct MemoryFiles(BTreeMap<String, String>);

impl MemoryFiles {
    fn of(files: &[(&str, &str)]) -> MemoryFiles {
        MemoryFiles(
            files
                .iter()
                .map(|(p, t)| (p.to_string(), t.to_string()))
                .collect(),
        )
    }
}

impl FileSource for MemoryFiles {
    fn read(&mut self, path: &str) -> Result<String, String> {
        self.0
            .get(path)
            .cloned()
            .ok_or("there is no such file".into())
    }

    fn list(&mut self, dir: &str) -> Result<Vec<String>, String> {
        let prefix = if dir == "." {
            String::new()
        } else {
            format!("{dir}/")
        };
        let names = self.0.keys().filter_map(|p| p.strip_prefix(&prefix));
        let names: Vec<String> = names
            .filter(|n| !n.contains('/'))
            .map(str::to_string)
            .collect();
        match names.is_empty() {
            true => Err("there is no such folder".into()),
            false => Ok(names),
        }
    }
}

use HostState::{Draining, Gone, Ready};

fn summary(import: &Import) -> Vec<(&str, &str, f64, HostState)> {
    import
        .hosts
        .iter()
        .map(|h| (&*h.name, &*h.address, h.weight, h.state))
        .collect()
}

const APACHE: &str = "# portal\nListen 80\n<Proxy \"balancer://portal\">\n  BalancerMember http://10.0.0.1:8080 route=a loadfactor=2\n  \
    BalancerMember \"http://10.0.0.2:8080\" route=b status=+N ping=5\n</Proxy>\n";

#[test]
fn apache_is_read() {
    type Summary<'a> = (&'a str, &'a str, f64, HostState);
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a [Summary<'a>]);
    let cases: [Case; 9] = [
        (
            "members in a section",
            &[(
                "h.conf",
                "<Proxy balancer://p/>\nbalancermember http://10.0.0.1 route=a loadfactor=2.5\nBalancerMember ajp://[::1] status=+D\n</Proxy>\n",
            )],
            &[
                ("a", "10.0.0.1:80", 2.5, Ready),
                ("[::1]:8009", "[::1]:8009", 1.0, Gone),
            ],
        ),
        (
            "a member that names its balancer, over two lines",
            &[(
                "h.conf",
                "BalancerMember balancer://p https://10.0.0.1 \\\n  status=N\n",
            )],
            &[("10.0.0.1:443", "10.0.0.1:443", 1.0, Draining)],
        ),
        (
            "variables",
            &[(
                "h.conf",
                "Define NET 10.0.0\nDefine ONE ${NET}.1\nDefine LF 3\n<Proxy balancer://p>\nBalancerMember http://${ONE}:81 loadfactor=${LF}\n</Proxy>\n",
            )],
            &[("10.0.0.1:81", "10.0.0.1:81", 3.0, Ready)],
        ),
        (
            "includes, by pattern, optional ones missing",
            &[
                (
                    "c/h.conf",
                    "Include more/*.conf\nIncludeOptional none/*.conf\nIncludeOptional nothing.conf\n",
                ),
                (
                    "c/more/1.conf",
                    "<Proxy balancer://p>\nInclude inner.inc\n</Proxy>\n",
                ),
                ("c/inner.inc", "BalancerMember http://10.0.0.1\n"),
                (
                    "c/more/2.conf",
                    "BalancerMember balancer://p http://10.0.0.2\n",
                ),
            ],
            &[
                ("10.0.0.1:80", "10.0.0.1:80", 1.0, Ready),
                ("10.0.0.2:80", "10.0.0.2:80", 1.0, Ready),
            ],
        ),
        (
            "the same member twice",
            &[(
                "h.conf",
                "BalancerMember balancer://p http://10.0.0.1 route=a\nBalancerMember balancer://p http://10.0.0.1 route=a loadfactor=1\n",
            )],
            &[("a", "10.0.0.1:80", 1.0, Ready)],
        ),
        (
            "status letters that are kept, and letters taken back",
            &[(
                "h.conf",
                "BalancerMember balancer://p http://10.0.0.1 status=+I-D-H\nBalancerMember balancer://p http://10.0.0.2 status=SN\n",
            )],
            &[
                ("10.0.0.1:80", "10.0.0.1:80", 1.0, Ready),
                ("10.0.0.2:80", "10.0.0.2:80", 1.0, Gone),
            ],
        ),
        (
            "an assumed condition, and one without members",
            &[(
                "h.conf",
                "<IfModule mod_proxy_balancer.c>\nBalancerMember balancer://p http://10.0.0.1\n</IfModule>\n<IfModule other.c>\nListen 81\n</IfModule>\n",
            )],
            &[("10.0.0.1:80", "10.0.0.1:80", 1.0, Ready)],
        ),
        (
            "another balancer besides the selected one",
            &[(
                "h.conf",
                "BalancerMember balancer://p http://10.0.0.1\nBalancerMember balancer://q http://10.0.0.1 loadfactor=9\n",
            )],
            &[("10.0.0.1:80", "10.0.0.1:80", 1.0, Ready)],
        ),
        (
            "settings of the balancer",
            &[(
                "h.conf",
                "<Proxy balancer://p>\nBalancerMember http://localhost:81\nProxySet lbmethod=byrequests\n</Proxy>\nProxySet balancer://p timeout=5\n",
            )],
            &[("127.0.0.1:81", "127.0.0.1:81", 1.0, Ready)],
        ),
    ];
    for (name, files, expected) in cases {
        let options = ImportOptions {
            balancer: Some("p".into()),
            assumed_conditions: vec!["mod_proxy_balancer.c".into()],
            base_dir: None,
        };
        let found = read(
            &mut MemoryFiles::of(files),
            files[0].0,
            ConfigFormat::Apache,
            &options,
        );
        assert_eq!(found.as_ref().map(summary), Ok(expected.to_vec()), "{name}");
    }
}

#[test]
fn apache_refuses_what_it_would_have_to_guess() {
    let member = "BalancerMember balancer://p http://10.0.0.1";
    let cases: Vec<(String, usize, &str)> = vec![
        (
            format!("{member} route=a loadfactor=1\n\n{member} route=a loadfactor=2\n"),
            3,
            "\"a\" weighs 2 here and 1 at h.conf:1",
        ),
        (
            format!("{member} route=a\n{member} route=b\n"),
            2,
            "is called \"b\" here and \"a\" at h.conf:1",
        ),
        (
            format!("{member} route=a\nBalancerMember balancer://p http://10.0.0.2 route=a\n"),
            2,
            "is 10.0.0.2:80 here and 10.0.0.1:80",
        ),
        (
            format!("{member} status=+D\n{member}\n"),
            2,
            "is ready here and gone at h.conf:1",
        ),
        (
            "\nInclude missing.conf\n".into(),
            2,
            "missing.conf: there is no such file",
        ),
        ("Include d/*.conf\n".into(), 1, "d: there is no such folder"),
        ("Include h.conf\n".into(), 1, "h.conf includes itself"),
        (
            format!("<IfModule x.c>\n{member}\n</IfModule>\n"),
            2,
            "within <IfModule x.c> of line 1",
        ),
        (
            format!("<IfDefine !A>\n{member}\n</IfDefine>\n"),
            2,
            "whether that holds is not known",
        ),
        (
            "<If \"true\">\nInclude x\n</If>\n".into(),
            2,
            "a file is included within <If>",
        ),
        (format!("{member}:${{PORT}}\n"), 1, "${PORT} is not defined"),
        (
            format!("<IfDefine A>\nDefine PORT 1\n</IfDefine>\n{member}:${{PORT}}\n"),
            4,
            "not known whether that holds",
        ),
        (
            "Define A ${A}\nDefine A x${A}\n".into(),
            1,
            "${A} is not defined",
        ),
        (format!("{member} loadfactor=0.5\n"), 1, "from 1 to 100"),
        (format!("{member} loadfactor=x\n"), 1, "from 1 to 100"),
        (
            format!("{member} loadfactor=1 loadfactor=2\n"),
            1,
            "loadfactor is set twice",
        ),
        (format!("{member} status=+H\n"), 1, "a spare"),
        (format!("{member} status=+E\n"), 1, "no setting"),
        (format!("{member} status=X\n"), 1, "is not a status letter"),
        (format!("{member} status=+\n"), 1, "a letter is expected"),
        (
            format!("{member} twice\n"),
            1,
            "a setting such as loadfactor=2",
        ),
        (
            "BalancerMember http://10.0.0.1\n".into(),
            1,
            "names its balancer first",
        ),
        (
            "BalancerMember balancer://p http://portal.example\n".into(),
            1,
            "names are not looked up",
        ),
        (
            "BalancerMember balancer://p unix:/s|http://x/\n".into(),
            1,
            "Unix sockets are not supported",
        ),
        (
            "BalancerMember balancer://p http://10.0.0.1:0\n".into(),
            1,
            "is not a port",
        ),
        (
            format!("{member}\nProxySet http://10.0.0.1 loadfactor=3\n"),
            2,
            "is to stand at its BalancerMember",
        ),
        (
            format!("{member}\n<Proxy http://10.0.0.1>\nProxySet status=+D\n</Proxy>\n"),
            3,
            "is to stand at",
        ),
        (
            "<Proxy balancer://p>\n</Location>\n".into(),
            2,
            "where <proxy> of line 1 is open",
        ),
        ("<Proxy balancer://p>\n".into(), 1, "is not closed"),
        ("</Proxy>\n".into(), 1, "closes nothing"),
        (format!("{member} \"x\n"), 1, "a \" is missing"),
        ("Listen 80\n".into(), 1, "no balancer has a member"),
        (
            format!("{member}\nBalancerMember balancer://q http://10.0.0.2\n"),
            1,
            "say which of p, q",
        ),
    ];
    for (text, line, expected) in cases {
        let faults = read(
            &mut MemoryFiles::of(&[("h.conf", &text)]),
            "h.conf",
            ConfigFormat::Apache,
            &ImportOptions::default(),
        )
        .unwrap_err();
        let found = faults
            .iter()
            .any(|f| f.location.line == line && f.message.contains(expected));
        assert!(found, "{text}: {faults:?}");
    }
    let deep: Vec<(String, String)> = (0..30)
        .map(|i| (format!("{i}"), format!("Include {}\n", i + 1)))
        .collect();
    let deep: Vec<(&str, &str)> = deep.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
    let faults = read(
        &mut MemoryFiles::of(&deep),
        "0",
        ConfigFormat::Apache,
        &ImportOptions::default(),
    )
    .unwrap_err();
    assert!(
        faults
            .iter()
            .any(|f| f.message.contains("nested more than 16 deep")),
        "{faults:?}"
    );
}

const JK: &str = "# portal\nnet=10.0.0\nworker.list=portal,status\nworker.portal.type=lb\nworker.portal.balance_workers=a, b\n\
    worker.t.type=ajp13\nworker.t.lbfactor=3\nworker.a.reference=worker.t\nworker.a.host=$(net).1 # first\nworker.b.host=10.0.0.2\n\
    worker.b.port=8010\nworker.b.activation=D\nworker.b.domain=west\nworker.status.type=status\n";

#[test]
fn jk_is_read() {
    let found = read(
        &mut MemoryFiles::of(&[("w", JK)]),
        "w",
        ConfigFormat::Jk,
        &ImportOptions::default(),
    )
    .unwrap();
    assert_eq!(
        summary(&found),
        [
            ("a", "10.0.0.1:8009", 3.0, Ready),
            ("b", "10.0.0.2:8010", 1.0, Draining)
        ]
    );
    assert_eq!(found.balancer, "portal");
    assert_eq!(found.host("b").unwrap().domain.as_deref(), Some("west"));
}

#[test]
fn jk_refuses_what_it_would_have_to_guess() {
    let base =
        "worker.list=p\nworker.p.type=lb\nworker.p.balance_workers=a\nworker.a.host=10.0.0.1\n";
    let cases: Vec<(String, usize, &str)> = vec![
        (
            format!("{base}worker.a.lbfactor=1\n#\nworker.a.lbfactor=2\n"),
            7,
            "lbfactor of \"a\" is \"2\" here and \"1\" in line 5",
        ),
        (
            format!("{base}worker.a.lbfactor=0\n"),
            5,
            "whole number from 1",
        ),
        (format!("{base}worker.a.lbfactor=1.5\n"), 5, "whole number"),
        (format!("{base}worker.a.activation=maybe\n"), 5, "A, D or S"),
        (
            format!("{base}worker.a.disabled=True\n"),
            5,
            "write activation=D",
        ),
        (format!("{base}worker.a.type=lb\n"), 5, "ajp13 or ajp14"),
        (
            format!("{base}worker.a.port=$(port)\n"),
            5,
            "$(port) is not set before",
        ),
        (
            format!("{base}worker.a.reference=worker.none\n"),
            5,
            "no such worker",
        ),
        (
            format!("{base}worker.p.balance_workers=b\n"),
            5,
            "worker \"b\" has no properties",
        ),
        (
            format!("{base}worker.p.balance_workers=a\n"),
            5,
            "balanced twice; first in line 3",
        ),
        (format!("{base}nonsense\n"), 5, "a line such as"),
        (format!("{base}=x\n"), 5, "a name is expected"),
        (
            base.replace("10.0.0.1", "portal.example"),
            4,
            "names are not looked up",
        ),
        (
            "worker.list=a\nworker.a.type=ajp13\n".into(),
            1,
            "no worker of type lb",
        ),
        (
            "worker.p.type=lb\nworker.q.type=lb\n".into(),
            1,
            "say which of p, q",
        ),
        ("worker.p.type=lb\n".into(), 1, "balances nobody"),
        (
            format!("{base}worker.p.balance_workers=b\nworker.b.host=10.0.0.1\n"),
            6,
            "is called \"b\" here and \"a\"",
        ),
    ];
    for (text, line, expected) in cases {
        let faults = read(
            &mut MemoryFiles::of(&[("w", &text)]),
            "w",
            ConfigFormat::Jk,
            &ImportOptions::default(),
        )
        .unwrap_err();
        let found = faults
            .iter()
            .any(|f| f.location.line == line && f.message.contains(expected));
        assert!(found, "{text}: {faults:?}");
    }
}

fn changes(all: &[(&str, f64, HostState)]) -> BTreeMap<String, (f64, HostState)> {
    all.iter()
        .map(|(n, w, s)| (n.to_string(), (*w, *s)))
        .collect()
}

#[test]
fn writing_back_changes_nothing_else() {
    let apache = read(
        &mut MemoryFiles::of(&[("h", APACHE)]),
        "h",
        ConfigFormat::Apache,
        &ImportOptions::default(),
    )
    .unwrap();
    let same = apache
        .with_changes(&changes(&[("a", 2.0, Ready), ("b", 1.0, Draining)]))
        .unwrap();
    assert_eq!(same[0].text, APACHE);
    let other = apache
        .with_changes(&changes(&[("a", 3.25, Gone), ("b", 4.0, Ready)]))
        .unwrap();
    let expected = APACHE
        .replace("loadfactor=2", "loadfactor=3.25 status=+D")
        .replace("status=+N ping=5", "status=-D ping=5 loadfactor=4");
    assert_eq!(other[0].text, expected);
    for (name, weight, state) in [
        ("nobody", 1.0, Ready),
        ("a", 0.5, Ready),
        ("a", 2.005, Ready),
    ] {
        assert!(
            apache
                .with_changes(&changes(&[(name, weight, state)]))
                .is_err(),
            "{name} {weight}"
        );
    }
    let jk = read(
        &mut MemoryFiles::of(&[("w", JK)]),
        "w",
        ConfigFormat::Jk,
        &ImportOptions::default(),
    )
    .unwrap();
    assert_eq!(jk.with_changes(&BTreeMap::new()).unwrap()[0].text, JK);
    let other = jk
        .with_changes(&changes(&[("a", 5.0, Gone), ("b", 1.0, Ready)]))
        .unwrap();
    // The template that other workers refer to stays.
    let expected = JK
        .replace(
            "$(net).1 # first",
            "$(net).1 # first\nworker.a.lbfactor=5\nworker.a.activation=S",
        )
        .replace("activation=D", "activation=A");
    assert_eq!(other[0].text, expected);
}

/// Generated files with comments, white space, line ends and quotes of all kinds.
fn generated_file(format: ConfigFormat) -> impl Strategy<Value = (String, Vec<(f64, u8)>)> {
    let host = (
        1_u32..=100,
        0_u8..4,
        0_u8..3,
        "[ \t]{1,3}",
        any::<bool>(),
        "(#[ a-z=+]{0,12})?",
    );
    (
        proptest::collection::vec(host, 1..7),
        any::<bool>(),
        proptest::collection::vec((1_u32..=100, 0_u8..3), 7),
    )
        .prop_map(move |(hosts, crlf, next)| {
            let end = if crlf { "\r\n" } else { "\n" };
            let mut out = format!("# begins{end}{end}");
            let names: Vec<String> = (0..hosts.len()).map(|i| format!("h{i}")).collect();
            if format == ConfigFormat::Jk {
                out += &format!(
                    "worker.list=p{end}worker.p.type=lb{end}worker.p.balance_workers={}{end}",
                    names.join(",")
                );
            } else {
                out += &format!("<Proxy \"balancer://p\">{end}");
            }
            for (i, (weight, state, form, space, quoted, comment)) in hosts.iter().enumerate() {
                if format == ConfigFormat::Jk {
                    out += &format!(
                        "worker.h{i}.host{space}={space}10.0.0.{}{space}{comment}{end}",
                        i + 1
                    );
                    if form % 2 == 0 {
                        out += &format!("worker.h{i}.lbfactor={weight}{end}");
                    }
                    if *state > 0 {
                        let word = ["A", "Disabled", "s"][usize::from(*state) - 1];
                        out +=
                            &format!("{space}worker.h{i}.activation={space}{word}{comment}{end}");
                    }
                } else {
                    let q = if *quoted { "\"" } else { "" };
                    out += &format!(
                        "{space}BalancerMember{space}{q}http://10.0.0.{}:80{q} route=h{i}",
                        i + 1
                    );
                    if *form > 0 {
                        out +=
                            &format!("{space}{q}loadfactor={weight}.5{q}").replace("100.5", "100");
                    }
                    if *form == 2 {
                        out += &format!(" \\{end}   ping=5");
                    }
                    if *state > 0 {
                        out += &format!(" status={}", ["+I+N", "D", "-D"][usize::from(*state) - 1]);
                    }
                    out += end;
                    out += &format!("{comment}{end}");
                }
            }
            if format == ConfigFormat::Apache {
                out += &format!("</Proxy>{end}# ends");
            }
            (
                out,
                next.into_iter().map(|(w, s)| (f64::from(w), s)).collect(),
            )
        })
}

fn round_trip(format: ConfigFormat, text: &str, next: &[(f64, u8)]) -> Result<(), TestCaseError> {
    let read_text = |text: &str| {
        read(
            &mut MemoryFiles::of(&[("f", text)]),
            "f",
            format,
            &ImportOptions::default(),
        )
    };
    let first = read_text(text).map_err(|f| TestCaseError::fail(format!("{f:?}\n{text}")))?;
    prop_assert_eq!(&first.with_changes(&BTreeMap::new()).unwrap()[0].text, text);
    let changes: BTreeMap<String, (f64, HostState)> = first
        .hosts
        .iter()
        .zip(next)
        .map(|(h, (w, s))| {
            (
                h.name.clone(),
                (*w, [Ready, Draining, Gone][usize::from(*s)]),
            )
        })
        .collect();
    let written = first.with_changes(&changes).unwrap()[0].text.clone();
    let second = read_text(&written)
        .map_err(|f| TestCaseError::fail(format!("{f:?}\n{text}\n{written}")))?;
    prop_assert_eq!(second.hosts.len(), first.hosts.len());
    for (before, after) in first.hosts.iter().zip(&second.hosts) {
        prop_assert_eq!(
            (after.weight, after.state),
            changes[&after.name],
            "{}\n{}",
            text,
            written
        );
        prop_assert_eq!(
            (&before.name, &before.address, &before.domain),
            (&after.name, &after.address, &after.domain)
        );
    }
    // Writing the first values back gives the first import again.
    let back = first
        .hosts
        .iter()
        .map(|h| (h.name.clone(), (h.weight, h.state)))
        .collect();
    let third = read_text(&second.with_changes(&back).unwrap()[0].text).unwrap();
    let same = |i: &Import| {
        i.hosts
            .iter()
            .map(|h| format!("{:?}", h.summary()))
            .collect::<Vec<_>>()
    };
    prop_assert_eq!(same(&third), same(&first));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]
    #[test]
    fn apache_files_round_trip((text, next) in generated_file(ConfigFormat::Apache)) {
        round_trip(ConfigFormat::Apache, &text, &next)?;
    }

    #[test]
    fn jk_files_round_trip((text, next) in generated_file(ConfigFormat::Jk)) {
        round_trip(ConfigFormat::Jk, &text, &next)?;
    }

    /// Corrupted files: errors but no panic; and files that are read are written back unchanged.
    #[test]
    fn corrupted_files_do_not_panic(
        (text, _) in generated_file(ConfigFormat::Apache), (jk, _) in generated_file(ConfigFormat::Jk),
        cuts in proptest::collection::vec((any::<usize>(), "[<>/\"'#=\\\\ \n${}()a-z.:]{0,4}"), 1..6),
    ) {
        for (format, text) in [(ConfigFormat::Apache, text), (ConfigFormat::Jk, jk)] {
            let mut text = text;
            for (at, put) in &cuts {
                let mut at = at % (text.len() + 1);
                while !text.is_char_boundary(at) {
                    at -= 1;
                }
                let to = (at + put.len() / 2).min(text.len());
                if text.is_char_boundary(to) {
                    text.replace_range(at..to, put);
                }
            }
            if let Ok(import) = read(&mut MemoryFiles::of(&[("f", &text)]), "f", format, &ImportOptions::default()) {
                prop_assert_eq!(&import.with_changes(&BTreeMap::new()).unwrap()[0].text, &text);
            }
        }
    }
}
