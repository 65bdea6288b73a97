//! One operator's edit of the policy, from reading the head to knowing whether it was accepted.

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

/// The number of recent edit ids that a head keeps.
pub const RECENT_EDIT_LIMIT: usize = 64;

/// The calls that may fail in a row before an edit gives up.
const FAILURE_LIMIT: u32 = 6;

/// The version of an object as the platform counts it.
pub type Version = u64;

/// An edit on its way.
///
/// The driver carries out each [`Action`] and reports its result by the `on_` function that the
/// action names, which returns the next action, until [`Action::Finish`]. The only write that
/// accepts an edit is the conditional update of the head.
#[derive(Debug, Clone)]
pub struct Edit {
    id: String,
    author: String,
    change: Change,
    base: Option<u64>,
    /// The term in which the author began.
    term: Option<u64>,
    seen: Seen,
    stage: Stage,
    /// Whether a write of the head on `seen` may still take effect or may have done so.
    sent: bool,
    failures: u32,
}

/// A shard's digest and stored form.
type Stored = (Digest, Vec<u8>);

/// The references of a head to its shards, by key.
type References = BTreeMap<String, ShardRef>;

/// The head that the edit is to replace, `None` on an empty platform.
type Seen = Option<(Version, Head)>;

#[derive(Debug, Clone)]
enum Stage {
    Listing,
    Reading {
        listed: Vec<(Digest, Version)>,
    },
    Shards {
        left: VecDeque<Stored>,
        next: Head,
    },
    Head {
        next: Head,
        listed: Vec<(Digest, Version)>,
    },
    /// Reads the head after a conflict, to see whether an earlier write caused it.
    Deciding {
        listed: Vec<(Digest, Version)>,
    },
    Deleting {
        left: VecDeque<(Digest, Version)>,
        accepted: u64,
    },
    Finished,
}

