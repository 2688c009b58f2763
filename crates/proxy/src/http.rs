//! HTTP/1.1 as a proxy must read it: heads by a library's parser, bodies framed by RFC 9112, and whatever
//! could be read in two ways refused.

use dahliapoint_fibers::TcpStream;
use std::io::{self, Read, Write};

/// Bytes of a head, and headers in it.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 100;
/// Bytes that are read at once, and held of a body.
const READ_BYTES: usize = 16 * 1024;
/// Bytes of a line that begins a chunk, and of all trailers.
const MAX_LINE_BYTES: usize = 1024;

/// What is wrong with a message: the status to answer with, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadMessage(pub u16, pub &'static str);

/// How long a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    Length(u64),
    Chunked,
    /// Of a response: until the connection closes.
    UntilClose,
}

/// The head of a request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Method and target of a request; empty for a response.
    pub method: String,
    pub target: String,
    /// Of a response.
    pub status: u16,
    pub version: u8,
    pub headers: Vec<(String, Vec<u8>)>,
}

/// Headers that are of one connection, not of the message (RFC 9110, 7.6.1).
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
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found
            .and_then(|(_, v)| std::str::from_utf8(v).ok())
            .map(str::trim)
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self
            .headers
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, v)| v.as_slice())
    }

    /// The connection ends after this message.
    pub fn closes(&self) -> bool {
        let said = |word: &str| {
            self.all("connection").any(|v| {
                let text = String::from_utf8_lossy(v).to_ascii_lowercase();
                text.split(',').any(|w| w.trim() == word)
            })
        };
        said("close") || self.version == 0 && !said("keep-alive")
    }

    /// Headers that go on to the next hop: without those of this connection, and those that it names.
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

    /// The length that the headers tell, if they tell one that can be read in one way only.
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

    /// The body of a request.
    ///
    /// # Errors
    /// What is wrong with its framing.
    pub fn request_body(&self) -> Result<BodyFraming, BadMessage> {
        Ok(self.declared_framing()?.unwrap_or(BodyFraming::Length(0)))
    }

    /// The body of a response to a request of that method.
    ///
    /// # Errors
    /// What is wrong with its framing.
    pub fn response_body(&self, method: &str) -> Result<BodyFraming, BadMessage> {
        let told = self.declared_framing()?;
        let none =
            method == "HEAD" || self.status == 204 || self.status == 304 || self.status < 200;
        Ok(match none {
            true => BodyFraming::Length(0),
            false => told.unwrap_or(BodyFraming::UntilClose),
        })
    }
}

/// A head and its length, none while more of it is wanted.
type Parsed = Result<Option<(usize, Head)>, BadMessage>;

/// A socket with what was read of it and not used yet.
pub struct Connection {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

fn parse_error(kind: httparse::Error) -> BadMessage {
    match kind {
        httparse::Error::TooManyHeaders => BadMessage(431, "too many headers"),
        httparse::Error::Version => BadMessage(505, "not HTTP/1.1"),
        _ => BadMessage(400, "not a head of HTTP/1.1"),
    }
}

/// What reading found.
#[derive(Debug)]
pub enum ReadOutcome<T> {
    Message(T),
    /// The other side closed, or broke, before anything of it came.
    Closed,
    Invalid(BadMessage),
}

impl Connection {
    pub fn new(socket: TcpStream) -> Connection {
        Connection {
            socket,
            buffer: Vec::new(),
        }
    }

    /// Nothing was read ahead.
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_BYTES];
        let n = self.socket.read(&mut chunk)?;
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

    /// Passes a body on, a bounded piece at a time.
    ///
    /// # Errors
    /// When either side breaks, or the body is not framed as it says.
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
                    return Err(io::Error::other("a chunk that does not end where it says"));
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

    /// A line up to its end, which is CR and LF and nothing else.
    fn line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                let line = line.strip_suffix(b"\r\n");
                let line = line.filter(|l| !l.contains(&b'\r') && l.len() <= MAX_LINE_BYTES);
                return line
                    .map(<[u8]>::to_vec)
                    .ok_or_else(|| io::Error::other("a line that is not one"));
            }
            if self.buffer.len() > MAX_LINE_BYTES + 2 {
                return Err(io::Error::other("a line that is too long"));
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunk_size(&mut self) -> io::Result<u64> {
        let line = self.line()?;
        // Extensions are passed over; the size is hexadecimal digits and nothing before or after them.
        let digits = line.split(|b| *b == b';').next().unwrap_or_default();
        let fine =
            !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| fine);
        let size = text.and_then(|t| u64::from_str_radix(t, 16).ok());
        size.ok_or_else(|| io::Error::other("a chunk without its size"))
    }

    /// Trailers are read and not passed on.
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
    let own = headers
        .iter()
        .map(|h| (h.name.to_string(), h.value.to_vec()));
    own.collect()
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
    // Bare line feeds are read differently by others: nobody downstream shall see such a head.
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

