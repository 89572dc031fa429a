//! Serialization of requests and responses.

use super::OutgoingRequest;
use std::fmt::Write;

/// Returns the bytes of a request to `host`.
pub fn write_request(request: &OutgoingRequest<'_>, host: &str) -> Vec<u8> {
    let OutgoingRequest { method, path, body } = request;
    let body = body.unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns the bytes of a response. `close` adds the header that announces that the connection will be closed,
/// `retry_after` is in seconds.
pub fn write_response(status: u16, retry_after: Option<u32>, close: bool, body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        reason_phrase(status),
        body.len()
    );
    if let Some(seconds) = retry_after {
        // Writing to a string cannot fail.
        let _ = write!(head, "Retry-After: {seconds}\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
