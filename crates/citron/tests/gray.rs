//! Failure estimates of targets, and the choice of the target for an attempt.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use citron::{
    catalog::{Catalog, Change, Snapshot, Source, Target},
    gray::{
        Criteria, Eligibility, FailureEstimate, Load, PeerLoad, SUSPECT_THRESHOLD, Verdict, View,
        target_key,
    },
    position::Position,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::IntoEnumIterator;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn target(id: &str, domain: &str) -> Target {
    Target {
        id: Arc::from(id),
        born_ms: 1,
        service: Arc::from("desk"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: Arc::from(domain),
        slots: 3,
        leaving: false,
        warmup_ms: 0,
        heartbeat: 0,
    }
}

/// A list of targets and the view of one gateway in failure domain `a`.
struct World {
    catalog: Catalog,
    view: View,
    rng: ChaCha8Rng,
}

impl World {
    fn new(targets: Vec<Target>) -> Self {
        let mut catalog = Catalog::default();
        let list =
            Snapshot { position: Position { era: 1, revision: 1 }, targets, lapsed: Vec::new() };
        catalog.replace(list, Source::Store, Duration::ZERO);
        Self { catalog, view: View::new("a"), rng: ChaCha8Rng::seed_from_u64(1) }
    }

    fn near(count: usize) -> Self {
        Self::new((0..count).map(|n| target(&format!("t{n}"), "a")).collect())
    }

    fn pick(&mut self, eligibility: Eligibility, now: Duration) -> Option<Target> {
        self.pick_excluding(&[], eligibility, now)
    }

    fn pick_excluding(
        &mut self,
        tried: &[Arc<str>],
        eligibility: Eligibility,
        now: Duration,
    ) -> Option<Target> {
        let criteria = Criteria { service: "desk", tried, only: &[], eligibility };
        let choice = self.view.begin_attempt(&self.catalog, criteria, |_| 0, &mut self.rng, now);
        choice.ok().map(|choice| choice.target)
    }

    fn get(&self, id: &str) -> Target {
        self.catalog.get(id).cloned().expect("a listed target")
    }
}

#[test]
fn one_failure_makes_a_target_suspected() {
    let mut estimate = FailureEstimate::new(at(0));
    estimate.observe(Verdict::Failed, 1.0, at(10));
    assert!(estimate.probability(at(10)) > SUSPECT_THRESHOLD);
}

#[test]
fn one_failure_among_many_successes_is_cleared_by_the_next_success() {
    let mut estimate = FailureEstimate::new(at(0));
    for _ in 0..50 {
        estimate.observe(Verdict::Served, 1.0, at(10));
    }
    estimate.observe(Verdict::Failed, 1.0, at(20));
    estimate.observe(Verdict::Served, 1.0, at(30));
    assert!(estimate.probability(at(30)) < SUSPECT_THRESHOLD);
}

#[test]
fn a_high_estimate_decays_with_time() {
    let mut estimate = FailureEstimate::new(at(0));
    for _ in 0..5 {
        estimate.observe(Verdict::Failed, 1.0, at(0));
    }
    assert!(estimate.probability(at(0)) > 0.95);
    assert!(estimate.probability(at(30_000)) < SUSPECT_THRESHOLD);
}

#[test]
fn a_low_estimate_stays_as_it_is_without_observations() {
    let estimate = FailureEstimate::new(at(0));
    assert_eq!(estimate.probability(at(60_000)), estimate.probability(at(0)));
}

#[test]
fn a_weight_of_zero_changes_nothing() {
    for verdict in Verdict::iter() {
        let mut estimate = FailureEstimate::new(at(0));
        estimate.observe(verdict, 0.0, at(0));
        assert!(
            (estimate.probability(at(0)) - FailureEstimate::new(at(0)).probability(at(0))).abs()
                < 1e-9,
            "{verdict}"
        );
    }
}

#[test]
fn random_estimates_stay_probabilities() {
    for seed in 1..=50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut estimate = FailureEstimate::new(at(0));
        let mut now = at(0);
        for _ in 0..500 {
            now += at(rng.random_range(0..2000));
            let verdicts: Vec<Verdict> = Verdict::iter().collect();
            let verdict = verdicts[rng.random_range(0..verdicts.len())];
            estimate.observe(verdict, rng.random(), now);
            let probability = estimate.probability(now + at(rng.random_range(0..5000)));
            assert!((0.0..1.0).contains(&probability), "seed {seed}: {probability}");
        }
    }
}

