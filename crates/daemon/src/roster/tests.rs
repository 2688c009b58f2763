use super::*;

#[test]
fn bad_rosters_are_refused_with_their_lines() {
    let zones = ["a".to_string(), "b".to_string()];
    let good = "servers:\n- {name: x, address: '127.0.0.1:1', zone: a}\n\
                    - {name: y, address: '127.0.0.1:2', zone: b, state: draining, weight: 2, started: 10}\n";
    let read = parse("r", good, &zones, 15_000.0).unwrap();
    assert_eq!(read[1].started, Some((5_000.0, 10_000)));
    assert_eq!((read[1].state, read[1].weight), (AdminState::Draining, 2.0));
    let cases = [
        ("name: y", "name: x", 3),
        ("127.0.0.1:2", "127.0.0.1:1", 3),
        ("zone: b", "zone: c", 3),
        ("draining", "leaving", 3),
        ("weight: 2", "weight: -1", 3),
        ("started: 10", "started: soon", 3),
        ("weight: 2", "wait: 2", 3),
        ("127.0.0.1:1", "somewhere", 2),
    ];
    for (from, to, line) in cases {
        let faults = parse("r", &good.replace(from, to), &zones, 0.0).unwrap_err();
        assert!(faults.0.iter().any(|f| f.line == line), "{to}: {faults}");
    }
}

#[test]
fn a_broken_file_is_reported_once_and_a_repaired_one_is_read() {
    let folder = std::env::temp_dir().join(format!("dahliapoint-roster-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("r.yaml");
    let put = |text: &str| {
        let new_path = folder.join("aside");
        std::fs::write(&new_path, text).unwrap();
        std::fs::rename(&new_path, &path).unwrap();
    };
    let mut watch = RosterWatcher::new(&path, &RosterFormat::Yaml, &["a".to_string()]);
    assert!(matches!(watch.poll(), PollResult::Refused(_)));
    assert_eq!(watch.poll(), PollResult::Unchanged);
    put("servers:\n- {name: x, address: '127.0.0.1:1', zone: a}\n");
    assert!(matches!(watch.poll(), PollResult::Changed(entries) if entries.len() == 1));
    assert_eq!(watch.poll(), PollResult::Unchanged);
    put("servers: {");
    assert!(matches!(watch.poll(), PollResult::Refused(why) if why.contains("r.yaml:")));
    assert_eq!(watch.poll(), PollResult::Unchanged);
    put("servers: []\n");
    assert_eq!(watch.poll(), PollResult::Changed(vec![]));
    std::fs::remove_dir_all(&folder).unwrap();
}
