//! One attempt at a target: connects, sends the request and receives the response.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use citron::{
    attempt::AttemptResult,
    catalog::Target,
    gray::{Choice, Verdict},
};
use citron_adapter::{
    header::{ATTEMPT_ID, CUSTOMER, EXPECTED_TARGET, KEY, NOT_RUN, REMAINING_MS, SIGNATURE},
    notice,
};
use hyper::{
    Method, Request, StatusCode,
    header::{CONTENT_LENGTH, EXPECT, HeaderValue},
};
use log::Level;
use tokio::time;

use super::{
    AttemptGuard, Forwarder, HEDGE_DELAY_SHARE,
    header::{end_to_end, is_hop_by_hop, keep_alive_timeout, text},
};
use crate::{
    connection::{self, CONNECT_TIMEOUT, Connection, ResponseBody, USER_TIMEOUT},
    http1::{BodyStream, Response, Sending},
    refusal,
    retry::Retry,
};

/// A response up to this size is buffered until it is complete, so that the request can be retried
/// if the response breaks off.
const BUFFER_LIMIT_BYTES: usize = 64 * 1024;
/// The size, in bytes, from which the body of a request may fill what a connection holds.
const LONG_BODY_BYTES: u64 = 16 * 1024;
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
    /// The retry that was charged for it, if nothing was sent.
    pub unsent_retry: Option<Retry>,
    /// The target, if nothing was sent to it.
    pub unreached: Option<Arc<str>>,
    verdict: Option<Verdict>,
    /// The rest of a body that is too long to be buffered.
    rest: Option<PartialBody>,
}

impl Attempt {
    fn new(result: AttemptResult, verdict: Option<Verdict>) -> Self {
        Self {
            result,
            response: None,
            took: Duration::ZERO,
            unsent_retry: None,
            unreached: None,
            verdict,
            rest: None,
        }
    }
}

/// A response body of which only the first part was received yet.
struct PartialBody {
    body: ResponseBody,
    /// The length of the whole body, if the target stated it.
    length: Option<u64>,
}

