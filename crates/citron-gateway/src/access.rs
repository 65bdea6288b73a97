//! Authenticates requests by the customers' keys.

use std::{sync::Arc, time::Duration};

use citron::{
    customer::Customer,
    route::{Route, Table},
};
use citron_adapter::header::KEY;
use hyper::HeaderMap;
use strum::{Display, IntoStaticStr};

use crate::shared::Shared;

/// After this long without a confirmation of the configuration an unknown key may be a new one.
const UNKNOWN_KEY_MAX_AGE: Duration = Duration::from_secs(2);

/// On which grounds a request is accepted.
#[derive(Debug, Clone)]
pub enum Access {
    /// There are no customers: requests carry no keys.
    Unrestricted,
    /// There are customers, and the route is open to all.
    Open,
    /// It is a request of this customer.
    Customer(Arc<Customer>),
}

/// Why a request is not accepted.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denied {
    /// It has no key of a customer, or not exactly one.
    KeyInvalid,
    /// Nothing confirms which keys are valid now.
    KeysUnconfirmed,
}

impl Access {
    /// Returns the customer whose request it is, if it is that of one.
    pub fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Self::Customer(customer) => Some(customer),
            Self::Unrestricted | Self::Open => None,
        }
    }

    /// Returns true if the headers with the key and the customer are the gateway's to set.
    pub fn is_restricted(&self) -> bool {
        !matches!(self, Self::Unrestricted)
    }
}

/// Decides as whose a request that arrived at `arrived_at` is accepted. The routes were last known to be
/// complete at `confirmed_at`, which must have been read before `table`: a later confirmation may be of
/// newer routes.
///
/// # Errors
/// Fails with the reason if it must not run.
pub fn authorize(
    shared: &Shared,
    table: &Table,
    route: &Route,
    headers: &HeaderMap,
    arrived_at: Duration,
    confirmed_at: Option<Duration>,
) -> Result<Access, Denied> {
    let Some(customers) = &table.customers else { return Ok(Access::Unrestricted) };
    if route.open {
        return Ok(Access::Open);
    }
    if !shared.key_lease_covers_since(confirmed_at, arrived_at) {
        return Err(Denied::KeysUnconfirmed);
    }
    let mut keys = headers.get_all(KEY).iter();
    let (Some(key), None) = (keys.next(), keys.next()) else { return Err(Denied::KeyInvalid) };
    if let Some(customer) = customers.find(key.as_bytes()) {
        return Ok(Access::Customer(Arc::clone(customer)));
    }
    if let Some(claim) = table.unsettled.find(key.as_bytes()) {
        let customer = claim.customer.as_ref();
        let customer =
            customer.filter(|_| shared.key_lease_covers_since(claim.confirmed_at, arrived_at));
        return customer.cloned().map(Access::Customer).ok_or(Denied::KeysUnconfirmed);
    }
    if table.unsettled.may_lack_keys {
        return Err(Denied::KeysUnconfirmed);
    }
    let now = shared.clock.now();
    match confirmed_at.is_some_and(|at| now.saturating_sub(at) < UNKNOWN_KEY_MAX_AGE) {
        true => Err(Denied::KeyInvalid),
        false => Err(Denied::KeysUnconfirmed),
    }
}
