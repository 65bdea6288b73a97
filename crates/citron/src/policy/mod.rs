//! The policy, which operators write as two lists: the customers list gives each customer a plan,
//! and the grants list says what each plan may use.

pub mod diff;
pub mod edit;

mod replica;
mod head;
mod list;
mod shard;

pub use self::{
    diff::Diff,
    edit::Edit,
    head::{Digest, Head, ShardRef},
    list::{Allowance, Class, Customer, Error, Grants, Plan, Profile, Route, Service},
    replica::{Applied, Replica, ReplicaError},
    shard::{SHARD_LIMIT_BYTES, Shard},
};

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Both lists as one value.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The customers list, by name.
    pub customers: BTreeMap<String, Customer>,
    /// The grants list: services, plans and routes.
    pub grants: Grants,
}

impl Policy {
    /// Parses the two lists from TOML and checks them.
    ///
    /// # Errors
    /// Returns the first error found, which names the list or entry and what would be valid.
    pub fn parse(customers: &str, grants: &str) -> Result<Self, Error> {
        let policy = Self {
            customers: list::parse_customers(customers)?,
            grants: list::parse_grants(grants)?,
        };
        policy.check()?;
        Ok(policy)
    }

    /// Checks that every referenced name exists and every number is in range.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), Error> {
        self.grants.check()?;
        for (name, customer) in &self.customers {
            if !self.grants.plans.contains_key(&customer.plan) {
                return Err(Error::UnknownPlan {
                    customer: name.clone(),
                    plan: customer.plan.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns a customer's allowance for a service, or `None` if the customer is unknown or its
    /// plan does not include the service.
    pub fn allowance(&self, customer: &str, service: &str) -> Option<&Allowance> {
        let customer = self.customers.get(customer)?;
        self.grants.plans.get(&customer.plan)?.uses.get(service)
    }

    /// Returns the route with the longest prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.grants.route(path)
    }
}
