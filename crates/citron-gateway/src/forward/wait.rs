//! When a request waits for a retry token or for room, where there are customers.

use std::time::Duration;

use citron::{
    attempt::{AttemptSeries, Outcome},
    gray::Choice,
    queue::wait::Need,
};

use super::{Forwarder, Tried};
use crate::{
    http1::Response,
    refusal,
    retry::Retry,
    waiting::{Refused, WaitRequest},
};

impl Forwarder<'_> {
    /// Waits until the request may be sent; returns the retry that was charged for it, if it needs
    /// one.
    ///
    /// # Errors
    /// Fails with the refusal if it cannot be served.
    pub(super) async fn wait(&self, series: &AttemptSeries) -> Result<Option<Retry>, Response> {
        let need = if series.needs_charge() { Need::Token } else { Need::Room };
        let charged = self.wait_request().wait(need).await;
        charged.map_err(|refused| self.refuse(refused, series.attempts()))
    }

    /// Returns true if the request must not be sent before others that wait for the same.
    pub(super) fn must_queue(&self, need: Need) -> bool {
        let now = self.shared.clock.now();
        let priority = self.priority();
        self.may_wait && self.shared.waiting.precedes(&self.service, priority, need, now)
    }

    /// Chooses a target, unless it is a first attempt that others go ahead of.
    pub(super) fn dispatch_in_turn(&self, tried: &mut Tried, released: bool) -> Option<Choice> {
        let is_held = tried.since_wait.is_empty() && !released && self.must_queue(Need::Room);
        if is_held { None } else { self.dispatch(tried) }
    }

    /// Records the time that a target took to serve the request.
    pub(super) fn record_work(&self, took: Duration) {
        if self.may_wait {
            self.shared.waiting.record_work(&self.route.name, took);
        }
    }

    fn priority(&self) -> u32 {
        let customer = self.access.customer().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority)
    }

    fn wait_request(&self) -> WaitRequest<'_> {
        WaitRequest {
            shared: self.shared,
            id: self.id,
            route: self.route,
            service: &self.service,
            customer: self.access.customer().map(|customer| &*customer.name),
            priority: self.priority(),
            received_at: self.received_at,
            deadline: self.deadline,
            body_bytes: self.body.len() as usize,
        }
    }

    fn refuse(&self, refused: Refused, attempts: u32) -> Response {
        log::warn!(
            "event=refused id={} outcome={} reason={} attempts={attempts} retry_after_ms={}",
            self.id,
            Outcome::NotRun,
            refused.reason,
            refused.retry_after.as_millis()
        );
        self.shared.metrics.record_refusal(refused.reason.into());
        refusal::waited(refused, self.shared.unavailable_for(&self.service))
    }
}
