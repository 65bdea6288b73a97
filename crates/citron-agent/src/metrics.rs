//! The metrics of an agent.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The metrics of an agent.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// The registry that holds all metrics.
    pub registry: Registry,
    /// Gossip datagrams sent.
    pub datagrams_sent: IntCounter,
    /// Gossip bytes sent.
    pub bytes_sent: IntCounter,
    /// Gossip datagrams received.
    pub datagrams_received: IntCounter,
    /// Gossip bytes received.
    pub bytes_received: IntCounter,
    /// Datagrams that could not be decoded.
    pub datagrams_bad: IntCounter,
    /// Calls to the platform, by call.
    pub platform_calls: IntCounterVec,
    /// Calls to other agents, by call.
    pub peer_calls: IntCounterVec,
    /// Bytes of policy and tables pulled from other agents.
    pub peer_bytes: IntCounter,
    /// Locate responses with addresses.
    pub locates: IntCounter,
    /// Claims, by result.
    pub claims: IntCounterVec,
    /// Policy revision in force.
    pub revision: IntGauge,
    /// Members that are not dead.
    pub members: IntGauge,
    /// 1 while this agent watches the platform.
    pub watcher: IntGauge,
    /// Attached proxies.
    pub attached: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn open() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the name is valid");
            registry.register(Box::new(counter.clone())).expect("the name is registered once");
            counter
        };
        let family = |name: &str, help: &str, label: &str| {
            let family =
                IntCounterVec::new(Opts::new(name, help), &[label]).expect("the name is valid");
            registry.register(Box::new(family.clone())).expect("the name is registered once");
            family
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            registry.register(Box::new(gauge.clone())).expect("the name is registered once");
            gauge
        };
        Self {
            datagrams_sent: counter("citron_agent_datagrams_sent_total", "Gossip datagrams sent"),
            bytes_sent: counter("citron_agent_datagram_bytes_sent_total", "Gossip bytes sent"),
            datagrams_received: counter(
                "citron_agent_datagrams_received_total",
                "Gossip datagrams received",
            ),
            bytes_received: counter(
                "citron_agent_datagram_bytes_received_total",
                "Gossip bytes received",
            ),
            datagrams_bad: counter(
                "citron_agent_datagrams_bad_total",
                "Datagrams that could not be read",
            ),
            platform_calls: family(
                "citron_agent_platform_calls_total",
                "Calls to the platform",
                "call",
            ),
            peer_calls: family("citron_agent_peer_calls_total", "Calls to other agents", "call"),
            peer_bytes: counter(
                "citron_agent_peer_bytes_total",
                "Bytes of policy and tables taken from other agents",
            ),
            locates: counter("citron_agent_locates_total", "Locate answers given"),
            claims: family("citron_agent_claims_total", "Idempotency keys claimed", "result"),
            revision: gauge("citron_agent_policy_revision", "Policy revision in force"),
            members: gauge("citron_agent_members", "Members that are not dead"),
            watcher: gauge("citron_agent_watcher", "1 while this agent watches the platform"),
            attached: gauge("citron_agent_attached_proxies", "Proxies attached"),
            registry,
        }
    }
}
