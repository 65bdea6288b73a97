//! The connection of one caller.
//!
//! Requests are read ahead and carried at the same time; their answers are written in the order
//! in which the requests came. When the caller leaves, all that was begun for it is dropped.

use std::{io, pin::Pin, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use citron::route::Limits;
use futures::{StreamExt, stream::FuturesOrdered};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    time::{self, Instant},
};

use crate::{
    carry,
    http1::{self, Decoder, Fault, Head, Reply},
    shared::Shared,
};

/// The most requests of one connection that are carried at a time.
const PIPELINE_LIMIT: usize = 16;
/// Bytes that are read ahead of a request that cannot be carried yet.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// The room that each read offers.
const READ_BYTES: usize = 8 * 1024;
/// How long a caller may take to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The limits while the operator's are not known.
const LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024 * 1024,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

type Carried = Pin<Box<dyn Future<Output = (Reply, bool)> + Send>>;

/// What is read next.
enum Reading {
    Head,
    Body {
        head: Box<Head>,
        decoder: Decoder,
    },
    /// Nothing more: an answer closes the connection.
    Nothing,
}

/// Serves a caller's connection until either side closes it.
pub async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller-setup-failed reason={:?}", error.to_string());
        return;
    }
    let (reader, writer) = stream.split();
    let mut connection = Connection {
        shared,
        writer,
        buffer: BytesMut::new(),
        reading: Reading::Head,
        carried: FuturesOrdered::new(),
        since: Instant::now(),
    };
    if let Err(error) = connection.run(reader).await {
        log::debug!("event=caller-lost reason={:?}", error.to_string());
    }
}

struct Connection<'a> {
    shared: Arc<Shared>,
    writer: WriteHalf<'a>,
    buffer: BytesMut,
    reading: Reading,
    carried: FuturesOrdered<Carried>,
    /// When the connection became idle, or when the head or body that is being read began.
    since: Instant,
}

