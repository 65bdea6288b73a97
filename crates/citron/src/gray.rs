//! The belief that a target is failing its requests while it looks healthy.
//!
//! A target is modelled as a two-state Markov process, sound or sick, that is seen only through
//! the outcomes of requests. Every gateway updates the belief with its own outcomes and with
//! those that the others report, so that a target is known to be sick after very few failures of
//! the whole fleet.

mod choice;
mod view;

pub use self::{
    choice::{Candidate, Eligibility, NoCapacity, choose, no_capacity},
    view::{Choice, Criteria, Load, TargetKey, View, target_key},
};

use std::time::Duration;

use strum::{Display, EnumIter, FromRepr, IntoStaticStr};

/// How often a sound target turns sick, per second.
const ONSET_PER_S: f64 = 0.02;
/// How often a sick target recovers, per second.
const RECOVERY_PER_S: f64 = 0.12;
/// The belief about a target of which nothing is known.
const PRIOR: f64 = 0.03;
/// The bounds of the belief, so that no history takes too long to overturn.
const PROBABILITY_RANGE: (f64, f64) = (0.002, 0.985);
/// Above this belief a target counts as suspected.
pub const SUSPECT_THRESHOLD: f64 = 0.2;
/// Below this belief a success need not be reported to other hosts.
pub const REPORT_THRESHOLD: f64 = 0.05;

/// What one request said about its target.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Verdict {
    /// A whole answer in time.
    Served = 1,
    /// A whole answer, later than the objective.
    Late = 2,
    /// The target answered with a failure of its own, or spoiled its answer.
    Failed = 3,
    /// The target refused the request without running it.
    Shed = 4,
    /// The target did not answer in time, or the connection broke.
    Silent = 5,
    /// No connection could be made.
    Unreachable = 6,
    /// Another target answered first, although this one had a slot free and much time.
    Overdue = 7,
}

impl Verdict {
    /// Returns how much likelier this is from a sick target than from a sound one.
    fn likelihood_ratio(self) -> f64 {
        match self {
            Self::Served => 0.25,
            // Mostly a matter of load, which is reported by itself.
            Self::Late => 1.0,
            Self::Overdue => 4.0,
            Self::Failed => 45.0,
            Self::Shed => 4.0,
            Self::Silent => 20.0,
            Self::Unreachable => 8.0,
        }
    }

    /// Returns true if it may come from the observer's own path as well as from the target.
    pub fn may_be_path_failure(self) -> bool {
        matches!(self, Self::Silent | Self::Unreachable)
    }
}

/// The belief about one target, with the time it was last touched.
#[derive(Debug, Copy, Clone)]
pub struct FailureEstimate {
    probability: f64,
    updated_at: Duration,
    observed_at: Option<Duration>,
}

impl FailureEstimate {
    /// Creates the belief about a target of which nothing is known at `now`.
    pub fn new(now: Duration) -> Self {
        Self { probability: PRIOR, updated_at: now, observed_at: None }
    }

    /// Takes an outcome with a weight from 0 (ignored) to 1 (as certain as one's own).
    pub fn observe(&mut self, verdict: Verdict, weight: f64, now: Duration) {
        let probability = self.probability(now);
        let odds = probability / (1.0 - probability) * verdict.likelihood_ratio().powf(weight);
        let (least, most) = PROBABILITY_RANGE;
        self.probability = (odds / (1.0 + odds)).clamp(least, most);
        self.updated_at = now;
        self.observed_at = Some(now);
        assert!(self.probability.is_finite(), "a belief must stay a probability");
    }

    /// Returns the probability that the target is sick at `now`.
    ///
    /// While nothing is heard of a target, a low belief stays low: failures are reported by all
    /// gateways, so that silence speaks for the target. A high belief decays towards the share
    /// of time that targets are sick.
    pub fn probability(&self, now: Duration) -> f64 {
        let steady_state = ONSET_PER_S / (ONSET_PER_S + RECOVERY_PER_S);
        if self.probability <= steady_state {
            return self.probability;
        }
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        steady_state
            + (self.probability - steady_state)
                * (-(ONSET_PER_S + RECOVERY_PER_S) * elapsed_s).exp()
    }

    /// Returns how long ago anything was heard of the target, if ever.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.observed_at.map(|at| now.saturating_sub(at))
    }
}
