//! The state machine of one edit of the policy, from reading the head to its outcome.
//!
//! It performs no I/O; a driver carries out its actions.

mod action;
mod refusal;
mod status;
mod successor;

pub use self::{
    action::{Action, Change, Outcome},
    refusal::Refusal,
    status::{EditStatus, edit_status},
};

use std::collections::{BTreeMap, VecDeque};

use super::{Digest, Head, Policy, SHARD_LIMIT_BYTES, Shard, ShardRef};

/// The number of recent edit ids that a head keeps. Once an id is evicted, the outcome of its edit
/// can no longer be determined.
pub const RECENT_EDIT_LIMIT: usize = 64;

/// The number of consecutive failed calls after which an edit ends.
const FAILURE_LIMIT: u32 = 6;

/// The version that the platform assigns to a stored object.
pub type Version = u64;

/// An edit in progress.
///
/// The driver carries out each [`Action`] and reports its result through the `on_` method that the
/// action names, or through [`Edit::on_failed`]. The method returns the next action, until
/// [`Action::Finish`]. An edit takes effect only by the conditional update of the head.
#[derive(Debug, Clone)]
pub struct Edit {
    id: String,
    author: String,
    change: Change,
    /// The revision that the edit must replace; `None` allows any.
    base: Option<u64>,
    /// The term when the edit first read the head.
    initial_term: Option<u64>,
    observed: ObservedHead,
    stage: Stage,
    /// Whether a write of the head that replaces `observed` may have taken effect or still may.
    head_write_in_doubt: bool,
    /// The number of consecutive failed calls.
    failures: u32,
}

/// A shard's digest and stored form.
type EncodedShard = (Digest, Vec<u8>);

/// A head's references to its shards, by key.
type ShardRefs = BTreeMap<String, ShardRef>;

/// The head that the edit is to replace and its version, `None` if the platform has none.
type ObservedHead = Option<(Version, Head)>;

#[derive(Debug, Clone)]
enum Stage {
    ListingShards,
    ReadingHead {
        listed: Vec<(Digest, Version)>,
    },
    WritingShards {
        remaining: VecDeque<EncodedShard>,
        next: Head,
    },
    WritingHead {
        next: Head,
        listed: Vec<(Digest, Version)>,
    },
    /// Reads the head after a conflict, to determine whether this edit's own earlier write of the
    /// head caused it.
    ResolvingConflict {
        listed: Vec<(Digest, Version)>,
    },
    DeletingShards {
        remaining: VecDeque<(Digest, Version)>,
        /// The revision that the edit created.
        revision: u64,
    },
    Finished,
}

impl Edit {
    /// Creates an edit; `id` must be unique among all edits ever made. With a `base`, the edit is
    /// refused unless it replaces exactly that revision.
    ///
    /// # Errors
    /// Fails, before anything is read or written, if the lists do not pass their checks, a shard
    /// exceeds the platform's limit, or the author or the next holder is not valid.
    pub fn new(
        id: impl Into<String>,
        author: impl Into<String>,
        change: Change,
        base: Option<u64>,
    ) -> Result<Self, Refusal> {
        let author = author.into();
        refusal::check_holder(&author)?;
        match &change {
            Change::Apply(policy) => check_lists(policy)?,
            Change::HandOver { next } => {
                refusal::check_holder(next)?;
                if *next == author {
                    return Err(Refusal::SameHolder { holder: author });
                }
            }
            Change::CollectGarbage => {}
        }
        let stage = match change {
            Change::CollectGarbage => Stage::ListingShards,
            _ => Stage::ReadingHead { listed: Vec::new() },
        };
        Ok(Self {
            id: id.into(),
            author,
            change,
            base,
            initial_term: None,
            observed: None,
            stage,
            head_write_in_doubt: false,
            failures: 0,
        })
    }

    /// Returns the edit's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the action to carry out now.
    ///
    /// # Panics
    /// Panics if the edit has finished.
    pub fn action(&self) -> Action {
        match &self.stage {
            Stage::ListingShards => Action::ListShards,
            Stage::ReadingHead { .. } | Stage::ResolvingConflict { .. } => Action::ReadHead,
            Stage::WritingShards { remaining, .. } => {
                let (digest, bytes) =
                    remaining.front().expect("a shard to write remains in this stage").clone();
                Action::PutShard { digest, bytes }
            }
            Stage::WritingHead { next, .. } => Action::PutHead {
                expect: self.observed.as_ref().map(|(version, _)| *version),
                bytes: next.encode(),
            },
            Stage::DeletingShards { remaining, .. } => {
                let (digest, version) =
                    remaining.front().expect("a shard to delete remains in this stage").clone();
                Action::DeleteShard { digest, version }
            }
            Stage::Finished => panic!("a finished edit has no further action"),
        }
    }

