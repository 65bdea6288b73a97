//! Versioned objects and their changes.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// The version of an object, from one counter shared by all objects.
#[derive(
    Debug, Default, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Display for Version {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Version {
    /// Returns the entity tag that carries this version.
    pub fn to_etag(self) -> String {
        format!("\"{}\"", self.0)
    }

    /// Parses an entity tag; returns `None` if it carries no version.
    pub fn from_etag(etag: &str) -> Option<Self> {
        etag.trim().strip_prefix('"')?.strip_suffix('"')?.parse().ok().map(Self)
    }
}

/// A stored value with its version.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Object {
    /// Changes with every write.
    pub version: Version,
    /// The value as written.
    pub value: Vec<u8>,
}

/// The condition under which a write takes effect.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
    /// No condition.
    Any,
}

/// An object in a list.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The object's name within its kind.
    pub name: String,
    /// Its current version.
    pub version: Version,
}

/// The changes of one kind after a version.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The version up to which the changes are complete; the next watch continues from it.
    pub version: Version,
    /// The latest change of each object, in ascending order of version.
    pub changes: Vec<Change>,
}

/// The latest change of an object.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object's name within its kind.
    pub name: String,
    /// The version that the change gave the object.
    pub version: Version,
    /// Whether the object was deleted.
    #[serde(default)]
    pub deleted: bool,
}
