//! Source text to tokens. A newline ends a statement where one can end, as in `x = 1`; within parentheses and
//! brackets, and after an operator, it is space. Comments are kept for the formatter.

use crate::fault::{Fault, Span};

/// A source may be so long, in bytes, and one text in it.
pub const MOST_SOURCE: usize = 256 * 1024;
const MOST_TEXT: usize = 4 * 1024;

#[derive(Clone, Debug, PartialEq)]
pub enum Token {
    Name(String),
    /// A plain number, or one with `%`.
    Number(f64),
    /// Milliseconds.
    Time(f64),
    Text(String),
    Word(Word),
    Sign(&'static str),
    Newline,
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Keep,
    Const,
    Fn,
    On,
    Every,
    Let,
    Var,
    If,
    Else,
    For,
    In,
    While,
    Break,
    Continue,
    Return,
    Wish,
    Because,
    Fail,
    And,
    Or,
    Not,
    True,
    False,
    Ready,
    Draining,
    Gone,
}

pub const WORDS: [(&str, Word); 26] = [
    ("keep", Word::Keep),
    ("const", Word::Const),
    ("fn", Word::Fn),
    ("on", Word::On),
    ("every", Word::Every),
    ("let", Word::Let),
    ("var", Word::Var),
    ("if", Word::If),
    ("else", Word::Else),
    ("for", Word::For),
    ("in", Word::In),
    ("while", Word::While),
    ("break", Word::Break),
    ("continue", Word::Continue),
    ("return", Word::Return),
    ("wish", Word::Wish),
    ("because", Word::Because),
    ("fail", Word::Fail),
    ("and", Word::And),
    ("or", Word::Or),
    ("not", Word::Not),
    ("true", Word::True),
    ("false", Word::False),
    ("ready", Word::Ready),
    ("draining", Word::Draining),
    ("gone", Word::Gone),
];

const SIGNS: [&str; 22] = [
    "->", "==", "!=", "<=", ">=", "=", "<", ">", "+", "-", "*", "/", "(", ")", "[", "]", "{", "}",
    ",", ".", ":", ";",
];

/// Units of time, in milliseconds; the longer name first where one begins another.
pub const UNITS: [(&str, f64); 5] = [
    ("ms", 1.0),
    ("s", 1e3),
    ("m", 60e3),
    ("h", 3.6e6),
    ("d", 86.4e6),
];

/// A token with its place, and the comments before it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    pub token: Token,
    pub at: Span,
    /// Comments on lines of their own before it.
    pub lead: Vec<String>,
    /// A blank line stands before it (or before its comments).
    pub gap: bool,
    /// A comment behind it on the same line; only on newlines.
    pub trail: Option<String>,
}

struct Lexer<'a> {
    source: &'a str,
    at: usize,
    out: Vec<Placed>,
    lead: Vec<String>,
    newlines: usize,
    gap: bool,
    depth: usize,
}

/// # Errors
/// The first thing that is no token.
pub fn tokens(source: &str) -> Result<Vec<Placed>, Fault> {
    if source.len() > MOST_SOURCE {
        let what = format!("the file has over {} KiB", MOST_SOURCE / 1024);
        return Err(Fault::new(Span::default(), what).hint("hooks are small: split it"));
    }
    let mut lexer = Lexer {
        source,
        at: 0,
        out: Vec::new(),
        lead: Vec::new(),
        newlines: 0,
        gap: false,
        depth: 0,
    };
    while lexer.one()? {}
    Ok(lexer.out)
}

/// Whether a statement can end with this.
fn can_end(token: &Token) -> bool {
    match token {
        Token::Name(_) | Token::Number(_) | Token::Time(_) | Token::Text(_) => true,
        Token::Sign(s) => matches!(*s, ")" | "]" | "}" | ">"),
        Token::Word(w) => matches!(
            w,
            Word::True
                | Word::False
                | Word::Ready
                | Word::Draining
                | Word::Gone
                | Word::Break
                | Word::Continue
                | Word::Return
        ),
        Token::Newline | Token::End => false,
    }
}

