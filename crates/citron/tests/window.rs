//! The sliding budget of repetitions.

use std::{collections::VecDeque, time::Duration};

use citron::attempt::{Share, Window};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SHARE: Share = Share { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10), hosts: 5 };

#[test]
fn the_slack_is_shared_by_the_hosts() {
    let mut window = Window::default();
    let now = Duration::from_secs(1);
    let allowed = (0..10).filter(|_| window.withdraw(SHARE, now)).count();
    assert_eq!(allowed, 2);
}

#[test]
fn requests_add_their_share() {
    let mut window = Window::default();
    let now = Duration::from_secs(1);
    (0..50).for_each(|_| window.request(SHARE, now));
    let allowed = (0..100).filter(|_| window.withdraw(SHARE, now)).count();
    assert_eq!(allowed, 12);
}

#[test]
fn a_spent_budget_comes_back_after_the_window() {
    let mut window = Window::default();
    while window.withdraw(SHARE, Duration::ZERO) {}
    assert!(!window.withdraw(SHARE, Duration::from_millis(9900)));
    assert!(window.withdraw(SHARE, Duration::from_millis(10_600)));
}

/// However the requests come, no window holds more repetitions than its own or the earlier
/// window's requests allow.
#[test]
fn random_windows_keep_the_budget() {
    for seed in 1..=40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut window = Window::default();
        let mut now = Duration::ZERO;
        let (mut requests, mut repeats) = (VecDeque::new(), VecDeque::new());
        for _ in 0..3000 {
            now += Duration::from_millis(rng.random_range(0..60));
            if rng.random_ratio(1, 2) {
                window.request(SHARE, now);
                requests.push_back(now);
            } else if window.withdraw(SHARE, now) {
                repeats.push_back(now);
            }
            while repeats.front().is_some_and(|at| *at + SHARE.window <= now) {
                repeats.pop_front();
            }
            while requests.front().is_some_and(|at| *at + SHARE.window * 2 <= now) {
                requests.pop_front();
            }
            let allowed = SHARE.ratio * requests.len() as f64 + SHARE.slack / 5.0;
            assert!(repeats.len() as f64 <= allowed, "seed {seed} at {now:?}");
        }
    }
}
