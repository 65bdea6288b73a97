//! A caller that writes raw bytes and reads the response to its end.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use super::TIMEOUT;

pub struct Caller {
    addr: SocketAddr,
}

/// A response as the caller received it.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the length that the head announced, or its last chunk.
    pub complete: bool,
}

impl Caller {
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("the proxy must accept")
    }

    /// Sends `request` on a connection of its own and reads the response.
    pub async fn call(&self, request: &[u8]) -> Response {
        let mut stream = self.connect().await;
        stream.write_all(request).await.expect("the proxy must read");
        let is_head = request.starts_with(b"HEAD ");
        read_response(&mut stream, is_head).await
    }
}

/// Reads to the end of the response or of the connection.
pub async fn read_response(stream: &mut TcpStream, is_head: bool) -> Response {
    let mut bytes = Vec::new();
    loop {
        if let Some(response) = Response::parse(&bytes, is_head, false) {
            return response;
        }
        let mut chunk = [0; 65536];
        let read = time::timeout(TIMEOUT + Duration::from_secs(10), stream.read(&mut chunk)).await;
        match read.expect("a response must arrive or the connection end") {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => {
                return Response::parse(&bytes, is_head, true).unwrap_or(Response {
                    status: 0,
                    headers: vec![],
                    body: bytes,
                    complete: false,
                });
            }
        }
    }
}

impl Response {
    fn parse(bytes: &[u8], is_head: bool, at_end: bool) -> Option<Self> {
        let split = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&bytes[..split]).expect("the head must be UTF-8");
        let rest = &bytes[split + 4..];
        let mut lines = head.split("\r\n");
        let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
        if status == 100 {
            return Self::parse(rest, is_head, at_end);
        }
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let mut response = Self { status, headers, body: Vec::new(), complete: true };
        if is_head || matches!(status, 204 | 304) {
            return Some(response);
        }
        if response.header("transfer-encoding") == Some("chunked") {
            (response.body, response.complete) = dechunk(rest);
        } else {
            let length: usize = response.header("content-length")?.parse().ok()?;
            response.body = rest[..rest.len().min(length)].to_vec();
            response.complete = rest.len() >= length;
        }
        (response.complete || at_end).then_some(response)
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.all(name).first().copied()
    }

    /// Returns all values of a header.
    pub fn all(&self, name: &str) -> Vec<&str> {
        let matches = self.headers.iter().filter(|(given, _)| given == name);
        matches.map(|(_, value)| value.as_str()).collect()
    }

    pub fn outcome(&self) -> &str {
        self.header("citron-outcome").unwrap_or("none")
    }

    pub fn reason(&self) -> &str {
        self.header("citron-reason").unwrap_or("none")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Decodes chunks; returns the body and whether the last chunk was received.
pub fn dechunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&bytes[..end]).expect("a chunk size must be text");
        let size = usize::from_str_radix(size, 16).expect("a chunk size must be hexadecimal");
        bytes = &bytes[end + 2..];
        if size == 0 {
            return (body, bytes.starts_with(b"\r\n"));
        }
        body.extend_from_slice(&bytes[..bytes.len().min(size)]);
        if bytes.len() < size + 2 {
            return (body, false);
        }
        bytes = &bytes[size + 2..];
    }
    (body, false)
}
