//! Takes over routes and targets from the store or a peer.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citron::{
    catalog::{Catalog, Change, Snapshot, Source},
    position::Position,
    route::Table,
};

use super::Shared;
use crate::targets::{self, Held};

impl Shared {
    /// Replaces the routes with a table from `source`; returns false without a change if its version
    /// is not newer.
    pub fn apply_routes(&self, table: Table, source: Source) -> bool {
        let version = table.version;
        let count = table.len();
        {
            let mut routes = self.routes.write();
            let current = routes.as_ref().map_or(0, |table| table.version);
            if version <= current {
                return false;
            }
            *routes = Some(Arc::new(table));
            log::info!(
                "event=routes-taken version={version} before={current} routes={count} source={source}"
            );
        }
        self.metrics.routes_version.set(version as i64);
        if source == Source::Peer {
            // Others that are behind have one more peer to pull from.
            self.state_changed.notify_one();
        }
        self.announce_if_first();
        true
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
        let version = self.routes().map_or(0, |routes| routes.version);
        let position = self.targets.lock().catalog.position();
        let now = self.clock.now();
        let settings = self.settings();
        let is_large = self.is_domain_large();
        let domain = is_large.then_some(settings.domain.as_str());
        if !self.announced_ready.load(Ordering::Relaxed)
            || self.gateways.lock().is_first_with(version, position, domain, now)
        {
            self.announced_ready.store(self.is_ready(), Ordering::Relaxed);
            self.state_changed.notify_one();
        } else if is_large && self.is_follower() {
            self.state_changed_near.notify_one();
        }
    }
}
