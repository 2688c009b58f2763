//! Status codes of gRPC and their encoding in headers.

use http::{HeaderMap, HeaderValue};
use std::fmt;

/// The status codes of "Status codes and their use in gRPC".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Ok = 0,
    Cancelled = 1,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    AlreadyExists = 6,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Aborted = 10,
    OutOfRange = 11,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
    DataLoss = 15,
    Unauthenticated = 16,
}

/// All codes, each at the index of its number.
const CODES: [Code; 17] = [
    Code::Ok,
    Code::Cancelled,
    Code::Unknown,
    Code::InvalidArgument,
    Code::DeadlineExceeded,
    Code::NotFound,
    Code::AlreadyExists,
    Code::PermissionDenied,
    Code::ResourceExhausted,
    Code::FailedPrecondition,
    Code::Aborted,
    Code::OutOfRange,
    Code::Unimplemented,
    Code::Internal,
    Code::Unavailable,
    Code::DataLoss,
    Code::Unauthenticated,
];

/// The status that a call ended with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub code: Code,
    /// Text for people; may be empty.
    pub message: String,
}

impl Status {
    /// A status with a message for people.
    pub fn new(code: Code, message: impl Into<String>) -> Status {
        let message = message.into();
        Status { code, message }
    }

    /// The status of a call whose stream or connection failed.
    pub(crate) fn from_h2(e: &h2::Error) -> Status {
        let code = match e.reason() {
            Some(h2::Reason::CANCEL) => Code::Cancelled,
            Some(h2::Reason::REFUSED_STREAM) | None => Code::Unavailable,
            Some(h2::Reason::ENHANCE_YOUR_CALM) => Code::ResourceExhausted,
            Some(_) => Code::Internal,
        };
        Status::new(code, e.to_string())
    }

    /// Writes the status into trailers, or into the headers of a response without messages.
    pub(crate) fn write_to(&self, headers: &mut HeaderMap) {
        headers.insert("grpc-status", HeaderValue::from(self.code as i32));
        if !self.message.is_empty()
            && let Ok(text) = HeaderValue::from_str(&percent_encode(&self.message))
        {
            headers.insert("grpc-message", text);
        }
    }

    /// Reads a status from trailers; none without the header `grpc-status`.
    pub(crate) fn read_from(headers: &HeaderMap) -> Option<Status> {
        let number = headers.get("grpc-status")?.to_str().ok()?.parse::<usize>();
        let code = number.ok().and_then(|n| CODES.get(n).copied());
        let text = headers.get("grpc-message").and_then(|v| v.to_str().ok());
        let message = percent_decode(text.unwrap_or_default());
        Some(Status::new(code.unwrap_or(Code::Unknown), message))
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.code, self.message)
    }
}

impl std::error::Error for Status {}

/// Percent-encodes a message as in "Responses" of the specification: everything but printable ASCII, and `%`.
fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'%' => out.push_str("%25"),
            0x20..=0x7e => out.push(byte as char),
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

/// Decodes [`percent_encode`]; a `%` without two hexadecimal digits stays as it is.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let pair = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match pair.and_then(|p| u8::from_str_radix(p, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[cfg(test)]
mod tests;
