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
const MAX_FILE_BYTES: u64 = 1 << 30;
/// Temporary name of a snapshot that is being written.
const TEMPORARY_NAME: &str = "snapshot.aside";

/// The payload of a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    Change(Change),
    /// The end of a snapshot, with the number of records before it. A snapshot without it is
    /// incomplete.
    End(u64),
}

/// The file name of a journal or snapshot.
fn file_name(kind: Kind, generation: u64) -> String {
    match kind {
        Kind::Journal => format!("journal-{generation:012}"),
        Kind::Snapshot => format!("snapshot-{generation:012}"),
    }
}

/// The kind and generation of a file name; `None` for other files.
fn parse_file_name(name: &str) -> Option<(Kind, u64)> {
    let (kind, digits) = name.split_once('-')?;
    let kind = match kind {
        "journal" => Kind::Journal,
        "snapshot" => Kind::Snapshot,
        _ => return None,
    };
    let valid = digits.len() == 12 && digits.bytes().all(|b| b.is_ascii_digit());
    valid.then(|| Some((kind, digits.parse().ok()?)))?
}

/// What recovery found in a directory.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Found {
    /// Generation of the snapshot that was read, if any.
    pub snapshot: Option<u64>,
    /// Journals read.
    pub journals: u64,
    /// Records read from the snapshot and the journals.
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
pub fn recover(directory: &mut dyn Directory, key: &Key) -> io::Result<(Facts, Found)> {
    let mut found = Found::default();
    let mut files: Vec<(Kind, u64)> = directory
        .list()?
        .iter()
        .filter_map(|n| parse_file_name(n))
        .collect();
    files.sort_by_key(|(_, generation)| *generation);
    found.newest = files.last().map_or(0, |(_, g)| *g);
    let mut facts = Facts::default();
    let snapshots = files
        .iter()
        .rev()
        .filter(|(kind, _)| *kind == Kind::Snapshot);
    for (_, generation) in snapshots {
        match read_snapshot(directory, *generation, key)? {
            Ok((snapshot, records)) => {
                facts = snapshot;
                found.snapshot = Some(*generation);
                found.records = records;
                break;
            }
            Err(why) => {
                let name = file_name(Kind::Snapshot, *generation);
                found.passed_over.push(format!("{name}: {why}"));
            }
        }
    }
    let from = found.snapshot.unwrap_or(0);
    let journals = files
        .iter()
        .filter(|(kind, g)| *kind == Kind::Journal && *g >= from);
    for (_, generation) in journals {
        let name = file_name(Kind::Journal, *generation);
        let bytes = directory.read(&name, MAX_FILE_BYTES)?;
        let journal = match read(&bytes, Kind::Journal, key) {
            Ok(journal) if journal.generation == *generation => journal,
            Ok(_) | Err(FileError::UnknownFormat) => {
                // The header was not synced before a power failure.
                found.torn_bytes += bytes.len() as u64;
                found.passed_over.push(format!("{name}: no valid header"));
                continue;
            }
            Err(error) => return Err(open_error(&name, &error)),
        };
        found.journals += 1;
        found.torn_bytes += journal.trailing_bytes as u64;
        for frame in journal.frames {
            let applied = match postcard::from_bytes::<Record>(frame) {
                Ok(Record::Change(change)) => facts.apply(change),
                Ok(Record::End(_)) => Err("unexpected end marker".into()),
                Err(e) => Err(e.to_string()),
            };
            match applied {
                Ok(()) => found.records += 1,
                Err(why) => found
                    .passed_over
                    .push(format!("{name}: record skipped: {why}")),
            }
        }
    }
    Ok((facts, found))
}

