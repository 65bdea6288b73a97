//! Measures how fast waiting requests are served.

use std::time::Duration;

/// The part of a new interval in the moving average.
const AVERAGE_GAIN: f64 = 0.1;

/// The mean time between two requests that leave a queue which still has others.
#[derive(Debug, Default)]
pub(super) struct DepartureInterval {
    last: Option<Duration>,
    mean: Option<Duration>,
}

impl DepartureInterval {
    /// Takes in that a request left; `more` tells whether others still wait.
    pub fn on_departure(&mut self, others_wait: bool, now: Duration) {
        if let Some(last) = self.last {
            let interval = now.saturating_sub(last);
            self.mean = Some(self.mean.map_or(interval, |mean| {
                mean.mul_f64(1.0 - AVERAGE_GAIN) + interval.mul_f64(AVERAGE_GAIN)
            }));
        }
        // Time in which nobody waits tells nothing about the pace.
        self.last = others_wait.then_some(now);
    }

    /// Returns how long the request with `ahead` others before it waits; nothing if not known yet.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        self.mean.unwrap_or_default().saturating_mul(ahead as u32 + 1)
    }
}
