//! Forwards a request: makes attempts as `citron::attempt` decides, until a target responds or the
//! request must be refused.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{
    attempt::{self, AttemptResult, AttemptSeries, Cause, Outcome, Step},
    event::Kind,
};
use smallvec::SmallVec;
use tokio::time;

use crate::{
    admit::Admission,
    body::Body,
    dispatch::DispatchArgs,
    health::ObservedAttempt,
    inbound::InboundRequest,
    refusal::Refusal,
    retry::Charge,
    send::{self, Attempt, StartedResponse},
    service::{RETRY_SHARE, Service, Slot},
    shared::Shared,
    socket::ConnectionFinder,
};

/// The log target of this module under its former name `carry`, which log filters match.
const LOG_TARGET: &str = "citron_proxy::carry";

/// How long a request waits before its caller's connection is watched for a disconnect.
const WATCH_AFTER: Duration = Duration::from_millis(50);

/// A target's response whose head has arrived.
pub struct TargetResponse {
    /// The response.
    pub started: StartedResponse,
    /// The target's slot, in use until the response has ended.
    pub slot: Slot,
}

/// Forwards one request.
pub struct Forwarder<'a> {
    /// The state of the proxy.
    pub shared: &'a Arc<Shared>,
    /// The request.
    pub inbound: &'a InboundRequest,
    /// Its body.
    pub body: &'a Body,
    /// Its service, retry policy and allowance.
    pub admission: &'a Admission,
    /// Time spent on targets so far, in the queue and during attempts.
    pub target_wait: Duration,
}

/// Waits until the caller at `peer` has closed its connection; forever if the connection cannot be
/// watched.
pub async fn caller_disconnected(finder: Arc<ConnectionFinder>, peer: Option<SocketAddr>) {
    time::sleep(WATCH_AFTER).await;
    let closed = match peer.map(|peer| finder.find(peer)) {
        Some(Ok(Some(connection))) => connection.closed().await,
        // The HTTP server has already noticed and closed the socket.
        Some(Ok(None)) => Ok(()),
        Some(Err(error)) => Err(error),
        None => Err(std::io::ErrorKind::NotConnected.into()),
    };
    if let Err(error) = closed {
        log::debug!(target: LOG_TARGET, "cannot watch a caller's connection: {error}");
        std::future::pending::<()>().await;
    }
}

