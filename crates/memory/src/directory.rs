//! The calls to a directory, one by one, so that tests can fail, lose, tear and reorder them.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A directory of files, as far as memory needs one.
pub trait Directory: Send {
    /// The names there.
    ///
    /// # Errors
    /// Those of the system; so for all calls here.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// # Errors
    /// See [`Directory::list`]; also when the file is larger than `most`.
    fn read(&mut self, name: &str, most: u64) -> io::Result<Vec<u8>>;
    /// A new file, empty, in place of one that is there.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// # Errors
    /// See [`Directory::list`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// What was appended outlasts a power cut from here on.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// # Errors
    /// See [`Directory::list`].
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// # Errors
    /// See [`Directory::list`].
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Names made, renamed and removed outlast a power cut from here on.
    ///
    /// # Errors
    /// See [`Directory::list`].
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A directory of the system, held by this process alone.
pub struct FsDirectory {
    dir: PathBuf,
    files: HashMap<String, File>,
    _held: Option<File>,
}

impl FsDirectory {
    /// Opens a directory; makes it if it is not there.
    ///
    /// # Errors
    /// Those of the system; also when another process holds it.
    pub fn open(dir: &Path) -> io::Result<FsDirectory> {
        fs::create_dir_all(dir)?;
        let held = File::create(dir.join("lock"))?;
        held.try_lock().map_err(|_| {
            let why = format!("{} is held by another process", dir.display());
            io::Error::new(io::ErrorKind::AlreadyExists, why)
        })?;
        Ok(FsDirectory {
            dir: dir.to_path_buf(),
            files: HashMap::new(),
            _held: Some(held),
        })
    }

    /// To look into a directory that another process may hold; nothing is to be written through it.
    ///
    /// # Errors
    /// Those of the system.
    pub fn open_read_only(dir: &Path) -> io::Result<FsDirectory> {
        fs::read_dir(dir)?;
        Ok(FsDirectory {
            dir: dir.to_path_buf(),
            files: HashMap::new(),
            _held: None,
        })
    }

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

/// All of a file, if it is not larger than that.
///
/// # Errors
/// Those of the system.
pub fn read_bounded(path: &Path, most: u64) -> io::Result<Vec<u8>> {
    let file = File::open(path)?;
    let about = file.metadata()?;
    if !about.is_file() || about.len() > most {
        return Err(io::Error::other("no plain file of a fitting size"));
    }
    let mut bytes = Vec::with_capacity(about.len() as usize);
    file.take(most).read_to_end(&mut bytes)?;
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

    fn read(&mut self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        read_bounded(&self.dir.join(name), most)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.dir.join(name);
        // Never through a link that somebody put there.
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
