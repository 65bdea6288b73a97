//! Client of the platform's object API.
//!
//! The client never repeats a call by itself and tells a write that was not sent from one that may
//! have taken effect, so that its callers can decide what to do.

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

/// The largest value that the platform holds, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1_000_000;
