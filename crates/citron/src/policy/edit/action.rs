//! What an edit asks of its driver, and how it ends.

use super::{Refusal, Version};
use crate::policy::{Digest, Policy};

/// What an edit does.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Replaces both lists; creates the first head on an empty platform.
    Apply(Policy),
    /// Hands the final say to the next holder.
    HandOver {
        /// The next holder.
        next: String,
    },
    /// Deletes shards that no head names. It accepts a head with the same lists, so that an edit
    /// begun before, which may count on such a shard, is overtaken.
    CollectGarbage,
}

/// What the driver is to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// List the shards, then call [`super::Edit::on_listed`].
    ListShards,
    /// Read the head, then call [`super::Edit::on_head`].
    ReadHead,
    /// Write a shard without condition, then call [`super::Edit::on_written`].
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
    /// Wait a while, then call [`super::Edit::on_backoff_elapsed`].
    Backoff {
        /// Counts the failures in a row, from 1.
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
        /// As this revision.
        revision: u64,
    },
    /// The lists are the accepted ones already; nothing was written.
    Unchanged {
        /// The revision that has them.
        revision: u64,
    },
    /// The edit was refused and did not take effect.
    Refused(Refusal),
    /// The platform could not be reached before the head was written; nothing took effect.
    Unreachable,
    /// The head's write may have taken effect and what would tell is not known.
    Undecided {
        /// The edit's id, which an accepted head lists.
        id: String,
        /// The revision that the edit was to replace.
        base: u64,
    },
}
