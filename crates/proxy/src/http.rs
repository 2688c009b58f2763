//! Reads and writes HTTP/1.1 messages. Heads are parsed by `httparse`, bodies are framed by RFC 9112. Messages that
//! another hop could read differently are refused, since they could smuggle a request past it.

use dahliapoint_fibers::{InputTurns, TcpStream};
use std::io::{self, Write};

const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Headers of a head; also lines of trailers.
const MAX_HEADERS: usize = 100;
/// Bytes that are read at once; the buffer of a body is no larger.
const READ_BYTES: usize = 16 * 1024;
/// Bytes of a line that starts a chunk, and of a line of the trailers.
const MAX_LINE_BYTES: usize = 1024;

/// A message that is refused: the status to answer with, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadMessage(pub u16, pub &'static str);

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Length(u64),
    Chunked,
    /// The body of a response that ends with the connection.
    UntilClose,
}

/// The head of a request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Target of a request; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Minor version: 0 or 1.
    pub version: u8,
    pub headers: Vec<(String, Vec<u8>)>,
}

/// Headers that belong to one connection and not to the message (RFC 9110, 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Head {
    /// Returns the first header of that name, trimmed, if it is UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found
            .and_then(|(_, v)| std::str::from_utf8(v).ok())
            .map(str::trim)
    }

    /// The values of all headers of that name.
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self
            .headers
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, v)| v.as_slice())
    }

    /// Returns whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        let has_option = |option: &str| {
            self.all("connection").any(|v| {
                let text = String::from_utf8_lossy(v).to_ascii_lowercase();
                text.split(',').any(|o| o.trim() == option)
            })
        };
        has_option("close") || self.version == 0 && !has_option("keep-alive")
    }

    /// The headers that are passed on to the next hop: without hop-by-hop headers, those that `Connection` names,
    /// and `Content-Length`, which the next hop gets anew.
    pub fn end_to_end_headers(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|v| {
                String::from_utf8_lossy(v)
                    .split(',')
                    .map(|w| w.trim().to_ascii_lowercase())
                    .collect::<Vec<_>>()
            })
            .collect();
        self.headers.iter().filter(move |(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP_HEADERS.contains(&name.as_str())
                && name != "content-length"
                && !named.contains(&name)
        })
    }

    /// Returns the framing that the headers declare, if any. Headers that can be read in more than one way are
    /// refused.
    fn declared_framing(&self) -> Result<Option<BodyFraming>, BadMessage> {
        let codings: Vec<String> = self
            .all("transfer-encoding")
            .map(|v| String::from_utf8_lossy(v).trim().to_ascii_lowercase())
            .collect();
        let mut lengths = Vec::new();
        for value in self.all("content-length") {
            let text = std::str::from_utf8(value).unwrap_or("x").trim();
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = text.parse::<u64>().ok().filter(|_| digits);
            lengths.push(length.ok_or(BadMessage(400, "a length that is no number"))?);
        }
        match (codings.as_slice(), lengths.as_slice()) {
            ([], []) => Ok(None),
            ([], [first, rest @ ..]) if rest.iter().all(|l| l == first) => {
                Ok(Some(BodyFraming::Length(*first)))
            }
            ([], _) => Err(BadMessage(400, "lengths that contradict each other")),
            ([coding], []) if coding == "chunked" && self.version == 1 => {
                Ok(Some(BodyFraming::Chunked))
            }
            (_, []) => Err(BadMessage(501, "a transfer coding that is not served")),
            _ => Err(BadMessage(400, "a length and a transfer coding")),
        }
    }

    /// Returns the framing of the body of a request.
    ///
    /// # Errors
    /// Why the framing is refused.
    pub fn request_body(&self) -> Result<BodyFraming, BadMessage> {
        Ok(self.declared_framing()?.unwrap_or(BodyFraming::Length(0)))
    }

    /// Returns the framing of the body of a response to a request of that method.
    ///
    /// # Errors
    /// Why the framing is refused.
    pub fn response_body(&self, method: &str) -> Result<BodyFraming, BadMessage> {
        let declared = self.declared_framing()?;
        let has_no_body =
            method == "HEAD" || self.status == 204 || self.status == 304 || self.status < 200;
        Ok(match has_no_body {
            true => BodyFraming::Length(0),
            false => declared.unwrap_or(BodyFraming::UntilClose),
        })
    }
}

