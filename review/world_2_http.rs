//! The little HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A request or a response: its first line, its headers and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message with a length; `None` if the channel ended before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            break;
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let reason = if status < 300 { "OK" } else { "Other" };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}
