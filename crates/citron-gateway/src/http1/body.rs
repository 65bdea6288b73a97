//! The body of a caller's request.

use bytes::{Buf, Bytes, BytesMut};

use super::{Fault, Length};

/// The longest line of a chunk's size or of a trailer, in bytes.
const LINE_LIMIT: usize = 4096;

/// Collects one body from the bytes of a connection.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    limit: u64,
    collected: BytesMut,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum State {
    Fixed(u64),
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

impl Decoder {
    /// Creates the decoder of a body of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails if the stated length is over the limit.
    pub fn new(length: Length, limit: u64) -> Result<Self, Fault> {
        let state = match length {
            Length::Known(0) => State::Done,
            Length::Known(bytes) if bytes > limit => return Err(Fault::BodyTooLong),
            Length::Known(bytes) => State::Fixed(bytes),
            Length::Chunked => State::Size,
        };
        Ok(Self { state, limit, collected: BytesMut::new() })
    }

    /// Takes what belongs to the body from the front of `buffer`; returns the body once whole.
    ///
    /// # Errors
    /// Fails if the framing is broken or the body is over the limit.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
        loop {
            match self.state {
                State::Done => return Ok(Some(self.collected.split().freeze())),
                State::Fixed(left) | State::Chunk(left) => {
                    if buffer.is_empty() {
                        return Ok(None);
                    }
                    self.collect(buffer, left);
                }
                State::ChunkEnd => {
                    let Some(line) = line(buffer)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(Fault::Malformed);
                    }
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = line(buffer)? else { return Ok(None) };
                    let size = chunk_size(&line)?;
                    if self.collected.len() as u64 + size > self.limit {
                        return Err(Fault::BodyTooLong);
                    }
                    self.state = if size == 0 { State::Trailer } else { State::Chunk(size) };
                }
                State::Trailer => {
                    let Some(line) = line(buffer)? else { return Ok(None) };
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    fn collect(&mut self, buffer: &mut BytesMut, left: u64) {
        let count = left.min(buffer.len() as u64);
        self.collected.extend_from_slice(&buffer[..count as usize]);
        buffer.advance(count as usize);
        let rest = left - count;
        self.state = match self.state {
            State::Fixed(_) if rest == 0 => State::Done,
            State::Fixed(_) => State::Fixed(rest),
            _ if rest == 0 => State::ChunkEnd,
            _ => State::Chunk(rest),
        };
        assert!(self.collected.len() as u64 <= self.limit, "a body must stay within its limit");
    }
}

fn line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Fault> {
    let Some(end) = buffer.iter().position(|&byte| byte == b'\n') else {
        return if buffer.len() > LINE_LIMIT { Err(Fault::Malformed) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(Fault::Malformed);
    }
    let mut line = buffer.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, Fault> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| Fault::Malformed)?.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Fault::Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| Fault::Malformed)
}
