//! A node's replica of the policy. Its revision never decreases.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Formatter},
    sync::Arc,
};

use super::{Digest, Error as ListError, Head, Policy, Shard};

/// The policy in force at a node, and the newest head whose shards are still incomplete.
///
/// A head comes into force once all its shards are present and the lists joined from them pass
/// [`Policy::check`]; until then the previous policy stays in force. Heads and shards may arrive
/// from any source, in any order and repeatedly.
#[derive(Debug, Default, Clone)]
pub struct Replica {
    applied: Option<Applied>,
    pending: Option<Head>,
    /// Shards of the applied and the pending head, by digest.
    shards: BTreeMap<Digest, StoredShard>,
    /// Revisions above the one in force whose lists were invalid; they are not fetched again.
    invalid: BTreeSet<u64>,
}

/// A decoded shard and its stored form, which is sent to peers on request.
#[derive(Debug, Clone)]
struct StoredShard {
    shard: Arc<Shard>,
    bytes: Arc<[u8]>,
}

/// A policy in force.
#[derive(Debug, Clone)]
pub struct Applied {
    /// The head that names its shards.
    pub head: Head,
    /// Both lists.
    pub policy: Arc<Policy>,
}

/// Why a replica rejected a head or a shard.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum ReplicaError {
    /// The head differs from a known head of the same revision.
    Forked {
        /// The revision.
        revision: u64,
    },
    /// The terms of this head and the known one are not in the order of their revisions.
    TermDecreased {
        /// The revision.
        revision: u64,
        /// The head's term.
        term: u64,
    },
    /// The shard is not missing: the pending head does not name it, or it is already present.
    NotNeeded,
    /// The bytes do not match their digest or cannot be decoded.
    Corrupt {
        /// The digest under which the shard was sent.
        digest: Digest,
    },
    /// The lists do not pass their checks; the previous policy stays in force.
    InvalidLists {
        /// The revision.
        revision: u64,
        /// The first error found.
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
        self.applied.as_ref()
    }

    /// Returns the revision in force, 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.applied.as_ref().map_or(0, |applied| applied.head.revision)
    }

    /// Returns the newest known head, pending or in force.
    pub fn newest(&self) -> Option<&Head> {
        self.pending.as_ref().or(self.applied.as_ref().map(|applied| &applied.head))
    }

    /// Returns the digests of the pending head's missing shards.
    pub fn missing(&self) -> BTreeSet<&Digest> {
        let refs = self.pending.iter().flat_map(|head| head.shards.values());
        refs.map(|shard| &shard.digest).filter(|digest| !self.shards.contains_key(digest)).collect()
    }

    /// Returns the stored form of a shard that this replica holds, to be sent to a peer.
    pub fn shard(&self, digest: &Digest) -> Option<Arc<[u8]>> {
        Some(self.shards.get(digest)?.bytes.clone())
    }

    /// Processes a head from any source; returns true if it brought a policy into force.
    ///
    /// A head that is not newer than the newest known one changes nothing.
    ///
    /// # Errors
    /// Fails if the head contradicts the newest known one, or its lists do not pass their checks.
    pub fn on_head(&mut self, head: &Head) -> Result<bool, ReplicaError> {
        if let Some(known) = self.newest() {
            check_order(known, head)?;
            if head.revision <= known.revision {
                return Ok(false);
            }
        }
        if self.invalid.contains(&head.revision) || head.revision == 0 {
            return Ok(false);
        }
        self.pending = Some(head.clone());
        self.drop_unused_shards();
        self.try_apply()
    }

    /// Processes the stored form of a shard from any source; returns true if it brought a policy
    /// into force.
    ///
    /// # Errors
    /// Fails if the shard is not missing or is corrupt, or the lists do not pass their checks.
    pub fn on_shard(&mut self, digest: &Digest, bytes: &[u8]) -> Result<bool, ReplicaError> {
        if !self.missing().contains(digest) {
            return Err(ReplicaError::NotNeeded);
        }
        let shard = Shard::decode(digest, bytes)
            .ok_or_else(|| ReplicaError::Corrupt { digest: digest.clone() })?;
        let stored = StoredShard { shard: Arc::new(shard), bytes: bytes.into() };
        self.shards.insert(digest.clone(), stored);
        self.try_apply()
    }

    fn try_apply(&mut self) -> Result<bool, ReplicaError> {
        if !self.missing().is_empty() {
            return Ok(false);
        }
        let Some(head) = self.pending.take() else { return Ok(false) };
        let shards = head.shards.values().map(|shard| &*self.shards[&shard.digest].shard);
        let policy = Shard::join(shards);
        if let Err(error) = policy.check() {
            self.invalid.insert(head.revision);
            self.drop_unused_shards();
            return Err(ReplicaError::InvalidLists { revision: head.revision, error });
        }
        assert!(head.revision > self.revision(), "the revision in force must increase");
        if let Some(applied) = &self.applied {
            assert!(head.term >= applied.head.term, "the term in force must not decrease");
        }
        self.invalid.retain(|revision| *revision > head.revision);
        self.applied = Some(Applied { head, policy: Arc::new(policy) });
        self.drop_unused_shards();
        Ok(true)
    }

    /// Drops the shards that neither the pending nor the applied head names.
    fn drop_unused_shards(&mut self) {
        let heads = self.pending.iter().chain(self.applied.as_ref().map(|applied| &applied.head));
        let used: BTreeSet<&Digest> =
            heads.flat_map(|head| head.shards.values()).map(|shard| &shard.digest).collect();
        self.shards.retain(|digest, _| used.contains(digest));
    }
}

/// Checks that two heads can belong to one history: the same revision means the same head, and a
/// later revision has no lower term.
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
