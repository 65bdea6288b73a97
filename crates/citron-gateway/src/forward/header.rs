//! Headers that are passed on, and those that are not.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName},
};

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Returns the text of a header, if it has one.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the headers of an answer that a caller gets.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let kept =
        headers.iter().filter(|(name, _)| !is_hop(name, headers) && **name != CONTENT_LENGTH);
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Returns true if a header concerns one connection only, by itself or as `Connection` names it.
pub fn is_hop(name: &HeaderName, headers: &HeaderMap) -> bool {
    if HOP_HEADERS.contains(&name.as_str()) {
        return true;
    }
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    named
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(name.as_str()))
}

/// Returns the idle time that a target promises.
pub fn keep_alive(value: &str) -> Option<Duration> {
    let mut parts = value.split(',').filter_map(|part| part.trim().split_once('='));
    let timeout = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    timeout.and_then(|(_, seconds)| seconds.trim().parse().ok()).map(Duration::from_secs)
}