#[test]
fn a_failure_reported_by_a_peer_counts_like_an_own_one() {
    let mut world = World::near(2);
    let failing = world.get("t0");
    world.view.apply_peer_outcome(&failing, Verdict::Failed, Duration::ZERO, at(0));
    for n in 0..20 {
        let chosen = world.pick(Eligibility::Any, at(n)).expect("a target");
        assert_eq!(&*chosen.id, "t1");
        world.view.end_attempt(&chosen, None, at(n));
    }
}

#[test]
fn successes_of_healthy_targets_are_not_reported() {
    let mut world = World::near(1);
    let healthy = world.get("t0");
    assert!(!world.view.end_attempt(&healthy, Some(Verdict::Served), at(0)));
    assert!(
        world.view.end_attempt(&healthy, Some(Verdict::Failed), at(1)),
        "failures are reported"
    );
    assert!(
        world.view.end_attempt(&healthy, Some(Verdict::Served), at(2)),
        "so is a success that clears a suspected target"
    );
}

#[test]
fn an_unreachable_target_is_avoided_but_not_reported() {
    let mut world = World::near(2);
    let cut = world.get("t0");
    assert!(
        !world.view.end_attempt(&cut, Some(Verdict::Unreachable), at(0)),
        "the fault may be this gateway's own path"
    );
    let chosen = world.pick(Eligibility::Any, at(1)).expect("a target");
    assert_eq!(&*chosen.id, "t1");
}

#[test]
fn a_suspected_target_gets_occasional_trials_by_retryable_requests() {
    let mut world = World::near(2);
    let failing = world.get("t0");
    world.view.apply_peer_outcome(&failing, Verdict::Failed, Duration::ZERO, at(0));
    assert_eq!(&*world.pick(Eligibility::Trial, at(500)).expect("a target").id, "t1", "too early");
    assert_eq!(&*world.pick(Eligibility::Trial, at(1100)).expect("a target").id, "t0");
    assert_eq!(
        &*world.pick(Eligibility::Trial, at(1200)).expect("a target").id,
        "t1",
        "one at a time"
    );
    assert_eq!(
        &*world.pick(Eligibility::Any, at(9000)).expect("a target").id,
        "t1",
        "never a request that is not retryable"
    );
}

#[test]
fn the_load_of_other_gateways_counts() {
    let mut world = World::near(2);
    let load = [(target_key("t0"), 3)].into_iter().collect();
    world.view.apply_peer_load(&Arc::from("other"), load, at(0));
    assert_eq!(&*world.pick(Eligibility::Any, at(10)).expect("a target").id, "t1");
    assert_eq!(world.pick_excluding(&[Arc::from("t1")], Eligibility::FreeSlot, at(10)), None);
    assert!(
        world.pick_excluding(&[Arc::from("t1")], Eligibility::FreeSlot, at(5000)).is_some(),
        "a load that is not reported again is forgotten"
    );
}

#[test]
fn requests_cross_to_another_domain_only_when_their_own_is_loaded() {
    let mut world = World::new(vec![target("near", "a"), target("far", "b")]);
    let first: Vec<_> =
        (0..2).map(|_| world.pick(Eligibility::Any, at(0)).expect("a target").id).collect();
    assert!(first.iter().all(|id| &**id == "near"), "{first:?}");
    let later: Vec<_> =
        (0..3).map(|_| world.pick(Eligibility::Any, at(0)).expect("a target").id).collect();
    assert!(later.iter().any(|id| &**id == "far"), "{later:?}");
}

#[test]
fn a_new_incarnation_starts_with_a_new_estimate() {
    let mut world = World::near(1);
    let old = world.get("t0");
    world.view.apply_peer_outcome(&old, Verdict::Failed, Duration::ZERO, at(0));
    let restarted = Target { born_ms: 2, ..old };
    world.catalog.apply(
        Position { era: 1, revision: 2 },
        vec![Change::Put(restarted.clone())],
        Source::Store,
        at(1),
    );
    world.view.apply_peer_outcome(&restarted, Verdict::Served, Duration::ZERO, at(1));
    assert!(world.view.failure_probability("t0", at(1)) < SUSPECT_THRESHOLD);
}

