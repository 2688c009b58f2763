//! httpd's configuration, as far as it concerns balancers and their members. Whatever else is there is passed over
//! and stays; whatever might concern them and cannot be known is refused.

use crate::fleet::{Diagnostic, Document, Form, Host, HostState, Import, Location, Word, merged};
use crate::lines::{self, Line};
use crate::paths::{fits, folder, from, is_pattern};
use crate::{FileSource, ImportOptions};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

/// Files within files, files in all, and bytes of one.
const DEEPEST: usize = 16;
const MOST_FILES: usize = 1_000;
const MOST_BYTES: usize = 16 << 20;
/// Words that stand for others may do so within each other this often.
const MOST_WORDS: usize = 16;

/// Status letters: those that a controller has a word for, and those that are only kept.
const GONE: [char; 2] = ['D', 'S'];
const DRAINING: char = 'N';
const KEPT: [char; 2] = ['I', 'C'];

/// Where a line stands, beside its file: what its sections say of it.
#[derive(Clone, Default)]
struct Around {
    balancer: Option<String>,
    /// A condition that nobody knows, and where it begins.
    doubtful: Option<(String, Location)>,
    /// A worker's own section, whose settings would be a member's.
    worker: Option<String>,
}

struct Reader<'a> {
    files: &'a mut dyn FileSource,
    wanted: &'a ImportOptions,
    root: String,
    documents: Vec<Document>,
    faults: Vec<Diagnostic>,
    within: Vec<String>,
    words: BTreeMap<String, String>,
    /// Names that are defined where nobody knows whether it holds.
    doubtful: BTreeSet<String>,
    members: BTreeMap<String, Vec<Host>>,
    order: Vec<String>,
}

/// # Errors
/// Everything that is wrong or cannot be known.
pub fn read(
    files: &mut dyn FileSource,
    path: &str,
    wanted: &ImportOptions,
) -> Result<Import, Vec<Diagnostic>> {
    let mut reader = Reader {
        files,
        wanted,
        root: wanted
            .base_dir
            .clone()
            .unwrap_or_else(|| folder(path).to_string()),
        documents: Vec::new(),
        faults: Vec::new(),
        within: Vec::new(),
        words: BTreeMap::new(),
        doubtful: BTreeSet::new(),
        members: BTreeMap::new(),
        order: Vec::new(),
    };
    let first = Location {
        file: path.into(),
        line: 1,
    };
    reader.file(path, &first, &Around::default());
    reader.chosen(first)
}

