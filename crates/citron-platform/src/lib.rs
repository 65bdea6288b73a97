//! Client of the platform's object API.
//!
//! The client never retries a call by itself, and it distinguishes a write that was not sent from
//! one that may have taken effect, so that the calling code can decide whether to retry.

mod client;
mod error;
mod host;
mod object;

pub use self::{
    client::Client,
    error::Error,
    host::{Host, Hosts, Role, State},
    object::{Change, Changes, Entry, Expect, Object, Version},
};

/// The maximum size of a value that the platform stores, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;
