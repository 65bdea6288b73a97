//! The metrics of the proxy.

use citron::attempt::{AttemptResult, Outcome};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the buckets of the added latency, seconds.
const ADDED_BOUNDS_S: [f64; 12] =
    [0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1.0];

/// The metrics of one proxy.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// The registry that holds all of them.
    pub registry: Registry,
    /// Requests by service, outcome and status.
    pub requests: IntCounterVec,
    /// Attempts by service and result.
    pub attempts: IntCounterVec,
    /// Attempts after the first, by service.
    pub retries: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Loans and their renewals by direction.
    pub loans: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Time that the proxy adds to a request: until the response's head, without the time spent on
    /// targets, seconds.
    pub added_latency: Histogram,
    /// The policy revision in force.
    pub policy_revision: IntGauge,
    /// 1 while the agent's stream is open.
    pub agent_attached: IntGauge,
    /// Responses ended early because the target's response was cut short or the deadline passed.
    pub cut_responses: IntCounter,
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// Fails if a metric's name is invalid or already registered.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let added_latency = Histogram::with_opts(
            HistogramOpts::new(
                "citron_proxy_added_seconds",
                "Time until the answer's head that was not spent on targets",
            )
            .buckets(ADDED_BOUNDS_S.to_vec()),
        )?;
        registry.register(Box::new(added_latency.clone()))?;
        let cut_responses = IntCounter::new(
            "citron_proxy_cut_answers_total",
            "Answers ended early because the target's answer or the deadline did",
        )?;
        registry.register(Box::new(cut_responses.clone()))?;
        Ok(Self {
            requests: counters(
                "citron_proxy_requests_total",
                "Requests by service, outcome and status",
                &["service", "outcome", "status"],
            )?,
            attempts: counters(
                "citron_proxy_attempts_total",
                "Attempts by service and ending",
                &["service", "ending"],
            )?,
            retries: counters(
                "citron_proxy_retries_total",
                "Attempts after the first, by service",
                &["service"],
            )?,
            refusals: counters(
                "citron_proxy_refusals_total",
                "Requests without a target's answer, by reason",
                &["reason"],
            )?,
            loans: counters(
                "citron_proxy_loans_total",
                "Loans of allowances and their renewals, by direction: made or taken",
                &["direction"],
            )?,
            in_flight: gauge("citron_proxy_in_flight", "Requests in flight")?,
            policy_revision: gauge("citron_proxy_policy_revision", "Policy revision in force")?,
            agent_attached: gauge(
                "citron_proxy_agent_attached",
                "1 while the agent's stream is open",
            )?,
            added_latency,
            cut_responses,
            registry,
        })
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, service: &str, outcome: Outcome, status: u16) {
        let mut digits = [0; 3];
        let status = status_text(status, &mut digits);
        self.requests.with_label_values(&[service, outcome.into(), status]).inc();
    }

    /// Counts an attempt that has ended.
    pub fn count_attempt(&self, service: &str, result: AttemptResult) {
        self.attempts.with_label_values(&[service, result.into()]).inc();
    }
}

fn status_text(status: u16, digits: &mut [u8; 3]) -> &str {
    let status = status.min(999);
    for (digit, unit) in digits.iter_mut().zip([100, 10, 1]) {
        *digit = b'0' + (status / unit % 10) as u8;
    }
    std::str::from_utf8(digits).expect("decimal digits are UTF-8")
}
