//! mod_jk's `workers.properties`: a property a line, `#` begins a comment wherever it stands, `$(name)` stands for
//! another property, `reference` takes over what a worker does not say itself.

use crate::apache::address;
use crate::fleet::{Diagnostic, Document, Form, Host, HostState, Import, Location, Word, merged};
use crate::{FileSource, ImportOptions};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

const MOST_BYTES: usize = 16 << 20;
const MOST_WORDS: usize = 16;
/// Properties that add up when they are said again.
const LISTS: [&str; 5] = [
    "balance_workers",
    "balanced_workers",
    "mount",
    "css",
    "method",
];
const AJP_PORT: u16 = 8009;

/// A property where it stands.
#[derive(Clone, Debug)]
struct Said {
    value: String,
    /// The value's bytes, and the end of its line.
    bytes: Range<usize>,
    end: usize,
    line: usize,
}

struct Reader {
    file: Arc<str>,
    faults: Vec<Diagnostic>,
    /// All that is said of a key, in order.
    said: BTreeMap<String, Vec<Said>>,
    /// Workers in the order in which they are first named.
    workers: Vec<String>,
    known: BTreeSet<String>,
    lists: Vec<String>,
}

/// # Errors
/// Everything that is wrong or cannot be known.
pub fn read(
    files: &mut dyn FileSource,
    path: &str,
    wanted: &ImportOptions,
) -> Result<Import, Vec<Diagnostic>> {
    let file: Arc<str> = path.into();
    let first = Location {
        file: file.clone(),
        line: 1,
    };
    let text = files
        .read(path)
        .and_then(|text| match text.len() <= MOST_BYTES {
            true => Ok(text),
            false => Err(format!("over {} MiB", MOST_BYTES >> 20)),
        });
    let text = text.map_err(|what| {
        vec![Diagnostic {
            location: first.clone(),
            message: what,
        }]
    })?;
    let mut r = Reader {
        file: file.clone(),
        faults: Vec::new(),
        said: BTreeMap::new(),
        workers: Vec::new(),
        known: BTreeSet::new(),
        lists: Vec::new(),
    };
    r.lines(&text);
    r.contradictions();
    let balancer = r.balancer(wanted);
    let hosts = balancer.as_ref().map_or(Vec::new(), |b| r.members(b));
    let hosts = merged(hosts, &mut r.faults);
    r.faults.sort();
    r.faults.dedup();
    match balancer.filter(|_| r.faults.is_empty()) {
        Some(balancer) => Ok(Import {
            balancer,
            hosts,
            documents: vec![Document { path: file, text }],
        }),
        None => Err(r.faults),
    }
}

impl Reader {
    fn fault(&mut self, line: usize, what: impl Into<String>) {
        let at = self.at(line);
        self.faults.push(Diagnostic {
            location: at,
            message: what.into(),
        });
    }

    fn at(&self, line: usize) -> Location {
        Location {
            file: self.file.clone(),
            line,
        }
    }

    fn lines(&mut self, text: &str) {
        let mut begin = 0;
        for (i, raw) in text.split_inclusive('\n').enumerate() {
            let line = i + 1;
            let bare = raw.trim_end_matches(['\n', '\r']);
            let said = bare.split('#').next().unwrap_or("");
            if !said.trim().is_empty() {
                self.property(said, begin, begin + bare.len(), line);
            }
            begin += raw.len();
        }
    }

    fn property(&mut self, said: &str, begin: usize, end: usize, line: usize) {
        let Some((key, value)) = said.split_once('=') else {
            return self.fault(
                line,
                format!(
                    "{:?}: a line such as worker.a.port=8009 is wanted",
                    said.trim()
                ),
            );
        };
        let from = begin + key.len() + 1 + (value.len() - value.trim_start().len());
        let (key, value) = (key.trim().to_string(), value.trim().to_string());
        if key.is_empty() {
            return self.fault(line, "a name is wanted before =");
        }
        let bytes = from..from + value.len();
        let value = self.meant(&value, line);
        if let Some((worker, _)) = worker_of(&key)
            && self.known.insert(worker.clone())
        {
            self.workers.push(worker);
        }
        if key == "worker.list" {
            self.lists.extend(names(&value));
        }
        self.said.entry(key).or_default().push(Said {
            value,
            bytes,
            end,
            line,
        });
    }

