//! Keeps each customer within its allowance over the whole fleet.
//!
//! An allowance is divided into shares, each held by one of the customer's owner hosts. An owner
//! lends the part of its share that it does not use, rate and burst together, for [`LOAN_TERM`]. It
//! deducts the loan from its share before it replies, and reclaims it only [`RECLAIM_MARGIN`] after
//! the term has passed. The borrower counts the term from when it sent its request. At every
//! instant the rates in use add up to at most the allowance's rate and the bucket sizes to at most
//! its burst, so over every window the fleet admits at most rate x window + burst. Lost, repeated
//! and reordered messages can only leave a part of the allowance unused.
//!
//! A share that moves to another host starts with an empty bucket after [`HANDOVER`]. This assumes
//! that within `HANDOVER - LOAN_TERM` every proxy has received a changed host list or has stopped.

mod account;
mod limiter;
mod loan;
mod share;

pub use self::{
    limiter::{Outgoing, OwnerLookup, Owners, RateLimiter, Verdict},
    loan::{LoanGrant, LoanMessage, LoanRequest},
    share::Share,
};

use std::time::Duration;

/// The duration of a loan, counted by the borrower from when it sent the request.
pub const LOAN_TERM: Duration = Duration::from_secs(2);
/// How long after the end of the term the lender reclaims the loan.
pub const RECLAIM_MARGIN: Duration = Duration::from_millis(500);
/// The delay after a change of the host list before the grown part of a share is used. A process
/// that has just started, or was paused, uses no share of its own for as long.
pub const HANDOVER: Duration = Duration::from_secs(5);
/// After a longer time without any call, the process is taken to have been paused.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(2);
