//! Requests that wait for a retry token or for room at a target, by service.
//!
//! A task for each service with waiting requests releases them in the order of its queue, when an
//! attempt ends and at a short interval. A request that leaves the queue in any other way gives up its
//! place when it is dropped.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citron::{
    queue::wait::{Limits, Need, Queue, Refusal, Request, Ticket, Work},
    route::Route,
};
use futures::{StreamExt, stream::FuturesUnordered};
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, oneshot},
    time,
};

use crate::{
    caller::REQUEST_BYTES,
    memory::Memory,
    retry::{Retry, loan},
    shared::Shared,
};

/// The interval at which waiting requests are looked at.
const INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of requests that wait for one service.
const REQUESTS_MAX: usize = 256;
/// The share of the reservable memory that the requests waiting for one service may hold.
const MEMORY_SHARE: f64 = 0.125;
/// The longest time after which a caller is told to retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// The outcome of a wait that ended with a release.
const RELEASED: &str = "released";
/// The outcome of a wait that ended because nobody waits for the response any more.
const LEFT: &str = "left";

/// The requests that wait, and what their routes' work takes.
#[derive(Debug, Default)]
pub struct Waiting {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    queues: HashMap<Arc<str>, ServiceQueue>,
    work: HashMap<Arc<str>, Work>,
}

/// The requests that wait for one service.
#[derive(Debug)]
struct ServiceQueue {
    queue: Queue,
    waiters: HashMap<Ticket, oneshot::Sender<Event>>,
    /// Whether a task releases them.
    has_task: bool,
}

/// What happens to a waiting request.
#[derive(Debug)]
enum Event {
    /// It may be sent, as a retry if one was charged.
    Released(Option<Retry>),
    /// It must be refused.
    Refused(Refusal),
}

/// What the task of a service does next.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Next {
    /// End, as nothing waits.
    End,
    /// Ask other gateways for a token.
    Borrow,
    /// Look again later.
    Sleep,
}

/// A request that may wait.
#[derive(Debug, Copy, Clone)]
pub struct WaitRequest<'a> {
    /// The state of the gateway.
    pub shared: &'a Arc<Shared>,
    /// Its id.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service that it is for.
    pub service: &'a Arc<str>,
    /// Whose request it is, if it is that of a customer.
    pub customer: Option<&'a str>,
    /// Its priority.
    pub priority: u32,
    /// When it was received.
    pub received_at: Duration,
    /// The latest time of its response.
    pub deadline: Duration,
    /// The length of its body.
    pub body_bytes: usize,
}

/// A request that waited in vain.
#[derive(Debug, Copy, Clone)]
pub struct Refused {
    /// Why it is refused.
    pub reason: Refusal,
    /// The time after which it may be served.
    pub retry_after: Duration,
}

impl Waiting {
    /// Records the time of a served attempt.
    pub fn record_work(&self, route: &Arc<str>, took: Duration) {
        self.state.lock().work.entry(Arc::clone(route)).or_default().record(took);
    }

    /// Lets the waiting requests be looked at, as there may be room.
    pub fn notify(&self) {
        self.changed.notify_waiters();
    }

    /// Returns true if a request that needs `need` must join the queue of its service, as one that is
    /// at least as urgent waits for the same.
    pub fn precedes(&self, service: &str, priority: u32, need: Need, now: Duration) -> bool {
        let state = self.state.lock();
        state.queues.get(service).is_some_and(|entry| entry.queue.precedes(priority, need, now))
    }

    /// Returns the number of requests that wait, by service.
    pub fn lengths(&self) -> Vec<(Arc<str>, usize)> {
        let state = self.state.lock();
        state.queues.iter().map(|(name, entry)| (Arc::clone(name), entry.queue.len())).collect()
    }

    /// Releases and refuses what can be decided now; `lent` is a retry that others lent.
    fn step(&self, shared: &Arc<Shared>, service: &Arc<str>, lent: &mut Option<Retry>) -> Next {
        let now = shared.clock.now();
        let until = shared.serve_until().unwrap_or(Duration::MAX);
        lent.take_if(|retry| !retry.is_usable());
        let mut places = shared.places(service);
        let mut state = self.state.lock();
        let Some(entry) = state.queues.get_mut(service) else { return Next::End };
        for ticket in entry.queue.expire(until, now) {
            entry.notify(ticket, Event::Refused(Refusal::Expired));
        }
        let (mut only, mut is_denied) = (None, false);
        while let Some((ticket, need)) = entry.queue.peek(only, now) {
            if places.any == 0 {
                break;
            }
            let retry = match need {
                Need::Room => None,
                Need::Token => {
                    let charge = || Retry::withdraw(shared, service).ok();
                    let retry = if places.calm == 0 { None } else { lent.take().or_else(charge) };
                    if retry.is_none() {
                        is_denied = places.calm > 0;
                        only = Some(Need::Room);
                        continue;
                    }
                    retry
                }
            };
            entry.queue.release(ticket, now);
            entry.notify(ticket, Event::Released(retry));
            places.any -= 1;
            places.calm = places.calm.saturating_sub(1);
        }
        entry.has_task = !entry.queue.is_empty();
        match (entry.has_task, is_denied) {
            (false, _) => Next::End,
            (true, true) => Next::Borrow,
            (true, false) => Next::Sleep,
        }
    }
}

