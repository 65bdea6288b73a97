//! The retry budget that the requests of one service share.

use std::sync::atomic::{AtomicU32, Ordering};

/// What one request adds to the budget, in thousandths of a retry.
const DEPOSIT_MILLI: u32 = 200;
/// What one retry costs, in thousandths of a retry.
const COST_MILLI: u32 = 1000;

/// Limits retries to a share of the requests, so that they cannot amplify an overload.
#[derive(Debug)]
pub struct RetryBudget {
    limit_milli: u32,
    balance_milli: AtomicU32,
}

impl RetryBudget {
    /// Creates a full budget that holds at most `limit` retries.
    pub fn new(limit: u32) -> Self {
        let limit_milli = limit.saturating_mul(COST_MILLI);
        Self { limit_milli, balance_milli: AtomicU32::new(limit_milli) }
    }

    /// Adds the deposit of one request.
    pub fn deposit(&self) {
        self.update(|milli| Some((milli + DEPOSIT_MILLI).min(self.limit_milli)));
    }

    /// Withdraws the cost of one retry, or returns false if the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        self.update(|milli| milli.checked_sub(COST_MILLI))
    }

    fn update(&self, next: impl Fn(u32) -> Option<u32>) -> bool {
        let updated = self.balance_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        assert!(
            self.balance_milli.load(Ordering::Relaxed) <= self.limit_milli,
            "a retry budget must not exceed its limit"
        );
        updated.is_ok()
    }
}
