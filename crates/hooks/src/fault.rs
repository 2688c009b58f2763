//! What is wrong with a source, or went wrong while it ran: where, what, and what would help.

use std::fmt::Write;

/// A stretch of a source, in bytes. Two spans are always equal: trees are compared by what they say.
#[derive(Clone, Copy, Debug, Default)]
pub struct Span {
    pub from: u32,
    pub to: u32,
}

impl PartialEq for Span {
    fn eq(&self, _: &Span) -> bool {
        true
    }
}

impl Span {
    pub fn to(self, other: Span) -> Span {
        Span {
            from: self.from,
            to: other.to.max(self.to),
        }
    }
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: Span,
    pub what: String,
    pub hint: Option<String>,
}

impl Fault {
    pub fn new(at: Span, what: impl Into<String>) -> Fault {
        Fault {
            at,
            what: what.into(),
            hint: None,
        }
    }

    pub fn hint(mut self, hint: impl Into<String>) -> Fault {
        self.hint = Some(hint.into());
        self
    }
}

/// Line and column, from 1, of a byte of a source; columns are characters.
pub fn place(source: &str, at: u32) -> (usize, usize) {
    let mut at = (at as usize).min(source.len());
    while !source.is_char_boundary(at) {
        at -= 1;
    }
    let before = &source[..at];
    let line = before.matches('\n').count() + 1;
    let begin = before.rfind('\n').map_or(0, |n| n + 1);
    (line, before[begin..].chars().count() + 1)
}

/// A fault for a person: file, line, column, the line itself with a caret under what is meant, and a hint.
pub fn told(file: &str, source: &str, fault: &Fault) -> String {
    let (line, column) = place(source, fault.at.from);
    let text = source.lines().nth(line - 1).unwrap_or("");
    // Tabs and control characters would put the caret elsewhere.
    let text: String = text
        .chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    let (to_line, to_column) = place(source, fault.at.to);
    let long = match to_line == line {
        true => to_column.saturating_sub(column).max(1),
        false => text.chars().count().saturating_sub(column - 1).max(1),
    };
    let mut out = String::new();
    let _ = writeln!(out, "{file}:{line}:{column}: {}", fault.what);
    let _ = writeln!(out, "  | {text}");
    let _ = writeln!(out, "  | {}{}", " ".repeat(column - 1), "^".repeat(long));
    if let Some(hint) = &fault.hint {
        let _ = writeln!(out, "  = {hint}");
    }
    out
}
