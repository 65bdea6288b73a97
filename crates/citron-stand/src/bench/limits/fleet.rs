//! A fleet of 18 proxies under faults, stepped through simulated time.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use citron::{
    limit::{OwnerLookup, Owners, Verdict},
    policy::Allowance,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use strum::Display;

use super::{
    meter::Meter,
    network::Network,
    proxy::{Method, Proxy},
};

const HOSTS: usize = 18;
const HOMES: usize = 3;
const STEP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(100);
/// How often a fault begins.
const FAULT_INTERVAL: Duration = Duration::from_secs(12);
/// The time that is left out of the usable part.
const WARM_UP: Duration = Duration::from_secs(15);
/// The longest time until a proxy learns of a changed host list, or a dropped host stops.
const LIST_LAG_MS: u64 = 2500;
const ALLOWANCE: Allowance = Allowance { rate: 100.0, burst: 20.0 };
/// Requests per second offered to the fleet, as a multiple of the rate.
const OFFERED: f64 = 2.0;

/// Where the requests arrive.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Demand {
    /// At the customer's first home.
    Home,
    /// At one proxy that is no home.
    Elsewhere,
    /// At the customer's homes alike.
    Homes,
    /// At all proxies alike.
    Spread,
}

/// Which faults happen.
#[derive(Debug, Copy, Clone)]
pub struct Faults {
    /// The probability that a message is lost.
    pub loss: f64,
    /// Whether one-way cuts come and go.
    pub cuts: bool,
    /// Whether hosts are replaced and processes restarted.
    pub replacements: bool,
    /// Whether processes are paused.
    pub pauses: bool,
    /// Whether messages are repeated and reordered.
    pub repeats: bool,
}

impl Faults {
    /// No faults.
    pub const NONE: Self =
        Self { loss: 0.0, cuts: false, replacements: false, pauses: false, repeats: false };
}

/// One run.
#[derive(Debug, Copy, Clone)]
pub struct Setup {
    /// How allowances are kept.
    pub method: Method,
    /// Where the requests arrive.
    pub demand: Demand,
    /// Which faults happen.
    pub faults: Faults,
    /// The simulated time.
    pub length: Duration,
    /// The seed.
    pub seed: u64,
}

/// What came of a run.
#[derive(Debug, Copy, Clone)]
pub struct Outcome {
    /// The most that a window exceeded rate x window + burst by, requests.
    pub over: f64,
    /// Admitted requests over the plan's, after the first seconds.
    pub usable: f64,
}

struct Fleet<'a> {
    setup: &'a Setup,
    rng: ChaCha8Rng,
    network: Network,
    proxies: BTreeMap<Arc<str>, Proxy>,
    listed: Vec<Arc<str>>,
    /// Lists on their way to a host.
    news: Vec<(Duration, Arc<str>, Vec<Arc<str>>)>,
    /// Hosts that were dropped from the list and stop at a time.
    stopping: Vec<(Duration, Arc<str>)>,
    paused: BTreeMap<Arc<str>, Duration>,
    /// Requests that wait for a loan, by proxy.
    waiting: Vec<(Arc<str>, Duration)>,
    meter: Meter,
    made: usize,
}

/// Runs the fleet.
pub fn simulate(setup: &Setup) -> Outcome {
    let mut fleet = Fleet::new(setup);
    let mut now = Duration::ZERO;
    let mut before = 0;
    while now < setup.length {
        fleet.step(now);
        if now < WARM_UP {
            before = fleet.meter.admitted();
        }
        now += STEP;
    }
    let plan = ALLOWANCE.rate * (setup.length.saturating_sub(WARM_UP)).as_secs_f64();
    Outcome {
        over: fleet.meter.over(),
        usable: (fleet.meter.admitted() - before) as f64 / plan.max(1.0),
    }
}

impl<'a> Fleet<'a> {
    fn new(setup: &'a Setup) -> Self {
        let mut fleet = Self {
            setup,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            network: Network::default(),
            proxies: BTreeMap::new(),
            listed: Vec::new(),
            news: Vec::new(),
            stopping: Vec::new(),
            paused: BTreeMap::new(),
            waiting: Vec::new(),
            meter: Meter::new(ALLOWANCE),
            made: 0,
        };
        for _ in 0..HOSTS {
            let host = fleet.next_host();
            fleet.listed.push(Arc::clone(&host));
            fleet.start(&host, Duration::ZERO);
        }
        for host in fleet.listed.clone() {
            fleet.news.push((Duration::ZERO, host, fleet.listed.clone()));
        }
        fleet
    }

    fn step(&mut self, now: Duration) {
        self.spread_news(now);
        self.fault(now);
        self.deliver(now);
        self.retry(now);
        self.demand(now);
        if now.as_millis().is_multiple_of(TICK.as_millis()) {
            let paused = &self.paused;
            let awake = self.proxies.values_mut().filter(|proxy| !paused.contains_key(&proxy.host));
            awake.for_each(|proxy| proxy.tick(now));
        }
        self.send(now);
    }

