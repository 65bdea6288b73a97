//! A configuration as it was read, part by part, and the routing table that it makes.
//!
//! A part that cannot be read costs that part alone: its last readable form stays in force, or a default
//! where there is none. A key is the exception, as it may have been taken away: see [`Unsettled`]. So any
//! configuration that has a version or routes makes a table, and nothing in it keeps what can be read out
//! of force.

mod customers;
mod hosts;

use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use smallvec::SmallVec;
use strum::Display;

use super::{Kind, Limits, Service, Table};
use crate::{
    customer::{KeyDigest, Quota},
    position::Position,
};

/// A part of a configuration, or why it cannot be read.
pub type Part<T> = Result<T, Unreadable>;

/// Why a part of a configuration cannot be read.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Unreadable {
    /// The part, as its writer names it.
    pub part: String,
    /// What is wrong with it. It shows no key.
    pub reason: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.part, self.reason)
    }
}

impl std::error::Error for Unreadable {}

/// A configuration as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Draft {
    /// The version.
    pub version: Part<u64>,
    /// The services.
    pub services: Part<Vec<ServiceDraft>>,
    /// The limits for callers.
    pub limits: LimitsDraft,
    /// The customers, `None` if the configuration says that requests carry no keys.
    pub customers: Option<Part<Vec<CustomerDraft>>>,
    /// The routes by host.
    pub hosts: Part<Vec<HostDraft>>,
}

/// A service as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDraft {
    /// Its name.
    pub name: Part<Arc<str>>,
    /// How many connections each of its targets accepts, `None` if there is no limit.
    pub connections: Part<Option<u32>>,
}

/// The limits for callers as they were read; see [`Limits`].
#[derive(Debug, Clone, PartialEq)]
pub struct LimitsDraft {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: Part<usize>,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: Part<u64>,
    /// The maximum time from the first byte of a head to its last.
    pub head_timeout: Part<Duration>,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Part<Duration>,
}

/// A customer as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerDraft {
    /// Its name.
    pub name: Part<Arc<str>>,
    /// The digests of its keys.
    pub keys: Part<Vec<Part<KeyDigest>>>,
    /// The priority of its requests, `None` if it leaves it to their routes.
    pub priority: Part<Option<u32>>,
    /// How many requests it may send, `None` if there is no limit.
    pub quota: Part<Option<Quota>>,
}

/// The routes of a host as they were read.
#[derive(Debug, Clone, PartialEq)]
pub struct HostDraft {
    /// The host.
    pub host: Part<String>,
    /// Its routes.
    pub routes: Part<Vec<RouteDraft>>,
}

/// A route as it was read; see [`super::Route`].
#[derive(Debug, Clone, PartialEq)]
pub struct RouteDraft {
    /// The operator's name for it.
    pub name: Part<Arc<str>>,
    /// The path prefix that it matches; starts and ends with a slash.
    pub prefix: Part<String>,
    /// What kind of requests it carries.
    pub kind: Part<Kind>,
    /// The maximum time until the final response.
    pub timeout: Part<Duration>,
    /// The latency objective, `None` if it is the timeout.
    pub objective: Part<Option<Duration>>,
    /// The priority; 0 is the highest.
    pub priority: Part<u32>,
    /// Whether its requests need no key.
    pub open: Part<bool>,
    /// The maximum number of targets that one request may be sent to.
    pub attempts: Part<u32>,
    /// Its services.
    pub backends: BackendsDraft,
}

/// The services of a route as they were read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BackendsDraft {
    /// Those that can be read, with their weights, numbers from 0.
    pub readable: SmallVec<[(Arc<str>, f64); 2]>,
    /// Why the others cannot be, `None` if there are none.
    pub unreadable: Option<Unreadable>,
}

/// What stays in force in place of a part that cannot be read.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kept {
    /// Its last readable form.
    Earlier,
    /// A default, as there is no earlier form.
    Default,
    /// Nothing.
    Nothing,
}

/// A part that could not be read.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Fault {
    /// Which one, and why.
    pub unreadable: Unreadable,
    /// What stays in force in its place.
    pub kept: Kept,
}

/// The table that a configuration makes.
#[derive(Debug, Clone, PartialEq)]
pub struct Settled {
    /// The table.
    pub table: Table,
    /// What could not be read, each part once.
    pub faults: Vec<Fault>,
}

