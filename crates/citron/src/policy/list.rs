//! The entries of the two lists, and how they are parsed and checked.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
};

use serde::{Deserialize, Serialize};
use strum::{Display as StrumDisplay, EnumString};

/// The maximum length of a name of a customer, plan or service, in bytes.
const NAME_LIMIT_BYTES: usize = 64;

/// An entry of the customers list.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The name of the customer's plan.
    pub plan: String,
}

/// The grants list: services, the plans that may use them, and the routes to them.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grants {
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// Routes by path prefix.
    pub routes: BTreeMap<String, Route>,
}

/// What a plan may use.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Allowances by service.
    pub uses: BTreeMap<String, Allowance>,
}

/// How much of a service one customer may use over the whole fleet.
#[derive(Debug, Copy, Clone, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Requests per second.
    pub rate: f64,
    /// Requests admitted at once after an idle period.
    pub burst: f64,
}

/// The settings of a service: failure detection, request priority and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// How failure detection trades speed against false ejections.
    pub profile: Profile,
    /// The priority of its requests.
    pub class: Class,
    /// The minimum share of listed targets that stays in use, from 0 to 1.
    pub floor: f64,
    /// The maximum duration of a request in milliseconds.
    pub deadline_ms: u64,
}

/// How quickly a target is ejected.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize, StrumDisplay, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Profile {
    /// Prefers a short detection time.
    Fast,
    /// Prefers few false ejections.
    Careful,
}

/// The priority of requests that wait for a slot.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
    StrumDisplay,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// Served first.
    Live,
    /// Served when no live request waits.
    Archive,
}

/// Maps a path prefix to a service.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The path prefix, starting with a slash.
    pub prefix: String,
    /// The service that serves it.
    pub service: String,
    /// Whether requests may run more than once; with `None`, their method decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
}

impl Grants {
    /// Returns the route with the longest prefix that matches `path`.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let mut end = path.len();
        loop {
            if let Some(route) = self.routes.get(path.get(..end)?) {
                return Some(route);
            }
            // Only prefixes that end at a slash or at the whole path can match.
            end = match path[..end].strip_suffix('/').unwrap_or(&path[..end]).rfind('/') {
                Some(slash) => slash + 1,
                None => return None,
            };
            if end == 0 {
                return None;
            }
        }
    }

    /// Checks names, numbers and references.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), Error> {
        for (name, service) in &self.services {
            check_name("service", name)?;
            check_number(name, "floor", service.floor, 0.0, 1.0)?;
            check_number(name, "deadline_ms", service.deadline_ms as f64, 1.0, 3_600_000.0)?;
        }
        for (name, plan) in &self.plans {
            check_name("plan", name)?;
            for (service, allowance) in &plan.uses {
                if !self.services.contains_key(service) {
                    return Err(Error::UnknownService {
                        entry: format!("plan {name}"),
                        service: service.clone(),
                    });
                }
                check_number(name, "rate", allowance.rate, f64::MIN_POSITIVE, 1e9)?;
                check_number(name, "burst", allowance.burst, 1.0, 1e9)?;
            }
        }
        for route in self.routes.values() {
            if !route.prefix.starts_with('/') {
                return Err(Error::InvalidPrefix { prefix: route.prefix.clone() });
            }
            if !self.services.contains_key(&route.service) {
                return Err(Error::UnknownService {
                    entry: format!("route {}", route.prefix),
                    service: route.service.clone(),
                });
            }
        }
        Ok(())
    }
}

