//! Memory as the daemon and its command line open it.

use dahliapoint_files::integrity::Keys;
use dahliapoint_memory::clock;
use dahliapoint_memory::directory::FsDirectory;
use dahliapoint_memory::facts::Facts;
use dahliapoint_memory::frames::Key;
use dahliapoint_memory::store::{Found, Store, recover};
use std::fmt::Write;
use std::path::Path;

/// Reads a key file: the first key of it seals.
fn key(file: Option<&Path>) -> Result<Key, String> {
    let Some(file) = file else {
        return Ok(Key::default());
    };
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Ok(Key(Keys::parse(&name, &text)?.signing_key()))
}

/// Opens a directory to write to it.
///
/// # Errors
/// What is wrong, in words for an operator.
pub fn open(dir: &Path, keys: Option<&Path>) -> Result<(Store<FsDirectory>, Facts, Found), String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", dir.display());
    let layer = FsDirectory::open(dir).map_err(wrong)?;
    Store::open(layer, key(keys)?).map_err(wrong)
}

/// Reads a directory, changing nothing in it.
///
/// # Errors
/// See [`open`].
pub fn read(dir: &Path, keys: Option<&Path>) -> Result<(Facts, Found), String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", dir.display());
    if !dir.is_dir() {
        return Err(format!("{}: no directory", dir.display()));
    }
    let mut layer = FsDirectory::open_read_only(dir).map_err(wrong)?;
    recover(&mut layer, &key(keys)?).map_err(wrong)
}

/// What is known, for a person.
pub fn as_table(facts: &Facts) -> String {
    let now = clock::now();
    let age = |at| match now.since(at) {
        Some(ms) => format!("{:.0} s ago", ms / 1e3),
        None => "nobody knows when".to_string(),
    };
    let mut out = format!("alive {}\n", age(&facts.alive));
    for f in facts.servers.values() {
        let shut = if f.withdrawn { ", withdrawn" } else { "" };
        let _ = writeln!(
            out,
            "{:<24} {:<22} {:<9} since {:<16} weight {:<6} line {:.2}, {}{shut}",
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
