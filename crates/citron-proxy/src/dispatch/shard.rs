//! The services that share one lock.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use citron::{
    choice::{self, Balancer},
    queue::Ticket,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use super::{Assignment, DispatchArgs, Dispatcher, queue::ServiceQueue};
use crate::service::Target;

/// Log filters match this earlier path of the module.
const LOG_TARGET: &str = "citron_proxy::place::part";

/// The immediate result of dispatching a request.
pub enum DispatchOutcome {
    /// The request has a target.
    Assigned(Assignment),
    /// The request waits for a free slot.
    Queued {
        /// Identifies the request in the queue.
        ticket: Ticket,
        /// Receives the assignment; closed if the request is refused.
        receiver: oneshot::Receiver<Assignment>,
    },
    /// No target can run the request, or it cannot be queued.
    Refused,
}

/// The targets and queues of a shard's services.
pub struct Shard {
    pub balancer: Balancer,
    rng: ChaCha8Rng,
    targets: HashMap<String, Arc<Target>>,
    queues: HashMap<Arc<str>, ServiceQueue>,
}

impl Shard {
    pub fn new(host: &str, domain: &str) -> Self {
        Self {
            balancer: Balancer::new(host, domain),
            rng: ChaCha8Rng::from_os_rng(),
            targets: HashMap::new(),
            queues: HashMap::new(),
        }
    }

    pub fn set_targets(&mut self, targets: Vec<Arc<Target>>, now: Duration) {
        let names: HashSet<&str> = targets.iter().map(|target| target.name.as_str()).collect();
        let balancer = &mut self.balancer;
        self.targets.retain(|name, _| {
            let kept = names.contains(name.as_str());
            if !kept {
                balancer.remove(name);
            }
            kept
        });
        let mut changed = Vec::new();
        for target in targets {
            let before = self.targets.insert(target.name.clone(), Arc::clone(&target));
            if before.is_none_or(|before| before.to_choice() != target.to_choice()) {
                changed.push(target.to_choice());
            }
        }
        self.balancer.upsert(changed, now);
    }

    /// Assigns a target to a request, or queues it if others wait or no slot is free.
    pub fn dispatch(
        &mut self,
        dispatcher: &Arc<Dispatcher>,
        args: &DispatchArgs<'_>,
        now: Duration,
    ) -> DispatchOutcome {
        let Some(response_time) = self.balancer.response_time(args.service, args.idempotent) else {
            return DispatchOutcome::Refused;
        };
        let service: Arc<str> = args.service.into();
        let queue = self.queues.entry(Arc::clone(&service)).or_insert_with(ServiceQueue::new);
        queue.expire(now);
        if queue.pending.is_empty()
            && let Some(name) =
                pick(&mut self.balancer, &mut self.rng, &service, args.tried, args.idempotent, now)
        {
            return DispatchOutcome::Assigned(dispatcher.assignment(
                service,
                self.targets[&*name].clone(),
                now,
            ));
        }
        let latest_start = args.deadline.saturating_sub(response_time);
        match queue.push(args, latest_start, now) {
            Ok((ticket, receiver)) => DispatchOutcome::Queued { ticket, receiver },
            Err(refusal) => {
                log::debug!(
                    target: LOG_TARGET,
                    "cannot queue a request of customer {} for service {}: {refusal}",
                    args.customer,
                    args.service,
                );
                DispatchOutcome::Refused
            }
        }
    }

    /// Assigns targets to queued requests while slots are free. Returns the assignments whose
    /// requests have gone, to be dropped when the shard is unlocked.
    pub fn serve(
        &mut self,
        dispatcher: &Arc<Dispatcher>,
        service: &str,
        now: Duration,
    ) -> Vec<Assignment> {
        let mut undelivered = Vec::new();
        let Some((service, queue)) = self.queues.get_key_value(service) else { return undelivered };
        if queue.pending.is_empty() {
            return undelivered;
        }
        let service = Arc::clone(service);
        let queue = self.queues.get_mut(&service).expect("the queue was just found");
        queue.expire(now);
        while let Some(ticket) = queue.pending.peek(now) {
            let waiter = &queue.waiters[&ticket];
            let (balancer, rng) = (&mut self.balancer, &mut self.rng);
            let Some(name) = pick(balancer, rng, &service, &waiter.tried, waiter.idempotent, now)
            else {
                break;
            };
            queue.pending.pop(now);
            let waiter = queue.waiters.remove(&ticket).expect("a ticket has a waiter");
            let target = Arc::clone(&self.targets[&*name]);
            let assignment = dispatcher.assignment(Arc::clone(&service), target, now);
            undelivered.extend(waiter.sender.send(assignment).err());
        }
        undelivered
    }

    pub fn serve_all(&mut self, dispatcher: &Arc<Dispatcher>, now: Duration) -> Vec<Assignment> {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.pending.is_empty());
        let services: Vec<Arc<str>> = waiting.map(|(service, _)| Arc::clone(service)).collect();
        services.iter().flat_map(|service| self.serve(dispatcher, service, now)).collect()
    }

    pub fn cancel(&mut self, service: &str, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.cancel(ticket);
        }
    }

    pub fn waiting(&self) -> usize {
        self.queues.values().map(|queue| queue.pending.len()).sum()
    }
}

/// Picks a target and counts the attempt as started there. A target that was already tried is
/// picked only if there is no other.
fn pick(
    balancer: &mut Balancer,
    rng: &mut ChaCha8Rng,
    service: &str,
    tried: &[String],
    idempotent: bool,
    now: Duration,
) -> Option<Arc<str>> {
    let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
    let args = choice::PickArgs { service, exclude: &exclude, idempotent };
    let untried = balancer.pick(&args, now, rng);
    let pick =
        untried.or_else(|| balancer.pick(&choice::PickArgs { exclude: &[], ..args }, now, rng))?;
    balancer.on_start(&pick.target);
    Some(pick.target)
}
