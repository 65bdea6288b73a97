//! Requests, attempts and targets in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use citron::health::{HealthSignal, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    detector::{Detector, Method},
    noise,
    setup::{Fault, Network, PROXIES, Setup, TARGETS},
    target::{Admission, Outcome, Target},
};

/// The interval at which time passes for the detector.
const TICK: Duration = Duration::from_millis(50);
/// The weight up to which a target gets no more than a trickle.
const TRICKLE: f64 = 0.06;
/// Attempts of one request at most.
const ATTEMPTS: u32 = 3;
/// The share of requests that are idempotent.
const IDEMPOTENT: f64 = 0.8;
/// The mean time between load bursts.
const BURST_EVERY: Duration = Duration::from_secs(45);

/// Everything that happens, in order of time.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
enum Event {
    Arrive(usize),
    Reach(u64),
    Done(u64, usize, Outcome),
    Reply(u64, Outcome),
    Timeout(u64),
    Tick,
}

/// A request on its way.
#[derive(Debug, Copy, Clone)]
struct Request {
    proxy: usize,
    idempotent: bool,
    deadline: Duration,
    tries: u32,
}

/// An attempt in flight.
struct Attempt {
    request: Request,
    target: usize,
    began: Duration,
    ticket: Option<Ticket>,
}

/// A time of higher load.
#[derive(Debug, Copy, Clone)]
struct Burst {
    from: Duration,
    until: Duration,
    load: f64,
    service: f64,
}

/// The simulation.
pub struct World {
    /// The virtual time.
    pub now: Duration,
    setup: Setup,
    network: Network,
    rng: ChaCha8Rng,
    detector: Detector,
    targets: Vec<Target>,
    attempts: HashMap<u64, Attempt>,
    in_flight: Vec<[u32; TARGETS]>,
    weights: Vec<[(f64, bool); TARGETS]>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next: u64,
    burst: Burst,
    avoided: Vec<[u32; TARGETS]>,
}

