//! Errors of calls to the object API.

use std::fmt::{self, Display, Formatter};

use crate::{VALUE_LIMIT_BYTES, Version};

/// Why a call has no usable result.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Error {
    /// The write's precondition did not hold; nothing changed.
    Conflict {
        /// The object's current version, or `None` if it does not exist.
        current: Option<Version>,
    },
    /// The value exceeds [`VALUE_LIMIT_BYTES`]; nothing changed.
    TooLarge {
        /// The value's length in bytes.
        bytes: usize,
    },
    /// The platform did not respond and nothing took effect: the call was a read or was not sent.
    Unreachable {
        /// The underlying error, or what the platform returned.
        reason: String,
    },
    /// The platform did not confirm a write, which may have taken effect.
    Unknown {
        /// The underlying error, or what the platform returned.
        reason: String,
    },
    /// The platform refused the call, or the call cannot be made; nothing changed.
    Refused {
        /// The status of the response, or `None` if the call was not made.
        status: Option<u16>,
        /// The underlying error, or what the platform returned.
        reason: String,
    },
    /// The response to a read cannot be parsed.
    Malformed {
        /// The underlying error, or what the platform returned.
        reason: String,
    },
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current: Some(version) } => {
                write!(f, "the object has changed and is at version {version}")
            }
            Self::Conflict { current: None } => f.write_str("the object does not exist"),
            Self::TooLarge { bytes } => write!(
                f,
                "the value of {bytes} bytes is too large; the platform holds {VALUE_LIMIT_BYTES}"
            ),
            Self::Unreachable { reason } => write!(f, "the platform gave no answer: {reason}"),
            Self::Unknown { reason } => {
                write!(f, "the write may have taken effect, its answer is missing: {reason}")
            }
            Self::Refused { status: Some(status), reason } => {
                write!(f, "the platform refused the call with status {status}: {reason}")
            }
            Self::Refused { status: None, reason } => {
                write!(f, "the call cannot be made: {reason}")
            }
            Self::Malformed { reason } => {
                write!(f, "the platform's answer cannot be understood: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}
