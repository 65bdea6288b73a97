//! Parses the head of a caller's request.

use bytes::{Buf, BytesMut};
use hyper::{
    HeaderMap, Method, Uri,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING,
    },
};

use super::ParseError;

/// The number of headers for which there is room on the stack.
const USUAL_HEADERS: usize = 100;
/// The minimum length of a header with its line break, in bytes.
const HEADER_BYTES_MIN: usize = 4;

/// The head of a request.
#[derive(Debug, Clone)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The path with its query, as the caller sent it.
    pub uri: Uri,
    /// All headers.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub length: Length,
    /// Whether the caller keeps the connection open after the response.
    pub keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// How a body is framed.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Length {
    /// By its length in bytes, 0 if there is no body.
    Known(u64),
    /// By the chunked transfer coding.
    Chunked,
}

/// Parses the head at the front of `buffer`, or returns `None` if it is still incomplete.
///
/// # Errors
/// Fails if the head is malformed or longer than `limit` bytes.
pub fn parse(buffer: &mut BytesMut, limit: usize) -> Result<Option<Head>, ParseError> {
    let mut usual = [httparse::EMPTY_HEADER; USUAL_HEADERS];
    let parsed = match parse_with(buffer, limit, &mut usual) {
        Err(httparse::Error::TooManyHeaders) => {
            let mut all = vec![httparse::EMPTY_HEADER; limit / HEADER_BYTES_MIN];
            parse_with(buffer, limit, &mut all)
        }
        parsed => parsed,
    };
    let parsed = parsed.map_err(|error| match error {
        httparse::Error::TooManyHeaders => ParseError::HeadTooLong,
        _ => ParseError::Malformed,
    })?;
    let Some((head, length)) = parsed.transpose()? else { return Ok(None) };
    buffer.advance(length);
    Ok(Some(head))
}

/// The head with its length in bytes, `None` while it is incomplete.
type Parsed = Option<Result<(Head, usize), ParseError>>;

/// Parses the head with room for the headers in `storage`.
fn parse_with<'b>(
    buffer: &'b [u8],
    limit: usize,
    storage: &mut [httparse::Header<'b>],
) -> Result<Parsed, httparse::Error> {
    let mut request = httparse::Request::new(storage);
    let length = match request.parse(buffer)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if buffer.len() <= limit => return Ok(None),
        httparse::Status::Partial => return Ok(Some(Err(ParseError::HeadTooLong))),
    };
    if length > limit {
        return Ok(Some(Err(ParseError::HeadTooLong)));
    }
    Ok(Some(build_head(&request).map(|head| (head, length))))
}

fn build_head(request: &httparse::Request<'_, '_>) -> Result<Head, ParseError> {
    let method = request.method.and_then(|m| Method::from_bytes(m.as_bytes()).ok());
    let uri = request.path.and_then(|path| path.parse::<Uri>().ok());
    let (Some(method), Some(uri), Some(version)) = (method, uri, request.version) else {
        return Err(ParseError::Malformed);
    };
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else { return Err(ParseError::Malformed) };
        headers.append(name, value);
    }
    if headers.get_all(HOST).iter().count() != 1 || !is_origin_form(&uri) {
        return Err(ParseError::Malformed);
    }
    let closes = has_token(&headers, "close");
    let keep_alive = !closes && (version == 1 || has_token(&headers, "keep-alive"));
    let expects_continue =
        headers.get(EXPECT).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    Ok(Head { length: body_length(&headers)?, method, uri, headers, keep_alive, expects_continue })
}

fn is_origin_form(uri: &Uri) -> bool {
    uri.authority().is_none() && uri.path().starts_with('/')
}

/// Returns how the body is framed; refuses two framings at once, which could smuggle a second
/// request.
fn body_length(headers: &HeaderMap) -> Result<Length, ParseError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(Length::Known(0)),
        (None, Some(encoding)) => {
            let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if is_chunked && encodings.next().is_none() {
                Ok(Length::Chunked)
            } else {
                Err(ParseError::Malformed)
            }
        }
        (Some(length), None) if lengths.next().is_none() => {
            let digits = length.to_str().ok().filter(|s| s.bytes().all(|b| b.is_ascii_digit()));
            digits.and_then(|s| s.parse().ok()).map(Length::Known).ok_or(ParseError::Malformed)
        }
        _ => Err(ParseError::Malformed),
    }
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
}
