//! How far a proxy obeys verdicts and its own observer.

mod service;

use std::collections::BTreeMap;

use self::service::ServiceWeights;
use super::{Target, Verdict};

/// The part of its usual requests that a target on trial gets.
const TRIAL_WEIGHT: f64 = 0.05;
/// A target below this weight does not count as healthy capacity.
const MIN_USABLE_WEIGHT: f64 = 0.5;

/// Keeps enough targets of every service in use, whatever coordinators and the observer say.
#[derive(Debug, Default)]
pub struct TargetWeights {
    services: BTreeMap<String, ServiceWeights>,
}

/// What a target may get.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct HealthWeight {
    /// The part of its usual requests, from 0 to 1.
    pub weight: f64,
    /// Whether only idempotent requests may go there.
    pub trial: bool,
}

/// A change of a target's standing, for the time line.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum WeightChange {
    /// This proxy lowered the target's weight by itself.
    Suspected(String),
    /// The target gets no more requests, for this reason.
    Ejected(String, String),
    /// A verdict or suspicion was not followed because of the floor.
    HeldByFloor(String),
    /// The target gets a trickle of idempotent requests.
    TrialStarted(String),
    /// The target is in use again.
    Returned(String),
}

impl HealthWeight {
    /// A target in full use.
    pub const FULL: Self = Self { weight: 1.0, trial: false };
    /// An ejected target.
    pub const EJECTED: Self = Self { weight: 0.0, trial: false };
    /// A target that must prove itself.
    pub const TRIAL: Self = Self { weight: TRIAL_WEIGHT, trial: true };

    /// Returns the standing of a target that this proxy suspects by `suspicion`, from 0 to 1.
    pub fn suspected(suspicion: f64) -> Self {
        Self { weight: 1.0 - (1.0 - TRIAL_WEIGHT) * suspicion, trial: false }
    }

    /// Whether the target counts as healthy capacity.
    pub fn is_usable(&self) -> bool {
        self.weight >= MIN_USABLE_WEIGHT && !self.trial
    }
}

impl TargetWeights {
    /// Creates a floor that knows no service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of a service's targets; standings follow at once.
    pub fn set_targets(&mut self, service: &str, targets: &[Target]) {
        self.service(service).set_targets(targets);
    }

    /// Sets the least share of listed targets that stays in use, from 0 to 1.
    pub fn set_floor(&mut self, service: &str, floor: f64) {
        self.service(service).set_floor(floor);
    }

    /// Takes in a verdict; returns whether it replaced the last one about its target.
    pub fn apply_verdict(&mut self, verdict: &Verdict) -> bool {
        self.service(&verdict.service).apply_verdict(verdict)
    }

    /// Settles the standings of a service's targets; `suspicion` gives this proxy's own by target.
    pub fn update(&mut self, service: &str, suspicion: impl Fn(&str) -> f64) -> Vec<WeightChange> {
        self.service(service).update(suspicion)
    }

    /// Returns the standing of a target; one that is not listed is in full use.
    pub fn get(&self, service: &str, target: &str) -> HealthWeight {
        let weights = self.services.get(service);
        weights.and_then(|weights| weights.get(target)).unwrap_or(HealthWeight::FULL)
    }

    /// Returns the services that have listed targets.
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
