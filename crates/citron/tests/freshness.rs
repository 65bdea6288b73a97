//! When a gateway's state counts as confirmed, and when it checks it itself.

use std::time::Duration;

use citron::{
    delay::Delay,
    freshness::{CONFIRMATION_MAX_AGE, CheckTimer, Freshness, Subject},
    position::Position,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Names a case: the responses (subject, revision, time in ms), and when the state was confirmed.
macro_rules! confirmed {
    ($name:ident, $responses:expr, $confirmed:expr) => {
        #[test]
        fn $name() {
            let mut freshness = Freshness::default();
            let responses: &[(Subject, u64, u64)] = &$responses;
            for (subject, revision, millis) in responses.iter().copied() {
                freshness.record(subject, Position { era: 1, revision }, at(millis));
            }
            let confirmed: Option<u64> = $confirmed;
            assert_eq!(freshness.confirmed_at(), confirmed.map(at));
        }
    };
}

use Subject::{Routes, Targets};

confirmed!(nothing_is_confirmed_before_both_subjects_are_known, [(Targets, 5, 100)], None);
confirmed!(the_older_subject_counts, [(Routes, 5, 100), (Targets, 6, 200)], Some(100));
confirmed!(
    an_unchanged_revision_confirms_both_subjects,
    [(Routes, 5, 100), (Targets, 5, 900)],
    Some(900)
);
confirmed!(
    a_newer_revision_leaves_the_other_subject_open,
    [(Routes, 5, 100), (Targets, 5, 200), (Targets, 6, 900)],
    Some(200)
);
confirmed!(
    a_late_response_confirms_nothing,
    [(Routes, 6, 100), (Targets, 6, 300), (Targets, 5, 900)],
    Some(300)
);

/// Guards against a lease on keys that is renewed with a configuration known to be out of date
/// (review/13): after one that cannot be read, neither the next response about the routes, nor one about
/// the targets at the same position, nor a peer confirms the routes in force.
#[test]
fn nothing_confirms_routes_while_a_newer_configuration_is_unread() {
    let position = |revision| Position { era: 1, revision };
    let mut freshness = Freshness::default();
    freshness.record(Routes, position(5), at(100));
    freshness.record(Targets, position(5), at(100));
    freshness.record_missed(position(6), freshness.routes_confirmed_at());
    for (subject, revision, millis) in [(Routes, 6, 200), (Routes, 7, 300), (Targets, 5, 400)] {
        freshness.record(subject, position(revision), at(millis));
        assert_eq!(freshness.routes_confirmed_at(), Some(at(100)), "{subject:?} at {revision}");
    }
    assert_eq!(freshness.limit_routes(Some(at(900))), Some(at(100)), "by a peer");
    assert_eq!(freshness.limit_routes(None), None);
    assert!(!freshness.record_taken(position(5)), "that of before is in force already");
    assert!(freshness.record_taken(position(8)));
    freshness.record(Routes, position(8), at(1000));
    assert_eq!(freshness.limit_routes(freshness.routes_confirmed_at()), Some(at(1000)));
}

#[test]
fn a_check_is_due_shortly_after_the_longest_age() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let due = CheckTimer::new(&mut rng).due_at(at(5000));
        let late = due - at(5000) - CONFIRMATION_MAX_AGE;
        assert!(late < at(100), "{late:?}");
    }
}

#[test]
fn an_unanswered_check_is_repeated_after_a_second() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut timer = CheckTimer::new(&mut rng);
    timer.restart(at(6000), &mut rng);
    assert_eq!(timer.due_at(at(5000)), at(7000));
}

#[test]
fn an_answered_check_that_confirms_nothing_is_not_repeated_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut timer = CheckTimer::new(&mut rng);
    timer.restart(at(6000), &mut rng);
    timer.record_response(at(6000), at(6004));
    assert_eq!(timer.due_at(at(1000)), at(6304));
    assert!(timer.due_at(at(6000)) < at(7000), "nor is it delayed like one without an answer");
}

#[test]
fn checks_are_spread_wider_while_the_store_responds_slowly() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut timer = CheckTimer::new(&mut rng);
    timer.record_response(at(0), at(300));
    let late = |timer: &CheckTimer| timer.due_at(at(5000)) - at(5000) - CONFIRMATION_MAX_AGE;
    let mut longest = Duration::ZERO;
    for _ in 0..100 {
        timer.restart(at(1000), &mut rng);
        longest = longest.max(late(&timer));
    }
    assert!(longest > at(500) && longest <= at(700), "{longest:?}");
}

#[test]
fn a_message_that_a_relay_held_back_is_recognized() {
    let mut delay = Delay::default();
    assert_eq!(delay.record(at(100), at(5100)), at(0));
    assert_eq!(delay.record(at(200), at(5203)), at(3));
    assert_eq!(delay.record(at(300), at(8300)), at(3000));
    assert_eq!(delay.record(at(3400), at(8400)), at(0));
}

#[test]
fn a_sender_whose_clock_stood_still_is_believed_again_later() {
    let mut delay = Delay::default();
    delay.record(at(100), at(5100));
    assert_eq!(delay.record(at(200), at(8200)), at(3000));
    for second in 1..30 {
        delay.record(at(200 + second * 1000), at(8200 + second * 1000));
    }
    assert_eq!(delay.record(at(30_200), at(38_200)), at(0));
}

#[test]
fn a_response_of_a_later_era_confirms_with_a_lower_revision() {
    let mut freshness = Freshness::default();
    for (subject, era, revision, millis) in
        [(Routes, 1, 96, 100), (Targets, 1, 96, 100), (Routes, 2, 70, 900), (Targets, 2, 70, 950)]
    {
        freshness.record(subject, Position { era, revision }, at(millis));
    }
    assert_eq!(freshness.confirmed_at(), Some(at(950)));
}
