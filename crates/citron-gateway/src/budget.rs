//! The retry budgets of the services.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citron::attempt::{Denial, LOAN_TERM, RetryBucket, RetryShare, Standstill, Ticket};
use parking_lot::Mutex;

use crate::connection::{CONNECT_TIMEOUT, USER_TIMEOUT};

/// How long after its withdrawal a retry may still arrive: then its connection was not established,
/// or the kernel has given up bytes that are not acknowledged.
const RETRY_FLIGHT: Duration = CONNECT_TIMEOUT.saturating_add(USER_TIMEOUT);
/// The interval between two looks at whether the process stands still.
pub const TICK: Duration = Duration::from_millis(100);

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
    ///
    /// # Errors
    /// Fails with the reason if there is none.
    pub fn withdraw(&self, service: &Arc<str>, now: Duration) -> Result<Ticket, Denial> {
        let mut state = self.state.lock();
        state.with_bucket(service, |bucket, share| bucket.withdraw(share, now))
    }

    /// Spends a token of a service's budget for a retry of another host.
    ///
    /// # Errors
    /// Fails with the reason if there is none.
    pub fn lend(&self, service: &Arc<str>, now: Duration) -> Result<Ticket, Denial> {
        let mut state = self.state.lock();
        state.with_bucket(service, |bucket, share| bucket.lend(share, now))
    }

    /// Returns the tokens and the number of retries on their way, by service.
    pub fn levels(&self) -> Vec<(Arc<str>, f64, usize)> {
        let state = self.state.lock();
        let levels = state.buckets.iter();
        levels.map(|(name, b)| (Arc::clone(name), b.tokens(), b.in_flight())).collect()
    }

    /// Records that this process runs; returns how long it stood still before, if it did.
    pub fn tick(&self, now: Duration) -> Option<Duration> {
        self.state.lock().standstill.tick(now)
    }

    /// Updates the budget of a service, if there is one.
    pub fn with_known(&self, service: &str, update: impl FnOnce(&mut RetryBucket)) {
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
