//! A stand-in target over raw sockets, so that it can break the protocol as real ones do.

use std::{
    collections::BTreeMap,
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{self, Instant},
};

/// What the target does with a request.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Act {
    /// Serves at once.
    Serve,
    /// Serves after so many milliseconds.
    ServeAfter(u64),
    /// Serves with an answer in chunks.
    ServeChunked,
    /// Serves with an answer that ends with its connection.
    ServeUnframed,
    /// Serves, and says that it closes the connection.
    ServeAndClose,
    /// Answers with a failure of its own.
    Fail,
    /// Serves with these further headers, each ending with a line break.
    ServeWith(&'static str),
    /// Says that it did not run the request.
    Shed,
    /// Says the same with these further headers, each ending with a line break.
    ShedWith(&'static str),
    /// Says that it is another target.
    Misdirect,
    /// Runs the request, and refuses with this status and the id of an earlier one, or without an id.
    RefuseAnother {
        /// The status line without the protocol.
        status: &'static str,
        /// The header with the id, with its line break.
        id_header: &'static str,
    },
    /// Runs the request, sends these bytes with its id in place of `{id}`, and closes the connection.
    BreakOff(&'static str),
    /// Runs the request and answers nothing.
    Hang,
    /// Sends the start of a longer body than callers hold in memory, and nothing more.
    StallLong,
    /// Runs the request and resets the connection.
    Reset,
    /// Runs the request and breaks off in the middle of the body.
    CutBody,
    /// Runs the request and resets in the middle of a body that ends with its connection.
    ResetUnframed,
    /// Answers with the id of another request.
    WrongId,
    /// Answers without its signature.
    Unsigned,
    /// Sends bytes that are no answer.
    Garbage,
    /// Serves, and sends a second answer after the first.
    ServeTwice,
    /// Sends a longer body than callers hold in memory.
    ServeLong,
    /// Responds with a body of so many bytes.
    ServeBytes(usize),
    /// Runs the request and breaks off in the middle of such a body.
    CutLong,
    /// Sends `start`, with the request's id in place of `{id}`, and then `repeat` until the
    /// connection is closed.
    Endless {
        /// The first bytes.
        start: &'static str,
        /// The bytes that follow, again and again.
        repeat: &'static str,
    },
}

/// The least bytes that an endless answer writes at once.
const ENDLESS_WRITE_BYTES: usize = 16 * 1024;

/// The bytes of a long answer.
pub const LONG_BYTES: usize = 300_000;
/// How many bytes of a request's body are kept.
const KEPT_BODY_BYTES: usize = 64 * 1024;

/// A request as the target read it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// When it was read.
    pub at: Instant,
    /// Method, path and protocol.
    pub first_line: String,
    /// The headers, by lowercase names.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: String,
}

impl Seen {
    /// Returns the id that the caller gave the request, or an empty text.
    pub fn id(&self) -> &str {
        self.headers.get("attempt-id").map_or("", String::as_str)
    }
}

/// Decides what the target does with each request.
type Plan = Box<dyn FnMut(&Seen) -> Act + Send>;

/// A running target; dropping it ends it and its connections.
#[derive(Debug)]
pub struct Target {
    /// Its identity.
    pub id: String,
    service: String,
    addr: SocketAddr,
    shared: Arc<Shared>,
    _accepting: JoinSet<()>,
}

struct Shared {
    id: String,
    plan: Mutex<Plan>,
    seen: Mutex<Vec<Seen>>,
    refused: Mutex<Vec<Seen>>,
    left: Mutex<Vec<(String, Instant)>>,
    connections: Mutex<u32>,
    heartbeats: AtomicU64,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Target {
    /// Starts a target of the service `desk`, which must succeed.
    pub async fn bind(id: &str) -> Self {
        Self::open(id, "desk").await.expect("a port")
    }

    /// Starts a target of a service.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn open(id: &str, service: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            plan: Mutex::new(Box::new(|_| Act::Serve)),
            seen: Mutex::default(),
            refused: Mutex::default(),
            left: Mutex::default(),
            connections: Mutex::default(),
            heartbeats: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&shared);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut open = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                *accepting.connections.lock() += 1;
                open.spawn(serve(stream, Arc::clone(&accepting)));
                while open.try_join_next().is_some() {}
            }
        });
        let (id, service) = (id.to_owned(), service.to_owned());
        Ok(Self { id, service, addr, shared, _accepting: tasks })
    }

    /// Returns where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns its service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the target's own entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        self.entry_at(self.addr, "a", state)
    }

    /// Returns its entry as its next heartbeat writes it, with the address of a relay before it, in a failure domain.
    pub fn entry_at(&self, addr: SocketAddr, domain: &str, state: &str) -> Value {
        let sequence = self.shared.heartbeats.fetch_add(1, Ordering::Relaxed) + 1;
        json!({"address": addr, "born": 1_000,
               "info": {"service": self.service, "version": "v1", "zone": domain, "slots": 3},
               "status": {"state": state, "sequence": sequence, "warmupLeftS": 0}})
    }

    /// Sets what it does with all requests.
    pub fn set(&self, act: Act) {
        self.set_plan(move |_| act);
    }

    /// Sets what decides about each request.
    pub fn set_plan(&self, plan: impl FnMut(&Seen) -> Act + Send + 'static) {
        *self.shared.plan.lock() = Box::new(plan);
    }

    /// Returns the requests that it ran.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().clone()
    }

    /// Returns the requests that it refused without running them.
    pub fn refused(&self) -> Vec<Seen> {
        self.shared.refused.lock().clone()
    }

    /// Returns how often it ran the request with this id.
    pub fn runs(&self, id: &str) -> usize {
        self.shared.seen.lock().iter().filter(|seen| seen.id() == id).count()
    }

    /// Returns the ids of the requests whose connection closed while it was at work.
    pub fn left(&self) -> Vec<String> {
        self.shared.left.lock().iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns the same with the times.
    pub fn left_at(&self) -> Vec<(String, Instant)> {
        self.shared.left.lock().clone()
    }

    /// Returns how many connections it accepted.
    pub fn connections(&self) -> u32 {
        *self.shared.connections.lock()
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buffer = Vec::new();
    while let Some(seen) = read(&mut stream, &mut buffer).await {
        let act = (shared.plan.lock())(&seen);
        let refusal = match act {
            Act::Shed => Some(("503 Service Unavailable\r\nNot-Executed: 1", "")),
            Act::ShedWith(rest) => Some(("503 Service Unavailable\r\nNot-Executed: 1", rest)),
            Act::Misdirect => Some(("421 Misdirected Request\r\nInstance-Id: i-other", "")),
            _ => None,
        };
        if let Some((head, rest)) = refusal {
            let id = seen.id();
            shared.refused.lock().push(seen.clone());
            let text =
                format!("HTTP/1.1 {head}\r\nAttempt-Id: {id}\r\n{rest}Content-Length: 0\r\n\r\n");
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        shared.seen.lock().push(seen.clone());
        if !answer(&mut stream, &shared, act, &seen).await {
            return;
        }
    }
}

/// Answers one request; returns false if the connection ends.
async fn answer(stream: &mut TcpStream, shared: &Shared, act: Act, seen: &Seen) -> bool {
    let id = seen.id().to_owned();
    let body = format!("{} by {}", seen.first_line, shared.id);
    let signature = format!("Upstream-Signature: sig-{}\r\n", shared.id);
    let head = |status: &str, id: &str, signature: &str, rest: &str| {
        format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{signature}{rest}\r\n")
    };
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = match act {
        Act::ServeAfter(millis) => {
            let mut byte = [0];
            let wait = Duration::from_millis(millis);
            if time::timeout(wait, stream.read(&mut byte)).await.is_ok() {
                shared.left.lock().push((id, Instant::now()));
                return false;
            }
            head("200 OK", &id, &signature, &length) + &body
        }
        Act::Serve => head("200 OK", &id, &signature, &length) + &body,
        Act::ServeWith(rest) => head("200 OK", &id, &signature, &(length + rest)) + &body,
        Act::ServeTwice => {
            let one = head("200 OK", &id, &signature, &length) + &body;
            one.clone() + &one
        }
        Act::ServeChunked => {
            let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            head("200 OK", &id, &signature, "Transfer-Encoding: chunked\r\n") + &chunk
        }
        Act::ServeAndClose => {
            let rest = format!("{length}Connection: close\r\n");
            let text = head("200 OK", &id, &signature, &rest) + &body;
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Act::ServeUnframed => {
            let text = head("200 OK", &id, &signature, "") + &body;
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Act::ServeLong => {
            let rest = format!("Content-Length: {LONG_BYTES}\r\n");
            head("200 OK", &id, &signature, &rest) + &"x".repeat(LONG_BYTES)
        }
        Act::ServeBytes(length) => {
            let rest = format!("Content-Length: {length}\r\n");
            head("200 OK", &id, &signature, &rest) + &"x".repeat(length)
        }
        Act::CutLong => {
            let rest = format!("Content-Length: {LONG_BYTES}\r\n");
            let text = head("200 OK", &id, &signature, &rest) + &"x".repeat(LONG_BYTES / 2);
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Act::StallLong => {
            let rest = format!("Content-Length: {LONG_BYTES}\r\n");
            let text = head("200 OK", &id, &signature, &rest) + &"x".repeat(LONG_BYTES / 2);
            let mut byte = [0];
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = stream.read(&mut byte).await;
            shared.left.lock().push((id, Instant::now()));
            return false;
        }
        Act::RefuseAnother { status, id_header } => {
            format!("HTTP/1.1 {status}\r\n{id_header}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        }
        Act::BreakOff(text) => {
            let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
            return false;
        }
        Act::Fail => head("500 Internal Server Error", &id, &signature, &length) + &body,
        Act::WrongId => head("200 OK", "another", &signature, &length) + &body,
        Act::Unsigned => head("200 OK", &id, "", &length) + &body,
        Act::Garbage => "\u{1}\u{2} this is no answer\r\n\r\n".to_owned(),
        Act::Hang => {
            let mut byte = [0];
            let _ = stream.read(&mut byte).await;
            shared.left.lock().push((id, Instant::now()));
            return false;
        }
        Act::Reset => {
            reset(stream);
            return false;
        }
        Act::CutBody => {
            let rest = format!("Content-Length: {}\r\n", body.len() + 100);
            let text = head("200 OK", &id, &signature, &rest) + &body;
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Act::ResetUnframed => {
            let text = head("200 OK", &id, &signature, "") + &body;
            let _ = stream.write_all(text.as_bytes()).await;
            time::sleep(Duration::from_millis(50)).await;
            reset(stream);
            return false;
        }
        Act::Endless { start, repeat } => {
            let start = start.replace("{id}", &id);
            let repeat = repeat.repeat(ENDLESS_WRITE_BYTES.div_ceil(repeat.len()));
            let mut written = stream.write_all(start.as_bytes()).await;
            while written.is_ok() {
                written = stream.write_all(repeat.as_bytes()).await;
            }
            shared.left.lock().push((id, Instant::now()));
            return false;
        }
        Act::Shed | Act::ShedWith(_) | Act::Misdirect => {
            unreachable!("answered before the request runs")
        }
    };
    stream.write_all(text.as_bytes()).await.is_ok()
}

/// Makes the connection end with a reset.
fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
        log::warn!("a connection ends without a reset: {error}");
    }
}

/// Reads one request; returns `None` when the connection ends.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or_default().to_owned();
            let pairs = lines.filter_map(|line| line.split_once(':'));
            let headers: BTreeMap<String, String> =
                pairs.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned())).collect();
            let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            buffer.drain(..end + 4);
            let body = read_body(stream, buffer, length).await?;
            return Some(Seen { at: Instant::now(), first_line, headers, body });
        }
        receive(stream, buffer).await?;
    }
}

/// Reads a body of `length` bytes, of which the first [`KEPT_BODY_BYTES`] are kept.
async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<String> {
    let mut left = length;
    let mut kept = Vec::new();
    while left > 0 {
        let count = left.min(buffer.len());
        let room = KEPT_BODY_BYTES - kept.len();
        kept.extend_from_slice(&buffer[..count.min(room)]);
        buffer.drain(..count);
        left -= count;
        if left > 0 {
            receive(stream, buffer).await?;
        }
    }
    Some(String::from_utf8_lossy(&kept).into_owned())
}

/// Appends what comes next; returns `None` when the connection ends.
async fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 4096];
    match stream.read(&mut part).await {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&part[..count]);
            Some(())
        }
        _ => None,
    }
}
