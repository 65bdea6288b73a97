//! Beliefs about failing targets, and the choice of the next target.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use citron::{
    catalog::{Catalog, Change, Snapshot, Source, Target},
    gray::{Criteria, Eligibility, FailureEstimate, SUSPECT_THRESHOLD, Verdict, View, target_key},
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
    }
}

/// A view of `count` targets in the gateway's own failure domain.
struct World {
    catalog: Catalog,
    view: View,
    rng: ChaCha8Rng,
}

impl World {
    fn new(targets: Vec<Target>) -> Self {
        let mut catalog = Catalog::default();
        let list = Snapshot { revision: 1, targets, lapsed: Vec::new() };
        catalog.replace(list, Source::Store, Duration::ZERO);
        Self { catalog, view: View::new("a"), rng: ChaCha8Rng::seed_from_u64(1) }
    }

    fn near(count: usize) -> Self {
        Self::new((0..count).map(|n| target(&format!("t{n}"), "a")).collect())
    }

    fn pick(&mut self, eligibility: Eligibility, now: Duration) -> Option<Target> {
        self.pick_besides(&[], eligibility, now)
    }

    fn pick_besides(
        &mut self,
        tried: &[Arc<str>],
        eligibility: Eligibility,
        now: Duration,
    ) -> Option<Target> {
        let criteria = Criteria { service: "desk", tried, eligibility };
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
fn one_failure_among_many_answers_is_forgiven_soon() {
    let mut estimate = FailureEstimate::new(at(0));
    for _ in 0..50 {
        estimate.observe(Verdict::Served, 1.0, at(10));
    }
    estimate.observe(Verdict::Failed, 1.0, at(20));
    estimate.observe(Verdict::Served, 1.0, at(30));
    assert!(estimate.probability(at(30)) < SUSPECT_THRESHOLD);
}

#[test]
fn a_sick_target_is_believed_to_recover_with_time() {
    let mut estimate = FailureEstimate::new(at(0));
    for _ in 0..5 {
        estimate.observe(Verdict::Failed, 1.0, at(0));
    }
    assert!(estimate.probability(at(0)) > 0.95);
    assert!(estimate.probability(at(30_000)) < SUSPECT_THRESHOLD);
}

#[test]
fn a_sound_target_stays_sound_while_nothing_is_heard() {
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
fn random_beliefs_stay_probabilities() {
    for seed in 1..=50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut estimate = FailureEstimate::new(at(0));
        let mut now = at(0);
        for _ in 0..500 {
            now += at(rng.random_range(0..2000));
            let verdicts: Vec<Verdict> = Verdict::iter().collect();
            let verdict = verdicts[rng.random_range(0..verdicts.len())];
            estimate.observe(verdict, rng.random(), now);
            let sick = estimate.probability(now + at(rng.random_range(0..5000)));
            assert!((0.0..1.0).contains(&sick), "seed {seed}: {sick}");
        }
    }
}

#[test]
fn a_failure_told_by_a_peer_counts_like_ones_own() {
    let mut world = World::near(2);
    let sick = world.get("t0");
    world.view.apply_peer_outcome(&sick, Verdict::Failed, Duration::ZERO, at(0));
    for n in 0..20 {
        let chosen = world.pick(Eligibility::Any, at(n)).expect("a target");
        assert_eq!(&*chosen.id, "t1");
        world.view.end_attempt(&chosen, None, at(n));
    }
}

#[test]
fn answers_of_unsuspected_targets_are_no_news() {
    let mut world = World::near(1);
    let sound = world.get("t0");
    assert!(!world.view.end_attempt(&sound, Some(Verdict::Served), at(0)));
    assert!(world.view.end_attempt(&sound, Some(Verdict::Failed), at(1)), "failures are told");
    assert!(
        world.view.end_attempt(&sound, Some(Verdict::Served), at(2)),
        "so is what clears a suspect"
    );
}

#[test]
fn an_unreachable_target_is_a_matter_of_ones_own_path() {
    let mut world = World::near(2);
    let cut = world.get("t0");
    assert!(!world.view.end_attempt(&cut, Some(Verdict::Unreachable), at(0)), "peers are not told");
    let chosen = world.pick(Eligibility::Any, at(1)).expect("a target");
    assert_eq!(&*chosen.id, "t1");
}

#[test]
fn a_suspected_target_is_tested_once_in_a_while_by_requests_that_can_be_repeated() {
    let mut world = World::near(2);
    let sick = world.get("t0");
    world.view.apply_peer_outcome(&sick, Verdict::Failed, Duration::ZERO, at(0));
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
        "never an order"
    );
}

#[test]
fn the_load_of_other_gateways_counts() {
    let mut world = World::near(2);
    let load = [(target_key("t0"), 3)].into_iter().collect();
    world.view.apply_peer_load(&Arc::from("other"), load, at(0));
    assert_eq!(&*world.pick(Eligibility::Any, at(10)).expect("a target").id, "t1");
    assert_eq!(world.pick_besides(&[Arc::from("t1")], Eligibility::FreeSlot, at(10)), None);
    assert!(
        world.pick_besides(&[Arc::from("t1")], Eligibility::FreeSlot, at(5000)).is_some(),
        "a load that is not reported again is forgotten"
    );
}

#[test]
fn requests_cross_to_another_domain_only_when_their_own_is_busy() {
    let mut world = World::new(vec![target("near", "a"), target("far", "b")]);
    let first: Vec<_> =
        (0..2).map(|_| world.pick(Eligibility::Any, at(0)).expect("a target").id).collect();
    assert!(first.iter().all(|id| &**id == "near"), "{first:?}");
    let later: Vec<_> =
        (0..3).map(|_| world.pick(Eligibility::Any, at(0)).expect("a target").id).collect();
    assert!(later.iter().any(|id| &**id == "far"), "{later:?}");
}

#[test]
fn a_new_lifetime_starts_without_a_past() {
    let mut world = World::near(1);
    let old = world.get("t0");
    world.view.apply_peer_outcome(&old, Verdict::Failed, Duration::ZERO, at(0));
    let reborn = Target { born_ms: 2, ..old };
    world.catalog.apply(2, vec![Change::Put(reborn.clone())], Source::Store, at(1));
    world.view.apply_peer_outcome(&reborn, Verdict::Served, Duration::ZERO, at(1));
    assert!(world.view.failure_probability("t0", at(1)) < SUSPECT_THRESHOLD);
}

#[test]
fn a_target_at_whose_address_another_answered_is_not_chosen_again() {
    let mut world = World::near(1);
    let moved = world.get("t0");
    world.view.mark_misdirected(&moved, at(0));
    assert_eq!(world.pick(Eligibility::Any, at(0)), None);
}

/// Traffic must not gather on the targets that were proven first: the others would never be seen
/// to be sound, and their capacity would be missing.
#[test]
fn all_sound_targets_of_a_domain_get_work() {
    let mut world = World::near(25);
    for n in 0..7 {
        let proven = world.get(&format!("t{n}"));
        for _ in 0..20 {
            world.view.apply_peer_outcome(&proven, Verdict::Served, Duration::ZERO, at(0));
        }
    }
    let mut chosen = BTreeSet::new();
    for n in 0..160 {
        let target = world.pick(Eligibility::Any, at(n * 12)).expect("a target");
        world.view.end_attempt(&target, Some(Verdict::Served), at(n * 12 + 10));
        chosen.insert(target.id.to_string());
    }
    assert!(chosen.len() >= 23, "{} of 25 targets got work", chosen.len());
}

/// A belief that decayed is neither low enough for ordinary work nor high: only a test clears it.
#[test]
fn a_target_in_mild_doubt_is_tested_too() {
    let mut world = World::near(2);
    let doubted = world.get("t0");
    world.view.apply_peer_outcome(&doubted, Verdict::Failed, Duration::ZERO, at(0));
    assert!(world.view.failure_probability("t0", at(60_000)) < SUSPECT_THRESHOLD);
    assert_eq!(&*world.pick(Eligibility::Trial, at(60_000)).expect("a target").id, "t0");
    world.view.end_attempt(&doubted, Some(Verdict::Served), at(60_100));
    let chosen: BTreeSet<_> = (0..8)
        .map(|n| world.pick(Eligibility::Any, at(60_200 + n)).expect("a target").id)
        .collect();
    assert_eq!(chosen.len(), 2, "one answer makes it a target like others");
}

/// A target that recovered must not wait a full gap for each answer that it takes to clear it.
#[test]
fn a_doubted_target_that_answered_is_tested_again_at_once() {
    let mut world = World::near(2);
    let doubted = world.get("t0");
    for _ in 0..3 {
        world.view.apply_peer_outcome(&doubted, Verdict::Failed, Duration::ZERO, at(0));
    }
    let mut tests = 0;
    for n in 0..15 {
        let now = at(1100 + n * 100);
        let chosen = world.pick(Eligibility::Trial, now).expect("a target");
        tests += u32::from(chosen.id == doubted.id);
        world.view.end_attempt(&chosen, Some(Verdict::Served), now + at(20));
    }
    assert!(tests >= 4, "{tests} tests in 1.5 s");
    assert!(
        world.view.failure_probability("t0", at(2600)) < SUSPECT_THRESHOLD,
        "it is proven sound"
    );
}

/// With more doubted targets than one gateway's requests can test in a gap, each has its turn.
#[test]
fn the_target_whose_test_is_due_for_longest_comes_first() {
    let mut world = World::near(8);
    for n in 0..7 {
        let sick = world.get(&format!("t{n}"));
        world.view.apply_peer_outcome(&sick, Verdict::Failed, Duration::ZERO, at(0));
    }
    let mut tested = BTreeSet::new();
    for n in 0..7 {
        let now = at(1100 + n * 350);
        let chosen = world.pick(Eligibility::Trial, now).expect("a target");
        world.view.end_attempt(&chosen, Some(Verdict::Failed), now + at(10));
        tested.insert(chosen.id.to_string());
    }
    assert_eq!(tested.len(), 7, "{tested:?}");
}

#[test]
fn a_gateway_tests_a_target_that_the_ones_before_it_left_out() {
    let mut world = World::near(2);
    let sick = world.get("t0");
    world.view.apply_peer_outcome(&sick, Verdict::Failed, Duration::ZERO, at(0));
    let mut begin = |now, busy_elsewhere: bool| {
        if busy_elsewhere {
            let load = [(target_key("t0"), 1)].into_iter().collect();
            world.view.apply_peer_load(&Arc::from("other"), load, now);
        }
        let criteria = Criteria { service: "desk", tried: &[], eligibility: Eligibility::Trial };
        let choice = world.view.begin_attempt(&world.catalog, criteria, |_| 2, &mut world.rng, now);
        let target = choice.expect("a target").target;
        world.view.end_attempt(&target, None, now);
        target.id.to_string()
    };
    assert_eq!(begin(at(1400), false), "t1", "the two before it have their time first");
    assert_eq!(begin(at(1600), true), "t1", "another gateway's test is under way");
    assert_eq!(begin(at(3000), false), "t0");
}

/// Requests that time out are heard of long after they were sent; the next test must not wait for
/// a whole gap after that.
#[test]
fn a_test_is_due_by_the_start_of_the_newest_attempt() {
    let mut world = World::near(2);
    let silent = world.get("t0");
    for _ in 0..3 {
        world.view.apply_peer_outcome(&silent, Verdict::Silent, at(1400), at(1400));
    }
    assert!(world.view.failure_probability("t0", at(1400)) > SUSPECT_THRESHOLD);
    assert_eq!(&*world.pick(Eligibility::Trial, at(1500)).expect("a target").id, "t1", "too early");
    assert_eq!(&*world.pick(Eligibility::Trial, at(1700)).expect("a target").id, "t0");
}

/// A queue at every target that grows with the load makes all requests late; what does not fit is
/// refused while that is early.
mod room {
    use super::*;