impl Connection<'_> {
    async fn run(&mut self, mut reader: ReadHalf<'_>) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        loop {
            self.advance().await?;
            // Made before the look at the stop, so that a stop in between still wakes it.
            let shutdown = shared.shutdown_started.notified();
            if self.is_over() {
                return self.writer.shutdown().await;
            }
            let reads = self.buffer.len() < READ_AHEAD_BYTES;
            let waits = !self.carried.is_empty();
            let until = self.wait_end();
            self.buffer.reserve(READ_BYTES);
            tokio::select! {
                biased;
                Some((reply, keep_alive)) = self.carried.next(), if waits => {
                    self.answer(reply, keep_alive).await?;
                }
                count = reader.read_buf(&mut self.buffer), if reads => {
                    if count? == 0 {
                        return self.caller_left();
                    }
                }
                () = time::sleep_until(until), if !waits => return self.timed_out().await,
                () = shutdown, if !waits => {}
            }
        }
    }

    /// Takes all requests that are whole from the buffer and begins to carry them.
    async fn advance(&mut self) -> io::Result<()> {
        while self.carried.len() < PIPELINE_LIMIT {
            let limits = self.limits();
            let taken = match &mut self.reading {
                Reading::Nothing => return Ok(()),
                Reading::Head if self.buffer.is_empty() => return Ok(()),
                Reading::Head => match http1::parse(&mut self.buffer, limits.head_bytes) {
                    Ok(None) => return Ok(()),
                    Ok(Some(head)) => self.begin_body(head, limits).await?,
                    Err(fault) => Err(fault),
                },
                Reading::Body { decoder, .. } => match decoder.take(&mut self.buffer) {
                    Ok(None) => return Ok(()),
                    Ok(Some(body)) => {
                        self.begin(body);
                        Ok(())
                    }
                    Err(fault) => Err(fault),
                },
            };
            if let Err(fault) = taken {
                self.refuse(fault);
            }
        }
        Ok(())
    }

    async fn begin_body(&mut self, head: Head, limits: Limits) -> io::Result<Result<(), Fault>> {
        let decoder = match Decoder::new(head.length, limits.body_bytes) {
            Ok(decoder) => decoder,
            Err(fault) => return Ok(Err(fault)),
        };
        if head.expects_continue && self.carried.is_empty() {
            self.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        self.since = Instant::now();
        self.reading = Reading::Body { head: Box::new(head), decoder };
        Ok(Ok(()))
    }

    fn begin(&mut self, body: Bytes) {
        let Reading::Body { head, .. } = std::mem::replace(&mut self.reading, Reading::Head) else {
            return;
        };
        let keep_alive = head.keep_alive;
        if !keep_alive {
            self.reading = Reading::Nothing;
        }
        let shared = Arc::clone(&self.shared);
        let arrived = shared.clock.now();
        let carried = async move { (carry::carry(shared, *head, body, arrived).await, keep_alive) };
        self.carried.push_back(Box::pin(carried));
        self.since = Instant::now();
    }

    /// Answers bytes that are no request, behind the answers that are still due.
    fn refuse(&mut self, fault: Fault) {
        log::info!("event=refused id=- outcome=not-run reason={fault} status={}", fault.status());
        self.shared.metrics.record_refusal(fault.into());
        self.reading = Reading::Nothing;
        let reply = Reply::own(fault.status(), fault.into());
        self.carried.push_back(Box::pin(async move { (reply, false) }));
    }

    async fn answer(&mut self, mut reply: Reply, keep_alive: bool) -> io::Result<()> {
        let keep_alive = keep_alive && !self.shared.is_shutting_down();
        let chunked = reply.is_chunked();
        let mut out = BytesMut::with_capacity(512 + reply.body.len());
        http1::write_head(&mut out, &reply, keep_alive);
        if reply.head_only.is_none() {
            frame(&mut out, &reply.body, chunked);
        }
        self.write(&out).await?;
        if let Some(rest) = reply.rest.take() {
            self.stream(rest, chunked).await?;
        }
        if !keep_alive {
            // What was sent behind a closing answer counts as not read.
            self.carried.clear();
            self.reading = Reading::Nothing;
        }
        self.since = Instant::now();
        Ok(())
    }

    /// Passes the rest of an answer on; an error closes the connection before it looks whole.
    async fn stream(&mut self, mut rest: http1::Stream, chunked: bool) -> io::Result<()> {
        let mut out = BytesMut::new();
        loop {
            let Ok(part) = rest.exchange.next().await else {
                log::info!("event=answer-broken reason=target-broken");
                return Err(io::ErrorKind::BrokenPipe.into());
            };
            let Some(part) = part else { break };
            frame(&mut out, &part, chunked);
            self.write(&out).await?;
            out.clear();
        }
        if chunked { self.write(b"0\r\n\r\n").await } else { Ok(()) }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match time::timeout(WRITE_TIMEOUT, self.writer.write_all(bytes)).await {
            Ok(written) => written,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn is_over(&self) -> bool {
        let ends = matches!(self.reading, Reading::Nothing)
            || (self.is_between_requests() && self.shared.is_shutting_down());
        self.carried.is_empty() && ends
    }

    fn is_between_requests(&self) -> bool {
        matches!(self.reading, Reading::Head) && self.buffer.is_empty()
    }

    fn wait_end(&self) -> Instant {
        let limits = self.limits();
        self.since
            + match self.reading {
                Reading::Body { .. } => BODY_TIMEOUT,
                _ if self.buffer.is_empty() => limits.idle_timeout,
                _ => limits.head_timeout,
            }
    }

    async fn timed_out(&mut self) -> io::Result<()> {
        if self.is_between_requests() {
            return self.writer.shutdown().await;
        }
        log::info!("event=refused id=- outcome=not-run reason=request-incomplete status=408");
        self.shared.metrics.record_refusal("request-incomplete");
        let reply = Reply::own(408, "request-incomplete");
        self.answer(reply, false).await?;
        self.writer.shutdown().await
    }

    fn caller_left(&mut self) -> io::Result<()> {
        if !self.carried.is_empty() {
            log::info!("event=caller-left dropped={}", self.carried.len());
            self.shared.metrics.record_refusal("caller-gone");
        }
        Ok(())
    }

    fn limits(&self) -> Limits {
        self.shared.routes().map_or(LIMITS, |routes| routes.limits)
    }
}

/// Adds a part of a body, as a chunk where the body is chunked.
fn frame(out: &mut BytesMut, part: &[u8], chunked: bool) {
    if !chunked {
        out.extend_from_slice(part);
    } else if !part.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
}
