//! Checks a request against the customer's plan.

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
/// Customers are spread over this many separately locked shards.
const SHARD_COUNT: usize = 64;

/// An admitted request.
pub struct Admission {
    /// The service of its route.
    pub service: Arc<Service>,
    /// The limits on its attempts.
    pub retry_policy: RetryPolicy,
    /// The allowance by the customer's plan.
    pub allowance: Allowance,
    /// Whether it is live or archive work; archive requests wait behind live ones.
    pub class: Class,
}

/// Finds the route of a request that arrived at `now`, checks that the plan allows it and sets its
/// limits.
///
/// # Errors
/// Returns the reason if the request must be refused.
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
    let max_duration = Duration::from_millis(limits.deadline_ms);
    let retry_policy = RetryPolicy {
        idempotent: route.idempotent.unwrap_or_else(|| is_idempotent(&inbound.method)),
        requires_claim: inbound.idempotency_key.is_some(),
        deadline: now + inbound.time_left.map_or(max_duration, |left| left.min(max_duration)),
        max_attempts: ATTEMPT_LIMIT,
        max_connect_failures: 0,
    };
    Ok(Admission {
        service: Arc::clone(service),
        retry_policy,
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

/// Limits the requests that each customer may have in flight.
pub struct ConcurrencyLimiter {
    limit: u32,
    hasher: std::collections::hash_map::RandomState,
    shards: Arc<[Mutex<HashMap<String, u32>>]>,
}

/// Permission for one request of a customer; released on drop.
pub struct ConcurrencyPermit {
    shards: Arc<[Mutex<HashMap<String, u32>>]>,
    shard: usize,
    customer: String,
}

impl ConcurrencyLimiter {
    /// Creates a limiter that allows each customer `limit` requests at a time.
    pub fn new(limit: u32) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { limit, hasher: Default::default(), shards }
    }

    /// Returns a permit for one request, or `None` if the customer has reached the limit.
    pub fn try_acquire(&self, customer: &str) -> Option<ConcurrencyPermit> {
        let shard = self.hasher.hash_one(customer) as usize % SHARD_COUNT;
        let mut counts = self.shards[shard].lock();
        match counts.get_mut(customer) {
            Some(count) if *count >= self.limit => return None,
            Some(count) => *count += 1,
            None => drop(counts.insert(customer.to_owned(), 1)),
        }
        Some(ConcurrencyPermit {
            shards: Arc::clone(&self.shards),
            shard,
            customer: customer.to_owned(),
        })
    }
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        let mut counts = self.shards[self.shard].lock();
        let Entry::Occupied(mut entry) = counts.entry(std::mem::take(&mut self.customer)) else {
            panic!("a permit is released only after it was acquired");
        };
        *entry.get_mut() -= 1;
        if *entry.get() == 0 {
            entry.remove();
        }
    }
}
