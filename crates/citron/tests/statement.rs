//! What targets state about themselves, as the gateways tell each other.

use std::{sync::Arc, time::Duration};

use citron::statement::{Statement, Statements};

fn stated(target: &str, born_ms: u64, leaving: bool, at_ms: u64) -> Statement {
    let at = Duration::from_millis(at_ms);
    Statement { target: Arc::from(target), born_ms, leaving, limit_per_s: None, at }
}

fn limited(limit_per_s: f64, at_ms: u64) -> Statement {
    Statement { limit_per_s: Some(limit_per_s), ..stated("t", 1, false, at_ms) }
}

/// Names a case: the statements in the order in which they arrive, and which of them are news.
macro_rules! news {
    ($($name:ident: $($statement:expr => $is_new:literal),*;)*) => {$(
        #[test]
        fn $name() {
            let mut statements = Statements::default();
            $(assert_eq!(statements.apply(&$statement), $is_new);)*
        }
    )*};
}

news! {
    a_target_that_states_nothing_is_no_news: stated("t", 1, false, 10) => false;
    a_target_that_leaves_is_news_once:
        stated("t", 1, true, 10) => true, stated("t", 1, true, 20) => false;
    an_incarnation_that_leaves_does_not_come_back:
        stated("t", 1, true, 10) => true, stated("t", 1, false, 20) => false,
        stated("t", 1, true, 30) => false;
    a_new_incarnation_does_not_leave:
        stated("t", 1, true, 10) => true, stated("t", 2, false, 20) => false,
        stated("t", 2, true, 30) => true;
    a_target_that_leaves_is_news_also_late:
        limited(2.0, 20) => true, stated("t", 1, true, 10) => true;
    a_target_that_leaves_is_news_also_beside_a_limit:
        limited(2.0, 10) => true, stated("t", 1, true, 20) => true;
    a_limit_is_news_when_it_changes:
        limited(2.0, 10) => true, limited(2.0, 20) => false, limited(3.5, 30) => true;
    a_limit_that_is_older_is_no_news: limited(2.0, 20) => true, limited(3.5, 10) => false;
    a_response_without_a_limit_lifts_it: limited(2.0, 10) => true, stated("t", 1, false, 600) => true;
    a_response_that_was_overtaken_does_not_lift_the_limit:
        limited(2.0, 10) => true, stated("t", 1, false, 400) => false;
    a_statement_of_an_old_incarnation_is_no_news:
        stated("t", 2, true, 10) => true, stated("t", 1, true, 20) => false;
}

#[test]
fn new_statements_are_sent_first_and_all_are_repeated_in_turn() {
    let mut statements = Statements::default();
    for n in (0..5).rev() {
        statements.apply(&stated(&format!("t{n}"), 1, true, 10));
    }
    let mut seen: Vec<String> = Vec::new();
    for _ in 0..3 {
        let next = statements.next(2);
        assert_eq!(next.len(), 2);
        seen.extend(next.iter().map(|statement| statement.target.to_string()));
    }
    assert_eq!(seen, ["t0", "t1", "t2", "t3", "t4", "t0"]);
    assert_eq!(statements.next(9).len(), 5);
    statements.apply(&stated("t5", 1, true, 20));
    assert_eq!(&*statements.next(1)[0].target, "t5");
}

#[test]
fn a_target_that_leaves_keeps_the_limit_that_it_just_named() {
    let mut statements = Statements::default();
    statements.apply(&limited(2.0, 10));
    statements.apply(&stated("t", 1, true, 20));
    let newest = statements.get("t").expect("a statement");
    assert_eq!((newest.leaving, newest.limit_per_s), (true, Some(2.0)));
}

#[test]
fn statements_of_targets_that_are_gone_are_forgotten() {
    let mut statements = Statements::default();
    statements.apply(&stated("t0", 1, true, 10));
    statements.apply(&stated("t1", 1, true, 10));
    statements.retain(|statement| &*statement.target == "t1");
    let left = statements.next(9);
    assert_eq!(left.len(), 1);
    assert_eq!(&*left[0].target, "t1");
}
