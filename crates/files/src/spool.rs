//! Reads heartbeats, acks and reports from the proxies' spools. Each file is first renamed into the inbox, where only
//! the controller writes, examined again there, read and removed: each report counts at most once, also when the
//! controller is killed.

use crate::integrity::Keys;
use crate::is_valid_name;
use crate::messages::{Ack, Heartbeat, Report};
use crate::spool_rules::{Decision, FileInfo, FileKind, Progress, decide};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Quarantined files that are kept; the oldest are removed.
const MAX_QUARANTINED: usize = 200;
/// Files of one spool that are examined in one round.
const MAX_FILES_PER_ROUND: usize = 4_096;
const MAX_SPOOLS: usize = 20_000;
/// A directory changed so shortly before it was read may change again without a new modification time: the disk's
/// clock has a coarse resolution.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(50);

/// A message of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum SpoolMessage {
    Heartbeat(Heartbeat),
    Ack(Ack),
    Report(Report),
}

/// Counters for the status page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SpoolCounters {
    pub taken: u64,
    /// Removed unread, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    pub quarantined: u64,
    /// Attempts to read a spool that failed as a whole.
    pub unread: u64,
}

/// What is known of one proxy's spool.
#[derive(Default)]
struct SpoolState {
    incarnation: u64,
    /// The sequence number of the last heartbeat.
    sequence: u64,
    progress: Progress,
    /// The directory's modification time when it was found empty.
    empty_since: Option<SystemTime>,
    /// The last reported error of the spool itself.
    error: Option<String>,
}

/// The spools of all proxies, with the inbox and the quarantine.
pub struct Spool {
    root: PathBuf,
    keys: Keys,
    report_interval_ms: f64,
    states: BTreeMap<String, SpoolState>,
    /// Files in the quarantine, oldest first.
    quarantine: VecDeque<PathBuf>,
    quarantine_sequence: u64,
    pub counters: SpoolCounters,
    /// Warnings that the caller is to log and remove.
    pub warnings: Vec<String>,
}

fn file_info(kind: FileKind, metadata: &Metadata, now: SystemTime) -> FileInfo {
    let age = metadata
        .modified()
        .ok()
        .and_then(|at| now.duration_since(at).ok());
    FileInfo {
        kind,
        is_regular: metadata.file_type().is_file(),
        links: metadata.nlink(),
        bytes: metadata.len(),
        age_ms: age.unwrap_or_default().as_secs_f64() * 1e3,
    }
}

impl Spool {
    /// Creates the directories. Files that an earlier run left in the inbox are removed, since they may have been
    /// counted.
    ///
    /// # Errors
    /// When the directories cannot be created, or are links.
    pub fn open(root: &Path, keys: Keys, report_interval_ms: f64) -> io::Result<Spool> {
        for name in ["tables", "spool", "inbox", "quarantine"] {
            let dir = root.join(name);
            fs::create_dir_all(&dir)?;
            if !fs::symlink_metadata(&dir)?.is_dir() {
                let why = format!("{} is a link; a directory is expected", dir.display());
                return Err(io::Error::other(why));
            }
        }
        for file in fs::read_dir(root.join("inbox"))?.flatten() {
            let _ = fs::remove_file(file.path());
        }
        let quarantine = fs::read_dir(root.join("quarantine"))?.flatten();
        let mut quarantine: Vec<PathBuf> = quarantine.map(|e| e.path()).collect();
        quarantine.sort();
        Ok(Spool {
            root: root.to_path_buf(),
            keys,
            report_interval_ms,
            states: BTreeMap::new(),
            quarantine: quarantine.into(),
            quarantine_sequence: 0,
            counters: SpoolCounters::default(),
            warnings: Vec::new(),
        })
    }

    /// The proxies that have a spool.
    pub fn proxies(&mut self) -> Vec<String> {
        let entries = fs::read_dir(self.root.join("spool"));
        let names = entries.into_iter().flatten().flatten().take(MAX_SPOOLS);
        let names = names.filter_map(|e| e.file_name().into_string().ok());
        names.filter(|n| is_valid_name(n)).collect()
    }

    /// Takes the new messages of a proxy; `now` is the time by the disk's clock.
    pub fn poll(&mut self, proxy: &str, now: SystemTime) -> Vec<SpoolMessage> {
        let dir = self.root.join("spool").join(proxy);
        match self.list(proxy, &dir, now) {
            Ok(names) => {
                self.states.entry(proxy.into()).or_default().error = None;
                self.take_all(proxy, &dir, &names, now)
            }
            Err(why) => {
                self.counters.unread += 1;
                let state = self.states.entry(proxy.into()).or_default();
                if state.error.as_ref() != Some(&why) {
                    self.warnings.push(format!("spool of {proxy}: {why}"));
                    state.error = Some(why);
                }
                Vec::new()
            }
        }
    }

