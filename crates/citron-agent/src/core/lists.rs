//! The platform's host list and the publication of its changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use citron::{event::Kind, hosts::Changes, member::Record};
use citron_wire as wire;

use super::{Core, Lists, Notice};
use crate::convert;

impl Core {
    /// Returns the host list's version.
    pub fn hosts_version(&self) -> u64 {
        self.lists.lock().targets.version()
    }

    /// Installs the whole host list as read from the platform.
    pub fn install_hosts(&self, hosts: &citron_platform::Hosts) {
        let of = |role| hosts.hosts.iter().filter(move |host| host.role == role);
        let entries: BTreeMap<String, wire::Member> = of(citron_platform::Role::Entry)
            .map(|host| (host.name.clone(), convert::entry(host)))
            .collect();
        let targets: BTreeMap<String, wire::Target> = of(citron_platform::Role::Target)
            .filter_map(|host| Some((host.name.clone(), convert::target(host)?)))
            .collect();
        let mut lists = self.lists.lock();
        let before = lists.targets.version();
        let entry_changes = lists.entries.install(hosts.version, &entries);
        let target_changes = lists.targets.install(hosts.version, &targets);
        let newer = lists.targets.version() > before;
        drop(lists);
        if newer {
            self.publish_host_changes(&entry_changes, target_changes);
        }
    }

    /// Applies changes of the host list received from a peer.
    pub fn apply_hosts(&self, entries: &Changes<wire::Member>, targets: &Changes<wire::Target>) {
        let mut lists = self.lists.lock();
        let before = lists.targets.version();
        let entry_changes = lists.entries.apply(entries);
        let target_changes = lists.targets.apply(targets);
        let newer = lists.targets.version() > before;
        drop(lists);
        if newer {
            self.publish_host_changes(&entry_changes, target_changes);
        }
    }

    fn publish_host_changes(
        &self,
        entries: &Changes<wire::Member>,
        targets: Changes<wire::Target>,
    ) {
        self.record_target_changes(&targets);
        if !entries.entries.is_empty() || !entries.removed.is_empty() {
            self.update_listed_members(entries);
        }
        if !targets.entries.is_empty() || !targets.removed.is_empty() {
            self.notify(Notice::Targets(Arc::new(targets)));
        }
        self.send_updates();
    }

    fn update_listed_members(&self, changes: &Changes<wire::Member>) {
        let records: Vec<Record> = {
            let lists = self.lists.lock();
            lists.entries.iter().filter_map(|(_, entry)| convert::record(entry.clone())).collect()
        };
        let actions = self.members.lock().apply_host_list(&records);
        self.execute(actions);
        let mut hosts: Vec<String> = changes.entries.iter().map(|(name, _)| name.clone()).collect();
        hosts.extend(changes.removed.iter().cloned());
        self.notify(Notice::Members(hosts));
    }

    fn record_target_changes(&self, changes: &Changes<wire::Target>) {
        for (name, target) in &changes.entries {
            let kind = if target.leaving { Kind::TargetLeaving } else { Kind::TargetAdded };
            self.recorder.record(kind, name, &[("service", &target.service)]);
        }
        for name in &changes.removed {
            self.recorder.record(Kind::TargetRemoved, name, &[]);
        }
    }

    /// Calls `read` with the host list.
    pub fn with_lists<T>(&self, read: impl FnOnce(&Lists) -> T) -> T {
        read(&self.lists.lock())
    }

    /// Returns the names of the listed entry hosts.
    pub fn listed(&self) -> BTreeSet<String> {
        self.lists.lock().entries.iter().map(|(name, _)| name.to_owned()).collect()
    }

    /// Returns all targets.
    pub fn target_table(&self) -> wire::TargetTable {
        let lists = self.lists.lock();
        let targets = lists.targets.iter().map(|(_, target)| target.clone()).collect();
        wire::TargetTable { full: true, targets, removed: Vec::new() }
    }
}
