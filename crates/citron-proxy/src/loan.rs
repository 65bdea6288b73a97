//! Conversion of loan messages between proxies, and the record of active loans.

use std::{collections::HashMap, time::Duration};

use citron::{
    hlc,
    limit::{LOAN_TERM, LoanGrant, LoanMessage, LoanRequest, Share},
};
use citron_wire::{self as wire, loan::Body};

/// The most loans that are kept to tell new loans from renewals.
const ACTIVE_LOANS_CAPACITY: usize = 4096;

/// The loans between this proxy and others that have not ended, kept to tell new loans from
/// renewals.
#[derive(Debug, Default)]
pub struct ActiveLoans {
    ends: HashMap<Loan, Duration>,
}

/// A loan, by direction, other proxy, customer and service.
#[derive(Debug, Clone, Eq, PartialEq, Hash)]
pub struct Loan {
    /// True if this proxy borrows, false if it lends.
    pub borrowed: bool,
    /// The host of the other proxy.
    pub peer: String,
    /// The customer whose allowance is lent.
    pub customer: String,
    /// The service that the allowance is for.
    pub service: String,
}

impl ActiveLoans {
    /// Records a loan. Returns false if it renews one that has not ended, or if there is no room
    /// for another loan.
    pub fn record(&mut self, loan: Loan, now: Duration) -> bool {
        if self.ends.len() >= ACTIVE_LOANS_CAPACITY {
            self.ends.retain(|_, end| *end > now);
        }
        if self.ends.len() >= ACTIVE_LOANS_CAPACITY && !self.ends.contains_key(&loan) {
            return false;
        }
        let before = self.ends.insert(loan, now + LOAN_TERM);
        before.is_none_or(|end| end <= now)
    }
}

/// Returns the message to send in a datagram.
pub fn to_wire(from: &str, stamp: hlc::Stamp, revision: u64, message: &LoanMessage) -> wire::Loan {
    let body = match message {
        LoanMessage::Request(request) => Body::Request(wire::LoanRequest {
            id: request.id,
            customer: request.customer.to_string(),
            service: request.service.to_string(),
            rate: request.want.rate,
            burst: request.want.burst,
            revision,
        }),
        LoanMessage::Grant(grant) => Body::Grant(wire::LoanGrant {
            id: grant.id,
            customer: grant.customer.to_string(),
            service: grant.service.to_string(),
            rate: grant.lent.rate,
            burst: grant.lent.burst,
            term_ms: LOAN_TERM.as_millis() as u64,
            revision,
        }),
    };
    let stamp = wire::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical };
    wire::Loan { from: from.to_owned(), stamp: Some(stamp), body: Some(body) }
}

/// Reads a received message. Returns `None` if it is not valid, or if it grants a loan for another
/// term: such a grant comes from a proxy that accounts for loans differently and must not be used.
pub fn from_wire(loan: &wire::Loan) -> Option<LoanMessage> {
    match loan.body.as_ref()? {
        Body::Request(request) => Some(LoanMessage::Request(LoanRequest {
            id: request.id,
            customer: request.customer.as_str().into(),
            service: request.service.as_str().into(),
            want: share(request.rate, request.burst)?,
        })),
        Body::Grant(grant) => Some(LoanMessage::Grant(LoanGrant {
            id: grant.id,
            customer: grant.customer.as_str().into(),
            service: grant.service.as_str().into(),
            lent: share(grant.rate, grant.burst)
                .filter(|_| u128::from(grant.term_ms) == LOAN_TERM.as_millis())?,
        })),
    }
}

/// Returns the customer and the service of a message.
pub fn subject(message: &LoanMessage) -> (&str, &str) {
    match message {
        LoanMessage::Request(request) => (&request.customer, &request.service),
        LoanMessage::Grant(grant) => (&grant.customer, &grant.service),
    }
}

fn share(rate: f64, burst: f64) -> Option<Share> {
    let valid = |number: f64| number.is_finite() && number >= 0.0;
    (valid(rate) && valid(burst)).then_some(Share { rate, burst })
}
