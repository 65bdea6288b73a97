//! Admission by shares, and loans between two proxies.

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use citron::{
    limit::{
        HANDOVER, LOAN_TERM, LoanMessage, OwnerLookup, PAUSE_LIMIT, RECLAIM_MARGIN, RateLimiter,
        Share, Verdict,
    },
    policy::Allowance,
};

const RATE: f64 = 100.0;
const ALLOWANCE: Allowance = Allowance { rate: RATE, burst: 20.0 };
const START: Duration = Duration::from_secs(60);

fn lookup(names: &'static [&'static str]) -> OwnerLookup {
    Arc::new(move |_, _| names.iter().map(|name| Arc::from(*name)).collect())
}

/// Creates a rate limiter that has been running until [`START`].
fn limiter(host: &str, names: &'static [&'static str]) -> RateLimiter {
    let mut limiter = RateLimiter::new(host, 1000, HANDOVER, Duration::ZERO);
    limiter.set_owner_lookup(lookup(names), Duration::ZERO);
    run_until(&mut limiter, Duration::ZERO, START);
    limiter
}

fn run_until(limiter: &mut RateLimiter, from: Duration, to: Duration) {
    let mut now = from;
    while now <= to {
        limiter.tick(now);
        now += Duration::from_millis(500);
    }
    limiter.tick(to);
}

/// Admits requests at one time until one is not, and returns how many were.
fn admit_all(limiter: &mut RateLimiter, now: Duration) -> u32 {
    let mut admitted = 0;
    while limiter.admit("roaster", "lot-desk", &ALLOWANCE, now) == Verdict::Admitted {
        admitted += 1;
    }
    admitted
}

/// Offers a request every millisecond for a time and returns how many are admitted.
fn admit_for(limiter: &mut RateLimiter, from: Duration, length_ms: u64) -> u32 {
    let at = |step| from + Duration::from_millis(step);
    (0..length_ms)
        .filter(|&step| {
            limiter.admit("roaster", "lot-desk", &ALLOWANCE, at(step)) == Verdict::Admitted
        })
        .count() as u32
}

fn sent_request(limiter: &mut RateLimiter) -> LoanMessage {
    let out = limiter.drain().into_iter().map(|out| out.message);
    out.into_iter().find(|message| matches!(message, LoanMessage::Request(_))).expect("a request")
}

fn sent_grant(limiter: &mut RateLimiter) -> LoanMessage {
    let out = limiter.drain().into_iter().map(|out| out.message);
    out.into_iter().find(|message| matches!(message, LoanMessage::Grant(_))).expect("a grant")
}

/// Returns two proxies and a loan request from the second to the first, which is the only owner.
fn lender_and_borrower() -> (RateLimiter, RateLimiter, LoanMessage) {
    let (lender, mut borrower) = (limiter("a", &["a"]), limiter("b", &["a"]));
    assert_matches!(
        borrower.admit("roaster", "lot-desk", &ALLOWANCE, START),
        Verdict::Borrowing { .. }
    );
    let request = sent_request(&mut borrower);
    (lender, borrower, request)
}

macro_rules! cases {
    ($($name:ident $check:block)*) => {$(
        #[test]
        fn $name() $check
    )*};
}

