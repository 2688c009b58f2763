//! Imports host lists from Apache's balancer configuration (mod_proxy_balancer) and mod_jk's `workers.properties`, and
//! writes weights and states back. Free of I/O: files come through [`FileSource`].
//!
//! [`read`] takes a first file and returns an [`Import`], or every error with its file and line; it never guesses.
//! [`Import::with_changes`] returns the files with other weights and states; everything else stays byte for byte,
//! including comments and white space.
//!
//! Sources: httpd 2.4 "Configuration Files" and mod_proxy (`BalancerMember`, `ProxySet`, worker status letters);
//! "The Apache Tomcat Connectors - Reference Guide", workers.properties.

pub mod apache;
pub mod hosts;
pub mod jk;
pub mod paths;
pub mod tokenizer;

pub use hosts::{Diagnostic, Host, HostState, Import, Location};

/// Access to files. Paths are as written in the configuration, resolved by [`paths`].
pub trait FileSource {
    /// A file's text.
    ///
    /// # Errors
    /// Why it cannot be read.
    fn read(&mut self, path: &str) -> Result<String, String>;

    /// The names of the files in a directory, sorted.
    ///
    /// # Errors
    /// Why it cannot be listed.
    fn list(&mut self, dir: &str) -> Result<Vec<String>, String>;
}

/// The format of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFormat {
    /// httpd with mod_proxy_balancer.
    Apache,
    /// `workers.properties` of mod_jk.
    Jk,
}

/// Options of an import.
#[derive(Clone, Debug, Default)]
pub struct ImportOptions {
    /// The balancer or load balancing worker to import; without it there must be exactly one.
    pub balancer: Option<String>,
    /// Names taken as true in `<IfDefine>` and `<IfModule>`. Members and includes under any other condition are
    /// refused; everything else there is ignored.
    pub assumed_conditions: Vec<String>,
    /// The directory of relative paths; by default that of the first file.
    pub base_dir: Option<String>,
}

/// Reads a file and all its includes.
///
/// # Errors
/// Everything that is wrong or ambiguous, each with its file and line.
pub fn read(
    files: &mut dyn FileSource,
    path: &str,
    format: ConfigFormat,
    options: &ImportOptions,
) -> Result<Import, Vec<Diagnostic>> {
    match format {
        ConfigFormat::Apache => apache::read(files, path, options),
        ConfigFormat::Jk => jk::read(files, path, options),
    }
}
