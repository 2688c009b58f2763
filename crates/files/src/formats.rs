//! The published table and the formats that it is written in: our own, and those that plain proxies already
//! read. All formats of one generation are rendered from one table.

use dahliapoint_control::{Line, LineState, RetryPolicy};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// What a weight of 1.0 becomes in formats that take integers only; an open line has at least 1.
const INTEGER_SCALE: f64 = 100.0;
/// The range of Apache's `loadfactor`.
const APACHE_FACTORS: (f64, f64) = (1.0, 100.0);
/// HAProxy's largest weight.
const HAPROXY_MAX_WEIGHT: f64 = 256.0;

/// A server in a published table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableLine {
    pub server: String,
    pub address: String,
    pub weight: f64,
    /// False: withdrawn, not to be picked whatever its weight.
    pub open: bool,
}

impl TableLine {
    /// The published form of a controller's line.
    pub fn from_line(line: &Line) -> TableLine {
        TableLine {
            server: line.server.to_string(),
            address: line.address.to_string(),
            weight: line.weight,
            open: line.state == LineState::Open,
        }
    }
}

/// The policy of a class in a published table.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableClass {
    /// The share of the class's visits that is admitted.
    #[serde(rename = "share")]
    pub admitted_share: f64,
    #[serde(rename = "tries")]
    pub retry: RetryPolicy,
}

/// The complete table of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// See [`TABLE_FORMAT_VERSION`].
    #[serde(rename = "form")]
    pub format_version: u32,
    pub service: String,
    pub proxy: String,
    pub generation: u64,
    /// The controller's mark: the newest message whose content the table has.
    pub serial: u64,
    /// False: the controller has given the proxy no part; without lines, the proxy uses a table of its own.
    pub bound: bool,
    pub lines: BTreeMap<String, TableLine>,
    /// Servers withdrawn whatever table names them.
    #[serde(rename = "shut")]
    pub withdrawn: BTreeSet<String>,
    pub classes: BTreeMap<String, TableClass>,
    /// How often the proxy is to report, in milliseconds.
    pub report_every_ms: f64,
}

impl Table {
    /// Whether a line may be picked.
    pub fn is_open(&self, line: &TableLine) -> bool {
        line.open && !self.withdrawn.contains(&line.server)
    }
}

/// The version of our own format.
pub const TABLE_FORMAT_VERSION: u32 = 1;

/// The difference between two tables of a proxy: changed lines in full, names of removed ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The generation that the patch applies to.
    pub base: u64,
    pub generation: u64,
    pub serial: u64,
    pub bound: bool,
    pub changed: Vec<TableLine>,
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
    #[serde(rename = "shut")]
    pub withdrawn: BTreeSet<String>,
    pub classes: BTreeMap<String, TableClass>,
    pub report_every_ms: f64,
}

impl Patch {
    /// The patch that turns `base` into `next`.
    pub fn diff(base: &Table, next: &Table) -> Patch {
        let changed = next.lines.values();
        let changed = changed.filter(|l| base.lines.get(&l.server) != Some(l));
        let removed = base.lines.keys().filter(|s| !next.lines.contains_key(*s));
        Patch {
            base: base.generation,
            generation: next.generation,
            serial: next.serial,
            bound: next.bound,
            changed: changed.cloned().collect(),
            removed: removed.cloned().collect(),
            withdrawn: next.withdrawn.clone(),
            classes: next.classes.clone(),
            report_every_ms: next.report_every_ms,
        }
    }

    /// The table that results from applying the patch to `base`.
    ///
    /// # Errors
    /// When `base` is of another generation.
    pub fn apply_to(&self, base: Table) -> Result<Table, String> {
        if base.generation != self.base {
            return Err(format!(
                "a patch of generation {} beside a base of {}",
                self.base, base.generation
            ));
        }
        let mut table = base;
        for server in &self.removed {
            table.lines.remove(server);
        }
        for line in &self.changed {
            table.lines.insert(line.server.clone(), line.clone());
        }
        (table.generation, table.serial, table.bound) = (self.generation, self.serial, self.bound);
        table.withdrawn.clone_from(&self.withdrawn);
        table.classes.clone_from(&self.classes);
        table.report_every_ms = self.report_every_ms;
        Ok(table)
    }
}

/// A format of another proxy's files, written next to our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Apache's mod_proxy_balancer.
    Balancer,
    /// mod_jk's `workers.properties`.
    Workers,
    /// HAProxy's server-state file.
    HaproxyState,
}

