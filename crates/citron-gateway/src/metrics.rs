//! The metrics of a gateway.

use std::time::Duration;

use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry,
};

/// The bucket bounds of the request latency histogram, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];

/// The bucket bounds of the histogram of the time that the gateway adds, in seconds.
const ADDED_BOUNDS_S: [f64; 10] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 4.0];

/// The metrics of one gateway.
#[derive(Debug)]
pub struct Metrics {
    /// The registry of all metrics.
    pub registry: Registry,
    /// Calls to the store, by subject, kind of call and outcome.
    pub store_calls: IntCounterVec,
    /// 1 while this gateway follows the store, 0 while it takes changes from peers.
    pub follows_store: IntGauge,
    /// Pulls from peers, by subject and outcome.
    pub pulls: IntCounterVec,
    /// Bytes of state that arrived, by where they came from, subject and whether they were used.
    pub state_bytes: IntCounterVec,
    /// Retries that the retry budget did not allow, by service and by why.
    pub retries_denied: IntCounterVec,
    /// Retry tokens that gateways lend each other, by service and by what happened.
    pub retry_loans: IntCounterVec,
    /// Messages about lent retry tokens that were ignored, by reason.
    pub loan_messages_ignored: IntCounterVec,
    /// Requests of customers with quotas, by customer and by whether they were admitted.
    pub customer_requests: IntCounterVec,
    /// Tokens of the customers' quotas, by what happened.
    pub quota_tokens: IntCounterVec,
    /// Messages about tokens of quotas that were ignored, by reason.
    pub quota_messages_ignored: IntCounterVec,
    /// The most retries that this host may make at once, by its share of the slack.
    pub retry_share: Gauge,
    /// The retries that this host may make now, by service.
    pub retry_tokens: GaugeVec,
    /// The retries that may still be on their way, by service.
    pub retries_in_flight: GaugeVec,
    /// Retries that were sent, by service and by how the attempt before ended.
    pub retries: IntCounterVec,
    /// Verdicts about targets, by verdict and by source: this gateway or a peer.
    pub verdicts: IntCounterVec,
    /// Connections to targets that were opened.
    pub connections_opened: IntCounter,
    /// Log lines that were dropped.
    pub log_lines_dropped: IntGauge,
    /// How long the store has not responded, in seconds; zero while it responds.
    pub store_silent_seconds: Gauge,
    /// The time since the store's latest response to the calls of a subject, in seconds.
    pub store_response_age_seconds: GaugeVec,
    /// The time since routes and targets were last known to be current, in seconds.
    pub state_unconfirmed_seconds: Gauge,
    /// Outcomes that were not sent to the peers because too many were pending.
    pub outcomes_dropped: IntCounter,
    /// Datagrams that could not be decoded.
    pub datagrams_unreadable: IntCounter,
    /// Datagrams that could not be sent.
    pub datagrams_unsent: IntCounter,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Other gateways that have reported recently.
    pub gateways_alive: IntGauge,
    /// Targets that are suspected of failing.
    pub targets_suspected: IntGauge,
    /// Targets that are kept although their entries vanished.
    pub targets_held: IntGauge,
    /// Targets that name a limit of requests.
    pub targets_limited: IntGauge,
    /// Idle connections to targets.
    pub idle_connections: IntGauge,
    /// Bytes of memory reserved for what callers and targets send.
    pub memory_reserved_bytes: IntGauge,
    /// How many bytes may be reserved.
    pub memory_limit_bytes: IntGauge,
    /// 1 while the last call to the store failed, else 0.
    pub store_lost: IntGauge,
    /// The version of the current routes.
    pub routes_version: IntGauge,
    /// Whether a newer configuration than that in force could not be read, 1 or 0.
    pub routes_missed: IntGauge,
    /// The number of parts of the configuration in force that could not be read and have no earlier
    /// form.
    pub routes_parts_missing: IntGauge,
    /// The number of keys of which the configuration in force does not tell whether it holds them.
    pub routes_keys_unsettled: IntGauge,
    /// The revision of the current target list.
    pub targets_revision: IntGauge,
    /// The latest era of the store.
    pub store_era: IntGauge,
    /// The processor cores, or the part of one, that this gateway may use.
    pub own_cpu_share: Gauge,
    /// How many requests a second this gateway receives.
    pub own_requests_per_s: Gauge,
    /// How late this gateway's process runs, in seconds.
    pub own_lateness_seconds: Gauge,
    /// The share of this gateway's link or memory that is in use.
    pub own_fullness: Gauge,
    /// The gateways that callers of the own failure domain are sent to, 0 if these are all.
    pub named_gateways: IntGauge,
    /// 1 if callers are sent to this gateway, else 0.
    pub is_named: IntGauge,
    /// Requests that wait for a token or for room, by service.
    pub waiting: GaugeVec,
    /// Waits that ended, by outcome and the route's priority.
    pub waits: IntCounterVec,
    /// The duration of waits, by the route's priority.
    pub wait_seconds: HistogramVec,
    refused: IntCounterVec,
    attempts: IntCounterVec,
    requests: IntCounterVec,
    latency: HistogramVec,
    added: Histogram,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// Fails if a name is not valid or registered twice.
    pub fn open() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let levels = |name: &str, help: &str, labels: &[&str]| {
            let levels = GaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(levels.clone()))?;
            prometheus::Result::Ok(levels)
        };
        let level = |name: &str, help: &str| {
            let level = Gauge::new(name, help)?;
            registry.register(Box::new(level.clone()))?;
            prometheus::Result::Ok(level)
        };
        let latency = HistogramVec::new(
            HistogramOpts::new(
                "citron_request_duration_seconds",
                "Time from a request's last byte to its answer, by route",
            )
            .buckets(LATENCY_BOUNDS_S.to_vec()),
            &["route"],
        )?;
        registry.register(Box::new(latency.clone()))?;
        let added = Histogram::with_opts(
            HistogramOpts::new(
                "citron_added_duration_seconds",
                "Time of an answered request besides the attempt that was answered",
            )
            .buckets(ADDED_BOUNDS_S.to_vec()),
        )?;
        registry.register(Box::new(added.clone()))?;
        let wait_seconds = HistogramVec::new(
            HistogramOpts::new(
                "citron_wait_seconds",
                "Time that requests waited for a token or for room, by the route's priority",
            )
            .buckets(LATENCY_BOUNDS_S.to_vec()),
            &["priority"],
        )?;
        registry.register(Box::new(wait_seconds.clone()))?;
        Ok(Self {
            waiting: levels(
                "citron_waiting_requests",
                "Requests that wait for a token or for room, by service",
                &["service"],
            )?,
            waits: counters(
                "citron_waits_total",
                "Waits that ended, by outcome and the route's priority",
                &["outcome", "priority"],
            )?,
            wait_seconds,
            refused: counters(
                "citron_refusals_total",
                "Requests that the gateway ended itself, by reason",
                &["reason"],
            )?,
            attempts: counters(
                "citron_attempts_total",
                "Attempts at targets, by ending",
                &["ending"],
            )?,
            store_calls: counters(
                "citron_store_calls_total",
                "Calls to the store, by subject, kind of call and outcome",
                &["subject", "call", "outcome"],
            )?,
            pulls: counters(
                "citron_peer_pulls_total",
                "State taken from peers, by subject and outcome",
                &["subject", "outcome"],
            )?,
            state_bytes: counters(
                "citron_state_bytes_total",
                "Bytes of routes and targets that arrived, by origin, subject and outcome",
                &["origin", "subject", "outcome"],
            )?,
            retries_denied: counters(
                "citron_repetitions_denied_total",
                "Repetitions that the budget did not allow, by service and by why",
                &["service", "reason"],
            )?,
            retry_loans: counters(
                "citron_retry_loans_total",
                "Retry tokens that gateways lend each other, by service and by what happened",
                &["service", "event"],
            )?,
            loan_messages_ignored: counters(
                "citron_loan_messages_ignored_total",
                "Messages about lent retry tokens that were ignored, by reason",
                &["reason"],
            )?,
            customer_requests: counters(
                "citron_customer_requests_total",
                "Requests of customers with quotas, by customer and outcome",
                &["customer", "outcome"],
            )?,
            quota_tokens: counters(
                "citron_quota_tokens_total",
                "Tokens of the customers' quotas, by event",
                &["event"],
            )?,
            quota_messages_ignored: counters(
                "citron_quota_messages_ignored_total",
                "Messages about tokens of quotas that were ignored, by reason",
                &["reason"],
            )?,
            retry_share: level(
                "citron_retry_share",
                "The most repetitions that this host may send at once, 0 if it has no share",
            )?,
            retry_tokens: levels(
                "citron_retry_tokens",
                "Repetitions that this host may send now, by service",
                &["service"],
            )?,
            retries_in_flight: levels(
                "citron_retries_in_flight",
                "Repetitions that may still be on their way, by service",
                &["service"],
            )?,
            retries: counters(
                "citron_repetitions_total",
                "Repetitions that were sent, by service and by how the attempt before ended",
                &["service", "reason"],
            )?,
            verdicts: counters(
                "citron_verdicts_total",
                "What outcomes said about targets, by verdict and by who saw it",
                &["verdict", "source"],
            )?,
            connections_opened: counter(
                "citron_connections_opened_total",
                "Connections to targets that were opened",
            )?,
            requests: counters(
                "citron_requests_total",
                "Answered requests, by route and status",
                &["route", "status"],
            )?,
            outcomes_dropped: counter(
                "citron_outcomes_dropped_total",
                "Outcomes that peers were not told of",
            )?,
            datagrams_unreadable: counter(
                "citron_datagrams_unreadable_total",
                "Datagrams from peers that could not be read",
            )?,
            datagrams_unsent: counter(
                "citron_datagrams_unsent_total",
                "Datagrams to peers that could not be sent",
            )?,
            in_flight: gauge("citron_requests_in_flight", "Requests being carried")?,
            gateways_alive: gauge("citron_gateways_alive", "Other gateways that reported lately")?,
            targets_suspected: gauge("citron_targets_suspected", "Targets believed to be sick")?,
            targets_held: gauge(
                "citron_targets_held",
                "Targets that are kept although their entries vanished around an outage",
            )?,
            targets_limited: gauge(
                "citron_targets_limited",
                "Targets that name a limit of requests for all gateways together",
            )?,
            log_lines_dropped: gauge(
                "citron_log_lines_dropped",
                "Log lines that were dropped since the start",
            )?,
            idle_connections: gauge("citron_idle_connections", "Idle connections to targets")?,
            memory_reserved_bytes: gauge(
                "citron_memory_reserved_bytes",
                "Memory reserved for what callers and targets send",
            )?,
            memory_limit_bytes: gauge(
                "citron_memory_limit_bytes",
                "How much memory may be reserved for what callers and targets send",
            )?,
            follows_store: gauge(
                "citron_follows_store",
                "1 while this gateway follows the store, 0 while it takes changes from peers",
            )?,
            store_lost: gauge(
                "citron_store_lost",
                "1 while the last call to the store failed, else 0",
            )?,
            routes_version: gauge("citron_routes_version", "Version of the routes in force")?,
            routes_missed: gauge(
                "citron_routes_missed",
                "Whether a newer configuration than that in force could not be read",
            )?,
            routes_parts_missing: gauge(
                "citron_routes_parts_missing",
                "Parts of the configuration in force that could not be read and have no earlier form",
            )?,
            routes_keys_unsettled: gauge(
                "citron_routes_keys_unsettled",
                "Keys of which the configuration in force does not tell whether it holds them",
            )?,
            targets_revision: gauge(
                "citron_targets_revision",
                "Revision of the target list in force",
            )?,
            store_era: gauge(
                "citron_store_era",
                "How often the store came back from an older copy, as it counts itself",
            )?,
            own_cpu_share: level(
                "citron_own_cpu_share",
                "Processor cores, or the part of one, that this gateway may use",
            )?,
            own_requests_per_s: level(
                "citron_own_requests_per_second",
                "Requests received per second, as a moving mean",
            )?,
            own_lateness_seconds: level(
                "citron_own_lateness_seconds",
                "How late a timer of this process fired at most within the last second",
            )?,
            own_fullness: level(
                "citron_own_fullness",
                "Share of the link or of the memory in use, whichever is greater",
            )?,
            named_gateways: gauge(
                "citron_named_gateways",
                "Gateways that callers of this failure domain are sent to, 0 if these are all",
            )?,
            is_named: gauge("citron_named", "1 if callers are sent to this gateway, else 0")?,
            latency,
            added,
            store_silent_seconds: level(
                "citron_store_silent_seconds",
                "Time since the store ceased to answer, 0 while it answers",
            )?,
            store_response_age_seconds: levels(
                "citron_store_response_age_seconds",
                "Time since the store's latest response to the calls of a subject",
                &["subject"],
            )?,
            state_unconfirmed_seconds: level(
                "citron_state_unconfirmed_seconds",
                "Time since routes and targets were last known to be current",
            )?,
            registry,
        })
    }

    /// Counts a request that the gateway refused itself.
    pub fn record_refusal(&self, reason: &str) {
        self.refused.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt at a target, by its result.
    pub fn record_attempt(&self, result: &str) {
        self.attempts.with_label_values(&[result]).inc();
    }

    /// Counts a verdict about a target.
    pub fn record_verdict(&self, verdict: &str, source: &str) {
        self.verdicts.with_label_values(&[verdict, source]).inc();
    }

    /// Records bytes of a response with routes or targets, and whether they could be used.
    pub fn record_state_bytes(&self, origin: &str, subject: &str, outcome: &str, bytes: usize) {
        self.state_bytes.with_label_values(&[origin, subject, outcome]).inc_by(bytes as u64);
    }

    /// Records the time that a request took besides the attempt whose response was forwarded.
    pub fn record_added_time(&self, time: Duration) {
        self.added.observe(time.as_secs_f64());
    }

    /// Counts a request that got a response, and records its latency.
    pub fn record_request(&self, route: &str, status: u16, took: Duration) {
        self.requests.with_label_values(&[route, &status.to_string()]).inc();
        self.latency.with_label_values(&[route]).observe(took.as_secs_f64());
    }
}
