//! Tests of detection, ejection and the floor of a service.

use std::time::Duration;

use citron::{
    health::{
        Batch, Coordinator, Counts, Evidence, HealthSignal, HealthWeight, Observer, Target,
        TargetWeights, Verdict, WeightChange, floor_count,
    },
    policy::Profile,
};

const SERVICE: &str = "tec-live";
const TARGETS: usize = 20;

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn targets(count: usize, leaving: usize) -> Vec<Target> {
    (0..count)
        .map(|index| Target {
            name: format!("t{index:02}"),
            domain: format!("d{}", index % 3),
            leaving: index < leaving,
        })
        .collect()
}

fn verdict(target: &str, ejected: bool, epoch: u64, rank: u32) -> Verdict {
    Verdict {
        target: target.to_owned(),
        service: SERVICE.to_owned(),
        ejected,
        trial: false,
        epoch,
        coordinator: "h1".to_owned(),
        reason: "failing".to_owned(),
        rank,
    }
}

/// Returns an observer with enough healthy responses to classify latencies.
fn observer(now: &mut Duration) -> Observer {
    let mut observer = Observer::new("h1", "d1", 0);
    observer.set_profile(SERVICE, Profile::Fast, *now);
    observer.set_targets(SERVICE, &targets(TARGETS, 0), *now);
    for round in 0..20 {
        for index in 0..TARGETS {
            attempt(
                &mut observer,
                index,
                HealthSignal::Answered(ms(20 + (round * 7 + index as u64) % 20)),
                now,
            );
        }
    }
    observer.report(*now);
    observer
}

fn attempt(observer: &mut Observer, target: usize, end: HealthSignal, now: &mut Duration) {
    let ticket = observer.attempt_started(SERVICE, &format!("t{target:02}"), *now);
    *now += ms(5);
    observer.attempt_ended(ticket, end, *now);
}

/// Ends 20 attempts at one target with `end` and returns the observer's suspicion of it.
fn suspicion_after(end: HealthSignal) -> f64 {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    for _ in 0..20 {
        attempt(&mut observer, 3, end, &mut now);
        attempt(&mut observer, 4, HealthSignal::Answered(ms(25)), &mut now);
    }
    observer.tick(now);
    assert!(observer.suspicion(SERVICE, "t04") < 0.1);
    observer.suspicion(SERVICE, "t03")
}

cases! {
    errors_raise_suspicion => assert!(suspicion_after(HealthSignal::Error) > 0.9);
    timeouts_raise_suspicion => assert!(suspicion_after(HealthSignal::TimedOut) > 0.9);
    foreign_responses_raise_suspicion => assert!(suspicion_after(HealthSignal::Foreign) > 0.9);
    failed_connections_raise_suspicion => assert!(suspicion_after(HealthSignal::ConnectFailed) > 0.9);
    slow_responses_raise_suspicion => assert!(suspicion_after(HealthSignal::Answered(ms(400))) > 0.9);
    typical_responses_raise_no_suspicion => assert!(suspicion_after(HealthSignal::Answered(ms(25))) < 0.1);
    shed_attempts_raise_no_suspicion => assert!(suspicion_after(HealthSignal::Shed) == 0.0);
    cancelled_attempts_raise_no_suspicion => assert!(suspicion_after(HealthSignal::Cancelled) == 0.0);
}

#[test]
fn overdue_attempts_raise_suspicion_before_they_time_out() {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    let tickets: Vec<_> = (0..8).map(|_| observer.attempt_started(SERVICE, "t03", now)).collect();
    now += ms(200);
    observer.tick(now);
    assert!(observer.suspicion(SERVICE, "t03") > 0.9);
    // An attempt that was counted as late while in flight is not counted again when it ends.
    let late = observer.report(now).unwrap().evidence[0].counts.late;
    assert_eq!(late, 8);
    for (index, ticket) in tickets.into_iter().enumerate() {
        let end = if index < 4 { HealthSignal::Answered(ms(900)) } else { HealthSignal::TimedOut };
        observer.attempt_ended(ticket, end, now + ms(800));
    }
    let counts = observer.report(now + ms(800)).unwrap().evidence[0].counts;
    assert_eq!((counts.late, counts.answered, counts.timeouts), (0, 4, 4));
}

