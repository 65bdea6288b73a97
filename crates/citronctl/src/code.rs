//! Exit codes, which scripts rely on.

use std::process::ExitCode;

use strum::{Display, EnumIter};

/// How a command ended.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// Done; for `diff`, the lists are equal.
    Done = 0,
    /// `diff` found differences.
    Different = 1,
    /// A flag, variable or argument is missing or not valid; nothing was sent.
    Usage = 2,
    /// The lists do not pass their checks, or a file cannot be read; nothing was sent.
    BadLists = 3,
    /// The edit was refused; it did not and cannot take effect.
    Refused = 4,
    /// The platform or a host did not respond; nothing took effect.
    Unreachable = 5,
    /// The response to the write was lost; `status --edit` shows later whether it took effect.
    Undecided = 6,
    /// Something else failed; the message says what.
    Failed = 7,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
