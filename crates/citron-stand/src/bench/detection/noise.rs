//! Random times.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The standard deviation of the logarithm of service times.
const SPREAD: f64 = 0.5;
/// The share of service times in the heavy tail.
const TAIL: f64 = 0.02;

/// Returns an exponentially distributed time.
pub fn exponential(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}

/// Returns a service time: log-normal, and longer by a Pareto factor for 2 in 100.
pub fn service(rng: &mut ChaCha8Rng, median: Duration) -> Duration {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let mut factor = (SPREAD * normal).exp();
    if rng.random_bool(TAIL) {
        factor *= 2.0 * (1.0 - rng.random::<f64>()).powf(-0.5).min(10.0);
    }
    median.mul_f64(factor)
}

/// Returns the time of one way between a proxy and a target.
pub fn one_way(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_micros(500) + exponential(rng, Duration::from_micros(200))
}

/// Returns the time of one way on a bad path, or `None` if the message is lost.
pub fn bad_way(rng: &mut ChaCha8Rng) -> Option<Duration> {
    if rng.random_bool(0.15) {
        return None;
    }
    Some(one_way(rng) + exponential(rng, Duration::from_millis(100)))
}
