//! A retry budget that the hosts of a fleet share without asking each other.
//!
//! Each host spends tokens from a bucket of its own. A request adds `ratio` of a token, a retry takes
//! one, and a share of the fleet's slack fills the bucket slowly. The bucket holds a bounded burst,
//! in which the retries count that may still be on their way. So in any span of time, for each host:
//!
//! > arrivals of retries <= ratio * requests received + burst + refill * length of the span
//!
//! Summed over all hosts, for the same span, this is the bound of the fleet, as the bursts and
//! refills of all hosts stay below its slack. It does not matter which hosts live, how demand moves
//! between them, or whether they hear each other.
//!
//! A host whose tokens are spent may use one that another host lends. To the lender that is a retry
//! of its own that is on its way for longer, so the same bound holds.

use std::time::Duration;

use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

/// The part of the slack that is shared out. The rest is for requests that were sent before a span
/// and received within it, and for hosts that others do not count yet.
pub const SHARED_PART: f64 = 0.85;
/// The part of a host's share of the slack that may be spent at once; the rest is refilled over each
/// window.
const BURST_PART: f64 = 0.85;
/// The smallest burst with which a retry can be made.
const BURST_MIN: f64 = 1.0;
/// How much less than a whole token pays for a retry, for the rounding of sums.
const ROUNDING: f64 = 1e-6;
/// How long after it asked for a lent token a host may still decide on a retry with it.
pub const LOAN_TERM: Duration = Duration::from_millis(100);

/// The bound of the fleet, the same at every host.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct RetryBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed in each window, over all hosts.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Which part of the slack a host may use.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Sharer {
    /// The number of hosts that may use a share, at least 1.
    pub hosts: usize,
    /// How many of them come before this one, in an order that all hosts have in common.
    pub rank: usize,
}

/// What one host may spend.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct RetryShare {
    /// The tokens that a request adds.
    pub ratio: f64,
    /// The most tokens that the bucket holds, 0 if this host may make no retries.
    pub burst: f64,
    /// The tokens that are added over time, per second.
    pub refill_per_s: f64,
}

impl RetryShare {
    /// The share of a host that does not know with how many others it shares.
    pub const NONE: Self = Self { ratio: 0.0, burst: 0.0, refill_per_s: 0.0 };

    /// Returns the share of one host.
    ///
    /// If the slack does not give each host a whole token, only as many hosts have a share as it has
    /// tokens for.
    pub fn new(bound: &RetryBound, sharer: Sharer) -> Self {
        let shared = bound.slack * SHARED_PART;
        let sharers = (shared / BURST_MIN).min(sharer.hosts.max(1) as f64).floor();
        if sharer.rank as f64 >= sharers {
            return Self::NONE;
        }
        let share = shared / sharers;
        let burst = (share * BURST_PART).max(BURST_MIN);
        let refill_per_s = (share - burst) / bound.window.as_secs_f64();
        Self { ratio: bound.ratio, burst, refill_per_s }
    }
}

/// Why a retry is not allowed.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Denial {
    /// This host has no share of the slack.
    NoShare,
    /// Retries of an earlier process of this host may still be on their way.
    Starting,
    /// Too many retries may still be on their way.
    InFlight,
    /// The tokens are spent.
    Spent,
}

/// A retry for which a token was spent, distinct among those of one process and service.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub struct Ticket(pub u64);

/// A host's part of the retry budget of one service.
#[derive(Debug)]
pub struct RetryBucket {
    /// How long after its withdrawal a retry may still arrive.
    flight: Duration,
    /// From when on tokens are added.
    starts_at: Duration,
    /// Whether the burst is still to be added once the bucket starts and the share is known.
    starts_full: bool,
    share: RetryShare,
    tokens: f64,
    /// When the tokens were last computed.
    updated_at: Duration,
    /// The retries that may still be on their way, and until when.
    in_flight: SmallVec<[(Ticket, Duration); 4]>,
    next_ticket: u64,
}

