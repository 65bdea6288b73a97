//! Claims of idempotency keys: single faults, and long random runs of several members on one
//! bucket.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use assert_matches::assert_matches;
use citron::claim::{
    Action, Bucket, CLOCK_SKEW, Decision, MAX_BUCKET_CLAIMS, RETENTION, ReadResult, Table,
    WriteResult,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WALL_MS: u64 = 1_700_000_000_000;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An object with conditional updates.
#[derive(Default, Clone)]
struct Store {
    object: Option<(u64, Vec<u8>)>,
    version: u64,
    writes: u64,
}

impl Store {
    fn read(&self) -> ReadResult {
        match &self.object {
            Some((version, value)) => ReadResult::Found(*version, value.clone()),
            None => ReadResult::Absent,
        }
    }

    fn write(&mut self, value: Vec<u8>, expect: Option<u64>) -> WriteResult {
        assert!(value.len() < 1_000_000, "a value of {} bytes", value.len());
        if self.object.as_ref().map(|(version, _)| *version) != expect {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.writes += 1;
        self.object = Some((self.version, value));
        WriteResult::Done(self.version)
    }
}

/// A bucket whose reads and writes complete at once, and the decisions on its claims.
#[derive(Default)]
struct Harness {
    bucket: Bucket,
    store: Store,
    now: Duration,
    wall_ms: u64,
    decisions: BTreeMap<u64, Decision>,
    /// Whether the platform is unreachable.
    platform_down: bool,
    /// How many of the next writes take effect without a response.
    writes_to_lose: u32,
}

impl Harness {
    fn claim(&mut self, ticket: u64, digest: &str, owner: &str) {
        let actions = self.bucket.claim(ticket, digest, owner, self.now, self.wall_ms);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            let more = match action {
                Action::Respond { ticket, decision } => {
                    assert_eq!(self.decisions.insert(ticket, decision), None, "decided twice");
                    continue;
                }
                Action::Read if self.platform_down => {
                    self.bucket.handle_read(ReadResult::Failed, self.now, self.wall_ms)
                }
                Action::Read => self.bucket.handle_read(self.store.read(), self.now, self.wall_ms),
                Action::Write { .. } if self.platform_down => {
                    self.bucket.handle_write(WriteResult::Failed, self.now, self.wall_ms)
                }
                Action::Write { value, expect } => {
                    let mut result = self.store.write(value, expect);
                    if self.writes_to_lose > 0 {
                        self.writes_to_lose -= 1;
                        result = WriteResult::Unknown;
                    }
                    self.bucket.handle_write(result, self.now, self.wall_ms)
                }
            };
            self.carry_out(more);
        }
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.wall_ms += 100;
            let actions = self.bucket.tick(self.now, self.wall_ms);
            self.carry_out(actions);
        }
    }

    fn decision(&self, ticket: u64) -> Option<Decision> {
        self.decisions.get(&ticket).copied()
    }
}

macro_rules! case {
    ($name:ident, $body:expr) => {
        #[test]
        fn $name() {
            let body: fn(&mut Harness) = $body;
            body(&mut Harness::default());
        }
    };
}

