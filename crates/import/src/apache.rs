//! Reads the balancers and their members from httpd's configuration. Directives that don't concern them are skipped;
//! those that might, but whose effect is unknown, are refused.

use crate::hosts::{
    Diagnostic, Document, Host, HostState, Import, Location, SettingSpan, SettingSyntax,
    merge_duplicates,
};
use crate::paths::{is_pattern, matches_glob, parent, resolve};
use crate::tokenizer::{Line, tokenize};
use crate::{FileSource, ImportOptions};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;

/// Nesting of included files.
const MAX_INCLUDE_DEPTH: usize = 16;
const MAX_FILES: usize = 1_000;
const MAX_FILE_BYTES: usize = 16 << 20;
/// Variables replaced in one value; guards against variables that refer to themselves.
const MAX_SUBSTITUTIONS: usize = 16;

/// Status letters that mean gone (disabled, stopped).
const GONE: [char; 2] = ['D', 'S'];
/// The status letter that means draining.
const DRAINING: char = 'N';
/// Status letters without a counterpart in a roster, which are kept (I ignores errors, C is a failed health check).
const KEPT: [char; 2] = ['I', 'C'];

/// The sections around a line.
#[derive(Clone, Default)]
struct Context {
    balancer: Option<String>,
    /// A condition whose outcome is unknown, and where it starts.
    unknown_condition: Option<(String, Location)>,
    /// The URL of a `<Proxy>` section that is not a balancer's; its settings would apply to a member.
    worker: Option<String>,
}

struct Reader<'a> {
    files: &'a mut dyn FileSource,
    options: &'a ImportOptions,
    base_dir: String,
    documents: Vec<Document>,
    diagnostics: Vec<Diagnostic>,
    /// The files being read, the innermost last.
    include_stack: Vec<String>,
    variables: BTreeMap<String, String>,
    /// Variables defined under a condition whose outcome is unknown.
    unknown_variables: BTreeSet<String>,
    /// Members by balancer.
    members: BTreeMap<String, Vec<Host>>,
    /// Balancers in the order in which they are first used.
    balancers: Vec<String>,
}

/// Reads a file and all its includes.
///
/// # Errors
/// Everything that is wrong or ambiguous.
pub fn read(
    files: &mut dyn FileSource,
    path: &str,
    options: &ImportOptions,
) -> Result<Import, Vec<Diagnostic>> {
    let mut reader = Reader {
        files,
        options,
        base_dir: options
            .base_dir
            .clone()
            .unwrap_or_else(|| parent(path).to_string()),
        documents: Vec::new(),
        diagnostics: Vec::new(),
        include_stack: Vec::new(),
        variables: BTreeMap::new(),
        unknown_variables: BTreeSet::new(),
        members: BTreeMap::new(),
        balancers: Vec::new(),
    };
    let first = Location {
        file: path.into(),
        line: 1,
    };
    reader.read_file(path, &first, &Context::default());
    reader.finish(first)
}

