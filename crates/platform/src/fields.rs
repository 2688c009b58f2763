//! Parses an inbound line: its kind, then fields of the form `name=value`, separated by spaces.

use std::str::FromStr;

/// Why a line is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LineError {
    /// The line is not a known message.
    Malformed,
    /// The kind is known, but the named field is missing, of the wrong type, or out of range.
    InvalidField(&'static str),
}

/// Splits a line into its kind and its fields.
///
/// # Errors
/// [`LineError::Malformed`] when the line is not UTF-8 or contains control characters.
pub fn split_kind(line: &[u8]) -> Result<(&str, Fields<'_>), LineError> {
    let text = std::str::from_utf8(line).map_err(|_| LineError::Malformed)?;
    if text.bytes().any(|b| b.is_ascii_control()) {
        return Err(LineError::Malformed);
    }
    let (kind, rest) = text.split_once(' ').unwrap_or((text, ""));
    Ok((kind, Fields(rest)))
}

/// The `name=value` fields of a line. Unknown fields and words without `=` are ignored.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// Returns the first value of the field.
    fn get(&self, name: &'static str) -> Result<&'a str, LineError> {
        let mut fields = self.0.split(' ').filter_map(|word| word.split_once('='));
        let found = fields.find(|(field, _)| *field == name);
        found
            .map(|(_, value)| value)
            .ok_or(LineError::InvalidField(name))
    }

    /// Returns the field as a non-empty string.
    ///
    /// # Errors
    /// [`LineError::InvalidField`] when the field is missing or invalid, as for the other types.
    pub fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        let text = self.get(name)?;
        (!text.is_empty())
            .then_some(text)
            .ok_or(LineError::InvalidField(name))
    }

    /// Returns the field as an integer of type `T`.
    pub fn integer<T: FromStr>(&self, name: &'static str) -> Result<T, LineError> {
        self.get(name)?
            .parse()
            .map_err(|_| LineError::InvalidField(name))
    }

    /// Returns the field as a finite number from 0 to `max`.
    pub fn number(&self, name: &'static str, max: f64) -> Result<f64, LineError> {
        let value: f64 = self
            .get(name)?
            .parse()
            .map_err(|_| LineError::InvalidField(name))?;
        let is_valid = value.is_finite() && (0.0..=max).contains(&value);
        is_valid
            .then_some(value)
            .ok_or(LineError::InvalidField(name))
    }

    /// Returns the index of the field's value in `known`.
    pub fn index_in(&self, name: &'static str, known: &[String]) -> Result<usize, LineError> {
        let text = self.text(name)?;
        let index = known.iter().position(|k| k == text);
        index.ok_or(LineError::InvalidField(name))
    }
}
