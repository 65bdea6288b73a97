//! Keeps each customer within its allowance over the whole fleet.
//!
//! An allowance is cut into shares held by the customer's owners. An owner lends the part of its share
//! that it does not use, rate and burst together, for a term; it debits itself before it answers
//! and takes the loan back only a margin after the term has passed. The borrower counts the term
//! from when it sent its request. At every instant the rates in use add up to at most the
//! allowance's rate and the capacities to at most its burst, so over every window the fleet admits
//! at most rate x window + burst. Lost, repeated and reordered messages only lose allowance.
//!
//! A share that changes hands starts empty after [`HANDOVER`]. This assumes that within
//! `HANDOVER - LOAN_TERM` every proxy has learnt of a changed host list or has stopped.

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

/// How long a loan lasts, counted by the borrower from when it sent the request.
pub const LOAN_TERM: Duration = Duration::from_secs(2);
/// How long after the term the lender takes the loan back.
pub const RECLAIM_MARGIN: Duration = Duration::from_millis(500);
/// How long after a change of the host list a share that grew is used; also how long a process
/// that has just started, or was paused, uses no share of its own.
pub const HANDOVER: Duration = Duration::from_secs(5);
/// A longer time without any call means that the process was paused.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(2);