cases! {
    an_idle_owner_has_its_whole_burst {
        assert_eq!(admit_all(&mut limiter("a", &["a"]), START), 20);
    }
    a_share_is_a_part_of_rate_and_burst {
        let mut limiter = limiter("a", &["b", "a"]);
        assert_eq!(admit_all(&mut limiter, START), 10);
        assert_eq!(admit_for(&mut limiter, START, 1000), 49);
    }
    shares_add_up_to_the_allowance {
        for burst in 1..12 {
            for owners in 1..5 {
                let allowance = Allowance { rate: 9.0, burst: f64::from(burst) };
                let share = |rank| Share::of(&allowance, rank, owners);
                let sum = (0..owners).map(share).fold(Share::default(), Share::plus);
                assert!((sum.rate - 9.0).abs() < 1e-9 && sum.burst == f64::from(burst));
            }
        }
    }
    a_proxy_that_owns_no_share_admits_nothing_by_itself {
        let mut limiter = limiter("c", &["a", "b"]);
        assert_eq!(admit_for(&mut limiter, START, 1000), 0);
    }
    a_new_process_waits_for_the_handover_and_starts_empty {
        let mut limiter = RateLimiter::new("a", 1, HANDOVER, START);
        limiter.set_owner_lookup(lookup(&["a"]), START);
        assert_eq!(admit_for(&mut limiter, START, HANDOVER.as_millis() as u64), 0);
        assert_eq!(admit_all(&mut limiter, START + HANDOVER), 0);
        assert!(admit_for(&mut limiter, START + HANDOVER, 1000) <= 100);
    }
    a_share_that_grows_waits_for_the_handover {
        let mut limiter = limiter("a", &["a", "b"]);
        limiter.set_owner_lookup(lookup(&["a"]), START);
        assert_eq!(admit_all(&mut limiter, START), 10);
        assert!(admit_for(&mut limiter, START, 2000) <= 100);
        let late = START + HANDOVER;
        admit_for(&mut limiter, START + Duration::from_secs(2), 4000);
        assert!(admit_for(&mut limiter, late + Duration::from_secs(1), 1000) >= 99);
    }
    a_share_in_use_that_grows_waits_for_the_handover {
        let mut limiter = limiter("a", &["a", "b"]);
        assert_eq!(admit_all(&mut limiter, START), 10);
        limiter.set_owner_lookup(lookup(&["a"]), START);
        assert!(admit_for(&mut limiter, START, HANDOVER.as_millis() as u64) <= 250);
    }
    a_grant_for_an_earlier_request_is_ignored {
        let (mut lender, mut borrower, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        let first = sent_grant(&mut lender);
        let later = START + Duration::from_millis(500);
        borrower.admit("roaster", "lot-desk", &ALLOWANCE, later);
        assert_ne!(sent_request(&mut borrower), request);
        assert!(!borrower.receive("a", &first, Some(&ALLOWANCE), later));
    }
    a_smaller_share_applies_at_once {
        let mut limiter = limiter("a", &["a"]);
        limiter.set_owner_lookup(lookup(&["a", "b"]), START);
        assert_eq!(admit_all(&mut limiter, START), 10);
        assert!(admit_for(&mut limiter, START, 1000) <= 50);
    }
    a_lower_rate_applies_at_once {
        let mut limiter = limiter("a", &["a"]);
        admit_all(&mut limiter, START);
        let allowance = Allowance { rate: 10.0, burst: 1.0 };
        let at = |step| START + Duration::from_millis(step);
        let admitted = (0..1000)
            .filter(|&step| limiter.admit("roaster", "lot-desk", &allowance, at(step)) == Verdict::Admitted)
            .count();
        assert!(admitted <= 10, "{admitted}");
    }
    a_loan_moves_allowance_to_the_borrower {
        let (mut lender, mut borrower, request) = lender_and_borrower();
        assert!(lender.receive("b", &request, Some(&ALLOWANCE), START));
        let grant = sent_grant(&mut lender);
        assert!(borrower.receive("a", &grant, Some(&ALLOWANCE), START));
        let lent = assert_matches!(&grant, LoanMessage::Grant(grant) => grant.lent);
        let both = admit_for(&mut lender, START, 1000) + admit_for(&mut borrower, START, 1000);
        assert!(lent.rate > 0.0 && both <= 120, "{lent:?} {both}");
    }
    a_lost_grant_loses_allowance {
        let (mut lender, _, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        let lent = assert_matches!(sent_grant(&mut lender), LoanMessage::Grant(grant) => grant.lent);
        let term = (LOAN_TERM + RECLAIM_MARGIN).as_secs_f64();
        let most = 20.0 - lent.burst + (RATE - lent.rate) * term;
        let admitted = admit_for(&mut lender, START, (LOAN_TERM + RECLAIM_MARGIN).as_millis() as u64);
        assert!(f64::from(admitted) <= most, "{admitted} of {most}");
    }
    a_repeated_request_is_granted_once {
        let (mut lender, _, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        let first = sent_grant(&mut lender);
        let later = START + Duration::from_millis(100);
        lender.receive("b", &request, Some(&ALLOWANCE), later);
        assert_eq!(sent_grant(&mut lender), first);
    }
    a_repeated_grant_is_accepted_once {
        let (mut lender, mut borrower, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        let grant = sent_grant(&mut lender);
        assert!(borrower.receive("a", &grant, Some(&ALLOWANCE), START));
        assert!(!borrower.receive("a", &grant, Some(&ALLOWANCE), START + LOAN_TERM));
    }
    a_grant_that_was_not_requested_is_ignored {
        let (mut lender, _, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        let grant = sent_grant(&mut lender);
        assert!(!limiter("b", &["a"]).receive("a", &grant, Some(&ALLOWANCE), START));
    }
    a_grant_from_a_host_that_was_not_asked_is_ignored {
        let (mut lender, mut borrower, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        assert!(!borrower.receive("c", &sent_grant(&mut lender), Some(&ALLOWANCE), START));
    }
    a_grant_after_the_term_is_ignored {
        let (mut lender, mut borrower, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        assert!(!borrower.receive("a", &sent_grant(&mut lender), Some(&ALLOWANCE), START + LOAN_TERM));
    }
    a_late_grant_does_not_last_longer {
        let (mut lender, mut borrower, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        let late = START + LOAN_TERM - Duration::from_millis(1);
        borrower.receive("a", &sent_grant(&mut lender), Some(&ALLOWANCE), late);
        assert_eq!(admit_for(&mut borrower, START + LOAN_TERM, 1000), 0);
    }
    a_borrower_that_was_paused_has_no_loan {
        let (mut lender, mut borrower, request) = lender_and_borrower();
        lender.receive("b", &request, Some(&ALLOWANCE), START);
        borrower.receive("a", &sent_grant(&mut lender), Some(&ALLOWANCE), START);
        assert_eq!(admit_all(&mut borrower, START + Duration::from_secs(30)), 0);
    }
    an_owner_that_was_paused_starts_empty {
        let mut limiter = limiter("a", &["a"]);
        let resumed = START + PAUSE_LIMIT + Duration::from_millis(1);
        assert_eq!(admit_all(&mut limiter, resumed), 0);
    }
    a_request_of_an_unknown_customer_is_ignored {
        let (mut lender, _, request) = lender_and_borrower();
        assert!(!lender.receive("b", &request, None, START));
        assert!(lender.drain().is_empty());
    }
    an_idle_account_is_dropped_and_created_again_full {
        let mut limiter = limiter("a", &["a"]);
        assert_eq!(admit_all(&mut limiter, START), 20);
        run_until(&mut limiter, START, START * 3);
        assert!(limiter.is_empty());
        assert_eq!(admit_all(&mut limiter, START * 3), 20);
    }
}
