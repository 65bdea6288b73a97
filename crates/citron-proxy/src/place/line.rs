//! The requests that wait for one service.

use std::{collections::HashMap, time::Duration};

use citron::queue::{Limits, PendingRequest, Queue, Refusal, Ticket};
use tokio::sync::oneshot;

use super::{Ask, Place};

/// The most requests that wait for a service.
const LIMITS: Limits = Limits { total: 256, customer: 64 };

/// The queue of a service and those who wait in it.
#[derive(Debug)]
pub struct Line {
    pub queue: Queue,
    pub waiters: HashMap<Ticket, Waiter>,
}

/// A request that waits.
#[derive(Debug)]
pub struct Waiter {
    pub turn: oneshot::Sender<Place>,
    pub tried: Vec<String>,
    pub idempotent: bool,
}

impl Line {
    pub fn new() -> Self {
        Self { queue: Queue::new(LIMITS), waiters: HashMap::new() }
    }

    /// Lets a request wait until `latest`; one that had to give way learns of it by its channel.
    pub fn push(
        &mut self,
        ask: &Ask<'_>,
        latest: Duration,
        now: Duration,
    ) -> Result<(Ticket, oneshot::Receiver<Place>), Refusal> {
        let Ask { customer, weight, class, .. } = *ask;
        let wait = PendingRequest { customer, weight, class, deadline: latest };
        let (ticket, evicted) = self.queue.push(&wait, now)?;
        if let Some(evicted) = evicted {
            self.waiters.remove(&evicted);
        }
        let (turn, receiver) = oneshot::channel();
        let waiter = Waiter { turn, tried: ask.tried.to_vec(), idempotent: ask.idempotent };
        self.waiters.insert(ticket, waiter);
        Ok((ticket, receiver))
    }

    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.cancel(ticket);
        self.waiters.remove(&ticket);
    }

    /// Refuses those whose deadline has passed.
    pub fn expire(&mut self, now: Duration) {
        for ticket in self.queue.expire(now) {
            self.waiters.remove(&ticket);
        }
    }
}
