//! Gives each attempt a target, or lets it wait for one in a fair queue.

mod queue;
mod shard;

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

use self::shard::{DispatchOutcome, Shard};
use crate::service::{Service, Target};

/// The number of separately locked parts of the services.
const SHARD_COUNT: usize = 16;
/// How often a queue is served while no answer comes.
const SERVE_INTERVAL: Duration = Duration::from_millis(2);

/// What an attempt asks for.
#[derive(Debug, Copy, Clone)]
pub struct DispatchArgs<'a> {
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
pub struct Dispatcher {
    hasher: RandomState,
    shards: Vec<Mutex<Shard>>,
    clock: Clock,
    /// Tells the serving task that a request waits.
    request_queued: Notify,
}

/// One attempt's place at a target, given back on drop.
pub struct Assignment {
    dispatcher: Arc<Dispatcher>,
    service: Arc<str>,
    /// The target.
    pub target: Arc<Target>,
    started: Duration,
    received: Mutex<Option<ReceivedReport>>,
}

/// What the target said in its answer.
#[derive(Debug, Copy, Clone)]
pub struct ReceivedReport {
    /// The load and state it reported.
    pub report: TargetReport,
    /// Whether it refused the request without running it.
    pub shed: bool,
    /// When its answer began, since the process origin.
    pub at: Duration,
}

impl Dispatcher {
    /// Creates the places of the proxy of a host in a failure domain.
    pub fn new(host: &str, domain: &str, clock: Clock) -> Arc<Self> {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::new(Shard::new(host, domain))).collect();
        Arc::new(Self { hasher: RandomState::new(), shards, clock, request_queued: Notify::new() })
    }

    /// Replaces the targets by those of `services`.
    pub fn set_targets(&self, services: &BTreeMap<String, Arc<Service>>) {
        let mut by_shard: Vec<Vec<Arc<Target>>> = vec![Vec::new(); SHARD_COUNT];
        for service in services.values() {
            let targets = service.targets.iter().map(Arc::clone);
            by_shard[self.shard_index(&service.name)].extend(targets);
        }
        for (shard, targets) in self.shards.iter().zip(by_shard) {
            shard.lock().set_targets(targets, self.clock.now());
        }
    }

    /// Replaces the proxies that share the targets' slots.
    pub fn set_proxies(&self, proxies: &[choice::Proxy]) {
        for shard in &self.shards {
            shard.lock().balancer.set_proxies(proxies.to_vec());
        }
    }

    /// Sets how much of its fair part a target gets, from 0 to 1; a target on trial gets
    /// idempotent requests only.
    pub fn set_weight(&self, service: &str, target: &str, weight: f64, trial: bool) {
        self.shard(service).lock().balancer.set_weight(target, weight, trial);
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().waiting()).sum()
    }

    /// Returns a place at a target, waiting for a free slot if the deadline allows it, or `None`
    /// if the request must be refused.
    pub async fn dispatch(self: &Arc<Self>, args: DispatchArgs<'_>) -> Option<Assignment> {
        let now = self.clock.now();
        let outcome = self.shard(args.service).lock().dispatch(self, &args, now);
        let (ticket, mut receiver) = match outcome {
            DispatchOutcome::Assigned(assignment) => return Some(assignment),
            DispatchOutcome::Refused => return None,
            DispatchOutcome::Queued { ticket, receiver } => (ticket, receiver),
        };
        self.request_queued.notify_one();
        let cancel = CancelOnDrop { dispatcher: self, service: args.service, ticket };
        let assigned = time::timeout_at(self.clock.instant(args.deadline), &mut receiver).await;
        drop(cancel);
        assigned.ok()?.ok()
    }

    /// Serves the queues while requests wait, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.request_queued.notified().await;
            while self.waiting() > 0 {
                time::sleep(SERVE_INTERVAL).await;
                for shard in &self.shards {
                    let undelivered = shard.lock().serve_all(&self, self.clock.now());
                    // A place locks its part when it is given back.
                    drop(undelivered);
                }
            }
        }
    }

    fn shard(&self, service: &str) -> &Mutex<Shard> {
        &self.shards[self.shard_index(service)]
    }

    fn shard_index(&self, service: &str) -> usize {
        self.hasher.hash_one(service) as usize % SHARD_COUNT
    }

    fn assignment(
        self: &Arc<Self>,
        service: Arc<str>,
        target: Arc<Target>,
        now: Duration,
    ) -> Assignment {
        let dispatcher = Arc::clone(self);
        Assignment { dispatcher, service, target, started: now, received: Mutex::new(None) }
    }
}

impl Debug for Dispatcher {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dispatcher").field("waiting", &self.waiting()).finish_non_exhaustive()
    }
}

impl Assignment {
    /// Takes in the head of the target's answer.
    pub fn record_response(&self, report: TargetReport, shed: bool) {
        let at = self.dispatcher.clock.now();
        *self.received.lock() = Some(ReceivedReport { report, shed, at });
    }
}

impl Debug for Assignment {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Assignment").field("target", &self.target.name).finish_non_exhaustive()
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let now = self.dispatcher.clock.now();
        let received = self.received.lock().take();
        let shard = self.dispatcher.shard(&self.service);
        let undelivered = {
            let mut shard = shard.lock();
            shard.balancer.on_end(&self.target.name);
            match received {
                Some(received) if received.shed => {
                    shard.balancer.on_shed(&self.target.name, received.report, now);
                }
                Some(received) => {
                    let took = received.at.saturating_sub(self.started);
                    shard.balancer.on_response(&self.target.name, received.report, took, now);
                }
                None => {}
            }
            shard.serve(&self.dispatcher, &self.service, now)
        };
        drop(undelivered);
    }
}

/// Takes a request out of its queue when it no longer waits.
struct CancelOnDrop<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a str,
    ticket: citron::queue::Ticket,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.dispatcher.shard(self.service).lock().cancel(self.service, self.ticket);
    }
}