#[test]
fn a_service_that_slows_down_as_a_whole_raises_no_lasting_suspicion() {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    for _ in 0..60 {
        for index in 0..TARGETS {
            attempt(&mut observer, index, HealthSignal::Answered(ms(100)), &mut now);
        }
        observer.tick(now);
        for target in targets(TARGETS, 0) {
            assert!(observer.suspicion(SERVICE, &target.name) < 0.5, "{}", target.name);
        }
    }
}

#[test]
fn failures_at_all_targets_raise_the_local_health_penalty() {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    for _ in 0..20 {
        for index in 0..TARGETS {
            attempt(&mut observer, index, HealthSignal::TimedOut, &mut now);
        }
    }
    let batch = observer.report(now).unwrap();
    assert!(batch.evidence.iter().all(|one| one.local_health_penalty > 0.9));
    assert!(observer.suspicion(SERVICE, "t03") < 0.1);
}

#[test]
fn one_failed_probe_raises_no_suspicion_and_successful_ones_lower_none() {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    observer.probe_finished(SERVICE, "t03", false, now);
    assert!(observer.suspicion(SERVICE, "t03") < 0.1);
    for _ in 0..20 {
        attempt(&mut observer, 3, HealthSignal::Error, &mut now);
        observer.probe_finished(SERVICE, "t03", true, now);
    }
    assert!(observer.suspicion(SERVICE, "t03") > 0.9);
}

/// A coordinator with `observers` proxies in `domains` failure domains.
struct Harness {
    coordinator: Coordinator,
    observers: usize,
    domains: usize,
    sequence: u64,
    now: Duration,
}

impl Harness {
    fn new(profile: Profile, floor: f64, observers: usize, domains: usize) -> Self {
        let mut coordinator = Coordinator::new("h0", SERVICE, profile, floor, Duration::ZERO);
        coordinator.set_targets(&targets(TARGETS, 0), Duration::ZERO);
        Self { coordinator, observers, domains, sequence: 0, now: Duration::ZERO }
    }

    /// Adds one report of every proxy and decides; `counts` returns what a proxy counted at a target.
    fn round(&mut self, counts: impl Fn(usize, usize) -> Counts) -> Vec<Verdict> {
        self.sequence += 1;
        self.now += ms(200);
        for observer in 0..self.observers {
            let evidence = (0..TARGETS)
                .map(|target| Evidence {
                    target: format!("t{target:02}"),
                    service: SERVICE.to_owned(),
                    counts: counts(observer, target),
                    p50_us: 0,
                    p90_us: 0,
                    suspicion: 0.0,
                    local_health_penalty: 0.0,
                })
                .collect();
            let batch = Batch {
                host: format!("h{observer}"),
                domain: format!("d{}", observer % self.domains),
                sequence: self.sequence,
                evidence,
            };
            self.coordinator.add_batch(&batch, self.now);
        }
        self.coordinator.tick(self.now)
    }

    fn rounds(&mut self, count: usize, counts: impl Fn(usize, usize) -> Counts) -> usize {
        for _ in 0..count {
            self.round(&counts);
        }
        self.coordinator.ejected().count()
    }
}

fn healthy() -> Counts {
    Counts { answered: 2, fast: 1, typical: 1, ..Counts::default() }
}

fn unhealthy() -> Counts {
    Counts { answered: 1, errors: 1, fast: 1, ..Counts::default() }
}

/// Runs 40 rounds, of which the last 20 have faults, and returns the number of ejected targets.
///
/// `is_unhealthy` returns whether a proxy sees a target as unhealthy.
fn ejections(
    profile: Profile,
    observers: usize,
    domains: usize,
    is_unhealthy: fn(usize, usize) -> bool,
) -> usize {
    let mut harness = Harness::new(profile, 0.6, observers, domains);
    harness.rounds(20, |_, _| healthy());
    harness.rounds(
        20,
        |observer, target| if is_unhealthy(observer, target) { unhealthy() } else { healthy() },
    )
}

