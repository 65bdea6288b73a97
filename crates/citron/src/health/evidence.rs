//! What a proxy saw of its targets since its last report.

use std::ops::AddAssign;

use super::AttemptEnd;

/// Counts of how attempts at one target went.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub struct Counts {
    /// Attempts that were answered.
    pub answered: u32,
    /// Attempts that the target answered with a failure.
    pub errors: u32,
    /// Attempts without an answer in time.
    pub timeouts: u32,
    /// Answers that belonged to another request or were malformed.
    pub foreign: u32,
    /// Attempts that the target refused because of its load.
    pub shed: u32,
    /// Connections that could not be made.
    pub connect_failures: u32,
    /// Probes that failed.
    pub failed_probes: u32,
    /// Answers within the service's median time.
    pub fast: u32,
    /// Answers between the service's median and its 90th percentile.
    pub typical: u32,
    /// Answers between the service's 90th and 99th percentile.
    pub slow: u32,
    /// Answers and requests in flight beyond the service's 99th percentile.
    pub late: u32,
}

impl Counts {
    /// Counts how an attempt ended; its time is counted by the caller.
    pub fn count(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered(_) => self.answered += 1,
            AttemptEnd::Error => self.errors += 1,
            AttemptEnd::TimedOut => self.timeouts += 1,
            AttemptEnd::Foreign => self.foreign += 1,
            AttemptEnd::Shed => self.shed += 1,
            AttemptEnd::ConnectFailed => self.connect_failures += 1,
            AttemptEnd::Cancelled => {}
        }
    }

    /// Returns the attempts that failed, without those that the target shed.
    pub fn failed(&self) -> u32 {
        self.errors + self.timeouts + self.connect_failures + self.foreign
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.answered += other.answered;
        self.errors += other.errors;
        self.timeouts += other.timeouts;
        self.foreign += other.foreign;
        self.shed += other.shed;
        self.connect_failures += other.connect_failures;
        self.failed_probes += other.failed_probes;
        self.fast += other.fast;
        self.typical += other.typical;
        self.slow += other.slow;
        self.late += other.late;
    }
}

/// What one proxy saw of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct Evidence {
    /// The target.
    pub target: String,
    /// Its service.
    pub service: String,
    /// What was counted since the last report.
    pub counts: Counts,
    /// The median of the answer times since the last report, microseconds; 0 without answers.
    pub p50_us: u64,
    /// The 90th percentile of the answer times since the last report, microseconds.
    pub p90_us: u64,
    /// The proxy's own suspicion of the target, from 0 to 1.
    pub suspicion: f64,
    /// The proxy's suspicion of itself or its path, from 0 to 1.
    pub local_health_penalty: f64,
}

/// The evidence of one proxy since its last report.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The host of the proxy.
    pub host: String,
    /// The failure domain of the host.
    pub domain: String,
    /// Counts the batches of this proxy.
    pub sequence: u64,
    /// Evidence by target.
    pub evidence: Vec<Evidence>,
}
