//! Leases: single faults, and long random runs with pauses, lost responses and outages.

use std::{env, time::Duration};

use citron::lease::{
    LEASE_DURATION, Lease, Permit, RENEWAL_INTERVAL, Record, Request, Response, TAKEOVER_MARGIN,
};
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

    fn respond(&mut self, request: Request) -> Response
    where
        V: Into<Record> + From<Record>,
    {
        match request {
            Request::Read => {
                Response::Read(self.object.clone().map(|(version, value)| (version, value.into())))
            }
            Request::Write { record, expect } => {
                self.write(record.into(), expect).map_or(Response::Failed, Response::Written)
            }
        }
    }
}

/// Ticks a lease over `time` and responds to its requests at once.
fn run(lease: &mut Lease, store: &mut Store<Record>, from: Duration, time: Duration) -> Duration {
    let mut now = from;
    while now < from + time {
        if let Some(request) = lease.tick(now) {
            let response = store.respond(request);
            lease.handle_response(response, now);
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
            body(&mut Lease::new("a"), &mut Lease::new("b"), &mut Store::default());
        }
    };
}

case!(a_free_lease_is_taken_and_kept, |a, _, store| {
    let now = run(a, store, Duration::ZERO, LEASE_DURATION * 5);
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
case!(a_silent_holder_loses_its_permit_before_another_takes_over, |a, b, store| {
    let stopped = run(a, store, Duration::ZERO, RENEWAL_INTERVAL / 2);
    let last = a.permit(stopped).unwrap().until;
    let mut now = stopped;
    while b.permit(now).is_none() {
        now = run(b, store, now, Duration::from_millis(100));
        assert!(now < LEASE_DURATION * 5, "taken over at some time");
    }
    assert!(now >= last + TAKEOVER_MARGIN, "taken over at {now:?}, held until {last:?}");
    assert_eq!(b.permit(now).map(|permit| permit.term), Some(2));
});
case!(a_released_lease_is_taken_at_the_next_read, |a, b, store| {
    let now = run(a, store, Duration::ZERO, RENEWAL_INTERVAL * 2);
    let request = a.release(now).unwrap();
    let response = store.respond(request);
    a.handle_response(response, now);
    assert_eq!(a.permit(now), None);
    let now = run(b, store, now, RENEWAL_INTERVAL * 2);
    assert_eq!(b.permit(now).map(|permit| permit.term), Some(2));
});
case!(a_write_confirmed_too_late_gives_no_permit, |a, _, store| {
    let read = a.tick(Duration::ZERO).unwrap();
    a.handle_response(store.respond(read), Duration::ZERO);
    let write = a.tick(RENEWAL_INTERVAL).unwrap();
    let response = store.respond(write);
    a.handle_response(response, RENEWAL_INTERVAL + LEASE_DURATION);
    assert_eq!(a.permit(RENEWAL_INTERVAL + LEASE_DURATION), None);
});
case!(a_lost_response_gives_no_permit, |a, _, store| {
    let read = a.tick(Duration::ZERO).unwrap();
    a.handle_response(store.respond(read), Duration::ZERO);
    let write = a.tick(RENEWAL_INTERVAL).unwrap();
    store.respond(write);
    a.handle_response(Response::Failed, RENEWAL_INTERVAL);
    assert_eq!(a.permit(RENEWAL_INTERVAL), None);
});

/// A member with its own clock, which writes a work object under the lease.
struct Member {
    lease: Lease,
    /// How fast its clock runs.
    rate: f64,
    paused_until: Duration,
    /// A response in flight, and when it arrives.
    response: Option<(Duration, Response)>,
    /// A prepared write: the permit, and the version of the work object that was read.
    prepared: Option<(Permit, Option<u64>)>,
}

struct Simulation {
    now: Duration,
    store: Store<Record>,
    /// The term of the member that wrote last.
    work: Store<u64>,
    members: Vec<Member>,
    platform_up: bool,
    rng: ChaCha8Rng,
    accepted: u64,
    rejected: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = (0..4)
            .map(|index| Member {
                lease: Lease::new(&format!("host-{index}")),
                rate: rng.random_range(0.95..1.05),
                paused_until: Duration::ZERO,
                response: None,
                prepared: None,
            })
            .collect();
        let (store, work) = (Store::default(), Store::default());
        Self {
            now: Duration::ZERO,
            store,
            work,
            members,
            platform_up: true,
            rng,
            accepted: 0,
            rejected: 0,
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(50);
        if self.rng.random_bool(0.001) {
            self.platform_up = !self.platform_up;
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
        let local_now = now.mul_f64(member.rate);
        if member.response.as_ref().is_some_and(|(at, _)| *at <= now) {
            let (_, response) = member.response.take().unwrap();
            member.lease.handle_response(response, local_now);
        }
        if let Some(request) = member.lease.tick(local_now) {
            let delay = Duration::from_millis(self.rng.random_range(0..3000));
            let lost = !self.platform_up || self.rng.random_bool(0.1);
            let applied = self.platform_up && (!lost || self.rng.random_bool(0.5));
            let response = if applied { self.store.respond(request) } else { Response::Failed };
            let response = if lost { Response::Failed } else { response };
            member.response = Some((now + delay, response));
        }
        self.act(index, local_now);
        if self.rng.random_bool(0.002) {
            let pause = Duration::from_millis(self.rng.random_range(100..40_000));
            self.members[index].paused_until = now + pause;
        }
    }

    /// Reads the work object and writes it some steps later without checking the clock again, as a
    /// member that is paused in between would.
    fn act(&mut self, index: usize, local_now: Duration) {
        let member = &mut self.members[index];
        let Some((permit, version)) = member.prepared.take() else {
            if let Some(permit) = member.lease.permit(local_now) {
                let seen = self.work.object;
                // A higher term in the object means that this member's term has ended.
                if seen.is_none_or(|(_, term)| term <= permit.term) {
                    member.prepared = Some((permit, seen.map(|(version, _)| version)));
                }
            }
            return;
        };
        let before = self.work.object.map_or(0, |(_, term)| term);
        if self.work.write(permit.term, version).is_some() {
            self.accepted += 1;
            assert!(permit.term >= before, "term {} acted after term {before}", permit.term);
        } else {
            self.rejected += 1;
        }
    }
}

fn env_or(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn random_faults_leave_one_holder_and_no_action_under_an_old_term() {
    let (mut accepted, mut rejected) = (0, 0);
    for seed in 0..env_or("CITRON_SEEDS", 20) {
        println!(
            "CITRON_SEEDS={} cargo test -p citron --test lease random (seed {seed})",
            seed + 1
        );
        let mut simulation = Simulation::new(seed);
        for _ in 0..env_or("CITRON_STEPS", 20_000) {
            simulation.step();
        }
        accepted += simulation.accepted;
        rejected += simulation.rejected;
    }
    assert!(
        accepted > 0 && rejected > 0,
        "{accepted} actions took effect, {rejected} were rejected"
    );
}

#[test]
fn a_term_that_the_platform_lost_is_not_used_again() {
    let mut store = Store::<Record>::default();
    let mut lease = Lease::new("a");
    let now = run(&mut lease, &mut store, Duration::ZERO, RENEWAL_INTERVAL);
    let before = lease.permit(now).expect("a free lease is taken").term;
    store.object = None;
    let until_taken = LEASE_DURATION + TAKEOVER_MARGIN + RENEWAL_INTERVAL * 2;
    let now = run(&mut lease, &mut store, now, until_taken);
    let after = lease.permit(now).expect("it is taken again").term;
    assert!(after > before, "{after} after {before}");
}
