//! How long targets work on the requests of a route.

use std::time::Duration;

/// The weight of a new attempt in the moving mean.
const MEAN_GAIN: f64 = 0.1;
/// The share of the objective that is assumed before the first served attempt.
const ASSUMED_SHARE: f64 = 0.25;
/// The most that is expected, as a share of the request's time, so that a slow spell does not make
/// requests look hopeless that could still be served.
const SHARE_MAX: f64 = 0.5;

/// The moving mean of the time of the served attempts of one route.
#[derive(Debug, Default, Copy, Clone)]
pub struct Work {
    mean: Option<Duration>,
}

impl Work {
    /// Records a served attempt.
    pub fn record(&mut self, took: Duration) {
        self.mean = Some(
            self.mean.map_or(took, |mean| mean.mul_f64(1.0 - MEAN_GAIN) + took.mul_f64(MEAN_GAIN)),
        );
    }

    /// Returns the time that a target is expected to take for a request with this objective, of which
    /// the response must come within `time`.
    pub fn expected(&self, objective: Duration, time: Duration) -> Duration {
        let expected = self.mean.unwrap_or_else(|| objective.mul_f64(ASSUMED_SHARE));
        expected.min(time.mul_f64(SHARE_MAX))
    }
}