#[test]
fn a_misdirected_target_is_not_chosen_again() {
    let mut world = World::near(1);
    let moved = world.get("t0");
    world.view.mark_misdirected(&moved, at(0));
    assert_eq!(world.pick(Eligibility::Any, at(0)), None);
}

/// Requests must not concentrate on the targets that succeeded first: the others would never be
/// observed to be healthy, and their capacity would stay unused.
#[test]
fn all_healthy_targets_of_a_domain_get_requests() {
    let mut world = World::near(25);
    for n in 0..7 {
        let healthy = world.get(&format!("t{n}"));
        for _ in 0..20 {
            world.view.apply_peer_outcome(&healthy, Verdict::Served, Duration::ZERO, at(0));
        }
    }
    let mut chosen = BTreeSet::new();
    for n in 0..160 {
        let target = world.pick(Eligibility::Any, at(n * 12)).expect("a target");
        world.view.end_attempt(&target, Some(Verdict::Served), at(n * 12 + 10));
        chosen.insert(target.id.to_string());
    }
    assert!(chosen.len() >= 23, "{} of 25 targets got requests", chosen.len());
}

/// An estimate that has decayed is below the suspicion threshold, but too high for ordinary
/// requests: only a trial can clear the target.
#[test]
fn a_target_between_the_thresholds_gets_a_trial() {
    let mut world = World::near(2);
    let suspected = world.get("t0");
    world.view.apply_peer_outcome(&suspected, Verdict::Failed, Duration::ZERO, at(0));
    assert!(world.view.failure_probability("t0", at(60_000)) < SUSPECT_THRESHOLD);
    assert_eq!(&*world.pick(Eligibility::Trial, at(60_000)).expect("a target").id, "t0");
    world.view.end_attempt(&suspected, Some(Verdict::Served), at(60_100));
    let chosen: BTreeSet<_> = (0..8)
        .map(|n| world.pick(Eligibility::Any, at(60_200 + n)).expect("a target").id)
        .collect();
    assert_eq!(chosen.len(), 2, "one success clears the target");
}

/// A target that has recovered must not wait a full trial interval for each of the successes that
/// it takes to clear it.
#[test]
fn a_target_that_passed_a_trial_gets_the_next_one_soon() {
    let mut world = World::near(2);
    let suspected = world.get("t0");
    for _ in 0..3 {
        world.view.apply_peer_outcome(&suspected, Verdict::Failed, Duration::ZERO, at(0));
    }
    let mut trials = 0;
    for n in 0..15 {
        let now = at(1100 + n * 100);
        let chosen = world.pick(Eligibility::Trial, now).expect("a target");
        trials += u32::from(chosen.id == suspected.id);
        world.view.end_attempt(&chosen, Some(Verdict::Served), now + at(20));
    }
    assert!(trials >= 4, "{trials} trials in 1.5 s");
    assert!(world.view.failure_probability("t0", at(2600)) < SUSPECT_THRESHOLD, "it is cleared");
}

/// Each suspected target gets a trial, even if there are more of them than one gateway can try in
/// one trial interval.
#[test]
fn the_target_whose_trial_has_been_due_longest_comes_first() {
    let mut world = World::near(8);
    for n in 0..7 {
        let failing = world.get(&format!("t{n}"));
        world.view.apply_peer_outcome(&failing, Verdict::Failed, Duration::ZERO, at(0));
    }
    let mut tried = BTreeSet::new();
    for n in 0..7 {
        let now = at(1100 + n * 350);
        let chosen = world.pick(Eligibility::Trial, now).expect("a target");
        world.view.end_attempt(&chosen, Some(Verdict::Failed), now + at(10));
        tried.insert(chosen.id.to_string());
    }
    assert_eq!(tried.len(), 7, "{tried:?}");
}

