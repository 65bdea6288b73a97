//! Connections to targets, one request at a time on each.
//!
//! A connection belongs to one incarnation of a target. It is polled by the request that uses it,
//! so that dropping the request closes the connection; an idle one is checked before its next use.

mod metered;
mod pool;

pub use self::pool::Pool;

use std::{
    fmt,
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    ops::RangeInclusive,
    pin::Pin,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use http_body::Body as _;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use self::metered::{Allowance, Metered, UserTimeout};
use crate::http1::Sending;

/// How long connecting to a target may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long sent bytes may stay unacknowledged, or without room at the target, before the kernel closes
/// the connection, unless the request says otherwise.
pub const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of the head of a target's response.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;
/// The maximum number of headers of a target's response.
const HEADERS_LIMIT: usize = HEAD_LIMIT_BYTES / 16;
/// The most bytes that a target may send before the first part of its response's body.
const AHEAD_LIMIT_BYTES: u64 = 2 * HEAD_LIMIT_BYTES as u64;
/// The statuses that a final response may have.
const FINAL_STATUS: RangeInclusive<u16> = 200..=599;

type Driver = Pin<Box<http1::Connection<TokioIo<Metered>, Sending>>>;

/// A connection to one incarnation of a target.
pub struct Connection {
    sender: SendRequest<Sending>,
    driver: Option<Driver>,
    allowance: Allowance,
    user_timeout: UserTimeout,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("open", &self.driver.is_some()).finish_non_exhaustive()
    }
}

/// Why no response arrived.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Error {
    /// Nothing was written: the connection was already closed.
    NotSent,
    /// The connection broke.
    Broken,
    /// The bytes received are not a response.
    Malformed,
}

impl Connection {
    /// Connects to a target within `timeout`.
    ///
    /// # Errors
    /// Fails if the target refuses the connection or does not accept it in time.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (allowance, user_timeout) = (Allowance::default(), UserTimeout::default());
        let metered = Metered::new(stream, allowance.clone(), user_timeout.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .max_headers(HEADERS_LIMIT)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(io::Error::other)?;
        Ok(Self { sender, driver: Some(Box::pin(driver)), allowance, user_timeout })
    }

    /// Returns true if the connection is open and has received nothing since its last response.
    pub async fn is_idle(&mut self) -> bool {
        let polled = poll_fn(|cx| Poll::Ready(self.drive(cx))).await;
        polled.is_ok() && !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the final response; interim ones are skipped. The
    /// target may leave sent bytes unacknowledged or unread for `user_timeout`.
    ///
    /// # Errors
    /// Fails if the connection was closed or breaks, or if the response is malformed or its status
    /// is not in [`FINAL_STATUS`].
    pub async fn send(
        mut self,
        request: Request<Sending>,
        user_timeout: Duration,
    ) -> Result<Response<ResponseBody>, Error> {
        self.user_timeout.set(user_timeout);
        self.allowance.reset(AHEAD_LIMIT_BYTES);
        let mut pending = Box::pin(self.sender.send_request(request));
        let result = poll_fn(|cx| {
            if let Poll::Ready(result) = pending.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            // When the connection ends, the pending request completes.
            let _ = self.drive(cx);
            pending.as_mut().poll(cx)
        })
        .await;
        drop(pending);
        match result {
            // The HTTP library accepts any status from 100 to 999, and 101 as a final one.
            Ok(response) if !FINAL_STATUS.contains(&response.status().as_u16()) => {
                Err(Error::Malformed)
            }
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Response::from_parts(head, ResponseBody { connection: self, body }))
            }
            Err(error) if error.is_canceled() => Err(Error::NotSent),
            Err(error) if error.is_parse() => Err(Error::Malformed),
            Err(_) => Err(Error::Broken),
        }
    }

    /// Polls the connection, which reads and writes; fails once it has ended.
    fn drive(&mut self, cx: &mut std::task::Context<'_>) -> Result<(), Error> {
        let Some(driver) = &mut self.driver else { return Err(Error::Broken) };
        match driver.as_mut().poll(cx) {
            Poll::Pending => Ok(()),
            Poll::Ready(_) => {
                self.driver = None;
                Err(Error::Broken)
            }
        }
    }
}

/// The body of a response, read as it arrives; dropping it closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    connection: Connection,
    body: Incoming,
}

impl ResponseBody {
    /// Returns the length of the body, if the target stated it.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next chunk of the body, or `None` after the last one.
    ///
    /// # Errors
    /// Fails if the connection breaks before the body is complete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = poll_fn(|cx| {
                if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
                    return Poll::Ready(frame);
                }
                // The end of the connection reaches the body as an error or as its last frame.
                let _ = self.connection.drive(cx);
                Pin::new(&mut self.body).poll_frame(cx)
            })
            .await;
            match frame {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    // Trailers are not forwarded to callers.
                    if let Ok(data) = frame.into_data() {
                        self.connection.allowance.add_body(data.len());
                        return Ok(Some(data));
                    }
                }
                Some(Err(_)) => return Err(Error::Broken),
            }
        }
    }

    /// Returns the connection after the complete response, if it can be reused.
    pub async fn finish(self) -> Option<Connection> {
        let mut connection = self.connection;
        if connection.is_idle().await { Some(connection) } else { None }
    }
}