impl Forwarder<'_> {
    /// Makes attempts until a target responds; `disconnected` completes when the caller closes its
    /// connection.
    ///
    /// # Errors
    /// Returns the refusal for the caller.
    pub async fn forward(
        &mut self,
        disconnected: impl Future<Output = ()>,
    ) -> Result<TargetResponse, Refusal> {
        let service = &self.admission.service;
        service.retry_budget.lock().record_request(&RETRY_SHARE, self.shared.clock.now());
        let mut series = AttemptSeries::new(self.admission.retry_policy);
        let mut disconnected = std::pin::pin!(disconnected);
        let mut tried = SmallVec::<[String; 4]>::new();
        let mut response = None;
        let mut retry = Charge::new(service, self.shared.clock);
        loop {
            let now = self.shared.clock.now();
            match series.next_step(now, || retry.withdraw(now)) {
                Step::Wait => unreachable!("attempts are made one after the other here"),
                Step::Claim => tokio::select! {
                    claim = self.claim() => series.record_claim(claim),
                    () = &mut disconnected => series.record_caller_gone(),
                },
                Step::Send { until, fresh } => {
                    if !tried.is_empty() {
                        self.shared.metrics.retries.with_label_values(&[&service.name]).inc();
                    }
                    let start = self.shared.clock.now();
                    let slot = tokio::select! {
                        slot = self.acquire_slot(&tried) => slot,
                        () = &mut disconnected => None,
                    };
                    let Some(slot) = slot else {
                        series.record_no_target();
                        continue;
                    };
                    // The time in the queue does not count towards the attempt's timeout.
                    let queued = self.shared.clock.now() - start;
                    self.target_wait += queued;
                    let until = (until + queued).min(self.admission.retry_policy.deadline);
                    tried.push(slot.target.name.clone());
                    tokio::select! {
                        result = self.attempt(&slot, until, fresh) => {
                            let ended =
                                result.as_ref().err().copied().unwrap_or(AttemptResult::Answered);
                            retry.record_result(ended);
                            series.record_result(ended);
                            response =
                                result.ok().map(|started| TargetResponse { started, slot });
                        }
                        () = &mut disconnected => {
                            retry.record_result(AttemptResult::TimedOut);
                            series.record_caller_gone();
                        }
                    }
                    if matches!(self.body, Body::Streamed(upload) if upload.is_consumed()) {
                        series.record_body_consumed();
                    }
                }
                Step::ForwardResponse => {
                    return Ok(response.expect("an answered attempt has a response"));
                }
                Step::Refuse { outcome, cause } => return Err(self.refuse(outcome, cause)),
            }
        }
    }

    /// Waits for a slot at a target; `tried` names the targets of earlier attempts.
    async fn acquire_slot(&self, tried: &[String]) -> Option<Slot> {
        let Admission { service, retry_policy, allowance, class } = self.admission;
        let args = DispatchArgs {
            service: &service.name,
            customer: &self.inbound.customer,
            weight: allowance.rate,
            class: *class,
            deadline: retry_policy.deadline,
            tried,
            idempotent: retry_policy.idempotent,
        };
        self.shared.dispatcher.dispatch(args).await.map(Slot::new)
    }

    async fn claim(&self) -> attempt::ClaimDecision {
        let key =
            self.inbound.idempotency_key.as_deref().expect("only a request with a key claims it");
        let digest = attempt::key_digest(&self.inbound.customer, self.service_name(), key);
        let owner = self.shared.request_id();
        let stamp = self.shared.recorder.stamp();
        let claim = self.shared.link.claim(stamp, digest.as_str(), &owner);
        let deadline = self.shared.clock.instant(self.admission.retry_policy.deadline);
        time::timeout_at(deadline, claim).await.unwrap_or(attempt::ClaimDecision::Undecided)
    }

    async fn attempt(
        &mut self,
        slot: &Slot,
        until: Duration,
        fresh: bool,
    ) -> Result<StartedResponse, AttemptResult> {
        let shared = self.shared;
        let id = shared.request_id();
        let start = shared.clock.now();
        let attempt = Attempt {
            inbound: self.inbound,
            body: self.body,
            slot,
            id: &id,
            until,
            deadline: self.admission.retry_policy.deadline,
            fresh,
        };
        let observed = ObservedAttempt::start(shared, self.service_name(), &slot.target.name);
        let result = send::send(shared, attempt).await;
        self.target_wait += shared.clock.now() - start;
        let attempt_result = result.as_ref().err().copied().unwrap_or(AttemptResult::Answered);
        let failed =
            result.as_ref().is_ok_and(|started| started.response.status().is_server_error());
        observed.end(attempt_result, failed);
        shared.metrics.count_attempt(self.service_name(), attempt_result);
        if attempt_result == AttemptResult::Foreign {
            let fields = [("service", self.service_name()), ("id", &id)];
            shared.recorder.record(Kind::ForeignAnswer, &slot.target.name, &fields);
        }
        result
    }

    fn refuse(&self, outcome: Outcome, cause: Cause) -> Refusal {
        if outcome == Outcome::Unknown {
            let fields = [("service", self.service_name()), ("cause", cause.into())];
            self.shared.recorder.record(Kind::OutcomeUnknown, &self.inbound.customer, &fields);
        }
        Refusal::after_attempts(outcome, cause)
    }

    fn service_name(&self) -> &str {
        let service: &Service = &self.admission.service;
        &service.name
    }
}
