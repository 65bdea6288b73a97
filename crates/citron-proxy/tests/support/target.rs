//! A target on raw TCP that follows a test's script.

use std::{net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
};

use super::caller::dechunk;

/// A request as a target received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The number of its connection at the target, from 0.
    pub connection: usize,
    /// Its number among the target's requests, from 0.
    pub index: usize,
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the announced length, or its last chunk.
    pub complete: bool,
}

/// A step of a target's response to a request; `{id}` in a text stands for the id of the request.
#[derive(Clone)]
pub enum Action {
    Write(String),
    Bytes(Vec<u8>),
    Wait(Arc<Notify>),
    /// Closes the connection.
    Close,
    /// Neither responds nor closes the connection; notifies when the proxy closes it.
    Hang(Arc<Notify>),
    /// Writes the text again and again; notifies when the proxy closes the connection.
    Repeat(&'static str, Arc<Notify>),
}

/// The least bytes that [`Action::Repeat`] writes at once.
const REPEAT_WRITE_BYTES: usize = 16 * 1024;

pub type Script = Arc<dyn Fn(&ReceivedRequest) -> Vec<Action> + Send + Sync>;

/// Returns the action that writes a complete response with the id of the request.
pub fn respond(status: &str, headers: &str, body: &str) -> Action {
    Action::Write(format!(
        "HTTP/1.1 {status}\r\ncitron-request-id: {{id}}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub struct Target {
    pub addr: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<Mutex<usize>>,
    task: JoinHandle<()>,
}

impl Target {
    pub async fn spawn(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("address");
        let received: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let connections: Arc<Mutex<usize>> = Arc::default();
        let (log, count) = (Arc::clone(&received), Arc::clone(&connections));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = *count.lock();
                *count.lock() += 1;
                tokio::spawn(serve(stream, connection, Arc::clone(&log), Arc::clone(&script)));
            }
        });
        Self { addr, received, connections, task }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().clone()
    }

    pub fn connections(&self) -> usize {
        *self.connections.lock()
    }

    /// Stops accepting; the address refuses connections from then on.
    pub async fn stop(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.all(name).first().copied()
    }

    pub fn all(&self, name: &str) -> Vec<&str> {
        let matches = self.headers.iter().filter(|(given, _)| given == name);
        matches.map(|(_, value)| value.as_str()).collect()
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    log: Arc<Mutex<Vec<ReceivedRequest>>>,
    script: Script,
) {
    let mut buffer = Vec::new();
    while let Some(mut received) = read(&mut stream, &mut buffer, connection).await {
        received.index = log.lock().len();
        log.lock().push(received.clone());
        let id = received.header("citron-request-id").unwrap_or("none").to_owned();
        for action in script(&received) {
            match action {
                Action::Write(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Action::Bytes(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Action::Wait(notify) => notify.notified().await,
                Action::Close => return,
                Action::Repeat(text, ended) => {
                    let text = text.repeat(REPEAT_WRITE_BYTES.div_ceil(text.len()));
                    while stream.write_all(text.as_bytes()).await.is_ok() {}
                    ended.notify_one();
                    return;
                }
                Action::Hang(ended) => {
                    while matches!(stream.read(&mut [0; 1024]).await, Ok(1..)) {}
                    ended.notify_one();
                    return;
                }
            }
        }
    }
}

/// Reads one request, or returns `None` when the connection has ended.
async fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    connection: usize,
) -> Option<ReceivedRequest> {
    let split = loop {
        if let Some(split) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break split;
        }
        more(stream, buffer).await.then_some(())?;
    };
    let head = String::from_utf8_lossy(&buffer[..split]).into_owned();
    buffer.drain(..split + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut received =
        ReceivedRequest { connection, index: 0, line, headers, body: vec![], complete: true };
    if received.header("transfer-encoding") == Some("chunked") {
        loop {
            (received.body, received.complete) = dechunk(buffer);
            if received.complete || !more(stream, buffer).await {
                break;
            }
        }
        buffer.clear();
    } else if let Some(length) = received.header("content-length") {
        let length = length.parse().expect("a length is a number");
        while buffer.len() < length && more(stream, buffer).await {}
        received.complete = buffer.len() >= length;
        received.body = buffer.drain(..buffer.len().min(length)).collect();
    }
    Some(received)
}

async fn more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 65536];
    match stream.read(&mut chunk).await {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&chunk[..count]);
            true
        }
        _ => false,
    }
}
