//! Estimates how long messages of a sender were held back on their way.
//!
//! A message that a relay passes on only after a pause looks new although what it says is old. The
//! clocks of sender and receiver have no common origin, but the difference between them is constant:
//! what a message takes longer than the fastest one of late was spent waiting.

use std::time::Duration;

/// How long the fastest message counts; at most twice as long.
const WINDOW: Duration = Duration::from_secs(10);

/// The delays of one sender's messages.
#[derive(Debug, Default, Clone)]
pub struct Delay {
    /// The least difference between the clocks in the current and in the previous window, in
    /// nanoseconds.
    least: [Option<i128>; 2],
    window_start: Duration,
}

impl Delay {
    /// Records a message that was sent at `sent` by the sender's clock and arrived at `arrived` by
    /// the receiver's; returns how much longer than the fastest one it took.
    pub fn record(&mut self, sent: Duration, arrived: Duration) -> Duration {
        let elapsed = arrived.saturating_sub(self.window_start);
        if elapsed >= WINDOW {
            let previous = self.least[0].filter(|_| elapsed < WINDOW * 2);
            self.least = [None, previous];
            self.window_start = arrived;
        }
        let difference = arrived.as_nanos() as i128 - sent.as_nanos() as i128;
        let least = self.least.iter().flatten().copied().fold(difference, i128::min);
        self.least[0] = Some(self.least[0].map_or(difference, |least| least.min(difference)));
        let excess = u64::try_from(difference - least).unwrap_or(u64::MAX);
        Duration::from_nanos(excess)
    }
}
