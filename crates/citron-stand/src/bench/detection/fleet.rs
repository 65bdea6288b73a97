//! The library's observers, steward and floors, joined by messages that are late or lost.

use std::time::Duration;

use citron::health::{
    Batch, Coordinator, HealthSignal, HealthWeight, Observer, Target, TargetWeights, Ticket,
    Verdict,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{
    noise,
    setup::{DOMAINS, PROXIES, Setup, TARGETS},
};

/// The interval of a proxy's reports.
const REPORT: Duration = Duration::from_millis(200);
/// The interval of the steward's decisions.
const DECIDE: Duration = Duration::from_millis(100);
/// The share of messages that are lost.
const LOSS: f64 = 0.02;
/// The mean time of a batch from a proxy to the steward.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// The mean time of a verdict from the steward to a proxy, by gossip.
const VERDICT_DELAY: Duration = Duration::from_millis(200);

/// One service's detection over all proxies.
pub struct Fleet {
    service: &'static str,
    names: Vec<String>,
    observers: Vec<Observer>,
    floors: Vec<TargetWeights>,
    standings: Vec<[HealthWeight; TARGETS]>,
    reports: Vec<Duration>,
    steward: Coordinator,
    decided: Duration,
    batches: Vec<(Duration, Batch)>,
    verdicts: Vec<(Duration, usize, Verdict)>,
}

impl Fleet {
    /// Starts all parts at time zero.
    pub fn open(setup: &Setup) -> Self {
        let targets: Vec<Target> = (0..TARGETS)
            .map(|index| Target {
                name: format!("t{index}"),
                domain: format!("d{}", index % DOMAINS),
                leaving: false,
            })
            .collect();
        let now = Duration::ZERO;
        let mut steward = Coordinator::new("h0", setup.name, setup.profile, setup.floor, now);
        steward.set_targets(&targets, now);
        let (observers, floors) =
            (0..PROXIES).map(|index| open_proxy(setup, &targets, index)).unzip();
        Self {
            service: setup.name,
            names: targets.into_iter().map(|target| target.name).collect(),
            observers,
            floors,
            standings: vec![[HealthWeight::FULL; TARGETS]; PROXIES],
            reports: (0..PROXIES as u32).map(|index| REPORT * index / PROXIES as u32).collect(),
            steward,
            decided: now,
            batches: Vec::new(),
            verdicts: Vec::new(),
        }
    }

    /// Notes that an attempt began.
    pub fn began(&mut self, proxy: usize, target: usize, now: Duration) -> Ticket {
        self.observers[proxy].attempt_started(self.service, &self.names[target], now)
    }

    /// Notes how an attempt ended.
    pub fn ended(&mut self, proxy: usize, ticket: Ticket, end: HealthSignal, now: Duration) {
        self.observers[proxy].attempt_ended(ticket, end, now);
    }

    /// Returns a target's weight at a proxy and whether it is on trial.
    pub fn weight(&self, proxy: usize, target: usize) -> (f64, bool) {
        let standing = self.standings[proxy][target];
        (standing.weight, standing.trial)
    }

    /// Sends and delivers what is due.
    pub fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng) {
        for proxy in 0..PROXIES {
            if now >= self.reports[proxy] {
                self.reports[proxy] += REPORT;
                self.report(proxy, now, rng);
            }
        }
        for (_, batch) in self.batches.extract_if(.., |(due, _)| *due <= now) {
            self.steward.add_batch(&batch, now);
        }
        if now >= self.decided + DECIDE {
            self.decided = now;
            self.decide(now, rng);
        }
        for (_, proxy, verdict) in self.verdicts.extract_if(.., |(due, ..)| *due <= now) {
            self.floors[proxy].apply_verdict(&verdict);
        }
        for proxy in 0..PROXIES {
            self.settle(proxy);
        }
    }

    fn report(&mut self, proxy: usize, now: Duration, rng: &mut ChaCha8Rng) {
        let Some(batch) = self.observers[proxy].report(now) else { return };
        if !rng.random_bool(LOSS) {
            self.batches.push((now + noise::exponential(rng, BATCH_DELAY), batch));
        }
    }

    fn decide(&mut self, now: Duration, rng: &mut ChaCha8Rng) {
        for verdict in self.steward.tick(now) {
            for proxy in 0..PROXIES {
                if !rng.random_bool(LOSS) {
                    let due = now + noise::exponential(rng, VERDICT_DELAY);
                    self.verdicts.push((due, proxy, verdict.clone()));
                }
            }
        }
    }

    fn settle(&mut self, proxy: usize) {
        let observer = &self.observers[proxy];
        self.floors[proxy].update(self.service, |target| observer.suspicion(self.service, target));
        for (target, name) in self.names.iter().enumerate() {
            self.standings[proxy][target] = self.floors[proxy].get(self.service, name);
        }
    }
}

fn open_proxy(setup: &Setup, targets: &[Target], index: usize) -> (Observer, TargetWeights) {
    let mut observer = Observer::new(format!("h{index}"), format!("d{}", index % DOMAINS), 0);
    observer.set_profile(setup.name, setup.profile, Duration::ZERO);
    observer.set_targets(setup.name, targets, Duration::ZERO);
    let mut floor = TargetWeights::new();
    floor.set_targets(setup.name, targets);
    floor.set_floor(setup.name, setup.floor);
    (observer, floor)
}
