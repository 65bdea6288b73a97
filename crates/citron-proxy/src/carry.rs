//! Repeats attempts as `citron::attempt` decides, until there is an answer or none will come.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use citron::{
    attempt::{self, AttemptResult, AttemptSeries, Cause, Outcome, Step},
    event::Kind,
};
use reqwest::Response;
use smallvec::SmallVec;
use tokio::time;

use crate::{
    admit::Admission,
    body::Body,
    dispatch,
    health::ObservedAttempt,
    intake::Intake,
    refusal::Refusal,
    send::{self, Attempt},
    service::{Service, Slot},
    shared::Shared,
    socket::Finder,
};

/// How long a request waits before its caller's connection is watched.
const WATCH_AFTER: Duration = Duration::from_millis(50);

/// A target's answer whose head has arrived.
pub struct Carried {
    /// The answer.
    pub response: Response,
    /// The slot that it still uses.
    pub slot: Slot,
}

/// A request under way.
pub struct Carriage<'a> {
    /// The state of the proxy.
    pub shared: &'a Arc<Shared>,
    /// The request.
    pub intake: &'a Intake,
    /// Its body.
    pub body: &'a Body,
    /// Its service and limits.
    pub admission: &'a Admission,
    /// Time spent waiting for targets so far.
    pub waited: Duration,
}

/// Waits until the caller from `peer` has gone away; forever if that cannot be found out.
pub async fn caller_gone(finder: Arc<Finder>, peer: Option<SocketAddr>) {
    time::sleep(WATCH_AFTER).await;
    let closed = match peer.map(|peer| finder.find(peer)) {
        Some(Ok(Some(connection))) => connection.closed().await,
        // The HTTP server has noticed first and has closed its side.
        Some(Ok(None)) => Ok(()),
        Some(Err(error)) => Err(error),
        None => Err(std::io::ErrorKind::NotConnected.into()),
    };
    if let Err(error) = closed {
        log::debug!("cannot watch a caller's connection: {error}");
        std::future::pending::<()>().await;
    }
}

impl Carriage<'_> {
    /// Carries the request until there is an answer, or none will come.
    ///
    /// # Errors
    /// Gives the refusal for the caller.
    pub async fn carry(&mut self, gone: impl Future<Output = ()>) -> Result<Carried, Refusal> {
        let service = &self.admission.service;
        service.retry_budget.deposit();
        let mut series = AttemptSeries::new(self.admission.retry_policy);
        let mut gone = std::pin::pin!(gone);
        let mut tried = SmallVec::<[String; 4]>::new();
        let mut answer = None;
        loop {
            match series.next_step(self.shared.clock.now(), || service.retry_budget.withdraw()) {
                Step::Wait => unreachable!("attempts are made one after the other here"),
                Step::Claim => tokio::select! {
                    claim = self.claim() => series.record_claim(claim),
                    () = &mut gone => series.record_caller_gone(),
                },
                Step::Send { until, fresh } => {
                    if !tried.is_empty() {
                        self.shared.metrics.retries.with_label_values(&[&service.name]).inc();
                    }
                    let start = self.shared.clock.now();
                    let slot = tokio::select! {
                        slot = self.place(&tried) => slot,
                        () = &mut gone => None,
                    };
                    let Some(slot) = slot else {
                        series.record_no_target();
                        continue;
                    };
                    // The time in the queue is not the attempt's.
                    let queued = self.shared.clock.now() - start;
                    self.waited += queued;
                    let until = (until + queued).min(self.admission.retry_policy.deadline);
                    tried.push(slot.target.name.clone());
                    tokio::select! {
                        result = self.attempt(&slot, until, fresh) => {
                            series.record_result(
                                result.as_ref().err().copied().unwrap_or(AttemptResult::Answered),
                            );
                            answer = result.ok().map(|response| Carried { response, slot });
                        }
                        () = &mut gone => series.record_caller_gone(),
                    }
                    if matches!(self.body, Body::Streamed(upload) if upload.is_spent()) {
                        series.record_body_consumed();
                    }
                }
                Step::ForwardResponse => {
                    return Ok(answer.expect("an answered attempt has an answer"));
                }
                Step::Refuse { outcome, cause } => return Err(self.refuse(outcome, cause)),
            }
        }
    }

    /// Waits for a place at a target.
    async fn place(&self, tried: &[String]) -> Option<Slot> {
        let Admission { service, retry_policy, allowance, class } = self.admission;
        let args = dispatch::DispatchArgs {
            service: &service.name,
            customer: &self.intake.customer,
            weight: allowance.rate,
            class: *class,
            deadline: retry_policy.deadline,
            tried,
            idempotent: retry_policy.idempotent,
        };
        self.shared.dispatcher.dispatch(args).await.map(Slot::new)
    }

    async fn claim(&self) -> attempt::ClaimDecision {
        let key = self.intake.key.as_deref().expect("only a request with a key claims it");
        let digest = attempt::key_digest(&self.intake.customer, self.service_name(), key);
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
    ) -> Result<Response, AttemptResult> {
        let shared = self.shared;
        let id = shared.request_id();
        let start = shared.clock.now();
        let attempt = Attempt {
            intake: self.intake,
            body: self.body,
            slot,
            id: &id,
            until,
            deadline: self.admission.retry_policy.deadline,
            fresh,
        };
        let observed = ObservedAttempt::start(shared, self.service_name(), &slot.target.name);
        let result = send::send(shared, attempt).await;
        self.waited += shared.clock.now() - start;
        let ending = result.as_ref().err().copied().unwrap_or(AttemptResult::Answered);
        let failed = result.as_ref().is_ok_and(|response| response.status().is_server_error());
        observed.end(ending, failed);
        shared.metrics.count_attempt(self.service_name(), ending);
        if ending == AttemptResult::Foreign {
            let fields = [("service", self.service_name()), ("id", &id)];
            shared.recorder.record(Kind::ForeignAnswer, &slot.target.name, &fields);
        }
        result
    }

    fn refuse(&self, outcome: Outcome, cause: Cause) -> Refusal {
        if outcome == Outcome::Unknown {
            let fields = [("service", self.service_name()), ("cause", cause.into())];
            self.shared.recorder.record(Kind::OutcomeUnknown, &self.intake.customer, &fields);
        }
        Refusal::ended(outcome, cause)
    }

    fn service_name(&self) -> &str {
        let service: &Service = &self.admission.service;
        &service.name
    }
}
