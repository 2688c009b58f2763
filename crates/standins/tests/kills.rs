//! A publisher is killed with SIGKILL 200 times while readers read without pause: no reader may ever get a
//! mixed or damaged table.

use dahliapoint_files::integrity::Keys;
use dahliapoint_files::reader::{ReadResult, Reader};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const KILLS: u64 = 200;
const LINES: usize = 100;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Reads the current table with a new reader and checks it; returns its generation.
fn read(dir: &std::path::Path) -> Option<u64> {
    match Reader::new(dir.join("p"), "p", Keys::default()).poll(None) {
        ReadResult::Unchanged => None,
        ReadResult::Updated(table) => {
            let is_complete = table.lines.len() == LINES;
            let is_consistent = table.lines.values().enumerate().all(|(i, l)| {
                let mark = table.serial;
                l.weight
                    == if i.is_multiple_of(8) {
                        mark as f64
                    } else {
                        (mark / 10 * 10) as f64
                    }
            });
            assert!(is_complete && is_consistent, "a mixed table: {table:?}");
            Some(table.generation)
        }
        ReadResult::Invalid(generation, why) => panic!("generation {generation}: {why}"),
    }
}

#[test]
fn two_hundred_kills_leave_no_reader_with_a_bad_table() {
    let dir = std::env::temp_dir().join(format!("dahliapoint-kills-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (ended, reads) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let readers: Vec<_> = (0..2)
        .map(|_| {
            let (dir, ended, reads): (PathBuf, _, _) = (dir.clone(), ended.clone(), reads.clone());
            std::thread::spawn(move || {
                let mut last = 0;
                while !ended.load(Ordering::SeqCst) {
                    let found = read(&dir).unwrap_or(last);
                    assert!(found >= last, "{found} after {last}");
                    last = found;
                    reads.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let mut last = 0;
    for kill in 0..KILLS {
        let mut child = Command::new(env!("CARGO_BIN_EXE_dahliapoint-standins"))
            .arg("publish")
            .arg(dir.join("p"))
            .args(["--lines", &LINES.to_string()])
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        // Kills at a different point each time: during one of the next publications.
        let target = last + 1 + kill % 3;
        let until = Instant::now() + TIMEOUT;
        while read(&dir).unwrap_or(0) <= target {
            assert!(Instant::now() < until, "nothing is published");
            std::hint::spin_loop();
        }
        let start = Instant::now();
        while start.elapsed() < Duration::from_micros(kill * 17 % 1_500) {
            std::hint::spin_loop();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        let found = read(&dir).unwrap();
        assert!(found > last, "{found} after {last}");
        last = found;
    }
    ended.store(true, Ordering::SeqCst);
    readers.into_iter().for_each(|r| r.join().unwrap());
    let reads = reads.load(Ordering::SeqCst);
    assert!(reads > KILLS, "{reads} reads");
    println!("{KILLS} kills, {last} generations, {reads} whole reads");
    let _ = std::fs::remove_dir_all(&dir);
}
