//! The customers' quotas: random histories of a fleet against the bound, and how much of a quota
//! callers get.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

use citron::{
    customer::Quota,
    quota::{
        Asks, Bucket, Candidate, GrantEligibility, Ineligible, Member, Owners, Share, Standing,
        Ticket,
    },
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The window of the bound, in milliseconds.
const WINDOW_MS: u64 = 5000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// The time of one step of a history, in milliseconds.
const STEP_MS: u64 = 10;

/// How the fleet of a history differs from the real one.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Variant {
    Real,
    /// The bucket of a process that restarts is full.
    StartsFull,
    /// A return that arrives twice, as each does, adds two tokens.
    ReturnsRepeat,
}

struct Host {
    name: String,
    born_ms: u64,
    bucket: Option<Bucket>,
    asks: Asks,
    paused_until: u64,
    /// Tokens that `Variant::ReturnsRepeat` has added.
    added: u64,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
enum Mail {
    Grant { owner: usize, born_ms: u64, ticket: u64 },
    Return { to: usize, born_ms: u64, ticket: u64 },
}

struct Fleet {
    hosts: Vec<Host>,
    owners: Owners,
    quota: Quota,
    variant: Variant,
    rng: ChaCha8Rng,
    now_ms: u64,
    mail: BinaryHeap<Reverse<(u64, u64, Mail)>>,
    sent: u64,
    /// When requests ran, in milliseconds.
    runs: Vec<u64>,
    asked: u64,
    /// The share of messages that are lost, and of those that arrive twice.
    faults: f64,
}

fn members(hosts: usize) -> Vec<Member> {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let member = |n: usize| Member {
        host: Arc::from(format!("entry-{n}")),
        domain: Arc::from(format!("d{}", n % 4)),
        address,
        standing: Standing::Active,
    };
    (0..hosts).map(member).collect()
}

impl Fleet {
    fn new(hosts: usize, quota: Quota, variant: Variant, seed: u64) -> Self {
        let host = |n: usize| Host {
            name: format!("entry-{n}"),
            born_ms: 0,
            bucket: None,
            asks: Asks::default(),
            paused_until: 0,
            added: 0,
        };
        let mut owners = Owners::default();
        owners.set_members(members(hosts));
        Self {
            hosts: (0..hosts).map(host).collect(),
            owners,
            quota,
            variant,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            mail: BinaryHeap::new(),
            sent: 0,
            runs: Vec::new(),
            asked: 0,
            faults: 0.0,
        }
    }

    fn age(&self, host: usize) -> Duration {
        Duration::from_millis(self.now_ms - self.hosts[host].born_ms)
    }

    fn grant(&mut self, owner: usize, for_itself: bool) -> Result<u64, Duration> {
        let name = self.hosts[owner].name.clone();
        let share = self.owners.share_of(&name, "north", &self.quota).expect("an owner");
        let age = self.age(owner);
        let starts_full = self.variant == Variant::StartsFull;
        let host = &mut self.hosts[owner];
        if host.added > 0 {
            host.added -= 1;
            return Ok(u64::MAX);
        }
        let create =
            || if starts_full { Bucket::full(share) } else { Bucket::new(share, Duration::ZERO) };
        let bucket = host.bucket.get_or_insert_with(create);
        let granted = if for_itself { bucket.take(&share, age) } else { bucket.grant(&share, age) };
        granted.map(|Ticket(ticket)| ticket)
    }

    fn post(&mut self, mail: Mail) {
        let copies = match self.rng.random::<f64>() {
            dice if dice < self.faults => 0,
            dice if dice < self.faults * 2.0 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = if self.rng.random_bool(self.faults / 2.0 + 0.01) { 900 } else { 2 };
            let at = self.now_ms + self.rng.random_range(0..=delay);
            self.sent += 1;
            self.mail.push(Reverse((at, self.sent, mail)));
        }
    }

