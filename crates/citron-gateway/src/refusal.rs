//! The responses to requests that the gateway refuses or could not complete.

use std::time::Duration;

use citron::attempt::{Cause, Outcome};
use hyper::StatusCode;

use crate::{access::Denied, caller::Cut, http1::Response, quota, waiting::Refused};

/// The delay, in seconds, after which a caller may retry a refused request if nothing is known that
/// takes longer.
const RETRY_AFTER_S: f64 = 0.25;
/// The same while nothing confirms the customers' keys or tells a route: an outage, a cut of this host
/// or an unreadable part of the configuration lasts longer.
const UNCONFIRMED_RETRY_AFTER_S: f64 = 1.0;

/// Returns the response to a request that ended without one from a target.
///
/// Status 503 states that the request has not run and never will; 502 and 504 leave this open. No
/// target is available for `unavailable_for`.
pub fn response(outcome: Outcome, cause: Cause, unavailable_for: Duration) -> Response {
    let reason: &'static str = cause.into();
    match (outcome, cause) {
        (Outcome::NotRun, _) => {
            let seconds = unavailable_for.as_secs_f64().max(RETRY_AFTER_S);
            Response::error(503, reason).retry_after(seconds)
        }
        (_, Cause::DeadlinePassed | Cause::TargetTimedOut) => Response::error(504, reason),
        _ => Response::error(502, reason),
    }
}

/// Returns the response to a request that waited in vain and that no target ran.
pub fn waited(refused: Refused, unavailable_for: Duration) -> Response {
    let seconds = refused.retry_after.max(unavailable_for).as_secs_f64();
    Response::error(503, refused.reason.into()).retry_after(seconds.max(RETRY_AFTER_S))
}

/// Returns the response while the gateway does not know the routes yet.
pub fn routes_unknown() -> Response {
    Response::error(503, "routes-unknown").retry_after(RETRY_AFTER_S)
}

/// Returns the response to a request that is not accepted.
pub fn denied(denied: Denied) -> Response {
    match denied {
        Denied::KeyInvalid => Response::error(401, denied.into()),
        Denied::KeysUnconfirmed => {
            Response::error(503, denied.into()).retry_after(UNCONFIRMED_RETRY_AFTER_S)
        }
    }
}

/// Returns the response to a request that its customer's quota does not allow. The time to retry is
/// not rounded down, as there would be no token yet.
pub fn over_quota(denied: quota::Denied) -> Response {
    match denied {
        quota::Denied::QuotaExceeded(wait) => {
            let seconds = (wait.as_secs_f64() * 100.0).ceil() / 100.0;
            Response::error(429, denied.into()).retry_after(seconds.max(0.01))
        }
        quota::Denied::QuotaUnreachable => {
            Response::error(503, denied.into()).retry_after(RETRY_AFTER_S)
        }
    }
}

/// Returns the response to a request for which there is no memory.
pub fn memory_full() -> Response {
    Response::error(503, "memory-full").retry_after(RETRY_AFTER_S)
}

/// Returns the response to a request that this gateway would not complete before it is killed;
/// others serve it at once.
pub fn stopping() -> Response {
    Response::error(503, "stopping").retry_after(RETRY_AFTER_S)
}

/// Returns the response to a request that is still in flight when this gateway must end.
pub fn stopped() -> Response {
    Response::error(504, "stopped")
}

/// Returns true if a status promises that the request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the response to a request that a target ran and failed.
pub fn run_failed() -> Response {
    Response::error(502, "run-failed")
}

/// Returns the response to a request whose response from a target was cut before any of it was
/// forwarded.
pub fn cut(cut: Cut) -> Response {
    match cut {
        Cut::Deadline => Response::error(504, cut.into()),
        Cut::TargetBroken | Cut::CallerLeft => Response::error(502, cut.into()),
    }
}

/// Returns the response to a request whose route, or the services of it, cannot be read in the
/// configuration. The operator has to mend that.
pub fn route_unknown() -> Response {
    Response::error(503, "route-unknown").retry_after(UNCONFIRMED_RETRY_AFTER_S)
}

/// Returns the response to a request whose path matches no route.
pub fn no_route() -> Response {
    Response::error(404, "no-route")
}

/// Returns the time that a caller allows for its request, or the longest one if it states none.
pub fn caller_timeout(text: Option<&str>) -> Duration {
    const DEFAULT: Duration = Duration::from_secs(30);
    text.and_then(|text| text.trim().parse().ok()).map_or(DEFAULT, Duration::from_millis)
}
