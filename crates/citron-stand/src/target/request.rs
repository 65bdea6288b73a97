//! The path of one request through a stand-in target.

use std::{io, pin::Pin, sync::Arc, task, time::Duration};

use rocket::{
    Data, Request, Route,
    data::ToByteUnit,
    http::{Header, Method, Status},
    response::Response,
    route::{Handler, Outcome},
};
use tokio::{
    io::{AsyncRead, ReadBuf},
    time,
};

use super::{Admission, Answer, Fault, answer, serve::Shared, work::State};

/// The longest request body that is read.
const BODY_LIMIT_MIB: u64 = 64;
/// How long a stalled request is held before its connection is dropped.
const STALL: Duration = Duration::from_secs(120);

/// Returns the routes of the data port: every path, by every method.
pub(super) fn routes(shared: &Arc<Shared>) -> Vec<Route> {
    use Method::{Delete, Get, Head, Options, Patch, Post, Put};
    [Get, Head, Post, Put, Delete, Patch, Options]
        .into_iter()
        .map(|method| Route::new(method, "/<_..>", Serve(Arc::clone(shared))))
        .collect()
}

/// Serves every path of the data port.
#[derive(Clone)]
struct Serve(Arc<Shared>);

#[rocket::async_trait]
impl Handler for Serve {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let path = request.uri().path();
        let response = match path.as_str() {
            "/-/health" => plain(Status::Ok, "ok"),
            "/-/load" => {
                let (busy, slots) = self.0.work.lock().load();
                plain(Status::Ok, &format!("{busy}/{slots}"))
            }
            _ => run(&self.0, request, data).await,
        };
        Outcome::Success(response)
    }
}

/// Holds a slot; its end frees the slot even if the caller goes away.
struct Slot<'a>(&'a Shared);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.work.lock().end();
    }
}

/// A place in the queue; its end gives the place up unless the request started.
struct Place<'a>(Option<&'a Shared>);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(shared) = self.0 {
            shared.work.lock().give_up();
        }
    }
}

async fn run<'r>(shared: &Shared, request: &'r Request<'_>, data: Data<'r>) -> Response<'r> {
    let started = time::Instant::now();
    let id = request.headers().get_one("citron-request-id").unwrap_or("").to_owned();
    let deadline = request
        .headers()
        .get_one("citron-deadline-ms")
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let (fault, set_at) = *shared.fault.lock();
    if matches!(fault, Fault::Shedding { share } if shared.hit(share)) {
        return refuse(shared, &id);
    }
    if shared.work.lock().arrive() == Admission::Shed {
        return refuse(shared, &id);
    }
    let mut place = Place(Some(shared));
    let permit = match deadline {
        Some(left) => match time::timeout(left, shared.permits.acquire()).await {
            Ok(permit) => permit,
            Err(_) => return refuse(shared, &id),
        },
        None => shared.permits.acquire().await,
    };
    let _permit = permit.expect("the semaphore of a target is never closed");
    shared.work.lock().start();
    place.0 = None;
    let _slot = Slot(shared);
    let body = match data.open(BODY_LIMIT_MIB.mebibytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        Ok(_) | Err(_) => {
            return tag(
                shared,
                plain(Status::BadRequest, "the body is too long or cut short"),
                &id,
            );
        }
    };
    if let Some(order) = request.headers().get_one("x-order") {
        shared.ledger.lock().run(order);
    }
    time::sleep(shared.draw_time(fault, shared.clock.now().saturating_sub(set_at))).await;
    if matches!(fault, Fault::Stall) {
        time::sleep(STALL).await;
    }
    log::debug!("ran {} in {:?}", request.uri(), started.elapsed());
    reply(shared, request, &body, id, fault)
}

fn reply<'r>(
    shared: &Shared,
    request: &Request<'_>,
    body: &[u8],
    id: String,
    fault: Fault,
) -> Response<'r> {
    if matches!(fault, Fault::Errors { share } if shared.hit(share)) {
        shared.requests.with_label_values(&["error"]).inc();
        return tag(shared, plain(Status::InternalServerError, "internal error"), &id);
    }
    let size = request
        .uri()
        .query()
        .and_then(|query| query.segments().find(|(key, _)| *key == "size"))
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let own = Answer {
        service: shared.settings.service.clone(),
        path: request.uri().to_string(),
        method: request.method().to_string(),
        body_hash: xxhash_rust::xxh3::xxh3_64(body),
    };
    let own = (id, answer(&own, size));
    let previous = shared.previous.lock().replace(own.clone());
    let (id, bytes) = match fault {
        Fault::Wrong { share } if shared.hit(share) => previous.unwrap_or(own),
        _ => own,
    };
    shared.requests.with_label_values(&["answered"]).inc();
    let mut response = Response::new();
    response.set_status(Status::Ok);
    let length = bytes.len();
    let cut = if matches!(fault, Fault::Cut) { length / 2 } else { length };
    response.set_sized_body(length, Bytes { bytes, at: 0, cut });
    tag(shared, response, &id)
}

fn refuse<'r>(shared: &Shared, id: &str) -> Response<'r> {
    shared.requests.with_label_values(&["shed"]).inc();
    let mut response = plain(Status::ServiceUnavailable, "no free slot");
    response.set_header(Header::new("citron-target-outcome", "not-run"));
    tag(shared, response, id)
}

fn plain<'r>(status: Status, text: &str) -> Response<'r> {
    let mut response = Response::new();
    response.set_status(status);
    response.set_sized_body(text.len(), io::Cursor::new(text.as_bytes().to_vec()));
    response
}

fn tag<'r>(shared: &Shared, mut response: Response<'r>, id: &str) -> Response<'r> {
    let work = shared.work.lock();
    let (busy, slots) = work.load();
    let state: State = work.state(shared.clock.now());
    response.set_header(Header::new("citron-request-id", id.to_owned()));
    response.set_header(Header::new("citron-target-load", format!("{busy}/{slots}")));
    response.set_header(Header::new("citron-target-state", state.to_string()));
    response
}

/// A body that fails when `cut` bytes have been read.
struct Bytes {
    bytes: Vec<u8>,
    at: usize,
    cut: usize,
}

impl AsyncRead for Bytes {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let end = (self.at + buffer.remaining()).min(self.cut);
        if end == self.at && self.cut < self.bytes.len() {
            return task::Poll::Ready(Err(io::Error::other("the answer is cut short")));
        }
        buffer.put_slice(&self.bytes[self.at..end]);
        self.at = end;
        task::Poll::Ready(Ok(()))
    }
}

impl rocket::tokio::io::AsyncSeek for Bytes {
    fn start_seek(self: Pin<&mut Self>, _: io::SeekFrom) -> io::Result<()> {
        Err(io::Error::other("an answer cannot be sought"))
    }

    fn poll_complete(
        self: Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<u64>> {
        task::Poll::Ready(Ok(0))
    }
}
