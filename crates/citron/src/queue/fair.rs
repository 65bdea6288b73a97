//! The weighted fair queue of one service.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use strum::{Display, IntoStaticStr};

use super::departure::DepartureInterval;
use crate::policy::Class;

/// Identifies a waiting request.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket(u64);

/// How many requests may wait.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Limits {
    /// In the whole queue.
    pub total: usize,
    /// Of one customer in one class.
    pub customer: usize,
}

/// A request to be queued.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct PendingRequest<'a> {
    /// Whose request it is.
    pub customer: &'a str,
    /// The customer's share of the slots relative to other customers; above zero.
    pub weight: f64,
    /// Whether it is a live or an archive request.
    pub class: Class,
    /// The latest time at which it may be served.
    pub deadline: Duration,
}

/// Why a request is not queued.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The customer has reached its limit of waiting requests.
    CustomerFull,
    /// The queue is full, and no customer has more waiting than this one would have.
    QueueFull,
    /// The request would most likely not be served within its deadline.
    TooLate,
}

/// Virtual time units of one request at weight 1.
const VIRTUAL_UNIT: f64 = 1e6;

/// The class and the customer of a flow.
type FlowKey = (Class, Arc<str>);

#[derive(Debug)]
struct Flow {
    weight: f64,
    /// The virtual finish time of its first waiting request.
    finish: u64,
    waiting: VecDeque<(Ticket, Duration)>,
}

