//! Reads the bodies of responses, bounded by their size and by how long they make no progress.
//!
//! A bound on the whole time of a transfer would make a body that a slow link needs longer for
//! impossible to receive: each attempt would throw away what had arrived.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use reqwest::Response;
use tokio::time::{self, Instant};

/// A transfer that receives fewer bytes than this within its stall timeout makes no progress.
const STEP_BYTES: usize = 16 * 1024;
/// How long after its latest step a transfer counts as receiving.
const RECEIVING_TIMEOUT: Duration = Duration::from_secs(1);

/// What bounds a transfer.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Bounds {
    /// The maximum size of the body, in bytes.
    pub size: usize,
    /// How long the transfer may take for each [`STEP_BYTES`] and for the rest.
    pub stall_timeout: Duration,
}

/// Why a body was not received.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Error {
    /// It is longer than this many bytes.
    TooLong(usize),
    /// It made no progress after this many bytes.
    Stalled(usize),
    /// The connection broke off.
    Broken(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLong(size) => write!(f, "it is longer than {size} bytes"),
            Self::Stalled(received) => {
                write!(f, "it made no progress after {received} bytes")
            }
            Self::Broken(reason) => write!(f, "it broke off: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// How much of a response has arrived; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    received: usize,
    /// The latest step: how much had arrived then, and when; `None` before the head.
    step: Option<(usize, Instant)>,
}

impl Progress {
    /// Records that the head of a response arrived.
    fn begin(&self) {
        let mut state = self.0.lock();
        state.step = Some((state.received, Instant::now()));
    }

    /// Records that further bytes of the body arrived.
    fn add(&self, bytes: usize) {
        let mut state = self.0.lock();
        state.received += bytes;
        let received = state.received;
        if state.step.is_none_or(|(at_step, _)| received >= at_step + STEP_BYTES) {
            state.step = Some((received, Instant::now()));
        }
    }

    /// Returns how many bytes of the body have arrived.
    pub fn received(&self) -> usize {
        self.0.lock().received
    }

    /// Returns true if the response is arriving: its head or a step of its body came lately.
    pub fn is_receiving(&self) -> bool {
        self.0.lock().step.is_some_and(|(_, at)| at.elapsed() < RECEIVING_TIMEOUT)
    }

    /// Returns true if both are of the same response.
    pub fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    fn last_step(&self) -> Instant {
        self.0.lock().step.map_or_else(Instant::now, |(_, at)| at)
    }
}

/// Reads the body of a response whose head has arrived; `progress` counts it.
///
/// # Errors
/// Fails if the body is longer than allowed, breaks off or makes no progress; the connection is
/// closed once the response is dropped.
pub async fn read(
    response: &mut Response,
    bounds: Bounds,
    progress: &Progress,
) -> Result<Vec<u8>, Error> {
    progress.begin();
    let declared = response.content_length().unwrap_or(0);
    if declared > bounds.size as u64 {
        return Err(Error::TooLong(bounds.size));
    }
    let mut body = Vec::with_capacity(declared as usize);
    loop {
        let until = progress.last_step() + bounds.stall_timeout;
        let part = match time::timeout_at(until, response.chunk()).await {
            Ok(Ok(Some(part))) => part,
            Ok(Ok(None)) => return Ok(body),
            Ok(Err(error)) => return Err(Error::Broken(error.to_string())),
            Err(_) => return Err(Error::Stalled(body.len())),
        };
        if body.len() + part.len() > bounds.size {
            return Err(Error::TooLong(bounds.size));
        }
        progress.add(part.len());
        body.extend_from_slice(&part);
    }
}