/// The error for a file that must not be touched.
fn open_error(name: &str, error: &FileError) -> io::Error {
    let why = match error {
        FileError::NewerSchema(version) => {
            format!(
                "{name}: schema {version} was written by a newer version; the file is left untouched"
            )
        }
        FileError::WrongKey => format!("{name}: it was written with another key, or without one"),
        FileError::UnknownFormat => format!("{name}: not a file of this program"),
    };
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// The state in a snapshot and its number of records, or why the snapshot is unusable.
type SnapshotResult = Result<(Facts, u64), String>;

/// Reads a snapshot file.
fn read_snapshot(
    directory: &mut dyn Directory,
    generation: u64,
    key: &Key,
) -> io::Result<SnapshotResult> {
    let name = file_name(Kind::Snapshot, generation);
    let bytes = match directory.read(&name, MAX_FILE_BYTES) {
        Ok(bytes) => bytes,
        Err(e) => return Ok(Err(e.to_string())),
    };
    let file = match read(&bytes, Kind::Snapshot, key) {
        Ok(file) => file,
        Err(FileError::UnknownFormat) => return Ok(Err("no valid header".into())),
        Err(error) => return Err(open_error(&name, &error)),
    };
    Ok(decode_snapshot(&file.frames, file.generation == generation))
}

/// Decodes the records of a snapshot, which has to be complete.
fn decode_snapshot(frames: &[&[u8]], generation_matches: bool) -> SnapshotResult {
    if !generation_matches {
        return Err("the header has another generation".into());
    }
    let mut facts = Facts::default();
    for (i, frame) in frames.iter().enumerate() {
        match postcard::from_bytes::<Record>(frame).map_err(|e| e.to_string())? {
            Record::Change(change) => facts.apply(change)?,
            Record::End(count) if count == i as u64 && i + 1 == frames.len() => {
                return Ok((facts, count));
            }
            Record::End(_) => return Err("misplaced end marker".into()),
        }
    }
    Err("incomplete: no end marker".into())
}

/// A snapshot that is being written.
struct SnapshotInProgress {
    changes: Vec<Change>,
    next: usize,
    chain: FrameChain,
}

/// A directory with its current generation.
pub struct Store<L: Directory> {
    directory: L,
    key: Key,
    generation: u64,
    /// The position in the journal.
    chain: FrameChain,
    /// Size of the journal.
    pub journal_bytes: u64,
    writing: Option<SnapshotInProgress>,
    /// Snapshots completed.
    pub snapshots: u64,
}

impl<L: Directory> Store<L> {
    /// Recovers a directory and starts a new generation in it.
    ///
    /// # Errors
    /// Returns the errors of [`recover`]; also if nothing can be written.
    pub fn open(mut directory: L, key: Key) -> io::Result<(Store<L>, Facts, Found)> {
        let (facts, found) = recover(&mut directory, &key)?;
        let mut store = Store {
            directory,
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
        let name = file_name(Kind::Journal, generation);
        self.directory.create(&name)?;
        // The number is used up even if a later step fails.
        self.generation = generation;
        let header = chain.header(Kind::Journal);
        self.directory.append(&name, &header)?;
        self.directory.sync(&name)?;
        self.directory.sync_names()?;
        (self.chain, self.journal_bytes) = (chain, header.len() as u64);
        let servers = facts.servers.values().cloned().map(Change::Server);
        let levels = facts.levels.iter();
        let levels = levels.map(|(c, (share, at))| Change::Level(c.clone(), *share, at.clone()));
        let kept = facts.kept.iter();
        let kept = kept.map(|((f, n), v)| Change::Kept(f.clone(), n.clone(), v.clone()));
        let alive = std::iter::once(Change::Alive(facts.alive.clone())).chain(kept);
        let chain = FrameChain::new(generation, &self.key);
        self.directory.create(TEMPORARY_NAME)?;
        self.directory
            .append(TEMPORARY_NAME, &chain.header(Kind::Snapshot))?;
        self.writing = Some(SnapshotInProgress {
            changes: servers.chain(levels).chain(alive).collect(),
            next: 0,
            chain,
        });
        Ok(())
    }

    /// Whether a snapshot is being written.
    pub fn is_writing_snapshot(&self) -> bool {
        self.writing.is_some()
    }

    /// Writes up to `max_records` records of the snapshot. Returns whether more are left.
    ///
    /// # Errors
    /// Returns the error of the directory; the older generation remains valid, and the journal is
    /// still written.
    pub fn write_snapshot_records(&mut self, max_records: usize) -> io::Result<bool> {
        let Some(mut writing) = self.writing.take() else {
            return Ok(false);
        };
        let end = writing
            .next
            .saturating_add(max_records)
            .min(writing.changes.len());
        let mut out = Vec::new();
        for change in &writing.changes[writing.next..end] {
            writing
                .chain
                .append(&mut out, &encode(&Record::Change(change.clone()))?);
        }
        writing.next = end;
        let complete = end == writing.changes.len();
        if complete {
            writing
                .chain
                .append(&mut out, &encode(&Record::End(end as u64))?);
        }
        self.directory.append(TEMPORARY_NAME, &out)?;
        if !complete {
            self.writing = Some(writing);
            return Ok(true);
        }
        self.directory.sync(TEMPORARY_NAME)?;
        self.directory
            .rename(TEMPORARY_NAME, &file_name(Kind::Snapshot, self.generation))?;
        self.directory.sync_names()?;
        self.snapshots += 1;
        // Remove older files only after the snapshot has been read back.
        if read_snapshot(&mut self.directory, self.generation, &self.key)?.is_ok() {
            for name in self.directory.list()? {
                if parse_file_name(&name).is_some_and(|(_, g)| g < self.generation) {
                    self.directory.remove(&name)?;
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
                .append(&mut out, &encode(&Record::Change(change.clone()))?);
        }
        let name = file_name(Kind::Journal, self.generation);
        self.directory.append(&name, &out)?;
        self.directory.sync(&name)?;
        self.journal_bytes += out.len() as u64;
        Ok(out.len() as u64)
    }
}

/// Encodes a record.
fn encode(record: &Record) -> io::Result<Vec<u8>> {
    postcard::to_allocvec(record).map_err(io::Error::other)
}
