//! Publishes tables in one proxy's directory: a new generation is written next to the current one, synced, listed
//! file by file in a tagged manifest, and made current by replacing one symbolic link. Readers see either the old
//! generation or the new one, complete.

use crate::cost::{Encoding, PublicationCost, choose_encoding};
use crate::disk::Disk;
use crate::formats::{Format, Patch, Table};
use crate::integrity::{Keys, sha256_hex};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// Generations kept for readers that are still reading them.
const RETAINED_GENERATIONS: usize = 3;

/// The complete table of a generation that is written as a snapshot.
pub const TABLE: &str = "table.json";
/// The table that [`PATCH`] applies to: a hard link to the file of an earlier generation.
pub const BASE: &str = "base.json";
/// The difference to [`BASE`].
pub const PATCH: &str = "patch.json";
/// The tagged list of a generation's files.
pub const MANIFEST: &str = "manifest.json";
/// The link to the current generation.
pub const CURRENT: &str = "current";

/// The name of a generation's directory.
pub fn generation_dir(generation: u64) -> String {
    format!("g-{generation:012}")
}

/// The generation that a directory's name stands for; `None` for any other name.
pub fn parse_generation_dir(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("g-")?;
    let valid = digits.len() == 12 && digits.bytes().all(|b| b.is_ascii_digit());
    valid.then(|| digits.parse().ok())?
}

/// A file of a generation, as the manifest lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileEntry {
    pub name: String,
    pub bytes: u64,
    pub sha256: String,
}

/// The files of a generation, and how long it is valid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    #[serde(rename = "form")]
    pub format_version: u32,
    pub proxy: String,
    pub generation: u64,
    /// When it was written, by the controller's clock; informative only.
    pub at_ms: u64,
    /// How long it is valid after the manifest was written, by the disk's clock.
    pub valid_ms: u64,
    pub files: Vec<FileEntry>,
}

/// The table that patches are made against.
struct Base {
    table: Table,
    /// The newest generation whose directory has it.
    generation: u64,
    /// Its file name there: [`TABLE`] or [`BASE`].
    file: &'static str,
    entry: FileEntry,
}

/// Publishes the tables of one proxy.
pub struct Publisher {
    dir: PathBuf,
    proxy: String,
    keys: Keys,
    formats: Vec<Format>,
    /// The highest generation used so far, also for publications that failed.
    generation: u64,
    /// Generations on disk, oldest first; the last one is current.
    retained: Vec<u64>,
    base: Option<Base>,
    patches_since_base: u32,
    /// Tables published as a snapshot.
    pub snapshots: u64,
    /// Tables published as a patch.
    pub patches: u64,
}

impl Publisher {
    /// A publisher for a proxy's directory; continues above the generations found there. All new generations are
    /// above `min_generation`.
    pub fn new(
        dir: PathBuf,
        proxy: &str,
        keys: Keys,
        formats: &[Format],
        min_generation: u64,
    ) -> Publisher {
        let names = std::fs::read_dir(&dir).into_iter().flatten().flatten();
        let names = names.filter_map(|e| parse_generation_dir(e.file_name().to_str()?));
        let mut retained: Vec<u64> = names.collect();
        retained.sort_unstable();
        let newest = retained.last().copied().unwrap_or(0);
        Publisher {
            dir,
            proxy: proxy.into(),
            keys,
            formats: formats.to_vec(),
            generation: newest.max(min_generation),
            retained,
            base: None,
            patches_since_base: 0,
            snapshots: 0,
            patches: 0,
        }
    }

    /// Makes all new generations lie above one that a reader has in use.
    pub fn raise_generation(&mut self, applied: u64) {
        self.generation = self.generation.max(applied);
    }

    /// Makes the next table a snapshot. Called when a reader refused a table, since the base may be corrupt.
    pub fn discard_base(&mut self) {
        self.base = None;
    }

    /// Publishes a table and returns its generation. Without `synced` it is current at once but survives a power
    /// loss only after [`Publisher::sync`]; a reader that finds it incomplete refuses it and keeps its own table.
    ///
    /// # Errors
    /// Any disk error; the previous generation stays current, unless only the last sync failed.
    pub fn publish(
        &mut self,
        disk: &mut dyn Disk,
        mut table: Table,
        at_ms: u64,
        valid_ms: u64,
        synced: bool,
    ) -> io::Result<u64> {
        self.generation += 1;
        let generation = self.generation;
        table.generation = generation;
        table.proxy.clone_from(&self.proxy);
        let dir = self.dir.join(generation_dir(generation));
        let result = self.write(disk, &dir, table, (at_ms, valid_ms), synced);
        if result.is_err() {
            // An incomplete directory does no harm, so a failed removal is ignored.
            let _ = disk.remove(&dir);
            // The base may have been removed together with its directory by someone else.
            self.base = None;
        }
        result.map(|()| generation)
    }

