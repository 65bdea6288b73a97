//! Stand-ins around a real gateway: the store, targets and callers, over loopback sockets.

#![allow(dead_code, reason = "each test file uses its own part")]

pub use citron_stand::gateway::{caller, store, target};

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use citron_adapter::settings::{RetryBudget, Settings};
use citron_daemon::Clock;
use citron_gateway::Gateway;
use serde_json::{Value, json};
use tokio::time;

use self::{caller::Caller, store::Store, target::Target};

/// The longest time that a test waits for something to become true.
const PATIENCE: Duration = Duration::from_secs(8);

/// A gateway with its surroundings.
pub struct World {
    pub store: Store,
    pub targets: Vec<Target>,
    pub gateway: Gateway,
}

impl World {
    /// Starts a store, `targets` targets of the service `desk` and a gateway that is ready.
    pub async fn start(targets: usize) -> Self {
        let store = Store::bind().await;
        store.put("config", "main", config("r1", 1.0));
        let mut bound = Vec::new();
        for n in 0..targets {
            let target = Target::bind(&format!("t{n}")).await;
            store.put("servers", &target.id, target.entry("ready"));
            bound.push(target);
        }
        let gateway = gateway("entry-1", &store).await;
        let world = Self { store, targets: bound, gateway };
        world.wait_ready().await;
        world
    }

    pub async fn wait_ready(&self) {
        eventually("the gateway is ready", async || ready(&self.gateway).await == 200).await;
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.gateway.callers()).await
    }

    /// Sends one request on a connection of its own and returns its answer.
    pub async fn ask(&self, request: &Request<'_>) -> caller::Answer {
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

/// A lookup, which may be repeated.
pub fn lookup(id: &str) -> Request<'_> {
    Request { method: "GET", path: "/lots/7?x=1", id, body: "", remaining_ms: 2000, extra: "" }
}

/// An order, which must not run twice.
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

/// Returns a configuration whose lookups and orders go to `desk`.
pub fn config(version: &str, timeout_s: f64) -> Value {
    json!({
        "version": version,
        "services": [{"name": "desk", "healthPath": "/health", "maxConns": 390}],
        "limits": {"maxHeaderBytes": 2048, "maxBodyBytes": 4096, "headerTimeoutS": 0.4, "idleTimeoutS": 3},
        "hosts": [{"host": "one.example", "paths": [
            {"name": "lots", "pathPrefix": "/lots/", "routeType": "safe", "timeoutS": timeout_s,
             "targetLatencyS": 0.2, "priority": 2, "maxAttempts": 2, "service": "desk"},
            {"name": "orders", "pathPrefix": "/orders/", "routeType": "unsafe", "timeoutS": timeout_s,
             "targetLatencyS": 0.2, "priority": 1, "maxAttempts": 2, "service": "desk"}]}]
    })
}

/// Starts a gateway on free ports.
pub async fn gateway(host: &str, store: &Store) -> Gateway {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
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
        store: store.addr(),
        retry_budget: RetryBudget { ratio: 0.2, slack: 800.0, window: Duration::from_secs(10) },
        ttl_max: Duration::from_secs(5),
        grace: Duration::from_secs(6),
    };
    Gateway::bind(settings, None, Clock::start()).await.expect("a gateway")
}

/// Asks a gateway whether it is ready and returns the status.
pub async fn ready(gateway: &Gateway) -> u16 {
    let url = format!("http://{}/v1/ready", gateway.ready());
    reqwest::get(url).await.expect("an answer").status().as_u16()
}

/// Asks a gateway where to connect.
pub async fn resolve(gateway: &Gateway) -> (u16, Value) {
    let url = format!("http://{}/v1/resolve?name=one.example&region=r&zone=a", gateway.directory());
    let answer = reqwest::get(url).await.expect("an answer");
    let status = answer.status().as_u16();
    (status, answer.json().await.unwrap_or(Value::Null))
}

/// Waits until `holds` is true.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(time::Instant::now() < deadline, "in vain: {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}
