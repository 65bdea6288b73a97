//! Log-likelihood ratios of "sick" against "healthy" for what was counted.

use std::time::Duration;

use super::Counts;

/// The least failure rate of healthy targets that is assumed.
const BASE_LEAST: f64 = 0.01;
/// The greatest failure rate of healthy targets that is assumed.
const BASE_MOST: f64 = 0.3;
/// The least failure rate of sick targets that is assumed.
const SICK_LEAST: f64 = 0.25;
/// What one answer to another request counts.
const FOREIGN: f64 = 5.0;
/// What one failed probe counts.
const PROBE: f64 = 0.5;
/// The time in which a score without new evidence halves.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Evidence for slowness and for failure of one target, each the logarithm of a likelihood ratio.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub struct Score {
    /// For slowness relative to the service's other answers.
    pub slow: f64,
    /// For errors, timeouts and wrong answers.
    pub fail: f64,
}

impl Score {
    /// Returns the score of what was counted; `base` is the failure rate of the target's peers.
    pub fn of(counts: &Counts, base: f64) -> Self {
        Self { slow: slowness(counts), fail: failure(counts, base) }
    }

    /// Adds `other` and keeps both parts between 0 and `cap`.
    pub fn add(&mut self, other: Self, cap: f64) {
        self.slow = (self.slow + other.slow).clamp(0.0, cap);
        self.fail = (self.fail + other.fail).clamp(0.0, cap);
    }

    /// Lets the score fade for `elapsed` without evidence.
    pub fn fade(&mut self, elapsed: Duration) {
        let factor = fading(elapsed);
        self.slow *= factor;
        self.fail *= factor;
    }

    /// Returns the larger part.
    pub fn worst(&self) -> f64 {
        self.slow.max(self.fail)
    }
}

/// Returns the factor by which a score fades over `elapsed`.
pub fn fading(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Healthy targets put 50, 40, 9 and 1 in 100 answers into the four classes; slow ones 8, 27, 35 and 30.
fn slowness(counts: &Counts) -> f64 {
    let part = |count: u32, sick: f64, healthy: f64| f64::from(count) * (sick / healthy).ln();
    part(counts.fast, 0.08, 0.50)
        + part(counts.typical, 0.27, 0.40)
        + part(counts.slow, 0.35, 0.09)
        + part(counts.late, 0.30, 0.01)
}

fn failure(counts: &Counts, base: f64) -> f64 {
    let base = base.clamp(BASE_LEAST, BASE_MOST);
    let sick = (4.0 * base).clamp(SICK_LEAST, 0.9);
    let failed = f64::from(counts.errors + counts.timeouts + counts.connect_failures);
    failed * (sick / base).ln()
        + f64::from(counts.answered) * ((1.0 - sick) / (1.0 - base)).ln()
        + f64::from(counts.foreign) * FOREIGN
        + f64::from(counts.failed_probes) * PROBE
}

/// Recent attempts and failures, which fade, of a target or a whole service.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub struct Rate {
    attempts: f64,
    failures: f64,
}

impl Rate {
    /// Adds what was counted.
    pub fn add(&mut self, counts: &Counts) {
        self.attempts += f64::from(counts.answered + counts.failed());
        self.failures += f64::from(counts.failed());
    }

    /// Lets earlier counts fade.
    pub fn fade(&mut self, elapsed: Duration) {
        let factor = fading(elapsed);
        self.attempts *= factor;
        self.failures *= factor;
    }

    /// Returns the failure rate without the share of `part`.
    pub fn without(&self, part: &Self) -> f64 {
        let attempts = self.attempts - part.attempts;
        if attempts < 10.0 { 0.0 } else { ((self.failures - part.failures) / attempts).max(0.0) }
    }
}
