//! Parsing and writing of HTTP/1.1 messages.

mod parser;
mod writer;

pub use parser::{parse_request, parse_response};
pub use writer::{write_request, write_response};

use thiserror::Error;

/// Maximum size in bytes of the body of a request from a user or a worker.
pub const MAX_REQUEST_BODY: usize = 64 * 1024;
/// Maximum size in bytes of the body of a response from a service. The state service sends pages of 512 KiB. The
/// changes that a watch has missed may exceed the maximum; the records are then read again in pages.
pub const MAX_RESPONSE_BODY: usize = 4 * 1024 * 1024;
/// Maximum size in bytes of the head of a message: the request line or status line and the headers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;

/// Received request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// `true` if the connection is to be closed after the reply.
    pub close: bool,
}

/// Received response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// `true` if the server closes the connection after this response.
    pub close: bool,
}

/// Request to be sent.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method, such as `GET`.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Body, if the request has one.
    pub body: Option<&'a [u8]>,
}

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// Valid beginning of a message that is not complete yet.
    Partial,
    /// Complete message and the number of bytes that it occupies.
    Complete(T, usize),
}

/// Error for bytes that cannot be parsed as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// Not a valid message.
    #[error("not an HTTP/1.1 message")]
    Malformed,
    /// Body that exceeds the maximum size.
    #[error("the body is too large")]
    BodyTooLarge,
    /// Head that exceeds the maximum size.
    #[error("the headers are too large")]
    HeadTooLarge,
}

impl ParseError {
    /// Returns the status code of the reply to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => 400,
            ParseError::BodyTooLarge => 413,
            ParseError::HeadTooLarge => 431,
        }
    }
}
