//! One attempt at a target: connects, sends the request and receives the response.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use citron::{
    attempt::AttemptResult,
    catalog::Target,
    gray::{Choice, Verdict},
};
use citron_adapter::header::{ATTEMPT_ID, EXPECTED_TARGET, NOT_RUN, REMAINING_MS, SIGNATURE};
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{CONTENT_LENGTH, EXPECT, HeaderValue},
};
use log::Level;
use tokio::time;

use super::{
    Forwarder, HEDGE_DELAY_SHARE,
    header::{end_to_end, is_hop_by_hop, keep_alive_timeout, text},
};
use crate::{
    connection::{self, Connection, ResponseBody},
    http1::{BodyStream, Response},
    shared::Shared,
};

/// How long connecting to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A response up to this size is buffered until it is complete, so that the request can be retried
/// if the response breaks off.
const BUFFER_LIMIT_BYTES: usize = 64 * 1024;
/// The maximum idle time of a connection that a non-idempotent request may reuse.
const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_millis(500);
/// The maximum idle time of a connection that an idempotent request may reuse.
const IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_secs(6);

/// A finished attempt.
pub(super) struct Attempt {
    /// How it ended.
    pub result: AttemptResult,
    /// The target's response, if it can be forwarded.
    pub response: Option<Response>,
    /// How long it took.
    pub took: Duration,
    verdict: Option<Verdict>,
}

impl Attempt {
    fn new(result: AttemptResult, verdict: Option<Verdict>) -> Self {
        Self { result, response: None, took: Duration::ZERO, verdict }
    }
}

/// Reports the end of an attempt to the shared state, even if the attempt is dropped.
struct AttemptGuard<'a> {
    shared: &'a Shared,
    choice: &'a Choice,
    started_at: Duration,
    /// When the attempt becomes overdue.
    overdue_at: Duration,
    verdict: Option<Verdict>,
    ended: bool,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let overdue = !self.ended && self.choice.had_free_slot() && now > self.overdue_at;
        let verdict = if overdue { Some(Verdict::Overdue) } else { self.verdict };
        self.shared.end_attempt(&self.choice.target, verdict, now.saturating_sub(self.started_at));
    }
}

