//! A record of a controller's inputs. Replaying it gives the same outputs, byte for byte.
//!
//! Format: eight bytes of magic with the version, then frames. A frame is the length of its payload
//! (u32, little endian), the CRC-32 of the payload (u32, little endian) and the payload, in
//! postcard's encoding. The first frame holds the [`Header`], each later one a time and the inputs
//! that arrived at it.

use crate::{Controller, ControllerSettings, Input, Output};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io::{self, Read, Write};

const MAGIC: &[u8; 8] = b"dahlia\x00\x03";
/// A longer frame counts as corrupt.
const MAX_FRAME_BYTES: u32 = 256 << 20;

/// The arguments that the controller was created with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    pub now: f64,
    pub seed: u64,
    pub settings: ControllerSettings,
}

/// Writes a record.
pub struct Recorder<W: Write> {
    writer: W,
}

/// Writes one frame.
fn write_frame<W: Write, T: Serialize>(writer: &mut W, value: &T) -> io::Result<()> {
    let bytes = postcard::to_allocvec(value).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    writer.write_all(&length.to_le_bytes())?;
    writer.write_all(&crc32fast::hash(&bytes).to_le_bytes())?;
    writer.write_all(&bytes)
}

impl<W: Write> Recorder<W> {
    /// Creates a record: writes the magic and the header.
    ///
    /// # Errors
    /// Returns errors of the writer.
    pub fn create(mut writer: W, header: &Header) -> io::Result<Recorder<W>> {
        writer.write_all(MAGIC)?;
        write_frame(&mut writer, header)?;
        Ok(Recorder { writer })
    }

    /// Appends the inputs of one moment. Called before the controller handles them.
    ///
    /// # Errors
    /// Returns errors of the writer.
    pub fn append(&mut self, now: f64, inputs: &[Input]) -> io::Result<()> {
        write_frame(&mut self.writer, &(now, inputs))
    }

    /// Flushes the writer.
    ///
    /// # Errors
    /// Returns errors of the writer.
    pub fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }

    /// Returns the writer.
    pub fn into_inner(self) -> W {
        self.writer
    }
}

/// How a record ends.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// After a whole frame.
    Complete,
    /// Within a frame, as when the process is killed while it writes.
    Truncated,
    /// At a corrupt frame: its number, counted from 1, and what is wrong with it.
    Corrupt(u64, String),
}

/// Reads frames up to the first that is not whole.
struct Frames<R: Read> {
    reader: R,
    number: u64,
}

impl<R: Read> Frames<R> {
    fn next<T: DeserializeOwned>(&mut self) -> Result<T, End> {
        self.number += 1;
        let mut prefix = [0; 8];
        match read_full(&mut self.reader, &mut prefix) {
            Ok(0) => return Err(End::Complete),
            Ok(8) => {}
            Ok(_) => return Err(End::Truncated),
            Err(e) => return Err(End::Corrupt(self.number, e.to_string())),
        }
        let u32_at = |at: usize| {
            u32::from_le_bytes([prefix[at], prefix[at + 1], prefix[at + 2], prefix[at + 3]])
        };
        let (length, checksum) = (u32_at(0), u32_at(4));
        let corrupt = |why: &str| End::Corrupt(self.number, why.to_string());
        if length > MAX_FRAME_BYTES {
            return Err(corrupt("its length is out of range"));
        }
        let mut bytes = Vec::new();
        let read = (&mut self.reader)
            .take(u64::from(length))
            .read_to_end(&mut bytes);
        match read {
            Ok(n) if n < length as usize => return Err(End::Truncated),
            Ok(_) => {}
            Err(e) => return Err(corrupt(&e.to_string())),
        }
        if crc32fast::hash(&bytes) != checksum {
            return Err(corrupt("its checksum does not match"));
        }
        postcard::from_bytes(&bytes).map_err(|e| corrupt(&e.to_string()))
    }
}

/// Reads until the buffer is full or the input ends; returns the number of bytes read.
fn read_full<R: Read>(reader: &mut R, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match reader.read(&mut buffer[filled..]) {
            Ok(0) => break,
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(filled)
}

/// Replays a record on a new controller. Calls `each` with the time and the outputs of each moment;
/// returns the controller and how the record ends.
///
/// # Errors
/// If it is not a record of this version, or its header cannot be read.
pub fn replay<R: Read>(
    mut reader: R,
    mut each: impl FnMut(f64, &[Output]),
) -> Result<(Controller, End), String> {
    let mut magic = [0; 8];
    read_full(&mut reader, &mut magic).map_err(|e| e.to_string())?;
    if magic[..7] != MAGIC[..7] {
        return Err("not a record of a controller".into());
    }
    if magic != *MAGIC {
        return Err(format!(
            "a record of version {}; only version {} can be read",
            magic[7], MAGIC[7]
        ));
    }
    let mut frames = Frames { reader, number: 0 };
    let header: Header = frames
        .next()
        .map_err(|end| format!("the record has no header: {end:?}"))?;
    let mut controller = Controller::new(header.now, header.seed, header.settings);
    let mut frame = frames.next::<(f64, Vec<Input>)>();
    loop {
        let (now, inputs) = match frame {
            Ok(moment) => moment,
            Err(end) => return Ok((controller, end)),
        };
        // The parts that the gate held back are recorded in a frame of their own after the moment.
        let mut next = frames.next::<(f64, Vec<Input>)>();
        let mut held_parts = Vec::new();
        if let Ok((_, following)) = &next
            && let [Input::Gated(parts)] = following.as_slice()
        {
            held_parts = parts.clone();
            next = frames.next();
        }
        let outputs =
            controller.handle_gated(now, inputs, &mut |part, _| held_parts.contains(&part));
        each(now, &outputs);
        frame = next;
    }
}

/// Encodes outputs, so that two runs can be compared byte by byte.
pub fn encode_outputs(outputs: &[Output]) -> Vec<u8> {
    // Encoding plain data into memory cannot fail.
    postcard::to_allocvec(outputs).unwrap_or_default()
}
