//! Writes the responses to a caller, in the order of its requests.

use std::{io, time::Duration};

use bytes::{Bytes, BytesMut};
use citron::gray::Verdict;
use futures::FutureExt;
use strum::{Display, IntoStaticStr};
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
    time::{self, Instant},
};

use super::{Connection, REQUEST_BYTES, ReadState, close::LINGER_TIMEOUT, receive_time};
use crate::{
    http1::{self, Response},
    memory::Reservation,
    refusal,
};

/// The size, in bytes, up to which a response is complete before it is written while requests behind
/// it are being forwarded.
const COMPLETE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// How long a write of a response to a caller may take, besides the time to receive it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How much of a response the kernel may hold that the caller has not received, in bytes.
const SEND_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// The interval at which a connection whose response is awaited is checked for its end.
const DISCONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Why a response is not received to its end.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cut {
    /// The time of its request is over.
    Deadline,
    /// The target's connection broke.
    TargetBroken,
    /// The caller closed its connection.
    CallerLeft,
}

impl Connection<'_> {
    /// Writes a response, and closes the connection after it unless `keep_alive`.
    pub(super) async fn write_response(
        &mut self,
        mut response: Response,
        keep_alive: bool,
    ) -> io::Result<()> {
        let is_last = self.pipeline.is_empty() && self.shared.is_shutting_down();
        let keep_alive = keep_alive && !is_last;
        let chunked = response.is_chunked();
        let mut out = BytesMut::with_capacity(512 + response.body.len());
        http1::write_head(&mut out, &response, keep_alive);
        if response.head_only.is_none() {
            write_part(&mut out, &response.body, chunked);
        }
        let mut written = out.len();
        self.write(&out, Instant::now() + WRITE_TIMEOUT + receive_time(written)).await?;
        if let Some(rest) = response.rest.take() {
            written += self.write_rest(rest, chunked).await?;
        }
        if !keep_alive {
            // Requests pipelined after the last response of a connection count as not read.
            self.pipeline.clear();
            self.read_state = ReadState::Closed;
        }
        self.since = Instant::now();
        let linger = LINGER_TIMEOUT + receive_time(written.min(SEND_BUFFER_BYTES));
        self.received_by = Some(self.since + linger);
        Ok(())
    }

    /// Receives the whole response before its head is written, up to [`COMPLETE_LIMIT_BYTES`] and as
    /// far as there is memory.
    ///
    /// A response that breaks off while it is written closes the connection, and the requests behind
    /// it, which targets may have run, would get none.
    pub(super) async fn complete(
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

    /// Forwards the rest of a response, and returns its size in bytes; an error closes the connection
    /// before the response looks complete.
    async fn write_rest(
        &mut self,
        mut rest: http1::BodyStream,
        chunked: bool,
    ) -> io::Result<usize> {
        let until = rest.deadline;
        let (mut out, mut written) = (BytesMut::new(), 0);
        let broken = |_| io::Error::from(io::ErrorKind::BrokenPipe);
        while let Some(part) = self.next_part(&mut rest).await.map_err(broken)? {
            write_part(&mut out, &part, chunked);
            self.write(&out, until).await?;
            written += out.len();
            out.clear();
        }
        rest.attempt.end(rest.verdict);
        if chunked {
            self.write(b"0\r\n\r\n", until).await?;
        }
        Ok(written)
    }

    /// Returns the next part of a body, `None` after the last one.
    async fn next_part(&mut self, rest: &mut http1::BodyStream) -> Result<Option<Bytes>, Cut> {
        // A response that waited behind others until its deadline says nothing about its target.
        let was_late = Instant::now() >= rest.deadline;
        let caller = self.writer.as_ref();
        let next = async {
            tokio::select! {
                biased;
                next = time::timeout_at(rest.deadline, rest.body.next_chunk()) => Some(next),
                () = disconnected(caller) => None,
            }
        };
        let next = self.pipeline.forward_during(next).await;
        let (cut, verdict) = match next {
            None => (Cut::CallerLeft, None),
            Some(Ok(Ok(None))) => return Ok(None),
            // A timeout does not end a future that is always ready.
            Some(Ok(Ok(part))) if Instant::now() < rest.deadline => return Ok(part),
            Some(Ok(Ok(_)) | Err(_)) if was_late => (Cut::Deadline, None),
            Some(Ok(Ok(_)) | Err(_)) => (Cut::Deadline, Some(Verdict::Silent)),
            Some(Ok(Err(_))) => (Cut::TargetBroken, Some(Verdict::Failed)),
        };
        let target = &rest.attempt.choice().target.id;
        log::info!("event=answer-broken target={target} reason={cut}");
        rest.attempt.end(verdict);
        Err(cut)
    }

    async fn write(&mut self, bytes: &[u8], until: Instant) -> io::Result<()> {
        self.shared.own_load.count_bytes(bytes.len());
        let written = time::timeout_at(until, self.writer.write_all(bytes));
        match self.pipeline.forward_during(written).await {
            Ok(written) => written,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Waits until the caller has closed its side of the connection, even if bytes of it are unread.
async fn disconnected(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) if !ready.is_read_closed() => {}
            Some(_) => return,
            None => {}
        }
        time::sleep(DISCONNECT_INTERVAL).await;
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
