//! Which gateways callers are sent to: a fleet of unlike hosts whose demand moves, and failures.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use citron::spread::{Candidate, Load, Power, Reason, Spread, Subset};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// How many requests a second a whole core carries in the simulation.
const CORE_PER_S: f64 = 1000.0;
/// The interval between two steps of the simulation.
const STEP: Duration = Duration::from_millis(100);
/// The requests a second of one caller.
const CALLER_PER_S: f64 = 0.5;
/// How long after its last report a gateway is not named.
const REPORT_TIMEOUT: Duration = Duration::from_millis(3500);

/// A simulated gateway.
#[derive(Debug, Clone)]
struct Host {
    name: String,
    domain: usize,
    cpu_share: f64,
    is_alive: bool,
    last_report: Duration,
    is_heard: bool,
    requests_per_s: f64,
    lateness: Duration,
    born_ms: u64,
}

/// A caller with its cached answer.
#[derive(Debug, Clone)]
struct Caller {
    domain: usize,
    answer: Vec<usize>,
    keeps: Duration,
    expires: Duration,
}

/// How callers are spread.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Policy {
    Spread,
    /// All ready gateways get equal shares.
    Equal,
}

/// What a run measured after its start.
#[derive(Debug, Default)]
struct Outcome {
    /// The share of requests at an overloaded host.
    overloaded: f64,
    /// The mean number of hosts that received requests.
    hosts_in_use: f64,
    /// The greatest mean utilisation of a host.
    highest_use: f64,
    /// The share of requests at an overloaded host with a perfect split by power.
    perfect: f64,
}

struct Simulation {
    hosts: Vec<Host>,
    callers: Vec<Caller>,
    spreads: Vec<Spread>,
    domains: usize,
    policy: Policy,
    now: Duration,
    rng: ChaCha8Rng,
    /// By what the demand is multiplied, of each domain.
    factor: Vec<f64>,
    waves: bool,
    /// Per step: requests, those at an overloaded host, hosts in use, those of a perfect split.
    steps: Vec<(Duration, [f64; 4])>,
    use_sums: Vec<f64>,
}

impl Simulation {
    fn new(shares: &[f64], domains: usize, per_s: f64, policy: Policy) -> Self {
        let host = |(n, cpu_share): (usize, &f64)| Host {
            name: format!("host-{n}"),
            domain: n % domains,
            cpu_share: *cpu_share,
            is_alive: true,
            last_report: Duration::ZERO,
            is_heard: true,
            requests_per_s: 0.0,
            lateness: Duration::ZERO,
            born_ms: 1,
        };
        let hosts: Vec<Host> = shares.iter().enumerate().map(host).collect();
        let caller = |n: usize| {
            let keeps = Duration::from_secs(if n.is_multiple_of(3) { 15 } else { 5 });
            let expires = keeps * (n % 97) as u32 / 97;
            Caller { domain: n / 3 % domains, answer: Vec::new(), keeps, expires }
        };
        Self {
            use_sums: vec![0.0; hosts.len()],
            hosts,
            callers: (0..(per_s / CALLER_PER_S) as usize).map(caller).collect(),
            spreads: (0..domains).map(|_| Spread::default()).collect(),
            domains,
            policy,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(7),
            factor: vec![1.0; domains],
            waves: true,
            steps: Vec::new(),
        }
    }

    fn demand_factor(&self, domain: usize) -> f64 {
        let phase = domain as f64 / self.domains as f64;
        let wave = (std::f64::consts::TAU * (self.now.as_secs_f64() / 13.0 + phase)).sin();
        self.factor[domain] * if self.waves { 1.0 + 0.55 * wave } else { 1.0 }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for domain in 0..self.domains {
            let candidates = candidates(&self.hosts, domain);
            self.spreads[domain].update(&candidates, &format!("domain-{domain}"), self.now);
        }
        let mut arriving = vec![0.0; self.hosts.len()];
        for n in 0..self.callers.len() {
            if self.callers[n].expires <= self.now || self.callers[n].answer.is_empty() {
                let answer = self.answer(self.callers[n].domain);
                let caller = &mut self.callers[n];
                caller.expires = self.now + caller.keeps;
                caller.answer = answer;
            }
            let caller = &self.callers[n];
            // A caller that meets a lost gateway tries others of its answer.
            let mut tries = (0..4).filter_map(|_| caller.answer.choose(&mut self.rng));
            if let Some(host) = tries.find(|host| self.hosts[**host].is_alive) {
                arriving[*host] += CALLER_PER_S * self.demand_factor(caller.domain);
            }
        }
        self.measure(&arriving);
    }

