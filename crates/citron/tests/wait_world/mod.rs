//! Hosts with retry budgets and wait queues before targets of one service, without a network.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    ops::Range,
    time::Duration,
};

use citron::{
    attempt::{Asks, RetryBound, RetryBucket, RetryShare, Sharer},
    queue::wait::{Limits, Need, Queue, Refusal, Request, Ticket, Work},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 35;
const SLOTS: usize = 6;
const TARGET_QUEUE: usize = 24;
/// The requests at a target from which it counts as saturated.
const SATURATED: usize = 9;
const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 158.0, window: Duration::from_secs(10) };
const FLIGHT: Duration = Duration::from_secs(3);
const LIMITS: Limits = Limits { requests: 256, bytes: usize::MAX };
const LENDERS: usize = 4;
const MAX_ATTEMPTS: usize = 2;
const MAX_REJECTIONS: usize = 6;
const STEP_MS: u64 = 20;
const SHED_BACKOFF_MS: u64 = 250;
/// The time of a rejection, from its request to the next decision.
const REJECTION_MS: u64 = 3;
const START_MS: u64 = 30_000;
const END_MS: u64 = 45_000;

/// Requests that callers send.
#[derive(Debug, Clone)]
pub struct Kind {
    pub customer: &'static str,
    pub priority: u32,
    pub per_s: f64,
    /// By how much the rate rises during the fault.
    pub surge: f64,
    pub work_ms: u64,
    pub objective_ms: u64,
    pub timeout_ms: u64,
}

/// The targets, and what happens from [`FAULT_MS`] on.
#[derive(Debug, Clone)]
pub struct World {
    pub targets: usize,
    pub sick: usize,
    /// The share of the requests that a sick target rejects.
    pub reject: f64,
    /// By how much a sick target is slower.
    pub slow: f64,
    pub fault_ms: u64,
    /// How often a caller repeats a request that was refused.
    pub repeats: u32,
    pub waits: bool,
}

/// When the fault begins.
pub const FAULT_MS: u64 = START_MS + 3000;

/// What the requests of one kind got.
#[derive(Debug, Default, Clone)]
pub struct Count {
    pub sent: usize,
    pub good: usize,
    pub late: usize,
    pub refused: usize,
    pub timed_out: usize,
    /// Refusals after the deadline.
    pub told_late: usize,
    refusal_ms: Vec<u64>,
}

impl Count {
    pub fn served_share(&self) -> f64 {
        (self.good + self.late) as f64 / self.sent as f64
    }

    /// Returns the time until a refusal at a quantile, 0 without any.
    pub fn refusal_ms(&self, quantile: f64) -> u64 {
        let mut times = self.refusal_ms.clone();
        times.sort_unstable();
        times.get((times.len() as f64 * quantile) as usize).copied().unwrap_or(0)
    }
}

#[derive(Debug, Clone)]
struct Call {
    kind: usize,
    host: usize,
    at: u64,
    repeats: u32,
    rejections: usize,
    tried: Vec<usize>,
    done: bool,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Rejected(usize),
    Finish { call: usize, target: usize, started: u64 },
    Step(usize),
}

struct Host {
    bucket: RetryBucket,
    share: RetryShare,
    asks: Asks,
    queue: Queue,
    tickets: HashMap<Ticket, usize>,
    work: HashMap<usize, Work>,
    steps: bool,
}

#[derive(Default)]
struct Target {
    running: usize,
    queued: VecDeque<usize>,
    calm_at: u64,
}

impl Target {
    fn load(&self) -> usize {
        self.running + self.queued.len()
    }
}

struct Play<'a> {
    kinds: &'a [Kind],
    world: &'a World,
    rng: ChaCha8Rng,
    events: BTreeMap<(u64, usize), Event>,
    count: usize,
    calls: Vec<Call>,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    results: Vec<Count>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Plays the load and returns what each kind got.
pub fn play(kinds: &[Kind], world: &World, seed: u64) -> Vec<Count> {
    let host = |rank| Host {
        bucket: RetryBucket::of_new_host(FLIGHT),
        share: RetryShare::new(&BOUND, Sharer { hosts: HOSTS, rank }),
        asks: Asks::default(),
        queue: Queue::new(LIMITS),
        tickets: HashMap::new(),
        work: HashMap::new(),
        steps: false,
    };
    let mut play = Play {
        kinds,
        world,
        rng: ChaCha8Rng::seed_from_u64(seed),
        events: BTreeMap::new(),
        count: 0,
        calls: Vec::new(),
        hosts: (0..HOSTS).map(host).collect(),
        targets: (0..world.targets).map(|_| Target::default()).collect(),
        results: vec![Count::default(); kinds.len()],
    };
    play.add_arrivals();
    while let Some(((now, _), event)) = play.events.pop_first() {
        match event {
            Event::Arrive(call) => play.arrive(call, now),
            Event::Rejected(call) => play.retry(call, now),
            Event::Finish { call, target, started } => play.finish(call, target, started, now),
            Event::Step(host) => play.step_at_interval(host, now),
        }
    }
    play.results
}

