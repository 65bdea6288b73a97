//! The routing table: which services may receive a request, and under what policy.

mod split;

pub use self::split::Split;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::EnumIter;

use crate::{customer::Customers, position::Position};

/// One version of the routes, the services and the limits for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The version; a table is only replaced by one with a higher version.
    pub version: u64,
    /// The store's position of the object that it was decoded from, revision 0 if it is not known.
    #[serde(default)]
    pub position: Position,
    /// The services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The limits on requests from callers.
    pub limits: Limits,
    /// The customers, `None` if requests carry no keys.
    #[serde(default)]
    pub customers: Option<Customers>,
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
}

/// The operator's settings for one service.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// How many connections each target of the service accepts from all gateways together.
    pub connections: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

/// One route: a path prefix of a host, its backends and its policy.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for the route.
    pub name: Arc<str>,
    /// The path prefix that it matches; starts and ends with a slash.
    pub prefix: String,
    /// Whether executing a request more than once has the same effect as executing it once.
    pub idempotent: bool,
    /// The maximum number of targets that one request may be sent to, at least 1.
    pub attempts: u32,
    /// The maximum time until the final response.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// Whether its requests need no key where there are customers.
    #[serde(default)]
    pub open: bool,
    /// The services with their weights, at least one; serialized as `parts`.
    #[serde(rename = "parts")]
    pub backends: SmallVec<[Backend; 2]>,
}

/// What kind of requests a route carries.
#[derive(Debug, Copy, Clone, Eq, PartialEq, EnumIter)]
pub enum Kind {
    /// Reads with small responses.
    Read,
    /// Reads with large responses.
    Download,
    /// Requests that change something, such as orders.
    Order,
    /// Requests that change something and have large bodies.
    Upload,
    /// A kind that this version does not know.
    Unknown,
}

impl Kind {
    /// Returns true if executing a request more than once has the same effect as executing it once;
    /// false if that is not certain.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Read | Self::Download => true,
            Self::Order | Self::Upload | Self::Unknown => false,
        }
    }
}

/// A service that a route sends requests to.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the backends of the route.
    pub weight: u32,
}

impl Table {
    /// Creates a table from routes by host.
    pub fn new(
        version: u64,
        services: BTreeMap<Arc<str>, Service>,
        limits: Limits,
        routes: impl IntoIterator<Item = (String, Route)>,
    ) -> Self {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for (host, route) in routes {
            assert!(route.attempts > 0, "a route must allow at least one attempt");
            assert!(!route.backends.is_empty(), "a route must name at least one service");
            hosts.entry(host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, position: Position::default(), services, limits, customers: None, hosts }
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// `host` may carry a port; `path` may carry a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        self.hosts.get(&name)?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns true if there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
