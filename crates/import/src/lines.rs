//! httpd's lines and words, with where each stands: a backslash at the end of a line continues it, `#` as the first
//! character makes a comment of it, words are parted by space and may be quoted.

use std::ops::Range;

/// A word: its text without quotes, and the bytes that it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    pub text: String,
    pub bytes: Range<usize>,
    pub quote: Option<char>,
}

/// A line that says something, with its first physical line's number, from 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub number: usize,
    pub words: Vec<Word>,
    /// `<Name ...>`: the words are without the brackets.
    pub opens: bool,
    /// `</Name>`
    pub closes: bool,
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq)]
pub struct Odd {
    pub number: usize,
    pub what: String,
}

/// A logical line's characters, with their places; joined where a backslash continues it.
fn logical(text: &str, from: usize) -> (Vec<(usize, char)>, usize, usize) {
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

/// All lines that say something.
///
/// # Errors
/// The lines that cannot be read as words.
pub fn lines(text: &str) -> Result<Vec<Line>, Vec<Odd>> {
    let (mut out, mut odd) = (Vec::new(), Vec::new());
    let (mut at, mut number) = (0, 1);
    while at < text.len() {
        let (chars, next, many) = logical(text, at);
        let said = chars.iter().position(|(_, c)| !c.is_whitespace());
        if let Some(first) = said.filter(|i| chars[*i].1 != '#') {
            match line(&chars[first..], number) {
                Ok(line) => out.push(line),
                Err(what) => odd.push(Odd { number, what }),
            }
        }
        at = next;
        number += many;
    }
    if odd.is_empty() { Ok(out) } else { Err(odd) }
}

fn line(chars: &[(usize, char)], number: usize) -> Result<Line, String> {
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
    let words = words(chars)?;
    if words.is_empty() {
        return Err("a section without a name".into());
    }
    Ok(Line {
        number,
        words,
        opens,
        closes,
    })
}

fn words(chars: &[(usize, char)]) -> Result<Vec<Word>, String> {
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
        out.push(Word {
            text,
            bytes: at..end,
            quote,
        });
    }
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_and_where_they_stand() {
        let text = "# c \\\n more\n  Balancer\\\nMember \"a \\\"b\" 'c d' e=f\\\r\n  g\r\n<Proxy x>\n</Proxy>\n#\n";
        let found = lines(text).unwrap();
        let told: Vec<(usize, Vec<&str>, bool, bool)> = found
            .iter()
            .map(|l| {
                (
                    l.number,
                    l.words.iter().map(|w| w.text.as_str()).collect(),
                    l.opens,
                    l.closes,
                )
            })
            .collect();
        let member = vec!["BalancerMember", "a \"b", "c d", "e=f", "g"];
        assert_eq!(
            told,
            [
                (3, member, false, false),
                (6, vec!["Proxy", "x"], true, false),
                (7, vec!["Proxy"], false, true),
            ]
        );
        let quoted = &found[0].words[1];
        assert_eq!(&text[quoted.bytes.clone()], "\"a \\\"b\"");
    }

    #[test]
    fn what_is_no_line_is_told() {
        let cases = [
            ("a \"b\n", "a \" is missing"),
            ("x\n<Proxy\n", "ends with >"),
            ("< >\n", "without a name"),
        ];
        for (text, wanted) in cases {
            let odd = lines(text).unwrap_err();
            assert!(odd[0].what.contains(wanted), "{text}: {odd:?}");
        }
    }
}