    /// A value with `$(name)` replaced by what was said before; else mod_jk would take the environment's.
    fn meant(&mut self, text: &str, line: usize) -> String {
        let mut out = text.to_string();
        for _ in 0..MOST_WORDS {
            let Some(begin) = out.find("$(") else {
                return out;
            };
            let Some(end) = out[begin..].find(')').map(|e| begin + e) else {
                return out;
            };
            let key = out[begin + 2..end].to_string();
            let value = self
                .said
                .get(&key)
                .and_then(|s| s.last())
                .map(|s| s.value.clone());
            match value {
                Some(value) => out.replace_range(begin..=end, &value),
                None => {
                    self.fault(line, format!("$({key}) is not said before"));
                    return out.replace("$(", "");
                }
            }
        }
        self.fault(
            line,
            format!("words within words more than {MOST_WORDS} times"),
        );
        out.replace("$(", "")
    }

    /// One property, two values: mod_jk would take the last and say nothing.
    fn contradictions(&mut self) {
        let mut found = Vec::new();
        for (key, all) in &self.said {
            let Some((worker, property)) = worker_of(key) else {
                continue;
            };
            if LISTS.contains(&property.as_str()) {
                continue;
            }
            let first = &all[0];
            for other in all.iter().skip(1).filter(|o| o.value != first.value) {
                let what = format!(
                    "{property} of {worker:?} is {:?} here and {:?} in line {}",
                    other.value, first.value, first.line
                );
                found.push((other.line, what));
            }
        }
        found
            .into_iter()
            .for_each(|(line, what)| self.fault(line, what));
    }

    /// All that is said of a worker's property, its own or by reference; and whether it is its own.
    fn of(&self, worker: &str, property: &str) -> Option<(&[Said], bool)> {
        let (mut at, mut seen) = (worker.to_string(), BTreeSet::new());
        loop {
            if let Some(said) = self.said.get(&format!("worker.{at}.{property}")) {
                return Some((said, at == worker));
            }
            let next = self.said.get(&format!("worker.{at}.reference"))?;
            let next = next.last()?.value.strip_prefix("worker.")?.to_string();
            if !seen.insert(std::mem::replace(&mut at, next)) {
                return None;
            }
        }
    }

    fn value(&self, worker: &str, property: &str) -> Option<&str> {
        self.of(worker, property)
            .and_then(|(s, _)| s.last())
            .map(|s| s.value.as_str())
    }

    fn line_of(&self, worker: &str, property: &str) -> usize {
        let said = self.of(worker, property).and_then(|(s, _)| s.last());
        said.map_or_else(|| self.first_line(worker), |s| s.line)
    }

    /// What is said of a worker by its own name.
    fn own(&self, worker: &str) -> impl Iterator<Item = (&String, &Vec<Said>)> {
        let prefix = format!("worker.{worker}.");
        let from = self.said.range(prefix.clone()..);
        from.take_while(move |(k, _)| k.starts_with(&prefix))
    }

    fn first_line(&self, worker: &str) -> usize {
        let own = self.own(worker);
        own.flat_map(|(_, s)| s.iter().map(|s| s.line))
            .min()
            .unwrap_or(1)
    }

