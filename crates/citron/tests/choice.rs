//! Contract of the choice of targets, and seeded runs.

use std::{collections::HashMap, time::Duration};

use citron::choice::{Answer, Ask, Load, Pick, Proxy, State, Table, Target};
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

fn table(targets: usize) -> Table {
    let mut table = Table::new("p0", "d0");
    table.set_proxies(proxies(2));
    table.upsert((0..targets).map(target), Duration::ZERO);
    table
}

fn pick(
    table: &mut Table,
    exclude: &[&str],
    idempotent: bool,
    at_ms: u64,
    seed: u64,
) -> Option<Pick> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let ask = Ask { service: SERVICE, exclude, idempotent };
    table.pick(&ask, Duration::from_millis(at_ms), &mut rng)
}

/// Returns how often each target is chosen in 2,000 choices at one time.
fn counts(table: &mut Table, idempotent: bool, at_ms: u64) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for seed in 0..2000 {
        if let Some(pick) = pick(table, &[], idempotent, at_ms, seed) {
            *counts.entry(pick.target.to_string()).or_insert(0) += 1;
        }
    }
    counts
}

macro_rules! cases {
    ($($name:ident: $change:expr => $check:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut table = table(8);
            let change: fn(&mut Table) = $change;
            change(&mut table);
            let check: fn(&mut Table) = $check;
            check(&mut table);
        }
    )*};
}

cases! {
    an_unknown_service_has_no_target: |_| {} => |table| {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let ask = Ask { service: "tec-live", exclude: &[], idempotent: true };
        assert_eq!(table.pick(&ask, Duration::ZERO, &mut rng), None);
    };
    an_ejected_target_gets_nothing: |table| table.set_weight("t0", 0.0, false) => |table| {
        assert!(!counts(table, true, 0).contains_key("t0"));
    };
    a_listed_leaving_target_gets_nothing: |table| {
        table.upsert([Target { leaving: true, ..target(0) }], Duration::ZERO);
    } => |table| assert!(!counts(table, true, 0).contains_key("t0"));
    a_draining_target_gets_nothing: |table| {
        let answer = Answer { load: None, state: State::Draining };
        table.on_answer("t0", answer, Duration::from_millis(50), Duration::ZERO);
    } => |table| assert!(!counts(table, true, 0).contains_key("t0"));
    a_target_that_drains_while_shedding_gets_nothing: |table| {
        table.on_shed("t0", Answer { load: None, state: State::Draining }, Duration::ZERO);
    } => |table| assert!(!counts(table, true, 60_000).contains_key("t0"));
    a_removed_target_gets_nothing: |table| table.remove("t0") => |table| {
        assert!(!counts(table, true, 0).contains_key("t0"));
    };
    a_target_on_trial_gets_no_order: |table| table.set_weight("t0", 0.5, true) => |table| {
        assert!(!counts(table, false, 0).contains_key("t0"));
        assert!(counts(table, true, 0).contains_key("t0"));
    };
    a_target_that_shed_is_passed_over: |table| {
        table.on_shed("t0", Answer::default(), Duration::ZERO);
    } => |table| assert!(!counts(table, true, 0).contains_key("t0"));
    a_target_with_as_many_own_requests_as_slots_is_full: |table| {
        (0..3).for_each(|_| table.on_start("t0"));
    } => |table| assert!(!counts(table, true, 0).contains_key("t0"));
    an_ended_request_frees_its_slot: |table| {
        (0..3).for_each(|_| table.on_start("t0"));
        (0..3).for_each(|_| table.on_end("t0"));
    } => |table| assert!(counts(table, true, 0).contains_key("t0"));
    all_targets_of_low_weight_still_serve: |table| {
        (0..8).for_each(|index| table.set_weight(&format!("t{index}"), 0.01, false));
    } => |table| assert_eq!(counts(table, true, 0).values().sum::<u32>(), 2000);
    a_new_target_starts_with_little: |table| {
        table.upsert([Target { domain: "d0".into(), ..target(8) }], Duration::from_secs(60));
    } => |table| {
        let cold = counts(table, true, 60_000).get("t8").copied().unwrap_or(0);
        let warm = counts(table, true, 75_000).get("t8").copied().unwrap_or(0);
        assert!(cold * 3 < warm, "{cold} of 2000 cold, {warm} warm");
    };
    a_cold_answer_lowers_the_weight: |table| {
        let answer = Answer { load: None, state: State::Cold };
        table.on_answer("t0", answer, Duration::from_millis(50), Duration::from_secs(60));
    } => |table| {
        let cold = counts(table, true, 60_000).get("t0").copied().unwrap_or(0);
        let warm = counts(table, true, 75_000).get("t0").copied().unwrap_or(0);
        assert!(cold * 3 < warm, "{cold} of 2000 cold, {warm} warm");
    };
    excluded_targets_are_not_chosen_again: |_| {} => |table| {
        let mut tried: Vec<String> = Vec::new();
        for _ in 0..8 {
            let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
            let pick = pick(table, &exclude, true, 0, 3).expect("not all are tried");
            assert!(!tried.contains(&pick.target.to_string()));
            tried.push(pick.target.to_string());
        }
        let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
        assert_eq!(pick(table, &exclude, true, 0, 3), None);
    };
    a_target_reported_full_is_avoided: |table| {
        let answer = Answer { load: Some(Load { busy: 3, slots: 3 }), state: State::Ready };
        table.on_answer("t0", answer, Duration::from_millis(50), Duration::ZERO);
    } => |table| assert!(!counts(table, true, 0).contains_key("t0"));
}

