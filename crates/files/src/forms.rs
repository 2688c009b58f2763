//! A table as it is published, and the forms that it is written in: our own, and those that plain proxies
//! already read. All forms of one generation are made from one table.

use dahliapoint_control::{Line, LineState, RetryPolicy};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Weights of forms that take whole numbers are of this many to 1.0; a line that is open weighs at least 1.
const SCALE: f64 = 100.0;
/// Apache takes a `loadfactor` from 1 to 100; HAProxy's largest weight.
const FACTORS: (f64, f64) = (1.0, 100.0);
const LARGEST_WEIGHT: f64 = 256.0;

/// A line of a published table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableLine {
    pub server: String,
    pub address: String,
    pub weight: f64,
    /// False: withdrawn, not to be picked whatever its weight.
    pub open: bool,
}

impl TableLine {
    pub fn of(line: &Line) -> TableLine {
        TableLine {
            server: line.server.to_string(),
            address: line.address.to_string(),
            weight: line.weight,
            open: line.state == LineState::Open,
        }
    }
}

/// What holds for a class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassWay {
    /// The share of its visits that is let in.
    pub share: f64,
    pub tries: RetryPolicy,
}

/// A table of one proxy, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The version of this form.
    pub form: u32,
    pub service: String,
    pub proxy: String,
    pub generation: u64,
    /// The controller's own mark of what is in it.
    pub serial: u64,
    /// False: the proxy is on a table of its own, if there are no lines.
    pub bound: bool,
    pub lines: BTreeMap<String, TableLine>,
    /// Servers withdrawn whatever table names them.
    pub shut: BTreeSet<String>,
    pub classes: BTreeMap<String, ClassWay>,
    /// How often the proxy is to report, in milliseconds.
    pub report_every_ms: f64,
}

impl Table {
    /// Whether a line may be picked.
    pub fn is_open(&self, line: &TableLine) -> bool {
        line.open && !self.shut.contains(&line.server)
    }
}

/// The version of our own form.
pub const FORM: u32 = 1;

/// What has changed since a base, whole lines only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    pub base: u64,
    pub generation: u64,
    pub serial: u64,
    pub bound: bool,
    pub changed: Vec<TableLine>,
    pub gone: Vec<String>,
    pub shut: BTreeSet<String>,
    pub classes: BTreeMap<String, ClassWay>,
    pub report_every_ms: f64,
}

impl Patch {
    /// From one table to the next of the same proxy.
    pub fn between(base: &Table, next: &Table) -> Patch {
        let changed = next.lines.values();
        let changed = changed.filter(|l| base.lines.get(&l.server) != Some(l));
        let gone = base.lines.keys().filter(|s| !next.lines.contains_key(*s));
        Patch {
            base: base.generation,
            generation: next.generation,
            serial: next.serial,
            bound: next.bound,
            changed: changed.cloned().collect(),
            gone: gone.cloned().collect(),
            shut: next.shut.clone(),
            classes: next.classes.clone(),
            report_every_ms: next.report_every_ms,
        }
    }

    /// The next table.
    ///
    /// # Errors
    /// When the base is another one.
    pub fn onto(&self, base: Table) -> Result<Table, String> {
        if base.generation != self.base {
            return Err(format!(
                "a patch of generation {} beside a base of {}",
                self.base, base.generation
            ));
        }
        let mut table = base;
        for gone in &self.gone {
            table.lines.remove(gone);
        }
        for line in &self.changed {
            table.lines.insert(line.server.clone(), line.clone());
        }
        (table.generation, table.serial, table.bound) = (self.generation, self.serial, self.bound);
        table.shut.clone_from(&self.shut);
        table.classes.clone_from(&self.classes);
        table.report_every_ms = self.report_every_ms;
        Ok(table)
    }
}

/// A form for others' readers, beside our own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    Balancer,
    Workers,
    State,
}

impl Form {
    pub const ALL: [Form; 3] = [Form::Balancer, Form::Workers, Form::State];

    pub fn name(self) -> &'static str {
        match self {
            Form::Balancer => "balancer",
            Form::Workers => "workers",
            Form::State => "state",
        }
    }

    /// The file that it is written to.
    pub fn file(self) -> &'static str {
        match self {
            Form::Balancer => "balancer.conf",
            Form::Workers => "workers.properties",
            Form::State => "server-state",
        }
    }

    pub fn write(self, table: &Table) -> String {
        match self {
            Form::Balancer => balancer(table),
            Form::Workers => workers(table),
            Form::State => state(table),
        }
    }
}

