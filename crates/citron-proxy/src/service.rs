//! The state of services and their targets that all requests share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use citron::{
    attempt::{RetryBucket, RetryShare},
    choice,
};
use citron_wire as wire;
use parking_lot::Mutex;

use crate::{dispatch::Assignment, send::RETRY_FLIGHT};

/// What a proxy may spend on retries of one service: besides its requests' part, 20 in each 10 s.
pub const RETRY_SHARE: RetryShare = RetryShare { ratio: 0.2, burst: 10.0, refill_per_s: 1.0 };

/// A service as the proxy sees it.
#[derive(Debug)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Its targets, ordered by name.
    pub targets: Vec<Arc<Target>>,
    /// Limits retries to a share of the requests.
    pub retry_budget: Arc<Mutex<RetryBucket>>,
}

impl Service {
    /// Creates the state of a service that was not known before.
    pub fn new(name: &str, targets: Vec<Arc<Target>>) -> Self {
        Self {
            name: name.to_owned(),
            targets,
            retry_budget: Arc::new(Mutex::new(RetryBucket::new(RETRY_FLIGHT))),
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
    /// The number of requests it runs at a time.
    pub slots: u32,
    /// The number of connections it accepts from all proxies together.
    pub connections: u32,
    /// True if it gets no new requests.
    pub leaving: bool,
    /// The number of requests that this proxy has in flight at the target.
    in_flight: Arc<AtomicU32>,
}

impl Target {
    /// Creates the target of a table entry, or returns `None` if its address is not valid. If the
    /// address is that of `known`, the count of requests in flight is shared with it.
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

    /// Returns the number of requests that this proxy has in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Converts the target for `citron::choice`.
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

/// A slot at a target, used by one request and released on drop.
#[derive(Debug)]
pub struct Slot {
    /// The target of the slot.
    pub target: Arc<Target>,
    /// The assignment by the dispatcher.
    pub assignment: Assignment,
}

impl Slot {
    /// Counts a request as in flight at its assigned target.
    pub fn new(assignment: Assignment) -> Self {
        assignment.target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { target: Arc::clone(&assignment.target), assignment }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let before = self.target.in_flight.fetch_sub(1, Ordering::Relaxed);
        assert!(before > 0, "a slot is released only after it was taken");
    }
}
