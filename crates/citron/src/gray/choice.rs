//! Chooses the target of one attempt by its expected cost.

use rand::Rng;

use super::SUSPECT;

/// The cost of a failed request, the unit of all costs here.
const FAILURE_COST: f64 = 1.0;
/// The cost of a full set of slots taken by this gateway's own requests.
const LOAD_COST: f64 = 0.25;
/// The cost of crossing to another failure domain.
const DOMAIN_COST: f64 = 0.04;
/// The cost of a target that is slow after its start.
const WARMUP_COST: f64 = 0.05;
/// The cost of a target whose entry is only held after an outage.
const LAPSED_COST: f64 = 0.1;
/// The cost of a target that shed a moment ago.
const HELD_BACK_COST: f64 = 0.3;
/// Costs are spread by up to this much, so that equal targets share the work.
const JITTER: f64 = 0.03;

/// A target that may get the attempt.
#[derive(Debug, Copy, Clone)]
pub struct Candidate {
    /// The probability that it is sick or out of reach.
    pub sick: f64,
    /// This gateway's requests at it, and its slots.
    pub load: (u32, u32),
    /// Whether it is in this gateway's failure domain.
    pub near: bool,
    /// Whether it is slow after its start.
    pub warming: bool,
    /// Whether its entry is only held after an outage of the store.
    pub lapsed: bool,
    /// Whether it shed a request a moment ago.
    pub held_back: bool,
    /// Whether this gateway is to test it now, should it be suspected.
    pub due: bool,
}

impl Candidate {
    fn cost(&self) -> f64 {
        let (busy, slots) = self.load;
        let load = f64::from(busy) / f64::from(slots.max(1));
        self.sick * FAILURE_COST
            + load * LOAD_COST
            + if self.near { 0.0 } else { DOMAIN_COST }
            + if self.warming { WARMUP_COST } else { 0.0 }
            + if self.lapsed { LAPSED_COST } else { 0.0 }
            + if self.held_back { HELD_BACK_COST } else { 0.0 }
    }
}

/// Returns the index of the candidate to send to, or `None` if there is none.
///
/// With `may_test`, a suspected target whose test is due goes first: the request can be repeated
/// elsewhere, and only its outcome tells whether the target has recovered.
pub fn choose(candidates: &[Candidate], may_test: bool, rng: &mut impl Rng) -> Option<usize> {
    if may_test {
        let due = candidates.iter().position(|c| c.due && c.sick > SUSPECT && c.load.0 == 0);
        if due.is_some() {
            return due;
        }
    }
    let costs = candidates.iter().map(|c| c.cost() + rng.random_range(0.0..JITTER));
    costs.enumerate().min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(index, _)| index)
}