    fn answer(&mut self, domain: usize) -> Vec<usize> {
        let ready = |host: &Host| host.is_heard && host.domain == domain;
        match self.spreads[domain].subset() {
            Some(subset) if self.policy == Policy::Spread => {
                let drawn = subset.draw(|_| true, &mut self.rng);
                drawn.iter().map(|address| usize::from(address.port()) - 1000).collect()
            }
            _ => (0..self.hosts.len()).filter(|n| ready(&self.hosts[*n])).collect(),
        }
    }

    fn measure(&mut self, arriving: &[f64]) {
        let mut step = [arriving.iter().sum(), 0.0, 0.0, 0.0];
        let weight = 1.0 - (-STEP.as_secs_f64()).exp();
        for (n, (host, per_s)) in self.hosts.iter_mut().zip(arriving).enumerate() {
            host.requests_per_s += (per_s - host.requests_per_s) * weight;
            // Each caller stands for a Poisson stream; the mean over a second tells an overload.
            let used = host.requests_per_s / (host.cpu_share * CORE_PER_S);
            self.use_sums[n] += used;
            if used > 1.0 {
                step[1] += per_s;
            }
            step[2] += f64::from(u8::from(*per_s > 0.0));
            let lateness = ((used - 0.8).max(0.0) * 400.0) as u64;
            host.lateness = Duration::from_millis(lateness);
            if host.is_alive {
                host.last_report = self.now;
            }
            host.is_heard = self.now < host.last_report + REPORT_TIMEOUT;
        }
        for domain in 0..self.domains {
            let of_domain = |n: &usize| self.hosts[*n].domain == domain && self.hosts[*n].is_alive;
            let all = || (0..self.hosts.len()).filter(of_domain);
            let demand: f64 = all().map(|n| arriving[n]).sum();
            let capacity: f64 = all().map(|n| self.hosts[n].cpu_share * CORE_PER_S).sum();
            step[3] += if demand > capacity { demand } else { 0.0 };
        }
        self.steps.push((self.now, step));
    }

    /// Sums up what was measured since `start`.
    fn outcome(&self, start: Duration) -> Outcome {
        let steps: Vec<_> = self.steps.iter().filter(|(at, _)| *at > start).collect();
        let sum = |n: usize| steps.iter().map(|(_, step)| step[n]).sum::<f64>();
        let highest = self.use_sums.iter().copied().fold(0.0, f64::max);
        Outcome {
            overloaded: sum(1) / sum(0),
            hosts_in_use: sum(2) / steps.len() as f64,
            highest_use: highest / self.steps.len() as f64,
            perfect: sum(3) / sum(0),
        }
    }

    fn kill(&mut self, which: impl Fn(&Host) -> bool) {
        self.hosts.iter_mut().filter(|host| which(host)).for_each(|host| host.is_alive = false);
    }

