//! The roster: a YAML file that others replace atomically, looked at now and then. A broken one is
//! refused with its reason and the last good one stands. Others' files ([`import`]) are looked at alike, with all
//! that they include.

use crate::import::{self, LocalFiles, RosterFormat, Stamp, stamp};
use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_yaml::{Faults, read};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Servers that one roster may have.
const MOST: usize = 100_000;

/// Reads a roster; zones must be those of the deployment.
///
/// # Errors
/// All that is wrong with it, with lines.
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
        let places = servers.list();
        if places.len() > MOST {
            servers.wrong(format!("at most {MOST} servers are wanted"));
        }
        for place in places.iter().take(MOST) {
            let name = place.field("name");
            let called = name.text(None);
            if let Some(line) = names.insert(called.clone(), name.line()) {
                name.wrong(format!("{called:?} is named twice; first in line {line}"));
            }
            let address = place.field("address");
            let wanted = "an address such as 127.0.0.1:8080";
            let socket = address.parsed(wanted, None, |t| t.parse::<std::net::SocketAddr>().ok());
            let socket = socket.map(|s| s.to_string()).unwrap_or_default();
            if let Some(line) = addresses.insert(socket.clone(), address.line())
                && !socket.is_empty()
            {
                address.wrong(format!("{socket} is listed twice; first in line {line}"));
            }
            let zone = place.field("zone");
            let in_zone = zone.text(None);
            if !zones.contains(&in_zone) {
                zone.wrong(format!("one of the zones {} is wanted", zones.join(", ")));
            }
            let states = [
                ("ready", AdminState::Ready),
                ("draining", AdminState::Draining),
                ("gone", AdminState::Gone),
            ];
            let started = place.field("started");
            let started = started.is_there().then(|| {
                let seconds = started.number(0.0..=1e11, None);
                // In the future only by a wrong clock: just now, then.
                let ago = (wall_ms - seconds * 1e3).max(0.0);
                (ago, (seconds * 1e3) as u64)
            });
            entries.push(RosterEntry {
                name: called,
                address: socket,
                zone: in_zone,
                state: place
                    .field("state")
                    .choice(&states, Some(AdminState::Ready)),
                weight: place.field("weight").number(0.0..=10_000.0, Some(1.0)),
                started,
            });
            place.close();
        }
        at.close();
        entries
    })
}

/// The wall clock, used for the age of a start and for nothing else.
pub fn wall_ms() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs_f64() * 1e3
}

/// What a look at the file found.
#[derive(Debug, PartialEq)]
pub enum PollResult {
    Unchanged,
    Changed(Vec<RosterEntry>),
    /// Refused, with the reason; told once for each state of the file.
    Refused(String),
}

/// Watches a roster file.
pub struct RosterWatcher {
    path: PathBuf,
    form: RosterFormat,
    zones: Vec<String>,
    seen: Option<Seen>,
    /// Files and folders that others' files led to, as they were.
    read_paths: Vec<(PathBuf, Option<Stamp>)>,
}

#[derive(Clone, Debug, PartialEq)]
enum Seen {
    File {
        length: u64,
        changed: Option<SystemTime>,
        inode: u64,
    },
    Fault(String),
}

impl RosterWatcher {
    pub fn new(path: &Path, form: &RosterFormat, zones: &[String]) -> RosterWatcher {
        RosterWatcher {
            path: path.to_path_buf(),
            form: form.clone(),
            zones: zones.to_vec(),
            seen: None,
            read_paths: Vec::new(),
        }
    }

    fn state(&self) -> Seen {
        use std::os::unix::fs::MetadataExt;
        match std::fs::metadata(&self.path) {
            Ok(m) if !m.is_file() => Seen::Fault("not a file".into()),
            Ok(m) => Seen::File {
                length: m.len(),
                changed: m.modified().ok(),
                inode: m.ino(),
            },
            Err(e) => Seen::Fault(e.to_string()),
        }
    }

