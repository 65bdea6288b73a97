//! The attempts of one request: a table of fault sequences, and long random series.

use std::{cell::RefCell, time::Duration};

use citron::attempt::{
    AttemptResult, AttemptSeries, Cause, ClaimDecision, Outcome, RetryBucket, RetryPolicy,
    RetryShare, Step, key_digest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DEADLINE: Duration = Duration::from_secs(4);

fn policy(idempotent: bool, requires_claim: bool) -> RetryPolicy {
    RetryPolicy {
        idempotent,
        requires_claim,
        deadline: DEADLINE,
        max_attempts: 3,
        max_connect_failures: 0,
    }
}

/// A budget that is full at first, and whose retries arrive at once.
struct Budget {
    bucket: RefCell<RetryBucket>,
    share: RetryShare,
}

impl Budget {
    /// When it is used, so that its bucket has been refilled.
    const NOW: Duration = Duration::from_secs(60);

    fn new(limit: u32) -> Self {
        let share = RetryShare { ratio: 0.2, burst: limit.into(), refill_per_s: limit.into() };
        Self { bucket: RefCell::new(RetryBucket::new(Duration::ZERO)), share }
    }

    fn deposit(&self) {
        self.bucket.borrow_mut().record_request(&self.share, Self::NOW);
    }

    fn withdraw(&self) -> bool {
        let mut bucket = self.bucket.borrow_mut();
        let ticket = bucket.withdraw(&self.share, Self::NOW);
        ticket.is_ok_and(|ticket| {
            bucket.record_arrival(ticket, Self::NOW);
            true
        })
    }
}

/// Runs a series whose attempts have the listed results; returns its last step and the number of
/// attempts.
fn run(policy: RetryPolicy, results: &[AttemptResult]) -> (Step, u32) {
    let budget = Budget::new(20);
    let mut series = AttemptSeries::new(policy);
    let mut results = results.iter();
    loop {
        match series.next_step(Duration::ZERO, || budget.withdraw()) {
            Step::Claim => series.record_claim(ClaimDecision::Granted),
            Step::Send { .. } => {
                series.record_result(*results.next().expect("more attempts were made than listed"));
            }
            step => {
                assert_eq!(results.len(), 0, "fewer attempts were made than listed");
                return (step, series.attempts());
            }
        }
    }
}

macro_rules! case {
    ($name:ident, $idempotent:literal, [$($result:ident),*], $step:expr) => {
        #[test]
        fn $name() {
            let (step, _) = run(policy($idempotent, false), &[$(AttemptResult::$result),*]);
            assert_eq!(step, $step);
        }
    };
}

fn refuse(outcome: Outcome, cause: Cause) -> Step {
    Step::Refuse { outcome, cause }
}

use Cause::{ForeignAnswer, TargetBroken, TargetShed, TargetTimedOut, TargetUnreachable};
use Outcome::{NotRun, Unknown};

case!(non_idempotent_answered, false, [Answered], Step::ForwardResponse);
case!(non_idempotent_broken, false, [Broken], refuse(Unknown, TargetBroken));
case!(non_idempotent_foreign, false, [Foreign], refuse(Unknown, ForeignAnswer));
case!(non_idempotent_timed_out, false, [TimedOut], refuse(Unknown, TargetTimedOut));
case!(
    non_idempotent_unreachable_then_answered,
    false,
    [NotConnected, Answered],
    Step::ForwardResponse
);
case!(non_idempotent_shed_then_answered, false, [Shed, Answered], Step::ForwardResponse);
case!(non_idempotent_shed_then_broken, false, [Shed, Broken], refuse(Unknown, TargetBroken));
case!(non_idempotent_shed_always, false, [Shed, Shed, Shed], refuse(NotRun, TargetShed));
case!(
    non_idempotent_unreachable_always,
    false,
    [NotConnected, Shed, NotConnected],
    refuse(NotRun, TargetUnreachable)
);
case!(idempotent_broken_then_answered, true, [Broken, Answered], Step::ForwardResponse);
case!(
    idempotent_foreign_then_timed_out_then_answered,
    true,
    [Foreign, TimedOut, Answered],
    Step::ForwardResponse
);
case!(idempotent_broken_then_shed, true, [Broken, Shed, Shed], refuse(Unknown, TargetShed));
case!(idempotent_shed_always, true, [Shed, Shed, Shed], refuse(NotRun, TargetShed));
case!(idempotent_broken_always, true, [Broken, Broken, Broken], refuse(Unknown, TargetBroken));

#[test]
fn a_non_idempotent_request_is_not_retried_after_its_body_is_consumed() {
    let budget = Budget::new(20);
    let mut series = AttemptSeries::new(policy(false, false));
    assert!(matches!(
        series.next_step(Duration::ZERO, || budget.withdraw()),
        Step::Send { fresh: true, .. }
    ));
    series.record_result(AttemptResult::Shed);
    series.record_body_consumed();
    assert_eq!(series.next_step(Duration::ZERO, || budget.withdraw()), refuse(NotRun, TargetShed));
}

#[test]
fn an_exhausted_budget_ends_the_series() {
    let budget = Budget::new(1);
    assert!(budget.withdraw());
    let mut series = AttemptSeries::new(policy(true, false));
    series.next_step(Duration::ZERO, || budget.withdraw());
    series.record_result(AttemptResult::Broken);
    assert_eq!(
        series.next_step(Duration::ZERO, || budget.withdraw()),
        refuse(Unknown, TargetBroken)
    );
}

#[test]
fn five_requests_allow_one_retry() {
    let budget = Budget::new(1);
    assert!(budget.withdraw());
    for _ in 0..4 {
        budget.deposit();
    }
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(budget.withdraw());
}

#[test]
fn only_an_idempotent_attempt_leaves_time_for_another() {
    let budget = Budget::new(20);
    let step =
        AttemptSeries::new(policy(true, false)).next_step(Duration::ZERO, || budget.withdraw());
    assert_eq!(step, Step::Send { until: DEADLINE / 2, fresh: false });
    let step =
        AttemptSeries::new(policy(false, false)).next_step(Duration::ZERO, || budget.withdraw());
    assert_eq!(step, Step::Send { until: DEADLINE, fresh: true });
}

macro_rules! claim {
    ($name:ident, $claim:ident, $cause:ident) => {
        #[test]
        fn $name() {
            let budget = Budget::new(20);
            let mut series = AttemptSeries::new(policy(false, true));
            assert_eq!(series.next_step(Duration::ZERO, || budget.withdraw()), Step::Claim);
            series.record_claim(ClaimDecision::$claim);
            let step = series.next_step(Duration::ZERO, || budget.withdraw());
            assert_eq!(step, refuse(NotRun, Cause::$cause));
            assert_eq!(series.attempts(), 0);
        }
    };
}

claim!(a_taken_key_ends_the_series, Taken, IdempotencyKeyTaken);
claim!(an_undecided_key_ends_the_series, Undecided, IdempotencyKeyUndecided);

#[test]
fn a_caller_that_leaves_during_an_attempt_makes_the_outcome_unknown() {
    let budget = Budget::new(20);
    let mut series = AttemptSeries::new(policy(false, false));
    series.next_step(Duration::ZERO, || budget.withdraw());
    series.record_caller_gone();
    assert_eq!(
        series.next_step(Duration::ZERO, || budget.withdraw()),
        refuse(Unknown, Cause::CallerGone)
    );
}

#[test]
fn the_next_step_during_an_attempt_is_to_wait() {
    let budget = Budget::new(20);
    let mut series = AttemptSeries::new(policy(true, false));
    series.next_step(Duration::ZERO, || budget.withdraw());
    for _ in 0..3 {
        let step =
            series.next_step(Duration::ZERO, || panic!("a wait must not be charged to the budget"));
        assert_eq!(step, Step::Wait);
    }
    assert_eq!(series.attempts(), 1);
}

#[test]
fn a_hedge_runs_beside_the_first_attempt_and_the_first_response_wins() {
    let mut series = AttemptSeries::new(policy(true, false));
    series.next_step(Duration::ZERO, || true);
    assert!(matches!(series.hedge(Duration::ZERO, || true), Some(Step::Send { .. })));
    series.record_result(AttemptResult::Failed);
    assert_eq!(series.next_step(Duration::ZERO, || true), Step::Wait);
    series.record_result(AttemptResult::Answered);
    assert_eq!(series.next_step(Duration::ZERO, || true), Step::ForwardResponse);
    assert_eq!(series.attempts(), 2);
}

#[test]
fn a_non_idempotent_request_is_not_hedged() {
    let mut series = AttemptSeries::new(policy(false, false));
    series.next_step(Duration::ZERO, || true);
    assert_eq!(series.hedge(Duration::ZERO, || panic!("there is no hedge to charge")), None);
}

#[test]
fn a_hedge_needs_a_budget_and_stays_within_the_attempts() {
    let mut series = AttemptSeries::new(RetryPolicy { max_attempts: 2, ..policy(true, false) });
    series.next_step(Duration::ZERO, || true);
    assert_eq!(series.hedge(Duration::ZERO, || false), None);
    assert!(series.hedge(Duration::ZERO, || true).is_some());
    assert_eq!(series.hedge(Duration::ZERO, || true), None, "both attempts are made");
}

#[test]
fn a_failure_is_forwarded_when_no_retry_is_allowed() {
    for idempotent in [true, false] {
        let mut series =
            AttemptSeries::new(RetryPolicy { max_attempts: 1, ..policy(idempotent, false) });
        series.next_step(Duration::ZERO, || true);
        series.record_result(AttemptResult::Failed);
        assert_eq!(series.next_step(Duration::ZERO, || true), Step::ForwardResponse);
    }
}

#[test]
fn a_failed_non_idempotent_request_is_never_sent_again() {
    let mut series = AttemptSeries::new(policy(false, false));
    series.next_step(Duration::ZERO, || true);
    series.record_result(AttemptResult::Failed);
    assert_eq!(series.next_step(Duration::ZERO, || true), Step::ForwardResponse);
}

#[test]
fn connect_failures_are_free_up_to_their_limit() {
    let mut series = AttemptSeries::new(RetryPolicy {
        max_attempts: 1,
        max_connect_failures: 2,
        ..policy(false, false)
    });
    for _ in 0..2 {
        let step = series.next_step(Duration::ZERO, || panic!("connect failures are free"));
        assert!(matches!(step, Step::Send { .. }));
        series.record_result(AttemptResult::NotConnected);
        assert_eq!(series.attempts(), 0);
    }
    assert!(matches!(series.next_step(Duration::ZERO, || true), Step::Send { .. }));
    series.record_result(AttemptResult::NotConnected);
    assert_eq!(series.next_step(Duration::ZERO, || true), refuse(NotRun, Cause::TargetUnreachable));
}

#[test]
fn key_digests_separate_their_parts() {
    assert_ne!(key_digest("ab", "c", "d"), key_digest("a", "bc", "d"));
    assert_ne!(key_digest("a", "b", "cd"), key_digest("a", "bc", "d"));
    assert_eq!(key_digest("a", "b", "c"), key_digest("a", "b", "c"));
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Prints how to rerun a failing seed.
struct RerunHint(u64);

impl Drop for RerunHint {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "seed {0}: CITRON_FIRST_SEED={0} CITRON_SEEDS=1 cargo test -p citron --test attempt",
                self.0
            );
        }
    }
}