impl Reader<'_> {
    fn fault(&mut self, at: &Location, what: impl Into<String>) {
        self.faults.push(Diagnostic {
            location: at.clone(),
            message: what.into(),
        });
    }

    fn chosen(mut self, first: Location) -> Result<Import, Vec<Diagnostic>> {
        let balancer = match &self.wanted.balancer {
            Some(name) if self.members.contains_key(name) => Some(name.clone()),
            Some(name) => {
                let what = format!("no balancer://{name}; there are {}", self.order.join(", "));
                self.fault(&first, what);
                None
            }
            None if self.order.len() == 1 => self.order.first().cloned(),
            None => {
                let what = match self.order.is_empty() {
                    true => "no balancer has a member here".to_string(),
                    false => format!("several balancers: say which of {}", self.order.join(", ")),
                };
                self.fault(&first, what);
                None
            }
        };
        let hosts = balancer
            .as_ref()
            .and_then(|b| self.members.remove(b))
            .unwrap_or_default();
        let hosts = merged(hosts, &mut self.faults);
        self.faults.sort();
        self.faults.dedup();
        match balancer.filter(|_| self.faults.is_empty()) {
            Some(balancer) => Ok(Import {
                balancer,
                hosts,
                documents: self.documents,
            }),
            None => Err(self.faults),
        }
    }

    fn file(&mut self, path: &str, from_where: &Location, around: &Around) {
        if self.within.iter().any(|w| w == path) {
            return self.fault(from_where, format!("{path} includes itself"));
        }
        if self.within.len() >= DEEPEST || self.documents.len() >= MOST_FILES {
            let what = format!(
                "{path}: over {DEEPEST} files within each other, or over {MOST_FILES} in all"
            );
            return self.fault(from_where, what);
        }
        let text = match self.files.read(path) {
            Ok(text) if text.len() <= MOST_BYTES => text,
            Ok(_) => {
                return self.fault(from_where, format!("{path}: over {} MiB", MOST_BYTES >> 20));
            }
            Err(why) => return self.fault(from_where, format!("{path}: {why}")),
        };
        let file: Arc<str> = path.into();
        // A file may be included twice: then its words stand at one place, and say the same twice.
        let known = self.documents.iter().position(|d| d.path == file);
        let index = known.unwrap_or(self.documents.len());
        if known.is_none() {
            self.documents.push(Document {
                path: file.clone(),
                text: text.clone(),
            });
        }
        match lines::lines(&text) {
            Ok(lines) => {
                self.within.push(path.to_string());
                self.lines(&file, index, &lines, around.clone());
                self.within.pop();
            }
            Err(odd) => {
                for o in odd {
                    let at = Location {
                        file: file.clone(),
                        line: o.number,
                    };
                    self.fault(&at, o.what);
                }
            }
        }
    }

    fn lines(&mut self, file: &Arc<str>, index: usize, lines: &[Line], mut around: Around) {
        let mut open: Vec<(String, Location, Around)> = Vec::new();
        for line in lines {
            let at = Location {
                file: file.clone(),
                line: line.number,
            };
            let name = line.words[0].text.to_ascii_lowercase();
            if line.closes {
                match open.pop() {
                    Some((begun, _, before)) if begun == name => around = before,
                    Some((begun, begun_at, _)) => {
                        return self.fault(
                            &at,
                            format!(
                                "</{name}> where <{begun}> of line {} is open",
                                begun_at.line
                            ),
                        );
                    }
                    None => return self.fault(&at, format!("</{name}> closes nothing")),
                }
            } else if line.opens {
                open.push((name.clone(), at.clone(), around.clone()));
                self.section(&name, line, &at, &mut around);
            } else {
                self.directive(&name, line, &at, index, &around);
            }
        }
        if let Some((name, at, _)) = open.pop() {
            self.fault(&at, format!("<{name}> is not closed"));
        }
    }

    fn section(&mut self, name: &str, line: &Line, at: &Location, around: &mut Around) {
        let given = match line.words.get(1) {
            Some(word) => self.meant(&word.text, at),
            None => String::new(),
        };
        match name {
            "proxy" => {
                around.balancer = balancer_of(&given);
                around.worker = around.balancer.is_none().then_some(given);
            }
            "ifdefine" | "ifmodule" => {
                let (not, plain) = match given.strip_prefix('!') {
                    Some(rest) => (true, rest),
                    None => (false, given.as_str()),
                };
                let assumed = self.wanted.assumed_conditions.iter().any(|a| a == plain);
                if not || !assumed {
                    let word = format!("<{} {given}>", line.words[0].text);
                    around.doubtful.get_or_insert((word, at.clone()));
                }
            }
            "if" | "elseif" | "else" | "ifversion" | "iffile" | "ifdirective" | "ifsection" => {
                let word = format!("<{}>", line.words[0].text);
                around.doubtful.get_or_insert((word, at.clone()));
            }
            _ => {}
        }
    }

    /// What is said where nobody knows whether it holds cannot be taken, and not left out either.
    fn is_doubtful(&mut self, what: &str, at: &Location, around: &Around) -> bool {
        let Some((condition, begins)) = &around.doubtful else {
            return false;
        };
        let told = format!(
            "{what} within {condition} of line {}: whether that holds is not known; assume its name, or take it out",
            begins.line
        );
        self.fault(at, told);
        true
    }

    fn directive(&mut self, name: &str, line: &Line, at: &Location, index: usize, around: &Around) {
        match name {
            "define" | "undefine" => {
                let Some(key) = line.words.get(1).map(|w| w.text.clone()) else {
                    return self.fault(at, "a name is wanted");
                };
                if around.doubtful.is_some() {
                    self.doubtful.insert(key);
                    return;
                }
                self.doubtful.remove(&key);
                match (name, line.words.get(2)) {
                    ("define", Some(value)) => {
                        let value = self.meant(&value.text, at);
                        self.words.insert(key, value);
                    }
                    ("define", None) => {
                        self.words.insert(key, String::new());
                    }
                    _ => {
                        self.words.remove(&key);
                    }
                }
            }
            "include" | "includeoptional" => {
                if self.is_doubtful("a file is included", at, around) {
                    return;
                }
                match line.words.get(1) {
                    Some(word) => {
                        let path = self.meant(&word.text, at);
                        self.include(&path, name == "includeoptional", at, around);
                    }
                    None => self.fault(at, "a file is wanted"),
                }
            }
            "balancermember" if self.is_doubtful("a member", at, around) => {}
            "balancermember" => self.member(line, at, index, around),
            "proxyset" => self.proxy_set(line, at, around),
            _ => {}
        }
    }

    fn include(&mut self, path: &str, optional: bool, at: &Location, around: &Around) {
        let path = from(&self.root.clone(), path);
        let (dir, last) = (
            folder(&path).to_string(),
            path.rsplit('/').next().unwrap_or("").to_string(),
        );
        if is_pattern(&dir) {
            return self.fault(at, format!("{path}: a pattern for a folder is not read"));
        }
        if !is_pattern(&last) {
            // One that is there and broken is a fault for optional ones too.
            if optional && !self.is_there(&dir, &last) {
                return;
            }
            return self.file(&path, at, around);
        }
        match self.files.list(if dir.is_empty() { "." } else { &dir }) {
            Ok(names) => {
                let found: Vec<String> = names.into_iter().filter(|n| fits(&last, n)).collect();
                if found.is_empty() && !optional {
                    self.fault(at, format!("{path}: no file fits"));
                }
                found
                    .iter()
                    .for_each(|name| self.file(&from(&dir, name), at, around));
            }
            Err(_) if optional => {}
            Err(why) => self.fault(at, format!("{dir}: {why}")),
        }
    }

    fn is_there(&mut self, dir: &str, name: &str) -> bool {
        let names = self.files.list(if dir.is_empty() { "." } else { dir });
        names.is_ok_and(|names| names.iter().any(|n| n == name))
    }

    /// A word with `${NAME}` replaced; what is not defined is a fault, since httpd would take the environment's.
    fn meant(&mut self, text: &str, at: &Location) -> String {
        let mut out = text.to_string();
        for _ in 0..MOST_WORDS {
            let Some(begin) = out.find("${") else {
                return out;
            };
            let Some(end) = out[begin..].find('}').map(|e| begin + e) else {
                return out;
            };
            let key = out[begin + 2..end].to_string();
            if self.doubtful.contains(&key) {
                self.fault(
                    at,
                    format!("${{{key}}} is defined where it is not known whether that holds"),
                );
                return out.replace("${", "");
            }
            match self.words.get(&key) {
                Some(value) => out.replace_range(begin..=end, &value.clone()),
                None => {
                    self.fault(at, format!("${{{key}}} is not defined in these files"));
                    return out.replace("${", "");
                }
            }
        }
        self.fault(
            at,
            format!("words within words more than {MOST_WORDS} times"),
        );
        out.replace("${", "")
    }

    fn member(&mut self, line: &Line, at: &Location, index: usize, around: &Around) {
        let mut words = line.words[1..].iter().peekable();
        let balancer = match &around.balancer {
            Some(name) => name.clone(),
            None => {
                let first = words
                    .next()
                    .map(|w| self.meant(&w.text, at))
                    .unwrap_or_default();
                match balancer_of(&first) {
                    Some(name) => name,
                    None => {
                        let what = "a member outside of <Proxy \"balancer://...\"> names its balancer first";
                        return self.fault(at, what);
                    }
                }
            }
        };
        let Some(url) = words.next() else {
            return self.fault(at, "a member without a URL");
        };
        let end = line.words.last().map_or(0, |w| w.bytes.end);
        let meant = self.meant(&url.text, at);
        let address = match address_of(&meant) {
            Ok(address) => address,
            Err(why) => return self.fault(at, format!("{meant}: {why}")),
        };
        let (mut route, mut weight, mut state) = (None, 1.0, HostState::Ready);
        let word = |bytes, form| Word {
            file: index,
            bytes,
            form,
        };
        let mut weight_at = word(end..end, Form::ApacheFactor { there: false });
        let mut state_at = word(
            end..end,
            Form::ApacheStatus {
                there: false,
                letters: String::new(),
            },
        );
        let mut seen = BTreeSet::new();
        for w in words {
            let meant = self.meant(&w.text, at);
            let Some((key, value)) = meant.split_once('=') else {
                self.fault(
                    at,
                    format!("{meant:?}: a word such as loadfactor=2 is wanted"),
                );
                continue;
            };
            let key = key.to_ascii_lowercase();
            if !seen.insert(key.clone()) {
                self.fault(at, format!("{key} is said twice"));
            }
            match key.as_str() {
                "route" => route = Some(value.to_string()),
                "loadfactor" => {
                    match value.parse::<f64>() {
                        Ok(n) if (1.0..=100.0).contains(&n) => weight = n,
                        _ => self.fault(
                            at,
                            format!("loadfactor={value}: a number from 1 to 100 is wanted"),
                        ),
                    }
                    weight_at = word(w.bytes.clone(), Form::ApacheFactor { there: true });
                }
                "status" => match status(value) {
                    Ok((found, letters)) => {
                        state = found;
                        state_at = word(
                            w.bytes.clone(),
                            Form::ApacheStatus {
                                there: true,
                                letters,
                            },
                        );
                    }
                    Err(why) => self.fault(at, format!("status={value}: {why}")),
                },
                _ => {}
            }
        }
        let name = route
            .filter(|r| !r.is_empty())
            .unwrap_or_else(|| address.clone());
        if !self.members.contains_key(&balancer) {
            self.order.push(balancer.clone());
        }
        self.members.entry(balancer).or_default().push(Host {
            name,
            address,
            domain: None,
            weight,
            state,
            location: at.clone(),
            weight_at: vec![weight_at],
            state_at: vec![state_at],
        });
    }

    /// Settings of a worker outside its member's line would hold as well: refused, since then two places say it.
    fn proxy_set(&mut self, line: &Line, at: &Location, around: &Around) {
        let mut words = line.words[1..]
            .iter()
            .map(|w| w.text.clone())
            .collect::<Vec<_>>();
        let mut worker = around.worker.clone();
        if let Some(first) = words.first().filter(|w| w.contains("://")) {
            worker = balancer_of(first).is_none().then(|| first.clone());
            words.remove(0);
        }
        let ours = |w: &&String| {
            let key = w.split('=').next().unwrap_or("").to_ascii_lowercase();
            matches!(key.as_str(), "loadfactor" | "status" | "route")
        };
        if let (Some(worker), Some(word)) = (&worker, words.iter().find(ours)) {
            self.fault(
                at,
                format!("{word} of {worker} is to stand at its BalancerMember"),
            );
        }
    }
}

