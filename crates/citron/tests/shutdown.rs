//! The graceful stop: order of its actions, and random runs.

use std::time::Duration;

use citron::shutdown::{Action, Departure};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOTICE: Duration = Duration::from_secs(5);

#[test]
fn it_serves_until_it_begins() {
    let mut departure = Departure::new(NOTICE);
    assert_eq!(departure.step(Duration::from_secs(100), 0), None);
    assert!(departure.accepts() && !departure.is_leaving());
}

#[test]
fn it_announces_once() {
    let mut departure = Departure::new(NOTICE);
    assert_eq!(departure.begin(Duration::ZERO), Some(Action::Announce));
    assert_eq!(departure.begin(Duration::ZERO), None);
    assert!(departure.accepts() && departure.is_leaving());
}

#[test]
fn it_accepts_for_the_whole_notice() {
    let mut departure = Departure::new(NOTICE);
    departure.begin(Duration::ZERO);
    assert_eq!(departure.step(NOTICE - Duration::from_millis(1), 0), None);
    assert_eq!(departure.step(NOTICE, 0), Some(Action::StopAccepting));
    assert!(!departure.accepts());
}

#[test]
fn it_waits_for_requests_in_flight() {
    let mut departure = Departure::new(NOTICE);
    departure.begin(Duration::ZERO);
    departure.step(NOTICE, 2);
    assert_eq!(departure.step(NOTICE * 100, 1), None);
    assert_eq!(departure.step(NOTICE * 100, 0), Some(Action::ShutDown));
    assert_eq!(departure.step(NOTICE * 100, 0), None);
}

#[test]
fn random_departures_cut_nothing() {
    for seed in 1..=50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut departure = Departure::new(NOTICE);
        let (mut now, mut in_flight, mut begun) = (Duration::ZERO, 0_usize, None);
        for _ in 0..2000 {
            now += Duration::from_millis(rng.random_range(0..100));
            if departure.accepts() && rng.random_ratio(1, 2) {
                in_flight += 1;
            }
            if in_flight > 0 && rng.random_ratio(1, 2) {
                in_flight -= 1;
            }
            if rng.random_ratio(1, 500) && departure.begin(now).is_some() {
                begun = Some(now);
            }
            match departure.step(now, in_flight) {
                Some(Action::StopAccepting) => {
                    assert!(now >= begun.expect("it began") + NOTICE, "seed {seed}");
                }
                Some(Action::ShutDown) => {
                    assert!(in_flight == 0 && !departure.accepts(), "seed {seed}");
                    break;
                }
                Some(Action::Announce) => panic!("seed {seed}: announced twice"),
                None => {}
            }
        }
    }
}
