//! Counts what this gateway's load is measured by.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use citron::spread::meter::{Counts, Meter};
use parking_lot::{Mutex, MutexGuard};

/// What this gateway measures of itself.
#[derive(Debug, Default)]
pub struct OwnLoad {
    meter: Mutex<Meter>,
    requests: AtomicU64,
    bytes: AtomicU64,
}

impl OwnLoad {
    /// Counts a request that was received.
    pub fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes that were received from a caller or sent to one. What a target receives and sends
    /// is nearly the same, so that these bytes are what passes the link in each direction.
    pub fn count_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns what was measured.
    pub fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock()
    }

    /// Records a tick that was due at intervals of `interval`, whose lateness is measured.
    pub fn tick(&self, interval: Duration, now: Duration) {
        let counts = Counts {
            requests: self.requests.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        };
        self.meter.lock().tick(counts, interval, now);
    }
}
