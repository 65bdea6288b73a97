//! The budgets of repetitions by service.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citron::attempt::{RetryBudgetParams, WindowedRetryBudget};
use parking_lot::Mutex;

/// This host's share of the fleet's budgets.
#[derive(Debug, Default)]
pub struct Budgets {
    windows: Mutex<HashMap<Arc<str>, WindowedRetryBudget>>,
}

impl Budgets {
    /// Counts a request to a service.
    pub fn request(&self, service: &Arc<str>, share: RetryBudgetParams, now: Duration) {
        self.windows.lock().entry(Arc::clone(service)).or_default().record_request(share, now);
    }

    /// Takes one repetition from a service's budget, or returns false if it is spent.
    pub fn withdraw(&self, service: &Arc<str>, share: RetryBudgetParams, now: Duration) -> bool {
        self.windows.lock().entry(Arc::clone(service)).or_default().withdraw(share, now)
    }
}
