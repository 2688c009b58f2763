//! Tests of recovery after power failures, corruption, files of other versions and keys, and full
//! disks: the state that is read existed at some time, and no committed change is lost.

use dahliapoint_control::AdminState;
use dahliapoint_memory::directory::{Directory, FsDirectory};
use dahliapoint_memory::facts::{Change, Facts, ServerFact, Timestamp};
use dahliapoint_memory::frames::Key;
use dahliapoint_memory::store::{Store, recover};
use dahliapoint_memory::writer::JournalWriter;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An operation that a power failure may undo.
#[derive(Clone, Debug)]
enum UnsyncedOp {
    Bytes(String, Vec<u8>),
    /// A new file, with those of its bytes that were synced.
    Create(String, Vec<u8>),
    Rename(String, String),
    Remove(String),
}

#[derive(Default)]
struct Disk {
    /// The contents as visible now.
    visible: BTreeMap<String, Vec<u8>>,
    /// The contents that survive a power failure.
    durable: BTreeMap<String, Vec<u8>>,
    /// Operations on names that were not synced.
    unsynced_names: Vec<UnsyncedOp>,
    /// Appended bytes that were not synced.
    unsynced_bytes: Vec<UnsyncedOp>,
    /// Number of calls until the power fails.
    calls_left: Option<usize>,
    /// Number of calls until the disk is full.
    calls_until_full: Option<usize>,
}

/// A directory in memory that loses, tears and reorders unsynced writes.
#[derive(Clone, Default)]
struct FaultyDirectory(Arc<Mutex<Disk>>);

impl FaultyDirectory {
    fn call<T>(&self, change: impl FnOnce(&mut Disk) -> io::Result<T>) -> io::Result<T> {
        let mut disk = self.0.lock().unwrap();
        if let Some(calls_left) = &mut disk.calls_left {
            if *calls_left == 0 {
                return Err(io::Error::other("no power"));
            }
            *calls_left -= 1;
        }
        if let Some(calls) = &mut disk.calls_until_full {
            if *calls == 0 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            *calls -= 1;
        }
        change(&mut disk)
    }

    /// The directory after a power failure: any part of the unsynced operations may have survived,
    /// chosen by the seed.
    fn after_power_failure(&self, seed: u64) -> FaultyDirectory {
        let disk = self.0.lock().unwrap();
        let mut random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = |bound: usize| {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) as usize % bound.max(1)
        };
        let mut files = disk.durable.clone();
        for op in disk.unsynced_names.iter().chain(&disk.unsynced_bytes) {
            if draw(2) == 0 {
                continue;
            }
            match op {
                UnsyncedOp::Create(name, bytes) => {
                    files.insert(name.clone(), bytes.clone());
                }
                UnsyncedOp::Rename(from, to) => {
                    if let Some(bytes) = files.remove(from) {
                        files.insert(to.clone(), bytes);
                    }
                }
                UnsyncedOp::Remove(name) => {
                    files.remove(name);
                }
                UnsyncedOp::Bytes(name, bytes) => {
                    // A prefix of the bytes, whose end may be zeroed.
                    let mut part = bytes[..draw(bytes.len() + 1)].to_vec();
                    if draw(3) == 0 {
                        let at = draw(part.len());
                        part.iter_mut().skip(at).for_each(|b| *b = 0);
                    }
                    if let Some(file) = files.get_mut(name) {
                        file.extend(part);
                    }
                }
            }
        }
        FaultyDirectory(Arc::new(Mutex::new(Disk {
            visible: files.clone(),
            durable: files,
            ..Disk::default()
        })))
    }
}