impl ServiceQueue {
    fn new(memory: &Memory) -> Self {
        let bytes = (memory.limit() as f64 * MEMORY_SHARE) as usize;
        let queue = Queue::new(Limits { requests: REQUESTS_MAX, bytes });
        Self { queue, waiters: HashMap::new(), has_task: false }
    }

    fn notify(&mut self, ticket: Ticket, event: Event) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // The request may have ended; a retry that it does not receive is returned.
            let _ = waiter.send(event);
        }
    }
}

/// Releases the requests that wait for a service, until none does.
async fn run_queue(shared: Arc<Shared>, service: Arc<str>) {
    let mut borrows = FuturesUnordered::new();
    let mut lent = None;
    let mut may_ask = true;
    loop {
        let changed = shared.waiting.changed.notified();
        match shared.waiting.step(&shared, &service, &mut lent) {
            Next::End => return,
            Next::Borrow if may_ask && borrows.is_empty() => {
                may_ask = false;
                borrows.push(loan::borrow(&shared, &service));
            }
            Next::Borrow | Next::Sleep => {}
        }
        tokio::select! {
            () = changed => {}
            Some(retry) = borrows.next(), if !borrows.is_empty() => {
                may_ask = retry.is_some();
                lent = retry;
            }
            () = time::sleep(INTERVAL) => may_ask = true,
        }
    }
}

impl WaitRequest<'_> {
    /// Waits until the request may be sent; returns the retry that was charged if `need` is a token.
    ///
    /// # Errors
    /// Fails if it cannot be served before its deadline, or others are worth more.
    pub async fn wait(&self, need: Need) -> Result<Option<Retry>, Refused> {
        let mut place = Place::new(*self, need);
        let event = match place.join() {
            Ok(event) => event.await.unwrap_or(Event::Refused(Refusal::Expired)),
            Err(refusal) => Event::Refused(refusal),
        };
        match event {
            Event::Released(retry) => {
                place.outcome = RELEASED;
                Ok(retry)
            }
            Event::Refused(reason) => {
                place.outcome = reason.into();
                Err(Refused { reason, retry_after: place.retry_after() })
            }
        }
    }
}

/// A request's place in the queue, which is free once it is dropped.
struct Place<'a> {
    request: WaitRequest<'a>,
    need: Need,
    since: Duration,
    work: Duration,
    /// How many requests waited when this one joined.
    ahead: usize,
    ticket: Option<Ticket>,
    outcome: &'static str,
}

impl<'a> Place<'a> {
    fn new(request: WaitRequest<'a>, need: Need) -> Self {
        let since = request.shared.clock.now();
        let work = Duration::ZERO;
        Self { request, need, since, work, ahead: 0, ticket: None, outcome: LEFT }
    }

    fn join(&mut self) -> Result<oneshot::Receiver<Event>, Refusal> {
        let WaitRequest { shared, route, service, received_at, deadline, .. } = self.request;
        let mut state = shared.waiting.state.lock();
        let time = deadline.saturating_sub(received_at);
        let work = state.work.get(&route.name).copied().unwrap_or_default();
        self.work = work.expected(route.objective, time);
        let request = Request {
            customer: self.request.customer.unwrap_or_default(),
            priority: self.request.priority,
            need: self.need,
            work: self.work,
            received_at,
            objective_at: received_at + route.objective,
            deadline,
            bytes: REQUEST_BYTES + self.request.body_bytes,
        };
        let entry = state
            .queues
            .entry(Arc::clone(service))
            .or_insert_with(|| ServiceQueue::new(&shared.memory));
        self.ahead = entry.queue.len();
        let (ticket, displaced) = entry.queue.push(&request, self.since)?;
        for other in displaced {
            entry.notify(other, Event::Refused(Refusal::QueueFull));
        }
        self.ticket = Some(ticket);
        let (waiter, event) = oneshot::channel();
        entry.waiters.insert(ticket, waiter);
        if !std::mem::replace(&mut entry.has_task, true) {
            tokio::spawn(run_queue(Arc::clone(shared), Arc::clone(service)));
        }
        Ok(event)
    }

    fn retry_after(&self) -> Duration {
        let state = self.request.shared.waiting.state.lock();
        let entry = state.queues.get(self.request.service);
        entry.map_or(Duration::ZERO, |entry| entry.queue.expected_wait()).min(RETRY_AFTER_MAX)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let WaitRequest { shared, id, route, service, customer, priority, deadline, .. } =
            self.request;
        let now = shared.clock.now();
        if let Some(ticket) = self.ticket
            && let Some(entry) = shared.waiting.state.lock().queues.get_mut(service)
        {
            entry.queue.cancel(ticket);
            entry.waiters.remove(&ticket);
        }
        let waited = now.saturating_sub(self.since);
        let label = route.priority.to_string();
        let metrics = &shared.metrics;
        metrics.waits.with_label_values(&[self.outcome, &label]).inc();
        metrics.wait_seconds.with_label_values(&[&label]).observe(waited.as_secs_f64());
        log::info!(
            "event=waited id={id} service={service} customer={} outcome={} need={} priority={priority} ahead={} work_ms={} left_ms={} waited_ms={}",
            customer.unwrap_or("-"),
            self.outcome,
            self.need,
            self.ahead,
            self.work.as_millis(),
            deadline.saturating_sub(now).as_millis(),
            waited.as_millis()
        );
    }
}
