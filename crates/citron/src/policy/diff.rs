//! The differences between two policies.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use serde::Serialize;
use strum::Display as StrumDisplay;

use super::{Policy, Route};

/// The differences between two policies.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Diff {
    /// The differing entries, sorted by kind and name.
    pub entries: Vec<Entry>,
}

/// An entry that was added, removed or changed.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The entry's kind.
    pub kind: Kind,
    /// The entry's name; the prefix for routes.
    pub name: String,
    /// A description of the old entry, or `None` if it was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// A description of the new entry, or `None` if it was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// The kinds of entries of the two lists.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize, StrumDisplay)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// An entry of the customers list.
    Customer,
    /// A service in the grants list.
    Service,
    /// A plan in the grants list.
    Plan,
    /// A route in the grants list.
    Route,
}

impl Diff {
    /// Compares two policies.
    pub fn between(before: &Policy, after: &Policy) -> Self {
        let mut entries = Vec::new();
        compare(&mut entries, Kind::Customer, &before.customers, &after.customers, |customer| {
            format!("plan {}", customer.plan)
        });
        let (before, after) = (&before.grants, &after.grants);
        compare(&mut entries, Kind::Service, &before.services, &after.services, |service| {
            format!(
                "profile {}, class {}, floor {}, deadline {} ms",
                service.profile, service.class, service.floor, service.deadline_ms
            )
        });
        compare(&mut entries, Kind::Plan, &before.plans, &after.plans, |plan| {
            let uses = plan.uses.iter().map(|(service, allowance)| {
                format!("{service} {}/s burst {}", allowance.rate, allowance.burst)
            });
            uses.collect::<Vec<_>>().join(", ")
        });
        compare(&mut entries, Kind::Route, &before.routes, &after.routes, describe_route);
        Self { entries }
    }

    /// Returns true if the policies are equal.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Display for Diff {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for entry in &self.entries {
            if let Some(before) = &entry.before {
                writeln!(f, "- {} {}: {before}", entry.kind, entry.name)?;
            }
            if let Some(after) = &entry.after {
                writeln!(f, "+ {} {}: {after}", entry.kind, entry.name)?;
            }
        }
        Ok(())
    }
}

fn describe_route(route: &Route) -> String {
    match route.idempotent {
        None => format!("service {}", route.service),
        Some(idempotent) => format!("service {}, idempotent {idempotent}", route.service),
    }
}

fn compare<T: PartialEq>(
    entries: &mut Vec<Entry>,
    kind: Kind,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    describe: impl Fn(&T) -> String,
) {
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let mut names: Vec<&String> = after.keys().chain(removed).collect();
    names.sort();
    for name in names {
        let (old, new) = (before.get(name), after.get(name));
        if old != new {
            let (before, after) = (old.map(&describe), new.map(&describe));
            entries.push(Entry { kind, name: name.clone(), before, after });
        }
    }
}
