//! The file format. A file starts with a header of 24 bytes: magic, schema version, kind, whether
//! it is keyed, and its generation. Frames follow: length (u32, little endian); CRC-32 of the
//! generation, the frame's number and the payload; in a keyed file 32 bytes of an HMAC-SHA-256
//! chained over all preceding frames; the payload.
//!
//! So a frame from another file or from another position is rejected, and frames cannot be added
//! without the key.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const MAGIC: &[u8; 8] = b"dahlmem\0";
/// The schema version that is written. Older versions are read; version 1 had no values kept by
/// hooks.
pub const SCHEMA: u8 = 2;
const HEAD: usize = 24;
/// A longer frame is treated as corrupt.
const LONGEST: usize = 1 << 20;

/// The kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Changes since the snapshot of the same generation.
    Journal,
    /// The whole state at one time.
    Snapshot,
}

impl Kind {
    /// The byte that marks the kind in the header.
    fn letter(self) -> u8 {
        match self {
            Kind::Journal => b'J',
            Kind::Snapshot => b'S',
        }
    }
}

/// The key that authenticates files; without one they only have checksums.
#[derive(Clone, Default)]
pub struct Key(pub Option<Vec<u8>>);

/// The position in a file at which frames are written or read.
#[derive(Clone)]
pub struct FrameChain {
    generation: u64,
    number: u64,
    key: Key,
    mac: [u8; 32],
}

impl FrameChain {
    /// Starts at the first frame of a file of this generation.
    pub fn new(generation: u64, key: &Key) -> FrameChain {
        FrameChain {
            generation,
            number: 0,
            key: key.clone(),
            mac: [0; 32],
        }
    }

    /// The header of a file.
    pub fn head(&self, kind: Kind) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.extend([SCHEMA, kind.letter(), u8::from(self.key.0.is_some())]);
        out.extend([0; 5]);
        out.extend(self.generation.to_le_bytes());
        out
    }

    /// The checksum of the next frame with this payload.
    fn crc(&self, bytes: &[u8]) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        sum.update(&self.generation.to_le_bytes());
        sum.update(&self.number.to_le_bytes());
        sum.update(bytes);
        sum.finalize()
    }

    /// The MAC of the next frame with this payload; `None` without a key.
    fn next_mac(&self, bytes: &[u8]) -> Option<[u8; 32]> {
        let key = self.key.0.as_ref()?;
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        mac.update(&self.mac);
        mac.update(&self.generation.to_le_bytes());
        mac.update(bytes);
        Some(mac.finalize().into_bytes().into())
    }

    /// Appends a frame to `out`.
    pub fn put(&mut self, out: &mut Vec<u8>, bytes: &[u8]) {
        out.extend((bytes.len() as u32).to_le_bytes());
        out.extend(self.crc(bytes).to_le_bytes());
        if let Some(mac) = self.next_mac(bytes) {
            out.extend(mac);
            self.mac = mac;
        }
        out.extend(bytes);
        self.number += 1;
    }

    /// Reads a frame; returns its payload and its length in the file. `None` if it is incomplete or
    /// does not belong here.
    fn take<'a>(&mut self, from: &'a [u8]) -> Option<(&'a [u8], usize)> {
        let keyed: usize = if self.key.0.is_some() { 32 } else { 0 };
        let word = |at: usize| Some(u32::from_le_bytes(from.get(at..at + 4)?.try_into().ok()?));
        let length = word(0)? as usize;
        let begin = 8 + keyed;
        if length > LONGEST {
            return None;
        }
        let bytes = from.get(begin..begin.checked_add(length)?)?;
        if word(4)? != self.crc(bytes) {
            return None;
        }
        if let Some(mac) = self.next_mac(bytes) {
            if from.get(8..8 + keyed)? != mac {
                return None;
            }
            self.mac = mac;
        }
        self.number += 1;
        Some((bytes, begin + length))
    }
}

/// Why a file is not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileError {
    /// Written by a newer version, with this schema; the file is left untouched.
    Newer(u8),
    /// The file is keyed and we have no key or another one, or the file is not keyed and we have a
    /// key.
    Key,
    /// The header is missing or not of this kind.
    NotOurs,
}

/// The contents of a file.
pub struct FileFrames<'a> {
    /// The generation in the header.
    pub generation: u64,
    /// Payloads in file order.
    pub frames: Vec<&'a [u8]>,
    /// Number of bytes after the last valid frame.
    pub left: usize,
}

/// Reads the frames of a file up to the first invalid one.
///
/// # Errors
/// Returns why the file is not read.
pub fn read<'a>(bytes: &'a [u8], kind: Kind, key: &Key) -> Result<FileFrames<'a>, FileError> {
    let head = bytes.get(..HEAD).ok_or(FileError::NotOurs)?;
    if head[..8] != MAGIC[..] || head[9] != kind.letter() {
        return Err(FileError::NotOurs);
    }
    if head[8] > SCHEMA {
        return Err(FileError::Newer(head[8]));
    }
    if (head[10] != 0) != key.0.is_some() {
        return Err(FileError::Key);
    }
    let number = head[16..24].try_into().map_err(|_| FileError::NotOurs)?;
    let generation = u64::from_le_bytes(number);
    let mut chain = FrameChain::new(generation, key);
    let (mut at, mut frames) = (HEAD, Vec::new());
    while let Some((frame, length)) = chain.take(&bytes[at..]) {
        frames.push(frame);
        at += length;
    }
    // A complete first frame with a wrong MAC was written with another key; a torn one would be
    // incomplete.
    if frames.is_empty() && key.0.is_some() && is_whole(&bytes[at..], generation) {
        return Err(FileError::Key);
    }
    Ok(FileFrames {
        generation,
        frames,
        left: bytes.len() - at,
    })
}

/// Whether the first frame of a keyed file is complete, ignoring its MAC.
fn is_whole(from: &[u8], generation: u64) -> bool {
    let length = from.get(..4).and_then(|b| b.try_into().ok());
    let length = length.map_or(usize::MAX, |b| u32::from_le_bytes(b) as usize);
    let sum = from.get(4..8).and_then(|b| b.try_into().ok());
    let bytes = 40_usize
        .checked_add(length)
        .and_then(|end| from.get(40..end));
    let chain = FrameChain::new(generation, &Key::default());
    bytes.is_some_and(|bytes| sum.map(u32::from_le_bytes) == Some(chain.crc(bytes)))
}