fn balancer_of(url: &str) -> Option<String> {
    let scheme = url.get(..11)?;
    let rest = scheme
        .eq_ignore_ascii_case("balancer://")
        .then(|| &url[11..])?;
    let name = rest.split('/').next().unwrap_or("");
    (!name.is_empty()).then(|| name.to_string())
}

/// Host and port of a worker's URL.
fn address_of(url: &str) -> Result<String, String> {
    let Some((scheme, rest)) = url.split_once("://") else {
        return Err("a URL such as http://10.0.0.1:8080 is wanted".into());
    };
    if scheme.contains(['|', ':']) {
        return Err("sockets of files are not met".into());
    }
    let usual = match scheme.to_ascii_lowercase().as_str() {
        "http" | "h2c" | "ws" => 80,
        "https" | "h2" | "wss" => 443,
        "ajp" => 8009,
        "fcgi" => 8000,
        other => return Err(format!("the usual port of {other} is not known")),
    };
    address(rest.split('/').next().unwrap_or(""), usual)
}

/// An address with its port; names are not looked up here.
///
/// # Errors
/// What is wanted instead.
pub fn address(text: &str, usual: u16) -> Result<String, String> {
    let (host, port) = match text.strip_prefix('[').and_then(|r| r.split_once(']')) {
        Some((host, rest)) => (host, rest.strip_prefix(':')),
        None => match text.rsplit_once(':') {
            Some((host, port)) => (host, Some(port)),
            None => (text, None),
        },
    };
    let ip = match host.eq_ignore_ascii_case("localhost") {
        true => Ok(IpAddr::from([127, 0, 0, 1])),
        false => host.parse::<IpAddr>(),
    };
    let ip = ip.map_err(|_| {
        format!("{host:?}: an address such as 10.0.0.1 is wanted, names are not looked up")
    })?;
    let port = match port {
        None => usual,
        Some(port) => port
            .parse()
            .ok()
            .filter(|p| *p > 0)
            .ok_or(format!("{port:?} is no port"))?,
    };
    Ok(std::net::SocketAddr::new(ip, port).to_string())
}

