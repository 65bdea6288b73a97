//! The retry budget of a service, as one request spends it.

use std::time::Duration;

use citron::attempt::{AttemptResult, Ticket};
use citron_daemon::Clock;

use crate::service::{RETRY_SHARE, Service};

/// The retry of a request that is charged to the budget and has not been sent yet. Dropping it
/// returns its token.
#[derive(Debug)]
pub struct Charge<'a> {
    service: &'a Service,
    clock: Clock,
    ticket: Option<Ticket>,
}

impl<'a> Charge<'a> {
    /// Creates the charge of a request's first attempt, which costs nothing.
    pub fn new(service: &'a Service, clock: Clock) -> Self {
        Self { service, clock, ticket: None }
    }

    /// Charges a retry, unless one is charged that was not sent; returns false if the budget does
    /// not allow it.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        if self.ticket.is_none() {
            self.ticket = self.service.retry_budget.lock().withdraw(&RETRY_SHARE, now).ok();
        }
        self.ticket.is_some()
    }

    /// Records how the attempt ended that the retry paid for.
    pub fn record_result(&mut self, result: AttemptResult) {
        match result {
            // The next attempt may use it.
            AttemptResult::NotConnected => {}
            // It may still arrive.
            AttemptResult::Broken | AttemptResult::TimedOut => self.ticket = None,
            AttemptResult::Answered
            | AttemptResult::Failed
            | AttemptResult::Shed
            | AttemptResult::Foreign => {
                if let Some(ticket) = self.ticket.take() {
                    self.service.retry_budget.lock().record_arrival(ticket, self.clock.now());
                }
            }
        }
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.service.retry_budget.lock().refund(ticket, self.clock.now());
        }
    }
}
