//! Spools of broken and hostile proxies.

mod common;

use common::Folder;
use dahliapoint_files::integrity::Keys;
use dahliapoint_files::messages::{Ack, Heartbeat, Report};
use dahliapoint_files::spool::{Spool, SpoolMessage, SpoolWriter};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::os::unix::fs::symlink;
use std::time::{Duration, SystemTime};

struct World {
    folder: Folder,
    spool: Spool,
    mouth: SpoolWriter,
}

fn world(keys: &Keys) -> World {
    let folder = Folder::new();
    let spool = Spool::open(folder.path(), keys.clone(), 1_000.0).unwrap();
    let mouth = SpoolWriter::open(folder.path(), "p", keys.clone()).unwrap();
    World {
        folder,
        spool,
        mouth,
    }
}

fn beat(life: u64, count: u64) -> Heartbeat {
    Heartbeat {
        proxy: "p".into(),
        zone: "z".into(),
        incarnation: life,
        sequence: count,
        ..Heartbeat::default()
    }
}

fn told(life: u64) -> Report {
    Report {
        incarnation: life,
        window_ms: 1_000.0,
        ..Report::default()
    }
}

impl World {
    /// What is taken now, a word each.
    fn take(&mut self) -> String {
        self.take_at(SystemTime::now())
    }

    fn take_at(&mut self, now: SystemTime) -> String {
        let said = self.spool.poll("p", now).into_iter().map(|s| match s {
            SpoolMessage::Heartbeat(b) => format!("beat {}", b.sequence),
            SpoolMessage::Ack(a) => format!("ack {}", a.generation),
            SpoolMessage::Report(_) => "report".to_string(),
        });
        said.collect::<Vec<_>>().join(", ")
    }

    fn own(&self, name: &str) -> std::path::PathBuf {
        self.folder.path().join("spool/p").join(name)
    }

    fn put_away(&self) -> usize {
        std::fs::read_dir(self.folder.path().join("quarantine"))
            .unwrap()
            .count()
    }
}

#[test]
fn words_are_taken_once_in_their_order_and_of_the_present_life() {
    let mut w = world(&Keys::default());
    assert_eq!(w.spool.proxies(), ["p"]);
    w.mouth.write("report-1", &told(7)).unwrap();
    let ack = |life, generation| Ack {
        incarnation: life,
        generation,
        refused: None,
    };
    w.mouth.write("ack-2", &ack(7, 42)).unwrap();
    w.mouth.write("ack-10", &ack(7, 43)).unwrap();
    w.mouth.write("beat", &beat(7, 1)).unwrap();
    assert_eq!(w.take(), "beat 1, ack 42, ack 43, report");
    w.mouth.write("report-1", &told(7)).unwrap();
    w.mouth.write("ack-3", &ack(7, 44)).unwrap();
    w.mouth.write("beat", &beat(7, 1)).unwrap();
    assert_eq!(w.take(), "", "said before");
    // Another life begins its numbers anew; what the old one left says nothing.
    w.mouth.write("beat", &beat(8, 1)).unwrap();
    w.mouth.write("report-1", &told(8)).unwrap();
    w.mouth.write("report-2", &told(7)).unwrap();
    assert_eq!(w.take(), "beat 1, report");
    // What a kill left in the inbox is not counted: it may have been.
    std::fs::write(w.folder.path().join("inbox/p~report-3"), "x").unwrap();
    let again = Spool::open(w.folder.path(), Keys::default(), 1_000.0).unwrap();
    assert_eq!(
        std::fs::read_dir(w.folder.path().join("inbox"))
            .unwrap()
            .count(),
        0
    );
    drop(again);
    // Old reports say nothing of now.
    w.mouth.write("report-3", &told(8)).unwrap();
    assert_eq!(w.take_at(SystemTime::now() + Duration::from_secs(31)), "");
    assert_eq!(w.put_away(), 0);
}

