//! The connection of one caller.
//!
//! Pipelined requests are read ahead and forwarded concurrently; their responses are written in
//! request order. When the caller disconnects, its pending requests are dropped.

mod pipeline;

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use citron::{gray::Verdict, route::Limits};
use strum::{Display, IntoStaticStr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    time::{self, Instant},
};

use self::pipeline::{Pipeline, Reply};
use crate::{
    forward,
    http1::{self, BodyDecoder, Head, Length, ParseError, Response, Segments},
    memory::Reservation,
    refusal,
    shared::{InFlight, Shared},
};

/// The maximum number of requests of one connection that are forwarded concurrently.
const PIPELINE_LIMIT: usize = 16;
/// The number of buffered bytes at which reading pauses until more requests can be forwarded.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// The memory of a request besides its body: its head, and what is buffered of the response.
const REQUEST_BYTES: usize = 80 * 1024;
/// The interval at which a connection that waits for memory looks for room.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
/// The buffer space reserved before each read.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// The size, in bytes, up to which a response is complete before it is written while requests behind
/// it are being forwarded.
const COMPLETE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// How long a write of a response to a caller may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a connection that was closed is still read, so that its last response arrives.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the same goes on after the time in which a stopping process may have requests in flight.
const LINGER_IN_GRACE: Duration = Duration::from_millis(200);
/// The maximum number of bytes that are read and dropped meanwhile.
const LINGER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// The limits until the operator's configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// What is read next from the connection.
enum ReadState {
    Head,
    Body {
        head: Box<Head>,
        decoder: BodyDecoder,
        memory: Reservation,
    },
    /// Nothing: the connection is closed after the pending responses.
    Closed,
}

/// Serves a caller's connection until either side closes it.
pub async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller-setup-failed reason={:?}", error.to_string());
        return;
    }
    let (mut reader, writer) = stream.split();
    let buffered = shared.memory.count();
    let mut connection = Connection {
        shared,
        writer,
        buffer: BytesMut::new(),
        buffered,
        read_state: ReadState::Head,
        pipeline: Pipeline::default(),
        since: Instant::now(),
        responded_at: None,
        closing: None,
    };
    match connection.run(&mut reader).await {
        Ok(End::CallerLeft) => return,
        Ok(End::Closed) => {}
        Err(error) => log::debug!("event=caller-lost reason={:?}", error.to_string()),
    }
    connection.close(&mut reader).await;
}

/// Why a response is not received to its end.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cut {
    /// The time of its request is over.
    Deadline,
    /// The target's connection broke.
    TargetBroken,
}

/// How a connection ended.
enum End {
    /// The caller closed it.
    CallerLeft,
    /// Nothing more is sent to the caller.
    Closed,
}

struct Connection<'a> {
    shared: Arc<Shared>,
    writer: WriteHalf<'a>,
    buffer: BytesMut,
    /// The memory of the buffer.
    buffered: Reservation,
    read_state: ReadState,
    pipeline: Pipeline,
    /// When the connection became idle, or when the head or body that is being read began.
    since: Instant,
    /// When the latest response was written.
    responded_at: Option<Instant>,
    /// Keeps the process running until the connection is closed.
    closing: Option<InFlight>,
}