cases! {
    a_target_unhealthy_for_all_proxies_is_ejected => assert_eq!(ejections(Profile::Careful, 18, 4, |_, t| t == 3), 1);
    a_target_unhealthy_for_one_proxy_stays => assert_eq!(ejections(Profile::Fast, 18, 4, |o, t| o == 1 && t == 3), 0);
    a_target_unhealthy_for_one_of_two_proxies_stays => assert_eq!(ejections(Profile::Fast, 2, 2, |o, t| o == 1 && t == 3), 0);
    a_target_unhealthy_for_one_domain_stays => assert_eq!(ejections(Profile::Fast, 18, 3, |o, t| o % 3 == 1 && t == 3), 0);
    a_lone_proxy_ejects_nothing => assert_eq!(ejections(Profile::Fast, 1, 1, |_, t| t == 3), 0);
    two_unhealthy_targets_are_both_ejected => assert_eq!(ejections(Profile::Fast, 18, 4, |_, t| t < 2), 2);
    no_target_is_ejected_when_all_are_unhealthy => assert_eq!(ejections(Profile::Fast, 18, 4, |_, _| true), 0);
    no_target_is_ejected_when_half_are_unhealthy => assert_eq!(ejections(Profile::Careful, 18, 4, |_, t| t < 10), 0);
}

#[test]
fn a_batch_that_arrives_twice_counts_once() {
    let mut harness = Harness::new(Profile::Fast, 0.6, 4, 4);
    harness.rounds(20, |_, _| healthy());
    // One round of four proxies is not enough to eject; the same batches again must not add to it.
    for _ in 0..50 {
        harness.round(|_, target| if target == 3 { unhealthy() } else { healthy() });
        harness.sequence = 20;
    }
    assert_eq!(harness.coordinator.ejected().count(), 0);
}

#[test]
fn a_coordinator_keeps_the_floor_of_the_service() {
    let mut harness = Harness::new(Profile::Fast, 0.9, 18, 4);
    harness.rounds(20, |_, _| healthy());
    let count = harness.rounds(20, |_, target| if target < 4 { unhealthy() } else { healthy() });
    assert_eq!(count, TARGETS - floor_count(0.9, TARGETS));
}

#[test]
fn a_flapping_target_returns_later_each_time() {
    let mut harness = Harness::new(Profile::Fast, 0.6, 18, 4);
    harness.rounds(20, |_, _| healthy());
    let mut ejection_times = Vec::new();
    let mut since = None;
    for _ in 0..2000 {
        let is_ejected = harness.coordinator.ejected().count() == 1;
        // Unhealthy whenever it is in use, healthy whenever it is on trial.
        let verdicts = harness.round(|_, target| {
            if target == 3 && !is_ejected && since.is_none() { unhealthy() } else { healthy() }
        });
        for verdict in verdicts.iter().filter(|verdict| verdict.target == "t03") {
            match since {
                None if verdict.ejected => since = Some(harness.now),
                Some(start) if !verdict.ejected && !verdict.trial => {
                    ejection_times.push(harness.now - start);
                    since = None;
                }
                _ => {}
            }
        }
    }
    assert!(ejection_times.len() >= 3, "{ejection_times:?}");
    assert!(ejection_times.windows(2).all(|pair| pair[1] > pair[0]), "{ejection_times:?}");
}

#[test]
fn a_trial_that_fails_ejects_again() {
    let mut harness = Harness::new(Profile::Fast, 0.6, 18, 4);
    harness.rounds(20, |_, _| healthy());
    let mut trials = 0;
    for _ in 0..300 {
        let verdicts = harness.round(|_, target| if target == 3 { unhealthy() } else { healthy() });
        trials += verdicts.iter().filter(|verdict| verdict.reason == "trial").count();
        assert!(!verdicts.iter().any(|verdict| verdict.reason == "trial passed"));
    }
    assert!(trials >= 1);
}

