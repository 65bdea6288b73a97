//! Compares what a fleet admits with a customer's allowance.

use std::time::Duration;

use citron::policy::Allowance;

/// Tells how far the admitted requests of any window exceed rate x window + burst.
#[derive(Debug)]
pub struct Meter {
    allowance: Allowance,
    /// A bucket over the whole fleet; it is below zero exactly if some window exceeds its bound.
    level: f64,
    at: Duration,
    lowest: f64,
    admitted: u64,
}

impl Meter {
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, level: allowance.burst, at: Duration::ZERO, lowest: 0.0, admitted: 0 }
    }

    pub fn admit(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + elapsed * self.allowance.rate).min(self.allowance.burst) - 1.0;
        self.lowest = self.lowest.min(self.level);
        self.at = now;
        self.admitted += 1;
    }

    /// Returns the most that a window exceeded its bound by, in requests.
    pub fn over(&self) -> f64 {
        // Sums of rates are rounded.
        if self.lowest > -1e-3 { 0.0 } else { -self.lowest }
    }

    pub fn admitted(&self) -> u64 {
        self.admitted
    }
}
