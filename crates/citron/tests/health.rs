//! Fault tables for detection, ejection and the floor.

use std::time::Duration;

use citron::{
    health::{
        AttemptEnd, Batch, Coordinator, Counts, Evidence, HealthWeight, Observer, Target,
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

/// An observer that has seen enough healthy answers to judge times.
fn observer(now: &mut Duration) -> Observer {
    let mut observer = Observer::new("h1", "d1", 0);
    observer.set_profile(SERVICE, Profile::Fast, *now);
    observer.set_targets(SERVICE, &targets(TARGETS, 0), *now);
    for round in 0..20 {
        for index in 0..TARGETS {
            attempt(
                &mut observer,
                index,
                AttemptEnd::Answered(ms(20 + (round * 7 + index as u64) % 20)),
                now,
            );
        }
    }
    observer.report(*now);
    observer
}

fn attempt(observer: &mut Observer, target: usize, end: AttemptEnd, now: &mut Duration) {
    let ticket = observer.attempt_started(SERVICE, &format!("t{target:02}"), *now);
    *now += ms(5);
    observer.attempt_ended(ticket, end, *now);
}

/// Ends 20 attempts at one target the same way and returns the observer's suspicion of it.
fn suspicion_after(end: AttemptEnd) -> f64 {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    for _ in 0..20 {
        attempt(&mut observer, 3, end, &mut now);
        attempt(&mut observer, 4, AttemptEnd::Answered(ms(25)), &mut now);
    }
    observer.tick(now);
    assert!(observer.suspicion(SERVICE, "t04") < 0.1);
    observer.suspicion(SERVICE, "t03")
}

cases! {
    errors_raise_suspicion => assert!(suspicion_after(AttemptEnd::Error) > 0.9);
    timeouts_raise_suspicion => assert!(suspicion_after(AttemptEnd::TimedOut) > 0.9);
    foreign_answers_raise_suspicion => assert!(suspicion_after(AttemptEnd::Foreign) > 0.9);
    failed_connections_raise_suspicion => assert!(suspicion_after(AttemptEnd::ConnectFailed) > 0.9);
    slow_answers_raise_suspicion => assert!(suspicion_after(AttemptEnd::Answered(ms(400))) > 0.9);
    usual_answers_raise_none => assert!(suspicion_after(AttemptEnd::Answered(ms(25))) < 0.1);
    sheds_raise_none => assert!(suspicion_after(AttemptEnd::Shed) == 0.0);
    cancellations_raise_none => assert!(suspicion_after(AttemptEnd::Cancelled) == 0.0);
}

#[test]
fn attempts_without_an_answer_raise_suspicion_before_they_time_out() {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    let tickets: Vec<_> = (0..8).map(|_| observer.attempt_started(SERVICE, "t03", now)).collect();
    now += ms(200);
    observer.tick(now);
    assert!(observer.suspicion(SERVICE, "t03") > 0.9);
    // An attempt that was counted as late is not counted twice.
    let before = observer.report(now).unwrap().evidence[0].counts.late;
    assert_eq!(before, 8);
    for (index, ticket) in tickets.into_iter().enumerate() {
        let end = if index < 4 { AttemptEnd::Answered(ms(900)) } else { AttemptEnd::TimedOut };
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
            attempt(&mut observer, index, AttemptEnd::Answered(ms(100)), &mut now);
        }
        observer.tick(now);
        for target in targets(TARGETS, 0) {
            assert!(observer.suspicion(SERVICE, &target.name) < 0.5, "{}", target.name);
        }
    }
}

#[test]
fn an_observer_with_a_bad_network_doubts_itself() {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    for _ in 0..20 {
        for index in 0..TARGETS {
            attempt(&mut observer, index, AttemptEnd::TimedOut, &mut now);
        }
    }
    let batch = observer.report(now).unwrap();
    assert!(batch.evidence.iter().all(|one| one.local_health_penalty > 0.9));
    assert!(observer.suspicion(SERVICE, "t03") < 0.1);
}

#[test]
fn probes_alone_do_not_take_a_target_out_at_once_and_a_good_one_proves_nothing() {
    let mut now = Duration::ZERO;
    let mut observer = observer(&mut now);
    observer.probe_finished(SERVICE, "t03", false, now);
    assert!(observer.suspicion(SERVICE, "t03") < 0.1);
    for _ in 0..20 {
        attempt(&mut observer, 3, AttemptEnd::Error, &mut now);
        observer.probe_finished(SERVICE, "t03", true, now);
    }
    assert!(observer.suspicion(SERVICE, "t03") > 0.9);
}

/// A coordinator with `observers` proxies in `domains` failure domains.
struct Bench {
    coordinator: Coordinator,
    observers: usize,
    domains: usize,
    sequence: u64,
    now: Duration,
}

impl Bench {
    fn open(profile: Profile, floor: f64, observers: usize, domains: usize) -> Self {
        let mut coordinator = Coordinator::new("h0", SERVICE, profile, floor, Duration::ZERO);
        coordinator.set_targets(&targets(TARGETS, 0), Duration::ZERO);
        Self { coordinator, observers, domains, sequence: 0, now: Duration::ZERO }
    }

    /// One report of every proxy; `counts` gives what proxy and target saw.
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

fn well() -> Counts {
    Counts { answered: 2, fast: 1, typical: 1, ..Counts::default() }
}

fn sick() -> Counts {
    Counts { answered: 1, errors: 1, fast: 1, ..Counts::default() }
}

/// Runs 40 rounds in which `sees` tells which proxy sees which target sick.
fn ejected(
    profile: Profile,
    observers: usize,
    domains: usize,
    sees: fn(usize, usize) -> bool,
) -> usize {
    let mut bench = Bench::open(profile, 0.6, observers, domains);
    bench.rounds(20, |_, _| well());
    bench.rounds(20, |observer, target| if sees(observer, target) { sick() } else { well() })
}

cases! {
    a_target_sick_for_all_is_ejected => assert_eq!(ejected(Profile::Careful, 18, 4, |_, t| t == 3), 1);
    a_target_sick_for_one_proxy_stays => assert_eq!(ejected(Profile::Fast, 18, 4, |o, t| o == 1 && t == 3), 0);
    a_target_sick_for_one_of_two_proxies_stays => assert_eq!(ejected(Profile::Fast, 2, 2, |o, t| o == 1 && t == 3), 0);
    a_target_sick_for_one_domain_stays => assert_eq!(ejected(Profile::Fast, 18, 3, |o, t| o % 3 == 1 && t == 3), 0);
    a_lone_proxy_ejects_nothing => assert_eq!(ejected(Profile::Fast, 1, 1, |_, t| t == 3), 0);
    two_sick_targets_are_both_ejected => assert_eq!(ejected(Profile::Fast, 18, 4, |_, t| t < 2), 2);
    a_service_sick_as_a_whole_loses_nothing => assert_eq!(ejected(Profile::Fast, 18, 4, |_, _| true), 0);
    half_a_sick_service_loses_nothing => assert_eq!(ejected(Profile::Careful, 18, 4, |_, t| t < 10), 0);
}

#[test]
fn a_batch_that_arrives_twice_counts_once() {
    let mut bench = Bench::open(Profile::Fast, 0.6, 4, 4);
    bench.rounds(20, |_, _| well());
    // One round of four proxies is not enough to eject; the same batches again must not add to it.
    for _ in 0..50 {
        bench.round(|_, target| if target == 3 { sick() } else { well() });
        bench.sequence = 20;
    }
    assert_eq!(bench.coordinator.ejected().count(), 0);
}

#[test]
fn a_coordinator_keeps_the_floor_of_the_service() {
    let mut bench = Bench::open(Profile::Fast, 0.9, 18, 4);
    bench.rounds(20, |_, _| well());
    let count = bench.rounds(20, |_, target| if target < 4 { sick() } else { well() });
    assert_eq!(count, TARGETS - floor_count(0.9, TARGETS));
}

#[test]
fn a_flapping_target_returns_later_each_time() {
    let mut bench = Bench::open(Profile::Fast, 0.6, 18, 4);
    bench.rounds(20, |_, _| well());
    let mut outs = Vec::new();
    let mut since = None;
    for _ in 0..2000 {
        let is_out = bench.coordinator.ejected().count() == 1;
        // Sick whenever it is in use, well whenever it is tried.
        let verdicts =
            bench.round(
                |_, target| if target == 3 && !is_out && since.is_none() { sick() } else { well() },
            );
        for verdict in verdicts.iter().filter(|verdict| verdict.target == "t03") {
            match since {
                None if verdict.ejected => since = Some(bench.now),
                Some(start) if !verdict.ejected && !verdict.trial => {
                    outs.push(bench.now - start);
                    since = None;
                }
                _ => {}
            }
        }
    }
    assert!(outs.len() >= 3, "{outs:?}");
    assert!(outs.windows(2).all(|pair| pair[1] > pair[0]), "{outs:?}");
}

#[test]
fn a_trial_that_fails_ejects_again() {
    let mut bench = Bench::open(Profile::Fast, 0.6, 18, 4);
    bench.rounds(20, |_, _| well());
    let mut trials = 0;
    for _ in 0..300 {
        let verdicts = bench.round(|_, target| if target == 3 { sick() } else { well() });
        trials += verdicts.iter().filter(|verdict| verdict.reason == "trial").count();
        assert!(!verdicts.iter().any(|verdict| verdict.reason == "trial passed"));
    }
    assert!(trials >= 1);
}

#[test]
fn a_new_coordinator_continues_above_the_epochs_it_knows() {
    let mut coordinator = Coordinator::new("h9", SERVICE, Profile::Fast, 0.6, Duration::ZERO);
    coordinator.set_targets(&targets(TARGETS, 0), Duration::ZERO);
    coordinator.apply_verdict(&verdict("t03", true, 41, 0), Duration::ZERO);
    coordinator.apply_verdict(&verdict("t03", false, 40, 0), Duration::ZERO);
    assert_eq!(coordinator.ejected().collect::<Vec<_>>(), ["t03"]);
    let verdicts = coordinator.tick(Duration::from_secs(30));
    let next = verdicts.iter().find(|verdict| verdict.target == "t03").unwrap();
    assert!(next.trial && next.epoch == 42, "{next:?}");
}

/// The standings of `listed` targets after ejection verdicts about the first `ejected` of them.
fn floor_after(listed: usize, leaving: usize, share: f64, ejected: usize) -> (usize, usize) {
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
    let out = (0..listed)
        .filter(|index| weights.get(SERVICE, &format!("t{index:02}")) == HealthWeight::EJECTED)
        .count();
    (out, changes.iter().filter(|change| matches!(change, WeightChange::HeldByFloor(_))).count())
}

cases! {
    ejections_above_the_floor_are_obeyed => assert_eq!(floor_after(20, 0, 0.6, 8), (8, 0));
    ejections_below_the_floor_are_held => assert_eq!(floor_after(20, 0, 0.6, 11), (8, 3));
    leaving_targets_do_not_count_as_usable => assert_eq!(floor_after(20, 6, 0.6, 5), (2, 3));
    more_leaving_than_the_floor_allows_holds_all => assert_eq!(floor_after(20, 10, 0.6, 3), (0, 3));
    a_share_that_is_no_whole_number_rounds_up => assert_eq!(floor_after(3, 0, 0.5, 3), (1, 2));
    a_full_floor_holds_all => assert_eq!(floor_after(20, 0, 1.0, 4), (0, 4));
    no_floor_lets_all_go => assert_eq!(floor_after(4, 0, 0.0, 4), (4, 0));
}

#[test]
fn a_bound_floor_keeps_the_least_suspect() {
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
