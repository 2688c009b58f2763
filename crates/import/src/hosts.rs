//! The imported hosts, with the places of their settings in the files: merges duplicates, reports contradictions, and
//! writes changed weights and states back.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::sync::Arc;

/// A file and a line, from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    pub file: Arc<str>,
    pub line: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    pub location: Location,
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// The state of a host in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// The bytes of a setting in a file, or the place where it would be inserted.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingSpan {
    /// Index in [`Import::documents`].
    pub document: usize,
    pub bytes: Range<usize>,
    pub syntax: SettingSyntax,
}

/// How a setting is written.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingSyntax {
    /// `loadfactor=2`; appended to the line if it does not exist yet.
    ApacheFactor { exists: bool },
    /// `status=...`; letters that are not ours are kept.
    ApacheStatus { exists: bool, letters: String },
    /// The value of `worker.x.lbfactor`; with a key, a new line.
    JkFactor { key: Option<String> },
    /// The value of `worker.x.activation`; with a key, a new line.
    JkActivation { key: Option<String> },
}

/// An imported host.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// mod_jk's domain; always `None` for Apache.
    pub domain: Option<String>,
    pub weight: f64,
    pub state: HostState,
    /// Where it is listed first.
    pub location: Location,
    /// Where its weight is set: several places if it is listed several times.
    pub weight_spans: Vec<SettingSpan>,
    /// Where its state is set.
    pub state_spans: Vec<SettingSpan>,
}

impl Host {
    /// What a roster contains of the host: everything but its places in the files.
    pub fn summary(&self) -> (&str, &str, Option<&str>, f64, HostState) {
        (
            &self.name,
            &self.address,
            self.domain.as_deref(),
            self.weight,
            self.state,
        )
    }
}

/// A file and its text.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    pub path: Arc<str>,
    pub text: String,
}

/// The balancer of a file and all its includes.
#[derive(Clone, Debug, PartialEq)]
pub struct Import {
    pub balancer: String,
    /// In the order in which the files list them.
    pub hosts: Vec<Host>,
    /// All files that were read.
    pub documents: Vec<Document>,
}

type Rule = fn(&Host, &Host) -> Option<String>;

/// Contradictions between two entries with the same name or the same address. Gone through for each such pair.
const RULES: [Rule; 5] = [
    one_name_has_one_address,
    one_address_has_one_name,
    one_host_has_one_weight,
    one_host_has_one_state,
    one_host_has_one_domain,
];

fn one_name_has_one_address(a: &Host, b: &Host) -> Option<String> {
    (a.name == b.name && a.address != b.address).then(|| {
        format!(
            "{:?} is {} here and {} at {}",
            b.name, b.address, a.address, a.location
        )
    })
}

fn one_address_has_one_name(a: &Host, b: &Host) -> Option<String> {
    (a.address == b.address && a.name != b.name).then(|| {
        format!(
            "{} is called {:?} here and {:?} at {}",
            b.address, b.name, a.name, a.location
        )
    })
}

fn one_host_has_one_weight(a: &Host, b: &Host) -> Option<String> {
    (a.name == b.name && a.weight != b.weight).then(|| {
        format!(
            "{:?} weighs {} here and {} at {}",
            b.name, b.weight, a.weight, a.location
        )
    })
}

fn one_host_has_one_state(a: &Host, b: &Host) -> Option<String> {
    (a.name == b.name && a.state != b.state).then(|| {
        let (here, there) = (state_name(b.state), state_name(a.state));
        format!("{:?} is {here} here and {there} at {}", b.name, a.location)
    })
}

fn one_host_has_one_domain(a: &Host, b: &Host) -> Option<String> {
    (a.name == b.name && a.domain != b.domain)
        .then(|| format!("{:?} has another domain at {}", b.name, a.location))
}

/// The name of a state.
pub fn state_name(state: HostState) -> &'static str {
    match state {
        HostState::Ready => "ready",
        HostState::Draining => "draining",
        HostState::Gone => "gone",
    }
}

/// Merges entries of the same host. A contradiction is reported at the later entry and names the earlier one.
pub fn merge_duplicates(hosts: Vec<Host>, diagnostics: &mut Vec<Diagnostic>) -> Vec<Host> {
    let mut out: Vec<Host> = Vec::new();
    let (mut by_name, mut by_address) = (BTreeMap::new(), BTreeMap::new());
    for host in hosts {
        let first: Option<usize> = by_name
            .get(&host.name)
            .or_else(|| by_address.get(&host.address))
            .copied();
        let Some(index) = first else {
            by_name.insert(host.name.clone(), out.len());
            by_address.insert(host.address.clone(), out.len());
            out.push(host);
            continue;
        };
        match RULES.iter().find_map(|rule| rule(&out[index], &host)) {
            Some(message) => diagnostics.push(Diagnostic {
                location: host.location,
                message,
            }),
            None => {
                out[index].weight_spans.extend(host.weight_spans);
                out[index].state_spans.extend(host.state_spans);
            }
        }
    }
    out
}

