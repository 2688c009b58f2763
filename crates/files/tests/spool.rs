//! Spools of correct, broken and hostile proxies.

mod common;

use common::Folder;
use dahliapoint_files::integrity::Keys;
use dahliapoint_files::messages::{Ack, Heartbeat, Report};
use dahliapoint_files::spool::{Spool, SpoolMessage, SpoolWriter};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::os::unix::fs::symlink;
use std::time::{Duration, SystemTime};

struct Fixture {
    folder: Folder,
    spool: Spool,
    writer: SpoolWriter,
}

fn fixture(keys: &Keys) -> Fixture {
    let folder = Folder::new();
    let spool = Spool::open(folder.path(), keys.clone(), 1_000.0).unwrap();
    let writer = SpoolWriter::open(folder.path(), "p", keys.clone()).unwrap();
    Fixture {
        folder,
        spool,
        writer,
    }
}

fn heartbeat(incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        proxy: "p".into(),
        zone: "z".into(),
        incarnation,
        sequence,
        ..Heartbeat::default()
    }
}

fn report(incarnation: u64) -> Report {
    Report {
        incarnation,
        window_ms: 1_000.0,
        ..Report::default()
    }
}

impl Fixture {
    /// The messages taken now, as text.
    fn take(&mut self) -> String {
        self.take_at(SystemTime::now())
    }

    fn take_at(&mut self, now: SystemTime) -> String {
        let messages = self.spool.poll("p", now).into_iter().map(|s| match s {
            SpoolMessage::Heartbeat(b) => format!("beat {}", b.sequence),
            SpoolMessage::Ack(a) => format!("ack {}", a.generation),
            SpoolMessage::Report(_) => "report".to_string(),
        });
        messages.collect::<Vec<_>>().join(", ")
    }

    fn spool_file(&self, name: &str) -> std::path::PathBuf {
        self.folder.path().join("spool/p").join(name)
    }

    fn quarantined(&self) -> usize {
        std::fs::read_dir(self.folder.path().join("quarantine"))
            .unwrap()
            .count()
    }
}

#[test]
fn messages_are_taken_once_in_order_and_only_of_the_current_incarnation() {
    let mut f = fixture(&Keys::default());
    assert_eq!(f.spool.proxies(), ["p"]);
    f.writer.write("report-1", &report(7)).unwrap();
    let ack = |incarnation, generation| Ack {
        incarnation,
        generation,
        refused: None,
    };
    f.writer.write("ack-2", &ack(7, 42)).unwrap();
    f.writer.write("ack-10", &ack(7, 43)).unwrap();
    f.writer.write("beat", &heartbeat(7, 1)).unwrap();
    assert_eq!(f.take(), "beat 1, ack 42, ack 43, report");
    f.writer.write("report-1", &report(7)).unwrap();
    f.writer.write("ack-3", &ack(7, 44)).unwrap();
    f.writer.write("beat", &heartbeat(7, 1)).unwrap();
    assert_eq!(f.take(), "", "taken before");
    // Another incarnation restarts the numbers; what the old one left is ignored.
    f.writer.write("beat", &heartbeat(8, 1)).unwrap();
    f.writer.write("report-1", &report(8)).unwrap();
    f.writer.write("report-2", &report(7)).unwrap();
    assert_eq!(f.take(), "beat 1, report");
    // A file that a killed controller left in the inbox is removed: it may have been counted.
    std::fs::write(f.folder.path().join("inbox/p~report-3"), "x").unwrap();
    let again = Spool::open(f.folder.path(), Keys::default(), 1_000.0).unwrap();
    assert_eq!(
        std::fs::read_dir(f.folder.path().join("inbox"))
            .unwrap()
            .count(),
        0
    );
    drop(again);
    // Reports expire.
    f.writer.write("report-3", &report(8)).unwrap();
    assert_eq!(f.take_at(SystemTime::now() + Duration::from_secs(31)), "");
    assert_eq!(f.quarantined(), 0);
}

