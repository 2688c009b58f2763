//! A day written down as it comes, to be played again to the same outputs, byte for byte.
//!
//! The form: eight bytes of magic with the version, then frames. A frame is its length (u32, little
//! endian), the CRC-32 of its bytes (u32, little endian), and the bytes: the first frame holds the
//! [`Begin`], each later one a moment and its inputs, in postcard's encoding.

use crate::{Controller, ControllerSettings, Input, Output};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::io::{self, Read, Write};

const MAGIC: &[u8; 8] = b"dahlia\x00\x03";
/// A longer frame is taken for damage.
const LONGEST: u32 = 256 << 20;

/// What a controller began with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    pub now: f64,
    pub seed: u64,
    pub settings: ControllerSettings,
}

/// Writes a day down.
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
    /// Begins a record.
    ///
    /// # Errors
    /// Those of the writer.
    pub fn create(mut to: W, begin: &Header) -> io::Result<Recorder<W>> {
        to.write_all(MAGIC)?;
        frame(&mut to, begin)?;
        Ok(Recorder { to })
    }

    /// Notes a moment before it is decided on.
    ///
    /// # Errors
    /// Those of the writer.
    pub fn append(&mut self, now: f64, inputs: &[Input]) -> io::Result<()> {
        frame(&mut self.to, &(now, inputs))
    }

    /// # Errors
    /// Those of the writer.
    pub fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }

    pub fn into_inner(self) -> W {
        self.to
    }
}

/// What was found at the end of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Complete,
    /// The last frame was cut off: the process was killed while it wrote.
    Truncated,
    /// A frame that is not what was written; with its number, from 1.
    Corrupt(u64, String),
}

/// Reads frames until the first that is not whole.
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
            return Err(damaged("its length is not possible"));
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
            return Err(damaged("its sum does not match"));
        }
        postcard::from_bytes(&bytes).map_err(|e| damaged(&e.to_string()))
    }
}

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

/// Plays a record again. Each moment's outputs go to `each`; tells how the record ended.
///
/// # Errors
/// When it is no record of this version, or does not begin.
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
            "a record of version {}; {} is read",
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
        // What a gate held is written behind the moment that it was asked in.
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

/// The bytes that outputs are compared by.
pub fn encode_outputs(outputs: &[Output]) -> Vec<u8> {
    // Plain data into memory cannot fail to be encoded.
    postcard::to_allocvec(outputs).unwrap_or_default()
}
