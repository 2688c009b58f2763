//! A message at the controller's address: a kind, then words `name=value`.

use std::str::FromStr;

/// Why a line is no good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No such message: whoever goes on like this is of no use.
    Unreadable,
    /// The kind is known; this field of it is missing, of another type, or out of range.
    Spoilt(&'static str),
}

/// The kind of a line, and the fields behind it.
///
/// # Errors
/// [`Fault::Unreadable`] when it is not text or a word is no pair.
pub fn split(line: &[u8]) -> Result<(&str, Words<'_>), Fault> {
    let text = std::str::from_utf8(line).map_err(|_| Fault::Unreadable)?;
    if text.bytes().any(|b| b.is_ascii_control()) {
        return Err(Fault::Unreadable);
    }
    let (kind, rest) = text.split_once(' ').unwrap_or((text, ""));
    Ok((kind, Words(rest)))
}

#[derive(Clone, Copy)]
pub struct Words<'a>(&'a str);

impl<'a> Words<'a> {
    fn get(&self, name: &'static str) -> Result<&'a str, Fault> {
        let mut pairs = self.0.split(' ').filter_map(|word| word.split_once('='));
        let found = pairs.find(|(field, _)| *field == name);
        found.map(|(_, value)| value).ok_or(Fault::Spoilt(name))
    }

    /// A text that is not empty.
    ///
    /// # Errors
    /// [`Fault::Spoilt`], as in all below.
    pub fn text(&self, name: &'static str) -> Result<&'a str, Fault> {
        let text = self.get(name)?;
        (!text.is_empty())
            .then_some(text)
            .ok_or(Fault::Spoilt(name))
    }

    pub fn whole<T: FromStr>(&self, name: &'static str) -> Result<T, Fault> {
        self.get(name)?.parse().map_err(|_| Fault::Spoilt(name))
    }

    /// A finite number from 0 to `most`.
    pub fn number(&self, name: &'static str, most: f64) -> Result<f64, Fault> {
        let value: f64 = self.get(name)?.parse().map_err(|_| Fault::Spoilt(name))?;
        let fits = value.is_finite() && (0.0..=most).contains(&value);
        fits.then_some(value).ok_or(Fault::Spoilt(name))
    }

    /// The place of a text among those that the settings name.
    pub fn among(&self, name: &'static str, known: &[String]) -> Result<usize, Fault> {
        let text = self.text(name)?;
        let at = known.iter().position(|k| k == text);
        at.ok_or(Fault::Spoilt(name))
    }
}