impl Play<'_> {
    fn add(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn fault(&self) -> Range<u64> {
        FAULT_MS..FAULT_MS + self.world.fault_ms
    }

    fn add_arrivals(&mut self) {
        for (index, kind) in self.kinds.iter().enumerate() {
            let mut at = START_MS as f64;
            while at < END_MS as f64 {
                let surge = if self.fault().contains(&(at as u64)) { kind.surge } else { 1.0 };
                at += 1000.0 * -self.rng.random_range(1e-9..1.0_f64).ln() / (kind.per_s * surge);
                self.call(index, at as u64, self.world.repeats);
                self.results[index].sent += 1;
            }
        }
    }

    fn call(&mut self, kind: usize, at: u64, repeats: u32) {
        let host = self.rng.random_range(0..HOSTS);
        let tried = Vec::new();
        self.calls.push(Call { kind, host, at, repeats, rejections: 0, tried, done: false });
        self.add(at, Event::Arrive(self.calls.len() - 1));
    }

    /// Returns the free places at all targets, and at those that have not rejected one recently.
    fn places(&self, now: u64) -> (usize, usize) {
        let free = |target: &Target| SATURATED.saturating_sub(target.load());
        let calm = self.targets.iter().filter(|target| target.calm_at <= now).map(free).sum();
        (self.targets.iter().map(free).sum(), calm)
    }

    fn arrive(&mut self, id: usize, now: u64) {
        let call = &self.calls[id];
        let priority = self.kinds[call.kind].priority;
        let host = &mut self.hosts[call.host];
        host.bucket.record_request(&host.share, ms(now));
        let is_held = self.world.waits && host.queue.precedes(priority, Need::Room, ms(now));
        if !is_held && self.places(now).0 > 0 {
            self.send(id, now);
        } else if self.world.waits {
            self.wait(id, Need::Room, now);
        } else {
            self.refuse(id, now);
        }
    }

    fn retry(&mut self, id: usize, now: u64) {
        let call = &self.calls[id];
        let (host, kind) = (call.host, call.kind);
        let most = if self.world.waits { MAX_REJECTIONS } else { MAX_ATTEMPTS };
        if call.rejections >= most {
            return self.refuse(id, now);
        }
        let priority = self.kinds[kind].priority;
        let queue = &self.hosts[host].queue;
        let is_held = self.world.waits && queue.precedes(priority, Need::Token, ms(now));
        if !is_held && (self.withdraw(host, now) || self.borrow(host, now)) {
            self.send(id, now);
        } else if self.world.waits {
            self.wait(id, Need::Token, now);
        } else {
            self.refuse(id, now);
        }
    }

    fn withdraw(&mut self, host: usize, now: u64) -> bool {
        let Host { bucket, share, .. } = &mut self.hosts[host];
        let ticket = bucket.withdraw(share, ms(now));
        ticket.map(|ticket| bucket.record_arrival(ticket, ms(now))).is_ok()
    }

    fn borrow(&mut self, host: usize, now: u64) -> bool {
        if !self.hosts[host].asks.may_ask(ms(now)) {
            return false;
        }
        for _ in 0..LENDERS {
            let lender = self.rng.random_range(0..HOSTS);
            let Host { bucket, share, .. } = &mut self.hosts[lender];
            if let Ok(ticket) = bucket.lend(share, ms(now)) {
                bucket.record_arrival(ticket, ms(now));
                return true;
            }
        }
        self.hosts[host].asks.record_denial(ms(now));
        false
    }

    /// Sends a call to the less loaded of two targets that it was not sent to yet.
    fn send(&mut self, id: usize, now: u64) {
        let tried = &self.calls[id].tried;
        let open: Vec<usize> = (0..self.targets.len()).filter(|t| !tried.contains(t)).collect();
        let pair: Vec<usize> = open.choose_multiple(&mut self.rng, 2).copied().collect();
        let cost =
            |index: &usize| (self.targets[*index].calm_at > now, self.targets[*index].load());
        let index = pair.into_iter().min_by_key(cost).expect("a target");
        let is_sick = index < self.world.sick && self.fault().contains(&now);
        let is_full = self.targets[index].load() >= SLOTS + TARGET_QUEUE;
        self.calls[id].tried.push(index);
        if is_full || (is_sick && self.rng.random_bool(self.world.reject)) {
            self.targets[index].calm_at = now + SHED_BACKOFF_MS;
            self.calls[id].rejections += 1;
            return self.add(now + REJECTION_MS, Event::Rejected(id));
        }
        self.targets[index].queued.push_back(id);
        self.start(index, now);
    }

    fn start(&mut self, target: usize, now: u64) {
        while self.targets[target].running < SLOTS {
            let Some(call) = self.targets[target].queued.pop_front() else { return };
            let kind = &self.kinds[self.calls[call].kind];
            if now >= self.calls[call].at + kind.timeout_ms {
                self.time_out(call);
                continue;
            }
            let is_sick = target < self.world.sick && self.fault().contains(&now);
            let slow = if is_sick { self.world.slow } else { 1.0 };
            let spread = self.rng.random_range(0.5..1.5);
            let took = (kind.work_ms as f64 * slow * spread) as u64;
            self.targets[target].running += 1;
            self.add(now + took, Event::Finish { call, target, started: now });
        }
    }

    fn finish(&mut self, id: usize, target: usize, started: u64, now: u64) {
        self.targets[target].running -= 1;
        self.start(target, now);
        let call = &self.calls[id];
        let kind = &self.kinds[call.kind];
        let took = now - call.at;
        let host = call.host;
        if took > kind.timeout_ms {
            self.time_out(id);
        } else {
            let count = &mut self.results[call.kind];
            if took <= kind.objective_ms {
                count.good += 1;
            } else {
                count.late += 1;
            }
            let work = self.hosts[host].work.entry(call.kind).or_default();
            work.record(ms(now - started));
        }
        self.step(host, now);
    }

    fn time_out(&mut self, id: usize) {
        let call = &mut self.calls[id];
        if !std::mem::replace(&mut call.done, true) {
            self.results[call.kind].timed_out += 1;
        }
    }

    fn refuse(&mut self, id: usize, now: u64) {
        let Call { kind, at, repeats, .. } = self.calls[id];
        let count = &mut self.results[kind];
        count.told_late += usize::from(now > at + self.kinds[kind].timeout_ms);
        count.refusal_ms.push(now - at);
        if repeats > 0 { self.call(kind, now, repeats - 1) } else { count.refused += 1 }
    }

    fn wait(&mut self, id: usize, need: Need, now: u64) {
        let call = &self.calls[id];
        let kind = &self.kinds[call.kind];
        let host = call.host;
        let (objective, time) = (ms(kind.objective_ms), ms(kind.timeout_ms));
        let work = self.hosts[host].work.entry(call.kind).or_default().expected(objective, time);
        let request = Request {
            customer: kind.customer,
            priority: kind.priority,
            need,
            work,
            received_at: ms(call.at),
            objective_at: ms(call.at) + objective,
            deadline: ms(call.at) + time,
            bytes: 1,
        };
        match self.hosts[host].queue.push(&request, ms(now)) {
            Ok((ticket, displaced)) => {
                self.hosts[host].tickets.insert(ticket, id);
                displaced.into_iter().for_each(|ticket| self.drop_waiting(host, ticket, now));
            }
            Err(Refusal::Expired | Refusal::QueueFull) => return self.refuse(id, now),
        }
        if !std::mem::replace(&mut self.hosts[host].steps, true) {
            self.add(now + STEP_MS, Event::Step(host));
        }
    }

    fn drop_waiting(&mut self, host: usize, ticket: Ticket, now: u64) {
        let call = self.hosts[host].tickets.remove(&ticket).expect("it waits");
        self.refuse(call, now);
    }

    /// Decides as the gateway does when an attempt ends and at each interval.
    fn step(&mut self, host: usize, now: u64) {
        let expired = self.hosts[host].queue.expire(Duration::MAX, ms(now));
        expired.into_iter().for_each(|ticket| self.drop_waiting(host, ticket, now));
        let mut only = None;
        while let Some((ticket, need)) = self.hosts[host].queue.peek(only, ms(now)) {
            let (any, calm) = self.places(now);
            if any == 0 {
                break;
            }
            let is_paid = need == Need::Room
                || (calm > 0 && (self.withdraw(host, now) || self.borrow(host, now)));
            if !is_paid {
                only = Some(Need::Room);
                continue;
            }
            assert!(self.hosts[host].queue.release(ticket, ms(now)));
            let call = self.hosts[host].tickets.remove(&ticket).expect("it waits");
            self.calls[call].tried.clear();
            self.send(call, now);
        }
    }

    fn step_at_interval(&mut self, host: usize, now: u64) {
        self.step(host, now);
        self.hosts[host].steps = !self.hosts[host].queue.is_empty();
        if self.hosts[host].steps {
            self.add(now + STEP_MS, Event::Step(host));
        }
    }
}
