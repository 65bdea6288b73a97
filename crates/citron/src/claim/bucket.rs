//! Decides the claims of one bucket.

use std::{mem, time::Duration};

use super::Table;

/// How long a claim may take until it is given up as undecided.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest time between two writes of a bucket.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Claims that are decided by one write.
const BATCH_CLAIMS: usize = 512;
/// Claims that wait; further ones are undecided at once.
const WAITING_CLAIMS: usize = 4096;

/// How a claim was decided.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum Decision {
    /// The owner may run the request.
    Granted,
    /// Another attempt owns the key.
    Taken,
    /// Not decided; the request must not be run.
    Undecided,
}

/// What the bucket asks for.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Request {
    /// Read the bucket's object.
    Read,
    /// Write the bucket's object if it has this version, or if it does not exist.
    Write {
        /// The object's new value.
        value: Vec<u8>,
        /// The version it must have; `None` when it must not exist.
        expect: Option<u64>,
    },
    /// Tell the claimant.
    Answer {
        /// The claimant's number.
        ticket: u64,
        /// The decision.
        decision: Decision,
    },
}

/// The result of a read.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Read {
    /// The object with its version.
    Found(u64, Vec<u8>),
    /// There is no object.
    Absent,
    /// The platform did not answer.
    Failed,
}

/// The result of a write.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Write {
    /// It took effect and gave the object this version.
    Done(u64),
    /// The condition did not hold.
    Conflict,
    /// It may have taken effect, now or later.
    Unknown,
    /// It did not take effect.
    Failed,
}

#[derive(Debug, Clone)]
struct Claim {
    ticket: u64,
    digest: String,
    owner: String,
    until: Duration,
}

#[derive(Debug, Clone)]
enum Step {
    Idle,
    Reading,
    /// These claims are in the table that is being written.
    Writing(Table, Vec<Claim>),
}

/// The claims of one bucket as one member decides them.
#[derive(Debug, Clone)]
pub struct Bucket {
    waiting: Vec<Claim>,
    step: Step,
    /// The object as last read or written, `None` for the version if it does not exist.
    known: Option<(Option<u64>, Table)>,
    next_write: Duration,
}

impl Default for Bucket {
    fn default() -> Self {
        Self::new()
    }
}

impl Bucket {
    /// Creates a bucket of which nothing is known.
    pub fn new() -> Self {
        Self { waiting: Vec::new(), step: Step::Idle, known: None, next_write: Duration::ZERO }
    }

