//! A retry budget over a sliding window: this host's share of the budget of one service.

use std::{collections::VecDeque, time::Duration};

/// The number of buckets that divide the window.
const BUCKET_COUNT: u32 = 20;

/// The parameters of the budget, the same at every host.
#[derive(Debug, Copy, Clone)]
pub struct RetryBudgetParams {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed in each window, over all hosts.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
    /// The hosts that share the slack, at least 1.
    pub hosts: usize,
    /// From when this host may use the slack, see [`RetryBudgetParams::slack_from`].
    pub slack_from: Duration,
}

impl RetryBudgetParams {
    /// Returns from when a process that started at zero may use its host's slack.
    ///
    /// One that replaced another does not know what that one used. What it used is out of the window
    /// once the new one has run for as long.
    pub fn slack_from(window: Duration, is_first_start: bool) -> Duration {
        if is_first_start { Duration::ZERO } else { window }
    }
}

/// The requests and retries of one service in the last window.
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

    /// Counts a retry if the budget allows one, otherwise returns false.
    pub fn withdraw(&mut self, params: RetryBudgetParams, now: Duration) -> bool {
        let (requests, retries) = self.totals(params, now);
        let slack = if now < params.slack_from { 0.0 } else { params.slack };
        let allowed = params.ratio * f64::from(requests) + slack / params.hosts.max(1) as f64;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(params, now).retries += 1;
        assert!(f64::from(retries + 1) <= allowed, "retries must stay within the budget");
        true
    }

    fn totals(&mut self, params: RetryBudgetParams, now: Duration) -> (u32, u32) {
        // Retries are counted for one bucket longer than the window, so that no window of this
        // length contains too many.
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
