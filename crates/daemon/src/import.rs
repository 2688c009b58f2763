//! Host lists from Apache's and mod_jk's files on this machine: as a roster that is watched, as a roster printed, and
//! written back.

use crate::roster;
use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_import::{Files, Import, Kind, State, Wanted, read};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// How a roster file is written.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterFormat {
    /// Our own YAML.
    Yaml,
    Imported(ImportSettings),
}

/// What is told of others' files beside where they are.
#[derive(Clone, Debug, PartialEq)]
pub struct ImportSettings {
    pub kind: Kind,
    pub balancer: Option<String>,
    pub assumed: Vec<String>,
    pub root: Option<String>,
    /// The zone of hosts that say none; mod_jk's domain is one if it is so called.
    pub zone: Option<String>,
}

/// A file or folder as it was looked at.
pub type Stamp = (u64, Option<SystemTime>, u64);

/// How a path is now; nothing if it is not there.
pub fn stamp(path: &Path) -> Option<Stamp> {
    use std::os::unix::fs::MetadataExt;
    let m = std::fs::metadata(path).ok()?;
    Some((m.len(), m.modified().ok(), m.ino()))
}

/// Files of this machine, and which were asked for.
#[derive(Default)]
pub struct LocalFiles {
    pub read_paths: BTreeSet<PathBuf>,
}

impl Files for LocalFiles {
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

/// Reads others' files.
///
/// # Errors
/// All that is wrong, a line each.
pub fn import(
    disk: &mut LocalFiles,
    path: &Path,
    foreign: &ImportSettings,
) -> Result<Import, String> {
    let wanted = Wanted {
        balancer: foreign.balancer.clone(),
        assumed: foreign.assumed.clone(),
        root: foreign.root.clone(),
    };
    read(disk, &path.display().to_string(), foreign.kind, &wanted).map_err(|faults| {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        all.join("\n")
    })
}

/// Hosts as a roster.
///
/// # Errors
/// Hosts whose zone is not known, with their places.
pub fn entries(
    import: &Import,
    foreign: &ImportSettings,
    zones: Option<&[String]>,
) -> Result<Vec<RosterEntry>, String> {
    let (mut out, mut faults) = (Vec::new(), Vec::new());
    let is_zone = |z: &String| zones.is_none_or(|all| all.contains(z));
    for h in &import.hosts {
        let zone = h
            .domain
            .as_ref()
            .filter(|d| is_zone(d))
            .or(foreign.zone.as_ref());
        let Some(zone) = zone.filter(|z| is_zone(z)) else {
            faults.push(format!(
                "{}: {:?}: its zone is not known: say one for all, or a domain that is one",
                h.at, h.name
            ));
            continue;
        };
        out.push(RosterEntry {
            name: h.name.clone(),
            address: h.address.clone(),
            zone: zone.clone(),
            state: match h.state {
                State::Ready => AdminState::Ready,
                State::Draining => AdminState::Draining,
                State::Gone => AdminState::Gone,
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

/// A roster in our own form.
pub fn as_yaml(entries: &[RosterEntry]) -> String {
    let mut out = String::from("servers:\n");
    if entries.is_empty() {
        return "servers: []\n".into();
    }
    for e in entries {
        // A text of JSON is one of YAML.
        let text = |t: &str| serde_json::json!(t).to_string();
        let state = match e.state {
            AdminState::Ready => "ready",
            AdminState::Draining => "draining",
            AdminState::Gone => "gone",
        };
        let _ = writeln!(
            out,
            "- {{name: {}, address: {}, zone: {}, state: {state}, weight: {}}}",
            text(&e.name),
            text(&e.address),
            text(&e.zone),
            e.weight
        );
    }
    out
}

/// Others' files with the weights and states of a roster of ours: what changes, a line each; with `in_place` it is
/// written.
///
/// # Errors
/// What is wrong with either, or cannot be written; then nothing is.
pub fn write_back(
    path: &Path,
    foreign: &ImportSettings,
    roster: &Path,
    in_place: bool,
) -> Result<String, String> {
    let import = import(&mut LocalFiles::default(), path, foreign)?;
    let name = roster.display().to_string();
    let text = std::fs::read_to_string(roster).map_err(|e| format!("{name}: {e}"))?;
    let zones: Vec<String> = entries(&import, foreign, None)?
        .into_iter()
        .map(|e| e.zone)
        .collect();
    let listed =
        roster::parse(&name, &text, &zones, roster::wall_ms()).map_err(|f| f.to_string())?;
    let mut changes: BTreeMap<String, (f64, State)> = BTreeMap::new();
    for e in &listed {
        let host = import.host(&e.name);
        if let Some(host) = host.filter(|h| h.address != e.address) {
            return Err(format!(
                "{name}: {:?} is {} here and {} at {}",
                e.name, e.address, host.address, host.at
            ));
        }
        let state = match e.state {
            AdminState::Ready => State::Ready,
            AdminState::Draining => State::Draining,
            AdminState::Gone => State::Gone,
        };
        changes.insert(e.name.clone(), (e.weight, state));
    }
    // Who is not in a roster is gone.
    for h in &import.hosts {
        changes
            .entry(h.name.clone())
            .or_insert((h.weight, State::Gone));
    }
    let written = import.written(&changes)?;
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
        let aside = |path: &str| PathBuf::from(format!("{path}.new"));
        // All are written aside before any takes its place.
        for (d, _) in changed() {
            std::fs::write(aside(&d.path), &d.text).map_err(|e| format!("{}: {e}", d.path))?;
        }
        for (d, _) in changed() {
            std::fs::rename(aside(&d.path), &*d.path).map_err(|e| format!("{}: {e}", d.path))?;
        }
    }
    Ok(out)
}
