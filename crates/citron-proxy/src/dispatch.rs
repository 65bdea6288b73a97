//! Assigns a target to each attempt, or queues the attempt fairly until a target has a free slot.

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

/// Services are spread over this many separately locked shards.
const SHARD_COUNT: usize = 16;
/// How often the queues are served, besides after each finished attempt.
const SERVE_INTERVAL: Duration = Duration::from_millis(2);

/// The attempt that needs a target.
#[derive(Debug, Copy, Clone)]
pub struct DispatchArgs<'a> {
    /// The service that runs the request.
    pub service: &'a str,
    /// The customer that sent the request.
    pub customer: &'a str,
    /// The customer's share of the slots, relative to other customers.
    pub weight: f64,
    /// Whether the request is live or archive work.
    pub class: Class,
    /// The deadline of the request, since the process origin.
    pub deadline: Duration,
    /// The targets that earlier attempts tried.
    pub tried: &'a [String],
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// The targets and queues of all services, in separately locked shards.
pub struct Dispatcher {
    hasher: RandomState,
    shards: Vec<Mutex<Shard>>,
    clock: Clock,
    /// Wakes [`Dispatcher::run`] when a request was queued.
    request_queued: Notify,
}

/// A target assigned to one attempt; released on drop.
pub struct Assignment {
    dispatcher: Arc<Dispatcher>,
    service: Arc<str>,
    /// The assigned target.
    pub target: Arc<Target>,
    started: Duration,
    received: Mutex<Option<ReceivedReport>>,
}

/// The target's report from the head of its response.
#[derive(Debug, Copy, Clone)]
pub struct ReceivedReport {
    /// The load and state of the target.
    pub report: TargetReport,
    /// Whether the target refused the request without running it.
    pub shed: bool,
    /// When the response began, since the process origin.
    pub at: Duration,
}

impl Dispatcher {
    /// Creates the dispatcher of the proxy on `host` in the failure domain `domain`.
    pub fn new(host: &str, domain: &str, clock: Clock) -> Arc<Self> {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::new(Shard::new(host, domain))).collect();
        Arc::new(Self { hasher: RandomState::new(), shards, clock, request_queued: Notify::new() })
    }

    /// Replaces all targets with those of `services`.
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

    /// Sets the weight of a target, from 0 (ejected) to 1 (its full share of requests). A target on
    /// trial gets idempotent requests only.
    pub fn set_weight(&self, service: &str, target: &str, weight: f64, trial: bool) {
        self.shard(service).lock().balancer.set_weight(target, weight, trial);
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().waiting()).sum()
    }

    /// Assigns a target, waiting for a free slot if the deadline allows it. Returns `None` if the
    /// request must be refused.
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

    /// Serves the queues while requests wait. Never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.request_queued.notified().await;
            while self.waiting() > 0 {
                time::sleep(SERVE_INTERVAL).await;
                for shard in &self.shards {
                    let undelivered = shard.lock().serve_all(&self, self.clock.now());
                    // Dropping an assignment locks its shard.
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
    /// Records the target's report and whether it shed the request. Call this when the head of
    /// the response has arrived.
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

/// Removes a request from its queue when it stops waiting.
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
