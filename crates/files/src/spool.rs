//! The way back: takes beats, answers and reports out of the proxies' spools. Each file is renamed into the
//! inbox, where only the controller writes, looked at again there, read and removed: what is counted is
//! counted once, also over a kill.

use crate::integrity::Keys;
use crate::is_plain;
use crate::messages::{Ack, Heartbeat, Report};
use crate::sorting::{Fate, Found, Kind, Taken, sort};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Refused files that are kept, the newest of them.
const QUARANTINE: usize = 200;
/// Names of one spool that are looked at in one round, and spools.
const MOST_NAMES: usize = 4_096;
const MOST_SPOOLS: usize = 20_000;
/// A directory that changed so shortly before it was read may change again within the same tick of the
/// disk's clock.
const TICK: Duration = Duration::from_millis(50);

/// What a proxy said.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Heartbeat(Heartbeat),
    Ack(Ack),
    Report(Report),
}

/// What was taken and what was not, for people.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    pub taken: u64,
    /// By why.
    pub dropped: BTreeMap<&'static str, u64>,
    pub quarantined: u64,
    /// Whole spools that could not be read.
    pub unread: u64,
}

#[derive(Default)]
struct Heard {
    life: u64,
    count: u64,
    taken: Taken,
    /// The directory's time when all of it had been taken.
    quiet: Option<SystemTime>,
    /// What was last said of the spool itself.
    fault: Option<String>,
}

/// See the module's head.
pub struct Spool {
    root: PathBuf,
    keys: Keys,
    every_ms: f64,
    heard: BTreeMap<String, Heard>,
    kept: VecDeque<PathBuf>,
    put_away: u64,
    pub tally: Tally,
    /// To be told to people.
    pub notes: Vec<String>,
}

fn found(kind: Kind, about: &Metadata, now: SystemTime) -> Found {
    let age = about
        .modified()
        .ok()
        .and_then(|at| now.duration_since(at).ok());
    Found {
        kind,
        plain: about.file_type().is_file(),
        names: about.nlink(),
        bytes: about.len(),
        age_ms: age.unwrap_or_default().as_secs_f64() * 1e3,
    }
}

impl Spool {
    /// Makes the directories that it needs; what an earlier life left in the inbox is gone: it may have
    /// been counted.
    ///
    /// # Errors
    /// When they cannot be made, or are links.
    pub fn open(root: &Path, keys: Keys, every_ms: f64) -> io::Result<Spool> {
        for name in ["tables", "spool", "inbox", "quarantine"] {
            let dir = root.join(name);
            fs::create_dir_all(&dir)?;
            if !fs::symlink_metadata(&dir)?.is_dir() {
                let why = format!("{} is a link; a directory is wanted", dir.display());
                return Err(io::Error::other(why));
            }
        }
        for left in fs::read_dir(root.join("inbox"))?.flatten() {
            let _ = fs::remove_file(left.path());
        }
        let kept = fs::read_dir(root.join("quarantine"))?.flatten();
        let mut kept: Vec<PathBuf> = kept.map(|e| e.path()).collect();
        kept.sort();
        Ok(Spool {
            root: root.to_path_buf(),
            keys,
            every_ms,
            heard: BTreeMap::new(),
            kept: kept.into(),
            put_away: 0,
            tally: Tally::default(),
            notes: Vec::new(),
        })
    }

    /// The proxies that have a spool.
    pub fn proxies(&mut self) -> Vec<String> {
        let listed = fs::read_dir(self.root.join("spool"));
        let names = listed.into_iter().flatten().flatten().take(MOST_SPOOLS);
        let names = names.filter_map(|e| e.file_name().into_string().ok());
        names.filter(|n| is_plain(n)).collect()
    }

    /// All that one proxy has said since the last look; `now` by the disk's own clock.
    pub fn poll(&mut self, proxy: &str, now: SystemTime) -> Vec<Said> {
        let dir = self.root.join("spool").join(proxy);
        match self.listed(proxy, &dir, now) {
            Ok(names) => {
                self.heard.entry(proxy.into()).or_default().fault = None;
                self.take_all(proxy, &dir, &names, now)
            }
            Err(why) => {
                self.tally.unread += 1;
                let heard = self.heard.entry(proxy.into()).or_default();
                if heard.fault.as_ref() != Some(&why) {
                    self.notes.push(format!("spool of {proxy}: {why}"));
                    heard.fault = Some(why);
                }
                Vec::new()
            }
        }
    }