    /// Returns true if no claim waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && matches!(self.step, Step::Idle)
    }

    /// Takes a claim of a key by an owner.
    pub fn claim(
        &mut self,
        ticket: u64,
        digest: &str,
        owner: &str,
        now: Duration,
        wall_ms: u64,
    ) -> Vec<Request> {
        if self.waiting.len() >= WAITING_CLAIMS {
            return vec![Request::Answer { ticket, decision: Decision::Undecided }];
        }
        self.waiting.push(Claim {
            ticket,
            digest: digest.to_owned(),
            owner: owner.to_owned(),
            until: now + CLAIM_TIMEOUT,
        });
        self.advance(now, wall_ms)
    }

    /// Takes the result of [`Request::Read`].
    pub fn read(&mut self, result: Read, now: Duration, wall_ms: u64) -> Vec<Request> {
        assert!(matches!(self.step, Step::Reading), "a read that was not asked for");
        self.step = Step::Idle;
        self.known = match result {
            Read::Found(version, bytes) => {
                Table::decode(&bytes).map(|table| (Some(version), table))
            }
            Read::Absent => Some((None, Table::default())),
            Read::Failed => None,
        };
        if self.known.is_none() {
            return self.give_up();
        }
        self.advance(now, wall_ms)
    }

    /// Takes the result of [`Request::Write`].
    pub fn written(&mut self, result: Write, now: Duration, wall_ms: u64) -> Vec<Request> {
        let Step::Writing(table, batch) = mem::replace(&mut self.step, Step::Idle) else {
            panic!("a write that was not asked for");
        };
        match result {
            Write::Done(version) => {
                let mut requests = Vec::new();
                for claim in batch {
                    requests.push(grant(&table, &claim));
                }
                self.known = Some((Some(version), table));
                requests.extend(self.advance(now, wall_ms));
                requests
            }
            // Whether it took effect shows when the object is read: the owner's name is in it.
            Write::Conflict | Write::Unknown => {
                self.known = None;
                self.waiting.splice(0..0, batch);
                self.next_write = now;
                self.advance(now, wall_ms)
            }
            Write::Failed => {
                self.known = None;
                self.waiting.splice(0..0, batch);
                self.give_up()
            }
        }
    }

    /// Advances time.
    pub fn tick(&mut self, now: Duration, wall_ms: u64) -> Vec<Request> {
        self.advance(now, wall_ms)
    }

    fn advance(&mut self, now: Duration, wall_ms: u64) -> Vec<Request> {
        let mut requests = self.time_out(now);
        if !matches!(self.step, Step::Idle) || self.waiting.is_empty() {
            return requests;
        }
        let Some((version, table)) = &self.known else {
            self.step = Step::Reading;
            requests.push(Request::Read);
            return requests;
        };
        let (version, mut table) = (*version, table.clone());
        table.expire(wall_ms);
        requests.extend(self.settle(&table));
        if self.waiting.is_empty() || now < self.next_write {
            return requests;
        }
        let batch = self.take_batch(&mut table, wall_ms, &mut requests);
        if batch.is_empty() {
            return requests;
        }
        self.next_write = now + WRITE_INTERVAL;
        requests.push(Request::Write { value: table.encode(), expect: version });
        self.step = Step::Writing(table, batch);
        requests
    }

    /// Answers the claims that the known table decides: a claim that is there stays there for as
    /// long as it may matter.
    fn settle(&mut self, table: &Table) -> Vec<Request> {
        let mut requests = Vec::new();
        self.waiting.retain(|claim| match table.owner(&claim.digest) {
            None => true,
            Some(owner) if owner == claim.owner => {
                requests.push(grant(table, claim));
                false
            }
            Some(_) => {
                requests.push(answer(claim, Decision::Taken));
                false
            }
        });
        requests
    }

    /// Puts waiting claims into the table; of several of one key the first is put in.
    fn take_batch(
        &mut self,
        table: &mut Table,
        wall_ms: u64,
        requests: &mut Vec<Request>,
    ) -> Vec<Claim> {
        let mut batch: Vec<Claim> = Vec::new();
        let mut later = Vec::new();
        for claim in mem::take(&mut self.waiting) {
            if batch.len() >= BATCH_CLAIMS {
                later.push(claim);
            } else if let Some(owner) = table.owner(&claim.digest) {
                if owner == claim.owner { batch.push(claim) } else { later.push(claim) }
            } else if table.is_full() {
                requests.push(answer(&claim, Decision::Undecided));
            } else {
                table.insert(&claim.digest, &claim.owner, wall_ms);
                batch.push(claim);
            }
        }
        self.waiting = later;
        batch
    }

    /// Gives up the claims whose time is up.
    fn time_out(&mut self, now: Duration) -> Vec<Request> {
        let (late, waiting) = mem::take(&mut self.waiting)
            .into_iter()
            .partition::<Vec<Claim>, _>(|claim| claim.until <= now);
        self.waiting = waiting;
        late.iter().map(|claim| answer(claim, Decision::Undecided)).collect()
    }

    fn give_up(&mut self) -> Vec<Request> {
        // A claim that was written all the same keeps its key until it expires: removing it could
        // hit the same owner's claim that another member has granted.
        mem::take(&mut self.waiting)
            .iter()
            .map(|claim| answer(claim, Decision::Undecided))
            .collect()
    }
}

fn grant(table: &Table, claim: &Claim) -> Request {
    assert_eq!(
        table.owner(&claim.digest),
        Some(claim.owner.as_str()),
        "a claim must not be granted unless the stored table names its owner"
    );
    answer(claim, Decision::Granted)
}

fn answer(claim: &Claim, decision: Decision) -> Request {
    Request::Answer { ticket: claim.ticket, decision }
}
