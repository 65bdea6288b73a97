//! A node's replica of the policy, which only ever moves to higher revisions.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
    sync::Arc,
};

use super::{Digest, Error as ListError, Head, Policy, Shard};

/// The policy in force at a node and the newest one on its way.
///
/// A head comes into force only with all its shards, when the lists put together from them pass
/// [`Policy::check`]; until then the earlier one stays in force. Heads and shards may come from
/// any source in any order and more than once.
#[derive(Debug, Default, Clone)]
pub struct Replica {
    force: Option<Applied>,
    coming: Option<Head>,
    /// Shards of both heads by digest.
    shards: BTreeMap<Digest, Part>,
    /// Higher revisions than the one in force whose lists were refused.
    refused: BTreeSet<u64>,
}

/// A shard as read and in its stored form, which peers ask for.
#[derive(Debug, Clone)]
struct Part {
    shard: Arc<Shard>,
    bytes: Arc<[u8]>,
}

/// A policy in force.
#[derive(Debug, Clone)]
pub struct Applied {
    /// The head it was put together from.
    pub head: Head,
    /// Both lists.
    pub policy: Arc<Policy>,
}

/// Why a head or a shard was not taken in.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum ReplicaError {
    /// A head of this revision differs from the one that is known already.
    Forked {
        /// The revision.
        revision: u64,
    },
    /// The head names a higher revision and a lower term than the one that is known.
    TermDecreased {
        /// The revision.
        revision: u64,
        /// The head's term.
        term: u64,
    },
    /// The shard is not named by the head that is coming, so it is not needed.
    NotNeeded,
    /// The bytes do not match their digest or cannot be read.
    Corrupt {
        /// The digest that they were sent under.
        digest: Digest,
    },
    /// The lists do not pass their checks; the earlier policy stays in force.
    InvalidLists {
        /// The revision.
        revision: u64,
        /// The first fault found.
        error: ListError,
    },
}

impl Display for ReplicaError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Forked { revision } => {
                write!(f, "two heads of revision {revision} differ; the first one is kept")
            }
            Self::TermDecreased { revision, term } => {
                write!(f, "the head of revision {revision} has an earlier term, {term}")
            }
            Self::NotNeeded => f.write_str("the shard is not needed"),
            Self::Corrupt { digest } => write!(f, "the shard {digest} does not match its digest"),
            Self::InvalidLists { revision, error } => {
                write!(f, "the lists of revision {revision} do not pass their checks: {error}")
            }
        }
    }
}

impl std::error::Error for ReplicaError {}

impl Replica {
    /// Returns the policy in force.
    pub fn applied(&self) -> Option<&Applied> {
        self.force.as_ref()
    }

    /// Returns the revision in force, 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.force.as_ref().map_or(0, |applied| applied.head.revision)
    }

    /// Returns the newest head known, in force or coming.
    pub fn newest(&self) -> Option<&Head> {
        self.coming.as_ref().or(self.force.as_ref().map(|applied| &applied.head))
    }

    /// Returns the digests of the shards that the coming head still needs.
    pub fn missing(&self) -> BTreeSet<&Digest> {
        let named = self.coming.iter().flat_map(|head| head.shards.values());
        named
            .map(|shard| &shard.digest)
            .filter(|digest| !self.shards.contains_key(digest))
            .collect()
    }

    /// Returns the stored form of a shard that this replica holds, for a peer that asks.
    pub fn shard(&self, digest: &Digest) -> Option<Arc<[u8]>> {
        Some(self.shards.get(digest)?.bytes.clone())
    }

    /// Takes in a head from any source; returns true if a policy came into force by it.
    ///
    /// A head that is not newer than the newest one known changes nothing.
    ///
    /// # Errors
    /// Fails if the head contradicts what is known or its lists do not pass their checks.
    pub fn on_head(&mut self, head: &Head) -> Result<bool, ReplicaError> {
        if let Some(known) = self.newest() {
            check_order(known, head)?;
            if head.revision <= known.revision {
                return Ok(false);
            }
        }
        if self.refused.contains(&head.revision) || head.revision == 0 {
            return Ok(false);
        }
        self.coming = Some(head.clone());
        self.forget_unused();
        self.try_apply()
    }

    /// Takes in the stored form of a shard from any source; returns true if a policy came into
    /// force by it.
    ///
    /// # Errors
    /// Fails if the shard is not needed or corrupt, or the lists do not pass their checks.
    pub fn on_shard(&mut self, digest: &Digest, bytes: &[u8]) -> Result<bool, ReplicaError> {
        if !self.missing().contains(digest) {
            return Err(ReplicaError::NotNeeded);
        }
        let shard = Shard::decode(digest, bytes)
            .ok_or_else(|| ReplicaError::Corrupt { digest: digest.clone() })?;
        let part = Part { shard: Arc::new(shard), bytes: bytes.into() };
        self.shards.insert(digest.clone(), part);
        self.try_apply()
    }

    fn try_apply(&mut self) -> Result<bool, ReplicaError> {
        if !self.missing().is_empty() {
            return Ok(false);
        }
        let Some(head) = self.coming.take() else { return Ok(false) };
        let parts = head.shards.values().map(|shard| &*self.shards[&shard.digest].shard);
        let policy = Shard::join(parts);
        if let Err(error) = policy.check() {
            self.refused.insert(head.revision);
            self.forget_unused();
            return Err(ReplicaError::InvalidLists { revision: head.revision, error });
        }
        assert!(head.revision > self.revision(), "a policy in force must never go back");
        if let Some(force) = &self.force {
            assert!(head.term >= force.head.term, "the term in force must never go back");
        }
        self.refused.retain(|revision| *revision > head.revision);
        self.force = Some(Applied { head, policy: Arc::new(policy) });
        self.forget_unused();
        Ok(true)
    }

    /// Drops the shards that neither head names.
    fn forget_unused(&mut self) {
        let heads = self.coming.iter().chain(self.force.as_ref().map(|applied| &applied.head));
        let used: BTreeSet<&Digest> =
            heads.flat_map(|head| head.shards.values()).map(|shard| &shard.digest).collect();
        self.shards.retain(|digest, _| used.contains(digest));
    }
}

/// Checks that two heads can both have been the platform's.
fn check_order(known: &Head, head: &Head) -> Result<(), ReplicaError> {
    let revision = head.revision;
    if revision == known.revision && head != known {
        return Err(ReplicaError::Forked { revision });
    }
    let (earlier, later) = if revision < known.revision { (head, known) } else { (known, head) };
    if later.term < earlier.term {
        return Err(ReplicaError::TermDecreased { revision, term: head.term });
    }
    Ok(())
}
