//! Requesters that keep their channels, and what they saw.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// A request as its requester saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub tenant: String,
    pub front: SocketAddr,
    pub sent: Instant,
    pub answered: Instant,
    /// The status, 0 if the channel ended without an answer.
    pub status: u16,
    /// The reason that the gateway named, if it answered by itself.
    pub reason: String,
}

/// One kept channel to a gateway.
pub struct Caller {
    front: SocketAddr,
    channel: Option<(TcpStream, BufReader<TcpStream>)>,
}

/// A request to be sent.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub tenant: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let Self { method, path, host, id, key, deadline, body, .. } = self;
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Remaining-Ms: {}\r\n",
            deadline.as_millis()
        );
        if !key.is_empty() {
            out += &format!("Api-Key: {key}\r\n");
        }
        if !body.is_empty() {
            out += &format!("Content-Length: {}\r\n", body.len());
        }
        out += "\r\n";
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        out
    }
}

impl Caller {
    pub fn new(front: SocketAddr) -> Self {
        Self { front, channel: None }
    }

    /// Opens the channel if it is not open.
    pub fn open(&mut self) -> io::Result<()> {
        if self.channel.is_none() {
            let stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.channel = Some((stream.try_clone()?, BufReader::new(stream)));
        }
        Ok(())
    }

    /// Sends a request and waits for its answer.
    pub fn call(&mut self, request: &Request<'_>) -> Seen {
        let mut sent = Instant::now();
        let answer = self.open().and_then(|()| {
            sent = Instant::now();
            self.exchange(request)
        });
        let answer = match answer {
            Ok(Some(answer)) => answer,
            _ => {
                self.channel = None;
                Message::default()
            }
        };
        if answer.header("connection").is_some_and(|value| value.contains("close")) {
            self.channel = None;
        }
        let text = |name: &str| answer.header(name).unwrap_or("-").to_owned();
        Seen {
            id: request.id.to_owned(),
            tenant: request.tenant.to_owned(),
            front: self.front,
            sent,
            answered: Instant::now(),
            status: answer.status(),
            reason: text("citron-reason"),
        }
    }

    fn exchange(&mut self, request: &Request<'_>) -> io::Result<Option<Message>> {
        let (stream, reader) = self.channel.as_mut().expect("an open channel");
        stream.set_read_timeout(Some(request.deadline + Duration::from_secs(2)))?;
        stream.write_all(&request.encode())?;
        http::read(reader)
    }
}