    fn crowd(world: &mut World, busy: &[(&str, u32)]) {
        let load = busy.iter().map(|(id, busy)| (target_key(id), *busy)).collect();
        world.view.apply_peer_load(&Arc::from("other"), load, at(0));
    }

    fn suspect(world: &mut World, id: &str) {
        let target = world.get(id);
        world.view.apply_peer_outcome(&target, Verdict::Failed, Duration::ZERO, at(0));
    }

    macro_rules! cases {
        ($($name:ident: $busy:expr, sick $sick:expr, $eligibility:ident at $now:expr => $is_sent:expr;)*) => {$(
            #[test]
            fn $name() {
                let mut world = World::near(4);
                let sick: &[&str] = &$sick;
                sick.iter().for_each(|id| suspect(&mut world, id));
                crowd(&mut world, &$busy);
                assert_eq!(world.pick(Eligibility::$eligibility, at($now)).is_some(), $is_sent);
            }
        )*};
    }

    cases! {
        all_crowded_is_refused: [("t0", 5), ("t1", 5), ("t2", 5), ("t3", 6)], sick [], Any at 10 => false;
        one_with_room_is_enough: [("t0", 5), ("t1", 5), ("t2", 4), ("t3", 6)], sick [], Any at 10 => true;
        a_suspected_one_is_no_room: [("t0", 5), ("t1", 5), ("t2", 5)], sick ["t3"], Any at 10 => false;
        a_test_that_is_due_is_sent: [("t0", 5), ("t1", 5), ("t2", 5)], sick ["t3"], Trial at 1100 => true;
        doubt_about_most_may_be_ones_own: [("t0", 9)], sick ["t1", "t2", "t3"], Any at 10 => true;
        old_reports_of_load_do_not_count: [("t0", 5), ("t1", 5), ("t2", 5), ("t3", 6)], sick [], Any at 1300 => true;
    }

    #[test]
    fn a_request_that_was_sent_before_goes_on() {
        let mut world = World::near(4);
        crowd(&mut world, &[("t0", 5), ("t1", 5), ("t2", 5), ("t3", 6)]);
        assert!(world.pick_besides(&[Arc::from("t0")], Eligibility::Any, at(10)).is_some());
    }

    #[test]
    fn a_service_without_targets_has_no_room() {
        let mut world = World::near(0);
        assert_eq!(world.pick(Eligibility::Any, at(0)), None);
    }
}
