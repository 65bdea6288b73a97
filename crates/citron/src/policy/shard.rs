//! Immutable parts of the lists, stored under the digest of their content.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Customer, Digest, Plan, Policy, Route, Service};

/// The maximum length of a value on the platform, in bytes.
pub const SHARD_LIMIT_BYTES: usize = 1_000_000;

/// The number of shards of the customers list.
const CUSTOMER_SHARDS: u64 = 64;
/// The number of shards of the routes.
const ROUTE_SHARDS: u64 = 8;

/// A part of the lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shard {
    /// The customers whose names hash to this shard.
    Customers(BTreeMap<String, Customer>),
    /// All services.
    Services(BTreeMap<String, Service>),
    /// All plans.
    Plans(BTreeMap<String, Plan>),
    /// The routes whose prefixes hash to this shard.
    Routes(BTreeMap<String, Route>),
}

impl Shard {
    /// Splits a policy into shards; equal policies give equal shards.
    pub fn split(policy: &Policy) -> BTreeMap<String, Self> {
        let mut shards = BTreeMap::new();
        for (name, customer) in &policy.customers {
            let key = format!("customers-{}", xxh3_64(name.as_bytes()) % CUSTOMER_SHARDS);
            let shard = shards.entry(key).or_insert_with(|| Self::Customers(BTreeMap::new()));
            if let Self::Customers(map) = shard {
                map.insert(name.clone(), customer.clone());
            }
        }
        for (prefix, route) in &policy.grants.routes {
            let key = format!("routes-{}", xxh3_64(prefix.as_bytes()) % ROUTE_SHARDS);
            let shard = shards.entry(key).or_insert_with(|| Self::Routes(BTreeMap::new()));
            if let Self::Routes(map) = shard {
                map.insert(prefix.clone(), route.clone());
            }
        }
        shards.insert("services".to_owned(), Self::Services(policy.grants.services.clone()));
        shards.insert("plans".to_owned(), Self::Plans(policy.grants.plans.clone()));
        shards
    }

    /// Joins shards into a policy.
    pub fn join<'a>(shards: impl IntoIterator<Item = &'a Self>) -> Policy {
        let mut policy = Policy::default();
        for shard in shards {
            match shard.clone() {
                Self::Customers(map) => policy.customers.extend(map),
                Self::Services(map) => policy.grants.services.extend(map),
                Self::Plans(map) => policy.grants.plans.extend(map),
                Self::Routes(map) => policy.grants.routes.extend(map),
            }
        }
        policy
    }

    /// Returns the digest of the stored form, and the stored form.
    pub fn encode(&self) -> (Digest, Vec<u8>) {
        let bytes =
            serde_json::to_vec(self).expect("a shard has only string keys and finite numbers");
        (Digest::of(&bytes), bytes)
    }

    /// Decodes the stored form, or returns `None` if it does not match `digest` or is malformed.
    pub fn decode(digest: &Digest, bytes: &[u8]) -> Option<Self> {
        if Digest::of(bytes) != *digest {
            return None;
        }
        serde_json::from_slice(bytes).ok()
    }
}
