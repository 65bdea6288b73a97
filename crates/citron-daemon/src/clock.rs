//! The process's time, as the library wants it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Converts the runtime's clock to durations since the process's origin.
#[derive(Debug, Copy, Clone)]
pub struct Clock {
    origin: Instant,
    origin_wall_ms: u64,
}

impl Clock {
    /// Starts a clock whose origin is now.
    pub fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), origin_wall_ms: wall.as_millis() as u64 }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns milliseconds since the Unix epoch, following the runtime's clock.
    pub fn wall_ms(&self) -> u64 {
        self.origin_wall_ms + self.now().as_millis() as u64
    }

    /// Converts a time since the origin to the runtime's instant.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at
    }
}
