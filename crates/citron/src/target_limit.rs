//! Keeps the requests of all gateways to a target within the limit that the target names.
//!
//! The limit is divided among as many gateways as can each use a sensible part of it, chosen by
//! rendezvous hashing, those in the target's failure domain first. Each of them spends its share
//! from a bucket of its own, so that no request waits for another gateway.
//!
//! A share that shrinks does so at once; one that grows is used only after a handover, by when the
//! gateway that had it has learned of the change or, being cut off, has stopped by itself. A gateway
//! that hears half of the fleet or less uses no share at all.

use std::{
    collections::{BTreeMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use crate::placement::{self, Host};

/// The least share of one gateway, in requests a second; smaller limits have a single sharer.
const SHARE_MIN_PER_S: f64 = 0.5;
/// The least limit, in requests a second: without any response its end would not be noticed.
const LIMIT_MIN_PER_S: f64 = 0.1;
/// The least time for which a limit holds after it was last named, see [`Limits::expire`].
const ASK_TERM_MIN: Duration = Duration::from_secs(30);
/// The time between two requests of an equal part of the limit, multiplied by this, is the term of
/// a small limit.
const ASK_INTERVALS: f64 = 4.0;
/// The span whose requests a sharer may send at once.
const BURST: Duration = Duration::from_secs(1);

/// The gateways that share the targets' limits, as one of them sees the fleet.
#[derive(Debug, Clone)]
pub struct Fleet<'a> {
    /// This gateway.
    pub own: Host<'a>,
    /// Whether this gateway accepts callers and hears more than half of the fleet.
    pub may_share: bool,
    /// The other live gateways that accept callers.
    pub others: Vec<Host<'a>>,
    /// How long a share that has grown is not used yet, nor any share after this gateway's start at
    /// time zero.
    pub handover: Duration,
}

/// The limits of all targets, as far as this gateway may use them.
#[derive(Debug, Default)]
pub struct Limits {
    by_target: BTreeMap<Arc<str>, Limit>,
    /// A digest of the fleet by which the shares were computed.
    fleet: Option<u64>,
    /// Whether a limit was set since the shares were computed.
    is_stale: bool,
}

#[derive(Debug)]
struct Limit {
    born_ms: u64,
    per_s: f64,
    named_at: Duration,
    share: Share,
}

/// The part of a limit that this gateway may use.
#[derive(Debug)]
struct Share {
    /// Requests a second, infinite before the share was first computed.
    per_s: f64,
    /// A larger share, and from when on it may be used.
    grown: Option<(Duration, f64)>,
    /// The requests that may be sent at once.
    tokens: f64,
    /// When the tokens were last computed.
    updated_at: Duration,
}

impl Limits {
    /// Sets or lifts the limit of an incarnation of a target.
    pub fn set(&mut self, target: &Arc<str>, born_ms: u64, per_s: Option<f64>, now: Duration) {
        let known = self.by_target.remove(target).filter(|limit| limit.born_ms == born_ms);
        self.is_stale = true;
        if let Some(per_s) = per_s {
            let share = known.map_or_else(|| Share::new(now), |known| known.share);
            let per_s = per_s.max(LIMIT_MIN_PER_S);
            let limit = Limit { born_ms, per_s, named_at: now, share };
            self.by_target.insert(Arc::clone(target), limit);
        }
    }

    /// Forgets the limits of targets that `is_listed` returns false for.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.by_target.retain(|target, _| is_listed(target));
    }

    /// Forgets limits that were not named for long, so that a gateway without a share asks again.
    ///
    /// Only gateways that do not tell each other of limits need this. They ask so rarely that all
    /// of them together stay within a part of the limit.
    pub fn expire(&mut self, gateways: usize, now: Duration) {
        self.by_target.retain(|_, limit| {
            let term = Duration::from_secs_f64(ASK_INTERVALS * gateways as f64 / limit.per_s);
            now < limit.named_at + term.max(ASK_TERM_MIN)
        });
    }

    /// Returns the limited targets to which this gateway may send no request now.
    pub fn unavailable(&self, now: Duration) -> impl Iterator<Item = &str> {
        let limits = self.by_target.iter();
        limits.filter(move |(_, limit)| limit.share.available_at(now) > now).map(|(id, _)| &**id)
    }

    /// Returns true if no target names a limit.
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Computes this gateway's shares anew if the fleet or a limit changed.
    /// `domain_of` returns the failure domain of a target.
    pub fn update<'a>(
        &mut self,
        fleet: &Fleet<'_>,
        domain_of: impl Fn(&str) -> Option<&'a str>,
        now: Duration,
    ) {
        let digest = fleet.digest();
        let is_other_fleet = self.fleet.replace(digest) != Some(digest);
        if !std::mem::take(&mut self.is_stale) && !is_other_fleet {
            return;
        }
        // All gateways learn of a limit and divide it in the same way; a change of the fleet each
        // of them sees at another time.
        let handover = if is_other_fleet { fleet.handover } else { Duration::ZERO };
        for (id, limit) in &mut self.by_target {
            let share = fleet.share(id, domain_of(id).unwrap_or_default(), limit.per_s);
            if limit.share.per_s.is_infinite() {
                limit.share.start(share, now.max(fleet.handover), now);
            } else {
                limit.share.resize(share, handover, now);
            }
        }
    }

    /// Returns from when on this gateway may send the target a request, [`Duration::MAX`] if that
    /// is not known.
    pub fn available_at(&self, target: &str, born_ms: u64, now: Duration) -> Duration {
        let limit = self.by_target.get(target).filter(|limit| limit.born_ms == born_ms);
        limit.map_or(Duration::ZERO, |limit| limit.share.available_at(now))
    }

    /// Counts a request to the target.
    pub fn record_request(&mut self, target: &str, now: Duration) {
        if let Some(limit) = self.by_target.get_mut(target) {
            limit.share.refill(now);
            limit.share.tokens -= 1.0;
        }
    }
}

