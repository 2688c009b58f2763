use super::*;

#[test]
fn each_rule_decides_its_cases() {
    let report = FileInfo {
        kind: FileKind::Report(5),
        is_regular: true,
        links: 1,
        bytes: 100,
        age_ms: 10.0,
    };
    let none = Progress::default();
    let progress = Progress {
        last_ack: Some(4),
        last_report: Some(5),
        taken_this_round: 0,
    };
    let of = |name: &str| FileInfo {
        kind: FileKind::of(name),
        ..report
    };
    use Decision::{Drop, Leave, Quarantine, Take};
    let cases = [
        ("a report", report, none, Take),
        (
            "a link",
            FileInfo {
                is_regular: false,
                ..report
            },
            none,
            Quarantine("it is not a regular file"),
        ),
        (
            "a hard link",
            FileInfo { links: 2, ..report },
            none,
            Quarantine("it has several hard links"),
        ),
        (
            "an unknown name",
            of("report-5x"),
            none,
            Quarantine("its name is unknown"),
        ),
        (
            "a number too long",
            of("ack-1234567890123456789"),
            none,
            Quarantine("its name is unknown"),
        ),
        ("temporary", of(".report-6"), none, Leave),
        (
            "too large",
            FileInfo {
                bytes: MAX_BYTES + 1,
                ..report
            },
            none,
            Quarantine("it is too large"),
        ),
        (
            "a report twice",
            report,
            progress,
            Drop("that number was taken before"),
        ),
        (
            "an ack twice",
            of("ack-4"),
            progress,
            Drop("that number was taken before"),
        ),
        ("a new ack", of("ack-5"), progress, Take),
        (
            "old",
            FileInfo {
                age_ms: 31_000.0,
                ..report
            },
            none,
            Drop("it is too old"),
        ),
        (
            "an old ack",
            FileInfo {
                age_ms: 9e9,
                ..of("ack-5")
            },
            none,
            Take,
        ),
        (
            "a flood",
            report,
            Progress {
                taken_this_round: MAX_TAKEN_PER_ROUND,
                ..none
            },
            Leave,
        ),
        (
            "a heartbeat in a flood",
            of("beat"),
            Progress {
                taken_this_round: MAX_TAKEN_PER_ROUND,
                ..none
            },
            Take,
        ),
    ];
    for (name, file, progress, expected) in cases {
        assert_eq!(decide(&file, &progress, 1_000.0), expected, "{name}");
    }
}
