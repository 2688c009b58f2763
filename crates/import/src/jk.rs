//! Reads mod_jk's `workers.properties`: one property per line, `#` starts a comment anywhere, `$(name)` is replaced by
//! another property, and a worker takes the properties that it lacks from its `reference`.

use crate::apache::address;
use crate::hosts::{
    Diagnostic, Document, Host, HostState, Import, Location, SettingSpan, SettingSyntax,
    merge_duplicates,
};
use crate::{FileSource, ImportOptions};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

const MAX_FILE_BYTES: usize = 16 << 20;
/// Replacements in one value; guards against properties that refer to themselves.
const MAX_SUBSTITUTIONS: usize = 16;
/// Properties whose values accumulate when they are repeated.
const LIST_PROPERTIES: [&str; 5] = [
    "balance_workers",
    "balanced_workers",
    "mount",
    "css",
    "method",
];
const DEFAULT_AJP_PORT: u16 = 8009;

/// One assignment of a property.
#[derive(Clone, Debug)]
struct Property {
    value: String,
    /// The bytes of the value.
    bytes: Range<usize>,
    /// The end of its line.
    line_end: usize,
    line: usize,
}

struct Reader {
    file: Arc<str>,
    diagnostics: Vec<Diagnostic>,
    /// All assignments of each key, in order.
    properties: BTreeMap<String, Vec<Property>>,
    /// Workers in the order in which they are first named.
    workers: Vec<String>,
    known_workers: BTreeSet<String>,
    /// The workers in `worker.list`.
    listed: Vec<String>,
}

/// Reads a file.
///
/// # Errors
/// Everything that is wrong or ambiguous.
pub fn read(
    files: &mut dyn FileSource,
    path: &str,
    options: &ImportOptions,
) -> Result<Import, Vec<Diagnostic>> {
    let file: Arc<str> = path.into();
    let first = Location {
        file: file.clone(),
        line: 1,
    };
    let text = files
        .read(path)
        .and_then(|text| match text.len() <= MAX_FILE_BYTES {
            true => Ok(text),
            false => Err(format!("over {} MiB", MAX_FILE_BYTES >> 20)),
        });
    let text = text.map_err(|message| {
        vec![Diagnostic {
            location: first.clone(),
            message,
        }]
    })?;
    let mut r = Reader {
        file: file.clone(),
        diagnostics: Vec::new(),
        properties: BTreeMap::new(),
        workers: Vec::new(),
        known_workers: BTreeSet::new(),
        listed: Vec::new(),
    };
    r.read_lines(&text);
    r.report_contradictions();
    let balancer = r.select_balancer(options);
    let hosts = balancer.as_ref().map_or(Vec::new(), |b| r.members(b));
    let hosts = merge_duplicates(hosts, &mut r.diagnostics);
    r.diagnostics.sort();
    r.diagnostics.dedup();
    match balancer.filter(|_| r.diagnostics.is_empty()) {
        Some(balancer) => Ok(Import {
            balancer,
            hosts,
            documents: vec![Document { path: file, text }],
        }),
        None => Err(r.diagnostics),
    }
}

impl Reader {
    fn report(&mut self, line: usize, message: impl Into<String>) {
        let location = self.location(line);
        self.diagnostics.push(Diagnostic {
            location,
            message: message.into(),
        });
    }

    fn location(&self, line: usize) -> Location {
        Location {
            file: self.file.clone(),
            line,
        }
    }

    fn read_lines(&mut self, text: &str) {
        let mut start = 0;
        for (i, raw) in text.split_inclusive('\n').enumerate() {
            let line = i + 1;
            let bare = raw.trim_end_matches(['\n', '\r']);
            let content = bare.split('#').next().unwrap_or("");
            if !content.trim().is_empty() {
                self.read_property(content, start, start + bare.len(), line);
            }
            start += raw.len();
        }
    }

    /// Reads `key = value`; `start` and `line_end` are the bounds of the line.
    fn read_property(&mut self, text: &str, start: usize, line_end: usize, line: usize) {
        let Some((key, value)) = text.split_once('=') else {
            return self.report(
                line,
                format!(
                    "{:?}: a line such as worker.a.port=8009 is expected",
                    text.trim()
                ),
            );
        };
        let from = start + key.len() + 1 + (value.len() - value.trim_start().len());
        let (key, value) = (key.trim().to_string(), value.trim().to_string());
        if key.is_empty() {
            return self.report(line, "a name is expected before =");
        }
        let bytes = from..from + value.len();
        let value = self.substitute(&value, line);
        if let Some((worker, _)) = worker_of(&key)
            && self.known_workers.insert(worker.clone())
        {
            self.workers.push(worker);
        }
        if key == "worker.list" {
            self.listed.extend(names(&value));
        }
        self.properties.entry(key).or_default().push(Property {
            value,
            bytes,
            line_end,
            line,
        });
    }

