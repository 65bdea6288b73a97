//! An event simulation in which proxies learn only what answers tell them.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use citron::choice::{Load, Proxy, State, Target, TargetReport};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    MEAN_SERVICE, Service,
    chooser::{Chooser, Method},
};

const TARGETS: usize = 20;
const SLOTS: u32 = 3;
const PROXIES: usize = 18;
const DOMAINS: usize = 4;
const NEAR_ONE_WAY: Duration = Duration::from_micros(50);
const FAR_ONE_WAY: Duration = Duration::from_micros(500);
/// Attempts after which a request is refused.
const ATTEMPTS: usize = 4;
/// How long a request waits for a free slot before it is refused.
const PATIENCE: Duration = Duration::from_millis(500);
/// How often a proxy with waiting requests chooses again.
const RECHECK: Duration = Duration::from_millis(2);

pub struct Setup {
    pub service: Service,
    pub load: f64,
    pub method: Method,
    pub length: Duration,
    pub seed: u64,
}

pub struct Outcome {
    pub sheds_per_request: f64,
    pub refused: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// The standard deviation of requests per target over their mean.
    pub spread: f64,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
enum Event {
    Arrive { proxy: usize },
    Reach { target: usize, request: usize },
    Finish { target: usize, request: usize },
    Shed { target: usize, request: usize, busy: u32 },
    Answer { target: usize, request: usize, busy: u32 },
    Recheck { proxy: usize },
}

struct Request {
    proxy: usize,
    arrived: Duration,
    sent: Duration,
    tried: Vec<usize>,
}

struct Simulation<'a> {
    setup: &'a Setup,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    proxies: Vec<Chooser>,
    waiting: Vec<VecDeque<usize>>,
    busy: Vec<u32>,
    served: Vec<u64>,
    sheds: u64,
    refused: u64,
    latency: Histogram<u64>,
}

