//! The token bucket of one customer and service at one proxy, with its share and loans.

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;

use super::{
    Share,
    loan::{Borrower, Lender, LoanGrant, LoanRequest},
};

/// The time constant of the exponential decay of the measured demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// The factor on its measured demand that a proxy keeps for itself or asks for.
const HEADROOM: f64 = 1.2;
/// Below this demand a proxy lends its whole share, requests per second.
const MIN_DEMAND: f64 = 0.05;
/// The relative rounding error allowed in sums.
const TOLERANCE: f64 = 1e-6;

/// A token bucket that is filled at the rate of the own share, less what is lent and plus what is
/// borrowed. The times given to it must not decrease.
#[derive(Debug)]
pub(super) struct Account {
    /// The own share in force.
    share: Share,
    /// The next own share, and when it takes effect.
    pending_share: Option<(Share, Duration)>,
    borrowers: SmallVec<[Borrower; 2]>,
    pub lenders: SmallVec<[Lender; 3]>,
    tokens: f64,
    demand: f64,
    updated_at: Duration,
    pub used_at: Duration,
}

impl Account {
    /// Creates an account with `tokens` in its bucket.
    pub fn new(share: Share, tokens: f64, now: Duration) -> Self {
        assert!(tokens <= share.burst, "a new account must not exceed its burst");
        Self {
            share,
            pending_share: None,
            borrowers: SmallVec::new(),
            lenders: SmallVec::new(),
            tokens,
            demand: 0.0,
            updated_at: now,
            used_at: now,
        }
    }

    /// Replaces the share at once.
    pub fn set_share(&mut self, share: Share, now: Duration) {
        self.advance(now);
        self.share = share;
        self.clamp_tokens();
    }

    /// Applies the smaller of the old and the new share at once, and the new one at `at`.
    pub fn schedule_share(&mut self, share: Share, at: Duration, now: Duration) {
        self.set_share(self.share.min(share), now);
        self.pending_share = Some((share, at));
    }

    /// Applies the share under a new allowance: at once, or together with a pending share.
    pub fn revise_share(&mut self, share: Share, now: Duration) {
        match self.pending_share {
            Some((_, at)) => self.schedule_share(share, at, now),
            None => self.set_share(share, now),
        }
    }

    /// Returns the entry of a lender, creating it if needed.
    pub fn lender(&mut self, host: &Arc<str>) -> &mut Lender {
        let index = self.lenders.iter().position(|lender| lender.host == *host);
        let index = index.unwrap_or_else(|| {
            self.lenders.push(Lender::new(Arc::clone(host)));
            self.lenders.len() - 1
        });
        &mut self.lenders[index]
    }

    /// Empties the bucket and stops using the own share until `until`.
    pub fn suspend(&mut self, until: Duration, now: Duration) {
        self.advance(now);
        let share = self.pending_share.map_or(self.share, |(share, _)| share);
        let at = self.pending_share.map_or(until, |(_, at)| at.max(until));
        (self.share, self.pending_share, self.tokens) = (Share::default(), Some((share, at)), 0.0);
    }

