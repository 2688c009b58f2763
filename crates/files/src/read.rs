//! A reader of one proxy's directory: finds the generation in force, checks all of it, and gives the table
//! or says what is wrong. It never mixes generations: all files come from the directory that the link
//! named when it was read.

use crate::formats::{Patch, TABLE_FORMAT_VERSION, Table};
use crate::integrity::{Keys, sha256_hex};
use crate::publish::{BASE, CURRENT, MANIFEST, Manifest, PATCH, TABLE, generation_of};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// A larger file is none of ours.
const LARGEST: u64 = 64 << 20;
/// A generation may be swept away while it is read; the link then names a newer one.
const TRIES: usize = 5;

/// What was found.
#[derive(Clone, Debug, PartialEq)]
pub enum Look {
    /// Nothing is published, or nothing new.
    Same,
    New(Box<Table>),
    /// What is published is not to be used; the generation, if it can be told.
    Bad(u64, String),
}

/// See the module's head.
pub struct Reader {
    dir: PathBuf,
    proxy: String,
    keys: Keys,
    /// The generation in use, and the last one that was looked at.
    held: Option<u64>,
    seen: Option<u64>,
}

fn read(path: &Path) -> io::Result<(Vec<u8>, SystemTime)> {
    let file = File::open(path)?;
    let about = file.metadata()?;
    if !about.is_file() || about.len() > LARGEST {
        return Err(io::Error::other("no plain file of a fitting size"));
    }
    let mut bytes = Vec::with_capacity(about.len() as usize);
    file.take(LARGEST).read_to_end(&mut bytes)?;
    Ok((bytes, about.modified()?))
}

impl Reader {
    /// For `tables/PROXY`.
    pub fn new(dir: PathBuf, proxy: &str, keys: Keys) -> Reader {
        Reader {
            dir,
            proxy: proxy.into(),
            keys,
            held: None,
            seen: None,
        }
    }

    /// The generation in use.
    pub fn held(&self) -> Option<u64> {
        self.held
    }

    /// Looks for a new generation. `fresh` is the time now by the disk's own clock: a table that is out of
    /// date by it is not begun with; one in use stays whatever its age.
    pub fn look(&mut self, fresh: Option<SystemTime>) -> Look {
        let mut why = String::new();
        for _ in 0..TRIES {
            let Ok(link) = std::fs::read_link(self.dir.join(CURRENT)) else {
                return Look::Same;
            };
            let named = link.to_str().and_then(generation_of);
            let Some(generation) = named else {
                return self.bad(0, format!("{} names no generation", link.display()));
            };
            if self.seen == Some(generation) {
                return Look::Same;
            }
            match self.take(generation, &self.dir.join(&link), fresh) {
                Ok(table) => {
                    (self.held, self.seen) = (Some(generation), Some(generation));
                    return Look::New(Box::new(table));
                }
                Err(Wrong::Gone) => why = "it is gone while it is read".into(),
                Err(Wrong::Bad(why)) => return self.bad(generation, why),
            }
        }
        self.bad(0, why)
    }

    fn bad(&mut self, generation: u64, why: String) -> Look {
        // Said once for each generation.
        if generation > 0 {
            self.seen = Some(generation);
        }
        Look::Bad(generation, why)
    }

    fn take(&self, generation: u64, dir: &Path, fresh: Option<SystemTime>) -> Result<Table, Wrong> {
        let (bytes, written) = read(&dir.join(MANIFEST))?;
        let text = self.keys.verified_text(&bytes).map_err(Wrong::Bad)?;
        let manifest: Manifest = parsed(text.as_bytes(), MANIFEST)?;
        if manifest.format_version != TABLE_FORMAT_VERSION {
            return bad(format!("form {} is not known", manifest.format_version));
        }
        if manifest.proxy != self.proxy || manifest.generation != generation {
            return bad("the manifest is of another proxy or generation".into());
        }
        if let Some(held) = self.held.filter(|held| generation < *held) {
            return bad(format!("generation {generation} goes back behind {held}"));
        }
        let age = fresh.and_then(|now| now.duration_since(written).ok());
        let valid = Duration::from_millis(manifest.valid_ms);
        if self.held.is_none() && age.is_some_and(|age| age > valid) {
            return bad("it is out of date".into());
        }
        let part = |name: &str| {
            let listed = manifest.files.iter().find(|p| p.name == name);
            listed.map(|listed| {
                let (bytes, _) = read(&dir.join(name))?;
                match bytes.len() as u64 == listed.bytes && sha256_hex(&bytes) == listed.sha256 {
                    true => Ok(bytes),
                    false => bad(format!("{name} is not what the manifest lists")),
                }
            })
        };
        let table: Table = match (part(TABLE), part(BASE), part(PATCH)) {
            (Some(whole), ..) => parsed(&whole?, TABLE)?,
            (None, Some(base), Some(patch)) => {
                let (base, patch): (Table, Patch) =
                    (parsed(&base?, BASE)?, parsed(&patch?, PATCH)?);
                patch.apply_to(base).map_err(Wrong::Bad)?
            }
            _ => return bad("the manifest lists no table".into()),
        };
        match table.generation == generation && table.proxy == self.proxy {
            true => Ok(table),
            false => bad("the table is of another proxy or generation".into()),
        }
    }
}

enum Wrong {
    Gone,
    Bad(String),
}

impl From<io::Error> for Wrong {
    fn from(e: io::Error) -> Wrong {
        match e.kind() {
            io::ErrorKind::NotFound => Wrong::Gone,
            _ => Wrong::Bad(e.to_string()),
        }
    }
}

fn bad<T>(why: String) -> Result<T, Wrong> {
    Err(Wrong::Bad(why))
}

fn parsed<T: serde::de::DeserializeOwned>(bytes: &[u8], name: &str) -> Result<T, Wrong> {
    serde_json::from_slice(bytes).map_err(|e| Wrong::Bad(format!("{name}: {e}")))
}
