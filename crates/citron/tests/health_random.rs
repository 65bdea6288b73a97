//! Seeded random runs of proxies and coordinators whose messages are lost, repeated and reordered.
//!
//! The library asserts the floor and the consistency of verdicts as well.

use std::{env, time::Duration};

use citron::{
    health::{
        Batch, Coordinator, HealthSignal, Observer, Target, TargetWeights, Verdict, floor_count,
    },
    policy::Profile,
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

const SERVICES: [&str; 2] = ["tec-live", "lot-desk"];
const SEEDS: u64 = 12;
const STEPS: u64 = 400;

fn env_or(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Proxies, coordinators of both services on several hosts, and the messages in transit.
struct Fleet {
    rng: ChaCha8Rng,
    now: Duration,
    lists: [Vec<Target>; 2],
    floor: [f64; 2],
    unhealthy: Vec<String>,
    proxies: Vec<(Observer, TargetWeights)>,
    coordinators: Vec<(usize, Coordinator)>,
    batches: Vec<Batch>,
    verdicts: Vec<Verdict>,
    ejected: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..6);
        let proxies = (0..count)
            .map(|index| {
                (
                    Observer::new(format!("h{index}"), format!("d{}", index % 3), 0),
                    TargetWeights::new(),
                )
            })
            .collect();
        let mut fleet = Self {
            rng,
            now: Duration::ZERO,
            lists: [Vec::new(), Vec::new()],
            floor: [0.5, 0.5],
            unhealthy: Vec::new(),
            proxies,
            coordinators: Vec::new(),
            batches: Vec::new(),
            verdicts: Vec::new(),
            ejected: 0,
        };
        for host in 0..2 {
            for (index, service) in SERVICES.iter().enumerate() {
                let profile = if index == 0 { Profile::Fast } else { Profile::Careful };
                let name = format!("h{host}");
                fleet
                    .coordinators
                    .push((index, Coordinator::new(&name, service, profile, 0.5, fleet.now)));
            }
        }
        for service in 0..2 {
            fleet.change_list(service);
        }
        fleet
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(1..120));
        match self.rng.random_range(0..100) {
            0..2 => self.change_list(0),
            2..4 => self.change_list(1),
            4..6 => self.change_floor(),
            6..9 => self.toggle_unhealthy(),
            9..12 => self.forge_verdict(),
            12..14 => self.replace_coordinator(),
            14..60 => self.request(),
            60..75 => self.report(),
            75..85 => self.decide(),
            _ => self.deliver(),
        }
        self.check();
    }

    fn change_list(&mut self, service: usize) {
        let count = self.rng.random_range(0..12);
        let rng = &mut self.rng;
        let mut targets: Vec<Target> = (0..count)
            .map(|index| Target {
                name: format!("{}-{index}", SERVICES[service]),
                domain: format!("d{}", index % 3),
                leaving: rng.random_bool(0.1),
            })
            .collect();
        targets.retain(|_| rng.random_bool(0.9));
        for (observer, weights) in &mut self.proxies {
            observer.set_targets(SERVICES[service], &targets, self.now);
            weights.set_targets(SERVICES[service], &targets);
        }
        for (_, coordinator) in self.coordinators.iter_mut().filter(|(index, _)| *index == service)
        {
            coordinator.set_targets(&targets, self.now);
        }
        self.lists[service] = targets;
    }

    fn change_floor(&mut self) {
        let service = self.rng.random_range(0..2);
        let share = self.rng.random_range(0..=10) as f64 / 10.0;
        self.floor[service] = share;
        for (_, weights) in &mut self.proxies {
            weights.set_floor(SERVICES[service], share);
        }
        // A coordinator may learn of the change later or not at all.
        for (index, coordinator) in &mut self.coordinators {
            if *index == service && self.rng.random_bool(0.5) {
                coordinator.set_policy(Profile::Fast, share);
            }
        }
    }

    fn toggle_unhealthy(&mut self) {
        let service = self.rng.random_range(0..2);
        let index = self.rng.random_range(0..12);
        let name = format!("{}-{index}", SERVICES[service]);
        match self.unhealthy.iter().position(|known| *known == name) {
            Some(index) => drop(self.unhealthy.swap_remove(index)),
            None => self.unhealthy.push(name),
        }
    }

    /// Sends a verdict that no coordinator of this run issued.
    fn forge_verdict(&mut self) {
        let service = self.rng.random_range(0..2);
        let ejected = self.rng.random_bool(0.7);
        self.verdicts.push(Verdict {
            target: format!("{}-{}", SERVICES[service], self.rng.random_range(0..12)),
            service: SERVICES[service].to_owned(),
            ejected,
            trial: !ejected && self.rng.random_bool(0.5),
            epoch: self.rng.random_range(1..20),
            coordinator: format!("h{}", self.rng.random_range(0..4)),
            reason: "forged".to_owned(),
            rank: self.rng.random_range(0..5),
        });
    }

    fn replace_coordinator(&mut self) {
        let index = self.rng.random_range(0..self.coordinators.len());
        let service = self.coordinators[index].0;
        let host = format!("h{}", self.rng.random_range(2..5));
        let mut coordinator = Coordinator::new(
            &host,
            SERVICES[service],
            Profile::Fast,
            self.floor[service],
            self.now,
        );
        coordinator.set_targets(&self.lists[service], self.now);
        for verdict in &self.verdicts {
            coordinator.apply_verdict(verdict, self.now);
        }
        self.coordinators[index].1 = coordinator;
    }

    fn request(&mut self) {
        for _ in 0..20 {
            let service = self.rng.random_range(0..2);
            let proxy = self.rng.random_range(0..self.proxies.len());
            let Some(target) = self.lists[service].get(self.rng.random_range(0..12)) else {
                continue;
            };
            let unhealthy = self.unhealthy.contains(&target.name) || self.rng.random_bool(0.01);
            let end = match self.rng.random_range(0..8) {
                0 => HealthSignal::Shed,
                1 => HealthSignal::Cancelled,
                2 if unhealthy => HealthSignal::TimedOut,
                3 if unhealthy => HealthSignal::Foreign,
                4 if unhealthy => HealthSignal::ConnectFailed,
                5 | 6 if unhealthy => HealthSignal::Error,
                _ => HealthSignal::Answered(Duration::from_millis(self.rng.random_range(5..40))),
            };
            let observer = &mut self.proxies[proxy].0;
            let ticket = observer.attempt_started(SERVICES[service], &target.name, self.now);
            observer.attempt_ended(ticket, end, self.now + Duration::from_millis(20));
        }
    }

    fn report(&mut self) {
        let proxy = self.rng.random_range(0..self.proxies.len());
        self.batches.extend(self.proxies[proxy].0.report(self.now));
        for service in SERVICES {
            let (observer, weights) = &mut self.proxies[proxy];
            weights.update(service, |target| observer.suspicion(service, target));
        }
    }

    fn decide(&mut self) {
        let index = self.rng.random_range(0..self.coordinators.len());
        let verdicts = self.coordinators[index].1.tick(self.now);
        self.ejected += verdicts.iter().filter(|verdict| verdict.ejected).count() as u64;
        self.verdicts.extend(verdicts);
    }

    /// Delivers messages in random order; some are lost, others repeated.
    fn deliver(&mut self) {
        self.batches.shuffle(&mut self.rng);
        for batch in self.batches.split_off(self.batches.len() / 2) {
            for (_, coordinator) in &mut self.coordinators {
                if self.rng.random_bool(0.8) {
                    coordinator.add_batch(&batch, self.now);
                }
            }
        }
        self.verdicts.shuffle(&mut self.rng);
        for verdict in &self.verdicts {
            for (_, weights) in &mut self.proxies {
                if self.rng.random_bool(0.6) {
                    weights.apply_verdict(verdict);
                }
            }
            for (_, coordinator) in &mut self.coordinators {
                if self.rng.random_bool(0.6) {
                    coordinator.apply_verdict(verdict, self.now);
                }
            }
        }
        self.verdicts.truncate(30);
    }

    /// Checks the floor independently of the library's own assertion.
    fn check(&self) {
        for (service, name) in SERVICES.iter().enumerate() {
            let list = &self.lists[service];
            let least = floor_count(self.floor[service], list.len());
            let staying: Vec<_> = list.iter().filter(|target| !target.leaving).collect();
            for (_, weights) in &self.proxies {
                let usable = |target: &&&Target| weights.get(name, &target.name).is_usable();
                let count = staying.iter().filter(usable).count();
                assert!(count >= least.min(staying.len()), "{name}: {count} of {least}");
            }
        }
    }
}

#[test]
fn the_floor_holds_with_lost_and_reordered_messages() {
    let mut ejected = 0;
    for seed in 0..env_or("CITRON_SEEDS", SEEDS) {
        let steps = env_or("CITRON_STEPS", STEPS);
        let run = std::panic::catch_unwind(|| {
            let mut fleet = Fleet::new(seed);
            for _ in 0..steps {
                fleet.step();
            }
            fleet.ejected
        });
        match run {
            Ok(count) => ejected += count,
            Err(_) => panic!(
                "seed {seed} failed: CITRON_SEEDS={} CITRON_STEPS={steps} cargo test -p citron \
                 --test health_random",
                seed + 1
            ),
        }
    }
    assert!(ejected > 0, "no run ejected a target, so nothing was tested");
}