impl Fleet<'_> {
    /// Returns this gateway's share of a target's limit, in requests a second.
    fn share(&self, target: &str, domain: &str, limit_per_s: f64) -> f64 {
        if !self.may_share {
            return 0.0;
        }
        let gateways = self.others.len() + 1;
        let sharers = ((limit_per_s / SHARE_MIN_PER_S) as usize).clamp(1, gateways);
        let rank = |host: &Host<'_>| {
            (host.domain == domain, placement::weight(&["target-limit", target], host.name))
        };
        let own = rank(&self.own);
        let ahead = self.others.iter().filter(|other| rank(other) > own).take(sharers).count();
        if ahead < sharers { limit_per_s / sharers as f64 } else { 0.0 }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.may_share, self.handover).hash(&mut hasher);
        for other in &self.others {
            (other.name, other.domain).hash(&mut hasher);
        }
        hasher.finish()
    }
}

impl Share {
    fn new(now: Duration) -> Self {
        Self { per_s: f64::INFINITY, grown: None, tokens: 0.0, updated_at: now }
    }

    /// Sets the first share, which may be used from `usable_at` on.
    fn start(&mut self, per_s: f64, usable_at: Duration, now: Duration) {
        let growth = Some((usable_at, per_s)).filter(|_| per_s > 0.0);
        *self = Self { per_s: 0.0, grown: growth, tokens: 0.0, updated_at: now };
    }

    fn resize(&mut self, per_s: f64, handover: Duration, now: Duration) {
        self.refill(now);
        if per_s <= self.per_s {
            self.grown = None;
            self.per_s = per_s;
            self.tokens = self.tokens.min(self.burst());
            return;
        }
        let begun = self.grown.filter(|(_, grown)| handover.is_zero() || *grown == per_s);
        let usable_at = begun.map_or(now + handover, |(at, _)| at);
        self.grown = Some((usable_at, per_s));
    }

    /// Returns from when on a request may be sent.
    fn available_at(&self, now: Duration) -> Duration {
        let mut next = Self { ..*self };
        next.refill(now);
        let missing = (1.0 - next.tokens).max(0.0);
        if missing == 0.0 {
            return now;
        }
        match next.grown {
            _ if next.per_s > 0.0 => now + Duration::from_secs_f64(missing / next.per_s),
            Some((at, per_s)) => at + Duration::from_secs_f64(missing / per_s),
            None => Duration::MAX,
        }
    }

    /// Adds the tokens since the last update.
    fn refill(&mut self, now: Duration) {
        if let Some((at, per_s)) = self.grown
            && at <= now
        {
            self.add_tokens(at);
            self.per_s = per_s;
            self.grown = None;
        }
        self.add_tokens(now);
    }

    fn add_tokens(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        if self.per_s.is_finite() {
            self.tokens = (self.tokens + elapsed * self.per_s).min(self.burst());
        }
        self.updated_at = self.updated_at.max(now);
    }

    fn burst(&self) -> f64 {
        if self.per_s == 0.0 { 0.0 } else { (self.per_s * BURST.as_secs_f64()).max(1.0) }
    }
}
