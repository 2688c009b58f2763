//! Tests of the YAML reader: values, faults with their lines, and units of time.

use super::*;

fn sample(at: &FieldReader) -> (f64, f64, String, Vec<String>) {
    let inner = at.field("channel");
    let lines = inner.field("lines").number(1.0..=100.0, None);
    let way = inner.field("way").duration_ms(0.0..=1e4, Some(200.0));
    inner.deny_unknown_fields();
    let name = at.field("name").string(None);
    let zones = at.field("zones").list();
    let zones = zones.iter().map(|z| z.string(None)).collect();
    at.deny_unknown_fields();
    (lines, way, name, zones)
}

#[test]
fn reads_each_kind_of_value() {
    let text = "name: portal\nzones: [a, b]\nchannel:\n  lines: 7\n  way: 1.5s\n";
    let zones = vec!["a".to_string(), "b".to_string()];
    let expected = (7.0, 1500.0, "portal".to_string(), zones);
    assert_eq!(read("f", text, sample), Ok(expected));
    assert_eq!(
        read("f", "name: p\nchannel: {lines: 1}", sample).unwrap().1,
        200.0
    );
}

#[test]
fn reports_all_faults_with_their_lines() {
    let text = "nam: portal\nzones: x\nchannel:\n  lines: 700\n  way: 15\n  more: 1\n";
    let faults = read("f.yaml", text, sample).unwrap_err();
    let reported: Vec<(u64, &str)> = faults
        .0
        .iter()
        .map(|f| (f.line, f.field.as_str()))
        .collect();
    let expected = [
        (1, "nam"),
        (1, "name"),
        (2, "zones"),
        (4, "channel.lines"),
        (5, "channel.way"),
        (6, "channel.more"),
    ];
    assert_eq!(reported, expected);
    let message = faults.to_string();
    assert!(message.contains("f.yaml:4: channel.lines: a number from 1 to 100 is wanted"));
}

#[test]
fn invalid_yaml_is_one_fault() {
    let cases = [
        "a: [1",
        "a: 1\n b: 2\n  - c",
        "a: 1\na: 2\n",
        "\t- x: y: z",
        "&a [*a]",
    ];
    for text in cases {
        let faults = read("f", text, |at| at.field("a").list().len());
        assert!(faults.is_err(), "{text:?}");
    }
    assert!(read("f", &"x".repeat(MAX_FILE_BYTES + 1), |_| ()).is_err());
}

#[test]
fn durations_need_a_unit() {
    let cases = [
        ("250ms", Some(250.0)),
        ("2 s", Some(2000.0)),
        ("1.5m", Some(90_000.0)),
        ("40us", Some(0.04)),
        ("5", None),
        ("-1s", None),
        ("s", None),
        ("1 year", None),
        ("infs", None),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_duration_ms(text), expected, "{text}");
    }
}