case!(a_free_key_is_granted_once, |harness| {
    harness.claim(1, "key", "a");
    harness.claim(2, "key", "b");
    assert_eq!(harness.decision(1), Some(Decision::Granted));
    assert_eq!(harness.decision(2), Some(Decision::Taken));
});
case!(the_same_owner_is_granted_again, |harness| {
    harness.claim(1, "key", "a");
    harness.claim(2, "key", "a");
    assert_eq!(harness.decision(2), Some(Decision::Granted));
});
case!(two_owners_in_one_batch, |harness| {
    harness.claim(1, "other", "z");
    harness.claim(2, "key", "a");
    harness.claim(3, "key", "b");
    harness.claim(4, "key", "a");
    harness.wait(Duration::from_secs(1));
    assert_eq!(harness.decision(2), Some(Decision::Granted));
    assert_eq!(harness.decision(3), Some(Decision::Taken));
    assert_eq!(harness.decision(4), Some(Decision::Granted));
});
case!(a_lost_write_response_is_resolved_by_reading_the_owner, |harness| {
    harness.writes_to_lose = 1;
    harness.claim(1, "key", "a");
    assert_eq!(harness.decision(1), Some(Decision::Granted));
    assert_eq!(harness.store.writes, 1, "not written again");
});
case!(nothing_is_granted_while_the_platform_is_down, |harness| {
    harness.platform_down = true;
    harness.claim(1, "key", "a");
    assert_eq!(harness.decision(1), Some(Decision::Undecided));
    harness.platform_down = false;
    harness.claim(2, "key", "b");
    assert_eq!(harness.decision(2), Some(Decision::Granted));
});
case!(a_key_cached_as_taken_is_refused_while_the_platform_is_down, |harness| {
    harness.claim(1, "key", "a");
    harness.platform_down = true;
    harness.claim(2, "key", "b");
    assert_eq!(harness.decision(2), Some(Decision::Taken));
});
case!(a_write_conflict_is_reread_and_retried, |harness| {
    harness.claim(1, "first", "a");
    let mut other = Harness { store: harness.store.clone(), ..Harness::default() };
    other.claim(1, "key", "b");
    harness.store = other.store;
    harness.wait(Duration::from_secs(1));
    harness.claim(2, "key", "a");
    harness.claim(3, "more", "a");
    harness.wait(Duration::from_secs(1));
    assert_eq!(harness.decision(2), Some(Decision::Taken));
    assert_eq!(harness.decision(3), Some(Decision::Granted));
});
case!(claims_share_writes, |harness| {
    for ticket in 0..400 {
        harness.claim(ticket, &format!("key-{ticket}"), "a");
    }
    harness.wait(Duration::from_secs(1));
    assert!((0..400).all(|ticket| harness.decision(ticket) == Some(Decision::Granted)));
    assert_eq!(harness.store.writes, 2);
});
case!(a_key_is_free_once_expired_on_every_clock, |harness| {
    harness.claim(1, "key", "a");
    harness.wall_ms += RETENTION.as_millis() as u64 + CLOCK_SKEW.as_millis() as u64 - 1;
    harness.claim(2, "key", "b");
    assert_eq!(harness.decision(2), Some(Decision::Taken));
    harness.wall_ms += 1;
    harness.claim(3, "key", "b");
    harness.wait(Duration::from_secs(1));
    assert_eq!(harness.decision(3), Some(Decision::Granted));
});
case!(a_full_bucket_refuses_and_stays_small, |harness| {
    let mut table = Table::default();
    for index in 0..MAX_BUCKET_CLAIMS {
        table.insert(&format!("{index:064}"), &format!("{index:040}"), 0);
    }
    harness.store.write(table.encode(), None);
    harness.claim(1, "key", "a");
    harness.claim(2, &format!("{:064}", 7), "a");
    assert_eq!(harness.decision(1), Some(Decision::Undecided));
    assert_eq!(harness.decision(2), Some(Decision::Taken));
});
case!(an_unreadable_bucket_grants_nothing, |harness| {
    harness.store.write(b"?".to_vec(), None);
    harness.claim(1, "key", "a");
    assert_eq!(harness.decision(1), Some(Decision::Undecided));
    assert_eq!(harness.store.writes, 1, "and is not overwritten");
});

/// A request to the store or its response, in flight.
enum Message {
    Read,
    Write(Vec<u8>, Option<u64>),
    ReadDone(ReadResult),
    WriteDone(WriteResult),
}

/// Several members that work on one bucket of a slow platform that loses messages.
struct Simulation {
    now: Duration,
    store: Store,
    buckets: Vec<Bucket>,
    /// When each message arrives, and for which member; a write may arrive long after its sender
    /// stopped waiting for the response.
    in_flight: Vec<(Duration, usize, Message)>,
    claims: Vec<(String, String)>,
    /// The owners that were granted each key.
    granted: BTreeMap<String, BTreeSet<String>>,
    decisions: BTreeMap<&'static str, u64>,
    platform_up: bool,
    rng: ChaCha8Rng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            store: Store::default(),
            buckets: vec![Bucket::new(); 3],
            in_flight: Vec::new(),
            claims: Vec::new(),
            granted: BTreeMap::new(),
            decisions: BTreeMap::new(),
            platform_up: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(10);
        let wall_ms = self.now.as_millis() as u64;
        if self.rng.random_bool(0.002) {
            self.platform_up = !self.platform_up;
        }
        if self.rng.random_bool(0.3) {
            let index = self.rng.random_range(0..self.buckets.len());
            // Few keys and owners, so that members often contend for a key.
            let digest = format!("key-{}", self.now.as_secs() * 4 + self.rng.random_range(0..4));
            let owner = format!("owner-{}", self.rng.random_range(0..6));
            let ticket = self.claims.len() as u64;
            self.claims.push((digest.clone(), owner.clone()));
            let actions = self.buckets[index].claim(ticket, &digest, &owner, self.now, wall_ms);
            self.carry_out(index, actions);
        }
        for index in 0..self.buckets.len() {
            let actions = self.buckets[index].tick(self.now, wall_ms);
            self.carry_out(index, actions);
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        for (_, index, message) in due {
            self.arrive(index, message);
        }
    }

