//! The lease on the customers' keys: what confirms that they are still valid.

use std::time::Duration;

use super::Shared;

impl Shared {
    /// Returns true if a request that arrived at `arrived_at` may be accepted with a key.
    pub fn key_lease_covers(&self, arrived_at: Duration) -> bool {
        self.key_lease_covers_since(self.routes_confirmed_at(), arrived_at)
    }

    /// Returns true if a request that arrived at `arrived_at` may be accepted with a key that a
    /// configuration confirmed at `confirmed_at` held.
    pub fn key_lease_covers_since(
        &self,
        confirmed_at: Option<Duration>,
        arrived_at: Duration,
    ) -> bool {
        let Some(bound) = self.settings().revoke_within else { return true };
        self.notice_suspension();
        self.key_lease.lock().covers(arrived_at, confirmed_at, bound)
    }

    /// Returns when the keys in force were last known to be complete, if there are customers.
    pub fn keys_confirmed_at(&self) -> Option<Duration> {
        let has_customers =
            self.routes.read().as_ref().is_some_and(|table| table.customers.is_some());
        if has_customers { self.routes_confirmed_at() } else { None }
    }

    /// Returns true if this gateway accepts requests with keys now, or if there are no customers.
    pub fn accepts_keys(&self) -> bool {
        let has_customers = self.routes().is_some_and(|routes| routes.customers.is_some());
        !has_customers || self.key_lease_covers(self.clock.now())
    }

    /// Returns when the store confirmed this gateway's routes and targets to itself, if the host was
    /// not suspended since.
    pub fn own_confirmed_at(&self) -> Option<Duration> {
        self.notice_suspension();
        let confirmed_at = self.freshness.lock().confirmed_at();
        self.key_lease.lock().usable(confirmed_at)
    }

    fn notice_suspension(&self) {
        let total = self.clock.suspended();
        if self.key_lease.lock().record_suspended(total, self.clock.now()) {
            log::warn!("event=resumed suspended_ms={}", total.as_millis());
        }
    }
}
