//! The books of one customer and service at one proxy.

use std::{sync::Arc, time::Duration};

use smallvec::SmallVec;

use super::{
    Share,
    loan::{Credit, Debit, LoanGrant, LoanRequest},
};

/// The time constant of the measured demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// How much more than its measured demand a proxy keeps or asks for.
const HEADROOM: f64 = 1.2;
/// The least demand that counts, requests per second.
const IDLE_DEMAND: f64 = 0.05;
/// Rounding errors of sums stay below this part.
const TOLERANCE: f64 = 1e-6;

/// Shares, loans and tokens; times only grow.
#[derive(Debug)]
pub(super) struct Account {
    /// The own share in force.
    share: Share,
    /// What the share becomes, and when.
    growth: Option<(Share, Duration)>,
    debits: SmallVec<[Debit; 2]>,
    pub credits: SmallVec<[Credit; 3]>,
    tokens: f64,
    demand: f64,
    at: Duration,
    pub used_at: Duration,
}

impl Account {
    /// Opens the books with `tokens` requests in store.
    pub fn new(share: Share, tokens: f64, now: Duration) -> Self {
        assert!(tokens <= share.burst, "a new account must not exceed its burst");
        Self {
            share,
            growth: None,
            debits: SmallVec::new(),
            credits: SmallVec::new(),
            tokens,
            demand: 0.0,
            at: now,
            used_at: now,
        }
    }

    /// Puts a share in force at once.
    pub fn set_share(&mut self, share: Share, now: Duration) {
        self.settle(now);
        self.share = share;
        self.clamp();
    }

    /// Puts the smaller of the old and the new share in force, and the new one at `at`.
    pub fn grow(&mut self, share: Share, at: Duration, now: Duration) {
        self.set_share(self.share.min(share), now);
        self.growth = Some((share, at));
    }

    /// Puts the share under a new allowance in force, or has it wait for a pending growth.
    pub fn revise(&mut self, share: Share, now: Duration) {
        match self.growth {
            Some((_, at)) => self.grow(share, at, now),
            None => self.set_share(share, now),
        }
    }

    /// Returns the dealings with a lender, opening them if need be.
    pub fn credit(&mut self, lender: &Arc<str>) -> &mut Credit {
        let place = self.credits.iter().position(|credit| credit.lender == *lender);
        let place = place.unwrap_or_else(|| {
            self.credits.push(Credit::new(Arc::clone(lender)));
            self.credits.len() - 1
        });
        &mut self.credits[place]
    }

    /// Empties the store and stops using the own share until `until`.
    pub fn stop(&mut self, until: Duration, now: Duration) {
        self.settle(now);
        let share = self.growth.map_or(self.share, |(share, _)| share);
        let at = self.growth.map_or(until, |(_, at)| at.max(until));
        (self.share, self.growth, self.tokens) = (Share::default(), Some((share, at)), 0.0);
    }