#[test]
fn a_gateway_sends_a_trial_that_the_gateways_ahead_of_it_did_not_send() {
    let mut world = World::near(2);
    let failing = world.get("t0");
    world.view.apply_peer_outcome(&failing, Verdict::Failed, Duration::ZERO, at(0));
    let mut begin = |now, peer_in_flight: bool| {
        if peer_in_flight {
            let load = [(target_key("t0"), 1)].into_iter().collect();
            world.view.apply_peer_load(&Arc::from("other"), load, now);
        }
        let criteria =
            Criteria { service: "desk", tried: &[], only: &[], eligibility: Eligibility::Trial };
        let choice = world.view.begin_attempt(&world.catalog, criteria, |_| 2, &mut world.rng, now);
        let target = choice.expect("a target").target;
        world.view.end_attempt(&target, None, now);
        target.id.to_string()
    };
    assert_eq!(begin(at(1400), false), "t1", "the two gateways ahead have their turn first");
    assert_eq!(begin(at(1600), true), "t1", "a trial of a peer is in flight");
    assert_eq!(begin(at(3000), false), "t0");
}

/// Plays a service whose requests cannot be retried and whose targets all recovered from failures at
/// time zero but one: without trials by such requests the recovered ones would stay idle for good.
#[test]
fn targets_of_a_service_without_retryable_requests_come_back() {
    let mut world = World::near(8);
    let failing = world.get("t7");
    for n in 0..6 {
        let target = world.get(&format!("t{n}"));
        world.view.apply_peer_outcome(&target, Verdict::Failed, Duration::ZERO, at(0));
    }
    world.view.apply_peer_outcome(&failing, Verdict::Failed, Duration::ZERO, at(0));
    let mut used = BTreeSet::new();
    let mut lost = 0;
    for n in 0..1000 {
        let now = at(n * 20);
        let Some(target) = world.pick(Eligibility::LateTrial, now) else { continue };
        let is_failing = target.id == failing.id;
        lost += u32::from(is_failing);
        let verdict = if is_failing { Verdict::Failed } else { Verdict::Served };
        world.view.end_attempt(&target, Some(verdict), now + at(10));
        if n >= 800 {
            used.insert(target.id);
        }
    }
    let recovered = (0..7).map(|n| format!("t{n}"));
    assert!(recovered.into_iter().all(|id| used.contains(id.as_str())), "{used:?}");
    assert!(lost <= 6, "{lost} requests were lost at the failing target in 20 s");
}

#[test]
fn a_request_that_cannot_be_retried_is_no_trial_of_a_target_that_failed_just_now() {
    let mut world = World::near(2);
    let suspected = world.get("t0");
    world.view.apply_peer_outcome(&suspected, Verdict::Failed, Duration::ZERO, at(0));
    for n in 0..150 {
        let target = world.pick(Eligibility::LateTrial, at(n * 20)).expect("a target");
        assert_eq!(&*target.id, "t1", "at {} ms", n * 20);
        world.view.end_attempt(&target, Some(Verdict::Served), at(n * 20 + 10));
    }
}

/// A timeout is reported long after the request was sent; the next trial must not wait a full trial
/// interval after the report.
#[test]
fn a_trial_is_due_relative_to_the_start_of_the_latest_attempt() {
    let mut world = World::near(2);
    let silent = world.get("t0");
    for _ in 0..3 {
        world.view.apply_peer_outcome(&silent, Verdict::Silent, at(1400), at(1400));
    }
    assert!(world.view.failure_probability("t0", at(1400)) > SUSPECT_THRESHOLD);
    assert_eq!(&*world.pick(Eligibility::Trial, at(1500)).expect("a target").id, "t1", "too early");
    assert_eq!(&*world.pick(Eligibility::Trial, at(1700)).expect("a target").id, "t0");
}

/// Under overload, queues that grow at every target make all requests late; excess requests are
/// refused early instead.
mod capacity {
    use super::*;

    fn set_load(world: &mut World, in_flight: &[(&str, u32)]) {
        let load = in_flight.iter().map(|(id, count)| (target_key(id), *count)).collect();
        world.view.apply_peer_load(&Arc::from("other"), load, at(0));
    }

    fn suspect(world: &mut World, id: &str) {
        let target = world.get(id);
        world.view.apply_peer_outcome(&target, Verdict::Failed, Duration::ZERO, at(0));
    }

    macro_rules! cases {
        ($($name:ident: $in_flight:expr, suspected $suspected:expr, $eligibility:ident at $now:expr => $is_sent:expr;)*) => {$(
            #[test]
            fn $name() {
                let mut world = World::near(4);
                let suspected: &[&str] = &$suspected;
                suspected.iter().for_each(|id| suspect(&mut world, id));
                set_load(&mut world, &$in_flight);
                assert_eq!(world.pick(Eligibility::$eligibility, at($now)).is_some(), $is_sent);
            }
        )*};
    }

