//! A reader of one proxy's directory: finds the current generation, verifies all of it, and returns the table or the
//! reason for which it is invalid. It never mixes generations: all files come from the directory that the link named
//! when it was read.

use crate::formats::{Patch, TABLE_FORMAT_VERSION, Table};
use crate::integrity::{Keys, sha256_hex};
use crate::publish::{BASE, CURRENT, MANIFEST, Manifest, PATCH, TABLE, parse_generation_dir};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// Larger files are refused unread.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// A generation may be removed while it is read; by then the link names a newer one.
const MAX_ATTEMPTS: usize = 5;

/// The result of [`Reader::poll`].
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// Nothing is published, or nothing new.
    Unchanged,
    Updated(Box<Table>),
    /// The published table can't be used: its generation (0 if unknown), and why.
    Invalid(u64, String),
}

/// Reads the published tables of one proxy.
pub struct Reader {
    dir: PathBuf,
    proxy: String,
    keys: Keys,
    /// The generation in use.
    applied: Option<u64>,
    /// The generation that was examined last, valid or not.
    examined: Option<u64>,
}

/// A file's content and its modification time.
fn read(path: &Path) -> io::Result<(Vec<u8>, SystemTime)> {
    let file = File::open(path)?;
    let metadata = file.metadata()?;
    if !metadata.is_file() || metadata.len() > MAX_FILE_BYTES {
        return Err(io::Error::other("no plain file of a fitting size"));
    }
    let mut bytes = Vec::with_capacity(metadata.len() as usize);
    file.take(MAX_FILE_BYTES).read_to_end(&mut bytes)?;
    Ok((bytes, metadata.modified()?))
}

impl Reader {
    /// A reader of the directory `tables/PROXY`.
    pub fn new(dir: PathBuf, proxy: &str, keys: Keys) -> Reader {
        Reader {
            dir,
            proxy: proxy.into(),
            keys,
            applied: None,
            examined: None,
        }
    }

    /// The generation in use.
    pub fn applied_generation(&self) -> Option<u64> {
        self.applied
    }

    /// Looks for a new generation. `now` is the time by the disk's clock, if known: the first table is refused
    /// if it has expired by then; once a table is in use, age doesn't matter.
    pub fn poll(&mut self, now: Option<SystemTime>) -> ReadResult {
        let mut why = String::new();
        for _ in 0..MAX_ATTEMPTS {
            let Ok(link) = std::fs::read_link(self.dir.join(CURRENT)) else {
                return ReadResult::Unchanged;
            };
            let Some(generation) = link.to_str().and_then(parse_generation_dir) else {
                return self.invalid(0, format!("{} names no generation", link.display()));
            };
            if self.examined == Some(generation) {
                return ReadResult::Unchanged;
            }
            match self.load(generation, &self.dir.join(&link), now) {
                Ok(table) => {
                    (self.applied, self.examined) = (Some(generation), Some(generation));
                    return ReadResult::Updated(Box::new(table));
                }
                Err(LoadError::NotFound) => why = "it is gone while it is read".into(),
                Err(LoadError::Invalid(why)) => return self.invalid(generation, why),
            }
        }
        self.invalid(0, why)
    }

    fn invalid(&mut self, generation: u64, why: String) -> ReadResult {
        // Each generation is reported once.
        if generation > 0 {
            self.examined = Some(generation);
        }
        ReadResult::Invalid(generation, why)
    }

    /// Loads and verifies one generation.
    fn load(
        &self,
        generation: u64,
        dir: &Path,
        now: Option<SystemTime>,
    ) -> Result<Table, LoadError> {
        let (bytes, written_at) = read(&dir.join(MANIFEST))?;
        let text = self
            .keys
            .verified_text(&bytes)
            .map_err(LoadError::Invalid)?;
        let manifest: Manifest = parse_json(text.as_bytes(), MANIFEST)?;
        if manifest.format_version != TABLE_FORMAT_VERSION {
            return invalid(format!("form {} is not known", manifest.format_version));
        }
        if manifest.proxy != self.proxy || manifest.generation != generation {
            return invalid("the manifest is of another proxy or generation".into());
        }
        if let Some(applied) = self.applied.filter(|applied| generation < *applied) {
            return invalid(format!(
                "generation {generation} goes back behind {applied}"
            ));
        }
        let age = now.and_then(|now| now.duration_since(written_at).ok());
        let valid = Duration::from_millis(manifest.valid_ms);
        if self.applied.is_none() && age.is_some_and(|age| age > valid) {
            return invalid("it is out of date".into());
        }
        let listed_file = |name: &str| {
            let listed = manifest.files.iter().find(|f| f.name == name);
            listed.map(|listed| {
                let (bytes, _) = read(&dir.join(name))?;
                match bytes.len() as u64 == listed.bytes && sha256_hex(&bytes) == listed.sha256 {
                    true => Ok(bytes),
                    false => invalid(format!("{name} is not what the manifest lists")),
                }
            })
        };
        let table: Table = match (listed_file(TABLE), listed_file(BASE), listed_file(PATCH)) {
            (Some(snapshot), ..) => parse_json(&snapshot?, TABLE)?,
            (None, Some(base), Some(patch)) => {
                let (base, patch): (Table, Patch) =
                    (parse_json(&base?, BASE)?, parse_json(&patch?, PATCH)?);
                patch.apply_to(base).map_err(LoadError::Invalid)?
            }
            _ => return invalid("the manifest lists no table".into()),
        };
        match table.generation == generation && table.proxy == self.proxy {
            true => Ok(table),
            false => invalid("the table is of another proxy or generation".into()),
        }
    }
}

enum LoadError {
    NotFound,
    Invalid(String),
}

impl From<io::Error> for LoadError {
    fn from(e: io::Error) -> LoadError {
        match e.kind() {
            io::ErrorKind::NotFound => LoadError::NotFound,
            _ => LoadError::Invalid(e.to_string()),
        }
    }
}

fn invalid<T>(why: String) -> Result<T, LoadError> {
    Err(LoadError::Invalid(why))
}

fn parse_json<T: serde::de::DeserializeOwned>(bytes: &[u8], name: &str) -> Result<T, LoadError> {
    serde_json::from_slice(bytes).map_err(|e| LoadError::Invalid(format!("{name}: {e}")))
}
