//! Attempts of one request: what each ended as, whether another may follow, what the caller is told.

mod budget;
mod key;
mod window;

pub use self::{
    budget::Budget,
    key::key_digest,
    window::{Share, Window},
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
pub enum Ending {
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

impl Ending {
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
pub enum Claim {
    /// This request owns the key and may run.
    Granted,
    /// Another request owns the key.
    Taken,
    /// Nobody could decide it in time.
    Undecided,
}

/// What limits the attempts of one request.
#[derive(Debug, Copy, Clone)]
pub struct Rules {
    /// Whether a repetition has the same effect as a single run.
    pub idempotent: bool,
    /// Whether an idempotency key must be claimed before the first attempt.
    pub keyed: bool,
    /// When the request must have ended, since the process origin.
    pub deadline: Duration,
    /// The most attempts, at least 1.
    pub attempts: u32,
    /// The most attempts besides that may fail to connect; they are not paid for.
    pub unconnected: u32,
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
    /// Claim the idempotency key, then call [`Series::claimed`].
    Claim,
    /// Make an attempt whose answer must begin before `until`, then call [`Series::ended`].
    Send {
        /// When this attempt is given up, since the process origin.
        until: Duration,
        /// True if it must use a connection that no earlier attempt has used.
        fresh: bool,
    },
    /// Wait for the attempt under way, then call [`Series::ended`].
    Wait,
    /// Pass the last attempt's answer on.
    Answer,
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
/// The caller asks [`Series::next`] what to do, does it, and reports how it went. A request that
/// is not idempotent is sent again only after attempts that certainly did not run it.
#[derive(Debug)]
pub struct Series {
    rules: Rules,
    claim: Option<Claim>,
    endings: SmallVec<[Ending; 4]>,
    under_way: u32,
    stop: Option<Cause>,
    repeatable: bool,
}

impl Series {
    /// Starts the series of one request.
    pub fn new(rules: Rules) -> Self {
        assert!(rules.attempts > 0, "a request must be allowed at least one attempt");
        Self {
            rules,
            claim: None,
            endings: SmallVec::new(),
            under_way: 0,
            stop: None,
            repeatable: true,
        }
    }

    /// Returns what to do at `now`; a repetition is made only if `pay` takes it from a budget.
    ///
    /// An attempt that never reached its target is repeated without payment.
    pub fn next(&mut self, now: Duration, pay: impl FnOnce() -> bool) -> Step {
        if self.endings.last() == Some(&Ending::Answered) {
            return Step::Answer;
        }
        if self.under_way > 0 && self.stop != Some(Cause::CallerGone) {
            return Step::Wait;
        }
        if let Some(cause) = self.stop {
            return if cause == Cause::CallerGone {
                self.refuse(cause)
            } else {
                self.give_up(cause)
            };
        }
        if now >= self.rules.deadline {
            return self.give_up(Cause::DeadlinePassed);
        }
        if self.rules.keyed {
            match self.claim {
                None => return Step::Claim,
                Some(Claim::Granted) => {}
                Some(Claim::Taken) => return self.refuse(Cause::IdempotencyKeyTaken),
                Some(Claim::Undecided) => return self.refuse(Cause::IdempotencyKeyUndecided),
            }
        }
        if let Some(&last) = self.endings.last()
            && !(self.may_repeat() && (self.is_free(last) || pay()))
        {
            return self.give_up(cause_of(last));
        }
        self.send(now)
    }

    /// Begins a further attempt beside the one under way, if the request can be repeated and `pay`
    /// takes the repetition from a budget.
    pub fn hedge(&mut self, now: Duration, pay: impl FnOnce() -> bool) -> Option<Step> {
        assert!(self.under_way > 0, "an attempt must be under way to be hedged");
        let may = self.rules.idempotent && self.stop.is_none() && now < self.rules.deadline;
        if may && self.may_repeat() && pay() { Some(self.send(now)) } else { None }
    }

    /// Takes the answer to the claim that [`Step::Claim`] asked for.
    pub fn claimed(&mut self, claim: Claim) {
        assert!(self.rules.keyed, "a request without a key must not claim one");
        assert!(self.endings.is_empty(), "a key must be claimed before the first attempt");
        self.claim = Some(claim);
    }

    /// Takes how the attempt ended that [`Step::Send`] asked for.
    pub fn ended(&mut self, ending: Ending) {
        assert!(self.under_way > 0, "an attempt must start before it ends");
        self.under_way -= 1;
        self.endings.push(ending);
    }

    /// Takes that the attempt that [`Step::Send`] asked for was not made, as no target could take it.
    pub fn unplaced(&mut self) {
        assert!(self.under_way > 0, "an attempt must start before it is given up");
        self.under_way -= 1;
        if self.under_way > 0 {
            return;
        }
        self.stop = Some(self.endings.last().map_or(Cause::NoCapacity, |&last| cause_of(last)));
    }

    /// Takes that part of the body is gone, so that the request cannot be sent again.
    pub fn body_spent(&mut self) {
        self.repeatable = false;
    }

    /// Takes that the caller went away; an attempt under way ends as unknown.
    pub fn caller_gone(&mut self) {
        while self.under_way > 0 {
            self.ended(Ending::TimedOut);
        }
        self.stop = Some(Cause::CallerGone);
    }

    /// Returns the number of attempts so far, without those that failed to connect as far as the
    /// rules allow them.
    pub fn attempts(&self) -> u32 {
        self.endings.len() as u32 + self.under_way - self.unconnected().min(self.rules.unconnected)
    }

    fn unconnected(&self) -> u32 {
        self.endings.iter().filter(|&&ending| ending == Ending::NotConnected).count() as u32
    }

    /// Returns true if nothing need be paid for a repetition after this ending.
    fn is_free(&self, last: Ending) -> bool {
        last == Ending::NotConnected && self.unconnected() <= self.rules.unconnected
    }

    /// Passes the target's own failure on if that is how the last attempt ended.
    fn give_up(&self, cause: Cause) -> Step {
        if self.endings.last() == Some(&Ending::Failed) { Step::Answer } else { self.refuse(cause) }
    }

    fn may_repeat(&self) -> bool {
        let safe = self.rules.idempotent || self.is_not_run();
        safe && self.repeatable && self.attempts() < self.rules.attempts
    }

    fn is_not_run(&self) -> bool {
        self.endings.iter().all(|ending| ending.outcome() == Outcome::NotRun)
    }

    fn send(&mut self, now: Duration) -> Step {
        assert!(
            self.rules.idempotent || self.is_not_run(),
            "a request that is not idempotent must not be sent again after {:?}",
            self.endings
        );
        assert!(
            !self.rules.keyed || self.claim == Some(Claim::Granted),
            "a request with a key must own it before it is sent"
        );
        assert!(self.attempts() < self.rules.attempts, "the attempts must stay within the limit");
        self.under_way += 1;
        Step::Send { until: self.attempt_end(now), fresh: self.needs_fresh_connection() }
    }

    /// Leaves an idempotent request time for another attempt if this one's connection is silent.
    fn attempt_end(&self, now: Duration) -> Duration {
        let is_last = self.attempts() >= self.rules.attempts;
        if !self.rules.idempotent || !self.repeatable || is_last {
            return self.rules.deadline;
        }
        now + (self.rules.deadline - now) / 2
    }

    fn needs_fresh_connection(&self) -> bool {
        !self.rules.idempotent || !self.endings.is_empty()
    }

    fn refuse(&self, cause: Cause) -> Step {
        let outcome = if self.is_not_run() { Outcome::NotRun } else { Outcome::Unknown };
        assert!(
            outcome != Outcome::NotRun
                || !self.endings.iter().any(|ending| ending.outcome() != Outcome::NotRun),
            "a request is told not run only if no attempt may have run it"
        );
        assert!(
            !self.endings.contains(&Ending::Answered) || cause == Cause::CallerGone,
            "an answer must be passed on"
        );
        Step::Refuse { outcome, cause }
    }
}

fn cause_of(ending: Ending) -> Cause {
    match ending {
        Ending::NotConnected => Cause::TargetUnreachable,
        Ending::Shed => Cause::TargetShed,
        Ending::Foreign => Cause::ForeignAnswer,
        Ending::Broken => Cause::TargetBroken,
        Ending::Answered | Ending::Failed | Ending::TimedOut => Cause::TargetTimedOut,
    }
}
