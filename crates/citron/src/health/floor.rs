//! How far a proxy obeys verdicts and its own observer.

mod share;

use std::collections::BTreeMap;

use self::share::Share;
use super::{Target, Verdict};

/// The part of its usual requests that a target on trial gets.
const TRIAL_WEIGHT: f64 = 0.05;
/// A target below this weight does not count as healthy capacity.
const USABLE_FROM: f64 = 0.5;

/// Keeps enough targets of every service in use, whatever coordinators and the observer say.
#[derive(Debug, Default)]
pub struct Floor {
    services: BTreeMap<String, Share>,
}

/// What a target may get.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Standing {
    /// The part of its usual requests, from 0 to 1.
    pub weight: f64,
    /// Whether only idempotent requests may go there.
    pub trial: bool,
}

/// A change of a target's standing, for the time line.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Change {
    /// This proxy lowered the target's weight by itself.
    Suspected(String),
    /// The target gets no more requests, for this reason.
    Ejected(String, String),
    /// A verdict or suspicion was not followed because of the floor.
    Held(String),
    /// The target gets a trickle of idempotent requests.
    Tried(String),
    /// The target is in use again.
    Returned(String),
}

impl Standing {
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
        self.weight >= USABLE_FROM && !self.trial
    }
}

impl Floor {
    /// Creates a floor that knows no service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of a service's targets; standings follow at once.
    pub fn list(&mut self, service: &str, targets: &[Target]) {
        self.share(service).list(targets);
    }

    /// Sets the least share of listed targets that stays in use, from 0 to 1.
    pub fn set_share(&mut self, service: &str, share: f64) {
        self.share(service).set_share(share);
    }

    /// Takes in a verdict; returns whether it replaced the last one about its target.
    pub fn take(&mut self, verdict: &Verdict) -> bool {
        self.share(&verdict.service).take(verdict)
    }

    /// Settles the standings of a service's targets; `suspicion` gives this proxy's own by target.
    pub fn settle(&mut self, service: &str, suspicion: impl Fn(&str) -> f64) -> Vec<Change> {
        self.share(service).settle(suspicion)
    }

    /// Returns the standing of a target; one that is not listed is in full use.
    pub fn standing(&self, service: &str, target: &str) -> Standing {
        let share = self.services.get(service);
        share.and_then(|share| share.standing(target)).unwrap_or(Standing::FULL)
    }

    /// Returns the services that have listed targets.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    fn share(&mut self, service: &str) -> &mut Share {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Share::default());
        }
        self.services.get_mut(service).expect("was just inserted")
    }
}