impl Edit {
    /// Opens an edit; `id` must be unique over all edits ever made. With a `base`, the edit is
    /// refused unless it replaces just that revision.
    ///
    /// # Errors
    /// Refuses lists that do not pass their checks, shards over the platform's limit and bad names
    /// before anything is read or written.
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
            Change::CollectGarbage => Stage::Listing,
            _ => Stage::Reading { listed: Vec::new() },
        };
        Ok(Self {
            id: id.into(),
            author,
            change,
            base,
            term: None,
            seen: None,
            stage,
            sent: false,
            failures: 0,
        })
    }

    /// Returns the edit's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the action to carry out now.
    pub fn action(&self) -> Action {
        match &self.stage {
            Stage::Listing => Action::ListShards,
            Stage::Reading { .. } | Stage::Deciding { .. } => Action::ReadHead,
            Stage::Shards { left, .. } => {
                let (digest, bytes) = left.front().expect("a stage of shards has one left").clone();
                Action::PutShard { digest, bytes }
            }
            Stage::Head { next, .. } => Action::PutHead {
                expect: self.seen.as_ref().map(|(version, _)| *version),
                bytes: next.encode(),
            },
            Stage::Deleting { left, .. } => {
                let (digest, version) =
                    left.front().expect("a stage of deletions has one left").clone();
                Action::DeleteShard { digest, version }
            }
            Stage::Finished => panic!("a finished edit has no further action"),
        }
    }

    /// Takes in the names and versions of all shards.
    pub fn on_listed(&mut self, listed: Vec<(Digest, Version)>) -> Action {
        assert!(matches!(self.stage, Stage::Listing), "the shards were not to be listed");
        self.proceed(Stage::Reading { listed })
    }

    /// Takes in the head, or `None` if there is none.
    pub fn on_head(&mut self, head: Option<(Version, Head)>) -> Action {
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Reading { listed } => self.prepare(head, listed),
            Stage::Deciding { listed } => self.decide(head, listed),
            stage => panic!("the head was not to be read at {stage:?}"),
        }
    }

    /// Takes in that a write or deletion took effect.
    pub fn on_written(&mut self) -> Action {
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Shards { mut left, next } => {
                left.pop_front();
                self.write_next(left, next)
            }
            Stage::Head { next, listed } => self.accept(&next, listed),
            Stage::Deleting { left, accepted } => self.delete_next(left, accepted),
            stage => panic!("nothing was to be written at {stage:?}"),
        }
    }

    /// Takes in that the condition of a write or deletion did not hold.
    pub fn on_conflict(&mut self) -> Action {
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            Stage::Head { listed, .. } => self.proceed(Stage::Deciding { listed }),
            // Another edit has written the shard again and may count on it.
            Stage::Deleting { left, accepted } => self.delete_next(left, accepted),
            stage => panic!("no condition was set at {stage:?}"),
        }
    }

    /// Takes in that a call failed; `sent` is true if a write may have taken effect.
    pub fn on_failed(&mut self, sent: bool) -> Action {
        if matches!(self.stage, Stage::Head { .. }) {
            self.sent |= sent;
        }
        self.failures += 1;
        if self.failures < FAILURE_LIMIT {
            return Action::Backoff { failures: self.failures };
        }
        match std::mem::replace(&mut self.stage, Stage::Finished) {
            // The head was accepted; what is left over stays for the next sweep.
            Stage::Deleting { accepted, .. } => {
                Action::Finish(Outcome::Accepted { revision: accepted })
            }
            _ if self.sent => self.give_up(),
            _ => Action::Finish(Outcome::Unreachable),
        }
    }

    /// Goes on after a pause.
    pub fn on_backoff_elapsed(&mut self) -> Action {
        self.action()
    }

    fn prepare(&mut self, head: Seen, listed: Vec<(Digest, Version)>) -> Action {
        assert!(!self.sent, "a head must not be replaced while an earlier write may take effect");
        self.seen = head;
        if let Err(refusal) = self.check_right() {
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
                let (shards, bytes) = encode(policy);
                next.shards = shards;
                if let Some((_, head)) = &self.seen
                    && head.shards == next.shards
                {
                    return Action::Finish(Outcome::Unchanged { revision: head.revision });
                }
                let left = self.unwritten(bytes);
                self.write_next(left, next)
            }
        }
    }

    /// Checks that the author holds the final say in the term that it saw first.
    fn check_right(&mut self) -> Result<(), Refusal> {
        let Some((_, head)) = &self.seen else {
            let overtaken = self.base.filter(|base| *base != 0);
            return match (&self.change, overtaken) {
                (_, Some(base)) => Err(Refusal::StaleBase { base, revision: 0 }),
                (Change::Apply(_), None) => Ok(()),
                _ => Err(Refusal::NoPolicy),
            };
        };
        if head.holder != self.author {
            let (holder, term) = (head.holder.clone(), head.term);
            return Err(Refusal::NotHolder { author: self.author.clone(), holder, term });
        }
        let initial = *self.term.get_or_insert(head.term);
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

    /// Returns the head that follows the one seen, with the same lists.
    fn successor(&self) -> Head {
        let mut next = match &self.seen {
            Some((_, head)) => head.clone(),
            None => Head { term: 1, holder: self.author.clone(), ..Head::default() },
        };
        next.revision += 1;
        next.edits.push(self.id.clone());
        let excess = next.edits.len().saturating_sub(RECENT_EDIT_LIMIT);
        next.edits.drain(..excess);
        next
    }

    /// Returns the shards that the head seen does not name.
    fn unwritten(&self, shards: Vec<Stored>) -> VecDeque<Stored> {
        let named = |digest: &Digest| {
            let head = self.seen.as_ref().map(|(_, head)| head);
            head.is_some_and(|head| head.shards.values().any(|shard| shard.digest == *digest))
        };
        shards.into_iter().filter(|(digest, _)| !named(digest)).collect()
    }

    fn write_next(&mut self, left: VecDeque<Stored>, next: Head) -> Action {
        if left.is_empty() {
            return self.write_head(next, Vec::new());
        }
        self.proceed(Stage::Shards { left, next })
    }

    fn write_head(&mut self, next: Head, listed: Vec<(Digest, Version)>) -> Action {
        let seen = self.seen.as_ref().map(|(_, head)| head);
        successor::assert_successor(seen, &next, &self.author, &self.id);
        self.proceed(Stage::Head { next, listed })
    }

    fn decide(&mut self, head: Seen, listed: Vec<(Digest, Version)>) -> Action {
        let base = self.seen_revision();
        match edit_status(head.as_ref().map(|(_, head)| head), &self.id, base) {
            EditStatus::Accepted { revision } => {
                let (_, now) = head.expect("a head that lists the edit exists");
                self.accept_late(revision, &now, listed)
            }
            EditStatus::NotAccepted => {
                self.sent = false;
                self.begin_again(head, listed)
            }
            EditStatus::Pending | EditStatus::IdEvicted => self.give_up(),
        }
    }

    /// Ends an edit whose accepted head was seen only later, perhaps under later edits.
    fn accept_late(&mut self, revision: u64, now: &Head, listed: Vec<(Digest, Version)>) -> Action {
        if revision == now.revision {
            return self.accept(now, listed);
        }
        // Later edits may name what was unused; what is left over stays for the next sweep.
        Action::Finish(Outcome::Accepted { revision })
    }

    /// Goes on after another edit was accepted first.
    fn begin_again(&mut self, head: Seen, listed: Vec<(Digest, Version)>) -> Action {
        let base = self.seen_revision();
        let revision = head.as_ref().map_or(0, |(_, head)| head.revision);
        if matches!(self.change, Change::Apply(_)) && self.base.is_none() {
            // Its lists were made without knowledge of the other edit and would revert it.
            self.base = Some(base);
        }
        assert!(revision > base, "an edit that was overtaken must see a higher revision");
        self.prepare(head, listed)
    }

    fn accept(&mut self, head: &Head, listed: Vec<(Digest, Version)>) -> Action {
        let named = |digest: &Digest| head.shards.values().any(|shard| shard.digest == *digest);
        let left: VecDeque<_> = listed.into_iter().filter(|(digest, _)| !named(digest)).collect();
        let accepted = head.revision;
        if left.is_empty() {
            return Action::Finish(Outcome::Accepted { revision: accepted });
        }
        self.proceed(Stage::Deleting { left, accepted })
    }

    fn delete_next(&mut self, mut left: VecDeque<(Digest, Version)>, accepted: u64) -> Action {
        left.pop_front();
        if left.is_empty() {
            return Action::Finish(Outcome::Accepted { revision: accepted });
        }
        self.proceed(Stage::Deleting { left, accepted })
    }

    fn proceed(&mut self, stage: Stage) -> Action {
        self.failures = 0;
        self.stage = stage;
        self.action()
    }

    fn give_up(&mut self) -> Action {
        self.stage = Stage::Finished;
        Action::Finish(Outcome::Undecided { id: self.id.clone(), base: self.seen_revision() })
    }

    fn seen_revision(&self) -> u64 {
        self.seen.as_ref().map_or(0, |(_, head)| head.revision)
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

/// Returns the references of a policy's shards by key, and their stored forms.
fn encode(policy: &Policy) -> (References, Vec<Stored>) {
    let mut shards = BTreeMap::new();
    let mut stored = Vec::new();
    for (key, shard) in Shard::split(policy) {
        let (digest, bytes) = shard.encode();
        shards.insert(key, ShardRef { digest: digest.clone(), bytes: bytes.len() as u64 });
        stored.push((digest, bytes));
    }
    (shards, stored)
}
