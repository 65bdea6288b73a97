//! Contract of loans between two proxies, by cases.

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use citron::{
    limit::{Gate, HANDOVER, MARGIN, Message, OwnerLookup, PAUSE_LIMIT, Share, TERM, Verdict},
    policy::Allowance,
};

const RATE: f64 = 100.0;
const PLAN: Allowance = Allowance { rate: RATE, burst: 20.0 };
const OPEN: Duration = Duration::from_secs(60);

fn lookup(names: &'static [&'static str]) -> OwnerLookup {
    Arc::new(move |_, _| names.iter().map(|name| Arc::from(*name)).collect())
}

/// Opens a gate that has been running until [`OPEN`].
fn gate(host: &str, names: &'static [&'static str]) -> Gate {
    let mut gate = Gate::open(host, 1000, HANDOVER, Duration::ZERO);
    gate.set_owner_lookup(lookup(names), Duration::ZERO);
    run_until(&mut gate, Duration::ZERO, OPEN);
    gate
}

fn run_until(gate: &mut Gate, from: Duration, to: Duration) {
    let mut now = from;
    while now <= to {
        gate.tick(now);
        now += Duration::from_millis(500);
    }
    gate.tick(to);
}

/// Admits as many requests as possible at one time.
fn admit_all(gate: &mut Gate, now: Duration) -> u32 {
    let mut admitted = 0;
    while gate.admit("roaster", "lot-desk", &PLAN, now) == Verdict::Admitted {
        admitted += 1;
    }
    admitted
}

/// Admits during a time, with a request every millisecond.
fn admit_for(gate: &mut Gate, from: Duration, length_ms: u64) -> u32 {
    let at = |step| from + Duration::from_millis(step);
    (0..length_ms)
        .filter(|&step| gate.admit("roaster", "lot-desk", &PLAN, at(step)) == Verdict::Admitted)
        .count() as u32
}

fn request(gate: &mut Gate) -> Message {
    let out = gate.drain().into_iter().map(|out| out.message);
    out.into_iter().find(|message| matches!(message, Message::Request(_))).expect("a request")
}

fn grant(gate: &mut Gate) -> Message {
    let out = gate.drain().into_iter().map(|out| out.message);
    out.into_iter().find(|message| matches!(message, Message::Grant(_))).expect("a grant")
}

