//! Evidence that a proxy collects about its targets between reports.

use std::ops::AddAssign;

use super::HealthSignal;

/// Counts of attempts at one target by outcome and by latency class.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub struct Counts {
    /// Attempts that the target served.
    pub answered: u32,
    /// Attempts to which the target responded with an error.
    pub errors: u32,
    /// Attempts without a response in time.
    pub timeouts: u32,
    /// Responses that belonged to another request or were malformed.
    pub foreign: u32,
    /// Attempts that the target shed because it was overloaded.
    pub shed: u32,
    /// Connections that could not be established.
    pub connect_failures: u32,
    /// Probes that failed.
    pub failed_probes: u32,
    /// Responses up to the service's median latency.
    pub fast: u32,
    /// Responses between the service's median and its 90th percentile.
    pub typical: u32,
    /// Responses between the service's 90th and 99th percentile.
    pub slow: u32,
    /// Responses, and attempts still in flight, beyond the service's 99th percentile.
    pub late: u32,
}

impl Counts {
    /// Counts the end of an attempt; the caller counts its latency class.
    pub fn count(&mut self, signal: HealthSignal) {
        match signal {
            HealthSignal::Answered(_) => self.answered += 1,
            HealthSignal::Error => self.errors += 1,
            HealthSignal::TimedOut => self.timeouts += 1,
            HealthSignal::Foreign => self.foreign += 1,
            HealthSignal::Shed => self.shed += 1,
            HealthSignal::ConnectFailed => self.connect_failures += 1,
            HealthSignal::Cancelled => {}
        }
    }

    /// Returns the number of failed attempts, without those that the target shed.
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

/// Evidence of one proxy about one target.
#[derive(Debug, Clone, PartialEq)]
pub struct Evidence {
    /// Name of the target.
    pub target: String,
    /// Service of the target.
    pub service: String,
    /// Counts since the last report.
    pub counts: Counts,
    /// Median latency since the last report, in microseconds; 0 without responses.
    pub p50_us: u64,
    /// 90th percentile of the latency since the last report, in microseconds; 0 without responses.
    pub p90_us: u64,
    /// The proxy's suspicion of the target, from 0 to 1.
    pub suspicion: f64,
    /// How far the proxy believes that the fault is its own or its network path's, from 0 (local
    /// health is good) to 1; the coordinator discounts the evidence by it.
    pub local_health_penalty: f64,
}

/// The evidence of one proxy since its last report.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Host of the proxy.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Sequence number, which increases with every batch of this proxy.
    pub sequence: u64,
    /// Evidence by target.
    pub evidence: Vec<Evidence>,
}
