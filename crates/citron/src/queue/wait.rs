//! The requests of one service that wait for a retry token or for room at a target.
//!
//! The order is by value: priority, whether the objective can still be met, the customer's turn, the
//! expected work and the deadline. A request that can no longer be served before its deadline leaves
//! the queue as expired.

mod work;

pub use self::work::Work;

use std::{collections::HashMap, sync::Arc, time::Duration};

use smallvec::SmallVec;
use strum::{Display, EnumIter, IntoStaticStr};

use super::departure::DepartureInterval;

/// The share of a request's time after which it moves up by one priority, as long as it can meet its
/// objective. Ageing those that already miss it
/// lowered the share that met it in overload.
const AGEING_SHARE: f64 = 0.25;
/// The time before its deadline that a request needs beside its work, so that its refusal reaches the
/// caller in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);

/// Identifies a waiting request.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket(u64);

/// How much may wait.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Limits {
    /// The number of requests.
    pub requests: usize,
    /// The bytes that they hold together.
    pub bytes: usize,
}

/// What a request waits for.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Need {
    /// Room at a target: its next attempt is not charged to the retry budget.
    Room,
    /// A retry token and room, as a target has rejected it.
    Token,
}

/// A request to be queued. Times are durations since the process origin.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Request<'a> {
    /// Whose request it is, empty if it is nobody's.
    pub customer: &'a str,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// What it waits for.
    pub need: Need,
    /// How long a target is expected to take.
    pub work: Duration,
    /// When it was received.
    pub received_at: Duration,
    /// The latest time at which a response meets its objective.
    pub objective_at: Duration,
    /// The latest time of its response.
    pub deadline: Duration,
    /// The memory that it holds.
    pub bytes: usize,
}

impl Request<'_> {
    /// Returns the latest time of its response for which it waits.
    ///
    /// Where room is short, a request that is late would take the place of one that is not: it waits
    /// for room only as long as it can meet its objective.
    fn expires_at(&self) -> Duration {
        match self.need {
            Need::Room => self.deadline.min(self.objective_at),
            Need::Token => self.deadline,
        }
    }
}

/// Why a request does not wait any longer without being released.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// Its work does not fit before its deadline any more.
    Expired,
    /// The queue is full of requests that are worth more.
    QueueFull,
}

/// Requests that wait, by the order in which they are released.
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    next_ticket: u64,
    entries: Vec<Entry>,
    bytes: usize,
    /// The number of turns that each customer with waiting requests has had.
    turns: HashMap<Arc<str>, u64>,
    /// The number of turns of the customer released last.
    current_turn: u64,
    departures: DepartureInterval,
}

#[derive(Debug)]
struct Entry {
    ticket: Ticket,
    customer: Arc<str>,
    priority: u32,
    need: Need,
    work: Duration,
    aged_at: Duration,
    objective_at: Duration,
    deadline: Duration,
    bytes: usize,
}

/// The position of a request in the order; the least is released first.
type Rank = (u32, bool, u64, Duration, Duration, Ticket);

impl Entry {
    fn priority(&self, now: Duration) -> u32 {
        let has_aged = now >= self.aged_at && !self.misses_objective(now);
        if has_aged { self.priority.saturating_sub(1) } else { self.priority }
    }

    fn misses_objective(&self, now: Duration) -> bool {
        now + self.work > self.objective_at
    }

