//! This host's copy of the policy, as stored and as read.

use std::{collections::BTreeMap, sync::Arc};

use citron::policy::{Digest, Head, Policy, Shard};

/// A policy with all its shards.
#[derive(Debug, Clone, Default)]
pub struct Copy {
    /// The head.
    pub head: Head,
    /// The head as stored.
    pub head_json: Arc<Vec<u8>>,
    /// Shards as stored, by digest.
    pub shards: BTreeMap<String, Arc<Vec<u8>>>,
}

/// Why a policy was not taken.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Refusal {
    /// It is not newer than the one in force.
    NotNewer,
    /// The head cannot be read.
    BadHead,
    /// A shard is missing or does not match its digest.
    BadShard(String),
    /// The lists do not pass their checks.
    BadLists(String),
}

impl Copy {
    /// Reads a head as stored.
    pub fn read_head(json: &[u8]) -> Option<Head> {
        serde_json::from_slice(json).ok()
    }

    /// Returns the digests of `head` whose shards this copy lacks.
    pub fn missing(&self, head: &Head) -> Vec<String> {
        let digests = head.shards.values().map(|shard| shard.digest.as_str());
        let mut missing: Vec<String> = digests
            .filter(|digest| !self.shards.contains_key(*digest))
            .map(str::to_owned)
            .collect();
        missing.sort();
        missing.dedup();
        missing
    }

    /// Takes a newer policy, whose changed shards are in `fresh`, and returns the lists.
    ///
    /// # Errors
    /// Nothing changes if it is not newer, not whole or not valid.
    pub fn install(
        &mut self,
        json: &[u8],
        fresh: &BTreeMap<String, Vec<u8>>,
    ) -> Result<Policy, Refusal> {
        let head = Self::read_head(json).ok_or(Refusal::BadHead)?;
        if head.revision <= self.head.revision {
            return Err(Refusal::NotNewer);
        }
        let mut stored = BTreeMap::new();
        let mut shards = Vec::new();
        for shard in head.shards.values() {
            let digest = shard.digest.as_str();
            let bytes = match (self.shards.get(digest), fresh.get(digest)) {
                (Some(bytes), _) => bytes.clone(),
                (None, Some(bytes)) => Arc::new(bytes.clone()),
                (None, None) => return Err(Refusal::BadShard(digest.to_owned())),
            };
            let read = Shard::decode(&Digest::from_hex(digest), &bytes)
                .ok_or_else(|| Refusal::BadShard(digest.to_owned()))?;
            shards.push(read);
            stored.insert(digest.to_owned(), bytes);
        }
        let policy = Shard::join(&shards);
        policy.check().map_err(|error| Refusal::BadLists(error.to_string()))?;
        let before = self.head.revision;
        *self = Self { head, head_json: Arc::new(json.to_vec()), shards: stored };
        assert!(self.head.revision > before, "a policy revision must never go back");
        Ok(policy)
    }
}
