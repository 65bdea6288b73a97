//! The retry budgets of the services.

use std::{collections::HashMap, sync::Arc, time::Duration};

use citron::attempt::{RetryBudgetParams, WindowedRetryBudget};
use parking_lot::Mutex;

/// This host's share of the fleet's retry budgets, by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    windows: Mutex<HashMap<Arc<str>, WindowedRetryBudget>>,
}

impl RetryBudgets {
    /// Records a request to a service, which adds to its budget.
    pub fn record_request(&self, service: &Arc<str>, params: RetryBudgetParams, now: Duration) {
        self.windows.lock().entry(Arc::clone(service)).or_default().record_request(params, now);
    }

    /// Withdraws one retry from a service's budget, or returns false if the budget is exhausted.
    pub fn withdraw(&self, service: &Arc<str>, params: RetryBudgetParams, now: Duration) -> bool {
        self.windows.lock().entry(Arc::clone(service)).or_default().withdraw(params, now)
    }
}
