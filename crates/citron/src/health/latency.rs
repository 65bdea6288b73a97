//! The distribution of a service's answer times, against which single answers are judged.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::Counts;

/// The longest time that is told apart, microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// The number of answers before times are judged at all.
const MIN_SAMPLES: u64 = 40;
/// The number of answers after which a generation may be replaced.
const MIN_GENERATION_SAMPLES: u64 = 256;
/// The shortest age of a generation.
const MIN_GENERATION_AGE: Duration = Duration::from_secs(10);
/// How often the quantiles are computed anew.
const QUANTILE_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The recent answer times of a service at one proxy, over all its targets.
#[derive(Debug)]
pub struct LatencyDistribution {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    generation_started: Duration,
    quantiles_computed: Duration,
    quantiles: Option<Quantiles>,
}

/// The quantiles that divide answers into fast, typical, slow and late.
#[derive(Debug, Copy, Clone)]
struct Quantiles {
    median: Duration,
    p90: Duration,
    p99: Duration,
}

impl LatencyDistribution {
    /// Creates an empty distribution.
    pub fn new(now: Duration) -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
                .expect("the bounds of a histogram are valid")
        };
        Self {
            current: empty(),
            previous: empty(),
            generation_started: now,
            quantiles_computed: now,
            quantiles: None,
        }
    }

    /// Adds the time of an answer, or of an attempt that timed out.
    pub fn record(&mut self, time: Duration, now: Duration) {
        self.current.saturating_record((time.as_micros() as u64).clamp(1, MAX_LATENCY_US));
        if self.current.len() >= MIN_GENERATION_SAMPLES
            && now >= self.generation_started + MIN_GENERATION_AGE
        {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.generation_started = now;
        }
        if self.quantiles.is_none() || now >= self.quantiles_computed + QUANTILE_REFRESH_INTERVAL {
            self.quantiles_computed = now;
            self.quantiles = self.compute_quantiles();
        }
    }

    /// Counts `time` as fast, typical, slow or late, once enough answers are known.
    pub fn classify(&self, time: Duration, counts: &mut Counts) {
        let Some(quantiles) = self.quantiles else { return };
        let class = if time <= quantiles.median {
            &mut counts.fast
        } else if time <= quantiles.p90 {
            &mut counts.typical
        } else if time <= quantiles.p99 {
            &mut counts.slow
        } else {
            &mut counts.late
        };
        *class += 1;
    }

    /// Returns the time beyond which an attempt is late, once enough answers are known.
    pub fn late_threshold(&self) -> Option<Duration> {
        self.quantiles.map(|quantiles| quantiles.p99)
    }

    fn compute_quantiles(&self) -> Option<Quantiles> {
        if self.current.len() + self.previous.len() < MIN_SAMPLES {
            return None;
        }
        let mut all = self.current.clone();
        all.add(&self.previous).expect("both generations have the same bounds");
        let at = |quantile| Duration::from_micros(all.value_at_quantile(quantile));
        Some(Quantiles { median: at(0.5), p90: at(0.9), p99: at(0.99) })
    }
}
