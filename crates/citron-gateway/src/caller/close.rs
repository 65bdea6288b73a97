//! Closes a caller's connection so that no request is left unread and its last response arrives.

use std::{
    io::{self, Read},
    sync::Arc,
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::ReadHalf},
    time::{self, Instant},
};

use super::{Connection, READ_BUFFER_BYTES, ReadState};

/// How long a connection that was closed is still read, so that its last response arrives, besides the
/// time that the caller may take to receive it.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the same goes on after the time in which a stopping process may have requests in flight.
const LINGER_IN_GRACE: Duration = Duration::from_millis(200);
/// The maximum number of bytes that are read and dropped meanwhile.
const LINGER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

impl Connection<'_> {
    /// Reads what waits in the socket of an idle connection that would be closed; returns false if
    /// there is nothing.
    ///
    /// The runtime learns of bytes only when it polls the sockets. A process that rarely gets
    /// processor time may decide to close a connection before that, although a request has arrived.
    pub(super) fn read_waiting(&mut self, stream: &TcpStream) -> io::Result<bool> {
        if matches!(self.read_state, ReadState::Closed) {
            return Ok(false);
        }
        let mut bytes = [0; READ_BUFFER_BYTES];
        // Asks the kernel; the stream's own methods return what the runtime knows.
        let count = match (&*SockRef::from(stream)).read(&mut bytes) {
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(error) => return Err(error),
        };
        if count > 0 {
            log::info!("event=read-before-close bytes={count}");
            self.buffer.extend_from_slice(&bytes[..count]);
            self.since = Instant::now();
        }
        Ok(count > 0)
    }

    /// Closes the connection so that the caller receives all that was written.
    ///
    /// Closing it with bytes unread would reset it, and a reset discards what the caller has not
    /// received yet. So what still comes in is read and dropped until the caller closes.
    pub(super) async fn close(&mut self, reader: &mut ReadHalf<'_>) {
        let is_receiving = self.received_by.is_some_and(|by| Instant::now() < by);
        if is_receiving && self.closing.is_none() {
            self.closing = self.shared.track_request();
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
        let at_least = Instant::now() + LINGER_TIMEOUT;
        let until = self.received_by.map_or(at_least, |by| by.max(at_least));
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
}
