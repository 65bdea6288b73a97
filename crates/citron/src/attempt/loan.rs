//! What a host knows about the retries that it borrows from others.

use std::{sync::Arc, time::Duration};

use super::{LOAN_TERM, Ticket};

/// How long a host asks nobody after all that it asked had no token to lend. In that time their
/// tokens would be asked for by many at once, and each answer costs them time.
const PAUSE_AFTER_DENIAL: Duration = Duration::from_millis(200);

/// A lent token, as its lender knows it.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct LoanId {
    /// The service whose budget it belongs to.
    pub service: Arc<str>,
    /// When the lender's process started, in milliseconds since the Unix epoch; an earlier process
    /// of its host has numbered its tickets alike.
    pub lender_born_ms: u64,
    /// The lender's number of it.
    pub ticket: Ticket,
}

/// A token that another host lent.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Loan {
    /// Which token it is.
    pub id: LoanId,
    /// When the host asked for it, as a duration since the process origin.
    pub asked_at: Duration,
}

impl Loan {
    /// Returns true if a retry may be decided on with it at `now`. The lender counts the term from a
    /// later moment.
    pub fn is_usable(&self, now: Duration) -> bool {
        now < self.asked_at + LOAN_TERM
    }
}

/// When a host may ask others for a token of one service.
#[derive(Debug, Default)]
pub struct Asks {
    paused_until: Duration,
}

impl Asks {
    /// Returns true if others may be asked now.
    pub fn may_ask(&self, now: Duration) -> bool {
        now >= self.paused_until
    }

    /// Records that nobody who was asked had a token to lend.
    pub fn record_denial(&mut self, now: Duration) {
        self.paused_until = now + PAUSE_AFTER_DENIAL;
    }
}
