//! The queue of one service.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use strum::{Display, IntoStaticStr};

use super::departure::Pace;
use crate::policy::Class;

/// Names a waiting request.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket(u64);

/// How many requests may wait.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Limits {
    /// In all.
    pub total: usize,
    /// Of one customer.
    pub customer: usize,
}

/// A request that is to wait.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Wait<'a> {
    /// Whose request it is.
    pub customer: &'a str,
    /// The customer's part of the slots relative to others; above zero.
    pub weight: f64,
    /// Live or archive.
    pub class: Class,
    /// When it must have left the queue, at the latest.
    pub deadline: Duration,
}

/// Why a request does not wait.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The customer has as many waiting as it may.
    CustomerFull,
    /// The queue is full and no other customer has more waiting.
    QueueFull,
    /// It would most likely not be served within its deadline.
    TooLate,
}

/// Virtual time units of one request at weight 1.
const UNIT: f64 = 1e6;

/// A customer's requests of one class.
type Line = (Class, Arc<str>);

#[derive(Debug)]
struct Backlog {
    weight: f64,
    /// The virtual finish time of its first request.
    finish: u64,
    waiting: VecDeque<(Ticket, Duration)>,
}

/// Requests of one service that wait for a slot.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    next: u64,
    /// The virtual finish time of the request served last.
    virtual_time: u64,
    backlogs: HashMap<Line, Backlog>,
    /// Backlogs in the order of service of their first requests.
    order: BTreeSet<(Class, u64, Arc<str>)>,
    lines: HashMap<Ticket, Line>,
    pace: Pace,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        assert!(limits.total > 0 && limits.customer > 0, "a queue must hold at least one request");
        Self {
            limits,
            next: 0,
            virtual_time: 0,
            backlogs: HashMap::new(),
            order: BTreeSet::new(),
            lines: HashMap::new(),
            pace: Pace::default(),
        }
    }

    /// Lets a request wait. In a full queue it takes the place of the last request of the customer
    /// that has the most waiting, whose ticket is returned as well and must be refused.
    ///
    /// # Errors
    /// Tells why the request must be refused at once.
    pub fn push(
        &mut self,
        wait: &Wait<'_>,
        now: Duration,
    ) -> Result<(Ticket, Option<Ticket>), Refusal> {
        assert!(wait.weight > 0.0, "the weight of a customer must be above zero");
        let line: Line = (wait.class, wait.customer.into());
        let own = self.backlogs.get(&line).map_or(0, |backlog| backlog.waiting.len());
        if own >= self.limits.customer {
            return Err(Refusal::CustomerFull);
        }
        if now + self.pace.wait(self.ahead(wait, own)) > wait.deadline {
            return Err(Refusal::TooLate);
        }
        let evicted = if self.lines.len() >= self.limits.total {
            Some(self.evict(own).ok_or(Refusal::QueueFull)?)
        } else {
            None
        };
        self.renew(&line, now);
        let ticket = Ticket(self.next);
        self.next += 1;
        self.lines.insert(ticket, line.clone());
        match self.backlogs.get_mut(&line) {
            Some(backlog) => backlog.waiting.push_back((ticket, wait.deadline)),
            None => {
                let finish = self.virtual_time + step(wait.weight);
                self.order.insert((line.0, finish, Arc::clone(&line.1)));
                let waiting = VecDeque::from([(ticket, wait.deadline)]);
                self.backlogs.insert(line, Backlog { weight: wait.weight, finish, waiting });
            }
        }
        self.check();
        Ok((ticket, evicted))
    }

    /// Returns the request to be served next. Requests past their deadline are not served.
    pub fn peek(&self, now: Duration) -> Option<Ticket> {
        self.order.iter().find_map(|(class, _, customer)| {
            let backlog = &self.backlogs[&(*class, Arc::clone(customer))];
            let next = backlog.waiting.iter().find(|(_, deadline)| *deadline >= now);
            next.map(|(ticket, _)| *ticket)
        })
    }

    /// Takes out the request to be served next.
    pub fn pop(&mut self, now: Duration) -> Option<Ticket> {
        let ticket = self.peek(now)?;
        let line = self.lines[&ticket].clone();
        self.virtual_time = self.virtual_time.max(self.backlogs[&line].finish);
        let deadline = self.take(ticket, true);
        assert!(deadline >= now, "a request past its deadline must not be served");
        self.pace.left(!self.lines.is_empty(), now);
        self.check();
        Some(ticket)
    }

    /// Takes out the requests whose deadline has passed; they must be refused.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        let waiting = self.backlogs.values().flat_map(|backlog| &backlog.waiting);
        let late = waiting.filter(|(_, deadline)| *deadline < now);
        let mut late: Vec<Ticket> = late.map(|(ticket, _)| *ticket).collect();
        late.sort();
        for ticket in &late {
            self.take(*ticket, false);
        }
        self.check();
        late
    }

    /// Takes out a request that no longer waits; returns whether it was still in the queue.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let waits = self.lines.contains_key(&ticket);
        if waits {
            self.take(ticket, false);
            self.check();
        }
        waits
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Estimates how many requests are served before one more of a customer with `own` waiting.
    fn ahead(&self, wait: &Wait<'_>, own: usize) -> usize {
        let mut ahead = own;
        for ((class, customer), backlog) in &self.backlogs {
            if *class > wait.class || (*class == wait.class && **customer == *wait.customer) {
                continue;
            }
            let turns = (own as f64 + 1.0) * backlog.weight / wait.weight;
            let most = if *class < wait.class { usize::MAX } else { turns.ceil() as usize };
            ahead += backlog.waiting.len().min(most);
        }
        ahead
    }

    /// Gives a customer of whose requests none can be served any more a new turn, as the virtual
    /// time may have passed its old one.
    fn renew(&mut self, line: &Line, now: Duration) {
        let Some(backlog) = self.backlogs.get_mut(line) else { return };
        if backlog.waiting.iter().all(|(_, deadline)| *deadline < now) {
            self.order.remove(&(line.0, backlog.finish, Arc::clone(&line.1)));
            backlog.finish = backlog.finish.max(self.virtual_time + step(backlog.weight));
            self.order.insert((line.0, backlog.finish, Arc::clone(&line.1)));
        }
    }

    /// Takes out the last request of the customer with the most, if it has more than `own` and one.
    fn evict(&mut self, own: usize) -> Option<Ticket> {
        let lines = self.backlogs.iter();
        let most = lines.max_by_key(|(line, backlog)| (backlog.waiting.len(), *line))?.1;
        if most.waiting.len() <= own + 1 {
            return None;
        }
        let ticket = most.waiting.back()?.0;
        self.take(ticket, false);
        Some(ticket)
    }

    /// Takes out a request and returns its deadline; the next of its customer takes its turn,
    /// unless it was served.
    fn take(&mut self, ticket: Ticket, served: bool) -> Duration {
        let line = self.lines.remove(&ticket).expect("a waiting request has a line");
        let backlog = self.backlogs.get_mut(&line).expect("a line in use has a backlog");
        let place = backlog.waiting.iter().position(|(other, _)| *other == ticket);
        let place = place.expect("a waiting request is in its line");
        let (_, deadline) = backlog.waiting.remove(place).expect("the place was just found");
        let before = (line.0, backlog.finish, Arc::clone(&line.1));
        if backlog.waiting.is_empty() {
            self.order.remove(&before);
            self.backlogs.remove(&line);
        } else if served {
            backlog.finish = backlog.finish.max(self.virtual_time) + step(backlog.weight);
            let after = (line.0, backlog.finish, Arc::clone(&line.1));
            self.order.remove(&before);
            self.order.insert(after);
        }
        deadline
    }

    fn check(&self) {
        let sum: usize = self.backlogs.values().map(|backlog| backlog.waiting.len()).sum();
        assert!(sum == self.lines.len(), "the waiting requests must be those of all customers");
        assert!(
            self.order.len() == self.backlogs.len(),
            "each customer that waits must have one turn"
        );
        assert!(sum <= self.limits.total, "the queue must keep its length");
    }
}

/// Returns the virtual time that one request takes.
fn step(weight: f64) -> u64 {
    (UNIT / weight).max(1.0) as u64
}