impl Connection<'_> {
    async fn run(&mut self, reader: &mut ReadHalf<'_>) -> io::Result<End> {
        let shared = Arc::clone(&self.shared);
        loop {
            self.parse_requests().await?;
            // Created before `is_finished` checks for a shutdown, so that one in between still wakes
            // this task.
            let shutdown = shared.shutdown_started.notified();
            if self.is_finished() {
                return Ok(End::Closed);
            }
            let wants_to_read = self.buffer.len() < READ_AHEAD_BYTES;
            let has_room = self.buffer.len() < READ_BUFFER_BYTES || shared.memory.has_room();
            let can_read = wants_to_read && has_room;
            self.buffered.set(self.buffer.len() + READ_BUFFER_BYTES);
            let has_pending = !self.pipeline.is_empty();
            let deadline = self.wait_deadline();
            let was_between_requests = self.is_between_requests();
            self.buffer.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                Some(reply) = self.pipeline.next(), if has_pending => {
                    let Reply { mut response, keep_alive, in_flight, mut memory } = reply;
                    if !self.pipeline.is_empty() {
                        response = self.complete(response, &mut memory).await;
                    }
                    self.write_response(response, keep_alive).await?;
                    // The process must not end before the connection is closed.
                    self.closing = in_flight.filter(|_| self.is_finished());
                    drop(memory);
                }
                count = reader.read_buf(&mut self.buffer), if can_read => {
                    let count = count?;
                    if was_between_requests {
                        self.since = Instant::now();
                    }
                    if count == 0 {
                        self.record_disconnect();
                        return Ok(End::CallerLeft);
                    }
                }
                () = time::sleep_until(deadline), if !has_pending => {
                    self.time_out().await?;
                    return Ok(End::Closed);
                }
                () = shutdown, if !has_pending => {}
                () = time::sleep(MEMORY_INTERVAL), if wants_to_read && !has_room => {}
            }
        }
    }

    /// Parses all complete requests in the buffer and starts to forward them.
    async fn parse_requests(&mut self) -> io::Result<()> {
        while self.may_read_request() {
            let limits = self.limits();
            let parsed = match &mut self.read_state {
                ReadState::Closed => return Ok(()),
                ReadState::Head if self.buffer.is_empty() => return Ok(()),
                ReadState::Head => match http1::parse(&mut self.buffer, limits.head_bytes) {
                    Ok(None) => return Ok(()),
                    Ok(Some(head)) => self.start_body(head, limits).await?,
                    Err(error) => Err(error),
                },
                ReadState::Body { decoder, memory, .. } => {
                    let needed = REQUEST_BYTES + decoder.memory_after(self.buffer.len());
                    if !memory.grow_to(needed) {
                        self.refuse_for_memory(None);
                        return Ok(());
                    }
                    match decoder.decode(&mut self.buffer) {
                        Ok(None) => return Ok(()),
                        Ok(Some(body)) => {
                            self.start_forwarding(body);
                            Ok(())
                        }
                        Err(error) => Err(error),
                    }
                }
            };
            if let Err(error) = parsed {
                self.refuse(error);
            }
        }
        Ok(())
    }

    /// Returns true if another request may be read. While the gateway shuts down, the connection
    /// closes after the responses to those that are being forwarded.
    fn may_read_request(&self) -> bool {
        let is_closing = self.shared.is_shutting_down() && !self.pipeline.is_empty();
        self.pipeline.len() < PIPELINE_LIMIT && !is_closing
    }

    async fn start_body(
        &mut self,
        head: Head,
        limits: Limits,
    ) -> io::Result<Result<(), ParseError>> {
        let decoder = match BodyDecoder::new(head.length, limits.body_bytes) {
            Ok(decoder) => decoder,
            Err(error) => return Ok(Err(error)),
        };
        let needed = REQUEST_BYTES + decoder.memory_after(0);
        let Some(memory) = self.shared.memory.reserve(needed) else {
            self.refuse_for_memory(Some(&head));
            return Ok(Ok(()));
        };
        if head.expects_continue && self.pipeline.is_empty() {
            self.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        self.since = Instant::now();
        self.read_state = ReadState::Body { head: Box::new(head), decoder, memory };
        Ok(Ok(()))
    }

    fn start_forwarding(&mut self, body: Segments) {
        let ReadState::Body { head, memory, .. } =
            std::mem::replace(&mut self.read_state, ReadState::Head)
        else {
            return;
        };
        let keep_alive = head.keep_alive;
        if !keep_alive {
            self.read_state = ReadState::Closed;
        }
        let shared = Arc::clone(&self.shared);
        let received_at = shared.clock.now();
        let in_flight = Some(shared.track_request());
        self.pipeline.push(async move {
            let response = forward::forward(shared, *head, body, received_at).await;
            Reply { response, keep_alive, in_flight, memory: Some(memory) }
        });
        self.since = Instant::now();
    }

    /// Responds to bytes that are not a valid request, after the pending responses.
    fn refuse(&mut self, error: ParseError) {
        log::info!("event=refused id=- outcome=not-run reason={error} status={}", error.status());
        self.shared.metrics.record_refusal(error.into());
        self.read_state = ReadState::Closed;
        let response = Response::error(error.status(), error.into());
        self.push_refusal(response, false);
    }

    /// Refuses a request for which there is no memory, after the pending responses. A body that was
    /// announced is not read, so that the connection closes.
    fn refuse_for_memory(&mut self, head: Option<&Head>) {
        let reserved = self.shared.memory.reserved();
        log::warn!(
            "event=refused id=- outcome=not-run reason=memory-full status=503 reserved={reserved}"
        );
        self.shared.metrics.record_refusal("memory-full");
        let keep_alive = head.is_some_and(|h| h.keep_alive && h.length == Length::Known(0));
        self.read_state = if keep_alive { ReadState::Head } else { ReadState::Closed };
        self.push_refusal(refusal::memory_full(), keep_alive);
    }

    fn push_refusal(&mut self, response: Response, keep_alive: bool) {
        self.pipeline
            .push(async move { Reply { response, keep_alive, in_flight: None, memory: None } });
    }

    async fn write_response(&mut self, mut response: Response, keep_alive: bool) -> io::Result<()> {
        let is_last = self.pipeline.is_empty() && self.shared.is_shutting_down();
        let keep_alive = keep_alive && !is_last;
        let chunked = response.is_chunked();
        let mut out = BytesMut::with_capacity(512 + response.body.len());
        http1::write_head(&mut out, &response, keep_alive);
        if response.head_only.is_none() {
            write_part(&mut out, &response.body, chunked);
        }
        self.write(&out, Instant::now() + WRITE_TIMEOUT).await?;
        if let Some(rest) = response.rest.take() {
            self.write_rest(rest, chunked).await?;
        }
        if !keep_alive {
            // Requests pipelined after the last response of a connection count as not read.
            self.pipeline.clear();
            self.read_state = ReadState::Closed;
        }
        self.since = Instant::now();
        self.responded_at = Some(self.since);
        Ok(())
    }

    /// Receives the whole response before its head is written, up to [`COMPLETE_LIMIT_BYTES`] and as
    /// far as there is memory.
    ///
    /// A response that breaks off while it is written closes the connection, and the requests behind
    /// it, which targets may have run, would get none.
    async fn complete(
        &mut self,
        mut response: Response,
        memory: &mut Option<Reservation>,
    ) -> Response {
        let Some(mut rest) = response.rest.take() else { return response };
        let mut body = BytesMut::from(&response.body[..]);
        loop {
            let has_memory =
                memory.as_mut().is_some_and(|m| m.grow_to(REQUEST_BYTES + 2 * body.len()));
            if !has_memory || body.len() > COMPLETE_LIMIT_BYTES {
                response.rest = Some(rest);
                break;
            }
            match self.next_part(&mut rest).await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => {
                    rest.attempt.end(rest.verdict);
                    break;
                }
                Err(cut) => return refusal::cut(cut),
            }
        }
        response.body = body.freeze();
        response
    }

    /// Forwards the rest of a response; an error closes the connection before the response looks
    /// complete.
    async fn write_rest(&mut self, mut rest: http1::BodyStream, chunked: bool) -> io::Result<()> {
        let until = rest.deadline;
        let mut out = BytesMut::new();
        let broken = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        while let Some(part) = self.next_part(&mut rest).await.map_err(broken)? {
            write_part(&mut out, &part, chunked);
            self.write(&out, until).await?;
            out.clear();
        }
        rest.attempt.end(rest.verdict);
        if chunked { self.write(b"0\r\n\r\n", until).await } else { Ok(()) }
    }

    /// Returns the next part of a body, `None` after the last one.
    async fn next_part(&mut self, rest: &mut http1::BodyStream) -> Result<Option<Bytes>, Cut> {
        // A response that waited behind others until its deadline says nothing about its target.
        let was_late = Instant::now() >= rest.deadline;
        let next = time::timeout_at(rest.deadline, rest.body.next_chunk());
        let (cut, verdict) = match self.pipeline.forward_during(next).await {
            Ok(Ok(None)) => return Ok(None),
            // A timeout does not end a future that is always ready.
            Ok(Ok(part)) if Instant::now() < rest.deadline => return Ok(part),
            Ok(Ok(_)) | Err(_) if was_late => (Cut::Deadline, None),
            Ok(Ok(_)) | Err(_) => (Cut::Deadline, Some(Verdict::Silent)),
            Ok(Err(_)) => (Cut::TargetBroken, Some(Verdict::Failed)),
        };
        let target = &rest.attempt.choice().target.id;
        log::info!("event=answer-broken target={target} reason={cut}");
        rest.attempt.end(verdict);
        Err(cut)
    }

    async fn write(&mut self, bytes: &[u8], until: Instant) -> io::Result<()> {
        let written = time::timeout_at(until, self.writer.write_all(bytes));
        match self.pipeline.forward_during(written).await {
            Ok(written) => written,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn is_finished(&self) -> bool {
        let no_more_requests = matches!(self.read_state, ReadState::Closed)
            || (self.is_between_requests() && self.shared.is_shutting_down());
        self.pipeline.is_empty() && no_more_requests
    }

    fn is_between_requests(&self) -> bool {
        matches!(self.read_state, ReadState::Head) && self.buffer.is_empty()
    }

    /// Returns when an incomplete request or an idle connection times out.
    fn wait_deadline(&self) -> Instant {
        let limits = self.limits();
        self.since
            + match self.read_state {
                ReadState::Body { .. } => BODY_TIMEOUT,
                _ if self.buffer.is_empty() => limits.idle_timeout,
                _ => limits.head_timeout,
            }
    }

    async fn time_out(&mut self) -> io::Result<()> {
        if self.is_between_requests() {
            return Ok(());
        }
        log::info!("event=refused id=- outcome=not-run reason=request-incomplete status=408");
        self.shared.metrics.record_refusal("request-incomplete");
        let response = Response::error(408, "request-incomplete");
        self.write_response(response, false).await
    }

    /// Closes the connection so that the caller receives all that was written.
    ///
    /// Closing it with bytes unread would reset it, and a reset discards what the caller has not
    /// received yet. So what still comes in is read and dropped until the caller closes.
    async fn close(&mut self, reader: &mut ReadHalf<'_>) {
        let has_responded = self.responded_at.is_some_and(|at| at.elapsed() < LINGER_TIMEOUT);
        if has_responded && self.closing.is_none() {
            self.closing = Some(self.shared.track_request());
        }
        self.pipeline.clear();
        if self.writer.shutdown().await.is_err() {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let killed_soon = async {
            shared.end_of_service().await;
            time::sleep(LINGER_IN_GRACE).await;
        };
        tokio::select! {
            () = self.drop_input(reader) => {}
            () = killed_soon => log::info!("event=caller-reset reason=stopped"),
        }
    }

    /// Reads and drops what comes in until the caller closes, or for a bounded time and size.
    async fn drop_input(&mut self, reader: &mut ReadHalf<'_>) {
        let until = Instant::now() + LINGER_TIMEOUT;
        let mut dropped = 0;
        while dropped < LINGER_LIMIT_BYTES {
            self.buffer.clear();
            self.buffer.reserve(READ_BUFFER_BYTES);
            match time::timeout_at(until, reader.read_buf(&mut self.buffer)).await {
                Ok(Ok(count @ 1..)) => dropped += count,
                Ok(_) => return,
                Err(_) => break,
            }
        }
        log::info!("event=caller-reset reason=still-sending dropped_bytes={dropped}");
    }

    fn record_disconnect(&self) {
        if !self.pipeline.is_empty() {
            log::info!("event=caller-left dropped={}", self.pipeline.len());
            self.shared.metrics.record_refusal("caller-gone");
        }
    }

    fn limits(&self) -> Limits {
        self.shared.routes().map_or(DEFAULT_LIMITS, |routes| routes.limits)
    }
}

/// Appends a part of a body, as a chunk if the body is chunked.
fn write_part(out: &mut BytesMut, part: &[u8], chunked: bool) {
    if !chunked {
        out.extend_from_slice(part);
    } else if !part.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
}
