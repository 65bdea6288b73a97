//! Closes a caller's connection so that its last response arrives.

use std::{sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::ReadHalf,
    time::{self, Instant},
};

use super::{Connection, READ_BUFFER_BYTES};

/// How long a connection that was closed is still read, so that its last response arrives.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the same goes on after the time in which a stopping process may have requests in flight.
const LINGER_IN_GRACE: Duration = Duration::from_millis(200);
/// The maximum number of bytes that are read and dropped meanwhile.
const LINGER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

impl Connection<'_> {
    /// Closes the connection so that the caller receives all that was written.
    ///
    /// Closing it with bytes unread would reset it, and a reset discards what the caller has not
    /// received yet. So what still comes in is read and dropped until the caller closes.
    pub(super) async fn close(&mut self, reader: &mut ReadHalf<'_>) {
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
}
