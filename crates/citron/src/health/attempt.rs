//! Attempts as the observer tracks them.

use std::{sync::Arc, time::Duration};

use strum::Display;

/// How an attempt ended, as far as the target's health is concerned.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HealthSignal {
    /// The target responded after this time.
    Answered(Duration),
    /// The target responded with an error.
    Error,
    /// No response arrived in time.
    TimedOut,
    /// The response belonged to another request or was malformed.
    Foreign,
    /// The target shed the request because it was overloaded.
    Shed,
    /// The connection could not be established.
    ConnectFailed,
    /// The caller went away; this says nothing about the target.
    Cancelled,
}

/// An attempt in flight, returned to the observer when the attempt ends.
#[derive(Debug)]
pub struct Ticket {
    pub(super) service: Arc<str>,
    pub(super) target: Arc<str>,
    pub(super) id: u64,
}
