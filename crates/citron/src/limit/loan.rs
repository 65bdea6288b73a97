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
pub(super) struct Debit {
    pub borrower: Arc<str>,
    last: LoanGrant,
    /// The borrower may use any of these until its time has passed.
    live: SmallVec<[(Share, Duration); 2]>,
}

impl Debit {
    pub fn new(borrower: Arc<str>, grant: LoanGrant, now: Duration) -> Self {
        let mut debit = Self { borrower, last: grant.clone(), live: SmallVec::new() };
        debit.add(grant, now);
        debit
    }

    /// Books a grant that is about to be sent.
    pub fn add(&mut self, grant: LoanGrant, now: Duration) {
        let until = now + LOAN_TERM + RECLAIM_MARGIN;
        self.live.retain(|(share, _)| !share.within(grant.lent));
        self.live.push((grant.lent, until));
        self.last = grant;
    }

    /// Returns the grant that answered this request, if it was the last one.
    pub fn repeated(&self, id: u64) -> Option<&LoanGrant> {
        Some(&self.last).filter(|grant| grant.id == id)
    }

    /// Returns the most that the borrower may use.
    pub fn share(&self) -> Share {
        self.live.iter().fold(Share::default(), |most, (share, _)| most.max(*share))
    }

    /// Drops what has been taken back by `now` and returns whether nothing is left.
    pub fn settle(&mut self, now: Duration) -> bool {
        self.live.retain(|(_, until)| *until > now);
        self.live.is_empty()
    }

    /// Returns when the next part is taken back.
    pub fn next(&self) -> Option<Duration> {
        self.live.iter().map(|(_, until)| *until).min()
    }
}

/// A borrower's side of its dealings with one lender.
#[derive(Debug)]
pub(super) struct Credit {
    pub lender: Arc<str>,
    /// The id and the sending time of the request without an answer.
    asked: Option<(u64, Duration)>,
    pub loan: Share,
    until: Duration,
    pub next_ask: Duration,
}

impl Credit {
    pub fn new(lender: Arc<str>) -> Self {
        Self {
            lender,
            asked: None,
            loan: Share::default(),
            until: Duration::ZERO,
            next_ask: Duration::ZERO,
        }
    }

    /// Books a request that is sent now; an answer to an earlier one no longer counts.
    pub fn ask(&mut self, id: u64, now: Duration) {
        self.asked = Some((id, now));
    }

    /// Returns when the request without an answer was sent.
    pub fn asked_at(&self) -> Option<Duration> {
        self.asked.map(|(_, at)| at)
    }

    /// Takes in a grant if it answers the last request and its term has not passed.
    pub fn take(&mut self, grant: &LoanGrant, now: Duration) -> bool {
        let Some((_, sent)) = self.asked.filter(|(id, _)| *id == grant.id) else { return false };
        self.asked = None;
        // A lender that has nothing to spare leaves an earlier loan as it is.
        if now >= sent + LOAN_TERM || grant.lent == Share::default() {
            return false;
        }
        (self.loan, self.until) = (grant.lent, sent + LOAN_TERM);
        true
    }

    /// Returns when the loan ends, if there is one.
    pub fn until(&self) -> Option<Duration> {
        (self.loan != Share::default()).then_some(self.until)
    }

    /// Ends a loan whose term has passed.
    pub fn settle(&mut self, now: Duration) {
        if now >= self.until {
            self.loan = Share::default();
        }
    }
}
