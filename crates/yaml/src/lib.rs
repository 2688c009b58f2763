//! Reader of YAML settings. A library parses the text into a tree with line numbers, and [`read`] takes
//! values from it field by field. Each fault is recorded with its file, line, field and a message, and
//! all faults are returned together. A field that the reader never asked for is a fault as well.

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// Largest text that [`read`] accepts; the whole file is held in memory.
const MAX_FILE_BYTES: usize = 16 << 20;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Name of the file as given to [`read`].
    pub file: String,
    /// Line number, from 1.
    pub line: u64,
    /// Path of the field, such as `channel.lines` or `zones[2]`; empty if the fault is of the whole file.
    pub field: String,
    /// What is expected or what is wrong.
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

/// All faults of a file, ordered by line. Displayed as one line of text for each fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// A parsed YAML value. The names of the variants appear in faults about keys that are not text.
#[derive(Clone, Debug)]
enum Tree {
    Nothing,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(Node, Node)>),
}

/// A value and the line that it starts on.
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

/// Builds a [`Tree`] from whatever the parser finds.
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

/// Parses a text and passes its root to `reader`, which reads the fields. `file` names the text in faults.
///
/// # Errors
/// The fault of a text that is too large or not YAML, otherwise all faults that `reader` recorded.
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
            format!("the file is larger than {MAX_FILE_BYTES} bytes"),
        ));
    }
    // Booleans by YAML 1.2, where `y` and `on` are strings: a server may have such a name.
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

/// Reads the value of one field. A missing field has a reader too, so callers need no check for presence.
pub struct FieldReader<'a> {
    file: &'a str,
    faults: &'a RefCell<Vec<Fault>>,
    node: Option<&'a Node>,
    line: u64,
    path: String,
    fields_read: RefCell<BTreeSet<String>>,
}

impl<'a> FieldReader<'a> {
    /// Records a fault of this field.
    pub fn add_fault(&self, message: impl Into<String>) {
        self.faults.borrow_mut().push(Fault {
            file: self.file.to_string(),
            line: self.line,
            field: self.path.clone(),
            message: message.into(),
        });
    }

    /// Whether the field is present and not null.
    pub fn is_present(&self) -> bool {
        self.node.is_some_and(|n| !matches!(n.tree, Tree::Nothing))
    }

    /// The value, if the field is present and not null.
    fn tree(&self) -> Option<&'a Tree> {
        let tree = self.node.map(|n| &n.tree);
        tree.filter(|t| !matches!(t, Tree::Nothing))
    }

    /// The reader of a field of this map. The name counts as known to [`FieldReader::deny_unknown_fields`].
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

    /// Records a fault for each field that [`FieldReader::field`] was not called with, and for a value that is
    /// not a map. Call it after all fields of a map were read.
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
                            message: format!(
                                "unknown field; known fields are {}",
                                known.join(", ")
                            ),
                        });
                    }
                }
            }
            Some(_) => self.add_fault("a map of fields is wanted"),
        }
    }

    /// The value as `read` converts it. The default stands in for a missing value, and for a wrong one once its
    /// fault is recorded. None after a fault without a default.
    fn value_or_default<T>(
        &self,
        default: Option<T>,
        expected: &str,
        read: impl Fn(&Tree) -> Option<T>,
    ) -> Option<T> {
        match (self.tree(), default) {
            (None, Some(default)) => Some(default),
            (None, None) => {
                self.add_fault(format!("{expected} is wanted; the field is missing"));
                None
            }
            (Some(tree), default) => read(tree).or_else(|| {
                self.add_fault(format!("{expected} is wanted"));
                default
            }),
        }
    }

    /// A number within a range. Without a default, a missing field is a fault and reads as the start of the range.
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

    /// A time in milliseconds within a range, written with its unit, such as `250ms`.
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

    /// `true` or `false`.
    pub fn boolean(&self, default: Option<bool>) -> bool {
        let read = |t: &Tree| match t {
            Tree::Flag(b) => Some(*b),
            _ => None,
        };
        self.value_or_default(default, "true or false", read)
            .unwrap_or(false)
    }

    /// A string that is not empty. A number is accepted and converted to text.
    pub fn string(&self, default: Option<&str>) -> String {
        let read = |t: &Tree| match t {
            Tree::Text(text) if !text.is_empty() => Some(text.clone()),
            Tree::Number(n) => Some(n.to_string()),
            _ => None,
        };
        let default = default.map(str::to_string);
        self.value_or_default(default, "a string", read)
            .unwrap_or_default()
    }

    /// One of the given words, as the value that belongs to it.
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

    /// A string as `read` parses it; none from `read` is a fault. `expected` describes the form for that fault.
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

    /// Readers of the elements of a list; empty if the field is missing.
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

    /// The line of the value, or of the map around it if the field is missing.
    pub fn line(&self) -> u64 {
        self.line
    }
}

/// Parses a time such as `250ms` or `1.5m` into milliseconds. None without one of the units us, ms, s, m and h.
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
mod tests;