    fn balancer(&mut self, wanted: &ImportOptions) -> Option<String> {
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
        // Those that are not listed are parts of others, or of nothing.
        let listed: Vec<String> = all
            .iter()
            .filter(|w| self.lists.contains(w))
            .cloned()
            .collect();
        let among = if listed.is_empty() { &all } else { &listed };
        match (&wanted.balancer, among.as_slice()) {
            (Some(name), _) if all.contains(name) => Some(name.clone()),
            (Some(name), _) => {
                self.fault(
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
                self.fault(1, "no worker of type lb here");
                None
            }
            (None, several) => {
                let what = format!(
                    "several load balancing workers: say which of {}",
                    several.join(", ")
                );
                self.fault(1, what);
                None
            }
        }
    }

    fn members(&mut self, balancer: &str) -> Vec<Host> {
        let mut listed: Vec<(String, usize)> = Vec::new();
        for property in ["balance_workers", "balanced_workers"] {
            let said = self
                .of(balancer, property)
                .map_or(Vec::new(), |(s, _)| s.to_vec());
            for s in said {
                listed.extend(names(&s.value).map(|n| (n, s.line)));
            }
        }
        if listed.is_empty() {
            let line = self.first_line(balancer);
            self.fault(line, format!("{balancer:?} balances nobody"));
        }
        let mut seen: BTreeMap<String, usize> = BTreeMap::new();
        let mut out = Vec::new();
        for (name, line) in listed {
            if let Some(before) = seen.insert(name.clone(), line) {
                self.fault(
                    line,
                    format!("{name:?} is balanced twice; first in line {before}"),
                );
                continue;
            }
            if !self.known.contains(&name) {
                self.fault(line, format!("nothing is said of worker {name:?}"));
                continue;
            }
            out.extend(self.member(&name));
        }
        out
    }

    fn member(&mut self, name: &str) -> Option<Host> {
        if let Some(s) = self
            .said
            .get(&format!("worker.{name}.reference"))
            .and_then(|s| s.last())
            .cloned()
        {
            let to = s.value.strip_prefix("worker.").map(str::to_string);
            let known = to.as_ref().is_some_and(|to| self.known.contains(to));
            if !known {
                self.fault(s.line, format!("reference={}: no such worker", s.value));
                return None;
            }
        }
        let kind = self
            .value(name, "type")
            .unwrap_or("ajp13")
            .to_ascii_lowercase();
        if kind != "ajp13" && kind != "ajp14" {
            let line = self.line_of(name, "type");
            self.fault(
                line,
                format!("{name:?} is of type {kind}: a member is ajp13 or ajp14"),
            );
            return None;
        }
        for old in ["disabled", "stopped"] {
            if self.value(name, old).is_some() {
                let line = self.line_of(name, old);
                self.fault(
                    line,
                    format!("{old} is of old versions: write activation=D or activation=S"),
                );
            }
        }
        let host = self.value(name, "host").unwrap_or("localhost").to_string();
        let port = self.value(name, "port").map(str::to_string);
        let whole = match &port {
            Some(port) if host.contains(':') => format!("[{host}]:{port}"),
            Some(port) => format!("{host}:{port}"),
            None if host.contains(':') => format!("[{host}]"),
            None => host.clone(),
        };
        let address = match address(&whole, AJP_PORT) {
            Ok(address) => address,
            Err(why) => {
                let line = self.line_of(name, if port.is_some() { "port" } else { "host" });
                self.fault(line, format!("{name:?}: {why}"));
                return None;
            }
        };
        let mut weight = 1.0;
        if let Some(value) = self.value(name, "lbfactor").map(str::to_string) {
            match value.parse::<u32>() {
                Ok(n) if (1..=1_000_000).contains(&n) => weight = f64::from(n),
                _ => {
                    let line = self.line_of(name, "lbfactor");
                    self.fault(
                        line,
                        format!("lbfactor={value}: a whole number from 1 is wanted"),
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
                    self.fault(line, format!("activation={value}: A, D or S is wanted"));
                }
            }
        }
        let weight_at = self.words(name, "lbfactor", |key| Form::JkFactor { key });
        let state_at = self.words(name, "activation", |key| Form::JkActivation { key });
        Some(Host {
            name: name.to_string(),
            address,
            domain: self
                .value(name, "domain")
                .filter(|d| !d.is_empty())
                .map(str::to_string),
            weight,
            state,
            location: self.at(self.first_line(name)),
            weight_at,
            state_at,
        })
    }

    /// Where a worker's own property stands, at each place; or a new line behind its last own one, so that what
    /// others have by reference stays.
    fn words(
        &self,
        name: &str,
        property: &str,
        form: impl Fn(Option<String>) -> Form,
    ) -> Vec<Word> {
        if let Some((said, true)) = self.of(name, property) {
            let word = |s: &Said| Word {
                file: 0,
                bytes: s.bytes.clone(),
                form: form(None),
            };
            return said.iter().map(word).collect();
        }
        let prefix = format!("worker.{name}.");
        let own = self.own(name);
        let end = own
            .flat_map(|(_, s)| s.iter().map(|s| s.end))
            .max()
            .unwrap_or(0);
        vec![Word {
            file: 0,
            bytes: end..end,
            form: form(Some(format!("{prefix}{property}"))),
        }]
    }
}

/// A worker and its property; a worker's name has no dot that its property could be in.
fn worker_of(key: &str) -> Option<(String, String)> {
    let (worker, property) = key.strip_prefix("worker.")?.rsplit_once('.')?;
    (!worker.is_empty()).then(|| (worker.to_string(), property.to_string()))
}

fn names(list: &str) -> impl Iterator<Item = String> + '_ {
    let parts = list.split([',', ' ', '\t']).map(str::trim);
    parts.filter(|p| !p.is_empty()).map(str::to_string)
}
