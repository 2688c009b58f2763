//! Transport by files: tables are published as files that are swapped atomically, and proxies answer through a spool.
//! It shares the controller, its decisions and its rules with the transport by streams.
//!
//! Free of I/O: [`formats`] (the table and its formats), [`cost`] (snapshot or patch), [`proxy_session`] (the table of a
//! proxy and when to write it), [`spool_rules`] (which files of a spool are taken), [`drain_timing`] (whether drains keep
//! their grace), [`messages`] (what proxies write). With I/O: [`disk`] (the file system calls, each of which may fail),
//! [`publish`] (writes a proxy's directory), [`reader`] (reads it), [`spool`] (the way back), [`transport`] (the thread).
//! [`integrity`] has checksums and signatures.
//!
//! The layout, below one directory:
//!
//! ```text
//! alive                          the controller's heartbeat, rewritten
//! tables/PROXY/current           a link to the current generation, replaced last
//! tables/PROXY/g-000000000042/   a generation: its files, and manifest.json that lists them
//! spool/PROXY/                   written by the proxy: beat, ack-*, report-*
//! inbox/                         files taken out of spools, until they are read
//! quarantine/                    refused files, the newest of them
//! ```

pub mod cost;
pub mod disk;
pub mod drain_timing;
pub mod formats;
pub mod integrity;
pub mod messages;
pub mod proxy_session;
pub mod publish;
pub mod reader;
pub mod spool;
pub mod spool_rules;
pub mod transport;

/// Whether a name is safe as the name of a directory: letters, digits, `-`, `_`, `.`, at most 100 of them, and no
/// leading `.`, so that no path leaves its parent.
pub fn is_valid_name(name: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= 100 && !name.starts_with('.') && name.chars().all(valid)
}