/// Writes a head with the framing of the body that follows.
pub fn write_head(first: &str, head: &Head, body: BodyFraming, closes: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(512);
    out.extend_from_slice(first.as_bytes());
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

/// Writes a piece of a body in its framing; an empty piece ends a chunked one.
///
/// # Errors
/// Those of the socket.
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
mod tests {
    use super::*;

    fn framed(head: &str) -> Result<BodyFraming, BadMessage> {
        let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{head}\r\n");
        let (_, head) = parse_request(text.as_bytes())?.unwrap();
        head.request_body()
    }

    #[test]
    fn what_could_be_read_in_two_ways_is_refused() {
        let cases = [
            ("Content-Length: 5\r\n", Ok(BodyFraming::Length(5))),
            ("", Ok(BodyFraming::Length(0))),
            ("Transfer-Encoding: chunked\r\n", Ok(BodyFraming::Chunked)),
            (
                "Content-Length: 5\r\nContent-Length: 5\r\n",
                Ok(BodyFraming::Length(5)),
            ),
            ("Content-Length: 5\r\nContent-Length: 6\r\n", Err(400)),
            ("Content-Length: 5, 5\r\n", Err(400)),
            ("Content-Length: +5\r\n", Err(400)),
            ("Content-Length: 5x\r\n", Err(400)),
            ("Content-Length:\r\n", Err(400)),
            ("Content-Length: 99999999999999999999999\r\n", Err(400)),
            (
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                Err(400),
            ),
            ("Transfer-Encoding: gzip, chunked\r\n", Err(501)),
            (
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                Err(501),
            ),
            ("Transfer-Encoding: xchunked\r\n", Err(501)),
            ("Host: again\r\n", Err(400)),
            ("X: a\r\n folded\r\n", Err(400)),
            ("X : a\r\n", Err(400)),
            ("X: a\nY: b\r\n", Err(400)),
        ];
        for (head, wanted) in cases {
            let got = framed(head).map_err(|w| w.0);
            assert_eq!(got, wanted, "{head:?}");
        }
        for target in ["http://h/", "*", "h:80"] {
            let text = format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n");
            assert!(parse_request(text.as_bytes()).is_err(), "{target}");
        }
        assert!(parse_request(b"GET / HTTP/1.1\r\n\r\n").is_err(), "no Host");
        assert_eq!(parse_request(b"GET / HTTP/1.1\r\nHo"), Ok(None));
    }

    #[test]
    fn headers_of_one_hop_do_not_go_on() {
        let text = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\nTE: trailers\r\n\
                    Upgrade: x\r\nKeep: 2\r\nContent-Length: 0\r\n\r\n";
        let (_, head) = parse_request(text.as_bytes()).unwrap().unwrap();
        let names: Vec<&str> = head.end_to_end_headers().map(|(n, _)| n.as_str()).collect();
        assert_eq!(names, ["Host", "Keep"]);
        assert!(!head.closes());
        let wrote = write_head("GET /a HTTP/1.1", &head, BodyFraming::Length(0), true);
        let wrote = String::from_utf8(wrote).unwrap();
        assert!(
            wrote.ends_with("Content-Length: 0\r\nConnection: close\r\n\r\n"),
            "{wrote}"
        );
    }

    #[test]
    fn responses_without_a_body_have_none() {
        let head = |status: u16, more: &str| {
            let text = format!("HTTP/1.1 {status} X\r\n{more}\r\n");
            parse_response(text.as_bytes()).unwrap().unwrap().1
        };
        let cases = [
            (
                head(200, "Content-Length: 3\r\n"),
                "GET",
                BodyFraming::Length(3),
            ),
            (
                head(200, "Content-Length: 3\r\n"),
                "HEAD",
                BodyFraming::Length(0),
            ),
            (head(204, ""), "GET", BodyFraming::Length(0)),
            (
                head(304, "Content-Length: 3\r\n"),
                "GET",
                BodyFraming::Length(0),
            ),
            (
                head(200, "Transfer-Encoding: chunked\r\n"),
                "GET",
                BodyFraming::Chunked,
            ),
            (head(200, ""), "GET", BodyFraming::UntilClose),
        ];
        for (head, method, wanted) in cases {
            assert_eq!(head.response_body(method), Ok(wanted), "{head:?}");
        }
    }
}
