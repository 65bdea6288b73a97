//! Attempts of one request: what each ended as, whether another may follow, what the caller is told.

mod budget;
mod key;
mod window;

pub use self::{
    budget::RetryBudget,
    key::key_digest,
    window::{RetryBudgetParams, WindowedRetryBudget},
};

use std::time::Duration;

use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

/// What is certain about a request at its end.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A target answered it and the answer is passed on.
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
    /// The head of the target's own answer to this request arrived.
    Answered,
    /// The target ran it and answered with a failure of its own.
    Failed,
    /// No connection could be made, so nothing was sent.
    NotConnected,
    /// The target said that it refused the request without running it.
    Shed,
    /// An answer arrived that belongs to another request.
    Foreign,
    /// The connection ended before an answer.
    Broken,
    /// No answer arrived in time.
    TimedOut,
}

impl AttemptResult {
    /// Returns what the attempt leaves certain about the request.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Answered | Self::Failed => Outcome::Answered,
            Self::NotConnected | Self::Shed => Outcome::NotRun,
            Self::Foreign | Self::Broken | Self::TimedOut => Outcome::Unknown,
        }
    }
}

/// The answer to a claim of an idempotency key.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimDecision {
    /// This request owns the key and may run.
    Granted,
    /// Another request owns the key.
    Taken,
    /// Nobody could decide it in time.
    Undecided,
}

/// What limits the attempts of one request.
#[derive(Debug, Copy, Clone)]
pub struct RetryPolicy {
    /// Whether a repetition has the same effect as a single run.
    pub idempotent: bool,
    /// Whether an idempotency key must be claimed before the first attempt.
    pub requires_claim: bool,
    /// When the request must have ended, since the process origin.
    pub deadline: Duration,
    /// The most attempts, at least 1.
    pub max_attempts: u32,
    /// The most attempts besides that may fail to connect; they are not paid for.
    pub max_connect_failures: u32,
}

/// Why a request ends without an answer.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// Its deadline passed.
    DeadlinePassed,
    /// No target can take it.
    NoCapacity,
    /// Another request owns its idempotency key.
    IdempotencyKeyTaken,
    /// The claim of its idempotency key could not be decided.
    IdempotencyKeyUndecided,
    /// The targets that were tried could not be reached.
    TargetUnreachable,
    /// The targets that were tried shed it.
    TargetShed,
    /// Only answers to other requests arrived.
    ForeignAnswer,
    /// The connection to the target ended before an answer.
    TargetBroken,
    /// The target did not answer in time.
    TargetTimedOut,
    /// The caller went away.
    CallerGone,
}

/// What to do next about a request.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Step {
    /// Claim the idempotency key, then call [`AttemptSeries::record_claim`].
    Claim,
    /// Make an attempt whose answer must begin before `until`, then call [`AttemptSeries::record_result`].
    Send {
        /// When this attempt is given up, since the process origin.
        until: Duration,
        /// True if it must use a connection that no earlier attempt has used.
        fresh: bool,
    },
    /// Wait for the attempt under way, then call [`AttemptSeries::record_result`].
    Wait,
    /// Pass the last attempt's answer on.
    ForwardResponse,
    /// Tell the caller that there is no answer.
    Refuse {
        /// What is certain, never [`Outcome::Answered`].
        outcome: Outcome,
        /// Why.
        cause: Cause,
    },
}

/// The series of attempts of one request.
///
/// The caller asks [`AttemptSeries::next_step`] what to do, does it, and reports how it went. A request that
/// is not idempotent is sent again only after attempts that certainly did not run it.
#[derive(Debug)]
pub struct AttemptSeries {
    policy: RetryPolicy,
    claim: Option<ClaimDecision>,
    results: SmallVec<[AttemptResult; 4]>,
    in_flight: u32,
    stop_cause: Option<Cause>,
    body_replayable: bool,
}

impl AttemptSeries {
    /// Starts the series of one request.
    pub fn new(policy: RetryPolicy) -> Self {
        assert!(policy.max_attempts > 0, "a request must be allowed at least one attempt");
        Self {
            policy,
            claim: None,
            results: SmallVec::new(),
            in_flight: 0,
            stop_cause: None,
            body_replayable: true,
        }
    }