    /// The files of a spool in the order in which they are taken; empty if the directory hasn't changed.
    fn list(
        &mut self,
        proxy: &str,
        dir: &Path,
        now: SystemTime,
    ) -> Result<Vec<(FileKind, String)>, String> {
        let metadata = fs::symlink_metadata(dir).map_err(|e| e.to_string())?;
        if !metadata.is_dir() {
            return Err("it is no directory".into());
        }
        let modified = metadata.modified().map_err(|e| e.to_string())?;
        let state = self.states.entry(proxy.into()).or_default();
        if state.empty_since == Some(modified) {
            return Ok(Vec::new());
        }
        let entries = fs::read_dir(dir).map_err(|e| e.to_string())?;
        let mut names = Vec::new();
        for entry in entries.take(MAX_FILES_PER_ROUND) {
            let name = entry.map_err(|e| e.to_string())?.file_name();
            // A name that is not UTF-8 is of unknown kind; its lossy form is used in messages.
            let name = name
                .into_string()
                .unwrap_or_else(|n| n.to_string_lossy().into());
            names.push((FileKind::of(&name), name));
        }
        names.sort();
        let settled = now
            .duration_since(modified)
            .is_ok_and(|age| age > CLOCK_RESOLUTION);
        state.empty_since = (settled && names.is_empty()).then_some(modified);
        Ok(names)
    }

    fn take_all(
        &mut self,
        proxy: &str,
        dir: &Path,
        names: &[(FileKind, String)],
        now: SystemTime,
    ) -> Vec<SpoolMessage> {
        let mut messages = Vec::new();
        let state = self.states.get(proxy);
        let mut progress = state.map(|s| s.progress).unwrap_or_default();
        progress.taken_this_round = 0;
        for (kind, name) in names {
            let path = dir.join(name);
            let Ok(metadata) = fs::symlink_metadata(&path) else {
                continue;
            };
            let info = file_info(*kind, &metadata, now);
            let result = match decide(&info, &progress, self.report_interval_ms) {
                Decision::Take => self.take(proxy, *kind, name, &path, &mut progress, now),
                decision => Ok((decision, None)),
            };
            match result {
                Ok((Decision::Take, Some(message))) => {
                    self.counters.taken += 1;
                    progress.taken_this_round += 1;
                    messages.push(message);
                }
                Ok((Decision::Drop(why), _)) => {
                    *self.counters.dropped.entry(why).or_default() += 1;
                    let _ = fs::remove_file(&path);
                }
                Ok((Decision::Quarantine(why), _)) => self.quarantine(proxy, name, &path, why),
                Ok(_) => {}
                Err(why) => self.quarantine(proxy, name, &self.inbox(proxy, name), &why),
            }
        }
        self.states.entry(proxy.into()).or_default().progress = progress;
        messages
    }

    fn inbox(&self, proxy: &str, name: &str) -> PathBuf {
        self.root.join("inbox").join(format!("{proxy}~{name}"))
    }

    /// Takes one file. An error says what is wrong with it; the file is in the inbox then.
    fn take(
        &mut self,
        proxy: &str,
        kind: FileKind,
        name: &str,
        path: &Path,
        progress: &mut Progress,
        now: SystemTime,
    ) -> Result<(Decision, Option<SpoolMessage>), String> {
        let inbox = self.inbox(proxy, name);
        if fs::rename(path, &inbox).is_err() {
            // Removed meanwhile, or not movable: the next round examines it again.
            return Ok((Decision::Leave, None));
        }
        // The owner of the spool may have replaced the file since it was examined.
        let metadata = fs::symlink_metadata(&inbox).map_err(|e| e.to_string())?;
        let info = file_info(kind, &metadata, now);
        match decide(&info, progress, self.report_interval_ms) {
            Decision::Take => {}
            Decision::Quarantine(why) => return Err(why.into()),
            Decision::Drop(_) | Decision::Leave => {
                let _ = fs::remove_file(&inbox);
                let why = "another file came in between";
                *self.counters.dropped.entry(why).or_default() += 1;
                return Ok((Decision::Leave, None));
            }
        }
        let bytes = fs::read(&inbox).map_err(|e| e.to_string())?;
        let message = self.parse(proxy, kind, &bytes, progress)?;
        let _ = fs::remove_file(&inbox);
        Ok((Decision::Take, message))
    }