/// Sends random requests to a simulated target that counts its runs. A request that is reported as
/// not run must have no runs, and one that is not idempotent at most one; assertions in the library
/// check the other rules.
#[test]
fn random_series_report_outcomes_truthfully() {
    let first = env_or("CITRON_FIRST_SEED", 1);
    for seed in first..first + env_or("CITRON_SEEDS", 20) {
        let _hint = RerunHint(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let budget = Budget::new(rng.random_range(0..30));
        for _ in 0..env_or("CITRON_STEPS", 2000) {
            random_request(&mut rng, &budget);
        }
    }
}

fn random_request(rng: &mut ChaCha8Rng, budget: &Budget) {
    let policy = RetryPolicy {
        idempotent: rng.random(),
        requires_claim: rng.random(),
        deadline: Duration::from_millis(rng.random_range(0..2000)),
        max_attempts: rng.random_range(1..5),
        max_connect_failures: rng.random_range(0..3),
    };
    budget.deposit();
    let mut series = AttemptSeries::new(policy);
    let (mut now, mut runs, mut answered) = (Duration::ZERO, 0, false);
    for _ in 0..20 {
        now += Duration::from_millis(rng.random_range(0..200));
        if rng.random_ratio(1, 40) {
            series.record_caller_gone();
        }
        match series.next_step(now, || budget.withdraw()) {
            Step::Claim => series.record_claim(match rng.random_range(0..6) {
                0 => ClaimDecision::Taken,
                1 => ClaimDecision::Undecided,
                _ => ClaimDecision::Granted,
            }),
            Step::Send { until, fresh } => {
                assert!(until <= policy.deadline && until > now);
                assert!(
                    fresh || policy.idempotent,
                    "a request that is not idempotent needs a fresh connection"
                );
                if rng.random_ratio(1, 20) {
                    series.record_no_target();
                    continue;
                }
                let (result, ran) = random_result(rng);
                runs += u32::from(ran);
                answered = result == AttemptResult::Answered;
                if rng.random_ratio(1, 10) {
                    series.record_body_consumed();
                }
                if rng.random_ratio(1, 20) {
                    series.record_caller_gone();
                } else {
                    series.record_result(result);
                }
            }
            Step::Wait => unreachable!("no attempt is in flight here"),
            Step::ForwardResponse => {
                assert!(answered, "only a response can be forwarded");
                break;
            }
            Step::Refuse { outcome, .. } => {
                assert!(outcome != Outcome::Answered);
                assert!(
                    outcome == Outcome::Unknown || runs == 0,
                    "reported as not run, but it ran"
                );
                break;
            }
        }
    }
    assert!(policy.idempotent || runs <= 1, "a request that is not idempotent ran {runs} times");
}

/// Returns the result of an attempt, and whether the target ran the request.
fn random_result(rng: &mut ChaCha8Rng) -> (AttemptResult, bool) {
    match rng.random_range(0..6) {
        0 => (AttemptResult::Answered, true),
        1 => (AttemptResult::NotConnected, false),
        2 => (AttemptResult::Shed, false),
        3 => (AttemptResult::Foreign, rng.random()),
        4 => (AttemptResult::Broken, rng.random()),
        _ => (AttemptResult::TimedOut, rng.random()),
    }
}
