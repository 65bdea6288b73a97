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
    admit::ConcurrencyPermit,
    body::{self, Pump},
    carry::{self, Carried},
    header,
    refusal::OUTCOME,
    service::Slot,
    shared::{InFlight, Shared},
    socket::Finder,
};

/// The most bytes of an answer passed on at once.
const CHUNK_BYTES: usize = 64 << 10;
/// How many chunks of an answer are passed on before its caller's reading is watched.
const WATCH_AFTER_CHUNKS: u32 = 2;

/// What a request holds until its answer has ended.
pub struct Holds {
    /// Its count as in flight.
    pub _in_flight: InFlight,
    /// Its place among its customer's requests.
    pub _place: ConcurrencyPermit,
}

/// Where an answer goes and until when.
#[derive(Clone)]
pub struct Route {
    /// The state of the proxy.
    pub shared: Arc<Shared>,
    /// Finds the caller's connection.
    pub finder: Arc<Finder>,
    /// The caller's address.
    pub peer: Option<SocketAddr>,
    /// When the answer must have ended, since the process origin.
    pub deadline: Duration,
}

/// Returns the target's answer as the caller's, or `None` if a header cannot be carried.
pub fn answer<'r>(
    carried: Carried,
    route: Route,
    pump: Option<Pump<'r>>,
    holds: Holds,
) -> Option<Response<'r>> {
    let Carried { response: upstream, slot } = carried;
    let mut answer = Response::new();
    answer.set_status(Status::new(upstream.status().as_u16()));
    let connection = upstream.headers().get_all("connection");
    let listed = header::listed(connection.iter().filter_map(|value| value.to_str().ok()));
    for (name, value) in upstream.headers() {
        if header::passes_to_caller(name.as_str(), &listed) {
            let value = std::str::from_utf8(value.as_bytes()).ok()?;
            answer.adjoin_raw_header(name.as_str().to_owned(), value.to_owned());
        }
    }
    let outcome: &'static str = Outcome::Answered.into();
    answer.set_header(Header::new(OUTCOME, outcome));
    answer.set_max_chunk_size(CHUNK_BYTES);
    answer.set_streamed_body(Reader {
        upstream: Box::pin(upstream.bytes_stream()),
        rest: Bytes::new(),
        pump,
        limit: None,
        passed: 0,
        watchdog: None,
        route,
        _slot: slot,
        _holds: holds,
    });
    Some(answer)
}

impl Route {
    /// Cuts the caller's connection.
    fn cut(&self) {
        self.shared.metrics.cut.inc();
        match self.peer.map(|peer| self.finder.find(peer)) {
            Some(Ok(Some(connection))) => connection.cut(),
            Some(Ok(None)) | None => log::debug!("the caller's connection is already gone"),
            Some(Err(error)) => log::error!("cannot cut a caller's connection: {error}"),
        }
    }
}

/// Cuts the connection of a caller that has not read its answer by the deadline.
struct Watchdog(JoinHandle<()>);

impl Watchdog {
    fn spawn(route: Route) -> Self {
        Self(tokio::spawn(async move {
            time::sleep_until(route.shared.clock.instant(route.deadline)).await;
            route.cut();
        }))
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reads a target's answer; an answer that ends early cuts the caller's connection.
struct Reader<'r> {
    upstream: BoxStream<'static, reqwest::Result<Bytes>>,
    rest: Bytes,
    pump: Option<Pump<'r>>,
    limit: Option<BoxFuture<'static, ()>>,
    passed: u32,
    watchdog: Option<Watchdog>,
    route: Route,
    _slot: Slot,
    _holds: Holds,
}

impl Reader<'_> {
    /// Ends the answer for the caller as the target's answer ended: early.
    fn cut(&self) -> io::Error {
        // The HTTP server would end a chunked answer cleanly, so the connection goes first.
        self.route.cut();
        io::ErrorKind::UnexpectedEof.into()
    }

    /// Waits for the deadline or for the caller to go away.
    fn poll_limit(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let route = &self.route;
        let limit = self.limit.get_or_insert_with(|| {
            let deadline = time::sleep_until(route.shared.clock.instant(route.deadline));
            let gone = carry::caller_gone(Arc::clone(&route.finder), route.peer);
            Box::pin(async move {
                tokio::select! {
                    () = deadline => {}
                    () = gone => {}
                }
            })
        });
        limit.as_mut().poll(cx)
    }
}

impl AsyncRead for Reader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        body::poll_pump(&mut self.pump, cx);
        while self.rest.is_empty() {
            match self.upstream.as_mut().poll_next(cx) {
                Poll::Ready(Some(Ok(chunk))) => self.rest = chunk,
                Poll::Ready(Some(Err(error))) => {
                    log::debug!("a target's answer was cut short: {error}");
                    return Poll::Ready(Err(self.cut()));
                }
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Pending => {
                    ready!(self.poll_limit(cx));
                    return Poll::Ready(Err(self.cut()));
                }
            }
        }
        self.passed = self.passed.saturating_add(1);
        if self.passed > WATCH_AFTER_CHUNKS && self.watchdog.is_none() {
            self.watchdog = Some(Watchdog::spawn(self.route.clone()));
        }
        let count = self.rest.len().min(buf.remaining());
        buf.put_slice(&self.rest[..count]);
        self.rest.advance(count);
        Poll::Ready(Ok(()))
    }
}
