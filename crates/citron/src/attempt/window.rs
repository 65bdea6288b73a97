//! A budget of repetitions over a sliding window, for one service and this host's share.

use std::{collections::VecDeque, time::Duration};

/// The parts into which the window is cut.
const BUCKETS: u32 = 20;

/// The figures of the budget, the same at every host.
#[derive(Debug, Copy, Clone)]
pub struct Share {
    /// Repetitions allowed for each request.
    pub ratio: f64,
    /// Repetitions allowed besides in each window, over all hosts.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
    /// The hosts that share the slack, at least 1.
    pub hosts: usize,
}

/// Requests and repetitions of one service in the last window.
#[derive(Debug, Default)]
pub struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    start: Duration,
    requests: u32,
    repeats: u32,
}

impl Window {
    /// Counts a request.
    pub fn request(&mut self, share: Share, now: Duration) {
        self.bucket(share, now).requests += 1;
    }

    /// Counts a repetition if the budget allows one, else returns false.
    pub fn withdraw(&mut self, share: Share, now: Duration) -> bool {
        let (requests, repeats) = self.totals(share, now);
        let allowed = share.ratio * f64::from(requests) + share.slack / share.hosts.max(1) as f64;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.bucket(share, now).repeats += 1;
        assert!(f64::from(repeats + 1) <= allowed, "repetitions must stay within the budget");
        true
    }

    fn totals(&mut self, share: Share, now: Duration) -> (u32, u32) {
        // Counted repetitions leave the window one bucket late, so that no window holds too many.
        let span = share.window + share.window / BUCKETS;
        while self.buckets.front().is_some_and(|bucket| bucket.start + span <= now) {
            self.buckets.pop_front();
        }
        let recent = self.buckets.iter().filter(|bucket| bucket.start + share.window > now);
        (recent.map(|b| b.requests).sum(), self.buckets.iter().map(|b| b.repeats).sum())
    }

    fn bucket(&mut self, share: Share, now: Duration) -> &mut Bucket {
        let length = share.window / BUCKETS;
        let current = self.buckets.back().is_some_and(|bucket| now < bucket.start + length);
        if !current {
            self.buckets.push_back(Bucket { start: now, requests: 0, repeats: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
