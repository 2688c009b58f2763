//! Splits a byte stream into lines.

/// A line exceeds the length limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineTooLong;

/// Buffers the bytes of a stream and returns them line by line.
pub struct LineBuffer {
    held: Vec<u8>,
    /// Bytes at the start of `held` that belong to lines already returned.
    taken: usize,
    /// Bytes at the start of `held` already searched for a line end.
    searched: usize,
    /// Longest line in bytes, without its end.
    most: usize,
}

impl LineBuffer {
    /// Accepts lines of up to `most` bytes, not counting the line end.
    pub fn new(most: usize) -> LineBuffer {
        LineBuffer {
            held: Vec::new(),
            taken: 0,
            searched: 0,
            most,
        }
    }

    /// Changes the length limit for the lines that follow.
    pub fn set_max_len(&mut self, most: usize) {
        self.most = most;
    }

    /// Appends bytes read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.taken > 0 {
            self.held.drain(..self.taken);
            self.searched -= self.taken;
            self.taken = 0;
        }
        self.held.extend_from_slice(bytes);
    }

    /// Returns the next complete line without its end (CRLF or LF), or `None` until more bytes arrive.
    ///
    /// # Errors
    /// [`LineTooLong`] when a line, complete or not, exceeds the limit.
    pub fn next_line(&mut self) -> Option<Result<&[u8], LineTooLong>> {
        let fresh = &self.held[self.searched..];
        match fresh.iter().position(|b| *b == b'\n') {
            Some(at) => {
                let (from, to) = (self.taken, self.searched + at);
                self.taken = to + 1;
                self.searched = to + 1;
                let line = &self.held[from..to];
                let line = line.strip_suffix(b"\r").unwrap_or(line);
                Some(if line.len() > self.most {
                    Err(LineTooLong)
                } else {
                    Ok(line)
                })
            }
            None => {
                self.searched = self.held.len();
                let open = self.held.len() - self.taken;
                if open == 0 {
                    // Free the memory that a long line took.
                    (self.taken, self.searched) = (0, 0);
                    self.held.clear();
                    self.held.shrink_to(4096);
                }
                (open > self.most + 1).then_some(Err(LineTooLong))
            }
        }
    }

    /// Number of buffered bytes that are not part of a complete line.
    pub fn pending_len(&self) -> usize {
        self.held.len() - self.taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(lines: &mut LineBuffer, out: &mut Vec<String>) -> Result<(), LineTooLong> {
        while let Some(line) = lines.next_line() {
            out.push(String::from_utf8_lossy(line?).into_owned());
        }
        Ok(())
    }

    #[test]
    fn lines_come_out_the_same_wherever_the_bytes_are_cut() {
        let bytes = b"probe\r\n\r\n* hello 17 a 21.5 1\r\n*\nlast\r\n";
        let whole = ["probe", "", "* hello 17 a 21.5 1", "*", "last"];
        for first in 0..bytes.len() {
            for second in first..bytes.len() {
                let (mut lines, mut out) = (LineBuffer::new(64), Vec::new());
                for piece in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                    lines.push(piece);
                    all(&mut lines, &mut out).unwrap();
                }
                assert_eq!(out, whole, "cut at {first} and {second}");
                assert_eq!(lines.pending_len(), 0);
            }
        }
    }

    #[test]
    fn a_line_past_the_limit_is_told_with_and_without_its_end() {
        for (bytes, fine) in [
            (&b"12345678\r\n"[..], true),
            (b"123456789\r\n", false),
            (b"12345678\r", true),
            (b"1234567890", false),
        ] {
            let (mut lines, mut out) = (LineBuffer::new(8), Vec::new());
            lines.push(bytes);
            assert_eq!(all(&mut lines, &mut out).is_ok(), fine, "{bytes:?}");
        }
    }

    #[test]
    fn room_that_a_long_line_took_is_given_back() {
        let mut lines = LineBuffer::new(1 << 20);
        lines.push(&[b'x'; 500_000]);
        assert!(lines.next_line().is_none());
        lines.push(b"\n");
        assert!(matches!(lines.next_line(), Some(Ok(_))));
        assert!(lines.next_line().is_none());
        assert!(lines.held.capacity() <= 4096);
    }
}
