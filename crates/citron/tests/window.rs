//! The retry budget over a sliding window.

use std::{collections::VecDeque, time::Duration};

use citron::attempt::{RetryBudgetParams, WindowedRetryBudget};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PARAMS: RetryBudgetParams = RetryBudgetParams {
    ratio: 0.2,
    slack: 10.0,
    window: Duration::from_secs(10),
    hosts: 5,
    slack_from: Duration::ZERO,
};

#[test]
fn the_slack_is_shared_by_the_hosts() {
    let mut budget = WindowedRetryBudget::default();
    let now = Duration::from_secs(1);
    let allowed = (0..10).filter(|_| budget.withdraw(PARAMS, now)).count();
    assert_eq!(allowed, 2);
}

#[test]
fn requests_add_their_share() {
    let mut budget = WindowedRetryBudget::default();
    let now = Duration::from_secs(1);
    (0..50).for_each(|_| budget.record_request(PARAMS, now));
    let allowed = (0..100).filter(|_| budget.withdraw(PARAMS, now)).count();
    assert_eq!(allowed, 12);
}

#[test]
fn a_spent_budget_comes_back_after_the_window() {
    let mut budget = WindowedRetryBudget::default();
    while budget.withdraw(PARAMS, Duration::ZERO) {}
    assert!(!budget.withdraw(PARAMS, Duration::from_millis(9900)));
    assert!(budget.withdraw(PARAMS, Duration::from_millis(10_600)));
}

/// No window contains more retries than the requests of this window and the one before allow,
/// however the requests are spread over time.
#[test]
fn random_windows_keep_the_budget() {
    for seed in 1..=40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut budget = WindowedRetryBudget::default();
        let mut now = Duration::ZERO;
        let (mut requests, mut retries) = (VecDeque::new(), VecDeque::new());
        for _ in 0..3000 {
            now += Duration::from_millis(rng.random_range(0..60));
            if rng.random_ratio(1, 2) {
                budget.record_request(PARAMS, now);
                requests.push_back(now);
            } else if budget.withdraw(PARAMS, now) {
                retries.push_back(now);
            }
            while retries.front().is_some_and(|at| *at + PARAMS.window <= now) {
                retries.pop_front();
            }
            while requests.front().is_some_and(|at| *at + PARAMS.window * 2 <= now) {
                requests.pop_front();
            }
            let allowed = PARAMS.ratio * requests.len() as f64 + PARAMS.slack / 5.0;
            assert!(retries.len() as f64 <= allowed, "seed {seed} at {now:?}");
        }
    }
}

/// Returns how many retries a process makes in `window` ends at once, one second after its start.
fn retries_after_start(slack_from: Duration) -> usize {
    let params = RetryBudgetParams { slack_from, ..PARAMS };
    let mut budget = WindowedRetryBudget::default();
    (0..100).filter(|_| budget.withdraw(params, Duration::from_secs(1))).count()
}

#[test]
fn a_process_that_replaced_another_does_not_use_the_slack_of_its_host_once_more() {
    let window = PARAMS.window;
    assert_eq!(retries_after_start(RetryBudgetParams::slack_from(window, false)), 0);
    assert_eq!(retries_after_start(RetryBudgetParams::slack_from(window, true)), 2);
    let params = RetryBudgetParams { slack_from: window, ..PARAMS };
    assert!(WindowedRetryBudget::default().withdraw(params, window), "its first window is over");
}
