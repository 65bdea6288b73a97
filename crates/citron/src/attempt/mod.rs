//! The attempts of one request: how each ended, whether to retry, and when to refuse the request.

mod bucket;
mod key;
mod loan;
mod standstill;

pub use self::{
    bucket::{Denial, LOAN_TERM, RetryBound, RetryBucket, RetryShare, SHARED_PART, Sharer, Ticket},
    key::key_digest,
    loan::{Asks, Loan, LoanId},
    standstill::Standstill,
};

use std::time::Duration;

use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

/// What is certain about a request when it ends.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A target responded to it and the response is forwarded.
    Answered,
    /// No target ran it.
    NotRun,
    /// A target may have run it.
    Unknown,
}

/// How one attempt ended.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptResult {
    /// The head of the target's own response to this request arrived.
    Answered,
    /// The target ran it and responded with a failure of its own.
    Failed,
    /// No connection could be established, so nothing was sent.
    NotConnected,
    /// The target responded that it shed the request without running it.
    Shed,
    /// A response arrived that belongs to another request.
    Foreign,
    /// The connection ended before a response arrived.
    Broken,
    /// No response arrived in time.
    TimedOut,
}

impl AttemptResult {
    /// Returns what is certain about the request after this attempt.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Answered | Self::Failed => Outcome::Answered,
            Self::NotConnected | Self::Shed => Outcome::NotRun,
            Self::Foreign | Self::Broken | Self::TimedOut => Outcome::Unknown,
        }
    }
}

/// The decision on a claim of an idempotency key.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimDecision {
    /// This request owns the key and may run.
    Granted,
    /// Another request owns the key.
    Taken,
    /// The claim was not decided in time.
    Undecided,
}

/// The limits on the attempts of one request.
#[derive(Debug, Copy, Clone)]
pub struct RetryPolicy {
    /// Whether running the request again has the same effect as running it once.
    pub idempotent: bool,
    /// Whether an idempotency key must be claimed before the first attempt.
    pub requires_claim: bool,
    /// When the request must have ended, as a duration since the process origin.
    pub deadline: Duration,
    /// The maximum number of attempts, at least 1.
    pub max_attempts: u32,
    /// How many further attempts may fail to connect; these are not charged to the retry budget.
    pub max_connect_failures: u32,
}

/// Why a request is refused.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// Its deadline passed.
    DeadlinePassed,
    /// No target had capacity for it.
    NoCapacity,
    /// Another request owns its idempotency key.
    IdempotencyKeyTaken,
    /// The claim of its idempotency key could not be decided.
    IdempotencyKeyUndecided,
    /// The last attempt could not connect to its target.
    TargetUnreachable,
    /// The last target that was tried shed it.
    TargetShed,
    /// The last response belonged to another request.
    ForeignAnswer,
    /// The connection to the target ended before a response arrived.
    TargetBroken,
    /// The target did not respond in time.
    TargetTimedOut,
    /// The caller disconnected.
    CallerGone,
}

/// What to do next about a request.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Step {
    /// Claim the idempotency key, then call [`AttemptSeries::record_claim`].
    Claim,
    /// Make an attempt whose response must begin before `until`, then call
    /// [`AttemptSeries::record_result`], or [`AttemptSeries::record_no_target`] if no target can
    /// take it.
    Send {
        /// When this attempt times out, as a duration since the process origin.
        until: Duration,
        /// True if it must use a connection that no earlier attempt has used.
        fresh: bool,
    },
    /// Wait for an attempt in flight, then call [`AttemptSeries::record_result`].
    Wait,
    /// Forward the response of the last attempt.
    ForwardResponse,
    /// Respond to the caller with a refusal.
    Refuse {
        /// What is certain about the request, never [`Outcome::Answered`].
        outcome: Outcome,
        /// Why the request is refused.
        cause: Cause,
    },
}

/// The series of attempts of one request.
///
/// The driver of a request calls [`AttemptSeries::next_step`], carries out the step and records its
/// result. A request that is not idempotent is sent again only after attempts that certainly did
/// not run it.
#[derive(Debug)]
pub struct AttemptSeries {
    policy: RetryPolicy,
    claim: Option<ClaimDecision>,
    results: SmallVec<[AttemptResult; 4]>,
    in_flight: u32,
    stop_cause: Option<Cause>,
    body_replayable: bool,
    max_rejections: Option<u32>,
}

