//! Selects the members that watch the platform: a few of each failure domain, by rendezvous
//! hashing.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::placement::{self, Host};

/// The number of members of each failure domain that watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Returns true if `host` is one of the watchers of its failure domain among `live` members.
pub fn is_watcher(host: &str, domain: &str, live: &[Host<'_>]) -> bool {
    let own_weight = placement::weight(&["watcher"], host);
    let ranked_higher = live
        .iter()
        .filter(|other| other.domain == domain && other.name != host)
        .filter(|other| {
            (placement::weight(&["watcher"], other.name), other.name) > (own_weight, host)
        })
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

/// A jittered timer that limits how often a member that is not a watcher reads the platform.
#[derive(Debug, Clone)]
pub struct FallbackTimer {
    interval: Duration,
    next: Duration,
}

impl FallbackTimer {
    /// Creates a timer that fires at most once per `interval`, which is lengthened by up to half of
    /// it as jitter.
    pub fn open(interval: Duration, rng: &mut ChaCha8Rng, now: Duration) -> Self {
        let mut timer = Self { interval, next: now };
        timer.defer(rng, now);
        timer
    }

    /// Restarts the timer, for example because a peer already sent what the read would return.
    pub fn defer(&mut self, rng: &mut ChaCha8Rng, now: Duration) {
        self.next = now + self.interval.mul_f64(rng.random_range(1.0..1.5));
    }

    /// Returns true and restarts the timer if a read is due.
    pub fn fire_if_due(&mut self, rng: &mut ChaCha8Rng, now: Duration) -> bool {
        if now < self.next {
            return false;
        }
        self.defer(rng, now);
        true
    }
}
