//! Parsing of requests and responses. `httparse` parses the heads and chunk sizes; the bodies are read here.

use super::{MAX_HEAD_BYTES, MAX_HEADERS, MAX_REQUEST_BODY, MAX_RESPONSE_BODY, ParseError, Parsed, Request, Response};
use httparse::{Header, Status};

const LINE_END: &[u8] = b"\r\n";
/// Number by which `httparse` denotes HTTP/1.0, where the connection is closed after each response.
const VERSION_1_0: u8 = 0;

/// Parses the request at the start of `bytes`.
pub fn parse_request(bytes: &[u8]) -> Result<Parsed<Request>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Parsed::Complete((), body_start) = head_end(head.parse(bytes), bytes)? else { return Ok(Parsed::Partial) };
    let framing = Framing::of(head.headers)?;
    let body = parse_body(bytes, body_start, &framing, MAX_REQUEST_BODY)?;
    let Parsed::Complete(body, end) = body else { return Ok(Parsed::Partial) };
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        path: head.path.unwrap_or_default().to_string(),
        body,
        close: framing.close || head.version == Some(VERSION_1_0),
    };
    Ok(Parsed::Complete(request, end))
}

/// Parses the response at the start of `bytes`.
pub fn parse_response(bytes: &[u8]) -> Result<Parsed<Response>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Parsed::Complete((), body_start) = head_end(head.parse(bytes), bytes)? else { return Ok(Parsed::Partial) };
    let framing = Framing::of(head.headers)?;
    let body = parse_body(bytes, body_start, &framing, MAX_RESPONSE_BODY)?;
    let Parsed::Complete(body, end) = body else { return Ok(Parsed::Partial) };
    let response =
        Response { status: head.code.unwrap_or(0), body, close: framing.close || head.version == Some(VERSION_1_0) };
    Ok(Parsed::Complete(response, end))
}

/// Converts the result of `httparse` to the offset at which the head ends.
fn head_end(parsed: httparse::Result<usize>, bytes: &[u8]) -> Result<Parsed<()>, ParseError> {
    match parsed {
        Ok(Status::Complete(end)) => Ok(Parsed::Complete((), end)),
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(Parsed::Partial),
        Ok(Status::Partial) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::Malformed),
    }
}

/// Framing of the body and persistence of the connection, according to the headers.
#[derive(Default)]
struct Framing {
    content_length: Option<usize>,
    chunked: bool,
    close: bool,
}

impl Framing {
    fn of(headers: &[Header<'_>]) -> Result<Framing, ParseError> {
        let mut framing = Framing::default();
        for header in headers {
            framing.add(header)?;
        }
        // A proxy could interpret a request with both headers differently, which permits request smuggling.
        if framing.chunked && framing.content_length.is_some() { Err(ParseError::Malformed) } else { Ok(framing) }
    }

    fn add(&mut self, header: &Header<'_>) -> Result<(), ParseError> {
        let value = std::str::from_utf8(header.value).ok().map(str::trim);
        if header.name.eq_ignore_ascii_case("content-length") {
            self.set_content_length(value.ok_or(ParseError::Malformed)?)?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
                return Err(ParseError::Malformed);
            }
            self.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            let mut options = value.unwrap_or_default().split(',');
            self.close |= options.any(|option| option.trim().eq_ignore_ascii_case("close"));
        }
        Ok(())
    }

    /// Sets the content length. A repeated header is accepted only if it has the same value.
    fn set_content_length(&mut self, value: &str) -> Result<(), ParseError> {
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseError::Malformed);
        }
        let length = value.parse().map_err(|_| ParseError::Malformed)?;
        match self.content_length.replace(length) {
            Some(other) if other != length => Err(ParseError::Malformed),
            _ => Ok(()),
        }
    }
}

/// Parses the body that starts at offset `start`. Returns it with the offset at which it ends.
fn parse_body(bytes: &[u8], start: usize, framing: &Framing, max: usize) -> Result<Parsed<Vec<u8>>, ParseError> {
    if framing.chunked {
        parse_chunked_body(bytes, start, max)
    } else {
        parse_plain_body(bytes, start, framing.content_length.unwrap_or(0), max)
    }
}

fn parse_plain_body(bytes: &[u8], start: usize, length: usize, max: usize) -> Result<Parsed<Vec<u8>>, ParseError> {
    if length > max {
        return Err(ParseError::BodyTooLarge);
    }
    let end = start + length;
    Ok(bytes.get(start..end).map_or(Parsed::Partial, |body| Parsed::Complete(body.to_vec(), end)))
}

fn parse_chunked_body(bytes: &[u8], start: usize, max: usize) -> Result<Parsed<Vec<u8>>, ParseError> {
    let mut position = start;
    let mut body = Vec::new();
    loop {
        let Parsed::Complete(chunk, length) = parse_chunk(&bytes[position..], max - body.len())? else {
            return Ok(Parsed::Partial);
        };
        position += length;
        body.extend_from_slice(chunk);
        if chunk.is_empty() {
            return Ok(Parsed::Complete(body, position));
        }
    }
}

/// Parses the chunk at the start of `bytes`. An empty chunk ends the body.
fn parse_chunk(bytes: &[u8], max: usize) -> Result<Parsed<&[u8]>, ParseError> {
    let (head, size) = match httparse::parse_chunk_size(bytes) {
        Ok(Status::Complete(parsed)) => parsed,
        Ok(Status::Partial) => return Ok(Parsed::Partial),
        Err(_) => return Err(ParseError::Malformed),
    };
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    if size > max {
        return Err(ParseError::BodyTooLarge);
    }
    let end = head + size + LINE_END.len();
    let Some(chunk) = bytes.get(head..end) else { return Ok(Parsed::Partial) };
    let (data, line_end) = chunk.split_at(size);
    if line_end == LINE_END { Ok(Parsed::Complete(data, end)) } else { Err(ParseError::Malformed) }
}
