//! Splits a byte stream into lines.

/// A line exceeds the length limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineTooLong;

/// Buffers the bytes of a stream and returns them line by line.
pub struct LineBuffer {
    buffer: Vec<u8>,
    /// Bytes at the start of `buffer` that belong to lines already returned.
    consumed: usize,
    /// Bytes at the start of `buffer` already searched for a line end.
    searched: usize,
    /// Longest line in bytes, without its end.
    max_len: usize,
}

impl LineBuffer {
    /// Accepts lines of up to `max_len` bytes, not counting the line end.
    pub fn new(max_len: usize) -> LineBuffer {
        LineBuffer {
            buffer: Vec::new(),
            consumed: 0,
            searched: 0,
            max_len,
        }
    }

    /// Changes the length limit for the lines that follow.
    pub fn set_max_len(&mut self, max_len: usize) {
        self.max_len = max_len;
    }

    /// Appends bytes read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.searched -= self.consumed;
            self.consumed = 0;
        }
        self.reserve(bytes.len());
        self.buffer.extend_from_slice(bytes);
    }

    /// Makes room for more bytes. The capacity doubles, but not beyond what the longest line takes.
    fn reserve(&mut self, more: usize) {
        let needed = self.buffer.len() + more;
        if needed > self.buffer.capacity() {
            let doubled = self.buffer.capacity() * 2;
            let capacity = doubled.min(self.max_len + more).max(needed);
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
    }

    /// Returns the next complete line without its end (CRLF or LF), or `None` until more bytes arrive.
    ///
    /// # Errors
    /// [`LineTooLong`] when a line, complete or not, exceeds the limit.
    pub fn next_line(&mut self) -> Option<Result<&[u8], LineTooLong>> {
        let unsearched = &self.buffer[self.searched..];
        match unsearched.iter().position(|b| *b == b'\n') {
            Some(at) => {
                let (from, to) = (self.consumed, self.searched + at);
                self.consumed = to + 1;
                self.searched = to + 1;
                let line = &self.buffer[from..to];
                let line = line.strip_suffix(b"\r").unwrap_or(line);
                Some(if line.len() > self.max_len {
                    Err(LineTooLong)
                } else {
                    Ok(line)
                })
            }
            None => {
                self.searched = self.buffer.len();
                let pending = self.buffer.len() - self.consumed;
                if pending == 0 {
                    // Free the memory that a long line took.
                    (self.consumed, self.searched) = (0, 0);
                    self.buffer.clear();
                    self.buffer.shrink_to(4096);
                }
                (pending > self.max_len + 1).then_some(Err(LineTooLong))
            }
        }
    }

    /// Number of buffered bytes that were not yet returned as lines.
    pub fn pending_len(&self) -> usize {
        self.buffer.len() - self.consumed
    }
}

#[cfg(test)]
mod tests;
