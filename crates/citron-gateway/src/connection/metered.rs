//! A stream that limits how many bytes a target sends beyond what its responses need.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use socket2::SockRef;

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most bytes that may be received for each byte of a body, enough for chunks of one byte.
const BYTES_PER_BODY_BYTE: u64 = 16;

/// The number of bytes that a target may still send.
#[derive(Debug, Clone, Default)]
pub struct Allowance(Arc<AtomicU64>);

/// How long the kernel keeps a connection whose sent bytes the target neither acknowledges nor has room
/// for, in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct UserTimeout(Arc<AtomicU32>);

/// A connection to a target whose reads fail once its allowance is used up.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    allowance: Allowance,
    user_timeout: UserTimeout,
    /// The timeout that the kernel was told last.
    applied_ms: u32,
}

impl UserTimeout {
    /// Sets the timeout from the next write on.
    pub fn set(&self, timeout: Duration) {
        let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        self.0.store(millis, Ordering::Relaxed);
    }
}

impl Allowance {
    /// Allows `bytes` for the head of a response and what is read ahead of its body.
    pub fn reset(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Allows what may be received with a part of a body of this length.
    pub fn add_body(&self, length: usize) {
        self.0.fetch_add(length as u64 * BYTES_PER_BODY_BYTE, Ordering::Relaxed);
    }

    /// Uses up `bytes`; returns false if fewer are left.
    fn use_up(&self, bytes: u64) -> bool {
        let subtract = |left: u64| left.checked_sub(bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok()
    }
}

impl Metered {
    /// Limits what is read from `stream` to `allowance`, and keeps it as long as `user_timeout` tells.
    pub fn new(stream: TcpStream, allowance: Allowance, user_timeout: UserTimeout) -> Self {
        Self { stream, allowance, user_timeout, applied_ms: 0 }
    }

    fn apply_user_timeout(&mut self) -> io::Result<()> {
        let millis = self.user_timeout.0.load(Ordering::Relaxed);
        if millis != self.applied_ms {
            let timeout = Duration::from_millis(millis.into());
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))?;
            self.applied_ms = millis;
        }
        Ok(())
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.allowance.use_up((buf.filled().len() - before) as u64) {
            Poll::Ready(Ok(()))
        } else {
            Poll::Ready(Err(io::Error::other("the target sends more than a response needs")))
        }
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_user_timeout()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_user_timeout()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
