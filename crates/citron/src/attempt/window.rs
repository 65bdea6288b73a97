//! A budget of repetitions over a sliding window, for one service and this host's share.

use std::{collections::VecDeque, time::Duration};

/// The parts into which the window is cut.
const BUCKET_COUNT: u32 = 20;

/// The figures of the budget, the same at every host.
#[derive(Debug, Copy, Clone)]
pub struct RetryBudgetParams {
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
pub struct WindowedRetryBudget {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    start: Duration,
    requests: u32,
    retries: u32,
}

impl WindowedRetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, params: RetryBudgetParams, now: Duration) {
        self.bucket(params, now).requests += 1;
    }

    /// Counts a repetition if the budget allows one, else returns false.
    pub fn withdraw(&mut self, params: RetryBudgetParams, now: Duration) -> bool {
        let (requests, retries) = self.totals(params, now);
        let allowed =
            params.ratio * f64::from(requests) + params.slack / params.hosts.max(1) as f64;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(params, now).retries += 1;
        assert!(f64::from(retries + 1) <= allowed, "repetitions must stay within the budget");
        true
    }

    fn totals(&mut self, params: RetryBudgetParams, now: Duration) -> (u32, u32) {
        // Counted repetitions leave the window one bucket late, so that no window holds too many.
        let span = params.window + params.window / BUCKET_COUNT;
        while self.buckets.front().is_some_and(|bucket| bucket.start + span <= now) {
            self.buckets.pop_front();
        }
        let recent = self.buckets.iter().filter(|bucket| bucket.start + params.window > now);
        (recent.map(|b| b.requests).sum(), self.buckets.iter().map(|b| b.retries).sum())
    }

    fn bucket(&mut self, params: RetryBudgetParams, now: Duration) -> &mut Bucket {
        let length = params.window / BUCKET_COUNT;
        let current = self.buckets.back().is_some_and(|bucket| now < bucket.start + length);
        if !current {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
