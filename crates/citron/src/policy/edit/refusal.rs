//! The reasons for which an edit is refused.

use std::fmt::{self, Display, Formatter};

use crate::policy::{self, SHARD_LIMIT_BYTES};

/// The maximum length of a holder's name, in bytes.
const HOLDER_LIMIT_BYTES: usize = 64;

/// The reason for which an edit did not take effect and cannot.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Refusal {
    /// The author does not hold the edit right.
    NotHolder {
        /// The edit's author.
        author: String,
        /// The operator who holds it.
        holder: String,
        /// The current term, which started when the holder received the right.
        term: u64,
    },
    /// The edit right was handed over since the edit started; the author holds it again.
    TermChanged {
        /// The term in which the edit started.
        initial: u64,
        /// The current term.
        term: u64,
    },
    /// The head is not at the edit's base revision: another edit was accepted first, and this one
    /// would revert it.
    StaleBase {
        /// The revision that the edit was to replace.
        base: u64,
        /// The current revision, 0 if there is no policy.
        revision: u64,
    },
    /// There is no policy yet.
    NoPolicy,
    /// The author would hand the edit right over to itself.
    SameHolder {
        /// The holder.
        holder: String,
    },
    /// A holder's name is not valid.
    InvalidHolder {
        /// The name.
        name: String,
    },
    /// The lists do not pass their checks.
    InvalidLists(policy::Error),
    /// A shard of the lists exceeds the platform's limit for a value.
    ShardTooLarge {
        /// The shard's key.
        key: String,
        /// Its length in bytes.
        bytes: usize,
    },
}

impl Display for Refusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotHolder { author, holder, term } => write!(
                f,
                "{author} does not hold the final say; {holder} holds it since term {term} and can hand it over"
            ),
            Self::TermChanged { initial, term } => write!(
                f,
                "the final say was handed over meanwhile, from term {initial} to {term}; compare the lists and apply again"
            ),
            Self::StaleBase { base, revision } => write!(
                f,
                "the policy is at revision {revision}, not at {base}; run diff, take the other edit into the lists and apply again"
            ),
            Self::NoPolicy => f.write_str("there is no policy yet; apply the first lists"),
            Self::SameHolder { holder } => {
                write!(f, "{holder} already holds the final say; name another holder")
            }
            Self::InvalidHolder { name } => write!(
                f,
                "the holder's name {name:?} is not valid; use 1 to {HOLDER_LIMIT_BYTES} letters, digits, '-', '_' or '.'"
            ),
            Self::InvalidLists(error) => error.fmt(f),
            Self::ShardTooLarge { key, bytes } => write!(
                f,
                "the part {key} of the lists has {bytes} bytes and the platform holds {SHARD_LIMIT_BYTES}; shorten it"
            ),
        }
    }
}

impl std::error::Error for Refusal {}

/// Checks the name of a holder.
pub(super) fn check_holder(name: &str) -> Result<(), Refusal> {
    let valid = !name.is_empty()
        && name.len() <= HOLDER_LIMIT_BYTES
        && name.chars().all(|c| c.is_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if valid { Ok(()) } else { Err(Refusal::InvalidHolder { name: name.to_owned() }) }
}
