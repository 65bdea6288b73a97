//! The queue of one service.

use std::{collections::HashMap, time::Duration};

use citron::queue::{Limits, PendingRequest, Queue, Refusal, Ticket};
use tokio::sync::oneshot;

use super::{Assignment, DispatchArgs};

/// The most requests that wait for a service, in total and of one customer.
const LIMITS: Limits = Limits { total: 256, customer: 64 };

/// The requests that wait for a target of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    pub pending: Queue,
    pub waiters: HashMap<Ticket, Waiter>,
}

/// A queued request.
#[derive(Debug)]
pub struct Waiter {
    pub sender: oneshot::Sender<Assignment>,
    pub tried: Vec<String>,
    pub idempotent: bool,
}

impl ServiceQueue {
    pub fn new() -> Self {
        Self { pending: Queue::new(LIMITS), waiters: HashMap::new() }
    }

    /// Queues a request until `latest_start`. If this evicts another request, the channel of that
    /// one is closed.
    pub fn push(
        &mut self,
        args: &DispatchArgs<'_>,
        latest_start: Duration,
        now: Duration,
    ) -> Result<(Ticket, oneshot::Receiver<Assignment>), Refusal> {
        let DispatchArgs { customer, weight, class, .. } = *args;
        let request = PendingRequest { customer, weight, class, deadline: latest_start };
        let (ticket, evicted) = self.pending.push(&request, now)?;
        if let Some(evicted) = evicted {
            self.waiters.remove(&evicted);
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { sender, tried: args.tried.to_vec(), idempotent: args.idempotent };
        self.waiters.insert(ticket, waiter);
        Ok((ticket, receiver))
    }

    pub fn cancel(&mut self, ticket: Ticket) {
        self.pending.cancel(ticket);
        self.waiters.remove(&ticket);
    }

    /// Refuses the requests whose deadline has passed, by closing their channels.
    pub fn expire(&mut self, now: Duration) {
        for ticket in self.pending.expire(now) {
            self.waiters.remove(&ticket);
        }
    }
}
