//! The graceful shutdown: the order of its actions, and random runs.

use std::time::Duration;

use citron::shutdown::{Action, GracefulShutdown};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOTICE_PERIOD: Duration = Duration::from_secs(5);

#[test]
fn it_accepts_until_shutdown_begins() {
    let mut shutdown = GracefulShutdown::new(NOTICE_PERIOD);
    assert_eq!(shutdown.step(Duration::from_secs(100), 0), None);
    assert!(shutdown.accepts_connections() && !shutdown.is_shutting_down());
}

#[test]
fn it_announces_the_shutdown_once() {
    let mut shutdown = GracefulShutdown::new(NOTICE_PERIOD);
    assert_eq!(shutdown.begin(Duration::ZERO), Some(Action::Announce));
    assert_eq!(shutdown.begin(Duration::ZERO), None);
    assert!(shutdown.accepts_connections() && shutdown.is_shutting_down());
}

#[test]
fn it_accepts_connections_for_the_whole_notice_period() {
    let mut shutdown = GracefulShutdown::new(NOTICE_PERIOD);
    shutdown.begin(Duration::ZERO);
    assert_eq!(shutdown.step(NOTICE_PERIOD - Duration::from_millis(1), 0), None);
    assert_eq!(shutdown.step(NOTICE_PERIOD, 0), Some(Action::StopAccepting));
    assert!(!shutdown.accepts_connections());
}

#[test]
fn it_waits_for_requests_in_flight() {
    let mut shutdown = GracefulShutdown::new(NOTICE_PERIOD);
    shutdown.begin(Duration::ZERO);
    shutdown.step(NOTICE_PERIOD, 2);
    assert_eq!(shutdown.step(NOTICE_PERIOD * 100, 1), None);
    assert_eq!(shutdown.step(NOTICE_PERIOD * 100, 0), Some(Action::ShutDown));
    assert_eq!(shutdown.step(NOTICE_PERIOD * 100, 0), None);
}

#[test]
fn random_shutdowns_cut_no_request() {
    for seed in 1..=50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut shutdown = GracefulShutdown::new(NOTICE_PERIOD);
        let (mut now, mut in_flight, mut begun) = (Duration::ZERO, 0_usize, None);
        for _ in 0..2000 {
            now += Duration::from_millis(rng.random_range(0..100));
            if shutdown.accepts_connections() && rng.random_ratio(1, 2) {
                in_flight += 1;
            }
            if in_flight > 0 && rng.random_ratio(1, 2) {
                in_flight -= 1;
            }
            if rng.random_ratio(1, 500) && shutdown.begin(now).is_some() {
                begun = Some(now);
            }
            match shutdown.step(now, in_flight) {
                Some(Action::StopAccepting) => {
                    assert!(now >= begun.expect("it began") + NOTICE_PERIOD, "seed {seed}");
                }
                Some(Action::ShutDown) => {
                    assert!(in_flight == 0 && !shutdown.accepts_connections(), "seed {seed}");
                    break;
                }
                Some(Action::Announce) => panic!("seed {seed}: announced twice"),
                None => {}
            }
        }
    }
}
