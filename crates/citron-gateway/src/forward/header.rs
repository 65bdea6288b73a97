//! Which headers are forwarded, and how they are read.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName},
};

/// Headers that apply to a single connection only.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Returns the value of a header, if it is present and visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the headers of a response that are forwarded to the caller.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let kept = headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name, headers) && **name != CONTENT_LENGTH);
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns true if a header applies to a single connection only, by definition or because
/// `Connection` names it.
pub fn is_hop_by_hop(name: &HeaderName, headers: &HeaderMap) -> bool {
    if HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
        return true;
    }
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    named
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(name.as_str()))
}

/// Returns the timeout that a `Keep-Alive` header states.
pub fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').filter_map(|part| part.trim().split_once('='));
    let timeout = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    timeout.and_then(|(_, seconds)| seconds.trim().parse().ok()).map(Duration::from_secs)
}
