//! The memory that the process may use for what callers and targets send.
//!
//! A process that exceeds its memory is killed, and with it all requests that it has in flight. So
//! what could be long is reserved before it is read, and refused or read later if there is no room.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The share of the process's memory that may be reserved; the rest is for its state and for
/// buffers that are not counted.
const RESERVED_SHARE: f64 = 0.7;
/// The share of that up to which a reservation of at least [`LONG_BYTES`] may grow, so that large
/// bodies leave room for small requests.
const LONG_SHARE: f64 = 0.85;
/// The size, in bytes, from which a reservation counts as long: that of a request with a body of
/// 16 KiB. With a higher one, uploads of 60 KB took the whole budget.
const LONG_BYTES: usize = 96 * 1024;

/// A budget in bytes.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    reserved: AtomicUsize,
}

/// Reserved bytes, which are free again once it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// Creates the budget of a process that may use `process_bytes`.
    pub fn new(process_bytes: u64) -> Arc<Self> {
        let limit = (process_bytes as f64 * RESERVED_SHARE) as usize;
        Arc::new(Self { limit, reserved: AtomicUsize::new(0) })
    }

    /// Returns how many bytes may be reserved.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns how many bytes are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Returns true if further bytes may be read that are not reserved before.
    pub fn has_room(&self) -> bool {
        self.reserved() < self.limit
    }

    /// Reserves `bytes`, or returns `None` if there is no room.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.count();
        reservation.grow_to(bytes).then_some(reservation)
    }

    /// Returns an empty reservation.
    pub fn count(self: &Arc<Self>) -> Reservation {
        Reservation { memory: Arc::clone(self), bytes: 0 }
    }
}

impl Reservation {
    /// Reserves `bytes` in all unless it has as many; returns false without a change if there is no
    /// room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes) else { return true };
        let limit = match bytes {
            LONG_BYTES.. => (self.memory.limit as f64 * LONG_SHARE) as usize,
            _ => self.memory.limit,
        };
        let add = |reserved: usize| reserved.checked_add(more).filter(|sum| *sum <= limit);
        let order = Ordering::Relaxed;
        let is_reserved = self.memory.reserved.fetch_update(order, order, add).is_ok();
        if is_reserved {
            self.bytes = bytes;
        }
        is_reserved
    }

    /// Counts exactly `bytes`, whether there is room or not.
    pub fn set(&mut self, bytes: usize) {
        let reserved = &self.memory.reserved;
        if bytes > self.bytes {
            reserved.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            reserved.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
