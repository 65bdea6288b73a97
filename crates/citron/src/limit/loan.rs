//! Loan messages, and the state that lenders and borrowers keep about loans.

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;

use super::{LOAN_TERM, RECLAIM_MARGIN, Share};

/// A message between two proxies.
#[derive(Debug, Clone, PartialEq)]
pub enum LoanMessage {
    /// Requests a loan.
    Request(LoanRequest),
    /// Replies to a request with a loan.
    Grant(LoanGrant),
}

/// Asks an owner for a part of its share, which replaces what it lent before.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanRequest {
    /// Identifies this request among those of the borrower.
    pub id: u64,
    /// The customer.
    pub customer: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The requested rate and burst.
    pub want: Share,
}

/// Grants a loan, which the lender has already deducted from its own share.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanGrant {
    /// The id of the request that this replies to.
    pub id: u64,
    /// The customer.
    pub customer: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The lent rate and burst, which replace an earlier loan; zero if nothing could be spared.
    pub lent: Share,
}

/// The loans that a lender has granted to one borrower.
#[derive(Debug)]
pub(super) struct Borrower {
    pub host: Arc<str>,
    last_grant: LoanGrant,
    /// Granted loans with the time at which each is reclaimed. The borrower may be using any of
    /// them.
    live: SmallVec<[(Share, Duration); 2]>,
}

impl Borrower {
    pub fn new(host: Arc<str>, grant: LoanGrant, now: Duration) -> Self {
        let mut borrower = Self { host, last_grant: grant.clone(), live: SmallVec::new() };
        borrower.record_grant(grant, now);
        borrower
    }

    /// Records a grant that is about to be sent.
    pub fn record_grant(&mut self, grant: LoanGrant, now: Duration) {
        let reclaim_at = now + LOAN_TERM + RECLAIM_MARGIN;
        self.live.retain(|(share, _)| !share.within(grant.lent));
        self.live.push((grant.lent, reclaim_at));
        self.last_grant = grant;
    }

    /// Returns the grant for this request, if it was the last one granted.
    pub fn grant_for(&self, id: u64) -> Option<&LoanGrant> {
        Some(&self.last_grant).filter(|grant| grant.id == id)
    }

    /// Returns the most that the borrower may use.
    pub fn outstanding(&self) -> Share {
        self.live.iter().fold(Share::default(), |most, (share, _)| most.max(*share))
    }

    /// Drops the loans reclaimed by `now` and returns whether none is left.
    pub fn expire(&mut self, now: Duration) -> bool {
        self.live.retain(|(_, reclaim_at)| *reclaim_at > now);
        self.live.is_empty()
    }

    /// Returns when the next loan is reclaimed.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.live.iter().map(|(_, reclaim_at)| *reclaim_at).min()
    }
}

/// A borrower's requests to one lender, and its loan from it.
#[derive(Debug)]
pub(super) struct Lender {
    pub host: Arc<str>,
    /// The id and the sending time of the request that awaits a grant.
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

    /// Records a request that is sent now. A grant for an earlier one will be ignored.
    pub fn record_request(&mut self, id: u64, now: Duration) {
        self.pending = Some((id, now));
    }

    /// Returns when the request that awaits a grant was sent.
    pub fn requested_at(&self) -> Option<Duration> {
        self.pending.map(|(_, at)| at)
    }

    /// Accepts a grant if it replies to the last request and its term has not passed. Returns
    /// whether the grant gives a loan.
    pub fn accept(&mut self, grant: &LoanGrant, now: Duration) -> bool {
        let Some((_, sent)) = self.pending.filter(|(id, _)| *id == grant.id) else { return false };
        self.pending = None;
        // A grant of nothing does not end an earlier loan.
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

    /// Drops a loan whose term has passed.
    pub fn expire(&mut self, now: Duration) {
        if now >= self.loan_end {
            self.loan = Share::default();
        }
    }
}
