//! The calls of one follower that have not ended.

use std::pin::Pin;

use citron_daemon::transfer::Progress;
use futures::{StreamExt, stream::FuturesUnordered};
use smallvec::SmallVec;

use super::call::Call;

/// The calls of one follower that have not ended; dropping them closes their connections.
#[derive(Default)]
pub struct Calls {
    pending: FuturesUnordered<Pin<Box<dyn Future<Output = Call> + Send>>>,
    progress: SmallVec<[Progress; 4]>,
}

impl Calls {
    /// Adds a call, of whose response `progress` counts what has arrived.
    pub fn push(&mut self, progress: Progress, call: impl Future<Output = Call> + Send + 'static) {
        self.progress.push(progress);
        self.pending.push(Box::pin(call));
    }

    /// Waits until a call ends, or returns `None` if there is none. Cancel safe.
    pub async fn next(&mut self) -> Option<Call> {
        let call = self.pending.next().await?;
        self.progress.retain(|progress| !progress.is(&call.progress));
        Some(call)
    }

    /// Returns the number of calls.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns true if there are no calls.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns how many bytes have arrived of the responses.
    pub fn received(&self) -> usize {
        self.progress.iter().map(Progress::received).sum()
    }
}