    /// Syncs the current generation, after a publication without sync.
    ///
    /// # Errors
    /// Any disk error.
    pub fn sync(&mut self, disk: &mut dyn Disk) -> io::Result<()> {
        let Some(newest) = self.retained.last() else {
            return Ok(());
        };
        let dir = self.dir.join(generation_dir(*newest));
        for file in std::fs::read_dir(&dir)?.flatten() {
            disk.sync(&file.path())?;
        }
        disk.sync(&dir)?;
        disk.sync(&self.dir)
    }

    fn write(
        &mut self,
        disk: &mut dyn Disk,
        dir: &Path,
        table: Table,
        (at_ms, valid_ms): (u64, u64),
        synced: bool,
    ) -> io::Result<()> {
        disk.make_dir(&self.dir)?;
        let snapshot = serde_json::to_string(&table)?;
        let patch = self.base.as_ref().map(|b| Patch::diff(&b.table, &table));
        let patch = patch.map(|p| serde_json::to_string(&p)).transpose()?;
        let cost = PublicationCost {
            snapshot_bytes: snapshot.len(),
            patch_bytes: patch.as_ref().map(String::len),
            base_bytes: self.base.as_ref().map_or(0, |b| b.entry.bytes as usize),
            patches_since_base: self.patches_since_base,
        };
        disk.make_dir(dir)?;
        let mut files = Vec::new();
        let entry = |name: &str, text: &str| FileEntry {
            name: name.into(),
            bytes: text.len() as u64,
            sha256: sha256_hex(text.as_bytes()),
        };
        let encoding = choose_encoding(&cost);
        match (encoding, patch, &self.base) {
            (Encoding::Patch, Some(patch), Some(base)) => {
                let base_file = self
                    .dir
                    .join(generation_dir(base.generation))
                    .join(base.file);
                disk.hard_link(&base_file, &dir.join(BASE))?;
                disk.write(&dir.join(PATCH), patch.as_bytes(), synced)?;
                files.push(base.entry.clone());
                files.push(entry(PATCH, &patch));
            }
            _ => {
                disk.write(&dir.join(TABLE), snapshot.as_bytes(), synced)?;
                files.push(entry(TABLE, &snapshot));
            }
        }
        for format in &self.formats {
            let text = format.render(&table);
            disk.write(&dir.join(format.file_name()), text.as_bytes(), synced)?;
            files.push(entry(format.file_name(), &text));
        }
        let manifest = Manifest {
            format_version: table.format_version,
            proxy: self.proxy.clone(),
            generation: table.generation,
            at_ms,
            valid_ms,
            files,
        };
        let manifest = self.keys.add_tag(&serde_json::to_string(&manifest)?);
        disk.write(&dir.join(MANIFEST), manifest.as_bytes(), synced)?;
        if synced {
            disk.sync(dir)?;
        }
        let new_link = self
            .dir
            .join(format!(".{}", generation_dir(table.generation)));
        disk.symlink(&new_link, &generation_dir(table.generation))?;
        if let Err(e) = disk.rename(&new_link, &self.dir.join(CURRENT)) {
            let _ = disk.remove(&new_link);
            return Err(e);
        }
        // From here on the generation is current.
        let generation = table.generation;
        self.retained.push(generation);
        match (encoding, &mut self.base) {
            (Encoding::Patch, Some(base)) => {
                (base.generation, base.file) = (generation, BASE);
                self.patches_since_base += 1;
                self.patches += 1;
            }
            _ => {
                self.base = Some(Base {
                    entry: entry(BASE, &snapshot),
                    table,
                    generation,
                    file: TABLE,
                });
                self.patches_since_base = 0;
                self.snapshots += 1;
            }
        }
        // Later failures are ignored: they only let a power loss restore the old link, or leave files on disk.
        if synced {
            let _ = disk.sync(&self.dir);
        }
        while self.retained.len() > RETAINED_GENERATIONS {
            let old = self.retained.remove(0);
            let _ = disk.remove(&self.dir.join(generation_dir(old)));
        }
        Ok(())
    }
}
