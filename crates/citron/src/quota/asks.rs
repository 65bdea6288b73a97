//! Which owners of a customer's quota a host asks for a token, and in which order.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use smallvec::SmallVec;

use super::OWNERS_MAX;

/// How long an owner that did not grant or deny is asked only if no other owner is left.
const SILENCE_PAUSE: Duration = Duration::from_secs(1);

/// An owner that may be asked.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Its host.
    pub host: &'a str,
    /// Whether it is in the failure domain of this host.
    pub is_near: bool,
    /// Whether it has reported recently and is known to be active.
    pub is_live: bool,
}

/// What the owners of one customer's quota answered to this host.
#[derive(Debug, Default)]
pub struct Asks {
    known: SmallVec<[Known; OWNERS_MAX]>,
}

#[derive(Debug)]
struct Known {
    host: Arc<str>,
    /// Until when it has no token.
    empty_until: Duration,
    /// Until when it counts as silent.
    silent_until: Duration,
}

impl Asks {
    /// Returns the indices of the candidates to ask, in order: those that answer, the live and the
    /// near ones first, in random order otherwise. Those that are empty are not asked, and silent
    /// ones only if no owner is known to be empty; `own_empty` is whether this host is one that is.
    pub fn order(
        &self,
        candidates: &[Candidate<'_>],
        own_empty: bool,
        now: Duration,
        rng: &mut impl Rng,
    ) -> SmallVec<[usize; OWNERS_MAX]> {
        let is_empty = |host: &str| self.get(host).is_some_and(|known| known.empty_until > now);
        let is_silent = |host: &str| self.get(host).is_some_and(|known| known.silent_until > now);
        let some_empty = own_empty || candidates.iter().any(|candidate| is_empty(candidate.host));
        let mut order: SmallVec<[_; OWNERS_MAX]> = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| !(is_empty(c.host) || some_empty && is_silent(c.host)))
            .map(|(index, c)| {
                (is_silent(c.host), !c.is_live, !c.is_near, rng.random::<u32>(), index)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., index)| index).collect()
    }

    /// Returns when the first of the candidates that are empty, or were a moment ago, has its next
    /// token. A time that has just passed is still an answer: the quota is exceeded.
    pub fn next_token_at(&self, candidates: &[Candidate<'_>], now: Duration) -> Option<Duration> {
        let known = candidates.iter().filter_map(|candidate| self.get(candidate.host));
        let answered = known.map(|known| known.empty_until).filter(|until| !until.is_zero());
        answered.filter(|until| *until + SILENCE_PAUSE > now).min()
    }

    /// Records that an owner has no token until `until`.
    pub fn record_empty(&mut self, host: &str, until: Duration) {
        let known = self.entry(host);
        known.empty_until = until;
        known.silent_until = Duration::ZERO;
    }

    /// Records that an owner granted a token.
    pub fn record_grant(&mut self, host: &str) {
        let known = self.entry(host);
        (known.empty_until, known.silent_until) = (Duration::ZERO, Duration::ZERO);
    }

    /// Records that an owner did not answer, or that it may not grant.
    pub fn record_silence(&mut self, host: &str, now: Duration) {
        self.entry(host).silent_until = now + SILENCE_PAUSE;
    }

    fn get(&self, host: &str) -> Option<&Known> {
        self.known.iter().find(|known| &*known.host == host)
    }

    fn entry(&mut self, host: &str) -> &mut Known {
        let index = self.known.iter().position(|known| &*known.host == host);
        let index = index.unwrap_or_else(|| {
            // Owners change rarely; the oldest one is one that is no owner any more.
            if self.known.len() >= OWNERS_MAX * 2 {
                self.known.remove(0);
            }
            let (empty_until, silent_until) = (Duration::ZERO, Duration::ZERO);
            self.known.push(Known { host: Arc::from(host), empty_until, silent_until });
            self.known.len() - 1
        });
        &mut self.known[index]
    }
}