#[test]
fn a_new_coordinator_continues_above_known_epochs() {
    let mut coordinator = Coordinator::new("h9", SERVICE, Profile::Fast, 0.6, Duration::ZERO);
    coordinator.set_targets(&targets(TARGETS, 0), Duration::ZERO);
    coordinator.apply_verdict(&verdict("t03", true, 41, 0), Duration::ZERO);
    coordinator.apply_verdict(&verdict("t03", false, 40, 0), Duration::ZERO);
    assert_eq!(coordinator.ejected().collect::<Vec<_>>(), ["t03"]);
    let verdicts = coordinator.tick(Duration::from_secs(30));
    let next = verdicts.iter().find(|verdict| verdict.target == "t03").unwrap();
    assert!(next.trial && next.epoch == 42, "{next:?}");
}

/// Returns how many targets are ejected and how many ejections the floor holds, after ejection
/// verdicts about the last `ejected` of `listed` targets.
fn ejected_and_held(listed: usize, leaving: usize, share: f64, ejected: usize) -> (usize, usize) {
    let mut weights = TargetWeights::new();
    weights.set_targets(SERVICE, &targets(listed, leaving));
    weights.set_floor(SERVICE, share);
    for index in 0..ejected {
        weights.apply_verdict(&verdict(
            &format!("t{:02}", listed - 1 - index),
            true,
            1,
            index as u32,
        ));
    }
    let changes = weights.update(SERVICE, |_| 0.0);
    let ejected = (0..listed)
        .filter(|index| weights.get(SERVICE, &format!("t{index:02}")) == HealthWeight::EJECTED)
        .count();
    (
        ejected,
        changes.iter().filter(|change| matches!(change, WeightChange::HeldByFloor(_))).count(),
    )
}

cases! {
    ejections_above_the_floor_are_applied => assert_eq!(ejected_and_held(20, 0, 0.6, 8), (8, 0));
    ejections_below_the_floor_are_held => assert_eq!(ejected_and_held(20, 0, 0.6, 11), (8, 3));
    leaving_targets_do_not_count_as_usable => assert_eq!(ejected_and_held(20, 6, 0.6, 5), (2, 3));
    more_leaving_than_the_floor_allows_holds_all_ejections => assert_eq!(ejected_and_held(20, 10, 0.6, 3), (0, 3));
    a_fractional_floor_rounds_up => assert_eq!(ejected_and_held(3, 0, 0.5, 3), (1, 2));
    a_full_floor_holds_all_ejections => assert_eq!(ejected_and_held(20, 0, 1.0, 4), (0, 4));
    a_zero_floor_allows_all_ejections => assert_eq!(ejected_and_held(4, 0, 0.0, 4), (4, 0));
}

#[test]
fn the_floor_keeps_the_least_suspected_targets_in_use() {
    let mut weights = TargetWeights::new();
    weights.set_targets(SERVICE, &targets(4, 0));
    weights.set_floor(SERVICE, 0.5);
    weights.update(SERVICE, |name| match name {
        "t00" => 0.8,
        "t01" => 1.0,
        "t02" => 0.9,
        _ => 0.0,
    });
    let weight = |name| weights.get(SERVICE, name).weight;
    assert!(weight("t01") < 0.1 && weight("t02") < 0.2);
    assert_eq!((weight("t00"), weight("t03")), (1.0, 1.0));
}

#[test]
fn a_late_verdict_does_not_undo_a_newer_one() {
    let mut weights = TargetWeights::new();
    weights.set_targets(SERVICE, &targets(20, 0));
    assert!(weights.apply_verdict(&verdict("t03", false, 5, 0)));
    assert!(!weights.apply_verdict(&verdict("t03", true, 4, 0)));
    weights.update(SERVICE, |_| 0.0);
    assert_eq!(weights.get(SERVICE, "t03"), HealthWeight::FULL);
}
