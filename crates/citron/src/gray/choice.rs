//! Chooses the target of one attempt by its expected cost.

use std::time::Duration;

use rand::Rng;

use super::SUSPECT_THRESHOLD;

/// The cost of a failed request, the unit of all costs here.
const FAILURE_COST: f64 = 1.0;
/// Targets below this belief count as equally sound, so that all of them get work; those above it
/// are tested.
const HEALTHY_THRESHOLD: f64 = 0.06;
/// The cost of a target whose slots are all taken but the last.
const LOAD_COST: f64 = 0.05;
/// The cost of waiting for a slot, for each request ahead and slot.
const QUEUE_COST: f64 = 0.35;
/// A target is crowded with so many requests for each of its slots.
const SATURATION_RATIO: f64 = 1.5;
/// Where a smaller share of the targets is sound, the doubt may be one's own.
const HEALTHY_SHARE_MIN: f64 = 0.5;
/// The cost of crossing to another failure domain.
const CROSS_DOMAIN_COST: f64 = 0.04;
/// The cost of a target that is slow after its start.
const WARMUP_COST: f64 = 0.05;
/// The cost of a target whose entry is only held after an outage.
const LAPSED_COST: f64 = 0.1;
/// The cost of a target that shed a moment ago.
const RECENT_SHED_COST: f64 = 0.3;
/// Costs are spread by up to this much, so that equal targets share the work.
const JITTER: f64 = 0.03;

/// A target that may get the attempt.
#[derive(Debug, Copy, Clone)]
pub struct Candidate {
    /// The probability that it is sick or out of reach.
    pub failure_probability: f64,
    /// The requests that all gateways have at it, and its slots.
    pub load: (u32, u32),
    /// This gateway's own requests at it.
    pub own_in_flight: u32,
    /// Whether it is in this gateway's failure domain.
    pub same_domain: bool,
    /// Whether it is slow after its start.
    pub warming: bool,
    /// Whether its entry is only held after an outage of the store.
    pub lapsed: bool,
    /// Whether it shed a request a moment ago.
    pub recently_shed: bool,
    /// How long this gateway's test of it has been due, if it is.
    pub trial_due_for: Option<Duration>,
}

/// What an attempt asks of its target.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Eligibility {
    /// Any target.
    Any,
    /// Any target, also a doubted one whose test is due: the request can be repeated elsewhere,
    /// and only its outcome tells whether the target has recovered.
    Trial,
    /// Only a target with a slot free that is not suspected.
    FreeSlot,
}

impl Eligibility {
    /// Returns true if the attempt may test a suspected target.
    pub fn allows_trial(self) -> bool {
        self == Self::Trial
    }
}

impl Candidate {
    /// Returns true if the target is to be tested before it gets ordinary work.
    pub fn needs_trial(&self) -> bool {
        self.failure_probability >= HEALTHY_THRESHOLD
    }

    fn cost(&self) -> f64 {
        let (in_flight, slots) = (f64::from(self.load.0), f64::from(self.load.1.max(1)));
        let ahead = (in_flight + 1.0 - slots).max(0.0);
        let probability = if self.needs_trial() { self.failure_probability } else { 0.0 };
        probability * FAILURE_COST
            + in_flight / slots * LOAD_COST
            + ahead / slots * QUEUE_COST
            + if self.same_domain { 0.0 } else { CROSS_DOMAIN_COST }
            + if self.warming { WARMUP_COST } else { 0.0 }
            + if self.lapsed { LAPSED_COST } else { 0.0 }
            + if self.recently_shed { RECENT_SHED_COST } else { 0.0 }
    }
}

/// Why a new request is not sent anywhere: all sound targets are crowded, or there are none.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct NoCapacity {
    /// The targets that were looked at.
    pub candidates: usize,
    /// Those of them that are not suspected.
    pub healthy: usize,
}

/// Returns why a new request should not be sent, if every sound target is crowded.
///
/// In overload a longer queue at the targets serves nobody better: it makes all requests late.
pub fn no_capacity(candidates: &[Candidate]) -> Option<NoCapacity> {
    let is_healthy = |candidate: &&Candidate| candidate.failure_probability < SUSPECT_THRESHOLD;
    let is_saturated = |candidate: &Candidate| {
        let (in_flight, slots) = candidate.load;
        f64::from(in_flight) >= f64::from(slots) * SATURATION_RATIO
    };
    let healthy = candidates.iter().filter(is_healthy).count();
    let all_saturated = candidates.iter().filter(is_healthy).all(is_saturated);
    let enough_healthy = healthy as f64 >= candidates.len() as f64 * HEALTHY_SHARE_MIN;
    (healthy > 0 && all_saturated && enough_healthy)
        .then_some(NoCapacity { candidates: candidates.len(), healthy })
}

/// Returns the index of the candidate to send to, or `None` if none meets the demand.
pub fn choose(
    candidates: &[Candidate],
    eligibility: Eligibility,
    rng: &mut impl Rng,
) -> Option<usize> {
    if eligibility.allows_trial() {
        let candidates = candidates.iter().enumerate();
        let due = candidates.filter_map(|(index, c)| Some((c.trial_due_for?, index))).max();
        if let Some((_, index)) = due {
            return Some(index);
        }
    }
    let meets = |c: &Candidate| {
        eligibility != Eligibility::FreeSlot
            || (c.load.0 < c.load.1 && c.failure_probability < SUSPECT_THRESHOLD)
    };
    let meeting = candidates.iter().enumerate().filter(|(_, candidate)| meets(candidate));
    let costs = meeting.map(|(index, c)| (index, c.cost() + rng.random_range(0.0..JITTER)));
    costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(index, _)| index)
}
