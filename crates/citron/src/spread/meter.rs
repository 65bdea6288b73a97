//! Measures the load of this gateway's process from counters that are read at an interval.

use std::{collections::VecDeque, time::Duration};

/// The time constant of the moving means.
const MEAN_TIME: Duration = Duration::from_secs(1);
/// For how long a late tick counts.
const LATENESS_WINDOW: Duration = Duration::from_secs(1);

/// What the process has counted since its start.
#[derive(Debug, Copy, Clone, Default)]
pub struct Counts {
    /// Requests that were received.
    pub requests: u64,
    /// Bytes that passed the link in one direction.
    pub bytes: u64,
}

/// The measured load of a process.
#[derive(Debug, Default)]
pub struct Meter {
    last_tick: Option<Duration>,
    last_counts: Counts,
    requests_per_s: f64,
    bytes_per_s: f64,
    /// How late the ticks were, in descending order, each with when it came.
    late: VecDeque<(Duration, Duration)>,
}

impl Meter {
    /// Records a tick that was due `interval` after the last one.
    pub fn tick(&mut self, counts: Counts, interval: Duration, now: Duration) {
        let last = self.last_tick.replace(now);
        let before = std::mem::replace(&mut self.last_counts, counts);
        let Some(elapsed) = last.map(|last| now.saturating_sub(last)) else { return };
        if elapsed.is_zero() {
            return;
        }
        let weight = 1.0 - (-elapsed.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp();
        let per_s = |count: u64| count as f64 / elapsed.as_secs_f64();
        let requests = per_s(counts.requests.saturating_sub(before.requests));
        let bytes = per_s(counts.bytes.saturating_sub(before.bytes));
        self.requests_per_s += (requests - self.requests_per_s) * weight;
        self.bytes_per_s += (bytes - self.bytes_per_s) * weight;
        self.record_lateness(elapsed.saturating_sub(interval), now);
    }

    /// Returns how many requests a second are received, as a moving mean.
    pub fn requests_per_s(&self) -> f64 {
        self.requests_per_s
    }

    /// Returns how many bytes a second pass the link in one direction, as a moving mean.
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Returns how late the latest tick of the last [`LATENESS_WINDOW`] was.
    pub fn lateness(&self) -> Duration {
        self.late.front().map_or(Duration::ZERO, |(_, late)| *late)
    }

    fn record_lateness(&mut self, lateness: Duration, now: Duration) {
        while self.late.back().is_some_and(|(_, last)| *last <= lateness) {
            self.late.pop_back();
        }
        self.late.push_back((now, lateness));
        while self.late.front().is_some_and(|(at, _)| now > *at + LATENESS_WINDOW) {
            self.late.pop_front();
        }
    }
}
