//! Decodes the body of a caller's request.

use bytes::{Buf, BytesMut};

use super::{
    Length, ParseError,
    segments::{Growing, Segments},
};

/// The maximum length of a chunk-size line or of a trailer line.
const MAX_LINE_BYTES: usize = 4096;

/// Decodes one body from the bytes received on a connection.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    limit: u64,
    collected: Growing,
}

#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum State {
    Fixed(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Done,
}

impl BodyDecoder {
    /// Creates a decoder for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails if the declared length exceeds the limit.
    pub fn new(length: Length, limit: u64) -> Result<Self, ParseError> {
        let state = match length {
            Length::Known(0) => State::Done,
            Length::Known(bytes) if bytes > limit => return Err(ParseError::BodyTooLong),
            Length::Known(bytes) => State::Fixed(bytes),
            Length::Chunked => State::ChunkSize,
        };
        let capacity = match length {
            Length::Known(bytes) => bytes as usize,
            Length::Chunked => 0,
        };
        Ok(Self { state, limit, collected: Growing::with_capacity(capacity) })
    }

    /// Returns how many bytes of memory the body has after `more` bytes.
    pub fn memory_after(&self, more: usize) -> usize {
        self.collected.memory_after(more)
    }

    /// Consumes the bytes of the body at the front of `buffer`; returns the body once it is complete.
    ///
    /// # Errors
    /// Fails if the framing is malformed or the body exceeds the limit.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Segments>, ParseError> {
        loop {
            match self.state {
                State::Done => return Ok(Some(self.collected.finish())),
                State::Fixed(left) | State::ChunkData(left) => {
                    if buffer.is_empty() {
                        return Ok(None);
                    }
                    self.collect(buffer, left);
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(ParseError::Malformed);
                    }
                    self.state = State::ChunkSize;
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    let size = chunk_size(&line)?;
                    if size > self.limit.saturating_sub(self.collected.len()) {
                        return Err(ParseError::BodyTooLong);
                    }
                    self.state = if size == 0 { State::Trailer } else { State::ChunkData(size) };
                }
                State::Trailer => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    fn collect(&mut self, buffer: &mut BytesMut, left: u64) {
        let count = left.min(buffer.len() as u64);
        self.collected.extend(&buffer[..count as usize]);
        buffer.advance(count as usize);
        let rest = left - count;
        self.state = match self.state {
            State::Fixed(_) if rest == 0 => State::Done,
            State::Fixed(_) => State::Fixed(rest),
            _ if rest == 0 => State::ChunkEnd,
            _ => State::ChunkData(rest),
        };
        assert!(self.collected.len() <= self.limit, "a body must stay within its limit");
    }
}

/// Removes the first line from `buffer`, without its line ending, once it is complete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, ParseError> {
    let Some(end) = buffer.iter().position(|&byte| byte == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES { Err(ParseError::Malformed) } else { Ok(None) };
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(ParseError::Malformed);
    }
    let mut line = buffer.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(ParseError::Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| ParseError::Malformed)
}
