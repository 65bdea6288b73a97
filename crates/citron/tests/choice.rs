//! Picks of targets by the balancer: single cases, and seeded random runs.

use std::{collections::HashMap, time::Duration};

use citron::choice::{Balancer, Load, Pick, PickArgs, Proxy, State, Target, TargetReport};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "lot-desk";

fn target(index: usize) -> Target {
    Target {
        name: format!("t{index}").into(),
        service: SERVICE.into(),
        address: format!("10.0.0.{index}:80").into(),
        domain: format!("d{}", index % 4).into(),
        slots: 3,
        connections: 400,
        leaving: false,
    }
}

fn proxies(count: usize) -> Vec<Proxy> {
    (0..count)
        .map(|index| Proxy {
            domain: format!("d{}", index % 4).into(),
            host: format!("p{index}").into(),
        })
        .collect()
}

fn balancer(targets: usize) -> Balancer {
    let mut balancer = Balancer::new("p0", "d0");
    balancer.set_proxies(proxies(2));
    balancer.upsert((0..targets).map(target), Duration::ZERO);
    balancer
}

fn pick(
    balancer: &mut Balancer,
    exclude: &[&str],
    idempotent: bool,
    at_ms: u64,
    seed: u64,
) -> Option<Pick> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let args = PickArgs { service: SERVICE, exclude, idempotent };
    balancer.pick(&args, Duration::from_millis(at_ms), &mut rng)
}

/// Returns how often each target is picked in 2,000 picks at one time.
fn counts(balancer: &mut Balancer, idempotent: bool, at_ms: u64) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for seed in 0..2000 {
        if let Some(pick) = pick(balancer, &[], idempotent, at_ms, seed) {
            *counts.entry(pick.target.to_string()).or_insert(0) += 1;
        }
    }
    counts
}

macro_rules! cases {
    ($($name:ident: $change:expr => $check:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut balancer = balancer(8);
            let change: fn(&mut Balancer) = $change;
            change(&mut balancer);
            let check: fn(&mut Balancer) = $check;
            check(&mut balancer);
        }
    )*};
}

cases! {
    an_unknown_service_has_no_target: |_| {} => |balancer| {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let args = PickArgs { service: "tec-live", exclude: &[], idempotent: true };
        assert_eq!(balancer.pick(&args, Duration::ZERO, &mut rng), None);
    };
    an_ejected_target_gets_nothing: |balancer| balancer.set_weight("t0", 0.0, false) => |balancer| {
        assert!(!counts(balancer, true, 0).contains_key("t0"));
    };
    a_target_listed_as_leaving_gets_nothing: |balancer| {
        balancer.upsert([Target { leaving: true, ..target(0) }], Duration::ZERO);
    } => |balancer| assert!(!counts(balancer, true, 0).contains_key("t0"));
    a_draining_target_gets_nothing: |balancer| {
        let report = TargetReport { load: None, state: State::Draining, ..TargetReport::default() };
        balancer.on_response("t0", report, Duration::from_millis(50), Duration::ZERO);
    } => |balancer| assert!(!counts(balancer, true, 0).contains_key("t0"));
    a_target_that_sheds_as_it_drains_gets_nothing: |balancer| {
        balancer.on_shed("t0", TargetReport { load: None, state: State::Draining, ..TargetReport::default() }, Duration::ZERO);
    } => |balancer| assert!(!counts(balancer, true, 60_000).contains_key("t0"));
    a_removed_target_gets_nothing: |balancer| balancer.remove("t0") => |balancer| {
        assert!(!counts(balancer, true, 0).contains_key("t0"));
    };
    a_target_on_trial_gets_idempotent_requests_only: |balancer| balancer.set_weight("t0", 0.5, true) => |balancer| {
        assert!(!counts(balancer, false, 0).contains_key("t0"));
        assert!(counts(balancer, true, 0).contains_key("t0"));
    };
    a_target_that_shed_is_skipped: |balancer| {
        balancer.on_shed("t0", TargetReport::default(), Duration::ZERO);
    } => |balancer| assert!(!counts(balancer, true, 0).contains_key("t0"));
    a_target_with_as_many_own_requests_as_slots_is_full: |balancer| {
        (0..3).for_each(|_| balancer.on_start("t0"));
    } => |balancer| assert!(!counts(balancer, true, 0).contains_key("t0"));
    an_ended_request_frees_its_slot: |balancer| {
        (0..3).for_each(|_| balancer.on_start("t0"));
        (0..3).for_each(|_| balancer.on_end("t0"));
    } => |balancer| assert!(counts(balancer, true, 0).contains_key("t0"));
    all_targets_of_low_weight_still_serve: |balancer| {
        (0..8).for_each(|index| balancer.set_weight(&format!("t{index}"), 0.01, false));
    } => |balancer| assert_eq!(counts(balancer, true, 0).values().sum::<u32>(), 2000);
    a_new_target_ramps_up: |balancer| {
        balancer.upsert([Target { domain: "d0".into(), ..target(8) }], Duration::from_secs(60));
    } => |balancer| {
        let cold = counts(balancer, true, 60_000).get("t8").copied().unwrap_or(0);
        let warm = counts(balancer, true, 75_000).get("t8").copied().unwrap_or(0);
        assert!(cold * 3 < warm, "{cold} of 2000 cold, {warm} warm");
    };
    a_cold_response_lowers_the_weight: |balancer| {
        let report = TargetReport { load: None, state: State::Cold, ..TargetReport::default() };
        balancer.on_response("t0", report, Duration::from_millis(50), Duration::from_secs(60));
    } => |balancer| {
        let cold = counts(balancer, true, 60_000).get("t0").copied().unwrap_or(0);
        let warm = counts(balancer, true, 75_000).get("t0").copied().unwrap_or(0);
        assert!(cold * 3 < warm, "{cold} of 2000 cold, {warm} warm");
    };
    excluded_targets_are_not_picked_again: |_| {} => |balancer| {
        let mut tried: Vec<String> = Vec::new();
        for _ in 0..8 {
            let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
            let pick = pick(balancer, &exclude, true, 0, 3).expect("not all are tried");
            assert!(!tried.contains(&pick.target.to_string()));
            tried.push(pick.target.to_string());
        }
        let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
        assert_eq!(pick(balancer, &exclude, true, 0, 3), None);
    };
    a_target_reported_full_is_avoided: |balancer| {
        let report = TargetReport { load: Some(Load { in_use: 3, slots: 3 }), state: State::Ready, ..TargetReport::default() };
        balancer.on_response("t0", report, Duration::from_millis(50), Duration::ZERO);
    } => |balancer| assert!(!counts(balancer, true, 0).contains_key("t0"));
}