/// What a controller has of a status, and the letters that stay.
fn status(value: &str) -> Result<(HostState, String), String> {
    let (mut state, mut letters, mut sign) = (HostState::Ready, String::new(), None);
    for c in value.chars() {
        let upper = c.to_ascii_uppercase();
        match upper {
            '+' | '-' if sign.is_none() => {
                sign = Some(upper);
                continue;
            }
            'H' | 'R' if sign != Some('-') => {
                return Err(
                    "a spare is nothing that a controller has; give it a weight or take it out"
                        .into(),
                );
            }
            'E' if sign != Some('-') => {
                return Err("an error is of a running httpd, no setting".into());
            }
            c if GONE.contains(&c) => {
                if sign != Some('-') {
                    state = HostState::Gone;
                }
            }
            DRAINING => {
                if sign != Some('-') && state == HostState::Ready {
                    state = HostState::Draining;
                }
            }
            c if KEPT.contains(&c) || matches!(c, 'H' | 'R' | 'E') => {
                letters.push(sign.unwrap_or('+'));
                letters.push(c);
            }
            c => return Err(format!("{c:?} is no status")),
        }
        sign = None;
    }
    match sign {
        Some(sign) => Err(format!("a letter is wanted behind {sign}")),
        None => Ok((state, letters)),
    }
}
