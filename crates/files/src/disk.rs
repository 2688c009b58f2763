//! The calls that a publication makes, one by one, so that each can be made to fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A disk, as far as publishing needs one.
pub trait Disk: Send {
    /// Makes a directory; fine if there is one.
    ///
    /// # Errors
    /// Those of the system; so for all calls here.
    fn make_dir(&mut self, path: &Path) -> io::Result<()>;
    /// Writes a new file, and syncs what is in it if asked to.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn write(&mut self, path: &Path, bytes: &[u8], synced: bool) -> io::Result<()>;
    /// A second name for a file.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn link(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// A symbolic link to a neighbour.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn symlink(&mut self, link: &Path, to: &str) -> io::Result<()>;
    /// # Errors
    /// See [`Disk::make_dir`].
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file, or a directory with all that is in it; fine if it is not there.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn remove(&mut self, path: &Path) -> io::Result<()>;
    /// Syncs a file's bytes, or a directory's names.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn sync(&mut self, path: &Path) -> io::Result<()>;
}

/// The system's own; counts what it is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDisk {
    pub calls: u64,
    pub bytes: u64,
}

fn absent_is_fine(done: io::Result<()>) -> io::Result<()> {
    match done {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        done => done,
    }
}

impl Disk for SystemDisk {
    fn make_dir(&mut self, path: &Path) -> io::Result<()> {
        self.calls += 1;
        match fs::create_dir(path) {
            // A link to a directory elsewhere is none.
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
                match fs::symlink_metadata(path)?.is_dir() {
                    true => Ok(()),
                    false => Err(e),
                }
            }
            done => done,
        }
    }

    fn write(&mut self, path: &Path, bytes: &[u8], synced: bool) -> io::Result<()> {
        self.calls += 3 + u64::from(synced);
        self.bytes += bytes.len() as u64;
        // Made new: a link that somebody put there is not followed.
        let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
        file.write_all(bytes)?;
        if synced { file.sync_data() } else { Ok(()) }
    }

    fn link(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.calls += 1;
        fs::hard_link(from, to)
    }

    fn symlink(&mut self, link: &Path, to: &str) -> io::Result<()> {
        self.calls += 1;
        std::os::unix::fs::symlink(to, link)
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.calls += 1;
        fs::rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.calls += 2;
        match fs::symlink_metadata(path) {
            Ok(at) if at.is_dir() => absent_is_fine(fs::remove_dir_all(path)),
            Ok(_) => absent_is_fine(fs::remove_file(path)),
            Err(e) => absent_is_fine(Err(e)),
        }
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        self.calls += 3;
        File::open(path)?.sync_all()
    }
}
