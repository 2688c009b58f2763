//! Splits httpd's configuration into lines and tokens with their positions: a backslash at the end of a line continues
//! it, `#` as the first character starts a comment, tokens are separated by white space and may be quoted.

use std::ops::Range;

/// A token: its text without quotes, and its bytes in the file, quotes included.
#[derive(Clone, Debug, PartialEq)]
pub struct Token {
    pub text: String,
    pub bytes: Range<usize>,
    /// The quotation mark around it.
    pub quote: Option<char>,
}

/// A logical line that is neither empty nor a comment.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The number of its first physical line, from 1.
    pub number: usize,
    pub tokens: Vec<Token>,
    /// `<Name ...>`: the tokens are without the brackets.
    pub opens: bool,
    /// `</Name>`.
    pub closes: bool,
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq)]
pub struct SyntaxError {
    pub line: usize,
    pub message: String,
}

/// The characters of the logical line that starts at `from`, with their positions; the start of the next one; and the
/// number of its physical lines.
fn logical_line(text: &str, from: usize) -> (Vec<(usize, char)>, usize, usize) {
    let mut out = Vec::new();
    let mut lines = 1;
    let mut chars = text[from..]
        .char_indices()
        .map(|(i, c)| (from + i, c))
        .peekable();
    while let Some((at, c)) = chars.next() {
        match c {
            '\n' => return (out, at + 1, lines),
            '\r' if matches!(chars.peek(), Some((_, '\n'))) => {}
            '\\' => {
                let rest = &text[at + 1..];
                let skip = if rest.starts_with("\r\n") {
                    2
                } else {
                    usize::from(rest.starts_with('\n'))
                };
                match skip {
                    0 => out.push((at, c)),
                    n => {
                        (0..n).for_each(|_| {
                            chars.next();
                        });
                        lines += 1;
                    }
                }
            }
            c => out.push((at, c)),
        }
    }
    (out, text.len(), lines)
}

/// All lines but empty ones and comments.
///
/// # Errors
/// The lines that cannot be split into tokens.
pub fn tokenize(text: &str) -> Result<Vec<Line>, Vec<SyntaxError>> {
    let (mut lines, mut errors) = (Vec::new(), Vec::new());
    let (mut at, mut number) = (0, 1);
    while at < text.len() {
        let (chars, next, line_count) = logical_line(text, at);
        let first = chars.iter().position(|(_, c)| !c.is_whitespace());
        if let Some(first) = first.filter(|i| chars[*i].1 != '#') {
            match parse_line(&chars[first..], number) {
                Ok(line) => lines.push(line),
                Err(message) => errors.push(SyntaxError {
                    line: number,
                    message,
                }),
            }
        }
        at = next;
        number += line_count;
    }
    if errors.is_empty() {
        Ok(lines)
    } else {
        Err(errors)
    }
}

fn parse_line(chars: &[(usize, char)], number: usize) -> Result<Line, String> {
    let mut chars = chars;
    while chars.last().is_some_and(|(_, c)| c.is_whitespace()) {
        chars = &chars[..chars.len() - 1];
    }
    let is = |i: usize, c: char| chars.get(i).is_some_and(|x| x.1 == c);
    let (opens, closes) = (is(0, '<') && !is(1, '/'), is(0, '<') && is(1, '/'));
    if opens || closes {
        if chars.last().is_none_or(|x| x.1 != '>') {
            return Err("a section's line ends with >".into());
        }
        chars = &chars[1 + usize::from(closes)..chars.len() - 1];
    }
    let tokens = tokens(chars)?;
    if tokens.is_empty() {
        return Err("a section without a name".into());
    }
    Ok(Line {
        number,
        tokens,
        opens,
        closes,
    })
}

fn tokens(chars: &[(usize, char)]) -> Result<Vec<Token>, String> {
    let mut out = Vec::new();
    let mut i = 0;
    while i < chars.len() {
        let (at, c) = chars[i];
        if c.is_whitespace() {
            i += 1;
            continue;
        }
        let quote = Some(c).filter(|c| matches!(c, '"' | '\''));
        let mut text = String::new();
        let mut end = at + c.len_utf8();
        if let Some(quote) = quote {
            i += 1;
            loop {
                let Some((at, c)) = chars.get(i).copied() else {
                    return Err(format!("a {quote} is missing"));
                };
                i += 1;
                end = at + c.len_utf8();
                match c {
                    '\\' if chars.get(i).is_some_and(|x| x.1 == quote || x.1 == '\\') => {
                        text.push(chars[i].1);
                        i += 1;
                    }
                    c if c == quote => break,
                    c => text.push(c),
                }
            }
        } else {
            while let Some((at, c)) = chars.get(i).copied().filter(|x| !x.1.is_whitespace()) {
                text.push(c);
                end = at + c.len_utf8();
                i += 1;
            }
        }
        out.push(Token {
            text,
            bytes: at..end,
            quote,
        });
    }
    Ok(out)
}

#[cfg(test)]
mod tests;
