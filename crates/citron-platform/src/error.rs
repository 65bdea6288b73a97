//! What can go wrong at the object API.

use std::fmt::{self, Display, Formatter};

use crate::{VALUE_LIMIT_BYTES, Version};

/// A call without a usable result.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Error {
    /// The write's condition did not hold; nothing changed.
    Conflict {
        /// The object's version now, or `None` if it does not exist.
        current: Option<Version>,
    },
    /// The value exceeds what the platform holds; nothing changed.
    TooLarge {
        /// The value's length, bytes.
        bytes: usize,
    },
    /// The platform gave no answer and nothing took effect: the call was a read or was not sent.
    Unreachable {
        /// What was seen.
        reason: String,
    },
    /// The platform gave no answer to a write, which may have taken effect.
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The platform refused the call, or the call cannot be made; nothing changed.
    Refused {
        /// The status of the answer, or `None` if the call was not made.
        status: Option<u16>,
        /// What was seen.
        reason: String,
    },
    /// The answer to a read cannot be understood.
    Malformed {
        /// What was seen.
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
