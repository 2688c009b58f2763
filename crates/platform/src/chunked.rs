//! Incremental decoder of HTTP/1.1 chunked bodies.

/// The body violates the chunked transfer coding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidChunk;

/// Limit of a chunk's size line, which may carry extensions.
const MOST_HEAD: usize = 256;

#[derive(Default)]
enum State {
    /// Reading a chunk's size line.
    #[default]
    Head,
    /// Reading chunk data, of which so many bytes remain.
    Data(u64),
    /// Reading the line end after a chunk's data.
    Tail,
    /// The last chunk has been read.
    Ended,
}

/// Decodes a chunked body that arrives in pieces of any size. Trailers are ignored.
#[derive(Default)]
pub struct ChunkedDecoder {
    state: State,
    head: Vec<u8>,
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
                State::Data(left) => {
                    let n = (*left).min(bytes.len() as u64) as usize;
                    out.extend_from_slice(&bytes[..n]);
                    bytes = &bytes[n..];
                    *left -= n as u64;
                    if *left == 0 {
                        self.state = State::Tail;
                    }
                }
                State::Head | State::Tail => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let n = end.map_or(bytes.len(), |at| at + 1);
                    self.head.extend_from_slice(&bytes[..n]);
                    bytes = &bytes[n..];
                    if self.head.len() > MOST_HEAD {
                        return Err(InvalidChunk);
                    }
                    if end.is_some() {
                        self.line()?;
                    }
                }
            }
        }
        Ok(!matches!(self.state, State::Ended))
    }

    fn line(&mut self) -> Result<(), InvalidChunk> {
        let text = std::str::from_utf8(&self.head).map_err(|_| InvalidChunk)?;
        let text = text.trim_end_matches(['\r', '\n']);
        self.state = match self.state {
            State::Tail if text.is_empty() => State::Head,
            State::Tail => return Err(InvalidChunk),
            _ => {
                let size = text.split(';').next().unwrap_or("").trim();
                let plain = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
                let size = Some(size).filter(|_| plain);
                let size = size.and_then(|s| u64::from_str_radix(s, 16).ok());
                match size.ok_or(InvalidChunk)? {
                    0 => State::Ended,
                    n => State::Data(n),
                }
            }
        };
        self.head.clear();
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_body_is_the_same_wherever_its_bytes_are_cut() {
        let bytes = b"5\r\n{\"a\":\r\n3;x=y\r\n1}\n\r\n1\r\n\n\r\n0\r\n\r\n";
        for first in 0..bytes.len() {
            for second in first..bytes.len() {
                let (mut chunks, mut out, mut goes_on) =
                    (ChunkedDecoder::default(), Vec::new(), true);
                for piece in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                    goes_on = chunks.push(piece, &mut out).unwrap();
                }
                assert_eq!(out, b"{\"a\":1}\n\n", "cut at {first} and {second}");
                assert!(!goes_on);
            }
        }
    }

    #[test]
    fn what_is_not_chunked_is_told() {
        let long = [b'1'; 300];
        for bytes in [
            &b"{\"index\":1}\r\n"[..],
            b"\r\n",
            b"+5\r\n",
            b"2\r\nabc\r\n",
            &long,
        ] {
            let mut chunks = ChunkedDecoder::default();
            assert_eq!(
                chunks.push(bytes, &mut Vec::new()),
                Err(InvalidChunk),
                "{bytes:?}"
            );
        }
    }
}