    fn latest_start(&self, until: Duration) -> Duration {
        self.deadline.min(until).saturating_sub(self.work + RESPONSE_MARGIN)
    }
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            next_ticket: 0,
            entries: Vec::new(),
            bytes: 0,
            turns: HashMap::new(),
            current_turn: 0,
            departures: DepartureInterval::default(),
        }
    }

    /// Queues a request and returns its ticket and those of the requests that it displaces from a full
    /// queue, which must be refused.
    ///
    /// # Errors
    /// Returns why the request must be refused at once.
    pub fn push(
        &mut self,
        request: &Request<'_>,
        now: Duration,
    ) -> Result<(Ticket, SmallVec<[Ticket; 1]>), Refusal> {
        let ticket = Ticket(self.next_ticket);
        let time = request.deadline.saturating_sub(request.received_at);
        let entry = Entry {
            ticket,
            customer: self.customer(request.customer),
            priority: request.priority,
            need: request.need,
            work: request.work,
            aged_at: request.received_at + time.mul_f64(AGEING_SHARE),
            objective_at: request.objective_at,
            deadline: request.expires_at(),
            bytes: request.bytes,
        };
        if now > entry.latest_start(Duration::MAX) {
            return Err(Refusal::Expired);
        }
        let displaced = self.displace_for(&entry, now).ok_or(Refusal::QueueFull)?;
        self.next_ticket += 1;
        self.turns.entry(Arc::clone(&entry.customer)).or_insert(self.current_turn);
        self.bytes += entry.bytes;
        self.entries.push(entry);
        for ticket in &displaced {
            self.remove(*ticket);
        }
        self.check_invariants();
        Ok((ticket, displaced))
    }

    /// Returns the request to be released next and what it needs, among those that need `need` or any.
    pub fn peek(&self, need: Option<Need>, now: Duration) -> Option<(Ticket, Need)> {
        let waiting = self.entries.iter().filter(|entry| need.is_none_or(|n| n == entry.need));
        let best = waiting.min_by_key(|entry| self.rank(entry, now))?;
        Some((best.ticket, best.need))
    }

    /// Releases a request; returns false if it does not wait any more.
    pub fn release(&mut self, ticket: Ticket, now: Duration) -> bool {
        let Some(entry) = self.entries.iter().find(|entry| entry.ticket == ticket) else {
            return false;
        };
        let customer = Arc::clone(&entry.customer);
        let turn = self.turns.get_mut(&customer).expect("a customer that waits has turns");
        self.current_turn = self.current_turn.max(*turn);
        *turn += 1;
        self.remove(ticket);
        self.departures.on_departure(!self.entries.is_empty(), now);
        self.check_invariants();
        true
    }

    /// Removes the requests whose work does not fit before their deadline or `until`. They must be
    /// refused.
    pub fn expire(&mut self, until: Duration, now: Duration) -> SmallVec<[Ticket; 4]> {
        let late = self.entries.iter().filter(|entry| now > entry.latest_start(until));
        let late: SmallVec<[Ticket; 4]> = late.map(|entry| entry.ticket).collect();
        for ticket in &late {
            self.remove(*ticket);
        }
        self.check_invariants();
        late
    }

    /// Removes a request that is no longer wanted; returns whether it was still in the queue.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let waits = self.entries.iter().any(|entry| entry.ticket == ticket);
        if waits {
            self.remove(ticket);
            self.check_invariants();
        }
        waits
    }

    /// Returns true if a request that needs `need` must not go ahead of those that wait for the same,
    /// as one of them is at least as urgent.
    pub fn precedes(&self, priority: u32, need: Need, now: Duration) -> bool {
        self.entries.iter().any(|entry| entry.need == need && entry.priority(now) <= priority)
    }

    /// Estimates how long a request waits that joins now.
    pub fn expected_wait(&self) -> Duration {
        self.departures.expected_wait(self.entries.len())
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the waiting requests that a request displaces, `None` if the queue has no room for it.
    fn displace_for(&self, entry: &Entry, now: Duration) -> Option<SmallVec<[Ticket; 1]>> {
        let mut displaced = SmallVec::new();
        let (mut requests, mut bytes) = (self.entries.len() + 1, self.bytes + entry.bytes);
        let fits = |requests, bytes| requests <= self.limits.requests && bytes <= self.limits.bytes;
        if fits(requests, bytes) {
            return Some(displaced);
        }
        let own = self.rank(entry, now);
        let mut worse: Vec<(Rank, &Entry)> =
            self.entries.iter().map(|other| (self.rank(other, now), other)).collect();
        worse.retain(|(rank, _)| *rank > own);
        worse.sort_by(|(a, _), (b, _)| b.cmp(a));
        for (_, other) in worse {
            displaced.push(other.ticket);
            requests -= 1;
            bytes -= other.bytes;
            if fits(requests, bytes) {
                return Some(displaced);
            }
        }
        None
    }

    fn rank(&self, entry: &Entry, now: Duration) -> Rank {
        let turn = self.turns.get(&entry.customer).copied().unwrap_or(self.current_turn);
        let priority = entry.priority(now);
        (priority, entry.misses_objective(now), turn, entry.work, entry.deadline, entry.ticket)
    }

    fn customer(&self, name: &str) -> Arc<str> {
        self.turns.get_key_value(name).map_or_else(|| Arc::from(name), |(name, _)| Arc::clone(name))
    }

    fn remove(&mut self, ticket: Ticket) {
        let index = self.entries.iter().position(|entry| entry.ticket == ticket);
        let entry = self.entries.swap_remove(index.expect("a waiting request has an entry"));
        self.bytes -= entry.bytes;
        if !self.entries.iter().any(|other| other.customer == entry.customer) {
            self.turns.remove(&entry.customer);
        }
    }

    fn check_invariants(&self) {
        assert!(self.entries.len() <= self.limits.requests, "the queue must not exceed its limit");
        assert!(self.bytes <= self.limits.bytes, "the queue must not hold more than its memory");
    }
}
