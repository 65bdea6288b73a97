//! Takes over routes and targets from the store or a peer.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citron::{
    catalog::{Catalog, Change, Snapshot, Source},
    position::Position,
    route::{Draft, Fault, Part, Settled, Table, Unreadable},
};

use super::Shared;
use crate::targets::{self, Held};

impl Shared {
    /// Replaces the routes with those of a configuration that the store holds at `position`, as far as
    /// it can be read and is newer.
    pub fn settle_routes(&self, draft: Part<Draft>, position: Position) {
        let confirmed_at = self.routes_confirmed_at();
        let settled = {
            let mut routes = self.routes.write();
            let current = routes.clone();
            let settled =
                draft.and_then(|draft| draft.settle(position, current.as_deref(), confirmed_at));
            settled.map(|Settled { table, faults }| {
                let is_newer = current.is_none_or(|current| table.edition() > current.edition());
                if is_newer {
                    replace(&mut routes, table, Source::Store);
                }
                (is_newer, faults)
            })
        };
        match settled {
            Ok((is_newer, faults)) => {
                self.end_missing(position);
                if is_newer {
                    log_faults(position, &faults);
                    self.finish_routes();
                }
            }
            Err(reason) => self.miss_routes(position, &reason),
        }
    }

    /// Records that the store holds a configuration at `position` that cannot be read.
    pub fn miss_routes(&self, position: Position, reason: &Unreadable) {
        let confirmed_at = self.routes_confirmed_at();
        self.freshness.lock().record_missed(position, confirmed_at);
        self.metrics.routes_missed.set(1);
        log::error!(
            "event=routes-rejected revision={position} reason={:?} kept=the-routes-in-force",
            reason.to_string()
        );
    }

    /// Replaces the routes with the table of a peer; returns false without a change if it is not newer.
    pub fn apply_routes(&self, table: Table) -> bool {
        let position = table.position;
        {
            let mut routes = self.routes.write();
            if routes.as_ref().is_some_and(|current| !table.replaces(current)) {
                return false;
            }
            replace(&mut routes, table, Source::Peer);
        }
        self.end_missing(position);
        self.finish_routes();
        // Others that are behind have one more peer to pull from.
        self.state_changed.notify_one();
        true
    }

    /// Records that the configuration at `position` is in force.
    fn end_missing(&self, position: Position) {
        if self.freshness.lock().record_taken(position) {
            log::info!("event=routes-complete revision={position}");
            self.metrics.routes_missed.set(0);
        }
    }

    fn finish_routes(&self) {
        if let Some(table) = self.routes() {
            self.metrics.routes_version.set(table.version as i64);
            self.metrics.routes_parts_missing.set(table.missing as i64);
            self.metrics.routes_keys_unsettled.set(table.unsettled.len() as i64);
        }
        self.announce_if_first();
    }

    /// Replaces the target list with a snapshot from `source`; returns false without a change if it
    /// is not newer.
    pub fn replace_targets(&self, snapshot: Snapshot, source: Source) -> bool {
        let position = snapshot.position;
        let now = self.clock.now();
        let keep_until = self.keep_until(now);
        let mut targets = self.targets.lock();
        let held = targets.update(keep_until, |catalog| catalog.replace(snapshot, source, now));
        let (count, current) = (targets.catalog.len(), targets.catalog.position());
        drop(targets);
        let Some(held) = held else {
            log::info!(
                "event=targets-ignored revision={position} current={current} source={source}"
            );
            return false;
        };
        log::info!("event=targets-taken revision={position} targets={count} source={source}");
        self.finish_update(position, &held, now);
        true
    }

    /// Applies changes of the target list from `source`; returns false without a change if the
    /// position is not newer or of another era.
    pub fn apply_target_changes(
        &self,
        position: Position,
        changes: Vec<Change>,
        source: Source,
    ) -> bool {
        let now = self.clock.now();
        let keep_until = self.keep_until(now);
        let descriptions: Vec<String> = changes.iter().map(targets::describe).collect();
        let apply = |catalog: &mut Catalog| catalog.apply(position, changes, source, now);
        let Some(held) = self.targets.lock().update(keep_until, apply) else {
            let current = self.targets.lock().catalog.position();
            log::info!(
                "event=changes-ignored revision={position} current={current} source={source}"
            );
            return false;
        };
        log::info!(
            "event=targets-changed revision={position} changes={} source={source}",
            descriptions.join(",")
        );
        self.finish_update(position, &held, now);
        true
    }

    fn finish_update(&self, position: Position, held: &[Held], now: Duration) {
        held.iter().for_each(|target| target.log(now));
        self.metrics.targets_revision.set(position.revision as i64);
        self.announce_if_first();
    }

    /// Removes lapsed target entries whose grace period is over, and load reports that expired.
    pub fn expire_targets(&self) {
        let now = self.clock.now();
        let keep_until = self.keep_until(now);
        let expired = self.targets.lock().expire(keep_until, now);
        for target in expired {
            log::info!("event=target-gone target={target} reason=not-back-after-outage");
        }
    }

    /// Reports this gateway's state to the peers at once, unless it already announced that it is
    /// ready and another gateway has reported routes and targets at least this new. A follower in a
    /// large failure domain reports each change to that domain, whose other gateways pull it.
    pub(super) fn announce_if_first(&self) {
        let edition = self.routes_edition();
        let position = self.targets.lock().catalog.position();
        let now = self.clock.now();
        let settings = self.settings();
        let is_large = self.is_domain_large();
        let domain = is_large.then_some(settings.domain.as_str());
        if !self.announced_ready.load(Ordering::Relaxed)
            || self.gateways.lock().is_first_with(edition, position, domain, now)
        {
            self.announced_ready.store(self.is_ready(), Ordering::Relaxed);
            self.state_changed.notify_one();
        } else if is_large && self.is_follower() {
            self.state_changed_near.notify_one();
        }
    }
}

/// The maximum number of parts of one configuration that cannot be read and are logged.
const FAULTS_LOGGED_MAX: usize = 32;

/// Replaces the routes with a table from `source`.
fn replace(routes: &mut Option<Arc<Table>>, table: Table, source: Source) {
    let before = routes.as_ref().map_or(0, |current| current.version);
    log::info!(
        "event=routes-taken version={} revision={} before={before} routes={} missing={} source={source}",
        table.version,
        table.position,
        table.len(),
        table.missing
    );
    *routes = Some(Arc::new(table));
}

fn log_faults(position: Position, faults: &[Fault]) {
    for Fault { unreadable, kept } in faults.iter().take(FAULTS_LOGGED_MAX) {
        let (part, reason) = (&unreadable.part, &unreadable.reason);
        log::error!(
            "event=routes-part-unreadable revision={position} part={part:?} reason={reason:?} kept={kept}"
        );
    }
    if let Some(more) = faults.len().checked_sub(FAULTS_LOGGED_MAX).filter(|more| *more > 0) {
        log::error!("event=routes-parts-unreadable revision={position} more={more}");
    }
}
