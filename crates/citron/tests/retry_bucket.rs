//! A host's share of the fleet's retry budget, and the bucket that it is spent from.

use std::{collections::VecDeque, time::Duration};

use citron::attempt::{
    Asks, Denial, LOAN_TERM, Loan, LoanId, RetryBound, RetryBucket, RetryShare, Sharer, Standstill,
    Ticket,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(10);
const FLIGHT: Duration = Duration::from_secs(3);
const BOUND: RetryBound = RetryBound { ratio: 0.2, slack: 20.0, window: WINDOW };
/// One of five hosts: 3.4 tokens a window, of which 2.89 at once.
const SHARER: Sharer = Sharer { hosts: 5, rank: 0 };

fn share() -> RetryShare {
    RetryShare::new(&BOUND, SHARER)
}

/// When a process has its first tokens: no retry of the one before it, and none with a token that
/// it lent, can arrive any more.
const START: Duration = FLIGHT.saturating_add(LOAN_TERM);

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(START.as_secs_f64() + seconds)
}

/// Returns the bucket of a process that has run for long, and has made no retries.
fn full() -> RetryBucket {
    let mut bucket = RetryBucket::new(FLIGHT);
    bucket.record_request(&share(), at(0.0));
    bucket.record_request(&share(), at(60.0));
    bucket
}

/// Makes retries that arrive at once until one is denied; returns how many, and why it was denied.
fn spend(bucket: &mut RetryBucket, share: &RetryShare, now: Duration) -> (usize, Denial) {
    for count in 0.. {
        match bucket.withdraw(share, now) {
            Ok(ticket) => bucket.record_arrival(ticket, now),
            Err(denial) => return (count, denial),
        }
    }
    unreachable!("some retry is denied")
}

macro_rules! shares {
    ($($name:ident: $slack:expr, $hosts:expr, $rank:expr => $burst:expr, $refill:expr;)*) => {$(
        #[test]
        fn $name() {
            let bound = RetryBound { slack: $slack, ..BOUND };
            let share = RetryShare::new(&bound, Sharer { hosts: $hosts, rank: $rank });
            assert!((share.burst - $burst).abs() < 1e-9, "{share:?}");
            assert!((share.refill_per_s - $refill).abs() < 1e-9, "{share:?}");
        }
    )*};
}

shares! {
    the_slack_is_shared_by_the_hosts: 20.0, 5, 4 => 2.89, 0.051;
    one_host_has_all_of_it: 20.0, 1, 0 => 14.45, 0.255;
    a_small_share_is_a_whole_token: 20.0, 16, 3 => 1.0, (17.0 / 16.0 - 1.0) / 10.0;
    a_host_without_a_whole_token_has_no_share: 20.0, 30, 17 => 0.0, 0.0;
    a_host_that_comes_first_has_a_share_of_little: 20.0, 30, 16 => 1.0, 0.0;
    no_slack_is_no_share: 0.0, 1, 0 => 0.0, 0.0;
    a_fleet_that_is_not_counted_counts_one: 20.0, 0, 0 => 14.45, 0.255;
}

#[test]
fn all_shares_stay_below_the_slack() {
    for hosts in 1..200 {
        let shares = (0..hosts).map(|rank| RetryShare::new(&BOUND, Sharer { hosts, rank }));
        let sum: f64 = shares.map(|s| s.burst + s.refill_per_s * WINDOW.as_secs_f64()).sum();
        assert!(sum <= 0.85 * BOUND.slack + 1e-9, "{sum} of {hosts} hosts");
    }
}

#[test]
fn requests_add_their_part() {
    let mut bucket = full();
    assert_eq!(spend(&mut bucket, &share(), at(60.0)), (2, Denial::Spent));
    (0..50).for_each(|_| {
        bucket.record_request(&share(), at(60.0));
    });
    assert_eq!(spend(&mut bucket, &share(), at(60.0)).0, 2, "the bucket holds 2.89 tokens");
    let retries: usize = (0..50)
        .map(|_| {
            bucket.record_request(&share(), at(60.0));
            spend(&mut bucket, &share(), at(60.0)).0
        })
        .sum();
    assert_eq!(retries, 10, "a fifth of the requests, as their tokens are spent at once");
}

