//! The body of a request on its way to the target.

use std::{future::Future, io, pin::Pin, sync::Arc, task::Poll};

use bytes::Bytes;
use futures::stream;
use parking_lot::Mutex;
use rocket::data::{Data, DataStream, ToByteUnit};
use tokio::{io::AsyncReadExt, sync::mpsc};

use crate::{
    inbound::{BodyLength, InboundRequest},
    refusal::Reason,
};

/// Bodies up to this length are buffered, so that an attempt can be retried.
const BUFFER_LIMIT_BYTES: u64 = 64 << 10;
/// The most bytes forwarded at once.
const CHUNK_BYTES: usize = 64 << 10;
/// How many chunks may wait for the target.
const CHUNK_QUEUE: usize = 2;
/// How many bytes of a form are inspected for a `_method=` field.
const PEEK_BYTES: usize = 32;
/// How many bytes of every body Rocket reads before routing. It hides connection errors that occur
/// while it reads them.
const ROCKET_PEEK_BYTES: usize = 14;

/// The body of a request.
pub enum Body {
    /// There is no body.
    Empty,
    /// It is in memory as a whole and can be sent in several attempts.
    Buffered(Bytes),
    /// It is forwarded as it arrives and can be sent in one attempt only.
    Streamed(Upload),
}

/// A body that is forwarded as it arrives.
pub struct Upload {
    chunks: Arc<Mutex<Option<mpsc::Receiver<Chunk>>>>,
}

/// An item of a streamed body.
enum Chunk {
    Bytes(Bytes),
    /// The body is complete.
    End,
    Error(io::Error),
}

/// What is known of the length of a streamed body.
#[derive(Debug, Copy, Clone)]
enum ExpectedLength {
    Exactly(u64),
    AtLeast(u64),
}

impl ExpectedLength {
    fn allows(self, total: u64) -> bool {
        match self {
            Self::Exactly(length) => total == length,
            Self::AtLeast(length) => total >= length,
        }
    }
}

/// Reads a streamed body from the caller into the queue to the target while polled.
pub type Pump<'r> = Pin<Box<dyn Future<Output = ()> + Send + 'r>>;

/// Buffers the body of a request or prepares to stream it.
///
/// # Errors
/// Returns the reason to refuse the request.
pub async fn receive<'r>(
    inbound: &InboundRequest,
    mut data: Data<'r>,
    limit: u64,
) -> Result<(Body, Option<Pump<'r>>), Reason> {
    // A body that ended while Rocket read its first bytes may be complete or cut short.
    let min_length = if data.peek_complete() { 0 } else { ROCKET_PEEK_BYTES };
    if inbound.is_form {
        let start = data.peek(PEEK_BYTES).await;
        if inbound.is_method_ambiguous(start) {
            return Err(Reason::FormMethodAmbiguous);
        }
        if start.len() < min_length || (start.len() < PEEK_BYTES && !data.peek_complete()) {
            return Err(Reason::BodyCutShort);
        }
    }
    match inbound.length {
        BodyLength::None => Ok((Body::Empty, None)),
        BodyLength::Known(length) if length > limit => Err(Reason::BodyTooLarge),
        BodyLength::Known(length) if length <= BUFFER_LIMIT_BYTES => buffer(data, length).await,
        BodyLength::Known(length) => Ok(stream_body(data, limit, ExpectedLength::Exactly(length))),
        BodyLength::Chunked => {
            Ok(stream_body(data, limit, ExpectedLength::AtLeast(min_length as u64)))
        }
    }
}

async fn buffer<'r>(data: Data<'r>, length: u64) -> Result<(Body, Option<Pump<'r>>), Reason> {
    let mut bytes = Vec::with_capacity(length as usize);
    let read = data.open((length + 1).bytes()).read_to_end(&mut bytes).await;
    if read.is_err() || bytes.len() as u64 != length {
        return Err(Reason::BodyCutShort);
    }
    Ok((Body::Buffered(bytes.into()), None))
}

fn stream_body(data: Data<'_>, limit: u64, expected: ExpectedLength) -> (Body, Option<Pump<'_>>) {
    let (sender, receiver) = mpsc::channel(CHUNK_QUEUE);
    let stream = data.open((limit + 1).bytes());
    let upload = Upload { chunks: Arc::new(Mutex::new(Some(receiver))) };
    (Body::Streamed(upload), Some(Box::pin(pump(stream, sender, limit, expected))))
}

async fn pump(
    mut stream: DataStream<'_>,
    sender: mpsc::Sender<Chunk>,
    limit: u64,
    expected: ExpectedLength,
) {
    let mut total = 0;
    loop {
        let mut bytes = bytes::BytesMut::with_capacity(CHUNK_BYTES);
        let chunk = match stream.read_buf(&mut bytes).await {
            Ok(0) if !expected.allows(total) => Chunk::Error(io::ErrorKind::UnexpectedEof.into()),
            Ok(0) => Chunk::End,
            Ok(count) => {
                total += count as u64;
                if total > limit {
                    Chunk::Error(io::Error::other("the request body is longer than the limit"))
                } else {
                    Chunk::Bytes(bytes.freeze())
                }
            }
            Err(error) => Chunk::Error(error),
        };
        let is_last = !matches!(chunk, Chunk::Bytes(_));
        if sender.send(chunk).await.is_err() || is_last {
            return;
        }
    }
}

impl Upload {
    /// Returns true if an attempt has started to read the body, so that no other attempt can.
    pub fn is_consumed(&self) -> bool {
        self.chunks.lock().is_none()
    }

    /// Returns the body for one attempt; it is consumed once the attempt reads from it.
    pub fn body(&self) -> reqwest::Body {
        let chunks = Arc::clone(&self.chunks);
        let state = Some((chunks, None::<mpsc::Receiver<Chunk>>));
        reqwest::Body::wrap_stream(stream::unfold(state, |state| async move {
            let (chunks, taken) = state?;
            let Some(mut receiver) = taken.or_else(|| chunks.lock().take()) else {
                return Some((Err(io::Error::other("the body is already consumed")), None));
            };
            match receiver.recv().await {
                Some(Chunk::Bytes(bytes)) => Some((Ok(bytes), Some((chunks, Some(receiver))))),
                Some(Chunk::End) => None,
                Some(Chunk::Error(error)) => Some((Err(error), None)),
                // The request was abandoned; the target must not take this for the end of the body.
                None => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
            }
        }))
    }
}

/// Runs `work` to completion while also polling `pump`.
pub async fn while_pumping<T>(pump: &mut Option<Pump<'_>>, work: impl Future<Output = T>) -> T {
    let mut work = std::pin::pin!(work);
    std::future::poll_fn(|cx| {
        poll_pump(pump, cx);
        work.as_mut().poll(cx)
    })
    .await
}

/// Polls `pump`, and removes it once it has completed.
pub fn poll_pump(pump: &mut Option<Pump<'_>>, cx: &mut std::task::Context<'_>) {
    if let Some(running) = pump
        && let Poll::Ready(()) = running.as_mut().poll(cx)
    {
        *pump = None;
    }
}
