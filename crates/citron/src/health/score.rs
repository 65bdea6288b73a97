//! Log-likelihood ratios of an unhealthy against a healthy target, given counts of attempts.

use std::time::Duration;

use super::Counts;

/// Least failure rate that is assumed for healthy targets.
const MIN_HEALTHY_FAILURE_RATE: f64 = 0.01;
/// Greatest failure rate that is assumed for healthy targets.
const MAX_HEALTHY_FAILURE_RATE: f64 = 0.3;
/// Least failure rate that is assumed for unhealthy targets.
const MIN_UNHEALTHY_FAILURE_RATE: f64 = 0.25;
/// Score of one response that is malformed or belongs to another request.
const FOREIGN_RESPONSE_SCORE: f64 = 5.0;
/// Score of one failed probe.
const FAILED_PROBE_SCORE: f64 = 0.5;
/// Time in which a score without new evidence halves.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Scores of one target for slowness and for failure, each the logarithm of a likelihood ratio.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub struct Score {
    /// Score for slowness relative to the service's latency distribution.
    pub slow: f64,
    /// Score for errors, timeouts, failed connections, foreign responses and failed probes.
    pub fail: f64,
}

impl Score {
    /// Returns the score of `counts`; `peer_rate` is the failure rate of the other targets.
    pub fn from_counts(counts: &Counts, peer_rate: f64) -> Self {
        Self { slow: slowness_score(counts), fail: failure_score(counts, peer_rate) }
    }

    /// Adds `other` and clamps both parts between 0 and `cap`.
    pub fn add(&mut self, other: Self, cap: f64) {
        self.slow = (self.slow + other.slow).clamp(0.0, cap);
        self.fail = (self.fail + other.fail).clamp(0.0, cap);
    }

    /// Decays the score over `elapsed`.
    pub fn decay(&mut self, elapsed: Duration) {
        let factor = decay_factor(elapsed);
        self.slow *= factor;
        self.fail *= factor;
    }

    /// Returns the larger part.
    pub fn worst(&self) -> f64 {
        self.slow.max(self.fail)
    }
}

/// Returns the factor by which a score decays over `elapsed`.
pub fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

/// Of 100 responses, healthy targets have 50, 40, 9 and 1 in the four latency classes by their
/// definition as quantiles; slow targets are assumed to have 8, 27, 35 and 30.
fn slowness_score(counts: &Counts) -> f64 {
    let class_score =
        |count: u32, unhealthy: f64, healthy: f64| f64::from(count) * (unhealthy / healthy).ln();
    class_score(counts.fast, 0.08, 0.50)
        + class_score(counts.typical, 0.27, 0.40)
        + class_score(counts.slow, 0.35, 0.09)
        + class_score(counts.late, 0.30, 0.01)
}

fn failure_score(counts: &Counts, peer_rate: f64) -> f64 {
    let peer_rate = peer_rate.clamp(MIN_HEALTHY_FAILURE_RATE, MAX_HEALTHY_FAILURE_RATE);
    let unhealthy_rate = (4.0 * peer_rate).clamp(MIN_UNHEALTHY_FAILURE_RATE, 0.9);
    let failed = f64::from(counts.errors + counts.timeouts + counts.connect_failures);
    failed * (unhealthy_rate / peer_rate).ln()
        + f64::from(counts.answered) * ((1.0 - unhealthy_rate) / (1.0 - peer_rate)).ln()
        + f64::from(counts.foreign) * FOREIGN_RESPONSE_SCORE
        + f64::from(counts.failed_probes) * FAILED_PROBE_SCORE
}

/// Exponentially decaying counts of the attempts and failures of a target or a whole service.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub struct FailureRate {
    attempts: f64,
    failures: f64,
}

impl FailureRate {
    /// Adds the attempts and failures of `counts`.
    pub fn add(&mut self, counts: &Counts) {
        self.attempts += f64::from(counts.answered + counts.failed());
        self.failures += f64::from(counts.failed());
    }

    /// Decays earlier counts over `elapsed`.
    pub fn decay(&mut self, elapsed: Duration) {
        let factor = decay_factor(elapsed);
        self.attempts *= factor;
        self.failures *= factor;
    }

    /// Returns the failure rate without the attempts of `other`, or 0 for fewer than 10 attempts.
    pub fn excluding(&self, other: &Self) -> f64 {
        let attempts = self.attempts - other.attempts;
        if attempts < 10.0 { 0.0 } else { ((self.failures - other.failures) / attempts).max(0.0) }
    }
}
