//! The calls of one follower that have not ended.

use std::pin::Pin;

use citron_daemon::transfer::Progress;
use futures::{
    StreamExt,
    future::{AbortHandle, Abortable},
    stream::FuturesUnordered,
};
use smallvec::SmallVec;

use super::call::Call;

/// The calls of one follower that have not ended; dropping them closes their connections.
#[derive(Default)]
pub struct Calls {
    pending: FuturesUnordered<Abortable<Pin<Box<dyn Future<Output = Call> + Send>>>>,
    handles: SmallVec<[Handle; 4]>,
}

/// What is known of a call from outside.
struct Handle {
    progress: Progress,
    abort: AbortHandle,
}

impl Calls {
    /// Adds a call, of whose response `progress` counts what has arrived.
    pub fn push(&mut self, progress: Progress, call: impl Future<Output = Call> + Send + 'static) {
        let (abort, registration) = AbortHandle::new_pair();
        self.handles.push(Handle { progress, abort });
        self.pending.push(Abortable::new(Box::pin(call), registration));
    }

    /// Waits until a call ends, or returns `None` if there is none. Cancel safe.
    pub async fn next(&mut self) -> Option<Call> {
        loop {
            if let Ok(call) = self.pending.next().await? {
                self.handles.retain(|handle| !handle.progress.is(&call.progress));
                return Some(call);
            }
        }
    }

    /// Returns the number of calls.
    pub fn len(&self) -> usize {
        self.handles.len()
    }

    /// Returns true if there are no calls.
    pub fn is_empty(&self) -> bool {
        self.handles.is_empty()
    }

    /// Returns true if a response is arriving.
    pub fn is_receiving(&self) -> bool {
        self.handles.iter().any(|handle| handle.progress.is_receiving())
    }

    /// Ends all calls whose response is arriving but the one that is furthest, as all bring the same;
    /// returns how many bytes of the others arrived.
    pub fn end_copies(&mut self) -> usize {
        let receiving = self.handles.iter().filter(|handle| handle.progress.is_receiving());
        let furthest = receiving.max_by_key(|handle| handle.progress.received());
        let Some(furthest) = furthest.map(|handle| handle.progress.clone()) else { return 0 };
        let mut received = 0;
        self.handles.retain(|Handle { progress, abort }| {
            let is_copy = progress.is_receiving() && !progress.is(&furthest);
            if is_copy {
                received += progress.received();
                abort.abort();
            }
            !is_copy
        });
        received
    }

    /// Returns how many bytes have arrived of the responses.
    pub fn received(&self) -> usize {
        self.handles.iter().map(|handle| handle.progress.received()).sum()
    }
}