    /// A request of a caller at a host; `runs` is whether its target runs it.
    fn request(&mut self, at: usize, runs: bool) -> bool {
        let names: Vec<String> =
            self.owners.of("north", &self.quota).iter().map(|m| m.host.to_string()).collect();
        let own = names.iter().position(|name| *name == self.hosts[at].name);
        if own.is_some()
            && let Ok(ticket) = self.grant(at, true)
        {
            self.end(at, at, ticket, runs);
            return true;
        }
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .filter(|name| **name != self.hosts[at].name)
            .map(|host| Candidate { host, is_near: false, is_live: true })
            .collect();
        let now = self.age(at);
        for index in self.hosts[at].asks.order(&candidates, own.is_some(), now, &mut self.rng) {
            let name = candidates[index].host;
            let owner = self.hosts.iter().position(|h| h.name == name).expect("a host");
            self.asked += 1;
            if self.hosts[owner].paused_until > self.now_ms || self.rng.random_bool(self.faults) {
                self.hosts[at].asks.record_silence(name, now);
                continue;
            }
            match self.grant(owner, false) {
                // Late or lost: the next owner is asked, and the grant is returned.
                Ok(ticket) if self.rng.random_bool(self.faults) => {
                    let born_ms = self.hosts[owner].born_ms;
                    self.post(Mail::Grant { owner, born_ms, ticket });
                }
                Ok(ticket) => {
                    self.hosts[at].asks.record_grant(name);
                    self.end(at, owner, ticket, runs);
                    return true;
                }
                Err(next_at) => {
                    let wait = next_at.saturating_sub(self.age(owner));
                    self.hosts[at].asks.record_empty(name, now + wait);
                }
            }
        }
        false
    }

    fn end(&mut self, at: usize, owner: usize, ticket: u64, runs: bool) {
        if runs {
            self.runs.push(self.now_ms);
            return;
        }
        let born_ms = self.hosts[owner].born_ms;
        let mail = Mail::Return { to: owner, born_ms, ticket };
        if at == owner { self.deliver(mail) } else { self.post(mail) }
    }

    fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Grant { owner, born_ms, ticket } => {
                self.post(Mail::Return { to: owner, born_ms, ticket });
            }
            Mail::Return { to, .. } if self.variant == Variant::ReturnsRepeat => {
                self.hosts[to].added += 2;
            }
            Mail::Return { to, born_ms, ticket } => {
                let age = self.age(to);
                let host = &mut self.hosts[to];
                if let Some(bucket) = host.bucket.as_mut().filter(|_| host.born_ms == born_ms) {
                    bucket.take_back(Ticket(ticket), age);
                }
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while self.mail.peek().is_some_and(|Reverse((at, ..))| *at <= self.now_ms) {
            let Some(Reverse((_, _, mail))) = self.mail.pop() else { break };
            self.deliver(mail);
        }
    }

    fn restart(&mut self, host: usize) {
        let born_ms = self.now_ms;
        let host = &mut self.hosts[host];
        (host.born_ms, host.bucket, host.asks) = (born_ms, None, Asks::default());
    }