    fn subset(&self, domain: usize) -> &Subset {
        self.spreads[domain].subset().expect("an uneven domain")
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

fn candidates(hosts: &[Host], domain: usize) -> Vec<Candidate<'_>> {
    let of_domain = hosts.iter().enumerate().filter(|(_, host)| host.domain == domain);
    let candidate = |(n, host): (usize, &'_ Host)| Candidate {
        host: &hosts[n].name,
        born_ms: host.born_ms,
        callers: address(n),
        is_ready: host.is_heard,
        load: Some(Load {
            power: Power { cpu_share: host.cpu_share, link_mbps: 10.0, memory_bytes: 1 << 27 },
            requests_per_s: host.requests_per_s,
            lateness: host.lateness,
            fullness: 0.0,
        }),
    };
    of_domain.map(candidate).collect()
}

/// Returns the processors of a fleet with a few strong hosts.
fn unlike(count: usize, strong: usize) -> Vec<f64> {
    (0..count).map(|n| if n < strong { 0.5 } else { 0.07 }).collect()
}

/// Compares a run with one in which all ready gateways get equal shares.
macro_rules! carried {
    ($name:ident, $hosts:literal, $strong:literal, $domains:literal, $per_s:literal, $moved:expr) => {
        #[test]
        fn $name() {
            let mut outcomes = BTreeMap::new();
            for policy in [Policy::Spread, Policy::Equal] {
                let shares = unlike($hosts, $strong);
                let mut simulation = Simulation::new(&shares, $domains, $per_s, policy);
                simulation.run(Duration::from_secs(40));
                let moved: Option<(usize, usize)> = $moved;
                if let Some((from, to)) = moved {
                    let callers = simulation.callers.iter_mut().filter(|c| c.domain == from);
                    for caller in callers.step_by(2) {
                        (caller.domain, caller.expires) = (to, Duration::ZERO);
                    }
                }
                simulation.run(Duration::from_secs(40));
                outcomes.insert(policy as u8, simulation.outcome(Duration::from_secs(20)));
            }
            let (spread, equal) = (&outcomes[&0], &outcomes[&1]);
            println!("{}: spread {spread:?} equal {equal:?}", stringify!($name));
            assert!(spread.overloaded <= equal.overloaded + 0.02, "{spread:?} {equal:?}");
            assert!(spread.overloaded <= spread.perfect + 0.02, "{spread:?}");
            assert!(spread.hosts_in_use <= equal.hosts_in_use, "{spread:?} {equal:?}");
            assert!(spread.highest_use <= 0.5, "a host above the target use: {spread:?}");
        }
    };
}

carried!(small_fleet, 17, 3, 2, 400.0, None);
carried!(small_fleet_with_a_move, 17, 3, 2, 400.0, Some((0, 1)));
carried!(large_fleet, 173, 6, 3, 640.0, None);
carried!(large_fleet_with_a_move, 173, 6, 3, 640.0, Some((0, 1)));
carried!(large_fleet_with_much_demand, 173, 6, 3, 3000.0, None);
carried!(thousand_hosts, 1000, 36, 3, 3800.0, None);
carried!(thousand_hosts_with_a_move, 1000, 36, 3, 3800.0, Some((0, 1)));

fn settled() -> Simulation {
    let mut simulation = Simulation::new(&unlike(173, 6), 3, 640.0, Policy::Spread);
    simulation.run(Duration::from_secs(40));
    simulation
}

#[test]
fn a_subset_is_named_and_every_answer_has_strong_and_other_gateways() {
    let mut simulation = settled();
    for domain in 0..3 {
        let answer = simulation.answer(domain);
        assert!(answer.len() >= 4, "{answer:?}");
        assert!(answer.iter().filter(|n| **n >= 6).count() >= 2, "{answer:?}");
        assert!(simulation.subset(domain).len() < 20, "{:?}", simulation.subset(domain));
    }
}

/// Guards against callers that are sent to lost gateways, or all to one, after the strong ones of a
/// domain died at once.
#[test]
fn all_strong_gateways_of_a_domain_lost() {
    let mut simulation = settled();
    simulation.kill(|host| host.domain == 0 && host.cpu_share > 0.1);
    simulation.run(REPORT_TIMEOUT + STEP);
    let subset = simulation.subset(0);
    assert!(subset.strong.is_empty() && subset.others.len() >= 10, "{subset:?}");
    let lost_at = simulation.now;
    simulation.run(Duration::from_secs(16));
    let outcome = simulation.outcome(lost_at + Duration::from_secs(6));
    assert!(outcome.overloaded < 0.05, "{outcome:?}");
}

/// Guards against a gateway that receives everything as soon as it has started.
#[test]
fn a_started_gateway_is_named_after_a_second_beside_the_others() {
    let mut simulation = settled();
    simulation.kill(|host| host.name == "host-0");
    simulation.run(Duration::from_secs(5));
    let before = simulation.subset(0).clone();
    assert!(!before.contains(&address(0)));
    simulation.hosts[0].is_alive = true;
    simulation.hosts[0].born_ms = 2;
    simulation.run(STEP * 9);
    assert!(!simulation.subset(0).contains(&address(0)));
    simulation.run(STEP * 5);
    let after = simulation.subset(0);
    assert!(after.contains(&address(0)));
    assert!(before.others.iter().all(|other| after.contains(other)), "the others keep their share");
}

/// Guards against a burst that meets a subset that is as small as the mean allows.
#[test]
fn a_burst_and_a_doubled_demand_are_carried() {
    for factor in [2.0, 2.5] {
        let mut simulation = settled();
        simulation.waves = false;
        let before = simulation.subset(1).len();
        let start = simulation.now;
        simulation.factor[1] = factor;
        simulation.run(Duration::from_secs(2));
        assert!(simulation.subset(1).len() > before, "the subset grows at once");
        simulation.run(Duration::from_secs(6));
        let outcome = simulation.outcome(start);
        println!("burst {factor}: {outcome:?}");
        assert!(outcome.overloaded < 0.05, "{outcome:?}");
        simulation.factor[1] = 1.0;
        let grown = simulation.subset(1).len();
        simulation.run(Duration::from_secs(9));
        assert_eq!(simulation.subset(1).len(), grown, "it shrinks slowly");
        simulation.run(Duration::from_secs(6));
        assert!(simulation.subset(1).len() < grown, "it shrinks");
    }
}

/// Guards against a late gateway that keeps its callers, and against late ones that all return at once.
#[test]
fn late_gateways_leave_at_once_and_return_one_at_a_time() {
    let mut simulation = settled();
    let strong = simulation.subset(0).strong.clone();
    assert_eq!(strong.len(), 2);
    let decide = |simulation: &mut Simulation, lateness: u64| {
        simulation.now += STEP;
        for host in simulation.hosts.iter_mut().filter(|host| host.cpu_share > 0.1) {
            host.lateness = Duration::from_millis(lateness);
        }
        let candidates = candidates(&simulation.hosts, 0);
        let reason = simulation.spreads[0].update(&candidates, "domain-0", simulation.now);
        (reason, simulation.subset(0).strong.len())
    };
    assert_eq!(decide(&mut simulation, 150), (Some(Reason::Late), 0));
    let sizes: Vec<usize> = (0..45).map(|_| decide(&mut simulation, 0).1).collect();
    assert!(sizes[..28].iter().all(|size| *size == 0), "{sizes:?}");
    assert!(sizes[32..38].iter().all(|size| *size == 1), "{sizes:?}");
    assert_eq!(sizes[44], 2);
}

/// Guards against an empty answer when every gateway runs late.
#[test]
fn a_domain_in_which_all_run_late_is_still_named() {
    let mut simulation = settled();
    simulation.hosts.iter_mut().for_each(|host| host.lateness = Duration::from_secs(1));
    let candidates = candidates(&simulation.hosts, 0);
    simulation.spreads[0].update(&candidates, "domain-0", simulation.now + STEP);
    assert!(simulation.subset(0).len() >= 4);
}

/// Guards against directories that send their callers to different gateways, because reports of some
/// did not reach them.
#[test]
fn different_views_give_nearly_the_same_subset() {
    let mut simulation = settled();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let full = simulation.subset(0).clone();
    let mut hosts = simulation.hosts.clone();
    hosts.iter_mut().filter(|_| rng.random_bool(0.1)).for_each(|host| host.is_heard = false);
    let candidates = candidates(&hosts, 0);
    simulation.spreads[0].update(&candidates, "domain-0", simulation.now + STEP);
    let other = simulation.subset(0);
    let common = other.iter().filter(|address| full.contains(address)).count();
    assert!(common * 10 >= full.len() * 7, "{full:?} {other:?}");
}

macro_rules! even {
    ($name:ident, $shares:expr, $reports:expr) => {
        #[test]
        fn $name() {
            let simulation = Simulation::new(&$shares, 1, 0.0, Policy::Spread);
            let mut candidates = candidates(&simulation.hosts, 0);
            if !$reports {
                candidates[3].load = None;
            }
            let mut spread = Spread::default();
            for second in 0..60 {
                let reason = spread.update(&candidates, "domain-0", Duration::from_secs(second));
                assert_eq!(reason, None);
                assert!(spread.subset().is_none() && !spread.is_watched("host-0"));
            }
        }
    };
}

even!(equal_hosts, [0.5; 20], true);
even!(hosts_of_half_the_power, [vec![0.5; 8], vec![0.24; 27]].concat(), true);
even!(a_gateway_of_an_earlier_build, unlike(20, 2), false);
