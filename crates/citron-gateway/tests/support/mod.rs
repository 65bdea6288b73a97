//! Runs a real gateway against a simulated store, targets and callers over loopback sockets.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod peer;

pub use citron_stand::gateway::{caller, store, target};

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use citron::{attempt::RetryBound, follower::FOLLOW_ALL_MAX};
pub use citron_adapter::settings::{QuotaBound, Settings};
use citron_daemon::Clock;
pub use citron_gateway::Gateway;
use serde_json::{Value, json};
use tokio::time;

use self::{caller::Caller, store::Store, target::Target};

/// The maximum size of an object in the store, in bytes.
pub const OBJECT_BYTES: usize = 1024 * 1024;
/// How long a test waits for a condition to become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// A retry budget that is not spent.
pub const BOUND: RetryBound =
    RetryBound { ratio: 1.0, slack: 800.0, window: Duration::from_secs(10) };
/// For how long the gateway of a test fleet has run.
const RUN_TIME: Duration = Duration::from_secs(60);

/// A gateway with its store and targets.
pub struct TestFleet {
    pub store: Store,
    pub targets: Vec<Target>,
    pub gateway: Gateway,
}

impl TestFleet {
    /// Starts a store, `targets` targets of the service `desk` and a gateway that is ready.
    pub async fn start(targets: usize) -> Self {
        Self::start_with(targets, BOUND).await
    }

    /// Starts the same with a retry budget.
    pub async fn start_with(targets: usize, bound: RetryBound) -> Self {
        let store = Store::bind().await;
        store.put("config", "main", config("r1", 1.0));
        let mut started = Vec::new();
        for n in 0..targets {
            let target = Target::bind(&format!("t{n}")).await;
            store.put("servers", &target.id, target.entry("ready"));
            started.push(target);
        }
        let gateway = gateway_with("entry-1", store.addr(), running_clock(), bound).await;
        let fleet = Self { store, targets: started, gateway };
        fleet.wait_ready().await;
        fleet
    }

    pub async fn wait_ready(&self) {
        eventually("the gateway is ready", async || ready(&self.gateway).await == 200).await;
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.gateway.callers()).await
    }

    /// Sends one request on a new connection and returns its response.
    pub async fn send(&self, request: &Request<'_>) -> caller::Answer {
        let mut caller = self.caller().await;
        caller.send(&request.text()).await;
        caller.answer().await
    }
}

/// A request of a caller.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub body: &'a str,
    pub remaining_ms: u64,
    pub extra: &'a str,
}

/// A lookup, which is idempotent.
pub fn lookup(id: &str) -> Request<'_> {
    Request { method: "GET", path: "/lots/7?x=1", id, body: "", remaining_ms: 2000, extra: "" }
}

/// A download, which is idempotent and has a long response.
pub fn download(id: &str) -> Request<'_> {
    Request { path: "/briefs/7", ..lookup(id) }
}

/// An order, which is not idempotent and must not run twice.
pub fn order(id: &str) -> Request<'_> {
    Request {
        method: "POST",
        path: "/orders/7",
        id,
        body: "3 sacks",
        remaining_ms: 2000,
        extra: "",
    }
}

impl Request<'_> {
    pub fn text(&self) -> String {
        let Self { method, path, id, body, remaining_ms, extra } = self;
        let length = if body.is_empty() && *method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining-Ms: {remaining_ms}\r\n{extra}{length}\r\n{body}"
        )
    }
}

/// Returns a configuration that routes lookups, orders and downloads to the service `desk`.
pub fn config(version: &str, timeout_s: f64) -> Value {
    json!({
        "version": version,
        "services": [{"name": "desk", "healthPath": "/health", "maxConns": 390}],
        "limits": {"maxHeaderBytes": 2048, "maxBodyBytes": 4096, "headerTimeoutS": 0.4, "idleTimeoutS": 3},
        "hosts": [{"host": "one.example", "paths": [
            {"name": "lots", "pathPrefix": "/lots/", "routeType": "safe", "timeoutS": timeout_s,
             "targetLatencyS": 0.2, "priority": 2, "maxAttempts": 2, "service": "desk"},
            {"name": "orders", "pathPrefix": "/orders/", "routeType": "unsafe", "timeoutS": timeout_s,
             "targetLatencyS": 0.2, "priority": 1, "maxAttempts": 2, "service": "desk"},
            {"name": "briefs", "pathPrefix": "/briefs/", "routeType": "download", "timeoutS": timeout_s,
             "targetLatencyS": 0.2, "priority": 3, "maxAttempts": 2, "service": "desk"}]}]
    })
}

/// Starts a gateway on free ports.
pub async fn gateway(host: &str, store: &Store) -> Gateway {
    gateway_at(host, store.addr()).await
}

/// Starts a gateway on free ports that calls the store at `store`.
pub async fn gateway_at(host: &str, store: SocketAddr) -> Gateway {
    gateway_with(host, store, Clock::start(), BOUND).await
}

/// Returns the clock of a gateway that has run for long, so that it may make retries.
pub fn running_clock() -> Clock {
    Clock::started_before(RUN_TIME)
}

/// Starts a gateway on free ports with this clock and retry budget.
pub async fn gateway_with(
    host: &str,
    store: SocketAddr,
    clock: Clock,
    retry_bound: RetryBound,
) -> Gateway {
    let settings = settings(host, store, retry_bound);
    Gateway::bind(settings, None, clock).await.expect("a gateway")
}

/// Returns the settings of a gateway on free ports.
pub fn settings(host: &str, store: SocketAddr, retry_bound: RetryBound) -> Settings {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        host: host.to_owned(),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        domain: "a".to_owned(),
        cores: 1,
        memory_bytes: 64 * 1024 * 1024,
        callers: free,
        ready: free,
        directory: free,
        peers: free,
        seeds: Vec::new(),
        internal_port: 0,
        store,
        object_bytes: OBJECT_BYTES,
        retry_bound,
        ttl_max: Duration::from_secs(5),
        grace: Duration::from_secs(6),
        revoke_within: None,
        quota_bound: QuotaBound { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 },
        cpu_share: 1.0,
        link_mbps: 1000.0,
        is_first_start: false,
        follow_all_max: FOLLOW_ALL_MAX,
    }
}

/// Returns the status of a gateway's readiness check.
pub async fn ready(gateway: &Gateway) -> u16 {
    let url = format!("http://{}/v1/ready", gateway.ready());
    reqwest::get(url).await.expect("a response").status().as_u16()
}

/// Resolves the name that callers connect to, and returns the status and the response.
pub async fn resolve(gateway: &Gateway) -> (u16, Value) {
    let url = format!("http://{}/v1/resolve?name=one.example&region=r&zone=a", gateway.directory());
    let response = reqwest::get(url).await.expect("a response");
    let status = response.status().as_u16();
    (status, response.json().await.unwrap_or(Value::Null))
}

/// Waits until `condition` returns true.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(time::Instant::now() < deadline, "timed out while waiting: {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}