impl World {
    /// Starts a simulation at time zero.
    pub fn open(setup: &Setup, network: Network, method: Method, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            setup: *setup,
            network,
            rng: ChaCha8Rng::seed_from_u64(seed),
            detector: Detector::open(method, setup),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            attempts: HashMap::new(),
            in_flight: vec![[0; TARGETS]; PROXIES],
            weights: vec![[(1.0, false); TARGETS]; PROXIES],
            events: BinaryHeap::new(),
            next: 0,
            burst: Burst { from: Duration::ZERO, until: Duration::ZERO, load: 1.0, service: 1.0 },
            avoided: vec![[0; TARGETS]; PROXIES],
        };
        for proxy in 0..PROXIES {
            world.schedule(Duration::ZERO, Event::Arrive(proxy));
        }
        world.schedule(TICK, Event::Tick);
        world
    }

    /// Makes a target sick from `since` on.
    pub fn break_target(&mut self, target: usize, fault: Fault, since: Duration) {
        self.targets[target].fault = Some((fault, since));
    }

    /// Runs until the end of the next tick.
    pub fn advance(&mut self) {
        while let Some(Reverse((due, _, event))) = self.events.pop() {
            self.now = due;
            self.handle(event);
            if event == Event::Tick {
                return;
            }
        }
    }

    /// Whether a proxy sends a target no more than a trickle.
    pub fn is_avoided(&self, proxy: usize, target: usize) -> bool {
        self.weights[proxy][target].0 <= TRICKLE
    }

    /// Returns how often each proxy began to avoid each target.
    pub fn avoided(&self) -> &[[u32; TARGETS]] {
        &self.avoided
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(proxy) => self.arrive(proxy),
            Event::Reach(id) => self.reach(id),
            Event::Done(id, target, outcome) => self.done(id, target, outcome),
            Event::Reply(id, outcome) => self.reply(id, outcome),
            Event::Timeout(id) => self.end(id, HealthSignal::TimedOut),
            Event::Tick => self.tick(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + after, self.next, event)));
    }

    fn arrive(&mut self, proxy: usize) {
        let rate = self.setup.rate / PROXIES as f64 * self.burst_load();
        let gap = noise::exponential(&mut self.rng, Duration::from_secs_f64(1.0 / rate));
        self.schedule(gap, Event::Arrive(proxy));
        let request = Request {
            proxy,
            idempotent: self.rng.random_bool(IDEMPOTENT),
            deadline: self.now + self.setup.deadline,
            tries: 0,
        };
        self.send(request);
    }

    fn send(&mut self, mut request: Request) {
        let Some(target) = self.choose(&request) else { return };
        request.tries += 1;
        self.next += 1;
        let id = self.next;
        let ticket = self.detector.began(request.proxy, target, self.now);
        self.in_flight[request.proxy][target] += 1;
        self.attempts.insert(id, Attempt { request, target, began: self.now, ticket });
        self.schedule(request.deadline - self.now, Event::Timeout(id));
        if let Some(delay) = self.way(request.proxy, target) {
            self.schedule(delay, Event::Reach(id));
        }
    }

    /// Returns the less busy of two targets drawn by weight.
    fn choose(&mut self, request: &Request) -> Option<usize> {
        let first = self.draw(request)?;
        let second = self.draw(request)?;
        let busy = &self.in_flight[request.proxy];
        Some(if busy[second] < busy[first] { second } else { first })
    }

    fn draw(&mut self, request: &Request) -> Option<usize> {
        let weights = &self.weights[request.proxy];
        let usable = |(weight, trial): (f64, bool)| {
            if trial && !request.idempotent { 0.0 } else { weight }
        };
        let total: f64 = weights.iter().map(|one| usable(*one)).sum();
        if total <= 0.0 {
            return None;
        }
        let mut left = self.rng.random::<f64>() * total;
        for (target, one) in weights.iter().enumerate() {
            left -= usable(*one);
            if left < 0.0 {
                return Some(target);
            }
        }
        weights.iter().rposition(|one| usable(*one) > 0.0)
    }

    fn way(&mut self, proxy: usize, target: usize) -> Option<Duration> {
        if self.network.is_bad(proxy, target) {
            noise::bad_way(&mut self.rng)
        } else {
            Some(noise::one_way(&mut self.rng))
        }
    }

    fn reach(&mut self, id: u64) {
        let Some(target) = self.attempts.get(&id).map(|attempt| attempt.target) else { return };
        match self.targets[target].admit(id) {
            Admission::Started => self.start(id, target),
            Admission::Queued => {}
            Admission::Shed => self.answer(id, Outcome::Shed),
        }
    }

    fn start(&mut self, id: u64, target: usize) {
        let median = self.setup.median.mul_f64(self.burst_service());
        let (time, outcome) =
            self.targets[target].serve(self.now, median, self.setup.deadline, &mut self.rng);
        // The target cancels what its proxy no longer waits for.
        let time = match self.attempts.get(&id) {
            Some(attempt) => time.min(attempt.request.deadline.saturating_sub(self.now)),
            None => Duration::ZERO,
        };
        self.schedule(time, Event::Done(id, target, outcome));
    }

    fn done(&mut self, id: u64, target: usize, outcome: Outcome) {
        if let Some(next) = self.targets[target].finish() {
            self.start(next, target);
        }
        self.answer(id, outcome);
    }

    fn answer(&mut self, id: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let (proxy, target) = (attempt.request.proxy, attempt.target);
        if let Some(delay) = self.way(proxy, target) {
            self.schedule(delay, Event::Reply(id, outcome));
        }
    }

    fn reply(&mut self, id: u64, outcome: Outcome) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let end = match outcome {
            Outcome::Good => HealthSignal::Answered(self.now - attempt.began),
            Outcome::Error => HealthSignal::Error,
            Outcome::Foreign => HealthSignal::Foreign,
            Outcome::Shed => HealthSignal::Shed,
            Outcome::Nothing => return,
        };
        self.end(id, end);
    }

    fn end(&mut self, id: u64, end: HealthSignal) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        let request = attempt.request;
        self.in_flight[request.proxy][attempt.target] -= 1;
        self.detector.ended(request.proxy, attempt.target, attempt.ticket, end, self.now);
        let again = end == HealthSignal::Shed || (request.idempotent && end == HealthSignal::Error);
        if again && request.tries < ATTEMPTS && self.now < request.deadline {
            self.send(request);
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK, Event::Tick);
        self.detector.tick(self.now, &mut self.rng);
        for proxy in 0..PROXIES {
            for target in 0..TARGETS {
                let before = self.is_avoided(proxy, target);
                self.weights[proxy][target] = self.detector.weight(proxy, target, self.now);
                if self.is_avoided(proxy, target) && !before {
                    self.avoided[proxy][target] += 1;
                }
            }
        }
        if self.now >= self.burst.until {
            self.plan_burst();
        }
    }

    fn plan_burst(&mut self) {
        let from = self.now + noise::exponential(&mut self.rng, BURST_EVERY);
        self.burst = Burst {
            from,
            until: from + Duration::from_millis(self.rng.random_range(1000..4000)),
            load: self.rng.random_range(1.5..2.2),
            service: self.rng.random_range(1.1..1.6),
        };
    }

    fn burst_load(&self) -> f64 {
        if self.now >= self.burst.from { self.burst.load } else { 1.0 }
    }

    fn burst_service(&self) -> f64 {
        if self.now >= self.burst.from { self.burst.service } else { 1.0 }
    }
}
