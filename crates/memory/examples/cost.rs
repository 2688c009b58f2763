//! Measures the cost of persistence: bytes per round, commit time, snapshot time and the time to
//! read a million records back. Run with `cargo run --release -p dahliapoint-memory --example cost
//! [DIR]`.

use dahliapoint_control::AdminState;
use dahliapoint_memory::clock::now;
use dahliapoint_memory::directory::FsDirectory;
use dahliapoint_memory::facts::{Change, Facts, ServerFact};
use dahliapoint_memory::frames::Key;
use dahliapoint_memory::store::{Store, recover};
use std::path::PathBuf;
use std::time::Instant;

const RECORDS: usize = 1_000_000;
const GROUP: usize = 1_000;

fn server(i: usize, share: f64) -> Change {
    Change::Server(ServerFact {
        name: format!("server-{i}"),
        address: format!("10.0.{}.{}:8080", i / 250, i % 250),
        zone: "zone-a".into(),
        state: AdminState::Ready,
        since: now(),
        weight: 1.0,
        share,
        judged: now(),
        withdrawn: false,
    })
}

fn main() -> std::io::Result<()> {
    let argument = std::env::args().nth(1).map(PathBuf::from);
    let dir = argument.unwrap_or_else(std::env::temp_dir);
    let dir = dir.join(format!("dahliapoint-cost-{}", std::process::id()));
    for key in [Key::default(), Key(Some(vec![7; 32]))] {
        let keyed = if key.0.is_some() { "keyed" } else { "plain" };
        for servers in [115, 384] {
            let (mut store, ..) = Store::open(FsDirectory::open(&dir)?, key.clone())?;
            let mut times = Vec::new();
            let mut bytes = 0;
            for round in 0..50 {
                let group: Vec<_> = (0..servers)
                    .map(|i| server(i, 0.01 * round as f64))
                    .collect();
                let started = Instant::now();
                bytes = store.commit(&group)?;
                times.push(started.elapsed());
            }
            times.sort();
            println!(
                "{keyed}, {servers} servers, all shares changed: {bytes} bytes per round, commit median {:?}, worst {:?}",
                times[25], times[49]
            );
            drop(store);
            std::fs::remove_dir_all(&dir)?;
        }
        let (mut store, ..) = Store::open(FsDirectory::open(&dir)?, key.clone())?;
        let mut facts = Facts::default();
        for n in 0..RECORDS / GROUP {
            let group: Vec<_> = (0..GROUP)
                .map(|i| server(i, 1.0 / (n + 1) as f64))
                .collect();
            for change in group.clone() {
                facts.apply(change).map_err(std::io::Error::other)?;
            }
            store.commit(&group)?;
        }
        drop(store);
        let started = Instant::now();
        let (_, found) = recover(&mut FsDirectory::open_read_only(&dir)?, &key)?;
        println!(
            "{keyed}, {} records read back in {:?}",
            found.records,
            started.elapsed()
        );
        let started = Instant::now();
        let (mut store, facts, _) = Store::open(FsDirectory::open(&dir)?, key.clone())?;
        println!("{keyed}, opened and compacted in {:?}", started.elapsed());
        let started = Instant::now();
        store.begin_generation(&facts)?;
        let mut longest = std::time::Duration::ZERO;
        loop {
            let slice = Instant::now();
            let more = store.write_snapshot_records(256)?;
            longest = longest.max(slice.elapsed());
            if !more {
                break;
            }
        }
        println!(
            "{keyed}, a snapshot of {} servers: {:?}, its longest slice {longest:?}",
            facts.servers.len(),
            started.elapsed()
        );
        drop(store);
        std::fs::remove_dir_all(&dir)?;
    }
    Ok(())
}
