//! Forwards a target's response to the caller.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use citron::attempt::Outcome;
use futures::{future::BoxFuture, stream::BoxStream};
use rocket::{
    Response,
    http::{Header, Status},
};
use tokio::{
    io::{AsyncRead, ReadBuf},
    task::JoinHandle,
    time,
};

use crate::{
    admit::ConcurrencyPermit,
    body::{self, Pump},
    forward::{self, TargetResponse},
    header,
    refusal::OUTCOME,
    send::StartedResponse,
    service::Slot,
    shared::{InFlight, Shared},
    socket::ConnectionFinder,
};

/// The log target of this module under its former name `answer`, which log filters match.
const LOG_TARGET: &str = "citron_proxy::answer";

/// The most bytes of a response body forwarded at once.
const CHUNK_BYTES: usize = 64 << 10;
/// How many chunks of a response are forwarded before the watchdog for a caller that does not read
/// is started.
const WATCH_AFTER_CHUNKS: u32 = 2;

/// The guards that a request holds until its response has ended.
pub struct RequestGuards {
    /// Counts it as in flight.
    pub _in_flight: InFlight,
    /// Counts it towards its customer's concurrency limit.
    pub _permit: ConcurrencyPermit,
}

/// The caller of a request, and its deadline.
#[derive(Clone)]
pub struct Caller {
    /// The state of the proxy.
    pub shared: Arc<Shared>,
    /// Finds the caller's connection.
    pub finder: Arc<ConnectionFinder>,
    /// The caller's address.
    pub peer: Option<SocketAddr>,
    /// When the response must have ended, since the process origin.
    pub deadline: Duration,
}

/// Returns the target's response as a response to the caller, or `None` if a header value is not
/// UTF-8, which Rocket requires.
pub fn forward<'r>(
    target_response: TargetResponse,
    caller: Caller,
    pump: Option<Pump<'r>>,
    guards: RequestGuards,
) -> Option<Response<'r>> {
    let TargetResponse { started, slot } = target_response;
    let StartedResponse { response: upstream, first_part } = started;
    let mut response = Response::new();
    response.set_status(Status::new(upstream.status().as_u16()));
    let connection = upstream.headers().get_all("connection");
    let connection_options =
        header::connection_options(connection.iter().filter_map(|value| value.to_str().ok()));
    for (name, value) in upstream.headers() {
        if header::passes_to_caller(name.as_str(), &connection_options) {
            let value = std::str::from_utf8(value.as_bytes()).ok()?;
            response.adjoin_raw_header(name.as_str().to_owned(), value.to_owned());
        }
    }
    let outcome: &'static str = Outcome::Answered.into();
    response.set_header(Header::new(OUTCOME, outcome));
    response.set_max_chunk_size(CHUNK_BYTES);
    response.set_streamed_body(BodyReader {
        upstream: Box::pin(upstream.bytes_stream()),
        remaining: first_part,
        pump,
        stop: None,
        chunks_read: 0,
        watchdog: None,
        caller,
        _slot: slot,
        _guards: guards,
    });
    Some(response)
}

impl Caller {
    /// Closes the caller's connection, so that an unfinished response does not look complete.
    fn disconnect(&self) {
        self.shared.metrics.cut_responses.inc();
        match self.peer.map(|peer| self.finder.find(peer)) {
            Some(Ok(Some(connection))) => connection.shut_down(),
            Some(Ok(None)) | None => {
                log::debug!(target: LOG_TARGET, "the caller's connection is already gone");
            }
            Some(Err(error)) => {
                log::error!(target: LOG_TARGET, "cannot close a caller's connection: {error}");
            }
        }
    }
}

/// Closes the connection of a caller that has not read its response by the deadline.
struct Watchdog(JoinHandle<()>);

impl Watchdog {
    fn spawn(caller: Caller) -> Self {
        Self(tokio::spawn(async move {
            time::sleep_until(caller.shared.clock.instant(caller.deadline)).await;
            caller.disconnect();
        }))
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reads the body of a target's response; closes the caller's connection if the body ends early.
struct BodyReader<'r> {
    upstream: BoxStream<'static, reqwest::Result<Bytes>>,
    remaining: Bytes,
    pump: Option<Pump<'r>>,
    stop: Option<BoxFuture<'static, ()>>,
    chunks_read: u32,
    watchdog: Option<Watchdog>,
    caller: Caller,
    _slot: Slot,
    _guards: RequestGuards,
}

impl BodyReader<'_> {
    /// Aborts the response to the caller, whose connection is closed.
    fn abort(&self) -> io::Error {
        // The HTTP server would end a chunked response cleanly, so the connection is closed first.
        self.caller.disconnect();
        io::ErrorKind::UnexpectedEof.into()
    }

    /// Waits for the deadline or for the caller to disconnect.
    fn poll_stop(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let caller = &self.caller;
        let stop = self.stop.get_or_insert_with(|| {
            let deadline = time::sleep_until(caller.shared.clock.instant(caller.deadline));
            let disconnected =
                forward::caller_disconnected(Arc::clone(&caller.finder), caller.peer);
            Box::pin(async move {
                tokio::select! {
                    () = deadline => {}
                    () = disconnected => {}
                }
            })
        });
        stop.as_mut().poll(cx)
    }
}

impl AsyncRead for BodyReader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        body::poll_pump(&mut self.pump, cx);
        while self.remaining.is_empty() {
            match self.upstream.as_mut().poll_next(cx) {
                Poll::Ready(Some(Ok(chunk))) => self.remaining = chunk,
                Poll::Ready(Some(Err(error))) => {
                    log::debug!(target: LOG_TARGET, "a target's response was cut short: {error}");
                    return Poll::Ready(Err(self.abort()));
                }
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    ready!(self.poll_stop(cx));
                    return Poll::Ready(Err(self.abort()));
                }
            }
        }
        self.chunks_read = self.chunks_read.saturating_add(1);
        if self.chunks_read > WATCH_AFTER_CHUNKS && self.watchdog.is_none() {
            self.watchdog = Some(Watchdog::spawn(self.caller.clone()));
        }
        let count = self.remaining.len().min(buf.remaining());
        buf.put_slice(&self.remaining[..count]);
        self.remaining.advance(count);
        Poll::Ready(Ok(()))
    }
}
