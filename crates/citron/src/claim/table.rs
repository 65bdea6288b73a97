//! The stored form of a bucket.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{CLOCK_SKEW, MAX_BUCKET_CLAIMS, RETENTION};

/// The claims of a bucket.
#[derive(Debug, Default, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The highest lease term under which expired claims were removed.
    #[serde(default)]
    pub term: u64,
    /// Claims by the digest of their key.
    pub claims: BTreeMap<String, Entry>,
}

/// One claim.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The attempt that owns the key.
    #[serde(rename = "o")]
    pub owner: String,
    /// When the claim may be removed, in milliseconds since the Unix epoch.
    #[serde(rename = "e")]
    pub expires_ms: u64,
}

impl Table {
    /// Decodes the stored form, or returns `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// Encodes the table in its stored form.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a table has only string keys")
    }

    /// Returns the owner of a key.
    pub fn owner(&self, digest: &str) -> Option<&str> {
        self.claims.get(digest).map(|entry| entry.owner.as_str())
    }

    /// Returns true if no further claim fits.
    pub fn is_full(&self) -> bool {
        self.claims.len() >= MAX_BUCKET_CLAIMS
    }

    /// Adds a claim of a key that nobody owns.
    pub fn insert(&mut self, digest: &str, owner: &str, wall_ms: u64) {
        let expires_ms = wall_ms + RETENTION.as_millis() as u64;
        let entry = Entry { owner: owner.to_owned(), expires_ms };
        let before = self.claims.insert(digest.to_owned(), entry);
        assert!(before.is_none(), "a key that is owned must not be claimed again");
        assert!(self.claims.len() <= MAX_BUCKET_CLAIMS, "a bucket must stay bounded");
    }

    /// Adds the claims of `known` that are missing, and takes its owner of each key; returns true if
    /// the table changed.
    ///
    /// A platform that came back from an older copy has lost claims that were granted. If another
    /// owner has claimed such a key since, the one that was granted it first keeps it.
    pub fn merge(&mut self, known: &Self) -> bool {
        let mut has_changed = known.term > self.term;
        self.term = self.term.max(known.term);
        for (digest, entry) in &known.claims {
            let is_owned = self.owner(digest) == Some(entry.owner.as_str());
            if !is_owned && (self.claims.contains_key(digest) || !self.is_full()) {
                self.claims.insert(digest.clone(), entry.clone());
                has_changed = true;
            }
        }
        has_changed
    }

    /// Removes claims that have expired on every member's clock; returns true if there were any.
    pub fn remove_expired(&mut self, wall_ms: u64) -> bool {
        let before = self.claims.len();
        let skew = CLOCK_SKEW.as_millis() as u64;
        self.claims.retain(|_, entry| entry.expires_ms + skew > wall_ms);
        self.claims.len() < before
    }
}
