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
enum Undone {
    Bytes(String, Vec<u8>),
    /// A new file, with those of its bytes that were synced.
    Create(String, Vec<u8>),
    Rename(String, String),
    Remove(String),
}

#[derive(Default)]
struct Disk {
    /// The contents as visible now, and those that survive a power failure.
    now: BTreeMap<String, Vec<u8>>,
    safe: BTreeMap<String, Vec<u8>>,
    /// Operations on names and on bytes that were not synced.
    names: Vec<Undone>,
    bytes: Vec<Undone>,
    /// Number of calls until the power fails, and until the disk is full.
    left: Option<usize>,
    full: Option<usize>,
}

/// A directory in memory that loses, tears and reorders unsynced writes.
#[derive(Clone, Default)]
struct Torn(Arc<Mutex<Disk>>);

impl Torn {
    fn call<T>(&self, change: impl FnOnce(&mut Disk) -> io::Result<T>) -> io::Result<T> {
        let mut disk = self.0.lock().unwrap();
        if let Some(left) = &mut disk.left {
            if *left == 0 {
                return Err(io::Error::other("no power"));
            }
            *left -= 1;
        }
        if let Some(left) = &mut disk.full {
            if *left == 0 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            *left -= 1;
        }
        change(&mut disk)
    }

    /// The directory after a power failure: any part of the unsynced operations may have survived,
    /// chosen by the seed.
    fn back(&self, seed: u64) -> Torn {
        let disk = self.0.lock().unwrap();
        let mut chance = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = |most: usize| {
            chance = chance
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (chance >> 33) as usize % most.max(1)
        };
        let mut files = disk.safe.clone();
        for undone in disk.names.iter().chain(&disk.bytes) {
            if draw(2) == 0 {
                continue;
            }
            match undone {
                Undone::Create(name, bytes) => {
                    files.insert(name.clone(), bytes.clone());
                }
                Undone::Rename(from, to) => {
                    if let Some(bytes) = files.remove(from) {
                        files.insert(to.clone(), bytes);
                    }
                }
                Undone::Remove(name) => {
                    files.remove(name);
                }
                Undone::Bytes(name, bytes) => {
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
        Torn(Arc::new(Mutex::new(Disk {
            now: files.clone(),
            safe: files,
            ..Disk::default()
        })))
    }
}

fn absent() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Directory for Torn {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.call(|d| Ok(d.now.keys().cloned().collect()))
    }

    fn read(&mut self, name: &str, _: u64) -> io::Result<Vec<u8>> {
        self.call(|d| d.now.get(name).cloned().ok_or_else(absent))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.call(|d| {
            d.now.insert(name.into(), Vec::new());
            d.names.push(Undone::Create(name.into(), Vec::new()));
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.call(|d| {
            d.now.get_mut(name).ok_or_else(absent)?.extend(bytes);
            d.bytes.push(Undone::Bytes(name.into(), bytes.to_vec()));
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.call(|d| {
            let whole = d.now.get(name).cloned().ok_or_else(absent)?;
            // The bytes are durable; the name may not be.
            d.bytes
                .retain(|u| !matches!(u, Undone::Bytes(n, _) if n == name));
            let mut named = true;
            for undone in &mut d.names {
                match undone {
                    Undone::Create(n, bytes) if n == name => {
                        (*bytes, named) = (whole.clone(), false);
                    }
                    _ => {}
                }
            }
            if named {
                d.safe.insert(name.into(), whole);
            }
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.call(|d| {
            let bytes = d.now.remove(from).ok_or_else(absent)?;
            d.now.insert(to.into(), bytes);
            d.names.push(Undone::Rename(from.into(), to.into()));
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call(|d| {
            d.now.remove(name).ok_or_else(absent)?;
            d.names.push(Undone::Remove(name.into()));
            Ok(())
        })
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.call(|d| {
            for undone in std::mem::take(&mut d.names) {
                match undone {
                    Undone::Create(name, bytes) => {
                        d.safe.insert(name, bytes);
                    }
                    Undone::Rename(from, to) => {
                        if let Some(bytes) = d.safe.remove(&from) {
                            d.safe.insert(to, bytes);
                        }
                    }
                    Undone::Remove(name) => {
                        d.safe.remove(&name);
                    }
                    Undone::Bytes(..) => {}
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
fn states(many: u64) -> Vec<Facts> {
    let mut facts = Facts::default();
    let mut out = vec![facts.clone()];
    for n in 1..=many {
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
fn run(layer: &Torn, key: &Key, many: u64) -> (u64, u64) {
    let (mut safe, mut tried) = (0, 0);
    let Ok((mut store, mut facts, _)) = Store::open(layer.clone(), key.clone()) else {
        return (0, 0);
    };
    for n in 1..=many {
        tried = n;
        let _ = facts.apply(change(n));
        if store.commit(&[change(n)]).is_err() {
            return (safe, tried);
        }
        safe = n;
        if n % 9 == 4 && store.begin_generation(&facts).is_err() {
            return (safe, tried);
        }
        // Write the snapshot in slices, so that commits continue during a compaction.
        if store.write_snapshot_records(3).is_err() {
            return (safe, tried);
        }
    }
    (safe, tried)
}

#[test]
fn the_power_may_go_at_any_call() {
    const MANY: u64 = 24;
    let states = states(MANY);
    for key in [Key::default(), key()] {
        let whole = Torn::default();
        assert_eq!(run(&whole, &key, MANY), (MANY, MANY));
        let calls = {
            let counted = Torn::default();
            counted.0.lock().unwrap().left = Some(usize::MAX);
            run(&counted, &key, MANY);
            usize::MAX - counted.0.lock().unwrap().left.unwrap()
        };
        assert!(calls > 60, "{calls} calls");
        for left in 0..calls {
            for seed in 0..12 {
                let layer = Torn::default();
                layer.0.lock().unwrap().left = Some(left);
                let (safe, tried) = run(&layer, &key, MANY);
                let mut back = layer.back(seed);
                let what = format!("after {left} calls, seed {seed}: {safe} safe of {tried}");
                let (facts, found) = recover(&mut back, &key).unwrap();
                let at = states.iter().position(|s| s.servers == facts.servers);
                let at =
                    at.unwrap_or_else(|| panic!("{what}: no state that was: {found:?}")) as u64;
                assert!(
                    (safe..=tried).contains(&at),
                    "{what}: state {at}, {found:?}"
                );
                // The directory can be opened again, also after two further power failures right at
                // the start.
                for _ in 0..2 {
                    let (store, again, _) = Store::open(back.clone(), key.clone()).unwrap();
                    assert_eq!(again.servers, facts.servers, "{what}");
                    drop(store);
                    back = back.back(seed + 1);
                }
            }
        }
    }
}

#[test]
fn bent_and_planted_files_are_not_taken_for_ours() {
    let layer = Torn::default();
    run(&layer, &key(), 12);
    let names = |l: &Torn| -> Vec<String> { l.0.lock().unwrap().now.keys().cloned().collect() };
    let states = states(12);
    for name in names(&layer) {
        let length = layer.0.lock().unwrap().now[&name].len();
        for at in 0..length {
            let mut bent = layer.back(0);
            bent.0.lock().unwrap().now.get_mut(&name).unwrap()[at] ^= 0x10;
            // Either an error, or a state that existed.
            if let Ok((facts, _)) = recover(&mut bent, &key()) {
                let was = states.iter().any(|s| s.servers == facts.servers);
                assert!(was, "{name} bent at {at}: {facts:?}");
            }
        }
    }
    // Without the key nobody can write what is read with it, and the other way round.
    let planted = Torn::default();
    run(&planted, &Key::default(), 3);
    assert!(recover(&mut planted.clone(), &key()).is_err());
    assert!(recover(&mut layer.clone(), &Key::default()).is_err());
    let other = Key(Some(b"another key than it".to_vec()));
    assert!(
        recover(&mut layer.clone(), &other).is_err(),
        "and nothing is thrown away"
    );
}

#[test]
fn a_newer_programs_file_is_refused_and_left_alone() {
    let layer = Torn::default();
    run(&layer, &Key::default(), 3);
    {
        let mut disk = layer.0.lock().unwrap();
        disk.now.values_mut().for_each(|bytes| bytes[8] = 9);
    }
    let before = layer.0.lock().unwrap().now.clone();
    let why = Store::open(layer.clone(), Key::default())
        .err()
        .unwrap()
        .to_string();
    assert!(
        why.contains("schema 9 was written by a newer version"),
        "{why}"
    );
    assert_eq!(layer.0.lock().unwrap().now, before);
}

/// Files of schema 1 are read, and values kept by hooks, which are new in schema 2, can be added to
/// them.
#[test]
fn an_older_programs_file_is_read_and_gone_on_from() {
    let layer = Torn::default();
    run(&layer, &Key::default(), 3);
    {
        let mut disk = layer.0.lock().unwrap();
        disk.now.values_mut().for_each(|bytes| bytes[8] = 1);
    }
    let (before, _) = recover(&mut layer.clone(), &Key::default()).unwrap();
    assert!(!before.servers.is_empty() && before.kept.is_empty());
    let kept = |value: &str| Change::Kept("night.hook".into(), "seen".into(), value.into());
    let (mut store, facts, _) = Store::open(layer.clone(), Key::default()).unwrap();
    store.commit(&[kept("1"), kept("2")]).unwrap();
    drop(store);
    let (mut store, mut facts_again, _) = Store::open(layer.clone(), Key::default()).unwrap();
    assert_eq!(facts.servers, facts_again.servers);
    let name = ("night.hook".to_string(), "seen".to_string());
    assert_eq!(facts_again.kept.get(&name).map(String::as_str), Some("2"));
    facts_again.apply(kept("")).unwrap();
    store.begin_generation(&facts_again).unwrap();
    while store.write_snapshot_records(1).unwrap() {}
    drop(store);
    let (facts, _) = recover(&mut layer.clone(), &Key::default()).unwrap();
    assert!(facts.kept.is_empty(), "an empty value is none");
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
fn a_full_disk_is_mended_and_costs_no_decision() {
    let layer = Torn::default();
    let (store, facts, found) = Store::open(layer.clone(), Key::default()).unwrap();
    let (keeper, thread) = JournalWriter::start(store, facts, found).unwrap();
    layer.0.lock().unwrap().full = Some(0);
    for n in 1..=50 {
        assert!(keeper.offer(vec![change(n)]));
    }
    let end = Instant::now() + Duration::from_secs(20);
    let until = |what: &str, met: &dyn Fn() -> bool| {
        while !met() {
            assert!(Instant::now() < end, "{what}: {}", keeper.status());
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    until("the fault is told", &|| {
        keeper.status()["fault"].is_string()
    });
    layer.0.lock().unwrap().full = None;
    until("it is mended", &|| keeper.status()["fault"].is_null());
    assert!(keeper.offer(vec![change(51)]));
    keeper.stop();
    thread.join().unwrap();
    let (facts, _) = recover(&mut layer.back(3), &Key::default()).unwrap();
    assert_eq!(facts.servers, states(51).pop().unwrap().servers);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]
    /// Arbitrary bytes in our files cause neither a panic nor large allocations.
    #[test]
    fn any_bytes_are_read_without_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300), head in any::<bool>()) {
        let layer = Torn::default();
        run(&layer, &Key::default(), 2);
        {
            let mut disk = layer.0.lock().unwrap();
            for file in disk.now.values_mut() {
                let kept = if head { 24.min(file.len()) } else { 0 };
                file.truncate(kept);
                file.extend(&bytes);
            }
        }
        if let Ok((facts, _)) = recover(&mut layer.clone(), &Key::default()) {
            prop_assert!(facts.servers.len() < 300);
        }
    }
}
