//! Publications that fail at each file system call, and readers that read continuously meanwhile.

mod common;

use common::{Folder, table};
use dahliapoint_files::disk::{Disk, SystemDisk};
use dahliapoint_files::formats::{Format, Table};
use dahliapoint_files::integrity::Keys;
use dahliapoint_files::publish::Publisher;
use dahliapoint_files::reader::{ReadResult, Reader};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

/// Lets calls through until one fails, a write after half of its bytes; if `killed`, all later calls fail as well, as
/// if the process had been killed there.
struct FailingDisk {
    disk: SystemDisk,
    calls_left: usize,
    killed: bool,
    has_failed: bool,
}

impl FailingDisk {
    fn after(calls: usize, killed: bool) -> FailingDisk {
        FailingDisk {
            disk: SystemDisk::default(),
            calls_left: calls,
            killed,
            has_failed: false,
        }
    }

    fn succeeds(&mut self) -> bool {
        if self.has_failed && self.killed {
            return false;
        }
        let succeeds = self.calls_left > 0 || self.has_failed;
        self.calls_left = self.calls_left.saturating_sub(1);
        self.has_failed |= !succeeds;
        succeeds
    }
}

fn disk_full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl Disk for FailingDisk {
    fn make_dir(&mut self, path: &Path) -> io::Result<()> {
        if self.succeeds() {
            self.disk.make_dir(path)
        } else {
            Err(disk_full())
        }
    }

    fn write(&mut self, path: &Path, bytes: &[u8], synced: bool) -> io::Result<()> {
        let had_failed = self.has_failed;
        if self.succeeds() {
            return self.disk.write(path, bytes, synced);
        }
        if !had_failed {
            let _ = self.disk.write(path, &bytes[..bytes.len() / 2], synced);
        }
        Err(disk_full())
    }

    fn hard_link(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        if self.succeeds() {
            self.disk.hard_link(from, to)
        } else {
            Err(disk_full())
        }
    }

    fn symlink(&mut self, link: &Path, to: &str) -> io::Result<()> {
        if self.succeeds() {
            self.disk.symlink(link, to)
        } else {
            Err(disk_full())
        }
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        if self.succeeds() {
            self.disk.rename(from, to)
        } else {
            Err(disk_full())
        }
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        if self.succeeds() {
            self.disk.remove(path)
        } else {
            Err(disk_full())
        }
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        if self.succeeds() {
            self.disk.sync(path)
        } else {
            Err(disk_full())
        }
    }
}

fn publisher(folder: &Folder) -> Publisher {
    let dir = folder.path().join("p");
    Publisher::new(
        dir,
        "p",
        Keys::default(),
        &[Format::Balancer, Format::Workers],
        0,
    )
}

fn reader(folder: &Folder) -> Reader {
    Reader::new(folder.path().join("p"), "p", Keys::default())
}

fn publish(p: &mut Publisher, disk: &mut dyn Disk, table: Table) -> io::Result<u64> {
    p.publish(disk, table, 0, 60_000, true)
}

fn mark_of(result: ReadResult) -> u64 {
    match result {
        ReadResult::Updated(found) => {
            let expected = table(found.serial, found.lines.len());
            assert_eq!(found.lines, expected.lines, "a mixed table");
            found.serial
        }
        other => panic!("{other:?}"),
    }
}

/// The process is killed, or the disk is full, at each call of the publication of a snapshot and of a patch.
#[test]
fn readers_find_the_old_or_the_new_table_whichever_call_fails() {
    for killed in [true, false] {
        for lines in [3, 200] {
            let mut at = 0;
            loop {
                let folder = Folder::new();
                let mut first = publisher(&folder);
                publish(&mut first, &mut SystemDisk::default(), table(1, lines)).unwrap();
                let mut slow = reader(&folder);
                assert_eq!(mark_of(slow.poll(None)), 1);
                let mut disk = FailingDisk::after(at, killed);
                let result = publish(&mut first, &mut disk, table(2, lines));
                let found = mark_of(reader(&folder).poll(None));
                let what = format!("killed {killed}, {lines} lines, call {at}");
                assert!(
                    found == 2 || found == 1 && result.is_err(),
                    "{what}: {found}, {result:?}"
                );
                if result.is_ok() && !disk.has_failed {
                    // No call was left to fail.
                    break;
                }
                // The next run of the controller, or the next round, publishes again.
                let mut next = if killed { publisher(&folder) } else { first };
                publish(&mut next, &mut SystemDisk::default(), table(3, lines)).unwrap();
                assert_eq!(mark_of(slow.poll(None)), 3, "{what}");
                at += 1;
            }
            assert!(at >= 8, "{at} calls could fail");
        }
    }
}

#[test]
fn continuous_readers_never_see_a_partial_table() {
    let folder = Folder::new();
    let mut p = publisher(&folder);
    publish(&mut p, &mut SystemDisk::default(), table(1, 60)).unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..3)
        .map(|_| {
            let (dir, stop) = (folder.path().join("p"), stop.clone());
            std::thread::spawn(move || {
                let (mut reads, mut last) = (0_u64, 0);
                while !stop.load(Ordering::SeqCst) {
                    // A new reader loads the current table each time.
                    let found = mark_of(Reader::new(dir.clone(), "p", Keys::default()).poll(None));
                    assert!(found >= last, "{found} after {last}");
                    last = found;
                    reads += 1;
                }
                reads
            })
        })
        .collect();
    for mark in 2..=200 {
        publish(&mut p, &mut SystemDisk::default(), table(mark, 60)).unwrap();
    }
    stop.store(true, Ordering::SeqCst);
    let reads: Vec<u64> = readers.into_iter().map(|r| r.join().unwrap()).collect();
    assert!(reads.iter().all(|n| *n > 10), "{reads:?}");
    assert!(
        p.patches > 100 && p.snapshots > 1,
        "{} patches, {} snapshots",
        p.patches,
        p.snapshots
    );
}

