//! The roster: a YAML file that others replace atomically, and that is polled. A file with faults is refused, with the
//! reason, and the last valid roster stays in force. Files of other programs ([`import`]) are polled in the same way,
//! with all files that they include.

use crate::import::{self, LocalFiles, RosterFormat, Stamp, stamp};
use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_yaml::{Faults, read};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Servers that a roster may have.
const MAX_SERVERS: usize = 100_000;

/// Parses a roster. `zones` are the zones of the deployment, `wall_ms` is the wall-clock time from which the age of
/// a server's start is counted.
///
/// # Errors
/// Returns all faults, with their lines.
pub fn parse(
    file: &str,
    text: &str,
    zones: &[String],
    wall_ms: f64,
) -> Result<Vec<RosterEntry>, Faults> {
    read(file, text, |at| {
        let mut entries = Vec::new();
        let mut names: BTreeMap<String, u64> = BTreeMap::new();
        let mut addresses: BTreeMap<String, u64> = BTreeMap::new();
        let servers = at.field("servers");
        let items = servers.list();
        if items.len() > MAX_SERVERS {
            servers.add_fault(format!("at most {MAX_SERVERS} servers are wanted"));
        }
        for item in items.iter().take(MAX_SERVERS) {
            let name = item.field("name");
            let server_name = name.string(None);
            if let Some(line) = names.insert(server_name.clone(), name.line()) {
                name.add_fault(format!(
                    "{server_name:?} is named twice; first in line {line}"
                ));
            }
            let address = item.field("address");
            let expected = "an address such as 127.0.0.1:8080";
            let socket_address =
                address.parsed(expected, None, |t| t.parse::<std::net::SocketAddr>().ok());
            let socket_address = socket_address.map(|s| s.to_string()).unwrap_or_default();
            if let Some(line) = addresses.insert(socket_address.clone(), address.line())
                && !socket_address.is_empty()
            {
                address.add_fault(format!(
                    "{socket_address} is listed twice; first in line {line}"
                ));
            }
            let zone = item.field("zone");
            let zone_name = zone.string(None);
            if !zones.contains(&zone_name) {
                zone.add_fault(format!("one of the zones {} is wanted", zones.join(", ")));
            }
            let states = [
                ("ready", AdminState::Ready),
                ("draining", AdminState::Draining),
                ("gone", AdminState::Gone),
            ];
            let started = item.field("started");
            let started = started.is_present().then(|| {
                let seconds = started.number(0.0..=1e11, None);
                // A start in the future means that a clock is wrong: it counts as just now.
                let ago_ms = (wall_ms - seconds * 1e3).max(0.0);
                (ago_ms, (seconds * 1e3) as u64)
            });
            entries.push(RosterEntry {
                name: server_name,
                address: socket_address,
                zone: zone_name,
                state: item.field("state").choice(&states, Some(AdminState::Ready)),
                weight: item.field("weight").number(0.0..=10_000.0, Some(1.0)),
                started,
            });
            item.deny_unknown_fields();
        }
        at.deny_unknown_fields();
        entries
    })
}

/// Wall-clock time, used only for the age of a server's start.
pub fn wall_ms() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or(Duration::ZERO).as_secs_f64() * 1e3
}

/// Result of polling the roster.
#[derive(Debug, PartialEq)]
pub enum PollResult {
    Unchanged,
    Changed(Vec<RosterEntry>),
    /// The file has faults. Reported once for each state of the file.
    Refused(String),
}

/// Polls a roster file for changes.
pub struct RosterWatcher {
    path: PathBuf,
    format: RosterFormat,
    zones: Vec<String>,
    last_state: Option<FileState>,
    /// Files and folders that were read to import files of another program, with their state at that time.
    read_paths: Vec<(PathBuf, Option<Stamp>)>,
}

/// What tells one version of the file from another.
#[derive(Clone, Debug, PartialEq)]
enum FileState {
    File {
        length: u64,
        modified: Option<SystemTime>,
        inode: u64,
    },
    Fault(String),
}

impl RosterWatcher {
    /// Watches `path`; the first poll reads it.
    pub fn new(path: &Path, format: &RosterFormat, zones: &[String]) -> RosterWatcher {
        RosterWatcher {
            path: path.to_path_buf(),
            format: format.clone(),
            zones: zones.to_vec(),
            last_state: None,
            read_paths: Vec::new(),
        }
    }

    fn file_state(&self) -> FileState {
        use std::os::unix::fs::MetadataExt;
        match std::fs::metadata(&self.path) {
            Ok(m) if !m.is_file() => FileState::Fault("not a file".into()),
            Ok(m) => FileState::File {
                length: m.len(),
                modified: m.modified().ok(),
                inode: m.ino(),
            },
            Err(e) => FileState::Fault(e.to_string()),
        }
    }

    /// Polls files of another program. Several files cannot be replaced at once, so if any of them changes while they
    /// are read, they are read again at the next poll.
    fn poll_imported(&mut self, settings: &import::ImportSettings) -> PollResult {
        let is_unchanged = |(path, old): &(PathBuf, Option<Stamp>)| stamp(path) == *old;
        if !self.read_paths.is_empty() && self.read_paths.iter().all(is_unchanged) {
            return PollResult::Unchanged;
        }
        let mut files = LocalFiles::default();
        // Which files to stat is known only after reading them. So all are read twice: if the stamps taken between the
        // two reads still hold and both give the same result, no file has changed.
        let first = import::import(&mut files, &self.path, settings);
        let stamps = |files: &LocalFiles| -> Vec<(PathBuf, Option<Stamp>)> {
            files
                .read_paths
                .iter()
                .map(|p| (p.clone(), stamp(p)))
                .collect()
        };
        let before = stamps(&files);
        let second = import::import(&mut files, &self.path, settings);
        let has_changed = first != second || !before.iter().all(is_unchanged);
        if has_changed {
            return PollResult::Unchanged;
        }
        self.read_paths = before;
        let read = second.and_then(|i| import::entries(&i, settings, Some(&self.zones)));
        match read {
            Ok(entries) => PollResult::Changed(entries),
            Err(why) => PollResult::Refused(why),
        }
    }

    /// Reads the file if it has changed since the last poll.
    pub fn poll(&mut self) -> PollResult {
        if let RosterFormat::Imported(settings) = self.format.clone() {
            return self.poll_imported(&settings);
        }
        let now = self.file_state();
        if self.last_state.as_ref() == Some(&now) {
            return PollResult::Unchanged;
        }
        let file = self.path.display().to_string();
        let result = match &now {
            FileState::Fault(why) => Err(format!("{file}: {why}")),
            FileState::File { .. } => std::fs::read_to_string(&self.path)
                .map_err(|e| format!("{file}: {e}"))
                .and_then(|text| {
                    parse(&file, &text, &self.zones, wall_ms()).map_err(|f| f.to_string())
                }),
        };
        // The state from before the read: a file that changes meanwhile is read again.
        self.last_state = Some(now);
        match result {
            Ok(entries) => PollResult::Changed(entries),
            Err(why) => PollResult::Refused(why),
        }
    }
}

#[cfg(test)]
mod tests;
