//! What a caller is told when there is no answer from a target.

use std::time::Duration;

use citron::attempt::{Cause, Outcome};

use crate::http1::Response;

/// When a caller may come back after a refusal, at the latest.
const RETRY_AFTER_S: f64 = 0.25;

/// Returns the answer for a request that ended without one from a target.
///
/// Status 503 says that the request has not run and never will; 502 and 504 say nothing.
pub fn response(outcome: Outcome, cause: Cause) -> Response {
    let reason: &'static str = cause.into();
    match (outcome, cause) {
        (Outcome::NotRun, _) => Response::error(503, reason).retry_after(RETRY_AFTER_S),
        (_, Cause::DeadlinePassed | Cause::TargetTimedOut) => Response::error(504, reason),
        _ => Response::error(502, reason),
    }
}

/// Returns the answer of a gateway that does not know the routes yet.
pub fn not_started() -> Response {
    Response::error(503, "routes-unknown").retry_after(RETRY_AFTER_S)
}

/// Returns the answer for a path that no route serves.
pub fn no_route() -> Response {
    Response::error(404, "no-route")
}

/// Returns the time that a caller gives the system, or the longest one if it gives none.
pub fn caller_time(text: Option<&str>) -> Duration {
    /// The time of a caller that states none.
    const UNSTATED: Duration = Duration::from_secs(30);
    text.and_then(|text| text.trim().parse().ok()).map_or(UNSTATED, Duration::from_millis)
}
