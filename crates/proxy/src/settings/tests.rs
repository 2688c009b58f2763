//! Defaults of the settings, and the lines of their faults.

use super::*;

const SMALL: &str = "name: p\nservice: s\nzone: a\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\n\
    roster: r.yaml\nclasses: [{name: view, hard_limit: 2s}]\n";

#[test]
fn settings_have_defaults_and_faults_have_lines() {
    let d = parse("conf/p.yaml", SMALL).unwrap();
    assert_eq!(
        (d.balancing, d.classes[0].idempotency),
        (BalancingPolicy::WeightedRoundRobin, Idempotency::Never)
    );
    assert_eq!(d.roster, PathBuf::from("conf/r.yaml"));
    let cases = [
        ("controllers: ['127.0.0.1:1']", "controllers: []", 4),
        ("127.0.0.1:0", "here", 5),
        ("hard_limit: 2s", "hard_limit: 2", 7),
        ("name: p", "name: p\npicks: best", 2),
        ("name: p", "redial: {from: 2s, to: 1s}\nname: p", 1),
    ];
    for (from, to, line) in cases {
        let faults = parse("p.yaml", &SMALL.replace(from, to)).unwrap_err();
        assert!(faults.0.iter().any(|f| f.line == line), "{to}: {faults}");
    }
}