    /// The names in a spool in the order in which they are taken; none if nothing can have come.
    fn listed(
        &mut self,
        proxy: &str,
        dir: &Path,
        now: SystemTime,
    ) -> Result<Vec<(Kind, String)>, String> {
        let about = fs::symlink_metadata(dir).map_err(|e| e.to_string())?;
        if !about.is_dir() {
            return Err("it is no directory".into());
        }
        let changed = about.modified().map_err(|e| e.to_string())?;
        let heard = self.heard.entry(proxy.into()).or_default();
        if heard.quiet == Some(changed) {
            return Ok(Vec::new());
        }
        let entries = fs::read_dir(dir).map_err(|e| e.to_string())?;
        let mut names = Vec::new();
        for entry in entries.take(MOST_NAMES) {
            let name = entry.map_err(|e| e.to_string())?.file_name();
            // What is no text is strange, under a name that is.
            let name = name
                .into_string()
                .unwrap_or_else(|n| n.to_string_lossy().into());
            names.push((Kind::of(&name), name));
        }
        names.sort();
        let settled = now.duration_since(changed).is_ok_and(|age| age > TICK);
        heard.quiet = (settled && names.is_empty()).then_some(changed);
        Ok(names)
    }

    fn take_all(
        &mut self,
        proxy: &str,
        dir: &Path,
        names: &[(Kind, String)],
        now: SystemTime,
    ) -> Vec<Said> {
        let mut said = Vec::new();
        let mut taken = self.heard.get(proxy).map(|h| h.taken).unwrap_or_default();
        taken.round = 0;
        for (kind, name) in names {
            let path = dir.join(name);
            let Ok(about) = fs::symlink_metadata(&path) else {
                continue;
            };
            let fate = match sort(&found(*kind, &about, now), &taken, self.every_ms) {
                Fate::Take => self.take(proxy, *kind, name, &path, &mut taken, now),
                fate => Ok((fate, None)),
            };
            match fate {
                Ok((Fate::Take, Some(word))) => {
                    self.tally.taken += 1;
                    taken.round += 1;
                    said.push(word);
                }
                Ok((Fate::Drop(why), _)) => {
                    *self.tally.dropped.entry(why).or_default() += 1;
                    let _ = fs::remove_file(&path);
                }
                Ok((Fate::Quarantine(why), _)) => self.put_away(proxy, name, &path, why),
                Ok(_) => {}
                Err(why) => self.put_away(proxy, name, &self.inbox(proxy, name), &why),
            }
        }
        self.heard.entry(proxy.into()).or_default().taken = taken;
        said
    }

    fn inbox(&self, proxy: &str, name: &str) -> PathBuf {
        self.root.join("inbox").join(format!("{proxy}~{name}"))
    }

    /// Takes one file; what is wrong with it is an error, and it lies in the inbox then.
    fn take(
        &mut self,
        proxy: &str,
        kind: Kind,
        name: &str,
        path: &Path,
        taken: &mut Taken,
        now: SystemTime,
    ) -> Result<(Fate, Option<Said>), String> {
        let inbox = self.inbox(proxy, name);
        if fs::rename(path, &inbox).is_err() {
            // Gone again, or not to be moved: at the next look it is seen anew.
            return Ok((Fate::Leave, None));
        }
        // Whoever owns the spool may have put another file there in between.
        let about = fs::symlink_metadata(&inbox).map_err(|e| e.to_string())?;
        match sort(&found(kind, &about, now), taken, self.every_ms) {
            Fate::Take => {}
            Fate::Quarantine(why) => return Err(why.into()),
            Fate::Drop(_) | Fate::Leave => {
                let _ = fs::remove_file(&inbox);
                *self
                    .tally
                    .dropped
                    .entry("another file came in between")
                    .or_default() += 1;
                return Ok((Fate::Leave, None));
            }
        }
        let bytes = fs::read(&inbox).map_err(|e| e.to_string())?;
        let word = self.read(proxy, kind, &bytes, taken)?;
        let _ = fs::remove_file(&inbox);
        Ok((Fate::Take, word))
    }

