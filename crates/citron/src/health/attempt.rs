//! How an attempt at a target ended.

use std::{sync::Arc, time::Duration};

use strum::Display;

/// How an attempt ended, as far as the target's health is concerned.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptEnd {
    /// The target answered after this time.
    Answered(Duration),
    /// The target answered that it failed.
    Error,
    /// No answer came in time.
    TimedOut,
    /// The answer belonged to another request or was malformed.
    Foreign,
    /// The target refused the request because of its load.
    Shed,
    /// No connection could be made.
    ConnectFailed,
    /// The caller went away; nothing follows for the target.
    Cancelled,
}

/// An attempt in flight; handed back to the observer when the attempt ends.
#[derive(Debug)]
pub struct Ticket {
    pub(super) service: Arc<str>,
    pub(super) target: Arc<str>,
    pub(super) id: u64,
}