    /// Verifies and parses a file; `None` for a valid message that is outdated.
    fn parse(
        &mut self,
        proxy: &str,
        kind: FileKind,
        bytes: &[u8],
        progress: &mut Progress,
    ) -> Result<Option<SpoolMessage>, String> {
        let text = self.keys.verified_text(bytes)?;
        let invalid = |e: serde_json::Error| e.to_string();
        let state = self.states.entry(proxy.into()).or_default();
        match kind {
            FileKind::Heartbeat => {
                let heartbeat: Heartbeat = serde_json::from_str(text).map_err(invalid)?;
                if heartbeat.proxy != proxy {
                    return Err(format!("it is of proxy {:?}", heartbeat.proxy));
                }
                if heartbeat.incarnation != state.incarnation {
                    (state.incarnation, state.sequence) = (heartbeat.incarnation, 0);
                    *progress = Progress::default();
                }
                // A repeated heartbeat doesn't show that the proxy is alive.
                if heartbeat.sequence <= state.sequence && state.sequence > 0 {
                    return Ok(None);
                }
                state.sequence = heartbeat.sequence;
                Ok(Some(SpoolMessage::Heartbeat(heartbeat)))
            }
            FileKind::Ack(n) => {
                let ack: Ack = serde_json::from_str(text).map_err(invalid)?;
                if ack.incarnation != state.incarnation {
                    return Ok(None);
                }
                progress.last_ack = Some(n);
                Ok(Some(SpoolMessage::Ack(ack)))
            }
            FileKind::Report(n) => {
                let report: Report = serde_json::from_str(text).map_err(invalid)?;
                if report.incarnation != state.incarnation {
                    return Ok(None);
                }
                progress.last_report = Some(n);
                Ok(Some(SpoolMessage::Report(report)))
            }
            FileKind::Temporary | FileKind::Unknown => Ok(None),
        }
    }

    /// Moves a file into the quarantine and removes the oldest files there beyond the limit.
    fn quarantine(&mut self, proxy: &str, name: &str, from: &Path, why: &str) {
        self.counters.quarantined += 1;
        self.quarantine_sequence += 1;
        let unix_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let unix_ms = unix_ms.map_or(0, |d| d.as_millis());
        // No character of the name may forge a line of the log or leave the directory.
        let name: String = name
            .chars()
            .map(|c| match is_valid_name(&format!("x{c}")) {
                true => c,
                false => '_',
            })
            .take(60)
            .collect();
        let to = format!(
            "{unix_ms:014}-{:06}-{proxy}~{name}",
            self.quarantine_sequence % 1_000_000
        );
        let to = self.root.join("quarantine").join(to);
        match fs::rename(from, &to) {
            Ok(()) => {
                self.warnings
                    .push(format!("spool of {proxy}: {name} is quarantined: {why}"));
                self.quarantine.push_back(to);
            }
            Err(e) => self.warnings.push(format!(
                "spool of {proxy}: {name}: {why}; it cannot be quarantined: {e}"
            )),
        }
        while self.quarantine.len() > MAX_QUARANTINED {
            if let Some(oldest) = self.quarantine.pop_front() {
                let _ = match fs::symlink_metadata(&oldest).is_ok_and(|m| m.is_dir()) {
                    true => fs::remove_dir_all(&oldest),
                    false => fs::remove_file(&oldest),
                };
            }
        }
    }
}

/// The proxy's side of a spool: writes messages to temporary files and renames them.
pub struct SpoolWriter {
    dir: PathBuf,
    keys: Keys,
}

impl SpoolWriter {
    /// Creates the spool of a proxy.
    ///
    /// # Errors
    /// When the spool cannot be created.
    pub fn open(root: &Path, proxy: &str, keys: Keys) -> io::Result<SpoolWriter> {
        let dir = root.join("spool").join(proxy);
        fs::create_dir_all(&dir)?;
        Ok(SpoolWriter { dir, keys })
    }

    /// Writes a message under a file name and returns the time of the write by the disk's clock.
    ///
    /// # Errors
    /// Any disk error.
    pub fn write(&self, name: &str, message: &impl Serialize) -> io::Result<SystemTime> {
        let text = self.keys.add_tag(&serde_json::to_string(message)?);
        let temporary = self.dir.join(format!(".{name}"));
        fs::write(&temporary, text)?;
        let at = fs::metadata(&temporary)?.modified()?;
        fs::rename(&temporary, self.dir.join(name))?;
        Ok(at)
    }
}