    fn read(
        &mut self,
        proxy: &str,
        kind: Kind,
        bytes: &[u8],
        taken: &mut Taken,
    ) -> Result<Option<Said>, String> {
        let text = self.keys.verified_text(bytes)?;
        let wrong = |e: serde_json::Error| e.to_string();
        let heard = self.heard.entry(proxy.into()).or_default();
        match kind {
            Kind::Heartbeat => {
                let beat: Heartbeat = serde_json::from_str(text).map_err(wrong)?;
                if beat.proxy != proxy {
                    return Err(format!("it is of {:?}", beat.proxy));
                }
                if beat.incarnation != heard.life {
                    (heard.life, heard.count) = (beat.incarnation, 0);
                    *taken = Taken::default();
                }
                // The same beat again is no sign of life.
                if beat.sequence <= heard.count && heard.count > 0 {
                    return Ok(None);
                }
                heard.count = beat.sequence;
                Ok(Some(Said::Heartbeat(beat)))
            }
            Kind::Ack(n) => {
                let ack: Ack = serde_json::from_str(text).map_err(wrong)?;
                if ack.incarnation != heard.life {
                    return Ok(None);
                }
                taken.ack = Some(n);
                Ok(Some(Said::Ack(ack)))
            }
            Kind::Report(n) => {
                let told: Report = serde_json::from_str(text).map_err(wrong)?;
                if told.incarnation != heard.life {
                    return Ok(None);
                }
                taken.report = Some(n);
                Ok(Some(Said::Report(told)))
            }
            Kind::Aside | Kind::Strange => Ok(None),
        }
    }

    fn put_away(&mut self, proxy: &str, name: &str, from: &Path, why: &str) {
        self.tally.quarantined += 1;
        self.put_away += 1;
        let stamp = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let stamp = stamp.map_or(0, |d| d.as_millis());
        let name: String = name
            .chars()
            .map(|c| if is_plain(&format!("x{c}")) { c } else { '_' })
            .take(60)
            .collect();
        let to = format!(
            "{stamp:014}-{:06}-{proxy}~{name}",
            self.put_away % 1_000_000
        );
        let to = self.root.join("quarantine").join(to);
        match fs::rename(from, &to) {
            Ok(()) => {
                self.notes
                    .push(format!("spool of {proxy}: {name} is put away: {why}"));
                self.kept.push_back(to);
            }
            Err(e) => self.notes.push(format!(
                "spool of {proxy}: {name}: {why}; it cannot be put away: {e}"
            )),
        }
        while self.kept.len() > QUARANTINE {
            if let Some(old) = self.kept.pop_front() {
                let _ = match fs::symlink_metadata(&old).is_ok_and(|m| m.is_dir()) {
                    true => fs::remove_dir_all(&old),
                    false => fs::remove_file(&old),
                };
            }
        }
    }
}

/// A proxy's side: writes words into its spool, aside and renamed.
pub struct SpoolWriter {
    dir: PathBuf,
    keys: Keys,
}

impl SpoolWriter {
    /// # Errors
    /// When the spool cannot be made.
    pub fn open(root: &Path, proxy: &str, keys: Keys) -> io::Result<SpoolWriter> {
        let dir = root.join("spool").join(proxy);
        fs::create_dir_all(&dir)?;
        Ok(SpoolWriter { dir, keys })
    }

    /// Says a word under a name; when it was said by the disk's clock.
    ///
    /// # Errors
    /// Those of the disk.
    pub fn write(&self, name: &str, word: &impl Serialize) -> io::Result<SystemTime> {
        let text = self.keys.add_tag(&serde_json::to_string(word)?);
        let aside = self.dir.join(format!(".{name}"));
        fs::write(&aside, text)?;
        let at = fs::metadata(&aside)?.modified()?;
        fs::rename(&aside, self.dir.join(name))?;
        Ok(at)
    }
}
