//! Leases: a table of faults, and long random runs with pauses, lost answers and outages.

use std::{env, time::Duration};

use citron::lease::{Answer, INTERVAL, Lease, MARGIN, Permit, Record, Request, TERM};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An object with conditional updates.
#[derive(Default)]
struct Store<V> {
    object: Option<(u64, V)>,
    version: u64,
}

impl<V: Clone> Store<V> {
    fn write(&mut self, value: V, expect: Option<u64>) -> Option<u64> {
        if self.object.as_ref().map(|(version, _)| *version) != expect {
            return None;
        }
        self.version += 1;
        self.object = Some((self.version, value));
        Some(self.version)
    }

    fn answer(&mut self, request: Request) -> Answer
    where
        V: Into<Record> + From<Record>,
    {
        match request {
            Request::Read => {
                Answer::Read(self.object.clone().map(|(version, value)| (version, value.into())))
            }
            Request::Write { record, expect } => {
                self.write(record.into(), expect).map_or(Answer::Failed, Answer::Written)
            }
        }
    }
}

/// Ticks a lease over `time` and answers its requests at once.
fn run(lease: &mut Lease, store: &mut Store<Record>, from: Duration, time: Duration) -> Duration {
    let mut now = from;
    while now < from + time {
        if let Some(request) = lease.tick(now) {
            let answer = store.answer(request);
            lease.take(answer, now);
        }
        now += Duration::from_millis(100);
    }
    now
}

macro_rules! case {
    ($name:ident, $body:expr) => {
        #[test]
        fn $name() {
            let body: fn(&mut Lease, &mut Lease, &mut Store<Record>) = $body;
            body(&mut Lease::open("a"), &mut Lease::open("b"), &mut Store::default());
        }
    };
}

case!(a_free_lease_is_taken_and_kept, |a, _, store| {
    let now = run(a, store, Duration::ZERO, TERM * 5);
    assert_eq!(a.permit(now).map(|permit| permit.term), Some(1));
});
case!(a_held_lease_is_not_taken, |a, b, store| {
    let mut now = Duration::ZERO;
    for _ in 0..200 {
        run(a, store, now, Duration::from_millis(100));
        now = run(b, store, now, Duration::from_millis(100));
        assert_eq!(b.permit(now), None);
    }
});
case!(a_silent_holder_stops_before_another_takes_over, |a, b, store| {
    let stopped = run(a, store, Duration::ZERO, INTERVAL / 2);
    let last = a.permit(stopped).unwrap().until;
    let mut now = stopped;
    while b.permit(now).is_none() {
        now = run(b, store, now, Duration::from_millis(100));
        assert!(now < TERM * 5, "taken over at some time");
    }
    assert!(now >= last + MARGIN, "taken over at {now:?}, held until {last:?}");
    assert_eq!(b.permit(now).map(|permit| permit.term), Some(2));
});
case!(a_lease_given_back_is_taken_at_the_next_look, |a, b, store| {
    let now = run(a, store, Duration::ZERO, INTERVAL * 2);
    let request = a.release(now).unwrap();
    let answer = store.answer(request);
    a.take(answer, now);
    assert_eq!(a.permit(now), None);
    let now = run(b, store, now, INTERVAL * 2);
    assert_eq!(b.permit(now).map(|permit| permit.term), Some(2));
});
case!(a_renewal_answered_too_late_gives_no_right, |a, _, store| {
    let read = a.tick(Duration::ZERO).unwrap();
    a.take(store.answer(read), Duration::ZERO);
    let write = a.tick(INTERVAL).unwrap();
    let answer = store.answer(write);
    a.take(answer, INTERVAL + TERM);
    assert_eq!(a.permit(INTERVAL + TERM), None);
});
case!(a_lost_answer_gives_no_right, |a, _, store| {
    let read = a.tick(Duration::ZERO).unwrap();
    a.take(store.answer(read), Duration::ZERO);
    let write = a.tick(INTERVAL).unwrap();
    store.answer(write);
    a.take(Answer::Failed, INTERVAL);
    assert_eq!(a.permit(INTERVAL), None);
});

