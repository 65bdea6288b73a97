//! Tells whether requests may have waited because the process stood still.

use std::time::Duration;

/// A tick that is late by so many intervals shows a standstill.
const LATE_INTERVALS: u32 = 3;
/// For how many intervals after a standstill requests may have waited.
const SETTLE_INTERVALS: u32 = 2;

/// Watches the ticks of a process.
#[derive(Debug)]
pub struct Standstill {
    interval: Duration,
    last_tick: Duration,
    /// Until when requests may have waited.
    settles_at: Duration,
}

impl Standstill {
    /// Creates the watch of a process that started at time zero and ticks at an interval.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last_tick: Duration::ZERO, settles_at: Duration::ZERO }
    }

    /// Records a tick; returns how long the process stood still before it, if it did.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        let late = self.is_late(now);
        let stood_for = now.saturating_sub(self.last_tick);
        if late {
            self.settles_at = now + self.interval * SETTLE_INTERVALS;
        }
        self.last_tick = now;
        late.then_some(stood_for)
    }

    /// Returns true if a request that is received at `now` has not waited for a standstill.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.settles_at && !self.is_late(now)
    }

    fn is_late(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_tick) > self.interval * LATE_INTERVALS
    }
}
