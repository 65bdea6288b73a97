//! Gives this gateway's routes and targets to peers: compressed, and long ones to a few at a time.
//!
//! Peers share this gateway's link with its callers. Many transfers at once would all take too
//! long, so that a peer that finds none free asks another one.

use std::{
    io::{self, Write},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Buf, Bytes};
use citron::route::{Edition, Table};
use flate2::{Compression, write::GzEncoder};
use rocket::{
    Request,
    http::{ContentType, Header, Status},
    request::{FromRequest, Outcome},
    response::{self, Responder, Response},
    tokio::io::{AsyncRead, ReadBuf},
};
use serde::Serialize;
use tokio::{
    sync::{Mutex, Semaphore, oneshot},
    task, time,
};

/// The maximum number of long bodies that are sent at once.
const TRANSFERS_LIMIT: usize = 4;
/// The size, in bytes, from which a body counts as long.
const LONG_BODY_BYTES: usize = 16 * 1024;
/// The size of the parts in which a body is written, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// How long a body counts as being sent although its receiver has not taken it.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// What limits the transfers to peers.
#[derive(Debug)]
pub struct Export {
    transfers: Arc<Semaphore>,
    /// The compressed routes, with their edition and the number of parts that they miss.
    routes: Mutex<Option<(Edition, usize, Encoded)>>,
}

/// Which coding of a body a peer accepts.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Coding {
    /// As it is; builds of before ask for it.
    Identity,
    /// Compressed.
    Gzip,
}

/// A body as it is sent.
#[derive(Debug, Clone)]
struct Encoded {
    coding: Coding,
    body: Bytes,
}

/// A body that is being sent.
#[derive(Debug)]
pub struct Transfer {
    encoded: Encoded,
    /// Ends the transfer when it is dropped; `None` for a short body.
    _end: Option<oneshot::Sender<()>>,
}

impl Default for Export {
    fn default() -> Self {
        Self { transfers: Arc::new(Semaphore::new(TRANSFERS_LIMIT)), routes: Mutex::default() }
    }
}

impl Export {
    /// Starts to send the routes.
    ///
    /// # Errors
    /// Fails with the status of the response if they cannot be sent now.
    pub async fn routes(&self, table: &Table, coding: Coding) -> Result<Transfer, Status> {
        if coding == Coding::Identity {
            return self.send(encode(table, coding).await?);
        }
        let mut cached = self.routes.lock().await;
        let is_current = |(edition, missing, _): &&(Edition, usize, Encoded)| {
            (*edition, *missing) == (table.edition(), table.missing)
        };
        let encoded = match cached.as_ref().filter(is_current) {
            Some((.., encoded)) => encoded.clone(),
            None => {
                let encoded = encode(table, coding).await?;
                *cached = Some((table.edition(), table.missing, encoded.clone()));
                encoded
            }
        };
        drop(cached);
        self.send(encoded)
    }

    /// Starts to send a value.
    ///
    /// # Errors
    /// Fails with the status of the response if it cannot be sent now.
    pub async fn value(&self, value: &impl Serialize, coding: Coding) -> Result<Transfer, Status> {
        self.send(encode(value, coding).await?)
    }

    fn send(&self, encoded: Encoded) -> Result<Transfer, Status> {
        if encoded.body.len() < LONG_BODY_BYTES {
            return Ok(Transfer { encoded, _end: None });
        }
        let Ok(permit) = Arc::clone(&self.transfers).try_acquire_owned() else {
            log::info!("event=transfer-refused bytes={}", encoded.body.len());
            return Err(Status::TooManyRequests);
        };
        let (end, ended) = oneshot::channel();
        tokio::spawn(async move {
            // Either its receiver has taken the body, or left, or takes too long.
            let _ = time::timeout(TRANSFER_TIMEOUT, ended).await;
            drop(permit);
        });
        Ok(Transfer { encoded, _end: Some(end) })
    }
}

/// Encodes a value; a long one is compressed beside the tasks that forward requests.
async fn encode(value: &impl Serialize, accepted: Coding) -> Result<Encoded, Status> {
    let failed = |error: String| {
        log::error!("event=transfer-failed reason={error:?}");
        Status::InternalServerError
    };
    let text = serde_json::to_vec(value).map_err(|error| failed(error.to_string()))?;
    if text.len() < LONG_BODY_BYTES || accepted == Coding::Identity {
        return Ok(Encoded { coding: Coding::Identity, body: Bytes::from(text) });
    }
    let compressed = task::spawn_blocking(move || compress(&text)).await;
    let body = compressed.map_err(|error| failed(error.to_string()))?;
    let body = body.map_err(|error| failed(error.to_string()))?;
    Ok(Encoded { coding: Coding::Gzip, body: Bytes::from(body) })
}

fn compress(text: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text)?;
    encoder.finish()
}

impl AsyncRead for Transfer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let body = &mut self.encoded.body;
        let count = body.len().min(buf.remaining());
        buf.put_slice(&body[..count]);
        body.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl<'r> Responder<'r, 'static> for Transfer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut response = Response::build();
        response.header(ContentType::JSON);
        if self.encoded.coding == Coding::Gzip {
            response.header(Header::new("Content-Encoding", "gzip"));
        }
        response.streamed_body(self).max_chunk_size(CHUNK_BYTES).ok()
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Coding {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let mut accepted = request.headers().get("Accept-Encoding");
        let is_gzip = accepted.any(|value| value.split(',').any(|part| part.trim() == "gzip"));
        Outcome::Success(if is_gzip { Self::Gzip } else { Self::Identity })
    }
}
