//! Parses the head of a request: method, path, headers, and this system's own headers.

use std::time::Duration;

use reqwest::{Method, header::HeaderMap};
use rocket::{Request, http::Method as RocketMethod};

use crate::{
    header::{self, CUSTOMER, DEADLINE, IDEMPOTENCY_KEY},
    refusal::Reason,
};

/// The longest idempotency key, bytes.
const IDEMPOTENCY_KEY_LIMIT_BYTES: usize = 256;
/// The longest customer name, bytes; a longer one is refused without a lookup.
const CUSTOMER_LIMIT_BYTES: usize = 64;
/// What the HTTP library puts in place of header bytes that it cannot decode.
const DECODING_FAILED: char = '\u{FFFD}';

/// A request as it was received.
#[derive(Debug)]
pub struct InboundRequest {
    /// The method as sent.
    pub method: Method,
    /// The path as sent, percent-encoding included.
    pub path: String,
    /// Path and query as sent.
    pub path_and_query: String,
    /// The headers that are forwarded to the target.
    pub headers: HeaderMap,
    /// The customer.
    pub customer: String,
    /// The time until the caller's deadline, if it gave one.
    pub time_left: Option<Duration>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// What is known of the body before it is read.
    pub length: BodyLength,
    /// Whether the body is a form; the HTTP library may have replaced the method of such a request.
    pub is_form: bool,
}

/// What is known of a body before it is read.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum BodyLength {
    /// There is no body.
    None,
    /// It has this many bytes.
    Known(u64),
    /// It is sent with chunked transfer coding, so its length is not known.
    Chunked,
}

/// Parses the head of a request.
///
/// # Errors
/// Returns the reason to refuse the request.
pub fn read(request: &Request<'_>, header_limit: usize) -> Result<InboundRequest, Reason> {
    let path = request.uri().path().raw().as_str().to_owned();
    let path_and_query = match request.uri().query() {
        Some(query) => format!("{path}?{}", query.raw()),
        None => path.clone(),
    };
    let received = request.headers();
    let size: usize =
        received.iter().map(|header| header.name().as_str().len() + header.value().len() + 4).sum();
    if size + path_and_query.len() > header_limit {
        return Err(Reason::HeaderTooLarge);
    }
    let connection_options = header::connection_options(received.get("connection"));
    let mut headers = HeaderMap::new();
    for field in received.iter() {
        let name = field.name().as_str().to_ascii_lowercase();
        if !header::passes_to_target(&name, &connection_options) {
            continue;
        }
        let appended = !field.value().contains(DECODING_FAILED)
            && header::append(&mut headers, &name, field.value());
        if !appended {
            return Err(Reason::HeaderNotCarried);
        }
    }
    Ok(InboundRequest {
        method: method(request.method())?,
        path,
        path_and_query,
        headers,
        customer: customer(request)?,
        time_left: time_left(request)?,
        idempotency_key: idempotency_key(request)?,
        length: length(request)?,
        is_form: request.content_type().is_some_and(|kind| kind.is_form()),
    })
}

impl InboundRequest {
    /// Returns true if it is uncertain which method the caller sent, given the first bytes of the
    /// body.
    ///
    /// Rocket replaces the method of a posted form that starts with `_method=`. If the method is
    /// still POST, the caller sent POST; if it equals the form's value, the caller may have sent
    /// either.
    pub fn is_method_ambiguous(&self, start: &[u8]) -> bool {
        const FIELD: &[u8] = b"_method=";
        let Some(value) = self.is_form.then_some(start).and_then(|start| start.strip_prefix(FIELD))
        else {
            return false;
        };
        let value = value.split(|&byte| byte == b'&').next().unwrap_or_default();
        self.method != Method::POST && value.eq_ignore_ascii_case(self.method.as_str().as_bytes())
    }
}

fn method(method: RocketMethod) -> Result<Method, Reason> {
    Ok(match method {
        RocketMethod::Get => Method::GET,
        RocketMethod::Put => Method::PUT,
        RocketMethod::Post => Method::POST,
        RocketMethod::Delete => Method::DELETE,
        RocketMethod::Options => Method::OPTIONS,
        RocketMethod::Head => Method::HEAD,
        RocketMethod::Trace => Method::TRACE,
        RocketMethod::Patch => Method::PATCH,
        RocketMethod::Connect => return Err(Reason::MethodNotCarried),
    })
}

fn customer(request: &Request<'_>) -> Result<String, Reason> {
    match single(request, CUSTOMER) {
        Ok(Some(name)) if !name.is_empty() && name.len() <= CUSTOMER_LIMIT_BYTES => {
            Ok(name.to_owned())
        }
        _ => Err(Reason::CustomerMissing),
    }
}

fn time_left(request: &Request<'_>) -> Result<Option<Duration>, Reason> {
    let text = single(request, DEADLINE).map_err(|Repeated| Reason::DeadlineMalformed)?;
    text.map(|text| text.parse().map(Duration::from_millis))
        .transpose()
        .map_err(|_| Reason::DeadlineMalformed)
}

fn idempotency_key(request: &Request<'_>) -> Result<Option<String>, Reason> {
    match single(request, IDEMPOTENCY_KEY) {
        Ok(None) => Ok(None),
        Ok(Some(key)) if !key.is_empty() && key.len() <= IDEMPOTENCY_KEY_LIMIT_BYTES => {
            Ok(Some(key.to_owned()))
        }
        _ => Err(Reason::IdempotencyKeyMalformed),
    }
}

fn length(request: &Request<'_>) -> Result<BodyLength, Reason> {
    if request.headers().contains("transfer-encoding") {
        return Ok(BodyLength::Chunked);
    }
    match single(request, "content-length").map_err(|Repeated| Reason::MalformedRequest)? {
        None => Ok(BodyLength::None),
        Some(text) => text.parse().map(BodyLength::Known).map_err(|_| Reason::MalformedRequest),
    }
}

/// A header that may appear only once is repeated.
struct Repeated;

fn single<'a>(request: &'a Request<'_>, name: &str) -> Result<Option<&'a str>, Repeated> {
    let mut values = request.headers().get(name);
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(Repeated),
    }
}