/// A member with its own clock, which acts under the lease on a work object.
struct Member {
    lease: Lease,
    /// How fast its clock runs.
    rate: f64,
    paused_until: Duration,
    /// An answer under way: when it arrives.
    answer: Option<(Duration, Answer)>,
    /// An action that was prepared: the permit, and the version of the work it read.
    prepared: Option<(Permit, Option<u64>)>,
}

struct World {
    now: Duration,
    store: Store<Record>,
    /// The term of whoever acted last.
    work: Store<u64>,
    members: Vec<Member>,
    up: bool,
    rng: ChaCha8Rng,
    acted: u64,
    vain: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = (0..4)
            .map(|index| Member {
                lease: Lease::open(&format!("host-{index}")),
                rate: rng.random_range(0.95..1.05),
                paused_until: Duration::ZERO,
                answer: None,
                prepared: None,
            })
            .collect();
        let (store, work) = (Store::default(), Store::default());
        Self { now: Duration::ZERO, store, work, members, up: true, rng, acted: 0, vain: 0 }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(50);
        if self.rng.random_bool(0.001) {
            self.up = !self.up;
        }
        for index in 0..self.members.len() {
            if self.now >= self.members[index].paused_until {
                self.run(index);
            }
        }
        let holders = self
            .members
            .iter()
            .filter(|member| member.lease.permit(self.now.mul_f64(member.rate)).is_some())
            .count();
        assert!(holders <= 1, "{holders} members hold the lease at {:?}", self.now);
    }

    fn run(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        let own = now.mul_f64(member.rate);
        if member.answer.as_ref().is_some_and(|(at, _)| *at <= now) {
            let (_, answer) = member.answer.take().unwrap();
            member.lease.take(answer, own);
        }
        if let Some(request) = member.lease.tick(own) {
            let delay = Duration::from_millis(self.rng.random_range(0..3000));
            let lost = !self.up || self.rng.random_bool(0.1);
            let early = self.up && (!lost || self.rng.random_bool(0.5));
            let answer = if early { self.store.answer(request) } else { Answer::Failed };
            let answer = if lost { Answer::Failed } else { answer };
            member.answer = Some((now + delay, answer));
        }
        self.act(index, own);
        if self.rng.random_bool(0.002) {
            let pause = Duration::from_millis(self.rng.random_range(100..40_000));
            self.members[index].paused_until = now + pause;
        }
    }

    /// Reads the work and writes it some steps later, without another look at the clock, as a
    /// member that is paused in between would.
    fn act(&mut self, index: usize, own: Duration) {
        let member = &mut self.members[index];
        let Some((permit, version)) = member.prepared.take() else {
            if let Some(permit) = member.lease.permit(own) {
                let seen = self.work.object;
                // A higher term in the object says that this one is over.
                if seen.is_none_or(|(_, term)| term <= permit.term) {
                    member.prepared = Some((permit, seen.map(|(version, _)| version)));
                }
            }
            return;
        };
        let before = self.work.object.map_or(0, |(_, term)| term);
        if self.work.write(permit.term, version).is_some() {
            self.acted += 1;
            assert!(permit.term >= before, "term {} acted after term {before}", permit.term);
        } else {
            self.vain += 1;
        }
    }
}

fn setting(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_leave_one_holder_and_no_late_action() {
    let (mut acted, mut vain) = (0, 0);
    for seed in 0..setting("CITRON_SEEDS", 20) {
        println!(
            "CITRON_SEEDS={} cargo test -p citron --test lease random (seed {seed})",
            seed + 1
        );
        let mut world = World::new(seed);
        for _ in 0..setting("CITRON_STEPS", 20_000) {
            world.step();
        }
        acted += world.acted;
        vain += world.vain;
    }
    assert!(acted > 0 && vain > 0, "{acted} actions took effect, {vain} were in vain");
}