    cases! {
        all_saturated_is_refused: [("t0", 5), ("t1", 5), ("t2", 5), ("t3", 6)], suspected [], Any at 10 => false;
        one_with_capacity_is_enough: [("t0", 5), ("t1", 5), ("t2", 4), ("t3", 6)], suspected [], Any at 10 => true;
        a_suspected_one_is_no_capacity: [("t0", 5), ("t1", 5), ("t2", 5)], suspected ["t3"], Any at 10 => false;
        a_trial_that_is_due_is_sent: [("t0", 5), ("t1", 5), ("t2", 5)], suspected ["t3"], Trial at 1100 => true;
        nothing_is_refused_if_most_are_suspected: [("t0", 9)], suspected ["t1", "t2", "t3"], Any at 10 => true;
        expired_load_reports_do_not_count: [("t0", 5), ("t1", 5), ("t2", 5), ("t3", 6)], suspected [], Any at 1300 => true;
    }

    #[test]
    fn a_retry_is_not_refused() {
        let mut world = World::near(4);
        set_load(&mut world, &[("t0", 5), ("t1", 5), ("t2", 5), ("t3", 6)]);
        assert!(world.pick_excluding(&[Arc::from("t0")], Eligibility::Any, at(10)).is_some());
    }

    #[test]
    fn a_service_without_targets_has_no_capacity() {
        let mut world = World::near(0);
        assert_eq!(world.pick(Eligibility::Any, at(0)), None);
    }
}

macro_rules! verdict_of_one_peer {
    ($($name:ident: $verdict:ident => suspected $suspected:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut world = World::near(3);
            let target = world.get("t1");
            world.view.apply_peer_outcome(&target, Verdict::$verdict, at(5), at(100));
            let probability = world.view.failure_probability("t1", at(100));
            assert_eq!(probability > SUSPECT_THRESHOLD, $suspected, "{probability}");
        }
    )*};
}

verdict_of_one_peer! {
    a_failure_that_one_peer_met_is_believed: Failed => suspected true;
    a_reset_that_one_peer_met_is_believed: Reset => suspected true;
    a_silence_that_one_peer_met_may_be_its_own_path: Silent => suspected false;
}

/// The sum that is kept equals one that is computed from the valid reports.
#[test]
fn random_load_reports_add_up() {
    const TTL: Duration = Duration::from_millis(1200);
    let hosts: Vec<Arc<str>> = (0..12).map(|n| format!("entry-{n}").into()).collect();
    for seed in 1..=20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut kept = PeerLoad::default();
        let mut reports: Vec<Option<(Duration, Load)>> = vec![None; hosts.len()];
        let mut now = Duration::ZERO;
        for _ in 0..400 {
            now += at(rng.random_range(0..200));
            let host = rng.random_range(0..hosts.len());
            let count = rng.random_range(0..6);
            let load: Load =
                (0..count).map(|_| (rng.random_range(0..9), rng.random_range(0..4))).collect();
            kept.apply(&hosts[host], load.clone(), now);
            reports[host] = Some((now, load));
            kept.expire(now);
            let valid = reports.iter().flatten().filter(|(at, _)| now - *at < TTL);
            let valid: Vec<_> = valid.flat_map(|(_, load)| load).collect();
            for key in 0..9 {
                let sum: u32 = valid.iter().filter(|(k, _)| *k == key).map(|(_, n)| n).sum();
                assert_eq!(kept.in_flight(key), sum, "seed {seed} at {now:?}");
            }
        }
    }
}

#[test]
fn forged_load_reports_do_not_overflow() {
    let mut kept = PeerLoad::default();
    for host in ["entry-1", "entry-2"] {
        kept.apply(&Arc::from(host), Load::from_slice(&[(7, u32::MAX)]), at(0));
    }
    assert_eq!(kept.in_flight(7), u32::MAX);
    kept.apply(&Arc::from("entry-1"), Load::from_slice(&[(7, 2)]), at(1));
    kept.apply(&Arc::from("entry-2"), Load::new(), at(1));
    assert_eq!(kept.in_flight(7), 2);
}