impl RetryBucket {
    /// Creates the empty budget of a process that started at time zero, whose retries arrive within
    /// `flight` or never. Those of an earlier process of its host, and those that it lent, have done
    /// so after that and the term of a loan.
    pub fn new(flight: Duration) -> Self {
        let starts_at = flight + LOAN_TERM;
        Self {
            flight,
            starts_at,
            starts_full: false,
            share: RetryShare::NONE,
            tokens: 0.0,
            updated_at: starts_at,
            in_flight: SmallVec::new(),
            next_ticket: 0,
        }
    }

    /// Creates the budget of the first process of a host, which has all its tokens once it starts.
    pub fn of_new_host(flight: Duration) -> Self {
        Self { starts_full: true, ..Self::new(flight) }
    }

    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, share: &RetryShare, now: Duration) {
        self.update(share, now);
        if now >= self.starts_at {
            self.add_tokens(share.ratio);
        }
    }

    /// Spends a token for a retry.
    ///
    /// # Errors
    /// Fails with the reason if no retry is allowed.
    pub fn withdraw(&mut self, share: &RetryShare, now: Duration) -> Result<Ticket, Denial> {
        self.update(share, now);
        self.spend(now, self.flight)
    }

    /// Spends a token for a retry that another host may decide on within [`LOAN_TERM`].
    ///
    /// # Errors
    /// Fails with the reason if there is no token to lend.
    pub fn lend(&mut self, share: &RetryShare, now: Duration) -> Result<Ticket, Denial> {
        self.update(share, now);
        self.spend(now, self.flight + LOAN_TERM)
    }

    /// Records that a retry has arrived. The room that it leaves is refilled from now on.
    pub fn record_arrival(&mut self, ticket: Ticket, now: Duration) {
        self.settle(now);
        self.in_flight.retain(|(other, _)| *other != ticket);
    }

    /// Returns the token of a retry that was not sent.
    pub fn refund(&mut self, ticket: Ticket, now: Duration) {
        let before = self.in_flight.len();
        self.record_arrival(ticket, now);
        if self.in_flight.len() < before {
            self.add_tokens(1.0);
        }
    }

    /// Returns the tokens that may be spent.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the number of retries that may still be on their way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Applies the time that has passed, and the current share.
    fn update(&mut self, share: &RetryShare, now: Duration) {
        self.share = *share;
        self.settle(now);
        if self.starts_full && now >= self.starts_at && share.burst > 0.0 {
            self.starts_full = false;
            self.add_tokens(share.burst);
        }
    }

    /// Adds the tokens of the time that has passed. A retry that is given up as lost leaves room from then
    /// on, and not for the time before.
    fn settle(&mut self, now: Duration) {
        let ends = |in_flight: &[(Ticket, Duration)]| {
            in_flight.iter().map(|(_, until)| *until).filter(|until| *until <= now).min()
        };
        while let Some(end) = ends(&self.in_flight) {
            self.refill(end);
            self.in_flight.retain(|(_, until)| *until > end);
        }
        self.refill(now);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.add_tokens(elapsed * self.share.refill_per_s);
    }

    /// Spends a token for a retry that arrives within `flight` or never.
    fn spend(&mut self, now: Duration, flight: Duration) -> Result<Ticket, Denial> {
        if self.tokens + ROUNDING < 1.0 {
            return Err(self.denial(now));
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.in_flight.push((ticket, now + flight));
        self.check();
        Ok(ticket)
    }

    fn add_tokens(&mut self, count: f64) {
        let room = (self.share.burst - self.in_flight.len() as f64).max(0.0);
        self.tokens = (self.tokens + count).min(room);
    }

    fn check(&self) {
        let held = self.tokens + self.in_flight.len() as f64;
        assert!(
            held <= self.share.burst + 2.0 * ROUNDING,
            "tokens and retries on their way must stay within the burst"
        );
    }

    fn denial(&self, now: Duration) -> Denial {
        if self.share.burst == 0.0 {
            Denial::NoShare
        } else if now < self.starts_at {
            Denial::Starting
        } else if self.in_flight.len() as f64 + 1.0 > self.share.burst {
            Denial::InFlight
        } else {
            Denial::Spent
        }
    }
}