impl Forwarder<'_> {
    /// Makes one attempt at the chosen target, for which `retry` was charged if it is not the first.
    pub(super) async fn attempt(&self, choice: Choice, mut retry: Option<Retry>) -> Attempt {
        let overdue_after = self.route.objective.mul_f64(HEDGE_DELAY_SHARE);
        let mut guard = AttemptGuard::start(self.shared, choice, overdue_after);
        let deadline = self.shared.clock.instant(self.deadline);
        let sent = time::timeout_at(deadline, self.send(&guard.choice().target, &mut retry)).await;
        let mut attempt =
            sent.unwrap_or(Attempt::new(AttemptResult::TimedOut, Some(Verdict::Silent)));
        attempt.took = guard.elapsed();
        let is_unreached = attempt.result == AttemptResult::NotConnected;
        attempt.unsent_retry = retry.filter(|_| is_unreached);
        attempt.unreached = is_unreached.then(|| Arc::clone(&guard.choice().target.id));
        if attempt.verdict == Some(Verdict::Served) && attempt.took > self.route.objective {
            attempt.verdict = Some(Verdict::Late);
        }
        // A timeout says nothing about the target if little time was left before the deadline or if
        // the request waited for a slot.
        let is_conclusive = guard.choice().had_free_slot() && attempt.took > overdue_after;
        if attempt.result == AttemptResult::TimedOut && !is_conclusive {
            attempt.verdict = None;
        }
        self.shared.metrics.record_attempt(attempt.result.into());
        self.log_attempt(guard.choice(), &attempt);
        match (attempt.rest.take(), &mut attempt.response) {
            (Some(PartialBody { body, length }), Some(response)) => {
                guard.end(None);
                let verdict = attempt.verdict;
                response.rest =
                    Some(BodyStream { body, length, deadline, attempt: guard, verdict });
            }
            _ => guard.end(attempt.verdict),
        }
        attempt
    }

    fn log_attempt(&self, choice: &Choice, attempt: &Attempt) {
        let level =
            if attempt.result == AttemptResult::Answered { Level::Info } else { Level::Warn };
        log::log!(
            level,
            "event=attempt id={} target={} address={} sick={:.3} busy={} age_ms={} candidates={} targets={} held={} ending={} status={} took_ms={}",
            self.id,
            choice.target.id,
            choice.target.address,
            choice.failure_probability,
            choice.in_flight,
            choice.age.map_or(-1, |age| age.as_millis() as i64),
            choice.candidates,
            choice.position,
            choice.lapsed,
            attempt.result,
            attempt.response.as_ref().map_or(0, |response| response.status.as_u16()),
            attempt.took.as_millis()
        );
    }

    /// Sends the request to a target and receives the response.
    async fn send(&self, target: &Target, retry: &mut Option<Retry>) -> Attempt {
        let Some(request) = self.build_request(target) else {
            return Attempt::new(AttemptResult::Broken, None);
        };
        let idle_limit =
            if self.route.idempotent { IDEMPOTENT_IDLE_LIMIT } else { NON_IDEMPOTENT_IDLE_LIMIT };
        let pooled = self.shared.pool.take(&target.id, target.born_ms, idle_limit).await;
        let is_new = pooled.is_none();
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
        if let Some(retry) = retry {
            retry.set_sent(true);
        }
        self.pass.record_sent();
        match connection.send(request, self.user_timeout(retry.is_some())).await {
            Ok(response) => {
                if let Some(retry) = retry {
                    retry.record_arrival();
                }
                self.receive(target, response).await
            }
            Err(connection::Error::NotSent) => {
                if let Some(retry) = retry {
                    retry.set_sent(false);
                }
                self.pass.record_not_run();
                Attempt::new(AttemptResult::NotConnected, Some(Verdict::Unreachable))
            }
            Err(connection::Error::Broken) => {
                // A connection that was idle may have been closed for that.
                let verdict = if is_new { Verdict::Reset } else { Verdict::Silent };
                Attempt::new(AttemptResult::Broken, Some(verdict))
            }
            Err(connection::Error::Malformed) => {
                log::warn!("event=answer-malformed id={} target={}", self.id, target.id);
                Attempt::new(AttemptResult::Broken, Some(Verdict::Failed))
            }
        }
    }

    /// Returns how long a target may leave sent bytes unread. One that works on a long request may read
    /// its body late; the request may run then, and is not sent to another target. Retries are given up
    /// sooner, as the retry budget counts on that.
    fn user_timeout(&self, is_retry: bool) -> Duration {
        let is_long = self.body.len() >= LONG_BODY_BYTES;
        if self.route.idempotent || is_retry || !is_long {
            return USER_TIMEOUT;
        }
        self.deadline.saturating_sub(self.shared.clock.now()).max(USER_TIMEOUT)
    }

    /// Builds the request as the target receives it.
    fn build_request(&self, target: &Target) -> Option<Request<Sending>> {
        let mut request = Request::new(self.body.send());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let headers = request.headers_mut();
        for (name, value) in &self.head.headers {
            let is_own = name == CONTENT_LENGTH
                || name == EXPECT
                || (self.access.is_restricted() && (name == KEY || name == CUSTOMER));
            if !is_own && !is_hop_by_hop(name, &self.head.headers) {
                headers.append(name.clone(), value.clone());
            }
        }
        let left = self.deadline.saturating_sub(self.shared.clock.now());
        headers.insert(REMAINING_MS, HeaderValue::from(left.as_millis() as u64));
        headers.insert(EXPECTED_TARGET, HeaderValue::from_str(&target.id).ok()?);
        if let Some(customer) = self.access.customer() {
            headers.insert(CUSTOMER, HeaderValue::from_bytes(customer.name.as_bytes()).ok()?);
        }
        Some(request)
    }

    async fn receive(&self, target: &Target, response: hyper::Response<ResponseBody>) -> Attempt {
        let (head, mut body) = response.into_parts();
        let attempt = |result, verdict| Attempt::new(result, Some(verdict));
        // Only the id tells which request a response is for: an earlier one may have been sent once more,
        // and what comes after a complete response belongs to none.
        let is_own = text(&head.headers, ATTEMPT_ID) == Some(self.id);
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        let is_refusal = head.headers.contains_key(NOT_RUN) || is_misdirected;
        let is_signed = head.headers.contains_key(SIGNATURE);
        if !is_own {
            return attempt(AttemptResult::Foreign, Verdict::Failed);
        }
        if is_misdirected {
            self.shared.targets.lock().view.mark_misdirected(target, self.shared.clock.now());
        } else {
            self.shared.record_notice(target, notice::decode(head.status, &head.headers));
        }
        if is_refusal {
            self.pass.record_not_run();
            return attempt(AttemptResult::Shed, Verdict::Shed);
        }
        if head.status.is_success() && !is_signed {
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
        let response = Response {
            status: head.status,
            headers: end_to_end(&head.headers),
            body: buffered.freeze(),
            rest: None,
            head_only: head_only.then_some(length),
        };
        let rest = if complete {
            let advertised = text(&head.headers, "keep-alive").and_then(keep_alive_timeout);
            if let Some(connection) = body.finish().await {
                self.shared.pool.put(&target.id, target.born_ms, connection, advertised);
            }
            None
        } else {
            Some(PartialBody { body, length })
        };
        if !self.route.idempotent && refusal::promises_not_run(head.status) {
            // It ran; to pass on the status would promise the caller that it did not.
            let response = Some(refusal::run_failed());
            return Attempt { response, ..attempt(AttemptResult::Failed, Verdict::Failed) };
        }
        let (result, verdict) = if head.status == StatusCode::GATEWAY_TIMEOUT {
            (AttemptResult::Failed, Verdict::Late)
        } else if head.status.is_server_error() {
            (AttemptResult::Failed, Verdict::Failed)
        } else {
            (AttemptResult::Answered, Verdict::Served)
        };
        Attempt { response: Some(response), rest, ..Attempt::new(result, Some(verdict)) }
    }
}
