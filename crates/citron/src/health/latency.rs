//! The latency distribution of a service, by which single responses are classified.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::Counts;

/// Longer latencies are recorded as this value, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Least number of samples before latencies are classified.
const MIN_SAMPLES: u64 = 40;
/// Least number of samples in a generation before it is replaced.
const MIN_GENERATION_SAMPLES: u64 = 256;
/// Least age of a generation before it is replaced.
const MIN_GENERATION_AGE: Duration = Duration::from_secs(10);
/// Interval at which the quantiles are recomputed.
const QUANTILE_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The recent latencies of a service at one proxy, over all its targets.
///
/// Samples go to the current generation; quantiles are taken over this and the previous one.
#[derive(Debug)]
pub struct LatencyDistribution {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    generation_started: Duration,
    quantiles_computed: Duration,
    quantiles: Option<Quantiles>,
}

/// The quantiles that separate fast, typical, slow and late responses.
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

    /// Records the latency of a response, or the time until an attempt timed out.
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

    /// Counts `time` as fast, typical, slow or late; does nothing before there are enough samples.
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

    /// Returns the latency above which an attempt is late, `None` before there are enough samples.
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