    fn spread_news(&mut self, now: Duration) {
        self.paused.retain(|_, until| *until > now);
        let due = |at: &Duration, host: &Arc<str>| *at <= now && !self.paused.contains_key(host);
        let news: Vec<_> = self.news.extract_if(.., |(at, host, _)| due(at, host)).collect();
        for (_, host, list) in news {
            if let Some(proxy) = self.proxies.get_mut(&host) {
                proxy.set_homes(finder(list), now);
            }
        }
        for (_, host) in self.stopping.extract_if(.., |(at, _)| *at <= now) {
            self.proxies.remove(&host);
        }
    }

    fn fault(&mut self, now: Duration) {
        if now.is_zero() || !now.as_millis().is_multiple_of(FAULT_INTERVAL.as_millis()) {
            return;
        }
        let faults = self.setup.faults;
        if faults.replacements {
            if self.rng.random_bool(0.5) {
                self.replace(now);
            } else {
                let host = self.pick_home();
                self.start(&host, now);
                self.news.push((now, host, self.listed.clone()));
            }
        }
        if faults.pauses {
            let host = self.pick_home();
            let length = Duration::from_millis(self.rng.random_range(100..9000));
            self.paused.insert(host, now + length);
        }
        if faults.cuts {
            self.network.cuts.clear();
            for _ in 0..HOSTS {
                let from = self.pick_home();
                let to = Arc::clone(self.listed.choose(&mut self.rng).expect("hosts are listed"));
                let pair = if self.rng.random() { (from, to) } else { (to, from) };
                self.network.cuts.insert(pair);
            }
        }
    }

    /// Puts a new host in place of a home; some hosts stop before the list drops them, others after.
    fn replace(&mut self, now: Duration) {
        let old = self.pick_home();
        let new = self.next_host();
        self.listed.retain(|host| *host != old);
        self.listed.push(Arc::clone(&new));
        self.start(&new, now);
        let stops = self.rng.random_range(0..LIST_LAG_MS);
        self.stopping.push((now + Duration::from_millis(stops), old));
        for host in self.listed.clone() {
            let lag = Duration::from_millis(self.rng.random_range(0..LIST_LAG_MS));
            let lag = if host == new { Duration::ZERO } else { lag };
            self.news.push((now + lag, host, self.listed.clone()));
        }
    }

    fn deliver(&mut self, now: Duration) {
        while let Some(letter) = self.network.receive(now) {
            if let Some(&until) = self.paused.get(&letter.to) {
                self.network.keep(letter, until);
                continue;
            }
            if let Some(proxy) = self.proxies.get_mut(&letter.to) {
                proxy.receive(&letter.from, &letter.message, now);
            }
        }
    }

    fn demand(&mut self, now: Duration) {
        let probability = ALLOWANCE.rate * OFFERED * STEP.as_secs_f64();
        if !self.rng.random_bool(probability.min(1.0)) {
            return;
        }
        let homes = homes(&self.listed);
        let host = match self.setup.demand {
            Demand::Home => homes.first().cloned(),
            Demand::Elsewhere => self.listed.iter().find(|host| !homes.contains(host)).cloned(),
            Demand::Homes => homes.choose(&mut self.rng).cloned(),
            Demand::Spread => self.listed.choose(&mut self.rng).cloned(),
        };
        if let Some(host) = host {
            self.admit(&host, None, now);
        }
    }

    fn retry(&mut self, now: Duration) {
        for (host, until) in std::mem::take(&mut self.waiting) {
            self.admit(&host, Some(until), now);
        }
    }

    fn admit(&mut self, host: &Arc<str>, waits_until: Option<Duration>, now: Duration) {
        if self.paused.contains_key(host) {
            return;
        }
        let Some(proxy) = self.proxies.get_mut(host) else { return };
        match proxy.admit(now) {
            Verdict::Admitted => self.meter.admit(now),
            Verdict::Borrowing { until } => {
                let until = waits_until.unwrap_or(until);
                if now < until {
                    self.waiting.push((Arc::clone(host), until));
                }
            }
            Verdict::Refused { .. } => {}
        }
    }

    fn send(&mut self, now: Duration) {
        for proxy in self.proxies.values_mut() {
            for out in proxy.drain() {
                self.network.send(&proxy.host, out, &self.setup.faults, now, &mut self.rng);
            }
        }
    }

    fn start(&mut self, host: &Arc<str>, now: Duration) {
        let Setup { method, .. } = *self.setup;
        let proxy = Proxy::open(host, method, ALLOWANCE, HOSTS, self.rng.random(), now);
        self.proxies.insert(Arc::clone(host), proxy);
    }

    fn pick_home(&mut self) -> Arc<str> {
        let homes = homes(&self.listed);
        Arc::clone(homes.choose(&mut self.rng).expect("there are homes"))
    }

    fn next_host(&mut self) -> Arc<str> {
        self.made += 1;
        format!("host-{:03}", self.made).into()
    }
}

fn finder(list: Vec<Arc<str>>) -> OwnerLookup {
    Arc::new(move |_, _| homes(&list))
}

/// Ranks hosts by a hash and takes the first ones.
fn homes(list: &[Arc<str>]) -> Owners {
    let mut ranked: Vec<(u64, &Arc<str>)> = list.iter().map(|host| (hash(host), host)).collect();
    ranked.sort();
    ranked.into_iter().take(HOMES).map(|(_, host)| Arc::clone(host)).collect()
}

fn hash(host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}