/// An error in the lists.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Error {
    /// A list is not valid TOML or lacks a field.
    Syntax {
        /// The list.
        list: &'static str,
        /// The parser's message.
        message: String,
    },
    /// Two entries have the same name.
    Duplicate {
        /// The kind of entry.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A name is empty, too long or contains a disallowed character.
    InvalidName {
        /// The kind of entry.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A route's prefix does not start with a slash.
    InvalidPrefix {
        /// The prefix.
        prefix: String,
    },
    /// A number is out of range.
    OutOfRange {
        /// The entry with the number.
        entry: String,
        /// The field.
        field: &'static str,
        /// The value as written.
        value: String,
        /// The valid range.
        valid: String,
    },
    /// A customer names a plan that is not listed.
    UnknownPlan {
        /// The customer.
        customer: String,
        /// The plan that is missing.
        plan: String,
    },
    /// A plan or route names a service that is not listed.
    UnknownService {
        /// The plan or route.
        entry: String,
        /// The service that is missing.
        service: String,
    },
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { list, message } => {
                write!(f, "the list of {list} cannot be read: {message}")
            }
            Self::Duplicate { kind, name } => {
                write!(f, "{kind} {name:?} is listed twice; remove one of the entries")
            }
            Self::InvalidName { kind, name } => write!(
                f,
                "{kind} name {name:?} is not valid; use 1 to {NAME_LIMIT_BYTES} letters, digits, '-', '_' or '.'"
            ),
            Self::InvalidPrefix { prefix } => {
                write!(f, "route prefix {prefix:?} is not valid; start it with '/'")
            }
            Self::OutOfRange { entry, field, value, valid } => {
                write!(f, "{entry}: {field} = {value} is out of range; use {valid}")
            }
            Self::UnknownPlan { customer, plan } => {
                write!(
                    f,
                    "customer {customer} has plan {plan:?}, which is not listed; add [[plan]] or correct the name"
                )
            }
            Self::UnknownService { entry, service } => {
                write!(
                    f,
                    "{entry} uses service {service:?}, which is not listed; add [[service]] or correct the name"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CustomerFile {
    #[serde(default)]
    customer: Vec<CustomerEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CustomerEntry {
    name: String,
    plan: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantFile {
    #[serde(default)]
    service: Vec<ServiceEntry>,
    #[serde(default)]
    plan: Vec<PlanEntry>,
    #[serde(default)]
    route: Vec<Route>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceEntry {
    name: String,
    profile: Profile,
    class: Class,
    floor: f64,
    deadline_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanEntry {
    name: String,
    #[serde(default, rename = "use")]
    uses: Vec<UseEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UseEntry {
    service: String,
    rate: f64,
    burst: f64,
}

/// Parses the customers list.
pub(super) fn parse_customers(text: &str) -> Result<BTreeMap<String, Customer>, Error> {
    let file: CustomerFile = toml::from_str(text)
        .map_err(|error| Error::Syntax { list: "customers", message: error.to_string() })?;
    let mut customers = BTreeMap::new();
    for entry in file.customer {
        check_name("customer", &entry.name)?;
        insert_unique("customer", &mut customers, entry.name, Customer { plan: entry.plan })?;
    }
    Ok(customers)
}

/// Parses the grants list.
pub(super) fn parse_grants(text: &str) -> Result<Grants, Error> {
    let file: GrantFile = toml::from_str(text)
        .map_err(|error| Error::Syntax { list: "grants", message: error.to_string() })?;
    let mut grants = Grants::default();
    for entry in file.service {
        let ServiceEntry { name, profile, class, floor, deadline_ms } = entry;
        insert_unique(
            "service",
            &mut grants.services,
            name,
            Service { profile, class, floor, deadline_ms },
        )?;
    }
    for entry in file.plan {
        let mut seen = BTreeSet::new();
        if let Some(repeated) = entry.uses.iter().find(|used| !seen.insert(used.service.clone())) {
            return Err(Error::Duplicate {
                kind: "use of service",
                name: repeated.service.clone(),
            });
        }
        let uses = entry
            .uses
            .into_iter()
            .map(|used| (used.service, Allowance { rate: used.rate, burst: used.burst }))
            .collect();
        insert_unique("plan", &mut grants.plans, entry.name, Plan { uses })?;
    }
    for route in file.route {
        insert_unique("route", &mut grants.routes, route.prefix.clone(), route)?;
    }
    Ok(grants)
}

fn insert_unique<T>(
    kind: &'static str,
    map: &mut BTreeMap<String, T>,
    name: String,
    value: T,
) -> Result<(), Error> {
    if map.contains_key(&name) {
        return Err(Error::Duplicate { kind, name });
    }
    map.insert(name, value);
    Ok(())
}

fn check_name(kind: &'static str, name: &str) -> Result<(), Error> {
    let valid = !name.is_empty()
        && name.len() <= NAME_LIMIT_BYTES
        && name.chars().all(|c| c.is_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if valid { Ok(()) } else { Err(Error::InvalidName { kind, name: name.to_owned() }) }
}

fn check_number(
    entry: &str,
    field: &'static str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<(), Error> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Error::OutOfRange {
        entry: entry.to_owned(),
        field,
        value: value.to_string(),
        valid: format!("a number from {min} to {max}"),
    })
}
