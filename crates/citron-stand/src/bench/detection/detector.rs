//! The method under test, behind one face.

use std::time::Duration;

use citron::health::{HealthSignal, Ticket};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter};

use super::{
    baseline::{Consecutive, Outlier},
    fleet::Fleet,
    setup::Setup,
};

/// How targets are judged.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Method {
    /// Observers, steward and floors of the library.
    Shared,
    /// Consecutive failures at each proxy.
    Consecutive,
    /// Success-rate outliers at each proxy.
    Outlier,
}

/// A running method.
pub enum Detector {
    /// See [`Method::Shared`].
    Shared(Box<Fleet>),
    /// See [`Method::Consecutive`].
    Consecutive(Box<Consecutive>),
    /// See [`Method::Outlier`].
    Outlier(Box<Outlier>),
}

impl Detector {
    /// Starts a method.
    pub fn open(method: Method, setup: &Setup) -> Self {
        match method {
            Method::Shared => Self::Shared(Box::new(Fleet::open(setup))),
            Method::Consecutive => Self::Consecutive(Box::new(Consecutive::open(setup))),
            Method::Outlier => Self::Outlier(Box::new(Outlier::open(setup))),
        }
    }

    /// Notes that an attempt began.
    pub fn began(&mut self, proxy: usize, target: usize, now: Duration) -> Option<Ticket> {
        match self {
            Self::Shared(fleet) => Some(fleet.began(proxy, target, now)),
            _ => None,
        }
    }

    /// Notes how an attempt ended.
    pub fn ended(
        &mut self,
        proxy: usize,
        target: usize,
        ticket: Option<Ticket>,
        end: HealthSignal,
        now: Duration,
    ) {
        match self {
            Self::Shared(fleet) => {
                fleet.ended(proxy, ticket.expect("the fleet gave a ticket"), end, now);
            }
            Self::Consecutive(method) => method.ended(proxy, target, end, now),
            Self::Outlier(method) => method.ended(proxy, target, end),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng) {
        match self {
            Self::Shared(fleet) => fleet.tick(now, rng),
            Self::Consecutive(_) => {}
            Self::Outlier(method) => method.tick(now),
        }
    }

    /// Returns the weight of a target at a proxy and whether only idempotent requests may go there.
    pub fn weight(&self, proxy: usize, target: usize, now: Duration) -> (f64, bool) {
        match self {
            Self::Shared(fleet) => fleet.weight(proxy, target),
            Self::Consecutive(method) => (method.weight(proxy, target, now), false),
            Self::Outlier(method) => (method.weight(proxy, target, now), false),
        }
    }
}
