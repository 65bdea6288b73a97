//! A caller over a raw socket.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(8);

/// One connection of a caller.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// What came back.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers, by lowercase names.
    pub headers: BTreeMap<String, String>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body was whole by its own framing.
    pub whole: bool,
}

/// Why no answer came.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum End {
    /// The connection ended before the head of an answer was whole.
    Closed,
    /// Nothing came in time.
    Silent,
    /// Bytes came that are no answer.
    Unreadable,
}

impl Answer {
    /// Returns a header by its lowercase name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

impl Caller {
    /// Connects to a gateway.
    ///
    /// # Errors
    /// Fails if the gateway does not accept the connection.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self { stream: TcpStream::connect(addr).await?, buffer: Vec::new() })
    }

    /// Connects to a gateway that must accept the connection.
    pub async fn connect(addr: SocketAddr) -> Self {
        Self::open(addr).await.expect("a connection")
    }

    /// Sends bytes that must be taken.
    pub async fn send(&mut self, text: &str) {
        self.try_send(text).await.expect("a written request");
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// Fails if the connection has ended.
    pub async fn try_send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Reads the next answer, which must come.
    pub async fn answer(&mut self) -> Answer {
        let answer = self.try_answer(PATIENCE).await;
        answer.unwrap_or_else(|end| panic!("no answer: {end:?}, {:?}", self.buffer))
    }

    /// Reads the next answer within `limit`.
    ///
    /// # Errors
    /// Fails if none comes.
    pub async fn try_answer(&mut self, limit: Duration) -> Result<Answer, End> {
        time::timeout(limit, self.read_answer()).await.unwrap_or(Err(End::Silent))
    }

    /// Returns true if the gateway closes the connection without another byte.
    pub async fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let read = time::timeout(PATIENCE, self.stream.read(&mut byte)).await;
        self.buffer.is_empty() && matches!(read.expect("an end in time"), Ok(0) | Err(_))
    }

    async fn read_answer(&mut self) -> Result<Answer, End> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.fill().await {
                return Err(End::Closed);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default();
        let status = first.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
        let status = status.ok_or(End::Unreadable)?;
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers: BTreeMap<String, String> =
            pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
        if status == 100 {
            return Ok(Answer { status, headers, body: String::new(), whole: true });
        }
        let (body, whole) = match headers.get("content-length") {
            Some(length) => self.read_bytes(length.parse().map_err(|_| End::Unreadable)?).await,
            None if headers.contains_key("transfer-encoding") => self.read_chunks().await?,
            None => (Vec::new(), true),
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(Answer { status, headers, body, whole })
    }

    async fn read_bytes(&mut self, length: usize) -> (Vec<u8>, bool) {
        while self.buffer.len() < length {
            if !self.fill().await {
                return (std::mem::take(&mut self.buffer), false);
            }
        }
        (self.buffer.drain(..length).collect(), true)
    }

    async fn read_chunks(&mut self) -> Result<(Vec<u8>, bool), End> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                if !self.fill().await {
                    return Ok((body, false));
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let size = String::from_utf8_lossy(&line[..end]).into_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| End::Unreadable)?;
            let (part, whole) = self.read_bytes(size + 2).await;
            if !whole {
                return Ok((body, false));
            }
            if size == 0 {
                return Ok((body, true));
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
