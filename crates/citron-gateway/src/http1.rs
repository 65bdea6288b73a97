//! HTTP/1.1 as callers speak it: requests are read ahead of the answers, and answered in order.
//!
//! The heads are parsed by `httparse`. Hyper's server does not fit: it reads a pipelined request only
//! after the answer before it, and does not see a caller leave while pipelined bytes wait.

mod body;
mod head;
mod response;

pub use self::{
    body::BodyDecoder,
    head::{Head, Length, parse},
    response::{BodyStream, Response, write_head},
};

use strum::{Display, IntoStaticStr};

/// What is wrong with the bytes of a caller.
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
    /// Returns the status that tells the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLong => 431,
            Self::BodyTooLong => 413,
        }
    }
}