    /// Admits one request if the store allows it.
    pub fn admit(&mut self, now: Duration) -> bool {
        self.settle(now);
        self.used_at = now;
        self.demand += 1.0 / DEMAND_WINDOW.as_secs_f64();
        // Rounding must not refuse the last request of a full store.
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

    /// Returns what this proxy may use: what it kept and what it borrowed.
    pub fn usable(&self) -> Share {
        self.credits.iter().fold(self.kept(), |sum, credit| sum.plus(credit.loan))
    }

    /// Returns what it would like to use, at most `whole`.
    pub fn wanted(&self, whole: Share) -> Share {
        let rate = (self.demand * HEADROOM + 1.0).min(whole.rate);
        let burst = if whole.rate > 0.0 { whole.burst * rate / whole.rate } else { 0.0 };
        Share { rate, burst: burst.max(1.0).min(whole.burst) }
    }

    /// Returns how long until one request is in store at the present rate.
    pub fn wait(&self) -> Option<Duration> {
        let usable = self.usable();
        (usable.rate > 0.0 && usable.burst >= 1.0 - TOLERANCE).then(|| {
            Duration::from_secs_f64(((1.0 - self.tokens).max(0.0) / usable.rate).min(3600.0))
        })
    }

    /// Returns whether a borrower may still use a part of the own share.
    pub fn lends_to(&self, borrower: &str) -> bool {
        self.debits.iter().any(|debit| &*debit.borrower == borrower)
    }

    /// Lends what is asked for as far as it is not needed here, or repeats an earlier answer.
    pub fn lend(&mut self, from: &Arc<str>, request: &LoanRequest, now: Duration) -> LoanGrant {
        self.settle(now);
        let place = self.debits.iter().position(|debit| debit.borrower == *from);
        if let Some(grant) = place.and_then(|place| self.debits[place].repeated(request.id)) {
            return grant.clone();
        }
        let before = place.map_or(Share::default(), |place| self.debits[place].share());
        let need = self.need();
        let spare = self.kept().plus(before).less(need);
        let mut lent = spare.min(request.want);
        if lent.rate <= 0.0 || lent.burst <= 0.0 {
            lent = Share::default();
        }
        let LoanRequest { id, customer, service, .. } = request.clone();
        let grant = LoanGrant { id, customer, service, lent };
        match place {
            _ if lent == Share::default() => {}
            Some(place) => self.debits[place].add(grant.clone(), now),
            None => self.debits.push(Debit::new(Arc::clone(from), grant.clone(), now)),
        }
        self.clamp();
        grant
    }

    /// Takes in a grant; returns whether there is a loan where there was none.
    pub fn borrow(&mut self, from: &str, grant: &LoanGrant, now: Duration) -> bool {
        self.settle(now);
        let Some(credit) = self.credits.iter_mut().find(|credit| &*credit.lender == from) else {
            return false;
        };
        let before = credit.until().is_some();
        let taken = credit.take(grant, now);
        self.clamp();
        taken && !before
    }

    /// Returns whether forgetting the account and opening it again later changes nothing.
    pub fn is_idle(&mut self, now: Duration) -> bool {
        self.settle(now);
        self.growth.is_none()
            && self.debits.is_empty()
            && self.credits.iter().all(|credit| credit.until().is_none())
            && self.tokens >= self.share.burst
    }

    /// Brings the books up to `now`, in the order in which loans end and shares grow.
    pub fn settle(&mut self, now: Duration) {
        while let Some(next) = self.next_change().filter(|next| *next <= now) {
            self.accrue(next);
            self.debits.retain(|debit| !debit.settle(next));
            self.credits.iter_mut().for_each(|credit| credit.settle(next));
            if let Some((share, _)) = self.growth.filter(|(_, at)| *at <= next) {
                (self.share, self.growth) = (share, None);
            }
            self.clamp();
        }
        self.accrue(now);
        self.check();
    }

    /// Returns the part of the own share that this proxy needs itself.
    fn need(&self) -> Share {
        if self.demand < IDLE_DEMAND { Share::default() } else { self.wanted(self.share) }
    }

    fn lent(&self) -> Share {
        self.debits.iter().fold(Share::default(), |sum, debit| sum.plus(debit.share()))
    }

    fn next_change(&self) -> Option<Duration> {
        let debits = self.debits.iter().filter_map(Debit::next);
        let credits = self.credits.iter().filter_map(Credit::until);
        let growth = self.growth.map(|(_, at)| at);
        debits.chain(credits).chain(growth).min()
    }

    fn accrue(&mut self, to: Duration) {
        let elapsed = to.saturating_sub(self.at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let usable = self.usable();
        self.tokens = (self.tokens + usable.rate * elapsed).min(usable.burst);
        self.demand *= (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.at = to;
    }

    fn clamp(&mut self) {
        self.tokens = self.tokens.min(self.usable().burst);
    }

    fn check(&self) {
        let (kept, lent) = (self.kept(), self.lent());
        let total = self.share.max(lent);
        let close = |sum: f64, whole: f64| (sum - whole).abs() <= TOLERANCE * whole.max(1.0);
        assert!(
            close(kept.rate + lent.rate, total.rate) && close(kept.burst + lent.burst, total.burst),
            "kept {kept:?} and lent {lent:?} must add up to the share {:?}",
            self.share
        );
        let usable = self.usable();
        assert!(
            self.tokens >= 0.0 && self.tokens <= usable.burst + TOLERANCE,
            "the store of {} must stay within the burst {}",
            self.tokens,
            usable.burst
        );
    }
}
