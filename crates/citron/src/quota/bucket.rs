//! The token bucket of one owner of a customer's quota.

use std::{collections::VecDeque, time::Duration};

use crate::customer::Quota;

/// How long after its grant a token may be returned. The tokens that are granted before a window and
/// returned within it add at most the rate times this term to the window.
pub const RETURN_TERM: Duration = Duration::from_millis(400);

/// How much later than the next token hosts that are denied one after the other are told to ask
/// again. Without it, all of them would ask for the same token.
const STAGGER_MAX: Duration = Duration::from_secs(1);

/// The longest time after which a host is told to ask again.
const WAIT_MAX: Duration = Duration::from_secs(3600);

/// Tokens within this of a whole one count as whole.
const ROUNDING: f64 = 1e-9;

/// The number of a granted token, unique in its bucket.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket(pub u64);

/// An owner's part of a quota.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate_per_s: f64,
    /// The maximum number of tokens, at least 1.
    pub burst: f64,
}

impl Share {
    /// Returns the part of one of `owners` owners.
    pub fn new(quota: &Quota, owners: usize) -> Self {
        let owners = owners.max(1) as f64;
        Self { rate_per_s: quota.rate_per_s / owners, burst: (quota.burst / owners).max(1.0) }
    }
}

/// The tokens of one owner for one customer.
#[derive(Debug, Clone)]
pub struct Bucket {
    share: Share,
    tokens: f64,
    /// When the tokens were last computed.
    updated_at: Duration,
    /// The tokens that may still be returned, with the times of their grants.
    granted: VecDeque<(Ticket, Duration)>,
    next_ticket: u64,
    /// Future tokens of which denied hosts were told the time.
    promised: f64,
}

impl Bucket {
    /// Creates the bucket of a host that owns its part since `at`, with no tokens at that time.
    pub fn new(share: Share, at: Duration) -> Self {
        Self {
            share,
            tokens: 0.0,
            updated_at: at,
            granted: VecDeque::new(),
            next_ticket: 0,
            promised: 0.0,
        }
    }

    /// Creates a full bucket, for a part that nobody granted before.
    pub fn full(share: Share) -> Self {
        Self { tokens: share.burst, ..Self::new(share, Duration::ZERO) }
    }

    /// Takes a token under the current share.
    ///
    /// # Errors
    /// Fails with the time of the next token.
    pub fn take(&mut self, share: &Share, now: Duration) -> Result<Ticket, Duration> {
        self.update(share, now);
        if self.tokens + ROUNDING < 1.0 {
            return Err(now + self.time_for(1.0 - self.tokens));
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.promised = 0.0;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.granted.push_back((ticket, now));
        Ok(ticket)
    }

    /// Takes a token for another host.
    ///
    /// # Errors
    /// Fails with the time at which the host should ask again: that of the next token, or that of a
    /// later one if other hosts were told about the next.
    pub fn grant(&mut self, share: &Share, now: Duration) -> Result<Ticket, Duration> {
        let promised = self.promised;
        self.take(share, now).map_err(|next_at| {
            let promised = promised.min(self.promised);
            self.promised = promised + 1.0;
            next_at + self.time_for(promised).min(STAGGER_MAX)
        })
    }

    /// Takes back a token that was not used; returns false if it is not known or was granted too long
    /// ago.
    pub fn take_back(&mut self, ticket: Ticket, now: Duration) -> bool {
        self.update(&self.share.clone(), now);
        let Some(index) = self.granted.iter().position(|(other, _)| *other == ticket) else {
            return false;
        };
        self.granted.remove(index);
        self.add(1.0);
        true
    }

    /// Returns true if it has all its tokens again, so that it is no different from a new one that starts
    /// full.
    pub fn is_full(&self, now: Duration) -> bool {
        let earned = now.saturating_sub(self.updated_at).as_secs_f64() * self.share.rate_per_s;
        self.tokens + earned >= self.share.burst
    }

    /// Returns the tokens at the time of the last update.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens of the time that has passed under the previous share, and applies the current
    /// one.
    fn update(&mut self, share: &Share, now: Duration) {
        let earned = now.saturating_sub(self.updated_at).as_secs_f64() * self.share.rate_per_s;
        self.updated_at = self.updated_at.max(now);
        self.promised = (self.promised - earned).max(0.0);
        self.share = *share;
        self.add(earned);
        while self.granted.front().is_some_and(|(_, at)| now >= *at + RETURN_TERM) {
            self.granted.pop_front();
        }
    }

    fn add(&mut self, count: f64) {
        self.tokens = (self.tokens + count).min(self.share.burst);
    }

    fn time_for(&self, tokens: f64) -> Duration {
        let time = Duration::try_from_secs_f64(tokens / self.share.rate_per_s);
        time.unwrap_or(WAIT_MAX).min(WAIT_MAX)
    }
}