#[test]
fn the_share_is_refilled_over_the_window() {
    let mut bucket = full();
    assert_eq!(spend(&mut bucket, &share(), at(60.0)).0, 2);
    assert!(bucket.withdraw(&share(), at(61.0)).is_err(), "0.89 and 0.05 tokens");
    assert!(bucket.withdraw(&share(), at(63.0)).is_ok(), "0.89 and 0.15 tokens");
}

#[test]
fn a_process_that_replaced_another_does_not_use_the_slack_of_its_host_once_more() {
    let mut bucket = RetryBucket::new(FLIGHT);
    (0..50).for_each(|_| {
        bucket.record_request(&share(), START - Duration::from_millis(1));
    });
    let too_early = bucket.withdraw(&share(), START - Duration::from_millis(1));
    assert_eq!(too_early, Err(Denial::Starting));
    assert_eq!(bucket.withdraw(&share(), START), Err(Denial::Spent));
}

#[test]
fn a_retry_on_its_way_counts_in_the_burst_until_it_cannot_arrive() {
    let mut bucket = full();
    (0..2).for_each(|_| {
        bucket.withdraw(&share(), at(60.0)).expect("a token");
    });
    (0..50).for_each(|_| {
        bucket.record_request(&share(), at(60.0));
    });
    assert_eq!(bucket.withdraw(&share(), at(62.9)), Err(Denial::InFlight));
    (0..50).for_each(|_| {
        bucket.record_request(&share(), at(63.0));
    });
    assert!(bucket.withdraw(&share(), at(63.0)).is_ok());
}

/// Guards against a bucket that refills, once a retry has arrived or is given up, for the time in which
/// that retry left it no room.
#[test]
fn the_room_of_a_retry_is_refilled_only_from_its_end_on() {
    let arrives: fn(&mut RetryBucket, Ticket) =
        |bucket, ticket| bucket.record_arrival(ticket, at(62.9));
    let is_lost: fn(&mut RetryBucket, Ticket) = |_, _| {};
    for end in [arrives, is_lost] {
        let mut bucket = full();
        let ticket = bucket.withdraw(&share(), at(60.0)).expect("a token");
        let before = bucket.tokens();
        end(&mut bucket, ticket);
        bucket.record_request(&RetryShare { ratio: 0.0, ..share() }, at(63.0));
        let refilled = bucket.tokens() - before;
        let possible = share().refill_per_s * 0.1;
        assert!(refilled <= possible + 1e-6, "{refilled} of {possible}");
    }
}

#[test]
fn a_retry_that_was_not_sent_returns_its_token_once() {
    let mut bucket = full();
    let ticket: Ticket = bucket.withdraw(&share(), at(60.0)).expect("a token");
    assert!(bucket.withdraw(&share(), at(60.0)).is_ok());
    bucket.refund(ticket, at(60.0));
    bucket.refund(ticket, at(60.0));
    assert!(bucket.withdraw(&share(), at(60.0)).is_ok());
    assert!(bucket.withdraw(&share(), at(60.0)).is_err());
}

#[test]
fn a_host_that_does_not_know_its_share_makes_no_retries() {
    let mut bucket = full();
    assert_eq!(bucket.withdraw(&RetryShare::NONE, at(60.0)), Err(Denial::NoShare));
    assert_eq!(bucket.withdraw(&share(), at(60.0)), Err(Denial::Spent), "nor saves tokens");
}

#[test]
fn a_host_lends_whole_tokens() {
    let mut bucket = full();
    assert!(bucket.lend(&share(), at(60.0)).is_ok(), "2.89 tokens");
    assert!(bucket.withdraw(&share(), at(60.0)).is_ok(), "1.89 tokens");
    assert_eq!(bucket.lend(&share(), at(60.0)), Err(Denial::InFlight), "0.89 tokens");
}

