//! When the gateway accepts callers, and how it stops.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use citron::shutdown;
use tokio::time;

use super::Shared;

/// The bit of the number of requests in flight that is set once no request may begin any more.
const CLOSED: usize = 1 << (usize::BITS - 1);

/// A guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

/// A guard that counts a request as being received until it is dropped.
#[derive(Debug)]
pub struct Receiving(Arc<Shared>);

impl Shared {
    /// Returns true if this gateway accepts callers.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.has_joined() && self.has_state()
    }

    /// Returns true once what peers know was taken over.
    pub fn has_joined(&self) -> bool {
        self.has_joined.load(Ordering::Relaxed)
    }

    /// Returns true if this gateway has routes and targets.
    pub fn has_state(&self) -> bool {
        self.routes.read().is_some() && self.targets.lock().catalog.position().revision > 0
    }

    /// Records that what peers know was taken over.
    pub fn end_join(&self) {
        self.has_joined.store(true, Ordering::Relaxed);
        self.announce_if_first();
    }

    /// Returns true once the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.serve_until.borrow().is_some()
    }

    /// Returns until when requests may be in flight, if the shutdown has begun.
    pub fn serve_until(&self) -> Option<Duration> {
        *self.serve_until.borrow()
    }

    /// Waits until no request may be in flight anymore, as the process will be killed.
    pub async fn end_of_service(&self) {
        let mut serve_until = self.serve_until.subscribe();
        let until = serve_until.wait_for(Option::is_some).await.ok().and_then(|until| *until);
        match until {
            Some(until) => time::sleep_until(self.clock.instant(until)).await,
            // The sender lives as long as `self`.
            None => std::future::pending().await,
        }
    }

    /// Marks the gateway as shutting down and wakes the tasks that must react to it.
    pub fn begin_shutdown(&self) {
        let until = shutdown::serve_until(self.clock.now(), self.settings().grace);
        self.serve_until.send_replace(Some(until));
        self.state_changed.notify_one();
        self.shutdown_started.notify_waiters();
    }

    /// Counts a request as in flight until the returned guard is dropped; `None` if no request may
    /// begin, as the process ends.
    pub fn track_request(self: &Arc<Self>) -> Option<InFlight> {
        let begin = |count| (count & CLOSED == 0).then_some(count + 1);
        let begun = self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, begin);
        begun.ok().map(|_| InFlight(Arc::clone(self)))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire) & !CLOSED
    }

    /// Counts a request of which a part has arrived as being received until the returned guard is
    /// dropped.
    pub fn track_receiving(self: &Arc<Self>) -> Receiving {
        self.receiving.fetch_add(1, Ordering::AcqRel);
        Receiving(Arc::clone(self))
    }

    /// Returns how many requests a shutdown waits for: those in flight, and as long as they could be
    /// answered those that are being received.
    pub fn unfinished(&self) -> usize {
        let now = self.clock.now();
        let waits = self.serve_until().is_none_or(|until| now < until);
        let receiving = if waits { self.receiving.load(Ordering::Acquire) } else { 0 };
        self.in_flight() + receiving
    }

    /// Ends the acceptance of requests if none is in flight; returns true once it has ended.
    pub fn close(&self) -> bool {
        let closed =
            self.in_flight.compare_exchange(0, CLOSED, Ordering::AcqRel, Ordering::Acquire);
        closed.is_ok() || closed == Err(CLOSED)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for Receiving {
    fn drop(&mut self) {
        self.0.receiving.fetch_sub(1, Ordering::AcqRel);
    }
}
