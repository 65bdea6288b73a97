//! For how long a host may accept the keys that it knows.
//!
//! A key that was removed must not be accepted later than a bound after the platform confirmed its
//! removal, also at a host that hears nothing more. So the known keys are a lease: it is renewed by
//! each response of the platform that confirms the configuration, counted from the start of the call.
//!
//! > A request that arrives at `t` is accepted only if a call begun at `c >= t - lease` confirmed the
//! > configuration with its key. If the key was removed, that was after `c`, and the request was sent
//! > at `t` at the latest, thus within the bound.
//!
//! So it does not matter how long the process pauses after it has read a request.

use std::time::Duration;

/// The share of the bound that the lease may last; the rest allows for clock drift.
const LEASE_PART: f64 = 0.95;
/// How much shorter the lease is besides: what may be missed of suspensions of the host, and how long
/// a peer's report may take on its way.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// The shortest suspension of the host that ends the lease.
const SUSPENSION_MIN: Duration = Duration::from_millis(100);

/// The lease on the known keys.
#[derive(Debug, Default)]
pub struct KeyLease {
    /// How long the host was suspended in all, as far as the lease has taken it into account.
    suspended: Duration,
    /// When the host resumed from its latest suspension. The process's clock stood still in it, so
    /// that what was confirmed before is of unknown age.
    resumed_at: Duration,
}

impl KeyLease {
    /// Records that the host was suspended for `total` in all since the process's start; returns true
    /// if that ends the lease.
    pub fn record_suspended(&mut self, total: Duration, now: Duration) -> bool {
        let has_resumed = total >= self.suspended + SUSPENSION_MIN;
        if has_resumed {
            self.suspended = total;
            self.resumed_at = now;
        }
        has_resumed
    }

    /// Returns the moment of a confirmation, unless the host was suspended since.
    pub fn usable(&self, confirmed_at: Option<Duration>) -> Option<Duration> {
        confirmed_at.filter(|at| *at >= self.resumed_at)
    }

    /// Returns true if a request that arrived at `arrived_at` may be accepted with a key of the
    /// configuration that the platform confirmed at `confirmed_at`. A removed key must not be
    /// accepted later than `bound` after its removal.
    pub fn covers(
        &self,
        arrived_at: Duration,
        confirmed_at: Option<Duration>,
        bound: Duration,
    ) -> bool {
        let length = bound.mul_f64(LEASE_PART).saturating_sub(LEASE_MARGIN);
        self.usable(confirmed_at).is_some_and(|at| arrived_at <= at + length)
    }
}