/// A head and its length; `None` if it is not complete yet.
type Parsed = Result<Option<(usize, Head)>, BadMessage>;

/// A socket, and the bytes that were read from it but not used yet.
pub struct Connection {
    pub socket: TcpStream,
    buffer: Vec<u8>,
    turns: InputTurns,
}

fn parse_error(kind: httparse::Error) -> BadMessage {
    match kind {
        httparse::Error::TooManyHeaders => BadMessage(431, "too many headers"),
        httparse::Error::Version => BadMessage(505, "not HTTP/1.1"),
        _ => BadMessage(400, "not a head of HTTP/1.1"),
    }
}

/// The result of reading a message.
#[derive(Debug)]
pub enum ReadOutcome<T> {
    Message(T),
    /// The peer closed the connection, or it broke, before the first byte.
    Closed,
    Invalid(BadMessage),
}

impl Connection {
    /// A connection of which nothing was read yet.
    pub fn new(socket: TcpStream) -> Connection {
        Connection {
            socket,
            buffer: Vec::new(),
            turns: InputTurns::default(),
        }
    }

    /// Returns whether all bytes that were read were used.
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_BYTES];
        let n = self.turns.read(&mut self.socket, &mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn head(&mut self, parse: fn(&[u8]) -> Parsed) -> ReadOutcome<Head> {
        loop {
            match parse(&self.buffer) {
                Ok(Some((length, _))) if length > MAX_HEAD_BYTES => {
                    return ReadOutcome::Invalid(BadMessage(431, "a head that is too large"));
                }
                Ok(Some((length, head))) => {
                    self.buffer.drain(..length);
                    return ReadOutcome::Message(head);
                }
                Ok(None) if self.buffer.len() > MAX_HEAD_BYTES => {
                    return ReadOutcome::Invalid(BadMessage(431, "a head that is too large"));
                }
                Ok(None) => {}
                Err(wrong) => return ReadOutcome::Invalid(wrong),
            }
            match self.fill() {
                Ok(n) if n > 0 => {}
                _ if self.buffer.is_empty() => return ReadOutcome::Closed,
                _ => return ReadOutcome::Invalid(BadMessage(400, "closed within a head")),
            }
        }
    }

    /// Reads the head of a request.
    pub fn request(&mut self) -> ReadOutcome<Head> {
        self.head(parse_request)
    }

    /// Reads the head of a response.
    pub fn response(&mut self) -> ReadOutcome<Head> {
        self.head(parse_response)
    }

    /// Reads a body and gives it to `to` in pieces of bounded size.
    ///
    /// # Errors
    /// When either side fails, or the body is not framed as declared.
    pub fn copy_body(
        &mut self,
        body: BodyFraming,
        mut to: impl FnMut(&[u8]) -> io::Result<()>,
    ) -> io::Result<()> {
        match body {
            BodyFraming::Length(length) => self.copy_bytes(length, &mut to),
            BodyFraming::UntilClose => loop {
                let held = std::mem::take(&mut self.buffer);
                if !held.is_empty() {
                    to(&held)?;
                }
                if self.fill()? == 0 {
                    return Ok(());
                }
            },
            BodyFraming::Chunked => loop {
                let size = self.chunk_size()?;
                if size == 0 {
                    return self.skip_trailers();
                }
                self.copy_bytes(size, &mut to)?;
                if self.line()? != b"" {
                    return Err(io::Error::other("chunk is longer than its declared size"));
                }
            },
        }
    }

    fn copy_bytes(
        &mut self,
        mut left: u64,
        to: &mut impl FnMut(&[u8]) -> io::Result<()>,
    ) -> io::Result<()> {
        while left > 0 {
            if self.buffer.is_empty() && self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let n = self
                .buffer
                .len()
                .min(usize::try_from(left).unwrap_or(usize::MAX));
            let piece: Vec<u8> = self.buffer.drain(..n).collect();
            to(&piece)?;
            left -= n as u64;
        }
        Ok(())
    }

    /// Reads a line, which must end in CR LF and contain no other CR. Returns it without its end.
    fn line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                let line = line.strip_suffix(b"\r\n");
                let line = line.filter(|l| !l.contains(&b'\r') && l.len() <= MAX_LINE_BYTES);
                return line
                    .map(<[u8]>::to_vec)
                    .ok_or_else(|| io::Error::other("line does not end in CR LF or is too long"));
            }
            if self.buffer.len() > MAX_LINE_BYTES + 2 {
                return Err(io::Error::other("line is too long"));
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunk_size(&mut self) -> io::Result<u64> {
        let line = self.line()?;
        // Extensions are ignored. The size is hexadecimal digits with nothing before or after them.
        let digits = line.split(|b| *b == b';').next().unwrap_or_default();
        let is_valid =
            !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| is_valid);
        let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
        size.ok_or_else(|| io::Error::other("chunk without a valid size"))
    }

    /// Reads the trailers; they are not passed on.
    fn skip_trailers(&mut self) -> io::Result<()> {
        for _ in 0..MAX_HEADERS {
            if self.line()?.is_empty() {
                return Ok(());
            }
        }
        Err(io::Error::other("too many trailers"))
    }
}