/// Two proxies of which the first is the only owner and the second asks it for a loan.
fn pair() -> (Gate, Gate, Message) {
    let (lender, mut borrower) = (gate("a", &["a"]), gate("b", &["a"]));
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
        assert_eq!(admit_all(&mut gate("a", &["a"]), OPEN), 20);
    }
    a_share_is_a_part_of_rate_and_burst {
        let mut gate = gate("a", &["b", "a"]);
        assert_eq!(admit_all(&mut gate, OPEN), 10);
        assert_eq!(admit_for(&mut gate, OPEN, 1000), 49);
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
        let mut gate = gate("c", &["a", "b"]);
        assert_eq!(admit_for(&mut gate, OPEN, 1000), 0);
    }
    a_new_process_waits_out_the_handover_and_starts_empty {
        let mut gate = Gate::open("a", 1, HANDOVER, OPEN);
        gate.set_owner_lookup(lookup(&["a"]), OPEN);
        assert_eq!(admit_for(&mut gate, OPEN, HANDOVER.as_millis() as u64), 0);
        assert_eq!(admit_all(&mut gate, OPEN + HANDOVER), 0);
        assert!(admit_for(&mut gate, OPEN + HANDOVER, 1000) <= 100);
    }
    a_share_that_grows_waits_out_the_handover {
        let mut gate = gate("a", &["a", "b"]);
        gate.set_owner_lookup(lookup(&["a"]), OPEN);
        assert_eq!(admit_all(&mut gate, OPEN), 10);
        assert!(admit_for(&mut gate, OPEN, 2000) <= 100);
        let late = OPEN + HANDOVER;
        admit_for(&mut gate, OPEN + Duration::from_secs(2), 4000);
        assert!(admit_for(&mut gate, late + Duration::from_secs(1), 1000) >= 99);
    }
    a_share_in_use_that_grows_waits_out_the_handover {
        let mut gate = gate("a", &["a", "b"]);
        assert_eq!(admit_all(&mut gate, OPEN), 10);
        gate.set_owner_lookup(lookup(&["a"]), OPEN);
        assert!(admit_for(&mut gate, OPEN, HANDOVER.as_millis() as u64) <= 250);
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
        let mut gate = gate("a", &["a"]);
        gate.set_owner_lookup(lookup(&["a", "b"]), OPEN);
        assert_eq!(admit_all(&mut gate, OPEN), 10);
        assert!(admit_for(&mut gate, OPEN, 1000) <= 50);
    }
    a_lower_rate_is_in_force_at_once {
        let mut gate = gate("a", &["a"]);
        admit_all(&mut gate, OPEN);
        let plan = Allowance { rate: 10.0, burst: 1.0 };
        let at = |step| OPEN + Duration::from_millis(step);
        let admitted = (0..1000)
            .filter(|&step| gate.admit("roaster", "lot-desk", &plan, at(step)) == Verdict::Admitted)
            .count();
        assert!(admitted <= 10, "{admitted}");
    }
    a_loan_moves_allowance_to_the_borrower {
        let (mut lender, mut borrower, asked) = pair();
        assert!(lender.receive("b", &asked, Some(&PLAN), OPEN));
        let grant = grant(&mut lender);
        assert!(borrower.receive("a", &grant, Some(&PLAN), OPEN));
        let lent = assert_matches!(&grant, Message::Grant(grant) => grant.lent);
        let both = admit_for(&mut lender, OPEN, 1000) + admit_for(&mut borrower, OPEN, 1000);
        assert!(lent.rate > 0.0 && both <= 120, "{lent:?} {both}");
    }
    a_lost_grant_loses_allowance {
        let (mut lender, _, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let lent = assert_matches!(grant(&mut lender), Message::Grant(grant) => grant.lent);
        let term = (TERM + MARGIN).as_secs_f64();
        let most = 20.0 - lent.burst + (RATE - lent.rate) * term;
        let admitted = admit_for(&mut lender, OPEN, (TERM + MARGIN).as_millis() as u64);
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
        assert!(!borrower.receive("a", &grant, Some(&PLAN), OPEN + TERM));
    }
    a_grant_that_was_not_asked_for_is_ignored {
        let (mut lender, _, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let grant = grant(&mut lender);
        assert!(!gate("b", &["a"]).receive("a", &grant, Some(&PLAN), OPEN));
    }
    a_grant_from_another_than_was_asked_is_ignored {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        assert!(!borrower.receive("c", &grant(&mut lender), Some(&PLAN), OPEN));
    }
    a_grant_after_the_term_is_ignored {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        assert!(!borrower.receive("a", &grant(&mut lender), Some(&PLAN), OPEN + TERM));
    }
    a_late_grant_does_not_last_longer {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        let late = OPEN + TERM - Duration::from_millis(1);
        borrower.receive("a", &grant(&mut lender), Some(&PLAN), late);
        assert_eq!(admit_for(&mut borrower, OPEN + TERM, 1000), 0);
    }
    a_borrower_that_was_paused_has_no_loan {
        let (mut lender, mut borrower, asked) = pair();
        lender.receive("b", &asked, Some(&PLAN), OPEN);
        borrower.receive("a", &grant(&mut lender), Some(&PLAN), OPEN);
        assert_eq!(admit_all(&mut borrower, OPEN + Duration::from_secs(30)), 0);
    }
    an_owner_that_was_paused_starts_empty {
        let mut gate = gate("a", &["a"]);
        let woken = OPEN + PAUSE_LIMIT + Duration::from_millis(1);
        assert_eq!(admit_all(&mut gate, woken), 0);
    }
    a_request_of_an_unknown_customer_is_ignored {
        let (mut lender, _, asked) = pair();
        assert!(!lender.receive("b", &asked, None, OPEN));
        assert!(lender.drain().is_empty());
    }
    an_idle_account_is_forgotten_and_opened_again_full {
        let mut gate = gate("a", &["a"]);
        assert_eq!(admit_all(&mut gate, OPEN), 20);
        run_until(&mut gate, OPEN, OPEN * 3);
        assert!(gate.is_empty());
        assert_eq!(admit_all(&mut gate, OPEN * 3), 20);
    }
}
