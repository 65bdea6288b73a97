//! What has arrived of the response to a call.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// How much of a response has arrived; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Records that further bytes of the body arrived.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns how many bytes of the body have arrived.
    pub fn received(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns true if both are of the same response.
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}
