//! Which headers are forwarded, in each direction.

use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use smallvec::SmallVec;

/// Headers that are meant for one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The prefix of this system's own headers.
const OWN_PREFIX: &str = "citron-";

/// The header with the id of an attempt; the target returns it in its response.
pub const REQUEST_ID: &str = "citron-request-id";
/// The header with the time left until the deadline, milliseconds.
pub const DEADLINE: &str = "citron-deadline-ms";
/// The header that names the customer.
pub const CUSTOMER: &str = "citron-customer";
/// The header with the key under which a caller may safely resubmit a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header by which a target reports that it did not run a request.
pub const TARGET_OUTCOME: &str = "citron-target-outcome";

/// The header by which a target reports its load, `BUSY/SLOTS`.
pub const TARGET_LOAD: &str = "citron-target-load";
/// The header by which a target reports whether it is ready, cold or draining.
pub const TARGET_STATE: &str = "citron-target-state";
/// The header by which a target names how many requests a second it takes from all proxies together.
pub const TARGET_LIMIT: &str = "citron-target-limit";

/// The header names that `connection` headers list, in lower case.
pub type ConnectionOptions = SmallVec<[String; 2]>;

/// Returns the header names that the values of `connection` headers list.
pub fn connection_options<'a>(values: impl Iterator<Item = &'a str>) -> ConnectionOptions {
    values
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}

/// Returns true if the header `name`, in lower case, is forwarded from caller to target.
pub fn passes_to_target(name: &str, connection_options: &ConnectionOptions) -> bool {
    passes(name, connection_options)
        && name != "expect"
        && !(name.starts_with(OWN_PREFIX) && name != CUSTOMER)
}

/// Returns true if the header `name`, in lower case, is forwarded from target to caller.
pub fn passes_to_caller(name: &str, connection_options: &ConnectionOptions) -> bool {
    passes(name, connection_options) && !name.starts_with(OWN_PREFIX)
}

fn passes(name: &str, connection_options: &ConnectionOptions) -> bool {
    !HOP_BY_HOP.contains(&name) && !connection_options.iter().any(|entry| entry == name)
}

/// Adds a header if its name and value are valid; returns whether it was added.
pub fn append(headers: &mut HeaderMap, name: &str, value: &str) -> bool {
    let (Ok(name), Ok(value)) =
        (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_bytes(value.as_bytes()))
    else {
        return false;
    };
    headers.append(name, value);
    true
}