impl AttemptSeries {
    /// Creates the series of a request that was not attempted yet.
    pub fn new(policy: RetryPolicy) -> Self {
        assert!(policy.max_attempts > 0, "a request must be allowed at least one attempt");
        Self {
            policy,
            claim: None,
            results: SmallVec::new(),
            in_flight: 0,
            stop_cause: None,
            body_replayable: true,
            max_rejections: None,
        }
    }

    /// Counts attempts that were shed apart from the others: `max_attempts` limits those that ran or
    /// may have run the request, and up to `max_rejections` attempts may be shed.
    pub fn with_max_rejections(self, max_rejections: u32) -> Self {
        Self { max_rejections: Some(max_rejections), ..self }
    }

    /// Returns true if the request may wait and be sent later: no attempt ran it or may have run it,
    /// and another one is allowed.
    pub fn may_wait(&self) -> bool {
        self.in_flight == 0
            && self.stop_cause.is_none()
            && self.no_attempt_ran()
            && self.may_retry()
    }

    /// Returns true if the next attempt is a retry that is charged to the budget.
    pub fn needs_charge(&self) -> bool {
        self.results.last().is_some_and(|&last| !self.is_free_retry(last))
    }

    /// Returns the step to take at `now`; a retry is made only if `charge_retry` charged a budget.
    ///
    /// A retry after a failure to connect is not charged, up to the limit of the policy.
    pub fn next_step(&mut self, now: Duration, charge_retry: impl FnOnce() -> bool) -> Step {
        if self.results.last() == Some(&AttemptResult::Answered) {
            return Step::ForwardResponse;
        }
        if self.in_flight > 0 && self.stop_cause != Some(Cause::CallerGone) {
            return Step::Wait;
        }
        if let Some(cause) = self.stop_cause {
            return if cause == Cause::CallerGone {
                self.refuse(cause)
            } else {
                self.give_up(cause)
            };
        }
        if now >= self.policy.deadline {
            return self.give_up(Cause::DeadlinePassed);
        }
        if self.policy.requires_claim {
            match self.claim {
                None => return Step::Claim,
                Some(ClaimDecision::Granted) => {}
                Some(ClaimDecision::Taken) => return self.refuse(Cause::IdempotencyKeyTaken),
                Some(ClaimDecision::Undecided) => {
                    return self.refuse(Cause::IdempotencyKeyUndecided);
                }
            }
        }
        if let Some(&last) = self.results.last()
            && !(self.may_retry() && (self.is_free_retry(last) || charge_retry()))
        {
            return self.give_up(cause_of(last));
        }
        self.send(now)
    }

    /// Starts a hedge beside the attempt in flight, if the request is idempotent, another attempt
    /// is allowed and `charge_retry` charged a budget.
    pub fn hedge(&mut self, now: Duration, charge_retry: impl FnOnce() -> bool) -> Option<Step> {
        assert!(self.in_flight > 0, "an attempt must be in flight to be hedged");
        let may = self.policy.idempotent && self.stop_cause.is_none() && now < self.policy.deadline;
        if may && self.may_retry() && charge_retry() { Some(self.send(now)) } else { None }
    }

    /// Records the decision on the claim that [`Step::Claim`] asked for.
    pub fn record_claim(&mut self, claim: ClaimDecision) {
        assert!(
            self.policy.requires_claim,
            "a claim must not be recorded for a request that requires none"
        );
        assert!(self.results.is_empty(), "a key must be claimed before the first attempt");
        self.claim = Some(claim);
    }

    /// Records the result of an attempt that [`Step::Send`] asked for.
    pub fn record_result(&mut self, result: AttemptResult) {
        assert!(self.in_flight > 0, "an attempt must start before it ends");
        self.in_flight -= 1;
        self.results.push(result);
    }

    /// Records that no target could take the attempt that [`Step::Send`] asked for.
    pub fn record_no_target(&mut self) {
        assert!(self.in_flight > 0, "an attempt must start before it is abandoned");
        self.in_flight -= 1;
        if self.in_flight > 0 {
            return;
        }
        self.stop_cause =
            Some(self.results.last().map_or(Cause::NoCapacity, |&last| cause_of(last)));
    }

    /// Postpones the attempt that [`Step::Send`] asked for, if the request may wait; returns false
    /// without a change if it may not.
    pub fn postpone(&mut self) -> bool {
        assert!(self.in_flight > 0, "an attempt must start before it is postponed");
        self.in_flight -= 1;
        let may_wait = self.may_wait();
        self.in_flight += u32::from(!may_wait);
        may_wait
    }

    /// Records that part of the request body was consumed, so that it cannot be sent again.
    pub fn record_body_consumed(&mut self) {
        self.body_replayable = false;
    }

