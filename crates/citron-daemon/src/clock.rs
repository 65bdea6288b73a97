//! The time of a process, as durations since an origin.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Measures time from an origin with the clock of the async runtime.
#[derive(Debug, Copy, Clone)]
pub struct Clock {
    origin: Instant,
    origin_wall_ms: u64,
    /// How long the host had been suspended in all at the start, since it was booted.
    origin_suspended: Duration,
}

impl Clock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            origin: Instant::now(),
            origin_wall_ms: wall.as_millis() as u64,
            origin_suspended: suspended_since_boot(),
        }
    }

    /// Returns the clock of a process that has run for `age`.
    pub fn started_before(age: Duration) -> Self {
        let now = Self::start();
        let origin_wall_ms = now.origin_wall_ms.saturating_sub(age.as_millis() as u64);
        Self { origin: now.origin - age, origin_wall_ms, ..now }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns milliseconds since the Unix epoch: the wall-clock time of the origin plus the time
    /// since then on the runtime's clock.
    pub fn wall_ms(&self) -> u64 {
        self.origin_wall_ms + self.now().as_millis() as u64
    }

    /// Returns how long the host has been suspended in all since the origin. [`Clock::now`] stands
    /// still meanwhile.
    pub fn suspended(&self) -> Duration {
        suspended_since_boot().saturating_sub(self.origin_suspended)
    }

    /// Converts a time since the origin to an instant of the runtime's clock.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at
    }
}

/// Returns how long the host was suspended in all since it was booted, or less by as long as the
/// process was held up between the two readings.
fn suspended_since_boot() -> Duration {
    let read = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    let boot = read(ClockId::Boottime);
    boot.saturating_sub(read(ClockId::Monotonic))
}
