//! Makes one attempt at one target.

use std::{ops::RangeInclusive, time::Duration};

use bytes::Bytes;
use citron::{attempt::AttemptResult, choice};
use reqwest::{
    Client, Response, StatusCode, Url,
    header::{HeaderValue, RETRY_AFTER},
};
use tokio::time;

use crate::{
    body::{Body, Upload},
    header::{DEADLINE, REQUEST_ID, TARGET_LIMIT, TARGET_LOAD, TARGET_OUTCOME, TARGET_STATE},
    inbound::InboundRequest,
    service::Slot,
    shared::Shared,
};

/// How long opening a connection to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after its start an attempt may still arrive at its target.
pub const RETRY_FLIGHT: Duration = CONNECT_TIMEOUT.saturating_add(USER_TIMEOUT);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most idle connections kept per target.
const IDLE_LIMIT_PER_TARGET: usize = 8;
/// The statuses that a final response may have.
const FINAL_STATUS: RangeInclusive<u16> = 200..=599;

/// A response whose head and first part of the body have arrived, so that a body that is broken
/// from its start is noticed before the response is forwarded.
pub struct StartedResponse {
    /// The head, and the body without its first part.
    pub response: Response,
    /// The first part of the body, empty if the body is.
    pub first_part: Bytes,
}

/// The HTTP clients for targets: one with a connection pool, and one that opens a new connection
/// for each attempt.
#[derive(Debug, Clone)]
pub struct Clients {
    pooled: Client,
    fresh: Client,
}

impl Clients {
    /// Creates both clients.
    ///
    /// # Errors
    /// Fails if the HTTP library cannot be set up.
    pub fn new() -> Result<Self, reqwest::Error> {
        let base = || {
            Client::builder()
                .no_proxy()
                .referer(false)
                .redirect(reqwest::redirect::Policy::none())
                .retry(reqwest::retry::never())
                .http1_only()
                .tcp_nodelay(true)
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_user_timeout(USER_TIMEOUT)
        };
        Ok(Self {
            pooled: base()
                .pool_idle_timeout(IDLE_TIMEOUT)
                .pool_max_idle_per_host(IDLE_LIMIT_PER_TARGET)
                .build()?,
            fresh: base().pool_max_idle_per_host(0).build()?,
        })
    }
}

/// What one attempt sends, and when it times out.
pub struct Attempt<'a> {
    /// The request.
    pub inbound: &'a InboundRequest,
    /// Its body.
    pub body: &'a Body,
    /// The slot at the target.
    pub slot: &'a Slot,
    /// The id that the target must return.
    pub id: &'a str,
    /// When the attempt times out, since the process origin.
    pub until: Duration,
    /// When the request must have ended, since the process origin.
    pub deadline: Duration,
    /// Whether it must use a new connection.
    pub fresh: bool,
}

/// Returns the URL of `path_and_query` at `authority`, or `None` if the URL library would change
/// the path or query.
pub fn url(authority: &str, path_and_query: &str) -> Option<Url> {
    if !path_and_query.starts_with('/') {
        return None;
    }
    let url = Url::parse(&format!("http://{authority}{path_and_query}")).ok()?;
    let unchanged = match path_and_query.split_once('?') {
        Some((path, query)) => url.path() == path && url.query() == Some(query),
        None => url.path() == path_and_query && url.query().is_none(),
    };
    (unchanged && url.fragment().is_none()).then_some(url)
}

/// Makes one attempt and waits for the head of the response and the first part of its body.
pub async fn send(shared: &Shared, attempt: Attempt<'_>) -> Result<StartedResponse, AttemptResult> {
    let request = request(shared, &attempt).ok_or(AttemptResult::NotConnected)?;
    let client = if attempt.fresh { &shared.clients.fresh } else { &shared.clients.pooled };
    let until = shared.clock.instant(attempt.until);
    let mut response = match time::timeout_at(until, client.execute(request)).await {
        Err(_) => return Err(AttemptResult::TimedOut),
        Ok(Err(error)) => return Err(failed_result(&error)),
        Ok(Ok(response)) => response,
    };
    // The HTTP library accepts any status from 100 to 999, and 101 as a final one.
    if !FINAL_STATUS.contains(&response.status().as_u16()) {
        log::debug!("dropped a target's response with the status {}", response.status());
        return Err(AttemptResult::Broken);
    }
    if response.headers().get(REQUEST_ID).map(HeaderValue::as_bytes) != Some(attempt.id.as_bytes())
    {
        return Err(AttemptResult::Foreign);
    }
    let shed = response.status() == 503
        && response.headers().get(TARGET_OUTCOME).is_some_and(|value| value == "not-run");
    attempt.slot.assignment.record_response(target_report(&response), shed);
    if shed {
        return Err(AttemptResult::Shed);
    }
    match time::timeout_at(until, response.chunk()).await {
        Err(_) => Err(AttemptResult::TimedOut),
        Ok(Err(error)) => Err(failed_result(&error)),
        Ok(Ok(part)) => Ok(StartedResponse { response, first_part: part.unwrap_or_default() }),
    }
}

/// Returns what a target reports about itself in its response.
fn target_report(response: &Response) -> choice::TargetReport {
    let headers = response.headers();
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let is_refusal = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    choice::TargetReport {
        load: text(TARGET_LOAD).and_then(|text| text.parse().ok()),
        state: text(TARGET_STATE).and_then(|text| text.parse().ok()).unwrap_or_default(),
        pause: text(RETRY_AFTER.as_str()).filter(|_| is_refusal).and_then(seconds),
        limit_per_s: text(TARGET_LIMIT).and_then(rate),
    }
}

/// Parses a number of seconds; one that cannot be read is logged.
fn seconds(text: &str) -> Option<Duration> {
    let parsed = text.trim().parse().ok().and_then(|value| Duration::try_from_secs_f64(value).ok());
    if parsed.is_none() {
        log::debug!("ignored a target's header {RETRY_AFTER}: {text:?} is no number of seconds");
    }
    parsed
}

/// Parses a number of requests a second; one that cannot be read is logged.
fn rate(text: &str) -> Option<f64> {
    let parsed = text.trim().parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0);
    if parsed.is_none() {
        log::debug!("ignored a target's header {TARGET_LIMIT}: {text:?} is no rate");
    }
    parsed
}

fn request(shared: &Shared, attempt: &Attempt<'_>) -> Option<reqwest::Request> {
    let inbound = attempt.inbound;
    let url = url(&attempt.slot.target.address.to_string(), &inbound.path_and_query)?;
    let mut request = reqwest::Request::new(inbound.method.clone(), url);
    let headers = request.headers_mut();
    *headers = inbound.headers.clone();
    let left = attempt.deadline.saturating_sub(shared.clock.now());
    headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
    headers.insert(REQUEST_ID, HeaderValue::from_str(attempt.id).ok()?);
    *request.body_mut() = match attempt.body {
        Body::Empty => None,
        Body::Buffered(bytes) => Some(bytes.clone().into()),
        Body::Streamed(upload) => Some(Upload::body(upload)),
    };
    Some(request)
}

fn failed_result(error: &reqwest::Error) -> AttemptResult {
    if error.is_connect() {
        AttemptResult::NotConnected
    } else if error.is_timeout() {
        AttemptResult::TimedOut
    } else {
        AttemptResult::Broken
    }
}
