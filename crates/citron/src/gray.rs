//! Detects targets that fail requests while they look healthy, and chooses targets accordingly.
//!
//! A target is modelled as a two-state Markov process, healthy or failing, that is observed only
//! through the outcomes of requests. Every gateway updates its estimate with its own outcomes and
//! with those that its peers report, so that very few failures across the fleet are enough to
//! detect a failing target.

mod choice;
mod peer_load;
mod view;

pub use self::{
    choice::{Candidate, Eligibility, NoCapacity, Places, choose, no_capacity, places},
    peer_load::PeerLoad,
    view::{Choice, Criteria, Load, TargetKey, View, target_key},
};

use std::time::Duration;

use strum::{Display, EnumIter, FromRepr, IntoStaticStr};

/// The rate at which a healthy target starts to fail, per second.
const ONSET_PER_S: f64 = 0.02;
/// The rate at which a failing target recovers, per second.
const RECOVERY_PER_S: f64 = 0.12;
/// The failure probability of a target without any observation.
const PRIOR: f64 = 0.03;
/// The bounds of the estimate, so that a long history does not take too long to overturn.
const PROBABILITY_RANGE: (f64, f64) = (0.002, 0.985);
/// Above this failure probability a target is suspected.
pub const SUSPECT_THRESHOLD: f64 = 0.2;
/// At or below this failure probability a success is not reported to peers.
pub const REPORT_THRESHOLD: f64 = 0.05;

/// What the outcome of one request says about its target.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr, EnumIter, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Verdict {
    /// A complete response in time.
    Served = 1,
    /// A complete response, later than the latency objective.
    Late = 2,
    /// The target responded with a failure of its own, or its response was broken.
    Failed = 3,
    /// The target refused the request without executing it.
    Shed = 4,
    /// The target did not respond in time, or a connection broke that had been idle before.
    Silent = 5,
    /// The connection could not be established.
    Unreachable = 6,
    /// Another target responded first, although this one had a free slot and plenty of time.
    Overdue = 7,
    /// The target accepted a new connection, and ended it or sent bytes that are no response.
    Reset = 8,
}

impl Verdict {
    /// Returns how much more likely this outcome is at a failing target than at a healthy one.
    fn likelihood_ratio(self) -> f64 {
        match self {
            Self::Served => 0.25,
            // Mostly caused by load, which is reported separately.
            Self::Late => 1.0,
            Self::Overdue => 4.0,
            Self::Failed | Self::Reset => 45.0,
            Self::Shed => 4.0,
            Self::Silent => 20.0,
            Self::Unreachable => 8.0,
        }
    }

    /// Returns true if the observer's network path may have caused it as well as the target.
    pub fn may_be_path_failure(self) -> bool {
        matches!(self, Self::Silent | Self::Unreachable)
    }
}

/// An estimate of the probability that one target is failing.
#[derive(Debug, Copy, Clone)]
pub struct FailureEstimate {
    probability: f64,
    updated_at: Duration,
    observed_at: Option<Duration>,
}

impl FailureEstimate {
    /// Creates the estimate for a target without any observation.
    pub fn new(now: Duration) -> Self {
        Self { probability: PRIOR, updated_at: now, observed_at: None }
    }

    /// Updates the estimate by Bayes' rule with an outcome, weighted from 0 (ignored) to 1 (as
    /// reliable as this gateway's own).
    pub fn observe(&mut self, verdict: Verdict, weight: f64, now: Duration) {
        let probability = self.probability(now);
        let odds = probability / (1.0 - probability) * verdict.likelihood_ratio().powf(weight);
        let (least, most) = PROBABILITY_RANGE;
        self.probability = (odds / (1.0 + odds)).clamp(least, most);
        self.updated_at = now;
        self.observed_at = Some(now);
        assert!(self.probability.is_finite(), "a failure probability must be finite");
    }

    /// Returns the probability that the target is failing at `now`.
    ///
    /// Without new observations a low estimate stays as it is: all gateways report failures, so
    /// the absence of reports means that there were none. A high estimate decays towards the
    /// steady state, the share of time that targets are failing.
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

    /// Returns the time since the last observation, if there was any.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.observed_at.map(|at| now.saturating_sub(at))
    }
}