    /// Returns by how much the fullest window exceeds the bound, at most 0 if none does.
    fn excess(&self, quota: &Quota) -> f64 {
        let bound = (quota.rate_per_s * WINDOW_MS as f64 / 1000.0 + quota.burst) * (1.0 + OVERAGE);
        let count = |(first, at): (usize, &u64)| {
            self.runs[first..].iter().take_while(|other| **other <= at + WINDOW_MS).count()
        };
        let fullest = self.runs.iter().enumerate().map(count).max().unwrap_or(0);
        fullest as f64 - (bound + SLACK)
    }
}

/// A random history, and by how much it exceeds the bound.
fn history(variant: Variant, seed: u64, rate_per_s: f64, burst: f64, hosts: usize) -> f64 {
    let highest = Quota { rate_per_s, burst };
    let mut fleet = Fleet::new(hosts, highest, variant, seed);
    fleet.faults = 0.1;
    for step in 0..1500 {
        fleet.step();
        let dice: f64 = fleet.rng.random();
        let host = fleet.rng.random_range(0..hosts);
        if dice < 0.02 {
            fleet.restart(host);
        } else if dice < 0.03 {
            fleet.hosts[host].paused_until = fleet.now_ms + 700;
        } else if dice < 0.032 {
            let part = fleet.rng.random_range(0.3..=1.0);
            fleet.quota = Quota { rate_per_s: rate_per_s * part, burst: (burst * part).max(1.0) };
        }
        // Demand comes in waves, so that buckets fill in between.
        let demand = if step % 900 < 300 { rate_per_s * 0.1 } else { rate_per_s * 5.0 };
        let mut requests = demand * STEP_MS as f64 / 1000.0;
        while requests > 0.0 {
            if fleet.rng.random::<f64>() < requests {
                let at = fleet.rng.random_range(0..hosts);
                let runs = fleet.rng.random_bool(0.5);
                fleet.request(at, runs);
            }
            requests -= 1.0;
        }
    }
    fleet.excess(&highest)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_bound(
        seed: u64, rate in 1.0..120.0f64, burst in 1.0..60.0f64, hosts in 1usize..36,
    ) {
        let excess = history(Variant::Real, seed, rate, burst, hosts);
        prop_assert!(excess <= 0.0, "{excess} over the bound");
    }

    #[test]
    fn a_bucket_never_holds_more_than_its_burst(
        acts in prop::collection::vec((0u64..600, prop::bool::ANY), 1..200),
    ) {
        let share = Share { rate_per_s: 7.0, burst: 3.0 };
        let mut bucket = Bucket::new(share, Duration::ZERO);
        let (mut now, mut taken) = (Duration::ZERO, Vec::new());
        for (wait_ms, takes) in acts {
            now += Duration::from_millis(wait_ms);
            match taken.pop() {
                Some(ticket) if !takes => { bucket.take_back(ticket, now); }
                _ => taken.extend(bucket.take(&share, now)),
            }
            prop_assert!(bucket.tokens() <= 3.0);
        }
    }
}

/// The histories must be able to find what they guard against.
macro_rules! broken_variant {
    ($($name:ident: $variant:expr;)*) => {$(
        #[test]
        fn $name() {
            let worst = (0..8).map(|seed| history($variant, seed, 40.0, 60.0, 4));
            let worst = worst.fold(f64::MIN, f64::max);
            assert!(worst > 0.0, "no history exceeds the bound: {worst}");
        }
    )*};
}

broken_variant! {
    buckets_that_start_full_exceed_the_bound: Variant::StartsFull;
    returns_that_count_twice_exceed_the_bound: Variant::ReturnsRepeat;
}

/// Runs demand at hosts that `host` chooses by the number of the request, at `load` times the quota;
/// returns the part of the quota that was served, and the asks for each served request.
fn utilisation(load: f64, host: impl Fn(u64) -> usize) -> (f64, f64) {
    let quota = Quota { rate_per_s: 40.0, burst: 20.0 };
    let mut fleet = Fleet::new(35, quota, Variant::Real, 1);
    let (seconds, mut due, mut request) = (30, 0.0, 0);
    for _ in 0..seconds * 1000 / STEP_MS {
        fleet.step();
        due += load * quota.rate_per_s * STEP_MS as f64 / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            request += 1;
            fleet.request(host(request), true);
        }
    }
    let served = fleet.runs.len() as f64;
    (served / (quota.rate_per_s * seconds as f64), fleet.asked as f64 / served)
}

