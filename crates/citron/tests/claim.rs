//! Claims: a table of faults, and long random runs of several members on one bucket.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use citron::claim::{
    BUCKET_CLAIMS, Bucket, CLOCK_SKEW, Decision, RETENTION, Read, Request, Table, Write,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An object with conditional updates.
#[derive(Default, Clone)]
struct Store {
    object: Option<(u64, Vec<u8>)>,
    version: u64,
    writes: u64,
}

impl Store {
    fn read(&self) -> Read {
        match &self.object {
            Some((version, value)) => Read::Found(*version, value.clone()),
            None => Read::Absent,
        }
    }

    fn write(&mut self, value: Vec<u8>, expect: Option<u64>) -> Write {
        assert!(value.len() < 1_000_000, "a value of {} bytes", value.len());
        if self.object.as_ref().map(|(version, _)| *version) != expect {
            return Write::Conflict;
        }
        self.version += 1;
        self.writes += 1;
        self.object = Some((self.version, value));
        Write::Done(self.version)
    }
}

/// A bucket whose requests are answered at once, and its claimants' decisions.
#[derive(Default)]
struct Home {
    bucket: Bucket,
    store: Store,
    now: Duration,
    wall_ms: u64,
    decisions: BTreeMap<u64, Decision>,
    /// The platform is away.
    away: bool,
    /// Answers to writes that will be lost.
    lose: u32,
}

impl Home {
    fn claim(&mut self, ticket: u64, digest: &str, owner: &str) {
        let requests = self.bucket.claim(ticket, digest, owner, self.now, self.wall_ms);
        self.carry_out(requests);
    }