fn headers_of(headers: &[httparse::Header<'_>]) -> Vec<(String, Vec<u8>)> {
    let owned = headers
        .iter()
        .map(|h| (h.name.to_string(), h.value.to_vec()));
    owned.collect()
}

fn parse_request(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let head = Head {
        method: request.method.unwrap_or_default().to_string(),
        target: request.path.unwrap_or_default().to_string(),
        status: 0,
        version: request.version.unwrap_or(0),
        headers: headers_of(request.headers),
    };
    // Other HTTP parsers read a bare line feed differently, so no server may get such a head.
    if bytes[..length]
        .windows(2)
        .any(|w| w[1] == b'\n' && w[0] != b'\r')
    {
        return Err(BadMessage(400, "a line that ends in a bare line feed"));
    }
    let hosts = head.all("host").count();
    if hosts != 1 && head.version == 1 || hosts > 1 {
        return Err(BadMessage(400, "one Host is wanted"));
    }
    if head.method == "CONNECT" || !head.target.starts_with('/') {
        return Err(BadMessage(400, "a target that begins with / is wanted"));
    }
    Ok(Some((length, head)))
}

fn parse_response(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes).map_err(parse_error)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(length) => length,
    };
    let head = Head {
        method: String::new(),
        target: String::new(),
        status: response.code.unwrap_or(0),
        version: response.version.unwrap_or(0),
        headers: headers_of(response.headers),
    };
    Ok(Some((length, head)))
}

/// Writes a head: the start line, the end-to-end headers of `head`, and the framing of the body that follows.
pub fn write_head(start_line: &str, head: &Head, body: BodyFraming, closes: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    out.extend_from_slice(start_line.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in head.end_to_end_headers() {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    match body {
        BodyFraming::Length(length) => {
            out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes())
        }
        BodyFraming::Chunked | BodyFraming::UntilClose => {
            out.extend_from_slice(b"Transfer-Encoding: chunked\r\n")
        }
    }
    if closes {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Writes a piece of a body in its framing. An empty piece ends a chunked body.
///
/// # Errors
/// Errors of the socket.
pub fn write_body_piece(to: &mut impl Write, body: BodyFraming, piece: &[u8]) -> io::Result<()> {
    match body {
        BodyFraming::Length(_) => to.write_all(piece),
        BodyFraming::Chunked | BodyFraming::UntilClose => {
            let mut framed = format!("{:x}\r\n", piece.len()).into_bytes();
            framed.extend_from_slice(piece);
            framed.extend_from_slice(b"\r\n");
            to.write_all(&framed)
        }
    }
}

#[cfg(test)]
mod tests;
