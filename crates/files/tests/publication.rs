//! Publications that fail at every call, and readers that run flat out meanwhile.

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

/// Calls are let through until one of them fails: after half of what it does, and all later ones with it if
/// the process is killed there.
struct Failing {
    plain: SystemDisk,
    left: usize,
    killed: bool,
    over: bool,
}

impl Failing {
    fn after(calls: usize, killed: bool) -> Failing {
        Failing {
            plain: SystemDisk::default(),
            left: calls,
            killed,
            over: false,
        }
    }

    fn goes(&mut self) -> bool {
        if self.over && self.killed {
            return false;
        }
        let goes = self.left > 0 || self.over;
        self.left = self.left.saturating_sub(1);
        self.over |= !goes;
        goes
    }
}

fn full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl Disk for Failing {
    fn make_dir(&mut self, path: &Path) -> io::Result<()> {
        if self.goes() {
            self.plain.make_dir(path)
        } else {
            Err(full())
        }
    }

    fn write(&mut self, path: &Path, bytes: &[u8], synced: bool) -> io::Result<()> {
        let was_over = self.over;
        if self.goes() {
            return self.plain.write(path, bytes, synced);
        }
        if !was_over {
            let _ = self.plain.write(path, &bytes[..bytes.len() / 2], synced);
        }
        Err(full())
    }

    fn link(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        if self.goes() {
            self.plain.link(from, to)
        } else {
            Err(full())
        }
    }

    fn symlink(&mut self, link: &Path, to: &str) -> io::Result<()> {
        if self.goes() {
            self.plain.symlink(link, to)
        } else {
            Err(full())
        }
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        if self.goes() {
            self.plain.rename(from, to)
        } else {
            Err(full())
        }
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        if self.goes() {
            self.plain.remove(path)
        } else {
            Err(full())
        }
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        if self.goes() {
            self.plain.sync(path)
        } else {
            Err(full())
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

fn mark_of(look: ReadResult) -> u64 {
    match look {
        ReadResult::Updated(found) => {
            let whole = table(found.serial, found.lines.len());
            assert_eq!(found.lines, whole.lines, "a mixed table");
            found.serial
        }
        other => panic!("{other:?}"),
    }
}

/// Killed, or the disk full, at each call of a whole table's and of a patch's publication.
#[test]
fn whatever_call_fails_readers_find_the_old_table_or_the_new_one() {
    for killed in [true, false] {
        for lines in [3, 200] {
            let mut at = 0;
            loop {
                let folder = Folder::new();
                let mut first = publisher(&folder);
                publish(&mut first, &mut SystemDisk::default(), table(1, lines)).unwrap();
                let mut slow = reader(&folder);
                assert_eq!(mark_of(slow.poll(None)), 1);
                let mut disk = Failing::after(at, killed);
                let done = publish(&mut first, &mut disk, table(2, lines));
                let found = mark_of(reader(&folder).poll(None));
                let what = format!("killed {killed}, {lines} lines, call {at}");
                assert!(
                    found == 2 || found == 1 && done.is_err(),
                    "{what}: {found}, {done:?}"
                );
                if done.is_ok() && !disk.over {
                    // Nothing was left to fail.
                    break;
                }
                // The next life, or the next round: all goes on.
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
fn readers_that_run_flat_out_never_see_half_a_table() {
    let folder = Folder::new();
    let mut p = publisher(&folder);
    publish(&mut p, &mut SystemDisk::default(), table(1, 60)).unwrap();
    let over = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..3)
        .map(|_| {
            let (dir, over) = (folder.path().join("p"), over.clone());
            std::thread::spawn(move || {
                let (mut reads, mut last) = (0_u64, 0);
                while !over.load(Ordering::SeqCst) {
                    // A reader that has seen nothing looks at all there is, each time.
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
    over.store(true, Ordering::SeqCst);
    let reads: Vec<u64> = readers.into_iter().map(|r| r.join().unwrap()).collect();
    assert!(reads.iter().all(|n| *n > 10), "{reads:?}");
    assert!(
        p.patches > 100 && p.snapshots > 1,
        "{} patched, {} whole",
        p.patches,
        p.snapshots
    );
}

#[test]
fn what_others_did_to_the_directory_is_met() {
    let folder = Folder::new();
    let dir = folder.path().join("p");
    let mut p = publisher(&folder);
    let mut disk = SystemDisk::default();
    publish(&mut p, &mut disk, table(1, 200)).unwrap();
    let mut r = reader(&folder);
    assert_eq!(mark_of(r.poll(None)), 1);

    // Removed under way: a patch has no base any more; the next round writes it whole.
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(publish(&mut p, &mut disk, table(2, 200)).is_err());
    assert_eq!(
        r.poll(None),
        ReadResult::Unchanged,
        "the reader keeps what it holds"
    );
    publish(&mut p, &mut disk, table(2, 200)).unwrap();
    assert_eq!(mark_of(r.poll(None)), 2);

    // A file bent by hand.
    let current = std::fs::read_link(dir.join("current")).unwrap();
    std::fs::write(dir.join(&current).join("table.json"), "{}").unwrap();
    assert!(
        matches!(reader(&folder).poll(None), ReadResult::Invalid(_, why) if why.contains("manifest lists"))
    );

    // It is the base of the next one too, until a reader's refusal has come back.
    publish(&mut p, &mut disk, table(3, 200)).unwrap();
    assert!(matches!(r.poll(None), ReadResult::Invalid(_, why) if why.contains("manifest lists")));
    p.discard_base();

    // An older generation put in force again, to a reader that has a newer one.
    publish(&mut p, &mut disk, table(3, 200)).unwrap();
    assert_eq!(mark_of(r.poll(None)), 3);
    std::fs::remove_file(dir.join("current")).unwrap();
    std::os::unix::fs::symlink(&current, dir.join("current")).unwrap();
    assert!(
        matches!(r.poll(None), ReadResult::Invalid(_, why) if why.contains("manifest") || why.contains("back"))
    );
    assert_eq!(r.poll(None), ReadResult::Unchanged, "said once");

    // The directory is a link to somewhere else: nothing is written there.
    let elsewhere = folder.path().join("elsewhere");
    std::fs::rename(&dir, &elsewhere).unwrap();
    std::os::unix::fs::symlink(&elsewhere, &dir).unwrap();
    let before = std::fs::read_dir(&elsewhere).unwrap().count();
    assert!(publish(&mut p, &mut disk, table(4, 200)).is_err());
    assert_eq!(std::fs::read_dir(&elsewhere).unwrap().count(), before);
}

#[test]
fn a_table_that_is_out_of_date_is_not_begun_with_and_one_in_use_stays() {
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
        "a reader's clock takes nothing away"
    );
    // Another life of the controller goes on above what readers hold.
    let mut next = publisher(&folder);
    next.raise_generation(1_000);
    assert_eq!(
        publish(&mut next, &mut SystemDisk::default(), table(3, 3)).unwrap(),
        1_001
    );
}

#[test]
fn signed_tables_are_taken_with_either_key_of_a_change_and_no_other() {
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
    // Whoever can write files but has no key: the manifest's own sums are no help.
    let current = dir.join(std::fs::read_link(dir.join("current")).unwrap());
    let manifest = std::fs::read_to_string(current.join("manifest.json")).unwrap();
    let forged = Keys::default().add_tag(manifest.lines().next().unwrap());
    std::fs::write(current.join("manifest.json"), forged).unwrap();
    assert!(
        matches!(look(keys(&[OLD])), ReadResult::Invalid(_, why) if why.contains("not signed"))
    );
}
