//! The state of a service and its targets that requests share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use citron::{attempt::RetryBudget, choice};
use citron_wire as wire;

use crate::dispatch::Assignment;

/// The most repetitions that a service can save up.
const RETRY_BUDGET_LIMIT: u32 = 20;

/// A service as the proxy sees it.
#[derive(Debug)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Its targets, ordered by name.
    pub targets: Vec<Arc<Target>>,
    /// The budget of repetitions.
    pub retry_budget: Arc<RetryBudget>,
}

impl Service {
    /// Creates the state of a service that was not known before.
    pub fn new(name: &str, targets: Vec<Arc<Target>>) -> Self {
        Self {
            name: name.to_owned(),
            targets,
            retry_budget: Arc::new(RetryBudget::new(RETRY_BUDGET_LIMIT)),
        }
    }

    /// Returns the same service with other targets.
    pub fn with_targets(&self, targets: Vec<Arc<Target>>) -> Self {
        Self { name: self.name.clone(), targets, retry_budget: Arc::clone(&self.retry_budget) }
    }
}

/// A target as the proxy sees it.
#[derive(Debug)]
pub struct Target {
    /// The target's name.
    pub name: String,
    /// The service it serves.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Connections it accepts from all proxies together.
    pub connections: u32,
    /// True if it gets no new work.
    pub leaving: bool,
    /// Requests of this proxy that it has now.
    in_flight: Arc<AtomicU32>,
}

impl Target {
    /// Returns the target of a table entry; its count of requests stays that of `known`.
    pub fn from_entry(known: Option<&Arc<Self>>, entry: &wire::Target) -> Option<Arc<Self>> {
        let address = entry.address.parse().ok()?;
        let in_flight = known
            .filter(|known| known.address == address)
            .map_or_else(Arc::default, |known| Arc::clone(&known.in_flight));
        Some(Arc::new(Self {
            name: entry.name.clone(),
            service: entry.service.clone(),
            address,
            domain: entry.domain.clone(),
            slots: entry.slots.max(1),
            connections: entry.connections.max(1),
            leaving: entry.leaving,
            in_flight,
        }))
    }

    /// Returns the number of requests that this proxy has at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the target as `citron::choice` wants it.
    pub fn to_choice(&self) -> choice::Target {
        choice::Target {
            name: self.name.as_str().into(),
            service: self.service.as_str().into(),
            address: self.address.to_string().into(),
            domain: self.domain.as_str().into(),
            slots: self.slots,
            connections: self.connections,
            leaving: self.leaving,
        }
    }
}

/// One request's place at a target, given back on drop.
#[derive(Debug)]
pub struct Slot {
    /// The target that has it.
    pub target: Arc<Target>,
    /// Its place in the choice of targets.
    pub assignment: Assignment,
}

impl Slot {
    /// Counts a request in at the target of its place.
    pub fn new(assignment: Assignment) -> Self {
        assignment.target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { target: Arc::clone(&assignment.target), assignment }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let before = self.target.in_flight.fetch_sub(1, Ordering::Relaxed);
        assert!(before > 0, "a slot must be taken before it is given back");
    }
}
