//! The retry budgets of the services.

pub mod loan;

use std::{collections::HashMap, sync::Arc, time::Duration};

use citron::attempt::{Denial, LOAN_TERM, RetryBucket, RetryShare, Standstill, Ticket};
use parking_lot::Mutex;
use tokio::time;

use self::loan::Lent;
use crate::{
    connection::{CONNECT_TIMEOUT, USER_TIMEOUT},
    shared::Shared,
};

/// How long after its withdrawal a retry may still arrive: then its connection was not established,
/// or the kernel has given up bytes that are not acknowledged.
const RETRY_FLIGHT: Duration = CONNECT_TIMEOUT.saturating_add(USER_TIMEOUT);
/// The interval between two looks at whether the process stands still.
const TICK: Duration = Duration::from_millis(100);

/// This host's shares of the fleet's retry budgets, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    share: RetryShare,
    standstill: Standstill,
    /// Whether no earlier process of this host can have made retries.
    starts_full: bool,
    buckets: HashMap<Arc<str>, RetryBucket>,
}

impl Default for RetryBudgets {
    fn default() -> Self {
        let state = State {
            share: RetryShare::NONE,
            standstill: Standstill::new(TICK),
            starts_full: false,
            buckets: HashMap::new(),
        };
        Self { state: Mutex::new(state) }
    }
}

impl RetryBudgets {
    /// Sets this host's share of each budget; returns true if it has changed.
    pub fn set_share(&self, share: RetryShare) -> bool {
        let mut state = self.state.lock();
        std::mem::replace(&mut state.share, share) != share
    }

    /// Records that no earlier process of this host can have made retries, so that all tokens of its
    /// share are there at the start. Without effect once hosts that started with this one may have made
    /// retries, as they did not count it among those that share the slack.
    pub fn start_full(&self, now: Duration) {
        self.state.lock().starts_full |= now < RETRY_FLIGHT + LOAN_TERM;
    }

    /// Records a request to a service, which adds to its budget unless it may have waited while
    /// this process stood still.
    pub fn record_request(&self, service: &Arc<str>, now: Duration) {
        let mut state = self.state.lock();
        if state.standstill.is_over(now) {
            state.with_bucket(service, |bucket, share| bucket.record_request(share, now));
        }
    }

    /// Spends a token of a service's budget.
    fn withdraw(&self, service: &Arc<str>, now: Duration) -> Result<Ticket, Denial> {
        let mut state = self.state.lock();
        state.with_bucket(service, |bucket, share| bucket.withdraw(share, now))
    }

    /// Spends a token of a service's budget for a retry of another host.
    fn lend(&self, service: &Arc<str>, now: Duration) -> Result<Ticket, Denial> {
        let mut state = self.state.lock();
        state.with_bucket(service, |bucket, share| bucket.lend(share, now))
    }

    /// Returns the tokens and the number of retries on their way, by service.
    pub fn levels(&self) -> Vec<(Arc<str>, f64, usize)> {
        let state = self.state.lock();
        let levels = state.buckets.iter();
        levels.map(|(name, b)| (Arc::clone(name), b.tokens(), b.in_flight())).collect()
    }

    fn with_known(&self, service: &str, update: impl FnOnce(&mut RetryBucket)) {
        if let Some(bucket) = self.state.lock().buckets.get_mut(service) {
            update(bucket);
        }
    }
}

impl State {
    fn with_bucket<T>(
        &mut self,
        service: &Arc<str>,
        update: impl FnOnce(&mut RetryBucket, &RetryShare) -> T,
    ) -> T {
        let starts_full = self.starts_full;
        let bucket = self.buckets.entry(Arc::clone(service)).or_insert_with(|| match starts_full {
            true => RetryBucket::of_new_host(RETRY_FLIGHT),
            false => RetryBucket::new(RETRY_FLIGHT),
        });
        update(bucket, &self.share)
    }
}

/// Records that this process runs, until it ends.
pub async fn watch_standstill(shared: Arc<Shared>) {
    loop {
        let stood_for = shared.budgets.state.lock().standstill.tick(shared.clock.now());
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