#[test]
fn what_is_hostile_is_put_away_and_all_else_is_still_taken() {
    let mut w = world(&Keys::default());
    let secret = w.folder.path().join("secret");
    std::fs::write(&secret, "not for you").unwrap();
    symlink(&secret, w.own("report-1")).unwrap();
    std::fs::hard_link(&secret, w.own("report-2")).unwrap();
    std::fs::create_dir(w.own("report-3")).unwrap();
    std::fs::write(w.own("report-3").join("inside"), "x").unwrap();
    let pipe = std::process::Command::new("mkfifo")
        .arg(w.own("report-4"))
        .status();
    let pipes = usize::from(pipe.is_ok_and(|s| s.success()));
    std::fs::write(w.own("report-5"), vec![b'x'; (1 << 20) + 1]).unwrap();
    std::fs::write(w.own("report-6"), "{}\nno seal\n").unwrap();
    std::fs::write(w.own("report-7"), Keys::default().add_tag("{\"life\":")).unwrap();
    std::fs::write(w.own("..report"), "aside").unwrap();
    std::fs::write(w.own("evil\n2027 ERROR"), "x").unwrap();
    let other = Heartbeat {
        proxy: "q".into(),
        ..beat(7, 1)
    };
    w.mouth.write("beat", &other).unwrap();
    assert_eq!(w.take(), "");
    assert_eq!(w.put_away(), 8 + pipes);
    assert_eq!(std::fs::read_to_string(&secret).unwrap(), "not for you");
    w.mouth.write("beat", &beat(7, 1)).unwrap();
    w.mouth.write("report-8", &told(7)).unwrap();
    assert_eq!(w.take(), "beat 1, report");
    // The quarantine is bounded.
    for i in 0..300 {
        std::fs::write(w.own(&format!("x{i}")), "x").unwrap();
    }
    w.take();
    assert_eq!(w.put_away(), 200);
    // The spool becomes a link, and goes.
    let moved = w.folder.path().join("moved");
    std::fs::rename(w.own("").parent().unwrap().join("p"), &moved).unwrap();
    symlink(&moved, w.folder.path().join("spool/p")).unwrap();
    std::fs::write(moved.join("x"), "x").unwrap();
    assert_eq!(w.take(), "");
    assert!(moved.join("x").exists());
    assert!(w.spool.warnings.iter().any(|n| n.contains("no directory")));
    assert!(
        w.spool.warnings.iter().all(|n| !n.contains('\n')),
        "no line of a log is forged"
    );
}

#[test]
fn a_flood_waits_and_beats_pass() {
    let mut w = world(&Keys::default());
    for i in 1..=100 {
        w.mouth.write(&format!("report-{i}"), &told(7)).unwrap();
    }
    w.mouth.write("beat", &beat(7, 1)).unwrap();
    let taken = w.take();
    assert!(taken.starts_with("beat 1"), "{taken}");
    assert_eq!(taken.matches("report").count(), 15, "{taken}");
    let rounds = (0..20).map(|_| w.take().matches("report").count());
    assert_eq!(rounds.sum::<usize>(), 85);
}

#[test]
fn unsigned_words_are_refused_where_a_key_is_configured() {
    let keys = Keys::parse("k", "a = 000102030405060708090a0b0c0d0e0f").unwrap();
    let mut w = world(&keys);
    let forger = SpoolWriter::open(w.folder.path(), "p", Keys::default()).unwrap();
    forger.write("beat", &beat(7, 1)).unwrap();
    assert_eq!(w.take(), "");
    assert!(
        w.spool.warnings.iter().any(|n| n.contains("not signed")),
        "{:?}",
        w.spool.warnings
    );
    w.mouth.write("beat", &beat(7, 1)).unwrap();
    assert_eq!(w.take(), "beat 1");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]
    /// Whatever lies there: no panic, nothing taken that was not sealed, nothing left that is ours.
    #[test]
    fn any_bytes_under_any_name(name in "(beat|ack-[0-9]{1,3}|report-[0-9]{1,3}|[a-z.]{1,8})", bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut w = world(&Keys::default());
        std::fs::write(w.own(&name), &bytes).ok();
        prop_assert_eq!(w.take(), "");
    }

    /// Sealed words of any content are taken or put away.
    #[test]
    fn any_sealed_text(text in "\\PC{0,80}") {
        let mut w = world(&Keys::default());
        std::fs::write(w.own("report-1"), Keys::default().add_tag(&text)).unwrap();
        w.take();
        prop_assert!(!w.own("report-1").exists());
    }
}
