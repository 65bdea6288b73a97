//! One service's slots behind one proxy, shared by customers.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use citron::{
    limit::{HANDOVER, RateLimiter, Verdict},
    policy::{Allowance, Class},
    queue::{Limits, PendingRequest, Queue, Ticket},
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 60;
const MEAN_SERVICE: Duration = Duration::from_millis(50);
/// Customers besides the noisy one, which is number zero.
const OTHERS: usize = 9;
const DEADLINE: Duration = Duration::from_millis(500);
const LIMITS: Limits = Limits { total: 256, customer: 64 };
/// Each customer's plan: a tenth of what the slots serve.
const ALLOWANCE: Allowance = Allowance { rate: 120.0, burst: 30.0 };
/// The time before which nothing is counted.
const WARM_UP: Duration = HANDOVER.saturating_mul(2);

#[derive(Debug, Copy, Clone)]
pub struct Setup {
    pub gate: bool,
    pub queue: bool,
    /// The others' requests as a part of the slots.
    pub load: f64,
    /// The noisy customer's requests as a multiple of its plan.
    pub excess: f64,
    pub length: Duration,
    pub seed: u64,
}

#[derive(Debug, Copy, Clone)]
pub struct Outcome {
    pub refused: f64,
    pub p99_ms: f64,
    pub noisy_per_second: f64,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
enum Event {
    Arrive { customer: usize },
    Finish { customer: usize, arrived: Duration },
}

struct Simulation<'a> {
    setup: &'a Setup,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    gate: RateLimiter,
    busy: usize,
    fair: Queue,
    tickets: HashMap<Ticket, (usize, Duration)>,
    first_come: VecDeque<(usize, Duration)>,
    latency: Histogram<u64>,
    offered: u64,
    refused: u64,
    noisy: u64,
}

/// Runs one setup.
pub fn simulate(setup: &Setup) -> Outcome {
    let mut gate = RateLimiter::new("proxy", 0, HANDOVER, Duration::ZERO);
    gate.set_owner_lookup(
        Arc::new(|_, _| [Arc::from("proxy")].into_iter().collect()),
        Duration::ZERO,
    );
    let mut simulation = Simulation {
        setup,
        rng: ChaCha8Rng::seed_from_u64(setup.seed),
        events: BinaryHeap::new(),
        sequence: 0,
        gate,
        busy: 0,
        fair: Queue::new(LIMITS),
        tickets: HashMap::new(),
        first_come: VecDeque::new(),
        latency: Histogram::new(3).expect("three digits are supported"),
        offered: 0,
        refused: 0,
        noisy: 0,
    };
    for customer in 0..=OTHERS {
        simulation.arrive_later(customer, Duration::ZERO);
    }
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        match event {
            Event::Arrive { customer } => simulation.arrive(customer, now),
            Event::Finish { customer, arrived } => simulation.finish(customer, arrived, now),
        }
    }
    let seconds = (setup.length - WARM_UP).as_secs_f64();
    Outcome {
        refused: simulation.refused as f64 / simulation.offered as f64,
        p99_ms: simulation.latency.value_at_quantile(0.99) as f64 / 1e3,
        noisy_per_second: simulation.noisy as f64 / seconds,
    }
}

impl Simulation<'_> {
    fn arrive_later(&mut self, customer: usize, now: Duration) {
        let capacity = SLOTS as f64 / MEAN_SERVICE.as_secs_f64();
        let rate = match customer {
            0 => ALLOWANCE.rate * self.setup.excess,
            _ => capacity * self.setup.load / OTHERS as f64,
        };
        if rate > 0.0 {
            let at = now + Duration::from_secs_f64(self.exponential() / rate);
            if at < self.setup.length {
                self.push(at, Event::Arrive { customer });
            }
        }
    }

    fn arrive(&mut self, customer: usize, now: Duration) {
        self.arrive_later(customer, now);
        if customer != 0 && now >= WARM_UP {
            self.offered += 1;
        }
        let name = format!("customer-{customer}");
        let admitted = !self.setup.gate
            || self.gate.admit(&name, "tec-live", &ALLOWANCE, now) == Verdict::Admitted;
        if !admitted {
            self.refuse(customer, now);
        } else if self.busy < SLOTS {
            self.start(customer, now, now);
        } else if self.setup.queue {
            self.wait_fairly(customer, &name, now);
        } else if self.first_come.len() < LIMITS.total {
            self.first_come.push_back((customer, now));
        } else {
            self.refuse(customer, now);
        }
    }

    fn wait_fairly(&mut self, customer: usize, name: &str, now: Duration) {
        let wait = PendingRequest {
            customer: name,
            weight: 1.0,
            class: Class::Live,
            deadline: now + DEADLINE,
        };
        match self.fair.push(&wait, now) {
            Ok((ticket, evicted)) => {
                self.tickets.insert(ticket, (customer, now));
                if let Some((other, _)) = evicted.and_then(|ticket| self.tickets.remove(&ticket)) {
                    self.refuse(other, now);
                }
            }
            Err(_) => self.refuse(customer, now),
        }
    }

    fn finish(&mut self, customer: usize, arrived: Duration, now: Duration) {
        self.busy -= 1;
        if now >= WARM_UP && customer == 0 {
            self.noisy += 1;
        } else if now >= WARM_UP {
            let took = (now - arrived).as_micros() as u64;
            self.latency.record(took).expect("the histogram grows as needed");
        }
        for ticket in self.fair.expire(now) {
            let (customer, _) = self.tickets.remove(&ticket).expect("a ticket has a request");
            self.refuse(customer, now);
        }
        if let Some(ticket) = self.fair.pop(now) {
            let (customer, arrived) = self.tickets.remove(&ticket).expect("a ticket has a request");
            self.start(customer, arrived, now);
        }
        while let Some((customer, arrived)) = self.first_come.pop_front() {
            if now <= arrived + DEADLINE {
                self.start(customer, arrived, now);
                return;
            }
            self.refuse(customer, now);
        }
    }

    fn start(&mut self, customer: usize, arrived: Duration, now: Duration) {
        self.busy += 1;
        let takes = MEAN_SERVICE.mul_f64(self.exponential());
        self.push(now + takes, Event::Finish { customer, arrived });
    }

    fn refuse(&mut self, customer: usize, now: Duration) {
        if customer != 0 && now >= WARM_UP {
            self.refused += 1;
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln()
    }
}
