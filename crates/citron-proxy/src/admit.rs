//! Holds a request against the customer's plan.

use std::{
    collections::{HashMap, hash_map::Entry},
    hash::BuildHasher,
    sync::Arc,
    time::Duration,
};

use citron::{
    attempt::RetryPolicy,
    policy::{Allowance, Class, Policy},
};
use parking_lot::Mutex;
use reqwest::Method;

use crate::{inbound::InboundRequest, refusal::Reason, service::Service, view::View};

/// The most attempts of one request.
const ATTEMPT_LIMIT: u32 = 3;
/// The number of separately locked parts of the customers' counts.
const CROWD_PARTS: usize = 64;

/// An admitted request.
pub struct Admission {
    /// The service that its route names.
    pub service: Arc<Service>,
    /// What limits its attempts.
    pub rules: RetryPolicy,
    /// What the customer's plan allows.
    pub allowance: Allowance,
    /// Whether it waits behind live requests.
    pub class: Class,
}

/// Finds the route, checks the plan and sets the limits of a request that arrived at `now`.
///
/// # Errors
/// Gives the reason to refuse it.
pub fn admit(view: &View, inbound: &InboundRequest, now: Duration) -> Result<Admission, Reason> {
    let policy: &Policy = view.policy.as_deref().ok_or(Reason::PolicyMissing)?;
    if !policy.customers.contains_key(&inbound.customer) {
        return Err(Reason::CustomerUnknown);
    }
    let route = policy.route(&inbound.path).ok_or(Reason::NoRoute)?;
    let allowance =
        policy.allowance(&inbound.customer, &route.service).ok_or(Reason::ServiceNotInPlan)?;
    let service = view.services.get(&route.service).ok_or(Reason::NoRoute)?;
    let limits = policy.grants.services.get(&route.service).ok_or(Reason::NoRoute)?;
    let longest = Duration::from_millis(limits.deadline_ms);
    let rules = RetryPolicy {
        idempotent: route.idempotent.unwrap_or_else(|| is_idempotent(&inbound.method)),
        requires_claim: inbound.idempotency_key.is_some(),
        deadline: now + inbound.time_left.map_or(longest, |left| left.min(longest)),
        max_attempts: ATTEMPT_LIMIT,
        max_connect_failures: 0,
    };
    Ok(Admission {
        service: Arc::clone(service),
        rules,
        allowance: *allowance,
        class: limits.class,
    })
}

fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::TRACE | Method::PUT | Method::DELETE
    )
}

/// Counts the requests of each customer, in parts under their own locks.
pub struct Crowd {
    limit: u32,
    hasher: std::collections::hash_map::RandomState,
    parts: Arc<[Mutex<HashMap<String, u32>>]>,
}

/// One request's place among its customer's, given back on drop.
pub struct Place {
    parts: Arc<[Mutex<HashMap<String, u32>>]>,
    part: usize,
    customer: String,
}

impl Crowd {
    /// Creates counts of which each may reach `limit`.
    pub fn new(limit: u32) -> Self {
        let parts = (0..CROWD_PARTS).map(|_| Mutex::default()).collect();
        Self { limit, hasher: Default::default(), parts }
    }

    /// Takes a place for one request, or returns `None` if the customer has as many as allowed.
    pub fn enter(&self, customer: &str) -> Option<Place> {
        let part = self.hasher.hash_one(customer) as usize % CROWD_PARTS;
        let mut counts = self.parts[part].lock();
        match counts.get_mut(customer) {
            Some(count) if *count >= self.limit => return None,
            Some(count) => *count += 1,
            None => drop(counts.insert(customer.to_owned(), 1)),
        }
        Some(Place { parts: Arc::clone(&self.parts), part, customer: customer.to_owned() })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut counts = self.parts[self.part].lock();
        let Entry::Occupied(mut entry) = counts.entry(std::mem::take(&mut self.customer)) else {
            panic!("a request must be counted in before it is counted out");
        };
        *entry.get_mut() -= 1;
        if *entry.get() == 0 {
            entry.remove();
        }
    }
}