    /// Returns what to do at `now`; a repetition is made only if `charge_retry` takes it from a budget.
    ///
    /// An attempt that never reached its target is repeated without payment.
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

    /// Begins a further attempt beside the one under way, if the request can be repeated and `charge_retry`
    /// takes the repetition from a budget.
    pub fn hedge(&mut self, now: Duration, charge_retry: impl FnOnce() -> bool) -> Option<Step> {
        assert!(self.in_flight > 0, "an attempt must be under way to be hedged");
        let may = self.policy.idempotent && self.stop_cause.is_none() && now < self.policy.deadline;
        if may && self.may_retry() && charge_retry() { Some(self.send(now)) } else { None }
    }

    /// Takes the answer to the claim that [`Step::Claim`] asked for.
    pub fn record_claim(&mut self, claim: ClaimDecision) {
        assert!(self.policy.requires_claim, "a request without a key must not claim one");
        assert!(self.results.is_empty(), "a key must be claimed before the first attempt");
        self.claim = Some(claim);
    }

    /// Takes how the attempt ended that [`Step::Send`] asked for.
    pub fn record_result(&mut self, result: AttemptResult) {
        assert!(self.in_flight > 0, "an attempt must start before it ends");
        self.in_flight -= 1;
        self.results.push(result);
    }

    /// Takes that the attempt that [`Step::Send`] asked for was not made, as no target could take it.
    pub fn record_no_target(&mut self) {
        assert!(self.in_flight > 0, "an attempt must start before it is given up");
        self.in_flight -= 1;
        if self.in_flight > 0 {
            return;
        }
        self.stop_cause =
            Some(self.results.last().map_or(Cause::NoCapacity, |&last| cause_of(last)));
    }

    /// Takes that part of the body is gone, so that the request cannot be sent again.
    pub fn record_body_consumed(&mut self) {
        self.body_replayable = false;
    }

    /// Takes that the caller went away; an attempt under way ends as unknown.
    pub fn record_caller_gone(&mut self) {
        while self.in_flight > 0 {
            self.record_result(AttemptResult::TimedOut);
        }
        self.stop_cause = Some(Cause::CallerGone);
    }

    /// Returns the number of attempts so far, without those that failed to connect as far as the
    /// policy allow them.
    pub fn attempts(&self) -> u32 {
        self.results.len() as u32 + self.in_flight
            - self.connect_failures().min(self.policy.max_connect_failures)
    }

    fn connect_failures(&self) -> u32 {
        self.results.iter().filter(|&&result| result == AttemptResult::NotConnected).count() as u32
    }

    /// Returns true if nothing need be paid for a repetition after this result.
    fn is_free_retry(&self, last: AttemptResult) -> bool {
        last == AttemptResult::NotConnected
            && self.connect_failures() <= self.policy.max_connect_failures
    }

    /// Passes the target's own failure on if that is how the last attempt ended.
    fn give_up(&self, cause: Cause) -> Step {
        if self.results.last() == Some(&AttemptResult::Failed) {
            Step::ForwardResponse
        } else {
            self.refuse(cause)
        }
    }

    fn may_retry(&self) -> bool {
        let safe = self.policy.idempotent || self.no_attempt_ran();
        safe && self.body_replayable && self.attempts() < self.policy.max_attempts
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
            "a request with a key must own it before it is sent"
        );
        assert!(
            self.attempts() < self.policy.max_attempts,
            "the attempts must stay within the limit"
        );
        self.in_flight += 1;
        Step::Send { until: self.attempt_deadline(now), fresh: self.needs_fresh_connection() }
    }

    /// Leaves an idempotent request time for another attempt if this one's connection is silent.
    fn attempt_deadline(&self, now: Duration) -> Duration {
        let is_last = self.attempts() >= self.policy.max_attempts;
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
            "a request is told not run only if no attempt may have run it"
        );
        assert!(
            !self.results.contains(&AttemptResult::Answered) || cause == Cause::CallerGone,
            "an answer must be passed on"
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
