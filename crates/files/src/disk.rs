//! The file system calls of a publication, as a trait, so that tests can make each of them fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// The file system operations that publishing needs. All errors are those of the system.
pub trait Disk: Send {
    /// Creates a directory; succeeds if it exists.
    ///
    /// # Errors
    /// Any error of the system, here and in all other calls.
    fn make_dir(&mut self, path: &Path) -> io::Result<()>;
    /// Writes a new file, and syncs its content if `synced`.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn write(&mut self, path: &Path, bytes: &[u8], synced: bool) -> io::Result<()>;
    /// Creates a hard link.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn hard_link(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Creates a symbolic link to a name in the same directory.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn symlink(&mut self, link: &Path, to: &str) -> io::Result<()>;
    /// Renames a file or link, replacing the target.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file, or a directory with its content; succeeds if it doesn't exist.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn remove(&mut self, path: &Path) -> io::Result<()>;
    /// Syncs a file's content, or a directory's entries.
    ///
    /// # Errors
    /// See [`Disk::make_dir`].
    fn sync(&mut self, path: &Path) -> io::Result<()>;
}

/// The file system of the machine; counts system calls and written bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDisk {
    /// System calls made.
    pub calls: u64,
    /// Bytes written.
    pub bytes: u64,
}

fn ignore_not_found(result: io::Result<()>) -> io::Result<()> {
    match result {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        result => result,
    }
}

impl Disk for SystemDisk {
    fn make_dir(&mut self, path: &Path) -> io::Result<()> {
        self.calls += 1;
        match fs::create_dir(path) {
            // A link to a directory does not count as one.
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
                match fs::symlink_metadata(path)?.is_dir() {
                    true => Ok(()),
                    false => Err(e),
                }
            }
            result => result,
        }
    }

    fn write(&mut self, path: &Path, bytes: &[u8], synced: bool) -> io::Result<()> {
        self.calls += 3 + u64::from(synced);
        self.bytes += bytes.len() as u64;
        // `create_new` does not follow a link that somebody else put there.
        let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
        file.write_all(bytes)?;
        if synced { file.sync_data() } else { Ok(()) }
    }

    fn hard_link(&mut self, from: &Path, to: &Path) -> io::Result<()> {
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
            Ok(metadata) if metadata.is_dir() => ignore_not_found(fs::remove_dir_all(path)),
            Ok(_) => ignore_not_found(fs::remove_file(path)),
            Err(e) => ignore_not_found(Err(e)),
        }
    }

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        self.calls += 3;
        File::open(path)?.sync_all()
    }
}
