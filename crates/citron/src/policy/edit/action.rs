//! The changes an edit can make, the actions it requires of its driver, and its outcomes.

use super::{Refusal, Version};
use crate::policy::{Digest, Policy};

/// The change that an edit makes.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Replaces both lists; creates the first head on an empty platform.
    Apply(Policy),
    /// Hands the edit right to the next holder.
    HandOver {
        /// The next holder.
        next: String,
    },
    /// Deletes the shards that the head does not name. It first writes a head with the same lists,
    /// so that the conditional update of an edit that started earlier, and may rely on such a
    /// shard, fails.
    CollectGarbage,
}

/// The next call that the driver carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// List the shards, then call [`super::Edit::on_listed`].
    ListShards,
    /// Read the head, then call [`super::Edit::on_head`].
    ReadHead,
    /// Write a shard unconditionally, then call [`super::Edit::on_written`].
    PutShard {
        /// The object's name.
        digest: Digest,
        /// The stored form.
        bytes: Vec<u8>,
    },
    /// Write the head if it has the expected version, or does not exist for `None`, then call
    /// [`super::Edit::on_written`] or [`super::Edit::on_conflict`].
    PutHead {
        /// The version that must be current.
        expect: Option<Version>,
        /// The stored form.
        bytes: Vec<u8>,
    },
    /// Delete a shard if it has this version, then call [`super::Edit::on_written`] or
    /// [`super::Edit::on_conflict`].
    DeleteShard {
        /// The object's name.
        digest: Digest,
        /// The version that must be current.
        version: Version,
    },
    /// Wait, longer after each failure, then call [`super::Edit::on_backoff_elapsed`].
    Backoff {
        /// The number of consecutive failures, at least 1.
        failures: u32,
    },
    /// The edit has ended.
    Finish(Outcome),
}

/// How an edit ended.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Outcome {
    /// The edit was accepted.
    Accepted {
        /// The revision that it created.
        revision: u64,
    },
    /// The lists equal the current ones; nothing was written.
    Unchanged {
        /// The revision that has them.
        revision: u64,
    },
    /// The edit was refused and did not take effect.
    Refused(Refusal),
    /// The platform could not be reached before the head was written; nothing took effect.
    Unreachable,
    /// The write of the head may have taken effect, and it is not known whether it did.
    Undecided {
        /// The edit's id, which the head lists if the edit was accepted.
        id: String,
        /// The revision that the edit was to replace.
        base: u64,
    },
}