    /// Reports the digests and versions of all stored shards.
    pub fn on_listed(&mut self, listed: Vec<(Digest, Version)>) -> Action {
        assert!(matches!(self.stage, Stage::ListingShards), "the shards were listed unexpectedly");
        self.enter(Stage::ReadingHead { listed })
    }

    /// Reports the current head, or `None` if there is none.
    pub fn on_head(&mut self, head: Option<(Version, Head)>) -> Action {
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::ReadingHead { listed } => self.prepare(head, listed),
            Stage::ResolvingConflict { listed } => self.resolve_conflict(head, listed),
            stage => panic!("the head was read unexpectedly in {stage:?}"),
        }
    }

    /// Reports that a write or deletion took effect.
    pub fn on_written(&mut self) -> Action {
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::WritingShards { mut remaining, next } => {
                remaining.pop_front();
                self.write_next_shard(remaining, next)
            }
            Stage::WritingHead { next, listed } => self.handle_accepted(&next, listed),
            Stage::DeletingShards { remaining, revision } => self.delete_next(remaining, revision),
            stage => panic!("unexpected write in {stage:?}"),
        }
    }

    /// Reports that the condition of a write or deletion did not hold.
    pub fn on_conflict(&mut self) -> Action {
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::WritingHead { listed, .. } => self.enter(Stage::ResolvingConflict { listed }),
            // Another edit has written the shard again and its head may name it.
            Stage::DeletingShards { remaining, revision } => self.delete_next(remaining, revision),
            stage => panic!("unexpected conflict in {stage:?}"),
        }
    }

    /// Reports that a call failed; `in_doubt` is true if its write may have taken effect.
    pub fn on_failed(&mut self, in_doubt: bool) -> Action {
        if matches!(self.stage, Stage::WritingHead { .. }) {
            self.head_write_in_doubt |= in_doubt;
        }
        self.failures += 1;
        if self.failures < FAILURE_LIMIT {
            return Action::Backoff { failures: self.failures };
        }
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            // The head was accepted; the next garbage collection deletes the remaining shards.
            Stage::DeletingShards { revision, .. } => {
                Action::Finish(Outcome::Accepted { revision })
            }
            _ if self.head_write_in_doubt => self.finish_undecided(),
            _ => Action::Finish(Outcome::Unreachable),
        }
    }

    /// Reports that the delay of [`Action::Backoff`] has passed.
    pub fn on_backoff_elapsed(&mut self) -> Action {
        self.action()
    }

    /// Checks the edit against the head just read and starts to write.
    fn prepare(&mut self, head: ObservedHead, listed: Vec<(Digest, Version)>) -> Action {
        assert!(
            !self.head_write_in_doubt,
            "an edit must not write another head while an earlier write is in doubt"
        );
        self.observed = head;
        if let Err(refusal) = self.check_allowed() {
            return Action::Finish(Outcome::Refused(refusal));
        }
        let mut next = self.successor();
        match &self.change {
            Change::HandOver { next: holder } => {
                next.term += 1;
                next.holder.clone_from(holder);
                self.write_head(next, listed)
            }
            Change::CollectGarbage => self.write_head(next, listed),
            Change::Apply(policy) => {
                let (refs, shards) = encode_shards(policy);
                next.shards = refs;
                if let Some((_, head)) = &self.observed
                    && head.shards == next.shards
                {
                    return Action::Finish(Outcome::Unchanged { revision: head.revision });
                }
                let remaining = self.shards_to_write(shards);
                self.write_next_shard(remaining, next)
            }
        }
    }

    /// Checks that the author holds the edit right, that the term is the one that the edit observed
    /// first, and that the head is at the edit's base revision, if it has one.
    fn check_allowed(&mut self) -> Result<(), Refusal> {
        let Some((_, head)) = &self.observed else {
            let stale_base = self.base.filter(|base| *base != 0);
            return match (&self.change, stale_base) {
                (_, Some(base)) => Err(Refusal::StaleBase { base, revision: 0 }),
                (Change::Apply(_), None) => Ok(()),
                _ => Err(Refusal::NoPolicy),
            };
        };
        if head.holder != self.author {
            let (holder, term) = (head.holder.clone(), head.term);
            return Err(Refusal::NotHolder { author: self.author.clone(), holder, term });
        }
        let initial = *self.initial_term.get_or_insert(head.term);
        if initial != head.term {
            return Err(Refusal::TermChanged { initial, term: head.term });
        }
        match self.base {
            Some(base) if base != head.revision => {
                Err(Refusal::StaleBase { base, revision: head.revision })
            }
            _ => Ok(()),
        }
    }

    /// Returns the head that follows the observed one, with the same lists.
    fn successor(&self) -> Head {
        let mut next = match &self.observed {
            Some((_, head)) => head.clone(),
            None => Head { term: 1, holder: self.author.clone(), ..Head::default() },
        };
        next.revision += 1;
        next.edits.push(self.id.clone());
        let excess = next.edits.len().saturating_sub(RECENT_EDIT_LIMIT);
        next.edits.drain(..excess);
        next
    }

    /// Returns the shards that the observed head does not name.
    fn shards_to_write(&self, shards: Vec<EncodedShard>) -> VecDeque<EncodedShard> {
        let named = |digest: &Digest| {
            let head = self.observed.as_ref().map(|(_, head)| head);
            head.is_some_and(|head| head.shards.values().any(|shard| shard.digest == *digest))
        };
        shards.into_iter().filter(|(digest, _)| !named(digest)).collect()
    }

    fn write_next_shard(&mut self, remaining: VecDeque<EncodedShard>, next: Head) -> Action {
        if remaining.is_empty() {
            return self.write_head(next, Vec::new());
        }
        self.enter(Stage::WritingShards { remaining, next })
    }

    fn write_head(&mut self, next: Head, listed: Vec<(Digest, Version)>) -> Action {
        let observed = self.observed.as_ref().map(|(_, head)| head);
        successor::assert_successor(observed, &next, &self.author, &self.id);
        self.enter(Stage::WritingHead { next, listed })
    }

    fn resolve_conflict(&mut self, head: ObservedHead, listed: Vec<(Digest, Version)>) -> Action {
        let base = self.observed_revision();
        match edit_status(head.as_ref().map(|(_, head)| head), &self.id, base) {
            EditStatus::Accepted { revision } => {
                let (_, current) = head.expect("a head that lists the edit exists");
                self.handle_accepted_earlier(revision, &current, listed)
            }
            EditStatus::NotAccepted => {
                self.head_write_in_doubt = false;
                self.rebase(head, listed)
            }
            EditStatus::Pending | EditStatus::IdEvicted => self.finish_undecided(),
        }
    }

    /// Handles an edit whose earlier write of the head took effect; other edits may have followed.
    fn handle_accepted_earlier(
        &mut self,
        revision: u64,
        current: &Head,
        listed: Vec<(Digest, Version)>,
    ) -> Action {
        if revision == current.revision {
            return self.handle_accepted(current, listed);
        }
        // Later edits may name shards that were unused, so deletion is left to the next garbage
        // collection.
        Action::Finish(Outcome::Accepted { revision })
    }

    /// Continues on the new head after another edit was accepted first.
    fn rebase(&mut self, head: ObservedHead, listed: Vec<(Digest, Version)>) -> Action {
        let base = self.observed_revision();
        let revision = head.as_ref().map_or(0, |(_, head)| head.revision);
        if matches!(self.change, Change::Apply(_)) && self.base.is_none() {
            // These lists were written without the other edit and would revert it.
            self.base = Some(base);
        }
        assert!(
            revision > base,
            "the revision must have increased if another edit was accepted first"
        );
        self.prepare(head, listed)
    }

    /// Deletes the listed shards that the accepted head does not name.
    fn handle_accepted(&mut self, head: &Head, listed: Vec<(Digest, Version)>) -> Action {
        let named = |digest: &Digest| head.shards.values().any(|shard| shard.digest == *digest);
        let remaining: VecDeque<_> =
            listed.into_iter().filter(|(digest, _)| !named(digest)).collect();
        let revision = head.revision;
        if remaining.is_empty() {
            return Action::Finish(Outcome::Accepted { revision });
        }
        self.enter(Stage::DeletingShards { remaining, revision })
    }

    fn delete_next(&mut self, mut remaining: VecDeque<(Digest, Version)>, revision: u64) -> Action {
        remaining.pop_front();
        if remaining.is_empty() {
            return Action::Finish(Outcome::Accepted { revision });
        }
        self.enter(Stage::DeletingShards { remaining, revision })
    }

    fn enter(&mut self, stage: Stage) -> Action {
        self.failures = 0;
        self.stage = stage;
        self.action()
    }

    fn finish_undecided(&mut self) -> Action {
        self.stage = Stage::Finished;
        Action::Finish(Outcome::Undecided { id: self.id.clone(), base: self.observed_revision() })
    }

    fn observed_revision(&self) -> u64 {
        self.observed.as_ref().map_or(0, |(_, head)| head.revision)
    }
}

fn check_lists(policy: &Policy) -> Result<(), Refusal> {
    policy.check().map_err(Refusal::InvalidLists)?;
    for (key, shard) in Shard::split(policy) {
        let bytes = shard.encode().1.len();
        if bytes > SHARD_LIMIT_BYTES {
            return Err(Refusal::ShardTooLarge { key, bytes });
        }
    }
    Ok(())
}

/// Encodes the shards of a policy, and returns the references to them and their stored forms.
fn encode_shards(policy: &Policy) -> (ShardRefs, Vec<EncodedShard>) {
    let mut refs = BTreeMap::new();
    let mut shards = Vec::new();
    for (key, shard) in Shard::split(policy) {
        let (digest, bytes) = shard.encode();
        refs.insert(key, ShardRef { digest: digest.clone(), bytes: bytes.len() as u64 });
        shards.push((digest, bytes));
    }
    (refs, shards)
}