#[test]
fn a_host_whose_share_is_one_token_lends_it() {
    let share = RetryShare { burst: 1.0, ..share() };
    let mut bucket = RetryBucket::new(FLIGHT);
    bucket.record_request(&share, at(0.0));
    bucket.record_request(&share, at(60.0));
    assert!(bucket.lend(&share, at(60.0)).is_ok());
}

#[test]
fn the_first_process_of_a_host_starts_with_all_its_tokens() {
    let mut bucket = RetryBucket::of_new_host(FLIGHT);
    assert_eq!(bucket.withdraw(&share(), at(-0.1)), Err(Denial::Starting));
    assert_eq!(bucket.withdraw(&RetryShare::NONE, at(0.1)), Err(Denial::NoShare));
    assert_eq!(spend(&mut bucket, &share(), at(0.2)).0, 2);
}

#[test]
fn a_lent_token_counts_in_the_burst_until_no_retry_with_it_can_arrive() {
    let mut bucket = full();
    bucket.lend(&share(), at(60.0)).expect("a token");
    bucket.withdraw(&share(), at(60.0)).expect("a token");
    let until = at(60.0) + FLIGHT;
    (0..50).for_each(|_| {
        bucket.record_request(&share(), until);
    });
    assert_eq!(spend(&mut bucket, &share(), until).0, 1, "the own retry is over");
    let until = until + LOAN_TERM;
    (0..50).for_each(|_| {
        bucket.record_request(&share(), until);
    });
    assert_eq!(spend(&mut bucket, &share(), until).0, 2);
}

#[test]
fn a_loan_is_usable_for_its_term_from_when_it_was_asked_for() {
    let id = LoanId { service: "desk".into(), lender_born_ms: 1, ticket: Ticket(0) };
    let loan = Loan { id, asked_at: at(1.0) };
    assert!(loan.is_usable(at(1.0) + LOAN_TERM - Duration::from_millis(1)));
    assert!(!loan.is_usable(at(1.0) + LOAN_TERM));
}

#[test]
fn others_are_not_asked_again_at_once_after_all_denied() {
    let mut asks = Asks::default();
    assert!(asks.may_ask(at(0.0)));
    asks.record_denial(at(0.0));
    assert!(!asks.may_ask(at(0.1)));
    assert!(asks.may_ask(at(0.2)));
}

/// No span, however long, has more retries than the requests in that span and the share allow.
#[test]
fn random_spans_keep_the_bound() {
    for seed in 1..=40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bucket = RetryBucket::new(FLIGHT);
        let mut now = START;
        let (mut requests, mut retries) = (VecDeque::new(), VecDeque::new());
        for _ in 0..3000 {
            now += Duration::from_millis(rng.random_range(0..60));
            if rng.random_ratio(1, 2) {
                bucket.record_request(&share(), now);
                requests.push_back(now);
            } else if let Ok(ticket) = bucket.withdraw(&share(), now) {
                bucket.record_arrival(ticket, now);
                retries.push_back(now);
            }
            let span = Duration::from_millis(rng.random_range(1..20_000));
            let during = |times: &VecDeque<Duration>| {
                times.iter().rev().take_while(|at| **at + span > now).count() as f64
            };
            let share = share();
            let allowed = share.ratio * during(&requests)
                + share.burst
                + share.refill_per_s * span.as_secs_f64();
            assert!(during(&retries) <= allowed + 1e-6, "seed {seed} at {now:?}");
        }
    }
}

const TICK: Duration = Duration::from_millis(100);

#[test]
fn a_request_that_waited_while_the_process_stood_still_is_told() {
    let mut standstill = Standstill::new(TICK);
    let at = Duration::from_millis;
    assert_eq!(standstill.tick(at(100)), None);
    assert!(standstill.is_over(at(350)));
    assert!(!standstill.is_over(at(3000)), "before the tick that is late");
    assert_eq!(standstill.tick(at(3000)), Some(at(2900)));
    assert!(!standstill.is_over(at(3100)));
    assert_eq!(standstill.tick(at(3100)), None);
    assert!(standstill.is_over(at(3200)));
}
