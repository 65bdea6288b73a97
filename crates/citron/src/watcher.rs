//! Who reads the platform: a few members of each failure domain, chosen by rendezvous hashing.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::placement::{self, Host};

/// The members of a failure domain that hold a watch at the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Returns true if `host` is one of the watchers of its failure domain among `live` members.
pub fn is_watcher(host: &str, domain: &str, live: &[Host<'_>]) -> bool {
    let mine = placement::weight(&["watcher"], host);
    let better = live
        .iter()
        .filter(|other| other.domain == domain && other.name != host)
        .filter(|other| (placement::weight(&["watcher"], other.name), other.name) > (mine, host))
        .count();
    better < WATCHERS_PER_DOMAIN
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
pub struct Fallback {
    interval: Duration,
    next: Duration,
}

impl Fallback {
    /// Opens a fallback that reads at most once in `interval`, with half of it as jitter.
    pub fn open(interval: Duration, rng: &mut ChaCha8Rng, now: Duration) -> Self {
        let mut fallback = Self { interval, next: now };
        fallback.defer(rng, now);
        fallback
    }

    /// Puts the next read off, for example because a peer gave what was needed.
    pub fn defer(&mut self, rng: &mut ChaCha8Rng, now: Duration) {
        self.next = now + self.interval.mul_f64(rng.random_range(1.0..1.5));
    }

    /// Returns true if a read is due, and counts it as made.
    pub fn take(&mut self, rng: &mut ChaCha8Rng, now: Duration) -> bool {
        if now < self.next {
            return false;
        }
        self.defer(rng, now);
        true
    }
}