#[test]
fn hostile_files_are_quarantined_and_all_others_taken() {
    let mut f = fixture(&Keys::default());
    let secret = f.folder.path().join("secret");
    std::fs::write(&secret, "not for you").unwrap();
    symlink(&secret, f.spool_file("report-1")).unwrap();
    std::fs::hard_link(&secret, f.spool_file("report-2")).unwrap();
    std::fs::create_dir(f.spool_file("report-3")).unwrap();
    std::fs::write(f.spool_file("report-3").join("inside"), "x").unwrap();
    let pipe = std::process::Command::new("mkfifo")
        .arg(f.spool_file("report-4"))
        .status();
    let pipes = usize::from(pipe.is_ok_and(|s| s.success()));
    std::fs::write(f.spool_file("report-5"), vec![b'x'; (1 << 20) + 1]).unwrap();
    std::fs::write(f.spool_file("report-6"), "{}\nno tag\n").unwrap();
    std::fs::write(
        f.spool_file("report-7"),
        Keys::default().add_tag("{\"life\":"),
    )
    .unwrap();
    std::fs::write(f.spool_file("..report"), "temporary").unwrap();
    std::fs::write(f.spool_file("evil\n2027 ERROR"), "x").unwrap();
    let other = Heartbeat {
        proxy: "q".into(),
        ..heartbeat(7, 1)
    };
    f.writer.write("beat", &other).unwrap();
    assert_eq!(f.take(), "");
    assert_eq!(f.quarantined(), 8 + pipes);
    assert_eq!(std::fs::read_to_string(&secret).unwrap(), "not for you");
    f.writer.write("beat", &heartbeat(7, 1)).unwrap();
    f.writer.write("report-8", &report(7)).unwrap();
    assert_eq!(f.take(), "beat 1, report");
    // The quarantine is bounded.
    for i in 0..300 {
        std::fs::write(f.spool_file(&format!("x{i}")), "x").unwrap();
    }
    f.take();
    assert_eq!(f.quarantined(), 200);
    // The spool is replaced by a link.
    let moved = f.folder.path().join("moved");
    std::fs::rename(f.spool_file("").parent().unwrap().join("p"), &moved).unwrap();
    symlink(&moved, f.folder.path().join("spool/p")).unwrap();
    std::fs::write(moved.join("x"), "x").unwrap();
    assert_eq!(f.take(), "");
    assert!(moved.join("x").exists());
    assert!(f.spool.warnings.iter().any(|n| n.contains("no directory")));
    assert!(
        f.spool.warnings.iter().all(|n| !n.contains('\n')),
        "no line of a log is forged"
    );
}

#[test]
fn reports_of_a_flood_wait_and_heartbeats_pass() {
    let mut f = fixture(&Keys::default());
    for i in 1..=100 {
        f.writer.write(&format!("report-{i}"), &report(7)).unwrap();
    }
    f.writer.write("beat", &heartbeat(7, 1)).unwrap();
    let taken = f.take();
    assert!(taken.starts_with("beat 1"), "{taken}");
    assert_eq!(taken.matches("report").count(), 15, "{taken}");
    let rounds = (0..20).map(|_| f.take().matches("report").count());
    assert_eq!(rounds.sum::<usize>(), 85);
}

#[test]
fn unsigned_messages_are_refused_if_a_key_is_configured() {
    let keys = Keys::parse("k", "a = 000102030405060708090a0b0c0d0e0f").unwrap();
    let mut f = fixture(&keys);
    let forger = SpoolWriter::open(f.folder.path(), "p", Keys::default()).unwrap();
    forger.write("beat", &heartbeat(7, 1)).unwrap();
    assert_eq!(f.take(), "");
    assert!(
        f.spool.warnings.iter().any(|n| n.contains("not signed")),
        "{:?}",
        f.spool.warnings
    );
    f.writer.write("beat", &heartbeat(7, 1)).unwrap();
    assert_eq!(f.take(), "beat 1");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]
    /// Files of any content: no panic, and nothing without a valid tag is taken.
    #[test]
    fn any_bytes_under_any_name(name in "(beat|ack-[0-9]{1,3}|report-[0-9]{1,3}|[a-z.]{1,8})", bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut f = fixture(&Keys::default());
        std::fs::write(f.spool_file(&name), &bytes).ok();
        prop_assert_eq!(f.take(), "");
    }

    /// Any text with a valid tag is taken or quarantined.
    #[test]
    fn any_tagged_text(text in "\\PC{0,80}") {
        let mut f = fixture(&Keys::default());
        std::fs::write(f.spool_file("report-1"), Keys::default().add_tag(&text)).unwrap();
        f.take();
        prop_assert!(!f.spool_file("report-1").exists());
    }
}