fn absent() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Directory for FaultyDirectory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.call(|d| Ok(d.visible.keys().cloned().collect()))
    }

    fn read(&mut self, name: &str, _: u64) -> io::Result<Vec<u8>> {
        self.call(|d| d.visible.get(name).cloned().ok_or_else(absent))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.call(|d| {
            d.visible.insert(name.into(), Vec::new());
            d.unsynced_names
                .push(UnsyncedOp::Create(name.into(), Vec::new()));
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.call(|d| {
            d.visible.get_mut(name).ok_or_else(absent)?.extend(bytes);
            d.unsynced_bytes
                .push(UnsyncedOp::Bytes(name.into(), bytes.to_vec()));
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.call(|d| {
            let whole = d.visible.get(name).cloned().ok_or_else(absent)?;
            // The bytes are durable; the name may not be.
            d.unsynced_bytes
                .retain(|u| !matches!(u, UnsyncedOp::Bytes(n, _) if n == name));
            let mut named = true;
            for op in &mut d.unsynced_names {
                match op {
                    UnsyncedOp::Create(n, bytes) if n == name => {
                        (*bytes, named) = (whole.clone(), false);
                    }
                    _ => {}
                }
            }
            if named {
                d.durable.insert(name.into(), whole);
            }
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.call(|d| {
            let bytes = d.visible.remove(from).ok_or_else(absent)?;
            d.visible.insert(to.into(), bytes);
            d.unsynced_names
                .push(UnsyncedOp::Rename(from.into(), to.into()));
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call(|d| {
            d.visible.remove(name).ok_or_else(absent)?;
            d.unsynced_names.push(UnsyncedOp::Remove(name.into()));
            Ok(())
        })
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.call(|d| {
            for op in std::mem::take(&mut d.unsynced_names) {
                match op {
                    UnsyncedOp::Create(name, bytes) => {
                        d.durable.insert(name, bytes);
                    }
                    UnsyncedOp::Rename(from, to) => {
                        if let Some(bytes) = d.durable.remove(&from) {
                            d.durable.insert(to, bytes);
                        }
                    }
                    UnsyncedOp::Remove(name) => {
                        d.durable.remove(&name);
                    }
                    UnsyncedOp::Bytes(..) => {}
                }
            }
            Ok(())
        })
    }
}

fn change(n: u64) -> Change {
    let at = Timestamp {
        wall_ms: n as f64,
        ..Timestamp::default()
    };
    Change::Server(ServerFact {
        name: format!("s{}", n % 7),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        state: AdminState::Ready,
        since: at.clone(),
        weight: 1.0,
        share: 1.0 / (1.0 + n as f64),
        judged: at,
        withdrawn: false,
    })
}

/// The states before and after each change of a run.
fn states(count: u64) -> Vec<Facts> {
    let mut facts = Facts::default();
    let mut out = vec![facts.clone()];
    for n in 1..=count {
        facts.apply(change(n)).unwrap();
        out.push(facts.clone());
    }
    out
}

fn key() -> Key {
    Key(Some(b"0123456789abcdef".to_vec()))
}

/// A scripted run of commits with compactions in between. Returns the last change committed for
/// certain and the last one attempted.
fn run(directory: &FaultyDirectory, key: &Key, count: u64) -> (u64, u64) {
    let (mut committed, mut attempted) = (0, 0);
    let Ok((mut store, mut facts, _)) = Store::open(directory.clone(), key.clone()) else {
        return (0, 0);
    };
    for n in 1..=count {
        attempted = n;
        let _ = facts.apply(change(n));
        if store.commit(&[change(n)]).is_err() {
            return (committed, attempted);
        }
        committed = n;
        if n % 9 == 4 && store.begin_generation(&facts).is_err() {
            return (committed, attempted);
        }
        // Write the snapshot in slices, so that commits continue during a compaction.
        if store.write_snapshot_records(3).is_err() {
            return (committed, attempted);
        }
    }
    (committed, attempted)
}

#[test]
fn recovers_from_power_failure_at_any_call() {
    const CHANGES: u64 = 24;
    let states = states(CHANGES);
    for key in [Key::default(), key()] {
        let whole = FaultyDirectory::default();
        assert_eq!(run(&whole, &key, CHANGES), (CHANGES, CHANGES));
        let calls = {
            let counted = FaultyDirectory::default();
            counted.0.lock().unwrap().calls_left = Some(usize::MAX);
            run(&counted, &key, CHANGES);
            usize::MAX - counted.0.lock().unwrap().calls_left.unwrap()
        };
        assert!(calls > 60, "{calls} calls");
        for calls_left in 0..calls {
            for seed in 0..12 {
                let directory = FaultyDirectory::default();
                directory.0.lock().unwrap().calls_left = Some(calls_left);
                let (committed, attempted) = run(&directory, &key, CHANGES);
                let mut recovered = directory.after_power_failure(seed);
                let what = format!(
                    "after {calls_left} calls, seed {seed}: {committed} committed of {attempted}"
                );
                let (facts, found) = recover(&mut recovered, &key).unwrap();
                let at = states.iter().position(|s| s.servers == facts.servers);
                let at =
                    at.unwrap_or_else(|| panic!("{what}: not an earlier state: {found:?}")) as u64;
                assert!(
                    (committed..=attempted).contains(&at),
                    "{what}: state {at}, {found:?}"
                );
                // The directory can be opened again, also after two further power failures right at
                // the start.
                for _ in 0..2 {
                    let (store, again, _) = Store::open(recovered.clone(), key.clone()).unwrap();
                    assert_eq!(again.servers, facts.servers, "{what}");
                    drop(store);
                    recovered = recovered.after_power_failure(seed + 1);
                }
            }
        }
    }
}

#[test]
fn corrupt_and_forged_files_are_rejected() {
    let directory = FaultyDirectory::default();
    run(&directory, &key(), 12);
    let names = |l: &FaultyDirectory| -> Vec<String> {
        l.0.lock().unwrap().visible.keys().cloned().collect()
    };
    let states = states(12);
    for name in names(&directory) {
        let length = directory.0.lock().unwrap().visible[&name].len();
        for at in 0..length {
            let mut corrupted = directory.after_power_failure(0);
            corrupted.0.lock().unwrap().visible.get_mut(&name).unwrap()[at] ^= 0x10;
            // Either an error, or a state that existed.
            if let Ok((facts, _)) = recover(&mut corrupted, &key()) {
                let was = states.iter().any(|s| s.servers == facts.servers);
                assert!(was, "{name} bent at {at}: {facts:?}");
            }
        }
    }
    // Without the key nobody can write what is read with it, and the other way round.
    let forged = FaultyDirectory::default();
    run(&forged, &Key::default(), 3);
    assert!(recover(&mut forged.clone(), &key()).is_err());
    assert!(recover(&mut directory.clone(), &Key::default()).is_err());
    let other = Key(Some(b"another key than it".to_vec()));
    assert!(
        recover(&mut directory.clone(), &other).is_err(),
        "a file with another key must not be discarded"
    );
}

#[test]
fn newer_schema_is_refused_and_left_untouched() {
    let directory = FaultyDirectory::default();
    run(&directory, &Key::default(), 3);
    {
        let mut disk = directory.0.lock().unwrap();
        disk.visible.values_mut().for_each(|bytes| bytes[8] = 9);
    }
    let before = directory.0.lock().unwrap().visible.clone();
    let why = Store::open(directory.clone(), Key::default())
        .err()
        .unwrap()
        .to_string();
    assert!(
        why.contains("schema 9 was written by a newer version"),
        "{why}"
    );
    assert_eq!(directory.0.lock().unwrap().visible, before);
}

/// Files of schema 1 are read, and values kept by hooks, which are new in schema 2, can be added to
/// them.
#[test]
fn older_schema_is_read_and_continued() {
    let directory = FaultyDirectory::default();
    run(&directory, &Key::default(), 3);
    {
        let mut disk = directory.0.lock().unwrap();
        disk.visible.values_mut().for_each(|bytes| bytes[8] = 1);
    }
    let (before, _) = recover(&mut directory.clone(), &Key::default()).unwrap();
    assert!(!before.servers.is_empty() && before.kept.is_empty());
    let kept = |value: &str| Change::Kept("night.hook".into(), "seen".into(), value.into());
    let (mut store, facts, _) = Store::open(directory.clone(), Key::default()).unwrap();
    store.commit(&[kept("1"), kept("2")]).unwrap();
    drop(store);
    let (mut store, mut facts_again, _) = Store::open(directory.clone(), Key::default()).unwrap();
    assert_eq!(facts.servers, facts_again.servers);
    let name = ("night.hook".to_string(), "seen".to_string());
    assert_eq!(facts_again.kept.get(&name).map(String::as_str), Some("2"));
    facts_again.apply(kept("")).unwrap();
    store.begin_generation(&facts_again).unwrap();
    while store.write_snapshot_records(1).unwrap() {}
    drop(store);
    let (facts, _) = recover(&mut directory.clone(), &Key::default()).unwrap();
    assert!(facts.kept.is_empty(), "an empty value removes the name");
}

#[test]
fn two_processes_do_not_share_a_directory() {
    let dir = std::env::temp_dir().join(format!("dahliapoint-memory-{}", std::process::id()));
    let held = FsDirectory::open(&dir).unwrap();
    let why = FsDirectory::open(&dir).err().unwrap().to_string();
    assert!(why.contains("held by another process"), "{why}");
    let (mut store, ..) = Store::open(held, Key::default()).unwrap();
    store.commit(&[change(1)]).unwrap();
    drop(store);
    let (_, facts, found) = Store::open(FsDirectory::open(&dir).unwrap(), Key::default()).unwrap();
    assert_eq!((facts.servers.len(), found.torn_bytes), (1, 0));
    std::fs::remove_dir_all(&dir).unwrap();
}

/// While the disk is full nothing blocks; afterwards the directory is repaired from the state in
/// memory.
#[test]
fn full_disk_is_repaired_without_blocking() {
    let directory = FaultyDirectory::default();
    let (store, facts, found) = Store::open(directory.clone(), Key::default()).unwrap();
    let (writer, thread) = JournalWriter::start(store, facts, found).unwrap();
    directory.0.lock().unwrap().calls_until_full = Some(0);
    for n in 1..=50 {
        assert!(writer.offer(vec![change(n)]));
    }
    let end = Instant::now() + Duration::from_secs(20);
    let until = |what: &str, condition: &dyn Fn() -> bool| {
        while !condition() {
            assert!(Instant::now() < end, "{what}: {}", writer.status());
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    until("the error is reported", &|| {
        writer.status()["fault"].is_string()
    });
    directory.0.lock().unwrap().calls_until_full = None;
    until("the directory is repaired", &|| {
        writer.status()["fault"].is_null()
    });
    assert!(writer.offer(vec![change(51)]));
    writer.stop();
    thread.join().unwrap();
    let (facts, _) = recover(&mut directory.after_power_failure(3), &Key::default()).unwrap();
    assert_eq!(facts.servers, states(51).pop().unwrap().servers);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]
    /// Arbitrary bytes in our files cause neither a panic nor large allocations.
    #[test]
    fn arbitrary_bytes_are_read_safely(bytes in proptest::collection::vec(any::<u8>(), 0..300), head in any::<bool>()) {
        let directory = FaultyDirectory::default();
        run(&directory, &Key::default(), 2);
        {
            let mut disk = directory.0.lock().unwrap();
            for file in disk.visible.values_mut() {
                let kept = if head { 24.min(file.len()) } else { 0 };
                file.truncate(kept);
                file.extend(&bytes);
            }
        }
        if let Ok((facts, _)) = recover(&mut directory.clone(), &Key::default()) {
            prop_assert!(facts.servers.len() < 300);
        }
    }
}
