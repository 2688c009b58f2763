//! File operations in a directory, as a trait so that tests can make them fail, lose, tear and
//! reorder writes.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A directory of files.
pub trait Directory: Send {
    /// Lists the file names.
    ///
    /// # Errors
    /// Returns the error of the file system; so do all methods here.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    ///
    /// # Errors
    /// See [`Directory::list`]; also if the file is larger than `max_bytes`.
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing an existing one.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's contents durable.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing one.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A directory of the file system, locked by this process unless opened read-only.
pub struct FsDirectory {
    dir: PathBuf,
    files: HashMap<String, File>,
    _lock: Option<File>,
}

impl FsDirectory {
    /// Opens and locks a directory, creating it if needed.
    ///
    /// # Errors
    /// Returns the error of the file system; also if another process holds the lock.
    pub fn open(dir: &Path) -> io::Result<FsDirectory> {
        fs::create_dir_all(dir)?;
        let lock = File::create(dir.join("lock"))?;
        lock.try_lock().map_err(|_| {
            let why = format!("{} is held by another process", dir.display());
            io::Error::new(io::ErrorKind::AlreadyExists, why)
        })?;
        Ok(FsDirectory {
            dir: dir.to_path_buf(),
            files: HashMap::new(),
            _lock: Some(lock),
        })
    }

    /// Opens a directory for reading, without locking it; nothing may be written through it.
    ///
    /// # Errors
    /// Returns the error of the file system.
    pub fn open_read_only(dir: &Path) -> io::Result<FsDirectory> {
        fs::read_dir(dir)?;
        Ok(FsDirectory {
            dir: dir.to_path_buf(),
            files: HashMap::new(),
            _lock: None,
        })
    }

    /// The open file of a name, opened for appending when first used.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.files.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.dir.join(name))?;
            self.files.insert(name.into(), file);
        }
        self.files
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Reads a whole regular file of at most `max_bytes` bytes.
///
/// # Errors
/// Returns the error of the file system; also if the file is larger or not a regular one.
pub fn read_bounded(path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
    let file = File::open(path)?;
    let metadata = file.metadata()?;
    if !metadata.is_file() || metadata.len() > max_bytes {
        return Err(io::Error::other(format!(
            "not a regular file, or larger than {max_bytes} bytes"
        )));
    }
    let mut bytes = Vec::with_capacity(metadata.len() as usize);
    file.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(bytes)
}

impl Directory for FsDirectory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.dir)?;
        let names = names
            .flatten()
            .filter_map(|e| e.file_name().into_string().ok());
        Ok(names.collect())
    }

    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        read_bounded(&self.dir.join(name), max_bytes)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.dir.join(name);
        // Never write through a link that was placed here.
        if fs::symlink_metadata(&path).is_ok() {
            fs::remove_file(&path)?;
        }
        let file = OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(path)?;
        self.files.insert(name.into(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.files.remove(from);
        self.files.remove(to);
        fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        fs::remove_file(self.dir.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }
}
