//! Retries that a budget allowed, with a token of this host or of another one.

pub mod loan;

use std::sync::Arc;

use citron::attempt::{Denial, Ticket};
use tokio::time;

use crate::{budget::TICK, loans::Lent, shared::Shared};

/// Records that this process runs, until it ends.
pub async fn watch_standstill(shared: Arc<Shared>) {
    loop {
        let stood_for = shared.budgets.tick(shared.clock.now());
        if let Some(stood_for) = stood_for {
            log::warn!("event=stood-still for_ms={}", stood_for.as_millis());
        }
        time::sleep(TICK).await;
    }
}

/// A retry that the budget allowed. Dropping it returns its token if it was not sent.
#[derive(Debug)]
pub struct Retry {
    shared: Arc<Shared>,
    service: Arc<str>,
    token: Token,
    sent: bool,
}

/// What a retry is paid with.
#[derive(Debug)]
enum Token {
    /// A token of this host.
    Own(Ticket),
    /// A token that another host lent.
    Lent(Lent),
}

impl Retry {
    /// Spends a token of a service's budget.
    ///
    /// # Errors
    /// Fails with the reason if no retry is allowed.
    pub fn withdraw(shared: &Arc<Shared>, service: &Arc<str>) -> Result<Self, Denial> {
        let ticket = shared.budgets.withdraw(service, shared.clock.now())?;
        Ok(Self::new(shared, service, Token::Own(ticket)))
    }

    /// Creates a retry that is paid with a token that another host lent.
    fn lent(shared: &Arc<Shared>, service: &Arc<str>, lent: Lent) -> Self {
        Self::new(shared, service, Token::Lent(lent))
    }

    fn new(shared: &Arc<Shared>, service: &Arc<str>, token: Token) -> Self {
        Self { shared: Arc::clone(shared), service: Arc::clone(service), token, sent: false }
    }

    /// Returns true if it may be sent now: a lent token has a term.
    pub fn is_usable(&self) -> bool {
        match &self.token {
            Token::Own(_) => true,
            Token::Lent(lent) => lent.loan.is_usable(self.shared.clock.now()),
        }
    }

    /// Records whether some of it may have been sent.
    pub fn set_sent(&mut self, sent: bool) {
        self.sent = sent;
    }

    /// Records that it has arrived at its target.
    pub fn record_arrival(&self) {
        match &self.token {
            Token::Own(ticket) => {
                let now = self.shared.clock.now();
                self.shared.budgets.with_known(&self.service, |b| b.record_arrival(*ticket, now));
            }
            Token::Lent(lent) => loan::end(&self.shared, lent, loan::End::Arrived),
        }
    }
}

impl Drop for Retry {
    fn drop(&mut self) {
        if self.sent {
            return;
        }
        match &self.token {
            Token::Own(ticket) => {
                let now = self.shared.clock.now();
                self.shared.budgets.with_known(&self.service, |b| b.refund(*ticket, now));
            }
            Token::Lent(lent) => loan::end(&self.shared, lent, loan::End::Returned),
        }
    }
}
