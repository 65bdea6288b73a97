//! The object API over HTTP.

use std::{io::Cursor, sync::Arc, time::Duration};

use citron_platform::{Changes, Expect, VALUE_LIMIT_BYTES, Version};
use rocket::{
    Data, Request, Response, Route, State,
    data::ToByteUnit,
    delete, get,
    http::{ContentType, Header, Status},
    put,
    request::{FromRequest, Outcome},
    response::{self, Responder},
    routes,
};
use serde::Serialize;
use tokio::time;

use super::{front::Conn, meter::Call, serve::Shared, store::Fault};

/// The longest time a watch may wait.
const WATCH_LIMIT: Duration = Duration::from_secs(300);

type Stand = State<Arc<Shared>>;

pub(super) fn routes() -> Vec<Route> {
    routes![get_object, put_object, delete_object, list, watch, hosts]
}

#[get("/objects/<kind>/<name>")]
async fn get_object(stand: &Stand, conn: Conn, kind: &str, name: &str) -> Answer {
    if !stand.enter(Call::Get, &conn).await {
        return Answer::none();
    }
    match stand.store.lock().get(kind, name) {
        Some((version, value)) => Answer {
            etag: Some(version),
            body: value.to_vec(),
            content: ContentType::Binary,
            status: Status::Ok,
        },
        None => Answer::text(Status::NotFound, "there is no such object"),
    }
}

#[put("/objects/<kind>/<name>", data = "<data>")]
async fn put_object(
    stand: &Stand,
    conn: Conn,
    condition: Condition,
    kind: &str,
    name: &str,
    data: Data<'_>,
) -> Answer {
    let body = data.open((VALUE_LIMIT_BYTES + 1).bytes()).into_bytes().await;
    if !stand.enter(Call::Put, &conn).await {
        return Answer::none();
    }
    let Ok(body) = body else {
        return Answer::text(Status::BadRequest, "the body was cut short");
    };
    if !body.is_complete() {
        return Answer::fault(Fault::TooLarge);
    }
    let written = stand.store.lock().put(kind, name, &body, condition.0);
    finish_write(stand, &conn, kind, written.map(Some)).await
}

#[delete("/objects/<kind>/<name>")]
async fn delete_object(
    stand: &Stand,
    conn: Conn,
    condition: Condition,
    kind: &str,
    name: &str,
) -> Answer {
    if !stand.enter(Call::Delete, &conn).await {
        return Answer::none();
    }
    let deleted = stand.store.lock().delete(kind, name, condition.0);
    finish_write(stand, &conn, kind, deleted.map(|()| None)).await
}

async fn finish_write(
    stand: &Stand,
    conn: &Conn,
    kind: &str,
    written: Result<Option<Version>, Fault>,
) -> Answer {
    let etag = match written {
        Ok(etag) => etag,
        Err(fault) => return Answer::fault(fault),
    };
    let version = stand.store.lock().version();
    stand.notify(kind, version);
    stand.may_lose_answer(conn).await;
    Answer { etag, ..Answer::none() }
}

#[get("/objects/<kind>")]
async fn list(stand: &Stand, conn: Conn, kind: &str) -> Answer {
    if !stand.enter(Call::List, &conn).await {
        return Answer::none();
    }
    let entries = stand.store.lock().list(kind);
    Answer::json(&entries)
}

#[get("/watch/<kind>?<after>&<timeout_ms>")]
async fn watch(stand: &Stand, conn: Conn, kind: &str, after: u64, timeout_ms: u64) -> Answer {
    if !stand.enter(Call::Watch, &conn).await {
        return Answer::none();
    }
    let wait = Duration::from_millis(timeout_ms).min(WATCH_LIMIT);
    stand.meter.waiting_watches.inc();
    let changes = tokio::select! {
        changes = first_changes(stand, kind, Version(after), wait) => Some(changes),
        () = stand.outage() => None,
        () = conn.closed() => None,
    };
    stand.meter.waiting_watches.dec();
    match changes {
        Some(changes) => Answer::json(&changes),
        None => {
            stand.cut(&conn).await;
            Answer::none()
        }
    }
}

async fn first_changes(stand: &Stand, kind: &str, after: Version, wait: Duration) -> Changes {
    let mut changed = stand.subscribe(kind);
    let deadline = time::Instant::now() + wait;
    loop {
        let changes = stand.store.lock().changes(kind, after);
        if !changes.changes.is_empty() || changes.version < after {
            return changes;
        }
        if time::timeout_at(deadline, changed.changed()).await.is_err() {
            return stand.store.lock().changes(kind, after);
        }
    }
}

#[get("/hosts")]
async fn hosts(stand: &Stand, conn: Conn) -> Answer {
    if !stand.enter(Call::Hosts, &conn).await {
        return Answer::none();
    }
    let now = stand.clock.now();
    Answer::json(stand.hosts.lock().get(now))
}

/// An answer with its version, if it has one.
struct Answer {
    status: Status,
    etag: Option<Version>,
    content: ContentType,
    body: Vec<u8>,
}

impl Answer {
    fn none() -> Self {
        Self::text(Status::Ok, "")
    }

    fn text(status: Status, text: &str) -> Self {
        Self { status, etag: None, content: ContentType::Plain, body: text.into() }
    }

    fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("lists of names and numbers are valid JSON");
        Self { status: Status::Ok, etag: None, content: ContentType::JSON, body }
    }

    fn fault(fault: Fault) -> Self {
        match fault {
            Fault::Conflict { current } => Self {
                etag: current,
                ..Self::text(Status::PreconditionFailed, "the condition does not hold")
            },
            Fault::TooLarge => Self::text(Status::PayloadTooLarge, "the value is too large"),
        }
    }
}

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let mut builder = Response::build();
        builder.status(self.status).header(self.content);
        if let Some(version) = self.etag {
            builder.header(Header::new("etag", version.to_etag()));
        }
        builder.sized_body(self.body.len(), Cursor::new(self.body)).ok()
    }
}

/// The condition in a write's headers.
struct Condition(Expect);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Condition {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let headers = request.headers();
        let expect = match (headers.get_one("if-match"), headers.get_one("if-none-match")) {
            (None, None) => Some(Expect::Any),
            (None, Some("*")) => Some(Expect::Absent),
            (Some(etag), None) => Version::from_etag(etag).map(Expect::Version),
            _ => None,
        };
        match expect {
            Some(expect) => Outcome::Success(Self(expect)),
            None => Outcome::Error((Status::BadRequest, ())),
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Conn {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let shared = request.rocket().state::<Arc<Shared>>();
        let conn = request.remote().and_then(|peer| shared?.conn(peer));
        match conn {
            Some(conn) => Outcome::Success(conn),
            // Reached past the front, where nothing can be cut.
            None => Outcome::Error((Status::ServiceUnavailable, ())),
        }
    }
}
