//! The state machine that decides the claims of one bucket.

use std::{mem, time::Duration};

use super::{CLOCK_SKEW, Table};

/// How long a claim may wait before it ends as undecided.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// The minimum time between two writes of a bucket.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of claims in one write.
const MAX_BATCH_CLAIMS: usize = 512;
/// The maximum number of waiting claims; further ones end as undecided at once.
const MAX_WAITING_CLAIMS: usize = 4096;

/// The decision on a claim.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum Decision {
    /// The owner may run the request.
    Granted,
    /// Another attempt owns the key.
    Taken,
    /// The claim was not decided; the request must not be run.
    Undecided,
}

/// What the driver of the bucket must do.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Action {
    /// Read the bucket's object.
    Read,
    /// Write the bucket's object, on condition of its version.
    Write {
        /// The new value of the object.
        value: Vec<u8>,
        /// The version that the object must have; `None` if it must not exist.
        expect: Option<u64>,
    },
    /// Respond to the claimant.
    Respond {
        /// The number that the claim was given in [`Bucket::claim`].
        ticket: u64,
        /// The decision on the claim.
        decision: Decision,
    },
}

/// The result of [`Action::Read`].
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum ReadResult {
    /// The object's version and value.
    Found(u64, Vec<u8>),
    /// There is no object.
    Absent,
    /// The platform did not respond.
    Failed,
}

/// The result of [`Action::Write`].
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum WriteResult {
    /// The write took effect and gave the object this version.
    Done(u64),
    /// The condition did not hold.
    Conflict,
    /// The write may have taken effect, or may take effect later.
    Unknown,
    /// The write did not take effect.
    Failed,
}

#[derive(Debug, Clone)]
struct Claim {
    ticket: u64,
    digest: String,
    owner: String,
    deadline: Duration,
}

#[derive(Debug, Clone)]
enum State {
    Idle,
    Reading,
    /// The table that is being written, and the claims that this write decides.
    Writing(Table, Vec<Claim>),
}

/// The claims of one bucket, as one member decides them.
#[derive(Debug, Clone)]
pub struct Bucket {
    waiting: Vec<Claim>,
    state: State,
    /// The object as last read or written; its version is `None` if it does not exist.
    cached: Option<(Option<u64>, Table)>,
    /// The claims that the object is known to have held; a platform that comes back from an older
    /// copy has lost some of them.
    known: Table,
    /// Whether the object lacks known claims, so that it must be written again.
    must_restore: bool,
    next_write: Duration,
}

impl Default for Bucket {
    fn default() -> Self {
        Self::new()
    }
}

impl Bucket {
    /// Creates a bucket whose object was not read yet.
    pub fn new() -> Self {
        Self {
            waiting: Vec::new(),
            state: State::Idle,
            cached: None,
            known: Table::default(),
            must_restore: false,
            next_write: Duration::ZERO,
        }
    }