impl Import {
    /// The host of a name.
    pub fn host(&self, name: &str) -> Option<&Host> {
        self.hosts.iter().find(|h| h.name == name)
    }

    /// The files with new weights and states of hosts, by name. All other text stays byte for byte.
    ///
    /// # Errors
    /// A name that is in no file, or a weight that the format of the file cannot express.
    pub fn with_changes(
        &self,
        changes: &BTreeMap<String, (f64, HostState)>,
    ) -> Result<Vec<Document>, String> {
        let by_name: BTreeMap<&str, &Host> =
            self.hosts.iter().map(|h| (h.name.as_str(), h)).collect();
        let mut edits: Vec<(usize, Range<usize>, String)> = Vec::new();
        for (name, (weight, state)) in changes {
            let host = by_name.get(name.as_str());
            let host = host.ok_or_else(|| format!("no file names {name:?}"))?;
            if host.weight != *weight {
                for span in &host.weight_spans {
                    let text = weight_text(&span.syntax, *weight);
                    let text = text.map_err(|why| format!("{name:?}: {why}"))?;
                    edits.push((span.document, span.bytes.clone(), text));
                }
            }
            if host.state != *state {
                for span in &host.state_spans {
                    let text = state_text(&span.syntax, *state);
                    edits.push((span.document, span.bytes.clone(), text));
                }
            }
        }
        // The sort is stable: where both are inserted at one place, the weight stays before the state.
        edits.sort_by_key(|(document, bytes, _)| (*document, bytes.start));
        // A file that is included twice has each setting twice; it is written once.
        let mut seen = BTreeSet::new();
        edits.retain(|(document, bytes, text)| seen.insert((*document, bytes.start, text.clone())));
        let mut documents = Vec::new();
        let mut edits = edits.into_iter().peekable();
        for (index, document) in self.documents.iter().enumerate() {
            let (mut text, mut copied) = (String::with_capacity(document.text.len()), 0);
            while let Some((_, bytes, setting)) = edits.next_if(|(document, ..)| *document == index)
            {
                text.push_str(&document.text[copied..bytes.start]);
                text.push_str(&setting);
                copied = bytes.end;
            }
            text.push_str(&document.text[copied..]);
            documents.push(Document {
                path: document.path.clone(),
                text,
            });
        }
        Ok(documents)
    }
}

/// The text of a weight setting.
fn weight_text(syntax: &SettingSyntax, weight: f64) -> Result<String, String> {
    let number = format!("{weight}");
    match syntax {
        SettingSyntax::ApacheFactor { exists } => {
            // httpd accepts 1 to 100 with two decimals.
            let cents = weight * 100.0;
            if !(1.0..=100.0).contains(&weight) || (cents - cents.round()).abs() > 1e-9 {
                return Err(format!(
                    "a loadfactor is from 1 to 100 with at most two decimals, not {weight}"
                ));
            }
            Ok(if *exists {
                format!("loadfactor={number}")
            } else {
                format!(" loadfactor={number}")
            })
        }
        SettingSyntax::JkFactor { key } => {
            if weight < 1.0 || weight.fract() != 0.0 || weight > 1e6 {
                return Err(format!(
                    "an lbfactor is an integer from 1 to 1000000, not {weight}"
                ));
            }
            Ok(match key {
                None => number,
                Some(key) => format!("\n{key}={number}"),
            })
        }
        _ => Err("this setting is not a weight".into()),
    }
}

/// The text of a state setting.
fn state_text(syntax: &SettingSyntax, state: HostState) -> String {
    match syntax {
        SettingSyntax::ApacheStatus { exists, letters } => {
            let ours = match state {
                HostState::Ready => "",
                HostState::Draining => "+N",
                HostState::Gone => "+D",
            };
            let space = if *exists { "" } else { " " };
            match (letters.is_empty() && ours.is_empty(), exists) {
                // The line already sets a state, so the default is written explicitly.
                (true, true) => "status=-D".into(),
                (true, false) => String::new(),
                _ => format!("{space}status={letters}{ours}"),
            }
        }
        SettingSyntax::JkActivation { key } => {
            let value = match state {
                HostState::Ready => "A",
                HostState::Draining => "D",
                HostState::Gone => "S",
            };
            match key {
                None => value.into(),
                Some(key) => format!("\n{key}={value}"),
            }
        }
        _ => String::new(),
    }
}
