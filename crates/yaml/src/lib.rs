//! YAML as the project's programs read it: parsed by a library into a tree that knows its lines, then
//! read field by field. Every fault is noted with file, line, field and what is wanted, and all of them
//! are told at once; a field that nobody reads is a fault too.

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// Bytes that a file may have: it is read at once.
const MAX_FILE_BYTES: usize = 16 << 20;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub file: String,
    pub line: u64,
    pub field: String,
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            file,
            line,
            field,
            message,
        } = self;
        match field.is_empty() {
            true => write!(f, "{file}:{line}: {message}"),
            false => write!(f, "{file}:{line}: {field}: {message}"),
        }
    }
}

/// All that is wrong, in the order of lines; a line of text each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

#[derive(Clone, Debug)]
enum Tree {
    Nothing,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(Node, Node)>),
}

#[derive(Clone, Debug)]
struct Node {
    line: u64,
    tree: Tree,
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Node, D::Error> {
        let spanned = Spanned::<Tree>::deserialize(from)?;
        Ok(Node {
            line: spanned.referenced.line(),
            tree: spanned.value,
        })
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_bool<E>(self, v: bool) -> Result<Tree, E> {
        Ok(Tree::Flag(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Tree, E> {
        Ok(Tree::Number(v as f64))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Tree, E> {
        Ok(Tree::Number(v as f64))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Tree, E> {
        Ok(Tree::Number(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<Tree, E> {
        Ok(Tree::Text(v.to_string()))
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Nothing)
    }

    fn visit_none<E>(self) -> Result<Tree, E> {
        Ok(Tree::Nothing)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut list = Vec::new();
        while let Some(node) = seq.next_element()? {
            list.push(node);
        }
        Ok(Tree::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut pairs = Vec::new();
        while let Some(key) = map.next_key()? {
            pairs.push((key, map.next_value()?));
        }
        Ok(Tree::Map(pairs))
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Tree, D::Error> {
        from.deserialize_any(TreeVisitor)
    }
}

/// Reads a text with a reader of its fields.
///
/// # Errors
/// All faults: of the text as YAML, or those that the reader noted.
pub fn read<T>(
    file: &str,
    text: &str,
    reader: impl FnOnce(&FieldReader) -> T,
) -> Result<T, Faults> {
    let single_fault = |line, message: String| {
        Faults(vec![Fault {
            file: file.to_string(),
            line,
            field: String::new(),
            message,
        }])
    };
    if text.len() > MAX_FILE_BYTES {
        return Err(single_fault(
            1,
            format!("a file of at most {MAX_FILE_BYTES} bytes"),
        ));
    }
    // As YAML 1.2 has it: a server may be called `y` or `on`.
    let options = serde_saphyr::options! { strict_booleans: true };
    let root: Node = serde_saphyr::from_str_with_options(text, options).map_err(|e| {
        let line = e.location().map_or(1, |l| l.line());
        let message = e.to_string();
        let message = message.lines().next().unwrap_or("not YAML").to_string();
        single_fault(line, message)
    })?;
    let faults = RefCell::new(Vec::new());
    let out = reader(&FieldReader {
        file,
        faults: &faults,
        node: Some(&root),
        line: root.line,
        path: String::new(),
        fields_read: RefCell::default(),
    });
    let mut faults = faults.into_inner();
    if faults.is_empty() {
        return Ok(out);
    }
    faults.sort();
    faults.dedup();
    faults.sort_by_key(|f| f.line);
    Err(Faults(faults))
}

/// A place in the tree; a missing field is a place too, so that readers need not ask.
pub struct FieldReader<'a> {
    file: &'a str,
    faults: &'a RefCell<Vec<Fault>>,
    node: Option<&'a Node>,
    line: u64,
    path: String,
    fields_read: RefCell<BTreeSet<String>>,
}

impl<'a> FieldReader<'a> {
    /// Notes a fault here.
    pub fn add_fault(&self, message: impl Into<String>) {
        self.faults.borrow_mut().push(Fault {
            file: self.file.to_string(),
            line: self.line,
            field: self.path.clone(),
            message: message.into(),
        });
    }

    /// Whether anything stands here.
    pub fn is_present(&self) -> bool {
        self.node.is_some_and(|n| !matches!(n.tree, Tree::Nothing))
    }

    fn tree(&self) -> Option<&'a Tree> {
        let there = self.node.map(|n| &n.tree);
        there.filter(|t| !matches!(t, Tree::Nothing))
    }

    /// The place of a field; the fields read are the ones allowed (see [`FieldReader::deny_unknown_fields`]).
    pub fn field(&self, name: &str) -> FieldReader<'a> {
        self.fields_read.borrow_mut().insert(name.to_string());
        let found = match self.tree() {
            Some(Tree::Map(pairs)) => {
                let named = |n: &Node| matches!(&n.tree, Tree::Text(t) if t == name);
                pairs.iter().find(|(k, _)| named(k)).map(|(_, v)| v)
            }
            _ => None,
        };
        FieldReader {
            file: self.file,
            faults: self.faults,
            node: found,
            line: found.map_or(self.line, |n| n.line),
            path: match self.path.is_empty() {
                true => name.to_string(),
                false => format!("{}.{name}", self.path),
            },
            fields_read: RefCell::default(),
        }
    }

    /// To be called when all fields of a map were read: others are faults, and so is anything but a map.
    pub fn deny_unknown_fields(&self) {
        let fields_read = self.fields_read.borrow();
        match self.tree() {
            None => {}
            Some(Tree::Map(pairs)) => {
                for (key, _) in pairs {
                    let name = match &key.tree {
                        Tree::Text(t) => t.clone(),
                        other => format!("{other:?}"),
                    };
                    if !fields_read.contains(&name) {
                        let known: Vec<&str> = fields_read.iter().map(String::as_str).collect();
                        let field = match self.path.is_empty() {
                            true => name,
                            false => format!("{}.{name}", self.path),
                        };
                        self.faults.borrow_mut().push(Fault {
                            file: self.file.to_string(),
                            line: key.line,
                            field,
                            message: format!("no such field; there are {}", known.join(", ")),
                        });
                    }
                }
            }
            Some(_) => self.add_fault("fields are wanted here"),
        }
    }

    fn value_or_default<T>(
        &self,
        default: Option<T>,
        expected: &str,
        read: impl Fn(&Tree) -> Option<T>,
    ) -> Option<T> {
        match (self.tree(), default) {
            (None, Some(default)) => Some(default),
            (None, None) => {
                self.add_fault(format!("{expected} is wanted; nothing is there"));
                None
            }
            (Some(tree), default) => read(tree).or_else(|| {
                self.add_fault(format!("{expected} is wanted"));
                default
            }),
        }
    }

    /// A number within a range; the usual one where nothing stands, if there is a usual one.
    pub fn number(&self, range: RangeInclusive<f64>, default: Option<f64>) -> f64 {
        let (low, high) = (range.start(), range.end());
        let expected = match high.is_finite() {
            true => format!("a number from {low} to {high}"),
            false => format!("a number from {low} up"),
        };
        let read = |t: &Tree| match t {
            Tree::Number(n) if n.is_finite() && range.contains(n) => Some(*n),
            _ => None,
        };
        self.value_or_default(default, &expected, read)
            .unwrap_or(*low)
    }

    /// A time in milliseconds, written with its unit.
    pub fn duration_ms(&self, range_ms: RangeInclusive<f64>, default_ms: Option<f64>) -> f64 {
        let (low, high) = (range_ms.start(), range_ms.end());
        let expected = format!("a time such as 250ms, 2s or 1m, from {low}ms to {high}ms");
        let read = |t: &Tree| match t {
            Tree::Text(text) => parse_duration_ms(text).filter(|ms| range_ms.contains(ms)),
            _ => None,
        };
        self.value_or_default(default_ms, &expected, read)
            .unwrap_or(*low)
    }

    pub fn boolean(&self, default: Option<bool>) -> bool {
        let read = |t: &Tree| match t {
            Tree::Flag(b) => Some(*b),
            _ => None,
        };
        self.value_or_default(default, "true or false", read)
            .unwrap_or(false)
    }

    /// A text that is not empty; numbers are taken as they are written.
    pub fn string(&self, default: Option<&str>) -> String {
        let read = |t: &Tree| match t {
            Tree::Text(text) if !text.is_empty() => Some(text.clone()),
            Tree::Number(n) => Some(n.to_string()),
            _ => None,
        };
        let default = default.map(str::to_string);
        self.value_or_default(default, "a text", read)
            .unwrap_or_default()
    }

    /// One of some words.
    pub fn choice<T: Copy>(&self, words: &[(&str, T)], default: Option<T>) -> T {
        let names: Vec<&str> = words.iter().map(|w| w.0).collect();
        let expected = format!("one of {}", names.join(", "));
        let read = |t: &Tree| match t {
            Tree::Text(text) => words.iter().find(|w| w.0 == text).map(|w| w.1),
            _ => None,
        };
        self.value_or_default(default, &expected, read)
            .unwrap_or(words[0].1)
    }

    /// A text that a function can read.
    pub fn parsed<T>(
        &self,
        expected: &str,
        default: Option<T>,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.value_or_default(default, expected, |t| match t {
            Tree::Text(text) => read(text),
            _ => None,
        })
    }

    /// The elements of a list; none where nothing stands.
    pub fn list(&self) -> Vec<FieldReader<'a>> {
        match self.tree() {
            None => Vec::new(),
            Some(Tree::List(nodes)) => {
                let place = |(i, node): (usize, &'a Node)| FieldReader {
                    file: self.file,
                    faults: self.faults,
                    node: Some(node),
                    line: node.line,
                    path: format!("{}[{i}]", self.path),
                    fields_read: RefCell::default(),
                };
                nodes.iter().enumerate().map(place).collect()
            }
            Some(_) => {
                self.add_fault("a list is wanted");
                Vec::new()
            }
        }
    }

    /// The line that this stands in.
    pub fn line(&self) -> u64 {
        self.line
    }
}

/// A time in milliseconds from a number and its unit.
pub fn parse_duration_ms(text: &str) -> Option<f64> {
    let text = text.trim();
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: f64 = digits.trim_end().parse().ok()?;
    let unit = match &text[digits.len()..] {
        "us" => 1e-3,
        "ms" => 1.0,
        "s" => 1e3,
        "m" => 6e4,
        "h" => 3.6e6,
        _ => return None,
    };
    (number.is_finite() && number >= 0.0).then_some(number * unit)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(at: &FieldReader) -> (f64, f64, String, Vec<String>) {
        let inner = at.field("channel");
        let lines = inner.field("lines").number(1.0..=100.0, None);
        let way = inner.field("way").duration_ms(0.0..=1e4, Some(200.0));
        inner.deny_unknown_fields();
        let name = at.field("name").string(None);
        let zones = at.field("zones").list();
        let zones = zones.iter().map(|z| z.string(None)).collect();
        at.deny_unknown_fields();
        (lines, way, name, zones)
    }

    #[test]
    fn what_is_written_is_read() {
        let text = "name: portal\nzones: [a, b]\nchannel:\n  lines: 7\n  way: 1.5s\n";
        let zones = vec!["a".to_string(), "b".to_string()];
        let expected = (7.0, 1500.0, "portal".to_string(), zones);
        assert_eq!(read("f", text, sample), Ok(expected));
        assert_eq!(
            read("f", "name: p\nchannel: {lines: 1}", sample).unwrap().1,
            200.0
        );
    }

    #[test]
    fn all_faults_are_told_at_once_with_their_lines() {
        let text = "nam: portal\nzones: x\nchannel:\n  lines: 700\n  way: 15\n  more: 1\n";
        let faults = read("f.yaml", text, sample).unwrap_err();
        let reported: Vec<(u64, &str)> = faults
            .0
            .iter()
            .map(|f| (f.line, f.field.as_str()))
            .collect();
        let expected = [
            (1, "nam"),
            (1, "name"),
            (2, "zones"),
            (4, "channel.lines"),
            (5, "channel.way"),
            (6, "channel.more"),
        ];
        assert_eq!(reported, expected);
        let message = faults.to_string();
        assert!(message.contains("f.yaml:4: channel.lines: a number from 1 to 100 is wanted"));
    }

    #[test]
    fn what_is_no_yaml_is_one_fault() {
        let cases = [
            "a: [1",
            "a: 1\n b: 2\n  - c",
            "a: 1\na: 2\n",
            "\t- x: y: z",
            "&a [*a]",
        ];
        for text in cases {
            let faults = read("f", text, |at| at.field("a").list().len());
            assert!(faults.is_err(), "{text:?}");
        }
        assert!(read("f", &"x".repeat(MAX_FILE_BYTES + 1), |_| ()).is_err());
    }

    #[test]
    fn times_have_units() {
        let cases = [
            ("250ms", Some(250.0)),
            ("2 s", Some(2000.0)),
            ("1.5m", Some(90_000.0)),
            ("40us", Some(0.04)),
            ("5", None),
            ("-1s", None),
            ("s", None),
            ("1 year", None),
            ("infs", None),
        ];
        for (text, expected) in cases {
            assert_eq!(parse_duration_ms(text), expected, "{text}");
        }
    }
}