impl Draft {
    /// Makes the table of the configuration that the store holds at `position`. `last` is the table in
    /// force, and `confirmed_at` the last moment at which it was known to be the newest.
    ///
    /// # Errors
    /// Fails if it is no configuration: it has neither a version nor routes. It fails too if only its
    /// position could order it, and the store came back from an older copy since the last one.
    pub fn settle(
        self,
        position: Position,
        last: Option<&Table>,
        confirmed_at: Option<Duration>,
    ) -> Part<Settled> {
        let mut faults = Faults::default();
        let version = self.settle_version(position, last, &mut faults)?;
        let inherits_version = self.version.is_err();
        let Self { services, limits, customers, hosts, .. } = self;
        // A configuration without routes does not tell that requests need no keys any more.
        let customers = match (customers, &hosts) {
            (None, Err(reason)) if last.is_some_and(|table| table.customers.is_some()) => {
                Some(Err(reason.clone()))
            }
            (customers, _) => customers,
        };
        let services = settle_services(services, last, &mut faults);
        let limits = limits.settle(last, &mut faults);
        let hosts = hosts::settle(hosts, last, &mut faults);
        let mut table = Table::new(version, services, limits, hosts.routes);
        table.inherits_version = inherits_version;
        table.position = position;
        table.may_lack_routes = hosts.may_lack_routes;
        if let Some(drafts) = customers {
            let settled = customers::settle(drafts, last, confirmed_at, &mut faults);
            table.customers = Some(settled.customers);
            table.unsettled = settled.unsettled;
        }
        table.missing = faults.missing();
        Ok(Settled { table, faults: faults.list })
    }

    fn settle_version(
        &self,
        position: Position,
        last: Option<&Table>,
        faults: &mut Faults,
    ) -> Part<u64> {
        let reason = match &self.version {
            Ok(version) => return Ok(*version),
            Err(reason) => reason,
        };
        let is_ordered = last.is_none_or(|table| table.position.era == position.era);
        if self.hosts.is_err() || !is_ordered {
            return Err(reason.clone());
        }
        Ok(faults.settle(Err(reason.clone()), last.map(|table| table.version), 0))
    }
}

impl LimitsDraft {
    fn settle(self, last: Option<&Table>, faults: &mut Faults) -> Limits {
        let last = last.map(|table| table.limits);
        let default = Limits::default();
        Limits {
            head_bytes: faults.settle(
                self.head_bytes,
                last.map(|limits| limits.head_bytes),
                default.head_bytes,
            ),
            body_bytes: faults.settle(
                self.body_bytes,
                last.map(|limits| limits.body_bytes),
                default.body_bytes,
            ),
            head_timeout: faults.settle(
                self.head_timeout,
                last.map(|limits| limits.head_timeout),
                default.head_timeout,
            ),
            idle_timeout: faults.settle(
                self.idle_timeout,
                last.map(|limits| limits.idle_timeout),
                default.idle_timeout,
            ),
        }
    }
}

fn settle_services(
    drafts: Part<Vec<ServiceDraft>>,
    last: Option<&Table>,
    faults: &mut Faults,
) -> BTreeMap<Arc<str>, Service> {
    let earlier = last.map(|table| &table.services);
    let drafts = match drafts {
        Ok(drafts) => drafts,
        Err(reason) => return faults.settle(Err(reason), earlier.cloned(), BTreeMap::new()),
    };
    let mut services = BTreeMap::new();
    let mut has_nameless = false;
    for ServiceDraft { name, connections } in drafts {
        let Some(name) = faults.read(name, Kept::Nothing) else {
            has_nameless = true;
            continue;
        };
        let known = earlier.and_then(|earlier| earlier.get(&name));
        let known = known.map(|service| Some(service.connections));
        let connections = faults.settle(connections, known, None).unwrap_or(u32::MAX);
        services.insert(name, Service { connections });
    }
    if has_nameless {
        for (name, service) in earlier.into_iter().flatten() {
            services.entry(Arc::clone(name)).or_insert_with(|| service.clone());
        }
    }
    services
}

/// The parts that could not be read so far.
#[derive(Debug, Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    /// Returns a part, or in its place its earlier form or else a default.
    fn settle<T>(&mut self, part: Part<T>, earlier: Option<T>, default: T) -> T {
        let kept = if earlier.is_some() { Kept::Earlier } else { Kept::Default };
        self.read(part, kept).or(earlier).unwrap_or(default)
    }

    /// Returns a part, or `None` if it cannot be read, so that `kept` stays in its place.
    fn read<T>(&mut self, part: Part<T>, kept: Kept) -> Option<T> {
        part.map_err(|reason| self.add(reason, kept)).ok()
    }

    fn add(&mut self, unreadable: Unreadable, kept: Kept) {
        // All fields of an entry that is none are the same part.
        if !self.list.iter().rev().take(FIELDS_MAX).any(|fault| fault.unreadable == unreadable) {
            self.list.push(Fault { unreadable, kept });
        }
    }

    fn missing(&self) -> usize {
        self.list.iter().filter(|fault| fault.kept != Kept::Earlier).count()
    }
}

/// The maximum number of fields of one entry.
const FIELDS_MAX: usize = 16;