    fn random_time_within(&mut self, limit_ms: u64) -> Duration {
        self.now + Duration::from_millis(self.rng.random_range(1..limit_ms))
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            let at = self.random_time_within(200);
            match action {
                Action::Respond { ticket, decision } => self.record_decision(ticket, decision),
                Action::Read => self.in_flight.push((at, index, Message::Read)),
                Action::Write { value, expect } if self.rng.random_bool(0.15) => {
                    // The sender stops waiting first; the write arrives late or never.
                    let unknown = Message::WriteDone(WriteResult::Unknown);
                    self.in_flight.push((at, index, unknown));
                    if self.rng.random_bool(0.7) {
                        let at = self.random_time_within(5000);
                        self.in_flight.push((at, usize::MAX, Message::Write(value, expect)));
                    }
                }
                Action::Write { value, expect } => {
                    self.in_flight.push((at, index, Message::Write(value, expect)));
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, message: Message) {
        let wall_ms = self.now.as_millis() as u64;
        let response = match message {
            Message::Read if self.platform_up => Message::ReadDone(self.store.read()),
            Message::Read => Message::ReadDone(ReadResult::Failed),
            Message::Write(value, expect) if self.platform_up => {
                Message::WriteDone(self.store.write(value, expect))
            }
            Message::Write(..) => Message::WriteDone(WriteResult::Failed),
            Message::ReadDone(result) => {
                let actions = self.buckets[index].handle_read(result, self.now, wall_ms);
                return self.carry_out(index, actions);
            }
            Message::WriteDone(result) => {
                let actions = self.buckets[index].handle_write(result, self.now, wall_ms);
                return self.carry_out(index, actions);
            }
        };
        // Nobody waits for the response to a write that arrives late.
        if index != usize::MAX {
            let at = self.random_time_within(100);
            self.in_flight.push((at, index, response));
        }
    }

    fn record_decision(&mut self, ticket: u64, decision: Decision) {
        let (digest, owner) = self.claims[ticket as usize].clone();
        let name = match decision {
            Decision::Granted => "granted",
            Decision::Taken => "taken",
            Decision::Undecided => "undecided",
        };
        *self.decisions.entry(name).or_default() += 1;
        if decision == Decision::Granted {
            let owners = self.granted.entry(digest.clone()).or_default();
            owners.insert(owner);
            assert!(owners.len() == 1, "{digest} was granted to {owners:?}");
        }
    }
}

fn env_or(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_grant_a_key_to_one_owner() {
    for seed in 0..env_or("CITRON_SEEDS", 12) {
        println!(
            "CITRON_SEEDS={} cargo test -p citron --test claim random (seed {seed})",
            seed + 1
        );
        let mut simulation = Simulation::new(seed);
        for _ in 0..env_or("CITRON_STEPS", 6000) {
            simulation.step();
        }
        println!("{:?}", simulation.decisions);
        assert!(simulation.decisions.get("granted").is_some_and(|count| *count > 10));
    }
}

/// A platform that comes back from an older copy has lost the claim of an order that was granted.
#[test]
fn a_granted_claim_that_the_platform_lost_is_not_granted_to_another() {
    let mut bucket = Bucket::new();
    let copy = Table::default().encode();
    assert_eq!(bucket.claim(1, "key", "first", at(0), WALL_MS), [Action::Read]);
    let actions = bucket.handle_read(ReadResult::Found(5, copy.clone()), at(0), WALL_MS);
    assert_matches!(actions.as_slice(), [Action::Write { expect: Some(5), .. }]);
    let granted = bucket.handle_write(WriteResult::Done(6), at(0), WALL_MS);
    assert_eq!(granted, [Action::Respond { ticket: 1, decision: Decision::Granted }]);
    // Another key is claimed after the platform came back from the copy of version 5.
    let actions = bucket.claim(2, "other", "second", at(1000), WALL_MS);
    assert_matches!(actions.as_slice(), [Action::Write { expect: Some(6), .. }]);
    let actions = bucket.handle_write(WriteResult::Conflict, at(1000), WALL_MS);
    assert_eq!(actions, [Action::Read]);
    let actions = bucket.handle_read(ReadResult::Found(5, copy), at(1000), WALL_MS);
    let [Action::Write { value, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    let table = Table::decode(value).expect("a table");
    assert_eq!(table.owner("key"), Some("first"), "it is written again");
    bucket.handle_write(WriteResult::Done(7), at(1000), WALL_MS);
    let actions = bucket.claim(3, "key", "third", at(1000), WALL_MS);
    assert_eq!(actions, [Action::Respond { ticket: 3, decision: Decision::Taken }]);
}

#[test]
fn a_claim_that_the_platform_lost_is_written_again_without_a_new_one() {
    let mut bucket = Bucket::new();
    let copy = Table::default().encode();
    bucket.claim(1, "key", "first", at(0), WALL_MS);
    bucket.handle_read(ReadResult::Found(5, copy.clone()), at(0), WALL_MS);
    bucket.handle_write(WriteResult::Done(6), at(0), WALL_MS);
    bucket.claim(2, "other", "second", at(1000), WALL_MS);
    bucket.handle_write(WriteResult::Conflict, at(1000), WALL_MS);
    // The claim that led to the read has run out of time meanwhile.
    let actions = bucket.handle_read(ReadResult::Found(5, copy), at(9000), WALL_MS);
    let undecided = Action::Respond { ticket: 2, decision: Decision::Undecided };
    assert_matches!(actions.as_slice(), [first, Action::Write { .. }] if *first == undecided);
    assert!(!bucket.is_idle());
    bucket.handle_write(WriteResult::Done(7), at(9000), WALL_MS);
    assert!(bucket.is_idle());
}