/// Runs one method at one load.
pub fn simulate(setup: &Setup) -> Outcome {
    let mut simulation = Simulation::new(setup);
    for proxy in 0..PROXIES {
        simulation.arrive_later(proxy, Duration::ZERO);
    }
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.step(event, now);
    }
    simulation.outcome()
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup) -> Self {
        let hosts: Vec<Proxy> = (0..PROXIES)
            .map(|index| Proxy {
                domain: domain(index).into(),
                host: format!("proxy-{index:02}").into(),
            })
            .collect();
        let targets: Vec<Target> = (0..TARGETS).map(target).collect();
        Self {
            setup,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            proxies: hosts
                .iter()
                .map(|host| Chooser::new(setup.method, host, &hosts, &targets))
                .collect(),
            waiting: vec![VecDeque::new(); PROXIES],
            busy: vec![0; TARGETS],
            served: vec![0; TARGETS],
            sheds: 0,
            refused: 0,
            latency: Histogram::new(3).expect("three digits are supported"),
        }
    }

    fn step(&mut self, event: Event, now: Duration) {
        match event {
            Event::Arrive { proxy } => self.arrive(proxy, now),
            Event::Reach { target, request } => self.reach(target, request, now),
            Event::Finish { target, request } => self.finish(target, request, now),
            Event::Shed { target, request, busy } => self.shed(target, request, busy, now),
            Event::Answer { target, request, busy } => self.answer(target, request, busy, now),
            Event::Recheck { proxy } => self.serve(proxy, now),
        }
    }

    fn arrive_later(&mut self, proxy: usize, now: Duration) {
        let per_second = self.setup.load * (TARGETS as f64) * f64::from(SLOTS)
            / MEAN_SERVICE.as_secs_f64()
            / PROXIES as f64;
        let at = now + Duration::from_secs_f64(exponential(&mut self.rng) / per_second);
        if at < self.setup.length {
            self.push(at, Event::Arrive { proxy });
        }
    }

    fn arrive(&mut self, proxy: usize, now: Duration) {
        self.arrive_later(proxy, now);
        let request = self.requests.len();
        self.requests.push(Request { proxy, arrived: now, sent: now, tried: Vec::new() });
        self.waiting[proxy].push_back(request);
        self.serve(proxy, now);
    }

    /// Sends waiting requests in order until no target is chosen.
    fn serve(&mut self, proxy: usize, now: Duration) {
        while let Some(&request) = self.waiting[proxy].front() {
            let tried = &self.requests[request].tried;
            if tried.len() >= ATTEMPTS || now > self.requests[request].arrived + PATIENCE {
                self.refused += 1;
                self.waiting[proxy].pop_front();
                continue;
            }
            let Some(target) = self.proxies[proxy].pick(tried, now, &mut self.rng) else {
                self.push(now + RECHECK, Event::Recheck { proxy });
                return;
            };
            self.waiting[proxy].pop_front();
            self.proxies[proxy].start(target);
            self.requests[request].sent = now;
            self.push(now + way(proxy, target), Event::Reach { target, request });
        }
    }

    fn reach(&mut self, target: usize, request: usize, now: Duration) {
        let back = now + way(self.requests[request].proxy, target);
        if self.busy[target] == SLOTS {
            self.push(back, Event::Shed { target, request, busy: SLOTS });
            return;
        }
        self.busy[target] += 1;
        self.served[target] += 1;
        let takes = self.service_time();
        self.push(now + takes, Event::Finish { target, request });
    }

    fn finish(&mut self, target: usize, request: usize, now: Duration) {
        self.busy[target] -= 1;
        let busy = self.busy[target];
        let back = now + way(self.requests[request].proxy, target);
        self.push(back, Event::Answer { target, request, busy });
    }

    fn shed(&mut self, target: usize, request: usize, busy: u32, now: Duration) {
        self.sheds += 1;
        let proxy = self.requests[request].proxy;
        self.proxies[proxy].shed(target, answer_of(busy), now);
        self.requests[request].tried.push(target);
        self.waiting[proxy].push_front(request);
        self.serve(proxy, now);
    }

    fn answer(&mut self, target: usize, request: usize, busy: u32, now: Duration) {
        let Request { proxy, arrived, sent, .. } = self.requests[request];
        self.proxies[proxy].answer(target, answer_of(busy), now - sent, now);
        let took = (now - arrived).as_micros() as u64;
        self.latency.record(took).expect("the histogram grows as needed");
        self.serve(proxy, now);
    }

    fn service_time(&mut self) -> Duration {
        let factor = match self.setup.service {
            Service::Even => self.rng.random_range(0.9..1.1),
            Service::Exponential => exponential(&mut self.rng),
            // 0.9 * 0.5 + 0.1 * 5.5 = 1
            Service::Mixed if self.rng.random_bool(0.9) => 0.5,
            Service::Mixed => 5.5,
        };
        MEAN_SERVICE.mul_f64(factor)
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn outcome(&self) -> Outcome {
        let requests = self.requests.len() as f64;
        let mean = self.served.iter().sum::<u64>() as f64 / TARGETS as f64;
        let variance = self.served.iter().map(|&count| (count as f64 - mean).powi(2)).sum::<f64>()
            / TARGETS as f64;
        Outcome {
            sheds_per_request: self.sheds as f64 / requests,
            refused: self.refused as f64 / requests,
            p50_ms: self.latency.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: self.latency.value_at_quantile(0.99) as f64 / 1e3,
            spread: variance.sqrt() / mean,
        }
    }
}

fn target(index: usize) -> Target {
    Target {
        name: format!("lot-desk-{index:02}").into(),
        service: "lot-desk".into(),
        address: format!("10.0.0.{index}:80").into(),
        domain: domain(index).into(),
        slots: SLOTS,
        connections: 400,
        leaving: false,
    }
}

fn answer_of(busy: u32) -> TargetReport {
    TargetReport {
        load: Some(Load { in_use: busy, slots: SLOTS }),
        state: State::Ready,
        ..TargetReport::default()
    }
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

fn way(proxy: usize, target: usize) -> Duration {
    if proxy % DOMAINS == target % DOMAINS { NEAR_ONE_WAY } else { FAR_ONE_WAY }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
