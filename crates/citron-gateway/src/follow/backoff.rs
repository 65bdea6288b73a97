//! The delays between failed calls to the store.

use std::time::Duration;

use citron_adapter::store::Error;
use rand::Rng;
use tokio::time;

use super::call::CallKind;
use crate::shared::Shared;

/// The minimum delay after the first failed call; the delay doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// The maximum delay after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// The same at a gateway that polls.
const POLL_RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// Exponential backoff with jitter after failed calls to the store.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the number of calls that failed since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns true if the last call failed.
    pub fn failed(&self) -> bool {
        self.failures > 0
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self, call: &str, error: &Error) {
        if self.failures == 0 {
            log::warn!("event=store-lost call={call} reason={:?}", error.to_string());
        }
        self.failures += 1;
    }

    /// Waits before the next call.
    pub async fn wait(&self, shared: &Shared, subject: &str, call: CallKind) {
        let longest = if shared.is_poller() { POLL_RETRY_DELAY_MAX } else { RETRY_DELAY_MAX };
        let delay = (RETRY_DELAY_MIN * 2_u32.pow(self.failures.min(8))).min(longest);
        let delay = delay.mul_f64(rand::rng().random_range(0.5..1.0));
        shared.metrics.store_calls.with_label_values(&[subject, call.into(), "retried"]).inc();
        time::sleep(delay).await;
    }
}