#[test]
fn connections_are_shared_among_proxies() {
    let mut balancer = Balancer::new("p0", "d0");
    balancer.set_proxies(proxies(18));
    balancer.upsert([Target { connections: 36, slots: 100, ..target(0) }], Duration::ZERO);
    let mut taken = 0;
    while pick(&mut balancer, &[], true, 0, taken).is_some() {
        balancer.on_start("t0");
        taken += 1;
    }
    assert_eq!(taken, 2);
}

/// Picks targets under random events and checks each pick against a simple model: no pick may be a
/// closed target or exceed its slots.
fn run(seed: u64, steps: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut balancer = balancer(12);
    let mut closed: HashMap<String, bool> = (0..12).map(|i| (format!("t{i}"), false)).collect();
    let mut in_flight: Vec<String> = Vec::new();
    for step in 0..steps {
        let now = Duration::from_millis(step);
        let name = format!("t{}", rng.random_range(0..12));
        match rng.random_range(0..10) {
            0 => {
                let weight = *[0.0, 0.1, 1.0].choose(&mut rng).unwrap();
                balancer.set_weight(&name, weight, false);
                // A leaving target stays closed whatever its weight; listing it again opens it.
                if weight > 0.0 {
                    balancer.upsert([target(name[1..].parse().unwrap())], now);
                    balancer.on_response(
                        &name,
                        TargetReport::default(),
                        Duration::from_millis(9),
                        now,
                    );
                }
                closed.insert(name, weight == 0.0);
            }
            1 => {
                let index = name[1..].parse().unwrap();
                balancer.upsert([Target { leaving: true, ..target(index) }], now);
                closed.insert(name, true);
            }
            2 => {
                balancer.remove(&name);
                in_flight.retain(|other| *other != name);
                closed.insert(name, true);
            }
            3..=5 if !in_flight.is_empty() => {
                let name = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                balancer.on_end(&name);
                if rng.random_bool(0.3) {
                    balancer.on_shed(&name, TargetReport::default(), now);
                } else {
                    let load = Load { in_use: rng.random_range(0..=3), slots: 3 };
                    let report = TargetReport {
                        load: Some(load),
                        state: State::Ready,
                        ..TargetReport::default()
                    };
                    balancer.on_response(&name, report, Duration::from_millis(20), now);
                }
            }
            _ => {
                let args = PickArgs { service: SERVICE, exclude: &[], idempotent: true };
                let Some(pick) = balancer.pick(&args, now, &mut rng) else { continue };
                let own = in_flight.iter().filter(|other| **other == *pick.target).count();
                assert!(!closed[&*pick.target], "{} is closed", pick.target);
                assert!(own < 3, "{} has {own} own requests", pick.target);
                balancer.on_start(&pick.target);
                in_flight.push(pick.target.to_string());
            }
        }
    }
}

#[test]
fn random_events_never_pick_a_closed_or_full_target() {
    let number = |name, default| {
        std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
    };
    for seed in 0..number("CITRON_SEEDS", 20) {
        let steps = number("CITRON_STEPS", 3000);
        let result = std::panic::catch_unwind(|| run(seed, steps));
        assert!(
            result.is_ok(),
            "seed {seed}: CITRON_SEEDS={} cargo test -p citron --test choice",
            seed + 1
        );
    }
}
