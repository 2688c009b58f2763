//! The body of a chunked HTTP answer, wherever its bytes are cut.

/// It is not chunked as HTTP/1.1 says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidChunk;

/// No chunk's head is longer: a length in hexadecimal, and perhaps an extension.
const MOST_HEAD: usize = 256;

#[derive(Default)]
enum State {
    #[default]
    Head,
    Data(u64),
    /// The line end behind a chunk's data.
    Tail,
    Ended,
}

#[derive(Default)]
pub struct ChunkedDecoder {
    state: State,
    head: Vec<u8>,
}

impl ChunkedDecoder {
    /// Takes bytes in, and adds the body's to `out`. Tells whether the body goes on.
    ///
    /// # Errors
    /// [`InvalidChunk`], and whatever comes after it is of no use.
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