    /// Takes a token for one request, if there is one.
    pub fn admit(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.used_at = now;
        self.demand += 1.0 / DEMAND_WINDOW.as_secs_f64();
        // A rounding error must not refuse the last request of a full bucket.
        if self.tokens < 1.0 - TOLERANCE {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    /// Returns the part of the share that is not lent.
    pub fn kept(&self) -> Share {
        self.share.less(self.lent())
    }

    /// Returns what this proxy may use: the part of its share that is not lent, and its loans.
    pub fn usable(&self) -> Share {
        self.lenders.iter().fold(self.kept(), |sum, lender| sum.plus(lender.loan))
    }

    /// Returns what this proxy would use at its measured demand, at most `whole`.
    pub fn wanted(&self, whole: Share) -> Share {
        let rate = (self.demand * HEADROOM + 1.0).min(whole.rate);
        let burst = if whole.rate > 0.0 { whole.burst * rate / whole.rate } else { 0.0 };
        Share { rate, burst: burst.max(1.0).min(whole.burst) }
    }

    /// Returns how long until the bucket holds one token at the current rate, at most 3600 s, or
    /// `None` if it never will.
    pub fn time_to_token(&self) -> Option<Duration> {
        let usable = self.usable();
        (usable.rate > 0.0 && usable.burst >= 1.0 - TOLERANCE).then(|| {
            Duration::from_secs_f64(((1.0 - self.tokens).max(0.0) / usable.rate).min(3600.0))
        })
    }

    /// Returns whether a host may still be using a loan from this account.
    pub fn lends_to(&self, host: &str) -> bool {
        self.borrowers.iter().any(|borrower| &*borrower.host == host)
    }

    /// Grants what is requested as far as it is not needed here, or repeats the grant if the
    /// request is a duplicate.
    pub fn lend(&mut self, from: &Arc<str>, request: &LoanRequest, now: Duration) -> LoanGrant {
        self.advance(now);
        let index = self.borrowers.iter().position(|borrower| borrower.host == *from);
        if let Some(grant) = index.and_then(|index| self.borrowers[index].grant_for(request.id)) {
            return grant.clone();
        }
        let before = index.map_or(Share::default(), |index| self.borrowers[index].outstanding());
        let own_need = self.own_need();
        let spare = self.kept().plus(before).less(own_need);
        let mut lent = spare.min(request.want);
        if lent.rate <= 0.0 || lent.burst <= 0.0 {
            lent = Share::default();
        }
        let LoanRequest { id, customer, service, .. } = request.clone();
        let grant = LoanGrant { id, customer, service, lent };
        match index {
            _ if lent == Share::default() => {}
            Some(index) => self.borrowers[index].record_grant(grant.clone(), now),
            None => self.borrowers.push(Borrower::new(Arc::clone(from), grant.clone(), now)),
        }
        self.clamp_tokens();
        grant
    }

    /// Accepts a grant; returns whether it gives a loan where there was none.
    pub fn borrow(&mut self, from: &str, grant: &LoanGrant, now: Duration) -> bool {
        self.advance(now);
        let Some(lender) = self.lenders.iter_mut().find(|lender| &*lender.host == from) else {
            return false;
        };
        let before = lender.loan_end().is_some();
        let taken = lender.accept(grant, now);
        self.clamp_tokens();
        taken && !before
    }

    /// Returns whether the account can be dropped and created again later without effect.
    pub fn is_idle(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.pending_share.is_none()
            && self.borrowers.is_empty()
            && self.lenders.iter().all(|lender| lender.loan_end().is_none())
            && self.tokens >= self.share.burst
    }

    /// Advances the account to `now`, applying ends of loans and pending shares in order of time.
    pub fn advance(&mut self, now: Duration) {
        while let Some(next) = self.next_change().filter(|next| *next <= now) {
            self.accrue(next);
            self.borrowers.retain(|borrower| !borrower.expire(next));
            self.lenders.iter_mut().for_each(|lender| lender.expire(next));
            if let Some((share, _)) = self.pending_share.filter(|(_, at)| *at <= next) {
                (self.share, self.pending_share) = (share, None);
            }
            self.clamp_tokens();
        }
        self.accrue(now);
        self.check_invariants();
    }

    /// Returns the part of the own share that this proxy needs itself.
    fn own_need(&self) -> Share {
        if self.demand < MIN_DEMAND { Share::default() } else { self.wanted(self.share) }
    }

    fn lent(&self) -> Share {
        self.borrowers
            .iter()
            .fold(Share::default(), |sum, borrower| sum.plus(borrower.outstanding()))
    }

    fn next_change(&self) -> Option<Duration> {
        let borrowers = self.borrowers.iter().filter_map(Borrower::next_expiry);
        let lenders = self.lenders.iter().filter_map(Lender::loan_end);
        let pending_share = self.pending_share.map(|(_, at)| at);
        borrowers.chain(lenders).chain(pending_share).min()
    }

    fn accrue(&mut self, to: Duration) {
        let elapsed = to.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let usable = self.usable();
        self.tokens = (self.tokens + usable.rate * elapsed).min(usable.burst);
        self.demand *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.updated_at = to;
    }

    fn clamp_tokens(&mut self) {
        self.tokens = self.tokens.min(self.usable().burst);
    }

    fn check_invariants(&self) {
        let (kept, lent) = (self.kept(), self.lent());
        let total = self.share.max(lent);
        let approx_eq = |sum: f64, whole: f64| (sum - whole).abs() <= TOLERANCE * whole.max(1.0);
        assert!(
            approx_eq(kept.rate + lent.rate, total.rate)
                && approx_eq(kept.burst + lent.burst, total.burst),
            "kept {kept:?} and lent {lent:?} must add up to the share {:?}",
            self.share
        );
        let usable = self.usable();
        assert!(
            self.tokens >= 0.0 && self.tokens <= usable.burst + TOLERANCE,
            "the bucket holds {} tokens, which must stay within the burst {}",
            self.tokens,
            usable.burst
        );
    }
}
