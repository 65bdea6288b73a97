//! The connection of one caller.
//!
//! Pipelined requests are read ahead and forwarded concurrently; their responses are written in
//! request order. When the caller disconnects, its pending requests are dropped.

mod close;
mod pipeline;
mod respond;

pub use self::respond::Cut;

use std::{io, sync::Arc, time::Duration};

use bytes::BytesMut;
use citron::route::Limits;
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
    shared::{InFlight, Receiving, Shared},
};

/// The maximum number of requests of one connection that are forwarded concurrently.
const PIPELINE_LIMIT: usize = 16;
/// The number of buffered bytes at which reading pauses until more requests can be forwarded.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// The memory of a request besides its body: its head, and what is buffered of the response.
pub const REQUEST_BYTES: usize = 80 * 1024;
/// The interval at which a connection that waits for memory looks for room.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
/// The buffer space reserved before each read.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// How long a caller may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The rate, in bytes per second, below which a caller that receives a response is not waited for.
const READ_RATE_MIN: usize = 32 * 1024;

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
        received_by: None,
        receiving: None,
        closing: None,
    };
    match connection.run(&mut reader).await {
        Ok(End::CallerLeft) => return,
        Ok(End::Closed) => {}
        Err(error) => log::debug!("event=caller-lost reason={:?}", error.to_string()),
    }
    connection.receiving = None;
    connection.close(&mut reader).await;
}

/// Returns how long a caller may take to receive so many bytes.
fn receive_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / READ_RATE_MIN as f64)
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
    /// By when the caller has received the latest response, or is not waited for.
    received_by: Option<Instant>,
    /// Keeps the process running while a request is being received.
    receiving: Option<Receiving>,
    /// Keeps the process running until the connection is closed.
    closing: Option<InFlight>,
}

impl Connection<'_> {
    async fn run(&mut self, reader: &mut ReadHalf<'_>) -> io::Result<End> {
        let shared = Arc::clone(&self.shared);
        loop {
            self.parse_requests().await?;
            self.track_receiving();
            // Created before `is_finished` checks for a shutdown, so that one in between still wakes
            // this task.
            let shutdown = shared.shutdown_started.notified();
            if self.is_finished() {
                if self.read_waiting(reader.as_ref())? {
                    continue;
                }
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
                    shared.own_load.count_bytes(count);
                    if was_between_requests {
                        self.since = Instant::now();
                    }
                    if count == 0 {
                        self.record_disconnect();
                        return Ok(End::CallerLeft);
                    }
                }
                () = time::sleep_until(deadline), if !has_pending => {
                    if was_between_requests && self.read_waiting(reader.as_ref())? {
                        continue;
                    }
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
        let in_flight = shared.track_request();
        if in_flight.is_none() {
            return self.refuse_at_end();
        }
        shared.own_load.count_request();
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

    /// Refuses a request that is complete when the process already ends.
    fn refuse_at_end(&mut self) {
        log::info!("event=refused id=- outcome=not-run reason=stopping status=503");
        self.shared.metrics.record_refusal("stopping");
        self.read_state = ReadState::Closed;
        self.push_refusal(refusal::stopping(), false);
    }

    fn push_refusal(&mut self, response: Response, keep_alive: bool) {
        self.pipeline
            .push(async move { Reply { response, keep_alive, in_flight: None, memory: None } });
    }

    /// Counts a request of which a part has arrived, so that a shutdown waits for the rest.
    fn track_receiving(&mut self) {
        let is_closed = matches!(self.read_state, ReadState::Closed);
        let is_receiving = !is_closed && !self.is_between_requests();
        if is_receiving != self.receiving.is_some() {
            self.receiving = is_receiving.then(|| self.shared.track_receiving());
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

    fn record_disconnect(&self) {
        if !self.pipeline.is_empty() {
            log::info!("event=caller-left dropped={}", self.pipeline.len());
            self.shared.metrics.record_refusal("caller-gone");
        }
    }

    fn limits(&self) -> Limits {
        self.shared.routes().map_or_else(Limits::default, |routes| routes.limits)
    }
}
