//! Contract of loans between two proxies, by cases.

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
const PLAN: Allowance = Allowance { rate: RATE, burst: 20.0 };
const OPEN: Duration = Duration::from_secs(60);

fn lookup(names: &'static [&'static str]) -> OwnerLookup {
    Arc::new(move |_, _| names.iter().map(|name| Arc::from(*name)).collect())
}

/// Opens a gate that has been running until [`OPEN`].
fn limiter(host: &str, names: &'static [&'static str]) -> RateLimiter {
    let mut limiter = RateLimiter::new(host, 1000, HANDOVER, Duration::ZERO);
    limiter.set_owner_lookup(lookup(names), Duration::ZERO);
    run_until(&mut limiter, Duration::ZERO, OPEN);
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

/// Admits as many requests as possible at one time.
fn admit_all(limiter: &mut RateLimiter, now: Duration) -> u32 {
    let mut admitted = 0;
    while limiter.admit("roaster", "lot-desk", &PLAN, now) == Verdict::Admitted {
        admitted += 1;
    }
    admitted
}

/// Admits during a time, with a request every millisecond.
fn admit_for(limiter: &mut RateLimiter, from: Duration, length_ms: u64) -> u32 {
    let at = |step| from + Duration::from_millis(step);
    (0..length_ms)
        .filter(|&step| limiter.admit("roaster", "lot-desk", &PLAN, at(step)) == Verdict::Admitted)
        .count() as u32
}

fn request(limiter: &mut RateLimiter) -> LoanMessage {
    let out = limiter.drain().into_iter().map(|out| out.message);
    out.into_iter().find(|message| matches!(message, LoanMessage::Request(_))).expect("a request")
}

fn grant(limiter: &mut RateLimiter) -> LoanMessage {
    let out = limiter.drain().into_iter().map(|out| out.message);
    out.into_iter().find(|message| matches!(message, LoanMessage::Grant(_))).expect("a grant")
}

/// Two proxies of which the first is the only owner and the second asks it for a loan.
fn pair() -> (RateLimiter, RateLimiter, LoanMessage) {
    let (lender, mut borrower) = (limiter("a", &["a"]), limiter("b", &["a"]));
    assert_matches!(borrower.admit("roaster", "lot-desk", &PLAN, OPEN), Verdict::Borrowing { .. });
    let asked = request(&mut borrower);
    (lender, borrower, asked)
}

macro_rules! cases {
    ($($name:ident $check:block)*) => {$(
        #[test]
        fn $name() $check
    )*};
}

cases! {
    an_idle_owner_has_its_whole_burst {
        assert_eq!(admit_all(&mut limiter("a", &["a"]), OPEN), 20);
    }
    a_share_is_a_part_of_rate_and_burst {
        let mut limiter = limiter("a", &["b", "a"]);
        assert_eq!(admit_all(&mut limiter, OPEN), 10);
        assert_eq!(admit_for(&mut limiter, OPEN, 1000), 49);
    }
    shares_add_up_to_the_allowance {
        for burst in 1..12 {
            for owners in 1..5 {
                let plan = Allowance { rate: 9.0, burst: f64::from(burst) };
                let share = |rank| Share::of(&plan, rank, owners);
                let sum = (0..owners).map(share).fold(Share::default(), Share::plus);
                assert!((sum.rate - 9.0).abs() < 1e-9 && sum.burst == f64::from(burst));
            }
        }
    }
    a_proxy_that_owns_no_share_admits_nothing_by_itself {
        let mut limiter = limiter("c", &["a", "b"]);
        assert_eq!(admit_for(&mut limiter, OPEN, 1000), 0);
    }
    a_new_process_waits_out_the_handover_and_starts_empty {
        let mut limiter = RateLimiter::new("a", 1, HANDOVER, OPEN);
        limiter.set_owner_lookup(lookup(&["a"]), OPEN);
        assert_eq!(admit_for(&mut limiter, OPEN, HANDOVER.as_millis() as u64), 0);
        assert_eq!(admit_all(&mut limiter, OPEN + HANDOVER), 0);
        assert!(admit_for(&mut limiter, OPEN + HANDOVER, 1000) <= 100);
    }
    a_share_that_grows_waits_out_the_handover {
        let mut limiter = limiter("a", &["a", "b"]);
        limiter.set_owner_lookup(lookup(&["a"]), OPEN);
        assert_eq!(admit_all(&mut limiter, OPEN), 10);
        assert!(admit_for(&mut limiter, OPEN, 2000) <= 100);
        let late = OPEN + HANDOVER;
        admit_for(&mut limiter, OPEN + Duration::from_secs(2), 4000);
        assert!(admit_for(&mut limiter, late + Duration::from_secs(1), 1000) >= 99);
    }
    a_share_in_use_that_grows_waits_out_the_handover {
        let mut limiter = limiter("a", &["a", "b"]);
        assert_eq!(admit_all(&mut limiter, OPEN), 10);
        limiter.set_owner_lookup(lookup(&["a"]), OPEN);
        assert!(admit_for(&mut limiter, OPEN, HANDOVER.as_millis() as u64) <= 250);
    }
    an_answer_to_an_earlier_request_is_ignored {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let first = grant(&mut lender);
        let later = OPEN + Duration::from_millis(500);
        borrower.admit("roaster", "lot-desk", &PLAN, later);
        assert_ne!(request(&mut borrower), asked);
        assert!(!borrower.receive("a", &first, Some(&PLAN), later));
    }
    a_share_that_shrinks_does_so_at_once {
        let mut limiter = limiter("a", &["a"]);
        limiter.set_owner_lookup(lookup(&["a", "b"]), OPEN);
        assert_eq!(admit_all(&mut limiter, OPEN), 10);
        assert!(admit_for(&mut limiter, OPEN, 1000) <= 50);
    }
    a_lower_rate_is_in_force_at_once {
        let mut limiter = limiter("a", &["a"]);
        admit_all(&mut limiter, OPEN);
        let plan = Allowance { rate: 10.0, burst: 1.0 };
        let at = |step| OPEN + Duration::from_millis(step);
        let admitted = (0..1000)
            .filter(|&step| limiter.admit("roaster", "lot-desk", &plan, at(step)) == Verdict::Admitted)
            .count();
        assert!(admitted <= 10, "{admitted}");
    }
    a_loan_moves_allowance_to_the_borrower {
        let (mut lender, mut borrower, asked) = pair();
        assert!(lender.receive("b", &asked, Some(&PLAN), OPEN));
        let grant = grant(&mut lender);
        assert!(borrower.receive("a", &grant, Some(&PLAN), OPEN));
        let lent = assert_matches!(&grant, LoanMessage::Grant(grant) => grant.lent);
        let both = admit_for(&mut lender, OPEN, 1000) + admit_for(&mut borrower, OPEN, 1000);
        assert!(lent.rate > 0.0 && both <= 120, "{lent:?} {both}");
    }
    a_lost_grant_loses_allowance {
        let (mut lender, _, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let lent = assert_matches!(grant(&mut lender), LoanMessage::Grant(grant) => grant.lent);
        let term = (LOAN_TERM + RECLAIM_MARGIN).as_secs_f64();
        let most = 20.0 - lent.burst + (RATE - lent.rate) * term;
        let admitted = admit_for(&mut lender, OPEN, (LOAN_TERM + RECLAIM_MARGIN).as_millis() as u64);
        assert!(f64::from(admitted) <= most, "{admitted} of {most}");
    }
    a_repeated_request_is_debited_once {
        let (mut lender, _, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let first = grant(&mut lender);
        let later = OPEN + Duration::from_millis(100);
        lender.receive("b", &asked, Some(&PLAN), later);
        assert_eq!(grant(&mut lender), first);
    }
    a_repeated_grant_is_taken_once {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let grant = grant(&mut lender);
        assert!(borrower.receive("a", &grant, Some(&PLAN), OPEN));
        assert!(!borrower.receive("a", &grant, Some(&PLAN), OPEN + LOAN_TERM));
    }
    a_grant_that_was_not_asked_for_is_ignored {
        let (mut lender, _, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let grant = grant(&mut lender);
        assert!(!limiter("b", &["a"]).receive("a", &grant, Some(&PLAN), OPEN));
    }
    a_grant_from_another_than_was_asked_is_ignored {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        assert!(!borrower.receive("c", &grant(&mut lender), Some(&PLAN), OPEN));
    }
    a_grant_after_the_term_is_ignored {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        assert!(!borrower.receive("a", &grant(&mut lender), Some(&PLAN), OPEN + LOAN_TERM));
    }
    a_late_grant_does_not_last_longer {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let late = OPEN + LOAN_TERM - Duration::from_millis(1);
        borrower.receive("a", &grant(&mut lender), Some(&PLAN), late);
        assert_eq!(admit_for(&mut borrower, OPEN + LOAN_TERM, 1000), 0);
    }
    a_borrower_that_was_paused_has_no_loan {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        borrower.receive("a", &grant(&mut lender), Some(&PLAN), OPEN);
        assert_eq!(admit_all(&mut borrower, OPEN + Duration::from_secs(30)), 0);
    }
    an_owner_that_was_paused_starts_empty {
        let mut limiter = limiter("a", &["a"]);
        let woken = OPEN + PAUSE_LIMIT + Duration::from_millis(1);
        assert_eq!(admit_all(&mut limiter, woken), 0);
    }
    a_request_of_an_unknown_customer_is_ignored {
        let (mut lender, _, asked) = pair();
        assert!(!lender.receive("b", &asked, None, OPEN));
        assert!(lender.drain().is_empty());
    }
    an_idle_account_is_forgotten_and_opened_again_full {
        let mut limiter = limiter("a", &["a"]);
        assert_eq!(admit_all(&mut limiter, OPEN), 20);
        run_until(&mut limiter, OPEN, OPEN * 3);
        assert!(limiter.is_empty());
        assert_eq!(admit_all(&mut limiter, OPEN * 3), 20);
    }
}
