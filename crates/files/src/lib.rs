//! The second front: tables as files, swapped atomically, and the way back by a spool. It shares the
//! controller, its decisions and its rules with the first.
//!
//! Free of I/O: [`formats`] (what is written), [`cost`] (whole or patched), [`sorting`] (what is taken from a
//! spool), [`drain_timing`] (what can be promised). Around them: [`disk`] (the calls, each of which may fail),
//! [`publish`] (one proxy's directory), [`reader`] (a reader of it), [`spool`] (the way back), [`front`].
//!
//! The layout, below one directory:
//!
//! ```text
//! alive                          the controller's sign of life, rewritten
//! tables/PROXY/current           a link to the generation in force, swapped last
//! tables/PROXY/g-0000000042/     a generation: its files, and manifest.json over them
//! spool/PROXY/                   the proxy's own: beat, ack-*, report-*
//! inbox/                         files taken out of spools, until they are read
//! quarantine/                    what was refused, the newest of it
//! ```

pub mod cost;
pub mod disk;
pub mod drain_timing;
pub mod formats;
pub mod front;
pub mod integrity;
pub mod messages;
pub mod publish;
pub mod reader;
pub mod seat;
pub mod sorting;
pub mod spool;

/// Whether a name can be a directory's: letters, digits, `-`, `_`, `.` and not first; nothing climbs out.
pub fn is_plain(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= 100 && !name.starts_with('.') && name.chars().all(plain)
}
