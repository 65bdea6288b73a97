//! A caller over a raw socket.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(8);

/// One connection of a caller.
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// What came back.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
    /// Whether the body was whole by its own framing.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

impl Caller {
    pub async fn connect(addr: SocketAddr) -> Self {
        Self { stream: TcpStream::connect(addr).await.expect("a connection"), buffer: Vec::new() }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("a written request");
    }

    /// Reads the next answer.
    pub async fn answer(&mut self) -> Answer {
        time::timeout(PATIENCE, self.read_answer()).await.expect("an answer in time")
    }

    /// Returns true if the gateway closes the connection without another byte.
    pub async fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let read = time::timeout(PATIENCE, self.stream.read(&mut byte)).await;
        self.buffer.is_empty() && matches!(read.expect("an end in time"), Ok(0) | Err(_))
    }

    async fn read_answer(&mut self) -> Answer {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            assert!(self.fill().await, "the connection ended before an answer: {:?}", self.buffer);
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers: BTreeMap<String, String> =
            pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
        if status == 100 {
            return Answer { status, headers, body: String::new(), whole: true };
        }
        let (body, whole) = match headers.get("content-length") {
            Some(length) => self.read_bytes(length.parse().expect("a length")).await,
            None if headers.contains_key("transfer-encoding") => self.read_chunks().await,
            None => (Vec::new(), true),
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Answer { status, headers, body, whole }
    }

    async fn read_bytes(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.buffer.len() < length {
            if !self.fill().await {
                return (std::mem::take(&mut self.buffer), false);
            }
        }
        (self.buffer.drain(..length).collect(), true)
    }

    async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                if !self.fill().await {
                    return (body, false);
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let size = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(&size, 16).expect("a chunk's size");
            let (part, whole) = self.read_bytes(size + 2).await;
            if !whole {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&part[..size]);
        }
    }

    async fn fill(&mut self) -> bool {
        let mut part = [0; 4096];
        match self.stream.read(&mut part).await {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&part[..count]);
                true
            }
            _ => false,
        }
    }
}
