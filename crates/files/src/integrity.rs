//! Integrity tags of published files and spool messages: an HMAC where keys are configured, else a checksum.
//!
//! A key file has one or two lines, each `name = hex of at least 16 bytes`. The first key signs; all of them
//! verify. So a key is rotated in three steps: add the new one as the second everywhere, swap the two, remove the old.

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Shorter keys are refused.
const MIN_KEY_BYTES: usize = 16;
/// The current key, and the old or new one during a rotation.
const MAX_KEYS: usize = 2;

/// Bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let pair = |p: &[u8]| {
        let text = std::str::from_utf8(p).ok()?;
        u8::from_str_radix(text, 16).ok()
    };
    let valid = digits.len().is_multiple_of(2) && digits.iter().all(u8::is_ascii_hexdigit);
    valid.then(|| digits.chunks(2).map(pair).collect())?
}

/// The SHA-256 checksum of bytes, in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// The configured keys, each with its name; without any, tags are checksums.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Keys(Vec<(String, Vec<u8>)>);

impl std::fmt::Debug for Keys {
    /// Names only, so that no key is logged.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|k| &k.0)).finish()
    }
}

impl Keys {
    /// Reads a key file's text.
    ///
    /// # Errors
    /// The file and line, and what is expected there.
    pub fn parse(file: &str, text: &str) -> Result<Keys, String> {
        let mut keys: Vec<(String, Vec<u8>)> = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let error = |what: &str| format!("{file}:{}: {what}", i + 1);
            let (name, key) = line
                .split_once('=')
                .ok_or_else(|| error("`name = hexadecimal key` is expected"))?;
            let (name, key) = (name.trim().to_string(), unhex(key.trim()));
            let key = key.filter(|k| k.len() >= MIN_KEY_BYTES);
            let key =
                key.ok_or_else(|| error("hexadecimal digits of at least 16 bytes are expected"))?;
            if name.is_empty() || keys.iter().any(|(n, _)| *n == name) {
                return Err(error("the name is empty or used by another key"));
            }
            keys.push((name, key));
        }
        match keys.len() {
            0 => Err(format!("{file}:1: at least one key is expected")),
            n if n > MAX_KEYS => Err(format!(
                "{file}: one key is expected, or two during a rotation"
            )),
            _ => Ok(Keys(keys)),
        }
    }

    fn mac(key: &[u8], text: &[u8]) -> Hmac<Sha256> {
        // HMAC accepts keys of any length.
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length");
        mac.update(text);
        mac
    }

    /// The key that signs, without its name.
    pub fn signing_key(&self) -> Option<Vec<u8>> {
        self.0.first().map(|(_, key)| key.clone())
    }

    /// The tag of a text: `sha256 <checksum>`, or `hmac <key's name> <signature>`.
    pub fn tag(&self, text: &[u8]) -> String {
        match self.0.first() {
            None => format!("sha256 {}", sha256_hex(text)),
            Some((name, key)) => {
                let sum = hex(&Keys::mac(key, text).finalize().into_bytes());
                format!("hmac {name} {sum}")
            }
        }
    }

    /// Verifies the tag of a text.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn verify_tag(&self, text: &[u8], tag: &str) -> Result<(), String> {
        let words: Vec<&str> = tag.split(' ').collect();
        match (words.as_slice(), self.0.is_empty()) {
            (["sha256", received], true) if *received == sha256_hex(text) => Ok(()),
            (["sha256", _], true) => Err("the checksum differs".into()),
            (["sha256", _], false) => Err("it is not signed".into()),
            (["hmac", ..], true) => Err("it is signed, and no key is configured".into()),
            (["hmac", name, received], false) => {
                let key = self.0.iter().find(|(n, _)| n == name);
                let (_, key) = key.ok_or_else(|| format!("no key {name:?} is known"))?;
                let received = unhex(received).ok_or("the signature is no hexadecimal text")?;
                let verified = Keys::mac(key, text).verify_slice(&received);
                verified.map_err(|_| "the signature is not ours".to_string())
            }
            _ => Err("no seal".into()),
        }
    }

    /// A text of one line, followed by its tag on the next.
    pub fn add_tag(&self, text: &str) -> String {
        format!("{text}\n{}\n", self.tag(text.as_bytes()))
    }

    /// Verifies what [`Keys::add_tag`] returned and gives the text without the tag.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn verified_text<'a>(&self, bytes: &'a [u8]) -> Result<&'a str, String> {
        let text = std::str::from_utf8(bytes).map_err(|_| "no text")?;
        let complete = text
            .strip_suffix('\n')
            .ok_or("truncated: no newline at the end")?;
        let (text, tag) = complete.rsplit_once('\n').ok_or("no seal")?;
        self.verify_tag(text.as_bytes(), tag).map(|()| text)
    }
}

#[cfg(test)]
mod tests;
