//! What is read: hosts, where each word of them stands, and what two words of one host may be. Decides what
//! contradicts what; the rules are gone through for every host.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::sync::Arc;

/// Where something stands: a file and a line, from 1.
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

/// What is wrong, and where.
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

/// What a controller is told of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// A stretch of a file's text that says something, or the place where it would be said.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    pub file: usize,
    pub bytes: Range<usize>,
    /// What is written there: Apache's `status=+D`, mod_jk's value of a key alone.
    pub form: Form,
}

/// How a word is written.
#[derive(Clone, Debug, PartialEq)]
pub enum Form {
    /// ` loadfactor=2`, put behind the last word where it is not there yet.
    ApacheFactor { there: bool },
    /// `status=...`: the letters that are not ours stay.
    ApacheStatus { there: bool, letters: String },
    /// The value of `worker.x.lbfactor`, or a line of it.
    JkFactor { key: Option<String> },
    /// The value of `worker.x.activation`, or a line of it.
    JkActivation { key: Option<String> },
}

/// A host.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub name: String,
    /// Host and port.
    pub address: String,
    /// mod_jk's domain; Apache has none.
    pub domain: Option<String>,
    pub weight: f64,
    pub state: HostState,
    pub location: Location,
    /// Where weight and state are said: at more than one place if several say the same.
    pub weight_at: Vec<Word>,
    pub state_at: Vec<Word>,
}

impl Host {
    /// What a controller would be told, without where it stands.
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

/// A file that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    pub path: Arc<str>,
    pub text: String,
}

/// What was read of a first file and all that it includes.
#[derive(Clone, Debug, PartialEq)]
pub struct Import {
    pub balancer: String,
    /// In the order of the files.
    pub hosts: Vec<Host>,
    pub documents: Vec<Document>,
}

type Rule = fn(&Host, &Host) -> Option<String>;

/// What two words of one name, or of one address, contradict each other in.
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
        let (here, there) = (told(b.state), told(a.state));
        format!("{:?} is {here} here and {there} at {}", b.name, a.location)
    })
}

fn one_host_has_one_domain(a: &Host, b: &Host) -> Option<String> {
    (a.name == b.name && a.domain != b.domain)
        .then(|| format!("{:?} has another domain at {}", b.name, a.location))
}

/// A state in words.
pub fn told(state: HostState) -> &'static str {
    match state {
        HostState::Ready => "ready",
        HostState::Draining => "draining",
        HostState::Gone => "gone",
    }
}

/// Puts hosts that are the same into one; what contradicts is a fault at the later place, and names the earlier.
pub fn merged(hosts: Vec<Host>, faults: &mut Vec<Diagnostic>) -> Vec<Host> {
    let mut out: Vec<Host> = Vec::new();
    let (mut by_name, mut by_address) = (BTreeMap::new(), BTreeMap::new());
    for host in hosts {
        let known: Option<usize> = by_name
            .get(&host.name)
            .or_else(|| by_address.get(&host.address))
            .copied();
        let Some(at) = known else {
            by_name.insert(host.name.clone(), out.len());
            by_address.insert(host.address.clone(), out.len());
            out.push(host);
            continue;
        };
        match RULES.iter().find_map(|rule| rule(&out[at], &host)) {
            Some(what) => faults.push(Diagnostic {
                location: host.location,
                message: what,
            }),
            None => {
                out[at].weight_at.extend(host.weight_at);
                out[at].state_at.extend(host.state_at);
            }
        }
    }
    out
}

impl Import {
    pub fn host(&self, name: &str) -> Option<&Host> {
        self.hosts.iter().find(|h| h.name == name)
    }

    /// The files' texts with these weights and states, by name, in them. Only what changes is touched.
    ///
    /// # Errors
    /// A name that no file has, or a weight that its file cannot say.
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
                for w in &host.weight_at {
                    let text = weight_word(&w.form, *weight);
                    let text = text.map_err(|why| format!("{name:?}: {why}"))?;
                    edits.push((w.file, w.bytes.clone(), text));
                }
            }
            if host.state != *state {
                for w in &host.state_at {
                    edits.push((w.file, w.bytes.clone(), state_word(&w.form, *state)));
                }
            }
        }
        // At one place a weight goes before a state, as they were found.
        edits.sort_by_key(|(file, bytes, _)| (*file, bytes.start));
        // A file that is included twice says a word twice: it is written once.
        let mut seen = BTreeSet::new();
        edits.retain(|(file, bytes, text)| seen.insert((*file, bytes.start, text.clone())));
        let mut documents = Vec::new();
        let mut edits = edits.into_iter().peekable();
        for (index, document) in self.documents.iter().enumerate() {
            let (mut text, mut at) = (String::with_capacity(document.text.len()), 0);
            while let Some((_, bytes, word)) = edits.next_if(|(file, ..)| *file == index) {
                text.push_str(&document.text[at..bytes.start]);
                text.push_str(&word);
                at = bytes.end;
            }
            text.push_str(&document.text[at..]);
            documents.push(Document {
                path: document.path.clone(),
                text,
            });
        }
        Ok(documents)
    }
}

fn weight_word(form: &Form, weight: f64) -> Result<String, String> {
    let number = format!("{weight}");
    match form {
        Form::ApacheFactor { there } => {
            // httpd takes 1 to 100, with two decimals.
            let cents = weight * 100.0;
            if !(1.0..=100.0).contains(&weight) || (cents - cents.round()).abs() > 1e-9 {
                return Err(format!(
                    "a loadfactor is from 1 to 100 with two decimals at the most, not {weight}"
                ));
            }
            Ok(if *there {
                format!("loadfactor={number}")
            } else {
                format!(" loadfactor={number}")
            })
        }
        Form::JkFactor { key } => {
            if weight < 1.0 || weight.fract() != 0.0 || weight > 1e6 {
                return Err(format!(
                    "an lbfactor is a whole number from 1, not {weight}"
                ));
            }
            Ok(match key {
                None => number,
                Some(key) => format!("\n{key}={number}"),
            })
        }
        _ => Err("this is no weight".into()),
    }
}

fn state_word(form: &Form, state: HostState) -> String {
    match form {
        Form::ApacheStatus { there, letters } => {
            let ours = match state {
                HostState::Ready => "",
                HostState::Draining => "+N",
                HostState::Gone => "+D",
            };
            let space = if *there { "" } else { " " };
            match (letters.is_empty() && ours.is_empty(), there) {
                // It said a state; what is usual has to be said as such.
                (true, true) => "status=-D".into(),
                (true, false) => String::new(),
                _ => format!("{space}status={letters}{ours}"),
            }
        }
        Form::JkActivation { key } => {
            let word = match state {
                HostState::Ready => "A",
                HostState::Draining => "D",
                HostState::Gone => "S",
            };
            match key {
                None => word.into(),
                Some(key) => format!("\n{key}={word}"),
            }
        }
        _ => String::new(),
    }
}
