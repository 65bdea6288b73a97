//! The head object and the references to shards in it.

use std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
};

use serde::{Deserialize, Serialize};

/// The object that names the shards of the current policy. An edit is accepted by its conditional
/// update.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The number of accepted edits; a higher revision replaces a lower one.
    pub revision: u64,
    /// Increases by one with each handover of the edit right; the first term is 1.
    pub term: u64,
    /// The operator who holds the edit right in this term.
    pub holder: String,
    /// References to the shards, by key.
    pub shards: BTreeMap<String, ShardRef>,
    /// The ids of the most recent edits, one for each revision, oldest first.
    pub edits: Vec<String>,
}

impl Head {
    /// Returns the stored form.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head has only string keys")
    }

    /// Decodes the stored form, or returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// A reference to a shard by its content.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShardRef {
    /// The digest of the stored form.
    pub digest: Digest,
    /// The length of the stored form in bytes.
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

    /// Wraps a hexadecimal digest as received, without checking it.
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
