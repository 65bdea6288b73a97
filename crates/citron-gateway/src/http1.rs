//! The server side of HTTP/1.1: pipelined requests are read ahead and responded to in order.
//!
//! The heads are parsed by `httparse`. Hyper's server is not suitable: it reads a pipelined request
//! only after it has sent the previous response, and does not notice that a caller disconnects while
//! pipelined bytes are unread.

mod body;
mod head;
mod response;
mod segments;

pub use self::{
    body::BodyDecoder,
    head::{Head, Length, parse},
    response::{BodyStream, Response, write_head},
    segments::{Segments, Sending},
};

use strum::{Display, IntoStaticStr};

/// Why a caller's request cannot be parsed.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ParseError {
    /// The head is not HTTP, or its framing is ambiguous.
    Malformed,
    /// The head is longer than the limit.
    HeadTooLong,
    /// The body is longer than the limit.
    BodyTooLong,
}

impl ParseError {
    /// Returns the status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
        }
    }
}
