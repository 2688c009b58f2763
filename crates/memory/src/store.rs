//! The journal and snapshots in a directory.
//!
//! A generation consists of a snapshot and the journal of changes since. A new generation starts
//! with its journal, to which all further changes go. Its snapshot is written in slices to a
//! temporary file; older files are removed only once that file has been renamed and read back.
//! Recovery reads the newest complete snapshot and all journals from its generation on, each up to
//! its first invalid frame.

use crate::directory::Directory;
use crate::facts::{Change, Facts};
use crate::frames::{FileError, FrameChain, Key, Kind, read};
use serde::{Deserialize, Serialize};
use std::io;

/// A larger file is not read.
const LARGEST: u64 = 1 << 30;
/// Temporary name of a snapshot that is being written.
const ASIDE: &str = "snapshot.aside";

/// The payload of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    Change(Change),
    /// The end of a snapshot, with the number of records before it. A snapshot without it is
    /// incomplete.
    End(u64),
}

/// The file name of a journal or snapshot.
fn name_of(kind: Kind, generation: u64) -> String {
    match kind {
        Kind::Journal => format!("journal-{generation:012}"),
        Kind::Snapshot => format!("snapshot-{generation:012}"),
    }
}

/// The kind and generation of a file name; `None` for other files.
fn generation_of(name: &str) -> Option<(Kind, u64)> {
    let (kind, digits) = name.split_once('-')?;
    let kind = match kind {
        "journal" => Kind::Journal,
        "snapshot" => Kind::Snapshot,
        _ => return None,
    };
    let ours = digits.len() == 12 && digits.bytes().all(|b| b.is_ascii_digit());
    ours.then(|| Some((kind, digits.parse().ok()?)))?
}

/// What recovery found in a directory.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Found {
    /// The generation of the snapshot that was read, if any; then the journals and records read
    /// after it.
    pub snapshot: Option<u64>,
    pub journals: u64,
    pub records: u64,
    /// Bytes after the last valid record of the journals: a torn write or corruption.
    pub torn_bytes: u64,
    /// Files and records that were skipped, with the reason.
    pub passed_over: Vec<String>,
    /// The highest generation among the file names.
    #[serde(skip)]
    pub newest: u64,
}

/// Reads a directory without changing it.
///
/// # Errors
/// Returns the error of the directory; also if a newer version, or one with another key, has
/// written there, so that its data is not discarded.
pub fn recover(layer: &mut dyn Directory, key: &Key) -> io::Result<(Facts, Found)> {
    let mut found = Found::default();
    let mut files: Vec<(Kind, u64)> = layer
        .list()?
        .iter()
        .filter_map(|n| generation_of(n))
        .collect();
    files.sort_by_key(|(_, generation)| *generation);
    found.newest = files.last().map_or(0, |(_, g)| *g);
    let mut facts = Facts::default();
    let snapshots = files
        .iter()
        .rev()
        .filter(|(kind, _)| *kind == Kind::Snapshot);
    for (_, generation) in snapshots {
        match snapshot(layer, *generation, key)? {
            Ok((whole, records)) => {
                facts = whole;
                found.snapshot = Some(*generation);
                found.records = records;
                break;
            }
            Err(why) => {
                let name = name_of(Kind::Snapshot, *generation);
                found.passed_over.push(format!("{name}: {why}"));
            }
        }
    }
    let from = found.snapshot.unwrap_or(0);
    let journals = files
        .iter()
        .filter(|(kind, g)| *kind == Kind::Journal && *g >= from);
    for (_, generation) in journals {
        let name = name_of(Kind::Journal, *generation);
        let bytes = layer.read(&name, LARGEST)?;
        let journal = match read(&bytes, Kind::Journal, key) {
            Ok(journal) if journal.generation == *generation => journal,
            Ok(_) | Err(FileError::NotOurs) => {
                // The header was not synced before a power failure.
                found.torn_bytes += bytes.len() as u64;
                found.passed_over.push(format!("{name}: no head of ours"));
                continue;
            }
            Err(refused) => return Err(refusal(&name, &refused)),
        };
        found.journals += 1;
        found.torn_bytes += journal.left as u64;
        for frame in journal.frames {
            let taken = match postcard::from_bytes::<Record>(frame) {
                Ok(Record::Change(change)) => facts.apply(change),
                Ok(Record::End(_)) => Err("an end in a journal".into()),
                Err(e) => Err(e.to_string()),
            };
            match taken {
                Ok(()) => found.records += 1,
                Err(why) => found.passed_over.push(format!("{name}: a record: {why}")),
            }
        }
    }
    Ok((facts, found))
}

