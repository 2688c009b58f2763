use super::*;

const SMALL: &str = "service: s\nzones: [a]\nclasses: [{name: c, soft_limit: 1s}]\n\
        roster: {file: r.yaml}\nlisten: {xds: '127.0.0.1:0'}\n";

#[test]
fn a_small_deployment_has_its_defaults() {
    let d = parse("conf/d.yaml", SMALL).unwrap();
    assert_eq!(d.roster_path, PathBuf::from("conf/r.yaml"));
    assert_eq!(
        d.idempotency,
        [Idempotency::Never],
        "a class is not idempotent by default"
    );
    assert_eq!(d.hard_limits_ms, [3000.0]);
    assert!(!d.settings.may_probe);
}

#[test]
fn contradictions_are_refused_with_their_lines() {
    let cases = [
        ("zones: [a]", "zones: [a, a]", 2, "zones[1]"),
        ("zones: [a]", "zones: []", 2, "zones"),
        (
            "soft_limit: 1s",
            "soft_limit: 1s, hard_limit: 900ms",
            3,
            "classes[0].hard_limit",
        ),
        (
            "soft_limit: 1s",
            "soft_limit: 1s, repeat: maybe",
            3,
            "classes[0].repeat",
        ),
        ("127.0.0.1:0", "localhost", 5, "listen.xds"),
        (
            "service: s",
            "proxies: {further_try: on_failure}\nservice: s",
            1,
            "proxies.further_try",
        ),
        (
            "service: s",
            "channel: {most_messages: 5}\nservice: s",
            1,
            "channel.most_messages",
        ),
        (
            "r.yaml}",
            "r.yaml, probe: {path: 'x y'}}",
            4,
            "roster.probe.path",
        ),
    ];
    for (from, to, line, field) in cases {
        let text = SMALL.replace(from, to);
        let faults = parse("d.yaml", &text).unwrap_err();
        let found = faults.0.iter().any(|f| f.line == line && f.field == field);
        assert!(found, "{to}: {faults}");
    }
}