    /// A value with `$(name)` replaced by an earlier property. Others are reported, since mod_jk would take them from the
    /// environment.
    fn substitute(&mut self, text: &str, line: usize) -> String {
        let mut out = text.to_string();
        for _ in 0..MAX_SUBSTITUTIONS {
            let Some(begin) = out.find("$(") else {
                return out;
            };
            let Some(end) = out[begin..].find(')').map(|e| begin + e) else {
                return out;
            };
            let key = out[begin + 2..end].to_string();
            let value = self
                .properties
                .get(&key)
                .and_then(|s| s.last())
                .map(|s| s.value.clone());
            match value {
                Some(value) => out.replace_range(begin..=end, &value),
                None => {
                    self.report(line, format!("$({key}) is not set before"));
                    return out.replace("$(", "");
                }
            }
        }
        self.report(
            line,
            format!("more than {MAX_SUBSTITUTIONS} substitutions in one value"),
        );
        out.replace("$(", "")
    }

    /// Reports properties that are set to different values: mod_jk would silently use the last one.
    fn report_contradictions(&mut self) {
        let mut found = Vec::new();
        for (key, all) in &self.properties {
            let Some((worker, property)) = worker_of(key) else {
                continue;
            };
            if LIST_PROPERTIES.contains(&property.as_str()) {
                continue;
            }
            let first = &all[0];
            for other in all.iter().skip(1).filter(|o| o.value != first.value) {
                let message = format!(
                    "{property} of {worker:?} is {:?} here and {:?} in line {}",
                    other.value, first.value, first.line
                );
                found.push((other.line, message));
            }
        }
        found
            .into_iter()
            .for_each(|(line, message)| self.report(line, message));
    }

    /// All assignments of a worker's property, its own or those of its references; and whether they are its own.
    fn assignments(&self, worker: &str, property: &str) -> Option<(&[Property], bool)> {
        let (mut current, mut seen) = (worker.to_string(), BTreeSet::new());
        loop {
            if let Some(found) = self.properties.get(&format!("worker.{current}.{property}")) {
                return Some((found, current == worker));
            }
            let next = self
                .properties
                .get(&format!("worker.{current}.reference"))?;
            let next = next.last()?.value.strip_prefix("worker.")?.to_string();
            if !seen.insert(std::mem::replace(&mut current, next)) {
                return None;
            }
        }
    }

    /// The value of a property in effect.
    fn value(&self, worker: &str, property: &str) -> Option<&str> {
        self.assignments(worker, property)
            .and_then(|(s, _)| s.last())
            .map(|s| s.value.as_str())
    }

    /// The line of a property in effect, else the first line of the worker.
    fn line_of(&self, worker: &str, property: &str) -> usize {
        let last = self
            .assignments(worker, property)
            .and_then(|(s, _)| s.last());
        last.map_or_else(|| self.first_line(worker), |s| s.line)
    }

    /// The properties set for a worker itself.
    fn own_properties(&self, worker: &str) -> impl Iterator<Item = (&String, &Vec<Property>)> {
        let prefix = format!("worker.{worker}.");
        let from = self.properties.range(prefix.clone()..);
        from.take_while(move |(k, _)| k.starts_with(&prefix))
    }

    fn first_line(&self, worker: &str) -> usize {
        let own = self.own_properties(worker);
        own.flat_map(|(_, s)| s.iter().map(|s| s.line))
            .min()
            .unwrap_or(1)
    }

    /// The balancer to import: the one in the options, or the only one.
    fn select_balancer(&mut self, options: &ImportOptions) -> Option<String> {
        let is_lb = |r: &Reader, w: &str| {
            r.value(w, "type")
                .is_some_and(|t| t.eq_ignore_ascii_case("lb"))
        };
        let all: Vec<String> = self
            .workers
            .iter()
            .filter(|w| is_lb(self, w))
            .cloned()
            .collect();
        // Balancers that are not in worker.list are used by other workers, or not at all.
        let listed: Vec<String> = all
            .iter()
            .filter(|w| self.listed.contains(w))
            .cloned()
            .collect();
        let candidates = if listed.is_empty() { &all } else { &listed };
        match (&options.balancer, candidates.as_slice()) {
            (Some(name), _) if all.contains(name) => Some(name.clone()),
            (Some(name), _) => {
                self.report(
                    1,
                    format!(
                        "no load balancing worker {name:?}; there are {}",
                        all.join(", ")
                    ),
                );
                None
            }
            (None, [one]) => Some(one.clone()),
            (None, []) => {
                self.report(1, "no worker of type lb here");
                None
            }
            (None, several) => {
                let message = format!(
                    "several load balancing workers: say which of {}",
                    several.join(", ")
                );
                self.report(1, message);
                None
            }
        }
    }

    fn members(&mut self, balancer: &str) -> Vec<Host> {
        let mut listed: Vec<(String, usize)> = Vec::new();
        for property in ["balance_workers", "balanced_workers"] {
            let assignments = self
                .assignments(balancer, property)
                .map_or(Vec::new(), |(s, _)| s.to_vec());
            for s in assignments {
                listed.extend(names(&s.value).map(|n| (n, s.line)));
            }
        }
        if listed.is_empty() {
            let line = self.first_line(balancer);
            self.report(line, format!("{balancer:?} balances nobody"));
        }
        let mut seen: BTreeMap<String, usize> = BTreeMap::new();
        let mut out = Vec::new();
        for (name, line) in listed {
            if let Some(before) = seen.insert(name.clone(), line) {
                self.report(
                    line,
                    format!("{name:?} is balanced twice; first in line {before}"),
                );
                continue;
            }
            if !self.known_workers.contains(&name) {
                self.report(line, format!("worker {name:?} has no properties"));
                continue;
            }
            out.extend(self.member(&name));
        }
        out
    }

