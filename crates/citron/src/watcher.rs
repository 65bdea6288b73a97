//! Who reads the platform: a few members of each failure domain, chosen by rendezvous hashing.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::home::{self, Host};

/// The members of a failure domain that hold a watch at the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Returns true if `host` is one of the watchers of its failure domain among `live` members.
pub fn is_watcher(host: &str, domain: &str, live: &[Host<'_>]) -> bool {
    let own_weight = home::weight(&["watcher"], host);
    let ranked_higher = live
        .iter()
        .filter(|other| other.domain == domain && other.name != host)
        .filter(|other| (home::weight(&["watcher"], other.name), other.name) > (own_weight, host))
        .count();
    ranked_higher < WATCHERS_PER_DOMAIN
}

/// Returns the watchers of every failure domain.
pub fn watchers<'a>(live: &[Host<'a>]) -> BTreeMap<&'a str, Vec<&'a str>> {
    let mut chosen: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for host in live {
        if is_watcher(host.name, host.domain, live) {
            chosen.entry(host.domain).or_default().push(host.name);
        }
    }
    for (domain, hosts) in &chosen {
        assert!(
            hosts.len() <= WATCHERS_PER_DOMAIN,
            "failure domain {domain} has too many watchers: {hosts:?}"
        );
    }
    chosen
}

/// Limits the reads of a member that is not a watcher.
#[derive(Debug, Clone)]
pub struct FallbackTimer {
    interval: Duration,
    next: Duration,
}

impl FallbackTimer {
    /// Opens a fallback that reads at most once in `interval`, with half of it as jitter.
    pub fn open(interval: Duration, rng: &mut ChaCha8Rng, now: Duration) -> Self {
        let mut timer = Self { interval, next: now };
        timer.defer(rng, now);
        timer
    }

    /// Puts the next read off, for example because a peer gave what was needed.
    pub fn defer(&mut self, rng: &mut ChaCha8Rng, now: Duration) {
        self.next = now + self.interval.mul_f64(rng.random_range(1.0..1.5));
    }

    /// Returns true if a read is due, and counts it as made.
    pub fn fire_if_due(&mut self, rng: &mut ChaCha8Rng, now: Duration) -> bool {
        if now < self.next {
            return false;
        }
        self.defer(rng, now);
        true
    }
}
