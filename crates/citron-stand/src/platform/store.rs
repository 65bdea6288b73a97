//! The objects and their versions, without I/O.

use std::{
    collections::{BTreeMap, btree_map},
    sync::Arc,
};

use citron_platform::{Change, Changes, Entry, Expect, VALUE_LIMIT_BYTES, Version};

/// Objects of all kinds under one counter of versions.
#[derive(Debug, Default, Clone)]
pub struct Store {
    version: Version,
    kinds: BTreeMap<String, Kind>,
}

#[derive(Debug, Default, Clone)]
struct Kind {
    slots: BTreeMap<String, Slot>,
    /// Names by the version of their latest change.
    changes: BTreeMap<Version, String>,
}

/// An object, or the trace of a deleted one.
#[derive(Debug, Clone)]
struct Slot {
    version: Version,
    value: Option<Arc<[u8]>>,
}

/// The number of low bits of a version that count changes; the others count how often the store came
/// back from an older copy, so that no version is given out twice.
const CHANGE_BITS: u32 = 40;

/// Why a write did not take effect.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Fault {
    /// The condition does not hold.
    Conflict {
        /// The object's version, or `None` if it does not exist.
        current: Option<Version>,
    },
    /// The value is too large.
    TooLarge,
}

impl Store {
    /// Returns the version of the latest change of any object.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns what the store is like that comes back from this copy after `lost` was lost: all
    /// objects have new versions.
    pub fn restored(self, lost: &Self) -> Self {
        let era = (lost.version.0 >> CHANGE_BITS) + 1;
        let mut restored = Self { version: Version(era << CHANGE_BITS), kinds: BTreeMap::new() };
        for (kind, objects) in self.kinds {
            for (name, slot) in objects.slots {
                restored.change(&kind, &name, slot.value);
            }
        }
        restored
    }

    /// Returns an object's version and value.
    pub fn get(&self, kind: &str, name: &str) -> Option<(Version, Arc<[u8]>)> {
        let slot = self.kinds.get(kind)?.slots.get(name)?;
        Some((slot.version, slot.value.clone()?))
    }

    /// Writes an object if the condition holds and returns its new version.
    ///
    /// # Errors
    /// Nothing changed if the condition does not hold or the value is too large.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: &[u8],
        expect: Expect,
    ) -> Result<Version, Fault> {
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(Fault::TooLarge);
        }
        self.check(kind, name, expect)?;
        Ok(self.change(kind, name, Some(value.into())))
    }

    /// Deletes an object if the condition holds.
    ///
    /// # Errors
    /// Nothing changed if the condition does not hold.
    pub fn delete(&mut self, kind: &str, name: &str, expect: Expect) -> Result<(), Fault> {
        self.check(kind, name, expect)?;
        if self.get(kind, name).is_some() {
            self.change(kind, name, None);
        }
        Ok(())
    }

    /// Returns the names and versions of the objects of a kind.
    pub fn list(&self, kind: &str) -> Vec<Entry> {
        let slots = self.kinds.get(kind).map_or_else(btree_map::Iter::default, |k| k.slots.iter());
        slots
            .filter(|(_, slot)| slot.value.is_some())
            .map(|(name, slot)| Entry { name: name.clone(), version: slot.version })
            .collect()
    }

    /// Returns the changes of a kind later than `after`; all of them if `after` lies in the future,
    /// as it does for a client that has seen another store.
    pub fn changes(&self, kind: &str, after: Version) -> Changes {
        let after = if after > self.version { Version(0) } else { after };
        let changes = self.kinds.get(kind).map_or_else(Vec::new, |kind| {
            kind.changes
                .range(Version(after.0 + 1)..)
                .map(|(version, name)| Change {
                    name: name.clone(),
                    version: *version,
                    deleted: kind.slots[name].value.is_none(),
                })
                .collect()
        });
        Changes { version: self.version, changes }
    }

    fn check(&self, kind: &str, name: &str, expect: Expect) -> Result<(), Fault> {
        let current = self.get(kind, name).map(|(version, _)| version);
        let holds = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current == Some(version),
        };
        if holds { Ok(()) } else { Err(Fault::Conflict { current }) }
    }

    fn change(&mut self, kind: &str, name: &str, value: Option<Arc<[u8]>>) -> Version {
        self.version.0 += 1;
        let version = self.version;
        let kind = self.kinds.entry(kind.to_owned()).or_default();
        if let Some(old) = kind.slots.insert(name.to_owned(), Slot { version, value }) {
            assert!(old.version < version, "a change must raise an object's version");
            kind.changes.remove(&old.version);
        }
        kind.changes.insert(version, name.to_owned());
        version
    }
}
