//! Passes a target's answer on to the caller.

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
    admit::Place,
    body::{self, Pump},
    forward::{self, TargetResponse},
    header,
    refusal::OUTCOME,
    service::Slot,
    shared::{InFlight, Shared},
    socket::ConnectionFinder,
};

/// The log target of this module under its former name `answer`, which log filters match.
const LOG_TARGET: &str = "citron_proxy::answer";

/// The most bytes of an answer passed on at once.
const CHUNK_BYTES: usize = 64 << 10;
/// How many chunks of an answer are passed on before its caller's reading is watched.
const WATCH_AFTER_CHUNKS: u32 = 2;

/// What a request holds until its answer has ended.
pub struct RequestGuards {
    /// Its count as in flight.
    pub _in_flight: InFlight,
    /// Its place among its customer's requests.
    pub _place: Place,
}

/// Where an answer goes and until when.
#[derive(Clone)]
pub struct Caller {
    /// The state of the proxy.
    pub shared: Arc<Shared>,
    /// Finds the caller's connection.
    pub finder: Arc<ConnectionFinder>,
    /// The caller's address.
    pub peer: Option<SocketAddr>,
    /// When the answer must have ended, since the process origin.
    pub deadline: Duration,
}

/// Returns the target's answer as the caller's, or `None` if a header cannot be carried.
pub fn forward<'r>(
    target_response: TargetResponse,
    caller: Caller,
    pump: Option<Pump<'r>>,
    guards: RequestGuards,
) -> Option<Response<'r>> {
    let TargetResponse { response: upstream, slot } = target_response;
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
        remaining: Bytes::new(),
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
    /// Cuts the caller's connection.
    fn disconnect(&self) {
        self.shared.metrics.cut_responses.inc();
        match self.peer.map(|peer| self.finder.find(peer)) {
            Some(Ok(Some(connection))) => connection.shut_down(),
            Some(Ok(None)) | None => {
                log::debug!(target: LOG_TARGET, "the caller's connection is already gone")
            }
            Some(Err(error)) => {
                log::error!(target: LOG_TARGET, "cannot cut a caller's connection: {error}")
            }
        }
    }
}

/// Cuts the connection of a caller that has not read its answer by the deadline.
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

/// Reads a target's answer; an answer that ends early cuts the caller's connection.
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
    /// Ends the answer for the caller as the target's answer ended: early.
    fn abort(&self) -> io::Error {
        // The HTTP server would end a chunked answer cleanly, so the connection goes first.
        self.caller.disconnect();
        io::ErrorKind::UnexpectedEof.into()
    }

    /// Waits for the deadline or for the caller to go away.
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
                    log::debug!(target: LOG_TARGET, "a target's answer was cut short: {error}");
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
