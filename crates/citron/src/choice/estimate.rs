//! Estimates how many slots of a target are used by other proxies.

use std::time::Duration;

use super::Load;

/// The load from other proxies by a target's last report, which decays towards the mean as it ages.
#[derive(Debug, Copy, Clone)]
pub(super) struct LoadEstimate {
    other_load: f64,
    updated_at: Duration,
}

impl LoadEstimate {
    /// Starts without a report.
    pub fn unknown(now: Duration) -> Self {
        Self { other_load: 0.0, updated_at: now }
    }

    /// Applies a load report; `own` counts the requests of this proxy still in flight at the target.
    pub fn on_report(&mut self, load: Load, own: u32, now: Duration) {
        self.other_load = f64::from(load.in_use.min(load.slots).saturating_sub(own));
        self.updated_at = now;
    }

    /// Applies that the target shed a request as all `slots` were in use.
    pub fn on_shed(&mut self, slots: u32, own: u32, now: Duration) {
        self.other_load = f64::from(slots.saturating_sub(own));
        self.updated_at = now;
    }

    /// Returns the estimated slots in use by other proxies, which approaches `mean` with time
    /// constant `tau`.
    pub fn other_load(&self, mean: f64, tau: Duration, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64() / tau.as_secs_f64().max(1e-6);
        mean + (self.other_load - mean) * (-age).exp()
    }
}