    fn carry_out(&mut self, requests: Vec<Request>) {
        for request in requests {
            let more = match request {
                Request::Answer { ticket, decision } => {
                    assert_eq!(self.decisions.insert(ticket, decision), None, "answered twice");
                    continue;
                }
                Request::Read if self.away => {
                    self.bucket.read(Read::Failed, self.now, self.wall_ms)
                }
                Request::Read => self.bucket.read(self.store.read(), self.now, self.wall_ms),
                Request::Write { .. } if self.away => {
                    self.bucket.written(Write::Failed, self.now, self.wall_ms)
                }
                Request::Write { value, expect } => {
                    let mut result = self.store.write(value, expect);
                    if self.lose > 0 {
                        self.lose -= 1;
                        result = Write::Unknown;
                    }
                    self.bucket.written(result, self.now, self.wall_ms)
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
            let requests = self.bucket.tick(self.now, self.wall_ms);
            self.carry_out(requests);
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
            let body: fn(&mut Home) = $body;
            body(&mut Home::default());
        }
    };
}

case!(a_free_key_is_granted_once, |home| {
    home.claim(1, "key", "a");
    home.claim(2, "key", "b");
    assert_eq!(home.decision(1), Some(Decision::Granted));
    assert_eq!(home.decision(2), Some(Decision::Taken));
});
case!(the_same_owner_is_granted_again, |home| {
    home.claim(1, "key", "a");
    home.claim(2, "key", "a");
    assert_eq!(home.decision(2), Some(Decision::Granted));
});
case!(two_owners_in_one_batch, |home| {
    home.claim(1, "other", "z");
    home.claim(2, "key", "a");
    home.claim(3, "key", "b");
    home.claim(4, "key", "a");
    home.wait(Duration::from_secs(1));
    assert_eq!(home.decision(2), Some(Decision::Granted));
    assert_eq!(home.decision(3), Some(Decision::Taken));
    assert_eq!(home.decision(4), Some(Decision::Granted));
});
case!(a_lost_answer_is_decided_by_the_owner_read_back, |home| {
    home.lose = 1;
    home.claim(1, "key", "a");
    assert_eq!(home.decision(1), Some(Decision::Granted));
    assert_eq!(home.store.writes, 1, "not written again");
});
case!(nothing_is_granted_while_the_platform_is_away, |home| {
    home.away = true;
    home.claim(1, "key", "a");
    assert_eq!(home.decision(1), Some(Decision::Undecided));
    home.away = false;
    home.claim(2, "key", "b");
    assert_eq!(home.decision(2), Some(Decision::Granted));
});
case!(a_key_known_as_taken_is_refused_while_the_platform_is_away, |home| {
    home.claim(1, "key", "a");
    home.away = true;
    home.claim(2, "key", "b");
    assert_eq!(home.decision(2), Some(Decision::Taken));
});
case!(a_conflict_is_read_and_tried_again, |home| {
    home.claim(1, "first", "a");
    let mut other = Home { store: home.store.clone(), ..Home::default() };
    other.claim(1, "key", "b");
    home.store = other.store;
    home.wait(Duration::from_secs(1));
    home.claim(2, "key", "a");
    home.claim(3, "more", "a");
    home.wait(Duration::from_secs(1));
    assert_eq!(home.decision(2), Some(Decision::Taken));
    assert_eq!(home.decision(3), Some(Decision::Granted));
});
case!(claims_share_writes, |home| {
    for ticket in 0..400 {
        home.claim(ticket, &format!("key-{ticket}"), "a");
    }
    home.wait(Duration::from_secs(1));
    assert!((0..400).all(|ticket| home.decision(ticket) == Some(Decision::Granted)));
    assert_eq!(home.store.writes, 2);
});
case!(an_expired_key_is_free_on_every_clock, |home| {
    home.claim(1, "key", "a");
    home.wall_ms += RETENTION.as_millis() as u64 + CLOCK_SKEW.as_millis() as u64 - 1;
    home.claim(2, "key", "b");
    assert_eq!(home.decision(2), Some(Decision::Taken));
    home.wall_ms += 1;
    home.claim(3, "key", "b");
    home.wait(Duration::from_secs(1));
    assert_eq!(home.decision(3), Some(Decision::Granted));
});
case!(a_full_bucket_refuses_and_stays_small, |home| {
    let mut table = Table::default();
    for index in 0..BUCKET_CLAIMS {
        table.insert(&format!("{index:064}"), &format!("{index:040}"), 0);
    }
    home.store.write(table.encode(), None);
    home.claim(1, "key", "a");
    home.claim(2, &format!("{:064}", 7), "a");
    assert_eq!(home.decision(1), Some(Decision::Undecided));
    assert_eq!(home.decision(2), Some(Decision::Taken));
});
case!(an_unreadable_bucket_grants_nothing, |home| {
    home.store.write(b"?".to_vec(), None);
    home.claim(1, "key", "a");
    assert_eq!(home.decision(1), Some(Decision::Undecided));
    assert_eq!(home.store.writes, 1, "and is not overwritten");
});

/// A request to the store or its answer, under way.
enum Flight {
    Read,
    Write(Vec<u8>, Option<u64>),
    ReadDone(Read),
    WriteDone(Write),
}

/// Several members that work on one bucket over a slow and lossy platform.
struct World {
    now: Duration,
    store: Store,
    buckets: Vec<Bucket>,
    /// What arrives when, for which member; a write may arrive long after its answer was given up.
    flights: Vec<(Duration, usize, Flight)>,
    claims: Vec<(String, String)>,
    /// The owners that were granted each key.
    granted: BTreeMap<String, BTreeSet<String>>,
    decisions: BTreeMap<&'static str, u64>,
    up: bool,
    rng: ChaCha8Rng,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            now: Duration::ZERO,
            store: Store::default(),
            buckets: vec![Bucket::new(); 3],
            flights: Vec::new(),
            claims: Vec::new(),
            granted: BTreeMap::new(),
            decisions: BTreeMap::new(),
            up: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(10);
        let wall_ms = self.now.as_millis() as u64;
        if self.rng.random_bool(0.002) {
            self.up = !self.up;
        }
        if self.rng.random_bool(0.3) {
            let index = self.rng.random_range(0..self.buckets.len());
            // Few keys and owners, so that members meet often.
            let digest = format!("key-{}", self.now.as_secs() * 4 + self.rng.random_range(0..4));
            let owner = format!("owner-{}", self.rng.random_range(0..6));
            let ticket = self.claims.len() as u64;
            self.claims.push((digest.clone(), owner.clone()));
            let requests = self.buckets[index].claim(ticket, &digest, &owner, self.now, wall_ms);
            self.carry_out(index, requests);
        }
        for index in 0..self.buckets.len() {
            let requests = self.buckets[index].tick(self.now, wall_ms);
            self.carry_out(index, requests);
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.flights.drain(..).partition(|(at, ..)| *at <= now);
        self.flights = later;
        for (_, index, flight) in due {
            self.arrive(index, flight);
        }
    }

    fn later(&mut self, limit_ms: u64) -> Duration {
        self.now + Duration::from_millis(self.rng.random_range(1..limit_ms))
    }

    fn carry_out(&mut self, index: usize, requests: Vec<Request>) {
        for request in requests {
            let at = self.later(200);
            match request {
                Request::Answer { ticket, decision } => self.take_decision(ticket, decision),
                Request::Read => self.flights.push((at, index, Flight::Read)),
                Request::Write { value, expect } if self.rng.random_bool(0.15) => {
                    // The answer is given up first; the write arrives late or never.
                    let unknown = Flight::WriteDone(Write::Unknown);
                    self.flights.push((at, index, unknown));
                    if self.rng.random_bool(0.7) {
                        let at = self.later(5000);
                        self.flights.push((at, usize::MAX, Flight::Write(value, expect)));
                    }
                }
                Request::Write { value, expect } => {
                    self.flights.push((at, index, Flight::Write(value, expect)));
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, flight: Flight) {
        let wall_ms = self.now.as_millis() as u64;
        let answer = match flight {
            Flight::Read if self.up => Flight::ReadDone(self.store.read()),
            Flight::Read => Flight::ReadDone(Read::Failed),
            Flight::Write(value, expect) if self.up => {
                Flight::WriteDone(self.store.write(value, expect))
            }
            Flight::Write(..) => Flight::WriteDone(Write::Failed),
            Flight::ReadDone(result) => {
                let requests = self.buckets[index].read(result, self.now, wall_ms);
                return self.carry_out(index, requests);
            }
            Flight::WriteDone(result) => {
                let requests = self.buckets[index].written(result, self.now, wall_ms);
                return self.carry_out(index, requests);
            }
        };
        // Nobody waits for the answer to a write that was given up.
        if index != usize::MAX {
            let at = self.later(100);
            self.flights.push((at, index, answer));
        }
    }

    fn take_decision(&mut self, ticket: u64, decision: Decision) {
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

fn setting(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_grant_a_key_to_one_owner() {
    for seed in 0..setting("CITRON_SEEDS", 12) {
        println!(
            "CITRON_SEEDS={} cargo test -p citron --test claim random (seed {seed})",
            seed + 1
        );
        let mut world = World::new(seed);
        for _ in 0..setting("CITRON_STEPS", 6000) {
            world.step();
        }
        println!("{:?}", world.decisions);
        assert!(world.decisions.get("granted").is_some_and(|count| *count > 10));
    }
}
