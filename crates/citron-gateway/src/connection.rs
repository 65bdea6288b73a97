//! Connections to targets, one request at a time on each.
//!
//! A connection belongs to one lifetime of one target. It is driven by the request that uses it,
//! so that dropping the request closes the connection; an idle one is checked before its next use.

mod pool;

pub use self::pool::Pool;

use std::{
    fmt,
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::Pin,
    task::Poll,
    time::Duration,
};

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, Connection, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, time};

/// When unacknowledged bytes make the system give a connection up.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest head that a target may send, in bytes.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

type Driver = Pin<Box<Connection<TokioIo<TcpStream>, Full<Bytes>>>>;

/// One connection to one lifetime of a target.
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
}

impl fmt::Debug for Channel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Channel").field("open", &self.driver.is_some()).finish_non_exhaustive()
    }
}

/// Why no answer came.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Error {
    /// Nothing was written: the connection was already closed.
    NotSent,
    /// The connection broke, or bytes came that are no answer.
    Broken,
}

impl Channel {
    /// Connects to a target within `timeout`.
    ///
    /// # Errors
    /// Fails if the target refuses the connection or does not accept it in time.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self { sender, driver: Some(Box::pin(driver)) })
    }

    /// Returns true if the connection is open and nothing came on it since its last answer.
    pub async fn is_idle(&mut self) -> bool {
        let polled = poll_fn(|cx| Poll::Ready(self.drive(cx))).await;
        polled.is_ok() && !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Fails if the connection was closed or breaks.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Exchange>, Error> {
        let mut pending = Box::pin(self.sender.send_request(request));
        let result = poll_fn(|cx| {
            if let Poll::Ready(result) = pending.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            // A connection that ends answers the request that it held.
            let _ = self.drive(cx);
            pending.as_mut().poll(cx)
        })
        .await;
        drop(pending);
        match result {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Response::from_parts(head, Exchange { channel: self, body }))
            }
            Err(error) if error.is_canceled() => Err(Error::NotSent),
            Err(_) => Err(Error::Broken),
        }
    }

    /// Lets the connection read and write; fails once it has ended.
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

/// An answer that is arriving; dropping it closes the connection.
#[derive(Debug)]
pub struct Exchange {
    channel: Channel,
    body: Incoming,
}

impl Exchange {
    /// Returns the length of the body, if the target states it.
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next part of the body, or `None` after the last one.
    ///
    /// # Errors
    /// Fails if the connection breaks before the body is whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = poll_fn(|cx| {
                if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
                    return Poll::Ready(frame);
                }
                // An end of the connection reaches the body as an error or as its end.
                let _ = self.channel.drive(cx);
                Pin::new(&mut self.body).poll_frame(cx)
            })
            .await;
            match frame {
                None => return Ok(None),
                Some(Ok(frame)) => {
                    // Trailers are dropped; callers are not told of them.
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(_)) => return Err(Error::Broken),
            }
        }
    }

    /// Gives the connection back after the whole answer, if it can carry another request.
    pub async fn finish(self) -> Option<Channel> {
        let mut channel = self.channel;
        if channel.is_idle().await { Some(channel) } else { None }
    }
}
