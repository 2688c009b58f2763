//! Host lists that others keep: Apache's balancer configuration (mod_proxy_balancer) and mod_jk's
//! `workers.properties`, to hosts with weights and states, and back. Free of I/O: files come through [`FileSource`].
//!
//! How it is called: [`read`] with a first file gives an [`Import`], or every fault with file and line; it never
//! guesses. [`Import::written`] gives the files' texts with other weights and states in them: whatever is not
//! concerned stays as it is, byte for byte, comments and spaces included.
//!
//! Sources: httpd 2.4 "Configuration Files" and mod_proxy (`BalancerMember`, `ProxySet`, worker status letters);
//! "The Apache Tomcat Connectors - Reference Guide", workers.properties.

pub mod apache;
pub mod fleet;
pub mod jk;
pub mod lines;
pub mod paths;

pub use fleet::{Diagnostic, Host, HostState, Import, Location};

/// What files there are. Paths are as they are written, made whole by [`paths`].
pub trait FileSource {
    /// A file's text.
    ///
    /// # Errors
    /// Why it cannot be had, in words.
    fn read(&mut self, path: &str) -> Result<String, String>;

    /// Files in a folder, sorted by name.
    ///
    /// # Errors
    /// Why they cannot be had.
    fn list(&mut self, folder: &str) -> Result<Vec<String>, String>;
}

/// What a file is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFormat {
    Apache,
    Jk,
}

/// What a reader is told beside the files.
#[derive(Clone, Debug, Default)]
pub struct ImportOptions {
    /// The balancer or load balancing worker; without it there must be one only.
    pub balancer: Option<String>,
    /// Names that hold in `<IfDefine>` and `<IfModule>`: what is in others is not taken, and what cannot be left
    /// out of account is refused.
    pub assumed_conditions: Vec<String>,
    /// Where relative paths begin; without it the first file's folder.
    pub base_dir: Option<String>,
}

/// Reads a file and all that it includes.
///
/// # Errors
/// Everything that is wrong or cannot be known, each with its file and line.
pub fn read(
    files: &mut dyn FileSource,
    path: &str,
    kind: ConfigFormat,
    wanted: &ImportOptions,
) -> Result<Import, Vec<Diagnostic>> {
    match kind {
        ConfigFormat::Apache => apache::read(files, path, wanted),
        ConfigFormat::Jk => jk::read(files, path, wanted),
    }
}
