//! Measures the time between departures from a queue, to estimate waiting times.

use std::time::Duration;

/// The weight of a new interval in the exponential moving average.
const AVERAGE_GAIN: f64 = 0.1;

/// The mean time between two consecutive departures while requests wait.
#[derive(Debug, Default)]
pub(super) struct DepartureInterval {
    last: Option<Duration>,
    mean: Option<Duration>,
}

impl DepartureInterval {
    /// Records that a request was served; `others_wait` is whether others still wait.
    pub fn on_departure(&mut self, others_wait: bool, now: Duration) {
        if let Some(last) = self.last {
            let interval = now.saturating_sub(last);
            self.mean = Some(self.mean.map_or(interval, |mean| {
                mean.mul_f64(1.0 - AVERAGE_GAIN) + interval.mul_f64(AVERAGE_GAIN)
            }));
        }
        // An interval in which the queue was empty does not measure how fast it is served.
        self.last = others_wait.then_some(now);
    }

    /// Estimates how long a request with `ahead` others before it waits; zero before the first
    /// measured interval.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        self.mean.unwrap_or_default().saturating_mul(ahead as u32 + 1)
    }
}
