//! The head object, which names the shards of the policy in force.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use serde::{Deserialize, Serialize};

/// The one object whose conditional update accepts an edit.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Counts accepted edits; a higher revision replaces a lower one.
    pub revision: u64,
    /// Counts handovers of the final say.
    pub term: u64,
    /// The operator who has the final say in this term.
    pub holder: String,
    /// Shards by key.
    pub shards: BTreeMap<String, ShardRef>,
    /// The ids of the most recent edits, oldest first.
    pub edits: Vec<String>,
}

impl Head {
    /// Returns the stored form.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head has only string keys")
    }

    /// Reads the stored form, or returns `None` if it cannot be read.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// Names a shard by its content.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShardRef {
    /// The digest of the stored form.
    pub digest: Digest,
    /// The length of the stored form, bytes.
    pub bytes: u64,
}

/// A BLAKE3 digest in hexadecimal.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(blake3::hash(bytes).to_hex().to_string())
    }

    /// Takes a digest as it was sent.
    pub fn from_hex(hex: impl Into<String>) -> Self {
        Self(hex.into())
    }

    /// Returns the hexadecimal form.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
