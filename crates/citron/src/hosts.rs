//! A versioned copy of the platform's host list that peers synchronize incrementally.

use std::collections::{BTreeMap, BTreeSet};

/// Removed names that are kept so that changes since an earlier version can list them.
const REMOVED_CAPACITY: usize = 4096;
/// Earlier versions for which incremental changes can be returned.
const EARLIER_VERSIONS_CAPACITY: usize = 256;

/// Named entries, each with the list version that last changed it.
#[derive(Debug, Clone)]
pub struct Table<V> {
    version: u64,
    /// Earlier versions of this copy. For any other version the changes since then are unknown.
    earlier_versions: BTreeSet<u64>,
    entries: BTreeMap<String, (u64, V)>,
    /// Removed names, each with the list version that removed it.
    removed: BTreeMap<String, u64>,
}

/// What changed between two versions of a table.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Changes<V> {
    /// The version after the changes.
    pub version: u64,
    /// Whether `entries` is the whole table, which replaces the receiver's.
    pub full: bool,
    /// Added and changed entries.
    pub entries: Vec<(String, V)>,
    /// Names of removed entries.
    pub removed: Vec<String>,
}

impl<V: Clone + PartialEq> Default for Table<V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<V: Clone + PartialEq> Table<V> {
    /// Creates an empty table at version 0.
    pub fn new() -> Self {
        Self {
            version: 0,
            earlier_versions: BTreeSet::new(),
            entries: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }

    /// Returns the list version of this copy.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entries by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &V)> {
        self.entries.iter().map(|(name, (_, value))| (name.as_str(), value))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replaces the table with the whole list at `version` and returns what changed. A list that is
    /// not newer than the table is ignored.
    pub fn install(&mut self, version: u64, list: &BTreeMap<String, V>) -> Changes<V> {
        let mut changes =
            Changes { version, full: false, entries: Vec::new(), removed: Vec::new() };
        if version <= self.version {
            changes.version = self.version;
            return changes;
        }
        for (name, value) in list {
            if self.entries.get(name).is_none_or(|(_, known)| known != value) {
                changes.entries.push((name.clone(), value.clone()));
            }
        }
        let absent = self.entries.keys().filter(|name| !list.contains_key(*name));
        changes.removed = absent.cloned().collect();
        self.advance(&changes);
        changes
    }

    /// Applies the changes that a peer returned for this table's version, and returns what changed
    /// here.
    ///
    /// Changes that are not newer than the table are ignored.
    pub fn apply(&mut self, changes: &Changes<V>) -> Changes<V> {
        if changes.full {
            let list = changes.entries.iter().cloned().collect();
            return self.install(changes.version, &list);
        }
        if changes.version <= self.version {
            return Changes {
                version: self.version,
                entries: vec![],
                removed: vec![],
                full: false,
            };
        }
        self.advance(changes);
        changes.clone()
    }

    /// Returns the changes since `version`, or the whole table if those are no longer known.
    pub fn changes_since(&self, version: u64) -> Changes<V> {
        let full = version != self.version && !self.earlier_versions.contains(&version);
        let after = if full { 0 } else { version };
        let newer = self.entries.iter().filter(|(_, (changed, _))| full || *changed > after);
        let removed = self.removed.iter().filter(|(_, at)| !full && **at > after);
        Changes {
            version: self.version,
            full,
            entries: newer.map(|(name, (_, value))| (name.clone(), value.clone())).collect(),
            removed: removed.map(|(name, _)| name.clone()).collect(),
        }
    }

    fn advance(&mut self, changes: &Changes<V>) {
        assert!(changes.version > self.version, "the version of a host list must not decrease");
        if self.version > 0 {
            self.earlier_versions.insert(self.version);
        }
        while self.earlier_versions.len() > EARLIER_VERSIONS_CAPACITY {
            self.earlier_versions.pop_first();
        }
        self.version = changes.version;
        for (name, value) in &changes.entries {
            self.removed.remove(name);
            self.entries.insert(name.clone(), (changes.version, value.clone()));
        }
        for name in &changes.removed {
            self.entries.remove(name);
            self.removed.insert(name.clone(), changes.version);
        }
        while self.removed.len() > REMOVED_CAPACITY {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let Some((name, at)) = oldest.map(|(name, at)| (name.clone(), *at)) else { break };
            self.removed.remove(&name);
            self.earlier_versions.retain(|version| *version >= at);
        }
    }
}
