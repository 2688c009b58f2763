//! Incremental decoder of HTTP/1.1 chunked bodies.

/// The body violates the chunked transfer coding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidChunk;

/// Limit of a chunk's size line, which may carry extensions.
const MAX_SIZE_LINE_BYTES: usize = 256;

#[derive(Default)]
enum State {
    /// Reading a chunk's size line.
    #[default]
    SizeLine,
    /// Reading chunk data, of which so many bytes remain.
    Data(u64),
    /// Reading the line end after a chunk's data.
    DataEnd,
    /// The last chunk has been read.
    Ended,
}

/// Decodes a chunked body that arrives in pieces of any size. Trailers are ignored.
#[derive(Default)]
pub struct ChunkedDecoder {
    state: State,
    /// The start of an incomplete line.
    line: Vec<u8>,
}

impl ChunkedDecoder {
    /// Decodes `bytes` and appends the body's data to `out`. Returns whether the body continues.
    ///
    /// # Errors
    /// [`InvalidChunk`] when the coding is violated; the decoder is unusable afterwards.
    pub fn push(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) -> Result<bool, InvalidChunk> {
        while !bytes.is_empty() {
            match &mut self.state {
                State::Ended => return Ok(false),
                State::Data(remaining) => {
                    let count = (*remaining).min(bytes.len() as u64) as usize;
                    out.extend_from_slice(&bytes[..count]);
                    bytes = &bytes[count..];
                    *remaining -= count as u64;
                    if *remaining == 0 {
                        self.state = State::DataEnd;
                    }
                }
                State::SizeLine | State::DataEnd => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let count = end.map_or(bytes.len(), |at| at + 1);
                    self.line.extend_from_slice(&bytes[..count]);
                    bytes = &bytes[count..];
                    if self.line.len() > MAX_SIZE_LINE_BYTES {
                        return Err(InvalidChunk);
                    }
                    if end.is_some() {
                        self.end_line()?;
                    }
                }
            }
        }
        Ok(!matches!(self.state, State::Ended))
    }

    /// Interprets the complete line in `self.line`.
    fn end_line(&mut self) -> Result<(), InvalidChunk> {
        let text = std::str::from_utf8(&self.line).map_err(|_| InvalidChunk)?;
        let text = text.trim_end_matches(['\r', '\n']);
        self.state = match self.state {
            State::DataEnd if text.is_empty() => State::SizeLine,
            State::DataEnd => return Err(InvalidChunk),
            _ => {
                let size = text.split(';').next().unwrap_or("").trim();
                let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
                let size = Some(size).filter(|_| is_hex);
                let size = size.and_then(|s| u64::from_str_radix(s, 16).ok());
                match size.ok_or(InvalidChunk)? {
                    0 => State::Ended,
                    n => State::Data(n),
                }
            }
        };
        self.line.clear();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
