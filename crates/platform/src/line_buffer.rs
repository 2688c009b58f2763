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
mod tests;
