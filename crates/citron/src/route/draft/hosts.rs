//! The routes of a configuration.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use smallvec::SmallVec;

use super::{BackendsDraft, Faults, HostDraft, Kept, Part, RouteDraft};
use crate::route::{Backend, Kind, Route, Table, backends_by_weight};

/// The timeout of a route whose own was never readable; a caller's deadline counts as well.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// The routes of a configuration.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    /// Them, with their hosts.
    pub routes: Vec<(String, Route)>,
    /// Whether it has others, of which it cannot be read what they match.
    pub may_lack_routes: bool,
}

/// Makes the routes from what was read, in place of those of `last`.
pub(super) fn settle(
    drafts: Part<Vec<HostDraft>>,
    last: Option<&Table>,
    faults: &mut Faults,
) -> Hosts {
    let mut hosts = Hosts::default();
    match drafts {
        Ok(drafts) => {
            let named: BTreeSet<String> = drafts
                .iter()
                .filter_map(|draft| Some(draft.host.as_ref().ok()?.to_ascii_lowercase()))
                .collect();
            for draft in drafts {
                hosts.add_host(draft, &named, last, faults);
            }
        }
        Err(reason) => {
            let kept = if last.is_some() { Kept::Earlier } else { Kept::Nothing };
            faults.add(reason, kept);
            hosts.may_lack_routes = true;
            let earlier = last.into_iter().flat_map(Table::iter);
            hosts.routes =
                earlier.map(|(host, route)| (host.to_owned(), (**route).clone())).collect();
        }
    }
    hosts.make_names_unique();
    hosts
}

impl Hosts {
    fn add_host(
        &mut self,
        draft: HostDraft,
        named: &BTreeSet<String>,
        last: Option<&Table>,
        faults: &mut Faults,
    ) {
        let HostDraft { host, routes } = draft;
        let host = match host {
            Ok(host) => Some(host),
            Err(reason) => {
                let found = find_host(&routes, named, last);
                faults.add(reason, if found.is_some() { Kept::Earlier } else { Kept::Nothing });
                found
            }
        };
        let Some(host) = host else {
            self.may_lack_routes = true;
            return;
        };
        let earlier = last.map_or(&[][..], |table| table.routes_of(&host));
        match routes {
            Ok(drafts) => {
                for draft in drafts {
                    match draft.settle(earlier, faults) {
                        Some(route) => self.routes.push((host.clone(), route)),
                        None => self.may_lack_routes = true,
                    }
                }
            }
            Err(reason) => {
                faults.add(reason, if earlier.is_empty() { Kept::Nothing } else { Kept::Earlier });
                self.may_lack_routes = true;
                let earlier = earlier.iter().map(|route| (host.clone(), (**route).clone()));
                self.routes.extend(earlier);
            }
        }
    }

    /// Gives routes names that tell them apart, as what is known of a route is kept by its name.
    fn make_names_unique(&mut self) {
        let mut taken = HashSet::new();
        for (host, route) in &mut self.routes {
            if route.name.is_empty() || taken.contains(&route.name) {
                route.name = Arc::from(format!("{host}{}", route.prefix));
            }
            taken.insert(Arc::clone(&route.name));
        }
    }
}

/// Finds the host whose name cannot be read by the names of its routes, among those that the
/// configuration does not name.
fn find_host(
    routes: &Part<Vec<RouteDraft>>,
    named: &BTreeSet<String>,
    last: Option<&Table>,
) -> Option<String> {
    let routes = routes.as_ref().ok()?;
    let names: Vec<&Arc<str>> =
        routes.iter().filter_map(|route| route.name.as_ref().ok()).collect();
    let mut earlier = last?.iter();
    let found =
        earlier.find(|(host, route)| !named.contains(*host) && names.contains(&&route.name));
    found.map(|(host, _)| host.to_owned())
}

impl RouteDraft {
    /// Makes the route, if it is known what it matches; `earlier` are the routes of its host.
    fn settle(self, earlier: &[Arc<Route>], faults: &mut Faults) -> Option<Route> {
        let last = self.find_earlier(earlier);
        let prefix = match self.prefix {
            Ok(prefix) => prefix,
            Err(reason) => {
                faults.add(reason, if last.is_some() { Kept::Earlier } else { Kept::Nothing });
                last?.prefix.clone()
            }
        };
        let name =
            faults.settle(self.name, last.map(|route| Arc::clone(&route.name)), Arc::from(""));
        let timeout = faults.settle(self.timeout, last.map(|route| route.timeout), DEFAULT_TIMEOUT);
        let objective = self.objective.map(|objective| objective.unwrap_or(timeout));
        // Requests of which it is not known whether they may be repeated are not.
        let kind = faults.settle(self.kind, None, Kind::Unknown);
        Some(Route {
            name,
            prefix,
            idempotent: kind.is_idempotent(),
            attempts: faults.settle(self.attempts, last.map(|route| route.attempts), 1).max(1),
            timeout,
            objective: faults.settle(objective, last.map(|route| route.objective), timeout),
            priority: faults.settle(self.priority, last.map(|route| route.priority), 0),
            open: faults.settle(self.open, last.map(|route| route.open), false),
            backends: self.backends.settle(last, faults),
        })
    }

    /// Returns the route of before that this one was: that of its prefix, or of its name if its prefix
    /// cannot be read.
    fn find_earlier<'a>(&self, earlier: &'a [Arc<Route>]) -> Option<&'a Route> {
        let is_same = |route: &&Arc<Route>| match (&self.prefix, &self.name) {
            (Ok(prefix), _) => *prefix == route.prefix,
            (Err(_), Ok(name)) => *name == route.name,
            (Err(_), Err(_)) => false,
        };
        earlier.iter().find(is_same).map(|route| &**route)
    }
}

impl BackendsDraft {
    /// Makes the backends: those that can be read tell no proportions while others cannot be.
    fn settle(self, last: Option<&Route>, faults: &mut Faults) -> SmallVec<[Backend; 2]> {
        let Self { readable, unreadable } = self;
        let Some(reason) = unreadable else { return backends_by_weight(&readable) };
        match last.filter(|route| !route.backends.is_empty()) {
            Some(route) => {
                faults.add(reason, Kept::Earlier);
                route.backends.clone()
            }
            None => {
                faults.add(reason, Kept::Nothing);
                backends_by_weight(&readable)
            }
        }
    }
}