impl Reader<'_> {
    fn report(&mut self, at: &Location, message: impl Into<String>) {
        self.diagnostics.push(Diagnostic {
            location: at.clone(),
            message: message.into(),
        });
    }

    /// Selects the balancer and merges its members.
    fn finish(mut self, first: Location) -> Result<Import, Vec<Diagnostic>> {
        let balancer = match &self.options.balancer {
            Some(name) if self.members.contains_key(name) => Some(name.clone()),
            Some(name) => {
                let message = format!(
                    "no balancer://{name}; there are {}",
                    self.balancers.join(", ")
                );
                self.report(&first, message);
                None
            }
            None if self.balancers.len() == 1 => self.balancers.first().cloned(),
            None => {
                let message = match self.balancers.is_empty() {
                    true => "no balancer has a member here".to_string(),
                    false => format!(
                        "several balancers: say which of {}",
                        self.balancers.join(", ")
                    ),
                };
                self.report(&first, message);
                None
            }
        };
        let hosts = balancer
            .as_ref()
            .and_then(|b| self.members.remove(b))
            .unwrap_or_default();
        let hosts = merge_duplicates(hosts, &mut self.diagnostics);
        self.diagnostics.sort();
        self.diagnostics.dedup();
        match balancer.filter(|_| self.diagnostics.is_empty()) {
            Some(balancer) => Ok(Import {
                balancer,
                hosts,
                documents: self.documents,
            }),
            None => Err(self.diagnostics),
        }
    }

    /// Reads one file; `included_at` is where errors about the file itself are reported.
    fn read_file(&mut self, path: &str, included_at: &Location, context: &Context) {
        if self.include_stack.iter().any(|p| p == path) {
            return self.report(included_at, format!("{path} includes itself"));
        }
        if self.include_stack.len() >= MAX_INCLUDE_DEPTH || self.documents.len() >= MAX_FILES {
            let message = format!(
                "{path}: includes nested more than {MAX_INCLUDE_DEPTH} deep, or more than {MAX_FILES} files"
            );
            return self.report(included_at, message);
        }
        let text = match self.files.read(path) {
            Ok(text) if text.len() <= MAX_FILE_BYTES => text,
            Ok(_) => {
                return self.report(
                    included_at,
                    format!("{path}: over {} MiB", MAX_FILE_BYTES >> 20),
                );
            }
            Err(why) => return self.report(included_at, format!("{path}: {why}")),
        };
        let file: Arc<str> = path.into();
        // A file may be included twice; it is one document then, whose settings are found twice.
        let known = self.documents.iter().position(|d| d.path == file);
        let index = known.unwrap_or(self.documents.len());
        if known.is_none() {
            self.documents.push(Document {
                path: file.clone(),
                text: text.clone(),
            });
        }
        match tokenize(&text) {
            Ok(lines) => {
                self.include_stack.push(path.to_string());
                self.read_lines(&file, index, &lines, context.clone());
                self.include_stack.pop();
            }
            Err(errors) => {
                for e in errors {
                    let at = Location {
                        file: file.clone(),
                        line: e.line,
                    };
                    self.report(&at, e.message);
                }
            }
        }
    }

    fn read_lines(
        &mut self,
        file: &Arc<str>,
        document: usize,
        lines: &[Line],
        mut context: Context,
    ) {
        let mut open_sections: Vec<(String, Location, Context)> = Vec::new();
        for line in lines {
            let at = Location {
                file: file.clone(),
                line: line.number,
            };
            let name = line.tokens[0].text.to_ascii_lowercase();
            if line.closes {
                match open_sections.pop() {
                    Some((opened, _, outer)) if opened == name => context = outer,
                    Some((opened, opened_at, _)) => {
                        return self.report(
                            &at,
                            format!(
                                "</{name}> where <{opened}> of line {} is open",
                                opened_at.line
                            ),
                        );
                    }
                    None => return self.report(&at, format!("</{name}> closes nothing")),
                }
            } else if line.opens {
                open_sections.push((name.clone(), at.clone(), context.clone()));
                self.section(&name, line, &at, &mut context);
            } else {
                self.directive(&name, line, &at, document, &context);
            }
        }
        if let Some((name, at, _)) = open_sections.pop() {
            self.report(&at, format!("<{name}> is not closed"));
        }
    }

    fn section(&mut self, name: &str, line: &Line, at: &Location, context: &mut Context) {
        let argument = match line.tokens.get(1) {
            Some(token) => self.substitute(&token.text, at),
            None => String::new(),
        };
        match name {
            "proxy" => {
                context.balancer = balancer_of(&argument);
                context.worker = context.balancer.is_none().then_some(argument);
            }
            "ifdefine" | "ifmodule" => {
                let (negated, name) = match argument.strip_prefix('!') {
                    Some(rest) => (true, rest),
                    None => (false, argument.as_str()),
                };
                let assumed = self.options.assumed_conditions.iter().any(|a| a == name);
                if negated || !assumed {
                    let condition = format!("<{} {argument}>", line.tokens[0].text);
                    context
                        .unknown_condition
                        .get_or_insert((condition, at.clone()));
                }
            }
            "if" | "elseif" | "else" | "ifversion" | "iffile" | "ifdirective" | "ifsection" => {
                let condition = format!("<{}>", line.tokens[0].text);
                context
                    .unknown_condition
                    .get_or_insert((condition, at.clone()));
            }
            _ => {}
        }
    }

    /// Reports a directive under a condition whose outcome is unknown: it can be neither used nor ignored.
    fn refuse_if_conditional(&mut self, what: &str, at: &Location, context: &Context) -> bool {
        let Some((condition, starts_at)) = &context.unknown_condition else {
            return false;
        };
        let message = format!(
            "{what} within {condition} of line {}: whether that holds is not known; assume its name, or remove it",
            starts_at.line
        );
        self.report(at, message);
        true
    }

    fn directive(
        &mut self,
        name: &str,
        line: &Line,
        at: &Location,
        document: usize,
        context: &Context,
    ) {
        match name {
            "define" | "undefine" => {
                let Some(key) = line.tokens.get(1).map(|w| w.text.clone()) else {
                    return self.report(at, "a name is expected");
                };
                if context.unknown_condition.is_some() {
                    self.unknown_variables.insert(key);
                    return;
                }
                self.unknown_variables.remove(&key);
                match (name, line.tokens.get(2)) {
                    ("define", Some(value)) => {
                        let value = self.substitute(&value.text, at);
                        self.variables.insert(key, value);
                    }
                    ("define", None) => {
                        self.variables.insert(key, String::new());
                    }
                    _ => {
                        self.variables.remove(&key);
                    }
                }
            }
            "include" | "includeoptional" => {
                if self.refuse_if_conditional("a file is included", at, context) {
                    return;
                }
                match line.tokens.get(1) {
                    Some(token) => {
                        let path = self.substitute(&token.text, at);
                        self.include(&path, name == "includeoptional", at, context);
                    }
                    None => self.report(at, "a file is expected"),
                }
            }
            "balancermember" if self.refuse_if_conditional("a member", at, context) => {}
            "balancermember" => self.member(line, at, document, context),
            "proxyset" => self.proxy_set(line, at, context),
            _ => {}
        }
    }

    fn include(&mut self, path: &str, optional: bool, at: &Location, context: &Context) {
        let path = resolve(&self.base_dir.clone(), path);
        let (dir, last) = (
            parent(&path).to_string(),
            path.rsplit('/').next().unwrap_or("").to_string(),
        );
        if is_pattern(&dir) {
            return self.report(
                at,
                format!("{path}: a pattern for a directory is not supported"),
            );
        }
        if !is_pattern(&last) {
            // An optional file that exists but cannot be read is an error too.
            if optional && !self.file_exists(&dir, &last) {
                return;
            }
            return self.read_file(&path, at, context);
        }
        match self.files.list(if dir.is_empty() { "." } else { &dir }) {
            Ok(names) => {
                let found: Vec<String> = names
                    .into_iter()
                    .filter(|n| matches_glob(&last, n))
                    .collect();
                if found.is_empty() && !optional {
                    self.report(at, format!("{path}: no file fits"));
                }
                found
                    .iter()
                    .for_each(|name| self.read_file(&resolve(&dir, name), at, context));
            }
            Err(_) if optional => {}
            Err(why) => self.report(at, format!("{dir}: {why}")),
        }
    }

    fn file_exists(&mut self, dir: &str, name: &str) -> bool {
        let names = self.files.list(if dir.is_empty() { "." } else { dir });
        names.is_ok_and(|names| names.iter().any(|n| n == name))
    }

    /// A text with `${NAME}` replaced. Undefined names are reported, since httpd would take them from the environment.
    fn substitute(&mut self, text: &str, at: &Location) -> String {
        let mut out = text.to_string();
        for _ in 0..MAX_SUBSTITUTIONS {
            let Some(begin) = out.find("${") else {
                return out;
            };
            let Some(end) = out[begin..].find('}').map(|e| begin + e) else {
                return out;
            };
            let key = out[begin + 2..end].to_string();
            if self.unknown_variables.contains(&key) {
                self.report(
                    at,
                    format!("${{{key}}} is defined under a condition: it is not known whether that holds"),
                );
                return out.replace("${", "");
            }
            match self.variables.get(&key) {
                Some(value) => out.replace_range(begin..=end, &value.clone()),
                None => {
                    self.report(at, format!("${{{key}}} is not defined in these files"));
                    return out.replace("${", "");
                }
            }
        }
        self.report(
            at,
            format!("more than {MAX_SUBSTITUTIONS} substitutions in one value"),
        );
        out.replace("${", "")
    }

    fn member(&mut self, line: &Line, at: &Location, document: usize, context: &Context) {
        let mut tokens = line.tokens[1..].iter().peekable();
        let balancer = match &context.balancer {
            Some(name) => name.clone(),
            None => {
                let first = tokens
                    .next()
                    .map(|t| self.substitute(&t.text, at))
                    .unwrap_or_default();
                match balancer_of(&first) {
                    Some(name) => name,
                    None => {
                        let message = "a member outside of <Proxy \"balancer://...\"> names its balancer first";
                        return self.report(at, message);
                    }
                }
            }
        };
        let Some(url) = tokens.next() else {
            return self.report(at, "a member without a URL");
        };
        let end = line.tokens.last().map_or(0, |w| w.bytes.end);
        let url = self.substitute(&url.text, at);
        let address = match address_of(&url) {
            Ok(address) => address,
            Err(why) => return self.report(at, format!("{url}: {why}")),
        };
        let (mut route, mut weight, mut state) = (None, 1.0, HostState::Ready);
        let span = |bytes, syntax| SettingSpan {
            document,
            bytes,
            syntax,
        };
        let mut weight_span = span(end..end, SettingSyntax::ApacheFactor { exists: false });
        let mut state_span = span(
            end..end,
            SettingSyntax::ApacheStatus {
                exists: false,
                letters: String::new(),
            },
        );
        let mut seen = BTreeSet::new();
        for token in tokens {
            let setting = self.substitute(&token.text, at);
            let Some((key, value)) = setting.split_once('=') else {
                self.report(
                    at,
                    format!("{setting:?}: a setting such as loadfactor=2 is expected"),
                );
                continue;
            };
            let key = key.to_ascii_lowercase();
            if !seen.insert(key.clone()) {
                self.report(at, format!("{key} is set twice"));
            }
            match key.as_str() {
                "route" => route = Some(value.to_string()),
                "loadfactor" => {
                    match value.parse::<f64>() {
                        Ok(n) if (1.0..=100.0).contains(&n) => weight = n,
                        _ => self.report(
                            at,
                            format!("loadfactor={value}: a number from 1 to 100 is expected"),
                        ),
                    }
                    weight_span = span(
                        token.bytes.clone(),
                        SettingSyntax::ApacheFactor { exists: true },
                    );
                }
                "status" => match status(value) {
                    Ok((found, letters)) => {
                        state = found;
                        state_span = span(
                            token.bytes.clone(),
                            SettingSyntax::ApacheStatus {
                                exists: true,
                                letters,
                            },
                        );
                    }
                    Err(why) => self.report(at, format!("status={value}: {why}")),
                },
                _ => {}
            }
        }
        let name = route
            .filter(|r| !r.is_empty())
            .unwrap_or_else(|| address.clone());
        if !self.members.contains_key(&balancer) {
            self.balancers.push(balancer.clone());
        }
        self.members.entry(balancer).or_default().push(Host {
            name,
            address,
            domain: None,
            weight,
            state,
            location: at.clone(),
            weight_spans: vec![weight_span],
            state_spans: vec![state_span],
        });
    }

    /// Refuses settings of a member outside its `BalancerMember` line, since they would apply as well.
    fn proxy_set(&mut self, line: &Line, at: &Location, context: &Context) {
        let mut settings = line.tokens[1..]
            .iter()
            .map(|w| w.text.clone())
            .collect::<Vec<_>>();
        let mut worker = context.worker.clone();
        if let Some(first) = settings.first().filter(|w| w.contains("://")) {
            worker = balancer_of(first).is_none().then(|| first.clone());
            settings.remove(0);
        }
        let concerns_us = |w: &&String| {
            let key = w.split('=').next().unwrap_or("").to_ascii_lowercase();
            matches!(key.as_str(), "loadfactor" | "status" | "route")
        };
        if let (Some(worker), Some(setting)) = (&worker, settings.iter().find(concerns_us)) {
            self.report(
                at,
                format!("{setting} of {worker} is to stand at its BalancerMember"),
            );
        }
    }
}