/// The error for a file that must not be touched.
fn refusal(name: &str, refused: &FileError) -> io::Error {
    let why = match refused {
        FileError::Newer(version) => {
            format!("{name}: schema {version} is of a newer program; nothing is touched")
        }
        FileError::Key => format!("{name}: it is sealed with another key, or with none"),
        FileError::NotOurs => format!("{name}: it is none of ours"),
    };
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// The state in a snapshot and its number of records, or why the snapshot is unusable.
type Snapshot = Result<(Facts, u64), String>;

/// Reads a snapshot file.
fn snapshot(layer: &mut dyn Directory, generation: u64, key: &Key) -> io::Result<Snapshot> {
    let name = name_of(Kind::Snapshot, generation);
    let bytes = match layer.read(&name, LARGEST) {
        Ok(bytes) => bytes,
        Err(e) => return Ok(Err(e.to_string())),
    };
    let file = match read(&bytes, Kind::Snapshot, key) {
        Ok(file) => file,
        Err(FileError::NotOurs) => return Ok(Err("no head of ours".into())),
        Err(refused) => return Err(refusal(&name, &refused)),
    };
    Ok(whole(&file.frames, file.generation == generation))
}

/// Decodes the records of a snapshot, which has to be complete.
fn whole(frames: &[&[u8]], is_its_own: bool) -> Snapshot {
    if !is_its_own {
        return Err("of another generation".into());
    }
    let mut facts = Facts::default();
    for (i, frame) in frames.iter().enumerate() {
        match postcard::from_bytes::<Record>(frame).map_err(|e| e.to_string())? {
            Record::Change(change) => facts.apply(change)?,
            Record::End(count) if count == i as u64 && i + 1 == frames.len() => {
                return Ok((facts, count));
            }
            Record::End(_) => return Err("an end in the wrong place".into()),
        }
    }
    Err("it has no end".into())
}

/// A snapshot that is being written.
struct Writing {
    changes: Vec<Change>,
    at: usize,
    chain: FrameChain,
}

/// A directory with its current generation.
pub struct Store<L: Directory> {
    layer: L,
    key: Key,
    generation: u64,
    /// The position in the journal, and the journal's size in bytes.
    chain: FrameChain,
    pub journal_bytes: u64,
    writing: Option<Writing>,
    /// Snapshots completed.
    pub snapshots: u64,
}

impl<L: Directory> Store<L> {
    /// Recovers a directory and starts a new generation in it.
    ///
    /// # Errors
    /// Returns the errors of [`recover`]; also if nothing can be written.
    pub fn open(mut layer: L, key: Key) -> io::Result<(Store<L>, Facts, Found)> {
        let (facts, found) = recover(&mut layer, &key)?;
        let mut store = Store {
            layer,
            chain: FrameChain::new(0, &key),
            key,
            generation: found.newest,
            journal_bytes: 0,
            writing: None,
            snapshots: 0,
        };
        store.begin_generation(&facts)?;
        while store.write_snapshot_records(usize::MAX)? {}
        Ok((store, facts, found))
    }

    /// Starts a generation: creates its journal now, and its snapshot by calls of
    /// [`Store::write_snapshot_records`].
    ///
    /// # Errors
    /// Returns the error of the directory; the older generation remains valid.
    pub fn begin_generation(&mut self, facts: &Facts) -> io::Result<()> {
        self.writing = None;
        let generation = self.generation + 1;
        let chain = FrameChain::new(generation, &self.key);
        let name = name_of(Kind::Journal, generation);
        self.layer.create(&name)?;
        // The number is used up even if a later step fails.
        self.generation = generation;
        let head = chain.head(Kind::Journal);
        self.layer.append(&name, &head)?;
        self.layer.sync(&name)?;
        self.layer.sync_names()?;
        (self.chain, self.journal_bytes) = (chain, head.len() as u64);
        let servers = facts.servers.values().cloned().map(Change::Server);
        let levels = facts.levels.iter();
        let levels = levels.map(|(c, (share, at))| Change::Level(c.clone(), *share, at.clone()));
        let kept = facts.kept.iter();
        let kept = kept.map(|((f, n), v)| Change::Kept(f.clone(), n.clone(), v.clone()));
        let alive = std::iter::once(Change::Alive(facts.alive.clone())).chain(kept);
        let chain = FrameChain::new(generation, &self.key);
        self.layer.create(ASIDE)?;
        self.layer.append(ASIDE, &chain.head(Kind::Snapshot))?;
        self.writing = Some(Writing {
            changes: servers.chain(levels).chain(alive).collect(),
            at: 0,
            chain,
        });
        Ok(())
    }

    /// Whether a snapshot is being written.
    pub fn is_writing_snapshot(&self) -> bool {
        self.writing.is_some()
    }

    /// Writes up to `many` records of the snapshot. Returns whether more are left.
    ///
    /// # Errors
    /// Returns the error of the directory; the older generation remains valid, and the journal is
    /// still written.
    pub fn write_snapshot_records(&mut self, many: usize) -> io::Result<bool> {
        let Some(mut writing) = self.writing.take() else {
            return Ok(false);
        };
        let to = writing.at.saturating_add(many).min(writing.changes.len());
        let mut out = Vec::new();
        for change in &writing.changes[writing.at..to] {
            writing
                .chain
                .put(&mut out, &bytes_of(&Record::Change(change.clone()))?);
        }
        writing.at = to;
        let ends = to == writing.changes.len();
        if ends {
            writing
                .chain
                .put(&mut out, &bytes_of(&Record::End(to as u64))?);
        }
        self.layer.append(ASIDE, &out)?;
        if !ends {
            self.writing = Some(writing);
            return Ok(true);
        }
        self.layer.sync(ASIDE)?;
        self.layer
            .rename(ASIDE, &name_of(Kind::Snapshot, self.generation))?;
        self.layer.sync_names()?;
        self.snapshots += 1;
        // Remove older files only after the snapshot has been read back.
        if snapshot(&mut self.layer, self.generation, &self.key)?.is_ok() {
            for name in self.layer.list()? {
                if generation_of(&name).is_some_and(|(_, g)| g < self.generation) {
                    self.layer.remove(&name)?;
                }
            }
        }
        Ok(false)
    }

    /// Appends changes to the journal as a group and makes them durable. Returns the number of
    /// bytes written.
    ///
    /// # Errors
    /// Returns the error of the directory. The journal may then end in an incomplete record, and a
    /// new generation has to be started.
    pub fn commit(&mut self, changes: &[Change]) -> io::Result<u64> {
        let mut out = Vec::new();
        for change in changes {
            self.chain
                .put(&mut out, &bytes_of(&Record::Change(change.clone()))?);
        }
        let name = name_of(Kind::Journal, self.generation);
        self.layer.append(&name, &out)?;
        self.layer.sync(&name)?;
        self.journal_bytes += out.len() as u64;
        Ok(out.len() as u64)
    }
}

/// Encodes a record.
fn bytes_of(record: &Record) -> io::Result<Vec<u8>> {
    postcard::to_allocvec(record).map_err(io::Error::other)
}