    /// Records that the caller disconnected; the outcome of attempts in flight is unknown.
    pub fn record_caller_gone(&mut self) {
        while self.in_flight > 0 {
            self.record_result(AttemptResult::TimedOut);
        }
        self.stop_cause = Some(Cause::CallerGone);
    }

    /// Returns how the latest attempt ended, if one has.
    pub fn last_result(&self) -> Option<AttemptResult> {
        self.results.last().copied()
    }

    /// Returns the number of attempts so far, except the connect failures that the policy allows
    /// besides.
    pub fn attempts(&self) -> u32 {
        self.results.len() as u32 + self.in_flight
            - self.connect_failures().min(self.policy.max_connect_failures)
    }

    /// Returns the number of attempts that count against `max_attempts`.
    fn counted_attempts(&self) -> u32 {
        match self.max_rejections {
            Some(_) => self.attempts() - self.rejections(),
            None => self.attempts(),
        }
    }

    fn rejections(&self) -> u32 {
        self.results.iter().filter(|&&result| result == AttemptResult::Shed).count() as u32
    }

    fn connect_failures(&self) -> u32 {
        self.results.iter().filter(|&&result| result == AttemptResult::NotConnected).count() as u32
    }

    /// Returns true if a retry after the result `last` is not charged to the budget.
    fn is_free_retry(&self, last: AttemptResult) -> bool {
        last == AttemptResult::NotConnected
            && self.connect_failures() <= self.policy.max_connect_failures
    }

    /// Refuses the request, unless the last attempt ended with a failure response, which is
    /// forwarded.
    fn give_up(&self, cause: Cause) -> Step {
        if self.results.last() == Some(&AttemptResult::Failed) {
            Step::ForwardResponse
        } else {
            self.refuse(cause)
        }
    }

    fn may_retry(&self) -> bool {
        let safe = self.policy.idempotent || self.no_attempt_ran();
        let may_be_shed = self.max_rejections.is_none_or(|max| self.rejections() < max);
        safe && self.body_replayable
            && may_be_shed
            && self.counted_attempts() < self.policy.max_attempts
    }

    fn no_attempt_ran(&self) -> bool {
        self.results.iter().all(|result| result.outcome() == Outcome::NotRun)
    }

    fn send(&mut self, now: Duration) -> Step {
        assert!(
            self.policy.idempotent || self.no_attempt_ran(),
            "a request that is not idempotent must not be sent again after {:?}",
            self.results
        );
        assert!(
            !self.policy.requires_claim || self.claim == Some(ClaimDecision::Granted),
            "a request that requires a claim must own its key before it is sent"
        );
        assert!(
            self.counted_attempts() < self.policy.max_attempts,
            "the number of attempts must stay within the limit"
        );
        self.in_flight += 1;
        Step::Send { until: self.attempt_deadline(now), fresh: self.needs_fresh_connection() }
    }

    /// Returns when an attempt that starts at `now` times out, which leaves an idempotent request
    /// time for another attempt if this one's connection stays silent.
    fn attempt_deadline(&self, now: Duration) -> Duration {
        let is_last = self.counted_attempts() >= self.policy.max_attempts;
        if !self.policy.idempotent || !self.body_replayable || is_last {
            return self.policy.deadline;
        }
        now + (self.policy.deadline - now) / 2
    }

    fn needs_fresh_connection(&self) -> bool {
        !self.policy.idempotent || !self.results.is_empty()
    }

    fn refuse(&self, cause: Cause) -> Step {
        let outcome = if self.no_attempt_ran() { Outcome::NotRun } else { Outcome::Unknown };
        assert!(
            outcome != Outcome::NotRun
                || !self.results.iter().any(|result| result.outcome() != Outcome::NotRun),
            "a request must not be reported as not run if an attempt may have run it"
        );
        assert!(
            !self.results.contains(&AttemptResult::Answered) || cause == Cause::CallerGone,
            "a response must be forwarded unless the caller has disconnected"
        );
        Step::Refuse { outcome, cause }
    }
}

fn cause_of(result: AttemptResult) -> Cause {
    match result {
        AttemptResult::NotConnected => Cause::TargetUnreachable,
        AttemptResult::Shed => Cause::TargetShed,
        AttemptResult::Foreign => Cause::ForeignAnswer,
        AttemptResult::Broken => Cause::TargetBroken,
        AttemptResult::Answered | AttemptResult::Failed | AttemptResult::TimedOut => {
            Cause::TargetTimedOut
        }
    }
}
