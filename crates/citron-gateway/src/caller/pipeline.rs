//! The requests of one connection that are being forwarded, in the order of their responses.

use std::{collections::VecDeque, pin::Pin};

use futures::{StreamExt, stream::FuturesOrdered};

use crate::{http1::Response, memory::Reservation, shared::InFlight};

/// The response to a request.
pub struct Reply {
    /// The response.
    pub response: Response,
    /// Whether the connection stays open after it.
    pub keep_alive: bool,
    /// Counts the request as in flight until the response is written; `None` for bytes that are no
    /// request.
    pub in_flight: Option<InFlight>,
    /// The memory of the request and the response; `None` for a refusal.
    pub memory: Option<Reservation>,
}

/// The requests of one connection without a written response.
#[derive(Default)]
pub struct Pipeline {
    /// Requests that are being forwarded.
    pending: FuturesOrdered<Pin<Box<dyn Future<Output = Reply> + Send>>>,
    /// The replies that are complete but not written yet; they precede all of `pending`.
    complete: VecDeque<Reply>,
}

impl Pipeline {
    /// Adds a request behind all others.
    pub fn push(&mut self, reply: impl Future<Output = Reply> + Send + 'static) {
        self.pending.push_back(Box::pin(reply));
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.pending.len() + self.complete.len()
    }

    /// Returns true if there are no requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops all requests, which cancels those that are being forwarded.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.complete.clear();
    }

    /// Returns the next reply, or `None` if there are no requests. Cancel safe.
    pub async fn next(&mut self) -> Option<Reply> {
        match self.complete.pop_front() {
            Some(reply) => Some(reply),
            None => self.pending.next().await,
        }
    }

    /// Runs `work` to completion while the requests are being forwarded.
    pub async fn forward_during<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return done,
                Some(reply) = self.pending.next() => self.complete.push_back(reply),
            }
        }
    }
}
