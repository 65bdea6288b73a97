//! One attempt at one target: the connection, the request as the target gets it, and its answer.

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
    Method, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, EXPECT, HeaderValue},
};
use log::Level;
use tokio::time;

use super::{
    Carrier, HEDGE_SHARE,
    header::{is_hop, keep_alive, passed_on, text},
};
use crate::{
    channel::{self, Channel, Exchange},
    http1::{Reply, Stream},
    shared::Shared,
};

/// How long connecting to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// An answer up to this size is held until it is whole, so that a broken one can be repeated.
const HOLD_LIMIT_BYTES: usize = 64 * 1024;
/// The longest idle time of a connection that a request which must not be repeated may use.
const ONCE_IDLE_LIMIT: Duration = Duration::from_millis(500);
/// The longest idle time of a connection that any other request may use.
const REPEATABLE_IDLE_LIMIT: Duration = Duration::from_secs(6);

/// How one attempt went.
pub(super) struct Attempt {
    /// How it ended.
    pub ending: AttemptResult,
    /// The target's answer, if there is one to pass on.
    pub reply: Option<Reply>,
    /// How long it took.
    pub took: Duration,
    verdict: Option<Verdict>,
}

impl Attempt {
    fn new(ending: AttemptResult, verdict: Option<Verdict>) -> Self {
        Self { ending, reply: None, took: Duration::ZERO, verdict }
    }
}

/// Tells the shared state of an attempt's end, also if the attempt is dropped.
struct Begun<'a> {
    shared: &'a Shared,
    choice: &'a Choice,
    at: Duration,
    /// From when on it is overdue.
    overdue_at: Duration,
    verdict: Option<Verdict>,
    ended: bool,
}

impl Drop for Begun<'_> {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let overdue = !self.ended && self.choice.had_free_slot() && now > self.overdue_at;
        let verdict = if overdue { Some(Verdict::Overdue) } else { self.verdict };
        self.shared.end_attempt(&self.choice.target, verdict, now.saturating_sub(self.at));
    }
}

impl Carrier<'_> {
    /// Makes one attempt at the chosen target.
    pub(super) async fn attempt(&self, choice: Choice) -> Attempt {
        let target = &choice.target;
        let began = self.shared.clock.now();
        let mut begun = Begun {
            shared: self.shared,
            choice: &choice,
            at: began,
            overdue_at: began + self.route.objective.mul_f64(HEDGE_SHARE),
            verdict: None,
            ended: false,
        };
        let limit = self.shared.clock.instant(self.deadline);
        let mut attempt = match time::timeout_at(limit, self.send(target)).await {
            Ok(attempt) => attempt,
            Err(_) => Attempt::new(AttemptResult::TimedOut, Some(Verdict::Silent)),
        };
        let took = self.shared.clock.now().saturating_sub(began);
        attempt.took = took;
        if attempt.verdict == Some(Verdict::Served) && took > self.route.objective {
            attempt.verdict = Some(Verdict::Late);
        }
        // A short rest of the caller's time, or a wait for a slot, proves nothing about the target.
        let is_fair = choice.had_free_slot() && took > self.route.objective.mul_f64(HEDGE_SHARE);
        if attempt.ending == AttemptResult::TimedOut && !is_fair {
            attempt.verdict = None;
        }
        begun.verdict = attempt.verdict;
        begun.ended = true;
        self.shared.metrics.record_attempt(attempt.ending.into());
        let level =
            if attempt.ending == AttemptResult::Answered { Level::Info } else { Level::Warn };
        log::log!(
            level,
            "event=attempt id={} target={} address={} sick={:.3} busy={} age_ms={} candidates={} targets={} ending={} status={} took_ms={}",
            self.id,
            target.id,
            target.address,
            choice.failure_probability,
            choice.in_flight,
            choice.age.map_or(-1, |age| age.as_millis() as i64),
            choice.candidates,
            choice.revision,
            attempt.ending,
            attempt.reply.as_ref().map_or(0, |reply| reply.status.as_u16()),
            took.as_millis()
        );
        attempt
    }

    /// Sends the request to one target and takes its answer.
    async fn send(&self, target: &Target) -> Attempt {
        let Some(request) = self.request(target) else {
            return Attempt::new(AttemptResult::Broken, None);
        };
        let idle_limit =
            if self.route.idempotent { REPEATABLE_IDLE_LIMIT } else { ONCE_IDLE_LIMIT };
        let kept = self.shared.pool.take(&target.id, target.born_ms, idle_limit).await;
        let channel = match kept {
            Some(channel) => channel,
            None => match Channel::connect(target.address, CONNECT_TIMEOUT).await {
                Ok(channel) => {
                    self.shared.metrics.connections_opened.inc();
                    channel
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
        match channel.send(request).await {
            Ok(response) => self.receive(target, response).await,
            Err(channel::Error::NotSent) => {
                Attempt::new(AttemptResult::NotConnected, Some(Verdict::Unreachable))
            }
            Err(channel::Error::Broken) => {
                Attempt::new(AttemptResult::Broken, Some(Verdict::Silent))
            }
        }
    }

    fn request(&self, target: &Target) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.target.clone();
        let headers = request.headers_mut();
        for (name, value) in &self.head.headers {
            if !is_hop(name, &self.head.headers) && name != CONTENT_LENGTH && name != EXPECT {
                headers.append(name.clone(), value.clone());
            }
        }
        let left = self.deadline.saturating_sub(self.shared.clock.now());
        headers.insert(REMAINING_MS, HeaderValue::from(left.as_millis() as u64));
        headers.insert(EXPECTED_TARGET, HeaderValue::from_str(&target.id).ok()?);
        Some(request)
    }

    async fn receive(&self, target: &Target, response: Response<Exchange>) -> Attempt {
        let (head, mut exchange) = response.into_parts();
        let attempt = |ending, verdict| Attempt::new(ending, Some(verdict));
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
        let stated = text(&head.headers, CONTENT_LENGTH.as_str())
            .and_then(|length| length.parse().ok())
            .or_else(|| exchange.length());
        let mut held = BytesMut::new();
        let whole = loop {
            match exchange.next().await {
                Ok(Some(part)) => held.extend_from_slice(&part),
                Ok(None) => break true,
                Err(_) => return attempt(AttemptResult::Broken, Verdict::Failed),
            }
            if held.len() > HOLD_LIMIT_BYTES {
                break false;
            }
        };
        let mut reply = Reply {
            status: head.status,
            headers: passed_on(&head.headers),
            body: held.freeze(),
            rest: None,
            head_only: head_only.then_some(stated),
        };
        if whole {
            let promised = text(&head.headers, "keep-alive").and_then(keep_alive);
            if let Some(channel) = exchange.finish().await {
                self.shared.pool.put(&target.id, target.born_ms, channel, promised);
            }
        } else {
            reply.rest = Some(Stream { length: stated, exchange });
        }
        let (ending, verdict) = if head.status == StatusCode::GATEWAY_TIMEOUT {
            (AttemptResult::Failed, Verdict::Late)
        } else if head.status.is_server_error() {
            (AttemptResult::Failed, Verdict::Failed)
        } else {
            (AttemptResult::Answered, Verdict::Served)
        };
        Attempt { reply: Some(reply), ..Attempt::new(ending, Some(verdict)) }
    }
}
