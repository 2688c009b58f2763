//! A process that writes to the memory is killed with SIGKILL at arbitrary points: every recovery must find all
//! that was committed, and no part of a group of changes.

use dahliapoint_memory::directory::FsDirectory;
use dahliapoint_memory::frames::Key;
use dahliapoint_memory::store::recover;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Kills in an ordinary run; a full run has 500 (`DAHLIAPOINT_KILLS=500`).
const KILLS: u64 = 60;

#[test]
fn every_restart_recovers_what_was_committed() {
    let count = std::env::var("DAHLIAPOINT_KILLS").ok();
    let kills: u64 = count.and_then(|n| n.parse().ok()).unwrap_or(KILLS);
    let dir = std::env::temp_dir().join(format!("dahliapoint-remember-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let (mut committed, mut torn) = (0, 0);
    for kill in 0..kills {
        let mut child = Command::new(env!("CARGO_BIN_EXE_dahliapoint-standins"))
            .arg("remember")
            .arg(&dir)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        // The process prints each number once it is committed; it is killed some time after one of them.
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        for _ in 0..=(kill * 7 % 40) {
            committed = lines.next().unwrap().unwrap().parse().unwrap();
        }
        let start = Instant::now();
        while start.elapsed() < Duration::from_micros(kill * 37 % 900) {
            std::hint::spin_loop();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        // Numbers printed before the kill are committed too.
        for line in lines.map_while(Result::ok) {
            committed = line.parse().unwrap_or(committed);
        }
        let mut directory = FsDirectory::open_read_only(&dir).unwrap();
        let (facts, found) = recover(&mut directory, &Key::default()).unwrap();
        let last = facts.alive.wall_ms as u64;
        assert!(
            last >= committed,
            "kill {kill}: {last}, and {committed} was committed: {found:?}"
        );
        // Groups are applied as a whole: each server has the last number of its own.
        for n in last.saturating_sub(6)..=last {
            let fact = facts.servers.get(&format!("s{}", n % 7));
            assert!(
                n == 0 || fact.is_some_and(|f| f.weight as u64 == n),
                "kill {kill}: {n} of {last}"
            );
        }
        torn += u64::from(found.torn_bytes > 0);
    }
    println!("{kills} kills, {committed} commits, {torn} torn tails: every state was whole");
    let _ = std::fs::remove_dir_all(&dir);
}
