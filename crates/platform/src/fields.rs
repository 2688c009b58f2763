//! A message at the controller's address: a kind, then words `name=value`.

use std::str::FromStr;

/// Why a line is no good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LineError {
    /// No such message: whoever goes on like this is of no use.
    Malformed,
    /// The kind is known; this field of it is missing, of another type, or out of range.
    InvalidField(&'static str),
}

/// The kind of a line, and the fields behind it.
///
/// # Errors
/// [`LineError::Malformed`] when it is not text or a word is no pair.
pub fn split_kind(line: &[u8]) -> Result<(&str, Fields<'_>), LineError> {
    let text = std::str::from_utf8(line).map_err(|_| LineError::Malformed)?;
    if text.bytes().any(|b| b.is_ascii_control()) {
        return Err(LineError::Malformed);
    }
    let (kind, rest) = text.split_once(' ').unwrap_or((text, ""));
    Ok((kind, Fields(rest)))
}

#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn get(&self, name: &'static str) -> Result<&'a str, LineError> {
        let mut pairs = self.0.split(' ').filter_map(|word| word.split_once('='));
        let found = pairs.find(|(field, _)| *field == name);
        found
            .map(|(_, value)| value)
            .ok_or(LineError::InvalidField(name))
    }

    /// A text that is not empty.
    ///
    /// # Errors
    /// [`LineError::InvalidField`], as in all below.
    pub fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        let text = self.get(name)?;
        (!text.is_empty())
            .then_some(text)
            .ok_or(LineError::InvalidField(name))
    }

    pub fn integer<T: FromStr>(&self, name: &'static str) -> Result<T, LineError> {
        self.get(name)?
            .parse()
            .map_err(|_| LineError::InvalidField(name))
    }

    /// A finite number from 0 to `most`.
    pub fn number(&self, name: &'static str, most: f64) -> Result<f64, LineError> {
        let value: f64 = self
            .get(name)?
            .parse()
            .map_err(|_| LineError::InvalidField(name))?;
        let fits = value.is_finite() && (0.0..=most).contains(&value);
        fits.then_some(value).ok_or(LineError::InvalidField(name))
    }

    /// The place of a text among those that the settings name.
    pub fn index_in(&self, name: &'static str, known: &[String]) -> Result<usize, LineError> {
        let text = self.text(name)?;
        let at = known.iter().position(|k| k == text);
        at.ok_or(LineError::InvalidField(name))
    }
}