impl Lexer<'_> {
    fn rest(&self) -> &str {
        &self.source[self.at..]
    }

    fn span(&self, from: usize) -> Span {
        Span {
            from: from as u32,
            to: self.at as u32,
        }
    }

    fn put(&mut self, token: Token, from: usize) {
        let at = self.span(from);
        let newline = token == Token::Newline;
        let lead = if newline {
            Vec::new()
        } else {
            std::mem::take(&mut self.lead)
        };
        let gap = !newline && (self.gap || self.newlines > 1);
        if !newline {
            (self.newlines, self.gap) = (0, false);
        }
        self.out.push(Placed {
            token,
            at,
            lead,
            gap,
            trail: None,
        });
    }

    fn ends_statement(&self) -> bool {
        self.depth == 0 && self.out.last().is_some_and(|t| can_end(&t.token))
    }

    /// Takes one token, or space; tells whether there is more.
    fn one(&mut self) -> Result<bool, Fault> {
        let from = self.at;
        let Some(c) = self.rest().chars().next() else {
            if self.ends_statement() {
                self.put(Token::Newline, from);
            }
            self.put(Token::End, from);
            return Ok(false);
        };
        match c {
            '\n' => {
                self.at += 1;
                if self.ends_statement() {
                    self.put(Token::Newline, from);
                }
                self.newlines += 1;
            }
            ' ' | '\t' | '\r' => self.at += 1,
            '#' => {
                let line = self.rest().lines().next().unwrap_or("").to_string();
                self.at += line.len();
                let text = line[1..].trim_end().to_string();
                // Behind a statement it belongs to it, else to what follows.
                if self.ends_statement() && self.newlines == 0 {
                    self.put(Token::Newline, self.at);
                    if let Some(last) = self.out.last_mut() {
                        last.trail = Some(text);
                    }
                } else {
                    self.gap |= self.lead.is_empty() && self.newlines > 1;
                    self.lead.push(text);
                    self.newlines = 0;
                }
            }
            '"' => self.text(from)?,
            c if c.is_ascii_digit() => self.number(from)?,
            c if c.is_ascii_alphabetic() || c == '_' => {
                let long = self
                    .rest()
                    .find(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
                let name = &self.rest()[..long.unwrap_or(self.rest().len())];
                let token = match WORDS.iter().find(|(n, _)| *n == name) {
                    Some((_, word)) => Token::Word(*word),
                    None => Token::Name(name.to_string()),
                };
                self.at += name.len();
                self.put(token, from);
            }
            c => {
                let Some(sign) = SIGNS.iter().find(|s| self.rest().starts_with(**s)) else {
                    let at = Span {
                        from: from as u32,
                        to: (from + c.len_utf8()) as u32,
                    };
                    let fault = Fault::new(at, format!("{c:?} means nothing here"));
                    return Err(match c {
                        '&' | '|' | '!' => fault.hint("write: and, or, not"),
                        '\'' => fault.hint("texts are written \"so\""),
                        _ => fault,
                    });
                };
                self.at += sign.len();
                match *sign {
                    "(" | "[" => self.depth += 1,
                    ")" | "]" => self.depth = self.depth.saturating_sub(1),
                    _ => {}
                }
                let token = if *sign == ";" {
                    Token::Newline
                } else {
                    Token::Sign(sign)
                };
                self.put(token, from);
            }
        }
        Ok(true)
    }

    fn text(&mut self, from: usize) -> Result<(), Fault> {
        self.at += 1;
        let mut text = String::new();
        loop {
            let Some(c) = self.rest().chars().next().filter(|c| *c != '\n') else {
                return Err(
                    Fault::new(self.span(from), "the text does not end on its line")
                        .hint("a \" is missing; a line break in a text is written \\n"),
                );
            };
            self.at += c.len_utf8();
            match c {
                '"' => break,
                '\\' => {
                    let escaped = self.rest().chars().next();
                    let c = match escaped {
                        Some('n') => '\n',
                        Some('t') => '\t',
                        Some(c @ ('"' | '\\')) => c,
                        _ => {
                            let at = self.span(self.at - 1);
                            return Err(Fault::new(at, "no such escape")
                                .hint("there are \\n \\t \\\" and \\\\"));
                        }
                    };
                    self.at += 1;
                    text.push(c);
                }
                c => text.push(c),
            }
            if text.len() > MOST_TEXT {
                let what = format!("a text of over {MOST_TEXT} bytes");
                return Err(Fault::new(self.span(from), what));
            }
        }
        self.put(Token::Text(text), from);
        Ok(())
    }

    fn number(&mut self, from: usize) -> Result<(), Fault> {
        let digits = |s: &str| s.find(|c: char| !c.is_ascii_digit()).unwrap_or(s.len());
        self.at += digits(self.rest());
        let rest = self.rest();
        if rest.starts_with('.') && rest[1..].starts_with(|c: char| c.is_ascii_digit()) {
            self.at += 1;
            self.at += digits(self.rest());
        }
        let number: f64 = self.source[from..self.at].parse().unwrap_or(f64::INFINITY);
        let unit = self.rest();
        let long = unit.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
        let unit = unit[..long.unwrap_or(unit.len())].to_string();
        let token = if unit.is_empty() {
            match self.rest().starts_with('%') {
                true => {
                    self.at += 1;
                    Token::Number(number / 100.0)
                }
                false => Token::Number(number),
            }
        } else {
            self.at += unit.len();
            let found = UNITS.iter().find(|(name, _)| *name == unit);
            let Some((_, ms)) = found else {
                return Err(Fault::new(self.span(from), format!("{unit:?} is no unit"))
                    .hint("units of time are ms, s, m, h and d; shares are written 5%"));
            };
            Token::Time(number * ms)
        };
        let (Token::Number(n) | Token::Time(n)) = &token else {
            return Ok(());
        };
        if !n.is_finite() || n.abs() > 1e15 {
            return Err(Fault::new(
                self.span(from),
                "a number of at most 1e15 is wanted",
            ));
        }
        self.put(token, from);
        Ok(())
    }
}
