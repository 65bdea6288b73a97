//! The weights that a proxy gives its targets, by verdicts and its own observer.

mod service;

use std::collections::BTreeMap;

use self::service::ServiceWeights;
use super::{Target, Verdict};

/// Weight of a target on trial or under full suspicion.
const TRIAL_WEIGHT: f64 = 0.05;
/// Least weight at which a target counts as healthy capacity.
const MIN_USABLE_WEIGHT: f64 = 0.5;

/// The weights of all services' targets at one proxy.
///
/// Verdicts and suspicions lower weights only as long as each service's floor holds: the least
/// share of listed targets that stays usable.
#[derive(Debug, Default)]
pub struct TargetWeights {
    services: BTreeMap<String, ServiceWeights>,
}

/// The weight of one target and which requests may go there.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct HealthWeight {
    /// Share of its regular load, from 0 to 1.
    pub weight: f64,
    /// Whether only idempotent requests may go to the target.
    pub trial: bool,
}

/// A change of a target's weight, recorded as an event.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum WeightChange {
    /// The weight was lowered because of this proxy's own observations.
    Suspected(String),
    /// A verdict ejected the target; the second field is its reason.
    Ejected(String, String),
    /// An ejection, trial or strong suspicion was not applied because of the floor.
    HeldByFloor(String),
    /// The target gets a few idempotent requests as a trial.
    TrialStarted(String),
    /// The target is in use again.
    Returned(String),
}

impl HealthWeight {
    /// Full weight.
    pub const FULL: Self = Self { weight: 1.0, trial: false };
    /// No requests.
    pub const EJECTED: Self = Self { weight: 0.0, trial: false };
    /// A few idempotent requests, by which a target has to prove that it recovered.
    pub const TRIAL: Self = Self { weight: TRIAL_WEIGHT, trial: true };

    /// Returns the weight of a target that this proxy suspects by `suspicion`, from 0 to 1.
    pub fn suspected(suspicion: f64) -> Self {
        Self { weight: 1.0 - (1.0 - TRIAL_WEIGHT) * suspicion, trial: false }
    }

    /// Whether the target counts as healthy capacity.
    pub fn is_usable(&self) -> bool {
        self.weight >= MIN_USABLE_WEIGHT && !self.trial
    }
}

impl TargetWeights {
    /// Creates the weights without any service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the targets of a service and updates their weights.
    pub fn set_targets(&mut self, service: &str, targets: &[Target]) {
        self.service(service).set_targets(targets);
    }

    /// Sets the least share of listed targets that stays usable, from 0 to 1.
    pub fn set_floor(&mut self, service: &str, floor: f64) {
        self.service(service).set_floor(floor);
    }

    /// Stores a verdict for the next [`update`](Self::update); returns whether it replaced the last
    /// one about its target.
    pub fn apply_verdict(&mut self, verdict: &Verdict) -> bool {
        self.service(&verdict.service).apply_verdict(verdict)
    }

    /// Recomputes the weights of a service's targets and returns the changes; `suspicion` returns
    /// this proxy's suspicion of a target.
    pub fn update(&mut self, service: &str, suspicion: impl Fn(&str) -> f64) -> Vec<WeightChange> {
        self.service(service).update(suspicion)
    }

    /// Returns the weight of a target, which is full if the target is not listed.
    pub fn get(&self, service: &str, target: &str) -> HealthWeight {
        let weights = self.services.get(service);
        weights.and_then(|weights| weights.get(target)).unwrap_or(HealthWeight::FULL)
    }

    /// Returns the names of the known services.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    fn service(&mut self, service: &str) -> &mut ServiceWeights {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceWeights::default());
        }
        self.services.get_mut(service).expect("was just inserted")
    }
}
