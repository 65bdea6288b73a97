//! The small part of HTTP/1.1 that the stand-ins speak.

use std::{
    collections::BTreeMap,
    io::{self, Read},
    net::TcpStream,
};

/// The head of a request or a response.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request line or the status line.
    pub first: String,
    /// The headers, by lowercase names.
    pub headers: BTreeMap<String, String>,
}

/// A connection with the bytes that were read ahead.
pub struct Reader {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Head {
    /// Returns a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the stated length of the body, 0 if there is none.
    pub fn length(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }
}

impl Reader {
    /// Reads from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads a head; `None` if the connection ends before it begins.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let pairs = lines.filter_map(|line| line.split_once(':'));
                let headers = pairs
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ended()) };
            }
        }
    }

    /// Reads a body, framed by its length or in chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            return self.bytes(head.length());
        }
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let part = self.bytes(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&part[..size]);
        }
    }

    /// Reads and drops `count` bytes.
    pub fn skip(&mut self, mut count: usize) -> io::Result<()> {
        while count > 0 {
            if self.buffer.is_empty() && !self.fill()? {
                return Err(ended());
            }
            let part = count.min(self.buffer.len());
            self.buffer.drain(..part);
            count -= part;
        }
        Ok(())
    }

    /// Reads at most `count` bytes and drops them; returns how many there were.
    pub fn read_some(&mut self, count: usize) -> io::Result<usize> {
        if !self.buffer.is_empty() {
            let part = count.min(self.buffer.len());
            self.buffer.drain(..part);
            return Ok(part);
        }
        let mut part = vec![0; count];
        match self.stream.read(&mut part)? {
            0 => Err(ended()),
            read => Ok(read),
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(ended());
            }
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(ended());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 65_536];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}
