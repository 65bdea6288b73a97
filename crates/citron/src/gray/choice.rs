//! Chooses the target with the lowest expected cost for an attempt.

use std::time::Duration;

use rand::Rng;

use super::SUSPECT_THRESHOLD;

/// The cost of a failed request, the unit of all costs here.
const FAILURE_COST: f64 = 1.0;
/// From this failure probability on a target needs trial requests; the targets below it count as
/// equally good, so that all of them receive requests.
const TRIAL_THRESHOLD: f64 = 0.06;
/// The cost of load, scaled by the requests in flight per slot.
const LOAD_COST: f64 = 0.05;
/// The cost of waiting for a slot, scaled by the requests ahead per slot.
const QUEUE_COST: f64 = 0.35;
/// A target with at least this many requests in flight per slot is saturated.
const SATURATION_RATIO: f64 = 1.5;
/// If a smaller share of the targets is not suspected, the fault may be this gateway's own.
const HEALTHY_SHARE_MIN: f64 = 0.5;
/// The cost of sending a request to another failure domain.
const CROSS_DOMAIN_COST: f64 = 0.04;
/// The cost of a target that is still warming up.
const WARMUP_COST: f64 = 0.05;
/// The cost of a target whose entry lapsed.
const LAPSED_COST: f64 = 0.1;
/// The cost of a target that shed a request recently.
const RECENT_SHED_COST: f64 = 0.3;
/// Each cost gets a random addition up to this, so that equal targets share the requests.
const JITTER: f64 = 0.03;

/// A target that the attempt may be sent to.
#[derive(Debug, Copy, Clone)]
pub struct Candidate {
    /// The probability that it is failing or unreachable.
    pub failure_probability: f64,
    /// The requests that all gateways have in flight at it, and its slots.
    pub load: (u32, u32),
    /// The requests that this gateway has in flight at it.
    pub own_in_flight: u32,
    /// Whether it is in this gateway's failure domain.
    pub same_domain: bool,
    /// Whether it is still slow after its start.
    pub warming: bool,
    /// Whether its entry vanished around an outage of the store and is kept for a grace period.
    pub lapsed: bool,
    /// Whether it shed a request recently.
    pub recently_shed: bool,
    /// How long this gateway's next trial request to it has been due, if it is.
    pub trial_due_for: Option<Duration>,
}

/// Which targets an attempt may be sent to.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Eligibility {
    /// Any target.
    Any,
    /// Any target, preferably one whose trial is due: only the outcome of a request shows whether
    /// that target has recovered, and this request can be retried elsewhere.
    Trial,
    /// Any target, preferably one that is probably healthy again and to which nothing was sent for
    /// long: of a service without requests that can be retried, only the outcome of another one shows
    /// that a target has recovered.
    LateTrial,
    /// Only a target that has a free slot and is not suspected.
    FreeSlot,
}

impl Eligibility {
    /// Returns true if the attempt may be a trial request.
    pub fn allows_trial(self) -> bool {
        matches!(self, Self::Trial | Self::LateTrial)
    }
}

impl Candidate {
    /// Returns true if a trial must succeed before the target is treated like the others.
    pub fn needs_trial(&self) -> bool {
        self.failure_probability >= TRIAL_THRESHOLD
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

/// The reason that no target was chosen: all healthy targets are saturated, or none is eligible.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct NoCapacity {
    /// The targets that were considered.
    pub candidates: usize,
    /// Those of them that are not suspected, or 0 if none was eligible.
    pub healthy: usize,
}

/// Returns `Some` if a new request should be refused because every healthy target is saturated.
///
/// Under overload a longer queue at the targets helps no request: it makes all of them late.
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

/// How many further requests targets have room for.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Places {
    /// At any target.
    pub any: usize,
    /// At targets that have not shed a request recently.
    pub calm: usize,
}

/// Returns the free places at the healthy targets, or at all if too few are healthy.
pub fn places(candidates: &[Candidate]) -> Places {
    let is_healthy = |candidate: &Candidate| candidate.failure_probability < SUSPECT_THRESHOLD;
    let healthy = candidates.iter().filter(|candidate| is_healthy(candidate)).count();
    let enough_healthy = healthy as f64 >= candidates.len() as f64 * HEALTHY_SHARE_MIN;
    let mut places = Places { any: 0, calm: 0 };
    for candidate in candidates.iter().filter(|c| !enough_healthy || is_healthy(c)) {
        let (in_flight, slots) = candidate.load;
        let limit = (f64::from(slots) * SATURATION_RATIO).ceil() as usize;
        let free = limit.saturating_sub(in_flight as usize);
        places.any += free;
        places.calm += if candidate.recently_shed { 0 } else { free };
    }
    places
}

/// Returns the index of the candidate to send to, or `None` if none is eligible.
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
    let is_eligible = |c: &Candidate| {
        eligibility != Eligibility::FreeSlot
            || (c.load.0 < c.load.1 && c.failure_probability < SUSPECT_THRESHOLD)
    };
    let eligible = candidates.iter().enumerate().filter(|(_, candidate)| is_eligible(candidate));
    let costs = eligible.map(|(index, c)| (index, c.cost() + rng.random_range(0.0..JITTER)));
    costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(index, _)| index)
}
