//! Host lists from the files of Apache and mod_jk: read as a roster, printed as one, and written back.

use crate::roster;
use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_import::{ConfigFormat, FileSource, HostState, Import, ImportOptions, read};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Format of a roster file.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterFormat {
    /// The native format.
    Yaml,
    /// Files of another program.
    Imported(ImportSettings),
}

/// Settings with which files of another program are read.
#[derive(Clone, Debug, PartialEq)]
pub struct ImportSettings {
    pub kind: ConfigFormat,
    /// The balancer to read, if the files have several.
    pub balancer: Option<String>,
    /// Names that count as true in `<IfModule>` and `<IfDefine>`.
    pub assumed: Vec<String>,
    /// Folder that relative paths start from, if not that of the file.
    pub root: Option<String>,
    /// Zone of hosts that state none. A mod_jk domain is used as the zone if it has the name of one.
    pub zone: Option<String>,
}

/// State of a file or folder: length, modification time and inode.
pub type Stamp = (u64, Option<SystemTime>, u64);

/// Present state of a path; `None` if it does not exist.
pub fn stamp(path: &Path) -> Option<Stamp> {
    use std::os::unix::fs::MetadataExt;
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.len(), metadata.modified().ok(), metadata.ino()))
}

/// Reads files of this machine and keeps the paths that were read.
#[derive(Default)]
pub struct LocalFiles {
    pub read_paths: BTreeSet<PathBuf>,
}

impl FileSource for LocalFiles {
    fn read(&mut self, path: &str) -> Result<String, String> {
        self.read_paths.insert(path.into());
        let bytes = std::fs::read(path).map_err(|e| e.to_string())?;
        String::from_utf8(bytes).map_err(|_| "not UTF-8".into())
    }

    fn list(&mut self, folder: &str) -> Result<Vec<String>, String> {
        self.read_paths.insert(folder.into());
        let mut names = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(|e| e.to_string())? {
            let entry = entry.map_err(|e| e.to_string())?;
            if let Ok(name) = entry.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }
}

/// Reads the files of another program, beginning with `path`.
///
/// # Errors
/// Returns all faults, one a line.
pub fn import(
    files: &mut LocalFiles,
    path: &Path,
    settings: &ImportSettings,
) -> Result<Import, String> {
    let options = ImportOptions {
        balancer: settings.balancer.clone(),
        assumed_conditions: settings.assumed.clone(),
        base_dir: settings.root.clone(),
    };
    read(files, &path.display().to_string(), settings.kind, &options).map_err(|faults| {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        all.join("\n")
    })
}

/// Imported hosts as roster entries. Zones are checked against `zones`, if they are given.
///
/// # Errors
/// Returns the hosts whose zone is not known, with the file and line of each.
pub fn entries(
    import: &Import,
    settings: &ImportSettings,
    zones: Option<&[String]>,
) -> Result<Vec<RosterEntry>, String> {
    let (mut out, mut faults) = (Vec::new(), Vec::new());
    let is_zone = |z: &String| zones.is_none_or(|all| all.contains(z));
    for h in &import.hosts {
        let zone = h
            .domain
            .as_ref()
            .filter(|d| is_zone(d))
            .or(settings.zone.as_ref());
        let Some(zone) = zone.filter(|z| is_zone(z)) else {
            faults.push(format!(
                "{}: {:?}: its zone is not known: say one for all, or a domain that is one",
                h.location, h.name
            ));
            continue;
        };
        out.push(RosterEntry {
            name: h.name.clone(),
            address: h.address.clone(),
            zone: zone.clone(),
            state: match h.state {
                HostState::Ready => AdminState::Ready,
                HostState::Draining => AdminState::Draining,
                HostState::Gone => AdminState::Gone,
            },
            weight: h.weight,
            started: None,
        });
    }
    if faults.is_empty() {
        Ok(out)
    } else {
        Err(faults.join("\n"))
    }
}

/// A roster in the native YAML format.
pub fn as_yaml(entries: &[RosterEntry]) -> String {
    let mut out = String::from("servers:\n");
    if entries.is_empty() {
        return "servers: []\n".into();
    }
    for e in entries {
        // A JSON string is also a YAML string.
        let quoted = |t: &str| serde_json::json!(t).to_string();
        let state = match e.state {
            AdminState::Ready => "ready",
            AdminState::Draining => "draining",
            AdminState::Gone => "gone",
        };
        let _ = writeln!(
            out,
            "- {{name: {}, address: {}, zone: {}, state: {state}, weight: {}}}",
            quoted(&e.name),
            quoted(&e.address),
            quoted(&e.zone),
            e.weight
        );
    }
    out
}

/// Applies the weights and states of a native roster to files of another program. Returns the changed lines; with
/// `in_place` the files are written.
///
/// # Errors
/// Returns the faults of either, or why a file cannot be written. Nothing is replaced unless all files could be
/// written under a temporary name.
pub fn write_back(
    path: &Path,
    settings: &ImportSettings,
    roster: &Path,
    in_place: bool,
) -> Result<String, String> {
    let import = import(&mut LocalFiles::default(), path, settings)?;
    let name = roster.display().to_string();
    let text = std::fs::read_to_string(roster).map_err(|e| format!("{name}: {e}"))?;
    let zones: Vec<String> = entries(&import, settings, None)?
        .into_iter()
        .map(|e| e.zone)
        .collect();
    let listed =
        roster::parse(&name, &text, &zones, roster::wall_ms()).map_err(|f| f.to_string())?;
    let mut changes: BTreeMap<String, (f64, HostState)> = BTreeMap::new();
    for e in &listed {
        let host = import.host(&e.name);
        if let Some(host) = host.filter(|h| h.address != e.address) {
            return Err(format!(
                "{name}: {:?} is {} here and {} at {}",
                e.name, e.address, host.address, host.location
            ));
        }
        let state = match e.state {
            AdminState::Ready => HostState::Ready,
            AdminState::Draining => HostState::Draining,
            AdminState::Gone => HostState::Gone,
        };
        changes.insert(e.name.clone(), (e.weight, state));
    }
    // Hosts that the roster does not list are gone.
    for h in &import.hosts {
        changes
            .entry(h.name.clone())
            .or_insert((h.weight, HostState::Gone));
    }
    let written = import.with_changes(&changes)?;
    let mut out = String::new();
    for (before, after) in import.documents.iter().zip(&written) {
        let old: Vec<&str> = before.text.lines().collect();
        for (i, line) in after.text.lines().enumerate() {
            if !old.contains(&line) {
                let _ = writeln!(out, "{}:{}: {}", after.path, i + 1, line.trim());
            }
        }
    }
    if in_place {
        let changed = || {
            written
                .iter()
                .zip(&import.documents)
                .filter(|(a, b)| a.text != b.text)
        };
        let temporary = |path: &str| PathBuf::from(format!("{path}.new"));
        // All are written under temporary names before any is renamed.
        for (d, _) in changed() {
            std::fs::write(temporary(&d.path), &d.text).map_err(|e| format!("{}: {e}", d.path))?;
        }
        for (d, _) in changed() {
            std::fs::rename(temporary(&d.path), &*d.path)
                .map_err(|e| format!("{}: {e}", d.path))?;
        }
    }
    Ok(out)
}