/// Requests of one service that wait for a slot.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    next_ticket: u64,
    /// The virtual finish time of the request served last.
    virtual_time: u64,
    flows: HashMap<FlowKey, Flow>,
    /// The flows by class and virtual finish time, in the order in which they are served next.
    order: BTreeSet<(Class, u64, Arc<str>)>,
    flow_keys: HashMap<Ticket, FlowKey>,
    departures: DepartureInterval,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        assert!(limits.total > 0 && limits.customer > 0, "a queue must hold at least one request");
        Self {
            limits,
            next_ticket: 0,
            virtual_time: 0,
            flows: HashMap::new(),
            order: BTreeSet::new(),
            flow_keys: HashMap::new(),
            departures: DepartureInterval::default(),
        }
    }

    /// Queues a request and returns its ticket. In a full queue, it replaces the last request of the
    /// customer with the most waiting; that request's ticket is returned too, and it must be refused.
    ///
    /// # Errors
    /// Returns why the request must be refused at once.
    pub fn push(
        &mut self,
        request: &PendingRequest<'_>,
        now: Duration,
    ) -> Result<(Ticket, Option<Ticket>), Refusal> {
        assert!(request.weight > 0.0, "the weight of a customer must be above zero");
        let key: FlowKey = (request.class, request.customer.into());
        let own = self.flows.get(&key).map_or(0, |flow| flow.waiting.len());
        if own >= self.limits.customer {
            return Err(Refusal::CustomerFull);
        }
        if now + self.departures.expected_wait(self.ahead(request, own)) > request.deadline {
            return Err(Refusal::TooLate);
        }
        let evicted = if self.flow_keys.len() >= self.limits.total {
            Some(self.evict(own).ok_or(Refusal::QueueFull)?)
        } else {
            None
        };
        self.reset_finish(&key, now);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.flow_keys.insert(ticket, key.clone());
        match self.flows.get_mut(&key) {
            Some(flow) => flow.waiting.push_back((ticket, request.deadline)),
            None => {
                let finish = self.virtual_time + virtual_cost(request.weight);
                self.order.insert((key.0, finish, Arc::clone(&key.1)));
                let waiting = VecDeque::from([(ticket, request.deadline)]);
                self.flows.insert(key, Flow { weight: request.weight, finish, waiting });
            }
        }
        self.check_invariants();
        Ok((ticket, evicted))
    }

    /// Returns the request to be served next, skipping those past their deadline.
    pub fn peek(&self, now: Duration) -> Option<Ticket> {
        self.order.iter().find_map(|(class, _, customer)| {
            let flow = &self.flows[&(*class, Arc::clone(customer))];
            let next = flow.waiting.iter().find(|(_, deadline)| *deadline >= now);
            next.map(|(ticket, _)| *ticket)
        })
    }

    /// Removes the request to be served next.
    pub fn pop(&mut self, now: Duration) -> Option<Ticket> {
        let ticket = self.peek(now)?;
        let key = self.flow_keys[&ticket].clone();
        self.virtual_time = self.virtual_time.max(self.flows[&key].finish);
        let deadline = self.remove_ticket(ticket, true);
        assert!(deadline >= now, "a request past its deadline must not be served");
        self.departures.on_departure(!self.flow_keys.is_empty(), now);
        self.check_invariants();
        Some(ticket)
    }

    /// Removes the requests whose deadline has passed. They must be refused.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        let waiting = self.flows.values().flat_map(|flow| &flow.waiting);
        let late = waiting.filter(|(_, deadline)| *deadline < now);
        let mut late: Vec<Ticket> = late.map(|(ticket, _)| *ticket).collect();
        late.sort();
        for ticket in &late {
            self.remove_ticket(*ticket, false);
        }
        self.check_invariants();
        late
    }

    /// Removes a request that is no longer wanted; returns whether it was still in the queue.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let waits = self.flow_keys.contains_key(&ticket);
        if waits {
            self.remove_ticket(ticket, false);
            self.check_invariants();
        }
        waits
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.flow_keys.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.flow_keys.is_empty()
    }

    /// Estimates how many requests are served before one more of a customer with `own` waiting.
    fn ahead(&self, request: &PendingRequest<'_>, own: usize) -> usize {
        let mut ahead = own;
        for ((class, customer), flow) in &self.flows {
            if *class > request.class
                || (*class == request.class && **customer == *request.customer)
            {
                continue;
            }
            let turns = (own as f64 + 1.0) * flow.weight / request.weight;
            let most = if *class < request.class { usize::MAX } else { turns.ceil() as usize };
            ahead += flow.waiting.len().min(most);
        }
        ahead
    }

    /// Recomputes the virtual finish time of a flow whose waiting requests are all past their
    /// deadline, as the virtual time may have passed the old one.
    fn reset_finish(&mut self, key: &FlowKey, now: Duration) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        if flow.waiting.iter().all(|(_, deadline)| *deadline < now) {
            self.order.remove(&(key.0, flow.finish, Arc::clone(&key.1)));
            flow.finish = flow.finish.max(self.virtual_time + virtual_cost(flow.weight));
            self.order.insert((key.0, flow.finish, Arc::clone(&key.1)));
        }
    }

    /// Removes the last request of the customer with the most waiting, if it has more than `own + 1`.
    fn evict(&mut self, own: usize) -> Option<Ticket> {
        let flows = self.flows.iter();
        let most = flows.max_by_key(|(key, flow)| (flow.waiting.len(), *key))?.1;
        if most.waiting.len() <= own + 1 {
            return None;
        }
        let ticket = most.waiting.back()?.0;
        self.remove_ticket(ticket, false);
        Some(ticket)
    }

    /// Removes a request and returns its deadline. Unless it was served, the next request of its
    /// flow inherits its virtual finish time.
    fn remove_ticket(&mut self, ticket: Ticket, served: bool) -> Duration {
        let key = self.flow_keys.remove(&ticket).expect("a waiting request has a flow key");
        let flow = self.flows.get_mut(&key).expect("the key of a waiting request has a flow");
        let index = flow.waiting.iter().position(|(other, _)| *other == ticket);
        let index = index.expect("a waiting request is in its flow");
        let (_, deadline) = flow.waiting.remove(index).expect("the index was just found");
        let before = (key.0, flow.finish, Arc::clone(&key.1));
        if flow.waiting.is_empty() {
            self.order.remove(&before);
            self.flows.remove(&key);
        } else if served {
            flow.finish = flow.finish.max(self.virtual_time) + virtual_cost(flow.weight);
            let after = (key.0, flow.finish, Arc::clone(&key.1));
            self.order.remove(&before);
            self.order.insert(after);
        }
        deadline
    }

    fn check_invariants(&self) {
        let sum: usize = self.flows.values().map(|flow| flow.waiting.len()).sum();
        assert!(sum == self.flow_keys.len(), "each waiting request must be in exactly one flow");
        assert!(
            self.order.len() == self.flows.len(),
            "each flow must have one place in the order of service"
        );
        assert!(sum <= self.limits.total, "the queue must not exceed its limit");
    }
}

/// Returns the virtual time that one request takes at a weight.
fn virtual_cost(weight: f64) -> u64 {
    (VIRTUAL_UNIT / weight).max(1.0) as u64
}
