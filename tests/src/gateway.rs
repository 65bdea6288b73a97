//! The environment of one gateway process: a stand-in store and one target.

use std::{net::Ipv4Addr, time::Duration};

use citron_stand::{
    gateway::{
        caller::{Answer, Caller, End},
        store::Store,
        target::Target,
    },
    soak::process::{Host, free_block},
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// How long a gateway may take to start, and to respond.
const LIMIT: Duration = Duration::from_secs(20);

/// The environment of one gateway.
#[derive(Debug)]
pub struct World {
    /// The host that the gateway's settings describe.
    pub host: Host,
    /// The folder of the gateway's settings and log.
    pub folder: TempDir,
    /// The store.
    pub store: Store,
    /// The target of the service `desk`.
    pub target: Target,
    _lock: TcpListener,
}

impl World {
    /// Starts the store and the target; the gateway is not started.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the folder cannot be created.
    pub async fn start() -> eyre::Result<Self> {
        let (block, lock) = free_block().await?;
        let store = Store::bind().await;
        let target = Target::open("i-1", "desk").await?;
        store.put("config", "main", configuration(1, &["lots", "orders"]));
        store.put("servers", &target.id, target.entry("ready"));
        let host = Host {
            name: "entry-1".to_owned(),
            ip: Ipv4Addr::new(127, block, 1, 1),
            domain: "a".to_owned(),
            cores: 1,
            store: store.addr(),
            seeds: Vec::new(),
            keep_limit_s: 2.0,
        };
        Ok(Self { host, folder: tempfile::tempdir()?, store, target, _lock: lock })
    }

    /// Waits until the readiness endpoint of the gateway reports success.
    ///
    /// # Errors
    /// Fails if it does not do so in time.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let url = format!("http://{}/v1/ready", self.host.ready());
        let end = Instant::now() + LIMIT;
        while !reqwest::get(&url).await.is_ok_and(|response| response.status().is_success()) {
            eyre::ensure!(Instant::now() < end, "the gateway was not ready within {LIMIT:?}");
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Connects to the gateway.
    ///
    /// # Errors
    /// Fails if it does not accept the connection.
    pub async fn caller(&self) -> eyre::Result<Caller> {
        Ok(Caller::open(self.host.callers()).await?)
    }
}

/// Sends one request without a body and returns the response.
///
/// # Errors
/// Fails if the connection ends before the response.
pub async fn send(caller: &mut Caller, method: &str, path: &str, id: &str) -> Result<Answer, End> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    );
    if caller.try_send(&text).await.is_err() {
        return Err(End::Closed);
    }
    caller.try_answer(LIMIT).await
}

/// Returns a configuration with these routes to the service `desk`. Only requests to `orders` must
/// not be retried.
pub fn configuration(version: u64, routes: &[&str]) -> Value {
    let route = |name: &&str| {
        let kind = if *name == "orders" { "unsafe" } else { "safe" };
        json!({"name": name, "pathPrefix": format!("/{name}/"), "routeType": kind, "timeoutS": 2,
               "targetLatencyS": 0.5, "priority": 1, "maxAttempts": 2, "service": "desk"})
    };
    let paths: Vec<Value> = routes.iter().map(route).collect();
    json!({
        "version": format!("r{version}"),
        "services": [{"name": "desk", "healthPath": "/health", "maxConns": 390}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 4096, "headerTimeoutS": 5, "idleTimeoutS": 10},
        "hosts": [{"host": "one.example", "paths": paths}]
    })
}
