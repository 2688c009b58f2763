//! Checksums and signatures of what is published and what comes back.
//!
//! A key file has one or two lines, each `name = hex of at least 16 bytes`. The first key signs; all of them
//! verify, so keys are changed in three steps: the new one second everywhere, then first, then alone.

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};
use std::fmt::Write;

const SHORTEST: usize = 16;
const MOST_KEYS: usize = 2;

/// The hexadecimal text of bytes.
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
    let whole = digits.len().is_multiple_of(2) && digits.iter().all(u8::is_ascii_hexdigit);
    whole.then(|| digits.chunks(2).map(pair).collect())?
}

/// The SHA-256 of bytes, in hexadecimal.
pub fn sha256_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// The keys in use; none: checksums alone.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Keys(Vec<(String, Vec<u8>)>);

impl std::fmt::Debug for Keys {
    /// Names alone: what keys are goes into no log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|k| &k.0)).finish()
    }
}

impl Keys {
    /// Reads a key file's text.
    ///
    /// # Errors
    /// The line, and what is wanted there.
    pub fn parse(file: &str, text: &str) -> Result<Keys, String> {
        let mut keys: Vec<(String, Vec<u8>)> = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = |what: &str| format!("{file}:{}: {what}", i + 1);
            let (name, key) = line
                .split_once('=')
                .ok_or_else(|| wrong("`name = hexadecimal key` is wanted"))?;
            let (name, key) = (name.trim().to_string(), unhex(key.trim()));
            let key = key.filter(|k| k.len() >= SHORTEST);
            let key =
                key.ok_or_else(|| wrong("hexadecimal digits of at least 16 bytes are wanted"))?;
            if name.is_empty() || keys.iter().any(|(n, _)| *n == name) {
                return Err(wrong("a name that no other key has is wanted"));
            }
            keys.push((name, key));
        }
        match keys.len() {
            0 => Err(format!("{file}:1: at least one key is wanted")),
            n if n > MOST_KEYS => Err(format!("{file}: one key is wanted, or two during a change")),
            _ => Ok(Keys(keys)),
        }
    }

    fn mac(key: &[u8], text: &[u8]) -> Hmac<Sha256> {
        // HMAC takes keys of any length.
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length");
        mac.update(text);
        mac
    }

    /// The key that seals, by itself.
    pub fn signing_key(&self) -> Option<Vec<u8>> {
        self.0.first().map(|(_, key)| key.clone())
    }

    /// A seal for a text: `sha256 <sum>`, or `hmac <key's name> <sum>`.
    pub fn tag(&self, text: &[u8]) -> String {
        match self.0.first() {
            None => format!("sha256 {}", sha256_hex(text)),
            Some((name, key)) => {
                let sum = hex(&Keys::mac(key, text).finalize().into_bytes());
                format!("hmac {name} {sum}")
            }
        }
    }

    /// Whether a seal is one of ours for that text.
    ///
    /// # Errors
    /// Why not.
    pub fn verify_tag(&self, text: &[u8], seal: &str) -> Result<(), String> {
        let words: Vec<&str> = seal.split(' ').collect();
        match (words.as_slice(), self.0.is_empty()) {
            (["sha256", told], true) if *told == sha256_hex(text) => Ok(()),
            (["sha256", _], true) => Err("the checksum differs".into()),
            (["sha256", _], false) => Err("it is not signed".into()),
            (["hmac", ..], true) => Err("it is signed, and no key is configured".into()),
            (["hmac", name, told], false) => {
                let key = self.0.iter().find(|(n, _)| n == name);
                let (_, key) = key.ok_or_else(|| format!("no key {name:?} is known"))?;
                let told = unhex(told).ok_or("the signature is no hexadecimal text")?;
                let verified = Keys::mac(key, text).verify_slice(&told);
                verified.map_err(|_| "the signature is not ours".to_string())
            }
            _ => Err("no seal".into()),
        }
    }

    /// A text and its seal, on two lines: what is put into a spool.
    pub fn add_tag(&self, text: &str) -> String {
        format!("{text}\n{}\n", self.tag(text.as_bytes()))
    }

    /// The text of what [`Keys::add_tag`] gave.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn verified_text<'a>(&self, bytes: &'a [u8]) -> Result<&'a str, String> {
        let text = std::str::from_utf8(bytes).map_err(|_| "no text")?;
        let whole = text.strip_suffix('\n').ok_or("cut off")?;
        let (said, seal) = whole.rsplit_once('\n').ok_or("no seal")?;
        self.verify_tag(said.as_bytes(), seal).map(|()| said)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: &str = "a = 000102030405060708090a0b0c0d0e0f\n";
    const B: &str = "b = ff0102030405060708090a0b0c0d0e0f\n";

    #[test]
    fn seals_hold_for_their_text_and_keys_alone() {
        let keys = |text: &str| Keys::parse("k", text).unwrap();
        let (none, a, b) = (Keys::default(), keys(A), keys(B));
        let both = keys(&format!("{B}{A}"));
        let cases = [
            ("no keys", &none, &none, true),
            ("one key", &a, &a, true),
            ("during a change: the old one signs", &a, &both, true),
            ("the new one signs", &both, &b, true),
            ("unsigned where keys are", &none, &a, false),
            ("signed where none are", &a, &none, false),
            ("another key", &b, &a, false),
        ];
        for (name, from, to, fine) in cases {
            let sealed = from.add_tag("said");
            assert_eq!(to.verified_text(sealed.as_bytes()).is_ok(), fine, "{name}");
            for i in 0..sealed.len() {
                let mut bent = sealed.clone().into_bytes();
                bent[i] ^= 1;
                assert!(to.verified_text(&bent).is_err(), "{name}: bent at {i}");
                assert!(to.verified_text(&bent[..i]).is_err(), "{name}: cut at {i}");
            }
        }
        for (text, line) in [("", 1), ("a = 00", 1), ("# k\na 00", 2)] {
            let why = Keys::parse("k", text).unwrap_err();
            assert!(why.starts_with(&format!("k:{line}:")), "{why}");
        }
        assert!(Keys::parse("k", &format!("{A}{A}")).is_err());
    }
}
