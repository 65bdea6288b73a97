//! Gives each attempt a target, or lets it wait for one in a fair queue.

mod line;
mod part;

use std::{
    collections::{BTreeMap, hash_map::RandomState},
    fmt::{self, Debug, Formatter},
    hash::BuildHasher,
    sync::Arc,
    time::Duration,
};

use citron::{
    choice::{self, TargetReport},
    policy::Class,
};
use citron_daemon::Clock;
use parking_lot::Mutex;
use tokio::{sync::Notify, time};

use self::part::{Entry, Part};
use crate::service::{Service, Target};

/// The number of separately locked parts of the services.
const PARTS: usize = 16;
/// How often a queue is served while no answer comes.
const SERVE_INTERVAL: Duration = Duration::from_millis(2);

/// What an attempt asks for.
#[derive(Debug, Copy, Clone)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// Whose request it is.
    pub customer: &'a str,
    /// The customer's part of the slots relative to others.
    pub weight: f64,
    /// Live or archive.
    pub class: Class,
    /// When the request must have ended, since the process origin.
    pub deadline: Duration,
    /// Targets already tried.
    pub tried: &'a [String],
    /// Whether the request may run twice.
    pub idempotent: bool,
}

/// The targets and queues of all services, in parts under their own locks.
pub struct Places {
    hasher: RandomState,
    parts: Vec<Mutex<Part>>,
    clock: Clock,
    /// Tells the serving task that a request waits.
    waiting: Notify,
}

/// One attempt's place at a target, given back on drop.
pub struct Place {
    places: Arc<Places>,
    service: Arc<str>,
    /// The target.
    pub target: Arc<Target>,
    started: Duration,
    heard: Mutex<Option<Heard>>,
}

/// What the target said in its answer.
#[derive(Debug, Copy, Clone)]
pub struct Heard {
    /// The load and state it reported.
    pub answer: TargetReport,
    /// Whether it refused the request without running it.
    pub shed: bool,
    /// When its answer began, since the process origin.
    pub at: Duration,
}

impl Places {
    /// Creates the places of the proxy of a host in a failure domain.
    pub fn new(host: &str, domain: &str, clock: Clock) -> Arc<Self> {
        let parts = (0..PARTS).map(|_| Mutex::new(Part::new(host, domain))).collect();
        Arc::new(Self { hasher: RandomState::new(), parts, clock, waiting: Notify::new() })
    }

    /// Replaces the targets by those of `services`.
    pub fn set_targets(&self, services: &BTreeMap<String, Arc<Service>>) {
        let mut by_part: Vec<Vec<Arc<Target>>> = vec![Vec::new(); PARTS];
        for service in services.values() {
            let targets = service.targets.iter().map(Arc::clone);
            by_part[self.part_of(&service.name)].extend(targets);
        }
        for (part, targets) in self.parts.iter().zip(by_part) {
            part.lock().set_targets(targets, self.clock.now());
        }
    }

    /// Replaces the proxies that share the targets' slots.
    pub fn set_proxies(&self, proxies: &[choice::Proxy]) {
        for part in &self.parts {
            part.lock().table.set_proxies(proxies.to_vec());
        }
    }

    /// Sets how much of its fair part a target gets, from 0 to 1; a target on trial gets
    /// idempotent requests only.
    pub fn set_weight(&self, service: &str, target: &str, weight: f64, trial: bool) {
        self.part(service).lock().table.set_weight(target, weight, trial);
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.parts.iter().map(|part| part.lock().waiting()).sum()
    }

    /// Returns a place at a target, waiting for a free slot if the deadline allows it, or `None`
    /// if the request must be refused.
    pub async fn take(self: &Arc<Self>, ask: Ask<'_>) -> Option<Place> {
        let now = self.clock.now();
        let entry = self.part(ask.service).lock().enter(self, &ask, now);
        let (ticket, mut turn) = match entry {
            Entry::Placed(place) => return Some(place),
            Entry::Refused => return None,
            Entry::Waiting { ticket, turn } => (ticket, turn),
        };
        self.waiting.notify_one();
        let cancel = Cancel { places: self, service: ask.service, ticket };
        let turned = time::timeout_at(self.clock.instant(ask.deadline), &mut turn).await;
        drop(cancel);
        turned.ok()?.ok()
    }

    /// Serves the queues while requests wait, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.waiting.notified().await;
            while self.waiting() > 0 {
                time::sleep(SERVE_INTERVAL).await;
                for part in &self.parts {
                    let lost = part.lock().serve_all(&self, self.clock.now());
                    // A place locks its part when it is given back.
                    drop(lost);
                }
            }
        }
    }

    fn part(&self, service: &str) -> &Mutex<Part> {
        &self.parts[self.part_of(service)]
    }

    fn part_of(&self, service: &str) -> usize {
        self.hasher.hash_one(service) as usize % PARTS
    }

    fn place(self: &Arc<Self>, service: Arc<str>, target: Arc<Target>, now: Duration) -> Place {
        let places = Arc::clone(self);
        Place { places, service, target, started: now, heard: Mutex::new(None) }
    }
}

impl Debug for Places {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Places").field("waiting", &self.waiting()).finish_non_exhaustive()
    }
}

impl Place {
    /// Takes in the head of the target's answer.
    pub fn hear(&self, answer: TargetReport, shed: bool) {
        let at = self.places.clock.now();
        *self.heard.lock() = Some(Heard { answer, shed, at });
    }
}

impl Debug for Place {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Place").field("target", &self.target.name).finish_non_exhaustive()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.places.clock.now();
        let heard = self.heard.lock().take();
        let part = self.places.part(&self.service);
        let lost = {
            let mut part = part.lock();
            part.table.on_end(&self.target.name);
            match heard {
                Some(heard) if heard.shed => {
                    part.table.on_shed(&self.target.name, heard.answer, now);
                }
                Some(heard) => {
                    let took = heard.at.saturating_sub(self.started);
                    part.table.on_response(&self.target.name, heard.answer, took, now);
                }
                None => {}
            }
            part.serve(&self.places, &self.service, now)
        };
        drop(lost);
    }
}

/// Takes a request out of its queue when it no longer waits.
struct Cancel<'a> {
    places: &'a Places,
    service: &'a str,
    ticket: citron::queue::Ticket,
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        self.places.part(self.service).lock().cancel(self.service, self.ticket);
    }
}