#[test]
fn changes_by_others_in_the_directory_are_handled() {
    let folder = Folder::new();
    let dir = folder.path().join("p");
    let mut p = publisher(&folder);
    let mut disk = SystemDisk::default();
    publish(&mut p, &mut disk, table(1, 200)).unwrap();
    let mut r = reader(&folder);
    assert_eq!(mark_of(r.poll(None)), 1);

    // Removed meanwhile: a patch lacks its base; the next publication is a snapshot.
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(publish(&mut p, &mut disk, table(2, 200)).is_err());
    assert_eq!(
        r.poll(None),
        ReadResult::Unchanged,
        "the reader keeps what it holds"
    );
    publish(&mut p, &mut disk, table(2, 200)).unwrap();
    assert_eq!(mark_of(r.poll(None)), 2);

    // A file edited by hand.
    let current = std::fs::read_link(dir.join("current")).unwrap();
    std::fs::write(dir.join(&current).join("table.json"), "{}").unwrap();
    assert!(
        matches!(reader(&folder).poll(None), ReadResult::Invalid(_, why) if why.contains("manifest lists"))
    );

    // It is the base of the next generation too, until a reader has refused that one.
    publish(&mut p, &mut disk, table(3, 200)).unwrap();
    assert!(matches!(r.poll(None), ReadResult::Invalid(_, why) if why.contains("manifest lists")));
    p.discard_base();

    // An older generation made current again, for a reader that has a newer one.
    publish(&mut p, &mut disk, table(3, 200)).unwrap();
    assert_eq!(mark_of(r.poll(None)), 3);
    std::fs::remove_file(dir.join("current")).unwrap();
    std::os::unix::fs::symlink(&current, dir.join("current")).unwrap();
    assert!(
        matches!(r.poll(None), ReadResult::Invalid(_, why) if why.contains("manifest") || why.contains("back"))
    );
    assert_eq!(r.poll(None), ReadResult::Unchanged, "reported once");

    // The directory is replaced by a link to another one: nothing is written there.
    let elsewhere = folder.path().join("elsewhere");
    std::fs::rename(&dir, &elsewhere).unwrap();
    std::os::unix::fs::symlink(&elsewhere, &dir).unwrap();
    let before = std::fs::read_dir(&elsewhere).unwrap().count();
    assert!(publish(&mut p, &mut disk, table(4, 200)).is_err());
    assert_eq!(std::fs::read_dir(&elsewhere).unwrap().count(), before);
}

#[test]
fn an_expired_table_is_refused_at_the_start_only() {
    let folder = Folder::new();
    let mut p = publisher(&folder);
    publish(&mut p, &mut SystemDisk::default(), table(1, 3)).unwrap();
    let later = SystemTime::now() + Duration::from_secs(120);
    assert!(
        matches!(reader(&folder).poll(Some(later)), ReadResult::Invalid(_, why) if why.contains("out of date"))
    );
    let mut r = reader(&folder);
    assert_eq!(mark_of(r.poll(Some(SystemTime::now()))), 1);
    publish(&mut p, &mut SystemDisk::default(), table(2, 3)).unwrap();
    assert_eq!(
        mark_of(r.poll(Some(later))),
        2,
        "a table in use does not expire"
    );
    // Another run of the controller publishes above the generation that readers use.
    let mut next = publisher(&folder);
    next.raise_generation(1_000);
    assert_eq!(
        publish(&mut next, &mut SystemDisk::default(), table(3, 3)).unwrap(),
        1_001
    );
}

#[test]
fn signed_tables_are_accepted_with_either_key_of_a_rotation_and_no_other() {
    const OLD: &str = "old = 000102030405060708090a0b0c0d0e0f";
    const NEW: &str = "new = 101112131415161718191a1b1c1d1e1f";
    let keys = |lines: &[&str]| Keys::parse("k", &lines.join("\n")).unwrap();
    let folder = Folder::new();
    let dir = folder.path().join("p");
    let mut p = Publisher::new(dir.clone(), "p", keys(&[OLD]), &[], 0);
    publish(&mut p, &mut SystemDisk::default(), table(1, 3)).unwrap();
    let look = |keys| Reader::new(dir.clone(), "p", keys).poll(None);
    assert_eq!(mark_of(look(keys(&[OLD]))), 1);
    assert_eq!(mark_of(look(keys(&[NEW, OLD]))), 1);
    for refused in [keys(&[NEW]), Keys::default()] {
        assert!(matches!(look(refused), ReadResult::Invalid(..)));
    }
    // An attacker who can write files but has no key: the checksums in the manifest don't help.
    let current = dir.join(std::fs::read_link(dir.join("current")).unwrap());
    let manifest = std::fs::read_to_string(current.join("manifest.json")).unwrap();
    let forged = Keys::default().add_tag(manifest.lines().next().unwrap());
    std::fs::write(current.join("manifest.json"), forged).unwrap();
    assert!(
        matches!(look(keys(&[OLD])), ReadResult::Invalid(_, why) if why.contains("not signed"))
    );
}