#[test]
fn connections_are_shared_among_proxies() {
    let mut table = Table::new("p0", "d0");
    table.set_proxies(proxies(18));
    table.upsert([Target { connections: 36, slots: 100, ..target(0) }], Duration::ZERO);
    let mut taken = 0;
    while pick(&mut table, &[], true, 0, taken).is_some() {
        table.on_start("t0");
        taken += 1;
    }
    assert_eq!(taken, 2);
}

/// Chooses under random events and checks each choice against a plain list of what is allowed.
fn run(seed: u64, steps: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = table(12);
    let mut closed: HashMap<String, bool> = (0..12).map(|i| (format!("t{i}"), false)).collect();
    let mut in_flight: Vec<String> = Vec::new();
    for step in 0..steps {
        let now = Duration::from_millis(step);
        let name = format!("t{}", rng.random_range(0..12));
        match rng.random_range(0..10) {
            0 => {
                let weight = *[0.0, 0.1, 1.0].choose(&mut rng).unwrap();
                table.set_weight(&name, weight, false);
                // A target that leaves stays closed whatever its weight; listing it anew opens it.
                if weight > 0.0 {
                    table.upsert([target(name[1..].parse().unwrap())], now);
                    table.on_answer(&name, Answer::default(), Duration::from_millis(9), now);
                }
                closed.insert(name, weight == 0.0);
            }
            1 => {
                let index = name[1..].parse().unwrap();
                table.upsert([Target { leaving: true, ..target(index) }], now);
                closed.insert(name, true);
            }
            2 => {
                table.remove(&name);
                in_flight.retain(|other| *other != name);
                closed.insert(name, true);
            }
            3..=5 if !in_flight.is_empty() => {
                let name = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                table.on_end(&name);
                if rng.random_bool(0.3) {
                    table.on_shed(&name, Answer::default(), now);
                } else {
                    let load = Load { busy: rng.random_range(0..=3), slots: 3 };
                    let answer = Answer { load: Some(load), state: State::Ready };
                    table.on_answer(&name, answer, Duration::from_millis(20), now);
                }
            }
            _ => {
                let ask = Ask { service: SERVICE, exclude: &[], idempotent: true };
                let Some(pick) = table.pick(&ask, now, &mut rng) else { continue };
                let own = in_flight.iter().filter(|other| **other == *pick.target).count();
                assert!(!closed[&*pick.target], "{} is closed", pick.target);
                assert!(own < 3, "{} has {own} own requests", pick.target);
                table.on_start(&pick.target);
                in_flight.push(pick.target.to_string());
            }
        }
    }
}

#[test]
fn random_events_never_break_a_bound() {
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
