//! One proxy's directory: a new generation is written aside, synced, sealed by a manifest over all its files,
//! and put in force by swapping one link. Readers see the old generation or the new one, whole.

use crate::cost::{Choice, Published, choose};
use crate::disk::Disk;
use crate::formats::{Format, Patch, Table};
use crate::integrity::{Keys, sha256_hex};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

/// Generations that stay for readers which are at them.
const KEPT: usize = 3;

pub const TABLE: &str = "table.json";
pub const BASE: &str = "base.json";
pub const PATCH: &str = "patch.json";
pub const MANIFEST: &str = "manifest.json";
pub const CURRENT: &str = "current";

/// A generation's directory.
pub fn name_of(generation: u64) -> String {
    format!("g-{generation:012}")
}

/// The generation of a directory's name; none if it is not ours.
pub fn generation_of(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("g-")?;
    let ours = digits.len() == 12 && digits.bytes().all(|b| b.is_ascii_digit());
    ours.then(|| digits.parse().ok())?
}

/// A file of a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub name: String,
    pub bytes: u64,
    pub sha256: String,
}

/// What a generation consists of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    #[serde(rename = "form")]
    pub format_version: u32,
    pub proxy: String,
    pub generation: u64,
    /// When it was written, by the controller's clock: for people.
    pub at_ms: u64,
    /// How long it holds from then on, in milliseconds, by the clock of the disk.
    pub valid_ms: u64,
    pub files: Vec<Part>,
}

/// What patches are made from.
struct Base {
    table: Table,
    /// The newest generation whose directory has it, and under which name.
    holder: u64,
    file: &'static str,
    part: Part,
}

/// A proxy's publications.
pub struct Publisher {
    dir: PathBuf,
    proxy: String,
    keys: Keys,
    forms: Vec<Format>,
    /// The newest number that was used, for whatever came of it.
    generation: u64,
    /// The generation in force, and those before it that are still there, oldest first.
    there: Vec<u64>,
    base: Option<Base>,
    since_base: u32,
    pub whole: u64,
    pub patched: u64,
}

impl Publisher {
    /// For a proxy's directory, with what an earlier life left there. `least` is a number that all new
    /// generations lie above.
    pub fn new(dir: PathBuf, proxy: &str, keys: Keys, forms: &[Format], least: u64) -> Publisher {
        let names = std::fs::read_dir(&dir).into_iter().flatten().flatten();
        let names = names.filter_map(|e| generation_of(e.file_name().to_str()?));
        let mut there: Vec<u64> = names.collect();
        there.sort_unstable();
        let newest = there.last().copied().unwrap_or(0);
        Publisher {
            dir,
            proxy: proxy.into(),
            keys,
            forms: forms.to_vec(),
            generation: newest.max(least),
            there,
            base: None,
            since_base: 0,
            whole: 0,
            patched: 0,
        }
    }

    /// A reader holds that generation: ours lie above it.
    pub fn above(&mut self, held: u64) {
        self.generation = self.generation.max(held);
    }

    /// A reader refused what it found: the base may be bent, so the next table is written whole.
    pub fn renew(&mut self) {
        self.base = None;
    }

    /// Publishes a table; its generation. What is not synced here is in force at once, and outlasts a power
    /// cut only after [`Publisher::sync`]: a reader that finds half of it then says so and keeps its own.
    ///
    /// # Errors
    /// Those of the disk; what was in force stays so, unless only the last sync failed.
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
        let aside = self.dir.join(name_of(generation));
        let done = self.write(disk, &aside, table, (at_ms, valid_ms), synced);
        if done.is_err() {
            // What is half there is in nobody's way; it goes if it can.
            let _ = disk.remove(&aside);
            // A base may have gone with a directory that was removed from outside.
            self.base = None;
        }
        done.map(|()| generation)
    }

    /// Syncs what is in force, if it was published without.
    ///
    /// # Errors
    /// Those of the disk.
    pub fn sync(&mut self, disk: &mut dyn Disk) -> io::Result<()> {
        let Some(newest) = self.there.last() else {
            return Ok(());
        };
        let dir = self.dir.join(name_of(*newest));
        for file in std::fs::read_dir(&dir)?.flatten() {
            disk.sync(&file.path())?;
        }
        disk.sync(&dir)?;
        disk.sync(&self.dir)
    }

    fn write(
        &mut self,
        disk: &mut dyn Disk,
        aside: &Path,
        table: Table,
        (at_ms, valid_ms): (u64, u64),
        synced: bool,
    ) -> io::Result<()> {
        disk.make_dir(&self.dir)?;
        let whole = serde_json::to_string(&table)?;
        let patch = self.base.as_ref().map(|b| Patch::diff(&b.table, &table));
        let patch = patch.map(|p| serde_json::to_string(&p)).transpose()?;
        let choice = Choice {
            whole: whole.len(),
            patch: patch.as_ref().map(String::len),
            base: self.base.as_ref().map_or(0, |b| b.part.bytes as usize),
            since_base: self.since_base,
        };
        disk.make_dir(aside)?;
        let mut parts = Vec::new();
        let part = |name: &str, text: &str| Part {
            name: name.into(),
            bytes: text.len() as u64,
            sha256: sha256_hex(text.as_bytes()),
        };
        let chosen = choose(&choice);
        match (chosen, patch, &self.base) {
            (Published::Patched, Some(patch), Some(base)) => {
                let held = self.dir.join(name_of(base.holder)).join(base.file);
                disk.link(&held, &aside.join(BASE))?;
                disk.write(&aside.join(PATCH), patch.as_bytes(), synced)?;
                parts.push(base.part.clone());
                parts.push(part(PATCH, &patch));
            }
            _ => {
                disk.write(&aside.join(TABLE), whole.as_bytes(), synced)?;
                parts.push(part(TABLE, &whole));
            }
        }
        for form in &self.forms {
            let text = form.render(&table);
            disk.write(&aside.join(form.file_name()), text.as_bytes(), synced)?;
            parts.push(part(form.file_name(), &text));
        }
        let manifest = Manifest {
            format_version: table.format_version,
            proxy: self.proxy.clone(),
            generation: table.generation,
            at_ms,
            valid_ms,
            files: parts,
        };
        let manifest = self.keys.add_tag(&serde_json::to_string(&manifest)?);
        disk.write(&aside.join(MANIFEST), manifest.as_bytes(), synced)?;
        if synced {
            disk.sync(aside)?;
        }
        let pointer = self.dir.join(format!(".{}", name_of(table.generation)));
        disk.symlink(&pointer, &name_of(table.generation))?;
        if let Err(e) = disk.rename(&pointer, &self.dir.join(CURRENT)) {
            let _ = disk.remove(&pointer);
            return Err(e);
        }
        // From here on it is in force.
        let generation = table.generation;
        self.there.push(generation);
        match (chosen, &mut self.base) {
            (Published::Patched, Some(base)) => {
                (base.holder, base.file) = (generation, BASE);
                self.since_base += 1;
                self.patched += 1;
            }
            _ => {
                self.base = Some(Base {
                    part: part(BASE, &whole),
                    table,
                    holder: generation,
                    file: TABLE,
                });
                self.since_base = 0;
                self.whole += 1;
            }
        }
        // A failure from here on costs a name that a power cut may bring back, or some room.
        if synced {
            let _ = disk.sync(&self.dir);
        }
        while self.there.len() > KEPT {
            let old = self.there.remove(0);
            let _ = disk.remove(&self.dir.join(name_of(old)));
        }
        Ok(())
    }
}