    fn member(&mut self, name: &str) -> Option<Host> {
        if let Some(s) = self
            .properties
            .get(&format!("worker.{name}.reference"))
            .and_then(|s| s.last())
            .cloned()
        {
            let to = s.value.strip_prefix("worker.").map(str::to_string);
            let known = to
                .as_ref()
                .is_some_and(|to| self.known_workers.contains(to));
            if !known {
                self.report(s.line, format!("reference={}: no such worker", s.value));
                return None;
            }
        }
        let kind = self
            .value(name, "type")
            .unwrap_or("ajp13")
            .to_ascii_lowercase();
        if kind != "ajp13" && kind != "ajp14" {
            let line = self.line_of(name, "type");
            self.report(
                line,
                format!("{name:?} is of type {kind}: a member is ajp13 or ajp14"),
            );
            return None;
        }
        for old in ["disabled", "stopped"] {
            if self.value(name, old).is_some() {
                let line = self.line_of(name, old);
                self.report(
                    line,
                    format!("{old} is deprecated: write activation=D or activation=S"),
                );
            }
        }
        let host = self.value(name, "host").unwrap_or("localhost").to_string();
        let port = self.value(name, "port").map(str::to_string);
        let host_port = match &port {
            Some(port) if host.contains(':') => format!("[{host}]:{port}"),
            Some(port) => format!("{host}:{port}"),
            None if host.contains(':') => format!("[{host}]"),
            None => host.clone(),
        };
        let address = match address(&host_port, DEFAULT_AJP_PORT) {
            Ok(address) => address,
            Err(why) => {
                let line = self.line_of(name, if port.is_some() { "port" } else { "host" });
                self.report(line, format!("{name:?}: {why}"));
                return None;
            }
        };
        let mut weight = 1.0;
        if let Some(value) = self.value(name, "lbfactor").map(str::to_string) {
            match value.parse::<u32>() {
                Ok(n) if (1..=1_000_000).contains(&n) => weight = f64::from(n),
                _ => {
                    let line = self.line_of(name, "lbfactor");
                    self.report(
                        line,
                        format!("lbfactor={value}: a whole number from 1 is expected"),
                    );
                }
            }
        }
        let mut state = HostState::Ready;
        if let Some(value) = self.value(name, "activation").map(str::to_string) {
            match value.to_ascii_lowercase().as_str() {
                "a" | "act" | "active" => {}
                "d" | "dis" | "disabled" => state = HostState::Draining,
                "s" | "stp" | "stopped" => state = HostState::Gone,
                _ => {
                    let line = self.line_of(name, "activation");
                    self.report(line, format!("activation={value}: A, D or S is expected"));
                }
            }
        }
        let weight_spans = self.spans(name, "lbfactor", |key| SettingSyntax::JkFactor { key });
        let state_spans = self.spans(name, "activation", |key| SettingSyntax::JkActivation {
            key,
        });
        Some(Host {
            name: name.to_string(),
            address,
            domain: self
                .value(name, "domain")
                .filter(|d| !d.is_empty())
                .map(str::to_string),
            weight,
            state,
            location: self.location(self.first_line(name)),
            weight_spans,
            state_spans,
        })
    }

    /// The places of a worker's own property; else a new line after its last own property, so that workers which refer to
    /// the same template keep their values.
    fn spans(
        &self,
        name: &str,
        property: &str,
        syntax: impl Fn(Option<String>) -> SettingSyntax,
    ) -> Vec<SettingSpan> {
        if let Some((assignments, true)) = self.assignments(name, property) {
            let span = |s: &Property| SettingSpan {
                document: 0,
                bytes: s.bytes.clone(),
                syntax: syntax(None),
            };
            return assignments.iter().map(span).collect();
        }
        let prefix = format!("worker.{name}.");
        let own = self.own_properties(name);
        let end = own
            .flat_map(|(_, s)| s.iter().map(|s| s.line_end))
            .max()
            .unwrap_or(0);
        vec![SettingSpan {
            document: 0,
            bytes: end..end,
            syntax: syntax(Some(format!("{prefix}{property}"))),
        }]
    }
}

/// The worker and the property of a key. The property is what follows the last dot, so names of workers may contain dots.
fn worker_of(key: &str) -> Option<(String, String)> {
    let (worker, property) = key.strip_prefix("worker.")?.rsplit_once('.')?;
    (!worker.is_empty()).then(|| (worker.to_string(), property.to_string()))
}

/// The names in a list separated by commas or white space.
fn names(list: &str) -> impl Iterator<Item = String> + '_ {
    let parts = list.split([',', ' ', '\t']).map(str::trim);
    parts.filter(|p| !p.is_empty()).map(str::to_string)
}