    /// Looks at others' files. Ones that change while they are read are read again with the next look: nobody
    /// swaps several at once.
    fn look_at(&mut self, foreign: &import::ImportSettings) -> PollResult {
        let is_same = |(path, was): &(PathBuf, Option<Stamp>)| stamp(path) == *was;
        if !self.read_paths.is_empty() && self.read_paths.iter().all(is_same) {
            return PollResult::Unchanged;
        }
        let mut disk = LocalFiles::default();
        // Stamps from before each is read are not to be had; so all is read twice, and must lead to the same.
        let first = import::import(&mut disk, &self.path, foreign);
        let stamps = |disk: &LocalFiles| -> Vec<(PathBuf, Option<Stamp>)> {
            disk.read_paths
                .iter()
                .map(|p| (p.clone(), stamp(p)))
                .collect()
        };
        let before = stamps(&disk);
        let second = import::import(&mut disk, &self.path, foreign);
        let changes = first != second || !before.iter().all(is_same);
        if changes {
            return PollResult::Unchanged;
        }
        self.read_paths = before;
        let read = second.and_then(|i| import::entries(&i, foreign, Some(&self.zones)));
        match read {
            Ok(entries) => PollResult::Changed(entries),
            Err(why) => PollResult::Refused(why),
        }
    }

    /// Looks whether the file is another than the last time, and reads it if so.
    pub fn poll(&mut self) -> PollResult {
        if let RosterFormat::Imported(foreign) = self.form.clone() {
            return self.look_at(&foreign);
        }
        let now = self.state();
        if self.seen.as_ref() == Some(&now) {
            return PollResult::Unchanged;
        }
        let file = self.path.display().to_string();
        let read = match &now {
            Seen::Fault(why) => Err(format!("{file}: {why}")),
            Seen::File { .. } => std::fs::read_to_string(&self.path)
                .map_err(|e| format!("{file}: {e}"))
                .and_then(|text| {
                    parse(&file, &text, &self.zones, wall_ms()).map_err(|f| f.to_string())
                }),
        };
        // Noted as it was before it was read: one that changes meanwhile is read again.
        self.seen = Some(now);
        match read {
            Ok(entries) => PollResult::Changed(entries),
            Err(why) => PollResult::Refused(why),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_rosters_are_refused_with_their_lines() {
        let zones = ["a".to_string(), "b".to_string()];
        let good = "servers:\n- {name: x, address: '127.0.0.1:1', zone: a}\n\
                    - {name: y, address: '127.0.0.1:2', zone: b, state: draining, weight: 2, started: 10}\n";
        let read = parse("r", good, &zones, 15_000.0).unwrap();
        assert_eq!(read[1].started, Some((5_000.0, 10_000)));
        assert_eq!((read[1].state, read[1].weight), (AdminState::Draining, 2.0));
        let cases = [
            ("name: y", "name: x", 3),
            ("127.0.0.1:2", "127.0.0.1:1", 3),
            ("zone: b", "zone: c", 3),
            ("draining", "leaving", 3),
            ("weight: 2", "weight: -1", 3),
            ("started: 10", "started: soon", 3),
            ("weight: 2", "wait: 2", 3),
            ("127.0.0.1:1", "somewhere", 2),
        ];
        for (from, to, line) in cases {
            let faults = parse("r", &good.replace(from, to), &zones, 0.0).unwrap_err();
            assert!(faults.0.iter().any(|f| f.line == line), "{to}: {faults}");
        }
    }

    #[test]
    fn a_broken_file_is_told_once_and_a_mended_one_is_read() {
        let folder =
            std::env::temp_dir().join(format!("dahliapoint-roster-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("r.yaml");
        let put = |text: &str| {
            let aside = folder.join("aside");
            std::fs::write(&aside, text).unwrap();
            std::fs::rename(&aside, &path).unwrap();
        };
        let mut watch = RosterWatcher::new(&path, &RosterFormat::Yaml, &["a".to_string()]);
        assert!(matches!(watch.poll(), PollResult::Refused(_)));
        assert_eq!(watch.poll(), PollResult::Unchanged);
        put("servers:\n- {name: x, address: '127.0.0.1:1', zone: a}\n");
        assert!(matches!(watch.poll(), PollResult::Changed(entries) if entries.len() == 1));
        assert_eq!(watch.poll(), PollResult::Unchanged);
        put("servers: {");
        assert!(matches!(watch.poll(), PollResult::Refused(why) if why.contains("r.yaml:")));
        assert_eq!(watch.poll(), PollResult::Unchanged);
        put("servers: []\n");
        assert_eq!(watch.poll(), PollResult::Changed(vec![]));
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
