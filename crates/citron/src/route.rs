//! The routing table: which services may receive a request, and under what policy.

mod draft;
mod edition;
mod split;

pub use self::{
    draft::{
        BackendsDraft, CustomerDraft, Draft, Fault, HostDraft, Kept, LimitsDraft, Part, RouteDraft,
        ServiceDraft, Settled, Unreadable,
    },
    edition::Edition,
    split::Split,
};

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::EnumIter;

use crate::{
    customer::{Customers, Unsettled},
    position::Position,
};

/// One version of the routes, the services and the limits for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The version; that of the table before if it could not be read.
    pub version: u64,
    /// Whether the version could not be read.
    #[serde(default)]
    pub inherits_version: bool,
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
    /// The keys of which the configuration does not tell whether it holds them.
    #[serde(default)]
    pub unsettled: Unsettled,
    /// Whether there are routes of which it is not known what they match.
    #[serde(default)]
    pub may_lack_routes: bool,
    /// How many parts could not be read and have no earlier form.
    #[serde(default)]
    pub missing: usize,
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

impl Default for Limits {
    /// Returns the limits while no others are known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
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
    /// The services with their weights; none if they are not known, so that no request can be served.
    /// Serialized as `parts`.
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

/// The largest weight to which weights that are not whole numbers are scaled.
const WEIGHT_SCALE: f64 = (1 << 30) as f64;

/// Returns the backends with a weight above 0. Weights are kept as they are if they are whole numbers
/// that fit, and else as the nearest proportions in whole numbers, at least 1.
pub fn backends_by_weight(weights: &[(Arc<str>, f64)]) -> SmallVec<[Backend; 2]> {
    let largest = weights.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    let is_whole = |weight: f64| weight.fract() == 0.0;
    let fits = largest <= WEIGHT_SCALE && weights.iter().all(|(_, weight)| is_whole(*weight));
    let weighted = weights.iter().filter(|(_, weight)| *weight > 0.0);
    let backend = |(service, weight): &(Arc<str>, f64)| {
        let weight = if fits { *weight } else { weight / largest * WEIGHT_SCALE };
        Backend { service: Arc::clone(service), weight: (weight.round() as u32).max(1) }
    };
    weighted.map(backend).collect()
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
            hosts.entry(host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            inherits_version: false,
            position: Position::default(),
            services,
            limits,
            customers: None,
            unsettled: Unsettled::default(),
            may_lack_routes: false,
            missing: 0,
            hosts,
        }
    }

    /// Returns the edition of this table.
    pub fn edition(&self) -> Edition {
        let version = (!self.inherits_version).then_some(self.version);
        Edition { version, position: self.position }
    }

    /// Returns true if this table should replace `current`: it is newer, or the same with more parts.
    pub fn replaces(&self, current: &Self) -> bool {
        let (own, other) = (self.edition(), current.edition());
        own > other || own == other && self.missing < current.missing
    }

    /// Returns the routes of a host.
    pub fn routes_of(&self, host: &str) -> &[Arc<Route>] {
        self.hosts.get(&host.to_ascii_lowercase()).map_or(&[], Vec::as_slice)
    }

    /// Returns all routes with their hosts.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Arc<Route>)> {
        let hosts = self.hosts.iter();
        hosts.flat_map(|(host, routes)| routes.iter().map(move |route| (host.as_str(), route)))
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
