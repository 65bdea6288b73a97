//! Responses to callers.

use std::io::Write;

use bytes::{Bytes, BytesMut};
use citron::gray::Verdict;
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use tokio::time::Instant;

use crate::{connection::ResponseBody, forward::AttemptGuard};

/// A response to one request.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those that concern the connection or the framing.
    pub headers: HeaderMap,
    /// The body, or its first part.
    pub body: Bytes,
    /// The rest of a body that is too long to be buffered.
    pub rest: Option<BodyStream>,
    /// Set if the request was for the head only: the length that the head states, if any.
    pub head_only: Option<Option<u64>>,
}

/// The rest of a body that is forwarded while it arrives.
#[derive(Debug)]
pub struct BodyStream {
    /// The body as received from the target.
    pub body: ResponseBody,
    /// The length of the whole body, if the target stated it.
    pub length: Option<u64>,
    /// When the request ends even if the body has not.
    pub deadline: Instant,
    /// The attempt, which ends with the body.
    pub attempt: AttemptGuard,
    /// What the attempt says about the target if the body is complete.
    pub verdict: Option<Verdict>,
}

impl Response {
    /// Creates an error response of the gateway itself, with `reason` in a header.
    pub fn error(status: u16, reason: &str) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(reason) {
            headers.insert(HeaderName::from_static("citron-reason"), value);
        }
        Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY),
            headers,
            body: Bytes::new(),
            rest: None,
            head_only: None,
        }
    }

    /// Tells the caller to retry after `seconds`.
    pub fn retry_after(mut self, seconds: f64) -> Self {
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.2}")) {
            self.headers.insert(RETRY_AFTER, value);
        }
        self
    }

    /// Returns true if the body is sent in chunks because its length is unknown.
    pub fn is_chunked(&self) -> bool {
        self.rest.as_ref().is_some_and(|rest| rest.length.is_none())
    }
}

/// Writes the head of a response.
pub fn write_head(out: &mut BytesMut, response: &Response, keep_alive: bool) {
    let status = response.status;
    let reason = status.canonical_reason().unwrap_or("Unknown");
    write_text(out, format_args!("HTTP/1.1 {} {reason}\r\n", status.as_u16()));
    for (name, value) in &response.headers {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    if !keep_alive {
        out.extend_from_slice(b"connection: close\r\n");
    }
    match (&response.head_only, &response.rest) {
        (Some(Some(length)), _) => write_text(out, format_args!("content-length: {length}\r\n")),
        (Some(None), _) => {}
        (None, Some(BodyStream { length: Some(length), .. })) => {
            write_text(out, format_args!("content-length: {length}\r\n"));
        }
        (None, Some(_)) => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        (None, None) if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED => {}
        (None, None) => {
            write_text(out, format_args!("content-length: {}\r\n", response.body.len()));
        }
    }
    out.extend_from_slice(b"\r\n");
}

fn write_text(out: &mut BytesMut, text: std::fmt::Arguments<'_>) {
    struct Sink<'a>(&'a mut BytesMut);
    impl Write for Sink<'_> {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.extend_from_slice(bytes);
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let written = Sink(out).write_fmt(text);
    debug_assert!(written.is_ok(), "writing to memory cannot fail");
}