/// Letters, digits, `-`, `_` and `.` as they are, all else by its code: a server may be called anything, and
/// no name becomes a directive.
fn plain(name: &str) -> String {
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

/// `<Proxy>` with a `BalancerMember` a line (mod_proxy_balancer). Levels have no counterpart there.
fn balancer(table: &Table) -> String {
    let heaviest = table.lines.values().map(|l| l.weight).fold(0.0, f64::max);
    // The heaviest line has the largest factor; a line that weighs less than a hundredth of it has the least.
    let scale = FACTORS.1 / heaviest.max(1e-9);
    let mut out = format!(
        "# generation {}\n<Proxy \"balancer://{}\">\n",
        table.generation,
        plain(&table.service)
    );
    for l in table.lines.values() {
        let factor = (l.weight * scale).clamp(FACTORS.0, FACTORS.1);
        let status = if table.is_open(l) { "-D" } else { "+D" };
        let _ = writeln!(
            out,
            "    BalancerMember \"http://{}\" route={} loadfactor={factor:.2} status={status}",
            l.address,
            plain(&l.server)
        );
    }
    out.push_str("</Proxy>\n");
    out
}

/// mod_jk's `workers.properties`: whole `lbfactor`s, `activation` S for what is withdrawn.
fn workers(table: &Table) -> String {
    let names: Vec<String> = table.lines.keys().map(|n| plain(n)).collect();
    let service = plain(&table.service);
    let mut out = format!(
        "# generation {}\nworker.list={service}\nworker.{service}.type=lb\nworker.{service}.balance_workers={}\n",
        table.generation,
        names.join(",")
    );
    for (l, name) in table.lines.values().zip(&names) {
        let (host, port) = l.address.rsplit_once(':').unwrap_or((&l.address, "8009"));
        let factor = (l.weight * SCALE).round().max(1.0);
        let activation = if table.is_open(l) { "A" } else { "S" };
        let _ = write!(
            out,
            "worker.{name}.type=ajp13\nworker.{name}.host={host}\nworker.{name}.port={port}\n\
             worker.{name}.lbfactor={factor}\nworker.{name}.activation={activation}\n"
        );
    }
    out
}

/// A listing in the columns of HAProxy's server-state file, version 1, as far as they concern weights and
/// states: 2 is running, 1 in the admin column is forced maintenance.
fn state(table: &Table) -> String {
    let heaviest = table.lines.values().map(|l| l.weight).fold(0.0, f64::max);
    let scale = SCALE.min(LARGEST_WEIGHT / heaviest.max(1e-9));
    let mut out = String::from(
        "1\n# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight srv_port\n",
    );
    for (i, l) in table.lines.values().enumerate() {
        let (host, port) = l.address.rsplit_once(':').unwrap_or((&l.address, "0"));
        let weight = (l.weight * scale).round().clamp(1.0, LARGEST_WEIGHT);
        let (op, admin) = if table.is_open(l) { (2, 0) } else { (0, 1) };
        let _ = writeln!(
            out,
            "1 {} {} {} {host} {op} {admin} {weight} {weight} {port}",
            plain(&table.service),
            i + 1,
            plain(&l.server)
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table(lines: &[(&str, f64, bool)]) -> Table {
        let line = |(server, weight, open): &(&str, f64, bool)| {
            let line = TableLine {
                server: (*server).into(),
                address: "127.0.0.1:80".into(),
                weight: *weight,
                open: *open,
            };
            ((*server).to_string(), line)
        };
        Table {
            form: FORM,
            service: "s".into(),
            generation: 3,
            lines: lines.iter().map(line).collect(),
            ..Table::default()
        }
    }

    #[test]
    fn a_patch_onto_its_base_is_the_next_table() {
        let base = table(&[("a", 1.0, true), ("b", 1.0, true), ("c", 2.0, true)]);
        let mut next = table(&[("a", 1.0, true), ("b", 0.5, true), ("d", 1.0, false)]);
        next.generation = 4;
        let patch = Patch::between(&base, &next);
        assert_eq!((patch.changed.len(), patch.gone.len()), (2, 1));
        assert_eq!(patch.onto(base.clone()), Ok(next.clone()));
        assert!(patch.onto(next).is_err(), "another base");
    }

    #[test]
    fn each_form_says_weights_and_what_is_withdrawn() {
        let t = table(&[("a", 0.1, true), ("b c\n", 1.0, false)]);
        let cases = [
            (
                Form::Balancer,
                "route=a loadfactor=10.00 status=-D",
                "route=b_20_c_a_ loadfactor=100.00 status=+D",
            ),
            (
                Form::Workers,
                "worker.a.lbfactor=10\nworker.a.activation=A",
                "worker.b_20_c_a_.activation=S",
            ),
            (
                Form::State,
                "1 s 1 a 127.0.0.1 2 0 10 10 80",
                "1 s 2 b_20_c_a_ 127.0.0.1 0 1 100 100 80",
            ),
        ];
        for (form, open, shut) in cases {
            let text = form.write(&t);
            assert!(text.contains(open) && text.contains(shut), "{text}");
        }
        let heavy = table(&[("a", 10_000.0, true), ("b", 5_000.0, true)]);
        assert!(
            Form::Balancer
                .write(&heavy)
                .contains("route=b loadfactor=50.00")
        );
        assert!(
            Form::State
                .write(&heavy)
                .contains("b 127.0.0.1 2 0 128 128")
        );
    }
}
