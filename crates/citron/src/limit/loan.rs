//! Loans of parts of shares, as messages and in the books of both sides.

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;

use super::{LOAN_TERM, RECLAIM_MARGIN, Share};

/// A message between two proxies.
#[derive(Debug, Clone, PartialEq)]
pub enum LoanMessage {
    /// Asks for a loan.
    Request(LoanRequest),
    /// Makes a loan.
    Grant(LoanGrant),
}

/// Asks an owner for a part of its share, in place of what it lent before.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanRequest {
    /// Names this request among those of the borrower.
    pub id: u64,
    /// The customer.
    pub customer: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// What is asked for.
    pub want: Share,
}

/// Lends a part of a share; the lender has already debited itself.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanGrant {
    /// The request that is answered.
    pub id: u64,
    /// The customer.
    pub customer: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// What is lent, in place of what was lent before; nothing if there was nothing to spare.
    pub lent: Share,
}

/// What a lender owes to one borrower.
#[derive(Debug)]
pub(super) struct Borrower {
    pub host: Arc<str>,
    last_grant: LoanGrant,
    /// The borrower may use any of these until its time has passed.
    live: SmallVec<[(Share, Duration); 2]>,
}

impl Borrower {
    pub fn new(host: Arc<str>, grant: LoanGrant, now: Duration) -> Self {
        let mut borrower = Self { host, last_grant: grant.clone(), live: SmallVec::new() };
        borrower.record_grant(grant, now);
        borrower
    }

    /// Books a grant that is about to be sent.
    pub fn record_grant(&mut self, grant: LoanGrant, now: Duration) {
        let reclaim_at = now + LOAN_TERM + RECLAIM_MARGIN;
        self.live.retain(|(share, _)| !share.within(grant.lent));
        self.live.push((grant.lent, reclaim_at));
        self.last_grant = grant;
    }

    /// Returns the grant that answered this request, if it was the last one.
    pub fn grant_for(&self, id: u64) -> Option<&LoanGrant> {
        Some(&self.last_grant).filter(|grant| grant.id == id)
    }

    /// Returns the most that the borrower may use.
    pub fn outstanding(&self) -> Share {
        self.live.iter().fold(Share::default(), |most, (share, _)| most.max(*share))
    }

    /// Drops what has been taken back by `now` and returns whether nothing is left.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.live.retain(|(_, reclaim_at)| *reclaim_at > now);
        self.live.is_empty()
    }

    /// Returns when the next part is taken back.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.live.iter().map(|(_, reclaim_at)| *reclaim_at).min()
    }
}

/// A borrower's side of its dealings with one lender.
#[derive(Debug)]
pub(super) struct Lender {
    pub host: Arc<str>,
    /// The id and the sending time of the request without an answer.
    pending: Option<(u64, Duration)>,
    pub loan: Share,
    loan_end: Duration,
    pub next_request_at: Duration,
}

impl Lender {
    pub fn new(host: Arc<str>) -> Self {
        Self {
            host,
            pending: None,
            loan: Share::default(),
            loan_end: Duration::ZERO,
            next_request_at: Duration::ZERO,
        }
    }

    /// Books a request that is sent now; an answer to an earlier one no longer counts.
    pub fn record_request(&mut self, id: u64, now: Duration) {
        self.pending = Some((id, now));
    }

    /// Returns when the request without an answer was sent.
    pub fn requested_at(&self) -> Option<Duration> {
        self.pending.map(|(_, at)| at)
    }

    /// Takes in a grant if it answers the last request and its term has not passed.
    pub fn accept(&mut self, grant: &LoanGrant, now: Duration) -> bool {
        let Some((_, sent)) = self.pending.filter(|(id, _)| *id == grant.id) else { return false };
        self.pending = None;
        // A lender that has nothing to spare leaves an earlier loan as it is.
        if now >= sent + LOAN_TERM || grant.lent == Share::default() {
            return false;
        }
        (self.loan, self.loan_end) = (grant.lent, sent + LOAN_TERM);
        true
    }

    /// Returns when the loan ends, if there is one.
    pub fn loan_end(&self) -> Option<Duration> {
        (self.loan != Share::default()).then_some(self.loan_end)
    }

    /// Ends a loan whose term has passed.
    pub fn expire(&mut self, now: Duration) {
        if now >= self.loan_end {
            self.loan = Share::default();
        }
    }
}
