//! A requester with one kept channel.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Reader, world::World};

/// A request as a requester sends it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id of the attempt.
    pub id: String,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// How long the requester waits.
    pub deadline: Duration,
    /// The length of the body.
    pub body_bytes: usize,
}

/// How long a requester waits for the next byte of an answer.
const READ_LIMIT: Duration = Duration::from_secs(6);

/// The result of reading an answer: its status and length, or the error and the bytes before it.
pub type SlowRead = Result<(u16, usize), (io::Error, usize)>;

/// An open channel.
pub struct Channel {
    reader: Reader,
}

impl Request {
    fn head(&self) -> String {
        let Self { id, method, path, deadline, body_bytes } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {id}\r\nDeadline-Remaining-Ms: {}\r\nContent-Length: {body_bytes}\r\n\r\n",
            deadline.as_millis()
        )
    }
}

impl Channel {
    /// Opens a channel.
    pub fn open(front: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: Reader::new(stream) })
    }

    /// Sends requests, one behind the other, without waiting for an answer.
    pub fn send(&mut self, requests: &[Request]) -> io::Result<()> {
        for request in requests {
            let mut bytes = request.head().into_bytes();
            bytes.resize(bytes.len() + request.body_bytes, b'y');
            self.reader.stream.write_all(&bytes)?;
        }
        Ok(())
    }

    /// Sends one request, its body at so many bytes a second.
    pub fn send_slowly(&mut self, request: &Request, bytes_per_s: usize) -> io::Result<()> {
        const PARTS_PER_S: usize = 20;
        self.reader.stream.write_all(request.head().as_bytes())?;
        let part = vec![b'y'; bytes_per_s / PARTS_PER_S];
        let (start, mut sent, mut parts) = (Instant::now(), 0, 0);
        while sent < request.body_bytes {
            let count = part.len().min(request.body_bytes - sent);
            self.reader.stream.write_all(&part[..count])?;
            sent += count;
            parts += 1;
            let next = start + Duration::from_secs(1) * parts / PARTS_PER_S as u32;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        Ok(())
    }

    /// Reads the next answer, so many bytes of its body at each interval; calls `in_the_middle` once
    /// half of the body was read, unless the answer closes the channel.
    pub fn read_slowly(
        &mut self,
        bytes: usize,
        interval: Duration,
        in_the_middle: impl FnOnce(&mut Self) -> io::Result<()>,
    ) -> SlowRead {
        let none = |error| (error, 0);
        self.reader.stream.set_read_timeout(Some(READ_LIMIT)).map_err(none)?;
        let head = self.reader.head().map_err(none)?;
        let head = head.ok_or((io::ErrorKind::UnexpectedEof.into(), 0))?;
        let (length, mut read) = (head.length(), 0);
        let closes = head.get("connection").eq_ignore_ascii_case("close");
        let mut in_the_middle = Some(in_the_middle).filter(|_| !closes);
        while read < length {
            let part = bytes.min(length - read);
            read += self.reader.read_some(part).map_err(|error| (error, read))?;
            if read >= length / 2 {
                if let Some(act) = in_the_middle.take() {
                    act(self).map_err(|error| (error, read))?;
                }
            }
            thread::sleep(interval);
        }
        Ok((head.status(), read))
    }

    /// Reads the next answer within `limit`: its status and the length of its body. Fails if the
    /// channel ends or nothing comes.
    pub fn answer(&mut self, limit: Duration) -> io::Result<(u16, String, usize)> {
        self.reader.stream.set_read_timeout(Some(limit))?;
        let head = self.reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = self.reader.body(&head)?;
        Ok((head.status(), head.get("attempt-id").to_owned(), body.len()))
    }
}

/// Sends a request to `path` every 0.1 s for `span`, each over a channel of its own; returns how
/// many were served and how many were refused with 404.
pub fn probe(world: &World, path: &str, span: Duration) -> (u32, u32) {
    const INTERVAL: Duration = Duration::from_millis(100);
    const DEADLINE: Duration = Duration::from_secs(2);
    let end = Instant::now() + span;
    let (mut served, mut refused) = (0, 0);
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = format!("probe-{n}");
        let request = Request {
            id: id.clone(),
            method: "GET",
            path: path.to_owned(),
            deadline: DEADLINE,
            body_bytes: 0,
        };
        let answer = Channel::open(world.gateway.front()).and_then(|mut channel| {
            channel.send(&[request])?;
            channel.answer(DEADLINE * 2)
        });
        match answer {
            Ok((status, _, _)) => {
                world.record.line(&format!("answer to {id} for {path} is {status}"));
                served += u32::from(status == 200);
                refused += u32::from(status == 404);
            }
            Err(error) => world.record.line(&format!("no answer to {id}: {error}")),
        }
        thread::sleep(INTERVAL);
    }
    (served, refused)
}
