use super::*;

fn table(lines: &[(&str, f64, bool)]) -> Table {
    let line = |(server, weight, open): &(&str, f64, bool)| {
        let line = TableLine {
            server: (*server).into(),
            address: "127.0.0.1:80".into(),
            weight: *weight,
            open: *open,
        };
        ((*server).to_string(), line)
    };
    Table {
        format_version: TABLE_FORMAT_VERSION,
        service: "s".into(),
        generation: 3,
        lines: lines.iter().map(line).collect(),
        ..Table::default()
    }
}

#[test]
fn a_patch_applied_to_its_base_gives_the_next_table() {
    let base = table(&[("a", 1.0, true), ("b", 1.0, true), ("c", 2.0, true)]);
    let mut next = table(&[("a", 1.0, true), ("b", 0.5, true), ("d", 1.0, false)]);
    next.generation = 4;
    let patch = Patch::diff(&base, &next);
    assert_eq!((patch.changed.len(), patch.removed.len()), (2, 1));
    assert_eq!(patch.apply_to(base.clone()), Ok(next.clone()));
    assert!(patch.apply_to(next).is_err(), "another base");
}

/// Proxies read these files: the keys must not follow the names in the code.
#[test]
fn json_keys_stay() {
    let mut t = table(&[("a", 0.5, true)]);
    t.withdrawn.insert("b".into());
    let class = TableClass {
        admitted_share: 1.0,
        retry: RetryPolicy::Never,
    };
    t.classes.insert("c".into(), class);
    let json = serde_json::to_value(&t).unwrap();
    let keys =
        |v: &serde_json::Value| -> Vec<String> { v.as_object().unwrap().keys().cloned().collect() };
    let mut found = keys(&json);
    found.sort();
    assert_eq!(
        found.join(" "),
        "bound classes form generation lines proxy report_every_ms serial service shut"
    );
    let mut found = keys(&json["classes"]["c"]);
    found.sort();
    assert_eq!(found, ["share", "tries"]);
    let patch = serde_json::to_value(Patch::diff(&Table::default(), &t)).unwrap();
    let mut found = keys(&patch);
    found.sort();
    assert_eq!(
        found.join(" "),
        "base bound changed classes generation gone report_every_ms serial shut"
    );
}

#[test]
fn each_format_has_the_weights_and_the_withdrawn_servers() {
    let t = table(&[("a", 0.1, true), ("b c\n", 1.0, false)]);
    let cases = [
        (
            Format::Balancer,
            "route=a loadfactor=10.00 status=-D",
            "route=b_20_c_a_ loadfactor=100.00 status=+D",
        ),
        (
            Format::Workers,
            "worker.a.lbfactor=10\nworker.a.activation=A",
            "worker.b_20_c_a_.activation=S",
        ),
        (
            Format::HaproxyState,
            "1 s 1 a 127.0.0.1 2 0 10 10 80",
            "1 s 2 b_20_c_a_ 127.0.0.1 0 1 100 100 80",
        ),
    ];
    for (format, open, withdrawn) in cases {
        let text = format.render(&t);
        assert!(text.contains(open) && text.contains(withdrawn), "{text}");
    }
    let heavy = table(&[("a", 10_000.0, true), ("b", 5_000.0, true)]);
    assert!(
        Format::Balancer
            .render(&heavy)
            .contains("route=b loadfactor=50.00")
    );
    assert!(
        Format::HaproxyState
            .render(&heavy)
            .contains("b 127.0.0.1 2 0 128 128")
    );
}