    /// Returns true if no claim waits and no read or write is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && !self.must_restore && matches!(self.state, State::Idle)
    }

    /// Adds a claim of a key by an owner; an [`Action::Respond`] with this ticket decides it.
    pub fn claim(
        &mut self,
        ticket: u64,
        digest: &str,
        owner: &str,
        now: Duration,
        wall_ms: u64,
    ) -> Vec<Action> {
        if self.waiting.len() >= MAX_WAITING_CLAIMS {
            return vec![Action::Respond { ticket, decision: Decision::Undecided }];
        }
        self.waiting.push(Claim {
            ticket,
            digest: digest.to_owned(),
            owner: owner.to_owned(),
            deadline: now + CLAIM_TIMEOUT,
        });
        self.advance(now, wall_ms)
    }

    /// Handles the result of [`Action::Read`].
    pub fn handle_read(&mut self, result: ReadResult, now: Duration, wall_ms: u64) -> Vec<Action> {
        assert!(
            matches!(self.state, State::Reading),
            "a read result arrived, but no read is in flight"
        );
        self.state = State::Idle;
        self.cached = match result {
            ReadResult::Found(version, bytes) => {
                Table::decode(&bytes).map(|table| (Some(version), table))
            }
            ReadResult::Absent => Some((None, Table::default())),
            ReadResult::Failed => None,
        };
        let Some((_, table)) = &mut self.cached else { return self.give_up_waiting() };
        // Another member may have removed them already by its own clock.
        self.known.remove_expired(wall_ms + CLOCK_SKEW.as_millis() as u64);
        self.must_restore = table.merge(&self.known);
        self.known = table.clone();
        self.advance(now, wall_ms)
    }

    /// Handles the result of [`Action::Write`].
    pub fn handle_write(
        &mut self,
        result: WriteResult,
        now: Duration,
        wall_ms: u64,
    ) -> Vec<Action> {
        let State::Writing(table, batch) = mem::replace(&mut self.state, State::Idle) else {
            panic!("a write result arrived, but no write is in flight");
        };
        match result {
            WriteResult::Done(version) => {
                let mut actions = Vec::new();
                for claim in batch {
                    actions.push(grant(&table, &claim));
                }
                self.must_restore = false;
                self.known = table.clone();
                self.cached = Some((Some(version), table));
                actions.extend(self.advance(now, wall_ms));
                actions
            }
            // Reading the object again shows whether the write took effect: the table names the
            // owner.
            WriteResult::Conflict | WriteResult::Unknown => {
                self.cached = None;
                self.waiting.splice(0..0, batch);
                self.next_write = now;
                self.advance(now, wall_ms)
            }
            WriteResult::Failed => {
                self.cached = None;
                self.waiting.splice(0..0, batch);
                self.give_up_waiting()
            }
        }
    }

    /// Advances time: ends claims that waited too long, and starts a read or write if needed.
    pub fn tick(&mut self, now: Duration, wall_ms: u64) -> Vec<Action> {
        self.advance(now, wall_ms)
    }

    fn advance(&mut self, now: Duration, wall_ms: u64) -> Vec<Action> {
        let mut actions = self.expire_waiting(now);
        if !matches!(self.state, State::Idle) || self.is_idle() {
            return actions;
        }
        let Some((version, table)) = &self.cached else {
            self.state = State::Reading;
            actions.push(Action::Read);
            return actions;
        };
        let (version, mut table) = (*version, table.clone());
        table.remove_expired(wall_ms);
        actions.extend(self.resolve_from_cache(&table));
        if self.is_idle() || now < self.next_write {
            return actions;
        }
        let batch = self.take_batch(&mut table, wall_ms, &mut actions);
        if batch.is_empty() && !self.must_restore {
            return actions;
        }
        self.next_write = now + WRITE_INTERVAL;
        actions.push(Action::Write { value: table.encode(), expect: version });
        self.state = State::Writing(table, batch);
        actions
    }

    /// Responds to the claims that the cached table decides: an entry stays in the stored table for
    /// as long as it may matter.
    fn resolve_from_cache(&mut self, table: &Table) -> Vec<Action> {
        let mut actions = Vec::new();
        self.waiting.retain(|claim| match table.owner(&claim.digest) {
            None => true,
            Some(owner) if owner == claim.owner => {
                actions.push(grant(table, claim));
                false
            }
            Some(_) => {
                actions.push(response(claim, Decision::Taken));
                false
            }
        });
        actions
    }

    /// Moves waiting claims into the table; of several claims of one key, the first is inserted.
    fn take_batch(
        &mut self,
        table: &mut Table,
        wall_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Vec<Claim> {
        let mut batch: Vec<Claim> = Vec::new();
        let mut later = Vec::new();
        for claim in mem::take(&mut self.waiting) {
            if batch.len() >= MAX_BATCH_CLAIMS {
                later.push(claim);
            } else if let Some(owner) = table.owner(&claim.digest) {
                if owner == claim.owner { batch.push(claim) } else { later.push(claim) }
            } else if table.is_full() {
                actions.push(response(&claim, Decision::Undecided));
            } else {
                table.insert(&claim.digest, &claim.owner, wall_ms);
                batch.push(claim);
            }
        }
        self.waiting = later;
        batch
    }

    /// Ends the claims whose deadline has passed as undecided.
    fn expire_waiting(&mut self, now: Duration) -> Vec<Action> {
        let (late, waiting) = mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<Claim>, _>(|claim| claim.deadline <= now);
        self.waiting = waiting;
        late.iter().map(|claim| response(claim, Decision::Undecided)).collect()
    }

    /// Ends all waiting claims as undecided.
    fn give_up_waiting(&mut self) -> Vec<Action> {
        // A claim whose write took effect after all keeps its key until it expires: removing it
        // could remove the same owner's claim that another member has granted.
        mem::take(&mut self.waiting)
            .iter()
            .map(|claim| response(claim, Decision::Undecided))
            .collect()
    }
}

fn grant(table: &Table, claim: &Claim) -> Action {
    assert_eq!(
        table.owner(&claim.digest),
        Some(claim.owner.as_str()),
        "a claim must not be granted unless the stored table names its owner"
    );
    response(claim, Decision::Granted)
}

fn response(claim: &Claim, decision: Decision) -> Action {
    Action::Respond { ticket: claim.ticket, decision }
}
