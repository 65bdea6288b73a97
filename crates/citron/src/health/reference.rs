//! The distribution of a service's answer times, against which single answers are judged.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::Counts;

/// The longest time that is told apart, microseconds.
const LIMIT_US: u64 = 600_000_000;
/// The number of answers before times are judged at all.
const ENOUGH: u64 = 40;
/// The number of answers after which a generation may be replaced.
const GENERATION: u64 = 256;
/// The shortest age of a generation.
const GENERATION_AGE: Duration = Duration::from_secs(10);
/// How often the quantiles are computed anew.
const REFRESH: Duration = Duration::from_millis(500);

/// The recent answer times of a service at one proxy, over all its targets.
#[derive(Debug)]
pub struct Reference {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    born: Duration,
    refreshed: Duration,
    bounds: Option<Bounds>,
}

/// The quantiles that divide answers into fast, typical, slow and late.
#[derive(Debug, Copy, Clone)]
struct Bounds {
    median: Duration,
    p90: Duration,
    p99: Duration,
}

impl Reference {
    /// Creates an empty distribution.
    pub fn new(now: Duration) -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, LIMIT_US, 2).expect("the bounds of a histogram are valid")
        };
        Self { current: empty(), previous: empty(), born: now, refreshed: now, bounds: None }
    }

    /// Adds the time of an answer, or of an attempt that timed out.
    pub fn add(&mut self, time: Duration, now: Duration) {
        self.current.saturating_record((time.as_micros() as u64).clamp(1, LIMIT_US));
        if self.current.len() >= GENERATION && now >= self.born + GENERATION_AGE {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.born = now;
        }
        if self.bounds.is_none() || now >= self.refreshed + REFRESH {
            self.refreshed = now;
            self.bounds = self.compute();
        }
    }

    /// Counts `time` as fast, typical, slow or late, once enough answers are known.
    pub fn judge(&self, time: Duration, counts: &mut Counts) {
        let Some(bounds) = self.bounds else { return };
        let class = if time <= bounds.median {
            &mut counts.fast
        } else if time <= bounds.p90 {
            &mut counts.typical
        } else if time <= bounds.p99 {
            &mut counts.slow
        } else {
            &mut counts.late
        };
        *class += 1;
    }

    /// Returns the time beyond which an attempt is late, once enough answers are known.
    pub fn late_after(&self) -> Option<Duration> {
        self.bounds.map(|bounds| bounds.p99)
    }

    fn compute(&self) -> Option<Bounds> {
        if self.current.len() + self.previous.len() < ENOUGH {
            return None;
        }
        let mut all = self.current.clone();
        all.add(&self.previous).expect("both generations have the same bounds");
        let at = |quantile| Duration::from_micros(all.value_at_quantile(quantile));
        Some(Bounds { median: at(0.5), p90: at(0.9), p99: at(0.99) })
    }
}
