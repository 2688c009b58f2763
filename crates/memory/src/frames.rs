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
const HEADER_BYTES: usize = 24;
/// A longer frame is treated as corrupt.
const MAX_PAYLOAD_BYTES: usize = 1 << 20;

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
    fn tag(self) -> u8 {
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
    frame_number: u64,
    key: Key,
    mac: [u8; 32],
}

impl FrameChain {
    /// Starts at the first frame of a file of this generation.
    pub fn new(generation: u64, key: &Key) -> FrameChain {
        FrameChain {
            generation,
            frame_number: 0,
            key: key.clone(),
            mac: [0; 32],
        }
    }

    /// The header of a file.
    pub fn header(&self, kind: Kind) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.extend([SCHEMA, kind.tag(), u8::from(self.key.0.is_some())]);
        out.extend([0; 5]);
        out.extend(self.generation.to_le_bytes());
        out
    }

    /// The checksum of the next frame with this payload.
    fn crc(&self, payload: &[u8]) -> u32 {
        let mut crc = crc32fast::Hasher::new();
        crc.update(&self.generation.to_le_bytes());
        crc.update(&self.frame_number.to_le_bytes());
        crc.update(payload);
        crc.finalize()
    }

    /// The MAC of the next frame with this payload; `None` without a key.
    fn next_mac(&self, payload: &[u8]) -> Option<[u8; 32]> {
        let key = self.key.0.as_ref()?;
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        mac.update(&self.mac);
        mac.update(&self.generation.to_le_bytes());
        mac.update(payload);
        Some(mac.finalize().into_bytes().into())
    }

    /// Appends a frame to `out`.
    pub fn append(&mut self, out: &mut Vec<u8>, payload: &[u8]) {
        out.extend((payload.len() as u32).to_le_bytes());
        out.extend(self.crc(payload).to_le_bytes());
        if let Some(mac) = self.next_mac(payload) {
            out.extend(mac);
            self.mac = mac;
        }
        out.extend(payload);
        self.frame_number += 1;
    }

    /// Reads a frame; returns its payload and its length in the file. `None` if it is incomplete or
    /// does not belong here.
    fn next_frame<'a>(&mut self, from: &'a [u8]) -> Option<(&'a [u8], usize)> {
        let mac_bytes: usize = if self.key.0.is_some() { 32 } else { 0 };
        let read_u32 = |at: usize| Some(u32::from_le_bytes(from.get(at..at + 4)?.try_into().ok()?));
        let length = read_u32(0)? as usize;
        let payload_start = 8 + mac_bytes;
        if length > MAX_PAYLOAD_BYTES {
            return None;
        }
        let payload = from.get(payload_start..payload_start.checked_add(length)?)?;
        if read_u32(4)? != self.crc(payload) {
            return None;
        }
        if let Some(mac) = self.next_mac(payload) {
            if from.get(8..8 + mac_bytes)? != mac {
                return None;
            }
            self.mac = mac;
        }
        self.frame_number += 1;
        Some((payload, payload_start + length))
    }
}

/// Why a file is not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileError {
    /// Written by a newer version, with this schema; the file is left untouched.
    NewerSchema(u8),
    /// The file is keyed and we have no key or another one, or the file is not keyed and we have a
    /// key.
    WrongKey,
    /// The header is missing or not of this kind.
    UnknownFormat,
}

/// The contents of a file.
pub struct FileFrames<'a> {
    /// The generation in the header.
    pub generation: u64,
    /// Payloads in file order.
    pub frames: Vec<&'a [u8]>,
    /// Number of bytes after the last valid frame.
    pub trailing_bytes: usize,
}

/// Reads the frames of a file up to the first invalid one.
///
/// # Errors
/// Returns why the file is not read.
pub fn read<'a>(bytes: &'a [u8], kind: Kind, key: &Key) -> Result<FileFrames<'a>, FileError> {
    let header = bytes.get(..HEADER_BYTES).ok_or(FileError::UnknownFormat)?;
    if header[..8] != MAGIC[..] || header[9] != kind.tag() {
        return Err(FileError::UnknownFormat);
    }
    if header[8] > SCHEMA {
        return Err(FileError::NewerSchema(header[8]));
    }
    if (header[10] != 0) != key.0.is_some() {
        return Err(FileError::WrongKey);
    }
    let generation = header[16..24]
        .try_into()
        .map_err(|_| FileError::UnknownFormat)?;
    let generation = u64::from_le_bytes(generation);
    let mut chain = FrameChain::new(generation, key);
    let (mut at, mut frames) = (HEADER_BYTES, Vec::new());
    while let Some((frame, length)) = chain.next_frame(&bytes[at..]) {
        frames.push(frame);
        at += length;
    }
    // A complete first frame with a wrong MAC was written with another key; a torn one would be
    // incomplete.
    if frames.is_empty() && key.0.is_some() && first_frame_is_complete(&bytes[at..], generation) {
        return Err(FileError::WrongKey);
    }
    Ok(FileFrames {
        generation,
        frames,
        trailing_bytes: bytes.len() - at,
    })
}

/// Whether the first frame of a keyed file is complete, ignoring its MAC.
fn first_frame_is_complete(from: &[u8], generation: u64) -> bool {
    let length = from.get(..4).and_then(|b| b.try_into().ok());
    let length = length.map_or(usize::MAX, |b| u32::from_le_bytes(b) as usize);
    let crc = from.get(4..8).and_then(|b| b.try_into().ok());
    let payload = 40_usize
        .checked_add(length)
        .and_then(|end| from.get(40..end));
    let chain = FrameChain::new(generation, &Key::default());
    payload.is_some_and(|payload| crc.map(u32::from_le_bytes) == Some(chain.crc(payload)))
}
