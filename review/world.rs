//! The deployment around one gateway: the store, the operator's configuration and the upstreams.

use std::{fs, net::Ipv4Addr, path::PathBuf, sync::Arc, thread, time::Duration};

use crate::{
    gateway::{self, Gateway, Settings},
    record::Record,
    store::{Door, Store},
    upstream::{Manner, Upstream},
};

/// After this long without a disturbance a machine is in touch (`stableWindowS`), with a margin.
pub const IN_TOUCH: Duration = Duration::from_millis(3500);

/// A route of the operator's configuration.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its prefix.
    pub prefix: &'static str,
    /// Its type.
    pub kind: &'static str,
    /// Its service.
    pub service: &'static str,
    /// Its timeout, in seconds.
    pub timeout_s: u32,
}

/// A deployment with one gateway.
pub struct World {
    /// The record of the run.
    pub record: Arc<Record>,
    /// The store.
    pub store: Store,
    /// The address of the store that the settings name at first.
    pub door: Door,
    /// The gateway.
    pub gateway: Gateway,
    /// Its settings.
    pub settings: Settings,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    folder: PathBuf,
}

impl World {
    /// Starts the store, the upstreams of each service and the gateway, and waits until it is in
    /// touch; `None` if it does not get ready.
    pub fn start(
        record: &Arc<Record>,
        routes: &[Route],
        services: &[(&str, &[Manner])],
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("citron-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ip = gateway::free_ip();
        let own = Ipv4Addr::LOCALHOST;
        let store = Store::default();
        let mut upstreams = Vec::new();
        for (service, manners) in services {
            for (n, manner) in manners.iter().enumerate() {
                let id = format!("i-{service}-{n}");
                upstreams.push(Upstream::start(own, &id, service, *manner, record));
            }
        }
        for upstream in &upstreams {
            store.put("servers", &upstream.id, &upstream.entry("ready"));
        }
        store.put("config", "main", &configuration(7, routes));
        let (address, door) = store.serve(own);
        let settings = Settings { ip, store: address };
        let gateway = Gateway::start(settings.clone(), &folder);
        record.line(&format!("gateway starts at {} with store {address}", gateway.front()));
        // The script that started this run reads it, should it have to end the run.
        record.line(&format!("gateway pid {}", gateway.pid()));
        let is_ready = gateway.wait_ready();
        record.line(&format!("gateway ready: {is_ready}"));
        if !is_ready {
            return None;
        }
        thread::sleep(IN_TOUCH);
        let record = Arc::clone(record);
        Some(Self { record, store, door, gateway, settings, upstreams, folder })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateway.kill();
        // The folder holds only the settings and the log of this run.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the operator's configuration in a version.
pub fn configuration(version: u32, routes: &[Route]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(r#"{{"name":"{name}","healthPath":"/health","maxConns":390,"protocol":"h1","tls":false}}"#)
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(n, Route { prefix, kind, service, timeout_s })| {
            format!(
                r#"{{"name":"r-{n}","pathPrefix":"{prefix}","routeType":"{kind}","timeoutS":{timeout_s},"targetLatencyS":0.6,"priority":1,"service":"{service}","maxAttempts":2}}"#
            )
        })
        .collect();
    let (services, paths) = (services.join(","), paths.join(","));
    format!(
        r#"{{"version":"r{version}","services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"baseVersion":"r1","hosts":[{{"host":"one.example","paths":[{paths}]}}]}}"#
    )
}

/// Returns the same with further routes, so that it has `bytes` bytes.
pub fn grown_configuration(version: u32, routes: &[Route], bytes: usize) -> String {
    /// The most bytes of the last host's name.
    const NAME_BYTES: usize = 250;
    let text = configuration(version, routes);
    let service = routes[0].service;
    let host = |name: &str| {
        format!(
            r#",{{"host":"{name}","paths":[{{"name":"g-{name}","pathPrefix":"/grown/","routeType":"safe","timeoutS":2,"targetLatencyS":0.6,"priority":1,"service":"{service}","maxAttempts":2}}]}}"#
        )
    };
    let mut hosts = String::new();
    for n in 0.. {
        let left = bytes - text.len() - hosts.len();
        // Each host has its name twice.
        let fitting = left.saturating_sub(host("").len()) / 2;
        if fitting <= NAME_BYTES {
            hosts.push_str(&host(&"h".repeat(fitting)));
            break;
        }
        hosts.push_str(&host(&format!("h{n}.example")));
    }
    let body = text.strip_suffix("]}").expect("the end of the list of hosts");
    format!("{body}{hosts}]}}")
}