/// The name in a `balancer://` URL.
fn balancer_of(url: &str) -> Option<String> {
    let scheme = url.get(..11)?;
    let rest = scheme
        .eq_ignore_ascii_case("balancer://")
        .then(|| &url[11..])?;
    let name = rest.split('/').next().unwrap_or("");
    (!name.is_empty()).then(|| name.to_string())
}

/// IP address and port of a worker's URL.
fn address_of(url: &str) -> Result<String, String> {
    let Some((scheme, rest)) = url.split_once("://") else {
        return Err("a URL such as http://10.0.0.1:8080 is expected".into());
    };
    if scheme.contains(['|', ':']) {
        return Err("Unix sockets are not supported".into());
    }
    let default_port = match scheme.to_ascii_lowercase().as_str() {
        "http" | "h2c" | "ws" => 80,
        "https" | "h2" | "wss" => 443,
        "ajp" => 8009,
        "fcgi" => 8000,
        other => return Err(format!("the default port of {other} is not known")),
    };
    address(rest.split('/').next().unwrap_or(""), default_port)
}

/// Parses an IP address or `localhost`, with a port if given; names are not looked up.
///
/// # Errors
/// What is expected instead.
pub fn address(text: &str, default_port: u16) -> Result<String, String> {
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
        format!("{host:?}: an address such as 10.0.0.1 is expected, names are not looked up")
    })?;
    let port = match port {
        None => default_port,
        Some(port) => port
            .parse()
            .ok()
            .filter(|p| *p > 0)
            .ok_or(format!("{port:?} is not a port"))?,
    };
    Ok(std::net::SocketAddr::new(ip, port).to_string())
}

/// The state that a status means, and the letters to keep.
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
            c => return Err(format!("{c:?} is not a status letter")),
        }
        sign = None;
    }
    match sign {
        Some(sign) => Err(format!("a letter is expected after {sign}")),
        None => Ok((state, letters)),
    }
}
