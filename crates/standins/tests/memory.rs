//! A process that remembers is killed outright, at any moment of its writing.

use dahliapoint_memory::directory::FsDirectory;
use dahliapoint_memory::frames::Key;
use dahliapoint_memory::store::recover;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Kills in an ordinary run; the full number is 500 (`DAHLIAPOINT_KILLS=500`).
const KILLS: u64 = 60;

#[test]
fn every_restart_loads_what_was_committed() {
    let told = std::env::var("DAHLIAPOINT_KILLS").ok();
    let kills: u64 = told.and_then(|n| n.parse().ok()).unwrap_or(KILLS);
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
        // It tells each number once that is committed; it is killed somewhere behind one of them.
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        for _ in 0..=(kill * 7 % 40) {
            committed = lines.next().unwrap().unwrap().parse().unwrap();
        }
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_micros(kill * 37 % 900) {
            std::hint::spin_loop();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        // What was told meanwhile is committed too.
        for line in lines.map_while(Result::ok) {
            committed = line.parse().unwrap_or(committed);
        }
        let mut layer = FsDirectory::open_read_only(&dir).unwrap();
        let (facts, found) = recover(&mut layer, &Key::default()).unwrap();
        let last = facts.alive.wall_ms as u64;
        assert!(
            last >= committed,
            "kill {kill}: {last}, and {committed} was committed: {found:?}"
        );
        // All of one number, or of the next: each server tells the last one that was its turn.
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