impl Format {
    /// All formats.
    pub const ALL: [Format; 3] = [Format::Balancer, Format::Workers, Format::HaproxyState];

    /// Its name in settings.
    pub fn name(self) -> &'static str {
        match self {
            Format::Balancer => "balancer",
            Format::Workers => "workers",
            Format::HaproxyState => "state",
        }
    }

    /// The file that it is written to.
    pub fn file_name(self) -> &'static str {
        match self {
            Format::Balancer => "balancer.conf",
            Format::Workers => "workers.properties",
            Format::HaproxyState => "server-state",
        }
    }

    /// The text of a table in this format.
    pub fn render(self, table: &Table) -> String {
        match self {
            Format::Balancer => balancer(table),
            Format::Workers => workers(table),
            Format::HaproxyState => haproxy_state(table),
        }
    }
}

/// Escapes a name: letters, digits, `-` and `.` stay, everything else becomes `_<code point in hex>_`. A server may
/// have any name; escaped, none is read as a directive.
fn escaped(name: &str) -> String {
    let mut out = String::new();
    for c in name.chars() {
        match c {
            'A'..='Z' | 'a'..='z' | '0'..='9' | '-' | '.' => out.push(c),
            c => {
                let _ = write!(out, "_{:x}_", c as u32);
            }
        }
    }
    out
}

/// `<Proxy>` with one `BalancerMember` per line (mod_proxy_balancer). Policies of classes have no counterpart there.
fn balancer(table: &Table) -> String {
    let heaviest = table.lines.values().map(|l| l.weight).fold(0.0, f64::max);
    // The heaviest line gets the largest factor; a line with less than a hundredth of its weight gets the smallest.
    let scale = APACHE_FACTORS.1 / heaviest.max(1e-9);
    let mut out = format!(
        "# generation {}\n<Proxy \"balancer://{}\">\n",
        table.generation,
        escaped(&table.service)
    );
    for l in table.lines.values() {
        let factor = (l.weight * scale).clamp(APACHE_FACTORS.0, APACHE_FACTORS.1);
        let status = if table.is_open(l) { "-D" } else { "+D" };
        let _ = writeln!(
            out,
            "    BalancerMember \"http://{}\" route={} loadfactor={factor:.2} status={status}",
            l.address,
            escaped(&l.server)
        );
    }
    out.push_str("</Proxy>\n");
    out
}

/// mod_jk's `workers.properties`: integer `lbfactor`s, `activation` S for withdrawn servers.
fn workers(table: &Table) -> String {
    let names: Vec<String> = table.lines.keys().map(|n| escaped(n)).collect();
    let service = escaped(&table.service);
    let mut out = format!(
        "# generation {}\nworker.list={service}\nworker.{service}.type=lb\nworker.{service}.balance_workers={}\n",
        table.generation,
        names.join(",")
    );
    for (l, name) in table.lines.values().zip(&names) {
        let (host, port) = l.address.rsplit_once(':').unwrap_or((&l.address, "8009"));
        let factor = (l.weight * INTEGER_SCALE).round().max(1.0);
        let activation = if table.is_open(l) { "A" } else { "S" };
        let _ = write!(
            out,
            "worker.{name}.type=ajp13\nworker.{name}.host={host}\nworker.{name}.port={port}\n\
             worker.{name}.lbfactor={factor}\nworker.{name}.activation={activation}\n"
        );
    }
    out
}

/// The columns of HAProxy's server-state file, version 1, that concern weights and states. `srv_op_state` 2 is
/// running; `srv_admin_state` 1 is forced maintenance.
fn haproxy_state(table: &Table) -> String {
    let heaviest = table.lines.values().map(|l| l.weight).fold(0.0, f64::max);
    let scale = INTEGER_SCALE.min(HAPROXY_MAX_WEIGHT / heaviest.max(1e-9));
    let mut out = String::from(
        "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight srv_port\n",
    );
    for (i, l) in table.lines.values().enumerate() {
        let (host, port) = l.address.rsplit_once(':').unwrap_or((&l.address, "0"));
        let weight = (l.weight * scale).round().clamp(1.0, HAPROXY_MAX_WEIGHT);
        let (op, admin) = if table.is_open(l) { (2, 0) } else { (0, 1) };
        let _ = writeln!(
            out,
            "1 {} {} {} {host} {op} {admin} {weight} {weight} {port}",
            escaped(&table.service),
            i + 1,
            escaped(&l.server)
        );
    }
    out
}

#[cfg(test)]
mod tests;