impl Forwarder<'_> {
    /// Makes one attempt at the chosen target.
    pub(super) async fn attempt(&self, choice: Choice) -> Attempt {
        let target = &choice.target;
        let started_at = self.shared.clock.now();
        let mut guard = AttemptGuard {
            shared: self.shared,
            choice: &choice,
            started_at,
            overdue_at: started_at + self.route.objective.mul_f64(HEDGE_DELAY_SHARE),
            verdict: None,
            ended: false,
        };
        let limit = self.shared.clock.instant(self.deadline);
        let mut attempt = match time::timeout_at(limit, self.send(target)).await {
            Ok(attempt) => attempt,
            Err(_) => Attempt::new(AttemptResult::TimedOut, Some(Verdict::Silent)),
        };
        let took = self.shared.clock.now().saturating_sub(started_at);
        attempt.took = took;
        if attempt.verdict == Some(Verdict::Served) && took > self.route.objective {
            attempt.verdict = Some(Verdict::Late);
        }
        // A timeout says nothing about the target if little time was left before the deadline or if
        // the request waited for a slot.
        let is_conclusive =
            choice.had_free_slot() && took > self.route.objective.mul_f64(HEDGE_DELAY_SHARE);
        if attempt.result == AttemptResult::TimedOut && !is_conclusive {
            attempt.verdict = None;
        }
        guard.verdict = attempt.verdict;
        guard.ended = true;
        self.shared.metrics.record_attempt(attempt.result.into());
        let level =
            if attempt.result == AttemptResult::Answered { Level::Info } else { Level::Warn };
        log::log!(
            level,
            "event=attempt id={} target={} address={} sick={:.3} busy={} age_ms={} candidates={} targets={} held={} ending={} status={} took_ms={}",
            self.id,
            target.id,
            target.address,
            choice.failure_probability,
            choice.in_flight,
            choice.age.map_or(-1, |age| age.as_millis() as i64),
            choice.candidates,
            choice.revision,
            choice.lapsed,
            attempt.result,
            attempt.response.as_ref().map_or(0, |response| response.status.as_u16()),
            took.as_millis()
        );
        attempt
    }

    /// Sends the request to a target and receives the response.
    async fn send(&self, target: &Target) -> Attempt {
        let Some(request) = self.build_request(target) else {
            return Attempt::new(AttemptResult::Broken, None);
        };
        let idle_limit =
            if self.route.idempotent { IDEMPOTENT_IDLE_LIMIT } else { NON_IDEMPOTENT_IDLE_LIMIT };
        let pooled = self.shared.pool.take(&target.id, target.born_ms, idle_limit).await;
        let connection = match pooled {
            Some(connection) => connection,
            None => match Connection::connect(target.address, CONNECT_TIMEOUT).await {
                Ok(connection) => {
                    self.shared.metrics.connections_opened.inc();
                    connection
                }
                Err(error) => {
                    log::warn!(
                        "event=connect-failed id={} target={} address={} reason={:?}",
                        self.id,
                        target.id,
                        target.address,
                        error.to_string()
                    );
                    return Attempt::new(AttemptResult::NotConnected, Some(Verdict::Unreachable));
                }
            },
        };
        match connection.send(request).await {
            Ok(response) => self.receive(target, response).await,
            Err(connection::Error::NotSent) => {
                Attempt::new(AttemptResult::NotConnected, Some(Verdict::Unreachable))
            }
            Err(connection::Error::Broken) => {
                Attempt::new(AttemptResult::Broken, Some(Verdict::Silent))
            }
        }
    }

    /// Builds the request as the target receives it.
    fn build_request(&self, target: &Target) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let headers = request.headers_mut();
        for (name, value) in &self.head.headers {
            if !is_hop_by_hop(name, &self.head.headers) && name != CONTENT_LENGTH && name != EXPECT
            {
                headers.append(name.clone(), value.clone());
            }
        }
        let left = self.deadline.saturating_sub(self.shared.clock.now());
        headers.insert(REMAINING_MS, HeaderValue::from(left.as_millis() as u64));
        headers.insert(EXPECTED_TARGET, HeaderValue::from_str(&target.id).ok()?);
        Some(request)
    }

    async fn receive(&self, target: &Target, response: hyper::Response<ResponseBody>) -> Attempt {
        let (head, mut body) = response.into_parts();
        let attempt = |result, verdict| Attempt::new(result, Some(verdict));
        if head.headers.contains_key(NOT_RUN) || head.status == StatusCode::MISDIRECTED_REQUEST {
            if head.status == StatusCode::MISDIRECTED_REQUEST {
                self.shared.targets.lock().view.mark_misdirected(target, self.shared.clock.now());
            }
            return attempt(AttemptResult::Shed, Verdict::Shed);
        }
        let echoed = text(&head.headers, ATTEMPT_ID);
        let is_foreign = echoed.is_some_and(|echoed| echoed != self.id);
        let is_signed = head.headers.contains_key(SIGNATURE);
        if is_foreign || (head.status.is_success() && !(is_signed && echoed.is_some())) {
            return attempt(AttemptResult::Foreign, Verdict::Failed);
        }
        let head_only = self.head.method == Method::HEAD;
        let length = text(&head.headers, CONTENT_LENGTH.as_str())
            .and_then(|length| length.parse().ok())
            .or_else(|| body.length());
        let mut buffered = BytesMut::new();
        let complete = loop {
            match body.next_chunk().await {
                Ok(Some(part)) => buffered.extend_from_slice(&part),
                Ok(None) => break true,
                Err(_) => return attempt(AttemptResult::Broken, Verdict::Failed),
            }
            if buffered.len() > BUFFER_LIMIT_BYTES {
                break false;
            }
        };
        let mut response = Response {
            status: head.status,
            headers: end_to_end(&head.headers),
            body: buffered.freeze(),
            rest: None,
            head_only: head_only.then_some(length),
        };
        if complete {
            let advertised = text(&head.headers, "keep-alive").and_then(keep_alive_timeout);
            if let Some(connection) = body.finish().await {
                self.shared.pool.put(&target.id, target.born_ms, connection, advertised);
            }
        } else {
            response.rest = Some(BodyStream { length, body });
        }
        let (result, verdict) = if head.status == StatusCode::GATEWAY_TIMEOUT {
            (AttemptResult::Failed, Verdict::Late)
        } else if head.status.is_server_error() {
            (AttemptResult::Failed, Verdict::Failed)
        } else {
            (AttemptResult::Answered, Verdict::Served)
        };
        Attempt { response: Some(response), ..Attempt::new(result, Some(verdict)) }
    }
}