macro_rules! utilisations {
    ($($name:ident: $load:expr, $host:expr => $least:expr, $asks:expr;)*) => {$(
        #[test]
        fn $name() {
            let (part, asks) = utilisation($load, $host);
            assert!(part >= $least, "{part} of the quota is served");
            assert!(asks <= $asks, "{asks} asks for each served request");
        }
    )*};
}

utilisations! {
    demand_at_all_hosts_gets_the_quota: 1.0, |n| (n * 7 % 35) as usize => 0.9, 2.0;
    demand_at_one_host_gets_the_quota: 1.0, |_| 3 => 0.9, 2.0;
    demand_that_moves_gets_the_quota: 1.0, |n| (n / 60 % 35) as usize => 0.9, 2.0;
    a_customer_far_over_its_quota_gets_it_and_asks_little: 7.0, |n| (n * 7 % 35) as usize => 0.95, 6.0;
}

#[test]
fn a_known_empty_owner_is_not_asked() {
    let (mut asks, mut rng) = (Asks::default(), ChaCha8Rng::seed_from_u64(1));
    let at = Duration::from_millis;
    let candidate = |host| Candidate { host, is_near: host == "b", is_live: host != "c" };
    let candidates = ["a", "b", "c"].map(candidate);
    assert_eq!(asks.order(&candidates, false, at(0), &mut rng).as_slice(), [1, 0, 2]);
    asks.record_empty("b", at(50));
    asks.record_silence("c", at(0));
    assert_eq!(asks.order(&candidates, false, at(10), &mut rng).as_slice(), [0]);
    assert_eq!(asks.next_token_at(&candidates, at(10)), Some(at(50)));
    assert!(asks.order(&candidates[2..], true, at(10), &mut rng).is_empty(), "this host is empty");
    asks.record_empty("a", at(40));
    assert!(asks.order(&candidates, false, at(39), &mut rng).is_empty());
    assert_eq!(asks.next_token_at(&candidates, at(39)), Some(at(40)));
    assert_eq!(asks.order(&candidates, false, at(60), &mut rng).as_slice(), [1, 0, 2]);
}

/// Two hosts whose lists differ must not grant the same part.
#[test]
fn a_host_grants_only_under_a_recent_list() {
    let s = Duration::from_secs;
    let mut eligibility = GrantEligibility::default();
    assert_eq!(eligibility.check(false, s(0)), Err(Ineligible::Joining));
    eligibility.set_standing(Standing::Active);
    assert_eq!(eligibility.check(false, s(0)), Err(Ineligible::NoList));
    eligibility.record_list(s(0), s(0));
    (0..40).for_each(|second| eligibility.tick(s(second)));
    assert_eq!(eligibility.check(true, s(19)), Ok(()));
    assert_eq!(eligibility.check(true, s(40)), Err(Ineligible::ListOld));
    assert_eq!(eligibility.check(false, s(40)), Ok(()), "nobody is in contact with the store");
    assert_eq!(
        eligibility.check(false, s(90)),
        Err(Ineligible::ListOld),
        "it stood still and heard nobody"
    );
    eligibility.tick(s(90));
    assert_eq!(
        eligibility.check(false, s(91)),
        Err(Ineligible::ListOld),
        "it has not heard its peers yet"
    );
    (91..95).for_each(|second| eligibility.tick(s(second)));
    assert_eq!(eligibility.check(false, s(94)), Ok(()));
}

#[test]
fn a_quota_has_an_owner_for_each_request_of_its_burst_and_at_most_four() {
    let mut owners = Owners::default();
    owners.set_members(members(35));
    for (burst, count) in [(1.0, 1), (2.9, 2), (4.0, 4), (90.0, 4)] {
        let quota = Quota { rate_per_s: 1.0, burst };
        let found = owners.of("north", &quota);
        assert_eq!(found.len(), count);
        let mut domains: Vec<_> = found.iter().map(|member| &member.domain).collect();
        domains.sort();
        domains.dedup();
        assert_eq!(domains.len(), count, "each owner is in another failure domain");
    }
}
