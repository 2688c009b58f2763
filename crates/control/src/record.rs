//! A record of a controller's inputs. Replaying it gives the same outputs, byte for byte.
//!
//! Format: eight bytes of magic with the version, then frames. A frame is the length of its payload (u32, little
//! endian), the CRC-32 of the payload (u32, little endian) and the payload, in postcard's encoding. The first frame
//! holds the [`Header`], each later one a time and the inputs that arrived at it.

use crate::{Controller, ControllerSettings, Input, Output};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io::{self, Read, Write};

const MAGIC: &[u8; 8] = b"dahlia\x00\x03";
/// A longer frame counts as corrupt.
const LONGEST: u32 = 256 << 20;

/// The arguments that the controller was created with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    pub now: f64,
    pub seed: u64,
    pub settings: ControllerSettings,
}

/// Writes a record.
pub struct Recorder<W: Write> {
    to: W,
}

fn frame<W: Write, T: Serialize>(to: &mut W, value: &T) -> io::Result<()> {
    let bytes = postcard::to_allocvec(value).map_err(io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    to.write_all(&length.to_le_bytes())?;
    to.write_all(&crc32fast::hash(&bytes).to_le_bytes())?;
    to.write_all(&bytes)
}

impl<W: Write> Recorder<W> {
    /// Creates a record: writes the magic and the header.
    ///
    /// # Errors
    /// Returns errors of the writer.
    pub fn create(mut to: W, begin: &Header) -> io::Result<Recorder<W>> {
        to.write_all(MAGIC)?;
        frame(&mut to, begin)?;
        Ok(Recorder { to })
    }

    /// Appends the inputs of one moment. Called before the controller handles them.
    ///
    /// # Errors
    /// Returns errors of the writer.
    pub fn append(&mut self, now: f64, inputs: &[Input]) -> io::Result<()> {
        frame(&mut self.to, &(now, inputs))
    }

    /// Flushes the writer.
    ///
    /// # Errors
    /// Returns errors of the writer.
    pub fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }

    /// Returns the writer.
    pub fn into_inner(self) -> W {
        self.to
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
    from: R,
    number: u64,
}

impl<R: Read> Frames<R> {
    fn next<T: DeserializeOwned>(&mut self) -> Result<T, End> {
        self.number += 1;
        let mut head = [0; 8];
        match fill(&mut self.from, &mut head) {
            Ok(0) => return Err(End::Complete),
            Ok(8) => {}
            Ok(_) => return Err(End::Truncated),
            Err(e) => return Err(End::Corrupt(self.number, e.to_string())),
        }
        let word =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (length, sum) = (word(0), word(4));
        let damaged = |why: &str| End::Corrupt(self.number, why.to_string());
        if length > LONGEST {
            return Err(damaged("its length is out of range"));
        }
        let mut bytes = Vec::new();
        let read = (&mut self.from)
            .take(u64::from(length))
            .read_to_end(&mut bytes);
        match read {
            Ok(n) if n < length as usize => return Err(End::Truncated),
            Ok(_) => {}
            Err(e) => return Err(damaged(&e.to_string())),
        }
        if crc32fast::hash(&bytes) != sum {
            return Err(damaged("its checksum does not match"));
        }
        postcard::from_bytes(&bytes).map_err(|e| damaged(&e.to_string()))
    }
}

/// Reads until the buffer is full or the input ends; returns the number of bytes read.
fn fill<R: Read>(from: &mut R, buffer: &mut [u8]) -> io::Result<usize> {
    let mut done = 0;
    while done < buffer.len() {
        match from.read(&mut buffer[done..]) {
            Ok(0) => break,
            Ok(n) => done += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(done)
}

/// Replays a record on a new controller. Calls `each` with the time and the outputs of each moment; returns the
/// controller and how the record ends.
///
/// # Errors
/// If it is not a record of this version, or its header cannot be read.
pub fn replay<R: Read>(
    mut from: R,
    mut each: impl FnMut(f64, &[Output]),
) -> Result<(Controller, End), String> {
    let mut magic = [0; 8];
    fill(&mut from, &mut magic).map_err(|e| e.to_string())?;
    if magic[..7] != MAGIC[..7] {
        return Err("not a record of a controller".into());
    }
    if magic != *MAGIC {
        return Err(format!(
            "a record of version {}; only version {} can be read",
            magic[7], MAGIC[7]
        ));
    }
    let mut frames = Frames { from, number: 0 };
    let begin: Header = frames
        .next()
        .map_err(|end| format!("the record has no header: {end:?}"))?;
    let mut controller = Controller::new(begin.now, begin.seed, begin.settings);
    let mut frame = frames.next::<(f64, Vec<Input>)>();
    loop {
        let (now, inputs) = match frame {
            Ok(moment) => moment,
            Err(end) => return Ok((controller, end)),
        };
        // The parts that the gate held back are recorded in a frame of their own after the moment.
        let mut next = frames.next::<(f64, Vec<Input>)>();
        let mut held = Vec::new();
        if let Ok((_, behind)) = &next
            && let [Input::Gated(parts)] = behind.as_slice()
        {
            held = parts.clone();
            next = frames.next();
        }
        let outputs = controller.handle_gated(now, inputs, &mut |part, _| held.contains(&part));
        each(now, &outputs);
        frame = next;
    }
}

/// Encodes outputs, so that two runs can be compared byte by byte.
pub fn encode_outputs(outputs: &[Output]) -> Vec<u8> {
    // Encoding plain data into memory cannot fail.
    postcard::to_allocvec(outputs).unwrap_or_default()
}
