//! Opens the directory in which a controller keeps its state over restarts, for the daemon and the command line.

use dahliapoint_files::integrity::Keys;
use dahliapoint_memory::clock;
use dahliapoint_memory::directory::FsDirectory;
use dahliapoint_memory::facts::Facts;
use dahliapoint_memory::frames::Key;
use dahliapoint_memory::store::{Found, Store, recover};
use std::fmt::Write;
use std::path::Path;

/// Reads a key file; its first key seals the state.
fn read_key(file: Option<&Path>) -> Result<Key, String> {
    let Some(file) = file else {
        return Ok(Key::default());
    };
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Ok(Key(Keys::parse(&name, &text)?.signing_key()))
}

/// Opens a directory for writing.
///
/// # Errors
/// Returns what is wrong, for an operator.
pub fn open(dir: &Path, keys: Option<&Path>) -> Result<(Store<FsDirectory>, Facts, Found), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", dir.display());
    let directory = FsDirectory::open(dir).map_err(io_error)?;
    Store::open(directory, read_key(keys)?).map_err(io_error)
}

/// Reads a directory without changing it.
///
/// # Errors
/// Returns what is wrong, for an operator.
pub fn read(dir: &Path, keys: Option<&Path>) -> Result<(Facts, Found), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", dir.display());
    if !dir.is_dir() {
        return Err(format!("{}: no directory", dir.display()));
    }
    let mut directory = FsDirectory::open_read_only(dir).map_err(io_error)?;
    recover(&mut directory, &read_key(keys)?).map_err(io_error)
}

/// The state as a text for people.
pub fn as_table(facts: &Facts) -> String {
    let now = clock::now();
    let age = |at| match now.since(at) {
        Some(ms) => format!("{:.0} s ago", ms / 1e3),
        None => "nobody knows when".to_string(),
    };
    let mut out = format!("alive {}\n", age(&facts.alive));
    for f in facts.servers.values() {
        let withdrawn = if f.withdrawn { ", withdrawn" } else { "" };
        let _ = writeln!(
            out,
            "{:<24} {:<22} {:<9} since {:<16} weight {:<6} line {:.2}, {}{withdrawn}",
            f.name,
            f.address,
            format!("{:?}", f.state).to_lowercase(),
            age(&f.since),
            f.weight,
            f.share,
            age(&f.judged),
        );
    }
    for (class, (share, at)) in &facts.levels {
        let _ = writeln!(out, "class {class}: {share:.2} let in, {}", age(at));
    }
    out
}
